//! Requests from arrival to their final answer.
//!
//! A request passes through these stages:
//!
//! * `AwaitingClaim`, if it must run at most once: the claim log decides whether its key is new;
//! * `AwaitingTrial`, if it is suspected: the claim log lets one such request run at a time;
//! * `Queued` and `Running`, once for each attempt;
//! * `AwaitingCrashRecord`, if its endpoint died: the claim log records that before anything else
//!   is done;
//! * `AwaitingSettle`, if it is claimed: the claim log records its end before the caller gets the
//!   answer.
//!
//! Each request gets exactly one final answer.

use std::time::Duration;

use smallvec::SmallVec;

use crate::admit::{self, Quota, TokenBucket, Waiting};
use crate::clock::Instant;
use crate::control::command::{
    Body as CommandBody, Run, RunResult, Settle, SuspectChange, Suspicion,
};
use crate::count::Counter;
use crate::effect::{Effect, Effects};
use crate::object::{Service, Workspace};
use crate::request::{Call, Decision, Dispatch, End, Reason, Refusal, Request};
use crate::route::{Criteria, Standing, Target};
use crate::Name;

use super::State;

mod claiming;
mod ending;
mod suspecting;
mod usage;

/// Time after which refused callers are told to retry when no better estimate is known.
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// Interval at which permission to run a suspected request is requested again.
const TRIAL_RETRY: Duration = Duration::from_millis(250);
/// Time after a trial crashed an endpoint in which other requests that were running there are not
/// blamed for the crash.
const TRIAL_BLAME_WINDOW: Duration = Duration::from_secs(2);
/// Shortest extension of a forwarding permission that is sent to the task of a request; shorter
/// ones are not sent.
const EXTENSION_MIN: Duration = Duration::from_millis(200);
/// Time after which a proposed batch of usage lines is abandoned and its lines are dropped.
const USAGE_BATCH_TIMEOUT: Duration = Duration::from_secs(3600);
/// Usage lines in one batch; the rest waits for the next one.
const USAGE_BATCH_LINES: usize = 2000;

/// A request that has no final answer yet.
#[derive(Debug)]
pub(super) struct ActiveRequest {
    request: Request,
    /// Request id, unique across daemons and restarts.
    request_id: Name,
    /// Share and queue limit of the workspace.
    quota: Quota,
    /// Routes that can serve the request.
    target: Target,
    /// Moment by which the answer must be complete.
    deadline: Instant,
    /// Priority within the workspace, 0 first.
    priority: u8,
    stage: Stage,
    /// Whether the request must run at most once.
    needs_claim: bool,
    /// Whether the request holds its claim.
    claimed: bool,
    /// Whether the request has permission to run as a trial.
    in_trial: bool,
    /// Whether any attempt may have started the work.
    may_have_run: bool,
    /// Attempts so far.
    attempts: u32,
    /// Routes of the attempts that failed; avoided if there are others.
    tried_routes: SmallVec<[Name; 4]>,
    /// VM that the last attempt was sent to; empty before the first one.
    last_vm: Name,
    /// Incarnation of the endpoint on that VM.
    last_incarnation: u64,
}

/// Stage of a request between its arrival and its final answer.
#[derive(Clone, Debug, PartialEq)]
enum Stage {
    /// Waits for the outcome of its claim.
    AwaitingClaim,
    /// Suspected, waits for permission to run as a trial.
    AwaitingTrial(TrialRequest),
    /// Waits for a route that can take another request.
    Queued,
    /// Runs on an endpoint.
    Running(Running),
    /// Waits until the end of its claim is recorded; its answer has this many tokens.
    AwaitingSettle(u64),
    /// Waits until the death of its endpoint is recorded.
    AwaitingCrashRecord(LostAttempt),
}

/// Permission that a suspected request waits for.
#[derive(Clone, Debug, PartialEq)]
struct TrialRequest {
    /// Route that permission is requested for; none while it is not being requested.
    route: Option<Name>,
    /// When to request permission again; none while an outcome is awaited.
    retry_at: Option<Instant>,
}

/// An attempt in progress.
#[derive(Clone, Debug, PartialEq)]
struct Running {
    route: Name,
    /// Generation of the route when the attempt started.
    generation: u64,
    started: Instant,
    /// Moment at which the permission to forward the answer expires, as last sent to the task.
    forward_until: Instant,
    /// Whether the attempt was stopped because its group is broken or has changed its generation.
    aborted: bool,
}

/// An attempt whose endpoint failed or that was stopped before the answer was complete.
#[derive(Clone, Debug, PartialEq)]
struct LostAttempt {
    route: Name,
    /// Tokens that were forwarded to the caller.
    tokens: u64,
    /// Whether the caller has received part of the answer.
    forwarded: bool,
    /// Whether the attempt was stopped because its group is broken or has changed its generation.
    aborted: bool,
}

impl State {
    /// Admits a request and claims or queues it, or refuses it.
    pub(super) fn accept_request(&mut self, now: Instant, request: Request, effects: &mut Effects) {
        self.count(Counter::Received, effects);
        let request_id = self.request_id(request.id);
        let admitted = self.check_admission(now, &request);
        let (workspace, quota, service, target) = match admitted {
            Ok(Admitted { workspace, quota, service, target }) => {
                (workspace, quota, service, target)
            }
            Err(refusal) => {
                self.send_refusal(request.id, &request_id, refusal, effects);
                effects.push(Effect::CloseRequest { request: request.id });
                return;
            }
        };
        self.retry_budget.deposit();
        let longest = Duration::from_millis(service.deadline_ms);
        let timeout = request.timeout.map_or(longest, |timeout| timeout.min(longest));
        let needs_claim = needs_claim(&request, &service);
        let id = request.id;
        let active = ActiveRequest {
            priority: request.priority.max(workspace.priority),
            request_id,
            quota,
            target,
            deadline: now + timeout,
            stage: Stage::Queued,
            needs_claim,
            claimed: false,
            in_trial: false,
            may_have_run: false,
            attempts: 0,
            tried_routes: SmallVec::new(),
            last_vm: "".into(),
            last_incarnation: 0,
            request,
        };
        self.requests.insert(id, active);
        if needs_claim {
            self.propose_claim(now, id, effects);
        } else {
            self.queue_or_request_trial(now, id, effects);
        }
    }

    /// Checks that the workspace may call the service, and that the request is within the limits of
    /// the daemon and of the workspace's rate.
    fn check_admission(&mut self, now: Instant, request: &Request) -> Result<Admitted, Refusal> {
        let refuse = |reason, retry_after| {
            let has_no_key = request.idempotency_key.is_none();
            let run = if has_no_key { Run::NotRun } else { Run::Unknown };
            Err(Refusal { reason, run, retry_after })
        };
        if self.stopping {
            return refuse(Reason::Stopping, Some(RETRY_AFTER));
        }
        if !self.ready {
            return refuse(Reason::Starting, Some(RETRY_AFTER));
        }
        let Some(workspace_name) = self.view.workspace_of_key(&request.key_sha256).cloned() else {
            return refuse(Reason::Unauthorized, None);
        };
        let Some(workspace) = self.view.workspaces.get(&workspace_name).cloned() else {
            return refuse(Reason::Unauthorized, None);
        };
        let Some(resolved) = self.view.services.get(&request.service) else {
            return refuse(Reason::UnknownService, None);
        };
        if !workspace.services.matches(&resolved.service.labels) {
            return refuse(Reason::Forbidden, None);
        }
        let model = resolved.service.groups.is_some();
        if model != (request.call == Call::Model) {
            return refuse(Reason::UnknownPath, None);
        }
        let (service, target) = (resolved.service.clone(), resolved.target.clone());
        let waiting: usize = self.queues.values().map(|queue| queue.len()).sum();
        if waiting >= self.setup.policy.queue_capacity {
            return refuse(Reason::Overloaded, Some(RETRY_AFTER));
        }
        if let Err(wait) = self.take_rate_token(now, &workspace_name, &workspace) {
            return refuse(Reason::RateLimited, Some(wait));
        }
        let quota =
            Quota { workspace: workspace_name, share: workspace.share, queue: workspace.queue };
        Ok(Admitted { workspace, quota, service, target })
    }

    /// Takes one request from the workspace's rate limit, which is divided evenly among the daemons
    /// that accept requests. Returns the time to wait if the limit is reached.
    fn take_rate_token(
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
        let bucket =
            self.rate_limits.entry(name.clone()).or_insert_with(|| TokenBucket::full(rate, now));
        bucket.take(rate, now)
    }

    /// Request id for the number of a request.
    fn request_id(&self, id: u64) -> Name {
        format!("{}.{:x}.{id:x}", self.setup.daemon, self.setup.incarnation).into()
    }

    /// Queues a request, or first requests a trial if it is suspected.
    fn queue_or_request_trial(&mut self, now: Instant, id: u64, effects: &mut Effects) {
        let Some(active) = self.requests.get(&id) else { return };
        if self.suspects.contains(&active.request.digest) && !active.in_trial {
            self.request_trial(now, id, effects);
            return;
        }
        self.enqueue(now, id, effects);
    }

    /// Puts a request into the queue of its service, or refuses it. A retry goes before the other
    /// requests of its workspace.
    fn enqueue(&mut self, now: Instant, id: u64, effects: &mut Effects) {
        let Some(active) = self.requests.get_mut(&id) else { return };
        if !self.routes.can_serve(&active.target, now) {
            self.refuse(now, id, Reason::NoEndpoint, Some(RETRY_AFTER), effects);
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
        match queue.push(&active.quota, waiting, now) {
            Ok(()) => self.dispatch_queued(now, &service, effects),
            Err(admit::Refusal::QueueFull(wait)) => {
                self.refuse(now, id, Reason::QueueFull, Some(wait), effects);
            }
            Err(admit::Refusal::TooLate(wait)) => {
                self.refuse(now, id, Reason::TooLate, Some(wait), effects);
            }
        }
    }

    /// Dispatches waiting requests of a service while a route can take another one.
    fn dispatch_queued(&mut self, now: Instant, service: &Name, effects: &mut Effects) {
        while let Some(next) = self.queues.get(service).and_then(admit::Queue::next) {
            let id = next.request;
            let Some(route) = self.choose_route(now, id) else { return };
            if let Some(queue) = self.queues.get_mut(service) {
                queue.start(now);
            }
            self.dispatch(now, id, route, effects);
        }
    }

    /// Chooses a route for a request, if possible one on which no attempt of it has failed.
    fn choose_route(&mut self, now: Instant, id: u64) -> Option<Name> {
        let active = self.requests.get(&id)?;
        let prefixes = &active.request.prefixes;
        let criteria = Criteria { prefixes, tried: &active.tried_routes, salt: id };
        let chosen = self.routes.choose(&active.target, &criteria, now);
        if chosen.is_some() || active.tried_routes.is_empty() {
            return chosen;
        }
        self.routes.choose(&active.target, &Criteria { tried: &[], ..criteria }, now)
    }

    /// Sends a request to the endpoint of a route.
    fn dispatch(&mut self, now: Instant, id: u64, route: Name, effects: &mut Effects) {
        let Some(active) = self.requests.get_mut(&id) else { return };
        let Some(known) = self.routes.route_mut(&route) else { return };
        let generation = known.generation(now);
        let until = known.valid_until(now);
        let Some(observation) = known.newest() else { return };
        let (address, vm): (Name, Name) =
            (observation.entry.address.as_str().into(), observation.entry.vm.as_str().into());
        let incarnation = observation.entry.incarnation;
        known.health.record_sent();
        active.attempts += 1;
        active.last_vm = vm.clone();
        active.last_incarnation = incarnation;
        let dispatch = Dispatch {
            attempt: active.attempts,
            address,
            vm,
            request: active.request_id.clone(),
            deadline: active.deadline,
            forward_until: until,
            generation,
            priority: active.priority,
            buffered: active.claimed,
        };
        self.routes.record_sent(&route, &active.request.prefixes, now);
        active.stage = Stage::Running(Running {
            route,
            generation,
            started: now,
            forward_until: until,
            aborted: false,
        });
        let request_id = active.request_id.clone();
        let decision = Decision::Dispatch(dispatch);
        effects.push(Effect::Decide { request: id, request_id, decision });
        self.count(Counter::Sent, effects);
    }

    /// Handles the end of an attempt, and dispatches waiting requests to the capacity that it
    /// frees.
    pub(super) fn end_attempt(&mut self, now: Instant, id: u64, end: End, effects: &mut Effects) {
        let Some(active) = self.requests.get_mut(&id) else { return };
        let Stage::Running(running) = active.stage.clone() else { return };
        active.stage = Stage::Queued;
        self.routes.record_ended(&running.route, now);
        if let Some(queue) = self.queues.get_mut(&active.request.service) {
            if matches!(end, End::Answered { .. }) {
                queue.record_duration(now.since(running.started));
            }
        }
        let service = active.request.service.clone();
        self.handle_attempt_end(now, id, end, &running, effects);
        self.dispatch_queued(now, &service, effects);
    }

    /// Stops and refuses what can no longer be served, dispatches waiting requests and proposes
    /// usage.
    pub(super) fn tick_serving(&mut self, now: Instant, effects: &mut Effects) {
        self.abort_broken_answers(now, effects);
        self.retry_trials(now, effects);
        self.expire_waiting(now, effects);
        self.trial_crashes.retain(|_, died| now.since(*died) < TRIAL_BLAME_WINDOW);
        let services: Vec<Name> = self.queues.keys().cloned().collect();
        for service in services {
            self.dispatch_queued(now, &service, effects);
        }
        self.propose_usage(now, effects);
    }

    /// Reacts to a changed route entry: stops answers of groups that are broken or have another
    /// generation, and dispatches waiting requests to groups that have become ready.
    pub(super) fn handle_route_change(&mut self, now: Instant, effects: &mut Effects) {
        self.abort_broken_answers(now, effects);
        let waiting = self.queues.iter().filter(|(_, queue)| !queue.is_empty());
        let services: Vec<Name> = waiting.map(|(service, _)| service.clone()).collect();
        for service in services {
            self.dispatch_queued(now, &service, effects);
        }
    }

    /// Stops answers whose group is broken or has another generation than at their start, and
    /// extends the forwarding permission of the others. If this daemon stalls, the permissions
    /// expire by themselves.
    fn abort_broken_answers(&mut self, now: Instant, effects: &mut Effects) {
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
            let until = route.valid_until(now);
            if until.since(running.forward_until) >= EXTENSION_MIN {
                running.forward_until = until;
                effects.push(Effect::ExtendPermission { request: *id, until });
            }
        }
        for request in aborted {
            self.count(Counter::Aborted, effects);
            effects.push(Effect::AbortAnswer { request });
        }
    }

    /// Refuses queued requests whose deadline can't be met or that no route can serve.
    fn expire_waiting(&mut self, now: Instant, effects: &mut Effects) {
        let mut late = Vec::new();
        let mut unserved = Vec::new();
        for (service, queue) in &mut self.queues {
            late.extend(queue.expire(now));
            let target = self.view.services.get(service).map(|resolved| &resolved.target);
            let serves = target.is_some_and(|target| self.routes.can_serve(target, now));
            if !serves && !queue.is_empty() {
                unserved.push(service.clone());
            }
        }
        for id in late {
            self.refuse(now, id, Reason::TooLate, Some(RETRY_AFTER), effects);
        }
        if unserved.is_empty() {
            return;
        }
        let is_unserved = |active: &ActiveRequest| {
            active.stage == Stage::Queued && unserved.contains(&active.request.service)
        };
        let ids: Vec<u64> =
            self.requests.iter().filter(|(_, a)| is_unserved(a)).map(|(id, _)| *id).collect();
        for id in ids {
            self.refuse(now, id, Reason::NoEndpoint, Some(RETRY_AFTER), effects);
        }
    }
}

/// Workspace, quota, service and target of a request that passed the admission checks.
struct Admitted {
    workspace: Workspace,
    quota: Quota,
    service: Service,
    target: Target,
}

impl ActiveRequest {
    /// Key of the request's claim: the service and the caller's idempotency key, or the request id.
    fn key(&self) -> String {
        match &self.request.idempotency_key {
            Some(key) => format!("{}\u{1}{key}", self.request.service),
            None => format!("\u{2}{}", self.request_id),
        }
    }

    /// Whether the request ran or, if it has an idempotency key, whether any request with that key
    /// ran. With a key this is unknown unless the request holds the claim.
    fn run(&self) -> Run {
        let key_checked = self.claimed || self.request.idempotency_key.is_none();
        if self.may_have_run || !key_checked {
            return Run::Unknown;
        }
        Run::NotRun
    }

    /// Command that records the end of the request's claim.
    fn settle_command(&self, result: RunResult) -> CommandBody {
        CommandBody::Settle(Settle {
            workspace: self.quota.workspace.to_string(),
            key: self.key(),
            request: self.request_id.to_string(),
            result: Some(result),
        })
    }

    /// Command that changes the record of this request as a suspect. `vm_or_route` is the VM whose
    /// endpoint died, or the route of a trial.
    fn suspect_command(&self, suspicion: Suspicion, vm_or_route: &Name) -> CommandBody {
        CommandBody::SuspectChange(SuspectChange {
            fingerprint: self.request.digest,
            request: self.request_id.to_string(),
            vm: vm_or_route.to_string(),
            suspicion: suspicion as i32,
            incarnation: self.last_incarnation,
        })
    }
}

/// Whether a request must run at most once: it has an idempotency key, or neither its method nor
/// its path is idempotent.
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
