//! Bytes that an endpoint sends beside its responses, and refusals that name no request.

use super::callers::Reply;
use super::deployment::Deployment;
use super::scripts::{Next, Script};
use super::RECOVERY_TIMEOUT;

/// Refusals that name no request.
const REFUSALS: [&str; 7] = [
    "HTTP/1.1 503 Shed\r\nDotterelhoist-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 503 Shed\r\nDotterelhoist-Not-Run: 1\r\nRetry-After: 30\r\nContent-Length: 4\r\n\r\nfull",
    "HTTP/1.1 503 Shed\r\nDotterelhoist-Not-Run: 1\r\nServer-Limit: 0.01\r\nServer-Leaving: 1\r\n\
     Transfer-Encoding: chunked\r\n\r\n4\r\nfull\r\n0\r\n\r\n",
    "HTTP/1.1 429 Shed\r\nDotterelhoist-Not-Run: 1\r\nRetry-After: 30\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 408 Late\r\nDotterelhoist-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 421 Misdirected\r\nDotterelhoist-Instance-Id: i-9\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 400 Bad\r\nDotterelhoist-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
];

/// A refusal that names the request `id`.
fn named(refusal: &str, id: &str) -> String {
    refusal.replacen("\r\n", &format!("\r\nDotterelhoist-Request-Id: {id}\r\n"), 1)
}

/// Sends a booking that is served, so that the entry daemon keeps a connection that has carried it.
fn keep_connection(deployment: &Deployment, id: &str) {
    let served = deployment.book(id).expect("a complete response");
    assert_eq!((served.status, deployment.run_count(id)), (200, 1), "{served:?}");
}

/// Starts a second endpoint of the service, and waits until it serves a request that the first has refused.
fn start_second_endpoint(deployment: &mut Deployment) {
    deployment.start_engine("i-9", "desk");
    let served = deployment.poll(RECOVERY_TIMEOUT, |deployment| {
        let id = format!("{}1", deployment.unique_label());
        let refusal = named(REFUSALS[0], &id);
        deployment.scripts.plan(&id, [Script::refuse(refusal, Next::Request)]);
        deployment.book_at(&id, "/rebook/x").filter(|reply| reply.status == 200)
    });
    assert!(served.is_some(), "the second endpoint serves nothing");
}

fn summary(reply: &Reply) -> (u16, bool, &str) {
    (reply.status, reply.sealed, &reply.body)
}

/// Guards against REFUSED and pauses out of nowhere: bytes like a refusal, ahead of the response.
#[test]
fn refusal_that_belongs_to_no_request_is_not_taken_for_the_answer() {
    let deployment = Deployment::start();
    for (number, refusal) in REFUSALS.iter().enumerate() {
        let (earlier, id) = (format!("e{number}-1"), format!("x{number}-1"));
        keep_connection(&deployment, &earlier);
        deployment.scripts.plan(&id, [Script::run(*refusal, Next::Run)]);
        let reply = deployment.book(&id).expect("a complete response");
        assert_eq!(summary(&reply), (200, true, "done"), "{refusal}");
        assert_eq!(deployment.run_count(&id), 1, "{refusal}");
    }
    deployment.check_run_counts();
}

/// Guards against REFUSED: an earlier refusal comes once more, with the id of the earlier request.
#[test]
fn refusal_of_an_earlier_request_is_not_taken_for_the_answer() {
    let deployment = Deployment::start();
    for (number, refusal) in REFUSALS.iter().enumerate() {
        let (earlier, id) = (format!("e{number}-1"), format!("x{number}-1"));
        keep_connection(&deployment, &earlier);
        let again = named(refusal, &earlier).repeat(3);
        deployment.scripts.plan(&id, [Script::run(again, Next::Run)]);
        let reply = deployment.book(&id).expect("a complete response");
        assert_eq!(summary(&reply), (200, true, "done"), "{refusal}");
        assert_eq!(deployment.run_count(&id), 1, "{refusal}");
    }
    deployment.check_run_counts();
}

/// Guards against TWICE: after bytes like a refusal the request was sent to another endpoint too.
#[test]
fn refusal_that_belongs_to_no_request_sends_it_to_no_other_endpoint() {
    let mut deployment = Deployment::start();
    start_second_endpoint(&mut deployment);
    for (number, refusal) in REFUSALS.iter().cycle().take(4 * REFUSALS.len()).enumerate() {
        for kept in 0..4 {
            keep_connection(&deployment, &format!("e{number}k{kept}-1"));
        }
        let id = format!("x{number}-1");
        deployment.scripts.plan(&id, [Script::run(*refusal, Next::Run)]);
        deployment.book_at(&id, "/rebook/x").expect("a complete response");
        assert_eq!(deployment.run_count(&id), 1, "{refusal}");
    }
    deployment.check_run_counts();
}

/// A true refusal that names no request is still passed on as a refusal, on a kept connection too.
#[test]
fn refusal_that_names_no_request_is_passed_on_as_a_refusal() {
    // Those without a statement that bars the endpoint.
    for refusal in [REFUSALS[0], REFUSALS[4], REFUSALS[6]] {
        let deployment = Deployment::start();
        keep_connection(&deployment, "e-1");
        deployment.scripts.plan("x-1", [Script::refuse(refusal, Next::Request)]);
        let reply = deployment.book("x-1").expect("a complete response");
        assert_eq!((reply.status, deployment.run_count("x-1")), (503, 0), "{refusal}");
        assert!(reply.retry_after.is_some(), "{refusal}");
    }
}

/// With attempts left, a request whose refusal names none is served by another endpoint.
#[test]
fn request_whose_refusal_names_none_is_served_by_another_endpoint() {
    let mut deployment = Deployment::start();
    start_second_endpoint(&mut deployment);
    for number in 0..4 {
        // Enough for a token of the retry budget.
        for kept in 0..12 {
            keep_connection(&deployment, &format!("f{number}k{kept}-1"));
        }
        let id = format!("y{number}-1");
        deployment.scripts.plan(&id, [Script::refuse(REFUSALS[0], Next::Request)]);
        let reply = deployment.book_at(&id, "/rebook/x").expect("a complete response");
        assert_eq!(summary(&reply), (200, true, "done"));
    }
    deployment.check_run_counts();
}

/// Guards against REFUSED: where no further exchange tells whose a refusal is, the request may have run;
/// the next one goes out on a new connection, on which a refusal is a refusal.
#[test]
fn refusal_whose_owner_cannot_be_told_promises_nothing() {
    for (number, next) in [Next::Close, Next::Reset].into_iter().enumerate() {
        let deployment = Deployment::start();
        keep_connection(&deployment, "e-1");
        let id = format!("x{number}-1");
        deployment.scripts.plan(&id, [Script::run(REFUSALS[0], next)]);
        let reply = deployment.book(&id).expect("a complete response");
        assert_eq!((reply.status, reply.retry_after), (502, None), "{next:?}");
        let id = format!("y{number}-1");
        deployment.scripts.plan(&id, [Script::refuse(REFUSALS[0], next)]);
        let reply = deployment.book(&id).expect("a complete response");
        assert_eq!((reply.status, deployment.run_count(&id)), (503, 0), "{next:?}");
    }
}

/// On a new connection a refusal that names no request can only be the answer.
#[test]
fn refusal_on_a_new_connection_is_the_answer() {
    let deployment = Deployment::start();
    keep_connection(&deployment, "e-1");
    deployment.scripts.plan("c-1", [Script::run("", Next::Close)]);
    assert_eq!(deployment.book("c-1").map(|reply| reply.status), Some(502));
    deployment.scripts.plan("x-1", [Script::refuse(REFUSALS[0], Next::Request)]);
    assert_eq!(deployment.book("x-1").map(|reply| reply.status), Some(503));
    assert_eq!(deployment.run_count("x-1"), 0);
}

/// The response to a further exchange must not be taken for that to a later request.
#[test]
fn response_after_bytes_that_belong_to_no_request_ends_the_use_of_the_connection() {
    let deployment = Deployment::start();
    for number in 0..30 {
        keep_connection(&deployment, &format!("e{number}-1"));
        let id = format!("x{number}-1");
        deployment.scripts.plan(&id, [Script::run(REFUSALS[0], Next::Run)]);
        assert_eq!(deployment.book(&id).map(|reply| reply.status), Some(200));
    }
    deployment.check_run_counts();
}
