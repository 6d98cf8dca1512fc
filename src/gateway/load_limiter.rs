//! The ceiling of loads from the weight store, over all engines.
//!
//! Only the VM that gives orders counts; a successor starts with nothing saved up.

use std::time::Instant;

/// Loads that may be saved up.
const MOST_SAVED: f64 = 3.0;

/// Loads from the weight store that may begin now.
#[derive(Clone, Debug)]
pub struct LoadLimiter {
    saved: f64,
    at: Instant,
}

impl LoadLimiter {
    /// Nothing saved up.
    pub fn open(now: Instant) -> Self {
        Self {
            saved: 0.0,
            at: now,
        }
    }

    /// Loads that may begin now, at `rate` loads a second.
    pub fn available(&mut self, rate: f64, now: Instant) -> usize {
        let span = now.saturating_duration_since(self.at).as_secs_f64();
        self.at = now;
        self.saved = (self.saved + span * rate).min(MOST_SAVED);
        self.saved.floor() as usize
    }

    /// Counts a load.
    pub fn record_load(&mut self) {
        self.saved -= 1.0;
    }
}
