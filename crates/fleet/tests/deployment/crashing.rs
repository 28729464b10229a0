//! Requests with one prompt segment that end the endpoints which run them.

use std::time::Duration;

use dotterelhoist_core::clock::Instant;
use dotterelhoist_fleet::entry::Reason;
use rstest::rstest;

use crate::network::{control_name, Network, Shape};
use crate::{LARGE, SECOND, SMALL};

/// Time after the fifth end from which hardly any request with the segment may reach an endpoint.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Requests with the segment that may reach endpoints later than that.
const LATE_ARRIVALS_MAX: usize = 3;
/// Number of ends after which [`CONTACT_TIME`] begins.
const ENDS: usize = 5;
/// One request in so many has the segment; no divisor of the number of entry daemons.
const CRASHING_EVERY: u64 = 5;
/// The same where endpoints end so rarely that most of them are always up.
const RARELY_CRASHING_EVERY: u64 = 22;

/// Requests with the segment that reached endpoints later than [`CONTACT_TIME`] after the fifth end and
/// after `stable_since`.
pub fn late_arrivals(network: &Network, stable_since: Instant) -> usize {
    let Some(fifth) = network.crashing.ends.get(ENDS - 1) else { return 0 };
    let from = (*fifth).max(stable_since) + CONTACT_TIME;
    network.crashing.arrivals.iter().filter(|at| **at > from).count()
}

/// Share of the other requests that were served, of those that arrived in the last `span`.
pub fn served_share(network: &Network, span: Duration) -> f64 {
    let recent = |arrived_at: Instant| network.now.since(arrived_at) <= span;
    let sound: Vec<bool> = network
        .crashing
        .sound
        .iter()
        .filter(|request| recent(request.arrived_at))
        .map(|request| request.served)
        .collect();
    sound.iter().filter(|served| **served).count() as f64 / sound.len() as f64
}

/// Number of requests that were refused because of what they have in common with others.
fn refused_as_crashing(network: &Network) -> usize {
    let refusals = network.refusals.iter();
    refusals.filter(|(_, refusal)| refusal.reason == Reason::Crashing).count()
}

#[rstest]
#[case::small(SMALL, CRASHING_EVERY)]
#[case::large(LARGE, CRASHING_EVERY)]
#[case::small_rarely(SMALL, RARELY_CRASHING_EVERY)]
#[case::large_rarely(LARGE, RARELY_CRASHING_EVERY)]
fn segment_that_ends_endpoints_is_refused_and_other_requests_are_served(
    #[case] shape: Shape,
    #[case] crashing_every: u64,
) {
    let mut network = Network::open_serving(shape);
    network.crashing.every = Some(crashing_every);
    let begun = network.now;
    network.run_until(SECOND * 20, |_| false);
    let late = late_arrivals(&network, begun);
    assert!(late <= LATE_ARRIVALS_MAX, "{late} late of {:?}", network.crashing.arrivals.len());
    let share = served_share(&network, SECOND * 10);
    assert!(share > 0.98, "{share} served");
}

/// The leader is suspended while endpoints end.
#[test]
fn segment_that_ends_endpoints_while_the_leader_is_lost_is_refused() {
    let mut network = Network::open_serving(SMALL);
    network.crashing.every = Some(CRASHING_EVERY);
    let ended = network.run_until(SECOND * 5, |network| network.crashing.ends.len() >= 2);
    assert!(ended, "no endpoint ended");
    let leader = network.leader().expect("there is a leader");
    network.down.insert(leader);
    let stable_since = network.now + SECOND * 3;
    network.run_until(SECOND * 16, |_| false);
    let late = late_arrivals(&network, stable_since);
    assert!(late <= LATE_ARRIVALS_MAX, "{late} late of {:?}", network.crashing.arrivals.len());
    assert!(served_share(&network, SECOND * 6) > 0.98);
}

/// Control and entry daemons are started anew after the segment was found.
#[test]
fn segment_that_ends_endpoints_is_refused_by_daemons_that_start_later() {
    let mut network = Network::open_serving(SMALL);
    network.crashing.every = Some(CRASHING_EVERY);
    network.run_until(SECOND * 10, |_| false);
    for index in 0..SMALL.control_daemons {
        network.restart_control(index, 1);
        network.run_until(SECOND * 2, |_| false);
    }
    let since = network.now;
    network.restart_entry(0);
    network.run_until(SECOND * 6, |_| false);
    let late = network.crashing.arrivals.iter().filter(|at| **at > since).count();
    assert_eq!(late, 0);
}

/// Endpoints end for reasons of their own, several at a time, whatever they run.
#[test]
fn segments_of_requests_are_not_to_blame_for_endpoints_that_end_together() {
    let mut network = Network::open_serving(SMALL);
    for round in 0..8 {
        for index in 0..3 {
            network.crash(&format!("e{}", (round * 3 + index) % network.endpoints.len()).into());
        }
        network.run_until(Duration::from_millis(900), |_| false);
    }
    network.run_until(SECOND * 4, |_| false);
    assert_eq!(refused_as_crashing(&network), 0);
    assert!(served_share(&network, SECOND * 2) > 0.98);
}

/// An entry daemon is cut off from all endpoints again and again: none of them has ended.
#[test]
fn entry_daemon_that_reaches_no_endpoint_makes_no_other_refuse_requests() {
    let mut network = Network::open_serving(SMALL);
    for _ in 0..6 {
        network.cut_entry(0);
        network.run_until(Duration::from_millis(700), |_| false);
        network.cut.clear();
        network.run_until(Duration::from_millis(700), |_| false);
    }
    assert_eq!(refused_as_crashing(&network), 0);
}

/// Control daemons are suspended one after the other, with the leader among them.
#[test]
fn segment_that_ends_endpoints_stays_refused_while_control_daemons_are_suspended_in_turn() {
    let mut network = Network::open_serving(SMALL);
    network.crashing.every = Some(CRASHING_EVERY);
    network.run_until(SECOND * 6, |_| false);
    let since = network.now;
    for index in 0..SMALL.control_daemons {
        network.down.insert(control_name(index));
        network.run_until(SECOND * 4, |_| false);
        network.down.clear();
        network.run_until(SECOND * 2, |_| false);
    }
    let late = network.crashing.arrivals.iter().filter(|at| **at > since).count();
    assert_eq!(late, 0);
}
