//! The monotonic clock of the process, which provides the reducer's times, and the wall clock.

use std::sync::OnceLock;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use dotterelhoist_core::clock::Instant;

/// Reading of the clock at its first use. It isn't zero, so that times of up to one hour before the
/// start of the process can be represented.
const START_OFFSET: Duration = Duration::from_secs(3600);

/// Moment of the first use of the clock.
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

/// Converts a time on the monotonic clock to the standard library's type, which timers take.
pub(crate) fn to_std(instant: Instant) -> std::time::Instant {
    let start = START.get_or_init(std::time::Instant::now);
    *start + instant.since(Instant::after(START_OFFSET))
}

/// Wall-clock time since the Unix epoch, zero if the clock is set to before it.
pub(crate) fn since_unix_epoch() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}
