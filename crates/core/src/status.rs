//! Status of the system as known to one daemon.

use serde::Serialize;

use crate::message::Summary;
use crate::Name;

/// Another daemon and the state that it last reported.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Daemon {
    /// Name of the daemon.
    pub name: Name,
    /// Availability zone of the daemon, empty if it is unknown.
    pub zone: Name,
    /// Whether a link to the daemon is up and frames have arrived on it recently.
    pub linked: bool,
    /// Whether the daemon answers callers.
    pub ready: bool,
    /// Revision of the configuration that the daemon has in force.
    pub revision: u64,
    /// Milliseconds since the daemon was last known to be alive, the maximum value if there is no
    /// link to it.
    pub age_ms: u64,
}

/// A log of which the daemon hosts a replica.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Log {
    /// Name of the log.
    pub name: Name,
    /// Role of the replica: [`Role`](crate::replica::Role) in lower case.
    pub role: String,
    /// Current term of the replica.
    pub term: u64,
    /// Daemon that hosts the leader, empty if none is known.
    pub leader: Name,
    /// Index of the last applied entry.
    pub applied: u64,
    /// Voters with their weights.
    pub voters: Vec<String>,
}

/// A route as known to this daemon.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Route {
    /// Name of the group instance, or of the VM of a plain endpoint.
    pub name: Name,
    /// Availability zone.
    pub zone: Name,
    /// `accepting`, `draining` or `broken`.
    pub standing: String,
    /// Generation of the group, or incarnation of a plain endpoint.
    pub generation: u64,
    /// Estimated requests that run or wait on the route.
    pub load: u32,
    /// Requests that the route can run concurrently.
    pub slots: u32,
    /// Age in milliseconds of the most recent observation of the route.
    pub age_ms: u64,
    /// Whether this daemon has ejected the route after failures and sends it no requests.
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
    /// [`Status`](crate::placement::Status) of the VM in kebab case.
    pub status: String,
    /// Group instance that the VM is assigned to or is leaving, empty if none.
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

/// Status of a daemon, shown by `dotterelhoist status`.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Status {
    /// Name of the daemon that answers.
    pub daemon: Name,
    /// Availability zone of the daemon.
    pub zone: Name,
    /// Whether the daemon answers callers.
    pub ready: bool,
    /// Whether the daemon is stopping.
    pub stopping: bool,
    /// Whether the configuration may be outdated because the leader of its log was unreachable.
    pub stale: bool,
    /// Revision of the configuration in force.
    pub revision: u64,
    /// Requests without a final answer, including the waiting ones.
    pub running: usize,
    /// Requests that wait to be dispatched.
    pub waiting: usize,
    /// Other daemons.
    pub daemons: Vec<Daemon>,
    /// Replicas hosted by the daemon.
    pub logs: Vec<Log>,
    /// Routes known to the daemon.
    pub routes: Vec<Route>,
    /// VMs of the zone whose placement log the daemon leads, empty if it leads none.
    pub vms: Vec<Vm>,
    /// VMs by state, one summary for each zone.
    pub zones: Vec<Summary>,
    /// Counters that are not zero.
    pub counters: Vec<Count>,
}
