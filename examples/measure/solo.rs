//! One reducer on a simulated clock.

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

/// A reducer whose logs have one voter each, with disks that sync at once.
pub struct Solo {
    /// The reducer.
    pub state: State,
    /// Now, in milliseconds.
    pub now: u64,
    /// Orders that were given.
    pub orders: Vec<Order>,
    /// Decisions that were told.
    pub decisions: Vec<(u64, Decision)>,
}

impl Solo {
    /// `host` makes it a host of the zone's placement log, as control VMs are.
    pub fn new(host: bool, links: usize) -> Solo {
        Solo::with_policy(host, links, Policy { loads_per_minute: 1_000_000, ..Policy::default() })
    }

    /// The same with a policy.
    pub fn with_policy(host: bool, links: usize, policy: Policy) -> Solo {
        let own: Name = "d".into();
        let voter = |daemon: &str| Voter {
            replica: format!("{daemon}#0"),
            daemon: daemon.to_owned(),
            weight: 1,
        };
        let logs = vec![
            LogSetup {
                name: "c".into(),
                content: Content::Configuration,
                initial_voters: vec![voter("d")],
            },
            LogSetup {
                name: "k".into(),
                content: Content::Claims,
                initial_voters: vec![voter("d")],
            },
            LogSetup {
                name: "p".into(),
                content: Content::Placement("z".into()),
                initial_voters: vec![voter(if host { "d" } else { "h" })],
            },
        ];
        let hosted = logs.iter().filter(|log| host || log.name != "p".into());
        let opened = hosted.map(|log| StoredReplica {
            log: log.name.clone(),
            identity: Identity {
                replica: "d#0".into(),
                daemon: own.clone(),
                weight: 1,
                electable: true,
            },
            stored: Stored::default(),
        });
        let opened = opened.collect();
        let setup = Setup {
            daemon: own,
            incarnation: 1_796_330_859_491,
            zone: "z".into(),
            zones: vec!["z".into()],
            peers: vec![Peer { daemon: "h".into(), zone: "z".into() }],
            logs,
            policy,
            timing: Timing::default(),
            choice: Strategy::Affinity,
        };
        let mut effects = Vec::new();
        let state = State::open(setup, opened, Instant::from_millis(4_000_000), &mut effects);
        let mut solo = Solo { state, now: 4_000_000, orders: Vec::new(), decisions: Vec::new() };
        solo.settle(effects);
        for number in 0..links {
            let daemon = if number == 0 { "h".to_owned() } else { format!("l{number}") };
            let peers = vec!["d".to_owned()];
            let hello = Hello { daemon, incarnation: 1, zone: "z".to_owned(), peers };
            solo.apply(Event::LinkUp(hello));
        }
        solo.run(6000);
        solo
    }

    /// Applies an event and carries its writes out at once.
    pub fn apply(&mut self, event: Event) {
        let mut effects = Vec::new();
        self.state.apply(Instant::from_millis(self.now), event, &mut effects);
        self.settle(effects);
    }

    fn settle(&mut self, effects: Effects) {
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

    /// Lets time pass, a tick at a time.
    pub fn run(&mut self, millis: u64) {
        for _ in 0..millis / 50 {
            self.now += 50;
            self.apply(Event::Tick { draw: 7 });
        }
    }

    /// Receives a frame of the host `h`.
    pub fn receive(&mut self, body: Body) {
        let echo = self.now - 1;
        self.apply(Event::MessageReceived { from: "h".into(), echo, body, draw: 7 });
    }

    /// Changes the configuration.
    pub fn change(&mut self, kind: Kind, name: &str, body: String) {
        let change = Change {
            operation: format!("{kind}-{name}-{}", self.now),
            kind: kind as u32,
            name: name.to_owned(),
            expected: None,
            body: Some(body),
        };
        self.apply(Event::OperationRequested { ticket: 1, operation: Operation::Change(change) });
        self.now += 1;
    }
}

/// A route as its host tells of it.
pub fn entry(number: usize) -> RouteEntry {
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

/// A generation request.
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
