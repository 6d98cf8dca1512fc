//! Plans which models are loaded on which engines.
//!
//! Most models are rarely used, and the engines together barely have space for all of them. A
//! replica of a model has a value, in requests a second: the first replica of a model is worth the
//! whole demand for the model, a further one its share of the demand if one replica cannot serve
//! it, and little otherwise. Streams that come late although an engine holds their model show that
//! its replicas have too much to do; a further one is then worth a part of them. So do requests at
//! engines without a free slot ([`super::crowding`]). The planner starts with the most valuable
//! missing replica. It loads each on the engine where this costs the least, by where the weights
//! are read from (memory, disk or the weight store) and by the models that must be unloaded to make
//! space. Loads from the weight store are limited; by their value, models that no engine holds get
//! them first.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use crate::ids::{ModelId, UpstreamId};

use super::configuration::{EngineSpec, Model};
use super::crowding::{self, Crowding};
use super::demand::Demand;
use super::upstream::ModelInventory;

/// Value of a replica beyond those that the demand needs, as a share of the demand per replica.
const SURPLUS_SHARE: f64 = 0.03;
/// Value of a replica that is needed only to hold all adapters, as a share of the demand for
/// adapters per replica.
const ADAPTER_SHARE: f64 = 0.05;
/// Value of a further replica, as a share of the streams that come late; some of them would come
/// late all the same, because of the other models on their engines.
const LATE_SHARE: f64 = 0.5;
/// Value of the first replica of a model without demand, in requests a second: a request for it may
/// come at any time.
const IDLE_VALUE: f64 = 0.08;
/// Least value of a replica for which another model may be unloaded, in requests a second; below
/// it, demand is too uncertain to give up what is loaded.
const MIN_EVICTING_VALUE: f64 = 0.4;
/// Time to unload a model that no request runs on, in seconds.
const UNLOAD_SECONDS: f64 = 0.4;
/// Usual time until the running requests of a model have finished, in seconds.
const FINISH_SECONDS: f64 = 3.0;
/// Share of an engine's adapter requests that are delayed while the engine loads a model.
const DELAYED_SHARE: f64 = 0.5;
/// Demand that one waiting request counts as, or one at a full engine, in requests a second.
const WAITING_RATE: f64 = 0.5;
/// Greatest value of the unloaded models together, as a share of the value of the incoming one.
const MAX_LOSS_SHARE: f64 = 0.7;
/// Time after loading in which a model is not unloaded.
const MIN_LOADED_TIME: Duration = Duration::from_secs(3);
/// Least time counted for an engine to finish the order that it is carrying out.
const MIN_WAIT: Duration = Duration::from_millis(200);
/// Delay that a full engine means for the requests of one more model, for each time that its slots
/// are taken, in seconds.
const FULL_SECONDS: f64 = 1.0;
/// Rate that a replica serves for each slot of its engine before another replica is needed, in
/// requests a second.
const RATE_PER_SLOT: f64 = 0.5;

/// Demand for one model.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ModelDemand {
    /// Demand with and without adapters.
    pub total: Demand,
    /// Demand for the model's adapters, in requests a second.
    pub adapter_rate: f64,
    /// Number of different adapters with demand.
    pub adapters: usize,
}

/// One engine as the planner sees it.
#[derive(Clone, Debug, Default)]
pub struct EngineView {
    /// Requests that the engine runs at once.
    pub slots: u32,
    /// Models and adapters that the engine has loaded, and the weights it keeps.
    pub inventory: ModelInventory,
    /// The model that the engine is loading, or is unloading others for.
    pub incoming_model: Option<ModelId>,
    /// Whether the engine is carrying out an order, and so accepts no other.
    pub busy: bool,
    /// Estimated time until that order has been carried out.
    pub busy_time: Duration,
    /// Number of requests that run on the engine, by model.
    pub running_requests: BTreeMap<ModelId, u32>,
    /// When each model was loaded, where this VM observed it.
    pub held_since: BTreeMap<ModelId, Instant>,
}

/// Where an engine reads the weights of a model from, the fastest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StorageTier {
    /// The engine's memory.
    Memory,
    /// The engine's disk.
    Disk,
    /// The weight store, which all engines share.
    Remote,
}

/// An order to an engine that concerns a model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ModelAction {
    /// Load the model from a tier.
    Load(ModelId, StorageTier),
    /// Unload a model to make space for another one.
    Unload {
        /// Model to unload.
        model: ModelId,
        /// Model to load afterwards.
        incoming: ModelId,
    },
}

/// The fastest tier from which an engine can load a model.
pub fn storage_tier(inventory: &ModelInventory, model: &ModelId) -> StorageTier {
    if inventory.in_memory.contains(model) {
        return StorageTier::Memory;
    }
    if inventory.on_disk.contains(model) {
        return StorageTier::Disk;
    }
    StorageTier::Remote
}

/// Estimates how much longer an order takes that was expected to end at `until`. An overdue order
/// is expected to take as long again as it is overdue.
pub fn remaining_time(until: Instant, now: Instant) -> Duration {
    let early = until.saturating_duration_since(now);
    early.max(now.saturating_duration_since(until))
}

/// Time to load a model from a tier.
pub fn load_time(model: &Model, tier: StorageTier) -> Duration {
    match tier {
        StorageTier::Memory => model.memory_time,
        StorageTier::Disk => model.disk_time,
        StorageTier::Remote => model.remote_time,
    }
}

/// Plans one round of orders: at most one for each engine, and at most `remote_loads` loads from
/// the weight store.
pub fn plan_models(
    engines: &BTreeMap<UpstreamId, EngineView>,
    spec: &EngineSpec,
    demand: &BTreeMap<ModelId, ModelDemand>,
    mut remote_loads: usize,
    now: Instant,
) -> BTreeMap<UpstreamId, ModelAction> {
    let mut actions = BTreeMap::new();
    let mut planner = Planner::open(engines, spec, demand, now);
    let mut additions = planner.additional_replicas();
    additions.sort_by(|a, b| b.0.total_cmp(&a.0));
    for (id, candidate) in &planner.candidates {
        let incoming = candidate.engine.incoming_model.as_ref();
        let Some(model) = incoming.filter(|_| !candidate.engine.busy) else {
            continue;
        };
        let tier = storage_tier(&candidate.engine.inventory, model);
        let action = planner.continue_load(candidate, model, tier);
        if action == Some(ModelAction::Load(model.clone(), StorageTier::Remote)) {
            if remote_loads == 0 {
                continue;
            }
            remote_loads -= 1;
        }
        if let Some(action) = action {
            actions.insert((*id).clone(), action);
        }
    }
    for (value, model) in additions {
        let Some((engine, action)) = planner.choose_engine(&model, value, &actions, remote_loads)
        else {
            continue;
        };
        if let ModelAction::Load(_, StorageTier::Remote) = action {
            remote_loads -= 1;
        }
        if let ModelAction::Unload { model: evicted, .. } = &action {
            planner.remove_replica(evicted);
        }
        actions.insert(engine, action);
    }
    actions
}

/// Number of replicas of each model, those being loaded included.
fn count_replicas(
    engines: &BTreeMap<UpstreamId, EngineView>,
    spec: &EngineSpec,
) -> BTreeMap<ModelId, usize> {
    let mut replicas: BTreeMap<ModelId, usize> =
        spec.models.keys().map(|m| (m.clone(), 0)).collect();
    for engine in engines.values() {
        let held = engine.inventory.loaded.keys();
        for model in held.chain(engine.incoming_model.as_ref()) {
            *replicas.entry(model.clone()).or_default() += 1;
        }
    }
    replicas
}

/// Value of replica number `count` (from 1) of a model, in requests a second.
fn replica_value(
    demand: &ModelDemand,
    crowding: Crowding,
    count: usize,
    spec: &EngineSpec,
    slots: u32,
) -> f64 {
    let rate = demand.total.rate + f64::from(demand.total.waiting) * WAITING_RATE;
    if count <= 1 {
        return rate + IDLE_VALUE;
    }
    let by_rate = (rate / (f64::from(slots.max(1)) * RATE_PER_SLOT)).ceil();
    if (count as f64) <= by_rate {
        return rate / count as f64;
    }
    if crowding.needs(count) {
        return rate.max(f64::from(crowding.requests) * WAITING_RATE) / count as f64;
    }
    let by_adapters = demand.adapters.div_ceil(spec.adapter_slots.max(1));
    let surplus = (rate * SURPLUS_SHARE).max(demand.total.late * LATE_SHARE) / count as f64;
    if count <= by_adapters {
        return surplus + demand.adapter_rate * ADAPTER_SHARE / count as f64;
    }
    surplus
}

/// What it takes to make space for a model on an engine.
#[derive(Debug, Default)]
struct Eviction<'a> {
    /// The model to unload first; `None` if there is enough space already.
    first: Option<&'a ModelId>,
    /// Cost of loading the unloaded models again, in requests.
    loss: f64,
    /// Time to unload all of them, in seconds.
    time: f64,
}

/// A model that an engine could unload.
struct Victim<'a> {
    model: &'a ModelId,
    /// Value of this replica, in requests a second.
    value: f64,
    /// Size with the loaded adapters, in megabytes.
    size_mb: f64,
    /// Time until the model has been unloaded, in seconds; its running requests finish first.
    unload_time: f64,
    /// Time to load the model again from the engine's memory, in seconds.
    reload_time: f64,
}

/// An engine with what the planner has computed for it, once for all models.
struct Candidate<'a> {
    engine: &'a EngineView,
    /// Space that its models and the incoming model take, in megabytes.
    used_mb: f64,
    /// Demand for adapters that the engine serves, in requests a second.
    adapter_rate: f64,
    victims: Vec<Victim<'a>>,
}

/// State of one round of planning.
struct Planner<'a> {
    spec: &'a EngineSpec,
    demand: &'a BTreeMap<ModelId, ModelDemand>,
    /// Number of replicas of each model, as planned so far.
    replicas: BTreeMap<ModelId, usize>,
    /// How full the engines are that the models' requests are at.
    crowding: BTreeMap<ModelId, Crowding>,
    /// Slots of the engine with the fewest.
    slots: u32,
    now: Instant,
    candidates: BTreeMap<&'a UpstreamId, Candidate<'a>>,
}

impl<'a> Planner<'a> {
    fn open(
        engines: &'a BTreeMap<UpstreamId, EngineView>,
        spec: &'a EngineSpec,
        demand: &'a BTreeMap<ModelId, ModelDemand>,
        now: Instant,
    ) -> Self {
        let mut planner = Self {
            spec,
            demand,
            replicas: count_replicas(engines, spec),
            crowding: crowding::by_model(engines, now),
            slots: engines.values().map(|e| e.slots).min().unwrap_or(1),
            now,
            candidates: BTreeMap::new(),
        };
        let candidates = engines.iter().map(|(id, e)| (id, planner.candidate(e)));
        planner.candidates = candidates.collect();
        planner
    }

    fn candidate(&self, engine: &'a EngineView) -> Candidate<'a> {
        Candidate {
            engine,
            used_mb: self.used_mb(engine),
            adapter_rate: self.adapter_rate(engine),
            victims: self.victims(engine),
        }
    }

    /// Value of replica number `count` (from 1) of a model, in requests a second.
    fn replica_value(&self, model: &ModelId, count: usize) -> f64 {
        let demand = self.demand.get(model).copied().unwrap_or_default();
        let crowding = self.crowding.get(model).copied().unwrap_or_default();
        replica_value(&demand, crowding, count, self.spec, self.slots)
    }

    /// Models for which one more replica would have a value, with this value.
    fn additional_replicas(&self) -> Vec<(f64, ModelId)> {
        let next = self.spec.models.keys().map(|model| {
            let count = self.replicas.get(model).copied().unwrap_or_default();
            (self.replica_value(model, count + 1), model.clone())
        });
        next.filter(|(value, _)| *value > 0.0).collect()
    }

    /// Counts a replica that is unloaded, which raises the value of the model's other replicas.
    fn remove_replica(&mut self, model: &ModelId) {
        if let Some(count) = self.replicas.get_mut(model) {
            *count = count.saturating_sub(1);
        }
        let holders = self.candidates.iter();
        let holders = holders.filter(|(_, c)| c.engine.inventory.loaded.contains_key(model));
        let changed: Vec<_> = holders
            .map(|(id, c)| (*id, self.candidate(c.engine)))
            .collect();
        self.candidates.extend(changed);
    }

    /// Chooses the engine with the lowest cost for one more replica of `model`, and the first order
    /// to it. Returns `None` if no engine can take the replica, or if the cheapest engine is busy
    /// and worth waiting for.
    fn choose_engine(
        &self,
        model: &ModelId,
        value: f64,
        planned: &BTreeMap<UpstreamId, ModelAction>,
        remote_loads: usize,
    ) -> Option<(UpstreamId, ModelAction)> {
        let model_spec = self.spec.models.get(model)?;
        let mut best: Option<(f64, &UpstreamId, Option<ModelAction>)> = None;
        for (id, candidate) in &self.candidates {
            let engine = candidate.engine;
            let Some(eviction) = self.plan_eviction(candidate, model_spec, value) else {
                continue;
            };
            let tier = storage_tier(&engine.inventory, model);
            if engine.inventory.loaded.contains_key(model)
                || (tier == StorageTier::Remote && remote_loads == 0)
            {
                continue;
            }
            let occupied =
                engine.busy || engine.incoming_model.is_some() || planned.contains_key(*id);
            let wait = if occupied {
                engine.busy_time.max(MIN_WAIT)
            } else {
                Duration::ZERO
            };
            let time = (wait + load_time(model_spec, tier)).as_secs_f64() + eviction.time;
            let delayed = candidate.adapter_rate * DELAYED_SHARE;
            let full = if crowding::is_full(engine) {
                crowding::occupancy(engine) * FULL_SECONDS
            } else {
                0.0
            };
            let cost = (time + full) * value + time * delayed + eviction.loss;
            if best.as_ref().is_some_and(|(lowest, ..)| cost >= *lowest) {
                continue;
            }
            let action = match eviction.first {
                _ if occupied => None,
                Some(victim) => Some(ModelAction::Unload {
                    model: victim.clone(),
                    incoming: model.clone(),
                }),
                None => Some(ModelAction::Load(model.clone(), tier)),
            };
            best = Some((cost, id, action));
        }
        best.and_then(|(_, id, action)| Some((id.clone(), action?)))
    }

    /// The next order to an engine that makes space for `model`: to unload another model, or to
    /// load `model` once there is space.
    fn continue_load(
        &self,
        candidate: &Candidate<'_>,
        model: &ModelId,
        tier: StorageTier,
    ) -> Option<ModelAction> {
        let model_spec = self.spec.models.get(model)?;
        let held = candidate.engine.inventory.loaded.keys();
        let held: f64 = held.map(|m| self.size_mb(candidate.engine, m)).sum();
        if self.spec.capacity_mb - held >= model_spec.size_mb {
            return Some(ModelAction::Load(model.clone(), tier));
        }
        let victims = candidate.victims.iter();
        let victim = victims.min_by(|a, b| a.value.total_cmp(&b.value))?;
        Some(ModelAction::Unload {
            model: victim.model.clone(),
            incoming: model.clone(),
        })
    }

    /// Selects the models to unload for an incoming model of value `gain`. Returns `None` if they
    /// would be too valuable.
    fn plan_eviction<'b>(
        &self,
        candidate: &'b Candidate<'a>,
        model_spec: &Model,
        gain: f64,
    ) -> Option<Eviction<'b>> {
        let mut free = self.spec.capacity_mb - candidate.used_mb;
        let mut eviction = Eviction::default();
        if free >= model_spec.size_mb {
            return Some(eviction);
        }
        if gain < MIN_EVICTING_VALUE {
            return None;
        }
        let mut victims: Vec<_> = candidate.victims.iter().collect();
        let cost = |v: &Victim<'_>| v.value + gain * v.unload_time;
        victims.sort_by(|a, b| cost(a).total_cmp(&cost(b)));
        let mut lost = 0.0;
        for victim in victims {
            lost += victim.value;
            if lost > gain * MAX_LOSS_SHARE {
                return None;
            }
            eviction.loss += victim.value * victim.reload_time;
            eviction.time += victim.unload_time;
            free += victim.size_mb;
            eviction.first.get_or_insert(victim.model);
            if free >= model_spec.size_mb {
                return Some(eviction);
            }
        }
        None
    }

    /// Demand for adapters that an engine serves, in requests a second; the demand of a model is
    /// divided evenly among its replicas.
    fn adapter_rate(&self, engine: &EngineView) -> f64 {
        let rates = engine.inventory.loaded.keys().map(|model| {
            let replicas = self.replicas.get(model).copied().unwrap_or(1).max(1);
            let demand = self.demand.get(model);
            demand.map_or(0.0, |d| d.adapter_rate) / replicas as f64
        });
        rates.sum()
    }

    fn victims(&self, engine: &'a EngineView) -> Vec<Victim<'a>> {
        let settled = |model: &ModelId| {
            let since = engine.held_since.get(model);
            since.is_none_or(|at| self.now.saturating_duration_since(*at) >= MIN_LOADED_TIME)
        };
        let models = engine
            .inventory
            .loaded
            .keys()
            .filter(|model| settled(model));
        let victims = models.map(|model| {
            let count = self.replicas.get(model).copied().unwrap_or(1);
            let running = engine.running_requests.get(model);
            let running = f64::from(running.copied().unwrap_or_default());
            let model_spec = self.spec.models.get(model);
            Victim {
                model,
                value: self.replica_value(model, count),
                size_mb: self.size_mb(engine, model),
                unload_time: UNLOAD_SECONDS + FINISH_SECONDS * (1.0 - (-running).exp()),
                reload_time: model_spec.map_or(0.0, |m| m.memory_time.as_secs_f64()),
            }
        });
        victims.collect()
    }

    /// Space that an engine's models and its incoming model take, in megabytes.
    fn used_mb(&self, engine: &EngineView) -> f64 {
        let held: f64 = engine
            .inventory
            .loaded
            .keys()
            .map(|m| self.size_mb(engine, m))
            .sum();
        let incoming = engine
            .incoming_model
            .as_ref()
            .and_then(|m| self.spec.models.get(m));
        held + incoming.map_or(0.0, |model_spec| model_spec.size_mb)
    }

    /// Size of a held model with its adapters, in megabytes.
    fn size_mb(&self, engine: &EngineView, model: &ModelId) -> f64 {
        let Some(model_spec) = self.spec.models.get(model) else {
            // A model that the configuration no longer contains still takes space, but its size
            // is unknown.
            return self.spec.capacity_mb;
        };
        let adapters = engine.inventory.loaded.get(model).map_or(0, BTreeSet::len);
        model_spec.size_mb + adapters as f64 * model_spec.adapter_mb
    }
}
