//! Endpoints that leave, and what is said of them late or by others.

use std::time::Duration;

use dotterelhoist_fleet::control::{Answer, Event};
use dotterelhoist_fleet::endpoint::Heartbeat;
use dotterelhoist_fleet::message::{AgedHeartbeat, Body, Departure, Departures, Heartbeats};
use dotterelhoist_fleet::Name;
use rstest::rstest;

use crate::cluster::{daemon_names, Cluster};
use crate::{serving_cluster, SECOND};

fn heartbeat(cluster: &mut Cluster, to: &Name, heartbeat: &Heartbeat) {
    cluster.apply(to, Event::Heartbeat(Box::new(heartbeat.clone())));
}

fn deregister(cluster: &mut Cluster, at: &Name, id: &Name, started_unix_ms: Option<u64>) {
    cluster.apply(at, Event::Deregistered { id: id.clone(), started_unix_ms });
}

/// Control daemons that take the endpoint for one that stays.
fn unaware(cluster: &Cluster, id: &Name) -> Vec<Name> {
    let stays = |name: &&Name| {
        let endpoint = cluster.daemons[*name].endpoints().find(id);
        endpoint.is_some_and(|endpoint| !endpoint.heartbeat.gone)
    };
    cluster.daemons.keys().filter(stays).cloned().collect()
}

/// Guards against DRAIN: heartbeats from before a deregistration took it back when they arrived after it.
#[rstest]
fn deregistration_is_not_taken_back_by_late_heartbeats(
    #[values(0, 1, 2)] deregistered_at: usize,
    #[values(0, 1, 2)] late_at: usize,
    #[values(1, 2, 5)] late_count: u64,
    #[values(true, false)] states_incarnation: bool,
    #[values(0, 40, 2000)] pause_ms: u64,
) {
    let mut cluster = serving_cluster(1);
    let daemons = daemon_names();
    let id = cluster.heads()[0].clone();
    let newest = cluster.engines[&id].heartbeat();
    let started = states_incarnation.then_some(newest.started_unix_ms);
    cluster.engines.get_mut(&id).expect("the head").stops_at = Some(cluster.now + SECOND * 30);
    deregister(&mut cluster, &daemons[deregistered_at], &id, started);
    for more in 1..=late_count {
        cluster.run(Duration::from_millis(pause_ms));
        let late = Heartbeat { sequence: newest.sequence + more, ..newest.clone() };
        heartbeat(&mut cluster, &daemons[late_at], &late);
    }
    cluster.run(SECOND / 4);
    assert_eq!(unaware(&cluster, &id), Vec::<Name>::new());
    assert!(!cluster.heads_in_view.contains(&id), "it is still sent requests");
    cluster.run(SECOND * 5);
    assert_eq!(unaware(&cluster, &id), Vec::<Name>::new());
}

/// Guards against DRAIN: a daemon that was killed right after it had acknowledged a deregistration told nobody.
#[rstest]
fn deregistration_acknowledged_by_a_daemon_that_is_killed_is_known(
    #[values(true, false)] knows_endpoint: bool,
) {
    let mut cluster = serving_cluster(1);
    let first = daemon_names()[0].clone();
    let id = cluster.heads()[0].clone();
    if !knows_endpoint {
        cluster.engines.get_mut(&id).expect("the head").partitioned = true;
        cluster.kill(&first);
        cluster.start(&first, &format!("{first}#0"));
        cluster.run(SECOND / 10);
        assert!(cluster.daemons[&first].endpoints().find(&id).is_none());
    }
    deregister(&mut cluster, &first, &id, None);
    cluster.kill(&first);
    cluster.run(Duration::from_millis(50));
    assert_eq!(unaware(&cluster, &id), Vec::<Name>::new());
}

/// Guards against DRAIN: a head that made progress stayed in the view without a leader to dissolve its group.
#[test]
fn head_that_deregisters_leaves_the_view_without_a_leader() {
    let mut cluster = serving_cluster(1);
    let id = cluster.heads()[0].clone();
    cluster.progress = vec![id.to_string()];
    cluster.control_partitioned = true;
    cluster.run(SECOND * 2);
    assert!(cluster.leader().is_none() && cluster.heads_in_view.contains(&id));
    for daemon in daemon_names() {
        deregister(&mut cluster, &daemon, &id, None);
    }
    cluster.run(SECOND / 4);
    assert!(!cluster.heads_in_view.contains(&id), "it is still sent requests");
}

/// Guards against the loss of an endpoint that started again before its earlier deregistration arrived.
#[rstest]
#[case::states_its_incarnation(true, 1)]
#[case::states_none(false, 70)]
fn deregistration_of_an_earlier_incarnation_does_not_hold_the_next_one_for_good(
    #[case] states_incarnation: bool,
    #[case] held_s: u32,
) {
    let mut cluster = serving_cluster(1);
    let head = cluster.heads()[0].clone();
    let started = cluster.engines[&head].started_unix_ms;
    let before = cluster.open_groups();
    cluster.kill_engines(std::slice::from_ref(&head));
    cluster.restart_engine(&head);
    cluster.run(SECOND * 4);
    let daemons = daemon_names();
    deregister(&mut cluster, &daemons[1], &head, states_incarnation.then_some(started));
    cluster.run(SECOND * held_s);
    assert_eq!(unaware(&cluster, &head), daemons);
    cluster.run(SECOND * 20);
    assert!(cluster.open_groups() >= before, "{} of {before} groups", cluster.open_groups());
}

/// Guards against TWO: a heartbeat of another writer, with the address of an open head, freed the members of its group.
#[rstest]
fn heartbeat_of_an_unnamed_service_at_the_address_of_a_head_changes_nothing(
    #[values(1, 9_000_000)] started_unix_ms: u64,
    #[values(0, 1, 2)] at: usize,
    #[values(true, false)] membership: bool,
) {
    let mut cluster = serving_cluster(1);
    let head = cluster.heads()[0].clone();
    let before = cluster.open_groups();
    cluster.releases.clear();
    let foreign = Heartbeat {
        id: "foreign".into(),
        service: "elsewhere".into(),
        started_unix_ms,
        sequence: 1,
        membership: cluster.engines[&head].membership.clone().filter(|_| membership),
        ..cluster.engines[&head].heartbeat()
    };
    for sequence in 1..8 {
        let to = daemon_names()[at].clone();
        heartbeat(&mut cluster, &to, &Heartbeat { sequence, ..foreign.clone() });
        cluster.run(SECOND);
    }
    assert!(cluster.releases.is_empty(), "{:?}", cluster.releases);
    assert!(cluster.heads_in_view.contains(&head));
    assert_eq!(cluster.open_groups(), before);
    assert!(cluster.violations.is_empty(), "{:?}", cluster.violations);
}

/// Guards against TWO: a heartbeat without the fields of model endpoints freed the members of an open head.
#[rstest]
fn heartbeat_without_a_domain_at_the_address_of_a_head_changes_nothing(
    #[values(0, 1, 2)] at: usize,
    #[values(true, false)] forwarded: bool,
) {
    let mut cluster = serving_cluster(1);
    let head = cluster.heads()[0].clone();
    let before = cluster.open_groups();
    cluster.releases.clear();
    let incomplete = Heartbeat {
        id: "foreign".into(),
        domain: String::new(),
        started_unix_ms: 9_000_000,
        membership: None,
        ..cluster.engines[&head].heartbeat()
    };
    let to = daemon_names()[at].clone();
    for sequence in 1..8 {
        let heartbeat = Heartbeat { sequence, ..incomplete.clone() };
        let event = match forwarded {
            false => Event::Heartbeat(Box::new(heartbeat)),
            true => {
                let heartbeats = vec![AgedHeartbeat { heartbeat: Some(heartbeat), age_ms: 0 }];
                let body = Body::Heartbeats(Heartbeats { heartbeats });
                Event::Received { from: daemon_names()[(at + 1) % 3].clone(), body, random: 1 }
            }
        };
        cluster.apply(&to, event);
        cluster.run(SECOND);
    }
    assert!(cluster.releases.is_empty(), "{:?}", cluster.releases);
    assert!(cluster.heads_in_view.contains(&head));
    assert_eq!(cluster.open_groups(), before);
    assert!(cluster.violations.is_empty(), "{:?}", cluster.violations);
}

/// How an endpoint says that it leaves.
#[derive(Clone, Copy, Debug)]
enum Leave {
    Deregisters,
    Drains,
}

/// How a control daemon misses it.
#[derive(Clone, Copy, Debug)]
enum Miss {
    CutOff,
    CutOffAndKilled,
    Killed,
    LosesItsDisk,
}

/// Says at a daemon that the endpoint leaves; it sends nothing more. Returns a heartbeat from before.
fn leave(cluster: &mut Cluster, at: &Name, id: &Name, leave: Leave) -> Heartbeat {
    let before = cluster.engines[id].heartbeat();
    cluster.engines.get_mut(id).expect("the endpoint").stops_at = Some(cluster.now + SECOND * 30);
    match leave {
        Leave::Deregisters => deregister(cluster, at, id, Some(before.started_unix_ms)),
        Leave::Drains => {
            let sequence = before.sequence + 2;
            heartbeat(cluster, at, &Heartbeat { draining: true, sequence, ..before.clone() });
        }
    }
    Heartbeat { sequence: before.sequence + 1, ..before }
}

/// Control daemons that would send the endpoint requests.
fn listing(cluster: &Cluster, id: &Name) -> Vec<Name> {
    let lists = |name: &&Name| {
        let endpoint = cluster.daemons[*name].endpoints().find(id);
        endpoint.is_some_and(|known| !known.heartbeat.gone && !known.heartbeat.draining)
    };
    cluster.daemons.keys().filter(lists).cloned().collect()
}

/// Guards against DRAIN: a daemon that was not connected at the time never learned of a departure.
#[rstest]
fn departure_is_known_to_a_daemon_that_missed_it_once_it_is_reached(
    #[values(Leave::Deregisters, Leave::Drains)] how: Leave,
    #[values(Miss::CutOff, Miss::CutOffAndKilled, Miss::Killed, Miss::LosesItsDisk)] miss: Miss,
    #[values(0, 1, 2)] missed_by: usize,
    #[values(true, false)] late_heartbeat: bool,
    #[values(200, 5_000)] missed_ms: u64,
) {
    let mut cluster = serving_cluster(1);
    let daemons = daemon_names();
    let (missing, at) = (daemons[missed_by].clone(), daemons[(missed_by + 1) % 3].clone());
    let id = cluster.heads()[0].clone();
    match miss {
        Miss::CutOff | Miss::CutOffAndKilled => {
            cluster.cut_off.insert(missing.clone());
        }
        Miss::Killed | Miss::LosesItsDisk => cluster.kill(&missing),
    }
    cluster.run(SECOND / 2);
    let late = leave(&mut cluster, &at, &id, how);
    cluster.run(Duration::from_millis(missed_ms));
    match miss {
        Miss::CutOff => {}
        Miss::CutOffAndKilled => {
            cluster.kill(&missing);
            cluster.start(&missing, &format!("{missing}#0"));
        }
        Miss::Killed => cluster.start(&missing, &format!("{missing}#0")),
        Miss::LosesItsDisk => {
            cluster.disks.remove(&missing);
            cluster.start(&missing, &format!("{missing}#1"));
        }
    }
    cluster.end_cut(&missing);
    cluster.run(Duration::from_millis(75));
    if late_heartbeat {
        heartbeat(&mut cluster, &missing, &late);
        cluster.run(Duration::from_millis(25));
    }
    assert_eq!(listing(&cluster, &id), Vec::<Name>::new());
    cluster.run(SECOND * 6);
    assert_eq!(listing(&cluster, &id), Vec::<Name>::new());
}

/// Guards against DRAIN: a departure was lost with all control daemons, and a late heartbeat took it back.
#[rstest]
fn departure_outlasts_all_control_daemons_by_the_entry_daemons(
    #[values(Leave::Deregisters, Leave::Drains)] how: Leave,
    #[values(0, 1, 2)] late_at: usize,
    #[values(true, false)] late_heartbeat_first: bool,
) {
    let mut cluster = serving_cluster(1);
    let daemons = daemon_names();
    let id = cluster.heads()[0].clone();
    let late = leave(&mut cluster, &daemons[0], &id, how);
    let told = cluster.departures_told.iter().filter(|(to, _)| **to == *"entry");
    let told: Vec<Departure> = told.map(|(_, departure)| departure.clone()).collect();
    assert_eq!(told.len(), 1, "{told:?}");
    cluster.departure_files.clear();
    for daemon in &daemons {
        cluster.kill(daemon);
    }
    for daemon in &daemons {
        cluster.start(daemon, &format!("{daemon}#0"));
    }
    if late_heartbeat_first {
        heartbeat(&mut cluster, &daemons[late_at], &late);
    }
    let body = Body::Departures(Departures { departures: told });
    for to in &daemons {
        let event = Event::Received { from: "entry".into(), body: body.clone(), random: 1 };
        cluster.apply(to, event);
    }
    if !late_heartbeat_first {
        heartbeat(&mut cluster, &daemons[late_at], &late);
    }
    cluster.run(SECOND / 4);
    assert_eq!(listing(&cluster, &id), Vec::<Name>::new());
    cluster.run(SECOND * 6);
    assert_eq!(listing(&cluster, &id), Vec::<Name>::new());
}

/// An endpoint that starts again under its identity is taken at once, whoever still tells its departure.
#[rstest]
fn departure_of_an_earlier_incarnation_does_not_hold_the_next_one(
    #[values(Leave::Deregisters, Leave::Drains)] how: Leave,
    #[values(true, false)] told_again: bool,
) {
    let mut cluster = serving_cluster(1);
    let daemons = daemon_names();
    let id = cluster.heads()[0].clone();
    let missing = daemons[2].clone();
    cluster.cut_off.insert(missing.clone());
    leave(&mut cluster, &daemons[0], &id, how);
    cluster.kill_engines(std::slice::from_ref(&id));
    cluster.run(SECOND);
    cluster.restart_engine(&id);
    let next = cluster.engines[&id].heartbeat();
    heartbeat(&mut cluster, &missing, &next);
    cluster.end_cut(&missing);
    if told_again {
        let departures = cluster.departures_told.iter().map(|(_, told)| told.clone()).collect();
        let body = Body::Departures(Departures { departures });
        let event = Event::Received { from: "entry".into(), body, random: 1 };
        cluster.apply(&missing, event);
    }
    cluster.run(SECOND * 2);
    assert_eq!(listing(&cluster, &id), daemons);
}

/// Tells a daemon that the endpoint leaves, and waits for the answer for a time.
fn leave_and_wait(
    cluster: &mut Cluster,
    at: &Name,
    id: &Name,
    how: Leave,
    wait: Duration,
) -> (Heartbeat, Option<Answer>) {
    let late = leave(cluster, at, id, how);
    let ticket = cluster.await_departure(at, id);
    cluster.run_until(wait, |cluster| cluster.answers.contains_key(&ticket));
    (late, cluster.answers.get(&ticket).cloned())
}

/// What happens besides to the daemons that are all killed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Loss {
    Nothing,
    DiskOfTheOneThatAnswered,
    DiskOfAnotherOne,
    KilledTwice,
}

/// Guards against DRAIN: a departure was lost with all processes, and a late heartbeat took it back.
#[rstest]
fn departure_outlasts_all_processes(
    #[values(Leave::Deregisters, Leave::Drains)] how: Leave,
    #[values(
        Loss::Nothing,
        Loss::DiskOfTheOneThatAnswered,
        Loss::DiskOfAnotherOne,
        Loss::KilledTwice
    )]
    loss: Loss,
    #[values(0, 1, 2)] left_at: usize,
    #[values(0, 1, 2)] late_at: usize,
    #[values(0, 3000)] late_ms: u64,
) {
    let mut cluster = serving_cluster(1);
    let daemons = daemon_names();
    let id = cluster.heads()[0].clone();
    let (late, answer) =
        leave_and_wait(&mut cluster, &daemons[left_at], &id, how, Duration::from_millis(200));
    assert_eq!(answer, Some(Answer::Accepted), "not stored by two in time");
    for _ in 0..if loss == Loss::KilledTwice { 2 } else { 1 } {
        let lost = match loss {
            Loss::Nothing | Loss::KilledTwice => None,
            Loss::DiskOfTheOneThatAnswered => Some(&daemons[left_at]),
            Loss::DiskOfAnotherOne => Some(&daemons[(left_at + 1) % 3]),
        };
        for daemon in &daemons {
            cluster.kill(daemon);
        }
        cluster.run(SECOND / 2);
        for daemon in &daemons {
            let mut number = 0;
            if lost == Some(daemon) {
                cluster.disks.remove(daemon);
                number = 1;
            }
            cluster.start(daemon, &format!("{daemon}#{number}"));
        }
        cluster.run(SECOND / 2);
    }
    cluster.run(Duration::from_millis(late_ms));
    heartbeat(&mut cluster, &daemons[late_at], &late);
    cluster.run(SECOND / 4);
    assert_eq!(listing(&cluster, &id), Vec::<Name>::new());
    cluster.run(SECOND * 6);
    assert_eq!(listing(&cluster, &id), Vec::<Name>::new());
    cluster.kill_engines(std::slice::from_ref(&id));
    cluster.restart_engine(&id);
    cluster.run(SECOND * 2);
    assert_eq!(listing(&cluster, &id), daemons, "the next incarnation is held");
}

/// Guards against DRAIN by an answer that nobody had stored, and against no answer on a disk that refuses writes.
#[rstest]
#[case::all_sound(&[], false, 0, Some(Answer::Accepted))]
#[case::own_disk_full(&[0], false, 250, Some(Answer::Accepted))]
#[case::another_disk_full(&[1], false, 0, Some(Answer::Accepted))]
#[case::both_others_full(&[1, 2], false, 250, Some(Answer::Accepted))]
#[case::cut_off(&[], true, 250, Some(Answer::Accepted))]
#[case::cut_off_and_full(&[0], true, 700, Some(Answer::Unavailable))]
#[case::all_full(&[0, 1, 2], false, 700, Some(Answer::Unavailable))]
fn departure_is_answered_once_it_is_stored(
    #[case] full: &[usize],
    #[case] cut_off: bool,
    #[case] not_before_ms: u64,
    #[case] expected: Option<Answer>,
    #[values(Leave::Deregisters, Leave::Drains)] how: Leave,
) {
    let mut cluster = serving_cluster(1);
    let daemons = daemon_names();
    let id = cluster.heads()[0].clone();
    cluster.refusing_disks.extend(full.iter().map(|index| daemons[*index].clone()));
    if cut_off {
        cluster.cut_off.insert(daemons[0].clone());
    }
    let asked_at = cluster.now;
    let (_, answer) = leave_and_wait(&mut cluster, &daemons[0], &id, how, SECOND);
    let waited = cluster.now.since(asked_at).as_millis() as u64;
    assert_eq!(answer, expected);
    assert!((not_before_ms..=not_before_ms + 100).contains(&waited), "after {waited} ms");
    assert!(!cluster.heads_in_view.contains(&id) || cut_off, "it is still sent requests");
}

/// A call on an endpoint that does not leave, as far as this daemon knows, isn't held up.
#[rstest]
#[case::unknown("i-unknown")]
#[case::of_one_that_stays("")]
fn departure_that_is_not_recorded_is_answered_at_once(#[case] id: &str) {
    let mut cluster = serving_cluster(1);
    let at = daemon_names()[0].clone();
    let id = if id.is_empty() { cluster.heads()[0].clone() } else { id.into() };
    let ticket = cluster.await_departure(&at, &id);
    assert_eq!(cluster.answers.get(&ticket), Some(&Answer::Accepted));
}
