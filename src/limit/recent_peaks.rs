//! Recent peaks of a level, which bound how much of a refund may be credited.
//!
//! A refund corrects a reservation that was too large. Had the reservation been smaller, the level
//! would have been higher ever since, but never above the burst. So only the room that was left at
//! the highest level since then can be credited, and the credit raises the peaks it used.

use std::time::{Duration, Instant};

use super::bucket::ExactTokens;

const SLOTS: usize = 16;

/// The highest level of each of the last [`SLOTS`] spans of time.
#[derive(Clone, Debug)]
pub(super) struct RecentPeaks {
    slots: [ExactTokens; SLOTS],
    current: usize,
    started: Instant,
    width: Duration,
}

impl RecentPeaks {
    /// Assumes a level of `initial` before `now`, and remembers at least `span`.
    pub(super) fn open(initial: ExactTokens, span: Duration, now: Instant) -> Self {
        Self {
            slots: [initial; SLOTS],
            current: 0,
            started: now,
            width: span / (SLOTS as u32 - 1) + Duration::from_millis(1),
        }
    }

    /// Notes the level, which grew steadily up to `now`.
    pub(super) fn note(&mut self, level: ExactTokens, now: Instant) {
        self.raise(level);
        for _ in 0..SLOTS {
            if now.saturating_duration_since(self.started) < self.width {
                return;
            }
            self.started += self.width;
            self.current = (self.current + 1) % SLOTS;
            self.slots[self.current] = level;
        }
        self.started = self.started.max(now);
    }

    /// The highest level remembered.
    pub(super) fn highest(&self) -> ExactTokens {
        self.slots.iter().copied().max().unwrap_or_default()
    }

    /// Counts a credit as if it had been there all along.
    pub(super) fn lift(&mut self, credit: ExactTokens) {
        for slot in &mut self.slots {
            *slot = slot.plus(credit);
        }
    }

    fn raise(&mut self, level: ExactTokens) {
        let slot = &mut self.slots[self.current];
        *slot = level.max(*slot);
    }
}
