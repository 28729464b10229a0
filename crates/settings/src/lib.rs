//! Checked settings of the daemon: JSON with comments.
//!
//! [`parse`] reads a whole file and reports *all* that is wrong with it, each [`Finding`] with line
//! and column and with what would be right. [`Settings`] that come out of it need no further checks.

use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

use strum::{Display, EnumString, VariantNames};

mod check;
mod read;

/// Something wrong in a settings file.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Finding {
    /// Line, from 1.
    pub line: usize,
    /// Column, from 1.
    pub column: usize,
    /// Path of the setting, like `listen.callers`.
    pub path: String,
    /// What is wrong and what would be right.
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
    /// All availability zones, in the same order everywhere.
    pub zones: Vec<Arc<str>>,
    /// Addresses to listen on.
    pub listen: Listen,
    /// Daemons to keep links to.
    pub peers: Vec<Peer>,
    /// Replicated logs.
    pub logs: Vec<Log>,
    /// Folder for the logs that this daemon has a replica of.
    pub data_folder: Option<PathBuf>,
    /// File with one operator token a line.
    pub operator_tokens: Option<PathBuf>,
    /// Log output.
    pub logging: Logging,
    /// Metrics output.
    pub metrics: Option<Metrics>,
    /// Weights and limits of the decisions.
    pub policy: Policy,
    /// Limits of the listeners.
    pub limits: Limits,
}

/// Addresses to listen on.
#[derive(Clone, Debug, PartialEq)]
pub struct Listen {
    /// For callers.
    pub callers: SocketAddr,
    /// For announcements of endpoints.
    pub endpoints: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
    /// For other daemons.
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
    /// What it holds.
    pub holds: LogContent,
    /// Availability zone, if it holds placements.
    pub zone: Option<Arc<str>>,
    /// Voters of the new log.
    pub voters: Vec<Voter>,
}

/// What a log holds.
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
    /// Form of a line.
    pub format: Format,
    /// Least severity that is written.
    pub level: Level,
}

/// Form of a log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumString, VariantNames)]
#[strum(serialize_all = "kebab-case")]
pub enum Format {
    /// For reading.
    Human,
    /// One JSON object a line.
    Json,
}

/// Severity of a log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumString, VariantNames)]
#[strum(serialize_all = "kebab-case")]
pub enum Level {
    /// Needs somebody's attention.
    Error,
    /// Something failed and is being handled.
    Warn,
    /// Changes of state.
    Info,
    /// Single requests.
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

/// Weights and limits of the decisions.
#[derive(Clone, Debug, PartialEq)]
pub struct Policy {
    /// Cost of one second for which one group instance can't serve.
    pub downtime_weight: f64,
    /// Cost of one second for which one accelerator is neither serving nor free.
    pub stranded_weight: f64,
    /// Seconds in which a VM is expected to load a model.
    pub load_seconds: f64,
    /// Loads that may begin in one availability zone each minute.
    pub loads_per_minute: u32,
    /// Requests that may wait in this daemon.
    pub queue: u32,
    /// Retries for each request on average.
    pub retry_ratio: f64,
    /// Load, as a multiple of the mean, up to which prefix affinity decides.
    pub affinity_bound: f64,
}

/// Limits of the listeners.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Longest body of a request in bytes.
    pub body_bytes: usize,
    /// Time for the head of a request in milliseconds.
    pub head_timeout_ms: u64,
    /// Time for the body of a request in milliseconds.
    pub body_timeout_ms: u64,
    /// Connections of callers at once.
    pub connections: u32,
    /// Longest answer that is kept for a non-idempotent request in bytes.
    pub held_answer_bytes: usize,
}

/// Parses and checks a settings file.
///
/// # Errors
///
/// Returns everything that is wrong, in the order of the file.
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
