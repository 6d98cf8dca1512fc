//! Plans which adapters are loaded on which engines.
//!
//! An adapter loads within milliseconds, so it is loaded when requests ask for it. Of the engines
//! that hold its model, the one with the fewest adapters takes it. If none has space for another
//! adapter, one of them first unloads the adapter with the lowest demand. Each engine gets at most
//! one order in a round of planning.

use std::collections::{BTreeMap, BTreeSet};

use crate::ids::{AdapterId, ModelId, UpstreamId};

use super::configuration::EngineSpec;
use super::demand::Demand;
use super::placement::EngineView;
use super::request::Target;

/// Greatest number of adapters that an engine loads at once.
const MAX_LOADING: usize = 4;
/// Greatest number of orders in one round.
const ORDERS_PER_ROUND: usize = 16;

/// An order to an engine that concerns an adapter of a model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdapterAction {
    /// Load the adapter.
    Load(ModelId, AdapterId),
    /// Unload the adapter.
    Unload(ModelId, AdapterId),
}

/// The adapters that an engine is loading, with their models.
#[derive(Clone, Debug, Default)]
pub struct LoadingAdapters(pub BTreeSet<(ModelId, AdapterId)>);

/// Plans one round of orders, by engine.
///
/// Adapters are considered if there is demand for them, some engine holds their model and no engine
/// holds or loads them. All those that requests wait for are planned; if there are none, only the
/// one with the highest rate is.
pub fn plan_adapters(
    views: &BTreeMap<UpstreamId, EngineView>,
    loading: &BTreeMap<UpstreamId, LoadingAdapters>,
    spec: &EngineSpec,
    demand: &BTreeMap<Target, Demand>,
) -> BTreeMap<UpstreamId, AdapterAction> {
    let held = views.values().flat_map(|view| &view.inventory.loaded);
    let models: BTreeSet<_> = held.clone().map(|(model, _)| model).collect();
    let held = held.flat_map(|(model, adapters)| adapters.iter().map(move |a| (model, a)));
    let being_loaded = loading.values().flat_map(|adapters| &adapters.0);
    let present: BTreeSet<_> = held.chain(being_loaded.map(|(m, a)| (m, a))).collect();
    let missing = demand.iter().filter_map(|(target, entry)| {
        let pair = (&target.model, target.adapter.as_ref()?);
        let is_missing = models.contains(pair.0) && !present.contains(&pair);
        is_missing.then_some((pair, entry))
    });
    let mut missing: Vec<_> = missing.collect();
    missing.sort_by(|a, b| {
        let rates = b.1.rate.total_cmp(&a.1.rate);
        b.1.waiting.cmp(&a.1.waiting).then(rates)
    });
    let mut actions = BTreeMap::new();
    for (pair, entry) in missing {
        let unawaited = entry.waiting == 0;
        if actions.len() == ORDERS_PER_ROUND || (unawaited && !actions.is_empty()) {
            break;
        }
        let unplanned = views.iter().filter(|(id, _)| !actions.contains_key(*id));
        let Some((id, action)) = plan_adapter(unplanned, loading, spec, demand, pair) else {
            continue;
        };
        // An adapter that no request waits for does not displace another one.
        if unawaited && matches!(action, AdapterAction::Unload(..)) {
            continue;
        }
        actions.insert(id, action);
    }
    actions
}

/// Plans the order that one missing adapter needs next; `None` if no engine can take it now.
fn plan_adapter<'a, I>(
    views: I,
    loading: &BTreeMap<UpstreamId, LoadingAdapters>,
    spec: &EngineSpec,
    demand: &BTreeMap<Target, Demand>,
    missing: (&ModelId, &AdapterId),
) -> Option<(UpstreamId, AdapterAction)>
where
    I: Iterator<Item = (&'a UpstreamId, &'a EngineView)>,
{
    let (model, adapter) = missing;
    let model_spec = spec.models.get(model)?;
    let mut best: Option<(usize, UpstreamId, AdapterAction)> = None;
    for (id, view) in views {
        // An engine that is carrying out an order responds to any other with a conflict.
        if view.busy || !view.inventory.loaded.contains_key(model) {
            continue;
        }
        let loading_count = loading.get(id).map_or(0, |adapters| adapters.0.len());
        let held_count: usize = view.inventory.loaded.values().map(BTreeSet::len).sum();
        let Some(free) = free_mb(view, spec) else {
            continue;
        };
        let free = free - loading_count as f64 * model_spec.adapter_mb;
        let fits = free >= model_spec.adapter_mb && held_count + loading_count < spec.adapter_slots;
        if loading_count >= MAX_LOADING {
            continue;
        }
        let action = if fits {
            AdapterAction::Load(model.clone(), adapter.clone())
        } else {
            let Some((m, a)) = least_demanded(view, demand) else {
                continue;
            };
            AdapterAction::Unload(m, a)
        };
        let cost = held_count + loading_count + if fits { 0 } else { spec.adapter_slots };
        if best.as_ref().is_none_or(|(lowest, ..)| cost < *lowest) {
            best = Some((cost, id.clone(), action));
        }
    }
    best.map(|(_, id, action)| (id, action))
}

/// Space that an engine has left beside what it holds and the model that it is about to load, in
/// megabytes; `None` where it holds a model that the configuration does not contain, whose size is
/// unknown.
fn free_mb(view: &EngineView, spec: &EngineSpec) -> Option<f64> {
    let mut free = spec.capacity_mb;
    for (model, adapters) in &view.inventory.loaded {
        let model_spec = spec.models.get(model)?;
        free -= model_spec.size_mb + adapters.len() as f64 * model_spec.adapter_mb;
    }
    let incoming = view.incoming_model.as_ref();
    let incoming = incoming.and_then(|model| spec.models.get(model));
    Some(free - incoming.map_or(0.0, |model_spec| model_spec.size_mb))
}

/// The adapter of an engine with the lowest demand; `None` if the engine holds none.
fn least_demanded(
    view: &EngineView,
    demand: &BTreeMap<Target, Demand>,
) -> Option<(ModelId, AdapterId)> {
    let rate = |model: &ModelId, adapter: &AdapterId| {
        let target = Target {
            model: model.clone(),
            adapter: Some(adapter.clone()),
        };
        demand.get(&target).map_or(0.0, |entry| entry.rate)
    };
    let held = view.inventory.loaded.iter();
    let held = held.flat_map(|(m, adapters)| adapters.iter().map(move |a| (m, a)));
    held.min_by(|a, b| rate(a.0, a.1).total_cmp(&rate(b.0, b.1)))
        .map(|(m, a)| (m.clone(), a.clone()))
}
