//! Limit on repeats.
//!
//! Every entry daemon has a bucket for each service. Each request puts a part of a token into it, each
//! repeat takes one. All buckets together stay below the limit of the deployment.

use std::collections::BTreeMap;

use crate::Name;

/// Buckets of tokens by service.
#[derive(Clone, Debug)]
pub struct Budget {
    ratio: f64,
    burst: f64,
    tokens: BTreeMap<Name, f64>,
}

impl Budget {
    /// Creates full buckets: `ratio` tokens for a request, `burst` tokens at most.
    pub fn new(ratio: f64, burst: f64) -> Budget {
        Budget { ratio, burst, tokens: BTreeMap::new() }
    }

    /// Sets the most tokens that a bucket holds.
    pub fn set_burst(&mut self, burst: f64) {
        self.burst = burst;
    }

    /// Notes a request for a service.
    pub fn deposit(&mut self, service: &Name) {
        let burst = self.burst;
        let tokens = self.tokens.entry(service.clone()).or_insert(burst);
        *tokens = (*tokens + self.ratio).min(burst);
    }

    /// Whether there is a token for a repeat.
    pub fn allows(&self, service: &Name) -> bool {
        self.tokens.get(service).copied().unwrap_or(self.burst) >= 1.0
    }

    /// Takes a token for a repeat; false if there is none.
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
