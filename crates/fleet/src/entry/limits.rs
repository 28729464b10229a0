//! Limits that endpoints state in their responses, and the slots that requests to them need.
//!
//! An endpoint with a limit is sent a request only within a slot, which the leader of the control
//! daemons assigns. Without a leader, each entry daemon takes its equal share of the limit. Nothing
//! here costs anything while no endpoint states a limit.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use dotterelhoist_core::clock::Instant;

use crate::control::Reader;
use crate::journal;
use crate::message::{Body, Limit, Reserve, Slot};
use crate::Name;

use super::{Effect, Reason, State, SOURCE_TIMEOUT};

/// Time from its start for which a slot may be used. It bounds the requests that an endpoint can get
/// at once from daemons that have each kept a slot.
const SLOT_TTL: Duration = Duration::from_millis(500);
/// Time for the answer to a request for a slot; it is then requested again.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);
/// Time since the last request of callers for which slots are requested, so that the end of a limit
/// is noticed also while other endpoints have room.
const DEMAND_TTL: Duration = Duration::from_secs(1);
/// Time without a leader after which a daemon uses its share of the limits.
const LEADER_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for which the end of a limit is remembered; the control daemons list it no longer by then.
const ENDED_TTL: Duration = Duration::from_secs(10);
/// Time for which a limit holds that the selected control daemon does not list, because it may not
/// know of it yet.
const UNLISTED_TTL: Duration = Duration::from_millis(1500);
/// Requests per second that an endpoint is assumed to take if it states fewer.
const RATE_MIN: f64 = 0.1;

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
    /// When the next slot is free, if none is requested.
    free_at: Instant,
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
        let begins_first = outlook.per_second == 0.0;
        outlook.per_second += known.per_second?.max(RATE_MIN);
        let usable = known.slots.iter().filter(|slot| now < slot.until);
        outlook.starts.extend(usable.map(|slot| slot.from.max(now)));
        outlook.starts.sort_unstable();
        outlook.pending |= known.requested_at.is_some();
        let free_at = known.barred_until;
        outlook.free_at = if begins_first { free_at } else { outlook.free_at.min(free_at) };
        Some(outlook)
    }

    /// Records what a response to this daemon stated, and returns the limit known before if it was
    /// another.
    fn observe(&mut self, now: Instant, id: &Name, per_second: Option<f64>) -> Option<Option<f64>> {
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

    /// Returns the observations since the last call.
    pub(super) fn take_unreported(&mut self) -> Observations {
        std::mem::take(&mut self.unreported)
    }

    /// Forgets slots that are over and requests for slots that were not answered in time.
    fn expire(&mut self, now: Instant) {
        for known in self.known.values_mut() {
            known.slots.retain(|slot| now < slot.until);
            known.requested_at = known.requested_at.filter(|at| now.since(*at) < ANSWER_TIMEOUT);
        }
    }

    /// Drops all slots, such as those that this daemon took without a leader.
    fn drop_slots(&mut self) {
        for known in self.known.values_mut() {
            known.slots.clear();
            known.barred_until = Instant::default();
        }
    }

    /// Endpoints with a limit for which no request for a slot is in flight.
    fn idle(&self) -> Vec<Name> {
        let limited = self.known.iter().filter(|(_, known)| known.per_second.is_some());
        let idle = limited.filter(|(_, known)| known.requested_at.is_none());
        idle.map(|(id, _)| id.clone()).collect()
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
    fn start(&self, position: usize) -> Option<Instant> {
        if let Some(start) = self.starts.get(position) {
            return Some(*start);
        }
        let ahead = position.saturating_sub(self.starts.len());
        let delay = Duration::from_secs_f64(ahead as f64 / self.per_second);
        (!self.pending).then(|| self.free_at + delay)
    }
}

/// Converts observations to the form used in reports.
pub(super) fn limit_list(now: Instant, observations: &Observations) -> Vec<Limit> {
    let limits = observations.iter().map(|(id, observation)| Limit {
        id: id.to_string(),
        per_second: observation.per_second,
        age_ms: now.since(observation.at).as_millis() as u32,
    });
    limits.collect()
}

impl<Decoder> State<Decoder>
where
    Decoder: Reader,
{
    /// Records the limit that an endpoint stated in a response; none if it stated none. A change is
    /// logged and reported to all control daemons with the next round of reports.
    pub(super) fn record_limit(
        &mut self,
        now: Instant,
        endpoint: &Name,
        limit: Option<f64>,
        effects: &mut Vec<Effect>,
    ) {
        let limit = limit.filter(|limit| limit.is_finite() && *limit >= 0.0);
        let Some(before) = self.targets.limits.observe(now, endpoint, limit) else { return };
        self.limits_changed = true;
        let detail = format!("per_second={limit:?} before={before:?}");
        let event = journal::Event::new(132, "endpoint limit changed", &**endpoint, detail);
        effects.push(Effect::Log(event));
    }

    /// Requests slots of the endpoints with limits: one for each queued request, or one if requests
    /// have arrived recently.
    pub(super) fn request_slots(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        if self.targets.limits.is_empty() {
            return;
        }
        let leader = self.leader(now);
        let is_leaderless = now.since(self.leader_seen_at) > LEADER_TIMEOUT;
        if leader.is_some() {
            self.leader_seen_at = now;
            if is_leaderless {
                self.targets.limits.drop_slots();
            }
        }
        self.targets.limits.expire(now);
        for id in self.targets.limits.idle() {
            let Some(requirement) = self.targets.requirement(&id) else { continue };
            let recent = self.last_arrivals.get(&requirement);
            let recent = recent.is_some_and(|at| now.since(*at) < DEMAND_TTL);
            let wanted = self.queue.len(&requirement).max(usize::from(recent));
            let usable_until = self.queue.last_expiry(&requirement).unwrap_or(now);
            let Some(known) = self.targets.limits.known.get_mut(&id) else { continue };
            if known.slots.len() >= wanted || known.barred_until > usable_until {
                continue;
            }
            if let Some(leader) = &leader {
                known.requested_at = Some(now);
                let wait_ms = usable_until.since(now).as_millis() as u32;
                let reserve = Reserve { id: id.to_string(), wait_ms };
                effects.push(Effect::Send(leader.clone(), Body::Reserve(reserve)));
            } else if is_leaderless {
                self.take_share(now, &id);
            }
        }
    }

    /// The control daemon that leads, if one has said so recently.
    fn leader(&self, now: Instant) -> Option<Name> {
        let leads = |source: &super::Source| {
            now.since(source.last_message) < SOURCE_TIMEOUT
                && source.status.as_ref().is_some_and(|status| status.leads)
        };
        self.sources.iter().find(|(_, source)| leads(source)).map(|(name, _)| name.clone())
    }

    /// Takes a slot without a leader, at a random time after the last one such that on average the
    /// daemon uses its equal share of the limit.
    fn take_share(&mut self, now: Instant, id: &Name) {
        let entry_daemons = f64::from(self.entry_daemons());
        let random = (self.next_random() % 1000) as f64 / 1000.0;
        let Some(known) = self.targets.limits.known.get_mut(id) else { return };
        let rate = known.per_second.unwrap_or(RATE_MIN).max(RATE_MIN);
        let wait = Duration::from_secs_f64(entry_daemons / rate * (0.5 + random));
        known.barred_until = known.barred_until.max(now) + wait;
        known.slots.push_back(Period::starting(known.barred_until));
    }

    /// Applies the leader's answer to a request for a slot, requests further ones, and refuses what
    /// can't be sent in time.
    pub(super) fn apply_slot(&mut self, now: Instant, slot: &Slot, effects: &mut Vec<Effect>) {
        let at = now + Duration::from_millis(slot.after_ms.into());
        let spread = self.next_random() % DEMAND_TTL.as_millis() as u64;
        let requirement = self.targets.requirement(&slot.id.as_str().into());
        let is_queued = requirement.is_some_and(|requirement| !self.queue.is_empty(&requirement));
        let Some(known) = self.targets.limits.known.get_mut(slot.id.as_str()) else { return };
        known.requested_at = None;
        if slot.assigned {
            known.slots.push_back(Period::starting(at));
        } else {
            // Daemons without queued requests leave the next slots to those that have some.
            let spread = if is_queued { Duration::ZERO } else { Duration::from_millis(spread) };
            known.barred_until = at + spread;
        }
        self.send_queued(now, effects);
        self.request_slots(now, effects);
        self.refuse_unservable(now, effects);
    }

    /// Refuses the queued requests that the limits of all their endpoints bar until they expire.
    pub(super) fn refuse_unservable(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        if self.targets.limits.is_empty() {
            return;
        }
        for requirement in self.queue.requirements() {
            let Some(outlook) = self.targets.outlook(&requirement, now) else { continue };
            for (position, waiting) in self.queue.waiting(&requirement).into_iter().enumerate() {
                let Some(start) = outlook.start(position) else { continue };
                if start > waiting.expires {
                    let retry_after = start.since(now);
                    self.refuse_after(waiting.id, Reason::Limited, retry_after, effects);
                }
            }
        }
    }
}
