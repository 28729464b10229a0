//! An entry daemon that reaches no control daemon asks other entry daemons for some.

use dotterelhoist_fleet::entry::Event;
use dotterelhoist_fleet::message::{Body, Directory, Status};
use dotterelhoist_fleet::Name;
use rstest::rstest;

use crate::{Harness, SELECTED_CONTROL, TWO_PLAIN, UNSELECTED_CONTROL};

const NEIGHBORS: [&str; 2] = ["10.0.0.2", "10.0.0.3"];

fn directory(control_daemons: &[&str]) -> Directory {
    let control_daemons = control_daemons.iter().map(ToString::to_string).collect();
    Directory { control_daemons }
}

/// A ready daemon with neighbors.
fn harness() -> Harness {
    let mut harness = Harness::open(TWO_PLAIN);
    let neighbors = NEIGHBORS.iter().map(ToString::to_string).collect();
    let status = Status { neighbors, ..harness.status_of(1, &[]) };
    harness.receive(Body::Status(status));
    harness.dialed.clear();
    harness
}

/// Guards against CONFIG: an entry daemon whose control daemons were all replaced had no way to the present ones.
#[rstest]
#[case::connections_lost(true)]
#[case::connections_silent(false)]
fn neighbors_are_asked_in_turn_without_a_control_daemon(#[case] lost: bool) {
    let mut harness = harness();
    if lost {
        harness.apply(Event::Disconnected(SELECTED_CONTROL.into()));
    }
    harness.ticks(1000);
    assert_eq!(harness.asked, Vec::<Name>::new(), "too early");
    harness.ticks(6000);
    let first: Vec<&str> = harness.asked.iter().map(|name| &**name).take(3).collect();
    assert_eq!(first, ["10.0.0.2", "10.0.0.3", "10.0.0.2"]);
    let answer = Body::Directory(directory(&["10.4.0.1", "10.4.0.2"]));
    harness.apply(Event::Received("10.0.0.3".into(), answer));
    assert_eq!(harness.dialed, ["10.4.0.1".into(), "10.4.0.2".into()]);
    assert!(harness.state.is_ready(), "it goes on with what it has");
}

/// Guards against CONFIG: a control daemon that nothing connects to the others any more holds the daemons that know only it.
#[rstest]
#[case::up_to_date(true)]
#[case::not_up_to_date(false)]
fn neighbors_are_asked_unless_a_control_daemon_is_up_to_date(#[case] up_to_date: bool) {
    let mut harness = harness();
    for _ in 0..20 {
        let status = Status { up_to_date, ..harness.status_of(1, &[]) };
        harness.receive(Body::Status(status));
        harness.ticks(300);
    }
    assert_eq!(harness.asked.is_empty(), up_to_date, "{:?}", harness.asked);
}

#[rstest]
#[case::first_is_up_to_date(true, &[(UNSELECTED_CONTROL, SELECTED_CONTROL)])]
#[case::first_is_not(
    false,
    &[(UNSELECTED_CONTROL, SELECTED_CONTROL), (SELECTED_CONTROL, UNSELECTED_CONTROL)]
)]
fn control_daemons_are_introduced_to_each_other(
    #[case] up_to_date: bool,
    #[case] expected: &[(&str, &str)],
) {
    let mut harness = harness();
    let status = Status { up_to_date, ..harness.status_of(1, &[]) };
    harness.receive(Body::Status(status));
    harness.apply(Event::Connected(UNSELECTED_CONTROL.into()));
    let expected: Vec<(Name, Directory)> =
        expected.iter().map(|(to, named)| ((*to).into(), directory(&[named]))).collect();
    assert_eq!(harness.directories_sent, expected);
    assert_eq!(
        harness.state.directory(harness.now),
        directory(&[SELECTED_CONTROL, UNSELECTED_CONTROL])
    );
}
