//! The retry budget.
//!
//! Each whole answer earns a fraction of a retry, up to a cap, so that retries stay a bounded part
//! of the traffic when many requests fail at once. A slow trickle lets a quiet service retry too.

use std::time::{Duration, Instant};

const CAP_RETRIES: f64 = 10.0;
const TRICKLE: Duration = Duration::from_secs(10);

/// Retries left.
#[derive(Clone, Debug)]
pub struct Budget {
    earned: f64,
    left: f64,
    since: Instant,
}

impl Budget {
    /// A full budget that earns `percent` retries for 100 whole answers.
    pub fn new(percent: u32, now: Instant) -> Self {
        Self {
            earned: f64::from(percent) / 100.0,
            left: CAP_RETRIES,
            since: now,
        }
    }

    /// Counts a whole answer.
    pub fn on_success(&mut self) {
        self.left = (self.left + self.earned).min(CAP_RETRIES);
    }

    /// Takes a retry, if one is left.
    pub fn take(&mut self, now: Instant) -> bool {
        let span = now.saturating_duration_since(self.since);
        self.since = self.since.max(now);
        let trickled = span.as_secs_f64() / TRICKLE.as_secs_f64();
        self.left = (self.left + trickled).min(CAP_RETRIES);
        if self.left < 1.0 {
            return false;
        }
        self.left -= 1.0;
        true
    }
}
