//! Requests from caller to endpoint with `dotterelhoistd platform`: real daemon processes and
//! stand-ins for the platform's endpoints.

use std::time::Duration;

use self::deployment::{Deployment, Reply};

#[path = "platform/deployment.rs"]
mod deployment;
#[path = "platform/engine.rs"]
mod engine;

/// Number of requests that one call of [`serve_all`] sends.
const REQUESTS: usize = 40;
/// Time within which a deployment must recover from a failure.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(30);

/// Sends requests that alternate between streams and bookings, with ids that begin with `label`,
/// and returns how many got status 200. Panics if a response with status 200 is not complete or
/// answers another request.
fn serve_all(deployment: &Deployment, label: &str) -> usize {
    let mut served = 0;
    for number in 0..REQUESTS {
        let id = format!("{label}{number}");
        let reply = match number % 2 {
            0 => deployment.stream(&id, None),
            _ => deployment.book(&id),
        };
        let Some(Reply { status: 200, id: response_id, sealed, body, .. }) = reply else {
            continue;
        };
        assert_eq!(
            response_id.as_deref(),
            Some(id.as_str()),
            "the response names the id of another request"
        );
        assert!(sealed, "a response with status 200 lacks the seal of an endpoint");
        if number % 2 == 0 {
            assert_eq!(deployment::event_ids(&body), [1, 2, 3, 4, 5], "{body}");
        }
        served += 1;
    }
    served
}

/// Without failures every request is served, and requests with a wrong key or path are refused.
#[test]
fn requests_without_failure_are_all_served() {
    let deployment = Deployment::start();
    assert_eq!(serve_all(&deployment, "a"), REQUESTS);
    assert_eq!(deployment.stream("b1", Some("nobody")).map(|reply| reply.status), Some(401));
    assert_eq!(deployment.get("/nowhere/x").map(|reply| reply.status), Some(404));
    deployment.check_run_counts();
}

/// A control daemon is killed and an engine stopped right after a configuration document was
/// acknowledged. All requests must be served again, the document must still be in force, and no
/// request may have run more often than its route allows.
#[test]
fn control_daemon_and_engine_lost_keep_document_and_service() {
    let mut deployment = Deployment::start();
    serve_all(&deployment, "a");
    deployment.put(8);
    deployment.kill_control_daemon(0);
    deployment.stop_engine(0);
    let served = deployment.poll(RECOVERY_TIMEOUT, |deployment| {
        let label = deployment.unique_label();
        (serve_all(deployment, &label) == REQUESTS).then_some(())
    });
    assert!(served.is_some(), "some requests are still not served after the recovery timeout");
    let read = deployment.poll(RECOVERY_TIMEOUT, Deployment::read_version);
    assert_eq!(read, Some(8), "the acknowledged document is not in force any more");
    deployment.check_run_counts();
}

/// An entry daemon that is told to stop must finish the stream in flight before it exits.
#[test]
fn entry_daemon_stop_finishes_answer_in_flight() {
    let mut deployment = Deployment::start();
    let running = deployment.stream_in_background("slow");
    deployment.terminate_entry();
    let reply = running.join().expect("the caller's thread does not panic");
    let reply = reply.expect("the request in flight gets a complete response");
    assert_eq!((reply.status, deployment::event_ids(&reply.body).len()), (200, 5));
    assert!(deployment.wait_entry_exit(), "the entry daemon did not exit with code 0 in time");
}

/// A document of half a megabyte, and one that follows with another route, come into force on the
/// entry daemon and can be read from a control daemon.
#[test]
fn document_that_grows_and_changes_is_in_force_and_read_back() {
    let deployment = Deployment::start();
    for (version, routes) in [(8, 3000), (9, 3001)] {
        deployment.put_with_routes(version, routes);
        let path = format!("/more{}/x", routes - 1);
        let served = deployment.poll(RECOVERY_TIMEOUT, |deployment| {
            let reply = deployment.book_at(&deployment.unique_label(), &path)?;
            (reply.status == 200).then_some(())
        });
        assert!(served.is_some(), "the last route of version {version} is not served");
        assert_eq!(deployment.read_version(), Some(version));
    }
}

/// The only endpoint of a service takes one request in ten seconds: the next one is refused, with
/// the time until there is room.
#[test]
fn request_beyond_the_limit_of_the_only_endpoint_is_refused_with_the_time_to_retry() {
    let deployment = Deployment::start();
    deployment.set_limit(0.1);
    let told = deployment.book("a1").expect("a complete response");
    assert_eq!(told.status, 200);
    let refused = deployment.book("a3").expect("a complete response");
    assert_eq!((refused.status, refused.sealed), (429, false));
    let retry_after = refused.retry_after.expect("the refusal states when to retry");
    assert!((1.0..=10.0).contains(&retry_after), "{retry_after} s");
}
