//! The task that keeps the models: reads reports and objects, plans, carries commands out.
//!
//! A VM acts on its plan where it is the owner of loads, or where the owner cannot be reached;
//! otherwise it asks the owner. Slow calls run as jobs beside the loop, at most one batch of
//! commands a model.

mod asks;
mod objects;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use slog::{debug, warn};
use tokio::sync::{Notify, mpsc, oneshot};
use tokio::task::JoinSet;

use super::command::Command;
use super::decided::{Decided, Reserved};
use super::desk::Need;
use super::evict::Usage;
use super::evidence::{Evidence, Seen};
use super::flow::{Flows, upstream};
use super::front::Front;
use super::jobs::{Done, read_report, run_batch};
use super::owner::owner;
use super::place::Origin;
use super::plan::{Plan, Policy, World, plan};
use super::shell::{Config, Ports};
use super::slots::Starts;
use super::views::{Reports, views};
use crate::ids::{AdapterId, ModelId, ObjectKey, ReplicaId, RequestId, UpstreamId, Version, VmId};
use crate::schema::declaration::Declaration;
use crate::schema::peer::{WakeRequest, WakeResponse};
use crate::units::{Bytes, Tokens};

const SCAN: Duration = Duration::from_secs(5);
const TICK: Duration = Duration::from_millis(20);
const REST: Duration = Duration::from_millis(200);
const MAX_REST: Duration = Duration::from_secs(5);
const ASK_PAUSE: Duration = Duration::from_millis(500);
const ASK_LIFE: Duration = Duration::from_secs(2);
const FALLBACK: Duration = Duration::from_secs(5);
const HURRY: u32 = 5;
const TOUCHES_PER_IDLE: u32 = 4;

/// Another VM's ask, with where to answer it.
#[derive(Debug)]
pub(super) struct Asked {
    pub(super) ask: WakeRequest,
    pub(super) reply: oneshot::Sender<WakeResponse>,
}

#[derive(Debug)]
struct Remote {
    need: Need,
    until: Instant,
}

/// Objects that a scan reads.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Covered {
    models: BTreeSet<ModelId>,
    engines: BTreeSet<UpstreamId>,
}

type AskKey = (ModelId, Option<AdapterId>, RequestId);

/// The state of the task.
#[derive(Debug)]
pub(super) struct Loader {
    config: Config,
    policy: Policy,
    ports: Ports,
    flows: Flows,
    front: Arc<Front>,
    declaration: Arc<Declaration>,
    decided: BTreeMap<ModelId, Decided>,
    reserved: BTreeMap<UpstreamId, Reserved>,
    versions: BTreeMap<ObjectKey, Version>,
    reports: Reports,
    evidence: Evidence,
    usage: BTreeMap<ModelId, Usage>,
    adapter_usage: BTreeMap<AdapterId, Instant>,
    busy: BTreeSet<ModelId>,
    rests: BTreeMap<ModelId, Instant>,
    failures: BTreeMap<ModelId, u32>,
    scan_failures: u32,
    scan_after: Instant,
    pending: BTreeMap<ReplicaId, (UpstreamId, Bytes, Origin)>,
    reading: BTreeSet<UpstreamId>,
    asked: BTreeMap<UpstreamId, Instant>,
    remote: BTreeMap<AskKey, Remote>,
    own_asks: BTreeMap<(ModelId, Option<AdapterId>), Instant>,
    fallback: BTreeMap<ModelId, Instant>,
    starts: Starts,
    scanned: Option<Instant>,
    scanning: bool,
    /// What the last scan covered.
    covered: Option<Covered>,
    touched: Instant,
    jobs: JoinSet<Done>,
}

impl Loader {
    pub(super) fn new(config: Config, ports: Ports, flows: Flows, front: Arc<Front>) -> Self {
        let now = ports.clock.now();
        Self {
            policy: config.policy(),
            starts: Starts::new(config.models.starts, now),
            declaration: ports.catalog.current(),
            config,
            ports,
            flows,
            front,
            decided: BTreeMap::new(),
            reserved: BTreeMap::new(),
            versions: BTreeMap::new(),
            reports: BTreeMap::new(),
            evidence: Evidence::default(),
            usage: BTreeMap::new(),
            adapter_usage: BTreeMap::new(),
            busy: BTreeSet::new(),
            rests: BTreeMap::new(),
            failures: BTreeMap::new(),
            scan_failures: 0,
            scan_after: now,
            pending: BTreeMap::new(),
            reading: BTreeSet::new(),
            asked: BTreeMap::new(),
            remote: BTreeMap::new(),
            own_asks: BTreeMap::new(),
            fallback: BTreeMap::new(),
            scanned: None,
            scanning: false,
            covered: None,
            touched: now,
            jobs: JoinSet::new(),
        }
    }

    /// Runs until it is dropped.
    pub(super) async fn run(mut self, mut inbox: mpsc::Receiver<Asked>, notify: Arc<Notify>) {
        let mut replies = Vec::new();
        loop {
            tokio::select! {
                () = notify.notified() => {}
                () = tokio::time::sleep(TICK) => {}
                Some(asked) = inbox.recv() => replies.push(self.take_ask(asked)),
                Some(done) = self.jobs.join_next(), if !self.jobs.is_empty() => {
                    if let Ok(done) = done {
                        self.finish(done);
                    }
                }
            }
            let plan = self.step();
            for (ask, reply) in replies.drain(..) {
                // An asker that left needs no answer.
                drop(reply.send(asks::answer(&plan, &ask)));
            }
        }
    }

    fn step(&mut self) -> Plan {
        let now = self.ports.clock.now();
        self.declaration = self.ports.catalog.current();
        self.read_reports(now);
        self.wake_rested(now);
        self.note_usage(now);
        let own = self.front.with(|desk| desk.needs(now));
        let mut plan = Plan::default();
        if self.is_active(&own, now) {
            self.scan(now);
            plan = self.plan(&own, now);
        } else {
            self.scanned = None;
        }
        self.ask_owner(&own, now);
        self.front.tick();
        plan
    }

    /// The other VM that orders loads, if there is one.
    fn owner(&self) -> Option<VmId> {
        let vms = self.ports.fleet.vms();
        owner(&vms).filter(|vm| **vm != self.config.vm).cloned()
    }

    fn is_active(&mut self, own: &BTreeMap<ModelId, Need>, now: Instant) -> bool {
        self.fallback.retain(|_, until| *until > now);
        self.remote.retain(|_, remote| remote.until > now);
        let alone = own.keys().any(|model| self.fallback.contains_key(model));
        self.owner().is_none() || alone || !self.remote.is_empty() || !self.busy.is_empty()
    }

    fn read_reports(&mut self, now: Instant) {
        let hurry = !self.front.with(|desk| desk.is_empty()) || !self.busy.is_empty();
        let pause = if hurry {
            self.config.report / HURRY
        } else {
            self.config.report
        };
        for engine in self.ports.fleet.engines().iter() {
            let Ok(id) = upstream(engine) else {
                continue;
            };
            let due = self.asked.get(&id).is_none_or(|at| *at + pause <= now);
            if !due || !self.reading.insert(id.clone()) {
                continue;
            }
            self.asked.insert(id.clone(), now);
            let engines = Arc::clone(&self.ports.engines);
            self.jobs
                .spawn(read_report(engines, engine.clone(), id, now));
        }
    }

    fn finish(&mut self, done: Done) {
        let now = self.ports.clock.now();
        match done {
            Done::Report {
                engine,
                asked,
                result,
            } => {
                self.reading.remove(&engine);
                if let Ok(report) = result {
                    self.reports.insert(engine, Seen::new(report, asked));
                    self.show();
                }
            }
            Done::Scan(read) => {
                self.scanning = false;
                if self.take_read(read, now) {
                    self.scanned = Some(now);
                    self.scan_failures = 0;
                    self.forget_gone();
                } else {
                    self.scan_after = now + rest(self.scan_failures);
                    self.scan_failures += 1;
                }
            }
            Done::Batch {
                model,
                results,
                read,
            } => {
                let failed = results.iter().any(|(_, result)| result.is_err());
                for (command, result) in results {
                    self.finish_command(&command, result.as_ref().err(), now);
                }
                self.take_read(read, now);
                self.end_batch(model, failed, now);
            }
            Done::Woken { model, result } => match result {
                Ok(answer) => {
                    let ready_at = now + Duration::from_millis(answer.wait);
                    self.front.with(|desk| desk.expect(&model, ready_at));
                }
                Err(error) => {
                    debug!(self.ports.log, "wake failed"; "model" => %model, "error" => %error);
                    self.fallback.insert(model, now + FALLBACK);
                }
            },
        }
    }

    /// Frees a model for its next batch, after a failure only when it has rested.
    fn end_batch(&mut self, model: ModelId, failed: bool, now: Instant) {
        if !failed {
            self.failures.remove(&model);
            self.busy.remove(&model);
            return;
        }
        let failures = self.failures.entry(model.clone()).or_default();
        self.rests.insert(model, now + rest(*failures));
        *failures += 1;
    }

    fn wake_rested(&mut self, now: Instant) {
        let over = self.rests.extract_if(.., |_, until| *until <= now);
        for (model, _) in over {
            self.busy.remove(&model);
        }
    }

    fn finish_command(
        &mut self,
        command: &Command,
        error: Option<&super::flow::FlowError>,
        now: Instant,
    ) {
        if let Some(error) = error {
            warn!(self.ports.log, "command failed"; "model" => %command.model(), "error" => %error);
        }
        match command {
            Command::Load { load, .. } => {
                self.pending.remove(&load.replica);
                self.evidence.sent(&load.replica, now);
            }
            Command::Renew { target, .. } | Command::Expel { target, .. } => {
                self.evidence.sent(&target.replica, now);
            }
            Command::Unload { engine, target } => {
                self.evidence.sent(&target.replica, now);
                if error.is_none() && engine.fenced {
                    let generation = engine.generation;
                    self.evidence
                        .unload_accepted(&target.replica, generation, now);
                }
            }
            Command::Attach {
                target, adapter, ..
            }
            | Command::Detach {
                target, adapter, ..
            } => {
                self.evidence.sent_adapter(&target.replica, adapter, now);
            }
            Command::Ready { model, .. } => {
                self.usage
                    .entry(model.clone())
                    .or_insert_with(|| Usage::first(now))
                    .touch(now);
            }
            _ => {}
        }
    }

    fn show(&mut self) {
        let now = self.ports.clock.now();
        let engines = self.ports.fleet.engines();
        let bandwidth = self.policy.bandwidth;
        let declaration = &self.declaration;
        let views = views(
            declaration,
            &engines,
            &self.reports,
            &self.decided,
            bandwidth,
        );
        self.front.with(|desk| {
            for (model, view) in views {
                desk.see(&model, view, now);
            }
        });
    }

    fn note_usage(&mut self, now: Instant) {
        for seen in self.reports.values() {
            for replica in &seen.report.replicas {
                let first = Usage::first(now);
                let usage = self.usage.entry(replica.model.clone()).or_insert(first);
                if replica.running + replica.queued > 0 {
                    usage.touch(now);
                }
                for adapter in &replica.adapters {
                    self.adapter_usage.entry(adapter.clone()).or_insert(now);
                }
            }
        }
        if self.touched + self.policy.idle / TOUCHES_PER_IDLE > now {
            return;
        }
        self.touched = now;
        for (model, adapter) in self.front.with(super::desk::Desk::take_used) {
            self.touch(&model, adapter.as_ref(), now);
            self.ask(&model, adapter, Tokens::ZERO, now, now);
        }
    }

    fn touch(&mut self, model: &ModelId, adapter: Option<&AdapterId>, now: Instant) {
        let first = Usage::first(now);
        self.usage.entry(model.clone()).or_insert(first).touch(now);
        if let Some(adapter) = adapter {
            self.adapter_usage.insert(adapter.clone(), now);
        }
    }

    fn plan(&mut self, own: &BTreeMap<ModelId, Need>, now: Instant) -> Plan {
        if self.scanned.is_none() {
            return Plan::default();
        }
        let mut needs = own.clone();
        for ((model, _, _), remote) in &self.remote {
            let need = needs.entry(model.clone());
            need.and_modify(|n| n.merge(&remote.need))
                .or_insert_with(|| remote.need.clone());
        }
        for model in needs.keys() {
            let first = Usage::first(now);
            self.usage.entry(model.clone()).or_insert(first).touch(now);
        }
        for need in needs.values() {
            for adapter in need.adapters.keys() {
                self.adapter_usage.insert(adapter.clone(), now);
            }
        }
        let plan = self.make_plan(&needs, now);
        self.expect(&plan, now);
        self.carry_out(&plan, now);
        plan
    }

    fn make_plan(&mut self, needs: &BTreeMap<ModelId, Need>, now: Instant) -> Plan {
        let mut pending: BTreeMap<UpstreamId, Bytes> = BTreeMap::new();
        for (engine, bytes, _) in self.pending.values() {
            let sum = pending.entry(engine.clone()).or_default();
            *sum = *sum + *bytes;
        }
        let remote = |p: &&(UpstreamId, Bytes, Origin)| p.2 == Origin::Remote;
        let world = World {
            declaration: &self.declaration,
            engines: &self.ports.fleet.engines(),
            decided: &self.decided,
            reserved: &self.reserved,
            reports: &self.reports,
            needs,
            usage: &self.usage,
            adapter_usage: &self.adapter_usage,
            evidence: &self.evidence,
            busy: &self.busy,
            pending: &pending,
            starting: self.pending.values().filter(remote).count(),
            starts: self.starts.free(now),
            policy: &self.policy,
            now,
        };
        plan(&world, rand::random)
    }

    fn expect(&self, plan: &Plan, now: Instant) {
        self.front.with(|desk| {
            for (model, wait) in &plan.waits {
                desk.expect(model, now + *wait);
            }
        });
    }

    fn carry_out(&mut self, plan: &Plan, now: Instant) {
        let mut batches: BTreeMap<ModelId, Vec<Command>> = BTreeMap::new();
        for command in &plan.commands {
            let model = command.model();
            if !self.busy.contains(model) {
                let batch = batches.entry(model.clone()).or_default();
                batch.push(command.clone());
            }
        }
        for (model, batch) in batches {
            for command in &batch {
                self.begin_command(command, now);
            }
            self.busy.insert(model.clone());
            let flows = self.flows.clone();
            self.jobs.spawn(run_batch(flows, model, batch));
        }
    }

    fn begin_command(&mut self, command: &Command, now: Instant) {
        debug!(self.ports.log, "command"; "model" => %command.model(), "command" => ?command);
        if let Command::Load {
            engine,
            load,
            origin,
        } = command
        {
            if *origin == Origin::Remote {
                self.starts.take();
            }
            self.evidence.sent(&load.replica, now);
            if let Ok(id) = upstream(engine) {
                let pending = (id, load.weights + load.floor, *origin);
                self.pending.insert(load.replica.clone(), pending);
            }
        }
    }
}

/// A pause after so many failures; its random part keeps VMs from returning at once.
fn rest(failures: u32) -> Duration {
    let pause = REST * 2_u32.saturating_pow(failures.min(8));
    pause.min(MAX_REST).mul_f64(0.5 + rand::random::<f64>())
}
