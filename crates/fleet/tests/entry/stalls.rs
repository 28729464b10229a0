//! Endpoints that fall silent with requests in flight.

use dotterelhoist_fleet::entry::{Decision, End, Event};

use super::{Harness, TWO_GROUPS};

/// Sends as many streams as one endpoint has slots to each of two endpoints, lets the responses of
/// those at `e1` begin, and returns their ids.
fn fill_both(harness: &mut Harness) -> Vec<u64> {
    for id in 1..=8 {
        harness.send(id, "/stream/x");
    }
    let ids: Vec<u64> = (1..=8).filter(|id| *harness.attempt(*id).target == *"e1").collect();
    for id in 1..=8 {
        harness.state.record_progress(&harness.attempt(id).target, harness.now);
        harness.state.record_response_start(id);
    }
    ids
}

/// Advances the clock while only `senders` send parts of responses; ends what is abandoned.
fn advance_with_progress(harness: &mut Harness, millis: u64, senders: &[&str]) {
    for _ in 0..millis / 100 {
        harness.advance(100);
        for sender in senders {
            harness.state.record_progress(&(*sender).into(), harness.now);
        }
        end_abandoned(harness);
    }
}

/// Ends the attempts that are abandoned, as the shell does.
fn end_abandoned(harness: &mut Harness) {
    for id in std::mem::take(&mut harness.abandoned) {
        harness.apply(Event::AttemptEnded(id, End::Lost { open: true, broken: false }));
    }
}

fn is_refused(harness: &Harness, id: u64) -> bool {
    matches!(harness.last_decision(id), Some(Decision::Refuse(_)))
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
    let mut harness = Harness::open(TWO_GROUPS);
    harness.send(1, "/stream/x");
    let target = harness.attempt(1).target;
    harness.state.record_progress(&target, harness.now);
    harness.state.record_response_start(1);
    for _ in 0..13 {
        harness.advance(100);
        end_abandoned(&mut harness);
        if harness.attempt(1).number == 2 {
            harness.apply(Event::AttemptEnded(1, End::Declined { status: 503 }));
            break;
        }
    }
    assert!(!is_refused(&harness, 1), "{:?}", harness.last_decision(1));
}
