//! The operators' command.

use std::process::ExitCode;

fn main() -> ExitCode {
    dotterelhoist_operator::run(std::env::args_os())
}
