//! Weighted majorities.
//!
//! A set of voters is a quorum if its weights add up to more than half of all weights. Any two
//! quorums of one voter list intersect. Quorums of *different* lists may not, so [`intersect`] is
//! checked before a voter list is changed.

use smallvec::SmallVec;

use super::message::Voter;

/// Highest value that all voters of some quorum have reached, or 0 if there are no voters.
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
/// Tries every subset of the voters of both lists, so the lists should have fewer than 20 voters in
/// all.
pub fn intersect(old: &[Voter], new: &[Voter]) -> bool {
    let mut names: SmallVec<[&str; 16]> = SmallVec::new();
    for voter in old.iter().chain(new) {
        if !names.contains(&voter.replica.as_str()) {
            names.push(&voter.replica);
        }
    }
    let is_quorum = |list: &[Voter], set: u32| {
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
    let every_voter = (1u32 << names.len()) - 1;
    (0..=every_voter).all(|set| !(is_quorum(old, set) && is_quorum(new, every_voter & !set)))
}
