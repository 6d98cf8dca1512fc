//! Which idle replica to give up for another model.
//!
//! What a replica is worth is the reload it saves: its reload time times the chance that it is
//! used soon. The chance comes from the model's own gaps between uses; a model idle for longer than
//! its usual gap is less and less likely to be used. Least recently used is kept as the baseline.

use std::time::{Duration, Instant};

const GAP_WEIGHT: f64 = 0.3;
const FIRST_GAP: Duration = Duration::from_mins(10);
const SAME_BURST: Duration = Duration::from_secs(5);

/// How a victim is chosen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Eviction {
    /// By expected next use and reload time.
    #[default]
    Worth,
    /// Least recently used first.
    Recent,
}

/// When a model was used.
#[derive(Clone, Copy, Debug)]
pub struct Usage {
    /// Last use.
    pub last: Instant,
    /// Mean gap between bursts of uses.
    pub gap: Duration,
}

impl Usage {
    /// A model used for the first time.
    pub fn first(now: Instant) -> Self {
        Self {
            last: now,
            gap: FIRST_GAP,
        }
    }

    /// Notes a use.
    pub fn touch(&mut self, now: Instant) {
        let gap = now.saturating_duration_since(self.last);
        self.last = now.max(self.last);
        if gap < SAME_BURST {
            return;
        }
        let mixed = self.gap.as_secs_f64() * (1.0 - GAP_WEIGHT) + gap.as_secs_f64() * GAP_WEIGHT;
        self.gap = Duration::from_secs_f64(mixed);
    }

    /// Expected time until the next use.
    pub fn next_use(&self, now: Instant) -> Duration {
        let idle = now.saturating_duration_since(self.last);
        self.gap.max(idle)
    }
}

/// What keeping a replica saves; the least is given up first.
pub fn worth(policy: Eviction, usage: &Usage, reload: Duration, now: Instant) -> f64 {
    match policy {
        Eviction::Worth => reload.as_secs_f64() / usage.next_use(now).as_secs_f64().max(1.0),
        Eviction::Recent => {
            let idle = now.saturating_duration_since(usage.last);
            1.0 / idle.as_secs_f64().max(1.0e-3)
        }
    }
}
