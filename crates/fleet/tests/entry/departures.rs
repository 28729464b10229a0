//! Endpoints that leave, as told by one control daemon while another one lists them.

use dotterelhoist_fleet::entry::Event;
use dotterelhoist_fleet::message::{Body, Departure, Departures};
use rstest::rstest;

use crate::{view, Harness, SELECTED_CONTROL, TWO_PLAIN, UNSELECTED_CONTROL};

fn told(id: &str, started_unix_ms: u64, age_ms: u32) -> Body {
    let departure = Departure { id: id.to_owned(), started_unix_ms, age_ms };
    Body::Departures(Departures { departures: vec![departure] })
}

/// Endpoints that get a number of bookings.
fn used(harness: &mut Harness, first_id: u64) -> Vec<String> {
    let mut used: Vec<String> = Vec::new();
    for id in first_id..first_id + 8 {
        harness.send(id, "/read/x");
        used.push(harness.attempt(id).target.to_string());
    }
    used.sort();
    used.dedup();
    used
}

/// Guards against DRAIN: an entry daemon followed the view of a control daemon that had missed a departure.
#[rstest]
fn endpoint_that_leaves_gets_no_requests_whoever_lists_it(
    #[values(SELECTED_CONTROL, UNSELECTED_CONTROL)] told_by: &str,
    #[values(true, false)] listed_again: bool,
    #[values(0, 1)] started_unix_ms: u64,
) {
    let mut harness = Harness::open(TWO_PLAIN);
    harness.apply(Event::Connected(UNSELECTED_CONTROL.into()));
    harness.apply(Event::Received(told_by.into(), told("p1", started_unix_ms, 0)));
    if listed_again {
        harness.view(2, TWO_PLAIN);
    }
    assert_eq!(used(&mut harness, 1), ["p2"]);
}

/// Guards against DRAIN: the next control daemon that is selected may list what the one before had removed.
#[rstest]
fn endpoint_that_leaves_gets_no_requests_from_the_view_of_the_next_source() {
    let mut harness = Harness::open(TWO_PLAIN);
    harness.receive(told("p1", 1, 0));
    harness.apply(Event::Connected(UNSELECTED_CONTROL.into()));
    harness.apply(Event::Disconnected(SELECTED_CONTROL.into()));
    harness.status_from(UNSELECTED_CONTROL, 1);
    harness.apply(Event::Received(UNSELECTED_CONTROL.into(), Body::View(view(9, TWO_PLAIN, 1))));
    assert_eq!(used(&mut harness, 1), ["p2"]);
}

#[rstest]
#[case::later_incarnation(2, 0, &["p1", "p2"])]
#[case::same_incarnation(1, 0, &["p2"])]
#[case::long_ago(1, 60_000, &["p1", "p2"])]
fn departure_holds_its_incarnation_only(
    #[case] started_unix_ms: u64,
    #[case] age_ms: u32,
    #[case] expected: &[&str],
) {
    let mut harness = Harness::open(TWO_PLAIN);
    harness.receive(told("p1", 1, age_ms));
    harness.apply(Event::Tick);
    harness.view_started(2, TWO_PLAIN, started_unix_ms);
    assert_eq!(used(&mut harness, 1), expected);
}

/// Guards against DRAIN: control daemons that were all killed knew no departure any more.
#[rstest]
fn departures_are_told_to_a_control_daemon_that_connects() {
    let mut harness = Harness::open(TWO_PLAIN);
    harness.receive(told("p1", 1, 200));
    harness.departures_sent.clear();
    harness.apply(Event::Connected(UNSELECTED_CONTROL.into()));
    let expected = (UNSELECTED_CONTROL.into(), told("p1", 1, 200));
    assert_eq!(harness.departures_sent, [expected]);
}
