//! Pool of connections to endpoints, which are reused for several requests.

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

/// Time to establish a connection; after that the endpoint counts as unreachable.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(180);
/// Time for which an endpoint is assumed to keep an idle connection open if its `Keep-Alive` header
/// states none. A stated time is capped at twice this.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// An idle connection is dropped this long before the endpoint may close it, so that no request is
/// sent on a connection that is being closed.
const IDLE_MARGIN: Duration = Duration::from_millis(1200);
/// Idle connections kept per endpoint; further ones are closed after their response.
const MAX_IDLE_PER_ENDPOINT: usize = 16;

/// Time for which requests to an endpoint go out on new connections after a refusal of it could not be
/// told from bytes that belong to no request.
const DISTRUST_TIME: Duration = Duration::from_secs(60);

/// An idle connection to an endpoint.
#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    /// Time until which the connection may be reused; later the endpoint may close it.
    reusable_until: Instant,
}

/// Idle connections to endpoints; clones share them.
#[derive(Clone, Debug, Default)]
pub(crate) struct Pool {
    /// Idle connections by the address of the endpoint, the most recently used last.
    idle: Rc<RefCell<HashMap<Name, Vec<IdleConnection>>>>,
    /// Endpoints whose connections are not reused, by address, and until when.
    distrusted: Rc<RefCell<HashMap<Name, Instant>>>,
}

impl Pool {
    /// Removes from the pool the most recently used idle connection that can be reused, and closes
    /// those used later that can't.
    pub(crate) fn take(&self, address: &Name) -> Option<Connection> {
        let now = clock::now();
        let mut idle = self.idle.borrow_mut();
        let list = idle.get_mut(address)?;
        while let Some(IdleConnection { connection, reusable_until }) = list.pop() {
            if now < reusable_until && connection.is_reusable() {
                return Some(connection);
            }
        }
        None
    }

    /// Puts a connection back into the pool after a complete response, or closes it if it can't be
    /// reused or enough others are idle. `keep_alive` is the value of the response's `Keep-Alive`
    /// header.
    pub(crate) fn put_back(
        &self,
        address: &Name,
        connection: Connection,
        keep_alive: Option<&str>,
    ) {
        if !connection.is_reusable() {
            return;
        }
        let stated = keep_alive.and_then(parse_keep_alive_timeout).map(Duration::from_secs);
        let idle_time = stated
            .unwrap_or(DEFAULT_IDLE_TIMEOUT)
            .min(DEFAULT_IDLE_TIMEOUT * 2)
            .saturating_sub(IDLE_MARGIN);
        if self.distrusted.borrow().get(address).is_some_and(|until| clock::now() < *until) {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        let list = idle.entry(address.clone()).or_default();
        if list.len() < MAX_IDLE_PER_ENDPOINT && !idle_time.is_zero() {
            list.push(IdleConnection { connection, reusable_until: clock::now() + idle_time });
        }
    }

    /// Closes the idle connections to an endpoint, and those that are put back within
    /// [`DISTRUST_TIME`].
    pub(crate) fn distrust(&self, address: &Name) {
        self.idle.borrow_mut().remove(address);
        self.distrusted.borrow_mut().insert(address.clone(), clock::now() + DISTRUST_TIME);
    }

    /// Closes all connections.
    pub(crate) fn clear(&self) {
        self.idle.borrow_mut().clear();
    }

    /// Closes the connections that have been idle for too long to be reused.
    pub(crate) fn close_expired(&self) {
        let now = clock::now();
        self.distrusted.borrow_mut().retain(|_, until| now < *until);
        self.idle.borrow_mut().retain(|_, list| {
            list.retain(|idle| now < idle.reusable_until);
            !list.is_empty()
        });
    }
}

/// Establishes a connection; none if the connect fails or takes too long.
pub(crate) async fn connect(address: &Name) -> Option<Connection> {
    let address: SocketAddr = address.parse().ok()?;
    let stream = within(CONNECT_TIMEOUT, TcpStream::connect(address)).await?.ok()?;
    Some(Connection::open(stream))
}

/// Seconds in the `timeout` parameter of a `Keep-Alive` header.
fn parse_keep_alive_timeout(value: &str) -> Option<u64> {
    let parts = value.split(',').map(str::trim);
    parts.filter_map(|part| part.strip_prefix("timeout=")).next()?.parse().ok()
}
