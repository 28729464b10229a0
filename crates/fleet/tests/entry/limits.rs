//! Limits that endpoints state, at one entry daemon.

use dotterelhoist_fleet::message::{Limit, Loads, Slot};

use super::*;

const DESKS: &[(&str, &str, &str, u32)] = &[("d1", "desk", "a", 6)];

/// A daemon with one endpoint, which has stated a limit of 2 requests a second.
fn limited() -> Harness {
    let mut harness = Harness::open(DESKS);
    harness.apply(Event::Connected(UNSELECTED_CONTROL.into()));
    harness.apply(Event::LimitStated("d1".into(), Some(2.0)));
    harness.status(1, &[]);
    harness.ticks(100);
    harness
}

fn slot(harness: &mut Harness, assigned: bool, after_ms: u32) {
    harness.receive(Body::Slot(Slot { id: "d1".into(), assigned, after_ms }));
}

#[test]
fn request_to_a_limited_endpoint_waits_for_its_slot() {
    let mut harness = limited();
    harness.send(1, "/read/x");
    assert_eq!(harness.last_decision(1), None);
    slot(&mut harness, true, 100);
    assert_eq!(harness.last_decision(1), None);
    harness.ticks(100);
    assert!(matches!(harness.last_decision(1), Some(Decision::Send(_))));
}

#[test]
fn request_that_gets_no_slot_in_time_is_refused_at_once_with_the_time_of_the_next() {
    let mut harness = limited();
    harness.send(1, "/read/x");
    slot(&mut harness, false, 2500);
    let Some(Decision::Refuse(refusal)) = harness.last_decision(1) else {
        panic!("{:?}", harness.last_decision(1))
    };
    assert_eq!(refusal.reason, Reason::Limited);
    assert_eq!(refusal.retry_after, Some(Duration::from_millis(2500)));
}

#[test]
fn slot_that_is_not_used_in_time_is_lost() {
    let mut harness = limited();
    harness.send(1, "/read/x");
    slot(&mut harness, true, 0);
    harness.apply(Event::AttemptEnded(1, End::Answered));
    slot(&mut harness, true, 0);
    harness.ticks(600);
    harness.send(2, "/read/x");
    assert_eq!(harness.last_decision(2), None);
}

#[test]
fn limit_known_is_reported_to_a_control_daemon_that_connects() {
    let mut harness = limited();
    harness.unselected_reports.clear();
    harness.apply(Event::Connected(UNSELECTED_CONTROL.into()));
    harness.ticks(100);
    let limits: Vec<&Limit> =
        harness.unselected_reports.iter().flat_map(|report| &report.limits).collect();
    assert_eq!(limits.len(), 1);
    assert_eq!((&*limits[0].id, limits[0].per_second), ("d1", Some(2.0)));
    assert!(limits[0].age_ms >= 100, "{} ms", limits[0].age_ms);
}

/// Another daemon's newer observation replaces this one's; an older one does not.
#[rstest]
#[case::newer(50, Some(9.0))]
#[case::older(5000, Some(2.0))]
fn limit_observed_last_holds(#[case] age_ms: u32, #[case] expected: Option<f64>) {
    let mut harness = limited();
    let limits = vec![Limit { id: "d1".into(), per_second: Some(9.0), age_ms }];
    harness.receive(Body::Loads(Loads { limits, ..Loads::default() }));
    harness.unselected_reports.clear();
    harness.apply(Event::Connected(UNSELECTED_CONTROL.into()));
    harness.ticks(100);
    let limits = harness.unselected_reports.iter().flat_map(|report| &report.limits);
    let stated: Vec<Option<f64>> = limits.map(|limit| limit.per_second).collect();
    assert_eq!(stated, [expected]);
}

#[test]
fn limit_that_no_control_daemon_lists_is_forgotten() {
    let mut harness = limited();
    harness.ticks(2000);
    harness.receive(Body::Loads(Loads::default()));
    harness.send(1, "/read/x");
    assert!(matches!(harness.last_decision(1), Some(Decision::Send(_))));
}
