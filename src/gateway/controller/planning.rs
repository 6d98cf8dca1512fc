//! Plans which models and adapters the engines of a service load and unload next.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::Controller;
use crate::gateway::adapter_placement::{AdapterAction, LoadingAdapters, plan_adapters};
use crate::gateway::configuration::EngineSpec;
use crate::gateway::demand::Demand;
use crate::gateway::placement::{
    self, EngineView, ModelAction, ModelDemand, StorageTier, load_time, plan_models,
};
use crate::gateway::platform_api::OrderAction;
use crate::gateway::request::Target;
use crate::ids::{AdapterId, Epoch, ModelId, ServiceId, UpstreamId};

/// Greatest number of loads from the weight store at the same time; more would slow down all.
const MAX_REMOTE_LOADS: usize = 4;
/// Usual time for an engine to unload a model.
const UNLOAD_TIME: Duration = Duration::from_millis(700);

impl Controller {
    /// The engines of a service as the planner sees them.
    fn engine_views(&self, service: &ServiceId) -> BTreeMap<UpstreamId, EngineView> {
        let now = self.gateway.clock.now();
        let engines = self
            .engines
            .iter()
            .filter(|(_, e)| e.registration.service == *service);
        let mut views: BTreeMap<_, _> = engines
            .map(|(id, engine)| (id.clone(), engine.view(now)))
            .collect();
        for ((engine, model), requests) in self.mesh.running_requests() {
            if let Some(view) = views.get_mut(&engine) {
                view.running_requests.insert(model, requests);
            }
        }
        views
    }

    /// Plans the models of a service and sends the orders.
    pub(super) async fn place_models(
        &mut self,
        service: &ServiceId,
        spec: &EngineSpec,
        demand: &BTreeMap<Target, Demand>,
        epoch: Epoch,
    ) {
        let now = self.gateway.clock.now();
        let views = self.engine_views(service);
        let models = demand_by_model(demand, &views);
        let allowed = self.load_limiter.available(spec.remote_rate, now);
        let loading = self.engines.values().filter(|e| e.loads_remotely()).count();
        let remote_loads = allowed.min(MAX_REMOTE_LOADS.saturating_sub(loading));
        let actions = plan_models(&views, spec, &models, remote_loads, now);
        let mut orders = Vec::new();
        for (id, planned) in actions {
            let (action, incoming) = match planned {
                ModelAction::Load(model, tier) => {
                    if tier == StorageTier::Remote {
                        self.load_limiter.record_load();
                        self.gateway.counters.store_loads.inc();
                    }
                    (OrderAction::Load(model_target(model.clone())), model)
                }
                ModelAction::Unload { model, incoming } => {
                    (OrderAction::Unload(model_target(model)), incoming)
                }
            };
            self.expect_model(&id, &action, incoming, spec, now);
            orders.push((id, action));
        }
        self.issue_orders(orders, epoch).await;
    }

    /// Notes which model an engine will hold after an order, and by when.
    fn expect_model(
        &mut self,
        id: &UpstreamId,
        action: &OrderAction,
        incoming: ModelId,
        spec: &EngineSpec,
        now: Instant,
    ) {
        let Some(engine) = self.engines.get_mut(id) else {
            return;
        };
        let model_spec = spec.models.get(&incoming);
        let tier = placement::storage_tier(&engine.view(now).inventory, &incoming);
        let time = model_spec.map_or(UNLOAD_TIME, |model_spec| load_time(model_spec, tier));
        engine.expected_end = now
            + match action {
                OrderAction::Load(_) => time,
                OrderAction::Unload(_) => time + UNLOAD_TIME,
            };
        engine.incoming_model = Some(incoming);
    }

    /// Plans the adapters of a service and sends the orders.
    pub(super) async fn place_adapters(
        &mut self,
        service: &ServiceId,
        spec: &EngineSpec,
        demand: &BTreeMap<Target, Demand>,
        epoch: Epoch,
    ) {
        let views = self.engine_views(service);
        let actions = plan_adapters(&views, &self.loading_adapters(service), spec, demand);
        let orders = actions.into_iter().map(|(id, action)| match action {
            AdapterAction::Load(model, adapter) => {
                (id, OrderAction::Load(adapter_target(model, adapter)))
            }
            AdapterAction::Unload(model, adapter) => {
                (id, OrderAction::Unload(adapter_target(model, adapter)))
            }
        });
        let orders: Vec<_> = orders.collect();
        if !orders.is_empty() {
            self.issue_orders(orders, epoch).await;
            // An engine gets one order in a round, but there may be more adapters to load on it.
            self.gateway.orders_due.notify_one();
        }
    }

    /// The adapters that the engines of a service are loading.
    fn loading_adapters(&self, service: &ServiceId) -> BTreeMap<UpstreamId, LoadingAdapters> {
        let engines = self
            .engines
            .iter()
            .filter(|(_, e)| e.registration.service == *service);
        engines
            .map(|(id, engine)| (id.clone(), engine.loading_adapters()))
            .collect()
    }
}

/// Sums the demand of each model and its adapters. Requests that wait for an adapter count as
/// waiting for the model only if no engine holds the model.
fn demand_by_model(
    demand: &BTreeMap<Target, Demand>,
    views: &BTreeMap<UpstreamId, EngineView>,
) -> BTreeMap<ModelId, ModelDemand> {
    let mut by_model: BTreeMap<ModelId, ModelDemand> = BTreeMap::new();
    for (target, part) in demand {
        let entry = by_model.entry(target.model.clone()).or_default();
        entry.total.rate += part.rate;
        entry.total.late += part.late;
        if target.adapter.is_some() {
            entry.adapter_rate += part.rate;
            entry.adapters += 1;
        }
        if target.adapter.is_none() || !is_held(views, &target.model) {
            entry.total.waiting += part.waiting;
        }
    }
    by_model
}

fn model_target(model: ModelId) -> Target {
    Target {
        model,
        adapter: None,
    }
}

fn adapter_target(model: ModelId, adapter: AdapterId) -> Target {
    Target {
        model,
        adapter: Some(adapter),
    }
}

fn is_held(views: &BTreeMap<UpstreamId, EngineView>, model: &ModelId) -> bool {
    views
        .values()
        .any(|view| view.inventory.loaded.contains_key(model))
}
