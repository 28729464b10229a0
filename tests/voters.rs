//! Daemons whose settings name other voters of the logs than at the first start.

use std::time::{Duration, Instant};

use dotterelhoist_testkit::deployment::Deployment;
use rstest::rstest;
use serde_json::json;
use smol::Timer;

const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];
/// Daemons with a disk in each zone: the first is a voter at the first start, the second later.
const DISK_DAEMONS: usize = 2;
const NEW_VOTERS: [&str; 3] = ["zone-a-1", "zone-b-1", "zone-c-1"];
/// Time within which a change must be accepted after a start.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(30);
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Changes an object through a daemon, and waits until all daemons have the new revision, which has to
/// be newer than `revision`. Returns it.
async fn change(deployment: &Deployment, daemon: &str, revision: u64) -> u64 {
    let operation = format!("after-{revision}");
    let body = json!({ "selector": format!("rack=r{revision}") });
    let started = Instant::now();
    let accepted = loop {
        let reply = deployment.apply(daemon, &operation, "drain", "d", None, body.clone()).await;
        if let Some(reply) = reply.ok().filter(|reply| reply.status == 200) {
            break reply.json()["revision"].as_u64().unwrap_or_default();
        }
        let logs = || deployment.logs();
        assert!(started.elapsed() < CHANGE_TIMEOUT, "no change is accepted\n{}", logs());
        Timer::after(RETRY_INTERVAL).await;
    };
    assert!(accepted > revision, "revision {accepted} after revision {revision}");
    for daemon in &deployment.daemons {
        let has_change = |status: &serde_json::Value| status["revision"] == accepted;
        deployment.wait_for(&daemon.name, "the change", has_change).await;
    }
    accepted
}

/// After a change of the voters in the settings no daemon knew the voters of the logs any more.
#[rstest]
#[case::all_exchanged(&NEW_VOTERS)]
#[case::two_exchanged(&["zone-a-0", "zone-b-1", "zone-c-1"])]
#[case::two_added(&["zone-a-0", "zone-b-0", "zone-c-0", "zone-a-1", "zone-b-1"])]
fn voters_changed_in_the_settings_keep_the_logs(#[case] voters: &[&str]) {
    smol::block_on(async {
        let program = vec![env!("CARGO_BIN_EXE_dotterelhoistd").into()];
        let mut deployment = Deployment::plan(&ZONES, DISK_DAEMONS, 0, program);
        deployment.start_all();
        deployment.wait_until_ready().await;
        let mut revision = change(&deployment, "zone-a-0", 0).await;
        let names: Vec<String> =
            deployment.daemons.iter().map(|daemon| daemon.name.clone()).collect();
        deployment.set_voters(voters);
        for _ in 0..2 {
            for name in &names {
                deployment.process(name).kill();
            }
            for name in &names {
                deployment.start(name, false);
            }
            revision = change(&deployment, "zone-b-1", revision).await;
        }
    });
}
