//! Repair: the daemon's choice by expected cost, compared with always waiting and always forming
//! the group again.

use std::time::Duration;

use dotterelhoist_core::policy::{Policy, MEMBER_TTL};
use dotterelhoist_core::repair::{decide, Action, Situation};

/// Members of the group.
const MEMBERS: f64 = 8.0;
/// Accelerators of each member.
const ACCELERATORS: f64 = 8.0;
/// Time that a member takes to load the model.
const LOAD_SECONDS: f64 = 30.0;
/// Time from one step of a simulation to the next.
const STEP_SECONDS: f64 = 0.2;
/// Time after which a simulation ends if the group does not serve before.
const END_SECONDS: f64 = 300.0;

/// A failure of one group. Times are in seconds from the moment at which its members become silent.
#[derive(Clone, Copy)]
struct Scenario {
    name: &'static str,
    /// Number of members that become silent.
    missing: u32,
    /// Time at which the silent members return; never if it is after [`END_SECONDS`].
    return_time: f64,
    /// Number of free VMs in the group's fabric domain.
    spares: u32,
    /// Whether another fabric domain has free VMs for the whole group.
    other_domain: bool,
    /// Time from the start of the first repair to the failure of its spare; none if it does not
    /// fail.
    spare_failure: Option<f64>,
    /// Seconds until the store of model weights allows a load to begin.
    load_delay: f64,
}

const SCENARIOS: [Scenario; 6] = [
    Scenario {
        name: "pause of 1.5 s",
        missing: 1,
        return_time: 1.5,
        spares: 2,
        other_domain: true,
        spare_failure: None,
        load_delay: 0.0,
    },
    Scenario {
        name: "pause of 8 s",
        missing: 1,
        return_time: 8.0,
        spares: 2,
        other_domain: true,
        spare_failure: None,
        load_delay: 0.0,
    },
    Scenario {
        name: "one loss",
        missing: 1,
        return_time: 1e9,
        spares: 2,
        other_domain: true,
        spare_failure: None,
        load_delay: 0.0,
    },
    Scenario {
        name: "second loss during the repair",
        missing: 1,
        return_time: 1e9,
        spares: 2,
        other_domain: true,
        spare_failure: Some(12.0),
        load_delay: 0.0,
    },
    Scenario {
        name: "domain lost, slow weight store",
        missing: 8,
        return_time: 1e9,
        spares: 0,
        other_domain: true,
        spare_failure: None,
        load_delay: 20.0,
    },
    Scenario {
        name: "loss without spares, back in 90 s",
        missing: 1,
        return_time: 90.0,
        spares: 0,
        other_domain: false,
        spare_failure: None,
        load_delay: 0.0,
    },
];

/// A way to choose the repair action.
type Strategy = fn(&Situation, &Policy) -> Action;

/// Always waits for the missing members to return.
fn always_wait(_: &Situation, _: &Policy) -> Action {
    Action::Wait
}

/// Forms the group again at once if there are enough free VMs, and releases its VMs otherwise.
fn always_reform(situation: &Situation, _: &Policy) -> Action {
    if situation.other_domain || situation.enough_spares {
        return Action::Reform;
    }
    Action::Shrink
}

/// Prints the cost of each scenario with each strategy, for two weightings of downtime against
/// stranded accelerators.
pub(super) fn measure() {
    println!(
        "repair: a group of {MEMBERS} VMs, {LOAD_SECONDS} s to load, weighted cost over {END_SECONDS} s"
    );
    println!("{:12} {:36} {:>9} {:>9} {:>9}", "weights", "scenario", "by cost", "wait", "re-form");
    // With the first weights, the downtime of the group costs more than all its accelerators being
    // stranded; with the second, less.
    for (name, downtime, stranded) in [("Crescent", 1.0, 0.002), ("Veldhout", 0.2, 0.02)] {
        let policy = Policy {
            downtime_weight: downtime,
            stranded_weight: stranded,
            load_seconds: LOAD_SECONDS,
            ..Policy::default()
        };
        for scenario in SCENARIOS {
            let cost = |strategy: Strategy| run(scenario, &policy, strategy);
            let (by_cost, wait, reform) = (cost(decide), cost(always_wait), cost(always_reform));
            println!("{name:12} {:36} {by_cost:9.1} {wait:9.1} {reform:9.1}", scenario.name);
        }
    }
}

/// Weighted cost of one scenario until the group serves again or the simulation ends.
fn run(scenario: Scenario, policy: &Policy, strategy: Strategy) -> f64 {
    let mut cost = 0.0;
    let mut time = 0.0;
    let mut silent_since = 0.0;
    let mut return_time = scenario.return_time;
    let mut spares = scenario.spares;
    // Time at which the load of the model ends, none while no load runs.
    let mut loaded_at: Option<f64> = None;
    // Time at which the spare that loads the model fails, none if it does not fail.
    let mut spare_fails_at = None;
    // Whether the VMs of the group have been released for other groups.
    let mut released = false;
    let mut serving = false;
    while time < END_SECONDS {
        time += STEP_SECONDS;
        if spare_fails_at.is_some_and(|at| time >= at) {
            loaded_at = None;
            spare_fails_at = None;
            silent_since = time;
            return_time = 1e9;
        }
        if loaded_at.is_some_and(|end| time >= end) {
            serving = true;
            spare_fails_at = None;
        }
        if !serving && loaded_at.is_none() && time >= return_time {
            serving = !released;
            if released {
                loaded_at = Some(time + LOAD_SECONDS);
                released = false;
            }
        }
        if serving {
            return cost;
        }
        let remaining = MEMBERS - f64::from(scenario.missing);
        let idle_accelerators = if released { 0.0 } else { remaining * ACCELERATORS };
        let silent_accelerators = if time < MEMBER_TTL.as_secs_f64() { ACCELERATORS } else { 0.0 };
        cost += STEP_SECONDS
            * (policy.downtime_weight
                + policy.stranded_weight * (idle_accelerators + silent_accelerators));
        if loaded_at.is_some() || released {
            continue;
        }
        let silence = time - silent_since;
        if silence < MEMBER_TTL.as_secs_f64() {
            continue;
        }
        let situation = Situation {
            silence: Duration::from_secs_f64(silence),
            missing: scenario.missing,
            idle_accelerators: idle_accelerators as u32,
            lost_permanently: false,
            enough_spares: spares > 0,
            other_domain: scenario.other_domain,
            load_delay: scenario.load_delay,
        };
        match strategy(&situation, policy) {
            Action::Wait => {}
            Action::Shrink => released = true,
            Action::Replace | Action::Reform => {
                loaded_at = Some(time + scenario.load_delay + LOAD_SECONDS);
                if let Some(after) = scenario.spare_failure.filter(|_| spares == scenario.spares) {
                    spare_fails_at = Some(time + after);
                }
                spares = spares.saturating_sub(1);
            }
        }
    }
    cost
}
