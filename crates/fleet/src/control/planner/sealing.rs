//! Sealing of heads that have left their group although orders to it are outstanding.
//!
//! An order to join or to open that was not answered may be carried out seconds later, and no time says when
//! not any more. The head is sealed once it has joined a later generation, a standby group: it then rejects the
//! earlier one. The order that seals it may be late itself, and must not be carried out while the head serves.
//! So the head is asked for a report first, and the order names the number of orders that it had accepted
//! then: after any other order, it is rejected.

use std::collections::BTreeMap;
use std::time::Duration;

use dotterelhoist_core::clock::Instant;

use crate::endpoint::{Heartbeat, Membership};
use crate::order::Outcome;
use crate::Name;

use super::super::endpoints::Endpoint;
use super::super::state_machine::Member;
use super::super::Effect;
use super::dissolving::has_terminated;
use super::standby::standby_task;
use super::{Generation, Inputs, PendingOrder, Planner, Purpose};

/// Time between two questions to a head that is to be sealed.
const REPORT_INTERVAL: Duration = Duration::from_millis(700);
/// The same for a head that is not known to respond.
const SILENT_REPORT_INTERVAL: Duration = Duration::from_secs(5);
/// Age of a report up to which a head is ordered to join a later generation.
const REPORT_TTL: Duration = Duration::from_millis(200);
/// Time after which what is known of a head that nobody asks about any more is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(10);

/// What the leader knows about a head that is to be sealed, by identity.
pub(super) type Sealings = BTreeMap<Name, Sealing>;

/// What the leader knows about one head.
#[derive(Debug)]
pub(super) struct Sealing {
    /// Incarnation of the head.
    started_unix_ms: u64,
    /// When it was last asked for a report.
    asked_at: Option<Instant>,
    /// Its newest report, until it was used.
    report: Option<Report>,
    /// Generations up to this one are void.
    sealed_epoch: Option<u64>,
    /// When this was last of use.
    used_at: Instant,
    /// When a change of the log was last proposed for it.
    pub(super) proposed_at: Option<Instant>,
}

/// What a head has reported.
#[derive(Debug)]
struct Report {
    at: Instant,
    /// Number of orders that it had accepted, if it states that.
    orders: Option<u64>,
    membership: Option<Membership>,
}

impl Planner {
    /// Forgets heads that are no longer to be sealed.
    pub(super) fn expire_sealings(&mut self, now: Instant) {
        self.sealings.retain(|_, sealing| now.since(sealing.used_at) < FORGET_AFTER);
    }

    /// What the leader knows about a head, which is empty after a restart of the head.
    pub(super) fn sealing_of(&mut self, now: Instant, head: &Member) -> &mut Sealing {
        let started_unix_ms = head.started_unix_ms;
        let fresh = || Sealing {
            started_unix_ms,
            asked_at: None,
            report: None,
            sealed_epoch: None,
            used_at: now,
            proposed_at: None,
        };
        let sealing = self.sealings.entry(head.id.as_str().into()).or_insert_with(fresh);
        if sealing.started_unix_ms != started_unix_ms {
            *sealing = fresh();
        }
        sealing.used_at = now;
        sealing
    }

    /// Records the report of an endpoint. Returns whether it is a head that is to be sealed, of which heartbeats
    /// may be late.
    pub fn record_report(&mut self, now: Instant, id: &str, report: &Heartbeat) -> bool {
        let sealing = self.sealings.get_mut(id);
        let Some(sealing) = sealing.filter(|it| it.started_unix_ms == report.started_unix_ms)
        else {
            return false;
        };
        let (orders, membership) = (report.orders, report.membership.clone());
        sealing.report = Some(Report { at: now, orders, membership });
        true
    }

    /// Records the outcome of an order that seals a head. One that was rejected because of the head's state has
    /// sealed nothing.
    pub(super) fn record_seal(&mut self, pending: &PendingOrder, outcome: Outcome) -> bool {
        let sealed = match outcome {
            Outcome::Taken | Outcome::Done | Outcome::Outdated | Outcome::Misdirected => true,
            Outcome::Unfit | Outcome::Refused | Outcome::Unanswered => false,
        };
        let generation = pending.group.as_ref().filter(|_| sealed);
        let sealing = self.sealings.get_mut(&pending.endpoint);
        if let (Some(generation), Some(sealing)) = (generation, sealing) {
            sealing.sealed_epoch = sealing.sealed_epoch.max(Some(generation.epoch));
        }
        sealed
    }

    /// Whether no order to this generation of a group can be carried out by its head any more: it has joined a
    /// later one, or has terminated.
    pub(super) fn is_sealed(&mut self, inputs: &Inputs<'_>, head: &Member, epoch: u64) -> bool {
        let reports_later = inputs.endpoints.find(&head.id).is_some_and(|endpoint| {
            let membership = endpoint.heartbeat.membership.as_ref();
            let is_same = endpoint.heartbeat.started_unix_ms == head.started_unix_ms;
            is_same && membership.is_some_and(|membership| membership.epoch > epoch)
        });
        let sealed_epoch = self.sealing_of(inputs.now, head).sealed_epoch;
        reports_later
            || sealed_epoch.is_some_and(|sealed| sealed >= epoch)
            || has_terminated(inputs, head)
    }

    /// Asks a head for a report or, if there is one that is new and says that it is not in the group, orders it
    /// to join a later generation.
    pub(super) fn attempt_seal(
        &mut self,
        inputs: &Inputs<'_>,
        head: &Member,
        generation: &Generation,
        model: &str,
        effects: &mut Vec<Effect>,
    ) {
        let now = inputs.now;
        let Some(endpoint) = inputs.endpoints.find(&head.id) else { return };
        if endpoint.heartbeat.started_unix_ms != head.started_unix_ms || endpoint.confirmed_dead {
            return;
        }
        let id: Name = head.id.as_str().into();
        let address: Name = endpoint.heartbeat.address.as_str().into();
        let interval = match self.responds(inputs, head) {
            true => REPORT_INTERVAL,
            false => SILENT_REPORT_INTERVAL,
        };
        let sealing = self.sealing_of(now, head);
        let Some(report) = sealing.report.take() else {
            if sealing.asked_at.is_none_or(|at| now.since(at) >= interval) {
                sealing.asked_at = Some(now);
                effects.push(Effect::Probe { id, address });
            }
            return;
        };
        let in_group =
            |membership: &Membership| membership.is_in(&generation.group, generation.epoch);
        if now.since(report.at) > REPORT_TTL || report.membership.as_ref().is_some_and(in_group) {
            return;
        }
        let Some(model) = sealing_model(inputs, endpoint, model) else { return };
        let task = standby_task(inputs, &id, &model);
        let pending = PendingOrder {
            group: Some(generation.clone()),
            endpoint: id,
            purpose: Purpose::Seal,
            joins: Some(inputs.applied),
        };
        self.send_expecting(inputs.term, pending, address, task, report.orders, effects);
    }
}

/// Model that a head is to keep in memory: the one that it has served last, that of its group, one on its VM, or
/// any.
fn sealing_model(inputs: &Inputs<'_>, endpoint: &Endpoint, of_group: &str) -> Option<Name> {
    let service = inputs.document.services.get(&*endpoint.heartbeat.service)?;
    let models = &service.engine.as_ref()?.models;
    let of_group = Some(Name::from(of_group)).filter(|model| !model.is_empty());
    let known = endpoint.last_served.clone().or(of_group);
    let on_vm = || models.iter().find(|model| endpoint.has_staged(&model.name));
    known.or_else(|| on_vm().or(models.first()).map(|model| model.name.clone()))
}
