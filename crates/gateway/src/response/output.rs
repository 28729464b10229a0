//! What is written to the caller.

use std::rc::Rc;

use dotterelhoist_fleet::entry::Refusal;
use futures_lite::AsyncWriteExt;
use smol::net::TcpStream;

use crate::exchange::{EventStream, Message};
use crate::http::{is_hop_by_hop, push_chunk, push_header, Framing, ResponseHead};

use super::progress::Progress;

/// Last chunk of a body, and its empty trailer section.
const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// Longest body that is copied behind its head, to be written at once; a longer one is written by
/// itself.
const MAX_COPIED_BYTES: usize = 64 << 10;

/// The caller's end of a response.
#[derive(Debug)]
pub(super) struct Output {
    /// Connection to the caller.
    pub stream: TcpStream,
    /// Whether the connection stays open after the response.
    pub keep_alive: bool,
    pub progress: Rc<Progress>,
}

impl Output {
    /// Takes the events that the caller does not have from a stream and encodes them: after the head
    /// if the response has not begun, and with the last chunk if the stream is complete. A stream is
    /// sent in chunks whatever frames the endpoint's, so that the caller sees by the missing last chunk
    /// that it is cut, also if this daemon ends.
    pub fn encode_events(&self, stream: &mut EventStream) -> Vec<u8> {
        let mut last_event_id = self.progress.last_event_id.get();
        let mut bytes = match self.progress.status.get() {
            Some(_) => Vec::new(),
            None => encode_head(&stream.head, Framing::Chunked, self.keep_alive),
        };
        for event in stream.events.drain(..) {
            if !event.is_known(last_event_id) {
                last_event_id = event.id.or(last_event_id);
                push_chunk(&mut bytes, &event.bytes);
            }
        }
        if stream.ended {
            bytes.extend_from_slice(LAST_CHUNK);
        }
        self.progress.last_event_id.set(last_event_id);
        bytes
    }

    /// Sends a response whose body has been read completely, with its length.
    pub async fn send_complete(&mut self, message: &Message) {
        let Message { head, body, .. } = message;
        let mut bytes = encode_head(head, Framing::Length(body.len() as u64), self.keep_alive);
        if body.len() > MAX_COPIED_BYTES {
            self.send(head.status, &bytes).await;
            self.send(head.status, body).await;
            return;
        }
        bytes.extend_from_slice(body);
        self.send(head.status, &bytes).await;
    }

    /// Sends a refusal by the daemon itself, as the response to the request `request_id`, or without
    /// an id if that is empty.
    pub async fn send_refusal(&mut self, id_header: &str, request_id: &str, refusal: &Refusal) {
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
        self.send(status, head.as_bytes()).await;
    }

    /// Writes a part of a response with this status to the caller. After an error this never returns, because the caller has disconnected;
    /// `wait_for_disconnect`, which runs concurrently while a request is handled, then ends the request.
    pub async fn send(&mut self, status: u16, bytes: &[u8]) {
        self.progress.start_write(status);
        if self.stream.write_all(bytes).await.is_err() {
            self.keep_alive = false;
            std::future::pending::<()>().await;
        }
        self.progress.writing.set(false);
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
