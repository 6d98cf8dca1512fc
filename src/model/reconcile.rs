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
pub(super) fn commands(world: &ClusterState<'_>, out: &mut Vec<Command>) {
    for (model, decided) in world.intents {
        if world.busy.contains(model) {
            continue;
        }
        for (replica, intent) in &decided.replicas {
            let case = Case {
                world,
                model,
                replica,
                intent,
            };
            out.extend(case.command());
        }
    }
    sweeps(world, out);
    strays(world, out);
}

struct Case<'a> {
    world: &'a ClusterState<'a>,
    model: &'a ModelId,
    replica: &'a ReplicaId,
    intent: &'a Intent,
}

impl Case<'_> {
    fn command(&self) -> Option<Command> {
        let Some(engine) = find(self.world, &self.intent.engine) else {
            return self.unlisted();
        };
        let seen = self.world.reports.get(&self.intent.engine)?;
        match self.intent.state {
            IntentState::Loading => self.loading(engine, seen),
            IntentState::Ready => self.ready(engine, seen),
            IntentState::Unloading => self.unloading(engine, seen),
        }
    }

    fn loading(&self, engine: &Instance, seen: &TimedReport) -> Option<Command> {
        if !self.is_declared() || leaves(engine, seen) {
            return Some(self.unload(engine));
        }
        match state(seen, self.replica) {
            Some(ReplicaState::Ready) => Some(Command::Ready {
                model: self.model.clone(),
                replica: self.replica.clone(),
            }),
            None if self.is_due(seen) => Some(Command::Renew {
                engine: engine.clone(),
                target: self.target(),
            }),
            _ => None,
        }
    }

    fn ready(&self, engine: &Instance, seen: &TimedReport) -> Option<Command> {
        let present = state(seen, self.replica) == Some(ReplicaState::Ready);
        let unused = !leaves(engine, seen) && self.is_declared();
        if present && (unused || is_running(seen, self.replica)) {
            return None;
        }
        self.is_due(seen).then(|| self.unload(engine))
    }

    fn unloading(&self, engine: &Instance, seen: &TimedReport) -> Option<Command> {
        let life = self.world.policy.order_lifetime;
        if self
            .world
            .observations
            .is_replica_gone(self.replica, seen, life)
        {
            return Some(self.release());
        }
        let repeat = seen.has_replica(self.replica) || engine.fenced;
        (repeat && self.is_due(seen)).then(|| self.unload(engine))
    }

    fn unlisted(&self) -> Option<Command> {
        let evidence = self.world.observations;
        let life = self.world.policy.order_lifetime;
        if !evidence.is_engine_gone(&self.intent.engine, life, self.world.now) {
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
    fn is_due(&self, seen: &TimedReport) -> bool {
        let last = self.world.observations.last_order(self.replica);
        last.is_none_or(|at| at + self.world.policy.order_retry <= seen.taken)
    }

    fn is_declared(&self) -> bool {
        let declared = self.world.declaration.models.get(self.model);
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
        let reserved = self.world.reservations.get(&self.intent.engine);
        let hold = reserved.and_then(|r| r.holds.get(self.replica));
        Target {
            model: self.model.clone(),
            replica: self.replica.clone(),
            version: self.intent.version.clone(),
            bytes: hold.map_or(Bytes::ZERO, super::intents::Reservation::base),
        }
    }
}

/// The engine with this id in the platform's list.
pub(super) fn find<'a>(world: &ClusterState<'a>, id: &UpstreamId) -> Option<&'a Instance> {
    let engines = world.engines.iter();
    let mut named = engines.filter(|e| e.vm.as_str() == id.as_str());
    named.find(|e| e.kind == InstanceKind::Engine)
}

fn leaves(engine: &Instance, seen: &TimedReport) -> bool {
    engine.state == InstanceState::Leaving || seen.report.leaving
}

fn state(seen: &TimedReport, replica: &ReplicaId) -> Option<ReplicaState> {
    let found = seen.report.replicas.iter().find(|r| &r.replica == replica);
    found.map(|r| r.state)
}

fn is_running(seen: &TimedReport, replica: &ReplicaId) -> bool {
    let mut replicas = seen.report.replicas.iter();
    replicas.any(|r| &r.replica == replica && r.running + r.queued > 0)
}

fn sweeps(world: &ClusterState<'_>, out: &mut Vec<Command>) {
    let bound = world.policy.order_lifetime;
    for (engine, reserved) in world.reservations {
        for (replica, hold) in &reserved.holds {
            let orphaned = world
                .observations
                .is_orphaned(engine, replica, bound, world.now);
            if orphaned && !world.busy.contains(&hold.model) {
                out.push(Command::Sweep {
                    model: hold.model.clone(),
                    replica: replica.clone(),
                    engine: engine.clone(),
                });
            }
        }
    }
}

fn strays(world: &ClusterState<'_>, out: &mut Vec<Command>) {
    for engine in world.engines {
        let Some(id) = upstream_id(engine).ok() else {
            continue;
        };
        let Some(seen) = world.reports.get(&id) else {
            continue;
        };
        let reserved = world.reservations.get(&id);
        for report in &seen.report.replicas {
            let held = reserved.is_none_or(|r| r.holds.contains_key(&report.replica));
            let decided = world.intents.get(&report.model);
            let known = decided.is_some_and(|d| d.replicas.contains_key(&report.replica));
            let last = world.observations.last_order(&report.replica);
            let due = last.is_none_or(|at| at + world.policy.order_retry <= seen.taken);
            let leaving = report.state == ReplicaState::Unloading;
            if held || known || leaving || !due || world.busy.contains(&report.model) {
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
