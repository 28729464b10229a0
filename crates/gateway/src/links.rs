//! Connections between daemons.
//!
//! Each daemon maintains one connection to each control daemon that it knows, and sends on it.
//! Control daemons send to entry daemons on the connections that these have opened. The side that
//! opened a connection pings the other, so that a dead connection is noticed and replaced.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use dotterelhoist_fleet::journal as log_events;
use dotterelhoist_fleet::message::{Body, Directory, Frame, Hello};
use dotterelhoist_fleet::Name;
use futures_lite::FutureExt;
use prost::Message;
use smol::channel::{bounded, Receiver, Sender};
use smol::net::{TcpListener, TcpStream};
use smol::Timer;

use crate::http::{accept_all, within};
use crate::journal;
use crate::metrics::Meter;

type Connection = dotterelhoist_wire::Connection<TcpStream, Frame>;

/// Message bodies that may wait to be sent on one connection. If the queue is full, the connection
/// is closed.
const MAX_QUEUED_BODIES: usize = 4096;
/// Time to establish a connection; after that the attempt is given up, and another one follows
/// after [`RECONNECT_DELAY`].
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);
/// Time for the first frame on an accepted connection; after that the connection is closed.
const HELLO_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for the answer of a daemon that is asked for control daemons, from the start of the connection.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay between the end of a connection, or of an attempt to connect, and the next attempt.
const RECONNECT_DELAY: Duration = Duration::from_millis(200);
/// Time between two pings, which the side that opened a connection sends.
const PING_INTERVAL: Duration = Duration::from_millis(350);
/// Checks for arrived bytes within each of the two timeouts that follow. A large message on a slow
/// network may take longer than these; it must not be cut off and sent again.
const SILENCE_CHECKS: u32 = 4;
/// The side that opened a connection closes it if not one byte has arrived for this time.
const OUTGOING_SILENCE_TIMEOUT: Duration = Duration::from_millis(1400);
/// The side that accepted a connection closes it if not one byte has arrived for this time.
const INCOMING_SILENCE_TIMEOUT: Duration = Duration::from_millis(3000);

/// What has happened on a connection.
#[derive(Debug)]
pub enum Event {
    /// A connection to the named control daemon has been established.
    OutgoingOpened(Name),
    /// The connection to the named control daemon has ended.
    OutgoingClosed(Name),
    /// Another daemon has connected and sent its first frame, which holds its name, zone and role.
    IncomingOpened(Hello),
    /// The connection from the named entry daemon has ended, and no newer one has replaced it.
    IncomingClosed(Name),
    /// A message body has arrived from the named daemon.
    Received(Name, Body),
}

/// Why a connection has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
enum Ending {
    /// Nothing has arrived within the silence timeout.
    Silent,
    /// The other side has closed the connection.
    Closed,
    /// Receiving has failed, or a frame did not decode.
    ReceiveFailed,
    /// Sending has failed.
    SendFailed,
    /// The send queue was full, or another connection to the same daemon has replaced this one.
    QueueClosed,
}

/// Callback for events; called on the executor's thread.
pub type Handler = Rc<dyn Fn(Event)>;

/// Connections to and from other daemons.
#[derive(Clone)]
pub struct Links {
    /// Name, zone and role of this daemon; the first frame on each connection that it opens.
    hello: Hello,
    /// Port at which control daemons accept connections of daemons.
    port: u16,
    handler: Handler,
    meter: Meter,
    /// Send queues of the open connections, by the daemon at the other end.
    queues: Rc<RefCell<HashMap<Name, Sender<Body>>>>,
    /// Control daemons to which a task maintains a connection.
    dialed: Rc<RefCell<HashMap<Name, ()>>>,
    executor: Rc<smol::LocalExecutor<'static>>,
}

impl Links {
    /// Creates the links of a daemon, without any connection. `port` is the same for all control
    /// daemons.
    pub fn open(
        hello: Hello,
        port: u16,
        handler: Handler,
        meter: Meter,
        executor: Rc<smol::LocalExecutor<'static>>,
    ) -> Links {
        let (queues, dialed) = Default::default();
        Links { hello, port, handler, meter, queues, dialed, executor }
    }

    /// Queues a message body for a daemon. It is dropped if there is no connection to the daemon;
    /// if the queue is full, the connection is closed too.
    pub fn send(&self, to: &Name, body: Body) {
        let mut queues = self.queues.borrow_mut();
        let Some(queue) = queues.get(to) else { return };
        if queue.try_send(body).is_err() {
            queue.close();
            queues.remove(to);
        }
    }

    /// Starts a task that maintains a connection to a control daemon. Does nothing if there is one
    /// already, or if `peer` is this daemon.
    pub fn dial(&self, peer: &Name) {
        let is_self = *self.hello.daemon == **peer;
        if is_self || self.dialed.borrow_mut().insert(peer.clone(), ()).is_some() {
            return;
        }
        let (links, peer) = (self.clone(), peer.clone());
        self.executor.spawn(async move { links.maintain(peer).await }).detach();
    }

    /// Asks the daemon at this address once which control daemons it reaches. An answer is passed on as a
    /// message of this daemon; a control daemon answers with its first status. Does nothing if a connection
    /// to it is maintained anyway.
    pub fn ask(&self, peer: &Name) {
        if self.dialed.borrow().contains_key(peer) {
            return;
        }
        let (links, peer) = (self.clone(), peer.clone());
        let question = async move {
            if let Some(Some(directory)) = within(ANSWER_TIMEOUT, links.question(&peer)).await {
                (links.handler)(Event::Received(peer, Body::Directory(directory)));
            }
        };
        self.executor.spawn(question).detach();
    }

    /// Connects to a daemon, and returns the control daemons that it names first.
    async fn question(&self, peer: &Name) -> Option<Directory> {
        let address = format!("{peer}:{}", self.port).parse::<SocketAddr>().ok()?;
        let mut connection = Connection::open(TcpStream::connect(address).await.ok()?);
        let hello = Frame { body: Some(Body::Hello(self.hello.clone())) };
        connection.feed(&hello).await.ok()?;
        connection.flush().await.ok()?;
        loop {
            match connection.receive().await.ok()??.body {
                Some(Body::Directory(directory)) => return Some(directory),
                Some(Body::Status(status)) => {
                    return Some(Directory { control_daemons: status.control_daemons });
                }
                _ => {}
            }
        }
    }

    /// Answers the first frame on each connection of other daemons with what `directory` returns, and closes
    /// it.
    pub async fn answer<Source>(self, listener: TcpListener, directory: Source)
    where
        Source: Fn() -> Directory + Clone + 'static,
    {
        let executor = self.executor.clone();
        let serve = move |stream| {
            let directory = directory.clone();
            async move {
                let mut connection = Connection::accept(stream);
                let first = within(HELLO_TIMEOUT, connection.receive()).await;
                if matches!(first, Some(Ok(Some(Frame { body: Some(Body::Hello(_)) })))) {
                    let answer = Frame { body: Some(Body::Directory(directory())) };
                    connection.feed(&answer).await.ok();
                    within(ANSWER_TIMEOUT, connection.flush()).await;
                }
            }
        };
        accept_all(listener, executor, serve).await;
    }

    /// Accepts connections of other daemons.
    pub async fn listen(self, listener: TcpListener) {
        let executor = self.executor.clone();
        accept_all(listener, executor, move |stream| self.clone().run_incoming(stream)).await;
    }

    /// Connects to a control daemon and reconnects whenever the connection has ended.
    async fn maintain(self, peer: Name) {
        loop {
            if let Ok(address) = format!("{peer}:{}", self.port).parse::<SocketAddr>() {
                let connected = within(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
                if let Some(Ok(stream)) = connected {
                    self.run_outgoing(&peer, stream).await;
                }
            }
            Timer::after(RECONNECT_DELAY).await;
        }
    }

    /// Sends and receives on a connection that this daemon has opened, until it fails or nothing
    /// has arrived for [`OUTGOING_SILENCE_TIMEOUT`].
    async fn run_outgoing(&self, peer: &Name, stream: TcpStream) {
        stream.set_nodelay(true).ok();
        let mut reader = Connection::open(stream.clone());
        let mut writer = Connection::open(stream);
        let (sender, queue) = bounded(MAX_QUEUED_BODIES);
        sender.try_send(Body::Hello(self.hello.clone())).ok();
        self.queues.borrow_mut().insert(peer.clone(), sender.clone());
        (self.handler)(Event::OutgoingOpened(peer.clone()));
        let reading = self.read(&mut reader, peer, OUTGOING_SILENCE_TIMEOUT, None);
        let writing = self.write(&mut writer, &queue);
        let pinging = ping(&sender);
        let ending = reading.or(writing).or(pinging).await;
        self.record_ending(peer, ending, reader.unfinished_bytes());
        self.remove_queue(peer, &sender);
        (self.handler)(Event::OutgoingClosed(peer.clone()));
    }

    /// Sends and receives on a connection that another daemon has opened, until it fails or nothing
    /// has arrived for [`INCOMING_SILENCE_TIMEOUT`]. Message bodies are sent on it only to entry
    /// daemons; to control daemons, they are sent on the connections that this daemon opens.
    async fn run_incoming(self, stream: TcpStream) {
        stream.set_nodelay(true).ok();
        let mut reader = Connection::accept(stream.clone());
        let mut writer = Connection::open(stream);
        let first = within(HELLO_TIMEOUT, reader.receive()).await;
        let Some(Ok(Some(Frame { body: Some(Body::Hello(hello)) }))) = first else { return };
        let peer: Name = hello.daemon.as_str().into();
        let control = hello.control;
        let (sender, queue) = bounded(MAX_QUEUED_BODIES);
        if !control {
            self.queues.borrow_mut().insert(peer.clone(), sender.clone());
        }
        (self.handler)(Event::IncomingOpened(hello));
        let reading = self.read(&mut reader, &peer, INCOMING_SILENCE_TIMEOUT, Some(&sender));
        let writing = self.write(&mut writer, &queue);
        let ending = reading.or(writing).await;
        self.record_ending(&peer, ending, reader.unfinished_bytes());
        if !control && self.remove_queue(&peer, &sender) {
            (self.handler)(Event::IncomingClosed(peer));
        }
    }

    /// Removes the send queue of a connection, unless a newer connection to the same daemon has
    /// replaced it. Returns `false` if there is a newer one.
    fn remove_queue(&self, peer: &Name, sender: &Sender<Body>) -> bool {
        let mut queues = self.queues.borrow_mut();
        let current = queues.get(peer).is_none_or(|queue| queue.same_channel(sender));
        if current {
            queues.remove(peer);
        }
        sender.close();
        current
    }

    /// Passes received bodies to the handler until the connection fails or nothing has arrived for
    /// `timeout`. Pings are answered with pongs in the queue `pongs`, if there is one.
    async fn read(
        &self,
        reader: &mut Connection,
        peer: &Name,
        timeout: Duration,
        pongs: Option<&Sender<Body>>,
    ) -> Ending {
        loop {
            let frame = match receive(reader, timeout).await {
                Ok(frame) => frame,
                Err(ending) => return ending,
            };
            match frame.body {
                Some(Body::Ping(_)) => {
                    if let Some(pongs) = pongs {
                        pongs.try_send(Body::Pong(true)).ok();
                    }
                }
                Some(Body::Pong(_)) | None => {}
                Some(body) => (self.handler)(Event::Received(peer.clone(), body)),
            }
        }
    }

    /// Sends the queued bodies, flushing whenever the queue is empty, until the connection fails or
    /// the queue is closed.
    async fn write(&self, writer: &mut Connection, queue: &Receiver<Body>) -> Ending {
        while let Ok(body) = queue.recv().await {
            if self.feed(writer, body).await.is_err() {
                return Ending::SendFailed;
            }
            while let Ok(body) = queue.try_recv() {
                if self.feed(writer, body).await.is_err() {
                    return Ending::SendFailed;
                }
            }
            if writer.flush().await.is_err() {
                return Ending::SendFailed;
            }
        }
        Ending::QueueClosed
    }

    /// Sends one body and counts its bytes.
    async fn feed(
        &self,
        writer: &mut Connection,
        body: Body,
    ) -> Result<(), dotterelhoist_wire::Error> {
        let kind: &'static str = (&body).into();
        let frame = Frame { body: Some(body) };
        self.meter.add(&format!("link.sent_bytes.{kind}"), frame.encoded_len());
        writer.feed(&frame).await
    }

    /// Logs and counts the end of a connection. `unfinished_bytes` are those of a frame of which
    /// only a part has arrived.
    fn record_ending(&self, peer: &Name, ending: Ending, unfinished_bytes: usize) {
        self.meter.count(&format!("link.ended.{ending}"));
        let detail = format!("reason={ending} unfinished_bytes={unfinished_bytes}");
        journal::write(&log_events::Event::new(321, "link ended", &**peer, detail));
    }
}

/// Sends pings at regular intervals until the queue is full or closed.
async fn ping(sender: &Sender<Body>) -> Ending {
    loop {
        Timer::after(PING_INTERVAL).await;
        if sender.try_send(Body::Ping(true)).is_err() {
            return Ending::QueueClosed;
        }
    }
}

/// Receives the next frame, or fails once not one byte has arrived for `timeout`.
async fn receive(reader: &mut Connection, timeout: Duration) -> Result<Frame, Ending> {
    let mut arrived_bytes = reader.unfinished_bytes();
    let mut silent_checks = 0;
    while silent_checks < SILENCE_CHECKS {
        match within(timeout / SILENCE_CHECKS, reader.receive()).await {
            Some(Ok(Some(frame))) => return Ok(frame),
            Some(Ok(None)) => return Err(Ending::Closed),
            Some(Err(_)) => return Err(Ending::ReceiveFailed),
            None if reader.unfinished_bytes() > arrived_bytes => {
                arrived_bytes = reader.unfinished_bytes();
                silent_checks = 0;
            }
            None => silent_checks += 1,
        }
    }
    Err(Ending::Silent)
}
