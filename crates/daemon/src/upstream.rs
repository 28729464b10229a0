//! Sends requests to endpoints.
//!
//! A connection carries one request at a time. It goes back to the pool only after its answer was
//! read whole; in all other cases it is closed, so a late answer has nowhere to arrive.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use dotterelhoist_core::request::{Dispatch, End};
use dotterelhoist_core::Name;
use futures_lite::FutureExt;
use http_types::headers::{CONTENT_LENGTH, CONTENT_TYPE, TRANSFER_ENCODING};
use http_types::{Method, Request, Response, Url};
use smol::net::TcpStream;
use smol::Timer;

use crate::clock;

/// Time for a connection to an endpoint.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);
/// Idle connections kept for one endpoint.
const IDLE_MAX: usize = 256;
/// Header by which an endpoint says that it did not start a request.
const NOT_RUN: &str = "dotterelhoist-run";

/// A request for an endpoint, without the parts that change from attempt to attempt.
#[derive(Clone, Debug)]
pub(crate) struct Outgoing {
    pub method: Method,
    /// Path with query.
    pub path: String,
    pub content_type: Option<String>,
    pub body: Arc<[u8]>,
}

/// An answer whose head has been read.
#[derive(Debug)]
pub(crate) struct Started {
    pub response: Response,
    /// Length of the body if it is known.
    pub length: Option<usize>,
    pub lease: Lease,
}

/// A connection in use; dropped, it is closed.
#[derive(Debug)]
pub(crate) struct Lease {
    address: Name,
    stream: TcpStream,
    pool: Pool,
}

impl Lease {
    /// Gives the connection back after its answer was read whole.
    pub(crate) fn give_back(self) {
        let Lease { address, stream, pool } = self;
        let Ok(mut idle) = pool.idle.lock() else { return };
        let streams = idle.entry(address).or_default();
        if streams.len() < IDLE_MAX {
            streams.push(stream);
        }
    }
}

/// Idle connections to endpoints.
#[derive(Clone, Debug, Default)]
pub(crate) struct Pool {
    idle: Arc<Mutex<HashMap<Name, Vec<TcpStream>>>>,
}

impl Pool {
    /// Sends a request and reads the head of its answer.
    ///
    /// # Errors
    ///
    /// Returns how the attempt ended if there is no answer to forward.
    pub(crate) async fn start(
        &self,
        dispatch: &Dispatch,
        outgoing: &Outgoing,
    ) -> Result<Started, End> {
        if !dispatch.buffered {
            if let Some(stream) = self.take(&dispatch.address) {
                if let Ok(started) = self.exchange(stream, dispatch, outgoing).await {
                    return self.judge(started);
                }
                let lost = End::Lost { tokens: 0, forwarded: false, crashed: true };
                let stream = connect(&dispatch.address).await.ok_or(lost.clone())?;
                let started = self.exchange(stream, dispatch, outgoing).await;
                return started.map_err(|_| lost).and_then(|started| self.judge(started));
            }
        }
        let stream = connect(&dispatch.address).await.ok_or(End::NotSent)?;
        let started = self.exchange(stream, dispatch, outgoing).await;
        let lost = End::Lost { tokens: 0, forwarded: false, crashed: true };
        started.map_err(|_| lost).and_then(|started| self.judge(started))
    }

    /// Takes an idle connection that the endpoint has not closed meanwhile.
    fn take(&self, address: &Name) -> Option<TcpStream> {
        let mut idle = self.idle.lock().ok()?;
        idle.get_mut(address)?.pop()
    }

    async fn exchange(
        &self,
        stream: TcpStream,
        dispatch: &Dispatch,
        outgoing: &Outgoing,
    ) -> http_types::Result<Started> {
        let url = Url::parse(&format!("http://{}{}", dispatch.address, outgoing.path))?;
        let mut request = Request::new(outgoing.method, url);
        let left = dispatch.deadline.since(clock::now()).as_millis();
        request.insert_header("dotterelhoist-request", &*dispatch.request);
        request.insert_header("dotterelhoist-generation", dispatch.generation.to_string());
        request.insert_header("dotterelhoist-priority", dispatch.priority.to_string());
        request.insert_header("dotterelhoist-deadline-ms", left.to_string());
        request.set_body(outgoing.body.to_vec());
        if let Some(content_type) = &outgoing.content_type {
            request.insert_header(CONTENT_TYPE, content_type.as_str());
        }
        let response = async_h1::connect(stream.clone(), request).await?;
        let lease = Lease { address: dispatch.address.clone(), stream, pool: self.clone() };
        Ok(Started { length: response.len(), response, lease })
    }

    /// Sorts out answers that are no answers: refusals to start, and bodies without a frame.
    fn judge(&self, started: Started) -> Result<Started, End> {
        let response = &started.response;
        let status: u16 = response.status().into();
        let not_run = response.header(NOT_RUN).is_some_and(|value| value.as_str() == "not-run");
        if matches!(status, 429 | 503) && not_run {
            return Err(End::Declined);
        }
        let framed = response.header(TRANSFER_ENCODING).is_some()
            || response.header(CONTENT_LENGTH).is_some();
        let bodiless = matches!(status, 204 | 304);
        if !framed && !bodiless {
            return Err(End::Lost { tokens: 0, forwarded: false, crashed: false });
        }
        Ok(started)
    }
}

async fn connect(address: &Name) -> Option<TcpStream> {
    let address: SocketAddr = address.parse().ok()?;
    let late = async {
        Timer::after(CONNECT_TIMEOUT).await;
        Err(std::io::ErrorKind::TimedOut.into())
    };
    let stream = TcpStream::connect(address).or(late).await.ok()?;
    stream.set_nodelay(true).ok();
    Some(stream)
}
