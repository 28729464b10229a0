//! Claims of non-idempotent requests, from the proposal to the recorded end.

use xxhash_rust::xxh3::xxh3_64;

use crate::clock::Instant;
use crate::control::command::{
    Body as CommandBody, Claim, NewBar, Outcome, Run, RunResult, Suspicion,
};
use crate::count::Counter;
use crate::effect::{Effect, Effects};
use crate::policy::PROPOSAL_TIMEOUT;
use crate::request::{Decision, Reason, Refusal};

use super::super::logs::Purpose;
use super::super::State;
use super::{Stage, RETRY_AFTER};

impl State {
    /// Claims the key of a request, or refuses the request if the claim log can't be reached.
    pub(super) fn propose_claim(&mut self, now: Instant, id: u64, effects: &mut Effects) {
        let Some(active) = self.requests.get_mut(&id) else { return };
        active.stage = Stage::AwaitingClaim;
        let key = active.key();
        let claim = Claim {
            workspace: active.quota.workspace.to_string(),
            key: key.clone(),
            digest: active.request.digest,
            request: active.request_id.to_string(),
            permission_ms: active.deadline.since(now).as_millis() as u64,
        };
        let timeout = PROPOSAL_TIMEOUT.min(active.deadline.since(now));
        let log = self.claim_log(xxh3_64(key.as_bytes()));
        let Some(log) = log.filter(|log| self.is_reachable(now, log)) else {
            self.refuse(now, id, Reason::ClaimsUnreachable, Some(RETRY_AFTER * 2), effects);
            return;
        };
        let command = CommandBody::Claim(claim);
        self.propose(now, log, command, Purpose::Claim(id), timeout, effects);
    }

    /// Queues a request if its claim was granted; otherwise sends the caller the answer recorded
    /// for the key, or refuses the request.
    pub(in crate::state) fn handle_claim_outcome(
        &mut self,
        now: Instant,
        id: u64,
        outcome: Option<Outcome>,
        effects: &mut Effects,
    ) {
        let Some(active) = self.requests.get_mut(&id) else { return };
        let Some(outcome) = outcome else {
            self.refuse(now, id, Reason::ClaimsUnreachable, Some(RETRY_AFTER * 2), effects);
            return;
        };
        match outcome.bar() {
            NewBar::Accepted => {
                active.claimed = true;
                self.queue_or_request_trial(now, id, effects);
            }
            NewBar::Recorded => {
                self.send_recorded_answer(id, &outcome, effects);
            }
            NewBar::Mismatch => self.refuse(now, id, Reason::KeyReused, None, effects),
            _ => self.refuse(now, id, Reason::InProgress, Some(RETRY_AFTER), effects),
        }
    }

    /// Sends the caller the answer that is recorded for the key, or a refusal if the recorded
    /// request may have run but has no recorded answer.
    pub(super) fn send_recorded_answer(
        &mut self,
        id: u64,
        outcome: &Outcome,
        effects: &mut Effects,
    ) {
        let Some(active) = self.requests.get(&id) else { return };
        let Some(result) = outcome.result.clone() else { return };
        let run = result.run();
        let request_id = active.request_id.clone();
        let decision = match run {
            Run::Done => Decision::Replay(result),
            _ => {
                let reason = Reason::Broken;
                Decision::Refuse(Refusal { reason, run, retry_after: None })
            }
        };
        self.count(Counter::Repeated, effects);
        effects.push(Effect::Decide { request: id, request_id, decision });
        self.close_request(id, run, "repeated", 0, &outcome.holder, effects);
    }

    /// Records the answer of a claimed request before the caller gets it.
    pub(super) fn propose_settle(
        &mut self,
        now: Instant,
        id: u64,
        result: RunResult,
        tokens: u64,
        effects: &mut Effects,
    ) {
        let Some(active) = self.requests.get_mut(&id) else { return };
        active.stage = Stage::AwaitingSettle(tokens);
        self.propose_claim_end(now, id, result, Purpose::Settle(id), effects);
    }

    /// Proposes the end of a claim to the log that holds it.
    fn propose_claim_end(
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

    /// Delivers the answer of a claimed request once its end is recorded. If the log does not
    /// confirm that, the request is refused as one that may have run.
    pub(in crate::state) fn handle_settle_outcome(
        &mut self,
        now: Instant,
        id: u64,
        outcome: Option<Outcome>,
        effects: &mut Effects,
    ) {
        let Some(active) = self.requests.get_mut(&id) else { return };
        active.may_have_run = true;
        let recorded = outcome.as_ref().is_some_and(|outcome| {
            let recorded_before = outcome.result.as_ref().is_some_and(|r| r.run() == Run::Done);
            outcome.bar() == NewBar::Accepted || recorded_before
        });
        if !recorded {
            active.claimed = false;
            self.refuse(now, id, Reason::ClaimsUnreachable, Some(RETRY_AFTER * 2), effects);
            return;
        }
        let tokens = match active.stage {
            Stage::AwaitingSettle(tokens) => tokens,
            _ => 0,
        };
        let request_id = active.request_id.clone();
        let decision = Decision::Deliver;
        effects.push(Effect::Decide { request: id, request_id, decision });
        self.finish_served(now, id, tokens, effects);
    }

    /// Ends the claim and the trial of a request that ends without an answer of an endpoint.
    pub(super) fn propose_end_without_answer(
        &mut self,
        now: Instant,
        id: u64,
        run: Run,
        effects: &mut Effects,
    ) {
        self.end_trial(now, id, Suspicion::Abandoned, effects);
        let Some(active) = self.requests.get(&id) else { return };
        if !active.claimed {
            return;
        }
        let result = RunResult { run: run as i32, ..RunResult::default() };
        self.propose_claim_end(now, id, result, Purpose::Unobserved, effects);
    }
}
