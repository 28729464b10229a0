//! Daemons of two builds side by side, while machines are replaced in turn.
//!
//! In CI both are the build under test. By hand, the variable `DOTTERELHOIST_OTHER_BUILD` names the program
//! of the build before it.

use rstest::rstest;

use super::daemon::Build;
use super::deployment::{Deployment, CONTROL_DAEMONS};
use super::{serve_all, RECOVERY_TIMEOUT, REQUESTS};

/// Waits until all requests are served, and until a document with this version is in force after it was
/// put.
fn check_service(deployment: &Deployment, version: u64) {
    let served = deployment.poll(RECOVERY_TIMEOUT, |deployment| {
        let label = deployment.unique_label();
        (serve_all(deployment, &label) == REQUESTS).then_some(())
    });
    assert!(served.is_some(), "some requests are not served before version {version}");
    deployment.put(version);
    let read = deployment.poll(RECOVERY_TIMEOUT, Deployment::read_version);
    assert_eq!(read, Some(version));
    deployment.check_run_counts();
}

#[rstest]
#[case::control_daemons_first(Build::Other, Build::Present, false)]
#[case::entry_daemon_first(Build::Other, Build::Present, true)]
#[case::back_again(Build::Present, Build::Other, false)]
#[case::back_again_entry_daemon_first(Build::Present, Build::Other, true)]
fn daemons_that_are_replaced_by_another_build_keep_document_and_service(
    #[case] from: Build,
    #[case] to: Build,
    #[case] entry_first: bool,
) {
    let mut deployment = Deployment::start_build(from);
    let mut version = 100;
    check_service(&deployment, version);
    if entry_first {
        deployment.replace_entry(to);
    }
    for index in 0..CONTROL_DAEMONS {
        deployment.kill_control_daemon(index);
        deployment.start_control_daemon(to, index);
        version += 1;
        check_service(&deployment, version);
    }
    if !entry_first {
        deployment.replace_entry(to);
    }
    check_service(&deployment, version + 1);
}
