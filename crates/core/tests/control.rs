//! Property tests of the state machine to which the replicated logs apply their entries.

use dotterelhoist_core::control::command::{
    Body, Claim, Command, Member, NewBar, Place, Release, Run, RunResult, Settle,
};
use dotterelhoist_core::control::StateMachine;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Seed of all cases, so that each run tests the same ones.
const SEED: u64 = 20_261_203;

fn config() -> ProptestConfig {
    let cases = std::env::var("PROPTEST_CASES").ok().and_then(|n| n.parse().ok()).unwrap_or(512);
    println!("proptest: {cases} cases with seed {SEED}");
    let rng_seed = RngSeed::Fixed(SEED);
    ProptestConfig { cases, rng_seed, failure_persistence: None, ..ProptestConfig::default() }
}

/// One step of a test case: a command, or a round trip through a snapshot.
#[derive(Clone, Debug)]
enum Step {
    Place { group: u8, members: Vec<u8>, stale: bool },
    Release { group: u8, confirmed: bool, stale: bool },
    Claim { key: u8, digest: u8, request: u8 },
    Settle { key: u8, request: u8, run: i32 },
    Snapshot,
}

/// Strategy that generates steps over few groups, VMs, keys and requests, so that they often
/// conflict.
fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0..4u8, prop::collection::vec(0..9u8, 1..4), any::<bool>())
            .prop_map(|(group, members, stale)| Step::Place { group, members, stale }),
        (0..4u8, any::<bool>(), any::<bool>())
            .prop_map(|(group, confirmed, stale)| Step::Release { group, confirmed, stale }),
        (0..4u8, 0..2u8, 0..6u8).prop_map(|(key, digest, request)| Step::Claim {
            key,
            digest,
            request
        }),
        (0..4u8, 0..6u8, 0..3i32).prop_map(|(key, request, run)| Step::Settle {
            key,
            request,
            run
        }),
        Just(Step::Snapshot),
    ]
}

/// Current generation of a group, or the previous one if `stale` is set.
fn generation(state_machine: &StateMachine, group: u8, stale: bool) -> u64 {
    let placement = state_machine.placements.group(&format!("g{group}"));
    placement.map_or(0, |placement| placement.generation).saturating_sub(u64::from(stale))
}

/// Command for a step; none for a snapshot.
fn command(state_machine: &StateMachine, step: &Step) -> Option<Body> {
    Some(match step {
        Step::Place { group, members, stale } => Body::Place(Place {
            group: format!("g{group}"),
            expected: generation(state_machine, *group, *stale),
            model: "m".to_owned(),
            members: members
                .iter()
                .map(|vm| Member { vm: format!("vm{vm}"), incarnation: 1 })
                .collect(),
        }),
        Step::Release { group, confirmed, stale } => Body::Release(Release {
            group: format!("g{group}"),
            generation: generation(state_machine, *group, *stale),
            confirmed: *confirmed,
        }),
        Step::Claim { key, digest, request } => Body::Claim(Claim {
            workspace: "w".to_owned(),
            key: format!("k{key}"),
            digest: u64::from(*digest),
            request: format!("r{request}"),
            permission_ms: 1000,
        }),
        Step::Settle { key, request, run } => Body::Settle(Settle {
            workspace: "w".to_owned(),
            key: format!("k{key}"),
            request: format!("r{request}"),
            result: Some(RunResult { run: *run, ..RunResult::default() }),
        }),
        Step::Snapshot => return None,
    })
}

/// Checks that no VM is listed twice, in one placement or in two, as a member or as leaving.
fn check_placements(state_machine: &StateMachine) {
    let mut listed = Vec::new();
    for (_, placement) in state_machine.placements.groups() {
        listed.extend(placement.members.iter().chain(&placement.leaving).map(|member| &member.vm));
    }
    let count = listed.len();
    listed.sort();
    listed.dedup();
    assert_eq!(listed.len(), count, "a VM is listed twice in the placements");
    for (name, placement) in state_machine.placements.groups() {
        for member in placement.members.iter().chain(&placement.leaving) {
            assert_eq!(state_machine.placements.holder(&member.vm), Some(name));
        }
    }
}

proptest! {
    #![proptest_config(config())]

    /// No VM is in two placements or twice in one, a claim is never granted to two requests at once
    /// or after its request has run, and a snapshot restores the same state.
    #[test]
    fn state_machine_invariants_hold(steps in prop::collection::vec(step(), 1..60)) {
        let mut state_machine = StateMachine::default();
        let mut granted: Vec<(u8, u8)> = Vec::new();
        let mut keys_run: Vec<u8> = Vec::new();
        for (at, step) in steps.iter().enumerate() {
            let Some(body) = command(&state_machine, step) else {
                let copy = StateMachine::decode(&state_machine.encode())
                    .expect("a snapshot can be decoded");
                prop_assert_eq!(&copy, &state_machine);
                state_machine = copy;
                continue;
            };
            let bar = state_machine.apply(at as u64 + 1, Command::new(body)).bar();
            check_placements(&state_machine);
            match step {
                Step::Claim { key, request, .. } if bar == NewBar::Accepted => {
                    prop_assert!(
                        !keys_run.contains(key),
                        "a key whose request ran was granted again"
                    );
                    let other = granted.iter().find(|(k, r)| k == key && r != request);
                    prop_assert!(other.is_none(), "a key was granted to two requests at once");
                    granted.push((*key, *request));
                }
                Step::Settle { key, run, .. } if bar == NewBar::Accepted => {
                    granted.retain(|(granted, _)| granted != key);
                    if *run != Run::NotRun as i32 {
                        keys_run.push(*key);
                    }
                }
                _ => {}
            }
        }
    }
}
