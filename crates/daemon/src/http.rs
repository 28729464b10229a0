//! What the HTTP listeners share.
//!
//! `async-h1` reads a request that ends early as if it were whole, bounds neither a head without
//! line ends nor the time for it, and answers nothing to a malformed one. [`serve`] and
//! [`read_body`] make up for that.

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
use futures_lite::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, FutureExt};
use http_types::headers::{CONNECTION, CONTENT_TYPE, RETRY_AFTER};
use http_types::{Body, Request, Response, StatusCode};
use serde::Serialize;
use smol::net::{TcpListener, TcpStream};
use smol::Timer;

/// Longest head of a request in bytes, with what of the body is read along.
const HEAD_MAX: usize = 32 * 1024;
/// Pause after a failure to accept a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Media type of refusals, RFC 9457.
pub(crate) const PROBLEM: &str = "application/problem+json";

/// Limits of a listener.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Limits {
    pub head: Duration,
    pub body: Duration,
    pub body_bytes: usize,
    pub connections: usize,
}

/// A connection of a client, cloned for the parts that look at it.
#[derive(Clone, Debug)]
pub(crate) struct Socket {
    stream: TcpStream,
    state: Arc<SocketState>,
}

#[derive(Debug, Default)]
struct SocketState {
    /// Whether a request has been handed to its handler.
    answering: AtomicBool,
    /// Whether reads are to end, because the rest of a request is not wanted.
    deaf: AtomicBool,
    /// Bytes read for the current head.
    head: AtomicUsize,
}

impl Socket {
    fn new(stream: TcpStream) -> Socket {
        Socket { stream, state: Arc::default() }
    }

    /// Reads nothing more from this connection.
    pub(crate) fn stop_reading(&self) {
        self.state.deaf.store(true, Ordering::Relaxed);
    }

    /// Resolves once the client has closed the connection.
    pub(crate) async fn hung_up(&self) {
        let mut byte = [0];
        match self.stream.peek(&mut byte).await {
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
        if self.state.deaf.load(Ordering::Relaxed) {
            return Poll::Ready(Ok(0));
        }
        let read = std::task::ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        if !self.state.answering.load(Ordering::Relaxed) {
            let head = self.state.head.fetch_add(read, Ordering::Relaxed) + read;
            if head > HEAD_MAX {
                return Poll::Ready(Err(io::Error::other("the head is too long")));
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

/// Something that answers requests.
pub(crate) trait Handler: Clone + Send + Sync + 'static {
    /// Answers one request.
    fn handle(&self, request: Request, socket: Socket) -> impl Future<Output = Response> + Send;

    /// Notes a request that was answered without the handler.
    fn rejected(&self, _reason: Reason) {}
}

/// Accepts connections for as long as the process runs.
pub(crate) async fn listen<Answering>(listener: TcpListener, handler: Answering, limits: Limits)
where
    Answering: Handler,
{
    let open = Arc::new(AtomicUsize::new(0));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            Timer::after(ACCEPT_PAUSE).await;
            continue;
        };
        if open.load(Ordering::Relaxed) >= limits.connections {
            handler.rejected(Reason::Overloaded);
            drop(stream);
            continue;
        }
        open.fetch_add(1, Ordering::Relaxed);
        let (handler, open) = (handler.clone(), open.clone());
        smol::spawn(async move {
            serve(stream, handler, limits).await;
            open.fetch_sub(1, Ordering::Relaxed);
        })
        .detach();
    }
}

/// Serves one connection to its end.
async fn serve<Answering>(stream: TcpStream, handler: Answering, limits: Limits)
where
    Answering: Handler,
{
    stream.set_nodelay(true).ok();
    let socket = Socket::new(stream);
    let state = socket.state.clone();
    let answer = |request: Request| {
        state.answering.store(true, Ordering::Relaxed);
        let (handler, socket) = (handler.clone(), socket.clone());
        async move { Ok(handler.handle(request, socket).await) }
    };
    let mut server = Server::new(socket.clone(), answer);
    loop {
        state.answering.store(false, Ordering::Relaxed);
        state.head.store(0, Ordering::Relaxed);
        let waiting = state.clone();
        let late = async move {
            Timer::after(limits.head).await;
            if waiting.answering.load(Ordering::Relaxed) {
                std::future::pending::<()>().await;
            }
            Ok(ConnectionStatus::Close)
        };
        match server.accept_one().or(late).await {
            Ok(ConnectionStatus::KeepAlive) => {}
            Ok(ConnectionStatus::Close) => return,
            Err(_) => {
                if !state.answering.load(Ordering::Relaxed) {
                    let reason = match state.head.load(Ordering::Relaxed) {
                        0 => return,
                        read if read > HEAD_MAX / 4 => Reason::TooLarge,
                        _ => Reason::BadRequest,
                    };
                    handler.rejected(reason);
                    refuse_malformed(socket.clone(), reason).await;
                }
                return;
            }
        }
    }
}

/// Tells the sender of a malformed request so, before the connection is closed.
async fn refuse_malformed(mut socket: Socket, reason: Reason) {
    let refusal = Refusal { reason, run: Run::NotRun, retry_after: None };
    let body = problem_body("", &refusal);
    let status = StatusCode::try_from(reason.status()).unwrap_or(StatusCode::BadRequest);
    let phrase = status.canonical_reason();
    let head = format!(
        "HTTP/1.1 {status} {phrase}\r\nconnection: close\r\ncontent-type: {PROBLEM}\r\n\
         content-length: {}\r\n\r\n",
        body.len()
    );
    let write = async {
        socket.write_all(head.as_bytes()).await.ok();
        socket.write_all(body.as_bytes()).await.ok();
        socket.flush().await.ok();
        socket.stream.shutdown(std::net::Shutdown::Write).ok();
    };
    let late = async {
        Timer::after(Duration::from_secs(1)).await;
    };
    write.or(late).await;
}

/// Reads a whole body.
///
/// # Errors
///
/// Returns the reason to refuse the request if the body is too large, too slow or cut off; the rest
/// of it is then not read.
pub(crate) async fn read_body(
    request: &mut Request,
    socket: &Socket,
    limits: Limits,
) -> Result<Vec<u8>, Reason> {
    let declared = request.len();
    if declared.is_some_and(|declared| declared > limits.body_bytes) {
        socket.stop_reading();
        return Err(Reason::TooLarge);
    }
    let mut bytes = Vec::new();
    let mut body = request.take_body().take(limits.body_bytes as u64 + 1);
    let late = async {
        Timer::after(limits.body).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    let read = body.read_to_end(&mut bytes).or(late).await;
    let whole = read.is_ok() && declared.is_none_or(|declared| declared == bytes.len());
    if bytes.len() > limits.body_bytes {
        socket.stop_reading();
        return Err(Reason::TooLarge);
    }
    if !whole {
        socket.stop_reading();
        return Err(Reason::BadRequest);
    }
    Ok(bytes)
}

/// Body of a refusal.
#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
struct Problem<'a> {
    r#type: String,
    title: String,
    status: u16,
    detail: &'a str,
    reason: String,
    run: String,
    request: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
}

fn problem_body(request: &str, refusal: &Refusal) -> String {
    let reason = refusal.reason;
    let problem = Problem {
        r#type: format!("urn:dotterelhoist:refusal:{reason}"),
        title: reason.to_string().replace('-', " "),
        status: reason.status(),
        detail: reason.detail(),
        reason: reason.to_string(),
        run: refusal.run.to_string(),
        request,
        retry_after_ms: refusal.retry_after.map(|span| span.as_millis() as u64),
    };
    serde_json::to_string(&problem).unwrap_or_default()
}

/// An answer that tells of a refusal.
pub(crate) fn problem(request: &str, refusal: &Refusal) -> Response {
    let status = StatusCode::try_from(refusal.reason.status());
    let mut response = Response::new(status.unwrap_or(StatusCode::ServiceUnavailable));
    response.insert_header(CONTENT_TYPE, PROBLEM);
    if let Some(span) = refusal.retry_after {
        let seconds = span.as_secs_f64().ceil().max(1.0);
        response.insert_header(RETRY_AFTER, format!("{seconds}"));
    }
    if matches!(refusal.reason, Reason::BadRequest | Reason::TooLarge) {
        response.insert_header(CONNECTION, "close");
    }
    response.set_body(Body::from_string(problem_body(request, refusal)));
    response.insert_header(CONTENT_TYPE, PROBLEM);
    response
}

/// An answer in JSON.
pub(crate) fn json<Item>(status: StatusCode, item: &Item) -> Response
where
    Item: Serialize,
{
    let mut response = Response::new(status);
    response.set_body(Body::from_string(serde_json::to_string(item).unwrap_or_default()));
    response.insert_header(CONTENT_TYPE, "application/json");
    response
}
