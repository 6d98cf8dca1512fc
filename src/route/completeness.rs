//! Detects whether a response body is complete.
//!
//! A body is complete if the head declares a length, chunked encoding or no body, and the HTTP
//! library, which checks that end, reports no error. An event stream from a model engine must also
//! end with `data: [DONE]`. A body that is ended only by the closing of its connection counts as
//! truncated.

use ::http::{HeaderMap, Method, StatusCode, header};

const EVENT_STREAM: &str = "text/event-stream";
const DONE: &[u8] = b"data:[DONE]";
/// Number of bytes at the end of the body that are kept to find `[DONE]` across chunks.
const TAIL_BYTES: usize = 32;

/// Checks whether the body of a response is complete when it ends.
#[derive(Debug)]
pub struct CompletenessCheck {
    /// Whether the head tells where the body ends.
    delimited: bool,
    /// Whether the body is an event stream that must end with `[DONE]`.
    event_stream: bool,
    tail: Vec<u8>,
}

impl CompletenessCheck {
    /// Starts a check with the response head. `engine` means that the response comes from a model
    /// engine, whose event streams end with `[DONE]`.
    pub fn open(method: &Method, status: StatusCode, headers: &HeaderMap, engine: bool) -> Self {
        let bodiless = method == Method::HEAD
            || status == StatusCode::NO_CONTENT
            || status == StatusCode::NOT_MODIFIED;
        let delimited = bodiless
            || headers.contains_key(header::CONTENT_LENGTH)
            || headers.contains_key(header::TRANSFER_ENCODING);
        Self {
            delimited,
            event_stream: engine && is_event_stream(headers),
            tail: Vec::new(),
        }
    }

    /// Records a chunk of the body.
    pub fn push(&mut self, chunk: &[u8]) {
        if !self.event_stream {
            return;
        }
        let start = chunk.len().saturating_sub(TAIL_BYTES);
        self.tail.extend_from_slice(&chunk[start..]);
        let spare = self.tail.len().saturating_sub(TAIL_BYTES);
        self.tail.drain(..spare);
    }

    /// Whether the body is complete if it ends after the chunks recorded so far.
    pub fn is_complete(&self) -> bool {
        self.delimited && (!self.event_stream || ends_with_done(&self.tail))
    }
}

/// Whether a response is a stream of server-sent events.
pub fn is_event_stream(headers: &HeaderMap) -> bool {
    let content_type = headers.get(header::CONTENT_TYPE);
    content_type.is_some_and(|value| value.as_bytes().starts_with(EVENT_STREAM.as_bytes()))
}

/// Whether the text ends with `data: [DONE]` and at least two bytes of line ends.
fn ends_with_done(tail: &[u8]) -> bool {
    let text = tail.trim_ascii_end();
    if tail.len() < text.len() + 2 {
        return false;
    }
    let line = text.rsplit(|&b| b == b'\n' || b == b'\r').next();
    let line = line.unwrap_or_default();
    line.iter().filter(|&&b| b != b' ').eq(DONE)
}
