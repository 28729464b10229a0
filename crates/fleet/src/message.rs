//! Messages between control daemons and entry daemons.

use dotterelhoist_core::replica::message::Payload;
use prost::{Message, Oneof};

use crate::endpoint::Heartbeat;
use crate::patch::Patch;

/// First frame on a connection; sent by the daemon that opened it.
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
    /// IP address of the daemon that sent it.
    #[prost(string, tag = "1")]
    pub from: String,
    /// The replication message; a frame without one is ignored.
    #[prost(oneof = "Payload", tags = "2, 3, 4, 5, 6, 7")]
    pub payload: Option<Payload>,
}

/// Heartbeats of endpoints that one control daemon forwards to the others.
#[derive(Clone, PartialEq, Message)]
pub struct Heartbeats {
    /// The heartbeats.
    #[prost(message, repeated, tag = "1")]
    pub heartbeats: Vec<AgedHeartbeat>,
}

/// A forwarded heartbeat with its age, so that the receiver can date it by its own clock.
#[derive(Clone, PartialEq, Message)]
pub struct AgedHeartbeat {
    /// The heartbeat.
    #[prost(message, optional, tag = "1")]
    pub heartbeat: Option<Heartbeat>,
    /// Milliseconds from its reception by the sending control daemon to the forwarding.
    #[prost(uint32, tag = "2")]
    pub age_ms: u32,
}

/// An endpoint that leaves: it has deregistered, or reported that it drains.
#[derive(Clone, PartialEq, Message)]
pub struct Departure {
    /// Identity of the endpoint.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Start time of its incarnation in Unix milliseconds; 0 if it is not known, in which case the
    /// departure is that of any incarnation.
    #[prost(uint64, tag = "2")]
    pub started_unix_ms: u64,
    /// Milliseconds since it was first acknowledged, as far as the sender knows.
    #[prost(uint32, tag = "3")]
    pub age_ms: u32,
}

/// Endpoints that leave. Control daemons and entry daemons tell each other of all that they know when
/// a connection comes up; control daemons tell entry daemons of each further one at once.
#[derive(Clone, PartialEq, Message)]
pub struct Departures {
    /// The departures.
    #[prost(message, repeated, tag = "1")]
    pub departures: Vec<Departure>,
}

/// State of a control daemon; sent to each connected entry daemon at regular intervals.
#[derive(Clone, PartialEq, Message)]
pub struct Status {
    /// Whether it has received all that a live leader has committed.
    #[prost(bool, tag = "1")]
    pub up_to_date: bool,
    /// Version of the document that it has applied, 0 if it has none.
    #[prost(uint64, tag = "2")]
    pub version: u64,
    /// IP addresses of all control daemons that it knows, itself included; the receiver connects to
    /// each of them.
    #[prost(string, repeated, tag = "3")]
    pub control_daemons: Vec<String>,
    /// Number of entry daemons connected to it.
    #[prost(uint32, tag = "4")]
    pub entry_daemons: u32,
    /// Fingerprints of requests to refuse, because the endpoints that ran them crashed repeatedly; for
    /// entry daemons of older builds, which ignore `bars`.
    #[prost(fixed64, repeated, tag = "5")]
    pub crashing: Vec<u64>,
    /// Milliseconds since the sender applied its document.
    #[prost(uint32, tag = "6")]
    pub document_age_ms: u32,
    /// Whether the sender leads, and assigns the slots of endpoints with a limit.
    #[prost(bool, tag = "7")]
    pub leads: bool,
    /// Features of which the sender wants to know whether answers survived.
    #[prost(fixed64, repeated, tag = "8")]
    pub suspected: Vec<u64>,
    /// Features whose requests are to be refused.
    #[prost(message, repeated, tag = "9")]
    pub bars: Vec<Bar>,
    /// Whether the sender takes [`Report::losses`]; an older one counts [`Report::crashed`] instead.
    #[prost(bool, tag = "10")]
    pub takes_losses: bool,
    /// IP addresses of entry daemons to which the receiver may relay requests; empty unless its last
    /// report had [`Report::needs_relay`].
    #[prost(string, repeated, tag = "11")]
    pub relays: Vec<String>,
    /// IP addresses of entry daemons that the receiver may ask for control daemons once it reaches none;
    /// empty in most statuses, which then say nothing about them.
    #[prost(string, repeated, tag = "12")]
    pub neighbors: Vec<String>,
}

/// Control daemons that the sender reaches. An entry daemon answers with it to the [`Hello`] of another one.
/// Entry and control daemons name with it the control daemons that they reach to each other, whenever a connection
/// comes up.
#[derive(Clone, PartialEq, Message)]
pub struct Directory {
    /// Their IP addresses; the receiver connects to each of them.
    #[prost(string, repeated, tag = "1")]
    pub control_daemons: Vec<String>,
}

/// A feature whose requests are refused; see [`crate::crash::Feature`].
#[derive(Clone, PartialEq, Message)]
pub struct Bar {
    /// Hash of the feature.
    #[prost(fixed64, tag = "1")]
    pub feature: u64,
    /// Milliseconds until requests with it are accepted again.
    #[prost(uint32, tag = "2")]
    pub left_ms: u32,
}

/// Responses that an entry daemon has lost with one incarnation of an endpoint.
#[derive(Clone, PartialEq, Message)]
pub struct Loss {
    /// Identity of the endpoint.
    #[prost(string, tag = "1")]
    pub endpoint: String,
    /// Start time of the incarnation in Unix milliseconds, 0 if the sender doesn't know it.
    #[prost(uint64, tag = "2")]
    pub started_unix_ms: u64,
    /// Service that the endpoint belongs to.
    #[prost(string, tag = "3")]
    pub service: String,
    /// Milliseconds since the first of them was lost.
    #[prost(uint32, tag = "4")]
    pub age_ms: u32,
    /// Features of the requests.
    #[prost(fixed64, repeated, tag = "5")]
    pub features: Vec<u64>,
}

/// The last answer to a request with a feature that survived.
#[derive(Clone, PartialEq, Message)]
pub struct Survival {
    /// Hash of the feature.
    #[prost(fixed64, tag = "1")]
    pub feature: u64,
    /// Milliseconds since then.
    #[prost(uint32, tag = "2")]
    pub age_ms: u32,
}

/// The last answer of a service that survived.
#[derive(Clone, PartialEq, Message)]
pub struct ServiceSurvival {
    /// Service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Milliseconds since then.
    #[prost(uint32, tag = "2")]
    pub age_ms: u32,
}

/// What an entry daemon has observed of an endpoint's limit.
#[derive(Clone, PartialEq, Message)]
pub struct Limit {
    /// Identity of the endpoint.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Requests per second that it takes from all entry daemons together; none if its newest
    /// response stated no limit.
    #[prost(double, optional, tag = "2")]
    pub per_second: Option<f64>,
    /// Milliseconds since the response that stated it.
    #[prost(uint32, tag = "3")]
    pub age_ms: u32,
}

/// Request of an entry daemon for a slot of an endpoint with a limit: the permission to send it one
/// request.
#[derive(Clone, PartialEq, Message)]
pub struct Reserve {
    /// The limit as the sender knows it; the receiver may not know of it yet.
    #[prost(message, optional, tag = "1")]
    pub limit: Option<Limit>,
    /// Milliseconds that the sender can wait for the slot to begin.
    #[prost(uint32, tag = "2")]
    pub wait_ms: u32,
}

/// Answer to [`Reserve`].
#[derive(Clone, PartialEq, Message)]
pub struct Slot {
    /// Identity of the endpoint.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Whether the slot is assigned to the receiver.
    #[prost(bool, tag = "2")]
    pub assigned: bool,
    /// Milliseconds until the slot begins or, if it is not assigned, until there is a free one.
    #[prost(uint32, tag = "3")]
    pub after_ms: u32,
}

/// Request of an entry daemon for the newest document of the receiver.
#[derive(Clone, PartialEq, Message)]
pub struct Fetch {
    /// Version of the document that the sender has, to which the answer may be the difference; 0 if
    /// the document is to be sent complete.
    #[prost(uint64, tag = "1")]
    pub version: u64,
}

/// An endpoint that requests can be sent to: the head of a serving group, or a plain endpoint,
/// which is a member of no group.
#[derive(Clone, PartialEq, Message)]
pub struct Target {
    /// Identity of the endpoint.
    #[prost(string, tag = "1")]
    pub id: String,
    /// IP address and port.
    #[prost(string, tag = "2")]
    pub address: String,
    /// Service that it belongs to.
    #[prost(string, tag = "3")]
    pub service: String,
    /// Model that its group serves, empty for a plain endpoint.
    #[prost(string, tag = "4")]
    pub model: String,
    /// Name of its group, empty for a plain endpoint.
    #[prost(string, tag = "5")]
    pub group: String,
    /// Availability zone, empty if the control daemon does not know it.
    #[prost(string, tag = "6")]
    pub zone: String,
    /// Requests that it can run concurrently.
    #[prost(uint32, tag = "7")]
    pub slots: u32,
    /// Start time of its incarnation in Unix milliseconds.
    #[prost(uint64, tag = "8")]
    pub started_unix_ms: u64,
}

/// All endpoints that requests can be sent to, as the sending control daemon knows them.
#[derive(Clone, PartialEq, Message)]
pub struct View {
    /// Grows with each change of the list.
    #[prost(uint64, tag = "1")]
    pub sequence: u64,
    /// The endpoints.
    #[prost(message, repeated, tag = "2")]
    pub targets: Vec<Target>,
}

/// Load of each endpoint of a [`View`]; each list has one item for each target, in the view's
/// order.
#[derive(Clone, PartialEq, Message)]
pub struct Loads {
    /// Sequence of the view; loads for another view than the receiver's are ignored.
    #[prost(uint64, tag = "1")]
    pub sequence: u64,
    /// Requests of all entry daemons in flight at the endpoint.
    #[prost(uint32, repeated, tag = "2")]
    pub running: Vec<u32>,
    /// Of these, the requests of the receiving entry daemon.
    #[prost(uint32, repeated, tag = "3")]
    pub own: Vec<u32>,
    /// Prompt tokens of the requests of other entry daemons whose responses have not begun.
    #[prost(uint32, repeated, tag = "4")]
    pub backlog: Vec<u32>,
    /// Limits in force, of any endpoints.
    #[prost(message, repeated, tag = "5")]
    pub limits: Vec<Limit>,
}

/// Requests of an entry daemon in flight at one endpoint.
#[derive(Clone, PartialEq, Message)]
pub struct Running {
    /// Identity of the endpoint.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Number of requests.
    #[prost(uint32, tag = "2")]
    pub count: u32,
    /// Prompt tokens of those whose response has not begun.
    #[prost(uint32, tag = "3")]
    pub backlog: u32,
}

/// Work that callers requested of a model since the last report.
#[derive(Clone, PartialEq, Message)]
pub struct Demand {
    /// Service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Model.
    #[prost(string, tag = "2")]
    pub model: String,
    /// Work in group-seconds: the seconds that one serving group would need for it.
    #[prost(double, tag = "3")]
    pub seconds: f64,
    /// Number of requests.
    #[prost(uint32, tag = "4")]
    pub requests: u32,
}

/// State of an entry daemon; sent to the control daemons at regular intervals.
#[derive(Clone, PartialEq, Message)]
pub struct Report {
    /// Requests in flight, by endpoint.
    #[prost(message, repeated, tag = "1")]
    pub running: Vec<Running>,
    /// Work that was requested since the last report to this control daemon.
    #[prost(message, repeated, tag = "2")]
    pub demand: Vec<Demand>,
    /// Endpoints that were unreachable or made no progress when this daemon last used them.
    #[prost(string, repeated, tag = "3")]
    pub suspects: Vec<String>,
    /// Whether any caller has sent a request since the daemon started.
    #[prost(bool, tag = "4")]
    pub traffic: bool,
    /// Whether the sender has selected the receiver as its source of endpoints; only then does the
    /// receiver send it the view and the loads.
    #[prost(bool, tag = "5")]
    pub selected: bool,
    /// Heads of groups that have sent parts of responses since the last report to the receiver.
    #[prost(string, repeated, tag = "6")]
    pub progress: Vec<String>,
    /// Fingerprints of requests whose responses were lost because their endpoints terminated, as far as
    /// the sender knows; each loss is reported once. Only for control daemons of older builds.
    #[prost(fixed64, repeated, tag = "7")]
    pub crashed: Vec<u64>,
    /// Limits that responses have stated since the last report to the receiver.
    #[prost(message, repeated, tag = "9")]
    pub limits: Vec<Limit>,
    /// Responses that were lost since the last report to the receiver, if it takes them.
    #[prost(message, repeated, tag = "10")]
    pub losses: Vec<Loss>,
    /// Survivals with the features that control daemons suspect.
    #[prost(message, repeated, tag = "11")]
    pub survivals: Vec<Survival>,
    /// Survivals of any requests, while control daemons suspect a feature.
    #[prost(message, repeated, tag = "12")]
    pub service_survivals: Vec<ServiceSurvival>,
    /// Bars that the receiver lacked in its last status.
    #[prost(message, repeated, tag = "13")]
    pub bars: Vec<Bar>,
    /// Whether the sender reports `losses`; an older one reports `crashed` only.
    #[prost(bool, tag = "14")]
    pub reports_losses: bool,
    /// Whether other entry daemons may relay requests to the sender.
    #[prost(bool, tag = "15")]
    pub takes_relays: bool,
    /// Whether the sender may have to relay requests, because it does not reach some endpoints.
    #[prost(bool, tag = "16")]
    pub needs_relay: bool,
}

/// A call of an operator that a control daemon forwards to the leader.
#[derive(Clone, PartialEq, Message)]
pub struct Call {
    /// Correlation number chosen by the sender and echoed in the [`Reply`]. The sender's processes
    /// start at random numbers, so that one never takes the reply to a call of an earlier one.
    #[prost(uint64, tag = "1")]
    pub ticket: u64,
    /// The document to put in force, valid and complete by itself; none to read the current one.
    #[prost(message, optional, tag = "3")]
    pub document: Option<Patch>,
    /// Version of the sender's document; if the current one is the same, the reply does not repeat
    /// it.
    #[prost(uint64, tag = "4")]
    pub version: u64,
}

/// The leader's reply to a [`Call`].
#[derive(Clone, PartialEq, Message)]
pub struct Reply {
    /// Ticket of the call.
    #[prost(uint64, tag = "1")]
    pub ticket: u64,
    /// Whether the leader could answer the call; if not, the operator is told that it is
    /// unavailable.
    #[prost(bool, tag = "2")]
    pub answered: bool,
    /// The document in force, complete by itself, if the call was to read it and the sender of the
    /// call has another version.
    #[prost(message, optional, tag = "4")]
    pub document: Option<Patch>,
}

/// The messages that daemons send to one another. Counters are named after them.
#[derive(Clone, PartialEq, Oneof, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Body {
    /// First frame on a connection.
    #[prost(message, tag = "2")]
    Hello(Hello),
    /// A message between replicas of the control log.
    #[prost(message, tag = "3")]
    Replication(Replication),
    /// Forwarded heartbeats of endpoints.
    #[prost(message, tag = "4")]
    Heartbeats(Heartbeats),
    /// State of a control daemon.
    #[prost(message, tag = "5")]
    Status(Status),
    /// A configuration document; the answer to [`Fetch`].
    #[prost(message, tag = "6")]
    Document(Patch),
    /// Endpoints that requests can be sent to.
    #[prost(message, tag = "7")]
    View(View),
    /// State of an entry daemon.
    #[prost(message, tag = "8")]
    Report(Report),
    /// Load of the endpoints of a view.
    #[prost(message, tag = "11")]
    Loads(Loads),
    /// A call of an operator, forwarded to the leader.
    #[prost(message, tag = "12")]
    Call(Call),
    /// The leader's reply to a forwarded call.
    #[prost(message, tag = "13")]
    Reply(Reply),
    /// Request for the newest document.
    #[prost(message, tag = "14")]
    Fetch(Fetch),
    /// Request for a slot of an endpoint with a limit.
    #[prost(message, tag = "15")]
    Reserve(Reserve),
    /// Answer to a request for a slot.
    #[prost(message, tag = "16")]
    Slot(Slot),
    /// Endpoints that leave; ignored by daemons of older builds.
    #[prost(message, tag = "17")]
    Departures(Departures),
    /// Control daemons that the sender reaches; ignored by daemons of older builds.
    #[prost(message, tag = "18")]
    Directory(Directory),
    /// Departures that the sender has on stable storage, of which the receiver has told it; ignored by daemons of
    /// older builds.
    #[prost(message, tag = "19")]
    StoredDepartures(Departures),
    /// Keep-alive probe; answered by a pong.
    #[prost(bool, tag = "9")]
    Ping(bool),
    /// Answer to a ping.
    #[prost(bool, tag = "10")]
    Pong(bool),
}

/// One frame between two daemons.
#[derive(Clone, PartialEq, Message)]
pub struct Frame {
    /// The message.
    #[prost(
        oneof = "Body",
        tags = "2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19"
    )]
    pub body: Option<Body>,
}
