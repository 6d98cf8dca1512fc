//! Whether a stream of events still makes progress.
//!
//! Only complete events count. An engine that is silent may still be working, so a stream is not
//! ended for silence alone: where another engine can resume it, it is moved there, but only once
//! the engine's pace ([`super::engine_pace`]) no longer explains the silence. An engine that keeps
//! sending bytes without ever completing an event has failed, and its stream ends once the caller
//! would have given up waiting for the event.

use std::time::{Duration, Instant};

use super::engine_pace::Standing;
use super::head_wait::LOOK_AGAIN;

/// A resumable stream is moved to another engine after this time without an event, unless its
/// engine is busy; callers disconnect after two seconds without one.
const MAX_SILENCE: Duration = Duration::from_millis(1200);
/// Factor on the longest silence of the engine's other streams, up to which one more is usual.
const USUAL_SILENCE: u32 = 2;
/// Share of the caller's patience after which a stream of a full engine is moved, in quarters.
const FULL_QUARTERS: u32 = 3;

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
        let late = self.gap(now) > self.gap;
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

    /// Time until a resumable stream should be moved to another engine; none is left if it is zero.
    /// `longest` is the longest silence that the engine lately ended.
    pub fn silence_left(&self, standing: Standing, longest: Duration, now: Instant) -> Duration {
        let most = match standing {
            Standing::Stalled => MAX_SILENCE,
            Standing::Overtaken => MAX_SILENCE.max(longest * USUAL_SILENCE),
            Standing::Queued => MAX_SILENCE.max(self.give_up * FULL_QUARTERS / 4),
            Standing::InTurn => Duration::MAX,
        };
        most.saturating_sub(self.silence(now))
    }

    /// Time to the next look at whether the stream should be moved.
    pub fn next_look(&self, now: Instant) -> Duration {
        let left = MAX_SILENCE.saturating_sub(self.silence(now));
        left.max(LOOK_AGAIN)
    }

    /// When the silence began that is not tolerated yet.
    pub fn silent_since(&self) -> Instant {
        self.silent_since
    }

    /// Time since then.
    pub fn silence(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.silent_since)
    }

    /// Time since the last event, or the beginning of the response.
    pub fn gap(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.last_event)
    }

    /// Whether the caller still waits for an event.
    pub fn is_awaited(&self, now: Instant) -> bool {
        !self.stalled(now)
    }

    /// Waits for the engine again, because no other one can resume the stream.
    pub fn tolerate_silence(&mut self, now: Instant) {
        self.silent_since = now;
    }

    /// Whether bytes that complete no event come too late for the caller.
    pub fn stalled(&self, now: Instant) -> bool {
        self.gap(now) >= self.give_up
    }
}
