//! Response time of an upstream relative to the other candidates.
//!
//! Keeps an exponential moving average of the durations of complete responses with a 2xx status
//! and compares it with the mean of the candidates. Failures do not count, because an upstream that
//! fails at once is not fast. The result fades with time, so that an upstream that was slow, and
//! got few requests because of it, is used again.

use std::time::{Duration, Instant};

/// Weight of a new response time in the average.
const WEIGHT: f64 = 0.05;
/// Age of an average at which its distance from the mean counts half.
const HALF_LIFE: Duration = Duration::from_secs(30);
const MIN_RATIO: f64 = 0.5;
const MAX_RATIO: f64 = 4.0;

/// Moving average of an upstream's response times.
#[derive(Clone, Copy, Debug)]
pub struct AverageLatency {
    seconds: f64,
    updated: Instant,
}

impl AverageLatency {
    /// Adds a response time to the average, or starts a new average if `previous` is `None`.
    #[must_use]
    pub fn with_sample(previous: Option<Self>, response_time: Duration, now: Instant) -> Self {
        let response_time = response_time.as_secs_f64();
        let seconds = previous.map_or(response_time, |average| average.seconds);
        Self {
            seconds: seconds + WEIGHT * (response_time - seconds),
            updated: now,
        }
    }

    /// The average, in seconds.
    pub fn seconds(&self) -> f64 {
        self.seconds
    }

    /// The average divided by `mean` (in seconds), limited to a fixed range and moved towards 1 as
    /// the average gets older. Above 1 the upstream is slower than the mean.
    pub fn ratio_to(&self, mean: f64, now: Instant) -> f64 {
        if mean <= 0.0 {
            return 1.0;
        }
        let ratio = (self.seconds / mean).clamp(MIN_RATIO, MAX_RATIO);
        let age = now.saturating_duration_since(self.updated);
        let halvings = age.as_secs_f64() / HALF_LIFE.as_secs_f64();
        1.0 + (ratio - 1.0) * (-halvings).exp2()
    }
}
