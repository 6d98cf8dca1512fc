//! Compares the stored intents and reservations with the load reports, and corrects differences.
//!
//! Differences are orders without effect, replicas that became ready or disappeared, reservations
//! without an intent, and replicas with neither. A VM also finishes or undoes in this way what
//! another VM began.

use super::command::Command;
use super::executor::{Target, upstream_id};
use super::intents::{Intent, IntentState};
use super::observations::TimedReport;
use super::plan::ClusterState;
use crate::ids::{ModelId, ReplicaId, UpstreamId};
use crate::schema::engine::ReplicaState;
use crate::store::{Instance, InstanceKind, InstanceState};
use crate::units::Bytes;

/// Adds the commands that correct the differences to `out`.
pub(super) fn plan_corrections(cluster: &ClusterState<'_>, out: &mut Vec<Command>) {
    for (model, intents) in cluster.intents {
        if cluster.busy.contains(model) {
            continue;
        }
        for (replica, intent) in &intents.replicas {
            let check = IntentCheck {
                cluster,
                model,
                replica,
                intent,
            };
            out.extend(check.command());
        }
    }
    sweep_orphans(cluster, out);
    expel_strays(cluster, out);
}

/// Compares one intent with its engine's report.
struct IntentCheck<'a> {
    cluster: &'a ClusterState<'a>,
    model: &'a ModelId,
    replica: &'a ReplicaId,
    intent: &'a Intent,
}

impl IntentCheck<'_> {
    fn command(&self) -> Option<Command> {
        let Some(engine) = find_engine(self.cluster, &self.intent.engine) else {
            return self.check_unlisted();
        };
        let timed = self.cluster.reports.get(&self.intent.engine)?;
        match self.intent.state {
            IntentState::Loading => self.check_loading(engine, timed),
            IntentState::Ready => self.check_ready(engine, timed),
            IntentState::Unloading => self.check_unloading(engine, timed),
        }
    }

    fn check_loading(&self, engine: &Instance, timed: &TimedReport) -> Option<Command> {
        if !self.is_declared() || is_leaving(engine, timed) {
            return Some(self.unload(engine));
        }
        match reported_state(timed, self.replica) {
            Some(ReplicaState::Ready) => Some(Command::Ready {
                model: self.model.clone(),
                replica: self.replica.clone(),
            }),
            None if self.is_due(timed) => Some(Command::Renew {
                engine: engine.clone(),
                target: self.target(),
            }),
            _ => None,
        }
    }

    fn check_ready(&self, engine: &Instance, timed: &TimedReport) -> Option<Command> {
        let present = reported_state(timed, self.replica) == Some(ReplicaState::Ready);
        let keep = !is_leaving(engine, timed) && self.is_declared();
        if present && (keep || is_running(timed, self.replica)) {
            return None;
        }
        self.is_due(timed).then(|| self.unload(engine))
    }

    fn check_unloading(&self, engine: &Instance, timed: &TimedReport) -> Option<Command> {
        let lifetime = self.cluster.policy.order_lifetime;
        if self
            .cluster
            .observations
            .is_replica_gone(self.replica, timed, lifetime)
        {
            return Some(self.release());
        }
        let repeat = timed.has_replica(self.replica) || engine.fenced;
        (repeat && self.is_due(timed)).then(|| self.unload(engine))
    }

    /// Withdraws or releases a replica whose engine the platform no longer lists.
    fn check_unlisted(&self) -> Option<Command> {
        let observations = self.cluster.observations;
        let lifetime = self.cluster.policy.order_lifetime;
        if !observations.is_engine_gone(&self.intent.engine, lifetime, self.cluster.now) {
            return None;
        }
        if self.intent.state == IntentState::Unloading {
            return Some(self.release());
        }
        Some(Command::Withdraw {
            model: self.model.clone(),
            replica: self.replica.clone(),
        })
    }

    /// Whether the report is recent enough that the last order should show in it.
    fn is_due(&self, timed: &TimedReport) -> bool {
        let last = self.cluster.observations.last_order(self.replica);
        last.is_none_or(|at| at + self.cluster.policy.order_retry <= timed.taken)
    }

    fn is_declared(&self) -> bool {
        let declared = self.cluster.declaration.models.get(self.model);
        declared.is_some_and(|m| m.version == self.intent.version)
    }

    fn unload(&self, engine: &Instance) -> Command {
        Command::Unload {
            engine: engine.clone(),
            target: self.target(),
        }
    }

    fn release(&self) -> Command {
        Command::Release {
            model: self.model.clone(),
            replica: self.replica.clone(),
            engine: self.intent.engine.clone(),
        }
    }

    fn target(&self) -> Target {
        let reservations = self.cluster.reservations.get(&self.intent.engine);
        let reservation = reservations.and_then(|r| r.holds.get(self.replica));
        Target {
            model: self.model.clone(),
            replica: self.replica.clone(),
            version: self.intent.version.clone(),
            bytes: reservation.map_or(Bytes::ZERO, super::intents::Reservation::base),
        }
    }
}

/// The engine with this id in the platform's list.
pub(super) fn find_engine<'a>(cluster: &ClusterState<'a>, id: &UpstreamId) -> Option<&'a Instance> {
    let engines = cluster.engines.iter();
    let mut matching = engines.filter(|e| e.vm.as_str() == id.as_str());
    matching.find(|e| e.kind == InstanceKind::Engine)
}

fn is_leaving(engine: &Instance, timed: &TimedReport) -> bool {
    engine.state == InstanceState::Leaving || timed.report.leaving
}

fn reported_state(timed: &TimedReport, replica: &ReplicaId) -> Option<ReplicaState> {
    let found = timed.report.replicas.iter().find(|r| &r.replica == replica);
    found.map(|r| r.state)
}

fn is_running(timed: &TimedReport, replica: &ReplicaId) -> bool {
    let mut replicas = timed.report.replicas.iter();
    replicas.any(|r| &r.replica == replica && r.running + r.queued > 0)
}

/// Releases reservations that have had no intent for an order lifetime.
fn sweep_orphans(cluster: &ClusterState<'_>, out: &mut Vec<Command>) {
    let bound = cluster.policy.order_lifetime;
    for (engine, reservations) in cluster.reservations {
        for (replica, reservation) in &reservations.holds {
            let orphaned = cluster
                .observations
                .is_orphaned(engine, replica, bound, cluster.now);
            if orphaned && !cluster.busy.contains(&reservation.model) {
                out.push(Command::Sweep {
                    model: reservation.model.clone(),
                    replica: replica.clone(),
                    engine: engine.clone(),
                });
            }
        }
    }
}

/// Unloads reported replicas that have neither an intent nor a reservation. Where the reservations
/// of an engine are not known, its replicas count as reserved.
fn expel_strays(cluster: &ClusterState<'_>, out: &mut Vec<Command>) {
    for engine in cluster.engines {
        let Some(id) = upstream_id(engine).ok() else {
            continue;
        };
        let Some(timed) = cluster.reports.get(&id) else {
            continue;
        };
        let reservations = cluster.reservations.get(&id);
        for report in &timed.report.replicas {
            let reserved = reservations.is_none_or(|r| r.holds.contains_key(&report.replica));
            let intents = cluster.intents.get(&report.model);
            let known = intents.is_some_and(|i| i.replicas.contains_key(&report.replica));
            let last = cluster.observations.last_order(&report.replica);
            let due = last.is_none_or(|at| at + cluster.policy.order_retry <= timed.taken);
            let leaving = report.state == ReplicaState::Unloading;
            if reserved || known || leaving || !due || cluster.busy.contains(&report.model) {
                continue;
            }
            let target = Target {
                model: report.model.clone(),
                replica: report.replica.clone(),
                version: report.version.clone(),
                bytes: report.bytes,
            };
            let engine = engine.clone();
            out.push(Command::Expel { engine, target });
        }
    }
}
