//! How long keys may be trusted.
//!
//! A key is trusted only while the last linearizable answer on the configuration, counted from
//! when the question was sent, is younger than the platform's bound on withdrawn keys. The bound is
//! counted on a clock that goes on while a VM is suspended.

use std::time::Duration;

use crate::clock::BootTime;

/// Kept back from the bound, for the way of a request to its engine.
const MARGIN: Duration = Duration::from_millis(400);
/// Share of the bound after which new callers had better go to another VM: later than two questions
/// in a row take that are answered in time.
const READY_SHARE: f64 = 0.6;
/// Longest wait for a change of the configuration; each answer renews the trust.
const LONGEST_WAIT: Duration = Duration::from_millis(1400);
/// The same, as a share of the bound.
const WAIT_SHARE: f64 = 0.28;

/// The freshness of the configuration.
#[derive(Clone, Copy, Debug)]
pub struct Freshness {
    bound: Duration,
    asked: Option<BootTime>,
}

impl Freshness {
    /// No trust yet; `bound` is the longest that a withdrawn key may work.
    pub fn new(bound: Duration) -> Self {
        Self { bound, asked: None }
    }

    /// How long a question for a change of the configuration may wait.
    pub fn poll_wait(&self) -> Duration {
        LONGEST_WAIT.min(self.bound.mul_f64(WAIT_SHARE))
    }

    /// Takes an answer to a question that was sent at `asked`.
    pub fn on_answer(&mut self, asked: BootTime) {
        self.asked = self.asked.max(Some(asked));
    }

    /// Age of the newest answer.
    pub fn age(&self, now: BootTime) -> Option<Duration> {
        self.asked.map(|asked| now.since(asked))
    }

    /// Whether keys may be trusted.
    pub fn is_fresh(&self, now: BootTime) -> bool {
        let limit = self.bound.saturating_sub(MARGIN);
        self.age(now).is_some_and(|age| age < limit)
    }

    /// Whether new callers may come.
    pub fn ready(&self, now: BootTime) -> bool {
        let limit = self.bound.mul_f64(READY_SHARE);
        self.age(now).is_some_and(|age| age < limit)
    }
}
