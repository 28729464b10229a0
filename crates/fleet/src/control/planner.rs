//! The leader's plan for serving groups.
//!
//! Each tick looks at all groups and endpoints afresh and gives the orders that are missing:
//!
//! * a new group is committed first, then each member is ordered to join, and once *all* members
//!   say that they are ready under the group's name and epoch, the head is ordered to open;
//! * a group that loses a member is marked as doomed by a committed change, which takes it out of
//!   every view; then its head is closed and leaves, and only then is the group removed, which
//!   frees its members. If the head is silent, the other members leave: the head then stands still
//!   and breaks by itself within the stall time, after which the members are free;
//! * free endpoints hold models that neighbours in their fabric domain may need ([`staging`]).

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
use super::machine::{Change, Group, GroupDissolution, Machine, Member};
use super::reachability::Reachability;
use super::Effect;

mod dissolving;
pub mod forming;
pub mod staging;

/// Time after which an order without an answer, or without effect, is given again.
const ORDER_AGAIN: Duration = Duration::from_millis(700);
/// Time after which a group that does not become ready is given up.
const FORM_TIMEOUT: Duration = Duration::from_secs(60);
/// Time for which a draining member's group may finish what runs.
const GRACEFUL_CLOSE: Duration = Duration::from_secs(8);
/// Time for which only the head of a doomed group is asked to let go, while it answers.
const HEAD_PATIENCE: Duration = Duration::from_secs(3);
/// Time for which a sign of progress of the head speaks for all members.
const PROGRESS_TTL: Duration = Duration::from_millis(1500);
/// Time between two probes of one endpoint.
const PROBE_AGAIN: Duration = Duration::from_millis(600);

/// Times that depend on the deployment.
#[derive(Clone, Copy, Debug)]
pub struct Times {
    /// Time between two heartbeats of an endpoint.
    pub heartbeat: Duration,
    /// Time after which a head that lost a member is broken.
    pub stall: Duration,
}

impl Times {
    /// Silence after which an endpoint is probed.
    fn quiet(&self) -> Duration {
        self.heartbeat * 2
    }

    /// Silence after which an endpoint that can't be probed counts as lost.
    fn lost(&self) -> Duration {
        self.heartbeat * 2 + Duration::from_millis(2000)
    }
}

/// What the planner looks at in one tick.
#[derive(Debug)]
pub struct Field<'a> {
    /// Moment of the tick.
    pub now: Instant,
    /// Term of the leader, the fencing number of its orders.
    pub term: u64,
    /// Document in force.
    pub document: &'a Document,
    /// Replicated state.
    pub machine: &'a Machine,
    /// Endpoints.
    pub endpoints: &'a mut Table,
    /// Work that is asked of each model.
    pub demand: &'a Demands,
    /// Whether callers have sent requests.
    pub traffic: bool,
    /// Availability zones that can be reached.
    pub reachability: &'a Reachability,
    /// When heads last made progress.
    pub progress: &'a BTreeMap<Name, Instant>,
    /// Endpoints that entry daemons suspect.
    pub suspects: &'a BTreeMap<Name, Instant>,
}

/// What an order was for.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Purpose {
    Join,
    Open,
    Close,
    Leave,
    Stage,
}

/// An order on its way.
#[derive(Clone, Debug)]
struct Pending {
    group: Name,
    endpoint: Name,
    purpose: Purpose,
}

/// What the leader remembers of a group.
#[derive(Debug)]
struct Tended {
    since: Instant,
    /// When orders were last given, by endpoint and purpose.
    given: BTreeMap<(Name, Purpose), Instant>,
    /// Members that have left, with the time of their word.
    left: BTreeMap<Name, Instant>,
    /// Whether the head was seen to take requests.
    opened: bool,
    /// Whether the head no longer takes requests.
    closed: bool,
    /// Whether a member can't become part of this group any more.
    failed: bool,
    /// When the group was first seen as doomed.
    dissolving: Option<Instant>,
    /// Whether a change of the log is on its way.
    proposed: Option<Instant>,
}

/// The leader's plan.
#[derive(Debug)]
pub struct Planner {
    times: Times,
    next: u64,
    began: Instant,
    pending: BTreeMap<u64, Pending>,
    tended: BTreeMap<Name, Tended>,
    probing: BTreeMap<Name, Instant>,
    /// Endpoints of groups that are proposed but not yet applied.
    proposed: BTreeMap<Name, Instant>,
    loads: staging::Ceiling,
    /// Orders to hold a model that were given lately, by endpoint.
    staged: BTreeMap<Name, staging::Given>,
    /// Fabric domains in which groups were dissolved for a model.
    kept: forming::Kept,
    /// When a group was last dissolved for another.
    converted: Option<Instant>,
    /// Number of endpoints, and since when it has been the same.
    counted: Option<(usize, Instant)>,
}

impl Planner {
    /// Creates a plan without memory.
    pub fn new(times: Times) -> Planner {
        Planner {
            times,
            next: 1,
            began: Instant::default(),
            pending: BTreeMap::new(),
            tended: BTreeMap::new(),
            probing: BTreeMap::new(),
            proposed: BTreeMap::new(),
            loads: staging::Ceiling::default(),
            staged: BTreeMap::new(),
            kept: BTreeMap::new(),
            converted: None,
            counted: None,
        }
    }

    /// Forgets what an earlier lead knew.
    pub fn reset(&mut self, now: Instant) {
        let next = self.next;
        *self = Planner::new(self.times);
        self.next = next;
        self.began = now;
        self.loads.begin(now);
    }

    /// Plans one tick.
    pub fn plan(
        &mut self,
        field: &mut Field<'_>,
        changes: &mut Vec<Change>,
        effects: &mut Vec<Effect>,
    ) {
        let settling = field.now.since(self.began) < self.times.lost();
        self.probe(field, effects);
        let names: BTreeSet<Name> =
            field.machine.groups.keys().map(|name| name.as_str().into()).collect();
        self.tended.retain(|name, _| names.contains(name));
        for group in field.machine.groups.values() {
            if group.dissolving {
                self.dissolve(field, group, changes, effects);
            } else {
                self.tend(field, group, settling, changes, effects);
            }
        }
        self.form(field, changes, effects);
        self.stage(field, effects);
    }

    /// Takes in the end of an order.
    pub fn record_outcome(
        &mut self,
        now: Instant,
        ticket: u64,
        outcome: Outcome,
        endpoints: &mut Table,
        effects: &mut Vec<Effect>,
    ) {
        let Some(pending) = self.pending.remove(&ticket) else { return };
        let id = &pending.endpoint;
        let detail = format!("{:?} group={} outcome={outcome}", pending.purpose, pending.group);
        effects.push(Effect::Log(journal::Event::new(231, "order ended", &**id, detail)));
        if outcome == Outcome::Refused {
            if let Some(endpoint) = endpoints.find_mut(id) {
                endpoint.unreachable_at.get_or_insert(now);
            }
        }
        let Some(tended) = self.tended.get_mut(&pending.group) else { return };
        match (pending.purpose, outcome) {
            (Purpose::Join, Outcome::Outdated | Outcome::Misdirected) => tended.failed = true,
            (Purpose::Close, Outcome::Done | Outcome::Unfit | Outcome::Misdirected) => {
                tended.closed = true;
            }
            (Purpose::Leave, Outcome::Unanswered | Outcome::Refused | Outcome::Outdated) => {}
            (Purpose::Leave, _) => {
                tended.left.insert(pending.endpoint, now);
            }
            _ => {}
        }
    }

    /// Probes endpoints that are silent or suspected.
    fn probe(&mut self, field: &mut Field<'_>, effects: &mut Vec<Effect>) {
        let now = field.now;
        self.probing.retain(|_, at| now.since(*at) < PROBE_AGAIN);
        for group in field.machine.groups.values() {
            let Some(head) = group.head() else { continue };
            let head: Name = head.id.as_str().into();
            let suspect = field.suspects.contains_key(&head);
            let moves = moves(field, &head);
            for member in &group.members {
                let id: Name = member.id.as_str().into();
                let Some(endpoint) = field.endpoints.find(&id) else { continue };
                let zone = &endpoint.heartbeat.zone;
                let since = field.reachability.reachable_since(zone);
                let quiet = now.since(endpoint.last_seen.max(since)) > self.times.quiet();
                let wanted = (quiet || suspect) && !moves && !endpoint.heartbeat.gone;
                let judged = endpoint.unreachable_at.is_some_and(|at| at >= since);
                let hidden = judged || field.reachability.may_be_unreachable(zone, now);
                if wanted && !hidden && !self.probing.contains_key(&id) {
                    self.probing.insert(id.clone(), now);
                    let address = endpoint.heartbeat.address.as_str().into();
                    effects.push(Effect::Probe { id, address });
                }
            }
        }
    }

    /// Brings a group to service, and dooms it once it has lost a member.
    fn tend(
        &mut self,
        field: &mut Field<'_>,
        group: &Group,
        settling: bool,
        changes: &mut Vec<Change>,
        effects: &mut Vec<Effect>,
    ) {
        let now = field.now;
        let name: Name = group.name.as_str().into();
        self.tended.entry(name.clone()).or_insert_with(|| Tended::new(now));
        if let Some(reason) = self.loss(field, group, settling) {
            self.doom(now, group, reason, changes, effects);
            return;
        }
        let stages: Vec<Option<Stage>> = group
            .members
            .iter()
            .map(|member| {
                let endpoint = field.endpoints.find(&member.id)?;
                endpoint.heartbeat.stage_in(&group.name, group.epoch)
            })
            .collect();
        for (member, stage) in group.members.iter().zip(&stages) {
            let served = matches!(stage, Some(Stage::Ready | Stage::Open));
            if let Some(endpoint) = field.endpoints.find_mut(&member.id).filter(|_| served) {
                endpoint.last_served = Some(group.model.as_str().into());
            }
        }
        if stages.first().is_some_and(|stage| matches!(stage, Some(Stage::Open))) {
            if let Some(tended) = self.tended.get_mut(&name) {
                tended.opened = true;
            }
            return;
        }
        let ready = stages.iter().all(|stage| matches!(stage, Some(Stage::Ready)));
        if ready {
            if let Some(head) = group.head() {
                let task = Task::Open { group: name.clone(), epoch: group.epoch };
                self.order(field, &name, head, Purpose::Open, task, effects);
            }
            return;
        }
        for (member, stage) in group.members.iter().zip(&stages) {
            if stage.is_some() {
                continue;
            }
            if !self.may_load(field, group, member) {
                continue;
            }
            let task = Task::Join {
                group: name.clone(),
                epoch: group.epoch,
                model: group.model.as_str().into(),
                members: group.member_ids(),
            };
            self.order(field, &name, member, Purpose::Join, task, effects);
        }
    }

    /// Why a group can no longer serve; none while it can.
    fn loss(&self, field: &Field<'_>, group: &Group, settling: bool) -> Option<Loss> {
        let now = field.now;
        let head: Name = group.head()?.id.as_str().into();
        let moves = moves(field, &head);
        let tended = self.tended.get(&*group.name);
        if tended.is_some_and(|tended| tended.failed) {
            return Some(Loss::Failed);
        }
        for member in &group.members {
            let Some(endpoint) = field.endpoints.find(&member.id) else {
                if settling {
                    continue;
                }
                return Some(Loss::Silent);
            };
            if endpoint.heartbeat.born != member.started_unix_ms {
                return Some(Loss::Reborn);
            }
            if endpoint.confirmed_dead {
                return Some(Loss::Gone);
            }
            if endpoint.heartbeat.draining || endpoint.heartbeat.gone {
                return Some(Loss::Draining);
            }
            let unsure = endpoint.unreachable_at.is_some_and(|at| {
                !field.reachability.had_contact_after(&endpoint.heartbeat.zone, at)
            });
            if unsure || field.reachability.may_be_unreachable(&endpoint.heartbeat.zone, now) {
                continue;
            }
            let since = field.reachability.reachable_since(&endpoint.heartbeat.zone);
            let alive = endpoint.is_alive_since(now, self.times.lost(), since);
            if !alive && !moves {
                return Some(Loss::Silent);
            }
        }
        let broken = field.endpoints.find(&head).and_then(|endpoint| {
            let stage = endpoint.heartbeat.stage_in(&group.name, group.epoch)?;
            (stage == Stage::Broken).then_some(Loss::Broken)
        });
        let age = tended.map_or(Duration::ZERO, |tended| now.since(tended.since));
        let open = field.endpoints.find(&head).is_some_and(|endpoint| {
            endpoint.heartbeat.stage_in(&group.name, group.epoch) == Some(Stage::Open)
        });
        if !open && age > FORM_TIMEOUT {
            return Some(Loss::Failed);
        }
        broken
    }

    fn doom(
        &mut self,
        now: Instant,
        group: &Group,
        reason: Loss,
        changes: &mut Vec<Change>,
        effects: &mut Vec<Effect>,
    ) {
        let Some(tended) = self.tended.get_mut(&*group.name) else { return };
        if tended.proposed.is_some_and(|at| now.since(at) < ORDER_AGAIN) {
            return;
        }
        tended.proposed = Some(now);
        let graceful = reason == Loss::Draining;
        changes
            .push(Change::DissolveGroup(GroupDissolution { group: group.name.clone(), graceful }));
        let detail = format!("epoch={} model={} reason={reason}", group.epoch, group.model);
        effects.push(Effect::Log(journal::Event::new(241, "group lost", &*group.name, detail)));
    }

    /// Gives an order unless it was given a short while ago.
    fn order(
        &mut self,
        field: &Field<'_>,
        group: &Name,
        member: &Member,
        purpose: Purpose,
        task: Task,
        effects: &mut Vec<Effect>,
    ) {
        let id: Name = member.id.as_str().into();
        let Some(endpoint) = field.endpoints.find(&id) else { return };
        if endpoint.confirmed_dead || endpoint.heartbeat.born != member.started_unix_ms {
            return;
        }
        let key = (id.clone(), purpose.clone());
        let Some(tended) = self.tended.get_mut(group) else { return };
        if tended.given.get(&key).is_some_and(|at| field.now.since(*at) < ORDER_AGAIN) {
            return;
        }
        tended.given.insert(key, field.now);
        let address = endpoint.heartbeat.address.as_str().into();
        let pending = Pending { group: group.clone(), endpoint: id, purpose };
        self.send(field.term, pending, address, task, effects);
    }

    fn send(
        &mut self,
        fencing: u64,
        pending: Pending,
        address: Name,
        task: Task,
        effects: &mut Vec<Effect>,
    ) {
        let ticket = self.next;
        self.next += 1;
        let endpoint = pending.endpoint.clone();
        self.pending.insert(ticket, pending);
        effects.push(Effect::Order(Order { ticket, endpoint, address, fencing, task }));
    }

    /// Whether a member may be ordered to join now: it has the model on its VM, or another load
    /// may begin.
    fn may_load(&mut self, field: &Field<'_>, group: &Group, member: &Member) -> bool {
        let Some(endpoint) = field.endpoints.find(&member.id) else { return false };
        if endpoint.is_warm(&group.model) || !field.traffic {
            return true;
        }
        let key = (member.id.as_str().into(), Purpose::Join);
        let given = self.tended.get(&*group.name).and_then(|tended| tended.given.get(&key));
        if given.is_some() {
            return true;
        }
        let service = field.document.services.get(&*group.service);
        let rate = service.and_then(|service| service.engine.as_ref());
        self.loads.take(field.now, rate.map_or(1.0, |engine| engine.loads_per_s), 0.0)
    }
}

/// Why a group can no longer serve.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
enum Loss {
    /// A member does not answer.
    Silent,
    /// A member has started anew.
    Reborn,
    /// A member has ended.
    Gone,
    /// A member is about to stop.
    Draining,
    /// The head says that it is broken.
    Broken,
    /// A member could not join.
    Failed,
}

impl Tended {
    fn new(now: Instant) -> Tended {
        Tended {
            since: now,
            given: BTreeMap::new(),
            left: BTreeMap::new(),
            opened: false,
            closed: false,
            failed: false,
            dissolving: None,
            proposed: None,
        }
    }
}

/// Whether entry daemons have just seen a head make progress, which it can't without its members,
/// and none has suspected it since.
fn moves(field: &Field<'_>, head: &Name) -> bool {
    let Some(moved) = field.progress.get(head) else { return false };
    let suspected = field.suspects.get(head).is_some_and(|at| at > moved);
    field.now.since(*moved) < PROGRESS_TTL && !suspected
}
