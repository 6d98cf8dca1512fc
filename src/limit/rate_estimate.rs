//! An estimate of a recent rate, as an exponentially weighted moving average.

use std::time::{Duration, Instant};

/// Estimates tokens per second; the weight of a token decays exponentially with its age.
#[derive(Clone, Debug)]
pub(super) struct RateEstimate {
    sum: f64,
    updated_at: Instant,
    time_constant: Duration,
}

impl RateEstimate {
    /// An estimate of zero. A token as old as `time_constant` has a weight of 1/e (37 %).
    pub(super) fn open(time_constant: Duration, now: Instant) -> Self {
        Self {
            sum: 0.0,
            updated_at: now,
            time_constant,
        }
    }

    pub(super) fn add(&mut self, tokens: f64, now: Instant) {
        self.sum = self.decayed_sum(now) + tokens;
        self.updated_at = self.updated_at.max(now);
    }

    pub(super) fn per_second(&self, now: Instant) -> f64 {
        self.decayed_sum(now) / self.time_constant.as_secs_f64()
    }

    fn decayed_sum(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.updated_at).as_secs_f64();
        self.sum * (-age / self.time_constant.as_secs_f64()).exp()
    }
}
