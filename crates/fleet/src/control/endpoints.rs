//! Endpoints as their heartbeats, probes and answers show them.
//!
//! This is soft state: each control daemon keeps its own and tells the others what it hears.

use std::collections::BTreeMap;
use std::time::Duration;

use dotterelhoist_core::clock::Instant;

use crate::endpoint::Heartbeat;
use crate::Name;

/// Time after which a silent endpoint is forgotten.
const FORGET: Duration = Duration::from_secs(60);

/// What is known of an endpoint.
#[derive(Clone, Debug)]
pub struct Known {
    /// Its newest heartbeat.
    pub beat: Heartbeat,
    /// When it last gave a sign of life.
    pub heard: Instant,
    /// When it was last found not to answer; none once it is heard of again.
    pub silent: Option<Instant>,
    /// Model of the last group that it was ready in since its start.
    pub served: Option<Name>,
    /// Whether another endpoint has started at its address, which proves that it has ended. That its
    /// address refuses connections proves nothing: a cut may reset them.
    pub dead: bool,
}

/// All endpoints by identity.
#[derive(Debug, Default)]
pub struct Table {
    known: BTreeMap<Name, Known>,
}

impl Table {
    /// Takes in a heartbeat that was said at `heard` at the latest; true if it is news.
    pub fn hear(&mut self, beat: Heartbeat, heard: Instant) -> bool {
        let id: Name = beat.id.as_str().into();
        if let Some(known) = self.known.get_mut(&id) {
            if !beat.supersedes(&known.beat) {
                return false;
            }
            let reborn = beat.started_unix_ms != known.beat.started_unix_ms;
            known.beat = beat;
            known.heard = known.heard.max(heard);
            known.silent = None;
            if reborn {
                known.served = None;
                known.dead = false;
            }
            return true;
        }
        let reused = |other: &Known| other.beat.address == beat.address;
        if self
            .known
            .values()
            .any(|other| reused(other) && other.beat.started_unix_ms > beat.started_unix_ms)
        {
            return false;
        }
        for other in self.known.values_mut().filter(|other| reused(other)) {
            other.beat.gone = true;
            other.dead = true;
        }
        let known = Known { beat, heard, silent: None, served: None, dead: false };
        self.known.insert(id, known);
        true
    }

    /// Takes in that an endpoint has ended or will soon end, without a heartbeat of its own.
    pub fn deregister(&mut self, id: &str) -> Option<Heartbeat> {
        let known = self.known.get_mut(id)?;
        known.beat.gone = true;
        known.beat.sequence += 1;
        Some(known.beat.clone())
    }

    /// One endpoint.
    pub fn find(&self, id: &str) -> Option<&Known> {
        self.known.get(id)
    }

    /// One endpoint, to be changed.
    pub fn find_mut(&mut self, id: &str) -> Option<&mut Known> {
        self.known.get_mut(id)
    }

    /// All endpoints.
    pub fn iter(&self) -> impl Iterator<Item = (&Name, &Known)> {
        self.known.iter()
    }

    /// Forgets endpoints that have ended or been silent for long.
    pub fn forget(&mut self, now: Instant) {
        self.known.retain(|_, known| now.since(known.heard) < FORGET);
    }
}

impl Known {
    /// Whether it has given a sign of life within `span` and was not found silent since.
    pub fn is_alive(&self, now: Instant, span: Duration) -> bool {
        self.is_alive_since(now, span, Instant::default())
    }

    /// Whether it gives signs of life, not counting silence from before `since`.
    pub fn is_alive_since(&self, now: Instant, span: Duration, since: Instant) -> bool {
        let silent = self.silent.is_some_and(|at| at >= since);
        !self.beat.gone && !silent && now.since(self.heard.max(since)) < span
    }

    /// Whether it can serve a model without a load from the weight store.
    pub fn is_warm(&self, model: &str) -> bool {
        self.served.as_deref() == Some(model)
            || self.beat.staged.iter().any(|staged| staged == model)
    }

    /// Whether it takes new work.
    pub fn is_usable(&self, now: Instant, span: Duration) -> bool {
        self.is_alive(now, span) && !self.beat.draining
    }
}
