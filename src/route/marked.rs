//! A request body that records whether sending its request has started.
//!
//! The HTTP library asks the body for its length when it starts to process the request, before it
//! writes a byte, and asks it for data before it flushes the head. The body sets a mark on the first
//! of these calls. A request whose mark is not set was certainly not sent. A request that is
//! cancelled before the mark is set fails inside the library without a byte on the wire.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Frame, SizeHint};
use http_body_util::Full;
use thiserror::Error;

const WAITING: u8 = 0;
const LEFT: u8 = 1;
const WITHDRAWN: u8 = 2;

/// The request was cancelled before sending started.
#[derive(Clone, Copy, Debug, Error)]
#[error("the request was withdrawn")]
pub struct Withdrawn;

/// Shared state of a request: not started, sending started, or cancelled before that.
#[derive(Clone, Debug, Default)]
pub struct Mark(Arc<AtomicU8>);

impl Mark {
    /// Cancels the request; `false` if sending may have started already.
    pub fn withdraw(&self) -> bool {
        let (from, to) = (WAITING, WITHDRAWN);
        let swap = self
            .0
            .compare_exchange(from, to, Ordering::AcqRel, Ordering::Acquire);
        swap.is_ok()
    }

    fn leave(&self) -> bool {
        let (from, to) = (WAITING, LEFT);
        let swap = self
            .0
            .compare_exchange(from, to, Ordering::AcqRel, Ordering::Acquire);
        swap.is_ok() || self.0.load(Ordering::Acquire) == LEFT
    }
}

/// A request body that sets a [`Mark`] when the HTTP library starts to send it.
#[derive(Debug)]
pub struct MarkedBody {
    inner: Full<Bytes>,
    mark: Mark,
}

impl MarkedBody {
    /// Creates a body that sets `mark`.
    pub fn new(body: Bytes, mark: Mark) -> Self {
        let inner = Full::new(body);
        Self { inner, mark }
    }
}

impl http_body::Body for MarkedBody {
    type Data = Bytes;
    type Error = Withdrawn;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Withdrawn>>> {
        let this = self.get_mut();
        if !this.mark.leave() {
            return Poll::Ready(Some(Err(Withdrawn)));
        }
        let frame = Pin::new(&mut this.inner).poll_frame(cx);
        frame.map(|frame| frame.map(|frame| frame.or(Err(Withdrawn))))
    }

    fn is_end_stream(&self) -> bool {
        self.mark.leave() && self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        // With an exact length of zero the library would not ask a cancelled request for data, and
        // would send it.
        if self.mark.leave() {
            self.inner.size_hint()
        } else {
            SizeHint::default()
        }
    }
}
