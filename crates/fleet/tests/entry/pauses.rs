//! Pauses that endpoints ask for, and endpoints that leave, at one entry daemon.

use dotterelhoist_fleet::entry::pauses::{parse, Fault, Pause, Statement, PAUSE_MAX};

use super::*;

const DESK: &[(&str, &str, &str, u32)] = &[("p1", "desk", "a", 6)];
const DECLINED: End = End::Declined { status: 503 };

impl Harness {
    /// An endpoint turns away the request with this id, and asks for a pause.
    fn turn_away(&mut self, id: u64, pause_ms: u64) {
        let target = self.attempt(id).target;
        self.ask_for_pause(&target, pause_ms);
        self.apply(Event::AttemptEnded(id, DECLINED));
    }

    fn ask_for_pause(&mut self, endpoint: &str, pause_ms: u64) {
        let pause = Pause { length: Duration::from_millis(pause_ms), capped: false };
        let statement = Statement { turned_away: true, pause: Some(pause), leaves: false };
        self.apply(Event::HeadArrived(endpoint.into(), statement));
    }

    fn leave(&mut self, endpoint: &str) {
        let statement = Statement { leaves: true, ..Statement::default() };
        self.apply(Event::HeadArrived(endpoint.into(), statement));
    }

    /// An endpoint answers the request with this id.
    fn answer(&mut self, id: u64) {
        let target = self.attempt(id).target;
        self.apply(Event::HeadArrived(target, Statement::default()));
        self.apply(Event::AttemptEnded(id, End::Answered));
    }

    /// Sends new requests, of which each that is sent is answered at once, and returns how many were
    /// sent to an endpoint.
    fn count_sent(&mut self, ids: RangeInclusive<u64>, path: &str, endpoint: &str) -> usize {
        let mut count = 0;
        for id in ids {
            self.send(id, path);
            let Some(Decision::Send(attempt)) = self.last_decision(id) else { continue };
            count += usize::from(*attempt.target == *endpoint);
            self.answer(id);
        }
        count
    }

    /// Ids of the requests that are with an endpoint.
    fn sent(&self, ids: RangeInclusive<u64>) -> Vec<u64> {
        let is_sent = |id: &u64| matches!(self.last_decision(*id), Some(Decision::Send(_)));
        ids.filter(is_sent).collect()
    }
}

#[rstest]
#[case::plain(TWO_PLAIN, "/read/x", "p1")]
#[case::group(TWO_GROUPS, "/stream/x", "e1")]
fn endpoint_in_its_pause_gets_no_request(
    #[case] targets: &[(&str, &str, &str, u32)],
    #[case] path: &str,
    #[case] endpoint: &str,
) {
    let mut harness = Harness::open(targets);
    harness.ask_for_pause(endpoint, 3000);
    assert_eq!(harness.count_sent(1..=100, path, endpoint), 0);
    harness.ticks(2975);
    assert_eq!(harness.count_sent(101..=200, path, endpoint), 0);
}

#[test]
fn endpoint_gets_requests_again_after_its_pause() {
    let mut harness = Harness::open(TWO_PLAIN);
    harness.ask_for_pause("p1", 3000);
    harness.ticks(3000);
    assert!(harness.count_sent(1..=200, "/read/x", "p1") > 50);
}

#[test]
fn pause_is_not_shortened_by_a_later_one() {
    let mut harness = Harness::open(TWO_PLAIN);
    harness.ask_for_pause("p1", 3000);
    harness.ask_for_pause("p1", 100);
    harness.ticks(1000);
    assert_eq!(harness.count_sent(1..=100, "/read/x", "p1"), 0);
}

/// A view of a control daemon that has lost the endpoint for a moment must not end its pause.
#[test]
fn pause_outlives_views_without_the_endpoint() {
    let mut harness = Harness::open(TWO_PLAIN);
    harness.ask_for_pause("p1", 3000);
    harness.view(2, &TWO_PLAIN[1..]);
    harness.ticks(500);
    harness.view(3, TWO_PLAIN);
    assert_eq!(harness.count_sent(1..=100, "/read/x", "p1"), 0);
}

#[test]
fn pause_outlives_a_change_of_the_group() {
    let mut harness = Harness::open(TWO_GROUPS);
    harness.ask_for_pause("e1", 3000);
    harness.regroup(2, TWO_GROUPS);
    assert_eq!(harness.count_sent(1..=100, "/stream/x", "e1"), 0);
}

#[rstest]
#[case::incarnation(DESK, 2)]
#[case::identity(&[("p2", "desk", "a", 6)], 1)]
fn endpoint_that_started_at_the_address_of_a_pausing_one_gets_requests(
    #[case] targets: &[(&str, &str, &str, u32)],
    #[case] started_unix_ms: u64,
    #[values(true, false)] leaves: bool,
) {
    let mut harness = Harness::open(DESK);
    match leaves {
        true => harness.leave("p1"),
        false => harness.ask_for_pause("p1", 3000),
    }
    harness.send(1, "/read/x");
    assert!(harness.sent(1..=1).is_empty());
    harness.view_started(1, targets, started_unix_ms);
    assert_eq!(harness.count_sent(2..=11, "/read/x", targets[0].0), 10);
}

/// Some control daemons haven't heard of the leave, and list the endpoint for long.
#[test]
fn endpoint_that_leaves_gets_no_new_request() {
    let mut harness = Harness::open(TWO_PLAIN);
    harness.send(1, "/read/x");
    harness.leave("p1");
    assert_eq!(harness.count_sent(2..=100, "/read/x", "p1"), 0);
    harness.view(2, &TWO_PLAIN[1..]);
    harness.ticks(5000);
    harness.view(3, TWO_PLAIN);
    assert_eq!(harness.count_sent(101..=200, "/read/x", "p1"), 0);
    harness.ticks(60_000);
    assert_eq!(harness.count_sent(201..=300, "/read/x", "p1"), 0);
}

#[rstest]
#[case::pause(false)]
#[case::leave(true)]
fn stream_is_not_resumed_at_an_endpoint_that_is_barred(#[case] leaves: bool) {
    let targets = [("e1", "llm", "a", 4), ("e2", "llm", "a", 4), ("e3", "llm", "a", 4)];
    for seed in 0..20 {
        let mut harness = Harness::open_seeded(&targets, seed);
        harness.send(1, "/stream/x");
        let first = harness.attempt(1).target;
        let barred = targets.map(|target| target.0).into_iter().find(|id| **id != *first);
        let barred = barred.expect("there are others");
        match leaves {
            true => harness.leave(barred),
            false => harness.ask_for_pause(barred, 3000),
        }
        harness.apply(Event::AttemptEnded(1, LOST));
        assert_ne!(*harness.attempt(1).target, *barred);
    }
}

/// The only other endpoint pauses, or leaves: a request that was turned away is refused.
#[rstest]
#[case::pause(false)]
#[case::leave(true)]
fn request_turned_away_is_not_retried_at_an_endpoint_that_is_barred(#[case] leaves: bool) {
    let mut harness = Harness::open(TWO_PLAIN);
    harness.send(1, "/book/x");
    let other = if *harness.attempt(1).target == *"p1" { "p2" } else { "p1" };
    match leaves {
        true => harness.leave(other),
        false => harness.ask_for_pause(other, 3000),
    }
    harness.turn_away(1, 2000);
    assert_eq!(harness.refusal(1).reason.status(), 503);
}

#[test]
fn requests_are_refused_at_once_with_the_end_of_the_earliest_pause() {
    let mut harness = Harness::open(TWO_PLAIN);
    harness.ask_for_pause("p1", 3000);
    harness.ask_for_pause("p2", 2000);
    harness.send(1, "/read/x");
    assert_eq!(harness.refusal(1).reason.status(), 503);
    assert_eq!(harness.refusal(1).retry_after, Some(Duration::from_millis(2000)));
}

#[test]
fn request_turned_away_by_the_only_endpoint_is_refused_with_the_end_of_its_pause() {
    let mut harness = Harness::open(DESK);
    harness.send(1, "/read/x");
    harness.turn_away(1, 3000);
    assert_eq!(harness.refusal(1).reason.status(), 503);
    assert_eq!(harness.refusal(1).retry_after, Some(Duration::from_millis(3000)));
}

#[test]
fn requests_that_wait_are_refused_when_their_endpoints_pause() {
    let mut harness = Harness::open(DESK);
    for id in 1..=15 {
        harness.send(id, "/read/x");
    }
    assert!(harness.last_decision(15).is_none());
    harness.ask_for_pause("p1", 3000);
    assert_eq!(harness.refusal(15).retry_after, Some(Duration::from_millis(3000)));
}

#[test]
fn request_is_refused_at_once_when_all_endpoints_leave() {
    let mut harness = Harness::open(TWO_PLAIN);
    harness.leave("p1");
    harness.leave("p2");
    harness.send(1, "/read/x");
    assert_eq!(harness.refusal(1).reason, Reason::NoEndpoint);
}

#[test]
fn request_waits_for_a_pause_that_ends_in_time() {
    let mut harness = Harness::open(DESK);
    harness.ask_for_pause("p1", 500);
    harness.send(1, "/read/x");
    assert!(harness.last_decision(1).is_none());
    harness.ticks(475);
    assert!(harness.last_decision(1).is_none());
    harness.ticks(25);
    assert_eq!(*harness.attempt(1).target, *"p1");
}

/// An ejection of another endpoint ends before the pause.
#[test]
fn request_waits_for_an_ejection_that_ends_in_time() {
    let mut harness = Harness::open(TWO_PLAIN);
    harness.send(1, "/read/x");
    let first = harness.attempt(1).target;
    harness.apply(Event::AttemptEnded(1, End::Unreachable));
    let other = harness.attempt(1).target;
    harness.ask_for_pause(&other, 3000);
    harness.send(2, "/read/x");
    assert!(harness.last_decision(2).is_none());
    harness.ticks(600);
    assert_eq!(harness.attempt(2).target, first);
}

/// All requests at once would overload the endpoint again: one first, then more with each answer.
#[test]
fn endpoint_is_not_flooded_at_the_end_of_its_pause() {
    let mut harness = Harness::open(DESK);
    harness.ask_for_pause("p1", 500);
    for id in 1..=8 {
        harness.send(id, "/read/x");
    }
    harness.ticks(500);
    assert_eq!(harness.sent(1..=8).len(), 1);
    harness.answer(1);
    assert_eq!(harness.sent(2..=8).len(), 2);
    harness.answer(2);
    harness.answer(3);
    assert_eq!(harness.sent(4..=8).len(), 4);
}

#[test]
fn endpoint_that_does_not_answer_after_its_pause_is_tried_again() {
    let mut harness = Harness::open(DESK);
    harness.ask_for_pause("p1", 100);
    harness.ticks(100);
    harness.send(1, "/read/x");
    assert_eq!(harness.sent(1..=1), [1]);
    harness.send(2, "/read/x");
    assert!(harness.last_decision(2).is_none());
    harness.ticks(600);
    assert_eq!(harness.sent(2..=2), [2]);
}

/// A pause is this endpoint's answer to this daemon; nothing is asked of a 503 without one.
#[test]
fn endpoint_that_turns_away_without_a_pause_gets_requests() {
    let mut harness = Harness::open(TWO_PLAIN);
    harness.send(1, "/read/x");
    let first = harness.attempt(1).target;
    let statement = Statement { turned_away: true, ..Statement::default() };
    harness.apply(Event::HeadArrived(first.clone(), statement));
    harness.apply(Event::AttemptEnded(1, DECLINED));
    harness.answer(1);
    assert!(harness.count_sent(2..=100, "/read/x", &first) > 0);
}

#[test]
fn request_withheld_from_an_endpoint_that_is_barred_uses_up_no_attempt() {
    let mut harness = Harness::open(TWO_PLAIN);
    harness.apply(Event::Connected(UNSELECTED_CONTROL.into()));
    harness.send(1, "/book/x");
    let first = harness.attempt(1).target;
    harness.ask_for_pause(&first, 3000);
    assert!(harness.state.is_barred(&first, harness.now));
    harness.apply(Event::AttemptEnded(1, End::Withheld));
    assert_ne!(harness.attempt(1).target, first);
    assert_eq!(harness.attempt(1).number, 1);
    harness.unselected_reports.clear();
    harness.ticks(100);
    let reports = &harness.unselected_reports;
    assert!(!reports.is_empty() && reports.iter().all(|report| report.suspects.is_empty()));
}

#[rstest]
#[case::whole("3", Ok(3000))]
#[case::fraction("0.25", Ok(250))]
#[case::zero("0", Ok(0))]
#[case::empty("", Err(Fault::NotANumber))]
#[case::date("Fri, 22 May 2026 04:26:29 GMT", Err(Fault::NotANumber))]
#[case::nan("NaN", Err(Fault::NotANumber))]
#[case::infinite("inf", Err(Fault::NotFinite))]
#[case::huge("1e999", Err(Fault::NotFinite))]
#[case::negative("-1", Err(Fault::Negative))]
#[case::minus_infinite("-inf", Err(Fault::NotFinite))]
fn pause_value_is_read_or_ignored(#[case] value: &str, #[case] expected: Result<u64, Fault>) {
    let expected = expected.map(Duration::from_millis);
    assert_eq!(parse(value).map(|pause| pause.length), expected);
}

#[test]
fn pause_of_a_year_is_bounded() {
    assert_eq!(parse("31536000"), Ok(Pause { length: PAUSE_MAX, capped: true }));
}
