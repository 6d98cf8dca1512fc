//! Retry budget.
//!
//! Each complete response earns a fraction of a retry, up to a cap, so that retries stay a bounded
//! share of the traffic when many requests fail at once. The budget also refills slowly with time,
//! so that requests can be retried when there is little traffic.

use std::time::{Duration, Instant};

const POINTS_PER_RETRY: u64 = 100;
const CAP_POINTS: u64 = 10 * POINTS_PER_RETRY;
const POINT_TRICKLE: Duration = Duration::from_millis(100);

/// Retries that may still be made, counted in points of a hundredth of a retry.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    percent: u64,
    points: u64,
    since: Instant,
}

impl RetryBudget {
    /// Creates a full budget that earns `percent` retries per 100 complete responses.
    pub fn new(percent: u32, now: Instant) -> Self {
        Self {
            percent: percent.into(),
            points: CAP_POINTS,
            since: now,
        }
    }

    /// Adds the points earned by a complete response.
    pub fn on_success(&mut self) {
        self.points = (self.points + self.percent).min(CAP_POINTS);
    }

    /// Spends one retry; `false` if less than one is left.
    pub fn try_spend(&mut self, now: Instant) -> bool {
        self.trickle(now);
        if self.points < POINTS_PER_RETRY {
            return false;
        }
        self.points -= POINTS_PER_RETRY;
        true
    }

    fn trickle(&mut self, now: Instant) {
        let span = now.saturating_duration_since(self.since);
        let points = (span.as_millis() / POINT_TRICKLE.as_millis()) as u64;
        if points > 0 {
            self.points = self.points.saturating_add(points).min(CAP_POINTS);
            self.since = now;
        }
    }
}
