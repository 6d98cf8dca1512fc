//! Fakes of the store, the engines and the messages between VMs, which run in real time.
#![allow(dead_code, reason = "each test file uses a part of the fakes")]

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use basilgw::clock::{Clock, SystemClock};
use basilgw::engine::{
    CacheEvents, EngineControl, EngineError, LoadReport, Order, OrderAnswer, OrderKind,
    OrderStatus, ReplicaReport,
};
use basilgw::ids::{AdapterId, Epoch, Generation, ModelId, ObjectKey, ReplicaId, Version, VmId};
use basilgw::model::{
    ClusterSource, Config, DeclarationSource, ModelDeps, Models, ReplicaRequest, WakeClient,
    WakeError,
};
use basilgw::schema::declaration::{Adapter, Declaration, Model, Priority};
use basilgw::schema::engine::ReplicaState;
use basilgw::schema::peer::{WakeRequest, WakeResponse};
use basilgw::schema::settings::ModelSettings;
use basilgw::store::{Instance, InstanceKind, InstanceState, Object, ObjectStore, StoreError};
use basilgw::units::{Bytes, Tokens};
use futures_util::future::BoxFuture;

/// A store in memory; while `down` is set, every call fails without effect.
#[derive(Debug, Default)]
pub struct FakeStore {
    pub objects: Mutex<BTreeMap<ObjectKey, (Version, bytes::Bytes)>>,
    pub down: AtomicBool,
    pub calls: AtomicU32,
}

impl FakeStore {
    fn check(&self) -> Result<(), StoreError> {
        self.calls.fetch_add(1, Ordering::Relaxed);
        if self.down.load(Ordering::Relaxed) {
            return Err(StoreError::Unavailable);
        }
        Ok(())
    }
}

impl ObjectStore for FakeStore {
    fn get<'a>(&'a self, key: &'a ObjectKey) -> BoxFuture<'a, Result<Option<Object>, StoreError>> {
        Box::pin(async move {
            self.check()?;
            let objects = self.objects.lock().unwrap();
            let found = objects.get(key);
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
            self.check()?;
            let mut objects = self.objects.lock().unwrap();
            let now = objects.get(key).map_or(Version(0), |(version, _)| *version);
            if now != expected {
                return Err(StoreError::Conflict(now));
            }
            objects.insert(key.clone(), (now.next(), value));
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

#[derive(Debug)]
struct LoadedReplica {
    model: ModelId,
    version: basilgw::ids::VersionId,
    bytes: Bytes,
    ready: Instant,
    adapters: BTreeMap<AdapterId, Bytes>,
}

/// Engines in memory, which record the loads they executed. The next `lost_orders` orders have no
/// effect, and their responses are lost.
#[derive(Debug)]
pub struct FakeEngines {
    /// Time that a load takes.
    pub load_time: Duration,
    state: Mutex<BTreeMap<VmId, BTreeMap<ReplicaId, LoadedReplica>>>,
    fences: Mutex<BTreeMap<(VmId, ModelId), Epoch>>,
    pub loads: Mutex<Vec<ReplicaId>>,
    pub lost_orders: Mutex<u32>,
}

impl FakeEngines {
    pub fn new(load_time: Duration) -> Self {
        Self {
            load_time,
            state: Mutex::default(),
            fences: Mutex::default(),
            loads: Mutex::default(),
            lost_orders: Mutex::new(0),
        }
    }

    /// Restarts all engines: they lose their replicas.
    pub fn restart(&self) {
        self.state.lock().unwrap().clear();
    }

    pub fn replicas(&self) -> usize {
        self.state.lock().unwrap().values().map(BTreeMap::len).sum()
    }

    pub fn used(&self) -> Bytes {
        let state = self.state.lock().unwrap();
        let loaded = state.values().flat_map(BTreeMap::values);
        loaded
            .map(|h| h.bytes + h.adapters.values().copied().sum())
            .sum()
    }

    fn execute(&self, engine: &Instance, order: &Order) -> OrderStatus {
        let mut fences = self.fences.lock().unwrap();
        let key = (engine.vm.clone(), order.model.clone());
        let fence = fences.entry(key).or_default();
        if engine.fenced && order.fence < *fence {
            return OrderStatus::Stale;
        }
        *fence = order.fence.max(*fence);
        let mut state = self.state.lock().unwrap();
        let replicas = state.entry(engine.vm.clone()).or_default();
        let entry = replicas.get_mut(&order.replica);
        match (order.kind, entry, &order.adapter) {
            (OrderKind::Load, None, _) => {
                self.loads.lock().unwrap().push(order.replica.clone());
                let loaded = LoadedReplica {
                    model: order.model.clone(),
                    version: order.version.clone(),
                    bytes: order.bytes,
                    ready: Instant::now() + self.load_time,
                    adapters: BTreeMap::new(),
                };
                replicas.insert(order.replica.clone(), loaded);
            }
            (OrderKind::Unload, Some(_), _) => {
                replicas.remove(&order.replica);
            }
            (OrderKind::Attach, Some(loaded), Some(adapter)) => {
                loaded.adapters.insert(adapter.clone(), order.bytes);
            }
            (OrderKind::Detach, Some(loaded), Some(adapter)) => {
                loaded.adapters.remove(adapter);
            }
            (OrderKind::Attach, None, _) => return OrderStatus::Unknown,
            _ => {}
        }
        OrderStatus::Accepted
    }
}

impl EngineControl for FakeEngines {
    fn order<'a>(
        &'a self,
        engine: &'a Instance,
        order: &'a Order,
    ) -> BoxFuture<'a, Result<OrderAnswer, EngineError>> {
        Box::pin(async move {
            let mut lost_orders = self.lost_orders.lock().unwrap();
            if *lost_orders > 0 {
                *lost_orders -= 1;
                return Err(EngineError::Unknown);
            }
            let status = self.execute(engine, order);
            Ok(OrderAnswer { status })
        })
    }

    fn report<'a>(
        &'a self,
        engine: &'a Instance,
    ) -> BoxFuture<'a, Result<LoadReport, EngineError>> {
        Box::pin(async move {
            let now = Instant::now();
            let mut state = self.state.lock().unwrap();
            let replicas = state.entry(engine.vm.clone()).or_default();
            let reports = replicas.iter().map(|(id, loaded)| ReplicaReport {
                adapters: loaded.adapters.keys().cloned().collect(),
                bytes: loaded.bytes,
                model: loaded.model.clone(),
                queued: 0,
                replica: id.clone(),
                running: 0,
                state: if loaded.ready <= now {
                    ReplicaState::Ready
                } else {
                    ReplicaState::Loading
                },
                version: loaded.version.clone(),
            });
            Ok(LoadReport {
                age: 0,
                checkpoints: Vec::new(),
                generation: engine.generation,
                leaving: false,
                memory: engine.memory.unwrap_or_default(),
                replicas: reports.collect(),
                used: Bytes::ZERO,
            })
        })
    }

    fn events<'a>(
        &'a self,
        _engine: &'a Instance,
        from: u64,
    ) -> BoxFuture<'a, Result<CacheEvents, EngineError>> {
        Box::pin(async move {
            Ok(CacheEvents {
                events: Vec::new(),
                next: from,
            })
        })
    }
}

/// The engines and VMs of the platform's list, and the declaration in force.
#[derive(Debug)]
pub struct FakeCluster {
    pub engines: Mutex<Arc<Vec<Instance>>>,
    pub vms: Vec<VmId>,
    pub declaration: Arc<Declaration>,
}

impl ClusterSource for FakeCluster {
    fn engines(&self) -> Arc<Vec<Instance>> {
        Arc::clone(&self.engines.lock().unwrap())
    }

    fn vms(&self) -> Arc<Vec<VmId>> {
        Arc::new(self.vms.clone())
    }
}

impl DeclarationSource for FakeCluster {
    fn current(&self) -> Arc<Declaration> {
        Arc::clone(&self.declaration)
    }
}

/// Passes wake messages directly to the [`Models`] of other VMs; those in `unreachable` fail.
#[derive(Debug, Default)]
pub struct FakeWakeClient {
    pub models: Mutex<BTreeMap<VmId, Arc<Models>>>,
    pub unreachable: Mutex<BTreeSet<VmId>>,
}

impl WakeClient for FakeWakeClient {
    fn send_wake<'a>(
        &'a self,
        to: &'a VmId,
        wake: WakeRequest,
    ) -> BoxFuture<'a, Result<WakeResponse, WakeError>> {
        Box::pin(async move {
            if self.unreachable.lock().unwrap().contains(to) {
                return Err(WakeError::Unreachable);
            }
            let found = self.models.lock().unwrap().get(to).cloned();
            let models = found.ok_or(WakeError::Unreachable)?;
            Ok(models.handle_wake(wake).await)
        })
    }
}

pub fn id<T>(text: &str) -> T
where
    T: std::str::FromStr,
    T::Err: std::fmt::Debug,
{
    text.parse().unwrap()
}

pub fn engine(name: &str, memory: u64, fenced: bool) -> Instance {
    Instance {
        address: "127.0.0.1:1".into(),
        centre: id("dc1"),
        fenced,
        generation: Generation(1),
        kind: InstanceKind::Engine,
        memory: Some(Bytes(memory)),
        service: None,
        state: InstanceState::Live,
        vm: id(name),
    }
}

pub fn model(weights: u64, maximum: u32, slots: u32) -> Model {
    Model {
        floor: Bytes(10),
        maximum,
        minimum: 0,
        slots,
        version: id("v1"),
        weights: Bytes(weights),
    }
}

pub fn declaration(models: &[(&str, Model)], adapters: &[(&str, &str)]) -> Arc<Declaration> {
    let adapter = |(name, of): &(&str, &str)| {
        let adapter = Adapter {
            model: id(of),
            version: id("v1"),
            weights: Bytes(5),
        };
        (id(name), adapter)
    };
    Arc::new(Declaration {
        models: models.iter().map(|(n, m)| (id(n), m.clone())).collect(),
        adapters: adapters.iter().map(adapter).collect(),
        ..Declaration::default()
    })
}

pub fn replica_request(request: &str, model: &str, wait: Duration) -> ReplicaRequest {
    ReplicaRequest {
        id: id(request),
        account: id("account"),
        priority: Priority::Interactive,
        model: id(model),
        adapter: None,
        work: Tokens(100),
        deadline: Instant::now() + wait,
    }
}

pub fn config(vm: &VmId, order: Duration, idle: Duration) -> Config {
    Config {
        vm: vm.clone(),
        models: ModelSettings {
            adapters: 32,
            bandwidth: 1000,
            idle: idle.as_millis() as u64,
            order: order.as_millis() as u64,
            slots: 4,
            starts: 5,
        },
        report_interval: Duration::from_millis(50),
        max_waiting: 1000,
    }
}

/// A deployment: the store, the engines, the platform's list, and the VMs that were spawned.
#[derive(Debug)]
pub struct Deployment {
    pub store: Arc<FakeStore>,
    pub engines: Arc<FakeEngines>,
    pub cluster: Arc<FakeCluster>,
    pub wake_client: Arc<FakeWakeClient>,
}

impl Deployment {
    pub fn new(engines: Vec<Instance>, vms: &[&str], declaration: Arc<Declaration>) -> Self {
        Self {
            store: Arc::default(),
            engines: Arc::new(FakeEngines::new(Duration::from_millis(100))),
            cluster: Arc::new(FakeCluster {
                engines: Mutex::new(Arc::new(engines)),
                vms: vms.iter().map(|vm| id(vm)).collect(),
                declaration,
            }),
            wake_client: Arc::default(),
        }
    }

    pub fn spawn(&self, vm: &str, order: Duration, idle: Duration) -> Arc<Models> {
        let deps = ModelDeps {
            store: Arc::<FakeStore>::clone(&self.store),
            engines: Arc::<FakeEngines>::clone(&self.engines),
            cluster: Arc::<FakeCluster>::clone(&self.cluster),
            declaration: Arc::<FakeCluster>::clone(&self.cluster),
            wake_client: Arc::<FakeWakeClient>::clone(&self.wake_client),
            clock: SystemClock::open() as Arc<dyn Clock>,
            log: slog::Logger::root(slog::Discard, slog::o!()),
        };
        let vm: VmId = id(vm);
        let models = Arc::new(Models::spawn(config(&vm, order, idle), deps));
        let mut known = self.wake_client.models.lock().unwrap();
        known.insert(vm, Arc::clone(&models));
        models
    }
}

/// Waits until `holds` returns true; fails after 20 seconds.
pub async fn wait_until<F>(what: &str, mut holds: F)
where
    F: FnMut() -> bool,
{
    let end = Instant::now() + Duration::from_secs(20);
    while !holds() {
        assert!(Instant::now() < end, "not in time: {what}");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}
