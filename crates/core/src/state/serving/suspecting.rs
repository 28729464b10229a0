//! Suspected requests: the death of an endpoint is recorded, and the requests that were running
//! there run again one at a time until they are cleared or refused.

use crate::clock::Instant;
use crate::control::claims::CRASH_LIMIT;
use crate::control::command::{NewBar, Outcome, Suspicion};
use crate::effect::Effects;
use crate::policy::PROPOSAL_TIMEOUT;
use crate::request::Reason;
use crate::route::Standing;
use crate::Name;

use super::super::logs::Purpose;
use super::super::State;
use super::{
    ActiveRequest, LostAttempt, Stage, TrialRequest, RETRY_AFTER, TRIAL_BLAME_WINDOW, TRIAL_RETRY,
};

impl State {
    /// Requests permission from the claim log to run a suspected request as a trial on one route.
    pub(super) fn request_trial(&mut self, now: Instant, id: u64, effects: &mut Effects) {
        let Some(active) = self.requests.get(&id) else { return };
        if !self.routes.can_serve(&active.target, now) {
            self.refuse(now, id, Reason::NoEndpoint, Some(RETRY_AFTER), effects);
            return;
        }
        let route = self.choose_route(now, id);
        let log = self.suspect_log(id).filter(|log| self.is_reachable(now, log));
        let Some(active) = self.requests.get_mut(&id) else { return };
        let Some(route) = route else {
            active.stage = Stage::AwaitingTrial(TrialRequest {
                route: None,
                retry_at: Some(now + TRIAL_RETRY),
            });
            return;
        };
        let command = active.suspect_command(Suspicion::Trial, &route);
        active.stage = Stage::AwaitingTrial(TrialRequest { route: Some(route), retry_at: None });
        let timeout = PROPOSAL_TIMEOUT.min(active.deadline.since(now));
        let Some(log) = log else {
            self.refuse(now, id, Reason::Suspected, Some(RETRY_AFTER * 2), effects);
            return;
        };
        self.propose(now, log, command, Purpose::Trial(id), timeout, effects);
    }

    /// Dispatches a suspected request if its trial was granted, requests the trial again later if
    /// another one is in progress, and refuses the request if it has crashed too many endpoints.
    pub(in crate::state) fn handle_trial_outcome(
        &mut self,
        now: Instant,
        id: u64,
        outcome: Option<Outcome>,
        effects: &mut Effects,
    ) {
        let Some(active) = self.requests.get_mut(&id) else { return };
        let Stage::AwaitingTrial(pending) = active.stage.clone() else { return };
        let Some(outcome) = outcome else {
            self.refuse(now, id, Reason::Suspected, Some(RETRY_AFTER * 2), effects);
            return;
        };
        let wait =
            Stage::AwaitingTrial(TrialRequest { route: None, retry_at: Some(now + TRIAL_RETRY) });
        match (outcome.bar(), pending.route) {
            (NewBar::Accepted, Some(route)) => {
                active.in_trial = true;
                let usable = self.routes.route(&route).is_some_and(|known| {
                    known.standing(now) == Standing::Accepting
                        && known.health.admits(now, known.running)
                });
                if usable {
                    self.dispatch(now, id, route, effects);
                    return;
                }
                active.stage = wait;
                self.end_trial(now, id, Suspicion::Abandoned, effects);
            }
            (NewBar::InProgress, _) => active.stage = wait,
            _ => self.refuse(now, id, Reason::Crashes, None, effects),
        }
    }

    /// Whether the death of an endpoint is blamed on a request. If a trial was running there, only
    /// the request in the trial is blamed.
    pub(super) fn is_blamed(&self, now: Instant, id: u64, route: &Name) -> bool {
        let Some(active) = self.requests.get(&id) else { return false };
        if active.in_trial {
            return true;
        }
        let crashed_at = self.trial_crashes.get(route);
        let trial_crashed = crashed_at.is_some_and(|at| now.since(*at) < TRIAL_BLAME_WINDOW);
        let trial_running = self.requests.values().any(|other| {
            let on_route =
                matches!(&other.stage, Stage::Running(running) if running.route == *route);
            other.in_trial && on_route
        });
        !trial_crashed && !trial_running
    }

    /// Proposes to record that an endpoint died while it ran a request. The request waits until the
    /// outcome is known.
    pub(super) fn report_crash(
        &mut self,
        now: Instant,
        id: u64,
        lost: LostAttempt,
        effects: &mut Effects,
    ) {
        let Some(active) = self.requests.get_mut(&id) else { return };
        active.stage = Stage::AwaitingCrashRecord(lost);
        active.in_trial = false;
        let fingerprint = active.request.digest;
        let command = active.suspect_command(Suspicion::Crashed, &active.last_vm);
        self.broadcast_suspect(fingerprint, false, effects);
        let Some(log) = self.suspect_log(id) else { return };
        let purpose = Purpose::CrashRecord(id);
        self.propose(now, log, command, purpose, PROPOSAL_TIMEOUT, effects);
    }

    /// Refuses a request that has crashed [`CRASH_LIMIT`] endpoints, otherwise retries or fails it.
    pub(in crate::state) fn handle_crash_outcome(
        &mut self,
        now: Instant,
        id: u64,
        outcome: Option<Outcome>,
        effects: &mut Effects,
    ) {
        let Some(active) = self.requests.get_mut(&id) else { return };
        let Stage::AwaitingCrashRecord(lost) = active.stage.clone() else { return };
        active.stage = Stage::Queued;
        let deaths = outcome.map_or(0, |outcome| outcome.version);
        if deaths >= u64::from(CRASH_LIMIT) && !lost.forwarded {
            self.fail(now, id, Reason::Crashes, lost.tokens, effects);
            return;
        }
        self.retry_or_fail(now, id, lost, effects);
    }

    /// Ends the trial of a request, if it runs as one, and records how.
    pub(super) fn end_trial(
        &mut self,
        now: Instant,
        id: u64,
        end: Suspicion,
        effects: &mut Effects,
    ) {
        let Some(active) = self.requests.get_mut(&id) else { return };
        if !active.in_trial {
            return;
        }
        active.in_trial = false;
        let command = active.suspect_command(end, &active.last_vm);
        let Some(log) = self.suspect_log(id) else { return };
        self.propose(now, log, command, Purpose::Unobserved, PROPOSAL_TIMEOUT, effects);
    }

    /// Claim log that records whether a request is suspected.
    pub(super) fn suspect_log(&self, id: u64) -> Option<Name> {
        self.claim_log(self.requests.get(&id)?.request.digest)
    }

    /// Requests the trials that are due again, and refuses requests whose deadline has passed.
    pub(super) fn retry_trials(&mut self, now: Instant, effects: &mut Effects) {
        let due = |active: &ActiveRequest| matches!(&active.stage, Stage::AwaitingTrial(pending) if pending.retry_at.is_some_and(|at| now >= at));
        let ids: Vec<u64> =
            self.requests.iter().filter(|(_, a)| due(a)).map(|(id, _)| *id).collect();
        for id in ids {
            let late = self.requests.get(&id).is_some_and(|active| now >= active.deadline);
            if late {
                self.refuse(now, id, Reason::Suspected, Some(RETRY_AFTER), effects);
            } else {
                self.request_trial(now, id, effects);
            }
        }
    }
}
