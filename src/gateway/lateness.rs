//! How late this process's timers have fired lately.
//!
//! A process that is short of processor time sees signals, messages and the ends of its waits late,
//! each by up to this time.

use std::time::{Duration, Instant};

/// Time for which a late timer is remembered, at least; at most twice as long.
const MEMORY: Duration = Duration::from_secs(5);

/// The greatest lateness of the last seconds.
#[derive(Clone, Copy, Debug)]
pub struct Lateness {
    /// In the period that began at `since`.
    recent: Duration,
    /// In the one before.
    earlier: Duration,
    since: Instant,
}

impl Lateness {
    /// Makes the record of a process that starts at `now`.
    pub fn open(now: Instant) -> Self {
        Self {
            recent: Duration::ZERO,
            earlier: Duration::ZERO,
            since: now,
        }
    }

    /// Records that a timer which was due at `due` fired at `now`.
    pub fn on_timer(&mut self, due: Instant, now: Instant) {
        self.forget(now);
        self.recent = self.recent.max(now.saturating_duration_since(due));
    }

    /// The greatest lateness that is remembered.
    pub fn greatest(&mut self, now: Instant) -> Duration {
        self.forget(now);
        self.recent.max(self.earlier)
    }

    fn forget(&mut self, now: Instant) {
        let age = now.saturating_duration_since(self.since);
        if age < MEMORY {
            return;
        }
        let next = age < MEMORY * 2;
        self.earlier = if next { self.recent } else { Duration::ZERO };
        self.recent = Duration::ZERO;
        self.since = now;
    }
}
