//! The listener for callers, and the task of each request.

use std::time::Duration;

use dotterelhoist_core::control::command::{Run, RunResult};
use dotterelhoist_core::event::Event;
use dotterelhoist_core::request::{Call, Decision, Dispatch, End, Reason, Refusal, Request};
use dotterelhoist_core::Name;
use futures_lite::{AsyncReadExt, FutureExt};
use http_types::headers::{AUTHORIZATION, CONTENT_TYPE};
use http_types::{Body, Method, Response, StatusCode};
use sha2::{Digest, Sha256};
use smallvec::SmallVec;
use smol::channel::{bounded, Receiver};
use smol::Timer;
use xxhash_rust::xxh3::Xxh3;

use crate::clock;
use crate::http::{self, Handler, Limits, Socket};
use crate::prompt;
use crate::reactor::{Desk, Input, Named, Permit, Slot};
use crate::relay::{self, buffered, Relay};
use crate::upstream::{Outgoing, Pool, Started};

/// Header with the request id.
const REQUEST_HEADER: &str = "dotterelhoist-request";
/// Header that says that an answer is a recorded one.
const REPEATED_HEADER: &str = "dotterelhoist-repeated";
/// Longest answer that is read whole before any of it is forwarded.
const ANSWER_MAX: usize = 64 << 20;
/// Decisions that may wait for a task.
const DECISIONS_MAX: usize = 8;

/// Answers callers.
#[derive(Clone, Debug)]
pub(crate) struct Callers {
    pub desk: Desk,
    pub pool: Pool,
    pub limits: Limits,
    pub held_bytes: usize,
}

/// A request that was read whole and understood.
struct Understood {
    request: Request,
    outgoing: Outgoing,
    stream: bool,
}

impl Handler for Callers {
    async fn handle(&self, mut request: http_types::Request, socket: Socket) -> Response {
        let path = request.url().path().to_owned();
        if path == "/healthz" {
            return self.health();
        }
        let body = match http::read_body(&mut request, &socket, self.limits).await {
            Ok(body) => body,
            Err(reason) => return self.reject(reason),
        };
        match self.understand(&request, &path, body) {
            Ok(understood) => self.run(understood, &socket).await,
            Err(reason) => self.reject(reason),
        }
    }

    fn rejected(&self, reason: Reason) {
        self.desk.event(Event::RequestRefused(reason));
    }
}

impl Callers {
    fn health(&self) -> Response {
        let status = match self.desk.is_serving() {
            true => StatusCode::Ok,
            false => StatusCode::ServiceUnavailable,
        };
        Response::new(status)
    }

    fn reject(&self, reason: Reason) -> Response {
        self.rejected(reason);
        http::problem("", &Refusal { reason, run: Run::NotRun, retry_after: None })
    }

    fn understand(
        &self,
        request: &http_types::Request,
        path: &str,
        body: Vec<u8>,
    ) -> Result<Understood, Reason> {
        let header = |name: &str| request.header(name).map(|values| values.as_str().to_owned());
        let key = header(AUTHORIZATION.as_str());
        let key = key.as_deref().and_then(|value| value.strip_prefix("Bearer "));
        let key_sha256 = hex(&Sha256::digest(key.unwrap_or_default()));
        let number = |name: &str| match header(name) {
            None => Ok(None),
            Some(value) => value.parse::<u64>().map(Some).map_err(|_| Reason::BadRequest),
        };
        let timeout = number("dotterelhoist-timeout-ms")?.map(Duration::from_millis);
        let priority = number("dotterelhoist-priority")?.unwrap_or(5).min(9) as u8;
        let target = understand_target(request, path, &body)?;
        let mut hasher = Xxh3::new();
        for part in [target.service.as_bytes(), target.path.as_bytes(), &body] {
            hasher.update(part);
            hasher.update(&[0]);
        }
        hasher.update(request.method().as_ref().as_bytes());
        let request = Request {
            id: self.desk.number(),
            key_sha256: key_sha256.into(),
            service: target.service,
            call: target.call,
            idempotency_key: header("idempotency-key").map(Into::into),
            digest: hasher.digest(),
            timeout,
            priority,
            cost: target.cost,
            prefixes: target.prefixes,
            received: clock::unix().as_secs(),
        };
        let outgoing = Outgoing {
            method: target.method,
            path: target.path,
            content_type: header(CONTENT_TYPE.as_str()),
            body: body.into(),
        };
        Ok(Understood { request, outgoing, stream: target.stream })
    }

    /// Follows the reactor's decisions until there is a final answer.
    async fn run(&self, understood: Understood, socket: &Socket) -> Response {
        let Understood { request, outgoing, stream } = understood;
        let id = request.id;
        let (sender, decisions) = bounded(DECISIONS_MAX);
        let (abort_sender, abort) = bounded(1);
        let permit = Permit::default();
        let slot = Slot { decisions: sender, abort: abort_sender, permit: permit.clone() };
        let keyed = request.idempotency_key.is_some();
        self.desk.put(Input::Request(Box::new(request), slot));
        let mut held = None;
        loop {
            let next = async { decisions.recv().await.ok() };
            let gone = async {
                socket.hung_up().await;
                if keyed || held.is_some() {
                    std::future::pending::<()>().await;
                }
                self.desk.event(Event::CallerGone(id));
                std::future::pending().await
            };
            let Some(Named { name, decision }) = next.or(gone).await else {
                return self.reject(Reason::Stopping);
            };
            let response = match decision {
                Decision::Refuse(refusal) => http::problem(&name, &refusal),
                Decision::Replay(result) => repeat(result),
                Decision::Deliver => {
                    held.take().unwrap_or_else(|| http::problem(&name, &unknown(Reason::Broken)))
                }
                Decision::Dispatch(dispatch) => {
                    let (abort, permit) = (abort.clone(), permit.clone());
                    let task = Task { callers: self, id, socket, abort, permit };
                    match task.attempt(&dispatch, &outgoing, stream).await {
                        Attempt::Forward(response) => response,
                        Attempt::Hold(response) => {
                            held = Some(response);
                            continue;
                        }
                        Attempt::Ended => continue,
                    }
                }
            };
            return named(response, &name);
        }
    }
}

/// What an attempt came to.
enum Attempt {
    /// This answer goes to the caller.
    Forward(Response),
    /// This answer goes to the caller once its end is recorded.
    Hold(Response),
    /// The reactor was told how it ended and decides on.
    Ended,
}

/// The task of a request during one attempt.
struct Task<'a> {
    callers: &'a Callers,
    id: u64,
    socket: &'a Socket,
    abort: Receiver<()>,
    permit: Permit,
}

impl Task<'_> {
    async fn attempt(&self, dispatch: &Dispatch, outgoing: &Outgoing, stream: bool) -> Attempt {
        let started = async { self.callers.pool.start(dispatch, outgoing).await };
        let started = match started.or(self.interrupted(dispatch)).await {
            Ok(started) => started,
            Err(end) => return self.ended(end),
        };
        let success = started.response.status().is_success();
        if dispatch.buffered {
            return self.hold(dispatch, started).await;
        }
        if stream && success {
            return self.forward(dispatch, started).await;
        }
        self.read_whole(dispatch, started).await
    }

    fn ended(&self, end: End) -> Attempt {
        self.callers.desk.event(Event::AttemptEnded { request: self.id, end });
        Attempt::Ended
    }

    /// Resolves when the attempt has to stop before anything was forwarded.
    async fn interrupted<Item>(&self, dispatch: &Dispatch) -> Result<Item, End> {
        let late = async {
            Timer::at(clock::system(dispatch.deadline)).await;
            Err(End::TimedOut { tokens: 0 })
        };
        let aborted = async {
            self.abort.recv().await.ok();
            Err(End::Lost { tokens: 0, forwarded: false, crashed: false })
        };
        let gone = async {
            self.socket.hung_up().await;
            if dispatch.buffered {
                std::future::pending::<()>().await;
            }
            Err(End::CallerGone { tokens: 0 })
        };
        late.or(aborted).or(gone).await
    }

    /// Reads a whole answer before any of it is forwarded.
    async fn collect(&self, dispatch: &Dispatch, started: Started) -> Result<Whole, End> {
        let Started { mut response, length, lease } = started;
        let mut bytes = Vec::new();
        let read = async {
            let mut body = (&mut response).take(ANSWER_MAX as u64 + 1);
            let broken = |_| End::Lost { tokens: 0, forwarded: false, crashed: true };
            body.read_to_end(&mut bytes).await.map_err(broken)?;
            Ok(())
        };
        read.or(self.interrupted(dispatch)).await?;
        let whole = length.is_none_or(|length| length == bytes.len());
        if !whole || bytes.len() > ANSWER_MAX {
            return Err(End::Lost { tokens: 0, forwarded: false, crashed: !whole });
        }
        if !self.permit.holds() {
            return Err(End::Lost { tokens: 0, forwarded: false, crashed: false });
        }
        lease.give_back();
        let content_type = response.header(CONTENT_TYPE).map(|values| values.as_str().to_owned());
        Ok(Whole {
            status: response.status(),
            content_type: content_type.unwrap_or_default(),
            bytes,
        })
    }

    async fn read_whole(&self, dispatch: &Dispatch, started: Started) -> Attempt {
        let whole = match self.collect(dispatch, started).await {
            Ok(whole) => whole,
            Err(end) => return self.ended(end),
        };
        if whole.status.is_server_error() {
            return self.ended(End::Lost { tokens: 0, forwarded: false, crashed: false });
        }
        let end = End::Answered {
            status: whole.status.into(),
            content_type: String::new(),
            body: Vec::new(),
            tokens: tokens_used(&whole.bytes),
        };
        self.callers.desk.event(Event::AttemptEnded { request: self.id, end });
        Attempt::Forward(whole.into_response())
    }

    async fn hold(&self, dispatch: &Dispatch, started: Started) -> Attempt {
        let whole = match self.collect(dispatch, started).await {
            Ok(whole) => whole,
            Err(end) => return self.ended(end),
        };
        let kept = whole.bytes.len() <= self.callers.held_bytes;
        let end = End::Answered {
            status: whole.status.into(),
            content_type: whole.content_type.clone(),
            body: if kept { whole.bytes.clone() } else { Vec::new() },
            tokens: tokens_used(&whole.bytes),
        };
        self.callers.desk.event(Event::AttemptEnded { request: self.id, end });
        Attempt::Hold(whole.into_response())
    }

    /// Forwards a stream from its first bytes on; until these have come the attempt can be repeated.
    async fn forward(&self, dispatch: &Dispatch, started: Started) -> Attempt {
        let Started { response, lease, .. } = started;
        let content_type = response.header(CONTENT_TYPE).map(|values| values.as_str().to_owned());
        let status = response.status();
        let events = content_type.as_deref().is_some_and(|kind| kind.starts_with("text/event"));
        let mut response = response;
        let first = async {
            let filled = futures_lite::future::poll_fn(|context| {
                use futures_lite::AsyncBufRead;
                std::pin::Pin::new(&mut response)
                    .poll_fill_buf(context)
                    .map(|filled| filled.map(|bytes| !bytes.is_empty()))
            });
            match filled.await {
                Ok(true) => Ok(()),
                _ => Err(End::Lost { tokens: 0, forwarded: false, crashed: true }),
            }
        };
        if let Err(end) = first.or(self.interrupted(dispatch)).await {
            return self.ended(end);
        }
        let limits = relay::Limits {
            abort: self.abort.clone(),
            permit: self.permit.clone(),
            deadline: clock::system(dispatch.deadline),
        };
        let desk = self.callers.desk.clone();
        let relay = Relay::new(response, lease, limits, desk, self.id, events);
        let mut answer = Response::new(status);
        answer.set_body(Body::from_reader(buffered(relay), None));
        if let Some(content_type) = content_type {
            answer.insert_header(CONTENT_TYPE, content_type);
        }
        Attempt::Forward(answer)
    }
}

/// An answer that was read whole.
struct Whole {
    status: StatusCode,
    content_type: String,
    bytes: Vec<u8>,
}

impl Whole {
    fn into_response(self) -> Response {
        let mut response = Response::new(self.status);
        response.set_body(Body::from_bytes(self.bytes));
        if !self.content_type.is_empty() {
            response.insert_header(CONTENT_TYPE, self.content_type);
        }
        response
    }
}

/// Where a request goes and what it asks.
struct Destination {
    service: Name,
    call: Call,
    method: Method,
    path: String,
    stream: bool,
    cost: f64,
    prefixes: SmallVec<[u64; 8]>,
}

fn understand_target(
    request: &http_types::Request,
    path: &str,
    body: &[u8],
) -> Result<Destination, Reason> {
    let method = request.method();
    if matches!(path, "/v1/chat/completions" | "/v1/completions") {
        if method != Method::Post {
            return Err(Reason::UnknownPath);
        }
        let prompt = prompt::read(body).map_err(|_| Reason::BadRequest)?;
        return Ok(Destination {
            service: prompt.model.into(),
            call: Call::Model,
            method,
            path: path.to_owned(),
            stream: prompt.stream,
            cost: f64::from(prompt.tokens),
            prefixes: prompt.prefixes,
        });
    }
    let rest = path.strip_prefix("/services/").ok_or(Reason::UnknownPath)?;
    let (service, rest) = rest.split_once('/').unwrap_or((rest, ""));
    let safe = matches!(method, Method::Get | Method::Head | Method::Options);
    let inner = format!("/{rest}");
    let full = match request.url().query() {
        Some(query) => format!("{inner}?{query}"),
        None => inner.clone(),
    };
    Ok(Destination {
        service: service.into(),
        call: Call::Plain { safe, path: inner.into() },
        method,
        path: full,
        stream: safe,
        cost: 1.0,
        prefixes: SmallVec::new(),
    })
}

/// Tokens that an answer says it used, 0 if it does not say.
fn tokens_used(bytes: &[u8]) -> u64 {
    #[derive(serde::Deserialize)]
    struct Answer {
        usage: Usage,
    }
    #[derive(serde::Deserialize)]
    struct Usage {
        completion_tokens: u64,
    }
    serde_json::from_slice::<Answer>(bytes).map_or(0, |answer| answer.usage.completion_tokens)
}

fn unknown(reason: Reason) -> Refusal {
    Refusal { reason, run: Run::Unknown, retry_after: None }
}

fn repeat(result: RunResult) -> Response {
    let status = StatusCode::try_from(result.status as u16).unwrap_or(StatusCode::Ok);
    let whole = Whole { status, content_type: result.content_type, bytes: result.answer };
    let mut response = whole.into_response();
    response.insert_header(REPEATED_HEADER, "true");
    response
}

fn named(mut response: Response, name: &Name) -> Response {
    response.insert_header(REQUEST_HEADER, &**name);
    response
}

fn hex(bytes: &[u8]) -> String {
    use std::fmt::Write;
    bytes.iter().fold(String::new(), |mut text, byte| {
        write!(text, "{byte:02x}").ok();
        text
    })
}

/// Serves callers within the handler's own limits.
pub(crate) async fn listen(listener: smol::net::TcpListener, callers: Callers) {
    let limits = callers.limits;
    http::listen(listener, callers, limits).await;
}
