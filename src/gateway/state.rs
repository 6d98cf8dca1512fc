//! What a VM knows while it serves.
//!
//! The request path reads the configuration and the upstreams through atomic snapshots; the locks
//! here are held for a few instructions and never across a wait.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use arc_swap::{ArcSwap, ArcSwapOption};
use slog::{Logger, info};
use tokio::sync::Notify;

use crate::clock::Clock;
use crate::edge::Running;
use crate::ids::{ClientAccount, DataCentre, ServiceId, VmId};
use crate::metrics::{EdgeMetrics, Metrics};
use crate::units::Tokens;

use super::allowance::Allowance;
use super::border::Dialect;
use super::configuration::{Account, Configuration};
use super::demand::LocalDemand;
use super::fleet::{Fleet, UpstreamMap};
use super::freshness::Freshness;
use super::metrics::{Counters, Gauges};
use super::reachability::Reachability;
use super::retry_budget::{RetryBound, RetryBudget};

/// What a VM is told at its start.
#[derive(Clone, Debug)]
pub struct Bounds {
    /// Longest that a withdrawn key may work.
    pub withdrawal: Duration,
    /// Time in which a leaving upstream must be known.
    pub leaving: Duration,
    /// Bound on repeats.
    pub repeats: RetryBound,
    /// Whether the whole system starts for the first time.
    pub first_start: bool,
}

/// The state of a VM.
#[derive(Debug)]
pub struct Gateway {
    /// This VM.
    pub vm: VmId,
    /// Its data centre.
    pub centre: DataCentre,
    /// Spelling of requests and answers.
    pub dialect: Arc<dyn Dialect>,
    /// Time.
    pub clock: Arc<dyn Clock>,
    /// Log.
    pub log: Logger,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// Counters of the gateway's mechanisms.
    pub counts: Counters,
    /// Gauges of its state.
    pub gauges: Gauges,
    /// Counters of the callers' side.
    pub answers: EdgeMetrics,
    /// Requests that run.
    pub running: Arc<Running>,
    /// The configuration in force.
    pub table: ArcSwapOption<Configuration>,
    /// Upstreams in use.
    pub upstreams: ArcSwap<UpstreamMap>,
    /// Told when upstreams in use change.
    pub changed: Notify,
    /// Told when the others should hear at once what this VM uses.
    pub usage_due: Notify,
    /// Told when the VM that gives orders should hear what this one wants.
    pub wants_due: Notify,
    /// Told when the platform's store answers again.
    pub store_back: Notify,
    /// Told when this VM leaves.
    pub left: Notify,
    /// Told when orders may be due.
    pub orders_due: Notify,
    bounds: Bounds,
    fleet: Mutex<Fleet>,
    trust: Mutex<Freshness>,
    demand: Mutex<LocalDemand>,
    allowances: Mutex<BTreeMap<ClientAccount, Allowance>>,
    repeats: Mutex<BTreeMap<ServiceId, RetryBudget>>,
    touch: Mutex<Reachability>,
    stop: Mutex<Option<Instant>>,
}

/// What a VM is made of.
#[derive(Debug)]
pub struct Parts {
    /// This VM.
    pub vm: VmId,
    /// Its data centre.
    pub centre: DataCentre,
    /// Spelling of requests and answers.
    pub dialect: Arc<dyn Dialect>,
    /// Time.
    pub clock: Arc<dyn Clock>,
    /// Log.
    pub log: Logger,
    /// Bounds.
    pub bounds: Bounds,
    /// Counters and histograms.
    pub metrics: Metrics,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Gateway {
    /// Opens the state, which knows nothing yet.
    ///
    /// # Errors
    ///
    /// Where a metric's name is taken.
    pub fn open(parts: Parts) -> Result<Arc<Self>, prometheus::Error> {
        let trust = Freshness::new(parts.bounds.withdrawal);
        let touch = Reachability::open(parts.clock.now());
        let answers = EdgeMetrics::open(&parts.metrics)?;
        let counts = Counters::open()?;
        counts.register(parts.metrics.registry())?;
        let gauges = Gauges::open(&parts.metrics)?;
        Ok(Arc::new(Self {
            counts,
            gauges,
            metrics: parts.metrics,
            answers,
            vm: parts.vm,
            centre: parts.centre,
            dialect: parts.dialect,
            clock: parts.clock,
            log: parts.log,
            running: Running::open(),
            table: ArcSwapOption::empty(),
            upstreams: ArcSwap::default(),
            changed: Notify::new(),
            usage_due: Notify::new(),
            wants_due: Notify::new(),
            store_back: Notify::new(),
            left: Notify::new(),
            orders_due: Notify::new(),
            bounds: parts.bounds,
            fleet: Mutex::default(),
            trust: Mutex::new(trust),
            demand: Mutex::default(),
            allowances: Mutex::default(),
            repeats: Mutex::default(),
            touch: Mutex::new(touch),
            stop: Mutex::new(None),
        }))
    }

    /// Changes what is known of upstreams and publishes the outcome.
    pub fn with_fleet<F, R>(&self, change: F) -> R
    where
        F: FnOnce(&mut Fleet, Instant) -> R,
    {
        let now = self.clock.now();
        let mut fleet = lock(&self.fleet);
        let result = change(&mut fleet, now);
        self.upstreams.store(Arc::new(fleet.snapshot(now)));
        drop(fleet);
        self.changed.notify_waiters();
        result
    }

    /// Reads what is known of upstreams.
    pub fn read_fleet<F, R>(&self, read: F) -> R
    where
        F: FnOnce(&Fleet) -> R,
    {
        read(&lock(&self.fleet))
    }

    /// What this VM was told at its start.
    pub fn bounds(&self) -> &Bounds {
        &self.bounds
    }

    /// Demand of this VM.
    pub fn demand(&self) -> MutexGuard<'_, LocalDemand> {
        lock(&self.demand)
    }

    /// Freshness of the configuration.
    pub fn trust(&self) -> MutexGuard<'_, Freshness> {
        lock(&self.trust)
    }

    /// Whether keys may be trusted now.
    pub fn trusted(&self) -> bool {
        self.trust().is_fresh(self.clock.boot())
    }

    /// Whether new callers may come.
    pub fn ready(&self) -> bool {
        let fresh = self.trust().ready(self.clock.boot());
        let known = self.table.load().is_some() && self.read_fleet(|fleet| fleet.loaded);
        fresh && known && !self.running.leaving()
    }

    /// Says that this VM leaves; what still waits then is refused at `stop`.
    pub fn leave(&self, stop: Instant) {
        *lock(&self.stop) = Some(stop);
        self.running.leave();
        self.changed.notify_waiters();
        self.left.notify_waiters();
    }

    /// When what still waits is refused, once this VM leaves.
    pub fn stop(&self) -> Option<Instant> {
        *lock(&self.stop)
    }

    /// Takes a configuration; an older one than that in force is dropped.
    pub fn take_table(&self, table: Configuration) {
        let in_force = self.table.load();
        if in_force
            .as_ref()
            .is_some_and(|old| old.version >= table.version)
        {
            return;
        }
        info!(self.log, "configuration_taken"; "version" => table.version,
            "routes" => table.routes.values().map(Vec::len).sum::<usize>(),
            "services" => table.services.len());
        self.change_allowances(&table);
        self.table.store(Some(Arc::new(table)));
    }

    fn change_allowances(&self, table: &Configuration) {
        let now = self.clock.now();
        let full = self.bounds.first_start && self.table.load().is_none();
        let mut allowances = lock(&self.allowances);
        for (name, account) in table.accounts() {
            let Some(rate) = account.rate else {
                allowances.remove(name);
                continue;
            };
            if let Some(allowance) = allowances.get_mut(name) {
                allowance.set_quota(rate, account.burst, now);
                continue;
            }
            let allowance = Allowance::open(rate, account.burst, full, now);
            allowances.insert(name.clone(), allowance);
        }
    }

    /// Takes tokens of an account.
    ///
    /// # Errors
    ///
    /// When to come back.
    pub fn admit(&self, account: &Account, tokens: Tokens) -> Result<(), Duration> {
        let now = self.clock.now();
        let touch = self.touch();
        let part = touch.rate_share(now);
        let mut allowances = lock(&self.allowances);
        let Some(allowance) = allowances.get_mut(&account.name) else {
            return Ok(());
        };
        let admitted = allowance.admit(tokens, now, part);
        if allowance.report_due(touch.vms) {
            self.usage_due.notify_one();
        }
        if admitted.is_err() {
            info!(self.log, "over_rate"; "account" => %account.name, "tokens" => tokens.0,
                "allowance" => %allowance, "part" => part);
        }
        admitted
    }

    /// Gives back the tokens of a request that did not run.
    pub fn give_back(&self, account: &Account, tokens: Tokens) {
        if let Some(allowance) = lock(&self.allowances).get_mut(&account.name) {
            allowance.refund(tokens);
        }
    }

    /// Tokens admitted since the start, by account, for the others to hear.
    pub fn tell_admitted(&self) -> BTreeMap<ClientAccount, Tokens> {
        let mut allowances = lock(&self.allowances);
        let used = allowances
            .iter_mut()
            .map(|(name, a)| (name.clone(), a.take_report()));
        used.filter(|(_, tokens)| *tokens > Tokens::ZERO).collect()
    }

    /// Takes what another VM admitted since it last said so; below zero where it gave some back.
    pub fn take_elsewhere(&self, account: &ClientAccount, tokens: i64) {
        if let Some(allowance) = lock(&self.allowances).get_mut(account) {
            allowance.on_peer_usage(tokens);
        }
    }

    /// Takes which VMs are in touch.
    pub fn set_touch(&self, touch: Reachability) {
        *lock(&self.touch) = touch;
    }

    /// Which VMs are in touch.
    pub fn touch(&self) -> Reachability {
        *lock(&self.touch)
    }

    /// Notes that some VM was heard.
    pub fn on_heard(&self, now: Instant) {
        lock(&self.touch).last_received = now;
    }

    /// Counts a request for a service.
    pub fn count_request(&self, service: &ServiceId) {
        let now = self.clock.now();
        let mut repeats = lock(&self.repeats);
        let entry = repeats.entry(service.clone());
        entry
            .or_insert_with(|| RetryBudget::new(self.bounds.repeats))
            .on_request(now);
    }

    /// Takes a repeat for a service, if one is left.
    pub fn take_repeat(&self, service: &ServiceId) -> bool {
        let now = self.clock.now();
        let mut repeats = lock(&self.repeats);
        let entry = repeats.entry(service.clone());
        let taken = entry
            .or_insert_with(|| RetryBudget::new(self.bounds.repeats))
            .try_spend(now);
        if taken {
            self.counts.repeats.inc();
        } else {
            self.counts.repeats_spared.inc();
        }
        taken
    }
}
