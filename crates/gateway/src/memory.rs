//! The bytes of bodies that a daemon holds at the same time.
//!
//! Each body has a limit of its own, but a peer that sends many bodies without end could fill the
//! memory of the VM nevertheless. All bodies of one kind therefore share a [`Budget`] for what is
//! beyond [`MAX_FREE_BYTES`] of each.

use std::cell::Cell;
use std::rc::Rc;

/// Bytes that each body holds without a part of the budget, so that a few large bodies don't keep
/// others from being read.
pub const MAX_FREE_BYTES: usize = 64 << 10;

/// Bytes that bodies may still hold; clones share them.
///
/// ```
/// use dotterelhoist_gateway::memory::{Budget, MAX_FREE_BYTES};
///
/// let budget = Budget::open(100);
/// let mut first = budget.reserve();
/// assert!(first.resize(MAX_FREE_BYTES + 80));
/// let mut second = budget.reserve();
/// assert!(second.resize(MAX_FREE_BYTES));
/// assert!(!second.resize(MAX_FREE_BYTES + 40));
/// drop(first);
/// assert!(second.resize(MAX_FREE_BYTES + 40));
/// ```
#[derive(Clone, Debug)]
pub struct Budget {
    left: Rc<Cell<usize>>,
}

/// Part of a [`Budget`] that one body holds; it is given back on drop.
#[derive(Debug)]
pub struct Reservation {
    budget: Budget,
    /// Bytes beyond [`MAX_FREE_BYTES`].
    bytes: usize,
}

impl Budget {
    /// A budget of this many bytes.
    pub fn open(bytes: usize) -> Budget {
        Budget { left: Rc::new(Cell::new(bytes)) }
    }

    /// An empty reservation.
    pub fn reserve(&self) -> Reservation {
        Reservation { budget: self.clone(), bytes: 0 }
    }
}

impl Reservation {
    /// Changes the reservation to a body of this many bytes, or returns false if the budget has not
    /// as many left.
    pub fn resize(&mut self, body_bytes: usize) -> bool {
        let bytes = body_bytes.saturating_sub(MAX_FREE_BYTES);
        let available = self.budget.left.get() + self.bytes;
        let Some(left) = available.checked_sub(bytes) else { return false };
        self.budget.left.set(left);
        self.bytes = bytes;
        true
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.left.set(self.budget.left.get() + self.bytes);
    }
}
