//! The retry budget of a service, which keeps retries few when many requests fail at once.
//!
//! The platform bounds the retries of all VMs together: in any window, to a share of the requests
//! plus a fixed slack. Each VM retries at most that share of its own requests plus a small part of
//! the slack, so the VMs need not coordinate.

use std::collections::VecDeque;
use std::fmt::{self, Display, Formatter};
use std::time::{Duration, Instant};

/// The platform's bound on retries, over all VMs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBound {
    /// Retries per request.
    pub ratio: f64,
    /// Retries allowed in a window in addition to `ratio`.
    pub slack: f64,
    /// Length of the sliding window.
    pub window: Duration,
}

/// Fewest equal parts of the slack, of which each VM uses one. There are more among more VMs, so
/// that all of them can use up their part in the same window without exceeding the slack; a VM that
/// knows few others may have been cut off from them since its start.
const MIN_SLACK_PARTS: u32 = 16;
/// Share of the ratio that a VM uses. The rest is a margin, since the platform's window may start
/// at another moment than the one counted here.
const USED_SHARE: f64 = 0.8;

/// Requests and retries of one service that this VM sent within the window.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    bound: RetryBound,
    /// Times of the requests, oldest first.
    requests: VecDeque<Instant>,
    /// Times of the retries, oldest first.
    retries: VecDeque<Instant>,
}

impl RetryBudget {
    /// Creates a budget with no requests and no retries.
    pub fn new(bound: RetryBound) -> Self {
        Self {
            bound,
            requests: VecDeque::new(),
            retries: VecDeque::new(),
        }
    }

    /// Changes the platform's bound.
    pub fn set_bound(&mut self, bound: RetryBound) {
        self.bound = bound;
    }

    /// Counts a request that is sent for the first time.
    pub fn on_request(&mut self, now: Instant) {
        self.drop_expired(now);
        self.requests.push_back(now);
    }

    /// Counts a retry and returns true if the budget of this VM allows one; returns false
    /// otherwise.
    /// `vms` is the most VMs that this one has known.
    pub fn try_spend(&mut self, vms: u32, now: Instant) -> bool {
        let allowed = self.is_left(vms, now);
        if allowed {
            self.retries.push_back(now);
        }
        allowed
    }

    /// Whether the budget of this VM allows a retry now.
    pub fn is_left(&mut self, vms: u32, now: Instant) -> bool {
        self.drop_expired(now);
        let earned = self.requests.len() as f64 * self.bound.ratio * USED_SHARE;
        let allowed = earned + self.bound.slack / f64::from(vms.max(MIN_SLACK_PARTS));
        self.retries.len() as f64 + 1.0 <= allowed
    }

    fn drop_expired(&mut self, now: Instant) {
        for times in [&mut self.requests, &mut self.retries] {
            while let Some(first) = times.front() {
                if now.saturating_duration_since(*first) < self.bound.window {
                    break;
                }
                times.pop_front();
            }
        }
    }
}

impl Display for RetryBudget {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let (requests, retries) = (self.requests.len(), self.retries.len());
        write!(f, "{requests} requests, {retries} retries")
    }
}
