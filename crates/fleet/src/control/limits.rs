//! Limits that endpoints state, and the slots that the leader assigns for their requests.
//!
//! An endpoint states how many requests per second it takes from all entry daemons together. Each
//! control daemon records what entry daemons have observed of it, and tells the others. The leader
//! divides the time of such an endpoint into slots of one request; an entry daemon asks for a slot
//! before it sends a request. What the endpoint gets thus depends neither on the number of entry
//! daemons nor on which of them are connected.

use std::collections::BTreeMap;
use std::time::Duration;

use dotterelhoist_core::clock::Instant;

use crate::limit::slot_length;
use crate::message::{Body, Limit, Reserve, Slot};
use crate::Name;

use super::endpoints::Table;
use super::{Effect, State};

/// Time for which the end of a limit is remembered; observations from before it arrive within it.
const ENDED_TTL: Duration = Duration::from_secs(10);
/// Time after which an entry daemon that asked a daemon which does not lead may ask again.
const NOT_LEADER_DELAY: Duration = Duration::from_millis(100);

/// What is known of one endpoint's limit.
#[derive(Clone, Copy, Debug)]
struct Known {
    /// Requests per second; none if the endpoint has stopped stating a limit.
    per_second: Option<f64>,
    /// When an entry daemon observed it.
    observed_at: Instant,
    /// Start time of the endpoint's incarnation in Unix milliseconds, if it is known.
    started_unix_ms: Option<u64>,
    /// Start of the first slot that is not assigned.
    next_slot: Instant,
}

/// The limits of endpoints, by identity.
#[derive(Debug, Default)]
pub struct Limits {
    known: BTreeMap<Name, Known>,
}

impl Limits {
    /// Records an observation of an entry daemon, unless a newer one is known.
    pub(super) fn record(&mut self, now: Instant, limit: &Limit, endpoints: &Table) {
        let observed_at = now.before(Duration::from_millis(limit.age_ms.into()));
        let started = endpoints.find(&limit.id).map(|endpoint| endpoint.heartbeat.started_unix_ms);
        let known = self.known.entry(limit.id.as_str().into()).or_insert(Known {
            per_second: None,
            observed_at,
            started_unix_ms: started,
            next_slot: now,
        });
        if observed_at < known.observed_at {
            return;
        }
        if known.per_second.is_none() {
            known.next_slot = now + limit.per_second.map_or(Duration::ZERO, slot_length);
        }
        known.per_second = limit.per_second;
        known.observed_at = observed_at;
    }

    /// Forgets the limits of endpoints that have started again or are gone, and ended ones.
    pub(super) fn expire(&mut self, now: Instant, endpoints: &Table) {
        self.known.retain(|id, known| {
            let endpoint = endpoints.find(id);
            let started = endpoint.map(|endpoint| endpoint.heartbeat.started_unix_ms);
            let same = known.started_unix_ms.is_none() || known.started_unix_ms == started;
            known.started_unix_ms = started;
            endpoint.is_some()
                && same
                && (known.per_second.is_some() || now.since(known.observed_at) < ENDED_TTL)
        });
    }

    /// The limits in force.
    pub(super) fn in_force(&self, now: Instant) -> Vec<Limit> {
        let limits = self.known.iter().filter(|(_, known)| known.per_second.is_some());
        let limits = limits.map(|(id, known)| Limit {
            id: id.to_string(),
            per_second: known.per_second,
            age_ms: now.since(known.observed_at).as_millis() as u32,
        });
        limits.collect()
    }

    /// Assigns the next free slot of an endpoint if it begins within `max_wait`.
    fn reserve(&mut self, now: Instant, id: String, max_wait: Duration) -> Slot {
        let known = self.known.get_mut(id.as_str());
        let Some((known, rate)) =
            known.and_then(|known| known.per_second.map(|rate| (known, rate)))
        else {
            return Slot { id, assigned: true, after_ms: 0 };
        };
        known.next_slot = known.next_slot.max(now);
        let wait = known.next_slot.since(now);
        let assigned = wait <= max_wait;
        if assigned {
            known.next_slot = known.next_slot + slot_length(rate);
        }
        Slot { id, assigned, after_ms: wait.as_millis() as u32 }
    }
}

impl<Decoder> State<Decoder> {
    /// Answers an entry daemon that asks for a slot; only the leader assigns any.
    pub(super) fn assign_slot(
        &mut self,
        now: Instant,
        to: Name,
        reserve: Reserve,
        effects: &mut Vec<Effect>,
    ) {
        let Some(limit) = reserve.limit else { return };
        self.limits.record(now, &limit, &self.endpoints);
        let slot = if self.replica.leads(now) {
            let max_wait = Duration::from_millis(reserve.wait_ms.into());
            self.limits.reserve(now, limit.id, max_wait)
        } else {
            let after_ms = NOT_LEADER_DELAY.as_millis() as u32;
            Slot { id: limit.id, assigned: false, after_ms }
        };
        effects.push(Effect::Send(to, Body::Slot(slot)));
    }
}
