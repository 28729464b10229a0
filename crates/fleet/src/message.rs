//! Messages between control daemons and entry daemons.

use dotterelhoist_core::replica::message::Payload;
use prost::{Message, Oneof};

use crate::endpoint::Heartbeat;

/// First frame on a connection, from the side that opened it.
#[derive(Clone, PartialEq, Message)]
pub struct Hello {
    /// IP address of the daemon, which is also its name.
    #[prost(string, tag = "1")]
    pub daemon: String,
    /// Availability zone.
    #[prost(string, tag = "2")]
    pub zone: String,
    /// Whether it is a control daemon.
    #[prost(bool, tag = "3")]
    pub control: bool,
}

/// A message between replicas of the control log.
#[derive(Clone, PartialEq, Message)]
pub struct Replication {
    /// Daemon that sent it.
    #[prost(string, tag = "1")]
    pub from: String,
    /// The message.
    #[prost(oneof = "Payload", tags = "2, 3, 4, 5, 6, 7")]
    pub payload: Option<Payload>,
}

/// Heartbeats of endpoints on their way to the other control daemons.
#[derive(Clone, PartialEq, Message)]
pub struct Heartbeats {
    /// The heartbeats.
    #[prost(message, repeated, tag = "1")]
    pub heartbeats: Vec<AgedHeartbeat>,
}

/// A heartbeat with its age.
#[derive(Clone, PartialEq, Message)]
pub struct AgedHeartbeat {
    /// The heartbeat.
    #[prost(message, optional, tag = "1")]
    pub heartbeat: Option<Heartbeat>,
    /// Milliseconds since a control daemon received it.
    #[prost(uint32, tag = "2")]
    pub age_ms: u32,
}

/// How a control daemon stands; sent to entry daemons at regular intervals.
#[derive(Clone, PartialEq, Message)]
pub struct Status {
    /// Whether it knows all that a live leader has committed.
    #[prost(bool, tag = "1")]
    pub up_to_date: bool,
    /// Version of its document, 0 if it has none.
    #[prost(uint64, tag = "2")]
    pub version: u64,
    /// IP addresses of all control daemons that it knows.
    #[prost(string, repeated, tag = "3")]
    pub control_daemons: Vec<String>,
    /// Entry daemons that are connected to it.
    #[prost(uint32, tag = "4")]
    pub entry_daemons: u32,
    /// Hashes of requests that crash the endpoints that run them.
    #[prost(fixed64, repeated, tag = "5")]
    pub crashing: Vec<u64>,
}

/// A configuration document as the operator sent it.
#[derive(Clone, PartialEq, Message)]
pub struct Document {
    /// Version.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// The operator's bytes.
    #[prost(bytes = "vec", tag = "2")]
    pub body: Vec<u8>,
}

/// An endpoint that takes requests: the head of a group, or a plain endpoint.
#[derive(Clone, PartialEq, Message)]
pub struct Target {
    /// Identity of the endpoint.
    #[prost(string, tag = "1")]
    pub id: String,
    /// IP address and port.
    #[prost(string, tag = "2")]
    pub address: String,
    /// Service.
    #[prost(string, tag = "3")]
    pub service: String,
    /// Model that its group serves, empty for a plain endpoint.
    #[prost(string, tag = "4")]
    pub model: String,
    /// Name of its group, empty for a plain endpoint.
    #[prost(string, tag = "5")]
    pub group: String,
    /// Availability zone.
    #[prost(string, tag = "6")]
    pub zone: String,
    /// Requests that it runs at once.
    #[prost(uint32, tag = "7")]
    pub slots: u32,
}

/// All endpoints that take requests.
#[derive(Clone, PartialEq, Message)]
pub struct View {
    /// Changes with each change of the list.
    #[prost(uint64, tag = "1")]
    pub sequence: u64,
    /// The endpoints.
    #[prost(message, repeated, tag = "2")]
    pub targets: Vec<Target>,
}

/// Requests that run at each endpoint of a [`View`], in its order.
#[derive(Clone, PartialEq, Message)]
pub struct Loads {
    /// The view that this belongs to.
    #[prost(uint64, tag = "1")]
    pub sequence: u64,
    /// Requests of all entry daemons.
    #[prost(uint32, repeated, tag = "2")]
    pub running: Vec<u32>,
    /// Of these, the requests of the entry daemon that is told.
    #[prost(uint32, repeated, tag = "3")]
    pub own: Vec<u32>,
    /// Prompt tokens of the requests of other entry daemons whose answers have not begun.
    #[prost(uint32, repeated, tag = "4")]
    pub backlog: Vec<u32>,
}

/// Requests of an entry daemon that run at one endpoint.
#[derive(Clone, PartialEq, Message)]
pub struct Running {
    /// Identity of the endpoint.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Number of requests.
    #[prost(uint32, tag = "2")]
    pub count: u32,
    /// Prompt tokens of those whose answer has not begun.
    #[prost(uint32, tag = "3")]
    pub backlog: u32,
}

/// Work that callers asked of a model since the last report.
#[derive(Clone, PartialEq, Message)]
pub struct Demand {
    /// Service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Model.
    #[prost(string, tag = "2")]
    pub model: String,
    /// Seconds of a group's time.
    #[prost(double, tag = "3")]
    pub seconds: f64,
    /// Number of requests.
    #[prost(uint32, tag = "4")]
    pub requests: u32,
}

/// What an entry daemon tells the control daemons at regular intervals.
#[derive(Clone, PartialEq, Message)]
pub struct Report {
    /// Requests that run, by endpoint.
    #[prost(message, repeated, tag = "1")]
    pub running: Vec<Running>,
    /// Work that was asked for.
    #[prost(message, repeated, tag = "2")]
    pub demand: Vec<Demand>,
    /// Endpoints that do not answer this daemon.
    #[prost(string, repeated, tag = "3")]
    pub suspects: Vec<String>,
    /// Whether callers have sent requests.
    #[prost(bool, tag = "4")]
    pub traffic: bool,
    /// Whether the receiver is to send its view.
    #[prost(bool, tag = "5")]
    pub selected: bool,
    /// Endpoints that have sent parts of answers since the last report.
    #[prost(string, repeated, tag = "6")]
    pub progress: Vec<String>,
    /// Hashes of requests whose endpoints have ended since the last report.
    #[prost(fixed64, repeated, tag = "7")]
    pub crashed: Vec<u64>,
    /// Version of the document in force at the sender, 0 if it has none.
    #[prost(uint64, tag = "8")]
    pub version: u64,
}

/// A call of an operator on its way to the leader.
#[derive(Clone, PartialEq, Message)]
pub struct Call {
    /// Chosen by the sender, echoed in [`Reply`].
    #[prost(uint64, tag = "1")]
    pub ticket: u64,
    /// The document to put; none to read the one in force.
    #[prost(bytes = "vec", optional, tag = "2")]
    pub body: Option<Vec<u8>>,
}

/// The leader's answer to an [`Call`].
#[derive(Clone, PartialEq, Message)]
pub struct Reply {
    /// Ticket of the question.
    #[prost(uint64, tag = "1")]
    pub ticket: u64,
    /// Whether the leader could answer.
    #[prost(bool, tag = "2")]
    pub answered: bool,
    /// The document in force, if it was asked for.
    #[prost(bytes = "vec", optional, tag = "3")]
    pub document: Option<Vec<u8>>,
}

/// Everything that one daemon sends to another.
#[derive(Clone, PartialEq, Oneof)]
pub enum Body {
    /// First frame.
    #[prost(message, tag = "2")]
    Hello(Hello),
    /// Message between replicas.
    #[prost(message, tag = "3")]
    Replication(Replication),
    /// Heartbeats of endpoints.
    #[prost(message, tag = "4")]
    Heartbeats(Heartbeats),
    /// How a control daemon stands.
    #[prost(message, tag = "5")]
    Status(Status),
    /// A configuration document.
    #[prost(message, tag = "6")]
    Document(Document),
    /// Endpoints that take requests.
    #[prost(message, tag = "7")]
    View(View),
    /// What an entry daemon tells.
    #[prost(message, tag = "8")]
    Report(Report),
    /// Requests that run at the endpoints of a view.
    #[prost(message, tag = "11")]
    Loads(Loads),
    /// A call of an operator for the leader.
    #[prost(message, tag = "12")]
    Call(Call),
    /// The leader's answer.
    #[prost(message, tag = "13")]
    Reply(Reply),
    /// Asks for a sign of life.
    #[prost(bool, tag = "9")]
    Ping(bool),
    /// Sign of life.
    #[prost(bool, tag = "10")]
    Pong(bool),
}

/// One frame between two daemons.
#[derive(Clone, PartialEq, Message)]
pub struct Frame {
    /// What is said.
    #[prost(oneof = "Body", tags = "2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13")]
    pub body: Option<Body>,
}
