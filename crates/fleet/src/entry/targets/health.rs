//! Health of endpoints as far as this daemon can tell: failures, silence and reachability.

use std::time::Duration;

use dotterelhoist_core::clock::Instant;

use crate::Name;

use super::{Target, Targets};

/// Lower bound of the time without any part of a response after which an endpoint counts as
/// stalled, if at least one of its responses has begun.
const STALL_TIMEOUT_MIN: Duration = Duration::from_millis(350);
/// Upper bound of the time that [`STALL_TIMEOUT_MIN`] bounds from below.
const STALL_TIMEOUT_MAX: Duration = Duration::from_millis(1500);
/// Multiple of the average time between parts of responses after which an endpoint counts as
/// stalled, within [`STALL_TIMEOUT_MIN`] and [`STALL_TIMEOUT_MAX`].
const STALL_GAP_FACTOR: f64 = 5.0;
/// Weight of the newest sample in the moving average of the time between parts of responses.
const GAP_WEIGHT: f64 = 0.1;
/// Parts of responses that arrive within this time of each other count as sent together; the gap
/// does not enter the moving average.
const BATCH_GAP_MAX: Duration = Duration::from_millis(10);
/// Time without any part of a response after which an endpoint counts as stalled, if none of its
/// responses has begun.
const FIRST_PART_TIMEOUT: Duration = Duration::from_millis(1200);
/// Duration of an ejection after one failure; it doubles with each further consecutive failure. An
/// ejected endpoint is sent no requests.
const EJECTION_MIN: Duration = Duration::from_millis(500);
/// Duration of the ejection of an endpoint that makes no progress, unless it makes some earlier.
const STALL_EJECTION: Duration = Duration::from_millis(1000);
/// Duration of the ejection of an endpoint whose request another one has taken over, unless it makes
/// progress earlier.
const TAKEOVER_EJECTION: Duration = Duration::from_millis(2000);
/// Longest duration of an ejection.
const EJECTION_MAX: Duration = Duration::from_secs(8);
/// Weight of the newest outcome in the moving average that is the failure rate.
const OUTCOME_WEIGHT: f64 = 0.15;
/// Failure rate above which a failure ejects an endpoint although some of its requests succeed.
const FAILURE_RATE_MAX: f64 = 0.3;
/// Time after the last failure to reach an endpoint for which this daemon counts as cut off. Then the
/// next requests are sent to endpoints again, to find out whether it still is.
const CUT_TTL: Duration = Duration::from_secs(2);
/// Number of endpoints that must be silent or unreachable for this daemon to count as cut off.
const CUT_ENDPOINTS_MIN: usize = 2;
/// Time after the last failure to reach an endpoint for which this daemon asks for relays: the longest
/// ejection, and a margin.
const RELAY_WISH_TTL: Duration = Duration::from_secs(10);
/// Time for which a suspicion is reported to the control daemons, and for which an endpoint that
/// was unreachable is presumed to have terminated.
const SUSPICION_TTL: Duration = Duration::from_millis(600);

/// An endpoint that has requests in flight and makes no progress.
#[derive(Clone, Debug)]
pub(in crate::entry) struct Silence {
    /// Identity of the endpoint.
    pub endpoint: Name,
    /// Time since it last made progress.
    pub duration: Duration,
}

impl Targets {
    /// Records a successful attempt.
    pub fn record_success(&mut self, id: &Name) {
        let Some(target) = self.targets.get_mut(id) else { return };
        target.consecutive_failures = 0;
        target.failure_rate *= 1.0 - OUTCOME_WEIGHT;
    }

    /// Records a failed attempt, and ejects the endpoint if it keeps failing. An unreachable one is
    /// ejected at once.
    pub fn record_failure(&mut self, id: &Name, unreachable: bool, now: Instant) {
        let Some(target) = self.targets.get_mut(id) else { return };
        target.consecutive_failures += 1;
        target.failure_rate += OUTCOME_WEIGHT * (1.0 - target.failure_rate);
        if unreachable || target.consecutive_failures >= 3 || target.failure_rate > FAILURE_RATE_MAX
        {
            let doubled = EJECTION_MIN * 2u32.pow(target.consecutive_failures.min(6) - 1);
            target.ejected_until = now + doubled.min(EJECTION_MAX);
        }
        if unreachable {
            target.unreachable_at = Some(now);
            target.suspected_at = Some(now);
        }
    }

    /// Records that an endpoint has sent a part of a response.
    pub fn record_progress(&mut self, id: &Name, now: Instant) {
        let Some(target) = self.targets.get_mut(id) else { return };
        let gap = now.since(target.last_progress);
        if target.responses_begun > 0 && gap > BATCH_GAP_MAX {
            target.average_gap_s +=
                GAP_WEIGHT * (gap.as_secs_f64().min(1.0) - target.average_gap_s);
        }
        target.last_progress = now;
        target.last_part = Some(now);
        target.progressed = true;
        target.suspected_at = None;
        target.stalled_until = Instant::default();
    }

    /// Records that a new connection to an endpoint was established. If that had failed before, ends the
    /// ejections of all endpoints that could not be connected to.
    pub fn record_connected(&mut self, id: &Name) {
        let Some(target) = self.targets.get(id) else { return };
        if target.unreachable_at.is_none() {
            return;
        }
        for target in self.targets.values_mut() {
            if target.unreachable_at.take().is_some() {
                target.ejected_until = Instant::default();
                target.consecutive_failures = 0;
            }
        }
    }

    /// The group heads that have requests in flight but have made no progress within the stall
    /// timeout.
    pub(in crate::entry) fn silences(&self, now: Instant) -> Vec<Silence> {
        let busy = self.targets.iter().filter(|(_, target)| target.running > 0);
        let heads = busy.filter(|(_, target)| !target.description.model.is_empty());
        let silent = heads.filter(|(_, target)| target.silence(now) > target.stall_timeout());
        silent
            .map(|(id, target)| Silence { endpoint: id.clone(), duration: target.silence(now) })
            .collect()
    }

    /// Marks an endpoint as suspected, and sends it no requests for a time. Returns whether it was
    /// not suspected before.
    pub(in crate::entry) fn suspect(&mut self, id: &Name, now: Instant) -> bool {
        let Some(target) = self.targets.get_mut(id) else { return false };
        target.stalled_until = target.stalled_until.max(now + STALL_EJECTION);
        target.suspected_at.replace(now).is_none()
    }

    /// Records that another endpoint has taken over a request of an endpoint without progress. That
    /// endpoint may have nothing left in flight with which to make any.
    pub(in crate::entry) fn record_takeover(&mut self, id: &Name, now: Instant) {
        let Some(target) = self.targets.get_mut(id) else { return };
        target.stalled_until = target.stalled_until.max(now + TAKEOVER_EJECTION);
    }

    /// Restarts the stall timeout of an endpoint from which nothing was read for a time.
    pub(in crate::entry) fn restart_stall_timer(&mut self, id: &Name, now: Instant) {
        if let Some(target) = self.targets.get_mut(id) {
            target.last_progress = now;
        }
    }

    /// When an endpoint last sent a part of a response; none if it is not known.
    pub(in crate::entry) fn last_part(&self, id: &Name) -> Option<Instant> {
        self.targets.get(id)?.last_part
    }

    /// Whether this daemon seems to be cut off from the endpoints: several that the control daemons list
    /// are silent or can't be connected to, and none sends anything.
    pub(in crate::entry) fn is_cut_off(&self, now: Instant) -> bool {
        let suspected = |target: &&Target| {
            target.in_view && target.suspected_at.is_some_and(|at| now.since(at) < CUT_TTL)
        };
        if self.targets.values().filter(suspected).count() < CUT_ENDPOINTS_MIN {
            return false;
        }
        let last_part = self.targets.values().filter_map(|target| target.last_part).max();
        last_part.is_none_or(|at| now.since(at) >= STALL_TIMEOUT_MIN)
    }

    /// Whether this daemon has failed to reach an endpoint, and may have to relay requests.
    pub(in crate::entry) fn needs_relay(&self, now: Instant) -> bool {
        let failed = |at: Option<Instant>| at.is_some_and(|at| now.since(at) < RELAY_WISH_TTL);
        let mut in_view = self.targets.values().filter(|target| target.in_view);
        in_view.any(|target| failed(target.suspected_at) || failed(target.unreachable_at))
    }

    /// Whether several endpoints in the view could not be connected to within [`CUT_TTL`], whatever
    /// others send on open connections.
    pub(in crate::entry) fn are_several_unreachable(&self, now: Instant) -> bool {
        let unreachable = self.targets.keys().filter(|id| self.is_unreachable(id, now));
        unreachable.count() >= CUT_ENDPOINTS_MIN
    }

    /// Whether an endpoint in the view could not be connected to within [`CUT_TTL`].
    pub(in crate::entry) fn is_unreachable(&self, id: &Name, now: Instant) -> bool {
        let target = self.targets.get(id).filter(|target| target.in_view);
        let failed_at = target.and_then(|target| target.unreachable_at);
        failed_at.is_some_and(|at| now.since(at) < CUT_TTL)
    }

    /// Whether an endpoint has probably terminated: it is no longer in the view, or was unreachable
    /// within `SUSPICION_TTL`.
    pub fn has_probably_terminated(&self, id: &Name, now: Instant) -> bool {
        self.targets.get(id).is_none_or(|target| {
            !target.in_view || target.unreachable_at.is_some_and(|at| now.since(at) < SUSPICION_TTL)
        })
    }

    /// Restarts the stall timeout of all endpoints. To be called after a pause of this process, in
    /// which it could not read responses, so that no endpoint is wrongly counted as stalled.
    pub fn restart_stall_timers(&mut self, now: Instant) {
        for target in self.targets.values_mut() {
            target.last_progress = now;
        }
    }

    /// Identities of the endpoints in the view that are suspected of having failed.
    pub fn suspects(&self, now: Instant) -> Vec<String> {
        let suspected = |target: &Target| {
            target.suspected_at.is_some_and(|at| now.since(at) < SUSPICION_TTL) && target.in_view
        };
        let names = self.targets.iter().filter(|(_, target)| suspected(target));
        names.map(|(id, _)| id.to_string()).collect()
    }
}

impl Target {
    /// Whether it is sent no requests, because of failures or since it makes no progress.
    pub(in crate::entry) fn is_ejected(&self, now: Instant) -> bool {
        now < self.ejected_until || now < self.stalled_until
    }

    /// Time since it last made progress.
    pub(in crate::entry) fn silence(&self, now: Instant) -> Duration {
        now.since(self.last_progress)
    }

    /// Time without progress after which it counts as stalled.
    pub(in crate::entry) fn stall_timeout(&self) -> Duration {
        if self.responses_begun == 0 {
            return FIRST_PART_TIMEOUT;
        }
        let gaps = Duration::from_secs_f64(self.average_gap_s * STALL_GAP_FACTOR);
        gaps.clamp(STALL_TIMEOUT_MIN, STALL_TIMEOUT_MAX)
    }
}
