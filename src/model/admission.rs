//! Admission control at one VM: which requests wait, which is served next, which are refused.
//!
//! This is a pure state machine: each event comes with the present time, and results are returned
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

/// Time by which load reports may lag behind, over which the peak of running requests is kept.
const REPORT_LAG: Duration = Duration::from_millis(1500);
/// Weight of the newest request in the moving average of the service time.
const SERVICE_TIME_WEIGHT: f64 = 0.1;
/// Time added to the expected wait during which a refused request still counts as demand, so that
/// its model is loaded for the retry.
const REFUSED_DEMAND_TIME: Duration = Duration::from_secs(10);
/// Shortest time after which a refused caller is asked to retry.
const MIN_RETRY: Duration = Duration::from_secs(1);

/// A replica that can serve requests now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServingReplica {
    /// Its id, engine and number of slots.
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

/// The result of a request's wait.
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

/// A granted request that has not ended.
#[derive(Debug)]
struct RunningRequest {
    started: Instant,
    work: Tokens,
}

type RunningKey = (ClientAccount, RequestId);

/// The waiting and running requests of one model, and its replicas.
#[derive(Debug, Default)]
struct ModelState {
    queue: Queue,
    running: BTreeMap<RunningKey, Vec<RunningRequest>>,
    /// Number of running requests.
    inflight: u32,
    /// Most running requests at once since `peak_since`.
    peak: u32,
    /// The peak of the period before `peak_since`.
    previous_peak: u32,
    peak_since: Option<Instant>,
    /// Number of reported requests that are attributed to other VMs.
    peer_load: u32,
    view: ModelView,
    /// When the first replica is expected to be ready.
    ready_at: Option<Instant>,
    /// Adapters (`None` for the plain model) of requests that were refused for their deadline, with
    /// the time until which they count as demand.
    refused_demand: BTreeMap<Option<AdapterId>, Instant>,
    /// Adapters (`None` for the plain model) of requests granted since the last
    /// [`AdmissionControl::take_used`].
    used_adapters: BTreeSet<Option<AdapterId>>,
    /// Moving average of the service time, in seconds for each token.
    secs_per_token: f64,
}

impl ModelState {
    fn can_serve(&self, adapter: Option<&AdapterId>) -> bool {
        let fits = |u: &ServingReplica| adapter.is_none_or(|a| u.adapters.contains(a));
        self.view.serving.iter().any(fits)
    }

    fn matching_replicas(&self, adapter: Option<&AdapterId>) -> Vec<Replica> {
        let fits = |u: &&ServingReplica| adapter.is_none_or(|a| u.adapters.contains(a));
        let serving = self.view.serving.iter().filter(fits);
        serving.map(|u| u.replica.clone()).collect()
    }

    fn slots(&self) -> u32 {
        self.view.serving.iter().map(|u| u.replica.slots).sum()
    }

    fn free_slots(&self) -> u32 {
        self.slots()
            .saturating_sub(self.peer_load)
            .saturating_sub(self.inflight)
    }

    fn service_time(&self, work: Tokens) -> Duration {
        Duration::from_secs_f64(self.secs_per_token * work.0 as f64)
    }

    fn drain_time(&self, work: Tokens) -> Duration {
        self.service_time(work) / self.slots().max(1)
    }

    /// Expected time until a request can start that has `ahead` tokens of work before it.
    fn time_to_start(&self, adapter: Option<&AdapterId>, ahead: Tokens, now: Instant) -> Duration {
        let queue_wait = if self.free_slots() > 0 && self.queue.is_empty() {
            Duration::ZERO
        } else {
            self.drain_time(ahead)
        };
        if self.can_serve(adapter) {
            return queue_wait;
        }
        self.time_until_ready(now) + queue_wait
    }

    fn time_until_ready(&self, now: Instant) -> Duration {
        let known = self.ready_at.map(|at| at.saturating_duration_since(now));
        if self.view.serving.is_empty() {
            return known.unwrap_or(self.view.cold_start);
        }
        Duration::ZERO
    }

    /// Replaces the view. Reports lag, so the most requests that this VM itself ran lately are
    /// subtracted from the reported ones, and only the rest counts as load of other VMs.
    fn update_view(&mut self, view: ModelView, now: Instant) {
        let reported: u32 = view.serving.iter().map(|u| u.requests).sum();
        self.peer_load = reported.saturating_sub(self.peak.max(self.previous_peak));
        if self.peak_since.is_none_or(|at| at + REPORT_LAG <= now) {
            self.peak_since = Some(now);
            self.previous_peak = self.peak;
            self.peak = self.inflight;
        }
        if !view.serving.is_empty() {
            self.ready_at = None;
        }
        self.view = view;
    }

    fn start_request(&mut self, account: ClientAccount, queued: &QueuedRequest, now: Instant) {
        let run = RunningRequest {
            started: now,
            work: queued.work,
        };
        let key = (account, queued.id.clone());
        self.running.entry(key).or_default().push(run);
        self.used_adapters.insert(queued.adapter.clone());
        self.inflight += 1;
        self.peak = self.peak.max(self.inflight);
    }

    fn end_request(&mut self, key: &RunningKey, now: Instant) {
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
        let secs_per_token = span / run.work.0.max(1) as f64;
        self.secs_per_token = if self.secs_per_token == 0.0 {
            secs_per_token
        } else {
            self.secs_per_token * (1.0 - SERVICE_TIME_WEIGHT) + secs_per_token * SERVICE_TIME_WEIGHT
        };
    }

    fn record_refusal(&mut self, adapter: Option<AdapterId>, until: Instant) {
        let record_refusal = self.refused_demand.entry(adapter).or_insert(until);
        *record_refusal = until.max(*record_refusal);
    }

    fn unmet_demand(&self, now: Instant) -> Option<ModelDemand> {
        let mut demand = ModelDemand::empty(now + REFUSED_DEMAND_TIME);
        let mut any = false;
        for (_, queued) in self.queue.items() {
            any = true;
            demand.deadline = demand.deadline.min(queued.deadline);
            let served = self.can_serve(queued.adapter.as_ref());
            if self.view.serving.is_empty() || served {
                demand.requests += 1;
                demand.work = demand.work + queued.work;
            }
            if let Some(adapter) = queued.adapter.as_ref().filter(|_| !served) {
                demand.add_adapter(adapter, queued.deadline);
            }
        }
        for (adapter, until) in self
            .refused_demand
            .iter()
            .filter(|(_, until)| **until > now)
        {
            if self.can_serve(adapter.as_ref()) {
                continue;
            }
            any = true;
            demand.requests += u32::from(self.view.serving.is_empty());
            if let Some(adapter) = adapter {
                demand.add_adapter(adapter, *until);
            }
        }
        demand.drain_time = self.drain_time(demand.work);
        any.then_some(demand)
    }
}

/// The waiting and running requests of one VM, by model.
#[derive(Debug)]
pub struct AdmissionControl {
    max_waiting: usize,
    discipline: Discipline,
    models: BTreeMap<ModelId, ModelState>,
    waiting: BTreeMap<Ticket, ModelId>,
    last_ticket: Ticket,
}

impl AdmissionControl {
    /// An empty state in which at most `max_waiting` requests may wait.
    pub fn new(max_waiting: usize, discipline: Discipline) -> Self {
        Self {
            max_waiting,
            discipline,
            models: BTreeMap::new(),
            waiting: BTreeMap::new(),
            last_ticket: Ticket(0),
        }
    }

    /// Queues a request, or refuses it. Call [`Self::grant`] next, which may grant it at once.
    pub fn submit(&mut self, request: &ReplicaRequest, now: Instant) -> Result<Ticket, Refusal> {
        let total = self.waiting.len();
        let max_waiting = self.max_waiting;
        let state = self.state(&request.model);
        let ahead = state.queue.work_ahead(&request.account, request.priority);
        let start = state.time_to_start(request.adapter.as_ref(), ahead, now);
        let retry = start.max(MIN_RETRY);
        // Each account may fill an equal part of the queue, and one part stays free for an account
        // that has no request in it.
        let account_limit = max_waiting / (state.queue.account_count() + 1).max(2);
        if total >= max_waiting || state.queue.account_len(&request.account) >= account_limit {
            return Err(Refusal::not_run(Reason::Capacity).retry_after(retry));
        }
        if now + start + state.service_time(request.work) > request.deadline {
            state.record_refusal(request.adapter.clone(), now + start + REFUSED_DEMAND_TIME);
            return Err(Refusal::not_run(Reason::Deadline).retry_after(retry));
        }
        self.last_ticket = Ticket(self.last_ticket.0 + 1);
        let ticket = self.last_ticket;
        let queued = QueuedRequest {
            ticket,
            id: request.id.clone(),
            adapter: request.adapter.clone(),
            priority: request.priority,
            work: request.work,
            arrived: now,
            deadline: request.deadline,
        };
        self.state(&request.model)
            .queue
            .push(&request.account, queued);
        self.waiting.insert(ticket, request.model.clone());
        Ok(ticket)
    }

    /// Removes a waiting request; returns false if it no longer waits.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        let Some(model) = self.waiting.remove(&ticket) else {
            return false;
        };
        self.state(&model).queue.remove(ticket);
        true
    }

    /// Frees the slot of a granted request that has ended.
    pub fn release(&mut self, request: &ReplicaRequest, now: Instant) {
        let key = (request.account.clone(), request.id.clone());
        self.state(&request.model).end_request(&key, now);
    }

    /// Replaces what is known of a model's replicas.
    pub fn update_view(&mut self, model: &ModelId, view: ModelView, now: Instant) {
        self.state(model).update_view(view, now);
    }

    /// Sets the time at which a replica is expected to be ready, unless one serves already.
    pub fn set_ready_time(&mut self, model: &ModelId, ready_at: Instant) {
        let state = self.state(model);
        if state.view.serving.is_empty() {
            state.ready_at = Some(ready_at);
        }
    }

    /// Grants the next waiting requests of a model while slots are free.
    pub fn grant(&mut self, model: &ModelId, now: Instant) -> Vec<AdmissionOutcome> {
        let mut outcomes = Vec::new();
        let Some(state) = self.models.get_mut(model) else {
            return outcomes;
        };
        while state.free_slots() > 0 {
            let mut queue = std::mem::take(&mut state.queue);
            let next = queue.pop(|queued| state.can_serve(queued.adapter.as_ref()), now);
            state.queue = queue;
            let Some((account, queued)) = next else {
                break;
            };
            state.start_request(account, &queued, now);
            self.waiting.remove(&queued.ticket);
            outcomes.push(AdmissionOutcome {
                ticket: queued.ticket,
                result: Ok(state.matching_replicas(queued.adapter.as_ref())),
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
            outcomes.extend(self.refuse_late(&model, now));
        }
        outcomes
    }

    fn refuse_late(&mut self, model: &ModelId, now: Instant) -> Vec<AdmissionOutcome> {
        let Some(state) = self.models.get_mut(model) else {
            return Vec::new();
        };
        state.refused_demand.retain(|_, until| *until > now);
        let mut queue = std::mem::take(&mut state.queue);
        let late = queue.extract_if(|_, queued| {
            let known = state.ready_at.is_some();
            let wait = if known && !state.can_serve(queued.adapter.as_ref()) {
                state.time_until_ready(now)
            } else {
                Duration::ZERO
            };
            now + wait + state.service_time(queued.work) > queued.deadline || queued.deadline <= now
        });
        state.queue = queue;
        let mut outcomes = Vec::new();
        for (account, queued) in late {
            self.waiting.remove(&queued.ticket);
            let ahead = state.queue.work_ahead(&account, queued.priority);
            let start = state.time_to_start(queued.adapter.as_ref(), ahead, now);
            state.record_refusal(queued.adapter.clone(), now + start + REFUSED_DEMAND_TIME);
            let refusal = Refusal::not_run(Reason::Deadline).retry_after(start.max(MIN_RETRY));
            outcomes.push(AdmissionOutcome {
                ticket: queued.ticket,
                result: Err(refusal),
            });
        }
        outcomes
    }

    /// Unmet demand, by model, including requests that were refused shortly before.
    pub fn unmet_demand(&self, now: Instant) -> BTreeMap<ModelId, ModelDemand> {
        let demand = self.models.iter().filter_map(|(model, state)| {
            let unmet = state.unmet_demand(now)?;
            Some((model.clone(), unmet))
        });
        demand.collect()
    }

    /// Models and adapters that were used since the last call or are in use.
    pub fn take_used(&mut self) -> Vec<(ModelId, Option<AdapterId>)> {
        let mut used = Vec::new();
        for (model, state) in &mut self.models {
            let adapters = std::mem::take(&mut state.used_adapters);
            used.extend(adapters.into_iter().map(|a| (model.clone(), a)));
            if state.inflight > 0 {
                used.push((model.clone(), None));
            }
        }
        used
    }

    /// Number of replicas of a model that can serve, according to the last reports.
    pub fn serving_replicas(&self, model: &ModelId) -> usize {
        let state = self.models.get(model);
        state.map_or(0, |s| s.view.serving.len())
    }

    /// Time to load the model from the weight store; zero if a replica of it can serve.
    pub fn min_wait(&self, model: &ModelId) -> Duration {
        let state = self.models.get(model).filter(|s| s.view.serving.is_empty());
        state.map_or(Duration::ZERO, |s| s.view.cold_start)
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
        self.models.values().map(|s| s.inflight).sum()
    }

    fn state(&mut self, model: &ModelId) -> &mut ModelState {
        let discipline = self.discipline;
        let make = || ModelState {
            queue: Queue::new(discipline),
            ..ModelState::default()
        };
        self.models.entry(model.clone()).or_insert_with(make)
    }
}
