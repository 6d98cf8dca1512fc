//! Load balancing between upstreams.
//!
//! An instance is eligible if it is not leaving, no earlier attempt at the request used it, and its
//! circuit breaker allows a request. The cost of an eligible instance is its estimated load, plus a
//! penalty for another data centre, multiplied by its response time relative to the others. An
//! instance that probably has the request's prompt prefix cached is selected first, unless its load
//! is far above the average. Otherwise the cheaper of two instances drawn at random is selected.
//!
//! [`BalancerState`] makes the decisions without I/O; [`Balancer`] shares it between requests.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::affinity::Affinity;
use super::circuit_breaker::CircuitBreaker;
use super::latency::AverageLatency;
use super::leaving::LeavingUpstreams;
use super::load_estimate::LoadEstimate;
use super::retry_budget::RetryBudget;
use super::{ChoiceContext, Chooser, DispatchOutcome, upstream_id};
use crate::engine::{CacheEvents, LoadReport};
use crate::ids::{DataCentre, Generation, UpstreamId};
use crate::store::{Instance, InstanceState};

/// Cost of sending to another data centre, in requests.
const DISTANCE_COST: f64 = 0.5;
/// A cached prefix is preferred up to this multiple of the average load, plus the slack.
const AFFINITY_FACTOR: f64 = 1.25;
/// Load, in requests, that is allowed on top of the multiple.
const AFFINITY_SLACK: f64 = 2.0;
/// Number of candidates drawn at random, of which the cheapest is selected.
const SAMPLE_SIZE: usize = 2;

/// Parameters of the load balancing.
#[derive(Clone, Debug)]
pub struct BalancerSettings {
    /// This VM's data centre.
    pub centre: DataCentre,
    /// Retries allowed per 100 complete responses.
    pub retry_percent: u32,
    /// Seed of the random selection.
    pub seed: u64,
}

/// Load and health of one generation of an upstream.
#[derive(Clone, Debug)]
struct UpstreamState {
    generation: Generation,
    load: LoadEstimate,
    breaker: CircuitBreaker,
    latency: Option<AverageLatency>,
}

impl UpstreamState {
    fn new(generation: Generation, now: Instant) -> Self {
        Self {
            generation,
            load: LoadEstimate::default(),
            breaker: CircuitBreaker::new(now),
            latency: None,
        }
    }
}

/// State of the load balancing: everything known about the upstreams.
#[derive(Debug)]
pub struct BalancerState {
    centre: DataCentre,
    upstreams: BTreeMap<UpstreamId, UpstreamState>,
    affinity: Affinity,
    leaving: LeavingUpstreams,
    budget: RetryBudget,
    rng: StdRng,
}

/// An eligible instance and the cost of sending the request to it.
#[derive(Clone, Debug)]
struct Candidate {
    upstream: UpstreamId,
    generation: Generation,
    load: f64,
    cost: f64,
    latency: Option<AverageLatency>,
}

impl BalancerState {
    /// Creates a state that knows no upstream yet.
    pub fn new(settings: &BalancerSettings, now: Instant) -> Self {
        Self {
            centre: settings.centre.clone(),
            upstreams: BTreeMap::new(),
            affinity: Affinity::default(),
            leaving: LeavingUpstreams::default(),
            budget: RetryBudget::new(settings.retry_percent, now),
            rng: StdRng::seed_from_u64(settings.seed),
        }
    }

    /// Selects an upstream and counts a request in flight to it; `None` if no instance is eligible.
    pub fn choose(
        &mut self,
        instances: &[Instance],
        context: &ChoiceContext,
        now: Instant,
    ) -> Option<UpstreamId> {
        let candidates = self.eligible(instances, context, now);
        let selected = match self.select_by_prefix(&candidates, context, now) {
            Some(cached) => cached,
            None => self.select_by_cost(candidates)?,
        };
        self.record_dispatch(&selected, context, now);
        Some(selected.upstream)
    }

    /// Records how a request to an upstream ended. `response_time` is given only for a complete
    /// response with a 2xx status.
    pub fn record_outcome(
        &mut self,
        upstream: &UpstreamId,
        outcome: DispatchOutcome,
        response_time: Option<Duration>,
        now: Instant,
    ) {
        if outcome == DispatchOutcome::Completed {
            self.budget.on_success();
        }
        if let Some(state) = self.upstreams.get_mut(upstream) {
            state.load.on_finish(now);
            state.breaker.on_outcome(outcome, now);
            if let Some(response_time) = response_time {
                state.latency = Some(AverageLatency::with_sample(
                    state.latency,
                    response_time,
                    now,
                ));
            }
        }
    }

    /// Applies a load report that was received at `now`.
    pub fn on_report(&mut self, upstream: &UpstreamId, report: &LoadReport, now: Instant) {
        if report.leaving {
            self.leaving.mark(upstream, report.generation);
        }
        self.ensure_generation(upstream, report.generation, now);
        let Some(state) = self.upstreams.get_mut(upstream) else {
            return;
        };
        if report.generation < state.generation {
            return;
        }
        let total = report
            .replicas
            .iter()
            .map(|replica| replica.running.saturating_add(replica.queued))
            .fold(0, u32::saturating_add);
        let age = Duration::from_millis(report.age);
        state
            .load
            .on_report(total, now.checked_sub(age).unwrap_or(now));
    }

    /// Applies cache events from an engine.
    pub fn on_cache_events(&mut self, upstream: &UpstreamId, events: &CacheEvents, now: Instant) {
        self.affinity.on_events(upstream, events, now);
    }

    /// Marks a generation of an upstream, and all older ones, as leaving.
    pub fn on_leaving(&mut self, upstream: &UpstreamId, generation: Generation) {
        self.leaving.mark(upstream, generation);
    }

    /// Spends one retry from the budget; `false` if the budget is used up.
    pub fn try_retry(&mut self, now: Instant) -> bool {
        self.budget.try_spend(now)
    }

    /// Upstreams that are known to be leaving.
    pub fn leaving(&self) -> &LeavingUpstreams {
        &self.leaving
    }

    /// Number of requests that this VM has in flight to an upstream.
    pub fn in_flight(&self, upstream: &UpstreamId) -> u32 {
        self.upstreams
            .get(upstream)
            .map_or(0, |state| state.load.in_flight())
    }

    /// The eligible instances with their costs.
    fn eligible(
        &mut self,
        instances: &[Instance],
        context: &ChoiceContext,
        now: Instant,
    ) -> Vec<Candidate> {
        let mut candidates = Vec::with_capacity(instances.len());
        for instance in instances {
            let Some(upstream) = upstream_id(instance) else {
                continue;
            };
            if instance.state == InstanceState::Leaving {
                self.leaving.mark(&upstream, instance.generation);
            }
            let leaves = self.leaving.contains(&upstream, instance.generation);
            if leaves || context.tried.contains(&upstream) {
                continue;
            }
            let state = self.upstreams.get(&upstream);
            if state.is_some_and(|state| !state.breaker.allows_request(now)) {
                continue;
            }
            let load = state.map_or(0.0, |state| state.load.estimate(now));
            let latency = state.and_then(|state| state.latency);
            let distant = instance.centre != self.centre;
            candidates.push(Candidate {
                upstream,
                generation: instance.generation,
                load,
                cost: load + if distant { DISTANCE_COST } else { 0.0 },
                latency,
            });
        }
        apply_latency(&mut candidates, now);
        candidates
    }

    /// The cheapest candidate that has the prompt's prefix cached and is not overloaded.
    fn select_by_prefix(
        &self,
        candidates: &[Candidate],
        context: &ChoiceContext,
        now: Instant,
    ) -> Option<Candidate> {
        let prefix = context.prefix?;
        let total: f64 = candidates.iter().map(|candidate| candidate.load).sum();
        let max_load = AFFINITY_FACTOR * total / candidates.len().max(1) as f64 + AFFINITY_SLACK;
        let cached = candidates.iter().filter(|candidate| {
            candidate.load <= max_load && self.affinity.has_prefix(&candidate.upstream, prefix, now)
        });
        cached.min_by(|a, b| a.cost.total_cmp(&b.cost)).cloned()
    }

    /// The cheapest of a few candidates drawn at random.
    fn select_by_cost(&mut self, mut candidates: Vec<Candidate>) -> Option<Candidate> {
        let mut best = None::<Candidate>;
        for _ in 0..SAMPLE_SIZE.min(candidates.len()) {
            let candidate = candidates.swap_remove(self.rng.random_range(0..candidates.len()));
            if best.as_ref().is_none_or(|best| candidate.cost < best.cost) {
                best = Some(candidate);
            }
        }
        best
    }

    fn record_dispatch(&mut self, selected: &Candidate, context: &ChoiceContext, now: Instant) {
        let upstream = &selected.upstream;
        self.ensure_generation(upstream, selected.generation, now);
        if let Some(state) = self.upstreams.get_mut(upstream) {
            state.load.on_dispatch(now);
            state.breaker.on_request(now);
        }
        if let Some(prefix) = context.prefix {
            self.affinity.on_dispatch(upstream, prefix, now);
        }
    }

    /// Creates the state of an upstream, or resets it if `generation` is newer than the known one.
    fn ensure_generation(&mut self, upstream: &UpstreamId, generation: Generation, now: Instant) {
        let state = self
            .upstreams
            .entry(upstream.clone())
            .or_insert_with(|| UpstreamState::new(generation, now));
        if generation > state.generation {
            state.generation = generation;
            state.breaker = CircuitBreaker::new(now);
            state.latency = None;
            state.load.on_restart();
            self.affinity.remove_upstream(upstream);
        }
    }
}

/// Raises the cost of candidates that respond more slowly than the others and lowers that of faster
/// ones. One request is added to each cost, so that this also affects upstreams without load.
fn apply_latency(candidates: &mut [Candidate], now: Instant) {
    let latencies = candidates.iter().filter_map(|candidate| candidate.latency);
    let (count, total) = latencies.fold((0, 0.0), |(count, total), latency| {
        (count + 1, total + latency.seconds())
    });
    let mean = total / f64::from(count.max(1));
    for candidate in candidates {
        let ratio = candidate
            .latency
            .map_or(1.0, |latency| latency.ratio_to(mean, now));
        candidate.cost = (candidate.cost + 1.0) * ratio;
    }
}

/// Load balancer, shared by all requests of a VM.
#[derive(Debug)]
pub struct Balancer {
    state: Mutex<BalancerState>,
}

impl Balancer {
    /// Creates a balancer that knows no upstream yet.
    pub fn open(settings: &BalancerSettings, now: Instant) -> Self {
        let state = Mutex::new(BalancerState::new(settings, now));
        Self { state }
    }

    /// Applies a load report that was received at `now`.
    pub fn on_report(&self, upstream: &UpstreamId, report: &LoadReport, now: Instant) {
        self.lock().on_report(upstream, report, now);
    }

    /// Applies cache events from an engine.
    pub fn on_cache_events(&self, upstream: &UpstreamId, events: &CacheEvents, now: Instant) {
        self.lock().on_cache_events(upstream, events, now);
    }

    /// Upstreams that are known to be leaving, with the newest leaving generation, to be sent to
    /// other VMs.
    pub fn leaving(&self) -> Vec<(UpstreamId, Generation)> {
        let state = self.lock();
        let entries = state.leaving().entries();
        entries
            .map(|(upstream, mark)| (upstream.clone(), mark))
            .collect()
    }

    /// Number of requests that this VM has in flight to an upstream, to be sent to other VMs.
    pub fn in_flight(&self, upstream: &UpstreamId) -> u32 {
        self.lock().in_flight(upstream)
    }

    fn lock(&self) -> MutexGuard<'_, BalancerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Chooser for Balancer {
    fn choose(
        &self,
        instances: &[Instance],
        context: &ChoiceContext,
        now: Instant,
    ) -> Option<UpstreamId> {
        self.lock().choose(instances, context, now)
    }

    fn record_outcome(
        &self,
        upstream: &UpstreamId,
        outcome: DispatchOutcome,
        response_time: Option<Duration>,
        now: Instant,
    ) {
        self.lock()
            .record_outcome(upstream, outcome, response_time, now);
    }

    fn on_leaving(&self, upstream: &UpstreamId, generation: Generation) {
        self.lock().on_leaving(upstream, generation);
    }

    fn try_retry(&self, now: Instant) -> bool {
        self.lock().try_retry(now)
    }
}
