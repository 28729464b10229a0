//! Calls of operators.
//!
//! Only the leader answers them. Another daemon passes a call on, and lets it wait while it knows no
//! leader; it never answers from its own copy, which may be older than what was acknowledged.

use std::time::Duration;

use dotterelhoist_core::clock::Instant;

use crate::journal;
use crate::message::{Ask, Body, Told};
use crate::Name;

use super::machine::{Change, Put};
use super::{Answer, Effect, Reader, State};

/// Time for which an operator waits for a change to be committed.
const COMMIT_TIMEOUT: Duration = Duration::from_millis(2500);
/// Time for which a call waits for a leader.
const LEADER_PATIENCE: Duration = Duration::from_millis(900);
/// Time for which a call that was passed on waits for the leader's answer.
const ASK_TIMEOUT: Duration = Duration::from_millis(2600);

/// Who waits for an answer.
#[derive(Clone, Debug)]
pub(super) enum Asker {
    /// A call to this daemon.
    Local(u64),
    /// A call to another daemon, which passed it on.
    Remote(Name, u64),
}

/// A change that waits for its commit.
#[derive(Clone, Debug)]
pub(super) struct Waiting {
    pub asker: Asker,
    pub term: u64,
    pub since: Instant,
}

/// A call to this daemon that has no answer yet and that only a leader can answer.
#[derive(Clone, Debug)]
pub(super) struct Parked {
    ticket: u64,
    body: Option<Vec<u8>>,
    since: Instant,
    /// Whether it was passed on to a leader.
    asked: bool,
}

impl<Decoder> State<Decoder>
where
    Decoder: Reader,
{
    /// Takes a call to this daemon: a document to put, or none to read the one in force.
    pub(super) fn operate(
        &mut self,
        now: Instant,
        ticket: u64,
        body: Option<Vec<u8>>,
        effects: &mut Vec<Effect>,
    ) {
        if let Some(Err(findings)) = body.as_deref().map(|body| self.reader.read(body)) {
            let detail = findings.first().map(ToString::to_string).unwrap_or_default();
            let event = journal::Event::new(221, "document refused", "operator", detail);
            effects.push(Effect::Log(event));
            effects.push(Effect::Answer(ticket, Answer::Invalid(findings)));
            return;
        }
        self.parked.push(Parked { ticket, body, since: now, asked: false });
        self.serve_parked(now, effects);
    }

    /// Answers calls as leader, or passes them on to the leader.
    pub(super) fn serve_parked(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        let leads = self.replica.reads(now);
        let leader = self.replica.leader().filter(|leader| **leader != self.setup.daemon).cloned();
        let mut parked = std::mem::take(&mut self.parked);
        parked.retain_mut(|call| {
            if leads && !call.asked {
                self.answer(now, Asker::Local(call.ticket), call.body.take(), effects);
                return false;
            }
            let patience = if call.asked { ASK_TIMEOUT } else { LEADER_PATIENCE };
            if now.since(call.since) > patience {
                effects.push(Effect::Answer(call.ticket, Answer::Unavailable));
                return false;
            }
            if let Some(leader) = leader.as_ref().filter(|_| !call.asked) {
                call.asked = true;
                let ask = Ask { ticket: call.ticket, body: call.body.clone() };
                effects.push(Effect::Send(leader.clone(), Body::Ask(ask)));
            }
            true
        });
        self.parked.extend(parked);
    }

    /// Takes a call that another daemon has passed on.
    pub(super) fn take_ask(
        &mut self,
        now: Instant,
        from: Name,
        ask: Ask,
        effects: &mut Vec<Effect>,
    ) {
        let asker = Asker::Remote(from, ask.ticket);
        if !self.replica.reads(now) {
            tell(asker, Answer::Unavailable, effects);
            return;
        }
        self.answer(now, asker, ask.body, effects);
    }

    /// Takes the leader's answer to a call that was passed on.
    pub(super) fn take_told(&mut self, told: Told, effects: &mut Vec<Effect>) {
        let Some(at) = self.parked.iter().position(|call| call.ticket == told.ticket) else {
            return;
        };
        let call = self.parked.remove(at);
        let answer = match told.document {
            _ if !told.answered => Answer::Unavailable,
            Some(document) => Answer::Document(document),
            None => Answer::Accepted,
        };
        effects.push(Effect::Answer(call.ticket, answer));
    }

    /// Answers a call as leader.
    fn answer(
        &mut self,
        now: Instant,
        asker: Asker,
        body: Option<Vec<u8>>,
        effects: &mut Vec<Effect>,
    ) {
        let Some(body) = body else {
            let document = self.machine.document.as_ref();
            let answer = document.map(|document| Answer::Document(document.body.clone()));
            tell(asker, answer.unwrap_or(Answer::Unavailable), effects);
            return;
        };
        let Ok(document) = self.reader.read(&body) else {
            tell(asker, Answer::Unavailable, effects);
            return;
        };
        let version = document.version;
        if version <= self.machine.version() {
            tell(asker, Answer::Accepted, effects);
            return;
        }
        match self.propose(now, Change::Put(Put { version, body })) {
            Some(index) => {
                let waiting = Waiting { asker, term: self.replica.term(), since: now };
                self.waiting.insert(index, waiting);
            }
            None => tell(asker, Answer::Unavailable, effects),
        }
    }

    /// Answers the call behind a log entry of `term` that was applied.
    pub(super) fn settle(&mut self, index: u64, term: u64, effects: &mut Vec<Effect>) {
        let Some(waiting) = self.waiting.remove(&index) else { return };
        let same = waiting.term == term;
        let answer = if same { Answer::Accepted } else { Answer::Unavailable };
        tell(waiting.asker, answer, effects);
    }

    /// Gives up changes that this daemon can no longer see through.
    pub(super) fn expire_waiting(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        let term = self.replica.term();
        let over =
            |waiting: &Waiting| waiting.term != term || now.since(waiting.since) > COMMIT_TIMEOUT;
        let indices: Vec<u64> = self.waiting.keys().copied().collect();
        for index in indices {
            if self.waiting.get(&index).is_some_and(over) {
                if let Some(waiting) = self.waiting.remove(&index) {
                    tell(waiting.asker, Answer::Unavailable, effects);
                }
            }
        }
    }
}

fn tell(asker: Asker, answer: Answer, effects: &mut Vec<Effect>) {
    match asker {
        Asker::Local(ticket) => effects.push(Effect::Answer(ticket, answer)),
        Asker::Remote(daemon, ticket) => {
            let answered = !matches!(answer, Answer::Unavailable | Answer::Invalid(_));
            let document = match answer {
                Answer::Document(document) => Some(document),
                _ => None,
            };
            let told = Told { ticket, answered, document };
            effects.push(Effect::Send(daemon, Body::Told(told)));
        }
    }
}
