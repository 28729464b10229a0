//! One attempt to get a response from an endpoint: sends the request and reads the response up to
//! the first part that can be forwarded.

use std::time::Duration;

use bytes::Bytes;
use dotterelhoist_fleet::document::Kind;
use dotterelhoist_fleet::entry::{Attempt, End, Loss};
use dotterelhoist_fleet::Name;

use crate::clock;
use crate::entry::Shell;
use crate::events::{ends_inside_event, Event, Splitter};
use crate::http::{
    is_hop_by_hop, push_header, within, BodyReader, Connection, Error, Framing, Headers,
    RequestHead, ResponseHead,
};
use crate::memory::Reservation;
use crate::protocol::Protocol;
use crate::upstream;

/// Longest head of an endpoint's response; a longer one ends the attempt as [`End::Lost`].
const MAX_HEAD_BYTES: usize = 64 << 10;
/// Longest body of a response that is read completely before it is forwarded; a longer one ends the
/// attempt as [`End::Lost`]. Event streams are not limited.
const MAX_BODY_BYTES: usize = 16 << 20;

/// Bytes of events that the caller has, which one stream may repeat before others; a stream that
/// repeats more ends the attempt as [`End::Lost`].
const MAX_REPEATED_BYTES: usize = 1 << 20;
/// Longest body of a response that declines a request, after which the connection is reused.
const MAX_DECLINED_BODY_BYTES: usize = 16 << 10;
/// Time for the body of a response that declines a request; after that the connection is closed.
const DECLINED_BODY_TIMEOUT: Duration = Duration::from_millis(50);

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

/// A response of an endpoint, read as far as it has to be before it is forwarded.
#[derive(Debug)]
pub(crate) enum Reply {
    /// A successful response, complete.
    Complete(Message),
    /// A response with an error, complete.
    Error(Message),
    /// An event stream, up to an event that the caller does not have or to its end.
    Stream(Box<EventStream>),
}

/// A response that was read completely.
#[derive(Debug)]
pub(crate) struct Message {
    /// Head as the endpoint sent it.
    pub head: ResponseHead,
    /// Complete body.
    pub body: Bytes,
    /// Memory that the body holds.
    _reservation: Reservation,
}

/// An event stream that an endpoint sends.
#[derive(Debug)]
pub(crate) struct EventStream {
    /// Head as the endpoint sent it.
    pub head: ResponseHead,
    /// Complete events that have been read and not yet been taken.
    pub events: Vec<Event>,
    /// Whether the endpoint has ended the stream.
    pub ended: bool,
    /// Id of the last event that was read, or that the caller had before.
    last_event_id: Option<u64>,
    /// Bytes of events that were skipped since the last new one.
    repeated_bytes: usize,
    connection: Connection,
    body: BodyReader,
    splitter: Splitter,
    /// Memory that the event holds which has not arrived completely.
    reservation: Reservation,
}

impl EventStream {
    /// Reads until there are events to forward, or the stream ends. Events whose id is not above the
    /// last one are skipped, because the caller has them.
    ///
    /// # Errors
    ///
    /// Returns [`End::Lost`] if the stream breaks off.
    pub(crate) async fn fill<Platform>(
        &mut self,
        shell: &Shell<Platform>,
        request_id: &Name,
        target: &Name,
    ) -> Result<(), End>
    where
        Platform: Protocol,
    {
        while self.events.is_empty() && !self.ended {
            let part = self.connection.read_part(&mut self.body).await.map_err(loss_of)?;
            match part {
                Some(part) => {
                    shell.record_progress(target);
                    self.splitter.push(&part);
                    self.split_events().map_err(End::Lost)?;
                    if !self.reservation.resize(self.splitter.unfinished_bytes()) {
                        return Err(End::Lost(Loss::NoMemory));
                    }
                }
                None => {
                    let unfinished_bytes = self.splitter.unfinished_bytes();
                    let framing = self.head.framing;
                    shell.record_stream_end(request_id, target, framing, unfinished_bytes);
                    self.end().map_err(End::Lost)?;
                }
            }
        }
        Ok(())
    }

    /// Moves the complete events to `events`.
    fn split_events(&mut self) -> Result<(), Loss> {
        while let Some(event) = self.splitter.next().map_err(|_| Loss::EventTooLong)? {
            if event.is_known(self.last_event_id) {
                self.repeated_bytes += event.bytes.len();
                if self.repeated_bytes > MAX_REPEATED_BYTES {
                    return Err(Loss::Repeated);
                }
                continue;
            }
            self.repeated_bytes = 0;
            self.last_event_id = event.id.or(self.last_event_id);
            self.events.push(event);
        }
        Ok(())
    }

    /// Decides whether the stream is complete now that its body has ended. Inside an event it has
    /// broken off, whatever ended the body. Otherwise what follows the last event, such as a comment,
    /// is moved to `events`.
    fn end(&mut self) -> Result<(), Loss> {
        if self.splitter.is_inside_event() {
            return Err(Loss::CutInEvent);
        }
        self.ended = true;
        let rest = self.splitter.take_rest();
        if !rest.is_empty() {
            self.events.push(Event::rest(rest));
        }
        Ok(())
    }

    /// Returns the connection to the pool, after the stream has ended.
    pub(crate) fn release<Platform>(self, shell: &Shell<Platform>, attempt: &Attempt)
    where
        Platform: Protocol,
    {
        return_connection(shell, attempt, self.connection, &self.head);
    }
}

/// Sends the request to an endpoint and reads its response. With `last_event_id`, a stream is resumed
/// after that event.
///
/// # Errors
///
/// Returns how the attempt ended if there is nothing to forward. A response with a wrong or missing
/// request id, without a signature or with a content encoding is [`End::Lost`].
pub(crate) async fn fetch<Platform>(
    shell: &Shell<Platform>,
    incoming: &Incoming,
    attempt: &Attempt,
    last_event_id: Option<u64>,
) -> Result<Reply, End>
where
    Platform: Protocol,
{
    let mut reservation = shell.response_memory.reserve();
    let mut connection = connect(shell, attempt).await.ok_or(End::Unreachable)?;
    // The pause may have begun while the connection was being established.
    if shell.is_barred(&attempt.target) {
        return Err(End::Withheld);
    }
    let bytes = encode_request::<Platform>(incoming, attempt, last_event_id);
    connection.write(&bytes).await.map_err(|_| End::Lost(Loss::Failed))?;
    let head = connection.read_response_head(&incoming.head.method, MAX_HEAD_BYTES).await;
    let head = head.map_err(loss_of)?;
    if !attempt.relay {
        shell.record_response_head(&attempt.target, &head);
    }
    let headers = &head.headers;
    let echoed = headers.find(Platform::HEADERS.request_id);
    let is_signed = headers.find(Platform::HEADERS.signature).is_some();
    let declined = match attempt.relay && !is_signed {
        true => is_refusal(head.status),
        false => headers.find(Platform::HEADERS.declined).is_some() || head.status == 421,
    };
    if echoed.is_some_and(|echoed| echoed != &*incoming.request_id) {
        return Err(End::Lost(Loss::WrongRequest));
    }
    if declined {
        let status = head.status;
        let body = connection.read_body(head.framing, MAX_DECLINED_BODY_BYTES, &mut reservation);
        if matches!(within(DECLINED_BODY_TIMEOUT, body).await, Some(Ok(_))) {
            return_connection(shell, attempt, connection, &head);
        }
        return Err(End::Declined { status });
    }
    if echoed.is_none() {
        return Err(End::Lost(Loss::WrongRequest));
    }
    if !is_signed {
        return Err(End::Lost(Loss::Unsigned));
    }
    if headers.find("content-encoding").is_some() {
        return Err(End::Lost(Loss::Encoded));
    }
    let success = (200..300).contains(&head.status);
    let has_events = is_event_stream(headers);
    if success && has_events && attempt.route.kind == Kind::Streaming {
        let mut stream = Box::new(EventStream {
            body: BodyReader::new(head.framing),
            head,
            events: Vec::new(),
            ended: false,
            last_event_id,
            repeated_bytes: 0,
            connection,
            splitter: Splitter::open(last_event_id.is_some()),
            reservation,
        });
        stream.fill(shell, &incoming.request_id, &attempt.target).await?;
        return Ok(Reply::Stream(stream));
    }
    let body = connection.read_body(head.framing, MAX_BODY_BYTES, &mut reservation).await;
    let body = body.map_err(loss_of)?;
    if has_events && ends_inside_event(&body) {
        return Err(End::Lost(Loss::CutInEvent));
    }
    return_connection(shell, attempt, connection, &head);
    let message = Message { head, body, _reservation: reservation };
    Ok(if success { Reply::Complete(message) } else { Reply::Error(message) })
}

/// An idle connection to the endpoint or relay of an attempt, or a new one; none if the connect fails or
/// takes too long.
async fn connect<Platform>(shell: &Shell<Platform>, attempt: &Attempt) -> Option<Connection>
where
    Platform: Protocol,
{
    if let Some(connection) = shell.pool.take(&attempt.address) {
        return Some(connection);
    }
    let connection = upstream::connect(&attempt.address).await?;
    shell.record_connected(&attempt.target);
    Some(connection)
}

/// Whether a relay that answers by itself, and with this status, has not run the request.
fn is_refusal(status: u16) -> bool {
    matches!(status, 400..=499 | 503)
}

/// Whether the body of a response is a stream of events.
fn is_event_stream(headers: &Headers) -> bool {
    let kind = headers.find("content-type").unwrap_or_default();
    let kind = kind.split(';').next().unwrap_or_default().trim();
    kind.eq_ignore_ascii_case("text/event-stream")
}

/// How an attempt has ended whose response could not be read.
fn loss_of(error: Error) -> End {
    End::Lost(match error {
        Error::Closed => Loss::NoResponse,
        Error::Broken(_) => Loss::Failed,
        Error::CutInHead => Loss::CutInHead,
        Error::CutInBody => Loss::CutInBody,
        Error::Malformed(_) => Loss::Malformed,
        Error::HeadTooLong => Loss::HeadTooLong,
        Error::InterimTooLong => Loss::InterimTooLong,
        Error::TrailerTooLong => Loss::TrailerTooLong,
        Error::ChunksTooLong => Loss::ChunksTooLong,
        Error::BodyTooLong => Loss::BodyTooLong,
        Error::NoMemory => Loss::NoMemory,
    })
}

/// Encodes the request to the endpoint: hop-by-hop headers and the caller's key are removed,
/// and the headers for the endpoint are set. A relay gets the caller's key instead, and sets these
/// headers itself. With `last_event_id`, the stream is resumed after it.
fn encode_request<Platform>(
    incoming: &Incoming,
    attempt: &Attempt,
    last_event_id: Option<u64>,
) -> Vec<u8>
where
    Platform: Protocol,
{
    let names = Platform::HEADERS;
    let key = if attempt.relay { "" } else { "authorization" };
    let removed_names = [names.deadline, names.expected_instance, names.workspace, key, "expect"];
    let head = &incoming.head;
    let mut bytes = Vec::with_capacity(1024 + incoming.body.len());
    bytes.extend_from_slice(format!("{} {} HTTP/1.1\r\n", head.method, head.target).as_bytes());
    for header in &head.headers.0 {
        let name = &*header.name;
        let replaced_by_resume =
            last_event_id.is_some() && name.eq_ignore_ascii_case(names.last_event_id);
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
    if !attempt.relay {
        push_header(&mut bytes, names.expected_instance, attempt.target.as_bytes());
    }
    if let Some(workspace) = &attempt.workspace {
        push_header(&mut bytes, names.workspace, workspace.as_bytes());
    }
    if let Some(last) = last_event_id {
        push_header(&mut bytes, names.last_event_id, last.to_string().as_bytes());
    }
    if !incoming.body.is_empty() || head.framing != Framing::Length(0) {
        push_header(&mut bytes, "Content-Length", incoming.body.len().to_string().as_bytes());
    }
    bytes.extend_from_slice(b"\r\n");
    bytes.extend_from_slice(&incoming.body);
    bytes
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
