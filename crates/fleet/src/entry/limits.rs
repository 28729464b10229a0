//! Limits that endpoints state in their responses, and the slots that this daemon has.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use dotterelhoist_core::clock::Instant;

use crate::limit;
use crate::message::Limit;
use crate::Name;

/// Time from its start for which a slot may be used. It bounds the requests that an endpoint can get
/// at once from daemons that have each kept a slot.
const SLOT_TTL: Duration = Duration::from_millis(500);
/// Time for the answer to a request for a slot; it is then requested again.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);
/// Time for which the end of a limit is remembered; the control daemons list it no longer by then.
const ENDED_TTL: Duration = Duration::from_secs(10);
/// Time for which a limit holds that the selected control daemon does not list, because it may not
/// know of it yet.
const UNLISTED_TTL: Duration = Duration::from_millis(1500);

/// A slot that the leader has assigned to this daemon.
#[derive(Clone, Copy, Debug)]
struct Period {
    from: Instant,
    until: Instant,
}

/// What is known of one endpoint's limit.
#[derive(Clone, Debug)]
struct Known {
    /// Requests per second; none if the endpoint has stopped stating a limit.
    per_second: Option<f64>,
    /// When a response stated it.
    observed_at: Instant,
    /// Slots of this daemon, in their order.
    slots: VecDeque<Period>,
    /// When the slot was requested for which there is no answer yet.
    requested_at: Option<Instant>,
    /// Until when no slot is free.
    barred_until: Instant,
}

/// A limit that a response to this daemon has stated.
#[derive(Clone, Copy, Debug)]
pub(super) struct Observation {
    per_second: Option<f64>,
    at: Instant,
}

impl Observation {
    /// The observation in the form used in messages.
    fn describe(self, now: Instant, id: &Name) -> Limit {
        let age_ms = now.since(self.at).as_millis() as u32;
        Limit { id: id.to_string(), per_second: self.per_second, age_ms }
    }
}

/// Observations by endpoint.
pub(super) type Observations = BTreeMap<Name, Observation>;

/// The limits of endpoints, by identity.
#[derive(Debug, Default)]
pub struct Limits {
    known: BTreeMap<Name, Known>,
    /// Observations of this daemon since the last report.
    unreported: Observations,
}

/// The slots of the endpoints that meet a requirement, if all of them have limits.
#[derive(Clone, Debug, Default)]
pub(super) struct Outlook {
    /// When the slots of this daemon begin, in their order.
    starts: Vec<Instant>,
    /// Whether a slot is requested.
    pending: bool,
    /// When the next slot is free, if none is requested; none before the first endpoint was added.
    free_at: Option<Instant>,
    /// Requests per second that the endpoints take.
    per_second: f64,
}

impl Limits {
    /// Whether no endpoint has a limit.
    pub(super) fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Whether a request may be sent to an endpoint now.
    pub(super) fn admits(&self, id: &Name, now: Instant) -> bool {
        let limited = self.known.get(id).filter(|known| known.per_second.is_some());
        limited.is_none_or(|known| known.slots.iter().any(|slot| slot.is_open(now)))
    }

    /// Whether this daemon has a slot of an endpoint with a limit now.
    pub(super) fn has_slot(&self, id: &Name, now: Instant) -> bool {
        self.known.get(id).is_some_and(|known| known.slots.iter().any(|slot| slot.is_open(now)))
    }

    /// Uses the slot of an endpoint that is open.
    pub(super) fn use_slot(&mut self, id: &Name, now: Instant) {
        let Some(known) = self.known.get_mut(id) else { return };
        if let Some(at) = known.slots.iter().position(|slot| slot.is_open(now)) {
            known.slots.remove(at);
        }
    }

    /// Adds the slots of an endpoint to an outlook; none if the endpoint has no limit.
    pub(super) fn extend(&self, id: &Name, now: Instant, mut outlook: Outlook) -> Option<Outlook> {
        let known = self.known.get(id)?;
        outlook.per_second += limit::rate(known.per_second?);
        let usable = known.slots.iter().filter(|slot| now < slot.until);
        outlook.starts.extend(usable.map(|slot| slot.from.max(now)));
        outlook.starts.sort_unstable();
        outlook.pending |= known.requested_at.is_some();
        let free_at = outlook.free_at.unwrap_or(known.barred_until);
        outlook.free_at = Some(free_at.min(known.barred_until));
        Some(outlook)
    }

    /// Records what a response to this daemon stated, and returns the limit known before if it was
    /// another.
    pub(super) fn observe(
        &mut self,
        now: Instant,
        id: &Name,
        per_second: Option<f64>,
    ) -> Option<Option<f64>> {
        let before = self.known.get(id).and_then(|known| known.per_second);
        if before.is_none() && per_second.is_none() {
            return None;
        }
        self.update(id, per_second, now);
        self.unreported.insert(id.clone(), Observation { per_second, at: now });
        (before != per_second).then_some(before)
    }

    /// Replaces what is known of an endpoint by an observation, unless that is older.
    fn update(&mut self, id: &Name, per_second: Option<f64>, observed_at: Instant) {
        let known = self.known.entry(id.clone()).or_insert_with(|| Known {
            per_second,
            observed_at,
            slots: VecDeque::new(),
            requested_at: None,
            barred_until: Instant::default(),
        });
        if observed_at >= known.observed_at {
            known.per_second = per_second;
            known.observed_at = observed_at;
        }
    }

    /// Updates the limits with those that the selected control daemon lists, and forgets those that
    /// it should know of and does not list.
    pub(super) fn apply_list(&mut self, now: Instant, limits: &[Limit]) {
        if limits.is_empty() && self.known.is_empty() {
            return;
        }
        for limit in limits {
            let observed_at = now.before(Duration::from_millis(limit.age_ms.into()));
            self.update(&limit.id.as_str().into(), limit.per_second, observed_at);
        }
        self.known.retain(|id, known| {
            let ttl = if known.per_second.is_some() { UNLISTED_TTL } else { ENDED_TTL };
            let listed = limits.iter().any(|limit| *limit.id == **id);
            listed || now.since(known.observed_at) < ttl
        });
    }

    /// Includes all limits in the next report, for a control daemon that may know none of them.
    pub(super) fn report_all(&mut self) {
        for (id, known) in self.known.iter().filter(|(_, known)| known.per_second.is_some()) {
            let Known { per_second, observed_at: at, .. } = *known;
            self.unreported.entry(id.clone()).or_insert(Observation { per_second, at });
        }
    }

    /// Returns the observations since the last call.
    pub(super) fn take_unreported(&mut self) -> Observations {
        std::mem::take(&mut self.unreported)
    }

    /// Whether a slot of an endpoint should be requested: this daemon has fewer than `wanted`, none is
    /// requested, and one may be free before `usable_until`.
    pub(super) fn lacks_slot(&self, id: &Name, wanted: usize, usable_until: Instant) -> bool {
        self.known.get(id).is_some_and(|known| {
            known.requested_at.is_none()
                && known.slots.len() < wanted
                && known.barred_until <= usable_until
        })
    }

    /// Records that a slot of an endpoint was requested.
    pub(super) fn record_request(&mut self, now: Instant, id: &Name) {
        if let Some(known) = self.known.get_mut(id) {
            known.requested_at = Some(now);
        }
    }

    /// Records that a slot of an endpoint was assigned to this daemon.
    pub(super) fn record_slot(&mut self, id: &Name, from: Instant) {
        if let Some(known) = self.known.get_mut(id) {
            known.requested_at = None;
            known.slots.push_back(Period::starting(from));
        }
    }

    /// Records that no slot of an endpoint is free until `free_at`.
    pub(super) fn record_refusal(&mut self, id: &Name, free_at: Instant) {
        if let Some(known) = self.known.get_mut(id) {
            known.requested_at = None;
            known.barred_until = free_at;
        }
    }

    /// Takes a slot without a leader, so long after the last one that this daemon, one of
    /// `entry_daemons`, uses its equal share of the limit on average. `random` is between 0 and 1.
    pub(super) fn take_share(&mut self, now: Instant, id: &Name, entry_daemons: u32, random: f64) {
        let Some(known) = self.known.get_mut(id) else { return };
        let rate = limit::rate(known.per_second.unwrap_or_default());
        let interval = f64::from(entry_daemons) / rate;
        let wait = Duration::from_secs_f64(interval * (0.5 + random));
        known.barred_until = known.barred_until.max(now) + wait;
        known.slots.push_back(Period::starting(known.barred_until));
    }

    /// Forgets slots that are over and requests for slots that were not answered in time.
    pub(super) fn expire(&mut self, now: Instant) {
        for known in self.known.values_mut() {
            known.slots.retain(|slot| now < slot.until);
            known.requested_at = known.requested_at.filter(|at| now.since(*at) < ANSWER_TIMEOUT);
        }
    }

    /// Drops all slots, such as those that this daemon took without a leader.
    pub(super) fn drop_slots(&mut self) {
        for known in self.known.values_mut() {
            known.slots.clear();
            known.barred_until = Instant::default();
        }
    }

    /// What is known of an endpoint's limit, in the form used in messages.
    pub(super) fn describe(&self, now: Instant, id: &Name) -> Option<Limit> {
        let Known { per_second, observed_at: at, .. } = *self.known.get(id)?;
        Some(Observation { per_second, at }.describe(now, id))
    }

    /// Endpoints with a limit.
    pub(super) fn limited(&self) -> Vec<Name> {
        let limited = self.known.iter().filter(|(_, known)| known.per_second.is_some());
        limited.map(|(id, _)| id.clone()).collect()
    }
}

impl Period {
    fn starting(from: Instant) -> Period {
        Period { from, until: from + SLOT_TTL }
    }

    fn is_open(&self, now: Instant) -> bool {
        self.from <= now && now < self.until
    }
}

impl Outlook {
    /// When the request at this position of the queue can be sent, as far as this daemon knows: in
    /// its slot, or else once another one is free. None if a slot for it may still be assigned.
    pub(super) fn start(&self, position: usize) -> Option<Instant> {
        if let Some(start) = self.starts.get(position) {
            return Some(*start);
        }
        let ahead = position.saturating_sub(self.starts.len());
        let delay = Duration::from_secs_f64(ahead as f64 / self.per_second);
        self.free_at.filter(|_| !self.pending).map(|free_at| free_at + delay)
    }
}

/// Converts observations to the form used in reports.
pub(super) fn limit_list(now: Instant, observations: &Observations) -> Vec<Limit> {
    observations.iter().map(|(id, observation)| observation.describe(now, id)).collect()
}
