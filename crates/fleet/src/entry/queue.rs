//! Queues of requests that wait for a free slot at an endpoint.

use std::collections::{BTreeMap, VecDeque};

use dotterelhoist_core::clock::Instant;

use crate::Name;

/// What an endpoint must serve to be sent a request: the service, and the model, which is empty for
/// a plain service.
pub type Requirement = (Name, Name);

/// A queued request.
#[derive(Clone, Debug)]
pub struct Waiting {
    /// Id of the request within this run of the daemon.
    pub id: u64,
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// Time until which it can still meet its latency target; afterwards, requests that can still
    /// meet theirs go first.
    pub on_time_until: Instant,
    /// Time at which it leaves the queue and is refused.
    pub expires: Instant,
}

/// One queue for each requirement, ordered by priority and then by arrival.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    queues: BTreeMap<Requirement, VecDeque<Waiting>>,
}

impl Queue {
    /// Adds a request behind those of the same priority.
    pub fn push(&mut self, requirement: Requirement, waiting: Waiting) {
        let queue = self.queues.entry(requirement).or_default();
        let at = queue.partition_point(|other| other.priority <= waiting.priority);
        queue.insert(at, waiting);
    }

    /// Requirements of the queued requests.
    pub fn requirements(&self) -> Vec<Requirement> {
        let waiting = self.queues.iter().filter(|(_, queue)| !queue.is_empty());
        waiting.map(|(requirement, _)| requirement.clone()).collect()
    }

    /// Number of queued requests with a requirement.
    pub fn len(&self, requirement: &Requirement) -> usize {
        self.queues.get(requirement).map_or(0, VecDeque::len)
    }

    /// Whether no request with a requirement is queued.
    pub fn is_empty(&self, requirement: &Requirement) -> bool {
        self.len(requirement) == 0
    }

    /// Id of the request to send next: the first that can still meet its latency target, or else
    /// the first of the queue.
    pub fn next(&self, requirement: &Requirement, now: Instant) -> Option<u64> {
        let queue = self.queues.get(requirement)?;
        let on_time = queue.iter().find(|waiting| now < waiting.on_time_until);
        on_time.or(queue.front()).map(|waiting| waiting.id)
    }

    /// The requests with a requirement, in their order.
    pub fn waiting(&self, requirement: &Requirement) -> Vec<Waiting> {
        self.queues.get(requirement).into_iter().flatten().cloned().collect()
    }

    /// When the last of the requests with a requirement expires; none if there are none.
    pub fn last_expiry(&self, requirement: &Requirement) -> Option<Instant> {
        self.queues.get(requirement)?.iter().map(|waiting| waiting.expires).max()
    }

    /// Removes a request.
    pub fn remove(&mut self, requirement: &Requirement, id: u64) {
        if let Some(queue) = self.queues.get_mut(requirement) {
            queue.retain(|waiting| waiting.id != id);
        }
    }

    /// Removes the requests that have expired and returns their ids.
    pub fn expire(&mut self, now: Instant) -> Vec<u64> {
        let mut expired = Vec::new();
        for queue in self.queues.values_mut() {
            queue.retain(|waiting| {
                if now >= waiting.expires {
                    expired.push(waiting.id);
                }
                now < waiting.expires
            });
        }
        expired
    }
}
