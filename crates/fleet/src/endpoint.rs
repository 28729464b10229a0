//! The state of endpoints, as they report it in heartbeats and in answers to probes.

use std::time::Duration;

use prost::Message;

use crate::Name;

/// Time after the departure of an endpoint, its deregistration or its report that it drains, for which
/// what is said of its incarnation doesn't take that back: it was sent before, or while the endpoint
/// stops.
pub const DEPARTURE_TTL: Duration = Duration::from_secs(60);

/// Whether an endpoint accepts new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum Phase {
    /// Accepts new work.
    Ready,
    /// Is about to stop and accepts no new work.
    Draining,
}

/// Stage of an endpoint within its serving group.
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
#[strum(serialize_all = "snake_case")]
#[repr(i32)]
pub enum Stage {
    /// Is loading the model.
    Joining = 0,
    /// Has the model in memory.
    Ready = 1,
    /// Is the head and accepts requests.
    Open = 2,
    /// Is the head, finishes the requests in flight and accepts no new ones.
    Closing = 3,
    /// Is the head and has lost a member.
    Broken = 4,
}

/// Serving group that an endpoint reports as its own.
#[derive(Clone, PartialEq, Message)]
pub struct Membership {
    /// Name of the group.
    #[prost(string, tag = "1")]
    pub group: String,
    /// Generation of the group, which distinguishes it from an older group of the same name.
    #[prost(uint64, tag = "2")]
    pub epoch: u64,
    /// [`Stage`] within the group.
    #[prost(enumeration = "Stage", tag = "3")]
    pub stage: i32,
    /// Position among the members, 0 for the head; none from a control daemon of an older build.
    #[prost(uint32, optional, tag = "4")]
    pub rank: Option<u32>,
}

impl Membership {
    /// Whether this is the given generation of a group.
    pub fn is_in(&self, group: &str, epoch: u64) -> bool {
        self.group == group && self.epoch == epoch
    }

    /// Whether the endpoint is, or may be, the head of the group. Of a member that has only joined and
    /// whose rank is not known, that can't be told.
    pub fn may_be_head(&self) -> bool {
        match self.stage() {
            Stage::Joining | Stage::Ready => self.rank.is_none_or(|rank| rank == 0),
            Stage::Open | Stage::Closing | Stage::Broken => true,
        }
    }
}

/// A heartbeat of an endpoint, or the same state read from its answer to a probe.
#[derive(Clone, PartialEq, Message)]
pub struct Heartbeat {
    /// Identity of the endpoint.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Service that it belongs to.
    #[prost(string, tag = "2")]
    pub service: String,
    /// IP address and port of its listener.
    #[prost(string, tag = "3")]
    pub address: String,
    /// Availability zone.
    #[prost(string, tag = "4")]
    pub zone: String,
    /// Fabric domain; empty if it has none, so that it can't serve a model.
    #[prost(string, tag = "5")]
    pub domain: String,
    /// Unix time of its start in milliseconds; tells incarnations of one identity apart.
    #[prost(uint64, tag = "6")]
    pub started_unix_ms: u64,
    /// Grows with each heartbeat of one incarnation.
    #[prost(uint64, tag = "7")]
    pub sequence: u64,
    /// Requests that it can run concurrently.
    #[prost(uint32, tag = "8")]
    pub slots: u32,
    /// Whether it is about to stop and accepts no new work.
    #[prost(bool, tag = "9")]
    pub draining: bool,
    /// Models whose weights are on its VM, so that it can load them without the weight store.
    #[prost(string, repeated, tag = "10")]
    pub staged: Vec<String>,
    /// Its serving group; none if it is a member of no group.
    #[prost(message, optional, tag = "11")]
    pub membership: Option<Membership>,
    /// Whether it has terminated or deregistered.
    #[prost(bool, tag = "12")]
    pub gone: bool,
    /// Number of orders that it has accepted; only in its answer to a probe, if that states it.
    #[prost(uint64, optional, tag = "13")]
    pub orders: Option<u64>,
}

impl Heartbeat {
    /// Whether this is newer than `other`, a heartbeat of the same identity.
    pub fn supersedes(&self, other: &Heartbeat) -> bool {
        (self.started_unix_ms, self.sequence) > (other.started_unix_ms, other.sequence)
    }

    /// Stage in the given generation of a group; none if the endpoint is a member of another or of
    /// none.
    pub fn stage_in(&self, group: &str, epoch: u64) -> Option<Stage> {
        let membership = self.membership.as_ref()?;
        membership.is_in(group, epoch).then(|| membership.stage())
    }

    /// Name of the service.
    pub fn service_name(&self) -> Name {
        self.service.as_str().into()
    }
}
