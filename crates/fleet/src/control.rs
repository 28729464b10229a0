//! The reducer of a control daemon.
//!
//! Control daemons keep one replicated log of documents and group placements
//! ([`machine`]), and each keeps its own picture of the endpoints ([`endpoints`]). The leader plans
//! groups and gives orders ([`planner`]); every control daemon feeds entry daemons with what it has
//! applied ([`distribution`]).

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use dotterelhoist_core::clock::Instant;
use dotterelhoist_core::replica::message::{Entry, Install, Voter};
use dotterelhoist_core::replica::{Identity, Output, Replica, Stored, Timing, Write};
use prost::Message;

use crate::document::{Document, Finding};
use crate::endpoint::Beat;
use crate::journal;
use crate::message::{Beats, Body, Heard, Hello, Replication};
use crate::order::{Order, Outcome};
use crate::Name;

pub mod distribution;
pub mod endpoints;
pub mod machine;
pub mod planner;
pub mod reachability;

mod operators;

use self::distribution::Feed;
use self::machine::{Change, Command, Machine};
use self::operators::{Parked, Waiting};
use self::planner::Planner;
use self::reachability::Reachability;

/// Entries after which the log is replaced by a snapshot.
const COMPACT_ENTRIES: u64 = 400;
/// Bytes of commands after which the log is replaced by a snapshot.
const COMPACT_BYTES: usize = 8 << 20;
/// Time for which a lease may lapse without the plan beginning anew.
const LAPSE_MOST: Duration = Duration::from_millis(1500);
/// Time between two batches of heartbeats to the other control daemons.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(50);

/// Time constants of the log: a group that loses a member waits for a leader, so leaders change fast.
const TIMING: Timing = Timing {
    heartbeat: Duration::from_millis(80),
    election: Duration::from_millis(800),
    jitter: Duration::from_millis(600),
    lease: Duration::from_millis(560),
    stagger: Duration::from_millis(600),
    disk_patience: Duration::from_millis(800),
};

/// Reads a document from an operator's bytes.
pub trait Reader {
    /// Decodes and validates a document.
    ///
    /// # Errors
    ///
    /// Returns all findings.
    fn read(&self, bytes: &[u8]) -> Result<Document, Vec<Finding>>;
}

/// What a control daemon knows from its settings.
#[derive(Clone, Debug)]
pub struct Setup {
    /// IP address, which is also its name.
    pub daemon: Name,
    /// Availability zone.
    pub zone: Name,
    /// Voters of a new log.
    pub founders: Vec<Voter>,
    /// Control daemons that are known from the settings.
    pub seeds: Vec<Name>,
    /// Number of voters to have.
    pub voters: usize,
    /// Times that the planner works with.
    pub times: planner::Times,
}

/// An event for a control daemon.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed; `draw` is a random number.
    Tick {
        /// Random number.
        draw: u64,
    },
    /// Another daemon has connected.
    Connected(Hello),
    /// The connection of an entry daemon has ended.
    Disconnected(Name),
    /// A daemon has sent something.
    Received {
        /// Name of the daemon.
        from: Name,
        /// What it sent.
        body: Body,
        /// Random number.
        draw: u64,
    },
    /// Writes up to a sequence number are on stable storage.
    Persisted(u64),
    /// An endpoint has sent a heartbeat.
    Heartbeat(Box<Beat>),
    /// An endpoint has said that it ends.
    Deregistered(Name),
    /// An operator has sent a document.
    PutDocument {
        /// Number that the answer carries.
        ticket: u64,
        /// The operator's bytes.
        body: Vec<u8>,
    },
    /// An operator asks for the document.
    GetDocument {
        /// Number that the answer carries.
        ticket: u64,
    },
    /// An order has come to an end.
    OrderFinished {
        /// Number of the order.
        ticket: u64,
        /// What became of it.
        outcome: Outcome,
    },
    /// A probe has come to an end.
    ProbeFinished {
        /// Identity of the endpoint.
        id: Name,
        /// What it says of itself; none if it did not answer.
        beat: Option<Box<Beat>>,
        /// Whether nothing listens at its address.
        refused: bool,
    },
}

/// Answer to an operator.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// The document, or one with a higher version, is in force.
    Accepted,
    /// The document is not valid.
    Invalid(Vec<Finding>),
    /// The document in force.
    Document(Vec<u8>),
    /// Nobody can answer for certain now.
    Unavailable,
}

/// An effect for the shell of a control daemon.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send to another control daemon, or to an entry daemon that is connected.
    Send(Name, Body),
    /// Keep a connection to this control daemon.
    Dial(Name),
    /// Write and sync, then report the sequence number.
    Persist(u64, Write),
    /// Give an order.
    Order(Order),
    /// Ask an endpoint for its state.
    Probe {
        /// Identity of the endpoint.
        id: Name,
        /// IP address and port.
        address: Name,
    },
    /// Answer an operator.
    Answer(u64, Answer),
    /// Write a log line.
    Log(journal::Event),
}

/// The state of a control daemon.
#[derive(Debug)]
pub struct State<Decoder> {
    setup: Setup,
    reader: Decoder,
    replica: Replica,
    machine: Machine,
    document: Arc<Document>,
    endpoints: endpoints::Table,
    planner: Planner,
    feed: Feed,
    controls: BTreeSet<Name>,
    reachability: Reachability,
    waiting: BTreeMap<u64, Waiting>,
    parked: Vec<Parked>,
    gossip: Vec<(Beat, Instant)>,
    gossip_due: Instant,
    /// When this daemon started.
    started: Instant,
    log_bytes: usize,
    led: bool,
    /// Term in which this daemon led last, and when its lease ran out.
    lead: Lead,
    outputs: Vec<Output>,
}

/// The last lead of a control daemon.
#[derive(Clone, Copy, Debug, Default)]
struct Lead {
    term: u64,
    ended: Instant,
}

impl<Decoder> State<Decoder>
where
    Decoder: Reader,
{
    /// Opens the state of a control daemon from what its files hold.
    pub fn open(
        setup: Setup,
        reader: Decoder,
        identity: Identity,
        stored: Stored,
        now: Instant,
        effects: &mut Vec<Effect>,
    ) -> State<Decoder> {
        let mut outputs = Vec::new();
        let founders = setup.founders.clone();
        let timing = TIMING;
        let mut replica = Replica::open(identity, founders, timing, stored, now, &mut outputs);
        replica.set_capacity(setup.voters);
        let mut state = State {
            planner: Planner::new(setup.times),
            feed: Feed::default(),
            reader,
            replica,
            machine: Machine::default(),
            document: Arc::default(),
            endpoints: endpoints::Table::default(),
            controls: BTreeSet::new(),
            reachability: Reachability::new(setup.zone.clone()),
            waiting: BTreeMap::new(),
            parked: Vec::new(),
            gossip: Vec::new(),
            gossip_due: now,
            started: now,
            log_bytes: 0,
            led: false,
            lead: Lead::default(),
            outputs,
            setup,
        };
        for seed in state.setup.seeds.clone() {
            state.meet(&seed, effects);
        }
        state.carry_out(effects);
        state
    }

    /// Applies one event that happened at `now`.
    pub fn apply(&mut self, now: Instant, event: Event, effects: &mut Vec<Effect>) {
        match event {
            Event::Tick { draw } => self.tick(now, draw, effects),
            Event::Connected(hello) => {
                self.reachability.add_daemon(hello.daemon.as_str().into(), &hello.zone, now);
                if hello.control {
                    self.meet(&hello.daemon.as_str().into(), effects);
                } else {
                    self.feed.open(hello.daemon.as_str().into());
                }
            }
            Event::Disconnected(daemon) => self.feed.close(&daemon),
            Event::Received { from, body, draw } => self.receive(now, from, body, draw, effects),
            Event::Persisted(sequence) => {
                self.replica.synced(now, sequence, &mut self.outputs);
            }
            Event::Heartbeat(beat) => self.beat(now, *beat),
            Event::Deregistered(id) => self.deregistered(now, &id),
            Event::PutDocument { ticket, body } => self.operate(now, ticket, Some(body), effects),
            Event::GetDocument { ticket } => self.operate(now, ticket, None, effects),
            Event::OrderFinished { ticket, outcome } => {
                self.planner.ordered(now, ticket, outcome, &mut self.endpoints, effects);
            }
            Event::ProbeFinished { id, beat, refused } => {
                self.probed(now, &id, beat, refused, effects)
            }
        }
        self.carry_out(effects);
        if self.replica.fresh(now) {
            self.feed_documents(now, effects);
        }
    }

    /// Whether this daemon leads with a valid lease.
    pub fn leads(&self, now: Instant) -> bool {
        self.replica.leads(now)
    }

    /// The replicated state as applied here.
    pub fn machine(&self) -> &Machine {
        &self.machine
    }

    /// Endpoints as known here.
    pub fn endpoints(&self) -> &endpoints::Table {
        &self.endpoints
    }

    fn tick(&mut self, now: Instant, draw: u64, effects: &mut Vec<Effect>) {
        self.replica.tick(now, draw, &mut self.outputs);
        self.carry_out(effects);
        self.expire_waiting(now, effects);
        self.serve_parked(now, effects);
        self.send_gossip(now, effects);
        self.endpoints.forget(now);
        let leads = self.replica.reads(now);
        if leads != self.led {
            self.led = leads;
            let event = if leads { "leader elected" } else { "lead lost" };
            let detail = format!("term={}", self.replica.term());
            effects.push(Effect::Log(journal::Event::new(201, event, &*self.setup.daemon, detail)));
            self.note_lead(now);
        }
        if leads {
            let machine = &self.machine;
            let term = self.replica.term();
            let mut changes = Vec::new();
            if self.feed.traffic() && !self.machine.begun {
                changes.push(Change::Begin(true));
            }
            let mut field = planner::Field {
                now,
                term,
                document: &self.document,
                machine,
                endpoints: &mut self.endpoints,
                demand: self.feed.demand(),
                traffic: self.feed.traffic() || self.machine.begun,
                reachability: &self.reachability,
                progress: self.feed.progress(),
                suspects: self.feed.suspects(),
            };
            self.planner.plan(&mut field, &mut changes, effects);
            for change in changes {
                self.propose(now, change);
            }
            self.carry_out(effects);
        }
        self.feed_entries(now, effects);
    }

    fn receive(
        &mut self,
        now: Instant,
        from: Name,
        body: Body,
        draw: u64,
        effects: &mut Vec<Effect>,
    ) {
        self.reachability.record_message(&from, now);
        match body {
            Body::Replication(Replication { payload: Some(payload), .. }) => {
                self.replica.receive(now, draw, payload, &mut self.outputs);
            }
            Body::Beats(beats) => {
                for Heard { beat, age_ms } in beats.beats {
                    let Some(beat) = beat else { continue };
                    let heard = now.before(Duration::from_millis(u64::from(age_ms)));
                    self.endpoints.hear(beat, heard);
                }
            }
            Body::Report(report) => self.feed.report(now, &from, report),
            Body::Ask(ask) => self.take_ask(now, from, ask, effects),
            Body::Told(told) => self.take_told(told, effects),
            _ => {}
        }
    }

    /// Notes that this daemon begins or ceases to lead. The plan begins anew, unless the lease of the same
    /// term has only lapsed for a moment: then nobody else can have led.
    fn note_lead(&mut self, now: Instant) {
        let term = self.replica.term();
        if !self.led {
            self.lead.ended = now;
            return;
        }
        let lapsed = self.lead.term == term && now.since(self.lead.ended) < LAPSE_MOST;
        self.lead.term = term;
        if !lapsed {
            self.planner.reset(now);
        }
    }

    /// Takes in a heartbeat that was sent to this daemon, and passes it on.
    fn beat(&mut self, now: Instant, beat: Beat) {
        self.gossip.push((beat.clone(), now));
        self.endpoints.hear(beat, now);
    }

    fn deregistered(&mut self, now: Instant, id: &str) {
        if let Some(beat) = self.endpoints.deregister(id) {
            self.gossip.push((beat, now));
        }
    }

    fn probed(
        &mut self,
        now: Instant,
        id: &Name,
        beat: Option<Box<Beat>>,
        refused: bool,
        effects: &mut Vec<Effect>,
    ) {
        let Some(known) = self.endpoints.find_mut(id) else { return };
        if let Some(said) = beat {
            known.heard = now;
            known.silent = None;
            known.beat.membership = said.membership;
            known.beat.staged = said.staged;
            return;
        }
        let since = self.reachability.reachable_since(&known.beat.zone);
        if known.silent.is_none_or(|at| at < since) {
            known.silent = Some(now);
            let detail = format!("refused={refused} age_ms={}", now.since(known.heard).as_millis());
            let event = journal::Event::new(211, "endpoint does not answer", &**id, detail);
            effects.push(Effect::Log(event));
        }
    }

    fn propose(&mut self, now: Instant, change: Change) -> Option<u64> {
        let command = Command { change: Some(change) };
        self.replica.propose(now, command.encode_to_vec(), &mut self.outputs)
    }

    fn send_gossip(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        if self.gossip.is_empty() || now < self.gossip_due {
            return;
        }
        self.gossip_due = now + GOSSIP_INTERVAL;
        let beats = self
            .gossip
            .drain(..)
            .map(|(beat, at)| Heard { beat: Some(beat), age_ms: now.since(at).as_millis() as u32 });
        let beats = Beats { beats: beats.collect() };
        for control in &self.controls {
            effects.push(Effect::Send(control.clone(), Body::Beats(beats.clone())));
        }
    }

    /// Keeps a connection to a control daemon from now on.
    fn meet(&mut self, daemon: &Name, effects: &mut Vec<Effect>) {
        if *daemon == self.setup.daemon || !self.controls.insert(daemon.clone()) {
            return;
        }
        effects.push(Effect::Dial(daemon.clone()));
    }

    fn carry_out(&mut self, effects: &mut Vec<Effect>) {
        while !self.outputs.is_empty() {
            for output in std::mem::take(&mut self.outputs) {
                self.carry_out_one(output, effects);
            }
            self.compact();
        }
    }

    fn carry_out_one(&mut self, output: Output, effects: &mut Vec<Effect>) {
        match output {
            Output::Persist(sequence, write) => effects.push(Effect::Persist(sequence, write)),
            Output::Send(to, payload) => {
                self.meet(&to, effects);
                let from = self.setup.daemon.to_string();
                let payload = Some(payload);
                effects.push(Effect::Send(to, Body::Replication(Replication { from, payload })));
            }
            Output::Apply(entry) => self.apply_entry(entry, effects),
            Output::Restore(install) => self.restore(install, effects),
        }
    }

    fn apply_entry(&mut self, entry: Entry, effects: &mut Vec<Effect>) {
        for voter in &entry.voters {
            self.meet(&voter.daemon.as_str().into(), effects);
        }
        self.log_bytes += entry.command.len();
        let command = Command::decode(entry.command.as_slice()).unwrap_or_default();
        if let Some(change) = command.change {
            let version = self.machine.version();
            self.machine.apply(entry.index, change);
            if self.machine.version() != version {
                self.take_document(effects);
            }
        }
        self.settle(entry.index, entry.term, effects);
    }

    fn restore(&mut self, install: Install, effects: &mut Vec<Effect>) {
        let Ok(machine) = Machine::decode(install.machine.as_slice()) else {
            let event =
                journal::Event::new(202, "snapshot does not decode", &*self.setup.daemon, "");
            effects.push(Effect::Log(event));
            return;
        };
        self.machine = machine;
        self.take_document(effects);
    }

    fn take_document(&mut self, effects: &mut Vec<Effect>) {
        let Some(put) = &self.machine.document else { return };
        match self.reader.read(&put.body) {
            Ok(document) => self.document = Arc::new(document),
            Err(findings) => {
                let detail = findings.first().map(ToString::to_string).unwrap_or_default();
                let event = journal::Event::new(203, "stored document invalid", "log", detail);
                effects.push(Effect::Log(event));
                return;
            }
        }
        let detail = format!("version={}", put.version);
        let event = journal::Event::new(222, "document in force", &*self.setup.daemon, detail);
        effects.push(Effect::Log(event));
    }

    fn compact(&mut self) {
        if self.replica.tail_len() < COMPACT_ENTRIES && self.log_bytes < COMPACT_BYTES {
            return;
        }
        self.log_bytes = 0;
        let machine = self.machine.encode_to_vec();
        self.replica.compact(machine, &mut self.outputs);
    }
}
