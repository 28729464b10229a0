//! Demand, progress and limits that an entry daemon has not yet reported to all control daemons.
//!
//! The selected control daemon is sent every report, the others only some of them; those then
//! contain the sum of what they have missed.

use std::collections::{BTreeMap, BTreeSet};

use dotterelhoist_core::clock::Instant;

use crate::message::{Demand, Report};
use crate::Name;

use super::limits::{limit_list, Observations};

/// Work that callers requested, by service and model.
pub(super) type Workload = BTreeMap<(Name, Name), Work>;

/// Work that callers requested of one model.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Work {
    /// Work in group-seconds: the seconds that one serving group would need for it.
    pub(super) seconds: f64,
    /// Number of requests.
    pub(super) requests: u32,
}

/// Work, progress and limits since the last report that went to all control daemons.
#[derive(Debug, Default)]
pub(super) struct Unsent {
    workload: Workload,
    /// Heads of groups that have sent parts of responses.
    progress: BTreeSet<String>,
    /// Limits that endpoints have stated.
    limits: Observations,
}

impl Unsent {
    /// Adds the work, progress and limits of a report to the selected control daemon.
    pub(super) fn add(&mut self, workload: &Workload, progress: &[String], limits: &Observations) {
        self.limits.extend(limits.iter().map(|(id, limit)| (id.clone(), *limit)));
        for (key, work) in workload {
            let sum = self.workload.entry(key.clone()).or_default();
            sum.seconds += work.seconds;
            sum.requests += work.requests;
        }
        self.progress.extend(progress.iter().cloned());
    }

    /// Replaces the work, progress and limits in `report` by all since the last report that went to
    /// all control daemons.
    pub(super) fn fill_report(&self, now: Instant, report: Report) -> Report {
        let progress = self.progress.iter().cloned().collect();
        let limits = limit_list(now, &self.limits);
        Report { demand: demand_list(&self.workload), progress, limits, ..report }
    }
}

/// Converts work to the form used in reports.
pub(super) fn demand_list(workload: &Workload) -> Vec<Demand> {
    let demand = workload.iter().map(|((service, model), work)| Demand {
        service: service.to_string(),
        model: model.to_string(),
        seconds: work.seconds,
        requests: work.requests,
    });
    demand.collect()
}
