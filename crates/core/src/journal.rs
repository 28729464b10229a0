//! Numbered log events of a daemon. The catalogue for operators is `docs/log-events.md`.

use displaydoc::Display;
use serde::Serialize;

use crate::request::Reason;
use crate::Name;

/// Severity of an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Level {
    /// A failure that an operator must look into.
    Error,
    /// A failure that the system handles by itself.
    Warn,
    /// A change of state.
    Info,
    /// Details for tracing single requests and orders.
    Debug,
}

/// An event that is written to the log; the documentation of a variant is its message.
#[derive(Clone, Debug, Display, PartialEq, Serialize)]
#[serde(tag = "event", rename_all = "kebab-case")]
pub enum Event {
    /// daemon {daemon} started as incarnation {incarnation}
    Started {
        /// Name of the daemon.
        daemon: Name,
        /// Incarnation of the daemon, which increases with each start.
        incarnation: u64,
    },
    /// answering callers with configuration revision {revision}
    Ready {
        /// Revision in force.
        revision: u64,
    },
    /// configuration revision {revision} is in force
    Revision {
        /// Revision in force.
        revision: u64,
    },
    /// graceful shutdown started with {running} requests in flight; new requests are refused
    Stopping {
        /// Requests in flight.
        running: usize,
    },
    /// no requests are in flight; stopped
    Stopped,
    /// usage line of request {request} was not acknowledged before the daemon stopped: workspace {workspace}, service {service}, {tokens} tokens, result {told}
    Unrecorded {
        /// Request id.
        request: Name,
        /// Workspace that is billed.
        workspace: Name,
        /// Service that was called.
        service: Name,
        /// Tokens that reached the caller.
        tokens: u64,
        /// Reason sent to the caller, `served` for a complete answer, `repeated` for a recorded
        /// one.
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
    /// log {log}: this replica leads in term {term}
    Leading {
        /// Name of the log.
        log: Name,
        /// Term.
        term: u64,
    },
    /// log {log}: this replica is no longer the leader
    Deposed {
        /// Name of the log.
        log: Name,
    },
    /// log {log}: the voters are now {voters}
    Voters {
        /// Name of the log.
        log: Name,
        /// Voters with their weights, as `replica:weight`.
        voters: String,
    },
    /// log {log}: the entry or snapshot at index {index} can't be decoded and was skipped
    BadEntry {
        /// Name of the log.
        log: Name,
        /// Index of the entry, or last index that the snapshot covers.
        index: u64,
    },
    /// group {group} has missing members; chosen repair: {action}
    Repair {
        /// Group instance.
        group: Name,
        /// Repair that was chosen.
        action: crate::repair::Action,
    },
    /// ordered {vm} to join group `{group}` at generation {generation} (an empty group means to leave)
    Ordered {
        /// VM.
        vm: Name,
        /// Group instance to join, empty to leave the current one.
        group: Name,
        /// Generation of the group.
        generation: u64,
    },
    /// request {request} refused: {reason}
    Refused {
        /// Request id.
        request: Name,
        /// Reason sent to the caller.
        reason: Reason,
    },
    /// request {request}: attempt {attempt} on {vm} ended without a complete answer
    Lost {
        /// Request id.
        request: Name,
        /// VM to which the attempt was sent.
        vm: Name,
        /// Number of the attempt.
        attempt: u32,
    },
    /// route {route} ejected after a failure; it receives no requests until the ejection ends
    Ejected {
        /// Name of the group instance, or VM of a plain endpoint.
        route: Name,
    },
    /// claim of request {request} closed with result unknown: its holder did not record a result in time
    ClaimClosed {
        /// Request id.
        request: Name,
    },
}

impl Event {
    /// Number of the event in the catalogue.
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

    /// Severity of the event.
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
