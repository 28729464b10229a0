//! What to do about a group that has lost a member.
//!
//! Losses are either pauses, which end by themselves, or for good. The longer a member has been
//! silent, the less likely is a pause. Four actions are weighed by the cost that they are expected
//! to add: `downtime_weight` for each second in which the group can't serve and `stranded_weight`
//! for each accelerator-second that is neither serving nor free.

use std::time::Duration;

use crate::policy::Policy;

/// Share of silences that are pauses.
const PAUSE_SHARE: f64 = 0.7;
/// Mean length of a pause in seconds.
const PAUSE_MEAN: f64 = 4.0;

/// A group with a missing member.
#[derive(Clone, Debug, PartialEq)]
pub struct Situation {
    /// Longest silence among the missing members.
    pub silence: Duration,
    /// Number of missing members.
    pub missing: u32,
    /// Accelerators of the members that are left.
    pub idle_accelerators: u32,
    /// Whether the missing VM is known to have restarted or failed, so that waiting can't help.
    pub lost_permanently: bool,
    /// Whether the group's fabric domain has a spare for each missing member.
    pub enough_spares: bool,
    /// Whether another fabric domain has room for the whole group.
    pub other_domain: bool,
    /// Seconds until the weight store lets a load begin.
    pub load_delay: f64,
}

/// What to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, serde::Serialize)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum Action {
    /// Wait for the member.
    Wait,
    /// Put spares of the same fabric domain into the missing ranks.
    Replace,
    /// Release the group and form it anew in another fabric domain.
    Reform,
    /// Release the group's VMs; it is formed anew when there is room.
    Shrink,
}

/// Chooses the action with the lowest expected cost.
///
/// Waiting a moment longer pays as long as the chance that the pause ends in that moment, times what
/// its end saves, exceeds what the moment costs.
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
    let chance = pause_chance(situation);
    let reload = policy.load_seconds + situation.load_delay;
    let down = policy.downtime_weight;
    let idle = policy.stranded_weight * f64::from(situation.idle_accelerators);
    let ending = chance / PAUSE_MEAN;
    if situation.enough_spares || situation.other_domain {
        let saved = reload * (down + idle);
        if ending * saved > down + idle {
            return Action::Wait;
        }
        return if situation.enough_spares { Action::Replace } else { Action::Reform };
    }
    let saved = reload * (down + idle);
    if ending * saved >= idle {
        return Action::Wait;
    }
    Action::Shrink
}

/// Chance that a silence of this length is a pause.
fn pause_chance(situation: &Situation) -> f64 {
    if situation.lost_permanently {
        return 0.0;
    }
    let each = (-situation.silence.as_secs_f64() / PAUSE_MEAN).exp();
    let pause = PAUSE_SHARE * each;
    let one = pause / (pause + 1.0 - PAUSE_SHARE);
    one.powi(situation.missing as i32)
}
