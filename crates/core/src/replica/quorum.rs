//! Weighted majorities.
//!
//! A set of voters is a quorum if its weights add up to more than half of all weights. Two quorums
//! of one list always meet. Two quorums of *different* lists need not, which [`intersect`] checks before
//! a voter list is changed.

use smallvec::SmallVec;

use super::message::Voter;

/// Highest value that voters holding a weighted majority have all reached.
///
/// ```
/// use dotterelhoist_core::replica::{message::Voter, quorum};
///
/// let voter = |name: &str, weight| Voter { replica: name.into(), daemon: name.into(), weight };
/// let voters = [voter("x1", 2), voter("x2", 2), voter("y", 1), voter("z", 1)];
/// let index = |v: &Voter| if v.replica.starts_with('x') { 7 } else { 3 };
/// assert_eq!(quorum::highest_reached(&voters, index), 7);
/// ```
pub fn highest_reached<Value>(voters: &[Voter], value: Value) -> u64
where
    Value: Fn(&Voter) -> u64,
{
    let mut reached: SmallVec<[(u64, u32); 8]> =
        voters.iter().map(|voter| (value(voter), voter.weight)).collect();
    reached.sort_unstable_by(|a, b| b.cmp(a));
    let total: u32 = voters.iter().map(|voter| voter.weight).sum();
    let mut sum = 0;
    for (value, weight) in reached {
        sum += weight;
        if sum * 2 > total {
            return value;
        }
    }
    0
}

/// Whether each quorum of `old` shares a voter with each quorum of `new`.
///
/// Tries every subset of the voters of both lists, so lists are to stay below some twenty voters.
pub fn intersect(old: &[Voter], new: &[Voter]) -> bool {
    let mut names: SmallVec<[&str; 16]> = SmallVec::new();
    for voter in old.iter().chain(new) {
        if !names.contains(&voter.replica.as_str()) {
            names.push(&voter.replica);
        }
    }
    let holds = |list: &[Voter], set: u32| {
        let total: u32 = list.iter().map(|voter| voter.weight).sum();
        let sum: u32 = list
            .iter()
            .filter(|voter| {
                let at = names.iter().position(|name| *name == voter.replica);
                at.is_some_and(|at| set & (1 << at) != 0)
            })
            .map(|voter| voter.weight)
            .sum();
        sum * 2 > total
    };
    let everyone = (1u32 << names.len()) - 1;
    (0..=everyone).all(|set| !(holds(old, set) && holds(new, everyone & !set)))
}
