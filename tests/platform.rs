//! The whole path on the users' platform, over real processes and a stand-in of the platform.

use std::time::Duration;

use self::deployment::{Deployment, Reply};

#[path = "platform/deployment.rs"]
mod deployment;
#[path = "platform/engine.rs"]
mod engine;

const REQUESTS: usize = 40;
const PATIENCE: Duration = Duration::from_secs(30);

/// Sends one request of each kind in turn and checks the answers that count as successes.
fn serve_all(deployment: &Deployment, label: &str) -> usize {
    let mut served = 0;
    for number in 0..REQUESTS {
        let id = format!("{label}{number}");
        let reply = match number % 2 {
            0 => deployment.stream(&id, None),
            _ => deployment.book(&id),
        };
        let Some(Reply { status: 200, id: echoed, signed, body }) = reply else { continue };
        assert_eq!(echoed.as_deref(), Some(id.as_str()), "the answer of another request");
        assert!(signed, "a success without the signature of an endpoint");
        if number % 2 == 0 {
            assert_eq!(deployment::events(&body), [1, 2, 3, 4, 5], "{body}");
        }
        served += 1;
    }
    served
}

#[test]
fn calm_day_is_served_whole() {
    let deployment = Deployment::start();
    assert_eq!(serve_all(&deployment, "a"), REQUESTS);
    assert_eq!(deployment.stream("b1", Some("nobody")).map(|reply| reply.status), Some(401));
    assert_eq!(deployment.get("/nowhere/x").map(|reply| reply.status), Some(404));
    deployment.check_runs();
}

#[test]
fn killed_leader_and_lost_member_cost_no_promise() {
    let mut deployment = Deployment::start();
    serve_all(&deployment, "a");
    deployment.put(8);
    deployment.kill_control(0);
    deployment.stop_engine(0);
    let served = deployment.until(PATIENCE, |deployment| {
        let label = deployment.label();
        (serve_all(deployment, &label) == REQUESTS).then_some(())
    });
    assert!(served.is_some(), "it does not serve again");
    let read = deployment.until(PATIENCE, Deployment::read_version);
    assert_eq!(read, Some(8), "an acknowledged document is gone");
    deployment.check_runs();
}

#[test]
fn stopped_entry_daemon_cuts_no_answer() {
    let mut deployment = Deployment::start();
    let running = deployment.stream_in_background("slow");
    deployment.terminate_entry();
    let reply = running.join().expect("the caller does not panic");
    let reply = reply.expect("the answer was cut");
    assert_eq!((reply.status, deployment::events(&reply.body).len()), (200, 5));
    assert!(deployment.entry_ends(), "it does not end");
}
