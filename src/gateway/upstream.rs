//! One upstream: its registration, its load, and its recent failures as seen by this VM.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::ids::{AdapterId, DataCentre, ModelId, ServiceId, UpstreamId};

use super::engine_pace::EnginePace;
use super::request::Target;
use super::slowdown::Slowdown;

/// An upstream's registration in the platform's store, which the upstream itself writes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Registration {
    /// Id of the upstream; a restarted upstream has the same id and another start time.
    pub id: UpstreamId,
    /// Start time, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// Service that it belongs to.
    pub service: ServiceId,
    /// Address for requests and, at an engine, for orders.
    pub address: SocketAddr,
    /// Data centre that it runs in.
    pub centre: DataCentre,
    /// Number of requests that it can run at once.
    pub slots: u32,
    /// Whether it is leaving and accepts no new requests.
    pub leaving: bool,
    /// Models on the engine; empty for a plain service.
    pub inventory: ModelInventory,
    /// Time for which it still warms up, in milliseconds, as of the registration's last write;
    /// absent where it does not say.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub warm_up_ms: Option<u64>,
}

/// One run of an upstream, from its start to its end.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct UpstreamInstance {
    /// Id of the upstream; one that is restarted may keep it.
    pub id: UpstreamId,
    /// Start time, in milliseconds since the Unix epoch.
    pub started_ms: u64,
}

impl From<&Registration> for UpstreamInstance {
    fn from(registration: &Registration) -> Self {
        Self {
            id: registration.id.clone(),
            started_ms: registration.started_ms,
        }
    }
}

/// The models and adapters loaded on an engine, and its local copies of weights, from which a
/// model loads faster than from the weight store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelInventory {
    /// Loaded models, each with its loaded adapters.
    pub loaded: BTreeMap<ModelId, BTreeSet<AdapterId>>,
    /// Models whose weights are in the engine's memory.
    pub in_memory: BTreeSet<ModelId>,
    /// Models whose weights are on the engine's disk.
    pub on_disk: BTreeSet<ModelId>,
}

impl ModelInventory {
    /// Whether the model of `target`, and its adapter if it names one, are loaded.
    pub fn can_serve(&self, target: &Target) -> bool {
        let Some(adapters) = self.loaded.get(&target.model) else {
            return false;
        };
        target.adapter.as_ref().is_none_or(|a| adapters.contains(a))
    }
}

/// Length of the first ejection; each further failure doubles it.
const MIN_EJECTION: Duration = Duration::from_millis(500);
/// Longest ejection.
const MAX_EJECTION: Duration = Duration::from_secs(4);
/// Consecutive failures after which an upstream is ejected, that is, taken out of use for a while.
const FAILURES_TO_EJECT: u32 = 2;

/// Load and recent failures of an upstream.
#[derive(Debug, Default)]
pub struct UpstreamHealth {
    /// Running requests of this VM.
    running: AtomicU32,
    /// Running requests that the other VMs have reported.
    peer_load: AtomicU32,
    /// Running requests of this VM by model.
    running_models: Mutex<BTreeMap<ModelId, u32>>,
    ejection: Mutex<Ejection>,
    /// Time before which the upstream wants no requests of this VM.
    deferred: Mutex<Option<Instant>>,
    /// What the streams of this VM show of it.
    pace: Mutex<EnginePace>,
    slowdown: Mutex<Slowdown>,
}

#[derive(Debug, Default)]
struct Ejection {
    /// Failures since the last success.
    failures: u32,
    /// End of the last ejection.
    until: Option<Instant>,
    /// Length of the last ejection.
    length: Option<Duration>,
}

impl UpstreamHealth {
    /// Number of running requests of this VM.
    pub fn running(&self) -> u32 {
        self.running.load(Ordering::Relaxed)
    }

    /// Number of running requests of all VMs, as far as reported.
    pub fn load(&self) -> u32 {
        self.running() + self.peer_load.load(Ordering::Relaxed)
    }

    /// Sets the number of running requests that the other VMs have reported.
    pub fn set_peer_load(&self, requests: u32) {
        self.peer_load.store(requests, Ordering::Relaxed);
    }

    /// Counts a running request until the guard is dropped; `model` is absent for a request to a
    /// plain service.
    pub fn start_request(self: &Arc<Self>, model: Option<&ModelId>) -> RequestGuard {
        self.running.fetch_add(1, Ordering::Relaxed);
        if let Some(model) = model {
            *self.lock_models().entry(model.clone()).or_default() += 1;
        }
        RequestGuard {
            health: Arc::clone(self),
            model: model.cloned(),
        }
    }

    /// Number of running requests of this VM by model.
    pub fn running_by_model(&self) -> BTreeMap<ModelId, u32> {
        self.lock_models().clone()
    }

    fn lock_models(&self) -> std::sync::MutexGuard<'_, BTreeMap<ModelId, u32>> {
        self.running_models
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Resets failures and ejection after a successful response.
    pub fn on_success(&self) {
        let mut ejection = self.lock();
        *ejection = Ejection::default();
    }

    /// Counts a failure that the upstream caused, and ejects the upstream if it had too many.
    pub fn on_failure(&self, now: Instant) {
        let mut ejection = self.lock();
        ejection.failures += 1;
        if ejection.failures < FAILURES_TO_EJECT {
            return;
        }
        let length = ejection.length.map_or(MIN_EJECTION, |last| last * 2);
        let length = length.min(MAX_EJECTION);
        ejection.length = Some(length);
        ejection.until = Some(now + length);
    }

    /// Whether the upstream is ejected because of its failures.
    pub fn is_ejected(&self, now: Instant) -> bool {
        self.lock().until.is_some_and(|until| now < until)
    }

    /// Sends no requests to the upstream before `until`, because it asked for that.
    pub fn defer(&self, until: Instant) {
        let mut deferred = self.lock_deferred();
        *deferred = (*deferred).max(Some(until));
    }

    /// Time before which the upstream wants no requests of this VM; `None` if it accepts them now.
    pub fn deferred_until(&self, now: Instant) -> Option<Instant> {
        self.lock_deferred().filter(|until| now < *until)
    }

    /// How much longer work takes here than usual.
    pub fn slowdown(&self) -> std::sync::MutexGuard<'_, Slowdown> {
        self.slowdown.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// What the streams of this VM show of the upstream.
    pub fn pace(&self) -> std::sync::MutexGuard<'_, EnginePace> {
        self.pace.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_deferred(&self) -> std::sync::MutexGuard<'_, Option<Instant>> {
        self.deferred.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Ejection> {
        self.ejection.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Counts a running request at an upstream until it is dropped.
#[derive(Debug)]
pub struct RequestGuard {
    health: Arc<UpstreamHealth>,
    model: Option<ModelId>,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.health.running.fetch_sub(1, Ordering::Relaxed);
        let Some(model) = &self.model else {
            return;
        };
        let mut models = self.health.lock_models();
        if let Some(count) = models.get_mut(model) {
            *count -= 1;
            if *count == 0 {
                models.remove(model);
            }
        }
    }
}

/// An upstream in use.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// Registration, with the leader's newer inventory updates applied to it.
    pub registration: Arc<Registration>,
    /// Load and recent failures.
    pub health: Arc<UpstreamHealth>,
}
