//! Plans the next commands for replicas, adapters and reservations.
//!
//! Planning is a pure function from the [`ClusterState`], the cluster as this VM knows it, to
//! [`Command`]s. If that knowledge is stale, commands fail or work is wasted, but no bound is
//! exceeded, since each command is checked again by compare-and-set when it is executed.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use super::admission::ModelDemand;
use super::command::Command;
use super::eviction::{Eviction, Usage, retention_value};
use super::executor::{Load, Target, upstream_id};
use super::intents::{IntentState, Intents, Reservations, replica_id};
use super::observations::{Observations, TimedReport};
use super::placement::{
    Candidate, Origin, Placement, checkpoint_origin, choose_engine, count_loading, load_time,
};
use super::scale::{Backlog, is_idle, replicas_to_add};
use super::{adapters, reconcile};
use crate::ids::{AdapterId, ModelId, ReplicaId, UpstreamId};
use crate::schema::declaration::{Declaration, Model};
use crate::store::{Instance, InstanceKind, InstanceState};
use crate::units::Bytes;

/// Age above which a load report is not used to place replicas.
const MAX_REPORT_AGE: Duration = Duration::from_secs(5);
/// Time after its last use in which a replica is not evicted.
const EVICTION_GRACE: Duration = Duration::from_secs(3);
/// Wait that is estimated, beside the load time, when no engine has enough memory and no replica
/// can be evicted.
const NO_MEMORY_WAIT: Duration = Duration::from_secs(5);
/// Time that is estimated for an unload, and for a finished load to show in the reports.
const SETTLE_TIME: Duration = Duration::from_secs(1);

/// The parameters of planning.
#[derive(Clone, Debug)]
pub struct Policy {
    /// Bytes a second that one load reads from the weight store.
    pub load_bandwidth: Bytes,
    /// Most loads from the weight store in progress at once.
    pub load_slots: usize,
    /// Most adapter loads in progress at once.
    pub adapter_slots: usize,
    /// Idle time after which a replica or an adapter may be unloaded.
    pub idle_time: Duration,
    /// Longest time after its sending in which an order may take effect.
    pub order_lifetime: Duration,
    /// Time after which an order that shows no effect in the reports is sent again.
    pub order_retry: Duration,
    /// How the replica to evict is chosen.
    pub eviction: Eviction,
    /// How the engine for a load is chosen.
    pub placement: Placement,
    /// Whether models are loaded by deadline; otherwise by model id.
    pub by_deadline: bool,
}

/// The cluster as this VM knows it: the input of planning.
#[derive(Clone, Copy, Debug)]
pub struct ClusterState<'a> {
    /// The declaration in force.
    pub declaration: &'a Declaration,
    /// The platform's list of engines.
    pub engines: &'a [Instance],
    /// Intents as last read, by model.
    pub intents: &'a BTreeMap<ModelId, Intents>,
    /// Reservations as last read, by engine.
    pub reservations: &'a BTreeMap<UpstreamId, Reservations>,
    /// Newest load reports, by engine.
    pub reports: &'a BTreeMap<UpstreamId, TimedReport>,
    /// Requests that wait at this VM or at VMs that asked it for a load, by model.
    pub demand: &'a BTreeMap<ModelId, ModelDemand>,
    /// When and how often each model was used.
    pub usage: &'a BTreeMap<ModelId, Usage>,
    /// When each adapter was last used.
    pub adapter_usage: &'a BTreeMap<AdapterId, Instant>,
    /// What this process observed, and since when.
    pub observations: &'a Observations,
    /// Models with commands in execution, or paused after a failure.
    pub busy: &'a BTreeSet<ModelId>,
    /// Memory of loads in execution that the reservations may not show yet, by engine.
    pub pending: &'a BTreeMap<UpstreamId, Bytes>,
    /// Number of loads from the weight store in execution that the intents may not show yet.
    pub pending_remote: usize,
    /// Number of loads from the weight store that may start now.
    pub start_budget: usize,
    /// The parameters of planning.
    pub policy: &'a Policy,
    /// The present time.
    pub now: Instant,
}

/// Commands to execute, and when replicas are expected to be ready.
#[derive(Clone, Debug, Default)]
pub struct Plan {
    /// Commands in the order of their execution.
    pub commands: Vec<Command>,
    /// Expected time until a replica is ready, by model, for models that lack one.
    pub waits: BTreeMap<ModelId, Duration>,
}

/// An engine that takes loads, with its memory, updated as commands are added to the plan.
#[derive(Clone, Debug)]
struct PlannedEngine<'a> {
    engine: &'a Instance,
    id: UpstreamId,
    timed: &'a TimedReport,
    memory: Bytes,
    /// Memory that is neither reserved nor in use.
    free: Bytes,
    /// Memory of replicas that are being unloaded, less what the plan has claimed of it.
    freeing: Bytes,
    /// Number of loads in progress, including those of the plan.
    loading: usize,
}

/// Makes a plan; `nonce` returns numbers that never repeat, for the ids of new replicas.
pub fn plan<F>(cluster: &ClusterState<'_>, nonce: F) -> Plan
where
    F: FnMut() -> u64,
{
    let mut planner = Planner::new(cluster, nonce);
    reconcile::plan_corrections(cluster, &mut planner.plan.commands);
    let shortages = adapters::plan_adapters(cluster, &mut planner.plan.commands);
    planner.free_adapter_memory(shortages);
    planner.scale_up();
    planner.scale_down();
    planner.plan
}

/// An engine's total memory: the smaller of what the platform lists and what the engine reports.
pub(super) fn total_memory(engine: &Instance, timed: &TimedReport) -> Bytes {
    let reported = timed.report.memory;
    engine.memory.map_or(reported, |m| m.min(reported))
}

/// The state of planning: what is left to give out, and the plan so far.
struct Planner<'a, 'w, F> {
    cluster: &'a ClusterState<'w>,
    nonce: F,
    engines: Vec<PlannedEngine<'w>>,
    /// Loads from the weight store that may still be added, by the limit of those in progress.
    free_slots: usize,
    /// Loads from the weight store that may still be added, by the limit of starts.
    starts_left: usize,
    evicted: BTreeSet<ReplicaId>,
    plan: Plan,
}

/// A model that needs another replica.
struct MissingReplica<'w> {
    id: &'w ModelId,
    model: &'w Model,
    deadline: Instant,
    work: u64,
}

impl<'a, 'w, F> Planner<'a, 'w, F>
where
    F: FnMut() -> u64,
{
    fn new(cluster: &'a ClusterState<'w>, nonce: F) -> Self {
        let engines = cluster
            .engines
            .iter()
            .filter_map(|e| plan_engine(cluster, e))
            .collect();
        let used = remote_loads(cluster) + cluster.pending_remote;
        Self {
            cluster,
            nonce,
            engines,
            free_slots: cluster.policy.load_slots.saturating_sub(used),
            starts_left: cluster.start_budget,
            evicted: BTreeSet::new(),
            plan: Plan::default(),
        }
    }

    /// Adds replicas for models that need one, and estimates the time until one is ready.
    fn scale_up(&mut self) {
        for missing in self.missing_replicas() {
            let wait = self.add_replica(&missing);
            self.plan.waits.insert(missing.id.clone(), wait);
        }
        for (model, wait) in loading_waits(self.cluster) {
            self.plan.waits.insert(model, wait);
        }
    }

    /// Models that need another replica, the most urgent first if the policy is by deadline.
    fn missing_replicas(&self) -> Vec<MissingReplica<'w>> {
        let cluster = self.cluster;
        let mut missing = Vec::new();
        for (id, model) in &cluster.declaration.models {
            let demand = cluster.demand.get(id);
            let live = live_replicas(cluster, id);
            let backlog = demand.map(|d| Backlog {
                requests: d.requests,
                drain_time: d.drain_time,
            });
            let time = load_time(Origin::Remote, model.weights, cluster.policy.load_bandwidth);
            if replicas_to_add(model, live, backlog, time) == 0 {
                continue;
            }
            // A replica that only the declared minimum needs has no deadline; it ranks as if one
            // were a minute away.
            missing.push(MissingReplica {
                id,
                model,
                deadline: demand.map_or(cluster.now + MAX_REPORT_AGE * 12, |d| d.deadline),
                work: demand.map_or(0, |d| d.work.0),
            });
        }
        if cluster.policy.by_deadline {
            missing.sort_by_key(|m| (m.deadline, std::cmp::Reverse(m.work)));
        }
        missing
    }

    /// Adds the commands for one more replica and returns the expected time until it is ready.
    fn add_replica(&mut self, missing: &MissingReplica<'w>) -> Duration {
        let policy = self.cluster.policy;
        let size = missing.model.weights + missing.model.floor;
        let remote = load_time(Origin::Remote, missing.model.weights, policy.load_bandwidth);
        let intents = self.cluster.intents.get(missing.id);
        let total = intents.map_or(0, |i| i.replicas.len());
        if self.cluster.busy.contains(missing.id) {
            return remote;
        }
        if total >= missing.model.maximum as usize {
            return remote + SETTLE_TIME * 2;
        }
        let candidates = self.candidates(missing, size);
        let Some(best) = choose_engine(policy.placement, candidates) else {
            return remote + self.free_memory(missing.id, size);
        };
        if best.origin == Origin::Remote {
            if self.free_slots == 0 || self.starts_left == 0 {
                self.engines[best.engine].free = best.memory_left;
                return best.time * 2;
            }
            self.free_slots -= 1;
            self.starts_left -= 1;
        }
        self.load(missing, &best);
        best.time + SETTLE_TIME
    }

    /// The engines with enough free memory.
    fn candidates(&self, missing: &MissingReplica<'w>, size: Bytes) -> Vec<Candidate<usize>> {
        let policy = self.cluster.policy;
        let fitting = self
            .engines
            .iter()
            .enumerate()
            .filter(|(_, r)| r.free >= size);
        let candidates = fitting.map(|(index, planned)| {
            let origin =
                checkpoint_origin(&planned.timed.report, missing.id, &missing.model.version);
            Candidate {
                engine: index,
                origin,
                time: load_time(origin, missing.model.weights, policy.load_bandwidth),
                loading: planned.loading,
                memory_left: planned.free - size,
            }
        });
        candidates.collect()
    }

    fn load(&mut self, missing: &MissingReplica<'w>, best: &Candidate<usize>) {
        let Ok(replica) = replica_id(missing.id, (self.nonce)()) else {
            return;
        };
        let planned = &mut self.engines[best.engine];
        planned.free = best.memory_left;
        planned.loading += 1;
        let load = Load {
            replica,
            model: missing.id.clone(),
            version: missing.model.version.clone(),
            weights: missing.model.weights,
            floor: missing.model.floor,
            maximum: missing.model.maximum,
            memory: planned.memory,
        };
        self.plan.commands.push(Command::Load {
            engine: planned.engine.clone(),
            load,
            origin: best.origin,
        });
    }

    /// Claims memory that is being freed, or evicts idle replicas to free it, and returns the
    /// expected time until it is free.
    fn free_memory(&mut self, model: &ModelId, size: Bytes) -> Duration {
        let freeing = self.engines.iter_mut().find(|e| e.free + e.freeing >= size);
        if let Some(planned) = freeing {
            let lacking = size.saturating_sub(planned.free);
            planned.free = planned.free.saturating_sub(size);
            planned.freeing = planned.freeing.saturating_sub(lacking);
            return SETTLE_TIME;
        }
        let mut best: Option<(f64, usize, Vec<Target>)> = None;
        for index in 0..self.engines.len() {
            let Some((value, targets)) = self.cheapest_eviction(index, model, size) else {
                continue;
            };
            if best.as_ref().is_none_or(|(least, _, _)| value < *least) {
                best = Some((value, index, targets));
            }
        }
        let Some((_, index, targets)) = best else {
            return NO_MEMORY_WAIT;
        };
        self.evict(index, size, targets);
        SETTLE_TIME
    }

    /// Evicts idle replicas on engines where adapters lack memory.
    fn free_adapter_memory(&mut self, shortages: Vec<adapters::Shortage>) {
        for shortage in shortages {
            let index = self.engines.iter().position(|e| e.id == shortage.engine);
            let Some(index) = index else {
                continue;
            };
            let planned = &mut self.engines[index];
            if planned.free + planned.freeing >= shortage.bytes {
                planned.freeing = planned.freeing.saturating_sub(shortage.bytes);
                continue;
            }
            match self.cheapest_eviction(index, &shortage.model, shortage.bytes) {
                Some((_, targets)) => self.evict(index, shortage.bytes, targets),
                None => self.plan.commands.extend(shortage.fallback),
            }
        }
    }

    fn evict(&mut self, index: usize, size: Bytes, targets: Vec<Target>) {
        let planned = &mut self.engines[index];
        let freed: Bytes = targets.iter().map(|t| t.bytes).sum();
        planned.freeing = (planned.free + planned.freeing + freed).saturating_sub(size);
        planned.free = Bytes::ZERO;
        let engine = planned.engine.clone();
        for target in targets {
            self.evicted.insert(target.replica.clone());
            let engine = engine.clone();
            self.plan.commands.push(Command::Unload { engine, target });
        }
    }

    /// The least valuable idle replicas of an engine that together free enough memory, with their
    /// total value; `None` if all of them do not free enough.
    fn cheapest_eviction(
        &self,
        index: usize,
        model: &ModelId,
        size: Bytes,
    ) -> Option<(f64, Vec<Target>)> {
        let planned = &self.engines[index];
        let cluster = self.cluster;
        let mut idle: Vec<(f64, Target)> = Vec::new();
        for target in self.idle_targets(planned, model) {
            let declared = cluster.declaration.models.get(&target.model);
            let weights = declared.map_or(target.bytes, |m| m.weights);
            let origin = checkpoint_origin(&planned.timed.report, &target.model, &target.version);
            let reload = load_time(origin, weights, cluster.policy.load_bandwidth);
            let value = cluster.usage.get(&target.model).map_or(0.0, |usage| {
                retention_value(cluster.policy.eviction, usage, reload, cluster.now)
            });
            idle.push((value, target));
        }
        idle.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut gained = planned.free + planned.freeing;
        let mut value = 0.0;
        let mut targets = Vec::new();
        for (target_value, target) in idle {
            if gained >= size {
                break;
            }
            gained = gained + target.bytes;
            value += target_value;
            targets.push(target);
        }
        (gained >= size).then_some((value, targets))
    }

    /// The replicas of an engine that may be evicted for `model`.
    fn idle_targets(&self, planned: &PlannedEngine<'_>, model: &ModelId) -> Vec<Target> {
        let cluster = self.cluster;
        let mut targets = Vec::new();
        for report in &planned.timed.report.replicas {
            let loaded = &report.model;
            let unused = report.running == 0 && report.queued == 0;
            let excluded = loaded == model
                || cluster.demand.contains_key(loaded)
                || cluster.busy.contains(loaded)
                || self.evicted.contains(&report.replica);
            let used = cluster.usage.get(loaded).map(|u| u.last);
            let recent = used.is_some_and(|last| last + EVICTION_GRACE > cluster.now);
            if !unused || excluded || recent || !is_above_minimum(cluster, loaded) {
                continue;
            }
            let Some(target) = ready_target(cluster, &planned.id, loaded, &report.replica) else {
                continue;
            };
            targets.push(target);
        }
        targets
    }

    /// Unloads one replica of each model that has been idle for long enough.
    fn scale_down(&mut self) {
        let cluster = self.cluster;
        for (id, model) in &cluster.declaration.models {
            if cluster.demand.contains_key(id) || cluster.busy.contains(id) {
                continue;
            }
            let usage = cluster.usage.get(id);
            if !is_idle(
                model,
                live_replicas(cluster, id),
                usage,
                cluster.policy.idle_time,
                cluster.now,
            ) {
                continue;
            }
            self.unload_idle(id);
        }
    }

    /// Unloads one idle replica of a model.
    fn unload_idle(&mut self, model: &ModelId) {
        for planned in &self.engines {
            let replicas = &planned.timed.report.replicas;
            let idle = replicas
                .iter()
                .find(|r| &r.model == model && r.running == 0 && r.queued == 0);
            let Some(report) = idle.filter(|r| !self.evicted.contains(&r.replica)) else {
                continue;
            };
            if let Some(target) = ready_target(self.cluster, &planned.id, model, &report.replica) {
                let engine = planned.engine.clone();
                self.plan.commands.push(Command::Unload { engine, target });
                return;
            }
        }
    }
}

/// Number of a model's intents that are not withdrawn.
pub(super) fn live_replicas(cluster: &ClusterState<'_>, model: &ModelId) -> u32 {
    let Some(intents) = cluster.intents.get(model) else {
        return 0;
    };
    let states = intents.replicas.values().map(|i| i.state);
    states.filter(|s| *s != IntentState::Unloading).count() as u32
}

fn is_above_minimum(cluster: &ClusterState<'_>, model: &ModelId) -> bool {
    let minimum = cluster
        .declaration
        .models
        .get(model)
        .map_or(0, |m| m.minimum);
    live_replicas(cluster, model) > minimum
}

/// The replica as the target of an unload, if its intent is ready and it has a reservation.
fn ready_target(
    cluster: &ClusterState<'_>,
    engine: &UpstreamId,
    model: &ModelId,
    replica: &ReplicaId,
) -> Option<Target> {
    let intent = cluster.intents.get(model)?.replicas.get(replica)?;
    if intent.state != IntentState::Ready || &intent.engine != engine {
        return None;
    }
    let reservation = cluster.reservations.get(engine)?.holds.get(replica)?;
    Some(Target {
        model: model.clone(),
        replica: replica.clone(),
        version: intent.version.clone(),
        bytes: reservation.total(),
    })
}

/// The engine with its free memory; `None` if it cannot take loads, or too little is known of it.
fn plan_engine<'w>(cluster: &ClusterState<'w>, engine: &'w Instance) -> Option<PlannedEngine<'w>> {
    if engine.kind != InstanceKind::Engine || engine.state != InstanceState::Live {
        return None;
    }
    let id = upstream_id(engine).ok()?;
    let timed = cluster.reports.get(&id)?;
    let outdated = cluster.now.saturating_duration_since(timed.taken) > MAX_REPORT_AGE;
    if outdated || timed.report.leaving {
        return None;
    }
    let reservations = cluster.reservations.get(&id)?;
    let memory = total_memory(engine, timed);
    let stray = unreserved_bytes(reservations, timed);
    let pending = cluster.pending.get(&id).copied().unwrap_or_default();
    let free = memory
        .saturating_sub(reservations.total())
        .saturating_sub(stray)
        .saturating_sub(pending);
    Some(PlannedEngine {
        engine,
        timed,
        memory,
        free,
        freeing: memory_being_freed(cluster, reservations),
        loading: count_loading(&timed.report),
        id,
    })
}

/// Memory of reported replicas that have no reservation.
fn unreserved_bytes(reservations: &Reservations, timed: &TimedReport) -> Bytes {
    let replicas = timed.report.replicas.iter();
    let strays = replicas.filter(|r| !reservations.holds.contains_key(&r.replica));
    strays.map(|r| r.bytes).sum()
}

/// Memory reserved for replicas that are withdrawn or have no intent, which will be freed.
fn memory_being_freed(cluster: &ClusterState<'_>, reservations: &Reservations) -> Bytes {
    let all = reservations.holds.iter();
    let leaving = all.filter(|(replica, reservation)| {
        let intents = cluster.intents.get(&reservation.model);
        let intent = intents.and_then(|i| i.replicas.get(*replica));
        intent.is_none_or(|i| i.state == IntentState::Unloading)
    });
    leaving.map(|(_, reservation)| reservation.total()).sum()
}

/// Number of intents whose replicas are loading from the weight store.
fn remote_loads(cluster: &ClusterState<'_>) -> usize {
    let intents = cluster.intents.iter().flat_map(|(model, intents)| {
        let replicas = intents.replicas.values();
        replicas.map(move |intent| (model, intent))
    });
    let remote = intents.filter(|(model, intent)| {
        let timed = cluster.reports.get(&intent.engine);
        let origin = timed.map(|t| checkpoint_origin(&t.report, model, &intent.version));
        intent.state == IntentState::Loading && origin.is_none_or(|o| o == Origin::Remote)
    });
    remote.count()
}

/// Expected time until a load in progress is ready, for each model that has one.
fn loading_waits(cluster: &ClusterState<'_>) -> Vec<(ModelId, Duration)> {
    let mut waits = Vec::new();
    for (id, intents) in cluster.intents {
        let Some(model) = cluster.declaration.models.get(id) else {
            continue;
        };
        let loading = |i: &&super::intents::Intent| i.state == IntentState::Loading;
        let Some(intent) = intents.replicas.values().find(loading) else {
            continue;
        };
        let timed = cluster.reports.get(&intent.engine);
        let origin = timed.map_or(Origin::Remote, |t| {
            checkpoint_origin(&t.report, id, &intent.version)
        });
        let time = load_time(origin, model.weights, cluster.policy.load_bandwidth);
        let entry = intents.replicas.iter().find(|(_, i)| loading(i));
        let ordered = entry.and_then(|(replica, _)| cluster.observations.last_order(replica));
        let spent = ordered.map_or(Duration::ZERO, |sent| {
            cluster.now.saturating_duration_since(sent)
        });
        waits.push((id.clone(), time.saturating_sub(spent) + SETTLE_TIME));
    }
    waits
}
