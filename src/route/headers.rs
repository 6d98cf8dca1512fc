//! Keeps callers' keys away from upstreams and filters headers in both directions.
//!
//! Only headers on an allow-list are forwarded; cookies, credentials and all others are dropped.
//! The path, the forwarded headers and the body are then searched for text in the format of a key,
//! both as sent and with percent and JSON escapes decoded. A request that contains such text is
//! rejected as malformed and is not sent.

use ::http::uri::PathAndQuery;
use ::http::{HeaderMap, HeaderName, Method};
use bytes::Bytes;

use super::UpstreamRequest;
use crate::outcome::{Reason, Refusal};

const FORWARDED_HEADERS: [&str; 6] = [
    "accept",
    "accept-language",
    "content-type",
    "idempotency-key",
    "traceparent",
    "x-request-id",
];

const RETURNED_HEADERS: [&str; 7] = [
    "cache-control",
    "content-language",
    "content-type",
    "etag",
    "last-modified",
    "location",
    "retry-after",
];

const KEY_PREFIX: &[u8] = b"bk_";
const KEY_HEX_DIGITS: usize = 64;

/// Builds the request to an upstream from a caller's request. Fails as malformed if the request
/// contains a key, or if the path is not a valid request target.
pub fn build_request(
    method: Method,
    path: &str,
    headers: &HeaderMap,
    body: Bytes,
) -> Result<UpstreamRequest, Refusal> {
    let headers = select_headers(headers, &FORWARDED_HEADERS);
    // Checked here because the HTTP client would fail on an invalid path, and that failure would
    // count against the upstream.
    let valid_path = path.starts_with('/') && path.parse::<PathAndQuery>().is_ok();
    if !valid_path {
        return Err(Refusal::not_run(Reason::Malformed));
    }
    let in_headers = headers
        .values()
        .any(|value| contains_key_text(value.as_bytes()));
    if in_headers || contains_key_text(path.as_bytes()) || contains_key_text(&body) {
        return Err(Refusal::not_run(Reason::Malformed));
    }
    Ok(UpstreamRequest {
        method,
        path: path.into(),
        headers,
        body,
        new_connection: false,
    })
}

/// Selects the headers of an upstream's response that are passed on to the caller.
pub fn filter_response_headers(headers: &HeaderMap) -> HeaderMap {
    select_headers(headers, &RETURNED_HEADERS)
}

/// Copies the named headers. Only the first value of a repeated header is kept.
fn select_headers(headers: &HeaderMap, names: &[&'static str]) -> HeaderMap {
    let mut selected = HeaderMap::new();
    for &name in names {
        let name = HeaderName::from_static(name);
        if let Some(value) = headers.get(&name) {
            selected.insert(name, value.clone());
        }
    }
    selected
}

/// Whether a text contains a string in the format of a key, also one hidden by percent or JSON
/// escapes.
pub fn contains_key_text(text: &[u8]) -> bool {
    if contains_plain_key(text) {
        return true;
    }
    let escaped = text.iter().any(|&b| b == b'%' || b == b'\\');
    escaped && contains_plain_key(&unescape(text))
}

fn contains_plain_key(text: &[u8]) -> bool {
    let length = KEY_PREFIX.len() + KEY_HEX_DIGITS;
    text.windows(length).any(|window| {
        let (prefix, digits) = window.split_at(KEY_PREFIX.len());
        prefix.eq_ignore_ascii_case(KEY_PREFIX) && digits.iter().all(u8::is_ascii_hexdigit)
    })
}

/// Decodes percent escapes and JSON escapes of the form `\u00xx`.
fn unescape(text: &[u8]) -> Vec<u8> {
    let mut decoded = Vec::with_capacity(text.len());
    let mut rest = text;
    while let Some((&first, tail)) = rest.split_first() {
        let (byte, used) = match rest {
            [b'%', high, low, ..] => (parse_hex_pair(*high, *low), 3),
            [b'\\', b'u', b'0', b'0', high, low, ..] => (parse_hex_pair(*high, *low), 6),
            _ => (None, 1),
        };
        if let Some(byte) = byte {
            decoded.push(byte);
            rest = &rest[used..];
        } else {
            decoded.push(first);
            rest = tail;
        }
    }
    decoded
}

fn parse_hex_pair(high: u8, low: u8) -> Option<u8> {
    let high = char::from(high).to_digit(16)?;
    let low = char::from(low).to_digit(16)?;
    u8::try_from(high * 16 + low).ok()
}
