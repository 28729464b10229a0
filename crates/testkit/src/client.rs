//! An HTTP client that sends requests as a caller does and reads the daemon's responses.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use futures_lite::{AsyncBufReadExt, AsyncReadExt, StreamExt};
use http_types::headers::AUTHORIZATION;
use http_types::{Method, Request, Url};
use serde_json::{json, Value};
use smol::net::TcpStream;
use xxhash_rust::xxh3::xxh3_64;

/// A request to a daemon.
#[derive(Clone, Debug)]
pub struct Call {
    /// HTTP method.
    pub method: Method,
    /// Path with query.
    pub path: String,
    /// Bearer token for the `Authorization` header.
    pub token: String,
    /// Value of the `Idempotency-Key` header; no header if none.
    pub idempotency_key: Option<String>,
    /// Value of the `Dotterelhoist-Timeout-Ms` header in milliseconds; no header if none.
    pub timeout_ms: Option<u64>,
    /// Request body.
    pub body: String,
}

impl Call {
    /// A chat completion request with one user message for an answer of `token_count` tokens, sent
    /// as server-sent events if `stream` is set.
    pub fn generate(
        service: &str,
        bearer_token: &str,
        prompt: &str,
        token_count: u32,
        stream: bool,
    ) -> Call {
        let body = json!({
            "model": service,
            "max_tokens": token_count,
            "stream": stream,
            "messages": [{ "role": "user", "content": prompt }],
        });
        Call {
            method: Method::Post,
            path: "/v1/chat/completions".to_owned(),
            token: bearer_token.to_owned(),
            idempotency_key: None,
            timeout_ms: None,
            body: body.to_string(),
        }
    }

    /// A `POST` request to a path of a plain service.
    pub fn plain(service: &str, bearer_token: &str, path: &str, body: &str) -> Call {
        Call {
            method: Method::Post,
            path: format!("/services/{service}{path}"),
            token: bearer_token.to_owned(),
            idempotency_key: None,
            timeout_ms: None,
            body: body.to_owned(),
        }
    }

    /// Sets the idempotency key.
    pub fn with_idempotency_key(mut self, key: &str) -> Call {
        self.idempotency_key = Some(key.to_owned());
        self
    }

    /// Sets the timeout that the daemon is told to apply; the client itself does not time out.
    pub fn with_timeout(mut self, timeout: Duration) -> Call {
        self.timeout_ms = Some(timeout.as_millis() as u64);
        self
    }
}

/// A response of a daemon.
#[derive(Clone, Debug)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// Id that the daemon assigned to the request, empty if the response has none.
    pub request_id: String,
    /// Whether the daemon replayed the recorded response of an earlier request with the same
    /// idempotency key.
    pub replayed: bool,
    /// Value of the `Retry-After` header in seconds.
    pub retry_after: Option<u64>,
    /// Body, or the part of it that was received before the connection broke.
    pub body: String,
    /// Whether the whole body was received, as its framing (content length or chunks) defines it.
    pub complete: bool,
    /// Time from the start of the call to the first byte of the body.
    pub time_to_first_byte: Duration,
    /// Time from the start of the call to the end of the body.
    pub total_time: Duration,
}

impl Reply {
    /// Body as JSON, null if it is not JSON.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap_or(Value::Null)
    }

    /// Reason given in the body of a refusal, empty for other responses.
    pub fn reason(&self) -> String {
        self.json()["reason"].as_str().unwrap_or_default().to_owned()
    }

    /// Whether a refused request was run, as the body of the refusal says: `not-run` or `unknown`;
    /// empty for other responses.
    pub fn run_status(&self) -> String {
        self.json()["run"].as_str().unwrap_or_default().to_owned()
    }

    /// Whether this is the complete answer of the stand-in engine to `prompt`: it has the expected
    /// text and, if streamed, nothing after the final event `[DONE]`.
    pub fn is_complete_answer(&self, prompt: &str, token_count: u32, stream: bool) -> bool {
        if self.status != 200 || !self.complete {
            return false;
        }
        if !stream {
            let content = &self.json()["choices"][0]["message"]["content"];
            return content.as_str() == Some(&expected_answer(prompt, token_count));
        }
        let mut lines = self.body.lines().filter_map(|line| line.strip_prefix("data: "));
        let mut text = String::new();
        for line in lines.by_ref() {
            if line == "[DONE]" {
                return text == expected_answer(prompt, token_count) && lines.next().is_none();
            }
            let event: Value = serde_json::from_str(line).unwrap_or(Value::Null);
            text.push_str(event["choices"][0]["delta"]["content"].as_str().unwrap_or("?"));
        }
        false
    }
}

/// Token number `index`, from 0, of the stand-in engine's answer to the prompt with this hash.
pub fn answer_token(prompt_hash: u64, index: u32) -> String {
    format!("{:x} ", prompt_hash.rotate_left(index % 64) & 0xffff)
}

/// Text of the stand-in engine's complete answer to a prompt.
pub fn expected_answer(prompt: &str, token_count: u32) -> String {
    let hash = xxh3_64(prompt.as_bytes());
    (0..token_count).map(|index| answer_token(hash, index)).collect()
}

/// Sends a request on a new connection and reads the response.
///
/// # Errors
///
/// Returns an error if the connection fails before a response head is received.
pub async fn call(address: SocketAddr, call: &Call) -> http_types::Result<Reply> {
    let stream = TcpStream::connect(address).await?;
    call_on(&stream, address, call).await
}

/// Sends a request on an open connection and reads the response.
///
/// # Errors
///
/// Returns an error if the connection fails before a response head is received.
pub async fn call_on(
    stream: &TcpStream,
    address: SocketAddr,
    call: &Call,
) -> http_types::Result<Reply> {
    let started = Instant::now();
    stream.set_nodelay(true).ok();
    let mut request =
        Request::new(call.method, Url::parse(&format!("http://{address}{}", call.path))?);
    request.insert_header(AUTHORIZATION, format!("Bearer {}", call.token));
    if let Some(key) = &call.idempotency_key {
        request.insert_header("idempotency-key", key.as_str());
    }
    if let Some(timeout) = call.timeout_ms {
        request.insert_header("dotterelhoist-timeout-ms", timeout.to_string());
    }
    request.set_body(call.body.as_str());
    let mut response = async_h1::connect(stream.clone(), request).await?;
    let header = |name: &str| response.header(name).map(|values| values.as_str().to_owned());
    let request_id = header("dotterelhoist-request").unwrap_or_default();
    let replayed = header("dotterelhoist-repeated").is_some();
    let retry_after = header("retry-after").and_then(|seconds| seconds.parse().ok());
    let status = response.status().into();
    let content_length = response.len();
    let body_started = response.fill_buf().await.is_ok();
    let time_to_first_byte = started.elapsed();
    let mut bytes = Vec::new();
    let body_ended = response.read_to_end(&mut bytes).await.is_ok();
    let complete =
        body_started && body_ended && content_length.is_none_or(|length| length == bytes.len());
    Ok(Reply {
        status,
        request_id,
        replayed,
        retry_after,
        body: String::from_utf8_lossy(&bytes).into_owned(),
        complete,
        time_to_first_byte,
        total_time: started.elapsed(),
    })
}

/// Sends raw bytes on a new connection and returns everything that is received until the peer
/// closes it; empty if the connection cannot be opened. If `shutdown` is set, the sending side is
/// shut down after the bytes, so that the peer sees the end of the input.
pub async fn send_raw(address: SocketAddr, bytes: &[u8], shutdown: bool) -> String {
    use futures_lite::AsyncWriteExt;
    let Ok(mut stream) = TcpStream::connect(address).await else { return String::new() };
    stream.write_all(bytes).await.ok();
    if shutdown {
        stream.shutdown(std::net::Shutdown::Write).ok();
    }
    let mut received = Vec::new();
    let mut incoming = stream.bytes();
    while let Some(Ok(byte)) = incoming.next().await {
        received.push(byte);
    }
    String::from_utf8_lossy(&received).into_owned()
}
