//! What a leader knows of another replica.

use crate::clock::Instant;
use crate::Name;

/// Replication state of one other replica.
#[derive(Debug)]
pub(super) struct Progress {
    /// Daemon that hosts the replica.
    pub daemon: Name,
    /// Highest index known to be on the replica's disk.
    pub matched: u64,
    /// Next index to send.
    pub next: u64,
    /// Sending time, on the leader's clock, of the newest message that was answered.
    pub answered_at: u64,
    /// When the last snapshot was sent.
    pub installed: Option<Instant>,
    /// Whether the replica is fed without having a vote.
    pub learner: bool,
    /// Votes that a learner will have.
    pub weight: u32,
}

impl Progress {
    pub(super) fn new(daemon: Name, next: u64) -> Progress {
        Progress {
            daemon,
            matched: 0,
            next,
            answered_at: 0,
            installed: None,
            learner: false,
            weight: 0,
        }
    }
}
