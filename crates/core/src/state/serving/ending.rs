//! How requests end: what an attempt came to, retries, and the final answer.

use std::time::Duration;

use crate::clock::Instant;
use crate::control::command::{Line, Run, RunResult, Suspicion};
use crate::count::{Cause, Counter};
use crate::effect::{Effect, Effects};
use crate::request::{Decision, End, Reason, Refusal};
use crate::retry::ATTEMPTS_MAX;
use crate::{journal, Name};

use super::super::State;
use super::{Lost, Running, Stage, COME_BACK};

impl State {
    pub(super) fn judge(
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
                self.note_success(route);
                if claimed {
                    let run = Run::Done as i32;
                    let status = u32::from(status);
                    let result = RunResult { run, status, content_type, answer: body };
                    self.settle(now, id, result, tokens, effects);
                    return;
                }
                self.served(now, id, tokens, effects);
            }
            End::NotSent => {
                self.note_failure(now, route, effects);
                self.retry(now, id, route, Cause::NotSent, effects);
            }
            End::Declined => {
                self.note_withdrawal(route);
                self.retry(now, id, route, Cause::Declined, effects);
            }
            End::Lost { tokens, forwarded, crashed } => {
                let aborted = running.aborted;
                let lost = Lost { tokens, forwarded, aborted, route: route.clone() };
                self.lost(now, id, lost, crashed, effects);
            }
            End::TimedOut { tokens } => {
                self.note_failure(now, route, effects);
                self.give_up(now, id, Reason::DeadlineExceeded, tokens, effects);
            }
            End::CallerGone { tokens } => {
                self.note_withdrawal(route);
                self.give_up(now, id, Reason::CallerGone, tokens, effects);
            }
        }
    }

    pub(super) fn lost(
        &mut self,
        now: Instant,
        id: u64,
        lost: Lost,
        crashed: bool,
        effects: &mut Effects,
    ) {
        let Some(active) = self.requests.get(&id) else { return };
        let (request, vm, attempt) = (active.name.clone(), active.vm.clone(), active.attempts);
        let trial = active.trial;
        effects.push(Effect::Log(journal::Event::Lost { request, vm, attempt }));
        if !lost.aborted {
            self.note_failure(now, &lost.route, effects);
        }
        if crashed && !lost.aborted && self.is_blamed(now, id, &lost.route) {
            if trial {
                self.trial_deaths.insert(lost.route.clone(), now);
            }
            self.report_crash(now, id, lost, effects);
            return;
        }
        self.after_loss(now, id, lost, effects);
    }

    pub(super) fn after_loss(&mut self, now: Instant, id: u64, lost: Lost, effects: &mut Effects) {
        let Some(active) = self.requests.get(&id) else { return };
        let reason = if lost.aborted { Reason::GroupLost } else { Reason::Broken };
        if lost.forwarded || active.claimed {
            self.give_up(now, id, reason, lost.tokens, effects);
            return;
        }
        self.retry(now, id, &lost.route, Cause::Lost, effects);
    }

    /// Repeats an attempt if the budget, the number of attempts and the deadline allow it.
    pub(super) fn retry(
        &mut self,
        now: Instant,
        id: u64,
        route: &Name,
        cause: Cause,
        effects: &mut Effects,
    ) {
        let Some(active) = self.requests.get_mut(&id) else { return };
        active.tried.push(route.clone());
        let allowed = active.attempts < ATTEMPTS_MAX && now < active.deadline;
        if !allowed || !self.budget.withdraw() {
            if allowed {
                self.count(Counter::RetryDenied, effects);
            }
            let reason = match cause {
                Cause::NotSent | Cause::Declined => Reason::NoEndpoint,
                Cause::Lost => Reason::Broken,
            };
            self.give_up(now, id, reason, 0, effects);
            return;
        }
        self.count(Counter::Retried(cause), effects);
        self.enter(now, id, effects);
    }

    pub(super) fn served(&mut self, now: Instant, id: u64, tokens: u64, effects: &mut Effects) {
        self.count(Counter::Served, effects);
        self.end_trial(now, id, Suspicion::Cleared, effects);
        self.close(id, Run::Done, "served", tokens, "", effects);
    }

    pub(in crate::state) fn caller_gone(&mut self, now: Instant, id: u64, effects: &mut Effects) {
        let Some(active) = self.requests.get(&id) else { return };
        if active.claims {
            return;
        }
        if matches!(active.stage, Stage::Running(_)) {
            return;
        }
        self.give_up(now, id, Reason::CallerGone, 0, effects);
    }

    /// Ends a request without an answer of an endpoint; the caller may have had a part of one.
    pub(super) fn give_up(
        &mut self,
        now: Instant,
        id: u64,
        reason: Reason,
        tokens: u64,
        effects: &mut Effects,
    ) {
        let come_back = match reason {
            Reason::Broken | Reason::GroupLost | Reason::NoEndpoint => Some(COME_BACK),
            _ => None,
        };
        let Some(active) = self.requests.get(&id) else { return };
        let name = active.name.clone();
        let run = active.run();
        let refusal = Refusal { reason, run, retry_after: come_back };
        self.tell_refusal(id, &name, refusal, effects);
        self.record_end(now, id, run, effects);
        self.close(id, run, &reason.to_string(), tokens, "", effects);
    }

    /// Refuses a request that has not been answered in any part.
    pub(super) fn refuse(
        &mut self,
        now: Instant,
        id: u64,
        reason: Reason,
        retry_after: Option<Duration>,
        effects: &mut Effects,
    ) {
        let Some(active) = self.requests.get(&id) else { return };
        let name = active.name.clone();
        let run = match reason {
            Reason::KeyReused => Run::NotRun,
            Reason::InProgress => Run::Unknown,
            _ => active.run(),
        };
        self.tell_refusal(id, &name, Refusal { reason, run, retry_after }, effects);
        self.record_end(now, id, run, effects);
        self.close(id, run, &reason.to_string(), 0, "", effects);
    }

    pub(super) fn tell_refusal(
        &mut self,
        id: u64,
        name: &Name,
        refusal: Refusal,
        effects: &mut Effects,
    ) {
        let reason = refusal.reason;
        self.count(Counter::Refused(reason), effects);
        let request = name.clone();
        effects.push(Effect::Log(journal::Event::Refused { request, reason }));
        let decision = Decision::Refuse(refusal);
        effects.push(Effect::Decide { request: id, name: name.clone(), decision });
    }

    /// Removes a request that has its final answer and writes its usage line.
    pub(super) fn close(
        &mut self,
        id: u64,
        run: Run,
        told: &str,
        tokens: u64,
        repeats: &str,
        effects: &mut Effects,
    ) {
        let Some(active) = self.requests.remove(&id) else { return };
        effects.push(Effect::Close { request: id });
        if let Some(queue) = self.queues.get_mut(&active.request.service) {
            queue.remove(&active.terms.workspace, id);
        }
        self.lines.push(Line {
            request: active.name.to_string(),
            workspace: active.terms.workspace.to_string(),
            service: active.request.service.to_string(),
            received: active.request.received,
            sends: active.attempts,
            tokens,
            run: run as i32,
            told: told.to_owned(),
            vm: active.vm.to_string(),
            repeats: repeats.to_owned(),
        });
    }

    pub(super) fn note_success(&mut self, route: &Name) {
        if let Some(route) = self.routes.route_mut(route) {
            route.health.record_success();
        }
    }

    pub(super) fn note_withdrawal(&mut self, route: &Name) {
        if let Some(route) = self.routes.route_mut(route) {
            route.health.record_inconclusive();
        }
    }

    pub(super) fn note_failure(&mut self, now: Instant, name: &Name, effects: &mut Effects) {
        let Some(route) = self.routes.route_mut(name) else { return };
        if route.health.record_failure(now) {
            self.count(Counter::Ejected, effects);
            effects.push(Effect::Log(journal::Event::Ejected { route: name.clone() }));
        }
    }
}
