//! Requests to endpoints with limits.
//!
//! An endpoint with a limit is sent a request only within a slot, which the leader of the control
//! daemons assigns. Without a leader, each entry daemon takes its equal share of the limit. Nothing
//! here costs anything while no endpoint states a limit.

use std::time::Duration;

use dotterelhoist_core::clock::Instant;

use crate::control::Reader;
use crate::journal;
use crate::message::{Body, Reserve, Slot};
use crate::Name;

use super::queue::Requirement;
use super::{Effect, Reason, State, SOURCE_TIMEOUT};

/// Time since the last request of callers for which slots are requested, so that the end of a limit
/// is noticed also while other endpoints have room.
const DEMAND_TTL: Duration = Duration::from_secs(1);
/// Time without a leader after which a daemon uses its share of the limits.
const LEADER_TIMEOUT: Duration = Duration::from_secs(2);

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

    /// Requests the slots that are wanted of the endpoints with limits.
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
        for id in self.targets.limits.limited() {
            let Some(requirement) = self.targets.requirement(&id) else { continue };
            let usable_until = self.queue.last_expiry(&requirement).unwrap_or(now);
            let wanted = match self.is_barred(&id, now) {
                true => 0,
                false => self.wanted_slots(now, &requirement),
            };
            if !self.targets.limits.lacks_slot(&id, wanted, usable_until) {
                continue;
            }
            if let Some(leader) = &leader {
                self.targets.limits.record_request(now, &id);
                let wait_ms = usable_until.since(now).as_millis() as u32;
                let limit = self.targets.limits.describe(now, &id);
                let reserve = Reserve { limit, wait_ms };
                effects.push(Effect::Send(leader.clone(), Body::Reserve(reserve)));
            } else if is_leaderless {
                let random = (self.next_random() % 1000) as f64 / 1000.0;
                let entry_daemons = self.entry_daemons();
                self.targets.limits.take_share(now, &id, entry_daemons, random);
            }
        }
    }

    /// Slots that this daemon can use: one for each queued request, or one if requests have arrived
    /// recently.
    fn wanted_slots(&self, now: Instant, requirement: &Requirement) -> usize {
        let recent = self.last_arrivals.get(requirement);
        let recent = recent.is_some_and(|at| now.since(*at) < DEMAND_TTL);
        self.queue.len(requirement).max(usize::from(recent))
    }

    /// The control daemon that leads, if one has said so recently.
    fn leader(&self, now: Instant) -> Option<Name> {
        let leads = |source: &super::Source| {
            now.since(source.last_message) < SOURCE_TIMEOUT
                && source.status.as_ref().is_some_and(|status| status.leads)
        };
        self.sources.iter().find(|(_, source)| leads(source)).map(|(name, _)| name.clone())
    }

    /// Applies the leader's answer to a request for a slot, requests further ones, and refuses what
    /// can't be sent in time.
    pub(super) fn apply_slot(&mut self, now: Instant, slot: &Slot, effects: &mut Vec<Effect>) {
        let id: Name = slot.id.as_str().into();
        let at = now + Duration::from_millis(slot.after_ms.into());
        if slot.assigned {
            self.targets.limits.record_slot(&id, at);
        } else {
            let spread = self.refusal_spread(&id);
            self.targets.limits.record_refusal(&id, at + spread);
        }
        self.send_queued(now, effects);
        self.request_slots(now, effects);
        self.refuse_unservable(now, effects);
    }

    /// Time by which a daemon without queued requests for an endpoint leaves its next slots to those
    /// that have some.
    fn refusal_spread(&mut self, id: &Name) -> Duration {
        let requirement = self.targets.requirement(id);
        if requirement.is_some_and(|requirement| !self.queue.is_empty(&requirement)) {
            return Duration::ZERO;
        }
        Duration::from_millis(self.next_random() % DEMAND_TTL.as_millis() as u64)
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
