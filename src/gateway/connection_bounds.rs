//! How long a caller's connection may be idle, or its caller take nothing of a response.
//!
//! Callers go by the idle time that they knew when they sent their last request. A shorter one of a
//! later configuration therefore holds for a connection from its next request on.
//!
//! A caller that takes nothing may have stopped for a moment, or wait for a lost segment to be sent
//! again. Cutting its answer then costs a whole request, so a short idle time does not bound this.

use std::time::{Duration, Instant};

use super::time_history::TimeHistory;

/// Added to the idle time, so that a request sent just before it ends still arrives in time.
const IDLE_GRACE: Duration = Duration::from_millis(500);
/// Least time in which a caller may take nothing. TCP takes 3 s to send a lost segment again four
/// times; the rest is for a pause of the caller itself.
const UNREAD_FLOOR: Duration = Duration::from_secs(5);
/// The idle time in force, and those that it replaced.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IdleTimes(TimeHistory);

impl IdleTimes {
    /// Starts with an idle time in force.
    pub fn new(current: Duration) -> Self {
        Self(TimeHistory::new(current))
    }

    /// Puts another idle time into force.
    pub fn replace(&mut self, idle_time: Duration, now: Instant) {
        self.0.replace(idle_time, now);
    }

    /// The longest idle time that was in force at any moment from `since` on.
    pub fn longest_since(&self, since: Instant) -> Duration {
        self.0.longest_since(since)
    }

    /// When a connection must end that is idle since `idle_since`, and whose last request arrived at
    /// `last_request`. Without a request, both are when it was opened.
    pub fn idle_end(&self, last_request: Instant, idle_since: Instant) -> Instant {
        idle_since + self.longest_since(last_request) + IDLE_GRACE
    }

    /// When a connection must end whose caller takes nothing since `blocked_since`.
    pub fn unread_end(&self, blocked_since: Instant) -> Instant {
        blocked_since + self.longest_since(blocked_since).max(UNREAD_FLOOR) + IDLE_GRACE
    }
}
