//! Finds the response that belongs to a request.
//!
//! A faulty endpoint may send additional bytes after a complete response, and they arrive where the
//! next response is expected. A response that names a request is told by that. A refusal need not name
//! one: on a new connection it can only be the refusal of this request, but on one that has carried
//! another request it may be such bytes, while this request runs. Responses on one connection come in
//! the order of the requests (RFC 9112, section 9.3.2), so a further exchange on the connection shows
//! what came before: if its response comes next, the refusal was meant for this request; if that of
//! the request does, it was not.

use std::time::Duration;

use bytes::Bytes;
use dotterelhoist_fleet::entry::{Attempt, End, Loss};

use crate::clock;
use crate::entry::Shell;
use crate::http::{push_header, within, Connection, Framing, ResponseHead};
use crate::memory::Reservation;
use crate::protocol::Protocol;

use super::{is_refusal, loss_of, Incoming, MAX_HEAD_BYTES};

/// Longest body of a response that is not forwarded, after which the connection is used further.
const MAX_SKIPPED_BODY_BYTES: usize = 16 << 10;
/// Time for the rest of such a body.
const SKIPPED_BODY_TIMEOUT: Duration = Duration::from_millis(50);
/// Responses to earlier requests that are skipped before that of the request; more of them end the
/// attempt as [`End::Lost`].
const MAX_SKIPPED_RESPONSES: u32 = 4;

/// The response to a request.
pub(super) enum Match {
    /// It has this head, and its body follows.
    Response(ResponseHead),
    /// The endpoint has not run the request; its response has this head.
    Refusal {
        /// Head of the response.
        head: ResponseHead,
        /// Whether the connection can carry another request.
        reusable: bool,
    },
}

/// To what a response that has arrived belongs.
enum Owner {
    /// The request.
    Request,
    /// The further exchange.
    Probe,
    /// A request that the connection has carried before.
    Earlier,
    /// Another request, or none, although a response to this one would name it.
    Other,
    /// It can't be told: it is a refusal that names no request.
    Unknown,
}

/// To what a refusal that named no request has turned out to belong; written to the log and counted.
#[derive(Clone, Copy, Debug, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum Doubted {
    /// To the request, which has not run.
    OfRequest,
    /// To no request, or another one: the response to this one followed.
    NotOfRequest,
    /// That can't be told.
    Unknown,
}

/// A refusal that names no request, and the further exchange that shows whose it is.
struct Doubt {
    refusal: ResponseHead,
    /// Id of the further exchange.
    probe: String,
}

/// Reads responses until that to the request arrives.
///
/// # Errors
///
/// Returns how the attempt ended if there is none.
pub(super) async fn find_response<Platform>(
    shell: &Shell<Platform>,
    incoming: &Incoming,
    attempt: &Attempt,
    connection: &mut Connection,
    reservation: &mut Reservation,
) -> Result<Match, End>
where
    Platform: Protocol,
{
    let mut doubt: Option<Doubt> = None;
    let mut skipped = 0;
    loop {
        let head = connection.read_response_head(&incoming.head.method, MAX_HEAD_BYTES).await;
        let mut head = match head {
            Ok(head) => head,
            Err(_) if doubt.is_some() => return Err(give_up(shell, incoming, attempt)),
            Err(error) => return Err(loss_of(error)),
        };
        let declines = declines::<Platform>(attempt, &head);
        let owner = owner::<Platform>(incoming, connection, &head, declines, doubt.as_ref());
        match (owner, doubt.take()) {
            (Owner::Request, doubted) => {
                if doubted.is_some() {
                    shell.record_doubt(incoming, attempt, Doubted::NotOfRequest);
                    // The response to the further exchange is still to come.
                    head.keep_alive = false;
                }
                if !declines {
                    return Ok(Match::Response(head));
                }
                let reusable = skip_body(connection, &head, reservation).await.is_some();
                return Ok(Match::Refusal { head, reusable });
            }
            (Owner::Probe, Some(doubted)) => {
                return Ok(confirm(shell, incoming, attempt, doubted));
            }
            (Owner::Other, Some(doubted)) if head.status == 200 => {
                let body = skip_body(connection, &head, reservation).await.unwrap_or_default();
                return match shell.protocol().decode_report(&attempt.target, &body) {
                    Ok(_) => Ok(confirm(shell, incoming, attempt, doubted)),
                    Err(_) => Err(give_up(shell, incoming, attempt)),
                };
            }
            (Owner::Unknown, None) => {
                let body = skip_body(connection, &head, reservation).await;
                let usable = body.is_some() && head.keep_alive && &*incoming.head.method != "HEAD";
                let probe = format!("{:016x}", clock::random_u64());
                if !usable || !send_probe::<Platform>(connection, attempt, &probe).await {
                    return Err(give_up(shell, incoming, attempt));
                }
                doubt = Some(Doubt { refusal: head, probe });
            }
            (Owner::Earlier, doubted) if skipped < MAX_SKIPPED_RESPONSES => {
                skipped += 1;
                shell.record_skipped();
                doubt = doubted;
                if skip_body(connection, &head, reservation).await.is_none() {
                    return Err(End::Lost(Loss::WrongRequest));
                }
            }
            (_, Some(_)) => return Err(give_up(shell, incoming, attempt)),
            (_, None) => return Err(End::Lost(Loss::WrongRequest)),
        }
    }
}

/// Whether a response says that the request was not run.
fn declines<Platform>(attempt: &Attempt, head: &ResponseHead) -> bool
where
    Platform: Protocol,
{
    let is_signed = head.headers.find(Platform::HEADERS.signature).is_some();
    match attempt.relay && !is_signed {
        true => is_refusal(head.status),
        false => head.headers.find(Platform::HEADERS.declined).is_some() || head.status == 421,
    }
}

/// To what a response on the connection belongs.
fn owner<Platform>(
    incoming: &Incoming,
    connection: &Connection,
    head: &ResponseHead,
    declines: bool,
    doubt: Option<&Doubt>,
) -> Owner
where
    Platform: Protocol,
{
    match head.headers.find(Platform::HEADERS.request_id) {
        Some(id) if *id == *incoming.request_id => Owner::Request,
        Some(id) if doubt.is_some_and(|doubt| doubt.probe == id) => Owner::Probe,
        Some(id) if connection.has_carried(id) => Owner::Earlier,
        Some(_) => Owner::Other,
        None if !declines => Owner::Other,
        None if connection.is_new() => Owner::Request,
        None => Owner::Unknown,
    }
}

/// The refusal in doubt is that of the request. The connection is not used further, so that no response
/// to a further exchange can come once more on it.
fn confirm<Platform>(
    shell: &Shell<Platform>,
    incoming: &Incoming,
    attempt: &Attempt,
    doubt: Doubt,
) -> Match
where
    Platform: Protocol,
{
    shell.record_doubt(incoming, attempt, Doubted::OfRequest);
    Match::Refusal { head: doubt.refusal, reusable: false }
}

/// It can't be told whether the request runs. Requests to this endpoint go out on new connections from
/// now on, on which there is no doubt.
fn give_up<Platform>(shell: &Shell<Platform>, incoming: &Incoming, attempt: &Attempt) -> End
where
    Platform: Protocol,
{
    shell.record_doubt(incoming, attempt, Doubted::Unknown);
    shell.pool.distrust(&attempt.address);
    End::Lost(Loss::UnclearRefusal)
}

/// Reads the body of a response that is not forwarded; none if it is too long or does not arrive.
async fn skip_body(
    connection: &mut Connection,
    head: &ResponseHead,
    reservation: &mut Reservation,
) -> Option<Bytes> {
    if head.framing == Framing::UntilClose {
        return None;
    }
    let body = connection.read_body(head.framing, MAX_SKIPPED_BODY_BYTES, reservation);
    within(SKIPPED_BODY_TIMEOUT, body).await?.ok()
}

/// Asks the endpoint for a report, as the further exchange; returns whether that was sent.
async fn send_probe<Platform>(connection: &mut Connection, attempt: &Attempt, id: &str) -> bool
where
    Platform: Protocol,
{
    let mut bytes = format!("GET {} HTTP/1.1\r\n", Platform::REPORT_PATH).into_bytes();
    push_header(&mut bytes, "Host", attempt.address.as_bytes());
    push_header(&mut bytes, Platform::HEADERS.request_id, id.as_bytes());
    bytes.extend_from_slice(b"\r\n");
    connection.write(&bytes).await.is_ok()
}
