//! The operators' command as a library.
//!
//! Operators describe the objects that they want in files of JSON with comments, and select VMs,
//! serving groups and services by their labels. Each change carries an operation id, which makes it
//! idempotent: after a lost answer the command can send it again, also to another daemon.

use std::ffi::OsString;
use std::io::Write;
use std::process::ExitCode;

mod client;
mod command;
mod manifest;
mod table;

/// Exit code after a change that was refused, or an answer that reports a failure.
const EXIT_REFUSED: u8 = 1;
/// Exit code after invalid arguments or an invalid file.
const EXIT_USAGE: u8 = 2;
/// Exit code after a call that no daemon could carry out.
const EXIT_UNREACHABLE: u8 = 3;

/// Why a command failed; decides the exit code.
#[derive(Debug)]
pub(crate) enum Failure {
    /// The daemon refused, or answered with a failure; the lines say why.
    Refused(Vec<String>),
    /// The arguments or a file are not valid; each line is one finding.
    Usage(Vec<String>),
    /// No daemon could be reached, or all answered 503; the text says what failed last.
    Unreachable(String),
}

impl Failure {
    fn exit_code(&self) -> u8 {
        match self {
            Failure::Refused(_) => EXIT_REFUSED,
            Failure::Usage(_) => EXIT_USAGE,
            Failure::Unreachable(_) => EXIT_UNREACHABLE,
        }
    }

    fn lines(self) -> Vec<String> {
        match self {
            Failure::Refused(lines) | Failure::Usage(lines) => lines,
            Failure::Unreachable(line) => vec![line],
        }
    }
}

/// Runs the command and returns its exit code.
pub fn run<Arguments>(arguments: Arguments) -> ExitCode
where
    Arguments: IntoIterator<Item = OsString>,
{
    let matches = match command::command().try_get_matches_from(arguments) {
        Ok(matches) => matches,
        Err(error) => {
            error.print().ok();
            return ExitCode::from(u8::try_from(error.exit_code()).unwrap_or(EXIT_USAGE));
        }
    };
    match smol::block_on(command::execute(&matches)) {
        Ok(text) => {
            std::io::stdout().write_all(text.as_bytes()).ok();
            ExitCode::SUCCESS
        }
        Err(failure) => {
            let exit_code = failure.exit_code();
            for line in failure.lines() {
                writeln!(std::io::stderr(), "dotterelhoist: {line}").ok();
            }
            ExitCode::from(exit_code)
        }
    }
}
