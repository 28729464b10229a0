//! Messages between a control daemon and the entry daemons connected to it.
//!
//! Entry daemons receive the status of the control daemon, which has the version of its document,
//! and fetch the document. Those that selected this control daemon also receive the view, which
//! lists the endpoints that take requests, and the loads of these endpoints. They send reports of
//! their callers' demand, and of the progress, suspected failures and crashes of endpoints.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::ops::Bound;
use std::time::Duration;

use dotterelhoist_core::clock::Instant;

use crate::endpoint::Stage;
use crate::journal;
use crate::message::{Body, Fetch, Loads, Report, Status, Target, View};
use crate::patch::{self, Original, Patch};
use crate::Name;

use super::state_machine::{Group, Member};
use super::{Effect, Reader, State};

/// Time between two status messages to an entry daemon.
const STATUS_INTERVAL: Duration = Duration::from_millis(300);
/// Time between two messages with the loads of all endpoints to an entry daemon.
const LOADS_INTERVAL: Duration = Duration::from_millis(75);
/// Age of a report beyond which its running requests are left out of the loads, and its progress no
/// longer proves that a group head is alive.
const REPORT_TTL: Duration = Duration::from_secs(2);
/// Time constant of the exponentially decaying average of the demand.
const DEMAND_TIME_CONSTANT: Duration = Duration::from_secs(4);
/// Time since an endpoint was last seen after which it is left out of the view, unless it is a
/// group head that entry daemons have recently reported to make progress.
const ENDPOINT_TTL: Duration = Duration::from_secs(6);
/// A group head from which no heartbeat has arrived is listed in the view from the replicated state
/// until the heartbeat interval and this margin have passed since this daemon started; it is then
/// left out.
const STARTUP_MARGIN: Duration = Duration::from_millis(600);
/// Entry daemons that are named to one that may have to relay requests.
const RELAYS_MAX: usize = 8;
/// Entry daemons that are named to another one, which may ask them for control daemons.
const NEIGHBORS_MAX: usize = 3;
/// Time between two statuses that name neighbors.
const NEIGHBORS_INTERVAL: Duration = Duration::from_secs(4);
/// Time after a report of progress in which a suspicion of the same endpoint says something about the
/// daemon that reports it, not about the endpoint.
const CONTRADICTION_TIME: Duration = Duration::from_millis(250);
/// Time after which an entry daemon's suspicion of an endpoint is dropped unless reported again.
const SUSPECT_TTL: Duration = Duration::from_secs(1);

/// A connected entry daemon.
#[derive(Debug, Default)]
struct Subscriber {
    /// Its last report.
    report: Report,
    /// When the last report arrived.
    reported_at: Instant,
    /// Sequence number of the last view that it was sent.
    view_sequence: u64,
    /// When the next status is sent.
    status_due: Instant,
    /// When the next loads are sent.
    loads_due: Instant,
    /// When neighbors are named next; none before the first report, when others may not be connected yet.
    neighbors_due: Option<Instant>,
}

/// Demand by service and model.
pub type Demands = BTreeMap<(Name, Name), DemandRate>;

/// Average demand for a model.
#[derive(Clone, Copy, Debug, Default)]
pub struct DemandRate {
    /// Number of groups that the requests keep busy.
    pub busy_groups: f64,
    /// Arriving requests per second.
    pub requests_per_second: f64,
}

impl DemandRate {
    /// Average work of a request in group-seconds.
    pub fn seconds_per_request(&self) -> f64 {
        self.busy_groups / self.requests_per_second.max(f64::MIN_POSITIVE)
    }
}

/// Connected entry daemons, what they have reported, and the view that they are sent.
#[derive(Debug, Default)]
pub struct Distributor {
    subscribers: BTreeMap<Name, Subscriber>,
    /// Sequence number of the view; grows with each change of `targets`.
    view_sequence: u64,
    /// Endpoints of the view.
    targets: Vec<Target>,
    /// Index of each endpoint in `targets`, by identity.
    positions: HashMap<String, usize>,
    /// Demand as of `decayed_at`.
    demand: Demands,
    /// When `demand` was last decayed.
    decayed_at: Instant,
    /// When entry daemons last reported that an endpoint sent parts of a response, by identity.
    progress: BTreeMap<Name, Instant>,
    /// When entry daemons last reported that an endpoint was unreachable or made no progress, by
    /// identity.
    suspects: BTreeMap<Name, Instant>,
    /// Whether any entry daemon has reported requests of callers.
    traffic: bool,
    documents: Documents,
}

/// The document in force, as it is sent to entry daemons.
#[derive(Debug, Default)]
struct Documents {
    /// The document in force.
    newest: Original,
    /// When this daemon applied it.
    applied_at: Instant,
    /// The one before it, which most entry daemons have when they ask for the newest.
    previous: Original,
    /// Patches that were sent, by the version that each is the difference to.
    patches: BTreeMap<u64, Patch>,
}

impl Distributor {
    /// Adds an entry daemon that has connected.
    pub(super) fn add_subscriber(&mut self, daemon: Name) {
        self.subscribers.insert(daemon, Subscriber::default());
    }

    /// Removes an entry daemon that has disconnected.
    pub(super) fn remove_subscriber(&mut self, daemon: &Name) {
        self.subscribers.remove(daemon);
    }

    /// Names of the connected entry daemons.
    pub(super) fn subscriber_names(&self) -> impl Iterator<Item = &Name> {
        self.subscribers.keys()
    }

    /// Records the report of a connected entry daemon; ignores it if the daemon is not connected.
    pub(super) fn record_report(&mut self, now: Instant, from: &Name, report: Report) {
        self.decay(now);
        let Some(subscriber) = self.subscribers.get_mut(from) else { return };
        for demand in &report.demand {
            let key = (demand.service.as_str().into(), demand.model.as_str().into());
            let work = self.demand.entry(key).or_default();
            work.busy_groups += demand.seconds / DEMAND_TIME_CONSTANT.as_secs_f64();
            work.requests_per_second +=
                f64::from(demand.requests) / DEMAND_TIME_CONSTANT.as_secs_f64();
        }
        for id in &report.progress {
            self.progress.insert(id.as_str().into(), now);
        }
        for id in &report.suspects {
            let progressed_at = self.progress.get(id.as_str());
            if progressed_at.is_none_or(|at| now.since(*at) >= CONTRADICTION_TIME) {
                self.suspects.insert(id.as_str().into(), now);
            }
        }
        self.traffic |= report.traffic;
        if report.needs_relay && !subscriber.report.needs_relay {
            subscriber.status_due = Instant::default();
        }
        subscriber.reported_at = now;
        subscriber.neighbors_due.get_or_insert(now + STATUS_INTERVAL);
        subscriber.report = report;
    }

    /// Replaces the document that is sent to entry daemons. Those that selected this daemon are told
    /// of it with the next round of updates, the others when their next status is due.
    pub(super) fn set_document(&mut self, now: Instant, document: Original) {
        let documents = &mut self.documents;
        documents.applied_at = now;
        documents.previous = std::mem::replace(&mut documents.newest, document);
        documents.patches.clear();
        for subscriber in self.subscribers.values_mut() {
            if subscriber.report.selected {
                subscriber.status_due = Instant::default();
            }
        }
    }

    /// Entry daemons to which the one called `receiver` may relay requests; others for each receiver.
    fn relays_for(&self, now: Instant, receiver: &Name) -> Vec<String> {
        let takes_relays = |subscriber: &Subscriber| {
            subscriber.report.takes_relays && now.since(subscriber.reported_at) <= REPORT_TTL
        };
        let available = self
            .subscribers
            .iter()
            .filter(|(name, subscriber)| *name != receiver && takes_relays(subscriber));
        let available: Vec<&Name> = available.map(|(name, _)| name).collect();
        let position = self.subscribers.keys().take_while(|name| *name < receiver).count();
        let first = position * RELAYS_MAX % available.len().max(1);
        let rotated = available[first..].iter().chain(&available[..first]);
        rotated.take(RELAYS_MAX).map(ToString::to_string).collect()
    }

    /// The connected entry daemons that follow the one called `receiver`, if it is time to name them.
    fn neighbors_for(&mut self, now: Instant, receiver: &Name) -> Vec<String> {
        let due = self.subscribers.get_mut(receiver).and_then(|it| it.neighbors_due.as_mut());
        let Some(due) = due.filter(|due| now >= **due) else { return Vec::new() };
        *due = now + NEIGHBORS_INTERVAL;
        let after = (Bound::Excluded(receiver), Bound::Unbounded);
        let following = self.subscribers.range::<Name, _>(after).map(|(name, _)| name);
        let wrapped = following.chain(self.subscribers.keys().take_while(|name| *name < receiver));
        wrapped.take(NEIGHBORS_MAX).map(ToString::to_string).collect()
    }

    /// Makes the next status of all entry daemons due at once.
    pub(super) fn expedite_statuses(&mut self) {
        for subscriber in self.subscribers.values_mut() {
            subscriber.status_due = Instant::default();
        }
    }

    /// Average demand for each model.
    pub fn demand(&self) -> &Demands {
        &self.demand
    }

    /// Whether any entry daemon has reported requests of callers since this daemon started.
    pub fn has_traffic(&self) -> bool {
        self.traffic
    }

    /// When entry daemons last saw each endpoint make progress, by identity.
    pub fn progress(&self) -> &BTreeMap<Name, Instant> {
        &self.progress
    }

    /// When entry daemons last suspected an endpoint, by identity.
    pub fn suspects(&self) -> &BTreeMap<Name, Instant> {
        &self.suspects
    }

    /// Decays the average demand, and removes expired reports of progress and suspicions.
    /// Does nothing within 50 ms of the last decay.
    fn decay(&mut self, now: Instant) {
        let passed = now.since(self.decayed_at).as_secs_f64();
        if passed < 0.05 {
            return;
        }
        self.decayed_at = now;
        let factor = (-passed / DEMAND_TIME_CONSTANT.as_secs_f64()).exp();
        for work in self.demand.values_mut() {
            work.busy_groups *= factor;
            work.requests_per_second *= factor;
        }
        self.progress.retain(|_, at| now.since(*at) < REPORT_TTL * 4);
        self.suspects.retain(|_, at| now.since(*at) < SUSPECT_TTL);
    }
}

impl Documents {
    /// The newest document for a receiver that has `version`.
    fn patch(&mut self, version: u64) -> Result<Patch, patch::Error> {
        let complete = Original::default();
        let base = if version == self.previous.version { &self.previous } else { &complete };
        if let Some(patch) = self.patches.get(&base.version) {
            return Ok(patch.clone());
        }
        let patch = Patch::between(base, &self.newest)?;
        self.patches.insert(base.version, patch.clone());
        Ok(patch)
    }
}

impl<Decoder> State<Decoder>
where
    Decoder: Reader,
{
    /// Sends an entry daemon the newest document that this daemon has applied, as the difference to
    /// the one that it has if that is the one before. Sends nothing if it has the newest.
    pub(super) fn send_document(&mut self, to: Name, fetch: &Fetch, effects: &mut Vec<Effect>) {
        if fetch.version >= self.distributor.documents.newest.version {
            return;
        }
        match self.distributor.documents.patch(fetch.version) {
            Ok(patch) => effects.push(Effect::Send(to, Body::Document(patch))),
            Err(error) => {
                let event = journal::Event::new(205, "document not sent", &*to, error.to_string());
                effects.push(Effect::Log(event));
            }
        }
    }

    /// Sends the status, view and loads to all entry daemons for which they are due.
    pub(super) fn send_updates(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        self.distributor.decay(now);
        self.refresh_view(now);
        let status = self.status(now);
        let names: Vec<Name> = self.distributor.subscribers.keys().cloned().collect();
        let mut totals = None;
        for name in names {
            self.send_update(now, &name, &status, &mut totals, effects);
        }
    }

    /// Sends the due status, view and loads to one entry daemon. `totals` caches
    /// [`State::total_loads`].
    fn send_update(
        &mut self,
        now: Instant,
        name: &Name,
        status: &Status,
        totals: &mut Option<Loads>,
        effects: &mut Vec<Effect>,
    ) {
        let sequence = self.distributor.view_sequence;
        let Some(subscriber) = self.distributor.subscribers.get_mut(name) else { return };
        if now >= subscriber.status_due {
            subscriber.status_due = now + STATUS_INTERVAL;
            let needs_relay = subscriber.report.needs_relay;
            let relays = match needs_relay {
                true => self.distributor.relays_for(now, name),
                false => Vec::new(),
            };
            let neighbors = self.distributor.neighbors_for(now, name);
            let status = Status { relays, neighbors, ..status.clone() };
            effects.push(Effect::Send(name.clone(), Body::Status(status)));
        }
        let Some(subscriber) = self.distributor.subscribers.get_mut(name) else { return };
        if !subscriber.report.selected {
            return;
        }
        if subscriber.view_sequence != sequence {
            subscriber.view_sequence = sequence;
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

    /// Builds the status of this daemon.
    fn status(&self, now: Instant) -> Status {
        let own = std::iter::once(&self.setup.daemon);
        let bars = self.attribution.bars(now);
        Status {
            up_to_date: self.replica.is_up_to_date(now),
            version: self.state_machine.version(),
            control_daemons: own.chain(&self.control_daemons).map(ToString::to_string).collect(),
            entry_daemons: self.distributor.subscribers.len() as u32,
            crashing: bars.iter().map(|bar| bar.feature).collect(),
            suspected: self.attribution.suspected(),
            bars,
            takes_losses: true,
            relays: Vec::new(),
            neighbors: Vec::new(),
            leads: self.replica.leads(now),
            document_age_ms: now.since(self.distributor.documents.applied_at).as_millis() as u32,
        }
    }

    /// Sums the running requests that all entry daemons reported, for each endpoint in the order of
    /// the view.
    fn total_loads(&self, now: Instant) -> Loads {
        let count = self.distributor.targets.len();
        let mut totals = Loads {
            sequence: self.distributor.view_sequence,
            running: vec![0; count],
            own: vec![0; count],
            backlog: vec![0; count],
            limits: self.limits.in_force(now),
        };
        let recent = |subscriber: &&Subscriber| now.since(subscriber.reported_at) <= REPORT_TTL;
        for subscriber in self.distributor.subscribers.values().filter(recent) {
            for running in &subscriber.report.running {
                let Some(position) = self.distributor.positions.get(&running.id) else { continue };
                let (load, backlog) =
                    (&mut totals.running[*position], &mut totals.backlog[*position]);
                *load = load.saturating_add(running.count);
                *backlog = backlog.saturating_add(running.backlog);
            }
        }
        totals
    }

    /// The loads for one entry daemon: the totals, with its own requests listed separately and its
    /// own backlog subtracted.
    fn loads_for(&self, now: Instant, receiver: &Name, totals: &Loads) -> Loads {
        let mut loads = totals.clone();
        let Some(subscriber) = self.distributor.subscribers.get(receiver) else { return loads };
        if now.since(subscriber.reported_at) > REPORT_TTL {
            return loads;
        }
        for running in &subscriber.report.running {
            let Some(position) = self.distributor.positions.get(&running.id) else { continue };
            loads.own[*position] = running.count;
            loads.backlog[*position] = loads.backlog[*position].saturating_sub(running.backlog);
        }
        loads
    }

    /// Recomputes the view, and gives it a new sequence number if it has changed.
    fn refresh_view(&mut self, now: Instant) {
        let targets = self.list_targets(now);
        if targets != self.distributor.targets {
            let ids = targets.iter().map(|target| target.id.clone());
            self.distributor.positions = ids.zip(0..).collect();
            self.distributor.targets = targets;
            self.distributor.view_sequence += 1;
        }
    }

    /// Lists the endpoints that take requests: open heads of groups that are not being dissolved,
    /// and usable endpoints of services without model engines.
    fn list_targets(&self, now: Instant) -> Vec<Target> {
        let members: BTreeSet<&str> = self
            .state_machine
            .groups
            .values()
            .flat_map(|group| group.members.iter().map(|member| member.id.as_str()))
            .collect();
        let mut targets = Vec::new();
        for group in self.state_machine.groups.values().filter(|group| !group.dissolving) {
            let Some(head) = group.head() else { continue };
            let Some(endpoint) = self.endpoints.find(&head.id) else {
                targets.extend(self.target_from_replicated_state(now, group, head));
                continue;
            };
            let open = endpoint.heartbeat.stage_in(&group.name, group.epoch) == Some(Stage::Open);
            let since = self.reachability.reachable_since(&endpoint.heartbeat.zone);
            let outage = endpoint.outage_since(since);
            let progress = self.distributor.progress.get(&*head.id);
            let makes_progress = progress.is_some_and(|at| {
                now.since(*at) < REPORT_TTL && outage.is_none_or(|outage| *at > outage.since)
            });
            let alive = endpoint.is_alive_since(now, ENDPOINT_TTL, since) || makes_progress;
            let alive = alive && !endpoint.heartbeat.draining && !endpoint.heartbeat.gone;
            let reachable = !self.reachability.is_unreachable(&endpoint.heartbeat.zone, now);
            if open
                && alive
                && reachable
                && endpoint.heartbeat.started_unix_ms == head.started_unix_ms
            {
                targets.push(target_from_heartbeat(&endpoint.heartbeat, &group.model, &group.name));
            }
        }
        for (id, endpoint) in self.endpoints.iter() {
            let heartbeat = &endpoint.heartbeat;
            let service = self.document.services.get(&*heartbeat.service);
            let plain = service.is_some_and(|service| service.engine.is_none())
                && !self.reachability.is_unreachable(&heartbeat.zone, now);
            if plain && !members.contains(&**id) && endpoint.is_usable(now, ENDPOINT_TTL) {
                targets.push(target_from_heartbeat(heartbeat, "", ""));
            }
        }
        targets
    }
}

impl<Decoder> State<Decoder> {
    /// Builds a target for a group head from the replicated state alone, shortly after a start of
    /// this daemon, when the head may not have sent a heartbeat yet. A head that is not open
    /// refuses requests, so including it is safe.
    fn target_from_replicated_state(
        &self,
        now: Instant,
        group: &Group,
        head: &Member,
    ) -> Option<Target> {
        let span = self.setup.times.heartbeat_interval + STARTUP_MARGIN;
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
            started_unix_ms: head.started_unix_ms,
        })
    }
}

/// Builds a target from an endpoint's heartbeat; `model` and `group` are empty for an endpoint
/// without a group.
fn target_from_heartbeat(
    heartbeat: &crate::endpoint::Heartbeat,
    model: &str,
    group: &str,
) -> Target {
    Target {
        id: heartbeat.id.clone(),
        address: heartbeat.address.clone(),
        service: heartbeat.service.clone(),
        model: model.to_owned(),
        group: group.to_owned(),
        zone: heartbeat.zone.clone(),
        slots: heartbeat.slots,
        started_unix_ms: heartbeat.started_unix_ms,
    }
}
