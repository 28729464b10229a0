//! Reports of lost responses, and requests that are refused because others crash endpoints.

use std::time::Duration;

use dotterelhoist_fleet::entry::{Decision, End, Event, Reason};
use dotterelhoist_fleet::message::{Bar, Body, Report, Status};
use rstest::rstest;

use super::{request, Harness, LOST, SELECTED_CONTROL, TWO_GROUPS, UNSELECTED_CONTROL};

const SEGMENT: u64 = 0x5e6;

/// A daemon that is connected to a second control daemon.
fn harness() -> Harness {
    let mut harness = Harness::open(TWO_GROUPS);
    harness.apply(Event::Connected(UNSELECTED_CONTROL.into()));
    harness
}

fn send_with_segment(harness: &mut Harness, id: u64) {
    let mut request = request(id, "/stream/x", harness.now);
    request.segments = [SEGMENT].into_iter().collect();
    harness.apply(Event::RequestArrived(Box::new(request)));
}

/// The status of a control daemon that bars [`SEGMENT`] or suspects it.
fn state(harness: &mut Harness, from: &str, barred: bool, suspected: bool) {
    let bar = Bar { feature: SEGMENT, left_ms: 60_000 };
    let status = Status {
        bars: if barred { vec![bar] } else { Vec::new() },
        suspected: if suspected { vec![SEGMENT] } else { Vec::new() },
        takes_losses: true,
        ..harness.status_of(1, &[])
    };
    harness.apply(Event::Received(from.into(), Body::Status(status)));
}

fn features_lost(reports: &[Report]) -> Vec<u64> {
    let losses = reports.iter().flat_map(|report| &report.losses);
    losses.flat_map(|loss| loss.features.clone()).collect()
}

#[test]
fn request_with_a_barred_segment_is_refused_without_a_retry_time() {
    let mut harness = harness();
    state(&mut harness, SELECTED_CONTROL, true, false);
    send_with_segment(&mut harness, 1);
    let refusal = harness.refusal(1);
    assert_eq!((refusal.reason, refusal.retry_after), (Reason::Crashing, None));
    harness.send(2, "/stream/x");
    assert_eq!(harness.attempt(2).number, 1);
}

#[test]
fn request_that_waits_is_refused_once_its_segment_is_barred() {
    let mut harness = harness();
    for id in 1..=8 {
        harness.send(id, "/stream/x");
    }
    send_with_segment(&mut harness, 9);
    assert_eq!(harness.last_decision(9), None);
    state(&mut harness, SELECTED_CONTROL, true, false);
    let refusal = harness.refusal(9);
    assert_eq!((refusal.reason, refusal.retry_after), (Reason::Crashing, None));
}

#[test]
fn request_whose_segment_is_barred_is_not_retried() {
    let mut harness = harness();
    send_with_segment(&mut harness, 1);
    state(&mut harness, SELECTED_CONTROL, true, false);
    harness.apply(Event::AttemptEnded(1, LOST));
    assert_eq!(harness.refusal(1).reason, Reason::Lost);
}

#[test]
fn bar_is_told_to_control_daemons_that_lack_it() {
    let mut harness = harness();
    state(&mut harness, UNSELECTED_CONTROL, false, false);
    state(&mut harness, SELECTED_CONTROL, true, false);
    harness.unselected_reports.clear();
    harness.advance(200);
    let told = harness.unselected_reports.iter().any(|report| report.bars[0].feature == SEGMENT);
    assert!(told, "{:?}", harness.unselected_reports);
}

#[rstest]
#[case::endpoint_is_silent_afterwards(0, vec![1, SEGMENT])]
#[case::other_responses_go_on(75, vec![])]
fn loss_is_reported_unless_the_endpoint_goes_on(
    #[case] progress_after_ms: u64,
    #[case] reported: Vec<u64>,
) {
    let mut harness = harness();
    send_with_segment(&mut harness, 1);
    let target = harness.attempt(1).target;
    harness.apply(Event::AttemptEnded(1, LOST));
    harness.ticks(progress_after_ms);
    if progress_after_ms > 0 {
        harness.state.record_progress(&target, harness.now);
    }
    harness.advance(300);
    assert_eq!(features_lost(&harness.unselected_reports), reported);
}

#[rstest]
#[case::its_answer_is_complete(0, End::Answered, true)]
#[case::its_answer_breaks_off_late(600, LOST, true)]
#[case::its_answer_breaks_off_at_once(100, LOST, false)]
fn answer_that_survived_is_reported_to_control_daemons_that_suspect_its_segment(
    #[case] after_ms: u64,
    #[case] end: End,
    #[case] expected: bool,
) {
    let mut harness = harness();
    send_with_segment(&mut harness, 1);
    harness.state.record_response_start(1, harness.now);
    harness.now = harness.now + Duration::from_millis(after_ms);
    harness.apply(Event::AttemptEnded(1, end));
    state(&mut harness, UNSELECTED_CONTROL, false, true);
    harness.advance(100);
    let reports = harness.unselected_reports.iter();
    let survived = reports.flat_map(|report| &report.survivals).any(|it| it.feature == SEGMENT);
    assert_eq!(survived, expected);
    let is_reported = |report: &Report| !report.service_survivals.is_empty();
    assert_eq!(harness.unselected_reports.iter().any(is_reported), expected);
}

/// A control daemon of an older build counts the crashes that entry daemons report.
#[test]
fn request_that_an_older_control_daemon_lists_as_crashing_is_refused() {
    let mut harness = harness();
    harness.status(1, &[SEGMENT]);
    send_with_segment(&mut harness, 1);
    assert!(matches!(harness.last_decision(1), Some(Decision::Refuse(_))));
}
