//! Time constants and limits of the decisions.

use std::time::Duration;

/// Age of an announcement after which its endpoint gets no work and its group counts as broken.
pub const MEMBER_TTL: Duration = Duration::from_millis(2000);
/// Time that endpoints are told to leave between two announcements.
pub const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(250);
/// Time between two beats of ages and loads.
pub const REFRESH_INTERVAL: Duration = Duration::from_millis(500);
/// Time between two pings on a link.
pub const PING_INTERVAL: Duration = Duration::from_millis(250);
/// Time between two questions for committed entries.
pub const FETCH_INTERVAL: Duration = Duration::from_millis(500);
/// Age of the newest sign of life after which a link counts as cut.
pub const LINK_TTL: Duration = Duration::from_millis(2000);
/// Time after which a proposal without an answer is sent again.
pub const PROPOSAL_RETRY: Duration = Duration::from_millis(700);
/// Time after which a claim or a crash report without an answer is given up.
pub const PROPOSAL_TIMEOUT: Duration = Duration::from_millis(3000);
/// Longest silence of the configuration log after which it counts as stale.
pub const STALE_AFTER: Duration = Duration::from_millis(3000);
/// Time between two looks of the placement leader at its groups.
pub const PLACEMENT_INTERVAL: Duration = Duration::from_millis(200);
/// Time between two sendings of the same order.
pub const ORDER_RETRY: Duration = Duration::from_millis(500);
/// Entries after which a log is compacted into a snapshot.
pub const COMPACT_AFTER: u64 = 4096;
/// Time between two batches of usage lines.
pub const USAGE_BATCH_INTERVAL: Duration = Duration::from_millis(500);
/// Time for which a daemon that has served all its requests waits for its usage lines to be recorded
/// before it stops without them.
pub const USAGE_RECORDING_TIMEOUT: Duration = Duration::from_millis(10_000);
/// Added to a claim's permission before its leader closes it, for drift between clocks.
pub const CLAIM_GRACE: Duration = Duration::from_millis(2000);

/// Weights and limits that differ between deployments.
#[derive(Clone, Debug, PartialEq)]
pub struct Policy {
    /// Cost of one second for which one group instance cannot serve.
    pub downtime_weight: f64,
    /// Cost of one second for which one accelerator is neither serving nor free.
    pub stranded_weight: f64,
    /// Seconds in which a VM loads a model, before any load has been seen.
    pub load_seconds: f64,
    /// Loads that may begin in one availability zone each minute.
    pub loads_per_minute: u32,
    /// Requests that may wait in one daemon over all workspaces.
    pub queue_capacity: usize,
    /// Retries for each request on average.
    pub retry_ratio: f64,
    /// Load, as a multiple of the mean, up to which prefix affinity decides.
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
