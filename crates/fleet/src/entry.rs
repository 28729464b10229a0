//! The reducer of an entry daemon.
//!
//! It selects one of the connected control daemons as its source of endpoints and loads, chooses
//! the endpoint for each request ([`targets`]), queues requests while all endpoints are full
//! ([`queue`]) and limits retries ([`budget`]). The shell transfers the bytes of requests and
//! responses, and reports how each attempt ended.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use dotterelhoist_core::clock::Instant;

use crate::control::Reader;
use crate::crash::bars::Bars;
use crate::crash::losses::Losses;
use crate::crash::older;
use crate::document::{Access, Document, Route, Workspace};
use crate::journal;
use crate::message::{Bar, Body, Status};
use crate::patch::Original;
use crate::Name;

pub mod budget;
pub mod pauses;
pub mod queue;
pub mod request;
pub mod targets;

mod barring;
mod departures;
mod fetching;
mod hedging;
mod limits;
mod neighbors;
mod relaying;
mod reporting;
mod serving;
mod slots;
mod unsent;

pub use self::request::{Attempt, Decision, End, Loss, Reason, Refusal, Request};

use self::budget::Budget;
use self::fetching::Transfer;
use self::neighbors::Neighbors;
use self::pauses::Statement;
use self::queue::{Queue, Requirement};
use self::serving::Active;
use self::targets::Targets;
use self::unsent::{Unsent, Workload};

/// Time without a message after which a control daemon can no longer be selected as the source.
const SOURCE_TIMEOUT: Duration = Duration::from_millis(1200);
/// Time between two ticks above which this process counts as having been paused; the stall timeouts
/// of endpoints are then restarted.
const PAUSE_MIN: Duration = Duration::from_millis(150);
/// Time between two rounds of reports to the control daemons.
const REPORT_INTERVAL: Duration = Duration::from_millis(75);
/// Time since its start after which a daemon serves with a document although no live leader has
/// confirmed it as the newest.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_secs(6);

/// Number of entry daemons that share the slack of the retry budget, until a control daemon has
/// sent their number.
const ENTRY_DAEMONS_ASSUMED: f64 = 200.0;
/// Fraction of the slack of the retry budget that the entry daemons together use.
const RETRY_SLACK_FACTOR: f64 = 0.5;

/// What an entry daemon knows from its settings.
#[derive(Clone, Debug)]
pub struct Setup {
    /// IP address, which is also its name.
    pub daemon: Name,
    /// Availability zone.
    pub zone: Name,
    /// Retries that may be sent per request, for each service.
    pub retry_ratio: f64,
    /// Retries that all entry daemons together may send in a burst beyond that ratio, for each
    /// service.
    pub retry_slack: f64,
    /// Time after the acknowledgement of a document from which no request may be handled by an
    /// older one.
    pub apply_timeout: Duration,
    /// Port at which entry daemons take requests that others relay to them; the same for all.
    pub relay_port: u16,
}

/// An event for an entry daemon.
#[derive(Debug)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// A connection to a control daemon was established.
    Connected(Name),
    /// The connection to a control daemon was lost.
    Disconnected(Name),
    /// A control daemon has sent a message.
    Received(Name, Body),
    /// A caller has sent a request.
    RequestArrived(Box<Request>),
    /// The current attempt of the request with this id has ended. A second attempt that runs beside
    /// it becomes the current one, unless the request is done.
    AttemptEnded(u64, End),
    /// The second attempt of the request with this id has ended; the current one goes on.
    HedgeEnded(u64, End),
    /// The second attempt of the request with this id has become the current one, because its
    /// response arrived first. The other one was dropped.
    HedgeAdopted(u64),
    /// The head of a response has arrived from this endpoint, with the requests per second that it
    /// takes from all entry daemons together; none if it stated no limit.
    LimitStated(Name, Option<f64>),
    /// The head of a response has arrived from this endpoint.
    HeadArrived(Name, Statement),
    /// The caller of the request with this id has closed its connection.
    CallerGone(u64),
    /// A graceful shutdown was requested.
    Stop,
}

/// An effect for the shell of an entry daemon.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send a message to a control daemon.
    Send(Name, Body),
    /// Connect to this control daemon, and reconnect when the connection is lost.
    Dial(Name),
    /// Ask this entry daemon, or the control daemon at its address, which control daemons it reaches; pass the
    /// answer back as a [`Body::Directory`].
    Ask(Name),
    /// Pass a decision to the task that serves the request with this id.
    Decide(u64, Decision),
    /// Close the idle connections to endpoints.
    DropIdleConnections,
    /// Write a log line.
    Log(journal::Event),
}

/// A connected control daemon.
#[derive(Debug, Default)]
struct Source {
    /// Its newest status; none before the first.
    status: Option<Status>,
    /// When it last sent a message or, before the first, when it connected.
    last_message: Instant,
    /// When it applied its document.
    applied_at: Instant,
}

impl Source {
    /// Version of its document, 0 if it has none or has sent no status.
    fn version(&self) -> u64 {
        self.status.as_ref().map_or(0, |status| status.version)
    }

    /// Whether it has sent a message recently.
    fn is_live(&self, now: Instant) -> bool {
        now.since(self.last_message) < SOURCE_TIMEOUT
    }

    /// Whether it has stated that it has all that a live leader has committed.
    fn is_up_to_date(&self) -> bool {
        self.status.as_ref().is_some_and(|status| status.up_to_date)
    }

    /// The bars that it did not state in its newest status; none if it takes no bars.
    fn lacks(&self, bars: &Bars, now: Instant) -> Vec<Bar> {
        let status = self.status.as_ref().filter(|status| status.takes_losses);
        status.map_or_else(Vec::new, |status| bars.list_unknown(now, &status.bars))
    }
}

/// The state of an entry daemon.
#[derive(Debug)]
pub struct State<Decoder> {
    setup: Setup,
    /// Decodes documents.
    reader: Decoder,
    /// Valid document with the highest version received so far.
    document: Option<Arc<Document>>,
    /// The same document as the operator sent it.
    original: Original,
    /// Since when a control daemon has had a newer document; none if none has.
    behind_since: Option<Instant>,
    /// Request for a newer document.
    transfer: Option<Transfer>,
    /// Whether the document was at some time the newest one of a live leader, or the wait for such
    /// a confirmation has timed out. Requests are refused until then.
    confirmed: bool,
    /// Connected control daemons.
    sources: BTreeMap<Name, Source>,
    /// Control daemon whose view and loads are used.
    selected: Option<Name>,
    neighbors: Neighbors,
    targets: Targets,
    /// Requests without a final response, by id.
    requests: BTreeMap<u64, Active>,
    queue: Queue,
    /// Retry budget.
    budget: Budget,
    /// Whether the limit of an endpoint has changed since the last round of reports.
    limits_changed: bool,
    /// When a control daemon last stated that it leads.
    leader_seen_at: Instant,
    /// When the last request with each requirement arrived while endpoints had limits.
    last_arrivals: BTreeMap<Requirement, Instant>,
    losses: Losses,
    /// The same for control daemons of older builds.
    older_losses: older::Losses,
    /// Fingerprints of requests that have crashed endpoints, for control daemons of older builds, to be
    /// sent with the next report.
    unreported_crashes: Vec<u64>,
    /// Features whose requests are refused.
    bars: Bars,
    /// Whether this daemon seemed to be cut off from the endpoints at the last tick.
    was_cut_off: bool,
    /// Work requested since the last report, by service and model.
    demand: Workload,
    /// What has not been reported to the control daemons that are not selected.
    unsent: Unsent,
    /// Number of rounds of reports so far; a round is due every [`REPORT_INTERVAL`].
    report_round: u32,
    /// Endpoints that were suspected in the last round of reports, by identity.
    reported_suspects: Vec<String>,
    /// Whether any request has been accepted since the start.
    has_traffic: bool,
    started: Instant,
    /// When the next round of reports is due.
    report_due: Instant,
    last_tick: Instant,
    /// Whether a graceful shutdown was requested.
    stopping: bool,
    /// State of the random number generator, never 0.
    rng_state: u64,
}

impl<Decoder> State<Decoder>
where
    Decoder: Reader,
{
    /// Creates the state of an entry daemon. `seed` is a random number.
    pub fn open(setup: Setup, reader: Decoder, seed: u64, now: Instant) -> State<Decoder> {
        let budget = Budget::new(setup.retry_ratio, setup.retry_slack / ENTRY_DAEMONS_ASSUMED);
        let targets = Targets::new(setup.zone.clone());
        State {
            setup,
            reader,
            document: None,
            original: Original::default(),
            behind_since: None,
            transfer: None,
            confirmed: false,
            sources: BTreeMap::new(),
            selected: None,
            neighbors: Neighbors::default(),
            targets,
            requests: BTreeMap::new(),
            queue: Queue::default(),
            budget,
            limits_changed: false,
            leader_seen_at: now,
            last_arrivals: BTreeMap::new(),
            losses: Losses::default(),
            older_losses: older::Losses::default(),
            unreported_crashes: Vec::new(),
            bars: Bars::default(),
            was_cut_off: false,
            demand: BTreeMap::new(),
            unsent: Unsent::default(),
            report_round: 0,
            reported_suspects: Vec::new(),
            has_traffic: false,
            started: now,
            report_due: now,
            last_tick: now,
            stopping: false,
            rng_state: seed | 1,
        }
    }

    /// Applies one event that happened at `now`.
    pub fn apply(&mut self, now: Instant, event: Event, effects: &mut Vec<Effect>) {
        match event {
            Event::Tick => self.tick(now, effects),
            Event::Connected(from) => {
                let source = Source { status: None, last_message: now, applied_at: now };
                self.send_departures(now, &from, effects);
                self.introduce(now, &from, effects);
                self.sources.insert(from, source);
                self.limits_changed |= !self.targets.limits.is_empty();
                self.targets.limits.report_all();
            }
            Event::Disconnected(from) => {
                self.sources.remove(&from);
                self.update_lag();
            }
            Event::Received(from, body) => self.receive(now, from, body, effects),
            Event::RequestArrived(request) => self.accept_request(now, *request, effects),
            Event::AttemptEnded(id, end) => self.end_attempt(now, id, end, effects),
            Event::HedgeEnded(id, end) => self.end_hedge(now, id, &end, effects),
            Event::HedgeAdopted(id) => self.adopt_hedge(now, id, effects),
            Event::LimitStated(endpoint, limit) => {
                self.record_limit(now, &endpoint, limit, effects)
            }
            Event::HeadArrived(endpoint, statement) => {
                self.record_statement(now, &endpoint, statement, effects)
            }
            Event::CallerGone(id) => self.cancel_request(now, id, effects),
            Event::Stop => self.stopping = true,
        }
    }

    /// Whether the daemon accepts requests of callers; reported to the load balancer's readiness
    /// check.
    pub fn is_ready(&self) -> bool {
        self.has_confirmed_document() && !self.stopping && !self.is_outdated(self.last_tick)
    }

    /// Whether a graceful shutdown was requested.
    pub fn is_stopping(&self) -> bool {
        self.stopping
    }

    /// Document in force; none until it is confirmed as the newest one of a live leader, or the
    /// wait for that confirmation has timed out.
    pub fn document(&self) -> Option<&Arc<Document>> {
        self.document.as_ref().filter(|_| self.confirmed)
    }

    /// Number of requests that have no final response yet.
    pub fn running(&self) -> usize {
        self.requests.len()
    }

    /// Records that an endpoint has sent a part of a response.
    pub fn record_progress(&mut self, target: &Name, now: Instant) {
        self.targets.record_progress(target, now);
    }

    /// Records that a new connection to an endpoint was established.
    pub fn record_connected(&mut self, target: &Name) {
        self.targets.record_connected(target);
    }

    /// Records the numbers of running and waiting requests that an endpoint stated in a response.
    pub fn record_load(&mut self, target: &Name, running: u32, waiting: u32) {
        self.targets.record_load(target, running, waiting);
    }

    /// Whether there is a document, and it is confirmed.
    fn has_confirmed_document(&self) -> bool {
        self.document.is_some() && self.confirmed
    }

    /// Version of the newest document received, 0 if there is none.
    fn version(&self) -> u64 {
        self.document.as_ref().map_or(0, |document| document.version)
    }

    /// Next number of a xorshift generator.
    fn next_random(&mut self) -> u64 {
        self.rng_state ^= self.rng_state << 13;
        self.rng_state ^= self.rng_state >> 7;
        self.rng_state ^= self.rng_state << 17;
        self.rng_state
    }

    /// Applies a message of a control daemon. Views and loads count only from the selected one.
    fn receive(&mut self, now: Instant, from: Name, body: Body, effects: &mut Vec<Effect>) {
        if let Some(source) = self.sources.get_mut(&from) {
            source.last_message = now;
        }
        match body {
            Body::Status(status) => self.apply_status(now, from, status, effects),
            Body::Document(patch) => self.apply_document(now, &patch, effects),
            Body::View(view) if self.selected.as_ref() == Some(&from) => {
                self.targets.apply_view(view, now);
                self.send_queued(now, effects);
            }
            Body::Loads(loads) if self.selected.as_ref() == Some(&from) => {
                self.targets.apply_loads(&loads, now);
                self.send_queued(now, effects);
            }
            Body::Slot(slot) => self.apply_slot(now, &slot, effects),
            Body::Departures(departures) => {
                self.record_departures(now, &from, &departures, effects)
            }
            Body::Directory(directory) => self.apply_directory(&from, &directory, effects),
            _ => {}
        }
    }

    /// Connects to the control daemons that a status lists, and updates the retry budget and the
    /// requests to refuse.
    fn apply_status(
        &mut self,
        now: Instant,
        from: Name,
        status: Status,
        effects: &mut Vec<Effect>,
    ) {
        for daemon in &status.control_daemons {
            effects.push(Effect::Dial(daemon.as_str().into()));
        }
        self.record_neighbors(&from, &status, effects);
        self.apply_bars(now, &status, effects);
        let entry_daemons = f64::from(status.entry_daemons.max(1));
        self.budget.set_burst(self.setup.retry_slack * RETRY_SLACK_FACTOR / entry_daemons);
        if let Some(source) = self.sources.get_mut(&from) {
            source.applied_at = now.before(Duration::from_millis(status.document_age_ms.into()));
            source.status = Some(status);
        }
        self.confirm_document(effects);
        self.update_lag();
        self.select_source(now, effects);
        self.fetch_document(now, effects);
    }

    /// Selects the control daemon whose view and loads are used. Of those heard from recently that
    /// have a document, one that is up to date with a live leader is preferred, then one in the
    /// same subnet, then the one selected so far.
    fn select_source(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        let usable = |source: &&Source| {
            source.is_live(now) && source.status.as_ref().is_some_and(|status| status.version > 0)
        };
        let up_to_date =
            |source: &Source| source.status.as_ref().is_some_and(|status| status.up_to_date);
        let best = self
            .sources
            .iter()
            .filter(|(_, source)| usable(source))
            .max_by_key(|(name, source)| {
                let current = self.selected.as_ref() == Some(*name);
                (up_to_date(source), self.is_in_same_subnet(name), current)
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

    /// Whether the first three bytes of a control daemon's IPv4 address are those of this daemon's.
    fn is_in_same_subnet(&self, daemon: &str) -> bool {
        let network = |address: &str| address.rsplit_once('.').map(|(net, _)| net.to_owned());
        network(daemon) == network(&self.setup.daemon)
    }

    /// Starts second attempts for stalled ones, refuses requests whose queue timeout is over, sends queued ones,
    /// and sends the reports that are due.
    fn tick(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        let timed_out = now.since(self.started) > CONFIRMATION_TIMEOUT;
        if !self.confirmed && timed_out && self.document.is_some() {
            self.confirmed = true;
            let event = journal::Event::new(105, "ready without a leader", &*self.setup.daemon, "");
            effects.push(Effect::Log(event));
        }
        self.select_source(now, effects);
        self.ask_neighbors(now, effects);
        self.fetch_document(now, effects);
        if now.since(self.last_tick) > PAUSE_MIN {
            self.targets.restart_stall_timers(now);
        }
        self.last_tick = now;
        self.watch_cut(now, effects);
        self.hedge_stalled_attempts(now, effects);
        let targets = &self.targets;
        let crashed =
            self.older_losses.take_crashed(now, |id| targets.has_probably_terminated(id, now));
        self.unreported_crashes.extend(crashed);
        self.bars.expire(now);
        self.targets.departures.expire(now);
        self.refuse_expired(now, effects);
        self.send_queued(now, effects);
        self.request_slots(now, effects);
        self.refuse_barred(now, effects);
        if now >= self.report_due {
            self.report_due = now + REPORT_INTERVAL;
            self.send_reports(now, effects);
        }
    }

    /// Finds the route and the workspace of a request, or the reason to refuse it.
    fn resolve(
        &self,
        now: Instant,
        request: &Request,
    ) -> Result<(Arc<Route>, Option<Arc<Workspace>>), Reason> {
        if self.is_request_barred(request) {
            return Err(Reason::Crashing);
        }
        let Some(document) = self.document() else { return Err(Reason::Starting) };
        let is_resolved_by_other = request.resolved_by.is_some_and(|by| by != document.version);
        if self.is_outdated(now) || is_resolved_by_other {
            return Err(Reason::Outdated);
        }
        let unless_behind =
            |reason| if self.behind_since.is_some() { Reason::Outdated } else { reason };
        let Some(route) = document.route(&request.host, &request.path) else {
            return Err(unless_behind(Reason::NoRoute));
        };
        match document.access(request.key.as_deref()) {
            Access::Workspace(workspace) => Ok((route.clone(), Some(workspace))),
            Access::Open => Ok((route.clone(), None)),
            Access::Denied if route.public => Ok((route.clone(), None)),
            Access::Denied => Err(unless_behind(Reason::Unauthorized)),
        }
    }
}
