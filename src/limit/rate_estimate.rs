//! A recent rate, as an exponentially weighted mean.

use std::time::{Duration, Instant};

/// Tokens a second, with older tokens counting less.
#[derive(Clone, Debug)]
pub(super) struct RateEstimate {
    sum: f64,
    at: Instant,
    span: Duration,
}

impl RateEstimate {
    /// No tokens yet; tokens older than `span` count for less than 2/5.
    pub(super) fn open(span: Duration, now: Instant) -> Self {
        Self {
            sum: 0.0,
            at: now,
            span,
        }
    }

    pub(super) fn add(&mut self, tokens: f64, now: Instant) {
        self.sum = self.decayed(now) + tokens;
        self.at = self.at.max(now);
    }

    pub(super) fn per_second(&self, now: Instant) -> f64 {
        self.decayed(now) / self.span.as_secs_f64()
    }

    fn decayed(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.at).as_secs_f64();
        self.sum * (-age / self.span.as_secs_f64()).exp()
    }
}
