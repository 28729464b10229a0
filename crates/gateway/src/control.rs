//! The shell of a control daemon: sockets, the log's files and timers around
//! [`dotterelhoist_fleet::control::State`].

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use displaydoc::Display;
use dotterelhoist_core::replica::message::Voter;
use dotterelhoist_core::replica::Identity;
use dotterelhoist_core::ticket;
use dotterelhoist_fleet::control::{Answer, Effect, Event, State};
use dotterelhoist_fleet::journal as log_events;
use dotterelhoist_fleet::message::Hello;
use dotterelhoist_fleet::Name;
use dotterelhoist_store::departures::Departure as StoredDeparture;
use dotterelhoist_store::disk::Folder;
use dotterelhoist_store::{identity, Files};
use futures_lite::FutureExt;
use smol::channel::{bounded, unbounded, Receiver, Sender};
use smol::net::{TcpListener, TcpStream};
use smol::Timer;

use crate::http::{accept_all, within, Connection, Error as HttpError, RequestHead};
use crate::links::{Event as LinkEvent, Links};
use crate::memory::Budget;
use crate::metrics::{serve as serve_metrics, Meter};
use crate::protocol::{Call, Protocol};
use crate::writer::Writer;
use crate::{clock, departures, journal, orders};

pub use dotterelhoist_fleet::control::Setup;

/// Time between two [`Event::Tick`]s.
const TICK_INTERVAL: Duration = Duration::from_millis(25);
/// Time for the rest of a call to arrive after its first bytes; after that it is answered with
/// status 400 and the connection is closed. Also the time for the caller to read the response.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Time for which the connection of an endpoint or operator may stay idle; after that it is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Longest head of a call; a longer one is answered with status 400.
const MAX_HEAD_BYTES: usize = 32 << 10;
/// Longest body of a call; a longer one is answered with status 400.
const MAX_BODY_BYTES: usize = 16 << 20;
/// Bytes of the bodies of calls that are held at the same time; a further call is answered with
/// status 503.
const MAX_CALL_BYTES: usize = 48 << 20;
/// Time for the reducer to answer an operator's call; after that the call is answered with status
/// 503.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(3500);
/// Time for which a daemon continues to run after the request to stop, so that what it has accepted
/// reaches the other daemons.
const STOP_DELAY: Duration = Duration::from_millis(300);

/// Configuration of a control daemon.
#[derive(Clone, Debug)]
pub struct Config<Platform> {
    /// Translation of the platform's protocol.
    pub protocol: Platform,
    /// Settings of the reducer.
    pub setup: Setup,
    /// Address at which calls of endpoints and operators are accepted.
    pub control_address: SocketAddr,
    /// Address at which connections of other daemons are accepted.
    pub link_address: SocketAddr,
    /// The control daemons to connect to, whenever the settings name others.
    pub seed_changes: Receiver<Vec<Name>>,
    /// Folder for stored data; the control log is in its subfolder `control`.
    pub data_folder: PathBuf,
    /// Whether the deployment is started for the first time. If so, a daemon without a log becomes
    /// an initial voter; otherwise it joins as a learner with a new identity.
    pub bootstrap: bool,
    /// Initial voters of a new log; ignored if the folder holds the list already.
    pub initial_voters: Vec<Voter>,
    /// Address at which metrics are served, if any.
    pub metrics_address: Option<SocketAddr>,
}

/// Initial voter that the control daemon with this name becomes when a deployment is started for
/// the first time.
pub fn initial_voter(daemon: &Name) -> Voter {
    let identity = identity::Identity { daemon: daemon.to_string(), ..Default::default() };
    Voter { replica: identity.replica_name(), daemon: daemon.to_string(), weight: 1 }
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

/// The reducer of a control daemon and what carries out its effects.
struct Shell<Platform> {
    /// The reducer.
    state: RefCell<State<Platform>>,
    protocol: Platform,
    /// Connections to other daemons; set once the shell exists, because their events go to it.
    links: RefCell<Option<Links>>,
    /// Writes the control log.
    writer: Writer,
    /// Writes departures of endpoints.
    departure_writer: departures::Writer,
    meter: Meter,
    /// Memory for the bodies of calls.
    call_memory: Budget,
    /// Channels to the tasks that wait for the answer to an operator's call, by the ticket of the
    /// call.
    pending_answers: RefCell<HashMap<u64, Sender<Answer>>>,
    /// Tickets of operators' calls: the numbers that match the answers to the calls.
    tickets: RefCell<ticket::Sequence>,
    executor: Rc<smol::LocalExecutor<'static>>,
}

/// Runs a control daemon until shortly after `stop` completes.
///
/// # Errors
///
/// Returns an error if an address can't be listened on or the files of the log can't be opened.
pub async fn run<Platform, Stop>(
    config: Config<Platform>,
    executor: Rc<smol::LocalExecutor<'static>>,
    stop: Stop,
) -> Result<(), Error>
where
    Platform: Protocol,
    Stop: std::future::Future<Output = ()>,
{
    let control_listener =
        TcpListener::bind(config.control_address).await.map_err(Error::Listen)?;
    let link_listener = TcpListener::bind(config.link_address).await.map_err(Error::Listen)?;
    let daemon = config.setup.daemon.clone();
    let replica_setup = identity::Setup {
        daemon: &daemon,
        bootstrap: config.bootstrap,
        initial_voters: &config.initial_voters,
    };
    let folder = config.data_folder.join("control");
    let files = Files::open(&folder, replica_setup, clock::random_u64()).map_err(Error::Files)?;
    let replica: Name = files.identity.replica_name().into();
    let identity =
        Identity { replica: replica.clone(), daemon: daemon.clone(), weight: 1, electable: true };
    let (synced_sender, synced) = unbounded();
    let writer = Writer::spawn(files.store, synced_sender);
    let mut beside = files.beside;
    let stored_departures = read_departures(&mut beside);
    let known_departures = departures::aged(&stored_departures);
    let (stored_sender, departures_stored) = unbounded();
    let departure_writer = departures::Writer::spawn(beside, stored_departures, stored_sender);
    let mut effects = Vec::new();
    let detail = format!("role=control replica={replica} entries={}", files.stored.entries.len());
    journal::write(&log_events::Event::new(200, "started", &*daemon, detail));
    if let Some(error) = files.unstored {
        journal::write(&log_events::Event::new(312, "disk error", &*daemon, error.to_string()));
    }
    let zone = config.setup.zone.to_string();
    let protocol = config.protocol.clone();
    let now = clock::now();
    let mut state =
        State::open(config.setup, protocol.clone(), identity, files.stored, now, &mut effects);
    state.restore_departures(now, &known_departures);
    let shell = Rc::new(Shell {
        state: RefCell::new(state),
        protocol,
        links: RefCell::new(None),
        writer,
        departure_writer,
        meter: Meter::open("control"),
        call_memory: Budget::open(MAX_CALL_BYTES),
        pending_answers: RefCell::default(),
        tickets: RefCell::new(ticket::Sequence::open(clock::random_u64())),
        executor: executor.clone(),
    });
    let handler = {
        let shell = shell.clone();
        Rc::new(move |event| shell.handle_link_event(event))
    };
    let hello = Hello { daemon: daemon.to_string(), zone, control: true };
    let links = Links::open(
        hello,
        config.link_address.port(),
        handler,
        shell.meter.clone(),
        executor.clone(),
    );
    *shell.links.borrow_mut() = Some(links.clone());
    shell.carry_out(effects);
    executor.spawn(links.listen(link_listener)).detach();
    executor.spawn(forward_synced(shell.clone(), synced, Event::Persisted)).detach();
    let forward = forward_synced(shell.clone(), departures_stored, Event::DeparturesStored);
    executor.spawn(forward).detach();
    executor.spawn(tick(shell.clone())).detach();
    executor.spawn(forward_seeds(shell.clone(), config.seed_changes)).detach();
    let control_shell = shell.clone();
    let serve = move |stream| {
        let shell = control_shell.clone();
        async move { shell.serve(stream).await }
    };
    executor.spawn(accept_all(control_listener, executor.clone(), serve)).detach();
    if let Some(address) = config.metrics_address {
        executor.spawn(serve_metrics(shell.meter.clone(), address)).detach();
    }
    stop.await;
    journal::write(&log_events::Event::new(204, "stopping", &*daemon, ""));
    Timer::after(STOP_DELAY).await;
    Ok(())
}

/// Reports to the reducer which writes are on disk, as the event that `make_event` returns.
async fn forward_synced<Platform>(
    shell: Rc<Shell<Platform>>,
    synced: Receiver<u64>,
    make_event: fn(u64) -> Event,
) where
    Platform: Protocol,
{
    while let Ok(sequence) = synced.recv().await {
        shell.apply(make_event(sequence));
    }
}

/// Reads the departures that an earlier process has stored. A file that can't be read is as good as none: this
/// daemon then knows what the others tell it.
fn read_departures(folder: &mut Folder) -> Vec<StoredDeparture> {
    match dotterelhoist_store::departures::read(folder) {
        Ok(departures) => departures,
        Err(error) => {
            let detail = error.to_string();
            journal::write(&log_events::Event::new(314, "departures not read", "disk", detail));
            Vec::new()
        }
    }
}

/// Passes the control daemons that the settings name to the reducer whenever they have changed.
async fn forward_seeds<Platform>(shell: Rc<Shell<Platform>>, seed_changes: Receiver<Vec<Name>>)
where
    Platform: Protocol,
{
    while let Ok(seeds) = seed_changes.recv().await {
        shell.apply(Event::SeedsChanged(seeds));
    }
}

/// Passes a tick to the reducer at regular intervals.
async fn tick<Platform>(shell: Rc<Shell<Platform>>)
where
    Platform: Protocol,
{
    loop {
        Timer::after(TICK_INTERVAL).await;
        shell.apply(Event::Tick { random: clock::random_u64() });
    }
}

impl<Platform> Shell<Platform>
where
    Platform: Protocol,
{
    /// Passes an event to the reducer and carries out the effects.
    fn apply(self: &Rc<Self>, event: Event) {
        let mut effects = Vec::new();
        self.state.borrow_mut().apply(clock::now(), event, &mut effects);
        self.carry_out(effects);
    }

    /// Carries out effects. Orders and probes run as tasks that report back to the reducer.
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
                Effect::StoreDepartures(sequence, departures) => {
                    self.departure_writer.write(sequence, departures);
                }
                Effect::Order(order) => {
                    self.meter.count("orders");
                    let shell = self.clone();
                    let send_order = async move {
                        let outcome = orders::send(&shell.protocol, &order).await;
                        shell.apply(Event::OrderFinished { ticket: order.ticket, outcome });
                    };
                    self.executor.spawn(send_order).detach();
                }
                Effect::Probe { id, address } => {
                    self.meter.count("probes");
                    let shell = self.clone();
                    let probe = async move {
                        let outcome = orders::probe(&shell.protocol, &id, &address).await;
                        shell.apply(Event::ProbeFinished { id, address, outcome });
                    };
                    self.executor.spawn(probe).detach();
                }
                Effect::Answer(ticket, answer) => {
                    if let Some(sender) = self.pending_answers.borrow_mut().remove(&ticket) {
                        sender.try_send(answer).ok();
                    }
                }
                Effect::Log(event) => journal::write(&event),
            }
        }
    }

    /// Passes link events to the reducer.
    fn handle_link_event(self: &Rc<Self>, event: LinkEvent) {
        match event {
            LinkEvent::IncomingOpened(hello) => self.apply(Event::Connected(hello)),
            LinkEvent::IncomingClosed(daemon) => self.apply(Event::Disconnected(daemon)),
            LinkEvent::Received(from, body) => {
                self.apply(Event::Received { from, body, random: clock::random_u64() });
            }
            LinkEvent::OutgoingOpened(daemon) => self.apply(Event::Reached(daemon)),
            LinkEvent::OutgoingClosed(daemon) => self.apply(Event::Lost(daemon)),
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
            let mut reservation = self.call_memory.reserve();
            let call = async {
                let head = connection.read_request_head(MAX_HEAD_BYTES).await?;
                let framing = head.framing;
                let body = connection.read_body(framing, MAX_BODY_BYTES, &mut reservation).await?;
                Ok((head, body))
            };
            let (head, body) = match within(CALL_TIMEOUT, call).await {
                Some(Ok(call)) => call,
                Some(Err(error)) => return self.refuse_unreadable(connection, &error).await,
                None => {
                    let error = HttpError::Malformed("the call is not complete in time");
                    return self.refuse_unreadable(connection, &error).await;
                }
            };
            let response = self.handle_call(&head, body.to_vec()).await;
            let written = within(CALL_TIMEOUT, connection.write(&response)).await;
            if !matches!(written, Some(Ok(()))) || !head.keep_alive {
                return;
            }
        }
    }

    /// Answers a call that could not be read, and closes the connection. The caller may repeat it if
    /// only memory for its body was missing.
    async fn refuse_unreadable(&self, mut connection: Connection, error: &HttpError) {
        self.meter.count("calls.unreadable");
        let event = log_events::Event::new(207, "call unreadable", "control", error.to_string());
        journal::write(&event);
        let response = match error {
            HttpError::Closed | HttpError::Broken(_) => return,
            HttpError::NoMemory => {
                response_bytes(503, "Connection: close\r\nRetry-After: 0.2\r\n", b"{}")
            }
            _ => response_bytes(400, "Connection: close\r\n", b"{}"),
        };
        connection.write(&response).await.ok();
    }

    /// Executes a call and returns the response.
    async fn handle_call(self: &Rc<Self>, head: &RequestHead, body: Vec<u8>) -> Vec<u8> {
        let path = head.target.split('?').next().unwrap_or_default();
        match self.protocol.parse_call(&head.method, path) {
            Some(Call::Heartbeat(id)) => self.handle_heartbeat(&id, &body).await,
            Some(Call::Deregister(id)) => {
                let started_unix_ms = self.protocol.decode_deregistration(&body);
                let id: Name = id.as_str().into();
                self.apply(Event::Deregistered { id: id.clone(), started_unix_ms });
                self.answer_departure(id).await
            }
            Some(Call::PutDocument) => {
                let answer =
                    self.request_answer(|ticket| Event::PutDocument { ticket, body }).await;
                operator_response(answer)
            }
            Some(Call::GetDocument) => {
                let answer = self.request_answer(|ticket| Event::GetDocument { ticket }).await;
                operator_response(answer)
            }
            None => response_bytes(404, "", b"{}"),
        }
    }

    /// Passes a heartbeat to the reducer, or logs and refuses it if it can't be decoded.
    async fn handle_heartbeat(self: &Rc<Self>, id: &str, body: &[u8]) -> Vec<u8> {
        match self.protocol.decode_heartbeat(id, body) {
            Ok(heartbeat) => {
                let leaves = heartbeat.draining;
                self.apply(Event::Heartbeat(Box::new(heartbeat)));
                if leaves {
                    return self.answer_departure(id.into()).await;
                }
                response_bytes(200, "", self.protocol.heartbeat_reply())
            }
            Err(reason) => {
                self.meter.count("beats.refused");
                let event = log_events::Event::new(212, "heartbeat refused", id, reason);
                journal::write(&event);
                response_bytes(400, "", b"{}")
            }
        }
    }

    /// Response to an endpoint that has said that it leaves, once that is stored. Without that it had better tell
    /// another daemon.
    async fn answer_departure(self: &Rc<Self>, id: Name) -> Vec<u8> {
        match self.request_answer(|ticket| Event::AwaitDeparture { ticket, id }).await {
            Answer::Accepted => response_bytes(200, "", self.protocol.heartbeat_reply()),
            _ => {
                self.meter.count("departures.not_stored");
                response_bytes(503, "", b"{}")
            }
        }
    }

    /// Passes the event that `make_event` returns for a new ticket to the reducer and waits for the
    /// answer to this ticket; returns [`Answer::Unavailable`] after [`ANSWER_TIMEOUT`].
    async fn request_answer<MakeEvent>(self: &Rc<Self>, make_event: MakeEvent) -> Answer
    where
        MakeEvent: FnOnce(u64) -> Event,
    {
        let ticket = self.tickets.borrow_mut().draw();
        let (sender, answer) = bounded(1);
        self.pending_answers.borrow_mut().insert(ticket, sender);
        self.apply(make_event(ticket));
        let timed_out = async {
            Timer::after(ANSWER_TIMEOUT).await;
            Answer::Unavailable
        };
        let received = async { answer.recv().await.unwrap_or(Answer::Unavailable) };
        let answer = received.or(timed_out).await;
        self.pending_answers.borrow_mut().remove(&ticket);
        answer
    }
}

/// Response to an operator's call.
fn operator_response(answer: Answer) -> Vec<u8> {
    match answer {
        Answer::Accepted => response_bytes(200, "", b"{}"),
        Answer::Invalid(findings) => {
            let findings: Vec<String> = findings.iter().map(ToString::to_string).collect();
            let body = serde_json::json!({ "findings": findings }).to_string();
            response_bytes(400, "", body.as_bytes())
        }
        Answer::Document(body) => response_bytes(200, "", &body),
        Answer::Unavailable => response_bytes(503, "Retry-After: 0.2\r\n", b"{}"),
    }
}

/// Bytes of a response with a JSON body. `headers` are complete header lines to add.
fn response_bytes(status: u16, headers: &str, body: &[u8]) -> Vec<u8> {
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
