//! Responses of which a test states each byte.

use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use dotterelhoist_gateway::http::Connection;

/// Part of the bytes of a script that stands for the id of the request.
pub const ID: &str = "{id}";
/// Time between the bytes of a script and the end of the connection or the response that follows.
const PAUSE: Duration = Duration::from_millis(20);

/// What follows the bytes of a script.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// The usual response to the request.
    Run,
    /// The next request on the connection.
    Request,
    /// The end of the connection.
    Close,
    /// A reset of the connection.
    Reset,
    /// Nothing; the connection stays open.
    Silence,
}

/// What an endpoint sends when a request arrives.
#[derive(Clone, Debug)]
pub struct Script {
    /// Whether the request counts as run.
    pub runs: bool,
    pub bytes: Vec<u8>,
    pub next: Next,
}

impl Script {
    /// A script whose request runs.
    pub fn run<Bytes>(bytes: Bytes, next: Next) -> Script
    where
        Bytes: Into<Vec<u8>>,
    {
        Script { runs: true, bytes: bytes.into(), next }
    }

    /// A script whose request does not run.
    pub fn refuse<Bytes>(bytes: Bytes, next: Next) -> Script
    where
        Bytes: Into<Vec<u8>>,
    {
        Script { runs: false, ..Script::run(bytes, next) }
    }

    /// Sends the bytes; returns whether the usual response follows, or none if the connection ends.
    pub async fn play(self, connection: &mut Connection, id: &str) -> Option<bool> {
        connection.write(&self.with_id(id)).await.ok()?;
        match self.next {
            Next::Request => return Some(false),
            Next::Silence => std::future::pending().await,
            Next::Run | Next::Close | Next::Reset => {}
        }
        smol::Timer::after(PAUSE).await;
        match self.next {
            Next::Run => Some(true),
            Next::Reset => {
                let linger = Some(Duration::ZERO);
                rustix::net::sockopt::set_socket_linger(&connection.stream, linger).ok()?;
                None
            }
            _ => None,
        }
    }

    /// The bytes with the id of the request in place of [`ID`].
    fn with_id(&self, id: &str) -> Vec<u8> {
        match std::str::from_utf8(&self.bytes) {
            Ok(text) => text.replace(ID, id).into_bytes(),
            Err(_) => self.bytes.clone(),
        }
    }
}

/// Scripts by request id, in the order of the arrivals; shared by all stand-ins.
#[derive(Clone, Debug, Default)]
pub struct Scripts(Arc<Mutex<HashMap<String, VecDeque<Option<Script>>>>>);

impl Scripts {
    /// Makes the first arrivals of a request be answered like this; later ones as usual.
    pub fn plan<Planned>(&self, id: &str, scripts: Planned)
    where
        Planned: IntoIterator<Item = Script>,
    {
        self.lock().insert(id.to_owned(), scripts.into_iter().map(Some).collect());
    }

    /// Takes the script of the request that arrives now.
    pub fn next(&self, id: &str) -> Option<Script> {
        self.lock().get_mut(id)?.pop_front().flatten()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<String, VecDeque<Option<Script>>>> {
        self.0.lock().expect("no thread panics while it holds the lock")
    }
}
