//! Callers of a deployment: what they send and what they receive.

use std::net::SocketAddr;
use std::time::Duration;

use dotterelhoist_gateway::http::{within, BodyReader, Connection, Framing};
use smol::net::TcpStream;

use super::engine::unlimited;

/// API key of the tenant.
pub const API_KEY: &str = "key-of-families";
/// Longest body of a response.
pub const MAX_BODY_BYTES: usize = 16 << 20;
/// Time after which a request without a complete response counts as failed.
pub const RESPONSE_TIMEOUT: Duration = Duration::from_secs(8);
/// Path on the route whose requests are not idempotent.
pub const BOOK_PATH: &str = "/book/x";

/// A response to a caller.
#[derive(Debug)]
pub struct Reply {
    pub status: u16,
    /// Request id that the response names.
    pub id: Option<String>,
    /// Seconds after which the caller may retry.
    pub retry_after: Option<f64>,
    /// Whether the response has the `Dotterelhoist-Response-Seal` header, which an endpoint sets.
    pub sealed: bool,
    pub body: String,
}

/// What told a caller that the body of a response is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyEnd {
    /// The length or the chunks of the body.
    Framed,
    /// The connection was closed, and nothing else can tell.
    Closed,
    /// The body broke off.
    Cut,
}

/// What a caller received of a response.
#[derive(Debug, PartialEq, Eq)]
pub struct Received {
    pub status: u16,
    /// Body as far as it arrived.
    pub body: String,
    pub end: BodyEnd,
}

/// Two responses on one connection; none for one that is not complete.
#[derive(Debug, Default)]
pub struct Exchange {
    pub reply: Option<Reply>,
    /// Response to the booking that was sent after the first response.
    pub next: Option<Reply>,
}

/// Connection of a caller that is kept open.
pub struct Caller(pub Connection);

impl Caller {
    /// Sends a booking with a body of this length and returns the response, none if it is not
    /// complete within the timeout.
    pub fn book(&mut self, id: &str, body_bytes: usize) -> Option<Reply> {
        let bytes = request(id, BOOK_PATH, &"s".repeat(body_bytes));
        let exchange = exchange(&mut self.0, "POST", &bytes);
        smol::block_on(within(RESPONSE_TIMEOUT, exchange)).flatten()
    }

    /// Whether the daemon closes the connection within this time.
    pub fn is_closed_within(&mut self, time: Duration) -> bool {
        smol::block_on(within(time, self.0.fill())).is_some()
    }
}

/// What became of a request on a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    /// The connection was not established.
    Refused,
    /// The connection was reset before the request was sent.
    ResetUnsent,
    /// The response was complete and had this status.
    Answered(u16),
    /// The connection was established, and there was no complete response.
    Lost,
}

/// Sends a request on a new connection, `delay` after it was established.
pub fn call_on_new_connection(address: SocketAddr, bytes: &str, delay: Duration) -> Call {
    let call = async {
        let Ok(stream) = TcpStream::connect(address).await else { return Call::Refused };
        let mut connection = Connection::open(stream);
        smol::Timer::after(delay).await;
        let peeked = smol::future::poll_once(connection.stream.peek(&mut [0u8; 1])).await;
        if peeked.is_some_and(|peeked| peeked.is_err()) {
            return Call::ResetUnsent;
        }
        match exchange(&mut connection, "POST", bytes).await {
            Some(reply) => Call::Answered(reply.status),
            None => Call::Lost,
        }
    };
    smol::block_on(within(RESPONSE_TIMEOUT, call)).unwrap_or(Call::Lost)
}

/// Sends a booking with this path.
pub fn book(address: SocketAddr, id: &str, path: &str) -> Option<Reply> {
    let headers = format!("Dotterelhoist-Request-Id: {id}\r\nAuthorization: Bearer {API_KEY}\r\n");
    send(address, "POST", path, &headers, "seat")
}

/// Sends a request on a new connection and returns the response, none if it is not complete within
/// the timeout.
pub fn send(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &str,
    body: &str,
) -> Option<Reply> {
    let exchange = async {
        let mut connection = Connection::open(TcpStream::connect(address).await.ok()?);
        let length = body.len();
        let bytes = format!(
            "{method} {path} HTTP/1.1\r\nHost: h.example\r\n{headers}Connection: close\r\n\
             Content-Length: {length}\r\n\r\n{body}"
        );
        exchange(&mut connection, method, &bytes).await
    };
    smol::block_on(within(RESPONSE_TIMEOUT, exchange)).flatten()
}

/// Sends the bytes of a request and returns the response, none if it is not complete.
pub async fn exchange(connection: &mut Connection, method: &str, bytes: &str) -> Option<Reply> {
    connection.write(bytes.as_bytes()).await.ok()?;
    let head = connection.read_response_head(method, 16 << 10).await.ok()?;
    let body = connection.read_body(head.framing, MAX_BODY_BYTES, &mut unlimited()).await.ok()?;
    Some(Reply {
        status: head.status,
        id: head.headers.find("dotterelhoist-request-id").map(str::to_owned),
        retry_after: head.headers.find("retry-after").and_then(|after| after.parse().ok()),
        sealed: head.headers.find("dotterelhoist-response-seal").is_some(),
        body: String::from_utf8_lossy(&body).into_owned(),
    })
}

/// Receives a response up to the end of its body, whatever that is.
pub async fn receive(connection: &mut Connection) -> Option<Received> {
    let head = connection.read_response_head("POST", 16 << 10).await.ok()?;
    let mut reader = BodyReader::new(head.framing);
    let mut body = String::new();
    let end = loop {
        match connection.read_part(&mut reader).await {
            Ok(Some(part)) => body.push_str(&String::from_utf8_lossy(&part)),
            Ok(None) if head.framing == Framing::UntilClose => break BodyEnd::Closed,
            Ok(None) => break BodyEnd::Framed,
            Err(_) => break BodyEnd::Cut,
        }
    };
    Some(Received { status: head.status, body, end })
}

/// Bytes of a request of the tenant after which the connection stays open.
pub fn request(id: &str, path: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "POST {path} HTTP/1.1\r\nHost: h.example\r\nDotterelhoist-Request-Id: {id}\r\n\
         Authorization: Bearer {API_KEY}\r\nDotterelhoist-Deadline-Ms: 6000\r\n\
         Dotterelhoist-Model: m\r\nContent-Length: {length}\r\n\r\n{body}"
    )
}
