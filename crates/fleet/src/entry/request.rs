//! Requests, the attempts to serve them, and their outcomes.

use std::sync::Arc;
use std::time::Duration;

use dotterelhoist_core::clock::Instant;
use smallvec::SmallVec;
use strum::{Display, EnumIter};

use crate::crash::Feature;
use crate::document::Route;
use crate::Name;

/// A request as the reducer needs it; its bytes stay with the shell.
#[derive(Clone, Debug)]
pub struct Request {
    /// Number that is unique within this process of the daemon.
    pub id: u64,
    /// Id that the caller assigned; a retry by the caller has another one.
    pub request_id: Name,
    /// Host that it is addressed to, in lower case, without the port.
    pub host: Name,
    /// Path without the query.
    pub path: Name,
    /// Key of its caller; none if it carries no key.
    pub key: Option<Name>,
    /// Model that it asks for, empty if it names none.
    pub model: Name,
    /// Number of prompt tokens, 0 if unknown.
    pub prompt_tokens: u32,
    /// Number of tokens that it is expected to generate, 0 if unknown.
    pub expected_output_tokens: u32,
    /// Hash of the content; equal for requests that ask for the same work.
    pub fingerprint: u64,
    /// Hashes of the segments of its prompt that other requests may share.
    pub segments: SmallVec<[u64; 4]>,
    /// Time at which its caller stops waiting.
    pub deadline: Instant,
    /// Whether another entry daemon relays it to this one, because it reaches no endpoint.
    pub relayed: bool,
    /// Version of the document by which the relaying daemon has resolved it; none if it has stated none, as one of
    /// an older build.
    pub resolved_by: Option<u64>,
}

impl Request {
    /// What it may have in common with other requests: its content and the segments of its prompt.
    pub fn features(&self) -> impl Iterator<Item = Feature> + '_ {
        std::iter::once(&self.fingerprint).chain(&self.segments).map(|hash| Feature(*hash))
    }
}

/// One attempt to have an endpoint serve a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Attempt {
    /// Identity of the endpoint, or name of the relay.
    pub target: Name,
    /// IP address and port of the endpoint or the relay.
    pub address: Name,
    /// Whether it goes to another entry daemon, which sends the request to an endpoint.
    pub relay: bool,
    /// Route that the request matched.
    pub route: Arc<Route>,
    /// Workspace of the caller; none if the document defines no workspaces, or the route is public
    /// and the key belongs to none.
    pub workspace: Option<Name>,
    /// Time by which the response must be complete; the attempt is then ended as timed out.
    pub deadline: Instant,
    /// Number of this attempt, from 1; attempts that could not connect are not counted.
    pub number: u32,
    /// Version of the document by which the route was found.
    pub resolved_by: u64,
}

/// What the shell's task that serves a request does next.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Send it to an endpoint.
    Send(Attempt),
    /// Send it to a second endpoint while the current attempt goes on. Whichever response arrives
    /// first is forwarded, and the other attempt is dropped.
    Hedge(Attempt),
    /// Refuse it; this is its final response.
    Refuse(Refusal),
    /// Forward the endpoint's error response, which the task holds, as the final response.
    ForwardFailure,
}

/// A final response that the entry daemon generates instead of forwarding one from an endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct Refusal {
    /// Why the request is refused.
    pub reason: Reason,
    /// Time after which the caller may retry; none if a retry is pointless or may repeat work.
    pub retry_after: Option<Duration>,
}

/// Why the daemon refuses a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display, EnumIter)]
#[strum(serialize_all = "snake_case")]
pub enum Reason {
    /// The daemon has no confirmed configuration yet.
    Starting,
    /// A newer configuration is in force, and this daemon has not received it: the older one does
    /// not allow the request, or is too old to be used at all.
    Outdated,
    /// The daemon is about to stop.
    Stopping,
    /// No route matches the host and path.
    NoRoute,
    /// The request has no key, or an unknown one.
    Unauthorized,
    /// The request is not valid HTTP.
    Malformed,
    /// The request head is longer than the limit.
    HeadTooLong,
    /// The request body is longer than the limit.
    BodyTooLong,
    /// The request bodies that the daemon holds leave no memory for this one.
    NoMemory,
    /// No endpoint serves the service and model of the request, or none could be reached.
    NoEndpoint,
    /// All endpoints are full, and so is the queue.
    QueueFull,
    /// The limits of all endpoints bar the request for longer than it can wait.
    Limited,
    /// All endpoints pause for longer than the request can wait.
    Paused,
    /// No endpoint had a free slot within the queue timeout.
    TooLate,
    /// Endpoints declined to run it, and no further attempt is allowed or possible.
    Declined,
    /// Requests with the same content, or with the same segment of their prompts, have repeatedly
    /// crashed endpoints.
    Crashing,
    /// Its response was lost; it may have run.
    Lost,
    /// The deadline passed during an attempt; it may have run.
    TimedOut,
}

impl Reason {
    /// HTTP status of the response. 408, 421, 429 and 503 guarantee that the request has not run
    /// and will not run.
    pub fn status(self) -> u16 {
        match self {
            Reason::Starting | Reason::Outdated | Reason::Stopping | Reason::NoEndpoint => 503,
            Reason::Declined | Reason::Crashing | Reason::Paused | Reason::NoMemory => 503,
            Reason::QueueFull | Reason::Limited | Reason::TooLate => 429,
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
    /// The response was received completely and forwarded to the caller.
    Answered,
    /// The endpoint ran the request and responded with an error, which the task holds.
    Failed {
        /// HTTP status.
        status: u16,
    },
    /// No connection to the endpoint or relay could be established, so nothing was sent.
    Unreachable,
    /// The endpoint has asked for a pause, or stated that it leaves, since it was chosen, so nothing
    /// was sent.
    Withheld,
    /// The endpoint responded that it did not run the request.
    Declined {
        /// HTTP status.
        status: u16,
    },
    /// The response broke off or was invalid; another attempt can start or continue the response to
    /// the caller.
    Lost(Loss),
    /// A second attempt was dropped, because the current one made progress.
    Dropped,
    /// The deadline passed before the response was complete.
    TimedOut {
        /// Whether a part of the response had been sent to the caller.
        begun: bool,
    },
}

/// Why the response of an endpoint can't be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Loss {
    /// The connection was closed before the response began.
    NoResponse,
    /// The connection was reset or has failed otherwise.
    Failed,
    /// The connection was closed inside the head.
    CutInHead,
    /// The connection was closed before the end of the body that its framing states.
    CutInBody,
    /// The response is not valid HTTP.
    Malformed,
    /// The head is longer than the limit.
    HeadTooLong,
    /// The interim responses before it are longer than the limit.
    InterimTooLong,
    /// The body is longer than the limit.
    BodyTooLong,
    /// The bodies that the daemon holds leave no memory for this one.
    NoMemory,
    /// The trailer fields are longer than the limit.
    TrailerTooLong,
    /// The chunk sizes and extensions are longer than the limit.
    ChunksTooLong,
    /// The body of a stream ended inside an event.
    CutInEvent,
    /// An event of a stream is longer than the limit.
    EventTooLong,
    /// A stream sends events that the caller has, and no other ones.
    Repeated,
    /// The response names another request or none.
    WrongRequest,
    /// A refusal names no request, and may be one of another request while this one runs.
    UnclearRefusal,
    /// The response has no signature.
    Unsigned,
    /// The body has a content encoding.
    Encoded,
    /// The response to the caller has begun as a stream, and this one is none.
    NotContinued,
}

impl Loss {
    /// Whether the endpoint is the cause, rather than the daemon itself.
    pub fn is_of_endpoint(self) -> bool {
        self != Loss::NoMemory
    }
}
