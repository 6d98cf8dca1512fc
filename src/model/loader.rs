//! The task that keeps the models: reads reports and objects, plans, carries commands out.
//!
//! A VM acts on its plan where it is the owner of loads, or where the owner cannot be reached;
//! otherwise it asks the owner. Slow calls run as jobs beside the loop, at most one batch of
//! commands a model.

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
use super::jobs::{Done, Read, read_objects, read_report, run_batch, wake};
use super::owner::owner;
use super::place::Origin;
use super::plan::{Plan, Policy, World, plan};
use super::shell::{Config, Ports};
use super::slots::Starts;
use super::views::{Reports, views};
use crate::ids::{AdapterId, ModelId, ReplicaId, RequestId, UpstreamId, Version, VmId};
use crate::schema::declaration::Declaration;
use crate::schema::peer::{WakeAnswer, WakeAsk};
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
    pub(super) ask: WakeAsk,
    pub(super) reply: oneshot::Sender<WakeAnswer>,
}

#[derive(Debug)]
struct Remote {
    need: Need,
    until: Instant,
}

/// Objects that a scan reads.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Covered {
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
    versions: BTreeMap<crate::ids::ObjectKey, Version>,
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
                drop(reply.send(answer(&plan, &ask)));
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

    fn scan(&mut self, now: Instant) {
        let covered = self.to_cover();
        let aged = self.scanned.is_none_or(|at| at + SCAN <= now);
        // A model or an engine that is new must not wait for the next regular scan.
        let due = aged || self.covered.as_ref() != Some(&covered);
        if !due || self.scanning || self.scan_after > now {
            return;
        }
        self.scanning = true;
        self.covered = Some(covered);
        let mut models: BTreeSet<ModelId> = self.declaration.models.keys().cloned().collect();
        models.extend(self.decided.keys().cloned());
        for reserved in self.reserved.values() {
            models.extend(reserved.holds.values().map(|h| h.model.clone()));
        }
        for seen in self.reports.values() {
            models.extend(seen.report.replicas.iter().map(|r| r.model.clone()));
        }
        let listed = self.ports.fleet.engines();
        let mut engines: BTreeSet<UpstreamId> = self.reserved.keys().cloned().collect();
        engines.extend(listed.iter().filter_map(|e| upstream(e).ok()));
        let flows = self.flows.clone();
        self.jobs.spawn(async move {
            let read = read_objects(&flows, models, engines).await;
            Done::Scan(read)
        });
    }

    fn to_cover(&self) -> Covered {
        let listed = self.ports.fleet.engines();
        Covered {
            models: self.declaration.models.keys().cloned().collect(),
            engines: listed.iter().filter_map(|e| upstream(e).ok()).collect(),
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

    /// Takes objects in that are not older than what is known; `false` where some were not read.
    fn take_read(&mut self, read: Read, now: Instant) -> bool {
        for (model, version, decided) in read.models {
            if self.is_news(super::decided::model_key(&model), version) {
                self.evidence.see_decided(&decided, now);
                self.decided.insert(model, decided);
            }
        }
        for (engine, version, reserved) in read.engines {
            if self.is_news(super::decided::engine_key(&engine), version) {
                self.reserved.insert(engine, reserved);
            }
        }
        self.note_engines(now);
        self.show();
        read.whole
    }

    fn is_news(
        &mut self,
        key: Result<crate::ids::ObjectKey, crate::ids::IdError>,
        version: Version,
    ) -> bool {
        let Ok(key) = key else {
            return false;
        };
        let known = self.versions.entry(key).or_default();
        if version < *known {
            return false;
        }
        *known = version;
        true
    }

    fn note_engines(&mut self, now: Instant) {
        let decided = &self.decided;
        for (engine, reserved) in &self.reserved {
            let known = |replica: &ReplicaId| {
                let hold = reserved.holds.get(replica);
                let model = hold.and_then(|h| decided.get(&h.model));
                model.is_some_and(|d| d.replicas.contains_key(replica))
            };
            self.evidence.see_reserved(engine, reserved, known, now);
        }
        let intents = decided.values().flat_map(|d| d.replicas.values());
        let engines: Vec<UpstreamId> = intents.map(|i| i.engine.clone()).collect();
        let fleet = self.ports.fleet.engines();
        let listed = |id: &UpstreamId| fleet.iter().any(|e| e.vm.as_str() == id.as_str());
        self.evidence.see_listed(&engines, listed, now);
    }

    fn forget_gone(&mut self) {
        let decided = self.decided.values().flat_map(|d| d.replicas.keys());
        let held = self.reserved.values().flat_map(|r| r.holds.keys());
        let reports = self.reports.values().flat_map(|s| &s.report.replicas);
        let mut known: BTreeSet<&ReplicaId> = decided.chain(held).collect();
        known.extend(reports.map(|r| &r.replica));
        known.extend(self.pending.keys());
        self.evidence.retain(|replica| known.contains(replica));
        let engines = self.ports.fleet.engines();
        let listed = |id: &UpstreamId| engines.iter().any(|e| e.vm.as_str() == id.as_str());
        self.reports.retain(|id, _| listed(id));
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

    fn take_ask(&mut self, asked: Asked) -> (WakeAsk, oneshot::Sender<WakeAnswer>) {
        let now = self.ports.clock.now();
        let Asked { ask, reply } = asked;
        self.touch(&ask.model, ask.adapter.as_ref(), now);
        if ask.work > Tokens::ZERO {
            let deadline = now + Duration::from_millis(ask.deadline);
            let mut need = Need::empty(deadline);
            need.requests = 1;
            need.work = ask.work;
            if let Some(adapter) = &ask.adapter {
                need.want_adapter(adapter, deadline);
            }
            let key = (ask.model.clone(), ask.adapter.clone(), ask.request.clone());
            let until = now + ASK_LIFE;
            self.remote.insert(key, Remote { need, until });
        }
        (ask, reply)
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

    /// Asks the owner for what waits here.
    fn ask_owner(&mut self, own: &BTreeMap<ModelId, Need>, now: Instant) {
        for (model, need) in own {
            if need.requests > 0 {
                self.ask(model, None, need.work.max(Tokens(1)), need.deadline, now);
            }
            for (adapter, deadline) in &need.adapters {
                self.ask(model, Some(adapter.clone()), Tokens(1), *deadline, now);
            }
        }
    }

    fn ask(
        &mut self,
        model: &ModelId,
        adapter: Option<AdapterId>,
        work: Tokens,
        deadline: Instant,
        now: Instant,
    ) {
        let Some(owner) = self.owner() else {
            return;
        };
        let key = (model.clone(), adapter.clone());
        let last = self.own_asks.get(&key);
        if last.is_some_and(|at| *at + ASK_PAUSE > now) {
            return;
        }
        if work > Tokens::ZERO {
            self.own_asks.insert(key, now);
        }
        let Ok(request) = self.config.vm.as_str().parse() else {
            return;
        };
        let ask = WakeAsk {
            account: None,
            adapter,
            deadline: deadline.saturating_duration_since(now).as_millis() as u64,
            model: model.clone(),
            request,
            work,
        };
        let link = Arc::clone(&self.ports.wake);
        self.jobs.spawn(wake(link, owner, ask));
    }
}

/// A pause after so many failures; its random part keeps VMs from returning at once.
fn rest(failures: u32) -> Duration {
    let pause = REST * 2_u32.saturating_pow(failures.min(8));
    pause.min(MAX_REST).mul_f64(0.5 + rand::random::<f64>())
}

fn answer(plan: &Plan, ask: &WakeAsk) -> WakeAnswer {
    let wait = plan.waits.get(&ask.model).copied().unwrap_or_default();
    let wait = wait.as_millis() as u64;
    WakeAnswer {
        accepted: wait <= ask.deadline,
        request: ask.request.clone(),
        wait,
    }
}
