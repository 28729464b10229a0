//! Roles that an example plays in processes of its own: it starts itself again with the name of the
//! role as first argument.

use std::ffi::OsString;
use std::process::ExitCode;

use crate::deployment::Deployment;
use crate::engine::{Config, Engine};
use crate::plain::Service;
use crate::process::Process;

/// Plays the role that the first argument names; none if it names no role.
pub fn run_from_arguments(arguments: impl Iterator<Item = OsString>) -> Option<ExitCode> {
    let mut arguments: Vec<OsString> = arguments.collect();
    let role = arguments.get(1)?.to_str()?.to_owned();
    let known = ["daemon", "command", "engine", "plain"];
    if !known.contains(&role.as_str()) {
        return None;
    }
    arguments.remove(1);
    Some(match role.as_str() {
        "daemon" => dotterelhoist_daemon::run(arguments),
        "command" => dotterelhoist_operator::run(arguments),
        _ => stand_in(arguments.get(1), role == "plain"),
    })
}

/// Program and first argument that start this example in a role.
pub fn command_line(role: &str) -> Vec<OsString> {
    let own = std::env::current_exe().unwrap_or_default();
    vec![own.into(), role.into()]
}

/// Starts a stand-in in a process of its own.
///
/// # Errors
///
/// Returns what kept it from starting.
pub fn start_stand_in(
    deployment: &Deployment,
    role: &str,
    config: &Config,
) -> Result<Process, String> {
    let text = serde_json::to_string(config).map_err(|error| error.to_string())?;
    let log = deployment.log_file(&config.vm);
    Process::spawn(&command_line(role), &[text.into()], &log).map_err(|error| error.to_string())
}

/// Runs a stand-in until it dies or is killed.
fn stand_in(config: Option<&OsString>, plain: bool) -> ExitCode {
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
