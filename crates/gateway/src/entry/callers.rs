//! Connections of callers: reads their requests, one after the other, and answers them.

use std::time::Duration;

use dotterelhoist_fleet::document::Limits;
use dotterelhoist_fleet::entry::{Decision, End, Event, Reason, Refusal, Request};
use futures_lite::FutureExt;
use smol::channel::bounded;
use smol::net::TcpStream;
use smol::Timer;

use crate::clock;
use crate::exchange::{Incoming, RESOLVED_BY};
use crate::http::{within, Connection, Error, RequestHead};
use crate::protocol::Protocol;
use crate::response::Response;

use super::parsing::parse_request;
use super::{RequestHandle, Shell, LAST_REQUEST_TIMEOUT};

/// Time for a request body to arrive after the head; after that the connection is closed.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Bytes of pipelined requests that are buffered while a request is served. Once that many
/// have arrived, the connection is no longer read, and a disconnect of the caller is not noticed.
const MAX_READ_AHEAD_BYTES: usize = 64 << 10;
/// Delay after which a caller may retry whose request body found no memory.
const RETRY_AFTER_NO_MEMORY: Duration = Duration::from_millis(200);

/// Who sends requests on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Peer {
    /// A caller.
    Caller,
    /// An entry daemon that relays the requests of its callers.
    EntryDaemon,
}

impl<Platform> Shell<Platform>
where
    Platform: Protocol,
{
    /// Serves the requests on the connection of a caller or another entry daemon, one after the other.
    pub(super) async fn serve(&self, stream: TcpStream, peer: Peer) {
        let mut connection = Connection::open(stream);
        loop {
            if connection.buffer.is_empty() && !self.wait_for_request(&mut connection).await {
                break;
            }
            let limits = self.limits();
            let head = connection.read_request_head(limits.head_bytes);
            let keep_alive = match within(limits.head_timeout, head).await {
                Some(Ok(head)) => self.serve_request(&mut connection, peer, head, limits).await,
                Some(Err(error)) => {
                    self.refuse_unreadable(&connection, &error).await;
                    false
                }
                None => {
                    self.meter.count("closed.head_timeout");
                    false
                }
            };
            if !keep_alive {
                break;
            }
        }
    }

    /// Waits for the first bytes of a request and returns whether any have arrived. Otherwise the
    /// idle timeout is over, the caller has closed the connection, or idle connections are to be
    /// closed. The idle timeout is the one in force at the start or the end of the wait, whichever is
    /// longer, because the caller may know either.
    async fn wait_for_request(&self, connection: &mut Connection) -> bool {
        let started_at = clock::now();
        let arrived = async { matches!(connection.fill().await, Ok(count) if count > 0) };
        let close_requested = async {
            self.close_idle.1.recv().await.ok();
            let idle_time = clock::now().since(started_at);
            Timer::after(LAST_REQUEST_TIMEOUT.saturating_sub(idle_time)).await;
            false
        };
        let timed_out = async {
            loop {
                let end = started_at + self.limits().idle_timeout;
                let time_left = end.since(clock::now());
                if time_left.is_zero() {
                    self.meter.count("closed.idle");
                    return false;
                }
                Timer::after(time_left).await;
            }
        };
        arrived.or(close_requested).or(timed_out).await
    }

    /// Refuses a request that could not be read. There is no response if the connection failed.
    async fn refuse_unreadable(&self, connection: &Connection, error: &Error) {
        let reason = match error {
            Error::HeadTooLong | Error::TrailerTooLong => Reason::HeadTooLong,
            Error::BodyTooLong => Reason::BodyTooLong,
            Error::NoMemory => Reason::NoMemory,
            Error::Malformed(_) | Error::ChunksTooLong | Error::CutInHead | Error::CutInBody => {
                Reason::Malformed
            }
            Error::Closed | Error::Broken(_) | Error::InterimTooLong => return,
        };
        self.meter.count(&format!("refused.{reason}"));
        let mut response = Response::open(connection.stream.clone(), false);
        let retry_after = (reason == Reason::NoMemory).then_some(RETRY_AFTER_NO_MEMORY);
        response.send_refusal("", "", &Refusal { reason, retry_after }).await;
    }

    /// Serves one request and returns whether the connection stays open.
    async fn serve_request(
        &self,
        connection: &mut Connection,
        peer: Peer,
        head: RequestHead,
        limits: Limits,
    ) -> bool {
        let started_at = clock::now();
        if head.headers.list_contains("expect", "100-continue") {
            connection.write(b"HTTP/1.1 100 Continue\r\n\r\n").await.ok();
        }
        let mut reservation = self.request_memory.reserve();
        let body = connection.read_body(head.framing, limits.body_bytes, &mut reservation);
        let body = match within(BODY_TIMEOUT, body).await {
            Some(Ok(body)) => body,
            Some(Err(error)) => {
                self.refuse_unreadable(connection, &error).await;
                return false;
            }
            None => {
                self.meter.count("closed.body_timeout");
                return false;
            }
        };
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        let mut request = parse_request::<Platform>(id, &head, &body, started_at);
        if peer == Peer::EntryDaemon {
            request.relayed = true;
            let resolved_by = head.headers.find(RESOLVED_BY);
            request.resolved_by = resolved_by.and_then(|version| version.parse().ok());
        }
        let keep_alive = head.keep_alive && !self.state.borrow().is_stopping();
        let incoming = Incoming { id, request_id: request.request_id.clone(), head, body };
        if self.refuses_requests.get() {
            let refusal =
                Refusal { reason: Reason::Stopping, retry_after: Some(Duration::from_millis(50)) };
            let mut response = Response::open(connection.stream.clone(), false);
            response
                .send_refusal(Platform::HEADERS.request_id, &incoming.request_id, &refusal)
                .await;
            return false;
        }
        let mut response = Response::open(connection.stream.clone(), keep_alive);
        let handling = async {
            self.run_request(&mut response, &incoming, request).await;
            true
        };
        let completed = handling.or(wait_for_disconnect(connection)).await;
        self.handles.borrow_mut().remove(&id);
        if !completed {
            self.meter.count("caller_gone");
            self.apply(Event::CallerGone(id));
            return false;
        }
        self.meter.record_latency("request", clock::now().since(started_at));
        response.keep_alive()
    }

    /// Passes a request to the reducer and carries out the decisions on it up to the final
    /// response.
    async fn run_request(&self, response: &mut Response, incoming: &Incoming, request: Request) {
        let (decisions, decision_receiver) = bounded(4);
        let (hedges, hedge_receiver) = bounded(1);
        self.handles.borrow_mut().insert(incoming.id, RequestHandle { decisions, hedges });
        self.meter.count(if request.relayed { "received.relayed" } else { "received" });
        self.apply(Event::RequestArrived(Box::new(request)));
        while let Ok(decision) = decision_receiver.recv().await {
            match decision {
                Decision::Send(attempt) => {
                    self.meter.count(if attempt.number > 1 { "sent.again" } else { "sent.first" });
                    if attempt.relay {
                        self.meter.count("sent.relay");
                    }
                    let end = response.run_attempt(self, incoming, attempt, &hedge_receiver).await;
                    let answered = end == End::Answered;
                    self.apply(Event::AttemptEnded(incoming.id, end));
                    if answered {
                        return;
                    }
                }
                Decision::Refuse(refusal) => {
                    if response.has_begun() {
                        self.meter.count(&format!("cut.{}", refusal.reason));
                    }
                    let header = Platform::HEADERS.request_id;
                    response.send_refusal(header, &incoming.request_id, &refusal).await;
                    return;
                }
                // Sent to the current attempt by `carry_out`.
                Decision::Hedge(_) => {}
                Decision::ForwardFailure => {
                    response.send_error_response().await;
                    return;
                }
            }
        }
    }
}

/// Waits until the caller's connection is closed or fails, and then returns `false`. Once
/// [`MAX_READ_AHEAD_BYTES`] are buffered, it never returns.
async fn wait_for_disconnect(connection: &mut Connection) -> bool {
    while connection.buffer.len() < MAX_READ_AHEAD_BYTES {
        match connection.fill().await {
            Ok(0) | Err(_) => return false,
            Ok(_) => {}
        }
    }
    std::future::pending().await
}
