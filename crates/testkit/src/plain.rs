//! A stand-in for a plain service, an HTTP service without a model, whose calls are not idempotent.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicU8, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use futures_lite::AsyncWriteExt;
use http_types::headers::CONTENT_TYPE;
use http_types::{Request, Response, StatusCode};
use serde_json::json;
use smol::net::TcpStream;
use smol::{Task, Timer};

use crate::engine::{Config, Engine, History};
use crate::server::{self, Handler, CARRIED_HEADER};

/// How the service treats a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Behavior {
    /// Runs the call and sends its answer.
    Answer = 0,
    /// Runs the call and closes the connection without an answer.
    CloseUnanswered = 1,
    /// Refuses the call with 503 and `not-run`, without running it.
    Decline = 2,
    /// Runs the call and closes the connection in the middle of the answer.
    Truncate = 3,
    /// Runs the call and sends an answer without a content length or chunked encoding, whose end
    /// only the close of the connection marks.
    Unframed = 4,
    /// Runs the call and closes the connection between two chunks of the answer.
    CutChunks = 5,
    /// Runs the call and sends the head of an answer without end.
    EndlessHead = 6,
    /// Runs the call and sends the body of an answer without end.
    EndlessBody = 7,
}

/// State that the connections of a service share with its handle.
#[derive(Clone, Debug)]
struct Shared {
    history: History,
    /// Discriminant of the current [`Behavior`].
    behavior: Arc<AtomicU8>,
    /// Milliseconds that each call takes.
    delay_ms: Arc<AtomicU64>,
    /// Bytes that are sent after a call has run.
    bytes: Arc<Mutex<Option<RawBytes>>>,
}

/// Bytes that a service sends after it has run a call.
#[derive(Clone, Debug)]
pub struct RawBytes {
    /// What is sent; need not be a part of an answer.
    pub bytes: Vec<u8>,
    /// Whether the answer to the call follows, on a connection that has carried another call before;
    /// otherwise the connection is closed.
    pub answer_follows: bool,
}

/// A running service, which also sends announcements. Dropping it stops both.
#[derive(Debug)]
pub struct Service {
    /// Address on which it receives calls.
    pub address: SocketAddr,
    /// Calls that it has run.
    pub history: History,
    shared: Shared,
    /// Sends the announcements, none once the service was killed.
    announcer: Option<Engine>,
    /// Serves the calls, none once the service was killed.
    task: Option<Task<()>>,
}

impl Service {
    /// Starts a service; `config` gives the contents of its announcements.
    pub async fn spawn(config: Config) -> Service {
        let (listener, address) = server::bind().await;
        let history = History::default();
        let shared = Shared {
            history: history.clone(),
            behavior: Arc::default(),
            delay_ms: Arc::default(),
            bytes: Arc::default(),
        };
        let task = smol::spawn(server::serve(listener, shared.clone()));
        let config = Config { plain: true, ..config };
        let announcer = Some(Engine::spawn_announcer(config, address));
        Service { address, history, shared, announcer, task: Some(task) }
    }

    /// Changes how the service responds to the following calls.
    pub fn set_behavior(&self, behavior: Behavior) {
        self.shared.behavior.store(behavior as u8, Ordering::Relaxed);
    }

    /// Sets the bytes that are sent after the following calls have run; none sends their answers alone.
    pub fn set_bytes(&self, bytes: Option<RawBytes>) {
        *self.shared.bytes.lock().expect("no thread panics while it holds the lock") = bytes;
    }

    /// Sets the time that each of the following calls takes.
    pub fn set_delay(&self, delay: Duration) {
        self.shared.delay_ms.store(delay.as_millis() as u64, Ordering::Relaxed);
    }

    /// Makes the following announcements say that the service is leaving.
    pub fn announce_leaving(&self) {
        if let Some(announcer) = &self.announcer {
            announcer.announce_leaving();
        }
    }

    /// Stops the service at once: its connections are closed and its announcements end.
    pub fn kill(&mut self) {
        self.task = None;
        self.announcer = None;
    }
}

impl Handler for Shared {
    async fn handle(
        &self,
        mut request: Request,
        mut stream: TcpStream,
    ) -> http_types::Result<Response> {
        let behavior = self.behavior.load(Ordering::Relaxed);
        if behavior == Behavior::Decline as u8 {
            crate::engine::discard_body(&mut request).await;
            let mut response = Response::new(StatusCode::ServiceUnavailable);
            response.insert_header("dotterelhoist-run", "not-run");
            response.set_body("not run");
            return Ok(response);
        }
        let body = request.body_string().await?;
        let header = request.header("dotterelhoist-request");
        let request_id = header.map(|values| values.as_str().to_owned()).unwrap_or_default();
        let index = self.history.record_start(&request_id, &body, 0);
        let delay = Duration::from_millis(self.delay_ms.load(Ordering::Relaxed));
        Timer::after(delay).await;
        self.history.record_finish(index);
        let close = || http_types::Error::from_str(500, "closed without a complete answer");
        if behavior == Behavior::CloseUnanswered as u8 {
            return Err(close());
        }
        let bytes = self.bytes.lock().ok().and_then(|bytes| bytes.clone());
        if let Some(RawBytes { bytes, answer_follows }) = bytes {
            let carried = request.header(CARRIED_HEADER).map(|values| values.as_str().to_owned());
            if !answer_follows || carried.is_some_and(|carried| carried != "0") {
                stream.write_all(&bytes).await?;
            }
            if !answer_follows {
                return Err(close());
            }
        }
        if behavior == Behavior::Truncate as u8 {
            stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nabc").await?;
            return Err(close());
        }
        if behavior == Behavior::Unframed as u8 {
            stream.write_all(b"HTTP/1.1 200 OK\r\n\r\nabc").await?;
            return Err(close());
        }
        if behavior == Behavior::CutChunks as u8 {
            let answer = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n";
            stream.write_all(answer).await?;
            return Err(close());
        }
        if behavior == Behavior::EndlessHead as u8 {
            stream.write_all(b"HTTP/1.1 200 OK\r\nx: ").await?;
            loop {
                stream.write_all(&[b'y'; 4096]).await?;
                smol::future::yield_now().await;
            }
        }
        if behavior == Behavior::EndlessBody as u8 {
            stream.write_all(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n").await?;
            let chunk = [b"8000\r\n".as_slice(), &[b'y'; 0x8000], b"\r\n"].concat();
            loop {
                stream.write_all(&chunk).await?;
            }
        }
        let mut response = Response::new(StatusCode::Ok);
        let answer = json!({ "run": index, "by": request_id, "body": body });
        response.set_body(answer.to_string());
        response.insert_header(CONTENT_TYPE, "application/json");
        Ok(response)
    }
}
