//! Policies against their baselines, on a simulated clock with the real decision code.

mod admission;
mod repair;
mod retries;
mod routing;

/// Seed of all random numbers.
const SEED: u64 = 20_261_203;

/// Runs all experiments.
pub fn measure() {
    println!("seed {SEED}");
    routing::measure();
    admission::measure();
    retries::measure();
    repair::measure();
}

/// A small generator of random numbers, the same on each run.
struct Random(u64);

impl Random {
    fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }

    /// A number from 0 to 1.
    fn unit(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Milliseconds until the next of events that come at random, `rate` a second.
    fn gap(&mut self, rate: f64) -> f64 {
        -self.unit().max(1e-12).ln() * 1000.0 / rate
    }
}

/// Value at a quantile of a list.
fn quantile(values: &mut [f64], quantile: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    let at = (values.len() as f64 * quantile) as usize;
    values.get(at.min(values.len().saturating_sub(1))).copied().unwrap_or(0.0)
}
