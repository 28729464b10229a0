//! Endpoints that take requests, and the choice among them.
//!
//! The load of an endpoint is this daemon's own requests plus those of the other entry daemons as
//! the control daemon last counted them.

use std::collections::BTreeMap;
use std::time::Duration;

use dotterelhoist_core::clock::Instant;

use crate::message::{Loads, Target as Entry, View};
use crate::Name;

use super::queue::Need;

/// Least time without any part of an answer after which an endpoint with begun answers counts as
/// stalled.
const STALL_MIN: Duration = Duration::from_millis(350);
/// Longest such time.
const STALL_MAX: Duration = Duration::from_millis(1500);
/// Multiple of the usual time between parts of answers after which an endpoint counts as stalled.
const STALL_FACTOR: f64 = 5.0;
/// Weight of the newest time between parts of answers.
const GAP_WEIGHT: f64 = 0.1;
/// Time between parts of answers that are taken to be sent together.
const TOGETHER: Duration = Duration::from_millis(10);
/// The same for an endpoint whose requests have all not begun.
const STALL_UNBEGUN: Duration = Duration::from_millis(1200);
/// Time between parts of answers that is assumed at first.
const GAP_DEFAULT: Duration = Duration::from_millis(100);
/// First time for which a failing endpoint is left out.
const EJECT_MIN: Duration = Duration::from_millis(500);
/// Longest time for which a failing endpoint is left out.
const EJECT_MAX: Duration = Duration::from_secs(8);
/// Weight of the newest outcome in the failure rate.
const OUTCOME_WEIGHT: f64 = 0.15;
/// Failure rate from which an endpoint counts as failing although some requests succeed.
const FAILING: f64 = 0.3;
/// Prompt tokens that take about as long to read as one running request delays a new one.
const TOKENS_PER_REQUEST: f64 = 120.0;
/// Prompt tokens that another availability zone must have fewer to be preferred.
const ZONE_PENALTY: f64 = 300.0;
/// Random part of the comparison of endpoints, in prompt tokens.
const JITTER: f64 = 120.0;
/// Requests beyond its slots that a plain endpoint is given, as a part of the slots.
const PLAIN_QUEUE: f64 = 1.0;
/// Requests beyond its slots that a group is given, as a part of the slots.
const GROUP_QUEUE: f64 = 0.0;
/// Time for which a suspicion is reported.
const SUSPICION: Duration = Duration::from_millis(600);

/// An endpoint that takes requests, or has taken some that still run.
#[derive(Debug)]
pub struct Target {
    /// What the control daemon says.
    pub entry: Entry,
    /// Whether it is in the view.
    listed: bool,
    /// Requests of this daemon.
    running: u32,
    /// Requests of other daemons.
    others: u32,
    /// Requests of this daemon whose answer has begun.
    begun: u32,
    /// Prompt tokens of the requests of this daemon whose answer has not begun.
    backlog: u32,
    /// The same of other daemons.
    others_backlog: u32,
    /// When it last sent a part of an answer, or got its first request after a time without.
    progress: Instant,
    /// Usual time between parts of answers, in seconds.
    gap: f64,
    /// Whether it has sent a part of an answer since the last report.
    moved: bool,
    failure_rate: f64,
    failures: u32,
    ejected: Instant,
    suspected: Option<Instant>,
    /// When no connection to it could be built.
    unreachable: Option<Instant>,
}

/// All endpoints.
#[derive(Debug)]
pub struct Targets {
    zone: Name,
    sequence: u64,
    order: Vec<Name>,
    targets: BTreeMap<Name, Target>,
}

/// What was found for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Found {
    /// An endpoint with room.
    Room(Name),
    /// All are full.
    Full,
    /// There is none.
    None,
}

impl Targets {
    /// Creates an empty list for a daemon in `zone`.
    pub fn new(zone: Name) -> Targets {
        Targets { zone, sequence: 0, order: Vec::new(), targets: BTreeMap::new() }
    }

    /// Replaces the list.
    pub fn take_view(&mut self, view: View, now: Instant) {
        self.sequence = view.sequence;
        self.order = view.targets.iter().map(|entry| entry.id.as_str().into()).collect();
        for target in self.targets.values_mut() {
            target.listed = false;
        }
        for entry in view.targets {
            let id: Name = entry.id.as_str().into();
            match self.targets.get_mut(&id) {
                Some(target) => {
                    if target.entry.group != entry.group {
                        target.ejected = Instant::default();
                        target.failures = 0;
                        target.failure_rate = 0.0;
                    }
                    target.entry = entry;
                    target.listed = true;
                }
                None => {
                    self.targets.insert(id, Target::new(entry, now));
                }
            }
        }
        self.targets.retain(|_, target| target.listed || target.running > 0);
    }

    /// Takes in how many requests other daemons have at each endpoint.
    pub fn take_loads(&mut self, loads: &Loads) {
        if loads.sequence != self.sequence {
            return;
        }
        for (at, id) in self.order.iter().enumerate() {
            let Some(target) = self.targets.get_mut(id) else { continue };
            let running = loads.running.get(at).copied().unwrap_or(0);
            let own = loads.own.get(at).copied().unwrap_or(0);
            target.others = running.saturating_sub(own);
            target.others_backlog = loads.backlog.get(at).copied().unwrap_or(0);
        }
    }

    /// Chooses an endpoint for a request that has already been sent to `tried`.
    pub fn find(&self, need: &Need, tried: &[Name], now: Instant, draw: u64) -> Found {
        let mut best: Option<(f64, &Name)> = None;
        let mut any = false;
        for (at, (id, target)) in self.targets.iter().enumerate() {
            if !target.serves(need) || tried.contains(id) || now < target.ejected {
                continue;
            }
            any = true;
            if target.load() >= target.limit() {
                continue;
            }
            let noise = (draw.rotate_left(at as u32 * 7) & 0xff) as f64 / 256.0 * JITTER;
            let far = if *target.entry.zone == *self.zone { 0.0 } else { ZONE_PENALTY };
            let score = target.wait() + noise + far;
            if best.is_none_or(|(least, _)| score < least) {
                best = Some((score, id));
            }
        }
        match best {
            Some((_, id)) => Found::Room(id.clone()),
            None if any => Found::Full,
            None => Found::None,
        }
    }

    /// Requests that the endpoints for a need can take in all.
    pub fn capacity(&self, need: &Need) -> u32 {
        let serving = self.targets.values().filter(|target| target.serves(need));
        serving.map(|target| target.entry.slots).sum()
    }

    /// One endpoint.
    pub fn target(&self, id: &Name) -> Option<&Target> {
        self.targets.get(id)
    }

    /// Notes a send.
    pub fn sent(&mut self, id: &Name, prompt: u32, now: Instant) {
        let Some(target) = self.targets.get_mut(id) else { return };
        if target.running == 0 {
            target.progress = now;
        }
        target.running += 1;
        target.backlog += prompt;
    }

    /// Notes that an answer has begun.
    pub fn begun(&mut self, id: &Name, prompt: u32) {
        if let Some(target) = self.targets.get_mut(id) {
            target.begun += 1;
            target.backlog = target.backlog.saturating_sub(prompt);
        }
    }

    /// Notes the end of an attempt.
    pub fn ended(&mut self, id: &Name, begun: bool, prompt: u32) {
        let Some(target) = self.targets.get_mut(id) else { return };
        target.running = target.running.saturating_sub(1);
        if begun {
            target.begun = target.begun.saturating_sub(1);
        } else {
            target.backlog = target.backlog.saturating_sub(prompt);
        }
    }

    /// Notes a success.
    pub fn succeeded(&mut self, id: &Name) {
        let Some(target) = self.targets.get_mut(id) else { return };
        target.failures = 0;
        target.failure_rate *= 1.0 - OUTCOME_WEIGHT;
    }

    /// Notes a failure, and leaves the endpoint out for a while if it keeps failing. One that could
    /// not be reached at all is left out at once.
    pub fn failed(&mut self, id: &Name, unreachable: bool, now: Instant) {
        let Some(target) = self.targets.get_mut(id) else { return };
        target.failures += 1;
        target.failure_rate += OUTCOME_WEIGHT * (1.0 - target.failure_rate);
        if unreachable || target.failures >= 3 || target.failure_rate > FAILING {
            let doubled = EJECT_MIN * 2u32.pow(target.failures.min(6) - 1);
            target.ejected = now + doubled.min(EJECT_MAX);
        }
        if unreachable {
            target.unreachable = Some(now);
            target.suspected = Some(now);
        }
    }

    /// Notes that an endpoint has sent a part of an answer.
    pub fn record_progress(&mut self, id: &Name, now: Instant) {
        let Some(target) = self.targets.get_mut(id) else { return };
        let gap = now.since(target.progress);
        if target.begun > 0 && gap > TOGETHER {
            target.gap += GAP_WEIGHT * (gap.as_secs_f64().min(1.0) - target.gap);
        }
        target.progress = now;
        target.moved = true;
        target.suspected = None;
    }

    /// Notes the load that an endpoint has stated.
    pub fn record_load(&mut self, id: &Name, running: u32, waiting: u32) {
        let Some(target) = self.targets.get_mut(id) else { return };
        let stated = running + waiting;
        target.others = target.others.max(stated.saturating_sub(target.running));
    }

    /// Endpoints that hold requests and make no progress; they are left out and suspected.
    pub fn stalled(&mut self, now: Instant) -> Vec<Name> {
        let mut stalled = Vec::new();
        for (id, target) in &mut self.targets {
            if target.running == 0 || target.entry.model.is_empty() {
                continue;
            }
            let usual = Duration::from_secs_f64(target.gap * STALL_FACTOR);
            let usual = usual.clamp(STALL_MIN, STALL_MAX);
            let patience = if target.begun > 0 { usual } else { STALL_UNBEGUN };
            if now.since(target.progress) > patience {
                target.suspected = Some(now);
                target.ejected = target.ejected.max(now + EJECT_MIN * 2);
                stalled.push(id.clone());
            }
        }
        stalled
    }

    /// Whether an endpoint has probably ended: it is no longer listed, or can't be reached.
    pub fn has_ended(&self, id: &Name, now: Instant) -> bool {
        self.targets.get(id).is_none_or(|target| {
            !target.listed || target.unreachable.is_some_and(|at| now.since(at) < SUSPICION)
        })
    }

    /// Counts all silence from now on: this daemon itself stood still.
    pub fn forgive(&mut self, now: Instant) {
        for target in self.targets.values_mut() {
            target.progress = now;
        }
    }

    /// Requests of this daemon by endpoint, and the prompt tokens of those that have not begun.
    pub fn running(&self) -> impl Iterator<Item = (&Name, u32, u32)> {
        let busy = self.targets.iter().filter(|(_, target)| target.running > 0);
        busy.map(|(id, target)| (id, target.running, target.backlog))
    }

    /// Endpoints that are suspected.
    pub fn suspects(&self, now: Instant) -> Vec<String> {
        let suspected = |target: &Target| {
            target.suspected.is_some_and(|at| now.since(at) < SUSPICION) && target.listed
        };
        let names = self.targets.iter().filter(|(_, target)| suspected(target));
        names.map(|(id, _)| id.to_string()).collect()
    }

    /// Endpoints that have sent parts of answers since the last call.
    pub fn take_progress(&mut self) -> Vec<String> {
        let mut moved = Vec::new();
        for (id, target) in &mut self.targets {
            if std::mem::take(&mut target.moved) && !target.entry.group.is_empty() {
                moved.push(id.to_string());
            }
        }
        moved
    }
}

impl Target {
    fn new(entry: Entry, now: Instant) -> Target {
        Target {
            entry,
            listed: true,
            running: 0,
            others: 0,
            begun: 0,
            backlog: 0,
            others_backlog: 0,
            progress: now,
            gap: GAP_DEFAULT.as_secs_f64(),
            moved: false,
            failure_rate: 0.0,
            failures: 0,
            ejected: Instant::default(),
            suspected: None,
            unreachable: None,
        }
    }

    fn serves(&self, need: &Need) -> bool {
        self.listed && *self.entry.service == *need.0 && *self.entry.model == *need.1
    }

    fn load(&self) -> f64 {
        f64::from(self.running + self.others)
    }

    /// How long a new request would wait, as prompt tokens that are read first.
    fn wait(&self) -> f64 {
        f64::from(self.backlog + self.others_backlog) + self.load() * TOKENS_PER_REQUEST
    }

    fn limit(&self) -> f64 {
        let beyond = if self.entry.group.is_empty() { PLAIN_QUEUE } else { GROUP_QUEUE };
        f64::from(self.entry.slots) * (1.0 + beyond)
    }
}
