//! Endpoints of one availability zone, as recorded by each *host* of the zone: a daemon that is
//! configured to host a replica of the zone's placement log.
//!
//! Each host receives all announcements of the zone and *aggregates* those of a group's members
//! into one [`RouteEntry`] for routing. The table never decides that an endpoint is dead: it only
//! keeps the time [`Endpoint::as_of`], and each reader compares that with its own clock. It can't
//! detect an endpoint that announces itself without doing any work, nor a member's death before its
//! last announcement expires.

use std::collections::BTreeMap;
use std::time::Duration;

use smallvec::SmallVec;

use crate::clock::Instant;
use crate::message::{Announcement, Phase, RouteEntry};
use crate::policy::MEMBER_TTL;
use crate::selector::Labels;
use crate::Name;

/// Time without an announcement after which an endpoint is removed from the table. Its VM then
/// counts as lost permanently when a repair is chosen.
const EVICT_AFTER: Duration = Duration::from_secs(600);

/// An endpoint with its newest announcement.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Newest announcement of the endpoint.
    pub announcement: Announcement,
    /// Lower bound of the time at which that announcement was made; its age counts from it.
    pub as_of: Instant,
    /// Time at which the last announcement was received.
    pub last_received: Instant,
    /// Announced labels, with `zone`, `fabric-domain` and `accelerators` added.
    pub labels: Labels,
}

impl Endpoint {
    /// Whether the announcement is younger than [`MEMBER_TTL`].
    pub fn is_fresh(&self, now: Instant) -> bool {
        now.since(self.as_of) < MEMBER_TTL
    }

    /// Announced state.
    pub fn phase(&self) -> Phase {
        self.announcement.phase()
    }
}

/// Effect of an announcement on the table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// No effect, because the announcement was older than the recorded one.
    Stale,
    /// Only the age, load or step time of the endpoint changed.
    Refreshed,
    /// The entries of these groups or plain endpoints have to be aggregated again.
    Changed(SmallVec<[Name; 2]>),
}

/// The aggregated state of a group instance or plain endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct Aggregate {
    /// The entry, without handle and version.
    pub entry: RouteEntry,
    /// Lower bound of the time at which the underlying announcements were made: the oldest of them
    /// for a group that accepts requests, the newest for any other.
    pub as_of: Instant,
}

/// All endpoints that have announced themselves recently.
#[derive(Clone, Debug, Default)]
pub struct Table {
    /// Endpoints by VM.
    endpoints: BTreeMap<Name, Endpoint>,
    /// VMs by the group instance that they announce.
    groups: BTreeMap<Name, SmallVec<[Name; 8]>>,
}

impl Table {
    /// All endpoints with the names of their VMs.
    pub fn endpoints(&self) -> impl Iterator<Item = (&Name, &Endpoint)> {
        self.endpoints.iter()
    }

    /// The endpoint on this VM.
    pub fn endpoint(&self, vm: &str) -> Option<&Endpoint> {
        self.endpoints.get(vm)
    }

    /// Records an announcement that was made after `as_of`.
    pub fn record(&mut self, announcement: Announcement, as_of: Instant, now: Instant) -> Change {
        let vm: Name = announcement.vm.as_str().into();
        let Some(endpoint) = self.endpoints.get_mut(&vm) else {
            let changed = SmallVec::from_iter([entry_name(&announcement)]);
            self.add_to_group(&announcement);
            let labels = labels(&announcement);
            self.endpoints.insert(vm, Endpoint { announcement, as_of, last_received: now, labels });
            return Change::Changed(changed);
        };
        if announcement.sequence < endpoint.announcement.sequence {
            return Change::Stale;
        }
        endpoint.last_received = now;
        endpoint.as_of = endpoint.as_of.max(as_of);
        if is_same_state(&endpoint.announcement, &announcement) {
            endpoint.announcement = announcement;
            return Change::Refreshed;
        }
        endpoint.labels = labels(&announcement);
        let previous = std::mem::replace(&mut endpoint.announcement, announcement.clone());
        let mut changed = SmallVec::from_iter([entry_name(&previous)]);
        if entry_name(&announcement) != changed[0] {
            changed.push(entry_name(&announcement));
        }
        self.remove_from_group(&previous);
        self.add_to_group(&announcement);
        Change::Changed(changed)
    }

    /// Removes endpoints that have not announced themselves for `EVICT_AFTER`.
    pub fn evict_silent(&mut self, now: Instant) {
        let silent = |endpoint: &Endpoint| now.since(endpoint.last_received) > EVICT_AFTER;
        let evicted: Vec<Announcement> = self
            .endpoints
            .values()
            .filter(|endpoint| silent(endpoint))
            .map(|endpoint| endpoint.announcement.clone())
            .collect();
        for announcement in evicted {
            self.remove_from_group(&announcement);
            self.endpoints.remove(announcement.vm.as_str());
        }
    }

    /// Aggregates the announcements of a group instance or plain endpoint; returns none if there
    /// are none.
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

    fn add_to_group(&mut self, announcement: &Announcement) {
        if announcement.group.is_empty() {
            return;
        }
        let vms = self.groups.entry(announcement.group.as_str().into()).or_default();
        vms.push(announcement.vm.as_str().into());
    }

    fn remove_from_group(&mut self, announcement: &Announcement) {
        let Some(vms) = self.groups.get_mut(announcement.group.as_str()) else { return };
        vms.retain(|vm| **vm != *announcement.vm);
        if vms.is_empty() {
            self.groups.remove(announcement.group.as_str());
        }
    }
}

/// Name of the entry to which an announcement contributes: its group, or else its VM.
fn entry_name(announcement: &Announcement) -> Name {
    if announcement.group.is_empty() {
        return announcement.vm.as_str().into();
    }
    announcement.group.as_str().into()
}

/// Whether two announcements agree in everything but sequence number, load and step time.
fn is_same_state(a: &Announcement, b: &Announcement) -> bool {
    let state = |announcement: &Announcement| Announcement {
        sequence: 0,
        load: 0,
        step_ms: 0,
        ..announcement.clone()
    };
    state(a) == state(b)
}

/// Announced labels together with those that the system adds.
fn labels(announcement: &Announcement) -> Labels {
    let announced = announcement.labels.iter();
    let mut labels: Labels =
        announced.map(|(key, value)| (key.as_str().into(), value.as_str().into())).collect();
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

/// Aggregates the members with the highest generation; members of older generations are ignored.
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
    let is_serving = |phase| matches!(phase, Phase::Ready | Phase::Draining);
    let complete = all_present && current.iter().all(|member| is_serving(member.phase()));
    let ready = |member: &Endpoint| member.phase() == Phase::Ready && !member.announcement.leaving;
    let accepting = complete && current.iter().all(|member| ready(member));
    let times = current.iter().map(|member| member.as_of);
    let as_of = if accepting { times.min()? } else { times.max()? };
    let rank_zero = current.iter().find(|member| member.announcement.rank == 0);
    let rank_zero = rank_zero.unwrap_or(&current[0]);
    let entry = RouteEntry {
        name: name.to_owned(),
        group: name.split('/').next().unwrap_or(name).to_owned(),
        zone: rank_zero.announcement.zone.clone(),
        generation,
        complete,
        accepting,
        address: rank_zero.announcement.address.clone(),
        vm: rank_zero.announcement.vm.clone(),
        incarnation: rank_zero.announcement.incarnation,
        slots: rank_zero.announcement.slots,
        load: rank_zero.announcement.load,
        ..RouteEntry::default()
    };
    Some(Aggregate { entry, as_of })
}
