//! The body of a response as a stream of chunks, with a limit on the pause between them.
//!
//! The body is read on demand, and a pause counts only while the reader waits for a chunk. One
//! timer is used for the whole response. It is not reset with each chunk; if it fires before the
//! current limit, it is set again.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::stream::Stream;
use http_body::Body as _;
use tokio::time::Sleep;
use volo_http::body::Body;

use super::completeness::CompletenessCheck;
use crate::clock::Clock;
use crate::outcome::{Reason, Refusal};

/// Time limits for a response.
#[derive(Clone, Copy, Debug)]
pub struct ResponseTimeouts {
    /// Whether the response comes from a model engine.
    pub engine: bool,
    /// Time by which the response must have started.
    pub deadline: Instant,
    /// Longest pause between two chunks; for a plain service also before the first byte.
    pub max_pause: Duration,
}

impl ResponseTimeouts {
    /// Time limit for the start of a response, and the failure to report if it passes.
    ///
    /// An engine may be silent until the deadline while it computes the first token. A plain
    /// service may be silent no longer than the longest pause.
    pub fn start_limit(&self, now: Instant) -> (Instant, Reason) {
        let pause_limit = now + self.max_pause;
        if self.engine || self.deadline <= pause_limit {
            (self.deadline, Reason::Deadline)
        } else {
            (pause_limit, Reason::UpstreamSilent)
        }
    }
}

/// Called when a time limit of a response passes.
pub type OnTimeout = Box<dyn Fn() + Send + Sync>;

/// Body of a response, read on demand.
pub struct ResponseBody {
    body: Body,
    check: CompletenessCheck,
    timeouts: ResponseTimeouts,
    clock: Arc<dyn Clock>,
    on_timeout: OnTimeout,
    started: bool,
    ended: bool,
    /// Time limit for the next chunk, and the failure to report if it passes; `None` unless the
    /// reader is waiting.
    limit: Option<(Instant, Reason)>,
    timer: Option<Pin<Box<Sleep>>>,
}

impl ResponseBody {
    /// Wraps a body whose response head has arrived.
    pub fn open(
        body: Body,
        check: CompletenessCheck,
        timeouts: ResponseTimeouts,
        clock: Arc<dyn Clock>,
        on_timeout: OnTimeout,
    ) -> Self {
        Self {
            body,
            check,
            timeouts,
            clock,
            on_timeout,
            started: false,
            ended: false,
            limit: None,
            timer: None,
        }
    }

    /// Polls for the next chunk or the end of the body.
    fn poll_chunk(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, Refusal>>> {
        loop {
            let Poll::Ready(frame) = Pin::new(&mut self.body).poll_frame(cx) else {
                return self
                    .poll_timeout(cx)
                    .map(|reason| Some(Err(Refusal::unknown(reason))));
            };
            let Some(frame) = frame else {
                return Poll::Ready(self.check_end());
            };
            let Ok(frame) = frame else {
                return Poll::Ready(Some(Err(Refusal::unknown(Reason::UpstreamFailed))));
            };
            let Ok(chunk) = frame.into_data() else {
                continue;
            };
            self.limit = None;
            self.started = true;
            self.check.push(&chunk);
            return Poll::Ready(Some(Ok(chunk)));
        }
    }

    /// Ready with the failure to report when the time limit for the next chunk has passed.
    fn poll_timeout(&mut self, cx: &mut Context<'_>) -> Poll<Reason> {
        let now = self.clock.now();
        let (due, reason) = match self.limit {
            Some(limit) => limit,
            None => *self.limit.insert(self.next_limit(now)),
        };
        if now >= due {
            (self.on_timeout)();
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
                (self.on_timeout)();
                return Poll::Ready(reason);
            }
        }
        Poll::Pending
    }

    fn next_limit(&self, now: Instant) -> (Instant, Reason) {
        if self.started {
            (now + self.timeouts.max_pause, Reason::UpstreamSilent)
        } else {
            self.timeouts.start_limit(now)
        }
    }

    /// Checks a body that has ended: `None` if it is complete, otherwise the error to return.
    fn check_end(&self) -> Option<Result<Bytes, Refusal>> {
        let truncated = Refusal::unknown(Reason::UpstreamFailed);
        (!self.check.is_complete()).then_some(Err(truncated))
    }
}

impl Stream for ResponseBody {
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
