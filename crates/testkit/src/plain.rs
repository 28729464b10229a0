//! A stand-in for a plain service whose calls may not be repeated.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicU8, Ordering};
use std::sync::Arc;
use std::time::Duration;

use futures_lite::AsyncWriteExt;
use http_types::headers::CONTENT_TYPE;
use http_types::{Request, Response, StatusCode};
use serde_json::json;
use smol::net::TcpStream;
use smol::{Task, Timer};

use crate::engine::{Config, Engine, History};
use crate::server::{self, Handler};

/// How the service behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Behavior {
    /// Runs the call and answers.
    Answer = 0,
    /// Runs the call and closes the connection without an answer.
    CloseUnanswered = 1,
    /// Says that it did not run the call.
    Decline = 2,
    /// Runs the call and sends only a part of the answer.
    Truncate = 3,
    /// Runs the call and sends an answer without length or chunks.
    Unframed = 4,
}

#[derive(Clone, Debug)]
struct Shared {
    history: History,
    behavior: Arc<AtomicU8>,
    delay_ms: Arc<AtomicU64>,
}

/// A running service with its announcements.
#[derive(Debug)]
pub struct Service {
    /// Where it takes calls.
    pub address: SocketAddr,
    /// What it has done.
    pub history: History,
    shared: Shared,
    announcer: Option<Engine>,
    task: Option<Task<()>>,
}

impl Service {
    /// Starts a service; `config` says how it announces itself.
    pub async fn spawn(config: Config) -> Service {
        let (listener, address) = server::bind().await;
        let history = History::default();
        let shared =
            Shared { history: history.clone(), behavior: Arc::default(), delay_ms: Arc::default() };
        let task = smol::spawn(server::serve(listener, shared.clone()));
        let config = Config { plain: true, ..config };
        let announcer = Some(Engine::spawn_announcer(config, address));
        Service { address, history, shared, announcer, task: Some(task) }
    }

    /// Changes how the service behaves.
    pub fn set_behavior(&self, behavior: Behavior) {
        self.shared.behavior.store(behavior as u8, Ordering::Relaxed);
    }

    /// Lets each call take this long.
    pub fn set_delay(&self, delay: Duration) {
        self.shared.delay_ms.store(delay.as_millis() as u64, Ordering::Relaxed);
    }

    /// Lets the service announce that it is leaving.
    pub fn announce_leaving(&self) {
        if let Some(announcer) = &self.announcer {
            announcer.announce_leaving();
        }
    }

    /// Kills the service.
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
        let name = header.map(|values| values.as_str().to_owned()).unwrap_or_default();
        let index = self.history.record_start(&name, &body, 0);
        let delay = Duration::from_millis(self.delay_ms.load(Ordering::Relaxed));
        Timer::after(delay).await;
        self.history.record_finish(index);
        let closed = || http_types::Error::from_str(500, "closed without an answer");
        if behavior == Behavior::CloseUnanswered as u8 {
            return Err(closed());
        }
        if behavior == Behavior::Truncate as u8 {
            stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nabc").await?;
            return Err(closed());
        }
        if behavior == Behavior::Unframed as u8 {
            stream.write_all(b"HTTP/1.1 200 OK\r\n\r\nabc").await?;
            return Err(closed());
        }
        let mut response = Response::new(StatusCode::Ok);
        let answer = json!({ "run": index, "by": name, "body": body });
        response.set_body(answer.to_string());
        response.insert_header(CONTENT_TYPE, "application/json");
        Ok(response)
    }
}
