//! Loads the weight store carries at once, and how many it starts a second.
//!
//! The VM that orders loads counts them: a slot is in use while an intent is loading from the
//! weight store, which the objects and reports say to any successor. No slot is written anywhere.
//! A VM that acts while the owner is out of reach may exceed the counts for a while; the loads are
//! slower then, and no bound of memory or replicas depends on it.

use std::time::Instant;

/// Starts of loads, as a token bucket of one second.
#[derive(Clone, Debug)]
pub struct Starts {
    per_second: f64,
    level: f64,
    since: Instant,
}

impl Starts {
    /// A full bucket.
    pub fn new(per_second: u32, now: Instant) -> Self {
        let per_second = f64::from(per_second.max(1));
        Self {
            per_second,
            level: per_second,
            since: now,
        }
    }

    /// Loads that may start now.
    pub fn free(&mut self, now: Instant) -> usize {
        let span = now.saturating_duration_since(self.since).as_secs_f64();
        self.level = (self.level + span * self.per_second).min(self.per_second);
        self.since = now;
        self.level as usize
    }

    /// Counts a start.
    pub fn take(&mut self) {
        self.level -= 1.0;
    }
}
