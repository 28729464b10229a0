//! Detection of availability zones that a control daemon cannot reach.
//!
//! If no daemon of a zone sends anything, the zone is partitioned from this daemon or has lost
//! power. Its endpoints may still serve the callers of their zone. Missing heartbeats and failed
//! probes are therefore not taken as evidence that an endpoint has failed while its zone is
//! unreachable, and neither are the ones from that period once the zone is reachable again.

use std::collections::BTreeMap;
use std::time::Duration;

use dotterelhoist_core::clock::Instant;

use crate::Name;

/// Time without a message from any daemon of a zone after which the zone counts as unreachable: its
/// endpoints are left out of the view.
const UNREACHABLE_AFTER: Duration = Duration::from_millis(800);
/// Time without a message from any daemon of a zone after which it may be unreachable: its
/// endpoints are no longer probed, and no group is dissolved because of their silence.
const POSSIBLY_UNREACHABLE_AFTER: Duration = Duration::from_millis(350);

/// Tracks when the last message of each zone arrived.
#[derive(Debug, Default)]
pub struct Reachability {
    /// Zone of this daemon, which is always reachable; none only in the default value.
    own_zone: Option<Name>,
    /// Last contact by zone.
    zones: BTreeMap<Name, Contact>,
    /// Zone of each known daemon.
    daemons: BTreeMap<Name, Name>,
}

/// Contact with a zone through any of its daemons.
#[derive(Clone, Copy, Debug)]
struct Contact {
    /// When the last message arrived.
    last_message: Instant,
    /// Start of the period in which messages have arrived without a gap longer than
    /// [`POSSIBLY_UNREACHABLE_AFTER`].
    reachable_since: Instant,
}

impl Reachability {
    /// Creates the tracker of a daemon in `zone`.
    pub fn new(zone: Name) -> Reachability {
        Reachability { own_zone: Some(zone), zones: BTreeMap::new(), daemons: BTreeMap::new() }
    }

    /// Registers a daemon with its zone, and records a message from it.
    pub fn add_daemon(&mut self, daemon: Name, zone: &str, now: Instant) {
        self.daemons.insert(daemon.clone(), zone.into());
        self.zones
            .entry(zone.into())
            .or_insert(Contact { last_message: now, reachable_since: now });
        self.record_message(&daemon, now);
    }

    /// Records that a message of a registered daemon has arrived.
    pub fn record_message(&mut self, daemon: &Name, now: Instant) {
        let Some(zone) = self.daemons.get(daemon) else { return };
        let Some(contact) = self.zones.get_mut(zone) else { return };
        if now.since(contact.last_message) > POSSIBLY_UNREACHABLE_AFTER {
            contact.reachable_since = now;
        }
        contact.last_message = now;
    }

    /// Whether a zone has been silent for so long that it may be unreachable. False for a zone that
    /// was never heard from.
    pub fn may_be_unreachable(&self, zone: &str, now: Instant) -> bool {
        self.silent_longer_than(zone, now, POSSIBLY_UNREACHABLE_AFTER)
    }

    /// Whether a message from the zone has arrived after `at`. If so, an endpoint that did not
    /// answer at `at` failed by itself and not because its zone was unreachable. Also true for the
    /// daemon's own zone and for unknown zones.
    pub fn had_contact_after(&self, zone: &str, at: Instant) -> bool {
        if self.own_zone.as_deref() == Some(zone) {
            return true;
        }
        self.zones.get(zone).is_none_or(|contact| contact.last_message > at)
    }

    /// Start of the current period in which the zone has been reachable. For the daemon's own zone
    /// and for unknown zones this is the default instant, so that all failed probes and missing
    /// heartbeats count.
    pub fn reachable_since(&self, zone: &str) -> Instant {
        if self.own_zone.as_deref() == Some(zone) {
            return Instant::default();
        }
        self.zones.get(zone).map_or(Instant::default(), |contact| contact.reachable_since)
    }

    /// Whether a zone has been silent for so long that it counts as unreachable. False for a zone
    /// that was never heard from.
    ///
    /// ```
    /// use dotterelhoist_core::clock::Instant;
    /// use dotterelhoist_fleet::control::reachability::Reachability;
    ///
    /// let mut reachability = Reachability::new("a".into());
    /// reachability.add_daemon("10.0.0.2".into(), "b", Instant::from_millis(1000));
    /// assert!(!reachability.is_unreachable("b", Instant::from_millis(1500)));
    /// assert!(reachability.is_unreachable("b", Instant::from_millis(3000)));
    /// assert!(!reachability.is_unreachable("a", Instant::from_millis(3000)));
    /// ```
    pub fn is_unreachable(&self, zone: &str, now: Instant) -> bool {
        self.silent_longer_than(zone, now, UNREACHABLE_AFTER)
    }

    /// Whether no message from a zone has arrived for `limit`; false for the daemon's own zone and
    /// for unknown zones.
    fn silent_longer_than(&self, zone: &str, now: Instant, limit: Duration) -> bool {
        if self.own_zone.as_deref() == Some(zone) {
            return false;
        }
        self.zones.get(zone).is_some_and(|contact| now.since(contact.last_message) > limit)
    }
}
