//! What the leader knows of one engine: its newest report and the order that it is carrying out.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::ids::{ModelId, UpstreamId};
use crate::schema::mesh::InventoryUpdate;

use super::adapter_placement::LoadingAdapters;
use super::placement::{self, EngineView, StorageTier};
use super::platform_api::{ControlError, EngineReport, OrderAction, OrderResponse};
use super::upstream::Registration;

/// Interval between two polls of an engine that is carrying out an order.
const BUSY_POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Delay before an engine is polled again after a poll or an order failed.
pub(super) const RETRY_DELAY: Duration = Duration::from_millis(500);
/// Time expected for an order that another VM sent and whose kind is unknown; it lies between a
/// load from disk and one from the weight store.
const UNKNOWN_ORDER_TIME: Duration = Duration::from_secs(2);
/// Interval between two messages to the other VMs that a model is being unloaded.
const UNLOAD_NOTICE_INTERVAL: Duration = Duration::from_millis(400);

/// State of one engine, as the leader knows it.
#[derive(Debug)]
pub(super) struct EngineState {
    pub(super) registration: Arc<Registration>,
    /// The newest report, with the effects of later orders where they are known.
    pub(super) report: Option<EngineReport>,
    /// Whether an order may have been accepted that the report does not show yet.
    pub(super) stale: bool,
    /// When the engine is polled next; `None` while nothing is expected to change.
    pub(super) next_poll: Option<Instant>,
    /// The order that the engine is carrying out.
    pub(super) current_order: Option<OrderAction>,
    /// The model that the engine is loading, or is unloading others for.
    pub(super) incoming_model: Option<ModelId>,
    /// When the current order is expected to have been carried out.
    pub(super) expected_end: Instant,
    /// When each model was loaded, where this VM observed it.
    pub(super) held_since: BTreeMap<ModelId, Instant>,
    /// Models that were loaded and not announced to the other VMs yet.
    pub(super) unannounced: Vec<ModelId>,
    /// When the last notice was sent that a model is being unloaded.
    pub(super) unload_notice: Option<Instant>,
    /// Time before which the engine wants neither polls nor orders.
    deferred: Option<Instant>,
}

impl EngineState {
    /// Creates the state of an engine that has not been polled yet.
    pub(super) fn open(registration: Arc<Registration>, now: Instant) -> Self {
        Self {
            registration,
            report: None,
            stale: true,
            next_poll: Some(now),
            current_order: None,
            incoming_model: None,
            expected_end: now,
            held_since: BTreeMap::new(),
            unannounced: Vec::new(),
            unload_notice: None,
            deferred: None,
        }
    }

    /// Neither polls the engine nor sends it orders before `until`, because it asked for that.
    pub(super) fn defer(&mut self, until: Instant) {
        self.deferred = self.deferred.max(Some(until));
    }

    /// Whether the engine wants neither polls nor orders now.
    pub(super) fn is_deferred(&self, now: Instant) -> bool {
        self.deferred.is_some_and(|until| now < until)
    }

    /// Returns the update that a model is being unloaded, if it is due to be sent again.
    pub(super) fn repeat_unload(
        &mut self,
        id: &UpstreamId,
        now: Instant,
    ) -> Option<InventoryUpdate> {
        let Some(OrderAction::Unload(target)) = &self.current_order else {
            return None;
        };
        if self
            .unload_notice
            .is_some_and(|at| now < at + UNLOAD_NOTICE_INTERVAL)
        {
            return None;
        }
        self.unload_notice = Some(now);
        Some(InventoryUpdate {
            engine: id.clone(),
            born: self.registration.started_ms,
            model: target.model.clone(),
            adapter: target.adapter.clone(),
            present: false,
        })
    }

    /// The engine as the planner sees it; the caller fills in the running requests.
    pub(super) fn view(&self, now: Instant) -> EngineView {
        let report = self.report.as_ref();
        EngineView {
            slots: self.registration.slots,
            inventory: report.map_or_else(
                || self.registration.inventory.clone(),
                |r| r.inventory.clone(),
            ),
            busy: self.stale
                || report.is_none_or(|r| r.busy)
                || self.current_order.is_some()
                || self.is_deferred(now),
            busy_time: placement::remaining_time(self.expected_end, now),
            incoming_model: self.incoming_model.clone(),
            held_since: self.held_since.clone(),
            running_requests: BTreeMap::new(),
        }
    }

    /// The adapters that the engine is loading.
    pub(super) fn loading_adapters(&self) -> LoadingAdapters {
        let loading = self.report.iter().flat_map(|r| r.loading.iter());
        let pairs = loading.filter_map(|t| Some((t.model.clone(), t.adapter.clone()?)));
        LoadingAdapters(pairs.collect::<BTreeSet<_>>())
    }

    /// Whether the engine is loading a model from the weight store.
    pub(super) fn loads_remotely(&self) -> bool {
        let Some(OrderAction::Load(target)) = &self.current_order else {
            return false;
        };
        let report = self.report.as_ref();
        target.adapter.is_none()
            && report.is_some_and(|r| {
                placement::storage_tier(&r.inventory, &target.model) == StorageTier::Remote
            })
    }

    /// Applies a report, unless it is older than the last accepted order or comes from another run
    /// of the engine; the engine is then polled again.
    pub(super) fn apply_report(&mut self, report: EngineReport, now: Instant) {
        if report
            .started_ms
            .is_some_and(|started_ms| started_ms != self.registration.started_ms)
        {
            self.next_poll = Some(now + RETRY_DELAY);
            return;
        }
        let known = self.report.as_ref().map_or(0, |r| r.accepted_orders);
        if report.accepted_orders < known {
            self.next_poll = Some(now + BUSY_POLL_INTERVAL);
            return;
        }
        let was_busy = self.report.as_ref().is_some_and(|r| r.busy);
        if report.busy && !was_busy && self.current_order.is_none() {
            self.expected_end = now + UNKNOWN_ORDER_TIME;
        }
        for model in report.inventory.loaded.keys() {
            let before = self.report.as_ref();
            if before.is_some_and(|r| !r.inventory.loaded.contains_key(model)) {
                self.held_since.insert(model.clone(), now);
                self.unannounced.push(model.clone());
            }
        }
        self.held_since
            .retain(|model, _| report.inventory.loaded.contains_key(model));
        if !report.busy {
            self.current_order = None;
        }
        let is_loaded = |model: &ModelId| report.inventory.loaded.contains_key(model);
        if self.incoming_model.as_ref().is_some_and(is_loaded) {
            self.incoming_model = None;
        }
        self.stale = false;
        let changing = report.busy || !report.loading.is_empty();
        self.next_poll = changing.then(|| now + BUSY_POLL_INTERVAL);
        self.report = Some(report);
    }

    /// Applies the engine's response to an order.
    pub(super) fn apply_response(
        &mut self,
        action: &OrderAction,
        response: Result<OrderResponse, ControlError>,
        now: Instant,
    ) {
        let Some(report) = &mut self.report else {
            return;
        };
        match response {
            Ok(OrderResponse::Accepted | OrderResponse::Holds) => {
                // An adapter that no request uses is unloaded at once, so the response is `Holds`,
                // but the engine counts the order as accepted.
                let unloaded =
                    matches!(action, OrderAction::Unload(target) if target.adapter.is_some());
                if response == Ok(OrderResponse::Accepted) || unloaded {
                    report.accepted_orders += 1;
                }
                match action {
                    OrderAction::Load(target) | OrderAction::Unload(target)
                        if target.adapter.is_none() =>
                    {
                        self.current_order = Some(action.clone());
                        self.next_poll = Some(now + BUSY_POLL_INTERVAL);
                    }
                    OrderAction::Load(target) => {
                        let adapters = report.inventory.loaded.get_mut(&target.model);
                        if let (Some(adapters), Some(a)) = (adapters, &target.adapter) {
                            adapters.insert(a.clone());
                        }
                        self.next_poll = Some(now + BUSY_POLL_INTERVAL);
                    }
                    OrderAction::Unload(target) => {
                        let adapters = report.inventory.loaded.get_mut(&target.model);
                        if let (Some(adapters), Some(a)) = (adapters, &target.adapter) {
                            adapters.remove(a);
                        }
                        self.next_poll = Some(now + BUSY_POLL_INTERVAL);
                    }
                }
            }
            // Only a report shows whether the order was accepted, or which order came before it.
            Ok(OrderResponse::Conflict) | Err(ControlError::Silent | ControlError::Malformed) => {
                self.stale = true;
                self.current_order = Some(action.clone());
                self.next_poll = Some(now);
            }
            Ok(
                OrderResponse::Fenced
                | OrderResponse::Invalid
                | OrderResponse::Elsewhere
                | OrderResponse::Refused,
            )
            | Err(ControlError::Unreachable) => {
                self.next_poll = Some(now + RETRY_DELAY);
                self.stale = true;
            }
        }
    }
}
