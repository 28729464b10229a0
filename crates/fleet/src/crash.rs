//! Requests that crash the endpoints that run them.
//!
//! A request is known by a hash of its content, because its caller sends it again under a new id. An
//! entry daemon that loses an answer doubts the request ([`Doubts`]); if the endpoint then turns out to
//! have ended, the loss counts as a crash. Control daemons add up the crashes ([`Crashes`]) and tell all
//! entry daemons which requests are to be refused. The other requests that ran on the endpoint are
//! counted once too, but only the one at fault is counted again.

use std::collections::BTreeMap;
use std::time::Duration;

use dotterelhoist_core::clock::Instant;

use crate::Name;

/// Crashes after which a request is refused.
const CRASHES_MAX: u32 = 3;
/// Time for which crashes are remembered.
const MEMORY: Duration = Duration::from_secs(120);
/// Time within which an endpoint must turn out to have ended for a loss to count.
const DOUBT: Duration = Duration::from_secs(4);
/// Requests that are remembered at most.
const REMEMBERED_MAX: usize = 20_000;

/// Requests whose answers were lost, until it is known whether their endpoints have ended.
#[derive(Debug, Default)]
pub struct Doubts {
    doubts: Vec<(u64, Name, Instant)>,
}

impl Doubts {
    /// Notes that the answer of a request was lost.
    pub fn note(&mut self, fingerprint: u64, endpoint: Name, now: Instant) {
        self.doubts.push((fingerprint, endpoint, now));
    }

    /// Takes out the requests whose endpoints have ended.
    pub fn settle<Ended>(&mut self, now: Instant, ended: Ended) -> Vec<u64>
    where
        Ended: Fn(&Name) -> bool,
    {
        let mut crashed = Vec::new();
        self.doubts.retain(|(fingerprint, endpoint, since)| {
            if ended(endpoint) {
                crashed.push(*fingerprint);
                return false;
            }
            now.since(*since) < DOUBT
        });
        crashed
    }
}

/// Crashes by request.
#[derive(Debug, Default)]
pub struct Crashes {
    counts: BTreeMap<u64, (u32, Instant)>,
}

impl Crashes {
    /// Counts a crash.
    pub fn record(&mut self, fingerprint: u64, now: Instant) {
        if self.counts.len() >= REMEMBERED_MAX {
            self.counts.retain(|_, (count, _)| *count > 1);
        }
        let (count, last) = self.counts.entry(fingerprint).or_insert((0, now));
        *count += 1;
        *last = now;
    }

    /// Requests that are to be refused.
    ///
    /// ```
    /// use dotterelhoist_core::clock::Instant;
    /// use dotterelhoist_fleet::crash::Crashes;
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
        let many = self.counts.iter().filter(|(_, (count, _))| *count >= CRASHES_MAX);
        many.map(|(fingerprint, _)| *fingerprint).collect()
    }

    /// Forgets crashes that are long past.
    pub fn expire(&mut self, now: Instant) {
        self.counts.retain(|_, (_, last)| now.since(*last) < MEMORY);
    }
}
