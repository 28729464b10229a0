//! Requests whose endpoint died: reported, tried alone, and cleared or refused.

use crate::clock::Instant;
use crate::control::claims::CRASHES_ALLOWED;
use crate::control::command::{Outcome, Suspicion, Verdict};
use crate::effect::Effects;
use crate::policy::PROPOSAL_TIMEOUT;
use crate::request::Reason;
use crate::route::Standing;
use crate::Name;

use super::super::logs::Purpose;
use super::super::State;
use super::{Active, Lost, Stage, Trying, COME_BACK, TRIAL_BLAME, TRIAL_RETRY};

impl State {
    /// Asks the claim log for leave to run a suspected request alone on one route.
    pub(super) fn ask_for_trial(&mut self, now: Instant, id: u64, effects: &mut Effects) {
        let Some(active) = self.requests.get(&id) else { return };
        if !self.routes.can_serve(&active.target, now) {
            self.refuse(now, id, Reason::NoEndpoint, Some(COME_BACK), effects);
            return;
        }
        let route = self.choose_route(now, id);
        let log = self.suspect_log(id).filter(|log| self.is_reachable(now, log));
        let Some(active) = self.requests.get_mut(&id) else { return };
        let Some(route) = route else {
            active.stage = Stage::Trying(Trying { route: None, again: Some(now + TRIAL_RETRY) });
            return;
        };
        let command = active.crash_command(Suspicion::Trial, &route);
        active.stage = Stage::Trying(Trying { route: Some(route), again: None });
        let patience = PROPOSAL_TIMEOUT.min(active.deadline.since(now));
        let Some(log) = log else {
            self.refuse(now, id, Reason::Suspected, Some(COME_BACK * 2), effects);
            return;
        };
        self.propose(now, log, command, Purpose::Trial(id), patience, effects);
    }

    pub(in crate::state) fn trial_decided(
        &mut self,
        now: Instant,
        id: u64,
        outcome: Option<Outcome>,
        effects: &mut Effects,
    ) {
        let Some(active) = self.requests.get_mut(&id) else { return };
        let Stage::Trying(trying) = active.stage.clone() else { return };
        let Some(outcome) = outcome else {
            self.refuse(now, id, Reason::Suspected, Some(COME_BACK * 2), effects);
            return;
        };
        let again = Stage::Trying(Trying { route: None, again: Some(now + TRIAL_RETRY) });
        match (outcome.verdict(), trying.route) {
            (Verdict::Accepted, Some(route)) => {
                active.trial = true;
                let usable = self.routes.route(&route).is_some_and(|known| {
                    known.standing(now) == Standing::Accepting
                        && known.health.admits(now, known.running)
                });
                if usable {
                    self.dispatch(now, id, route, effects);
                    return;
                }
                active.stage = again;
                self.end_trial(now, id, Suspicion::Abandoned, effects);
            }
            (Verdict::InProgress, _) => active.stage = again,
            _ => self.refuse(now, id, Reason::Crashes, None, effects),
        }
    }

    /// Whether the death of an endpoint counts against a request: if a suspected request was being
    /// tried there, only that one is blamed.
    pub(super) fn is_blamed(&self, now: Instant, id: u64, route: &Name) -> bool {
        let Some(active) = self.requests.get(&id) else { return false };
        if active.trial {
            return true;
        }
        let died = self.trial_deaths.get(route);
        let recent = died.is_some_and(|died| now.since(*died) < TRIAL_BLAME);
        let trying = self.requests.values().any(|other| {
            let there = matches!(&other.stage, Stage::Running(running) if running.route == *route);
            other.trial && there
        });
        !recent && !trying
    }

    /// Records that an endpoint died under a request, before anything else is done with it.
    pub(super) fn report_crash(
        &mut self,
        now: Instant,
        id: u64,
        lost: Lost,
        effects: &mut Effects,
    ) {
        let Some(active) = self.requests.get_mut(&id) else { return };
        active.stage = Stage::Reporting(lost);
        active.trial = false;
        let fingerprint = active.request.digest;
        let command = active.crash_command(Suspicion::Crashed, &active.vm);
        self.spread_suspicion(fingerprint, false, effects);
        let Some(log) = self.suspect_log(id) else { return };
        let purpose = Purpose::Crashed(id);
        self.propose(now, log, command, purpose, PROPOSAL_TIMEOUT, effects);
    }

    pub(in crate::state) fn crash_recorded(
        &mut self,
        now: Instant,
        id: u64,
        outcome: Option<Outcome>,
        effects: &mut Effects,
    ) {
        let Some(active) = self.requests.get_mut(&id) else { return };
        let Stage::Reporting(lost) = active.stage.clone() else { return };
        active.stage = Stage::Queued;
        let deaths = outcome.map_or(0, |outcome| outcome.version);
        if deaths >= u64::from(CRASHES_ALLOWED) && !lost.forwarded {
            self.give_up(now, id, Reason::Crashes, lost.tokens, effects);
            return;
        }
        self.after_loss(now, id, lost, effects);
    }

    pub(super) fn end_trial(
        &mut self,
        now: Instant,
        id: u64,
        end: Suspicion,
        effects: &mut Effects,
    ) {
        let Some(active) = self.requests.get_mut(&id) else { return };
        if !active.trial {
            return;
        }
        active.trial = false;
        let command = active.crash_command(end, &active.vm);
        let Some(log) = self.suspect_log(id) else { return };
        self.propose(now, log, command, Purpose::Nothing, PROPOSAL_TIMEOUT, effects);
    }

    pub(super) fn suspect_log(&self, id: u64) -> Option<Name> {
        self.claim_log(self.requests.get(&id)?.request.digest)
    }

    pub(super) fn ask_trials_again(&mut self, now: Instant, effects: &mut Effects) {
        let due = |active: &Active| matches!(&active.stage, Stage::Trying(trying) if trying.again.is_some_and(|at| now >= at));
        let ids: Vec<u64> =
            self.requests.iter().filter(|(_, a)| due(a)).map(|(id, _)| *id).collect();
        for id in ids {
            let late = self.requests.get(&id).is_some_and(|active| now >= active.deadline);
            if late {
                self.refuse(now, id, Reason::Suspected, Some(COME_BACK), effects);
            } else {
                self.ask_for_trial(now, id, effects);
            }
        }
    }
}
