//! The reducer of an entry daemon.
//!
//! It keeps what control daemons tell ([`sources`](self)), chooses endpoints ([`targets`]), lets
//! requests wait for room ([`queue`]) and limits repeats ([`budget`]). The shell carries the bytes and
//! reports how each attempt ended.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use dotterelhoist_core::clock::Instant;

use crate::control::Reader;
use crate::crash::Losses;
use crate::document::{Access, Document, Route, Workspace};
use crate::journal;
use crate::message::{Body, Report, Running, Status};
use crate::Name;

pub mod budget;
pub mod queue;
pub mod request;
pub mod targets;

mod serving;
mod unsent;

pub use self::request::{Attempt, Decision, End, Reason, Refusal, Request};

use self::budget::Budget;
use self::queue::Queue;
use self::serving::Active;
use self::targets::Targets;
use self::unsent::{demand_list, Asked, Unsent};

/// Silence after which a control daemon is no longer a source.
const SOURCE_TTL: Duration = Duration::from_millis(1200);
/// Time between two ticks after which this daemon itself has stood still.
const STOOD_STILL: Duration = Duration::from_millis(150);
/// Time between two reports to the control daemons.
const REPORT_INTERVAL: Duration = Duration::from_millis(75);
/// Entry daemons for each round of reports in which control daemons that are not selected get none.
const ENTRIES_PER_ROUND: u32 = 16;
/// Time after its start at which a daemon serves with a document that no live leader has confirmed.
const UNCONFIRMED: Duration = Duration::from_secs(6);

/// Entry daemons to share the slack of the retry budget with before their number is known.
const ENTRIES_UNKNOWN: f64 = 200.0;
/// Part of the slack of the retry budget that is used.
const SLACK_SHARE: f64 = 0.5;

/// What an entry daemon knows from its settings.
#[derive(Clone, Debug)]
pub struct Setup {
    /// IP address, which is also its name.
    pub daemon: Name,
    /// Availability zone.
    pub zone: Name,
    /// Repeats that may be sent for each request of a service.
    pub retry_ratio: f64,
    /// Repeats that all entry daemons together may send beyond that in one go.
    pub retry_slack: f64,
}

/// An event for an entry daemon.
#[derive(Debug)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// A control daemon is connected.
    Connected(Name),
    /// A control daemon is no longer connected.
    Disconnected(Name),
    /// A control daemon has sent something.
    Received(Name, Body),
    /// A caller has sent a request.
    Arrived(Box<Request>),
    /// An attempt has ended.
    AttemptEnded(u64, End),
    /// The caller of a request has gone.
    CallerGone(u64),
    /// A graceful shutdown is asked for.
    Stop,
}

/// An effect for the shell of an entry daemon.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send to a control daemon.
    Send(Name, Body),
    /// Keep a connection to this control daemon.
    Dial(Name),
    /// Tell the task of a request what to do.
    Decide(u64, Decision),
    /// Stop the attempt of a request; its endpoint makes no progress.
    Abandon(u64),
    /// Write a log line.
    Log(journal::Event),
}

/// A control daemon as this daemon hears it.
#[derive(Debug, Default)]
struct Source {
    status: Option<Status>,
    heard: Instant,
}

/// The state of an entry daemon.
#[derive(Debug)]
pub struct State<Decoder> {
    setup: Setup,
    reader: Decoder,
    document: Option<Arc<Document>>,
    /// Whether a live leader's newest document is in force, or was at some time.
    confirmed: bool,
    sources: BTreeMap<Name, Source>,
    selected: Option<Name>,
    targets: Targets,
    requests: BTreeMap<u64, Active>,
    queue: Queue,
    budget: Budget,
    losses: Losses,
    crashed: Vec<u64>,
    /// Requests that are refused because they crash endpoints.
    crashing: BTreeSet<u64>,
    /// Seconds of a group's time and requests, by service and model.
    demand: Asked,
    /// What control daemons that are not selected have not been told.
    unsent: Unsent,
    /// Rounds of reports so far.
    round: u32,
    /// Endpoints that were suspected in the last round.
    suspected: Vec<String>,
    traffic: bool,
    started: Instant,
    report_due: Instant,
    ticked: Instant,
    stopping: bool,
    draw: u64,
}

impl<Decoder> State<Decoder>
where
    Decoder: Reader,
{
    /// Opens the state of an entry daemon. `draw` is a random number.
    pub fn open(setup: Setup, reader: Decoder, draw: u64, now: Instant) -> State<Decoder> {
        let budget = Budget::new(setup.retry_ratio, setup.retry_slack / ENTRIES_UNKNOWN);
        let targets = Targets::new(setup.zone.clone());
        State {
            setup,
            reader,
            document: None,
            confirmed: false,
            sources: BTreeMap::new(),
            selected: None,
            targets,
            requests: BTreeMap::new(),
            queue: Queue::default(),
            budget,
            losses: Losses::default(),
            crashed: Vec::new(),
            crashing: BTreeSet::new(),
            demand: BTreeMap::new(),
            unsent: Unsent::default(),
            round: 0,
            suspected: Vec::new(),
            traffic: false,
            started: now,
            report_due: now,
            ticked: now,
            stopping: false,
            draw: draw | 1,
        }
    }

    /// Applies one event that happened at `now`.
    pub fn apply(&mut self, now: Instant, event: Event, effects: &mut Vec<Effect>) {
        match event {
            Event::Tick => self.tick(now, effects),
            Event::Connected(from) => {
                self.sources.insert(from, Source { status: None, heard: now });
            }
            Event::Disconnected(from) => {
                self.sources.remove(&from);
            }
            Event::Received(from, body) => self.receive(now, from, body, effects),
            Event::Arrived(request) => self.arrive(now, *request, effects),
            Event::AttemptEnded(id, end) => self.ended(now, id, end, effects),
            Event::CallerGone(id) => self.gone(now, id, effects),
            Event::Stop => self.stopping = true,
        }
    }

    /// Whether the daemon takes callers, for the platform's balancer.
    pub fn is_ready(&self) -> bool {
        self.serves() && !self.stopping
    }

    /// Whether the daemon is about to stop.
    pub fn is_stopping(&self) -> bool {
        self.stopping
    }

    /// Document in force, once it is certain that no newer one has been accepted for long.
    pub fn document(&self) -> Option<&Arc<Document>> {
        self.document.as_ref().filter(|_| self.confirmed)
    }

    /// Requests that have no final answer yet.
    pub fn running(&self) -> usize {
        self.requests.len()
    }

    /// Notes that an endpoint has sent a part of an answer.
    pub fn record_progress(&mut self, target: &Name, now: Instant) {
        self.targets.record_progress(target, now);
    }

    /// Notes the load that an endpoint has stated: running and waiting requests.
    pub fn record_load(&mut self, target: &Name, running: u32, waiting: u32) {
        self.targets.record_load(target, running, waiting);
    }

    fn serves(&self) -> bool {
        self.document.is_some() && self.confirmed
    }

    /// Version of the document held, 0 if there is none.
    fn version(&self) -> u64 {
        self.document.as_ref().map_or(0, |document| document.version)
    }

    fn next_draw(&mut self) -> u64 {
        self.draw ^= self.draw << 13;
        self.draw ^= self.draw >> 7;
        self.draw ^= self.draw << 17;
        self.draw
    }

    fn receive(&mut self, now: Instant, from: Name, body: Body, effects: &mut Vec<Effect>) {
        if let Some(source) = self.sources.get_mut(&from) {
            source.heard = now;
        }
        match body {
            Body::Status(status) => self.take_status(now, from, status, effects),
            Body::Document(bytes) => self.take_document(&bytes.body, effects),
            Body::View(view) if self.selected.as_ref() == Some(&from) => {
                self.targets.take_view(view, now);
                self.pump(now, effects);
            }
            Body::Loads(loads) if self.selected.as_ref() == Some(&from) => {
                self.targets.take_loads(&loads);
                self.pump(now, effects);
            }
            _ => {}
        }
    }

    fn take_status(&mut self, now: Instant, from: Name, status: Status, effects: &mut Vec<Effect>) {
        for control in &status.control_daemons {
            effects.push(Effect::Dial(control.as_str().into()));
        }
        let version = self.version();
        if status.up_to_date && version > 0 && version >= status.version && !self.confirmed {
            self.confirmed = true;
            let detail = format!("version={version} source={from}");
            let event = journal::Event::new(102, "ready", &*self.setup.daemon, detail);
            effects.push(Effect::Log(event));
        }
        self.crashing.extend(&status.crashing);
        let entries = f64::from(status.entry_daemons.max(1));
        self.budget.set_burst(self.setup.retry_slack * SLACK_SHARE / entries);
        if let Some(source) = self.sources.get_mut(&from) {
            source.status = Some(status);
        }
        self.select(now, effects);
    }

    fn take_document(&mut self, bytes: &[u8], effects: &mut Vec<Effect>) {
        let document = match self.reader.read(bytes) {
            Ok(document) => document,
            Err(findings) => {
                let detail = findings.first().map(ToString::to_string).unwrap_or_default();
                let event = journal::Event::new(103, "document invalid", "control", detail);
                effects.push(Effect::Log(event));
                return;
            }
        };
        let version = self.version();
        if document.version <= version {
            return;
        }
        let detail = format!("version={} before={version}", document.version);
        let event = journal::Event::new(101, "document in force", &*self.setup.daemon, detail);
        effects.push(Effect::Log(event));
        self.document = Some(Arc::new(document));
    }

    /// Chooses the control daemon whose view is used: one that hears a live leader first, then one
    /// of the own availability zone, which stands first in the order of names of a zone.
    fn select(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        let usable = |source: &&Source| {
            now.since(source.heard) < SOURCE_TTL
                && source.status.as_ref().is_some_and(|status| status.version > 0)
        };
        let fresh =
            |source: &Source| source.status.as_ref().is_some_and(|status| status.up_to_date);
        let best = self
            .sources
            .iter()
            .filter(|(_, source)| usable(source))
            .max_by_key(|(name, source)| {
                let current = self.selected.as_ref() == Some(*name);
                (fresh(source), self.is_near(name), current)
            })
            .map(|(name, _)| name.clone());
        if best.is_none() || best == self.selected {
            return;
        }
        let detail = format!("before={:?}", self.selected);
        let name = best.clone().unwrap_or_else(|| "".into());
        effects.push(Effect::Log(journal::Event::new(104, "source selected", &*name, detail)));
        self.selected = best;
        self.report_due = now;
    }

    /// Whether a control daemon shares the first three numbers of this daemon's address.
    fn is_near(&self, daemon: &str) -> bool {
        let network = |address: &str| address.rsplit_once('.').map(|(net, _)| net.to_owned());
        network(daemon) == network(&self.setup.daemon)
    }

    fn tick(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        let waited = now.since(self.started) > UNCONFIRMED;
        if !self.confirmed && waited && self.document.is_some() {
            self.confirmed = true;
            let event = journal::Event::new(105, "ready without a leader", &*self.setup.daemon, "");
            effects.push(Effect::Log(event));
        }
        self.select(now, effects);
        if now.since(self.ticked) > STOOD_STILL {
            self.targets.forgive(now);
        }
        self.ticked = now;
        self.check_progress(now, effects);
        let targets = &self.targets;
        self.crashed.extend(self.losses.take_crashed(now, |id| targets.has_ended(id, now)));
        self.expire(now, effects);
        self.pump(now, effects);
        if now >= self.report_due {
            self.report_due = now + REPORT_INTERVAL;
            self.report(now, effects);
        }
    }

    /// Reports to the selected control daemon, and in each [`State::rounds`]th round, or at once with a
    /// new suspicion or a crash, to the others.
    fn report(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        let demand = std::mem::take(&mut self.demand);
        let progress = self.targets.take_progress();
        self.unsent.add(&demand, &progress);
        let report = Report {
            running: self
                .targets
                .running()
                .map(|(id, count, backlog)| Running { id: id.to_string(), count, backlog })
                .collect(),
            demand: demand_list(&demand),
            suspects: self.targets.suspects(now),
            traffic: self.traffic,
            selected: false,
            progress,
            crashed: std::mem::take(&mut self.crashed),
            version: self.version(),
        };
        self.round += 1;
        let new = report.suspects.iter().any(|id| !self.suspected.contains(id));
        let due = self.round.is_multiple_of(self.rounds());
        let all = due || new || !report.crashed.is_empty();
        self.suspected.clone_from(&report.suspects);
        for name in self.sources.keys() {
            if self.selected.as_ref() == Some(name) {
                let report = Report { selected: true, ..report.clone() };
                effects.push(Effect::Send(name.clone(), Body::Report(report)));
            } else if all {
                let report = self.unsent.fill(report.clone());
                effects.push(Effect::Send(name.clone(), Body::Report(report)));
            }
        }
        if all {
            self.unsent = Unsent::default();
        }
    }

    /// Rounds of reports after which control daemons that are not selected get one too, so that the
    /// reports that one control daemon takes in grow slower than the deployment.
    fn rounds(&self) -> u32 {
        let statuses = self.sources.values().filter_map(|source| source.status.as_ref());
        let entries = statuses.map(|status| status.entry_daemons).max().unwrap_or(1);
        entries.div_ceil(ENTRIES_PER_ROUND).max(1)
    }

    /// Finds the route and the workspace of a request.
    fn look_up(&self, request: &Request) -> Result<(Arc<Route>, Option<Arc<Workspace>>), Reason> {
        if self.crashing.contains(&request.fingerprint) {
            return Err(Reason::Crashing);
        }
        let Some(document) = self.document() else { return Err(Reason::Starting) };
        let Some(route) = document.route(&request.host, &request.path) else {
            return Err(Reason::NoRoute);
        };
        match document.access(request.key.as_deref()) {
            Access::Workspace(workspace) => Ok((route.clone(), Some(workspace))),
            Access::Open => Ok((route.clone(), None)),
            Access::Denied if route.public => Ok((route.clone(), None)),
            Access::Denied => Err(Reason::Unauthorized),
        }
    }
}
