//! The choice of an engine beside round robin and the least reported load.
//!
//! Eight VMs send requests to nine engines that serve a bounded number at once; load reports and
//! cache events come late, and one engine may be slow. Time is virtual and each seed gives the same
//! figures again. One JSON line a run.

mod fakes;

use std::collections::BTreeMap;
use std::io::Write;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use basilgw::engine::CacheEvents;
use basilgw::ids::UpstreamId;
use basilgw::route::balancer::{BalancerSettings, BalancerState};
use basilgw::route::{ChoiceContext, DispatchOutcome, upstream_id};
use basilgw::store::Instance;
use fakes::{Engine, Job, instance, report};
use hdrhistogram::Histogram;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::Serialize;

const VMS: usize = 8;
const ENGINES: usize = 9;
const SLOTS: usize = 8;
const REQUESTS: usize = 40_000;
const UTILISATION: f64 = 0.7;
const MEAN_SERVICE: Duration = Duration::from_millis(500);
const POLL: Duration = Duration::from_millis(500);
const SNAPSHOT: Duration = Duration::from_millis(50);
const EVENT_LAG: Duration = Duration::from_secs(1);
const EVENT_LOSS: f64 = 0.1;
const PREFIXES: f64 = 400.0;
const HIT_FACTOR: f64 = 0.6;

/// How an engine is chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
enum Policy {
    RoundRobin,
    LeastReported,
    Chooser,
    ChooserWithPrefix,
}

/// One run's circumstances.
#[derive(Clone, Copy, Debug, Serialize)]
struct Scenario {
    lag_ms: u64,
    slow_factor: f64,
    prefixes: bool,
}

/// One run's figures.
#[derive(Debug, Serialize)]
struct Line {
    experiment: &'static str,
    seed: u64,
    policy: Policy,
    #[serde(flatten)]
    scenario: Scenario,
    requests: u64,
    p50_ms: u64,
    p99_ms: u64,
    slow_share: f64,
    hit_share: f64,
}

/// Runs all policies in all scenarios.
pub fn run<W>(seed: u64, out: &mut W) -> ExitCode
where
    W: Write,
{
    let scenario = |lag_ms, slow_factor, prefixes| Scenario {
        lag_ms,
        slow_factor,
        prefixes,
    };
    let scenarios = [
        scenario(100, 1.0, false),
        scenario(100, 4.0, false),
        scenario(1000, 1.0, false),
        scenario(1000, 4.0, false),
        scenario(1000, 1.0, true),
        scenario(1000, 4.0, true),
    ];
    let policies = [
        Policy::RoundRobin,
        Policy::LeastReported,
        Policy::Chooser,
        Policy::ChooserWithPrefix,
    ];
    for scenario in scenarios {
        for policy in policies {
            if policy == Policy::ChooserWithPrefix && !scenario.prefixes {
                continue;
            }
            let line = World::open(seed, policy, scenario).run();
            if serde_json::to_writer(&mut *out, &line).is_err() || writeln!(out).is_err() {
                return ExitCode::FAILURE;
            }
        }
    }
    ExitCode::SUCCESS
}

/// What happens next.
#[derive(Clone, Copy, Debug)]
enum Event {
    Arrive,
    Done(usize, Job),
    Poll(usize, usize),
    Snapshot,
}

/// One VM's view.
#[derive(Debug)]
struct Router {
    state: BalancerState,
    turn: usize,
    reported: Vec<u32>,
    positions: Vec<usize>,
}

/// All of it.
struct World {
    seed: u64,
    policy: Policy,
    scenario: Scenario,
    now: Instant,
    agenda: BTreeMap<(Instant, u64), Event>,
    sequence: u64,
    engines: Vec<Engine>,
    instances: Vec<Instance>,
    names: Vec<UpstreamId>,
    routers: Vec<Router>,
    draws: StdRng,
    times: Histogram<u64>,
    left: usize,
    slow: u64,
    hits: u64,
}

impl World {
    fn open(seed: u64, policy: Policy, scenario: Scenario) -> Self {
        let now = Instant::now();
        let instances: Vec<_> = (0..ENGINES).filter_map(instance).collect();
        let router = |number| Router {
            state: BalancerState::new(&choose_settings(&instances[0], seed + number), now),
            turn: number as usize,
            reported: vec![0; ENGINES],
            positions: vec![0; ENGINES],
        };
        let mut world = Self {
            seed,
            policy,
            scenario,
            now,
            agenda: BTreeMap::new(),
            sequence: 0,
            engines: (0..ENGINES).map(|_| Engine::default()).collect(),
            names: instances.iter().filter_map(upstream_id).collect(),
            routers: (0..VMS as u64).map(router).collect(),
            instances,
            draws: StdRng::seed_from_u64(seed),
            times: Histogram::new_with_max(3_600_000, 3).unwrap_or_else(|_| unreachable!()),
            left: REQUESTS,
            slow: 0,
            hits: 0,
        };
        world.schedule(Duration::ZERO, Event::Arrive);
        world.schedule(Duration::ZERO, Event::Snapshot);
        for vm in 0..VMS {
            for engine in 0..ENGINES {
                let offset = POLL.mul_f64(world.draws.random::<f64>());
                world.schedule(offset, Event::Poll(vm, engine));
            }
        }
        world
    }

    fn run(mut self) -> Line {
        while self.times.len() < REQUESTS as u64 {
            let Some(((at, _), event)) = self.agenda.pop_first() else {
                break;
            };
            self.now = at;
            match event {
                Event::Arrive => self.arrive(),
                Event::Done(engine, job) => self.finish(engine, job),
                Event::Poll(vm, engine) => self.poll(vm, engine),
                Event::Snapshot => self.snapshot(),
            }
        }
        let share = |count: u64| count as f64 / REQUESTS as f64;
        Line {
            experiment: "routes",
            seed: self.seed,
            policy: self.policy,
            scenario: self.scenario,
            requests: self.times.len(),
            p50_ms: self.times.value_at_quantile(0.5),
            p99_ms: self.times.value_at_quantile(0.99),
            slow_share: share(self.slow),
            hit_share: share(self.hits),
        }
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.sequence += 1;
        self.agenda.insert((self.now + after, self.sequence), event);
    }

    fn arrive(&mut self) {
        self.left -= 1;
        let job = Job {
            vm: self.draws.random_range(0..VMS),
            arrived: self.now,
            service: MEAN_SERVICE.mul_f64(-(1.0 - self.draws.random::<f64>()).ln()),
            prefix: PREFIXES.powf(self.draws.random()) as u64,
        };
        let engine = self.choose(&job);
        self.slow += u64::from(engine == 0);
        self.engines[engine].queue.push_back(job);
        self.start(engine);
        if self.left > 0 {
            let capacity = (ENGINES - 1) as f64 + 1.0 / self.scenario.slow_factor;
            let gap = MEAN_SERVICE.div_f64(capacity * SLOTS as f64 * UTILISATION);
            let gap = gap.mul_f64(-(1.0 - self.draws.random::<f64>()).ln());
            self.schedule(gap, Event::Arrive);
        }
    }

    fn choose(&mut self, job: &Job) -> usize {
        let router = &mut self.routers[job.vm];
        match self.policy {
            Policy::RoundRobin => {
                router.turn += 1;
                router.turn % ENGINES
            }
            Policy::LeastReported => {
                let least = router.reported.iter().min().copied().unwrap_or(0);
                let at = |&engine: &usize| router.reported[engine] == least;
                let equal: Vec<_> = (0..ENGINES).filter(at).collect();
                equal[self.draws.random_range(0..equal.len())]
            }
            Policy::Chooser | Policy::ChooserWithPrefix => {
                let known = self.policy == Policy::ChooserWithPrefix;
                let choice = ChoiceContext {
                    prefix: known.then_some(job.prefix),
                    tried: Vec::new(),
                };
                let picked = router.state.choose(&self.instances, &choice, self.now);
                let at = self
                    .names
                    .iter()
                    .position(|name| Some(name) == picked.as_ref());
                at.unwrap_or(0)
            }
        }
    }

    fn start(&mut self, at: usize) {
        while self.engines[at].running < SLOTS {
            let Some(job) = self.engines[at].queue.pop_front() else {
                return;
            };
            self.engines[at].running += 1;
            let mut service = job.service;
            if self.scenario.prefixes && self.engines[at].touch(job.prefix, self.now) {
                self.hits += 1;
                service = service.mul_f64(HIT_FACTOR);
            }
            if at == 0 {
                service = service.mul_f64(self.scenario.slow_factor);
            }
            self.schedule(service, Event::Done(at, job));
        }
    }

    fn finish(&mut self, at: usize, job: Job) {
        self.engines[at].running -= 1;
        let span = self.now.saturating_duration_since(job.arrived);
        self.times.saturating_record(span.as_millis() as u64);
        let state = &mut self.routers[job.vm].state;
        state.record_outcome(
            &self.names[at],
            DispatchOutcome::Completed,
            Some(span),
            self.now,
        );
        self.start(at);
    }

    fn poll(&mut self, vm: usize, at: usize) {
        self.schedule(POLL, Event::Poll(vm, at));
        let age = Duration::from_millis(self.scenario.lag_ms).mul_f64(self.draws.random());
        let load = self.engines[at].load_at(self.now.checked_sub(age).unwrap_or(self.now));
        let router = &mut self.routers[vm];
        router.reported[at] = load;
        if let Some(report) = report(load, age) {
            router.state.on_report(&self.names[at], &report, self.now);
        }
        let mut events = CacheEvents {
            events: Vec::new(),
            next: router.positions[at] as u64,
        };
        for (published, event) in &self.engines[at].events[router.positions[at]..] {
            if *published + EVENT_LAG > self.now {
                break;
            }
            events.next = event.sequence + 1;
            if !self.draws.random_bool(EVENT_LOSS) {
                events.events.push(event.clone());
            }
        }
        router.positions[at] = events.next as usize;
        router
            .state
            .on_cache_events(&self.names[at], &events, self.now);
    }

    fn snapshot(&mut self) {
        self.schedule(SNAPSHOT, Event::Snapshot);
        for engine in &mut self.engines {
            engine.snapshot(self.now);
        }
    }
}

fn choose_settings(near: &Instance, seed: u64) -> BalancerSettings {
    BalancerSettings {
        centre: near.centre.clone(),
        retry_percent: 10,
        seed,
    }
}
