//! Which VM belongs to which serving group.
//!
//! A VM that is named in one placement is refused in any other, so no log ever puts a VM into two
//! groups. The generation of a placement is the index of the entry that made it: it grows over the
//! life of the log and is never used twice.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::command::{Outcome, Place, Release, Seat, Verdict};
use crate::Name;

/// A group instance and its VMs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Placement {
    /// Generation of the membership.
    pub generation: u64,
    /// Model to load.
    pub model: Name,
    /// VMs in rank order.
    pub members: Vec<Seat>,
    /// Whether the VMs are on their way out.
    pub releasing: bool,
    /// VMs of earlier generations that have not yet confirmed that they are out.
    pub leaving: Vec<Seat>,
}

/// All group instances of a log.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Placements {
    groups: BTreeMap<Name, Placement>,
}

impl Placements {
    /// Group instances by name.
    pub fn groups(&self) -> impl Iterator<Item = (&Name, &Placement)> {
        self.groups.iter()
    }

    /// One group instance.
    pub fn group(&self, name: &str) -> Option<&Placement> {
        self.groups.get(name)
    }

    /// Group instance that holds a VM, as a member or on its way out.
    pub fn holder(&self, vm: &str) -> Option<&Name> {
        let holds = |placement: &Placement| {
            let mut seats = placement.members.iter().chain(&placement.leaving);
            seats.any(|seat| seat.vm == *vm)
        };
        self.groups.iter().find(|(_, placement)| holds(placement)).map(|(name, _)| name)
    }

    pub(super) fn place(&mut self, index: u64, place: Place) -> Outcome {
        let current = self.groups.get(place.group.as_str());
        let generation = current.map_or(0, |placement| placement.generation);
        let releasing = current.is_some_and(|placement| placement.releasing);
        let taken = place.members.iter().any(|seat| {
            let other = self.holder(&seat.vm).is_some_and(|holder| **holder != *place.group);
            let leaving = current
                .is_some_and(|placement| placement.leaving.iter().any(|left| left.vm == seat.vm));
            other || leaving
        });
        if generation != place.expected || releasing || taken || has_twice(&place.members) {
            return Outcome { version: generation, ..Outcome::of(Verdict::Conflict) };
        }
        let mut leaving = Vec::new();
        if let Some(placement) = current {
            let left = placement.members.iter().chain(&placement.leaving);
            let stays = |seat: &Seat| place.members.iter().any(|new| new.vm == seat.vm);
            leaving.extend(left.filter(|seat| !stays(seat)).cloned());
        }
        let placement = Placement {
            generation: index,
            model: place.model.into(),
            members: place.members,
            releasing: false,
            leaving,
        };
        self.groups.insert(place.group.into(), placement);
        Outcome { version: index, ..Outcome::of(Verdict::Accepted) }
    }

    pub(super) fn release(&mut self, index: u64, release: Release) -> Outcome {
        let Some(placement) = self.groups.get_mut(release.group.as_str()) else {
            return Outcome::of(Verdict::Missing);
        };
        if placement.generation != release.generation {
            let version = placement.generation;
            return Outcome { version, ..Outcome::of(Verdict::Conflict) };
        }
        if !release.confirmed {
            placement.releasing = true;
            placement.generation = index;
        } else if placement.releasing {
            self.groups.remove(release.group.as_str());
        } else {
            placement.leaving.clear();
        }
        Outcome { version: index, ..Outcome::of(Verdict::Accepted) }
    }
}

fn has_twice(members: &[Seat]) -> bool {
    let twice = |at: usize, seat: &Seat| members[at + 1..].iter().any(|other| other.vm == seat.vm);
    members.iter().enumerate().any(|(at, seat)| twice(at, seat))
}
