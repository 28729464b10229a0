//! The bytes of answers that a daemon holds at the same time.
//!
//! Each answer has a limit of its own, but endpoints that answer without end could fill the memory of the
//! VM together. What answers hold beyond [`FREE_BYTES`] each therefore comes from one [`Budget`].

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

/// Bytes that each answer holds without a part of the budget, so that a few large answers don't keep
/// others from being read.
const FREE_BYTES: usize = 64 << 10;

/// Bytes that answers may still hold; clones share them.
#[derive(Clone, Debug)]
pub(crate) struct Budget {
    left: Arc<AtomicUsize>,
}

/// Part of a [`Budget`] that one answer holds; it is given back on drop.
#[derive(Debug)]
pub(crate) struct Share {
    budget: Budget,
    /// Bytes beyond [`FREE_BYTES`].
    bytes: usize,
}

impl Budget {
    /// A budget of this many bytes.
    pub(crate) fn open(bytes: usize) -> Budget {
        Budget { left: Arc::new(AtomicUsize::new(bytes)) }
    }

    /// An empty share.
    pub(crate) fn share(&self) -> Share {
        Share { budget: self.clone(), bytes: 0 }
    }
}

impl Share {
    /// Enlarges the share to an answer of this many bytes, or returns false if the budget has not as many
    /// left.
    pub(crate) fn grow(&mut self, answer_bytes: usize) -> bool {
        let more = answer_bytes.saturating_sub(FREE_BYTES).saturating_sub(self.bytes);
        let take = |left: usize| left.checked_sub(more);
        let taken = self.budget.left.fetch_update(Ordering::Relaxed, Ordering::Relaxed, take);
        if taken.is_ok() {
            self.bytes += more;
        }
        taken.is_ok()
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        self.budget.left.fetch_add(self.bytes, Ordering::Relaxed);
    }
}
