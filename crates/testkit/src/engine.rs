//! A stand-in for a model engine on one VM.
//!
//! It sends announcements to a daemon, applies orders, loads models in a configured time, runs up
//! to `slots` requests at once, streams tokens whose text depends only on the prompt, keeps a small
//! prefix cache that shortens the prefill, and cancels requests whose connection is closed.

use std::collections::{BTreeMap, HashSet, VecDeque};
use std::future::Future;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use dotterelhoist_core::message::{Announcement, Order, Phase};
use futures_lite::{AsyncReadExt, FutureExt};
use http_types::headers::CONTENT_TYPE;
use http_types::{Body, Method, Request, Response, StatusCode, Url};
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};
use smol::lock::Semaphore;
use smol::net::{TcpListener, TcpStream};
use smol::{Task, Timer};
use xxhash_rust::xxh3::xxh3_64;

use crate::client::answer_token;
use crate::server::{self, wait_closed, Handler};

/// Text in a prompt that makes the engine crash while it runs the request.
pub const POISON: &str = "poison";
/// Maximum number of cached prefixes; when one more is added, the oldest one is evicted.
const MAX_CACHED_PREFIXES: usize = 256;
/// Number of bytes at the start of a prompt that form its prefix for the prefix cache.
const PREFIX_BYTES: usize = 256;

/// Properties of a stand-in, passed as JSON to one in a process of its own.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Config {
    /// Name of the VM.
    pub vm: String,
    /// Availability zone.
    pub zone: String,
    /// Fabric domain.
    pub fabric_domain: String,
    /// Labels of the VM.
    pub labels: BTreeMap<String, String>,
    /// Accelerators of the VM.
    pub accelerators: u32,
    /// Maximum number of requests that run at once; further ones wait.
    pub slots: u32,
    /// Milliseconds to load a model.
    pub load_ms: u64,
    /// Milliseconds of the prefill of a prompt whose prefix is not cached; one with a cached prefix
    /// takes a fifth of that.
    pub prefill_ms: u64,
    /// Milliseconds to generate one token.
    pub token_ms: u64,
    /// Whether it refuses orders with an outdated fencing number and requests for another group
    /// generation.
    pub fences: bool,
    /// Whether it announces itself as a plain service.
    pub plain: bool,
    /// Daemons' addresses for announcements. It uses one of them until that does not answer, then
    /// the next.
    pub daemons: Vec<SocketAddr>,
}

impl Config {
    /// Properties of an engine that loads a model in 200 ms and generates a token in 1 ms.
    pub fn new(vm: &str, zone: &str, fabric_domain: &str, daemons: &[SocketAddr]) -> Config {
        Config {
            vm: vm.to_owned(),
            zone: zone.to_owned(),
            fabric_domain: fabric_domain.to_owned(),
            labels: BTreeMap::new(),
            accelerators: 8,
            slots: 16,
            load_ms: 200,
            prefill_ms: 5,
            token_ms: 1,
            fences: true,
            plain: false,
            daemons: daemons.to_vec(),
        }
    }
}

/// One execution of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Execution {
    /// Id that the daemon assigned to the request.
    pub request_id: String,
    /// Request body.
    pub body: String,
    /// Whether it ran to its end, instead of being cancelled or still running.
    pub finished: bool,
    /// Group generation in which it started, 0 for a plain service.
    pub generation: u64,
}

/// Record of what a stand-in has run, which tests compare with what callers were told.
#[derive(Clone, Debug, Default)]
pub struct History {
    executions: Arc<Mutex<Vec<Execution>>>,
    orders: Arc<Mutex<Vec<Order>>>,
}

impl History {
    /// All executions so far, in the order of their start.
    pub fn executions(&self) -> Vec<Execution> {
        self.executions.lock().map(|list| list.clone()).unwrap_or_default()
    }

    /// All orders accepted so far.
    pub fn orders(&self) -> Vec<Order> {
        self.orders.lock().map(|list| list.clone()).unwrap_or_default()
    }

    /// Records the start of an execution and returns its index.
    pub(crate) fn record_start(&self, request_id: &str, body: &str, generation: u64) -> usize {
        let mut list = self
            .executions
            .lock()
            .expect("no thread panics while it holds the lock of the history");
        list.push(Execution {
            request_id: request_id.to_owned(),
            body: body.to_owned(),
            finished: false,
            generation,
        });
        list.len() - 1
    }

    /// Records that the execution with this index ran to its end.
    pub(crate) fn record_finish(&self, index: usize) {
        if let Ok(mut list) = self.executions.lock() {
            list[index].finished = true;
        }
    }
}

/// Mutable state of an engine.
#[derive(Debug, Default)]
struct Inner {
    /// Group of which it is a member, empty if none.
    group: String,
    /// Generation of the group; after the engine has left a group, that of the order to leave.
    generation: u64,
    /// Rank in the group; the member with rank 0 receives the group's requests.
    rank: u32,
    /// Number of members of the group.
    members: u32,
    /// Phase that it announces; if none, it announces `Free`.
    phase: Option<Phase>,
    /// Model that is loaded, empty if none.
    model: String,
    /// Fencing number of the last accepted order.
    fencing: u64,
    /// Requests that run or wait for a slot.
    running: u32,
    /// Hashes of the cached prefixes.
    cached_prefixes: HashSet<u64>,
    /// The same hashes in the order in which they were added.
    eviction_order: VecDeque<u64>,
}

impl Inner {
    /// Looks up a prefix and adds it to the cache if it is missing. Returns whether it was cached.
    fn lookup_prefix(&mut self, prefix: u64) -> bool {
        if !self.cached_prefixes.insert(prefix) {
            return true;
        }
        self.eviction_order.push_back(prefix);
        if self.eviction_order.len() > MAX_CACHED_PREFIXES {
            if let Some(oldest) = self.eviction_order.pop_front() {
                self.cached_prefixes.remove(&oldest);
            }
        }
        false
    }
}

/// State that the tasks of an engine share with its handle.
#[derive(Clone, Debug)]
struct Shared {
    config: Arc<Config>,
    inner: Arc<Mutex<Inner>>,
    history: History,
    /// Has one permit per slot, which a request holds while it runs.
    slots: Arc<Semaphore>,
    /// Whether announcements say that the engine is leaving.
    leaving: Arc<AtomicBool>,
    /// Whether no announcements are sent.
    silent: Arc<AtomicBool>,
    /// Milliseconds to generate one token.
    token_ms: Arc<AtomicU64>,
    /// Sending side of a channel that carries no messages; a request that crashes the engine closes
    /// it.
    crash: smol::channel::Sender<()>,
}

/// A running engine. Dropping it stops it at once and closes all its connections.
#[derive(Debug)]
pub struct Engine {
    /// Address on which it receives requests and orders.
    pub address: SocketAddr,
    /// What it has run.
    pub history: History,
    shared: Shared,
    /// Receiving side of [`Shared::crash`], closed once a request has crashed the engine.
    crashed: smol::channel::Receiver<()>,
    /// The tasks of the engine, none once it was killed.
    task: Option<Task<()>>,
}

impl Engine {
    /// Starts an engine with an empty history.
    pub async fn spawn(config: Config) -> Engine {
        Engine::spawn_with(config, History::default()).await
    }

    /// Starts an engine that adds to an existing history, as after a restart.
    pub async fn spawn_with(config: Config, history: History) -> Engine {
        let (listener, address) = server::bind().await;
        let (shared, crashed) = Shared::new(config, &history);
        let task = smol::spawn(run(shared.clone(), listener, address, crashed.clone()));
        Engine { address, history, shared, crashed, task: Some(task) }
    }

    /// Starts only the announcements, on behalf of a service that itself listens at `address`.
    pub(crate) fn spawn_announcer(config: Config, address: SocketAddr) -> Engine {
        let history = History::default();
        let (shared, crashed) = Shared::new(config, &history);
        let task = smol::spawn(announce(shared.clone(), address));
        Engine { address, history, shared, crashed, task: Some(task) }
    }

    /// Stops the engine at once: its connections are closed and its announcements end.
    pub fn kill(&mut self) {
        self.task = None;
    }

    /// Whether the engine has neither been killed nor crashed.
    pub fn is_alive(&self) -> bool {
        self.task.as_ref().is_some_and(|task| !task.is_finished())
    }

    /// Resolves when a request whose prompt contains [`POISON`] has crashed the engine.
    pub fn wait_for_crash(&self) -> impl Future<Output = ()> + use<> {
        let crashed = self.crashed.clone();
        async move {
            crashed.recv().await.ok();
        }
    }

    /// Makes the following announcements say that the engine is leaving.
    pub fn announce_leaving(&self) {
        self.shared.leaving.store(true, Ordering::Relaxed);
    }

    /// Stops sending announcements, or resumes it.
    pub fn set_silent(&self, silent: bool) {
        self.shared.silent.store(silent, Ordering::Relaxed);
    }

    /// Changes the time for each token, to simulate a slow member.
    pub fn set_token_ms(&self, token_ms: u64) {
        self.shared.token_ms.store(token_ms, Ordering::Relaxed);
    }

    /// Name and generation of the group of which the engine is a member; the name is empty if none.
    pub fn membership(&self) -> (String, u64) {
        let inner = self.shared.lock();
        (inner.group.clone(), inner.generation)
    }

    /// Name of the VM.
    pub fn vm(&self) -> &str {
        &self.shared.config.vm
    }

    /// Whether the engine is alive and is the member with rank 0, which receives its group's
    /// requests.
    pub fn is_rank_zero(&self) -> bool {
        let inner = self.shared.lock();
        self.is_alive() && inner.rank == 0 && !inner.group.is_empty()
    }

    /// Requests that run or wait for a slot.
    pub fn running_requests(&self) -> u32 {
        self.shared.lock().running
    }
}

/// Serves requests and sends announcements until the engine crashes.
async fn run(
    shared: Shared,
    listener: TcpListener,
    address: SocketAddr,
    crashed: smol::channel::Receiver<()>,
) {
    let serving = server::serve(listener, shared.clone());
    let announcing = announce(shared, address);
    let crash = async {
        while !crashed.is_closed() {
            Timer::after(Duration::from_millis(5)).await;
        }
    };
    serving.or(announcing).or(crash).await;
}

fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.unwrap_or_default().as_millis() as u64
}

/// Sends announcements to one daemon, until it does not answer one within 500 ms, then to the next.
/// Each announcement returns the stamp, a reading of the daemon's clock, from the last answer. The
/// second one is sent at once, so that the daemon soon has one with a stamp; the others follow at
/// the interval that the daemon asks for.
async fn announce(shared: Shared, address: SocketAddr) {
    let incarnation = unix_millis();
    let mut sequence = incarnation;
    let mut stamp: Option<String> = None;
    let mut daemon_index = 0;
    loop {
        if shared.silent.load(Ordering::Relaxed) {
            Timer::after(Duration::from_millis(20)).await;
            continue;
        }
        sequence = unix_millis().max(sequence + 1);
        let announcement = shared.announcement(address, incarnation, sequence);
        let mut body = serde_json::to_value(&announcement).unwrap_or_default();
        if let Some(stamp) = &stamp {
            body["stamp"] = Value::String(stamp.clone());
        }
        let daemons = &shared.config.daemons;
        let stamped = stamp.is_some();
        let timeout = async {
            Timer::after(Duration::from_millis(500)).await;
            None
        };
        match send_announcement(daemons[daemon_index % daemons.len()], &body).or(timeout).await {
            Some(answer) => {
                stamp = answer["stamp"].as_str().map(ToOwned::to_owned);
                if stamped {
                    let interval = answer["interval-ms"].as_u64().unwrap_or(250);
                    Timer::after(Duration::from_millis(interval)).await;
                }
            }
            None => {
                stamp = None;
                daemon_index += 1;
                Timer::after(Duration::from_millis(20)).await;
            }
        }
    }
}

/// Sends one announcement and returns the daemon's answer, none if that fails.
async fn send_announcement(daemon: SocketAddr, body: &Value) -> Option<Value> {
    let stream = TcpStream::connect(daemon).await.ok()?;
    let url = Url::parse(&format!("http://{daemon}/v1/announce")).ok()?;
    let mut request = Request::new(Method::Post, url);
    request.set_body(body.to_string());
    let mut response = async_h1::connect(stream, request).await.ok()?;
    let text = response.body_string().await.ok()?;
    serde_json::from_str(&text).ok()
}

impl Shared {
    fn new(config: Config, history: &History) -> (Shared, smol::channel::Receiver<()>) {
        let (crash, crashed) = smol::channel::bounded(1);
        let shared = Shared {
            slots: Arc::new(Semaphore::new(config.slots as usize)),
            token_ms: Arc::new(AtomicU64::new(config.token_ms)),
            config: Arc::new(config),
            inner: Arc::default(),
            history: history.clone(),
            leaving: Arc::default(),
            silent: Arc::default(),
            crash,
        };
        (shared, crashed)
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("no thread panics while it holds the lock of the engine")
    }

    fn announcement(&self, address: SocketAddr, incarnation: u64, sequence: u64) -> Announcement {
        let inner = self.lock();
        let config = &self.config;
        Announcement {
            vm: config.vm.clone(),
            address: address.to_string(),
            zone: config.zone.clone(),
            fabric_domain: config.fabric_domain.clone(),
            accelerators: config.accelerators,
            labels: config.labels.clone(),
            incarnation,
            sequence,
            group: inner.group.clone(),
            generation: inner.generation,
            rank: inner.rank,
            members: inner.members,
            phase: inner.phase.unwrap_or(Phase::Free) as i32,
            model: inner.model.clone(),
            slots: config.slots,
            load: inner.running,
            leaving: self.leaving.load(Ordering::Relaxed),
            fences: config.fences,
            plain: config.plain,
            step_ms: self.token_ms.load(Ordering::Relaxed) as u32,
        }
    }

    /// Applies an order, or answers 409 if it is older than the last accepted one. It is older if
    /// its fencing number is lower, which is checked only if `fences` is set, or if the number is
    /// the same and the generation lower. An order without a group makes the engine leave its own.
    fn apply_order(&self, order: Order) -> StatusCode {
        let mut inner = self.lock();
        if self.config.fences && order.fencing < inner.fencing {
            return StatusCode::Conflict;
        }
        if order.fencing == inner.fencing && order.generation < inner.generation {
            return StatusCode::Conflict;
        }
        inner.fencing = order.fencing;
        if let Ok(mut orders) = self.history.orders.lock() {
            orders.push(order.clone());
        }
        if order.group.is_empty() {
            inner.phase = Some(Phase::Draining);
            drop(inner);
            smol::spawn(leave_group(self.clone(), order.generation)).detach();
            return StatusCode::Ok;
        }
        let is_member = inner.group == order.group && inner.generation == order.generation;
        if is_member && inner.phase != Some(Phase::Draining) {
            return StatusCode::Ok;
        }
        inner.group = order.group;
        inner.generation = order.generation;
        inner.rank = order.rank;
        inner.members = order.members.len() as u32;
        if inner.model == order.model {
            inner.phase = Some(Phase::Ready);
            return StatusCode::Ok;
        }
        inner.phase = Some(Phase::Loading);
        let generation = inner.generation;
        drop(inner);
        smol::spawn(load_model(self.clone(), order.model, generation)).detach();
        StatusCode::Ok
    }

    /// Runs a generation request. Returns no response if the body is not JSON or if the connection
    /// is closed before the response starts. Refuses the request with 503 and `not-run` if this
    /// engine is not the ready member with rank 0 or if, with `fences` set, the request expects
    /// another generation.
    async fn generate(
        &self,
        request: &Request,
        text: String,
        stream: TcpStream,
    ) -> Option<Response> {
        let header = |name: &str| request.header(name).map(|values| values.as_str().to_owned());
        let request_id = header("dotterelhoist-request").unwrap_or_default();
        let expected_generation: Option<u64> =
            header("dotterelhoist-generation").and_then(|generation| generation.parse().ok());
        let body: Value = serde_json::from_str(&text).ok()?;
        let tokens = body["max_tokens"].as_u64().unwrap_or(16) as u32;
        let prompt = body["messages"][0]["content"].as_str().unwrap_or_default().to_owned();
        let generation = {
            let inner = self.lock();
            let outdated = self.config.fences
                && expected_generation.is_some_and(|expected| expected != inner.generation);
            if inner.phase != Some(Phase::Ready) || inner.rank != 0 || outdated {
                return Some(not_run_response());
            }
            inner.generation
        };
        let run = Run::start(self.clone(), &request_id, &text, generation);
        if prompt.contains(POISON) {
            self.crash.close();
            std::future::pending::<()>().await;
        }
        let slot = async { Some(self.slots.acquire_arc().await) };
        let connection_closed = async {
            wait_closed(&stream).await;
            None
        };
        let slot = slot.or(connection_closed).await?;
        let prefix = xxh3_64(&prompt.as_bytes()[..prompt.len().min(PREFIX_BYTES)]);
        let cached = self.lock().lookup_prefix(prefix);
        let prefill = if cached { self.config.prefill_ms / 5 } else { self.config.prefill_ms };
        Timer::after(Duration::from_millis(prefill)).await;
        let hash = xxh3_64(prompt.as_bytes());
        if body["stream"] == Value::Bool(true) {
            let tokens =
                Tokens { run, _slot: slot, hash, next_index: 0, count: tokens, unsent: Vec::new() };
            let reader = TokenReader { tokens, timer: None };
            let mut response = Response::new(StatusCode::Ok);
            response.set_body(Body::from_reader(futures_lite::io::BufReader::new(reader), None));
            response.insert_header(CONTENT_TYPE, "text/event-stream");
            return Some(response);
        }
        let decode_ms = self.token_ms.load(Ordering::Relaxed) * u64::from(tokens);
        let work = async {
            Timer::after(Duration::from_millis(decode_ms)).await;
            Some(())
        };
        let connection_closed = async {
            wait_closed(&stream).await;
            None
        };
        work.or(connection_closed).await?;
        let content: String = (0..tokens).map(|index| answer_token(hash, index)).collect();
        run.finish();
        Some(json_response(&json!({
            "choices": [{ "message": { "role": "assistant", "content": content } }],
            "usage": { "completion_tokens": tokens },
        })))
    }
}

/// Waits for the load time and records the model as loaded; the engine becomes ready unless a newer
/// order has been applied meanwhile.
async fn load_model(shared: Shared, model: String, generation: u64) {
    Timer::after(Duration::from_millis(shared.config.load_ms)).await;
    let mut inner = shared.lock();
    inner.model = model;
    if inner.generation == generation && inner.phase == Some(Phase::Loading) {
        inner.phase = Some(Phase::Ready);
    }
}

/// Waits until no request runs and leaves the group, unless a newer order has been applied.
async fn leave_group(shared: Shared, generation: u64) {
    loop {
        {
            let mut inner = shared.lock();
            if inner.phase != Some(Phase::Draining) {
                return;
            }
            if inner.running == 0 {
                inner.phase = Some(Phase::Free);
                inner.group.clear();
                inner.generation = generation;
                return;
            }
        }
        Timer::after(Duration::from_millis(5)).await;
    }
}

/// Refuses a request that was not run, so that the daemon may send it to another endpoint.
fn not_run_response() -> Response {
    let mut response = Response::new(StatusCode::ServiceUnavailable);
    response.insert_header("dotterelhoist-run", "not-run");
    response.set_body("not run");
    response
}

fn json_response(body: &Value) -> Response {
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(body.to_string());
    response.insert_header(CONTENT_TYPE, "application/json");
    response
}

impl Handler for Shared {
    async fn handle(
        &self,
        mut request: Request,
        stream: TcpStream,
    ) -> http_types::Result<Response> {
        let text = request.body_string().await?;
        match request.url().path() {
            "/v1/order" => {
                let order: Order = serde_json::from_str(&text)?;
                Ok(Response::new(self.apply_order(order)))
            }
            _ => {
                let answer = self.generate(&request, text, stream).await;
                answer.ok_or_else(|| {
                    http_types::Error::from_str(
                        500,
                        "the body is not JSON, or the connection was closed before the answer",
                    )
                })
            }
        }
    }
}

/// An execution that is counted as running until it is dropped.
struct Run {
    shared: Shared,
    /// Index of the execution in the history.
    index: usize,
}

impl Run {
    fn start(shared: Shared, request_id: &str, body: &str, generation: u64) -> Run {
        let index = shared.history.record_start(request_id, body, generation);
        shared.lock().running += 1;
        Run { shared, index }
    }

    fn finish(&self) {
        self.shared.history.record_finish(self.index);
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        self.shared.lock().running -= 1;
    }
}

/// Tokens of a streamed answer, as server-sent events.
struct Tokens {
    run: Run,
    /// Permit to run, released when the stream is dropped.
    _slot: smol::lock::SemaphoreGuardArc,
    /// Hash of the prompt.
    hash: u64,
    /// Index of the next token.
    next_index: u32,
    /// Number of tokens of the answer; the final event `[DONE]` follows them.
    count: u32,
    /// Bytes of the current event that have not been read yet.
    unsent: Vec<u8>,
}

impl Tokens {
    /// Returns the next event, none after the final one.
    fn next_event(&mut self) -> Option<String> {
        let index = self.next_index;
        self.next_index += 1;
        if index < self.count {
            let content = answer_token(self.hash, index);
            let event = json!({ "choices": [{ "delta": { "content": content } }] });
            return Some(format!("data: {event}\n\n"));
        }
        if index == self.count {
            self.run.finish();
            return Some("data: [DONE]\n\n".to_owned());
        }
        None
    }
}

/// Response body with the events of a streamed answer, each delayed by the time of one token after
/// the one before it.
struct TokenReader {
    tokens: Tokens,
    /// Timer that delays the next event.
    timer: Option<Timer>,
}

impl futures_lite::AsyncRead for TokenReader {
    fn poll_read(
        mut self: std::pin::Pin<&mut Self>,
        context: &mut std::task::Context<'_>,
        buffer: &mut [u8],
    ) -> std::task::Poll<std::io::Result<usize>> {
        if let Some(timer) = &mut self.timer {
            std::task::ready!(std::pin::Pin::new(timer).poll(context));
            self.timer = None;
        }
        if self.tokens.unsent.is_empty() {
            let Some(event) = self.tokens.next_event() else {
                return std::task::Poll::Ready(Ok(0));
            };
            self.tokens.unsent = event.into_bytes();
        }
        let count = self.tokens.unsent.len().min(buffer.len());
        buffer[..count].copy_from_slice(&self.tokens.unsent[..count]);
        self.tokens.unsent.drain(..count);
        if self.tokens.unsent.is_empty() {
            let token_ms = self.tokens.run.shared.token_ms.load(Ordering::Relaxed);
            if token_ms > 0 {
                self.timer = Some(Timer::after(Duration::from_millis(token_ms)));
            }
        }
        std::task::Poll::Ready(Ok(count))
    }
}

/// Reads and discards a request body, for a handler that responds without using it.
pub(crate) async fn discard_body(request: &mut Request) {
    let mut sink = Vec::new();
    request.read_to_end(&mut sink).await.ok();
}
