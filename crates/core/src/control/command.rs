//! Commands of the replicated logs and their outcomes.

use prost::{Message, Oneof};

/// A command with the body that says what it changes.
#[derive(Clone, PartialEq, Message)]
pub struct Command {
    /// What to change.
    #[prost(oneof = "Body", tags = "1, 2, 3, 4, 5, 6, 7, 8")]
    pub body: Option<Body>,
}

impl Command {
    /// Wraps a body.
    pub fn new(body: Body) -> Command {
        Command { body: Some(body) }
    }
}

/// The changes that a log can hold.
#[derive(Clone, PartialEq, Oneof)]
pub enum Body {
    /// Creates, replaces or deletes an object of the configuration.
    #[prost(message, tag = "1")]
    Change(Change),
    /// Claims a non-idempotent request.
    #[prost(message, tag = "2")]
    Claim(Claim),
    /// Records how a claimed request ended.
    #[prost(message, tag = "3")]
    Settle(Settle),
    /// Puts VMs into a serving group.
    #[prost(message, tag = "4")]
    Place(Place),
    /// Takes VMs out of a serving group.
    #[prost(message, tag = "5")]
    Release(Release),
    /// Adds usage lines.
    #[prost(message, tag = "6")]
    Bill(Bill),
    /// Records that an endpoint died while it ran a request.
    #[prost(message, tag = "7")]
    Crash(Crash),
    /// Reads a usage line in the order of the log.
    #[prost(message, tag = "8")]
    Explain(Explain),
}

/// A change of the configuration.
#[derive(Clone, PartialEq, Message)]
pub struct Change {
    /// Chosen by the operator's command; a resent change has the same one.
    #[prost(string, tag = "1")]
    pub operation: String,
    /// An [`object::Kind`](crate::object::Kind).
    #[prost(uint32, tag = "2")]
    pub kind: u32,
    /// Name of the object.
    #[prost(string, tag = "3")]
    pub name: String,
    /// Version that the object must have, 0 if it must not exist; none for any.
    #[prost(uint64, optional, tag = "4")]
    pub expected: Option<u64>,
    /// New body, none to delete the object.
    #[prost(string, optional, tag = "5")]
    pub body: Option<String>,
}

/// A claim on a non-idempotent request.
#[derive(Clone, PartialEq, Message)]
pub struct Claim {
    /// Workspace that sent the request.
    #[prost(string, tag = "1")]
    pub workspace: String,
    /// Idempotency key of the caller, or the request id if there is none.
    #[prost(string, tag = "2")]
    pub key: String,
    /// Hash of method, path and body.
    #[prost(fixed64, tag = "3")]
    pub digest: u64,
    /// Request id, unique over restarts.
    #[prost(string, tag = "4")]
    pub request: String,
    /// Milliseconds after which the holder no longer runs the request.
    #[prost(uint64, tag = "5")]
    pub permission_ms: u64,
}

/// How a claimed request ended.
#[derive(Clone, PartialEq, Message)]
pub struct Settle {
    /// Workspace of the claim.
    #[prost(string, tag = "1")]
    pub workspace: String,
    /// Key of the claim.
    #[prost(string, tag = "2")]
    pub key: String,
    /// Request that holds the claim.
    #[prost(string, tag = "3")]
    pub request: String,
    /// What is known.
    #[prost(message, optional, tag = "4")]
    pub result: Option<RunResult>,
}

/// What is known of a claimed request.
#[derive(Clone, PartialEq, Message, serde::Serialize, serde::Deserialize)]
pub struct RunResult {
    /// A [`Run`].
    #[prost(enumeration = "Run", tag = "1")]
    pub run: i32,
    /// HTTP status of the recorded answer, 0 if there is none.
    #[prost(uint32, tag = "2")]
    pub status: u32,
    /// Content type of the recorded answer.
    #[prost(string, tag = "3")]
    pub content_type: String,
    /// Body of the recorded answer.
    #[prost(bytes = "vec", tag = "4")]
    pub answer: Vec<u8>,
}

/// Whether a request ran.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    prost::Enumeration,
    strum::Display,
    strum::EnumString,
)]
#[strum(serialize_all = "kebab-case")]
#[repr(i32)]
pub enum Run {
    /// It ran and its answer is known.
    Done = 0,
    /// It provably did not run.
    NotRun = 1,
    /// It may have run.
    Unknown = 2,
}

/// Puts VMs into a serving group.
#[derive(Clone, PartialEq, Message)]
pub struct Place {
    /// Group instance, `serving-group/zone/number`.
    #[prost(string, tag = "1")]
    pub group: String,
    /// Generation that this replaces, 0 if the group must not exist.
    #[prost(uint64, tag = "2")]
    pub expected: u64,
    /// Model to load.
    #[prost(string, tag = "3")]
    pub model: String,
    /// VMs in rank order.
    #[prost(message, repeated, tag = "4")]
    pub members: Vec<Seat>,
}

/// A VM in a serving group.
#[derive(Clone, PartialEq, Eq, Message, serde::Serialize, serde::Deserialize)]
pub struct Seat {
    /// Name of the VM.
    #[prost(string, tag = "1")]
    pub vm: String,
    /// Incarnation of the endpoint that was chosen.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
}

/// Takes a group's VMs out of it.
#[derive(Clone, PartialEq, Message)]
pub struct Release {
    /// Group instance.
    #[prost(string, tag = "1")]
    pub group: String,
    /// Generation to release.
    #[prost(uint64, tag = "2")]
    pub generation: u64,
    /// Whether the VMs have confirmed that they are out, or have lost their permission.
    #[prost(bool, tag = "3")]
    pub confirmed: bool,
}

/// Usage lines of one daemon.
#[derive(Clone, PartialEq, Message)]
pub struct Bill {
    /// Daemon and its incarnation.
    #[prost(string, tag = "1")]
    pub daemon: String,
    /// Number of the batch, counted from 1 by that incarnation; a resent batch has the same one.
    #[prost(uint64, tag = "2")]
    pub batch: u64,
    /// Lines of the batch.
    #[prost(message, repeated, tag = "3")]
    pub lines: Vec<Line>,
}

/// What one request came to.
#[derive(Clone, PartialEq, Message, serde::Serialize, serde::Deserialize)]
pub struct Line {
    /// Request id.
    #[prost(string, tag = "1")]
    pub request: String,
    /// Workspace that is billed.
    #[prost(string, tag = "2")]
    pub workspace: String,
    /// Service that was called.
    #[prost(string, tag = "3")]
    pub service: String,
    /// Seconds since the Unix epoch at which the request came.
    #[prost(uint64, tag = "4")]
    pub received: u64,
    /// Times that the request was sent to an endpoint.
    #[prost(uint32, tag = "5")]
    pub sends: u32,
    /// Tokens that reached the caller.
    #[prost(uint64, tag = "6")]
    pub tokens: u64,
    /// A [`Run`].
    #[prost(enumeration = "Run", tag = "7")]
    pub run: i32,
    /// Reason told to the caller, `served` for a whole answer.
    #[prost(string, tag = "8")]
    pub told: String,
    /// VM that ran the request last, empty if none did.
    #[prost(string, tag = "9")]
    pub vm: String,
    /// Request whose recorded answer was given instead, empty if none was.
    #[prost(string, tag = "10")]
    pub repeats: String,
}

/// An endpoint that died while it ran a request.
#[derive(Clone, PartialEq, Message)]
pub struct Crash {
    /// Hash of the request's content.
    #[prost(fixed64, tag = "1")]
    pub fingerprint: u64,
    /// Request id.
    #[prost(string, tag = "2")]
    pub request: String,
    /// VM that died, or route on which the trial is to run.
    #[prost(string, tag = "3")]
    pub vm: String,
    /// What is to be recorded.
    #[prost(enumeration = "Suspicion", tag = "4")]
    pub suspicion: i32,
    /// Incarnation of the endpoint that died.
    #[prost(uint64, tag = "5")]
    pub incarnation: u64,
}

/// Steps in the life of a suspected request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum Suspicion {
    /// An endpoint died while the request ran on it.
    Crashed = 0,
    /// A daemon asks to run the suspected request once.
    Trial = 1,
    /// The trial ended with a whole answer, or the suspicion is old.
    Cleared = 2,
    /// The trial ended without saying anything about the request.
    Abandoned = 3,
}

/// Reads the usage line of a request.
#[derive(Clone, PartialEq, Message)]
pub struct Explain {
    /// Request id.
    #[prost(string, tag = "1")]
    pub request: String,
}

/// What the proposer of a command is told.
#[derive(Clone, PartialEq, Message, serde::Serialize, serde::Deserialize)]
pub struct Outcome {
    /// How the command went.
    #[prost(enumeration = "Verdict", tag = "1")]
    pub verdict: i32,
    /// Version of the object, or generation of the group.
    #[prost(uint64, tag = "2")]
    pub version: u64,
    /// Revision of the configuration.
    #[prost(uint64, tag = "3")]
    pub revision: u64,
    /// Request that holds the claim, or body of the object that won.
    #[prost(string, tag = "4")]
    pub holder: String,
    /// Result that is recorded for a claim.
    #[prost(message, optional, tag = "5")]
    pub result: Option<RunResult>,
    /// Usage line that was asked for.
    #[prost(message, optional, tag = "6")]
    pub line: Option<Line>,
}

impl Outcome {
    /// An outcome without further fields.
    pub fn of(verdict: Verdict) -> Outcome {
        Outcome { verdict: verdict as i32, ..Outcome::default() }
    }
}

/// How a command went.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration, strum::Display,
)]
#[strum(serialize_all = "kebab-case")]
#[repr(i32)]
pub enum Verdict {
    /// Done.
    Accepted = 0,
    /// Another change came first; the outcome carries what it left.
    Conflict = 1,
    /// The key is in use by a request that has not ended.
    InProgress = 2,
    /// The key was used; the outcome carries the result.
    Recorded = 3,
    /// The key was used for another request.
    Mismatch = 4,
    /// There is nothing to change.
    Missing = 5,
    /// Refused for good.
    Refused = 6,
}
