//! Orders to endpoints, and questions for their state.

use std::net::SocketAddr;
use std::time::Duration;

use dotterelhoist_fleet::endpoint::Heartbeat;
use dotterelhoist_fleet::order::{Order, Outcome};
use dotterelhoist_fleet::Name;
use smol::net::TcpStream;

use crate::http::{within, Connection};
use crate::protocol::Protocol;

/// Time for an order to be answered.
const ORDER_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time for a question for the state to be answered.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);
/// Longest head of an answer.
const HEAD_MAX: usize = 16 << 10;
/// Longest body of an answer.
const BODY_MAX: usize = 64 << 10;

/// An answer of an endpoint.
struct Reply {
    status: u16,
    body: bytes::Bytes,
}

/// Why there is no answer.
enum Silence {
    Refused,
    Unanswered,
}

/// Gives an order.
pub(crate) async fn give<Platform>(protocol: &Platform, order: &Order) -> Outcome
where
    Platform: Protocol,
{
    let body = protocol.encode_order(order);
    let id = Some(&*order.endpoint);
    let asked = ask::<Platform>(&order.address, "POST", Platform::ORDER_PATH, id, &body);
    match within(ORDER_TIMEOUT, asked).await {
        Some(Ok(reply)) => outcome(reply.status),
        Some(Err(Silence::Refused)) => Outcome::Refused,
        Some(Err(Silence::Unanswered)) | None => Outcome::Unanswered,
    }
}

/// Asks an endpoint for its state; the flag says that nothing listens at its address.
pub(crate) async fn probe<Platform>(
    protocol: &Platform,
    id: &Name,
    address: &Name,
) -> (Option<Box<Heartbeat>>, bool)
where
    Platform: Protocol,
{
    let asked = ask::<Platform>(address, "GET", Platform::REPORT_PATH, Some(id), b"");
    match within(PROBE_TIMEOUT, asked).await {
        Some(Ok(reply)) if reply.status == 200 => {
            (protocol.decode_report(id, &reply.body).ok().map(Box::new), false)
        }
        Some(Ok(reply)) => (None, reply.status == 421),
        Some(Err(Silence::Refused)) => (None, true),
        Some(Err(Silence::Unanswered)) | None => (None, false),
    }
}

fn outcome(status: u16) -> Outcome {
    match status {
        200 => Outcome::Done,
        202 => Outcome::Taken,
        412 => Outcome::Outdated,
        421 => Outcome::Misdirected,
        400 | 409 => Outcome::Unfit,
        _ => Outcome::Unanswered,
    }
}

async fn ask<Platform>(
    address: &Name,
    method: &str,
    path: &str,
    instance: Option<&str>,
    body: &[u8],
) -> Result<Reply, Silence>
where
    Platform: Protocol,
{
    let target: SocketAddr = address.parse().map_err(|_| Silence::Refused)?;
    let stream = TcpStream::connect(target).await.map_err(|error| match error.kind() {
        std::io::ErrorKind::ConnectionRefused => Silence::Refused,
        _ => Silence::Unanswered,
    })?;
    let mut connection = Connection::open(stream);
    let mut head = format!("{method} {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n");
    if let Some(instance) = instance {
        head.push_str(&format!("{}: {instance}\r\n", Platform::HEADERS.expected_instance));
    }
    if !body.is_empty() {
        head.push_str("Content-Type: application/json\r\n");
    }
    head.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    connection.write(&bytes).await.map_err(|_| Silence::Unanswered)?;
    let answer = connection.read_response_head(method, HEAD_MAX).await;
    let answer = answer.map_err(|_| Silence::Unanswered)?;
    let body = connection.read_body(answer.framing, BODY_MAX).await;
    Ok(Reply { status: answer.status, body: body.map_err(|_| Silence::Unanswered)? })
}
