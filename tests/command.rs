//! Exit codes and output of the two programs, `dotterelhoistd` and `dotterelhoist`.

use std::path::Path;
use std::process::{Command, Output};

use dotterelhoist_testkit::scenario::{Scenario, Size};

/// Path of the daemon's program.
const DAEMON: &str = env!("CARGO_BIN_EXE_dotterelhoistd");
/// Path of the operators' command.
const COMMAND: &str = env!("CARGO_BIN_EXE_dotterelhoist");
/// One daemon with a serving group of one member.
const ONE_DAEMON: Size =
    Size { zones: 1, disk_daemons: 1, diskless_daemons: 0, group_members: 1, vms_per_zone: 1 };

fn run(program: &str, arguments: &[&str]) -> Output {
    Command::new(program).args(arguments).output().expect("the program can be started")
}

/// What a program wrote to standard error.
fn stderr(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

/// Writes a file and returns its path.
fn write(folder: &Path, name: &str, text: &str) -> String {
    let path = folder.join(name);
    std::fs::write(&path, text).expect("the folder is writable");
    path.to_string_lossy().into_owned()
}

#[test]
fn settings_invalid_are_all_reported_with_exit_code_2() {
    let folder = tempfile::tempdir().expect("a temporary folder can be created");
    let path = write(folder.path(), "wrong.json", "{\n  \"daemon\": 7,\n  \"zoo\": 1\n}");
    for (program, arguments) in [(COMMAND, vec!["check", &path]), (DAEMON, vec![path.as_str()])] {
        let output = run(program, &arguments);
        assert_eq!(output.status.code(), Some(2));
        let errors = stderr(&output);
        assert!(errors.contains(":2:13: daemon: must be a string"), "{errors}");
        assert!(errors.contains(":3:3: zoo: is not a setting"), "{errors}");
    }
}

#[test]
fn objects_invalid_are_all_reported_and_none_is_applied() {
    let folder = tempfile::tempdir().expect("a temporary folder can be created");
    let text = r#"[
        { "kind": "serving-group", "name": "g", "spec": { "model": "m", "members": 0, "replicas": 1 } },
        { "kind": "zoo", "name": "b a d" },
        { "kind": "service", "name": "s", "spec": { "groups": "a==", "colour": 1 } },
    ]"#;
    let path = write(folder.path(), "objects.json", text);
    let output = run(COMMAND, &["apply", &path, "--server", "127.0.0.1:9"]);
    assert_eq!(output.status.code(), Some(2));
    let errors = stderr(&output);
    for finding in [
        "object 1: spec: members: must be from 1 to 64",
        "object 2: kind: `zoo`",
        "object 2: name:",
        "object 3: spec:",
    ] {
        assert!(errors.contains(finding), "{errors}");
    }
}

#[test]
fn command_unreachable_daemon_gives_exit_code_3() {
    let output = run(COMMAND, &["status", "--server", "127.0.0.1:9"]);
    assert_eq!(output.status.code(), Some(3), "{}", stderr(&output));
}

#[test]
fn command_applies_shows_and_deletes_objects() {
    smol::block_on(async {
        let scenario =
            Scenario::spawn(Scenario::plan(DAEMON, ONE_DAEMON), ONE_DAEMON, |_| {}).await;
        let server = scenario.deployment.daemons[0].addresses.operators.to_string();
        let folder = tempfile::tempdir().expect("a temporary folder can be created");
        let text = r#"{ "kind": "service", "name": "extra", "expected": 0, "spec": { "groups": "app=x" } }"#;
        let path = write(folder.path(), "extra.json", text);
        let apply = ["apply", &path, "--wait", "--operation", "op-7", "--server", &server];
        let first = run(COMMAND, &apply);
        assert!(first.status.success(), "{}", stderr(&first));
        let resent = run(COMMAND, &apply);
        assert_eq!(
            resent.stdout, first.stdout,
            "a resent change must get the answer to the first one"
        );
        let other = run(COMMAND, &["apply", &path, "--server", &server]);
        assert_eq!(other.status.code(), Some(1));
        assert!(stderr(&other).contains("conflict: version 1 is in force"), "{}", stderr(&other));
        let shown = run(COMMAND, &["get", "service", "extra", "--server", &server]);
        assert!(String::from_utf8_lossy(&shown.stdout).contains("app=x"));
        let deleted = run(COMMAND, &["delete", "service", "extra", "--server", &server]);
        assert!(deleted.status.success(), "{}", stderr(&deleted));
        let status = run(COMMAND, &["status", "--server", &server]);
        let table = String::from_utf8_lossy(&status.stdout).into_owned();
        assert!(table.contains("ready") && table.contains("accepting"), "{table}");
        let unknown = run(COMMAND, &["explain", "zone-a-0.1.1", "--server", &server]);
        assert_eq!(unknown.status.code(), Some(1));
    });
}
