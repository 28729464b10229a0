//! A stand-in for a model engine on one VM.
//!
//! It announces itself, takes orders, loads models in a set time, runs up to `slots` requests at
//! once, streams tokens whose text depends on the prompt alone, keeps a small prefix cache that
//! shortens the prefill, and stops work whose caller has gone.

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

/// Prompt text that makes an engine die.
pub const POISON: &str = "poison";
/// Prefixes in the cache.
const CACHE_MAX: usize = 256;
/// Bytes of a prompt that count as its prefix.
const PREFIX_BYTES: usize = 256;

/// What an engine is like.
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
    /// Requests that run at once.
    pub slots: u32,
    /// Milliseconds to load a model.
    pub load_ms: u64,
    /// Milliseconds until the first token when the prefix is not cached.
    pub prefill_ms: u64,
    /// Milliseconds between two tokens.
    pub token_ms: u64,
    /// Whether it refuses old fencing numbers.
    pub fences: bool,
    /// Whether it is a plain service.
    pub plain: bool,
    /// Where it announces itself, the first that answers.
    pub daemons: Vec<SocketAddr>,
}

impl Config {
    /// A fast engine.
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

/// One run of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Execution {
    /// Request id given by the daemon.
    pub request: String,
    /// Body.
    pub body: String,
    /// Whether it ran to its end.
    pub finished: bool,
    /// Group generation in which it began.
    pub generation: u64,
}

/// What an engine has done, shared with the test.
#[derive(Clone, Debug, Default)]
pub struct History {
    executions: Arc<Mutex<Vec<Execution>>>,
    orders: Arc<Mutex<Vec<Order>>>,
}

impl History {
    /// All runs so far.
    pub fn executions(&self) -> Vec<Execution> {
        self.executions.lock().map(|list| list.clone()).unwrap_or_default()
    }

    /// All orders obeyed so far.
    pub fn orders(&self) -> Vec<Order> {
        self.orders.lock().map(|list| list.clone()).unwrap_or_default()
    }

    pub(crate) fn begin(&self, request: &str, body: &str, generation: u64) -> usize {
        let mut list = self.executions.lock().expect("no thread panics with the history");
        list.push(Execution {
            request: request.to_owned(),
            body: body.to_owned(),
            finished: false,
            generation,
        });
        list.len() - 1
    }

    pub(crate) fn finish(&self, index: usize) {
        if let Ok(mut list) = self.executions.lock() {
            list[index].finished = true;
        }
    }
}

#[derive(Debug, Default)]
struct Inner {
    group: String,
    generation: u64,
    rank: u32,
    members: u32,
    phase: Option<Phase>,
    model: String,
    fencing: u64,
    running: u32,
    cache: HashSet<u64>,
    cached: VecDeque<u64>,
}

impl Inner {
    /// Takes a prefix into the cache; true if it was there.
    fn hit(&mut self, prefix: u64) -> bool {
        if !self.cache.insert(prefix) {
            return true;
        }
        self.cached.push_back(prefix);
        if self.cached.len() > CACHE_MAX {
            if let Some(oldest) = self.cached.pop_front() {
                self.cache.remove(&oldest);
            }
        }
        false
    }
}

#[derive(Clone, Debug)]
struct Shared {
    config: Arc<Config>,
    inner: Arc<Mutex<Inner>>,
    history: History,
    slots: Arc<Semaphore>,
    leaving: Arc<AtomicBool>,
    silent: Arc<AtomicBool>,
    step_ms: Arc<AtomicU64>,
    died: smol::channel::Sender<()>,
}

/// A running engine; dropped, it dies at once with all its connections.
#[derive(Debug)]
pub struct Engine {
    /// Where it takes requests.
    pub address: SocketAddr,
    /// What it has done.
    pub history: History,
    shared: Shared,
    dying: smol::channel::Receiver<()>,
    task: Option<Task<()>>,
}

impl Engine {
    /// Starts an engine.
    pub async fn spawn(config: Config) -> Engine {
        Engine::spawn_with(config, History::default()).await
    }

    /// Starts an engine that goes on with a history.
    pub async fn spawn_with(config: Config, history: History) -> Engine {
        let (listener, address) = server::bind().await;
        let (shared, dying) = Shared::new(config, &history);
        let task = smol::spawn(live(shared.clone(), listener, address, dying.clone()));
        Engine { address, history, shared, dying, task: Some(task) }
    }

    /// Starts only the announcements, for a service that listens elsewhere.
    pub(crate) fn announcer(config: Config, address: SocketAddr) -> Engine {
        let history = History::default();
        let (shared, dying) = Shared::new(config, &history);
        let task = smol::spawn(announce(shared.clone(), address));
        Engine { address, history, shared, dying, task: Some(task) }
    }

    /// Kills the engine: its connections break and it says nothing more.
    pub fn kill(&mut self) {
        self.task = None;
    }

    /// Whether the engine lives.
    pub fn is_alive(&self) -> bool {
        self.task.as_ref().is_some_and(|task| !task.is_finished())
    }

    /// Resolves once the engine has died of a poisoned request.
    pub fn wait_for_crash(&self) -> impl Future<Output = ()> + use<> {
        let dying = self.dying.clone();
        async move {
            dying.recv().await.ok();
        }
    }

    /// Lets the engine announce that it is leaving.
    pub fn announce_leaving(&self) {
        self.shared.leaving.store(true, Ordering::Relaxed);
    }

    /// Stops the announcements, or lets them go on.
    pub fn set_silent(&self, silent: bool) {
        self.shared.silent.store(silent, Ordering::Relaxed);
    }

    /// Changes the time for one token, as a straggler does.
    pub fn set_token_ms(&self, token_ms: u64) {
        self.shared.step_ms.store(token_ms, Ordering::Relaxed);
    }

    /// Group instance and generation that the engine is in.
    pub fn membership(&self) -> (String, u64) {
        let inner = self.shared.lock();
        (inner.group.clone(), inner.generation)
    }

    /// Name of the VM.
    pub fn vm(&self) -> &str {
        &self.shared.config.vm
    }

    /// Whether the engine lives and takes the requests of its group.
    pub fn is_rank_zero(&self) -> bool {
        let inner = self.shared.lock();
        self.is_alive() && inner.rank == 0 && !inner.group.is_empty()
    }

    /// Requests that run.
    pub fn running_requests(&self) -> u32 {
        self.shared.lock().running
    }
}

async fn live(
    shared: Shared,
    listener: TcpListener,
    address: SocketAddr,
    dying: smol::channel::Receiver<()>,
) {
    let serving = server::serve(listener, shared.clone());
    let announcing = announce(shared, address);
    let dead = async {
        while !dying.is_closed() {
            Timer::after(Duration::from_millis(5)).await;
        }
    };
    serving.or(announcing).or(dead).await;
}

fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.unwrap_or_default().as_millis() as u64
}

/// Announces the engine for as long as it lives.
async fn announce(shared: Shared, address: SocketAddr) {
    let incarnation = unix_millis();
    let mut sequence = incarnation;
    let mut stamp: Option<String> = None;
    let mut turn = 0;
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
        let known = stamp.is_some();
        let late = async {
            Timer::after(Duration::from_millis(500)).await;
            None
        };
        match post(daemons[turn % daemons.len()], &body).or(late).await {
            Some(answer) => {
                stamp = answer["stamp"].as_str().map(ToOwned::to_owned);
                if known {
                    let interval = answer["interval-ms"].as_u64().unwrap_or(250);
                    Timer::after(Duration::from_millis(interval)).await;
                }
            }
            None => {
                stamp = None;
                turn += 1;
                Timer::after(Duration::from_millis(20)).await;
            }
        }
    }
}

async fn post(daemon: SocketAddr, body: &Value) -> Option<Value> {
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
        let (died, dying) = smol::channel::bounded(1);
        let shared = Shared {
            slots: Arc::new(Semaphore::new(config.slots as usize)),
            step_ms: Arc::new(AtomicU64::new(config.token_ms)),
            config: Arc::new(config),
            inner: Arc::default(),
            history: history.clone(),
            leaving: Arc::default(),
            silent: Arc::default(),
            died,
        };
        (shared, dying)
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("no thread panics with the engine")
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
            step_ms: self.step_ms.load(Ordering::Relaxed) as u32,
        }
    }

    /// Obeys an order, unless it is older than one obeyed before.
    fn obey(&self, order: Order) -> StatusCode {
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
        let agrees = inner.group == order.group && inner.generation == order.generation;
        if agrees && inner.phase != Some(Phase::Draining) {
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

    async fn generate(
        &self,
        request: &Request,
        text: String,
        stream: TcpStream,
    ) -> Option<Response> {
        let header = |name: &str| request.header(name).map(|values| values.as_str().to_owned());
        let name = header("dotterelhoist-request").unwrap_or_default();
        let asked: Option<u64> =
            header("dotterelhoist-generation").and_then(|generation| generation.parse().ok());
        let body: Value = serde_json::from_str(&text).ok()?;
        let tokens = body["max_tokens"].as_u64().unwrap_or(16) as u32;
        let prompt = body["messages"][0]["content"].as_str().unwrap_or_default().to_owned();
        let generation = {
            let inner = self.lock();
            let other = self.config.fences && asked.is_some_and(|asked| asked != inner.generation);
            if inner.phase != Some(Phase::Ready) || inner.rank != 0 || other {
                return Some(not_run());
            }
            inner.generation
        };
        let run = Run::begin(self.clone(), &name, &text, generation);
        if prompt.contains(POISON) {
            self.died.close();
            std::future::pending::<()>().await;
        }
        let slot = async { Some(self.slots.acquire_arc().await) };
        let gone = async {
            wait_closed(&stream).await;
            None
        };
        let slot = slot.or(gone).await?;
        let prefix = xxh3_64(&prompt.as_bytes()[..prompt.len().min(PREFIX_BYTES)]);
        let hit = self.lock().hit(prefix);
        let prefill = if hit { self.config.prefill_ms / 5 } else { self.config.prefill_ms };
        Timer::after(Duration::from_millis(prefill)).await;
        let hash = xxh3_64(prompt.as_bytes());
        if body["stream"] == Value::Bool(true) {
            let tokens =
                Tokens { run, _slot: slot, hash, next: 0, count: tokens, left: Vec::new() };
            let reader = TokenReader { tokens, timer: None };
            let mut response = Response::new(StatusCode::Ok);
            response.set_body(Body::from_reader(futures_lite::io::BufReader::new(reader), None));
            response.insert_header(CONTENT_TYPE, "text/event-stream");
            return Some(response);
        }
        let step = self.step_ms.load(Ordering::Relaxed) * u64::from(tokens);
        let work = async {
            Timer::after(Duration::from_millis(step)).await;
            Some(())
        };
        let gone = async {
            wait_closed(&stream).await;
            None
        };
        work.or(gone).await?;
        let content: String = (0..tokens).map(|index| answer_token(hash, index)).collect();
        run.finish();
        Some(respond(&json!({
            "choices": [{ "message": { "role": "assistant", "content": content } }],
            "usage": { "completion_tokens": tokens },
        })))
    }
}

async fn load_model(shared: Shared, model: String, generation: u64) {
    Timer::after(Duration::from_millis(shared.config.load_ms)).await;
    let mut inner = shared.lock();
    inner.model = model;
    if inner.generation == generation && inner.phase == Some(Phase::Loading) {
        inner.phase = Some(Phase::Ready);
    }
}

/// Finishes what runs and leaves the group, unless a newer order has come.
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

fn not_run() -> Response {
    let mut response = Response::new(StatusCode::ServiceUnavailable);
    response.insert_header("dotterelhoist-run", "not-run");
    response.set_body("not run");
    response
}

fn respond(body: &Value) -> Response {
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
                Ok(Response::new(self.obey(order)))
            }
            _ => {
                let answer = self.generate(&request, text, stream).await;
                answer.ok_or_else(|| http_types::Error::from_str(500, "the caller has gone"))
            }
        }
    }
}

/// A run that counts as running until it is dropped.
struct Run {
    shared: Shared,
    index: usize,
}

impl Run {
    fn begin(shared: Shared, request: &str, body: &str, generation: u64) -> Run {
        let index = shared.history.begin(request, body, generation);
        shared.lock().running += 1;
        Run { shared, index }
    }

    fn finish(&self) {
        self.shared.history.finish(self.index);
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        self.shared.lock().running -= 1;
    }
}

/// A stream of tokens as server-sent events.
struct Tokens {
    run: Run,
    _slot: smol::lock::SemaphoreGuardArc,
    hash: u64,
    next: u32,
    count: u32,
    left: Vec<u8>,
}

impl Tokens {
    /// The next event, none after the last.
    fn next_event(&mut self) -> Option<String> {
        let index = self.next;
        self.next += 1;
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

/// Yields an event, waits for the time of a token, and so on.
struct TokenReader {
    tokens: Tokens,
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
        if self.tokens.left.is_empty() {
            let Some(event) = self.tokens.next_event() else {
                return std::task::Poll::Ready(Ok(0));
            };
            self.tokens.left = event.into_bytes();
        }
        let count = self.tokens.left.len().min(buffer.len());
        buffer[..count].copy_from_slice(&self.tokens.left[..count]);
        self.tokens.left.drain(..count);
        if self.tokens.left.is_empty() {
            let step = self.tokens.run.shared.step_ms.load(Ordering::Relaxed);
            if step > 0 {
                self.timer = Some(Timer::after(Duration::from_millis(step)));
            }
        }
        std::task::Poll::Ready(Ok(count))
    }
}

/// Reads all of a request body; kept for stand-ins that answer before reading.
pub(crate) async fn drain(request: &mut Request) {
    let mut sink = Vec::new();
    request.read_to_end(&mut sink).await.ok();
}
