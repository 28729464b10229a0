//! Client of the administration API.

use std::net::SocketAddr;
use std::time::Duration;

use dotterelhoist_wire::stream::{Allowance, Stream};
use http_types::headers::AUTHORIZATION;
use http_types::{Method, Request, Url};
use serde_json::Value;
use smol::future::FutureExt;
use smol::net::TcpStream;
use smol::Timer;

use crate::Failure;

/// Time within which a daemon must answer a call; afterwards the call goes to the next daemon.
const CALL_TIMEOUT: Duration = Duration::from_secs(12);
/// Times that each server is tried; if none can answer, the call fails as [`Failure::Unreachable`].
const MAX_ROUNDS: u32 = 3;
/// Bytes that are read of the answer to a call; the call fails after that.
const MAX_ANSWER_BYTES: usize = 64 << 20;
/// Pause between two rounds; in each round, every server is tried once.
const ROUND_INTERVAL: Duration = Duration::from_millis(500);

/// Sends each call to the servers in turn until one answers.
#[derive(Clone, Debug)]
pub(crate) struct Client {
    /// Addresses at which daemons serve operators, in the order in which they are tried.
    pub servers: Vec<SocketAddr>,
    /// Operator token, sent as a bearer token with each call.
    pub token: Option<String>,
}

/// Answer of a daemon.
#[derive(Clone, Debug)]
pub(crate) struct Reply {
    /// HTTP status code.
    pub status: u16,
    /// Body as JSON; a body that is not JSON is a string.
    pub body: Value,
}

impl Client {
    /// Calls one server after the other until one answers with a status other than 503. A server
    /// whose answer was lost may have carried out the call too; this does no harm, because all
    /// calls are idempotent.
    pub(crate) async fn call(
        &self,
        method: Method,
        path: &str,
        body: Option<&Value>,
    ) -> Result<Reply, Failure> {
        let mut last_failure = String::new();
        for round in 0..MAX_ROUNDS {
            if round > 0 {
                Timer::after(ROUND_INTERVAL).await;
            }
            for server in &self.servers {
                match self.call_server(*server, method, path, body).await {
                    Ok(reply) if reply.status != 503 => return Ok(reply),
                    Ok(reply) => {
                        last_failure = format!("{server}: {}", failure_detail(&reply.body))
                    }
                    Err(error) => last_failure = format!("{server}: {error}"),
                }
            }
        }
        Err(Failure::Unreachable(format!(
            "no daemon could carry out the call; the last failure was {last_failure}"
        )))
    }

    async fn call_server(
        &self,
        server: SocketAddr,
        method: Method,
        path: &str,
        body: Option<&Value>,
    ) -> http_types::Result<Reply> {
        let exchange = async {
            let stream = TcpStream::connect(server).await?;
            let mut request = Request::new(method, Url::parse(&format!("http://{server}{path}"))?);
            if let Some(token) = &self.token {
                request.insert_header(AUTHORIZATION, format!("Bearer {token}"));
            }
            if let Some(body) = body {
                request.set_body(body.to_string());
            }
            let allowance = Allowance::open(MAX_ANSWER_BYTES);
            let stream = Stream::with_allowance(stream, allowance);
            let mut response = async_h1::connect(stream, request).await?;
            let content = response.body_string().await?;
            let body = serde_json::from_str(&content).unwrap_or(Value::String(content));
            Ok(Reply { status: response.status().into(), body })
        };
        let timeout = async {
            Timer::after(CALL_TIMEOUT).await;
            Err(http_types::Error::from_str(
                504,
                "the daemon did not answer before the call timed out",
            ))
        };
        exchange.or(timeout).await
    }
}

/// Field `detail` of an answer that reports a failure; the whole body if it has no such field.
pub(crate) fn failure_detail(body: &Value) -> String {
    body["detail"].as_str().map_or_else(|| body.to_string(), ToOwned::to_owned)
}
