//! Planning of the serving groups by the leader.
//!
//! Each tick compares all groups and endpoints with the desired state, and sends the orders that
//! are still needed:
//!
//! * A new group is committed to the log first. Then each member is ordered to join. Once *all*
//!   members report that they are ready under the group's name and epoch, the head is ordered to
//!   open.
//! * A group that loses a member is marked as dissolving by a committed change, which takes it out
//!   of every view. Then its head is ordered to close and to leave. Only then is the group removed,
//!   which frees its members. If the head does not respond, the other members are ordered to leave
//!   instead: without them the head makes no progress and reports itself broken within the stall
//!   timeout, after which the members are free.
//! * A group that endpoints report and that the log does not have, because an order was carried out
//!   late, is closed and left in the same way; its members are not free until then ([`stray`]).
//! * VMs of free endpoints, and of members of groups, are ordered to copy the weights of models
//!   that their endpoints may need next ([`staging`]). Free endpoints are ordered to load a model
//!   into memory ([`standby`]).

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use dotterelhoist_core::clock::Instant;

use crate::document::Document;
use crate::endpoint::Stage;
use crate::journal;
use crate::order::{Order, Outcome, Task};
use crate::Name;

use super::distribution::Demands;
use super::endpoints::Table;
use super::reachability::Reachability;
use super::state_machine::{Change, Group, GroupDissolution, HeldHead, Member, StateMachine};
use super::Effect;

mod converting;
mod dissolving;
pub mod forming;
mod holding;
mod sealing;
mod settling;
pub mod staging;
mod standby;
mod stray;
mod summary;
mod targets;
mod vacancy;

/// Time after which an order to an endpoint or a proposed change is repeated if it has had no
/// effect.
const ORDER_RETRY_INTERVAL: Duration = Duration::from_millis(700);
/// Time since this leader first saw a group after which the group is dissolved if it is not open.
const FORM_TIMEOUT: Duration = Duration::from_secs(60);
/// Time for which a gracefully dissolved group may finish its running requests; they are then
/// cancelled.
const GRACEFUL_CLOSE_TIMEOUT: Duration = Duration::from_secs(8);
/// Time for which only the head of a dissolving group is ordered to close and leave, as long as it
/// responds; after it, the other members are ordered to leave too. For a graceful dissolution it is
/// added to [`GRACEFUL_CLOSE_TIMEOUT`].
const HEAD_RELEASE_TIMEOUT: Duration = Duration::from_secs(3);
/// Time after the last progress of a head for which all members of its group count as alive.
const PROGRESS_TTL: Duration = Duration::from_millis(1500);
/// Minimum time between two probes of an endpoint that answers.
const PROBE_INTERVAL: Duration = Duration::from_millis(600);
/// Minimum time between two probes of an endpoint that does not answer, so that it is soon noticed
/// when it goes on.
const SILENT_PROBE_INTERVAL: Duration = Duration::from_millis(300);

/// Times that depend on the deployment.
#[derive(Clone, Copy, Debug)]
pub struct Times {
    /// Time between two heartbeats of an endpoint.
    pub heartbeat_interval: Duration,
    /// Time after which a head that has lost a member reports itself broken.
    pub stall_timeout: Duration,
}

impl Times {
    /// Time since an endpoint was last seen after which it is probed.
    fn probe_after(&self) -> Duration {
        self.heartbeat_interval * 2
    }

    /// Time since an endpoint was last seen after which it counts as lost even if no probe has
    /// failed.
    fn loss_timeout(&self) -> Duration {
        self.heartbeat_interval * 2 + Duration::from_millis(2000)
    }
}

/// The state that the planner reads in one tick.
#[derive(Debug)]
pub struct Inputs<'a> {
    /// Time of the tick.
    pub now: Instant,
    /// Term of the leader, used as the fencing number of its orders.
    pub term: u64,
    /// Index of the last log entry that is applied to the replicated state.
    pub applied: u64,
    /// Document in force.
    pub document: &'a Document,
    /// Replicated state.
    pub state_machine: &'a StateMachine,
    /// Endpoints that this daemon knows of.
    pub endpoints: &'a mut Table,
    /// Average demand for each model.
    pub demand: &'a Demands,
    /// Whether callers have sent any requests so far.
    pub traffic: bool,
    /// Which availability zones this daemon can reach.
    pub reachability: &'a Reachability,
    /// When entry daemons last saw each endpoint make progress, by identity.
    pub progress: &'a BTreeMap<Name, Instant>,
    /// When entry daemons last suspected an endpoint, by identity.
    pub suspects: &'a BTreeMap<Name, Instant>,
}

/// Kind of an order, without the parameters that its [`Task`] has; logged as `{:?}`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Purpose {
    Join,
    Open,
    Close,
    Leave,
    Stage,
    /// Join a standby group, which is not in the log.
    Standby,
    /// Join a standby group after leaving the group, so that no earlier order takes effect any more.
    Seal,
}

/// A group in one generation.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Generation {
    group: Name,
    epoch: u64,
}

impl Generation {
    fn of(group: &Group) -> Generation {
        Generation { group: group.name.as_str().into(), epoch: group.epoch }
    }
}

/// An order whose outcome is not yet known.
#[derive(Clone, Debug)]
struct PendingOrder {
    /// Group that it concerns; none for [`Purpose::Stage`], not in the log for
    /// [`Purpose::Standby`].
    group: Option<Generation>,
    endpoint: Name,
    purpose: Purpose,
    /// Generation that it orders the endpoint to join, if it does.
    joins: Option<u64>,
}

/// What the leader keeps in memory about a group.
#[derive(Debug)]
struct GroupState {
    /// When this leader first planned for the group.
    first_seen: Instant,
    /// When orders were last sent, by endpoint and purpose.
    ordered_at: BTreeMap<(Name, Purpose), Instant>,
    /// When members confirmed that they no longer belong to the group.
    left_at: BTreeMap<Name, Instant>,
    /// Whether the head has reported that it is open.
    opened: bool,
    /// Whether the head has confirmed that it takes no new requests, or the removal of the group
    /// was proposed.
    closed: bool,
    /// Whether orders to join or to open may still be carried out late: one was not answered.
    may_reopen: bool,
    /// Whether an earlier leader may have sent such orders that were not answered.
    inherits_orders: bool,
    /// Number of the last settlement that was proposed to the log, and when.
    settlement: Option<(u64, Instant)>,
    /// Whether the head has seen a later generation since it left, so that no order from before makes
    /// it join or open again.
    sealed: bool,
    /// Whether a member has rejected the order to join as outdated, or another endpoint listens at
    /// its address; the group can then never become ready.
    join_rejected: bool,
    /// When this leader first found the group dissolving.
    dissolving_since: Option<Instant>,
    /// When the dissolution or the removal of the group was last proposed to the log.
    proposed_at: Option<Instant>,
}

/// Planner of the leader; its state is kept in memory only.
#[derive(Debug)]
pub struct Planner {
    times: Times,
    /// Ticket of the next order. Not reset, so that outcomes of orders from an earlier period as
    /// leader are not attributed to newer orders.
    next_ticket: u64,
    /// When this daemon became leader.
    leading_since: Instant,
    /// Whether the groups that were there when this daemon became leader have been planned for.
    has_planned: bool,
    /// Orders whose outcome is not yet known, by ticket.
    pending_orders: BTreeMap<u64, PendingOrder>,
    groups: BTreeMap<Generation, GroupState>,
    /// Groups that endpoints report and the log does not have.
    strays: stray::Strays,
    /// Heads that are to be sealed.
    sealings: sealing::Sealings,
    /// When endpoints were last probed; entries older than [`PROBE_INTERVAL`] are removed.
    probed_at: BTreeMap<Name, Instant>,
    /// Members of groups that were proposed to the log and may not be applied yet, and when they
    /// were proposed.
    proposed_members: BTreeMap<Name, Instant>,
    /// Limit on the rate at which models are loaded from the weight store.
    load_limiter: staging::LoadLimiter,
    /// Recent orders to copy the weights of a model to a VM, by endpoint.
    staging_orders: BTreeMap<Name, staging::StagingOrder>,
    /// Recent orders to join a standby group.
    standby_orders: standby::StandbyOrders,
    /// Placement that was last logged.
    last_summary: summary::LastSummary,
    /// Fabric domains whose free endpoints are reserved for one model after a conversion.
    reserved_domains: forming::ReservedDomains,
    /// When groups were last dissolved for another model.
    last_conversion: Option<Instant>,
    /// Number of known endpoints, and when it last changed.
    endpoint_count: Option<(usize, Instant)>,
}

impl Planner {
    /// Creates a planner without state.
    pub fn new(times: Times) -> Planner {
        Planner {
            times,
            next_ticket: 1,
            leading_since: Instant::default(),
            has_planned: false,
            pending_orders: BTreeMap::new(),
            groups: BTreeMap::new(),
            strays: stray::Strays::default(),
            sealings: sealing::Sealings::new(),
            probed_at: BTreeMap::new(),
            proposed_members: BTreeMap::new(),
            load_limiter: staging::LoadLimiter::default(),
            staging_orders: BTreeMap::new(),
            standby_orders: BTreeMap::new(),
            last_summary: summary::LastSummary::default(),
            reserved_domains: BTreeMap::new(),
            last_conversion: None,
            endpoint_count: None,
        }
    }

    /// Discards the state from an earlier period as leader.
    pub fn reset(&mut self, now: Instant) {
        let next_ticket = self.next_ticket;
        *self = Planner::new(self.times);
        self.next_ticket = next_ticket;
        self.leading_since = now;
        self.load_limiter.reset(now);
    }

    /// Plans one tick: appends changes to propose to the log, and orders and probes to send.
    pub fn plan(
        &mut self,
        inputs: &mut Inputs<'_>,
        changes: &mut Vec<Change>,
        effects: &mut Vec<Effect>,
    ) {
        let is_new_leader = inputs.now.since(self.leading_since) < self.times.loss_timeout();
        self.probe_members(inputs, effects);
        let strays = stray::find(inputs);
        let groups = inputs.state_machine.groups.values().chain(&strays);
        let held = inputs.state_machine.held_heads.values().map(HeldHead::generation);
        let generations: BTreeSet<Generation> = groups.map(Generation::of).chain(held).collect();
        self.groups.retain(|generation, _| generations.contains(generation));
        self.expire_sealings(inputs.now);
        self.release_strays(inputs, &strays, changes, effects);
        self.release_held(inputs, changes, effects);
        for group in inputs.state_machine.groups.values() {
            if group.dissolving {
                self.dissolve_group(inputs, group, changes, effects);
            } else {
                self.advance_group(inputs, group, is_new_leader, changes, effects);
            }
        }
        self.has_planned = true;
        self.form_groups(inputs, changes, effects);
        self.load_spares(inputs, effects);
        self.stage_models(inputs, effects);
        self.log_summary(inputs, effects);
    }

    /// Records the outcome of an order, whether or not this daemon is still leader.
    pub fn record_outcome(
        &mut self,
        now: Instant,
        ticket: u64,
        outcome: Outcome,
        endpoints: &mut Table,
        effects: &mut Vec<Effect>,
    ) {
        let Some(pending) = self.pending_orders.remove(&ticket) else { return };
        let id = &pending.endpoint;
        let group = pending.group.as_ref().map_or("", |generation| &*generation.group);
        let detail = format!("{:?} group={group} outcome={outcome}", pending.purpose);
        effects.push(Effect::Log(journal::Event::new(231, "order ended", &**id, detail)));
        if outcome == Outcome::Refused {
            if let Some(endpoint) = endpoints.find_mut(id) {
                endpoint.record_failure(now, Instant::default(), true);
            }
        }
        let Some(generation) = &pending.group else { return };
        let definite = !matches!(outcome, Outcome::Unanswered | Outcome::Refused);
        if let Some(endpoint) = endpoints.find_mut(id) {
            match (pending.joins, outcome) {
                (Some(epoch), Outcome::Taken | Outcome::Done) => endpoint.record_join(now, epoch),
                (None, _) if pending.purpose == Purpose::Leave && definite => {
                    endpoint.record_leave(now, &generation.group, generation.epoch);
                }
                _ => {}
            }
        }
        let seals = pending.purpose == Purpose::Seal && self.record_seal(&pending, outcome);
        let Some(state) = self.groups.get_mut(generation) else { return };
        match (pending.purpose, outcome) {
            (Purpose::Join, Outcome::Outdated | Outcome::Misdirected) => state.join_rejected = true,
            (Purpose::Join | Purpose::Open, Outcome::Unanswered) => state.may_reopen = true,
            (Purpose::Seal, _) => state.sealed |= seals,
            (Purpose::Close, Outcome::Done | Outcome::Unfit | Outcome::Misdirected) => {
                state.closed = true;
            }
            (Purpose::Leave, Outcome::Unanswered | Outcome::Refused | Outcome::Outdated) => {}
            (Purpose::Leave, _) => {
                state.left_at.insert(pending.endpoint, now);
            }
            _ => {}
        }
    }

    /// Probes members that are silent, and all members of groups whose head is suspected by entry
    /// daemons, unless the head makes progress. A member that did not answer is probed until it
    /// does, or its address refuses the connection. Members are not probed while their zone may be
    /// unreachable.
    fn probe_members(&mut self, inputs: &mut Inputs<'_>, effects: &mut Vec<Effect>) {
        let now = inputs.now;
        self.probed_at.retain(|_, at| now.since(*at) < PROBE_INTERVAL);
        for group in inputs.state_machine.groups.values() {
            let Some(head) = group.head() else { continue };
            let head: Name = head.id.as_str().into();
            let suspected = inputs.suspects.contains_key(&head);
            let makes_progress = makes_progress(inputs, &head);
            for member in &group.members {
                let id: Name = member.id.as_str().into();
                let Some(endpoint) = inputs.endpoints.find(&id) else { continue };
                let zone = &endpoint.heartbeat.zone;
                let since = inputs.reachability.reachable_since(zone);
                let silent = now.since(endpoint.last_seen.max(since)) > self.times.probe_after();
                let outage = endpoint.outage_since(since);
                let is_other = endpoint.heartbeat.started_unix_ms != member.started_unix_ms;
                let needs_probe = match outage {
                    _ if is_other && !endpoint.attested => true,
                    Some(outage) => !outage.refused,
                    None => (silent || suspected) && !makes_progress,
                };
                let skip =
                    endpoint.heartbeat.gone || inputs.reachability.may_be_unreachable(zone, now);
                let interval =
                    if outage.is_some() { SILENT_PROBE_INTERVAL } else { PROBE_INTERVAL };
                let recent = self.probed_at.get(&id).is_some_and(|at| now.since(*at) < interval);
                if needs_probe && !skip && !recent {
                    self.probed_at.insert(id.clone(), now);
                    let address = endpoint.heartbeat.address.as_str().into();
                    effects.push(Effect::Probe { id, address });
                }
            }
        }
    }

    /// Orders the members of a group to join and, once all are ready, its head to open. Proposes to
    /// dissolve the group instead if it can no longer serve.
    fn advance_group(
        &mut self,
        inputs: &mut Inputs<'_>,
        group: &Group,
        is_new_leader: bool,
        changes: &mut Vec<Change>,
        effects: &mut Vec<Effect>,
    ) {
        let now = inputs.now;
        let name: Name = group.name.as_str().into();
        self.state_of(now, group);
        if let Some(reason) = self.find_dissolution_reason(inputs, group, is_new_leader) {
            self.propose_dissolution(now, group, reason, changes, effects);
            return;
        }
        let stages: Vec<Option<Stage>> = group
            .members
            .iter()
            .map(|member| {
                let endpoint = inputs.endpoints.find(&member.id)?;
                endpoint.heartbeat.stage_in(&group.name, group.epoch)
            })
            .collect();
        for (member, stage) in group.members.iter().zip(&stages) {
            let served = matches!(stage, Some(Stage::Ready | Stage::Open));
            if let Some(endpoint) = inputs.endpoints.find_mut(&member.id).filter(|_| served) {
                endpoint.last_served = Some(group.model.as_str().into());
            }
        }
        if stages.first().is_some_and(|stage| matches!(stage, Some(Stage::Open))) {
            self.state_of(now, group).opened = true;
            self.settle(now, group, changes);
            return;
        }
        if !self.unsettle(now, group, changes) {
            return;
        }
        let ready = stages.iter().all(|stage| matches!(stage, Some(Stage::Ready)));
        if ready {
            if let Some(head) = group.head() {
                let task = Task::Open { group: name.clone(), epoch: group.epoch };
                self.order_member(inputs, group, head, Purpose::Open, task, effects);
            }
            return;
        }
        for (member, stage) in group.members.iter().zip(&stages) {
            if stage.is_some() {
                continue;
            }
            if self.strays.bind(&member.id) || !self.may_join(inputs, group, member) {
                continue;
            }
            let task = Task::Join {
                group: name.clone(),
                epoch: group.epoch,
                model: group.model.as_str().into(),
                members: group.member_ids(),
            };
            self.order_member(inputs, group, member, Purpose::Join, task, effects);
        }
    }

    /// Finds why a group must be dissolved; none if it can serve or still form. A new leader
    /// ignores members that it has no heartbeat of yet. Missing heartbeats and failed probes of a
    /// member do not count while its zone may be unreachable.
    fn find_dissolution_reason(
        &self,
        inputs: &Inputs<'_>,
        group: &Group,
        is_new_leader: bool,
    ) -> Option<DissolutionReason> {
        let now = inputs.now;
        let head: Name = group.head()?.id.as_str().into();
        let makes_progress = makes_progress(inputs, &head);
        let state = self.groups.get(&Generation::of(group));
        if state.is_some_and(|state| state.join_rejected) {
            return Some(DissolutionReason::Failed);
        }
        for member in &group.members {
            let Some(endpoint) = inputs.endpoints.find(&member.id) else {
                if is_new_leader {
                    continue;
                }
                return Some(DissolutionReason::Silent);
            };
            let is_other = endpoint.heartbeat.started_unix_ms != member.started_unix_ms;
            if is_other && endpoint.attested {
                return Some(DissolutionReason::Reborn);
            }
            if endpoint.confirmed_dead {
                return Some(DissolutionReason::Gone);
            }
            if endpoint.heartbeat.draining || endpoint.heartbeat.gone {
                return Some(DissolutionReason::Draining);
            }
            let zone_silent_since_failure = endpoint.outage.is_some_and(|outage| {
                !inputs.reachability.had_contact_after(&endpoint.heartbeat.zone, outage.since)
            });
            if zone_silent_since_failure
                || inputs.reachability.may_be_unreachable(&endpoint.heartbeat.zone, now)
            {
                continue;
            }
            let since = inputs.reachability.reachable_since(&endpoint.heartbeat.zone);
            let progressed_at = inputs.progress.get(&head).copied();
            let loss_timeout = self.times.loss_timeout();
            let failed = endpoint.has_failed(now, loss_timeout, since, progressed_at);
            if failed && !makes_progress {
                return Some(DissolutionReason::Silent);
            }
        }
        let broken = inputs.endpoints.find(&head).and_then(|endpoint| {
            let stage = endpoint.heartbeat.stage_in(&group.name, group.epoch)?;
            (stage == Stage::Broken).then_some(DissolutionReason::Broken)
        });
        let age = state.map_or(Duration::ZERO, |state| now.since(state.first_seen));
        let open = inputs.endpoints.find(&head).is_some_and(|endpoint| {
            endpoint.heartbeat.stage_in(&group.name, group.epoch) == Some(Stage::Open)
        });
        if !open && age > FORM_TIMEOUT {
            return Some(DissolutionReason::Failed);
        }
        broken
    }

    /// Proposes to dissolve a group, unless that was proposed less than [`ORDER_RETRY_INTERVAL`]
    /// ago. Running requests may finish only if a member is draining.
    fn propose_dissolution(
        &mut self,
        now: Instant,
        group: &Group,
        reason: DissolutionReason,
        changes: &mut Vec<Change>,
        effects: &mut Vec<Effect>,
    ) {
        let state = self.state_of(now, group);
        if state.proposed_at.is_some_and(|at| now.since(at) < ORDER_RETRY_INTERVAL) {
            return;
        }
        state.proposed_at = Some(now);
        let graceful = reason == DissolutionReason::Draining;
        changes
            .push(Change::DissolveGroup(GroupDissolution { group: group.name.clone(), graceful }));
        let detail = format!("epoch={} model={} reason={reason}", group.epoch, group.model);
        effects.push(Effect::Log(journal::Event::new(241, "group lost", &*group.name, detail)));
    }

    /// Sends an order to a member, unless the same was sent less than [`ORDER_RETRY_INTERVAL`] ago
    /// or the member has terminated or restarted.
    fn order_member(
        &mut self,
        inputs: &Inputs<'_>,
        group: &Group,
        member: &Member,
        purpose: Purpose,
        task: Task,
        effects: &mut Vec<Effect>,
    ) {
        let id: Name = member.id.as_str().into();
        let Some(endpoint) = inputs.endpoints.find(&id) else { return };
        if endpoint.confirmed_dead || endpoint.heartbeat.started_unix_ms != member.started_unix_ms {
            return;
        }
        let key = (id.clone(), purpose.clone());
        let state = self.state_of(inputs.now, group);
        if state.ordered_at.get(&key).is_some_and(|at| inputs.now.since(*at) < ORDER_RETRY_INTERVAL)
        {
            return;
        }
        state.ordered_at.insert(key, inputs.now);
        let address = endpoint.heartbeat.address.as_str().into();
        let joins = joined_epoch(&task);
        let group = Some(Generation::of(group));
        let pending = PendingOrder { group, endpoint: id, purpose, joins };
        self.send_order(inputs.term, pending, address, task, effects);
    }

    /// Sends an order to an endpoint and keeps it as pending.
    fn send_order(
        &mut self,
        fencing: u64,
        pending: PendingOrder,
        address: Name,
        task: Task,
        effects: &mut Vec<Effect>,
    ) {
        self.send_expecting(fencing, pending, address, task, None, effects);
    }

    /// Like [`Planner::send_order`], with the number of orders that the endpoint must have accepted before.
    fn send_expecting(
        &mut self,
        fencing: u64,
        pending: PendingOrder,
        address: Name,
        task: Task,
        expected: Option<u64>,
        effects: &mut Vec<Effect>,
    ) {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        let endpoint = pending.endpoint.clone();
        self.pending_orders.insert(ticket, pending);
        effects.push(Effect::Order(Order { ticket, endpoint, address, fencing, expected, task }));
    }

    /// What the leader remembers about a group.
    fn state_of(&mut self, now: Instant, group: &Group) -> &mut GroupState {
        let inherits_orders = !self.has_planned && !group.settled;
        let state = self.groups.entry(Generation::of(group));
        state.or_insert_with(|| GroupState { inherits_orders, ..GroupState::new(now) })
    }

    /// Whether a member may be ordered to join now: it is warm for the model, callers have not sent
    /// requests yet, it was ordered before, or the load limiter permits another load from the
    /// weight store.
    fn may_join(&mut self, inputs: &Inputs<'_>, group: &Group, member: &Member) -> bool {
        let Some(endpoint) = inputs.endpoints.find(&member.id) else { return false };
        if endpoint.is_warm(&group.model) || !inputs.traffic {
            return true;
        }
        let key = (member.id.as_str().into(), Purpose::Join);
        let state = self.groups.get(&Generation::of(group));
        let ordered = state.and_then(|state| state.ordered_at.get(&key));
        if ordered.is_some() {
            return true;
        }
        let service = inputs.document.services.get(&*group.service);
        let engine = service.and_then(|service| service.engine.as_ref());
        self.load_limiter.try_start(
            inputs.now,
            engine.map_or(1.0, |engine| engine.loads_per_s),
            0.0,
        )
    }
}

/// Why a group is dissolved; the name is written to the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
enum DissolutionReason {
    /// A member is unknown, or has failed (see [`Endpoint::has_failed`]).
    ///
    /// [`Endpoint::has_failed`]: super::endpoints::Endpoint::has_failed
    Silent,
    /// A member has restarted.
    Reborn,
    /// A member has been replaced by another endpoint at its address.
    Gone,
    /// A member is draining, or has deregistered.
    Draining,
    /// The head reports that it is broken.
    Broken,
    /// A member rejected the order to join (see [`GroupState::join_rejected`]), or the group did
    /// not open within [`FORM_TIMEOUT`].
    Failed,
}

impl GroupState {
    fn new(now: Instant) -> GroupState {
        GroupState {
            may_reopen: false,
            inherits_orders: false,
            settlement: None,
            sealed: false,
            first_seen: now,
            ordered_at: BTreeMap::new(),
            left_at: BTreeMap::new(),
            opened: false,
            closed: false,
            join_rejected: false,
            dissolving_since: None,
            proposed_at: None,
        }
    }
}

/// Generation that a task orders an endpoint to join, if it does.
fn joined_epoch(task: &Task) -> Option<u64> {
    match task {
        Task::Join { epoch, .. } => Some(*epoch),
        Task::Open { .. } | Task::Close { .. } | Task::Leave { .. } | Task::Stage { .. } => None,
    }
}

/// Whether entry daemons have recently seen a head make progress and have not suspected it since. A
/// head makes progress only with all its members, so this shows that they are alive too.
fn makes_progress(inputs: &Inputs<'_>, head: &Name) -> bool {
    let Some(progressed_at) = inputs.progress.get(head) else { return false };
    let suspected = inputs.suspects.get(head).is_some_and(|at| at > progressed_at);
    inputs.now.since(*progressed_at) < PROGRESS_TTL && !suspected
}
