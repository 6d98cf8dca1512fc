//! Plans adapters: attaches those that requests wait for and detaches idle ones.
//!
//! The number of attach orders in progress is limited.

use std::time::Instant;

use super::command::Command;
use super::executor::{Target, upstream_id};
use super::intents::{AdapterState, IntentState, Reservation, Reservations};
use super::observations::TimedReport;
use super::plan::{ClusterState, total_memory};
use super::reconcile::find_engine;
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
    pub(super) fallback: Option<Command>,
}

/// What the plan does about a missing adapter.
enum AttachPlan {
    Attach(Command),
    LacksMemory(Shortage),
}

/// Adds the commands for adapters to `out`, and returns the adapters that lack memory.
pub(super) fn plan_adapters(cluster: &ClusterState<'_>, out: &mut Vec<Command>) -> Vec<Shortage> {
    let mut shortages = Vec::new();
    let mut free = cluster
        .policy
        .adapter_slots
        .saturating_sub(count_attaching(cluster));
    for (model, adapter) in missing_adapters(cluster) {
        if free == 0 {
            break;
        }
        match plan_attach(cluster, model, adapter) {
            Some(AttachPlan::Attach(command)) => {
                free -= 1;
                out.push(command);
            }
            Some(AttachPlan::LacksMemory(shortage)) => shortages.push(shortage),
            None => {}
        }
    }
    for (engine, reservations) in cluster.reservations {
        for (replica, reservation) in &reservations.holds {
            if !cluster.busy.contains(&reservation.model) {
                reconcile_adapters(cluster, engine, replica, reservation, out);
            }
        }
    }
    shortages
}

/// Adapters that requests wait for, the earliest deadline first.
fn missing_adapters<'a>(cluster: &ClusterState<'a>) -> Vec<(&'a ModelId, &'a AdapterId)> {
    let mut missing: Vec<(Instant, &ModelId, &AdapterId)> = Vec::new();
    for (model, demand) in cluster.demand {
        if cluster.busy.contains(model) {
            continue;
        }
        let adapters = demand.adapters.iter();
        missing.extend(adapters.map(|(adapter, deadline)| (*deadline, model, adapter)));
    }
    missing.sort();
    missing.into_iter().map(|(_, m, a)| (m, a)).collect()
}

/// Number of adapters that have a reservation but do not appear in the reports yet.
fn count_attaching(cluster: &ClusterState<'_>) -> usize {
    let reservations = cluster
        .reservations
        .iter()
        .flat_map(|(engine, reservations)| {
            let timed = cluster.reports.get(engine);
            reservations
                .holds
                .iter()
                .map(move |(id, reservation)| (timed, id, reservation))
        });
    reservations
        .map(|(timed, replica, reservation)| {
            let adapters = reservation.adapters.iter();
            let missing = adapters.filter(|(adapter, entry)| {
                entry.state == AdapterState::Attached
                    && timed.is_some_and(|t| !t.has_adapter(replica, adapter))
            });
            missing.count()
        })
        .sum()
}

/// A ready replica that an adapter could be attached to.
struct AttachTarget<'a> {
    engine: &'a Instance,
    timed: &'a TimedReport,
    reservations: &'a Reservations,
    replica: &'a ReplicaReport,
    free: Bytes,
}

/// The ready replicas of a model, on engines that are listed, reported and not leaving.
fn attach_targets<'a>(cluster: &ClusterState<'a>, model: &ModelId) -> Vec<AttachTarget<'a>> {
    let mut targets = Vec::new();
    let Some(intents) = cluster.intents.get(model) else {
        return targets;
    };
    for (replica, intent) in &intents.replicas {
        if intent.state != IntentState::Ready {
            continue;
        }
        let found = find_engine(cluster, &intent.engine);
        let timed = cluster.reports.get(&intent.engine);
        let reservations = cluster.reservations.get(&intent.engine);
        let (Some(engine), Some(timed), Some(reservations)) = (found, timed, reservations) else {
            continue;
        };
        let mut reports = timed.report.replicas.iter();
        let report = reports.find(|r| &r.replica == replica && r.state == ReplicaState::Ready);
        let Some(report) = report.filter(|_| !timed.report.leaving) else {
            continue;
        };
        targets.push(AttachTarget {
            engine,
            timed,
            reservations,
            replica: report,
            free: total_memory(engine, timed).saturating_sub(reservations.total()),
        });
    }
    targets
}

/// Attaches a missing adapter to the replica that has a reservation for it, or else to the one on
/// the engine with the most free memory; `None` if it is attached or being attached already.
fn plan_attach(
    cluster: &ClusterState<'_>,
    model: &ModelId,
    adapter: &AdapterId,
) -> Option<AttachPlan> {
    let declared = cluster.declaration.adapters.get(adapter)?;
    if &declared.model != model {
        return None;
    }
    let targets = attach_targets(cluster, model);
    let in_progress = targets.iter().any(|t| {
        let last = cluster
            .observations
            .last_adapter_order(&t.replica.replica, adapter);
        last.is_some_and(|at| at + cluster.policy.order_retry > t.timed.taken)
    });
    let present = targets.iter().any(|t| t.replica.adapters.contains(adapter));
    if in_progress || present {
        return None;
    }
    let has_reservation = |t: &AttachTarget<'_>| {
        let reservation = t.reservations.holds.get(&t.replica.replica);
        reservation.is_some_and(|r| r.adapters.contains_key(adapter))
    };
    let chosen = targets
        .iter()
        .max_by_key(|t| (has_reservation(t), t.free))?;
    if !has_reservation(chosen) && chosen.free < declared.weights {
        return Some(AttachPlan::LacksMemory(Shortage {
            model: model.clone(),
            engine: upstream_id(chosen.engine).ok()?,
            bytes: declared.weights,
            fallback: detach_least_recent(cluster, model, chosen),
        }));
    }
    Some(AttachPlan::Attach(Command::Attach {
        engine: chosen.engine.clone(),
        target: target(model, chosen, declared.weights),
        adapter: adapter.clone(),
        memory: total_memory(chosen.engine, chosen.timed),
    }))
}

fn target(model: &ModelId, chosen: &AttachTarget<'_>, bytes: Bytes) -> Target {
    Target {
        model: model.clone(),
        replica: chosen.replica.replica.clone(),
        version: chosen.replica.version.clone(),
        bytes,
    }
}

/// Detaches the replica's least recently used adapter that no request waits for.
fn detach_least_recent(
    cluster: &ClusterState<'_>,
    model: &ModelId,
    chosen: &AttachTarget<'_>,
) -> Option<Command> {
    let reservation = chosen.reservations.holds.get(&chosen.replica.replica)?;
    let demand = cluster.demand.get(model);
    let idle = reservation.adapters.iter().filter(|(adapter, entry)| {
        let waited = demand.is_some_and(|d| d.adapters.contains_key(*adapter));
        entry.state == AdapterState::Attached && !waited
    });
    let (adapter, oldest) = idle.min_by_key(|(a, _)| cluster.adapter_usage.get(*a))?;
    Some(Command::Detach {
        engine: chosen.engine.clone(),
        target: target(model, chosen, oldest.bytes),
        adapter: adapter.clone(),
    })
}

/// Adds commands that detach a replica's idle adapters and release those that are gone.
fn reconcile_adapters(
    cluster: &ClusterState<'_>,
    engine: &UpstreamId,
    replica: &ReplicaId,
    reservation: &Reservation,
    out: &mut Vec<Command>,
) {
    let Some(timed) = cluster.reports.get(engine) else {
        return;
    };
    for (adapter, entry) in &reservation.adapters {
        let gone = cluster.observations.gone_adapter_epoch(
            replica,
            adapter,
            timed,
            cluster.policy.order_lifetime,
        );
        let command = match gone {
            Some(since) => Some(Command::DropAdapter {
                model: reservation.model.clone(),
                engine: engine.clone(),
                replica: replica.clone(),
                adapter: adapter.clone(),
                since,
            }),
            None => plan_detach(cluster, engine, replica, reservation, adapter, entry.state),
        };
        out.extend(command);
    }
}

/// Detaches an idle adapter, or repeats the order for a withdrawn one that is still reported.
fn plan_detach(
    cluster: &ClusterState<'_>,
    engine: &UpstreamId,
    replica: &ReplicaId,
    reservation: &Reservation,
    adapter: &AdapterId,
    state: AdapterState,
) -> Option<Command> {
    let targets = attach_targets(cluster, &reservation.model);
    let chosen = targets
        .into_iter()
        .find(|t| &t.replica.replica == replica)?;
    let last = cluster.observations.last_adapter_order(replica, adapter);
    let due = last.is_none_or(|at| at + cluster.policy.order_retry <= chosen.timed.taken);
    let used = cluster.adapter_usage.get(adapter);
    let idle = used.is_some_and(|at| *at + cluster.policy.idle_time <= cluster.now);
    let detach = match state {
        AdapterState::Attached => idle || !cluster.declaration.adapters.contains_key(adapter),
        AdapterState::Detaching => chosen.replica.adapters.contains(adapter),
    };
    debug_assert!(upstream_id(chosen.engine).is_ok_and(|id| &id == engine));
    (detach && due).then(|| Command::Detach {
        engine: chosen.engine.clone(),
        target: target(
            &reservation.model,
            &chosen,
            reservation.adapters[adapter].bytes,
        ),
        adapter: adapter.clone(),
    })
}
