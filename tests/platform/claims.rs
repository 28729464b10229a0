//! Heartbeats of another writer with the addresses of endpoints that serve.

use super::deployment::Deployment;
use super::{serve_all, REQUESTS};

/// Guards against TWO and lost requests: a heartbeat at the address of an endpoint ended it for the control daemons.
#[test]
fn claims_of_another_writer_cost_no_request() {
    let deployment = Deployment::start();
    deployment.wait_for_two_groups();
    for sequence in 1..4 {
        for index in 0..6 {
            deployment.claim_address(&format!("i-{index}"), sequence);
        }
        let label = deployment.unique_label();
        assert_eq!(serve_all(&deployment, &label), REQUESTS);
    }
    deployment.check_run_counts();
}
