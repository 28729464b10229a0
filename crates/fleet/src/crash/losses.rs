//! What an entry daemon observes: lost responses, and answers that survived.

use std::collections::BTreeMap;
use std::time::Duration;

use dotterelhoist_core::clock::Instant;

use crate::message;
use crate::Name;

use super::{Feature, Features};

/// Time from a loss to its report, in which other responses of the same endpoint may go on.
const REPORT_DELAY: Duration = Duration::from_millis(100);
/// Time after a loss in which parts of other responses may still be read that arrived before it.
const READ_DELAY: Duration = Duration::from_millis(50);
/// Time for which an answer must have been sent to survive although it is lost later: requests that
/// crash endpoints do so as their answers begin.
pub const SURVIVAL_TIME: Duration = Duration::from_millis(500);
/// Number of features of which the last survival is known.
const SURVIVALS_MAX: usize = 4096;
/// Time between two reports of survivals with the same feature.
const SURVIVAL_REPORT_INTERVAL: Duration = Duration::from_millis(200);

/// A lost response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Loss {
    /// Identity of the endpoint.
    pub endpoint: Name,
    /// Start time of the endpoint's incarnation in Unix milliseconds, 0 if it is not known.
    pub started_unix_ms: u64,
    /// Service that the endpoint belongs to.
    pub service: Name,
    /// Features of the request.
    pub features: Features,
    /// When the response was lost.
    pub at: Instant,
}

/// The last answer with a feature that survived.
#[derive(Clone, Copy, Debug)]
struct Survival {
    at: Instant,
    /// Survival that the control daemons were last told of.
    reported: Option<Instant>,
}

/// Lost responses that were not reported yet, and answers that survived.
#[derive(Debug, Default)]
pub struct Losses {
    unreported: Vec<Loss>,
    survivals: BTreeMap<Feature, Survival>,
    /// When an answer of each service last survived.
    services: BTreeMap<Name, Instant>,
}

impl Losses {
    /// Records a lost response.
    pub fn record(&mut self, loss: Loss) {
        self.unreported.push(loss);
    }

    /// Records that an answer of a service was complete, or had been sent for [`SURVIVAL_TIME`].
    pub fn record_survival<Shared>(&mut self, service: &Name, features: Shared, now: Instant)
    where
        Shared: IntoIterator<Item = Feature>,
    {
        self.services.insert(service.clone(), now);
        for feature in features {
            let survival = self.survivals.entry(feature);
            survival.or_insert(Survival { at: now, reported: None }).at = now;
        }
        if self.survivals.len() > SURVIVALS_MAX {
            self.drop_older_half();
        }
    }

    /// Removes and returns the losses that are to be reported, without those whose endpoint has sent
    /// parts of other responses since. `last_part` tells when an endpoint last did, none if it is not
    /// known.
    pub fn take_due<LastPart>(&mut self, now: Instant, last_part: LastPart) -> Vec<Loss>
    where
        LastPart: Fn(&Name) -> Option<Instant>,
    {
        let is_due = |loss: &Loss| now.since(loss.at) >= REPORT_DELAY;
        let (due, rest) = self.unreported.drain(..).partition(is_due);
        self.unreported = rest;
        let due: Vec<Loss> = due;
        let goes_on =
            |loss: &Loss| last_part(&loss.endpoint).is_some_and(|at| at > loss.at + READ_DELAY);
        due.into_iter().filter(|loss| !goes_on(loss)).collect()
    }

    /// The last survivals with the `suspected` features that the control daemons don't know of.
    pub fn take_survivals(
        &mut self,
        now: Instant,
        suspected: &[Feature],
    ) -> Vec<message::Survival> {
        let mut news = Vec::new();
        for feature in suspected {
            let Some(survival) = self.survivals.get_mut(feature) else { continue };
            let known = survival
                .reported
                .is_some_and(|at| survival.at == at || now.since(at) < SURVIVAL_REPORT_INTERVAL);
            if !known {
                survival.reported = Some(survival.at);
                let age_ms = now.since(survival.at).as_millis() as u32;
                news.push(message::Survival { feature: feature.0, age_ms });
            }
        }
        news
    }

    /// When an answer of each service last survived, as ages at `now`.
    pub fn service_survivals(&self, now: Instant) -> Vec<message::ServiceSurvival> {
        let services = self.services.iter().map(|(service, at)| message::ServiceSurvival {
            service: service.to_string(),
            age_ms: now.since(*at).as_millis() as u32,
        });
        services.collect()
    }

    /// Forgets the older half of the survivals.
    fn drop_older_half(&mut self) {
        let mut times: Vec<Instant> = self.survivals.values().map(|survival| survival.at).collect();
        let middle = times.len() / 2;
        let (_, median, _) = times.select_nth_unstable(middle);
        let median = *median;
        self.survivals.retain(|_, survival| survival.at > median);
    }
}

/// Losses in the form in which they are reported: one item for each endpoint.
pub fn loss_list(now: Instant, losses: &[Loss]) -> Vec<message::Loss> {
    let mut items: BTreeMap<(Name, u64), message::Loss> = BTreeMap::new();
    for loss in losses {
        let item = items.entry((loss.endpoint.clone(), loss.started_unix_ms));
        let item = item.or_insert_with(|| message::Loss {
            endpoint: loss.endpoint.to_string(),
            started_unix_ms: loss.started_unix_ms,
            service: loss.service.to_string(),
            age_ms: now.since(loss.at).as_millis() as u32,
            features: Vec::new(),
        });
        item.features.extend(loss.features.iter().map(|feature| feature.0));
    }
    for item in items.values_mut() {
        item.features.sort_unstable();
        item.features.dedup();
    }
    items.into_values().collect()
}
