//! Announcements of endpoints, and the route entries that daemons exchange.
//!
//! A host of a zone aggregates the announcements of the zone's endpoints into one route entry for
//! each group instance or plain endpoint. It sends an entry to the linked daemons when its content
//! changes, and ages and loads of all entries at regular intervals.

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

/// Route entries in one message; a new link gets as many messages as needed.
const ENTRIES_PER_FRAME: usize = 256;

/// Route entry that a handle of another daemon identifies.
#[derive(Clone, Debug)]
pub(super) struct RemoteEntry {
    /// Group instance or plain endpoint.
    pub name: Name,
    /// Daemon that aggregated the entry.
    pub origin: Name,
}

/// A route entry that this daemon sends to others, its own or one that it relays.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct PublishedEntry {
    /// Daemon that aggregated the entry.
    origin: Name,
    /// Group instance or plain endpoint.
    name: Name,
}

/// What this daemon publishes to others about routes.
#[derive(Debug)]
pub(super) struct Publisher {
    /// Announcements to forward to the hosts of their zones with the next tick.
    announcements: Vec<BufferedAnnouncement>,
    /// Entries that this daemon aggregated, as last published.
    own_entries: BTreeMap<Name, RouteEntry>,
    /// Handle of each published entry; a handle is never reused.
    handles: BTreeMap<PublishedEntry, u32>,
    /// Version of the last published entry. Starts at a thousand times the incarnation, which is a
    /// time in milliseconds, so that versions also grow over restarts.
    version: u64,
}

/// An announcement to forward.
#[derive(Debug)]
struct BufferedAnnouncement {
    announcement: Announcement,
    /// Lower bound of the time at which the announcement was made.
    as_of: Instant,
}

impl Publisher {
    pub(super) fn new(incarnation: u64) -> Publisher {
        Publisher {
            announcements: Vec::new(),
            own_entries: BTreeMap::new(),
            handles: BTreeMap::new(),
            version: incarnation.saturating_mul(1000),
        }
    }

    /// Handle of an entry; assigns the next one if it has none.
    fn handle_of(&mut self, origin: &str, name: &str) -> u32 {
        let next = self.handles.len() as u32 + 1;
        let key = PublishedEntry { origin: origin.into(), name: name.into() };
        *self.handles.entry(key).or_insert(next)
    }
}

impl State {
    /// Creates the zone's endpoint table and the placement manager if this daemon hosts the zone.
    pub(super) fn open_endpoint_table(&mut self, now: Instant) {
        let hosts = self.hosts_of_zone(&self.setup.zone.clone());
        if hosts.contains(&self.setup.daemon) {
            self.endpoint_table = Some(Table::default());
            self.open_manager(now);
        }
    }

    /// Records an announcement that an endpoint made to this daemon, and forwards it to the hosts
    /// of its zone. `stamp` is a reading of this daemon's clock that the endpoint echoed; without
    /// it the announcement counts as arbitrarily old.
    pub(super) fn record_announcement(
        &mut self,
        now: Instant,
        announcement: Announcement,
        stamp: Option<u64>,
        effects: &mut Effects,
    ) {
        self.count(Counter::Announced, effects);
        let as_of = stamp.map_or(Instant::default(), Instant::from_millis).min(now);
        self.publisher
            .announcements
            .push(BufferedAnnouncement { announcement: announcement.clone(), as_of });
        self.update_endpoint_table(now, announcement, as_of, effects);
    }

    /// Records an announcement that another daemon forwarded.
    pub(super) fn record_forwarded_announcement(
        &mut self,
        now: Instant,
        aged: AgedAnnouncement,
        sent_after: Instant,
        effects: &mut Effects,
    ) {
        let Some(announcement) = aged.announcement else { return };
        let age = Duration::from_millis(u64::from(aged.age_ms));
        self.update_endpoint_table(now, announcement, sent_after.before(age), effects);
    }

    /// Updates the zone's endpoint table, if this daemon hosts it, and publishes the route entries
    /// that have changed.
    fn update_endpoint_table(
        &mut self,
        now: Instant,
        announcement: Announcement,
        as_of: Instant,
        effects: &mut Effects,
    ) {
        let Some(table) = &mut self.endpoint_table else { return };
        if *announcement.zone != *self.setup.zone {
            return;
        }
        let Change::Changed(names) = table.record(announcement, as_of, now) else { return };
        for name in names {
            self.publish_entry(now, &name, effects);
        }
    }

    /// Aggregates a group instance or plain endpoint again and publishes the entry. If nothing is
    /// announced about it any more, the published entry is neither complete nor accepting.
    fn publish_entry(&mut self, now: Instant, name: &Name, effects: &mut Effects) {
        let Some(table) = &self.endpoint_table else { return };
        let known = self.publisher.own_entries.get(name);
        let aggregate = match (table.aggregate(name), known) {
            (Some(aggregate), _) => aggregate,
            (None, None) => return,
            (None, Some(known)) => {
                let entry = RouteEntry { complete: false, accepting: false, ..known.clone() };
                Aggregate { entry, as_of: now }
            }
        };
        let origin = self.setup.daemon.clone();
        let handle = self.publisher.handle_of(&origin, name);
        self.publisher.version += 1;
        let entry = RouteEntry {
            handle,
            version: self.publisher.version,
            origin: origin.to_string(),
            age_ms: millis_saturating(now.since(aggregate.as_of)),
            ..aggregate.entry
        };
        self.publisher.own_entries.insert(name.clone(), entry.clone());
        self.routes.record_entry(entry.clone(), aggregate.as_of, now);
        self.handle_route_change(now, effects);
        for peer in self.links.keys() {
            let entries = RouteEntries { entries: vec![entry.clone()] };
            effects.push(Effect::Send { to: peer.clone(), body: Body::RouteEntries(entries) });
        }
    }

    /// Records a route entry of another daemon, and relays it if it is new.
    pub(super) fn record_entry(
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
            link.entries.insert(entry.handle, RemoteEntry { name, origin });
        }
        if self.routes.record_entry(entry.clone(), as_of, now) {
            self.relay_entry(now, from, entry, as_of, effects);
        }
        self.handle_route_change(now, effects);
    }

    /// As a host of this zone, relays an entry to daemons that have no link to its origin.
    fn relay_entry(
        &mut self,
        now: Instant,
        from: &Name,
        mut entry: RouteEntry,
        as_of: Instant,
        effects: &mut Effects,
    ) {
        if self.endpoint_table.is_none() {
            return;
        }
        entry.handle = self.publisher.handle_of(&entry.origin, &entry.name);
        entry.age_ms = millis_saturating(now.since(as_of));
        for (peer, link) in &self.links {
            let linked_to_origin =
                **peer == *entry.origin || link.hello.peers.contains(&entry.origin);
            if peer != from && !linked_to_origin {
                let entries = RouteEntries { entries: vec![entry.clone()] };
                effects.push(Effect::Send { to: peer.clone(), body: Body::RouteEntries(entries) });
            }
        }
    }

    /// Updates ages and loads of the entries that another daemon has sent before.
    pub(super) fn record_refresh(
        &mut self,
        now: Instant,
        from: &Name,
        refresh: &Refresh,
        sent_after: Instant,
    ) {
        let Some(link) = self.links.get(from) else { return };
        let mut handle = 0;
        let values = refresh.handles.iter().zip(&refresh.ages).zip(&refresh.loads);
        for ((delta, age), load) in values {
            handle += delta;
            let Some(remote) = link.entries.get(&handle) else { continue };
            let age = Duration::from_millis(u64::from(age * REFRESH_AGE_UNIT_MS));
            let as_of = sent_after.before(age);
            self.routes.refresh(&remote.name, &remote.origin, as_of, *load, now);
        }
    }

    /// Sends all entries that this daemon publishes or relays to a newly linked daemon.
    pub(super) fn publish_all_entries(&mut self, now: Instant, peer: &Name, effects: &mut Effects) {
        if self.endpoint_table.is_none() {
            return;
        }
        let Some(link) = self.links.get(peer) else { return };
        let peers_of_peer = link.hello.peers.clone();
        let mut entries = Vec::new();
        for (_, route) in self.routes.routes() {
            for observation in &route.observations {
                let origin = &observation.entry.origin;
                let own = **origin == *self.setup.daemon;
                if own || (**origin != **peer && !peers_of_peer.contains(origin)) {
                    let age_ms = millis_saturating(now.since(observation.as_of));
                    entries.push(RouteEntry { age_ms, ..observation.entry.clone() });
                }
            }
        }
        for entry in &mut entries {
            entry.handle = self.publisher.handle_of(&entry.origin, &entry.name);
        }
        for chunk in entries.chunks(ENTRIES_PER_FRAME) {
            let entries = RouteEntries { entries: chunk.to_vec() };
            effects.push(Effect::Send { to: peer.clone(), body: Body::RouteEntries(entries) });
        }
    }

    /// Forwards announcements, and at regular intervals drops silent endpoints and sends ages and
    /// loads.
    pub(super) fn tick_members(&mut self, now: Instant, effects: &mut Effects) {
        self.forward_announcements(now, effects);
        if now < self.schedule.refresh {
            return;
        }
        self.schedule.refresh = now + REFRESH_INTERVAL;
        self.routes.evict_silent(now);
        if self.endpoint_table.is_none() {
            return;
        }
        self.refresh_own_entries(now);
        let peers: Vec<Name> = self.links.keys().cloned().collect();
        for peer in peers {
            let refresh = self.build_refresh(now, &peer);
            if !refresh.handles.is_empty() {
                effects.push(Effect::Send { to: peer, body: Body::Refresh(refresh) });
            }
        }
    }

    /// Sends the collected announcements to the linked hosts of their zones.
    fn forward_announcements(&mut self, now: Instant, effects: &mut Effects) {
        if self.publisher.announcements.is_empty() {
            return;
        }
        let buffered = std::mem::take(&mut self.publisher.announcements);
        let mut batches: BTreeMap<String, Vec<AgedAnnouncement>> = BTreeMap::new();
        for buffered in buffered {
            let age_ms = millis_saturating(now.since(buffered.as_of));
            let zone = buffered.announcement.zone.clone();
            let aged = AgedAnnouncement { announcement: Some(buffered.announcement), age_ms };
            batches.entry(zone).or_default().push(aged);
        }
        for (zone, announcements) in batches {
            for host in self.hosts_of_zone(&zone.into()) {
                if self.links.contains_key(&host) {
                    let list = Announcements { announcements: announcements.clone() };
                    let body = Body::Announcements(list);
                    effects.push(Effect::Send { to: host, body });
                }
            }
        }
    }

    /// Updates ages and loads of the entries that this daemon aggregates.
    fn refresh_own_entries(&mut self, now: Instant) {
        let Some(table) = &mut self.endpoint_table else { return };
        table.evict_silent(now);
        let origin = self.setup.daemon.clone();
        for name in self.publisher.own_entries.keys() {
            if let Some(aggregate) = table.aggregate(name) {
                self.routes.refresh(name, &origin, aggregate.as_of, aggregate.entry.load, now);
            }
        }
    }

    /// Ages and loads of the published entries that a daemon needs from this one: its own, and
    /// relayed ones whose origin the daemon is not linked to. Entries older than [`MEMBER_TTL`] are
    /// left out, so that they expire at the receiver too.
    fn build_refresh(&self, now: Instant, peer: &Name) -> Refresh {
        let mut rows: Vec<(u32, u32, u32)> = Vec::new();
        let Some(link) = self.links.get(peer) else { return Refresh::default() };
        for (key, handle) in &self.publisher.handles {
            let own = key.origin == self.setup.daemon;
            let origin = key.origin.to_string();
            if !own && (key.origin == *peer || link.hello.peers.contains(&origin)) {
                continue;
            }
            let Some(route) = self.routes.route(&key.name) else { continue };
            let observation = route
                .observations
                .iter()
                .find(|observation| *observation.entry.origin == *key.origin);
            let Some(observation) = observation else { continue };
            if !own && is_published_by_other(route, observation, now) {
                continue;
            }
            let age = now.since(observation.as_of);
            if age < MEMBER_TTL {
                rows.push((
                    *handle,
                    millis_saturating(age).div_ceil(REFRESH_AGE_UNIT_MS),
                    observation.entry.load,
                ));
            }
        }
        rows.sort_unstable();
        let mut refresh = Refresh::default();
        let mut last = 0;
        for (handle, age, load) in rows {
            refresh.handles.push(handle - last);
            refresh.ages.push(age);
            refresh.loads.push(load);
            last = handle;
        }
        refresh
    }
}

/// Whether an observation need not be relayed, because a fresh one of the same route exists from a
/// host whose name sorts before its origin. Daemons that are linked to no host of a zone need the
/// entries of only one of them.
fn is_published_by_other(route: &Route, observation: &Observation, now: Instant) -> bool {
    route.observations.iter().any(|other| {
        other.entry.origin < observation.entry.origin && now.since(other.as_of) < MEMBER_TTL
    })
}

/// Whole milliseconds, at most `u32::MAX`.
fn millis_saturating(span: Duration) -> u32 {
    u32::try_from(span.as_millis()).unwrap_or(u32::MAX)
}
