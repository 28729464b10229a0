//! Connections to the other daemons.
//!
//! Of two daemons that list each other the one with the smaller name dials, and the other only if it
//! has waited in vain, so that there is normally one connection for a pair.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use dotterelhoist_core::event::Event;
use dotterelhoist_core::message::{Body, Frame, Hello};
use dotterelhoist_core::Name;
use dotterelhoist_wire::Connection;
use futures_lite::FutureExt;
use smol::channel::{bounded, Receiver};
use smol::net::{TcpListener, TcpStream};
use smol::Timer;

use crate::clock;
use crate::reactor::{draw, Desk, Input, Outlet};

/// Bodies that may wait for one link; a link that is further behind is closed.
const OUTLET_MAX: usize = 16_384;
/// Time for the first frame of the other side.
const HELLO_TIMEOUT: Duration = Duration::from_secs(3);
/// First pause between two attempts to connect.
const BACKOFF_MIN: Duration = Duration::from_millis(100);
/// Longest pause between two attempts to connect.
const BACKOFF_MAX: Duration = Duration::from_millis(1600);
/// Head start of the daemon that is to dial.
const DIAL_PATIENCE: Duration = Duration::from_secs(2);

/// Keeps links to the other daemons.
#[derive(Clone, Debug)]
pub(crate) struct Links {
    desk: Desk,
    hello: Hello,
    live: Arc<Mutex<BTreeMap<Name, u64>>>,
}

impl Links {
    pub(crate) fn new(desk: Desk, hello: Hello) -> Links {
        Links { desk, hello, live: Arc::default() }
    }

    /// Accepts connections of other daemons.
    pub(crate) async fn listen(self, listener: TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                Timer::after(BACKOFF_MIN).await;
                continue;
            };
            let links = self.clone();
            smol::spawn(async move { links.serve(stream).await }).detach();
        }
    }

    /// Keeps a link to one other daemon.
    pub(crate) async fn dial(self, peer: Name, address: SocketAddr) {
        let mut pause = BACKOFF_MIN;
        if *self.hello.daemon > *peer {
            Timer::after(DIAL_PATIENCE).await;
        }
        loop {
            if self.is_live(&peer) {
                pause = BACKOFF_MIN;
                Timer::after(BACKOFF_MIN).await;
                continue;
            }
            if let Ok(stream) = connect(address).await {
                let began = clock::now();
                self.clone().serve(stream).await;
                if clock::now().since(began) > BACKOFF_MAX {
                    pause = BACKOFF_MIN;
                }
            }
            let jitter = Duration::from_millis(draw() % 50);
            Timer::after(pause + jitter).await;
            pause = (pause * 2).min(BACKOFF_MAX);
        }
    }

    fn is_live(&self, peer: &Name) -> bool {
        self.live.lock().is_ok_and(|live| live.contains_key(peer))
    }

    /// Runs one connection to its end.
    async fn serve(self, stream: TcpStream) {
        stream.set_nodelay(true).ok();
        let mut reader: Connection<TcpStream> = Connection::open(stream.clone());
        let mut writer: Connection<TcpStream> = Connection::open(stream);
        let last = Arc::new(AtomicU64::new(0));
        let hello = frame(Body::Hello(self.hello.clone()), &last);
        let greet = async {
            writer.feed(&hello).await.ok()?;
            writer.flush().await.ok()?;
            reader.receive().await.ok()?
        };
        let greeting = greet.or(timeout(HELLO_TIMEOUT)).await;
        let Some(Frame { sent, body: Some(Body::Hello(other)), .. }) = greeting else { return };
        last.store(sent, Ordering::Relaxed);
        let peer: Name = other.daemon.as_str().into();
        let connection = self.desk.number();
        let (bodies, queue) = bounded(OUTLET_MAX);
        if let Ok(mut live) = self.live.lock() {
            live.insert(peer.clone(), connection);
        }
        self.desk.put(Input::LinkUp(other, Outlet { connection, bodies }));
        let reading = self.read(&mut reader, &peer, &last);
        let writing = write(&mut writer, &queue, &last);
        reading.or(writing).await;
        queue.close();
        if let Ok(mut live) = self.live.lock() {
            if live.get(&peer) == Some(&connection) {
                live.remove(&peer);
            }
        }
        self.desk.put(Input::LinkDown(peer, connection));
    }

    async fn read(&self, reader: &mut Connection<TcpStream>, peer: &Name, last: &AtomicU64) {
        while let Ok(Some(frame)) = reader.receive().await {
            last.store(frame.sent, Ordering::Relaxed);
            let Some(body) = frame.body else { continue };
            let (from, echo) = (peer.clone(), frame.echo);
            self.desk.event(Event::MessageReceived { from, echo, body, draw: draw() });
        }
    }
}

async fn write(writer: &mut Connection<TcpStream>, queue: &Receiver<Body>, last: &AtomicU64) {
    while let Ok(body) = queue.recv().await {
        if writer.feed(&frame(body, last)).await.is_err() {
            return;
        }
        while let Ok(body) = queue.try_recv() {
            if writer.feed(&frame(body, last)).await.is_err() {
                return;
            }
        }
        if writer.flush().await.is_err() {
            return;
        }
    }
}

fn frame(body: Body, last: &AtomicU64) -> Frame {
    let sent = clock::now().as_millis();
    Frame { sent, echo: last.load(Ordering::Relaxed), body: Some(body) }
}

async fn connect(address: SocketAddr) -> std::io::Result<TcpStream> {
    let late = async {
        Timer::after(HELLO_TIMEOUT).await;
        Err(std::io::ErrorKind::TimedOut.into())
    };
    TcpStream::connect(address).or(late).await
}

async fn timeout<Item>(span: Duration) -> Option<Item> {
    Timer::after(span).await;
    None
}
