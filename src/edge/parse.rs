//! Parses callers' requests, within limits on size and time.

use std::time::{Duration, Instant};

use bytes::Bytes;
use compact_str::CompactString;
use http::HeaderMap;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use serde::Deserialize;
use volo_http::body::Body;

use super::response::REQUEST_ID;
use crate::ids::{AdapterId, ModelId, RequestId};
use crate::outcome::{Reason, Refusal};
use crate::route::headers::contains_key_text;
use crate::schema::settings::CallerSettings;
use crate::units::Tokens;

/// Header with the time, in milliseconds, within which the caller needs the response.
pub const DEADLINE_HEADER: &str = "x-deadline-ms";

/// Bytes of text per token, to estimate the length of a prompt.
const BYTES_PER_TOKEN: u64 = 4;
/// Bytes at the start of a prompt that its prefix hash covers.
const PREFIX_BYTES: usize = 256;

/// A parsed completion request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CompletionRequest {
    /// The requested model.
    pub model: ModelId,
    /// The requested adapter; `None` for the plain model.
    pub adapter: Option<AdapterId>,
    /// Whether the response is streamed.
    pub stream: bool,
    /// Estimated tokens of the prompt.
    pub prompt: Tokens,
    /// Greatest number of tokens that the model may generate.
    pub output: Tokens,
    /// Hash of the start of the prompt, to find an engine that has the same start cached.
    pub prefix: u64,
}

#[derive(Deserialize)]
struct CompletionBody {
    model: CompactString,
    adapter: Option<CompactString>,
    #[serde(default)]
    stream: bool,
    max_tokens: Option<u64>,
    messages: Option<Vec<Message>>,
    prompt: Option<CompactString>,
}

#[derive(Deserialize)]
struct Message {
    #[serde(rename = "role")]
    _role: CompactString,
    content: CompactString,
}

/// Reads a request body of at most `callers.body` bytes within `callers.slow`.
///
/// # Errors
///
/// [`Reason::TooLarge`] or [`Reason::Timeout`] if a limit is exceeded; [`Reason::Malformed`] if the
/// transfer breaks off.
pub async fn read_body(body: Body, limits: &CallerSettings) -> Result<Bytes, Refusal> {
    let limited = Limited::new(body, limits.body as usize);
    let slow = Duration::from_millis(limits.slow);
    match tokio::time::timeout(slow, limited.collect()).await {
        Err(_) => Err(Refusal::not_run(Reason::Timeout)),
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(e)) if e.is::<LengthLimitError>() => Err(Refusal::not_run(Reason::TooLarge)),
        Ok(Err(_)) => Err(Refusal::not_run(Reason::Malformed)),
    }
}

/// Parses the body of a completion request. A model name of the form `model/adapter` also names the
/// adapter, unless the field `adapter` does.
///
/// # Errors
///
/// [`Reason::Malformed`] if the body is not JSON of the expected form.
pub fn parse_completion(
    body: &Bytes,
    limits: &CallerSettings,
) -> Result<CompletionRequest, Refusal> {
    let malformed = || Refusal::not_run(Reason::Malformed);
    let parsed: CompletionBody = serde_json::from_slice(body).map_err(|_cause| malformed())?;
    let text = prompt_text(&parsed).ok_or_else(malformed)?;
    let (model, inline) = match parsed.model.split_once('/') {
        Some((model, adapter)) => (model, Some(CompactString::new(adapter))),
        None => (parsed.model.as_str(), None),
    };
    let adapter = match parsed.adapter.or(inline) {
        Some(name) => Some(name.parse().map_err(|_cause| malformed())?),
        None => None,
    };
    let prefix = &text.as_bytes()[..text.len().min(PREFIX_BYTES)];
    Ok(CompletionRequest {
        model: model.parse().map_err(|_cause| malformed())?,
        adapter,
        stream: parsed.stream,
        prompt: Tokens((text.len() as u64).div_ceil(BYTES_PER_TOKEN).max(1)),
        output: Tokens(parsed.max_tokens.unwrap_or(limits.output)),
        prefix: prefix_hash(prefix),
    })
}

fn prompt_text(parsed: &CompletionBody) -> Option<CompactString> {
    match (&parsed.messages, &parsed.prompt) {
        (Some(messages), None) if !messages.is_empty() => Some(
            messages
                .iter()
                .map(|message| message.content.as_str())
                .collect(),
        ),
        (None, Some(prompt)) => Some(prompt.clone()),
        _ => None,
    }
}

fn prefix_hash(bytes: &[u8]) -> u64 {
    hash_to_u64(blake3::hash(bytes))
}

/// Converts the first 8 bytes of a hash to a number, in little-endian order.
pub fn hash_to_u64(hash: blake3::Hash) -> u64 {
    let (first, _) = hash.as_bytes().split_at(8);
    first
        .iter()
        .rev()
        .fold(0, |number, byte| number << 8 | u64::from(*byte))
}

/// Reads the id of a request from its header, or creates one if the header is absent.
///
/// # Errors
///
/// [`Reason::Malformed`] if the header is not a valid identifier or contains a key.
pub fn parse_request_id(headers: &HeaderMap) -> Result<RequestId, Refusal> {
    let malformed = || Refusal::not_run(Reason::Malformed);
    let Some(value) = headers.get(REQUEST_ID) else {
        return Ok(RequestId::random());
    };
    // The id is logged and sent to upstreams, and a key must get to neither.
    if contains_key_text(value.as_bytes()) {
        return Err(malformed());
    }
    let parsed = value.to_str().ok().and_then(|v| v.parse().ok());
    parsed.ok_or_else(malformed)
}

/// Computes the time by which the response must be complete, from the request's header or the
/// default, at most `callers.longest` after `now`.
///
/// # Errors
///
/// [`Reason::Malformed`] if the header is not a number of milliseconds.
pub fn parse_deadline(
    headers: &HeaderMap,
    now: Instant,
    limits: &CallerSettings,
) -> Result<Instant, Refusal> {
    let requested: Option<u64> = match headers.get(DEADLINE_HEADER) {
        Some(value) => {
            let parsed = value.to_str().ok().and_then(|v| v.parse().ok());
            Some(parsed.ok_or_else(|| Refusal::not_run(Reason::Malformed))?)
        }
        None => None,
    };
    let left = requested.unwrap_or(limits.deadline).min(limits.longest);
    Ok(now + Duration::from_millis(left))
}

/// Checks the size of a request's path and headers. The listener checks only the first request on
/// a connection.
///
/// # Errors
///
/// [`Reason::HeaderTooLarge`] if they have more than `callers.headers` bytes.
pub fn check_head_size(
    path: &str,
    headers: &HeaderMap,
    limits: &CallerSettings,
) -> Result<(), Refusal> {
    let fields = headers
        .iter()
        // 4 bytes for ": " and the line end.
        .map(|(name, value)| name.as_str().len() + value.len() + 4);
    let size = path.len() + fields.sum::<usize>();
    if size as u64 > limits.headers {
        return Err(Refusal::not_run(Reason::HeaderTooLarge));
    }
    Ok(())
}
