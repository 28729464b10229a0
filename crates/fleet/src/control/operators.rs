//! Calls of operators: put a document, or get the one in force.
//!
//! Only the leader answers them. Any other daemon forwards a call to the leader, and queues it
//! while it knows of no leader. It never answers from its own state, which may be older than a
//! document that was already acknowledged.

use std::sync::Arc;
use std::time::Duration;

use dotterelhoist_core::clock::Instant;

use crate::journal;
use crate::message::{Body, Call, Reply};
use crate::patch::{Original, Patch};
use crate::Name;

use super::state_machine::Change;
use super::{Answer, Effect, Reader, State};

/// Time for which a proposed document may wait for its commit; the call is then answered as
/// unavailable.
const COMMIT_TIMEOUT: Duration = Duration::from_millis(2500);
/// Time for which a call waits for a leader to become known; it is then answered as unavailable.
const LEADER_TIMEOUT: Duration = Duration::from_millis(900);
/// Time since its arrival after which a call that was forwarded to the leader is answered as
/// unavailable.
const FORWARD_TIMEOUT: Duration = Duration::from_millis(2600);

/// Value of `by` in a log line about a call that this daemon has answered as leader.
const OWN_DECISION: &str = "leader";

/// Who is sent the answer to a call.
#[derive(Clone, Debug)]
pub(super) enum Requester {
    /// The operator that called this daemon, with the ticket of the call.
    Local(u64),
    /// The daemon that forwarded the call, with that daemon's ticket.
    Remote(Name, u64),
}

/// A proposed document that is not yet committed.
#[derive(Clone, Debug)]
pub(super) struct PendingWrite {
    /// Who is answered once it is committed or has failed.
    pub requester: Requester,
    /// Term in which it was proposed.
    pub term: u64,
    /// When it was proposed.
    pub since: Instant,
}

/// A call to this daemon that only the leader can answer and that has no answer yet.
#[derive(Clone, Debug)]
pub(super) struct PendingCall {
    /// Ticket of the operator's call, also used in the message to the leader.
    ticket: u64,
    /// Document to put; none to get the one in force.
    document: Option<Patch>,
    /// When the call arrived.
    since: Instant,
    /// Leader that it was forwarded to; nobody else can answer it.
    forwarded_to: Option<Name>,
}

impl PendingCall {
    /// What a log line says about the call when it is forwarded to `leader`.
    fn describe(&self, leader: &Name) -> String {
        match &self.document {
            Some(document) => format!("put={} leader={leader}", document.version),
            None => format!("get leader={leader}"),
        }
    }
}

impl<Decoder> State<Decoder>
where
    Decoder: Reader,
{
    /// Handles an operator's call to put a document. An invalid one is refused at once.
    pub(super) fn handle_put(
        &mut self,
        now: Instant,
        ticket: u64,
        body: Vec<u8>,
        effects: &mut Vec<Effect>,
    ) {
        let document = match self.reader.read(&body) {
            Ok(document) => document,
            Err(findings) => {
                let detail = findings.first().map(ToString::to_string).unwrap_or_default();
                let event = journal::Event::new(221, "document refused", "operator", detail);
                effects.push(Effect::Log(event));
                effects.push(Effect::Answer(ticket, Answer::Invalid(findings)));
                return;
            }
        };
        let original = Original { version: document.version, body: body.into() };
        match Patch::between(&Original::default(), &original) {
            Ok(patch) => {
                self.validated = Some((original, Arc::new(document)));
                self.handle_call(now, ticket, Some(patch), effects);
            }
            Err(error) => {
                let detail = error.to_string();
                let event = journal::Event::new(206, "document not stored", "operator", detail);
                effects.push(Effect::Log(event));
                effects.push(Effect::Answer(ticket, Answer::Unavailable));
            }
        }
    }

    /// Handles an operator's call to this daemon: `document` is one to put, or none to get the one
    /// in force.
    pub(super) fn handle_call(
        &mut self,
        now: Instant,
        ticket: u64,
        document: Option<Patch>,
        effects: &mut Vec<Effect>,
    ) {
        self.pending_calls.push(PendingCall { ticket, document, since: now, forwarded_to: None });
        self.process_calls(now, effects);
    }

    /// Answers the pending calls as leader, or forwards them to the leader. Calls that have waited
    /// too long are answered as unavailable.
    pub(super) fn process_calls(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        let leads = self.replica.can_serve_reads(now);
        let leader = self.replica.leader().filter(|leader| **leader != self.setup.daemon).cloned();
        let mut calls = std::mem::take(&mut self.pending_calls);
        calls.retain_mut(|call| {
            if leads && call.forwarded_to.is_none() {
                let requester = Requester::Local(call.ticket);
                self.answer_as_leader(now, requester, call.document.take(), 0, effects);
                return false;
            }
            let timeout = match &call.forwarded_to {
                Some(_) => FORWARD_TIMEOUT,
                None => LEADER_TIMEOUT,
            };
            if now.since(call.since) > timeout {
                answer_operator(call.ticket, Answer::Unavailable, "timeout", effects);
                return false;
            }
            if let Some(leader) = leader.as_ref().filter(|_| call.forwarded_to.is_none()) {
                call.forwarded_to = Some(leader.clone());
                log_call(224, "call forwarded", call.ticket, call.describe(leader), effects);
                let request = Call {
                    ticket: call.ticket,
                    document: call.document.clone(),
                    version: self.original.version,
                };
                effects.push(Effect::Send(leader.clone(), Body::Call(request)));
            }
            true
        });
        self.pending_calls.extend(calls);
    }

    /// Handles a call that another daemon has forwarded to this one as the leader.
    pub(super) fn handle_forwarded_call(
        &mut self,
        now: Instant,
        from: Name,
        request: Call,
        effects: &mut Vec<Effect>,
    ) {
        let requester = Requester::Remote(from, request.ticket);
        if !self.replica.can_serve_reads(now) {
            send_answer(requester, Answer::Unavailable, effects);
            return;
        }
        self.answer_as_leader(now, requester, request.document, request.version, effects);
    }

    /// Passes the leader's answer to a forwarded call on to the operator. An answer to a call that was
    /// not forwarded to this leader is ignored: it belongs to another one.
    pub(super) fn handle_forwarded_reply(
        &mut self,
        from: &Name,
        reply: Reply,
        effects: &mut Vec<Effect>,
    ) {
        let answers = |call: &PendingCall| {
            call.ticket == reply.ticket && call.forwarded_to.as_ref() == Some(from)
        };
        let Some(at) = self.pending_calls.iter().position(answers) else {
            log_call(225, "answer ignored", reply.ticket, format!("from={from}"), effects);
            return;
        };
        let call = self.pending_calls.remove(at);
        let answer = if !reply.answered {
            Answer::Unavailable
        } else if call.document.is_some() {
            Answer::Accepted
        } else {
            self.answer_to_read(reply.document)
        };
        answer_operator(call.ticket, answer, from, effects);
    }

    /// Answer to an operator that reads the document: the one that the leader sent or, if it has
    /// sent none, this daemon's own, which the leader has confirmed as the newest.
    fn answer_to_read(&self, document: Option<Patch>) -> Answer {
        let Some(patch) = document else {
            return Answer::Document(self.original.body.to_vec());
        };
        match patch.apply(&Original::default()) {
            Ok(original) => Answer::Document(original.body.to_vec()),
            Err(_) => Answer::Unavailable,
        }
    }

    /// Answers a call as leader. A document with a higher version than the current one is proposed
    /// to the log and accepted once it is applied; any other is accepted without effect.
    /// `known_version` is the version of the document of the daemon that sent the call.
    fn answer_as_leader(
        &mut self,
        now: Instant,
        requester: Requester,
        document: Option<Patch>,
        known_version: u64,
        effects: &mut Vec<Effect>,
    ) {
        let Some(patch) = document else {
            self.answer_read_as_leader(requester, known_version, effects);
            return;
        };
        if patch.version <= self.state_machine.version() {
            send_answer(requester, Answer::Accepted, effects);
            return;
        }
        match self.propose(now, Change::SetDocument(patch)) {
            Some(index) => {
                let write = PendingWrite { requester, term: self.replica.term(), since: now };
                self.pending_writes.insert(index, write);
            }
            None => send_answer(requester, Answer::Unavailable, effects),
        }
    }

    /// Answers a call to read the document as leader.
    fn answer_read_as_leader(
        &self,
        requester: Requester,
        known_version: u64,
        effects: &mut Vec<Effect>,
    ) {
        let Some(document) = &self.state_machine.document else {
            send_answer(requester, Answer::Unavailable, effects);
            return;
        };
        match requester {
            Requester::Local(ticket) => {
                let answer = self.answer_to_read(Some(document.clone()));
                answer_operator(ticket, answer, OWN_DECISION, effects);
            }
            Requester::Remote(daemon, ticket) => {
                let document = (document.version != known_version).then(|| document.clone());
                let detail = format!("answered=true requester={daemon}");
                log_call(226, "forwarded call answered", ticket, detail, effects);
                let reply = Reply { ticket, answered: true, document };
                effects.push(Effect::Send(daemon, Body::Reply(reply)));
            }
        }
    }

    /// Answers the call that proposed the log entry at `index`, now that an entry of `term` was
    /// applied there. If the terms differ, another leader's entry took its place.
    pub(super) fn complete_write(&mut self, index: u64, term: u64, effects: &mut Vec<Effect>) {
        let Some(write) = self.pending_writes.remove(&index) else { return };
        let same_term = write.term == term;
        let answer = if same_term { Answer::Accepted } else { Answer::Unavailable };
        send_answer(write.requester, answer, effects);
    }

    /// Answers writes as unavailable that were proposed in another term or have waited too long.
    pub(super) fn expire_writes(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        let term = self.replica.term();
        let expired =
            |write: &PendingWrite| write.term != term || now.since(write.since) > COMMIT_TIMEOUT;
        let indices: Vec<u64> = self.pending_writes.keys().copied().collect();
        for index in indices {
            if self.pending_writes.get(&index).is_some_and(expired) {
                if let Some(write) = self.pending_writes.remove(&index) {
                    send_answer(write.requester, Answer::Unavailable, effects);
                }
            }
        }
    }
}

/// Sends the answer to an operator's call to put a document, or to the daemon that forwarded the call.
fn send_answer(requester: Requester, answer: Answer, effects: &mut Vec<Effect>) {
    match requester {
        Requester::Local(ticket) => answer_operator(ticket, answer, OWN_DECISION, effects),
        Requester::Remote(daemon, ticket) => {
            let answered = answer == Answer::Accepted;
            let detail = format!("answered={answered} requester={daemon}");
            log_call(226, "forwarded call answered", ticket, detail, effects);
            let reply = Reply { ticket, answered, document: None };
            effects.push(Effect::Send(daemon, Body::Reply(reply)));
        }
    }
}

/// Answers an operator's call to this daemon. `by` says in the log who has decided it.
fn answer_operator(ticket: u64, answer: Answer, by: &str, effects: &mut Vec<Effect>) {
    let detail = format!("answer={answer} by={by}");
    log_call(223, "call answered", ticket, detail, effects);
    effects.push(Effect::Answer(ticket, answer));
}

/// Writes a log line about an operator's call.
fn log_call(
    code: u16,
    event: &'static str,
    ticket: u64,
    detail: String,
    effects: &mut Vec<Effect>,
) {
    effects.push(Effect::Log(journal::Event::new(code, event, format!("call-{ticket:x}"), detail)));
}
