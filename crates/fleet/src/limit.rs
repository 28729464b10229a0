//! Rates of endpoints that limit the requests that they take.

use std::time::Duration;

/// Requests per second that an endpoint is assumed to take if it states fewer, so that its next
/// limit, or the end of the limit, is noticed.
const RATE_MIN: f64 = 0.1;

/// Requests per second to count on for an endpoint that states a limit of `per_second`.
///
/// ```
/// use dotterelhoist_fleet::limit::rate;
///
/// assert_eq!(rate(2.0), 2.0);
/// assert!(rate(0.0) > 0.0);
/// ```
pub fn rate(per_second: f64) -> f64 {
    per_second.max(RATE_MIN)
}

/// Time for each request of an endpoint that states a limit of `per_second`.
///
/// ```
/// use std::time::Duration;
///
/// use dotterelhoist_fleet::limit::slot_length;
///
/// assert_eq!(slot_length(4.0), Duration::from_millis(250));
/// ```
pub fn slot_length(per_second: f64) -> Duration {
    Duration::from_secs_f64(1.0 / rate(per_second))
}
