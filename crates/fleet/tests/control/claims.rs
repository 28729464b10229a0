//! What heartbeats claim of other endpoints, and what the addresses say when they are asked.

use std::time::Duration;

use dotterelhoist_core::clock::Instant;
use dotterelhoist_fleet::control::endpoints::claims::{Question, Verdict};
use dotterelhoist_fleet::control::endpoints::Table;
use dotterelhoist_fleet::control::Event;
use dotterelhoist_fleet::endpoint::Heartbeat;
use dotterelhoist_fleet::probe::Outcome;
use dotterelhoist_fleet::Name;
use rstest::rstest;

use crate::cluster::{daemon_names, Cluster};
use crate::engine::Engine;
use crate::{serving_cluster, SECOND};

/// Start of an incarnation far in the future.
const FAR_FUTURE_UNIX_MS: u64 = 9_000_000_000_000_000;

/// Of whom a stranger's heartbeat claims something.
#[derive(Clone, Copy, Debug)]
enum About {
    Head,
    Member,
    Free,
}

/// Whose identity it states.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Identity {
    Own,
    Victim,
    VictimElsewhere,
}

impl About {
    fn find(self, cluster: &Cluster) -> Name {
        let head = cluster.heads()[0].clone();
        match self {
            About::Head => head,
            About::Member => cluster.members(&head)[1].clone(),
            About::Free => {
                let free = cluster.engines.values().find(|engine| engine.membership.is_none());
                free.map_or(head, |engine| engine.id.clone())
            }
        }
    }
}

/// A complete heartbeat of another writer about an endpoint.
fn claim(cluster: &Cluster, about: &Name, identity: Identity, started_unix_ms: u64) -> Heartbeat {
    let truth = cluster.engines[about].heartbeat();
    let id = if identity == Identity::Own { "stranger".to_owned() } else { truth.id.clone() };
    let address = match identity {
        Identity::VictimElsewhere => "10.9.0.9:9".to_owned(),
        _ => truth.address.clone(),
    };
    Heartbeat { id, address, started_unix_ms, sequence: 1, membership: None, ..truth }
}

fn heartbeat(cluster: &mut Cluster, to: &Name, heartbeat: &Heartbeat) {
    cluster.apply(to, Event::Heartbeat(Box::new(heartbeat.clone())));
}

/// Checks that nothing has happened to the groups, and that all daemons know the true endpoint.
fn check_unharmed(cluster: &Cluster, victim: &Name, groups: usize) {
    assert!(cluster.violations.is_empty(), "{:?}", cluster.violations);
    assert!(cluster.releases.is_empty(), "{:?}", cluster.releases);
    assert_eq!(cluster.open_groups(), groups);
    for (name, daemon) in &cluster.daemons {
        let known = daemon.endpoints().find(victim).expect("the true endpoint is known");
        assert!(known.is_alive(cluster.now, SECOND * 3), "{name}");
        assert_eq!(known.heartbeat.started_unix_ms, cluster.engines[victim].started_unix_ms);
    }
}

/// Guards against TWO: a complete heartbeat of another writer freed the members of a head that served.
#[rstest]
fn claim_without_proof_changes_nothing(
    #[values(About::Head, About::Member, About::Free)] about: About,
    #[values(Identity::Own, Identity::Victim, Identity::VictimElsewhere)] identity: Identity,
    #[values(0, 2, FAR_FUTURE_UNIX_MS)] started_unix_ms: u64,
    #[values(0, 1, 2)] at: usize,
) {
    let mut cluster = serving_cluster(1);
    let victim = about.find(&cluster);
    let groups = cluster.open_groups();
    cluster.releases.clear();
    let to = daemon_names()[at].clone();
    for sequence in 1..6 {
        let claim = claim(&cluster, &victim, identity, started_unix_ms);
        heartbeat(&mut cluster, &to, &Heartbeat { sequence, ..claim });
        cluster.run(SECOND);
        check_unharmed(&cluster, &victim, groups);
    }
}

/// Guards against TWO: the claim may come before the first true heartbeat after a start of the control daemons.
#[rstest]
fn claim_that_comes_first_after_a_start_changes_nothing(
    #[values(About::Head, About::Member)] about: About,
    #[values(Identity::Own, Identity::Victim, Identity::VictimElsewhere)] identity: Identity,
    #[values(0, 2, FAR_FUTURE_UNIX_MS)] started_unix_ms: u64,
) {
    let mut cluster = serving_cluster(1);
    let victim = about.find(&cluster);
    let groups = cluster.open_groups();
    cluster.releases.clear();
    let claim = claim(&cluster, &victim, identity, started_unix_ms);
    for name in daemon_names() {
        cluster.kill(&name);
    }
    for name in daemon_names() {
        cluster.start(&name, &format!("{name}#0"));
        heartbeat(&mut cluster, &name, &claim);
    }
    cluster.run(SECOND * 6);
    check_unharmed(&cluster, &victim, groups);
}

/// Guards against TWO: without an answer from the address a claim stays undecided, and frees nobody.
#[rstest]
fn claim_that_nobody_answers_frees_no_member(
    #[values(Identity::Own, Identity::Victim)] identity: Identity,
    #[values(2, FAR_FUTURE_UNIX_MS)] started_unix_ms: u64,
) {
    let mut cluster = serving_cluster(1);
    let head = cluster.heads()[0].clone();
    cluster.unanswered_probes = true;
    for sequence in 1..6 {
        let claim = claim(&cluster, &head, identity, started_unix_ms);
        heartbeat(&mut cluster, &daemon_names()[1].clone(), &Heartbeat { sequence, ..claim });
        cluster.run(SECOND);
    }
    assert!(cluster.violations.is_empty(), "{:?}", cluster.violations);
}

/// An engine that ends and comes back, under its identity or as another one at its address, is noticed at once.
#[rstest]
fn restart_is_noticed_at_once(
    #[values(true, false)] same_identity: bool,
    #[values(true, false)] is_head: bool,
) {
    let mut cluster = serving_cluster(1);
    let about = if is_head { About::Head } else { About::Member };
    let id = about.find(&cluster);
    let groups = cluster.open_groups();
    cluster.kill_engines(std::slice::from_ref(&id));
    cluster.run(Duration::from_millis(500));
    if same_identity {
        cluster.restart_engine(&id);
    } else {
        let address = cluster.engines[&id].address.clone();
        let next = Engine { address, ..Engine::open(90, "d0", cluster.now) };
        let next = Engine { started_unix_ms: 2, heartbeat_due: cluster.now, ..next };
        cluster.engines.insert(next.id.clone(), next);
    }
    cluster.run(Duration::from_millis(200));
    for (name, daemon) in &cluster.daemons {
        let known = daemon.endpoints().find(&id).expect("the endpoint is known");
        let noticed = match same_identity {
            true => known.heartbeat.started_unix_ms == 2 && known.attested,
            false => known.confirmed_dead,
        };
        assert!(noticed, "{name}: {known:?}");
    }
    let restored = |cluster: &Cluster| cluster.open_groups() >= groups;
    assert!(cluster.run_until(SECOND * 40, restored), "{} groups", cluster.open_groups());
    assert!(cluster.violations.is_empty(), "{:?}", cluster.violations);
}

/// Table in which `old` holds an address that `new` claims, and the question that decides it.
fn contested(new_started_unix_ms: u64, now: Instant) -> (Table, Question) {
    let mut table = Table::default();
    assert!(table.record_heartbeat(at("old", 5, 1), now, true));
    assert!(table.take_questions(now).is_empty());
    assert!(table.record_heartbeat(at("new", new_started_unix_ms, 1), now, true));
    let question = Question { id: "old".into(), address: "10.0.0.1:1".into() };
    (table, question)
}

fn at(id: &str, started_unix_ms: u64, sequence: u64) -> Heartbeat {
    let address = "10.0.0.1:1".to_owned();
    Heartbeat { id: id.into(), address, started_unix_ms, sequence, ..Heartbeat::default() }
}

/// Guards against lost requests: a stranger's heartbeat took a plain endpoint out of the view, or stood in its place.
#[rstest]
#[case::it_answers(Outcome::Answered, Some(Verdict::Refuted), true, false)]
#[case::it_reports(
    Outcome::Report(Box::new(Heartbeat { started_unix_ms: 5, ..Heartbeat::default() })),
    Some(Verdict::Refuted), true, false
)]
#[case::another_answers(Outcome::Replaced, Some(Verdict::Proven), false, true)]
#[case::connection_refused(Outcome::Refused, None, true, false)]
#[case::nobody_answers(Outcome::Unanswered, None, true, false)]
fn claim_to_an_address_is_decided_by_what_answers_there(
    #[case] outcome: Outcome,
    #[case] verdict: Option<Verdict>,
    #[case] old_usable: bool,
    #[case] new_usable: bool,
    #[values(4, 7)] new_started_unix_ms: u64,
) {
    let now = Instant::from_millis(1000);
    let (mut table, question) = contested(new_started_unix_ms, now);
    assert_eq!(table.take_questions(now), std::slice::from_ref(&question));
    let usable = |table: &Table, id: &str| {
        table.find(id).is_some_and(|endpoint| endpoint.is_usable(now, SECOND))
    };
    assert!(usable(&table, "old") && !usable(&table, "new"), "before the answer");
    assert_eq!(table.decide(now, &question, &outcome), verdict);
    assert_eq!((usable(&table, "old"), usable(&table, "new")), (old_usable, new_usable));
}

/// An endpoint that answers whoever is asked shows by its start that it is the claimant.
#[test]
fn claimant_that_reports_its_start_uses_the_address() {
    let now = Instant::from_millis(1000);
    let (mut table, question) = contested(7, now);
    let report = Heartbeat { started_unix_ms: 7, ..Heartbeat::default() };
    let verdict = table.decide(now, &question, &Outcome::Report(Box::new(report)));
    assert_eq!(verdict, Some(Verdict::Proven));
    assert!(table.find("old").expect("old").confirmed_dead);
    assert!(table.find("new").expect("new").is_usable(now, SECOND));
}

/// A claim is asked about again until somebody answers, and no longer than it is made.
#[test]
fn claim_is_asked_about_again_until_it_is_decided() {
    let now = Instant::from_millis(1000);
    let (mut table, question) = contested(6, now);
    let mut asked = 0;
    for step in 0..200u64 {
        let now = now + Duration::from_millis(25 * step);
        asked += table.take_questions(now).len();
        table.decide(now, &question, &Outcome::Unanswered);
    }
    assert_eq!(asked, 10);
}

/// A configuration may name a service after its endpoints have sent heartbeats.
#[test]
fn address_is_claimed_once_the_service_is_named() {
    let mut table = Table::default();
    let now = Instant::from_millis(1000);
    assert!(table.record_heartbeat(at("old", 1, 1), now, true));
    assert!(table.record_heartbeat(at("new", 2, 1), now, false));
    assert!(table.take_questions(now).is_empty());
    assert!(table.record_heartbeat(at("new", 2, 2), now, true));
    let question = Question { id: "old".into(), address: "10.0.0.1:1".into() };
    assert_eq!(table.take_questions(now), std::slice::from_ref(&question));
    table.decide(now, &question, &Outcome::Replaced);
    assert!(table.find("old").expect("old").confirmed_dead);
    assert!(table.find("new").expect("new").is_usable(now, SECOND));
    let question = Question { id: "new".into(), ..question };
    table.decide(now, &question, &Outcome::Answered);
    assert!(!table.record_heartbeat(at("older", 1, 1), now, true), "an earlier one holds nothing");
}
