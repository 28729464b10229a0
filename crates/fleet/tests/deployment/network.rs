//! Simulation of control and entry daemons on links of limited bandwidth, without sockets or
//! clocks.
//!
//! Each VM sends and receives one frame at a time, at the speed of its link; frames between two
//! daemons arrive in the order in which they were sent. Connections never end.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::time::Duration;

use dotterelhoist_core::clock::Instant;
use dotterelhoist_core::replica::message::Voter;
use dotterelhoist_core::replica::{Identity, Stored};
use dotterelhoist_fleet::control::planner::Times;
use dotterelhoist_fleet::control::{self, Answer, Reader};
use dotterelhoist_fleet::document::{Document, Draft, Finding, Kind, Route, Service, Share};
use dotterelhoist_fleet::endpoint::Heartbeat;
use dotterelhoist_fleet::entry::{self, Attempt, Decision, End, Loss, Refusal, Request};
use dotterelhoist_fleet::message::{Body, Frame, Hello};
use dotterelhoist_fleet::probe;
use dotterelhoist_fleet::Name;
use prost::Message;

const TICK: Duration = Duration::from_millis(25);
const LATENCY: Duration = Duration::from_micros(500);
const SYNC_TIME: Duration = Duration::from_millis(5);
/// Time in which an endpoint runs a request.
const RUN_TIME: Duration = Duration::from_millis(30);
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1200);
/// Time for which callers wait.
const CALLER_TIMEOUT: Duration = Duration::from_millis(1500);
/// Endpoints of [`Network::open_serving`].
const ENDPOINTS: usize = 12;
/// Requests per second of all callers of [`Network::open_serving`].
const REQUEST_RATE: u32 = 60;
/// Time after which an entry daemon gives up to establish a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(180);
/// Time from the end of an endpoint to its next start.
const RESTART_TIME: Duration = Duration::from_millis(1500);
/// Prompt segment of all requests.
const COMMON_SEGMENT: u64 = 1;
/// Prompt segment that ends the endpoints which run a request with it.
const CRASHING_SEGMENT: u64 = 2;
/// Number of further prompt segments, of which each other request has one.
const SOUND_SEGMENTS: u64 = 20;
/// Control daemons that create the log.
const INITIAL_VOTERS: usize = 3;
const SERVICE: &str = "desk";
const HOST: &str = "families.example";

/// Daemons and the bandwidth of their links.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    pub control_daemons: usize,
    pub entry_daemons: usize,
    /// Bytes per second that a control daemon can send, and as many that it can receive.
    pub control_bandwidth: f64,
    /// Bytes per second that an entry daemon can send, and as many that it can receive.
    pub entry_bandwidth: f64,
}

/// Reads documents whose first line is a version number; the other lines are ignored.
#[derive(Clone, Debug)]
pub struct LineReader;

impl Reader for LineReader {
    fn read(&self, bytes: &[u8]) -> Result<Document, Vec<Finding>> {
        let text = String::from_utf8_lossy(bytes);
        let line = text.lines().next().unwrap_or_default();
        let version = line.parse().map_err(|_| {
            let place = "line 1".to_owned();
            vec![Finding::Malformed { place, detail: line.to_owned() }]
        })?;
        let share = Share { service: SERVICE.into(), weight: 1 };
        let route = Route {
            name: "read".into(),
            host: HOST.into(),
            prefix: "/".into(),
            kind: Kind::Idempotent,
            timeout: Duration::from_secs(3),
            target_latency: Duration::from_millis(300),
            priority: 1,
            split: [share].into_iter().collect(),
            max_attempts: 2,
            public: true,
            resumable: false,
            event_gap: None,
        };
        let service = Service { name: SERVICE.into(), max_connections: 99, engine: None };
        let (routes, services) = (vec![route], vec![service]);
        Document::build(Draft { version, routes, services, ..Draft::default() })
    }
}

/// A simulated endpoint. It answers each request after [`RUN_TIME`].
#[derive(Debug, Default)]
pub struct Endpoint {
    /// Requests per second that it states to take from all entry daemons together.
    pub limit: Option<f64>,
    /// Requests that it got: when, and from which entry daemon.
    pub arrivals: Vec<(Instant, Name)>,
    /// When each entry daemon was first told a limit.
    pub told: BTreeMap<Name, Instant>,
    /// Heartbeats sent since its start.
    sequence: u64,
    /// Number of its starts.
    starts: u64,
    /// Until when it is down; none if it has never ended.
    down_until: Option<Instant>,
    /// Requests in flight there, with the daemon that sent each.
    in_flight: BTreeMap<u64, Name>,
}

/// Requests that end the endpoints which run them, and what became of the others.
#[derive(Debug, Default)]
pub struct Crashing {
    /// Each request whose number is a multiple of this has [`CRASHING_SEGMENT`]; none if no request has.
    pub every: Option<u64>,
    /// When endpoints ended because of it.
    pub ends: Vec<Instant>,
    /// When requests with it reached endpoints.
    pub arrivals: Vec<Instant>,
    /// The other requests that have ended.
    pub sound: Vec<Sound>,
}

/// A request that ends no endpoint.
#[derive(Clone, Debug)]
pub struct Sound {
    /// Entry daemon at which it arrived.
    pub daemon: Name,
    /// When it arrived at an entry daemon.
    pub arrived_at: Instant,
    pub served: bool,
}

impl Crashing {
    fn is_crashing(&self, id: u64) -> bool {
        self.every.is_some_and(|every| id.is_multiple_of(every))
    }

    fn record_end(&mut self, daemon: &Name, id: u64, arrived_at: Instant, served: bool) {
        if !self.is_crashing(id) {
            self.sound.push(Sound { daemon: daemon.clone(), arrived_at, served });
        }
    }
}

/// A document of [`LineReader`] with routes of random names, each of about 230 bytes.
pub fn document(version: u64, routes: usize) -> Vec<u8> {
    let mut state = 0x9e37_79b9_7f4a_7c15u64;
    let mut random = || {
        state ^= state << 13;
        state ^= state >> 7;
        state ^= state << 17;
        state
    };
    let mut text = format!("{version}\n");
    for _ in 0..routes {
        let (name, prefix) = (random() >> 24, random() >> 24);
        text.push_str(&format!(
            "{{\"name\":\"r-{name:x}\",\"host\":\"families.example\",\"path_prefix\":\"/{prefix:x}/\",\
             \"route_type\":\"idempotent\",\"timeout_ms\":1500,\"target_latency_ms\":150,\"priority\":1,\
             \"service\":\"desk\",\"attempts\":2,\"public\":false,\"sticky\":false,\"resumable\":false}}\n"
        ));
    }
    text.into_bytes()
}

/// What happens to a daemon.
#[derive(Debug)]
enum Occurrence {
    Tick,
    Received(Name, Body),
    Connected(Hello),
    Persisted(u64),
    /// A caller sends a request.
    Request(u64),
    /// Another entry daemon relays a request.
    Relayed(u64),
    /// An endpoint has answered the request.
    Answered(u64, Name),
    /// An attempt to send the request to an endpoint has ended like this.
    Ended(u64, End),
    /// The endpoint ends, and starts again after [`RESTART_TIME`].
    Crash(Name),
    /// A probe of the endpoint with this identity has arrived there.
    Probe(Name),
    /// The endpoint with this identity sends a heartbeat to the daemon.
    Heartbeat(Name),
}

/// An occurrence in the order of time, then of its creation.
#[derive(Debug)]
struct Scheduled {
    at: Instant,
    number: u64,
    daemon: Name,
    occurrence: Occurrence,
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Scheduled) -> std::cmp::Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Scheduled) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Scheduled) -> bool {
        self.number == other.number
    }
}

impl Eq for Scheduled {}

/// The link of a VM.
#[derive(Clone, Copy, Debug, Default)]
struct Link {
    /// When everything that was passed to it has been sent.
    sent_at: Instant,
    /// When everything that is on the way to it has been received.
    received_at: Instant,
}

/// A deployment.
pub struct Network {
    shape: Shape,
    pub now: Instant,
    pub control: BTreeMap<Name, control::State<LineReader>>,
    pub entry: BTreeMap<Name, entry::State<LineReader>>,
    pub answers: BTreeMap<u64, (Instant, Answer)>,
    /// Bytes of all frames sent so far.
    pub sent_bytes: usize,
    /// Longest time from the sending of a frame to its arrival, by the kind of message.
    pub longest_transfers: BTreeMap<&'static str, Duration>,
    pub endpoints: BTreeMap<Name, Endpoint>,
    /// Refusals of requests, with the time from their arrival.
    pub refusals: Vec<(Duration, Refusal)>,
    /// Number of requests that were answered.
    pub answered: usize,
    /// Control daemons that are suspended; what is sent to them is lost.
    pub down: BTreeSet<Name>,
    /// Entry daemons that reach no endpoint.
    pub cut: BTreeSet<Name>,
    /// Whether connections of these daemons hang, instead of being reset or refused.
    pub cut_hangs: bool,
    pub crashing: Crashing,
    /// Entry daemons that have relayed the requests which another one now handles, by request.
    relayed: BTreeMap<u64, Name>,
    /// Number of requests that were relayed.
    pub relay_count: usize,
    /// Requests for slots that entry daemons have sent.
    pub slot_requests: usize,
    /// When each request arrived that has no final response.
    running: BTreeMap<u64, Instant>,
    links: BTreeMap<Name, Link>,
    schedule: BinaryHeap<Reverse<Scheduled>>,
    last_number: u64,
    last_ticket: u64,
}

impl Network {
    /// Starts all daemons in three availability zones; every entry daemon connects to every control
    /// daemon.
    pub fn open(shape: Shape) -> Network {
        let mut network = Network {
            shape,
            now: Instant::from_millis(3_600_000),
            control: BTreeMap::new(),
            entry: BTreeMap::new(),
            answers: BTreeMap::new(),
            sent_bytes: 0,
            longest_transfers: BTreeMap::new(),
            endpoints: BTreeMap::new(),
            refusals: Vec::new(),
            answered: 0,
            down: BTreeSet::new(),
            cut: BTreeSet::new(),
            cut_hangs: false,
            crashing: Crashing::default(),
            relayed: BTreeMap::new(),
            relay_count: 0,
            slot_requests: 0,
            running: BTreeMap::new(),
            links: BTreeMap::new(),
            schedule: BinaryHeap::new(),
            last_number: 0,
            last_ticket: 0,
        };
        for index in 0..shape.control_daemons {
            network.start_control(index);
        }
        for index in 0..shape.entry_daemons {
            network.start_entry(index);
        }
        network
    }

    /// Starts all daemons and [`ENDPOINTS`] endpoints, and requests at [`REQUEST_RATE`] for half a
    /// minute; runs until they are served.
    pub fn open_serving(shape: Shape) -> Network {
        let mut network = Network::open(shape);
        let second = Duration::from_secs(1);
        network.run_until(second * 3, |_| false);
        network.put(0, document(1, 0));
        for index in 0..ENDPOINTS {
            network.start_endpoint(&format!("e{index}"));
        }
        assert!(network.run_until(second * 5, |network| network.lagging(1) == 0));
        network.send_requests(REQUEST_RATE, second * 30);
        network.run_until(second * 3, |_| false);
        network
    }

    fn start_control(&mut self, index: usize) {
        self.open_control(index, 0);
        let offset = Duration::from_millis(index as u64);
        self.after(TICK + offset, &control_name(index), Occurrence::Tick);
    }

    /// Starts a control daemon with an empty disk, in place of the one that has run so far.
    /// `disk` is a number that no disk of it has had.
    pub fn restart_control(&mut self, index: usize, disk: u32) {
        self.open_control(index, disk);
        for entry in 0..self.shape.entry_daemons {
            let (daemon, zone) = (entry_name(entry).to_string(), zone(entry).to_string());
            let hello = Hello { daemon, zone, control: false };
            self.after(LATENCY, &control_name(index), Occurrence::Connected(hello));
        }
    }

    fn open_control(&mut self, index: usize, disk: u32) {
        let name = control_name(index);
        let names: Vec<Name> = (0..self.shape.control_daemons).map(control_name).collect();
        let initial_voters = names.iter().take(INITIAL_VOTERS).map(|name| Voter {
            replica: format!("{name}#0"),
            daemon: name.to_string(),
            weight: 1,
        });
        let second = Duration::from_secs(1);
        let setup = control::Setup {
            daemon: name.clone(),
            zone: zone(index),
            seeds: names.clone(),
            voter_count: 5,
            times: Times { heartbeat_interval: second, stall_timeout: second * 4 },
        };
        let replica = format!("{name}#{disk}").into();
        let identity = Identity { replica, daemon: name.clone(), weight: 1, electable: true };
        let mut stored = Stored::default();
        if disk == 0 && index < INITIAL_VOTERS {
            stored.initial_voters = initial_voters.collect();
        }
        let mut effects = Vec::new();
        let state =
            control::State::open(setup, LineReader, identity, stored, self.now, &mut effects);
        self.control.insert(name.clone(), state);
        self.carry_out_control(&name, effects);
    }

    fn start_entry(&mut self, index: usize) {
        self.open_entry(index);
        let offset = Duration::from_micros(index as u64 * 300);
        self.after(TICK + offset, &entry_name(index), Occurrence::Tick);
    }

    /// Starts an entry daemon without a state, in place of the one that has run so far.
    pub fn restart_entry(&mut self, index: usize) {
        self.open_entry(index);
    }

    fn open_entry(&mut self, index: usize) {
        let name = entry_name(index);
        let zone = zone(index);
        let setup = entry::Setup {
            daemon: name.clone(),
            zone: zone.clone(),
            retry_ratio: 0.1,
            retry_slack: 40.0,
            apply_timeout: Duration::from_millis(2500),
            relay_port: 7,
        };
        let state = entry::State::open(setup, LineReader, index as u64 + 1, self.now);
        self.entry.insert(name.clone(), state);
        for peer in (0..self.shape.control_daemons).map(control_name) {
            let hello = Hello { daemon: name.to_string(), zone: zone.to_string(), control: false };
            self.after(LATENCY, &peer, Occurrence::Connected(hello));
            let hello = Hello { daemon: peer.to_string(), control: true, ..Hello::default() };
            self.after(LATENCY, &name, Occurrence::Connected(hello));
        }
    }

    /// Cuts an entry daemon off from all endpoints. What it has in flight is lost or, if connections hang,
    /// does not end.
    pub fn cut_entry(&mut self, index: usize) {
        let name = entry_name(index);
        if self.cut_hangs {
            for endpoint in self.endpoints.values_mut() {
                endpoint.in_flight.retain(|_, daemon| *daemon != name);
            }
            self.cut.insert(name);
            return;
        }
        let ids: Vec<Name> = self.endpoints.keys().cloned().collect();
        for id in ids {
            self.lose_in_flight(&id, |daemon| *daemon == name);
        }
        self.cut.insert(name);
    }

    /// Ends an endpoint, which starts again after [`RESTART_TIME`] under its identity.
    pub fn crash(&mut self, id: &Name) {
        self.lose_in_flight(id, |_| true);
        let Some(endpoint) = self.endpoints.get_mut(id) else { return };
        endpoint.starts += 1;
        endpoint.limit = None;
        endpoint.down_until = Some(self.now + RESTART_TIME);
    }

    /// Loses the requests that some entry daemons have in flight at an endpoint.
    fn lose_in_flight<Chosen>(&mut self, id: &Name, is_chosen: Chosen)
    where
        Chosen: Fn(&Name) -> bool,
    {
        let Some(endpoint) = self.endpoints.get_mut(id) else { return };
        let in_flight = std::mem::take(&mut endpoint.in_flight);
        let (lost, kept) = in_flight.into_iter().partition(|(_, daemon)| is_chosen(daemon));
        endpoint.in_flight = kept;
        let lost: BTreeMap<u64, Name> = lost;
        for (request, daemon) in lost {
            let ended = Occurrence::Ended(request, End::Lost(Loss::Failed));
            self.after(LATENCY, &daemon, ended);
        }
    }

    /// Starts an endpoint, or starts it again under its identity. It sends its heartbeats to the
    /// first control daemon.
    pub fn start_endpoint(&mut self, id: &str) {
        let started_before = self.endpoints.contains_key(id);
        let endpoint = self.endpoints.entry(id.into()).or_default();
        endpoint.starts += 1;
        endpoint.limit = None;
        if !started_before {
            self.after(Duration::ZERO, &control_name(0), Occurrence::Heartbeat(id.into()));
        }
    }

    /// Sends `per_second` requests, one to each entry daemon in turn, for the time `span`.
    pub fn send_requests(&mut self, per_second: u32, span: Duration) {
        let interval = Duration::from_secs(1) / per_second;
        let count = (span.as_secs_f64() * f64::from(per_second)) as u32;
        for index in 0..count {
            let daemon = entry_name(index as usize % self.shape.entry_daemons);
            let number = self.last_number;
            self.after(interval * index, &daemon, Occurrence::Request(number));
        }
    }

    /// Sends a document to a control daemon and returns the ticket of the call.
    pub fn put(&mut self, index: usize, body: Vec<u8>) -> u64 {
        self.last_ticket += 1;
        let ticket = self.last_ticket;
        self.apply_control(&control_name(index), control::Event::PutDocument { ticket, body });
        ticket
    }

    /// Runs until `done` returns true or `span` is over; returns whether `done` returned true.
    pub fn run_until<Done>(&mut self, span: Duration, done: Done) -> bool
    where
        Done: Fn(&Network) -> bool,
    {
        let end = self.now + span;
        while self.schedule.peek().is_some_and(|next| next.0.at <= end) {
            if done(self) {
                return true;
            }
            let Some(Reverse(next)) = self.schedule.pop() else { break };
            self.now = next.at;
            self.process(next.daemon, next.occurrence);
        }
        self.now = end;
        done(self)
    }

    /// The control daemon that leads.
    pub fn leader(&self) -> Option<Name> {
        let running = self.control.iter().filter(|(name, _)| !self.down.contains(*name));
        let mut leaders = running.filter(|(_, state)| state.leads(self.now));
        leaders.next().map(|(name, _)| name.clone())
    }

    /// When the call with this ticket was accepted; none if it was not.
    pub fn accepted_at(&self, ticket: u64) -> Option<Instant> {
        let (at, answer) = self.answers.get(&ticket)?;
        (*answer == Answer::Accepted).then_some(*at)
    }

    /// Number of entry daemons with an older document than `version`.
    pub fn lagging(&self, version: u64) -> usize {
        let has = |state: &&entry::State<LineReader>| {
            state.document().is_some_and(|document| document.version >= version)
        };
        self.entry.len() - self.entry.values().filter(has).count()
    }

    fn process(&mut self, daemon: Name, occurrence: Occurrence) {
        if matches!(occurrence, Occurrence::Tick) {
            self.after(TICK, &daemon, Occurrence::Tick);
        }
        if let Occurrence::Crash(id) = &occurrence {
            self.crashing.ends.push(self.now);
            self.crash(id);
            return;
        }
        if self.down.contains(&daemon) {
            if let Occurrence::Heartbeat(id) = occurrence {
                let running = self.control.keys().find(|name| !self.down.contains(*name)).cloned();
                let running = running.expect("a control daemon is running");
                self.after(HEARTBEAT_INTERVAL, &running, Occurrence::Heartbeat(id));
            }
            return;
        }
        if self.control.contains_key(&daemon) {
            let random = self.last_number.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 33;
            let event = match occurrence {
                Occurrence::Tick => control::Event::Tick { random },
                Occurrence::Received(from, body) => control::Event::Received { from, body, random },
                Occurrence::Connected(hello) => control::Event::Connected(hello),
                Occurrence::Persisted(sequence) => control::Event::Persisted(sequence),
                Occurrence::Heartbeat(id) => {
                    self.after(HEARTBEAT_INTERVAL, &daemon, Occurrence::Heartbeat(id.clone()));
                    if self.is_down(&id) {
                        return;
                    }
                    control::Event::Heartbeat(Box::new(self.heartbeat(&id)))
                }
                Occurrence::Probe(id) => {
                    let outcome = match self.is_down(&id) {
                        true => probe::Outcome::Refused,
                        false => probe::Outcome::Report(Box::new(self.heartbeat(&id))),
                    };
                    let address = self.heartbeat(&id).address.as_str().into();
                    control::Event::ProbeFinished { id, address, outcome }
                }
                _ => return,
            };
            self.apply_control(&daemon, event);
            return;
        }
        let event = match occurrence {
            Occurrence::Tick => entry::Event::Tick,
            Occurrence::Received(from, body) => entry::Event::Received(from, body),
            Occurrence::Connected(hello) => entry::Event::Connected(hello.daemon.as_str().into()),
            Occurrence::Request(id) => {
                self.running.insert(id, self.now);
                entry::Event::RequestArrived(Box::new(self.request(id)))
            }
            Occurrence::Relayed(id) => {
                let request = Request { relayed: true, ..self.request(id) };
                entry::Event::RequestArrived(Box::new(request))
            }
            Occurrence::Ended(id, End::Answered) => {
                self.record_answer(&daemon, id);
                entry::Event::AttemptEnded(id, End::Answered)
            }
            Occurrence::Ended(id, end) => entry::Event::AttemptEnded(id, end),
            Occurrence::Answered(id, endpoint) => {
                let sent = self.endpoints.get_mut(&endpoint).expect("it exists");
                if sent.in_flight.remove(&id).is_none() {
                    return;
                }
                let limit = sent.limit;
                if limit.is_some() {
                    let told = &mut self.endpoints.get_mut(&endpoint).expect("it exists").told;
                    told.entry(daemon.clone()).or_insert(self.now);
                }
                self.apply_entry(&daemon, entry::Event::LimitStated(endpoint, limit));
                self.record_answer(&daemon, id);
                entry::Event::AttemptEnded(id, End::Answered)
            }
            _ => return,
        };
        self.apply_entry(&daemon, event);
    }

    /// Records that a daemon has answered a request, or passes the answer to the daemon that relayed it.
    fn record_answer(&mut self, daemon: &Name, id: u64) {
        if let Some(origin) = self.take_origin(daemon, id) {
            self.after(LATENCY, &origin, Occurrence::Ended(id, End::Answered));
            return;
        }
        if let Some(arrived_at) = self.running.remove(&id) {
            self.crashing.record_end(daemon, id, arrived_at, true);
        }
        self.answered += 1;
    }

    /// Removes and returns the daemon that has relayed a request to this one.
    fn take_origin(&mut self, daemon: &Name, id: u64) -> Option<Name> {
        let origin = self.relayed.get(&id).filter(|origin| *origin != daemon)?.clone();
        self.relayed.remove(&id);
        Some(origin)
    }

    fn apply_entry(&mut self, daemon: &Name, event: entry::Event) {
        let mut effects = Vec::new();
        let Some(state) = self.entry.get_mut(daemon) else { return };
        state.apply(self.now, event, &mut effects);
        for effect in effects {
            match effect {
                entry::Effect::Send(to, body) => self.send(daemon, to, body),
                entry::Effect::Decide(id, Decision::Send(attempt)) => self.run(daemon, id, attempt),
                entry::Effect::Decide(id, Decision::Refuse(refusal)) => {
                    if let Some(origin) = self.take_origin(daemon, id) {
                        let status = refusal.reason.status();
                        let end = match status {
                            502 | 504 => End::Lost(Loss::Unsigned),
                            _ => End::Declined { status },
                        };
                        self.after(LATENCY, &origin, Occurrence::Ended(id, end));
                        continue;
                    }
                    if let Some(arrived_at) = self.running.remove(&id) {
                        self.crashing.record_end(daemon, id, arrived_at, false);
                        self.refusals.push((self.now.since(arrived_at), refusal));
                    }
                }
                _ => {}
            }
        }
    }

    /// Runs a request at an endpoint.
    fn run(&mut self, daemon: &Name, id: u64, attempt: Attempt) {
        if attempt.relay {
            let relay: Name = attempt.target.trim_start_matches("relay-").into();
            self.relayed.insert(id, daemon.clone());
            self.relay_count += 1;
            self.after(LATENCY, &relay, Occurrence::Relayed(id));
            return;
        }
        if self.is_down(&attempt.target) || self.cut.contains(daemon) {
            let hangs = self.cut_hangs && self.cut.contains(daemon);
            let time = if hangs { CONNECT_TIMEOUT } else { LATENCY * 2 };
            self.after(time, daemon, Occurrence::Ended(id, End::Unreachable));
            return;
        }
        let Some(endpoint) = self.endpoints.get_mut(&attempt.target) else { return };
        endpoint.arrivals.push((self.now, daemon.clone()));
        endpoint.in_flight.insert(id, daemon.clone());
        if self.crashing.is_crashing(id) {
            self.crashing.arrivals.push(self.now);
            self.after(RUN_TIME, daemon, Occurrence::Crash(attempt.target));
            return;
        }
        self.after(RUN_TIME, daemon, Occurrence::Answered(id, attempt.target));
    }

    fn is_down(&self, id: &Name) -> bool {
        let endpoint = self.endpoints.get(id);
        endpoint.is_none_or(|endpoint| endpoint.down_until.is_some_and(|until| self.now < until))
    }

    fn heartbeat(&mut self, id: &Name) -> Heartbeat {
        let endpoint = self.endpoints.get_mut(id).expect("it was started");
        endpoint.sequence += 1;
        Heartbeat {
            id: id.to_string(),
            service: SERVICE.into(),
            address: format!("{id}:80"),
            zone: "a".into(),
            started_unix_ms: endpoint.starts,
            sequence: endpoint.sequence,
            slots: 6,
            ..Heartbeat::default()
        }
    }

    fn apply_control(&mut self, daemon: &Name, event: control::Event) {
        let mut effects = Vec::new();
        let Some(state) = self.control.get_mut(daemon) else { return };
        state.apply(self.now, event, &mut effects);
        self.carry_out_control(daemon, effects);
    }

    fn carry_out_control(&mut self, daemon: &Name, effects: Vec<control::Effect>) {
        for effect in effects {
            match effect {
                control::Effect::Send(to, body) => self.send(daemon, to, body),
                control::Effect::Persist(sequence, _) => {
                    self.after(SYNC_TIME, daemon, Occurrence::Persisted(sequence));
                }
                control::Effect::Probe { id, .. } => {
                    self.after(LATENCY * 2, daemon, Occurrence::Probe(id));
                }
                control::Effect::Answer(ticket, answer) => {
                    self.answers.insert(ticket, (self.now, answer));
                }
                _ => {}
            }
        }
    }

    /// Sends a frame. It leaves when the sender's link is free, and has arrived when the receiver's
    /// link has received it after all earlier ones.
    fn send(&mut self, from: &Name, to: Name, body: Body) {
        if self.down.contains(from) || self.down.contains(&to) {
            return;
        }
        self.slot_requests += usize::from(matches!(body, Body::Reserve(_)));
        let bytes = Frame { body: Some(body.clone()) }.encoded_len() + 4;
        self.sent_bytes += bytes;
        let (send_time, receive_time) = (self.transfer(from, bytes), self.transfer(&to, bytes));
        let sender = self.links.entry(from.clone()).or_default();
        let begun = sender.sent_at.max(self.now);
        sender.sent_at = begun + send_time;
        let sent_at = sender.sent_at;
        let receiver = self.links.entry(to.clone()).or_default();
        let received_at =
            (receiver.received_at.max(begun + LATENCY) + receive_time).max(sent_at + LATENCY);
        receiver.received_at = received_at;
        let longest = self.longest_transfers.entry((&body).into()).or_default();
        *longest = (*longest).max(received_at.since(self.now));
        self.at(received_at, &to, Occurrence::Received(from.clone(), body));
    }

    /// Time in which a daemon's link transfers this many bytes.
    fn transfer(&self, daemon: &Name, bytes: usize) -> Duration {
        let bandwidth = match self.control.contains_key(daemon) {
            true => self.shape.control_bandwidth,
            false => self.shape.entry_bandwidth,
        };
        Duration::from_secs_f64(bytes as f64 / bandwidth)
    }

    /// A request that arrives now. Its last segment is its own and therefore not listed.
    fn request(&self, id: u64) -> Request {
        let segment = match self.crashing.is_crashing(id) {
            true => CRASHING_SEGMENT,
            false => 10 + id % SOUND_SEGMENTS,
        };
        Request {
            id,
            request_id: format!("r{id}").into(),
            host: HOST.into(),
            path: "/x".into(),
            key: None,
            model: "".into(),
            prompt_tokens: 0,
            expected_output_tokens: 0,
            fingerprint: id,
            segments: [COMMON_SEGMENT, segment].into_iter().collect(),
            deadline: self.now + CALLER_TIMEOUT,
            relayed: false,
            resolved_by: None,
        }
    }

    fn after(&mut self, span: Duration, daemon: &Name, occurrence: Occurrence) {
        self.at(self.now + span, daemon, occurrence);
    }

    fn at(&mut self, at: Instant, daemon: &Name, occurrence: Occurrence) {
        self.last_number += 1;
        let number = self.last_number;
        self.schedule.push(Reverse(Scheduled { at, number, daemon: daemon.clone(), occurrence }));
    }
}

fn zone(index: usize) -> Name {
    ["a", "b", "c"][index % 3].into()
}

pub fn control_name(index: usize) -> Name {
    format!("10.{}.0.{}", index % 3, 1 + index / 3).into()
}

fn entry_name(index: usize) -> Name {
    format!("10.{}.0.{}", index % 3, 100 + index / 3).into()
}
