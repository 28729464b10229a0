//! Requests from arrival to their final answer.
//!
//! A request passes through these stages: `Claiming` (only non-idempotent ones: the claim log
//! decides whether the key is new), `Trying` (only suspected ones: the claim log lets one of them
//! run at a time), `Queued`, `Running`, and `Settling` (the end of a claimed request is recorded
//! before its caller is told). Each has exactly one final answer.

use std::time::Duration;

use smallvec::SmallVec;

use crate::admit::{self, Quota, TokenBucket, Waiting};
use crate::clock::Instant;
use crate::control::command::{Body as CommandBody, Crash, Run, RunResult, Settle, Suspicion};
use crate::count::Counter;
use crate::effect::{Effect, Effects};
use crate::object::{Service, Workspace};
use crate::request::{Call, Decision, Dispatch, End, Reason, Refusal, Request};
use crate::route::{Criteria, Standing, Target};
use crate::Name;

use super::State;

mod billing;
mod claiming;
mod ending;
mod suspecting;

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
    terms: Quota,
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
        if waiting >= self.setup.policy.queue_capacity {
            return refuse(Reason::Overloaded, Some(COME_BACK));
        }
        if let Err(wait) = self.take_rate(now, &workspace_name, &workspace) {
            return refuse(Reason::RateLimited, Some(wait));
        }
        let terms =
            Quota { workspace: workspace_name, share: workspace.share, queue: workspace.queue };
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
        let bucket = self.rates.entry(name.clone()).or_insert_with(|| TokenBucket::full(rate, now));
        bucket.take(rate, now)
    }

    fn request_name(&self, id: u64) -> Name {
        format!("{}.{:x}.{id:x}", self.setup.daemon, self.setup.incarnation).into()
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

    fn enqueue(&mut self, now: Instant, id: u64, effects: &mut Effects) {
        let Some(active) = self.requests.get_mut(&id) else { return };
        if !self.routes.can_serve(&active.target, now) {
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
        let wish = Criteria { prefixes, tried: &active.tried, salt: id };
        let chosen = self.routes.choose(&active.target, &wish, now);
        if chosen.is_some() || active.tried.is_empty() {
            return chosen;
        }
        self.routes.choose(&active.target, &Criteria { tried: &[], ..wish }, now)
    }

    fn dispatch(&mut self, now: Instant, id: u64, route: Name, effects: &mut Effects) {
        let Some(active) = self.requests.get_mut(&id) else { return };
        let Some(known) = self.routes.route_mut(&route) else { return };
        let generation = known.generation(now);
        let until = known.valid_until(now);
        let Some(view) = known.newest() else { return };
        let (address, vm): (Name, Name) =
            (view.entry.address.as_str().into(), view.entry.vm.as_str().into());
        let incarnation = view.entry.incarnation;
        known.health.record_sent();
        active.attempts += 1;
        active.vm = vm.clone();
        active.incarnation = incarnation;
        let dispatch = Dispatch {
            attempt: active.attempts,
            address,
            vm,
            request: active.name.clone(),
            deadline: active.deadline,
            forward_until: until,
            generation,
            priority: active.priority,
            buffered: active.claimed,
        };
        self.routes.record_sent(&route, &active.request.prefixes, now);
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
        self.routes.record_ended(&running.route, now);
        if let Some(queue) = self.queues.get_mut(&active.request.service) {
            if matches!(end, End::Answered { .. }) {
                queue.record_duration(now.since(running.since));
            }
        }
        let service = active.request.service.clone();
        self.judge(now, id, end, &running, effects);
        self.pump(now, &service, effects);
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
            let until = route.valid_until(now);
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

    /// Refuses waiting requests that can't be served any more.
    fn expire_waiting(&mut self, now: Instant, effects: &mut Effects) {
        let mut late = Vec::new();
        let mut unserved = Vec::new();
        for (service, queue) in &mut self.queues {
            late.extend(queue.expire(now));
            let target = self.view.services.get(service).map(|linked| &linked.target);
            let serves = target.is_some_and(|target| self.routes.can_serve(target, now));
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
}

/// A request that may wait.
struct Admitted {
    workspace: Workspace,
    terms: Quota,
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
