//! The clock of a process.
//!
//! It counts the time for which the VM was suspended, so leases and ages end while it sleeps.

use std::time::Duration;

use dotterelhoist_core::clock::Instant;
use rustix::time::{clock_gettime, ClockId};

/// Added to the clock, so that no span reaches back before its zero.
const OFFSET: Duration = Duration::from_secs(3600);

/// Now, since the start of the VM.
///
/// ```
/// let earlier = dotterelhoist_gateway::clock::now();
/// assert!(dotterelhoist_gateway::clock::now() >= earlier);
/// ```
pub fn now() -> Instant {
    let time = clock_gettime(ClockId::Boottime);
    Instant::after(OFFSET + Duration::new(time.tv_sec as u64, time.tv_nsec as u32))
}

/// A random number from the system.
pub fn random_u64() -> u64 {
    getrandom::u64().unwrap_or_else(|_| now().as_millis() | 1)
}
