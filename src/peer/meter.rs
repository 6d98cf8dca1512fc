//! Bytes and times of one link.

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

/// When a link last heard and last carried something, shared by its halves.
#[derive(Debug)]
pub struct Gauge {
    clock: Arc<dyn Clock>,
    start: Instant,
    heard_ms: AtomicU64,
    used_ms: AtomicU64,
    metrics: PeerMetrics,
}

impl Gauge {
    /// Counts from now on.
    pub fn open(clock: Arc<dyn Clock>, metrics: PeerMetrics) -> Arc<Self> {
        Arc::new(Self {
            start: clock.now(),
            clock,
            heard_ms: AtomicU64::new(0),
            used_ms: AtomicU64::new(0),
            metrics,
        })
    }

    /// Time since the link last heard a byte.
    pub fn silence(&self) -> Duration {
        self.since(&self.heard_ms)
    }

    /// Time since the link was dialled or accepted.
    pub fn life(&self) -> Duration {
        Duration::from_millis(self.since_start_ms())
    }

    /// Notes that the link carried a frame.
    pub fn used(&self) {
        self.note(&self.used_ms);
    }

    /// Time since the link carried a frame.
    pub fn idle(&self) -> Duration {
        self.since(&self.used_ms)
    }

    /// The counters of the node.
    pub fn metrics(&self) -> &PeerMetrics {
        &self.metrics
    }

    fn since_start_ms(&self) -> u64 {
        let span = self.clock.now().saturating_duration_since(self.start);
        span.as_millis() as u64
    }

    fn note(&self, at: &AtomicU64) {
        at.store(self.since_start_ms(), Ordering::Relaxed);
    }

    fn since(&self, at: &AtomicU64) -> Duration {
        let passed = self
            .since_start_ms()
            .saturating_sub(at.load(Ordering::Relaxed));
        Duration::from_millis(passed)
    }
}

/// A TCP stream that counts its bytes.
#[derive(Debug)]
pub struct Metered {
    stream: TcpStream,
    gauge: Arc<Gauge>,
}

impl Metered {
    /// Counts the bytes of a stream, which sends small writes at once.
    pub fn open(stream: TcpStream, gauge: &Arc<Gauge>) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        let gauge = Arc::clone(gauge);
        Ok(Self { stream, gauge })
    }
}

impl AsyncRead for Metered {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let poll = Pin::new(&mut self.stream).poll_read(cx, buf);
        let read = buf.filled().len() - before;
        if read > 0 {
            self.gauge.note(&self.gauge.heard_ms);
            self.gauge.metrics.bytes_in.inc_by(read as u64);
        }
        poll
    }
}

impl AsyncWrite for Metered {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let poll = Pin::new(&mut self.stream).poll_write(cx, buf);
        if let Poll::Ready(Ok(written)) = &poll {
            self.gauge.metrics.bytes_out.inc_by(*written as u64);
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
