//! Finds the replicas of each model that can serve requests, from the load reports.

use std::collections::BTreeMap;

use super::Replica;
use super::admission::{ModelView, ServingReplica};
use super::executor::upstream_id;
use super::intents::{IntentState, Intents};
use super::observations::TimedReport;
use super::placement::{Origin, load_time};
use crate::engine::ReplicaReport;
use crate::ids::{ModelId, UpstreamId};
use crate::schema::declaration::{Declaration, Model};
use crate::schema::engine::ReplicaState;
use crate::store::{Instance, InstanceState};
use crate::units::Bytes;

/// The newest reports, by engine.
pub type Reports = BTreeMap<UpstreamId, TimedReport>;

/// Builds one view for each declared model. A replica can serve if its engine is live and not
/// leaving, reports it ready in the declared version, and no stored intent withdraws it.
pub fn build_views(
    declaration: &Declaration,
    engines: &[Instance],
    reports: &Reports,
    intents: &BTreeMap<ModelId, Intents>,
    bandwidth: Bytes,
) -> BTreeMap<ModelId, ModelView> {
    let mut views: BTreeMap<ModelId, ModelView> = BTreeMap::new();
    for (id, model) in &declaration.models {
        let cold_start = load_time(Origin::Remote, model.weights, bandwidth);
        let serving = Vec::new();
        views.insert(
            id.clone(),
            ModelView {
                serving,
                cold_start,
            },
        );
    }
    for engine in engines.iter().filter(|e| e.state == InstanceState::Live) {
        let Some((id, timed)) = upstream_id(engine).ok().and_then(|id| {
            let timed = reports.get(&id)?;
            Some((id, timed))
        }) else {
            continue;
        };
        if timed.report.leaving {
            continue;
        }
        for report in &timed.report.replicas {
            let Some(model) = declaration.models.get(&report.model) else {
                continue;
            };
            if !can_serve(report, model) || is_withdrawn(intents, report) {
                continue;
            }
            if let Some(view) = views.get_mut(&report.model) {
                view.serving.push(serving_replica(&id, report, model));
            }
        }
    }
    views
}

fn can_serve(report: &ReplicaReport, model: &Model) -> bool {
    report.state == ReplicaState::Ready && report.version == model.version
}

fn is_withdrawn(intents: &BTreeMap<ModelId, Intents>, report: &ReplicaReport) -> bool {
    let intent = intents
        .get(&report.model)
        .and_then(|d| d.replicas.get(&report.replica));
    intent.is_some_and(|i| i.state == IntentState::Unloading)
}

fn serving_replica(engine: &UpstreamId, report: &ReplicaReport, model: &Model) -> ServingReplica {
    ServingReplica {
        replica: Replica {
            id: report.replica.clone(),
            upstream: engine.clone(),
            slots: model.slots,
        },
        adapters: report.adapters.iter().cloned().collect(),
        requests: report.running + report.queued,
    }
}
