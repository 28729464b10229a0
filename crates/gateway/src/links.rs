//! Connections between daemons.
//!
//! A daemon keeps one connection to each control daemon that it knows and sends on it. An entry daemon
//! also hears the control daemon on the same connection. The side that opened a connection asks for
//! signs of life, so that a connection that has fallen silent is replaced.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use dotterelhoist_fleet::message::{Body, Frame, Hello};
use dotterelhoist_fleet::Name;
use futures_lite::FutureExt;
use smol::channel::{bounded, Receiver, Sender};
use smol::net::{TcpListener, TcpStream};
use smol::Timer;

use crate::http::{accept_all, within};

type Connection = dotterelhoist_wire::Connection<TcpStream, Frame>;

/// Bodies that may wait for one connection; one that is further behind is closed.
const OUTLET_MAX: usize = 4096;
/// Time for a connection to be built.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);
/// Time for the first frame of the other side.
const HELLO_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause between two attempts to connect.
const PAUSE: Duration = Duration::from_millis(200);
/// Time between two requests for a sign of life.
const PING_INTERVAL: Duration = Duration::from_millis(350);
/// Silence after which the side that opened a connection gives it up.
const SILENCE: Duration = Duration::from_millis(1400);
/// Silence after which the side that accepted a connection gives it up.
const SILENCE_ACCEPTED: Duration = Duration::from_millis(3000);

/// What happens on connections.
#[derive(Debug)]
pub enum News {
    /// A connection that this daemon keeps is up.
    Dialed(Name),
    /// A connection that this daemon keeps is down.
    Lost(Name),
    /// Another daemon has connected.
    Accepted(Hello),
    /// An entry daemon that had connected is gone.
    Left(Name),
    /// A daemon has sent something.
    Received(Name, Body),
}

/// Takes in news; called on the executor's thread.
pub type Inbox = Rc<dyn Fn(News)>;

/// Connections to and from other daemons.
#[derive(Clone)]
pub struct Links {
    hello: Hello,
    port: u16,
    inbox: Inbox,
    outlets: Rc<RefCell<HashMap<Name, Sender<Body>>>>,
    dialing: Rc<RefCell<HashMap<Name, ()>>>,
    executor: Rc<smol::LocalExecutor<'static>>,
}

impl Links {
    /// Prepares connections on `port`, which is the same at all daemons.
    pub fn open(
        hello: Hello,
        port: u16,
        inbox: Inbox,
        executor: Rc<smol::LocalExecutor<'static>>,
    ) -> Links {
        Links { hello, port, inbox, outlets: Rc::default(), dialing: Rc::default(), executor }
    }

    /// Sends to a daemon that is connected; what can't be sent is dropped.
    pub fn send(&self, to: &Name, body: Body) {
        let mut outlets = self.outlets.borrow_mut();
        let Some(outlet) = outlets.get(to) else { return };
        if outlet.try_send(body).is_err() {
            outlet.close();
            outlets.remove(to);
        }
    }

    /// Keeps a connection to a control daemon from now on.
    pub fn dial(&self, peer: &Name) {
        let own = *self.hello.daemon == **peer;
        if own || self.dialing.borrow_mut().insert(peer.clone(), ()).is_some() {
            return;
        }
        let (links, peer) = (self.clone(), peer.clone());
        self.executor.spawn(async move { links.keep(peer).await }).detach();
    }

    /// Accepts connections of other daemons.
    pub async fn listen(self, listener: TcpListener) {
        let executor = self.executor.clone();
        accept_all(listener, executor, move |stream| self.clone().serve(stream)).await;
    }

    async fn keep(self, peer: Name) {
        loop {
            if let Ok(address) = format!("{peer}:{}", self.port).parse::<SocketAddr>() {
                let connected = within(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
                if let Some(Ok(stream)) = connected {
                    self.run_dialed(&peer, stream).await;
                }
            }
            Timer::after(PAUSE).await;
        }
    }

    async fn run_dialed(&self, peer: &Name, stream: TcpStream) {
        stream.set_nodelay(true).ok();
        let mut reader = Connection::open(stream.clone());
        let mut writer = Connection::open(stream);
        let (sender, queue) = bounded(OUTLET_MAX);
        sender.try_send(Body::Hello(self.hello.clone())).ok();
        self.outlets.borrow_mut().insert(peer.clone(), sender.clone());
        (self.inbox)(News::Dialed(peer.clone()));
        let reading = self.read(&mut reader, peer, SILENCE, None);
        let writing = write(&mut writer, &queue);
        let asking = ping(&sender);
        reading.or(writing).or(asking).await;
        self.forget(peer, &sender);
        (self.inbox)(News::Lost(peer.clone()));
    }

    /// Runs a connection that another daemon has opened.
    async fn serve(self, stream: TcpStream) {
        stream.set_nodelay(true).ok();
        let mut reader = Connection::open(stream.clone());
        let mut writer = Connection::open(stream);
        let first = within(HELLO_TIMEOUT, reader.receive()).await;
        let Some(Ok(Some(Frame { body: Some(Body::Hello(hello)) }))) = first else { return };
        let peer: Name = hello.daemon.as_str().into();
        let control = hello.control;
        let (sender, queue) = bounded(OUTLET_MAX);
        if !control {
            self.outlets.borrow_mut().insert(peer.clone(), sender.clone());
        }
        (self.inbox)(News::Accepted(hello));
        let reading = self.read(&mut reader, &peer, SILENCE_ACCEPTED, Some(&sender));
        let writing = write(&mut writer, &queue);
        reading.or(writing).await;
        if !control && self.forget(&peer, &sender) {
            (self.inbox)(News::Left(peer));
        }
    }

    /// Drops the outlet of a connection unless a newer one has taken its place.
    fn forget(&self, peer: &Name, sender: &Sender<Body>) -> bool {
        let mut outlets = self.outlets.borrow_mut();
        let current = outlets.get(peer).is_none_or(|outlet| outlet.same_channel(sender));
        if current {
            outlets.remove(peer);
        }
        sender.close();
        current
    }

    async fn read(
        &self,
        reader: &mut Connection,
        peer: &Name,
        silence: Duration,
        answers: Option<&Sender<Body>>,
    ) {
        loop {
            let Some(Ok(Some(frame))) = within(silence, reader.receive()).await else { return };
            match frame.body {
                Some(Body::Ping(_)) => {
                    if let Some(answers) = answers {
                        answers.try_send(Body::Pong(true)).ok();
                    }
                }
                Some(Body::Pong(_)) | None => {}
                Some(body) => (self.inbox)(News::Received(peer.clone(), body)),
            }
        }
    }
}

async fn ping(sender: &Sender<Body>) {
    loop {
        Timer::after(PING_INTERVAL).await;
        if sender.try_send(Body::Ping(true)).is_err() {
            return;
        }
    }
}

async fn write(writer: &mut Connection, queue: &Receiver<Body>) {
    while let Ok(body) = queue.recv().await {
        if writer.feed(&Frame { body: Some(body) }).await.is_err() {
            return;
        }
        while let Ok(body) = queue.try_recv() {
            if writer.feed(&Frame { body: Some(body) }).await.is_err() {
                return;
            }
        }
        if writer.flush().await.is_err() {
            return;
        }
    }
}
