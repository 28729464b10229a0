//! A link between two daemons that can be cut, frozen and restored: a proxy on the loopback address.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};
use smol::net::{TcpListener, TcpStream};
use smol::{Task, Timer};

use crate::server;

/// Time between two looks at whether a link was cut.
const LOOK: Duration = Duration::from_millis(5);

/// A proxy in front of one listener.
#[derive(Debug)]
pub struct Proxy {
    /// Where it listens.
    pub address: SocketAddr,
    cut: Arc<AtomicBool>,
    frozen: Arc<AtomicBool>,
    _task: Task<()>,
}

impl Proxy {
    /// Starts a proxy for a listener.
    pub async fn spawn(target: SocketAddr) -> Proxy {
        let (listener, address) = server::bind().await;
        let cut = Arc::new(AtomicBool::new(false));
        let frozen = Arc::new(AtomicBool::new(false));
        let task = smol::spawn(accept(listener, target, cut.clone(), frozen.clone()));
        Proxy { address, cut, frozen, _task: task }
    }

    /// Closes all connections and refuses new ones, or lets them through again.
    pub fn set_disconnected(&self, cut: bool) {
        self.cut.store(cut, Ordering::Relaxed);
    }

    /// Holds back all bytes in silence, or lets them go on.
    pub fn set_paused(&self, frozen: bool) {
        self.frozen.store(frozen, Ordering::Relaxed);
    }
}

async fn accept(
    listener: TcpListener,
    target: SocketAddr,
    cut: Arc<AtomicBool>,
    frozen: Arc<AtomicBool>,
) {
    while let Ok((near, _)) = listener.accept().await {
        if cut.load(Ordering::Relaxed) {
            continue;
        }
        let (cut, frozen) = (cut.clone(), frozen.clone());
        smol::spawn(async move {
            let Ok(far) = TcpStream::connect(target).await else { return };
            let there = copy(near.clone(), far.clone(), &frozen);
            let back = copy(far.clone(), near.clone(), &frozen);
            let broken = async {
                while !cut.load(Ordering::Relaxed) {
                    Timer::after(LOOK).await;
                }
            };
            there.or(back).or(broken).await;
            near.shutdown(std::net::Shutdown::Both).ok();
            far.shutdown(std::net::Shutdown::Both).ok();
        })
        .detach();
    }
}

async fn copy(mut from: TcpStream, mut to: TcpStream, frozen: &AtomicBool) {
    let mut buffer = vec![0; 64 << 10];
    while let Ok(count @ 1..) = from.read(&mut buffer).await {
        while frozen.load(Ordering::Relaxed) {
            Timer::after(LOOK).await;
        }
        if to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}
