//! The clock and the random source of a process.
//!
//! The clock also advances while the VM is suspended, so that leases expire and ages grow
//! meanwhile.

use std::time::Duration;

use dotterelhoist_core::clock::Instant;
use rustix::time::{clock_gettime, ClockId};

/// Added to the time since boot, so that subtracting a duration from a time shortly after boot does
/// not saturate at zero.
const OFFSET: Duration = Duration::from_secs(3600);

/// Time since the VM booted, plus a constant offset.
///
/// ```
/// let earlier = dotterelhoist_gateway::clock::now();
/// assert!(dotterelhoist_gateway::clock::now() >= earlier);
/// ```
pub fn now() -> Instant {
    let time = clock_gettime(ClockId::Boottime);
    Instant::after(OFFSET + Duration::new(time.tv_sec as u64, time.tv_nsec as u32))
}

/// A random number from the operating system; if that fails, a number derived from the clock.
pub fn random_u64() -> u64 {
    getrandom::u64().unwrap_or_else(|_| now().as_millis() | 1)
}
