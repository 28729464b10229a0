//! The daemon that runs on each entry VM.

use std::process::ExitCode;

/// If this is the first argument, the daemon uses the settings file and the protocol of the users'
/// platform.
const PLATFORM_ARGUMENT: &str = "platform";

fn main() -> ExitCode {
    if std::env::args_os().nth(1).is_some_and(|first| first == PLATFORM_ARGUMENT) {
        return dotterelhoist_platform::run();
    }
    dotterelhoist_daemon::run(std::env::args_os())
}
