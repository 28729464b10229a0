//! Messages between daemons and from endpoints.
//!
//! Every frame carries the sender's clock and echoes the newest clock value that the sender has
//! received from the other side. The echo gives the receiver a lower bound, on its *own* clock, of
//! the time at which the frame was sent, however long it lay in a socket buffer. All ages are
//! counted from that bound, so a frame delayed by a network partition or a suspended process never
//! looks fresh.

use std::collections::BTreeMap;

use prost::{Message, Oneof};
use serde::{Deserialize, Serialize};

use crate::control::command::Outcome;
use crate::replica::message::{Entry as LogEntry, Envelope};

/// State that an endpoint reports about itself at a regular interval.
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
    /// Number of accelerators of the VM.
    #[prost(uint32, tag = "5")]
    pub accelerators: u32,
    /// Labels of the VM.
    #[prost(btree_map = "string, string", tag = "6")]
    pub labels: BTreeMap<String, String>,
    /// Increases with each start of the endpoint.
    #[prost(uint64, tag = "7")]
    pub incarnation: u64,
    /// Increases with each announcement, also across restarts; older announcements are ignored.
    #[prost(uint64, tag = "8")]
    pub sequence: u64,
    /// Group instance that the endpoint belongs to, empty if none.
    #[prost(string, tag = "9")]
    pub group: String,
    /// Generation of the group that the endpoint was last ordered to join.
    #[prost(uint64, tag = "10")]
    pub generation: u64,
    /// Rank of the endpoint in the group; rank 0 receives the group's requests.
    #[prost(uint32, tag = "11")]
    pub rank: u32,
    /// Number of members of that generation.
    #[prost(uint32, tag = "12")]
    pub members: u32,
    /// State of the endpoint.
    #[prost(enumeration = "Phase", tag = "13")]
    #[serde(with = "phase_name")]
    pub phase: i32,
    /// Model loaded in the endpoint's memory, empty if none.
    #[prost(string, tag = "14")]
    pub model: String,
    /// Requests that the endpoint can run concurrently.
    #[prost(uint32, tag = "15")]
    pub slots: u32,
    /// Requests that the endpoint runs or has queued.
    #[prost(uint32, tag = "16")]
    pub load: u32,
    /// Whether the endpoint is about to stop and accepts no new work.
    #[prost(bool, tag = "17")]
    pub leaving: bool,
    /// Whether the endpoint refuses orders whose fencing number is lower than one that it has seen.
    #[prost(bool, tag = "18")]
    pub fences: bool,
    /// Whether the endpoint is *plain*: an ordinary HTTP service that joins no group, rather than a
    /// model engine.
    #[prost(bool, tag = "19")]
    pub plain: bool,
    /// Milliseconds for one step of the engine's work, 0 if unknown; used to detect stragglers.
    #[prost(uint32, tag = "20")]
    pub step_ms: u32,
}

/// State of an endpoint.
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
    /// Loads the model of its group.
    Loading = 1,
    /// Serves requests.
    Ready = 2,
    /// Finishes running requests and accepts no new ones.
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
    /// Term of the leader that sends the order; the endpoint must refuse lower terms than it has
    /// seen.
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

/// An announcement that a daemon forwards to the hosts of the zone's placement log.
#[derive(Clone, PartialEq, Message)]
pub struct AgedAnnouncement {
    /// The announcement.
    #[prost(message, optional, tag = "1")]
    pub announcement: Option<Announcement>,
    /// Upper bound of the announcement's age in milliseconds.
    #[prost(uint32, tag = "2")]
    pub age_ms: u32,
}

/// State of a group instance or plain endpoint that routing depends on.
#[derive(Clone, PartialEq, Message)]
pub struct RouteEntry {
    /// Number by which a [`Refresh`] from the same sender refers to this entry.
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
    /// Generation of the group, or incarnation of a plain endpoint.
    #[prost(uint64, tag = "5")]
    pub generation: u64,
    /// Version of the entry at its origin; a larger one is newer.
    #[prost(uint64, tag = "6")]
    pub version: u64,
    /// Whether each member of the generation has announced itself as ready or draining.
    #[prost(bool, tag = "7")]
    pub complete: bool,
    /// Whether the group or plain endpoint accepts new requests.
    #[prost(bool, tag = "8")]
    pub accepting: bool,
    /// IP address and port that receives the requests.
    #[prost(string, tag = "9")]
    pub address: String,
    /// VM behind that address.
    #[prost(string, tag = "10")]
    pub vm: String,
    /// Requests that can run concurrently at that address.
    #[prost(uint32, tag = "11")]
    pub slots: u32,
    /// Labels of a plain endpoint, for the selectors of services.
    #[prost(btree_map = "string, string", tag = "12")]
    pub labels: BTreeMap<String, String>,
    /// Upper bound in milliseconds of the age of the underlying announcements, see
    /// [`Aggregate::as_of`](crate::membership::Aggregate::as_of).
    #[prost(uint32, tag = "13")]
    pub age_ms: u32,
    /// Requests that run or wait there.
    #[prost(uint32, tag = "14")]
    pub load: u32,
    /// Daemon that aggregated the announcements into this entry.
    #[prost(string, tag = "15")]
    pub origin: String,
    /// Incarnation of the endpoint behind the address.
    #[prost(uint64, tag = "16")]
    pub incarnation: u64,
}

/// Periodic update of the ages and loads of many [`RouteEntry`]s whose other fields are unchanged.
/// Each list has one element for each entry.
#[derive(Clone, PartialEq, Message)]
pub struct Refresh {
    /// Handles of the entries in ascending order, delta-encoded.
    #[prost(uint32, repeated, tag = "1")]
    pub handles: Vec<u32>,
    /// Ages of the entries in units of [`REFRESH_AGE_UNIT_MS`], rounded up.
    #[prost(uint32, repeated, tag = "2")]
    pub ages: Vec<u32>,
    /// Requests that run or wait at each entry.
    #[prost(uint32, repeated, tag = "3")]
    pub loads: Vec<u32>,
}

/// Milliseconds in one unit of [`Refresh::ages`].
pub const REFRESH_AGE_UNIT_MS: u32 = 20;

/// First frame that each side sends on a new link.
#[derive(Clone, PartialEq, Message)]
pub struct Hello {
    /// Name of the daemon.
    #[prost(string, tag = "1")]
    pub daemon: String,
    /// Increases with each start of the daemon.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Availability zone of the daemon.
    #[prost(string, tag = "3")]
    pub zone: String,
    /// Daemons that the sender's settings tell it to keep links to.
    #[prost(string, repeated, tag = "4")]
    pub peers: Vec<String>,
}

/// Periodic frame that keeps the clock echoes of a link current and reports the sender's state.
#[derive(Clone, PartialEq, Message)]
pub struct Ping {
    /// Revision of the configuration that the sender has in force.
    #[prost(uint64, tag = "1")]
    pub revision: u64,
    /// Whether the sender answers callers.
    #[prost(bool, tag = "2")]
    pub ready: bool,
    /// Whether the sender is stopping and still has requests or unrecorded usage lines.
    #[prost(bool, tag = "3")]
    pub finishing: bool,
}

/// Requests committed entries of a log; answered with a [`FetchReply`].
#[derive(Clone, PartialEq, Message)]
pub struct Fetch {
    /// Name of the log.
    #[prost(string, tag = "1")]
    pub log: String,
    /// Index of the last entry that the requester has applied.
    #[prost(uint64, tag = "2")]
    pub applied: u64,
}

/// Committed entries of a log for a daemon that holds no replica of it.
#[derive(Clone, PartialEq, Message)]
pub struct FetchReply {
    /// Name of the log.
    #[prost(string, tag = "1")]
    pub log: String,
    /// Encoded state machine, if the requested entries have been compacted away.
    #[prost(bytes = "vec", optional, tag = "2")]
    pub state_machine: Option<Vec<u8>>,
    /// Entries that follow the requester's last one.
    #[prost(message, repeated, tag = "3")]
    pub entries: Vec<LogEntry>,
    /// Index of the last entry that the sender has applied.
    #[prost(uint64, tag = "4")]
    pub applied: u64,
    /// Whether the sender had applied everything that a live leader had committed.
    #[prost(bool, tag = "5")]
    pub up_to_date: bool,
}

/// A command forwarded to the leader of a log.
#[derive(Clone, PartialEq, Message)]
pub struct Forward {
    /// Chosen by the sender, echoed in the [`Answer`]. The sender's processes start at random numbers,
    /// so that one never takes the answer to a command of an earlier one.
    #[prost(uint64, tag = "1")]
    pub ticket: u64,
    /// Name of the log.
    #[prost(string, tag = "2")]
    pub log: String,
    /// Encoded command.
    #[prost(bytes = "vec", tag = "3")]
    pub command: Vec<u8>,
    /// Number of daemons that have forwarded the command since its proposer sent it.
    #[prost(uint32, tag = "4")]
    pub hops: u32,
}

/// The outcome of a forwarded command.
#[derive(Clone, PartialEq, Message)]
pub struct Answer {
    /// Ticket of the [`Forward`].
    #[prost(uint64, tag = "1")]
    pub ticket: u64,
    /// Outcome of the command; none if no leader could accept it.
    #[prost(message, optional, tag = "2")]
    pub outcome: Option<Outcome>,
}

/// Reports that a request's content is suspected of crashing endpoints, or no longer is.
#[derive(Clone, PartialEq, Message)]
pub struct Suspect {
    /// The request's [`digest`](crate::request::Request::digest).
    #[prost(fixed64, tag = "1")]
    pub fingerprint: u64,
    /// Whether the suspicion has been withdrawn.
    #[prost(bool, tag = "2")]
    pub cleared: bool,
}

/// Number of VMs of a zone in each state, published by the leader of its placement log.
#[derive(Clone, PartialEq, Message, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
pub struct Summary {
    /// Availability zone.
    #[prost(string, tag = "1")]
    pub zone: String,
    /// Term of the leader that published the summary.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// VMs in a group that serves.
    #[prost(uint32, tag = "3")]
    pub serving: u32,
    /// VMs in no group.
    #[prost(uint32, tag = "4")]
    pub free: u32,
    /// VMs that load a model or wait for their group to become complete.
    #[prost(uint32, tag = "5")]
    pub loading: u32,
    /// VMs that finish running requests and then leave their group.
    #[prost(uint32, tag = "6")]
    pub draining: u32,
    /// VMs that no longer announce themselves, and VMs whose group waits for a missing member.
    #[prost(uint32, tag = "7")]
    pub failed: u32,
    /// Milliseconds for which configured group instances could not serve, summed over the instances
    /// since the leader's daemon started.
    #[prost(uint64, tag = "8")]
    pub group_downtime_ms: u64,
    /// Accelerator-milliseconds that were neither serving nor free, since the leader's daemon
    /// started.
    #[prost(uint64, tag = "9")]
    pub stranded_ms: u64,
    /// Group instances that the zone should run but has no free VMs for.
    #[prost(uint32, tag = "10")]
    pub shortfall: u32,
}

/// Content of a frame between two daemons.
#[derive(Clone, PartialEq, Oneof)]
pub enum Body {
    /// First frame on a link.
    #[prost(message, tag = "3")]
    Hello(Hello),
    /// Clock echo and state of the sender.
    #[prost(message, tag = "4")]
    Ping(Ping),
    /// Message between replicas of a log.
    #[prost(message, tag = "5")]
    Log(Envelope),
    /// Announcements for the hosts of their zone's placement log.
    #[prost(message, tag = "6")]
    Announcements(Announcements),
    /// Route entries that have changed.
    #[prost(message, tag = "7")]
    RouteEntries(RouteEntries),
    /// Ages and loads of route entries.
    #[prost(message, tag = "8")]
    Refresh(Refresh),
    /// A command for the leader of a log.
    #[prost(message, tag = "9")]
    Forward(Forward),
    /// Outcome of a forwarded command.
    #[prost(message, tag = "10")]
    Answer(Answer),
    /// Request for committed entries of a log.
    #[prost(message, tag = "11")]
    Fetch(Fetch),
    /// Committed entries of a log.
    #[prost(message, tag = "12")]
    FetchReply(FetchReply),
    /// Change in the suspicion of a request.
    #[prost(message, tag = "13")]
    Suspect(Suspect),
    /// Number of VMs of a zone in each state.
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
    /// Content of the frame.
    #[prost(oneof = "Body", tags = "3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14")]
    pub body: Option<Body>,
}
