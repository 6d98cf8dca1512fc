//! The loader task: reads load reports and stored objects, makes plans and executes them.
//!
//! A VM plans and executes commands if it is the leader, if another VM sent it a wake message, or
//! for a while after the leader did not answer; otherwise it only sends the leader wake messages.
//! Calls over the network run as jobs beside the loop, with at most one batch of commands for each
//! model.

mod asks;
mod objects;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use slog::{debug, warn};
use tokio::sync::{Notify, mpsc, oneshot};
use tokio::task::JoinSet;

use super::admission::ModelDemand;
use super::command::Command;
use super::driver::{Config, ModelDeps};
use super::eviction::Usage;
use super::executor::{Executor, upstream_id};
use super::intents::{Intents, Reservations};
use super::jobs::{Done, read_report, run_batch};
use super::leader::choose_leader;
use super::load_limiter::LoadLimiter;
use super::observations::{Observations, TimedReport};
use super::placement::Origin;
use super::plan::{ClusterState, Plan, Policy, plan};
use super::shared::Front;
use super::views::{Reports, build_views};
use crate::ids::{AdapterId, ModelId, ObjectKey, ReplicaId, RequestId, UpstreamId, Version, VmId};
use crate::schema::declaration::Declaration;
use crate::schema::peer::{WakeRequest, WakeResponse};
use crate::units::{Bytes, Tokens};

/// Interval between two reads of all objects.
const SCAN: Duration = Duration::from_secs(5);
/// Longest time between two steps of the loop.
const TICK: Duration = Duration::from_millis(20);
/// Mean pause after a first failure; doubles with each further one.
const REST: Duration = Duration::from_millis(200);
/// Greatest mean pause after failures.
const MAX_REST: Duration = Duration::from_secs(5);
/// Shortest time between two wake messages for the same model and adapter.
const ASK_PAUSE: Duration = Duration::from_millis(500);
/// Time for which a wake message from another VM counts as demand.
const ASK_LIFE: Duration = Duration::from_secs(2);
/// Time for which this VM orders loads itself after a wake message for a model failed.
const FALLBACK: Duration = Duration::from_secs(5);
/// Factor by which reports are read more often while requests wait or commands are executed.
const HURRY: u32 = 5;
/// How often in an idle time the use of models is recorded and sent to the leader.
const TOUCHES_PER_IDLE: u32 = 4;

/// A wake message from another VM, with the channel for its answer.
#[derive(Debug)]
pub(super) struct Asked {
    pub(super) ask: WakeRequest,
    pub(super) reply: oneshot::Sender<WakeResponse>,
}

#[derive(Debug)]
struct Remote {
    need: ModelDemand,
    until: Instant,
}

/// Declared models and listed engines for which a scan was started.
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
    ports: ModelDeps,
    flows: Executor,
    front: Arc<Front>,
    declaration: Arc<Declaration>,
    decided: BTreeMap<ModelId, Intents>,
    reserved: BTreeMap<UpstreamId, Reservations>,
    versions: BTreeMap<ObjectKey, Version>,
    reports: Reports,
    evidence: Observations,
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
    starts: LoadLimiter,
    scanned: Option<Instant>,
    scanning: bool,
    /// Models and engines of the last scan.
    covered: Option<Covered>,
    touched: Instant,
    jobs: JoinSet<Done>,
}

impl Loader {
    pub(super) fn new(
        config: Config,
        ports: ModelDeps,
        flows: Executor,
        front: Arc<Front>,
    ) -> Self {
        let now = ports.clock.now();
        Self {
            policy: config.policy(),
            starts: LoadLimiter::new(config.models.starts, now),
            declaration: ports.declaration.current(),
            config,
            ports,
            flows,
            front,
            decided: BTreeMap::new(),
            reserved: BTreeMap::new(),
            versions: BTreeMap::new(),
            reports: BTreeMap::new(),
            evidence: Observations::default(),
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
                // The VM that asked may have stopped waiting for the answer.
                drop(reply.send(asks::answer(&plan, &ask)));
            }
        }
    }

    fn step(&mut self) -> Plan {
        let now = self.ports.clock.now();
        self.declaration = self.ports.declaration.current();
        self.read_reports(now);
        self.wake_rested(now);
        self.note_usage(now);
        let own = self.front.with(|desk| desk.unmet_demand(now));
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

    /// The leader, unless it is this VM or no VM is known.
    fn owner(&self) -> Option<VmId> {
        let vms = self.ports.cluster.vms();
        choose_leader(&vms)
            .filter(|vm| **vm != self.config.vm)
            .cloned()
    }

    fn is_active(&mut self, own: &BTreeMap<ModelId, ModelDemand>, now: Instant) -> bool {
        self.fallback.retain(|_, until| *until > now);
        self.remote.retain(|_, remote| remote.until > now);
        let alone = own.keys().any(|model| self.fallback.contains_key(model));
        self.owner().is_none() || alone || !self.remote.is_empty() || !self.busy.is_empty()
    }

    fn read_reports(&mut self, now: Instant) {
        let hurry = !self.front.with(|desk| desk.is_empty()) || !self.busy.is_empty();
        let pause = if hurry {
            self.config.report_interval / HURRY
        } else {
            self.config.report_interval
        };
        for engine in self.ports.cluster.engines().iter() {
            let Ok(id) = upstream_id(engine) else {
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
                    self.reports.insert(engine, TimedReport::new(report, asked));
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
                    self.front
                        .with(|desk| desk.set_ready_time(&model, ready_at));
                }
                Err(error) => {
                    debug!(self.ports.log, "wake failed"; "model" => %model, "error" => %error);
                    self.fallback.insert(model, now + FALLBACK);
                }
            },
        }
    }

    /// Allows the next batch for a model: at once, or after a pause if a command failed.
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
        error: Option<&super::executor::ExecuteError>,
        now: Instant,
    ) {
        if let Some(error) = error {
            warn!(self.ports.log, "command failed"; "model" => %command.model(), "error" => %error);
        }
        match command {
            Command::Load { load, .. } => {
                self.pending.remove(&load.replica);
                self.evidence.order_sent(&load.replica, now);
            }
            Command::Renew { target, .. } | Command::Expel { target, .. } => {
                self.evidence.order_sent(&target.replica, now);
            }
            Command::Unload { engine, target } => {
                self.evidence.order_sent(&target.replica, now);
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
                self.evidence
                    .adapter_order_sent(&target.replica, adapter, now);
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
        let engines = self.ports.cluster.engines();
        let bandwidth = self.policy.load_bandwidth;
        let declaration = &self.declaration;
        let views = build_views(
            declaration,
            &engines,
            &self.reports,
            &self.decided,
            bandwidth,
        );
        self.front.with(|desk| {
            for (model, view) in views {
                desk.update_view(&model, view, now);
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
        if self.touched + self.policy.idle_time / TOUCHES_PER_IDLE > now {
            return;
        }
        self.touched = now;
        for (model, adapter) in self
            .front
            .with(super::admission::AdmissionControl::take_used)
        {
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

    fn plan(&mut self, own: &BTreeMap<ModelId, ModelDemand>, now: Instant) -> Plan {
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

    fn make_plan(&mut self, needs: &BTreeMap<ModelId, ModelDemand>, now: Instant) -> Plan {
        let mut pending: BTreeMap<UpstreamId, Bytes> = BTreeMap::new();
        for (engine, bytes, _) in self.pending.values() {
            let sum = pending.entry(engine.clone()).or_default();
            *sum = *sum + *bytes;
        }
        let remote = |p: &&(UpstreamId, Bytes, Origin)| p.2 == Origin::Remote;
        let world = ClusterState {
            declaration: &self.declaration,
            engines: &self.ports.cluster.engines(),
            intents: &self.decided,
            reservations: &self.reserved,
            reports: &self.reports,
            demand: needs,
            usage: &self.usage,
            adapter_usage: &self.adapter_usage,
            observations: &self.evidence,
            busy: &self.busy,
            pending: &pending,
            pending_remote: self.pending.values().filter(remote).count(),
            start_budget: self.starts.available(now),
            policy: &self.policy,
            now,
        };
        plan(&world, rand::random)
    }

    fn expect(&self, plan: &Plan, now: Instant) {
        self.front.with(|desk| {
            for (model, wait) in &plan.waits {
                desk.set_ready_time(model, now + *wait);
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
                self.starts.record_load();
            }
            self.evidence.order_sent(&load.replica, now);
            if let Ok(id) = upstream_id(engine) {
                let pending = (id, load.weights + load.floor, *origin);
                self.pending.insert(load.replica.clone(), pending);
            }
        }
    }
}

/// The pause after `failures` earlier failures, with jitter so that VMs do not retry all at once.
fn rest(failures: u32) -> Duration {
    let pause = REST * 2_u32.saturating_pow(failures.min(8));
    pause.min(MAX_REST).mul_f64(0.5 + rand::random::<f64>())
}
