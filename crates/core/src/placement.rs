//! Placement of serving groups on the VMs of a zone, run by the leader of the zone's placement log.
//!
//! The [`Manager`] holds no state that must survive a restart. It compares the desired state
//! (configuration), the logged state (placements) and the observed state (membership), and returns
//! commands to log and orders to send. All of these are safe to repeat or lose: an order is sent
//! again until the endpoint's announcement agrees with the log.
//!
//! A VM moves from one group to another in four steps: its release is logged; it is ordered to
//! leave; it announces that it is free, or its last announcement has expired on every daemon; only
//! then may another placement include it.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use smallvec::SmallVec;

use crate::admit::TokenBucket;
use crate::clock::Instant;
use crate::control::command::{Body, Member, Place, Release};
use crate::control::placements::{Placement, Placements};
use crate::membership::{Endpoint, Table};
use crate::message::{Order, Phase, Summary};
use crate::object::Group;
use crate::policy::{Policy, MEMBER_TTL, ORDER_RETRY};
use crate::repair::{self, Action, Situation};
use crate::view::View;
use crate::Name;

/// Margin added to [`MEMBER_TTL`] before a silent VM counts as having left its group, for daemons
/// that received its last announcement late.
const EXPIRY_MARGIN: Duration = Duration::from_millis(1000);
/// Multiple of the median step time from which a member counts as a straggler; its group is then
/// released if a spare is available.
const STRAGGLER_FACTOR: u32 = 3;
/// Time for which a straggler is not placed in a group again.
const STRAGGLER_EXCLUSION: Duration = Duration::from_secs(600);
/// Weight of the newest model load in the exponentially weighted mean of load times.
const LOAD_TIME_WEIGHT: f64 = 0.3;

/// An order with the address of the endpoint that it is sent to.
#[derive(Clone, Debug, PartialEq)]
pub struct AddressedOrder {
    /// IP address and port of the endpoint.
    pub address: Name,
    /// The order.
    pub order: Order,
}

/// Result of one planning run: the actions to carry out.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// Commands for the placement log.
    pub commands: Vec<Body>,
    /// Orders for endpoints.
    pub orders: Vec<AddressedOrder>,
    /// Repairs that were chosen, to be written to the daemon's log.
    pub repairs: Vec<ChosenRepair>,
}

/// A repair that was chosen for a group.
#[derive(Clone, Debug, PartialEq)]
pub struct ChosenRepair {
    /// Group instance.
    pub group: Name,
    /// Chosen action.
    pub action: Action,
}

/// State on which the manager's decisions are based.
#[derive(Clone, Copy, Debug)]
pub struct Inputs<'a> {
    /// Current time.
    pub now: Instant,
    /// Term in which this replica leads; the fencing number of all orders.
    pub term: u64,
    /// Index of the last applied entry of the placement log.
    pub applied: u64,
    /// Configuration in force.
    pub view: &'a View,
    /// Placements recorded in the placement log.
    pub placements: &'a Placements,
    /// Endpoints of the zone.
    pub endpoint_table: &'a Table,
}

/// State of a VM as seen by the placement leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Status {
    /// Member of a group that serves.
    Serving,
    /// In no group.
    Free,
    /// Loads its model, or waits for its group to become complete.
    Loading,
    /// Finishes running requests, or is about to leave its group.
    Draining,
    /// Has not announced itself within [`MEMBER_TTL`].
    FailedSilent,
    /// Ready, but its group can't serve because another member is silent.
    FailedStranded,
}

/// Placement manager of one zone.
#[derive(Debug)]
pub struct Manager {
    zone: Name,
    /// All availability zones, in the same order on every daemon.
    zones: Vec<Name>,
    policy: Policy,
    /// Time of the last order to each VM.
    last_ordered: BTreeMap<Name, Instant>,
    /// Time of the first order to load the model of each group that is not yet complete.
    load_started: BTreeMap<Name, Instant>,
    /// Index of the last command proposed for each group. Until it is applied, nothing further is
    /// proposed for the group.
    proposed_index: BTreeMap<Name, u64>,
    /// Time at which each straggler was last detected.
    stragglers: BTreeMap<Name, Instant>,
    /// Limit on model loads that begin in the zone.
    load_limit: TokenBucket,
    /// Mean time in seconds from the first order of a group until the group is complete.
    mean_load_seconds: f64,
    /// Time up to which the downtime of each group has been counted.
    downtime_counted_until: BTreeMap<Name, Instant>,
    /// Time up to which the stranded accelerators of each VM have been counted.
    stranded_counted_until: BTreeMap<Name, Instant>,
    /// Milliseconds for which configured group instances could not serve, summed over the instances
    /// since the daemon started.
    downtime_ms: u64,
    /// Accelerator-milliseconds that were neither serving nor free since the daemon started.
    stranded_ms: u64,
    /// Group instances that could not be formed at the last plan for lack of free VMs.
    shortfall: u32,
}

impl Manager {
    /// Creates the manager of `zone`, which is one of `zones`.
    pub fn new(zone: Name, zones: Vec<Name>, policy: Policy, now: Instant) -> Manager {
        Manager {
            zone,
            zones,
            last_ordered: BTreeMap::new(),
            load_started: BTreeMap::new(),
            proposed_index: BTreeMap::new(),
            stragglers: BTreeMap::new(),
            load_limit: TokenBucket::full(f64::from(policy.loads_per_minute) / 60.0, now),
            mean_load_seconds: policy.load_seconds,
            policy,
            downtime_counted_until: BTreeMap::new(),
            stranded_counted_until: BTreeMap::new(),
            downtime_ms: 0,
            stranded_ms: 0,
            shortfall: 0,
        }
    }

    /// Group instances that this zone should run: the replicas of each serving group are spread
    /// evenly over the zones that its selector permits, and the first zones run the remainder.
    pub fn desired(&self, view: &View) -> Vec<(Name, Group)> {
        let mut desired = Vec::new();
        for (name, group) in &view.groups {
            let zones = self.zones.iter().filter(|zone| group.selector.permits("zone", zone));
            let zones: SmallVec<[&Name; 8]> = zones.collect();
            let Some(position) = zones.iter().position(|zone| **zone == self.zone) else {
                continue;
            };
            let count = zones.len() as u32;
            let extra = u32::from((position as u32) < group.replicas % count);
            for number in 0..group.replicas / count + extra {
                desired.push((format!("{name}/{}/{number}", self.zone).into(), group.clone()));
            }
        }
        desired
    }

    /// Compares the desired, logged and observed states and returns the actions to carry out.
    pub fn plan(&mut self, inputs: Inputs<'_>) -> Plan {
        let mut plan = Plan::default();
        let desired = self.desired(inputs.view);
        self.record_lost_time(&inputs, &desired);
        self.proposed_index.retain(|_, index| *index > inputs.applied);
        self.stragglers.retain(|_, since| inputs.now.since(*since) < STRAGGLER_EXCLUSION);
        let mut reserved: BTreeSet<Name> = self.stragglers.keys().cloned().collect();
        self.shortfall = 0;
        for (name, group) in &desired {
            match inputs.placements.group(name) {
                None => self.form_group(&inputs, name, group, &mut reserved, &mut plan),
                Some(placement) if placement.releasing => {}
                Some(placement) => {
                    self.maintain_group(&inputs, name, group, placement, &mut reserved, &mut plan);
                }
            }
        }
        let names: BTreeSet<&Name> = desired.iter().map(|(name, _)| name).collect();
        for (name, placement) in inputs.placements.groups() {
            if placement.releasing {
                self.finish_release(&inputs, name, placement, &mut plan);
            } else if !names.contains(name) {
                self.release(name, placement, &mut plan);
            }
            self.order_replaced_to_leave(&inputs, name, placement, &mut plan);
        }
        self.order_strays_to_leave(&inputs, &mut plan);
        plan
    }

    /// Records that a command for a group was appended to the placement log at `index`.
    pub fn record_proposal(&mut self, group: &str, index: u64) {
        self.proposed_index.insert(group.into(), index);
    }

    /// Status of each VM that runs a model engine.
    pub fn statuses(&self, inputs: &Inputs<'_>) -> BTreeMap<Name, Status> {
        let status = |vm: &Name, endpoint: &Endpoint| self.status(inputs, vm, endpoint);
        let engines = inputs.endpoint_table.endpoints().filter(|(_, e)| !e.announcement.plain);
        engines.map(|(vm, endpoint)| (vm.clone(), status(vm, endpoint))).collect()
    }

    /// Number of VMs in each state, group downtime, stranded accelerators and shortfall.
    pub fn summary(&self, inputs: &Inputs<'_>) -> Summary {
        let mut summary = Summary {
            zone: self.zone.to_string(),
            term: inputs.term,
            group_downtime_ms: self.downtime_ms,
            stranded_ms: self.stranded_ms,
            shortfall: self.shortfall,
            ..Summary::default()
        };
        for status in self.statuses(inputs).values() {
            let count = match status {
                Status::Serving => &mut summary.serving,
                Status::Free => &mut summary.free,
                Status::Loading => &mut summary.loading,
                Status::Draining => &mut summary.draining,
                Status::FailedSilent | Status::FailedStranded => &mut summary.failed,
            };
            *count += 1;
        }
        summary
    }

    /// Status of one VM that runs a model engine.
    fn status(&self, inputs: &Inputs<'_>, vm: &Name, endpoint: &Endpoint) -> Status {
        if !endpoint.is_fresh(inputs.now) {
            return Status::FailedSilent;
        }
        let Some(group) = inputs.placements.holder(vm) else {
            return match endpoint.phase() {
                Phase::Free => Status::Free,
                _ => Status::Draining,
            };
        };
        let Some(placement) = inputs.placements.group(group) else { return Status::Free };
        let is_member = placement.members.iter().any(|member| *member.vm == **vm);
        if placement.releasing || !is_member {
            return Status::Draining;
        }
        if is_complete(inputs, group, placement) {
            return match endpoint.phase() {
                Phase::Draining => Status::Draining,
                _ => Status::Serving,
            };
        }
        let broken = placement.members.iter().any(|member| is_silent(inputs, &member.vm));
        let idle = endpoint.phase() == Phase::Ready;
        if broken && idle {
            return Status::FailedStranded;
        }
        Status::Loading
    }

    /// Adds the time since the last call for which groups could not serve and accelerators were
    /// stranded. If a member falls silent, the time counts from its last announcement, not from
    /// when the silence was detected.
    fn record_lost_time(&mut self, inputs: &Inputs<'_>, desired: &[(Name, Group)]) {
        let mut downtime_counted_until = BTreeMap::new();
        for (name, _) in desired {
            let placement = inputs.placements.group(name);
            let serving = placement
                .filter(|placement| !placement.releasing && is_complete(inputs, name, placement));
            let served_until = serving.and_then(|placement| oldest_announcement(inputs, placement));
            let since = self.downtime_counted_until.get(name).copied().unwrap_or(inputs.now);
            if served_until.is_none() {
                self.downtime_ms += inputs.now.since(since).as_millis() as u64;
            }
            downtime_counted_until.insert(name.clone(), served_until.unwrap_or(inputs.now));
        }
        self.downtime_counted_until = downtime_counted_until;
        let mut stranded_counted_until = BTreeMap::new();
        for (vm, status) in self.statuses(inputs) {
            let Some(endpoint) = inputs.endpoint_table.endpoint(&vm) else { continue };
            let useful = matches!(status, Status::Serving | Status::Free);
            let since = self.stranded_counted_until.get(&vm).copied().unwrap_or(inputs.now);
            if !useful {
                let elapsed = inputs.now.since(since).as_millis() as u64;
                self.stranded_ms += elapsed * u64::from(endpoint.announcement.accelerators);
            }
            stranded_counted_until.insert(vm, if useful { endpoint.as_of } else { inputs.now });
        }
        self.stranded_counted_until = stranded_counted_until;
    }

    /// Places a group that has no VMs on free ones of one fabric domain.
    fn form_group(
        &mut self,
        inputs: &Inputs<'_>,
        name: &Name,
        group: &Group,
        reserved: &mut BTreeSet<Name>,
        plan: &mut Plan,
    ) {
        if self.proposed_index.contains_key(name) {
            return;
        }
        let Some(members) = find_domain(inputs, group, reserved, None) else {
            self.shortfall += 1;
            return;
        };
        let members: Vec<Member> = members.iter().map(|vm| member_for(inputs, vm)).collect();
        reserved.extend(members.iter().map(|member| Name::from(member.vm.as_str())));
        plan.commands.push(place_command(name, 0, &group.model, members));
    }

    /// Releases a group that no longer matches the configuration or has a straggler, repairs one
    /// with missing members, and otherwise orders the members to join the logged generation.
    fn maintain_group(
        &mut self,
        inputs: &Inputs<'_>,
        name: &Name,
        group: &Group,
        placement: &Placement,
        reserved: &mut BTreeSet<Name>,
        plan: &mut Plan,
    ) {
        if self.proposed_index.contains_key(name) {
            return;
        }
        if is_complete(inputs, name, placement) {
            self.record_load_time(inputs, name, placement);
        }
        let straggler = self.straggler(inputs, group, placement, reserved);
        if let Some(vm) = &straggler {
            self.stragglers.insert(vm.clone(), inputs.now);
        }
        if straggler.is_some() || must_release(inputs, group, placement) {
            self.release(name, placement, plan);
            return;
        }
        let missing: SmallVec<[&Member; 8]> =
            placement.members.iter().filter(|member| is_silent(inputs, &member.vm)).collect();
        if missing.is_empty() {
            self.order_members(inputs, name, placement, plan);
            return;
        }
        self.repair(inputs, name, group, placement, &missing, reserved, plan);
    }

    /// The slowest member of a ready group if its step time is at least [`STRAGGLER_FACTOR`] times
    /// the median and a spare could replace it.
    fn straggler(
        &self,
        inputs: &Inputs<'_>,
        group: &Group,
        placement: &Placement,
        reserved: &BTreeSet<Name>,
    ) -> Option<Name> {
        let endpoints = placement
            .members
            .iter()
            .filter_map(|member| inputs.endpoint_table.endpoint(&member.vm));
        let mut steps: SmallVec<[(u32, &str); 8]> = endpoints
            .filter(|endpoint| endpoint.is_fresh(inputs.now) && endpoint.phase() == Phase::Ready)
            .map(|endpoint| (endpoint.announcement.step_ms, endpoint.announcement.vm.as_str()))
            .collect();
        if steps.len() < 2 || steps.len() < placement.members.len() {
            return None;
        }
        steps.sort_unstable();
        let (median, _) = steps[(steps.len() - 1) / 2];
        let (slowest, vm) = steps[steps.len() - 1];
        if median == 0 || slowest < median * STRAGGLER_FACTOR {
            return None;
        }
        let domain = domain_of(inputs, &placement.members);
        let spares = find_free(inputs, group, reserved, domain.as_deref());
        (!spares.is_empty()).then(|| vm.into())
    }

    /// Chooses the repair action for a group with missing members and adds its command to the plan.
    #[allow(clippy::too_many_arguments)]
    fn repair(
        &mut self,
        inputs: &Inputs<'_>,
        name: &Name,
        group: &Group,
        placement: &Placement,
        missing: &[&Member],
        reserved: &mut BTreeSet<Name>,
        plan: &mut Plan,
    ) {
        let domain = domain_of(inputs, &placement.members);
        let spares = find_free(inputs, group, reserved, domain.as_deref());
        let other_domain = find_domain(inputs, group, reserved, domain.as_deref());
        let situation = self.situation(inputs, placement, missing, &spares, other_domain.is_some());
        let policy = Policy { load_seconds: self.mean_load_seconds, ..self.policy.clone() };
        let action = repair::decide(&situation, &policy);
        if action == Action::Wait {
            return;
        }
        plan.repairs.push(ChosenRepair { group: name.clone(), action });
        if action != Action::Replace {
            self.release(name, placement, plan);
            return;
        }
        let mut spares = spares.into_iter();
        let mut members = placement.members.clone();
        for member in &mut members {
            if missing.iter().any(|lost| lost.vm == member.vm) {
                let Some(spare) = spares.next() else { return };
                reserved.insert(spare.clone());
                *member = member_for(inputs, &spare);
            }
        }
        plan.commands.push(place_command(name, placement.generation, &group.model, members));
    }

    /// Collects what the choice of a repair action depends on. A missing VM that the endpoint table
    /// no longer holds counts as lost permanently.
    fn situation(
        &self,
        inputs: &Inputs<'_>,
        placement: &Placement,
        missing: &[&Member],
        spares: &[Name],
        other_domain: bool,
    ) -> Situation {
        let silence = |member: &&&Member| {
            inputs
                .endpoint_table
                .endpoint(&member.vm)
                .map(|endpoint| inputs.now.since(endpoint.as_of))
        };
        let silences = missing.iter().map(|member| silence(&member).unwrap_or(Duration::MAX / 4));
        let present = placement.members.iter().filter(|member| !is_silent(inputs, &member.vm));
        let idle_endpoints =
            present.filter_map(|member| inputs.endpoint_table.endpoint(&member.vm));
        let unknown =
            missing.iter().any(|member| inputs.endpoint_table.endpoint(&member.vm).is_none());
        Situation {
            silence: silences.max().unwrap_or_default(),
            missing: missing.len() as u32,
            idle_accelerators: idle_endpoints
                .map(|endpoint| endpoint.announcement.accelerators)
                .sum(),
            lost_permanently: unknown,
            enough_spares: spares.len() >= missing.len(),
            other_domain,
            load_delay: 0.0,
        }
    }

    /// Orders each member to join the logged generation until it announces that generation.
    fn order_members(
        &mut self,
        inputs: &Inputs<'_>,
        name: &Name,
        placement: &Placement,
        plan: &mut Plan,
    ) {
        let members: Vec<String> =
            placement.members.iter().map(|member| member.vm.clone()).collect();
        for (rank, member) in placement.members.iter().enumerate() {
            let Some(endpoint) = inputs.endpoint_table.endpoint(&member.vm) else { continue };
            let announcement = &endpoint.announcement;
            let is_current =
                announcement.group == **name && announcement.generation == placement.generation;
            if is_current || !self.can_order(inputs, &member.vm) {
                continue;
            }
            let must_load = *announcement.model != *placement.model;
            let rate = f64::from(self.policy.loads_per_minute) / 60.0;
            if must_load && self.load_limit.take(rate, inputs.now).is_err() {
                continue;
            }
            if must_load {
                self.load_started.entry(name.clone()).or_insert(inputs.now);
            }
            let order = Order {
                fencing: inputs.term,
                vm: member.vm.clone(),
                group: name.to_string(),
                generation: placement.generation,
                rank: rank as u32,
                members: members.clone(),
                model: placement.model.to_string(),
            };
            self.push_order(inputs, &member.vm, order, plan);
        }
    }

    /// Updates the mean load time with the time that a complete group took to load.
    fn record_load_time(&mut self, inputs: &Inputs<'_>, name: &Name, placement: &Placement) {
        let Some(began) = self.load_started.remove(name) else { return };
        if placement.members.is_empty() {
            return;
        }
        let took = inputs.now.since(began).as_secs_f64();
        self.mean_load_seconds += LOAD_TIME_WEIGHT * (took - self.mean_load_seconds);
    }

    /// Proposes the release of a group's VMs.
    fn release(&mut self, name: &Name, placement: &Placement, plan: &mut Plan) {
        if self.proposed_index.contains_key(name) {
            return;
        }
        self.load_started.remove(name);
        let group = name.to_string();
        let generation = placement.generation;
        plan.commands.push(Body::Release(Release { group, generation, confirmed: false }));
    }

    /// Orders the VMs of a released group to leave: first rank 0, which receives the requests, and
    /// the others once it has left. Proposes to confirm the release when all have left.
    fn finish_release(
        &mut self,
        inputs: &Inputs<'_>,
        name: &Name,
        placement: &Placement,
        plan: &mut Plan,
    ) {
        let remaining: SmallVec<[&Member; 8]> =
            placement.members.iter().filter(|member| !has_left(inputs, name, &member.vm)).collect();
        let Some(first) = remaining.first() else {
            if !self.proposed_index.contains_key(name) && placement.leaving.is_empty() {
                let group = name.to_string();
                let generation = placement.generation;
                plan.commands.push(Body::Release(Release { group, generation, confirmed: true }));
            }
            return;
        };
        let first_is_rank_zero =
            placement.members.first().is_some_and(|member| member.vm == first.vm);
        let targets = if first_is_rank_zero { &remaining[..1] } else { &remaining[..] };
        for member in targets {
            self.order_to_leave(inputs, &member.vm, placement.generation, plan);
        }
    }

    /// Orders the replaced members of earlier generations to leave, and proposes to confirm that
    /// when all have left.
    fn order_replaced_to_leave(
        &mut self,
        inputs: &Inputs<'_>,
        name: &Name,
        placement: &Placement,
        plan: &mut Plan,
    ) {
        if placement.leaving.is_empty() || self.proposed_index.contains_key(name) {
            return;
        }
        let remaining =
            placement.leaving.iter().filter(|member| !has_left(inputs, name, &member.vm));
        let remaining: SmallVec<[&Member; 8]> = remaining.collect();
        for member in &remaining {
            self.order_to_leave(inputs, &member.vm, placement.generation, plan);
        }
        let members_left = !placement.releasing
            || placement.members.iter().all(|member| has_left(inputs, name, &member.vm));
        if remaining.is_empty() && members_left {
            let group = name.to_string();
            let generation = placement.generation;
            plan.commands.push(Body::Release(Release { group, generation, confirmed: true }));
        }
    }

    /// Orders VMs to leave that announce a group although no logged placement includes them. The
    /// orders carry the last applied index as generation, which no logged generation exceeds.
    fn order_strays_to_leave(&mut self, inputs: &Inputs<'_>, plan: &mut Plan) {
        let strays: Vec<Name> = inputs
            .endpoint_table
            .endpoints()
            .filter(|(vm, endpoint)| {
                let announcement = &endpoint.announcement;
                let held = inputs.placements.holder(vm).is_some();
                endpoint.is_fresh(inputs.now)
                    && !announcement.plain
                    && !announcement.group.is_empty()
                    && !held
            })
            .map(|(vm, _)| vm.clone())
            .collect();
        for vm in strays {
            self.order_to_leave(inputs, &vm, inputs.applied, plan);
        }
    }

    /// Orders a VM to leave its group, unless it was ordered recently.
    fn order_to_leave(&mut self, inputs: &Inputs<'_>, vm: &str, generation: u64, plan: &mut Plan) {
        if !self.can_order(inputs, vm) {
            return;
        }
        let order =
            Order { fencing: inputs.term, vm: vm.to_owned(), generation, ..Order::default() };
        self.push_order(inputs, vm, order, plan);
    }

    /// Whether a VM announces itself and has received no order within [`ORDER_RETRY`].
    fn can_order(&self, inputs: &Inputs<'_>, vm: &str) -> bool {
        let fresh = inputs.endpoint_table.endpoint(vm).is_some_and(|e| e.is_fresh(inputs.now));
        let last = self.last_ordered.get(vm);
        fresh && last.is_none_or(|last| inputs.now.since(*last) >= ORDER_RETRY)
    }

    /// Adds an order to the plan and records its time.
    fn push_order(&mut self, inputs: &Inputs<'_>, vm: &str, order: Order, plan: &mut Plan) {
        let Some(endpoint) = inputs.endpoint_table.endpoint(vm) else { return };
        self.last_ordered.insert(vm.into(), inputs.now);
        let address = endpoint.announcement.address.as_str().into();
        plan.orders.push(AddressedOrder { address, order });
    }
}

/// Command that places a group on `members` if its generation is `expected`.
fn place_command(name: &Name, expected: u64, model: &Name, members: Vec<Member>) -> Body {
    let group = name.to_string();
    Body::Place(Place { group, expected, model: model.to_string(), members })
}

/// Member for the endpoint that currently runs on a VM.
fn member_for(inputs: &Inputs<'_>, vm: &Name) -> Member {
    let incarnation = inputs.endpoint_table.endpoint(vm).map_or(0, |e| e.announcement.incarnation);
    Member { vm: vm.to_string(), incarnation }
}

/// Whether a group must be released because its model or size has changed, or because a member is
/// about to stop, is drained or no longer matches the group's selector.
fn must_release(inputs: &Inputs<'_>, group: &Group, placement: &Placement) -> bool {
    let changed =
        placement.model != group.model || placement.members.len() != group.members as usize;
    let mut endpoints =
        placement.members.iter().filter_map(|member| inputs.endpoint_table.endpoint(&member.vm));
    changed
        || endpoints.any(|endpoint| {
            endpoint.announcement.leaving
                || inputs.view.is_drained(&endpoint.labels)
                || !group.selector.matches(&endpoint.labels)
        })
}

/// Whether a VM is unknown or its last announcement has expired.
fn is_silent(inputs: &Inputs<'_>, vm: &str) -> bool {
    !inputs.endpoint_table.endpoint(vm).is_some_and(|endpoint| endpoint.is_fresh(inputs.now))
}

/// Whether each member announces the logged generation and is ready or draining.
fn is_complete(inputs: &Inputs<'_>, name: &Name, placement: &Placement) -> bool {
    placement.members.iter().all(|member| {
        inputs.endpoint_table.endpoint(&member.vm).is_some_and(|endpoint| {
            let announcement = &endpoint.announcement;
            let serves = matches!(endpoint.phase(), Phase::Ready | Phase::Draining);
            let is_current =
                announcement.group == **name && announcement.generation == placement.generation;
            endpoint.is_fresh(inputs.now) && is_current && serves
        })
    })
}

/// Time of the oldest of the members' announcements.
fn oldest_announcement(inputs: &Inputs<'_>, placement: &Placement) -> Option<Instant> {
    let members = placement.members.iter();
    members.filter_map(|member| Some(inputs.endpoint_table.endpoint(&member.vm)?.as_of)).min()
}

/// Whether a VM has left a group, or its last announcement has expired on every daemon.
fn has_left(inputs: &Inputs<'_>, name: &Name, vm: &str) -> bool {
    let Some(endpoint) = inputs.endpoint_table.endpoint(vm) else { return true };
    if endpoint.is_fresh(inputs.now) {
        return endpoint.announcement.group != **name;
    }
    inputs.now.since(endpoint.as_of) > MEMBER_TTL + EXPIRY_MARGIN
}

/// Fabric domain of a group's members, none if no member is known.
fn domain_of(inputs: &Inputs<'_>, members: &[Member]) -> Option<Name> {
    let known = members.iter().find_map(|member| inputs.endpoint_table.endpoint(&member.vm))?;
    Some(known.announcement.fabric_domain.as_str().into())
}

/// Free VMs that a group may use, in one fabric domain or in all of them. VMs that have the group's
/// model loaded come first.
fn find_free(
    inputs: &Inputs<'_>,
    group: &Group,
    reserved: &BTreeSet<Name>,
    domain: Option<&str>,
) -> Vec<Name> {
    let usable = |vm: &Name, endpoint: &Endpoint| {
        let announcement = &endpoint.announcement;
        endpoint.is_fresh(inputs.now)
            && !announcement.plain
            && !announcement.leaving
            && announcement.group.is_empty()
            && endpoint.phase() == Phase::Free
            && domain.is_none_or(|domain| announcement.fabric_domain == domain)
            && group.selector.matches(&endpoint.labels)
            && !inputs.view.is_drained(&endpoint.labels)
            && !reserved.contains(vm)
            && inputs.placements.holder(vm).is_none()
    };
    let mut free: Vec<(&Name, &Endpoint)> =
        inputs.endpoint_table.endpoints().filter(|(vm, endpoint)| usable(vm, endpoint)).collect();
    free.sort_by_key(|(_, endpoint)| *endpoint.announcement.model != *group.model);
    free.into_iter().map(|(vm, _)| vm.clone()).collect()
}

/// Members for a whole group in the fabric domain in which most of them have the model loaded, and
/// among equal ones in the domain with the fewest free VMs. `except` is left out of the search.
fn find_domain(
    inputs: &Inputs<'_>,
    group: &Group,
    reserved: &BTreeSet<Name>,
    except: Option<&str>,
) -> Option<Vec<Name>> {
    let mut domains: BTreeMap<&str, Vec<&Name>> = BTreeMap::new();
    let free = find_free(inputs, group, reserved, None);
    for vm in &free {
        let Some(endpoint) = inputs.endpoint_table.endpoint(vm) else { continue };
        let domain = endpoint.announcement.fabric_domain.as_str();
        if except != Some(domain) {
            domains.entry(domain).or_default().push(vm);
        }
    }
    let size = group.members as usize;
    let loaded = |vms: &[&Name]| {
        let holds = |vm: &&&Name| {
            let endpoint = inputs.endpoint_table.endpoint(vm);
            endpoint.is_some_and(|endpoint| *endpoint.announcement.model == *group.model)
        };
        vms.iter().take(size).filter(holds).count()
    };
    let fitting = domains.into_iter().filter(|(_, vms)| vms.len() >= size);
    let best = fitting.min_by_key(|(_, vms)| (size - loaded(vms), vms.len()));
    best.map(|(_, vms)| vms.into_iter().take(size).cloned().collect())
}
