//! Commands that are stored in the replicated logs, and the outcomes of applying them.

use prost::{Message, Oneof};

/// Content of a log entry.
#[derive(Clone, PartialEq, Message)]
pub struct Command {
    /// The command itself; none if a newer version wrote a command that this one does not know.
    #[prost(oneof = "Body", tags = "1, 2, 3, 4, 5, 6, 7, 8")]
    pub body: Option<Body>,
}

impl Command {
    /// Makes a command of a body.
    pub fn new(body: Body) -> Command {
        Command { body: Some(body) }
    }
}

/// The commands that a log can hold.
#[derive(Clone, PartialEq, Oneof)]
pub enum Body {
    /// Creates, replaces or deletes an object of the configuration.
    #[prost(message, tag = "1")]
    Change(Change),
    /// Claims the right to run a non-idempotent request.
    #[prost(message, tag = "2")]
    Claim(Claim),
    /// Records how a claimed request ended.
    #[prost(message, tag = "3")]
    Settle(Settle),
    /// Assigns VMs to a serving group.
    #[prost(message, tag = "4")]
    Place(Place),
    /// Takes VMs out of a serving group.
    #[prost(message, tag = "5")]
    Release(Release),
    /// Records a batch of usage lines.
    #[prost(message, tag = "6")]
    UsageBatch(UsageBatch),
    /// Records that an endpoint died while it ran a request, or starts or ends a trial of that
    /// request.
    #[prost(message, tag = "7")]
    SuspectChange(SuspectChange),
    /// Reads a usage line, ordered with the other commands of the log so that the answer is not
    /// stale.
    #[prost(message, tag = "8")]
    Explain(Explain),
}

/// A change of the configuration.
#[derive(Clone, PartialEq, Message)]
pub struct Change {
    /// Operation id chosen by the operator's command; a resent change carries the same id and takes
    /// effect once.
    #[prost(string, tag = "1")]
    pub operation: String,
    /// Kind of the object, a [`Kind`](crate::object::Kind).
    #[prost(uint32, tag = "2")]
    pub kind: u32,
    /// Name of the object.
    #[prost(string, tag = "3")]
    pub name: String,
    /// Version that the object must have, 0 if it must not exist; without it the version is not
    /// checked.
    #[prost(uint64, optional, tag = "4")]
    pub expected: Option<u64>,
    /// New body; without it the object is deleted.
    #[prost(string, optional, tag = "5")]
    pub body: Option<String>,
}

/// A claim on a non-idempotent request.
#[derive(Clone, PartialEq, Message)]
pub struct Claim {
    /// Workspace that sent the request.
    #[prost(string, tag = "1")]
    pub workspace: String,
    /// Service and idempotency key of the caller, or the request id if the caller gave no key.
    #[prost(string, tag = "2")]
    pub key: String,
    /// Hash of service, method, path and body.
    #[prost(fixed64, tag = "3")]
    pub digest: u64,
    /// Id of the request that claims the key; unique across restarts of the daemon.
    #[prost(string, tag = "4")]
    pub request: String,
    /// Milliseconds from the claim after which the holder no longer runs the request.
    #[prost(uint64, tag = "5")]
    pub permission_ms: u64,
}

/// Records how a claimed request ended.
#[derive(Clone, PartialEq, Message)]
pub struct Settle {
    /// Workspace of the claim.
    #[prost(string, tag = "1")]
    pub workspace: String,
    /// Key of the claim.
    #[prost(string, tag = "2")]
    pub key: String,
    /// Id of the request that holds the claim.
    #[prost(string, tag = "3")]
    pub request: String,
    /// How the request ended.
    #[prost(message, optional, tag = "4")]
    pub result: Option<RunResult>,
}

/// How a claimed request ended: whether it ran, and its answer if that is known.
#[derive(Clone, PartialEq, Message, serde::Serialize, serde::Deserialize)]
pub struct RunResult {
    /// Whether the request ran.
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
    /// It certainly did not run.
    NotRun = 1,
    /// It may have run.
    Unknown = 2,
}

/// Assigns VMs to a serving group.
#[derive(Clone, PartialEq, Message)]
pub struct Place {
    /// Group instance, `serving-group/zone/number`.
    #[prost(string, tag = "1")]
    pub group: String,
    /// Generation that this placement replaces, 0 if the group must not exist yet.
    #[prost(uint64, tag = "2")]
    pub expected: u64,
    /// Model to load.
    #[prost(string, tag = "3")]
    pub model: String,
    /// VMs to assign, in rank order.
    #[prost(message, repeated, tag = "4")]
    pub members: Vec<Member>,
}

/// A VM that is assigned to a serving group.
#[derive(Clone, PartialEq, Eq, Message, serde::Serialize, serde::Deserialize)]
pub struct Member {
    /// Name of the VM.
    #[prost(string, tag = "1")]
    pub vm: String,
    /// Incarnation of the endpoint on the VM at the time of the assignment.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
}

/// Takes VMs out of a serving group in two steps: the first command begins the release, a second
/// one confirms it, after which the VMs can be assigned to other groups.
#[derive(Clone, PartialEq, Message)]
pub struct Release {
    /// Group instance.
    #[prost(string, tag = "1")]
    pub group: String,
    /// Expected generation of the group; the command has no effect if the group has another one.
    #[prost(uint64, tag = "2")]
    pub generation: u64,
    /// Whether this confirms that the VMs have left: each has announced that it left the group, or
    /// its last announcement has expired on every daemon. If not set, the release begins.
    #[prost(bool, tag = "3")]
    pub confirmed: bool,
}

/// A batch of usage lines of one daemon.
#[derive(Clone, PartialEq, Message)]
pub struct UsageBatch {
    /// Daemon and its incarnation, `daemon.incarnation`.
    #[prost(string, tag = "1")]
    pub daemon: String,
    /// Number of the batch, counted from 1 by that incarnation; a resent batch keeps its number and
    /// is recorded once.
    #[prost(uint64, tag = "2")]
    pub number: u64,
    /// Lines of the batch.
    #[prost(message, repeated, tag = "3")]
    pub lines: Vec<UsageLine>,
}

/// Usage line: what is billed for one request and how the request ended.
#[derive(Clone, PartialEq, Message, serde::Serialize, serde::Deserialize)]
pub struct UsageLine {
    /// Request id.
    #[prost(string, tag = "1")]
    pub request: String,
    /// Workspace that is billed.
    #[prost(string, tag = "2")]
    pub workspace: String,
    /// Service that was called.
    #[prost(string, tag = "3")]
    pub service: String,
    /// Time at which the request arrived, in seconds since the Unix epoch.
    #[prost(uint64, tag = "4")]
    pub received: u64,
    /// Times that the request was sent to an endpoint.
    #[prost(uint32, tag = "5")]
    pub sends: u32,
    /// Tokens that were forwarded to the caller.
    #[prost(uint64, tag = "6")]
    pub tokens: u64,
    /// Whether the request ran.
    #[prost(enumeration = "Run", tag = "7")]
    pub run: i32,
    /// Refusal reason that was sent to the caller, `served` for a complete answer, `repeated` for a
    /// recorded one.
    #[prost(string, tag = "8")]
    pub told: String,
    /// VM that the request was last sent to, empty if it was sent to none.
    #[prost(string, tag = "9")]
    pub vm: String,
    /// Id of the request whose recorded answer was returned instead, empty if there was none.
    #[prost(string, tag = "10")]
    pub repeats: String,
}

/// Changes the record of a suspected request.
#[derive(Clone, PartialEq, Message)]
pub struct SuspectChange {
    /// Hash of the request's content, its [`digest`](crate::request::Request::digest).
    #[prost(fixed64, tag = "1")]
    pub fingerprint: u64,
    /// Request id.
    #[prost(string, tag = "2")]
    pub request: String,
    /// VM whose endpoint died, or route on which the trial is to run.
    #[prost(string, tag = "3")]
    pub vm: String,
    /// The change to record.
    #[prost(enumeration = "Suspicion", tag = "4")]
    pub suspicion: i32,
    /// Incarnation of the endpoint that died.
    #[prost(uint64, tag = "5")]
    pub incarnation: u64,
}

/// What a [`SuspectChange`] does to the record of a suspected request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum Suspicion {
    /// An endpoint died while the request ran on it.
    Crashed = 0,
    /// A daemon requests permission to run the suspected request as a trial.
    Trial = 1,
    /// The trial ended with a complete answer, or the suspicion is too old to be kept.
    Cleared = 2,
    /// The trial ended without showing whether the request crashes endpoints.
    Abandoned = 3,
}

/// Reads the usage line of a request.
#[derive(Clone, PartialEq, Message)]
pub struct Explain {
    /// Request id.
    #[prost(string, tag = "1")]
    pub request: String,
}

/// Result of a command, returned to its proposer.
#[derive(Clone, PartialEq, Message, serde::Serialize, serde::Deserialize)]
pub struct Outcome {
    /// Whether the command took effect.
    #[prost(enumeration = "NewBar", tag = "1")]
    pub bar: i32,
    /// Version of the object, generation of the group, or number of endpoints that died under a
    /// suspected request.
    #[prost(uint64, tag = "2")]
    pub version: u64,
    /// Revision of the configuration after the command.
    #[prost(uint64, tag = "3")]
    pub revision: u64,
    /// Id of the request that holds the claim, or the current body of the object in a conflict.
    #[prost(string, tag = "4")]
    pub holder: String,
    /// Recorded result of the claimed request.
    #[prost(message, optional, tag = "5")]
    pub result: Option<RunResult>,
    /// Usage line that was asked for.
    #[prost(message, optional, tag = "6")]
    pub line: Option<UsageLine>,
}

impl Outcome {
    /// An outcome that has only a bar.
    pub fn of(bar: NewBar) -> Outcome {
        Outcome { bar: bar as i32, ..Outcome::default() }
    }
}

/// Whether a command took effect, and why not.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration, strum::Display,
)]
#[strum(serialize_all = "kebab-case")]
#[repr(i32)]
pub enum NewBar {
    /// It took effect.
    Accepted = 0,
    /// The version or generation is not the expected one, another request holds the claim, or a VM
    /// is not free; the outcome carries the current version, generation, holder or body.
    Conflict = 1,
    /// The key is claimed by a request that has not ended, or another trial is in progress.
    InProgress = 2,
    /// The key was claimed by a request that has ended, or the batch was recorded before; for a
    /// claim the outcome carries the result.
    Recorded = 3,
    /// The key was claimed for a request with other content.
    Mismatch = 4,
    /// The object, claim, group or usage line does not exist.
    Missing = 5,
    /// The command is invalid or not allowed; repeating it does not help.
    Refused = 6,
}
