//! The retry budget.
//!
//! Each whole answer earns a fraction of a retry, up to a cap, so that retries stay a bounded part
//! of the traffic when many requests fail at once. A slow trickle lets a quiet service retry too.

use std::time::{Duration, Instant};

const POINTS_PER_RETRY: u64 = 100;
const CAP_POINTS: u64 = 10 * POINTS_PER_RETRY;
const POINT_TRICKLE: Duration = Duration::from_millis(100);

/// Retries left.
#[derive(Clone, Debug)]
pub struct Budget {
    percent: u64,
    points: u64,
    since: Instant,
}

impl Budget {
    /// A full budget that earns `percent` retries for 100 whole answers.
    pub fn new(percent: u32, now: Instant) -> Self {
        Self {
            percent: percent.into(),
            points: CAP_POINTS,
            since: now,
        }
    }

    /// Counts a whole answer.
    pub fn on_success(&mut self) {
        self.points = (self.points + self.percent).min(CAP_POINTS);
    }

    /// Takes a retry, if one is left.
    pub fn take(&mut self, now: Instant) -> bool {
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
