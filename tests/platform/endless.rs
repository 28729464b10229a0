//! Requests and responses that are sent without end.

use std::sync::atomic::Ordering;

use rstest::rstest;

use super::deployment::{Deployment, Kind, Receiver};
use super::floods::Flood;
use super::{RECOVERY_TIMEOUT, REQUESTS};

/// Beginning of a call whose body never ends.
const CHUNKED_CALL: &str =
    "POST /Instances.Heartbeat/x HTTP/1.1\r\nHost: h.example\r\nTransfer-Encoding: chunked\r\n\r\n";
/// Beginning of a booking whose trailer section never ends.
const CHUNKED_BOOKING: &str =
    "POST /book/x HTTP/1.1\r\nHost: h.example\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n";
/// Number of requests or responses without end that are sent at the same time.
const ENDLESS_MESSAGES: usize = 3;

/// Engines send responses without end: all other requests must be served meanwhile.
#[rstest]
#[case::event(Flood::Event)]
#[case::chunked_event(Flood::ChunkedEvent)]
#[case::known_events(Flood::KnownEvents)]
#[case::interim_responses(Flood::Interim)]
#[case::trailers(Flood::Trailers)]
#[case::chunk_extensions(Flood::ChunkExtensions)]
#[case::head(Flood::Head)]
#[case::declined(Flood::Declined)]
fn bookings_are_served_beside_responses_without_end(#[case] flood: Flood) {
    let deployment = Deployment::start();
    deployment.wait_for_two_groups();
    let ids: Vec<String> = (0..ENDLESS_MESSAGES).map(|number| format!("f{number}-0")).collect();
    let callers: Vec<_> =
        ids.iter().map(|id| deployment.request_in_background(id, Kind::Endless(flood))).collect();
    let all_run = deployment.poll(RECOVERY_TIMEOUT, |deployment| {
        ids.iter().all(|id| deployment.run_count(id) > 0).then_some(())
    });
    assert!(all_run.is_some(), "not all responses have begun in time");
    for number in 0..REQUESTS {
        let reply = deployment.book(&format!("b{number}-1"));
        assert_eq!(reply.map(|reply| reply.status), Some(200), "booking {number}");
    }
    for caller in callers {
        let exchange = caller.join().expect("the caller's thread does not panic");
        let status = exchange.reply.map(|reply| reply.status);
        assert_ne!(status, Some(200), "a response without end looks complete");
    }
    let tried_again = ids.iter().any(|id| deployment.run_count(id) > 1);
    assert!(tried_again, "the responses are given up at the deadline only");
    deployment.check_run_counts();
}

/// Responses without end at the same time, more than the endpoints take at once.
const MANY_ENDLESS_MESSAGES: usize = 80;
/// Memory of the smallest VM of an entry daemon, as the users' pages state it.
const ENTRY_VM_MEMORY_KB: u64 = 160 << 10;

/// Guards against LOST: bytes without end filled the memory of an entry daemon, and the requests of all callers ended with it.
#[rstest]
#[case::event(Flood::Event)]
#[case::chunked_event(Flood::ChunkedEvent)]
#[case::known_events(Flood::KnownEvents)]
#[case::head(Flood::Head)]
#[case::declined(Flood::Declined)]
fn many_responses_without_end_do_not_fill_the_memory(#[case] flood: Flood) {
    let mut deployment = Deployment::start();
    deployment.wait_for_two_groups();
    let callers: Vec<_> = (0..MANY_ENDLESS_MESSAGES)
        .map(|number| {
            deployment.request_in_background(&format!("f{number}-0"), Kind::Endless(flood))
        })
        .collect();
    for caller in callers {
        let exchange = caller.join().expect("the caller's thread does not panic");
        assert_ne!(exchange.reply.map(|reply| reply.status), Some(200));
    }
    assert_eq!(deployment.ended_daemons(), Vec::<String>::new());
    let peak_kb = deployment.entry_peak_memory_kb();
    assert!(peak_kb < ENTRY_VM_MEMORY_KB, "{peak_kb} KB");
}

/// Callers, endpoints or operators send requests without end: all others must be served meanwhile,
/// documents put, and the connections closed.
#[rstest]
#[case::head_to_entry(Receiver::Entry, "POST /book/x HTTP/1.1\r\nX: ", "x")]
#[case::trailers_to_entry(Receiver::Entry, CHUNKED_BOOKING, "X: y\r\n")]
#[case::chunks_to_entry(Receiver::Entry, CHUNKED_CALL, "1\r\nx\r\n")]
#[case::trailers_to_control(Receiver::Control, CHUNKED_BOOKING, "X: y\r\n")]
#[case::chunks_to_control(Receiver::Control, CHUNKED_CALL, "1\r\nx\r\n")]
fn bookings_are_served_beside_requests_without_end(
    #[case] receiver: Receiver,
    #[case] start: &str,
    #[case] part: &str,
) {
    let deployment = Deployment::start();
    let floods: Vec<_> =
        (0..ENDLESS_MESSAGES).map(|_| deployment.flood(receiver, start, part)).collect();
    for number in 0..REQUESTS {
        let reply = deployment.book(&format!("b{number}-1"));
        assert_eq!(reply.map(|reply| reply.status), Some(200), "booking {number}");
    }
    deployment.put(8);
    for flood in floods {
        flood.join().expect("the sender's thread does not panic");
    }
    assert_eq!(deployment.read_version(), Some(8));
}

/// Engines carry out orders and answer them without end: documents must be put and groups formed.
#[test]
fn documents_and_groups_come_beside_answers_to_orders_without_end() {
    let deployment = Deployment::start();
    deployment.endless_orders.store(true, Ordering::Relaxed);
    deployment.put(100);
    deployment.wait_for_groups(3);
    deployment.put(101);
    assert_eq!(deployment.read_version(), Some(101));
    assert_eq!(deployment.book("b0-1").map(|reply| reply.status), Some(200));
}
