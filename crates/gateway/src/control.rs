//! The shell of a control daemon.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use displaydoc::Display;
use dotterelhoist_core::replica::message::Voter;
use dotterelhoist_core::replica::Identity;
use dotterelhoist_fleet::control::{Answer, Effect, Event, State};
use dotterelhoist_fleet::journal as events;
use dotterelhoist_fleet::message::Hello;
use dotterelhoist_fleet::Name;
use dotterelhoist_store::{identity, Files};
use futures_lite::FutureExt;
use smol::channel::{bounded, unbounded, Receiver, Sender};
use smol::net::{TcpListener, TcpStream};
use smol::Timer;

use crate::http::{accept_all, within, Connection, RequestHead};
use crate::links::{Event as LinkEvent, Links};
use crate::metrics::{serve as serve_metrics, Meter};
use crate::protocol::{Call, Protocol};
use crate::writer::Writer;
use crate::{clock, journal, orders};

pub use dotterelhoist_fleet::control::Setup;

/// Time between two ticks of the reducer.
const TICK: Duration = Duration::from_millis(25);
/// Time for a whole call to arrive.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Time for which a caller's connection may stay idle.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Longest head of a call.
const HEAD_MAX: usize = 32 << 10;
/// Longest body of a call.
const BODY_MAX: usize = 16 << 20;
/// Time for which an operator's call waits for its answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(3500);
/// Time for which a daemon that stops goes on, so that what it has accepted reaches the others.
const STOP_AFTER: Duration = Duration::from_millis(300);

/// A control daemon that is to be started.
#[derive(Clone, Debug)]
pub struct Config<Platform> {
    /// How the platform speaks.
    pub protocol: Platform,
    /// What the reducer needs.
    pub setup: Setup,
    /// Address for endpoints and operators.
    pub control_address: SocketAddr,
    /// Address for other daemons.
    pub link_address: SocketAddr,
    /// Folder for the log.
    pub data_folder: PathBuf,
    /// Whether the deployment is started for the first time.
    pub bootstrap: bool,
    /// Address at which metrics are served.
    pub metrics_address: Option<SocketAddr>,
}

/// The voter that a control daemon with this IP address is when the deployment is first started.
pub fn initial_voter(daemon: &Name) -> Voter {
    let identity = identity::Identity { daemon: daemon.to_string(), number: 0 };
    Voter { replica: identity.replica(), daemon: daemon.to_string(), weight: 1 }
}

/// Why a control daemon can't run.
#[derive(Debug, Display)]
pub enum Error {
    /// can't listen: {0}
    Listen(std::io::Error),
    /// {0}
    Files(dotterelhoist_store::Error),
}

impl std::error::Error for Error {}

/// The shell around the reducer.
struct Shell<Platform> {
    state: RefCell<State<Platform>>,
    protocol: Platform,
    links: RefCell<Option<Links>>,
    writer: Writer,
    meter: Meter,
    answers: RefCell<HashMap<u64, Sender<Answer>>>,
    next: Cell<u64>,
    executor: Rc<smol::LocalExecutor<'static>>,
}

/// Runs a control daemon until `stop` says that it is to stop.
///
/// # Errors
///
/// Returns the error of a listener or of the files.
pub async fn run<Platform, Stop>(
    config: Config<Platform>,
    executor: Rc<smol::LocalExecutor<'static>>,
    stop: Stop,
) -> Result<(), Error>
where
    Platform: Protocol,
    Stop: std::future::Future<Output = ()>,
{
    let control = TcpListener::bind(config.control_address).await.map_err(Error::Listen)?;
    let inner = TcpListener::bind(config.link_address).await.map_err(Error::Listen)?;
    let daemon = config.setup.daemon.clone();
    let bootstrap = config.bootstrap;
    let files =
        Files::open(&config.data_folder.join("control"), &daemon, bootstrap, clock::random_u64());
    let files = files.map_err(Error::Files)?;
    let replica: Name = files.identity.replica().into();
    let identity =
        Identity { replica: replica.clone(), daemon: daemon.clone(), weight: 1, electable: true };
    let (synced_sender, synced) = unbounded();
    let writer = Writer::spawn(files.store, synced_sender);
    let mut effects = Vec::new();
    let detail = format!("role=control replica={replica} entries={}", files.stored.entries.len());
    journal::write(&events::Event::new(200, "started", &*daemon, detail));
    let zone = config.setup.zone.to_string();
    let protocol = config.protocol.clone();
    let now = clock::now();
    let state =
        State::open(config.setup, protocol.clone(), identity, files.stored, now, &mut effects);
    let shell = Rc::new(Shell {
        state: RefCell::new(state),
        protocol,
        links: RefCell::new(None),
        writer,
        meter: Meter::open("control"),
        answers: RefCell::default(),
        next: Cell::new(1),
        executor: executor.clone(),
    });
    let handler = {
        let shell = shell.clone();
        Rc::new(move |event| shell.handle_link_event(event))
    };
    let hello = Hello { daemon: daemon.to_string(), zone, control: true };
    let links = Links::open(hello, config.link_address.port(), handler, executor.clone());
    *shell.links.borrow_mut() = Some(links.clone());
    shell.carry_out(effects);
    executor.spawn(links.listen(inner)).detach();
    executor.spawn(note_synced(shell.clone(), synced)).detach();
    executor.spawn(tick(shell.clone())).detach();
    let serving = shell.clone();
    let serve = move |stream| {
        let shell = serving.clone();
        async move { shell.serve(stream).await }
    };
    executor.spawn(accept_all(control, executor.clone(), serve)).detach();
    if let Some(address) = config.metrics_address {
        executor.spawn(serve_metrics(shell.meter.clone(), address)).detach();
    }
    stop.await;
    journal::write(&events::Event::new(204, "stopping", &*daemon, ""));
    Timer::after(STOP_AFTER).await;
    Ok(())
}

async fn note_synced<Platform>(shell: Rc<Shell<Platform>>, synced: Receiver<u64>)
where
    Platform: Protocol,
{
    while let Ok(sequence) = synced.recv().await {
        shell.apply(Event::Persisted(sequence));
    }
}

async fn tick<Platform>(shell: Rc<Shell<Platform>>)
where
    Platform: Protocol,
{
    loop {
        Timer::after(TICK).await;
        shell.apply(Event::Tick { draw: clock::random_u64() });
    }
}

impl<Platform> Shell<Platform>
where
    Platform: Protocol,
{
    fn apply(self: &Rc<Self>, event: Event) {
        let mut effects = Vec::new();
        self.state.borrow_mut().apply(clock::now(), event, &mut effects);
        self.carry_out(effects);
    }

    fn carry_out(self: &Rc<Self>, effects: Vec<Effect>) {
        for effect in effects {
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
                Effect::Persist(sequence, write) => self.writer.write(sequence, write),
                Effect::Order(order) => {
                    self.meter.count("orders");
                    let shell = self.clone();
                    let give = async move {
                        let outcome = orders::send(&shell.protocol, &order).await;
                        shell.apply(Event::OrderFinished { ticket: order.ticket, outcome });
                    };
                    self.executor.spawn(give).detach();
                }
                Effect::Probe { id, address } => {
                    self.meter.count("probes");
                    let shell = self.clone();
                    let ask = async move {
                        let (beat, refused) = orders::probe(&shell.protocol, &id, &address).await;
                        shell.apply(Event::ProbeFinished { id, heartbeat: beat, refused });
                    };
                    self.executor.spawn(ask).detach();
                }
                Effect::Answer(ticket, answer) => {
                    if let Some(sender) = self.answers.borrow_mut().remove(&ticket) {
                        sender.try_send(answer).ok();
                    }
                }
                Effect::Log(event) => journal::write(&event),
            }
        }
    }

    fn handle_link_event(self: &Rc<Self>, event: LinkEvent) {
        match event {
            LinkEvent::IncomingOpened(hello) => self.apply(Event::Connected(hello)),
            LinkEvent::IncomingClosed(daemon) => self.apply(Event::Disconnected(daemon)),
            LinkEvent::Received(from, body) => {
                self.apply(Event::Received { from, body, draw: clock::random_u64() });
            }
            LinkEvent::OutgoingOpened(_) | LinkEvent::OutgoingClosed(_) => {}
        }
    }

    /// Serves the connection of an endpoint or operator.
    async fn serve(self: &Rc<Self>, stream: TcpStream) {
        let mut connection = Connection::open(stream);
        loop {
            if connection.buffer.is_empty() {
                match within(IDLE_TIMEOUT, connection.fill()).await {
                    Some(Ok(count)) if count > 0 => {}
                    _ => return,
                }
            }
            let call = async {
                let head = connection.read_request_head(HEAD_MAX).await.ok()?;
                let body = connection.read_body(head.framing, BODY_MAX).await.ok()?;
                Some((head, body))
            };
            let Some(Some((head, body))) = within(CALL_TIMEOUT, call).await else {
                connection.write(b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\nConnection: close\r\n\r\n").await.ok();
                return;
            };
            let reply = self.answer(&head, body.to_vec()).await;
            if connection.write(&reply).await.is_err() || !head.keep_alive {
                return;
            }
        }
    }

    async fn answer(self: &Rc<Self>, head: &RequestHead, body: Vec<u8>) -> Vec<u8> {
        let path = head.target.split('?').next().unwrap_or_default();
        match self.protocol.parse_call(&head.method, path) {
            Some(Call::Heartbeat(id)) => self.take_beat(&id, &body),
            Some(Call::Deregister(id)) => {
                self.apply(Event::Deregistered(id.as_str().into()));
                reply(200, "", self.protocol.heartbeat_reply())
            }
            Some(Call::PutDocument) => {
                let answer = self.ask(|ticket| Event::PutDocument { ticket, body }).await;
                reply_operator(answer)
            }
            Some(Call::GetDocument) => {
                let answer = self.ask(|ticket| Event::GetDocument { ticket }).await;
                reply_operator(answer)
            }
            None => reply(404, "", b"{}"),
        }
    }

    fn take_beat(self: &Rc<Self>, id: &str, body: &[u8]) -> Vec<u8> {
        match self.protocol.decode_heartbeat(id, body) {
            Ok(beat) => {
                self.apply(Event::Heartbeat(Box::new(beat)));
                reply(200, "", self.protocol.heartbeat_reply())
            }
            Err(reason) => {
                self.meter.count("beats.refused");
                let event = events::Event::new(212, "heartbeat passed over", id, reason);
                journal::write(&event);
                reply(400, "", b"{}")
            }
        }
    }

    async fn ask<Question>(self: &Rc<Self>, question: Question) -> Answer
    where
        Question: FnOnce(u64) -> Event,
    {
        let ticket = self.next.get();
        self.next.set(ticket + 1);
        let (sender, answer) = bounded(1);
        self.answers.borrow_mut().insert(ticket, sender);
        self.apply(question(ticket));
        let late = async {
            Timer::after(ANSWER_TIMEOUT).await;
            Answer::Unavailable
        };
        let answered = async { answer.recv().await.unwrap_or(Answer::Unavailable) };
        let answer = answered.or(late).await;
        self.answers.borrow_mut().remove(&ticket);
        answer
    }
}

fn reply_operator(answer: Answer) -> Vec<u8> {
    match answer {
        Answer::Accepted => reply(200, "", b"{}"),
        Answer::Invalid(findings) => {
            let findings: Vec<String> = findings.iter().map(ToString::to_string).collect();
            let body = serde_json::json!({ "findings": findings }).to_string();
            reply(400, "", body.as_bytes())
        }
        Answer::Document(body) => reply(200, "", &body),
        Answer::Unavailable => reply(503, "Retry-After: 0.2\r\n", b"{}"),
    }
}

fn reply(status: u16, headers: &str, body: &[u8]) -> Vec<u8> {
    let phrase = match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        _ => "Service Unavailable",
    };
    let mut bytes = format!(
        "HTTP/1.1 {status} {phrase}\r\n{headers}Content-Type: application/json\r\nContent-Length: {}\r\n\r\n",
        body.len()
    )
    .into_bytes();
    bytes.extend_from_slice(body);
    bytes
}
