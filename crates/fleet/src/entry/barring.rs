//! Lost responses of endpoints that may have ended, and requests that are refused because others like
//! them have crashed endpoints.

use dotterelhoist_core::clock::Instant;

use crate::control::Reader;
use crate::crash::bars::BAR_TTL;
use crate::crash::losses::{Loss, SURVIVAL_TIME};
use crate::crash::Feature;
use crate::message::Status;
use crate::Name;

use super::relaying::is_relay;
use super::request::{End, Request};
use super::{Effect, Reason, State};

impl<Decoder> State<Decoder> {
    /// Whether a request has a feature whose requests are refused.
    pub(super) fn is_request_barred(&self, request: &Request) -> bool {
        !self.bars.is_empty() && request.features().any(|feature| self.bars.contains(feature))
    }

    /// Records what the end of an attempt at `target` says about the features of its request.
    pub(super) fn record_evidence(&mut self, now: Instant, id: u64, target: &Name, end: &End) {
        let Some(active) = self.requests.get(&id) else { return };
        let begun_at = active.begun_at;
        let survived = begun_at.is_some_and(|at| now.since(at) >= SURVIVAL_TIME);
        match end {
            End::Answered => self.record_survival(now, id),
            End::Lost(loss) if !loss.is_of_endpoint() || is_relay(target) => {}
            End::Lost(_) => {
                self.older_losses.record(active.request.fingerprint, target.clone(), now);
                match survived {
                    true => self.record_survival(now, id),
                    false => self.record_loss(now, id, target),
                }
            }
            _ => {}
        }
    }

    /// Records that another endpoint had to answer a request because `target` was silent.
    pub(super) fn record_silence(&mut self, now: Instant, id: u64, target: &Name) {
        if is_relay(target) {
            return;
        }
        let Some(active) = self.requests.get(&id) else { return };
        self.older_losses.record_silence(active.request.fingerprint, target.clone(), now);
        self.record_loss(now, id, target);
    }

    fn record_survival(&mut self, now: Instant, id: u64) {
        let Some(active) = self.requests.get(&id) else { return };
        let service = &active.requirement.0;
        self.losses.record_survival(service, active.request.features(), now);
    }

    fn record_loss(&mut self, now: Instant, id: u64, target: &Name) {
        let Some(active) = self.requests.get(&id) else { return };
        self.losses.record(Loss {
            endpoint: target.clone(),
            started_unix_ms: self.targets.started_unix_ms(target),
            service: active.requirement.0.clone(),
            features: active.request.features().collect(),
            at: now,
        });
    }

    /// Features of which any control daemon wants to know whether answers survived.
    pub(super) fn suspected_features(&self) -> Vec<Feature> {
        let statuses = self.sources.values().filter_map(|source| source.status.as_ref());
        let mut features: Vec<Feature> =
            statuses.flat_map(|status| &status.suspected).map(|hash| Feature(*hash)).collect();
        features.sort_unstable();
        features.dedup();
        features
    }
}

impl<Decoder> State<Decoder>
where
    Decoder: Reader,
{
    /// Adds the bars that a control daemon states, and refuses the queued requests that they concern.
    pub(super) fn apply_bars(&mut self, now: Instant, status: &Status, effects: &mut Vec<Effect>) {
        let mut changed = self.bars.merge(now, &status.bars);
        if !status.takes_losses {
            for fingerprint in &status.crashing {
                changed |= self.bars.add(Feature(*fingerprint), now + BAR_TTL);
            }
        }
        if changed {
            self.refuse_barred_requests(now, effects);
        }
    }

    /// Refuses the queued requests with a barred feature.
    fn refuse_barred_requests(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        let queued = self.requests.iter().filter(|(_, active)| active.endpoint.is_none());
        let barred = queued.filter(|(_, active)| self.is_request_barred(&active.request));
        let ids: Vec<u64> = barred.map(|(id, _)| *id).collect();
        for id in ids {
            self.refuse_active(now, id, Reason::Crashing, effects);
        }
    }
}
