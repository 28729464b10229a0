//! The listener for callers, and the task that handles each request.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use dotterelhoist_core::control::command::{Run, RunResult};
use dotterelhoist_core::event::Event;
use dotterelhoist_core::request::{Call, Decision, Dispatch, End, Reason, Refusal, Request};
use dotterelhoist_core::Name;
use futures_lite::io::Cursor;
use futures_lite::{AsyncBufRead, AsyncRead, AsyncReadExt, FutureExt};
use http_types::headers::{AUTHORIZATION, CONTENT_TYPE};
use http_types::{Body, Method, Response, StatusCode};
use sha2::{Digest, Sha256};
use smallvec::SmallVec;
use smol::channel::{bounded, Receiver};
use smol::Timer;
use xxhash_rust::xxh3::Xxh3;

use crate::clock;
use crate::http::{self, Handler, Limits, Socket};
use crate::memory::{Budget, Share};
use crate::prompt;
use crate::reactor::{Handle, Input, Instruction, Permission, TaskHandle};
use crate::relay::{self, into_reader, Relay};
use crate::upstream::{Answer, Outgoing, Pool};

/// Header that carries the request id in each answer to a request that got one.
const REQUEST_HEADER: &str = "dotterelhoist-request";
/// Header that marks an answer as the one recorded for the idempotency key.
const REPLAYED_HEADER: &str = "dotterelhoist-repeated";
/// Longest answer that may be read completely before any of it is forwarded. An attempt with a
/// longer answer ends as [`End::Lost`]. Streams are not limited.
const MAX_BUFFERED_ANSWER_BYTES: usize = 64 << 20;
/// Bytes of answers that are held at the same time; an attempt whose answer needs more has failed.
pub(crate) const MAX_HELD_ANSWER_BYTES: usize = 96 << 20;
/// Bytes of an answer that are read at once.
const ANSWER_PART_BYTES: usize = 16 << 10;
/// Instructions that may be queued for the task of a request; the reactor drops any more.
const MAX_QUEUED_INSTRUCTIONS: usize = 8;

/// Handles requests of callers.
#[derive(Clone, Debug)]
pub(crate) struct Callers {
    /// Memory for the answers that are read before they are forwarded.
    pub answer_memory: Budget,
    pub reactor: Handle,
    /// Idle connections to endpoints.
    pub pool: Pool,
    pub limits: Limits,
    /// Longest answer to a non-idempotent request that is recorded. A longer one still reaches the
    /// caller, but its body can't be replayed.
    pub max_recorded_answer_bytes: usize,
}

/// A request that was read completely and parsed.
struct ParsedRequest {
    /// The request as the reducer sees it.
    request: Request,
    /// The request as endpoints receive it.
    outgoing: Outgoing,
    /// Whether a successful answer is forwarded while it arrives instead of after it is complete.
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
            Err(reason) => return self.refuse(reason),
        };
        match self.parse(&request, &path, body) {
            Ok(parsed) => self.run(parsed, &socket).await,
            Err(reason) => self.refuse(reason),
        }
    }

    fn record_refusal(&self, reason: Reason) {
        self.reactor.send_event(Event::RequestRefused(reason));
    }
}

impl Callers {
    /// Answers the load balancer's health check: 200 while the daemon accepts requests, else 503.
    fn health(&self) -> Response {
        let status = match self.reactor.is_serving() {
            true => StatusCode::Ok,
            false => StatusCode::ServiceUnavailable,
        };
        Response::new(status)
    }

    /// Refuses a request without a decision of the reducer, which only counts the refusal.
    fn refuse(&self, reason: Reason) -> Response {
        self.record_refusal(reason);
        http::problem("", &Refusal { reason, run: Run::NotRun, retry_after: None })
    }

    /// Parses headers, path and body of a request.
    ///
    /// # Errors
    ///
    /// Returns the reason to refuse the request.
    fn parse(
        &self,
        request: &http_types::Request,
        path: &str,
        body: Vec<u8>,
    ) -> Result<ParsedRequest, Reason> {
        let header = |name: &str| request.header(name).map(|values| values.as_str().to_owned());
        let authorization = header(AUTHORIZATION.as_str());
        let key = authorization.as_deref().and_then(|value| value.strip_prefix("Bearer "));
        let key_sha256 = hexadecimal(&Sha256::digest(key.unwrap_or_default()));
        let numeric_header = |name: &str| match header(name) {
            None => Ok(None),
            Some(value) => value.parse::<u64>().map(Some).map_err(|_| Reason::BadRequest),
        };
        let timeout = numeric_header("dotterelhoist-timeout-ms")?.map(Duration::from_millis);
        // Priorities range from 0, the most urgent, to 9.
        let priority = numeric_header("dotterelhoist-priority")?.unwrap_or(5).min(9) as u8;
        let destination = parse_destination(request, path, &body)?;
        let mut hasher = Xxh3::new();
        for part in [destination.service.as_bytes(), destination.path.as_bytes(), &body] {
            hasher.update(part);
            hasher.update(&[0]);
        }
        hasher.update(request.method().as_ref().as_bytes());
        let request = Request {
            id: self.reactor.next_number(),
            key_sha256: key_sha256.into(),
            service: destination.service,
            call: destination.call,
            idempotency_key: header("idempotency-key").map(Into::into),
            digest: hasher.digest(),
            timeout,
            priority,
            cost: destination.cost,
            prefixes: destination.prefixes,
            received: clock::since_unix_epoch().as_secs(),
        };
        let outgoing = Outgoing {
            method: destination.method,
            path: destination.path,
            content_type: header(CONTENT_TYPE.as_str()),
            body: body.into(),
        };
        Ok(ParsedRequest { request, outgoing, stream: destination.stream })
    }

    /// Passes a request to the reactor and carries out the reducer's decisions until there is a
    /// final answer. If the caller disconnects while no attempt runs, [`Event::CallerGone`] is sent
    /// to the reactor, unless the request has an idempotency key or a buffered answer: then it is
    /// continued, so that its outcome is recorded.
    async fn run(&self, parsed: ParsedRequest, socket: &Socket) -> Response {
        let ParsedRequest { request, outgoing, stream } = parsed;
        let request_number = request.id;
        let (instruction_sender, instructions) = bounded(MAX_QUEUED_INSTRUCTIONS);
        let (abort_sender, abort) = bounded(1);
        let permission = Permission::default();
        let task = TaskHandle {
            instructions: instruction_sender,
            abort: abort_sender,
            permission: permission.clone(),
        };
        let has_idempotency_key = request.idempotency_key.is_some();
        self.reactor.send(Input::Request(Box::new(request), task));
        let mut buffered_answer = None;
        loop {
            let instruction = async { instructions.recv().await.ok() };
            let caller_gone = async {
                socket.wait_closed().await;
                if has_idempotency_key || buffered_answer.is_some() {
                    std::future::pending::<()>().await;
                }
                self.reactor.send_event(Event::CallerGone(request_number));
                std::future::pending().await
            };
            let Some(Instruction { request_id, decision }) = instruction.or(caller_gone).await
            else {
                return self.refuse(Reason::Stopping);
            };
            let response = match decision {
                Decision::Refuse(refusal) => http::problem(&request_id, &refusal),
                Decision::Replay(result) => replay(result),
                Decision::Deliver => buffered_answer.take().unwrap_or_else(|| {
                    http::problem(&request_id, &unknown_run_refusal(Reason::Broken))
                }),
                Decision::Dispatch(dispatch) => {
                    let (abort, permission) = (abort.clone(), permission.clone());
                    let attempt =
                        Attempt { callers: self, request_number, socket, abort, permission };
                    match attempt.run(&dispatch, &outgoing, stream).await {
                        Outcome::Forward(response) => response,
                        Outcome::Buffer(response) => {
                            buffered_answer = Some(response);
                            continue;
                        }
                        Outcome::Ended => continue,
                    }
                }
            };
            return with_request_id(response, &request_id);
        }
    }
}

/// What follows an attempt.
enum Outcome {
    /// Return this answer to the caller now.
    Forward(Response),
    /// Keep this answer until [`Decision::Deliver`], which follows once the outcome is recorded.
    Buffer(Response),
    /// Wait for the next decision: there is no answer to return, and the end of the attempt was
    /// reported to the reactor.
    Ended,
}

/// An attempt to run a request on an endpoint.
struct Attempt<'a> {
    callers: &'a Callers,
    /// Number of the request.
    request_number: u64,
    /// Connection to the caller.
    socket: &'a Socket,
    /// Closed by the reactor to stop the attempt.
    abort: Receiver<()>,
    /// Permission to forward the answer.
    permission: Permission,
}

impl Attempt<'_> {
    /// Sends the request and reads the answer; of a stream only the first bytes, because the rest
    /// is read while it is forwarded.
    async fn run(&self, dispatch: &Dispatch, outgoing: &Outgoing, stream: bool) -> Outcome {
        let received = async { self.callers.pool.send(dispatch, outgoing).await };
        let received = match received.or(self.wait_for_interruption(dispatch)).await {
            Ok(received) => received,
            Err(end) => return self.report_end(end),
        };
        let is_success = received.response.status().is_success();
        if dispatch.buffered {
            return self.buffer(dispatch, received).await;
        }
        if stream && is_success {
            return self.forward_stream(dispatch, received).await;
        }
        self.forward_complete(dispatch, received).await
    }

    /// Reports to the reactor how the attempt ended.
    fn report_end(&self, end: End) -> Outcome {
        self.callers.reactor.send_event(Event::AttemptEnded { request: self.request_number, end });
        Outcome::Ended
    }

    /// Resolves when the attempt has to stop before any of its answer was forwarded: at the
    /// deadline, when the reactor aborts it, or when the caller disconnects, unless the answer is
    /// buffered.
    async fn wait_for_interruption<Item>(&self, dispatch: &Dispatch) -> Result<Item, End> {
        let timeout = async {
            Timer::at(clock::to_std(dispatch.deadline)).await;
            Err(End::TimedOut { tokens: 0 })
        };
        let aborted = async {
            self.abort.recv().await.ok();
            Err(End::Lost { tokens: 0, forwarded: false, crashed: false })
        };
        let caller_gone = async {
            self.socket.wait_closed().await;
            if dispatch.buffered {
                std::future::pending::<()>().await;
            }
            Err(End::CallerGone { tokens: 0 })
        };
        timeout.or(aborted).or(caller_gone).await
    }

    /// Reads an answer completely before any of it is forwarded.
    ///
    /// # Errors
    ///
    /// Returns how the attempt ended if the answer is truncated or longer than
    /// [`MAX_BUFFERED_ANSWER_BYTES`], if there is no memory for it, if the attempt has to stop before the
    /// end of the answer, or if the permission to forward it has expired.
    async fn read_answer(
        &self,
        dispatch: &Dispatch,
        received: Answer,
    ) -> Result<CompleteAnswer, End> {
        let Answer { mut response, length, connection } = received;
        let mut bytes = Vec::new();
        let mut share = self.callers.answer_memory.share();
        let read = async {
            let mut part = vec![0; ANSWER_PART_BYTES];
            loop {
                let connection_failed =
                    |_| End::Lost { tokens: 0, forwarded: false, crashed: true };
                let count = response.read(&mut part).await.map_err(connection_failed)?;
                if count == 0 {
                    return Ok(());
                }
                let total = bytes.len() + count;
                if total > MAX_BUFFERED_ANSWER_BYTES || !share.grow(total) {
                    return Err(End::Lost { tokens: 0, forwarded: false, crashed: false });
                }
                bytes.extend_from_slice(&part[..count]);
            }
        };
        read.or(self.wait_for_interruption(dispatch)).await?;
        if length.is_some_and(|length| length != bytes.len()) {
            return Err(End::Lost { tokens: 0, forwarded: false, crashed: true });
        }
        if !self.permission.is_valid() {
            return Err(End::Lost { tokens: 0, forwarded: false, crashed: false });
        }
        connection.release();
        let content_type = response.header(CONTENT_TYPE).map(|values| values.as_str().to_owned());
        Ok(CompleteAnswer {
            status: response.status(),
            content_type: content_type.unwrap_or_default(),
            bytes,
            share,
        })
    }

    /// Reads an answer completely and then forwards it. Server errors (5xx) are not forwarded: the
    /// reactor decides whether the request is retried.
    async fn forward_complete(&self, dispatch: &Dispatch, received: Answer) -> Outcome {
        let answer = match self.read_answer(dispatch, received).await {
            Ok(answer) => answer,
            Err(end) => return self.report_end(end),
        };
        if answer.status.is_server_error() {
            return self.report_end(End::Lost { tokens: 0, forwarded: false, crashed: false });
        }
        let end = End::Answered {
            status: answer.status.into(),
            content_type: String::new(),
            body: Vec::new(),
            tokens: tokens_used(&answer.bytes),
        };
        self.callers.reactor.send_event(Event::AttemptEnded { request: self.request_number, end });
        Outcome::Forward(answer.into_response())
    }

    /// Reads an answer completely and reports it with its body, so that it can be recorded before
    /// it is delivered. The body is left out if it is longer than
    /// [`Callers::max_recorded_answer_bytes`].
    async fn buffer(&self, dispatch: &Dispatch, received: Answer) -> Outcome {
        let answer = match self.read_answer(dispatch, received).await {
            Ok(answer) => answer,
            Err(end) => return self.report_end(end),
        };
        let is_recordable = answer.bytes.len() <= self.callers.max_recorded_answer_bytes;
        let end = End::Answered {
            status: answer.status.into(),
            content_type: answer.content_type.clone(),
            body: if is_recordable { answer.bytes.clone() } else { Vec::new() },
            tokens: tokens_used(&answer.bytes),
        };
        self.callers.reactor.send_event(Event::AttemptEnded { request: self.request_number, end });
        Outcome::Buffer(answer.into_response())
    }

    /// Forwards a stream once its first bytes have arrived; up to then the request can be retried.
    async fn forward_stream(&self, dispatch: &Dispatch, received: Answer) -> Outcome {
        let Answer { response, connection, .. } = received;
        let content_type = response.header(CONTENT_TYPE).map(|values| values.as_str().to_owned());
        let status = response.status();
        let is_event_stream =
            content_type.as_deref().is_some_and(|value| value.starts_with("text/event"));
        let mut response = response;
        let first_bytes = async {
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
        if let Err(end) = first_bytes.or(self.wait_for_interruption(dispatch)).await {
            return self.report_end(end);
        }
        let cancellation = relay::Cancellation {
            abort: self.abort.clone(),
            permission: self.permission.clone(),
            deadline: clock::to_std(dispatch.deadline),
        };
        let reactor = self.callers.reactor.clone();
        let relay = Relay::new(
            response,
            connection,
            cancellation,
            reactor,
            self.request_number,
            is_event_stream,
        );
        let mut response = Response::new(status);
        response.set_body(Body::from_reader(into_reader(relay), None));
        if let Some(content_type) = content_type {
            response.insert_header(CONTENT_TYPE, content_type);
        }
        Outcome::Forward(response)
    }
}

/// An answer that was read completely.
struct CompleteAnswer {
    status: StatusCode,
    /// Content type, empty if there is none.
    content_type: String,
    bytes: Vec<u8>,
    /// Memory that the bytes hold.
    share: Share,
}

/// The bytes of an answer while they are sent to its caller.
struct HeldBytes {
    bytes: Cursor<Vec<u8>>,
    _share: Share,
}

impl AsyncRead for HeldBytes {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.bytes).poll_read(context, buffer)
    }
}

impl AsyncBufRead for HeldBytes {
    fn poll_fill_buf(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        Pin::new(&mut self.get_mut().bytes).poll_fill_buf(context)
    }

    fn consume(mut self: Pin<&mut Self>, count: usize) {
        Pin::new(&mut self.bytes).consume(count);
    }
}

impl CompleteAnswer {
    fn into_response(self) -> Response {
        let mut response = Response::new(self.status);
        let length = self.bytes.len();
        let held = HeldBytes { bytes: Cursor::new(self.bytes), _share: self.share };
        response.set_body(Body::from_reader(held, Some(length)));
        if !self.content_type.is_empty() {
            response.insert_header(CONTENT_TYPE, self.content_type);
        }
        response
    }
}

/// Service that a request is for and its expected cost, determined from its path and body.
struct Destination {
    service: Name,
    call: Call,
    method: Method,
    /// Path with query, as sent to the endpoint.
    path: String,
    /// Whether a successful answer is forwarded while it arrives instead of after it is complete.
    stream: bool,
    /// Expected work for fair queueing: maximum number of answer tokens, 1 for a plain service.
    cost: f64,
    /// Hashes of the prompt's prefixes, shortest first.
    prefixes: SmallVec<[u64; 8]>,
}

/// Determines the service from the path or, for a generation request, from the model in its body.
fn parse_destination(
    request: &http_types::Request,
    path: &str,
    body: &[u8],
) -> Result<Destination, Reason> {
    let method = request.method();
    if matches!(path, "/v1/chat/completions" | "/v1/completions") {
        if method != Method::Post {
            return Err(Reason::UnknownPath);
        }
        let parameters = prompt::parse(body).map_err(|_| Reason::BadRequest)?;
        return Ok(Destination {
            service: parameters.model.into(),
            call: Call::Model,
            method,
            path: path.to_owned(),
            stream: parameters.stream,
            cost: f64::from(parameters.max_tokens),
            prefixes: parameters.prefixes,
        });
    }
    let rest = path.strip_prefix("/services/").ok_or(Reason::UnknownPath)?;
    let (service, rest) = rest.split_once('/').unwrap_or((rest, ""));
    let is_safe = matches!(method, Method::Get | Method::Head | Method::Options);
    let service_path = format!("/{rest}");
    let path_with_query = match request.url().query() {
        Some(query) => format!("{service_path}?{query}"),
        None => service_path.clone(),
    };
    Ok(Destination {
        service: service.into(),
        call: Call::Plain { safe: is_safe, path: service_path.into() },
        method,
        path: path_with_query,
        stream: is_safe,
        cost: 1.0,
        prefixes: SmallVec::new(),
    })
}

/// Number of completion tokens in the `usage` of an answer, 0 if it has none.
fn tokens_used(bytes: &[u8]) -> u64 {
    #[derive(serde::Deserialize)]
    struct Completion {
        usage: Usage,
    }
    #[derive(serde::Deserialize)]
    struct Usage {
        completion_tokens: u64,
    }
    serde_json::from_slice::<Completion>(bytes)
        .map_or(0, |completion| completion.usage.completion_tokens)
}

/// Refusal of a request that may or may not have run.
fn unknown_run_refusal(reason: Reason) -> Refusal {
    Refusal { reason, run: Run::Unknown, retry_after: None }
}

/// Response with the answer recorded for an idempotency key.
fn replay(result: RunResult) -> Response {
    let status = StatusCode::try_from(result.status as u16).unwrap_or(StatusCode::Ok);
    let mut response = Response::new(status);
    response.set_body(Body::from_bytes(result.answer));
    if !result.content_type.is_empty() {
        response.insert_header(CONTENT_TYPE, result.content_type);
    }
    response.insert_header(REPLAYED_HEADER, "true");
    response
}

fn with_request_id(mut response: Response, request_id: &Name) -> Response {
    response.insert_header(REQUEST_HEADER, &**request_id);
    response
}

fn hexadecimal(bytes: &[u8]) -> String {
    use std::fmt::Write;
    bytes.iter().fold(String::new(), |mut text, byte| {
        write!(text, "{byte:02x}").ok();
        text
    })
}

/// Accepts connections of callers, within the limits in `callers`.
pub(crate) async fn listen(listener: smol::net::TcpListener, callers: Callers) {
    let limits = callers.limits;
    http::listen(listener, callers, limits).await;
}
