//! Settings of the daemon, read from JSON with comments and validated.
//!
//! [`parse`] reads a whole file and reports *all* errors in it, each as a [`Finding`] with line,
//! column and the values that are allowed. The [`Settings`] that it returns are valid and need no
//! further checks.

use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

use strum::{Display, EnumString, VariantNames};

mod check;
mod read;

/// An error in a settings file.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Finding {
    /// Line in the file, from 1.
    pub line: usize,
    /// Column in characters, from 1.
    pub column: usize,
    /// Path of the setting, like `listen.callers`; empty if the file as a whole is not valid.
    pub path: String,
    /// What is wrong and which values are allowed.
    pub message: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Finding { line, column, path, message } = self;
        if path.is_empty() {
            return write!(f, "{line}:{column}: {message}");
        }
        write!(f, "{line}:{column}: {path}: {message}")
    }
}

/// Settings of one daemon.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of the daemon.
    pub daemon: Arc<str>,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// All availability zones of the deployment, in the same order in the settings of each daemon.
    pub zones: Vec<Arc<str>>,
    /// Addresses to listen on.
    pub listen: Listen,
    /// Daemons to stay connected to.
    pub peers: Vec<Peer>,
    /// Replicated logs.
    pub logs: Vec<Log>,
    /// Folder for the logs that this daemon has a replica of; `None` if it has none.
    pub data_folder: Option<PathBuf>,
    /// File with one operator token per line; without it operators need no token.
    pub operator_tokens: Option<PathBuf>,
    /// Log output.
    pub logging: Logging,
    /// Metrics output; `None` if no metrics are sent.
    pub metrics: Option<Metrics>,
    /// Weights and limits of placement, routing and retries.
    pub policy: Policy,
    /// Limits of the listeners.
    pub limits: Limits,
}

/// Addresses to listen on, one for each kind of client.
#[derive(Clone, Debug, PartialEq)]
pub struct Listen {
    /// For requests of callers.
    pub callers: SocketAddr,
    /// For announcements of endpoints.
    pub endpoints: SocketAddr,
    /// For the administration API.
    pub operators: SocketAddr,
    /// For links of other daemons.
    pub daemons: SocketAddr,
}

/// Another daemon.
#[derive(Clone, Debug, PartialEq)]
pub struct Peer {
    /// Its name.
    pub daemon: Arc<str>,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// Where it listens for other daemons.
    pub address: SocketAddr,
}

/// A replicated log.
#[derive(Clone, Debug, PartialEq)]
pub struct Log {
    /// Its name.
    pub name: Arc<str>,
    /// Kind of state that it replicates.
    pub holds: LogContent,
    /// Availability zone whose placements it holds; `None` for logs with other content.
    pub zone: Option<Arc<str>>,
    /// Initial voters of the log.
    pub voters: Vec<Voter>,
}

/// Kind of state that a log replicates.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumString, VariantNames)]
#[strum(serialize_all = "kebab-case")]
pub enum LogContent {
    /// Serving groups, services, workspaces and drains.
    Configuration,
    /// Claims and usage lines.
    Claims,
    /// Placements of one availability zone.
    Placement,
}

/// A voter of a log.
#[derive(Clone, Debug, PartialEq)]
pub struct Voter {
    /// Daemon that hosts the replica.
    pub daemon: Arc<str>,
    /// Number of votes.
    pub weight: u32,
}

/// Log output.
#[derive(Clone, Debug, PartialEq)]
pub struct Logging {
    /// Format of a line.
    pub format: Format,
    /// Lowest severity that is written.
    pub level: Level,
}

/// Format of a log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumString, VariantNames)]
#[strum(serialize_all = "kebab-case")]
pub enum Format {
    /// Plain text for people.
    Human,
    /// One JSON object per line.
    Json,
}

/// Severity of a log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumString, VariantNames)]
#[strum(serialize_all = "kebab-case")]
pub enum Level {
    /// A failure that an operator must act on.
    Error,
    /// A failure that the daemon handles itself.
    Warn,
    /// Changes of state.
    Info,
    /// Events of single requests.
    Debug,
}

/// Metrics output.
#[derive(Clone, Debug, PartialEq)]
pub struct Metrics {
    /// Address of a StatsD receiver.
    pub statsd: SocketAddr,
    /// Prefix of each metric's name.
    pub prefix: String,
}

/// Weights and limits of placement, routing and retries.
#[derive(Clone, Debug, PartialEq)]
pub struct Policy {
    /// Cost of each second for which one group instance (a replica of a serving group) can't serve;
    /// used to compare repairs.
    pub downtime_weight: f64,
    /// Cost of each second for which one accelerator is neither serving nor free; used to compare
    /// repairs.
    pub stranded_weight: f64,
    /// Seconds that a VM is expected to take to load a model, used until a load has been observed.
    pub load_seconds: f64,
    /// Model loads that may start per minute in one availability zone.
    pub loads_per_minute: u32,
    /// Requests that may wait in this daemon at once; further ones are refused.
    pub queue: u32,
    /// Retry budget: retries per request on average; retries beyond it are not sent.
    pub retry_ratio: f64,
    /// Highest load of an endpoint, as a multiple of the mean load, at which prefix affinity still
    /// selects it.
    pub affinity_bound: f64,
}

/// Limits of the listeners.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Longest request body in bytes; a request with a longer one is refused.
    pub body_bytes: usize,
    /// Time in milliseconds within which the head of the next request on a connection must have
    /// arrived; the connection is closed afterwards.
    pub head_timeout_ms: u64,
    /// Time in milliseconds within which the body of a request must have arrived; the request is
    /// refused afterwards.
    pub body_timeout_ms: u64,
    /// Most connections of callers at once; further ones are closed when they are accepted.
    pub connections: u32,
    /// Longest answer in bytes whose body is recorded, so that it can be replayed when a
    /// non-idempotent request is repeated; the body of a longer answer is not recorded.
    pub held_answer_bytes: usize,
}

/// Parses and checks a settings file.
///
/// # Errors
///
/// Returns all findings, in the order of the file.
///
/// ```
/// let findings = dotterelhoist_settings::parse("{ \"daemon\": 7, \"zoo\": 1 }").unwrap_err();
/// assert!(findings.iter().any(|f| f.to_string() == "1:13: daemon: must be a string"));
/// assert!(findings.iter().any(|f| f.path == "zoo"));
/// ```
pub fn parse(text: &str) -> Result<Settings, Vec<Finding>> {
    let mut findings = Vec::new();
    let settings = read::read(text, &mut findings);
    findings.sort();
    findings.dedup();
    match settings {
        Some(settings) if findings.is_empty() => Ok(settings),
        _ => Err(findings),
    }
}
