//! Pauses that endpoints ask for, and endpoints that leave.
//!
//! A pause is of this daemon alone: another daemon that the endpoint turns away is told so itself.
//! Both belong to an incarnation of an endpoint, whether the view lists it or not.
//!
//! After a pause, an endpoint gets one request, and two more with each answer, until it has given
//! [`RESUME_ANSWERS`].

use std::collections::BTreeMap;
use std::time::Duration;

use dotterelhoist_core::clock::Instant;
use strum::Display;

use crate::control::Reader;
use crate::journal;
use crate::Name;

use super::queue::Requirement;
use super::{Effect, Reason, State};

/// Longest pause that is kept; a longer one counts as this one.
pub const PAUSE_MAX: Duration = Duration::from_secs(60);
/// Time for which an endpoint that the view does not list is remembered.
const UNLISTED_TTL: Duration = Duration::from_secs(60);
/// Answers after a pause from which on an endpoint gets its normal part again.
const RESUME_ANSWERS: u32 = 7;
/// Requests that each of these answers allows.
const REQUESTS_PER_ANSWER: u32 = 2;
/// Time without an answer to the requests after a pause from which on another one may be sent.
const RESUME_RETRY: Duration = Duration::from_millis(500);

/// A pause that an endpoint asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pause {
    /// Time for which it wants no requests of this daemon, at most [`PAUSE_MAX`].
    pub length: Duration,
    /// Whether it asked for a longer one.
    pub capped: bool,
}

/// Why a stated pause is ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum Fault {
    /// It is not a number, such as a date.
    NotANumber,
    /// It is infinite, or too large for a number.
    NotFinite,
    /// It is less than zero.
    Negative,
}

/// What the head of a response states about its endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Statement {
    /// Whether it turns the request away.
    pub turned_away: bool,
    /// The pause that it asks for; only an endpoint that turns a request away can.
    pub pause: Option<Pause>,
    /// Whether it leaves.
    pub leaves: bool,
}

/// Requests to an endpoint after its pause.
#[derive(Clone, Debug)]
struct Resumption {
    /// Requests that may be sent.
    allowed: u32,
    /// Answers so far.
    answers: u32,
    /// When the last request was sent.
    sent_at: Instant,
}

/// What is known of one endpoint.
#[derive(Clone, Debug)]
struct Known {
    /// Start time of its incarnation in Unix milliseconds, 0 if it is not known.
    started_unix_ms: u64,
    /// End of the pause.
    until: Instant,
    /// Requests after the pause; none if it has not paused, or gets its normal part again.
    resumption: Option<Resumption>,
    /// Whether it leaves.
    leaves: bool,
    /// Since when the view has not listed it; none if it does.
    unlisted_since: Option<Instant>,
}

/// Pauses and leaves of endpoints, by identity.
#[derive(Debug, Default)]
pub struct Pauses {
    known: BTreeMap<Name, Known>,
}

/// Reads a pause in seconds, which may include fractions.
///
/// # Errors
///
/// Returns why the value is ignored.
///
/// ```
/// use std::time::Duration;
///
/// use dotterelhoist_fleet::entry::pauses::parse;
///
/// assert_eq!(parse("1.5").map(|pause| pause.length), Ok(Duration::from_millis(1500)));
/// ```
pub fn parse(value: &str) -> Result<Pause, Fault> {
    let seconds: f64 = value.parse().map_err(|_| Fault::NotANumber)?;
    if seconds.is_nan() {
        return Err(Fault::NotANumber);
    }
    if seconds.is_infinite() {
        return Err(Fault::NotFinite);
    }
    if seconds < 0.0 {
        return Err(Fault::Negative);
    }
    let max = PAUSE_MAX.as_secs_f64();
    Ok(Pause { length: Duration::from_secs_f64(seconds.min(max)), capped: seconds > max })
}

impl Pauses {
    /// Whether nothing is known of any endpoint.
    pub(super) fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Whether an endpoint leaves.
    pub(super) fn leaves(&self, id: &Name) -> bool {
        self.known.get(id).is_some_and(|known| known.leaves)
    }

    /// Until when an endpoint pauses; [`Instant::NEVER`] if it leaves.
    pub(super) fn barred_until(&self, id: &Name) -> Instant {
        self.known.get(id).map_or_else(Instant::default, |known| match known.leaves {
            true => Instant::NEVER,
            false => known.until,
        })
    }

    /// Whether a request may be sent to an endpoint now.
    pub(super) fn admits(&self, id: &Name, now: Instant) -> bool {
        let Some(known) = self.known.get(id) else { return true };
        let resumes = known.resumption.as_ref().is_none_or(|resumption| {
            resumption.allowed > 0 || now.since(resumption.sent_at) >= RESUME_RETRY
        });
        !known.leaves && now >= known.until && resumes
    }

    /// Records that a request is sent to an endpoint.
    pub(super) fn record_send(&mut self, id: &Name, now: Instant) {
        let resumption = self.known.get_mut(id).and_then(|known| known.resumption.as_mut());
        let Some(resumption) = resumption else { return };
        resumption.allowed = resumption.allowed.saturating_sub(1);
        resumption.sent_at = now;
    }

    /// Records that an endpoint has answered a request, and not turned it away.
    fn record_answer(&mut self, id: &Name, now: Instant) {
        let Some(known) = self.known.get_mut(id).filter(|known| now >= known.until) else { return };
        let Some(resumption) = &mut known.resumption else { return };
        resumption.allowed += REQUESTS_PER_ANSWER;
        resumption.answers += 1;
        if resumption.answers < RESUME_ANSWERS {
            return;
        }
        known.resumption = None;
        if !known.leaves {
            self.known.remove(id);
        }
    }

    /// Records what a response of an endpoint stated; `started_unix_ms` is the start time of its
    /// incarnation, 0 if it is not known.
    fn observe(&mut self, now: Instant, id: &Name, started_unix_ms: u64, statement: Statement) {
        let known = self.known.entry(id.clone()).or_insert_with(|| Known {
            started_unix_ms,
            until: Instant::default(),
            resumption: None,
            leaves: false,
            unlisted_since: None,
        });
        if let Some(pause) = statement.pause {
            known.until = known.until.max(now + pause.length);
            known.resumption = Some(Resumption { allowed: 1, answers: 0, sent_at: now });
        }
        known.leaves |= statement.leaves;
    }

    /// Updates an endpoint that the view lists. Another incarnation than before starts clean.
    pub(super) fn record_listed(&mut self, id: &Name, started_unix_ms: u64) {
        let Some(known) = self.known.get_mut(id) else { return };
        let is_known = started_unix_ms != 0 && known.started_unix_ms != 0;
        if is_known && started_unix_ms != known.started_unix_ms {
            self.known.remove(id);
            return;
        }
        known.started_unix_ms = known.started_unix_ms.max(started_unix_ms);
        known.unlisted_since = None;
    }

    /// Updates the endpoints that the view does not list, and forgets those that it has not listed
    /// for `UNLISTED_TTL`.
    pub(super) fn expire<Listed>(&mut self, now: Instant, is_listed: Listed)
    where
        Listed: Fn(&Name) -> bool,
    {
        self.known.retain(|id, known| {
            if is_listed(id) {
                return true;
            }
            let since = *known.unlisted_since.get_or_insert(now);
            now.since(since) < UNLISTED_TTL
        });
    }
}

impl<Decoder> State<Decoder>
where
    Decoder: Reader,
{
    /// Whether an endpoint pauses or leaves, as far as it has told this daemon.
    pub fn is_barred(&self, endpoint: &Name, now: Instant) -> bool {
        now < self.targets.pauses.barred_until(endpoint)
    }

    /// Refuses the queued requests whose endpoints all pause until they expire, or leave.
    pub(super) fn refuse_barred(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        if self.targets.pauses.is_empty() {
            return;
        }
        for requirement in self.queue.requirements() {
            for waiting in self.queue.waiting(&requirement) {
                let tried = self.tried(waiting.id);
                let Some(at) = self.targets.admission(&requirement, &tried, now) else { continue };
                if at <= waiting.expires {
                    continue;
                }
                let reason = if at == Instant::NEVER { Reason::NoEndpoint } else { Reason::Paused };
                self.refuse_active(now, waiting.id, reason, effects);
            }
        }
    }

    /// Time until the earliest pause of the endpoints that meet a requirement ends; none if one of
    /// them does not pause, or all leave.
    pub(super) fn pause_left(&self, requirement: &Requirement, now: Instant) -> Option<Duration> {
        if self.targets.pauses.is_empty() {
            return None;
        }
        let at = self.targets.admission(requirement, &[], now)?;
        (now < at && at < Instant::NEVER).then(|| at.since(now))
    }

    /// Records and logs what the head of a response states about its endpoint.
    pub(super) fn record_statement(
        &mut self,
        now: Instant,
        endpoint: &Name,
        statement: Statement,
        effects: &mut Vec<Effect>,
    ) {
        if !statement.turned_away {
            self.targets.pauses.record_answer(endpoint, now);
        }
        if statement.pause.is_none() && !statement.leaves {
            return;
        }
        let started_unix_ms = self.targets.started_unix_ms(endpoint);
        let was_barred = self.is_barred(endpoint, now);
        let left = self.targets.pauses.leaves(endpoint);
        self.targets.pauses.observe(now, endpoint, started_unix_ms, statement);
        let detail = format!("pause={:?} barred={was_barred}", statement.pause);
        if statement.pause.is_some() {
            let event =
                journal::Event::new(133, "endpoint asks for a pause", &**endpoint, &*detail);
            effects.push(Effect::Log(event));
        }
        if statement.leaves && !left {
            effects.push(Effect::Log(journal::Event::new(
                134,
                "endpoint leaves",
                &**endpoint,
                detail,
            )));
        }
        self.refuse_barred(now, effects);
    }
}
