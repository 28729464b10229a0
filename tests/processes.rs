//! Real daemons that are killed, frozen, cut off and restarted, held against the history of what
//! the endpoints ran and what callers and operators were told.

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

/// Program of the daemon.
const DAEMON: &str = env!("CARGO_BIN_EXE_dotterelhoistd");
/// Three zones with two daemons each, one of them with a disk, and a group of two with a spare.
const THREE: Size =
    Size { zones: 3, disk_daemons: 2, diskless_daemons: 0, group_members: 2, vms_per_zone: 3 };
/// Three zones with one daemon with and one without a disk.
const MIXED: Size =
    Size { zones: 3, disk_daemons: 1, diskless_daemons: 1, group_members: 2, vms_per_zone: 2 };

/// One submission of a booking and what its caller was told.
#[derive(Clone, Debug)]
struct Submission {
    key: usize,
    reply: Option<Reply>,
}

/// Sends bookings until it is told to stop, each key to several daemons one after another.
async fn book(addresses: Vec<SocketAddr>, stop: Arc<AtomicBool>) -> Vec<Submission> {
    let history = Arc::new(Mutex::new(Vec::new()));
    let workers: Vec<_> = (0..8)
        .map(|worker| {
            let (addresses, stop, history) = (addresses.clone(), stop.clone(), history.clone());
            smol::spawn(async move {
                let mut round = 0;
                while !stop.load(Ordering::Relaxed) {
                    let key = worker + 8 * (round / 3);
                    let address = addresses[(worker + round) % addresses.len()];
                    let text = format!("tent {key}");
                    let booking = Call::plain(PLAIN_SERVICE, TOKEN, "/book", &text)
                        .with_idempotency_key(&text)
                        .with_timeout(Duration::from_secs(5));
                    let reply = call(address, &booking).await.ok();
                    if let Ok(mut history) = history.lock() {
                        history.push(Submission { key, reply });
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

/// Executions per key ≤ 1; told `not-run` ⇒ none; told an answer ⇒ exactly one, and the same answer
/// for each submission. Where daemons were `killed`, an answer may be cut on its way; its length shows
/// that, and it still means that the booking ran.
fn check_bookings(scenario: &Scenario, history: &[Submission], killed: bool) {
    let mut runs: BTreeMap<String, usize> = BTreeMap::new();
    for execution in scenario.plain_service.history.executions() {
        *runs.entry(execution.body).or_default() += 1;
    }
    let mut answers: BTreeMap<usize, String> = BTreeMap::new();
    for submission in history {
        let ran = runs.get(&format!("tent {}", submission.key)).copied().unwrap_or(0);
        assert!(ran <= 1, "key {} ran {ran} times", submission.key);
        let Some(reply) = &submission.reply else { continue };
        if reply.status == 200 && reply.complete {
            let first = answers.entry(submission.key).or_insert_with(|| reply.body.clone());
            assert_eq!(*first, reply.body, "key {} got two answers", submission.key);
        }
        if reply.status == 200 {
            assert_eq!(ran, 1, "key {} was told 200 without a run", submission.key);
            assert!(reply.complete || killed, "an answer was cut, but no daemon was killed");
        }
        let final_submission = history.iter().filter(|s| s.key == submission.key).count() == 1;
        if reply.run_status() == "not-run" && final_submission {
            assert_eq!(ran, 0, "key {} was told not-run and ran", submission.key);
        }
    }
}

/// Bookings go on while daemons are killed at any moment and start again, the leader of the claim log
/// among them.
#[test]
fn bookings_run_at_most_once_while_daemons_are_killed() {
    smol::block_on(async {
        let plan = Scenario::plan(DAEMON, THREE);
        let mut scenario = Scenario::spawn(plan, THREE, |_| {}).await;
        scenario.plain_service.set_delay(Duration::from_millis(15));
        let stop = Arc::new(AtomicBool::new(false));
        let booking = smol::spawn(book(scenario.deployment.caller_addresses(), stop.clone()));
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

/// Waits until the plain service has run this many more bookings.
async fn wait_for_runs(scenario: &Scenario, more: usize) {
    let target = scenario.plain_service.history.executions().len() + more;
    while scenario.plain_service.history.executions().len() < target {
        Timer::after(Duration::from_millis(10)).await;
    }
}

/// The leader of the logs is frozen for longer than its lease, and wakes up.
#[test]
fn bookings_run_at_most_once_while_a_leader_is_frozen() {
    smol::block_on(async {
        let plan = Scenario::plan(DAEMON, THREE);
        let mut scenario = Scenario::spawn(plan, THREE, |_| {}).await;
        scenario.plain_service.set_delay(Duration::from_millis(15));
        let status = scenario.deployment.status("zone-a-0").await;
        let leader = leader_of(&status, "claims");
        let others: Vec<SocketAddr> = scenario
            .deployment
            .daemons
            .iter()
            .filter(|daemon| daemon.name != leader)
            .map(|daemon| daemon.addresses.callers)
            .collect();
        let stop = Arc::new(AtomicBool::new(false));
        let booking = smol::spawn(book(others, stop.clone()));
        wait_for_runs(&scenario, 40).await;
        scenario.deployment.process(&leader).signal("STOP");
        let other = if leader == "zone-b-0" { "zone-c-0" } else { "zone-b-0" };
        scenario
            .deployment
            .wait_for(other, "another leader", |status| {
                let now = leader_of(status, "claims");
                !now.is_empty() && now != leader
            })
            .await;
        wait_for_runs(&scenario, 40).await;
        scenario.deployment.process(&leader).signal("CONT");
        wait_for_runs(&scenario, 40).await;
        stop.store(true, Ordering::Relaxed);
        check_bookings(&scenario, &booking.await, false);
    });
}

fn leader_of(status: &Value, log: &str) -> String {
    let logs = status["logs"].as_array().into_iter().flatten();
    let mut named = logs.filter(|known| known["name"] == log);
    let leader = named.next().map(|log| log["leader"].as_str().unwrap_or_default().to_owned());
    leader.unwrap_or_default()
}

/// Operators race each other over several daemons and resend changes whose answers they lost, while
/// daemons are killed; no daemon's revision ever falls, and every accepted change is in force.
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
            let racing: Vec<_> = (0..3)
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
                        let began = Instant::now();
                        while !reply.as_ref().is_ok_and(|reply| reply.status != 503)
                            && began.elapsed() < Duration::from_secs(30)
                        {
                            Timer::after(Duration::from_millis(50)).await;
                            reply = apply("zone-b-0").await;
                        }
                        (operation, reply)
                    }
                })
                .collect();
            let mut winners = 0;
            for (operation, reply) in join_all(racing).await {
                let reply = reply.expect("a final answer");
                if reply.status != 200 {
                    assert_eq!(reply.status, 409, "{}", reply.body);
                    continue;
                }
                winners += 1;
                let version = reply.json()["version"].as_u64().expect("a version");
                newest = newest.max(reply.json()["revision"].as_u64().unwrap_or(0));
                let other = accepted.insert(version, operation.clone());
                assert_eq!(other, None, "version {version} was given twice");
            }
            assert_eq!(winners, 1, "one of three racing operators wins in round {round}");
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

/// Runs futures one step at a time until all are done.
async fn join_all<Work>(works: Vec<Work>) -> Vec<Work::Output>
where
    Work: std::future::Future,
{
    let mut works: Vec<_> = works.into_iter().map(Box::pin).collect();
    let mut done: Vec<Option<Work::Output>> = works.iter().map(|_| None).collect();
    std::future::poll_fn(|context| {
        let mut waiting = false;
        for (work, slot) in works.iter_mut().zip(&mut done) {
            if slot.is_none() {
                match work.as_mut().poll(context) {
                    std::task::Poll::Ready(output) => *slot = Some(output),
                    std::task::Poll::Pending => waiting = true,
                }
            }
        }
        if waiting {
            return std::task::Poll::Pending;
        }
        std::task::Poll::Ready(())
    })
    .await;
    done.into_iter().flatten().collect()
}

/// A zone is cut off from the others: it serves generation on with its own group, refuses bookings at
/// once with a time to come back, and does both again after the cut.
#[test]
fn cut_zone_serves_on_and_refuses_bookings_honestly() {
    smol::block_on(async {
        let mut plan = Scenario::plan(DAEMON, THREE);
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
        let scenario = Scenario::spawn(plan, THREE, |_| {}).await;
        let inside = scenario.deployment.daemon("zone-a-0").addresses.callers;
        for proxy in &proxies {
            proxy.set_paused(true);
        }
        scenario.deployment.wait_for("zone-a-0", "staleness", |s| s["stale"] == true).await;
        scenario
            .deployment
            .wait_for("zone-a-0", "its own group alone", |status| accepting_routes(status) == 1)
            .await;
        let generate = Call::generate(MODEL_SERVICE, TOKEN, "in the cut zone", 5, true);
        let reply = call(inside, &generate).await.expect("an answer");
        assert!(reply.is_complete_answer("in the cut zone", 5, true), "{reply:?}");
        let booking = Call::plain(PLAIN_SERVICE, TOKEN, "/book", "cut");
        let reply = call(inside, &booking).await.expect("an answer");
        let told = (reply.reason(), reply.run_status());
        assert_eq!(told, ("claims-unreachable".to_owned(), "not-run".to_owned()));
        assert!(reply.retry_after.is_some());
        for proxy in &proxies {
            proxy.set_paused(false);
            proxy.set_disconnected(true);
        }
        for proxy in &proxies {
            proxy.set_disconnected(false);
        }
        scenario.deployment.wait_for("zone-a-0", "all routes", |s| accepting_routes(s) == 4).await;
        let mut reply = call(inside, &booking).await.expect("an answer");
        while reply.reason() == "claims-unreachable" {
            assert_eq!(reply.run_status(), "not-run");
            Timer::after(Duration::from_millis(50)).await;
            reply = call(inside, &booking).await.expect("an answer");
        }
        assert_eq!(reply.status, 200, "{}", reply.body);
        assert_eq!(scenario.plain_service.history.executions().len(), 1);
    });
}

/// A daemon that lost its disk comes back as a learner with a new identity and votes again.
#[test]
fn lost_disk_returns_as_a_learner() {
    smol::block_on(async {
        let plan = Scenario::plan(DAEMON, MIXED);
        let mut scenario = Scenario::spawn(plan, MIXED, |_| {}).await;
        scenario.deployment.process("zone-b-0").kill();
        std::fs::remove_dir_all(scenario.deployment.data_folder("zone-b-0")).expect("its folder");
        scenario.deployment.start("zone-b-0", false);
        scenario
            .deployment
            .wait_for("zone-a-0", "the exchanged voter", |status| {
                let logs = status["logs"].as_array().into_iter().flatten();
                let voters = logs
                    .filter(|log| log["name"] == "configuration" || log["name"] == "claims")
                    .map(|log| log["voters"].to_string());
                let new = |voters: String| {
                    voters.contains("zone-b-0#") && !voters.contains("zone-b-0#0:")
                };
                voters.map(new).filter(|new| *new).count() == 2
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
        assert!(reply.is_some(), "the returned replica makes up a quorum with zone-a-0");
    });
}

/// A member is killed in the midst of streams: they end visibly broken, the group is repaired with
/// its spare, and no answer is whole that was not.
#[test]
fn member_killed_under_streams_breaks_them_visibly() {
    smol::block_on(async {
        let plan = Scenario::plan(DAEMON, THREE);
        let slow = |config: &mut dotterelhoist_testkit::engine::Config| config.token_ms = 10;
        let mut scenario = Scenario::spawn(plan, THREE, slow).await;
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
            .expect("a second member");
        second.kill();
        let killed = Instant::now();
        for stream in streams {
            let reply = stream.await.expect("a head had come");
            assert!(!reply.complete, "a stream of a group without a member came whole");
            assert!(!reply.body.contains("[DONE]"));
        }
        assert!(killed.elapsed() < Duration::from_secs(6), "streams take 6 s when they go on");
        scenario
            .deployment
            .wait_for("zone-a-0", "the repaired group", |status| {
                let zones = status["zones"].as_array().cloned().unwrap_or_default();
                zones.iter().any(|z| z["zone"] == "zone-a" && z["serving"] == 2 && z["failed"] == 1)
            })
            .await;
    });
}
