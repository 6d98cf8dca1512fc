//! Requests that wait for a model or an adapter, when rare models are asked for at once.
//!
//! A request waits only where the load can be over before its caller leaves; else it is refused at
//! once, with the time that a load takes.

use std::time::Duration;

use slog::info;

use crate::outcome::{Ran, Reason, Refusal};

use super::balancer::NoEngine;
use super::call::Target;
use super::configuration::{Route, RouteKind};
use super::fleet::service_upstreams;
use super::placement;
use super::relay::{PLACE_RETRY, Task, Tries};
use super::state::Gateway;

/// Callers of a stream leave after two seconds without an event, or this many objectives, or this
/// many of the longest pauses, whichever is longest.
const LEAST_PATIENCE: Duration = Duration::from_secs(2);
const PATIENCE_GOALS: u32 = 4;
const PATIENCE_GAPS: u32 = 8;
/// A caller that hears this much before it would leave can come back in its turn.
const PATIENCE_MARGIN: Duration = Duration::from_millis(300);
/// Time for an order to reach an engine and its outcome to be heard, beside the load itself.
const ORDER_TIME: Duration = Duration::from_millis(150);

impl Task {
    /// Waits until an engine holds what is asked for.
    pub(super) async fn wait_for_model(&self, tries: &Tries) -> Result<(), Refusal> {
        let gateway = &self.gateway;
        let Some(target) = &self.whole.call.target else {
            return Err(tries.refusal(Reason::Capacity).retry_after(PLACE_RETRY));
        };
        let leaves = self.deadline.min(self.began + patience(&self.route));
        let mut until = leaves.checked_sub(PATIENCE_MARGIN).unwrap_or(leaves);
        let begun = gateway.clock.now();
        let load = self.load_time(target);
        let refuse = |reason| match tries.refusal(reason) {
            refusal if refusal.ran == Ran::No => refusal.retry_after(load),
            refusal => refusal,
        };
        if begun + load > until {
            info!(gateway.log, "model_too_far"; "request" => %self.whole.call.id,
                "target" => %target, "load_ms" => load.as_millis() as u64);
            return Err(refuse(Reason::Capacity));
        }
        let _waiting = Waiting::begin(gateway, target);
        loop {
            let changed = gateway.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            let missing = self.choose(tries).err();
            let now = gateway.clock.now();
            if let Some(stop) = gateway.stop() {
                until = until.min(stop);
            }
            if !matches!(missing, Some(NoEngine::NoModel | NoEngine::NoAdapter)) {
                let waited = now.saturating_duration_since(begun);
                info!(gateway.log, "model_waited"; "request" => %self.whole.call.id,
                    "target" => %target, "waited_ms" => waited.as_millis() as u64);
                gateway.gauges.observe_wait(waited, true);
                return Ok(());
            }
            let left = until.saturating_duration_since(now);
            if left.is_zero() || tokio::time::timeout(left, changed).await.is_err() {
                info!(gateway.log, "model_not_loaded"; "request" => %self.whole.call.id,
                    "target" => %target, "missing" => ?missing);
                let waited = gateway.clock.now().saturating_duration_since(begun);
                gateway.gauges.observe_wait(waited, false);
                return Err(refuse(Reason::Deadline));
            }
        }
    }

    /// The least time until an engine could hold what is asked for.
    fn load_time(&self, target: &Target) -> Duration {
        let table = self.gateway.table.load();
        let engines = table.as_ref().and_then(|t| t.engine_spec(&self.service));
        let Some(model) = engines.and_then(|e| e.models.get(&target.model)) else {
            return ORDER_TIME;
        };
        let upstreams = self.gateway.upstreams.load();
        let times = service_upstreams(&upstreams, &self.service).map(|upstream| {
            let holds = &upstream.entry.holds;
            if holds.models.contains_key(&target.model) {
                return Duration::ZERO;
            }
            placement::load_time(model, placement::storage_tier(holds, &target.model))
        });
        times.min().unwrap_or(model.remote_time) + ORDER_TIME
    }
}

/// How long a caller waits for the first event.
fn patience(route: &Route) -> Duration {
    match route.kind {
        RouteKind::Streaming { gap, .. } => LEAST_PATIENCE
            .max(route.goal * PATIENCE_GOALS)
            .max(gap * PATIENCE_GAPS),
        _ => route.timeout,
    }
}

/// Counts a waiting request while it lives.
#[derive(Debug)]
struct Waiting<'a> {
    gateway: &'a Gateway,
    target: &'a Target,
}

impl<'a> Waiting<'a> {
    fn begin(gateway: &'a Gateway, target: &'a Target) -> Self {
        let now = gateway.clock.now();
        if gateway.demand().on_wait(target, now) {
            gateway.wants_due.notify_one();
            gateway.orders_due.notify_one();
        }
        Self { gateway, target }
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.gateway.demand().on_wait_end(self.target);
    }
}
