//! Retry budget.
//!
//! Each complete response earns a fraction of a retry, up to a cap, so that retries stay a bounded
//! fraction of the traffic when many requests fail at once. The budget also refills slowly with
//! time, so that requests can be retried when there is little traffic.

use std::time::{Duration, Instant};

const POINTS_PER_RETRY: u64 = 100;
const MAX_POINTS: u64 = 10 * POINTS_PER_RETRY;
/// Time after which one point is refilled.
const REFILL_INTERVAL: Duration = Duration::from_millis(100);

/// Retries that may still be made, counted in points of a hundredth of a retry.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    percent: u64,
    points: u64,
    last_refill: Instant,
}

impl RetryBudget {
    /// Creates a full budget that earns `percent` retries per 100 complete responses.
    pub fn new(percent: u32, now: Instant) -> Self {
        Self {
            percent: percent.into(),
            points: MAX_POINTS,
            last_refill: now,
        }
    }

    /// Adds the points earned by a complete response.
    pub fn on_success(&mut self) {
        self.points = (self.points + self.percent).min(MAX_POINTS);
    }

    /// Spends one retry; `false` if less than one is left.
    pub fn try_spend(&mut self, now: Instant) -> bool {
        self.refill(now);
        if self.points < POINTS_PER_RETRY {
            return false;
        }
        self.points -= POINTS_PER_RETRY;
        true
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.last_refill);
        let points = (elapsed.as_millis() / REFILL_INTERVAL.as_millis()) as u64;
        if points > 0 {
            self.points = self.points.saturating_add(points).min(MAX_POINTS);
            self.last_refill = now;
        }
    }
}
