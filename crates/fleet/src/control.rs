//! The reducer of a control daemon.
//!
//! The control daemons replicate one log of configuration documents and serving groups
//! ([`state_machine`]). Each also keeps its own, unreplicated table of endpoints ([`endpoints`]).
//! The leader forms and dissolves groups by orders to endpoints ([`planner`]). Every control daemon
//! sends the state that it has applied to the entry daemons connected to it ([`distribution`]).

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use dotterelhoist_core::clock::Instant;
use dotterelhoist_core::replica::message::Voter;
use dotterelhoist_core::replica::{Identity, Output, Replica, Stored, Timing, Write};
use prost::Message;

use crate::crash::attribution::Attribution;
use crate::document::{Document, Finding};
use crate::endpoint::Heartbeat;
use crate::journal;
use crate::message::{AgedHeartbeat, Body, Departure, Heartbeats, Hello, Replication};
use crate::order::{Order, Outcome};
use crate::patch::Original;
use crate::probe;
use crate::Name;

pub mod crashes;
pub mod departures;
pub mod distribution;
pub mod endpoints;
pub mod limits;
pub mod planner;
pub mod reachability;
pub mod state_machine;

mod applying;
mod operators;
mod peers;
mod storing;

use self::distribution::Distributor;
use self::endpoints::claims::Question;
use self::limits::Limits;
use self::operators::{PendingCall, PendingWrite};
use self::planner::Planner;
use self::reachability::Reachability;
use self::state_machine::{Change, Command, StateMachine};
use self::storing::Storage;

/// Longest lapse of the leader's lease within one term after which the planner keeps its state;
/// after a longer one, the state is reset when the lease is held again.
const LEASE_LAPSE_MAX: Duration = Duration::from_millis(1500);
/// Time between two batches of endpoint heartbeats that are forwarded to the other control daemons.
const FORWARD_INTERVAL: Duration = Duration::from_millis(50);

/// Timing of the replicated log. Elections are fast because a group that has lost a member cannot
/// be replaced without a leader.
const TIMING: Timing = Timing {
    heartbeat: Duration::from_millis(80),
    election: Duration::from_millis(800),
    jitter: Duration::from_millis(600),
    lease: Duration::from_millis(560),
    stagger: Duration::from_millis(600),
    disk_stall_timeout: Duration::from_millis(800),
};

/// Decodes configuration documents from the operators' format.
pub trait Reader {
    /// Decodes and validates a document.
    ///
    /// # Errors
    ///
    /// Returns all findings of the decoding or validation if the document is not valid.
    fn read(&self, bytes: &[u8]) -> Result<Document, Vec<Finding>>;
}

/// Settings of a control daemon.
#[derive(Clone, Debug)]
pub struct Setup {
    /// IP address of this daemon, which is also its name.
    pub daemon: Name,
    /// Availability zone of this daemon.
    pub zone: Name,
    /// Control daemons to connect to at the start.
    pub seeds: Vec<Name>,
    /// Number of voters that the log should have.
    pub voter_count: usize,
    /// Times of the deployment that the planner depends on.
    pub times: planner::Times,
}

/// An event for a control daemon.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed.
    Tick {
        /// Random number from which the next election timeout is derived.
        random: u64,
    },
    /// Another daemon has connected to this one and sent its first frame.
    Connected(Hello),
    /// The connection of the named entry daemon has ended.
    Disconnected(Name),
    /// The connection of this daemon to the named control daemon has come up, for the first time or
    /// again.
    Reached(Name),
    /// The connection of this daemon to the named control daemon has ended.
    Lost(Name),
    /// The settings name these control daemons now.
    SeedsChanged(Vec<Name>),
    /// A message of another daemon has arrived.
    Received {
        /// Name of the sender.
        from: Name,
        /// The message.
        body: Body,
        /// Random number from which the next election timeout is derived.
        random: u64,
    },
    /// All writes up to this sequence number are on stable storage.
    Persisted(u64),
    /// An endpoint has sent a heartbeat to this daemon.
    Heartbeat(Box<Heartbeat>),
    /// An endpoint has deregistered: it has terminated or will terminate soon.
    Deregistered {
        /// Its identity.
        id: Name,
        /// Start of its incarnation in Unix milliseconds, if it has stated it.
        started_unix_ms: Option<u64>,
    },
    /// An endpoint that leaves waits for the answer to the call with which it has said so, until its departure
    /// is stored.
    AwaitDeparture {
        /// Identifies the call in [`Effect::Answer`].
        ticket: u64,
        /// Its identity.
        id: Name,
    },
    /// All writes of departures up to this sequence number are on stable storage.
    DeparturesStored(u64),
    /// An operator has sent a document.
    PutDocument {
        /// Identifies the call in [`Effect::Answer`] and to the leader. No other call of this daemon
        /// has it, also not of its earlier processes.
        ticket: u64,
        /// The operator's bytes.
        body: Vec<u8>,
    },
    /// An operator asks for the document in force.
    GetDocument {
        /// As in [`Event::PutDocument`].
        ticket: u64,
    },
    /// An order to an endpoint has finished.
    OrderFinished {
        /// [`Order::ticket`] of the order.
        ticket: u64,
        /// Result of the order.
        outcome: Outcome,
    },
    /// A probe of an endpoint has finished.
    ProbeFinished {
        /// Identity of the endpoint.
        id: Name,
        /// Address at which it was asked.
        address: Name,
        /// What it has shown.
        outcome: probe::Outcome,
    },
}

/// Answer to an operator, or to an endpoint that leaves.
#[derive(Clone, Debug, PartialEq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Answer {
    /// The document that was put, or one with the same or a higher version, is in force; the departure is stored.
    Accepted,
    /// The document is not valid.
    Invalid(Vec<Finding>),
    /// The document in force.
    Document(Vec<u8>),
    /// No leader could answer in time, the leader could not commit the document, or there is no
    /// document to get. A document that was put may still be committed later. No daemon could store the departure
    /// in time.
    Unavailable,
}

/// An effect for the shell of a control daemon.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send a message to another control daemon, or to a connected entry daemon.
    Send(Name, Body),
    /// Connect to this control daemon and keep the connection open.
    Dial(Name),
    /// Write to stable storage, then report the sequence number with [`Event::Persisted`].
    Persist(u64, Write),
    /// Add departures to those on stable storage, then report the sequence number with
    /// [`Event::DeparturesStored`].
    StoreDepartures(u64, Vec<Departure>),
    /// Send an order to an endpoint, then report its result with [`Event::OrderFinished`].
    Order(Order),
    /// Ask an endpoint for its state, then report the answer with [`Event::ProbeFinished`].
    Probe {
        /// Identity of the endpoint.
        id: Name,
        /// IP address and port.
        address: Name,
    },
    /// Answer the call of an operator, or of an endpoint that leaves, with this ticket.
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
    /// Replicated state up to the last applied entry.
    state_machine: StateMachine,
    /// Decoded form of the newest replicated document that is valid; empty before the first.
    document: Arc<Document>,
    /// The same document as the operator sent it.
    original: Original,
    /// Version of the newest replicated document that was decoded, or found invalid.
    activated: u64,
    /// The newest document that an operator has sent to this daemon, with its decoded form.
    validated: Option<(Original, Arc<Document>)>,
    endpoints: endpoints::Table,
    storage: Storage,
    planner: Planner,
    distributor: Distributor,
    /// Which endpoints ended with lost responses, and under which requests.
    attribution: Attribution,
    /// Limits that endpoints state.
    limits: Limits,
    /// All other control daemons that this one knows of and connects to.
    control_daemons: BTreeSet<Name>,
    /// Those of them to which a connection is up.
    reached: BTreeSet<Name>,
    /// Voters of the log to which this daemon connects, as last logged.
    known_voters: Vec<Voter>,
    reachability: Reachability,
    /// Documents that were proposed as leader but not yet applied, by log index.
    pending_writes: BTreeMap<u64, PendingWrite>,
    /// Calls of operators to this daemon that are not answered yet.
    pending_calls: Vec<PendingCall>,
    /// Heartbeats to forward to the other control daemons, and when they arrived.
    unforwarded_heartbeats: Vec<(Heartbeat, Instant)>,
    /// When the next batch of heartbeats may be forwarded.
    forward_due: Instant,
    /// When this daemon started.
    started: Instant,
    /// Bytes of commands applied since the last snapshot.
    log_bytes: usize,
    /// Whether this daemon was the leader and could serve reads at the last tick.
    leading: bool,
    /// The newest period in which this daemon was leader.
    leadership: Leadership,
    /// Outputs of the replica that are not processed yet.
    outputs: Vec<Output>,
}

/// A period in which a control daemon was leader.
#[derive(Clone, Copy, Debug, Default)]
struct Leadership {
    /// Term of the period; 0 if this daemon has not been leader since it started.
    term: u64,
    /// When the daemon last noticed that it no longer held the lease.
    ended: Instant,
}

impl<Decoder> State<Decoder>
where
    Decoder: Reader,
{
    /// Opens the state of a control daemon from the contents of its log files.
    pub fn open(
        setup: Setup,
        reader: Decoder,
        identity: Identity,
        stored: Stored,
        now: Instant,
        effects: &mut Vec<Effect>,
    ) -> State<Decoder> {
        let mut outputs = Vec::new();
        let mut replica = Replica::open(identity, TIMING, stored, now, &mut outputs);
        replica.set_max_voters(setup.voter_count);
        let mut state = State {
            planner: Planner::new(setup.times),
            distributor: Distributor::default(),
            attribution: Attribution::default(),
            limits: Limits::default(),
            reader,
            replica,
            state_machine: StateMachine::default(),
            document: Arc::default(),
            original: Original::default(),
            activated: 0,
            validated: None,
            endpoints: endpoints::Table::default(),
            storage: Storage::default(),
            control_daemons: BTreeSet::new(),
            reached: BTreeSet::new(),
            known_voters: Vec::new(),
            reachability: Reachability::new(setup.zone.clone()),
            pending_writes: BTreeMap::new(),
            pending_calls: Vec::new(),
            unforwarded_heartbeats: Vec::new(),
            forward_due: now,
            started: now,
            log_bytes: 0,
            leading: false,
            leadership: Leadership::default(),
            outputs,
            setup,
        };
        let seeds = state.setup.seeds.clone();
        state.add_control_daemons(&seeds, effects);
        state.process_outputs(now, effects);
        state
    }

    /// Applies one event that happened at `now`.
    pub fn apply(&mut self, now: Instant, event: Event, effects: &mut Vec<Effect>) {
        match event {
            Event::Tick { random } => self.tick(now, random, effects),
            Event::Connected(hello) => {
                self.reachability.add_daemon(hello.daemon.as_str().into(), &hello.zone, now);
                if hello.control {
                    self.add_control_daemon(&hello.daemon.as_str().into(), effects);
                } else {
                    let entry_daemon: Name = hello.daemon.as_str().into();
                    self.distributor.add_subscriber(entry_daemon.clone());
                    self.greet_subscriber(now, entry_daemon, effects);
                }
            }
            Event::Disconnected(daemon) => self.distributor.remove_subscriber(&daemon),
            Event::Reached(daemon) => {
                self.introduce(&daemon, effects);
                self.send_departures(now, daemon, effects);
            }
            Event::Lost(daemon) => {
                self.reached.remove(&daemon);
            }
            Event::SeedsChanged(seeds) => self.add_control_daemons(&seeds, effects),
            Event::Received { from, body, random } => {
                self.receive(now, from, body, random, effects)
            }
            Event::Persisted(sequence) => {
                self.replica.mark_synced(now, sequence, &mut self.outputs);
            }
            Event::Heartbeat(heartbeat) => self.record_heartbeat(now, *heartbeat, effects),
            Event::Deregistered { id, started_unix_ms } => {
                self.deregister(now, &id, started_unix_ms, effects);
            }
            Event::AwaitDeparture { ticket, id } => self.await_departure(now, ticket, id),
            Event::DeparturesStored(sequence) => self.mark_departures_stored(sequence),
            Event::PutDocument { ticket, body } => self.handle_put(now, ticket, body, effects),
            Event::GetDocument { ticket } => self.handle_call(now, ticket, None, effects),
            Event::OrderFinished { ticket, outcome } => {
                self.planner.record_outcome(now, ticket, outcome, &mut self.endpoints, effects);
            }
            Event::ProbeFinished { id, address, outcome } => {
                let question = Question { id, address };
                self.record_probe(now, &question, outcome, effects);
            }
        }
        self.ask(now, effects);
        self.announce_departures(now, effects);
        self.answer_departures(now, effects);
        self.process_outputs(now, effects);
    }

    /// Whether this daemon leads with a valid lease.
    pub fn leads(&self, now: Instant) -> bool {
        self.replica.leads(now)
    }

    /// Replicated state up to the last entry that this daemon has applied.
    pub fn state_machine(&self) -> &StateMachine {
        &self.state_machine
    }

    /// Endpoints that this daemon knows of.
    pub fn endpoints(&self) -> &endpoints::Table {
        &self.endpoints
    }

    /// Advances the replica, expires writes, calls and endpoints that have timed out, plans the
    /// groups if this daemon is leader, and sends what is due to other daemons.
    fn tick(&mut self, now: Instant, random: u64, effects: &mut Vec<Effect>) {
        self.replica.tick(now, random, &mut self.outputs);
        self.process_outputs(now, effects);
        self.expire_writes(now, effects);
        self.process_calls(now, effects);
        self.forward_heartbeats(now, effects);
        self.endpoints.remove_expired(now);
        self.expire_stored_departures(now);
        self.limits.expire(now, &self.endpoints);
        self.attribute_crashes(now, effects);
        let leads = self.replica.can_serve_reads(now);
        if leads != self.leading {
            self.leading = leads;
            let event = if leads { "leader elected" } else { "leadership lost" };
            let detail = format!("term={}", self.replica.term());
            effects.push(Effect::Log(journal::Event::new(201, event, &*self.setup.daemon, detail)));
            self.update_leadership(now);
        }
        if leads {
            let state_machine = &self.state_machine;
            let term = self.replica.term();
            let mut changes = Vec::new();
            if self.distributor.has_traffic() && !self.state_machine.traffic_seen {
                changes.push(Change::MarkTraffic(true));
            }
            let mut inputs = planner::Inputs {
                now,
                term,
                applied: self.replica.applied(),
                document: &self.document,
                state_machine,
                endpoints: &mut self.endpoints,
                demand: self.distributor.demand(),
                traffic: self.distributor.has_traffic() || self.state_machine.traffic_seen,
                reachability: &self.reachability,
                progress: self.distributor.progress(),
                suspects: self.distributor.suspects(),
            };
            self.planner.plan(&mut inputs, &mut changes, effects);
            for change in changes {
                self.propose(now, change);
            }
            self.process_outputs(now, effects);
        }
        self.send_updates(now, effects);
    }

    /// Handles a message of another daemon.
    fn receive(
        &mut self,
        now: Instant,
        from: Name,
        body: Body,
        random: u64,
        effects: &mut Vec<Effect>,
    ) {
        self.reachability.record_message(&from, now);
        match body {
            Body::Replication(Replication { payload: Some(payload), .. }) => {
                self.replica.receive(now, random, payload, &mut self.outputs);
            }
            Body::Heartbeats(batch) => {
                for AgedHeartbeat { heartbeat, age_ms } in batch.heartbeats {
                    let Some(heartbeat) = heartbeat else { continue };
                    let seen_at = now.before(Duration::from_millis(u64::from(age_ms)));
                    if heartbeat.gone || heartbeat.draining {
                        self.record_teller(from.clone(), heartbeat.id.as_str().into());
                    }
                    self.record_in_table(heartbeat, seen_at);
                }
            }
            Body::Departures(departures) => self.record_departures(now, departures),
            Body::StoredDepartures(departures) => self.confirm_departures(&from, &departures),
            Body::Directory(directory) => self.apply_directory(&directory, effects),
            Body::Report(report) => {
                for limit in &report.limits {
                    self.limits.record(now, limit, &self.endpoints);
                }
                self.attribution.record_report(now, &report);
                self.distributor.record_report(now, &from, report);
            }
            Body::Reserve(reserve) => self.assign_slot(now, from, reserve, effects),
            Body::Fetch(fetch) => self.send_document(from, &fetch, effects),
            Body::Call(call) => self.handle_forwarded_call(now, from, call, effects),
            Body::Reply(reply) => self.handle_forwarded_reply(&from, reply, effects),
            _ => {}
        }
    }

    /// Records that this daemon gained or lost the leadership. A new leader resets its planner,
    /// unless its lease lapsed only briefly within the same term: then no other daemon can have
    /// been leader.
    fn update_leadership(&mut self, now: Instant) {
        let term = self.replica.term();
        if !self.leading {
            self.leadership.ended = now;
            return;
        }
        let only_lapsed =
            self.leadership.term == term && now.since(self.leadership.ended) < LEASE_LAPSE_MAX;
        self.leadership.term = term;
        if !only_lapsed {
            self.planner.reset(now);
        }
    }

    /// Records a heartbeat that an endpoint sent to this daemon, and queues it for the other
    /// control daemons. One of an endpoint that drains is sent at once, as a deregistration.
    fn record_heartbeat(&mut self, now: Instant, heartbeat: Heartbeat, effects: &mut Vec<Effect>) {
        if self.lacks_model_fields(&heartbeat) {
            let event = journal::Event::new(212, "heartbeat refused", &*heartbeat.id, "no domain");
            effects.push(Effect::Log(event));
            return;
        }
        let draining = heartbeat.draining;
        self.unforwarded_heartbeats.push((heartbeat.clone(), now));
        self.record_in_table(heartbeat, now);
        if draining {
            self.forward_due = now;
            self.forward_heartbeats(now, effects);
        }
    }

    /// Records a heartbeat that an endpoint has sent to any control daemon, received at `seen_at`.
    fn record_in_table(&mut self, heartbeat: Heartbeat, seen_at: Instant) {
        if self.lacks_model_fields(&heartbeat) {
            return;
        }
        let named = self.document.services.contains_key(&*heartbeat.service);
        self.endpoints.record_heartbeat(heartbeat, seen_at, named);
    }

    /// Whether a heartbeat names a service with model engines but lacks what these send. It comes from
    /// another writer, and names no endpoint to use.
    fn lacks_model_fields(&self, heartbeat: &Heartbeat) -> bool {
        let service = self.document.services.get(&*heartbeat.service);
        let serves_models = service.is_some_and(|service| service.engine.is_some());
        serves_models && heartbeat.domain.is_empty() && !heartbeat.gone
    }

    /// Marks an endpoint as gone, and tells the other control daemons at once: the endpoint stops
    /// when it has the answer, also if this daemon ends.
    fn deregister(
        &mut self,
        now: Instant,
        id: &str,
        started: Option<u64>,
        effects: &mut Vec<Effect>,
    ) {
        if let Some(heartbeat) = self.endpoints.deregister(now, id, started) {
            self.unforwarded_heartbeats.push((heartbeat, now));
            self.forward_due = now;
            self.forward_heartbeats(now, effects);
        }
    }

    /// Records the result of a probe. Repeated failures are logged only once, until the endpoint
    /// responds or its zone becomes reachable again.
    fn record_probe(
        &mut self,
        now: Instant,
        question: &Question,
        outcome: probe::Outcome,
        effects: &mut Vec<Effect>,
    ) {
        let Question { id, address } = question;
        if let Some(verdict) = self.endpoints.decide(now, question, &outcome) {
            let detail = format!("address={address} verdict={verdict}");
            effects.push(Effect::Log(journal::Event::new(217, "claim decided", &**id, detail)));
        }
        match &outcome {
            probe::Outcome::Report(heartbeat) => {
                self.attribution.record_answer(id, Some(heartbeat.started_unix_ms));
            }
            probe::Outcome::Answered => self.attribution.record_answer(id, None),
            probe::Outcome::Refused | probe::Outcome::Replaced | probe::Outcome::Unanswered => {}
        }
        let Some(endpoint) = self.endpoints.find_mut(id) else { return };
        if *endpoint.heartbeat.address != **address {
            return;
        }
        let is_sealing = match &outcome {
            probe::Outcome::Report(report) => self.planner.record_report(now, id, report),
            _ => false,
        };
        let refused = match outcome {
            probe::Outcome::Refused | probe::Outcome::Replaced => true,
            probe::Outcome::Unanswered => false,
            probe::Outcome::Answered => return endpoint.record_answer(now),
            probe::Outcome::Report(report) => {
                return endpoint.record_report(now, *report, is_sealing)
            }
        };
        let since = self.reachability.reachable_since(&endpoint.heartbeat.zone);
        if endpoint.record_failure(now, since, refused) {
            let detail =
                format!("refused={refused} age_ms={}", now.since(endpoint.last_seen).as_millis());
            let event = journal::Event::new(211, "endpoint does not answer", &**id, detail);
            effects.push(Effect::Log(event));
        }
    }

    /// Sends the probes that are due to decide what heartbeats claim of other endpoints.
    fn ask(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        for Question { id, address } in self.endpoints.take_questions(now) {
            effects.push(Effect::Probe { id, address });
        }
    }

    /// Proposes a change to the log; returns its index, or none if this daemon does not lead.
    fn propose(&mut self, now: Instant, change: Change) -> Option<u64> {
        let command = Command { change: Some(change) };
        self.replica.propose(now, command.encode_to_vec(), &mut self.outputs)
    }

    /// Sends the queued heartbeats with their ages to the other control daemons, when they are due.
    fn forward_heartbeats(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        if self.unforwarded_heartbeats.is_empty() || now < self.forward_due {
            return;
        }
        self.forward_due = now + FORWARD_INTERVAL;
        let aged = self.unforwarded_heartbeats.drain(..).map(|(heartbeat, at)| AgedHeartbeat {
            heartbeat: Some(heartbeat),
            age_ms: now.since(at).as_millis() as u32,
        });
        let batch = Heartbeats { heartbeats: aged.collect() };
        for daemon in &self.control_daemons {
            effects.push(Effect::Send(daemon.clone(), Body::Heartbeats(batch.clone())));
        }
    }
}
