//! One request: the attempts at endpoints, and the answer to the caller.

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

/// Longest head of an endpoint's answer.
const HEAD_MAX: usize = 64 << 10;
/// Longest answer that is read whole before it is passed on.
const BODY_MAX: usize = 16 << 20;

/// A request with its bytes.
#[derive(Debug)]
pub(crate) struct Incoming {
    /// Number within this run of the daemon.
    pub id: u64,
    /// Id that the caller gave it.
    pub name: Name,
    /// Head as the caller sent it.
    pub head: RequestHead,
    /// Whole body.
    pub body: Bytes,
}

/// An endpoint's answer that is kept until it is decided whether the caller gets it.
#[derive(Debug)]
struct Held {
    head: ResponseHead,
    body: Bytes,
}

/// The answer to a caller.
#[derive(Debug)]
pub(crate) struct Answer {
    stream: TcpStream,
    /// Whether the connection stays open behind the answer.
    pub keep: bool,
    /// Whether a part of the answer has been sent.
    begun: bool,
    /// Whether a write to the caller is under way.
    writing: bool,
    /// Id of the last event that the caller has.
    last_event: Option<u64>,
    held: Option<Held>,
}

impl Answer {
    /// Prepares the answer on the caller's connection.
    pub(crate) fn open(stream: TcpStream, keep: bool) -> Answer {
        Answer { stream, keep, begun: false, writing: false, last_event: None, held: None }
    }

    /// Sends a request to an endpoint and passes its answer on.
    pub(crate) async fn attempt<Platform>(
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
        let late = async {
            Timer::after(attempt.deadline.since(clock::now())).await;
            End::TimedOut { begun }
        };
        let abandoned = async {
            if abandon.recv().await.is_err() {
                std::future::pending::<()>().await;
            }
            End::Lost { open: true, broken: false }
        };
        let end = exchange.or(abandoned).or(late).await;
        match end {
            End::Lost { broken, .. } if self.writing => End::Lost { open: false, broken },
            End::TimedOut { .. } => End::TimedOut { begun: self.begun },
            end => end,
        }
    }

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
        let bytes = self.request_bytes::<Platform>(incoming, attempt);
        if connection.write(&bytes).await.is_err() {
            return End::Lost { open: true, broken: true };
        }
        let head = match connection.read_response_head(&incoming.head.method, HEAD_MAX).await {
            Ok(head) => head,
            Err(_) => return End::Lost { open: true, broken: true },
        };
        shell.note_answer(&attempt.target, &head.headers);
        let headers = &head.headers;
        let echoed = headers.find(Platform::HEADERS.request_id);
        let declined = headers.find(Platform::HEADERS.declined).is_some() || head.status == 421;
        if echoed.is_some_and(|echoed| echoed != &*incoming.name) {
            return End::Lost { open: true, broken: false };
        }
        if declined {
            let status = head.status;
            if connection.read_body(head.framing, BODY_MAX).await.is_ok() {
                keep(shell, attempt, connection, &head);
            }
            return End::Declined { status };
        }
        let success = (200..300).contains(&head.status);
        let signed = headers.find(Platform::HEADERS.signature).is_some() && echoed.is_some();
        if !signed || headers.find("content-encoding").is_some() {
            return End::Lost { open: true, broken: false };
        }
        let events = headers.find("content-type").is_some_and(|kind| {
            kind.starts_with("text/event-stream") && attempt.route.kind == Kind::Streaming
        });
        if success && events {
            return self.forward_events(shell, incoming, attempt, connection, head).await;
        }
        if self.begun {
            return End::Lost { open: true, broken: false };
        }
        let Ok(body) = connection.read_body(head.framing, BODY_MAX).await else {
            return End::Lost { open: true, broken: true };
        };
        keep(shell, attempt, connection, &head);
        if !success {
            let status = head.status;
            self.held = Some(Held { head, body });
            return End::Failed { status };
        }
        self.send_whole(&head, &body).await;
        End::Answered
    }

    /// Bytes of the request as the endpoint gets it.
    fn request_bytes<Platform>(&self, incoming: &Incoming, attempt: &Attempt) -> Vec<u8>
    where
        Platform: Protocol,
    {
        let names = Platform::HEADERS;
        let own =
            [names.deadline, names.expected_instance, names.workspace, "authorization", "expect"];
        let head = &incoming.head;
        let mut bytes = Vec::with_capacity(1024 + incoming.body.len());
        bytes.extend_from_slice(format!("{} {} HTTP/1.1\r\n", head.method, head.target).as_bytes());
        for header in &head.headers.0 {
            let name = &*header.name;
            let resumed =
                self.last_event.is_some() && name.eq_ignore_ascii_case(names.last_event_id);
            let replaced = own.iter().any(|own| name.eq_ignore_ascii_case(own));
            if is_hop_by_hop(name)
                || replaced
                || resumed
                || head.headers.list_contains("connection", name)
            {
                continue;
            }
            push_header(&mut bytes, name, &header.value);
        }
        let left = attempt.deadline.since(clock::now()).as_millis();
        push_header(&mut bytes, names.deadline, left.to_string().as_bytes());
        push_header(&mut bytes, names.expected_instance, attempt.target.as_bytes());
        if let Some(workspace) = &attempt.workspace {
            push_header(&mut bytes, names.workspace, workspace.as_bytes());
        }
        if let Some(last) = self.last_event {
            push_header(&mut bytes, names.last_event_id, last.to_string().as_bytes());
        }
        if !incoming.body.is_empty() || head.framing != Framing::Length(0) {
            push_header(&mut bytes, "Content-Length", incoming.body.len().to_string().as_bytes());
        }
        bytes.extend_from_slice(b"\r\n");
        bytes.extend_from_slice(&incoming.body);
        bytes
    }

    /// Passes on a stream event by event.
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
            shell.note_progress(&attempt.target);
            while let Some(event) = splitter.next() {
                let known = event.id.is_some() && event.id <= self.last_event;
                if known {
                    continue;
                }
                self.last_event = event.id.or(self.last_event);
                push_chunk(&mut out, &event.bytes);
            }
            if out.is_empty() {
                continue;
            }
            shell.note_begun(incoming.id);
            if !self.begun {
                let mut first = head_bytes(&head, Framing::Chunked, self.keep);
                first.extend_from_slice(&out);
                out = BytesMut::from(&first[..]);
                self.begun = true;
            }
            self.send(&out).await;
            out.clear();
        }
        let rest = splitter.take_rest();
        if !self.begun {
            out.extend_from_slice(&head_bytes(&head, Framing::Chunked, self.keep));
            self.begun = true;
        }
        if !rest.is_empty() {
            push_chunk(&mut out, &rest);
        }
        out.extend_from_slice(b"0\r\n\r\n");
        self.send(&out).await;
        keep(shell, attempt, connection, &head);
        End::Answered
    }

    /// Sends the failure that an endpoint answered with.
    pub(crate) async fn deliver(&mut self) {
        if let Some(Held { head, body }) = self.held.take() {
            self.send_whole(&head, &body).await;
        }
    }

    /// Sends a final answer of the daemon itself. A stream that has begun is broken off.
    pub(crate) async fn refuse(&mut self, request_header: &str, name: &str, refusal: &Refusal) {
        if self.begun {
            self.keep = false;
            return;
        }
        let status = refusal.reason.status();
        let body = format!("{{\"error\":\"{}\"}}\n", refusal.reason);
        let mut head = format!("HTTP/1.1 {status} {}\r\n", phrase(status));
        if !name.is_empty() {
            head.push_str(&format!("{request_header}: {name}\r\n"));
        }
        if let Some(span) = refusal.retry_after {
            head.push_str(&format!("Retry-After: {:.3}\r\n", span.as_secs_f64()));
        }
        if !self.keep {
            head.push_str("Connection: close\r\n");
        }
        head.push_str(&format!(
            "Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        ));
        self.begun = true;
        self.send(head.as_bytes()).await;
    }

    async fn send_whole(&mut self, head: &ResponseHead, body: &[u8]) {
        let mut bytes = head_bytes(head, Framing::Length(body.len() as u64), self.keep);
        bytes.extend_from_slice(body);
        self.begun = true;
        self.send(&bytes).await;
    }

    /// Writes to the caller. An error means that the caller has gone, which its connection shows to
    /// the watch on it.
    async fn send(&mut self, bytes: &[u8]) {
        self.writing = true;
        if self.stream.write_all(bytes).await.is_err() {
            self.keep = false;
            std::future::pending::<()>().await;
        }
        self.writing = false;
    }
}

/// Keeps the connection of an answer that was read whole.
fn keep<Platform>(
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

/// Head of an answer as the caller gets it.
fn head_bytes(head: &ResponseHead, framing: Framing, keep: bool) -> Vec<u8> {
    let mut bytes = format!("HTTP/1.1 {} {}\r\n", head.status, phrase(head.status)).into_bytes();
    for header in &head.headers.0 {
        if is_hop_by_hop(&header.name) || head.headers.list_contains("connection", &header.name) {
            continue;
        }
        push_header(&mut bytes, &header.name, &header.value);
    }
    if !keep {
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

fn push_chunk(out: &mut BytesMut, bytes: &[u8]) {
    out.extend_from_slice(format!("{:x}\r\n", bytes.len()).as_bytes());
    out.extend_from_slice(bytes);
    out.extend_from_slice(b"\r\n");
}

fn phrase(status: u16) -> &'static str {
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

/// Moment at which a caller stops waiting, by its header, or else `longest` from now.
pub(crate) fn deadline(stated: Option<&str>, longest: Duration, now: Instant) -> Instant {
    let millis = stated.and_then(|stated| stated.parse::<u64>().ok());
    now + millis.map_or(longest, Duration::from_millis)
}
