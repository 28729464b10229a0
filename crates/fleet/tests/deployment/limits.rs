//! Limits that endpoints state in their responses.

use std::time::Duration;

use dotterelhoist_core::clock::Instant;
use rstest::rstest;

use crate::network::{document, Network, Shape};
use crate::{LARGE, SECOND, SMALL};

/// Time from the first response with a limit until the limit has to be kept.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Time from the first response with a limit that an entry daemon has received until its requests
/// count.
const TOLD_TIME: Duration = Duration::from_millis(500);
/// Length of the window in which an endpoint's requests are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// A deployment with three endpoints.
fn network(shape: Shape) -> Network {
    let mut network = Network::open(shape);
    network.run_until(SECOND * 3, |_| false);
    network.put(0, document(1, 0));
    for id in ["e1", "e2", "e3"] {
        network.start_endpoint(id);
    }
    assert!(network.run_until(SECOND * 5, |network| network.lagging(1) == 0));
    network.run_until(SECOND * 2, |_| false);
    network
}

/// The most requests that an endpoint got in any window that begins [`CONTACT_TIME`] after `named`
/// or later, from entry daemons that had been told for [`TOLD_TIME`].
fn most_in_a_window(network: &Network, id: &str, named: Instant) -> usize {
    let endpoint = &network.endpoints[id];
    let counted = endpoint.arrivals.iter().filter(|(at, daemon)| {
        let told = endpoint.told.get(daemon);
        *at >= named + CONTACT_TIME && told.is_some_and(|told| *at >= *told + TOLD_TIME)
    });
    let times: Vec<Instant> = counted.map(|(at, _)| *at).collect();
    let within = |first: &Instant| {
        times.iter().filter(|at| **at >= *first && at.since(*first) <= WINDOW).count()
    };
    times.iter().map(within).max().unwrap_or(0)
}

/// Requests that an endpoint may get in one window.
fn allowed(limit: f64) -> usize {
    (WINDOW.as_secs_f64() * limit * 1.5 + 5.0) as usize
}

/// The limit holds for the sum over all entry daemons, however many there are and however small the
/// share of each is.
#[rstest]
#[case::few_daemons(SMALL, 1.2)]
#[case::few_daemons_higher(SMALL, 3.0)]
#[case::many_daemons(LARGE, 1.2)]
#[case::many_daemons_lower(LARGE, 0.3)]
fn limit_of_an_endpoint_is_kept_by_all_entry_daemons_together(
    #[case] shape: Shape,
    #[case] limit: f64,
) {
    let mut network = network(shape);
    network.send_requests(60, SECOND * 30);
    network.run_until(SECOND * 2, |_| false);
    let named = network.now;
    network.endpoints.get_mut("e1").expect("it was started").limit = Some(limit);
    network.run_until(SECOND * 30, |_| false);
    let most = most_in_a_window(&network, "e1", named);
    assert!(most <= allowed(limit), "{most} requests in 4 s, {} are allowed", allowed(limit));
    assert!(network.refusals.is_empty(), "{:?}", network.refusals);
}
