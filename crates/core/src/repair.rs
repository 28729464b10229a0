//! Choice of the repair action for a group with missing members.
//!
//! A missing member is either paused, and returns by itself, or lost permanently. The longer it has
//! been silent, the less likely it is paused. The four actions are compared by the cost that they
//! are expected to add: `downtime_weight` for each second during which the group can't serve and
//! `stranded_weight` for each accelerator-second that is neither serving nor free.

use std::time::Duration;

use crate::policy::Policy;

/// Probability that a member that has just become silent is paused rather than lost.
const PAUSE_PROBABILITY: f64 = 0.7;
/// Mean length of a pause in seconds; the lengths are assumed to be exponentially distributed.
const PAUSE_MEAN_SECONDS: f64 = 4.0;

/// State of a group with missing members, as far as the choice of an action depends on it.
#[derive(Clone, Debug, PartialEq)]
pub struct Situation {
    /// Longest time since a missing member's last announcement.
    pub silence: Duration,
    /// Number of missing members.
    pub missing: u32,
    /// Accelerators of the remaining members, which are stranded while the group can't serve.
    pub idle_accelerators: u32,
    /// Whether a missing VM is not in the endpoint table. It is then assumed not to return, so
    /// waiting can't help.
    pub lost_permanently: bool,
    /// Whether the group's fabric domain has a free VM for each missing member.
    pub enough_spares: bool,
    /// Whether another fabric domain has free VMs for the whole group.
    pub other_domain: bool,
    /// Seconds until the store of model weights allows a load to begin.
    pub load_delay: f64,
}

/// Repair action for a group with missing members.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, serde::Serialize)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum Action {
    /// Wait for the missing members to return.
    Wait,
    /// Replace the missing members by free VMs of the same fabric domain.
    Replace,
    /// Release the group and form it again in another fabric domain.
    Reform,
    /// Release the group's VMs; the group is formed again once a fabric domain has enough free VMs.
    Shrink,
}

/// Chooses the action with the lowest expected cost.
///
/// If the pause ends while the group waits, the cost of a reload is saved. The group waits as long
/// as the rate at which pauses are expected to end, times that cost, exceeds the cost of one second
/// of waiting. Without free VMs the group can't serve in either case, so only the stranded
/// accelerators count as the cost of waiting.
///
/// ```
/// use dotterelhoist_core::policy::Policy;
/// use dotterelhoist_core::repair::{decide, Action, Situation};
/// use std::time::Duration;
///
/// let mut situation = Situation {
///     silence: Duration::from_secs(2),
///     missing: 1,
///     idle_accelerators: 8,
///     lost_permanently: false,
///     enough_spares: true,
///     other_domain: false,
///     load_delay: 0.0,
/// };
/// let policy = Policy { load_seconds: 60.0, ..Policy::default() };
/// assert_eq!(decide(&situation, &policy), Action::Wait);
/// situation.silence = Duration::from_secs(60);
/// assert_eq!(decide(&situation, &policy), Action::Replace);
/// ```
pub fn decide(situation: &Situation, policy: &Policy) -> Action {
    let probability = pause_probability(situation);
    let reload_seconds = policy.load_seconds + situation.load_delay;
    let downtime_rate = policy.downtime_weight;
    let stranded_rate = policy.stranded_weight * f64::from(situation.idle_accelerators);
    let pause_end_rate = probability / PAUSE_MEAN_SECONDS;
    if situation.enough_spares || situation.other_domain {
        let reload_cost = reload_seconds * (downtime_rate + stranded_rate);
        if pause_end_rate * reload_cost > downtime_rate + stranded_rate {
            return Action::Wait;
        }
        return if situation.enough_spares { Action::Replace } else { Action::Reform };
    }
    let reload_cost = reload_seconds * (downtime_rate + stranded_rate);
    if pause_end_rate * reload_cost >= stranded_rate {
        return Action::Wait;
    }
    Action::Shrink
}

/// Probability that all missing members are paused, given the length of their silence.
fn pause_probability(situation: &Situation) -> f64 {
    if situation.lost_permanently {
        return 0.0;
    }
    let still_paused = (-situation.silence.as_secs_f64() / PAUSE_MEAN_SECONDS).exp();
    let pause = PAUSE_PROBABILITY * still_paused;
    let single = pause / (pause + 1.0 - PAUSE_PROBABILITY);
    single.powi(situation.missing as i32)
}
