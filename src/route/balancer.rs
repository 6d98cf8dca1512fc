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
use super::latency::Pace;
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
const CANDIDATES: usize = 2;

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
struct Known {
    generation: Generation,
    load: LoadEstimate,
    breaker: CircuitBreaker,
    pace: Option<Pace>,
}

impl Known {
    fn new(generation: Generation, now: Instant) -> Self {
        Self {
            generation,
            load: LoadEstimate::default(),
            breaker: CircuitBreaker::new(now),
            pace: None,
        }
    }
}

/// State of the load balancing: everything known about the upstreams.
#[derive(Debug)]
pub struct BalancerState {
    centre: DataCentre,
    upstreams: BTreeMap<UpstreamId, Known>,
    affinity: Affinity,
    leaving: LeavingUpstreams,
    budget: RetryBudget,
    draws: StdRng,
}

/// An eligible instance and the cost of sending the request to it.
#[derive(Clone, Debug)]
struct Candidate {
    upstream: UpstreamId,
    generation: Generation,
    load: f64,
    cost: f64,
    pace: Option<Pace>,
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
            draws: StdRng::seed_from_u64(settings.seed),
        }
    }

    /// Selects an upstream and counts a request in flight to it; `None` if no instance is eligible.
    pub fn choose(
        &mut self,
        among: &[Instance],
        choice: &ChoiceContext,
        now: Instant,
    ) -> Option<UpstreamId> {
        let fit = self.candidates(among, choice, now);
        let picked = match self.holder(&fit, choice, now) {
            Some(holder) => holder,
            None => self.draw(fit)?,
        };
        self.dispatch(&picked, choice, now);
        Some(picked.upstream)
    }

    /// Records how a request to an upstream ended. `took` is its duration, given only for a complete
    /// response with a 2xx status.
    pub fn record_outcome(
        &mut self,
        upstream: &UpstreamId,
        ending: DispatchOutcome,
        took: Option<Duration>,
        now: Instant,
    ) {
        if ending == DispatchOutcome::Completed {
            self.budget.on_success();
        }
        if let Some(known) = self.upstreams.get_mut(upstream) {
            known.load.on_finish(now);
            known.breaker.on_outcome(ending, now);
            if let Some(took) = took {
                known.pace = Some(Pace::after(known.pace, took, now));
            }
        }
    }

    /// Applies a load report that was received at `now`.
    pub fn on_report(&mut self, upstream: &UpstreamId, report: &LoadReport, now: Instant) {
        if report.leaving {
            self.leaving.mark(upstream, report.generation);
        }
        self.renew(upstream, report.generation, now);
        let Some(known) = self.upstreams.get_mut(upstream) else {
            return;
        };
        if report.generation < known.generation {
            return;
        }
        let total = report
            .replicas
            .iter()
            .map(|replica| replica.running.saturating_add(replica.queued))
            .fold(0, u32::saturating_add);
        let age = Duration::from_millis(report.age);
        known
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
            .map_or(0, |known| known.load.in_flight())
    }

    fn candidates(
        &mut self,
        among: &[Instance],
        choice: &ChoiceContext,
        now: Instant,
    ) -> Vec<Candidate> {
        let mut fit = Vec::with_capacity(among.len());
        for instance in among {
            let Some(upstream) = upstream_id(instance) else {
                continue;
            };
            if instance.state == InstanceState::Leaving {
                self.leaving.mark(&upstream, instance.generation);
            }
            let leaves = self.leaving.contains(&upstream, instance.generation);
            if leaves || choice.tried.contains(&upstream) {
                continue;
            }
            let known = self.upstreams.get(&upstream);
            if known.is_some_and(|known| !known.breaker.allows_request(now)) {
                continue;
            }
            let load = known.map_or(0.0, |known| known.load.estimate(now));
            let pace = known.and_then(|known| known.pace);
            let far = instance.centre != self.centre;
            fit.push(Candidate {
                upstream,
                generation: instance.generation,
                load,
                cost: load + if far { DISTANCE_COST } else { 0.0 },
                pace,
            });
        }
        weigh_pace(&mut fit, now);
        fit
    }

    fn holder(&self, fit: &[Candidate], choice: &ChoiceContext, now: Instant) -> Option<Candidate> {
        let prefix = choice.prefix?;
        let total: f64 = fit.iter().map(|candidate| candidate.load).sum();
        let bound = AFFINITY_FACTOR * total / fit.len().max(1) as f64 + AFFINITY_SLACK;
        let holders = fit.iter().filter(|candidate| {
            candidate.load <= bound && self.affinity.holds(&candidate.upstream, prefix, now)
        });
        holders
            .min_by(|left, right| left.cost.total_cmp(&right.cost))
            .cloned()
    }

    fn draw(&mut self, mut fit: Vec<Candidate>) -> Option<Candidate> {
        let mut best = None::<Candidate>;
        for _ in 0..CANDIDATES.min(fit.len()) {
            let drawn = fit.swap_remove(self.draws.random_range(0..fit.len()));
            if best.as_ref().is_none_or(|best| drawn.cost < best.cost) {
                best = Some(drawn);
            }
        }
        best
    }

    fn dispatch(&mut self, picked: &Candidate, choice: &ChoiceContext, now: Instant) {
        let upstream = &picked.upstream;
        self.renew(upstream, picked.generation, now);
        if let Some(known) = self.upstreams.get_mut(upstream) {
            known.load.on_dispatch(now);
            known.breaker.on_request(now);
        }
        if let Some(prefix) = choice.prefix {
            self.affinity.on_dispatch(upstream, prefix, now);
        }
    }

    /// Creates the entry of an upstream, or resets it if `generation` is newer than the known one.
    fn renew(&mut self, upstream: &UpstreamId, generation: Generation, now: Instant) {
        let known = self
            .upstreams
            .entry(upstream.clone())
            .or_insert_with(|| Known::new(generation, now));
        if generation > known.generation {
            known.generation = generation;
            known.breaker = CircuitBreaker::new(now);
            known.pace = None;
            known.load.on_restart();
            self.affinity.forget(upstream);
        }
    }
}

/// Raises the cost of candidates that respond more slowly than the others and lowers that of faster
/// ones.
fn weigh_pace(fit: &mut [Candidate], now: Instant) {
    let paces = fit.iter().filter_map(|candidate| candidate.pace);
    let (count, total) = paces.fold((0, 0.0), |(count, total), pace| {
        (count + 1, total + pace.seconds())
    });
    let mean = total / f64::from(count.max(1));
    for candidate in fit {
        let ratio = candidate.pace.map_or(1.0, |pace| pace.ratio(mean, now));
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
        let marks = state.leaving().marks();
        marks
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
        among: &[Instance],
        choice: &ChoiceContext,
        now: Instant,
    ) -> Option<UpstreamId> {
        self.lock().choose(among, choice, now)
    }

    fn record_outcome(
        &self,
        upstream: &UpstreamId,
        ending: DispatchOutcome,
        took: Option<Duration>,
        now: Instant,
    ) {
        self.lock().record_outcome(upstream, ending, took, now);
    }

    fn on_leaving(&self, upstream: &UpstreamId, generation: Generation) {
        self.lock().on_leaving(upstream, generation);
    }

    fn try_retry(&self, now: Instant) -> bool {
        self.lock().try_retry(now)
    }
}
