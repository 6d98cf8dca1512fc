//! Replicas loaded and memory used.

use std::collections::{BTreeMap, BTreeSet};

use basilgw::ids::{ModelId, ReplicaId, UpstreamId};
use basilgw::schema::engine::OrderStatus;
use serde_json::Value;

use super::check::{Findings, Point, Violation};
use super::event::{Entry, Event, Micros};

const MODEL_KEYS: &str = "models/";

#[derive(Debug, Default)]
struct Models {
    decided: BTreeMap<ModelId, BTreeSet<ReplicaId>>,
    loaded: BTreeMap<ModelId, BTreeSet<(UpstreamId, ReplicaId)>>,
}

pub(super) fn check(entries: &[Entry], findings: &mut Findings) {
    let mut models = Models::default();
    for entry in entries {
        models.replay(entry, findings);
        memory(entry, findings);
    }
}

impl Models {
    fn replay(&mut self, entry: &Entry, findings: &mut Findings) {
        match &entry.event {
            Event::Decided { model, replicas } => {
                let replicas = replicas.iter().cloned().collect();
                self.decide(model, replicas, entry.at, findings);
            }
            Event::Written { key, value, .. } => {
                let name = key.as_str().strip_prefix(MODEL_KEYS);
                let model = name.and_then(|name| name.parse().ok());
                if let (Some(model), Some(value)) = (model, value) {
                    self.decide(&model, replicas_of(value), entry.at, findings);
                }
            }
            Event::Loaded {
                upstream,
                replica,
                model,
            } => self.load(upstream, replica, model, entry.at, findings),
            Event::Unloaded {
                upstream,
                replica,
                model,
            } => {
                let loaded = self.loaded.entry(model.clone()).or_default();
                loaded.remove(&(upstream.clone(), replica.clone()));
            }
            Event::Restarted { upstream } => {
                for loaded in self.loaded.values_mut() {
                    loaded.retain(|(on, _)| on != upstream);
                }
            }
            _ => {}
        }
    }

    fn decide(
        &mut self,
        model: &ModelId,
        replicas: BTreeSet<ReplicaId>,
        at: Micros,
        findings: &mut Findings,
    ) {
        self.decided.insert(model.clone(), replicas);
        self.compare(model, at, findings);
    }

    fn load(
        &mut self,
        upstream: &UpstreamId,
        replica: &ReplicaId,
        model: &ModelId,
        at: Micros,
        findings: &mut Findings,
    ) {
        findings.case(Point::Replicas);
        let loaded = self.loaded.entry(model.clone()).or_default();
        loaded.insert((upstream.clone(), replica.clone()));
        let decided = self.decided.entry(model.clone()).or_default();
        if !decided.contains(replica) {
            let violation = Violation::Undecided {
                upstream: upstream.clone(),
                replica: replica.clone(),
                model: model.clone(),
            };
            findings.note(Point::Replicas, at, violation);
        }
        self.compare(model, at, findings);
    }

    fn compare(&self, model: &ModelId, at: Micros, findings: &mut Findings) {
        let loaded = self.loaded.get(model).map_or(0, BTreeSet::len);
        let decided = self.decided.get(model).map_or(0, BTreeSet::len);
        if loaded > decided {
            let violation = Violation::TooMany {
                model: model.clone(),
                loaded,
                decided,
            };
            findings.note(Point::Replicas, at, violation);
        }
    }
}

/// The replicas of a stored decision, which are the keys of its `replicas`.
fn replicas_of(value: &Value) -> BTreeSet<ReplicaId> {
    let replicas = value.get("replicas").and_then(Value::as_object);
    let names = replicas.into_iter().flat_map(serde_json::Map::keys);
    names.filter_map(|name| name.parse().ok()).collect()
}

fn memory(entry: &Entry, findings: &mut Findings) {
    match &entry.event {
        Event::Memory {
            upstream,
            used,
            total,
        } => {
            findings.case(Point::Memory);
            if used > total {
                let violation = Violation::Overcommitted {
                    upstream: upstream.clone(),
                    used: *used,
                    total: *total,
                };
                findings.note(Point::Memory, entry.at, violation);
            }
        }
        Event::Ordered {
            upstream,
            replica,
            status: OrderStatus::Full,
            ..
        } => {
            let violation = Violation::NoRoom {
                upstream: upstream.clone(),
                replica: replica.clone(),
            };
            findings.note(Point::Memory, entry.at, violation);
        }
        _ => {}
    }
}
