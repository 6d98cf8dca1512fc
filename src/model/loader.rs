//! The loader task: reads load reports and stored objects, makes plans and executes them.
//!
//! A VM plans and executes commands if it is the leader, if another VM sent it a wake message, or
//! for a while after the leader did not respond; otherwise it only sends the leader wake messages.
//! Calls over the network run as jobs beside the loop, with at most one batch of commands for each
//! model.

mod objects;
mod wakes;

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
use super::jobs::{JobResult, read_report, run_batch};
use super::leader::choose_leader;
use super::load_limiter::LoadLimiter;
use super::observations::{Observations, TimedReport};
use super::placement::Origin;
use super::plan::{ClusterState, Plan, Policy, plan};
use super::shared::SharedAdmission;
use super::views::{Reports, build_views};
use crate::ids::{AdapterId, ModelId, ObjectKey, ReplicaId, RequestId, UpstreamId, Version, VmId};
use crate::schema::declaration::Declaration;
use crate::schema::peer::{WakeRequest, WakeResponse};
use crate::units::{Bytes, Tokens};

/// Interval between two reads of all objects.
const SCAN_INTERVAL: Duration = Duration::from_secs(5);
/// Longest time between two steps of the loop.
const TICK: Duration = Duration::from_millis(20);
/// Mean pause after a first failure; doubles with each further one.
const BACKOFF: Duration = Duration::from_millis(200);
/// Greatest mean pause after failures.
const MAX_BACKOFF: Duration = Duration::from_secs(5);
/// Shortest time between two wake messages for the same model and adapter.
const WAKE_INTERVAL: Duration = Duration::from_millis(500);
/// Time for which a wake message from another VM counts as demand.
const WAKE_LIFETIME: Duration = Duration::from_secs(2);
/// Time for which this VM orders loads itself after a wake message for a model failed.
const FALLBACK_TIME: Duration = Duration::from_secs(5);
/// Factor by which reports are read more often while requests wait or commands are executed.
const BUSY_REPORT_FACTOR: u32 = 5;
/// How often in an idle time the use of models is recorded and sent to the leader.
const USE_RECORDS_PER_IDLE: u32 = 4;

/// A wake message from another VM, with the channel for its response.
#[derive(Debug)]
pub(super) struct IncomingWake {
    pub(super) wake: WakeRequest,
    pub(super) reply: oneshot::Sender<WakeResponse>,
}

/// Demand that a wake message reported, and the time until which it counts.
#[derive(Debug)]
struct PeerDemand {
    demand: ModelDemand,
    until: Instant,
}

/// Declared models and listed engines for which a scan was started.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct ScanScope {
    models: BTreeSet<ModelId>,
    engines: BTreeSet<UpstreamId>,
}

/// Model and adapter of a wake message, and the request id, which tells the sending VMs apart.
type WakeKey = (ModelId, Option<AdapterId>, RequestId);

/// The state of the task.
#[derive(Debug)]
pub(super) struct Loader {
    config: Config,
    policy: Policy,
    deps: ModelDeps,
    executor: Executor,
    admission: Arc<SharedAdmission>,
    declaration: Arc<Declaration>,
    /// Copies of the stored intents, by model.
    intents: BTreeMap<ModelId, Intents>,
    /// Copies of the stored reservations, by engine.
    reservations: BTreeMap<UpstreamId, Reservations>,
    /// Newest known version of each object.
    versions: BTreeMap<ObjectKey, Version>,
    reports: Reports,
    observations: Observations,
    usage: BTreeMap<ModelId, Usage>,
    adapter_usage: BTreeMap<AdapterId, Instant>,
    /// Models with a batch of commands in execution, or in a pause after a failed one.
    busy: BTreeSet<ModelId>,
    /// When the pauses after failed batches end.
    backoffs: BTreeMap<ModelId, Instant>,
    /// Number of batches that failed in a row.
    failures: BTreeMap<ModelId, u32>,
    /// Number of scans that failed in a row.
    scan_failures: u32,
    /// Earliest time of the next scan after a failed one.
    next_scan: Instant,
    /// Load commands in execution, with their engine, memory and origin.
    pending_loads: BTreeMap<ReplicaId, (UpstreamId, Bytes, Origin)>,
    /// Engines whose report is being read.
    pending_reports: BTreeSet<UpstreamId>,
    /// When each engine's report was last requested.
    report_requests: BTreeMap<UpstreamId, Instant>,
    peer_demand: BTreeMap<WakeKey, PeerDemand>,
    /// When a wake message for a model or an adapter was last sent.
    sent_wakes: BTreeMap<(ModelId, Option<AdapterId>), Instant>,
    /// Until when this VM orders loads itself, by the model whose wake message failed.
    fallback_until: BTreeMap<ModelId, Instant>,
    load_limiter: LoadLimiter,
    /// When all objects were last read; absent until then, and while this VM does not plan.
    last_scan: Option<Instant>,
    scan_running: bool,
    /// Models and engines of the last scan.
    scan_scope: Option<ScanScope>,
    /// When the use of models was last recorded and sent to the leader.
    usage_recorded: Instant,
    jobs: JoinSet<JobResult>,
}

impl Loader {
    pub(super) fn new(
        config: Config,
        deps: ModelDeps,
        executor: Executor,
        admission: Arc<SharedAdmission>,
    ) -> Self {
        let now = deps.clock.now();
        Self {
            policy: config.policy(),
            load_limiter: LoadLimiter::new(config.models.starts, now),
            declaration: deps.declaration.current(),
            config,
            deps,
            executor,
            admission,
            intents: BTreeMap::new(),
            reservations: BTreeMap::new(),
            versions: BTreeMap::new(),
            reports: BTreeMap::new(),
            observations: Observations::default(),
            usage: BTreeMap::new(),
            adapter_usage: BTreeMap::new(),
            busy: BTreeSet::new(),
            backoffs: BTreeMap::new(),
            failures: BTreeMap::new(),
            scan_failures: 0,
            next_scan: now,
            pending_loads: BTreeMap::new(),
            pending_reports: BTreeSet::new(),
            report_requests: BTreeMap::new(),
            peer_demand: BTreeMap::new(),
            sent_wakes: BTreeMap::new(),
            fallback_until: BTreeMap::new(),
            last_scan: None,
            scan_running: false,
            scan_scope: None,
            usage_recorded: now,
            jobs: JoinSet::new(),
        }
    }

    /// Runs until it is dropped.
    pub(super) async fn run(
        mut self,
        mut receiver: mpsc::Receiver<IncomingWake>,
        notify: Arc<Notify>,
    ) {
        let mut replies = Vec::new();
        loop {
            tokio::select! {
                () = notify.notified() => {}
                () = tokio::time::sleep(TICK) => {}
                Some(incoming) = receiver.recv() => replies.push(self.receive_wake(incoming)),
                Some(result) = self.jobs.join_next(), if !self.jobs.is_empty() => {
                    if let Ok(result) = result {
                        self.finish_job(result);
                    }
                }
            }
            let plan = self.step();
            for (wake, reply) in replies.drain(..) {
                // The receiver is gone if the sending VM no longer waits for the response.
                drop(reply.send(wakes::respond(&plan, &wake)));
            }
        }
    }

    /// Does what is due now, and returns the plan; it is empty if this VM does not plan.
    fn step(&mut self) -> Plan {
        let now = self.deps.clock.now();
        self.declaration = self.deps.declaration.current();
        self.read_reports(now);
        self.end_backoffs(now);
        self.record_usage(now);
        let own = self.admission.with(|admission| admission.unmet_demand(now));
        let mut plan = Plan::default();
        if self.is_active(&own, now) {
            self.scan(now);
            plan = self.plan(&own, now);
        } else {
            self.last_scan = None;
        }
        self.wake_leader(&own, now);
        self.admission.tick();
        plan
    }

    /// The leader, unless it is this VM or no VM is known.
    fn leader(&self) -> Option<VmId> {
        let vms = self.deps.cluster.vms();
        choose_leader(&vms)
            .filter(|vm| **vm != self.config.vm)
            .cloned()
    }

    /// Whether this VM plans and executes commands itself.
    fn is_active(&mut self, own: &BTreeMap<ModelId, ModelDemand>, now: Instant) -> bool {
        self.fallback_until.retain(|_, until| *until > now);
        self.peer_demand.retain(|_, peer| peer.until > now);
        let leader_failed = own
            .keys()
            .any(|model| self.fallback_until.contains_key(model));
        self.leader().is_none()
            || leader_failed
            || !self.peer_demand.is_empty()
            || !self.busy.is_empty()
    }

    /// Starts a read of each report that is due.
    fn read_reports(&mut self, now: Instant) {
        let active =
            !self.admission.with(|admission| admission.is_empty()) || !self.busy.is_empty();
        let interval = if active {
            self.config.report_interval / BUSY_REPORT_FACTOR
        } else {
            self.config.report_interval
        };
        for engine in self.deps.cluster.engines().iter() {
            let Ok(id) = upstream_id(engine) else {
                continue;
            };
            let due = self
                .report_requests
                .get(&id)
                .is_none_or(|at| *at + interval <= now);
            if !due || !self.pending_reports.insert(id.clone()) {
                continue;
            }
            self.report_requests.insert(id.clone(), now);
            let engines = Arc::clone(&self.deps.engines);
            self.jobs
                .spawn(read_report(engines, engine.clone(), id, now));
        }
    }

    fn finish_job(&mut self, result: JobResult) {
        let now = self.deps.clock.now();
        match result {
            JobResult::Report {
                engine,
                requested,
                result,
            } => {
                self.pending_reports.remove(&engine);
                if let Ok(report) = result {
                    self.reports
                        .insert(engine, TimedReport::new(report, requested));
                    self.update_views();
                }
            }
            JobResult::Scan(read) => {
                self.scan_running = false;
                if self.accept_objects(read, now) {
                    self.last_scan = Some(now);
                    self.scan_failures = 0;
                    self.drop_stale();
                } else {
                    self.next_scan = now + backoff(self.scan_failures);
                    self.scan_failures += 1;
                }
            }
            JobResult::Batch {
                model,
                results,
                read,
            } => {
                let failed = results.iter().any(|(_, result)| result.is_err());
                for (command, result) in results {
                    self.finish_command(&command, result.as_ref().err(), now);
                }
                self.accept_objects(read, now);
                self.end_batch(model, failed, now);
            }
            JobResult::Wake { model, result } => match result {
                Ok(response) => {
                    let ready_at = now + Duration::from_millis(response.wait);
                    self.admission
                        .with(|admission| admission.set_ready_time(&model, ready_at));
                }
                Err(error) => {
                    debug!(self.deps.log, "wake failed"; "model" => %model, "error" => %error);
                    self.fallback_until.insert(model, now + FALLBACK_TIME);
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
        self.backoffs.insert(model, now + backoff(*failures));
        *failures += 1;
    }

    /// Allows the next batch for models whose pause has ended.
    fn end_backoffs(&mut self, now: Instant) {
        let ended = self.backoffs.extract_if(.., |_, until| *until <= now);
        for (model, _) in ended {
            self.busy.remove(&model);
        }
    }

    /// Records the effects of a command after its execution; `error` tells why it failed.
    fn finish_command(
        &mut self,
        command: &Command,
        error: Option<&super::executor::ExecuteError>,
        now: Instant,
    ) {
        if let Some(error) = error {
            warn!(self.deps.log, "command failed"; "model" => %command.model(), "error" => %error);
        }
        match command {
            Command::Load { load, .. } => {
                self.pending_loads.remove(&load.replica);
                self.observations.order_sent(&load.replica, now);
            }
            Command::Renew { target, .. } | Command::Expel { target, .. } => {
                self.observations.order_sent(&target.replica, now);
            }
            Command::Unload { engine, target } => {
                self.observations.order_sent(&target.replica, now);
                if error.is_none() && engine.fenced {
                    let generation = engine.generation;
                    self.observations
                        .unload_accepted(&target.replica, generation, now);
                }
            }
            Command::Attach {
                target, adapter, ..
            }
            | Command::Detach {
                target, adapter, ..
            } => {
                self.observations
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

    /// Gives admission the newest view of each model.
    fn update_views(&mut self) {
        let now = self.deps.clock.now();
        let engines = self.deps.cluster.engines();
        let bandwidth = self.policy.load_bandwidth;
        let declaration = &self.declaration;
        let views = build_views(
            declaration,
            &engines,
            &self.reports,
            &self.intents,
            bandwidth,
        );
        self.admission.with(|admission| {
            for (model, view) in views {
                admission.update_view(&model, view, now);
            }
        });
    }

    /// Records which models and adapters are used, from the reports and from this VM's requests.
    fn record_usage(&mut self, now: Instant) {
        for timed in self.reports.values() {
            for replica in &timed.report.replicas {
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
        if self.usage_recorded + self.policy.idle_time / USE_RECORDS_PER_IDLE > now {
            return;
        }
        self.usage_recorded = now;
        for (model, adapter) in self
            .admission
            .with(super::admission::AdmissionControl::take_used)
        {
            self.record_use(&model, adapter.as_ref(), now);
            self.send_wake(&model, adapter, Tokens::ZERO, now, now);
        }
    }

    fn record_use(&mut self, model: &ModelId, adapter: Option<&AdapterId>, now: Instant) {
        let first = Usage::first(now);
        self.usage.entry(model.clone()).or_insert(first).touch(now);
        if let Some(adapter) = adapter {
            self.adapter_usage.insert(adapter.clone(), now);
        }
    }

    /// Plans for the demand of this VM and of its peers, and starts the commands of the plan.
    fn plan(&mut self, own: &BTreeMap<ModelId, ModelDemand>, now: Instant) -> Plan {
        if self.last_scan.is_none() {
            return Plan::default();
        }
        let mut demand = own.clone();
        for ((model, _, _), peer) in &self.peer_demand {
            let entry = demand.entry(model.clone());
            entry
                .and_modify(|d| d.merge(&peer.demand))
                .or_insert_with(|| peer.demand.clone());
        }
        for model in demand.keys() {
            let first = Usage::first(now);
            self.usage.entry(model.clone()).or_insert(first).touch(now);
        }
        for model in demand.values() {
            for adapter in model.adapters.keys() {
                self.adapter_usage.insert(adapter.clone(), now);
            }
        }
        let plan = self.make_plan(&demand, now);
        self.set_ready_times(&plan, now);
        self.execute(&plan, now);
        plan
    }

    fn make_plan(&mut self, demand: &BTreeMap<ModelId, ModelDemand>, now: Instant) -> Plan {
        let mut pending: BTreeMap<UpstreamId, Bytes> = BTreeMap::new();
        for (engine, bytes, _) in self.pending_loads.values() {
            let sum = pending.entry(engine.clone()).or_default();
            *sum = *sum + *bytes;
        }
        let remote = |p: &&(UpstreamId, Bytes, Origin)| p.2 == Origin::Remote;
        let state = ClusterState {
            declaration: &self.declaration,
            engines: &self.deps.cluster.engines(),
            intents: &self.intents,
            reservations: &self.reservations,
            reports: &self.reports,
            demand,
            usage: &self.usage,
            adapter_usage: &self.adapter_usage,
            observations: &self.observations,
            busy: &self.busy,
            pending: &pending,
            pending_remote: self.pending_loads.values().filter(remote).count(),
            start_budget: self.load_limiter.available(now),
            policy: &self.policy,
            now,
        };
        plan(&state, rand::random)
    }

    fn set_ready_times(&self, plan: &Plan, now: Instant) {
        self.admission.with(|admission| {
            for (model, wait) in &plan.waits {
                admission.set_ready_time(model, now + *wait);
            }
        });
    }

    /// Starts a batch of commands for each model that has none in execution.
    fn execute(&mut self, plan: &Plan, now: Instant) {
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
            let executor = self.executor.clone();
            self.jobs.spawn(run_batch(executor, model, batch));
        }
    }

    /// Records a command before its execution.
    fn begin_command(&mut self, command: &Command, now: Instant) {
        debug!(self.deps.log, "command"; "model" => %command.model(), "command" => ?command);
        if let Command::Load {
            engine,
            load,
            origin,
        } = command
        {
            if *origin == Origin::Remote {
                self.load_limiter.record_load();
            }
            self.observations.order_sent(&load.replica, now);
            if let Ok(id) = upstream_id(engine) {
                let pending = (id, load.weights + load.floor, *origin);
                self.pending_loads.insert(load.replica.clone(), pending);
            }
        }
    }
}

/// The pause after `failures` earlier failures, with jitter so that VMs do not retry all at once.
fn backoff(failures: u32) -> Duration {
    let pause = BACKOFF * 2_u32.saturating_pow(failures.min(8));
    pause.min(MAX_BACKOFF).mul_f64(0.5 + rand::random::<f64>())
}
