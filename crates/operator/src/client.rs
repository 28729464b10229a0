//! Calls to the administration API.

use std::net::SocketAddr;
use std::time::Duration;

use http_types::headers::AUTHORIZATION;
use http_types::{Method, Request, Url};
use serde_json::Value;
use smol::future::FutureExt;
use smol::net::TcpStream;
use smol::Timer;

use crate::Failure;

/// Time for one answer.
const TIMEOUT: Duration = Duration::from_secs(12);
/// Rounds over all servers before a call is given up.
const ROUNDS: u32 = 3;
/// Pause between two rounds.
const PAUSE: Duration = Duration::from_millis(500);

/// Daemons to ask, the first that answers.
#[derive(Clone, Debug)]
pub(crate) struct Client {
    pub servers: Vec<SocketAddr>,
    pub token: Option<String>,
}

/// An answer.
#[derive(Clone, Debug)]
pub(crate) struct Reply {
    pub status: u16,
    pub body: Value,
}

impl Client {
    /// Calls until a daemon gives a final answer. All calls are safe to repeat.
    pub(crate) async fn call(
        &self,
        method: Method,
        path: &str,
        body: Option<&Value>,
    ) -> Result<Reply, Failure> {
        let mut last = String::new();
        for round in 0..ROUNDS {
            if round > 0 {
                Timer::after(PAUSE).await;
            }
            for server in &self.servers {
                match self.call_one(*server, method, path, body).await {
                    Ok(reply) if reply.status != 503 => return Ok(reply),
                    Ok(reply) => last = format!("{server}: {}", describe(&reply.body)),
                    Err(error) => last = format!("{server}: {error}"),
                }
            }
        }
        Err(Failure::Unreachable(format!("no daemon could answer; the last one said {last}")))
    }

    async fn call_one(
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
            let mut response = async_h1::connect(stream, request).await?;
            let text = response.body_string().await?;
            let body = serde_json::from_str(&text).unwrap_or(Value::String(text));
            Ok(Reply { status: response.status().into(), body })
        };
        let late = async {
            Timer::after(TIMEOUT).await;
            Err(http_types::Error::from_str(504, "no answer in time"))
        };
        exchange.or(late).await
    }
}

/// What an answer that tells of a failure says.
pub(crate) fn describe(body: &Value) -> String {
    body["detail"].as_str().map_or_else(|| body.to_string(), ToOwned::to_owned)
}
