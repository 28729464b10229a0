//! Which availability zones a daemon can reach.
//!
//! A zone none of whose daemons is heard of is cut off, or has lost its power. Its endpoints may well
//! serve the callers of their zone, so nothing is concluded from their silence, neither while the zone
//! is out of reach nor from what was not heard in that time.

use std::collections::BTreeMap;
use std::time::Duration;

use dotterelhoist_core::clock::Instant;

use crate::Name;

/// Silence of all daemons of a zone after which it counts as out of reach.
const SILENCE: Duration = Duration::from_millis(800);
/// Silence of all daemons of a zone after which it may be out of reach.
const DOUBT: Duration = Duration::from_millis(350);

/// When the daemons of each zone were last heard of.
#[derive(Debug, Default)]
pub struct Reach {
    own: Option<Name>,
    zones: BTreeMap<Name, Heard>,
    daemons: BTreeMap<Name, Name>,
}

/// When the daemons of a zone were heard of.
#[derive(Clone, Copy, Debug)]
struct Heard {
    last: Instant,
    /// Since when there was no doubt that the zone can be reached.
    since: Instant,
}

impl Reach {
    /// Creates the reach of a daemon in `zone`.
    pub fn new(zone: Name) -> Reach {
        Reach { own: Some(zone), zones: BTreeMap::new(), daemons: BTreeMap::new() }
    }

    /// Notes the zone of a daemon.
    pub fn meet(&mut self, daemon: Name, zone: &str, now: Instant) {
        self.daemons.insert(daemon.clone(), zone.into());
        self.zones.entry(zone.into()).or_insert(Heard { last: now, since: now });
        self.hear(&daemon, now);
    }

    /// Notes that a daemon was heard of.
    pub fn hear(&mut self, daemon: &Name, now: Instant) {
        let Some(zone) = self.daemons.get(daemon) else { return };
        let Some(heard) = self.zones.get_mut(zone) else { return };
        if now.since(heard.last) > DOUBT {
            heard.since = now;
        }
        heard.last = now;
    }

    /// Whether a zone that was once heard of may be out of reach.
    pub fn is_doubtful(&self, zone: &str, now: Instant) -> bool {
        self.is_silent(zone, now, DOUBT)
    }

    /// Whether a zone was heard of after `at`, so that what was silent there was silent by itself.
    pub fn was_heard_after(&self, zone: &str, at: Instant) -> bool {
        if self.own.as_deref() == Some(zone) {
            return true;
        }
        self.zones.get(zone).is_none_or(|heard| heard.last > at)
    }

    /// Since when there has been no doubt that a zone can be reached.
    pub fn since(&self, zone: &str) -> Instant {
        if self.own.as_deref() == Some(zone) {
            return Instant::default();
        }
        self.zones.get(zone).map_or(Instant::default(), |heard| heard.since)
    }

    /// Whether a zone that was once heard of is out of reach.
    ///
    /// ```
    /// use dotterelhoist_core::clock::Instant;
    /// use dotterelhoist_fleet::control::reachability::Reach;
    ///
    /// let mut reach = Reach::new("a".into());
    /// reach.meet("10.0.0.2".into(), "b", Instant::from_millis(1000));
    /// assert!(!reach.is_lost("b", Instant::from_millis(1500)));
    /// assert!(reach.is_lost("b", Instant::from_millis(3000)));
    /// assert!(!reach.is_lost("a", Instant::from_millis(3000)));
    /// ```
    pub fn is_lost(&self, zone: &str, now: Instant) -> bool {
        self.is_silent(zone, now, SILENCE)
    }

    fn is_silent(&self, zone: &str, now: Instant, span: Duration) -> bool {
        if self.own.as_deref() == Some(zone) {
            return false;
        }
        self.zones.get(zone).is_some_and(|heard| now.since(heard.last) > span)
    }
}
