//! Bounds what a peer sends around the data of its response.
//!
//! The HTTP library skips interim responses, chunk extensions and trailers, as many as come. A
//! faulty upstream that sends them without end would keep this VM reading until the caller gives
//! up. A connection that receives far more than the data that was taken from it fails, and no
//! connection has much read ahead.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll, ready};

use bytes::{Buf, Bytes};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use thiserror::Error;
use tokio::io::{AsyncRead, ReadBuf};

use super::forward_writes::forward_writes;

/// Bytes read at once. The HTTP library enlarges its buffer while reads fill it, so that a peer
/// which sends without a pause would have many times this much kept.
const READ_BYTES: usize = 4 * 1024;
/// Bytes that may be received before any data is taken: the head, and what is read ahead.
const MAX_OVERHEAD_BYTES: u64 = 512 * 1024;
/// Bytes that may be received for each byte of data; the smallest chunk takes six.
const BYTES_PER_DATA_BYTE: u64 = 16;

/// A peer sent far more than the data of its response.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("too many bytes around the data of a response")]
pub struct TooMuchOverhead;

/// Counts what a connection receives for one response, and the data taken of it.
#[derive(Debug, Default)]
pub struct ReadMeter {
    received: AtomicU64,
    taken: AtomicU64,
}

impl ReadMeter {
    /// Starts anew, for the next response of the connection.
    pub fn restart(&self) {
        self.received.store(0, Ordering::Relaxed);
        self.taken.store(0, Ordering::Relaxed);
    }

    /// Counts bytes that were received.
    ///
    /// # Errors
    ///
    /// [`TooMuchOverhead`].
    pub fn on_received(&self, bytes: u64) -> Result<(), TooMuchOverhead> {
        let received = self.received.fetch_add(bytes, Ordering::Relaxed) + bytes;
        let taken = self.taken.load(Ordering::Relaxed);
        let most = taken.saturating_mul(BYTES_PER_DATA_BYTE) + MAX_OVERHEAD_BYTES;
        if received > most {
            return Err(TooMuchOverhead);
        }
        Ok(())
    }

    /// Counts bytes of data that were taken.
    pub fn on_taken(&self, bytes: u64) {
        self.taken.fetch_add(bytes, Ordering::Relaxed);
    }
}

/// The body of a response, whose data is counted as it is taken.
#[derive(Debug)]
pub struct MeteredBody {
    body: Incoming,
    meter: Arc<ReadMeter>,
}

impl MeteredBody {
    /// Wraps the body of a response.
    pub fn new(body: Incoming, meter: Arc<ReadMeter>) -> Self {
        Self { body, meter }
    }
}

impl Body for MeteredBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(cx));
        if let Some(Ok(frame)) = &frame
            && let Some(data) = frame.data_ref()
        {
            self.meter.on_taken(data.remaining() as u64);
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// A connection whose received bytes are counted.
#[derive(Debug)]
pub struct MeteredStream<S> {
    stream: S,
    meter: Arc<ReadMeter>,
}

impl<S> MeteredStream<S> {
    /// Wraps `stream` and counts in `meter` what it receives.
    pub fn new(stream: S, meter: Arc<ReadMeter>) -> Self {
        Self { stream, meter }
    }
}

impl<S> AsyncRead for MeteredStream<S>
where
    S: AsyncRead + Unpin,
{
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let mut bytes = [0; READ_BYTES];
        let length = READ_BYTES.min(buf.remaining());
        let mut part = ReadBuf::new(&mut bytes[..length]);
        ready!(Pin::new(&mut self.stream).poll_read(cx, &mut part))?;
        buf.put_slice(part.filled());
        let counted = self.meter.on_received(part.filled().len() as u64);
        Poll::Ready(counted.map_err(|e| io::Error::new(io::ErrorKind::InvalidData, e)))
    }
}

forward_writes!(MeteredStream);
