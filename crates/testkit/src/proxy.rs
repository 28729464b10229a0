//! A TCP proxy on the loopback address that can interrupt the traffic between two daemons, by
//! closing its connections or by holding back their data.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};
use smol::net::{TcpListener, TcpStream};
use smol::{Task, Timer};

use crate::server;

/// Time between two checks of whether the proxy is disconnected or paused, or its connections are
/// closed.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// A proxy in front of one listener.
#[derive(Debug)]
pub struct Proxy {
    /// Address on which the proxy listens.
    pub address: SocketAddr,
    /// Whether all connections, open and new ones, are closed.
    disconnected: Arc<AtomicBool>,
    /// Whether received data is held back.
    paused: Arc<AtomicBool>,
    /// Number of accepted connections that are not closed yet.
    open: Arc<AtomicUsize>,
    /// Accepts connections; the proxy stops listening when this is dropped.
    _task: Task<()>,
}

impl Proxy {
    /// Starts a proxy that forwards to `target`.
    pub async fn spawn(target: SocketAddr) -> Proxy {
        let (listener, address) = server::bind().await;
        let disconnected = Arc::new(AtomicBool::new(false));
        let paused = Arc::new(AtomicBool::new(false));
        let open = Arc::new(AtomicUsize::new(0));
        let accepting =
            accept(listener, target, disconnected.clone(), paused.clone(), open.clone());
        let task = smol::spawn(accepting);
        Proxy { address, disconnected, paused, open, _task: task }
    }

    /// Closes all open connections and closes new ones as soon as they are accepted, or forwards
    /// new connections again. Open connections are closed soon afterwards; see
    /// [`Proxy::wait_until_closed`].
    pub fn set_disconnected(&self, disconnected: bool) {
        self.disconnected.store(disconnected, Ordering::Relaxed);
    }

    /// Waits until all connections are closed. The proxy must be disconnected.
    pub async fn wait_until_closed(&self) {
        while self.open.load(Ordering::Relaxed) > 0 {
            Timer::after(POLL_INTERVAL).await;
        }
    }

    /// Holds back all data while connections stay open, or forwards it again.
    pub fn set_paused(&self, paused: bool) {
        self.paused.store(paused, Ordering::Relaxed);
    }
}

/// Accepts connections and forwards the data of each to and from `target` until one side closes its
/// connection or the proxy is disconnected.
async fn accept(
    listener: TcpListener,
    target: SocketAddr,
    disconnected: Arc<AtomicBool>,
    paused: Arc<AtomicBool>,
    open: Arc<AtomicUsize>,
) {
    while let Ok((incoming, _)) = listener.accept().await {
        if disconnected.load(Ordering::Relaxed) {
            continue;
        }
        let (disconnected, paused, open) = (disconnected.clone(), paused.clone(), open.clone());
        open.fetch_add(1, Ordering::Relaxed);
        smol::spawn(async move {
            let Ok(outgoing) = TcpStream::connect(target).await else {
                open.fetch_sub(1, Ordering::Relaxed);
                return;
            };
            let requests = copy(incoming.clone(), outgoing.clone(), &paused);
            let responses = copy(outgoing.clone(), incoming.clone(), &paused);
            let disconnection = async {
                while !disconnected.load(Ordering::Relaxed) {
                    Timer::after(POLL_INTERVAL).await;
                }
            };
            requests.or(responses).or(disconnection).await;
            incoming.shutdown(std::net::Shutdown::Both).ok();
            outgoing.shutdown(std::net::Shutdown::Both).ok();
            open.fetch_sub(1, Ordering::Relaxed);
        })
        .detach();
    }
}

/// Copies data from one connection to the other until either fails or is closed. While `paused` is
/// set, received data is held back.
async fn copy(mut from: TcpStream, mut to: TcpStream, paused: &AtomicBool) {
    let mut buffer = vec![0; 64 << 10];
    while let Ok(count @ 1..) = from.read(&mut buffer).await {
        while paused.load(Ordering::Relaxed) {
            Timer::after(POLL_INTERVAL).await;
        }
        if to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}
