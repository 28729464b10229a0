//! Requests of a daemon that reaches no endpoint, and those that others relay to it.

use std::time::Duration;

use dotterelhoist_fleet::entry::{Attempt, Decision, End, Event, Loss, Reason, Request};
use dotterelhoist_fleet::message::{Body, Status};
use rstest::rstest;

use super::{document, request, Harness, LOST, SELECTED_CONTROL, TWO_GROUPS, TWO_PLAIN};

const RELAYS: [&str; 2] = ["10.0.0.2", "10.0.0.3"];
const FOUR_PLAIN: &[(&str, &str, &str, u32)] = &[
    ("p1", "desk", "a", 6),
    ("p2", "desk", "a", 6),
    ("p3", "desk", "a", 6),
    ("p4", "desk", "a", 6),
];

/// A daemon to which a control daemon has named relays.
fn harness(targets: &[(&str, &str, &str, u32)]) -> Harness {
    let mut harness = Harness::open(targets);
    name_relays(&mut harness, &RELAYS);
    harness
}

fn name_relays(harness: &mut Harness, relays: &[&str]) {
    let relays = relays.iter().map(ToString::to_string).collect();
    let status = Status { relays, ..harness.status_of(1, &[]) };
    harness.apply(Event::Received(SELECTED_CONTROL.into(), Body::Status(status)));
}

/// Sends a request, and fails to connect to endpoints until it goes to a relay; returns that attempt.
fn send_until_relayed(harness: &mut Harness, id: u64, path: &str) -> Attempt {
    harness.send(id, path);
    for _ in 0..4 {
        let attempt = harness.attempt(id);
        if attempt.relay {
            return attempt;
        }
        harness.apply(Event::AttemptEnded(id, End::Unreachable));
    }
    panic!("the request was not relayed");
}

fn send_relayed(harness: &mut Harness, id: u64, path: &str) {
    let mut request = request(id, path, harness.now);
    request.relayed = true;
    harness.apply(Event::RequestArrived(Box::new(request)));
}

/// Guards against CONFIG: a relay handled requests by an older document than the daemon that had taken them.
#[rstest]
#[case::same(Some(1), None)]
#[case::older_build(None, None)]
#[case::sender_is_newer(Some(2), Some(Reason::Outdated))]
#[case::sender_is_older(Some(0), Some(Reason::Outdated))]
fn relayed_request_is_handled_by_the_document_of_its_sender_or_refused(
    #[case] resolved_by: Option<u64>,
    #[case] refused: Option<Reason>,
    #[values("/read/x", "/nowhere/x")] path: &str,
) {
    let mut harness = Harness::open(TWO_PLAIN);
    let request = Request { relayed: true, resolved_by, ..request(1, path, harness.now) };
    harness.apply(Event::RequestArrived(Box::new(request)));
    let reason = match harness.last_decision(1) {
        Some(Decision::Refuse(refusal)) => Some(refusal.reason),
        _ => None,
    };
    let by_route = (path == "/nowhere/x").then_some(Reason::NoRoute);
    assert_eq!(reason, refused.or(by_route));
}

/// A request waits in the queue while a newer document arrives: the older one still decides it.
#[test]
fn relayed_request_names_the_document_by_which_it_was_resolved() {
    let mut harness = harness(TWO_PLAIN);
    harness.send(1, "/read/x");
    harness.receive(document(2));
    for _ in 0..2 {
        harness.apply(Event::AttemptEnded(1, End::Unreachable));
    }
    let attempt = harness.attempt(1);
    assert_eq!((attempt.relay, attempt.resolved_by), (true, 1));
}

#[rstest]
#[case::stream("/stream/x", TWO_GROUPS)]
#[case::booking("/book/x", TWO_PLAIN)]
#[case::read("/read/x", FOUR_PLAIN)]
fn request_that_two_endpoints_don_t_take_is_relayed(
    #[case] path: &str,
    #[case] targets: &[(&str, &str, &str, u32)],
) {
    let mut harness = harness(targets);
    let attempt = send_until_relayed(&mut harness, 1, path);
    assert_eq!((attempt.number, attempt.workspace), (1, None));
    assert!(RELAYS.iter().any(|relay| *attempt.address == *format!("{relay}:7")));
    harness.apply(Event::AttemptEnded(1, End::Answered));
    assert_eq!(harness.state.running(), 0);
}

#[test]
fn request_is_relayed_at_once_while_the_daemon_is_cut_off() {
    let mut harness = harness(FOUR_PLAIN);
    send_until_relayed(&mut harness, 1, "/read/x");
    harness.ticks(400);
    harness.send(2, "/read/x");
    assert!(harness.attempt(2).relay);
}

/// After two seconds without a failure, requests find out whether endpoints can be reached again.
#[test]
fn request_is_sent_to_an_endpoint_again_after_a_time() {
    let mut harness = harness(FOUR_PLAIN);
    send_until_relayed(&mut harness, 1, "/read/x");
    harness.ticks(2100);
    harness.send(2, "/read/x");
    let attempt = harness.attempt(2);
    assert!(!attempt.relay);
    harness.state.record_connected(&attempt.target);
    for id in 3..=8 {
        harness.send(id, "/read/x");
        assert!(!harness.attempt(id).relay);
    }
}

/// The ejections double with each failure to connect; at the end of a cut they must not go on for seconds.
#[test]
fn endpoints_are_used_again_once_one_of_them_can_be_connected_to() {
    let mut harness = Harness::open(FOUR_PLAIN);
    for (id, pause_ms) in [(1, 800), (2, 1000), (3, 2000), (4, 800)] {
        harness.send(id, "/read/x");
        for _ in FOUR_PLAIN {
            assert!(!harness.attempt(id).relay);
            harness.apply(Event::AttemptEnded(id, End::Unreachable));
        }
        harness.ticks(pause_ms);
    }
    harness.send(5, "/read/x");
    assert_eq!(harness.last_decision(5), None);
    harness.state.record_connected(&"p1".into());
    harness.ticks(25);
    assert!(matches!(harness.last_decision(5), Some(Decision::Send(_))));
}

#[test]
fn request_is_not_relayed_if_one_endpoint_is_silent() {
    let mut harness = harness(TWO_GROUPS);
    harness.send(1, "/stream/x");
    let silent = harness.attempt(1).target;
    harness.ticks(1300);
    harness.send(2, "/stream/x");
    let attempt = harness.attempt(2);
    assert!(!attempt.relay && attempt.target != silent);
}

/// The control daemons list no endpoint: no other entry daemon reaches one either.
#[test]
fn request_is_not_relayed_if_all_endpoints_have_ended() {
    let mut harness = harness(TWO_PLAIN);
    send_until_relayed(&mut harness, 1, "/read/x");
    harness.view(2, &[]);
    harness.ticks(25);
    harness.send(2, "/read/x");
    assert!(!matches!(harness.last_decision(2), Some(Decision::Send(_))));
}

#[test]
fn request_is_refused_as_before_if_no_relay_is_named() {
    let mut harness = Harness::open(TWO_PLAIN);
    harness.send(1, "/read/x");
    harness.apply(Event::AttemptEnded(1, End::Unreachable));
    harness.apply(Event::AttemptEnded(1, End::Unreachable));
    harness.advance(1300);
    assert_eq!(harness.refusal(1).reason.status(), 429);
}

/// Relays that can't be reached are no attempts; one that refuses has not run the request.
#[test]
fn request_goes_to_another_relay_if_one_does_not_take_it() {
    let mut harness = harness(TWO_PLAIN);
    let first = send_until_relayed(&mut harness, 1, "/book/x").target;
    harness.apply(Event::AttemptEnded(1, End::Unreachable));
    let second = harness.attempt(1);
    assert!(second.relay && second.target != first);
    harness.apply(Event::AttemptEnded(1, End::Declined { status: 503 }));
    assert_eq!(harness.refusal(1).reason.status(), 503);
}

#[test]
fn booking_that_a_relay_has_lost_is_neither_repeated_nor_refused_as_not_run() {
    let mut harness = harness(TWO_PLAIN);
    send_until_relayed(&mut harness, 1, "/book/x");
    harness.apply(Event::AttemptEnded(1, LOST));
    assert_eq!(harness.refusal(1).reason, Reason::Lost);
}

/// Control daemons of older builds would count it as a crash of the request.
#[test]
fn loss_of_a_relay_is_no_crash_of_an_endpoint() {
    let mut harness = harness(TWO_PLAIN);
    send_until_relayed(&mut harness, 1, "/book/x");
    harness.apply(Event::AttemptEnded(1, LOST));
    harness.advance(500);
    assert!(harness.reported_crashes.is_empty());
}

#[test]
fn stream_that_a_relay_has_lost_is_continued_by_another() {
    let mut harness = harness(TWO_GROUPS);
    let first = send_until_relayed(&mut harness, 1, "/stream/x").target;
    harness.state.record_response_start(1, harness.now);
    harness.apply(Event::AttemptEnded(1, End::Lost(Loss::CutInBody)));
    let second = harness.attempt(1);
    assert!(second.relay && second.target != first);
    assert_eq!(second.number, 2);
}

#[test]
fn relayed_request_is_not_relayed_further() {
    let mut harness = harness(TWO_PLAIN);
    send_relayed(&mut harness, 1, "/read/x");
    harness.apply(Event::AttemptEnded(1, End::Unreachable));
    harness.apply(Event::AttemptEnded(1, End::Unreachable));
    harness.advance(1300);
    assert!(harness.decisions[&1].iter().all(|decision| match decision {
        Decision::Send(attempt) => !attempt.relay,
        _ => true,
    }));
    assert_eq!(harness.refusal(1).reason.status(), 429);
}

/// The daemon that relays it counts attempts and takes tokens.
#[rstest]
#[case::lost(LOST, 502)]
#[case::declined(End::Declined { status: 503 }, 503)]
fn relayed_request_gets_one_attempt(#[case] end: End, #[case] status: u16) {
    let mut harness = harness(FOUR_PLAIN);
    send_relayed(&mut harness, 1, "/read/x");
    harness.apply(Event::AttemptEnded(1, end));
    assert_eq!(harness.refusal(1).reason.status(), status);
}

/// Streams in flight at silent endpoints go on over a relay.
#[test]
fn stream_whose_endpoint_is_silent_gets_its_second_attempt_over_a_relay() {
    let mut harness = harness(TWO_GROUPS);
    for id in 1..=6 {
        harness.send(id, "/stream/x");
        harness.state.record_response_start(id, harness.now);
    }
    for target in TWO_GROUPS {
        harness.state.record_progress(&target.0.into(), harness.now);
    }
    let span = Duration::from_millis(2000);
    harness.ticks(span.as_millis() as u64);
    assert_eq!(harness.hedges.len(), 6);
    assert!(harness.hedges.iter().all(|(_, attempt)| attempt.relay), "{:?}", harness.hedges);
}
