//! Announcements, folded entries and beats.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Instant;
use crate::count::Counter;
use crate::effect::{Effect, Effects};
use crate::membership::{Aggregate, Change, Table};
use crate::message::{
    AgedAnnouncement, Announcement, Announcements, Body, Refresh, RouteEntries, RouteEntry,
    REFRESH_AGE_UNIT_MS,
};
use crate::policy::{MEMBER_TTL, REFRESH_INTERVAL};
use crate::route::{Observation, Route};
use crate::Name;

use super::State;

/// Entries sent in one frame.
const ENTRIES_PER_FRAME: usize = 256;

/// What a handle of another daemon stands for.
#[derive(Clone, Debug)]
pub(super) struct Source {
    pub name: Name,
    pub origin: Name,
}

/// A view that this daemon publishes.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Topic {
    origin: Name,
    name: Name,
}

/// What this daemon tells others about routes.
#[derive(Debug)]
pub(super) struct Publisher {
    /// Announcements to pass on to the hosts of the zone.
    heard: Vec<Waiting>,
    /// Entries folded here, as last published.
    own: BTreeMap<Name, RouteEntry>,
    handles: BTreeMap<Topic, u32>,
    version: u64,
}

/// An announcement that waits for the next batch.
#[derive(Debug)]
struct Waiting {
    announcement: Announcement,
    as_of: Instant,
}

impl Publisher {
    pub(super) fn new(incarnation: u64) -> Publisher {
        Publisher {
            heard: Vec::new(),
            own: BTreeMap::new(),
            handles: BTreeMap::new(),
            version: incarnation.saturating_mul(1000),
        }
    }

    fn handle(&mut self, origin: &str, name: &str) -> u32 {
        let next = self.handles.len() as u32 + 1;
        let topic = Topic { origin: origin.into(), name: name.into() };
        *self.handles.entry(topic).or_insert(next)
    }
}

impl State {
    pub(super) fn open_members(&mut self, now: Instant) {
        let hosts = self.hosts_of_zone(&self.setup.zone.clone());
        if hosts.contains(&self.setup.daemon) {
            self.members = Some(Table::default());
            self.open_manager(now);
        }
    }

    pub(super) fn announced(
        &mut self,
        now: Instant,
        announcement: Announcement,
        stamp: Option<u64>,
        effects: &mut Effects,
    ) {
        self.count(Counter::Announced, effects);
        let as_of = stamp.map_or(Instant::default(), Instant::from_millis).min(now);
        self.publisher.heard.push(Waiting { announcement: announcement.clone(), as_of });
        self.take_in(now, announcement, as_of, effects);
    }

    pub(super) fn heard_announcement(
        &mut self,
        now: Instant,
        heard: AgedAnnouncement,
        sent_after: Instant,
        effects: &mut Effects,
    ) {
        let Some(announcement) = heard.announcement else { return };
        let age = Duration::from_millis(u64::from(heard.age_ms));
        self.take_in(now, announcement, sent_after.before(age), effects);
    }

    /// Takes an announcement into the zone's table, if this daemon hosts it.
    fn take_in(
        &mut self,
        now: Instant,
        announcement: Announcement,
        as_of: Instant,
        effects: &mut Effects,
    ) {
        let Some(members) = &mut self.members else { return };
        if *announcement.zone != *self.setup.zone {
            return;
        }
        let Change::Changed(names) = members.record(announcement, as_of, now) else { return };
        for name in names {
            self.refold(now, &name, effects);
        }
    }

    /// Folds a name again and publishes it if its content has changed.
    fn refold(&mut self, now: Instant, name: &Name, effects: &mut Effects) {
        let Some(members) = &self.members else { return };
        let known = self.publisher.own.get(name);
        let folded = match (members.aggregate(name), known) {
            (Some(folded), _) => folded,
            (None, None) => return,
            (None, Some(known)) => {
                let entry = RouteEntry { complete: false, accepting: false, ..known.clone() };
                Aggregate { entry, as_of: now }
            }
        };
        let origin = self.setup.daemon.clone();
        let handle = self.publisher.handle(&origin, name);
        self.publisher.version += 1;
        let entry = RouteEntry {
            handle,
            version: self.publisher.version,
            origin: origin.to_string(),
            age_ms: millis(now.since(folded.as_of)),
            ..folded.entry
        };
        self.publisher.own.insert(name.clone(), entry.clone());
        self.routes.record_entry(entry.clone(), folded.as_of, now);
        self.after_route_change(now, effects);
        for peer in self.links.keys() {
            let entries = RouteEntries { entries: vec![entry.clone()] };
            effects.push(Effect::Send { to: peer.clone(), body: Body::RouteEntries(entries) });
        }
    }

    pub(super) fn heard_entry(
        &mut self,
        now: Instant,
        from: &Name,
        entry: RouteEntry,
        sent_after: Instant,
        effects: &mut Effects,
    ) {
        if *entry.origin == *self.setup.daemon {
            return;
        }
        let age = Duration::from_millis(u64::from(entry.age_ms));
        let as_of = sent_after.before(age);
        if let Some(link) = self.links.get_mut(from) {
            let name = entry.name.as_str().into();
            let origin = entry.origin.as_str().into();
            link.sources.insert(entry.handle, Source { name, origin });
        }
        if self.routes.record_entry(entry.clone(), as_of, now) {
            self.relay(now, from, entry, as_of, effects);
        }
        self.after_route_change(now, effects);
    }

    /// Passes an entry of another zone's host on to daemons that have no link to that host.
    fn relay(
        &mut self,
        now: Instant,
        from: &Name,
        mut entry: RouteEntry,
        as_of: Instant,
        effects: &mut Effects,
    ) {
        if self.members.is_none() {
            return;
        }
        entry.handle = self.publisher.handle(&entry.origin, &entry.name);
        entry.age_ms = millis(now.since(as_of));
        for (peer, link) in &self.links {
            let direct = **peer == *entry.origin || link.hello.peers.contains(&entry.origin);
            if peer != from && !direct {
                let entries = RouteEntries { entries: vec![entry.clone()] };
                effects.push(Effect::Send { to: peer.clone(), body: Body::RouteEntries(entries) });
            }
        }
    }

    pub(super) fn heard_beat(
        &mut self,
        now: Instant,
        from: &Name,
        beat: &Refresh,
        sent_after: Instant,
    ) {
        let Some(link) = self.links.get(from) else { return };
        let mut handle = 0;
        let values = beat.handles.iter().zip(&beat.ages).zip(&beat.loads);
        for ((step, age), load) in values {
            handle += step;
            let Some(source) = link.sources.get(&handle) else { continue };
            let age = Duration::from_millis(u64::from(age * REFRESH_AGE_UNIT_MS));
            let as_of = sent_after.before(age);
            self.routes.refresh(&source.name, &source.origin, as_of, *load, now);
        }
    }

    /// Sends everything that this daemon publishes to a new link.
    pub(super) fn publish_all(&mut self, now: Instant, peer: &Name, effects: &mut Effects) {
        if self.members.is_none() {
            return;
        }
        let Some(link) = self.links.get(peer) else { return };
        let listed = link.hello.peers.clone();
        let mut entries = Vec::new();
        for (_, route) in self.routes.routes() {
            for view in &route.observations {
                let origin = &view.entry.origin;
                let own = **origin == *self.setup.daemon;
                if own || (**origin != **peer && !listed.contains(origin)) {
                    let age_ms = millis(now.since(view.as_of));
                    entries.push(RouteEntry { age_ms, ..view.entry.clone() });
                }
            }
        }
        for entry in &mut entries {
            entry.handle = self.publisher.handle(&entry.origin, &entry.name);
        }
        for chunk in entries.chunks(ENTRIES_PER_FRAME) {
            let entries = RouteEntries { entries: chunk.to_vec() };
            effects.push(Effect::Send { to: peer.clone(), body: Body::RouteEntries(entries) });
        }
    }

    pub(super) fn tick_members(&mut self, now: Instant, effects: &mut Effects) {
        self.pass_on_announcements(now, effects);
        if now < self.due.beat {
            return;
        }
        self.due.beat = now + REFRESH_INTERVAL;
        self.routes.evict_silent(now);
        if self.members.is_none() {
            return;
        }
        self.refresh_own(now);
        let peers: Vec<Name> = self.links.keys().cloned().collect();
        for peer in peers {
            let beat = self.beat_for(now, &peer);
            if !beat.handles.is_empty() {
                effects.push(Effect::Send { to: peer, body: Body::Refresh(beat) });
            }
        }
    }

    fn pass_on_announcements(&mut self, now: Instant, effects: &mut Effects) {
        if self.publisher.heard.is_empty() {
            return;
        }
        let waiting = std::mem::take(&mut self.publisher.heard);
        let mut batches: BTreeMap<String, Vec<AgedAnnouncement>> = BTreeMap::new();
        for waiting in waiting {
            let age_ms = millis(now.since(waiting.as_of));
            let zone = waiting.announcement.zone.clone();
            let heard = AgedAnnouncement { announcement: Some(waiting.announcement), age_ms };
            batches.entry(zone).or_default().push(heard);
        }
        for (zone, heard) in batches {
            for host in self.hosts_of_zone(&zone.into()) {
                if self.links.contains_key(&host) {
                    let list = Announcements { announcements: heard.clone() };
                    let body = Body::Announcements(list);
                    effects.push(Effect::Send { to: host, body });
                }
            }
        }
    }

    /// Brings ages and loads of the entries folded here up to date.
    fn refresh_own(&mut self, now: Instant) {
        let Some(members) = &mut self.members else { return };
        members.evict_silent(now);
        let origin = self.setup.daemon.clone();
        for name in self.publisher.own.keys() {
            if let Some(folded) = members.aggregate(name) {
                self.routes.refresh(name, &origin, folded.as_of, folded.entry.load, now);
            }
        }
    }

    fn beat_for(&self, now: Instant, peer: &Name) -> Refresh {
        let mut rows: Vec<(u32, u32, u32)> = Vec::new();
        let Some(link) = self.links.get(peer) else { return Refresh::default() };
        for (topic, handle) in &self.publisher.handles {
            let own = topic.origin == self.setup.daemon;
            let origin = topic.origin.to_string();
            if !own && (topic.origin == *peer || link.hello.peers.contains(&origin)) {
                continue;
            }
            let Some(route) = self.routes.route(&topic.name) else { continue };
            let view = route.observations.iter().find(|view| *view.entry.origin == *topic.origin);
            let Some(view) = view else { continue };
            if !own && is_covered(route, view, now) {
                continue;
            }
            let age = now.since(view.as_of);
            if age < MEMBER_TTL {
                rows.push((*handle, millis(age).div_ceil(REFRESH_AGE_UNIT_MS), view.entry.load));
            }
        }
        rows.sort_unstable();
        let mut beat = Refresh::default();
        let mut last = 0;
        for (handle, age, load) in rows {
            beat.handles.push(handle - last);
            beat.ages.push(age);
            beat.loads.push(load);
            last = handle;
        }
        beat
    }
}

/// Whether another host's view of a route goes out in its place: of the hosts of another zone, the
/// one with the smallest name that is alive is enough for daemons that are not linked to any.
fn is_covered(route: &Route, view: &Observation, now: Instant) -> bool {
    route
        .observations
        .iter()
        .any(|other| other.entry.origin < view.entry.origin && now.since(other.as_of) < MEMBER_TTL)
}

fn millis(span: Duration) -> u32 {
    u32::try_from(span.as_millis()).unwrap_or(u32::MAX)
}
