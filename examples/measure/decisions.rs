//! Comparisons of the daemon's policies with simpler ones, on a simulated clock. The simulations
//! run the same policy code as the daemon.

mod admission;
mod repair;
mod retries;
mod routing;

/// Seed of the pseudo-random numbers of each simulation.
const SEED: u64 = 20_261_203;

/// Prints the results of all comparisons.
pub fn measure() {
    println!("seed {SEED}");
    routing::measure();
    admission::measure();
    retries::measure();
    repair::measure();
}

/// Pseudo-random number generator (xorshift64), which gives the same numbers on each run.
struct Random(u64);

impl Random {
    /// Returns 64 random bits.
    fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }

    /// Returns a uniformly distributed number from 0, inclusive, to 1, exclusive.
    fn unit(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Returns the milliseconds between two events of a Poisson process with `rate` events per
    /// second.
    fn interval_ms(&mut self, rate: f64) -> f64 {
        -self.unit().max(1e-12).ln() * 1000.0 / rate
    }
}

/// Sorts `values` and returns the one at `quantile`, which is from 0 to 1; 0 if there are none.
fn quantile(values: &mut [f64], quantile: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    let index = (values.len() as f64 * quantile) as usize;
    values.get(index.min(values.len().saturating_sub(1))).copied().unwrap_or(0.0)
}
