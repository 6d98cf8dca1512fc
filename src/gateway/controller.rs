//! Gives orders to engines while this VM holds the lease.
//!
//! An engine accepts an order only if it has accepted exactly as many before as the order says, so
//! of two orders sent on the same count at most one is carried out, however late one arrives. What
//! an order needs is reserved before it is sent, and stays reserved until a report newer than the
//! order shows what became of it.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use slog::{info, warn};
use tokio::task::{JoinHandle, JoinSet};

use crate::clock::BootTime;
use crate::ids::{AdapterId, Epoch, ModelId, ObjectKey, ServiceId, UpstreamId, Version};
use crate::schema::mesh::HoldWord;
use crate::store::{ObjectStore, StoreError};

use super::adapter_placement::{AdapterAction, LoadingAdapters, plan_adapters};
use super::border::{Act, Control, ControlError, Order, OrderAnswer};
use super::call::Target;
use super::configuration::EngineSpec;
use super::demand::Demand;
use super::engine_state::{EngineState, RETRY_PAUSE};
use super::fleet::Fleet;
use super::lease::{Lease, LeaseAction, LeaseRecord};
use super::load_limiter::LoadLimiter;
use super::mesh::Mesh;
use super::placement::{
    self, EngineView, ModelAction, ModelDemand, StorageTier, load_time, plan_models,
};
use super::state::Gateway;
use super::upstream::Entry;

/// Pause between rounds, where nothing asks for one sooner.
const ROUND_PAUSE: Duration = Duration::from_millis(100);
/// Least pause between rounds: every word of another VM asks for one.
const LEAST_PAUSE: Duration = Duration::from_millis(10);
/// Longest wait for an engine's answer to a question or an order.
const ANSWER_TIME: Duration = Duration::from_millis(200);
/// Longest wait for the store's answer on the lease.
const STORE_TIME: Duration = Duration::from_millis(700);
/// Loads from the weight store that go on at full speed at once.
const STORE_LOADS_AT_ONCE: usize = 4;
/// Between the word that a model goes and the order, so that no request is on its way to it.
const WORD_LEAD: Duration = Duration::from_millis(40);
/// Usual time for an engine to drop a model.
const UNLOAD_TIME: Duration = Duration::from_millis(700);
/// Time in which every VM tells a new giver of orders what it wants.
const SETTLE_TIME: Duration = Duration::from_millis(450);
/// Time for an adapter to arrive from the store.
const ADAPTER_TIME: Duration = Duration::from_millis(15);

/// The giver of orders.
#[derive(Debug)]
pub struct Controller {
    gateway: Arc<Gateway>,
    mesh: Arc<Mesh>,
    control: Arc<dyn Control>,
    store: Arc<dyn ObjectStore>,
    key: ObjectKey,
    lease: Lease,
    desks: BTreeMap<UpstreamId, EngineState>,
    load_limiter: LoadLimiter,
    epoch: Option<Epoch>,
    /// When the others have told this VM what they want.
    settled: Instant,
}

/// What the giver of orders is made of.
#[derive(Debug)]
pub struct ControllerDeps {
    /// State of the VM.
    pub gateway: Arc<Gateway>,
    /// Words to the other VMs.
    pub mesh: Arc<Mesh>,
    /// Orders to engines.
    pub control: Arc<dyn Control>,
    /// The store that holds the lease.
    pub store: Arc<dyn ObjectStore>,
    /// Its object.
    pub key: ObjectKey,
    /// Length of a lease.
    pub length: Duration,
}

/// Starts to contend for the lease and to give orders while it is held.
pub fn spawn(parts: ControllerDeps) -> JoinHandle<()> {
    let boot = parts.gateway.clock.boot();
    let now = parts.gateway.clock.now();
    let steer = Controller {
        lease: Lease::new(parts.gateway.vm.clone(), parts.length, boot),
        gateway: parts.gateway,
        mesh: parts.mesh,
        control: parts.control,
        store: parts.store,
        key: parts.key,
        desks: BTreeMap::new(),
        load_limiter: LoadLimiter::open(now),
        epoch: None,
        settled: now,
    };
    tokio::spawn(steer.run())
}

impl Controller {
    async fn run(mut self) {
        loop {
            if !self.gateway.running.leaving() {
                self.hold_lease().await;
            }
            self.note_lease();
            if let Some(epoch) = self.epoch {
                self.round(epoch).await;
            }
            let gateway = Arc::clone(&self.gateway);
            let woken = async {
                tokio::select! {
                    () = gateway.changed.notified() => {}
                    () = gateway.orders_due.notified(), if self.epoch.is_some() => {}
                }
            };
            // Either wakes it: time, or news.
            let _woken = tokio::time::timeout(ROUND_PAUSE, woken).await;
            if self.epoch.is_some() {
                tokio::time::sleep(LEAST_PAUSE).await;
            }
        }
    }

    async fn hold_lease(&mut self) {
        let now = self.gateway.clock.now();
        let boot = self.gateway.clock.boot();
        if let Some(version) = self.mesh.lease_heard() {
            self.lease.on_version_seen(version, boot);
        }
        match self.lease.next_action(self.mesh.led(now), boot) {
            LeaseAction::Wait => {}
            LeaseAction::Read => self.read_lease().await,
            LeaseAction::Write(version, record) => self.write_lease(version, record, boot).await,
        }
    }

    async fn read_lease(&mut self) {
        let read = tokio::time::timeout(STORE_TIME, self.store.get(&self.key)).await;
        let read = read.unwrap_or(Err(StoreError::Unknown));
        let boot = self.gateway.clock.boot();
        match read {
            Ok(Some(object)) => match serde_json::from_slice(&object.value) {
                Ok(record) => self.lease.on_read(Some((object.version, record)), boot),
                Err(e) => {
                    warn!(self.gateway.log, "lease_unreadable"; "error" => %e);
                    self.lease.on_failure(boot);
                }
            },
            Ok(None) => self.lease.on_read(None, boot),
            Err(e) => {
                warn!(self.gateway.log, "lease_unread"; "error" => %e);
                self.lease.on_failure(boot);
            }
        }
    }

    async fn write_lease(&mut self, version: Version, record: LeaseRecord, sent: BootTime) {
        let value = match serde_json::to_vec(&record) {
            Ok(value) => value.into(),
            Err(e) => {
                warn!(self.gateway.log, "lease_unwritable"; "error" => %e);
                return;
            }
        };
        let put = self.store.put(&self.key, version, value);
        let put = tokio::time::timeout(STORE_TIME, put).await;
        let boot = self.gateway.clock.boot();
        match put.unwrap_or(Err(StoreError::Unknown)) {
            Ok(version) => self.lease.on_written(version, sent),
            Err(StoreError::Conflict(_)) => self.lease.on_conflict(boot),
            Err(e) => {
                warn!(self.gateway.log, "lease_unwritten"; "error" => %e);
                self.lease.on_failure(boot);
            }
        }
    }

    fn note_lease(&mut self) {
        let boot = self.gateway.clock.boot();
        let epoch = self.lease.epoch(boot);
        let told = epoch.map(|epoch| (epoch, self.lease.version()));
        self.mesh.set_lease(told);
        if epoch == self.epoch {
            return;
        }
        self.epoch = epoch;
        self.desks.clear();
        let now = self.gateway.clock.now();
        self.load_limiter = LoadLimiter::open(now);
        self.settled = now + SETTLE_TIME;
        match epoch {
            Some(epoch) => {
                self.gateway.counts.leases.inc();
                info!(self.gateway.log, "lease_gained"; "epoch" => %epoch);
            }
            None => info!(self.gateway.log, "lease_lost"),
        }
    }

    async fn round(&mut self, epoch: Epoch) {
        let Some(table) = self.gateway.table.load_full() else {
            return;
        };
        self.take_entries();
        self.ask_engines().await;
        self.tell_models(epoch).await;
        // Without the others' demand every model would seem unwanted.
        if self.gateway.clock.now() < self.settled {
            return;
        }
        let demand = self.mesh.demand();
        for (service, kind) in &table.services {
            if let Some(engines) = &kind.engines {
                self.place_models(service, engines, &demand, epoch).await;
                self.place_adapters(service, engines, &demand, epoch).await;
            }
        }
    }

    fn take_entries(&mut self) {
        let table = self.gateway.table.load();
        let now = self.gateway.clock.now();
        let entries = self.gateway.read_fleet(Fleet::registered);
        let serves = |entry: &Entry| {
            let table = table.as_ref();
            !entry.leaving && table.is_some_and(|t| t.engine_spec(&entry.service).is_some())
        };
        let entries: BTreeMap<_, _> = entries
            .into_iter()
            .filter(|entry| serves(entry))
            .map(|entry| (entry.id.clone(), entry))
            .collect();
        self.desks.retain(|id, _| entries.contains_key(id));
        for (id, entry) in entries {
            match self.desks.get_mut(&id) {
                Some(desk) if desk.entry.born == entry.born => {
                    if !Arc::ptr_eq(&desk.entry, &entry) {
                        desk.entry = entry;
                        desk.ask = Some(now);
                    }
                }
                _ => {
                    self.desks.insert(id, EngineState::open(entry, now));
                }
            }
        }
    }

    /// Asks the engines whose state is not known.
    async fn ask_engines(&mut self) {
        let now = self.gateway.clock.now();
        let due = self
            .desks
            .iter()
            .filter(|(_, d)| d.ask.is_some_and(|at| at <= now));
        let mut asked = JoinSet::new();
        for (id, desk) in due {
            let control = Arc::clone(&self.control);
            let at = desk.entry.address;
            let id = id.clone();
            asked.spawn(async move {
                let report = tokio::time::timeout(ANSWER_TIME, control.report(at)).await;
                (id, report.unwrap_or(Err(ControlError::Silent)))
            });
        }
        while let Some(done) = asked.join_next().await {
            let Ok((id, report)) = done else { continue };
            let now = self.gateway.clock.now();
            if let Some(desk) = self.desks.get_mut(&id) {
                match report {
                    Ok(report) => desk.take_report(report, now),
                    Err(e) => {
                        info!(self.gateway.log, "engine_unasked"; "engine" => %id, "error" => %e);
                        desk.ask = Some(now + RETRY_PAUSE);
                    }
                }
            }
        }
    }

    /// Tells of models that an engine came to hold, sooner than the others read it, and again of
    /// those that it is dropping: a datagram may be lost, and an engine finishes its runs first.
    async fn tell_models(&mut self, epoch: Epoch) {
        let mut words = Vec::new();
        let now = self.gateway.clock.now();
        for (id, desk) in &mut self.desks {
            words.extend(desk.repeat_unload(id, now));
            for model in std::mem::take(&mut desk.gained) {
                words.push(HoldWord {
                    engine: id.clone(),
                    born: desk.entry.born,
                    model,
                    adapter: None,
                    present: true,
                });
            }
        }
        if !words.is_empty() {
            self.mesh.notify(epoch, words).await;
        }
    }

    fn seats(&self, service: &ServiceId) -> BTreeMap<UpstreamId, EngineView> {
        let now = self.gateway.clock.now();
        let desks = self
            .desks
            .iter()
            .filter(|(_, d)| d.entry.service == *service);
        let mut seats: BTreeMap<_, _> = desks
            .map(|(id, desk)| (id.clone(), desk.seat(now)))
            .collect();
        for ((engine, model), requests) in self.mesh.runs() {
            if let Some(seat) = seats.get_mut(&engine) {
                seat.running_requests.insert(model, requests);
            }
        }
        seats
    }

    async fn place_models(
        &mut self,
        service: &ServiceId,
        engines: &EngineSpec,
        demand: &BTreeMap<Target, Demand>,
        epoch: Epoch,
    ) {
        let now = self.gateway.clock.now();
        let seats = self.seats(service);
        let models = model_wants(demand, &seats);
        let free = self.load_limiter.available(engines.remote_rate, now);
        let loading = self.desks.values().filter(|d| d.loads_from_store()).count();
        let store_loads = free.min(STORE_LOADS_AT_ONCE.saturating_sub(loading));
        let moves = plan_models(&seats, engines, &models, store_loads, now);
        let mut orders = Vec::new();
        for (id, step) in moves {
            let (act, coming) = match step {
                ModelAction::Load(model, tier) => {
                    if tier == StorageTier::Remote {
                        self.load_limiter.record_load();
                        self.gateway.counts.store_loads.inc();
                    }
                    (Act::Load(whole(model.clone())), model)
                }
                ModelAction::Unload { model, incoming } => (Act::Unload(whole(model)), incoming),
            };
            if let Some(desk) = self.desks.get_mut(&id) {
                let kind = engines.models.get(&coming);
                let tier = placement::storage_tier(&desk.seat(now).holds, &coming);
                let time = kind.map_or(UNLOAD_TIME, |kind| load_time(kind, tier));
                desk.until = now
                    + match act {
                        Act::Load(_) => time,
                        Act::Unload(_) => time + UNLOAD_TIME,
                    };
                desk.coming = Some(coming);
            }
            orders.push((id, act));
        }
        self.order_all(orders, epoch).await;
    }

    async fn place_adapters(
        &mut self,
        service: &ServiceId,
        engines: &EngineSpec,
        demand: &BTreeMap<Target, Demand>,
        epoch: Epoch,
    ) {
        let seats = self.seats(service);
        let moves = plan_adapters(&seats, &self.coming(service), engines, demand);
        let orders = moves.into_iter().map(|(id, step)| match step {
            AdapterAction::Load(model, adapter) => (id, Act::Load(part(model, adapter))),
            AdapterAction::Unload(model, adapter) => (id, Act::Unload(part(model, adapter))),
        });
        let orders: Vec<_> = orders.collect();
        if !orders.is_empty() {
            self.order_all(orders, epoch).await;
            // An engine takes one order a round, and more may be wanted of it.
            self.gateway.orders_due.notify_one();
        }
    }

    fn coming(&self, service: &ServiceId) -> BTreeMap<UpstreamId, LoadingAdapters> {
        let desks = self
            .desks
            .iter()
            .filter(|(_, d)| d.entry.service == *service);
        desks
            .map(|(id, desk)| (id.clone(), desk.coming()))
            .collect()
    }

    /// Gives orders to several engines at once, if this VM still may.
    async fn order_all(&mut self, orders: Vec<(UpstreamId, Act)>, epoch: Epoch) {
        let (loads, drops): (Vec<_>, Vec<_>) = orders
            .into_iter()
            .partition(|(_, act)| matches!(act, Act::Load(_)));
        self.send_orders(loads, epoch).await;
        let words = drops.iter().filter_map(|(id, act)| {
            let (Act::Load(target) | Act::Unload(target)) = act;
            self.word(id, target, false)
        });
        let words: Vec<_> = words.collect();
        if !words.is_empty() {
            self.mesh.notify(epoch, words).await;
            tokio::time::sleep(WORD_LEAD).await;
            self.send_orders(drops, epoch).await;
        }
    }

    async fn send_orders(&mut self, orders: Vec<(UpstreamId, Act)>, epoch: Epoch) {
        let boot = self.gateway.clock.boot();
        if self.lease.epoch(boot) != Some(epoch) {
            return;
        }
        let mut sent = JoinSet::new();
        for (id, act) in orders {
            let Some(desk) = self.desks.get(&id) else {
                continue;
            };
            let Some(report) = &desk.report else { continue };
            let order = Order {
                act,
                after: report.accepted,
                holder: self.gateway.vm.clone(),
                epoch,
            };
            let at = desk.entry.address;
            let control = Arc::clone(&self.control);
            sent.spawn(async move {
                let answer = control.order(at, &id, &order);
                let answer = tokio::time::timeout(ANSWER_TIME, answer).await;
                (id, order, answer.unwrap_or(Err(ControlError::Silent)))
            });
        }
        while let Some(done) = sent.join_next().await {
            // A task that was cancelled leaves its engine to the next report.
            if let Ok((id, order, answer)) = done {
                self.take_answer(&id, &order, answer);
            }
        }
    }

    fn take_answer(
        &mut self,
        id: &UpstreamId,
        order: &Order,
        answer: Result<OrderAnswer, ControlError>,
    ) {
        let now = self.gateway.clock.now();
        let Some(desk) = self.desks.get_mut(id) else {
            return;
        };
        self.gateway.counts.orders.inc();
        info!(self.gateway.log, "order_given"; "engine" => %id, "act" => %order.act,
            "after" => order.after, "epoch" => %order.epoch, "answer" => ?answer);
        desk.take_answer(&order.act, answer, now);
        let held = desk.entry.holds.clone();
        if answer == Ok(OrderAnswer::Fenced) {
            self.lease.on_conflict(self.gateway.clock.boot());
        }
        let Act::Load(target) = &order.act else {
            return;
        };
        let carried = matches!(answer, Ok(OrderAnswer::Accepted | OrderAnswer::Holds));
        if carried && target.adapter.is_some() && !held.serve(target) {
            self.tell_later(id, target, order.epoch);
        }
    }

    /// Tells that an adapter is held, once it has had time to arrive.
    fn tell_later(&self, id: &UpstreamId, target: &Target, epoch: Epoch) {
        let Some(word) = self.word(id, target, true) else {
            return;
        };
        let mesh = Arc::clone(&self.mesh);
        tokio::spawn(async move {
            tokio::time::sleep(ADAPTER_TIME).await;
            mesh.notify(epoch, vec![word]).await;
        });
    }

    fn word(&self, id: &UpstreamId, target: &Target, present: bool) -> Option<HoldWord> {
        let desk = self.desks.get(id)?;
        Some(HoldWord {
            engine: id.clone(),
            born: desk.entry.born,
            model: target.model.clone(),
            adapter: target.adapter.clone(),
            present,
        })
    }
}

/// Demand by model; requests that wait for an adapter count as waiting for the model only where
/// nobody holds it.
fn model_wants(
    demand: &BTreeMap<Target, Demand>,
    seats: &BTreeMap<UpstreamId, EngineView>,
) -> BTreeMap<ModelId, ModelDemand> {
    let mut wants: BTreeMap<ModelId, ModelDemand> = BTreeMap::new();
    for (target, want) in demand {
        let sum = wants.entry(target.model.clone()).or_default();
        sum.total.rate += want.rate;
        if target.adapter.is_some() {
            sum.adapter_rate += want.rate;
            sum.adapters += 1;
        }
        if target.adapter.is_none() || !held_somewhere(seats, &target.model) {
            sum.total.waiting += want.waiting;
        }
    }
    wants
}

fn whole(model: ModelId) -> Target {
    Target {
        model,
        adapter: None,
    }
}

fn part(model: ModelId, adapter: AdapterId) -> Target {
    Target {
        model,
        adapter: Some(adapter),
    }
}

fn held_somewhere(seats: &BTreeMap<UpstreamId, EngineView>, model: &ModelId) -> bool {
    seats
        .values()
        .any(|seat| seat.holds.models.contains_key(model))
}
