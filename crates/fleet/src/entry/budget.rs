//! Retry budget.
//!
//! Every entry daemon has a token bucket for each service. Each request adds a fraction of a token,
//! each retry takes one token. Each bucket holds a part of the limit of the deployment, so that all
//! entry daemons together stay below it.

use std::collections::BTreeMap;

use crate::Name;

/// Token buckets by service.
#[derive(Clone, Debug)]
pub struct Budget {
    /// Tokens that each request adds.
    ratio: f64,
    /// Capacity of a bucket.
    burst: f64,
    /// Tokens in each bucket; a service without an entry has a full one.
    tokens: BTreeMap<Name, f64>,
}

impl Budget {
    /// Creates full buckets that hold at most `burst` tokens and gain `ratio` tokens with each
    /// request.
    pub fn new(ratio: f64, burst: f64) -> Budget {
        Budget { ratio, burst, tokens: BTreeMap::new() }
    }

    /// Sets the number of tokens that a bucket holds at most.
    pub fn set_burst(&mut self, burst: f64) {
        self.burst = burst;
    }

    /// Adds the tokens for one request to a service.
    pub fn deposit(&mut self, service: &Name) {
        let burst = self.burst;
        let tokens = self.tokens.entry(service.clone()).or_insert(burst);
        *tokens = (*tokens + self.ratio).min(burst);
    }

    /// Whether there is a token for a retry, without taking it.
    pub fn allows(&self, service: &Name) -> bool {
        self.tokens.get(service).copied().unwrap_or(self.burst) >= 1.0
    }

    /// Takes a token for a retry; returns false if there is none, and the retry must not be made.
    ///
    /// ```
    /// use dotterelhoist_fleet::entry::budget::Budget;
    ///
    /// let mut budget = Budget::new(0.1, 1.0);
    /// assert!(budget.withdraw(&"s".into()));
    /// assert!(!budget.withdraw(&"s".into()));
    /// ```
    pub fn withdraw(&mut self, service: &Name) -> bool {
        let burst = self.burst;
        let tokens = self.tokens.entry(service.clone()).or_insert(burst);
        if *tokens < 1.0 {
            return false;
        }
        *tokens -= 1.0;
        true
    }
}
