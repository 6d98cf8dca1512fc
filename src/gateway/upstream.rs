//! What is known of one upstream: its own words, and how it has fared with this VM's requests.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use crate::ids::{AdapterId, DataCentre, ModelId, ServiceId, UpstreamId};

use super::call::Target;

/// An upstream's account of itself, as it registers it.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Identity, together with the start.
    pub id: UpstreamId,
    /// Start of this run, in milliseconds since the Unix epoch.
    pub born: u64,
    /// Service that it belongs to.
    pub service: ServiceId,
    /// Address.
    pub address: SocketAddr,
    /// Data centre.
    pub centre: DataCentre,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it leaves.
    pub leaving: bool,
    /// What it holds, where it serves models.
    pub holds: Holdings,
}

/// The models and adapters of an engine, and the copies of weights that are quick to load.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Holdings {
    /// Models that serve, with their adapters.
    pub models: BTreeMap<ModelId, BTreeSet<AdapterId>>,
    /// Models whose weights lie in the engine's memory.
    pub in_memory: BTreeSet<ModelId>,
    /// Models whose weights lie on the engine's disk.
    pub on_disk: BTreeSet<ModelId>,
}

impl Holdings {
    /// Whether a request for `target` can run.
    pub fn serve(&self, target: &Target) -> bool {
        let Some(adapters) = self.models.get(&target.model) else {
            return false;
        };
        target.adapter.as_ref().is_none_or(|a| adapters.contains(a))
    }
}

const FIRST_PENALTY: Duration = Duration::from_millis(500);
const MAX_PENALTY: Duration = Duration::from_secs(4);
/// Failures in a row that take an upstream out of use.
const FAILURES_TO_EJECT: u32 = 2;

/// How an upstream fares with this VM's requests.
#[derive(Debug, Default)]
pub struct Pulse {
    running: AtomicU32,
    elsewhere: AtomicU32,
    models: Mutex<BTreeMap<ModelId, u32>>,
    state: Mutex<Ejection>,
}

#[derive(Debug, Default)]
struct Ejection {
    failures: u32,
    until: Option<Instant>,
    penalty: Option<Duration>,
}

impl Pulse {
    /// Requests of this VM that it works on.
    pub fn running(&self) -> u32 {
        self.running.load(Ordering::Relaxed)
    }

    /// Requests of all VMs that it works on, as far as told.
    pub fn load(&self) -> u32 {
        self.running() + self.elsewhere.load(Ordering::Relaxed)
    }

    /// Takes other VMs' word for how many requests they have there.
    pub fn tell_elsewhere(&self, requests: u32) {
        self.elsewhere.store(requests, Ordering::Relaxed);
    }

    /// Counts a request, for a model or for none, until the guard is dropped.
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

    /// Requests of this VM by model.
    pub fn runs(&self) -> BTreeMap<ModelId, u32> {
        self.models().clone()
    }

    fn models(&self) -> std::sync::MutexGuard<'_, BTreeMap<ModelId, u32>> {
        self.models.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes a good answer.
    pub fn on_success(&self) {
        let mut state = self.lock();
        *state = Ejection::default();
    }

    /// Takes a failure that speaks against the upstream.
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

    /// Whether it is out of use for its failures.
    pub fn ejected(&self, now: Instant) -> bool {
        self.lock().until.is_some_and(|until| now < until)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Ejection> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Counts a running request at an upstream while it lives.
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
    /// Its own words.
    pub entry: Arc<Entry>,
    /// How it fares.
    pub pulse: Arc<Pulse>,
}
