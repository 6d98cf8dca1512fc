//! Circuit breaker for one upstream.
//!
//! The breaker opens when, within one time window, there are enough failures and they are at least
//! half of the outcomes. It stays open for a pause, then lets one trial request at a time through
//! (half-open). A complete response to the trial closes the breaker; a failure opens it again with
//! the pause doubled.

use std::time::{Duration, Instant};

use super::DispatchOutcome;

const WINDOW: Duration = Duration::from_secs(10);
const MIN_FAILURES: u32 = 3;
const FIRST_PAUSE: Duration = Duration::from_millis(500);
const LONGEST_PAUSE: Duration = Duration::from_secs(10);
const LONGEST_TRIAL: Duration = Duration::from_mins(1);

/// The usual three states of a circuit breaker, with the counters that each needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Closed { since: Instant, good: u32, bad: u32 },
    Open { until: Instant, pause: Duration },
    Trial { since: Instant, pause: Duration },
}

/// Circuit breaker for one upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CircuitBreaker {
    state: State,
}

impl CircuitBreaker {
    /// Creates a closed breaker whose first time window starts at `now`.
    pub fn new(now: Instant) -> Self {
        Self { state: closed(now) }
    }

    /// Whether a request may be sent now. Changes nothing: call `on_request` when it is sent.
    pub fn allows_request(&self, now: Instant) -> bool {
        match self.state {
            State::Closed { .. } => true,
            State::Open { until, .. } => now >= until,
            State::Trial { since, .. } => now.saturating_duration_since(since) >= LONGEST_TRIAL,
        }
    }

    /// Records that a request is sent; in an open breaker this is the trial request.
    pub fn on_request(&mut self, now: Instant) {
        match self.state {
            State::Closed { .. } => {}
            State::Open { pause, .. } | State::Trial { pause, .. } => {
                self.state = State::Trial { since: now, pause };
            }
        }
    }

    /// Records how a request ended.
    pub fn on_outcome(&mut self, ending: DispatchOutcome, now: Instant) {
        match (self.state, ending) {
            (State::Closed { since, good, bad }, _) => {
                self.state = count(since, good, bad, ending, now);
            }
            (State::Trial { .. }, DispatchOutcome::Completed) => self.state = closed(now),
            (State::Trial { pause, .. }, DispatchOutcome::Cancelled) => {
                self.state = State::Open { until: now, pause };
            }
            (State::Trial { pause, .. }, DispatchOutcome::Failed | DispatchOutcome::Silent) => {
                let pause = (pause * 2).min(LONGEST_PAUSE);
                self.state = State::Open {
                    until: now + pause,
                    pause,
                };
            }
            // The request was sent before the breaker opened, so its outcome is no trial.
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

fn count(since: Instant, good: u32, bad: u32, ending: DispatchOutcome, now: Instant) -> State {
    let stale = now.saturating_duration_since(since) > WINDOW;
    let (since, good, bad) = if stale {
        (now, 0, 0)
    } else {
        (since, good, bad)
    };
    let (good, bad) = match ending {
        DispatchOutcome::Completed => (good + 1, bad),
        DispatchOutcome::Cancelled => (good, bad),
        DispatchOutcome::Failed | DispatchOutcome::Silent => (good, bad + 1),
    };
    if bad >= MIN_FAILURES && bad >= good {
        return State::Open {
            until: now + FIRST_PAUSE,
            pause: FIRST_PAUSE,
        };
    }
    State::Closed { since, good, bad }
}
