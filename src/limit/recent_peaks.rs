//! The highest recent levels of a bucket, which bound how much of a refund may be credited.
//!
//! A refund corrects a reservation that was too large. Had the reservation been smaller, the level
//! would have been higher ever since, but never above the burst. So the credit is at most the
//! burst less the highest level since the reservation, and every recorded peak rises by the
//! credit.

use std::time::{Duration, Instant};

use super::bucket::ExactTokens;

/// Time slots in which peaks are recorded.
const SLOTS: usize = 16;

/// The highest level in each of the last [`SLOTS`] time slots.
#[derive(Clone, Debug)]
pub(super) struct RecentPeaks {
    slots: [ExactTokens; SLOTS],
    current: usize,
    slot_start: Instant,
    slot_width: Duration,
}

impl RecentPeaks {
    /// Assumes a level of `initial` before `now`; a peak is kept for at least `span`.
    pub(super) fn open(initial: ExactTokens, span: Duration, now: Instant) -> Self {
        Self {
            slots: [initial; SLOTS],
            current: 0,
            slot_start: now,
            slot_width: span / (SLOTS as u32 - 1) + Duration::from_millis(1),
        }
    }

    /// Records the level at `now`, which must be the highest since the last recorded one.
    pub(super) fn record_level(&mut self, level: ExactTokens, now: Instant) {
        self.raise_current(level);
        for _ in 0..SLOTS {
            if now.saturating_duration_since(self.slot_start) < self.slot_width {
                return;
            }
            self.slot_start += self.slot_width;
            self.current = (self.current + 1) % SLOTS;
            self.slots[self.current] = level;
        }
        self.slot_start = self.slot_start.max(now);
    }

    /// The highest level of all slots.
    pub(super) fn max_level(&self) -> ExactTokens {
        self.slots.iter().copied().max().unwrap_or_default()
    }

    /// Raises every peak by a credit, as if those tokens had been there all along.
    pub(super) fn raise_all(&mut self, credit: ExactTokens) {
        for slot in &mut self.slots {
            *slot = slot.saturating_add(credit);
        }
    }

    fn raise_current(&mut self, level: ExactTokens) {
        let slot = &mut self.slots[self.current];
        *slot = level.max(*slot);
    }
}
