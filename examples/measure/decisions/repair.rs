//! Repair: the weighed decision against always waiting and always forming the group anew.

use std::time::Duration;

use dotterelhoist_core::policy::{Policy, MEMBER_TTL};
use dotterelhoist_core::repair::{decide, Action, Situation};

const MEMBERS: f64 = 8.0;
const ACCELERATORS: f64 = 8.0;
const LOAD_SECONDS: f64 = 30.0;
const STEP: f64 = 0.2;
const END: f64 = 300.0;

/// What happens to one group from second 0 on.
#[derive(Clone, Copy)]
struct Scenario {
    name: &'static str,
    missing: u32,
    /// When the silent member speaks again; never if it is past the end.
    back: f64,
    spares: u32,
    elsewhere: bool,
    /// When the spare that was put in its place dies, counted from its order.
    spare_dies: Option<f64>,
    /// Seconds until the weight store lets a load begin.
    load_delay: f64,
}

const SCENARIOS: [Scenario; 6] = [
    Scenario {
        name: "pause of 1.5 s",
        missing: 1,
        back: 1.5,
        spares: 2,
        elsewhere: true,
        spare_dies: None,
        load_delay: 0.0,
    },
    Scenario {
        name: "pause of 8 s",
        missing: 1,
        back: 8.0,
        spares: 2,
        elsewhere: true,
        spare_dies: None,
        load_delay: 0.0,
    },
    Scenario {
        name: "one loss",
        missing: 1,
        back: 1e9,
        spares: 2,
        elsewhere: true,
        spare_dies: None,
        load_delay: 0.0,
    },
    Scenario {
        name: "second loss before settling",
        missing: 1,
        back: 1e9,
        spares: 2,
        elsewhere: true,
        spare_dies: Some(12.0),
        load_delay: 0.0,
    },
    Scenario {
        name: "dark domain, slow weight store",
        missing: 8,
        back: 1e9,
        spares: 0,
        elsewhere: true,
        spare_dies: None,
        load_delay: 20.0,
    },
    Scenario {
        name: "loss without spares, back in 90 s",
        missing: 1,
        back: 90.0,
        spares: 0,
        elsewhere: false,
        spare_dies: None,
        load_delay: 0.0,
    },
];

type Strategy = fn(&Situation, &Policy) -> Action;

fn always_wait(_: &Situation, _: &Policy) -> Action {
    Action::Wait
}

fn always_reform(situation: &Situation, _: &Policy) -> Action {
    if situation.other_domain || situation.enough_spares {
        return Action::Reform;
    }
    Action::Shrink
}

pub(super) fn measure() {
    println!(
        "repair: a group of {MEMBERS} VMs, {LOAD_SECONDS} s to load, weighted cost over {END} s"
    );
    println!("{:12} {:36} {:>9} {:>9} {:>9}", "weights", "scenario", "weighed", "wait", "re-form");
    for (name, downtime, stranded) in [("Crescent", 1.0, 0.002), ("Veldhout", 0.2, 0.02)] {
        let policy = Policy {
            downtime_weight: downtime,
            stranded_weight: stranded,
            load_seconds: LOAD_SECONDS,
            ..Policy::default()
        };
        for scenario in SCENARIOS {
            let cost = |strategy: Strategy| run(scenario, &policy, strategy);
            let (weighed, wait, reform) = (cost(decide), cost(always_wait), cost(always_reform));
            println!("{name:12} {:36} {weighed:9.1} {wait:9.1} {reform:9.1}", scenario.name);
        }
    }
}

/// Weighted cost of one scenario.
fn run(scenario: Scenario, policy: &Policy, strategy: Strategy) -> f64 {
    let mut cost = 0.0;
    let mut time = 0.0;
    let mut silent_since = 0.0;
    let mut back = scenario.back;
    let mut spares = scenario.spares;
    let mut loading: Option<f64> = None;
    let mut dies = None;
    let mut released = false;
    let mut serving = false;
    while time < END {
        time += STEP;
        if dies.is_some_and(|at| time >= at) {
            loading = None;
            dies = None;
            silent_since = time;
            back = 1e9;
        }
        if loading.is_some_and(|until| time >= until) {
            serving = true;
            dies = None;
        }
        if !serving && loading.is_none() && time >= back {
            serving = !released;
            if released {
                loading = Some(time + LOAD_SECONDS);
                released = false;
            }
        }
        if serving {
            return cost;
        }
        let left = MEMBERS - f64::from(scenario.missing);
        let idle = if released { 0.0 } else { left * ACCELERATORS };
        let gone = if time < MEMBER_TTL.as_secs_f64() { ACCELERATORS } else { 0.0 };
        cost += STEP * (policy.downtime_weight + policy.stranded_weight * (idle + gone));
        if loading.is_some() || released {
            continue;
        }
        let silence = time - silent_since;
        if silence < MEMBER_TTL.as_secs_f64() {
            continue;
        }
        let situation = Situation {
            silence: Duration::from_secs_f64(silence),
            missing: scenario.missing,
            idle_accelerators: idle as u32,
            lost_permanently: false,
            enough_spares: spares > 0,
            other_domain: scenario.elsewhere,
            load_delay: scenario.load_delay,
        };
        match strategy(&situation, policy) {
            Action::Wait => {}
            Action::Shrink => released = true,
            Action::Replace | Action::Reform => {
                loading = Some(time + scenario.load_delay + LOAD_SECONDS);
                if let Some(after) = scenario.spare_dies.filter(|_| spares == scenario.spares) {
                    dies = Some(time + after);
                }
                spares = spares.saturating_sub(1);
            }
        }
    }
    cost
}
