//! Detection of requests that have both a content length and a transfer encoding.
//!
//! Such a request may be an attempt at request smuggling, but it cannot be recognized after
//! parsing: the HTTP library reads the body as chunks and drops the content length. [`Watched`]
//! therefore records the raw bytes of each request head, which [`Head::has_length`] inspects.
//!
//! On a kept-alive connection, the start of the next head is known only if the last request
//! declared the length of its body and exactly that many bytes followed its head. Otherwise
//! [`Head::renew`] returns false, and the connection is closed after the response.

use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};
use std::{io, mem};

use http::HeaderMap;
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

const HEAD_END: &[u8] = b"\r\n\r\n";
const LENGTH: &[u8] = b"content-length:";
/// Longest head that is recorded, in bytes; the HTTP library rejects longer ones.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// The raw bytes of the current request head; clones share them.
#[derive(Clone, Debug, Default)]
pub struct Head(Arc<Mutex<Kept>>);

#[derive(Debug, Default)]
struct Kept {
    bytes: Vec<u8>,
    /// Whether the end of the head was found, or the head is too long to be recorded.
    whole: bool,
    /// Number of bytes received after the head.
    beyond: u64,
}

/// Length of the body that the head declares, in bytes; `None` for a chunked body or an invalid
/// length.
pub fn told_length(headers: &HeaderMap) -> Option<u64> {
    if headers.contains_key(TRANSFER_ENCODING) {
        return None;
    }
    match headers.get(CONTENT_LENGTH) {
        Some(length) => length.to_str().ok()?.parse().ok(),
        None => Some(0),
    }
}

impl Head {
    /// Whether the recorded head contains a content length.
    pub fn has_length(&self) -> bool {
        let kept = self.lock();
        let end = end_of(&kept.bytes).unwrap_or(kept.bytes.len());
        let lines = kept.bytes[..end].split(|b| *b == b'\n');
        lines
            .filter_map(|line| line.get(..LENGTH.len()))
            .any(|name| name.eq_ignore_ascii_case(LENGTH))
    }

    /// Starts to record the next head, after a request that declared a body of length `told`.
    ///
    /// Returns false if the bytes received do not end with that body, so that the start of the
    /// next head is unknown.
    pub fn renew(&self, told: Option<u64>) -> bool {
        let kept = mem::take(&mut *self.lock());
        told == Some(kept.beyond)
    }

    fn keep(&self, bytes: &[u8]) {
        let mut kept = self.lock();
        if kept.whole {
            kept.beyond += bytes.len() as u64;
            return;
        }
        kept.bytes.extend_from_slice(bytes);
        if let Some(end) = end_of(&kept.bytes) {
            kept.whole = true;
            kept.beyond = (kept.bytes.len() - end - HEAD_END.len()) as u64;
        }
        if kept.bytes.len() > MAX_HEAD_BYTES {
            kept.whole = true;
            drop(mem::take(&mut kept.bytes));
        }
    }

    fn lock(&self) -> MutexGuard<'_, Kept> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn end_of(bytes: &[u8]) -> Option<usize> {
    bytes
        .windows(HEAD_END.len())
        .position(|part| part == HEAD_END)
}

/// A connection whose request heads are recorded.
#[derive(Debug)]
pub struct Watched<S> {
    stream: S,
    head: Head,
}

impl<S> Watched<S> {
    /// Wraps `stream` and records its request heads in `head`.
    pub fn new(stream: S, head: Head) -> Self {
        Self { stream, head }
    }
}

impl<S> AsyncRead for Watched<S>
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
        self.head.keep(&buf.filled()[before..]);
        Poll::Ready(Ok(()))
    }
}

impl<S> AsyncWrite for Watched<S>
where
    S: AsyncWrite + Unpin,
{
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
