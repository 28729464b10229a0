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
const DIRECT_ENTRIES: usize = 16;
/// Time after which an entry daemon is sent the document by a control daemon that it did not select.
const DOCUMENT_LAG: Duration = Duration::from_millis(1000);
/// Age beyond which the report of an entry daemon says nothing any more.
const REPORT_TTL: Duration = Duration::from_secs(2);
/// Time constant of the mean demand.
const DEMAND_SPAN: Duration = Duration::from_secs(4);
/// Time without a sign of life after which a head is left out of the view.
const VIEW_TTL: Duration = Duration::from_secs(6);
/// Time beyond a heartbeat's for which a group is served as the log knows it after a start.
const RECALL_MARGIN: Duration = Duration::from_millis(600);
/// Time for which a suspicion holds.
const SUSPECT_TTL: Duration = Duration::from_secs(1);

/// An entry daemon that is connected.
#[derive(Debug, Default)]
struct Listener {
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
    pub fn mean(&self) -> f64 {
        self.groups / self.requests.max(f64::MIN_POSITIVE)
    }
}

/// The side of a control daemon that faces the entry daemons.
#[derive(Debug, Default)]
pub struct Feed {
    listeners: BTreeMap<Name, Listener>,
    /// Changes with each change of the view.
    sequence: u64,
    targets: Vec<Target>,
    /// Position of each endpoint in `targets`.
    places: HashMap<String, usize>,
    demand: Demands,
    decayed: Instant,
    progress: BTreeMap<Name, Instant>,
    suspects: BTreeMap<Name, Instant>,
    traffic: bool,
    crashes: Crashes,
    document: Held,
}

/// The document that this daemon holds.
#[derive(Clone, Copy, Debug, Default)]
struct Held {
    version: u64,
    since: Instant,
}

impl Feed {
    /// An entry daemon has connected.
    pub(super) fn open(&mut self, daemon: Name) {
        self.listeners.insert(daemon, Listener::default());
    }

    /// An entry daemon is no longer connected.
    pub(super) fn close(&mut self, daemon: &Name) {
        self.listeners.remove(daemon);
    }

    /// Takes in the report of an entry daemon.
    pub(super) fn report(&mut self, now: Instant, from: &Name, report: Report) {
        self.decay(now);
        let Some(listener) = self.listeners.get_mut(from) else { return };
        for demand in &report.demand {
            let key = (demand.service.as_str().into(), demand.model.as_str().into());
            let work = self.demand.entry(key).or_default();
            work.groups += demand.seconds / DEMAND_SPAN.as_secs_f64();
            work.requests += f64::from(demand.requests) / DEMAND_SPAN.as_secs_f64();
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
        listener.version = listener.version.max(report.version);
        listener.reported = now;
        listener.report = report;
    }

    /// Work that is asked of each model.
    pub fn demand(&self) -> &Demands {
        &self.demand
    }

    /// Whether callers have sent requests.
    pub fn traffic(&self) -> bool {
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
        let passed = now.since(self.decayed).as_secs_f64();
        if passed < 0.05 {
            return;
        }
        self.decayed = now;
        let factor = (-passed / DEMAND_SPAN.as_secs_f64()).exp();
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
    pub(super) fn feed_documents(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        let Some(put) = &self.machine.document else { return };
        if self.feed.document.version != put.version {
            self.feed.document = Held { version: put.version, since: now };
        }
        let small = self.feed.listeners.len() <= DIRECT_ENTRIES;
        let late = now.since(self.feed.document.since) >= DOCUMENT_LAG;
        for (daemon, listener) in &mut self.feed.listeners {
            let due = small || late || listener.report.selected;
            if listener.version >= put.version || !due {
                continue;
            }
            listener.version = put.version;
            let bytes = Bytes { version: put.version, body: put.body.clone() };
            effects.push(Effect::Send(daemon.clone(), Body::Document(bytes)));
        }
    }

    /// Sends entry daemons what is due.
    pub(super) fn feed_entries(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        self.feed.decay(now);
        self.feed_documents(now, effects);
        self.refresh_view(now);
        let status = self.status(now);
        let names: Vec<Name> = self.feed.listeners.keys().cloned().collect();
        let mut totals = None;
        for name in names {
            self.feed_one(now, &name, &status, &mut totals, effects);
        }
    }

    fn feed_one(
        &mut self,
        now: Instant,
        name: &Name,
        status: &Status,
        totals: &mut Option<Loads>,
        effects: &mut Vec<Effect>,
    ) {
        let sequence = self.feed.sequence;
        let Some(listener) = self.feed.listeners.get_mut(name) else { return };
        if now >= listener.status_due {
            listener.status_due = now + STATUS_INTERVAL;
            effects.push(Effect::Send(name.clone(), Body::Status(status.clone())));
        }
        if !listener.report.selected {
            return;
        }
        if listener.view != sequence {
            listener.view = sequence;
            let view = View { sequence, targets: self.feed.targets.clone() };
            effects.push(Effect::Send(name.clone(), Body::View(view)));
        }
        if now >= listener.loads_due {
            listener.loads_due = now + LOADS_INTERVAL;
            let totals = totals.get_or_insert_with(|| self.totals(now));
            let loads = self.loads(now, name, totals);
            effects.push(Effect::Send(name.clone(), Body::Loads(loads)));
        }
    }

    fn status(&self, now: Instant) -> Status {
        let own = std::iter::once(&self.setup.daemon);
        Status {
            fresh: self.replica.fresh(now),
            version: self.machine.version(),
            controls: own.chain(&self.controls).map(ToString::to_string).collect(),
            entries: self.feed.listeners.len() as u32,
            crashing: self.feed.crashes.refused(),
        }
    }

    /// Requests of all entry daemons at each endpoint of the view, in its order.
    fn totals(&self, now: Instant) -> Loads {
        let count = self.feed.targets.len();
        let mut totals = Loads {
            sequence: self.feed.sequence,
            running: vec![0; count],
            own: vec![0; count],
            backlog: vec![0; count],
        };
        let fresh = |listener: &&Listener| now.since(listener.reported) <= REPORT_TTL;
        for listener in self.feed.listeners.values().filter(fresh) {
            for running in &listener.report.running {
                let Some(at) = self.feed.places.get(&running.id) else { continue };
                totals.running[*at] += running.count;
                totals.backlog[*at] += running.backlog;
            }
        }
        totals
    }

    /// The totals as one entry daemon needs them: with its own part told apart.
    fn loads(&self, now: Instant, reader: &Name, totals: &Loads) -> Loads {
        let mut loads = totals.clone();
        let Some(listener) = self.feed.listeners.get(reader) else { return loads };
        if now.since(listener.reported) > REPORT_TTL {
            return loads;
        }
        for running in &listener.report.running {
            let Some(at) = self.feed.places.get(&running.id) else { continue };
            loads.own[*at] = running.count;
            loads.backlog[*at] = loads.backlog[*at].saturating_sub(running.backlog);
        }
        loads
    }

    fn refresh_view(&mut self, now: Instant) {
        let targets = self.targets(now);
        if targets != self.feed.targets {
            let ids = targets.iter().map(|target| target.id.clone());
            self.feed.places = ids.zip(0..).collect();
            self.feed.targets = targets;
            self.feed.sequence += 1;
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
            let Some(known) = self.endpoints.find(&head.id) else {
                targets.extend(self.recall(now, group, head));
                continue;
            };
            let progress = self.feed.progress.get(&*head.id);
            let moves = progress.is_some_and(|at| now.since(*at) < REPORT_TTL);
            let open = known.beat.stage_in(&group.name, group.epoch) == Some(Stage::Open);
            let since = self.reachability.reachable_since(&known.beat.zone);
            let alive = known.is_alive_since(now, VIEW_TTL, since) || moves;
            let alive = alive && !known.beat.draining;
            let reachable = !self.reachability.is_unreachable(&known.beat.zone, now);
            if open && alive && reachable && known.beat.born == head.born {
                targets.push(target(&known.beat, &group.model, &group.name));
            }
        }
        for (id, known) in self.endpoints.iter() {
            let beat = &known.beat;
            let service = self.document.services.get(&*beat.service);
            let plain = service.is_some_and(|service| service.engine.is_none())
                && !self.reachability.is_unreachable(&beat.zone, now);
            if plain && !members.contains(&**id) && known.is_usable(now, VIEW_TTL) {
                targets.push(target(beat, "", ""));
            }
        }
        targets
    }
}

impl<Decoder> State<Decoder> {
    /// Head of a group as the log knows it, for the time after a start in which it may not have sent
    /// its first heartbeat to any control daemon. A head that is no longer open refuses requests.
    fn recall(&self, now: Instant, group: &Group, head: &Member) -> Option<Target> {
        let span = self.setup.times.heartbeat + RECALL_MARGIN;
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

fn target(beat: &crate::endpoint::Beat, model: &str, group: &str) -> Target {
    Target {
        id: beat.id.clone(),
        address: beat.address.clone(),
        service: beat.service.clone(),
        model: model.to_owned(),
        group: group.to_owned(),
        zone: beat.zone.clone(),
        slots: beat.slots,
    }
}
