//! Limits how many loads from the weight store start per second, over all engines.
//!
//! It is a token bucket that only the leader keeps. A new leader starts with an empty bucket, since
//! it does not know which loads its predecessor started.

use std::time::Instant;

/// Size of the bucket, in loads.
const MAX_BURST: f64 = 3.0;

/// Token bucket of load starts.
#[derive(Clone, Debug)]
pub struct LoadLimiter {
    /// Loads that may start now.
    level: f64,
    refilled: Instant,
}

impl LoadLimiter {
    /// Creates an empty bucket.
    pub fn open(now: Instant) -> Self {
        Self {
            level: 0.0,
            refilled: now,
        }
    }

    /// Refills the bucket at `rate` loads a second and returns how many loads may start now.
    pub fn available(&mut self, rate: f64, now: Instant) -> usize {
        let span = now.saturating_duration_since(self.refilled).as_secs_f64();
        self.refilled = now;
        self.level = (self.level + span * rate).min(MAX_BURST);
        self.level.floor() as usize
    }

    /// Counts a load that starts.
    pub fn record_load(&mut self) {
        self.level -= 1.0;
    }
}
