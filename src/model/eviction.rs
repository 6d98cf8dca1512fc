//! Chooses which idle replica to evict when another model needs its memory.
//!
//! Keeping a replica saves a reload, so its value is the reload time divided by the expected time
//! until the next use. That time comes from the model's own gaps between uses: a model that has
//! been idle for longer than its mean gap is less and less likely to be used soon. Eviction of the
//! least recently used replica exists as a baseline to compare with.

use std::time::{Duration, Instant};

/// Weight of the newest gap in the moving average.
const GAP_WEIGHT: f64 = 0.3;
/// Mean gap assumed for a model that was used once.
const FIRST_GAP: Duration = Duration::from_mins(10);
/// Uses closer together than this belong to one burst and leave the mean gap as it is.
const SAME_BURST: Duration = Duration::from_secs(5);

/// How the replica to evict is chosen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Eviction {
    /// By reload time and expected time until the next use.
    #[default]
    ReloadCost,
    /// Least recently used first.
    LeastRecent,
}

/// When a model was last used, and how often it is used.
#[derive(Clone, Copy, Debug)]
pub struct Usage {
    /// Time of the last use.
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

    /// Records a use at `now`.
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

/// Value of keeping a replica; the replica with the lowest value is evicted first.
pub fn retention_value(policy: Eviction, usage: &Usage, reload: Duration, now: Instant) -> f64 {
    match policy {
        Eviction::ReloadCost => reload.as_secs_f64() / usage.next_use(now).as_secs_f64().max(1.0),
        Eviction::LeastRecent => {
            let idle = now.saturating_duration_since(usage.last);
            1.0 / idle.as_secs_f64().max(1.0e-3)
        }
    }
}
