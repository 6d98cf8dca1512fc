//! Parsing of callers' requests, within bounds.

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

/// Header with the time left until the answer is of no use, in milliseconds.
pub const DEADLINE: &str = "x-deadline-ms";

const BYTES_PER_TOKEN: u64 = 4;
const PREFIX_BYTES: usize = 256;

/// A parsed call to a model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Completion {
    /// The model.
    pub model: ModelId,
    /// The adapter, if any.
    pub adapter: Option<AdapterId>,
    /// Whether the answer streams.
    pub stream: bool,
    /// Estimated prompt.
    pub prompt: Tokens,
    /// Greatest output.
    pub output: Tokens,
    /// Hash of the prompt's beginning.
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

/// Reads a body of at most `callers.body` bytes within `callers.slow`.
///
/// # Errors
///
/// [`Reason::TooLarge`], [`Reason::Timeout`], or [`Reason::Malformed`] for a broken transfer.
pub async fn read_body(body: Body, bounds: &CallerSettings) -> Result<Bytes, Refusal> {
    let limited = Limited::new(body, bounds.body as usize);
    let slow = Duration::from_millis(bounds.slow);
    match tokio::time::timeout(slow, limited.collect()).await {
        Err(_) => Err(Refusal::not_run(Reason::Timeout)),
        Ok(Ok(whole)) => Ok(whole.to_bytes()),
        Ok(Err(e)) if e.is::<LengthLimitError>() => Err(Refusal::not_run(Reason::TooLarge)),
        Ok(Err(_)) => Err(Refusal::not_run(Reason::Malformed)),
    }
}

/// Parses a call to a model.
///
/// # Errors
///
/// [`Reason::Malformed`] for anything but the expected JSON.
pub fn parse_completion(body: &Bytes, bounds: &CallerSettings) -> Result<Completion, Refusal> {
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
    let beginning = &text.as_bytes()[..text.len().min(PREFIX_BYTES)];
    Ok(Completion {
        model: model.parse().map_err(|_cause| malformed())?,
        adapter,
        stream: parsed.stream,
        prompt: Tokens((text.len() as u64).div_ceil(BYTES_PER_TOKEN).max(1)),
        output: Tokens(parsed.max_tokens.unwrap_or(bounds.output)),
        prefix: prefix_hash(beginning),
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
    hash_number(blake3::hash(bytes))
}

/// The first 8 bytes of a hash, as a number.
pub fn hash_number(hash: blake3::Hash) -> u64 {
    let (first, _) = hash.as_bytes().split_at(8);
    first
        .iter()
        .rev()
        .fold(0, |number, byte| number << 8 | u64::from(*byte))
}

/// The id that a request carries, or a new one.
///
/// # Errors
///
/// [`Reason::Malformed`] where the header is not an identifier, or holds a key.
pub fn request_id(headers: &HeaderMap) -> Result<RequestId, Refusal> {
    let malformed = || Refusal::not_run(Reason::Malformed);
    let Some(value) = headers.get(REQUEST_ID) else {
        return Ok(RequestId::random());
    };
    // The id is logged and sent to upstreams, which a key never is.
    if contains_key_text(value.as_bytes()) {
        return Err(malformed());
    }
    let parsed = value.to_str().ok().and_then(|v| v.parse().ok());
    parsed.ok_or_else(malformed)
}

/// When a request must be answered.
///
/// # Errors
///
/// [`Reason::Malformed`] where the header is not a number of milliseconds.
pub fn deadline(
    headers: &HeaderMap,
    now: Instant,
    bounds: &CallerSettings,
) -> Result<Instant, Refusal> {
    let named: Option<u64> = match headers.get(DEADLINE) {
        Some(value) => {
            let parsed = value.to_str().ok().and_then(|v| v.parse().ok());
            Some(parsed.ok_or_else(|| Refusal::not_run(Reason::Malformed))?)
        }
        None => None,
    };
    let left = named.unwrap_or(bounds.deadline).min(bounds.longest);
    Ok(now + Duration::from_millis(left))
}

/// Checks the size of a request's head.
///
/// # Errors
///
/// [`Reason::HeaderTooLarge`] above `callers.headers` bytes.
pub fn check_head(path: &str, headers: &HeaderMap, bounds: &CallerSettings) -> Result<(), Refusal> {
    let fields = headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len() + 4);
    let size = path.len() + fields.sum::<usize>();
    if size as u64 > bounds.headers {
        return Err(Refusal::not_run(Reason::HeaderTooLarge));
    }
    Ok(())
}
