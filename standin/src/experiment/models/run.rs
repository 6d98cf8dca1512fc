//! One run: requests, desks, the VM that orders loads, and what befalls them.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};

use basilgw::clock::Clock;
use basilgw::ids::{AdapterId, ModelId, ReplicaId, RequestId, UpstreamId, VmId};
use basilgw::model::ReplicaRequest;
use basilgw::model::admission::{AdmissionControl, AdmissionOutcome};
use basilgw::model::eviction::Usage;
use basilgw::model::executor::{ExecuteError, Executor, upstream_id};
use basilgw::model::intents::{Intents, Reservations};
use basilgw::model::load_limiter::LoadLimiter;
use basilgw::model::observations::{Observations, TimedReport};
use basilgw::model::plan;
use basilgw::model::queue::Ticket;
use basilgw::model::views::{Reports, build_views};
use basilgw::schema::declaration::Declaration;
use basilgw::store::Instance;
use basilgw::units::Bytes;
use futures_util::future::BoxFuture;

mod decide;

use super::farm::{Farm, VirtualClock};
use super::score::{Cold, Line, Score, histogram};
use super::site::{Arrival, FLOOR, Site, Sizes, arrivals, declaration, engines, name};
use super::{Policy, SPAN, Scenario};

const TICK: Duration = Duration::from_millis(20);
const REPORT: Duration = Duration::from_millis(100);
const REPORTS_LATE: usize = 2;
const LIST_LAG: Duration = Duration::from_secs(5);
const WAKE_TIMEOUT: Duration = Duration::from_secs(2);
const RESTART: Duration = Duration::from_secs(10);
const KILL_EVERY: Duration = Duration::from_mins(1);
const FAULT_FROM: Duration = Duration::from_mins(3);
const OUTAGE: Duration = Duration::from_mins(1);
const SLOW: Duration = Duration::from_mins(3);
const PAUSE: Duration = Duration::from_secs(90);
const SLOW_FACTOR: f64 = 4.0;
const IDLE: Duration = Duration::from_mins(2);
const LIFE: Duration = Duration::from_secs(30);
const BANDWIDTH: Bytes = Bytes(4 << 30);
const SLOTS: usize = 4;
const ADAPTERS: usize = 32;
const PACE: Duration = Duration::from_millis(2);
const DISK_SHARE: usize = 4;
const WAITING: usize = 4096;
const LOAD_CALLS: u32 = 6;

type Step = BoxFuture<'static, Result<(), ExecuteError>>;

/// One VM as the decider of loads.
#[derive(Default)]
struct Vm {
    evidence: Observations,
    usage: BTreeMap<ModelId, Usage>,
    adapters: BTreeMap<AdapterId, Instant>,
    starts: Option<LoadLimiter>,
    away: Option<(Instant, Instant)>,
    stuck: Option<Step>,
}

impl Vm {
    fn is_away(&self, now: Instant) -> bool {
        self.away.is_some_and(|(from, to)| from <= now && now < to)
    }
}

struct Active {
    vm: usize,
    want: ReplicaRequest,
    replica: ReplicaId,
}

/// One run.
pub struct Run {
    site: Site,
    seed: u64,
    scenario: Scenario,
    kind: Policy,
    sizes: Sizes,
    clock: Arc<VirtualClock>,
    start: Instant,
    farm: Arc<Farm>,
    engines: Vec<Instance>,
    declaration: Declaration,
    policy: plan::Policy,
    flows: Executor,
    vms: Vec<Vm>,
    desks: Vec<AdmissionControl>,
    came: VecDeque<Arrival>,
    waiting: BTreeMap<(usize, Ticket), ReplicaRequest>,
    active: BTreeMap<(Instant, u64), Active>,
    again: Vec<(usize, ReplicaRequest)>,
    decided: BTreeMap<ModelId, Intents>,
    reserved: BTreeMap<UpstreamId, Reservations>,
    history: VecDeque<Reports>,
    cold: BTreeMap<ModelId, Cold>,
    next_fault: Duration,
    faults: u32,
    counter: u64,
    score: Score,
}

impl Run {
    /// Sets a run up.
    pub fn new(site: Site, seed: u64, scenario: Scenario, kind: Policy) -> Self {
        let sizes = site.sizes();
        let clock = Arc::new(VirtualClock::new());
        let engines = engines(sizes, scenario != Scenario::Unfenced);
        let declaration = declaration(sizes, seed);
        let farm = Arc::new(Farm::new(&engines, SLOTS, BANDWIDTH, FLOOR));
        for (n, model) in declaration.models.keys().enumerate() {
            for (m, engine) in engines.iter().enumerate() {
                if (n * 7 + m * 3) % (DISK_SHARE * 3) == 0 {
                    farm.store(&engine.vm, model);
                }
            }
        }
        let policy = plan::Policy {
            load_bandwidth: BANDWIDTH,
            load_slots: SLOTS,
            adapter_slots: ADAPTERS,
            idle_time: IDLE,
            order_lifetime: LIFE,
            order_retry: Duration::from_secs(3),
            eviction: kind.eviction(),
            placement: kind.placement(),
            by_deadline: kind != Policy::FirstCome,
        };
        let flows = Executor {
            store: Arc::<Farm>::clone(&farm),
            engines: Arc::<Farm>::clone(&farm),
            clock: Arc::<VirtualClock>::clone(&clock),
            order_lifetime: LIFE,
        };
        Self {
            site,
            seed,
            scenario,
            kind,
            sizes,
            start: clock.now(),
            clock,
            farm,
            engines,
            declaration,
            policy,
            flows,
            vms: (0..sizes.vms).map(|_| Vm::default()).collect(),
            desks: (0..sizes.vms)
                .map(|_| AdmissionControl::new(WAITING, kind.discipline()))
                .collect(),
            came: arrivals(sizes, seed, SPAN, scenario.factors()).into(),
            waiting: BTreeMap::new(),
            active: BTreeMap::new(),
            again: Vec::new(),
            decided: BTreeMap::new(),
            reserved: BTreeMap::new(),
            history: VecDeque::new(),
            cold: BTreeMap::new(),
            next_fault: FAULT_FROM,
            faults: 0,
            counter: 0,
            score: Score::default(),
        }
    }

    /// Runs to the end and gives the figures.
    pub fn finish(mut self) -> Line {
        let mut reported = self.start;
        while self.elapsed() < SPAN + Duration::from_mins(2) {
            self.clock.advance(TICK);
            let now = self.clock.now();
            self.farm.advance(TICK);
            self.arrive(now);
            self.complete(now);
            if reported + REPORT <= now {
                reported = now;
                self.befall(now);
                self.report(now);
                self.decide(now);
                self.tick(now);
                self.measure();
            }
        }
        self.line()
    }

    fn elapsed(&self) -> Duration {
        self.clock.now().duration_since(self.start)
    }

    fn arrive(&mut self, now: Instant) {
        let elapsed = self.elapsed();
        while self.came.front().is_some_and(|a| a.at <= elapsed) {
            let Some(arrival) = self.came.pop_front() else {
                return;
            };
            let vm = (0..self.vms.len())
                .map(|n| (arrival.vm + n) % self.vms.len())
                .find(|vm| !self.vms[*vm].is_away(now));
            self.counter += 1;
            let want = ReplicaRequest {
                id: name::<RequestId>("request", self.counter as usize),
                account: arrival.account,
                priority: arrival.priority,
                model: arrival.model,
                adapter: arrival.adapter,
                work: arrival.work,
                deadline: now + arrival.patience,
            };
            *self.score.came.entry(want.account.clone()).or_default() += 1;
            self.note_cold(&want.model, now);
            self.enter(vm.unwrap_or(arrival.vm), want, now);
        }
    }

    fn note_cold(&mut self, model: &ModelId, now: Instant) {
        if self.farm.is_held(model) || self.cold.contains_key(model) {
            return;
        }
        let weights = self.declaration.models[model].weights;
        let (origin, best) = self.farm.best_time(model, weights);
        let cold = Cold {
            since: now,
            origin,
            best,
        };
        self.score.wakes.push(cold);
        self.cold.insert(model.clone(), cold);
    }

    fn enter(&mut self, vm: usize, want: ReplicaRequest, now: Instant) {
        let model = want.model.clone();
        match self.desks[vm].submit(&want, now) {
            Ok(ticket) => {
                self.waiting.insert((vm, ticket), want);
                let outcomes = self.desks[vm].grant(&model, now);
                self.answer(vm, outcomes, now);
            }
            Err(_) => self.score.refused += 1,
        }
    }

    fn answer(&mut self, vm: usize, outcomes: Vec<AdmissionOutcome>, now: Instant) {
        for outcome in outcomes {
            let Some(want) = self.waiting.remove(&(vm, outcome.ticket)) else {
                continue;
            };
            let Ok(replicas) = outcome.result else {
                self.score.refused += 1;
                continue;
            };
            let ids = replicas.iter().map(|r| &r.id);
            let Some(replica) = self.farm.begin(ids, want.adapter.as_ref()) else {
                // The replica left meanwhile: not run, so it is asked for again.
                self.desks[vm].release(&want, now);
                self.again.push((vm, want));
                continue;
            };
            if let Some(cold) = self.cold.remove(&want.model) {
                self.score.cold.push(now.duration_since(cold.since));
            }
            self.counter += 1;
            let end = now + PACE * want.work.0 as u32;
            let active = Active { vm, want, replica };
            self.active.insert((end, self.counter), active);
        }
    }

    fn complete(&mut self, now: Instant) {
        while let Some(entry) = self.active.first_entry() {
            if entry.key().0 > now {
                return;
            }
            let Active { vm, want, replica } = entry.remove();
            self.farm.end(&replica);
            if now <= want.deadline {
                *self.score.in_time.entry(want.account.clone()).or_default() += 1;
            } else {
                self.score.late += 1;
            }
            self.desks[vm].release(&want, now);
            let outcomes = self.desks[vm].grant(&want.model, now);
            self.answer(vm, outcomes, now);
        }
    }

    fn befall(&mut self, now: Instant) {
        let elapsed = self.elapsed();
        let within = |span| (FAULT_FROM..FAULT_FROM + span).contains(&elapsed);
        match self.scenario {
            Scenario::SlowStore => {
                self.farm.slow(if within(SLOW) { SLOW_FACTOR } else { 1.0 });
            }
            Scenario::StoreOutage => self.farm.set_down(within(OUTAGE)),
            _ => {}
        }
        let mut context = Context::from_waker(Waker::noop());
        for vm in &mut self.vms {
            let over = vm.away.is_some_and(|(_, to)| to <= now);
            if !over {
                continue;
            }
            vm.away = None;
            // A paused step goes on where it stopped; what it still does is up to its checks.
            if let Some(mut step) = vm.stuck.take() {
                let _: Poll<_> = step.as_mut().poll(&mut context);
            }
        }
    }

    fn report(&mut self, now: Instant) {
        let mut reports = Reports::new();
        for engine in &self.engines {
            let (Ok(id), Some(report)) = (upstream_id(engine), self.farm.report_of(engine)) else {
                continue;
            };
            reports.insert(id, TimedReport::new(report, now));
        }
        self.history.push_back(reports);
        if self.history.len() > REPORTS_LATE + 1 {
            self.history.pop_front();
        }
        let known = &self.history[0];
        let none = BTreeMap::new();
        let views = build_views(&self.declaration, &self.engines, known, &none, BANDWIDTH);
        for (n, desk) in self.desks.iter_mut().enumerate() {
            if self.vms[n].is_away(now) {
                continue;
            }
            for (model, view) in &views {
                desk.update_view(model, view.clone(), now);
            }
        }
    }

    fn kill(&mut self, vm: usize, now: Instant) {
        self.vms[vm] = Vm {
            away: Some((now, now + RESTART)),
            ..Vm::default()
        };
        self.desks[vm] = AdmissionControl::new(WAITING, self.kind.discipline());
        let before = self.waiting.len() + self.active.len();
        self.waiting.retain(|(at, _), _| *at != vm);
        let farm = &self.farm;
        self.active.retain(|_, active| {
            if active.vm == vm {
                farm.end(&active.replica);
            }
            active.vm != vm
        });
        let after = self.waiting.len() + self.active.len();
        self.score.lost_with_vm += (before - after) as u64;
    }

    fn tick(&mut self, now: Instant) {
        for (vm, want) in std::mem::take(&mut self.again) {
            self.enter(vm, want, now);
        }
        for vm in 0..self.desks.len() {
            if !self.vms[vm].is_away(now) {
                let outcomes = self.desks[vm].tick(now);
                self.answer(vm, outcomes, now);
            }
        }
        let needs = self.needs(now);
        let before = self.cold.len();
        let farm = &self.farm;
        self.cold
            .retain(|model, _| needs.contains_key(model) || !farm.is_held(model));
        self.score.cold_unserved += (before - self.cold.len()) as u64;
    }

    /// Checks the bounds against what the engines really hold, and counts idle memory.
    fn measure(&mut self) {
        let mut counts: BTreeMap<ModelId, usize> = BTreeMap::new();
        let mut used: BTreeMap<VmId, u64> = BTreeMap::new();
        let mut idle = 0.0;
        let memory = self.engines[0].memory.unwrap_or_default().0;
        self.farm.each(|engine, _, held| {
            *counts.entry(held.model.clone()).or_default() += 1;
            *used.entry(engine.clone()).or_default() += held.bytes.0;
            if held.is_ready() && held.running == 0 {
                idle += held.bytes.0 as f64 / memory as f64;
            }
        });
        self.score.idle_seconds += idle * REPORT.as_secs_f64();
        let decided = self.farm.objects::<Intents>("models/").unwrap_or_default();
        let decided: BTreeMap<String, Intents> = decided.into_iter().collect();
        for (model, count) in counts {
            let maximum = self.declaration.models[&model].maximum as usize;
            let intents = decided.get(model.as_str()).map(|d| d.replicas.len());
            let fits = intents.is_none_or(|n| count <= n && n <= maximum);
            self.score.bounds_passed += u64::from(!fits);
        }
        let over = used.values().filter(|bytes| **bytes > memory).count();
        self.score.bounds_passed += over as u64;
    }

    fn line(self) -> Line {
        let best = histogram(&self.score.best(SLOTS, self.sizes.starts));
        let cold = histogram(&self.score.cold);
        let shares = self.score.shares();
        let judged = shares.iter().filter(|(account, _)| {
            // The flooding account is not the one to be protected.
            !matches!(self.scenario, Scenario::Flood | Scenario::BusyFlood)
                || account.as_str() != "account00"
        });
        let worst = judged.map(|(_, share)| *share).fold(1.0, f64::min);
        Line {
            experiment: "models",
            site: self.site,
            seed: self.seed,
            scenario: self.scenario,
            policy: self.kind,
            requests: self.score.came.values().sum(),
            cold_starts: cold.len(),
            cold_p50_ms: cold.value_at_quantile(0.5),
            cold_p99_ms: cold.value_at_quantile(0.99),
            cold_worst_ms: cold.max(),
            cold_unserved: self.score.cold_unserved,
            best_p50_ms: best.value_at_quantile(0.5),
            best_p99_ms: best.value_at_quantile(0.99),
            p99_over_best: cold.value_at_quantile(0.99) as f64
                / best.value_at_quantile(0.99).max(1) as f64,
            idle_engine_seconds: self.score.idle_seconds as u64,
            loads: self.score.loads,
            worst_in_deadline: worst,
            in_deadline: shares,
            refused: self.score.refused,
            late: self.score.late,
            lost_with_vm: self.score.lost_with_vm,
            bounds_passed: self.score.bounds_passed,
        }
    }
}

/// Numbers for replicas that are the same again in each run.
fn rand_free(counter: &mut u64) -> impl FnMut() -> u64 {
    move || {
        *counter += 1;
        *counter
    }
}
