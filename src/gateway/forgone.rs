//! The tokens that one VM's level of an account's quota did not gain, by the time of it.
//!
//! A level gains less than the account's rate while other VMs are unreachable, as the rest is left to
//! them, and while it is full. What these VMs admitted meanwhile is heard late. It was admitted from
//! what the level did not gain, so it is subtracted from that first. Nothing is ever admitted from it.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Time for which tokens are kept; a VM that is heard after a longer silence is given less.
const MAX_AGE: Duration = Duration::from_mins(1);
/// Time whose tokens are kept as one sum.
const RESOLUTION: Duration = Duration::from_millis(500);

/// Tokens not gained lately.
#[derive(Clone, Debug, Default)]
pub struct Forgone {
    /// Sums, oldest first, each with the time at which it began.
    sums: VecDeque<(Instant, f64)>,
}

impl Forgone {
    /// Adds tokens that the level did not gain until `now`.
    pub fn add(&mut self, tokens: f64, now: Instant) {
        if tokens <= 0.0 {
            return;
        }
        let is_old = |at: Instant| now.saturating_duration_since(at) > MAX_AGE;
        while self.sums.front().is_some_and(|(at, _)| is_old(*at)) {
            self.sums.pop_front();
        }
        match self.sums.back_mut() {
            Some((at, sum)) if now.saturating_duration_since(*at) < RESOLUTION => *sum += tokens,
            _ => self.sums.push_back((now, tokens)),
        }
    }

    /// Takes up to `tokens` of what was not gained in the last `span`, and returns how many.
    pub fn take(&mut self, tokens: f64, span: Duration, now: Instant) -> f64 {
        let mut rest = tokens;
        for (at, sum) in &mut self.sums {
            if now.saturating_duration_since(*at) > span {
                continue;
            }
            let taken = rest.min(*sum);
            *sum -= taken;
            rest -= taken;
        }
        tokens - rest
    }
}
