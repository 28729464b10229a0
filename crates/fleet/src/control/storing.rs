//! Departures on stable storage, and the endpoints that wait until theirs is.
//!
//! An endpoint that has the answer to its deregistration says nothing more, so what was answered must outlast
//! the processes and a lost disk. Each control daemon stores each departure that it learns of in a file of its
//! own, and tells the daemon from which it has it. The endpoint is answered once its departure is stored here and
//! by another control daemon; after [`CONFIRMATION_TIMEOUT`] either will do, because the other daemons may be
//! down, or this disk may refuse writes. No quorum is needed.

use std::collections::BTreeMap;
use std::time::Duration;

use dotterelhoist_core::clock::Instant;

use crate::endpoint::DEPARTURE_TTL;
use crate::journal;
use crate::message::{Body, Departure, Departures};
use crate::Name;

use super::{Answer, Effect, Reader, State};

/// Time after which an endpoint is answered although its departure is stored by one daemon only.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(250);
/// Time after which an endpoint whose departure is stored by no daemon is told so. It calls the next daemon
/// after a second without an answer.
const STORAGE_TIMEOUT: Duration = Duration::from_millis(700);

/// Departures that this daemon stores, and who waits for them.
#[derive(Debug, Default)]
pub(super) struct Storage {
    /// Sequence number of the newest write.
    written: u64,
    /// Sequence number up to which all writes are on stable storage.
    stored: u64,
    /// The write with the departure of each endpoint.
    writes: BTreeMap<Name, Written>,
    /// Departures of which other daemons have told this one, and wait to hear that they are stored.
    tellers: Vec<Teller>,
    /// Endpoints that wait for the answer.
    waiting: Vec<Waiting>,
}

/// A departure that was written, or is being written.
#[derive(Debug)]
struct Written {
    sequence: u64,
    departure: Departure,
    at: Instant,
}

/// A control daemon that has told of the departure of an endpoint.
#[derive(Debug)]
struct Teller {
    daemon: Name,
    endpoint: Name,
}

/// An endpoint that waits for the answer to its call.
#[derive(Debug)]
struct Waiting {
    ticket: u64,
    endpoint: Name,
    since: Instant,
    /// Another control daemon that has stored its departure.
    confirmed_by: Option<Name>,
}

impl Storage {
    /// Whether the departure of an endpoint is on stable storage here; none if this daemon knows of none.
    fn is_stored(&self, endpoint: &str) -> Option<bool> {
        self.writes.get(endpoint).map(|written| written.sequence <= self.stored)
    }

    /// Records departures that are, or will be, on stable storage with this write.
    fn record(&mut self, now: Instant, sequence: u64, departures: &[Departure]) {
        for departure in departures {
            let at = now.before(Duration::from_millis(departure.age_ms.into()));
            let written = Written { sequence, departure: departure.clone(), at };
            self.writes.insert(departure.id.as_str().into(), written);
        }
    }

    /// Takes the daemons whose departures are stored by now, each with the departure.
    fn take_told(&mut self) -> Vec<(Name, Departure)> {
        let mut told = Vec::new();
        let (writes, stored) = (&self.writes, self.stored);
        self.tellers.retain(|teller| {
            let Some(written) = writes.get(&teller.endpoint) else { return false };
            if written.sequence <= stored {
                told.push((teller.daemon.clone(), written.departure.clone()));
            }
            written.sequence > stored
        });
        told
    }

    /// The answer that an endpoint gets now, if it need not wait longer.
    fn answer(&self, now: Instant, waiting: &Waiting) -> Option<Answer> {
        let Some(stored) = self.is_stored(&waiting.endpoint) else {
            return Some(Answer::Accepted);
        };
        let confirmed = waiting.confirmed_by.is_some();
        let waited = now.since(waiting.since);
        if (stored && confirmed) || (stored || confirmed) && waited >= CONFIRMATION_TIMEOUT {
            return Some(Answer::Accepted);
        }
        (waited >= STORAGE_TIMEOUT).then_some(Answer::Unavailable)
    }
}

impl<Decoder> State<Decoder>
where
    Decoder: Reader,
{
    /// Takes over the departures that were stored before this process started.
    pub fn restore_departures(&mut self, now: Instant, departures: &[Departure]) {
        for departure in departures {
            let at = now.before(Duration::from_millis(departure.age_ms.into()));
            let started = Some(departure.started_unix_ms).filter(|started| *started > 0);
            self.endpoints.record_departure(at, &departure.id, started);
        }
        self.endpoints.take_new_departures(now);
        self.storage.record(now, 0, departures);
    }

    /// Stores departures that this daemon has just learned of.
    pub(super) fn store_departures(
        &mut self,
        now: Instant,
        departures: &[Departure],
        effects: &mut Vec<Effect>,
    ) {
        self.storage.written += 1;
        let sequence = self.storage.written;
        self.storage.record(now, sequence, departures);
        effects.push(Effect::StoreDepartures(sequence, departures.to_vec()));
    }

    /// Notes that another control daemon wants to hear once the departure of an endpoint is stored.
    pub(super) fn record_teller(&mut self, daemon: Name, endpoint: Name) {
        self.storage.tellers.push(Teller { daemon, endpoint });
    }

    /// Records that an endpoint waits until its departure is stored.
    pub(super) fn await_departure(&mut self, now: Instant, ticket: u64, endpoint: Name) {
        self.storage.waiting.push(Waiting { ticket, endpoint, since: now, confirmed_by: None });
    }

    /// Records that all writes of departures up to this one are on stable storage.
    pub(super) fn mark_departures_stored(&mut self, sequence: u64) {
        self.storage.stored = self.storage.stored.max(sequence);
    }

    /// Records that another control daemon has stored departures.
    pub(super) fn confirm_departures(&mut self, from: &Name, departures: &Departures) {
        for waiting in &mut self.storage.waiting {
            let Some(written) = self.storage.writes.get(&waiting.endpoint) else { continue };
            let is_same = |departure: &&Departure| {
                *departure.id == *waiting.endpoint
                    && departure.started_unix_ms >= written.departure.started_unix_ms
            };
            if departures.departures.iter().any(|departure| is_same(&departure)) {
                waiting.confirmed_by.get_or_insert(from.clone());
            }
        }
    }

    /// Tells daemons and endpoints of the departures that are stored by now.
    pub(super) fn answer_departures(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        for (daemon, departure) in self.storage.take_told() {
            let body = Body::StoredDepartures(Departures { departures: vec![departure] });
            effects.push(Effect::Send(daemon, body));
        }
        for waiting in std::mem::take(&mut self.storage.waiting) {
            let Some(answer) = self.storage.answer(now, &waiting) else {
                self.storage.waiting.push(waiting);
                continue;
            };
            let detail = format!(
                "answer={answer} stored={:?} confirmed_by={:?} after_ms={}",
                self.storage.is_stored(&waiting.endpoint),
                waiting.confirmed_by,
                now.since(waiting.since).as_millis()
            );
            let event = journal::Event::new(218, "departure answered", &*waiting.endpoint, detail);
            effects.push(Effect::Log(event));
            effects.push(Effect::Answer(waiting.ticket, answer));
        }
    }

    /// Forgets the writes of departures whose time is over.
    pub(super) fn expire_stored_departures(&mut self, now: Instant) {
        self.storage.writes.retain(|_, written| now.since(written.at) < DEPARTURE_TTL);
    }
}
