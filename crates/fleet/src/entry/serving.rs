//! Handling of requests from their arrival to their final response: this module admits, queues and
//! sends them.

use std::sync::Arc;
use std::time::Duration;

use dotterelhoist_core::clock::Instant;
use smallvec::SmallVec;

use crate::control::Reader;
use crate::document::{Route, Workspace};
use crate::Name;

use super::queue::{Requirement, Waiting};
use super::targets::Choice;
use super::{Attempt, Decision, Effect, Reason, Refusal, Request, State};

mod ending;
mod refusing;

/// Part of the target latency for which a queued request can still meet it; afterwards, requests
/// that can still meet theirs go first.
const ON_TIME_FACTOR: f64 = 0.5;
/// Multiple of the target latency for which a request may be queued; then it is refused.
const QUEUE_TIMEOUT_FACTOR: f64 = 2.4;
/// Longest time for which a request may be queued, whatever its target latency; callers abandon a
/// stream that does not begin.
pub(super) const QUEUE_TIMEOUT_MAX: Duration = Duration::from_millis(1200);
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
    /// Version of the document by which the route was found.
    pub(super) resolved_by: u64,
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
    /// When the first part of the response of the current attempt was forwarded; none before.
    pub(super) begun_at: Option<Instant>,
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
    /// Maximum number of attempts. The daemon that relays a request to this one retries it itself.
    pub(super) fn max_attempts(&self) -> u32 {
        if self.request.relayed {
            1
        } else {
            self.route.max_attempts
        }
    }

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
        if !request.relayed {
            self.budget.deposit(&service);
            self.record_demand(&service, &request);
        }
        let model = if self.has_models(&service) { request.model.clone() } else { "".into() };
        let deadline = request.deadline.min(now + route.timeout);
        let requirement = (service, model);
        if !self.targets.limits.is_empty() {
            self.last_arrivals.insert(requirement.clone(), now);
        }
        let active = Active {
            requirement,
            route,
            resolved_by: self.version(),
            workspace,
            deadline,
            attempts: 0,
            tried: SmallVec::new(),
            endpoint: None,
            hedge: None,
            phase: Phase::Sent,
            begun_at: None,
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
        if self.is_request_barred(&active.request) {
            self.refuse_active(now, id, Reason::Crashing, effects);
            return;
        }
        let requirement = active.requirement.clone();
        let is_retry = active.attempts > 0;
        let may_wait = active.response_begun && self.admits_soon(active, now);
        let choice = self.targets.choose(&requirement, &active.tried, now, random);
        let relays = self.prefers_relay(now, active)
            || choice == Choice::None && self.targets.needs_relay(now);
        if relays && self.relay(now, id, effects) {
            return;
        }
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
        active.begun_at = None;
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
            relay: false,
            route: active.route.clone(),
            workspace: active.workspace.as_ref().map(|workspace| workspace.name.clone()),
            deadline: active.deadline,
            number: active.attempts,
            resolved_by: active.resolved_by,
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
                match self.targets.choose(&requirement, &tried, now, random) {
                    Choice::Endpoint(target) => self.send(now, id, target, effects),
                    Choice::None if self.targets.needs_relay(now) => {
                        if !self.relay(now, id, effects) {
                            break;
                        }
                    }
                    Choice::None | Choice::Full => break,
                }
                self.queue.remove(&requirement, id);
            }
        }
    }

    /// Records that the response to a request has begun.
    pub fn record_response_start(&mut self, id: u64, now: Instant) {
        let Some(active) = self.requests.get_mut(&id) else { return };
        if active.phase == Phase::Begun {
            return;
        }
        active.phase = Phase::Begun;
        active.begun_at = Some(now);
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
