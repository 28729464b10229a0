//! Admission: who waits, who is refused, and who goes next.
//!
//! Each service has a queue in each daemon. Workspaces share it by start-time fair queueing with
//! their weights, so a workspace that sends ten times its share only makes its own requests wait.
//! Priorities order the requests *within* a workspace and take nothing from another one. A request
//! that can't be finished before its deadline is refused when that is known, not when the deadline
//! has come.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::clock::Instant;
use crate::Name;

/// Window over which starts are counted for the expected wait.
const RATE_WINDOW: Duration = Duration::from_secs(4);
/// Weight of the newest request in the mean service time.
const SERVICE_WEIGHT: f64 = 0.05;

/// Distances from the mean that are kept free before a deadline.
const SPREADS: f64 = 2.0;

/// A request that waits.
#[derive(Clone, Debug)]
pub struct Waiting {
    /// Number of the request.
    pub request: u64,
    /// Work that it is expected to be, in any unit that is the same for all.
    pub cost: f64,
    /// Moment by which its answer must be whole.
    pub deadline: Instant,
    /// Priority within its workspace, 0 first.
    pub priority: u8,
}

/// Terms on which a workspace waits.
#[derive(Clone, Debug)]
pub struct Quota {
    /// Workspace.
    pub workspace: Name,
    /// Weight of its share.
    pub share: u32,
    /// Requests of it that may wait.
    pub queue: u32,
}

/// Why a request may not wait, with the time after which to come back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The workspace has too many requests waiting.
    QueueFull(Duration),
    /// The answer can't be whole before the deadline.
    TooLate(Duration),
}

#[derive(Clone, Debug, Default)]
struct Lane {
    share: f64,
    finish: f64,
    waiting: BTreeMap<(u8, u64), Waiting>,
}

/// Requests of all workspaces that wait for one service.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    lanes: BTreeMap<Name, Lane>,
    clock: f64,
    arrivals: u64,
    len: usize,
    starts: VecDeque<Instant>,
    service: Option<Service>,
}

/// How long requests run, in seconds.
#[derive(Clone, Copy, Debug)]
struct Service {
    mean: f64,
    /// Mean of the distance from the mean.
    spread: f64,
}

impl Queue {
    /// Requests that wait.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Lets a request wait.
    ///
    /// # Errors
    ///
    /// Returns why it may not; it has then left no trace.
    pub fn push(&mut self, quota: &Quota, waiting: Waiting, now: Instant) -> Result<(), Refusal> {
        let ahead = self.lanes.get(&quota.workspace).map_or(0, |lane| {
            let first = (waiting.priority, u64::MAX);
            lane.waiting.range(..=first).count()
        });
        let wait = self.expected_wait(&quota.workspace, quota.share, ahead, now);
        let in_lane = self.lanes.get(&quota.workspace).map_or(0, |lane| lane.waiting.len());
        if in_lane >= quota.queue as usize {
            return Err(Refusal::QueueFull(wait.max(Duration::from_millis(100))));
        }
        let end = now + wait + self.service_time();
        if ahead > 0 && end > waiting.deadline {
            return Err(Refusal::TooLate(wait.max(Duration::from_millis(100))));
        }
        let clock = self.clock;
        let lane = self.lanes.entry(quota.workspace.clone()).or_default();
        lane.share = f64::from(quota.share.max(1));
        lane.finish = lane.finish.max(clock);
        lane.waiting.insert((waiting.priority, self.arrivals), waiting);
        self.arrivals += 1;
        self.len += 1;
        Ok(())
    }

    /// The request that goes next, which stays in the queue until [`Queue::start`].
    pub fn next(&self) -> Option<&Waiting> {
        self.next_lane().and_then(|name| self.lanes.get(name)?.waiting.values().next())
    }

    /// Takes out the request that goes next and charges its workspace for it.
    pub fn start(&mut self, now: Instant) -> Option<Waiting> {
        let name = self.next_lane()?.clone();
        let lane = self.lanes.get_mut(&name)?;
        let (_, waiting) = lane.waiting.pop_first()?;
        self.clock = self.clock.max(lane.finish);
        lane.finish += waiting.cost / lane.share;
        self.len -= 1;
        self.drop_idle(&name);
        self.starts.push_back(now);
        self.trim(now);
        Some(waiting)
    }

    /// Takes out a request whose caller has gone.
    pub fn remove(&mut self, workspace: &Name, request: u64) -> bool {
        let Some(lane) = self.lanes.get_mut(workspace) else { return false };
        let key = lane.waiting.iter().find(|(_, waiting)| waiting.request == request);
        let Some(key) = key.map(|(key, _)| *key) else { return false };
        lane.waiting.remove(&key);
        self.len -= 1;
        self.drop_idle(workspace);
        true
    }

    /// Takes out all requests that can't be finished before their deadlines any more.
    pub fn expire(&mut self, now: Instant) -> Vec<u64> {
        let latest = now + self.service_time();
        let mut late = Vec::new();
        for lane in self.lanes.values_mut() {
            lane.waiting.retain(|_, waiting| {
                let keep = latest <= waiting.deadline;
                if !keep {
                    late.push(waiting.request);
                }
                keep
            });
        }
        self.len -= late.len();
        late
    }

    /// Notes how long a request ran.
    pub fn record_duration(&mut self, ran: Duration) {
        let ran = ran.as_secs_f64();
        let service = self.service.get_or_insert(Service { mean: ran, spread: 0.0 });
        let distance = ran - service.mean;
        service.mean += SERVICE_WEIGHT * distance;
        service.spread += SERVICE_WEIGHT * (distance.abs() - service.spread);
    }

    /// Time after which a refused request may find room.
    pub fn retry_after(&mut self, quota: &Quota, now: Instant) -> Duration {
        let ahead = self.lanes.get(&quota.workspace).map_or(0, |lane| lane.waiting.len());
        let wait = self.expected_wait(&quota.workspace, quota.share, ahead, now);
        wait.max(Duration::from_millis(100))
    }

    /// Time in which nearly all requests are done once they run.
    fn service_time(&self) -> Duration {
        let time = self.service.map_or(0.0, |service| service.mean + SPREADS * service.spread);
        Duration::from_secs_f64(time)
    }

    fn next_lane(&self) -> Option<&Name> {
        let waiting = self.lanes.iter().filter(|(_, lane)| !lane.waiting.is_empty());
        waiting.min_by(|a, b| a.1.finish.total_cmp(&b.1.finish)).map(|(name, _)| name)
    }

    fn drop_idle(&mut self, name: &Name) {
        let clock = self.clock;
        let idle = |lane: &Lane| lane.waiting.is_empty() && lane.finish <= clock;
        if self.lanes.get(name).is_some_and(idle) {
            self.lanes.remove(name);
        }
    }

    fn trim(&mut self, now: Instant) {
        let horizon = now.before(RATE_WINDOW);
        while self.starts.front().is_some_and(|start| *start < horizon) {
            self.starts.pop_front();
        }
    }

    /// Wait of a request with `ahead` others of its workspace before it, if the workspace gets its
    /// share of the starts seen lately.
    fn expected_wait(
        &mut self,
        workspace: &Name,
        share: u32,
        ahead: usize,
        now: Instant,
    ) -> Duration {
        self.trim(now);
        if ahead == 0 || self.starts.is_empty() {
            return Duration::ZERO;
        }
        let first = self.starts.front().copied().unwrap_or(now);
        let window = now.since(first).max(Duration::from_millis(250)).as_secs_f64();
        let rate = self.starts.len() as f64 / window;
        let others = self
            .lanes
            .iter()
            .filter(|(name, lane)| !lane.waiting.is_empty() && **name != *workspace);
        let others: f64 = others.map(|(_, lane)| lane.share).sum();
        let own = f64::from(share.max(1));
        let own_rate = rate * own / (own + others);
        Duration::from_secs_f64((ahead as f64 / own_rate).min(3600.0))
    }
}

/// A limit of events per second with a burst of one second.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    tokens: f64,
    filled: Instant,
}

impl TokenBucket {
    /// A full bucket.
    pub fn full(rate: f64, now: Instant) -> TokenBucket {
        TokenBucket { tokens: rate.max(1.0), filled: now }
    }

    /// Takes one token.
    ///
    /// # Errors
    ///
    /// Returns the time until there is one.
    pub fn take(&mut self, rate: f64, now: Instant) -> Result<(), Duration> {
        let gained = now.since(self.filled).as_secs_f64() * rate;
        self.tokens = (self.tokens + gained).min(rate.max(1.0));
        self.filled = now;
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        Err(Duration::from_secs_f64(((1.0 - self.tokens) / rate.max(1e-6)).min(3600.0)))
    }
}
