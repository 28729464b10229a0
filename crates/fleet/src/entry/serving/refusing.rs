//! Refusals, and when their callers may retry.

use std::time::Duration;

use dotterelhoist_core::clock::Instant;

use crate::control::Reader;
use crate::journal;
use crate::Name;

use super::super::{Decision, Effect, Reason, Refusal, State};

/// Delay after which the caller of a refused request is told to retry, before jitter is added. If
/// the request is refused after its service was chosen, the sum is capped at a quarter of the time
/// until the caller's deadline.
const RETRY_AFTER_DEFAULT: Duration = Duration::from_millis(500);
/// Delay after which the caller of a request that the daemon can't judge yet is told to retry,
/// before jitter is added; a newer document normally arrives within it.
const RETRY_AFTER_OUTDATED: Duration = Duration::from_millis(200);
/// Time from the start of a daemon to its readiness when the whole deployment starts. Callers that
/// are refused earlier are told to retry when it has passed.
const COLD_START_DURATION: Duration = Duration::from_millis(2400);

impl<Decoder> State<Decoder>
where
    Decoder: Reader,
{
    /// Refuses the requests whose queue timeout is over.
    pub(in crate::entry) fn refuse_expired(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        for id in self.queue.expire(now) {
            let capacity =
                self.requests.get(&id).map(|active| self.targets.capacity(&active.requirement));
            let reason = if capacity == Some(0) { Reason::NoEndpoint } else { Reason::TooLate };
            self.refuse_active(now, id, reason, effects);
        }
    }

    /// Ends a request with a refusal. A request that may have run is never refused with a reason
    /// that guarantees that it has not.
    pub(in crate::entry) fn refuse_active(
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
    pub(in crate::entry) fn refuse_after(
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
        let may_help = reason != Reason::Crashing && matches!(reason.status(), 429 | 503);
        let retry_after = may_help.then_some(retry_after);
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
    pub(in crate::entry) fn retry_after_unresolved(
        &mut self,
        now: Instant,
        reason: Reason,
    ) -> Option<Duration> {
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
    pub(in crate::entry) fn refuse(
        &self,
        id: u64,
        request_id: &Name,
        refusal: Refusal,
        effects: &mut Vec<Effect>,
    ) {
        let detail = format!("reason={} retry_after={:?}", refusal.reason, refusal.retry_after);
        effects.push(Effect::Log(journal::Event::new(
            122,
            "request refused",
            &**request_id,
            detail,
        )));
        effects.push(Effect::Decide(id, Decision::Refuse(refusal)));
    }
}
