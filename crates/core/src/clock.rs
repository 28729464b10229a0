//! Monotonic time for the reducer.
//!
//! The reducer never reads a clock: each event is applied together with the time at which it
//! happened, counted from the start of the process.

use std::ops::{Add, Sub};
use std::time::Duration;

/// A point in time on the monotonic clock of one process.
///
/// ```
/// use dotterelhoist_core::clock::Instant;
/// use std::time::Duration;
///
/// let start = Instant::from_millis(10);
/// assert_eq!(start + Duration::from_millis(5), Instant::from_millis(15));
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Instant(Duration);

impl Instant {
    /// A time beyond the life of any process, for limits that never expire.
    pub const NEVER: Instant = Instant(Duration::from_secs(u32::MAX as u64 * 1000));

    /// The time `millis` milliseconds after the start of the process.
    pub const fn from_millis(millis: u64) -> Instant {
        Instant(Duration::from_millis(millis))
    }

    /// The time `elapsed` after the start of the process.
    pub const fn after(elapsed: Duration) -> Instant {
        Instant(elapsed)
    }

    /// Milliseconds since the start of the process.
    pub fn as_millis(self) -> u64 {
        self.0.as_millis() as u64
    }

    /// Time from `earlier` to this time, zero if `earlier` is later.
    pub fn since(self, earlier: Instant) -> Duration {
        self.0.saturating_sub(earlier.0)
    }

    /// The time `span` before this one, or the start of the process if that is later.
    pub fn before(self, span: Duration) -> Instant {
        Instant(self.0.saturating_sub(span))
    }
}

impl Add<Duration> for Instant {
    type Output = Instant;

    fn add(self, span: Duration) -> Instant {
        Instant(self.0 + span)
    }
}

impl Sub<Instant> for Instant {
    type Output = Duration;

    fn sub(self, earlier: Instant) -> Duration {
        self.since(earlier)
    }
}
