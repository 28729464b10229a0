//! Limits that endpoints state in their responses.

use std::time::Duration;

use dotterelhoist_core::clock::Instant;
use dotterelhoist_fleet::entry::Reason;
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
pub fn most_in_a_window(network: &Network, id: &str, named: Instant) -> usize {
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
pub fn allowed(limit: f64) -> usize {
    (WINDOW.as_secs_f64() * limit * 1.5 + 5.0) as usize
}

/// Makes endpoints state a limit from now on; returns the time.
fn name_limit(network: &mut Network, ids: &[&str], limit: f64) -> Instant {
    for id in ids {
        network.endpoints.get_mut(*id).expect("it was started").limit = Some(limit);
    }
    network.now
}

/// Number of requests that an endpoint has got since `since`.
fn arrivals_since(network: &Network, id: &str, since: Instant) -> usize {
    network.endpoints[id].arrivals.iter().filter(|(at, _)| *at >= since).count()
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
    let named = name_limit(&mut network, &["e1"], limit);
    network.run_until(SECOND * 30, |_| false);
    let most = most_in_a_window(&network, "e1", named);
    assert!(most <= allowed(limit), "{most} requests in 4 s, {} are allowed", allowed(limit));
    assert!(network.refusals.is_empty(), "{:?}", network.refusals);
}

/// Where no endpoint states a limit, slots cost nothing.
#[test]
fn limit_that_no_endpoint_states_costs_no_message() {
    let mut network = network(SMALL);
    network.send_requests(60, SECOND * 10);
    network.run_until(SECOND * 11, |_| false);
    assert_eq!((network.slot_requests, network.answered), (0, 600));
}

/// If all endpoints have limits, they are used, and a request that can't be served in time is
/// refused at once with the time until it could be.
#[test]
fn limits_of_all_endpoints_are_used_and_other_requests_refused_at_once() {
    let mut network = network(SMALL);
    network.send_requests(60, SECOND * 32);
    network.run_until(SECOND * 2, |_| false);
    let limit = 2.0;
    let named = name_limit(&mut network, &["e1", "e2", "e3"], limit);
    network.run_until(CONTACT_TIME, |_| false);
    let (since, first) = (network.now, network.refusals.len());
    network.run_until(SECOND * 25, |_| false);
    for id in ["e1", "e2", "e3"] {
        assert!(most_in_a_window(&network, id, named) <= allowed(limit), "{id}");
        let used = arrivals_since(&network, id, since) as f64 / (25.0 * limit);
        assert!(used > 0.8, "{id} is used to {used:.2}");
    }
    let refusals = &network.refusals[first..];
    let limited = refusals.iter().filter(|(_, refusal)| refusal.reason == Reason::Limited).count();
    assert!(limited * 10 > refusals.len() * 9, "{limited} of {}", refusals.len());
    let at_once = Duration::from_millis(100);
    let late = refusals.iter().filter(|(after, _)| *after > at_once).count();
    assert!(late * 10 < refusals.len(), "{late} of {} were refused late", refusals.len());
    assert!(refusals.iter().all(|(_, refusal)| refusal.retry_after.is_some()));
}

/// An endpoint that states no limit any more, or has started again, gets its part of the load.
#[rstest]
#[case::ended(false)]
#[case::started_again(true)]
fn limit_that_has_ended_is_lifted_everywhere(#[case] started_again: bool) {
    let mut network = network(LARGE);
    network.send_requests(90, SECOND * 40);
    network.run_until(SECOND * 2, |_| false);
    name_limit(&mut network, &["e1"], 1.2);
    network.run_until(SECOND * 10, |_| false);
    if started_again {
        network.start_endpoint("e1");
    }
    network.endpoints.get_mut("e1").expect("it was started").limit = None;
    network.run_until(SECOND * 5, |_| false);
    let since = network.now;
    network.run_until(SECOND * 5, |_| false);
    let arrivals = arrivals_since(&network, "e1", since);
    assert!(arrivals > 90, "{arrivals} of 450 requests");
}

/// A limit that is lowered or raised holds for all as soon as one has learned of it.
#[rstest]
#[case::lowered(6.0, 1.0)]
#[case::raised(1.0, 6.0)]
fn limit_that_changes_is_kept(#[case] before: f64, #[case] after: f64) {
    let mut network = network(SMALL);
    network.send_requests(60, SECOND * 40);
    network.run_until(SECOND * 2, |_| false);
    name_limit(&mut network, &["e1"], before);
    network.run_until(SECOND * 10, |_| false);
    let changed = name_limit(&mut network, &["e1"], after);
    network.run_until(SECOND * 15, |_| false);
    let most = most_in_a_window(&network, "e1", changed);
    assert!(most <= allowed(after), "{most} requests in 4 s, {} are allowed", allowed(after));
    assert!(most as f64 >= WINDOW.as_secs_f64() * after * 0.5, "only {most} requests in 4 s");
}

/// Another leader keeps to the limit, and without any leader the shares of the entry daemons do.
#[rstest]
#[case::another_leader(1)]
#[case::no_leader(2)]
fn limit_is_kept_when_the_leader_is_lost(#[case] lost: usize) {
    let limit = 2.0;
    let mut network = network(SMALL);
    network.send_requests(60, SECOND * 40);
    network.run_until(SECOND * 2, |_| false);
    let named = name_limit(&mut network, &["e1"], limit);
    network.run_until(SECOND * 5, |_| false);
    let leader = network.leader().expect("there is a leader");
    let others = network.control.keys().filter(|name| **name != leader).take(lost - 1);
    let down: Vec<_> = others.cloned().chain([leader.clone()]).collect();
    network.down.extend(down);
    network.run_until(SECOND * 5, |_| false);
    assert_eq!(network.leader().is_some(), lost == 1);
    let since = network.now;
    network.run_until(SECOND * 20, |_| false);
    let most = most_in_a_window(&network, "e1", named);
    assert!(most <= allowed(limit), "{most} requests in 4 s, {} are allowed", allowed(limit));
    let used = arrivals_since(&network, "e1", since) as f64 / (20.0 * limit);
    assert!(used > 0.5, "the limit is used to {used:.2}");
}
