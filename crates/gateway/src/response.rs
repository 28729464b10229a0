//! The response to a caller's request: forwards the responses of endpoints, in one or more attempts.

use std::cell::Cell;
use std::future::Future;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use dotterelhoist_core::clock::Instant;
use dotterelhoist_fleet::entry::{Attempt, End, Event, Loss, Refusal};
use futures_lite::{AsyncWriteExt, FutureExt};
use smol::channel::Receiver;
use smol::net::TcpStream;
use smol::Timer;

use crate::clock;
use crate::entry::Shell;
use crate::exchange::{fetch, EventStream, Incoming, Message, Reply};
use crate::http::{is_hop_by_hop, push_chunk, push_header, Framing, ResponseHead};
use crate::protocol::Protocol;

/// Progress of the response to the caller, which the current attempt and the one beside it share.
#[derive(Debug, Default)]
struct Progress {
    /// Whether a part of the response has been sent, so that it can only be continued.
    begun: Cell<bool>,
    /// Id of the last event that was sent.
    last_event_id: Cell<Option<u64>>,
    /// Whether a write to the caller is in progress. Another attempt can't take over then, because a
    /// part of a chunk may have been sent.
    writing: Cell<bool>,
    /// Number of writes to the caller so far.
    writes: Cell<u64>,
    /// Number of writes to the caller when the second attempt began; none while none runs.
    hedge_base: Cell<Option<u64>>,
}

impl Progress {
    /// Whether a part of the response has been sent since the second attempt began. What that
    /// attempt brings is then not the continuation.
    fn has_advanced(&self) -> bool {
        self.hedge_base.get().is_some_and(|base| base != self.writes.get())
    }

    /// Waits for the second attempt after the current one has ended. It is dropped if the caller has
    /// been sent more since it began.
    async fn wait_for<Second>(&self, second: Second) -> Result<Successor, End>
    where
        Second: Future<Output = Hedge>,
    {
        let advanced = self.has_advanced();
        let hedge = if advanced { None } else { Some(second.await) };
        self.hedge_base.set(None);
        let Hedge { attempt, reply } = hedge.ok_or(End::Dropped)?;
        Ok(Successor { attempt, reply: reply? })
    }
}

/// A second attempt whose response has arrived or which has failed.
struct Hedge {
    attempt: Attempt,
    reply: Result<Reply, End>,
}

/// What ended first while a second attempt could run.
enum Outcome {
    /// The current attempt.
    Ended(End),
    /// The second one, or it has something to forward.
    Hedged(Hedge),
}

/// What the response continues with after the current attempt.
struct Successor {
    attempt: Attempt,
    reply: Reply,
}

/// The response to a caller's request, across all attempts.
#[derive(Debug)]
pub(crate) struct Response {
    /// Connection to the caller.
    stream: TcpStream,
    /// Whether the connection stays open after the response.
    pub keep_alive: bool,
    progress: Rc<Progress>,
    /// The error response of the last attempt that ended as [`End::Failed`], held until the reducer
    /// decides whether it is forwarded.
    error_response: Option<Message>,
}

impl Response {
    /// Prepares a response on the caller's connection; nothing is sent yet.
    pub(crate) fn open(stream: TcpStream, keep_alive: bool) -> Response {
        Response { stream, keep_alive, progress: Rc::default(), error_response: None }
    }

    /// Whether sending the response has begun, so that a refusal can only cut it off.
    pub(crate) fn has_begun(&self) -> bool {
        self.progress.begun.get()
    }

    /// Sends the request to an endpoint and forwards the response, until the deadline of the
    /// attempt. An attempt from `hedges` runs beside it; the one whose response arrives first goes
    /// on. Returns how the last of them ended; the end of each other one is passed to the reducer.
    pub(crate) async fn run_attempt<Platform>(
        &mut self,
        shell: &Shell<Platform>,
        incoming: &Incoming,
        attempt: Attempt,
        hedges: &Receiver<Attempt>,
    ) -> End
    where
        Platform: Protocol,
    {
        let deadline = attempt.deadline;
        let attempts = async { Some(self.run_attempts(shell, incoming, attempt, hedges).await) };
        let timed_out = async {
            Timer::after(deadline.since(clock::now())).await;
            None
        };
        let end = attempts.or(timed_out).await;
        end.unwrap_or_else(|| End::TimedOut { begun: self.has_begun() })
    }

    /// Like [`Self::run_attempt`], without the deadline.
    async fn run_attempts<Platform>(
        &mut self,
        shell: &Shell<Platform>,
        incoming: &Incoming,
        mut attempt: Attempt,
        hedges: &Receiver<Attempt>,
    ) -> End
    where
        Platform: Protocol,
    {
        let id = incoming.id;
        let progress = self.progress.clone();
        let mut second = pin!(run_hedge(shell, incoming, &progress, hedges));
        let mut reply = None;
        loop {
            // `first` goes on while second attempts fail, until it ends or one takes over.
            let successor = {
                let mut first = pin!(self.exchange(shell, incoming, &attempt, reply.take()));
                loop {
                    let ended = async { Outcome::Ended(first.as_mut().await) };
                    let hedged = async { Outcome::Hedged(second.as_mut().await) };
                    match ended.or(hedged).await {
                        Outcome::Ended(end) => break Err(end),
                        Outcome::Hedged(hedge) => {
                            let takeover = hedge.take_over(&progress);
                            progress.hedge_base.set(None);
                            second.set(run_hedge(shell, incoming, &progress, hedges));
                            match takeover {
                                Ok(successor) => break Ok(successor),
                                Err(end) => shell.apply(Event::HedgeEnded(id, end)),
                            }
                        }
                    }
                }
            };
            let successor = match successor {
                Ok(successor) => {
                    shell.apply(Event::HedgeAdopted(id));
                    successor
                }
                Err(end) if end == End::Answered => return end,
                Err(end) if progress.hedge_base.get().is_none() && hedges.is_empty() => return end,
                Err(end) => {
                    shell.apply(Event::AttemptEnded(id, end));
                    let result = progress.wait_for(second.as_mut()).await;
                    second.set(run_hedge(shell, incoming, &progress, hedges));
                    match result {
                        Ok(successor) => successor,
                        Err(end) => return end,
                    }
                }
            };
            attempt = successor.attempt;
            reply = Some(successor.reply);
        }
    }

    /// Forwards the response of an endpoint: `reply` if its beginning has arrived, or else the
    /// response to the request, which is sent first. An error response is only stored, for
    /// [`Self::send_error_response`].
    async fn exchange<Platform>(
        &mut self,
        shell: &Shell<Platform>,
        incoming: &Incoming,
        attempt: &Attempt,
        reply: Option<Reply>,
    ) -> End
    where
        Platform: Protocol,
    {
        let reply = match reply {
            Some(reply) => reply,
            None => {
                match fetch(shell, incoming, attempt, self.progress.last_event_id.get()).await {
                    Ok(reply) => reply,
                    Err(end) => return end,
                }
            }
        };
        match reply {
            Reply::Stream(stream) => self.forward_events(shell, incoming, attempt, *stream).await,
            // Only an event stream can continue a response that has begun.
            _ if self.has_begun() => End::Lost(Loss::NotContinued),
            Reply::Complete(message) => {
                shell.record_write(incoming.id, true);
                self.send_complete(&message).await;
                shell.record_write(incoming.id, false);
                End::Answered
            }
            Reply::Error(message) => {
                let status = message.head.status;
                self.error_response = Some(message);
                End::Failed { status }
            }
        }
    }

    /// Forwards a stream event by event.
    async fn forward_events<Platform>(
        &mut self,
        shell: &Shell<Platform>,
        incoming: &Incoming,
        attempt: &Attempt,
        mut stream: EventStream,
    ) -> End
    where
        Platform: Protocol,
    {
        loop {
            if stream.events.iter().any(|event| event.has_data && event.id.is_none()) {
                shell.record_event_without_id(incoming.id);
            }
            let bytes = self.encode_events(&mut stream);
            if !bytes.is_empty() {
                shell.record_response_start(incoming.id);
                shell.record_write(incoming.id, true);
                self.send(&bytes).await;
                shell.record_write(incoming.id, false);
            }
            if stream.ended {
                stream.release(shell, attempt);
                return End::Answered;
            }
            if let Err(end) = stream.fill(shell, &incoming.request_id, &attempt.target).await {
                return end;
            }
        }
    }

    /// Takes the events that the caller does not have from a stream and encodes them, after the head
    /// if the response has not begun, and before the last chunk if the stream has ended.
    fn encode_events(&mut self, stream: &mut EventStream) -> Vec<u8> {
        let mut last_event_id = self.progress.last_event_id.get();
        let mut bytes = match self.has_begun() {
            true => Vec::new(),
            false => encode_head(&stream.head, Framing::Chunked, self.keep_alive),
        };
        for event in stream.events.drain(..) {
            if !event.is_known(last_event_id) {
                last_event_id = event.id.or(last_event_id);
                push_chunk(&mut bytes, &event.bytes);
            }
        }
        if stream.ended {
            bytes.extend_from_slice(b"0\r\n\r\n");
        }
        self.progress.last_event_id.set(last_event_id);
        bytes
    }

    /// Forwards the held error response of an endpoint.
    pub(crate) async fn send_error_response(&mut self) {
        if let Some(message) = self.error_response.take() {
            self.send_complete(&message).await;
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
        if self.has_begun() {
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
        self.send(head.as_bytes()).await;
    }

    /// Sends a response whose body has been read completely.
    async fn send_complete(&mut self, message: &Message) {
        let Message { head, body, .. } = message;
        let mut bytes = encode_head(head, Framing::Length(body.len() as u64), self.keep_alive);
        bytes.extend_from_slice(body);
        self.send(&bytes).await;
    }

    /// Writes to the caller. After an error this never returns, because the caller has
    /// disconnected; `wait_for_disconnect`, which runs concurrently while a request is handled,
    /// then ends the request.
    async fn send(&mut self, bytes: &[u8]) {
        let progress = &self.progress;
        progress.begun.set(true);
        progress.writes.set(progress.writes.get() + 1);
        progress.writing.set(true);
        if self.stream.write_all(bytes).await.is_err() {
            self.keep_alive = false;
            std::future::pending::<()>().await;
        }
        self.progress.writing.set(false);
    }
}

impl Hedge {
    /// The response with which this attempt takes over from the current one, or how it ends: it has
    /// failed, or the current one has sent something to the caller meanwhile.
    fn take_over(self, progress: &Progress) -> Result<Successor, End> {
        match self.reply? {
            Reply::Error(message) => Err(End::Failed { status: message.head.status }),
            _ if progress.has_advanced() || progress.writing.get() => Err(End::Dropped),
            Reply::Complete(_) if progress.begun.get() => Err(End::Lost(Loss::NotContinued)),
            reply => Ok(Successor { attempt: self.attempt, reply }),
        }
    }
}

/// Waits for a second attempt and runs it until its response can be forwarded.
async fn run_hedge<Platform>(
    shell: &Shell<Platform>,
    incoming: &Incoming,
    progress: &Progress,
    hedges: &Receiver<Attempt>,
) -> Hedge
where
    Platform: Protocol,
{
    let Ok(attempt) = hedges.recv().await else { return std::future::pending().await };
    progress.hedge_base.set(Some(progress.writes.get()));
    let reply = fetch(shell, incoming, &attempt, progress.last_event_id.get()).await;
    Hedge { attempt, reply }
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

/// Time at which a caller stops waiting. `header` is the value of its deadline header in
/// milliseconds from `now`; if it is missing or invalid, the deadline is `default` after `now`.
pub(crate) fn parse_deadline(header: Option<&str>, default: Duration, now: Instant) -> Instant {
    let timeout_ms = header.and_then(|header| header.parse::<u64>().ok());
    now + timeout_ms.map_or(default, Duration::from_millis)
}
