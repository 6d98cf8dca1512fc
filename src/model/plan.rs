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
    Candidate, Origin, Placement, checkpoint_origin, choose_engine, load_time, loads_under_way,
};
use super::scale::{Backlog, is_idle, replicas_to_add};
use super::{adapters, reconcile};
use crate::ids::{AdapterId, ModelId, ReplicaId, UpstreamId};
use crate::schema::declaration::{Declaration, Model};
use crate::store::{Instance, InstanceKind, InstanceState};
use crate::units::Bytes;

/// Age above which a load report is not used to place replicas.
const REPORT_BOUND: Duration = Duration::from_secs(5);
/// Time after its last use in which a replica is not evicted.
const EVICT_GRACE: Duration = Duration::from_secs(3);
/// Wait that is estimated, beside the load time, when no engine has enough memory and no replica
/// can be evicted.
const NO_ROOM: Duration = Duration::from_secs(5);
/// Time that is estimated for an unload, and for a finished load to show in the reports.
const SETTLE: Duration = Duration::from_secs(1);

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
    /// The configuration in force.
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

/// An engine's memory, updated as commands are added to the plan.
#[derive(Clone, Debug)]
struct Room<'a> {
    engine: &'a Instance,
    id: UpstreamId,
    seen: &'a TimedReport,
    memory: Bytes,
    free: Bytes,
    coming: Bytes,
    loading: usize,
}

/// Makes a plan; `nonce` returns numbers that never repeat, for the ids of new replicas.
pub fn plan<F>(world: &ClusterState<'_>, nonce: F) -> Plan
where
    F: FnMut() -> u64,
{
    let mut planner = Planner::new(world, nonce);
    reconcile::commands(world, &mut planner.plan.commands);
    let shortages = adapters::commands(world, &mut planner.plan.commands);
    planner.relieve(shortages);
    planner.scale_up();
    planner.scale_down();
    planner.plan
}

/// An engine's total memory: the smaller of what the platform lists and what the engine reports.
pub(super) fn memory(engine: &Instance, seen: &TimedReport) -> Bytes {
    let reported = seen.report.memory;
    engine.memory.map_or(reported, |m| m.min(reported))
}

struct Planner<'a, 'w, F> {
    world: &'a ClusterState<'w>,
    nonce: F,
    rooms: Vec<Room<'w>>,
    slots: usize,
    starts: usize,
    evicted: BTreeSet<ReplicaId>,
    plan: Plan,
}

struct Wanted<'w> {
    id: &'w ModelId,
    model: &'w Model,
    deadline: Instant,
    work: u64,
}

impl<'a, 'w, F> Planner<'a, 'w, F>
where
    F: FnMut() -> u64,
{
    fn new(world: &'a ClusterState<'w>, nonce: F) -> Self {
        let rooms = world
            .engines
            .iter()
            .filter_map(|e| room(world, e))
            .collect();
        let used = remote_loads(world) + world.pending_remote;
        Self {
            world,
            nonce,
            rooms,
            slots: world.policy.load_slots.saturating_sub(used),
            starts: world.start_budget,
            evicted: BTreeSet::new(),
            plan: Plan::default(),
        }
    }

    fn scale_up(&mut self) {
        for wanted in self.wanted() {
            let wait = self.place(&wanted);
            self.plan.waits.insert(wanted.id.clone(), wait);
        }
        for (model, wait) in loading_waits(self.world) {
            self.plan.waits.insert(model, wait);
        }
    }

    /// Models that need another replica, the most urgent first if the policy is by deadline.
    fn wanted(&self) -> Vec<Wanted<'w>> {
        let world = self.world;
        let mut wanted = Vec::new();
        for (id, model) in &world.declaration.models {
            let need = world.demand.get(id);
            let live = live(world, id);
            let waiting = need.map(|n| Backlog {
                requests: n.requests,
                drain_time: n.drain_time,
            });
            let time = load_time(Origin::Remote, model.weights, world.policy.load_bandwidth);
            if replicas_to_add(model, live, waiting, time) == 0 {
                continue;
            }
            wanted.push(Wanted {
                id,
                model,
                deadline: need.map_or(world.now + REPORT_BOUND * 12, |n| n.deadline),
                work: need.map_or(0, |n| n.work.0),
            });
        }
        if world.policy.by_deadline {
            wanted.sort_by_key(|w| (w.deadline, std::cmp::Reverse(w.work)));
        }
        wanted
    }

    /// Adds the commands for one more replica and returns the expected time until it is ready.
    fn place(&mut self, wanted: &Wanted<'w>) -> Duration {
        let policy = self.world.policy;
        let size = wanted.model.weights + wanted.model.floor;
        let remote = load_time(Origin::Remote, wanted.model.weights, policy.load_bandwidth);
        let decided = self.world.intents.get(wanted.id);
        let total = decided.map_or(0, |d| d.replicas.len());
        if self.world.busy.contains(wanted.id) {
            return remote;
        }
        if total >= wanted.model.maximum as usize {
            return remote + SETTLE * 2;
        }
        let candidates = self.candidates(wanted, size);
        let Some(best) = choose_engine(policy.placement, candidates) else {
            return remote + self.make_room(wanted.id, size);
        };
        if best.origin == Origin::Remote {
            if self.slots == 0 || self.starts == 0 {
                self.rooms[best.engine].free = best.memory_left;
                return best.time * 2;
            }
            self.slots -= 1;
            self.starts -= 1;
        }
        self.load(wanted, &best);
        best.time + SETTLE
    }

    fn candidates(&self, wanted: &Wanted<'w>, size: Bytes) -> Vec<Candidate<usize>> {
        let policy = self.world.policy;
        let fitting = self
            .rooms
            .iter()
            .enumerate()
            .filter(|(_, r)| r.free >= size);
        let candidates = fitting.map(|(at, room)| {
            let from = checkpoint_origin(&room.seen.report, wanted.id, &wanted.model.version);
            Candidate {
                engine: at,
                origin: from,
                time: load_time(from, wanted.model.weights, policy.load_bandwidth),
                loading: room.loading,
                memory_left: room.free - size,
            }
        });
        candidates.collect()
    }

    fn load(&mut self, wanted: &Wanted<'w>, best: &Candidate<usize>) {
        let Ok(replica) = replica_id(wanted.id, (self.nonce)()) else {
            return;
        };
        let room = &mut self.rooms[best.engine];
        room.free = best.memory_left;
        room.loading += 1;
        let load = Load {
            replica,
            model: wanted.id.clone(),
            version: wanted.model.version.clone(),
            weights: wanted.model.weights,
            floor: wanted.model.floor,
            maximum: wanted.model.maximum,
            memory: room.memory,
        };
        self.plan.commands.push(Command::Load {
            engine: room.engine.clone(),
            load,
            origin: best.origin,
        });
    }

    /// Claims memory that is being freed, or evicts idle replicas to free it, and returns the
    /// expected time until it is free.
    fn make_room(&mut self, model: &ModelId, size: Bytes) -> Duration {
        let coming = self.rooms.iter_mut().find(|r| r.free + r.coming >= size);
        if let Some(room) = coming {
            let rest = size.saturating_sub(room.free);
            room.free = room.free.saturating_sub(size);
            room.coming = room.coming.saturating_sub(rest);
            return SETTLE;
        }
        let mut best: Option<(f64, usize, Vec<Target>)> = None;
        for at in 0..self.rooms.len() {
            let Some((cost, targets)) = self.victims(at, model, size) else {
                continue;
            };
            if best.as_ref().is_none_or(|(least, _, _)| cost < *least) {
                best = Some((cost, at, targets));
            }
        }
        let Some((_, at, targets)) = best else {
            return NO_ROOM;
        };
        self.evict(at, size, targets);
        SETTLE
    }

    /// Evicts idle replicas on engines where adapters lack memory.
    fn relieve(&mut self, shortages: Vec<adapters::Shortage>) {
        for shortage in shortages {
            let place = self.rooms.iter().position(|r| r.id == shortage.engine);
            let Some(at) = place else {
                continue;
            };
            let room = &mut self.rooms[at];
            if room.free + room.coming >= shortage.bytes {
                room.coming = room.coming.saturating_sub(shortage.bytes);
                continue;
            }
            match self.victims(at, &shortage.model, shortage.bytes) {
                Some((_, targets)) => self.evict(at, shortage.bytes, targets),
                None => self.plan.commands.extend(shortage.instead),
            }
        }
    }

    fn evict(&mut self, at: usize, size: Bytes, targets: Vec<Target>) {
        let room = &mut self.rooms[at];
        let freed: Bytes = targets.iter().map(|t| t.bytes).sum();
        room.coming = (room.free + room.coming + freed).saturating_sub(size);
        room.free = Bytes::ZERO;
        let engine = room.engine.clone();
        for target in targets {
            self.evicted.insert(target.replica.clone());
            let engine = engine.clone();
            self.plan.commands.push(Command::Unload { engine, target });
        }
    }

    /// The least valuable idle replicas of an engine that together free enough memory, with their
    /// total value; `None` if all of them do not free enough.
    fn victims(&self, at: usize, model: &ModelId, size: Bytes) -> Option<(f64, Vec<Target>)> {
        let room = &self.rooms[at];
        let world = self.world;
        let mut idle: Vec<(f64, Target)> = Vec::new();
        for target in self.idle_targets(room, model) {
            let declared = world.declaration.models.get(&target.model);
            let weights = declared.map_or(target.bytes, |m| m.weights);
            let origin = checkpoint_origin(&room.seen.report, &target.model, &target.version);
            let reload = load_time(origin, weights, world.policy.load_bandwidth);
            let cost = world.usage.get(&target.model).map_or(0.0, |usage| {
                retention_value(world.policy.eviction, usage, reload, world.now)
            });
            idle.push((cost, target));
        }
        idle.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut gained = room.free + room.coming;
        let mut cost = 0.0;
        let mut targets = Vec::new();
        for (each, target) in idle {
            if gained >= size {
                break;
            }
            gained = gained + target.bytes;
            cost += each;
            targets.push(target);
        }
        (gained >= size).then_some((cost, targets))
    }

    fn idle_targets(&self, room: &Room<'_>, model: &ModelId) -> Vec<Target> {
        let world = self.world;
        let mut targets = Vec::new();
        for report in &room.seen.report.replicas {
            let owner = &report.model;
            let quiet = report.running == 0 && report.queued == 0;
            let spared = owner == model
                || world.demand.contains_key(owner)
                || world.busy.contains(owner)
                || self.evicted.contains(&report.replica);
            let used = world.usage.get(owner).map(|u| u.last);
            let recent = used.is_some_and(|last| last + EVICT_GRACE > world.now);
            if !quiet || spared || recent || !above_minimum(world, owner) {
                continue;
            }
            let Some(target) = ready_target(world, &room.id, owner, &report.replica) else {
                continue;
            };
            targets.push(target);
        }
        targets
    }

    fn scale_down(&mut self) {
        let world = self.world;
        for (id, model) in &world.declaration.models {
            if world.demand.contains_key(id) || world.busy.contains(id) {
                continue;
            }
            let usage = world.usage.get(id);
            if !is_idle(
                model,
                live(world, id),
                usage,
                world.policy.idle_time,
                world.now,
            ) {
                continue;
            }
            self.unload_one(id);
        }
    }

    fn unload_one(&mut self, model: &ModelId) {
        for room in &self.rooms {
            let replicas = &room.seen.report.replicas;
            let idle = replicas
                .iter()
                .find(|r| &r.model == model && r.running == 0 && r.queued == 0);
            let Some(report) = idle.filter(|r| !self.evicted.contains(&r.replica)) else {
                continue;
            };
            if let Some(target) = ready_target(self.world, &room.id, model, &report.replica) {
                let engine = room.engine.clone();
                self.plan.commands.push(Command::Unload { engine, target });
                return;
            }
        }
    }
}

/// Number of a model's intents that are not withdrawn.
pub(super) fn live(world: &ClusterState<'_>, model: &ModelId) -> u32 {
    let Some(decided) = world.intents.get(model) else {
        return 0;
    };
    let states = decided.replicas.values().map(|i| i.state);
    states.filter(|s| *s != IntentState::Unloading).count() as u32
}

fn above_minimum(world: &ClusterState<'_>, model: &ModelId) -> bool {
    let minimum = world.declaration.models.get(model).map_or(0, |m| m.minimum);
    live(world, model) > minimum
}

fn ready_target(
    world: &ClusterState<'_>,
    engine: &UpstreamId,
    model: &ModelId,
    replica: &ReplicaId,
) -> Option<Target> {
    let intent = world.intents.get(model)?.replicas.get(replica)?;
    if intent.state != IntentState::Ready || &intent.engine != engine {
        return None;
    }
    let hold = world.reservations.get(engine)?.holds.get(replica)?;
    Some(Target {
        model: model.clone(),
        replica: replica.clone(),
        version: intent.version.clone(),
        bytes: hold.total(),
    })
}

fn room<'w>(world: &ClusterState<'w>, engine: &'w Instance) -> Option<Room<'w>> {
    if engine.kind != InstanceKind::Engine || engine.state != InstanceState::Live {
        return None;
    }
    let id = upstream_id(engine).ok()?;
    let seen = world.reports.get(&id)?;
    let old = world.now.saturating_duration_since(seen.taken) > REPORT_BOUND;
    if old || seen.report.leaving {
        return None;
    }
    let reserved = world.reservations.get(&id)?;
    let memory = memory(engine, seen);
    let stray = stray_bytes(reserved, seen);
    let pending = world.pending.get(&id).copied().unwrap_or_default();
    let free = memory
        .saturating_sub(reserved.total())
        .saturating_sub(stray)
        .saturating_sub(pending);
    Some(Room {
        engine,
        seen,
        memory,
        free,
        coming: coming(world, reserved),
        loading: loads_under_way(&seen.report),
        id,
    })
}

/// Memory of reported replicas that have no reservation.
fn stray_bytes(reserved: &Reservations, seen: &TimedReport) -> Bytes {
    let replicas = seen.report.replicas.iter();
    let strays = replicas.filter(|r| !reserved.holds.contains_key(&r.replica));
    strays.map(|r| r.bytes).sum()
}

/// Memory reserved for replicas that are withdrawn or have no intent, which will be freed.
fn coming(world: &ClusterState<'_>, reserved: &Reservations) -> Bytes {
    let holds = reserved.holds.iter();
    let leaving = holds.filter(|(replica, hold)| {
        let decided = world.intents.get(&hold.model);
        let intent = decided.and_then(|d| d.replicas.get(*replica));
        intent.is_none_or(|i| i.state == IntentState::Unloading)
    });
    leaving.map(|(_, hold)| hold.total()).sum()
}

/// Number of intents whose replicas are loading from the weight store.
fn remote_loads(world: &ClusterState<'_>) -> usize {
    let intents = world.intents.iter().flat_map(|(model, decided)| {
        let replicas = decided.replicas.values();
        replicas.map(move |intent| (model, intent))
    });
    let remote = intents.filter(|(model, intent)| {
        let seen = world.reports.get(&intent.engine);
        let origin = seen.map(|s| checkpoint_origin(&s.report, model, &intent.version));
        intent.state == IntentState::Loading && origin.is_none_or(|o| o == Origin::Remote)
    });
    remote.count()
}

/// Expected time until a load in progress is ready, for each model that has one.
fn loading_waits(world: &ClusterState<'_>) -> Vec<(ModelId, Duration)> {
    let mut waits = Vec::new();
    for (id, decided) in world.intents {
        let Some(model) = world.declaration.models.get(id) else {
            continue;
        };
        let loading = |i: &&super::intents::Intent| i.state == IntentState::Loading;
        let Some(intent) = decided.replicas.values().find(loading) else {
            continue;
        };
        let seen = world.reports.get(&intent.engine);
        let origin = seen.map_or(Origin::Remote, |s| {
            checkpoint_origin(&s.report, id, &intent.version)
        });
        let time = load_time(origin, model.weights, world.policy.load_bandwidth);
        let entry = decided.replicas.iter().find(|(_, i)| loading(i));
        let ordered = entry.and_then(|(replica, _)| world.observations.last_order(replica));
        let spent = ordered.map_or(Duration::ZERO, |at| world.now.saturating_duration_since(at));
        waits.push((id.clone(), time.saturating_sub(spent) + SETTLE));
    }
    waits
}
