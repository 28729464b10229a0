//! Which availability zones a daemon can reach.
//!
//! A zone none of whose daemons is heard of is cut off, or has lost its power. Its endpoints may well
//! serve the callers of their zone, so nothing is concluded from their silence.

use std::collections::BTreeMap;
use std::time::Duration;

use dotterelhoist_core::clock::Instant;

use crate::Name;

/// Silence of all daemons of a zone after which it counts as out of reach.
const SILENCE: Duration = Duration::from_millis(800);

/// When the daemons of each zone were last heard of.
#[derive(Debug, Default)]
pub struct Reach {
    own: Option<Name>,
    zones: BTreeMap<Name, Instant>,
    daemons: BTreeMap<Name, Name>,
}

impl Reach {
    /// Creates the reach of a daemon in `zone`.
    pub fn new(zone: Name) -> Reach {
        Reach { own: Some(zone), zones: BTreeMap::new(), daemons: BTreeMap::new() }
    }

    /// Notes the zone of a daemon.
    pub fn meet(&mut self, daemon: Name, zone: &str, now: Instant) {
        self.daemons.insert(daemon, zone.into());
        self.zones.insert(zone.into(), now);
    }

    /// Notes that a daemon was heard of.
    pub fn hear(&mut self, daemon: &Name, now: Instant) {
        let Some(zone) = self.daemons.get(daemon) else { return };
        if let Some(heard) = self.zones.get_mut(zone) {
            *heard = now;
        }
    }

    /// Whether a zone that was once heard of is out of reach.
    ///
    /// ```
    /// use dotterelhoist_core::clock::Instant;
    /// use dotterelhoist_fleet::control::reach::Reach;
    ///
    /// let mut reach = Reach::new("a".into());
    /// reach.meet("10.0.0.2".into(), "b", Instant::from_millis(1000));
    /// assert!(!reach.is_lost("b", Instant::from_millis(1500)));
    /// assert!(reach.is_lost("b", Instant::from_millis(3000)));
    /// assert!(!reach.is_lost("a", Instant::from_millis(3000)));
    /// ```
    pub fn is_lost(&self, zone: &str, now: Instant) -> bool {
        if self.own.as_deref() == Some(zone) {
            return false;
        }
        self.zones.get(zone).is_some_and(|heard| now.since(*heard) > SILENCE)
    }
}
