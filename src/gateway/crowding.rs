//! Models whose engines have more requests than they can run.
//!
//! The rate of a model's requests follows a shift of demand with a delay, and tells neither what a
//! request costs nor what else its engines hold. Requests that run or queue there show all of it at
//! once: a model is crowded when its requests are at engines that have more requests than slots.
//! It gets one more replica, and after that none until the requests have had time to spread. The
//! replicas are kept until fewer would do with some room to spare.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::ids::{ModelId, UpstreamId};

use super::placement::EngineView;

/// Requests at an engine, as a share of its slots, above which it is full.
const FULL_SHARE: f64 = 1.0;
/// Share of the slots that the requests may take if one replica fewer is to do.
const KEPT_SHARE: f64 = 0.75;
/// Time after a load within which requests spread to the new replica and the queues at the others
/// shorten.
const SPREAD_TIME: Duration = Duration::from_secs(3);

/// Requests of one model, and how full the engines are that they are at.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Crowding {
    /// Requests that run or queue at engines.
    pub requests: u32,
    /// Requests at an engine as a share of its slots; the mean over this model's requests.
    pub occupancy: f64,
    /// Engines that have the model loaded.
    replicas: usize,
    /// Whether a replica was loaded so lately that requests are still spreading.
    spreading: bool,
}

impl Crowding {
    /// Whether the requests need replica number `count`, from 1.
    pub fn needs(&self, count: usize) -> bool {
        if count > self.replicas {
            return count == self.replicas + 1 && !self.spreading && self.is_crowded();
        }
        let kept = (self.replicas as f64 * self.occupancy / KEPT_SHARE).ceil();
        count as f64 <= kept
    }

    fn is_crowded(&self) -> bool {
        self.occupancy > FULL_SHARE
    }
}

/// Requests at an engine as a share of its slots.
pub fn occupancy(engine: &EngineView) -> f64 {
    let requests: u32 = engine.running_requests.values().sum();
    f64::from(requests) / f64::from(engine.slots.max(1))
}

/// Whether an engine has more requests than slots.
pub fn is_full(engine: &EngineView) -> bool {
    occupancy(engine) > FULL_SHARE
}

/// The crowding of each model that has requests at engines.
pub fn by_model(
    engines: &BTreeMap<UpstreamId, EngineView>,
    now: Instant,
) -> BTreeMap<ModelId, Crowding> {
    let mut models: BTreeMap<ModelId, Crowding> = BTreeMap::new();
    for engine in engines.values() {
        let share = occupancy(engine);
        for (model, requests) in &engine.running_requests {
            let entry = models.entry(model.clone()).or_default();
            entry.requests += requests;
            entry.occupancy += share * f64::from(*requests);
        }
    }
    for (model, entry) in &mut models {
        entry.occupancy /= f64::from(entry.requests.max(1));
        let held = engines.values();
        let held = held.filter(|engine| engine.inventory.loaded.contains_key(model));
        for engine in held {
            entry.replicas += 1;
            let since = engine.held_since.get(model);
            let age = since.map(|at| now.saturating_duration_since(*at));
            entry.spreading |= age.is_some_and(|age| age < SPREAD_TIME);
        }
    }
    models
}
