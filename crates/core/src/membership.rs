//! Endpoints of one availability zone, as the hosts of its placement log know them.
//!
//! Each host of a zone's placement log hears all announcements of the zone and *folds* those of a
//! group's members into one [`RouteEntry`] for routing. The table never decides that an endpoint is
//! dead: it only keeps the moment [`Endpoint::as_of`], and each reader compares that with its own
//! clock. What this can't see: an endpoint that announces itself and yet does no work, and the time
//! between a member's death and the end of its announcement's life.

use std::collections::BTreeMap;
use std::time::Duration;

use smallvec::SmallVec;

use crate::clock::Instant;
use crate::message::{Announcement, Phase, RouteEntry};
use crate::policy::MEMBER_TTL;
use crate::selector::Labels;
use crate::Name;

/// Silence after which an endpoint is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(600);

/// An endpoint and what it last said.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Its newest announcement.
    pub announcement: Announcement,
    /// A moment after which that announcement was certainly made.
    pub as_of: Instant,
    /// When it was last heard of.
    pub last_received: Instant,
    /// Announced labels, with `zone`, `fabric-domain` and `accelerators` added.
    pub labels: Labels,
}

impl Endpoint {
    /// Whether the announcement is young enough to act on.
    pub fn is_fresh(&self, now: Instant) -> bool {
        now.since(self.as_of) < MEMBER_TTL
    }

    /// State that it announced.
    pub fn phase(&self) -> Phase {
        self.announcement.phase()
    }
}

/// What an announcement changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// It was older than what is known.
    Stale,
    /// It said the same again.
    Refreshed,
    /// It said something new about these groups or plain endpoints.
    Changed(SmallVec<[Name; 2]>),
}

/// A folded entry and the moment as of which it holds.
#[derive(Clone, Debug, PartialEq)]
pub struct Aggregate {
    /// The entry, without handle and version.
    pub entry: RouteEntry,
    /// Oldest announcement behind a whole group, newest behind any other.
    pub as_of: Instant,
}

/// All endpoints that are known.
#[derive(Clone, Debug, Default)]
pub struct Table {
    endpoints: BTreeMap<Name, Endpoint>,
    groups: BTreeMap<Name, SmallVec<[Name; 8]>>,
}

impl Table {
    /// Endpoints by VM.
    pub fn endpoints(&self) -> impl Iterator<Item = (&Name, &Endpoint)> {
        self.endpoints.iter()
    }

    /// The endpoint of a VM.
    pub fn endpoint(&self, vm: &str) -> Option<&Endpoint> {
        self.endpoints.get(vm)
    }

    /// Takes in an announcement that was made after `as_of`.
    pub fn record(&mut self, announcement: Announcement, as_of: Instant, now: Instant) -> Change {
        let vm: Name = announcement.vm.as_str().into();
        let Some(known) = self.endpoints.get_mut(&vm) else {
            let touched = SmallVec::from_iter([subject(&announcement)]);
            self.join(&announcement);
            let labels = labels(&announcement);
            self.endpoints.insert(vm, Endpoint { announcement, as_of, last_received: now, labels });
            return Change::Changed(touched);
        };
        if announcement.sequence < known.announcement.sequence {
            return Change::Stale;
        }
        known.last_received = now;
        known.as_of = known.as_of.max(as_of);
        if same_state(&known.announcement, &announcement) {
            known.announcement = announcement;
            return Change::Refreshed;
        }
        known.labels = labels(&announcement);
        let before = std::mem::replace(&mut known.announcement, announcement.clone());
        let mut touched = SmallVec::from_iter([subject(&before)]);
        if subject(&announcement) != touched[0] {
            touched.push(subject(&announcement));
        }
        self.leave(&before);
        self.join(&announcement);
        Change::Changed(touched)
    }

    /// Forgets endpoints that have been silent for a long time.
    pub fn evict_silent(&mut self, now: Instant) {
        let silent = |endpoint: &Endpoint| now.since(endpoint.last_received) > FORGET_AFTER;
        let gone: Vec<Announcement> = self
            .endpoints
            .values()
            .filter(|endpoint| silent(endpoint))
            .map(|endpoint| endpoint.announcement.clone())
            .collect();
        for announcement in gone {
            self.leave(&announcement);
            self.endpoints.remove(announcement.vm.as_str());
        }
    }

    /// Folds what is announced about a group instance or a plain endpoint; none if nothing is.
    pub fn aggregate(&self, name: &str) -> Option<Aggregate> {
        if let Some(endpoint) = self.endpoints.get(name) {
            if endpoint.announcement.plain {
                return Some(aggregate_plain(endpoint));
            }
        }
        let vms = self.groups.get(name)?;
        let members = vms.iter().filter_map(|vm| self.endpoints.get(vm));
        aggregate_group(name, members.collect())
    }

    fn join(&mut self, announcement: &Announcement) {
        if announcement.group.is_empty() {
            return;
        }
        let vms = self.groups.entry(announcement.group.as_str().into()).or_default();
        vms.push(announcement.vm.as_str().into());
    }

    fn leave(&mut self, announcement: &Announcement) {
        let Some(vms) = self.groups.get_mut(announcement.group.as_str()) else { return };
        vms.retain(|vm| **vm != *announcement.vm);
        if vms.is_empty() {
            self.groups.remove(announcement.group.as_str());
        }
    }
}

/// Name under which an announcement is folded.
fn subject(announcement: &Announcement) -> Name {
    if announcement.group.is_empty() {
        return announcement.vm.as_str().into();
    }
    announcement.group.as_str().into()
}

fn same_state(a: &Announcement, b: &Announcement) -> bool {
    let state = |announcement: &Announcement| Announcement {
        sequence: 0,
        load: 0,
        step_ms: 0,
        ..announcement.clone()
    };
    state(a) == state(b)
}

fn labels(announcement: &Announcement) -> Labels {
    let own = announcement.labels.iter();
    let mut labels: Labels =
        own.map(|(key, value)| (key.as_str().into(), value.as_str().into())).collect();
    labels.insert("zone".into(), announcement.zone.as_str().into());
    labels.insert("fabric-domain".into(), announcement.fabric_domain.as_str().into());
    labels.insert("accelerators".into(), announcement.accelerators.to_string().into());
    labels
}

fn aggregate_plain(endpoint: &Endpoint) -> Aggregate {
    let announcement = &endpoint.announcement;
    let labels = endpoint.labels.iter();
    let entry = RouteEntry {
        name: announcement.vm.clone(),
        zone: announcement.zone.clone(),
        generation: announcement.incarnation,
        complete: true,
        accepting: !announcement.leaving && endpoint.phase() != Phase::Draining,
        address: announcement.address.clone(),
        vm: announcement.vm.clone(),
        incarnation: announcement.incarnation,
        slots: announcement.slots,
        load: announcement.load,
        labels: labels.map(|(key, value)| (key.to_string(), value.to_string())).collect(),
        ..RouteEntry::default()
    };
    Aggregate { entry, as_of: endpoint.as_of }
}

fn aggregate_group(name: &str, members: SmallVec<[&Endpoint; 8]>) -> Option<Aggregate> {
    let generation = members.iter().map(|member| member.announcement.generation).max()?;
    let current: SmallVec<[&Endpoint; 8]> =
        members.into_iter().filter(|member| member.announcement.generation == generation).collect();
    let size = current[0].announcement.members;
    let mut ranks: SmallVec<[u32; 8]> =
        current.iter().map(|member| member.announcement.rank).collect();
    ranks.sort_unstable();
    ranks.dedup();
    let all_present = ranks.len() as u32 == size && current.len() as u32 == size;
    let serves = |phase| matches!(phase, Phase::Ready | Phase::Draining);
    let complete = all_present && current.iter().all(|member| serves(member.phase()));
    let ready = |member: &Endpoint| member.phase() == Phase::Ready && !member.announcement.leaving;
    let accepting = complete && current.iter().all(|member| ready(member));
    let times = current.iter().map(|member| member.as_of);
    let as_of = if accepting { times.min()? } else { times.max()? };
    let head = current.iter().find(|member| member.announcement.rank == 0);
    let head = head.unwrap_or(&current[0]);
    let entry = RouteEntry {
        name: name.to_owned(),
        group: name.split('/').next().unwrap_or(name).to_owned(),
        zone: head.announcement.zone.clone(),
        generation,
        complete,
        accepting,
        address: head.announcement.address.clone(),
        vm: head.announcement.vm.clone(),
        incarnation: head.announcement.incarnation,
        slots: head.announcement.slots,
        load: head.announcement.load,
        ..RouteEntry::default()
    };
    Some(Aggregate { entry, as_of })
}
