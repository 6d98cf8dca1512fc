//! Why attempts to send requests to upstreams end, and how many ended for each reason.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use prometheus::{IntCounterVec, Opts};

use crate::metrics::Metrics;

use super::exchange::ResponseError;

/// Why an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The upstream's response was read to its end.
    Answered,
    /// The caller's time was up, or that which the upstream was told.
    Deadline,
    /// The upstream was silent, and another one was tried.
    Silence,
    /// The upstream says that it did not run the request.
    Refused,
    /// No connection could be opened.
    Unreachable,
    /// The upstream broke the connection.
    BrokenOff,
    /// The response is not one to this request.
    Invalid,
    /// The caller left.
    CallerLeft,
    /// Another upstream answered first.
    Overtaken,
}

impl AttemptEnd {
    fn label(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Deadline => "deadline",
            Self::Silence => "silence",
            Self::Refused => "refused",
            Self::Unreachable => "unreachable",
            Self::BrokenOff => "broken_off",
            Self::Invalid => "invalid",
            Self::CallerLeft => "caller_left",
            Self::Overtaken => "overtaken",
        }
    }
}

impl From<ResponseError> for AttemptEnd {
    fn from(error: ResponseError) -> Self {
        match error {
            ResponseError::Disconnected => Self::BrokenOff,
            ResponseError::Silent => Self::Silence,
            ResponseError::Deadline | ResponseError::ToldTimeOver => Self::Deadline,
            ResponseError::Invalid => Self::Invalid,
        }
    }
}

/// Counters of attempts by their end; clones share them.
#[derive(Clone, Debug)]
pub struct AttemptEnds(IntCounterVec);

impl AttemptEnds {
    /// Registers the counters.
    ///
    /// # Errors
    ///
    /// If a metric of the same name is registered already.
    pub fn open(metrics: &Metrics) -> Result<Self, prometheus::Error> {
        let ends = Opts::new(
            "basilgw_attempts_ended_total",
            "Attempts to send requests to upstreams, by why they ended.",
        );
        let ends = IntCounterVec::new(ends, &["why"])?;
        metrics.registry().register(Box::new(ends.clone()))?;
        Ok(Self(ends))
    }

    /// Starts to watch an attempt.
    pub fn watch(&self) -> AttemptWatch {
        AttemptWatch(Arc::new(Watched {
            ends: self.clone(),
            ended: AtomicBool::new(false),
        }))
    }

    /// Attempts that ended so.
    pub fn count(&self, end: AttemptEnd) -> u64 {
        self.0.with_label_values(&[end.label()]).get()
    }
}

/// Counts the end of one attempt; one that is dropped before its end was left by its caller. Clones
/// watch the same attempt.
#[derive(Clone, Debug)]
pub struct AttemptWatch(Arc<Watched>);

#[derive(Debug)]
struct Watched {
    ends: AttemptEnds,
    ended: AtomicBool,
}

impl AttemptWatch {
    /// Counts the end of the attempt; only the first one counts.
    pub fn end(&self, end: AttemptEnd) {
        self.0.end(end);
    }
}

impl Watched {
    fn end(&self, end: AttemptEnd) {
        if !self.ended.swap(true, Ordering::Relaxed) {
            self.ends.0.with_label_values(&[end.label()]).inc();
        }
    }
}

impl Drop for Watched {
    fn drop(&mut self) {
        self.end(AttemptEnd::CallerLeft);
    }
}
