//! Retries: whether a failed attempt is repeated, and which routes are left alone.
//!
//! Retries come from a budget that fills with new requests, so that they can never multiply the
//! load, whatever fails. A route that fails is ejected for a time that doubles with each further
//! failure; after that time one request at a time may try it.

use std::time::Duration;

use crate::clock::Instant;

/// Time for which a route is ejected after its first failure.
const EJECTION: Duration = Duration::from_millis(1000);
/// Longest time for which a route is ejected.
const EJECTION_MAX: Duration = Duration::from_secs(30);
/// Retries that may be saved up.
const BUDGET_MAX: f64 = 20.0;
/// Attempts for one request.
pub const ATTEMPTS_MAX: u32 = 4;

/// Retries that may still be made.
///
/// ```
/// use dotterelhoist_core::retry::Budget;
///
/// let mut budget = Budget::new(0.5);
/// assert!(!budget.withdraw());
/// budget.deposit();
/// budget.deposit();
/// assert!(budget.withdraw());
/// assert!(!budget.withdraw());
/// ```
#[derive(Clone, Debug)]
pub struct Budget {
    ratio: f64,
    saved: f64,
}

impl Budget {
    /// An empty budget that gains `ratio` retries with each request.
    pub fn new(ratio: f64) -> Budget {
        Budget { ratio, saved: 0.0 }
    }

    /// Notes a new request.
    pub fn deposit(&mut self) {
        self.saved = (self.saved + self.ratio).min(BUDGET_MAX);
    }

    /// Takes one retry; false if there is none left.
    pub fn withdraw(&mut self) -> bool {
        let available = self.saved >= 1.0 - 1e-9;
        if available {
            self.saved -= 1.0;
        }
        available
    }
}

/// Health of a route as one daemon has seen it.
#[derive(Clone, Debug, Default)]
pub struct Health {
    failures: u32,
    until: Option<Instant>,
    trial: bool,
}

impl Health {
    /// Whether a request may be sent while `running` others of this daemon run there.
    pub fn admits(&self, now: Instant, running: u32) -> bool {
        match self.until {
            None => true,
            Some(until) => now >= until && !self.trial && running == 0,
        }
    }

    /// Notes that a request was sent.
    pub fn record_sent(&mut self) {
        if self.until.is_some() {
            self.trial = true;
        }
    }

    /// Notes a whole answer.
    pub fn record_success(&mut self) {
        *self = Health::default();
    }

    /// Notes that a request ended in a way that says nothing about the route.
    pub fn record_inconclusive(&mut self) {
        self.trial = false;
    }

    /// Notes a failure; true if it ejects the route anew.
    pub fn record_failure(&mut self, now: Instant) -> bool {
        if self.until.is_some_and(|until| now < until) {
            return false;
        }
        let doubling = self.failures.min(5);
        self.failures += 1;
        self.trial = false;
        self.until = Some(now + (EJECTION * (1 << doubling)).min(EJECTION_MAX));
        true
    }

    /// Whether the route is ejected at `now`.
    pub fn is_ejected(&self, now: Instant) -> bool {
        self.until.is_some_and(|until| now < until)
    }
}
