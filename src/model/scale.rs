//! Decides how many replicas a model should have.
//!
//! A model gets its first replica as soon as a request waits for it, and another one when the
//! present replicas need longer for the waiting requests than a further load takes. An idle model
//! loses its replicas, down to the declared minimum.

use std::time::{Duration, Instant};

use super::eviction::Usage;
use crate::schema::declaration::Model;

/// Requests that wait for a model.
#[derive(Clone, Copy, Debug)]
pub struct Backlog {
    /// Number of waiting requests.
    pub requests: u32,
    /// Time the present replicas need to serve them.
    pub drain_time: Duration,
}

/// Number of replicas to add now, where `load` is the time that loading one takes.
pub fn replicas_to_add(model: &Model, live: u32, backlog: Option<Backlog>, load: Duration) -> u32 {
    let minimum = model.minimum.min(model.maximum);
    if live < minimum {
        return minimum - live;
    }
    let Some(backlog) = backlog else {
        return 0;
    };
    if live >= model.maximum || backlog.requests == 0 {
        return 0;
    }
    if live == 0 {
        return 1;
    }
    let behind = backlog.requests > model.slots && backlog.drain_time > load;
    u32::from(behind)
}

/// Whether a replica of the model may be unloaded because the model has not been used for `idle`.
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
