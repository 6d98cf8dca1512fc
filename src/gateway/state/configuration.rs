//! The configuration in force at this VM, and how fresh it is.

use std::collections::BTreeSet;
use std::sync::{Arc, MutexGuard};
use std::time::Duration;

use slog::{info, warn};

use crate::clock::BootTime;
use crate::gateway::configuration::Configuration;
use crate::gateway::connection_bounds::IdleTimes;
use crate::gateway::freshness::Freshness;
use crate::gateway::platform_api::DecodeError;
use crate::gateway::route_times::RouteTimes;
use crate::schema::mesh::ConfigurationReport;

use super::{Gateway, lock};

/// Most unreadable entries of one configuration that are named in the log.
const MAX_FAULT_LINES: usize = 20;

impl Gateway {
    /// Freshness of the configuration.
    pub fn freshness(&self) -> MutexGuard<'_, Freshness> {
        lock(&self.freshness)
    }

    /// Changes the freshness of the configuration, and logs whether reads of it count.
    pub fn update_freshness<F>(&self, change: F)
    where
        F: FnOnce(&mut Freshness, BootTime),
    {
        let now = self.clock.boot();
        let mut freshness = self.freshness();
        let before = (freshness.doubted(), freshness.age(now).is_some());
        change(&mut freshness, now);
        let after = (freshness.doubted(), freshness.age(now).is_some());
        drop(freshness);
        if before.0 != after.0 {
            info!(self.log, "store_generation_trusted"; "generation" => ?after.0.or(before.0),
                "trusted" => after.0.is_none());
        }
        if before.1 && !after.1 {
            warn!(self.log, "configuration_lost_by_store");
        }
    }

    /// Applies what another VM says of its configuration; returns what must be answered, if it
    /// asks.
    pub fn on_configuration_report(
        &self,
        report: &ConfigurationReport,
    ) -> Option<ConfigurationReport> {
        self.update_freshness(|freshness, now| freshness.on_report(report, now));
        self.freshness().answer(report)
    }

    /// Whether the configuration is fresh enough to accept keys.
    pub fn keys_trusted(&self) -> bool {
        self.freshness().is_fresh(self.clock.boot())
    }

    /// Puts a configuration into force if it is newer than the current one; returns whether it is.
    pub fn apply_configuration(&self, configuration: Configuration) -> bool {
        let in_force = self.configuration.load();
        if in_force
            .as_ref()
            .is_some_and(|old| old.version >= configuration.version)
        {
            return false;
        }
        info!(self.log, "configuration_taken"; "version" => configuration.version,
            "routes" => configuration.routes.values().map(Vec::len).sum::<usize>(),
            "services" => configuration.services.len());
        self.report_unreadable(&configuration);
        self.update_allowances(&configuration);
        let routes = configuration.routes.values().flatten();
        let names: BTreeSet<_> = routes.map(|route| &route.name).collect();
        self.answer_times().retain(|name| names.contains(name));
        let slow_starts = in_force.as_ref().map(|old| old.slow_starts());
        let slow_start_changed = slow_starts != Some(configuration.slow_starts());
        let now = self.clock.now();
        let mut idle_times = IdleTimes::clone(&self.idle_times.load());
        idle_times.replace(configuration.bounds.idle_time, now);
        self.idle_times.store(Arc::new(idle_times));
        let mut route_times = RouteTimes::clone(&self.route_times.load());
        route_times.replace(&configuration, now);
        self.route_times.store(Arc::new(route_times));
        self.configuration.store(Some(Arc::new(configuration)));
        *lock(&self.configured) = Some(now);
        if slow_start_changed {
            self.on_slow_start_changed();
        }
        true
    }

    /// Time since the configuration in force came into force; absent where there is none.
    pub fn configuration_age(&self) -> Option<Duration> {
        let since = (*lock(&self.configured))?;
        Some(self.clock.now().saturating_duration_since(since))
    }

    /// Counts the entries that could not be read, and names the first of them in the log.
    fn report_unreadable(&self, configuration: &Configuration) {
        let faults = &configuration.unreadable.faults;
        self.counters.entries_unreadable.inc_by(faults.len() as u64);
        for fault in faults.iter().take(MAX_FAULT_LINES) {
            warn!(self.log, "configuration_entry_unreadable"; "version" => configuration.version,
                "entry" => %fault.entry, "error" => %fault.error);
        }
    }

    /// Counts an object of the store that cannot be read; true if the log has not named it yet.
    pub fn on_unreadable(&self, kind: &'static str, name: &str, error: &DecodeError) -> bool {
        let first = lock(&self.unreadable).add(kind, name, error);
        if first {
            self.counters.entries_unreadable.inc();
        }
        first
    }
}
