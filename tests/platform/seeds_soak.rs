//! Random series of restarts, exchanges of the seeds, lost disks, frozen daemons, and changes of the
//! document that are in flight while daemons are killed.
//!
//! The variable `SOAK_SEEDS` sets the number of seeds, for runs by hand.

use std::time::Duration;

use rstest::rstest;

use super::daemon::Build;
use super::seeds::{ControlPlane, ALL};

/// Seeds in CI.
const SEEDS: u64 = 4;
/// Cases among which the seeds are divided, so that some run at the same time.
const CASES: usize = 4;
/// Steps of a series.
const STEPS: usize = 10;
/// Longest time for which daemons are frozen.
const FREEZE_MS: u64 = 1500;
/// Longest pause between two restarts in turn.
const RESTART_PAUSE_MS: u64 = 400;
/// Longest time for which a change is on its way before its daemon is killed.
const FORWARD_MS: u64 = 300;

struct Soak {
    plane: ControlPlane,
    random: fastrand::Rng,
    /// Builds as which daemons are started again.
    builds: &'static [Build],
    /// Seeds that the settings name.
    seeds: Vec<usize>,
    /// Whether a disk may still be lost.
    may_lose_disk: bool,
}

impl Soak {
    fn start(seed: u64, builds: &'static [Build]) -> Soak {
        Soak {
            plane: ControlPlane::start(Build::Present),
            random: fastrand::Rng::with_seed(seed),
            builds,
            seeds: vec![0, 1, 2],
            may_lose_disk: true,
        }
    }

    fn run(mut self) {
        for _ in 0..STEPS {
            self.step();
            if self.random.u32(..3) == 0 {
                self.plane.check();
            }
        }
        self.plane.check();
    }

    fn step(&mut self) {
        match self.random.u32(..6) {
            0 => self.exchange_seeds(),
            1 => self.restart_some(),
            2 => self.restart_in_turn(),
            3 if self.may_lose_disk => self.lose_disk(),
            4 => self.freeze(),
            _ => self.kill_with_changes_in_flight(),
        }
    }

    fn exchange_seeds(&mut self) {
        let count = self.random.usize(1..=3);
        self.seeds = self.draw(count);
        self.restart(&ALL);
    }

    fn restart_some(&mut self) {
        let count = self.random.usize(1..=ALL.len());
        let daemons = self.draw(count);
        self.restart(&daemons);
    }

    fn restart_in_turn(&mut self) {
        for index in self.draw(ALL.len()) {
            self.restart(&[index]);
            self.pause(RESTART_PAUSE_MS);
        }
    }

    fn lose_disk(&mut self) {
        self.may_lose_disk = false;
        self.plane.check();
        let lost = self.draw(1);
        self.plane.kill(&lost);
        self.plane.empty_disk(lost[0]);
        self.restart(&lost);
    }

    fn freeze(&mut self) {
        let frozen = self.draw(2);
        self.plane.freeze(&frozen);
        self.pause(FREEZE_MS);
        self.plane.resume(&frozen);
    }

    /// Freezes two daemons, of which one may lead, kills a third one with a change on its way, and puts
    /// another change at its next process.
    fn kill_with_changes_in_flight(&mut self) {
        let daemons = self.draw(3);
        let (through, frozen) = (daemons[0], &daemons[1..]);
        self.plane.freeze(frozen);
        let first = self.plane.put_in_background(through);
        self.pause(FORWARD_MS);
        self.plane.restart(Build::Present, &[through], &self.seeds);
        let second = self.plane.put_in_background(through);
        self.pause(FORWARD_MS);
        self.plane.resume(frozen);
        self.plane.await_changes([first, second]);
    }

    /// So many different daemons.
    fn draw(&mut self, count: usize) -> Vec<usize> {
        let mut daemons = ALL.to_vec();
        self.random.shuffle(&mut daemons);
        daemons.truncate(count);
        daemons
    }

    /// Kills these daemons, and starts them as one of the builds.
    fn restart(&mut self, daemons: &[usize]) {
        let build = self.builds[self.random.usize(..self.builds.len())];
        self.plane.restart(build, daemons, &self.seeds);
    }

    fn pause(&mut self, limit_ms: u64) {
        let pause = self.random.u64(..limit_ms);
        std::thread::sleep(Duration::from_millis(pause));
    }
}

#[rstest]
fn restarts_and_exchanges_in_any_order_keep_what_was_acknowledged(
    #[values(&[Build::Present], &[Build::Present, Build::Other])] builds: &'static [Build],
    #[values(0, 1, 2, 3)] case: u64,
) {
    let seeds = std::env::var("SOAK_SEEDS").ok().and_then(|seeds| seeds.parse().ok());
    for seed in (case..seeds.unwrap_or(SEEDS)).step_by(CASES) {
        println!("seed {seed} with builds {builds:?}");
        Soak::start(seed, builds).run();
    }
}
