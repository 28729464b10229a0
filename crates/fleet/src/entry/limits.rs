//! Limits that endpoints state in their responses.

use crate::journal;
use crate::Name;

use super::{Effect, State};

impl<Decoder> State<Decoder> {
    /// Records the limit that an endpoint stated in a response; none if it stated none. Logs each
    /// change.
    pub(super) fn record_limit(
        &mut self,
        endpoint: Name,
        limit: Option<f64>,
        effects: &mut Vec<Effect>,
    ) {
        let before = match limit {
            Some(limit) => self.limits.insert(endpoint.clone(), limit),
            None => self.limits.remove(&endpoint),
        };
        if before == limit {
            return;
        }
        let detail = format!("per_second={limit:?} before={before:?}");
        let event = journal::Event::new(132, "endpoint limit changed", &*endpoint, detail);
        effects.push(Effect::Log(event));
    }
}
