//! What a platform's way of speaking has to offer.

use dotterelhoist_fleet::control::Reader;
use dotterelhoist_fleet::endpoint::Heartbeat;
use dotterelhoist_fleet::order::Order;

/// Names of headers, in lower case.
#[derive(Clone, Copy, Debug)]
pub struct HeaderNames {
    /// Id that a caller gives a request, echoed in its answer.
    pub request_id: &'static str,
    /// Milliseconds for which the caller waits.
    pub deadline: &'static str,
    /// Model that the request asks for.
    pub model: &'static str,
    /// Prompt tokens and the most tokens to generate.
    pub token_counts: &'static str,
    /// Estimate of the tokens to generate.
    pub output_tokens_hint: &'static str,
    /// Identity that the endpoint must have to run the request.
    pub expected_instance: &'static str,
    /// Workspace of the caller.
    pub workspace: &'static str,
    /// Signature of an endpoint's answer.
    pub signature: &'static str,
    /// Stands in answers to requests that the endpoint has not run.
    pub declined: &'static str,
    /// Running requests, waiting requests and slots of an endpoint.
    pub load: &'static str,
    /// Id of the last event that the caller has.
    pub last_event_id: &'static str,
}

/// A call of an endpoint or of an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// A heartbeat of the endpoint with this identity.
    Heartbeat(String),
    /// The endpoint with this identity ends.
    Deregister(String),
    /// An operator sends a document.
    PutDocument,
    /// An operator asks for the document.
    GetDocument,
}

/// A platform's way of speaking.
pub trait Protocol: Reader + Clone + 'static {
    /// Names of headers.
    const HEADERS: HeaderNames;
    /// Path of orders at an endpoint.
    const ORDER_PATH: &'static str;
    /// Path at which an endpoint tells its state.
    const REPORT_PATH: &'static str;

    /// Recognizes a call by its method and path.
    fn parse_call(&self, method: &str, path: &str) -> Option<Call>;

    /// Reads a heartbeat of the endpoint `id`.
    ///
    /// # Errors
    ///
    /// Returns why it names no endpoint that can be used.
    fn decode_heartbeat(&self, id: &str, body: &[u8]) -> Result<Heartbeat, String>;

    /// Reads what the endpoint `id` answers when it is asked for its state. Only its incarnation, its
    /// group and the models on its VM are used.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with it.
    fn decode_report(&self, id: &str, body: &[u8]) -> Result<Heartbeat, String>;

    /// Writes an order.
    fn encode_order(&self, order: &Order) -> Vec<u8>;

    /// Body of the answer to a heartbeat.
    fn heartbeat_reply(&self) -> &'static [u8];
}
