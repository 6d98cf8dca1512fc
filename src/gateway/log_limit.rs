//! Bounds the log lines that callers can cause.
//!
//! A caller that keeps to no limit is refused again and again. Only the first lines of each second
//! are written; how many were left out is told once the second is over.

use std::time::{Duration, Instant};

/// Lines written in each window.
pub const MAX_LINES: u32 = 50;
/// Length of a window.
pub const WINDOW: Duration = Duration::from_secs(1);

/// What becomes of a line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LineVerdict {
    /// It is written, after a note on this many that were left out before.
    Write {
        /// Lines left out in the last window.
        left_out: u64,
    },
    /// It is left out.
    LeaveOut,
}

/// Counts the lines of the current window.
#[derive(Debug, Default)]
pub struct LogLimit {
    began: Option<Instant>,
    written: u32,
    left_out: u64,
}

impl LogLimit {
    /// Decides on a line at `now`.
    pub fn on_line(&mut self, now: Instant) -> LineVerdict {
        let over = self
            .began
            .is_none_or(|began| now.saturating_duration_since(began) >= WINDOW);
        let mut left_out = 0;
        if over {
            left_out = self.left_out;
            *self = Self {
                began: Some(now),
                ..Self::default()
            };
        }
        if self.written == MAX_LINES {
            self.left_out += 1;
            return LineVerdict::LeaveOut;
        }
        self.written += 1;
        LineVerdict::Write { left_out }
    }
}
