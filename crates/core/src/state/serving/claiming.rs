//! Claims on non-idempotent requests, from the question to the recorded end.

use xxhash_rust::xxh3::xxh3_64;

use crate::clock::Instant;
use crate::control::command::{
    Body as CommandBody, Claim, Outcome, Run, RunResult, Suspicion, Verdict,
};
use crate::count::Counter;
use crate::effect::{Effect, Effects};
use crate::policy::PROPOSAL_TIMEOUT;
use crate::request::{Decision, Reason, Refusal};

use super::super::logs::Purpose;
use super::super::State;
use super::{Stage, COME_BACK};

impl State {
    pub(super) fn claim(&mut self, now: Instant, id: u64, effects: &mut Effects) {
        let Some(active) = self.requests.get_mut(&id) else { return };
        active.stage = Stage::Claiming;
        let key = active.key();
        let claim = Claim {
            workspace: active.terms.workspace.to_string(),
            key: key.clone(),
            digest: active.request.digest,
            request: active.name.to_string(),
            permission_ms: active.deadline.since(now).as_millis() as u64,
        };
        let patience = PROPOSAL_TIMEOUT.min(active.deadline.since(now));
        let log = self.claim_log(xxh3_64(key.as_bytes()));
        let Some(log) = log.filter(|log| self.is_reachable(now, log)) else {
            self.refuse(now, id, Reason::ClaimsUnreachable, Some(COME_BACK * 2), effects);
            return;
        };
        let command = CommandBody::Claim(claim);
        self.propose(now, log, command, Purpose::Claim(id), patience, effects);
    }

    pub(in crate::state) fn claim_decided(
        &mut self,
        now: Instant,
        id: u64,
        outcome: Option<Outcome>,
        effects: &mut Effects,
    ) {
        let Some(active) = self.requests.get_mut(&id) else { return };
        let Some(outcome) = outcome else {
            self.refuse(now, id, Reason::ClaimsUnreachable, Some(COME_BACK * 2), effects);
            return;
        };
        match outcome.verdict() {
            Verdict::Accepted => {
                active.claimed = true;
                self.enter(now, id, effects);
            }
            Verdict::Recorded => {
                self.repeat(id, &outcome, effects);
            }
            Verdict::Mismatch => self.refuse(now, id, Reason::KeyReused, None, effects),
            _ => self.refuse(now, id, Reason::InProgress, Some(COME_BACK), effects),
        }
    }

    /// Gives the caller what is recorded for its key.
    pub(super) fn repeat(&mut self, id: u64, outcome: &Outcome, effects: &mut Effects) {
        let Some(active) = self.requests.get(&id) else { return };
        let Some(result) = outcome.result.clone() else { return };
        let run = result.run();
        let name = active.name.clone();
        let decision = match run {
            Run::Done => Decision::Replay(result),
            _ => {
                let reason = Reason::Broken;
                Decision::Refuse(Refusal { reason, run, retry_after: None })
            }
        };
        self.count(Counter::Repeated, effects);
        effects.push(Effect::Decide { request: id, name, decision });
        self.close(id, run, "repeated", 0, &outcome.holder, effects);
    }

    pub(super) fn settle(
        &mut self,
        now: Instant,
        id: u64,
        result: RunResult,
        tokens: u64,
        effects: &mut Effects,
    ) {
        let Some(active) = self.requests.get_mut(&id) else { return };
        active.stage = Stage::Settling(tokens);
        self.propose_end(now, id, result, Purpose::Settle(id), effects);
    }

    /// Proposes the end of a claim to the log that holds its key.
    fn propose_end(
        &mut self,
        now: Instant,
        id: u64,
        result: RunResult,
        purpose: Purpose,
        effects: &mut Effects,
    ) {
        let Some(active) = self.requests.get(&id) else { return };
        let settle = active.settle_command(result);
        let key = active.key();
        let Some(log) = self.claim_log(xxh3_64(key.as_bytes())) else { return };
        self.propose(now, log, settle, purpose, PROPOSAL_TIMEOUT, effects);
    }

    pub(in crate::state) fn settle_decided(
        &mut self,
        now: Instant,
        id: u64,
        outcome: Option<Outcome>,
        effects: &mut Effects,
    ) {
        let Some(active) = self.requests.get_mut(&id) else { return };
        active.may_have_run = true;
        let recorded = outcome.as_ref().is_some_and(|outcome| {
            let repeated = outcome.result.as_ref().is_some_and(|r| r.run() == Run::Done);
            outcome.verdict() == Verdict::Accepted || repeated
        });
        if !recorded {
            active.claimed = false;
            self.refuse(now, id, Reason::ClaimsUnreachable, Some(COME_BACK * 2), effects);
            return;
        }
        let tokens = match active.stage {
            Stage::Settling(tokens) => tokens,
            _ => 0,
        };
        let name = active.name.clone();
        let decision = Decision::Deliver;
        effects.push(Effect::Decide { request: id, name, decision });
        self.served(now, id, tokens, effects);
    }

    /// Records the end of a claim and of a trial that did not end with an answer.
    pub(super) fn record_end(&mut self, now: Instant, id: u64, run: Run, effects: &mut Effects) {
        self.end_trial(now, id, Suspicion::Abandoned, effects);
        let Some(active) = self.requests.get(&id) else { return };
        if !active.claimed {
            return;
        }
        let result = RunResult { run: run as i32, ..RunResult::default() };
        self.propose_end(now, id, result, Purpose::Nothing, effects);
    }
}
