//! Reads what routing needs from the body of a generation request.

use serde::Deserialize;
use smallvec::SmallVec;
use xxhash_rust::xxh3::Xxh3;

/// Bytes of the shortest prefix that is hashed; each further one is twice as long.
const PREFIX_BYTES: usize = 256;
/// Prefixes that are hashed at most.
const PREFIXES_MAX: usize = 8;
/// Tokens of an answer whose request gives no number.
const TOKENS_DEFAULT: u32 = 256;

/// What a generation request says of itself.
#[derive(Debug)]
pub(crate) struct Prompt {
    /// Service that is called.
    pub model: String,
    /// Whether tokens are to be sent as they come.
    pub stream: bool,
    /// Tokens that the answer may have.
    pub tokens: u32,
    /// Hashes of the text's prefixes, shortest first.
    pub prefixes: SmallVec<[u64; 8]>,
}

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

/// Reads a body; the error says what is wrong with it.
pub(crate) fn read(bytes: &[u8]) -> Result<Prompt, String> {
    let body: Body = serde_json::from_slice(bytes).map_err(|error| error.to_string())?;
    let mut text = String::new();
    if let Some(prompt) = body.prompt.as_str() {
        text.push_str(prompt);
    }
    for message in &body.messages {
        text.push_str(&message.to_string());
    }
    let tokens = body.max_completion_tokens.or(body.max_tokens).unwrap_or(TOKENS_DEFAULT);
    Ok(Prompt {
        model: body.model,
        stream: body.stream,
        tokens: tokens.max(1),
        prefixes: prefixes(text.as_bytes()),
    })
}

fn prefixes(text: &[u8]) -> SmallVec<[u64; 8]> {
    let mut hasher = Xxh3::new();
    let mut hashes = SmallVec::new();
    let mut start = 0;
    let mut end = PREFIX_BYTES;
    while hashes.len() < PREFIXES_MAX && end <= text.len() {
        hasher.update(&text[start..end]);
        hashes.push(hasher.digest());
        start = end;
        end *= 2;
    }
    hashes
}
