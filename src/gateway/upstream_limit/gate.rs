//! The gate that gives out permits to send requests to upstreams.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use slog::{info, warn};

use super::preference::{Choice, Pool, pools};
use super::table::Statement;
use super::{Decision, GRANT_LIFETIME, SILENCE_PAUSE, Step, VmCounts};
use crate::clock::BootTime;
use crate::gateway::attempt::Attempts;
use crate::gateway::balancer::{self, NoEngine};
use crate::gateway::fleet::service_upstreams;
use crate::gateway::platform_api::LimitSignal;
use crate::gateway::relay::AdmittedRequest;
use crate::gateway::state::Gateway;
use crate::gateway::upstream::{Upstream, UpstreamInstance};
use crate::ids::UpstreamId;
use crate::schema::mesh::{LimitSummary, PermitAsk, PermitRequest, PermitResponse, UpstreamLimit};
use crate::units::RequestRate;

/// Longest wait for the leader's decision before the request goes elsewhere or the ask is repeated.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(60);
/// Times that an ask is sent for a request that can wait.
const ASK_ATTEMPTS: u32 = 4;
/// Upstreams that warm up which a patient request asks for before it turns to the others.
const WARMING_UP_TRIES: usize = 1;

/// Leave to send one request to one upstream, at once; only the gate makes it.
#[derive(Debug)]
pub struct Permit {
    upstream: Upstream,
}

impl Permit {
    /// The upstream that the request may be sent to.
    pub fn upstream(&self) -> &Upstream {
        &self.upstream
    }
}

/// Why a request gets no permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoPermit {
    /// No upstream can serve the request.
    NoEngine(NoEngine),
    /// The upstreams that could serve it take no more requests now; there may be room after this
    /// time.
    Full(Duration),
}

impl AdmittedRequest {
    /// Chooses an upstream that is not in `tried`, and asks for leave to send the request to it.
    /// Where all that could serve it have reached their limits, waits for room, if that is in time.
    ///
    /// # Errors
    ///
    /// [`NoPermit`].
    pub async fn reserve_upstream(&self, tried: &BTreeSet<UpstreamId>) -> Result<Permit, NoPermit> {
        let mut full: Vec<(Duration, Upstream)> = Vec::new();
        let mut missing = NoEngine::Unusable;
        let warming_up = self.warming_up();
        for pool in self.pools(&warming_up, tried) {
            let mut excluded = tried.clone();
            excluded.extend(full.iter().map(|(_, u)| u.registration.id.clone()));
            self.exclude_outside(pool, &warming_up, &mut excluded);
            let most = match pool {
                Pool::WarmingUp => WARMING_UP_TRIES,
                Pool::All | Pool::Warm => usize::MAX,
            };
            for _ in 0..most {
                let upstream = match self.choose_excluding(&excluded) {
                    Ok(upstream) => upstream,
                    Err(none) => {
                        missing = none;
                        break;
                    }
                };
                excluded.insert(upstream.registration.id.clone());
                match self.reserve(&upstream, Duration::ZERO).await {
                    Ok(permit) => return Ok(permit),
                    Err(delay) => full.push((delay, upstream)),
                }
            }
        }
        if full.is_empty() {
            return Err(NoPermit::NoEngine(missing));
        }
        self.note_limited();
        self.wait_for_room(full).await
    }

    /// Asks for leave to send the request to an upstream that it was not sent to, if its route
    /// allows that, or else back to one that it left for silence.
    ///
    /// # Errors
    ///
    /// [`NoPermit`].
    pub(in crate::gateway) async fn reserve_next(
        &self,
        attempts: &Attempts,
    ) -> Result<Permit, NoPermit> {
        let mut fresh = Err(NoPermit::NoEngine(NoEngine::Unusable));
        if attempts.sent < self.route.attempts {
            fresh = self.reserve_upstream(&attempts.tried).await;
        }
        match (fresh, attempts.returnable()) {
            (Err(none), Some(left)) => self.reserve_among(left).await.ok_or(none),
            (fresh, _) => fresh,
        }
    }

    /// Asks for leave to send the request to one of these runs of upstreams.
    async fn reserve_among(&self, instances: &BTreeSet<UpstreamInstance>) -> Option<Permit> {
        let gateway = &self.gateway;
        let upstreams = gateway.upstreams.load();
        let candidates = service_upstreams(&upstreams, &self.service).filter(|upstream| {
            let instance = UpstreamInstance::from(&*upstream.registration);
            instances.contains(&instance)
        });
        let head = &self.request.head;
        let now = gateway.clock.now();
        let none_tried = BTreeSet::new();
        let chosen = balancer::choose_upstream(candidates, head, &gateway.centre, &none_tried, now);
        let upstream = chosen.ok()?.clone();
        drop(upstreams);
        let max_wait = self.longest_queueing(Duration::ZERO);
        let permit = self.reserve(&upstream, max_wait).await.ok()?;
        info!(gateway.log, "request_returns"; "request" => %head.id,
            "upstream" => %upstream.registration.id);
        Some(permit)
    }

    /// The upstreams that are warming up, of all services.
    fn warming_up(&self) -> BTreeSet<UpstreamId> {
        let now = self.gateway.clock.boot();
        self.gateway.upstream_limits().warming_up(now)
    }

    /// The pools of upstreams that the request tries in turn.
    fn pools(&self, warming_up: &BTreeSet<UpstreamId>, tried: &BTreeSet<UpstreamId>) -> Vec<Pool> {
        if warming_up.is_empty() {
            return vec![Pool::All];
        }
        let upstreams = self.gateway.upstreams.load();
        let target = self.request.head.target.as_ref();
        let able = service_upstreams(&upstreams, &self.service).filter(|upstream| {
            let registration = &upstream.registration;
            let serves = target.is_none_or(|target| registration.inventory.can_serve(target));
            serves && !tried.contains(&registration.id)
        });
        let choices = able.map(|upstream| Choice {
            warming_up: warming_up.contains(&upstream.registration.id),
            free: upstream.health.load() < upstream.registration.slots,
        });
        pools(choices, self.route.goal)
    }

    /// Excludes the upstreams that are not in a pool.
    fn exclude_outside(
        &self,
        pool: Pool,
        warming_up: &BTreeSet<UpstreamId>,
        excluded: &mut BTreeSet<UpstreamId>,
    ) {
        match pool {
            Pool::All => {}
            Pool::Warm => excluded.extend(warming_up.iter().cloned()),
            Pool::WarmingUp => {
                let upstreams = self.gateway.upstreams.load();
                let warm = upstreams.keys().filter(|id| !warming_up.contains(*id));
                excluded.extend(warm.cloned());
            }
        }
    }

    /// Whether an upstream names a limit or is warming up, so that a request may find no room
    /// there.
    pub fn is_limited(&self, upstream: &Upstream) -> bool {
        let instance = UpstreamInstance::from(&*upstream.registration);
        let now = self.gateway.clock.boot();
        self.gateway.upstream_limits().is_limited(&instance, now)
    }

    /// Waits for room at one of the upstreams, each with the time after which there may be some.
    async fn wait_for_room(&self, mut full: Vec<(Duration, Upstream)>) -> Result<Permit, NoPermit> {
        full.sort_by_key(|(delay, _)| *delay);
        let clock = &self.gateway.clock;
        let begun = clock.boot();
        let mut delays = Vec::new();
        for (delay, upstream) in full {
            let waited = clock.boot().since(begun);
            let left = self.longest_queueing(waited);
            if left.is_zero() {
                delays.push(delay);
                continue;
            }
            match self.reserve(&upstream, left).await {
                Ok(permit) => return Ok(permit),
                Err(delay) => delays.push(delay),
            }
        }
        let soonest = delays.into_iter().min();
        Err(NoPermit::Full(soonest.unwrap_or(SILENCE_PAUSE)))
    }

    /// Longest time that a request that has `waited` for room may go on: less at a lower priority,
    /// so that the more urgent requests find room.
    fn longest_queueing(&self, waited: Duration) -> Duration {
        let rank = u32::from(self.priority()) + 1;
        let left = self.wait_left(self.gateway.clock.now());
        left.min((super::granter::MAX_AHEAD / rank).saturating_sub(waited))
    }

    /// Reports to the leader that the engines with the request's model cannot take all requests.
    fn note_limited(&self) {
        if let Some(target) = &self.request.head.target {
            let now = self.gateway.clock.now();
            self.gateway.demand().on_late(target, now);
        }
    }

    /// Asks for leave to send the request to an upstream within `max_wait`, and waits until then.
    ///
    /// # Errors
    ///
    /// Time after which there may be room.
    async fn reserve(&self, upstream: &Upstream, max_wait: Duration) -> Result<Permit, Duration> {
        let instance = UpstreamInstance::from(&*upstream.registration);
        let gateway = &self.gateway;
        let asked = gateway.clock.boot();
        let decision = match gateway.request_permit(&instance, max_wait) {
            Step::Decided(decision) => decision,
            Step::Ask(ask) => gateway.ask_leader(ask, max_wait).await,
        };
        match decision {
            Decision::Unlimited => {}
            Decision::Denied(delay) => {
                gateway.counters.permits_denied.inc();
                return Err(delay);
            }
            Decision::Granted(wait) => {
                gateway.counters.permits_granted.inc();
                self.wait_for_grant(upstream, asked, wait).await?;
            }
        }
        // It may have asked for a pause while the request waited.
        let now = gateway.clock.now();
        if let Some(until) = upstream.health.deferred_until(now) {
            return Err(until.saturating_duration_since(now));
        }
        Ok(Permit {
            upstream: upstream.clone(),
        })
    }

    /// Waits for a granted time, and checks that the grant can still be used then.
    async fn wait_for_grant(
        &self,
        upstream: &Upstream,
        asked: BootTime,
        wait: Duration,
    ) -> Result<(), Duration> {
        tokio::time::sleep(wait).await;
        let now = self.gateway.clock.boot();
        let latest = asked.plus(wait + GRANT_LIFETIME);
        if now <= latest && self.still_serves(upstream) {
            return Ok(());
        }
        info!(self.gateway.log, "grant_unused"; "request" => %self.request.head.id,
            "upstream" => %upstream.registration.id, "expired" => now > latest);
        Err(SILENCE_PAUSE)
    }

    /// Whether an upstream is still in use and can serve the request.
    fn still_serves(&self, upstream: &Upstream) -> bool {
        let upstreams = self.gateway.upstreams.load();
        let Some(current) = upstreams.get(&upstream.registration.id) else {
            return false;
        };
        let same_run = current.registration.started_ms == upstream.registration.started_ms;
        let target = self.request.head.target.as_ref();
        let serves = target.is_none_or(|target| current.registration.inventory.can_serve(target));
        same_run && serves
    }
}

impl Gateway {
    /// Records what an upstream stated about its limit in a response to a request sent at `sent`,
    /// and has the other VMs told of a change.
    pub fn on_limit_signal(
        &self,
        instance: &UpstreamInstance,
        signal: LimitSignal,
        sent: BootTime,
    ) {
        let rate = match signal {
            LimitSignal::Unlimited => None,
            LimitSignal::Limited(rate) => Some(rate),
            LimitSignal::Unknown => return,
            LimitSignal::Invalid => {
                self.counters.limits_invalid.inc();
                warn!(self.log, "upstream_limit_invalid"; "upstream" => %instance.id);
                return;
            }
        };
        let received = self.clock.boot();
        let statement = Statement {
            rate,
            sent,
            received,
        };
        let changed = self
            .upstream_limits()
            .on_statement(instance, statement, received);
        if changed {
            let limit = rate.map(RequestRate::per_second);
            info!(self.log, "upstream_limit"; "upstream" => %instance.id, "rate" => limit);
            self.usage_due.notify_one();
        }
    }

    /// Records what other VMs know of limits.
    pub fn on_limit_reports(&self, reports: &[UpstreamLimit]) {
        if reports.is_empty() {
            return;
        }
        let now = self.clock.boot();
        self.upstream_limits().on_reports(reports, now);
    }

    /// What the next usage report tells of limits.
    pub fn limit_report(&self) -> Vec<UpstreamLimit> {
        let now = self.clock.boot();
        self.upstream_limits().report(now)
    }

    /// What this VM, as the leader, tells a VM that has just started.
    pub fn limit_summary(&self) -> Option<LimitSummary> {
        let now = self.clock.boot();
        let limits = self.upstream_limits().summary(now);
        (!limits.is_empty()).then_some(LimitSummary { limits })
    }

    /// Decides on the asks of another VM, if this VM leads.
    pub fn grant_permits(&self, request: PermitRequest) -> Option<PermitResponse> {
        let vms = self.vm_counts();
        let now = self.clock.boot();
        self.upstream_limits().grant(request, vms, now)
    }

    /// Takes the leader's decisions.
    pub fn on_permit_response(&self, response: PermitResponse) {
        let now = self.clock.boot();
        let mut limits = self.upstream_limits();
        for decided in limits.on_response(response, now) {
            limits.asks.decide(decided);
        }
    }

    /// The asks that are to be sent to the leader now.
    pub fn due_asks(&self) -> Vec<PermitAsk> {
        self.upstream_limits().asks.take_due()
    }

    fn request_permit(&self, instance: &UpstreamInstance, max_wait: Duration) -> Step {
        let vms = self.vm_counts();
        let (wall, now) = (self.clock.wall(), self.clock.boot());
        self.upstream_limits()
            .request(instance, max_wait, vms, wall, now)
    }

    /// The VMs as far as they matter for limits.
    fn vm_counts(&self) -> VmCounts {
        let reachability = self.reachability();
        let least = reachability.most_vms();
        VmCounts {
            known: reachability.vms,
            reachable: reachability.reachable,
            part: self.upstream_limits().roster.part(&self.vm, least),
        }
    }

    /// Has an ask sent to the leader, more than once if the request can wait, and waits for the
    /// decision.
    async fn ask_leader(self: &Arc<Self>, ask: PermitAsk, max_wait: Duration) -> Decision {
        let _guard = AskGuard {
            gateway: self,
            ask: &ask,
        };
        let attempts = if max_wait.is_zero() { 1 } else { ASK_ATTEMPTS };
        for _ in 0..attempts {
            let decision = self.upstream_limits().asks.send(ask.number);
            self.asks_due.notify_one();
            if let Ok(Ok(decision)) = tokio::time::timeout(ANSWER_TIMEOUT, decision).await {
                return decision;
            }
        }
        info!(self.log, "leader_silent"; "upstream" => %ask.limit.upstream);
        let now = self.clock.boot();
        self.upstream_limits().on_silence(&ask, now);
        Decision::Denied(SILENCE_PAUSE)
    }
}

/// Forgets an ask when its request ends or has its decision.
#[derive(Debug)]
struct AskGuard<'a> {
    gateway: &'a Gateway,
    ask: &'a PermitAsk,
}

impl Drop for AskGuard<'_> {
    fn drop(&mut self) {
        self.gateway.upstream_limits().close_ask(self.ask);
    }
}
