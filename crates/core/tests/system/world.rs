//! A deterministic simulation of the daemons of several zones, with endpoints, callers and
//! operators.
//!
//! The daemons run the real [`State`]; their effects become actions in a queue that is ordered by
//! simulated time in milliseconds. Delays come from a seeded generator.

use std::collections::{BTreeMap, VecDeque};

use dotterelhoist_core::clock::Instant;
use dotterelhoist_core::control::command::Change;
use dotterelhoist_core::effect::{Answer, Effect, Effects};
use dotterelhoist_core::event::{Event, Operation};
use dotterelhoist_core::journal;
use dotterelhoist_core::message::{Body, Hello};
use dotterelhoist_core::object::Kind;
use dotterelhoist_core::policy::Policy;
use dotterelhoist_core::replica::message::Voter;
use dotterelhoist_core::replica::{Identity, Stored, Timing, Write};
use dotterelhoist_core::request::{Call, Decision, Dispatch, End, Refusal, Request};
use dotterelhoist_core::route::Strategy;
use dotterelhoist_core::state::{Content, LogSetup, Peer, Setup, State, StoredReplica};
use dotterelhoist_core::status::Status;
use dotterelhoist_core::Name;

use crate::endpoint::{Endpoint, Run};
use crate::history::{History, Response};

/// Interval between two ticks of a daemon.
const TICK_MS: u64 = 50;
/// Interval between two announcements of an endpoint.
const ANNOUNCE_INTERVAL_MS: u64 = 250;
/// Names of the availability zones; a zone is referred to by its index.
pub const ZONES: [&str; 3] = ["a", "b", "c"];
/// Number of daemons in each zone.
pub const DAEMONS_PER_ZONE: usize = 2;

/// A scheduled action. One that carries the epoch of a process is dropped if that process has
/// terminated or restarted since.
#[derive(Clone, Debug)]
pub enum Action {
    /// A tick of a daemon.
    Tick(usize),
    /// An event for a daemon, with the epoch of its process.
    Deliver(usize, u64, Event),
    /// Two daemons try to connect.
    Connect(usize, usize),
    /// An endpoint sends an announcement, with the epoch of its process.
    Announce(usize, u64),
    /// An announcement reaches a daemon.
    DeliverAnnouncement {
        node: usize,
        epoch: u64,
        endpoint: usize,
        endpoint_epoch: u64,
        event: Event,
    },
    /// An order reaches an endpoint.
    DeliverOrder { endpoint: usize, order: dotterelhoist_core::message::Order },
    /// A dispatched request reaches an endpoint.
    DeliverRequest { node: usize, epoch: u64, request: u64, dispatch: Dispatch },
    /// A run on an endpoint ends.
    FinishRun { endpoint: usize, epoch: u64, run: u64 },
    /// The answer of a run reaches its daemon.
    ForwardAnswer { run: Run, group: Option<String>, answer: Vec<u8> },
    /// An endpoint has loaded the model of a generation.
    FinishLoading { endpoint: usize, epoch: u64, generation: u64 },
}

/// A daemon: its process, clock and disks.
pub struct Node {
    pub name: String,
    /// Index in [`ZONES`].
    pub zone: usize,
    /// The running daemon, or `None` while its process is down.
    pub state: Option<State>,
    /// Incremented by each start and kill, so that actions for an earlier process are dropped.
    pub epoch: u64,
    /// Difference between the daemon's monotonic clock and simulated time.
    pub clock_offset: u64,
    /// Until when the process is suspended.
    pub suspended_until: u64,
    /// Synced state of each log.
    disks: BTreeMap<Name, Stored>,
    /// Writes that are not synced yet: log, sequence number, write.
    unsynced: VecDeque<(Name, u64, Write)>,
    /// Index of the call of each request without a final result.
    calls: BTreeMap<u64, usize>,
    /// Id of the run of each request that runs on an endpoint.
    running: BTreeMap<u64, u64>,
    /// Until when the answer of each request may be forwarded, by the daemon's clock.
    forward_until: BTreeMap<u64, Instant>,
    /// Number of the last request since the first start.
    last_request: u64,
    /// Whether a graceful shutdown is complete.
    pub stopped: bool,
    /// Requests whose usage lines were discarded because they could not be recorded.
    pub unrecorded: Vec<Name>,
}

/// A one-way stream of frames.
#[derive(Default)]
struct Stream {
    /// Whether the connection is up.
    up: bool,
    /// Sending time, on the sender's clock, of the newest frame that was delivered; echoed in the
    /// other direction.
    newest_received: u64,
    /// Frames sent during a partition: sending time, echo, content.
    held_back: VecDeque<(u64, u64, Body)>,
    /// Arrival time of the last frame, which later frames do not overtake.
    last_arrival: u64,
}

/// What a caller sent.
#[derive(Clone, Debug)]
pub struct Submission {
    pub service: &'static str,
    /// Idempotency key.
    pub key: Option<String>,
    /// Digest of the request; the same key with another digest is another request.
    pub digest: u64,
    /// Whether the request crashes each endpoint that runs it.
    pub poison: bool,
}

/// The simulated system: daemons, endpoints, connections and the queue of actions.
pub struct World {
    /// Simulated time in milliseconds.
    pub now: u64,
    /// The daemons; they are referred to by index.
    pub nodes: Vec<Node>,
    pub endpoints: Vec<Endpoint>,
    pub history: History,
    pub rng_state: u64,
    pub policy: Policy,
    /// Pairs of zones that cannot reach each other.
    partitions: Vec<(usize, usize)>,
    /// Streams by sending and receiving daemon.
    streams: BTreeMap<(usize, usize), Stream>,
    /// Actions by simulated time and action id.
    queue: BTreeMap<(u64, u64), Action>,
    last_action_id: u64,
    /// Id of the run that was started last.
    last_run: u64,
}

impl World {
    pub fn new(seed: u64) -> World {
        let mut world = World {
            now: 3_600_000,
            nodes: Vec::new(),
            endpoints: Vec::new(),
            history: History::default(),
            rng_state: seed | 1,
            policy: Policy { load_seconds: 1.0, loads_per_minute: 6000, ..Policy::default() },
            partitions: Vec::new(),
            streams: BTreeMap::new(),
            queue: BTreeMap::new(),
            last_action_id: 0,
            last_run: 0,
        };
        for (zone, name) in ZONES.iter().enumerate() {
            for number in 0..DAEMONS_PER_ZONE {
                world.nodes.push(Node {
                    name: format!("{name}-{number}"),
                    zone,
                    state: None,
                    epoch: 0,
                    clock_offset: 977_000 * (zone * DAEMONS_PER_ZONE + number) as u64,
                    suspended_until: 0,
                    disks: BTreeMap::new(),
                    unsynced: VecDeque::new(),
                    calls: BTreeMap::new(),
                    running: BTreeMap::new(),
                    forward_until: BTreeMap::new(),
                    last_request: 0,
                    stopped: false,
                    unrecorded: Vec::new(),
                });
            }
        }
        for at in 0..world.nodes.len() {
            world.start(at);
            world.schedule(at as u64, Action::Tick(at));
            for other in 0..at {
                world.schedule(10, Action::Connect(at, other));
            }
        }
        world
    }

    pub fn next_random(&mut self) -> u64 {
        self.rng_state ^= self.rng_state << 13;
        self.rng_state ^= self.rng_state >> 7;
        self.rng_state ^= self.rng_state << 17;
        self.rng_state
    }

    /// Queues an action that is executed `delay` milliseconds from now.
    pub fn schedule(&mut self, delay: u64, action: Action) {
        self.last_action_id += 1;
        self.queue.insert((self.now + delay, self.last_action_id), action);
    }

    pub fn node(&self, name: &str) -> usize {
        self.nodes.iter().position(|node| node.name == name).expect("a daemon of that name")
    }

    pub fn endpoint(&self, vm: &str) -> usize {
        self.endpoints
            .iter()
            .position(|endpoint| endpoint.vm == vm)
            .expect("an endpoint of that name")
    }

    /// Current time on a daemon's monotonic clock.
    pub fn clock(&self, at: usize) -> Instant {
        Instant::from_millis(self.now + self.nodes[at].clock_offset)
    }

    /// Settings of a daemon: the first daemon of each zone holds the configuration and claims logs,
    /// and each zone's placement log is held by its own daemons and the first daemons of the other
    /// zones.
    fn setup(&self, at: usize) -> Setup {
        let node = &self.nodes[at];
        let peers = self.nodes.iter().filter(|peer| peer.name != node.name);
        let peer =
            |peer: &Node| Peer { daemon: peer.name.as_str().into(), zone: ZONES[peer.zone].into() };
        let first_daemons = || ZONES.iter().map(|zone| first_daemon(zone)).collect();
        let mut logs = vec![
            LogSetup {
                name: "config".into(),
                content: Content::Configuration,
                hosts: first_daemons(),
            },
            LogSetup { name: "claims".into(), content: Content::Claims, hosts: first_daemons() },
        ];
        for zone in ZONES {
            let mut hosts = vec![first_daemon(zone), format!("{zone}-1").into()];
            let others = ZONES.iter().filter(|other| **other != zone);
            hosts.extend(others.map(|other| first_daemon(other)));
            let content = Content::Placement(zone.into());
            logs.push(LogSetup { name: format!("placement-{zone}").into(), content, hosts });
        }
        Setup {
            daemon: node.name.as_str().into(),
            incarnation: self.now + node.epoch,
            first_ticket: node.epoch << 32,
            zone: ZONES[node.zone].into(),
            zones: ZONES.iter().map(|zone| (*zone).into()).collect(),
            peers: peers.map(peer).collect(),
            logs,
            policy: self.policy.clone(),
            timing: Timing::default(),
            strategy: Strategy::Affinity,
        }
    }

    /// Starts a daemon from its files, unless it is running.
    pub fn start(&mut self, at: usize) {
        if self.nodes[at].state.is_some() {
            return;
        }
        self.nodes[at].epoch += 1;
        let setup = self.setup(at);
        let own = setup.daemon.clone();
        let mut replicas = Vec::new();
        for log in &setup.logs {
            let voters = initial_voters(log);
            let Some(voter) = voters.iter().find(|voter| *voter.daemon == *own).cloned() else {
                continue;
            };
            let zone = match &log.content {
                Content::Placement(zone) => Some(zone.clone()),
                _ => None,
            };
            let identity = Identity {
                replica: voter.replica.as_str().into(),
                daemon: own.clone(),
                weight: voter.weight,
                electable: zone.is_none_or(|zone| zone == setup.zone),
            };
            let first_disk = || Stored { initial_voters: voters, ..Stored::default() };
            let stored =
                self.nodes[at].disks.entry(log.name.clone()).or_insert_with(first_disk).clone();
            replicas.push(StoredReplica { log: log.name.clone(), identity, stored });
        }
        let mut effects = Vec::new();
        let now = self.clock(at);
        self.nodes[at].state = Some(State::open(setup, replicas, now, &mut effects));
        self.execute_effects(at, effects);
        for other in 0..self.nodes.len() {
            if other != at {
                self.schedule(60, Action::Connect(at, other));
            }
        }
    }

    /// Asks a daemon to stop gracefully.
    pub fn stop(&mut self, at: usize) {
        self.apply(at, Event::Stop);
    }

    /// Kills a daemon: its unsynced writes and all its connections are lost.
    pub fn kill(&mut self, at: usize) {
        let node = &mut self.nodes[at];
        if node.state.take().is_none() {
            return;
        }
        node.epoch += 1;
        node.unsynced.clear();
        node.suspended_until = 0;
        node.running.clear();
        let calls = std::mem::take(&mut node.calls);
        for call in calls.into_values() {
            self.history.record_response(call, Response::ConnectionClosed, self.now);
        }
        for other in 0..self.nodes.len() {
            self.close_link(at, other);
        }
        for endpoint in &mut self.endpoints {
            endpoint.runs.retain(|run| run.node != at || run.outlives_daemon);
        }
    }

    /// Closes the connection of two daemons. Each one that is running sees the link go down and
    /// reconnects.
    fn close_link(&mut self, a: usize, b: usize) {
        for (from, to) in [(a, b), (b, a)] {
            let stream = self.streams.entry((from, to)).or_default();
            let was_up = std::mem::take(stream).up;
            if was_up && self.nodes[to].state.is_some() {
                let peer = self.nodes[from].name.as_str().into();
                let epoch = self.nodes[to].epoch;
                self.schedule(1, Action::Deliver(to, epoch, Event::LinkDown(peer)));
                self.schedule(150, Action::Connect(to, from));
            }
        }
    }

    /// Suspends a daemon's process; what reaches it in the meantime is handled afterwards.
    pub fn suspend(&mut self, at: usize, millis: u64) {
        self.nodes[at].suspended_until = self.now + millis;
    }

    /// Partitions two zones from each other. Connections stay open, but frames between the zones
    /// are held back.
    pub fn partition(&mut self, a: usize, b: usize) {
        self.partitions.push((a, b));
    }

    /// Ends all partitions and delivers the frames that were held back.
    pub fn heal(&mut self) {
        self.partitions.clear();
        let pairs: Vec<(usize, usize)> = self.streams.keys().copied().collect();
        for (from, to) in pairs {
            let held_back =
                std::mem::take(&mut self.streams.entry((from, to)).or_default().held_back);
            for (sent, echo, body) in held_back {
                self.deliver_frame(from, to, sent, echo, body);
            }
        }
        for a in 0..self.nodes.len() {
            for b in 0..a {
                self.schedule(100, Action::Connect(a, b));
            }
        }
    }

    pub fn is_partitioned(&self, a: usize, b: usize) -> bool {
        self.partitions.iter().any(|pair| *pair == (a, b) || *pair == (b, a))
    }

    /// Executes all actions of the next `millis` of simulated time.
    pub fn run(&mut self, millis: u64) {
        let end = self.now + millis;
        while let Some((&(time, id), _)) = self.queue.first_key_value() {
            if time > end {
                break;
            }
            let action = self.queue.remove(&(time, id)).expect("the first key");
            self.now = time;
            self.execute(action);
        }
        self.now = end;
    }

    /// Runs until a condition holds, and panics if it does not within a minute of simulated time.
    pub fn run_until(&mut self, what: &str, holds: impl Fn(&World) -> bool) {
        for _ in 0..1200 {
            if holds(self) {
                return;
            }
            self.run(50);
        }
        panic!("waited 60 s for {what}; status of daemon 0: {:#?}", self.status(0));
    }

    pub fn status(&self, at: usize) -> Option<Status> {
        self.nodes[at].state.as_ref().map(|state| state.status(self.clock(at)))
    }

    /// Executes an action, or postpones it until the process that handles it is no longer
    /// suspended.
    fn execute(&mut self, action: Action) {
        let suspended_until = match &action {
            Action::Tick(at)
            | Action::Deliver(at, ..)
            | Action::DeliverAnnouncement { node: at, .. } => self.nodes[*at].suspended_until,
            Action::ForwardAnswer { run, .. } => self.nodes[run.node].suspended_until,
            Action::Announce(at, _) => self.endpoints[*at].suspended_until,
            Action::DeliverOrder { endpoint, .. } | Action::FinishRun { endpoint, .. } => {
                self.endpoints[*endpoint].suspended_until
            }
            _ => 0,
        };
        if suspended_until > self.now {
            self.schedule(suspended_until - self.now, action);
            return;
        }
        match action {
            Action::Tick(at) => {
                self.schedule(TICK_MS, Action::Tick(at));
                let random = self.next_random();
                self.apply(at, Event::Tick { random });
            }
            Action::Deliver(at, epoch, event) => {
                if self.nodes[at].epoch == epoch {
                    self.deliver_event(at, event);
                }
            }
            Action::Connect(a, b) => self.connect(a, b),
            Action::Announce(at, epoch) => self.announce(at, epoch),
            Action::DeliverAnnouncement { node, epoch, endpoint, endpoint_epoch, event } => {
                if self.nodes[node].epoch != epoch {
                    return;
                }
                let stamp = self.clock(node).as_millis();
                self.apply(node, event);
                let endpoint = &mut self.endpoints[endpoint];
                if endpoint.epoch == endpoint_epoch {
                    endpoint.stamp = Some((node, epoch, stamp));
                }
            }
            Action::DeliverOrder { endpoint, order } => self.deliver_order(endpoint, order),
            Action::DeliverRequest { node, epoch, request, dispatch } => {
                self.run_on_endpoint(node, epoch, request, &dispatch);
            }
            Action::FinishRun { endpoint, epoch, run } => self.finish_run(endpoint, epoch, run),
            Action::ForwardAnswer { run, group, answer } => self.forward_answer(run, group, answer),
            Action::FinishLoading { endpoint, epoch, generation } => {
                let endpoint = &mut self.endpoints[endpoint];
                if endpoint.epoch == epoch {
                    endpoint.finish_loading(generation);
                }
            }
        }
    }

    /// Connects two running daemons in both directions, unless they are connected or partitioned.
    fn connect(&mut self, a: usize, b: usize) {
        let alive = self.nodes[a].state.is_some() && self.nodes[b].state.is_some();
        let (zone_a, zone_b) = (self.nodes[a].zone, self.nodes[b].zone);
        let up = self.streams.entry((a, b)).or_default().up;
        if up || !alive || self.is_partitioned(zone_a, zone_b) {
            return;
        }
        for (from, to) in [(a, b), (b, a)] {
            let newest_received = self.clock(from).as_millis();
            let stream = self.streams.entry((from, to)).or_default();
            *stream = Stream { up: true, newest_received, ..Stream::default() };
            let peers = self.nodes.iter().filter(|node| node.name != self.nodes[from].name);
            let hello = Hello {
                daemon: self.nodes[from].name.clone(),
                incarnation: self.nodes[from].epoch,
                zone: ZONES[self.nodes[from].zone].to_owned(),
                peers: peers.map(|node| node.name.clone()).collect(),
            };
            let epoch = self.nodes[to].epoch;
            self.schedule(1, Action::Deliver(to, epoch, Event::LinkUp(hello)));
        }
    }

    /// Sends a frame to another daemon, or holds it back during a partition.
    fn send(&mut self, from: usize, to: usize, body: Body) {
        let sent = self.clock(from).as_millis();
        let echo = self.streams.entry((to, from)).or_default().newest_received;
        let partitioned = self.is_partitioned(self.nodes[from].zone, self.nodes[to].zone);
        let stream = self.streams.entry((from, to)).or_default();
        if !stream.up {
            return;
        }
        if partitioned {
            stream.held_back.push_back((sent, echo, body));
            return;
        }
        self.deliver_frame(from, to, sent, echo, body);
    }

    /// Delivers a frame after a random delay; frames of one stream arrive in order.
    fn deliver_frame(&mut self, from: usize, to: usize, sent: u64, echo: u64, body: Body) {
        let random = self.next_random();
        let delay = if random.is_multiple_of(50) { random / 50 % 120 } else { 1 + random / 50 % 4 };
        let now = self.now;
        let stream = self.streams.entry((from, to)).or_default();
        stream.last_arrival = stream.last_arrival.max(now + delay);
        stream.newest_received = stream.newest_received.max(sent);
        let wait = stream.last_arrival - now;
        let from = self.nodes[from].name.as_str().into();
        let random = self.next_random();
        let epoch = self.nodes[to].epoch;
        let event = Event::MessageReceived { from, echo, body, random };
        self.schedule(wait, Action::Deliver(to, epoch, event));
    }

    /// Passes an event to a daemon, after updating its simulated disk and its running requests
    /// accordingly.
    fn deliver_event(&mut self, at: usize, event: Event) {
        if let Event::Synced { log, sequence } = &event {
            let node = &mut self.nodes[at];
            let (log, sequence) = (log.clone(), *sequence);
            let due = |(name, number, _): &(Name, u64, Write)| *name == log && *number <= sequence;
            let mut rest = VecDeque::new();
            for item in std::mem::take(&mut node.unsynced) {
                if due(&item) {
                    node.disks.entry(item.0).or_default().apply(item.2);
                } else {
                    rest.push_back(item);
                }
            }
            node.unsynced = rest;
        }
        if let Event::AttemptEnded { request, .. } = &event {
            self.nodes[at].running.remove(request);
        }
        self.apply(at, event);
    }

    fn apply(&mut self, at: usize, event: Event) {
        let now = self.clock(at);
        let mut effects = Vec::new();
        let Some(state) = &mut self.nodes[at].state else { return };
        state.apply(now, event, &mut effects);
        let revision = state.revision();
        self.history.record_revision(at, revision, self.now);
        self.execute_effects(at, effects);
    }

    /// Executes the effects of a daemon.
    fn execute_effects(&mut self, at: usize, effects: Effects) {
        for effect in effects {
            match effect {
                Effect::Send { to, body } => {
                    if let Some(to) = self.nodes.iter().position(|node| *node.name == *to) {
                        self.send(at, to, body);
                    }
                }
                Effect::CloseLink(peer) => {
                    if let Some(peer) = self.nodes.iter().position(|node| *node.name == *peer) {
                        self.close_link(at, peer);
                    }
                }
                Effect::Persist { log, sequence, write } => {
                    self.nodes[at].unsynced.push_back((log.clone(), sequence, write));
                    let delay = 1 + self.next_random() % 6;
                    let epoch = self.nodes[at].epoch;
                    let event = Event::Synced { log, sequence };
                    self.schedule(delay, Action::Deliver(at, epoch, event));
                }
                Effect::SendOrder(addressed) => {
                    let delay = self.next_random() % 30;
                    let endpoint = self
                        .endpoints
                        .iter()
                        .position(|endpoint| *endpoint.vm == *addressed.address);
                    if let Some(endpoint) = endpoint {
                        let order = addressed.order;
                        self.schedule(delay, Action::DeliverOrder { endpoint, order });
                    }
                }
                Effect::Decide { request, decision, .. } => {
                    self.execute_decision(at, request, decision);
                }
                Effect::AbortAnswer { request } => self.abort(at, request),
                Effect::Answer { ticket, answer } => {
                    let outcome = match answer {
                        Answer::Outcome(outcome) => Some(outcome),
                        _ => None,
                    };
                    self.history.record_outcome(ticket, outcome, self.now);
                }
                Effect::ExtendPermission { request, until } => {
                    self.nodes[at].forward_until.insert(request, until);
                }
                Effect::Stopped => self.nodes[at].stopped = true,
                Effect::Log(journal::Event::Unrecorded { request, .. }) => {
                    self.nodes[at].unrecorded.push(request);
                }
                Effect::CloseRequest { .. } | Effect::Count(_) | Effect::Log(_) => {}
            }
        }
    }

    /// Sends a caller's request to a daemon and returns the index of the call.
    pub fn submit(&mut self, at: usize, submission: &Submission) -> usize {
        let call = self.history.record_call(submission.clone());
        if self.nodes[at].state.is_none() {
            self.history.record_response(call, Response::ConnectionClosed, self.now);
            return call;
        }
        let node = &mut self.nodes[at];
        node.last_request += 1;
        let id = node.last_request + node.epoch * 1_000_000;
        node.calls.insert(id, call);
        let model = submission.service == "assist";
        let request = Request {
            id,
            key_sha256: "0".repeat(64).into(),
            service: submission.service.into(),
            call: match model {
                true => Call::Model,
                false => Call::Plain { safe: false, path: "/book".into() },
            },
            idempotency_key: submission.key.as_deref().map(Into::into),
            digest: submission.digest,
            timeout: None,
            priority: 5,
            cost: 1.0,
            prefixes: Default::default(),
            received: self.now / 1000,
        };
        let epoch = node.epoch;
        self.schedule(1, Action::Deliver(at, epoch, Event::RequestArrived(Box::new(request))));
        call
    }

    /// Sends an operator's change to a daemon and returns the ticket for its outcome.
    pub fn submit_change(&mut self, at: usize, change: Change) -> u64 {
        let ticket = self.history.record_change(change.clone(), self.now);
        if self.nodes[at].state.is_none() {
            return ticket;
        }
        let event = Event::OperationRequested { ticket, operation: Operation::Change(change) };
        let epoch = self.nodes[at].epoch;
        self.schedule(1, Action::Deliver(at, epoch, event));
        ticket
    }

    pub fn change(kind: Kind, name: &str, body: Option<String>, operation: &str) -> Change {
        Change {
            operation: operation.to_owned(),
            kind: kind as u32,
            name: name.to_owned(),
            expected: None,
            body,
        }
    }

    fn execute_decision(&mut self, at: usize, request: u64, decision: Decision) {
        let Some(call) = self.nodes[at].calls.get(&request).copied() else { return };
        match decision {
            Decision::Dispatch(dispatch) => {
                self.history.record_dispatch(&dispatch.vm, self.now);
                self.nodes[at].forward_until.insert(request, dispatch.forward_until);
                let epoch = self.nodes[at].epoch;
                let delay = 1 + self.next_random() % 3;
                self.schedule(delay, Action::DeliverRequest { node: at, epoch, request, dispatch });
            }
            Decision::Refuse(Refusal { reason, run, .. }) => {
                self.nodes[at].calls.remove(&request);
                self.history.record_response(call, Response::Refused(reason, run), self.now);
            }
            Decision::Replay(result) => {
                self.nodes[at].calls.remove(&request);
                self.history.record_response(call, Response::Answer(result.answer), self.now);
            }
            Decision::Deliver => {
                self.nodes[at].calls.remove(&request);
                let answer = self.history.buffered_answer(call);
                self.history.record_response(call, Response::Answer(answer), self.now);
            }
        }
    }

    /// Stops an attempt and reports it to the daemon as lost.
    fn abort(&mut self, at: usize, request: u64) {
        let Some(run) = self.nodes[at].running.get(&request).copied() else { return };
        for endpoint in &mut self.endpoints {
            endpoint.runs.retain(|known| known.id != run);
        }
        self.history.aborts += 1;
        let end = End::Lost { tokens: 0, forwarded: false, crashed: false };
        self.report_end(at, request, end);
    }

    /// Reports the end of an attempt to the daemon.
    fn report_end(&mut self, at: usize, request: u64, end: End) {
        let epoch = self.nodes[at].epoch;
        self.schedule(1, Action::Deliver(at, epoch, Event::AttemptEnded { request, end }));
    }

    /// Starts a dispatched request on its endpoint, or reports why it does not run.
    fn run_on_endpoint(&mut self, node: usize, epoch: u64, request: u64, dispatch: &Dispatch) {
        if self.nodes[node].epoch != epoch {
            return;
        }
        let found = self.endpoints.iter().position(|endpoint| *endpoint.vm == *dispatch.address);
        let reachable = found.filter(|at| {
            let endpoint = &self.endpoints[*at];
            endpoint.alive && !self.is_partitioned(endpoint.zone, self.nodes[node].zone)
        });
        let Some(at) = reachable else {
            let lost_in_flight = found.is_some_and(|at| self.endpoints[at].fails_after_send);
            let lost = End::Lost { tokens: 0, forwarded: false, crashed: true };
            self.report_end(node, request, if lost_in_flight { lost } else { End::NotSent });
            return;
        };
        if !self.endpoints[at].accepts_requests(dispatch.generation) {
            self.report_end(node, request, End::Declined);
            return;
        }
        let Some(call) = self.nodes[node].calls.get(&request).copied() else { return };
        let submission = self.history.submission(call);
        let execution = self.history.record_execution(call, self.now);
        if submission.poison {
            self.history.endpoint_crashes += 1;
            self.kill_endpoint(at);
            self.report_end(
                node,
                request,
                End::Lost { tokens: 0, forwarded: false, crashed: true },
            );
            return;
        }
        self.last_run += 1;
        let id = self.last_run;
        self.nodes[node].running.insert(request, id);
        let outlives_daemon = dispatch.buffered;
        let endpoint = &mut self.endpoints[at];
        let generation = endpoint.generation;
        endpoint.runs.push(Run {
            id,
            node,
            epoch,
            request,
            call,
            execution,
            outlives_daemon,
            generation,
        });
        let delay = endpoint.service_ms / 2 + self.rng_state % endpoint.service_ms.max(1);
        let epoch = self.endpoints[at].epoch;
        self.schedule(delay, Action::FinishRun { endpoint: at, epoch, run: id });
    }

    /// Ends a run and sends its answer to the daemon, or reports the attempt as lost if the answer
    /// cannot arrive.
    fn finish_run(&mut self, at: usize, epoch: u64, run: u64) {
        let endpoint = &mut self.endpoints[at];
        let position = endpoint.runs.iter().position(|known| known.id == run);
        let Some(position) = position.filter(|_| endpoint.epoch == epoch) else { return };
        let run = endpoint.runs.remove(position);
        let lost = endpoint.loses_answers;
        let (group, plain) = (endpoint.group.clone(), endpoint.plain);
        if self.nodes[run.node].epoch != run.epoch {
            return;
        }
        let partitioned = self.is_partitioned(self.endpoints[at].zone, self.nodes[run.node].zone);
        if lost || partitioned {
            let end = End::Lost { tokens: 0, forwarded: false, crashed: true };
            self.report_end(run.node, run.request, end);
            return;
        }
        let group = (!plain).then_some(group);
        let answer = format!("answer of execution {}", run.execution).into_bytes();
        self.schedule(1, Action::ForwardAnswer { run, group, answer });
    }

    /// Forwards an answer to the caller, if the permission to forward it has not expired; otherwise
    /// the attempt is reported as lost.
    fn forward_answer(&mut self, run: Run, group: Option<String>, answer: Vec<u8>) {
        let node = &self.nodes[run.node];
        if node.epoch != run.epoch || node.running.get(&run.request) != Some(&run.id) {
            return;
        }
        let forward_until = node.forward_until.get(&run.request).copied();
        if forward_until.is_none_or(|until| self.clock(run.node) >= until) {
            let end = End::Lost { tokens: 0, forwarded: false, crashed: false };
            self.report_end(run.node, run.request, end);
            return;
        }
        if let Some(group) = group {
            self.check_group_complete(&group, run.generation);
        }
        self.history.buffer_answer(run.call, answer.clone());
        if !run.outlives_daemon {
            self.nodes[run.node].calls.remove(&run.request);
            self.history.record_response(run.call, Response::Answer(answer.clone()), self.now);
        }
        let content_type = String::new();
        let end = End::Answered { status: 200, content_type, body: answer, tokens: 1 };
        self.report_end(run.node, run.request, end);
    }

    /// Checks that the group whose answer is forwarded now is complete: each member has announced
    /// itself as ready or draining in that generation within the TTL of announcements (2 s) plus
    /// two ticks.
    fn check_group_complete(&mut self, group: &str, generation: u64) {
        let oldest = self.now - 2000 - 2 * TICK_MS;
        let announced_recently = |e: &&Endpoint| {
            let announced = e.announced_ready.get(&(group.to_owned(), generation));
            announced.is_some_and(|at| *at >= oldest)
        };
        let present = self.endpoints.iter().filter(announced_recently).count();
        let size = self
            .endpoints
            .iter()
            .filter(|endpoint| endpoint.group == group)
            .map(|endpoint| endpoint.members)
            .max();
        let size = size.unwrap_or(0) as usize;
        assert!(
            present >= size.max(1),
            "{group} answered in generation {generation}, but only {present} of {size} members announced it"
        );
    }

    pub fn add_endpoint(&mut self, endpoint: Endpoint) {
        self.endpoints.push(endpoint);
        let at = self.endpoints.len() - 1;
        let epoch = self.endpoints[at].epoch;
        self.schedule(at as u64 % 40, Action::Announce(at, epoch));
    }

    pub fn kill_endpoint(&mut self, at: usize) {
        let runs = self.endpoints[at].kill();
        for run in runs {
            if self.nodes[run.node].epoch == run.epoch {
                let end = End::Lost { tokens: 0, forwarded: false, crashed: true };
                self.report_end(run.node, run.request, end);
            }
        }
    }

    pub fn restart_endpoint(&mut self, at: usize) {
        if self.endpoints[at].alive {
            return;
        }
        let now = self.now;
        self.endpoints[at].restart(now);
        let epoch = self.endpoints[at].epoch;
        self.schedule(1, Action::Announce(at, epoch));
    }

    /// Sends an endpoint's announcement to a daemon of its zone, preferably the one that answered
    /// last.
    fn announce(&mut self, at: usize, epoch: u64) {
        if !self.endpoints[at].alive || self.endpoints[at].epoch != epoch {
            return;
        }
        self.schedule(ANNOUNCE_INTERVAL_MS, Action::Announce(at, epoch));
        let zone = self.endpoints[at].zone;
        let now = self.now;
        if self.endpoints[at].silent {
            return;
        }
        let nodes: Vec<usize> = (0..self.nodes.len())
            .filter(|node| self.nodes[*node].zone == zone && self.nodes[*node].state.is_some())
            .collect();
        if nodes.is_empty() {
            return;
        }
        let endpoint = &mut self.endpoints[at];
        let known = endpoint.stamp.filter(|(node, ..)| nodes.contains(node));
        let node = known.map_or(nodes[at % nodes.len()], |(node, ..)| node);
        let node_epoch = self.nodes[node].epoch;
        let stamp = known.filter(|(_, epoch, _)| *epoch == node_epoch).map(|(_, _, stamp)| stamp);
        let announcement = Box::new(endpoint.announcement(now));
        let event = Event::Announced { announcement, stamp };
        let endpoint_epoch = endpoint.epoch;
        let delay = 1 + self.next_random() % 5;
        let action = Action::DeliverAnnouncement {
            node,
            epoch: node_epoch,
            endpoint: at,
            endpoint_epoch,
            event,
        };
        self.schedule(delay, action);
    }

    fn deliver_order(&mut self, at: usize, order: dotterelhoist_core::message::Order) {
        let now = self.now;
        let endpoint = &mut self.endpoints[at];
        if !endpoint.alive {
            return;
        }
        if let Some(generation) = endpoint.apply_order(&order, now) {
            let (delay, epoch) = (endpoint.load_ms, endpoint.epoch);
            self.schedule(delay, Action::FinishLoading { endpoint: at, epoch, generation });
        }
    }
}

/// Name of the daemon of a zone that hosts replicas of the logs of all zones.
fn first_daemon(zone: &str) -> Name {
    format!("{zone}-0").into()
}

/// Initial voters of a log. Those of a placement log have two votes each in its own zone.
fn initial_voters(log: &LogSetup) -> Vec<Voter> {
    let voter = |host: &Name| {
        let in_zone = |zone: &Name| host.starts_with(&**zone);
        let weight = match &log.content {
            Content::Placement(zone) if in_zone(zone) => 2,
            _ => 1,
        };
        Voter { replica: format!("{host}#0"), daemon: host.to_string(), weight }
    };
    log.hosts.iter().map(voter).collect()
}
