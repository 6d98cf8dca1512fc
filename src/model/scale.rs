//! How many replicas a model should have.
//!
//! One as soon as work waits; another when the waiting work would outlast the time a further load
//! takes; none after an idle time, but never fewer than the declared minimum.

use std::time::{Duration, Instant};

use super::evict::Usage;
use crate::schema::declaration::Model;

/// Work that waits for a model.
#[derive(Clone, Copy, Debug)]
pub struct Waiting {
    /// Requests.
    pub requests: u32,
    /// Time the replicas there are need for them.
    pub drain: Duration,
}

/// Replicas to add now.
pub fn replicas_to_add(model: &Model, live: u32, waiting: Option<Waiting>, load: Duration) -> u32 {
    let floor = model.minimum.min(model.maximum);
    if live < floor {
        return floor - live;
    }
    let Some(waiting) = waiting else {
        return 0;
    };
    if live >= model.maximum || waiting.requests == 0 {
        return 0;
    }
    if live == 0 {
        return 1;
    }
    let behind = waiting.requests > model.slots && waiting.drain > load;
    u32::from(behind)
}

/// Whether a replica may go for want of use.
pub fn is_idle(
    model: &Model,
    live: u32,
    usage: Option<&Usage>,
    idle: Duration,
    now: Instant,
) -> bool {
    if live <= model.minimum {
        return false;
    }
    usage.is_some_and(|u| now.saturating_duration_since(u.last) >= idle)
}
