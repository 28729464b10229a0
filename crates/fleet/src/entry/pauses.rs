//! Pauses that endpoints ask for, and endpoints that leave.
//!
//! A pause is of this daemon alone: another daemon that the endpoint turns away is told so itself.
//! Both belong to an incarnation of an endpoint, whether the view lists it or not.

use std::collections::BTreeMap;
use std::time::Duration;

use dotterelhoist_core::clock::Instant;
use strum::Display;

use crate::control::Reader;
use crate::journal;
use crate::Name;

use super::{Effect, State};

/// Longest pause that is kept; a longer one counts as this one.
pub const PAUSE_MAX: Duration = Duration::from_secs(60);
/// Time for which an endpoint that the view does not list is remembered.
const UNLISTED_TTL: Duration = Duration::from_secs(60);

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
    /// The pause that it asks for; only an endpoint that turns a request away can.
    pub pause: Option<Pause>,
    /// Whether it leaves.
    pub leaves: bool,
}

/// What is known of one endpoint.
#[derive(Clone, Debug)]
struct Known {
    /// Start time of its incarnation in Unix milliseconds, 0 if it is not known.
    started_unix_ms: u64,
    /// End of the pause.
    until: Instant,
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
    /// Whether an endpoint neither pauses nor leaves.
    pub(super) fn admits(&self, id: &Name, now: Instant) -> bool {
        self.known.get(id).is_none_or(|known| !known.leaves && now >= known.until)
    }

    /// Records what a response of an endpoint stated; `started_unix_ms` is the start time of its
    /// incarnation, 0 if it is not known.
    fn observe(&mut self, now: Instant, id: &Name, started_unix_ms: u64, statement: Statement) {
        let known = self.known.entry(id.clone()).or_insert_with(|| Known {
            started_unix_ms,
            until: Instant::default(),
            leaves: false,
            unlisted_since: None,
        });
        if let Some(pause) = statement.pause {
            known.until = known.until.max(now + pause.length);
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
    /// Whether an endpoint neither pauses nor leaves, as far as it has told this daemon.
    pub fn admits(&self, endpoint: &Name, now: Instant) -> bool {
        self.targets.pauses.admits(endpoint, now)
    }

    /// Records and logs what the head of a response states about its endpoint.
    pub(super) fn record_statement(
        &mut self,
        now: Instant,
        endpoint: &Name,
        statement: Statement,
        effects: &mut Vec<Effect>,
    ) {
        if statement == Statement::default() {
            return;
        }
        let started_unix_ms = self.targets.started_unix_ms(endpoint);
        let was_admitted = self.targets.pauses.admits(endpoint, now);
        self.targets.pauses.observe(now, endpoint, started_unix_ms, statement);
        let detail = format!("pause={:?} admitted={was_admitted}", statement.pause);
        if statement.pause.is_some() {
            let event =
                journal::Event::new(133, "endpoint asks for a pause", &**endpoint, &*detail);
            effects.push(Effect::Log(event));
        }
        if statement.leaves && was_admitted {
            effects.push(Effect::Log(journal::Event::new(
                134,
                "endpoint leaves",
                &**endpoint,
                detail,
            )));
        }
    }
}
