//! Elections: requesting and granting votes, and becoming leader.

use std::collections::BTreeSet;

use super::message::{Entry, Payload, VoteReply, VoteRequest, Voter};
use super::progress::Progress;
use super::{quorum, Instant, Name, Output, Replica, Role};

impl Replica {
    /// Asks the daemons of all voters and all contacts to replicate the log to this replica. The
    /// leader acts on the request, and the others pass it on. A new log asks as well, also as an
    /// initial voter: a leader that answers has an older log, whose voters hold.
    pub(super) fn send_join(&mut self, outputs: &mut Vec<Output>) {
        let voters = self.log.voters().iter().map(|voter| voter.daemon.as_str().into());
        let mut daemons: BTreeSet<Name> = self.contacts.iter().cloned().chain(voters).collect();
        daemons.remove(&self.identity.daemon);
        for daemon in daemons {
            outputs.push(Output::Send(daemon, Payload::Join(self.as_voter())));
        }
    }

    /// Sends a vote request to all other voters. A pre-vote asks about the next term without
    /// entering it, and needs no sync because it depends on no stored vote.
    pub(super) fn request_votes(&mut self, pre_vote: bool, outputs: &mut Vec<Output>) {
        let term = if pre_vote { self.term + 1 } else { self.term };
        let request = VoteRequest {
            term,
            pre_vote,
            candidate: Some(self.as_voter()),
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
            last_led_term: self.last_led_term,
            initial_voters: self.log.unwritten_voters().to_vec(),
        };
        for peer in self.peers() {
            let payload = Payload::VoteRequest(request.clone());
            if pre_vote {
                outputs.push(Output::Send(peer.daemon.into(), payload));
            } else {
                self.send_durable(peer.daemon.into(), payload, outputs);
            }
        }
    }

    /// Answers a vote request. Sends no answer if this replica or its leader may hold a valid
    /// lease, or if this replica or the candidate is not a voter.
    pub(super) fn receive_vote_request(
        &mut self,
        now: Instant,
        random: u64,
        request: VoteRequest,
        outputs: &mut Vec<Output>,
    ) {
        let Some(candidate) = request.candidate else { return };
        self.learn_initial_voters(request.initial_voters);
        let is_leader = self.role == Role::Leader && self.leads(now);
        let protects_lease = now.since(self.last_contact) < self.timing.election
            && request.last_led_term < self.last_answered_term;
        let is_listed = self.log.voters().iter().any(|voter| voter.replica == candidate.replica);
        if is_leader || protects_lease || !is_listed || !self.is_voter() {
            return;
        }
        if !request.pre_vote && request.term > self.term {
            self.become_follower(request.term, None, now, random, outputs);
        }
        let log_is_up_to_date = (request.last_term, request.last_index)
            >= (self.log.last_term(), self.log.last_index());
        let may_vote_for_candidate = match &self.vote {
            None => true,
            Some(voted) => **voted == *candidate.replica,
        };
        let granted = if request.pre_vote {
            request.term > self.term && log_is_up_to_date
        } else {
            request.term == self.term && may_vote_for_candidate && log_is_up_to_date
        };
        if granted && !request.pre_vote && self.vote.is_none() {
            self.vote = Some(candidate.replica.as_str().into());
            self.election_deadline = now + self.election_timeout(random);
            self.persist_ballot(outputs);
        }
        let reply = VoteReply {
            term: if granted { request.term } else { self.term },
            pre_vote: request.pre_vote,
            granted,
            voter: self.identity.replica.to_string(),
        };
        self.send_durable(candidate.daemon.into(), Payload::VoteReply(reply), outputs);
    }

    /// Takes over the initial voters from a candidate that knows them, if this replica is one of them
    /// and knows no voters.
    fn learn_initial_voters(&mut self, voters: Vec<Voter>) {
        let own = &self.identity.replica;
        let is_listed = voters.iter().any(|voter| *voter.replica == **own);
        if is_listed && self.log.voters().is_empty() {
            self.log.set_initial_voters(voters);
        }
    }

    /// Counts a granted vote, or follows the term of a refusal if that is newer.
    pub(super) fn receive_vote_reply(
        &mut self,
        now: Instant,
        random: u64,
        reply: VoteReply,
        outputs: &mut Vec<Output>,
    ) {
        if !reply.granted {
            if reply.term > self.term {
                self.become_follower(reply.term, None, now, random, outputs);
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

    /// Changes the role once a quorum has granted its votes: from pre-candidate to candidate, and
    /// from candidate to leader if its own vote is synced.
    pub(super) fn count_votes(&mut self, now: Instant, outputs: &mut Vec<Output>) {
        let votes = &self.votes;
        let granted = quorum::highest_reached(self.log.voters(), |voter| {
            u64::from(votes.iter().any(|vote| **vote == *voter.replica))
        });
        if granted == 0 {
            return;
        }
        match self.role {
            Role::PreCandidate => self.become_candidate(now, outputs),
            Role::Candidate if self.synced_sequence >= self.last_sequence => {
                self.become_leader(now, outputs)
            }
            _ => {}
        }
    }

    /// Starts an election: enters the next term and votes for itself.
    fn become_candidate(&mut self, now: Instant, outputs: &mut Vec<Output>) {
        self.role = Role::Candidate;
        self.election_deadline = self.election_deadline.max(now + self.timing.election);
        self.term += 1;
        self.vote = Some(self.identity.replica.clone());
        self.votes = vec![self.identity.replica.clone()];
        self.persist_ballot(outputs);
        self.request_votes(false, outputs);
        self.count_votes(now, outputs);
    }

    /// Becomes leader of the current term and appends an entry without a command. Committing that
    /// entry commits all entries before it. It holds the voter list if the log has none yet, so that
    /// from then on everyone who has the log knows its voters.
    fn become_leader(&mut self, now: Instant, outputs: &mut Vec<Output>) {
        self.role = Role::Leader;
        self.leader = Some(self.identity.clone());
        self.last_contact = now;
        self.leader_since = now;
        self.last_led_term = self.term;
        self.persist_ballot(outputs);
        self.progress.clear();
        for peer in self.peers() {
            let progress = Progress::new(peer.daemon.into(), self.log.last_index() + 1);
            self.progress.insert(peer.replica.into(), progress);
        }
        let entry = Entry::voters(self.log.unwritten_voters().to_vec());
        self.append(now, entry, outputs);
    }
}
