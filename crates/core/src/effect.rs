//! Effects that the reducer requests and that the daemon's I/O layer carries out.

use crate::clock::Instant;
use crate::control::command::Outcome;
use crate::control::configuration::Object;
use crate::count::Counter;
use crate::journal;
use crate::message::Body;
use crate::placement::AddressedOrder;
use crate::replica::Write;
use crate::request::Decision;
use crate::status::Status;
use crate::Name;

/// Answer to an operator.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// Outcome of a command that was proposed to a log.
    Outcome(Outcome),
    /// The change is invalid; carries all findings.
    Invalid(Vec<String>),
    /// The requested objects.
    Objects {
        /// Configuration revision at which they were read.
        revision: u64,
        /// The objects.
        objects: Vec<Object>,
    },
    /// Status of the system as this daemon sees it.
    Status(Box<Status>),
    /// No leader of the log answered in time, or the settings name no such log. A change may still
    /// take effect.
    Unreachable,
}

/// An effect for the daemon's I/O layer. Effects are carried out in the order of the list.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send a message to another daemon.
    Send {
        /// Name of the daemon.
        to: Name,
        /// The message.
        body: Body,
    },
    /// Close the link to a daemon that has been silent for too long, so that it is opened again.
    CloseLink(Name),
    /// Write to the files of a log and sync them, then report
    /// [`Event::Synced`](crate::event::Event::Synced) with the sequence number.
    Persist {
        /// Name of the log.
        log: Name,
        /// Sequence number of the write.
        sequence: u64,
        /// What to write.
        write: Write,
    },
    /// Pass a decision to the task that handles a request.
    Decide {
        /// Number of the request.
        request: u64,
        /// Request id, as sent to the endpoint and the caller.
        request_id: Name,
        /// The decision.
        decision: Decision,
    },
    /// Extend the permission to forward the answer of a request. The task stops forwarding when the
    /// permission expires.
    ExtendPermission {
        /// Number of the request.
        request: u64,
        /// Moment at which the permission expires.
        until: Instant,
    },
    /// Drop what the I/O layer keeps for a request that has its final answer; no later effect
    /// refers to it.
    CloseRequest {
        /// Number of the request.
        request: u64,
    },
    /// Stop forwarding the answer of a request at once, because its group is broken or has another
    /// generation than when the attempt started.
    AbortAnswer {
        /// Number of the request.
        request: u64,
    },
    /// Send an order to an endpoint.
    SendOrder(AddressedOrder),
    /// Answer an operation of an operator.
    Answer {
        /// Ticket of the [`Event::OperationRequested`](crate::event::Event::OperationRequested).
        ticket: u64,
        /// The answer.
        answer: Answer,
    },
    /// Increment a counter.
    Count(Counter),
    /// Write an event to the daemon's log.
    Log(journal::Event),
    /// The graceful shutdown is complete.
    Stopped,
}

/// Effects in the order in which they are to be carried out.
pub type Effects = Vec<Effect>;
