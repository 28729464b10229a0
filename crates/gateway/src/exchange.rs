//! One attempt to get a response from an endpoint: sends the request and reads the response up to
//! the first part that can be forwarded.

use bytes::Bytes;
use dotterelhoist_fleet::document::Kind;
use dotterelhoist_fleet::entry::{Attempt, End, Loss};
use dotterelhoist_fleet::Name;

use crate::clock;
use crate::entry::Shell;
use crate::events::ends_inside_event;
use crate::http::{
    is_hop_by_hop, push_header, Connection, Error, Framing, Headers, RequestHead, ResponseHead,
};
use crate::memory::Reservation;
use crate::protocol::Protocol;
use crate::upstream;

use self::matching::{find_response, Match};

pub(crate) use self::matching::Doubted;
pub(crate) use self::stream::EventStream;

mod matching;
mod stream;

/// Header of a request between two entry daemons: version of the document by which the first one has found its
/// route. It is not forwarded to endpoints.
pub(crate) const RESOLVED_BY: &str = "x-resolved-by";

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

impl Reply {
    /// Whether it can continue a response that has begun with this status: only a stream like the one
    /// that has begun can. Which events continue it, [`EventStream`] decides.
    pub(crate) fn continues(&self, status: u16) -> bool {
        matches!(self, Reply::Stream(stream) if stream.head.status == status)
    }
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
    let mut connection = connect(shell, incoming, attempt).await.ok_or(End::Unreachable)?;
    // The pause may have begun while the connection was being established.
    if shell.is_barred(&attempt.target) {
        return Err(End::Withheld);
    }
    let bytes = encode_request::<Platform>(incoming, attempt, last_event_id);
    connection.write(&bytes).await.map_err(|_| End::Lost(Loss::Failed))?;
    let found = find_response(shell, incoming, attempt, &mut connection, &mut reservation).await?;
    let head = match found {
        Match::Response(head) => head,
        Match::Refusal { head, reusable } => {
            record_head(shell, attempt, &head);
            if reusable {
                return_connection(shell, incoming, attempt, connection, &head);
            }
            return Err(End::Declined { status: head.status });
        }
    };
    record_head(shell, attempt, &head);
    let headers = &head.headers;
    let is_signed = headers.find(Platform::HEADERS.signature).is_some();
    if !is_signed {
        return Err(End::Lost(Loss::Unsigned));
    }
    if headers.find("content-encoding").is_some() {
        return Err(End::Lost(Loss::Encoded));
    }
    let success = (200..300).contains(&head.status);
    let has_events = is_event_stream(headers);
    if success && has_events && attempt.route.kind == Kind::Streaming {
        let stream = EventStream::open(head, connection, reservation, last_event_id);
        let mut stream = Box::new(stream);
        stream.fill(shell, &incoming.request_id, &attempt.target).await?;
        return Ok(Reply::Stream(stream));
    }
    let body = connection.read_body(head.framing, MAX_BODY_BYTES, &mut reservation).await;
    let body = body.map_err(loss_of)?;
    if has_events && ends_inside_event(&body) {
        return Err(End::Lost(Loss::CutInEvent));
    }
    return_connection(shell, incoming, attempt, connection, &head);
    let message = Message { head, body, _reservation: reservation };
    Ok(if success { Reply::Complete(message) } else { Reply::Error(message) })
}

/// An idle connection to the endpoint or relay of an attempt, or a new one; none if the connect fails or
/// takes too long. One that has carried a request with this id is not used, as the responses could not be
/// told apart.
async fn connect<Platform>(
    shell: &Shell<Platform>,
    incoming: &Incoming,
    attempt: &Attempt,
) -> Option<Connection>
where
    Platform: Protocol,
{
    let idle = shell.pool.take(&attempt.address);
    if let Some(connection) = idle.filter(|idle| !idle.has_carried(&incoming.request_id)) {
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
    let removed_names =
        [names.deadline, names.expected_instance, names.workspace, key, "expect", RESOLVED_BY];
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
    if attempt.relay {
        push_header(&mut bytes, RESOLVED_BY, attempt.resolved_by.to_string().as_bytes());
    } else {
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

/// Records what the response of an endpoint states about the endpoint. A relay states nothing.
fn record_head<Platform>(shell: &Shell<Platform>, attempt: &Attempt, head: &ResponseHead)
where
    Platform: Protocol,
{
    if !attempt.relay {
        shell.record_response_head(&attempt.target, head);
    }
}

/// Returns a connection to the pool after its response has been read completely.
fn return_connection<Platform>(
    shell: &Shell<Platform>,
    incoming: &Incoming,
    attempt: &Attempt,
    mut connection: Connection,
    head: &ResponseHead,
) where
    Platform: Protocol,
{
    if head.keep_alive {
        connection.record_carried(&incoming.request_id);
        shell.pool.put_back(&attempt.address, connection, head.headers.find("keep-alive"));
    }
}
