//! Admission control: which requests wait, which are refused, and which is dispatched next.
//!
//! Each daemon has one queue for each service. Workspaces share the queue by weighted start-time
//! fair queueing, so a workspace that sends ten times its share only delays its own requests.
//! Priorities order the requests *within* a workspace and do not affect other workspaces. A request
//! that is not expected to finish before its deadline is refused as soon as that is known instead
//! of when the deadline passes.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::clock::Instant;
use crate::Name;

/// Starts older than this do not count towards the start rate from which the wait is estimated.
const RATE_WINDOW: Duration = Duration::from_secs(4);
/// Weight of the newest request in the exponentially weighted mean of run times and its deviation.
const RUN_TIME_WEIGHT: f64 = 0.05;

/// Number of mean deviations added to the mean run time when a request is checked against its
/// deadline.
const MARGIN_DEVIATIONS: f64 = 2.0;

/// A request waiting in a [`Queue`].
#[derive(Clone, Debug)]
pub struct Waiting {
    /// Number of the request.
    pub request: u64,
    /// Expected work, in any unit that is the same for all requests of the queue.
    pub cost: f64,
    /// Time by which the answer must be complete.
    pub deadline: Instant,
    /// Priority within the workspace; 0 is dispatched first.
    pub priority: u8,
}

/// Share and limit of a workspace in a queue.
#[derive(Clone, Debug)]
pub struct Quota {
    /// Name of the workspace.
    pub workspace: Name,
    /// Weight of the workspace in fair queueing.
    pub share: u32,
    /// Requests of the workspace that may wait; further ones are refused.
    pub queue: u32,
}

/// Why a request may not wait, with the delay after which it may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The workspace has too many requests waiting.
    QueueFull(Duration),
    /// The answer is not expected to be complete before the deadline.
    TooLate(Duration),
}

/// Waiting requests of one workspace.
#[derive(Clone, Debug, Default)]
struct Lane {
    /// Weight of the workspace.
    share: f64,
    /// Virtual time at which the requests started so far would finish; the lane with the smallest
    /// value is served next.
    virtual_finish: f64,
    /// Requests by priority and order of arrival.
    waiting: BTreeMap<(u8, u64), Waiting>,
}

/// Requests of all workspaces that wait for one service.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    /// Lanes by workspace.
    lanes: BTreeMap<Name, Lane>,
    /// Virtual time of start-time fair queueing: largest start tag of the requests started so far.
    virtual_time: f64,
    /// Sequence number of the next request to arrive.
    next_arrival: u64,
    /// Number of waiting requests over all lanes.
    len: usize,
    /// Times at which requests were started within [`RATE_WINDOW`].
    starts: VecDeque<Instant>,
    /// Run times of answered requests, none before the first one.
    run_time: Option<RunTime>,
}

/// Exponentially weighted statistics of how long requests run, in seconds.
#[derive(Clone, Copy, Debug)]
struct RunTime {
    mean: f64,
    /// Mean absolute deviation from `mean`.
    deviation: f64,
}

impl Queue {
    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether no requests wait.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Adds a request to the queue.
    ///
    /// # Errors
    ///
    /// Returns why the request may not wait; the queue is then unchanged. The deadline is checked
    /// only if other requests of the workspace are ahead, and a refused caller is told to retry
    /// after 100 ms at the earliest.
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
        let end = now + wait + self.typical_run_time();
        if ahead > 0 && end > waiting.deadline {
            return Err(Refusal::TooLate(wait.max(Duration::from_millis(100))));
        }
        let virtual_time = self.virtual_time;
        let lane = self.lanes.entry(quota.workspace.clone()).or_default();
        lane.share = f64::from(quota.share.max(1));
        lane.virtual_finish = lane.virtual_finish.max(virtual_time);
        lane.waiting.insert((waiting.priority, self.next_arrival), waiting);
        self.next_arrival += 1;
        self.len += 1;
        Ok(())
    }

    /// Returns the request to be dispatched next and leaves it in the queue; see [`Queue::start`].
    pub fn next(&self) -> Option<&Waiting> {
        self.next_lane().and_then(|name| self.lanes.get(name)?.waiting.values().next())
    }

    /// Removes the request to be dispatched next and charges its cost to its workspace.
    pub fn start(&mut self, now: Instant) -> Option<Waiting> {
        let name = self.next_lane()?.clone();
        let lane = self.lanes.get_mut(&name)?;
        let (_, waiting) = lane.waiting.pop_first()?;
        self.virtual_time = self.virtual_time.max(lane.virtual_finish);
        lane.virtual_finish += waiting.cost / lane.share;
        self.len -= 1;
        self.remove_idle_lane(&name);
        self.starts.push_back(now);
        self.drop_old_starts(now);
        Some(waiting)
    }

    /// Removes a request that is no longer to be dispatched; returns whether it was in the queue.
    pub fn remove(&mut self, workspace: &Name, request: u64) -> bool {
        let Some(lane) = self.lanes.get_mut(workspace) else { return false };
        let key = lane.waiting.iter().find(|(_, waiting)| waiting.request == request);
        let Some(key) = key.map(|(key, _)| *key) else { return false };
        lane.waiting.remove(&key);
        self.len -= 1;
        self.remove_idle_lane(workspace);
        true
    }

    /// Removes all requests that are no longer expected to finish before their deadlines and
    /// returns their numbers.
    pub fn expire(&mut self, now: Instant) -> Vec<u64> {
        let latest = now + self.typical_run_time();
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

    /// Records how long an answered request ran.
    pub fn record_duration(&mut self, ran: Duration) {
        let ran = ran.as_secs_f64();
        let run_time = self.run_time.get_or_insert(RunTime { mean: ran, deviation: 0.0 });
        let distance = ran - run_time.mean;
        run_time.mean += RUN_TIME_WEIGHT * distance;
        run_time.deviation += RUN_TIME_WEIGHT * (distance.abs() - run_time.deviation);
    }

    /// Time within which nearly all running requests finish; zero before the first one has
    /// finished.
    fn typical_run_time(&self) -> Duration {
        let time = self
            .run_time
            .map_or(0.0, |run_time| run_time.mean + MARGIN_DEVIATIONS * run_time.deviation);
        Duration::from_secs_f64(time)
    }

    /// Workspace of the nonempty lane with the smallest virtual finish time.
    fn next_lane(&self) -> Option<&Name> {
        let waiting = self.lanes.iter().filter(|(_, lane)| !lane.waiting.is_empty());
        waiting
            .min_by(|a, b| a.1.virtual_finish.total_cmp(&b.1.virtual_finish))
            .map(|(name, _)| name)
    }

    /// Removes a lane that is empty and whose virtual finish time has passed.
    fn remove_idle_lane(&mut self, name: &Name) {
        let virtual_time = self.virtual_time;
        let idle = |lane: &Lane| lane.waiting.is_empty() && lane.virtual_finish <= virtual_time;
        if self.lanes.get(name).is_some_and(idle) {
            self.lanes.remove(name);
        }
    }

    /// Drops start times that are older than [`RATE_WINDOW`].
    fn drop_old_starts(&mut self, now: Instant) {
        let horizon = now.before(RATE_WINDOW);
        while self.starts.front().is_some_and(|start| *start < horizon) {
            self.starts.pop_front();
        }
    }

    /// Expected wait, at most an hour, of a request with `ahead` others of its workspace before it,
    /// provided that the workspace gets its share of the recent start rate. Zero if none are ahead
    /// or no recent starts are known.
    fn expected_wait(
        &mut self,
        workspace: &Name,
        share: u32,
        ahead: usize,
        now: Instant,
    ) -> Duration {
        self.drop_old_starts(now);
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

/// Token bucket that limits a rate of events. Allows a burst of as many events as the rate permits
/// in one second, but at least of one.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    /// Events that are allowed at `refilled_at`.
    tokens: f64,
    /// Time up to which refilled tokens have been added.
    refilled_at: Instant,
}

impl TokenBucket {
    /// Creates a full bucket for a rate in events per second.
    pub fn full(rate: f64, now: Instant) -> TokenBucket {
        TokenBucket { tokens: rate.max(1.0), refilled_at: now }
    }

    /// Takes one token from a bucket that refills at `rate` tokens per second.
    ///
    /// # Errors
    ///
    /// Returns the time until the next token is available.
    pub fn take(&mut self, rate: f64, now: Instant) -> Result<(), Duration> {
        let gained = now.since(self.refilled_at).as_secs_f64() * rate;
        self.tokens = (self.tokens + gained).min(rate.max(1.0));
        self.refilled_at = now;
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        Err(Duration::from_secs_f64(((1.0 - self.tokens) / rate.max(1e-6)).min(3600.0)))
    }
}
