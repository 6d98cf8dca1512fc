//! Whether a stream of events still makes progress.
//!
//! Only complete events count. An engine that is silent may still be working, so a stream is not
//! ended for silence alone: where another engine can resume it, it is moved there. An engine that
//! keeps sending bytes without ever completing an event has failed, and its stream ends once the
//! caller would have given up waiting for the event.

use std::time::{Duration, Instant};

/// A resumable stream is moved to another engine after this time without an event; callers
/// disconnect after two seconds without one.
const MAX_SILENCE: Duration = Duration::from_millis(1200);

/// Progress of one stream.
#[derive(Clone, Copy, Debug)]
pub struct StreamProgress {
    /// Time without an event after which the caller gives up.
    give_up: Duration,
    /// When the last event was complete, or the response began.
    last_event: Instant,
    /// When the silence began that is not tolerated yet.
    silent_since: Instant,
    /// Objective for the time between two events.
    gap: Duration,
    /// Whether an event came later than that.
    late: bool,
}

impl StreamProgress {
    /// Starts at the head of the response, which arrived at `now`.
    pub fn open(give_up: Duration, gap: Duration, now: Instant) -> Self {
        Self {
            give_up,
            last_event: now,
            silent_since: now,
            gap,
            late: false,
        }
    }

    /// Records a complete event. Returns whether it is the first one that came late.
    pub fn on_event(&mut self, now: Instant) -> bool {
        let late = now.saturating_duration_since(self.last_event) > self.gap;
        self.on_resumed(now);
        let first = late && !self.late;
        self.late |= late;
        first
    }

    /// Records that another engine resumed the stream.
    pub fn on_resumed(&mut self, now: Instant) {
        self.last_event = now;
        self.silent_since = now;
    }

    /// Time until a resumable stream should be moved to another engine.
    pub fn silence_left(&self, now: Instant) -> Duration {
        let silence = now.saturating_duration_since(self.silent_since);
        MAX_SILENCE.saturating_sub(silence)
    }

    /// Waits for the engine again, because no other one can resume the stream.
    pub fn tolerate_silence(&mut self, now: Instant) {
        self.silent_since = now;
    }

    /// Whether bytes that complete no event come too late for the caller.
    pub fn stalled(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.last_event) >= self.give_up
    }
}
