//! The interface to the protocol of a platform: header names, paths, calls and message bodies.

use dotterelhoist_fleet::control::Reader;
use dotterelhoist_fleet::endpoint::Heartbeat;
use dotterelhoist_fleet::order::Order;

/// Names of the platform's headers, in lower case.
#[derive(Clone, Copy, Debug)]
pub struct HeaderNames {
    /// Id that the caller gives its request; the response repeats it.
    pub request_id: &'static str,
    /// Milliseconds until the caller stops waiting.
    pub deadline: &'static str,
    /// Model that the request asks for.
    pub model: &'static str,
    /// Number of prompt tokens and limit of tokens to generate, separated by a comma.
    pub token_counts: &'static str,
    /// Segments of the prompt in their order, as `ID:TOKENS` separated by commas. The last one belongs
    /// to the request or its session.
    pub prompt_segments: &'static str,
    /// Estimate of the number of tokens to generate.
    pub output_tokens_hint: &'static str,
    /// Identity of the endpoint that the request is meant for; another endpoint at the same address
    /// does not run it.
    pub expected_instance: &'static str,
    /// Identity of the endpoint that responds.
    pub instance: &'static str,
    /// Workspace of the caller, added to requests to endpoints.
    pub workspace: &'static str,
    /// Signature of an endpoint's response. Only its presence is checked.
    pub signature: &'static str,
    /// Present in responses to requests that the endpoint has declined without running them.
    pub declined: &'static str,
    /// Running requests, waiting requests and slots of the endpoint, separated by commas.
    pub load: &'static str,
    /// Requests per second that the endpoint takes from all entry daemons together, for as long as
    /// its responses state it.
    pub limit: &'static str,
    /// Seconds for which an endpoint that turns a request away wants none from this daemon.
    pub pause: &'static str,
    /// 1 in all responses of an endpoint that leaves.
    pub leaves: &'static str,
    /// Id of the last event that the caller has received; the endpoint resumes the stream after it.
    pub last_event_id: &'static str,
}

/// A call from an endpoint or an operator to a control daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// A heartbeat of the endpoint with this identity.
    Heartbeat(String),
    /// The endpoint with this identity deregisters because it terminates.
    Deregister(String),
    /// An operator submits a new configuration document.
    PutDocument,
    /// An operator asks for the configuration document in force.
    GetDocument,
}

/// Translation between a platform's protocol and the types of `dotterelhoist-fleet`.
pub trait Protocol: Reader + Clone + 'static {
    /// Names of the platform's headers.
    const HEADERS: HeaderNames;
    /// Path at which endpoints accept orders.
    const ORDER_PATH: &'static str;
    /// Path at which endpoints answer probes with a report of their state.
    const REPORT_PATH: &'static str;

    /// Recognizes a call by its method and path; none if there is no such call.
    fn parse_call(&self, method: &str, path: &str) -> Option<Call>;

    /// Decodes a heartbeat of the endpoint `id`.
    ///
    /// # Errors
    ///
    /// Returns a message that says why the heartbeat does not describe a usable endpoint.
    fn decode_heartbeat(&self, id: &str, body: &[u8]) -> Result<Heartbeat, String>;

    /// Decodes the start of the endpoint's incarnation in Unix milliseconds from its deregistration;
    /// none if that does not state it.
    fn decode_deregistration(&self, body: &[u8]) -> Option<u64>;

    /// Decodes the report with which the endpoint `id` answers a probe. Only its incarnation, its
    /// serving group and the models on its VM are used.
    ///
    /// # Errors
    ///
    /// Returns a message that says what is wrong with the report.
    fn decode_report(&self, id: &str, body: &[u8]) -> Result<Heartbeat, String>;

    /// Encodes an order as the body of a request.
    fn encode_order(&self, order: &Order) -> Vec<u8>;

    /// Body of the response to an accepted heartbeat or deregistration.
    fn heartbeat_reply(&self) -> &'static [u8];
}
