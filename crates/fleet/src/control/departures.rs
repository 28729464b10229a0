//! Endpoints that leave, as control daemons tell each other and the entry daemons.
//!
//! An endpoint that has deregistered, or reported that it drains, may say nothing more, so what one
//! daemon has acknowledged must reach all others, also those that were cut off, paused or started
//! since. Each departure is sent to all connected daemons at once, and all departures of the last
//! [`DEPARTURE_TTL`](crate::endpoint::DEPARTURE_TTL) to each daemon to which a connection comes up.
//! Entry daemons send theirs to each control daemon in the same way, so that departures outlast the
//! loss of all control daemons. Control daemons store them as well ([`super::storing`]).

use std::time::Duration;

use dotterelhoist_core::clock::Instant;

use crate::journal;
use crate::message::{AgedHeartbeat, Body, Departures, Heartbeats};
use crate::Name;

use super::{Effect, Reader, State};

impl<Decoder> State<Decoder>
where
    Decoder: Reader,
{
    /// Tells another control daemon, to which a connection has come up, of all departures. It may have
    /// missed some, and what was sent on an earlier connection may be lost.
    pub(super) fn send_departures(&self, now: Instant, to: Name, effects: &mut Vec<Effect>) {
        let aged = |(heartbeat, at): (_, Instant)| AgedHeartbeat {
            heartbeat: Some(heartbeat),
            age_ms: now.since(at).as_millis() as u32,
        };
        let heartbeats: Vec<AgedHeartbeat> = self.endpoints.departed().map(aged).collect();
        if heartbeats.is_empty() {
            return;
        }
        let detail = format!("count={}", heartbeats.len());
        effects.push(Effect::Log(journal::Event::new(215, "departures sent", &*to, detail)));
        effects.push(Effect::Send(to, Body::Heartbeats(Heartbeats { heartbeats })));
    }

    /// Tells an entry daemon that has connected of all departures.
    pub(super) fn greet_subscriber(&self, now: Instant, to: Name, effects: &mut Vec<Effect>) {
        let departures = self.endpoints.list_departures(now);
        if !departures.is_empty() {
            effects.push(Effect::Send(to, Body::Departures(Departures { departures })));
        }
    }

    /// Stores the departures that this daemon has learned of since the last call, and tells all connected entry
    /// daemons of them.
    pub(super) fn announce_departures(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        let departures = self.endpoints.take_new_departures(now);
        if departures.is_empty() {
            return;
        }
        for departure in &departures {
            let detail = format!("started={}", departure.started_unix_ms);
            let event = journal::Event::new(216, "endpoint leaves", &*departure.id, detail);
            effects.push(Effect::Log(event));
        }
        self.store_departures(now, &departures, effects);
        let body = Body::Departures(Departures { departures });
        for subscriber in self.distributor.subscriber_names() {
            effects.push(Effect::Send(subscriber.clone(), body.clone()));
        }
    }

    /// Records the departures of which an entry daemon knows.
    pub(super) fn record_departures(&mut self, now: Instant, departures: Departures) {
        for departure in departures.departures {
            let at = now.before(Duration::from_millis(departure.age_ms.into()));
            let started = Some(departure.started_unix_ms).filter(|started| *started > 0);
            self.endpoints.record_departure(at, &departure.id, started);
        }
    }
}
