//! Requests of callers and answers of endpoints over HTTP, valid and invalid, through one daemon.

use std::time::Duration;

use dotterelhoist_testkit::client::{call, send_raw, Call};
use dotterelhoist_testkit::deployment::counter;
use dotterelhoist_testkit::plain::{Behavior, RawBytes};
use dotterelhoist_testkit::process::peak_memory_kb;
use dotterelhoist_testkit::scenario::{Scenario, Size, MODEL_SERVICE, PLAIN_SERVICE, TOKEN};
use http_types::Method;
use rstest::rstest;
use smol::net::TcpStream;
use smol::Timer;

/// Path of the daemon's program.
const DAEMON: &str = env!("CARGO_BIN_EXE_dotterelhoistd");
/// One daemon with a serving group of one member.
const ONE_DAEMON: Size =
    Size { zones: 1, disk_daemons: 1, diskless_daemons: 0, group_members: 1, vms_per_zone: 1 };

async fn scenario() -> Scenario {
    Scenario::spawn(Scenario::plan(DAEMON, ONE_DAEMON), ONE_DAEMON, |_| {}).await
}

/// Status code in a raw response, `closed` if the connection was closed without a response.
fn status_of(answer: &str) -> &str {
    answer.split_whitespace().nth(1).unwrap_or("closed")
}

#[test]
fn request_malformed_is_refused_and_not_dispatched() {
    smol::block_on(async {
        let scenario = scenario().await;
        let address = scenario.deployment.caller_addresses()[0];
        let head = "POST /services/desk/book HTTP/1.1\r\nhost: x\r\nauthorization: Bearer captains-key\r\n";
        let long = "a".repeat(40_000);
        let cases = [
            ("truncated body", format!("{head}content-length: 100\r\n\r\nabc"), true, "400"),
            (
                "truncated chunk",
                format!("{head}transfer-encoding: chunked\r\n\r\nff\r\nabc"),
                true,
                "400",
            ),
            ("malformed request line", "NONSENSE\r\n\r\n".to_owned(), false, "400"),
            ("no version", "GET /healthz\r\n\r\n".to_owned(), false, "400"),
            (
                "head over the limit",
                format!("GET /healthz HTTP/1.1\r\nhost: x\r\nx: {long}\r\n\r\n"),
                false,
                "413",
            ),
            ("head without line end", long.clone(), false, "413"),
            (
                "body over the limit",
                format!("{head}content-length: 99999999\r\n\r\nabc"),
                false,
                "413",
            ),
            (
                "length and chunks",
                format!("{head}content-length: 3\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n"),
                false,
                "400",
            ),
            (
                "endless slow head",
                "GET /healthz HTTP/1.1\r\nhost: x\r\nx: ".to_owned(),
                false,
                "closed",
            ),
            ("no such path", "GET /nowhere HTTP/1.1\r\nhost: x\r\n\r\n".to_owned(), true, "404"),
        ];
        for (name, bytes, shutdown, expected) in cases {
            let answer = send_raw(address, bytes.as_bytes(), shutdown).await;
            assert_eq!(status_of(&answer), expected, "{name}: {answer}");
            let valid = Call::plain(PLAIN_SERVICE, TOKEN, "/book", name).with_idempotency_key(name);
            let reply =
                call(address, &valid).await.expect("the daemon still answers valid requests");
            assert_eq!(reply.status, 200, "after {name}: {}", reply.body);
        }
        let bodies: Vec<String> =
            scenario.plain_service.history.executions().into_iter().map(|e| e.body).collect();
        assert!(
            !bodies.iter().any(|body| body.starts_with("abc") || body.is_empty()),
            "{bodies:?}"
        );
        let status = scenario.deployment.status("zone-a-0").await;
        assert!(counter(&status, "refused.bad-request") >= 4, "{status:#}");
        assert!(counter(&status, "refused.too-large") >= 3, "{status:#}");
    });
}

#[test]
fn request_with_wrong_token_or_service_is_refused() {
    smol::block_on(async {
        let scenario = scenario().await;
        let address = scenario.deployment.caller_addresses()[0];
        let cases = [
            (Call::generate(MODEL_SERVICE, "wrong", "p", 1, false), 401, "unauthorized"),
            (Call::generate("nothing", TOKEN, "p", 1, false), 404, "unknown-service"),
            (Call::generate(PLAIN_SERVICE, TOKEN, "p", 1, false), 404, "unknown-path"),
            (
                Call {
                    body: "{".to_owned(),
                    ..Call::generate(MODEL_SERVICE, TOKEN, "p", 1, false)
                },
                400,
                "bad-request",
            ),
        ];
        for (invalid, status, reason) in cases {
            let reply = call(address, &invalid).await.expect("the daemon answers");
            assert_eq!((reply.status, reply.reason().as_str()), (status, reason));
            assert_eq!(reply.run_status(), "not-run");
        }
    });
}

/// An endpoint runs a call that is not idempotent, but its answer is truncated, has no framing, has
/// no end or is missing. The caller must be told that the call may have run, and the daemon must not
/// send it to an endpoint again, not even when the caller resends it.
#[rstest]
#[case::truncated(Behavior::Truncate)]
#[case::unframed(Behavior::Unframed)]
#[case::missing(Behavior::CloseUnanswered)]
#[case::cut_between_chunks(Behavior::CutChunks)]
#[case::head_without_end(Behavior::EndlessHead)]
fn answer_broken_by_endpoint_is_reported_unknown_and_not_retried(#[case] behavior: Behavior) {
    smol::block_on(async {
        let scenario = scenario().await;
        let address = scenario.deployment.caller_addresses()[0];
        scenario.plain_service.set_behavior(behavior);
        let booking = Call::plain(PLAIN_SERVICE, TOKEN, "/book", "k1").with_idempotency_key("k1");
        let reply = call(address, &booking).await.expect("the daemon answers");
        assert_eq!(reply.reason(), "broken", "{}", reply.body);
        assert_eq!(reply.run_status(), "unknown");
        scenario.plain_service.set_behavior(Behavior::Answer);
        let resent = call(address, &booking).await.expect("the daemon answers");
        assert_eq!(resent.run_status(), "unknown", "{}", resent.body);
        assert_eq!(scenario.plain_service.history.executions().len(), 1);
        let ejected = |status: &serde_json::Value| {
            let routes = status["routes"].as_array().cloned().unwrap_or_default();
            routes.iter().any(|route| route["ejected"] == true)
        };
        scenario
            .deployment
            .wait_for("zone-a-0", "the end of the ejection", |status| !ejected(status))
            .await;
        let later = Call::plain(PLAIN_SERVICE, TOKEN, "/book", "k2").with_idempotency_key("k2");
        let reply = call(address, &later).await.expect("the daemon answers");
        assert_eq!(reply.status, 200, "{}", reply.body);
    });
}

#[test]
fn answer_declined_by_endpoint_is_reported_not_run() {
    smol::block_on(async {
        let scenario = scenario().await;
        let address = scenario.deployment.caller_addresses()[0];
        scenario.plain_service.set_behavior(Behavior::Decline);
        let booking = Call::plain(PLAIN_SERVICE, TOKEN, "/book", "x");
        let reply = call(address, &booking).await.expect("the daemon answers");
        assert_eq!(
            (reply.reason().as_str(), reply.run_status().as_str()),
            ("no-endpoint", "not-run")
        );
        assert!(reply.retry_after.is_some());
        assert!(scenario.plain_service.history.executions().is_empty());
        scenario.plain_service.set_behavior(Behavior::Answer);
        let reply = call(address, &booking).await.expect("the daemon answers");
        assert_eq!(reply.status, 200);
    });
}

#[test]
fn answer_is_replayed_to_resent_request() {
    smol::block_on(async {
        let scenario = scenario().await;
        let address = scenario.deployment.caller_addresses()[0];
        let booking =
            Call::plain(PLAIN_SERVICE, TOKEN, "/book", "tent 7").with_idempotency_key("tent-7");
        let first = call(address, &booking).await.expect("the daemon answers");
        let second = call(address, &booking).await.expect("the daemon answers");
        assert_eq!((first.status, second.status), (200, 200));
        assert_eq!(first.body, second.body);
        assert!(!first.replayed && second.replayed);
        let other =
            Call::plain(PLAIN_SERVICE, TOKEN, "/book", "tent 8").with_idempotency_key("tent-7");
        let reply = call(address, &other).await.expect("the daemon answers");
        assert_eq!((reply.status, reply.reason().as_str()), (422, "key-reused"));
        assert_eq!(scenario.plain_service.history.executions().len(), 1);
    });
}

/// When a caller closes its connection, the engine must stop the request, both before the response
/// starts and while it is streamed.
#[test]
fn caller_disconnect_cancels_request() {
    smol::block_on(async {
        let slow = |config: &mut dotterelhoist_testkit::engine::Config| {
            config.prefill_ms = 300;
            config.token_ms = 20;
        };
        let mut scenario =
            Scenario::spawn(Scenario::plan(DAEMON, ONE_DAEMON), ONE_DAEMON, slow).await;
        let address = scenario.deployment.caller_addresses()[0];
        let engine = scenario.rank_zero("zone-a");
        for stream in [true, false] {
            let connection = TcpStream::connect(address).await.expect("the daemon listens");
            let generate = Call::generate(MODEL_SERVICE, TOKEN, "p", 10_000, stream);
            let request = smol::spawn({
                let connection = connection.clone();
                async move {
                    dotterelhoist_testkit::client::call_on(&connection, address, &generate).await
                }
            });
            while engine.running_requests() == 0 {
                Timer::after(Duration::from_millis(5)).await;
            }
            Timer::after(Duration::from_millis(if stream { 500 } else { 50 })).await;
            connection.shutdown(std::net::Shutdown::Both).ok();
            drop(connection);
            request.await.ok();
            while engine.running_requests() > 0 {
                Timer::after(Duration::from_millis(5)).await;
            }
        }
        assert!(engine.history.executions().iter().all(|execution| !execution.finished));
    });
}

/// With many callers at once on reused connections, each caller must get the complete answer to its
/// own request.
#[test]
fn answers_reach_callers_that_asked() {
    smol::block_on(async {
        let scenario = scenario().await;
        let addresses = scenario.deployment.caller_addresses();
        let prompt = |index: usize| format!("question {index}");
        let stream = |index: usize| index.is_multiple_of(2);
        let report = dotterelhoist_testkit::load::run(
            &addresses,
            12,
            600,
            move |index| Call::generate(MODEL_SERVICE, TOKEN, &prompt(index), 5, stream(index)),
            move |index, reply| reply.is_complete_answer(&prompt(index), 5, stream(index)),
        )
        .await;
        assert_eq!((report.served, report.failed), (600, 0));
    });
}

/// After SIGTERM the daemon must finish the streams in flight, refuse new requests on open
/// connections and exit with code 0.
#[test]
fn daemon_stop_finishes_requests_in_flight() {
    smol::block_on(async {
        let slow = |config: &mut dotterelhoist_testkit::engine::Config| config.token_ms = 10;
        let mut scenario =
            Scenario::spawn(Scenario::plan(DAEMON, ONE_DAEMON), ONE_DAEMON, slow).await;
        let address = scenario.deployment.caller_addresses()[0];
        let open_connection = TcpStream::connect(address).await.expect("the daemon listens");
        let streams: Vec<_> = (0..6)
            .map(|number| {
                let generate =
                    Call::generate(MODEL_SERVICE, TOKEN, &format!("p{number}"), 100, true);
                smol::spawn(async move { call(address, &generate).await })
            })
            .collect();
        while scenario.rank_zero("zone-a").running_requests() < 6 {
            Timer::after(Duration::from_millis(5)).await;
        }
        scenario.deployment.process("zone-a-0").signal("TERM");
        let late = Call::generate(MODEL_SERVICE, TOKEN, "late", 1, false);
        loop {
            match dotterelhoist_testkit::client::call_on(&open_connection, address, &late).await {
                Ok(reply) if reply.status == 200 => {}
                Ok(reply) => {
                    assert_eq!(
                        (reply.reason().as_str(), reply.run_status().as_str()),
                        ("stopping", "not-run")
                    );
                    break;
                }
                Err(error) => {
                    panic!("the daemon closed an open connection without a response: {error}")
                }
            }
        }
        for (number, stream) in streams.into_iter().enumerate() {
            let reply = stream.await.expect("a stream in flight gets a response");
            assert!(reply.is_complete_answer(&format!("p{number}"), 100, true), "{reply:?}");
        }
        let status = scenario.deployment.process("zone-a-0").wait(Duration::from_secs(20));
        assert_eq!(status.and_then(|status| status.code()), Some(0));
    });
}

/// A safe call, which may use a connection that has carried another one.
fn look_up(number: usize) -> Call {
    Call { method: Method::Get, ..Call::plain(PLAIN_SERVICE, TOKEN, &format!("/x?{number}"), "") }
}

/// Guards against MIXED: an earlier answer, or bytes without an owner, on a kept connection were another caller's answer.
#[rstest]
#[case::answer_without_id("HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nstale")]
#[case::answer_of_another(
    "HTTP/1.1 200 OK\r\ndotterelhoist-request: r-1\r\ncontent-length: 5\r\n\r\nstale"
)]
#[case::refusal("HTTP/1.1 503 Shed\r\ndotterelhoist-run: not-run\r\ncontent-length: 0\r\n\r\n")]
#[case::refusal_later("HTTP/1.1 429 Shed\r\ndotterelhoist-run: not-run\r\nretry-after: 30\r\ncontent-length: 0\r\n\r\n")]
#[case::error("HTTP/1.1 500 Failed\r\ncontent-length: 5\r\n\r\nstale")]
#[case::no_answer("what is this\r\n\r\n")]
fn bytes_that_belong_to_no_request_are_not_delivered(#[case] bytes: &str) {
    smol::block_on(async {
        let scenario = scenario().await;
        let address = scenario.deployment.caller_addresses()[0];
        for number in 0..8 {
            scenario.plain_service.set_bytes(None);
            let before = call(address, &look_up(number)).await.expect("the daemon answers");
            assert_eq!(before.status, 200, "{}", before.body);
            let raw = RawBytes { bytes: bytes.as_bytes().to_vec(), answer_follows: true };
            scenario.plain_service.set_bytes(Some(raw));
            let reply = call(address, &look_up(number)).await.expect("the daemon answers");
            assert_eq!(reply.status, 200, "{}", reply.body);
            assert!(reply.body.contains(&reply.request_id), "{} {}", reply.request_id, reply.body);
        }
    });
}

/// Guards against MIXED: an endpoint that stops within its answer leaves none that looks whole.
#[rstest]
fn answer_that_stops_before_its_end_is_not_delivered(
    #[values(
        "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ndone",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: gzip\r\n\r\n4\r\ndone\r\n0\r\n\r\n ",
        "HTTP/1.1 200 OK\r\ncontent-length: 9\r\ncontent-length: 4\r\n\r\ndone ",
        "HTTP/1.1 503 Shed\r\ndotterelhoist-run: not-run\r\ncontent-length: 0\r\n\r\n"
    )]
    whole: &str,
    #[values(1, 3, 7, 20, 1000)] missing: usize,
    #[values(true, false)] safe: bool,
) {
    smol::block_on(async {
        let scenario = scenario().await;
        let address = scenario.deployment.caller_addresses()[0];
        let part = &whole[..whole.len().saturating_sub(missing)];
        let bytes = part.as_bytes().to_vec();
        scenario.plain_service.set_bytes(Some(RawBytes { bytes, answer_follows: false }));
        let booking = Call::plain(PLAIN_SERVICE, TOKEN, "/book", "b");
        let request = if safe { look_up(1) } else { booking };
        let reply = call(address, &request).await.expect("the daemon answers");
        // The answer to a safe call is forwarded while it arrives, so it can only be seen to be cut.
        assert!(reply.status >= 500 || safe && !reply.complete, "{part:?}: {}", reply.body);
        assert!(safe || reply.run_status() == "unknown", "{part:?}: {}", reply.body);
        assert!(!scenario.plain_service.history.executions().is_empty());
    });
}

/// Guards against MIXED: an interim answer, or what is no status, was passed on as the answer.
#[rstest]
fn answer_whose_status_is_none_is_not_delivered(
    #[values("000", "001", "099", "100", "101", "103", "600", "999", "20")] status: &str,
    #[values(true, false)] safe: bool,
) {
    smol::block_on(async {
        let scenario = scenario().await;
        let address = scenario.deployment.caller_addresses()[0];
        let bytes = format!("HTTP/1.1 {status} Odd\r\ncontent-length: 4\r\n\r\ndone").into_bytes();
        scenario.plain_service.set_bytes(Some(RawBytes { bytes, answer_follows: false }));
        let booking = Call::plain(PLAIN_SERVICE, TOKEN, "/book", "b");
        let request = if safe { look_up(1) } else { booking };
        let reply = call(address, &request).await.expect("the daemon answers");
        assert!((500..=599).contains(&reply.status), "{status}: {}", reply.body);
        assert!(safe || reply.run_status() == "unknown", "{status}: {}", reply.body);
    });
}

/// Answers without end that are read at the same time.
const ENDLESS_ANSWERS: usize = 24;
/// Memory of the VM of a daemon, which the users' letter on sizes states.
const VM_MEMORY_KB: u64 = 256 << 10;

/// Guards against LOST: answers without end filled the memory of the daemon, and all its requests ended with it.
#[test]
fn answers_without_end_do_not_fill_the_memory() {
    smol::block_on(async {
        let mut scenario = scenario().await;
        let address = scenario.deployment.caller_addresses()[0];
        scenario.plain_service.set_behavior(Behavior::EndlessBody);
        let request =
            |number: usize| Call::plain(PLAIN_SERVICE, TOKEN, "/book", &format!("b{number}"));
        let callers: Vec<_> = (0..ENDLESS_ANSWERS)
            .map(|number| smol::spawn(async move { call(address, &request(number)).await }))
            .collect();
        for caller in callers {
            let reply = caller.await.expect("the daemon answers");
            assert!(reply.status >= 500, "{}", reply.status);
        }
        scenario.plain_service.set_behavior(Behavior::Answer);
        // The endpoint is left alone for a time after its failures.
        while call(address, &look_up(1)).await.expect("the daemon answers").status != 200 {
            Timer::after(Duration::from_millis(50)).await;
        }
        let peak_kb =
            peak_memory_kb(scenario.deployment.process("zone-a-0").id()).expect("the daemon runs");
        assert!(peak_kb < VM_MEMORY_KB, "{peak_kb} KB");
    });
}

/// Bodies of announcements of another writer: nested deeply, or with numbers out of range.
fn odd_announcements() -> Vec<String> {
    let max = u64::MAX;
    let most = u32::MAX;
    let announcement = |address: &str, plain: bool, group: &str| {
        serde_json::json!({
            "vm": format!("odd-{plain}"), "address": address, "zone": "zone-a", "fabric-domain": "d",
            "accelerators": most, "labels": { "pool": "odd" }, "incarnation": max, "sequence": max,
            "group": group, "generation": max, "rank": most, "members": most, "phase": "ready",
            "model": "odd", "slots": most, "load": most, "leaving": false, "fences": true,
            "plain": plain, "step-ms": most,
        })
        .to_string()
    };
    let nested = "[".repeat(200_000);
    vec![
        nested.clone(),
        format!("{{\"labels\":{nested}"),
        format!("{{\"more\":{nested}"),
        announcement("127.0.0.1:0", true, ""),
        announcement("127.0.0.1:70000", true, ""),
        announcement("127.0.0.1:9", true, ""),
        announcement("127.0.0.1:9", false, "assist/zone-a/1"),
        announcement("127.0.0.1:9", false, ""),
        announcement("127.0.0.1:9", false, "").replace("4294967295", "4294967296"),
    ]
}

/// Guards against processes that end by themselves: odd entries among the announcements of endpoints.
#[test]
fn announcements_with_odd_values_end_no_daemon() {
    smol::block_on(async {
        let mut scenario = scenario().await;
        let address = scenario.deployment.caller_addresses()[0];
        let announcements = scenario.deployment.announcement_addresses("zone-a")[0];
        for (number, body) in odd_announcements().into_iter().cycle().take(27).enumerate() {
            let length = body.len();
            let head = format!(
                "POST /v1/announce HTTP/1.1\r\nhost: x\r\ncontent-length: {length}\r\n\r\n"
            );
            send_raw(announcements, (head + &body).as_bytes(), true).await;
            let served = call(address, &look_up(number)).await.expect("the daemon answers");
            assert_eq!(served.status, 200, "{}", served.body);
        }
        assert!(!scenario.deployment.process("zone-a-0").has_ended());
    });
}
