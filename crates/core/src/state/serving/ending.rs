//! End of attempts and requests: retries, final answers and usage lines.

use std::time::Duration;

use crate::clock::Instant;
use crate::control::command::{Run, RunResult, Suspicion, UsageLine};
use crate::count::{Cause, Counter};
use crate::effect::{Effect, Effects};
use crate::request::{Decision, End, Reason, Refusal};
use crate::retry::ATTEMPTS_MAX;
use crate::{journal, Name};

use super::super::State;
use super::{LostAttempt, Running, Stage, RETRY_AFTER};

impl State {
    /// Decides what follows the end of an attempt: the final answer, a retry or a failure.
    pub(super) fn handle_attempt_end(
        &mut self,
        now: Instant,
        id: u64,
        end: End,
        running: &Running,
        effects: &mut Effects,
    ) {
        let Some(active) = self.requests.get_mut(&id) else { return };
        active.may_have_run |= !matches!(end, End::NotSent | End::Declined);
        let claimed = active.claimed;
        let route = &running.route;
        match end {
            End::Answered { status, content_type, body, tokens } => {
                self.record_success(route);
                if claimed {
                    let run = Run::Done as i32;
                    let status = u32::from(status);
                    let result = RunResult { run, status, content_type, answer: body };
                    self.propose_settle(now, id, result, tokens, effects);
                    return;
                }
                self.finish_served(now, id, tokens, effects);
            }
            End::NotSent => {
                self.record_failure(now, route, effects);
                self.retry_attempt(now, id, route, Cause::NotSent, effects);
            }
            End::Declined => {
                self.record_inconclusive(route);
                self.retry_attempt(now, id, route, Cause::Declined, effects);
            }
            End::Lost { tokens, forwarded, crashed } => {
                let aborted = running.aborted;
                let lost = LostAttempt { tokens, forwarded, aborted, route: route.clone() };
                self.handle_loss(now, id, lost, crashed, effects);
            }
            End::TimedOut { tokens } => {
                self.record_failure(now, route, effects);
                self.fail(now, id, Reason::DeadlineExceeded, tokens, effects);
            }
            End::CallerGone { tokens } => {
                self.record_inconclusive(route);
                self.fail(now, id, Reason::CallerGone, tokens, effects);
            }
        }
    }

    /// Handles an attempt whose endpoint failed or that was stopped. If the endpoint died and its
    /// death is blamed on the request, the death is recorded before a retry or refusal.
    pub(super) fn handle_loss(
        &mut self,
        now: Instant,
        id: u64,
        lost: LostAttempt,
        crashed: bool,
        effects: &mut Effects,
    ) {
        let Some(active) = self.requests.get(&id) else { return };
        let (request, vm, attempt) =
            (active.request_id.clone(), active.last_vm.clone(), active.attempts);
        let trial = active.in_trial;
        effects.push(Effect::Log(journal::Event::Lost { request, vm, attempt }));
        if !lost.aborted {
            self.record_failure(now, &lost.route, effects);
        }
        if crashed && !lost.aborted && self.is_blamed(now, id, &lost.route) {
            if trial {
                self.trial_crashes.insert(lost.route.clone(), now);
            }
            self.report_crash(now, id, lost, effects);
            return;
        }
        self.retry_or_fail(now, id, lost, effects);
    }

    /// Retries a lost attempt unless the caller has received part of the answer or the request must
    /// run at most once.
    pub(super) fn retry_or_fail(
        &mut self,
        now: Instant,
        id: u64,
        lost: LostAttempt,
        effects: &mut Effects,
    ) {
        let Some(active) = self.requests.get(&id) else { return };
        let reason = if lost.aborted { Reason::GroupLost } else { Reason::Broken };
        if lost.forwarded || active.claimed {
            self.fail(now, id, reason, lost.tokens, effects);
            return;
        }
        self.retry_attempt(now, id, &lost.route, Cause::Lost, effects);
    }

    /// Queues a request for another attempt if the retry budget, the number of attempts and the
    /// deadline allow it; otherwise fails it.
    pub(super) fn retry_attempt(
        &mut self,
        now: Instant,
        id: u64,
        route: &Name,
        cause: Cause,
        effects: &mut Effects,
    ) {
        let Some(active) = self.requests.get_mut(&id) else { return };
        active.tried_routes.push(route.clone());
        let allowed = active.attempts < ATTEMPTS_MAX && now < active.deadline;
        if !allowed || !self.retry_budget.withdraw() {
            if allowed {
                self.count(Counter::RetryDenied, effects);
            }
            let reason = match cause {
                Cause::NotSent | Cause::Declined => Reason::NoEndpoint,
                Cause::Lost => Reason::Broken,
            };
            self.fail(now, id, reason, 0, effects);
            return;
        }
        self.count(Counter::Retried(cause), effects);
        self.queue_or_request_trial(now, id, effects);
    }

    /// Closes a request whose answer is complete.
    pub(super) fn finish_served(
        &mut self,
        now: Instant,
        id: u64,
        tokens: u64,
        effects: &mut Effects,
    ) {
        self.count(Counter::Served, effects);
        self.end_trial(now, id, Suspicion::Cleared, effects);
        self.close_request(id, Run::Done, "served", tokens, "", effects);
    }

    /// Ends a request whose caller has disconnected. A running request is left alone, because its
    /// task reports the end of the attempt; so is one that needs a claim, which must be settled.
    pub(in crate::state) fn cancel_undispatched(
        &mut self,
        now: Instant,
        id: u64,
        effects: &mut Effects,
    ) {
        let Some(active) = self.requests.get(&id) else { return };
        if active.needs_claim {
            return;
        }
        if matches!(active.stage, Stage::Running(_)) {
            return;
        }
        self.fail(now, id, Reason::CallerGone, 0, effects);
    }

    /// Ends a request without a complete answer; the caller may have received part of one.
    pub(super) fn fail(
        &mut self,
        now: Instant,
        id: u64,
        reason: Reason,
        tokens: u64,
        effects: &mut Effects,
    ) {
        let retry_after = match reason {
            Reason::Broken | Reason::GroupLost | Reason::NoEndpoint => Some(RETRY_AFTER),
            _ => None,
        };
        let Some(active) = self.requests.get(&id) else { return };
        let request_id = active.request_id.clone();
        let run = active.run();
        let refusal = Refusal { reason, run, retry_after };
        self.send_refusal(id, &request_id, refusal, effects);
        self.propose_end_without_answer(now, id, run, effects);
        self.close_request(id, run, &reason.to_string(), tokens, "", effects);
    }

    /// Refuses a request whose caller has received no part of an answer.
    pub(super) fn refuse(
        &mut self,
        now: Instant,
        id: u64,
        reason: Reason,
        retry_after: Option<Duration>,
        effects: &mut Effects,
    ) {
        let Some(active) = self.requests.get(&id) else { return };
        let request_id = active.request_id.clone();
        let run = match reason {
            Reason::KeyReused => Run::NotRun,
            Reason::InProgress => Run::Unknown,
            _ => active.run(),
        };
        self.send_refusal(id, &request_id, Refusal { reason, run, retry_after }, effects);
        self.propose_end_without_answer(now, id, run, effects);
        self.close_request(id, run, &reason.to_string(), 0, "", effects);
    }

    /// Counts and logs a refusal and passes it to the task of the request.
    pub(super) fn send_refusal(
        &mut self,
        id: u64,
        request_id: &Name,
        refusal: Refusal,
        effects: &mut Effects,
    ) {
        let reason = refusal.reason;
        self.count(Counter::Refused(reason), effects);
        let request = request_id.clone();
        effects.push(Effect::Log(journal::Event::Refused { request, reason }));
        let decision = Decision::Refuse(refusal);
        effects.push(Effect::Decide { request: id, request_id: request_id.clone(), decision });
    }

    /// Removes a request that has its final answer and queues its usage line. `told` is what the
    /// caller got, `repeats` the request whose recorded answer it was, if any.
    pub(super) fn close_request(
        &mut self,
        id: u64,
        run: Run,
        told: &str,
        tokens: u64,
        repeats: &str,
        effects: &mut Effects,
    ) {
        let Some(active) = self.requests.remove(&id) else { return };
        effects.push(Effect::CloseRequest { request: id });
        if let Some(queue) = self.queues.get_mut(&active.request.service) {
            queue.remove(&active.quota.workspace, id);
        }
        self.queued_usage.push(UsageLine {
            request: active.request_id.to_string(),
            workspace: active.quota.workspace.to_string(),
            service: active.request.service.to_string(),
            received: active.request.received,
            sends: active.attempts,
            tokens,
            run: run as i32,
            told: told.to_owned(),
            vm: active.last_vm.to_string(),
            repeats: repeats.to_owned(),
        });
    }

    /// Records in the health of a route that it answered a request completely.
    pub(super) fn record_success(&mut self, route: &Name) {
        if let Some(route) = self.routes.route_mut(route) {
            route.health.record_success();
        }
    }

    /// Records that an attempt ended without saying anything about the health of its route.
    pub(super) fn record_inconclusive(&mut self, route: &Name) {
        if let Some(route) = self.routes.route_mut(route) {
            route.health.record_inconclusive();
        }
    }

    /// Records that a route failed, which may eject it.
    pub(super) fn record_failure(&mut self, now: Instant, name: &Name, effects: &mut Effects) {
        let Some(route) = self.routes.route_mut(name) else { return };
        if route.health.record_failure(now) {
            self.count(Counter::Ejected, effects);
            effects.push(Effect::Log(journal::Event::Ejected { route: name.clone() }));
        }
    }
}
