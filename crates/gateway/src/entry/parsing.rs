//! What the reducer needs of a request.

use std::time::Duration;

use dotterelhoist_core::clock::Instant;
use dotterelhoist_fleet::entry::Request;
use smallvec::SmallVec;
use xxhash_rust::xxh3::{xxh3_64, Xxh3};

use crate::http::RequestHead;
use crate::protocol::Protocol;

/// Time from the arrival of a request to its deadline if its headers state none.
const DEFAULT_CALLER_TIMEOUT: Duration = Duration::from_secs(60);
/// Number of tokens that a request is expected to generate if it carries no estimate, as a fraction
/// of its token limit.
const EXPECTED_OUTPUT_FRACTION: f64 = 0.5;
/// Number of segments of a prompt that are read; further ones are ignored.
const MAX_SEGMENTS: usize = 8;

/// Extracts from a request what the reducer needs. Missing or invalid token counts are taken as 0.
pub(super) fn parse_request<Platform>(
    id: u64,
    head: &RequestHead,
    body: &[u8],
    now: Instant,
) -> Request
where
    Platform: Protocol,
{
    let names = Platform::HEADERS;
    let headers = &head.headers;
    let header_text = |name: &str| headers.find(name).unwrap_or_default();
    let host = header_text("host").to_ascii_lowercase();
    let host = host.rsplit_once(':').map_or(host.as_str(), |(host, _)| host);
    let path = head.target.split('?').next().unwrap_or_default();
    let key = headers.find("authorization").and_then(|value| {
        let (scheme, key) = value.split_once(' ')?;
        scheme.eq_ignore_ascii_case("bearer").then(|| key.trim().into())
    });
    let mut tokens =
        header_text(names.token_counts).split(',').map(|part| part.trim().parse::<u32>());
    let prompt_tokens = tokens.next().and_then(Result::ok).unwrap_or(0);
    let max_tokens = tokens.next().and_then(Result::ok).unwrap_or(0);
    let hint = header_text(names.output_tokens_hint).parse::<u32>().ok();
    let mut hasher = Xxh3::new();
    for part in
        [head.method.as_bytes(), head.target.as_bytes(), header_text("authorization").as_bytes()]
    {
        hasher.update(part);
        hasher.update(&[0]);
    }
    hasher.update(body);
    Request {
        id,
        request_id: header_text(names.request_id).into(),
        host: host.into(),
        path: path.into(),
        key,
        model: header_text(names.model).into(),
        prompt_tokens,
        expected_output_tokens: hint
            .unwrap_or((f64::from(max_tokens) * EXPECTED_OUTPUT_FRACTION) as u32),
        fingerprint: hasher.digest(),
        segments: parse_segments(header_text(names.prompt_segments)),
        deadline: parse_deadline(headers.find(names.deadline), DEFAULT_CALLER_TIMEOUT, now),
        relayed: false,
        resolved_by: None,
    }
}

/// Hashes of the segments of a prompt that other requests may share: all but the last one.
fn parse_segments(header: &str) -> SmallVec<[u64; 4]> {
    let Some((shared, _)) = header.rsplit_once(',') else { return SmallVec::new() };
    let ids = shared.split(',').filter_map(|entry| entry.split(':').next());
    let ids = ids.map(str::trim).filter(|id| !id.is_empty());
    ids.take(MAX_SEGMENTS).map(|id| xxh3_64(id.to_ascii_lowercase().as_bytes())).collect()
}

/// Time at which a caller stops waiting. `header` is the value of its deadline header in
/// milliseconds from `now`; if it is missing or invalid, the deadline is `default` after `now`.
fn parse_deadline(header: Option<&str>, default: Duration, now: Instant) -> Instant {
    let timeout_ms = header.and_then(|header| header.parse::<u64>().ok());
    now + timeout_ms.map_or(default, Duration::from_millis)
}
