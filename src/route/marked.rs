//! A request body that knows whether its request left.
//!
//! The HTTP library asks the body for its length at the moment it takes the request up, before it
//! writes a byte, and asks it for data before it flushes the head. So the mark set there tells
//! surely unsent requests from all others, and a request withdrawn before that moment fails
//! inside the library without a byte on the wire.

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

/// The request was withdrawn before it left.
#[derive(Clone, Copy, Debug, Error)]
#[error("the request was withdrawn")]
pub struct Withdrawn;

/// Whether a request left.
#[derive(Clone, Debug, Default)]
pub struct Mark(Arc<AtomicU8>);

impl Mark {
    /// Withdraws the request; `false` where it may have left already.
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

/// A body that sets a [`Mark`].
#[derive(Debug)]
pub struct MarkedBody {
    inner: Full<Bytes>,
    mark: Mark,
}

impl MarkedBody {
    /// Wraps a body.
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
        // A withdrawn request must be asked for data, which an exact length of zero would spare.
        if self.mark.leave() {
            self.inner.size_hint()
        } else {
            SizeHint::default()
        }
    }
}
