//! Outcomes of commands that a daemon without replicas forwards to another one, before and after a
//! restart.

use std::time::Duration;

use dotterelhoist_core::clock::Instant;
use dotterelhoist_core::control::command::{Change, Outcome};
use dotterelhoist_core::effect::Effect;
use dotterelhoist_core::event::{Event, Operation};
use dotterelhoist_core::message::{self, Body, Forward, Hello};
use dotterelhoist_core::object::Kind;
use dotterelhoist_core::policy::Policy;
use dotterelhoist_core::replica::Timing;
use dotterelhoist_core::route::Strategy;
use dotterelhoist_core::state::{Content, LogSetup, Peer, Setup, State};

/// Daemon with the replicas.
const HOST: &str = "host";
/// Daemon without replicas, like the one under test.
const OTHER: &str = "other";
/// Operation of an operator.
const OPERATION: u64 = 5;

/// The daemon under test, linked to two others.
struct Daemon {
    state: State,
    now: Instant,
}

impl Daemon {
    /// Starts the daemon with this random number.
    fn start(random: u64) -> Daemon {
        let peer = |daemon: &str| Peer { daemon: daemon.into(), zone: "z".into() };
        let log =
            |name: &str, content| LogSetup { name: name.into(), content, hosts: vec![HOST.into()] };
        let setup = Setup {
            daemon: "asking".into(),
            incarnation: 1,
            first_ticket: random,
            zone: "z".into(),
            zones: vec!["z".into()],
            peers: vec![peer(HOST), peer(OTHER)],
            logs: vec![
                log("configuration", Content::Configuration),
                log("claims", Content::Claims),
                log("placement", Content::Placement("z".into())),
            ],
            policy: Policy::default(),
            timing: Timing::default(),
            strategy: Strategy::Affinity,
        };
        let now = Instant::from_millis(4_000_000);
        let mut daemon =
            Daemon { state: State::open(setup, Vec::new(), now, &mut Vec::new()), now };
        for peer in [HOST, OTHER] {
            let (zone, daemon_name) = ("z".to_owned(), peer.to_owned());
            let hello = Hello { daemon: daemon_name, incarnation: 1, zone, ..Hello::default() };
            daemon.apply(Event::LinkUp(hello));
        }
        daemon
    }

    fn apply(&mut self, event: Event) -> Vec<Effect> {
        self.now = self.now + Duration::from_millis(1);
        let mut effects = Vec::new();
        self.state.apply(self.now, event, &mut effects);
        effects
    }

    /// Lets an operator change an object, and returns what is forwarded to the host.
    fn forward_change(&mut self) -> Forward {
        let change = Change {
            operation: "operation".to_owned(),
            kind: Kind::Drain as u32,
            name: "d".to_owned(),
            body: Some(r#"{"selector":"rack=r1"}"#.to_owned()),
            ..Change::default()
        };
        let operation = Operation::Change(change);
        let effects = self.apply(Event::OperationRequested { ticket: OPERATION, operation });
        let forwarded = effects.into_iter().find_map(|effect| match effect {
            Effect::Send { to, body: Body::Forward(forward) } if *to == *HOST => Some(forward),
            _ => None,
        });
        forwarded.expect("the change is forwarded")
    }

    /// Delivers an outcome, and returns whether an operator is answered.
    fn deliver(&mut self, from: &str, ticket: u64) -> bool {
        let outcome = Some(Outcome::default());
        let body = Body::Answer(message::Answer { ticket, outcome });
        let echo = self.now.as_millis();
        let received = Event::MessageReceived { from: from.into(), echo, body, random: 1 };
        let effects = self.apply(received);
        effects.iter().any(|effect| matches!(effect, Effect::Answer { ticket: OPERATION, .. }))
    }
}

/// A command got the outcome of one that the process before had forwarded.
#[test]
fn outcome_of_a_command_of_the_process_before_is_ignored() {
    let before = Daemon::start(0x5eed).forward_change();
    let mut daemon = Daemon::start(0xfeed_5eed);
    let forward = daemon.forward_change();
    assert!(!daemon.deliver(HOST, before.ticket), "the outcome of another command is taken");
    assert!(daemon.deliver(HOST, forward.ticket));
}

#[test]
fn outcome_from_a_daemon_that_was_not_asked_is_ignored() {
    let mut daemon = Daemon::start(0x5eed);
    let forward = daemon.forward_change();
    assert!(!daemon.deliver(OTHER, forward.ticket), "the outcome of another command is taken");
    assert!(daemon.deliver(HOST, forward.ticket));
}
