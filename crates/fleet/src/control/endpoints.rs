//! State of the endpoints, learned from heartbeats, probes and the outcomes of orders.
//!
//! It is not replicated through the log: each control daemon keeps its own table and forwards the
//! heartbeats that it receives to the others.

use std::collections::BTreeMap;
use std::time::Duration;

use dotterelhoist_core::clock::Instant;

use crate::endpoint::{Heartbeat, Membership, Stage, DEPARTURE_TTL};
use crate::message::Departure as DepartureNotice;
use crate::Name;

pub mod claims;

use self::claims::{Claim, Restart};

/// Time since an endpoint was last seen after which it is removed from the table.
pub(super) const RETENTION: Duration = Duration::from_secs(60);

/// Prefix of the name of a standby group, before the name of its model. A standby group has one
/// member, which only keeps the model in memory.
pub(super) const STANDBY_PREFIX: &str = "standby-";

/// Time between the first unanswered probe of an endpoint, or a later progress of its group's head,
/// and another unanswered probe, from which on the endpoint counts as failed. A sound endpoint may
/// pause for a second or so, and the first probe has waited for its answer before.
const SILENCE_MAX: Duration = Duration::from_millis(1200);

/// Time after an endpoint has left a group in which a heartbeat that names the group was sent before.
/// An endpoint that joins again needs longer until it can serve.
const DEPARTURE_SETTLE_TIME: Duration = Duration::from_millis(300);

/// Time for which what an endpoint has said itself about its group goes before the answer to a probe,
/// which may describe a state of some hundred milliseconds before.
const REPORT_LAG_MAX: Duration = Duration::from_secs(1);

/// That an endpoint has left a group.
#[derive(Clone, Debug)]
struct Departure {
    /// Name of the group.
    group: Name,
    /// Generation of the group.
    epoch: u64,
    /// When it said so.
    at: Instant,
    /// Whether a heartbeat since has said so too.
    confirmed: bool,
}

impl Departure {
    /// Whether this is the group that it has left.
    fn is_from(&self, membership: &Membership) -> bool {
        membership.is_in(&self.group, self.epoch)
    }
}

/// A period in which an endpoint has not responded. It is a suspicion, which keeps new work away
/// from the endpoint, until [`Outage::is_failure`].
#[derive(Clone, Copy, Debug)]
pub struct Outage {
    /// When a probe or an order first failed to reach the endpoint.
    pub since: Instant,
    /// When one last failed to reach it.
    pub last_failure: Instant,
    /// Whether its address refused a connection, or another endpoint answered there.
    pub refused: bool,
}

impl Outage {
    /// Whether the endpoint has failed: its address refuses connections, or it has been silent for
    /// longer than a sound endpoint is. `progressed_at` is the last progress of its group's head.
    pub fn is_failure(&self, progressed_at: Option<Instant>) -> bool {
        let silent_since = progressed_at.map_or(self.since, |at| at.max(self.since));
        self.refused || self.last_failure.since(silent_since) >= SILENCE_MAX
    }
}

/// What this daemon knows about an endpoint.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Its newest heartbeat.
    pub heartbeat: Heartbeat,
    /// When it last sent a heartbeat or answered a probe.
    pub last_seen: Instant,
    /// Its failures to respond since its last heartbeat or probe answer.
    pub outage: Option<Outage>,
    /// Model of the last group in which it was ready, in its current incarnation.
    pub last_served: Option<Name>,
    /// Whether it counts as the one that uses its address: its service is in the configuration, and no
    /// other endpoint is there.
    holds_address: bool,
    /// Whether another endpoint uses its address, so that it gets no requests and no orders.
    denied: bool,
    /// Whether this incarnation has answered at its address.
    pub attested: bool,
    /// Last heartbeat of another incarnation that has not answered yet.
    restart: Option<Restart>,
    /// When this incarnation deregistered, or another one took its address; none before.
    gone_at: Option<Instant>,
    /// Whether another endpoint has answered at its address, which proves that it has terminated. A
    /// refused connection is no proof, as a network partition may reset connections.
    pub confirmed_dead: bool,
    /// The group that it has last left by an order of this daemon.
    departure: Option<Departure>,
    /// Highest generation that it has joined by an order of this daemon; it can't be in a lower one
    /// any more.
    joined_epoch: u64,
    /// When it last said in which group it is, by a heartbeat or by the answer to an order.
    told_at: Instant,
    /// Whether entry daemons have been told that this incarnation leaves.
    departure_told: bool,
}

/// All endpoints by identity.
#[derive(Debug, Default)]
pub struct Table {
    endpoints: BTreeMap<Name, Endpoint>,
    /// Unknown endpoints that have deregistered, by identity.
    unknown_departures: BTreeMap<Name, UnknownDeparture>,
    /// Endpoints that may leave, of which entry daemons may not have been told.
    untold: Vec<Name>,
    /// Claims that are not decided.
    claims: Vec<Claim>,
}

/// Deregistration of an endpoint that is not known, so that its late heartbeats can be told.
#[derive(Clone, Copy, Debug)]
struct UnknownDeparture {
    /// Start of its incarnation, if it has stated it.
    started: Option<u64>,
    at: Instant,
    /// Whether entry daemons have been told.
    told: bool,
}

impl UnknownDeparture {
    fn open(started: Option<u64>, at: Instant) -> UnknownDeparture {
        UnknownDeparture { started, at, told: false }
    }

    /// Takes over what another daemon has said of the same endpoint: the latest incarnation counts.
    fn merge(&mut self, other: UnknownDeparture) {
        let later = match (self.started, other.started) {
            (Some(known), Some(stated)) => stated > known,
            (known, stated) => known.is_some() && stated.is_none(),
        };
        if later {
            *self = other;
        }
    }

    /// The heartbeat that tells other control daemons.
    fn heartbeat(&self, id: &str) -> Heartbeat {
        let started_unix_ms = self.started.unwrap_or_default();
        Heartbeat { id: id.to_owned(), started_unix_ms, gone: true, ..Heartbeat::default() }
    }
}

/// What entry daemons are told of a departure.
fn departure_notice(now: Instant, heartbeat: &Heartbeat, at: Instant) -> DepartureNotice {
    DepartureNotice {
        id: heartbeat.id.clone(),
        started_unix_ms: heartbeat.started_unix_ms,
        age_ms: now.since(at).as_millis() as u32,
    }
}

impl Table {
    /// Records a heartbeat that was received at `last_seen`. Returns false if it is not newer than
    /// the last one, or if an endpoint that started later already uses the same address. `named`
    /// says whether the configuration names its service: only then is it a claim that others at its
    /// address have terminated ([`claims`]).
    pub fn record_heartbeat(
        &mut self,
        heartbeat: Heartbeat,
        last_seen: Instant,
        named: bool,
    ) -> bool {
        let id: Name = heartbeat.id.as_str().into();
        let is_new = match self.endpoints.get_mut(&id) {
            Some(endpoint) if named && endpoint.is_restart(&heartbeat) => {
                if heartbeat.draining && heartbeat.supersedes(&endpoint.heartbeat) {
                    endpoint.record_gone(last_seen);
                }
                self.claim_restart(&id, heartbeat, last_seen);
                true
            }
            Some(endpoint) => endpoint.update(heartbeat, last_seen),
            None => self.insert(heartbeat, last_seen),
        };
        if is_new && named {
            self.claim_address(&id, last_seen);
        }
        self.untold.push(id);
        is_new
    }

    /// Records the departure of an incarnation, of which another daemon has told this one. `at` is when
    /// it was acknowledged, `started` the start of the incarnation if it is known.
    pub fn record_departure(&mut self, at: Instant, id: &str, started: Option<u64>) {
        let Some(endpoint) = self.endpoints.get_mut(id) else {
            let departure = UnknownDeparture::open(started, at);
            self.unknown_departures.entry(id.into()).or_insert(departure).merge(departure);
            self.untold.push(id.into());
            return;
        };
        if started.is_none_or(|started| started >= endpoint.heartbeat.started_unix_ms) {
            endpoint.record_gone(at);
            self.untold.push(id.into());
        }
    }

    /// Endpoints that leave, each with a heartbeat that says so and when that was first known.
    pub fn departed(&self) -> impl Iterator<Item = (Heartbeat, Instant)> + '_ {
        let known = self.endpoints.values().filter(|endpoint| endpoint.leaves());
        let known = known.map(|endpoint| (endpoint.heartbeat.clone(), endpoint.left_at()));
        let unknown = self.unknown_departures.iter();
        known.chain(unknown.map(|(id, departure)| (departure.heartbeat(id), departure.at)))
    }

    /// All departures, as they are told to entry daemons.
    pub fn list_departures(&self, now: Instant) -> Vec<DepartureNotice> {
        self.departed().map(|(heartbeat, at)| departure_notice(now, &heartbeat, at)).collect()
    }

    /// The departures that were recorded since the last call.
    pub fn take_new_departures(&mut self, now: Instant) -> Vec<DepartureNotice> {
        let mut notices = Vec::new();
        for id in std::mem::take(&mut self.untold) {
            if let Some(departure) = self.unknown_departures.get_mut(&id) {
                if !std::mem::replace(&mut departure.told, true) {
                    notices.push(departure_notice(now, &departure.heartbeat(&id), departure.at));
                }
                continue;
            }
            let Some(endpoint) = self.endpoints.get_mut(&id) else { continue };
            if endpoint.leaves() && !std::mem::replace(&mut endpoint.departure_told, true) {
                notices.push(departure_notice(now, &endpoint.heartbeat, endpoint.left_at()));
            }
        }
        notices
    }

    /// Adds an endpoint that was not known. Returns false if one that started later already uses the
    /// same address.
    fn insert(&mut self, heartbeat: Heartbeat, last_seen: Instant) -> bool {
        if heartbeat.gone && heartbeat.address.is_empty() {
            let started = Some(heartbeat.started_unix_ms).filter(|started| *started > 0);
            self.record_departure(last_seen, &heartbeat.id, started);
            return true;
        }
        if self.endpoints.values().any(|other| {
            other.holds_address
                && other.attested
                && other.heartbeat.address == heartbeat.address
                && other.heartbeat.started_unix_ms > heartbeat.started_unix_ms
        }) {
            return false;
        }
        let id: Name = heartbeat.id.as_str().into();
        let departure = self.unknown_departures.remove(&id);
        let departure = departure.filter(|departure| {
            departure.started.is_none_or(|started| started >= heartbeat.started_unix_ms)
        });
        let mut endpoint = Endpoint::open(heartbeat, last_seen);
        endpoint.gone_at = endpoint.gone_at.or(departure.map(|departure| departure.at));
        endpoint.keep_gone(last_seen);
        self.endpoints.insert(id, endpoint);
        true
    }

    /// Marks an endpoint that deregisters as gone. Returns the heartbeat that tells the other control
    /// daemons so, or none if a later incarnation is known than the one that deregisters. `started` is
    /// the start of that incarnation, if the endpoint has stated it.
    pub fn deregister(
        &mut self,
        now: Instant,
        id: &str,
        started: Option<u64>,
    ) -> Option<Heartbeat> {
        let Some(endpoint) = self.endpoints.get_mut(id) else {
            self.record_departure(now, id, started);
            return Some(UnknownDeparture::open(started, now).heartbeat(id));
        };
        if started.is_some_and(|started| started < endpoint.heartbeat.started_unix_ms) {
            return None;
        }
        endpoint.record_gone(now);
        endpoint.heartbeat.sequence = endpoint.heartbeat.sequence.saturating_add(1);
        self.untold.push(id.into());
        Some(endpoint.heartbeat.clone())
    }

    /// Returns the endpoint with the given identity.
    pub fn find(&self, id: &str) -> Option<&Endpoint> {
        self.endpoints.get(id)
    }

    /// Returns the endpoint with the given identity for modification.
    pub fn find_mut(&mut self, id: &str) -> Option<&mut Endpoint> {
        self.endpoints.get_mut(id)
    }

    /// Iterates over all endpoints in the order of their identities.
    pub fn iter(&self) -> impl Iterator<Item = (&Name, &Endpoint)> {
        self.endpoints.iter()
    }

    /// Removes endpoints that have not been seen for `RETENTION`.
    pub fn remove_expired(&mut self, now: Instant) {
        self.endpoints.retain(|_, endpoint| now.since(endpoint.last_seen) < RETENTION);
        self.unknown_departures.retain(|_, departure| now.since(departure.at) < DEPARTURE_TTL);
    }
}

impl Endpoint {
    /// An endpoint whose first heartbeat was received at `last_seen`.
    fn open(heartbeat: Heartbeat, last_seen: Instant) -> Endpoint {
        Endpoint {
            gone_at: heartbeat.gone.then_some(last_seen),
            heartbeat,
            last_seen,
            holds_address: false,
            denied: false,
            attested: false,
            restart: None,
            outage: None,
            last_served: None,
            confirmed_dead: false,
            departure: None,
            joined_epoch: 0,
            told_at: last_seen,
            departure_told: false,
        }
    }

    /// Records a heartbeat that was received at `last_seen`. Returns false if it is not newer than the
    /// last one.
    fn update(&mut self, heartbeat: Heartbeat, last_seen: Instant) -> bool {
        let restarted = !self.is_incarnation(&heartbeat);
        if heartbeat.gone && !restarted {
            self.record_gone(last_seen);
        }
        if !heartbeat.supersedes(&self.heartbeat) {
            return false;
        }
        if heartbeat.address != self.heartbeat.address {
            self.holds_address = false;
            self.attested = false;
        }
        if restarted {
            self.restart_as(heartbeat, last_seen);
        } else {
            self.heartbeat = heartbeat;
        }
        self.last_seen = self.last_seen.max(last_seen);
        self.told_at = self.told_at.max(last_seen);
        self.outage = None;
        self.keep_gone(last_seen);
        self.confirm_departure(last_seen);
        self.discard_outdated_membership(last_seen);
        true
    }

    /// Replaces its state by that of a later incarnation.
    fn restart_as(&mut self, heartbeat: Heartbeat, seen_at: Instant) {
        let last_seen = self.last_seen.max(seen_at);
        *self = Endpoint { last_seen, ..Endpoint::open(heartbeat, seen_at) };
    }

    /// Whether it was last seen less than `timeout` ago, has not terminated or deregistered, nobody else
    /// is at its address, and has no outage. Suffices for decisions that can be taken back; others need
    /// [`Endpoint::has_failed`].
    pub fn is_alive(&self, now: Instant, timeout: Duration) -> bool {
        self.is_alive_since(now, timeout, Instant::default())
    }

    /// Like [`Endpoint::is_alive`], but disregards missing heartbeats and failed probes from before
    /// `since`, the time at which its zone became reachable again.
    pub fn is_alive_since(&self, now: Instant, timeout: Duration, since: Instant) -> bool {
        let recently_seen = now.since(self.last_seen.max(since)) < timeout;
        let present = !self.heartbeat.gone && !self.denied;
        present && self.outage_since(since).is_none() && recently_seen
    }

    /// Whether another endpoint uses its address.
    pub fn is_denied(&self) -> bool {
        self.denied
    }

    /// Its outage, unless that began before `since`.
    pub fn outage_since(&self, since: Instant) -> Option<Outage> {
        self.outage.filter(|outage| outage.since >= since)
    }

    /// Whether it has failed since `since`: it was not seen for `timeout`, or its outage is a
    /// failure. `progressed_at` is the last progress of its group's head.
    pub fn has_failed(
        &self,
        now: Instant,
        timeout: Duration,
        since: Instant,
        progressed_at: Option<Instant>,
    ) -> bool {
        let outage = self.outage_since(since);
        outage.is_some_and(|outage| outage.is_failure(progressed_at))
            || now.since(self.last_seen.max(since)) >= timeout
    }

    /// Records that it has responded, which ends an outage.
    pub fn record_answer(&mut self, now: Instant) {
        self.last_seen = now;
        self.outage = None;
    }

    /// Records that a probe or an order did not reach it. Returns whether that began an outage; one
    /// from before `since` is over.
    pub fn record_failure(&mut self, now: Instant, since: Instant, refused: bool) -> bool {
        let current = self.outage_since(since);
        let mut outage = current.unwrap_or(Outage { since: now, last_failure: now, refused });
        outage.last_failure = now;
        outage.refused |= refused;
        self.outage = Some(outage);
        current.is_none()
    }

    /// Whether a heartbeat is one of its current incarnation. That of a daemon which does not know the
    /// endpoint states none.
    fn is_incarnation(&self, heartbeat: &Heartbeat) -> bool {
        let unstated = heartbeat.gone && heartbeat.started_unix_ms == 0;
        unstated || heartbeat.started_unix_ms == self.heartbeat.started_unix_ms
    }

    /// Whether it has deregistered or terminated, or drains.
    pub fn leaves(&self) -> bool {
        self.heartbeat.gone || self.heartbeat.draining
    }

    /// When it was first known to leave, if it does.
    fn left_at(&self) -> Instant {
        self.gone_at.unwrap_or(self.last_seen)
    }

    /// Records that it has deregistered or terminated.
    fn record_gone(&mut self, now: Instant) {
        self.heartbeat.gone = true;
        self.gone_at.get_or_insert(now);
    }

    /// Keeps it gone although its newest heartbeat, seen at this time, does not say so.
    fn keep_gone(&mut self, seen_at: Instant) {
        let Some(gone_at) = self.gone_at else { return };
        if seen_at.since(gone_at) < DEPARTURE_TTL {
            self.heartbeat.gone = true;
        } else if !self.heartbeat.gone {
            self.gone_at = None;
        }
    }

    /// Records that it has carried out an order to join this generation of a group.
    pub fn record_join(&mut self, now: Instant, epoch: u64) {
        self.joined_epoch = self.joined_epoch.max(epoch);
        self.told_at = now;
        self.discard_outdated_membership(now);
    }

    /// Records its answer that it is not, or no longer, in this generation of a group.
    pub fn record_leave(&mut self, now: Instant, group: &Name, epoch: u64) {
        let group = group.clone();
        self.departure = Some(Departure { group, epoch, at: now, confirmed: false });
        self.told_at = now;
        self.discard_outdated_membership(now);
    }

    /// Records its report, with which it has answered a probe. If its heartbeats may be late, a report that it is
    /// in a group goes before them.
    pub fn record_report(&mut self, now: Instant, report: Heartbeat, heartbeats_may_be_late: bool) {
        let same_incarnation = report.started_unix_ms == self.heartbeat.started_unix_ms;
        let goes_before = heartbeats_may_be_late && report.membership.is_some();
        if same_incarnation && (goes_before || now.since(self.told_at) >= REPORT_LAG_MAX) {
            self.heartbeat.membership = report.membership;
            self.discard_outdated_membership(now);
        }
        self.heartbeat.staged = report.staged;
        self.record_answer(now);
    }

    /// Group that it reports, unless that is a standby group that does not serve.
    pub fn reported_group(&self) -> Option<&Membership> {
        let membership = self.heartbeat.membership.as_ref()?;
        let idle = matches!(membership.stage(), Stage::Joining | Stage::Ready);
        let is_standby = idle && membership.group.starts_with(STANDBY_PREFIX);
        (!is_standby).then_some(membership)
    }

    /// Whether its heartbeats agree with its answer that it has left a group.
    pub fn has_confirmed_departure(&self) -> bool {
        self.departure.as_ref().is_none_or(|departure| departure.confirmed)
    }

    /// Discards the membership of its newest heartbeat or report, seen at this time, if that is older
    /// than what it has answered to an order.
    fn discard_outdated_membership(&mut self, seen_at: Instant) {
        let Some(membership) = &self.heartbeat.membership else { return };
        let has_left = self.departure.as_ref().is_some_and(|departure| {
            departure.is_from(membership) && seen_at.since(departure.at) < DEPARTURE_SETTLE_TIME
        });
        if has_left || membership.epoch < self.joined_epoch {
            self.heartbeat.membership = None;
        }
    }

    /// Records whether its newest heartbeat, seen at this time, agrees that it has left a group.
    fn confirm_departure(&mut self, seen_at: Instant) {
        let membership = self.heartbeat.membership.as_ref();
        if let Some(departure) = &mut self.departure {
            let left = membership.is_none_or(|membership| !departure.is_from(membership));
            departure.confirmed |= left && seen_at > departure.at;
        }
    }

    /// Model that it has in memory, so that it can serve it again soonest: that of the standby group
    /// in which it is ready, or else that of the last group in which it was seen ready.
    pub fn model_in_memory(&self) -> Option<&str> {
        let membership = self.heartbeat.membership.as_ref();
        let ready = membership.filter(|membership| membership.stage() == Stage::Ready);
        let standby = ready.and_then(|membership| membership.group.strip_prefix(STANDBY_PREFIX));
        standby.or(self.last_served.as_deref())
    }

    /// Whether it is warm for a model: it can serve the model without loading the weights from the
    /// weight store.
    pub fn is_warm(&self, model: &str) -> bool {
        self.model_in_memory() == Some(model) || self.has_staged(model)
    }

    /// Whether its VM has the weights of a model.
    pub fn has_staged(&self, model: &str) -> bool {
        self.heartbeat.staged.iter().any(|staged| staged == model)
    }

    /// Whether it is alive and accepts new work.
    pub fn is_usable(&self, now: Instant, timeout: Duration) -> bool {
        self.is_alive(now, timeout) && !self.heartbeat.draining
    }
}
