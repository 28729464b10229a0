//! The monotonic clock of the process, on which the reducer's times are based, and the wall clock.

use std::sync::OnceLock;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use dotterelhoist_core::clock::Instant;

/// Reading of the clock at its first use. Times of up to one hour before the start of the process
/// can thus be represented.
const START_OFFSET: Duration = Duration::from_secs(3600);

/// System time of the first use of the clock.
static START: OnceLock<std::time::Instant> = OnceLock::new();

/// Current time on the monotonic clock.
///
/// ```
/// let earlier = dotterelhoist_daemon::clock::now();
/// assert!(dotterelhoist_daemon::clock::now() >= earlier);
/// ```
pub fn now() -> Instant {
    let start = START.get_or_init(std::time::Instant::now);
    Instant::after(START_OFFSET + start.elapsed())
}

/// Converts a time on the monotonic clock to the type that timers take.
pub(crate) fn to_system(instant: Instant) -> std::time::Instant {
    let start = START.get_or_init(std::time::Instant::now);
    *start + instant.since(Instant::after(START_OFFSET))
}

/// Wall-clock time since the Unix epoch, zero if the clock is set to before it.
pub(crate) fn since_unix_epoch() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}
