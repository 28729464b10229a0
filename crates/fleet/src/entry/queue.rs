//! Requests that wait for room at an endpoint.

use std::collections::{BTreeMap, VecDeque};

use dotterelhoist_core::clock::Instant;

use crate::Name;

/// What a request needs: endpoints of a service that serve a model, empty for a plain service.
pub type Need = (Name, Name);

/// A request that waits.
#[derive(Clone, Debug)]
pub struct Waiting {
    /// Number of the request.
    pub id: u64,
    /// Rank; 0 goes first.
    pub priority: u32,
    /// Moment up to which it can still be answered on time; later ones give way to those that can.
    pub fresh: Instant,
    /// Moment at which it is refused.
    pub until: Instant,
}

/// Waiting requests by need, each list ordered by rank and arrival.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    lists: BTreeMap<Need, VecDeque<Waiting>>,
}

impl Queue {
    /// Adds a request behind those of the same rank.
    pub fn push(&mut self, need: Need, waiting: Waiting) {
        let list = self.lists.entry(need).or_default();
        let at = list.partition_point(|other| other.priority <= waiting.priority);
        list.insert(at, waiting);
    }

    /// Needs that requests wait for.
    pub fn needs(&self) -> Vec<Need> {
        let waiting = self.lists.iter().filter(|(_, list)| !list.is_empty());
        waiting.map(|(need, _)| need.clone()).collect()
    }

    /// Number of requests that wait for a need.
    pub fn len(&self, need: &Need) -> usize {
        self.lists.get(need).map_or(0, VecDeque::len)
    }

    /// Whether nothing waits for a need.
    pub fn is_empty(&self, need: &Need) -> bool {
        self.len(need) == 0
    }

    /// Request that goes next: the first that can still be answered on time, else the first.
    pub fn next(&self, need: &Need, now: Instant) -> Option<u64> {
        let list = self.lists.get(need)?;
        let fresh = list.iter().find(|waiting| now < waiting.fresh);
        fresh.or(list.front()).map(|waiting| waiting.id)
    }

    /// Takes out the request that has waited longest of those that can't be answered on time.
    pub fn pop_stale(&mut self, need: &Need, now: Instant) -> Option<u64> {
        let list = self.lists.get_mut(need)?;
        let stale = list.iter().enumerate().filter(|(_, waiting)| now >= waiting.fresh);
        let (at, _) = stale.min_by_key(|(_, waiting)| waiting.fresh)?;
        list.remove(at).map(|waiting| waiting.id)
    }

    /// Takes out a request.
    pub fn remove(&mut self, need: &Need, id: u64) {
        if let Some(list) = self.lists.get_mut(need) {
            list.retain(|waiting| waiting.id != id);
        }
    }

    /// Takes out the requests whose time is over.
    pub fn expire(&mut self, now: Instant) -> Vec<u64> {
        let mut expired = Vec::new();
        for list in self.lists.values_mut() {
            list.retain(|waiting| {
                if now >= waiting.until {
                    expired.push(waiting.id);
                }
                now < waiting.until
            });
        }
        expired
    }
}
