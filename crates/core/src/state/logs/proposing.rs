//! Commands on their way to the leader of a log, and their outcomes on the way back.

use prost::Message;

use std::time::Duration;

use crate::clock::Instant;
use crate::control::command::{Body as CommandBody, Command, Outcome};
use crate::count::Counter;
use crate::effect::{Answer, Effect, Effects};
use crate::message::{self, Body, Forward};
use crate::policy::{PROPOSAL_RETRY, PROPOSAL_TIMEOUT};
use crate::Name;

use super::super::State;
use super::{Pending, Position, Purpose, Waiter, HOPS_MAX};

impl State {
    /// Sends a command to the leader of a log and keeps sending it until its outcome is known or
    /// `patience` is over. Commands are safe to repeat.
    pub(in crate::state) fn propose(
        &mut self,
        now: Instant,
        log: Name,
        command: CommandBody,
        purpose: Purpose,
        patience: Duration,
        effects: &mut Effects,
    ) -> u64 {
        let command = Command::new(command).encode_to_vec();
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        let deadline = now + patience;
        self.pending.insert(ticket, Pending { log, command, purpose, sent: now, deadline });
        self.submit(now, ticket, 0, effects);
        ticket
    }

    /// Appends a pending command if this daemon leads its log, else passes it on. Returns whether
    /// either was possible.
    pub(super) fn submit(
        &mut self,
        now: Instant,
        ticket: u64,
        hops: u32,
        effects: &mut Effects,
    ) -> bool {
        let Some(pending) = self.pending.get_mut(&ticket) else { return false };
        pending.sent = now;
        let log = pending.log.clone();
        let command = pending.command.clone();
        if let Some(hosted) = self.logs.get_mut(&log) {
            let mut outputs = Vec::new();
            let term = hosted.replica.term();
            if let Some(index) = hosted.replica.propose(now, command.clone(), &mut outputs) {
                let position = Position { log: log.clone(), index };
                self.waiters.insert(position, Waiter { term, ticket });
                self.carry_out(now, &log, outputs, effects);
                return true;
            }
        }
        let Some(to) = self.towards_leader(now, &log) else { return false };
        let forward = Forward { ticket, log: log.to_string(), command, hops };
        effects.push(Effect::Send { to, body: Body::Forward(forward) });
        true
    }

    /// Daemon to which a command for a log goes next.
    pub(super) fn towards_leader(&self, now: Instant, log: &Name) -> Option<Name> {
        if let Some(hosted) = self.logs.get(log) {
            let leader = hosted.replica.leader().filter(|leader| self.is_linked(leader, now));
            return leader.filter(|leader| **leader != self.setup.daemon).cloned();
        }
        let setup = self.setup.logs.iter().find(|setup| setup.name == *log)?;
        let hosts = setup.initial_voters.iter().map(|voter| Name::from(voter.daemon.as_str()));
        let linked: Vec<Name> = hosts.filter(|host| self.is_linked(host, now)).collect();
        let own = |host: &&Name| self.zone_of(host) == Some(&self.setup.zone);
        linked.iter().find(own).or(linked.first()).cloned()
    }

    /// Whether a command for the log has somewhere to go.
    pub(in crate::state) fn is_reachable(&self, now: Instant, log: &Name) -> bool {
        let leads = self.logs.get(log).is_some_and(|hosted| hosted.replica.leads(now));
        leads || self.towards_leader(now, log).is_some()
    }

    pub(in crate::state) fn forwarded(
        &mut self,
        now: Instant,
        from: &Name,
        forward: Forward,
        effects: &mut Effects,
    ) {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        let pending = Pending {
            log: forward.log.into(),
            command: forward.command,
            purpose: Purpose::Relay { peer: from.clone(), ticket: forward.ticket },
            sent: now,
            deadline: now + PROPOSAL_TIMEOUT,
        };
        self.pending.insert(ticket, pending);
        let submitted =
            forward.hops < HOPS_MAX && self.submit(now, ticket, forward.hops + 1, effects);
        if !submitted {
            self.resolve(now, ticket, None, effects);
        }
    }

    pub(in crate::state) fn answered(
        &mut self,
        now: Instant,
        answer: message::Answer,
        effects: &mut Effects,
    ) {
        let relayed = self
            .pending
            .get(&answer.ticket)
            .is_some_and(|pending| matches!(pending.purpose, Purpose::Relay { .. }));
        if answer.outcome.is_some() || relayed {
            self.resolve(now, answer.ticket, answer.outcome, effects);
            return;
        }
        self.give_up_unreachable(now, answer.ticket, effects);
    }

    /// Gives up a claim at once when the log turns out to have no leader; other commands are sent
    /// again until their patience is over.
    pub(super) fn give_up_unreachable(&mut self, now: Instant, ticket: u64, effects: &mut Effects) {
        let claim = self.pending.get(&ticket).is_some_and(|pending| {
            matches!(pending.purpose, Purpose::Claim(_) | Purpose::Trial(_))
        });
        if claim {
            self.resolve(now, ticket, None, effects);
        }
    }

    pub(in crate::state) fn tick_proposals(&mut self, now: Instant, effects: &mut Effects) {
        let due: Vec<u64> = self
            .pending
            .iter()
            .filter(|(_, p)| now >= p.deadline || now.since(p.sent) >= PROPOSAL_RETRY)
            .map(|(ticket, _)| *ticket)
            .collect();
        for ticket in due {
            let Some(pending) = self.pending.get(&ticket) else { continue };
            let relayed = matches!(pending.purpose, Purpose::Relay { .. });
            if now >= pending.deadline {
                self.resolve(now, ticket, None, effects);
            } else if !relayed {
                self.count(Counter::Reproposed, effects);
                if !self.submit(now, ticket, 0, effects) {
                    self.give_up_unreachable(now, ticket, effects);
                }
            }
        }
    }

    /// Hands the outcome of a command to whoever waits for it; none if it is not known.
    pub(super) fn resolve(
        &mut self,
        now: Instant,
        ticket: u64,
        outcome: Option<Outcome>,
        effects: &mut Effects,
    ) {
        let Some(pending) = self.pending.remove(&ticket) else { return };
        match pending.purpose {
            Purpose::Claim(request) => self.claim_decided(now, request, outcome, effects),
            Purpose::Settle(request) => self.settle_decided(now, request, outcome, effects),
            Purpose::Trial(request) => self.trial_decided(now, request, outcome, effects),
            Purpose::Crashed(request) => self.crash_recorded(now, request, outcome, effects),
            Purpose::Nothing => {}
            Purpose::UsageBatch => self.billed(),
            Purpose::Operator(ticket) => {
                let answer = outcome.map_or(Answer::Unreachable, Answer::Outcome);
                effects.push(Effect::Answer { ticket, answer });
            }
            Purpose::Relay { peer, ticket } => {
                let body = Body::Answer(message::Answer { ticket, outcome });
                effects.push(Effect::Send { to: peer, body });
            }
        }
    }
}
