//! Sends orders to engines, and applies their responses.

use std::sync::Arc;
use std::time::Duration;

use slog::info;
use tokio::task::JoinSet;

use super::{Controller, ENGINE_TIMEOUT};
use crate::gateway::platform_api::{ControlError, ControlReply, Order, OrderAction, OrderResponse};
use crate::gateway::request::Target;
use crate::ids::{Epoch, UpstreamId};
use crate::schema::mesh::InventoryUpdate;

/// Time between the notice to the other VMs that a model is being unloaded and the order to unload
/// it, so that no request for the model is on its way to the engine any more.
const NOTICE_LEAD: Duration = Duration::from_millis(40);
/// Time for an engine to load an adapter.
const ADAPTER_LOAD_TIME: Duration = Duration::from_millis(15);

impl Controller {
    /// Sends the loads at once, and the unloads after a notice to all VMs, whose requests must not
    /// go to a model that is being unloaded.
    pub(super) async fn issue_orders(
        &mut self,
        orders: Vec<(UpstreamId, OrderAction)>,
        epoch: Epoch,
    ) {
        let (loads, unloads): (Vec<_>, Vec<_>) = orders
            .into_iter()
            .partition(|(_, action)| matches!(action, OrderAction::Load(_)));
        self.send_orders(loads, epoch).await;
        let updates = unloads.iter().filter_map(|(id, action)| {
            let (OrderAction::Load(target) | OrderAction::Unload(target)) = action;
            self.inventory_update(id, target, false)
        });
        let updates: Vec<_> = updates.collect();
        if !updates.is_empty() {
            self.mesh.broadcast_updates(epoch, updates).await;
            tokio::time::sleep(NOTICE_LEAD).await;
            self.send_orders(unloads, epoch).await;
        }
    }

    /// Sends orders to several engines concurrently, unless this VM is no longer the leader.
    async fn send_orders(&mut self, orders: Vec<(UpstreamId, OrderAction)>, epoch: Epoch) {
        let boot = self.gateway.clock.boot();
        if self.leadership.epoch(boot) != Some(epoch) {
            return;
        }
        let mut sends = JoinSet::new();
        for (id, action) in orders {
            let Some(engine) = self.engines.get(&id) else {
                continue;
            };
            let Some(report) = &engine.report else {
                continue;
            };
            let order = Order {
                action,
                expected_orders: report.accepted_orders,
                holder: self.gateway.vm.clone(),
                epoch,
            };
            let at = engine.registration.address;
            let engine_client = Arc::clone(&self.engine_client);
            sends.spawn(async move {
                let response = engine_client.send_order(at, &id, &order);
                let reply = tokio::time::timeout(ENGINE_TIMEOUT, response).await;
                let silent = |_late| ControlReply::failed(ControlError::Silent);
                (id, order, reply.unwrap_or_else(silent))
            });
        }
        while let Some(done) = sends.join_next().await {
            // A failed task has no response; the engine's next report shows its state.
            if let Ok((id, order, reply)) = done {
                self.apply_response(&id, &order, reply.outcome);
                self.apply_signals(&id, reply.signals);
            }
        }
    }

    fn apply_response(
        &mut self,
        id: &UpstreamId,
        order: &Order,
        response: Result<OrderResponse, ControlError>,
    ) {
        let now = self.gateway.clock.now();
        let Some(engine) = self.engines.get_mut(id) else {
            return;
        };
        self.gateway.counters.orders.inc();
        info!(self.gateway.log, "order_given"; "engine" => %id, "act" => %order.action,
            "after" => order.expected_orders, "epoch" => %order.epoch, "answer" => ?response);
        engine.apply_response(&order.action, response, now);
        let held = engine.registration.inventory.clone();
        if response == Ok(OrderResponse::Fenced) {
            self.leadership.on_fenced();
        }
        let OrderAction::Load(target) = &order.action else {
            return;
        };
        let succeeded = matches!(response, Ok(OrderResponse::Accepted | OrderResponse::Holds));
        if succeeded && target.adapter.is_some() && !held.can_serve(target) {
            self.announce_adapter(id, target, order.epoch);
        }
    }

    /// Announces to all VMs that an engine holds an adapter, after the time that the load takes.
    fn announce_adapter(&self, id: &UpstreamId, target: &Target, epoch: Epoch) {
        let Some(update) = self.inventory_update(id, target, true) else {
            return;
        };
        let mesh = Arc::clone(&self.mesh);
        tokio::spawn(async move {
            tokio::time::sleep(ADAPTER_LOAD_TIME).await;
            mesh.broadcast_updates(epoch, vec![update]).await;
        });
    }

    fn inventory_update(
        &self,
        id: &UpstreamId,
        target: &Target,
        present: bool,
    ) -> Option<InventoryUpdate> {
        let engine = self.engines.get(id)?;
        Some(InventoryUpdate {
            engine: id.clone(),
            born: engine.registration.started_ms,
            model: target.model.clone(),
            adapter: target.adapter.clone(),
            present,
        })
    }
}
