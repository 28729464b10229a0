//! Assignment of VMs to serving groups.
//!
//! A placement that names a VM of another group is rejected, so a log never assigns a VM to two
//! groups. The generation of a placement is the index of the log entry that created it, so
//! generations only grow and are never reused.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::command::{Member, NewBar, Outcome, Place, Release};
use crate::Name;

/// VMs that are assigned to one group instance.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Placement {
    /// Index of the log entry that last placed the group or began its release.
    pub generation: u64,
    /// Model to load.
    pub model: Name,
    /// VMs in rank order.
    pub members: Vec<Member>,
    /// Whether the group is being released: its members are ordered to leave, and the placement is
    /// removed once they have left.
    pub releasing: bool,
    /// VMs of earlier generations whose departure no [`Release`] command has confirmed yet; they
    /// can't be assigned again before that.
    pub leaving: Vec<Member>,
}

/// All placements of a log by group instance.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "BTreeMap<Name, Placement>", into = "BTreeMap<Name, Placement>")]
pub struct Placements {
    groups: BTreeMap<Name, Placement>,
    /// Group instance that each VM is assigned to or is leaving.
    holders: BTreeMap<Name, Name>,
}

impl From<BTreeMap<Name, Placement>> for Placements {
    fn from(groups: BTreeMap<Name, Placement>) -> Placements {
        let mut placements = Placements { groups, holders: BTreeMap::new() };
        let names: Vec<Name> = placements.groups.keys().cloned().collect();
        for name in names {
            placements.update_holders(&name);
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
    /// All group instances with their placements.
    pub fn groups(&self) -> impl Iterator<Item = (&Name, &Placement)> {
        self.groups.iter()
    }

    /// Placement of a group instance.
    pub fn group(&self, name: &str) -> Option<&Placement> {
        self.groups.get(name)
    }

    /// Group instance that a VM is a member of or is leaving.
    pub fn holder(&self, vm: &str) -> Option<&Name> {
        self.holders.get(vm)
    }

    /// Updates the holders after the placement of a group has changed.
    fn update_holders(&mut self, group: &Name) {
        self.holders.retain(|_, holder| holder != group);
        let Some(placement) = self.groups.get(group) else { return };
        for member in placement.members.iter().chain(&placement.leaving) {
            self.holders.insert(member.vm.as_str().into(), group.clone());
        }
    }

    /// Creates or replaces the placement of a group. It is rejected if the group has another
    /// generation than expected or is being released, or if a VM is listed twice, belongs to
    /// another group or has not yet left this one.
    pub(super) fn place(&mut self, index: u64, place: Place) -> Outcome {
        let current = self.groups.get(place.group.as_str());
        let generation = current.map_or(0, |placement| placement.generation);
        let releasing = current.is_some_and(|placement| placement.releasing);
        let unavailable = place.members.iter().any(|member| {
            let in_other_group =
                self.holder(&member.vm).is_some_and(|holder| **holder != *place.group);
            let not_yet_left = current
                .is_some_and(|placement| placement.leaving.iter().any(|left| left.vm == member.vm));
            in_other_group || not_yet_left
        });
        if generation != place.expected
            || releasing
            || unavailable
            || has_duplicates(&place.members)
        {
            return Outcome { version: generation, ..Outcome::of(NewBar::Conflict) };
        }
        let mut leaving = Vec::new();
        if let Some(placement) = current {
            let left = placement.members.iter().chain(&placement.leaving);
            let stays = |member: &Member| place.members.iter().any(|new| new.vm == member.vm);
            leaving.extend(left.filter(|member| !stays(member)).cloned());
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
        self.update_holders(&group);
        Outcome { version: index, ..Outcome::of(NewBar::Accepted) }
    }

    /// Begins the release of a group or, if the command confirms a release, removes its placement.
    /// For a group that is not being released, a confirmation says that the VMs of its earlier
    /// generations have left, and clears the list of them.
    pub(super) fn release(&mut self, index: u64, release: Release) -> Outcome {
        let Some(placement) = self.groups.get_mut(release.group.as_str()) else {
            return Outcome::of(NewBar::Missing);
        };
        if placement.generation != release.generation {
            let version = placement.generation;
            return Outcome { version, ..Outcome::of(NewBar::Conflict) };
        }
        if !release.confirmed {
            placement.releasing = true;
            placement.generation = index;
        } else if placement.releasing {
            self.groups.remove(release.group.as_str());
        } else {
            placement.leaving.clear();
        }
        self.update_holders(&release.group.into());
        Outcome { version: index, ..Outcome::of(NewBar::Accepted) }
    }
}

/// Whether a VM is listed more than once.
fn has_duplicates(members: &[Member]) -> bool {
    let listed_again =
        |at: usize, member: &Member| members[at + 1..].iter().any(|other| other.vm == member.vm);
    members.iter().enumerate().any(|(at, member)| listed_again(at, member))
}
