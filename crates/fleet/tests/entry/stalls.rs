//! Endpoints that fall silent with requests in flight.

use std::time::Duration;

use dotterelhoist_fleet::entry::{Decision, End, Event, Reason};
use rstest::rstest;

use super::{Harness, LOST, TWO_GROUPS};

/// Sends as many streams as one endpoint has slots to each of two endpoints, lets all responses
/// begin, and returns the ids of those at `e1`.
fn fill_both(harness: &mut Harness) -> Vec<u64> {
    for id in 1..=8 {
        harness.send(id, "/stream/x");
        begin(harness, id);
    }
    (1..=8).filter(|id| *harness.attempt(*id).target == *"e1").collect()
}

/// Lets the response to a request begin.
fn begin(harness: &mut Harness, id: u64) {
    harness.state.record_progress(&harness.attempt(id).target, harness.now);
    harness.state.record_response_start(id, harness.now);
}

/// Advances the clock while only `senders` send parts of responses.
fn advance_with_progress(harness: &mut Harness, millis: u64, senders: &[&str]) {
    for _ in 0..millis / 100 {
        harness.advance(100);
        for sender in senders {
            harness.state.record_progress(&(*sender).into(), harness.now);
        }
    }
}

fn is_refused(harness: &Harness, id: u64) -> bool {
    matches!(harness.last_decision(id), Some(Decision::Refuse(_)))
}

/// A daemon with one stream, whose endpoint is silent until it has a second attempt.
fn hedged_stream(begun: bool) -> Harness {
    let mut harness = Harness::open(TWO_GROUPS);
    harness.send(1, "/stream/x");
    if begun {
        begin(&mut harness, 1);
    }
    harness.advance(1300);
    harness
}

#[test]
fn stream_of_an_endpoint_that_pauses_is_not_cut_while_no_other_has_a_slot() {
    let mut harness = Harness::open(TWO_GROUPS);
    let ids = fill_both(&mut harness);
    advance_with_progress(&mut harness, 1000, &["e2"]);
    advance_with_progress(&mut harness, 600, &["e1", "e2"]);
    let cut = ids.iter().filter(|id| is_refused(&harness, **id)).count();
    assert_eq!(cut, 0, "of {} streams", ids.len());
}

#[test]
fn stream_of_an_endpoint_that_pauses_is_not_cut_when_its_second_attempt_is_declined() {
    let mut harness = hedged_stream(true);
    harness.apply(Event::HedgeEnded(1, End::Declined { status: 503 }));
    assert!(!is_refused(&harness, 1), "{:?}", harness.last_decision(1));
    harness.apply(Event::AttemptEnded(1, End::Answered));
    assert_eq!(harness.state.running(), 0);
}

#[rstest]
#[case::before_its_first_part(false)]
#[case::after_its_first_part(true)]
fn request_at_an_endpoint_without_progress_gets_a_second_attempt(#[case] begun: bool) {
    let harness = hedged_stream(begun);
    let [(id, second)] = &harness.hedges[..] else { panic!("{:?}", harness.hedges) };
    assert_eq!((*id, second.number), (1, 2));
    assert_ne!(second.target, harness.attempt(1).target);
    assert_eq!(harness.decisions[&1].len(), 1, "the first attempt goes on");
}

#[test]
fn stream_of_an_endpoint_that_pauses_for_a_second_gets_no_second_attempt() {
    let mut harness = Harness::open(TWO_GROUPS);
    harness.send(1, "/stream/x");
    begin(&mut harness, 1);
    harness.advance(1000);
    assert!(harness.hedges.is_empty(), "{:?}", harness.hedges);
}

#[test]
fn second_attempt_that_takes_over_frees_the_slot_of_the_first() {
    let mut harness = Harness::open(&[("e1", "llm", "a", 1), ("e2", "llm", "a", 1)]);
    harness.send(1, "/stream/x");
    begin(&mut harness, 1);
    harness.advance(1300);
    harness.apply(Event::HedgeAdopted(1));
    let first = harness.attempt(1).target;
    harness.state.record_progress(&first, harness.now);
    harness.send(2, "/stream/x");
    assert_eq!(harness.attempt(2).target, first);
}

#[test]
fn second_attempt_goes_on_when_the_first_breaks_off() {
    let mut harness = hedged_stream(true);
    harness.apply(Event::AttemptEnded(1, LOST));
    assert_eq!(harness.decisions[&1].len(), 1, "no further decision");
    harness.apply(Event::AttemptEnded(1, End::Declined { status: 503 }));
    assert_eq!(harness.refusal(1).reason, Reason::Lost);
}

#[test]
fn second_attempts_stay_within_the_budget() {
    let ids: Vec<String> = (0..60).map(|at| format!("e{at}")).collect();
    let targets: Vec<(&str, &str, &str, u32)> =
        ids.iter().map(|id| (id.as_str(), "llm", "a", 4)).collect();
    let mut harness = Harness::open(&targets);
    for id in 1..=60 {
        harness.send(id, "/stream/x");
    }
    harness.advance(1300);
    // Half of the slack of 40, and a tenth of a token for each of 60 requests.
    assert!(!harness.hedges.is_empty());
    assert!(harness.hedges.len() <= 20 + 6, "{}", harness.hedges.len());
}

#[test]
fn endpoint_does_not_count_as_stalled_while_the_caller_reads_slowly() {
    let mut harness = Harness::open(TWO_GROUPS);
    harness.send(1, "/stream/x");
    begin(&mut harness, 1);
    harness.state.record_write(1, true, harness.now);
    harness.advance(2000);
    harness.state.record_write(1, false, harness.now);
    harness.advance(300);
    assert!(harness.hedges.is_empty(), "{:?}", harness.hedges);
}

#[test]
fn endpoint_that_goes_on_after_a_pause_is_sent_requests_again() {
    let mut harness = Harness::open(&[("e1", "llm", "a", 4)]);
    harness.send(1, "/stream/x");
    begin(&mut harness, 1);
    harness.advance(900);
    harness.send(2, "/stream/x");
    assert!(harness.last_decision(2).is_none(), "nothing new is sent to a silent endpoint");
    harness.state.record_progress(&"e1".into(), harness.now);
    harness.advance(25);
    assert_eq!(harness.attempt(2).target, "e1".into());
}

#[test]
fn request_whose_time_is_over_ends_both_attempts() {
    let mut harness = hedged_stream(false);
    harness.apply(Event::AttemptEnded(1, End::TimedOut { begun: false }));
    assert_eq!(harness.refusal(1).reason, Reason::TimedOut);
    harness.now = harness.now + Duration::from_secs(1);
    assert_eq!(harness.state.running(), 0);
}

#[rstest]
#[case::it_is_back_within_a_second(true, &[])]
#[case::it_stays_away(false, &[1])]
fn silence_of_an_endpoint_that_leaves_the_view_is_a_crash_only_if_it_stays_away(
    #[case] returns: bool,
    #[case] expected: &[u64],
) {
    let mut harness = hedged_stream(true);
    let first = harness.attempt(1).target;
    harness.apply(Event::HedgeAdopted(1));
    let rest: Vec<_> = TWO_GROUPS.iter().filter(|target| *target.0 != *first).copied().collect();
    harness.view(2, &rest);
    harness.advance(1000);
    if returns {
        harness.view(3, TWO_GROUPS);
    }
    harness.advance(2000);
    assert_eq!(harness.reported_crashes, expected);
}

/// A zone may fail as a whole; the second attempt must not go to an endpoint that is as silent.
#[test]
fn second_attempt_is_not_started_at_an_endpoint_that_is_silent_as_well() {
    for seed in 1..=20 {
        let targets = [
            ("e1", "llm", "a", 4),
            ("e2", "llm", "a", 4),
            ("e3", "llm", "a", 4),
            ("e4", "llm", "a", 4),
        ];
        let mut harness = Harness::open_seeded(&targets, seed);
        for id in 1..=8 {
            harness.send(id, "/stream/x");
            begin(&mut harness, id);
        }
        advance_with_progress(&mut harness, 1400, &["e3", "e4"]);
        let silent = |target: &str| target == "e1" || target == "e2";
        let wasted: Vec<_> =
            harness.hedges.iter().filter(|(_, attempt)| silent(&attempt.target)).collect();
        assert!(wasted.is_empty(), "seed {seed}: {wasted:?}");
    }
}

#[test]
fn stream_whose_second_attempt_was_dropped_is_not_sent_more_often_than_its_route_allows() {
    let mut harness = hedged_stream(true);
    harness.apply(Event::HedgeEnded(1, End::Dropped));
    harness.advance(3000);
    assert_eq!(harness.hedges.len(), 1);
    harness.apply(Event::AttemptEnded(1, LOST));
    assert_eq!(harness.refusal(1).reason, Reason::Lost);
    assert_eq!(harness.state.running(), 0);
}

/// An attempt that could not connect uses up no attempt, and its request gets a second one again.
#[test]
fn second_attempt_that_could_not_connect_is_replaced() {
    let targets = [("e1", "llm", "a", 4), ("e2", "llm", "a", 4), ("e3", "llm", "a", 4)];
    let mut harness = Harness::open(&targets);
    harness.send(1, "/stream/x");
    begin(&mut harness, 1);
    harness.advance(1300);
    harness.apply(Event::HedgeEnded(1, End::Unreachable));
    harness.advance(25);
    let numbers: Vec<u32> = harness.hedges.iter().map(|(_, attempt)| attempt.number).collect();
    assert_eq!(numbers, [2, 2]);
    assert_ne!(harness.hedges[0].1.target, harness.hedges[1].1.target);
    harness.apply(Event::HedgeAdopted(1));
    harness.apply(Event::AttemptEnded(1, End::Answered));
    assert_eq!(harness.state.running(), 0);
}

/// A caller that leaves frees the slots of both attempts.
#[test]
fn caller_that_leaves_ends_both_attempts() {
    let mut harness = Harness::open(&[("e1", "llm", "a", 1), ("e2", "llm", "a", 1)]);
    harness.send(1, "/stream/x");
    begin(&mut harness, 1);
    harness.advance(1300);
    assert_eq!(harness.hedges.len(), 1);
    harness.apply(Event::CallerGone(1));
    harness.advance(1025);
    harness.send(2, "/stream/x");
    harness.send(3, "/stream/x");
    assert_ne!(harness.attempt(2).target, harness.attempt(3).target);
}

#[test]
fn second_attempt_of_a_new_request_is_not_started_at_an_endpoint_that_is_silent_as_well() {
    for seed in 1..=20 {
        let targets = [("e1", "llm", "a", 8), ("e2", "llm", "a", 8), ("e3", "llm", "a", 8)];
        let mut harness = Harness::open_seeded(&targets, seed);
        for id in 1..=9 {
            harness.send(id, "/stream/x");
        }
        advance_with_progress(&mut harness, 1400, &["e3"]);
        let silent = |target: &str| target == "e1" || target == "e2";
        let wasted: Vec<_> =
            harness.hedges.iter().filter(|(_, attempt)| silent(&attempt.target)).collect();
        assert!(wasted.is_empty(), "seed {seed}: {wasted:?}");
    }
}

#[test]
fn request_whose_second_attempt_took_over_has_not_crashed_an_endpoint_that_goes_on() {
    let mut harness = hedged_stream(true);
    let first = harness.attempt(1).target;
    harness.apply(Event::HedgeAdopted(1));
    let rest: Vec<_> = TWO_GROUPS.iter().filter(|target| *target.0 != *first).copied().collect();
    harness.view(2, &rest);
    harness.advance(300);
    harness.view(3, TWO_GROUPS);
    harness.state.record_progress(&first, harness.now);
    harness.advance(5000);
    assert!(harness.reported_crashes.is_empty(), "the endpoint only paused");
}

#[test]
fn endpoint_whose_requests_were_taken_over_is_sent_requests_again_soon() {
    let mut harness = Harness::open(&[("e1", "llm", "a", 4), ("e2", "llm", "a", 8)]);
    let mut id = 0;
    let at_e1 = |harness: &Harness, last: u64| {
        (1..=last).filter(|id| *harness.attempt(*id).target == *"e1").count()
    };
    while at_e1(&harness, id) < 4 {
        id += 1;
        harness.send(id, "/stream/x");
        begin(&mut harness, id);
    }
    for other in 1..=id {
        if *harness.attempt(other).target == *"e2" {
            harness.apply(Event::AttemptEnded(other, End::Answered));
        }
    }
    harness.advance(1300);
    for (hedged, _) in harness.hedges.clone() {
        harness.apply(Event::HedgeAdopted(hedged));
    }
    assert_eq!(harness.hedges.len(), 4);
    let taken_over = harness.now;
    let mut next = 100;
    loop {
        harness.advance(100);
        harness.state.record_progress(&"e2".into(), harness.now);
        harness.send(next, "/stream/x");
        if *harness.attempt(next).target == *"e1" {
            break;
        }
        harness.apply(Event::AttemptEnded(next, End::Answered));
        next += 1;
        assert!(next < 400);
    }
    let after = harness.now.since(taken_over);
    assert!(after <= Duration::from_secs(3), "{after:?}");
}

/// A request that may run only once must not run at a second endpoint, however long the first is
/// silent; it is not ended for that silence either.
#[rstest]
#[case::not_resumable("/once/x", false)]
#[case::not_resumable_begun("/once/x", true)]
#[case::not_idempotent("/order/x", false)]
fn request_that_may_run_once_gets_no_second_attempt(#[case] path: &str, #[case] begun: bool) {
    let mut harness = Harness::open(TWO_GROUPS);
    harness.send(1, path);
    if begun {
        begin(&mut harness, 1);
    }
    harness.advance(5000);
    assert!(harness.hedges.is_empty(), "{:?}", harness.hedges);
    assert_eq!(harness.decisions[&1].len(), 1, "the attempt goes on");
    harness.apply(Event::AttemptEnded(1, LOST));
    assert_eq!(harness.refusal(1).reason, Reason::Lost);
}

/// A request that waits for its first part when its only endpoint with room is silent goes on there.
#[test]
fn request_without_another_endpoint_goes_on_at_a_silent_one() {
    let mut harness = Harness::open(&[("e1", "llm", "a", 4)]);
    for id in 1..=4 {
        harness.send(id, "/stream/x");
    }
    harness.advance(5000);
    assert!(harness.hedges.is_empty());
    assert!((1..=4).all(|id| harness.decisions[&id].len() == 1), "{:?}", harness.decisions);
}

#[test]
fn stream_that_breaks_off_waits_for_an_endpoint_that_only_pauses() {
    let mut harness = Harness::open(TWO_GROUPS);
    for id in 1..=2 {
        harness.send(id, "/stream/x");
        begin(&mut harness, id);
    }
    let (first, other) = (harness.attempt(1).target, harness.attempt(2).target);
    assert_ne!(first, other);
    advance_with_progress(&mut harness, 600, &[&*first]);
    harness.apply(Event::AttemptEnded(1, LOST));
    assert!(!is_refused(&harness, 1), "{:?}", harness.last_decision(1));
    harness.advance(300);
    harness.state.record_progress(&other, harness.now);
    harness.advance(25);
    assert_eq!(harness.attempt(1).target, other);
}
