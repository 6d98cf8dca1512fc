//! A time that configurations set, with those that it has replaced.

use std::time::{Duration, Instant};

/// Most replaced times that are kept. Beyond it the oldest one, which is the longest, is dropped.
const MAX_REPLACED: usize = 64;

/// The time in force, and those that it replaced.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TimeHistory {
    current: Duration,
    /// The replaced times, each with the moment of its replacement, oldest first. One that is not
    /// longer than all after it is left out, as it is never the longest.
    replaced: Vec<(Instant, Duration)>,
}

impl TimeHistory {
    /// Starts with a time in force.
    pub fn new(current: Duration) -> Self {
        Self {
            current,
            replaced: Vec::new(),
        }
    }

    /// Puts another time into force.
    pub fn replace(&mut self, time: Duration, now: Instant) {
        self.replaced.push((now, self.current));
        self.replaced.retain(|(_, replaced)| *replaced > time);
        if self.replaced.len() > MAX_REPLACED {
            self.replaced.remove(0);
        }
        self.current = time;
    }

    /// Drops each replaced time that was replaced longer ago than it lasts: whatever began under it has
    /// ended.
    pub fn forget_over(&mut self, now: Instant) {
        self.replaced.retain(|(until, time)| *until + *time > now);
    }

    /// Whether it holds no time but zero.
    pub fn is_empty(&self) -> bool {
        self.current.is_zero() && self.replaced.is_empty()
    }

    /// The longest time that was in force at any moment from `since` on.
    pub fn longest_since(&self, since: Instant) -> Duration {
        let mut replaced = self.replaced.iter();
        let longest = replaced.find(|(until, _)| *until > since);
        longest.map_or(self.current, |(_, time)| *time)
    }
}
