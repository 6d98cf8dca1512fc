//! A request body that records whether sending its request has started.
//!
//! The HTTP library asks the body for its length when it starts to process the request, before it
//! writes a byte, and asks it for data before it flushes the head. The body sets a mark on the
//! first of these calls. A request whose mark is not set was certainly not sent. A request that is
//! cancelled before the mark is set fails inside the library without a byte on the wire.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Frame, SizeHint};
use http_body_util::Full;
use thiserror::Error;

const NOT_STARTED: u8 = 0;
const STARTED: u8 = 1;
const CANCELLED: u8 = 2;

/// The request was cancelled before sending started.
#[derive(Clone, Copy, Debug, Error)]
#[error("the request was cancelled")]
pub struct Cancelled;

/// Shared state of a request: not started, sending started, or cancelled before that.
#[derive(Clone, Debug, Default)]
pub struct SendMark(Arc<AtomicU8>);

impl SendMark {
    /// Cancels the request; `false` if sending may have started already.
    pub fn cancel(&self) -> bool {
        let (from, to) = (NOT_STARTED, CANCELLED);
        let swap = self
            .0
            .compare_exchange(from, to, Ordering::AcqRel, Ordering::Acquire);
        swap.is_ok()
    }

    /// Marks that sending starts; `false` if the request was cancelled.
    fn start(&self) -> bool {
        let (from, to) = (NOT_STARTED, STARTED);
        let swap = self
            .0
            .compare_exchange(from, to, Ordering::AcqRel, Ordering::Acquire);
        swap.is_ok() || self.0.load(Ordering::Acquire) == STARTED
    }
}

/// A request body that sets a [`SendMark`] when the HTTP library starts to send it.
#[derive(Debug)]
pub struct MarkedBody {
    inner: Full<Bytes>,
    mark: SendMark,
}

impl MarkedBody {
    /// Creates a body that sets `mark`.
    pub fn new(body: Bytes, mark: SendMark) -> Self {
        let inner = Full::new(body);
        Self { inner, mark }
    }
}

impl http_body::Body for MarkedBody {
    type Data = Bytes;
    type Error = Cancelled;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Cancelled>>> {
        let this = self.get_mut();
        if !this.mark.start() {
            return Poll::Ready(Some(Err(Cancelled)));
        }
        let frame = Pin::new(&mut this.inner).poll_frame(cx);
        frame.map(|frame| frame.map(|frame| frame.or(Err(Cancelled))))
    }

    fn is_end_stream(&self) -> bool {
        self.mark.start() && self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        // With an exact length of zero the library would not ask a cancelled request for data, and
        // would send it.
        if self.mark.start() {
            self.inner.size_hint()
        } else {
            SizeHint::default()
        }
    }
}
