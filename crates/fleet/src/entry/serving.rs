//! Requests from arrival to their final answer.

use std::sync::Arc;
use std::time::Duration;

use dotterelhoist_core::clock::Instant;
use smallvec::SmallVec;

use crate::control::Reader;
use crate::document::{Kind, Route, Workspace};
use crate::journal;
use crate::Name;

use super::queue::{Need, Waiting};
use super::targets::Found;
use super::{Attempt, Decision, Effect, End, Reason, Refusal, Request, State};

/// Time after which to come back when nothing better is known.
const COME_BACK: Duration = Duration::from_millis(500);
/// Part of the target latency for which a request that waits can still be answered on time.
const FRESH: f64 = 0.5;
/// Multiple of the target latency for which a request may wait for room.
const PATIENCE: f64 = 2.4;
/// Longest time for which a request may wait for room; callers leave a stream that does not begin.
const PATIENCE_MAX: Duration = Duration::from_millis(1200);
/// Time from the start of a daemon to its readiness after the whole deployment was down.
const START_SPAN: Duration = Duration::from_millis(2400);
/// Requests that may wait for a need, as a part of what its endpoints run at once.
const QUEUE_SHARE: f64 = 0.15;
/// Requests that may wait for a need in any case.
const QUEUE_MIN: usize = 8;
/// Endpoints that are tried for one request at most, those out of reach included.
const TRIED_MAX: usize = 6;
/// Least time left for another attempt.
const LEAST_LEFT: Duration = Duration::from_millis(30);

/// A request without a final answer.
#[derive(Debug)]
pub(super) struct Active {
    request: Request,
    route: Arc<Route>,
    workspace: Option<Arc<Workspace>>,
    need: Need,
    deadline: Instant,
    attempts: u32,
    tried: SmallVec<[Name; 4]>,
    /// Endpoint that it was sent to and that has not ended it.
    at: Option<Name>,
    begun: bool,
    /// Whether an earlier attempt may have run it.
    may_have_run: bool,
    abandoned: bool,
}

impl<Decoder> State<Decoder>
where
    Decoder: Reader,
{
    pub(super) fn arrive(&mut self, now: Instant, request: Request, effects: &mut Vec<Effect>) {
        let id = request.id;
        let (route, workspace) = match self.look_up(&request) {
            Ok(found) => found,
            Err(reason) => {
                let later = reason.status() == 503 && reason != Reason::Crashing;
                let retry_after = later.then(|| self.come_back_ready(now));
                self.tell(id, &request.request_id, Refusal { reason, retry_after }, effects);
                return;
            }
        };
        let draw = self.next_draw();
        let Some(service) = route.choose_service(draw).cloned() else {
            let refusal = Refusal { reason: Reason::NoRoute, retry_after: None };
            self.tell(id, &request.request_id, refusal, effects);
            return;
        };
        self.traffic = true;
        self.budget.deposit(&service);
        self.note_demand(&service, &request);
        let model = if self.has_models(&service) { request.model.clone() } else { "".into() };
        let deadline = request.deadline.min(now + route.timeout);
        let active = Active {
            need: (service, model),
            route,
            workspace,
            deadline,
            attempts: 0,
            tried: SmallVec::new(),
            at: None,
            begun: false,
            may_have_run: false,
            abandoned: false,
            request,
        };
        self.requests.insert(id, active);
        self.place(now, id, effects);
    }

    /// Sends a request to an endpoint with room, or lets it wait.
    fn place(&mut self, now: Instant, id: u64, effects: &mut Vec<Effect>) {
        let draw = self.next_draw();
        let Some(active) = self.requests.get(&id) else { return };
        let need = active.need.clone();
        let again = active.attempts > 0;
        let found = self.targets.find(&need, &active.tried, now, draw);
        match found {
            Found::Room(target) if again || self.queue.is_empty(&need) => {
                self.send(now, id, target, effects);
            }
            Found::None if again => self.fail(now, id, Reason::Declined, effects),
            _ => self.wait(now, id, effects),
        }
    }

    fn wait(&mut self, now: Instant, id: u64, effects: &mut Vec<Effect>) {
        let Some(active) = self.requests.get(&id) else { return };
        let need = active.need.clone();
        let capacity = f64::from(self.targets.capacity(&need));
        let longest = ((capacity * QUEUE_SHARE) as usize).max(QUEUE_MIN);
        if self.queue.len(&need) >= longest && active.attempts == 0 {
            self.fail(now, id, Reason::QueueFull, effects);
            return;
        }
        let fresh = now + active.route.target_latency.mul_f64(FRESH);
        let patience = active.route.target_latency.mul_f64(PATIENCE).min(PATIENCE_MAX);
        let until = (now + patience).min(active.deadline.before(LEAST_LEFT));
        let rank = active.workspace.as_ref().and_then(|workspace| workspace.priority);
        let priority = if active.attempts > 0 { 0 } else { rank.unwrap_or(active.route.priority) };
        self.queue.push(need, Waiting { id, priority, fresh, until });
    }

    fn send(&mut self, now: Instant, id: u64, target: Name, effects: &mut Vec<Effect>) {
        let Some(active) = self.requests.get_mut(&id) else { return };
        let Some(known) = self.targets.target(&target) else { return };
        active.attempts += 1;
        active.at = Some(target.clone());
        active.begun = false;
        active.abandoned = false;
        active.tried.push(target.clone());
        let attempt = Attempt {
            address: known.entry.address.as_str().into(),
            target: target.clone(),
            route: active.route.clone(),
            workspace: active.workspace.as_ref().map(|workspace| workspace.name.clone()),
            deadline: active.deadline,
            number: active.attempts,
        };
        self.targets.sent(&target, active.request.prompt_tokens, now);
        effects.push(Effect::Decide(id, Decision::Send(attempt)));
    }

    /// Sends waiting requests for as long as there is room.
    pub(super) fn pump(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        for need in self.queue.needs() {
            while let Some(id) = self.queue.next(&need, now) {
                let draw = self.next_draw();
                let tried = self.requests.get(&id).map(|active| active.tried.clone());
                let tried = tried.unwrap_or_default();
                let Found::Room(target) = self.targets.find(&need, &tried, now, draw) else {
                    break;
                };
                self.queue.remove(&need, id);
                self.send(now, id, target, effects);
            }
        }
    }

    /// Refuses requests that have waited too long.
    pub(super) fn expire(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        for id in self.queue.expire(now) {
            let capacity = self.requests.get(&id).map(|active| self.targets.capacity(&active.need));
            let reason = if capacity == Some(0) { Reason::NoEndpoint } else { Reason::TooLate };
            self.fail(now, id, reason, effects);
        }
    }

    /// Stops attempts at endpoints that make no progress.
    pub(super) fn check_progress(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        for stalled in self.targets.stalled(now) {
            let at = |active: &Active| active.at.as_ref() == Some(&stalled);
            let mut moved = 0;
            for (id, active) in self.requests.iter_mut().filter(|(_, active)| at(active)) {
                let again = active.route.is_retryable()
                    && active.attempts < active.route.max_attempts
                    && self.budget.allows(&active.need.0);
                if again && !active.abandoned {
                    active.abandoned = true;
                    moved += 1;
                    effects.push(Effect::Abandon(*id));
                }
            }
            if moved > 0 {
                let detail = format!("requests={moved}");
                let event = journal::Event::new(131, "endpoint stalled", &*stalled, detail);
                effects.push(Effect::Log(event));
            }
        }
    }

    /// Notes that the answer of a request has begun.
    pub fn record_answer_start(&mut self, id: u64) {
        let Some(active) = self.requests.get_mut(&id) else { return };
        if active.begun {
            return;
        }
        active.begun = true;
        if let Some(target) = &active.at {
            self.targets.begun(target, active.request.prompt_tokens);
        }
    }

    pub(super) fn ended(&mut self, now: Instant, id: u64, end: End, effects: &mut Vec<Effect>) {
        let Some(active) = self.requests.get_mut(&id) else { return };
        let Some(target) = active.at.take() else { return };
        self.targets.ended(&target, active.begun, active.request.prompt_tokens);
        active.begun = false;
        match &end {
            End::Answered => self.targets.succeeded(&target),
            End::Failed { .. } if active.route.kind != Kind::Streaming => {
                self.targets.succeeded(&target);
            }
            End::Unreachable => self.targets.failed(&target, true, now),
            End::Lost { .. } | End::Failed { .. } | End::Declined { .. } => {
                self.targets.failed(&target, false, now);
            }
            End::TimedOut { .. } => {}
        }
        if matches!(end, End::Lost { .. }) {
            self.losses.record(active.request.fingerprint, target.clone(), now);
        }
        self.note_end(id, &target, &end, effects);
        self.judge(now, id, end, effects);
        self.pump(now, effects);
    }

    fn note_end(&self, id: u64, target: &Name, end: &End, effects: &mut Vec<Effect>) {
        let Some(active) = self.requests.get(&id) else { return };
        if *end == End::Answered {
            return;
        }
        let detail = format!(
            "end={end:?} endpoint={target} attempt={} of={} route={}",
            active.attempts, active.route.max_attempts, active.route.name
        );
        let event = journal::Event::new(121, "attempt failed", &*active.request.request_id, detail);
        effects.push(Effect::Log(event));
    }

    /// Decides what follows the end of an attempt.
    fn judge(&mut self, now: Instant, id: u64, end: End, effects: &mut Vec<Effect>) {
        let Some(active) = self.requests.get_mut(&id) else { return };
        let repeatable = active.route.is_retryable();
        match end {
            End::Answered => {
                self.requests.remove(&id);
            }
            End::Unreachable => {
                active.attempts -= 1;
                self.repeat(now, id, Reason::NoEndpoint, false, effects);
            }
            End::Declined { .. } => self.repeat(now, id, Reason::Declined, true, effects),
            End::Failed { .. } if repeatable && active.route.kind == Kind::Idempotent => {
                active.may_have_run = true;
                self.repeat_or_deliver(now, id, effects);
            }
            End::Failed { .. } => self.deliver(id, effects),
            End::Lost { open: true, .. } if repeatable => {
                active.may_have_run = true;
                self.repeat(now, id, Reason::Lost, true, effects);
            }
            End::Lost { .. } => {
                active.may_have_run = true;
                self.fail(now, id, Reason::Lost, effects);
            }
            End::TimedOut { .. } => {
                active.may_have_run = true;
                self.fail(now, id, Reason::TimedOut, effects);
            }
        }
    }

    fn may_repeat(&mut self, now: Instant, id: u64, arrived: bool) -> bool {
        let Some(active) = self.requests.get(&id) else { return false };
        let left = active.deadline.since(now) > LEAST_LEFT;
        let allowed = active.attempts < active.route.max_attempts;
        let tries = active.tried.len() < TRIED_MAX;
        left && allowed && tries && (!arrived || self.budget.withdraw(&active.need.0))
    }

    fn repeat(
        &mut self,
        now: Instant,
        id: u64,
        otherwise: Reason,
        arrived: bool,
        effects: &mut Vec<Effect>,
    ) {
        if !self.may_repeat(now, id, arrived) {
            self.fail(now, id, otherwise, effects);
            return;
        }
        self.place(now, id, effects);
    }

    fn repeat_or_deliver(&mut self, now: Instant, id: u64, effects: &mut Vec<Effect>) {
        let Some(active) = self.requests.get(&id) else { return };
        let draw = self.draw;
        let found = self.targets.find(&active.need, &active.tried, now, draw);
        let room = matches!(found, Found::Room(_));
        if room && self.may_repeat(now, id, true) {
            self.place(now, id, effects);
            return;
        }
        self.deliver(id, effects);
    }

    fn deliver(&mut self, id: u64, effects: &mut Vec<Effect>) {
        self.requests.remove(&id);
        effects.push(Effect::Decide(id, Decision::ForwardFailure));
    }

    /// Gives a request its final answer. One that may have run is never told that it has not.
    fn fail(&mut self, now: Instant, id: u64, reason: Reason, effects: &mut Vec<Effect>) {
        let Some(active) = self.requests.remove(&id) else { return };
        self.queue.remove(&active.need, id);
        let unsure = active.may_have_run && reason != Reason::TimedOut;
        let reason = if unsure { Reason::Lost } else { reason };
        let retry_after =
            matches!(reason.status(), 429 | 503).then(|| self.come_back(now, &active));
        let name = active.request.request_id.clone();
        self.tell(id, &name, Refusal { reason, retry_after }, effects);
    }

    /// When a refused request may come back: after the requests that wait now have had their turn.
    fn come_back(&mut self, now: Instant, active: &Active) -> Duration {
        let left = active.request.deadline.since(now);
        let spread = Duration::from_millis(self.next_draw() % 300);
        (COME_BACK + spread).min(left / 4)
    }

    /// When to come back to a daemon that is not ready: when it probably is.
    fn come_back_ready(&mut self, now: Instant) -> Duration {
        let spread = Duration::from_millis(self.next_draw() % 300);
        let left = START_SPAN.saturating_sub(now.since(self.started));
        left.max(COME_BACK) + spread
    }

    fn tell(&self, id: u64, name: &Name, refusal: Refusal, effects: &mut Vec<Effect>) {
        let detail = format!("reason={} retry_after={:?}", refusal.reason, refusal.retry_after);
        effects.push(Effect::Log(journal::Event::new(122, "request refused", &**name, detail)));
        effects.push(Effect::Decide(id, Decision::Refuse(refusal)));
    }

    pub(super) fn gone(&mut self, now: Instant, id: u64, effects: &mut Vec<Effect>) {
        let Some(active) = self.requests.remove(&id) else { return };
        self.queue.remove(&active.need, id);
        if let Some(target) = &active.at {
            self.targets.ended(target, active.begun, active.request.prompt_tokens);
        }
        self.pump(now, effects);
    }

    fn has_models(&self, service: &Name) -> bool {
        let document = self.document.as_ref();
        let service = document.and_then(|document| document.services.get(service));
        service.is_some_and(|service| service.engine.is_some())
    }

    fn note_demand(&mut self, service: &Name, request: &Request) {
        let document = self.document.as_ref();
        let known = document.and_then(|document| document.services.get(service));
        let Some(engine) = known.and_then(|service| service.engine.as_ref()) else { return };
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
