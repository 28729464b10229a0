//! Requests from callers, the attempts to run them and their possible outcomes.

use std::time::Duration;

use smallvec::SmallVec;
use strum::{Display, EnumIter, EnumString};

use crate::clock::Instant;
use crate::control::command::{Run, RunResult};
use crate::Name;

/// Kind of call that a request makes.
#[derive(Clone, Debug, PartialEq)]
pub enum Call {
    /// Generation by a model; may be retried as long as no part of an answer has reached the
    /// caller.
    Model,
    /// Call of a plain service.
    Plain {
        /// Whether the HTTP method is safe (`GET`, `HEAD`, `OPTIONS`), which makes the call
        /// idempotent.
        safe: bool,
        /// Path relative to the service.
        path: Name,
    },
}

/// A request as it is passed to the reducer, after its body has been read completely.
#[derive(Clone, Debug)]
pub struct Request {
    /// Number assigned by the daemon's I/O layer, unique until the daemon restarts. The *request
    /// id* that endpoints and callers get is made of the daemon, its incarnation and this number.
    pub id: u64,
    /// SHA-256 of the bearer token, hexadecimal.
    pub key_sha256: Name,
    /// Name of the service that is called.
    pub service: Name,
    /// Kind of call.
    pub call: Call,
    /// Idempotency key of the caller.
    pub idempotency_key: Option<Name>,
    /// Hash of service, method, path and body. Detects reuse of an idempotency key, and identifies
    /// requests with the same content when one is suspected of crashing endpoints.
    pub digest: u64,
    /// Timeout that the caller sets; the service's `deadline-ms` is the upper limit.
    pub timeout: Option<Duration>,
    /// Priority that the caller asks for, 0 is the most urgent; limited by the workspace's
    /// `priority`.
    pub priority: u8,
    /// Expected work for fair queueing: maximum number of answer tokens, 1 for a plain service.
    pub cost: f64,
    /// Hashes of the prompt's prefixes, shortest first.
    pub prefixes: SmallVec<[u64; 8]>,
    /// Time of arrival in seconds since the Unix epoch.
    pub received: u64,
}

/// Why a request is not answered by an endpoint. The set is fixed and documented in
/// `docs/OPERATIONS.md`.
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
    /// The request is malformed.
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
    /// The daemon has not yet received the current configuration.
    Starting,
    /// The daemon is stopping.
    Stopping,
    /// The workspace exceeds its limit of requests per second.
    RateLimited,
    /// The workspace has too many requests waiting.
    QueueFull,
    /// The daemon has too many requests waiting.
    Overloaded,
    /// The answer can't be complete before the deadline.
    TooLate,
    /// No endpoint can serve the request.
    NoEndpoint,
    /// The claim log has no reachable leader, so a non-idempotent request can't be claimed or its
    /// end can't be recorded.
    ClaimsUnreachable,
    /// The idempotency key was used for another request.
    KeyReused,
    /// A request with the same idempotency key is still in progress.
    InProgress,
    /// Too many endpoints died while they ran a request with this content.
    Crashes,
    /// An endpoint died while it ran a request with this content, and permission for a trial run
    /// was not obtained in time.
    Suspected,
    /// The endpoint failed, or its answer was truncated.
    Broken,
    /// The serving group lost a member while it produced the answer.
    GroupLost,
    /// The deadline passed before the answer was complete.
    DeadlineExceeded,
    /// The caller closed the connection.
    CallerGone,
}

impl Reason {
    /// HTTP status sent to the caller for this reason.
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

    /// One-sentence explanation sent to the caller.
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
    /// Why the request was refused.
    pub reason: Reason,
    /// Whether the request ran; if it has an idempotency key, whether any request with that key
    /// ran.
    pub run: Run,
    /// Delay after which a retry may succeed, if any.
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
    /// Request id, sent to the endpoint and returned to the caller.
    pub request: Name,
    /// Time by which the answer must be complete.
    pub deadline: Instant,
    /// End of the permission to forward the answer; forwarding stops then unless the reducer
    /// extends it.
    pub forward_until: Instant,
    /// Generation of the group; the endpoint declines the request if its own generation differs.
    pub generation: u64,
    /// Priority passed on to the engine.
    pub priority: u8,
    /// Whether the answer is buffered until [`Decision::Deliver`] instead of being forwarded.
    pub buffered: bool,
}

/// Instruction from the reducer to the task that handles a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Send the request to an endpoint.
    Dispatch(Dispatch),
    /// Send the caller this refusal as the final answer.
    Refuse(Refusal),
    /// Send the caller the answer that is recorded for the idempotency key.
    Replay(RunResult),
    /// Send the caller the buffered answer.
    Deliver,
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq)]
pub enum End {
    /// The endpoint could not be reached, so nothing was sent.
    NotSent,
    /// The endpoint reported that it did not start the request.
    Declined,
    /// The answer was received completely.
    Answered {
        /// HTTP status.
        status: u16,
        /// Content type of a buffered answer, else empty.
        content_type: String,
        /// Body of a buffered answer, else empty; also empty if it is too large to be recorded.
        body: Vec<u8>,
        /// Tokens that reached the caller.
        tokens: u64,
    },
    /// The connection failed, or the answer was truncated or malformed.
    Lost {
        /// Tokens that had reached the caller.
        tokens: u64,
        /// Whether any part of the answer had reached the caller.
        forwarded: bool,
        /// Whether the connection broke in the way it does when the endpoint dies.
        crashed: bool,
    },
    /// The deadline passed.
    TimedOut {
        /// Tokens that had reached the caller.
        tokens: u64,
    },
    /// The caller closed the connection.
    CallerGone {
        /// Tokens that had reached the caller.
        tokens: u64,
    },
}
