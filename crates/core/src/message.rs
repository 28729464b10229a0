//! Messages between daemons and from endpoints.
//!
//! Every frame carries the sender's clock and echoes the newest clock value that it has received
//! from the other side. The receiver thus knows, on its *own* clock, a moment before which the frame
//! cannot have been sent, however long it lay in a socket buffer. All ages are counted from that
//! moment, so a frame that was delayed by a cut or a freeze never looks fresh.

use std::collections::BTreeMap;

use prost::{Message, Oneof};
use serde::{Deserialize, Serialize};

use crate::control::command::Outcome;
use crate::replica::message::{Entry as LogEntry, Envelope};

/// What an endpoint says of itself.
///
/// Field names in JSON are those of the struct in kebab case.
#[derive(Clone, PartialEq, Message, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
pub struct Announcement {
    /// Name of the VM.
    #[prost(string, tag = "1")]
    pub vm: String,
    /// IP address and port of the endpoint's HTTP listener.
    #[prost(string, tag = "2")]
    pub address: String,
    /// Availability zone of the VM.
    #[prost(string, tag = "3")]
    pub zone: String,
    /// Fabric domain of the VM.
    #[prost(string, tag = "4")]
    pub fabric_domain: String,
    /// Accelerators of the VM.
    #[prost(uint32, tag = "5")]
    pub accelerators: u32,
    /// Labels of the VM.
    #[prost(btree_map = "string, string", tag = "6")]
    pub labels: BTreeMap<String, String>,
    /// Grows with each start of the endpoint.
    #[prost(uint64, tag = "7")]
    pub incarnation: u64,
    /// Grows with each announcement, also over restarts.
    #[prost(uint64, tag = "8")]
    pub sequence: u64,
    /// Group instance that the endpoint belongs to, empty if none.
    #[prost(string, tag = "9")]
    pub group: String,
    /// Generation of the group that it was ordered into.
    #[prost(uint64, tag = "10")]
    pub generation: u64,
    /// Its rank; rank 0 takes the requests.
    #[prost(uint32, tag = "11")]
    pub rank: u32,
    /// Number of members of that generation.
    #[prost(uint32, tag = "12")]
    pub members: u32,
    /// State of the endpoint.
    #[prost(enumeration = "Phase", tag = "13")]
    #[serde(with = "phase_name")]
    pub phase: i32,
    /// Model in the endpoint's memory, empty if none.
    #[prost(string, tag = "14")]
    pub model: String,
    /// Requests that it can run at once.
    #[prost(uint32, tag = "15")]
    pub slots: u32,
    /// Requests that it runs or has queued.
    #[prost(uint32, tag = "16")]
    pub load: u32,
    /// Whether it is about to stop and wants no new work.
    #[prost(bool, tag = "17")]
    pub leaving: bool,
    /// Whether it refuses orders with a fencing number older than one that it has seen.
    #[prost(bool, tag = "18")]
    pub fences: bool,
    /// Whether it is a plain service rather than a model engine.
    #[prost(bool, tag = "19")]
    pub plain: bool,
    /// Milliseconds that it needs for one step of its work, 0 if unknown; tells stragglers.
    #[prost(uint32, tag = "20")]
    pub step_ms: u32,
}

/// States of an endpoint.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    prost::Enumeration,
    strum::Display,
    strum::EnumString,
)]
#[strum(serialize_all = "kebab-case")]
#[repr(i32)]
pub enum Phase {
    /// In no group.
    Free = 0,
    /// Loads a model for its group.
    Loading = 1,
    /// Serves.
    Ready = 2,
    /// Finishes what runs and takes nothing new.
    Draining = 3,
}

mod phase_name {
    use serde::{de, Deserialize, Deserializer, Serializer};

    use super::Phase;

    pub(super) fn serialize<Target>(
        phase: &i32,
        target: Target,
    ) -> Result<Target::Ok, Target::Error>
    where
        Target: Serializer,
    {
        target.collect_str(&Phase::try_from(*phase).unwrap_or(Phase::Free))
    }

    pub(super) fn deserialize<'de, Source>(source: Source) -> Result<i32, Source::Error>
    where
        Source: Deserializer<'de>,
    {
        let name = String::deserialize(source)?;
        let phase: Phase = name.parse().map_err(|_| {
            de::Error::custom("phase must be `free`, `loading`, `ready` or `draining`")
        })?;
        Ok(phase as i32)
    }
}

/// An order to an endpoint, sent as JSON.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Order {
    /// Term of the leader that gives the order; older ones are to be refused.
    pub fencing: u64,
    /// VM that the order is for.
    pub vm: String,
    /// Group instance to join, empty to leave the current one.
    pub group: String,
    /// Generation of the group.
    pub generation: u64,
    /// Rank in the group.
    pub rank: u32,
    /// VMs of the group in rank order.
    pub members: Vec<String>,
    /// Model to load.
    pub model: String,
}

/// An announcement on its way to the hosts of its zone.
#[derive(Clone, PartialEq, Message)]
pub struct AgedAnnouncement {
    /// The announcement.
    #[prost(message, optional, tag = "1")]
    pub announcement: Option<Announcement>,
    /// Milliseconds since a moment at which the endpoint certainly had not yet said it.
    #[prost(uint32, tag = "2")]
    pub age_ms: u32,
}

/// What routing needs to know of a group instance or a plain endpoint.
#[derive(Clone, PartialEq, Message)]
pub struct RouteEntry {
    /// Number that stands for the name in a [`Refresh`] of the same sender.
    #[prost(uint32, tag = "1")]
    pub handle: u32,
    /// Group instance, or VM of a plain endpoint.
    #[prost(string, tag = "2")]
    pub name: String,
    /// Serving group of the instance, empty for a plain endpoint.
    #[prost(string, tag = "3")]
    pub group: String,
    /// Availability zone.
    #[prost(string, tag = "4")]
    pub zone: String,
    /// Generation of the group, or incarnation of the plain endpoint.
    #[prost(uint64, tag = "5")]
    pub generation: u64,
    /// Sum of the members' sequence numbers; a larger one is newer.
    #[prost(uint64, tag = "6")]
    pub version: u64,
    /// Whether each member of the generation has announced it as ready or draining.
    #[prost(bool, tag = "7")]
    pub complete: bool,
    /// Whether it takes new work.
    #[prost(bool, tag = "8")]
    pub accepting: bool,
    /// IP address and port that takes the requests.
    #[prost(string, tag = "9")]
    pub address: String,
    /// VM behind that address.
    #[prost(string, tag = "10")]
    pub vm: String,
    /// Requests that it can run at once.
    #[prost(uint32, tag = "11")]
    pub slots: u32,
    /// Labels of a plain endpoint, for the selectors of services.
    #[prost(btree_map = "string, string", tag = "12")]
    pub labels: BTreeMap<String, String>,
    /// Milliseconds since the oldest of the members' announcements.
    #[prost(uint32, tag = "13")]
    pub age_ms: u32,
    /// Requests that run or wait there.
    #[prost(uint32, tag = "14")]
    pub load: u32,
    /// Daemon that folded the announcements.
    #[prost(string, tag = "15")]
    pub origin: String,
    /// Incarnation of the endpoint behind the address.
    #[prost(uint64, tag = "16")]
    pub incarnation: u64,
}

/// Ages and loads of many entries, one element of each list for an entry.
#[derive(Clone, PartialEq, Message)]
pub struct Refresh {
    /// Handles in rising order, each as the difference to the one before.
    #[prost(uint32, repeated, tag = "1")]
    pub handles: Vec<u32>,
    /// Ages in units of [`REFRESH_AGE_UNIT_MS`], rounded up.
    #[prost(uint32, repeated, tag = "2")]
    pub ages: Vec<u32>,
    /// Requests that run or wait there.
    #[prost(uint32, repeated, tag = "3")]
    pub loads: Vec<u32>,
}

/// Milliseconds in one unit of the ages of a [`Refresh`].
pub const REFRESH_AGE_UNIT_MS: u32 = 20;

/// First frame on a link, from each side.
#[derive(Clone, PartialEq, Message)]
pub struct Hello {
    /// Name of the daemon.
    #[prost(string, tag = "1")]
    pub daemon: String,
    /// Its incarnation.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Its availability zone.
    #[prost(string, tag = "3")]
    pub zone: String,
    /// Daemons that it keeps links to by its own settings.
    #[prost(string, repeated, tag = "4")]
    pub peers: Vec<String>,
}

/// Keeps a link's clocks known, and tells what the sender has in force.
#[derive(Clone, PartialEq, Message)]
pub struct Ping {
    /// Revision of the configuration that the sender has in force.
    #[prost(uint64, tag = "1")]
    pub revision: u64,
    /// Whether it answers callers.
    #[prost(bool, tag = "2")]
    pub ready: bool,
}

/// Asks for committed entries of a log.
#[derive(Clone, PartialEq, Message)]
pub struct Fetch {
    /// Name of the log.
    #[prost(string, tag = "1")]
    pub log: String,
    /// Index of the last entry that the asker has.
    #[prost(uint64, tag = "2")]
    pub applied: u64,
}

/// Committed entries of a log for a daemon that is no replica of it.
#[derive(Clone, PartialEq, Message)]
pub struct FetchReply {
    /// Name of the log.
    #[prost(string, tag = "1")]
    pub log: String,
    /// Encoded state machine, if the entries asked for are no longer kept.
    #[prost(bytes = "vec", optional, tag = "2")]
    pub state_machine: Option<Vec<u8>>,
    /// Entries that follow the asker's last one.
    #[prost(message, repeated, tag = "3")]
    pub entries: Vec<LogEntry>,
    /// Index that the sender has applied.
    #[prost(uint64, tag = "4")]
    pub applied: u64,
    /// Whether that was all that a live leader had committed.
    #[prost(bool, tag = "5")]
    pub up_to_date: bool,
}

/// A command on its way to the leader of a log.
#[derive(Clone, PartialEq, Message)]
pub struct Forward {
    /// Chosen by the sender, echoed in the [`Answer`].
    #[prost(uint64, tag = "1")]
    pub ticket: u64,
    /// Name of the log.
    #[prost(string, tag = "2")]
    pub log: String,
    /// Encoded command.
    #[prost(bytes = "vec", tag = "3")]
    pub command: Vec<u8>,
    /// Daemons that have passed it on.
    #[prost(uint32, tag = "4")]
    pub hops: u32,
}

/// The outcome of a forwarded command.
#[derive(Clone, PartialEq, Message)]
pub struct Answer {
    /// Ticket of the [`Forward`].
    #[prost(uint64, tag = "1")]
    pub ticket: u64,
    /// What was decided; none if no leader could take the command.
    #[prost(message, optional, tag = "2")]
    pub outcome: Option<Outcome>,
}

/// News of a request whose endpoint died.
#[derive(Clone, PartialEq, Message)]
pub struct Suspect {
    /// Hash of the request's content.
    #[prost(fixed64, tag = "1")]
    pub fingerprint: u64,
    /// Whether it is cleared.
    #[prost(bool, tag = "2")]
    pub cleared: bool,
}

/// VMs of a zone by state, from the leader of its placement log.
#[derive(Clone, PartialEq, Message, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
pub struct Summary {
    /// Availability zone.
    #[prost(string, tag = "1")]
    pub zone: String,
    /// Term of the leader that counted.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// VMs that serve.
    #[prost(uint32, tag = "3")]
    pub serving: u32,
    /// VMs that are free.
    #[prost(uint32, tag = "4")]
    pub free: u32,
    /// VMs that load a model or wait for their group to become whole.
    #[prost(uint32, tag = "5")]
    pub loading: u32,
    /// VMs that finish their work.
    #[prost(uint32, tag = "6")]
    pub draining: u32,
    /// VMs that are silent or that another group waits for.
    #[prost(uint32, tag = "7")]
    pub failed: u32,
    /// Milliseconds for which wanted group instances could not serve, since the leader took over.
    #[prost(uint64, tag = "8")]
    pub group_downtime_ms: u64,
    /// Accelerator-milliseconds that were neither serving nor free, since the leader took over.
    #[prost(uint64, tag = "9")]
    pub stranded_ms: u64,
    /// Replicas that the zone should have but has no VMs for.
    #[prost(uint32, tag = "10")]
    pub shortfall: u32,
}

/// Everything that one daemon sends to another.
#[derive(Clone, PartialEq, Oneof)]
pub enum Body {
    /// First frame on a link.
    #[prost(message, tag = "3")]
    Hello(Hello),
    /// Sign of life.
    #[prost(message, tag = "4")]
    Ping(Ping),
    /// Message between replicas.
    #[prost(message, tag = "5")]
    Log(Envelope),
    /// Announcements for the hosts of their zone.
    #[prost(message, tag = "6")]
    Announcements(Announcements),
    /// Entries that have changed.
    #[prost(message, tag = "7")]
    RouteEntries(RouteEntries),
    /// Ages and loads of entries.
    #[prost(message, tag = "8")]
    Refresh(Refresh),
    /// A command for the leader of a log.
    #[prost(message, tag = "9")]
    Forward(Forward),
    /// Its outcome.
    #[prost(message, tag = "10")]
    Answer(Answer),
    /// Asks for committed entries.
    #[prost(message, tag = "11")]
    Fetch(Fetch),
    /// Committed entries.
    #[prost(message, tag = "12")]
    FetchReply(FetchReply),
    /// A suspected request.
    #[prost(message, tag = "13")]
    Suspect(Suspect),
    /// VMs of a zone by state.
    #[prost(message, tag = "14")]
    Summary(Summary),
}

/// A list of [`AgedAnnouncement`].
#[derive(Clone, PartialEq, Message)]
pub struct Announcements {
    /// The announcements.
    #[prost(message, repeated, tag = "1")]
    pub announcements: Vec<AgedAnnouncement>,
}

/// A list of [`RouteEntry`].
#[derive(Clone, PartialEq, Message)]
pub struct RouteEntries {
    /// The entries.
    #[prost(message, repeated, tag = "1")]
    pub entries: Vec<RouteEntry>,
}

/// One frame between two daemons.
#[derive(Clone, PartialEq, Message)]
pub struct Frame {
    /// Milliseconds on the sender's monotonic clock.
    #[prost(uint64, tag = "1")]
    pub sent: u64,
    /// Newest `sent` that the sender has received from the receiver, 0 if none.
    #[prost(uint64, tag = "2")]
    pub echo: u64,
    /// What is said.
    #[prost(oneof = "Body", tags = "3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14")]
    pub body: Option<Body>,
}
