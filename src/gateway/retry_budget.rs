//! The retry budget of a service, which keeps retries few when many requests fail at once.
//!
//! The platform bounds the retries of all VMs together: in any window, to a share of the requests
//! plus a fixed slack. Each VM retries at most half of that share of its own requests, plus an equal
//! part of the slack, so the VMs need not coordinate:
//!
//! - A VM's window ends where it retries. The windows of all VMs that end within one window of the
//!   platform span two, and hold at most twice the requests of the busier one.
//! - The process before this one may have used the same part of the slack, and other VMs may count
//!   without a VM that has just started. A process has no part until that was a window ago, unless
//!   the process before stopped as planned and told what it had used of it.

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
/// Share of the ratio that a VM uses.
const USED_SHARE: f64 = 0.5;
/// Time in which the other VMs learn of one that starts.
const LEARNT_WITHIN: Duration = Duration::from_secs(3);

/// Longest time from the payment for a retry to its sending. The platform counts retries as they
/// arrive; one that is sent later is paid for again.
pub const PAYMENT_LIFETIME: Duration = Duration::from_millis(250);

/// A retry that the budget has paid for and that is not sent yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Payment(Instant);

impl Payment {
    /// A payment that is made now.
    pub fn new(now: Instant) -> Self {
        Self(now)
    }

    /// Whether the retry may still be sent for it.
    pub fn is_valid(self, now: Instant) -> bool {
        now.saturating_duration_since(self.0) < PAYMENT_LIFETIME
    }
}

/// What the process before had used of the slack.
#[derive(Clone, Copy, Debug)]
struct EarlierUse {
    /// Retries within its last window.
    retries: u32,
    /// When this process learned of them.
    learned: Instant,
}

/// Requests and retries of one service that this VM sent within the window.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    bound: RetryBound,
    /// Start of this process; absent where the whole system started for the first time with it, or
    /// the process before told what it had used.
    started: Option<Instant>,
    /// What the process before had used of the slack, where it told.
    earlier: Option<EarlierUse>,
    /// Times of the requests, oldest first.
    requests: VecDeque<Instant>,
    /// Times of the retries, oldest first.
    retries: VecDeque<Instant>,
}

impl RetryBudget {
    /// Creates a budget with no requests and no retries, in a process that started at `started`;
    /// that is absent where the whole system started for the first time with it.
    pub fn new(bound: RetryBound, started: Option<Instant>) -> Self {
        Self {
            bound,
            started,
            earlier: None,
            requests: VecDeque::new(),
            retries: VecDeque::new(),
        }
    }

    /// Changes the platform's bound.
    pub fn set_bound(&mut self, bound: RetryBound) {
        self.bound = bound;
    }

    /// Takes over from the process before, which used so many retries of the slack in its last window.
    pub fn take_over(&mut self, used: u32, now: Instant) {
        self.started = None;
        self.earlier = Some(EarlierUse {
            retries: used,
            learned: now,
        });
    }

    /// Retries of the slack that were used within the last window, for the next process; `None` while
    /// it isn't known what the one before had used.
    pub fn slack_used(&mut self, now: Instant) -> Option<u32> {
        self.drop_expired(now);
        let own = (self.retries.len() as f64 - self.earned()).ceil().max(0.0) as u32;
        self.is_settled(now).then_some(own + self.earlier_used(now))
    }

    /// Counts a request that is sent for the first time.
    pub fn on_request(&mut self, now: Instant) {
        self.drop_expired(now);
        self.requests.push_back(now);
    }

    /// Counts a retry and returns true if the budget of this VM allows one; returns false
    /// otherwise. `vms` is the most VMs that there may be.
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
        let allowed = self.earned() + self.slack_part(vms, now);
        self.retries.len() as f64 + 1.0 <= allowed
    }

    /// Retries that this VM's own requests allow.
    fn earned(&self) -> f64 {
        self.requests.len() as f64 * self.bound.ratio * USED_SHARE
    }

    /// The part of the slack that this VM may use now.
    fn slack_part(&self, vms: u32, now: Instant) -> f64 {
        if !self.is_settled(now) {
            return 0.0;
        }
        let part = self.bound.slack / f64::from(vms.max(MIN_SLACK_PARTS));
        (part - f64::from(self.earlier_used(now))).max(0.0)
    }

    /// Whether it is known what the process before has used, or that was a window ago.
    pub fn is_settled(&self, now: Instant) -> bool {
        let settles = self.bound.window + LEARNT_WITHIN;
        let settled = |started| now.saturating_duration_since(started) >= settles;
        self.started.is_none_or(settled)
    }

    /// Retries of the slack that the process before has used and that still count.
    fn earlier_used(&self, now: Instant) -> u32 {
        let recent = |at| now.saturating_duration_since(at) < self.bound.window;
        let earlier = self.earlier.filter(|earlier| recent(earlier.learned));
        earlier.map_or(0, |earlier| earlier.retries)
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
