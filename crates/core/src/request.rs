//! Requests of callers and what becomes of them.

use std::time::Duration;

use smallvec::SmallVec;
use strum::{Display, EnumIter, EnumString};

use crate::clock::Instant;
use crate::control::command::{Run, RunResult};
use crate::Name;

/// What kind of call a request is.
#[derive(Clone, Debug, PartialEq)]
pub enum Call {
    /// Generation by a model; may be repeated as long as nothing has reached the caller.
    Model,
    /// Call of a plain service.
    Plain {
        /// Whether the method alone makes the call idempotent.
        safe: bool,
        /// Path below the service.
        path: Name,
    },
}

/// A request as it arrives in the reducer, with its body already read whole.
#[derive(Clone, Debug)]
pub struct Request {
    /// Number given by the shell, unique within this run of the daemon.
    pub id: u64,
    /// SHA-256 of the bearer token, hexadecimal.
    pub key_sha256: Name,
    /// Service that is called.
    pub service: Name,
    /// Kind of call.
    pub call: Call,
    /// Idempotency key of the caller.
    pub idempotency_key: Option<Name>,
    /// Hash of service, method, path and body.
    pub digest: u64,
    /// Time that the caller gives; the service's own deadline bounds it.
    pub timeout: Option<Duration>,
    /// Priority that the caller asks for.
    pub priority: u8,
    /// Tokens that the answer may have, or 1.
    pub cost: f64,
    /// Hashes of the prompt's prefixes, shortest first.
    pub prefixes: SmallVec<[u64; 8]>,
    /// Seconds since the Unix epoch.
    pub received: u64,
}

/// Why a request gets no answer from an endpoint. The set is closed; see `docs/OPERATIONS.md`.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    Display,
    EnumString,
    EnumIter,
    serde::Serialize,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// The request is not well formed.
    BadRequest,
    /// The head or the body is too large.
    TooLarge,
    /// The bearer token belongs to no workspace.
    Unauthorized,
    /// The workspace may not call the service.
    Forbidden,
    /// There is no such service.
    UnknownService,
    /// There is no such path.
    UnknownPath,
    /// The daemon has not caught up with the configuration yet.
    Starting,
    /// The daemon is stopping.
    Stopping,
    /// The workspace is over its rate.
    RateLimited,
    /// The workspace has too many requests waiting.
    QueueFull,
    /// The daemon has too many requests waiting.
    Overloaded,
    /// The answer can't be whole before the deadline.
    TooLate,
    /// No endpoint can serve.
    NoEndpoint,
    /// Claims can't be made because the claim log has no leader.
    ClaimsUnreachable,
    /// The idempotency key was used for another request.
    KeyReused,
    /// A request with the same idempotency key has not ended.
    InProgress,
    /// The request was running on too many endpoints that died.
    Crashes,
    /// The request was running on an endpoint that died, and is being tried elsewhere.
    Suspected,
    /// The endpoint failed, or its answer was cut off.
    Broken,
    /// A member of the serving group went missing during the answer.
    GroupLost,
    /// The deadline came before the answer was whole.
    DeadlineExceeded,
    /// The caller went away.
    CallerGone,
}

impl Reason {
    /// HTTP status that tells of this reason.
    pub fn status(self) -> u16 {
        match self {
            Reason::BadRequest => 400,
            Reason::TooLarge => 413,
            Reason::Unauthorized => 401,
            Reason::Forbidden => 403,
            Reason::UnknownService | Reason::UnknownPath => 404,
            Reason::RateLimited | Reason::QueueFull => 429,
            Reason::InProgress => 409,
            Reason::KeyReused | Reason::Crashes => 422,
            Reason::Broken | Reason::GroupLost => 502,
            Reason::DeadlineExceeded => 504,
            Reason::CallerGone => 499,
            Reason::Starting
            | Reason::Stopping
            | Reason::Overloaded
            | Reason::TooLate
            | Reason::NoEndpoint
            | Reason::ClaimsUnreachable
            | Reason::Suspected => 503,
        }
    }

    /// One sentence for the caller.
    pub fn detail(self) -> &'static str {
        match self {
            Reason::BadRequest => "The request is not well formed.",
            Reason::TooLarge => "The request is too large.",
            Reason::Unauthorized => "The bearer token belongs to no workspace.",
            Reason::Forbidden => "The workspace may not call this service.",
            Reason::UnknownService => "There is no such service.",
            Reason::UnknownPath => "There is no such path.",
            Reason::Starting => "This daemon has not caught up with the configuration yet.",
            Reason::Stopping => "This daemon is stopping.",
            Reason::RateLimited => "The workspace is over its rate of requests.",
            Reason::QueueFull => "The workspace has too many requests waiting.",
            Reason::Overloaded => "Too many requests are waiting.",
            Reason::TooLate => "The answer can't be whole before the deadline.",
            Reason::NoEndpoint => "No endpoint can serve this request at the moment.",
            Reason::ClaimsUnreachable => {
                "Non-idempotent requests can't be claimed at the moment; nothing was sent."
            }
            Reason::KeyReused => "The idempotency key was used for another request.",
            Reason::InProgress => "A request with this idempotency key has not ended.",
            Reason::Crashes => "Endpoints died while they ran this request.",
            Reason::Suspected => {
                "An endpoint died while it ran this request; it is being tried elsewhere."
            }
            Reason::Broken => "The endpoint failed before its answer was whole.",
            Reason::GroupLost => "A member of the serving group went missing.",
            Reason::DeadlineExceeded => "The deadline came before the answer was whole.",
            Reason::CallerGone => "The caller went away.",
        }
    }
}

/// A final answer that does not come from an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// What is known of the work behind the request's key, or the request if it has no key.
    pub run: Run,
    /// When to come back, if that helps.
    pub retry_after: Option<Duration>,
}

/// One attempt to run a request on an endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct Dispatch {
    /// Number of the attempt, from 1.
    pub attempt: u32,
    /// IP address and port of the endpoint.
    pub address: Name,
    /// VM of the endpoint.
    pub vm: Name,
    /// Request id that is sent along and told to the caller.
    pub request: Name,
    /// Moment by which the answer must be whole.
    pub deadline: Instant,
    /// Moment until which the answer may be forwarded, unless the permission is extended.
    pub forward_until: Instant,
    /// Generation of the group, which the endpoint holds against its own.
    pub generation: u64,
    /// Priority for the engine.
    pub priority: u8,
    /// Whether the answer is held until [`Decision::Deliver`].
    pub buffered: bool,
}

/// What the task of a request is told to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Send it to an endpoint.
    Dispatch(Dispatch),
    /// Give the caller this final answer.
    Refuse(Refusal),
    /// Give the caller the answer that is recorded for the key.
    Replay(RunResult),
    /// Give the caller the held answer.
    Deliver,
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq)]
pub enum End {
    /// Nothing was sent: the endpoint could not be reached.
    NotSent,
    /// The endpoint said that it did not start the request.
    Declined,
    /// The answer came whole.
    Answered {
        /// HTTP status.
        status: u16,
        /// Content type.
        content_type: String,
        /// The answer if it is held, else empty.
        body: Vec<u8>,
        /// Tokens that reached the caller.
        tokens: u64,
    },
    /// The connection ended, or the answer was cut off or malformed.
    Lost {
        /// Tokens that had reached the caller.
        tokens: u64,
        /// Whether any part of the answer had reached the caller.
        forwarded: bool,
        /// Whether the connection broke, as it does when the endpoint dies.
        crashed: bool,
    },
    /// The deadline came.
    TimedOut {
        /// Tokens that had reached the caller.
        tokens: u64,
    },
    /// The caller went away.
    CallerGone {
        /// Tokens that had reached the caller.
        tokens: u64,
    },
}
