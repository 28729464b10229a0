//! The operators' command as a library.
//!
//! Operators describe what they want in files of JSON with comments and pick VMs, serving groups and
//! services by selectors over labels. Each change carries an operation id, so that the command can
//! send it again after a lost answer, to another daemon too, without changing anything twice.

use std::ffi::OsString;
use std::io::Write;
use std::process::ExitCode;

mod client;
mod command;
mod manifest;
mod table;

/// Exit code after a change that was refused, or an answer that tells of a failure.
const EXIT_REFUSED: u8 = 1;
/// Exit code after wrong usage or a file that is not right.
const EXIT_USAGE: u8 = 2;
/// Exit code when no daemon could be reached.
const EXIT_UNREACHABLE: u8 = 3;

/// How a command failed.
#[derive(Debug)]
pub(crate) enum Failure {
    /// The daemon refused; the lines say why.
    Refused(Vec<String>),
    /// The input is not right; the lines say what would be.
    Usage(Vec<String>),
    /// No daemon answered.
    Unreachable(String),
}

impl Failure {
    fn code(&self) -> u8 {
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
            let code = failure.code();
            for line in failure.lines() {
                writeln!(std::io::stderr(), "dotterelhoist: {line}").ok();
            }
            ExitCode::from(code)
        }
    }
}
