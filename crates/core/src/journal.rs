//! Numbered log events. The catalogue for operators is `docs/log-events.md`.

use displaydoc::Display;
use serde::Serialize;

use crate::request::Reason;
use crate::Name;

/// Severity of an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Level {
    /// Needs somebody's attention.
    Error,
    /// Something failed and is being handled.
    Warn,
    /// A change of state.
    Info,
    /// For tracing single requests.
    Debug,
}

/// An event worth a line in the log.
#[derive(Clone, Debug, Display, PartialEq, Serialize)]
#[serde(tag = "event", rename_all = "kebab-case")]
pub enum Event {
    /// daemon {daemon} started as incarnation {incarnation}
    Started {
        /// Name of the daemon.
        daemon: Name,
        /// Its incarnation.
        incarnation: u64,
    },
    /// caught up with the configuration at revision {revision}; answering callers
    Ready {
        /// Revision in force.
        revision: u64,
    },
    /// configuration revision {revision} is in force
    Revision {
        /// Revision in force.
        revision: u64,
    },
    /// graceful shutdown began with {running} requests in flight
    Stopping {
        /// Requests in flight.
        running: usize,
    },
    /// all requests have ended; stopping
    Stopped,
    /// usage line of request {request} was not acknowledged: workspace {workspace}, service {service}, {tokens} tokens, told {told}
    Unrecorded {
        /// Request id.
        request: Name,
        /// Workspace that is billed.
        workspace: Name,
        /// Service that was called.
        service: Name,
        /// Tokens that reached the caller.
        tokens: u64,
        /// Reason told to the caller, `served` for a whole answer.
        told: Name,
    },
    /// link to {peer} is up
    LinkUp {
        /// Name of the other daemon.
        peer: Name,
    },
    /// link to {peer} is down
    LinkDown {
        /// Name of the other daemon.
        peer: Name,
    },
    /// log {log}: this replica leads term {term}
    Leading {
        /// Name of the log.
        log: Name,
        /// Term.
        term: u64,
    },
    /// log {log}: this replica no longer leads
    Deposed {
        /// Name of the log.
        log: Name,
    },
    /// log {log}: voters are now {voters}
    Voters {
        /// Name of the log.
        log: Name,
        /// Voter list.
        voters: String,
    },
    /// log {log}: entry {index} can't be decoded and was passed over
    BadEntry {
        /// Name of the log.
        log: Name,
        /// Index of the entry.
        index: u64,
    },
    /// group {group}: {action} was chosen
    Repair {
        /// Group instance.
        group: Name,
        /// Repair that was chosen.
        action: crate::repair::Action,
    },
    /// ordered {vm} into group `{group}` generation {generation}
    Ordered {
        /// VM.
        vm: Name,
        /// Group instance, empty to leave.
        group: Name,
        /// Generation.
        generation: u64,
    },
    /// request {request} refused: {reason}
    Refused {
        /// Request id.
        request: Name,
        /// Why.
        reason: Reason,
    },
    /// request {request} lost on {vm} at attempt {attempt}
    Lost {
        /// Request id.
        request: Name,
        /// VM that ran it.
        vm: Name,
        /// Number of the attempt.
        attempt: u32,
    },
    /// route {route} ejected
    Ejected {
        /// Group instance or plain endpoint.
        route: Name,
    },
    /// claim of request {request} closed as unknown: its holder did not settle it
    ClaimClosed {
        /// Request id.
        request: Name,
    },
}

impl Event {
    /// Number in the catalogue.
    pub fn code(&self) -> u16 {
        match self {
            Event::Started { .. } => 100,
            Event::Ready { .. } => 101,
            Event::Revision { .. } => 102,
            Event::Stopping { .. } => 103,
            Event::Stopped => 104,
            Event::Unrecorded { .. } => 105,
            Event::LinkUp { .. } => 200,
            Event::LinkDown { .. } => 201,
            Event::Leading { .. } => 300,
            Event::Deposed { .. } => 301,
            Event::Voters { .. } => 302,
            Event::BadEntry { .. } => 303,
            Event::Repair { .. } => 400,
            Event::Ordered { .. } => 401,
            Event::Refused { .. } => 500,
            Event::Lost { .. } => 501,
            Event::Ejected { .. } => 502,
            Event::ClaimClosed { .. } => 503,
        }
    }

    /// Severity.
    pub fn level(&self) -> Level {
        match self {
            Event::BadEntry { .. } => Level::Error,
            Event::LinkDown { .. }
            | Event::Deposed { .. }
            | Event::Lost { .. }
            | Event::Ejected { .. }
            | Event::ClaimClosed { .. } => Level::Warn,
            Event::Refused { .. } | Event::Ordered { .. } => Level::Debug,
            _ => Level::Info,
        }
    }
}
