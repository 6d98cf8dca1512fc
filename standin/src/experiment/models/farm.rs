//! Engines, the weight store they load from, and the platform's objects, in virtual time.

use std::collections::{BTreeMap, BTreeSet};
use std::future::poll_fn;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::task::Poll;
use std::time::{Duration, Instant, SystemTime};

use basilgw::clock::{BootTime, Clock};
use basilgw::engine::{
    CacheEvents, EngineControl, EngineError, LoadReport, Order, OrderAnswer, OrderKind,
    OrderStatus, ReplicaReport,
};
use basilgw::ids::{AdapterId, Epoch, ModelId, ObjectKey, ReplicaId, Version, VersionId, VmId};
use basilgw::model::placement::{Origin, load_time};
use basilgw::schema::engine::{Checkpoint, ReplicaState, Source};
use basilgw::store::{Instance, Object, ObjectStore, StoreError};
use basilgw::units::Bytes;
use futures_util::future::BoxFuture;

const MEMORY_CHECKPOINTS: usize = 2;

/// A clock that stands still until it is moved.
#[derive(Debug)]
pub struct VirtualClock(Mutex<Instant>);

impl VirtualClock {
    /// Starts now; only differences matter.
    pub fn new() -> Self {
        Self(Mutex::new(Instant::now()))
    }

    /// Moves the clock on.
    pub fn advance(&self, span: Duration) {
        *lock(&self.0) += span;
    }
}

impl Clock for VirtualClock {
    fn now(&self) -> Instant {
        *lock(&self.0)
    }

    fn wall(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH
    }

    fn boot(&self) -> BootTime {
        BootTime::default()
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// One loaded or loading replica.
#[derive(Clone, Debug)]
pub struct Held {
    /// Its model.
    pub model: ModelId,
    version: VersionId,
    /// Its memory without adapters.
    pub bytes: Bytes,
    origin: Origin,
    rest: f64,
    adapters: BTreeMap<AdapterId, Bytes>,
    /// Requests being served.
    pub running: u32,
    leaving: bool,
}

impl Held {
    /// Whether it serves.
    pub fn is_ready(&self) -> bool {
        self.rest <= 0.0
    }
}

#[derive(Debug, Default)]
struct Engine {
    held: BTreeMap<ReplicaId, Held>,
    fences: BTreeMap<ModelId, Epoch>,
    disk: BTreeSet<ModelId>,
    recent: Vec<ModelId>,
}

#[derive(Debug, Default)]
struct State {
    engines: BTreeMap<VmId, Engine>,
    objects: BTreeMap<ObjectKey, (Version, bytes::Bytes)>,
    down: bool,
    fuse: Option<u32>,
}

/// The engines and the store.
#[derive(Debug)]
pub struct Farm {
    state: Mutex<State>,
    /// Loads the weight store carries at full speed.
    pub slots: usize,
    /// What one load reads a second.
    pub bandwidth: Bytes,
    floor: Bytes,
    slowness: Mutex<f64>,
}

impl Farm {
    /// Engines without replicas.
    pub fn new(engines: &[Instance], slots: usize, bandwidth: Bytes, floor: Bytes) -> Self {
        let engines = engines.iter().map(|e| (e.vm.clone(), Engine::default()));
        let state = State {
            engines: engines.collect(),
            ..State::default()
        };
        Self {
            state: Mutex::new(state),
            slots,
            bandwidth,
            floor,
            slowness: Mutex::new(1.0),
        }
    }

    /// Puts a checkpoint on an engine's disk.
    pub fn store(&self, engine: &VmId, model: &ModelId) {
        if let Some(engine) = lock(&self.state).engines.get_mut(engine) {
            engine.disk.insert(model.clone());
        }
    }

    /// Slows the weight store down by a factor.
    pub fn slow(&self, factor: f64) {
        *lock(&self.slowness) = factor;
    }

    /// Takes the platform's store down or up.
    pub fn set_down(&self, down: bool) {
        lock(&self.state).down = down;
    }

    /// Holds the caller back at its call after `calls` more; `None` lets all through.
    pub fn set_fuse(&self, calls: Option<u32>) {
        lock(&self.state).fuse = calls;
    }

    /// Reads all objects below a prefix; `None` while the store is down.
    pub fn objects<T>(&self, prefix: &str) -> Option<Vec<(String, T)>>
    where
        T: serde::de::DeserializeOwned,
    {
        let state = lock(&self.state);
        if state.down {
            return None;
        }
        let found = state.objects.iter().filter_map(|(key, (_, value))| {
            let name = key.as_str().strip_prefix(prefix)?;
            let value = serde_json::from_slice(value).ok()?;
            Some((name.to_owned(), value))
        });
        Some(found.collect())
    }

    /// Lets loads go on for a while; those from the weight store share it.
    pub fn advance(&self, span: Duration) {
        let mut state = lock(&self.state);
        let held = state.engines.values().flat_map(|e| e.held.values());
        let remote = held.filter(|h| !h.is_ready() && h.origin == Origin::Remote);
        let share = self.slots as f64 / remote.count().max(self.slots) as f64;
        let remote_speed = share / *lock(&self.slowness);
        for engine in state.engines.values_mut() {
            for held in engine.held.values_mut() {
                let speed = if held.origin == Origin::Remote {
                    remote_speed
                } else {
                    1.0
                };
                held.rest -= span.as_secs_f64() * speed;
            }
            engine.drop_leaving();
        }
    }

    /// The least time any engine could load a model in now.
    pub fn best_time(&self, model: &ModelId, weights: Bytes) -> (Origin, Duration) {
        let state = lock(&self.state);
        let origins = state.engines.values().map(|e| e.origin(model));
        let origin = origins.min().unwrap_or(Origin::Remote);
        let mut time = load_time(origin, weights, self.bandwidth);
        if origin == Origin::Remote {
            time = time.mul_f64(*lock(&self.slowness));
        }
        (origin, time)
    }

    /// Whether a model is loaded or being loaded anywhere.
    pub fn is_held(&self, model: &ModelId) -> bool {
        let state = lock(&self.state);
        let mut held = state.engines.values().flat_map(|e| e.held.values());
        held.any(|h| &h.model == model && !h.leaving)
    }

    /// Starts a request on the least busy of these replicas; `None` where none serves any more.
    pub fn begin<'a, I>(&self, replicas: I, adapter: Option<&AdapterId>) -> Option<ReplicaId>
    where
        I: Iterator<Item = &'a ReplicaId>,
    {
        let mut state = lock(&self.state);
        let wanted: BTreeSet<&ReplicaId> = replicas.collect();
        let held = state.engines.values_mut().flat_map(|e| e.held.iter_mut());
        let usable = held.filter(|(id, h)| {
            let fits = adapter.is_none_or(|a| h.adapters.contains_key(a));
            wanted.contains(id) && h.is_ready() && !h.leaving && fits
        });
        let (id, held) = usable.min_by_key(|(_, h)| h.running)?;
        held.running += 1;
        Some(id.clone())
    }

    /// Ends a request.
    pub fn end(&self, replica: &ReplicaId) {
        let mut state = lock(&self.state);
        for engine in state.engines.values_mut() {
            if let Some(held) = engine.held.get_mut(replica) {
                held.running = held.running.saturating_sub(1);
            }
        }
    }

    /// Visits every replica with its engine.
    pub fn each<F>(&self, mut visit: F)
    where
        F: FnMut(&VmId, &ReplicaId, &Held),
    {
        for (vm, engine) in &lock(&self.state).engines {
            for (replica, held) in &engine.held {
                visit(vm, replica, held);
            }
        }
    }

    /// An engine's report.
    pub fn report_of(&self, instance: &Instance) -> Option<LoadReport> {
        let state = lock(&self.state);
        let engine = state.engines.get(&instance.vm)?;
        Some(LoadReport {
            age: 0,
            checkpoints: engine.checkpoints(),
            generation: instance.generation,
            leaving: false,
            memory: instance.memory.unwrap_or_default(),
            replicas: engine.replicas(),
            used: engine.used(),
        })
    }

    async fn gate(&self) {
        poll_fn(|_| {
            if self.passes() {
                Poll::Ready(())
            } else {
                Poll::Pending
            }
        })
        .await;
    }

    /// Counts a call against the fuse; `false` where the caller stops here.
    fn passes(&self) -> bool {
        match &mut lock(&self.state).fuse {
            Some(0) => false,
            Some(calls) => {
                *calls -= 1;
                true
            }
            None => true,
        }
    }
}

impl Engine {
    fn origin(&self, model: &ModelId) -> Origin {
        if self.recent.contains(model) {
            return Origin::Memory;
        }
        if self.disk.contains(model) {
            return Origin::Disk;
        }
        Origin::Remote
    }

    fn used(&self) -> Bytes {
        let held = self.held.values();
        held.map(|h| h.bytes + h.adapters.values().copied().sum())
            .sum()
    }

    fn drop_leaving(&mut self) {
        let gone: Vec<ReplicaId> = self
            .held
            .iter()
            .filter(|(_, h)| h.leaving && h.running == 0)
            .map(|(id, _)| id.clone())
            .collect();
        for id in gone {
            let Some(held) = self.held.remove(&id) else {
                continue;
            };
            self.recent.retain(|m| m != &held.model);
            self.recent.insert(0, held.model);
            self.recent.truncate(MEMORY_CHECKPOINTS);
        }
    }

    fn checkpoints(&self) -> Vec<Checkpoint> {
        let checkpoint = |model: &ModelId, source| Checkpoint {
            model: model.clone(),
            source,
            version: version(),
        };
        let disk = self.disk.iter().map(|m| checkpoint(m, Source::Disk));
        let memory = self.recent.iter().map(|m| checkpoint(m, Source::Memory));
        disk.chain(memory).collect()
    }

    fn replicas(&self) -> Vec<ReplicaReport> {
        let reports = self.held.iter().map(|(replica, held)| ReplicaReport {
            adapters: held.adapters.keys().cloned().collect(),
            bytes: held.bytes,
            model: held.model.clone(),
            queued: 0,
            replica: replica.clone(),
            running: held.running,
            state: match (held.leaving, held.is_ready()) {
                (true, _) => ReplicaState::Unloading,
                (false, true) => ReplicaState::Ready,
                (false, false) => ReplicaState::Loading,
            },
            version: held.version.clone(),
        });
        reports.collect()
    }

    fn carry_out(&mut self, fenced: bool, order: &Order, time: Duration) -> OrderStatus {
        let fence = self.fences.entry(order.model.clone()).or_default();
        if fenced && order.fence < *fence {
            return OrderStatus::Stale;
        }
        *fence = order.fence.max(*fence);
        let origin = self.origin(&order.model);
        let present = self.held.get_mut(&order.replica);
        match (order.kind, present, &order.adapter) {
            (OrderKind::Load, None, _) => {
                let held = Held {
                    model: order.model.clone(),
                    version: order.version.clone(),
                    bytes: order.bytes,
                    origin,
                    rest: time.as_secs_f64(),
                    adapters: BTreeMap::new(),
                    running: 0,
                    leaving: false,
                };
                self.held.insert(order.replica.clone(), held);
            }
            (OrderKind::Unload, Some(held), _) => held.leaving = true,
            (OrderKind::Attach, Some(held), Some(adapter)) => {
                held.adapters.insert(adapter.clone(), order.bytes);
            }
            (OrderKind::Detach, Some(held), Some(adapter)) => {
                held.adapters.remove(adapter);
            }
            (OrderKind::Attach | OrderKind::Detach, None, _) => return OrderStatus::Unknown,
            _ => {}
        }
        OrderStatus::Accepted
    }
}

/// The only version of every model.
pub fn version() -> VersionId {
    const NAME: &str = "v1";
    NAME.parse().unwrap_or_else(|_| unreachable!())
}

impl ObjectStore for Farm {
    fn get<'a>(&'a self, key: &'a ObjectKey) -> BoxFuture<'a, Result<Option<Object>, StoreError>> {
        Box::pin(async move {
            self.gate().await;
            let state = lock(&self.state);
            if state.down {
                return Err(StoreError::Unavailable);
            }
            let found = state.objects.get(key);
            Ok(found.map(|(version, value)| Object {
                version: *version,
                value: value.clone(),
            }))
        })
    }

    fn put<'a>(
        &'a self,
        key: &'a ObjectKey,
        expected: Version,
        value: bytes::Bytes,
    ) -> BoxFuture<'a, Result<Version, StoreError>> {
        Box::pin(async move {
            self.gate().await;
            let mut state = lock(&self.state);
            if state.down {
                return Err(StoreError::Unavailable);
            }
            let now = state.objects.get(key).map_or(Version(0), |(v, _)| *v);
            if now != expected {
                return Err(StoreError::Conflict(now));
            }
            state.objects.insert(key.clone(), (now.next(), value));
            Ok(now.next())
        })
    }

    fn delete<'a>(
        &'a self,
        _key: &'a ObjectKey,
        _expected: Version,
    ) -> BoxFuture<'a, Result<(), StoreError>> {
        Box::pin(async { Err(StoreError::Malformed) })
    }

    fn watch<'a>(
        &'a self,
        _key: &'a ObjectKey,
        _after: Version,
        _wait: Duration,
    ) -> BoxFuture<'a, Result<Option<Object>, StoreError>> {
        Box::pin(async { Err(StoreError::Malformed) })
    }
}

impl EngineControl for Farm {
    fn order<'a>(
        &'a self,
        engine: &'a Instance,
        order: &'a Order,
    ) -> BoxFuture<'a, Result<OrderAnswer, EngineError>> {
        Box::pin(async move {
            self.gate().await;
            let mut state = lock(&self.state);
            let Some(target) = state.engines.get_mut(&engine.vm) else {
                return Err(EngineError::Unreachable);
            };
            let origin = target.origin(&order.model);
            let weights = order.bytes.saturating_sub(self.floor);
            let time = load_time(origin, weights, self.bandwidth);
            let status = target.carry_out(engine.fenced, order, time);
            Ok(OrderAnswer { status })
        })
    }

    fn report<'a>(
        &'a self,
        engine: &'a Instance,
    ) -> BoxFuture<'a, Result<LoadReport, EngineError>> {
        Box::pin(async move { self.report_of(engine).ok_or(EngineError::Unreachable) })
    }

    fn events<'a>(
        &'a self,
        _engine: &'a Instance,
        _from: u64,
    ) -> BoxFuture<'a, Result<CacheEvents, EngineError>> {
        Box::pin(async { Err(EngineError::Malformed) })
    }
}
