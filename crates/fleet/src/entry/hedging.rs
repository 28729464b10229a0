//! Second attempts for requests whose endpoint makes no progress.
//!
//! An endpoint that is silent may have failed, or may only pause. While that is not known, it is
//! sent no new requests for a time, but what runs there is not given up: a second attempt runs
//! beside the first, and whichever endpoint sends the next part of the response goes on. The caller
//! loses nothing if the second attempt fails. It is started only where an endpoint has a free slot
//! and the retry budget a token, both of which it takes.

use std::time::Duration;

use dotterelhoist_core::clock::Instant;
use smallvec::SmallVec;

use crate::control::Reader;
use crate::journal;
use crate::Name;

use super::serving::{Active, Phase, REMAINING_TIME_MIN, TRIED_ENDPOINTS_MAX};
use super::targets::{Choice, Silence};
use super::{Attempt, Decision, Effect, End, State};

/// Silence of an endpoint after which a response whose first part the caller has is continued at
/// another endpoint. Its next part is late anyway, but callers abandon a stream that pauses for two
/// seconds.
const CONTINUATION_DELAY: Duration = Duration::from_millis(1100);

impl<Decoder> State<Decoder>
where
    Decoder: Reader,
{
    /// Suspects the endpoints that make no progress, and starts second attempts for their requests.
    pub(super) fn hedge_stalled_attempts(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        let mut stalls = Vec::new();
        for silence in self.targets.silences(now) {
            let affected = self.requests_read_from(&silence.endpoint);
            if !affected.is_empty() {
                let is_new = self.targets.suspect(&silence.endpoint, now);
                stalls.push((silence, affected, is_new));
            }
        }
        for (silence, affected, is_new) in stalls {
            let hedged =
                affected.iter().filter(|id| self.hedge(now, **id, &silence, effects)).count();
            if is_new || hedged > 0 {
                let detail = format!(
                    "silent_ms={} requests={} hedged={hedged}",
                    silence.duration.as_millis(),
                    affected.len()
                );
                let event =
                    journal::Event::new(131, "endpoint stalled", &*silence.endpoint, detail);
                effects.push(Effect::Log(event));
            }
        }
    }

    /// Ends a second attempt that has not taken over; the request goes on with the current one.
    pub(super) fn end_hedge(
        &mut self,
        now: Instant,
        id: u64,
        end: &End,
        effects: &mut Vec<Effect>,
    ) {
        let Some(active) = self.requests.get_mut(&id) else { return };
        let Some(target) = active.hedge.take() else { return };
        match end {
            End::Unreachable | End::Withheld => active.attempts -= 1,
            End::Declined { .. } => {}
            _ => active.may_have_run = true,
        }
        self.record_outcome(now, id, &target, false, end, effects);
        self.send_queued(now, effects);
    }

    /// Makes a second attempt the current one, because its endpoint has sent a part of the response
    /// while the other was silent.
    pub(super) fn adopt_hedge(&mut self, now: Instant, id: u64, effects: &mut Vec<Effect>) {
        let Some(active) = self.requests.get_mut(&id) else { return };
        let Some(second) = active.hedge.take() else { return };
        let Some(first) = active.endpoint.replace(second.clone()) else { return };
        let begun = std::mem::take(&mut active.phase) == Phase::Begun;
        active.may_have_run = true;
        let request = &active.request;
        self.targets.record_end(&first, begun, request.prompt_tokens);
        self.targets.record_takeover(&first, now);
        let detail = format!("from={first} to={second} continued={begun}");
        let event =
            journal::Event::new(124, "second attempt took over", &*request.request_id, detail);
        effects.push(Effect::Log(event));
        self.record_silence(now, id, &first);
        self.send_queued(now, effects);
    }

    /// Makes the second attempt of a request the current one after the current one has ended like
    /// this, unless that ends the request. Returns false if there is none.
    pub(super) fn continue_with_hedge(&mut self, id: u64, end: &End) -> bool {
        let Some(active) = self.requests.get_mut(&id) else { return false };
        match end {
            End::Answered | End::TimedOut { .. } => return false,
            End::Unreachable | End::Withheld if active.hedge.is_some() => active.attempts -= 1,
            End::Failed { .. } | End::Lost(_) => active.may_have_run = true,
            End::Unreachable | End::Withheld | End::Declined { .. } | End::Dropped => {}
        }
        let Some(second) = active.hedge.take() else { return false };
        active.endpoint = Some(second);
        active.phase = Phase::Remaining;
        true
    }

    /// Records the end of the second attempt, if any, of a request that has ended.
    pub(super) fn release_hedge(&mut self, active: &Active) {
        if let Some(target) = &active.hedge {
            self.targets.record_end(target, false, active.request.prompt_tokens);
        }
    }

    /// Requests whose current attempt is at an endpoint, except those whose response is not read
    /// because a part of it is still being written to the caller.
    fn requests_read_from(&self, endpoint: &Name) -> SmallVec<[u64; 16]> {
        let is_read =
            |active: &Active| active.endpoint.as_ref() == Some(endpoint) && !active.writing;
        self.requests.iter().filter(|(_, active)| is_read(active)).map(|(id, _)| *id).collect()
    }

    /// Starts a second attempt of a request, if that is allowed and an endpoint has a free slot.
    fn hedge(
        &mut self,
        now: Instant,
        id: u64,
        silence: &Silence,
        effects: &mut Vec<Effect>,
    ) -> bool {
        let Some(active) = self.requests.get(&id) else { return false };
        if !active.may_be_hedged(now, silence) || self.is_request_barred(&active.request) {
            return false;
        }
        let service = active.requirement.0.clone();
        if !self.budget.allows(&service) {
            return false;
        }
        let Some(attempt) = self.start_second_attempt(now, id, effects) else { return false };
        self.budget.withdraw(&service);
        let Some(active) = self.requests.get_mut(&id) else { return false };
        active.hedge = Some(attempt.target.clone());
        effects.push(Effect::Decide(id, Decision::Hedge(attempt)));
        true
    }

    /// Starts an attempt at a relay, if this daemon seems to be cut off from the endpoints and there is
    /// one, or else at an endpoint with a free slot.
    fn start_second_attempt(
        &mut self,
        now: Instant,
        id: u64,
        effects: &mut Vec<Effect>,
    ) -> Option<Attempt> {
        if self.targets.is_cut_off(now) {
            if let Some(attempt) = self.start_relay(now, id, effects) {
                return Some(attempt);
            }
        }
        let random = self.next_random();
        let active = self.requests.get(&id)?;
        match self.targets.choose(&active.requirement, &active.tried, now, random) {
            Choice::Endpoint(target) => self.start_attempt(now, id, &target),
            Choice::Full | Choice::None => None,
        }
    }
}

impl Active {
    /// Whether a second attempt may be started while the endpoint of the current one is silent.
    fn may_be_hedged(&self, now: Instant, silence: &Silence) -> bool {
        let patience = if self.response_begun { CONTINUATION_DELAY } else { Duration::ZERO };
        self.hedge.is_none()
            && self.phase != Phase::Remaining
            && self.is_retryable()
            && self.attempts < self.max_attempts()
            && self.tried.len() < TRIED_ENDPOINTS_MAX
            && self.deadline.since(now) > REMAINING_TIME_MIN
            && silence.duration >= patience
    }
}
