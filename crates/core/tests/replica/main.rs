//! The replicated log under kills, lost writes, lost disks, cuts, freezes and unruly networks.

mod cluster;

use std::time::Duration;

use dotterelhoist_core::clock::Instant;
use dotterelhoist_core::replica::message::Voter;
use dotterelhoist_core::replica::{quorum, Identity, Output, Replica, Stored, Timing};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;

use cluster::{Fault, Net};

fn voters(weights: &[u32]) -> Vec<Voter> {
    let voter = |(at, weight): (usize, &u32)| Voter {
        replica: format!("{at}#0"),
        daemon: at.to_string(),
        weight: *weight,
    };
    weights.iter().enumerate().map(voter).collect()
}

fn fault(nodes: usize) -> impl Strategy<Value = Fault> {
    prop_oneof![
        3 => (0..nodes, 0..5usize).prop_map(|(node, kept)| Fault::Kill { node, kept }),
        3 => (0..nodes).prop_map(|node| Fault::Restart { node }),
        2 => (0..nodes, 100..4000u64).prop_map(|(node, millis)| Fault::Freeze { node, millis }),
        2 => (1..(1u32 << nodes) - 1).prop_map(|side| Fault::Cut { side }),
        2 => (0..nodes, 0..nodes).prop_map(|(a, b)| Fault::Part { a, b }),
        2 => Just(Fault::Heal),
    ]
}

fn schedule(nodes: usize) -> impl Strategy<Value = Vec<(u64, Fault)>> {
    prop::collection::vec((50..1500u64, fault(nodes)), 0..25)
}

fn run(weights: &[u32], seed: u64, schedule: Vec<(u64, Fault)>) -> Net {
    let mut net = Net::new(voters(weights), seed);
    net.run(Duration::from_millis(2500));
    for (pause, fault) in schedule {
        net.run(Duration::from_millis(pause));
        net.apply(fault);
    }
    net.heal_all();
    net.run(Duration::from_secs(12));
    net
}

/// Seed of all cases, so that each run gives the same verdict.
const SEED: u64 = 20_261_203;

fn config(cases: u32) -> ProptestConfig {
    let cases = std::env::var("PROPTEST_CASES").ok().and_then(|n| n.parse().ok()).unwrap_or(cases);
    println!("proptest: {cases} cases with seed {SEED}");
    let rng_seed = RngSeed::Fixed(SEED);
    ProptestConfig { cases, rng_seed, failure_persistence: None, ..ProptestConfig::default() }
}

proptest! {
    #![proptest_config(config(96))]

    #[test]
    fn replica_three_voters(seed in any::<u64>(), schedule in schedule(3)) {
        run(&[1, 1, 1], seed, schedule).check_end();
    }

    #[test]
    fn replica_weighted_voters(seed in any::<u64>(), schedule in schedule(4)) {
        run(&[2, 2, 1, 1], seed, schedule).check_end();
    }

    #[test]
    fn replica_five_voters(seed in any::<u64>(), schedule in schedule(5)) {
        run(&[1, 1, 1, 1, 1], seed, schedule).check_end();
    }

    #[test]
    fn quorum_any_two_meet(weights in prop::collection::vec(1..4u32, 1..7)) {
        let list = voters(&weights);
        prop_assert!(quorum::intersect(&list, &list));
    }

    #[test]
    fn quorum_leaving_and_entering_voter_meet(
        weights in prop::collection::vec(1..4u32, 2..7),
        gone in any::<prop::sample::Index>(),
    ) {
        let old = voters(&weights);
        let mut new = old.clone();
        new.remove(gone.index(old.len()));
        let brute = brute_meet(&old, &new);
        prop_assert_eq!(quorum::intersect(&old, &new), brute);
    }
}

/// Enumerates the quorums of both lists.
fn brute_meet(old: &[Voter], new: &[Voter]) -> bool {
    let quorums = |list: &[Voter]| -> Vec<Vec<String>> {
        let total: u32 = list.iter().map(|voter| voter.weight).sum();
        (0..1u32 << list.len())
            .map(|set| {
                let chosen = list.iter().enumerate().filter(|(at, _)| set & (1 << at) != 0);
                chosen.map(|(_, voter)| voter.clone()).collect::<Vec<Voter>>()
            })
            .filter(|chosen| chosen.iter().map(|v| v.weight).sum::<u32>() * 2 > total)
            .map(|chosen| chosen.into_iter().map(|voter| voter.replica).collect())
            .collect()
    };
    let new = quorums(new);
    quorums(old).iter().all(|a| new.iter().all(|b| a.iter().any(|voter| b.contains(voter))))
}

#[rstest]
#[case::zone_cut(&[2, 2, 1, 1], 0b0011)]
#[case::one_lost_without_cut(&[2, 2, 1, 1], 0b1101)]
fn replica_zone_survives(#[case] weights: &[u32], #[case] alive: u32) {
    let mut net = Net::new(voters(weights), 7);
    net.run(Duration::from_secs(3));
    let before = net.acknowledged();
    net.apply(Fault::Cut { side: alive });
    net.run(Duration::from_secs(8));
    assert!(net.acknowledged() > before + 10, "the side with a quorum goes on");
    net.heal_all();
    net.run(Duration::from_secs(12));
    net.check_end();
}

#[rstest]
#[case::one(1)]
#[case::two(2)]
#[case::three(3)]
fn replica_lost_disk_returns_as_learner(#[case] seed: u64) {
    let mut net = Net::new(voters(&[1, 1, 1]), seed);
    net.run(Duration::from_secs(3));
    net.apply(Fault::LoseDisk { node: (seed % 3) as usize });
    net.run(Duration::from_secs(1));
    net.apply(Fault::Restart { node: (seed % 3) as usize });
    net.run(Duration::from_secs(15));
    let listed = net.voters();
    assert_eq!(listed.len(), 3);
    assert!(listed.contains(&format!("{}#1", seed % 3)), "{listed:?}");
    let before = net.acknowledged();
    net.apply(Fault::Kill { node: ((seed + 1) % 3) as usize, kept: 0 });
    net.run(Duration::from_secs(8));
    assert!(net.acknowledged() > before + 10, "the returned replica counts for a quorum");
    net.heal_all();
    net.run(Duration::from_secs(12));
    net.check_end();
}

/// A replica with an empty disk must not make up a quorum with one that lacks an entry: here the
/// entry is on the leader and on the replica whose disk is then lost, and the leader is cut off.
#[test]
fn replica_lost_disk_can_not_undo_an_acknowledged_entry() {
    for seed in 0..40 {
        let mut net = Net::new(voters(&[1, 1, 1]), seed);
        net.run(Duration::from_secs(3));
        let leader = net.run_until_led();
        let holder = (leader + 1) % 3;
        let lacking = (leader + 2) % 3;
        net.apply(Fault::Cut { side: (1 << leader) | (1 << holder) });
        net.run(Duration::from_millis(600));
        net.apply(Fault::LoseDisk { node: holder });
        net.apply(Fault::Cut { side: (1 << holder) | (1 << lacking) });
        net.apply(Fault::Restart { node: holder });
        net.run(Duration::from_secs(6));
        net.heal_all();
        net.run(Duration::from_secs(12));
        net.check_end();
    }
}

/// Found by a run of 20000 cases.
#[test]
fn replica_found_case_follower_catches_up() {
    let schedule = vec![
        (1484, Fault::Cut { side: 7 }),
        (451, Fault::Kill { node: 0, kept: 0 }),
        (959, Fault::Kill { node: 3, kept: 0 }),
        (537, Fault::Kill { node: 0, kept: 0 }),
    ];
    run(&[2, 2, 1, 1], 2_741_724_503_039_019_926, schedule).check_end();
}

/// Leader and follower lose power at the same moment, while the third replica is cut off: what was
/// acknowledged is on the follower's disk, which then leads with the third.
#[test]
fn replica_acknowledged_entries_survive_power_loss_of_two() {
    for seed in 0..150 {
        let mut net = Net::new(voters(&[1, 1, 1]), seed);
        net.run(Duration::from_secs(3));
        let leader = net.run_until_led();
        let follower = (leader + 1) % 3;
        net.apply(Fault::Cut { side: (1 << leader) | (1 << follower) });
        net.run(Duration::from_millis(400 + seed));
        net.apply(Fault::Kill { node: follower, kept: 0 });
        net.apply(Fault::Kill { node: leader, kept: 0 });
        net.apply(Fault::Heal);
        net.apply(Fault::Restart { node: follower });
        net.run(Duration::from_secs(5));
        net.heal_all();
        net.run(Duration::from_secs(5));
        net.check_end();
    }
}

/// A follower that alone does not hear the leader can't take its place, and does not make it stop.
#[test]
fn replica_follower_parted_from_its_leader_changes_nothing() {
    for seed in 0..20 {
        let mut net = Net::new(voters(&[1, 1, 1]), seed);
        net.run(Duration::from_secs(3));
        let leader = net.run_until_led();
        net.quiet = true;
        net.run(Duration::from_secs(2));
        net.apply(Fault::Part { a: leader, b: (leader + 1) % 3 });
        net.run(Duration::from_secs(10));
        assert_eq!(net.leader(), Some(leader));
        net.quiet = false;
        net.heal_all();
        net.run(Duration::from_secs(5));
        net.check_end();
    }
}

#[test]
fn replica_frozen_leader_has_no_lease_when_it_wakes() {
    let mut net = Net::new(voters(&[1, 1, 1]), 11);
    net.run(Duration::from_secs(3));
    let leader = net.run_until_led();
    net.apply(Fault::Freeze { node: leader, millis: 5000 });
    net.run(Duration::from_millis(4900));
    let other = net.leader().expect("another leader");
    assert_ne!(leader, other);
    assert!(!net.leads(leader), "the frozen one has lost its lease by itself");
    net.run(Duration::from_secs(3));
    net.check_end();
}

/// Disks that are slower than the lease delay entries, but not the signs of life of the voters.
#[test]
fn leader_keeps_its_lease_while_disks_are_slow() {
    let mut net = Net::new(voters(&[1, 1, 1]), 5);
    let leader = net.run_until_led();
    net.run(Duration::from_secs(2));
    net.disk_ms = 1000;
    for _ in 0..120 {
        net.run(Duration::from_millis(50));
        assert!(net.leads(leader), "it lost its lease");
    }
    net.disk_ms = 0;
    net.check_end();
}

/// Found by 20,000 cases: two snapshots in a row were lost, and the follower stood still for 2.1 s.
#[test]
fn follower_lost_snapshots_are_sent_again_soon() {
    let schedule = vec![
        (1478, Fault::Part { a: 0, b: 2 }),
        (1248, Fault::Part { a: 0, b: 1 }),
        (668, Fault::Heal),
        (1406, Fault::Restart { node: 0 }),
    ];
    run(&[2, 2, 1, 1], 10_914_771_938_794_934_016, schedule).check_end();
}

/// A leader whose process ended leads again as soon as a quorum is back: no voter waits for the lease of
/// a leader that asks itself.
#[rstest]
#[case::one_process(&[0])]
#[case::all_processes(&[0, 1, 2])]
fn leader_that_returns_is_elected_at_once(#[case] ended: &[usize]) {
    let mut net = Net::new(voters(&[1, 1, 1]), 11);
    let leader = net.run_until_led();
    net.run(Duration::from_secs(2));
    assert_eq!(net.leader(), Some(leader), "it leads on");
    let nodes = ended.iter().map(|at| (leader + at) % 3);
    for node in nodes.clone() {
        net.apply(Fault::Kill { node, kept: 100 });
    }
    for node in nodes {
        net.apply(Fault::Restart { node });
    }
    net.run(Duration::from_millis(500));
    assert_eq!(net.leader(), Some(leader));
    net.check_end();
}

/// The only voter of a log leads on while its disk is slow: nobody else could record the entry, and an
/// election would only delay it.
#[test]
fn leader_alone_waits_for_a_slow_disk() {
    let identity =
        Identity { replica: "0#0".into(), daemon: "0".into(), weight: 1, electable: true };
    let mut outputs = Vec::new();
    let mut now = Instant::default();
    let mut replica = Replica::open(
        identity,
        voters(&[1]),
        Timing::default(),
        Stored::default(),
        now,
        &mut outputs,
    );
    let newest = |outputs: &mut Vec<Output>| {
        let sequences = outputs.drain(..).filter_map(|output| match output {
            Output::Persist(sequence, _) => Some(sequence),
            _ => None,
        });
        sequences.max()
    };
    while !replica.can_serve_reads(now) {
        now = now + Duration::from_millis(50);
        replica.tick(now, 0, &mut outputs);
        if let Some(sequence) = newest(&mut outputs) {
            replica.mark_synced(now, sequence, &mut outputs);
        }
        assert!(now < Instant::from_millis(10_000), "no leader");
    }
    let index = replica.propose(now, b"claim".to_vec(), &mut outputs).expect("it leads");
    let sequence = newest(&mut outputs).expect("a write");
    for _ in 0..40 {
        now = now + Duration::from_millis(50);
        replica.tick(now, 0, &mut outputs);
        assert!(replica.leads(now), "it gave up its lead");
    }
    replica.mark_synced(now, sequence, &mut outputs);
    assert_eq!(replica.applied(), index);
}
