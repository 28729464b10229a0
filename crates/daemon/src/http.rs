//! The HTTP server that the listeners for callers, endpoints and operators share.
//!
//! `async-h1` accepts a truncated request as complete, limits neither the length of a head without
//! line ends nor the time for a head, and closes the connection on a malformed request without an
//! answer. [`serve`] and [`read_body`] add these checks, limits and answers.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use async_h1::server::{ConnectionStatus, Server};
use dotterelhoist_core::control::command::Run;
use dotterelhoist_core::request::{Reason, Refusal};
use dotterelhoist_wire::stream::Stream;
use futures_lite::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, FutureExt};
use http_types::headers::{CONNECTION, CONTENT_TYPE, RETRY_AFTER};
use http_types::{Body, Request, Response, StatusCode};
use serde::Serialize;
use smol::net::{TcpListener, TcpStream};
use smol::Timer;

/// Longest head of a request, including the part of the body that is read along with it. A request
/// with a longer one is refused as too large and the connection is closed.
const MAX_HEAD_BYTES: usize = 32 * 1024;
/// Delay after a failure to accept a connection, before the next attempt.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Media type of a refusal: problem details as in RFC 9457.
pub(crate) const PROBLEM_MEDIA_TYPE: &str = "application/problem+json";

/// Limits of a listener.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Limits {
    /// Time from the previous answer, or from the opening of the connection, until the head of a
    /// request must be complete. The connection is closed after that.
    pub head_timeout: Duration,
    /// Time for reading the body of a request. The request is refused after that.
    pub body_timeout: Duration,
    /// Longest body of a request. A request with a longer one is refused.
    pub max_body_bytes: usize,
    /// Connections that may be open at the same time; any more are accepted and closed immediately.
    pub max_connections: usize,
}

/// A connection of a client, shared by the HTTP server and the handler of a request.
#[derive(Clone, Debug)]
pub(crate) struct Socket {
    stream: Stream<TcpStream>,
    state: Arc<SocketState>,
}

/// State of a connection that its clones share.
#[derive(Debug, Default)]
struct SocketState {
    /// Whether the current request was passed to the handler; the timeout and the maximum length of
    /// a head then don't apply.
    handling: AtomicBool,
    /// Whether reads report the end of the stream instead of reading, so that the rest of a refused
    /// request is not read.
    reading_stopped: AtomicBool,
    /// Bytes read since the previous answer and before the handler was called for the current
    /// request.
    head_bytes: AtomicUsize,
}

impl Socket {
    fn new(stream: TcpStream) -> Socket {
        Socket { stream: Stream::open(stream), state: Arc::default() }
    }

    /// Makes all further reads report the end of the stream.
    pub(crate) fn stop_reading(&self) {
        self.state.reading_stopped.store(true, Ordering::Relaxed);
    }

    /// Resolves once the client has closed the connection; never if the client has sent bytes that
    /// were not read yet.
    pub(crate) async fn wait_closed(&self) {
        let mut byte = [0];
        match self.stream.inner().peek(&mut byte).await {
            Ok(0) | Err(_) => {}
            Ok(_) => std::future::pending().await,
        }
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if self.state.reading_stopped.load(Ordering::Relaxed) {
            return Poll::Ready(Ok(0));
        }
        let read = std::task::ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        if !self.state.handling.load(Ordering::Relaxed) {
            let head_bytes = self.state.head_bytes.fetch_add(read, Ordering::Relaxed) + read;
            if head_bytes > MAX_HEAD_BYTES {
                return Poll::Ready(Err(io::Error::other(
                    "the request head is longer than 32 KiB",
                )));
            }
        }
        Poll::Ready(Ok(read))
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, buffer)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(context)
    }
}

/// Handles the requests that a listener receives.
pub(crate) trait Handler: Clone + Send + Sync + 'static {
    /// Returns the answer to one request.
    fn handle(&self, request: Request, socket: Socket) -> impl Future<Output = Response> + Send;

    /// Records that a request or connection was refused. The server calls it when it refuses one
    /// without a call of [`Handler::handle`].
    fn record_refusal(&self, _reason: Reason) {}
}

/// Accepts connections for as long as the process runs, and serves each in a task of its own.
pub(crate) async fn listen<H>(listener: TcpListener, handler: H, limits: Limits)
where
    H: Handler,
{
    let open_connections = Arc::new(AtomicUsize::new(0));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            Timer::after(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        if open_connections.load(Ordering::Relaxed) >= limits.max_connections {
            handler.record_refusal(Reason::Overloaded);
            drop(stream);
            continue;
        }
        open_connections.fetch_add(1, Ordering::Relaxed);
        let (handler, open_connections) = (handler.clone(), open_connections.clone());
        smol::spawn(async move {
            serve(stream, handler, limits).await;
            open_connections.fetch_sub(1, Ordering::Relaxed);
        })
        .detach();
    }
}

/// Serves one connection until it closes. A request whose head can't be parsed is refused: as too
/// large if more than a quarter of [`MAX_HEAD_BYTES`] was read, else as malformed.
async fn serve<H>(stream: TcpStream, handler: H, limits: Limits)
where
    H: Handler,
{
    stream.set_nodelay(true).ok();
    let socket = Socket::new(stream);
    let state = socket.state.clone();
    let handle = |request: Request| {
        state.handling.store(true, Ordering::Relaxed);
        let (handler, socket) = (handler.clone(), socket.clone());
        async move { Ok(handler.handle(request, socket).await) }
    };
    let mut server = Server::new(socket.clone(), handle);
    loop {
        state.handling.store(false, Ordering::Relaxed);
        state.head_bytes.store(0, Ordering::Relaxed);
        let socket_state = state.clone();
        let timeout = async move {
            Timer::after(limits.head_timeout).await;
            if socket_state.handling.load(Ordering::Relaxed) {
                std::future::pending::<()>().await;
            }
            Ok(ConnectionStatus::Close)
        };
        match server.accept_one().or(timeout).await {
            Ok(ConnectionStatus::KeepAlive) => {}
            Ok(ConnectionStatus::Close) => return,
            Err(_) => {
                if !state.handling.load(Ordering::Relaxed) {
                    let reason = match state.head_bytes.load(Ordering::Relaxed) {
                        0 => return,
                        read if read > MAX_HEAD_BYTES / 4 => Reason::TooLarge,
                        _ => Reason::BadRequest,
                    };
                    handler.record_refusal(reason);
                    refuse_malformed(socket.clone(), reason).await;
                }
                return;
            }
        }
    }
}

/// Refuses a request whose head can't be parsed, before the connection is closed. Writing the
/// answer is given up after one second, so a slow client gets only part of it or none.
async fn refuse_malformed(mut socket: Socket, reason: Reason) {
    let refusal = Refusal { reason, run: Run::NotRun, retry_after: None };
    let body = problem_body("", &refusal);
    let status = StatusCode::try_from(reason.status()).unwrap_or(StatusCode::BadRequest);
    let phrase = status.canonical_reason();
    let head = format!(
        "HTTP/1.1 {status} {phrase}\r\nconnection: close\r\ncontent-type: {PROBLEM_MEDIA_TYPE}\r\n\
         content-length: {}\r\n\r\n",
        body.len()
    );
    let write = async {
        socket.write_all(head.as_bytes()).await.ok();
        socket.write_all(body.as_bytes()).await.ok();
        socket.flush().await.ok();
        socket.stream.inner().shutdown(std::net::Shutdown::Write).ok();
    };
    let timeout = async {
        Timer::after(Duration::from_secs(1)).await;
    };
    write.or(timeout).await;
}

/// Reads the body of a request completely.
///
/// # Errors
///
/// Returns the reason to refuse the request if the body is too large, truncated, or not complete in
/// time. The rest of it is then not read, so the connection can't be reused.
pub(crate) async fn read_body(
    request: &mut Request,
    socket: &Socket,
    limits: Limits,
) -> Result<Vec<u8>, Reason> {
    let declared = request.len();
    if declared.is_some_and(|declared| declared > limits.max_body_bytes) {
        socket.stop_reading();
        return Err(Reason::TooLarge);
    }
    let mut bytes = Vec::new();
    let mut body = request.take_body().take(limits.max_body_bytes as u64 + 1);
    let timeout = async {
        Timer::after(limits.body_timeout).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    let result = body.read_to_end(&mut bytes).or(timeout).await;
    let is_complete = result.is_ok() && declared.is_none_or(|declared| declared == bytes.len());
    if bytes.len() > limits.max_body_bytes {
        socket.stop_reading();
        return Err(Reason::TooLarge);
    }
    if !is_complete {
        socket.stop_reading();
        return Err(Reason::BadRequest);
    }
    Ok(bytes)
}

/// Body of a refusal: problem details as in RFC 9457, with the additional members `reason`, `run`,
/// `request` and `retry-after-ms`.
#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
struct Problem<'a> {
    r#type: String,
    title: String,
    status: u16,
    detail: &'a str,
    reason: String,
    /// Whether the request ran.
    run: String,
    /// Request id, empty if the request has none.
    request: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
}

/// JSON body of a refusal. `request_id` is empty if the request has none.
fn problem_body(request_id: &str, refusal: &Refusal) -> String {
    let reason = refusal.reason;
    let problem = Problem {
        r#type: format!("urn:dotterelhoist:refusal:{reason}"),
        title: reason.to_string().replace('-', " "),
        status: reason.status(),
        detail: reason.detail(),
        reason: reason.to_string(),
        run: refusal.run.to_string(),
        request: request_id,
        retry_after_ms: refusal.retry_after.map(|delay| delay.as_millis() as u64),
    };
    serde_json::to_string(&problem).unwrap_or_default()
}

/// Response with a refusal. `request_id` is empty if the request has none.
pub(crate) fn problem(request_id: &str, refusal: &Refusal) -> Response {
    let status = StatusCode::try_from(refusal.reason.status());
    let mut response = Response::new(status.unwrap_or(StatusCode::ServiceUnavailable));
    response.insert_header(CONTENT_TYPE, PROBLEM_MEDIA_TYPE);
    if let Some(delay) = refusal.retry_after {
        let seconds = delay.as_secs_f64().ceil().max(1.0);
        response.insert_header(RETRY_AFTER, format!("{seconds}"));
    }
    if matches!(refusal.reason, Reason::BadRequest | Reason::TooLarge) {
        response.insert_header(CONNECTION, "close");
    }
    response.set_body(Body::from_string(problem_body(request_id, refusal)));
    response.insert_header(CONTENT_TYPE, PROBLEM_MEDIA_TYPE);
    response
}

/// Response with a JSON body.
pub(crate) fn json<Item>(status: StatusCode, item: &Item) -> Response
where
    Item: Serialize,
{
    let mut response = Response::new(status);
    response.set_body(Body::from_string(serde_json::to_string(item).unwrap_or_default()));
    response.insert_header(CONTENT_TYPE, "application/json");
    response
}
