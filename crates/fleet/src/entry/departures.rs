//! Endpoints that leave, of which any control daemon has told this daemon.
//!
//! They get no more requests, whichever control daemon lists them: the one that this daemon selects
//! next may not have learned of a departure that another one has acknowledged.

use std::collections::BTreeMap;
use std::time::Duration;

use dotterelhoist_core::clock::Instant;

use crate::control::Reader;
use crate::endpoint::DEPARTURE_TTL;
use crate::journal;
use crate::message::{Body, Departure, Departures as Message, Target as Description};
use crate::Name;

use super::{Effect, State};

/// The departure of one endpoint.
#[derive(Clone, Copy, Debug)]
struct Known {
    /// Start time of the incarnation in Unix milliseconds; 0 if it is not known, then any is meant.
    started_unix_ms: u64,
    /// When it was first acknowledged.
    at: Instant,
}

/// Departures of the last [`DEPARTURE_TTL`], by the identity of the endpoint.
#[derive(Debug, Default)]
pub struct Departures {
    known: BTreeMap<Name, Known>,
}

impl Departures {
    /// Records a departure. Returns false if this or a later incarnation is known to have left.
    pub fn record(&mut self, now: Instant, departure: &Departure) -> bool {
        let at = now.before(Duration::from_millis(departure.age_ms.into()));
        let started_unix_ms = departure.started_unix_ms;
        let id: Name = departure.id.as_str().into();
        if self.known.get(&id).is_some_and(|known| known.started_unix_ms >= started_unix_ms) {
            return false;
        }
        self.known.insert(id, Known { started_unix_ms, at });
        true
    }

    /// Whether the endpoint of a view has left.
    pub fn contain(&self, description: &Description) -> bool {
        self.known.get(&*description.id).is_some_and(|known| {
            known.started_unix_ms == 0 || known.started_unix_ms >= description.started_unix_ms
        })
    }

    /// Forgets departures whose time is over.
    pub fn expire(&mut self, now: Instant) {
        self.known.retain(|_, known| now.since(known.at) < DEPARTURE_TTL);
    }

    /// All departures, as control daemons are told.
    pub fn list(&self, now: Instant) -> Vec<Departure> {
        let departure = |(id, known): (&Name, &Known)| Departure {
            id: id.to_string(),
            started_unix_ms: known.started_unix_ms,
            age_ms: now.since(known.at).as_millis() as u32,
        };
        self.known.iter().map(departure).collect()
    }
}

impl<Decoder> State<Decoder>
where
    Decoder: Reader,
{
    /// Tells a control daemon that has connected of all departures: it may have started after them.
    pub(super) fn send_departures(&self, now: Instant, to: &Name, effects: &mut Vec<Effect>) {
        let departures = self.targets.departures.list(now);
        if !departures.is_empty() {
            effects.push(Effect::Send(to.clone(), Body::Departures(Message { departures })));
        }
    }

    /// Records departures of which a control daemon has told; their endpoints get no more requests.
    pub(super) fn record_departures(
        &mut self,
        now: Instant,
        from: &Name,
        departures: &Message,
        effects: &mut Vec<Effect>,
    ) {
        for departure in &departures.departures {
            if self.targets.record_departure(now, departure) {
                let detail = format!("started={} told_by={from}", departure.started_unix_ms);
                let event = journal::Event::new(128, "endpoint leaves", &*departure.id, detail);
                effects.push(Effect::Log(event));
            }
        }
    }
}
