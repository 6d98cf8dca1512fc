//! The tokens of one account that were lately subtracted from this VM's level, by time.
//!
//! A VM that counts others as unreachable learns it late. What it and the VMs that it still hears
//! admitted meanwhile was admitted from the whole quota, and only a part of that was theirs.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Time for which tokens are kept, longer than a silence that goes unnoticed.
const MAX_AGE: Duration = Duration::from_secs(3);
/// Time whose tokens are kept as one sum.
const RESOLUTION: Duration = Duration::from_millis(100);

/// Tokens subtracted lately.
#[derive(Clone, Debug, Default)]
pub struct RecentUse {
    /// Sums, oldest first, each with the time at which it began.
    sums: VecDeque<(Instant, f64)>,
}

impl RecentUse {
    /// Adds tokens that are subtracted at `now`; negative where they are returned.
    pub fn add(&mut self, tokens: f64, now: Instant) {
        let is_old = |at: Instant| now.saturating_duration_since(at) > MAX_AGE;
        while self.sums.front().is_some_and(|(at, _)| is_old(*at)) {
            self.sums.pop_front();
        }
        match self.sums.back_mut() {
            Some((at, sum)) if now.saturating_duration_since(*at) < RESOLUTION => *sum += tokens,
            _ => self.sums.push_back((now, tokens)),
        }
    }

    /// Tokens subtracted in the last `span`.
    pub fn within(&self, span: Duration, now: Instant) -> f64 {
        let recent = self.sums.iter().rev();
        let recent = recent.take_while(|(at, _)| now.saturating_duration_since(*at) <= span);
        recent.map(|(_, sum)| sum).sum::<f64>().max(0.0)
    }
}
