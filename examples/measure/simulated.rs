//! The decision code of one daemon on a simulated clock, without network and disk. A host is a
//! daemon that has a disk and keeps replicas of logs.

use dotterelhoist_core::clock::Instant;
use dotterelhoist_core::control::command::Change;
use dotterelhoist_core::effect::{Effect, Effects};
use dotterelhoist_core::event::{Event, Operation};
use dotterelhoist_core::message::{Body, Hello, Order, RouteEntry};
use dotterelhoist_core::object::Kind;
use dotterelhoist_core::policy::Policy;
use dotterelhoist_core::replica::message::Voter;
use dotterelhoist_core::replica::{Identity, Stored, Timing};
use dotterelhoist_core::request::{Call, Decision, Request};
use dotterelhoist_core::route::Strategy;
use dotterelhoist_core::state::{Content, LogSetup, Peer, Setup, State, StoredReplica};
use dotterelhoist_core::Name;

/// The state of one daemon, in zone `z`. Each log has one voter, and writes are confirmed at once.
pub struct Daemon {
    /// The decision code.
    pub state: State,
    /// Simulated time in milliseconds.
    pub now_ms: u64,
    /// Orders that the daemon has sent to endpoints, oldest first.
    pub orders: Vec<Order>,
    /// Ids of requests with the decisions on them, oldest first.
    pub decisions: Vec<(u64, Decision)>,
}

impl Daemon {
    /// Opens the state with the default policy but practically no limit on model loads, brings up
    /// `links` links to other daemons and advances the clock by 6 s. If `host` is set, the daemon
    /// also keeps the only replica of the zone's placement log.
    pub fn new(host: bool, links: usize) -> Daemon {
        Daemon::with_policy(
            host,
            links,
            Policy { loads_per_minute: 1_000_000, ..Policy::default() },
        )
    }

    /// As [`Daemon::new`], with a given policy.
    pub fn with_policy(host: bool, links: usize, policy: Policy) -> Daemon {
        let name: Name = "d".into();
        let log = |log: &str, content, host: &str| LogSetup {
            name: log.into(),
            content,
            hosts: vec![host.into()],
        };
        let logs = vec![
            log("c", Content::Configuration, "d"),
            log("k", Content::Claims, "d"),
            log("p", Content::Placement("z".into()), if host { "d" } else { "h" }),
        ];
        let own_voter = Voter { replica: "d#0".into(), daemon: "d".into(), weight: 1 };
        let stored = Stored { initial_voters: vec![own_voter], ..Stored::default() };
        let hosted_logs = logs.iter().filter(|log| host || log.name != "p".into());
        let replicas = hosted_logs.map(|log| StoredReplica {
            log: log.name.clone(),
            identity: Identity {
                replica: "d#0".into(),
                daemon: name.clone(),
                weight: 1,
                electable: true,
            },
            stored: stored.clone(),
        });
        let replicas = replicas.collect();
        let setup = Setup {
            daemon: name,
            incarnation: 1_796_330_859_491,
            first_ticket: 1,
            zone: "z".into(),
            zones: vec!["z".into()],
            peers: vec![Peer { daemon: "h".into(), zone: "z".into() }],
            logs,
            policy,
            timing: Timing::default(),
            strategy: Strategy::Affinity,
        };
        let mut effects = Vec::new();
        let state = State::open(setup, replicas, Instant::from_millis(4_000_000), &mut effects);
        let mut daemon =
            Daemon { state, now_ms: 4_000_000, orders: Vec::new(), decisions: Vec::new() };
        daemon.handle_effects(effects);
        for number in 0..links {
            let peer = if number == 0 { "h".to_owned() } else { format!("l{number}") };
            let peers = vec!["d".to_owned()];
            let hello = Hello { daemon: peer, incarnation: 1, zone: "z".to_owned(), peers };
            daemon.apply(Event::LinkUp(hello));
        }
        daemon.advance(6000);
        daemon
    }

    /// Applies an event, confirms its writes at once, and keeps its orders and decisions.
    pub fn apply(&mut self, event: Event) {
        let mut effects = Vec::new();
        self.state.apply(Instant::from_millis(self.now_ms), event, &mut effects);
        self.handle_effects(effects);
    }

    /// Confirms writes, which can cause further effects, and keeps orders and decisions.
    fn handle_effects(&mut self, effects: Effects) {
        for effect in effects {
            match effect {
                Effect::Persist { log, sequence, .. } => {
                    self.apply(Event::Synced { log, sequence });
                }
                Effect::SendOrder(addressed) => self.orders.push(addressed.order),
                Effect::Decide { request, decision, .. } => {
                    self.decisions.push((request, decision));
                }
                _ => {}
            }
        }
    }

    /// Advances the clock by `millis`, with a tick every 50 ms.
    pub fn advance(&mut self, millis: u64) {
        for _ in 0..millis / 50 {
            self.now_ms += 50;
            self.apply(Event::Tick { random: 7 });
        }
    }

    /// Receives a message from the host `h`; its echo of this daemon's clock gives a round trip of
    /// 1 ms.
    pub fn receive(&mut self, body: Body) {
        let echo = self.now_ms - 1;
        self.apply(Event::MessageReceived { from: "h".into(), echo, body, random: 7 });
    }

    /// Creates or changes an object of the configuration.
    pub fn change(&mut self, kind: Kind, name: &str, body: String) {
        let change = Change {
            operation: format!("{kind}-{name}-{}", self.now_ms),
            kind: kind as u32,
            name: name.to_owned(),
            expected: None,
            body: Some(body),
        };
        self.apply(Event::OperationRequested { ticket: 1, operation: Operation::Change(change) });
        self.now_ms += 1;
    }
}

/// Entry of the route with this number, as a host sends it to other daemons.
pub fn route_entry(number: usize) -> RouteEntry {
    RouteEntry {
        handle: number as u32 + 1,
        name: format!("assist/z/{number}"),
        group: "assist".to_owned(),
        zone: "z".to_owned(),
        generation: 40 + number as u64,
        version: 1_796_330_859_491_000 + number as u64,
        complete: true,
        accepting: true,
        address: format!("10.1.{}.{}:8000", number / 250 % 250, number % 250),
        vm: format!("gulf-a-rack-{:03}-vm-{number:05}", number / 32),
        slots: 64,
        age_ms: 300,
        load: 17,
        origin: "h".to_owned(),
        incarnation: 1_796_330_859_491,
        ..RouteEntry::default()
    }
}

/// A generation request with this id.
pub fn request(id: u64) -> Request {
    Request {
        id,
        key_sha256: "0".repeat(64).into(),
        service: "assist".into(),
        call: Call::Model,
        idempotency_key: None,
        digest: id,
        timeout: None,
        priority: 5,
        cost: 256.0,
        prefixes: [id, id + 1, id + 2].into_iter().collect(),
        received: 1_796_330_859,
    }
}
