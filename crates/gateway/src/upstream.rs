//! Connections to endpoints.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use dotterelhoist_core::clock::Instant;
use dotterelhoist_fleet::Name;
use smol::net::TcpStream;

use crate::clock;
use crate::http::{within, Connection};

/// Time for a connection to be built.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(180);
/// Time for which an idle connection is kept if its endpoint does not say.
const IDLE_MAX: Duration = Duration::from_secs(4);
/// Time by which a connection is given up before its endpoint does.
const IDLE_MARGIN: Duration = Duration::from_millis(1200);
/// Idle connections kept for one endpoint.
const IDLE_COUNT: usize = 16;

/// An idle connection.
#[derive(Debug)]
struct Idle {
    connection: Connection,
    until: Instant,
}

/// Idle connections to endpoints; clones share them.
#[derive(Clone, Debug, Default)]
pub(crate) struct Pool {
    idle: Rc<RefCell<HashMap<Name, Vec<Idle>>>>,
}

impl Pool {
    /// Takes an idle connection to an address, or builds one; none if the address does not answer.
    pub(crate) async fn connect(&self, address: &Name) -> Option<Connection> {
        if let Some(connection) = self.take(address) {
            return Some(connection);
        }
        connect(address).await
    }

    fn take(&self, address: &Name) -> Option<Connection> {
        let now = clock::now();
        let mut idle = self.idle.borrow_mut();
        let list = idle.get_mut(address)?;
        while let Some(Idle { connection, until }) = list.pop() {
            if now < until && connection.is_reusable() {
                return Some(connection);
            }
        }
        None
    }

    /// Keeps a connection behind a whole answer. `keep_alive` is the time that the endpoint gave.
    pub(crate) fn keep(&self, address: &Name, connection: Connection, keep_alive: Option<&str>) {
        if !connection.is_reusable() {
            return;
        }
        let stated = keep_alive.and_then(timeout).map(Duration::from_secs);
        let span = stated.unwrap_or(IDLE_MAX).min(IDLE_MAX * 2).saturating_sub(IDLE_MARGIN);
        let mut idle = self.idle.borrow_mut();
        let list = idle.entry(address.clone()).or_default();
        if list.len() < IDLE_COUNT && !span.is_zero() {
            list.push(Idle { connection, until: clock::now() + span });
        }
    }

    /// Closes connections that have been idle for long.
    pub(crate) fn sweep(&self) {
        let now = clock::now();
        self.idle.borrow_mut().retain(|_, list| {
            list.retain(|idle| now < idle.until);
            !list.is_empty()
        });
    }
}

/// Builds a connection; none if the address does not answer in time.
pub(crate) async fn connect(address: &Name) -> Option<Connection> {
    let address: SocketAddr = address.parse().ok()?;
    let stream = within(CONNECT_TIMEOUT, TcpStream::connect(address)).await?.ok()?;
    Some(Connection::open(stream))
}

fn timeout(value: &str) -> Option<u64> {
    let parts = value.split(',').map(str::trim);
    parts.filter_map(|part| part.strip_prefix("timeout=")).next()?.parse().ok()
}
