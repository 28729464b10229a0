//! Statements about endpoints by heartbeats that others may have sent, and how they are decided.
//!
//! A heartbeat that names an address at which another endpoint is known, or a later start of a known
//! endpoint, says that the known incarnation has terminated. Anybody can send one, or it may be late,
//! so it is only a claim: the address is asked, and what answers there decides. Until then the known
//! incarnation stays in use, and the claimant gets no requests and no orders.

use std::time::Duration;

use dotterelhoist_core::clock::Instant;
use strum::Display;

use crate::endpoint::Heartbeat;
use crate::probe;
use crate::Name;

use super::{Endpoint, Table};

/// Time between two probes because of the same claim, while they are not answered.
const PROBE_INTERVAL: Duration = Duration::from_millis(300);
/// Time since the last heartbeat that made a claim after which it is dropped if nobody has answered at
/// the address.
const CLAIM_TTL: Duration = Duration::from_secs(3);

/// A probe that decides a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Question {
    /// Endpoint that is asked.
    pub id: Name,
    /// Address at which it is asked.
    pub address: Name,
}

/// How a claim was decided.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum Verdict {
    /// The known incarnation has terminated: another endpoint, or a later incarnation, answered.
    Proven,
    /// The known incarnation answered, or the claimant is not at the address.
    Refuted,
}

/// A claim that is not decided.
#[derive(Clone, Debug)]
pub(super) struct Claim {
    question: Question,
    /// Endpoint that claims the address of the one that is asked; none if another incarnation of that
    /// endpoint is claimed.
    claimant: Option<Name>,
    /// When a heartbeat last made it.
    made_at: Instant,
    /// When a probe was last sent.
    asked_at: Option<Instant>,
}

/// A heartbeat of another incarnation than the known one.
#[derive(Clone, Debug)]
pub(super) struct Restart {
    pub heartbeat: Heartbeat,
    pub seen_at: Instant,
}

impl Table {
    /// The probes that are due to decide claims.
    pub fn take_questions(&mut self, now: Instant) -> Vec<Question> {
        self.claims.retain(|claim| now.since(claim.made_at) < CLAIM_TTL);
        let mut questions: Vec<Question> = Vec::new();
        for claim in &mut self.claims {
            if claim.asked_at.is_some_and(|at| now.since(at) < PROBE_INTERVAL) {
                continue;
            }
            claim.asked_at = Some(now);
            if !questions.contains(&claim.question) {
                questions.push(claim.question.clone());
            }
        }
        questions
    }

    /// Decides the claims that the answer to a probe concerns, if it decides any.
    pub fn decide(
        &mut self,
        now: Instant,
        question: &Question,
        outcome: &probe::Outcome,
    ) -> Option<Verdict> {
        let answer = Answer::of(outcome)?;
        let restart = self.decide_restart(question, answer);
        let holder = self.endpoints.get(&question.id)?;
        if *holder.heartbeat.address != *question.address {
            return restart;
        }
        let known = holder.started();
        let claims = self.take_claims(question);
        let is_replaced = match answer {
            Answer::Another => true,
            Answer::Itself(stated) => {
                claims.iter().filter_map(|claim| claim.claimant.as_ref()).any(|claimant| {
                    let claimant = self.endpoints.get(claimant).map(Endpoint::started);
                    stated.is_some_and(|stated| stated != known && claimant == Some(stated))
                })
            }
        };
        match is_replaced {
            true if claims.is_empty() => restart,
            true => {
                self.replace(now, &question.id, claims);
                Some(Verdict::Proven)
            }
            false => {
                self.endpoints.get_mut(&question.id)?.attest(answer);
                restart.or((!claims.is_empty()).then_some(Verdict::Refuted))
            }
        }
    }

    /// Removes and returns the claims that a question decides.
    fn take_claims(&mut self, question: &Question) -> Vec<Claim> {
        let is_decided = |claim: &Claim| claim.question == *question;
        let (decided, rest) = std::mem::take(&mut self.claims).into_iter().partition(is_decided);
        self.claims = rest;
        decided
    }

    /// Records that an endpoint has terminated, and that those who claim its address use it.
    fn replace(&mut self, now: Instant, id: &Name, claims: Vec<Claim>) {
        let Some(endpoint) = self.endpoints.get_mut(id) else { return };
        endpoint.record_gone(now);
        endpoint.confirmed_dead = true;
        endpoint.holds_address = false;
        self.untold.push(id.clone());
        for claimant in claims.into_iter().filter_map(|claim| claim.claimant) {
            self.claim_address(&claimant, now);
        }
    }

    /// Decides whether an endpoint is another incarnation, if a heartbeat has claimed that.
    fn decide_restart(&mut self, question: &Question, answer: Answer) -> Option<Verdict> {
        let endpoint = self.endpoints.get_mut(&question.id)?;
        let is_asked = |restart: &mut Restart| *restart.heartbeat.address == *question.address;
        let claimed = endpoint.restart.take_if(is_asked)?;
        self.claims.retain(|claim| claim.question != *question || claim.claimant.is_some());
        let is_proven = match answer {
            Answer::Another => false,
            Answer::Itself(Some(stated)) => stated == claimed.heartbeat.started_unix_ms,
            Answer::Itself(None) => claimed.heartbeat.supersedes(&endpoint.heartbeat),
        };
        if !is_proven {
            return Some(Verdict::Refuted);
        }
        endpoint.restart_as(claimed.heartbeat, claimed.seen_at);
        endpoint.attested = true;
        self.claim_address(&question.id, claimed.seen_at);
        Some(Verdict::Proven)
    }

    /// Makes an endpoint the one that uses its address. If others are known there, that is a claim.
    pub(super) fn claim_address(&mut self, id: &Name, now: Instant) {
        let Some(endpoint) = self.endpoints.get(id).filter(|endpoint| !endpoint.holds_address)
        else {
            return;
        };
        if endpoint.confirmed_dead || endpoint.heartbeat.gone {
            return;
        }
        let address: Name = endpoint.heartbeat.address.as_str().into();
        let started = endpoint.heartbeat.started_unix_ms;
        let rivals = self.endpoints.iter().filter(|(other_id, other)| {
            *other_id != id
                && *other.heartbeat.address == *address
                && !other.confirmed_dead
                && !other.denied
        });
        let mut is_held = false;
        let mut asked = Vec::new();
        for (other_id, other) in rivals {
            is_held |= other.holds_address;
            if !(other.holds_address && other.attested && other.started() > started) {
                asked.push(Question { id: other_id.clone(), address: address.clone() });
            }
        }
        for question in asked {
            self.make_claim(question, Some(id.clone()), now);
        }
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.holds_address = !is_held;
            endpoint.denied = is_held;
        }
    }

    /// Keeps a heartbeat that claims another incarnation of a known endpoint.
    pub(super) fn claim_restart(&mut self, id: &Name, heartbeat: Heartbeat, seen_at: Instant) {
        let Some(endpoint) = self.endpoints.get_mut(id) else { return };
        let is_late = |other: &Heartbeat| {
            other.started_unix_ms == heartbeat.started_unix_ms
                && other.sequence >= heartbeat.sequence
        };
        if endpoint.restart.as_ref().is_some_and(|restart| is_late(&restart.heartbeat)) {
            return;
        }
        let address = heartbeat.address.as_str().into();
        endpoint.restart = Some(Restart { heartbeat, seen_at });
        self.make_claim(Question { id: id.clone(), address }, None, seen_at);
    }

    /// Adds a claim, or records that it was made again.
    fn make_claim(&mut self, question: Question, claimant: Option<Name>, made_at: Instant) {
        let mut known = self.claims.iter_mut();
        match known.find(|claim| claim.question == question && claim.claimant == claimant) {
            Some(claim) => claim.made_at = made_at,
            None => self.claims.push(Claim { question, claimant, made_at, asked_at: None }),
        }
    }
}

impl Endpoint {
    /// Whether a heartbeat claims that this is not the present incarnation: a later one, or an earlier one
    /// if this one has never answered. That an endpoint leaves is believed at once.
    pub(super) fn is_restart(&self, heartbeat: &Heartbeat) -> bool {
        let stated = heartbeat.started_unix_ms;
        let is_other = stated > self.started() || stated < self.started() && !self.attested;
        is_other && !heartbeat.gone && !self.confirmed_dead
    }

    /// Start of its incarnation in Unix milliseconds.
    fn started(&self) -> u64 {
        self.heartbeat.started_unix_ms
    }

    /// Records that it has answered at its address. If it says that it is an earlier incarnation, the
    /// heartbeats that stated the later start were not its own.
    fn attest(&mut self, answer: Answer) {
        let Answer::Itself(stated) = answer else { return };
        if let Some(stated) = stated.filter(|stated| *stated < self.started()) {
            self.heartbeat.started_unix_ms = stated;
            self.heartbeat.sequence = 0;
        }
        self.attested = stated.is_none_or(|stated| stated == self.started());
    }
}

/// Who has answered at an address.
#[derive(Clone, Copy, Debug)]
enum Answer {
    /// The endpoint that was asked, with the start of its incarnation in Unix milliseconds if it states
    /// that. Some endpoints answer without regard to who is asked.
    Itself(Option<u64>),
    /// Another endpoint.
    Another,
}

impl Answer {
    /// What a probe has shown; none if nobody has answered.
    fn of(outcome: &probe::Outcome) -> Option<Answer> {
        match outcome {
            probe::Outcome::Report(report) => {
                Some(Answer::Itself(Some(report.started_unix_ms).filter(|stated| *stated > 0)))
            }
            probe::Outcome::Answered => Some(Answer::Itself(None)),
            probe::Outcome::Replaced => Some(Answer::Another),
            probe::Outcome::Refused | probe::Outcome::Unanswered => None,
        }
    }
}
