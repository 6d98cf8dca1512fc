//! Reads the stored intents and reservations, and keeps the loader's copies of them.

use std::collections::BTreeSet;
use std::time::Instant;

use super::{Covered, Loader, SCAN};
use crate::ids::{IdError, ModelId, ObjectKey, ReplicaId, UpstreamId, Version};
use crate::model::executor::upstream_id;
use crate::model::intents::{engine_key, model_key};
use crate::model::jobs::{Done, Read, read_objects};

impl Loader {
    pub(super) fn scan(&mut self, now: Instant) {
        let covered = self.to_cover();
        let aged = self.scanned.is_none_or(|at| at + SCAN <= now);
        // A new model or engine must not wait for the next regular scan.
        let due = aged || self.covered.as_ref() != Some(&covered);
        if !due || self.scanning || self.scan_after > now {
            return;
        }
        self.scanning = true;
        self.covered = Some(covered);
        let mut models: BTreeSet<ModelId> = self.declaration.models.keys().cloned().collect();
        models.extend(self.decided.keys().cloned());
        for reserved in self.reserved.values() {
            models.extend(reserved.holds.values().map(|h| h.model.clone()));
        }
        for seen in self.reports.values() {
            models.extend(seen.report.replicas.iter().map(|r| r.model.clone()));
        }
        let listed = self.ports.cluster.engines();
        let mut engines: BTreeSet<UpstreamId> = self.reserved.keys().cloned().collect();
        engines.extend(listed.iter().filter_map(|e| upstream_id(e).ok()));
        let flows = self.flows.clone();
        self.jobs.spawn(async move {
            let read = read_objects(&flows, models, engines).await;
            Done::Scan(read)
        });
    }

    fn to_cover(&self) -> Covered {
        let listed = self.ports.cluster.engines();
        Covered {
            models: self.declaration.models.keys().cloned().collect(),
            engines: listed.iter().filter_map(|e| upstream_id(e).ok()).collect(),
        }
    }

    /// Stores the objects that are not older than the known copies; returns false if some could not
    /// be read.
    pub(super) fn take_read(&mut self, read: Read, now: Instant) -> bool {
        for (model, version, decided) in read.models {
            if self.is_news(model_key(&model), version) {
                self.evidence.observe_intents(&decided, now);
                self.decided.insert(model, decided);
            }
        }
        for (engine, version, reserved) in read.engines {
            if self.is_news(engine_key(&engine), version) {
                self.reserved.insert(engine, reserved);
            }
        }
        self.note_engines(now);
        self.show();
        read.whole
    }

    pub(super) fn is_news(&mut self, key: Result<ObjectKey, IdError>, version: Version) -> bool {
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

    pub(super) fn note_engines(&mut self, now: Instant) {
        let decided = &self.decided;
        for (engine, reserved) in &self.reserved {
            let known = |replica: &ReplicaId| {
                let hold = reserved.holds.get(replica);
                let model = hold.and_then(|h| decided.get(&h.model));
                model.is_some_and(|d| d.replicas.contains_key(replica))
            };
            self.evidence
                .observe_reservations(engine, reserved, known, now);
        }
        let intents = decided.values().flat_map(|d| d.replicas.values());
        let engines: Vec<UpstreamId> = intents.map(|i| i.engine.clone()).collect();
        let fleet = self.ports.cluster.engines();
        let listed = |id: &UpstreamId| fleet.iter().any(|e| e.vm.as_str() == id.as_str());
        self.evidence.observe_listed(&engines, listed, now);
    }

    pub(super) fn forget_gone(&mut self) {
        let decided = self.decided.values().flat_map(|d| d.replicas.keys());
        let held = self.reserved.values().flat_map(|r| r.holds.keys());
        let reports = self.reports.values().flat_map(|s| &s.report.replicas);
        let mut known: BTreeSet<&ReplicaId> = decided.chain(held).collect();
        known.extend(reports.map(|r| &r.replica));
        known.extend(self.pending.keys());
        self.evidence.retain(|replica| known.contains(replica));
        let engines = self.ports.cluster.engines();
        let listed = |id: &UpstreamId| engines.iter().any(|e| e.vm.as_str() == id.as_str());
        self.reports.retain(|id, _| listed(id));
    }
}
