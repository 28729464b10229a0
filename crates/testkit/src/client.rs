//! A caller.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use futures_lite::{AsyncBufReadExt, AsyncReadExt, StreamExt};
use http_types::headers::AUTHORIZATION;
use http_types::{Method, Request, Url};
use serde_json::{json, Value};
use smol::net::TcpStream;
use xxhash_rust::xxh3::xxh3_64;

/// A call.
#[derive(Clone, Debug)]
pub struct Call {
    /// Method.
    pub method: Method,
    /// Path with query.
    pub path: String,
    /// Bearer token.
    pub token: String,
    /// Idempotency key.
    pub idempotency_key: Option<String>,
    /// Time that the caller gives in milliseconds.
    pub timeout_ms: Option<u64>,
    /// Body.
    pub body: String,
}

impl Call {
    /// A generation request.
    pub fn generate(service: &str, token: &str, prompt: &str, tokens: u32, stream: bool) -> Call {
        let body = json!({
            "model": service,
            "max_tokens": tokens,
            "stream": stream,
            "messages": [{ "role": "user", "content": prompt }],
        });
        Call {
            method: Method::Post,
            path: "/v1/chat/completions".to_owned(),
            token: token.to_owned(),
            idempotency_key: None,
            timeout_ms: None,
            body: body.to_string(),
        }
    }

    /// A call of a plain service.
    pub fn plain(service: &str, token: &str, path: &str, body: &str) -> Call {
        Call {
            method: Method::Post,
            path: format!("/services/{service}{path}"),
            token: token.to_owned(),
            idempotency_key: None,
            timeout_ms: None,
            body: body.to_owned(),
        }
    }

    /// Gives the call an idempotency key.
    pub fn with_idempotency_key(mut self, key: &str) -> Call {
        self.idempotency_key = Some(key.to_owned());
        self
    }

    /// Gives the call a timeout.
    pub fn with_timeout(mut self, timeout: Duration) -> Call {
        self.timeout_ms = Some(timeout.as_millis() as u64);
        self
    }
}

/// An answer.
#[derive(Clone, Debug)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// Request id.
    pub request_id: String,
    /// Whether it is a recorded answer.
    pub replayed: bool,
    /// `Retry-After` in seconds.
    pub retry_after: Option<u64>,
    /// Body as far as it came.
    pub body: String,
    /// Whether the body came whole by its framing.
    pub complete: bool,
    /// Time to the first byte of the body.
    pub time_to_first_byte: Duration,
    /// Time to the end.
    pub total_time: Duration,
}

impl Reply {
    /// Body as JSON.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap_or(Value::Null)
    }

    /// Reason of a refusal, empty if it is none.
    pub fn reason(&self) -> String {
        self.json()["reason"].as_str().unwrap_or_default().to_owned()
    }

    /// What a refusal says of the work: `not-run`, `unknown` or empty.
    pub fn run_status(&self) -> String {
        self.json()["run"].as_str().unwrap_or_default().to_owned()
    }

    /// Whether this is the whole answer of the stand-in engine to `prompt`.
    pub fn is_complete_answer(&self, prompt: &str, tokens: u32, stream: bool) -> bool {
        if self.status != 200 || !self.complete {
            return false;
        }
        if !stream {
            let content = &self.json()["choices"][0]["message"]["content"];
            return content.as_str() == Some(&expected_answer(prompt, tokens));
        }
        let mut lines = self.body.lines().filter_map(|line| line.strip_prefix("data: "));
        let mut text = String::new();
        for line in lines.by_ref() {
            if line == "[DONE]" {
                return text == expected_answer(prompt, tokens) && lines.next().is_none();
            }
            let event: Value = serde_json::from_str(line).unwrap_or(Value::Null);
            text.push_str(event["choices"][0]["delta"]["content"].as_str().unwrap_or("?"));
        }
        false
    }
}

/// Token `index` of the stand-in engine's answer to a prompt.
pub fn answer_token(prompt_hash: u64, index: u32) -> String {
    format!("{:x} ", prompt_hash.rotate_left(index % 64) & 0xffff)
}

/// Whole answer of the stand-in engine to a prompt.
pub fn expected_answer(prompt: &str, tokens: u32) -> String {
    let hash = xxh3_64(prompt.as_bytes());
    (0..tokens).map(|index| answer_token(hash, index)).collect()
}

/// Makes a call on a connection of its own.
///
/// # Errors
///
/// Returns the error of the connection if no head of an answer came.
pub async fn call(address: SocketAddr, call: &Call) -> http_types::Result<Reply> {
    let stream = TcpStream::connect(address).await?;
    call_on(&stream, address, call).await
}

/// Makes a call on a given connection.
///
/// # Errors
///
/// Returns the error of the connection if no head of an answer came.
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
    let length = response.len();
    let filled = response.fill_buf().await.is_ok();
    let time_to_first_byte = started.elapsed();
    let mut bytes = Vec::new();
    let read = response.read_to_end(&mut bytes).await.is_ok();
    let complete = filled && read && length.is_none_or(|length| length == bytes.len());
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

/// Sends raw bytes, closes the sending side if `end` says so, and returns all that comes back.
pub async fn send_raw(address: SocketAddr, bytes: &[u8], end: bool) -> String {
    use futures_lite::AsyncWriteExt;
    let Ok(mut stream) = TcpStream::connect(address).await else { return String::new() };
    stream.write_all(bytes).await.ok();
    if end {
        stream.shutdown(std::net::Shutdown::Write).ok();
    }
    let mut answer = Vec::new();
    let mut chunks = stream.bytes();
    while let Some(Ok(byte)) = chunks.next().await {
        answer.push(byte);
    }
    String::from_utf8_lossy(&answer).into_owned()
}
