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
#[serde(from = "BTreeMap<Name, Placement>", into = "BTreeMap<Name, Placement>")]
pub struct Placements {
    groups: BTreeMap<Name, Placement>,
    /// Group instance that holds each VM.
    holders: BTreeMap<Name, Name>,
}

impl From<BTreeMap<Name, Placement>> for Placements {
    fn from(groups: BTreeMap<Name, Placement>) -> Placements {
        let mut placements = Placements { groups, holders: BTreeMap::new() };
        let names: Vec<Name> = placements.groups.keys().cloned().collect();
        for name in names {
            placements.index(&name);
        }
        placements
    }
}

impl From<Placements> for BTreeMap<Name, Placement> {
    fn from(placements: Placements) -> BTreeMap<Name, Placement> {
        placements.groups
    }
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
        self.holders.get(vm)
    }

    /// Notes which VMs a group holds now.
    fn index(&mut self, group: &Name) {
        self.holders.retain(|_, holder| holder != group);
        let Some(placement) = self.groups.get(group) else { return };
        for seat in placement.members.iter().chain(&placement.leaving) {
            self.holders.insert(seat.vm.as_str().into(), group.clone());
        }
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
        let group: Name = place.group.into();
        self.groups.insert(group.clone(), placement);
        self.index(&group);
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
        self.index(&release.group.into());
        Outcome { version: index, ..Outcome::of(Verdict::Accepted) }
    }
}

fn has_twice(members: &[Seat]) -> bool {
    let twice = |at: usize, seat: &Seat| members[at + 1..].iter().any(|other| other.vm == seat.vm);
    members.iter().enumerate().any(|(at, seat)| twice(at, seat))
}
