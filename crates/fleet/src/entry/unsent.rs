//! What an entry daemon keeps for control daemons that get a report only now and then.

use std::collections::{BTreeMap, BTreeSet};

use crate::message::{Demand, Report};
use crate::Name;

/// Work that callers asked of each service and model.
pub(super) type Asked = BTreeMap<(Name, Name), Work>;

/// Work that callers asked of one model.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Work {
    /// Seconds of a group's time.
    pub(super) seconds: f64,
    /// Requests.
    pub(super) requests: u32,
}

/// Work and progress since the last report to all control daemons.
#[derive(Debug, Default)]
pub(super) struct Unsent {
    asked: Asked,
    progress: BTreeSet<String>,
}

impl Unsent {
    /// Adds what one report to the selected control daemon holds.
    pub(super) fn add(&mut self, asked: &Asked, progress: &[String]) {
        for (key, work) in asked {
            let sum = self.asked.entry(key.clone()).or_default();
            sum.seconds += work.seconds;
            sum.requests += work.requests;
        }
        self.progress.extend(progress.iter().cloned());
    }

    /// Completes a report with all that was not sent.
    pub(super) fn fill(&self, report: Report) -> Report {
        let progress = self.progress.iter().cloned().collect();
        Report { demand: demand_list(&self.asked), progress, ..report }
    }
}

/// Work in the form of a report.
pub(super) fn demand_list(asked: &Asked) -> Vec<Demand> {
    let demand = asked.iter().map(|((service, model), work)| Demand {
        service: service.to_string(),
        model: model.to_string(),
        seconds: work.seconds,
        requests: work.requests,
    });
    demand.collect()
}
