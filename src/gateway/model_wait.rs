//! Requests that wait for a model or an adapter to be loaded, or for an engine to accept requests
//! of this VM again.
//!
//! A request waits only if the wait can end before its caller gives up. Otherwise it is refused
//! at once, with the time that the load takes, or that the engine asked for, as the retry delay.

use std::time::{Duration, Instant};

use slog::info;

use crate::outcome::{Ran, Reason, Refusal};

use super::attempt::Attempts;
use super::balancer::NoEngine;
use super::configuration::{Route, RouteKind};
use super::fleet::service_upstreams;
use super::placement;
use super::relay::{AdmittedRequest, CAPACITY_RETRY};
use super::request::Target;
use super::state::Gateway;

/// Least time that the caller of a stream waits for the first event before it gives up.
const MIN_GIVE_UP: Duration = Duration::from_secs(2);
/// Least such time as a multiple of the route's goal for the first event.
const GIVE_UP_GOALS: u32 = 4;
/// Least such time as a multiple of the route's goal for the gap between two events.
const GIVE_UP_GAPS: u32 = 8;
/// Time before the caller gives up at which its request is refused, so that the caller receives the
/// refusal and can retry.
const REFUSAL_MARGIN: Duration = Duration::from_millis(300);
/// Time in addition to the load itself until an order has reached the engine and its outcome is
/// known here.
const ORDER_TIME: Duration = Duration::from_millis(150);

impl AdmittedRequest {
    /// Waits until an engine holds the model or adapter that the request asks for.
    ///
    /// # Errors
    ///
    /// A refusal if the load would take too long, or has not finished in time.
    pub(super) async fn wait_for_model(&self, attempts: &Attempts) -> Result<(), Refusal> {
        let gateway = &self.gateway;
        let Some(target) = &self.request.head.target else {
            return Err(attempts
                .refusal(Reason::Capacity)
                .retry_after(CAPACITY_RETRY));
        };
        if gateway.read_fleet(|fleet| fleet.is_closed(&self.service)) {
            info!(gateway.log, "service_closed"; "request" => %self.request.head.id);
            let refusal = attempts.refusal(Reason::Capacity);
            return Err(refuse_after(refusal, CAPACITY_RETRY));
        }
        let wait_start = gateway.clock.now();
        let load = self.load_time(target);
        let refuse = |reason| match attempts.refusal(reason) {
            refusal if refusal.ran == Ran::No => refusal.retry_after(load),
            refusal => refusal,
        };
        if load > self.wait_left(wait_start) {
            info!(gateway.log, "model_too_far"; "request" => %self.request.head.id,
                "target" => %target, "load_ms" => load.as_millis() as u64);
            return Err(refuse(Reason::Capacity));
        }
        let _guard = WaitGuard::open(gateway, target);
        loop {
            let changed = gateway.upstreams_changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            let missing = self.choose_upstream(attempts).err();
            let now = gateway.clock.now();
            if let Some(delay) = self.quarantine_delay() {
                return Err(refuse_held(attempts, delay));
            }
            if !matches!(missing, Some(NoEngine::NoModel | NoEngine::NoAdapter)) {
                let waited = now.saturating_duration_since(wait_start);
                info!(gateway.log, "model_waited"; "request" => %self.request.head.id,
                    "target" => %target, "waited_ms" => waited.as_millis() as u64);
                gateway.gauges.observe_wait(waited, true);
                return Ok(());
            }
            let left = self.wait_left(now);
            if left.is_zero() {
                info!(gateway.log, "model_not_loaded"; "request" => %self.request.head.id,
                    "target" => %target, "missing" => ?missing);
                let waited = gateway.clock.now().saturating_duration_since(wait_start);
                gateway.gauges.observe_wait(waited, false);
                return Err(refuse(Reason::Deadline));
            }
            let _woken = tokio::time::timeout(left, changed).await;
        }
    }

    /// Waits until `until`, when an upstream accepts requests of this VM again, or until the
    /// upstreams in use change.
    ///
    /// # Errors
    ///
    /// A refusal if the caller gives up before.
    pub(super) async fn wait_for_deferred(
        &self,
        until: Instant,
        attempts: &Attempts,
    ) -> Result<(), Refusal> {
        let gateway = &self.gateway;
        let now = gateway.clock.now();
        let delay = until.saturating_duration_since(now);
        if !waits_for_deferred(delay, self.wait_left(now)) {
            info!(gateway.log, "upstreams_deferred"; "request" => %self.request.head.id,
                "delay_ms" => delay.as_millis() as u64);
            let refusal = attempts.refusal(Reason::Capacity);
            return Err(match refusal.ran {
                Ran::No => refusal.retry_after(delay),
                _ => refusal,
            });
        }
        let changed = gateway.upstreams_changed.notified();
        let _woken = tokio::time::timeout(delay, changed).await;
        Ok(())
    }

    /// Time that the request can still wait so that its caller receives the answer or a refusal.
    pub(super) fn wait_left(&self, now: Instant) -> Duration {
        let end = self.time.end();
        let give_up_at =
            give_up_time(&self.route).map_or(end, |time| end.min(self.time.started + time));
        let plan = self.gateway.stop_plan();
        let until = plan.map_or(give_up_at, |plan| give_up_at.min(plan.waits));
        until.saturating_duration_since(now + REFUSAL_MARGIN)
    }

    /// The shortest time in which some engine can load the model or adapter.
    fn load_time(&self, target: &Target) -> Duration {
        let configuration = self.gateway.configuration.load();
        let spec = configuration
            .as_ref()
            .and_then(|c| c.engine_spec(&self.service));
        let Some(model) = spec.and_then(|s| s.models.get(&target.model)) else {
            return ORDER_TIME;
        };
        let upstreams = self.gateway.upstreams.load();
        let times = service_upstreams(&upstreams, &self.service).map(|upstream| {
            let inventory = &upstream.registration.inventory;
            if inventory.loaded.contains_key(&target.model) {
                return Duration::ZERO;
            }
            placement::load_time(model, placement::storage_tier(inventory, &target.model))
        });
        times.min().unwrap_or(model.remote_time) + ORDER_TIME
    }
}

fn refuse_after(refusal: Refusal, delay: Duration) -> Refusal {
    match refusal.ran {
        Ran::No => refusal.retry_after(delay),
        _ => refusal,
    }
}

/// The refusal of a request that is held back for `delay`.
fn refuse_held(attempts: &Attempts, delay: Duration) -> Refusal {
    match attempts.refusal(Reason::Quarantined) {
        refusal if refusal.ran == Ran::No => refusal.retry_after(delay),
        refusal => refusal,
    }
}

/// Whether a request waits for an upstream that accepts requests again after `delay`, if it can
/// wait for `left`. Otherwise it is refused at once, so that its caller comes back in time.
pub fn waits_for_deferred(delay: Duration, left: Duration) -> bool {
    delay < left
}

/// Time after which the caller of a stream gives up waiting for the response to begin; `None` for
/// other requests, whose callers wait for all their time.
pub(super) fn give_up_time(route: &Route) -> Option<Duration> {
    let RouteKind::Streaming { gap, .. } = route.kind else {
        return None;
    };
    let goals = route.goal * GIVE_UP_GOALS;
    Some(MIN_GIVE_UP.max(goals).max(gap * GIVE_UP_GAPS))
}

/// Counts a request as waiting for `target` until it is dropped.
#[derive(Debug)]
struct WaitGuard<'a> {
    gateway: &'a Gateway,
    target: &'a Target,
}

impl<'a> WaitGuard<'a> {
    /// Counts the request; the first that waits for `target` makes this VM report its demand and
    /// the controller plan at once.
    fn open(gateway: &'a Gateway, target: &'a Target) -> Self {
        let now = gateway.clock.now();
        if gateway.demand().on_wait(target, now) {
            gateway.demand_due.notify_one();
            gateway.orders_due.notify_one();
        }
        Self { gateway, target }
    }
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        self.gateway.demand().on_wait_end(self.target);
    }
}
