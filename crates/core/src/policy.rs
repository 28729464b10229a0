//! Time constants, weights and limits used by the reducer.

use std::time::Duration;

/// Maximum age of an announcement. At this age its endpoint receives no new requests and its group
/// counts as broken, so answers of the group are aborted.
pub const MEMBER_TTL: Duration = Duration::from_millis(2000);
/// Interval at which endpoints are told to announce themselves.
pub const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(250);
/// Interval at which ages and loads of route entries are sent to other daemons.
pub const REFRESH_INTERVAL: Duration = Duration::from_millis(500);
/// Interval at which pings are sent on each link.
pub const PING_INTERVAL: Duration = Duration::from_millis(250);
/// Interval at which a daemon without a replica fetches committed entries of the configuration log.
pub const FETCH_INTERVAL: Duration = Duration::from_millis(500);
/// Time without a frame from the peer after which a link counts as down; commands are then no
/// longer sent over it and the peer is reported as not linked.
pub const LINK_TTL: Duration = Duration::from_millis(2000);
/// Time after which a proposal without an outcome is sent again.
pub const PROPOSAL_RETRY: Duration = Duration::from_millis(700);
/// Time after which a proposal without an outcome is abandoned, unless the request's deadline comes
/// first; the proposer is then told that the log was unreachable.
pub const PROPOSAL_TIMEOUT: Duration = Duration::from_millis(3000);
/// Time since the configuration was last known to be current after which it counts as stale. The
/// status then says so, a starting daemon waits before it answers callers, and a daemon that
/// fetches the log from one host tries the next one.
pub const STALE_AFTER: Duration = Duration::from_millis(3000);
/// Interval at which the placement leader compares its groups with the configuration.
pub const PLACEMENT_INTERVAL: Duration = Duration::from_millis(200);
/// Time after which an order is sent again if the endpoint has not announced that it followed it.
pub const ORDER_RETRY: Duration = Duration::from_millis(500);
/// Number of applied entries since the last snapshot at which a new snapshot replaces them.
pub const COMPACT_AFTER: u64 = 4096;
/// Minimum interval between two batches of usage lines.
pub const USAGE_BATCH_INTERVAL: Duration = Duration::from_millis(500);
/// Time for which a stopping daemon without requests in flight waits for its usage lines to be
/// recorded. After that it writes the unrecorded lines to its own log and stops.
pub const USAGE_RECORDING_TIMEOUT: Duration = Duration::from_millis(10_000);
/// Time for which a stopping daemon with a replica of a claim log stays at least, so that it learns
/// which linked daemons are stopping too and still need that log.
pub const STOP_NOTICE: Duration = Duration::from_millis(500);
/// Allowance for clock drift that the leader of a claim log adds to the time for which a holder may
/// run its request. When both have passed, the leader closes the claim with an unknown result.
pub const CLAIM_GRACE: Duration = Duration::from_millis(2000);

/// Weights and limits that are set for each deployment.
#[derive(Clone, Debug, PartialEq)]
pub struct Policy {
    /// Cost of one second during which one group instance can't serve.
    pub downtime_weight: f64,
    /// Cost of one second during which one accelerator is neither serving nor free.
    pub stranded_weight: f64,
    /// Assumed seconds for a group to load its model, until loads have been observed.
    pub load_seconds: f64,
    /// Model loads that may begin per minute in one availability zone; further ones wait.
    pub loads_per_minute: u32,
    /// Requests that may wait in one daemon over all services and workspaces; further ones are
    /// refused as overloaded.
    pub queue_capacity: usize,
    /// Average number of retries allowed for each new request.
    pub retry_ratio: f64,
    /// Multiple of the mean load up to which a route is preferred for its prefix affinity.
    pub affinity_bound: f64,
}

impl Default for Policy {
    fn default() -> Policy {
        Policy {
            downtime_weight: 1.0,
            stranded_weight: 0.02,
            load_seconds: 30.0,
            loads_per_minute: 120,
            queue_capacity: 4096,
            retry_ratio: 0.1,
            affinity_bound: 2.0,
        }
    }
}
