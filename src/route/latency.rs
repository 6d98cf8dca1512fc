//! Response time of an upstream relative to the other candidates.
//!
//! Keeps an exponential moving average of the durations of complete responses with a 2xx status
//! and compares it with the mean of the candidates. Failures do not count, because an upstream that
//! fails at once is not fast. The result fades with time, so that an upstream that was slow, and
//! got few requests because of it, is used again.

use std::time::{Duration, Instant};

const WEIGHT: f64 = 0.05;
const HALF_LIFE: Duration = Duration::from_secs(30);
const LEAST_RATIO: f64 = 0.5;
const GREATEST_RATIO: f64 = 4.0;

/// Moving average of an upstream's response times.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    seconds: f64,
    at: Instant,
}

impl Pace {
    /// Adds a response time to the average, or starts a new one if `before` is `None`.
    #[must_use]
    pub fn after(before: Option<Self>, took: Duration, now: Instant) -> Self {
        let took = took.as_secs_f64();
        let seconds = before.map_or(took, |pace| pace.seconds);
        Self {
            seconds: seconds + WEIGHT * (took - seconds),
            at: now,
        }
    }

    /// The average, in seconds.
    pub fn seconds(&self) -> f64 {
        self.seconds
    }

    /// The average divided by `mean` (in seconds), limited to a fixed range and moved towards 1 as
    /// the average gets older. Above 1 the upstream is slower than the mean.
    pub fn ratio(&self, mean: f64, now: Instant) -> f64 {
        if mean <= 0.0 {
            return 1.0;
        }
        let ratio = (self.seconds / mean).clamp(LEAST_RATIO, GREATEST_RATIO);
        let age = now.saturating_duration_since(self.at);
        let halvings = age.as_secs_f64() / HALF_LIFE.as_secs_f64();
        1.0 + (ratio - 1.0) * (-halvings).exp2()
    }
}
