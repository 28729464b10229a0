//! How the system stands, as one daemon sees it.

use serde::Serialize;

use crate::message::Summary;
use crate::Name;

/// A daemon and what it has in force.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Daemon {
    /// Name of the daemon.
    pub name: Name,
    /// Its availability zone, empty if it has not been heard.
    pub zone: Name,
    /// Whether a link to it is up and it has given a sign of life lately.
    pub linked: bool,
    /// Whether it answers callers.
    pub ready: bool,
    /// Revision that it has in force.
    pub revision: u64,
    /// Milliseconds since it said so.
    pub age_ms: u64,
}

/// A log that the daemon hosts a replica of.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Log {
    /// Name of the log.
    pub name: Name,
    /// Part that the replica plays.
    pub role: String,
    /// Term.
    pub term: u64,
    /// Daemon that leads, empty if none is known.
    pub leader: Name,
    /// Index of the last applied entry.
    pub applied: u64,
    /// Voters with their weights.
    pub voters: Vec<String>,
}

/// A route as this daemon uses it.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Route {
    /// Group instance or VM.
    pub name: Name,
    /// Availability zone.
    pub zone: Name,
    /// `accepting`, `draining` or `broken`.
    pub standing: String,
    /// Generation.
    pub generation: u64,
    /// Requests that run or wait there.
    pub load: u32,
    /// Requests that it can run at once.
    pub slots: u32,
    /// Milliseconds since the oldest of the announcements behind it.
    pub age_ms: u64,
    /// Whether this daemon leaves it alone after failures.
    pub ejected: bool,
}

/// A VM of the zone whose placement log this daemon leads.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Vm {
    /// Name of the VM.
    pub name: Name,
    /// Availability zone.
    pub zone: Name,
    /// Where it stands.
    pub status: String,
    /// Group instance that holds it, empty if none.
    pub group: Name,
}

/// A counter that is not zero.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Count {
    /// Name of the counter.
    pub name: String,
    /// Its value since the daemon started.
    pub value: u64,
}

/// Everything that `dotterelhoist status` shows.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Status {
    /// Name of the daemon that answers.
    pub daemon: Name,
    /// Its availability zone.
    pub zone: Name,
    /// Whether it answers callers.
    pub ready: bool,
    /// Whether it is stopping.
    pub stopping: bool,
    /// Whether it has been out of touch with the leader of the configuration.
    pub stale: bool,
    /// Revision in force.
    pub revision: u64,
    /// Requests in flight.
    pub running: usize,
    /// Requests that wait.
    pub waiting: usize,
    /// Other daemons.
    pub daemons: Vec<Daemon>,
    /// Replicas hosted here.
    pub logs: Vec<Log>,
    /// Routes.
    pub routes: Vec<Route>,
    /// VMs, if this daemon leads a placement log.
    pub vms: Vec<Vm>,
    /// VMs by state for each zone.
    pub zones: Vec<Summary>,
    /// Counters.
    pub counters: Vec<Count>,
}
