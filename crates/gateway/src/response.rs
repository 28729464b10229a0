//! Sends a caller's request to endpoints, in one or more attempts, and forwards the response to
//! the caller.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use dotterelhoist_core::clock::Instant;
use dotterelhoist_fleet::document::Kind;
use dotterelhoist_fleet::entry::{Attempt, End, Refusal};
use dotterelhoist_fleet::Name;
use futures_lite::{AsyncWriteExt, FutureExt};
use smol::channel::Receiver;
use smol::net::TcpStream;
use smol::Timer;

use crate::clock;
use crate::entry::Shell;
use crate::events::Splitter;
use crate::http::{is_hop_by_hop, BodyReader, Connection, Framing, RequestHead, ResponseHead};
use crate::protocol::Protocol;

/// Longest head of an endpoint's response; a longer one ends the attempt as [`End::Lost`].
const MAX_HEAD_BYTES: usize = 64 << 10;
/// Longest body of a response that is read completely before it is forwarded; a longer one ends the
/// attempt as [`End::Lost`]. Event streams are not limited.
const MAX_BODY_BYTES: usize = 16 << 20;

/// A request as received from the caller.
#[derive(Debug)]
pub(crate) struct Incoming {
    /// Number that is unique within this run of the daemon.
    pub id: u64,
    /// Id that the caller assigned.
    pub request_id: Name,
    /// Head as the caller sent it.
    pub head: RequestHead,
    /// Complete body.
    pub body: Bytes,
}

/// An endpoint's error response, held until the reducer decides whether it is forwarded.
#[derive(Debug)]
struct ErrorResponse {
    head: ResponseHead,
    body: Bytes,
}

/// The response to a caller's request, across all attempts.
#[derive(Debug)]
pub(crate) struct Response {
    /// Connection to the caller.
    stream: TcpStream,
    /// Whether the connection stays open after the response.
    pub keep_alive: bool,
    /// Whether sending the response has begun, so that it can only be continued, not replaced.
    begun: bool,
    /// Whether a write to the caller is in progress. An attempt that ends meanwhile may have left
    /// an incomplete chunk behind, so no other attempt can continue the response.
    writing: bool,
    /// Id of the last event that was forwarded to the caller.
    last_event_id: Option<u64>,
    /// The error response of the last attempt that ended as [`End::Failed`].
    error_response: Option<ErrorResponse>,
}

impl Response {
    /// Prepares a response on the caller's connection; nothing is sent yet.
    pub(crate) fn open(stream: TcpStream, keep_alive: bool) -> Response {
        Response {
            stream,
            keep_alive,
            begun: false,
            writing: false,
            last_event_id: None,
            error_response: None,
        }
    }

    /// Whether sending the response has begun, so that a refusal can only cut it off.
    pub(crate) fn has_begun(&self) -> bool {
        self.begun
    }

    /// Sends the request to an endpoint and forwards the response, until the deadline of the
    /// attempt or a message on `abandon`. Returns how the attempt ended.
    pub(crate) async fn run_attempt<Platform>(
        &mut self,
        shell: &Shell<Platform>,
        incoming: &Incoming,
        attempt: &Attempt,
        abandon: &Receiver<()>,
    ) -> End
    where
        Platform: Protocol,
    {
        let begun = self.begun;
        let exchange = self.exchange(shell, incoming, attempt);
        let timed_out = async {
            Timer::after(attempt.deadline.since(clock::now())).await;
            End::TimedOut { begun }
        };
        let abandoned = async {
            if abandon.recv().await.is_err() {
                std::future::pending::<()>().await;
            }
            End::Lost { open: true, broken: false }
        };
        let end = exchange.or(abandoned).or(timed_out).await;
        match end {
            End::Lost { broken, .. } if self.writing => End::Lost { open: false, broken },
            End::TimedOut { .. } => End::TimedOut { begun: self.begun },
            end => end,
        }
    }

    /// Sends the request to an endpoint, checks the response and forwards it. An error response is
    /// only stored, for [`Self::send_error_response`]. A response with a wrong or missing request
    /// id, without a signature or with a content encoding ends the attempt as [`End::Lost`].
    async fn exchange<Platform>(
        &mut self,
        shell: &Shell<Platform>,
        incoming: &Incoming,
        attempt: &Attempt,
    ) -> End
    where
        Platform: Protocol,
    {
        let Some(mut connection) = shell.pool.connect(&attempt.address).await else {
            return End::Unreachable;
        };
        let bytes = self.encode_request::<Platform>(incoming, attempt);
        if connection.write(&bytes).await.is_err() {
            return End::Lost { open: true, broken: true };
        }
        let head = match connection.read_response_head(&incoming.head.method, MAX_HEAD_BYTES).await
        {
            Ok(head) => head,
            Err(_) => return End::Lost { open: true, broken: true },
        };
        shell.record_response_head(&attempt.target, &head);
        let headers = &head.headers;
        let echoed = headers.find(Platform::HEADERS.request_id);
        let declined = headers.find(Platform::HEADERS.declined).is_some() || head.status == 421;
        if echoed.is_some_and(|echoed| echoed != &*incoming.request_id) {
            return End::Lost { open: true, broken: false };
        }
        if declined {
            let status = head.status;
            if connection.read_body(head.framing, MAX_BODY_BYTES).await.is_ok() {
                return_connection(shell, attempt, connection, &head);
            }
            return End::Declined { status };
        }
        let success = (200..300).contains(&head.status);
        let has_required_headers =
            headers.find(Platform::HEADERS.signature).is_some() && echoed.is_some();
        if !has_required_headers || headers.find("content-encoding").is_some() {
            return End::Lost { open: true, broken: false };
        }
        let is_event_stream = headers.find("content-type").is_some_and(|kind| {
            kind.starts_with("text/event-stream") && attempt.route.kind == Kind::Streaming
        });
        if success && is_event_stream {
            return self.forward_events(shell, incoming, attempt, connection, head).await;
        }
        // Only an event stream can continue a response that has begun.
        if self.begun {
            return End::Lost { open: true, broken: false };
        }
        let Ok(body) = connection.read_body(head.framing, MAX_BODY_BYTES).await else {
            return End::Lost { open: true, broken: true };
        };
        return_connection(shell, attempt, connection, &head);
        if !success {
            let status = head.status;
            self.error_response = Some(ErrorResponse { head, body });
            return End::Failed { status };
        }
        self.send_complete(&head, &body).await;
        End::Answered
    }

    /// Encodes the request to the endpoint: hop-by-hop headers and the caller's key are removed,
    /// and the headers for the endpoint are set.
    fn encode_request<Platform>(&self, incoming: &Incoming, attempt: &Attempt) -> Vec<u8>
    where
        Platform: Protocol,
    {
        let names = Platform::HEADERS;
        let removed_names =
            [names.deadline, names.expected_instance, names.workspace, "authorization", "expect"];
        let head = &incoming.head;
        let mut bytes = Vec::with_capacity(1024 + incoming.body.len());
        bytes.extend_from_slice(format!("{} {} HTTP/1.1\r\n", head.method, head.target).as_bytes());
        for header in &head.headers.0 {
            let name = &*header.name;
            let replaced_by_resume =
                self.last_event_id.is_some() && name.eq_ignore_ascii_case(names.last_event_id);
            let removed = removed_names.iter().any(|removed| name.eq_ignore_ascii_case(removed));
            if is_hop_by_hop(name)
                || removed
                || replaced_by_resume
                || head.headers.list_contains("connection", name)
            {
                continue;
            }
            push_header(&mut bytes, name, &header.value);
        }
        let remaining_ms = attempt.deadline.since(clock::now()).as_millis();
        push_header(&mut bytes, names.deadline, remaining_ms.to_string().as_bytes());
        push_header(&mut bytes, names.expected_instance, attempt.target.as_bytes());
        if let Some(workspace) = &attempt.workspace {
            push_header(&mut bytes, names.workspace, workspace.as_bytes());
        }
        if let Some(last) = self.last_event_id {
            push_header(&mut bytes, names.last_event_id, last.to_string().as_bytes());
        }
        if !incoming.body.is_empty() || head.framing != Framing::Length(0) {
            push_header(&mut bytes, "Content-Length", incoming.body.len().to_string().as_bytes());
        }
        bytes.extend_from_slice(b"\r\n");
        bytes.extend_from_slice(&incoming.body);
        bytes
    }

    /// Forwards a stream event by event. Events whose id is not above that of the last forwarded
    /// event are skipped, because an earlier attempt has forwarded them.
    async fn forward_events<Platform>(
        &mut self,
        shell: &Shell<Platform>,
        incoming: &Incoming,
        attempt: &Attempt,
        mut connection: Connection,
        head: ResponseHead,
    ) -> End
    where
        Platform: Protocol,
    {
        let mut body = BodyReader::new(head.framing);
        let mut splitter = Splitter::default();
        let mut out = BytesMut::new();
        loop {
            let part = connection.read_part(&mut body).await;
            let Ok(part) = part else { return End::Lost { open: true, broken: true } };
            let Some(part) = part else { break };
            splitter.push(&part);
            shell.record_progress(&attempt.target);
            while let Some(event) = splitter.next() {
                let already_sent = event.id.is_some() && event.id <= self.last_event_id;
                if already_sent {
                    continue;
                }
                self.last_event_id = event.id.or(self.last_event_id);
                push_chunk(&mut out, &event.bytes);
            }
            if out.is_empty() {
                continue;
            }
            shell.record_response_start(incoming.id);
            if !self.begun {
                let mut first = encode_head(&head, Framing::Chunked, self.keep_alive);
                first.extend_from_slice(&out);
                out = BytesMut::from(&first[..]);
                self.begun = true;
            }
            self.send(&out).await;
            out.clear();
        }
        let rest = splitter.take_rest();
        if !self.begun {
            out.extend_from_slice(&encode_head(&head, Framing::Chunked, self.keep_alive));
            self.begun = true;
        }
        if !rest.is_empty() {
            push_chunk(&mut out, &rest);
        }
        out.extend_from_slice(b"0\r\n\r\n");
        self.send(&out).await;
        return_connection(shell, attempt, connection, &head);
        End::Answered
    }

    /// Forwards the held error response of an endpoint.
    pub(crate) async fn send_error_response(&mut self) {
        if let Some(ErrorResponse { head, body }) = self.error_response.take() {
            self.send_complete(&head, &body).await;
        }
    }

    /// Sends a refusal by the daemon itself. If the response has begun, nothing is sent, and the
    /// connection is closed so that the caller notices the truncation.
    pub(crate) async fn send_refusal(
        &mut self,
        id_header: &str,
        request_id: &str,
        refusal: &Refusal,
    ) {
        if self.begun {
            self.keep_alive = false;
            return;
        }
        let status = refusal.reason.status();
        let body = format!("{{\"error\":\"{}\"}}\n", refusal.reason);
        let mut head = format!("HTTP/1.1 {status} {}\r\n", reason_phrase(status));
        if !request_id.is_empty() {
            head.push_str(&format!("{id_header}: {request_id}\r\n"));
        }
        if let Some(delay) = refusal.retry_after {
            head.push_str(&format!("Retry-After: {:.3}\r\n", delay.as_secs_f64()));
        }
        if !self.keep_alive {
            head.push_str("Connection: close\r\n");
        }
        head.push_str(&format!(
            "Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        ));
        self.begun = true;
        self.send(head.as_bytes()).await;
    }

    /// Sends a response whose body has been read completely.
    async fn send_complete(&mut self, head: &ResponseHead, body: &[u8]) {
        let mut bytes = encode_head(head, Framing::Length(body.len() as u64), self.keep_alive);
        bytes.extend_from_slice(body);
        self.begun = true;
        self.send(&bytes).await;
    }

    /// Writes to the caller. After an error this never returns, because the caller has
    /// disconnected; `wait_for_disconnect`, which runs concurrently while a request is handled,
    /// then ends the request.
    async fn send(&mut self, bytes: &[u8]) {
        self.writing = true;
        if self.stream.write_all(bytes).await.is_err() {
            self.keep_alive = false;
            std::future::pending::<()>().await;
        }
        self.writing = false;
    }
}

/// Returns a connection to the pool after its response has been read completely.
fn return_connection<Platform>(
    shell: &Shell<Platform>,
    attempt: &Attempt,
    connection: Connection,
    head: &ResponseHead,
) where
    Platform: Protocol,
{
    if head.keep_alive {
        shell.pool.put_back(&attempt.address, connection, head.headers.find("keep-alive"));
    }
}

/// Encodes the head of the response to the caller: the endpoint's head without its hop-by-hop
/// headers, and with headers for `framing`.
fn encode_head(head: &ResponseHead, framing: Framing, keep_alive: bool) -> Vec<u8> {
    let mut bytes =
        format!("HTTP/1.1 {} {}\r\n", head.status, reason_phrase(head.status)).into_bytes();
    for header in &head.headers.0 {
        if is_hop_by_hop(&header.name) || head.headers.list_contains("connection", &header.name) {
            continue;
        }
        push_header(&mut bytes, &header.name, &header.value);
    }
    if !keep_alive {
        push_header(&mut bytes, "Connection", b"close");
    }
    match framing {
        Framing::Length(_) if matches!(head.status, 204 | 304) => {}
        Framing::Length(length) => {
            push_header(&mut bytes, "Content-Length", length.to_string().as_bytes());
        }
        _ => push_header(&mut bytes, "Transfer-Encoding", b"chunked"),
    }
    bytes.extend_from_slice(b"\r\n");
    bytes
}

fn push_header(bytes: &mut Vec<u8>, name: &str, value: &[u8]) {
    bytes.extend_from_slice(name.as_bytes());
    bytes.extend_from_slice(b": ");
    bytes.extend_from_slice(value);
    bytes.extend_from_slice(b"\r\n");
}

/// Appends a chunk in chunked transfer encoding.
fn push_chunk(out: &mut BytesMut, bytes: &[u8]) {
    out.extend_from_slice(format!("{:x}\r\n", bytes.len()).as_bytes());
    out.extend_from_slice(bytes);
    out.extend_from_slice(b"\r\n");
}

fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        204 => "No Content",
        304 => "Not Modified",
        307 => "Temporary Redirect",
        400 => "Bad Request",
        401 => "Unauthorized",
        404 => "Not Found",
        413 => "Content Too Large",
        421 => "Misdirected Request",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Answer",
    }
}

/// Time at which a caller stops waiting. `header` is the value of its deadline header in
/// milliseconds from `now`; if it is missing or invalid, the deadline is `default` after `now`.
pub(crate) fn parse_deadline(header: Option<&str>, default: Duration, now: Instant) -> Instant {
    let timeout_ms = header.and_then(|header| header.parse::<u64>().ok());
    now + timeout_ms.map_or(default, Duration::from_millis)
}
