//! How far an engine has come with the response to one request.
//!
//! A request that crashes its engine does so soon after the engine has begun to write the response.
//! A run that has lasted for longer is therefore not the cause when the engine crashes later.

use std::time::{Duration, Instant};

use super::quarantine::crashes::Written;

/// Time from its first event after which a run has shown that its request crashes no engine.
const PROOF_TIME: Duration = Duration::from_millis(500);

/// The response of one engine to one request, from its head on.
#[derive(Clone, Copy, Debug)]
pub struct EngineRun {
    /// When the head of the response arrived.
    started: Instant,
    /// When the first complete event arrived.
    first_event: Option<Instant>,
}

impl EngineRun {
    /// Starts at the head of the response, which arrived at `now`.
    pub fn open(now: Instant) -> Self {
        Self {
            started: now,
            first_event: None,
        }
    }

    /// Records a complete event.
    pub fn on_event(&mut self, now: Instant) {
        self.first_event.get_or_insert(now);
    }

    /// What the engine has written.
    pub fn written(&self) -> Written {
        match self.first_event {
            Some(_) => Written::Events,
            None => Written::Nothing,
        }
    }

    /// Time since the head of the response.
    pub fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.started)
    }

    /// Whether the run has not lasted long enough to show that its request crashes no engine.
    pub fn is_early(&self, now: Instant) -> bool {
        self.first_event
            .is_none_or(|first| now.saturating_duration_since(first) < PROOF_TIME)
    }
}
