//! What a daemon does about its events.

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
    /// Outcome of a change or of a question to a log.
    Outcome(Outcome),
    /// Body of a change that is not well formed, with all findings.
    Invalid(Vec<String>),
    /// Objects that were asked for.
    Objects {
        /// Revision that they are of.
        revision: u64,
        /// The objects.
        objects: Vec<Object>,
    },
    /// How the system stands.
    Status(Box<Status>),
    /// No leader could be reached in time; the change may or may not come into force.
    Unreachable,
}

/// An effect for the shell to carry out, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send to another daemon.
    Send {
        /// Name of the daemon.
        to: Name,
        /// What to send.
        body: Body,
    },
    /// Close the link to a silent daemon, so that it is built anew.
    Unlink(Name),
    /// Write and sync, then report the sequence number.
    Persist {
        /// Name of the log.
        log: Name,
        /// Sequence number.
        sequence: u64,
        /// What to write.
        write: Write,
    },
    /// Tell the task of a request what to do.
    Decide {
        /// Number of the request.
        request: u64,
        /// Request id.
        name: Name,
        /// What to do.
        decision: Decision,
    },
    /// The answer of a request may be forwarded until this moment, unless it is extended again.
    Extend {
        /// Number of the request.
        request: u64,
        /// End of the permission.
        until: Instant,
    },
    /// A request has its final answer; nothing more is said about it.
    Close {
        /// Number of the request.
        request: u64,
    },
    /// Stop forwarding the answer of a request at once.
    Abort {
        /// Number of the request.
        request: u64,
    },
    /// Give an order to an endpoint.
    Order(AddressedOrder),
    /// Answer an operator.
    Answer {
        /// Number of the question.
        ticket: u64,
        /// The answer.
        answer: Answer,
    },
    /// Count.
    Count(Counter),
    /// Write a line to the log.
    Log(journal::Event),
    /// The graceful shutdown is complete.
    Stopped,
}

/// Effects in the order in which they are to be carried out.
pub type Effects = Vec<Effect>;
