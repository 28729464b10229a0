//! The shell of an entry daemon.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use dotterelhoist_fleet::document::Limits;
use dotterelhoist_fleet::entry::{Decision, Effect, End, Event, Reason, Refusal, Request, State};
use dotterelhoist_fleet::journal as events;
use dotterelhoist_fleet::message::Hello;
use dotterelhoist_fleet::Name;
use futures_lite::FutureExt;
use smol::channel::{bounded, Receiver, Sender};
use smol::net::{TcpListener, TcpStream};
use smol::Timer;
use xxhash_rust::xxh3::Xxh3;

use crate::answer::{deadline, Answer, Incoming};
use crate::clock;
use crate::http::{accept_all, within, Connection, Error, Headers, RequestHead};
use crate::journal;
use crate::links::{Event as LinkEvent, Links};
use crate::metrics::{serve as serve_metrics, Meter};
use crate::protocol::Protocol;
use crate::upstream::Pool;

pub use dotterelhoist_fleet::entry::Setup;

/// Time between two ticks of the reducer.
const TICK: Duration = Duration::from_millis(25);
/// Longest head of the balancer's question.
const READY_HEAD_MAX: usize = 8 << 10;
/// Time for a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Time that a caller waits if it does not say.
const WAIT_DEFAULT: Duration = Duration::from_secs(60);
/// Bytes of later requests that are read ahead while one is served.
const AHEAD_MAX: usize = 64 << 10;
/// Time after the begin of a shutdown for which requests are still taken: the platform's balancer
/// needs it to learn of the shutdown.
const TAKE_AFTER_STOP: Duration = Duration::from_millis(2900);
/// Time before the end of the grace period at which a shutdown is complete in any case.
const STOP_MARGIN: Duration = Duration::from_millis(500);
/// Tokens that a request is expected to generate if it does not say, as a part of its limit.
const ANSWER_SHARE: f64 = 0.5;

/// An entry daemon that is to be started.
#[derive(Clone, Debug)]
pub struct Config<Platform> {
    /// How the platform speaks.
    pub protocol: Platform,
    /// What the reducer needs.
    pub setup: Setup,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address at which the balancer asks whether the daemon is ready.
    pub readiness_address: SocketAddr,
    /// Port at which control daemons accept connections of daemons.
    pub link_port: u16,
    /// IP addresses of control daemons.
    pub seeds: Vec<Name>,
    /// Time between a request to stop and the end of the process.
    pub grace_period: Duration,
    /// Address at which metrics are served.
    pub metrics_address: Option<SocketAddr>,
}

/// How the task of a request is reached.
struct Slot {
    decisions: Sender<Decision>,
    abandon: Sender<()>,
}

/// The shell around the reducer.
pub struct Shell<Platform> {
    state: RefCell<State<Platform>>,
    slots: RefCell<HashMap<u64, Slot>>,
    links: RefCell<Option<Links>>,
    /// Connections to endpoints.
    pub(crate) pool: Pool,
    meter: Meter,
    next: Cell<u64>,
    /// Is closed once idle callers are to be sent away.
    closing: (Sender<()>, Receiver<()>),
    /// Whether new requests are refused because the daemon stops.
    refusing: Cell<bool>,
    connections: Cell<usize>,
}

/// Runs an entry daemon until `stop` says that it is to stop, and then until its requests are done.
///
/// # Errors
///
/// Returns the error of a listener that can't be bound.
pub async fn run<Platform, Stop>(
    config: Config<Platform>,
    executor: Rc<smol::LocalExecutor<'static>>,
    stop: Stop,
) -> std::io::Result<()>
where
    Platform: Protocol,
    Stop: std::future::Future<Output = ()>,
{
    let front = TcpListener::bind(config.caller_address).await?;
    let ready = TcpListener::bind(config.readiness_address).await?;
    let daemon = config.setup.daemon.to_string();
    journal::write(&events::Event::new(100, "started", &*daemon, "role=entry"));
    let hello = Hello { daemon, zone: config.setup.zone.to_string(), control: false };
    let state = State::open(
        config.setup.clone(),
        config.protocol.clone(),
        clock::random_u64(),
        clock::now(),
    );
    let shell = Rc::new(Shell {
        state: RefCell::new(state),
        slots: RefCell::default(),
        links: RefCell::new(None),
        pool: Pool::default(),
        meter: Meter::open("entry"),
        next: Cell::new(1),
        closing: bounded(1),
        refusing: Cell::new(false),
        connections: Cell::new(0),
    });
    let handler = {
        let shell = shell.clone();
        Rc::new(move |event| shell.handle_link_event(event))
    };
    let links = Links::open(hello, config.link_port, handler, executor.clone());
    *shell.links.borrow_mut() = Some(links.clone());
    for seed in &config.seeds {
        links.dial(seed);
    }
    executor.spawn(tick(shell.clone())).detach();
    let serving = shell.clone();
    let serve = move |stream| {
        let shell = serving.clone();
        async move { shell.serve(stream).await }
    };
    executor.spawn(accept_all(front, executor.clone(), serve)).detach();
    let telling = shell.clone();
    let tell = move |stream| {
        let shell = telling.clone();
        async move { shell.tell_readiness(stream).await }
    };
    executor.spawn(accept_all(ready, executor.clone(), tell)).detach();
    if let Some(address) = config.metrics_address {
        executor.spawn(serve_metrics(shell.meter.clone(), address)).detach();
    }
    stop.await;
    shell.shut_down(config.grace_period).await;
    Ok(())
}

async fn tick<Platform>(shell: Rc<Shell<Platform>>)
where
    Platform: Protocol,
{
    let mut count = 0u64;
    loop {
        Timer::after(TICK).await;
        shell.apply(Event::Tick);
        count += 1;
        if count.is_multiple_of(40) {
            shell.pool.close_expired();
        }
    }
}

impl<Platform> Shell<Platform>
where
    Platform: Protocol,
{
    /// Applies an event and carries out what follows.
    fn apply(&self, event: Event) {
        let mut effects = Vec::new();
        self.state.borrow_mut().apply(clock::now(), event, &mut effects);
        for effect in effects {
            self.carry_out(effect);
        }
    }

    fn carry_out(&self, effect: Effect) {
        match effect {
            Effect::Send(to, body) => {
                if let Some(links) = &*self.links.borrow() {
                    links.send(&to, body);
                }
            }
            Effect::Dial(peer) => {
                if let Some(links) = &*self.links.borrow() {
                    links.dial(&peer);
                }
            }
            Effect::Decide(id, decision) => {
                if let Decision::Refuse(refusal) = &decision {
                    self.meter.count(&format!("refused.{}", refusal.reason));
                }
                if let Some(slot) = self.slots.borrow().get(&id) {
                    slot.decisions.try_send(decision).ok();
                }
            }
            Effect::Abandon(id) => {
                self.meter.count("retried.stalled");
                if let Some(slot) = self.slots.borrow().get(&id) {
                    slot.abandon.try_send(()).ok();
                }
            }
            Effect::Log(event) => journal::write(&event),
        }
    }

    fn handle_link_event(&self, event: LinkEvent) {
        match event {
            LinkEvent::OutgoingOpened(peer) => self.apply(Event::Connected(peer)),
            LinkEvent::OutgoingClosed(peer) => self.apply(Event::Disconnected(peer)),
            LinkEvent::Received(peer, body) => self.apply(Event::Received(peer, body)),
            LinkEvent::IncomingOpened(_) | LinkEvent::IncomingClosed(_) => {}
        }
    }

    /// Notes what the head of an endpoint's answer says of its load.
    pub(crate) fn note_answer(&self, target: &Name, headers: &Headers) {
        let now = clock::now();
        let mut state = self.state.borrow_mut();
        state.record_progress(target, now);
        let Some(load) = headers.find(Platform::HEADERS.load) else { return };
        let mut numbers = load.split(',').map(|number| number.trim().parse::<u32>());
        if let (Some(Ok(running)), Some(Ok(waiting))) = (numbers.next(), numbers.next()) {
            state.record_load(target, running, waiting);
        }
    }

    /// Notes that a part of an answer has come.
    pub(crate) fn note_progress(&self, target: &Name) {
        self.state.borrow_mut().record_progress(target, clock::now());
    }

    /// Notes that the answer of a request has begun.
    pub(crate) fn note_begun(&self, id: u64) {
        self.state.borrow_mut().record_response_start(id);
    }

    fn limits(&self) -> Limits {
        let state = self.state.borrow();
        state.document().map(|document| document.limits).unwrap_or_default()
    }

    /// Tells the balancer whether this daemon takes callers.
    async fn tell_readiness(&self, stream: TcpStream) {
        let mut connection = Connection::open(stream);
        while let Ok(head) = connection.read_request_head(READY_HEAD_MAX).await {
            let status = match self.state.borrow().is_ready() {
                true => "200 OK",
                false => "503 Service Unavailable",
            };
            let bytes = format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n");
            if connection.write(bytes.as_bytes()).await.is_err() || !head.keep_alive {
                return;
            }
        }
    }

    /// Serves the connection of a caller.
    async fn serve(&self, stream: TcpStream) {
        self.connections.set(self.connections.get() + 1);
        let mut connection = Connection::open(stream);
        loop {
            let limits = self.limits();
            if connection.buffer.is_empty() {
                let first = within(limits.idle_timeout, connection.fill());
                let sent_away = async {
                    self.closing.1.recv().await.ok();
                    None
                };
                match first.or(sent_away).await {
                    Some(Ok(count)) if count > 0 => {}
                    _ => break,
                }
            }
            let head = connection.read_request_head(limits.head_bytes);
            let keep = match within(limits.head_timeout, head).await {
                Some(Ok(head)) => self.serve_one(&mut connection, head, limits).await,
                Some(Err(error)) => {
                    self.reject(&connection, &error).await;
                    false
                }
                None => false,
            };
            if !keep {
                break;
            }
        }
        self.connections.set(self.connections.get() - 1);
    }

    /// Answers bytes that are not a request.
    async fn reject(&self, connection: &Connection, error: &Error) {
        let reason = match error {
            Error::HeadTooLong => Reason::HeadTooLong,
            Error::BodyTooLong => Reason::BodyTooLong,
            Error::Malformed(_) => Reason::Malformed,
            Error::Closed | Error::Broken(_) => return,
        };
        self.meter.count(&format!("refused.{reason}"));
        let mut answer = Answer::open(connection.stream.clone(), false);
        answer.refuse("", "", &Refusal { reason, retry_after: None }).await;
    }

    /// Serves one request; true if the connection stays open.
    async fn serve_one(
        &self,
        connection: &mut Connection,
        head: RequestHead,
        limits: Limits,
    ) -> bool {
        let began = clock::now();
        if head.headers.list_contains("expect", "100-continue") {
            connection.write(b"HTTP/1.1 100 Continue\r\n\r\n").await.ok();
        }
        let body = connection.read_body(head.framing, limits.body_bytes);
        let body = match within(BODY_TIMEOUT, body).await {
            Some(Ok(body)) => body,
            Some(Err(error)) => {
                self.reject(connection, &error).await;
                return false;
            }
            None => return false,
        };
        let id = self.next.get();
        self.next.set(id + 1);
        let request = understand::<Platform>(id, &head, &body, began);
        let keep = head.keep_alive && !self.state.borrow().is_stopping();
        let incoming = Incoming { id, name: request.request_id.clone(), head, body };
        let mut answer = Answer::open(connection.stream.clone(), keep);
        if self.refusing.get() {
            let refusal =
                Refusal { reason: Reason::Stopping, retry_after: Some(Duration::from_millis(50)) };
            answer.keep = false;
            answer.refuse(Platform::HEADERS.request_id, &incoming.name, &refusal).await;
            return false;
        }
        let work = async {
            self.follow(&mut answer, &incoming, request).await;
            true
        };
        let served = work.or(watch(connection)).await;
        self.slots.borrow_mut().remove(&id);
        if !served {
            self.meter.count("caller_gone");
            self.apply(Event::CallerGone(id));
            return false;
        }
        self.meter.record_latency("request", clock::now().since(began));
        answer.keep
    }

    /// Follows the decisions on a request until it has its final answer.
    async fn follow(&self, answer: &mut Answer, incoming: &Incoming, request: Request) {
        let (decisions, decided) = bounded(4);
        let (abandon, abandoned) = bounded(1);
        self.slots.borrow_mut().insert(incoming.id, Slot { decisions, abandon });
        self.meter.count("received");
        self.apply(Event::RequestArrived(Box::new(request)));
        while let Ok(decision) = decided.recv().await {
            match decision {
                Decision::Send(attempt) => {
                    while abandoned.try_recv().is_ok() {}
                    self.meter.count(if attempt.number > 1 { "sent.again" } else { "sent.first" });
                    let end = answer.attempt(self, incoming, &attempt, &abandoned).await;
                    let answered = end == End::Answered;
                    if !answered {
                        self.meter.count(&format!("attempt.{}", kind(&end)));
                    }
                    self.apply(Event::AttemptEnded(incoming.id, end));
                    if answered {
                        return;
                    }
                }
                Decision::Refuse(refusal) => {
                    let header = Platform::HEADERS.request_id;
                    answer.refuse(header, &incoming.name, &refusal).await;
                    return;
                }
                Decision::ForwardFailure => {
                    answer.deliver().await;
                    return;
                }
            }
        }
    }

    /// Refuses readiness, sends idle callers away once the balancer knows, and waits for the rest.
    async fn shut_down(&self, grace: Duration) {
        let began = clock::now();
        self.apply(Event::Stop);
        let running = self.state.borrow().running();
        let detail = format!("running={running} connections={}", self.connections.get());
        journal::write(&events::Event::new(106, "stopping", "entry", detail));
        Timer::after(TAKE_AFTER_STOP.min(grace / 2)).await;
        self.refusing.set(true);
        self.closing.0.close();
        let longest = grace.saturating_sub(STOP_MARGIN);
        while self.connections.get() > 0 && clock::now().since(began) < longest {
            Timer::after(TICK).await;
        }
        let detail = format!("cut={}", self.state.borrow().running());
        journal::write(&events::Event::new(107, "stopped", "entry", detail));
        Timer::after(TICK).await;
    }
}

/// Ends with `false` once the caller has closed its connection.
async fn watch(connection: &mut Connection) -> bool {
    while connection.buffer.len() < AHEAD_MAX {
        match connection.fill().await {
            Ok(0) | Err(_) => return false,
            Ok(_) => {}
        }
    }
    std::future::pending().await
}

fn kind(end: &End) -> &'static str {
    match end {
        End::Answered => "answered",
        End::Failed { .. } => "failed",
        End::Unreachable => "unreachable",
        End::Declined { .. } => "declined",
        End::Lost { .. } => "lost",
        End::TimedOut { .. } => "timed_out",
    }
}

fn understand<Platform>(
    id: u64,
    head: &RequestHead,
    body: &[u8],
    now: dotterelhoist_core::clock::Instant,
) -> Request
where
    Platform: Protocol,
{
    let names = Platform::HEADERS;
    let headers = &head.headers;
    let text = |name: &str| headers.find(name).unwrap_or_default();
    let host = text("host").to_ascii_lowercase();
    let host = host.rsplit_once(':').map_or(host.as_str(), |(host, _)| host);
    let path = head.target.split('?').next().unwrap_or_default();
    let key = headers.find("authorization").and_then(|value| {
        let (scheme, key) = value.split_once(' ')?;
        scheme.eq_ignore_ascii_case("bearer").then(|| key.trim().into())
    });
    let mut tokens = text(names.token_counts).split(',').map(|part| part.trim().parse::<u32>());
    let prompt_tokens = tokens.next().and_then(Result::ok).unwrap_or(0);
    let most = tokens.next().and_then(Result::ok).unwrap_or(0);
    let hint = text(names.output_tokens_hint).parse::<u32>().ok();
    let mut hasher = Xxh3::new();
    for part in [head.method.as_bytes(), head.target.as_bytes(), text("authorization").as_bytes()] {
        hasher.update(part);
        hasher.update(&[0]);
    }
    hasher.update(body);
    Request {
        id,
        request_id: text(names.request_id).into(),
        host: host.into(),
        path: path.into(),
        key,
        model: text(names.model).into(),
        prompt_tokens,
        expected_output_tokens: hint.unwrap_or((f64::from(most) * ANSWER_SHARE) as u32),
        fingerprint: hasher.digest(),
        deadline: deadline(headers.find(names.deadline), WAIT_DEFAULT, now),
    }
}
