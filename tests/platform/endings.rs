//! How responses end: whole, or inside an event.

use rstest::rstest;

use super::callers::{BodyEnd, Received};
use super::cuts::{Cut, Framing};
use super::deployment::Deployment;
use super::engine;

/// Text of the events with these numbers.
fn events(numbers: std::ops::RangeInclusive<u64>) -> String {
    numbers.map(engine::event).collect()
}

/// The first engine sends a part of an event and ends the body: another one must continue the stream.
#[rstest]
#[case::connection_in_a_line(Framing::Connection, 2, "id: 3\ndata: pi")]
#[case::connection_before_the_empty_line(Framing::Connection, 2, "id: 3\ndata: piece\n")]
#[case::connection_in_the_first_event(Framing::Connection, 0, "id: 1\nda")]
#[case::chunks(Framing::Chunks, 2, "id: 3\ndata: pi")]
#[case::length(Framing::Length, 2, "id: 3\ndata: pi")]
fn stream_that_its_engine_ends_inside_an_event_is_continued_by_another(
    #[case] framing: Framing,
    #[case] last_event: u64,
    #[case] rest: &'static str,
) {
    let deployment = Deployment::start();
    deployment.wait_for_two_groups();
    deployment.cuts.plan("s0", [Cut { framing, last_event, rest }]);
    let received = deployment.receive("s0").expect("a response");
    assert_eq!((received.status, received.body), (200, events(1..=5)));
    assert_ne!(received.end, BodyEnd::Cut);
    assert_eq!(deployment.run_count("s0"), 2);
}

/// All attempts that the route allows end inside an event: the caller must see that the stream is cut.
#[rstest]
#[case::connections(Framing::Connection, Framing::Connection)]
#[case::connection_after_chunks(Framing::Chunks, Framing::Connection)]
#[case::chunks_after_connection(Framing::Connection, Framing::Chunks)]
#[case::lengths(Framing::Length, Framing::Length)]
fn stream_that_all_engines_end_inside_an_event_does_not_look_complete(
    #[case] first: Framing,
    #[case] second: Framing,
) {
    let deployment = Deployment::start();
    deployment.wait_for_two_groups();
    let cuts = [(first, 2), (second, 3)];
    let cuts = cuts.map(|(framing, last_event)| Cut { framing, last_event, rest: "id: 9\nda" });
    deployment.cuts.plan("s0", cuts);
    let received = deployment.receive("s0").expect("a response");
    assert_eq!(received, Received { status: 200, body: events(1..=3), end: BodyEnd::Cut });
}

/// All engines end the stream inside its first event: there is no answer, so none may begin.
#[test]
fn stream_that_all_engines_end_inside_its_first_event_is_refused() {
    let deployment = Deployment::start();
    deployment.wait_for_two_groups();
    let cut = Cut { framing: Framing::Connection, last_event: 0, rest: "id: 1\nda" };
    deployment.cuts.plan("s0", [cut; 2]);
    let received = deployment.receive("s0").expect("a response");
    assert_eq!((received.status, received.end), (502, BodyEnd::Framed), "{}", received.body);
}

#[rstest]
#[case::connection(Framing::Connection)]
#[case::chunks(Framing::Chunks)]
#[case::length(Framing::Length)]
fn stream_that_ends_after_its_last_event_is_whole(#[case] framing: Framing) {
    let deployment = Deployment::start();
    deployment.cuts.plan("s0", [Cut { framing, last_event: 5, rest: "" }]);
    let received = deployment.receive("s0").expect("a response");
    assert_eq!((received.status, received.body), (200, events(1..=5)));
    assert_ne!(received.end, BodyEnd::Cut);
    assert_eq!(deployment.run_count("s0"), 1);
}

/// An endpoint of a route without streams ends a body of events inside one: it has broken off.
#[rstest]
#[case::connection(Framing::Connection, "id: 3\ndata: pi", 502)]
#[case::chunks(Framing::Chunks, "id: 3\ndata: piece\n", 502)]
#[case::length(Framing::Length, "id: 3\n", 502)]
#[case::whole(Framing::Connection, "", 200)]
fn booking_whose_body_ends_inside_an_event_is_refused(
    #[case] framing: Framing,
    #[case] rest: &'static str,
    #[case] status: u16,
) {
    let deployment = Deployment::start();
    deployment.cuts.plan("a1", [Cut { framing, last_event: 2, rest }]);
    let reply = deployment.book("a1").expect("a complete response");
    assert_eq!(reply.status, status, "{}", reply.body);
    deployment.check_run_counts();
}

/// The engine sends data without an id, which a resumed stream would repeat, before it breaks off.
#[test]
fn stream_is_cut_rather_than_resumed_after_data_without_an_id() {
    let deployment = Deployment::start();
    deployment.wait_for_two_groups();
    let rest = "data: x\n\nid: 3\nda";
    deployment.cuts.plan("s0", [Cut { framing: Framing::Chunks, last_event: 2, rest }]);
    let received = deployment.receive("s0").expect("a response");
    let body = events(1..=2) + "data: x\n\n";
    assert_eq!(received, Received { status: 200, body, end: BodyEnd::Cut });
    assert_eq!(deployment.run_count("s0"), 1);
}

/// The engine sends a comment before it breaks off: nothing would be repeated.
#[test]
fn stream_is_resumed_after_a_comment_without_an_id() {
    let deployment = Deployment::start();
    deployment.wait_for_two_groups();
    let rest = ": ping\n\nid: 3\nda";
    deployment.cuts.plan("s0", [Cut { framing: Framing::Chunks, last_event: 2, rest }]);
    let received = deployment.receive("s0").expect("a response");
    let body = events(1..=2) + ": ping\n\n" + &events(3..=5);
    assert_eq!(received, Received { status: 200, body, end: BodyEnd::Framed });
}

/// The first engine falls silent, and the second attempt beside it takes over and ends inside an
/// event: a third one must continue the stream.
#[test]
fn stream_whose_second_attempt_ends_inside_an_event_is_continued_by_a_third() {
    let deployment = Deployment::start();
    deployment.put(100);
    deployment.wait_for_groups(3);
    deployment.silence.abandon("s0");
    let cut = Cut { framing: Framing::Connection, last_event: 3, rest: "id: 4\nda" };
    deployment.cuts.plan_second("s0", cut);
    let received = deployment.receive("s0").expect("a response");
    assert_eq!(received, Received { status: 200, body: events(1..=5), end: BodyEnd::Framed });
    assert_eq!(deployment.run_count("s0"), 3);
}
