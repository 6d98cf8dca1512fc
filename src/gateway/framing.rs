//! Detection of requests that have both a content length and a transfer encoding.
//!
//! Such a request may be an attempt at request smuggling, but it cannot be recognized after
//! parsing: the HTTP library reads the body as chunks and drops the content length.
//! [`RecordedStream`] therefore records the raw bytes of each request head, which
//! [`RawHead::has_content_length`] inspects.
//!
//! On a connection that is kept alive, the start of the next head is known only if the last request
//! declared the length of its body and exactly that many bytes followed its head. Otherwise
//! [`RawHead::restart`] returns false, and the connection is closed after the response.

use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};
use std::{io, mem};

use http::HeaderMap;
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use tokio::io::{AsyncRead, ReadBuf};

use super::forward_writes::forward_writes;

const HEAD_END: &[u8] = b"\r\n\r\n";
const LENGTH_NAME: &[u8] = b"content-length:";
/// Longest head that is recorded, in bytes; the HTTP library rejects longer ones.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// The raw bytes of the current request head; clones share them.
#[derive(Clone, Debug, Default)]
pub struct RawHead(Arc<Mutex<HeadBuffer>>);

#[derive(Debug, Default)]
struct HeadBuffer {
    bytes: Vec<u8>,
    /// Whether the end of the head was found, or the head is too long to be recorded.
    complete: bool,
    /// Number of bytes received after the head.
    body_bytes: u64,
}

/// Length of the body that the head declares, in bytes; `None` for a chunked body or an invalid
/// length.
pub fn declared_length(headers: &HeaderMap) -> Option<u64> {
    if headers.contains_key(TRANSFER_ENCODING) {
        return None;
    }
    match headers.get(CONTENT_LENGTH) {
        Some(length) => length.to_str().ok()?.parse().ok(),
        None => Some(0),
    }
}

impl RawHead {
    /// Whether the recorded head contains a content length.
    pub fn has_content_length(&self) -> bool {
        let buffer = self.lock();
        let end = head_end(&buffer.bytes).unwrap_or(buffer.bytes.len());
        let lines = buffer.bytes[..end].split(|b| *b == b'\n');
        lines
            .filter_map(|line| line.get(..LENGTH_NAME.len()))
            .any(|name| name.eq_ignore_ascii_case(LENGTH_NAME))
    }

    /// Whether a head has begun and not come to its end.
    pub fn is_partial(&self) -> bool {
        let buffer = self.lock();
        !buffer.complete && !buffer.bytes.is_empty()
    }

    /// Number of bytes received after the head.
    pub fn body_bytes(&self) -> u64 {
        self.lock().body_bytes
    }

    /// Starts to record the next head, after a request that declared a body of length `declared`.
    ///
    /// Returns false if the bytes received do not end with that body, so that the start of the
    /// next head is unknown.
    pub fn restart(&self, declared: Option<u64>) -> bool {
        let buffer = mem::take(&mut *self.lock());
        declared == Some(buffer.body_bytes)
    }

    fn record(&self, bytes: &[u8]) {
        let mut buffer = self.lock();
        if buffer.complete {
            buffer.body_bytes += bytes.len() as u64;
            return;
        }
        // The end may begin in what came before.
        let searched = buffer.bytes.len().saturating_sub(HEAD_END.len() - 1);
        buffer.bytes.extend_from_slice(bytes);
        if let Some(end) = head_end(&buffer.bytes[searched..]) {
            let end = searched + end;
            buffer.complete = true;
            buffer.body_bytes = (buffer.bytes.len() - end - HEAD_END.len()) as u64;
        }
        if buffer.bytes.len() > MAX_HEAD_BYTES {
            buffer.complete = true;
            drop(mem::take(&mut buffer.bytes));
        }
    }

    fn lock(&self) -> MutexGuard<'_, HeadBuffer> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn head_end(bytes: &[u8]) -> Option<usize> {
    bytes
        .windows(HEAD_END.len())
        .position(|part| part == HEAD_END)
}

/// A connection whose request heads are recorded.
#[derive(Debug)]
pub struct RecordedStream<S> {
    stream: S,
    head: RawHead,
}

impl<S> RecordedStream<S> {
    /// Wraps `stream` and records its request heads in `head`.
    pub fn new(stream: S, head: RawHead) -> Self {
        Self { stream, head }
    }
}

impl<S> AsyncRead for RecordedStream<S>
where
    S: AsyncRead + Unpin,
{
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        self.head.record(&buf.filled()[before..]);
        Poll::Ready(Ok(()))
    }
}

forward_writes!(RecordedStream);
