//! Calls of operators: put a document, or get the one in force.
//!
//! Only the leader answers them. Any other daemon forwards a call to the leader, and queues it
//! while it knows of no leader. It never answers from its own state, which may be older than a
//! document that was already acknowledged.

use std::time::Duration;

use dotterelhoist_core::clock::Instant;

use crate::journal;
use crate::message::{Body, Call, Reply};
use crate::Name;

use super::state_machine::{Change, StoredDocument};
use super::{Answer, Effect, Reader, State};

/// Time for which a proposed document may wait for its commit; the call is then answered as
/// unavailable.
const COMMIT_TIMEOUT: Duration = Duration::from_millis(2500);
/// Time for which a call waits for a leader to become known; it is then answered as unavailable.
const LEADER_TIMEOUT: Duration = Duration::from_millis(900);
/// Time since its arrival after which a call that was forwarded to the leader is answered as
/// unavailable.
const FORWARD_TIMEOUT: Duration = Duration::from_millis(2600);

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
    body: Option<Vec<u8>>,
    /// When the call arrived.
    since: Instant,
    /// Whether it was forwarded to a leader.
    forwarded: bool,
}

impl<Decoder> State<Decoder>
where
    Decoder: Reader,
{
    /// Handles an operator's call to this daemon: `body` is a document to put, or none to get the
    /// one in force. An invalid document is refused at once.
    pub(super) fn handle_call(
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
        self.pending_calls.push(PendingCall { ticket, body, since: now, forwarded: false });
        self.process_calls(now, effects);
    }

    /// Answers the pending calls as leader, or forwards them to the leader. Calls that have waited
    /// too long are answered as unavailable.
    pub(super) fn process_calls(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        let leads = self.replica.can_serve_reads(now);
        let leader = self.replica.leader().filter(|leader| **leader != self.setup.daemon).cloned();
        let mut calls = std::mem::take(&mut self.pending_calls);
        calls.retain_mut(|call| {
            if leads && !call.forwarded {
                self.answer_as_leader(
                    now,
                    Requester::Local(call.ticket),
                    call.body.take(),
                    effects,
                );
                return false;
            }
            let timeout = if call.forwarded { FORWARD_TIMEOUT } else { LEADER_TIMEOUT };
            if now.since(call.since) > timeout {
                effects.push(Effect::Answer(call.ticket, Answer::Unavailable));
                return false;
            }
            if let Some(leader) = leader.as_ref().filter(|_| !call.forwarded) {
                call.forwarded = true;
                let request = Call { ticket: call.ticket, body: call.body.clone() };
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
        self.answer_as_leader(now, requester, request.body, effects);
    }

    /// Passes the leader's answer to a forwarded call on to the operator.
    pub(super) fn handle_forwarded_reply(&mut self, reply: Reply, effects: &mut Vec<Effect>) {
        let Some(at) = self.pending_calls.iter().position(|call| call.ticket == reply.ticket)
        else {
            return;
        };
        let call = self.pending_calls.remove(at);
        let answer = match reply.document {
            _ if !reply.answered => Answer::Unavailable,
            Some(document) => Answer::Document(document),
            None => Answer::Accepted,
        };
        effects.push(Effect::Answer(call.ticket, answer));
    }

    /// Answers a call as leader. A document with a higher version than the current one is proposed
    /// to the log and accepted once it is applied; any other is accepted without effect.
    fn answer_as_leader(
        &mut self,
        now: Instant,
        requester: Requester,
        body: Option<Vec<u8>>,
        effects: &mut Vec<Effect>,
    ) {
        let Some(body) = body else {
            let document = self.state_machine.document.as_ref();
            let answer = document.map(|document| Answer::Document(document.body.clone()));
            send_answer(requester, answer.unwrap_or(Answer::Unavailable), effects);
            return;
        };
        let Ok(document) = self.reader.read(&body) else {
            send_answer(requester, Answer::Unavailable, effects);
            return;
        };
        let version = document.version;
        if version <= self.state_machine.version() {
            send_answer(requester, Answer::Accepted, effects);
            return;
        }
        match self.propose(now, Change::SetDocument(StoredDocument { version, body })) {
            Some(index) => {
                let write = PendingWrite { requester, term: self.replica.term(), since: now };
                self.pending_writes.insert(index, write);
            }
            None => send_answer(requester, Answer::Unavailable, effects),
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

/// Sends an answer to an operator's call, or to the daemon that forwarded the call.
fn send_answer(requester: Requester, answer: Answer, effects: &mut Vec<Effect>) {
    match requester {
        Requester::Local(ticket) => effects.push(Effect::Answer(ticket, answer)),
        Requester::Remote(daemon, ticket) => {
            let answered = !matches!(answer, Answer::Unavailable | Answer::Invalid(_));
            let document = match answer {
                Answer::Document(document) => Some(document),
                _ => None,
            };
            let reply = Reply { ticket, answered, document };
            effects.push(Effect::Send(daemon, Body::Reply(reply)));
        }
    }
}
