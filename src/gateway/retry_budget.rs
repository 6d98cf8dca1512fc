//! The budget of requests sent more than once, when many fail at the same time.
//!
//! The platform bounds repeats to a share of the requests in a window plus a slack, summed over all
//! VMs. Each VM keeps to the share of its own requests plus a small fixed part of the slack, so
//! that no coordination is needed.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// The platform's bound.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBound {
    /// Repeats per request.
    pub ratio: f64,
    /// Repeats that are free in a window, over all VMs.
    pub slack: f64,
    /// Window.
    pub window: Duration,
}

/// Parts of the slack; the most VMs that could spend one at the same time.
const SLACK_PARTS: f64 = 16.0;
/// Kept back, for a window that slides differs from the one counted here.
const USED_SHARE: f64 = 0.8;

/// Requests and repeats of one service, as counted by this VM.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    bound: RetryBound,
    firsts: VecDeque<Instant>,
    others: VecDeque<Instant>,
}

impl RetryBudget {
    /// An unused budget.
    pub fn new(bound: RetryBound) -> Self {
        Self {
            bound,
            firsts: VecDeque::new(),
            others: VecDeque::new(),
        }
    }

    /// Counts a request.
    pub fn on_request(&mut self, now: Instant) {
        self.forget(now);
        self.firsts.push_back(now);
    }

    /// Takes a repeat, if one is left.
    pub fn try_spend(&mut self, now: Instant) -> bool {
        self.forget(now);
        let earned = self.firsts.len() as f64 * self.bound.ratio * USED_SHARE;
        let allowed = earned + self.bound.slack / SLACK_PARTS;
        if self.others.len() as f64 + 1.0 > allowed {
            return false;
        }
        self.others.push_back(now);
        true
    }

    fn forget(&mut self, now: Instant) {
        for times in [&mut self.firsts, &mut self.others] {
            while let Some(first) = times.front() {
                if now.saturating_duration_since(*first) < self.bound.window {
                    break;
                }
                times.pop_front();
            }
        }
    }
}
