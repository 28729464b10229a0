//! Handling of requests from their arrival to their final response.

use std::sync::Arc;
use std::time::Duration;

use dotterelhoist_core::clock::Instant;
use smallvec::SmallVec;

use crate::control::Reader;
use crate::document::{Kind, Route, Workspace};
use crate::journal;
use crate::Name;

use super::queue::{Requirement, Waiting};
use super::targets::Choice;
use super::{Attempt, Decision, Effect, End, Reason, Refusal, Request, State};

/// Delay after which the caller of a refused request is told to retry, before jitter is added. If
/// the request is refused after its service was chosen, the sum is capped at a quarter of the time
/// until the caller's deadline.
const RETRY_AFTER_DEFAULT: Duration = Duration::from_millis(500);
/// Delay after which the caller of a request that the daemon can't judge yet is told to retry,
/// before jitter is added; a newer document normally arrives within it.
const RETRY_AFTER_OUTDATED: Duration = Duration::from_millis(200);
/// Part of the target latency for which a queued request can still meet it; afterwards, requests
/// that can still meet theirs go first.
const ON_TIME_FACTOR: f64 = 0.5;
/// Multiple of the target latency for which a request may be queued; then it is refused.
const QUEUE_TIMEOUT_FACTOR: f64 = 2.4;
/// Longest time for which a request may be queued, whatever its target latency; callers abandon a
/// stream that does not begin.
pub(super) const QUEUE_TIMEOUT_MAX: Duration = Duration::from_millis(1200);
/// Time from the start of a daemon to its readiness when the whole deployment starts. Callers that
/// are refused earlier are told to retry when it has passed.
const COLD_START_DURATION: Duration = Duration::from_millis(2400);
/// Longest queue for a requirement, as a fraction of the slots of its endpoints; further requests
/// are refused.
const QUEUE_SLOTS_RATIO: f64 = 0.15;
/// Lower bound of the longest queue.
const QUEUE_LENGTH_MIN: usize = 8;
/// Maximum number of endpoints that are tried for one request, unreachable ones included; it is
/// then not retried.
pub(super) const TRIED_ENDPOINTS_MAX: usize = 6;
/// Minimum time before the deadline for a retry; with less, the request is not retried. A queued
/// request is refused at the latest this long before its deadline.
pub(super) const REMAINING_TIME_MIN: Duration = Duration::from_millis(30);

/// A request that has no final response yet.
#[derive(Debug)]
pub(super) struct Active {
    pub(super) request: Request,
    pub(super) route: Arc<Route>,
    /// Workspace of its caller; none if it presented no valid key and needed none.
    workspace: Option<Arc<Workspace>>,
    pub(super) requirement: Requirement,
    /// Time by which the final response must be complete: the caller's deadline or the end of the
    /// route's timeout, whichever is earlier.
    pub(super) deadline: Instant,
    /// Attempts so far, except those that could not connect.
    pub(super) attempts: u32,
    /// Endpoints of all attempts so far, which are not chosen again.
    pub(super) tried: SmallVec<[Name; 4]>,
    /// Endpoint of the current attempt; none while it is queued.
    pub(super) endpoint: Option<Name>,
    /// Endpoint of a second attempt that runs beside the current one; none while there is none.
    pub(super) hedge: Option<Name>,
    /// How far the current attempt has come.
    pub(super) phase: Phase,
    /// Whether any part of a response has been sent to the caller.
    pub(super) response_begun: bool,
    /// Whether the shell is writing to the caller, so that it does not read from the endpoint.
    pub(super) writing: bool,
    /// Whether the caller has a part of the response that another attempt would send again.
    pub(super) unresumable: bool,
    /// Whether an earlier attempt may have run it.
    pub(super) may_have_run: bool,
}

/// How far the current attempt of a request has come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum Phase {
    /// It was sent as the current one, and no part of its response has arrived.
    #[default]
    Sent,
    /// It was sent beside another one, which has ended since, and no part of its response has arrived.
    /// No second attempt is made beside it.
    Remaining,
    /// Its response has begun.
    Begun,
}

impl Active {
    /// Whether another attempt may start or continue the response.
    pub(super) fn is_retryable(&self) -> bool {
        self.route.is_retryable() && !self.unresumable
    }
}

impl<Decoder> State<Decoder>
where
    Decoder: Reader,
{
    /// Handles a new request: refuses, sends or enqueues it.
    pub(super) fn accept_request(
        &mut self,
        now: Instant,
        request: Request,
        effects: &mut Vec<Effect>,
    ) {
        let id = request.id;
        let (route, workspace) = match self.resolve(now, &request) {
            Ok(found) => found,
            Err(reason) => {
                let retry_after = self.retry_after_unresolved(now, reason);
                self.refuse(id, &request.request_id, Refusal { reason, retry_after }, effects);
                return;
            }
        };
        let random = self.next_random();
        let Some(service) = route.choose_service(random).cloned() else {
            let refusal = Refusal { reason: Reason::NoRoute, retry_after: None };
            self.refuse(id, &request.request_id, refusal, effects);
            return;
        };
        self.has_traffic = true;
        self.budget.deposit(&service);
        self.record_demand(&service, &request);
        let model = if self.has_models(&service) { request.model.clone() } else { "".into() };
        let deadline = request.deadline.min(now + route.timeout);
        let requirement = (service, model);
        if !self.targets.limits.is_empty() {
            self.last_arrivals.insert(requirement.clone(), now);
        }
        let active = Active {
            requirement,
            route,
            workspace,
            deadline,
            attempts: 0,
            tried: SmallVec::new(),
            endpoint: None,
            hedge: None,
            phase: Phase::Sent,
            response_begun: false,
            writing: false,
            unresumable: false,
            may_have_run: false,
            request,
        };
        self.requests.insert(id, active);
        self.send_or_enqueue(now, id, effects);
    }

    /// Sends a request to an endpoint with a free slot, or else enqueues it. A new request goes
    /// behind those that are queued for the same endpoints; a retry is sent ahead of them. A retry
    /// for which there is no endpoint is refused, unless that would cut a response and one may be
    /// there soon.
    fn send_or_enqueue(&mut self, now: Instant, id: u64, effects: &mut Vec<Effect>) {
        let random = self.next_random();
        let Some(active) = self.requests.get(&id) else { return };
        let requirement = active.requirement.clone();
        let is_retry = active.attempts > 0;
        let choice = self.targets.choose(&requirement, &active.tried, now, random);
        let may_wait = active.response_begun && self.admits_soon(active, now);
        match choice {
            Choice::Endpoint(target) if is_retry || self.queue.is_empty(&requirement) => {
                self.send(now, id, target, effects);
            }
            Choice::None if is_retry && !may_wait => {
                self.refuse_active(now, id, Reason::Declined, effects);
            }
            _ => self.enqueue(now, id, effects),
        }
    }

    /// Whether an endpoint that was not tried for a request may take it within the longest queue
    /// timeout.
    fn admits_soon(&self, active: &Active, now: Instant) -> bool {
        let admission = self.targets.admission(&active.requirement, &active.tried, now);
        admission.is_some_and(|at| at <= now + QUEUE_TIMEOUT_MAX)
    }

    /// Puts a request into the queue, or refuses it if it is new and the queue is full. A retry
    /// gets the highest priority.
    fn enqueue(&mut self, now: Instant, id: u64, effects: &mut Vec<Effect>) {
        let Some(active) = self.requests.get(&id) else { return };
        let requirement = active.requirement.clone();
        let capacity = f64::from(self.targets.capacity(&requirement));
        let length_max = ((capacity * QUEUE_SLOTS_RATIO) as usize).max(QUEUE_LENGTH_MIN);
        if self.queue.len(&requirement) >= length_max && active.attempts == 0 {
            self.refuse_active(now, id, Reason::QueueFull, effects);
            return;
        }
        let on_time_until = now + active.route.target_latency.mul_f64(ON_TIME_FACTOR);
        let queue_timeout =
            active.route.target_latency.mul_f64(QUEUE_TIMEOUT_FACTOR).min(QUEUE_TIMEOUT_MAX);
        let expires = (now + queue_timeout).min(active.deadline.before(REMAINING_TIME_MIN));
        let workspace_priority = active.workspace.as_ref().and_then(|workspace| workspace.priority);
        let priority = if active.attempts > 0 {
            0
        } else {
            workspace_priority.unwrap_or(active.route.priority)
        };
        self.queue.push(requirement, Waiting { id, priority, on_time_until, expires });
        self.request_slots(now, effects);
        self.refuse_unservable(now, effects);
        self.refuse_barred(now, effects);
    }

    /// Endpoints that were tried for a request.
    pub(super) fn tried(&self, id: u64) -> SmallVec<[Name; 4]> {
        self.requests.get(&id).map(|active| active.tried.clone()).unwrap_or_default()
    }

    /// Starts the current attempt at the endpoint `target`.
    fn send(&mut self, now: Instant, id: u64, target: Name, effects: &mut Vec<Effect>) {
        let Some(attempt) = self.start_attempt(now, id, &target) else { return };
        let Some(active) = self.requests.get_mut(&id) else { return };
        active.endpoint = Some(target);
        active.phase = Phase::Sent;
        effects.push(Effect::Decide(id, Decision::Send(attempt)));
    }

    /// Counts a new attempt of a request at the endpoint `target` and describes it.
    pub(super) fn start_attempt(
        &mut self,
        now: Instant,
        id: u64,
        target: &Name,
    ) -> Option<Attempt> {
        let active = self.requests.get_mut(&id)?;
        let target_state = self.targets.target(target)?;
        active.attempts += 1;
        active.tried.push(target.clone());
        let attempt = Attempt {
            address: target_state.description.address.as_str().into(),
            target: target.clone(),
            route: active.route.clone(),
            workspace: active.workspace.as_ref().map(|workspace| workspace.name.clone()),
            deadline: active.deadline,
            number: active.attempts,
        };
        self.targets.record_send(target, active.request.prompt_tokens, now);
        Some(attempt)
    }

    /// Sends queued requests while endpoints have free slots.
    pub(super) fn send_queued(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        for requirement in self.queue.requirements() {
            while let Some(id) = self.queue.next(&requirement, now) {
                let random = self.next_random();
                let tried = self.requests.get(&id).map(|active| active.tried.clone());
                let tried = tried.unwrap_or_default();
                let Choice::Endpoint(target) =
                    self.targets.choose(&requirement, &tried, now, random)
                else {
                    break;
                };
                self.queue.remove(&requirement, id);
                self.send(now, id, target, effects);
            }
        }
    }

    /// Refuses the requests whose queue timeout is over.
    pub(super) fn refuse_expired(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        for id in self.queue.expire(now) {
            let capacity =
                self.requests.get(&id).map(|active| self.targets.capacity(&active.requirement));
            let reason = if capacity == Some(0) { Reason::NoEndpoint } else { Reason::TooLate };
            self.refuse_active(now, id, reason, effects);
        }
    }

    /// Records that the response to a request has begun.
    pub fn record_response_start(&mut self, id: u64) {
        let Some(active) = self.requests.get_mut(&id) else { return };
        if active.phase == Phase::Begun {
            return;
        }
        active.phase = Phase::Begun;
        active.response_begun = true;
        if let Some(target) = &active.endpoint {
            self.targets.record_response_start(target, active.request.prompt_tokens);
        }
    }

    /// Records that a write to the caller of a request has started or ended. Meanwhile nothing is
    /// read from the endpoint, so its silence means nothing.
    pub fn record_write(&mut self, id: u64, in_progress: bool, now: Instant) {
        let Some(active) = self.requests.get_mut(&id) else { return };
        active.writing = in_progress;
        if let Some(target) = active.endpoint.as_ref().filter(|_| !in_progress) {
            self.targets.restart_stall_timer(target, now);
        }
    }

    /// Records that the caller of a request has been sent an event with data and without an id, which
    /// an endpoint that resumes the stream would send again.
    pub fn record_event_without_id(&mut self, id: u64) {
        let Some(active) = self.requests.get_mut(&id) else { return };
        active.unresumable = true;
    }

    /// Records the end of an attempt with its endpoint and decides what follows.
    pub(super) fn end_attempt(
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
    pub(super) fn record_outcome(
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
        if matches!(end, End::Lost(loss) if loss.is_of_endpoint()) {
            self.losses.record(active.request.fingerprint, target.clone(), now);
        }
        self.log_failed_attempt(id, target, end, effects);
    }

    /// Logs the end of an attempt unless it succeeded or was dropped.
    fn log_failed_attempt(&self, id: u64, target: &Name, end: &End, effects: &mut Vec<Effect>) {
        let Some(active) = self.requests.get(&id) else { return };
        if matches!(end, End::Answered | End::Dropped) {
            return;
        }
        let detail = format!(
            "end={end:?} endpoint={target} attempt={} of={} route={}",
            active.attempts, active.route.max_attempts, active.route.name
        );
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
        let attempts_left = active.attempts < active.route.max_attempts;
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

    /// Ends a request with a refusal. A request that may have run is never refused with a reason
    /// that guarantees that it has not.
    pub(super) fn refuse_active(
        &mut self,
        now: Instant,
        id: u64,
        reason: Reason,
        effects: &mut Vec<Effect>,
    ) {
        let Some(active) = self.requests.get(&id) else { return };
        let deadline = active.request.deadline;
        let pause_left = self.pause_left(&active.requirement, now);
        let retry_after = pause_left.unwrap_or_else(|| self.retry_after_refusal(now, deadline));
        self.refuse_after(id, reason, retry_after, effects);
    }

    /// Like [`State::refuse_active`], with the time after which the caller may retry if the request
    /// has not run.
    pub(super) fn refuse_after(
        &mut self,
        id: u64,
        reason: Reason,
        retry_after: Duration,
        effects: &mut Vec<Effect>,
    ) {
        let Some(active) = self.requests.remove(&id) else { return };
        self.queue.remove(&active.requirement, id);
        self.release_hedge(&active);
        let possibly_run = active.may_have_run && reason != Reason::TimedOut;
        let reason = if possibly_run { Reason::Lost } else { reason };
        let retry_after = matches!(reason.status(), 429 | 503).then_some(retry_after);
        if active.response_begun {
            let detail = format!("reason={reason} attempts={}", active.attempts);
            let request_id = &*active.request.request_id;
            effects.push(Effect::Log(journal::Event::new(123, "response cut", request_id, detail)));
        }
        let request_id = active.request.request_id.clone();
        self.refuse(id, &request_id, Refusal { reason, retry_after }, effects);
    }

    /// Time after which the caller of a refused request may retry: [`RETRY_AFTER_DEFAULT`], which
    /// is long enough for the requests that are queued now to be served, and a random part that
    /// spreads the retries, but at most a quarter of the time that the caller still waits.
    fn retry_after_refusal(&mut self, now: Instant, deadline: Instant) -> Duration {
        let left = deadline.since(now);
        let jitter = Duration::from_millis(self.next_random() % 300);
        (RETRY_AFTER_DEFAULT + jitter).min(left / 4)
    }

    /// Time after which a caller may retry whose request was refused before its service was chosen;
    /// none if a retry is pointless.
    fn retry_after_unresolved(&mut self, now: Instant, reason: Reason) -> Option<Duration> {
        match reason {
            Reason::Outdated => {
                Some(RETRY_AFTER_OUTDATED + Duration::from_millis(self.next_random() % 100))
            }
            Reason::Starting => Some(self.retry_after_startup(now)),
            _ => None,
        }
    }

    /// Time after which a caller may retry at a daemon that is not ready: when it will probably be
    /// ready. A random part spreads the retries.
    fn retry_after_startup(&mut self, now: Instant) -> Duration {
        let jitter = Duration::from_millis(self.next_random() % 300);
        let left = COLD_START_DURATION.saturating_sub(now.since(self.started));
        left.max(RETRY_AFTER_DEFAULT) + jitter
    }

    /// Logs a refusal and tells the shell to send it.
    fn refuse(&self, id: u64, request_id: &Name, refusal: Refusal, effects: &mut Vec<Effect>) {
        let detail = format!("reason={} retry_after={:?}", refusal.reason, refusal.retry_after);
        effects.push(Effect::Log(journal::Event::new(
            122,
            "request refused",
            &**request_id,
            detail,
        )));
        effects.push(Effect::Decide(id, Decision::Refuse(refusal)));
    }

    /// Drops a request whose caller has closed its connection.
    pub(super) fn cancel_request(&mut self, now: Instant, id: u64, effects: &mut Vec<Effect>) {
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

    /// Whether the endpoints of a service serve models.
    fn has_models(&self, service: &Name) -> bool {
        let document = self.document.as_ref();
        let service = document.and_then(|document| document.services.get(service));
        service.is_some_and(|service| service.engine.is_some())
    }

    /// Adds the expected work of a request to the demand for its model, which the next report
    /// holds.
    fn record_demand(&mut self, service: &Name, request: &Request) {
        let document = self.document.as_ref();
        let config = document.and_then(|document| document.services.get(service));
        let Some(engine) = config.and_then(|service| service.engine.as_ref()) else { return };
        let model = engine.models.iter().find(|model| model.name == request.model);
        let Some(model) = model else { return };
        let cost = engine.group_seconds(
            model,
            f64::from(request.prompt_tokens),
            f64::from(request.expected_output_tokens),
        );
        let work = self.demand.entry((service.clone(), model.name.clone())).or_default();
        work.seconds += cost;
        work.requests += 1;
    }
}
