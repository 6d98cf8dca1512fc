//! The body of a response as a stream of chunks, with a limit on the pause between them.
//!
//! The body is read on demand, and a pause counts only while the reader waits for a chunk. One timer
//! is used for the whole response. It is not reset with each chunk; if it fires before the current
//! limit, it is set again.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::stream::Stream;
use http_body::Body as _;
use tokio::time::Sleep;
use volo_http::body::Body;

use super::completeness::EndMark;
use crate::clock::Clock;
use crate::outcome::{Reason, Refusal};

/// Time limits for a response.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Whether the response comes from a model engine.
    pub engine: bool,
    /// Time by which the response must have started.
    pub deadline: Instant,
    /// Longest pause between two chunks.
    pub silence: Duration,
}

impl Bounds {
    /// Time limit for the start of a response, and the failure to report if it passes.
    ///
    /// An engine may be silent until the deadline while it computes the first token. A plain service
    /// may be silent no longer than the longest pause.
    pub fn first(&self, now: Instant) -> (Instant, Reason) {
        let silent = now + self.silence;
        if self.engine || self.deadline <= silent {
            (self.deadline, Reason::Deadline)
        } else {
            (silent, Reason::UpstreamSilent)
        }
    }
}

/// Called when a time limit of a response passes.
pub type OnSilence = Box<dyn Fn() + Send + Sync>;

/// Body of a response, read on demand.
pub struct Reading {
    body: Body,
    mark: EndMark,
    bounds: Bounds,
    clock: Arc<dyn Clock>,
    on_silence: OnSilence,
    begun: bool,
    ended: bool,
    /// Time limit for the chunk that the reader waits for, and the failure to report if it passes;
    /// `None` before the first wait.
    due: Option<(Instant, Reason)>,
    timer: Option<Pin<Box<Sleep>>>,
}

impl Reading {
    /// Wraps a body whose response head has arrived.
    pub fn open(
        body: Body,
        mark: EndMark,
        bounds: Bounds,
        clock: Arc<dyn Clock>,
        on_silence: OnSilence,
    ) -> Self {
        Self {
            body,
            mark,
            bounds,
            clock,
            on_silence,
            begun: false,
            ended: false,
            due: None,
            timer: None,
        }
    }

    /// Polls for the next chunk or the end of the body.
    fn poll_chunk(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, Refusal>>> {
        loop {
            let Poll::Ready(frame) = Pin::new(&mut self.body).poll_frame(cx) else {
                return self
                    .poll_silence(cx)
                    .map(|reason| Some(Err(Refusal::unknown(reason))));
            };
            let Some(frame) = frame else {
                return Poll::Ready(self.end());
            };
            let Ok(frame) = frame else {
                return Poll::Ready(Some(Err(Refusal::unknown(Reason::UpstreamFailed))));
            };
            let Ok(chunk) = frame.into_data() else {
                continue;
            };
            self.due = None;
            self.begun = true;
            self.mark.push(&chunk);
            return Poll::Ready(Some(Ok(chunk)));
        }
    }

    /// Ready with the failure to report when the time limit for the next chunk has passed.
    fn poll_silence(&mut self, cx: &mut Context<'_>) -> Poll<Reason> {
        let now = self.clock.now();
        let (due, reason) = match self.due {
            Some(due) => due,
            None => *self.due.insert(self.bound(now)),
        };
        if now >= due {
            (self.on_silence)();
            return Poll::Ready(reason);
        }
        let at = due.into();
        let timer = self
            .timer
            .get_or_insert_with(|| Box::pin(tokio::time::sleep_until(at)));
        if timer.deadline() > at {
            timer.as_mut().reset(at);
        }
        while timer.as_mut().poll(cx).is_ready() {
            timer.as_mut().reset(at);
            if self.clock.now() >= due {
                (self.on_silence)();
                return Poll::Ready(reason);
            }
        }
        Poll::Pending
    }

    fn bound(&self, now: Instant) -> (Instant, Reason) {
        if self.begun {
            (now + self.bounds.silence, Reason::UpstreamSilent)
        } else {
            self.bounds.first(now)
        }
    }

    fn end(&self) -> Option<Result<Bytes, Refusal>> {
        let cut = Refusal::unknown(Reason::UpstreamFailed);
        (!self.mark.is_whole()).then_some(Err(cut))
    }
}

impl Stream for Reading {
    type Item = Result<Bytes, Refusal>;

    fn poll_next(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let this = self.get_mut();
        if this.ended {
            return Poll::Ready(None);
        }
        let polled = this.poll_chunk(cx);
        this.ended = matches!(polled, Poll::Ready(None | Some(Err(_))));
        polled
    }
}
