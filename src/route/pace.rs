//! How fast an upstream answers, beside the others.
//!
//! A smoothed time of its good answers, compared with the mean of the candidates. Failures and
//! refusals do not count, as an upstream that fails at once is not fast. What is learnt fades, so
//! that an upstream that was slow and got little since is tried again.

use std::time::{Duration, Instant};

const WEIGHT: f64 = 0.05;
const HALF_LIFE: Duration = Duration::from_secs(30);
const LEAST_RATIO: f64 = 0.5;
const GREATEST_RATIO: f64 = 4.0;

/// Smoothed time of an upstream's good answers.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    seconds: f64,
    at: Instant,
}

impl Pace {
    /// The pace after one more answer.
    #[must_use]
    pub fn after(before: Option<Self>, took: Duration, now: Instant) -> Self {
        let took = took.as_secs_f64();
        let seconds = before.map_or(took, |pace| pace.seconds);
        Self {
            seconds: seconds + WEIGHT * (took - seconds),
            at: now,
        }
    }

    /// The smoothed time, in seconds.
    pub fn seconds(&self) -> f64 {
        self.seconds
    }

    /// How much slower than `mean` seconds, by what is still trusted of it.
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
