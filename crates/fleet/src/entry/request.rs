//! Requests and what becomes of them.

use std::sync::Arc;
use std::time::Duration;

use dotterelhoist_core::clock::Instant;
use strum::{Display, EnumIter};

use crate::document::Route;
use crate::Name;

/// A request as the reducer sees it; its bytes stay with the shell.
#[derive(Clone, Debug)]
pub struct Request {
    /// Number that is unique within this run of the daemon.
    pub id: u64,
    /// Id that the caller gave it.
    pub request_id: Name,
    /// Host that it addresses, in lower case without port.
    pub host: Name,
    /// Path without query.
    pub path: Name,
    /// Key of its caller.
    pub key: Option<Name>,
    /// Model that it asks for, empty if none.
    pub model: Name,
    /// Prompt tokens, 0 if unknown.
    pub prompt_tokens: u32,
    /// Tokens that it is likely to generate, 0 if unknown.
    pub expected_output_tokens: u32,
    /// Hash of all that makes two requests the same work.
    pub fingerprint: u64,
    /// Moment at which its caller stops waiting.
    pub deadline: Instant,
}

/// One send to one endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct Attempt {
    /// Identity of the endpoint.
    pub target: Name,
    /// IP address and port of the endpoint.
    pub address: Name,
    /// Route that was chosen.
    pub route: Arc<Route>,
    /// Workspace of the caller; none if the document has no workspaces or the route needs no key.
    pub workspace: Option<Name>,
    /// Moment at which the answer is to be complete.
    pub deadline: Instant,
    /// Number of this attempt, from 1.
    pub number: u32,
}

/// What the task of a request is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Send it to an endpoint.
    Send(Attempt),
    /// Give a final answer without an endpoint.
    Refuse(Refusal),
    /// Pass on the failure that the endpoint answered with.
    ForwardFailure,
}

/// A final answer of the daemon itself.
#[derive(Clone, Debug, PartialEq)]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// When the caller may come back.
    pub retry_after: Option<Duration>,
}

/// Why a request gets a final answer of the daemon itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display, EnumIter)]
#[strum(serialize_all = "snake_case")]
pub enum Reason {
    /// The daemon does not know the configuration yet.
    Starting,
    /// The daemon is about to stop.
    Stopping,
    /// No route matches.
    NoRoute,
    /// The key is unknown.
    Unauthorized,
    /// The request is not well formed.
    Malformed,
    /// The head is too long.
    HeadTooLong,
    /// The body is too long.
    BodyTooLong,
    /// No endpoint takes requests of this kind.
    NoEndpoint,
    /// The queue is full.
    QueueFull,
    /// It waited too long to be answered in time.
    TooLate,
    /// Endpoints said that they did not run it, and no other may be asked.
    Declined,
    /// It crashes endpoints.
    Crashing,
    /// It may have run, and its answer is lost.
    Lost,
    /// The time of its route is over; it may have run.
    TimedOut,
}

impl Reason {
    /// HTTP status of the answer. 408, 421, 429 and 503 promise that nothing has run or will.
    pub fn status(self) -> u16 {
        match self {
            Reason::Starting | Reason::Stopping | Reason::NoEndpoint => 503,
            Reason::Declined | Reason::Crashing => 503,
            Reason::QueueFull | Reason::TooLate => 429,
            Reason::NoRoute => 404,
            Reason::Unauthorized => 401,
            Reason::Malformed => 400,
            Reason::HeadTooLong => 431,
            Reason::BodyTooLong => 413,
            Reason::Lost => 502,
            Reason::TimedOut => 504,
        }
    }
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq)]
pub enum End {
    /// The answer came whole and was passed on.
    Answered,
    /// The endpoint answered with a failure of its own, which the task holds.
    Failed {
        /// HTTP status.
        status: u16,
    },
    /// Nothing was sent: the endpoint could not be reached.
    Unreachable,
    /// The endpoint said that it did not run the request.
    Declined {
        /// HTTP status.
        status: u16,
    },
    /// The answer broke off or made no sense.
    Lost {
        /// Whether the answer can still be continued or begun anew.
        open: bool,
        /// Whether the connection broke, as it does when the endpoint ends.
        broken: bool,
    },
    /// The time is over.
    TimedOut {
        /// Whether any part of the answer had reached the caller.
        begun: bool,
    },
}
