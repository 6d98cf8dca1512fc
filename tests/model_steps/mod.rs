//! A simulation in virtual time of VMs that execute commands, a store and two engines.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};

use basilgw::clock::Clock;
use basilgw::engine::{
    EngineError, LoadReport, Order, OrderAnswer, OrderKind, OrderStatus, ReplicaReport,
};
use basilgw::ids::{AdapterId, Epoch, Generation, ModelId, ObjectKey, ReplicaId, Version};
use basilgw::model::executor::{ExecuteError, Executor, Load, Target, upstream_id};
use basilgw::model::intents::{
    IntentState, Intents, Reservations, engine_key, model_key, replica_id,
};
use basilgw::model::observations::{Observations, TimedReport};
use basilgw::schema::engine::ReplicaState;
use basilgw::store::{Instance, InstanceKind, InstanceState, Object, StoreError};
use basilgw::units::Bytes;
pub use event::{Act, Event, Fate};
use futures_util::future::BoxFuture;
use port::{Call, Port, Sent, TestClock, Write};

mod event;
mod port;

const LIFE: Duration = Duration::from_secs(30);
const MEMORY: Bytes = Bytes(100);
const WEIGHTS: Bytes = Bytes(40);
const FLOOR: Bytes = Bytes(5);
const ADAPTER: Bytes = Bytes(5);
pub const VMS: usize = 2;
pub const ENGINES: usize = 2;
const MAXIMA: [u32; 2] = [1, 2];

type Running = (
    BoxFuture<'static, Result<(), ExecuteError>>,
    Option<ReplicaId>,
    usize,
);

struct Vm {
    port: Arc<Port>,
    flows: Executor,
    running: Option<Running>,
    evidence: Observations,
    decided: BTreeMap<ModelId, Intents>,
    reserved: Vec<Reservations>,
    reports: Vec<Option<TimedReport>>,
}

#[derive(Clone, Debug)]
struct Loaded {
    model: ModelId,
    adapters: Vec<AdapterId>,
    leaving: bool,
}

struct Engine {
    instance: Instance,
    loaded: BTreeMap<ReplicaId, Loaded>,
    fences: BTreeMap<ModelId, Epoch>,
    history: Vec<(Instant, LoadReport)>,
}

pub struct World {
    clock: Arc<TestClock>,
    vms: Vec<Vm>,
    engines: Vec<Engine>,
    objects: BTreeMap<ObjectKey, Vec<bytes::Bytes>>,
    late_writes: Vec<Write>,
    late_orders: Vec<Sent>,
    nonce: u64,
}

fn id<T>(text: &str) -> T
where
    T: std::str::FromStr,
    T::Err: std::fmt::Debug,
{
    text.parse().unwrap()
}

fn model(n: usize) -> ModelId {
    id(&format!("m{n}"))
}

fn adapter() -> AdapterId {
    id("a")
}

impl Vm {
    fn new(clock: &Arc<TestClock>) -> Self {
        let port = Arc::new(Port {
            calls: Mutex::default(),
            clock: Arc::clone(clock),
        });
        let flows = Executor {
            store: Arc::<Port>::clone(&port),
            engines: Arc::<Port>::clone(&port),
            clock: Arc::<TestClock>::clone(clock),
            order_lifetime: LIFE,
        };
        Self {
            port,
            flows,
            running: None,
            evidence: Observations::default(),
            decided: BTreeMap::new(),
            reserved: vec![Reservations::default(); ENGINES],
            reports: vec![None; ENGINES],
        }
    }

    /// Whether the planner would give this command, according to what this VM has observed.
    fn allows(&self, act: Act, target: &Target, engine: usize, state: IntentState) -> bool {
        let seen = self.reports[engine].as_ref();
        let replica = &target.replica;
        match act {
            Act::Ready => seen.is_some_and(|s| s.has_replica(replica)),
            Act::Release => {
                let gone = seen.is_some_and(|s| self.evidence.is_replica_gone(replica, s, LIFE));
                state == IntentState::Unloading && gone
            }
            Act::DropAdapter => seen.is_some_and(|s| {
                let evidence = &self.evidence;
                evidence
                    .gone_adapter_epoch(replica, &adapter(), s, LIFE)
                    .is_some()
            }),
            Act::Attach | Act::Detach => state == IntentState::Ready,
            _ => true,
        }
    }

    fn intents(&self) -> Vec<(Target, usize, IntentState)> {
        let mut intents = Vec::new();
        for (model, decided) in &self.decided {
            for (replica, intent) in &decided.replicas {
                let target = target(model, replica, WEIGHTS + FLOOR);
                let engine = usize::from(intent.engine.as_str() == "e1");
                intents.push((target, engine, intent.state));
            }
        }
        intents
    }
}

fn target(model: &ModelId, replica: &ReplicaId, bytes: Bytes) -> Target {
    Target {
        model: model.clone(),
        replica: replica.clone(),
        version: id("v"),
        bytes,
    }
}

impl World {
    pub fn new() -> Self {
        let clock = Arc::new(TestClock(Mutex::new(Instant::now() + LIFE * 100)));
        let engines = (0..ENGINES).map(|n| Engine {
            instance: Instance {
                address: "".into(),
                centre: id("dc"),
                fenced: n == 0,
                generation: Generation(1),
                kind: InstanceKind::Engine,
                memory: Some(MEMORY),
                service: None,
                state: InstanceState::Live,
                vm: id(&format!("e{n}")),
            },
            loaded: BTreeMap::new(),
            fences: BTreeMap::new(),
            history: Vec::new(),
        });
        Self {
            vms: (0..VMS).map(|_| Vm::new(&clock)).collect(),
            engines: engines.collect(),
            clock,
            objects: BTreeMap::new(),
            late_writes: Vec::new(),
            late_orders: Vec::new(),
            nonce: 0,
        }
    }

    pub fn apply(&mut self, event: Event) {
        match event {
            Event::Start {
                vm,
                act,
                pick,
                fates,
            } => {
                self.start(vm, act, pick);
                self.resume(vm, fates);
            }
            Event::Resume { vm, fates } => self.resume(vm, fates),
            Event::Late { pick } => self.late(pick),
            Event::Observe { vm } => self.observe(vm),
            Event::Report { vm, back } => self.report(vm, back),
            Event::Crash { vm } => {
                self.abandon(vm);
                self.vms[vm] = Vm::new(&self.clock);
            }
            Event::Advance { quarters } => {
                *self.clock.0.lock().unwrap() += LIFE / 4 * quarters;
                for engine in &mut self.engines {
                    engine.loaded.retain(|_, loaded| !loaded.leaving);
                }
            }
            Event::Restart { engine } => {
                let engine = &mut self.engines[engine];
                engine.loaded.clear();
                engine.instance.generation = engine.instance.generation.next();
            }
        }
        let now = self.clock.now();
        self.late_orders.retain(|sent| sent.at + LIFE > now);
        for engine in &mut self.engines {
            engine.snapshot(now);
        }
    }

    /// Moves the calls that a crashed VM had sent to the late ones, which may still take effect.
    fn abandon(&mut self, vm: usize) {
        for call in std::mem::take(&mut *self.vms[vm].port.calls.lock().unwrap()) {
            match call {
                Call::Put(write, _) => self.late_writes.push(write),
                Call::Order(sent, _) => self.late_orders.push(sent),
                Call::Get(..) => {}
            }
        }
    }

    fn start(&mut self, vm: usize, act: Act, pick: usize) {
        if self.vms[vm].running.is_some() {
            return;
        }
        let Some((future, replica, engine)) = self.flow(vm, act, pick) else {
            return;
        };
        self.vms[vm].running = Some((future, replica, engine));
        self.poll(vm);
    }

    fn flow(&mut self, vm: usize, act: Act, pick: usize) -> Option<Running> {
        let flows = self.vms[vm].flows.clone();
        if let Act::Load = act {
            let model = model(pick % MAXIMA.len());
            let engine = pick / MAXIMA.len() % ENGINES;
            self.nonce += 1;
            let load = Load {
                replica: replica_id(&model, self.nonce).unwrap(),
                maximum: MAXIMA[pick % MAXIMA.len()],
                model,
                version: id("v"),
                weights: WEIGHTS,
                floor: FLOOR,
                memory: MEMORY,
            };
            let instance = self.engines[engine].instance.clone();
            let future = Box::pin(async move { flows.load(&instance, &load).await.map(drop) });
            return Some((future, None, engine));
        }
        let this = &self.vms[vm];
        if let Act::Sweep | Act::Expel = act {
            return self.stray(vm, act, pick);
        }
        let mut intents = this.intents();
        intents.retain(|(target, engine, state)| this.allows(act, target, *engine, *state));
        let (target, engine, _) = intents.get(pick % intents.len().max(1))?.clone();
        let instance = self.engines[engine].instance.clone();
        let at = upstream_id(&instance).unwrap();
        let seen = this.reports[engine].as_ref();
        let replica = target.replica.clone();
        let small = Target {
            bytes: ADAPTER,
            ..target.clone()
        };
        let future: BoxFuture<'static, Result<(), ExecuteError>> = match act {
            Act::Renew => Box::pin(async move { flows.renew(&instance, &target).await.map(drop) }),
            Act::Ready if seen?.has_replica(&replica) => {
                Box::pin(async move { flows.ready(&target.model, &target.replica).await.map(drop) })
            }
            Act::Unload => {
                let future = async move { flows.unload(&instance, &target).await.map(drop) };
                return Some((Box::pin(future), Some(replica), engine));
            }
            Act::Release => {
                Box::pin(async move { flows.release(&target.model, &replica, &at).await })
            }
            Act::Attach => {
                let run = async move { flows.attach(&instance, &small, &adapter(), MEMORY).await };
                Box::pin(run)
            }
            Act::Detach => {
                Box::pin(async move { flows.detach(&instance, &small, &adapter()).await })
            }
            Act::DropAdapter => {
                let evidence = &this.evidence;
                let since = evidence.gone_adapter_epoch(&replica, &adapter(), seen?, LIFE)?;
                let run = async move { flows.drop_adapter(&at, &replica, &adapter(), since).await };
                Box::pin(run)
            }
            _ => return None,
        };
        Some((future, None, engine))
    }

    /// Sweeps any reservation, or expels any reported replica, even if the planner would not.
    fn stray(&self, vm: usize, act: Act, pick: usize) -> Option<Running> {
        let this = &self.vms[vm];
        let flows = this.flows.clone();
        let engine = pick % ENGINES;
        let instance = self.engines[engine].instance.clone();
        let at = upstream_id(&instance).unwrap();
        if let Act::Sweep = act {
            let holds = &this.reserved[engine].holds;
            let (replica, hold) = holds.iter().nth(pick / ENGINES)?;
            let (replica, model) = (replica.clone(), hold.model.clone());
            let run = async move { flows.sweep(&model, &replica, &at).await };
            return Some((Box::pin(run), None, engine));
        }
        let report = &this.reports[engine].as_ref()?.report;
        let replica = report.replicas.get(pick / ENGINES)?;
        let target = target(&replica.model, &replica.replica, replica.bytes);
        let run = async move { flows.expel(&instance, &target).await };
        Some((Box::pin(run), None, engine))
    }

    fn poll(&mut self, vm: usize) {
        let now = self.clock.now();
        let this = &mut self.vms[vm];
        let Some((future, replica, engine)) = &mut this.running else {
            return;
        };
        let mut context = Context::from_waker(Waker::noop());
        let Poll::Ready(result) = future.as_mut().poll(&mut context) else {
            return;
        };
        let instance = &self.engines[*engine].instance;
        if let (Some(replica), true, true) = (replica, result.is_ok(), instance.fenced) {
            this.evidence
                .unload_accepted(replica, instance.generation, now);
        }
        this.running = None;
    }

    fn resume(&mut self, vm: usize, fates: Vec<Fate>) {
        self.poll(vm);
        for fate in fates {
            self.resolve(vm, fate);
            if let Fate::Held = fate {
                return;
            }
            self.poll(vm);
        }
    }

    fn resolve(&mut self, vm: usize, fate: Fate) {
        let call = self.vms[vm].port.calls.lock().unwrap().pop();
        match call {
            Some(Call::Get(key, slot)) => {
                *slot.lock().unwrap() = Some(self.get(&key, fate));
            }
            Some(Call::Put(write, slot)) => {
                *slot.lock().unwrap() = Some(self.put(write, fate));
            }
            Some(Call::Order(sent, slot)) => {
                *slot.lock().unwrap() = Some(self.order(sent, fate));
            }
            None => {}
        }
    }

    fn get(&self, key: &ObjectKey, fate: Fate) -> Result<Option<Object>, StoreError> {
        let versions = self.objects.get(key).map_or(0, Vec::len);
        let version = match fate {
            Fate::Stale => versions.saturating_sub(1),
            Fate::LostBefore => return Err(StoreError::Unavailable),
            _ => versions,
        };
        let values = self.objects.get(key).filter(|_| version > 0);
        Ok(values.map(|values| Object {
            version: Version(version as u64),
            value: values[version - 1].clone(),
        }))
    }

    fn put(&mut self, write: Write, fate: Fate) -> Result<Version, StoreError> {
        match fate {
            Fate::LostBefore => Err(StoreError::Unavailable),
            Fate::Delayed => {
                self.late_writes.push(write);
                Err(StoreError::Unknown)
            }
            Fate::LostAfter => {
                drop(self.write(&write));
                Err(StoreError::Unknown)
            }
            _ => self.write(&write),
        }
    }

    fn write(&mut self, write: &Write) -> Result<Version, StoreError> {
        let values = self.objects.entry(write.key.clone()).or_default();
        let now = Version(values.len() as u64);
        if now != write.expected {
            return Err(StoreError::Conflict(now));
        }
        values.push(write.value.clone());
        Ok(now.next())
    }

    fn order(&mut self, sent: Sent, fate: Fate) -> Result<OrderAnswer, EngineError> {
        if sent.at + LIFE <= self.clock.now() {
            return Err(EngineError::Unknown);
        }
        match fate {
            Fate::LostBefore => return Err(EngineError::Unreachable),
            Fate::Delayed => {
                self.late_orders.push(sent);
                return Err(EngineError::Unknown);
            }
            Fate::Doubled => self.late_orders.push(sent.clone()),
            _ => {}
        }
        let status = self.engines[sent.engine].carry_out(&sent.order);
        match fate {
            Fate::LostAfter => Err(EngineError::Unknown),
            _ => Ok(OrderAnswer { status }),
        }
    }

    fn late(&mut self, pick: usize) {
        if pick < self.late_writes.len() {
            let write = self.late_writes.remove(pick);
            drop(self.write(&write));
            return;
        }
        let orders = self.late_orders.len();
        if orders > 0 {
            let sent = self.late_orders[pick % orders].clone();
            self.engines[sent.engine].carry_out(&sent.order);
        }
    }

    fn decided(&self, model: &ModelId) -> Intents {
        self.value(&model_key(model).unwrap())
    }

    fn reserved(&self, engine: usize) -> Reservations {
        let at = upstream_id(&self.engines[engine].instance).unwrap();
        self.value(&engine_key(&at).unwrap())
    }

    fn value<T>(&self, key: &ObjectKey) -> T
    where
        T: Default + serde::de::DeserializeOwned,
    {
        let newest = self.objects.get(key).and_then(|values| values.last());
        newest.map_or_else(T::default, |v| serde_json::from_slice(v).unwrap())
    }

    fn observe(&mut self, vm: usize) {
        let now = self.clock.now();
        for n in 0..MAXIMA.len() {
            let decided = self.decided(&model(n));
            let this = &mut self.vms[vm];
            this.evidence.observe_intents(&decided, now);
            this.decided.insert(model(n), decided);
        }
        for engine in 0..ENGINES {
            let reserved = self.reserved(engine);
            let at = upstream_id(&self.engines[engine].instance).unwrap();
            let this = &mut self.vms[vm];
            this.evidence
                .observe_reservations(&at, &reserved, |_| true, now);
            this.reserved[engine] = reserved;
        }
    }

    fn report(&mut self, vm: usize, back: usize) {
        for (n, engine) in self.engines.iter().enumerate() {
            if let Some((taken, report)) = engine.history.iter().rev().nth(back) {
                self.vms[vm].reports[n] = Some(TimedReport::new(report.clone(), *taken));
            }
        }
    }

    pub fn check(&self) {
        for (n, maximum) in MAXIMA.iter().enumerate() {
            let decided = self.decided(&model(n));
            assert!(
                decided.replicas.len() <= *maximum as usize,
                "maximum passed"
            );
        }
        for (n, engine) in self.engines.iter().enumerate() {
            let reserved = self.reserved(n);
            assert!(reserved.total() <= MEMORY, "memory overcommitted");
            for (replica, loaded) in &engine.loaded {
                let decided = self.decided(&loaded.model);
                let intent = decided.replicas.get(replica);
                assert!(intent.is_some(), "{replica} is loaded but not decided");
                let hold = reserved.holds.get(replica);
                assert!(hold.is_some(), "{replica} is loaded but not reserved");
                for adapter in &loaded.adapters {
                    let entry = hold.unwrap().adapters.get(adapter);
                    assert!(entry.is_some(), "{adapter} is attached but not reserved");
                }
            }
        }
    }
}

impl Engine {
    fn carry_out(&mut self, order: &Order) -> OrderStatus {
        let fence = self.fences.entry(order.model.clone()).or_default();
        if self.instance.fenced && order.fence < *fence {
            return OrderStatus::Stale;
        }
        *fence = order.fence.max(*fence);
        let present = self.loaded.get_mut(&order.replica);
        match (order.kind, present, order.adapter.clone()) {
            (OrderKind::Load, None, _) => {
                let loaded = Loaded {
                    model: order.model.clone(),
                    adapters: Vec::new(),
                    leaving: false,
                };
                self.loaded.insert(order.replica.clone(), loaded);
            }
            (OrderKind::Unload, Some(loaded), _) => loaded.leaving = true,
            (OrderKind::Attach, Some(loaded), Some(adapter)) => {
                loaded.adapters = vec![adapter];
            }
            (OrderKind::Detach, Some(loaded), _) => loaded.adapters.clear(),
            (OrderKind::Attach, None, _) => return OrderStatus::Unknown,
            _ => {}
        }
        OrderStatus::Accepted
    }

    fn snapshot(&mut self, now: Instant) {
        let replicas = self.loaded.iter().map(|(replica, loaded)| ReplicaReport {
            adapters: loaded.adapters.clone(),
            bytes: WEIGHTS + FLOOR,
            model: loaded.model.clone(),
            queued: 0,
            replica: replica.clone(),
            running: 0,
            state: if loaded.leaving {
                ReplicaState::Unloading
            } else {
                ReplicaState::Ready
            },
            version: id("v"),
        });
        let report = LoadReport {
            age: 0,
            checkpoints: Vec::new(),
            generation: self.instance.generation,
            leaving: false,
            memory: MEMORY,
            replicas: replicas.collect(),
            used: Bytes::ZERO,
        };
        self.history.push((now, report));
    }
}
