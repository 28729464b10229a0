//! Entry daemons that are cut off from all endpoints, while their callers and all other daemons reach them.

use std::time::Duration;

use dotterelhoist_core::clock::Instant;
use rstest::rstest;

use crate::network::{Network, Shape};
use crate::{LARGE, SECOND, SMALL};

/// Time after the start of a cut from which callers of these daemons must be served.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Time for which daemons are cut off.
const CUT_TIME: Duration = Duration::from_secs(12);
/// Part of the share served by other daemons that daemons must serve that are cut off.
const SHARE_MIN: f64 = 2.0 / 3.0;

/// Share of the requests served that arrived from `from` on, at daemons that are in `network.cut` or at
/// the others.
fn served_share(network: &Network, from: Instant, at_cut: bool) -> f64 {
    let counted = network.crashing.sound.iter().filter(|request| {
        request.arrived_at >= from && network.cut.contains(&request.daemon) == at_cut
    });
    let served: Vec<bool> = counted.map(|request| request.served).collect();
    served.iter().filter(|served| **served).count() as f64 / served.len() as f64
}

#[rstest]
#[case::one_of_small(SMALL, &[0])]
#[case::a_zone_of_small(SMALL, &[0, 3, 6])]
#[case::a_zone_of_large(LARGE, &[0, 3, 6, 9, 12, 15, 18, 21, 24, 27, 30, 33, 36, 39, 42, 45, 48, 51])]
fn callers_of_entry_daemons_that_reach_no_endpoint_are_served_like_others(
    #[case] shape: Shape,
    #[case] cut: &[usize],
    #[values(false, true)] hangs: bool,
) {
    let mut network = Network::open_serving(shape);
    network.cut_hangs = hangs;
    for index in cut {
        network.cut_entry(*index);
    }
    let from = network.now + CONTACT_TIME;
    network.run_until(CUT_TIME, |_| false);
    let there = served_share(&network, from, true);
    let elsewhere = served_share(&network, from, false);
    assert!(elsewhere > 0.98, "{elsewhere} served elsewhere");
    assert!(there >= elsewhere * SHARE_MIN, "{there} served, {elsewhere} elsewhere");
}

/// Requests take the direct way again soon after the cut.
#[rstest]
fn requests_are_no_longer_relayed_after_the_end_of_a_cut(#[values(false, true)] hangs: bool) {
    let mut network = Network::open_serving(SMALL);
    network.cut_hangs = hangs;
    network.cut_entry(0);
    network.run_until(CUT_TIME, |_| false);
    assert!(network.relay_count > 0);
    network.cut.clear();
    network.run_until(SECOND * 3, |_| false);
    let relayed = network.relay_count;
    network.run_until(SECOND * 3, |_| false);
    assert_eq!(network.relay_count, relayed);
}
