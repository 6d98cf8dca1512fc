//! How fresh this VM's configuration is, and so whether it may still trust the keys in it.
//!
//! The platform bounds how long a withdrawn key may keep working. A VM trusts keys only while its
//! last linearizable read of the configuration is younger than that bound. The age counts from when
//! the read was sent, on a clock that keeps running while the VM is suspended.

use std::time::Duration;

use crate::clock::BootTime;

/// Margin before the bound, for the time that an admitted request takes to reach its engine.
const MARGIN: Duration = Duration::from_millis(400);
/// Age, as a share of the bound, from which this VM reports that it is not ready for new callers.
/// It is more than two polls in a row take (`2 * WAIT_SHARE`), so a VM whose polls are answered in
/// time stays ready.
const READY_SHARE: f64 = 0.6;
/// Longest time that a poll waits for a change of the configuration. Every response renews the
/// freshness, also one without changes.
const MAX_WAIT: Duration = Duration::from_millis(1400);
/// Longest time that a poll waits, as a share of the bound.
const WAIT_SHARE: f64 = 0.28;

/// Freshness of this VM's copy of the configuration.
#[derive(Clone, Copy, Debug)]
pub struct Freshness {
    bound: Duration,
    /// When the newest read that was answered had been sent.
    read_sent: Option<BootTime>,
}

impl Freshness {
    /// Creates the state before the first read. `bound` is the longest time that a withdrawn key
    /// may keep working.
    pub fn new(bound: Duration) -> Self {
        Self {
            bound,
            read_sent: None,
        }
    }

    /// Changes the longest time that a withdrawn key may keep working.
    pub fn set_bound(&mut self, bound: Duration) {
        self.bound = bound;
    }

    /// How long a poll should wait for a change of the configuration.
    pub fn poll_wait(&self) -> Duration {
        MAX_WAIT.min(self.bound.mul_f64(WAIT_SHARE))
    }

    /// Records the response to a read that was sent at `sent`.
    pub fn on_response(&mut self, sent: BootTime) {
        self.read_sent = self.read_sent.max(Some(sent));
    }

    /// Age of the newest read that was answered; `None` before the first.
    pub fn age(&self, now: BootTime) -> Option<Duration> {
        self.read_sent.map(|sent| now.since(sent))
    }

    /// Whether the configuration is fresh enough to trust the keys in it.
    pub fn is_fresh(&self, now: BootTime) -> bool {
        let limit = self.bound.saturating_sub(MARGIN);
        self.age(now).is_some_and(|age| age < limit)
    }

    /// Whether new callers may be sent to this VM.
    pub fn ready(&self, now: BootTime) -> bool {
        let limit = self.bound.mul_f64(READY_SHARE);
        self.age(now).is_some_and(|age| age < limit)
    }
}
