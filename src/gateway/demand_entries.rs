//! Translates demand to and from the entries of a demand report, which are grouped by model.

use std::collections::BTreeMap;

use crate::ids::ModelId;
use crate::schema::mesh::{ModelDemandEntry, TargetDemand};

use super::demand::Demand;
use super::request::Target;

/// The demand that a report names, by target.
pub(super) fn read_demand(
    entries: BTreeMap<ModelId, ModelDemandEntry>,
) -> impl Iterator<Item = (Target, Demand)> {
    entries.into_iter().flat_map(|(model, entry)| {
        let whole = entry.whole.map(|demand| (None, demand));
        let adapters = entry
            .adapters
            .into_iter()
            .map(|(a, demand)| (Some(a), demand));
        whole
            .into_iter()
            .chain(adapters)
            .map(move |(adapter, entry)| {
                let model = model.clone();
                let demand = Demand {
                    rate: entry.rate,
                    waiting: entry.waiting,
                    late: entry.late,
                };
                (Target { model, adapter }, demand)
            })
    })
}

/// Entries of a report for these targets.
pub(super) fn write_demand(targets: &[(Target, Demand)]) -> BTreeMap<ModelId, ModelDemandEntry> {
    let mut entries: BTreeMap<_, ModelDemandEntry> = BTreeMap::new();
    for (target, demand) in targets {
        let entry = TargetDemand {
            // Rounded to single precision, which takes half as many bytes in CBOR.
            rate: f64::from(demand.rate as f32),
            waiting: demand.waiting,
            late: f64::from(demand.late as f32),
        };
        let model = entries.entry(target.model.clone()).or_default();
        match &target.adapter {
            Some(adapter) => drop(model.adapters.insert(adapter.clone(), entry)),
            None => model.whole = Some(entry),
        }
    }
    entries
}
