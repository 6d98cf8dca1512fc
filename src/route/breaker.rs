//! A breaker for one upstream.
//!
//! Closed until at least half of the endings in a window are failures, then open for a pause that
//! doubles with each failed trial. After the pause one trial at a time is let through; a whole
//! answer closes the breaker, a failure opens it again.

use std::time::{Duration, Instant};

use super::Ending;

const WINDOW: Duration = Duration::from_secs(10);
const MIN_FAILURES: u32 = 3;
const FIRST_PAUSE: Duration = Duration::from_millis(500);
const LONGEST_PAUSE: Duration = Duration::from_secs(10);
const LONGEST_TRIAL: Duration = Duration::from_mins(1);

/// State of a breaker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Closed { since: Instant, good: u32, bad: u32 },
    Open { until: Instant, pause: Duration },
    Trial { since: Instant, pause: Duration },
}

/// A breaker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Breaker {
    state: State,
}

impl Breaker {
    /// A closed breaker.
    pub fn new(now: Instant) -> Self {
        Self { state: closed(now) }
    }

    /// Whether a request may pass now.
    pub fn may_pass(&self, now: Instant) -> bool {
        match self.state {
            State::Closed { .. } => true,
            State::Open { until, .. } => now >= until,
            State::Trial { since, .. } => now.saturating_duration_since(since) >= LONGEST_TRIAL,
        }
    }

    /// Counts a request that passes.
    pub fn on_pass(&mut self, now: Instant) {
        match self.state {
            State::Closed { .. } => {}
            State::Open { pause, .. } | State::Trial { pause, .. } => {
                self.state = State::Trial { since: now, pause };
            }
        }
    }

    /// Counts an ending.
    pub fn on_ending(&mut self, ending: Ending, now: Instant) {
        match (self.state, ending) {
            (State::Closed { since, good, bad }, _) => {
                self.state = count(since, good, bad, ending, now);
            }
            (State::Trial { .. }, Ending::Whole) => self.state = closed(now),
            (State::Trial { pause, .. }, Ending::Cancelled) => {
                self.state = State::Open { until: now, pause };
            }
            (State::Trial { pause, .. }, Ending::Failed | Ending::Silent) => {
                let pause = (pause * 2).min(LONGEST_PAUSE);
                self.state = State::Open {
                    until: now + pause,
                    pause,
                };
            }
            // An answer to a request sent before the breaker opened says nothing new.
            (State::Open { .. }, _) => {}
        }
    }
}

fn closed(now: Instant) -> State {
    State::Closed {
        since: now,
        good: 0,
        bad: 0,
    }
}

fn count(since: Instant, good: u32, bad: u32, ending: Ending, now: Instant) -> State {
    let stale = now.saturating_duration_since(since) > WINDOW;
    let (since, good, bad) = if stale {
        (now, 0, 0)
    } else {
        (since, good, bad)
    };
    let (good, bad) = match ending {
        Ending::Whole => (good + 1, bad),
        Ending::Cancelled => (good, bad),
        Ending::Failed | Ending::Silent => (good, bad + 1),
    };
    if bad >= MIN_FAILURES && bad >= good {
        return State::Open {
            until: now + FIRST_PAUSE,
            pause: FIRST_PAUSE,
        };
    }
    State::Closed { since, good, bad }
}
