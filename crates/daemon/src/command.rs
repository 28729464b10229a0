//! The command line of `dotterelhoistd`.

use std::ffi::OsString;
use std::io::Write;
use std::path::PathBuf;
use std::process::ExitCode;

use async_signal::{Signal, Signals};
use clap::{Arg, ArgAction, Command};
use futures_lite::{FutureExt, StreamExt};

use crate::config::Config;

/// Exit code for arguments or settings that are invalid or can't be read.
const EXIT_INVALID_SETTINGS: u8 = 2;

/// Arguments and help of the command.
fn command() -> Command {
    Command::new("dotterelhoistd")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Routes callers' requests to models whose replicas span several VMs, and keeps the control logs")
        .after_help(
            "SIGTERM or SIGINT begins a graceful shutdown: /healthz returns 503, new requests are \
             refused,\nand requests in flight finish. A second signal ends the process at once.\n\n\
             Exit codes: 0 stopped gracefully, 1 could not start, 2 invalid settings,\n\
             74 disk error, 130 ended by a second signal.",
        )
        .arg(
            Arg::new("settings")
                .value_name("SETTINGS")
                .help("Settings file, JSON with comments; see docs/settings.md")
                .required(true)
                .value_parser(clap::value_parser!(PathBuf)),
        )
        .arg(
            Arg::new("found")
                .long("found")
                .help("Bootstrap new logs; only for the first start of a deployment")
                .long_help(
                    "Makes the replicas in a new data folder initial voters of their logs. Only \
                     for the first start of a deployment: a daemon that has lost its disk must \
                     start without this flag, and then joins as a learner.",
                )
                .action(ArgAction::SetTrue),
        )
}

/// Runs the daemon until it is stopped, and returns its exit code.
pub fn run<Arguments>(arguments: Arguments) -> ExitCode
where
    Arguments: IntoIterator<Item = OsString>,
{
    let matches = match command().try_get_matches_from(arguments) {
        Ok(matches) => matches,
        Err(error) => {
            error.print().ok();
            return ExitCode::from(
                u8::try_from(error.exit_code()).unwrap_or(EXIT_INVALID_SETTINGS),
            );
        }
    };
    let path = matches.get_one::<PathBuf>("settings").cloned().unwrap_or_default();
    let mut stderr = std::io::stderr();
    let text = match std::fs::read_to_string(&path) {
        Ok(text) => text,
        Err(error) => {
            writeln!(stderr, "dotterelhoistd: {}: {error}", path.display()).ok();
            return ExitCode::from(EXIT_INVALID_SETTINGS);
        }
    };
    let settings = match dotterelhoist_settings::parse(&text) {
        Ok(settings) => settings,
        Err(findings) => {
            for finding in findings {
                writeln!(stderr, "{}:{finding}", path.display()).ok();
            }
            return ExitCode::from(EXIT_INVALID_SETTINGS);
        }
    };
    let config = Config::new(settings).bootstrap(matches.get_flag("found"));
    smol::block_on(serve(config))
}

/// Runs a daemon until the first signal and then stops it gracefully; a second signal ends it at
/// once.
async fn serve(config: Config) -> ExitCode {
    let Ok(mut signals) = Signals::new([Signal::Term, Signal::Int]) else {
        return ExitCode::FAILURE;
    };
    let daemon = match config.spawn().await {
        Ok(daemon) => daemon,
        Err(error) => {
            writeln!(std::io::stderr(), "dotterelhoistd: {error}").ok();
            return ExitCode::FAILURE;
        }
    };
    signals.next().await;
    daemon.stop();
    let graceful = async {
        daemon.stopped().await;
        ExitCode::SUCCESS
    };
    let second_signal = async {
        signals.next().await;
        ExitCode::from(130)
    };
    graceful.or(second_signal).await
}
