//! Proposals: commands are forwarded to the leader of a log, and their outcomes are sent back.

use std::time::Duration;

use prost::Message;
use smallvec::SmallVec;

use crate::clock::Instant;
use crate::control::command::{Body as CommandBody, Command, Outcome};
use crate::count::Counter;
use crate::effect::{Answer, Effect, Effects};
use crate::message::{self, Body, Forward};
use crate::policy::{PROPOSAL_RETRY, PROPOSAL_TIMEOUT};
use crate::Name;

use super::super::State;
use super::{Position, Proposal, Purpose, Waiter, FORWARDS_MAX};

impl State {
    /// Sends a command to the leader of a log, and again every [`PROPOSAL_RETRY`] until its outcome
    /// is known or `timeout` has passed. Commands are idempotent. Returns the ticket of the
    /// proposal.
    pub(in crate::state) fn propose(
        &mut self,
        now: Instant,
        log: Name,
        command: CommandBody,
        purpose: Purpose,
        timeout: Duration,
        effects: &mut Effects,
    ) -> u64 {
        let command = Command::new(command).encode_to_vec();
        let ticket = self.tickets.draw();
        let asked = SmallVec::new();
        let deadline = now + timeout;
        let proposal = Proposal { log, command, purpose, asked, sent: now, deadline };
        self.proposals.insert(ticket, proposal);
        self.submit(now, ticket, 0, effects);
        ticket
    }

    /// Appends a proposed command if this daemon leads its log, otherwise forwards it towards the
    /// leader. Returns whether either was possible.
    pub(super) fn submit(
        &mut self,
        now: Instant,
        ticket: u64,
        hops: u32,
        effects: &mut Effects,
    ) -> bool {
        let Some(proposal) = self.proposals.get_mut(&ticket) else { return false };
        proposal.sent = now;
        let log = proposal.log.clone();
        let command = proposal.command.clone();
        if let Some(hosted) = self.logs.get_mut(&log) {
            let mut outputs = Vec::new();
            let term = hosted.replica.term();
            if let Some(index) = hosted.replica.propose(now, command.clone(), &mut outputs) {
                let position = Position { log: log.clone(), index };
                self.waiters.insert(position, Waiter { term, ticket });
                self.process_outputs(now, &log, outputs, effects);
                return true;
            }
        }
        let Some(to) = self.next_hop(now, &log) else { return false };
        if let Some(proposal) = self.proposals.get_mut(&ticket) {
            proposal.record_asked(&to);
        }
        let forward = Forward { ticket, log: log.to_string(), command, hops };
        effects.push(Effect::Send { to, body: Body::Forward(forward) });
        true
    }

    /// Daemon to forward a command to: the leader if this daemon hosts a replica and knows it,
    /// otherwise a linked host, preferably one in this zone.
    pub(super) fn next_hop(&self, now: Instant, log: &Name) -> Option<Name> {
        if let Some(hosted) = self.logs.get(log) {
            let leader = hosted.replica.leader().filter(|leader| self.is_linked(leader, now));
            return leader.filter(|leader| **leader != self.setup.daemon).cloned();
        }
        let setup = self.setup.logs.iter().find(|setup| setup.name == *log)?;
        let mut linked = setup.hosts.iter().filter(|host| self.is_linked(host, now)).peekable();
        let first = linked.peek().copied();
        let in_zone = linked.find(|host| self.zone_of(host) == Some(&self.setup.zone));
        in_zone.or(first).cloned()
    }

    /// Whether a command for the log can be appended here or forwarded.
    pub(in crate::state) fn is_reachable(&self, now: Instant, log: &Name) -> bool {
        let leads = self.logs.get(log).is_some_and(|hosted| hosted.replica.leads(now));
        leads || self.next_hop(now, log).is_some()
    }

    /// Appends or forwards a command of another daemon. If that fails, or the command was already
    /// forwarded [`FORWARDS_MAX`] times, the other daemon is told at once.
    pub(in crate::state) fn submit_forwarded(
        &mut self,
        now: Instant,
        from: &Name,
        forward: Forward,
        effects: &mut Effects,
    ) {
        let ticket = self.tickets.draw();
        let proposal = Proposal {
            log: forward.log.into(),
            command: forward.command,
            purpose: Purpose::Forwarded { peer: from.clone(), ticket: forward.ticket },
            asked: SmallVec::new(),
            sent: now,
            deadline: now + PROPOSAL_TIMEOUT,
        };
        self.proposals.insert(ticket, proposal);
        let submitted =
            forward.hops < FORWARDS_MAX && self.submit(now, ticket, forward.hops + 1, effects);
        if !submitted {
            self.resolve(now, ticket, None, effects);
        }
    }

    /// Handles the answer to a forwarded command. One of a daemon to which the command was not
    /// forwarded is ignored: it belongs to another command. An outcome resolves its proposal. Without one, no
    /// leader accepted the command: the daemon that forwarded it here is told so, claims and trials
    /// fail, and all other commands are sent again later.
    pub(in crate::state) fn handle_answer(
        &mut self,
        now: Instant,
        from: &Name,
        answer: message::Answer,
        effects: &mut Effects,
    ) {
        let proposal = self.proposals.get(&answer.ticket);
        let Some(proposal) = proposal.filter(|proposal| proposal.asked.contains(from)) else {
            self.count(Counter::AnswerIgnored, effects);
            return;
        };
        let forwarded = matches!(proposal.purpose, Purpose::Forwarded { .. });
        if answer.outcome.is_some() || forwarded {
            self.resolve(now, answer.ticket, answer.outcome, effects);
            return;
        }
        self.fail_unreachable(now, answer.ticket, effects);
    }

    /// Fails a claim or a trial at once when the log has no reachable leader, because a caller
    /// waits for it; other commands are sent again until their deadline.
    pub(super) fn fail_unreachable(&mut self, now: Instant, ticket: u64, effects: &mut Effects) {
        let fails_at_once = self.proposals.get(&ticket).is_some_and(|proposal| {
            matches!(proposal.purpose, Purpose::Claim(_) | Purpose::Trial(_))
        });
        if fails_at_once {
            self.resolve(now, ticket, None, effects);
        }
    }

    /// Abandons proposals whose deadline has passed, and sends those without an answer again.
    /// Commands of other daemons are not sent again; their proposer does that.
    pub(in crate::state) fn tick_proposals(&mut self, now: Instant, effects: &mut Effects) {
        let due: Vec<u64> = self
            .proposals
            .iter()
            .filter(|(_, p)| now >= p.deadline || now.since(p.sent) >= PROPOSAL_RETRY)
            .map(|(ticket, _)| *ticket)
            .collect();
        for ticket in due {
            let Some(proposal) = self.proposals.get(&ticket) else { continue };
            let forwarded = matches!(proposal.purpose, Purpose::Forwarded { .. });
            if now >= proposal.deadline {
                self.resolve(now, ticket, None, effects);
            } else if !forwarded {
                self.count(Counter::Reproposed, effects);
                if !self.submit(now, ticket, 0, effects) {
                    self.fail_unreachable(now, ticket, effects);
                }
            }
        }
    }

    /// Ends a proposal and passes its outcome, or none if it is not known, to what waits for it.
    pub(super) fn resolve(
        &mut self,
        now: Instant,
        ticket: u64,
        outcome: Option<Outcome>,
        effects: &mut Effects,
    ) {
        let Some(proposal) = self.proposals.remove(&ticket) else { return };
        match proposal.purpose {
            Purpose::Claim(request) => self.handle_claim_outcome(now, request, outcome, effects),
            Purpose::Settle(request) => self.handle_settle_outcome(now, request, outcome, effects),
            Purpose::Trial(request) => self.handle_trial_outcome(now, request, outcome, effects),
            Purpose::CrashRecord(request) => {
                self.handle_crash_outcome(now, request, outcome, effects)
            }
            Purpose::Unobserved => {}
            Purpose::UsageBatch => self.clear_proposed_usage(),
            Purpose::Operator(ticket) => {
                let answer = outcome.map_or(Answer::Unreachable, Answer::Outcome);
                effects.push(Effect::Answer { ticket, answer });
            }
            Purpose::Forwarded { peer, ticket } => {
                let body = Body::Answer(message::Answer { ticket, outcome });
                effects.push(Effect::Send { to: peer, body });
            }
        }
    }
}
