//! Endpoints that leave while control daemons fail.

use rstest::rstest;

use super::daemon::Build;
use super::deployment::{Deployment, CONTROL_DAEMONS};
use super::RECOVERY_TIMEOUT;

/// Bookings that must all be refused.
const BOOKINGS: usize = 6;

fn served(deployment: &Deployment) -> usize {
    let book = |_: &usize| {
        let reply = deployment.book(&deployment.unique_label());
        reply.is_some_and(|reply| reply.status == 200)
    };
    (0..BOOKINGS).filter(book).count()
}

/// Guards against DRAIN: processes that were all killed forgot what they had acknowledged, and took the endpoint's next heartbeat.
#[rstest]
#[case::control_daemons(false)]
#[case::and_the_entry_daemon(true)]
fn departure_outlasts_all_processes(#[case] with_entry: bool) {
    let mut deployment = Deployment::start();
    assert_eq!(deployment.deregister("i-5"), Some(200));
    for index in 0..CONTROL_DAEMONS {
        deployment.kill_control_daemon(index);
    }
    if with_entry {
        deployment.replace_entry(Build::Present);
    }
    for index in 0..CONTROL_DAEMONS {
        deployment.start_control_daemon(Build::Present, index);
    }
    let read = deployment.poll(RECOVERY_TIMEOUT, Deployment::read_version);
    assert_eq!(read, Some(7));
    assert_eq!(served(&deployment), 0, "the endpoint that left still gets bookings");
    deployment.start_engine("i-next", "desk");
    let next = deployment.poll(RECOVERY_TIMEOUT, |deployment| {
        deployment.book(&deployment.unique_label()).filter(|reply| reply.status == 200)
    });
    assert!(next.is_some(), "another endpoint gets no bookings");
    deployment.stop_engine(6);
    let refused =
        deployment.poll(RECOVERY_TIMEOUT, |deployment| (served(deployment) == 0).then_some(()));
    assert!(refused.is_some(), "the endpoint that left gets bookings again");
}
