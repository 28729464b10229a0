//! Crashes as entry and control daemons of older builds count them.
//!
//! Such an entry daemon decides by itself whether an endpoint has terminated, and reports the
//! fingerprint of each response that it lost with it ([`Losses`]). Such a control daemon counts these
//! reports ([`Crashes`]). Needed while both builds run side by side.

use std::collections::BTreeMap;
use std::time::Duration;

use dotterelhoist_core::clock::Instant;

use crate::Name;

/// A request is refused once it has crashed this many endpoints.
const CRASH_LIMIT: u32 = 3;
/// Time without a further crash after which a control daemon removes the crash count of a request
/// and no longer lists it as one to refuse.
const CRASH_TTL: Duration = Duration::from_secs(120);
/// Time after an endpoint fell silent before which it is not taken for terminated: one that only
/// pauses may leave the view for a moment.
const SILENCE_MAX: Duration = Duration::from_secs(2);
/// Time after a loss within which the endpoint must be found to have terminated; otherwise the loss
/// is dropped and does not count as a crash.
const CONFIRMATION_WINDOW: Duration = Duration::from_secs(4);
/// Number of requests with crashes at which those with a single crash are dropped, before another
/// crash is recorded.
const TRACKED_REQUESTS_MAX: usize = 20_000;

/// Requests whose responses were lost and whose endpoints are not yet known to have terminated.
#[derive(Debug, Default)]
pub struct Losses {
    losses: Vec<Loss>,
}

/// A lost response.
#[derive(Debug)]
struct Loss {
    /// Fingerprint of the request.
    fingerprint: u64,
    endpoint: Name,
    at: Instant,
    /// From when on it counts as a crash if the endpoint has terminated.
    confirmable_from: Instant,
}

impl Losses {
    /// Records that the response to a request was lost.
    pub fn record(&mut self, fingerprint: u64, endpoint: Name, now: Instant) {
        self.losses.push(Loss { fingerprint, endpoint, at: now, confirmable_from: now });
    }

    /// Records that another endpoint had to answer a request because this one was silent.
    pub fn record_silence(&mut self, fingerprint: u64, endpoint: Name, now: Instant) {
        let confirmable_from = now + SILENCE_MAX;
        self.losses.push(Loss { fingerprint, endpoint, at: now, confirmable_from });
    }

    /// Removes and returns the fingerprints of requests whose endpoints have terminated according
    /// to `has_terminated`, and drops losses older than `CONFIRMATION_WINDOW`.
    pub fn take_crashed<Terminated>(&mut self, now: Instant, has_terminated: Terminated) -> Vec<u64>
    where
        Terminated: Fn(&Name) -> bool,
    {
        let mut crashed = Vec::new();
        self.losses.retain(|loss| {
            if now >= loss.confirmable_from && has_terminated(&loss.endpoint) {
                crashed.push(loss.fingerprint);
                return false;
            }
            now.since(loss.at) < CONFIRMATION_WINDOW
        });
        crashed
    }
}

/// Number of crashes of each request.
#[derive(Debug, Default)]
pub struct Crashes {
    /// Number of crashes and time of the last one, by fingerprint.
    counts: BTreeMap<u64, (u32, Instant)>,
}

impl Crashes {
    /// Counts a crash of a request.
    pub fn record(&mut self, fingerprint: u64, now: Instant) {
        if self.counts.len() >= TRACKED_REQUESTS_MAX {
            self.counts.retain(|_, (count, _)| *count > 1);
        }
        let (count, last) = self.counts.entry(fingerprint).or_insert((0, now));
        *count += 1;
        *last = now;
    }

    /// Fingerprints of the requests to refuse.
    ///
    /// ```
    /// use dotterelhoist_core::clock::Instant;
    /// use dotterelhoist_fleet::crash::older::Crashes;
    ///
    /// let now = Instant::from_millis(1000);
    /// let mut crashes = Crashes::default();
    /// for _ in 0..3 {
    ///     crashes.record(7, now);
    /// }
    /// crashes.record(8, now);
    /// assert_eq!(crashes.refused(), [7]);
    /// ```
    pub fn refused(&self) -> Vec<u64> {
        let crashing = self.counts.iter().filter(|(_, (count, _))| *count >= CRASH_LIMIT);
        crashing.map(|(fingerprint, _)| *fingerprint).collect()
    }

    /// Removes requests whose last crash is older than `CRASH_TTL`.
    pub fn expire(&mut self, now: Instant) {
        self.counts.retain(|_, (_, last)| now.since(*last) < CRASH_TTL);
    }
}
