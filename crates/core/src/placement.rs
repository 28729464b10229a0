//! The leader of a zone's placement log: forms serving groups, watches and repairs them.
//!
//! The manager holds no state that must survive. It compares what is wanted (configuration), what is
//! logged (placements) and what is announced (membership), and returns commands to log and orders
//! to give. Each of these is safe to repeat and to lose: an order is given again until the
//! announcement agrees with the log.
//!
//! A VM passes from one group to another in four steps: its release is logged; it is ordered out;
//! it announces that it is free, or its last announcement has expired everywhere; only then may it
//! be logged into another group.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use smallvec::SmallVec;

use crate::admit::TokenBucket;
use crate::clock::Instant;
use crate::control::command::{Body, Place, Release, Seat};
use crate::control::placements::{Placement, Placements};
use crate::membership::{Endpoint, Table};
use crate::message::{Order, Phase, Summary};
use crate::object::Group;
use crate::policy::{Policy, MEMBER_TTL, ORDER_RETRY};
use crate::repair::{self, Action, Situation};
use crate::view::View;
use crate::Name;

/// Added to the life of an announcement before its VM counts as out, for daemons that heard it late.
const EXPIRY_MARGIN: Duration = Duration::from_millis(1000);
/// Factor by which a member's step time must exceed the median to count as a straggler.
const STRAGGLER_FACTOR: u32 = 3;
/// Time for which a straggler is not put into a group again.
const AVOID_SLOW: Duration = Duration::from_secs(600);
/// Weight of the newest load in the mean load time.
const LOAD_WEIGHT: f64 = 0.3;

/// An order with the address that it goes to.
#[derive(Clone, Debug, PartialEq)]
pub struct AddressedOrder {
    /// IP address and port of the endpoint.
    pub address: Name,
    /// The order.
    pub order: Order,
}

/// What the manager wants done.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// Commands for the placement log.
    pub commands: Vec<Body>,
    /// Orders for endpoints.
    pub orders: Vec<AddressedOrder>,
    /// Repairs that were chosen, for the log.
    pub repairs: Vec<ChosenRepair>,
}

/// A repair that was chosen.
#[derive(Clone, Debug, PartialEq)]
pub struct ChosenRepair {
    /// Group instance.
    pub group: Name,
    /// What is done about it.
    pub action: Action,
}

/// All that the manager looks at.
#[derive(Clone, Copy, Debug)]
pub struct Inputs<'a> {
    /// Now.
    pub now: Instant,
    /// Term of the leader.
    pub term: u64,
    /// Index applied by the placement log.
    pub applied: u64,
    /// Configuration in force.
    pub view: &'a View,
    /// Logged placements.
    pub placements: &'a Placements,
    /// Endpoints.
    pub members: &'a Table,
}

/// Where a VM stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Status {
    /// Member of a group that serves.
    Serving,
    /// In no group.
    Free,
    /// Loads, or waits for its group to become whole.
    Loading,
    /// Finishes its work.
    Draining,
    /// Silent.
    FailedSilent,
    /// Held by a group that has lost another member.
    FailedStranded,
}

/// The manager of one zone.
#[derive(Debug)]
pub struct Manager {
    zone: Name,
    zones: Vec<Name>,
    policy: Policy,
    ordered: BTreeMap<Name, Instant>,
    loading: BTreeMap<Name, Instant>,
    proposed: BTreeMap<Name, u64>,
    slow: BTreeMap<Name, Instant>,
    loads: TokenBucket,
    load_seconds: f64,
    /// Moment up to which the downtime of each group is counted.
    down_since: BTreeMap<Name, Instant>,
    /// Moment up to which the stranding of each VM is counted.
    stranded_since: BTreeMap<Name, Instant>,
    downtime_ms: u64,
    stranded_ms: u64,
    shortfall: u32,
}

impl Manager {
    /// Creates the manager of `zone`, one of `zones`.
    pub fn new(zone: Name, zones: Vec<Name>, policy: Policy, now: Instant) -> Manager {
        Manager {
            zone,
            zones,
            ordered: BTreeMap::new(),
            loading: BTreeMap::new(),
            proposed: BTreeMap::new(),
            slow: BTreeMap::new(),
            loads: TokenBucket::full(f64::from(policy.loads_per_minute) / 60.0, now),
            load_seconds: policy.load_seconds,
            policy,
            down_since: BTreeMap::new(),
            stranded_since: BTreeMap::new(),
            downtime_ms: 0,
            stranded_ms: 0,
            shortfall: 0,
        }
    }

    /// Group instances that this zone should have.
    pub fn wanted(&self, view: &View) -> Vec<(Name, Group)> {
        let mut wanted = Vec::new();
        for (name, group) in &view.groups {
            let zones = self.zones.iter().filter(|zone| group.selector.permits("zone", zone));
            let zones: SmallVec<[&Name; 8]> = zones.collect();
            let Some(position) = zones.iter().position(|zone| **zone == self.zone) else {
                continue;
            };
            let count = zones.len() as u32;
            let extra = u32::from((position as u32) < group.replicas % count);
            for number in 0..group.replicas / count + extra {
                wanted.push((format!("{name}/{}/{number}", self.zone).into(), group.clone()));
            }
        }
        wanted
    }

    /// Looks at the scene and says what to do.
    pub fn plan(&mut self, scene: Inputs<'_>) -> Plan {
        let mut plan = Plan::default();
        let wanted = self.wanted(scene.view);
        self.account(&scene, &wanted);
        self.proposed.retain(|_, index| *index > scene.applied);
        self.slow.retain(|_, since| scene.now.since(*since) < AVOID_SLOW);
        let mut taken: BTreeSet<Name> = self.slow.keys().cloned().collect();
        self.shortfall = 0;
        for (name, group) in &wanted {
            match scene.placements.group(name) {
                None => self.form(&scene, name, group, &mut taken, &mut plan),
                Some(placement) if placement.releasing => {}
                Some(placement) => {
                    self.tend(&scene, name, group, placement, &mut taken, &mut plan);
                }
            }
        }
        let names: BTreeSet<&Name> = wanted.iter().map(|(name, _)| name).collect();
        for (name, placement) in scene.placements.groups() {
            if placement.releasing {
                self.finish_release(&scene, name, placement, &mut plan);
            } else if !names.contains(name) {
                self.release(name, placement, &mut plan);
            }
            self.dismiss_leaving(&scene, name, placement, &mut plan);
        }
        self.dismiss_strays(&scene, &mut plan);
        plan
    }

    /// Notes that a command for a group was appended at `index`.
    pub fn record_proposal(&mut self, group: &str, index: u64) {
        self.proposed.insert(group.into(), index);
    }

    /// Where each VM stands.
    pub fn statuses(&self, scene: &Inputs<'_>) -> BTreeMap<Name, Status> {
        let status = |vm: &Name, endpoint: &Endpoint| self.status(scene, vm, endpoint);
        let engines = scene.members.endpoints().filter(|(_, e)| !e.announcement.plain);
        engines.map(|(vm, endpoint)| (vm.clone(), status(vm, endpoint))).collect()
    }

    /// VMs by state, downtime and stranded accelerators.
    pub fn summary(&self, scene: &Inputs<'_>) -> Summary {
        let mut summary = Summary {
            zone: self.zone.to_string(),
            term: scene.term,
            group_downtime_ms: self.downtime_ms,
            stranded_ms: self.stranded_ms,
            shortfall: self.shortfall,
            ..Summary::default()
        };
        for status in self.statuses(scene).values() {
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

    fn status(&self, scene: &Inputs<'_>, vm: &Name, endpoint: &Endpoint) -> Status {
        if !endpoint.is_fresh(scene.now) {
            return Status::FailedSilent;
        }
        let Some(group) = scene.placements.holder(vm) else {
            return match endpoint.phase() {
                Phase::Free => Status::Free,
                _ => Status::Draining,
            };
        };
        let Some(placement) = scene.placements.group(group) else { return Status::Free };
        let member = placement.members.iter().any(|seat| *seat.vm == **vm);
        if placement.releasing || !member {
            return Status::Draining;
        }
        if is_whole(scene, group, placement) {
            return match endpoint.phase() {
                Phase::Draining => Status::Draining,
                _ => Status::Serving,
            };
        }
        let broken = placement.members.iter().any(|seat| is_silent(scene, &seat.vm));
        let idle = endpoint.phase() == Phase::Ready;
        if broken && idle {
            return Status::FailedStranded;
        }
        Status::Loading
    }

    /// Adds the time for which groups could not serve and accelerators were stranded. A silence
    /// counts from the last announcement, not from when it was noticed.
    fn account(&mut self, scene: &Inputs<'_>, wanted: &[(Name, Group)]) {
        let mut down_since = BTreeMap::new();
        for (name, _) in wanted {
            let placement = scene.placements.group(name);
            let serving = placement
                .filter(|placement| !placement.releasing && is_whole(scene, name, placement));
            let good_until = serving.and_then(|placement| oldest_word(scene, placement));
            let since = self.down_since.get(name).copied().unwrap_or(scene.now);
            if good_until.is_none() {
                self.downtime_ms += scene.now.since(since).as_millis() as u64;
            }
            down_since.insert(name.clone(), good_until.unwrap_or(scene.now));
        }
        self.down_since = down_since;
        let mut stranded_since = BTreeMap::new();
        for (vm, status) in self.statuses(scene) {
            let Some(endpoint) = scene.members.endpoint(&vm) else { continue };
            let useful = matches!(status, Status::Serving | Status::Free);
            let since = self.stranded_since.get(&vm).copied().unwrap_or(scene.now);
            if !useful {
                let passed = scene.now.since(since).as_millis() as u64;
                self.stranded_ms += passed * u64::from(endpoint.announcement.accelerators);
            }
            stranded_since.insert(vm, if useful { endpoint.as_of } else { scene.now });
        }
        self.stranded_since = stranded_since;
    }

    /// Puts a group that has no VMs onto free ones of one fabric domain.
    fn form(
        &mut self,
        scene: &Inputs<'_>,
        name: &Name,
        group: &Group,
        taken: &mut BTreeSet<Name>,
        plan: &mut Plan,
    ) {
        if self.proposed.contains_key(name) {
            return;
        }
        let Some(members) = find_domain(scene, group, taken, None) else {
            self.shortfall += 1;
            return;
        };
        let members: Vec<Seat> = members.iter().map(|vm| seat(scene, vm)).collect();
        taken.extend(members.iter().map(|seat| Name::from(seat.vm.as_str())));
        plan.commands.push(place(name, 0, &group.model, members));
    }

    /// Gives a group its orders and repairs it.
    fn tend(
        &mut self,
        scene: &Inputs<'_>,
        name: &Name,
        group: &Group,
        placement: &Placement,
        taken: &mut BTreeSet<Name>,
        plan: &mut Plan,
    ) {
        if self.proposed.contains_key(name) {
            return;
        }
        if is_whole(scene, name, placement) {
            self.note_loaded(scene, name, placement);
        }
        let straggler = self.straggler(scene, group, placement, taken);
        if let Some(vm) = &straggler {
            self.slow.insert(vm.clone(), scene.now);
        }
        if straggler.is_some() || is_unwanted(scene, group, placement) {
            self.release(name, placement, plan);
            return;
        }
        let missing: SmallVec<[&Seat; 8]> =
            placement.members.iter().filter(|seat| is_silent(scene, &seat.vm)).collect();
        if missing.is_empty() {
            self.order_members(scene, name, placement, plan);
            return;
        }
        self.repair(scene, name, group, placement, &missing, taken, plan);
    }

    /// A member of a whole group that is far slower than the others, if a spare could take its place.
    fn straggler(
        &self,
        scene: &Inputs<'_>,
        group: &Group,
        placement: &Placement,
        taken: &BTreeSet<Name>,
    ) -> Option<Name> {
        let endpoints = placement.members.iter().filter_map(|s| scene.members.endpoint(&s.vm));
        let mut steps: SmallVec<[(u32, &str); 8]> = endpoints
            .filter(|endpoint| endpoint.is_fresh(scene.now) && endpoint.phase() == Phase::Ready)
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
        let domain = domain_of(scene, &placement.members);
        let spares = find_free(scene, group, taken, domain.as_deref());
        (!spares.is_empty()).then(|| vm.into())
    }

    #[allow(clippy::too_many_arguments)]
    fn repair(
        &mut self,
        scene: &Inputs<'_>,
        name: &Name,
        group: &Group,
        placement: &Placement,
        missing: &[&Seat],
        taken: &mut BTreeSet<Name>,
        plan: &mut Plan,
    ) {
        let domain = domain_of(scene, &placement.members);
        let spares = find_free(scene, group, taken, domain.as_deref());
        let other_domain = find_domain(scene, group, taken, domain.as_deref());
        let situation = self.situation(scene, placement, missing, &spares, other_domain.is_some());
        let policy = Policy { load_seconds: self.load_seconds, ..self.policy.clone() };
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
            if missing.iter().any(|seat| seat.vm == member.vm) {
                let Some(spare) = spares.next() else { return };
                taken.insert(spare.clone());
                *member = seat(scene, &spare);
            }
        }
        plan.commands.push(place(name, placement.generation, &group.model, members));
    }

    fn situation(
        &self,
        scene: &Inputs<'_>,
        placement: &Placement,
        missing: &[&Seat],
        spares: &[Name],
        other_domain: bool,
    ) -> Situation {
        let silence = |seat: &&&Seat| {
            scene.members.endpoint(&seat.vm).map(|endpoint| scene.now.since(endpoint.as_of))
        };
        let silences = missing.iter().map(|seat| silence(&seat).unwrap_or(Duration::MAX / 4));
        let left = placement.members.iter().filter(|seat| !is_silent(scene, &seat.vm));
        let idle = left.filter_map(|seat| scene.members.endpoint(&seat.vm));
        let unknown = missing.iter().any(|seat| scene.members.endpoint(&seat.vm).is_none());
        Situation {
            silence: silences.max().unwrap_or_default(),
            missing: missing.len() as u32,
            idle_accelerators: idle.map(|endpoint| endpoint.announcement.accelerators).sum(),
            lost_permanently: unknown,
            enough_spares: spares.len() >= missing.len(),
            other_domain,
            load_delay: 0.0,
        }
    }

    /// Orders each member into the logged generation until it announces it.
    fn order_members(
        &mut self,
        scene: &Inputs<'_>,
        name: &Name,
        placement: &Placement,
        plan: &mut Plan,
    ) {
        let members: Vec<String> = placement.members.iter().map(|s| s.vm.clone()).collect();
        for (rank, seat) in placement.members.iter().enumerate() {
            let Some(endpoint) = scene.members.endpoint(&seat.vm) else { continue };
            let said = &endpoint.announcement;
            let agrees = said.group == **name && said.generation == placement.generation;
            if agrees || !self.may_order(scene, &seat.vm) {
                continue;
            }
            let loads = *said.model != *placement.model;
            let rate = f64::from(self.policy.loads_per_minute) / 60.0;
            if loads && self.loads.take(rate, scene.now).is_err() {
                continue;
            }
            if loads {
                self.loading.entry(name.clone()).or_insert(scene.now);
            }
            let order = Order {
                fencing: scene.term,
                vm: seat.vm.clone(),
                group: name.to_string(),
                generation: placement.generation,
                rank: rank as u32,
                members: members.clone(),
                model: placement.model.to_string(),
            };
            self.give(scene, &seat.vm, order, plan);
        }
    }

    fn note_loaded(&mut self, scene: &Inputs<'_>, name: &Name, placement: &Placement) {
        let Some(began) = self.loading.remove(name) else { return };
        if placement.members.is_empty() {
            return;
        }
        let took = scene.now.since(began).as_secs_f64();
        self.load_seconds += LOAD_WEIGHT * (took - self.load_seconds);
    }

    fn release(&mut self, name: &Name, placement: &Placement, plan: &mut Plan) {
        if self.proposed.contains_key(name) {
            return;
        }
        self.loading.remove(name);
        let group = name.to_string();
        let generation = placement.generation;
        plan.commands.push(Body::Release(Release { group, generation, confirmed: false }));
    }

    /// Orders the VMs of a released group out, the one that takes requests first, and logs the end
    /// once all are out.
    fn finish_release(
        &mut self,
        scene: &Inputs<'_>,
        name: &Name,
        placement: &Placement,
        plan: &mut Plan,
    ) {
        let inside: SmallVec<[&Seat; 8]> =
            placement.members.iter().filter(|s| !is_out(scene, name, &s.vm)).collect();
        let Some(first) = inside.first() else {
            if !self.proposed.contains_key(name) && placement.leaving.is_empty() {
                let group = name.to_string();
                let generation = placement.generation;
                plan.commands.push(Body::Release(Release { group, generation, confirmed: true }));
            }
            return;
        };
        let head = placement.members.first().is_some_and(|head| head.vm == first.vm);
        let targets = if head { &inside[..1] } else { &inside[..] };
        for seat in targets {
            self.dismiss(scene, &seat.vm, placement.generation, plan);
        }
    }

    /// Orders out the VMs that a group has lost, and logs that they are out.
    fn dismiss_leaving(
        &mut self,
        scene: &Inputs<'_>,
        name: &Name,
        placement: &Placement,
        plan: &mut Plan,
    ) {
        if placement.leaving.is_empty() || self.proposed.contains_key(name) {
            return;
        }
        let inside = placement.leaving.iter().filter(|s| !is_out(scene, name, &s.vm));
        let inside: SmallVec<[&Seat; 8]> = inside.collect();
        for seat in &inside {
            self.dismiss(scene, &seat.vm, placement.generation, plan);
        }
        let members_out =
            !placement.releasing || placement.members.iter().all(|s| is_out(scene, name, &s.vm));
        if inside.is_empty() && members_out {
            let group = name.to_string();
            let generation = placement.generation;
            plan.commands.push(Body::Release(Release { group, generation, confirmed: true }));
        }
    }

    /// Orders out VMs that announce a group which the log does not give them.
    fn dismiss_strays(&mut self, scene: &Inputs<'_>, plan: &mut Plan) {
        let strays: Vec<Name> = scene
            .members
            .endpoints()
            .filter(|(vm, endpoint)| {
                let said = &endpoint.announcement;
                let held = scene.placements.holder(vm).is_some();
                endpoint.is_fresh(scene.now) && !said.plain && !said.group.is_empty() && !held
            })
            .map(|(vm, _)| vm.clone())
            .collect();
        for vm in strays {
            self.dismiss(scene, &vm, scene.applied, plan);
        }
    }

    fn dismiss(&mut self, scene: &Inputs<'_>, vm: &str, generation: u64, plan: &mut Plan) {
        if !self.may_order(scene, vm) {
            return;
        }
        let order =
            Order { fencing: scene.term, vm: vm.to_owned(), generation, ..Order::default() };
        self.give(scene, vm, order, plan);
    }

    fn may_order(&self, scene: &Inputs<'_>, vm: &str) -> bool {
        let fresh = scene.members.endpoint(vm).is_some_and(|e| e.is_fresh(scene.now));
        let last = self.ordered.get(vm);
        fresh && last.is_none_or(|last| scene.now.since(*last) >= ORDER_RETRY)
    }

    fn give(&mut self, scene: &Inputs<'_>, vm: &str, order: Order, plan: &mut Plan) {
        let Some(endpoint) = scene.members.endpoint(vm) else { return };
        self.ordered.insert(vm.into(), scene.now);
        let address = endpoint.announcement.address.as_str().into();
        plan.orders.push(AddressedOrder { address, order });
    }
}

fn place(name: &Name, expected: u64, model: &Name, members: Vec<Seat>) -> Body {
    let group = name.to_string();
    Body::Place(Place { group, expected, model: model.to_string(), members })
}

fn seat(scene: &Inputs<'_>, vm: &Name) -> Seat {
    let incarnation = scene.members.endpoint(vm).map_or(0, |e| e.announcement.incarnation);
    Seat { vm: vm.to_string(), incarnation }
}

/// Whether a group must give way: its model or size has changed, or a member leaves, is drained or
/// no longer matches.
fn is_unwanted(scene: &Inputs<'_>, group: &Group, placement: &Placement) -> bool {
    let changed =
        placement.model != group.model || placement.members.len() != group.members as usize;
    let mut endpoints =
        placement.members.iter().filter_map(|seat| scene.members.endpoint(&seat.vm));
    changed
        || endpoints.any(|endpoint| {
            endpoint.announcement.leaving
                || scene.view.is_drained(&endpoint.labels)
                || !group.selector.matches(&endpoint.labels)
        })
}

fn is_silent(scene: &Inputs<'_>, vm: &str) -> bool {
    !scene.members.endpoint(vm).is_some_and(|endpoint| endpoint.is_fresh(scene.now))
}

/// Whether each member announces the logged generation as ready or draining.
fn is_whole(scene: &Inputs<'_>, name: &Name, placement: &Placement) -> bool {
    placement.members.iter().all(|seat| {
        scene.members.endpoint(&seat.vm).is_some_and(|endpoint| {
            let said = &endpoint.announcement;
            let serves = matches!(endpoint.phase(), Phase::Ready | Phase::Draining);
            let agrees = said.group == **name && said.generation == placement.generation;
            endpoint.is_fresh(scene.now) && agrees && serves
        })
    })
}

/// Oldest of the members' announcements.
fn oldest_word(scene: &Inputs<'_>, placement: &Placement) -> Option<Instant> {
    let seats = placement.members.iter();
    seats.filter_map(|seat| Some(scene.members.endpoint(&seat.vm)?.as_of)).min()
}

/// Whether a VM has left a group, or no daemon can still believe that it is in it.
fn is_out(scene: &Inputs<'_>, name: &Name, vm: &str) -> bool {
    let Some(endpoint) = scene.members.endpoint(vm) else { return true };
    if endpoint.is_fresh(scene.now) {
        return endpoint.announcement.group != **name;
    }
    scene.now.since(endpoint.as_of) > MEMBER_TTL + EXPIRY_MARGIN
}

fn domain_of(scene: &Inputs<'_>, members: &[Seat]) -> Option<Name> {
    let known = members.iter().find_map(|seat| scene.members.endpoint(&seat.vm))?;
    Some(known.announcement.fabric_domain.as_str().into())
}

/// Free VMs that a group may use, in a fabric domain or in all, those that hold its model first.
fn find_free(
    scene: &Inputs<'_>,
    group: &Group,
    taken: &BTreeSet<Name>,
    domain: Option<&str>,
) -> Vec<Name> {
    let usable = |vm: &Name, endpoint: &Endpoint| {
        let said = &endpoint.announcement;
        endpoint.is_fresh(scene.now)
            && !said.plain
            && !said.leaving
            && said.group.is_empty()
            && endpoint.phase() == Phase::Free
            && domain.is_none_or(|domain| said.fabric_domain == domain)
            && group.selector.matches(&endpoint.labels)
            && !scene.view.is_drained(&endpoint.labels)
            && !taken.contains(vm)
            && scene.placements.holder(vm).is_none()
    };
    let mut free: Vec<(&Name, &Endpoint)> =
        scene.members.endpoints().filter(|(vm, endpoint)| usable(vm, endpoint)).collect();
    free.sort_by_key(|(_, endpoint)| *endpoint.announcement.model != *group.model);
    free.into_iter().map(|(vm, _)| vm.clone()).collect()
}

/// Members for a whole group in the fabric domain that has most of the model loaded already, and of
/// these the one that the group fills best.
fn find_domain(
    scene: &Inputs<'_>,
    group: &Group,
    taken: &BTreeSet<Name>,
    except: Option<&str>,
) -> Option<Vec<Name>> {
    let mut domains: BTreeMap<&str, Vec<&Name>> = BTreeMap::new();
    let free = find_free(scene, group, taken, None);
    for vm in &free {
        let Some(endpoint) = scene.members.endpoint(vm) else { continue };
        let domain = endpoint.announcement.fabric_domain.as_str();
        if except != Some(domain) {
            domains.entry(domain).or_default().push(vm);
        }
    }
    let size = group.members as usize;
    let loaded = |vms: &[&Name]| {
        let holds = |vm: &&&Name| {
            let endpoint = scene.members.endpoint(vm);
            endpoint.is_some_and(|endpoint| *endpoint.announcement.model == *group.model)
        };
        vms.iter().take(size).filter(holds).count()
    };
    let fitting = domains.into_iter().filter(|(_, vms)| vms.len() >= size);
    let best = fitting.min_by_key(|(_, vms)| (size - loaded(vms), vms.len()));
    best.map(|(_, vms)| vms.into_iter().take(size).cloned().collect())
}
