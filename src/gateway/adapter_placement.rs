//! Which adapters are loaded on which engines.
//!
//! An adapter comes within milliseconds, so it is loaded when it is asked for; the engine that
//! holds the model with the most free places takes it, and where none has one, the adapter that
//! is asked for least makes way. An engine takes one order a round.

use std::collections::{BTreeMap, BTreeSet};

use crate::ids::{AdapterId, ModelId, UpstreamId};

use super::call::Target;
use super::configuration::EngineSpec;
use super::demand::Demand;
use super::placement::EngineView;

/// Adapters that may be on their way to an engine at once.
const MOST_COMING: usize = 4;
/// Orders in one round.
const ORDERS_PER_ROUND: usize = 16;

/// An order on an adapter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdapterAction {
    /// Load it.
    Load(ModelId, AdapterId),
    /// Drop it.
    Unload(ModelId, AdapterId),
}

/// The adapters of an engine on their way, and what each held one is asked for.
#[derive(Clone, Debug, Default)]
pub struct LoadingAdapters(pub BTreeSet<(ModelId, AdapterId)>);

/// Plans a round's moves, for adapters that are asked for and that no engine holds or awaits: those
/// that requests wait for, and where there are none, the one that is asked for most.
pub fn plan_adapters(
    seats: &BTreeMap<UpstreamId, EngineView>,
    coming: &BTreeMap<UpstreamId, LoadingAdapters>,
    engines: &EngineSpec,
    demand: &BTreeMap<Target, Demand>,
) -> BTreeMap<UpstreamId, AdapterAction> {
    let held = seats.values().flat_map(|seat| &seat.holds.models);
    let models: BTreeSet<_> = held.clone().map(|(model, _)| model).collect();
    let held = held.flat_map(|(model, adapters)| adapters.iter().map(move |a| (model, a)));
    let on_way = coming.values().flat_map(|coming| &coming.0);
    let served: BTreeSet<_> = held.chain(on_way.map(|(m, a)| (m, a))).collect();
    let wanted = demand.iter().filter_map(|(target, want)| {
        let pair = (&target.model, target.adapter.as_ref()?);
        let lacks = models.contains(pair.0) && !served.contains(&pair);
        lacks.then_some((pair, want))
    });
    let mut wanted: Vec<_> = wanted.collect();
    wanted.sort_by(|a, b| {
        let rates = b.1.rate.total_cmp(&a.1.rate);
        b.1.waiting.cmp(&a.1.waiting).then(rates)
    });
    let mut moves = BTreeMap::new();
    for (pair, want) in wanted {
        let idle = want.waiting == 0;
        if moves.len() == ORDERS_PER_ROUND || (idle && !moves.is_empty()) {
            break;
        }
        let free = seats.iter().filter(|(id, _)| !moves.contains_key(*id));
        let Some((id, step)) = plan_adapter(free, coming, engines, demand, pair) else {
            continue;
        };
        // What nobody waits for drives nothing out.
        if idle && matches!(step, AdapterAction::Unload(..)) {
            continue;
        }
        moves.insert(id, step);
    }
    moves
}

/// Plans the move for one adapter; `None` where there is no room.
fn plan_adapter<'a, I>(
    seats: I,
    coming: &BTreeMap<UpstreamId, LoadingAdapters>,
    engines: &EngineSpec,
    demand: &BTreeMap<Target, Demand>,
    wanted: (&ModelId, &AdapterId),
) -> Option<(UpstreamId, AdapterAction)>
where
    I: Iterator<Item = (&'a UpstreamId, &'a EngineView)>,
{
    let (model, adapter) = wanted;
    let kind = engines.models.get(model)?;
    let mut best: Option<(usize, UpstreamId, AdapterAction)> = None;
    for (id, seat) in seats {
        // An engine that carries out an order answers every other one with a conflict.
        if seat.busy || !seat.holds.models.contains_key(model) {
            continue;
        }
        let on_way = coming.get(id).map_or(0, |coming| coming.0.len());
        let held: usize = seat.holds.models.values().map(BTreeSet::len).sum();
        let room = free_mb(seat, engines) - on_way as f64 * kind.adapter_mb;
        let fits = room >= kind.adapter_mb && held + on_way < engines.adapter_slots;
        if on_way >= MOST_COMING {
            continue;
        }
        let step = if fits {
            AdapterAction::Load(model.clone(), adapter.clone())
        } else {
            let Some((m, a)) = least_wanted(seat, demand) else {
                continue;
            };
            AdapterAction::Unload(m, a)
        };
        let cost = held + on_way + if fits { 0 } else { engines.adapter_slots };
        if best.as_ref().is_none_or(|(least, ..)| cost < *least) {
            best = Some((cost, id.clone(), step));
        }
    }
    best.map(|(_, id, step)| (id, step))
}

fn free_mb(seat: &EngineView, engines: &EngineSpec) -> f64 {
    let sizes = seat.holds.models.iter().map(|(model, adapters)| {
        let kind = engines.models.get(model);
        kind.map_or(0.0, |k| k.size_mb + adapters.len() as f64 * k.adapter_mb)
    });
    let loading = seat
        .incoming_model
        .as_ref()
        .and_then(|m| engines.models.get(m));
    engines.capacity_mb - sizes.sum::<f64>() - loading.map_or(0.0, |kind| kind.size_mb)
}

fn least_wanted(
    seat: &EngineView,
    demand: &BTreeMap<Target, Demand>,
) -> Option<(ModelId, AdapterId)> {
    let rate = |model: &ModelId, adapter: &AdapterId| {
        let target = Target {
            model: model.clone(),
            adapter: Some(adapter.clone()),
        };
        demand.get(&target).map_or(0.0, |want| want.rate)
    };
    let held = seat.holds.models.iter();
    let held = held.flat_map(|(m, adapters)| adapters.iter().map(move |a| (m, a)));
    held.min_by(|a, b| rate(a.0, a.1).total_cmp(&rate(b.0, b.1)))
        .map(|(m, a)| (m.clone(), a.clone()))
}
