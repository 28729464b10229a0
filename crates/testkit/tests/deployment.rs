//! The files of a deployment.

use std::ffi::OsString;
use std::time::Duration;

use dotterelhoist_testkit::deployment::Deployment;

/// Time that a started program has for its end.
const END_TIMEOUT: Duration = Duration::from_secs(30);

/// A failed test prints the logs of its deployment; they hold what each process wrote to standard
/// error, below the name of the process, and nothing of its other files.
#[test]
fn logs_hold_lines_of_each_process() {
    let program = ["sh", "-c", "echo line of $1 >&2", "sh"].map(OsString::from).to_vec();
    let mut deployment = Deployment::plan(&["zone-a"], 2, 0, program);
    deployment.start_all();
    for name in ["zone-a-0", "zone-a-1"] {
        let status = deployment.process(name).wait(END_TIMEOUT);
        assert!(status.is_some_and(|status| status.success()), "{name} ended with {status:?}");
    }
    let lines: Vec<String> = deployment.logs().lines().map(str::to_owned).collect();
    assert_eq!(lines.len(), 4, "{lines:?}");
    for (index, name) in ["zone-a-0", "zone-a-1"].iter().enumerate() {
        assert_eq!(lines[2 * index], format!("--- log of {name}"));
        assert_eq!(lines[2 * index + 1], "line of --found");
    }
}
