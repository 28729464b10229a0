//! Parses the parts of a generation request's body that routing needs.

use serde::Deserialize;
use smallvec::SmallVec;
use xxhash_rust::xxh3::Xxh3;

/// Length of the shortest prefix that is hashed; each further one is twice as long as the one
/// before. A shorter text has no hashes.
const SHORTEST_PREFIX_BYTES: usize = 256;
/// Maximum number of prefixes that are hashed; the rest of a longer text is ignored.
const MAX_PREFIXES: usize = 8;
/// Maximum number of answer tokens that is assumed for a request that sets none.
const DEFAULT_MAX_TOKENS: u32 = 256;

/// Parameters of a generation request.
#[derive(Debug)]
pub(crate) struct Parameters {
    /// Name of the model, which is the name of the service.
    pub model: String,
    /// Whether the answer is to be streamed.
    pub stream: bool,
    /// Maximum number of answer tokens, at least 1.
    pub max_tokens: u32,
    /// Hashes of the prompt's prefixes, shortest first. Requests that share a prefix are preferably
    /// sent to the same endpoint.
    pub prefixes: SmallVec<[u64; 8]>,
}

/// Fields of a generation request's body that routing needs.
#[derive(Deserialize)]
struct Body {
    model: String,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    max_tokens: Option<u32>,
    #[serde(default)]
    max_completion_tokens: Option<u32>,
    #[serde(default)]
    prompt: serde_json::Value,
    #[serde(default)]
    messages: Vec<serde_json::Value>,
}

/// Parses the body of a generation request; the error says what is wrong with it.
pub(crate) fn parse(bytes: &[u8]) -> Result<Parameters, String> {
    let body: Body = serde_json::from_slice(bytes).map_err(|error| error.to_string())?;
    let mut text = String::new();
    if let Some(prompt) = body.prompt.as_str() {
        text.push_str(prompt);
    }
    for message in &body.messages {
        text.push_str(&message.to_string());
    }
    let max_tokens = body.max_completion_tokens.or(body.max_tokens).unwrap_or(DEFAULT_MAX_TOKENS);
    Ok(Parameters {
        model: body.model,
        stream: body.stream,
        max_tokens: max_tokens.max(1),
        prefixes: prefix_hashes(text.as_bytes()),
    })
}

/// Hashes the prefixes of the prompt's text, shortest first.
fn prefix_hashes(text: &[u8]) -> SmallVec<[u64; 8]> {
    let mut hasher = Xxh3::new();
    let mut hashes = SmallVec::new();
    let mut start = 0;
    let mut end = SHORTEST_PREFIX_BYTES;
    while hashes.len() < MAX_PREFIXES && end <= text.len() {
        hasher.update(&text[start..end]);
        hashes.push(hasher.digest());
        start = end;
        end *= 2;
    }
    hashes
}
