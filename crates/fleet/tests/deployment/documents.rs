//! Distribution of documents on links of limited bandwidth.

use std::time::Duration;

use rstest::rstest;

use crate::network::{document, Network};
use crate::{LARGE, SECOND};

/// Time after its acknowledgement within which a document must be in force everywhere.
const APPLY_TIMEOUT: Duration = Duration::from_millis(2500);
/// Time within which a valid document must be acknowledged.
const ACCEPT_TIMEOUT: Duration = Duration::from_secs(5);

/// A deployment in which a document with this many routes is in force.
fn network_with(routes: usize) -> Network {
    let mut network = Network::open(LARGE);
    network.run_until(SECOND * 3, |_| false);
    let ticket = network.put(0, document(1, routes));
    let in_force =
        |network: &Network| network.accepted_at(ticket).is_some() && network.lagging(1) == 0;
    assert!(
        network.run_until(SECOND * 20, in_force),
        "{} lag behind the first",
        network.lagging(1)
    );
    network.run_until(SECOND * 3, |_| false);
    network
}

/// What is sent for one change of one large document, to the voters of the log and to all entry
/// daemons together, must be less than the document.
#[test]
fn document_with_one_change_costs_less_than_its_length_on_all_links_together() {
    let mut network = network_with(4200);
    let before = network.sent_bytes;
    network.run_until(SECOND, |_| false);
    let idle_bytes = network.sent_bytes - before;
    let body = document(2, 4200);
    let length = body.len();
    let before = network.sent_bytes;
    let ticket = network.put(4, body);
    network.run_until(SECOND, |_| false);
    assert!(network.accepted_at(ticket).is_some(), "not acknowledged within 1 s");
    let bytes = (network.sent_bytes - before).saturating_sub(idle_bytes);
    println!("{bytes} bytes for a document of {length}");
    assert!(bytes < length, "{bytes} bytes for a document of {length}");
}

/// Messages of the log and loads of endpoints must not wait behind a document for a noticeable part
/// of the leader's lease (560 ms).
#[test]
fn messages_do_not_wait_long_behind_a_document_that_grew() {
    let mut network = network_with(2800);
    network.longest_transfers.clear();
    for (control, version) in [(1, 2), (4, 3)] {
        let ticket = network.put(control, document(version, 4200));
        let accepted = |network: &Network| network.accepted_at(ticket).is_some();
        assert!(network.run_until(ACCEPT_TIMEOUT, accepted), "version {version}");
    }
    network.run_until(SECOND * 3, |_| false);
    println!("{:?}", network.longest_transfers);
    for kind in ["replication", "status", "loads", "heartbeats"] {
        let longest = network.longest_transfers.get(kind).copied().unwrap_or_default();
        assert!(longest < Duration::from_millis(100), "{kind}: {longest:?}");
    }
}

/// A document that has grown must be in force everywhere in time, and so must the one that follows
/// as soon as it is acknowledged.
#[rstest]
#[case::first(1400)]
#[case::later(4200)]
fn document_that_grew_is_in_force_everywhere_within_the_apply_timeout(#[case] routes: usize) {
    let mut network = network_with(routes - 1400);
    let mut late = Vec::new();
    for (control, version) in [(1, 2), (4, 3)] {
        let ticket = network.put(control, document(version, routes));
        let accepted = |network: &Network| network.accepted_at(ticket).is_some();
        if !network.run_until(ACCEPT_TIMEOUT, accepted) {
            late.push(format!("version {version} was not acknowledged in time"));
            continue;
        }
        let acknowledged = network.now;
        network.run_until(APPLY_TIMEOUT, |network| network.lagging(version) == 0);
        if network.lagging(version) > 0 {
            late.push(format!("version {version} is not in force on {}", network.lagging(version)));
        }
        let took = network.now.since(acknowledged).as_millis();
        println!("version {version}: in force {took} ms later, {} bytes", network.sent_bytes);
    }
    assert!(late.is_empty(), "{late:?}");
}
