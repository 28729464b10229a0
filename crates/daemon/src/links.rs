//! Connections to the other daemons.
//!
//! Of two daemons that list each other as peers, the one whose name sorts first dials at once, and
//! the other only if there is no connection after [`DIAL_DELAY`]. A pair thus normally has one
//! connection.

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
use crate::reactor::{random_u64, Handle, Input, Link};

/// Messages that may be queued for one link; the link is closed if there are more.
const MAX_QUEUED_MESSAGES: usize = 16_384;
/// Time for a connection to be opened, and again for the other daemon's hello to arrive. The
/// connection is given up after that.
const HELLO_TIMEOUT: Duration = Duration::from_secs(3);
/// Shortest delay between two attempts to connect. Also the delay after a failure to accept a
/// connection, and the interval at which [`Links::dial`] checks whether the link is still open.
const BACKOFF_MIN: Duration = Duration::from_millis(100);
/// Longest delay between two attempts to connect, not counting the random addition of up to 50 ms.
/// The delay doubles up to this length; a connection that lasted longer sets it to [`BACKOFF_MIN`].
const BACKOFF_MAX: Duration = Duration::from_millis(1600);
/// Time for which the daemon whose name sorts last waits for a connection; it dials after that.
const DIAL_DELAY: Duration = Duration::from_secs(2);

/// Links to the other daemons.
#[derive(Clone, Debug)]
pub(crate) struct Links {
    reactor: Handle,
    /// First message that this daemon sends on each connection.
    hello: Hello,
    /// Number of the newest connection to each connected daemon.
    connected: Arc<Mutex<BTreeMap<Name, u64>>>,
}

impl Links {
    pub(crate) fn new(reactor: Handle, hello: Hello) -> Links {
        Links { reactor, hello, connected: Arc::default() }
    }

    /// Accepts connections of other daemons.
    pub(crate) async fn listen(self, listener: TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                Timer::after(BACKOFF_MIN).await;
                continue;
            };
            let links = self.clone();
            smol::spawn(async move { links.run_connection(stream).await }).detach();
        }
    }

    /// Keeps a link to `peer` open: dials whenever there is none, with exponential backoff.
    pub(crate) async fn dial(self, peer: Name, address: SocketAddr) {
        let mut backoff = BACKOFF_MIN;
        if *self.hello.daemon > *peer {
            Timer::after(DIAL_DELAY).await;
        }
        loop {
            if self.is_connected(&peer) {
                backoff = BACKOFF_MIN;
                Timer::after(BACKOFF_MIN).await;
                continue;
            }
            if let Ok(stream) = connect(address).await {
                let connected_at = clock::now();
                self.clone().run_connection(stream).await;
                if clock::now().since(connected_at) > BACKOFF_MAX {
                    backoff = BACKOFF_MIN;
                }
            }
            let jitter = Duration::from_millis(random_u64() % 50);
            Timer::after(backoff + jitter).await;
            backoff = (backoff * 2).min(BACKOFF_MAX);
        }
    }

    /// Whether there is a connection to `peer`, whichever side opened it.
    fn is_connected(&self, peer: &Name) -> bool {
        self.connected.lock().is_ok_and(|connected| connected.contains_key(peer))
    }

    /// Exchanges hellos on a connection, then messages until it closes. A connection whose hello is
    /// late, missing or malformed is closed without a report to the reactor.
    async fn run_connection(self, stream: TcpStream) {
        stream.set_nodelay(true).ok();
        let mut reader: Connection<TcpStream> = Connection::accept(stream.clone());
        let mut writer: Connection<TcpStream> = Connection::open(stream);
        let peer_sent_ms = Arc::new(AtomicU64::new(0));
        let hello = frame(Body::Hello(self.hello.clone()), &peer_sent_ms);
        let exchange_hellos = async {
            writer.feed(&hello).await.ok()?;
            writer.flush().await.ok()?;
            reader.receive().await.ok()?
        };
        let reply = exchange_hellos.or(none_after(HELLO_TIMEOUT)).await;
        let Some(Frame { sent, body: Some(Body::Hello(peer_hello)), .. }) = reply else { return };
        peer_sent_ms.store(sent, Ordering::Relaxed);
        let peer: Name = peer_hello.daemon.as_str().into();
        let connection = self.reactor.next_number();
        let (messages, queue) = bounded(MAX_QUEUED_MESSAGES);
        if let Ok(mut connected) = self.connected.lock() {
            connected.insert(peer.clone(), connection);
        }
        self.reactor.send(Input::LinkUp(peer_hello, Link { connection, messages }));
        let receiving = self.receive_messages(&mut reader, &peer, &peer_sent_ms);
        let sending = send_messages(&mut writer, &queue, &peer_sent_ms);
        receiving.or(sending).await;
        queue.close();
        if let Ok(mut connected) = self.connected.lock() {
            if connected.get(&peer) == Some(&connection) {
                connected.remove(&peer);
            }
        }
        self.reactor.send(Input::LinkDown(peer, connection));
    }

    /// Passes messages of `peer` to the reactor until the connection closes. Stores the peer's
    /// clock reading in its newest frame in `peer_sent_ms`, to be echoed in frames to the peer.
    async fn receive_messages(
        &self,
        reader: &mut Connection<TcpStream>,
        peer: &Name,
        peer_sent_ms: &AtomicU64,
    ) {
        while let Ok(Some(frame)) = reader.receive().await {
            peer_sent_ms.store(frame.sent, Ordering::Relaxed);
            let Some(body) = frame.body else { continue };
            let (from, echo) = (peer.clone(), frame.echo);
            self.reactor.send_event(Event::MessageReceived {
                from,
                echo,
                body,
                random: random_u64(),
            });
        }
    }
}

/// Sends queued messages until the queue is closed or the connection fails.
async fn send_messages(
    writer: &mut Connection<TcpStream>,
    queue: &Receiver<Body>,
    peer_sent_ms: &AtomicU64,
) {
    while let Ok(body) = queue.recv().await {
        if writer.feed(&frame(body, peer_sent_ms)).await.is_err() {
            return;
        }
        while let Ok(body) = queue.try_recv() {
            if writer.feed(&frame(body, peer_sent_ms)).await.is_err() {
                return;
            }
        }
        if writer.flush().await.is_err() {
            return;
        }
    }
}

/// Makes a frame with this daemon's clock reading and the echo of the peer's.
fn frame(body: Body, peer_sent_ms: &AtomicU64) -> Frame {
    let sent = clock::now().as_millis();
    Frame { sent, echo: peer_sent_ms.load(Ordering::Relaxed), body: Some(body) }
}

/// Opens a connection to another daemon.
async fn connect(address: SocketAddr) -> std::io::Result<TcpStream> {
    let timed_out = async {
        Timer::after(HELLO_TIMEOUT).await;
        Err(std::io::ErrorKind::TimedOut.into())
    };
    TcpStream::connect(address).or(timed_out).await
}

/// Resolves to `None` after `delay`.
async fn none_after<Item>(delay: Duration) -> Option<Item> {
    Timer::after(delay).await;
    None
}
