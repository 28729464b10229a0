//! The daemon that runs on each entry VM.

use std::process::ExitCode;

fn main() -> ExitCode {
    dotterelhoist_daemon::run(std::env::args_os())
}
