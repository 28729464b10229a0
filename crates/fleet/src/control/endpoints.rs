//! State of the endpoints, learned from heartbeats, probes and the outcomes of orders.
//!
//! It is not replicated through the log: each control daemon keeps its own table and forwards the
//! heartbeats that it receives to the others.

use std::collections::BTreeMap;
use std::time::Duration;

use dotterelhoist_core::clock::Instant;

use crate::endpoint::{Heartbeat, Membership, Stage};
use crate::Name;

/// Time since an endpoint was last seen after which it is removed from the table.
const RETENTION: Duration = Duration::from_secs(60);

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
    /// Whether another endpoint has started at its address, which proves that it has terminated. A
    /// refused connection is no proof, as a network partition may reset connections.
    pub confirmed_dead: bool,
    /// The group that it has last left by an order of this daemon.
    departure: Option<Departure>,
    /// Highest generation that it has joined by an order of this daemon; it can't be in a lower one
    /// any more.
    joined_epoch: u64,
    /// When it last said in which group it is, by a heartbeat or by the answer to an order.
    told_at: Instant,
}

/// All endpoints by identity.
#[derive(Debug, Default)]
pub struct Table {
    endpoints: BTreeMap<Name, Endpoint>,
}

impl Table {
    /// Records a heartbeat that was received at `last_seen`. Returns false if it is not newer than
    /// the last one, or if an endpoint that started later already uses the same address.
    pub fn record_heartbeat(&mut self, heartbeat: Heartbeat, last_seen: Instant) -> bool {
        let id: Name = heartbeat.id.as_str().into();
        if let Some(endpoint) = self.endpoints.get_mut(&id) {
            if !heartbeat.supersedes(&endpoint.heartbeat) {
                return false;
            }
            let restarted = heartbeat.started_unix_ms != endpoint.heartbeat.started_unix_ms;
            endpoint.heartbeat = heartbeat;
            endpoint.last_seen = endpoint.last_seen.max(last_seen);
            endpoint.outage = None;
            endpoint.told_at = endpoint.told_at.max(last_seen);
            if restarted {
                endpoint.last_served = None;
                endpoint.confirmed_dead = false;
                endpoint.departure = None;
                endpoint.joined_epoch = 0;
            }
            endpoint.confirm_departure(last_seen);
            endpoint.discard_outdated_membership(last_seen);
            return true;
        }
        let same_address = |other: &Endpoint| other.heartbeat.address == heartbeat.address;
        if self.endpoints.values().any(|other| {
            same_address(other) && other.heartbeat.started_unix_ms > heartbeat.started_unix_ms
        }) {
            return false;
        }
        for other in self.endpoints.values_mut().filter(|other| same_address(other)) {
            other.heartbeat.gone = true;
            other.confirmed_dead = true;
        }
        let endpoint = Endpoint {
            heartbeat,
            last_seen,
            outage: None,
            last_served: None,
            confirmed_dead: false,
            departure: None,
            joined_epoch: 0,
            told_at: last_seen,
        };
        self.endpoints.insert(id, endpoint);
        true
    }

    /// Marks an endpoint that deregisters as gone. Returns the resulting heartbeat, which is to be
    /// forwarded to the other control daemons, or none if the endpoint is unknown.
    pub fn deregister(&mut self, id: &str) -> Option<Heartbeat> {
        let endpoint = self.endpoints.get_mut(id)?;
        endpoint.heartbeat.gone = true;
        endpoint.heartbeat.sequence += 1;
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
    }
}

impl Endpoint {
    /// Whether it was last seen less than `timeout` ago, has not terminated or deregistered, and
    /// has no outage. Suffices for decisions that can be taken back; others need
    /// [`Endpoint::has_failed`].
    pub fn is_alive(&self, now: Instant, timeout: Duration) -> bool {
        self.is_alive_since(now, timeout, Instant::default())
    }

    /// Like [`Endpoint::is_alive`], but disregards missing heartbeats and failed probes from before
    /// `since`, the time at which its zone became reachable again.
    pub fn is_alive_since(&self, now: Instant, timeout: Duration, since: Instant) -> bool {
        let recently_seen = now.since(self.last_seen.max(since)) < timeout;
        !self.heartbeat.gone && self.outage_since(since).is_none() && recently_seen
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

    /// Records its report, with which it has answered a probe.
    pub fn record_report(&mut self, now: Instant, report: Heartbeat) {
        let same_incarnation = report.started_unix_ms == self.heartbeat.started_unix_ms;
        if same_incarnation && now.since(self.told_at) >= REPORT_LAG_MAX {
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
