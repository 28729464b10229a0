//! Control daemons whose disks are full for some seconds, one after another, while changes come.
//!
//! The variable `SOAK_SEEDS` sets the number of seeds, for runs by hand.

use std::time::Duration;

use rstest::rstest;

use super::daemon::Build;
use super::seeds::{ControlPlane, ALL, FIRST};

/// Part of the log lines about failed writes.
const DISK_ERROR: &str = r#""event":"disk error""#;
/// Failed writes after which a disk has been full for some time: one each 250 ms.
const FAILED_WRITES: usize = 10;
/// Changes that are put while a disk is full.
const CHANGES: usize = 4;
/// Seeds in CI.
const SEEDS: u64 = 4;
/// Cases among which the seeds are divided, so that some run at the same time.
const CASES: usize = 4;
/// Disks that become full in a series.
const STEPS: usize = 6;
/// Longest pause after a disk has room again.
const PAUSE_MS: u64 = 600;

/// Which disks become full in turn.
#[derive(Clone, Copy, Debug)]
enum Turn {
    /// Those of the first voters.
    FirstVoters,
    /// Those of all control daemons, of which only three are voters at a time.
    All,
    /// That of the leader, again and again.
    Leaders,
}

/// Fills a disk while changes are put at all daemons, and waits until it has refused writes for some time.
fn fill(plane: &mut ControlPlane, index: usize) {
    plane.set_full(index, true);
    let before = plane.count_logged(index, DISK_ERROR);
    let others: Vec<usize> = ALL.into_iter().filter(|other| *other != index).collect();
    for round in 0..CHANGES {
        let at_full = plane.put_in_background(index);
        let at_other = plane.put_in_background(others[round % others.len()]);
        plane.await_changes([at_full, at_other]);
    }
    plane.check();
    let refused =
        plane.poll(|plane| plane.count_logged(index, DISK_ERROR) >= before + FAILED_WRITES);
    assert!(refused, "the disk of daemon {index} has refused no writes");
}

/// Guards against Acks and CONFIG: after disks had been full one after another, changes stayed unanswered for good.
#[rstest]
fn disks_full_one_after_another_hold_up_no_change_afterwards(
    #[values(Turn::FirstVoters, Turn::All, Turn::Leaders)] turn: Turn,
    #[values(false, true)] killed_while_full: bool,
) {
    let mut plane = ControlPlane::start_on_disks(Build::Present);
    for round in 0..ALL.len() {
        let index = match turn {
            Turn::FirstVoters => FIRST[round % FIRST.len()],
            Turn::All => ALL[round],
            Turn::Leaders => {
                let leader = ALL.into_iter().find(|index| plane.leads(*index));
                leader.expect("a leader")
            }
        };
        fill(&mut plane, index);
        if killed_while_full {
            plane.restart_on_full_disk(index, &FIRST);
        }
        plane.set_full(index, false);
        plane.revive(&FIRST);
        plane.check();
    }
    plane.check_each();
}

/// The same in random series, beside kills, freezes and changes in flight.
#[rstest]
fn disks_full_in_any_order_keep_what_was_acknowledged(#[values(0, 1, 2, 3)] case: u64) {
    let seeds = std::env::var("SOAK_SEEDS").ok().and_then(|seeds| seeds.parse().ok());
    for seed in (case..seeds.unwrap_or(SEEDS)).step_by(CASES) {
        println!("seed {seed}");
        let mut random = fastrand::Rng::with_seed(seed);
        let mut plane = ControlPlane::start_on_disks(Build::Present);
        for _ in 0..STEPS {
            step(&mut plane, &mut random);
        }
        plane.check_each();
    }
}

fn step(plane: &mut ControlPlane, random: &mut fastrand::Rng) {
    let mut order = ALL.to_vec();
    random.shuffle(&mut order);
    let (index, other) = (order[0], order[1]);
    plane.set_full(index, true);
    let change = plane.put_in_background(index);
    match random.u32(..6) {
        0 => plane.restart_on_full_disk(index, &FIRST),
        1 => plane.restart(Build::Present, &[other], &FIRST),
        2 => {
            plane.freeze(&[other]);
            std::thread::sleep(Duration::from_millis(random.u64(..PAUSE_MS)));
            plane.resume(&[other]);
        }
        3 => {
            plane.restart(Build::Present, &order[1..], &FIRST);
            plane.restart_on_full_disk(index, &FIRST);
        }
        _ => {}
    }
    let second = plane.put_in_background(other);
    plane.await_changes([change, second]);
    plane.set_full(index, false);
    plane.revive(&FIRST);
    std::thread::sleep(Duration::from_millis(random.u64(..PAUSE_MS)));
    if random.bool() {
        plane.check();
    }
}
