//! A scheduled queue of effects between a few reducers, with fake endpoints and callers.

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
use dotterelhoist_core::state::{Duty, LogSetup, Opened, Peer, Setup, State};
use dotterelhoist_core::status::Status;
use dotterelhoist_core::Name;

use crate::endpoint::{Endpoint, Run};
use crate::history::{History, Told};

/// Time between two ticks of a reducer.
const TICK: u64 = 50;
/// Time between two announcements.
const ANNOUNCE: u64 = 250;
/// Zones of the world.
pub const ZONES: [&str; 3] = ["a", "b", "c"];
/// Daemons in each zone.
pub const PER_ZONE: usize = 2;

/// Something that is going to happen.
#[derive(Clone, Debug)]
pub enum Happening {
    Tick(usize),
    Event(usize, u64, Event),
    Link(usize, usize),
    Announce(usize, u64),
    Announced { node: usize, life: u64, endpoint: usize, endpoint_life: u64, event: Event },
    Order { endpoint: usize, order: dotterelhoist_core::message::Order },
    Sent { node: usize, life: u64, request: u64, dispatch: Dispatch },
    Work { endpoint: usize, life: u64, run: u64 },
    Answer { run: Run, group: Option<String>, answer: Vec<u8> },
    Loaded { endpoint: usize, life: u64, generation: u64 },
}

/// A daemon.
pub struct Node {
    pub name: String,
    pub zone: usize,
    pub state: Option<State>,
    pub life: u64,
    pub offset: u64,
    pub frozen_until: u64,
    disks: BTreeMap<Name, Stored>,
    unsynced: VecDeque<(Name, u64, Write)>,
    calls: BTreeMap<u64, usize>,
    running: BTreeMap<u64, u64>,
    permits: BTreeMap<u64, Instant>,
    next_request: u64,
    /// Whether a graceful shutdown is complete.
    pub stopped: bool,
    /// Requests whose usage lines were given up.
    pub unrecorded: Vec<Name>,
}

/// A one-way stream of frames.
#[derive(Default)]
struct Stream {
    up: bool,
    heard: u64,
    held: VecDeque<(u64, u64, Body)>,
    last_arrival: u64,
}

/// What a caller sent.
#[derive(Clone, Debug)]
pub struct Submission {
    pub service: &'static str,
    pub key: Option<String>,
    pub digest: u64,
    pub poison: bool,
}

/// Daemons, endpoints, callers, and the queue.
pub struct World {
    pub now: u64,
    pub nodes: Vec<Node>,
    pub endpoints: Vec<Endpoint>,
    pub history: History,
    pub random: u64,
    pub policy: Policy,
    /// Pairs of zones that can't reach each other.
    cuts: Vec<(usize, usize)>,
    streams: BTreeMap<(usize, usize), Stream>,
    queue: BTreeMap<(u64, u64), Happening>,
    next: u64,
    next_run: u64,
}

impl World {
    pub fn new(seed: u64) -> World {
        let mut world = World {
            now: 3_600_000,
            nodes: Vec::new(),
            endpoints: Vec::new(),
            history: History::default(),
            random: seed | 1,
            policy: Policy { load_seconds: 1.0, loads_per_minute: 6000, ..Policy::default() },
            cuts: Vec::new(),
            streams: BTreeMap::new(),
            queue: BTreeMap::new(),
            next: 0,
            next_run: 0,
        };
        for (zone, name) in ZONES.iter().enumerate() {
            for number in 0..PER_ZONE {
                world.nodes.push(Node {
                    name: format!("{name}-{number}"),
                    zone,
                    state: None,
                    life: 0,
                    offset: 977_000 * (zone * PER_ZONE + number) as u64,
                    frozen_until: 0,
                    disks: BTreeMap::new(),
                    unsynced: VecDeque::new(),
                    calls: BTreeMap::new(),
                    running: BTreeMap::new(),
                    permits: BTreeMap::new(),
                    next_request: 0,
                    stopped: false,
                    unrecorded: Vec::new(),
                });
            }
        }
        for at in 0..world.nodes.len() {
            world.start(at);
            world.later(at as u64, Happening::Tick(at));
            for other in 0..at {
                world.later(10, Happening::Link(at, other));
            }
        }
        world
    }

    pub fn draw(&mut self) -> u64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        self.random
    }

    pub fn later(&mut self, delay: u64, happening: Happening) {
        self.next += 1;
        self.queue.insert((self.now + delay, self.next), happening);
    }

    pub fn node(&self, name: &str) -> usize {
        self.nodes.iter().position(|node| node.name == name).expect("a node of that name")
    }

    pub fn endpoint(&self, vm: &str) -> usize {
        self.endpoints.iter().position(|e| e.vm == vm).expect("an endpoint of that name")
    }

    pub fn clock(&self, at: usize) -> Instant {
        Instant::from_millis(self.now + self.nodes[at].offset)
    }

    fn setup(&self, at: usize) -> Setup {
        let node = &self.nodes[at];
        let peers = self.nodes.iter().filter(|peer| peer.name != node.name);
        let peer =
            |peer: &Node| Peer { daemon: peer.name.as_str().into(), zone: ZONES[peer.zone].into() };
        let voter =
            |name: String, weight| Voter { replica: format!("{name}#0"), daemon: name, weight };
        let heads = || ZONES.iter().map(|zone| voter(format!("{zone}-0"), 1)).collect();
        let mut logs = vec![
            LogSetup { name: "config".into(), duty: Duty::Configuration, founders: heads() },
            LogSetup { name: "claims".into(), duty: Duty::Claims, founders: heads() },
        ];
        for zone in ZONES {
            let mut founders = vec![voter(format!("{zone}-0"), 2), voter(format!("{zone}-1"), 2)];
            let others = ZONES.iter().filter(|other| **other != zone);
            founders.extend(others.map(|other| voter(format!("{other}-0"), 1)));
            let duty = Duty::Placement(zone.into());
            logs.push(LogSetup { name: format!("placement-{zone}").into(), duty, founders });
        }
        Setup {
            daemon: node.name.as_str().into(),
            incarnation: self.now + node.life,
            zone: ZONES[node.zone].into(),
            zones: ZONES.iter().map(|zone| (*zone).into()).collect(),
            peers: peers.map(peer).collect(),
            logs,
            policy: self.policy.clone(),
            timing: Timing::default(),
            choice: Strategy::Affinity,
        }
    }

    /// Starts a daemon from its files.
    pub fn start(&mut self, at: usize) {
        if self.nodes[at].state.is_some() {
            return;
        }
        self.nodes[at].life += 1;
        let setup = self.setup(at);
        let own = setup.daemon.clone();
        let mut opened = Vec::new();
        for log in &setup.logs {
            let Some(voter) = log.founders.iter().find(|voter| *voter.daemon == *own) else {
                continue;
            };
            let zone = match &log.duty {
                Duty::Placement(zone) => Some(zone.clone()),
                _ => None,
            };
            let identity = Identity {
                replica: voter.replica.as_str().into(),
                daemon: own.clone(),
                weight: voter.weight,
                stands: zone.is_none_or(|zone| zone == setup.zone),
            };
            let stored = self.nodes[at].disks.entry(log.name.clone()).or_default().clone();
            opened.push(Opened { log: log.name.clone(), identity, stored });
        }
        let mut effects = Vec::new();
        let now = self.clock(at);
        self.nodes[at].state = Some(State::open(setup, opened, now, &mut effects));
        self.carry_out(at, effects);
        for other in 0..self.nodes.len() {
            if other != at {
                self.later(60, Happening::Link(at, other));
            }
        }
    }

    /// Asks a daemon to stop gracefully.
    pub fn stop(&mut self, at: usize) {
        self.apply(at, Event::Stop);
    }

    /// Kills a daemon: unsynced writes and all connections are gone.
    pub fn kill(&mut self, at: usize) {
        let node = &mut self.nodes[at];
        if node.state.take().is_none() {
            return;
        }
        node.life += 1;
        node.unsynced.clear();
        node.frozen_until = 0;
        node.running.clear();
        let calls = std::mem::take(&mut node.calls);
        for call in calls.into_values() {
            self.history.told(call, Told::Nothing, self.now);
        }
        for other in 0..self.nodes.len() {
            self.close_link(at, other);
        }
        for endpoint in &mut self.endpoints {
            endpoint.runs.retain(|run| run.node != at || run.keeps_on);
        }
    }

    fn close_link(&mut self, a: usize, b: usize) {
        for (from, to) in [(a, b), (b, a)] {
            let stream = self.streams.entry((from, to)).or_default();
            let was_up = std::mem::take(stream).up;
            if was_up && self.nodes[to].state.is_some() {
                let peer = self.nodes[from].name.as_str().into();
                let life = self.nodes[to].life;
                self.later(1, Happening::Event(to, life, Event::LinkDown(peer)));
                self.later(150, Happening::Link(to, from));
            }
        }
    }

    pub fn freeze(&mut self, at: usize, millis: u64) {
        self.nodes[at].frozen_until = self.now + millis;
    }

    /// Cuts two zones from each other: what is sent between them is held back in silence.
    pub fn cut(&mut self, a: usize, b: usize) {
        self.cuts.push((a, b));
    }

    /// Ends all cuts; what was held back arrives now.
    pub fn heal(&mut self) {
        self.cuts.clear();
        let pairs: Vec<(usize, usize)> = self.streams.keys().copied().collect();
        for (from, to) in pairs {
            let held = std::mem::take(&mut self.streams.entry((from, to)).or_default().held);
            for (sent, echo, body) in held {
                self.deliver(from, to, sent, echo, body);
            }
        }
        for a in 0..self.nodes.len() {
            for b in 0..a {
                self.later(100, Happening::Link(a, b));
            }
        }
    }

    pub fn is_cut(&self, a: usize, b: usize) -> bool {
        self.cuts.iter().any(|cut| *cut == (a, b) || *cut == (b, a))
    }

    pub fn run(&mut self, millis: u64) {
        let end = self.now + millis;
        while let Some((&(at, id), _)) = self.queue.first_key_value() {
            if at > end {
                break;
            }
            let happening = self.queue.remove(&(at, id)).expect("the first key");
            self.now = at;
            self.happen(happening);
        }
        self.now = end;
    }

    /// Runs until a condition holds, or fails after a minute.
    pub fn run_until(&mut self, what: &str, holds: impl Fn(&World) -> bool) {
        for _ in 0..1200 {
            if holds(self) {
                return;
            }
            self.run(50);
        }
        panic!("waited in vain for {what}: {:#?}", self.status(0));
    }

    pub fn status(&self, at: usize) -> Option<Status> {
        self.nodes[at].state.as_ref().map(|state| state.status(self.clock(at)))
    }

    fn happen(&mut self, happening: Happening) {
        let frozen = match &happening {
            Happening::Tick(at)
            | Happening::Event(at, ..)
            | Happening::Announced { node: at, .. } => self.nodes[*at].frozen_until,
            Happening::Answer { run, .. } => self.nodes[run.node].frozen_until,
            Happening::Announce(at, _) => self.endpoints[*at].frozen_until,
            Happening::Order { endpoint, .. } | Happening::Work { endpoint, .. } => {
                self.endpoints[*endpoint].frozen_until
            }
            _ => 0,
        };
        if frozen > self.now {
            self.later(frozen - self.now, happening);
            return;
        }
        match happening {
            Happening::Tick(at) => {
                self.later(TICK, Happening::Tick(at));
                let draw = self.draw();
                self.apply(at, Event::Tick { draw });
            }
            Happening::Event(at, life, event) => {
                if self.nodes[at].life == life {
                    self.deliver_event(at, event);
                }
            }
            Happening::Link(a, b) => self.link(a, b),
            Happening::Announce(at, life) => self.announce(at, life),
            Happening::Announced { node, life, endpoint, endpoint_life, event } => {
                if self.nodes[node].life != life {
                    return;
                }
                let stamp = self.clock(node).as_millis();
                self.apply(node, event);
                let endpoint = &mut self.endpoints[endpoint];
                if endpoint.life == endpoint_life {
                    endpoint.stamp = Some((node, life, stamp));
                }
            }
            Happening::Order { endpoint, order } => self.order(endpoint, order),
            Happening::Sent { node, life, request, dispatch } => {
                self.run_on_endpoint(node, life, request, &dispatch);
            }
            Happening::Work { endpoint, life, run } => self.work(endpoint, life, run),
            Happening::Answer { run, group, answer } => self.forward(run, group, answer),
            Happening::Loaded { endpoint, life, generation } => {
                let endpoint = &mut self.endpoints[endpoint];
                if endpoint.life == life {
                    endpoint.loaded(generation);
                }
            }
        }
    }

    fn link(&mut self, a: usize, b: usize) {
        let alive = self.nodes[a].state.is_some() && self.nodes[b].state.is_some();
        let (zone_a, zone_b) = (self.nodes[a].zone, self.nodes[b].zone);
        let up = self.streams.entry((a, b)).or_default().up;
        if up || !alive || self.is_cut(zone_a, zone_b) {
            return;
        }
        for (from, to) in [(a, b), (b, a)] {
            let heard = self.clock(from).as_millis();
            let stream = self.streams.entry((from, to)).or_default();
            *stream = Stream { up: true, heard, ..Stream::default() };
            let peers = self.nodes.iter().filter(|node| node.name != self.nodes[from].name);
            let hello = Hello {
                daemon: self.nodes[from].name.clone(),
                incarnation: self.nodes[from].life,
                zone: ZONES[self.nodes[from].zone].to_owned(),
                peers: peers.map(|node| node.name.clone()).collect(),
            };
            let life = self.nodes[to].life;
            self.later(1, Happening::Event(to, life, Event::LinkUp(hello)));
        }
    }

    fn send(&mut self, from: usize, to: usize, body: Body) {
        let sent = self.clock(from).as_millis();
        let echo = self.streams.entry((to, from)).or_default().heard;
        let cut = self.is_cut(self.nodes[from].zone, self.nodes[to].zone);
        let stream = self.streams.entry((from, to)).or_default();
        if !stream.up {
            return;
        }
        if cut {
            stream.held.push_back((sent, echo, body));
            return;
        }
        self.deliver(from, to, sent, echo, body);
    }

    /// Frames of one stream arrive in order, each after a delay.
    fn deliver(&mut self, from: usize, to: usize, sent: u64, echo: u64, body: Body) {
        let draw = self.draw();
        let delay = if draw.is_multiple_of(50) { draw / 50 % 120 } else { 1 + draw / 50 % 4 };
        let now = self.now;
        let stream = self.streams.entry((from, to)).or_default();
        stream.last_arrival = stream.last_arrival.max(now + delay);
        stream.heard = stream.heard.max(sent);
        let wait = stream.last_arrival - now;
        let from = self.nodes[from].name.as_str().into();
        let draw = self.draw();
        let life = self.nodes[to].life;
        let event = Event::Received { from, echo, body, draw };
        self.later(wait, Happening::Event(to, life, event));
    }

    fn deliver_event(&mut self, at: usize, event: Event) {
        if let Event::Synced { log, sequence } = &event {
            let node = &mut self.nodes[at];
            let (log, sequence) = (log.clone(), *sequence);
            let due = |(name, number, _): &(Name, u64, Write)| *name == log && *number <= sequence;
            let mut rest = VecDeque::new();
            for item in std::mem::take(&mut node.unsynced) {
                if due(&item) {
                    node.disks.entry(item.0).or_default().take_in(item.2);
                } else {
                    rest.push_back(item);
                }
            }
            node.unsynced = rest;
        }
        if let Event::Ended { request, .. } = &event {
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
        self.history.revision(at, revision, self.now);
        self.carry_out(at, effects);
    }

    fn carry_out(&mut self, at: usize, effects: Effects) {
        for effect in effects {
            match effect {
                Effect::Send { to, body } => {
                    if let Some(to) = self.nodes.iter().position(|node| *node.name == *to) {
                        self.send(at, to, body);
                    }
                }
                Effect::Unlink(peer) => {
                    if let Some(peer) = self.nodes.iter().position(|node| *node.name == *peer) {
                        self.close_link(at, peer);
                    }
                }
                Effect::Persist { log, sequence, write } => {
                    self.nodes[at].unsynced.push_back((log.clone(), sequence, write));
                    let delay = 1 + self.draw() % 6;
                    let life = self.nodes[at].life;
                    let event = Event::Synced { log, sequence };
                    self.later(delay, Happening::Event(at, life, event));
                }
                Effect::Order(addressed) => {
                    let delay = self.draw() % 30;
                    let endpoint = self.endpoints.iter().position(|e| *e.vm == *addressed.address);
                    if let Some(endpoint) = endpoint {
                        let order = addressed.order;
                        self.later(delay, Happening::Order { endpoint, order });
                    }
                }
                Effect::Decide { request, decision, .. } => {
                    self.decide(at, request, decision);
                }
                Effect::Abort { request } => self.abort(at, request),
                Effect::Answer { ticket, answer } => {
                    let ok = match answer {
                        Answer::Outcome(outcome) => Some(outcome),
                        _ => None,
                    };
                    self.history.answered(ticket, ok, self.now);
                }
                Effect::Extend { request, until } => {
                    self.nodes[at].permits.insert(request, until);
                }
                Effect::Stopped => self.nodes[at].stopped = true,
                Effect::Log(journal::Event::Unrecorded { request, .. }) => {
                    self.nodes[at].unrecorded.push(request);
                }
                Effect::Close { .. } | Effect::Count(_) | Effect::Log(_) => {}
            }
        }
    }

    /// A caller sends a request to a daemon; returns the number of the call.
    pub fn submit(&mut self, at: usize, submission: &Submission) -> usize {
        let call = self.history.submitted(submission.clone());
        if self.nodes[at].state.is_none() {
            self.history.told(call, Told::Nothing, self.now);
            return call;
        }
        let node = &mut self.nodes[at];
        node.next_request += 1;
        let id = node.next_request + node.life * 1_000_000;
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
        let life = node.life;
        self.later(1, Happening::Event(at, life, Event::Arrived(Box::new(request))));
        call
    }

    /// An operator asks a daemon for a change.
    pub fn operate(&mut self, at: usize, change: Change) -> u64 {
        let ticket = self.history.asked(change.clone(), self.now);
        if self.nodes[at].state.is_none() {
            return ticket;
        }
        let event = Event::Operated { ticket, operation: Operation::Change(change) };
        let life = self.nodes[at].life;
        self.later(1, Happening::Event(at, life, event));
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

    fn decide(&mut self, at: usize, request: u64, decision: Decision) {
        let Some(call) = self.nodes[at].calls.get(&request).copied() else { return };
        match decision {
            Decision::Dispatch(dispatch) => {
                self.history.dispatched(&dispatch.vm, self.now);
                self.nodes[at].permits.insert(request, dispatch.forward_until);
                let life = self.nodes[at].life;
                let delay = 1 + self.draw() % 3;
                self.later(delay, Happening::Sent { node: at, life, request, dispatch });
            }
            Decision::Refuse(Refusal { reason, run, .. }) => {
                self.nodes[at].calls.remove(&request);
                self.history.told(call, Told::Refused(reason, run), self.now);
            }
            Decision::Replay(result) => {
                self.nodes[at].calls.remove(&request);
                self.history.told(call, Told::Answer(result.answer), self.now);
            }
            Decision::Deliver => {
                self.nodes[at].calls.remove(&request);
                let answer = self.history.held(call);
                self.history.told(call, Told::Answer(answer), self.now);
            }
        }
    }

    /// The shell stops an attempt and reports it as lost.
    fn abort(&mut self, at: usize, request: u64) {
        let Some(run) = self.nodes[at].running.get(&request).copied() else { return };
        for endpoint in &mut self.endpoints {
            endpoint.runs.retain(|known| known.id != run);
        }
        self.history.aborts += 1;
        let end = End::Lost { tokens: 0, forwarded: false, crashed: false };
        self.end(at, request, end);
    }

    fn end(&mut self, at: usize, request: u64, end: End) {
        let life = self.nodes[at].life;
        self.later(1, Happening::Event(at, life, Event::Ended { request, end }));
    }

    fn run_on_endpoint(&mut self, node: usize, life: u64, request: u64, dispatch: &Dispatch) {
        if self.nodes[node].life != life {
            return;
        }
        let found = self.endpoints.iter().position(|e| *e.vm == *dispatch.address);
        let reachable = found.filter(|at| {
            let endpoint = &self.endpoints[*at];
            endpoint.alive && !self.is_cut(endpoint.zone, self.nodes[node].zone)
        });
        let Some(at) = reachable else {
            let late = found.is_some_and(|at| self.endpoints[at].refuses_late);
            let lost = End::Lost { tokens: 0, forwarded: false, crashed: true };
            self.end(node, request, if late { lost } else { End::NotSent });
            return;
        };
        if !self.endpoints[at].takes_work(dispatch.generation) {
            self.end(node, request, End::Declined);
            return;
        }
        let Some(call) = self.nodes[node].calls.get(&request).copied() else { return };
        let submission = self.history.submission(call);
        let execution = self.history.executed(call, self.now);
        if submission.poison {
            self.history.deaths += 1;
            self.kill_endpoint(at);
            self.end(node, request, End::Lost { tokens: 0, forwarded: false, crashed: true });
            return;
        }
        self.next_run += 1;
        let id = self.next_run;
        self.nodes[node].running.insert(request, id);
        let keeps_on = dispatch.buffered;
        let endpoint = &mut self.endpoints[at];
        let generation = endpoint.generation;
        endpoint.runs.push(Run { id, node, life, request, call, execution, keeps_on, generation });
        let delay = endpoint.service_ms / 2 + self.random % endpoint.service_ms.max(1);
        let life = self.endpoints[at].life;
        self.later(delay, Happening::Work { endpoint: at, life, run: id });
    }

    /// A run comes to its end on an endpoint.
    fn work(&mut self, at: usize, life: u64, run: u64) {
        let endpoint = &mut self.endpoints[at];
        let position = endpoint.runs.iter().position(|known| known.id == run);
        let Some(position) = position.filter(|_| endpoint.life == life) else { return };
        let run = endpoint.runs.remove(position);
        let lost = endpoint.loses_answers;
        let (group, plain) = (endpoint.group.clone(), endpoint.plain);
        if self.nodes[run.node].life != run.life {
            return;
        }
        let cut = self.is_cut(self.endpoints[at].zone, self.nodes[run.node].zone);
        if lost || cut {
            let end = End::Lost { tokens: 0, forwarded: false, crashed: true };
            self.end(run.node, run.request, end);
            return;
        }
        let group = (!plain).then_some(group);
        let answer = format!("answer of execution {}", run.execution).into_bytes();
        self.later(1, Happening::Answer { run, group, answer });
    }

    /// The shell forwards an answer, if its permission holds when it comes to that.
    fn forward(&mut self, run: Run, group: Option<String>, answer: Vec<u8>) {
        let node = &self.nodes[run.node];
        if node.life != run.life || node.running.get(&run.request) != Some(&run.id) {
            return;
        }
        let permit = node.permits.get(&run.request).copied();
        if permit.is_none_or(|until| self.clock(run.node) >= until) {
            let end = End::Lost { tokens: 0, forwarded: false, crashed: false };
            self.end(run.node, run.request, end);
            return;
        }
        if let Some(group) = group {
            self.check_whole(&group, run.generation);
        }
        self.history.hold(run.call, answer.clone());
        if !run.keeps_on {
            self.nodes[run.node].calls.remove(&run.request);
            self.history.told(run.call, Told::Answer(answer.clone()), self.now);
        }
        let content_type = String::new();
        let end = End::Answered { status: 200, content_type, body: answer, tokens: 1 };
        self.end(run.node, run.request, end);
    }

    /// Holds that each member of a generation whose answer is forwarded now has announced it as
    /// ready or draining within the TTL, plus one tick of the daemon.
    fn check_whole(&mut self, group: &str, generation: u64) {
        let horizon = self.now - 2000 - 2 * TICK;
        let of_group = |e: &&Endpoint| {
            let said = e.said_ready.get(&(group.to_owned(), generation));
            said.is_some_and(|at| *at >= horizon)
        };
        let present = self.endpoints.iter().filter(of_group).count();
        let size = self.endpoints.iter().filter(|e| e.group == group).map(|e| e.members).max();
        let size = size.unwrap_or(0) as usize;
        assert!(
            present >= size.max(1),
            "{group} answered in generation {generation} with {present} of {size} members"
        );
    }

    pub fn add_endpoint(&mut self, endpoint: Endpoint) {
        self.endpoints.push(endpoint);
        let at = self.endpoints.len() - 1;
        let life = self.endpoints[at].life;
        self.later(at as u64 % 40, Happening::Announce(at, life));
    }

    pub fn kill_endpoint(&mut self, at: usize) {
        let runs = self.endpoints[at].kill();
        for run in runs {
            if self.nodes[run.node].life == run.life {
                let end = End::Lost { tokens: 0, forwarded: false, crashed: true };
                self.end(run.node, run.request, end);
            }
        }
    }

    pub fn restart_endpoint(&mut self, at: usize) {
        if self.endpoints[at].alive {
            return;
        }
        let now = self.now;
        self.endpoints[at].restart(now);
        let life = self.endpoints[at].life;
        self.later(1, Happening::Announce(at, life));
    }

    fn announce(&mut self, at: usize, life: u64) {
        if !self.endpoints[at].alive || self.endpoints[at].life != life {
            return;
        }
        self.later(ANNOUNCE, Happening::Announce(at, life));
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
        let node_life = self.nodes[node].life;
        let stamp = known.filter(|(_, life, _)| *life == node_life).map(|(_, _, stamp)| stamp);
        let announcement = Box::new(endpoint.announcement(now));
        let event = Event::Announced { announcement, stamp };
        let endpoint_life = endpoint.life;
        let delay = 1 + self.draw() % 5;
        let happening =
            Happening::Announced { node, life: node_life, endpoint: at, endpoint_life, event };
        self.later(delay, happening);
    }

    fn order(&mut self, at: usize, order: dotterelhoist_core::message::Order) {
        let now = self.now;
        let endpoint = &mut self.endpoints[at];
        if !endpoint.alive {
            return;
        }
        if let Some(generation) = endpoint.obey(&order, now) {
            let (delay, life) = (endpoint.load_ms, endpoint.life);
            self.later(delay, Happening::Loaded { endpoint: at, life, generation });
        }
    }
}
