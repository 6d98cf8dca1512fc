//! Plans adapters: attaches those that requests wait for and detaches idle ones.
//!
//! The number of attach orders in progress is limited.

use std::time::Instant;

use super::command::Command;
use super::executor::{Target, upstream_id};
use super::intents::{AdapterState, IntentState, Reservation, Reservations};
use super::observations::TimedReport;
use super::plan::{ClusterState, memory};
use super::reconcile::find;
use crate::ids::{AdapterId, ModelId, ReplicaId, UpstreamId};
use crate::schema::engine::{ReplicaReport, ReplicaState};
use crate::store::Instance;
use crate::units::Bytes;

/// An adapter for which the engine of its replica has too little free memory.
#[derive(Debug)]
pub(super) struct Shortage {
    /// The replica's model.
    pub(super) model: ModelId,
    /// The engine of the replica.
    pub(super) engine: UpstreamId,
    /// Size of the adapter.
    pub(super) bytes: Bytes,
    /// Detaches another adapter, in case no replica on the engine can be evicted.
    pub(super) instead: Option<Command>,
}

enum Step {
    Attach(Command),
    Lacks(Shortage),
}

/// Adds the commands for adapters to `out`, and returns the adapters that lack memory.
pub(super) fn commands(world: &ClusterState<'_>, out: &mut Vec<Command>) -> Vec<Shortage> {
    let mut shortages = Vec::new();
    let mut free = world.policy.adapter_slots.saturating_sub(in_flight(world));
    for (model, adapter) in wanted(world) {
        if free == 0 {
            break;
        }
        match attach(world, model, adapter) {
            Some(Step::Attach(command)) => {
                free -= 1;
                out.push(command);
            }
            Some(Step::Lacks(shortage)) => shortages.push(shortage),
            None => {}
        }
    }
    for (engine, reserved) in world.reservations {
        for (replica, hold) in &reserved.holds {
            if !world.busy.contains(&hold.model) {
                upkeep(world, engine, replica, hold, out);
            }
        }
    }
    shortages
}

/// Adapters that requests wait for, the earliest deadline first.
fn wanted<'a>(world: &ClusterState<'a>) -> Vec<(&'a ModelId, &'a AdapterId)> {
    let mut wanted: Vec<(Instant, &ModelId, &AdapterId)> = Vec::new();
    for (model, need) in world.demand {
        if world.busy.contains(model) {
            continue;
        }
        let adapters = need.adapters.iter();
        wanted.extend(adapters.map(|(adapter, deadline)| (*deadline, model, adapter)));
    }
    wanted.sort();
    wanted.into_iter().map(|(_, m, a)| (m, a)).collect()
}

/// Number of adapters that have a reservation but do not appear in the reports yet.
fn in_flight(world: &ClusterState<'_>) -> usize {
    let holds = world.reservations.iter().flat_map(|(engine, reserved)| {
        let seen = world.reports.get(engine);
        reserved
            .holds
            .iter()
            .map(move |(id, hold)| (seen, id, hold))
    });
    holds
        .map(|(seen, replica, hold)| {
            let adapters = hold.adapters.iter();
            let missing = adapters.filter(|(adapter, held)| {
                held.state == AdapterState::Attached
                    && seen.is_some_and(|s| !s.has_adapter(replica, adapter))
            });
            missing.count()
        })
        .sum()
}

/// A ready replica that an adapter could be attached to.
struct Place<'a> {
    engine: &'a Instance,
    seen: &'a TimedReport,
    reserved: &'a Reservations,
    replica: &'a ReplicaReport,
    free: Bytes,
}

fn places<'a>(world: &ClusterState<'a>, model: &ModelId) -> Vec<Place<'a>> {
    let mut places = Vec::new();
    let Some(decided) = world.intents.get(model) else {
        return places;
    };
    for (replica, intent) in &decided.replicas {
        if intent.state != IntentState::Ready {
            continue;
        }
        let found = find(world, &intent.engine);
        let seen = world.reports.get(&intent.engine);
        let reserved = world.reservations.get(&intent.engine);
        let (Some(engine), Some(seen), Some(reserved)) = (found, seen, reserved) else {
            continue;
        };
        let mut reports = seen.report.replicas.iter();
        let report = reports.find(|r| &r.replica == replica && r.state == ReplicaState::Ready);
        let Some(report) = report.filter(|_| !seen.report.leaving) else {
            continue;
        };
        places.push(Place {
            engine,
            seen,
            reserved,
            replica: report,
            free: memory(engine, seen).saturating_sub(reserved.total()),
        });
    }
    places
}

fn attach(world: &ClusterState<'_>, model: &ModelId, adapter: &AdapterId) -> Option<Step> {
    let declared = world.declaration.adapters.get(adapter)?;
    if &declared.model != model {
        return None;
    }
    let places = places(world, model);
    let under_way = places.iter().any(|p| {
        let last = world
            .observations
            .last_adapter_order(&p.replica.replica, adapter);
        last.is_some_and(|at| at + world.policy.order_retry > p.seen.taken)
    });
    let present = places.iter().any(|p| p.replica.adapters.contains(adapter));
    if under_way || present {
        return None;
    }
    let held = |p: &Place<'_>| {
        let hold = p.reserved.holds.get(&p.replica.replica);
        hold.is_some_and(|h| h.adapters.contains_key(adapter))
    };
    let place = places.iter().max_by_key(|p| (held(p), p.free))?;
    if !held(place) && place.free < declared.weights {
        return Some(Step::Lacks(Shortage {
            model: model.clone(),
            engine: upstream_id(place.engine).ok()?,
            bytes: declared.weights,
            instead: detach_oldest(world, model, place),
        }));
    }
    Some(Step::Attach(Command::Attach {
        engine: place.engine.clone(),
        target: target(model, place, declared.weights),
        adapter: adapter.clone(),
        memory: memory(place.engine, place.seen),
    }))
}

fn target(model: &ModelId, place: &Place<'_>, bytes: Bytes) -> Target {
    Target {
        model: model.clone(),
        replica: place.replica.replica.clone(),
        version: place.replica.version.clone(),
        bytes,
    }
}

/// Detaches the replica's least recently used adapter that no request waits for.
fn detach_oldest(world: &ClusterState<'_>, model: &ModelId, place: &Place<'_>) -> Option<Command> {
    let hold = place.reserved.holds.get(&place.replica.replica)?;
    let need = world.demand.get(model);
    let idle = hold.adapters.iter().filter(|(adapter, held)| {
        let waited = need.is_some_and(|n| n.adapters.contains_key(*adapter));
        held.state == AdapterState::Attached && !waited
    });
    let (adapter, oldest) = idle.min_by_key(|(a, _)| world.adapter_usage.get(*a))?;
    Some(Command::Detach {
        engine: place.engine.clone(),
        target: target(model, place, oldest.bytes),
        adapter: adapter.clone(),
    })
}

fn upkeep(
    world: &ClusterState<'_>,
    engine: &UpstreamId,
    replica: &ReplicaId,
    hold: &Reservation,
    out: &mut Vec<Command>,
) {
    let Some(seen) = world.reports.get(engine) else {
        return;
    };
    for (adapter, held) in &hold.adapters {
        let gone = world.observations.gone_adapter_epoch(
            replica,
            adapter,
            seen,
            world.policy.order_lifetime,
        );
        let command = match gone {
            Some(since) => Some(Command::DropAdapter {
                model: hold.model.clone(),
                engine: engine.clone(),
                replica: replica.clone(),
                adapter: adapter.clone(),
                since,
            }),
            None => detach(world, engine, replica, hold, adapter, held.state),
        };
        out.extend(command);
    }
}

/// Detaches an idle adapter, or repeats the order for a withdrawn one that is still reported.
fn detach(
    world: &ClusterState<'_>,
    engine: &UpstreamId,
    replica: &ReplicaId,
    hold: &Reservation,
    adapter: &AdapterId,
    state: AdapterState,
) -> Option<Command> {
    let found = places(world, &hold.model);
    let place = found.into_iter().find(|p| &p.replica.replica == replica)?;
    let last = world.observations.last_adapter_order(replica, adapter);
    let due = last.is_none_or(|at| at + world.policy.order_retry <= place.seen.taken);
    let used = world.adapter_usage.get(adapter);
    let idle = used.is_some_and(|at| *at + world.policy.idle_time <= world.now);
    let wanted = match state {
        AdapterState::Attached => idle || !world.declaration.adapters.contains_key(adapter),
        AdapterState::Detaching => place.replica.adapters.contains(adapter),
    };
    debug_assert!(upstream_id(place.engine).is_ok_and(|id| &id == engine));
    (wanted && due).then(|| Command::Detach {
        engine: place.engine.clone(),
        target: target(&hold.model, &place, hold.adapters[adapter].bytes),
        adapter: adapter.clone(),
    })
}
