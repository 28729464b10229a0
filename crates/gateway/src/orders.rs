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

/// Asks an endpoint for a report of its state. It is not at this address if the address is invalid,
/// the connection is refused, or another endpoint responds (status 421).
pub(crate) async fn probe<Platform>(
    protocol: &Platform,
    id: &Name,
    address: &Name,
) -> probe::Outcome
where
    Platform: Protocol,
{
    let request = send_request::<Platform>(address, "GET", Platform::REPORT_PATH, Some(id), b"");
    match within(PROBE_TIMEOUT, request).await {
        Some(Ok(response)) if response.status == 200 => {
            match protocol.decode_report(id, &response.body) {
                Ok(heartbeat) => probe::Outcome::Report(Box::new(heartbeat)),
                Err(_) => probe::Outcome::Answered,
            }
        }
        Some(Ok(response)) if response.status == 421 => probe::Outcome::Refused,
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
    Ok(Response { status: response_head.status, body: body.map_err(|_| Failure::NoResponse)? })
}
