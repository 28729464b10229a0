//! What follows the end of an attempt: the final response, a retry or a refusal.

use dotterelhoist_core::clock::Instant;

use crate::control::Reader;
use crate::document::Kind;
use crate::journal;
use crate::Name;

use super::super::targets::Choice;
use super::super::{Decision, Effect, End, Reason, State};
use super::{Phase, REMAINING_TIME_MIN, TRIED_ENDPOINTS_MAX};

impl<Decoder> State<Decoder>
where
    Decoder: Reader,
{
    /// Records the end of an attempt with its endpoint and decides what follows.
    pub(in crate::entry) fn end_attempt(
        &mut self,
        now: Instant,
        id: u64,
        end: End,
        effects: &mut Vec<Effect>,
    ) {
        let Some(active) = self.requests.get_mut(&id) else { return };
        let Some(target) = active.endpoint.take() else { return };
        let begun = std::mem::take(&mut active.phase) == Phase::Begun;
        self.record_outcome(now, id, &target, begun, &end, effects);
        if self.continue_with_hedge(id, &end) {
            self.send_queued(now, effects);
            return;
        }
        self.decide_next_step(now, id, end, effects);
        self.send_queued(now, effects);
    }

    /// Records the end of an attempt in the state of its endpoint, and logs it.
    pub(in crate::entry) fn record_outcome(
        &mut self,
        now: Instant,
        id: u64,
        target: &Name,
        begun: bool,
        end: &End,
        effects: &mut Vec<Effect>,
    ) {
        let Some(active) = self.requests.get(&id) else { return };
        self.targets.record_end(target, begun, active.request.prompt_tokens);
        match end {
            End::Answered => self.targets.record_success(target),
            End::Failed { .. } if active.route.kind != Kind::Streaming => {
                self.targets.record_success(target);
            }
            End::Unreachable => self.targets.record_failure(target, true, now),
            End::Lost(loss) if !loss.is_of_endpoint() => {}
            End::Lost(_) | End::Failed { .. } | End::Declined { .. } => {
                self.targets.record_failure(target, false, now);
            }
            End::TimedOut { .. } | End::Dropped | End::Withheld => {}
        }
        self.record_evidence(now, id, target, end);
        self.log_failed_attempt(id, target, end, effects);
    }

    /// Logs the end of an attempt unless it succeeded or was dropped.
    fn log_failed_attempt(&self, id: u64, target: &Name, end: &End, effects: &mut Vec<Effect>) {
        let Some(active) = self.requests.get(&id) else { return };
        if matches!(end, End::Answered | End::Dropped) {
            return;
        }
        let mut detail = format!(
            "end={end:?} endpoint={target} attempt={} of={} route={}",
            active.attempts, active.route.max_attempts, active.route.name
        );
        if matches!(end, End::Lost(_)) {
            detail.push_str(&format!(" segments={:x?}", active.request.segments));
        }
        let event = journal::Event::new(121, "attempt failed", &*active.request.request_id, detail);
        effects.push(Effect::Log(event));
    }

    /// Decides after the end of an attempt whether its request is done, retried or refused.
    fn decide_next_step(&mut self, now: Instant, id: u64, end: End, effects: &mut Vec<Effect>) {
        let Some(active) = self.requests.get_mut(&id) else { return };
        let retryable = active.is_retryable();
        match end {
            End::Answered => {
                let Some(active) = self.requests.remove(&id) else { return };
                self.release_hedge(&active);
            }
            End::Unreachable | End::Withheld => {
                active.attempts -= 1;
                self.retry(now, id, Reason::NoEndpoint, false, effects);
            }
            End::Declined { .. } => self.retry(now, id, Reason::Declined, true, effects),
            End::Failed { .. } if retryable && active.route.kind == Kind::Idempotent => {
                active.may_have_run = true;
                self.retry_or_forward(now, id, effects);
            }
            End::Failed { .. } => self.forward_failure(id, effects),
            End::Lost(_) | End::Dropped if retryable => {
                active.may_have_run = true;
                self.retry(now, id, Reason::Lost, true, effects);
            }
            End::Lost(_) | End::Dropped => {
                active.may_have_run = true;
                self.refuse_active(now, id, Reason::Lost, effects);
            }
            End::TimedOut { .. } => {
                active.may_have_run = true;
                self.refuse_active(now, id, Reason::TimedOut, effects);
            }
        }
    }

    /// Whether a request may be retried; if so and `needs_token` is set, takes a token of the retry
    /// budget. A retry after an attempt that could not connect needs none.
    fn acquire_retry(&mut self, now: Instant, id: u64, needs_token: bool) -> bool {
        let Some(active) = self.requests.get(&id) else { return false };
        let time_left = active.deadline.since(now) > REMAINING_TIME_MIN;
        let attempts_left = active.attempts < active.max_attempts();
        let tries_left = active.tried.len() < TRIED_ENDPOINTS_MAX;
        time_left
            && attempts_left
            && tries_left
            && (!needs_token || self.budget.withdraw(&active.requirement.0))
    }

    /// Retries a request, or refuses it for `refusal_reason` if no retry is allowed.
    fn retry(
        &mut self,
        now: Instant,
        id: u64,
        refusal_reason: Reason,
        needs_token: bool,
        effects: &mut Vec<Effect>,
    ) {
        if !self.acquire_retry(now, id, needs_token) {
            self.refuse_active(now, id, refusal_reason, effects);
            return;
        }
        self.send_or_enqueue(now, id, effects);
    }

    /// Retries a request if that is allowed and an endpoint has a free slot now; otherwise forwards
    /// the error response at hand.
    fn retry_or_forward(&mut self, now: Instant, id: u64, effects: &mut Vec<Effect>) {
        let Some(active) = self.requests.get(&id) else { return };
        let random = self.rng_state;
        let choice = self.targets.choose(&active.requirement, &active.tried, now, random);
        let available = matches!(choice, Choice::Endpoint(_));
        if available && self.acquire_retry(now, id, true) {
            self.send_or_enqueue(now, id, effects);
            return;
        }
        self.forward_failure(id, effects);
    }

    /// Ends a request with the endpoint's error response.
    fn forward_failure(&mut self, id: u64, effects: &mut Vec<Effect>) {
        self.requests.remove(&id);
        effects.push(Effect::Decide(id, Decision::ForwardFailure));
    }

    /// Drops a request whose caller has closed its connection.
    pub(in crate::entry) fn cancel_request(
        &mut self,
        now: Instant,
        id: u64,
        effects: &mut Vec<Effect>,
    ) {
        let Some(active) = self.requests.remove(&id) else { return };
        self.queue.remove(&active.requirement, id);
        if let Some(target) = &active.endpoint {
            self.targets.record_end(
                target,
                active.phase == Phase::Begun,
                active.request.prompt_tokens,
            );
        }
        self.release_hedge(&active);
        self.send_queued(now, effects);
    }
}
