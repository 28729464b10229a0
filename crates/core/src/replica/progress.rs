//! What a leader knows about the state of another replica.

use crate::clock::Instant;
use crate::Name;

/// Replication state of one other replica.
#[derive(Debug)]
pub(super) struct Progress {
    /// Daemon that hosts the replica.
    pub daemon: Name,
    /// Highest index up to which the replica's log is known to be durable and equal to the
    /// leader's.
    pub match_index: u64,
    /// Index of the next entry to send.
    pub next_index: u64,
    /// When the newest message that the replica answered was sent, in milliseconds on the leader's
    /// monotonic clock.
    pub acked_send_ms: u64,
    /// When the newest snapshot was sent; none once the replica has acknowledged a higher index.
    pub snapshot_sent_at: Option<Instant>,
    /// Whether the replica gets entries but has no vote yet.
    pub learner: bool,
    /// Number of votes that a learner will have as a voter; 0 for voters.
    pub weight: u32,
}

impl Progress {
    pub(super) fn new(daemon: Name, next_index: u64) -> Progress {
        Progress {
            daemon,
            match_index: 0,
            next_index,
            acked_send_ms: 0,
            snapshot_sent_at: None,
            learner: false,
            weight: 0,
        }
    }
}
