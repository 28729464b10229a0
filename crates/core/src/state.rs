//! The reducer of a daemon.
//!
//! [`State::apply`] passes each event to the submodule that handles it:
//!
//! * `links`: connections to other daemons, their configuration revision, and when they were last
//!   known to be alive;
//! * `logs`: replicas hosted by this daemon, the configuration log fetched from other daemons, and
//!   proposals in flight;
//! * `members`: announcements of endpoints, and the aggregated route entries that daemons exchange;
//! * `placing`: the placement manager, which runs on the leader of the zone's placement log;
//! * `serving`: requests from arrival to their final answer;
//! * `operating`: queries and changes of operators.

use std::collections::{BTreeMap, BTreeSet};

use crate::admit::{Queue, TokenBucket};
use crate::clock::Instant;
use crate::control::command::UsageLine;
use crate::count::{Counter, Counters};
use crate::effect::{Effect, Effects};
use crate::event::Event;
use crate::journal;
use crate::membership;
use crate::message::Summary;
use crate::placement::Manager;
use crate::policy::{Policy, STOP_NOTICE, USAGE_RECORDING_TIMEOUT};
use crate::replica::{Identity, Stored, Timing};
use crate::retry::Budget;
use crate::route::{self, Strategy};
use crate::ticket;
use crate::view::View;
use crate::Name;

mod links;
mod logs;
mod members;
mod operating;
mod placing;
mod serving;

use self::links::Link;
use self::logs::{FetchedLog, HostedLog, Proposal, Waiter};
use self::members::Publisher;
use self::serving::ActiveRequest;

/// Kind of data that a log holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Content {
    /// Configuration objects.
    Configuration,
    /// Claims, suspected requests and usage lines.
    Claims,
    /// Placements in one availability zone.
    Placement(Name),
}

/// Settings of a replicated log.
#[derive(Clone, Debug)]
pub struct LogSetup {
    /// Name of the log.
    pub name: Name,
    /// Kind of data that it holds.
    pub content: Content,
    /// Daemons that are to host a replica according to the settings. Who votes is known to the
    /// replicas alone.
    pub hosts: Vec<Name>,
}

/// Settings of another daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Name of the daemon.
    pub daemon: Name,
    /// Its availability zone.
    pub zone: Name,
}

/// Settings of a daemon.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Name of this daemon.
    pub daemon: Name,
    /// Time of the daemon's start in milliseconds since the Unix epoch; grows with each start.
    pub incarnation: u64,
    /// Random number at which the tickets of this start begin.
    pub first_ticket: u64,
    /// Availability zone of this daemon.
    pub zone: Name,
    /// All availability zones, in the same order on each daemon.
    pub zones: Vec<Name>,
    /// Daemons that this one keeps connections to.
    pub peers: Vec<Peer>,
    /// All logs.
    pub logs: Vec<LogSetup>,
    /// Weights and limits of admission, retries, routing and placement.
    pub policy: Policy,
    /// Timeouts and intervals of the log replicas.
    pub timing: Timing,
    /// Strategy by which routes are chosen.
    pub strategy: Strategy,
}

/// A replica hosted by this daemon, as read from its files.
#[derive(Clone, Debug)]
pub struct StoredReplica {
    /// Name of the log.
    pub log: Name,
    /// Identity of the replica.
    pub identity: Identity,
    /// Snapshot and entries that the files hold.
    pub stored: Stored,
}

/// The state of a daemon.
#[derive(Debug)]
pub struct State {
    setup: Setup,
    /// Connections that are open, by daemon.
    links: BTreeMap<Name, Link>,
    /// Logs that this daemon hosts a replica of.
    logs: BTreeMap<Name, HostedLog>,
    /// The configuration log, if this daemon hosts no replica of it.
    fetched: Option<FetchedLog>,
    /// Commands whose outcome is not known yet, by ticket.
    proposals: BTreeMap<u64, Proposal>,
    /// Tickets to resolve when an entry that this daemon appended as leader is applied.
    waiters: BTreeMap<logs::Position, Waiter>,
    /// Tickets of proposals.
    tickets: ticket::Sequence,
    /// The configuration in force, parsed.
    view: View,
    /// Endpoints of the zone, if this daemon is a host of the zone.
    endpoint_table: Option<membership::Table>,
    publisher: Publisher,
    routes: route::Table,
    /// Placement manager, if this daemon is a host of the zone; used only while the daemon leads
    /// the zone's placement log.
    manager: Option<Manager>,
    /// Requests without a final answer, by the number that the I/O layer gave them.
    requests: BTreeMap<u64, ActiveRequest>,
    /// Waiting requests by service.
    queues: BTreeMap<Name, Queue>,
    /// Rate limits by workspace.
    rate_limits: BTreeMap<Name, TokenBucket>,
    retry_budget: Budget,
    /// Content hashes of the suspected requests.
    suspects: BTreeSet<u64>,
    /// When a trial last crashed the endpoint of each route.
    trial_crashes: BTreeMap<Name, Instant>,
    /// Usage lines that are not proposed yet.
    queued_usage: Vec<UsageLine>,
    /// Usage lines that are proposed but not known to be recorded.
    proposed_usage: Vec<UsageLine>,
    /// Number of the last batch of usage lines; the first one is 1.
    last_batch: u64,
    /// Newest summary of each availability zone.
    summaries: BTreeMap<Name, Summary>,
    counters: Counters,
    /// When the daemon started.
    started: Instant,
    /// Whether the daemon has caught up with the configuration; never reset.
    ready: bool,
    /// Whether a graceful shutdown was requested.
    stopping: bool,
    /// Whether the graceful shutdown is complete.
    stopped: bool,
    /// Since when a stopping daemon has had no requests.
    idle_since: Option<Instant>,
    schedule: Schedule,
}

/// When each kind of periodic work is next due.
#[derive(Debug, Default)]
struct Schedule {
    /// Pings to all linked daemons.
    ping: Instant,
    /// Ages and loads of route entries, sent to other daemons.
    refresh: Instant,
    /// Fetching entries of the configuration log.
    fetch: Instant,
    /// Planning placements.
    placement: Instant,
    /// Proposing a batch of usage lines.
    usage: Instant,
    /// Closing claims, suspicions and trials that have been open for too long.
    sweep: Instant,
    /// Sending a summary of the zone.
    summary: Instant,
}

impl State {
    /// Creates the state of a daemon that hosts the given replicas.
    pub fn open(
        setup: Setup,
        replicas: Vec<StoredReplica>,
        now: Instant,
        effects: &mut Effects,
    ) -> State {
        let zone = setup.zone.clone();
        let affinity_bound = setup.policy.affinity_bound;
        let routes = route::Table::new(zone, affinity_bound, setup.strategy);
        let retry_budget = Budget::new(setup.policy.retry_ratio);
        let publisher = Publisher::new(setup.incarnation);
        let mut state = State {
            links: BTreeMap::new(),
            logs: BTreeMap::new(),
            fetched: None,
            proposals: BTreeMap::new(),
            waiters: BTreeMap::new(),
            tickets: ticket::Sequence::open(setup.first_ticket),
            view: View::default(),
            endpoint_table: None,
            publisher,
            routes,
            manager: None,
            requests: BTreeMap::new(),
            queues: BTreeMap::new(),
            rate_limits: BTreeMap::new(),
            retry_budget,
            suspects: BTreeSet::new(),
            trial_crashes: BTreeMap::new(),
            queued_usage: Vec::new(),
            proposed_usage: Vec::new(),
            last_batch: 0,
            summaries: BTreeMap::new(),
            counters: Counters::default(),
            started: now,
            ready: false,
            stopping: false,
            stopped: false,
            idle_since: None,
            schedule: Schedule::default(),
            setup,
        };
        let daemon = state.setup.daemon.clone();
        let incarnation = state.setup.incarnation;
        effects.push(Effect::Log(journal::Event::Started { daemon, incarnation }));
        state.open_logs(replicas, now, effects);
        state.open_endpoint_table(now);
        state
    }

    /// Applies one event that happened at `now`.
    pub fn apply(&mut self, now: Instant, event: Event, effects: &mut Effects) {
        match event {
            Event::Tick { random } => self.tick(now, random, effects),
            Event::LinkUp(hello) => self.add_link(now, hello, effects),
            Event::LinkDown(peer) => self.remove_link(&peer, effects),
            Event::MessageReceived { from, echo, body, random } => {
                self.receive_message(now, &from, echo, body, random, effects);
            }
            Event::Synced { log, sequence } => self.record_sync(now, &log, sequence, effects),
            Event::Announced { announcement, stamp } => {
                self.record_announcement(now, *announcement, stamp, effects);
            }
            Event::RequestArrived(request) => self.accept_request(now, *request, effects),
            Event::AttemptEnded { request, end } => self.end_attempt(now, request, end, effects),
            Event::CallerGone(request) => self.cancel_undispatched(now, request, effects),
            Event::OperationRequested { ticket, operation } => {
                self.handle_operation(now, ticket, operation, effects);
            }
            Event::RequestRefused(reason) => self.count(Counter::Refused(reason), effects),
            Event::Stop => self.begin_stop(effects),
        }
        self.finish_stop(now, effects);
    }

    /// Whether the daemon accepts requests; the platform's load balancer polls this.
    pub fn is_serving(&self) -> bool {
        self.ready && !self.stopping
    }

    /// Revision of the configuration in force.
    pub fn revision(&self) -> u64 {
        self.view.revision
    }

    /// Counters since the daemon started.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Group instances and plain endpoints that requests can be sent to.
    pub fn routes(&self) -> &route::Table {
        &self.routes
    }

    /// Runs the periodic work of all parts.
    fn tick(&mut self, now: Instant, random: u64, effects: &mut Effects) {
        self.tick_logs(now, random, effects);
        self.tick_proposals(now, effects);
        self.tick_links(now, effects);
        self.tick_members(now, effects);
        self.tick_placing(now, effects);
        self.tick_serving(now, effects);
        self.update_readiness(now, effects);
    }

    /// Begins a graceful shutdown: new requests are refused, those in flight run to their end. The
    /// linked daemons are told at once, because those that stop too wait for this one.
    fn begin_stop(&mut self, effects: &mut Effects) {
        if self.stopping {
            return;
        }
        self.stopping = true;
        let running = self.requests.len();
        effects.push(Effect::Log(journal::Event::Stopping { running }));
        self.send_pings(effects);
    }

    /// Completes a graceful shutdown once no request is left and all usage lines are recorded.
    /// Lines that are not recorded within [`USAGE_RECORDING_TIMEOUT`] after the last request are
    /// written to the daemon's log instead. For at most that time the daemon also waits for other
    /// stopping daemons that need its replica of a claim log.
    fn finish_stop(&mut self, now: Instant, effects: &mut Effects) {
        if !self.stopping || self.stopped || !self.requests.is_empty() {
            return;
        }
        let idle = *self.idle_since.get_or_insert(now);
        if !self.is_usage_recorded() {
            if now.since(idle) < USAGE_RECORDING_TIMEOUT {
                return;
            }
            self.log_unrecorded_usage(effects);
        }
        if self.is_needed_by_stopping_peer(now, idle) {
            return;
        }
        self.stopped = true;
        effects.push(Effect::Log(journal::Event::Stopped));
        effects.push(Effect::Stopped);
    }

    /// Whether no request is left and all usage lines are recorded.
    fn is_finished(&self) -> bool {
        self.requests.is_empty() && self.is_usage_recorded()
    }

    /// Whether this daemon has a replica of a claim log that a linked daemon, which is stopping
    /// too, needs to end its requests or record its usage lines. `idle` is the time at which this
    /// daemon ended its last request; within [`STOP_NOTICE`] after it the answer isn't known yet.
    fn is_needed_by_stopping_peer(&self, now: Instant, idle: Instant) -> bool {
        let waited = now.since(idle);
        let has_replica = self.logs.values().any(|hosted| hosted.content == Content::Claims);
        if !has_replica || waited >= USAGE_RECORDING_TIMEOUT {
            return false;
        }
        let mut live = self.links.values().filter(|link| link.is_live(now)).peekable();
        if waited < STOP_NOTICE && live.peek().is_some() {
            return true;
        }
        live.any(|link| link.finishing)
    }

    /// Increments a counter, here for the status and through an effect for the metrics.
    fn count(&mut self, counter: Counter, effects: &mut Effects) {
        self.counters.add(counter);
        effects.push(Effect::Count(counter));
    }

    /// The log that holds the given data.
    fn log_holding(&self, content: &Content) -> Option<&LogSetup> {
        self.setup.logs.iter().find(|log| log.content == *content)
    }

    /// Placement log of this daemon's zone.
    fn placement_log(&self) -> Option<&LogSetup> {
        self.log_holding(&Content::Placement(self.setup.zone.clone()))
    }

    /// Hosts of a zone, which keep the table of its endpoints: the hosts of its placement log that
    /// are in the zone, or all of them if none is in the zone.
    fn hosts_of_zone(&self, zone: &Name) -> Vec<Name> {
        let Some(log) = self.log_holding(&Content::Placement(zone.clone())) else {
            return Vec::new();
        };
        let is_inside = |daemon: &&Name| self.zone_of(daemon) == Some(zone);
        let inside: Vec<Name> = log.hosts.iter().filter(is_inside).cloned().collect();
        if inside.is_empty() {
            return log.hosts.clone();
        }
        inside
    }

    /// Availability zone of a daemon, if the settings name it.
    fn zone_of(&self, daemon: &Name) -> Option<&Name> {
        if *daemon == self.setup.daemon {
            return Some(&self.setup.zone);
        }
        let peer = self.setup.peers.iter().find(|peer| peer.daemon == *daemon);
        peer.map(|peer| &peer.zone)
    }
}
