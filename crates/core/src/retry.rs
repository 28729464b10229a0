//! Retry budget, and ejection of failing routes.
//!
//! Each retry is withdrawn from a budget to which new requests deposit, so retries can't multiply
//! the load, whatever fails. A route that fails is ejected for a time that doubles with each
//! further failure; after that time one probe request at a time may be sent to it until one
//! succeeds.

use std::time::Duration;

use crate::clock::Instant;

/// Time for which a route is ejected after its first failure; a probe request may be sent then.
const EJECTION_MIN: Duration = Duration::from_millis(1000);
/// Upper limit of the ejection time, at which it no longer doubles.
const EJECTION_MAX: Duration = Duration::from_secs(30);
/// Largest number of retries that a [`Budget`] accumulates; further deposits are lost.
const BALANCE_MAX: f64 = 20.0;
/// Attempts for one request, including the first; a request whose last attempt fails is refused.
pub const ATTEMPTS_MAX: u32 = 4;

/// Retry budget of a daemon.
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
    /// Retries gained with each new request.
    ratio: f64,
    /// Retries that may still be made.
    balance: f64,
}

impl Budget {
    /// Creates an empty budget that gains `ratio` retries with each new request.
    pub fn new(ratio: f64) -> Budget {
        Budget { ratio, balance: 0.0 }
    }

    /// Adds the share of a new request to the budget.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + self.ratio).min(BALANCE_MAX);
    }

    /// Takes one retry from the budget; returns false if it has none left.
    pub fn withdraw(&mut self) -> bool {
        // Deposits that add up to one retry may fall short of 1.0 by a rounding error.
        let available = self.balance >= 1.0 - 1e-9;
        if available {
            self.balance -= 1.0;
        }
        available
    }
}

/// Health of a route, judged by the requests that this daemon has sent to it.
#[derive(Clone, Debug, Default)]
pub struct Health {
    /// Ejections since the last success.
    ejections: u32,
    /// End of the last ejection, none if there was no failure since the last success.
    ejected_until: Option<Instant>,
    /// Whether a probe request is in flight after an ejection.
    probe_in_flight: bool,
}

impl Health {
    /// Whether a request may be sent to the route while `running` other requests of this daemon run
    /// there. After an ejection only a single probe request is admitted.
    pub fn admits(&self, now: Instant, running: u32) -> bool {
        match self.ejected_until {
            None => true,
            Some(until) => now >= until && !self.probe_in_flight && running == 0,
        }
    }

    /// Records that a request was sent to the route.
    pub fn record_sent(&mut self) {
        if self.ejected_until.is_some() {
            self.probe_in_flight = true;
        }
    }

    /// Records a complete answer, which ends any ejection.
    pub fn record_success(&mut self) {
        *self = Health::default();
    }

    /// Records that a request ended without evidence for or against the route, for example because
    /// the caller closed the connection.
    pub fn record_inconclusive(&mut self) {
        self.probe_in_flight = false;
    }

    /// Records a failure; returns whether it ejects the route. Failures of requests that were
    /// already in flight during an ejection do not extend it.
    pub fn record_failure(&mut self, now: Instant) -> bool {
        if self.ejected_until.is_some_and(|until| now < until) {
            return false;
        }
        let doublings = self.ejections.min(5);
        self.ejections += 1;
        self.probe_in_flight = false;
        self.ejected_until = Some(now + (EJECTION_MIN * (1 << doublings)).min(EJECTION_MAX));
        true
    }

    /// Whether the route is ejected at `now`.
    pub fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }
}
