//! Random series of endpoints that end, alone and together, entry daemons that are cut off, and daemons
//! that are suspended or started anew; then one prompt segment ends endpoints too.
//!
//! The variable `SOAK_SEEDS` sets the number of seeds, for runs by hand.

use std::time::Duration;

use dotterelhoist_fleet::entry::Reason;
use dotterelhoist_fleet::Name;

use crate::crashing::{late_arrivals, served_share};
use crate::network::{control_name, Network};
use crate::{LARGE, SECOND, SMALL};

/// Seeds in CI.
const SEEDS: u64 = 6;
/// Events before the segment ends endpoints, and as many afterwards.
const EVENTS: usize = 14;
/// One request in so many has the segment.
const CRASHING_EVERY: u64 = 9;
/// Requests with the segment that may reach endpoints after the time in which it must be found.
const LATE_ARRIVALS_MAX: usize = 3;
/// Share of the other requests that must be served in the end.
const SHARE_MIN: f64 = 0.98;

struct Soak {
    network: Network,
    /// State of the random number generator.
    random: u64,
    entry_daemons: u64,
    /// Number of disks of control daemons so far.
    disks: u32,
}

impl Soak {
    fn open(seed: u64) -> Soak {
        let shape = if seed % 3 == 2 { LARGE } else { SMALL };
        let mut network = Network::open_serving(shape);
        network.cut_hangs = seed.is_multiple_of(2);
        let random = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
        Soak { network, random, entry_daemons: shape.entry_daemons as u64, disks: 0 }
    }

    fn random(&mut self, limit: u64) -> u64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        (self.random >> 16) % limit
    }

    /// A control daemon may be suspended or lose its disk only while the segment does not end endpoints
    /// yet: without a stable core it need not be found.
    fn run(&mut self, with_control: bool) {
        for _ in 0..EVENTS {
            match self.random(if with_control { 6 } else { 4 }) {
                0 => self.crash(),
                1 => self.network.cut_entry(self.random as usize % self.entry_daemons as usize),
                2 => self.network.cut.clear(),
                3 => self.network.restart_entry(self.random as usize % self.entry_daemons as usize),
                4 => self.suspend(),
                _ => self.lose_disk(),
            }
            let pause = Duration::from_millis(self.random(800));
            self.network.run_until(pause, |_| false);
        }
    }

    /// Ends up to four endpoints at once.
    fn crash(&mut self) {
        let ids: Vec<Name> = self.network.endpoints.keys().cloned().collect();
        for _ in 0..1 + self.random(4) {
            let id = ids[self.random(ids.len() as u64) as usize].clone();
            self.network.crash(&id);
        }
    }

    fn suspend(&mut self) {
        self.network.down.clear();
        let name = control_name(self.random(3) as usize);
        self.network.down.insert(name);
    }

    fn lose_disk(&mut self) {
        if self.network.down.is_empty() && self.disks == 0 {
            self.disks += 1;
            let index = self.random(3) as usize;
            self.network.restart_control(index, self.disks);
        }
    }

    fn refused_as_crashing(&self) -> usize {
        let refusals = self.network.refusals.iter();
        refusals.filter(|(_, refusal)| refusal.reason == Reason::Crashing).count()
    }
}

#[test]
fn only_a_segment_that_ends_endpoints_is_refused_whatever_else_fails() {
    let seeds = std::env::var("SOAK_SEEDS").ok().and_then(|seeds| seeds.parse().ok());
    let mut failed = Vec::new();
    for seed in 0..seeds.unwrap_or(SEEDS) {
        let mut soak = Soak::open(seed);
        soak.run(true);
        let wrongly_refused = soak.refused_as_crashing();
        soak.network.down.clear();
        soak.network.run_until(SECOND * 4, |_| false);
        soak.network.crashing.every = Some(CRASHING_EVERY);
        let since = soak.network.now;
        soak.run(false);
        soak.network.cut.clear();
        soak.network.run_until(SECOND * 6, |_| false);
        let share = served_share(&soak.network, SECOND * 2);
        let late = late_arrivals(&soak.network, since);
        let ends = soak.network.crashing.ends.len();
        println!("seed {seed}: {ends} ends, {late} late, {} relayed", soak.network.relay_count);
        if wrongly_refused > 0 || late > LATE_ARRIVALS_MAX || share < SHARE_MIN {
            failed.push(format!(
                "seed {seed}: {wrongly_refused} wrongly refused, {late} late, {share} served"
            ));
        }
    }
    assert!(failed.is_empty(), "{failed:#?}");
}
