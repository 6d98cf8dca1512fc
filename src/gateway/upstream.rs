//! One upstream: its registration, its load, and its recent failures as seen by this VM.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use crate::ids::{AdapterId, DataCentre, ModelId, ServiceId, UpstreamId};

use super::call::Target;

/// An upstream's registration in the platform's store, which the upstream itself writes.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Id of the upstream; a restarted upstream has the same id and another start time.
    pub id: UpstreamId,
    /// Start time, in milliseconds since the Unix epoch.
    pub born: u64,
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
    pub holds: Holdings,
}

/// The models and adapters loaded on an engine, and its local copies of weights, from which a
/// model loads faster than from the weight store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Holdings {
    /// Loaded models, each with its loaded adapters.
    pub models: BTreeMap<ModelId, BTreeSet<AdapterId>>,
    /// Models whose weights are in the engine's memory.
    pub in_memory: BTreeSet<ModelId>,
    /// Models whose weights are on the engine's disk.
    pub on_disk: BTreeSet<ModelId>,
}

impl Holdings {
    /// Whether the model of `target`, and its adapter if it names one, are loaded.
    pub fn serve(&self, target: &Target) -> bool {
        let Some(adapters) = self.models.get(&target.model) else {
            return false;
        };
        target.adapter.as_ref().is_none_or(|a| adapters.contains(a))
    }
}

/// Length of the first ejection; each further failure doubles it.
const FIRST_PENALTY: Duration = Duration::from_millis(500);
/// Longest ejection.
const MAX_PENALTY: Duration = Duration::from_secs(4);
/// Consecutive failures after which an upstream is ejected, that is, taken out of use for a while.
const FAILURES_TO_EJECT: u32 = 2;

/// Load and recent failures of an upstream.
#[derive(Debug, Default)]
pub struct Pulse {
    /// Running requests of this VM.
    running: AtomicU32,
    /// Running requests that the other VMs have reported.
    elsewhere: AtomicU32,
    /// Running requests of this VM by model.
    models: Mutex<BTreeMap<ModelId, u32>>,
    state: Mutex<Ejection>,
}

#[derive(Debug, Default)]
struct Ejection {
    /// Failures since the last success.
    failures: u32,
    /// End of the last ejection.
    until: Option<Instant>,
    /// Length of the last ejection.
    penalty: Option<Duration>,
}

impl Pulse {
    /// Number of running requests of this VM.
    pub fn running(&self) -> u32 {
        self.running.load(Ordering::Relaxed)
    }

    /// Number of running requests of all VMs, as far as reported.
    pub fn load(&self) -> u32 {
        self.running() + self.elsewhere.load(Ordering::Relaxed)
    }

    /// Sets the number of running requests that the other VMs have reported.
    pub fn tell_elsewhere(&self, requests: u32) {
        self.elsewhere.store(requests, Ordering::Relaxed);
    }

    /// Counts a running request until the guard is dropped; `model` is absent for a request to a
    /// plain service.
    pub fn begin(self: &Arc<Self>, model: Option<&ModelId>) -> Running {
        self.running.fetch_add(1, Ordering::Relaxed);
        if let Some(model) = model {
            *self.models().entry(model.clone()).or_default() += 1;
        }
        Running {
            pulse: Arc::clone(self),
            model: model.cloned(),
        }
    }

    /// Number of running requests of this VM by model.
    pub fn runs(&self) -> BTreeMap<ModelId, u32> {
        self.models().clone()
    }

    fn models(&self) -> std::sync::MutexGuard<'_, BTreeMap<ModelId, u32>> {
        self.models.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Resets failures and ejection after a successful response.
    pub fn on_success(&self) {
        let mut state = self.lock();
        *state = Ejection::default();
    }

    /// Counts a failure that the upstream caused, and ejects the upstream if it had too many.
    pub fn on_failure(&self, now: Instant) {
        let mut state = self.lock();
        state.failures += 1;
        if state.failures < FAILURES_TO_EJECT {
            return;
        }
        let penalty = state.penalty.map_or(FIRST_PENALTY, |p| p * 2);
        let penalty = penalty.min(MAX_PENALTY);
        state.penalty = Some(penalty);
        state.until = Some(now + penalty);
    }

    /// Whether the upstream is ejected because of its failures.
    pub fn ejected(&self, now: Instant) -> bool {
        self.lock().until.is_some_and(|until| now < until)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Ejection> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Counts a running request at an upstream until it is dropped.
#[derive(Debug)]
pub struct Running {
    pulse: Arc<Pulse>,
    model: Option<ModelId>,
}

impl Drop for Running {
    fn drop(&mut self) {
        self.pulse.running.fetch_sub(1, Ordering::Relaxed);
        let Some(model) = &self.model else {
            return;
        };
        let mut models = self.pulse.models();
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
    /// Registration, including newer changes that the leader has announced.
    pub entry: Arc<Entry>,
    /// Load and recent failures.
    pub pulse: Arc<Pulse>,
}
