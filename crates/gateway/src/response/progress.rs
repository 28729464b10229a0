//! How far a response to a caller has come, as all attempts of its request see it.

use std::cell::Cell;

use crate::exchange::Reply;

/// Progress of the response to the caller, which the current attempt and the one beside it share.
#[derive(Debug, Default)]
pub(super) struct Progress {
    /// Status with which the response has begun, so that it can only be continued; none before.
    pub status: Cell<Option<u16>>,
    /// Id of the last event that was sent.
    pub last_event_id: Cell<Option<u64>>,
    /// Whether a write to the caller is in progress. Another attempt can't take over then, because a
    /// part of a chunk may have been sent.
    pub writing: Cell<bool>,
    /// Number of writes to the caller so far.
    writes: Cell<u64>,
    /// Number of writes to the caller when the second attempt began; none while none runs.
    hedge_base: Cell<Option<u64>>,
}

impl Progress {
    /// Whether a reply can be sent: the response has not begun, or the reply continues it.
    pub fn accepts(&self, reply: &Reply) -> bool {
        self.status.get().is_none_or(|status| reply.continues(status))
    }

    /// Records that a write to the caller starts, of a response with this status.
    pub fn start_write(&self, status: u16) {
        self.status.set(Some(status));
        self.writes.set(self.writes.get() + 1);
        self.writing.set(true);
    }

    /// Records that a second attempt begins.
    pub fn start_hedge(&self) {
        self.hedge_base.set(Some(self.writes.get()));
    }

    /// Records that the second attempt is over, or has become the current one.
    pub fn end_hedge(&self) {
        self.hedge_base.set(None);
    }

    /// Whether a second attempt runs.
    pub fn has_hedge(&self) -> bool {
        self.hedge_base.get().is_some()
    }

    /// Whether a part of the response has been sent since the second attempt began. What that
    /// attempt brings is then not the continuation.
    pub fn has_advanced(&self) -> bool {
        self.hedge_base.get().is_some_and(|base| base != self.writes.get())
    }
}
