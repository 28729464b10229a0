//! Daemon processes that are killed, paused, partitioned and restarted under load. The tests
//! compare what callers and operators were told with the record of what the endpoints ran.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use dotterelhoist_testkit::client::{call, Call, Reply};
use dotterelhoist_testkit::deployment::{accepting_routes, Redirect};
use dotterelhoist_testkit::proxy::Proxy;
use dotterelhoist_testkit::scenario::{Scenario, Size, MODEL_SERVICE, PLAIN_SERVICE, TOKEN};
use serde_json::{json, Value};
use smol::Timer;

/// Path of the daemon's program.
const DAEMON: &str = env!("CARGO_BIN_EXE_dotterelhoistd");
/// Three zones, each with two daemons with a disk, a serving group of two members and a spare VM.
const ALL_WITH_DISK: Size =
    Size { zones: 3, disk_daemons: 2, diskless_daemons: 0, group_members: 2, vms_per_zone: 3 };
/// Three zones, each with a daemon with a disk, a diskless daemon and a serving group of two
/// members.
const MIXED: Size =
    Size { zones: 3, disk_daemons: 1, diskless_daemons: 1, group_members: 2, vms_per_zone: 2 };

/// One submission of a booking, a call that is not idempotent, and what its caller was told.
#[derive(Clone, Debug)]
struct Submission {
    /// Number of the booking, which its idempotency key and body contain.
    booking_number: usize,
    /// Response, none if the connection failed before one started.
    reply: Option<Reply>,
}

/// Sends bookings from 8 callers at once until `stop` is set. Each caller submits each of its
/// bookings three times with the same key, to one daemon after another.
async fn send_bookings(addresses: Vec<SocketAddr>, stop: Arc<AtomicBool>) -> Vec<Submission> {
    let history = Arc::new(Mutex::new(Vec::new()));
    let workers: Vec<_> = (0..8)
        .map(|worker| {
            let (addresses, stop, history) = (addresses.clone(), stop.clone(), history.clone());
            smol::spawn(async move {
                let mut round = 0;
                while !stop.load(Ordering::Relaxed) {
                    let booking_number = worker + 8 * (round / 3);
                    let address = addresses[(worker + round) % addresses.len()];
                    let text = format!("tent {booking_number}");
                    let booking = Call::plain(PLAIN_SERVICE, TOKEN, "/book", &text)
                        .with_idempotency_key(&text)
                        .with_timeout(Duration::from_secs(5));
                    let reply = call(address, &booking).await.ok();
                    if let Ok(mut history) = history.lock() {
                        history.push(Submission { booking_number, reply });
                    }
                    round += 1;
                }
            })
        })
        .collect();
    for worker in workers {
        worker.await;
    }
    let history = history.lock().expect("no worker panics");
    history.clone()
}

/// Checks that each booking ran at most once: exactly once if a caller got an answer, which must be
/// the same for each submission, and not at all if its only submission was refused with `not-run`.
/// A truncated answer, which its caller detects by the content length, is accepted only if daemons
/// were `killed`, and its booking must have run as well.
fn check_bookings(scenario: &Scenario, history: &[Submission], killed: bool) {
    let mut runs: BTreeMap<String, usize> = BTreeMap::new();
    for execution in scenario.plain_service.history.executions() {
        *runs.entry(execution.body).or_default() += 1;
    }
    let mut answers: BTreeMap<usize, String> = BTreeMap::new();
    for submission in history {
        let ran = runs.get(&format!("tent {}", submission.booking_number)).copied().unwrap_or(0);
        assert!(ran <= 1, "booking {} ran {ran} times", submission.booking_number);
        let Some(reply) = &submission.reply else { continue };
        if reply.status == 200 && reply.complete {
            let first =
                answers.entry(submission.booking_number).or_insert_with(|| reply.body.clone());
            assert_eq!(
                *first, reply.body,
                "booking {} got two different answers",
                submission.booking_number
            );
        }
        if reply.status == 200 {
            assert_eq!(
                ran, 1,
                "booking {} got status 200 but did not run",
                submission.booking_number
            );
            assert!(
                reply.complete || killed,
                "an answer was truncated although no daemon was killed"
            );
        }
        let only_submission =
            history.iter().filter(|s| s.booking_number == submission.booking_number).count() == 1;
        if reply.run_status() == "not-run" && only_submission {
            assert_eq!(
                ran, 0,
                "booking {} was refused as not-run but ran",
                submission.booking_number
            );
        }
    }
}

/// Daemons are killed and started again one after another while bookings are sent. No booking may
/// run twice because a claim was lost with a daemon, such as the leader of the claim log.
#[test]
fn bookings_run_at_most_once_while_daemons_are_killed() {
    smol::block_on(async {
        let plan = Scenario::plan(DAEMON, ALL_WITH_DISK);
        let mut scenario = Scenario::spawn(plan, ALL_WITH_DISK, |_| {}).await;
        scenario.plain_service.set_delay(Duration::from_millis(15));
        let stop = Arc::new(AtomicBool::new(false));
        let booking =
            smol::spawn(send_bookings(scenario.deployment.caller_addresses(), stop.clone()));
        for name in ["zone-a-0", "zone-c-1", "zone-b-0", "zone-c-0"] {
            wait_for_runs(&scenario, 40).await;
            scenario.deployment.process(name).kill();
            wait_for_runs(&scenario, 10).await;
            scenario.deployment.start(name, false);
            scenario.deployment.wait_for(name, "readiness", |s| s["ready"] == true).await;
        }
        wait_for_runs(&scenario, 40).await;
        stop.store(true, Ordering::Relaxed);
        let history = booking.await;
        check_bookings(&scenario, &history, true);
        let answered =
            history.iter().filter(|s| s.reply.as_ref().is_some_and(|reply| reply.status == 200));
        assert!(answered.count() > 100);
    });
}

/// Waits until the plain service has started `count` more bookings.
async fn wait_for_runs(scenario: &Scenario, count: usize) {
    let target = scenario.plain_service.history.executions().len() + count;
    while scenario.plain_service.history.executions().len() < target {
        Timer::after(Duration::from_millis(10)).await;
    }
}

/// The leader of the claim log is paused until another one is elected and then continues. No
/// booking may run twice because the old leader still acts on its expired lease.
#[test]
fn bookings_run_at_most_once_while_leader_is_paused() {
    smol::block_on(async {
        let plan = Scenario::plan(DAEMON, ALL_WITH_DISK);
        let mut scenario = Scenario::spawn(plan, ALL_WITH_DISK, |_| {}).await;
        scenario.plain_service.set_delay(Duration::from_millis(15));
        let status = scenario.deployment.status("zone-a-0").await;
        let leader = leader_of(&status, "claims");
        let other_addresses: Vec<SocketAddr> = scenario
            .deployment
            .daemons
            .iter()
            .filter(|daemon| daemon.name != leader)
            .map(|daemon| daemon.addresses.callers)
            .collect();
        let stop = Arc::new(AtomicBool::new(false));
        let booking = smol::spawn(send_bookings(other_addresses, stop.clone()));
        wait_for_runs(&scenario, 40).await;
        scenario.deployment.process(&leader).signal("STOP");
        let other = if leader == "zone-b-0" { "zone-c-0" } else { "zone-b-0" };
        scenario
            .deployment
            .wait_for(other, "another leader", |status| {
                let current = leader_of(status, "claims");
                !current.is_empty() && current != leader
            })
            .await;
        wait_for_runs(&scenario, 40).await;
        scenario.deployment.process(&leader).signal("CONT");
        wait_for_runs(&scenario, 40).await;
        stop.store(true, Ordering::Relaxed);
        check_bookings(&scenario, &booking.await, false);
    });
}

/// Leader of a log as a daemon's status names it, empty if it knows none.
fn leader_of(status: &Value, log: &str) -> String {
    let logs = status["logs"].as_array().into_iter().flatten();
    let mut named = logs.filter(|entry| entry["name"] == log);
    let leader = named.next().map(|log| log["leader"].as_str().unwrap_or_default().to_owned());
    leader.unwrap_or_default()
}

/// Three operators change the same object through different daemons at once and resend changes that
/// got no final answer, while daemons are killed. In each round exactly one change may be accepted,
/// and no daemon may go back to an older revision or miss the last one.
#[test]
fn configuration_never_reverts_while_daemons_are_killed() {
    smol::block_on(async {
        let plan = Scenario::plan(DAEMON, MIXED);
        let mut scenario = Scenario::spawn(plan, MIXED, |_| {}).await;
        let names: Vec<String> =
            scenario.deployment.daemons.iter().map(|daemon| daemon.name.clone()).collect();
        let mut revisions: BTreeMap<String, u64> = BTreeMap::new();
        let mut accepted: BTreeMap<u64, String> = BTreeMap::new();
        let mut newest = 0;
        for round in 0..40 {
            if round % 8 == 3 {
                let name = &names[round / 8 % names.len()];
                scenario.deployment.process(name).kill();
                scenario.deployment.start(name, false);
            }
            let changes: Vec<_> = (0..3)
                .map(|operator| {
                    let operation = format!("round-{round}-operator-{operator}");
                    let body = json!({ "selector": format!("rack=r{operator}") });
                    let expected = Some(accepted.keys().next_back().copied().unwrap_or(0));
                    let name = &names[(round + operator) % names.len()];
                    let deployment = &scenario.deployment;
                    async move {
                        let apply = |name| {
                            deployment.apply(name, &operation, "drain", "d", expected, body.clone())
                        };
                        let mut reply = apply(name).await;
                        let started = Instant::now();
                        while !reply.as_ref().is_ok_and(|reply| reply.status != 503)
                            && started.elapsed() < Duration::from_secs(30)
                        {
                            Timer::after(Duration::from_millis(50)).await;
                            reply = apply("zone-b-0").await;
                        }
                        (operation, reply)
                    }
                })
                .collect();
            let mut accepted_in_round = 0;
            for (operation, reply) in join_all(changes).await {
                let reply = reply.expect("the change gets a final answer");
                if reply.status != 200 {
                    assert_eq!(reply.status, 409, "{}", reply.body);
                    continue;
                }
                accepted_in_round += 1;
                let version =
                    reply.json()["version"].as_u64().expect("an accepted change has a version");
                newest = newest.max(reply.json()["revision"].as_u64().unwrap_or(0));
                let earlier_operation = accepted.insert(version, operation.clone());
                assert_eq!(
                    earlier_operation, None,
                    "version {version} was assigned to two changes"
                );
            }
            assert_eq!(
                accepted_in_round, 1,
                "not exactly one of three changes was accepted in round {round}"
            );
            for name in &names {
                let status = scenario.deployment.status(name).await;
                let Some(revision) = status["revision"].as_u64().filter(|r| *r > 0) else {
                    continue;
                };
                let last = revisions.entry(name.clone()).or_default();
                assert!(revision >= *last, "{name} went back from {last} to {revision}");
                *last = revision;
            }
        }
        for name in &names {
            scenario
                .deployment
                .wait_for(name, "the last revision", |s| s["revision"].as_u64() >= Some(newest))
                .await;
        }
    });
}

/// Runs futures concurrently and returns their outputs in the same order.
async fn join_all<Task>(tasks: Vec<Task>) -> Vec<Task::Output>
where
    Task: std::future::Future,
{
    let mut tasks: Vec<_> = tasks.into_iter().map(Box::pin).collect();
    let mut outputs: Vec<Option<Task::Output>> = tasks.iter().map(|_| None).collect();
    std::future::poll_fn(|context| {
        let mut pending = false;
        for (task, slot) in tasks.iter_mut().zip(&mut outputs) {
            if slot.is_none() {
                match task.as_mut().poll(context) {
                    std::task::Poll::Ready(output) => *slot = Some(output),
                    std::task::Poll::Pending => pending = true,
                }
            }
        }
        if pending {
            return std::task::Poll::Pending;
        }
        std::task::Poll::Ready(())
    })
    .await;
    outputs.into_iter().flatten().collect()
}

/// A zone is partitioned from the others. It must keep serving generation requests with its own
/// group and refuse bookings, which need the claim log, with `not-run` and `Retry-After`. After the
/// partition it must use all routes and accept bookings again, and the refused booking must not
/// have run.
#[test]
fn partitioned_zone_serves_generation_and_refuses_bookings() {
    smol::block_on(async {
        let mut plan = Scenario::plan(DAEMON, ALL_WITH_DISK);
        let mut proxies = Vec::new();
        let pairs: Vec<(String, String, SocketAddr)> = plan
            .daemons
            .iter()
            .flat_map(|from| plan.daemons.iter().map(move |to| (from, to)))
            .filter(|(from, to)| (from.zone == "zone-a") != (to.zone == "zone-a"))
            .map(|(from, to)| (from.name.clone(), to.name.clone(), to.addresses.daemons))
            .collect();
        for (from, to, target) in pairs {
            let proxy = Proxy::spawn(target).await;
            plan.add_redirect(Redirect { from, to, address: proxy.address });
            proxies.push(proxy);
        }
        let scenario = Scenario::spawn(plan, ALL_WITH_DISK, |_| {}).await;
        let partitioned_address = scenario.deployment.daemon("zone-a-0").addresses.callers;
        for proxy in &proxies {
            proxy.set_paused(true);
        }
        scenario.deployment.wait_for("zone-a-0", "staleness", |s| s["stale"] == true).await;
        scenario
            .deployment
            .wait_for("zone-a-0", "a single accepting route, to its own group", |status| {
                accepting_routes(status) == 1
            })
            .await;
        let generate = Call::generate(MODEL_SERVICE, TOKEN, "in the partitioned zone", 5, true);
        let reply = call(partitioned_address, &generate).await.expect("the daemon answers");
        assert!(reply.is_complete_answer("in the partitioned zone", 5, true), "{reply:?}");
        let booking = Call::plain(PLAIN_SERVICE, TOKEN, "/book", "cut");
        let reply = call(partitioned_address, &booking).await.expect("the daemon answers");
        let refusal = (reply.reason(), reply.run_status());
        assert_eq!(refusal, ("claims-unreachable".to_owned(), "not-run".to_owned()));
        assert!(reply.retry_after.is_some());
        for proxy in &proxies {
            proxy.set_paused(false);
            proxy.set_disconnected(true);
        }
        for proxy in &proxies {
            proxy.wait_until_closed().await;
        }
        for proxy in &proxies {
            proxy.set_disconnected(false);
        }
        scenario.deployment.wait_for("zone-a-0", "all routes", |s| accepting_routes(s) == 4).await;
        let mut reply = call(partitioned_address, &booking).await.expect("the daemon answers");
        while reply.reason() == "claims-unreachable" {
            assert_eq!(reply.run_status(), "not-run");
            Timer::after(Duration::from_millis(50)).await;
            reply = call(partitioned_address, &booking).await.expect("the daemon answers");
        }
        let status = scenario.deployment.status("zone-a-0").await;
        assert_eq!(reply.status, 200, "{}; routes now: {:#}", reply.body, status["routes"]);
        assert_eq!(scenario.plain_service.history.executions().len(), 1);
    });
}

/// A daemon that lost its data folder must join again as a learner with a new replica identity and
/// become a voter: it must form a quorum with zone-a-0 when the third voter is killed.
#[test]
fn lost_disk_rejoins_as_learner_and_becomes_voter() {
    smol::block_on(async {
        let plan = Scenario::plan(DAEMON, MIXED);
        let mut scenario = Scenario::spawn(plan, MIXED, |_| {}).await;
        scenario.deployment.process("zone-b-0").kill();
        std::fs::remove_dir_all(scenario.deployment.data_folder("zone-b-0"))
            .expect("the data folder exists");
        scenario.deployment.start("zone-b-0", false);
        scenario
            .deployment
            .wait_for("zone-a-0", "the replaced voter", |status| {
                let logs = status["logs"].as_array().into_iter().flatten();
                let voters = logs
                    .filter(|log| log["name"] == "configuration" || log["name"] == "claims")
                    .map(|log| log["voters"].to_string());
                // The replica number after `#` is 0 for an initial voter only.
                let is_replaced = |voters: String| {
                    voters.contains("zone-b-0#") && !voters.contains("zone-b-0#0:")
                };
                voters.map(is_replaced).filter(|replaced| *replaced).count() == 2
            })
            .await;
        scenario.deployment.process("zone-c-0").kill();
        let body = json!({ "selector": "rack=r1" });
        let mut reply = None;
        for _ in 0..20 {
            let applied =
                scenario.deployment.apply("zone-a-0", "op", "drain", "d", None, body.clone());
            reply = applied.await.ok().filter(|reply| reply.status == 200);
            if reply.is_some() {
                break;
            }
        }
        assert!(
            reply.is_some(),
            "no change was committed: the new replica forms no quorum with zone-a-0"
        );
    });
}

/// A member of a serving group is killed while the group streams answers. The streams must end as
/// visibly truncated, never as complete, and the group must be repaired with the spare VM.
#[test]
fn member_killed_truncates_streams_visibly() {
    smol::block_on(async {
        let plan = Scenario::plan(DAEMON, ALL_WITH_DISK);
        let slow = |config: &mut dotterelhoist_testkit::engine::Config| config.token_ms = 10;
        let mut scenario = Scenario::spawn(plan, ALL_WITH_DISK, slow).await;
        let address = scenario.deployment.daemon("zone-a-0").addresses.callers;
        let streams: Vec<_> = (0..8)
            .map(|number| {
                let generate =
                    Call::generate(MODEL_SERVICE, TOKEN, &format!("p{number}"), 600, true);
                smol::spawn(async move { call(address, &generate).await })
            })
            .collect();
        let (group, generation) = scenario.rank_zero("zone-a").membership();
        while scenario.rank_zero("zone-a").running_requests() < 8 {
            Timer::after(Duration::from_millis(5)).await;
        }
        let second = scenario
            .engines
            .iter_mut()
            .find(|e| e.membership() == (group.clone(), generation) && !e.is_rank_zero())
            .expect("the group has a second member");
        second.kill();
        let killed = Instant::now();
        for stream in streams {
            let reply = stream.await.expect("the response head was received before the kill");
            assert!(!reply.complete, "a stream of a group with a killed member ended as complete");
            assert!(!reply.body.contains("[DONE]"));
        }
        assert!(
            killed.elapsed() < Duration::from_secs(6),
            "streams ran on after the kill; an uninterrupted one takes 6 s"
        );
        scenario
            .deployment
            .wait_for("zone-a-0", "the repaired group", |status| {
                let zones = status["zones"].as_array().cloned().unwrap_or_default();
                zones.iter().any(|z| z["zone"] == "zone-a" && z["serving"] == 2 && z["failed"] == 1)
            })
            .await;
    });
}
