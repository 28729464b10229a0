//! What a control daemon concludes from lost responses.
//!
//! A lost response is not the end of an endpoint: the daemon that lost it may be cut off, or the
//! endpoint may have reset one connection. The control daemon looks for evidence of its own
//! ([`Evidence`]), and counts one end for each incarnation, however many responses and daemons lost
//! something with it. All that ran there was lost with it, so sound requests are lost too. What
//! speaks for a feature is an answer that survives: only ends after the last one count. What speaks
//! against one is that it was lost with every end, so of several features the one with the most ends
//! is barred first, and its ends then count for no other.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use dotterelhoist_core::clock::Instant;

use crate::message::{Bar, Loss, Report};
use crate::Name;

use super::bars::{Bars, BAR_TTL};
use super::older::Crashes;
use super::Feature;

/// A feature is barred once this many endpoints have ended under it, and no answer with it survived.
const CRASH_LIMIT: u32 = 3;
/// Number of ends from which on a feature is suspected: entry daemons are asked for survivals.
const SUSPICION_LIMIT: u32 = 2;
/// Time for which entry daemons are asked for survivals before a feature is barred.
const SURVIVAL_WAIT: Duration = Duration::from_millis(600);
/// Endpoints that end within this time of each other have one cause, which is no request: they count
/// as one end.
const COMMON_CAUSE_TIME: Duration = Duration::from_millis(50);
/// Time after a loss within which the endpoint must be found to have ended; otherwise the loss is
/// dropped.
const CONFIRMATION_WINDOW: Duration = Duration::from_secs(4);
/// Time after a loss in which entry daemons may report that the endpoint goes on.
const CONTRADICTION_TIME: Duration = Duration::from_millis(200);
/// Minimum time between two probes of an endpoint.
const PROBE_INTERVAL: Duration = Duration::from_millis(300);
/// Time for which an end counts.
const END_TTL: Duration = Duration::from_secs(120);
/// Number of incarnations that are kept; of more, the oldest is dropped.
const ENDS_MAX: usize = 256;
/// Number of features that are kept for each end; further ones are ignored.
const FEATURES_MAX: usize = 512;
/// Number of features that are suspected at the same time: those with the most ends.
const SUSPECTS_MAX: usize = 64;
/// Minimum time between two rounds in which ends are counted.
const COUNT_INTERVAL: Duration = Duration::from_millis(100);

/// One incarnation of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Incarnation {
    /// Identity of the endpoint.
    pub endpoint: Name,
    /// Start time in Unix milliseconds.
    pub started_unix_ms: u64,
}

/// What a control daemon knows of an incarnation that lost responses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Evidence {
    /// It has ended.
    Ended,
    /// It goes on, or it has left as planned.
    NoCrash,
    /// Neither is known; a probe can tell.
    Unknown,
    /// Neither is known, and a probe can't tell.
    Unreachable,
}

/// An incarnation that lost responses.
#[derive(Debug)]
struct Case {
    /// When its first response was lost.
    lost_at: Instant,
    service: Name,
    /// Features of the requests that were lost with it.
    features: BTreeSet<Feature>,
    /// Whether it has ended.
    ended: bool,
    probed_at: Option<Instant>,
}

/// Ends that count against one feature.
#[derive(Clone, Copy, Debug)]
struct Tally {
    ends: u32,
    /// When the last of them was.
    last: Instant,
    /// Whether answers of the same service survived meanwhile; otherwise the endpoints are at fault.
    has_contrast: bool,
}

/// A feature that was barred.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NewBar {
    /// The feature.
    pub feature: Feature,
    /// Number of ends that count against it.
    pub ends: u32,
}

/// What an update has changed.
#[derive(Debug, Default)]
pub struct Findings {
    /// Incarnations that have ended with lost responses.
    pub ended: Vec<Incarnation>,
    /// Endpoints to probe.
    pub probes: Vec<Name>,
    /// Features that are barred from now on.
    pub new_bars: Vec<NewBar>,
    /// Whether entry daemons are to be told of a change at once.
    pub changed: bool,
}

/// The losses that entry daemons have reported to a control daemon, and what follows from them.
#[derive(Debug, Default)]
pub struct Attribution {
    /// Incarnations that lost responses.
    cases: BTreeMap<Incarnation, Case>,
    /// Last survival with each feature.
    survivals: BTreeMap<Feature, Instant>,
    /// Last survival of any request to each service.
    services: BTreeMap<Name, Instant>,
    /// Suspected features, and since when entry daemons are asked for survivals.
    suspected: BTreeMap<Feature, Instant>,
    bars: Bars,
    /// Counts of entry daemons that run an older build.
    older: Crashes,
    /// Whether the tallies may have changed since the last round.
    is_stale: bool,
    /// When ends were last counted.
    counted_at: Instant,
    /// Whether entry daemons are to be told of a change.
    is_changed: bool,
}

impl Attribution {
    /// Records what an entry daemon reports.
    pub fn record_report(&mut self, now: Instant, report: &Report) {
        self.is_changed |= self.bars.merge(now, &report.bars);
        if !report.reports_losses {
            for fingerprint in &report.crashed {
                self.older.record(*fingerprint, now);
            }
            for fingerprint in self.older.refused() {
                self.is_changed |= self.bars.add(Feature(fingerprint), now + BAR_TTL);
            }
        }
        for loss in &report.losses {
            self.record_loss(now, loss);
        }
        for survival in &report.survivals {
            let at = now.before(Duration::from_millis(survival.age_ms.into()));
            let known = self.survivals.entry(Feature(survival.feature)).or_insert(at);
            *known = at.max(*known);
            self.is_stale = true;
        }
        for survival in &report.service_survivals {
            let at = now.before(Duration::from_millis(survival.age_ms.into()));
            let known = self.services.entry(survival.service.as_str().into()).or_insert(at);
            *known = at.max(*known);
        }
    }

    /// Records that an endpoint has answered a probe; `started_unix_ms` is none if it did not state its
    /// incarnation.
    pub fn record_answer(&mut self, endpoint: &Name, started_unix_ms: Option<u64>) {
        let is_other = |incarnation: &Incarnation| {
            started_unix_ms.is_some_and(|started| started > incarnation.started_unix_ms)
        };
        self.cases.retain(|incarnation, case| {
            incarnation.endpoint != *endpoint || case.ended || is_other(incarnation)
        });
    }

    /// Weighs the evidence and bars features. `evidence` tells what is known of an incarnation that lost
    /// its first response at the given time.
    pub fn update<Known>(&mut self, now: Instant, evidence: Known) -> Findings
    where
        Known: Fn(&Incarnation, Instant) -> Evidence,
    {
        let mut findings = Findings::default();
        self.expire(now);
        self.weigh(now, evidence, &mut findings);
        let may_change = self.is_stale || !self.suspected.is_empty();
        if may_change && now.since(self.counted_at) >= COUNT_INTERVAL {
            self.is_stale = false;
            self.counted_at = now;
            findings.new_bars = self.bar_features(now);
            self.update_suspected(now);
        }
        findings.changed = std::mem::take(&mut self.is_changed);
        findings
    }

    /// Features of which entry daemons are asked for survivals.
    pub fn suspected(&self) -> Vec<u64> {
        self.suspected.keys().map(|feature| feature.0).collect()
    }

    /// The bars, as entry daemons are told of them.
    pub fn bars(&self, now: Instant) -> Vec<Bar> {
        self.bars.list(now)
    }

    /// Records the loss of responses with one incarnation.
    fn record_loss(&mut self, now: Instant, loss: &Loss) {
        let endpoint = loss.endpoint.as_str().into();
        let incarnation = Incarnation { endpoint, started_unix_ms: loss.started_unix_ms };
        let lost_at = now.before(Duration::from_millis(loss.age_ms.into()));
        let case = self.cases.entry(incarnation).or_insert_with(|| Case {
            lost_at,
            service: loss.service.as_str().into(),
            features: BTreeSet::new(),
            ended: false,
            probed_at: None,
        });
        case.lost_at = case.lost_at.min(lost_at);
        let room = FEATURES_MAX.saturating_sub(case.features.len());
        case.features.extend(loss.features.iter().take(room).map(|feature| Feature(*feature)));
        self.is_stale |= case.ended;
    }

    /// Finds out which incarnations have ended, and which endpoints to probe.
    fn weigh<Known>(&mut self, now: Instant, evidence: Known, findings: &mut Findings)
    where
        Known: Fn(&Incarnation, Instant) -> Evidence,
    {
        self.cases.retain(|incarnation, case| {
            if case.ended || now.since(case.lost_at) < CONTRADICTION_TIME {
                return true;
            }
            match evidence(incarnation, case.lost_at) {
                Evidence::Ended => {
                    case.ended = true;
                    self.is_stale = true;
                    findings.ended.push(incarnation.clone());
                }
                Evidence::NoCrash => return false,
                Evidence::Unreachable => {}
                Evidence::Unknown => {
                    if case.probed_at.is_none_or(|at| now.since(at) >= PROBE_INTERVAL) {
                        case.probed_at = Some(now);
                        findings.probes.push(incarnation.endpoint.clone());
                    }
                }
            }
            true
        });
    }

    /// Bars the features that entry daemons were asked about for long enough and that have the most ends,
    /// until none is left: each round explains the ends of at least one of them.
    fn bar_features(&mut self, now: Instant) -> Vec<NewBar> {
        let mut new_bars = Vec::new();
        loop {
            let tallies = self.tally();
            let due = tallies.iter().filter(|(feature, tally)| {
                let asked_since = self.suspected.get(feature);
                tally.ends >= CRASH_LIMIT
                    && tally.has_contrast
                    && asked_since.is_some_and(|since| now.since(*since) >= SURVIVAL_WAIT)
            });
            let due: Vec<(Feature, Tally)> =
                due.map(|(feature, tally)| (*feature, *tally)).collect();
            let Some(most) = due.iter().map(|(_, tally)| tally.ends).max() else { return new_bars };
            for (feature, tally) in due.into_iter().filter(|(_, tally)| tally.ends == most) {
                self.bars.add(feature, now + BAR_TTL);
                new_bars.push(NewBar { feature, ends: tally.ends });
            }
            self.is_changed = true;
        }
    }

    /// Counts the ends against each feature. An end with a barred feature is explained and counts for
    /// no other.
    fn tally(&self) -> BTreeMap<Feature, Tally> {
        let explained =
            |case: &&Case| case.features.iter().any(|feature| self.bars.contains(*feature));
        let mut ended: Vec<&Case> = self.cases.values().filter(|case| case.ended).collect();
        ended.retain(|case| !explained(case));
        ended.sort_by_key(|case| case.lost_at);
        let mut tallies: BTreeMap<Feature, Tally> = BTreeMap::new();
        for case in ended {
            let at = case.lost_at;
            let survived = self.services.get(&case.service).is_some_and(|last| *last >= at);
            for feature in &case.features {
                if self.survivals.get(feature).is_some_and(|survived| *survived >= at) {
                    continue;
                }
                let tally = tallies.entry(*feature);
                let tally = tally.or_insert(Tally { ends: 0, last: at, has_contrast: false });
                tally.has_contrast |= survived;
                if tally.ends == 0 || at.since(tally.last) >= COMMON_CAUSE_TIME {
                    tally.ends += 1;
                    tally.last = at;
                }
            }
        }
        tallies
    }

    /// Suspects the features with the most ends.
    fn update_suspected(&mut self, now: Instant) {
        let tallies = self.tally();
        let mut suspects: Vec<(Feature, u32)> = tallies
            .iter()
            .filter(|(_, tally)| tally.ends >= SUSPICION_LIMIT)
            .map(|(feature, tally)| (*feature, tally.ends))
            .collect();
        suspects.sort_by_key(|(_, ends)| std::cmp::Reverse(*ends));
        suspects.truncate(SUSPECTS_MAX);
        let before = std::mem::take(&mut self.suspected);
        for (feature, _) in suspects {
            let since = before.get(&feature).copied();
            self.is_changed |= since.is_none();
            self.suspected.insert(feature, since.unwrap_or(now));
        }
    }

    /// Drops what no longer counts.
    fn expire(&mut self, now: Instant) {
        self.cases.retain(|_, case| {
            let limit = if case.ended { END_TTL } else { CONFIRMATION_WINDOW };
            now.since(case.lost_at) < limit
        });
        while self.cases.len() > ENDS_MAX {
            let oldest = self.cases.iter().min_by_key(|(_, case)| case.lost_at);
            let Some(oldest) = oldest.map(|(incarnation, _)| incarnation.clone()) else { break };
            self.cases.remove(&oldest);
        }
        self.survivals.retain(|_, at| now.since(*at) < END_TTL);
        self.bars.expire(now);
        self.older.expire(now);
    }
}
