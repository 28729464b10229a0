//! The reducer of a daemon.
//!
//! [`State::apply`] hands each event to the part that owns it:
//!
//! * [`links`](self): other daemons, what they have in force, and how fresh their words are;
//! * `logs`: replicas hosted here, logs followed from afar, and proposals on their way;
//! * `members`: announcements, folded entries and beats;
//! * `placing`: the leader of the zone's placement log;
//! * `serving`: requests from arrival to their final answer;
//! * `operating`: operators' questions and changes.

use std::collections::{BTreeMap, BTreeSet};

use crate::admit::{Queue, TokenBucket};
use crate::clock::Instant;
use crate::control::command::Line;
use crate::count::{Counter, Counters};
use crate::effect::{Effect, Effects};
use crate::event::Event;
use crate::journal;
use crate::membership;
use crate::message::Summary;
use crate::placement::Manager;
use crate::policy::{Policy, USAGE_RECORDING_TIMEOUT};
use crate::replica::message::Voter;
use crate::replica::{Identity, Stored, Timing};
use crate::retry::Budget;
use crate::route::{self, Strategy};
use crate::view::View;
use crate::Name;

mod links;
mod logs;
mod members;
mod operating;
mod placing;
mod serving;

use self::links::Link;
use self::logs::{Followed, Hosted, Pending, Waiter};
use self::members::Publisher;
use self::serving::Active;

/// What a log holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Duty {
    /// The configuration.
    Configuration,
    /// Claims and usage lines.
    Claims,
    /// Placements of an availability zone.
    Placement(Name),
}

/// A replicated log as the settings describe it.
#[derive(Clone, Debug)]
pub struct LogSetup {
    /// Name of the log.
    pub name: Name,
    /// What it holds.
    pub duty: Duty,
    /// Voters of the new log.
    pub founders: Vec<Voter>,
}

/// Another daemon as the settings describe it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Name of the daemon.
    pub daemon: Name,
    /// Its availability zone.
    pub zone: Name,
}

/// What a daemon is and knows from its settings.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Name of this daemon.
    pub daemon: Name,
    /// Grows with each start.
    pub incarnation: u64,
    /// Availability zone of this daemon.
    pub zone: Name,
    /// All availability zones, in the same order everywhere.
    pub zones: Vec<Name>,
    /// Daemons that this one keeps links to.
    pub peers: Vec<Peer>,
    /// All logs.
    pub logs: Vec<LogSetup>,
    /// Weights and limits.
    pub policy: Policy,
    /// Time constants of the logs.
    pub timing: Timing,
    /// How routes are chosen.
    pub choice: Strategy,
}

/// A replica hosted here, as read from its files.
#[derive(Clone, Debug)]
pub struct Opened {
    /// Name of the log.
    pub log: Name,
    /// Identity of the replica.
    pub identity: Identity,
    /// What the files hold.
    pub stored: Stored,
}

/// The state of a daemon.
#[derive(Debug)]
pub struct State {
    setup: Setup,
    links: BTreeMap<Name, Link>,
    logs: BTreeMap<Name, Hosted>,
    followed: Option<Followed>,
    pending: BTreeMap<u64, Pending>,
    waiters: BTreeMap<logs::Position, Waiter>,
    next_ticket: u64,
    view: View,
    members: Option<membership::Table>,
    publisher: Publisher,
    routes: route::Table,
    manager: Option<Manager>,
    requests: BTreeMap<u64, Active>,
    queues: BTreeMap<Name, Queue>,
    rates: BTreeMap<Name, TokenBucket>,
    budget: Budget,
    suspects: BTreeSet<u64>,
    trial_deaths: BTreeMap<Name, Instant>,
    lines: Vec<Line>,
    /// Usage lines that are proposed and not yet recorded.
    billing: Vec<Line>,
    batch: u64,
    summaries: BTreeMap<Name, Summary>,
    tally: Counters,
    started: Instant,
    ready: bool,
    stopping: bool,
    stopped: bool,
    /// Since when a daemon that stops has no request left.
    idle_since: Option<Instant>,
    due: Due,
}

/// When periodic work is next to be done.
#[derive(Debug, Default)]
struct Due {
    ping: Instant,
    beat: Instant,
    follow: Instant,
    placement: Instant,
    bill: Instant,
    sweep: Instant,
    summary: Instant,
}

impl State {
    /// Opens the state of a daemon that hosts the given replicas.
    pub fn open(setup: Setup, opened: Vec<Opened>, now: Instant, effects: &mut Effects) -> State {
        let zone = setup.zone.clone();
        let bound = setup.policy.affinity_bound;
        let routes = route::Table::new(zone, bound, setup.choice);
        let budget = Budget::new(setup.policy.retry_ratio);
        let publisher = Publisher::new(setup.incarnation);
        let mut state = State {
            links: BTreeMap::new(),
            logs: BTreeMap::new(),
            followed: None,
            pending: BTreeMap::new(),
            waiters: BTreeMap::new(),
            next_ticket: 1,
            view: View::default(),
            members: None,
            publisher,
            routes,
            manager: None,
            requests: BTreeMap::new(),
            queues: BTreeMap::new(),
            rates: BTreeMap::new(),
            budget,
            suspects: BTreeSet::new(),
            trial_deaths: BTreeMap::new(),
            lines: Vec::new(),
            billing: Vec::new(),
            batch: 0,
            summaries: BTreeMap::new(),
            tally: Counters::default(),
            started: now,
            ready: false,
            stopping: false,
            stopped: false,
            idle_since: None,
            due: Due::default(),
            setup,
        };
        let daemon = state.setup.daemon.clone();
        let incarnation = state.setup.incarnation;
        effects.push(Effect::Log(journal::Event::Started { daemon, incarnation }));
        state.open_logs(opened, now, effects);
        state.open_members(now);
        state
    }

    /// Applies one event that happened at `now`.
    pub fn apply(&mut self, now: Instant, event: Event, effects: &mut Effects) {
        match event {
            Event::Tick { draw } => self.tick(now, draw, effects),
            Event::LinkUp(hello) => self.link_up(now, hello, effects),
            Event::LinkDown(peer) => self.link_down(&peer, effects),
            Event::Received { from, echo, body, draw } => {
                self.receive(now, &from, echo, body, draw, effects);
            }
            Event::Synced { log, sequence } => self.synced(now, &log, sequence, effects),
            Event::Announced { announcement, stamp } => {
                self.announced(now, *announcement, stamp, effects);
            }
            Event::Arrived(request) => self.arrive(now, *request, effects),
            Event::Ended { request, end } => self.attempt_ended(now, request, end, effects),
            Event::CallerGone(request) => self.caller_gone(now, request, effects),
            Event::Operated { ticket, operation } => {
                self.operate(now, ticket, operation, effects);
            }
            Event::Rejected(reason) => self.count(Counter::Refused(reason), effects),
            Event::Stop => self.stop(effects),
        }
        self.finish_stop(now, effects);
    }

    /// Whether the daemon answers callers, for the platform's balancer.
    pub fn is_serving(&self) -> bool {
        self.ready && !self.stopping
    }

    /// Revision of the configuration in force.
    pub fn revision(&self) -> u64 {
        self.view.revision
    }

    /// Counters since the start.
    pub fn tally(&self) -> &Counters {
        &self.tally
    }

    /// Routes as this daemon knows them.
    pub fn routes(&self) -> &route::Table {
        &self.routes
    }

    fn tick(&mut self, now: Instant, draw: u64, effects: &mut Effects) {
        self.tick_logs(now, draw, effects);
        self.tick_proposals(now, effects);
        self.tick_links(now, effects);
        self.tick_members(now, effects);
        self.tick_placing(now, effects);
        self.tick_serving(now, effects);
        self.update_readiness(now, effects);
    }

    fn stop(&mut self, effects: &mut Effects) {
        if self.stopping {
            return;
        }
        self.stopping = true;
        let running = self.requests.len();
        effects.push(Effect::Log(journal::Event::Stopping { running }));
    }

    fn finish_stop(&mut self, now: Instant, effects: &mut Effects) {
        if !self.stopping || self.stopped || !self.requests.is_empty() {
            return;
        }
        let idle = *self.idle_since.get_or_insert(now);
        if !self.is_billed() {
            if now.since(idle) < USAGE_RECORDING_TIMEOUT {
                return;
            }
            self.give_up_lines(effects);
        }
        self.stopped = true;
        effects.push(Effect::Log(journal::Event::Stopped));
        effects.push(Effect::Stopped);
    }

    fn count(&mut self, counter: Counter, effects: &mut Effects) {
        self.tally.add(counter);
        effects.push(Effect::Count(counter));
    }

    fn log_with(&self, duty: &Duty) -> Option<&LogSetup> {
        self.setup.logs.iter().find(|log| log.duty == *duty)
    }

    /// Placement log of this daemon's zone.
    fn zone_log(&self) -> Option<&LogSetup> {
        self.log_with(&Duty::Placement(self.setup.zone.clone()))
    }

    /// Daemons that host a zone's membership: the replicas in that zone, or all if it has none.
    fn hosts_of_zone(&self, zone: &Name) -> Vec<Name> {
        let Some(log) = self.log_with(&Duty::Placement(zone.clone())) else {
            return Vec::new();
        };
        let all: Vec<Name> =
            log.founders.iter().map(|voter| voter.daemon.as_str().into()).collect();
        let inside: Vec<Name> =
            all.iter().filter(|daemon| self.zone_of(daemon) == Some(zone)).cloned().collect();
        if inside.is_empty() {
            return all;
        }
        inside
    }

    fn zone_of(&self, daemon: &Name) -> Option<&Name> {
        if *daemon == self.setup.daemon {
            return Some(&self.setup.zone);
        }
        let peer = self.setup.peers.iter().find(|peer| peer.daemon == *daemon);
        peer.map(|peer| &peer.zone)
    }
}
