//! Byte counts and activity times of one link.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::clock::Clock;
use crate::peer::metrics::PeerMetrics;

/// Times at which a link last received a byte and last carried a frame, shared by its reading and
/// writing halves.
#[derive(Debug)]
pub struct LinkActivity {
    clock: Arc<dyn Clock>,
    start: Instant,
    received_ms: AtomicU64,
    frame_ms: AtomicU64,
    metrics: PeerMetrics,
}

impl LinkActivity {
    /// Starts at the clock's present time.
    pub fn open(clock: Arc<dyn Clock>, metrics: PeerMetrics) -> Arc<Self> {
        Arc::new(Self {
            start: clock.now(),
            clock,
            received_ms: AtomicU64::new(0),
            frame_ms: AtomicU64::new(0),
            metrics,
        })
    }

    /// Time since the last byte was received, or since the start if there was none.
    pub fn silence(&self) -> Duration {
        self.since(&self.received_ms)
    }

    /// Time since the link was dialled or accepted.
    pub fn age(&self) -> Duration {
        Duration::from_millis(self.since_start_ms())
    }

    /// Records that a frame was sent or received.
    pub fn record_frame(&self) {
        self.set_now(&self.frame_ms);
    }

    /// Time since the last frame was sent or received, or since the start if there was none.
    pub fn idle(&self) -> Duration {
        self.since(&self.frame_ms)
    }

    /// Counters of the node, to which this link belongs.
    pub fn metrics(&self) -> &PeerMetrics {
        &self.metrics
    }

    fn since_start_ms(&self) -> u64 {
        let span = self.clock.now().saturating_duration_since(self.start);
        span.as_millis() as u64
    }

    fn set_now(&self, at: &AtomicU64) {
        at.store(self.since_start_ms(), Ordering::Relaxed);
    }

    fn since(&self, at: &AtomicU64) -> Duration {
        let passed = self
            .since_start_ms()
            .saturating_sub(at.load(Ordering::Relaxed));
        Duration::from_millis(passed)
    }
}

/// A TCP stream that counts its bytes and records when bytes are received.
#[derive(Debug)]
pub struct MeteredStream {
    stream: TcpStream,
    activity: Arc<LinkActivity>,
}

impl MeteredStream {
    /// Wraps a stream and disables Nagle's algorithm on it, so that small frames are sent at once.
    pub fn open(stream: TcpStream, activity: &Arc<LinkActivity>) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        let activity = Arc::clone(activity);
        Ok(Self { stream, activity })
    }
}

impl AsyncRead for MeteredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let poll = Pin::new(&mut self.stream).poll_read(cx, buf);
        let read = buf.filled().len() - before;
        if read > 0 {
            self.activity.set_now(&self.activity.received_ms);
            self.activity.metrics.bytes_in.inc_by(read as u64);
        }
        poll
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let poll = Pin::new(&mut self.stream).poll_write(cx, buf);
        if let Poll::Ready(Ok(written)) = &poll {
            self.activity.metrics.bytes_out.inc_by(*written as u64);
        }
        poll
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
