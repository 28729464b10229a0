//! Responses whose status is none.

use std::time::Instant;

use rstest::rstest;

use super::callers::RESPONSE_TIMEOUT;
use super::deployment::Deployment;
use super::scripts::{Next, Script};
use super::{serve_all, REQUESTS};

/// Status codes that no response to a request has here.
const ODD: [&str; 7] = ["000", "001", "099", "101", "600", "999", "20"];

/// Guards against MIXED: callers got answers with such a status, or waited until their deadline.
#[rstest]
fn response_whose_status_is_none_ends_the_attempt_at_once(
    #[values(Next::Silence, Next::Close, Next::Request)] next: Next,
) {
    let deployment = Deployment::start();
    for (number, status) in ODD.iter().enumerate() {
        let id = format!("x{number}-1");
        let bytes = format!(
            "HTTP/1.1 {status} Odd\r\nDotterelhoist-Request-Id: {{id}}\r\n\
             Dotterelhoist-Response-Seal: s\r\nContent-Length: 4\r\n\r\ndone"
        );
        deployment.scripts.plan(&id, [Script::run(bytes, next)]);
        let started = Instant::now();
        let reply = deployment.book(&id).expect("a complete response");
        assert_eq!((reply.status, reply.sealed), (502, false), "{status}: {reply:?}");
        assert!(started.elapsed() < RESPONSE_TIMEOUT / 4, "{status}: it waited for more");
        assert_eq!(deployment.run_count(&id), 1, "{status}");
        // An endpoint that fails again and again is left alone for a time.
        assert_eq!(serve_all(&deployment, &deployment.unique_label()), REQUESTS, "{status}");
    }
    deployment.check_run_counts();
}

/// A request that may run again is served by another attempt.
#[test]
fn stream_whose_status_is_none_is_served_by_another_attempt() {
    let deployment = Deployment::start();
    deployment.wait_for_two_groups();
    for (number, status) in ODD.iter().enumerate() {
        let id = format!("s{number}-0");
        let bytes = format!("HTTP/1.1 {status} Odd\r\n\r\n");
        deployment.scripts.plan(&id, [Script::run(bytes, Next::Silence)]);
        let reply = deployment.stream(&id, None).expect("a complete response");
        assert_eq!((reply.status, reply.sealed), (200, true), "{status}: {reply:?}");
        assert_eq!(serve_all(&deployment, &deployment.unique_label()), REQUESTS, "{status}");
    }
}
