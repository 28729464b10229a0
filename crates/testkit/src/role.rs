//! Roles of the child processes of an example: the example starts its own executable again with the
//! name of a role as first argument, so that it does not depend on other executables being built.

use std::ffi::OsString;
use std::process::ExitCode;

use crate::deployment::Deployment;
use crate::engine::{Config, Engine};
use crate::plain::Service;
use crate::process::Process;

/// Runs this process in the role that the first argument names and returns its exit code, or
/// returns none at once if the first argument does not name a role.
pub fn run_from_arguments(arguments: impl Iterator<Item = OsString>) -> Option<ExitCode> {
    let mut arguments: Vec<OsString> = arguments.collect();
    let role = arguments.get(1)?.to_str()?.to_owned();
    let roles = ["daemon", "command", "engine", "plain"];
    if !roles.contains(&role.as_str()) {
        return None;
    }
    arguments.remove(1);
    Some(match role.as_str() {
        "daemon" => dotterelhoist_daemon::run(arguments),
        "command" => dotterelhoist_operator::run(arguments),
        _ => run_stand_in(arguments.get(1), role == "plain"),
    })
}

/// Program and first argument that start the current executable again in a role.
pub fn command_line(role: &str) -> Vec<OsString> {
    let program = std::env::current_exe().unwrap_or_default();
    vec![program.into(), role.into()]
}

/// Starts a stand-in, `engine` or `plain`, in a process of its own, which appends its standard
/// error to the log file named after its VM.
///
/// # Errors
///
/// Returns a message if the process cannot be started.
pub fn start_stand_in(
    deployment: &Deployment,
    role: &str,
    config: &Config,
) -> Result<Process, String> {
    let text = serde_json::to_string(config).map_err(|error| error.to_string())?;
    let log = deployment.log_file(&config.vm);
    Process::spawn(&command_line(role), &[text.into()], &log).map_err(|error| error.to_string())
}

/// Runs a stand-in with the properties in `config`, as JSON, until it crashes or the process is
/// killed; returns a failure at once if they are invalid.
fn run_stand_in(config: Option<&OsString>, plain: bool) -> ExitCode {
    let text = config.and_then(|config| config.to_str());
    let config = text.and_then(|text| serde_json::from_str::<Config>(text).ok());
    let Some(config) = config else { return ExitCode::FAILURE };
    smol::block_on(async {
        if plain {
            let _service = Service::spawn(config).await;
            std::future::pending::<()>().await;
            return;
        }
        let engine = Engine::spawn(config).await;
        engine.wait_for_crash().await;
    });
    ExitCode::SUCCESS
}
