//! Admission control at one VM: which requests wait, which is served next, which are refused.
//!
//! This is a pure state machine: each event comes with the present time, and answers are returned
//! as [`AdmissionOutcome`]s. A request is granted when a replica has its model and adapter loaded
//! and a slot is free. It is refused as soon as its deadline cannot be met any more, with the time
//! after which a retry could succeed.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use super::queue::{Discipline, Queue, QueuedRequest, Ticket};
use super::{Replica, ReplicaRequest};
use crate::ids::{AdapterId, ClientAccount, ModelId, RequestId};
use crate::outcome::{Reason, Refusal};
use crate::units::Tokens;

/// Greatest age of a load report when it arrives.
const REPORT_LAG: Duration = Duration::from_millis(1500);
/// Weight of the newest request in the moving average of the service time.
const PACE_WEIGHT: f64 = 0.1;
/// Time added to the expected wait during which a refused request still counts as demand, so that
/// its model is loaded for the retry.
const HINT_GRACE: Duration = Duration::from_secs(10);
/// Shortest time after which a refused caller is asked to retry.
const MIN_RETRY: Duration = Duration::from_secs(1);

/// A replica that can serve requests now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServingReplica {
    /// The replica.
    pub replica: Replica,
    /// Adapters attached to it.
    pub adapters: BTreeSet<AdapterId>,
    /// Number of requests running or queued there, from all VMs, as reported.
    pub requests: u32,
}

/// The state of a model according to the load reports.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ModelView {
    /// Replicas that can serve requests now.
    pub serving: Vec<ServingReplica>,
    /// Time to load the model from the weight store.
    pub cold_start: Duration,
}

/// An answer to a waiting request.
#[derive(Debug)]
pub struct AdmissionOutcome {
    /// The request's ticket.
    pub ticket: Ticket,
    /// Replicas that may serve the request, or why it is refused.
    pub result: Result<Vec<Replica>, Refusal>,
}

/// Demand for a model that its replicas do not meet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ModelDemand {
    /// Number of requests that lack a replica or a slot.
    pub requests: u32,
    /// Tokens that these requests are expected to take.
    pub work: Tokens,
    /// Earliest deadline of a waiting request.
    pub deadline: Instant,
    /// Time the present replicas need for the work.
    pub drain_time: Duration,
    /// Missing adapters, each with the earliest deadline of a request that needs it.
    pub adapters: BTreeMap<AdapterId, Instant>,
}

impl ModelDemand {
    /// Demand without requests.
    pub fn empty(deadline: Instant) -> Self {
        Self {
            requests: 0,
            work: Tokens::ZERO,
            deadline,
            drain_time: Duration::ZERO,
            adapters: BTreeMap::new(),
        }
    }

    /// Adds the demand of another VM.
    pub fn merge(&mut self, other: &Self) {
        self.requests += other.requests;
        self.work = self.work + other.work;
        self.deadline = self.deadline.min(other.deadline);
        self.drain_time = self.drain_time.max(other.drain_time);
        for (adapter, deadline) in &other.adapters {
            self.add_adapter(adapter, *deadline);
        }
    }

    /// Adds a missing adapter that a request needs by `deadline`.
    pub fn add_adapter(&mut self, adapter: &AdapterId, deadline: Instant) {
        let first = self.adapters.entry(adapter.clone()).or_insert(deadline);
        *first = deadline.min(*first);
    }
}

#[derive(Debug)]
struct Run {
    started: Instant,
    work: Tokens,
}

type RunKey = (ClientAccount, RequestId);

#[derive(Debug, Default)]
struct Counter {
    queue: Queue,
    running: BTreeMap<RunKey, Vec<Run>>,
    inflight: u32,
    peak: u32,
    former_peak: u32,
    peak_since: Option<Instant>,
    others: u32,
    view: ModelView,
    ready_at: Option<Instant>,
    hints: BTreeMap<Option<AdapterId>, Instant>,
    used: BTreeSet<Option<AdapterId>>,
    pace: f64,
}

impl Counter {
    fn serves(&self, adapter: Option<&AdapterId>) -> bool {
        let fits = |u: &ServingReplica| adapter.is_none_or(|a| u.adapters.contains(a));
        self.view.serving.iter().any(fits)
    }

    fn replicas(&self, adapter: Option<&AdapterId>) -> Vec<Replica> {
        let fits = |u: &&ServingReplica| adapter.is_none_or(|a| u.adapters.contains(a));
        let usable = self.view.serving.iter().filter(fits);
        usable.map(|u| u.replica.clone()).collect()
    }

    fn slots(&self) -> u32 {
        self.view.serving.iter().map(|u| u.replica.slots).sum()
    }

    fn free(&self) -> u32 {
        self.slots()
            .saturating_sub(self.others)
            .saturating_sub(self.inflight)
    }

    fn service(&self, work: Tokens) -> Duration {
        Duration::from_secs_f64(self.pace * work.0 as f64)
    }

    fn drain(&self, work: Tokens) -> Duration {
        self.service(work) / self.slots().max(1)
    }

    /// Expected time until a request can start that has `ahead` tokens of work before it.
    fn start(&self, adapter: Option<&AdapterId>, ahead: Tokens, now: Instant) -> Duration {
        let queued = if self.free() > 0 && self.queue.is_empty() {
            Duration::ZERO
        } else {
            self.drain(ahead)
        };
        if self.serves(adapter) {
            return queued;
        }
        self.until_ready(now) + queued
    }

    fn until_ready(&self, now: Instant) -> Duration {
        let known = self.ready_at.map(|at| at.saturating_duration_since(now));
        if self.view.serving.is_empty() {
            return known.unwrap_or(self.view.cold_start);
        }
        Duration::ZERO
    }

    /// Takes a new view in. Reports lag, so the most requests that this VM itself ran lately are
    /// subtracted from the reported ones, and only the rest counts as load of other VMs.
    fn see(&mut self, view: ModelView, now: Instant) {
        let reported: u32 = view.serving.iter().map(|u| u.requests).sum();
        self.others = reported.saturating_sub(self.peak.max(self.former_peak));
        if self.peak_since.is_none_or(|at| at + REPORT_LAG <= now) {
            self.peak_since = Some(now);
            self.former_peak = self.peak;
            self.peak = self.inflight;
        }
        if !view.serving.is_empty() {
            self.ready_at = None;
        }
        self.view = view;
    }

    fn begin(&mut self, account: ClientAccount, item: &QueuedRequest, now: Instant) {
        let run = Run {
            started: now,
            work: item.work,
        };
        let key = (account, item.request.clone());
        self.running.entry(key).or_default().push(run);
        self.used.insert(item.adapter.clone());
        self.inflight += 1;
        self.peak = self.peak.max(self.inflight);
    }

    fn end(&mut self, key: &RunKey, now: Instant) {
        let Some(runs) = self.running.get_mut(key) else {
            return;
        };
        let run = runs.pop();
        if runs.is_empty() {
            self.running.remove(key);
        }
        let Some(run) = run else {
            return;
        };
        self.inflight -= 1;
        let span = now.saturating_duration_since(run.started).as_secs_f64();
        let pace = span / run.work.0.max(1) as f64;
        self.pace = if self.pace == 0.0 {
            pace
        } else {
            self.pace * (1.0 - PACE_WEIGHT) + pace * PACE_WEIGHT
        };
    }

    fn hint(&mut self, adapter: Option<AdapterId>, until: Instant) {
        let hint = self.hints.entry(adapter).or_insert(until);
        *hint = until.max(*hint);
    }

    fn need(&self, now: Instant) -> Option<ModelDemand> {
        let mut need = ModelDemand::empty(now + HINT_GRACE);
        let mut any = false;
        for (_, item) in self.queue.items() {
            any = true;
            need.deadline = need.deadline.min(item.deadline);
            let served = self.serves(item.adapter.as_ref());
            if self.view.serving.is_empty() || served {
                need.requests += 1;
                need.work = need.work + item.work;
            }
            if let Some(adapter) = item.adapter.as_ref().filter(|_| !served) {
                need.add_adapter(adapter, item.deadline);
            }
        }
        for (adapter, until) in self.hints.iter().filter(|(_, until)| **until > now) {
            if self.serves(adapter.as_ref()) {
                continue;
            }
            any = true;
            need.requests += u32::from(self.view.serving.is_empty());
            if let Some(adapter) = adapter {
                need.add_adapter(adapter, *until);
            }
        }
        need.drain_time = self.drain(need.work);
        any.then_some(need)
    }
}

/// The waiting and running requests of one VM, by model.
#[derive(Debug)]
pub struct AdmissionControl {
    bound: usize,
    discipline: Discipline,
    models: BTreeMap<ModelId, Counter>,
    waiting: BTreeMap<Ticket, ModelId>,
    last: Ticket,
}

impl AdmissionControl {
    /// An empty state in which at most `bound` requests may wait.
    pub fn new(bound: usize, discipline: Discipline) -> Self {
        Self {
            bound,
            discipline,
            models: BTreeMap::new(),
            waiting: BTreeMap::new(),
            last: Ticket(0),
        }
    }

    /// Queues a request, or refuses it. Call [`Self::grant`] next, which may answer it at once.
    pub fn submit(&mut self, want: &ReplicaRequest, now: Instant) -> Result<Ticket, Refusal> {
        let total = self.waiting.len();
        let bound = self.bound;
        let counter = self.counter(&want.model);
        let ahead = counter.queue.work_ahead(&want.account, want.priority);
        let start = counter.start(want.adapter.as_ref(), ahead, now);
        let retry = start.max(MIN_RETRY);
        let share = bound / (counter.queue.account_count() + 1).max(2);
        if total >= bound || counter.queue.account_len(&want.account) >= share {
            return Err(Refusal::not_run(Reason::Capacity).retry_after(retry));
        }
        if now + start + counter.service(want.work) > want.deadline {
            counter.hint(want.adapter.clone(), now + start + HINT_GRACE);
            return Err(Refusal::not_run(Reason::Deadline).retry_after(retry));
        }
        self.last = Ticket(self.last.0 + 1);
        let ticket = self.last;
        let item = QueuedRequest {
            ticket,
            request: want.id.clone(),
            adapter: want.adapter.clone(),
            priority: want.priority,
            work: want.work,
            arrived: now,
            deadline: want.deadline,
        };
        self.counter(&want.model).queue.push(&want.account, item);
        self.waiting.insert(ticket, want.model.clone());
        Ok(ticket)
    }

    /// Removes a waiting request; returns false if it has been answered already.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        let Some(model) = self.waiting.remove(&ticket) else {
            return false;
        };
        self.counter(&model).queue.remove(ticket);
        true
    }

    /// Frees the slot of a granted request that has ended.
    pub fn release(&mut self, want: &ReplicaRequest, now: Instant) {
        let key = (want.account.clone(), want.id.clone());
        self.counter(&want.model).end(&key, now);
    }

    /// Replaces the view of a model.
    pub fn update_view(&mut self, model: &ModelId, view: ModelView, now: Instant) {
        self.counter(model).see(view, now);
    }

    /// Sets the time at which a replica is expected to be ready, unless one serves already.
    pub fn set_ready_time(&mut self, model: &ModelId, ready_at: Instant) {
        let counter = self.counter(model);
        if counter.view.serving.is_empty() {
            counter.ready_at = Some(ready_at);
        }
    }

    /// Grants the next waiting requests of a model while slots are free.
    pub fn grant(&mut self, model: &ModelId, now: Instant) -> Vec<AdmissionOutcome> {
        let mut outcomes = Vec::new();
        let Some(counter) = self.models.get_mut(model) else {
            return outcomes;
        };
        while counter.free() > 0 {
            let mut queue = std::mem::take(&mut counter.queue);
            let next = queue.pop(|item| counter.serves(item.adapter.as_ref()), now);
            counter.queue = queue;
            let Some((account, item)) = next else {
                break;
            };
            counter.begin(account, &item, now);
            self.waiting.remove(&item.ticket);
            outcomes.push(AdmissionOutcome {
                ticket: item.ticket,
                result: Ok(counter.replicas(item.adapter.as_ref())),
            });
        }
        outcomes
    }

    /// Grants requests while slots are free, and refuses those whose deadline cannot be met any
    /// more.
    pub fn tick(&mut self, now: Instant) -> Vec<AdmissionOutcome> {
        let models: Vec<ModelId> = self.models.keys().cloned().collect();
        let mut outcomes = Vec::new();
        for model in models {
            outcomes.extend(self.grant(&model, now));
            outcomes.extend(self.give_up(&model, now));
        }
        outcomes
    }

    fn give_up(&mut self, model: &ModelId, now: Instant) -> Vec<AdmissionOutcome> {
        let Some(counter) = self.models.get_mut(model) else {
            return Vec::new();
        };
        counter.hints.retain(|_, until| *until > now);
        let mut queue = std::mem::take(&mut counter.queue);
        let late = queue.drain(|_, item| {
            let known = counter.ready_at.is_some();
            let wait = if known && !counter.serves(item.adapter.as_ref()) {
                counter.until_ready(now)
            } else {
                Duration::ZERO
            };
            now + wait + counter.service(item.work) > item.deadline || item.deadline <= now
        });
        counter.queue = queue;
        let mut outcomes = Vec::new();
        for (account, item) in late {
            self.waiting.remove(&item.ticket);
            let ahead = counter.queue.work_ahead(&account, item.priority);
            let start = counter.start(item.adapter.as_ref(), ahead, now);
            counter.hint(item.adapter.clone(), now + start + HINT_GRACE);
            let refusal = Refusal::not_run(Reason::Deadline).retry_after(start.max(MIN_RETRY));
            outcomes.push(AdmissionOutcome {
                ticket: item.ticket,
                result: Err(refusal),
            });
        }
        outcomes
    }

    /// Unmet demand, by model, including requests that were refused shortly before.
    pub fn unmet_demand(&self, now: Instant) -> BTreeMap<ModelId, ModelDemand> {
        let needs = self.models.iter().filter_map(|(model, counter)| {
            let need = counter.need(now)?;
            Some((model.clone(), need))
        });
        needs.collect()
    }

    /// Models and adapters that were used since the last call or are in use.
    pub fn take_used(&mut self) -> Vec<(ModelId, Option<AdapterId>)> {
        let mut used = Vec::new();
        for (model, counter) in &mut self.models {
            let adapters = std::mem::take(&mut counter.used);
            used.extend(adapters.into_iter().map(|a| (model.clone(), a)));
            if counter.inflight > 0 {
                used.push((model.clone(), None));
            }
        }
        used
    }

    /// Number of replicas of a model that can serve, according to the last reports.
    pub fn serving_replicas(&self, model: &ModelId) -> usize {
        let counter = self.models.get(model);
        counter.map_or(0, |c| c.view.serving.len())
    }

    /// Time to load the model from the weight store; zero if a replica of it can serve.
    pub fn min_wait(&self, model: &ModelId) -> Duration {
        let cold = self.models.get(model).filter(|c| c.view.serving.is_empty());
        cold.map_or(Duration::ZERO, |c| c.view.cold_start)
    }

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Number of granted requests that have not ended.
    pub fn running(&self) -> u32 {
        self.models.values().map(|c| c.inflight).sum()
    }

    fn counter(&mut self, model: &ModelId) -> &mut Counter {
        let discipline = self.discipline;
        let make = || Counter {
            queue: Queue::new(discipline),
            ..Counter::default()
        };
        self.models.entry(model.clone()).or_insert_with(make)
    }
}
