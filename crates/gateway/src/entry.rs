//! The shell of an entry daemon: sockets and timers around [`dotterelhoist_fleet::entry::State`].

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use dotterelhoist_fleet::document::Limits;
use dotterelhoist_fleet::entry::pauses::{self, Pause, Statement};
use dotterelhoist_fleet::entry::{Attempt, Decision, Effect, End, Event, State};
use dotterelhoist_fleet::journal as log_events;
use dotterelhoist_fleet::message::Hello;
use dotterelhoist_fleet::Name;
use smol::channel::{bounded, Receiver, Sender};
use smol::net::{TcpListener, TcpStream};
use smol::Timer;

use crate::clock;
use crate::exchange::{Doubted, Incoming};
use crate::http::{accept_all, accept_waiting, Connection, Framing, Headers, ResponseHead};
use crate::journal;
use crate::links::{Event as LinkEvent, Links};
use crate::memory::Budget;
use crate::metrics::{serve as serve_metrics, Meter};
use crate::protocol::Protocol;
use crate::upstream::Pool;

pub use dotterelhoist_fleet::entry::Setup;

mod callers;
mod parsing;

use self::callers::Peer;

/// Time between two [`Event::Tick`]s.
const TICK_INTERVAL: Duration = Duration::from_millis(25);
/// Longest head of a readiness check by the load balancer; a connection with a longer one is
/// closed.
const MAX_READINESS_HEAD_BYTES: usize = 8 << 10;
/// Bytes of the request bodies that are held at the same time; a further request is refused.
const MAX_REQUEST_BYTES: usize = 32 << 20;
/// Bytes of the response bodies, and of events that have not arrived completely, that are held at
/// the same time; a further response ends its attempt as lost.
const MAX_RESPONSE_BYTES: usize = 32 << 20;
/// Time after the start of a shutdown for which new requests are still accepted, because the
/// platform's load balancer needs that long to notice that the daemon is not ready. If half of the
/// grace period is shorter, that is used instead.
const ACCEPT_AFTER_STOP: Duration = Duration::from_millis(2900);
/// Time that a stopping daemon leaves for a request to arrive on a connection, counted from when it
/// was accepted or has carried the last answer.
const LAST_REQUEST_TIMEOUT: Duration = Duration::from_millis(500);
/// A shutdown stops waiting for requests this long before the end of the grace period, and cuts off
/// those that still run.
const STOP_MARGIN: Duration = Duration::from_millis(500);

/// Configuration of an entry daemon.
#[derive(Clone, Debug)]
pub struct Config<Platform> {
    /// Translation of the platform's protocol.
    pub protocol: Platform,
    /// Settings of the reducer.
    pub setup: Setup,
    /// Address at which callers' requests are accepted.
    pub caller_address: SocketAddr,
    /// Address at which requests are accepted that other entry daemons relay.
    pub relay_address: SocketAddr,
    /// Address at which the load balancer checks whether the daemon is ready.
    pub readiness_address: SocketAddr,
    /// Port at which control daemons accept connections of daemons.
    pub link_port: u16,
    /// IP addresses of the control daemons to connect to at the start.
    pub seeds: Vec<Name>,
    /// The control daemons to connect to, whenever the settings name others.
    pub seed_changes: Receiver<Vec<Name>>,
    /// Grace period: time from the request to stop until the process must have ended.
    pub grace_period: Duration,
    /// Address at which metrics are served, if any.
    pub metrics_address: Option<SocketAddr>,
}

/// Channels to the task that handles a request.
struct RequestHandle {
    /// Decisions of the reducer about the request, in order.
    decisions: Sender<Decision>,
    /// Second attempts, to run beside the current one.
    hedges: Sender<Attempt>,
}

/// The reducer of an entry daemon and what carries out its effects.
pub struct Shell<Platform> {
    /// Translation of the platform's protocol.
    protocol: Platform,
    /// The reducer.
    state: RefCell<State<Platform>>,
    /// Requests being handled, by their number.
    handles: RefCell<HashMap<u64, RequestHandle>>,
    /// Connections to control daemons; set once the shell exists, because their events go to it.
    links: RefCell<Option<Links>>,
    /// Idle connections to endpoints, for reuse.
    pub(crate) pool: Pool,
    /// Memory for request bodies.
    request_memory: Budget,
    /// Memory for response bodies.
    pub(crate) response_memory: Budget,
    meter: Meter,
    /// Number of the next request.
    next_id: Cell<u64>,
    /// Closing this channel makes all connections of callers close that have been idle for
    /// [`LAST_REQUEST_TIMEOUT`], and the others once they have. Nothing is sent on it.
    close_idle: (Sender<()>, Receiver<()>),
    /// Whether new requests are refused because the daemon is stopping.
    refuses_requests: Cell<bool>,
    /// Accepted connections of callers that are still open.
    connection_count: Cell<usize>,
}

/// Runs an entry daemon until `stop` completes, and then until its requests are finished or the
/// grace period is about to end.
///
/// # Errors
///
/// Returns an error if an address can't be listened on.
pub async fn run<Platform, Stop>(
    config: Config<Platform>,
    executor: Rc<smol::LocalExecutor<'static>>,
    stop: Stop,
) -> std::io::Result<()>
where
    Platform: Protocol,
    Stop: std::future::Future<Output = ()>,
{
    let caller_listener = TcpListener::bind(config.caller_address).await?;
    let readiness_listener = TcpListener::bind(config.readiness_address).await?;
    let relay_listener = TcpListener::bind(config.relay_address).await?;
    let daemon = config.setup.daemon.to_string();
    journal::write(&log_events::Event::new(100, "started", &*daemon, "role=entry"));
    let hello = Hello { daemon, zone: config.setup.zone.to_string(), control: false };
    let state = State::open(
        config.setup.clone(),
        config.protocol.clone(),
        clock::random_u64(),
        clock::now(),
    );
    let shell = Rc::new(Shell {
        protocol: config.protocol.clone(),
        state: RefCell::new(state),
        handles: RefCell::default(),
        links: RefCell::new(None),
        pool: Pool::default(),
        request_memory: Budget::open(MAX_REQUEST_BYTES),
        response_memory: Budget::open(MAX_RESPONSE_BYTES),
        meter: Meter::open("entry"),
        next_id: Cell::new(1),
        close_idle: bounded(1),
        refuses_requests: Cell::new(false),
        connection_count: Cell::new(0),
    });
    let handler = {
        let shell = shell.clone();
        Rc::new(move |event| shell.handle_link_event(event))
    };
    let links =
        Links::open(hello, config.link_port, handler, shell.meter.clone(), executor.clone());
    *shell.links.borrow_mut() = Some(links.clone());
    for seed in &config.seeds {
        links.dial(seed);
    }
    executor.spawn(dial_changed(links.clone(), config.seed_changes)).detach();
    let link_address = SocketAddr::new(config.relay_address.ip(), config.link_port);
    answer_neighbors(&shell, links, link_address, &executor).await;
    executor.spawn(tick(shell.clone())).detach();
    let caller_shell = shell.clone();
    let serve_from = move |stream, peer| {
        let shell = caller_shell.clone();
        shell.connection_count.set(shell.connection_count.get() + 1);
        async move {
            shell.serve(stream, peer).await;
            shell.connection_count.set(shell.connection_count.get() - 1);
        }
    };
    let serve_relayed = serve_from.clone();
    let serve_relayed = move |stream| serve_relayed(stream, Peer::EntryDaemon);
    executor.spawn(accept_all(relay_listener, executor.clone(), serve_relayed)).detach();
    let serve = move |stream| serve_from(stream, Peer::Caller);
    let accepting =
        executor.spawn(accept_all(caller_listener.clone(), executor.clone(), serve.clone()));
    let readiness_shell = shell.clone();
    let serve_readiness = move |stream| {
        let shell = readiness_shell.clone();
        async move { shell.serve_readiness(stream).await }
    };
    executor.spawn(accept_all(readiness_listener, executor.clone(), serve_readiness)).detach();
    if let Some(address) = config.metrics_address {
        executor.spawn(serve_metrics(shell.meter.clone(), address)).detach();
    }
    stop.await;
    let close_listener = async {
        accepting.cancel().await;
        accept_waiting(&caller_listener, &executor, serve);
        drop(caller_listener);
    };
    shell.shut_down(config.grace_period, close_listener).await;
    Ok(())
}

/// Connects to the control daemons that the settings name whenever they have changed.
async fn dial_changed(links: Links, seed_changes: Receiver<Vec<Name>>) {
    while let Ok(seeds) = seed_changes.recv().await {
        for seed in &seeds {
            links.dial(seed);
        }
    }
}

/// Tells other entry daemons that ask which control daemons this one reaches. If the address can't be listened
/// on, only they are worse off: that is logged.
async fn answer_neighbors<Platform>(
    shell: &Rc<Shell<Platform>>,
    links: Links,
    address: SocketAddr,
    executor: &Rc<smol::LocalExecutor<'static>>,
) where
    Platform: Protocol,
{
    match TcpListener::bind(address).await {
        Ok(listener) => {
            let shell = shell.clone();
            let directory = move || shell.state.borrow().directory(clock::now());
            executor.spawn(links.answer(listener, directory)).detach();
        }
        Err(error) => {
            let detail = format!("address={address} error={error}");
            journal::write(&log_events::Event::new(
                111,
                "neighbors not answered",
                "process",
                detail,
            ));
        }
    }
}

/// Passes a tick to the reducer at regular intervals, and closes expired idle connections to
/// endpoints with every 40th tick, about once per second.
async fn tick<Platform>(shell: Rc<Shell<Platform>>)
where
    Platform: Protocol,
{
    let mut ticks = 0u64;
    loop {
        Timer::after(TICK_INTERVAL).await;
        shell.apply(Event::Tick);
        ticks += 1;
        if ticks.is_multiple_of(40) {
            shell.pool.close_expired();
        }
    }
}

impl<Platform> Shell<Platform>
where
    Platform: Protocol,
{
    /// Passes an event to the reducer and carries out the effects.
    pub(crate) fn apply(&self, event: Event) {
        if let Event::AttemptEnded(_, end) | Event::HedgeEnded(_, end) = &event {
            self.meter.count(&format!("attempt.{}", end_label(end)));
            if let End::Lost(loss) = end {
                self.meter.count(&format!("lost.{loss}"));
            }
        }
        let mut effects = Vec::new();
        self.state.borrow_mut().apply(clock::now(), event, &mut effects);
        for effect in effects {
            self.carry_out(effect);
        }
    }

    /// Carries out an effect. Effects on requests that have already ended are ignored.
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
            Effect::Ask(peer) => {
                if let Some(links) = &*self.links.borrow() {
                    links.ask(&peer);
                }
            }
            Effect::Decide(id, decision) => {
                if let Decision::Refuse(refusal) = &decision {
                    self.meter.count(&format!("refused.{}", refusal.reason));
                }
                let handles = self.handles.borrow();
                let Some(handle) = handles.get(&id) else { return };
                match decision {
                    Decision::Hedge(attempt) => {
                        self.meter.count("sent.hedge");
                        handle.hedges.try_send(attempt).ok();
                    }
                    decision => {
                        handle.decisions.try_send(decision).ok();
                    }
                }
            }
            Effect::DropIdleConnections => self.pool.clear(),
            Effect::Log(event) => journal::write(&event),
        }
    }

    /// Records that a new connection to the endpoint or relay `target` was established.
    pub(crate) fn record_connected(&self, target: &Name) {
        self.state.borrow_mut().record_connected(target);
    }

    /// Passes link events to the reducer. Entry daemons accept no connections of other daemons, so
    /// events of incoming connections do not occur.
    fn handle_link_event(&self, event: LinkEvent) {
        match event {
            LinkEvent::OutgoingOpened(peer) => self.apply(Event::Connected(peer)),
            LinkEvent::OutgoingClosed(peer) => self.apply(Event::Disconnected(peer)),
            LinkEvent::Received(peer, body) => self.apply(Event::Received(peer, body)),
            LinkEvent::IncomingOpened(_) | LinkEvent::IncomingClosed(_) => {}
        }
    }

    /// Records that the head of a response has arrived from the endpoint `target`, and the load,
    /// the limit, the pause and the leave that its headers state, if any. A response with status
    /// 421 may come from another endpoint at the same address, so it says nothing about the limit;
    /// that it leaves may be recorded, as the endpoint meant has then left its address.
    pub(crate) fn record_response_head(&self, target: &Name, head: &ResponseHead) {
        let now = clock::now();
        let headers = &head.headers;
        if head.status != 421 {
            let limit = headers.find(Platform::HEADERS.limit).and_then(|limit| limit.parse().ok());
            self.apply(Event::LimitStated(target.clone(), limit));
        }
        let turned_away = head.status == 503;
        let pause = if turned_away { self.read_pause(headers) } else { None };
        let statement = Statement { turned_away, pause, leaves: self.read_leave(headers) };
        self.apply(Event::HeadArrived(target.clone(), statement));
        let mut state = self.state.borrow_mut();
        state.record_progress(target, now);
        let Some(load) = headers.find(Platform::HEADERS.load) else { return };
        let mut numbers = load.split(',').map(|number| number.trim().parse::<u32>());
        if let (Some(Ok(running)), Some(Ok(waiting))) = (numbers.next(), numbers.next()) {
            state.record_load(target, running, waiting);
        }
    }

    /// Records to what a refusal that named no request has turned out to belong.
    pub(crate) fn record_doubt(&self, incoming: &Incoming, attempt: &Attempt, outcome: Doubted) {
        self.meter.count(&format!("refusal.doubted.{outcome}"));
        let detail = format!("endpoint={} outcome={outcome}", attempt.target);
        let event = log_events::Event::new(127, "refusal in doubt", &*incoming.request_id, detail);
        journal::write(&event);
    }

    /// Records that a response to an earlier request was skipped.
    pub(crate) fn record_skipped(&self) {
        self.meter.count("response.skipped");
    }

    /// Translation of the platform's protocol.
    pub(crate) fn protocol(&self) -> &Platform {
        &self.protocol
    }

    /// Reads the pause that an endpoint asks for; none if there is none, or it is ignored.
    fn read_pause(&self, headers: &Headers) -> Option<Pause> {
        match pauses::parse(headers.find(Platform::HEADERS.pause)?) {
            Ok(pause) => {
                self.meter.count(if pause.capped { "pause.capped" } else { "pause.stated" });
                Some(pause)
            }
            Err(fault) => {
                self.meter.count(&format!("pause.ignored.{fault}"));
                None
            }
        }
    }

    /// Reads whether an endpoint states that it leaves.
    fn read_leave(&self, headers: &Headers) -> bool {
        let Some(value) = headers.find(Platform::HEADERS.leaves) else { return false };
        self.meter.count(if value == "1" { "leave.stated" } else { "leave.ignored" });
        value == "1"
    }

    /// Whether an endpoint pauses or leaves, as far as it has told this daemon.
    pub(crate) fn is_barred(&self, target: &Name) -> bool {
        self.state.borrow().is_barred(target, clock::now())
    }

    /// Records that a part of a response has arrived from the endpoint `target`.
    pub(crate) fn record_progress(&self, target: &Name) {
        self.state.borrow_mut().record_progress(target, clock::now());
    }

    /// Records that a stream of the endpoint `target` has ended, framed like this, with so many bytes
    /// of an event that has not ended.
    pub(crate) fn record_stream_end(
        &self,
        request_id: &Name,
        target: &Name,
        framing: Framing,
        unfinished_bytes: usize,
    ) {
        self.meter.count(&format!("stream.ended.{framing}"));
        if unfinished_bytes == 0 {
            return;
        }
        let detail =
            format!("endpoint={target} framing={framing} unfinished_bytes={unfinished_bytes}");
        journal::write(&log_events::Event::new(125, "stream cut", &**request_id, detail));
    }

    /// Records that the response to the caller of this request has begun.
    pub(crate) fn record_response_start(&self, id: u64) {
        self.state.borrow_mut().record_response_start(id, clock::now());
    }

    /// Records that the caller of this request is sent an event with data and without an id.
    pub(crate) fn record_event_without_id(&self, id: u64) {
        self.state.borrow_mut().record_event_without_id(id);
    }

    /// Records that a write to the caller of this request has started or ended.
    pub(crate) fn record_write(&self, id: u64, in_progress: bool) {
        self.state.borrow_mut().record_write(id, in_progress, clock::now());
    }

    /// Limits for callers from the configuration document in force; the default limits if there is
    /// no document yet.
    fn limits(&self) -> Limits {
        let state = self.state.borrow();
        state.document().map(|document| document.limits).unwrap_or_default()
    }

    /// Serves a connection of the load balancer: answers each check with status 200 if this daemon
    /// accepts requests, else with 503.
    async fn serve_readiness(&self, stream: TcpStream) {
        let mut connection = Connection::open(stream);
        while let Ok(head) = connection.read_request_head(MAX_READINESS_HEAD_BYTES).await {
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

    /// Shuts down: reports not ready at once; after [`ACCEPT_AFTER_STOP`] refuses new requests and
    /// closes idle connections; closes the listener when no request runs any more, because some
    /// callers may still be sent here; then waits until all connections are closed. If the grace
    /// period is about to end, waits no longer and cuts off the requests that still run.
    async fn shut_down<Close>(&self, grace_period: Duration, close_listener: Close)
    where
        Close: std::future::Future<Output = ()>,
    {
        let started_at = clock::now();
        self.apply(Event::Stop);
        let running = self.state.borrow().running();
        let detail = format!("running={running} connections={}", self.connection_count.get());
        journal::write(&log_events::Event::new(106, "stopping", "entry", detail));
        Timer::after(ACCEPT_AFTER_STOP.min(grace_period / 2)).await;
        self.refuses_requests.set(true);
        self.close_idle.0.close();
        let end = started_at + grace_period.saturating_sub(STOP_MARGIN);
        let last_accept = end.before(LAST_REQUEST_TIMEOUT);
        while self.state.borrow().running() > 0 && clock::now() < last_accept {
            Timer::after(TICK_INTERVAL).await;
        }
        close_listener.await;
        while self.connection_count.get() > 0 && clock::now() < end {
            Timer::after(TICK_INTERVAL).await;
        }
        let detail = format!("cut={}", self.state.borrow().running());
        journal::write(&log_events::Event::new(107, "stopped", "entry", detail));
        Timer::after(TICK_INTERVAL).await;
    }
}

/// Last part of the name of the counter for attempts that ended like this.
fn end_label(end: &End) -> &'static str {
    match end {
        End::Answered => "answered",
        End::Failed { .. } => "failed",
        End::Unreachable => "unreachable",
        End::Withheld => "withheld",
        End::Declined { .. } => "declined",
        End::Lost(_) => "lost",
        End::TimedOut { .. } => "timed_out",
        End::Dropped => "dropped",
    }
}
