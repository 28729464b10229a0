//! Evidence of the ends of endpoints, for the [`Attribution`](crate::crash::attribution::Attribution).

use std::time::Duration;

use dotterelhoist_core::clock::Instant;

use crate::crash::attribution::{Evidence, Incarnation, NewBar};
use crate::journal;

use super::{Effect, State};

/// Time by which reports of progress and refused connections, and of lost responses, may be dated
/// differently.
const PROGRESS_MARGIN: Duration = Duration::from_millis(150);

impl<Decoder> State<Decoder> {
    /// Decides what the losses that entry daemons have reported are evidence of, and probes endpoints whose
    /// end is not certain.
    pub(super) fn attribute_crashes(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        let mut attribution = std::mem::take(&mut self.attribution);
        let findings = attribution
            .update(now, |incarnation, lost_at| self.evidence(now, incarnation, lost_at));
        self.attribution = attribution;
        for Incarnation { endpoint, started_unix_ms } in findings.ended {
            let detail = format!("started_unix_ms={started_unix_ms}");
            let event =
                journal::Event::new(213, "endpoint ended with requests", &*endpoint, detail);
            effects.push(Effect::Log(event));
        }
        for NewBar { feature, ends } in findings.new_bars {
            let subject = format!("{:x}", feature.0);
            let detail = format!("ends={ends}");
            effects.push(Effect::Log(journal::Event::new(214, "requests barred", subject, detail)));
        }
        for id in findings.probes {
            let Some(endpoint) = self.endpoints.find(&id) else { continue };
            let address = endpoint.heartbeat.address.as_str().into();
            effects.push(Effect::Probe { id, address });
        }
        if findings.changed {
            self.distributor.expedite_statuses();
        }
    }

    /// What is known of an incarnation that lost its first response at `lost_at`. A refused connection, or
    /// a long silence, is no proof by itself, since a network may be partitioned: no entry daemon may have
    /// seen the endpoint make progress since.
    fn evidence(&self, now: Instant, incarnation: &Incarnation, lost_at: Instant) -> Evidence {
        let Some(endpoint) = self.endpoints.find(&incarnation.endpoint) else {
            return Evidence::Unreachable;
        };
        let heartbeat = &endpoint.heartbeat;
        if heartbeat.draining {
            return Evidence::NoCrash;
        }
        let has_restarted = incarnation.started_unix_ms > 0
            && heartbeat.started_unix_ms > incarnation.started_unix_ms;
        if endpoint.confirmed_dead || has_restarted {
            return Evidence::Ended;
        }
        let progressed_at = self.distributor.progress().get(&incarnation.endpoint).copied();
        if heartbeat.gone || progressed_at.is_some_and(|at| at.since(lost_at) > PROGRESS_MARGIN) {
            return Evidence::NoCrash;
        }
        if self.reachability.may_be_unreachable(&heartbeat.zone, now) {
            return Evidence::Unreachable;
        }
        let outage = endpoint.outage.filter(|outage| outage.is_failure(progressed_at));
        match outage.is_some_and(|outage| outage.last_failure + PROGRESS_MARGIN >= lost_at) {
            true => Evidence::Ended,
            false => Evidence::Unknown,
        }
    }
}
