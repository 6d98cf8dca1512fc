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
pub use event::{Action, CallOutcome, Event};
use futures_util::future::BoxFuture;
use port::{Backend, Call, SentOrder, TestClock, Write};

mod event;
mod port;

/// Longest time after its sending in which an order may take effect.
const ORDER_LIFETIME: Duration = Duration::from_secs(30);
const MEMORY: Bytes = Bytes(100);
const WEIGHTS: Bytes = Bytes(40);
const FLOOR: Bytes = Bytes(5);
const ADAPTER: Bytes = Bytes(5);
pub const VMS: usize = 2;
pub const ENGINES: usize = 2;
/// Maximum number of replicas of each model.
const MAXIMA: [u32; 2] = [1, 2];

/// A command in execution, the replica whose unload it orders, and the engine.
type RunningCommand = (
    BoxFuture<'static, Result<(), ExecuteError>>,
    Option<ReplicaId>,
    usize,
);

/// A VM with what it has observed; it executes one command at a time.
struct Vm {
    backend: Arc<Backend>,
    executor: Executor,
    running: Option<RunningCommand>,
    observations: Observations,
    intents: BTreeMap<ModelId, Intents>,
    reservations: Vec<Reservations>,
    reports: Vec<Option<TimedReport>>,
}

#[derive(Clone, Debug)]
struct LoadedReplica {
    model: ModelId,
    adapters: Vec<AdapterId>,
    leaving: bool,
}

/// A simulated engine, with its reports after each event.
struct Engine {
    instance: Instance,
    loaded: BTreeMap<ReplicaId, LoadedReplica>,
    fences: BTreeMap<ModelId, Epoch>,
    history: Vec<(Instant, LoadReport)>,
}

/// The whole simulation; `objects` holds all versions of each object.
pub struct Simulation {
    clock: Arc<TestClock>,
    vms: Vec<Vm>,
    engines: Vec<Engine>,
    objects: BTreeMap<ObjectKey, Vec<bytes::Bytes>>,
    late_writes: Vec<Write>,
    late_orders: Vec<SentOrder>,
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
        let backend = Arc::new(Backend {
            calls: Mutex::default(),
            clock: Arc::clone(clock),
        });
        let executor = Executor {
            store: Arc::<Backend>::clone(&backend),
            engines: Arc::<Backend>::clone(&backend),
            clock: Arc::<TestClock>::clone(clock),
            order_lifetime: ORDER_LIFETIME,
        };
        Self {
            backend,
            executor,
            running: None,
            observations: Observations::default(),
            intents: BTreeMap::new(),
            reservations: vec![Reservations::default(); ENGINES],
            reports: vec![None; ENGINES],
        }
    }

    /// Whether the planner would give this command, according to what this VM has observed.
    fn would_plan(
        &self,
        action: Action,
        target: &Target,
        engine: usize,
        state: IntentState,
    ) -> bool {
        let report = self.reports[engine].as_ref();
        let replica = &target.replica;
        match action {
            Action::Ready => report.is_some_and(|s| s.has_replica(replica)),
            Action::Release => {
                let gone = report.is_some_and(|s| {
                    self.observations
                        .is_replica_gone(replica, s, ORDER_LIFETIME)
                });
                state == IntentState::Unloading && gone
            }
            Action::DropAdapter => report.is_some_and(|s| {
                let observations = &self.observations;
                observations
                    .gone_adapter_epoch(replica, &adapter(), s, ORDER_LIFETIME)
                    .is_some()
            }),
            Action::Attach | Action::Detach => state == IntentState::Ready,
            _ => true,
        }
    }

    /// The intents that this VM knows, each as a target with its engine and state.
    fn targets(&self) -> Vec<(Target, usize, IntentState)> {
        let mut targets = Vec::new();
        for (model, intents) in &self.intents {
            for (replica, intent) in &intents.replicas {
                let target = target(model, replica, WEIGHTS + FLOOR);
                let engine = usize::from(intent.engine.as_str() == "e1");
                targets.push((target, engine, intent.state));
            }
        }
        targets
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

impl Simulation {
    pub fn new() -> Self {
        let clock = Arc::new(TestClock(Mutex::new(Instant::now() + ORDER_LIFETIME * 100)));
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
                action,
                pick,
                outcomes,
            } => {
                self.start(vm, action, pick);
                self.resume(vm, outcomes);
            }
            Event::Resume { vm, outcomes } => self.resume(vm, outcomes),
            Event::DeliverLate { pick } => self.deliver_late(pick),
            Event::ReadObjects { vm } => self.read_objects(vm),
            Event::ReadReports { vm, steps_back } => self.read_reports(vm, steps_back),
            Event::Crash { vm } => {
                self.keep_sent_calls(vm);
                self.vms[vm] = Vm::new(&self.clock);
            }
            Event::Advance { quarters } => {
                *self.clock.0.lock().unwrap() += ORDER_LIFETIME / 4 * quarters;
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
        self.late_orders
            .retain(|sent| sent.at + ORDER_LIFETIME > now);
        for engine in &mut self.engines {
            engine.snapshot(now);
        }
    }

    /// Moves the calls that a crashed VM had sent to the late ones, which may still take effect.
    fn keep_sent_calls(&mut self, vm: usize) {
        for call in std::mem::take(&mut *self.vms[vm].backend.calls.lock().unwrap()) {
            match call {
                Call::Put(write, _) => self.late_writes.push(write),
                Call::Order(sent, _) => self.late_orders.push(sent),
                Call::Get(..) => {}
            }
        }
    }

    fn start(&mut self, vm: usize, action: Action, pick: usize) {
        if self.vms[vm].running.is_some() {
            return;
        }
        let Some((future, replica, engine)) = self.command(vm, action, pick) else {
            return;
        };
        self.vms[vm].running = Some((future, replica, engine));
        self.poll(vm);
    }

    /// Builds the command that `action` and `pick` stand for; `None` if the planner would not give
    /// it now.
    fn command(&mut self, vm: usize, action: Action, pick: usize) -> Option<RunningCommand> {
        let executor = self.vms[vm].executor.clone();
        if let Action::Load = action {
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
            let future = Box::pin(async move { executor.load(&instance, &load).await.map(drop) });
            return Some((future, None, engine));
        }
        let vm_state = &self.vms[vm];
        if let Action::Sweep | Action::Expel = action {
            return self.unplanned_command(vm, action, pick);
        }
        let mut targets = vm_state.targets();
        targets
            .retain(|(target, engine, state)| vm_state.would_plan(action, target, *engine, *state));
        let (target, engine, _) = targets.get(pick % targets.len().max(1))?.clone();
        let instance = self.engines[engine].instance.clone();
        let engine_id = upstream_id(&instance).unwrap();
        let report = vm_state.reports[engine].as_ref();
        let replica = target.replica.clone();
        let adapter_target = Target {
            bytes: ADAPTER,
            ..target.clone()
        };
        let future: BoxFuture<'static, Result<(), ExecuteError>> = match action {
            Action::Renew => {
                Box::pin(async move { executor.renew(&instance, &target).await.map(drop) })
            }
            Action::Ready if report?.has_replica(&replica) => Box::pin(async move {
                executor
                    .ready(&target.model, &target.replica)
                    .await
                    .map(drop)
            }),
            Action::Unload => {
                let future = async move { executor.unload(&instance, &target).await.map(drop) };
                return Some((Box::pin(future), Some(replica), engine));
            }
            Action::Release => {
                Box::pin(async move { executor.release(&target.model, &replica, &engine_id).await })
            }
            Action::Attach => {
                let run = async move {
                    executor
                        .attach(&instance, &adapter_target, &adapter(), MEMORY)
                        .await
                };
                Box::pin(run)
            }
            Action::Detach => Box::pin(async move {
                executor
                    .detach(&instance, &adapter_target, &adapter())
                    .await
            }),
            Action::DropAdapter => {
                let observations = &vm_state.observations;
                let since = observations.gone_adapter_epoch(
                    &replica,
                    &adapter(),
                    report?,
                    ORDER_LIFETIME,
                )?;
                let run = async move {
                    executor
                        .drop_adapter(&engine_id, &replica, &adapter(), since)
                        .await
                };
                Box::pin(run)
            }
            _ => return None,
        };
        Some((future, None, engine))
    }

    /// Sweeps any reservation, or expels any reported replica, even if the planner would not.
    fn unplanned_command(&self, vm: usize, action: Action, pick: usize) -> Option<RunningCommand> {
        let vm_state = &self.vms[vm];
        let executor = vm_state.executor.clone();
        let engine = pick % ENGINES;
        let instance = self.engines[engine].instance.clone();
        let engine_id = upstream_id(&instance).unwrap();
        if let Action::Sweep = action {
            let holds = &vm_state.reservations[engine].holds;
            let (replica, reservation) = holds.iter().nth(pick / ENGINES)?;
            let (replica, model) = (replica.clone(), reservation.model.clone());
            let run = async move { executor.sweep(&model, &replica, &engine_id).await };
            return Some((Box::pin(run), None, engine));
        }
        let report = &vm_state.reports[engine].as_ref()?.report;
        let replica = report.replicas.get(pick / ENGINES)?;
        let target = target(&replica.model, &replica.replica, replica.bytes);
        let run = async move { executor.expel(&instance, &target).await };
        Some((Box::pin(run), None, engine))
    }

    /// Runs the command of a VM until it waits for a call, or ends.
    fn poll(&mut self, vm: usize) {
        let now = self.clock.now();
        let vm_state = &mut self.vms[vm];
        let Some((future, replica, engine)) = &mut vm_state.running else {
            return;
        };
        let mut context = Context::from_waker(Waker::noop());
        let Poll::Ready(result) = future.as_mut().poll(&mut context) else {
            return;
        };
        let instance = &self.engines[*engine].instance;
        if let (Some(replica), true, true) = (replica, result.is_ok(), instance.fenced) {
            vm_state
                .observations
                .unload_accepted(replica, instance.generation, now);
        }
        vm_state.running = None;
    }

    fn resume(&mut self, vm: usize, outcomes: Vec<CallOutcome>) {
        self.poll(vm);
        for outcome in outcomes {
            self.resolve(vm, outcome);
            if let CallOutcome::Paused = outcome {
                return;
            }
            self.poll(vm);
        }
    }

    /// Gives the pending call of a VM its outcome.
    fn resolve(&mut self, vm: usize, outcome: CallOutcome) {
        let call = self.vms[vm].backend.calls.lock().unwrap().pop();
        match call {
            Some(Call::Get(key, slot)) => {
                *slot.lock().unwrap() = Some(self.get(&key, outcome));
            }
            Some(Call::Put(write, slot)) => {
                *slot.lock().unwrap() = Some(self.put(write, outcome));
            }
            Some(Call::Order(sent, slot)) => {
                *slot.lock().unwrap() = Some(self.order(sent, outcome));
            }
            None => {}
        }
    }

    fn get(&self, key: &ObjectKey, outcome: CallOutcome) -> Result<Option<Object>, StoreError> {
        let versions = self.objects.get(key).map_or(0, Vec::len);
        let version = match outcome {
            CallOutcome::Stale => versions.saturating_sub(1),
            CallOutcome::RequestLost => return Err(StoreError::Unavailable),
            _ => versions,
        };
        let values = self.objects.get(key).filter(|_| version > 0);
        Ok(values.map(|values| Object {
            version: Version(version as u64),
            value: values[version - 1].clone(),
        }))
    }

    fn put(&mut self, write: Write, outcome: CallOutcome) -> Result<Version, StoreError> {
        match outcome {
            CallOutcome::RequestLost => Err(StoreError::Unavailable),
            CallOutcome::Delayed => {
                self.late_writes.push(write);
                Err(StoreError::Unknown)
            }
            CallOutcome::ResponseLost => {
                drop(self.write(&write));
                Err(StoreError::Unknown)
            }
            _ => self.write(&write),
        }
    }

    /// Writes an object by compare-and-set.
    fn write(&mut self, write: &Write) -> Result<Version, StoreError> {
        let values = self.objects.entry(write.key.clone()).or_default();
        let now = Version(values.len() as u64);
        if now != write.expected {
            return Err(StoreError::Conflict(now));
        }
        values.push(write.value.clone());
        Ok(now.next())
    }

    fn order(&mut self, sent: SentOrder, outcome: CallOutcome) -> Result<OrderAnswer, EngineError> {
        if sent.at + ORDER_LIFETIME <= self.clock.now() {
            return Err(EngineError::Unknown);
        }
        match outcome {
            CallOutcome::RequestLost => return Err(EngineError::Unreachable),
            CallOutcome::Delayed => {
                self.late_orders.push(sent);
                return Err(EngineError::Unknown);
            }
            CallOutcome::Repeated => self.late_orders.push(sent.clone()),
            _ => {}
        }
        let status = self.engines[sent.engine].execute(&sent.order);
        match outcome {
            CallOutcome::ResponseLost => Err(EngineError::Unknown),
            _ => Ok(OrderAnswer { status }),
        }
    }

    fn deliver_late(&mut self, pick: usize) {
        if pick < self.late_writes.len() {
            let write = self.late_writes.remove(pick);
            drop(self.write(&write));
            return;
        }
        let orders = self.late_orders.len();
        if orders > 0 {
            let sent = self.late_orders[pick % orders].clone();
            self.engines[sent.engine].execute(&sent.order);
        }
    }

    fn stored_intents(&self, model: &ModelId) -> Intents {
        self.value(&model_key(model).unwrap())
    }

    fn stored_reservations(&self, engine: usize) -> Reservations {
        let engine_id = upstream_id(&self.engines[engine].instance).unwrap();
        self.value(&engine_key(&engine_id).unwrap())
    }

    fn value<T>(&self, key: &ObjectKey) -> T
    where
        T: Default + serde::de::DeserializeOwned,
    {
        let newest = self.objects.get(key).and_then(|values| values.last());
        newest.map_or_else(T::default, |v| serde_json::from_slice(v).unwrap())
    }

    fn read_objects(&mut self, vm: usize) {
        let now = self.clock.now();
        for n in 0..MAXIMA.len() {
            let intents = self.stored_intents(&model(n));
            let vm_state = &mut self.vms[vm];
            vm_state.observations.observe_intents(&intents, now);
            vm_state.intents.insert(model(n), intents);
        }
        for engine in 0..ENGINES {
            let reservations = self.stored_reservations(engine);
            let engine_id = upstream_id(&self.engines[engine].instance).unwrap();
            let vm_state = &mut self.vms[vm];
            vm_state
                .observations
                .observe_reservations(&engine_id, &reservations, |_| true, now);
            vm_state.reservations[engine] = reservations;
        }
    }

    fn read_reports(&mut self, vm: usize, steps_back: usize) {
        for (n, engine) in self.engines.iter().enumerate() {
            if let Some((taken, report)) = engine.history.iter().rev().nth(steps_back) {
                self.vms[vm].reports[n] = Some(TimedReport::new(report.clone(), *taken));
            }
        }
    }

    /// Checks the invariants that the head of `model_props.rs` states.
    pub fn check(&self) {
        for (n, maximum) in MAXIMA.iter().enumerate() {
            let intents = self.stored_intents(&model(n));
            assert!(
                intents.replicas.len() <= *maximum as usize,
                "more intents than the maximum"
            );
        }
        for (n, engine) in self.engines.iter().enumerate() {
            let reservations = self.stored_reservations(n);
            assert!(
                reservations.total() <= MEMORY,
                "more memory reserved than the engine has"
            );
            for (replica, loaded) in &engine.loaded {
                let intents = self.stored_intents(&loaded.model);
                let intent = intents.replicas.get(replica);
                assert!(intent.is_some(), "{replica} is loaded without an intent");
                let reservation = reservations.holds.get(replica);
                assert!(
                    reservation.is_some(),
                    "{replica} is loaded without a reservation"
                );
                for adapter in &loaded.adapters {
                    let entry = reservation.unwrap().adapters.get(adapter);
                    assert!(
                        entry.is_some(),
                        "{adapter} is attached without a reservation"
                    );
                }
            }
        }
    }
}

impl Engine {
    fn execute(&mut self, order: &Order) -> OrderStatus {
        let fence = self.fences.entry(order.model.clone()).or_default();
        if self.instance.fenced && order.fence < *fence {
            return OrderStatus::Stale;
        }
        *fence = order.fence.max(*fence);
        let present = self.loaded.get_mut(&order.replica);
        match (order.kind, present, order.adapter.clone()) {
            (OrderKind::Load, None, _) => {
                let loaded = LoadedReplica {
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
