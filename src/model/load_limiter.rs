//! Limits how many loads from the weight store start each second.
//!
//! The planner also limits how many of these loads are in progress at once. Neither number is
//! stored: a new leader derives the loads in progress from the stored intents and the load reports.
//! A VM that orders loads while it cannot reach the leader may exceed both limits for a while.
//! Loads are then slower, but the bounds on memory and replicas still hold.

use std::time::Instant;

/// A token bucket for starts of loads, which holds at most one second's worth of tokens.
#[derive(Clone, Debug)]
pub struct LoadLimiter {
    per_second: f64,
    tokens: f64,
    refilled: Instant,
}

impl LoadLimiter {
    /// A full bucket that refills at `per_second`; a rate of 0 counts as 1.
    pub fn new(per_second: u32, now: Instant) -> Self {
        let per_second = f64::from(per_second.max(1));
        Self {
            per_second,
            tokens: per_second,
            refilled: now,
        }
    }

    /// Refills the bucket and returns how many loads may start now.
    pub fn available(&mut self, now: Instant) -> usize {
        let span = now.saturating_duration_since(self.refilled).as_secs_f64();
        self.tokens = (self.tokens + span * self.per_second).min(self.per_second);
        self.refilled = now;
        self.tokens as usize
    }

    /// Takes one token for a load that starts.
    pub fn record_load(&mut self) {
        self.tokens -= 1.0;
    }
}
