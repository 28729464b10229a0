//! Requests that are relayed to another entry daemon.
//!
//! An entry daemon may be cut off from the endpoints while its callers, the control daemons and the
//! other entry daemons still reach it. No one daemon's view counts as everyone's: as long as the
//! control daemons list the endpoints, others may reach them. Requests then take one hop over a daemon
//! that the control daemons name. It makes one attempt for each; retries, their budget and the demand
//! are this daemon's. It never relays further. It resolves the request anew, so it must have the document by which
//! this daemon has: callers and endpoints see one daemon, which must not go back to an older document. One that has
//! another refuses the request.

use dotterelhoist_core::clock::Instant;

use crate::control::Reader;
use crate::journal;
use crate::Name;

use super::serving::{Active, Phase, TRIED_ENDPOINTS_MAX};
use super::{Attempt, Decision, Effect, State};

/// Prefix of the name of a relay, before its IP address.
const RELAY_PREFIX: &str = "relay-";

/// Whether this is the name of a relay and not the identity of an endpoint.
pub(super) fn is_relay(target: &Name) -> bool {
    target.starts_with(RELAY_PREFIX)
}

impl<Decoder> State<Decoder>
where
    Decoder: Reader,
{
    /// Relays a request; returns false if there is no relay for it.
    pub(super) fn relay(&mut self, now: Instant, id: u64, effects: &mut Vec<Effect>) -> bool {
        let Some(attempt) = self.start_relay(now, id, effects) else { return false };
        let Some(active) = self.requests.get_mut(&id) else { return false };
        active.endpoint = Some(attempt.target.clone());
        active.phase = Phase::Sent;
        active.begun_at = None;
        effects.push(Effect::Decide(id, Decision::Send(attempt)));
        true
    }

    /// Whether a request had better be relayed than sent to an endpoint.
    pub(super) fn prefers_relay(&self, now: Instant, active: &Active) -> bool {
        if self.targets.is_cut_off(now) {
            return true;
        }
        let failed_to_connect = active.tried.iter().any(|id| self.targets.is_unreachable(id, now));
        failed_to_connect && self.targets.are_several_unreachable(now)
    }

    /// Counts a new attempt of a request over a relay and describes it; none if there is no relay that
    /// was not tried, or the request may not be relayed.
    pub(super) fn start_relay(
        &mut self,
        now: Instant,
        id: u64,
        effects: &mut Vec<Effect>,
    ) -> Option<Attempt> {
        let random = self.next_random();
        let active = self.requests.get(&id)?;
        if active.request.relayed || active.tried.len() >= TRIED_ENDPOINTS_MAX {
            return None;
        }
        let relays = self.relays(now);
        let untried: Vec<&Name> =
            relays.iter().filter(|relay| !active.tried.contains(&relay_name(relay))).collect();
        let relay = *untried.get(random as usize % untried.len().max(1))?;
        let (target, address) = (relay_name(relay), format!("{relay}:{}", self.setup.relay_port));
        let active = self.requests.get_mut(&id)?;
        active.attempts += 1;
        active.tried.push(target.clone());
        let detail = format!("to={relay} attempt={}", active.attempts);
        let request_id = &*active.request.request_id;
        effects.push(Effect::Log(journal::Event::new(126, "request relayed", request_id, detail)));
        Some(Attempt {
            target,
            address: address.into(),
            relay: true,
            route: active.route.clone(),
            workspace: None,
            deadline: active.deadline,
            number: active.attempts,
            resolved_by: active.resolved_by,
        })
    }

    /// Logs when this daemon is cut off, and when it no longer is, and drops idle connections, which
    /// may hang.
    pub(super) fn watch_cut(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        let is_cut_off = self.targets.is_cut_off(now);
        if is_cut_off == self.was_cut_off {
            return;
        }
        self.was_cut_off = is_cut_off;
        let detail = format!("cut_off={is_cut_off} relays={:?}", self.relays(now));
        let event = journal::Event::new(135, "endpoints out of reach", &*self.setup.daemon, detail);
        effects.push(Effect::Log(event));
        if is_cut_off {
            effects.push(Effect::DropIdleConnections);
        }
    }

    /// IP addresses of the entry daemons that the control daemons name as relays.
    fn relays(&self, now: Instant) -> Vec<Name> {
        let live = self.sources.values().filter(|source| source.is_live(now));
        let statuses = live.filter_map(|source| source.status.as_ref());
        let mut relays: Vec<Name> =
            statuses.flat_map(|status| &status.relays).map(|name| name.as_str().into()).collect();
        relays.retain(|relay| *relay != self.setup.daemon);
        relays.sort_unstable();
        relays.dedup();
        relays
    }
}

fn relay_name(daemon: &Name) -> Name {
    format!("{RELAY_PREFIX}{daemon}").into()
}
