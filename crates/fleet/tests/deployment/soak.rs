//! Random series of changes and failures: documents of any size in quick succession, suspended
//! control daemons, limits that endpoints state, change and end, and endpoints that start again.
//!
//! The variable `SOAK_SEEDS` sets the number of seeds, for runs by hand.

use std::time::Duration;

use dotterelhoist_core::clock::Instant;
use dotterelhoist_fleet::control::Answer;
use dotterelhoist_fleet::Name;

use crate::limits::{allowed, most_in_a_window};
use crate::network::{document, Network, Shape};
use crate::{LARGE, SECOND, SMALL};

/// Seeds in CI.
const SEEDS: u64 = 6;
const EVENTS: usize = 40;
/// Requests per second of all callers.
const REQUEST_RATE: u32 = 60;
/// Time after the last event within which everything must be in order again.
const SETTLE_TIME: Duration = Duration::from_secs(8);
const ENDPOINTS: [&str; 3] = ["e1", "e2", "e3"];

/// A limit that an endpoint has stated without a change in between.
struct Stated {
    endpoint: &'static str,
    limit: f64,
    since: Instant,
}

struct Soak {
    network: Network,
    /// State of the random number generator.
    random: u64,
    /// Control daemons that may be suspended at once.
    losses: usize,
    last_version: u64,
    /// Tickets of the documents, with their versions.
    puts: Vec<(u64, u64)>,
    /// The limits in force.
    stated: Vec<Stated>,
    violations: Vec<String>,
}

impl Soak {
    fn open(seed: u64) -> Soak {
        let (shape, losses): (Shape, usize) = if seed % 3 == 2 { (LARGE, 2) } else { (SMALL, 1) };
        let mut network = Network::open(shape);
        network.run_until(SECOND * 3, |_| false);
        for id in ENDPOINTS {
            network.start_endpoint(id);
        }
        let puts = vec![(network.put(0, document(1, 100)), 1)];
        assert!(network.run_until(SECOND * 5, |network| network.lagging(1) == 0), "seed {seed}");
        let random = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
        let (stated, violations) = Default::default();
        Soak { network, random, losses, last_version: 1, puts, stated, violations }
    }

    fn random(&mut self, limit: u64) -> u64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        (self.random >> 16) % limit
    }

    fn run(&mut self) {
        let span = SECOND * 2 * EVENTS as u32;
        self.network.send_requests(REQUEST_RATE, span);
        for _ in 0..EVENTS {
            match self.random(6) {
                0 => self.suspend(),
                1 => self.resume(),
                2 | 3 => self.put_series(),
                4 => self.state_limit(),
                _ => self.restart_endpoint(),
            }
            let pause = Duration::from_millis(self.random(1500));
            self.network.run_until(pause, |_| false);
        }
        self.network.down.clear();
        self.network.run_until(SETTLE_TIME, |_| false);
        self.check_documents();
        for stated in std::mem::take(&mut self.stated) {
            self.check_limit(&stated);
        }
    }

    fn suspend(&mut self) {
        let running = self.running();
        let suspended = self.network.control.len() - running.len();
        if suspended < self.losses {
            let at = self.random(running.len() as u64) as usize;
            self.network.down.insert(running[at].1.clone());
        }
    }

    fn resume(&mut self) {
        self.network.down.pop_first();
    }

    /// Sends up to four documents of different sizes to any daemons in quick succession.
    fn put_series(&mut self) {
        for _ in 0..1 + self.random(4) {
            self.last_version += 1 + self.random(3);
            let routes = self.random(4500) as usize;
            let running = self.running();
            let (index, _) = running[self.random(running.len() as u64) as usize];
            let ticket = self.network.put(index, document(self.last_version, routes));
            self.puts.push((ticket, self.last_version));
            let gap = Duration::from_millis(self.random(300));
            self.network.run_until(gap, |_| false);
        }
    }

    /// Changes or ends the limit of an endpoint.
    fn state_limit(&mut self) {
        let endpoint = ENDPOINTS[self.random(3) as usize];
        let limit = [None, Some(0.5), Some(1.7), Some(6.0)][self.random(4) as usize];
        self.end_limit(endpoint);
        let since = self.network.now;
        let state = self.network.endpoints.get_mut(endpoint).expect("it was started");
        state.limit = limit;
        state.told.clear();
        self.stated.extend(limit.map(|limit| Stated { endpoint, limit, since }));
    }

    fn restart_endpoint(&mut self) {
        let endpoint = ENDPOINTS[self.random(3) as usize];
        self.end_limit(endpoint);
        self.network.start_endpoint(endpoint);
    }

    fn end_limit(&mut self, endpoint: &str) {
        if let Some(at) = self.stated.iter().position(|stated| stated.endpoint == endpoint) {
            let stated = self.stated.remove(at);
            self.check_limit(&stated);
        }
    }

    fn check_limit(&mut self, stated: &Stated) {
        let most = most_in_a_window(&self.network, stated.endpoint, stated.since);
        if most > allowed(stated.limit) {
            let (id, limit) = (stated.endpoint, stated.limit);
            self.violations.push(format!("{id} got {most} requests in 4 s at a limit of {limit}"));
        }
    }

    /// Every acknowledged document, or a newer one, is in force on all daemons.
    fn check_documents(&mut self) {
        let network = &self.network;
        let accepted =
            self.puts.iter().filter(|(ticket, _)| network.accepted_at(*ticket).is_some());
        let newest = accepted.map(|(_, version)| *version).max().unwrap_or(0);
        let lagging = network.lagging(newest);
        if lagging > 0 {
            self.violations.push(format!("version {newest} is not in force on {lagging} daemons"));
        }
        let refused = self.puts.iter().filter(|(ticket, _)| {
            matches!(network.answers.get(ticket), Some((_, Answer::Invalid(_))))
        });
        let refused: Vec<u64> = refused.map(|(_, version)| *version).collect();
        if !refused.is_empty() {
            self.violations.push(format!("valid versions {refused:?} were refused"));
        }
        for (name, state) in &network.control {
            let version = state.state_machine().version();
            if version < newest {
                self.violations.push(format!("{name} has version {version}, not {newest}"));
            }
        }
    }

    /// Index and name of the control daemons that are not suspended.
    fn running(&self) -> Vec<(usize, Name)> {
        let all = (0..self.network.control.len())
            .map(|index| (index, crate::network::control_name(index)));
        all.filter(|(_, name)| !self.network.down.contains(name)).collect()
    }
}

#[test]
fn changes_and_failures_in_any_order_keep_documents_and_limits() {
    let seeds = std::env::var("SOAK_SEEDS").ok().and_then(|seeds| seeds.parse().ok());
    let mut failed = Vec::new();
    for seed in 0..seeds.unwrap_or(SEEDS) {
        let mut soak = Soak::open(seed);
        soak.run();
        println!("seed {seed}: {} documents, {} requests", soak.puts.len(), soak.network.answered);
        if !soak.violations.is_empty() {
            failed.push(format!("seed {seed}: {:?}", soak.violations));
        }
    }
    assert!(failed.is_empty(), "{failed:#?}");
}
