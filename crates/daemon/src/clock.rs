//! The monotonic clock of the process.

use std::sync::OnceLock;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use dotterelhoist_core::clock::Instant;

/// Where the clock starts, so that "long ago" lies before the start of the process.
const OFFSET: Duration = Duration::from_secs(3600);

static START: OnceLock<std::time::Instant> = OnceLock::new();

/// Now, on the monotonic clock.
///
/// ```
/// let earlier = dotterelhoist_daemon::clock::now();
/// assert!(dotterelhoist_daemon::clock::now() >= earlier);
/// ```
pub fn now() -> Instant {
    let start = START.get_or_init(std::time::Instant::now);
    Instant::after(OFFSET + start.elapsed())
}

/// The moment at which the process clock will show `instant`.
pub(crate) fn system(instant: Instant) -> std::time::Instant {
    let start = START.get_or_init(std::time::Instant::now);
    *start + instant.since(Instant::after(OFFSET))
}

/// Time since the Unix epoch.
pub(crate) fn unix() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}
