//! The state of a running gateway, shared by all its tasks.
//!
//! The request path reads the configuration and the upstreams through atomic snapshots. The locks
//! here are held only briefly and never across an await.

mod configuration;
mod quotas;
mod retries;

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use arc_swap::{ArcSwap, ArcSwapOption};
use slog::{Logger, info};
use tokio::sync::Notify;

use crate::clock::{BootTime, Clock};
use crate::edge::RequestTracker;
use crate::ids::{ClientAccount, DataCentre, ServiceId, UpstreamId, VmId};
use crate::metrics::{EdgeMetrics, Metrics};
use crate::schema::mesh::{FollowRequest, LeavingUpstream};

use super::allowance::Allowance;
use super::answer_times::AnswerTimes;
use super::attempt_end::AttemptEnds;
use super::caller_limit::CallerLimits;
use super::caller_limit::bounds::ProcessLimits;
use super::caller_limit::metrics::CallerLimitMetrics;
use super::centre_closure::ClosedCentres;
use super::configuration::{CallerBounds, Configuration};
use super::connection_bounds::IdleTimes;
use super::demand::LocalDemand;
use super::fanout::coverage::Coverage;
use super::fanout::roles::{Capacity, Role};
use super::fleet::{Fleet, UpstreamMap};
use super::freshness::Freshness;
use super::lateness::{Lateness, LatenessMetrics};
use super::log_limit::{LineVerdict, LogLimit};
use super::metrics::{Counters, Gauges};
use super::platform_api::Dialect;
use super::quarantine::Quarantine;
use super::reachability::Reachability;
use super::retry_budget::{RetryBound, RetryBudget};
use super::retry_metrics::RetryMetrics;
use super::route_times::RouteTimes;
use super::signals::LeavingHints;
use super::stop::{StopPlan, StopSignal};
use super::unreadable_objects::UnreadableObjects;
use super::upstream_limit::UpstreamLimits;

/// Time from its start after which a VM is ready though it hasn't read how many VMs there are.
const READY_WITHOUT_LIST: Duration = Duration::from_secs(1);

/// Settings that bound what a VM does; they may change while it runs.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewayBounds {
    /// Longest time that a key may still be accepted after its withdrawal.
    pub withdrawal: Duration,
    /// Time within which the gateway must know that an upstream is leaving.
    pub leaving: Duration,
    /// Bound on retries of each service.
    pub retries: RetryBound,
    /// Whether the whole system starts for the first time, so that accounts start with a full
    /// burst.
    pub first_start: bool,
    /// What the process may use.
    pub process: ProcessLimits,
    /// Time within which the closure of a data centre is in force; `None` where operators close
    /// none.
    pub closure: Option<Duration>,
    /// Time from a signal to stop until the process must have exited.
    pub grace: Duration,
}

/// The state of the gateway on one VM.
#[derive(Debug)]
pub struct Gateway {
    /// Name of this VM.
    pub vm: VmId,
    /// Data centre of this VM.
    pub centre: DataCentre,
    /// Processor time of this VM.
    pub capacity: Capacity,
    /// The platform's HTTP conventions.
    pub dialect: Arc<dyn Dialect>,
    /// Source of all times.
    pub clock: Arc<dyn Clock>,
    /// Log of this VM.
    pub log: Logger,
    /// Registry that the metrics listener renders.
    pub metrics: Metrics,
    /// Counters of the gateway's own mechanisms.
    pub counters: Counters,
    /// Gauges of the gateway's state.
    pub gauges: Gauges,
    /// Metrics of responses and refusals to callers.
    pub edge_metrics: EdgeMetrics,
    /// Counters of attempts by their end.
    pub attempt_ends: AttemptEnds,
    /// Metrics of how late the process runs.
    pub lateness_metrics: LatenessMetrics,
    /// Metrics of retries.
    pub retry_metrics: RetryMetrics,
    /// Counter of the requests in progress, which shutdown waits for.
    pub running: Arc<RequestTracker>,
    /// The configuration in force; absent until the first one is read.
    pub configuration: ArcSwapOption<Configuration>,
    /// When the configuration in force came into force.
    configured: Mutex<Option<Instant>>,
    /// Times of the routes in force, and those that they replaced.
    pub route_times: Arc<ArcSwap<RouteTimes>>,
    /// Idle times of callers' connections.
    pub idle_times: ArcSwap<IdleTimes>,
    /// Upstreams in use.
    pub upstreams: ArcSwap<UpstreamMap>,
    /// Notifies waiters when the upstreams in use change or shutdown begins.
    pub upstreams_changed: Notify,
    /// Requests a usage report to the other VMs at once.
    pub usage_due: Notify,
    /// Requests a demand report to the leader at once.
    pub demand_due: Notify,
    /// Notifies waiters when the platform's store responds again after a failure.
    pub store_recovered: Notify,
    /// Wakes the watches of the store when this VM may have to read it itself.
    pub coverage_changed: Notify,
    /// Asks this VM's reader at once.
    pub follow_due: Notify,
    /// Wakes the task that registers this VM when the store has come back from an older copy,
    /// which may lack the registration, or answers again before this VM was registered.
    pub store_returned: Notify,
    /// Notifies waiters when the registered VMs, this one among them, were read for the first time.
    pub vms_listed: Notify,
    /// Tells waiters when this VM stops.
    pub stop: StopSignal,
    /// Requests a round of the leader's decisions at once.
    pub orders_due: Notify,
    /// Requests that asks for permits are sent to the leader.
    pub asks_due: Notify,
    /// Asks for the settings to be read at once.
    pub settings_due: Notify,
    bounds: ArcSwap<GatewayBounds>,
    fleet: Mutex<Fleet>,
    freshness: Mutex<Freshness>,
    coverage: Mutex<Coverage>,
    leaving_hints: Mutex<LeavingHints>,
    demand: Mutex<LocalDemand>,
    allowances: Mutex<BTreeMap<ClientAccount, Allowance>>,
    retry_budgets: Mutex<BTreeMap<ServiceId, RetryBudget>>,
    /// Whether the process before told which retries it had used.
    took_over: AtomicBool,
    /// Whether no more retries are sent, as what was used is written down.
    retries_closed: AtomicBool,
    /// Start of this process.
    started: Instant,
    reachability: Mutex<Reachability>,
    quarantine: Mutex<Quarantine>,
    upstream_limits: Mutex<UpstreamLimits>,
    /// Whether this VM holds the lease.
    leads: AtomicBool,
    answer_times: Mutex<AnswerTimes>,
    lateness: Mutex<Lateness>,
    unreadable: Mutex<UnreadableObjects>,
    /// What callers hold of this VM's memory and descriptors.
    pub caller_limits: Arc<CallerLimits>,
    log_limit: Mutex<LogLimit>,
    closures: Mutex<ClosedCentres>,
}

/// What [`Gateway::open`] needs.
#[derive(Debug)]
pub struct GatewayDeps {
    /// Name of this VM.
    pub vm: VmId,
    /// Data centre of this VM.
    pub centre: DataCentre,
    /// Processor time of this VM.
    pub capacity: Capacity,
    /// The platform's HTTP conventions.
    pub dialect: Arc<dyn Dialect>,
    /// Source of all times.
    pub clock: Arc<dyn Clock>,
    /// Log of this VM.
    pub log: Logger,
    /// Settings that bound what this VM does.
    pub bounds: GatewayBounds,
    /// Registry in which the gateway's metrics are registered.
    pub metrics: Metrics,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Gateway {
    /// Makes the state, without a configuration and without upstreams.
    ///
    /// # Errors
    ///
    /// If the name of a metric is already registered.
    pub fn open(deps: GatewayDeps) -> Result<Arc<Self>, prometheus::Error> {
        let freshness = Freshness::new(deps.bounds.withdrawal, deps.bounds.first_start);
        let started = deps.clock.now();
        let reachability = Reachability::open(started);
        let edge_metrics = EdgeMetrics::open(&deps.metrics)?;
        let attempt_ends = AttemptEnds::open(&deps.metrics)?;
        let lateness_metrics = LatenessMetrics::open(&deps.metrics)?;
        let retry_metrics = RetryMetrics::open(&deps.metrics)?;
        let counters = Counters::open()?;
        counters.register(deps.metrics.registry())?;
        let gauges = Gauges::open(&deps.metrics)?;
        let caller_limits = CallerLimits::open(
            deps.bounds.process.into(),
            Arc::clone(&deps.clock),
            CallerLimitMetrics::open(&deps.metrics)?,
        );
        Ok(Arc::new(Self {
            counters,
            gauges,
            metrics: deps.metrics,
            edge_metrics,
            attempt_ends,
            lateness_metrics,
            retry_metrics,
            vm: deps.vm,
            centre: deps.centre,
            capacity: deps.capacity,
            dialect: deps.dialect,
            stop: StopSignal::open(Arc::clone(&deps.clock)),
            clock: deps.clock,
            log: deps.log,
            running: RequestTracker::open(),
            configuration: ArcSwapOption::empty(),
            configured: Mutex::default(),
            route_times: Arc::default(),
            idle_times: ArcSwap::from_pointee(IdleTimes::new(CallerBounds::DEFAULT.idle_time)),
            upstreams: ArcSwap::default(),
            upstreams_changed: Notify::new(),
            usage_due: Notify::new(),
            demand_due: Notify::new(),
            store_recovered: Notify::new(),
            coverage_changed: Notify::new(),
            follow_due: Notify::new(),
            store_returned: Notify::new(),
            vms_listed: Notify::new(),
            orders_due: Notify::new(),
            asks_due: Notify::new(),
            settings_due: Notify::new(),
            bounds: ArcSwap::from_pointee(deps.bounds),
            fleet: Mutex::default(),
            freshness: Mutex::new(freshness),
            coverage: Mutex::default(),
            leaving_hints: Mutex::default(),
            demand: Mutex::default(),
            allowances: Mutex::default(),
            retry_budgets: Mutex::default(),
            took_over: AtomicBool::new(false),
            retries_closed: AtomicBool::new(false),
            started,
            reachability: Mutex::new(reachability),
            quarantine: Mutex::default(),
            upstream_limits: Mutex::default(),
            leads: AtomicBool::new(false),
            answer_times: Mutex::default(),
            unreadable: Mutex::default(),
            caller_limits,
            log_limit: Mutex::default(),
            closures: Mutex::default(),
            lateness: Mutex::default(),
        }))
    }

    /// Changes the state of upstreams and publishes the upstreams in use.
    pub fn update_fleet<F, R>(&self, change: F) -> R
    where
        F: FnOnce(&mut Fleet, Instant) -> R,
    {
        let now = self.clock.now();
        let mut fleet = lock(&self.fleet);
        let result = change(&mut fleet, now);
        self.upstreams.store(Arc::new(fleet.snapshot(now)));
        drop(fleet);
        self.upstreams_changed.notify_waiters();
        result
    }

    /// Reads the state of upstreams.
    pub fn read_fleet<F, R>(&self, read: F) -> R
    where
        F: FnOnce(&Fleet) -> R,
    {
        read(&lock(&self.fleet))
    }

    /// Takes an upstream out of use that stated that it is leaving, and has the other VMs told.
    /// Only its run that started at `started_ms` (milliseconds since the Unix epoch) is meant.
    pub fn on_upstream_leaving(&self, id: &UpstreamId, started_ms: u64) {
        let now = self.clock.now();
        if !lock(&self.leaving_hints).add(id, started_ms, now) {
            return;
        }
        info!(self.log, "upstream_leaving"; "upstream" => %id, "born" => started_ms);
        self.update_fleet(|fleet, _| fleet.on_leaving(id, started_ms));
        self.usage_due.notify_one();
    }

    /// Takes upstreams out of use that another VM learned to be leaving.
    pub fn on_leaving_hints(&self, hints: &[LeavingUpstream]) {
        let upstreams = self.upstreams.load();
        let in_use = |hint: &&LeavingUpstream| {
            let upstream = upstreams.get(&hint.upstream);
            upstream.is_some_and(|upstream| upstream.registration.started_ms == hint.born)
        };
        let news: Vec<_> = hints.iter().filter(in_use).collect();
        if news.is_empty() {
            return;
        }
        self.update_fleet(|fleet, _| {
            for hint in news {
                fleet.on_leaving(&hint.upstream, hint.born);
            }
        });
    }

    /// Upstreams that this VM lately learned to be leaving.
    pub fn leaving_hints(&self) -> Vec<LeavingUpstream> {
        lock(&self.leaving_hints).current(self.clock.now())
    }

    /// The data centres that the operator has closed.
    pub fn closures(&self) -> MutexGuard<'_, ClosedCentres> {
        lock(&self.closures)
    }

    /// Times in which this process stood still.
    pub fn lateness(&self) -> MutexGuard<'_, Lateness> {
        lock(&self.lateness)
    }

    /// Parts of prompts, and requests, that crash engines.
    pub fn quarantine(&self) -> MutexGuard<'_, Quarantine> {
        lock(&self.quarantine)
    }

    /// The limits that upstreams name.
    pub fn upstream_limits(&self) -> MutexGuard<'_, UpstreamLimits> {
        lock(&self.upstream_limits)
    }

    /// Whether a line that callers can cause at will is written to the log.
    pub fn may_log(&self) -> bool {
        let verdict = lock(&self.log_limit).on_line(self.clock.now());
        match verdict {
            LineVerdict::LeaveOut => {
                self.counters.log_lines_left_out.inc();
                false
            }
            LineVerdict::Write { left_out: 0 } => true,
            LineVerdict::Write { left_out } => {
                info!(self.log, "log_lines_left_out"; "lines" => left_out);
                true
            }
        }
    }

    /// Whether this VM is the leader, the only one that may probe what is held back.
    pub fn leads(&self) -> bool {
        self.leads.load(Ordering::Relaxed)
    }

    /// Sets whether this VM holds the lease.
    pub fn set_leads(&self, leads: bool) {
        self.leads.store(leads, Ordering::Relaxed);
    }

    /// Settings that bound what this VM does.
    pub fn bounds(&self) -> Arc<GatewayBounds> {
        self.bounds.load_full()
    }

    /// Puts other bounds into force.
    pub fn set_bounds(&self, bounds: GatewayBounds) {
        self.freshness().set_bound(bounds.withdrawal);
        for budget in lock(&self.retry_budgets).values_mut() {
            budget.set_bound(bounds.retries);
        }
        self.bounds.store(Arc::new(bounds));
        self.coverage_changed.notify_waiters();
    }

    /// Demand for models and adapters at this VM.
    pub fn demand(&self) -> MutexGuard<'_, LocalDemand> {
        lock(&self.demand)
    }

    /// What this VM and its readers have read of the store.
    pub fn coverage(&self) -> MutexGuard<'_, Coverage> {
        lock(&self.coverage)
    }

    /// Sets how this VM learns what the store holds.
    pub fn set_role(&self, role: Role) {
        let mut coverage = self.coverage();
        if coverage.role == role {
            return;
        }
        info!(self.log, "store_role"; "role" => ?role);
        coverage.role = role;
        drop(coverage);
        self.coverage_changed.notify_waiters();
    }

    /// The next request to the VM that reads the store for this one; `None` if there is none.
    pub fn next_follow_request(&self, now: BootTime) -> Option<(VmId, FollowRequest)> {
        let mut coverage = self.coverage();
        let registrations = coverage.registrations_position();
        let Role::Follower(readers) = coverage.role.clone() else {
            return None;
        };
        let (reader, id) = coverage.follower.next_request(&readers, now)?;
        let request = FollowRequest {
            id: id.0,
            registrations,
        };
        Some((reader.clone(), request))
    }

    /// Whether the balancer should send new callers to this VM.
    pub fn is_ready(&self) -> bool {
        let fresh = self.freshness().ready(self.clock.boot());
        let known =
            self.configuration.load().is_some() && self.read_fleet(|fleet| fleet.initialized);
        fresh && known && self.vms_listed_or_late() && !self.running.is_leaving()
    }

    /// Whether this VM has read how many VMs there are, or has tried to for long enough: it can
    /// serve without.
    fn vms_listed_or_late(&self) -> bool {
        let age = self.clock.now().saturating_duration_since(self.started);
        self.reachability().listed || age >= READY_WITHOUT_LIST
    }

    /// Begins the stop of this VM, which ends as `plan` says.
    pub fn begin_stop(&self, plan: StopPlan) {
        self.running.set_leaving();
        self.stop.begin(plan);
        self.upstreams_changed.notify_waiters();
    }

    /// How long the requests of each route lately took.
    pub fn answer_times(&self) -> MutexGuard<'_, AnswerTimes> {
        lock(&self.answer_times)
    }

    /// Sets how many VMs are known and reachable. The quotas are refilled by the part used until
    /// now.
    pub fn set_reachability(&self, reachability: Reachability) {
        self.refill_allowances();
        let before = std::mem::replace(&mut *lock(&self.reachability), reachability);
        if reachability.listed && !before.listed {
            let age = self.clock.now().saturating_duration_since(self.started);
            info!(self.log, "vms_listed"; "vms" => reachability.vms,
                "started_ms" => age.as_millis() as u64);
            self.vms_listed.notify_waiters();
        }
    }

    /// How many VMs are known and reachable.
    pub fn reachability(&self) -> Reachability {
        *lock(&self.reachability)
    }

    /// Notes that a usage report of another VM arrived.
    pub fn on_peer_message(&self, now: Instant) {
        lock(&self.reachability).last_received = now;
    }
}
