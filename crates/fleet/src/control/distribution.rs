//! What a control daemon tells entry daemons, and what they tell it.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use dotterelhoist_core::clock::Instant;

use crate::crash::Crashes;
use crate::endpoint::Stage;
use crate::message::{Body, Bytes, Loads, Report, Status, Target, View};
use crate::Name;

use super::machine::{Group, Member};
use super::{Effect, Reader, State};

/// Time between two statuses to an entry daemon.
const STATUS_INTERVAL: Duration = Duration::from_millis(300);
/// Time between two lists of loads to an entry daemon.
const LOADS_INTERVAL: Duration = Duration::from_millis(75);
/// Entry daemons up to which each control daemon sends them the document.
const MAX_DIRECT_ENTRY_DAEMONS: usize = 16;
/// Time after which an entry daemon is sent the document by a control daemon that it did not select.
const DOCUMENT_FALLBACK_DELAY: Duration = Duration::from_millis(1000);
/// Age beyond which the report of an entry daemon says nothing any more.
const REPORT_TTL: Duration = Duration::from_secs(2);
/// Time constant of the mean demand.
const DEMAND_TIME_CONSTANT: Duration = Duration::from_secs(4);
/// Time without a sign of life after which a head is left out of the view.
const HEAD_TTL: Duration = Duration::from_secs(6);
/// Time beyond a heartbeat's for which a group is served as the log knows it after a start.
const STARTUP_MARGIN: Duration = Duration::from_millis(600);
/// Time for which a suspicion holds.
const SUSPECT_TTL: Duration = Duration::from_secs(1);

/// An entry daemon that is connected.
#[derive(Debug, Default)]
struct Subscriber {
    report: Report,
    reported: Instant,
    version: u64,
    view: u64,
    status_due: Instant,
    loads_due: Instant,
}

/// Work that is asked of the models of each service.
pub type Demands = BTreeMap<(Name, Name), Work>;

/// Work that is asked of a model.
#[derive(Clone, Copy, Debug, Default)]
pub struct Work {
    /// Groups that it keeps busy.
    pub groups: f64,
    /// Requests a second.
    pub requests: f64,
}

impl Work {
    /// Seconds of a group's time that one request takes on average.
    pub fn seconds_per_request(&self) -> f64 {
        self.groups / self.requests.max(f64::MIN_POSITIVE)
    }
}

/// The side of a control daemon that faces the entry daemons.
#[derive(Debug, Default)]
pub struct Distributor {
    subscribers: BTreeMap<Name, Subscriber>,
    /// Changes with each change of the view.
    sequence: u64,
    targets: Vec<Target>,
    /// Position of each endpoint in `targets`.
    positions: HashMap<String, usize>,
    demand: Demands,
    decayed_at: Instant,
    progress: BTreeMap<Name, Instant>,
    suspects: BTreeMap<Name, Instant>,
    traffic: bool,
    crashes: Crashes,
    document: HeldDocument,
}

/// The document that this daemon holds.
#[derive(Clone, Copy, Debug, Default)]
struct HeldDocument {
    version: u64,
    since: Instant,
}

impl Distributor {
    /// An entry daemon has connected.
    pub(super) fn add_subscriber(&mut self, daemon: Name) {
        self.subscribers.insert(daemon, Subscriber::default());
    }

    /// An entry daemon is no longer connected.
    pub(super) fn remove_subscriber(&mut self, daemon: &Name) {
        self.subscribers.remove(daemon);
    }

    /// Takes in the report of an entry daemon.
    pub(super) fn record_report(&mut self, now: Instant, from: &Name, report: Report) {
        self.decay(now);
        let Some(subscriber) = self.subscribers.get_mut(from) else { return };
        for demand in &report.demand {
            let key = (demand.service.as_str().into(), demand.model.as_str().into());
            let work = self.demand.entry(key).or_default();
            work.groups += demand.seconds / DEMAND_TIME_CONSTANT.as_secs_f64();
            work.requests += f64::from(demand.requests) / DEMAND_TIME_CONSTANT.as_secs_f64();
        }
        for id in &report.progress {
            self.progress.insert(id.as_str().into(), now);
        }
        for id in &report.suspects {
            self.suspects.insert(id.as_str().into(), now);
        }
        for fingerprint in &report.crashed {
            self.crashes.add(*fingerprint, now);
        }
        self.traffic |= report.traffic;
        subscriber.version = subscriber.version.max(report.version);
        subscriber.reported = now;
        subscriber.report = report;
    }

    /// Work that is asked of each model.
    pub fn demand(&self) -> &Demands {
        &self.demand
    }

    /// Whether callers have sent requests.
    pub fn has_traffic(&self) -> bool {
        self.traffic
    }

    /// When entry daemons last saw heads make progress.
    pub fn progress(&self) -> &BTreeMap<Name, Instant> {
        &self.progress
    }

    /// Endpoints that entry daemons suspect, with the time of the suspicion.
    pub fn suspects(&self) -> &BTreeMap<Name, Instant> {
        &self.suspects
    }

    fn decay(&mut self, now: Instant) {
        let passed = now.since(self.decayed_at).as_secs_f64();
        if passed < 0.05 {
            return;
        }
        self.decayed_at = now;
        let factor = (-passed / DEMAND_TIME_CONSTANT.as_secs_f64()).exp();
        for work in self.demand.values_mut() {
            work.groups *= factor;
            work.requests *= factor;
        }
        self.crashes.forget(now);
        self.progress.retain(|_, at| now.since(*at) < REPORT_TTL * 4);
        self.suspects.retain(|_, at| now.since(*at) < SUSPECT_TTL);
    }
}

impl<Decoder> State<Decoder>
where
    Decoder: Reader,
{
    /// Sends the document to each entry daemon that has an older one. In a large deployment, those that
    /// selected another control daemon get it only if they still lack it after a while.
    pub(super) fn send_documents(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        let Some(put) = &self.machine.document else { return };
        if self.distributor.document.version != put.version {
            self.distributor.document = HeldDocument { version: put.version, since: now };
        }
        let small = self.distributor.subscribers.len() <= MAX_DIRECT_ENTRY_DAEMONS;
        let late = now.since(self.distributor.document.since) >= DOCUMENT_FALLBACK_DELAY;
        for (daemon, subscriber) in &mut self.distributor.subscribers {
            let due = small || late || subscriber.report.selected;
            if subscriber.version >= put.version || !due {
                continue;
            }
            subscriber.version = put.version;
            let bytes = Bytes { version: put.version, body: put.body.clone() };
            effects.push(Effect::Send(daemon.clone(), Body::Document(bytes)));
        }
    }

    /// Sends entry daemons what is due.
    pub(super) fn send_updates(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        self.distributor.decay(now);
        self.send_documents(now, effects);
        self.refresh_view(now);
        let status = self.status(now);
        let names: Vec<Name> = self.distributor.subscribers.keys().cloned().collect();
        let mut totals = None;
        for name in names {
            self.send_update(now, &name, &status, &mut totals, effects);
        }
    }

    fn send_update(
        &mut self,
        now: Instant,
        name: &Name,
        status: &Status,
        totals: &mut Option<Loads>,
        effects: &mut Vec<Effect>,
    ) {
        let sequence = self.distributor.sequence;
        let Some(subscriber) = self.distributor.subscribers.get_mut(name) else { return };
        if now >= subscriber.status_due {
            subscriber.status_due = now + STATUS_INTERVAL;
            effects.push(Effect::Send(name.clone(), Body::Status(status.clone())));
        }
        if !subscriber.report.selected {
            return;
        }
        if subscriber.view != sequence {
            subscriber.view = sequence;
            let view = View { sequence, targets: self.distributor.targets.clone() };
            effects.push(Effect::Send(name.clone(), Body::View(view)));
        }
        if now >= subscriber.loads_due {
            subscriber.loads_due = now + LOADS_INTERVAL;
            let totals = totals.get_or_insert_with(|| self.total_loads(now));
            let loads = self.loads_for(now, name, totals);
            effects.push(Effect::Send(name.clone(), Body::Loads(loads)));
        }
    }

    fn status(&self, now: Instant) -> Status {
        let own = std::iter::once(&self.setup.daemon);
        Status {
            fresh: self.replica.fresh(now),
            version: self.machine.version(),
            controls: own.chain(&self.control_daemons).map(ToString::to_string).collect(),
            entries: self.distributor.subscribers.len() as u32,
            crashing: self.distributor.crashes.refused(),
        }
    }

    /// Requests of all entry daemons at each endpoint of the view, in its order.
    fn total_loads(&self, now: Instant) -> Loads {
        let count = self.distributor.targets.len();
        let mut totals = Loads {
            sequence: self.distributor.sequence,
            running: vec![0; count],
            own: vec![0; count],
            backlog: vec![0; count],
        };
        let fresh = |subscriber: &&Subscriber| now.since(subscriber.reported) <= REPORT_TTL;
        for subscriber in self.distributor.subscribers.values().filter(fresh) {
            for running in &subscriber.report.running {
                let Some(at) = self.distributor.positions.get(&running.id) else { continue };
                totals.running[*at] += running.count;
                totals.backlog[*at] += running.backlog;
            }
        }
        totals
    }

    /// The totals as one entry daemon needs them: with its own part told apart.
    fn loads_for(&self, now: Instant, reader: &Name, totals: &Loads) -> Loads {
        let mut loads = totals.clone();
        let Some(subscriber) = self.distributor.subscribers.get(reader) else { return loads };
        if now.since(subscriber.reported) > REPORT_TTL {
            return loads;
        }
        for running in &subscriber.report.running {
            let Some(at) = self.distributor.positions.get(&running.id) else { continue };
            loads.own[*at] = running.count;
            loads.backlog[*at] = loads.backlog[*at].saturating_sub(running.backlog);
        }
        loads
    }

    fn refresh_view(&mut self, now: Instant) {
        let targets = self.targets(now);
        if targets != self.distributor.targets {
            let ids = targets.iter().map(|target| target.id.clone());
            self.distributor.positions = ids.zip(0..).collect();
            self.distributor.targets = targets;
            self.distributor.sequence += 1;
        }
    }

    /// Endpoints that take requests: open heads of groups that are not being dissolved, and plain
    /// endpoints that are ready.
    fn targets(&self, now: Instant) -> Vec<Target> {
        let members: BTreeSet<&str> = self
            .machine
            .groups
            .values()
            .flat_map(|group| group.members.iter().map(|member| member.id.as_str()))
            .collect();
        let mut targets = Vec::new();
        for group in self.machine.groups.values().filter(|group| !group.doomed) {
            let Some(head) = group.head() else { continue };
            let Some(endpoint) = self.endpoints.find(&head.id) else {
                targets.extend(self.target_from_log(now, group, head));
                continue;
            };
            let progress = self.distributor.progress.get(&*head.id);
            let makes_progress = progress.is_some_and(|at| now.since(*at) < REPORT_TTL);
            let open = endpoint.heartbeat.stage_in(&group.name, group.epoch) == Some(Stage::Open);
            let since = self.reachability.reachable_since(&endpoint.heartbeat.zone);
            let alive = endpoint.is_alive_since(now, HEAD_TTL, since) || makes_progress;
            let alive = alive && !endpoint.heartbeat.draining;
            let reachable = !self.reachability.is_unreachable(&endpoint.heartbeat.zone, now);
            if open && alive && reachable && endpoint.heartbeat.born == head.born {
                targets.push(target(&endpoint.heartbeat, &group.model, &group.name));
            }
        }
        for (id, endpoint) in self.endpoints.iter() {
            let heartbeat = &endpoint.heartbeat;
            let service = self.document.services.get(&*heartbeat.service);
            let plain = service.is_some_and(|service| service.engine.is_none())
                && !self.reachability.is_unreachable(&heartbeat.zone, now);
            if plain && !members.contains(&**id) && endpoint.is_usable(now, HEAD_TTL) {
                targets.push(target(heartbeat, "", ""));
            }
        }
        targets
    }
}

impl<Decoder> State<Decoder> {
    /// Head of a group as the log knows it, for the time after a start in which it may not have sent
    /// its first heartbeat to any control daemon. A head that is no longer open refuses requests.
    fn target_from_log(&self, now: Instant, group: &Group, head: &Member) -> Option<Target> {
        let span = self.setup.times.heartbeat + STARTUP_MARGIN;
        if now.since(self.started) > span {
            return None;
        }
        let service = self.document.services.get(&*group.service)?;
        let engine = service.engine.as_ref()?;
        Some(Target {
            id: head.id.clone(),
            address: head.address.clone(),
            service: group.service.clone(),
            model: group.model.clone(),
            group: group.name.clone(),
            zone: String::new(),
            slots: engine.slots,
        })
    }
}

fn target(heartbeat: &crate::endpoint::Beat, model: &str, group: &str) -> Target {
    Target {
        id: heartbeat.id.clone(),
        address: heartbeat.address.clone(),
        service: heartbeat.service.clone(),
        model: model.to_owned(),
        group: group.to_owned(),
        zone: heartbeat.zone.clone(),
        slots: heartbeat.slots,
    }
}
