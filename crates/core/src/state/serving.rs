//! Requests from arrival to their final answer.
//!
//! A request passes through these stages: `Claiming` (only non-idempotent ones: the claim log
//! decides whether the key is new), `Trying` (only suspected ones: the claim log lets one of them
//! run at a time), `Queued`, `Running`, and `Settling` (the end of a claimed request is recorded
//! before its caller is told). Each has exactly one final answer.

use std::time::Duration;

use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64;

use crate::admit::{self, Bucket, Terms, Waiting};
use crate::clock::Instant;
use crate::control::claims::CRASHES_ALLOWED;
use crate::control::command::{
    Bill, Body as CommandBody, Claim, Crash, Line, Outcome, Run, RunResult, Settle, Suspicion,
    Verdict,
};
use crate::count::{Cause, Counter};
use crate::effect::{Effect, Effects};
use crate::journal;
use crate::object::{Service, Workspace};
use crate::policy::{BILL_INTERVAL, PROPOSAL_TIMEOUT};
use crate::request::{Call, Decision, Dispatch, End, Reason, Refusal, Request};
use crate::retry::ATTEMPTS_MAX;
use crate::route::{Standing, Target, Wish};
use crate::Name;

use super::logs::Purpose;
use super::State;

/// Time after which to come back when nothing better is known.
const COME_BACK: Duration = Duration::from_secs(1);
/// Time between two questions whether a suspected request may be tried.
const TRIAL_RETRY: Duration = Duration::from_millis(250);
/// Time for which the death of a trial clears other requests on the same endpoint.
const TRIAL_BLAME: Duration = Duration::from_secs(2);
/// Least extension of a permission that is told to the task of a request.
const EXTENSION_MIN: Duration = Duration::from_millis(200);
/// Time for which usage lines are proposed before they go into a new batch.
const BILL_PATIENCE: Duration = Duration::from_secs(3600);
/// Lines in one batch.
const BILL_LINES: usize = 2000;

/// A request that has no final answer yet.
#[derive(Debug)]
pub(super) struct Active {
    request: Request,
    name: Name,
    terms: Terms,
    target: Target,
    deadline: Instant,
    priority: u8,
    stage: Stage,
    claims: bool,
    claimed: bool,
    trial: bool,
    may_have_run: bool,
    attempts: u32,
    tried: SmallVec<[Name; 4]>,
    /// VM that the last attempt was sent to, and its incarnation.
    vm: Name,
    incarnation: u64,
}

/// Where a request stands.
#[derive(Clone, Debug, PartialEq)]
enum Stage {
    /// Waits for its claim.
    Claiming,
    /// Waits for leave to run although it is suspected.
    Trying(Trying),
    /// Waits for a route with room.
    Queued,
    /// Runs.
    Running(Running),
    /// Waits for its end to be recorded; its answer has this many tokens.
    Settling(u64),
    /// Waits for the record that its endpoint died.
    Reporting(Lost),
}

/// A suspected request that waits for leave to run.
#[derive(Clone, Debug, PartialEq)]
struct Trying {
    /// Route that was asked for.
    route: Option<Name>,
    /// When to ask again.
    again: Option<Instant>,
}

#[derive(Clone, Debug, PartialEq)]
struct Running {
    route: Name,
    generation: u64,
    since: Instant,
    /// Moment until which the answer may be forwarded.
    until: Instant,
    aborted: bool,
}

/// An attempt that was lost.
#[derive(Clone, Debug, PartialEq)]
struct Lost {
    route: Name,
    tokens: u64,
    forwarded: bool,
    aborted: bool,
}

impl State {
    pub(super) fn arrive(&mut self, now: Instant, request: Request, effects: &mut Effects) {
        self.count(Counter::Received, effects);
        let name = self.request_name(request.id);
        let admitted = self.admit(now, &request);
        let (workspace, terms, service, target) = match admitted {
            Ok(Admitted { workspace, terms, service, target }) => {
                (workspace, terms, service, target)
            }
            Err(refusal) => {
                self.tell_refusal(request.id, &name, refusal, effects);
                effects.push(Effect::Close { request: request.id });
                return;
            }
        };
        self.budget.deposit();
        let longest = Duration::from_millis(service.deadline_ms);
        let timeout = request.timeout.map_or(longest, |timeout| timeout.min(longest));
        let claims = needs_claim(&request, &service);
        let id = request.id;
        let active = Active {
            priority: request.priority.max(workspace.priority),
            name,
            terms,
            target,
            deadline: now + timeout,
            stage: Stage::Queued,
            claims,
            claimed: false,
            trial: false,
            may_have_run: false,
            attempts: 0,
            tried: SmallVec::new(),
            vm: "".into(),
            incarnation: 0,
            request,
        };
        self.requests.insert(id, active);
        if claims {
            self.claim(now, id, effects);
        } else {
            self.enter(now, id, effects);
        }
    }

    /// Checks who sends the request, to what, and whether it may wait at all.
    fn admit(&mut self, now: Instant, request: &Request) -> Result<Admitted, Refusal> {
        let refuse = |reason, retry_after| {
            let looked_up = request.idempotency_key.is_none();
            let run = if looked_up { Run::NotRun } else { Run::Unknown };
            Err(Refusal { reason, run, retry_after })
        };
        if self.stopping {
            return refuse(Reason::Stopping, Some(COME_BACK));
        }
        if !self.ready {
            return refuse(Reason::Starting, Some(COME_BACK));
        }
        let Some(workspace_name) = self.view.workspace_of_key(&request.key_sha256).cloned() else {
            return refuse(Reason::Unauthorized, None);
        };
        let Some(workspace) = self.view.workspaces.get(&workspace_name).cloned() else {
            return refuse(Reason::Unauthorized, None);
        };
        let Some(linked) = self.view.services.get(&request.service) else {
            return refuse(Reason::UnknownService, None);
        };
        if !workspace.services.matches(&linked.service.labels) {
            return refuse(Reason::Forbidden, None);
        }
        let model = linked.service.groups.is_some();
        if model != (request.call == Call::Model) {
            return refuse(Reason::UnknownPath, None);
        }
        let (service, target) = (linked.service.clone(), linked.target.clone());
        let waiting: usize = self.queues.values().map(|queue| queue.len()).sum();
        if waiting >= self.setup.policy.queue {
            return refuse(Reason::Overloaded, Some(COME_BACK));
        }
        if let Err(wait) = self.take_rate(now, &workspace_name, &workspace) {
            return refuse(Reason::RateLimited, Some(wait));
        }
        let terms =
            Terms { workspace: workspace_name, share: workspace.share, queue: workspace.queue };
        Ok(Admitted { workspace, terms, service, target })
    }

    /// Takes one request from this daemon's part of the workspace's rate.
    fn take_rate(
        &mut self,
        now: Instant,
        name: &Name,
        workspace: &Workspace,
    ) -> Result<(), Duration> {
        if workspace.rate == 0 {
            return Ok(());
        }
        let ready = self.links.values().filter(|link| link.is_live(now) && link.ready).count();
        let rate = f64::from(workspace.rate) / (ready + 1) as f64;
        let bucket = self.rates.entry(name.clone()).or_insert_with(|| Bucket::full(rate, now));
        bucket.take(rate, now)
    }

    fn request_name(&self, id: u64) -> Name {
        format!("{}.{:x}.{id:x}", self.setup.daemon, self.setup.incarnation).into()
    }

    fn claim(&mut self, now: Instant, id: u64, effects: &mut Effects) {
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

    pub(super) fn claim_decided(
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
    fn repeat(&mut self, id: u64, outcome: &Outcome, effects: &mut Effects) {
        let Some(active) = self.requests.get(&id) else { return };
        let Some(result) = outcome.result.clone() else { return };
        let run = result.run();
        let name = active.name.clone();
        let decision = match run {
            Run::Done => Decision::Repeat(result),
            _ => {
                let reason = Reason::Broken;
                Decision::Refuse(Refusal { reason, run, retry_after: None })
            }
        };
        self.count(Counter::Repeated, effects);
        effects.push(Effect::Decide { request: id, name, decision });
        self.close(id, run, "repeated", 0, &outcome.holder, effects);
    }

    /// Lets a request wait for a route, by way of a trial if it is suspected.
    fn enter(&mut self, now: Instant, id: u64, effects: &mut Effects) {
        let Some(active) = self.requests.get(&id) else { return };
        if self.suspects.contains(&active.request.digest) && !active.trial {
            self.ask_for_trial(now, id, effects);
            return;
        }
        self.enqueue(now, id, effects);
    }

    /// Asks the claim log for leave to run a suspected request alone on one route.
    fn ask_for_trial(&mut self, now: Instant, id: u64, effects: &mut Effects) {
        let Some(active) = self.requests.get(&id) else { return };
        if !self.routes.serves(&active.target, now) {
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

    pub(super) fn trial_decided(
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

    fn enqueue(&mut self, now: Instant, id: u64, effects: &mut Effects) {
        let Some(active) = self.requests.get_mut(&id) else { return };
        if !self.routes.serves(&active.target, now) {
            self.refuse(now, id, Reason::NoEndpoint, Some(COME_BACK), effects);
            return;
        }
        active.stage = Stage::Queued;
        let retried = active.attempts > 0;
        let waiting = Waiting {
            request: id,
            cost: active.request.cost,
            deadline: active.deadline,
            priority: if retried { 0 } else { active.priority },
        };
        let service = active.request.service.clone();
        let queue = self.queues.entry(service.clone()).or_default();
        match queue.push(&active.terms, waiting, now) {
            Ok(()) => self.pump(now, &service, effects),
            Err(admit::Refusal::QueueFull(wait)) => {
                self.refuse(now, id, Reason::QueueFull, Some(wait), effects);
            }
            Err(admit::Refusal::TooLate(wait)) => {
                self.refuse(now, id, Reason::TooLate, Some(wait), effects);
            }
        }
    }

    /// Sends waiting requests of a service for as long as there are routes with room.
    fn pump(&mut self, now: Instant, service: &Name, effects: &mut Effects) {
        while let Some(next) = self.queues.get(service).and_then(admit::Queue::next) {
            let id = next.request;
            let Some(route) = self.choose_route(now, id) else { return };
            if let Some(queue) = self.queues.get_mut(service) {
                queue.start(now);
            }
            self.dispatch(now, id, route, effects);
        }
    }

    fn choose_route(&mut self, now: Instant, id: u64) -> Option<Name> {
        let active = self.requests.get(&id)?;
        let prefixes = &active.request.prefixes;
        let wish = Wish { prefixes, tried: &active.tried, salt: id };
        let chosen = self.routes.choose(&active.target, &wish, now);
        if chosen.is_some() || active.tried.is_empty() {
            return chosen;
        }
        self.routes.choose(&active.target, &Wish { tried: &[], ..wish }, now)
    }

    fn dispatch(&mut self, now: Instant, id: u64, route: Name, effects: &mut Effects) {
        let Some(active) = self.requests.get_mut(&id) else { return };
        let Some(known) = self.routes.route_mut(&route) else { return };
        let generation = known.generation(now);
        let until = known.until(now);
        let Some(view) = known.newest() else { return };
        let (address, vm): (Name, Name) =
            (view.entry.address.as_str().into(), view.entry.vm.as_str().into());
        let incarnation = view.entry.incarnation;
        known.health.sent();
        active.attempts += 1;
        active.vm = vm.clone();
        active.incarnation = incarnation;
        let dispatch = Dispatch {
            attempt: active.attempts,
            address,
            vm,
            request: active.name.clone(),
            deadline: active.deadline,
            until,
            generation,
            priority: active.priority,
            held: active.claimed,
        };
        self.routes.sent(&route, &active.request.prefixes, now);
        active.stage =
            Stage::Running(Running { route, generation, since: now, until, aborted: false });
        let name = active.name.clone();
        let decision = Decision::Dispatch(dispatch);
        effects.push(Effect::Decide { request: id, name, decision });
        self.count(Counter::Sent, effects);
    }

    pub(super) fn attempt_ended(&mut self, now: Instant, id: u64, end: End, effects: &mut Effects) {
        let Some(active) = self.requests.get_mut(&id) else { return };
        let Stage::Running(running) = active.stage.clone() else { return };
        active.stage = Stage::Queued;
        self.routes.ended(&running.route, now);
        if let Some(queue) = self.queues.get_mut(&active.request.service) {
            if matches!(end, End::Answered { .. }) {
                queue.finished(now.since(running.since));
            }
        }
        let service = active.request.service.clone();
        self.judge(now, id, end, &running, effects);
        self.pump(now, &service, effects);
    }

    fn judge(&mut self, now: Instant, id: u64, end: End, running: &Running, effects: &mut Effects) {
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

    fn lost(&mut self, now: Instant, id: u64, lost: Lost, crashed: bool, effects: &mut Effects) {
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

    /// Whether the death of an endpoint counts against a request: if a suspected request was being
    /// tried there, only that one is blamed.
    fn is_blamed(&self, now: Instant, id: u64, route: &Name) -> bool {
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
    fn report_crash(&mut self, now: Instant, id: u64, lost: Lost, effects: &mut Effects) {
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

    pub(super) fn crash_recorded(
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

    fn after_loss(&mut self, now: Instant, id: u64, lost: Lost, effects: &mut Effects) {
        let Some(active) = self.requests.get(&id) else { return };
        let reason = if lost.aborted { Reason::GroupLost } else { Reason::Broken };
        if lost.forwarded || active.claimed {
            self.give_up(now, id, reason, lost.tokens, effects);
            return;
        }
        self.retry(now, id, &lost.route, Cause::Lost, effects);
    }

    /// Repeats an attempt if the budget, the number of attempts and the deadline allow it.
    fn retry(&mut self, now: Instant, id: u64, route: &Name, cause: Cause, effects: &mut Effects) {
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

    fn served(&mut self, now: Instant, id: u64, tokens: u64, effects: &mut Effects) {
        self.count(Counter::Served, effects);
        self.end_trial(now, id, Suspicion::Cleared, effects);
        self.close(id, Run::Done, "served", tokens, "", effects);
    }

    fn settle(
        &mut self,
        now: Instant,
        id: u64,
        result: RunResult,
        tokens: u64,
        effects: &mut Effects,
    ) {
        let Some(active) = self.requests.get_mut(&id) else { return };
        active.stage = Stage::Settling(tokens);
        let settle = active.settle_command(result);
        let key = active.key();
        let Some(log) = self.claim_log(xxh3_64(key.as_bytes())) else { return };
        let purpose = Purpose::Settle(id);
        self.propose(now, log, settle, purpose, PROPOSAL_TIMEOUT, effects);
    }

    pub(super) fn settle_decided(
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

    pub(super) fn caller_gone(&mut self, now: Instant, id: u64, effects: &mut Effects) {
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
    fn give_up(
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
    fn refuse(
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

    fn tell_refusal(&mut self, id: u64, name: &Name, refusal: Refusal, effects: &mut Effects) {
        let reason = refusal.reason;
        self.count(Counter::Refused(reason), effects);
        let request = name.clone();
        effects.push(Effect::Log(journal::Event::Refused { request, reason }));
        let decision = Decision::Refuse(refusal);
        effects.push(Effect::Decide { request: id, name: name.clone(), decision });
    }

    /// Records the end of a claim and of a trial that did not end with an answer.
    fn record_end(&mut self, now: Instant, id: u64, run: Run, effects: &mut Effects) {
        self.end_trial(now, id, Suspicion::Abandoned, effects);
        let Some(active) = self.requests.get(&id) else { return };
        if !active.claimed {
            return;
        }
        let result = RunResult { run: run as i32, ..RunResult::default() };
        let settle = active.settle_command(result);
        let key = active.key();
        let Some(log) = self.claim_log(xxh3_64(key.as_bytes())) else { return };
        self.propose(now, log, settle, Purpose::Nothing, PROPOSAL_TIMEOUT, effects);
    }

    fn end_trial(&mut self, now: Instant, id: u64, end: Suspicion, effects: &mut Effects) {
        let Some(active) = self.requests.get_mut(&id) else { return };
        if !active.trial {
            return;
        }
        active.trial = false;
        let command = active.crash_command(end, &active.vm);
        let Some(log) = self.suspect_log(id) else { return };
        self.propose(now, log, command, Purpose::Nothing, PROPOSAL_TIMEOUT, effects);
    }

    fn suspect_log(&self, id: u64) -> Option<Name> {
        self.claim_log(self.requests.get(&id)?.request.digest)
    }

    /// Removes a request that has its final answer and writes its usage line.
    fn close(
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

    pub(super) fn tick_serving(&mut self, now: Instant, effects: &mut Effects) {
        self.abort_broken(now, effects);
        self.ask_trials_again(now, effects);
        self.expire_waiting(now, effects);
        self.trial_deaths.retain(|_, died| now.since(*died) < TRIAL_BLAME);
        let services: Vec<Name> = self.queues.keys().cloned().collect();
        for service in services {
            self.pump(now, &service, effects);
        }
        self.send_bill(now, effects);
    }

    /// Called when an entry has changed: stops answers of groups that have just broken, and sends
    /// waiting requests to groups that have just become ready.
    pub(super) fn after_route_change(&mut self, now: Instant, effects: &mut Effects) {
        self.abort_broken(now, effects);
        let waiting = self.queues.iter().filter(|(_, queue)| !queue.is_empty());
        let services: Vec<Name> = waiting.map(|(service, _)| service.clone()).collect();
        for service in services {
            self.pump(now, &service, effects);
        }
    }

    /// Stops answers whose group is no longer whole in the generation that they began in, and extends
    /// the permission of the others. The permission ends by itself if this daemon stands still.
    fn abort_broken(&mut self, now: Instant, effects: &mut Effects) {
        let mut aborted = Vec::new();
        for (id, active) in &mut self.requests {
            let Stage::Running(running) = &mut active.stage else { continue };
            let Some(route) = self.routes.route(&running.route) else { continue };
            if running.aborted || route.is_plain() {
                continue;
            }
            let intact = route.standing(now) != Standing::Broken
                && route.generation(now) == running.generation;
            if !intact {
                running.aborted = true;
                aborted.push(*id);
                continue;
            }
            let until = route.until(now);
            if until.since(running.until) >= EXTENSION_MIN {
                running.until = until;
                effects.push(Effect::Extend { request: *id, until });
            }
        }
        for request in aborted {
            self.count(Counter::Aborted, effects);
            effects.push(Effect::Abort { request });
        }
    }

    fn ask_trials_again(&mut self, now: Instant, effects: &mut Effects) {
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

    /// Refuses waiting requests that can't be served any more.
    fn expire_waiting(&mut self, now: Instant, effects: &mut Effects) {
        let mut late = Vec::new();
        let mut unserved = Vec::new();
        for (service, queue) in &mut self.queues {
            late.extend(queue.expire(now));
            let target = self.view.services.get(service).map(|linked| &linked.target);
            let serves = target.is_some_and(|target| self.routes.serves(target, now));
            if !serves && !queue.is_empty() {
                unserved.push(service.clone());
            }
        }
        for id in late {
            self.refuse(now, id, Reason::TooLate, Some(COME_BACK), effects);
        }
        if unserved.is_empty() {
            return;
        }
        let waits = |active: &Active| {
            active.stage == Stage::Queued && unserved.contains(&active.request.service)
        };
        let ids: Vec<u64> =
            self.requests.iter().filter(|(_, a)| waits(a)).map(|(id, _)| *id).collect();
        for id in ids {
            self.refuse(now, id, Reason::NoEndpoint, Some(COME_BACK), effects);
        }
    }

    /// Proposes the next batch of usage lines once the last one is recorded.
    fn send_bill(&mut self, now: Instant, effects: &mut Effects) {
        if self.lines.is_empty() || self.billing.is_some() || now < self.due.bill {
            return;
        }
        self.due.bill = now + BILL_INTERVAL;
        let daemon = self.setup.daemon.clone();
        let Some(log) = self.claim_log(xxh3_64(daemon.as_bytes())) else {
            self.lines.clear();
            return;
        };
        let count = self.lines.len().min(BILL_LINES);
        let lines: Vec<Line> = self.lines.drain(..count).collect();
        self.batch += 1;
        let bill = CommandBody::Bill(Bill {
            daemon: format!("{daemon}.{:x}", self.setup.incarnation),
            batch: self.batch,
            lines,
        });
        let ticket = self.propose(now, log, bill, Purpose::Bill, BILL_PATIENCE, effects);
        if self.pending.contains_key(&ticket) {
            self.billing = Some(ticket);
        }
    }

    pub(super) fn billed(&mut self, _recorded: bool) {
        self.billing = None;
    }

    fn note_success(&mut self, route: &Name) {
        if let Some(route) = self.routes.route_mut(route) {
            route.health.succeeded();
        }
    }

    fn note_withdrawal(&mut self, route: &Name) {
        if let Some(route) = self.routes.route_mut(route) {
            route.health.withdrew();
        }
    }

    fn note_failure(&mut self, now: Instant, name: &Name, effects: &mut Effects) {
        let Some(route) = self.routes.route_mut(name) else { return };
        if route.health.failed(now) {
            self.count(Counter::Ejected, effects);
            effects.push(Effect::Log(journal::Event::Ejected { route: name.clone() }));
        }
    }
}

/// A request that may wait.
struct Admitted {
    workspace: Workspace,
    terms: Terms,
    service: Service,
    target: Target,
}

impl Active {
    /// Key of the request's claim: the caller's, or one of its own.
    fn key(&self) -> String {
        match &self.request.idempotency_key {
            Some(key) => format!("{}\u{1}{key}", self.request.service),
            None => format!("\u{2}{}", self.name),
        }
    }

    /// What is known of the work behind this request.
    fn run(&self) -> Run {
        let looked_up = self.claimed || self.request.idempotency_key.is_none();
        if self.may_have_run || !looked_up {
            return Run::Unknown;
        }
        Run::NotRun
    }

    fn settle_command(&self, result: RunResult) -> CommandBody {
        CommandBody::Settle(Settle {
            workspace: self.terms.workspace.to_string(),
            key: self.key(),
            request: self.name.to_string(),
            result: Some(result),
        })
    }

    fn crash_command(&self, suspicion: Suspicion, place: &Name) -> CommandBody {
        CommandBody::Crash(Crash {
            fingerprint: self.request.digest,
            request: self.name.to_string(),
            vm: place.to_string(),
            suspicion: suspicion as i32,
            incarnation: self.incarnation,
        })
    }
}

/// Whether a request must run at most once.
fn needs_claim(request: &Request, service: &Service) -> bool {
    if request.idempotency_key.is_some() {
        return true;
    }
    match &request.call {
        Call::Model => false,
        Call::Plain { safe, path } => {
            !safe && !service.idempotent.iter().any(|prefix| path.starts_with(&**prefix))
        }
    }
}
