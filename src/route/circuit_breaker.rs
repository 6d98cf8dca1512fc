//! Circuit breaker for one upstream.
//!
//! The breaker opens when, within one time window, there are enough failures and at least as many
//! failures as complete responses. It stays open for a pause, then lets one trial request at a time
//! through (half-open). A complete response to the trial closes the breaker. A failure opens it
//! again for twice the pause, up to a limit. A cancelled trial decides nothing and allows the next
//! at once.

use std::time::{Duration, Instant};

use super::DispatchOutcome;

/// Period over which the outcomes of a closed breaker are counted.
const WINDOW: Duration = Duration::from_secs(10);
const MIN_FAILURES: u32 = 3;
const FIRST_PAUSE: Duration = Duration::from_millis(500);
const MAX_PAUSE: Duration = Duration::from_secs(10);
/// Time after which another trial request is allowed even if the last one has not ended.
const MAX_TRIAL_TIME: Duration = Duration::from_mins(1);

/// The usual three states of a circuit breaker, with the counters that each needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Closed {
        since: Instant,
        successes: u32,
        failures: u32,
    },
    Open {
        until: Instant,
        pause: Duration,
    },
    HalfOpen {
        since: Instant,
        pause: Duration,
    },
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
            State::HalfOpen { since, .. } => now.saturating_duration_since(since) >= MAX_TRIAL_TIME,
        }
    }

    /// Records that a request is sent; in an open breaker this is the trial request.
    pub fn on_request(&mut self, now: Instant) {
        match self.state {
            State::Closed { .. } => {}
            State::Open { pause, .. } | State::HalfOpen { pause, .. } => {
                self.state = State::HalfOpen { since: now, pause };
            }
        }
    }

    /// Records how a request ended.
    pub fn on_outcome(&mut self, outcome: DispatchOutcome, now: Instant) {
        match (self.state, outcome) {
            (
                State::Closed {
                    since,
                    successes,
                    failures,
                },
                _,
            ) => {
                self.state = count_outcome(since, successes, failures, outcome, now);
            }
            (State::HalfOpen { .. }, DispatchOutcome::Completed) => self.state = closed(now),
            (State::HalfOpen { pause, .. }, DispatchOutcome::Cancelled) => {
                self.state = State::Open { until: now, pause };
            }
            (State::HalfOpen { pause, .. }, DispatchOutcome::Failed | DispatchOutcome::Silent) => {
                let pause = (pause * 2).min(MAX_PAUSE);
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
        successes: 0,
        failures: 0,
    }
}

fn count_outcome(
    since: Instant,
    successes: u32,
    failures: u32,
    outcome: DispatchOutcome,
    now: Instant,
) -> State {
    let expired = now.saturating_duration_since(since) > WINDOW;
    let (since, successes, failures) = if expired {
        (now, 0, 0)
    } else {
        (since, successes, failures)
    };
    let (successes, failures) = match outcome {
        DispatchOutcome::Completed => (successes + 1, failures),
        DispatchOutcome::Cancelled => (successes, failures),
        DispatchOutcome::Failed | DispatchOutcome::Silent => (successes, failures + 1),
    };
    if failures >= MIN_FAILURES && failures >= successes {
        return State::Open {
            until: now + FIRST_PAUSE,
            pause: FIRST_PAUSE,
        };
    }
    State::Closed {
        since,
        successes,
        failures,
    }
}
