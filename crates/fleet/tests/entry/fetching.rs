//! Transfer of the document to an entry daemon.

use dotterelhoist_fleet::message::Fetch;

use super::*;

/// Statuses of both control daemons, with the versions of their documents.
fn state_versions(harness: &mut Harness, selected: u64, unselected: u64) {
    harness.status(selected, &[]);
    harness.status_from(UNSELECTED_CONTROL, unselected);
}

/// A daemon with document 1 that is connected to two control daemons.
fn connected() -> Harness {
    let mut harness = Harness::open(TWO_GROUPS);
    harness.apply(Event::Connected(UNSELECTED_CONTROL.into()));
    state_versions(&mut harness, 1, 1);
    harness.fetches.clear();
    harness
}

fn fetch(from: &str, version: u64) -> (Name, Fetch) {
    (from.into(), Fetch { version })
}

/// The status that names the document must not be needed twice: callers wait for a daemon that
/// starts.
#[test]
fn daemon_that_starts_is_ready_as_soon_as_the_document_arrives() {
    let mut harness = Harness::starting();
    harness.apply(Event::Connected(SELECTED_CONTROL.into()));
    harness.status(5, &[]);
    assert_eq!(harness.fetches, [fetch(SELECTED_CONTROL, 0)]);
    assert!(!harness.state.is_ready());
    harness.receive(document(4));
    assert!(!harness.state.is_ready());
    harness.receive(document(5));
    assert!(harness.state.is_ready());
}

#[test]
fn document_is_fetched_once_from_the_selected_control_daemon() {
    let mut harness = connected();
    state_versions(&mut harness, 2, 2);
    harness.ticks(400);
    state_versions(&mut harness, 3, 3);
    harness.ticks(400);
    assert_eq!(harness.fetches, [fetch(SELECTED_CONTROL, 1)]);
}

#[test]
fn document_that_was_superseded_during_its_transfer_is_followed_by_the_newest() {
    let mut harness = connected();
    state_versions(&mut harness, 2, 2);
    state_versions(&mut harness, 9, 9);
    harness.receive(document(2));
    assert_eq!(harness.fetches, [fetch(SELECTED_CONTROL, 1), fetch(SELECTED_CONTROL, 2)]);
    harness.receive(document(9));
    harness.ticks(2000);
    assert_eq!(harness.fetches.len(), 2);
}

#[test]
fn document_of_a_control_daemon_that_lags_is_fetched_from_another() {
    let mut harness = connected();
    state_versions(&mut harness, 1, 2);
    assert_eq!(harness.fetches, [fetch(UNSELECTED_CONTROL, 1)]);
}

#[rstest]
#[case::silent(false)]
#[case::disconnected(true)]
fn document_that_does_not_arrive_is_fetched_from_another(#[case] disconnected: bool) {
    let mut harness = connected();
    state_versions(&mut harness, 2, 2);
    if disconnected {
        harness.apply(Event::Disconnected(SELECTED_CONTROL.into()));
        harness.ticks(25);
    } else {
        harness.ticks(950);
        assert_eq!(harness.fetches.len(), 1, "another was asked too soon");
        harness.ticks(100);
    }
    assert_eq!(harness.fetches, [fetch(SELECTED_CONTROL, 1), fetch(UNSELECTED_CONTROL, 1)]);
}

/// A transfer that takes longer than the first timeouts must not be joined by ever more copies.
#[test]
fn document_on_a_slow_network_is_fetched_less_and_less_often() {
    let mut harness = connected();
    state_versions(&mut harness, 2, 2);
    harness.ticks(14_900);
    assert_eq!(harness.fetches.len(), 4, "{:?}", harness.fetches);
}

#[test]
fn document_that_is_the_difference_to_another_version_is_fetched_complete() {
    let mut harness = connected();
    state_versions(&mut harness, 9, 9);
    let base = Original { version: 4, body: "4".into() };
    let newest = Original { version: 9, body: "9".into() };
    harness.receive(Body::Document(Patch::between(&base, &newest).expect("it can be compressed")));
    assert_eq!(harness.state.document().map(|document| document.version), Some(1));
    harness.ticks(1050);
    assert_eq!(harness.fetches, [fetch(SELECTED_CONTROL, 1), fetch(UNSELECTED_CONTROL, 0)]);
}

/// The refusal of a request, none if it was sent.
fn refusal(harness: &mut Harness, id: u64, path: &str) -> Option<Refusal> {
    harness.send(id, path);
    match harness.last_decision(id) {
        Some(Decision::Refuse(refusal)) => Some(refusal.clone()),
        _ => None,
    }
}

/// A route or key that is missing in an older document may exist in the newer one.
#[test]
fn request_that_an_older_document_does_not_allow_may_be_repeated_soon() {
    let mut harness = connected();
    assert_eq!(refusal(&mut harness, 1, "/new/x").map(|it| it.reason), Some(Reason::NoRoute));
    state_versions(&mut harness, 2, 2);
    let refused = refusal(&mut harness, 2, "/new/x").expect("the route is unknown");
    assert_eq!(refused.reason, Reason::Outdated);
    assert!(refused.retry_after.is_some_and(|after| after <= Duration::from_millis(300)));
    assert_eq!(refusal(&mut harness, 3, "/read/x"), None);
    harness.receive(document(2));
    assert_eq!(refusal(&mut harness, 4, "/new/x").map(|it| it.reason), Some(Reason::NoRoute));
}

/// Versions that follow each other quickly must not prolong the use of an older one.
#[test]
fn request_is_refused_once_the_document_is_outdated() {
    let mut harness = connected();
    for version in 2..8 {
        state_versions(&mut harness, version, version);
        assert!(harness.state.is_ready());
        assert_eq!(refusal(&mut harness, version, "/read/x"), None, "version {version}");
        harness.ticks(275);
    }
    state_versions(&mut harness, 8, 8);
    let refused = refusal(&mut harness, 8, "/read/x").map(|it| it.reason);
    assert_eq!(refused, Some(Reason::Outdated));
    assert!(!harness.state.is_ready());
    harness.receive(document(8));
    assert!(harness.state.is_ready());
    assert_eq!(refusal(&mut harness, 9, "/read/x"), None);
}

/// A partitioned availability zone continues to serve with the document that it has.
#[test]
fn request_is_served_by_an_older_document_once_no_control_daemon_has_a_newer_one() {
    let mut harness = connected();
    state_versions(&mut harness, 1, 2);
    harness.ticks(2000);
    assert_eq!(refusal(&mut harness, 1, "/read/x").map(|it| it.reason), Some(Reason::Outdated));
    harness.apply(Event::Disconnected(UNSELECTED_CONTROL.into()));
    assert_eq!(refusal(&mut harness, 2, "/read/x"), None);
}
