//! Features whose requests are refused.
//!
//! Control and entry daemons tell each other what the other side lacks, so that neither a new leader
//! nor a restarted daemon has to find a feature again at the cost of endpoints. A bar ends at about
//! the same time everywhere and is not prolonged: the software of the endpoints may have been mended.

use std::collections::BTreeMap;
use std::time::Duration;

use dotterelhoist_core::clock::Instant;

use crate::message::Bar;

use super::Feature;

/// Time for which requests with a feature are refused.
pub const BAR_TTL: Duration = Duration::from_secs(600);
/// Number of features that are barred at the same time; of more, those that end first are dropped.
const BARS_MAX: usize = 256;

/// Features whose requests are refused.
#[derive(Debug, Default)]
pub struct Bars {
    /// When the bar of each feature ends.
    ends: BTreeMap<Feature, Instant>,
}

impl Bars {
    /// Bars a feature until `end`. Returns whether it was not barred before.
    ///
    /// ```
    /// use std::time::Duration;
    /// use dotterelhoist_core::clock::Instant;
    /// use dotterelhoist_fleet::crash::bars::Bars;
    /// use dotterelhoist_fleet::crash::Feature;
    ///
    /// let end = Instant::from_millis(5000);
    /// let mut bars = Bars::default();
    /// assert!(bars.add(Feature(7), end));
    /// assert!(!bars.add(Feature(7), end));
    /// assert!(bars.contains(Feature(7)));
    /// bars.expire(end);
    /// assert!(bars.is_empty());
    /// ```
    pub fn add(&mut self, feature: Feature, end: Instant) -> bool {
        let is_new = !self.ends.contains_key(&feature);
        let known = self.ends.entry(feature).or_insert(end);
        *known = end.max(*known);
        if self.ends.len() > BARS_MAX {
            let first = self.ends.iter().min_by_key(|(_, end)| **end).map(|(feature, _)| *feature);
            first.and_then(|first| self.ends.remove(&first));
        }
        is_new
    }

    /// Adds the bars that another daemon holds. Returns whether any of them is new.
    pub fn merge(&mut self, now: Instant, bars: &[Bar]) -> bool {
        bars.iter().fold(false, |changed, bar| {
            let left = Duration::from_millis(bar.left_ms.into()).min(BAR_TTL);
            self.add(Feature(bar.feature), now + left) || changed
        })
    }

    /// Whether requests with a feature are refused.
    pub fn contains(&self, feature: Feature) -> bool {
        self.ends.contains_key(&feature)
    }

    /// Whether no feature is barred.
    pub fn is_empty(&self) -> bool {
        self.ends.is_empty()
    }

    /// The bars in the form in which daemons tell each other of them.
    pub fn list(&self, now: Instant) -> Vec<Bar> {
        let bars = self.ends.iter().map(|(feature, end)| Bar {
            feature: feature.0,
            left_ms: end.since(now).as_millis() as u32,
        });
        bars.collect()
    }

    /// The bars that another daemon, which holds `known`, lacks.
    pub fn list_unknown(&self, now: Instant, known: &[Bar]) -> Vec<Bar> {
        let mut bars = self.list(now);
        bars.retain(|bar| known.iter().all(|other| other.feature != bar.feature));
        bars
    }

    /// Removes the bars that have ended.
    pub fn expire(&mut self, now: Instant) {
        self.ends.retain(|_, end| now < *end);
    }
}
