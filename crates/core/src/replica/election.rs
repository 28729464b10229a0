//! Votes of one replica: asking for them, giving them, and the first steps of a lead.

use super::message::{Entry, Payload, VoteReply, VoteRequest};
use super::progress::Progress;
use super::{quorum, Instant, Name, Output, Replica, Role};

impl Replica {
    pub(super) fn ask_to_join(&mut self, outputs: &mut Vec<Output>) {
        for peer in self.peers() {
            if *peer.daemon != *self.identity.daemon {
                outputs.push(Output::Send(peer.daemon.into(), Payload::Join(self.as_voter())));
            }
        }
    }

    pub(super) fn request_votes(&mut self, pre_vote: bool, outputs: &mut Vec<Output>) {
        let term = if pre_vote { self.term + 1 } else { self.term };
        let vote = VoteRequest {
            term,
            pre_vote,
            candidate: Some(self.as_voter()),
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
            last_led_term: self.led,
        };
        for peer in self.peers() {
            let payload = Payload::VoteRequest(vote.clone());
            if pre_vote {
                outputs.push(Output::Send(peer.daemon.into(), payload));
            } else {
                self.send_durable(peer.daemon.into(), payload, outputs);
            }
        }
    }

    pub(super) fn receive_vote_request(
        &mut self,
        now: Instant,
        draw: u64,
        vote: VoteRequest,
        outputs: &mut Vec<Output>,
    ) {
        let Some(candidate) = vote.candidate else { return };
        let leads = self.role == Role::Leader && self.leads(now);
        let recently =
            now.since(self.heard) < self.timing.election && vote.last_led_term < self.answered;
        let known = self.log.voters().iter().any(|voter| voter.replica == candidate.replica);
        if leads || recently || !known || !self.is_voter() {
            return;
        }
        if !vote.pre_vote && vote.term > self.term {
            self.follow(vote.term, None, now, draw, outputs);
        }
        let current =
            (vote.last_term, vote.last_index) >= (self.log.last_term(), self.log.last_index());
        let free = match &self.vote {
            None => true,
            Some(voted) => **voted == *candidate.replica,
        };
        let granted = if vote.pre_vote {
            vote.term > self.term && current
        } else {
            vote.term == self.term && free && current
        };
        if granted && !vote.pre_vote && self.vote.is_none() {
            self.vote = Some(candidate.replica.as_str().into());
            self.deadline = now + self.election_timeout(draw);
            self.persist_ballot(outputs);
        }
        let reply = VoteReply {
            term: if granted { vote.term } else { self.term },
            pre_vote: vote.pre_vote,
            granted,
            voter: self.identity.replica.to_string(),
        };
        self.send_durable(candidate.daemon.into(), Payload::VoteReply(reply), outputs);
    }

    pub(super) fn receive_vote_reply(
        &mut self,
        now: Instant,
        draw: u64,
        reply: VoteReply,
        outputs: &mut Vec<Output>,
    ) {
        if !reply.granted {
            if reply.term > self.term {
                self.follow(reply.term, None, now, draw, outputs);
            }
            return;
        }
        let expected = match self.role {
            Role::PreCandidate => reply.pre_vote && reply.term == self.term + 1,
            Role::Candidate => !reply.pre_vote && reply.term == self.term,
            Role::Follower | Role::Leader => false,
        };
        if !expected {
            return;
        }
        let voter: Name = reply.voter.into();
        if !self.votes.contains(&voter) {
            self.votes.push(voter);
        }
        self.count_votes(now, outputs);
    }

    pub(super) fn count_votes(&mut self, now: Instant, outputs: &mut Vec<Output>) {
        let votes = &self.votes;
        let granted = quorum::highest_reached(self.log.voters(), |voter| {
            u64::from(votes.iter().any(|vote| **vote == *voter.replica))
        });
        if granted == 0 {
            return;
        }
        match self.role {
            Role::PreCandidate => self.stand(now, outputs),
            Role::Candidate if self.synced >= self.sequence => self.lead(now, outputs),
            _ => {}
        }
    }

    fn stand(&mut self, now: Instant, outputs: &mut Vec<Output>) {
        self.role = Role::Candidate;
        self.deadline = self.deadline.max(now + self.timing.election);
        self.term += 1;
        self.vote = Some(self.identity.replica.clone());
        self.votes = vec![self.identity.replica.clone()];
        self.persist_ballot(outputs);
        self.request_votes(false, outputs);
        self.count_votes(now, outputs);
    }

    fn lead(&mut self, now: Instant, outputs: &mut Vec<Output>) {
        self.role = Role::Leader;
        self.leader = Some(self.identity.clone());
        self.heard = now;
        self.led_since = now;
        self.led = self.term;
        self.persist_ballot(outputs);
        self.progress.clear();
        for peer in self.peers() {
            let progress = Progress::new(peer.daemon.into(), self.log.last_index() + 1);
            self.progress.insert(peer.replica.into(), progress);
        }
        self.append(now, Entry::default(), outputs);
    }
}
