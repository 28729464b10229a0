//! Deterministic simulation of three control daemons and the endpoints of a service, without
//! sockets or clocks.
//!
//! Each step is 25 ms. Messages arrive one step later. Simulated engines execute orders according
//! to the published protocol, and the simulation checks its invariants at each join and open.

use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use dotterelhoist_core::clock::Instant;
use dotterelhoist_core::replica::message::Voter;
use dotterelhoist_core::replica::{Identity, Stored};
use dotterelhoist_fleet::control::planner::Times;
use dotterelhoist_fleet::control::{Answer, Effect, Event, Setup, State};
use dotterelhoist_fleet::endpoint::{Heartbeat, Membership, Stage};
use dotterelhoist_fleet::message::{Body, Departure, Fetch, Hello, Reply, Report};
use dotterelhoist_fleet::order::{Order, Outcome, Task};
use dotterelhoist_fleet::patch::Patch;
use dotterelhoist_fleet::probe;
use dotterelhoist_fleet::Name;

use crate::engine::Engine;
use crate::service::{Shape, VersionReader, COLD_LOAD};

pub const STEP: Duration = Duration::from_millis(25);
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1200);
pub const STALL_TIMEOUT: Duration = Duration::from_millis(4000);
/// Time after which a probe of a silent engine ends without an answer.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// Delay of an order; none if it is executed at once.
pub type OrderDelay = Box<dyn FnMut(&Order, u64) -> Option<Duration>>;
/// Delay of a heartbeat.
pub type HeartbeatDelay = Box<dyn FnMut(&Heartbeat, u64) -> Duration>;

pub struct Cluster {
    shape: Shape,
    pub now: Instant,
    pub daemons: BTreeMap<Name, State<VersionReader>>,
    pub disks: BTreeMap<Name, Stored>,
    /// Departures on the disks, and when they happened.
    pub departure_files: BTreeMap<Name, Vec<(Departure, Instant)>>,
    /// Control daemons whose disks refuse departures.
    pub refusing_disks: BTreeSet<Name>,
    /// Control daemons that were killed and not started again.
    pub down: BTreeSet<Name>,
    pub engines: BTreeMap<Name, Engine>,
    pub answers: BTreeMap<u64, Answer>,
    /// Descriptions of the protocol invariants that were violated; must stay empty.
    pub violations: Vec<String>,
    /// Whether orders are executed only twelve seconds after they are sent, without an answer.
    pub delay_orders: bool,
    /// How long after it was sent an order is executed, without an answer; none for at once. The
    /// second argument is a random number.
    pub order_delay: OrderDelay,
    /// How long after it was sent a heartbeat arrives; the second argument is a random number.
    pub heartbeat_delay: HeartbeatDelay,
    /// Groups that engines report in place of their own.
    pub misreports: BTreeMap<Name, Membership>,
    /// Numbers of the events that control daemons have logged.
    codes: Vec<u16>,
    /// Connections that control daemons have asked for: who, and to whom.
    pub dialed: Vec<(Name, Name)>,
    /// Control daemons that were named to control daemons: by whom, to whom, and which.
    pub named: Vec<(Name, Name, Vec<String>)>,
    /// Whether the entry daemon of the first zone reports requests of callers.
    pub traffic: bool,
    /// Whether zone `y`, that of the second fabric domain, is partitioned from the control daemons.
    pub zone_partitioned: bool,
    /// Endpoints that the entry daemon of the first zone suspects.
    pub suspects: Vec<String>,
    /// Daemons that stated in a status that they are up to date, with the version of their
    /// document.
    pub up_to_date_reports: Vec<(Name, u64)>,
    /// Heads of which the entry daemon of the other zone reports progress.
    pub progress: Vec<String>,
    /// Number of orders to join a standby group.
    pub joins_of_standby: usize,
    /// Number of probes of engines.
    pub probes: usize,
    /// Whether no probe is answered.
    pub unanswered_probes: bool,
    /// Features that any control daemon has stated to be barred.
    pub barred: BTreeSet<u64>,
    /// Group heads in the newest view that was sent to an entry daemon.
    pub heads_in_view: BTreeSet<Name>,
    /// Whether messages between control daemons are lost.
    pub control_partitioned: bool,
    /// Control daemons whose messages to and from the others are lost.
    pub cut_off: BTreeSet<Name>,
    /// Departures that entry daemons were told of, with the receiver.
    pub departures_told: Vec<(Name, Departure)>,
    /// Documents that were sent, with the entry daemon that received each.
    pub documents_sent: Vec<(Name, Patch)>,
    /// Versions that were stated in a status, with the entry daemon that received each.
    pub versions_stated: Vec<(Name, u64)>,
    /// Number of documents that the control daemons have read.
    pub reads: Rc<Cell<usize>>,
    /// Orders to close or leave a group that were sent to endpoints.
    pub releases: Vec<Order>,
    /// Events that control daemons receive in the next step.
    inbox: Vec<(Name, Event)>,
    /// Events that control daemons receive later, and when.
    delayed_events: Vec<(Instant, Name, Event)>,
    /// Orders to execute later, and when.
    delayed_orders: Vec<(Instant, Order)>,
    /// Members that have ever been ready, with group and epoch.
    seen_ready: BTreeSet<(Name, String, u64)>,
    /// State of the random number generator.
    rng_state: u64,
    last_ticket: u64,
}

impl Cluster {
    /// Starts three control daemons and `domains` fabric domains of eight engines each.
    pub fn open(domains: usize) -> Cluster {
        Cluster::open_with(Shape { domains, ..Shape::default() })
    }

    /// Starts three control daemons and the engines of a deployment of any shape.
    pub fn open_with(shape: Shape) -> Cluster {
        let mut cluster = Cluster {
            shape,
            now: Instant::from_millis(3_600_000),
            daemons: BTreeMap::new(),
            disks: BTreeMap::new(),
            departure_files: BTreeMap::new(),
            refusing_disks: BTreeSet::new(),
            down: BTreeSet::new(),
            engines: BTreeMap::new(),
            answers: BTreeMap::new(),
            violations: Vec::new(),
            delay_orders: false,
            misreports: BTreeMap::new(),
            codes: Vec::new(),
            dialed: Vec::new(),
            named: Vec::new(),
            order_delay: Box::new(|_, _| None),
            heartbeat_delay: Box::new(|_, _| Duration::ZERO),
            traffic: false,
            zone_partitioned: false,
            suspects: Vec::new(),
            up_to_date_reports: Vec::new(),
            progress: Vec::new(),
            joins_of_standby: 0,
            probes: 0,
            unanswered_probes: false,
            barred: BTreeSet::new(),
            heads_in_view: BTreeSet::new(),
            control_partitioned: false,
            cut_off: BTreeSet::new(),
            departures_told: Vec::new(),
            documents_sent: Vec::new(),
            versions_stated: Vec::new(),
            reads: Rc::default(),
            releases: Vec::new(),
            inbox: Vec::new(),
            delayed_events: Vec::new(),
            delayed_orders: Vec::new(),
            seen_ready: BTreeSet::new(),
            rng_state: 0x9e37_79b9_7f4a_7c15,
            last_ticket: 1,
        };
        for at in 0..shape.domains * shape.endpoints {
            cluster.add_engine(at, &format!("d{}", at / shape.endpoints));
        }
        for name in daemon_names() {
            cluster.start(&name, &format!("{name}#0"));
        }
        cluster
    }

    pub fn add_engine(&mut self, at: usize, domain: &str) {
        let engine = Engine::open(at, domain, self.now);
        self.engines.insert(engine.id.clone(), engine);
    }

    /// Starts a control daemon from the contents of its disk, and connects two entry daemons to it:
    /// `entry` in zone `z` and `far` in zone `y`.
    pub fn start(&mut self, name: &Name, replica: &str) {
        let setup = Setup {
            daemon: name.clone(),
            zone: "z".into(),
            seeds: daemon_names(),
            voter_count: 3,
            times: Times { heartbeat_interval: HEARTBEAT_INTERVAL, stall_timeout: STALL_TIMEOUT },
        };
        let identity =
            Identity { replica: replica.into(), daemon: name.clone(), weight: 1, electable: true };
        if !self.disks.contains_key(name) {
            self.departure_files.remove(name);
        }
        let is_initial_voter = replica == initial_voter(name).replica;
        let disk = self.disks.entry(name.clone()).or_insert_with(|| match is_initial_voter {
            true => first_disk(),
            false => Stored::default(),
        });
        let stored = disk.clone();
        let mut effects = Vec::new();
        let reader = VersionReader { shape: self.shape, reads: self.reads.clone() };
        let mut state = State::open(setup, reader, identity, stored, self.now, &mut effects);
        let file = self.departure_files.get(name).into_iter().flatten();
        let aged = file.map(|(departure, at)| Departure {
            age_ms: self.now.since(*at).as_millis() as u32,
            ..departure.clone()
        });
        state.restore_departures(self.now, &aged.collect::<Vec<Departure>>());
        self.daemons.insert(name.clone(), state);
        self.down.remove(name);
        self.execute_effects(name, effects);
        let hello = Hello { daemon: "entry".into(), zone: "z".into(), control: false };
        self.inbox.push((name.clone(), Event::Connected(hello)));
        let hello = Hello { daemon: "far".into(), zone: "y".into(), control: false };
        self.inbox.push((name.clone(), Event::Connected(hello)));
        self.reach(name);
    }

    /// Brings up the connections between a control daemon and the others that it reaches.
    fn reach(&mut self, name: &Name) {
        for other in daemon_names() {
            if other != *name && self.is_connected(name, &other) {
                self.inbox.push((name.clone(), Event::Reached(other.clone())));
                self.inbox.push((other, Event::Reached(name.clone())));
            }
        }
    }

    fn is_connected(&self, one: &Name, other: &Name) -> bool {
        !self.control_partitioned && !self.cut_off.contains(one) && !self.cut_off.contains(other)
    }

    /// Ends the cut of a control daemon.
    pub fn end_cut(&mut self, name: &Name) {
        self.cut_off.remove(name);
        self.reach(name);
    }

    /// Connects an entry daemon to a control daemon.
    pub fn connect(&mut self, control: &Name, entry: &str) {
        let hello = Hello { daemon: entry.to_owned(), zone: "z".into(), control: false };
        self.apply(control, Event::Connected(hello));
        let body = Body::Report(Report::default());
        self.apply(control, Event::Received { from: entry.into(), body, random: 1 });
    }

    /// Sends a report of the entry daemon of the first zone to all control daemons.
    pub fn report(&mut self, report: &Report) {
        for name in daemon_names() {
            let body = Body::Report(report.clone());
            self.apply(&name, Event::Received { from: "entry".into(), body, random: 1 });
        }
    }

    /// Asks a control daemon for its document on behalf of an entry daemon that has `version`.
    pub fn fetch(&mut self, control: &Name, entry: &str, version: u64) {
        let body = Body::Fetch(Fetch { version });
        self.apply(control, Event::Received { from: entry.into(), body, random: 1 });
    }

    /// Kills a control daemon; its disk keeps what was persisted.
    pub fn kill(&mut self, name: &Name) {
        self.daemons.remove(name);
        self.down.insert(name.clone());
    }

    pub fn leader(&self) -> Option<Name> {
        self.daemons.iter().find(|(_, state)| state.leads(self.now)).map(|(name, _)| name.clone())
    }

    /// Sends a document to a daemon and returns the ticket of the call.
    pub fn put(&mut self, daemon: &Name, version: &str) -> u64 {
        let ticket = self.next_ticket();
        let body = version.as_bytes().to_vec();
        self.apply(daemon, Event::PutDocument { ticket, body });
        ticket
    }

    /// Asks a daemon for the document and returns the ticket of the call.
    pub fn get(&mut self, daemon: &Name) -> u64 {
        let ticket = self.next_ticket();
        self.apply(daemon, Event::GetDocument { ticket });
        ticket
    }

    /// Delivers an answer to the call with this ticket, as if the call had been forwarded to `from`.
    pub fn answer_call(&mut self, daemon: &Name, from: &Name, ticket: u64) {
        let body = Body::Reply(Reply { ticket, answered: true, document: None });
        self.apply(daemon, Event::Received { from: from.clone(), body, random: 1 });
    }

    /// Waits at a daemon until the departure of an endpoint is stored; returns the ticket of the call.
    pub fn await_departure(&mut self, daemon: &Name, id: &Name) -> u64 {
        let ticket = self.next_ticket();
        self.apply(daemon, Event::AwaitDeparture { ticket, id: id.clone() });
        ticket
    }

    fn next_ticket(&mut self) -> u64 {
        self.last_ticket += 1;
        self.last_ticket
    }

    /// Steps until `done` returns true or `span` is over; returns whether `done` returned true.
    pub fn run_until<Done>(&mut self, span: Duration, done: Done) -> bool
    where
        Done: Fn(&Cluster) -> bool,
    {
        let end = self.now + span;
        while self.now < end {
            if done(self) {
                return true;
            }
            self.step();
        }
        done(self)
    }

    pub fn run(&mut self, span: Duration) {
        self.run_until(span, |_| false);
    }

    /// Number of groups whose head is running and open.
    pub fn open_groups(&self) -> usize {
        let open = |engine: &&Engine| {
            !engine.dead
                && engine
                    .membership
                    .as_ref()
                    .is_some_and(|membership| membership.stage() == Stage::Open)
        };
        self.engines.values().filter(open).count()
    }

    /// Engines that are the open head of a group, terminated ones included.
    pub fn heads(&self) -> Vec<Name> {
        let open = |engine: &&Engine| {
            engine.membership.as_ref().is_some_and(|membership| membership.stage() == Stage::Open)
        };
        self.engines.values().filter(open).map(|engine| engine.id.clone()).collect()
    }

    /// Members of the group whose head is the given engine.
    pub fn members(&self, head: &Name) -> Vec<Name> {
        self.engines[head].members.clone()
    }

    /// Head of an open group with this number of members.
    pub fn head_of_size(&self, size: usize) -> Name {
        let head = self.heads().into_iter().find(|head| self.members(head).len() == size);
        head.unwrap_or_else(|| panic!("no open group with {size} members"))
    }

    /// Terminates engines without notice.
    pub fn kill_engines(&mut self, ids: &[Name]) {
        for id in ids {
            if let Some(engine) = self.engines.get_mut(id) {
                engine.dead = true;
            }
        }
    }

    /// Erases the weights on an engine's VM.
    pub fn erase_weights(&mut self, id: &Name) {
        if let Some(engine) = self.engines.get_mut(id) {
            engine.staged = None;
        }
    }

    /// Number of VMs that are copying a model from the weight store.
    pub fn copying(&self) -> usize {
        self.engines.values().filter(|engine| !engine.dead && engine.copying.is_some()).count()
    }

    /// Restarts an engine under its identity; it loses its state, but the weights stay on its VM.
    pub fn restart_engine(&mut self, id: &Name) {
        let now = self.now;
        let Some(engine) = self.engines.get_mut(id) else { return };
        engine.dead = false;
        engine.stops_at = None;
        engine.started_unix_ms += 1;
        engine.sequence = 0;
        engine.membership = None;
        engine.last_served = None;
        engine.highest_epoch = 0;
        engine.orders = 0;
        engine.heartbeat_due = now;
    }

    /// Ends the partition of an engine; it sends its next heartbeat one heartbeat interval later.
    pub fn heal(&mut self, id: &Name) {
        let due = self.now + HEARTBEAT_INTERVAL;
        if let Some(engine) = self.engines.get_mut(id) {
            engine.partitioned = false;
            engine.heartbeat_due = due;
        }
    }

    /// Puts an engine into a group without an order.
    pub fn report_group(&mut self, id: &Name, members: &[Name], membership: Membership) {
        let now = self.now;
        let Some(engine) = self.engines.get_mut(id) else { return };
        engine.membership = Some(membership);
        engine.members = members.to_vec();
        engine.ready_at = now;
        engine.heartbeat_due = now;
    }

    /// How often control daemons have logged the event with this number.
    pub fn logged(&self, code: u16) -> usize {
        self.codes.iter().filter(|logged| **logged == code).count()
    }

    /// Makes an engine fall silent, or go on.
    pub fn set_silent(&mut self, id: &Name, silent: bool) {
        if let Some(engine) = self.engines.get_mut(id) {
            engine.silent = silent;
        }
    }

    /// Deregisters an engine, which keeps serving for two seconds.
    pub fn deregister(&mut self, id: &Name) {
        let end = self.now + Duration::from_secs(2);
        if let Some(engine) = self.engines.get_mut(id) {
            engine.stops_at = Some(end);
        }
        let first = self.daemons.keys().next().cloned();
        if let Some(daemon) = first {
            let started_unix_ms = Some(self.engines[id].started_unix_ms);
            self.inbox.push((daemon, Event::Deregistered { id: id.clone(), started_unix_ms }));
        }
    }

    pub fn step(&mut self) {
        self.now = self.now + STEP;
        self.step_engines();
        let due: Vec<Order> = {
            let now = self.now;
            let (due, rest) = self.delayed_orders.drain(..).partition(|(at, _)| *at <= now);
            self.delayed_orders = rest;
            let due: Vec<(Instant, Order)> = due;
            due.into_iter().map(|(_, order)| order).collect()
        };
        for order in due {
            self.execute(&order);
        }
        for (to, event) in std::mem::take(&mut self.inbox) {
            self.apply(&to, event);
        }
        for (at, to, event) in std::mem::take(&mut self.delayed_events) {
            if at > self.now {
                self.delayed_events.push((at, to, event));
            } else {
                self.apply(&to, event);
            }
        }
        for name in daemon_names() {
            self.rng_state = self.rng_state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
            let random = self.rng_state >> 33;
            if self.traffic && random.is_multiple_of(6) {
                let suspects = self.suspects.clone();
                let report =
                    Report { traffic: true, suspects, selected: true, ..Report::default() };
                let event =
                    Event::Received { from: "entry".into(), body: Body::Report(report), random };
                self.apply(&name, event);
            }
            // Never in the step of a report with suspects.
            let reports_progress = !self.progress.is_empty() && !random.is_multiple_of(2);
            if !self.zone_partitioned && (random.is_multiple_of(4) || reports_progress) {
                let progress = self.progress.clone();
                let body = Body::Report(Report { progress, ..Report::default() });
                self.apply(&name, Event::Received { from: "far".into(), body, random });
            }
            self.apply(&name, Event::Tick { random });
        }
    }

    /// Passes an event to a control daemon that runs.
    pub fn apply(&mut self, name: &Name, event: Event) {
        let Some(state) = self.daemons.get_mut(name) else { return };
        let mut effects = Vec::new();
        state.apply(self.now, event, &mut effects);
        self.execute_effects(name, effects);
    }

    fn execute_effects(&mut self, name: &Name, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Send(to, body) => {
                    if daemon_names().contains(&to) && !self.is_connected(name, &to) {
                        continue;
                    }
                    if let Body::Departures(told) = &body {
                        let told = told.departures.iter();
                        self.departures_told.extend(told.map(|told| (to.clone(), told.clone())));
                    }
                    if let Body::Directory(directory) = &body {
                        let names = directory.control_daemons.clone();
                        self.named.push((name.clone(), to.clone(), names));
                    }
                    if let Body::Document(patch) = &body {
                        self.documents_sent.push((to.clone(), patch.clone()));
                    }
                    if let Body::View(view) = &body {
                        let heads = view.targets.iter().filter(|target| !target.group.is_empty());
                        self.heads_in_view =
                            heads.map(|target| target.id.as_str().into()).collect();
                    }
                    if let Body::Status(status) = &body {
                        self.versions_stated.push((to.clone(), status.version));
                        self.barred.extend(status.bars.iter().map(|bar| bar.feature));
                        if status.up_to_date {
                            self.up_to_date_reports.push((name.clone(), status.version));
                        }
                    }
                    self.rng_state =
                        self.rng_state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
                    let event =
                        Event::Received { from: name.clone(), body, random: self.rng_state >> 33 };
                    self.inbox.push((to, event));
                }
                Effect::Persist(sequence, write) => {
                    self.disks.entry(name.clone()).or_default().apply(write);
                    self.inbox.push((name.clone(), Event::Persisted(sequence)));
                }
                Effect::StoreDepartures(sequence, departures) => {
                    if self.refusing_disks.contains(name) {
                        continue;
                    }
                    let file = self.departure_files.entry(name.clone()).or_default();
                    file.extend(departures.into_iter().map(|departure| {
                        let at = self.now.before(Duration::from_millis(departure.age_ms.into()));
                        (departure, at)
                    }));
                    self.inbox.push((name.clone(), Event::DeparturesStored(sequence)));
                }
                Effect::Order(order) => {
                    if matches!(&order.task, Task::Join { members, .. } if members.len() == 1) {
                        self.joins_of_standby += 1;
                    }
                    if matches!(order.task, Task::Close { .. } | Task::Leave { .. }) {
                        self.releases.push(order.clone());
                    }
                    let outcome = self.deliver(&order);
                    let ticket = order.ticket;
                    self.inbox.push((name.clone(), Event::OrderFinished { ticket, outcome }));
                }
                Effect::Probe { id, address } => {
                    self.probes += 1;
                    let outcome = self.answer_probe(&id, &address);
                    let is_silent = self.engines.get(&id).is_some_and(|engine| engine.silent);
                    let event = Event::ProbeFinished { id, address, outcome };
                    match is_silent {
                        true => self.delayed_events.push((
                            self.now + PROBE_TIMEOUT,
                            name.clone(),
                            event,
                        )),
                        false => self.inbox.push((name.clone(), event)),
                    }
                }
                Effect::Answer(ticket, answer) => {
                    self.answers.insert(ticket, answer);
                }
                Effect::Log(event) => self.codes.push(event.code),
                Effect::Dial(peer) => self.dialed.push((name.clone(), peer)),
            }
        }
    }

    /// What a probe of an engine at an address shows: another engine may be there.
    fn answer_probe(&self, id: &Name, address: &str) -> probe::Outcome {
        if self.unanswered_probes {
            return probe::Outcome::Unanswered;
        }
        let mut there = self.engines.values().filter(|engine| engine.address == address);
        match there.find(|engine| !engine.dead) {
            Some(engine) if engine.id == *id => engine.answer_probe(),
            Some(engine) if engine.partitioned || engine.silent => probe::Outcome::Unanswered,
            Some(_) => probe::Outcome::Replaced,
            None => probe::Outcome::Unanswered,
        }
    }

    /// Delivers an order to its engine, which executes it at once, or later if `delay_orders` is
    /// set. The connection to a partitioned engine is refused.
    fn deliver(&mut self, order: &Order) -> Outcome {
        let Some(engine) = self.engines.get(&order.endpoint) else { return Outcome::Refused };
        if engine.partitioned {
            return Outcome::Refused;
        }
        if engine.dead || engine.silent || engine.answers_errors {
            return Outcome::Unanswered;
        }
        if self.delay_orders {
            self.delayed_orders.push((self.now + Duration::from_secs(12), order.clone()));
            return Outcome::Unanswered;
        }
        let random = self.random();
        if let Some(delay) = (self.order_delay)(order, random) {
            self.delayed_orders.push((self.now + delay, order.clone()));
            return Outcome::Unanswered;
        }
        self.execute(order)
    }

    fn random(&mut self) -> u64 {
        self.rng_state = self.rng_state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        self.rng_state >> 33
    }

    fn execute(&mut self, order: &Order) -> Outcome {
        let load_time = if self.traffic { COLD_LOAD } else { COLD_LOAD / 10 };
        let conflict = self.find_conflict(order);
        let now = self.now;
        let Some(engine) = self.engines.get_mut(&order.endpoint) else { return Outcome::Refused };
        let outcome = engine.execute(order, now, load_time);
        self.violations.extend(conflict.filter(|_| outcome == Outcome::Taken));
        if let (Task::Open { group, epoch }, Outcome::Taken) = (&order.task, &outcome) {
            self.check_open(&order.endpoint, group, *epoch);
        }
        outcome
    }

    /// Records a violation for each member of a group that is opened and has never been ready.
    fn check_open(&mut self, head: &Name, group: &Name, epoch: u64) {
        for member in &self.engines[head].members {
            if !self.seen_ready.contains(&(member.clone(), group.to_string(), epoch)) {
                self.violations.push(format!("{group} opened, {member} never ready"));
            }
        }
    }

    /// The violation that it is if an engine takes an order to join another group while the head of
    /// its current group still runs requests.
    fn find_conflict(&self, order: &Order) -> Option<String> {
        let Task::Join { group, .. } = &order.task else { return None };
        let engine = self.engines.get(&order.endpoint)?;
        let old = engine.membership.as_ref()?;
        if *old.group == **group || engine.dead {
            return None;
        }
        let head = self.engines.get(engine.members.first()?)?;
        let open = head.membership.as_ref().is_some_and(|membership| {
            membership.is_in(&old.group, old.epoch)
                && matches!(membership.stage(), Stage::Open | Stage::Closing)
        });
        let text = || format!("{} joins {group} while {} is open", order.endpoint, old.group);
        (open && !head.dead).then(text)
    }

    fn step_engines(&mut self) {
        let ids: Vec<Name> = self.engines.keys().cloned().collect();
        for id in ids {
            self.step_engine(&id);
        }
    }

    fn step_engine(&mut self, id: &Name) {
        let now = self.now;
        let complete = self.is_group_complete(id);
        let Some(engine) = self.engines.get_mut(id) else { return };
        engine.step(now, complete);
        self.seen_ready.extend(engine.ready_membership());
        let Some(mut heartbeat) = engine.due_heartbeat(now) else { return };
        if let Some(misreport) = self.misreports.get(id) {
            heartbeat.membership = Some(misreport.clone());
        }
        let names: Vec<Name> = self.daemons.keys().cloned().collect();
        let Some(daemon) = names.get(heartbeat.sequence as usize % names.len().max(1)) else {
            return;
        };
        let random = self.random();
        let delay = (self.heartbeat_delay)(&heartbeat, random);
        let event = Event::Heartbeat(Box::new(heartbeat));
        match delay.is_zero() {
            true => self.inbox.push((daemon.clone(), event)),
            false => self.delayed_events.push((now + delay, daemon.clone(), event)),
        }
    }

    /// Whether all members of the engine's group are running and still in the group.
    fn is_group_complete(&self, id: &Name) -> bool {
        let head = &self.engines[id];
        let Some(own) = &head.membership else { return true };
        head.members.iter().all(|member| {
            let member = &self.engines[member];
            let same =
                member.membership.as_ref().is_some_and(|membership| membership.epoch == own.epoch);
            same && !member.dead && !member.silent
        })
    }
}

pub fn daemon_names() -> Vec<Name> {
    ["10.0.0.1", "10.0.0.2", "10.0.0.3"].iter().map(|name| (*name).into()).collect()
}

/// Disk of an initial voter at the first start.
fn first_disk() -> Stored {
    let initial_voters = daemon_names().iter().map(initial_voter).collect();
    Stored { initial_voters, ..Stored::default() }
}

fn initial_voter(name: &Name) -> Voter {
    Voter { replica: format!("{name}#0"), daemon: name.to_string(), weight: 1 }
}
