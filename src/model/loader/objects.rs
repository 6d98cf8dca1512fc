//! Reads the stored intents and reservations, and keeps the loader's copies of them.

use std::collections::BTreeSet;
use std::time::Instant;

use super::{Loader, SCAN_INTERVAL, ScanScope};
use crate::ids::{IdError, ModelId, ObjectKey, ReplicaId, UpstreamId, Version};
use crate::model::executor::upstream_id;
use crate::model::intents::{engine_key, model_key};
use crate::model::jobs::{JobResult, ObjectsRead, read_objects};

impl Loader {
    /// Starts a read of all objects if one is due.
    pub(super) fn scan(&mut self, now: Instant) {
        let scope = self.scan_scope();
        let interval_over = self.last_scan.is_none_or(|at| at + SCAN_INTERVAL <= now);
        // A new model or engine must not wait for the next regular scan.
        let due = interval_over || self.scan_scope.as_ref() != Some(&scope);
        if !due || self.scan_running || self.next_scan > now {
            return;
        }
        self.scan_running = true;
        self.scan_scope = Some(scope);
        let mut models: BTreeSet<ModelId> = self.declaration.models.keys().cloned().collect();
        models.extend(self.intents.keys().cloned());
        for reservations in self.reservations.values() {
            models.extend(reservations.holds.values().map(|r| r.model.clone()));
        }
        for timed in self.reports.values() {
            models.extend(timed.report.replicas.iter().map(|r| r.model.clone()));
        }
        let listed = self.deps.cluster.engines();
        let mut engines: BTreeSet<UpstreamId> = self.reservations.keys().cloned().collect();
        engines.extend(listed.iter().filter_map(|e| upstream_id(e).ok()));
        let executor = self.executor.clone();
        self.jobs.spawn(async move {
            let read = read_objects(&executor, models, engines).await;
            JobResult::Scan(read)
        });
    }

    fn scan_scope(&self) -> ScanScope {
        let listed = self.deps.cluster.engines();
        ScanScope {
            models: self.declaration.models.keys().cloned().collect(),
            engines: listed.iter().filter_map(|e| upstream_id(e).ok()).collect(),
        }
    }

    /// Keeps the objects that are not older than the present copies; returns false if some could
    /// not be read.
    pub(super) fn accept_objects(&mut self, read: ObjectsRead, now: Instant) -> bool {
        for (model, version, intents) in read.models {
            if self.accept_version(model_key(&model), version) {
                self.observations.observe_intents(&intents, now);
                self.intents.insert(model, intents);
            }
        }
        for (engine, version, reservations) in read.engines {
            if self.accept_version(engine_key(&engine), version) {
                self.reservations.insert(engine, reservations);
            }
        }
        self.observe_engines(now);
        self.update_views();
        read.complete
    }

    /// Records the version of an object; returns false if a newer one is known.
    pub(super) fn accept_version(
        &mut self,
        key: Result<ObjectKey, IdError>,
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

    /// Updates the observations from the reservations and from the platform's list.
    pub(super) fn observe_engines(&mut self, now: Instant) {
        let intents = &self.intents;
        for (engine, reservations) in &self.reservations {
            let known = |replica: &ReplicaId| {
                let reservation = reservations.holds.get(replica);
                let model = reservation.and_then(|r| intents.get(&r.model));
                model.is_some_and(|i| i.replicas.contains_key(replica))
            };
            self.observations
                .observe_reservations(engine, reservations, known, now);
        }
        let intents = intents.values().flat_map(|i| i.replicas.values());
        let engines: Vec<UpstreamId> = intents.map(|i| i.engine.clone()).collect();
        let list = self.deps.cluster.engines();
        let listed = |id: &UpstreamId| list.iter().any(|e| e.vm.as_str() == id.as_str());
        self.observations.observe_listed(&engines, listed, now);
    }

    /// Drops observations of replicas, and reports of engines, that no longer exist anywhere.
    pub(super) fn drop_stale(&mut self) {
        let intents = self.intents.values().flat_map(|i| i.replicas.keys());
        let reserved = self.reservations.values().flat_map(|r| r.holds.keys());
        let reports = self.reports.values().flat_map(|s| &s.report.replicas);
        let mut known: BTreeSet<&ReplicaId> = intents.chain(reserved).collect();
        known.extend(reports.map(|r| &r.replica));
        known.extend(self.pending_loads.keys());
        self.observations.retain(|replica| known.contains(replica));
        let engines = self.deps.cluster.engines();
        let listed = |id: &UpstreamId| engines.iter().any(|e| e.vm.as_str() == id.as_str());
        self.reports.retain(|id, _| listed(id));
    }
}
