//! What the VM that decides sees, plans and carries out.

use std::collections::{BTreeMap, BTreeSet};
use std::task::{Context, Poll, Waker};
use std::time::Instant;

use basilgw::ids::{ModelId, ReplicaId, UpstreamId, VmId};
use basilgw::model::admission::ModelDemand;
use basilgw::model::command::Command;
use basilgw::model::eviction::Usage;
use basilgw::model::executor::upstream_id;
use basilgw::model::intents::{Intents, Reservations};
use basilgw::model::leader::choose_leader;
use basilgw::model::load_limiter::LoadLimiter;
use basilgw::model::placement::Origin;
use basilgw::model::plan::{self, ClusterState, plan};

use super::{KILL_EVERY, LIST_LAG, LOAD_CALLS, PAUSE, Run, Step, Vm, WAKE_TIMEOUT, rand_free};
use crate::experiment::models::Scenario;
use crate::experiment::models::site::name;

impl Run {
    /// The VM that acts: the owner, or after a failed wake message one that has waiting requests.
    pub(super) fn decider(&self, now: Instant) -> Option<usize> {
        let gone = |vm: &Vm| vm.is_away(now) && vm.away.is_some_and(|a| a.0 + LIST_LAG <= now);
        let listed = |n: &usize| !gone(&self.vms[*n]) || self.vms[*n].stuck.is_some();
        let names: Vec<VmId> = (0..self.vms.len())
            .filter(listed)
            .map(|n| name("vm", n))
            .collect();
        let chosen = choose_leader(&names)?.clone();
        let owner = (0..self.vms.len()).find(|n| name::<VmId>("vm", *n) == chosen)?;
        let Some((from, _)) = self.vms[owner]
            .away
            .filter(|_| self.vms[owner].is_away(now))
        else {
            return Some(owner);
        };
        if from + WAKE_TIMEOUT > now {
            return None;
        }
        (0..self.vms.len()).find(|n| !self.vms[*n].is_away(now) && !self.desks[*n].is_empty())
    }

    pub(super) fn decide(&mut self, now: Instant) {
        let Some(vm) = self.decider(now) else {
            return;
        };
        self.read(vm, now);
        let needs = self.needs(now);
        self.note_usage(vm, &needs, now);
        let plan = self.plan(vm, &needs, now);
        for (n, desk) in self.desks.iter_mut().enumerate() {
            let reached = !self.vms[n].is_away(now);
            for (model, wait) in plan.waits.iter().filter(|_| reached) {
                desk.set_ready_time(model, now + *wait);
            }
        }
        for command in plan.commands {
            self.carry_out(vm, &command, now);
            if self.vms[vm].is_away(now) {
                return;
            }
        }
    }

    pub(super) fn read(&mut self, vm: usize, now: Instant) {
        let (Some(decided), Some(reserved)) = (
            self.farm.objects::<Intents>("models/"),
            self.farm.objects::<Reservations>("engines/"),
        ) else {
            return;
        };
        let evidence = &mut self.vms[vm].evidence;
        for (model, decided) in decided {
            evidence.observe_intents(&decided, now);
            if let Ok(model) = model.parse() {
                self.decided.insert(model, decided);
            }
        }
        self.reserved = self
            .engines
            .iter()
            .filter_map(|e| Some((upstream_id(e).ok()?, Reservations::default())))
            .collect();
        for (engine, reserved) in reserved {
            let Ok(engine) = engine.parse::<UpstreamId>() else {
                continue;
            };
            let known = |replica: &ReplicaId| {
                let mut all = self.decided.values();
                all.any(|d| d.replicas.contains_key(replica))
            };
            evidence.observe_reservations(&engine, &reserved, known, now);
            self.reserved.insert(engine, reserved);
        }
    }

    pub(super) fn needs(&self, now: Instant) -> BTreeMap<ModelId, ModelDemand> {
        let mut needs: BTreeMap<ModelId, ModelDemand> = BTreeMap::new();
        for (n, desk) in self.desks.iter().enumerate() {
            if self.vms[n].is_away(now) {
                continue;
            }
            for (model, need) in desk.unmet_demand(now) {
                needs
                    .entry(model)
                    .and_modify(|n| n.merge(&need))
                    .or_insert(need);
            }
        }
        needs
    }

    pub(super) fn note_usage(
        &mut self,
        vm: usize,
        needs: &BTreeMap<ModelId, ModelDemand>,
        now: Instant,
    ) {
        let vm = &mut self.vms[vm];
        let mut used: BTreeSet<&ModelId> = needs.keys().collect();
        for seen in self.history[0].values() {
            for replica in &seen.report.replicas {
                let first = Usage::first(now);
                vm.usage.entry(replica.model.clone()).or_insert(first);
                if replica.running > 0 {
                    used.insert(&replica.model);
                }
            }
        }
        for model in used {
            let first = Usage::first(now);
            vm.usage.entry(model.clone()).or_insert(first).touch(now);
        }
        for active in self.active.values() {
            if let Some(adapter) = &active.want.adapter {
                vm.adapters.insert(adapter.clone(), now);
            }
        }
        for need in needs.values() {
            for adapter in need.adapters.keys() {
                vm.adapters.insert(adapter.clone(), now);
            }
        }
    }

    pub(super) fn plan(
        &mut self,
        vm: usize,
        needs: &BTreeMap<ModelId, ModelDemand>,
        now: Instant,
    ) -> plan::Plan {
        let starts = self.sizes.starts;
        let vm = &mut self.vms[vm];
        let starts = vm
            .starts
            .get_or_insert_with(|| LoadLimiter::new(starts, now));
        let world = ClusterState {
            declaration: &self.declaration,
            engines: &self.engines,
            intents: &self.decided,
            reservations: &self.reserved,
            reports: &self.history[0],
            demand: needs,
            usage: &vm.usage,
            adapter_usage: &vm.adapters,
            observations: &vm.evidence,
            busy: &BTreeSet::new(),
            pending: &BTreeMap::new(),
            pending_remote: 0,
            start_budget: starts.available(now),
            policy: &self.policy,
            now,
        };
        plan(&world, rand_free(&mut self.counter))
    }

    pub(super) fn carry_out(&mut self, vm: usize, command: &Command, now: Instant) {
        let fault = self.fault(command);
        self.farm.set_fuse(fault);
        let flows = self.flows.clone();
        let owned = command.clone();
        let mut step: Step = Box::pin(async move { owned.run(&flows).await });
        let polled = step.as_mut().poll(&mut Context::from_waker(Waker::noop()));
        self.farm.set_fuse(None);
        match polled {
            Poll::Ready(result) => self.note(vm, command, result.is_ok(), now),
            Poll::Pending if self.scenario == Scenario::PausedDecider => {
                self.vms[vm].stuck = Some(step);
                self.vms[vm].away = Some((now, now + PAUSE));
            }
            Poll::Pending => self.kill(vm, now),
        }
    }

    /// After how many calls of this command its VM stops, if it does.
    pub(super) fn fault(&mut self, command: &Command) -> Option<u32> {
        let due = self.next_fault <= self.elapsed();
        let hit = matches!(
            self.scenario,
            Scenario::KilledDecider | Scenario::PausedDecider
        );
        if !due || !hit || !matches!(command, Command::Load { .. }) {
            return None;
        }
        self.next_fault += KILL_EVERY
            * if self.scenario == Scenario::PausedDecider {
                3
            } else {
                1
            };
        self.faults += 1;
        Some((self.faults - 1) % LOAD_CALLS)
    }

    pub(super) fn note(&mut self, vm: usize, command: &Command, done: bool, now: Instant) {
        let vm = &mut self.vms[vm];
        match command {
            Command::Load { load, origin, .. } => {
                self.score.loads += 1;
                vm.evidence.order_sent(&load.replica, now);
                if *origin == Origin::Remote
                    && let Some(starts) = &mut vm.starts
                {
                    starts.record_load();
                }
            }
            Command::Renew { target, .. } | Command::Expel { target, .. } => {
                vm.evidence.order_sent(&target.replica, now);
            }
            Command::Unload { engine, target } => {
                vm.evidence.order_sent(&target.replica, now);
                if done && engine.fenced {
                    let generation = engine.generation;
                    vm.evidence
                        .unload_accepted(&target.replica, generation, now);
                }
            }
            Command::Attach {
                target, adapter, ..
            }
            | Command::Detach {
                target, adapter, ..
            } => vm
                .evidence
                .adapter_order_sent(&target.replica, adapter, now),
            _ => {}
        }
    }
}
