//! Requests from a control daemon to endpoints: orders, and probes of their state.

use std::net::SocketAddr;
use std::time::Duration;

use dotterelhoist_fleet::order::{Order, Outcome};
use dotterelhoist_fleet::probe;
use dotterelhoist_fleet::Name;
use smol::net::TcpStream;

use crate::http::{within, Connection};
use crate::memory::Budget;
use crate::protocol::Protocol;

/// Time for the response to an order; after that the order counts as unanswered.
const ORDER_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time for the response to a probe; after that the endpoint counts as not answering.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);
/// Longest head of a response; a longer one counts as no response.
const MAX_HEAD_BYTES: usize = 16 << 10;
/// Longest body of a response; a longer one counts as no response.
const MAX_BODY_BYTES: usize = 64 << 10;

/// Response of an endpoint.
struct Response {
    status: u16,
    /// Identity of the endpoint that responds, if it states that.
    instance: Option<String>,
    body: bytes::Bytes,
}

/// Why there is no response.
enum Failure {
    /// The connection was refused or the address is invalid: the endpoint has not received the
    /// request.
    Unreachable,
    /// The connection failed otherwise or the response is unusable: the endpoint may have received
    /// the request.
    NoResponse,
}

/// Sends an order to its endpoint and waits for the outcome.
pub(crate) async fn send<Platform>(protocol: &Platform, order: &Order) -> Outcome
where
    Platform: Protocol,
{
    let body = protocol.encode_order(order);
    let id = Some(&*order.endpoint);
    let request = send_request::<Platform>(&order.address, "POST", Platform::ORDER_PATH, id, &body);
    match within(ORDER_TIMEOUT, request).await {
        Some(Ok(response)) => outcome_of_status(response.status),
        Some(Err(Failure::Unreachable)) => Outcome::Refused,
        Some(Err(Failure::NoResponse)) | None => Outcome::Unanswered,
    }
}

/// Asks an endpoint for a report of its state. Another endpoint at this address responds with status
/// 421 or names itself; an invalid address counts as one that refuses the connection.
pub(crate) async fn probe<Platform>(
    protocol: &Platform,
    id: &Name,
    address: &Name,
) -> probe::Outcome
where
    Platform: Protocol,
{
    let request = send_request::<Platform>(address, "GET", Platform::REPORT_PATH, Some(id), b"");
    let is_other = |response: &Response| {
        let names_other = response.instance.as_ref().is_some_and(|instance| **instance != **id);
        names_other || response.status == 421
    };
    match within(PROBE_TIMEOUT, request).await {
        Some(Ok(response)) if is_other(&response) => probe::Outcome::Replaced,
        Some(Ok(response)) if response.status == 200 => {
            match protocol.decode_report(id, &response.body) {
                Ok(heartbeat) => probe::Outcome::Report(Box::new(heartbeat)),
                Err(_) => probe::Outcome::Answered,
            }
        }
        Some(Ok(_)) => probe::Outcome::Answered,
        Some(Err(Failure::Unreachable)) => probe::Outcome::Refused,
        Some(Err(Failure::NoResponse)) | None => probe::Outcome::Unanswered,
    }
}

/// Outcome of an order, by the status of the response to it.
fn outcome_of_status(status: u16) -> Outcome {
    match status {
        200 => Outcome::Done,
        202 => Outcome::Taken,
        412 => Outcome::Outdated,
        421 => Outcome::Misdirected,
        400 | 409 => Outcome::Unfit,
        _ => Outcome::Unanswered,
    }
}

/// Sends a request on a new connection and reads the response. If `expected_instance` is given, an
/// endpoint with another identity answers with status 421.
async fn send_request<Platform>(
    address: &Name,
    method: &str,
    path: &str,
    expected_instance: Option<&str>,
    body: &[u8],
) -> Result<Response, Failure>
where
    Platform: Protocol,
{
    let target: SocketAddr = address.parse().map_err(|_| Failure::Unreachable)?;
    let stream = TcpStream::connect(target).await.map_err(|error| match error.kind() {
        std::io::ErrorKind::ConnectionRefused => Failure::Unreachable,
        _ => Failure::NoResponse,
    })?;
    let mut connection = Connection::open(stream);
    let mut head = format!("{method} {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n");
    if let Some(expected_instance) = expected_instance {
        head.push_str(&format!("{}: {expected_instance}\r\n", Platform::HEADERS.expected_instance));
    }
    if !body.is_empty() {
        head.push_str("Content-Type: application/json\r\n");
    }
    head.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    connection.write(&bytes).await.map_err(|_| Failure::NoResponse)?;
    let response_head = connection.read_response_head(method, MAX_HEAD_BYTES).await;
    let response_head = response_head.map_err(|_| Failure::NoResponse)?;
    let mut reservation = Budget::open(MAX_BODY_BYTES).reserve();
    let body = connection.read_body(response_head.framing, MAX_BODY_BYTES, &mut reservation).await;
    let instance = response_head.headers.find(Platform::HEADERS.instance).map(str::to_owned);
    let body = body.map_err(|_| Failure::NoResponse)?;
    Ok(Response { status: response_head.status, instance, body })
}
