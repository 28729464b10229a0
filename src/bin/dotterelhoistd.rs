//! The daemon that runs on each entry VM.

use std::process::ExitCode;

/// First argument that lets the daemon take its settings from the users' platform.
const PLATFORM: &str = "platform";

fn main() -> ExitCode {
    if std::env::args_os().nth(1).is_some_and(|first| first == PLATFORM) {
        return dotterelhoist_platform::run();
    }
    dotterelhoist_daemon::run(std::env::args_os())
}
