//! Sends requests to endpoints.
//!
//! A connection carries one request at a time. It returns to the pool only after the answer was
//! read completely. In all other cases it is closed, so that the rest of the answer can't be taken
//! for the answer to a later request.
//!
//! An endpoint may still send bytes that belong to no request, such as an earlier answer once more. An
//! answer that names its request is told by that, so only connections of endpoints that name it are
//! used again, and on these every answer has to. A new connection has no earlier answer: there an
//! endpoint that names none is understood too.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use dotterelhoist_core::request::{Dispatch, End};
use dotterelhoist_core::Name;
use dotterelhoist_wire::stream::{Allowance, Stream};
use futures_lite::FutureExt;
use http_types::headers::{CONTENT_LENGTH, CONTENT_TYPE, TRANSFER_ENCODING};
use http_types::{Method, Request, Response, Url};
use smol::net::TcpStream;
use smol::Timer;

use crate::clock;

/// Time in which an endpoint must accept a connection; the attempt fails after that.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);
/// Bytes that are read of an answer before its head is complete, of which a part may belong to the
/// body; the attempt fails after that. `async-h1` bounds the number of lines of a head only.
const MAX_HEAD_BYTES: usize = 32 << 10;
/// Idle connections kept for one endpoint; any more are closed when they are released.
const MAX_IDLE_CONNECTIONS: usize = 256;
/// Header with the id of the request, which the answer repeats.
const REQUEST_HEADER: &str = "dotterelhoist-request";
/// Header with which an endpoint reports, by the value `not-run`, that it did not start a request.
const RUN_HEADER: &str = "dotterelhoist-run";

/// A request for an endpoint, without the headers that differ between attempts.
#[derive(Clone, Debug)]
pub(crate) struct Outgoing {
    pub method: Method,
    /// Path with query.
    pub path: String,
    pub content_type: Option<String>,
    pub body: Arc<[u8]>,
}

/// An answer whose head has been read.
#[derive(Debug)]
pub(crate) struct Answer {
    pub response: Response,
    /// Length of the body if the endpoint has declared it.
    pub length: Option<usize>,
    pub connection: Connection,
}

/// A connection in use. It is closed when dropped, unless it is released.
#[derive(Debug)]
pub(crate) struct Connection {
    /// IP address and port of the endpoint, key of the pool.
    address: Name,
    stream: TcpStream,
    /// Whether the endpoint has named the request in its answer.
    names_request: bool,
    /// Pool to which the connection is released.
    pool: Pool,
}

impl Connection {
    /// Returns the connection to the pool, if its next answer can be told from others. Only to be called
    /// after the answer was read completely.
    pub(crate) fn release(self) {
        let Connection { address, stream, names_request, pool } = self;
        if !names_request {
            return;
        }
        let Ok(mut idle) = pool.idle.lock() else { return };
        let streams = idle.entry(address).or_default();
        if streams.len() < MAX_IDLE_CONNECTIONS {
            streams.push(stream);
        }
    }
}

/// Idle connections to endpoints.
#[derive(Clone, Debug, Default)]
pub(crate) struct Pool {
    /// Idle connections by address of the endpoint, the most recently released one last.
    idle: Arc<Mutex<HashMap<Name, Vec<TcpStream>>>>,
}

impl Pool {
    /// Sends a request and reads the head of its answer. A request whose answer is not buffered may
    /// use an idle connection, and is sent once more on a new one if that fails. A request whose
    /// answer is buffered must not be sent twice, so it always uses a new connection.
    ///
    /// # Errors
    ///
    /// Returns how the attempt ended if no usable answer was received.
    pub(crate) async fn send(
        &self,
        dispatch: &Dispatch,
        outgoing: &Outgoing,
    ) -> Result<Answer, End> {
        if !dispatch.buffered {
            if let Some(stream) = self.take_idle(&dispatch.address) {
                if let Ok(answer) = self.exchange(stream, true, dispatch, outgoing).await {
                    return self.validate(answer);
                }
                // The endpoint may have received the request on the idle connection, so that even a
                // failure to connect again doesn't end the attempt as `NotSent`.
                let lost = End::Lost { tokens: 0, forwarded: false, crashed: true };
                let stream = connect(&dispatch.address).await.ok_or(lost.clone())?;
                let answer = self.exchange(stream, false, dispatch, outgoing).await;
                return answer.map_err(|_| lost).and_then(|answer| self.validate(answer));
            }
        }
        let stream = connect(&dispatch.address).await.ok_or(End::NotSent)?;
        let answer = self.exchange(stream, false, dispatch, outgoing).await;
        let lost = End::Lost { tokens: 0, forwarded: false, crashed: true };
        answer.map_err(|_| lost).and_then(|answer| self.validate(answer))
    }

    /// Takes the most recently released idle connection on which nothing waits: neither its end nor
    /// bytes that belong to no request.
    fn take_idle(&self, address: &Name) -> Option<TcpStream> {
        let mut idle = self.idle.lock().ok()?;
        let streams = idle.get_mut(address)?;
        std::iter::from_fn(|| streams.pop()).find(is_quiet)
    }

    /// Sends a request on a connection, which has carried others if `kept` is set, and reads the head of
    /// its answer.
    async fn exchange(
        &self,
        stream: TcpStream,
        kept: bool,
        dispatch: &Dispatch,
        outgoing: &Outgoing,
    ) -> http_types::Result<Answer> {
        let url = Url::parse(&format!("http://{}{}", dispatch.address, outgoing.path))?;
        let mut request = Request::new(outgoing.method, url);
        let remaining_ms = dispatch.deadline.since(clock::now()).as_millis();
        request.insert_header(REQUEST_HEADER, &*dispatch.request);
        request.insert_header("dotterelhoist-generation", dispatch.generation.to_string());
        request.insert_header("dotterelhoist-priority", dispatch.priority.to_string());
        request.insert_header("dotterelhoist-deadline-ms", remaining_ms.to_string());
        request.set_body(outgoing.body.to_vec());
        if let Some(content_type) = &outgoing.content_type {
            request.insert_header(CONTENT_TYPE, content_type.as_str());
        }
        let allowance = Allowance::open(MAX_HEAD_BYTES);
        let bounded = Stream::with_allowance(stream.clone(), allowance.clone());
        let response = async_h1::connect(bounded, request).await?;
        allowance.set(usize::MAX);
        let named = response.header(REQUEST_HEADER).map(|values| values.as_str());
        http_types::ensure!(
            named.map_or(!kept, |named| *named == *dispatch.request),
            "the answer belongs to another request, or that can't be told"
        );
        let names_request = named.is_some();
        let address = dispatch.address.clone();
        let connection = Connection { address, stream, names_request, pool: self.clone() };
        Ok(Answer { length: response.len(), response, connection })
    }

    /// Rejects an answer with which the endpoint declines the request, an interim answer, which is not that to
    /// the request, and an answer whose body has neither one length nor chunked encoding, because its truncation
    /// would go unnoticed. `async-h1` has rejected all that is no status.
    fn validate(&self, answer: Answer) -> Result<Answer, End> {
        let response = &answer.response;
        let status: u16 = response.status().into();
        let not_run = response.header(RUN_HEADER).is_some_and(|value| value.as_str() == "not-run");
        if matches!(status, 429 | 503) && not_run {
            return Err(End::Declined);
        }
        if response.status().is_informational() {
            return Err(End::Lost { tokens: 0, forwarded: false, crashed: false });
        }
        let is_chunked = response
            .header(TRANSFER_ENCODING)
            .is_some_and(|values| values.last().as_str().eq_ignore_ascii_case("chunked"));
        let has_length =
            response.header(CONTENT_LENGTH).is_some_and(|values| values.iter().count() == 1);
        let is_framed = is_chunked || has_length;
        let has_no_body = matches!(status, 204 | 304);
        if !is_framed && !has_no_body {
            return Err(End::Lost { tokens: 0, forwarded: false, crashed: false });
        }
        Ok(answer)
    }
}

/// Whether an idle connection is open and nothing has arrived on it.
fn is_quiet(stream: &TcpStream) -> bool {
    let mut byte = [0u8; 1];
    smol::future::block_on(smol::future::poll_once(stream.peek(&mut byte))).is_none()
}

/// Opens a connection to an endpoint.
async fn connect(address: &Name) -> Option<TcpStream> {
    let address: SocketAddr = address.parse().ok()?;
    let timeout = async {
        Timer::after(CONNECT_TIMEOUT).await;
        Err(std::io::ErrorKind::TimedOut.into())
    };
    let stream = TcpStream::connect(address).or(timeout).await.ok()?;
    stream.set_nodelay(true).ok();
    Some(stream)
}
