//! What the system guarantees to callers and operators, checked on simulated histories of several
//! daemons under faults.

mod endpoint;
mod history;
mod world;

use dotterelhoist_core::control::command::{Change, Run};
use dotterelhoist_core::object::Kind;
use dotterelhoist_core::request::Reason;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;

use endpoint::Endpoint;
use history::Response;
use world::{Submission, World, ZONES};

/// Seed of all generated cases, so that each run checks the same ones.
const SEED: u64 = 20_261_203;

/// Number of accepting routes without faults: three groups and two endpoints of a plain service.
const ROUTES: usize = 5;

fn config(cases: u32) -> ProptestConfig {
    let cases = std::env::var("PROPTEST_CASES").ok().and_then(|n| n.parse().ok()).unwrap_or(cases);
    println!("proptest: {cases} cases with seed {SEED}");
    let rng_seed = RngSeed::Fixed(SEED);
    ProptestConfig { cases, rng_seed, failure_persistence: None, ..ProptestConfig::default() }
}

/// Body of a serving group whose replicas have two members each.
fn group_body(model: &str, replicas: u32) -> String {
    format!(
        r#"{{"labels":{{"app":"assist"}},"model":"{model}","members":2,"replicas":{replicas},"selector":"plain=false"}}"#
    )
}

/// Starts a system with three engines in each of three zones, two of which form a group while one
/// is a spare, and with endpoints of a plain service in zones b and c. Returns once all routes are
/// accepting.
fn deployed_world(seed: u64) -> World {
    let mut world = World::new(seed);
    for (zone, name) in ZONES.iter().enumerate() {
        for number in 0..3 {
            let endpoint = Endpoint::new(&format!("{name}-vm-{number}"), zone, name);
            world.add_endpoint(endpoint);
        }
    }
    world.add_endpoint(Endpoint::plain("desk-vm", 1));
    world.add_endpoint(Endpoint::plain("desk-vm-2", 2));
    world.run(2500);
    let changes = [
        (Kind::ServingGroup, "assist", group_body("m-1", 3)),
        (Kind::Service, "assist", r#"{"groups":"app=assist"}"#.to_owned()),
        (Kind::Service, "desk", r#"{"endpoints":"plain=true"}"#.to_owned()),
        (Kind::Workspace, "captains", format!(r#"{{"key-sha256":"{}"}}"#, "0".repeat(64))),
    ];
    for (number, (kind, name, body)) in changes.into_iter().enumerate() {
        let change = World::change(kind, name, Some(body), &format!("setup-{number}"));
        world.submit_change(0, change);
    }
    world.run_until("the first routes", |world| accepting_routes(world) == ROUTES);
    world
}

/// Smallest number of accepting routes that any running daemon sees.
fn accepting_routes(world: &World) -> usize {
    let count = |at: usize| {
        let status = world.status(at)?;
        Some(status.routes.iter().filter(|route| route.standing == "accepting").count())
    };
    (0..world.nodes.len()).filter_map(count).min().unwrap_or(0)
}

/// A request to the serving groups.
fn completion(digest: u64) -> Submission {
    Submission { service: "assist", key: None, digest, poison: false }
}

/// A request with an idempotency key to the plain service.
fn booking(key: u64) -> Submission {
    Submission { service: "desk", key: Some(format!("k{key}")), digest: key, poison: false }
}

/// A fault, the repair of one, or a request of a caller or operator. Daemons and endpoints are
/// given by index.
#[derive(Clone, Debug)]
enum Step {
    KillNode(usize),
    StartNode(usize),
    SuspendNode(usize, u64),
    Partition(usize, usize),
    Heal,
    KillEndpoint(usize),
    RestartEndpoint(usize),
    SuspendEndpoint(usize, u64),
    SetSilent(usize, bool),
    SetLosesAnswers(bool),
    SubmitBooking(usize, u64),
    SubmitCompletion(usize, u64),
    SubmitChange { node: usize, name: u8, expected: Option<u64>, operation: u8 },
}

fn fault() -> impl Strategy<Value = Step> {
    let node = 0..6usize;
    let vm = 0..9usize;
    prop_oneof![
        node.clone().prop_map(Step::KillNode),
        node.clone().prop_map(Step::StartNode),
        (node, 200..5000u64).prop_map(|(node, millis)| Step::SuspendNode(node, millis)),
        (0..3usize, 0..3usize).prop_map(|(a, b)| Step::Partition(a, b)),
        Just(Step::Heal),
        vm.clone().prop_map(Step::KillEndpoint),
        vm.clone().prop_map(Step::RestartEndpoint),
        (vm.clone(), 200..4000u64).prop_map(|(vm, millis)| Step::SuspendEndpoint(vm, millis)),
        (vm, any::<bool>()).prop_map(|(vm, silent)| Step::SetSilent(vm, silent)),
        any::<bool>().prop_map(Step::SetLosesAnswers),
    ]
}

fn submission() -> impl Strategy<Value = Step> {
    let node = 0..6usize;
    prop_oneof![
        (node.clone(), 0..12u64).prop_map(|(node, key)| Step::SubmitBooking(node, key)),
        (node.clone(), 0..1000u64).prop_map(|(node, digest)| Step::SubmitCompletion(node, digest)),
        (node, 0..2u8, prop::option::of(0..4u64), 0..20u8).prop_map(
            |(node, name, expected, operation)| Step::SubmitChange {
                node,
                name,
                expected,
                operation
            }
        ),
    ]
}

fn steps() -> impl Strategy<Value = Vec<(u64, Step)>> {
    let step = prop_oneof![1 => fault(), 3 => submission()];
    prop::collection::vec((1..400u64, step), 1..90)
}

fn execute_step(world: &mut World, step: &Step) {
    match step {
        Step::KillNode(node) => world.kill(*node),
        Step::StartNode(node) => world.start(*node),
        Step::SuspendNode(node, millis) => world.suspend(*node, *millis),
        Step::Partition(a, b) => world.partition(*a, *b),
        Step::Heal => world.heal(),
        Step::KillEndpoint(vm) => world.kill_endpoint(*vm),
        Step::RestartEndpoint(vm) => world.restart_endpoint(*vm),
        Step::SuspendEndpoint(vm, millis) => {
            world.endpoints[*vm].suspended_until = world.now + millis
        }
        Step::SetSilent(vm, silent) => world.endpoints[*vm].silent = *silent,
        Step::SetLosesAnswers(lose) => {
            for endpoint in world.endpoints.iter_mut().filter(|endpoint| endpoint.plain) {
                endpoint.loses_answers = *lose;
            }
        }
        Step::SubmitBooking(node, key) => {
            world.submit(*node, &booking(*key));
        }
        Step::SubmitCompletion(node, digest) => {
            world.submit(*node, &completion(*digest));
        }
        Step::SubmitChange { node, name, expected, operation } => {
            let body = format!(r#"{{"selector":"rack=r{operation}"}}"#);
            let name = format!("drain-{name}");
            let id = format!("op-{name}-{operation}-{expected:?}");
            let change = World::change(Kind::Drain, &name, Some(body), &id);
            world.submit_change(*node, Change { expected: *expected, ..change });
        }
    }
}

/// Ends the partitions, waits until all suspensions are over, ends the other faults, and restarts
/// the processes that are down.
fn recover(world: &mut World) {
    world.heal();
    world.run(5000);
    for at in 0..world.nodes.len() {
        world.start(at);
    }
    for at in 0..world.endpoints.len() {
        world.endpoints[at].silent = false;
        world.endpoints[at].loses_answers = false;
        world.restart_endpoint(at);
    }
}

proptest! {
    #![proptest_config(config(60))]

    /// All guarantees hold under any mixture of faults, and the system recovers from them.
    #[test]
    fn state_invariants_hold_under_faults(seed in any::<u64>(), steps in steps()) {
        let mut world = deployed_world(seed);
        for (pause, step) in &steps {
            execute_step(&mut world, step);
            world.run(*pause);
        }
        recover(&mut world);
        world.run_until("all routes after the faults", |world| accepting_routes(world) == ROUTES);
        world.run(40_000);
        world.history.check_at_most_once();
        world.history.check_linearizable();
        let unanswered = world.history.calls.iter().filter(|call| call.response.is_none()).count();
        prop_assert_eq!(unanswered, 0, "{} callers got no final answer", unanswered);
        let none_ejected = |world: &World| {
            let status = world.status(0).expect("alive");
            status.routes.iter().all(|route| !route.ejected)
        };
        world.run_until("the end of all ejections", none_ejected);
        let before = world.history.served();
        for node in 0..6 {
            world.submit(node, &completion(5000 + node as u64));
            world.submit(node, &booking(9000 + node as u64));
        }
        world.run(5000);
        let calls = &world.history.calls;
        let last: Vec<_> = calls[calls.len() - 12..].iter().map(|call| &call.response).collect();
        prop_assert_eq!(world.history.served() - before, 12, "{:?}", last);
    }
}

#[test]
fn configuration_in_force_everywhere_in_time() {
    let mut world = deployed_world(3);
    for number in 0..200 {
        let body = format!(r#"{{"selector":"rack=r{number}"}}"#);
        let change = World::change(Kind::Drain, "d", Some(body), &format!("op-{number}"));
        world.submit_change(number % 6, change);
        world.run(30);
    }
    world.run(16_000);
    for node in 0..6 {
        world.history.check_in_force(node, 16_000);
    }
}

#[test]
fn configuration_catches_up_after_hundreds_of_changes() {
    let mut world = deployed_world(4);
    let late = world.node("b-1");
    world.kill(late);
    for number in 0..600 {
        let body = format!(r#"{{"selector":"rack=r{number}"}}"#);
        let change = World::change(Kind::Drain, "d", Some(body), &format!("op-{number}"));
        world.submit_change(0, change);
        world.run(20);
    }
    world.start(late);
    let call = world.submit(late, &completion(1));
    world.run(20);
    let response = world.history.calls[call].response.clone().expect("an answer at once").0;
    assert_eq!(response, Response::Refused(Reason::Starting, Run::NotRun));
    world.run_until("the late daemon", |world| {
        world.status(late).is_some_and(|status| status.ready)
    });
    assert_eq!(
        world.status(late).expect("alive").revision,
        world.status(0).expect("alive").revision
    );
}

#[test]
fn configuration_partitioned_zone_serves_and_reports_stale() {
    let mut world = deployed_world(5);
    world.partition(0, 2);
    world.partition(1, 2);
    world.run(8000);
    let inside = world.node("c-1");
    assert!(world.status(inside).expect("alive").stale);
    let call = world.submit(inside, &completion(1));
    world.run(1000);
    let response = world.history.calls[call].response.clone().expect("an answer").0;
    assert!(matches!(response, Response::Answer(_)), "{response:?}");
    let call = world.submit(inside, &Submission { key: None, ..booking(1) });
    world.run(100);
    let response = world.history.calls[call].response.clone().expect("an answer at once").0;
    assert_eq!(response, Response::Refused(Reason::ClaimsUnreachable, Run::NotRun));
    world.heal();
    world.run(5000);
    world.history.check_at_most_once();
}

/// The daemon that holds a claim is killed between claim and answer. A resend to another daemon is
/// refused, first because the request is in progress and later because its outcome is unknown, and
/// never runs it again.
#[test]
fn claim_of_killed_daemon_never_runs_again() {
    let mut world = deployed_world(6);
    for endpoint in &mut world.endpoints {
        endpoint.service_ms = 3000;
    }
    world.submit(1, &booking(1));
    world.run(300);
    assert_eq!(world.history.executions.len(), 1);
    world.kill(1);
    let call = world.submit(2, &booking(1));
    world.run(500);
    let response = world.history.calls[call].response.clone().expect("an answer").0;
    assert_eq!(response, Response::Refused(Reason::InProgress, Run::Unknown));
    world.run(40_000);
    let call = world.submit(3, &booking(1));
    world.run(500);
    let response = world.history.calls[call].response.clone().expect("an answer").0;
    assert_eq!(response, Response::Refused(Reason::Broken, Run::Unknown));
    world.history.check_at_most_once();
    assert_eq!(world.history.executions.len(), 1);
}

/// A daemon that is asked to stop waits for a leader to record its usage lines, but only for a
/// limited time; then it stops and logs the unrecorded ones.
#[test]
fn stop_without_a_leader_gives_up_usage_lines() {
    let mut world = deployed_world(9);
    let call = world.submit(1, &completion(1));
    world.run_until("the answer", |world| world.history.calls[call].response.is_some());
    world.kill(0);
    for at in 2..world.nodes.len() {
        world.kill(at);
    }
    world.stop(1);
    world.run(5000);
    assert!(!world.nodes[1].stopped, "stopped without waiting for a leader");
    world.run(10_000);
    assert!(world.nodes[1].stopped);
    assert_eq!(world.nodes[1].unrecorded.len(), 1);
}

/// All daemons are asked to stop at once, shortly after each of them has served a request. The
/// daemons that keep the claim log stay until the others have recorded their usage lines, so that
/// no line is lost and no daemon waits in vain.
#[test]
fn stop_of_all_daemons_records_usage_lines() {
    for seed in 60..80 {
        println!("seed {seed}");
        let mut world = deployed_world(seed);
        let all = 0..world.nodes.len();
        let calls: Vec<usize> =
            all.clone().map(|at| world.submit(at, &completion(at as u64))).collect();
        world.run_until("the answers", |world| {
            calls.iter().all(|call| world.history.calls[*call].response.is_some())
        });
        world.run(100 * (seed % 8));
        for at in all.clone() {
            world.stop(at);
        }
        for _ in 0..1000 {
            world.run(10);
            for at in all.clone() {
                if world.nodes[at].stopped {
                    world.kill(at);
                }
            }
        }
        let running: Vec<&str> = world
            .nodes
            .iter()
            .filter(|node| node.state.is_some())
            .map(|node| node.name.as_str())
            .collect();
        assert_eq!(running, [""; 0], "still running 10 s after they were asked to stop");
        let unrecorded: usize = world.nodes.iter().map(|node| node.unrecorded.len()).sum();
        assert_eq!(unrecorded, 0);
    }
}

/// A daemon that stops alone, while the others serve requests and record usage lines all the time,
/// does not wait for them.
#[test]
fn stop_of_one_daemon_does_not_wait_for_serving_daemons() {
    let mut world = deployed_world(80);
    for number in 0..60u64 {
        for at in 1..world.nodes.len() {
            world.submit(at, &completion(number));
        }
        if number == 10 {
            world.stop(0);
        }
        world.run(50);
    }
    assert!(world.nodes[0].stopped, "still running 2.5 s after it was asked to stop");
}

#[test]
fn claim_resent_to_every_daemon_runs_once() {
    let mut world = deployed_world(7);
    for _ in 0..3 {
        for node in 0..6 {
            world.submit(node, &booking(1));
        }
        world.run(700);
    }
    world.history.check_at_most_once();
    assert_eq!(world.history.executions.len(), 1);
    let answered = world
        .history
        .calls
        .iter()
        .filter(|call| matches!(call.response, Some((Response::Answer(_), _))));
    assert!(answered.count() >= 12, "fewer than 12 of 18 submissions got the recorded answer");
}

#[test]
fn claim_same_key_for_another_request_is_refused() {
    let mut world = deployed_world(8);
    world.submit(0, &booking(1));
    world.run(500);
    let call = world.submit(4, &Submission { digest: 77, ..booking(1) });
    world.run(500);
    let response = world.history.calls[call].response.clone().expect("an answer").0;
    assert_eq!(response, Response::Refused(Reason::KeyReused, Run::NotRun));
}

/// A member of a group dies, and then the spare that replaces it, before the repair is complete.
#[test]
fn group_spare_dies_before_repair_completes() {
    let mut world = deployed_world(9);
    let first = world.endpoint("a-vm-0");
    let spare = world.endpoint("a-vm-2");
    world.kill_endpoint(first);
    world.run_until("the spare to be ordered into the group", |world| {
        world.endpoints[spare].group.starts_with("assist/a")
    });
    world.kill_endpoint(spare);
    world.run(20_000);
    let group_of = |world: &World, vm: &str| {
        let statuses: Vec<_> = (0..2).filter_map(|at| world.status(at)).collect();
        let vms = statuses.iter().flat_map(|status| &status.vms);
        vms.filter(|known| &*known.name == vm).map(|known| known.group.clone()).next()
    };
    assert_eq!(
        group_of(&world, "a-vm-1").as_deref(),
        Some(""),
        "the remaining member was not freed"
    );
    world.restart_endpoint(first);
    world.run_until("the group to be formed again", |world| accepting_routes(world) == ROUTES);
}

/// A daemon is suspended while a group that it sent a request to loses a member. When it resumes,
/// it must not forward the answer that arrived in the meantime.
#[test]
fn group_loses_member_while_its_daemon_is_suspended() {
    let mut world = deployed_world(16);
    for endpoint in &mut world.endpoints {
        endpoint.service_ms = 1000;
    }
    let call = world.submit(0, &completion(1));
    world.run(100);
    let vm = world.history.dispatches[0].vm.clone();
    let group = world.endpoints[world.endpoint(&vm)].group.clone();
    let other =
        world.endpoints.iter().position(|endpoint| endpoint.group == group && endpoint.vm != vm);
    world.suspend(0, 4000);
    world.kill_endpoint(other.expect("a second member"));
    world.run(4500);
    let response = world.history.calls[call].response.clone();
    assert!(!matches!(response, Some((Response::Answer(_), _))), "{response:?}");
}

/// All daemons of a zone are suspended while a member of a group dies. The announcements that were
/// queued in the meantime must not make the group look complete when they resume.
#[test]
fn group_loses_member_while_its_zone_is_suspended() {
    let mut world = deployed_world(17);
    world.suspend(0, 4000);
    world.suspend(1, 4000);
    world.run(200);
    let member = world
        .endpoints
        .iter()
        .position(|endpoint| endpoint.group.starts_with("assist/a") && endpoint.rank == 1);
    world.kill_endpoint(member.expect("a second member"));
    world.run(3900);
    for number in 0..40 {
        world.submit(number % 2, &completion(number as u64));
        world.run(50);
    }
}

/// The answer of a request with an idempotency key is lost after the run. The request is not sent
/// again, although another endpoint could run it.
#[test]
fn claim_lost_answer_is_not_retried() {
    let mut world = deployed_world(18);
    for endpoint in world.endpoints.iter_mut().filter(|endpoint| endpoint.plain) {
        endpoint.loses_answers = true;
    }
    for number in 0..200 {
        world.submit(number % 6, &completion(number as u64));
        world.run(20);
    }
    for key in 1000..1010 {
        world.submit(key as usize % 6, &booking(key));
        world.run(2500);
    }
    world.history.check_at_most_once();
    assert_eq!(world.history.executions.len(), 210);
}

#[test]
fn group_fabric_domain_loses_power() {
    let mut world = deployed_world(10);
    for vm in ["b-vm-0", "b-vm-1", "b-vm-2"] {
        let at = world.endpoint(vm);
        world.kill_endpoint(at);
    }
    world.run(4000);
    assert_eq!(accepting_routes(&world), ROUTES - 1, "expected two groups and the plain service");
    for number in 0..30 {
        world.submit(number % 6, &completion(number as u64));
        world.run(20);
    }
    world.run(3000);
    assert_eq!(world.history.served(), 30);
    for vm in ["b-vm-0", "b-vm-1", "b-vm-2"] {
        let at = world.endpoint(vm);
        world.restart_endpoint(at);
    }
    world.run_until("the restarted fabric domain", |world| accepting_routes(world) == ROUTES);
}

/// A leader is suspended for longer than its lease and resumes with outdated orders. The group must
/// recover whether or not the endpoints check fencing numbers.
#[rstest]
#[case::fencing(true)]
#[case::ignoring(false)]
fn group_suspended_leader_sends_stale_orders(#[case] fences: bool) {
    let mut world = deployed_world(11);
    for endpoint in &mut world.endpoints {
        endpoint.fences = fences;
    }
    let leader = (0..2)
        .find(|at| world.status(*at).is_some_and(|status| !status.vms.is_empty()))
        .expect("zone a has a leader");
    world.suspend(leader, 9000);
    let member = world.endpoint("a-vm-0");
    world.kill_endpoint(member);
    world.run(9500);
    world.restart_endpoint(member);
    world.run(6000);
    world.run_until("all routes", |world| accepting_routes(world) == ROUTES);
    let members =
        world.endpoints.iter().filter(|endpoint| endpoint.group.starts_with("assist/a")).count();
    assert_eq!(members, 2, "the group in zone a does not have exactly two VMs");
}

#[test]
fn group_straggler_is_replaced_without_aborts() {
    let mut world = deployed_world(12);
    let slow = world.endpoint("c-vm-1");
    world.endpoints[slow].step_ms = 200;
    for number in 0..200 {
        world.submit(number % 6, &completion(number as u64));
        world.run(50);
    }
    world.run(8000);
    assert_eq!(world.history.aborts, 0);
    assert!(world.endpoints[slow].group.is_empty(), "the slow engine is still in the group");
    world.run_until("all routes", |world| accepting_routes(world) == ROUTES);
}

/// Draining, a new model version and an endpoint that is shutting down abort no request in flight.
#[rstest]
#[case::drain("drain")]
#[case::version("version")]
#[case::leaving("leaving")]
fn group_planned_change_aborts_no_request(#[case] change: &str) {
    let mut world = deployed_world(13);
    for number in 0..40 {
        world.submit(number % 6, &completion(number as u64));
        world.run(25);
    }
    match change {
        "drain" => {
            let body = Some(r#"{"selector":"zone=a"}"#.to_owned());
            world.submit_change(0, World::change(Kind::Drain, "a", body, "drain-a"));
        }
        "version" => {
            let body = Some(group_body("m-2", 3));
            world.submit_change(0, World::change(Kind::ServingGroup, "assist", body, "version-2"));
        }
        _ => {
            let at = world.endpoint("a-vm-1");
            world.endpoints[at].leaving = true;
        }
    }
    for number in 40..400 {
        world.submit(number % 6, &completion(number as u64));
        world.run(25);
    }
    world.run(3000);
    assert_eq!(world.history.aborts, 0);
    let broken = world.history.calls.iter().filter(|call| {
        matches!(call.response, Some((Response::Refused(reason, _), _)) if reason != Reason::NoEndpoint)
    });
    assert_eq!(broken.count(), 0);
    if change == "version" {
        assert!(world.endpoints.iter().filter(|endpoint| endpoint.model == "m-2").count() >= 6);
    }
}

/// An endpoint that announces its shutdown gets no new requests later than three seconds
/// afterwards, even while its zone is partitioned from the others.
#[rstest]
#[case::plain("desk-vm", false)]
#[case::plain_partitioned("desk-vm", true)]
#[case::member("b-vm-0", false)]
#[case::member_partitioned("b-vm-0", true)]
fn leaving_gets_no_new_work_after_three_seconds(#[case] vm: &str, #[case] partitioned: bool) {
    let mut world = deployed_world(14);
    let at = world.endpoint(vm);
    if partitioned {
        world.partition(0, 1);
        world.partition(2, 1);
    }
    world.endpoints[at].leaving = true;
    for number in 0..300u64 {
        let node = number as usize % 6;
        world.submit(node, &Submission { key: None, ..booking(number) });
        world.submit(node, &completion(number));
        world.run(40);
        if number == 120 {
            world.heal();
        }
    }
    let since = world.endpoints[at].announced_leaving.expect("the endpoint announced its shutdown");
    let late = world
        .history
        .dispatches
        .iter()
        .filter(|dispatch| dispatch.vm == vm && dispatch.at > since + 3000);
    assert_eq!(late.count(), 0);
}

/// Requests that repeatedly run together with a crashing one are all served in the end: suspected
/// requests are run one at a time, and a crash during such a trial counts only against the request
/// on trial.
#[test]
fn crashing_request_others_are_not_blamed() {
    let mut world = deployed_world(19);
    for endpoint in &mut world.endpoints {
        endpoint.service_ms = 400;
    }
    for round in 0..4 {
        for number in 0..24 {
            world.submit(number % 6, &completion(number as u64));
        }
        world.run(60);
        world.submit(round % 6, &Submission { poison: true, ..completion(666) });
        world.run(9000);
    }
    assert_eq!(world.history.endpoint_crashes, 2);
    let blamed = world.history.calls.iter().filter(|call| {
        let refused = matches!(call.response, Some((Response::Refused(Reason::Crashes, _), _)));
        refused && !call.submission.poison
    });
    assert_eq!(blamed.count(), 0);
    let before = world.history.served();
    for number in 0..24 {
        world.submit(number % 6, &completion(number as u64));
        world.run(200);
    }
    world.run(5000);
    assert_eq!(world.history.served() - before, 24);
}

/// An engine dies while it runs requests. Before this is detected, callers send the requests again
/// to a daemon that still has a connection to the dead engine. That must count as one crash, not
/// several.
#[test]
fn crashing_request_one_death_counts_once() {
    let mut world = deployed_world(20);
    for endpoint in &mut world.endpoints {
        endpoint.service_ms = 400;
        endpoint.fails_after_send = true;
    }
    for number in 0..6 {
        world.submit(0, &completion(number));
    }
    world.run(60);
    let engine = world.endpoint(&world.history.dispatches[0].vm.clone());
    world.kill_endpoint(engine);
    for _ in 0..4 {
        world.run(100);
        for number in 0..6 {
            world.submit(1, &completion(number));
        }
    }
    world.run(10_000);
    let blamed =
        world.history.calls.iter().filter(|call| {
            matches!(call.response, Some((Response::Refused(Reason::Crashes, _), _)))
        });
    assert_eq!(blamed.count(), 0);
}

/// A request that crashes each endpoint that runs it is resent by its caller to one daemon after
/// another. It crashes two endpoints; then all daemons refuse it, and other requests are served.
#[test]
fn crashing_request_costs_two_endpoints() {
    let mut world = deployed_world(15);
    let poison = Submission { poison: true, ..completion(666) };
    let mut calls = Vec::new();
    for round in 0..12 {
        calls.push(world.submit(round % 6, &poison));
        for number in 0..4 {
            world.submit((round + number) % 6, &completion((round * 10 + number) as u64));
        }
        world.run(1500);
    }
    world.run(10_000);
    assert_eq!(world.history.endpoint_crashes, 2);
    let last = world.history.calls[calls[11]].response.clone().expect("an answer").0;
    assert_eq!(last, Response::Refused(Reason::Crashes, Run::NotRun));
    let before = world.history.served();
    for number in 0..48 {
        world.submit(number % 6, &completion(number as u64 % 4));
        world.run(40);
    }
    world.run(3000);
    assert_eq!(world.history.served() - before, 48, "other requests were not all served");
}
