//! Handles a request from its head to the start of its response: authentication, the account's
//! quota, the choice of an upstream, and the sequence of attempts ([`super::attempt`]).

use std::collections::BTreeSet;
use std::ops::Range;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::header::{CONNECTION, HeaderValue, TRANSFER_ENCODING};
use http::{Request, Response};
use hyper::body::Incoming;
use rand::RngExt;
use slog::{info, warn};
use thiserror::Error;

use crate::ids::{RequestDigest, ServiceId, UpstreamId};
use crate::outcome::{Ran, Reason, Refusal};
use crate::units::Tokens;

use super::attempt::Attempts;
use super::balancer::{self, NoEngine};
use super::caller_limit::NoRoom;
use super::caller_limit::buffer::{self, BodyError};
use super::caller_limit::metrics::Lack;
use super::configuration::{Account, Configuration, Missing, Route, RouteKey, RouteKind};
use super::connection::CallerConnection;
use super::fleet::service_upstreams;
use super::framing::RawHead;
use super::request::{BufferedRequest, KeptBody, RequestHead, Size};
use super::request_digest::request_digest;
use super::request_time::RequestTime;
use super::response::{self, CallerBody};
use super::retry_budget::Payment;
use super::state::Gateway;
use super::upstream::Upstream;
use super::upstream_limit::gate::NoPermit;

/// `Retry-After` of a VM that is not ready; by then the balancer sends the caller to another VM.
const NOT_READY_RETRY: Duration = Duration::from_millis(200);
/// `Retry-After` where no upstream has capacity.
pub(super) const CAPACITY_RETRY: Duration = Duration::from_millis(300);
/// Random factor on the time after which an upstream has room, so that the callers that it has no
/// room for don't come back together.
const RETURN_SPREAD: Range<f64> = 1.0..2.0;

/// Error that aborts a response body, so that the caller does not take it for complete.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("the response was aborted")]
pub struct ResponseAborted;

/// A request that passed authentication and its account's quota.
#[derive(Debug)]
pub struct AdmittedRequest {
    /// State of this VM.
    pub gateway: Arc<Gateway>,
    /// The request itself.
    pub request: BufferedRequest,
    /// Digest of the whole request.
    pub digest: RequestDigest,
    /// Route that its host and path match.
    pub route: Arc<Route>,
    /// Service chosen among the targets of the route.
    pub service: ServiceId,
    /// Client account of its key; absent where no key is required.
    pub account: Option<Arc<Account>>,
    /// The time that it has.
    pub time: Arc<RequestTime>,
    /// When it was read to its end.
    pub complete: Instant,
    /// Connection of its caller.
    pub connection: Arc<CallerConnection>,
}

/// Handles a request; `raw_head` holds the raw bytes of its head.
pub async fn handle_request(
    gateway: &Arc<Gateway>,
    connection: &Arc<CallerConnection>,
    request: Request<Incoming>,
    raw_head: &RawHead,
) -> Response<CallerBody> {
    let response = respond(gateway, connection, request, raw_head).await;
    response.map(|body| connection.watch_body(body))
}

async fn respond(
    gateway: &Arc<Gateway>,
    connection: &Arc<CallerConnection>,
    request: Request<Incoming>,
    raw_head: &RawHead,
) -> Response<CallerBody> {
    let (parts, body) = request.into_parts();
    let chunked = parts.headers.contains_key(TRANSFER_ENCODING);
    let conflicting = chunked && raw_head.has_content_length();
    let head = match gateway.dialect.read_request(&parts) {
        Ok(head) if !conflicting => head,
        Ok(_) => return response::refusal_response(&Refusal::not_run(Reason::Malformed)),
        Err(fault) => {
            if gateway.may_log() {
                warn!(gateway.log, "request_malformed"; "fault" => %fault);
            }
            return response::refusal_response(&Refusal::not_run(Reason::Malformed));
        }
    };
    let id = head.id.clone();
    connection.set_request(&id);
    let started = gateway.clock.now();
    let outcome = admit(gateway, connection, head, body, started).await;
    let spent = gateway.clock.now().saturating_duration_since(started);
    let mut response = match outcome {
        Ok(response) => {
            gateway.edge_metrics.answered(response.status(), spent);
            response
        }
        Err(refusal) => {
            gateway.edge_metrics.refused(refusal.reason, spent);
            if !caused_by_caller(refusal.reason) || gateway.may_log() {
                info!(gateway.log, "request_refused"; "request" => %id, "reason" => %refusal.reason,
                    "ran" => ?refusal.ran, "spent_ms" => spent.as_millis() as u64,
                    "retry_ms" => refusal.retry.map(|wait| wait.as_millis() as u64));
            }
            let mut response = response::refusal_response(&refusal);
            response
                .headers_mut()
                .extend(gateway.dialect.id_headers(&id));
            response
        }
    };
    // What follows a chunked body may be a smuggled request, so the connection is not reused.
    if chunked || !gateway.is_ready() || connection.closes_after_response() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response
}

/// Whether callers can cause refusals with this reason as often as they like.
fn caused_by_caller(reason: Reason) -> bool {
    matches!(
        reason,
        Reason::Malformed
            | Reason::TooLarge
            | Reason::Unauthorized
            | Reason::UnknownRoute
            | Reason::Timeout
            | Reason::Capacity
    )
}

/// Authenticates a request, takes its tokens from the account's quota and runs it; the tokens are
/// returned if it did not run.
async fn admit(
    gateway: &Arc<Gateway>,
    connection: &Arc<CallerConnection>,
    head: RequestHead,
    body: Incoming,
    started: Instant,
) -> Result<Response<CallerBody>, Refusal> {
    // Kept if the next line refuses the request, so that a stop waits for the refusal; otherwise the
    // next guard replaces it.
    connection.keep_guard(gateway.running.hold());
    connection.keep_guard(gateway.running.try_start(usize::MAX)?);
    let configuration = gateway.configuration.load_full();
    let configuration = configuration.ok_or_else(not_ready)?;
    // With a configuration that may be outdated, a withdrawn key could be accepted and a new one
    // rejected.
    if configuration.keys.is_some() && !gateway.keys_trusted() {
        return Err(not_ready());
    }
    let found = configuration.route(&head.host, head.uri.path());
    let route = found.map_err(|missing| refuse_missing(missing, Reason::UnknownRoute))?;
    let account = authenticate(&configuration, route, &head)?;
    connection.set_outlives_end(route.kind == RouteKind::Mutating);
    let draw = balancer::stable_hash(head.id.as_str().as_bytes(), 0);
    let service = route.service(draw).ok_or_else(not_ready)?.clone();
    let time = gateway.request_time(started, &head, route);
    connection.set_time(Arc::clone(&time));
    let name = account.as_ref().map(|account| &account.name);
    let needed = gateway.time_needed(route);
    let placed = gateway.before_stop(needed, connection.slot.start(name));
    placed
        .await?
        .map_err(|NoRoom| no_room(gateway, Lack::Request))?;
    let max_bytes = configuration.bounds.body_bytes;
    let read = read_body(gateway, connection, body, max_bytes, &time);
    let body = gateway.before_stop(needed, read).await??;
    let digest = request_digest(name, &head, &body);
    if let Some(delay) = gateway.quarantine_delay(head.shared_parts(), digest) {
        return Err(Refusal::not_run(Reason::Quarantined).retry_after(delay));
    }
    let size = head.size.map(Size::total);
    let tokens = account.as_ref().map_or(Tokens::ZERO, |a| a.cost(size));
    if let Some(account) = &account {
        gateway
            .admit(account, route.priority, tokens)
            .map_err(|wait| Refusal::not_run(Reason::OverRate).retry_after(wait))?;
    }
    let admitted = AdmittedRequest {
        gateway: Arc::clone(gateway),
        route: Arc::clone(route),
        service,
        account: account.clone(),
        time,
        complete: gateway.clock.now(),
        request: BufferedRequest {
            head,
            body: KeptBody::new(body),
        },
        digest,
        connection: Arc::clone(connection),
    };
    let outcome = Arc::new(admitted).run().await;
    if let (Err(refusal), Some(account)) = (&outcome, &account)
        && refusal.ran == Ran::No
    {
        gateway.refund_tokens(account, tokens);
    }
    outcome
}

fn not_ready() -> Refusal {
    Refusal::not_run(Reason::NotReady).retry_after(NOT_READY_RETRY)
}

/// The refusal of a request for which the configuration names no route or account; `reason` is for
/// one that no entry may allow.
fn refuse_missing(missing: Missing, reason: Reason) -> Refusal {
    match missing {
        Missing::Unknown => Refusal::not_run(reason),
        Missing::Unreadable => not_ready(),
    }
}

fn authenticate(
    configuration: &Configuration,
    route: &Route,
    head: &RequestHead,
) -> Result<Option<Arc<Account>>, Refusal> {
    if configuration.keys.is_none() {
        return Ok(None);
    }
    let key = head.key.as_ref().ok_or(Missing::Unknown);
    match key.and_then(|key| configuration.account(key)) {
        Ok(account) => Ok(Some(Arc::clone(account))),
        Err(Missing::Unknown) if route.public => Ok(None),
        Err(missing) => Err(refuse_missing(missing, Reason::Unauthorized)),
    }
}

/// Reads the body of a request, which must not be sent if this fails.
async fn read_body(
    gateway: &Gateway,
    connection: &CallerConnection,
    body: Incoming,
    max_bytes: usize,
    time: &RequestTime,
) -> Result<Bytes, Refusal> {
    let read = async {
        let body = buffer::read_body(&connection.slot, body, max_bytes).await?;
        connection.slot.finish_body()?;
        Ok(body)
    };
    let read = tokio::select! {
        biased;
        () = connection.slot.evicted() => Err(BodyError::from(NoRoom)),
        read = time.bound(read) => {
            read.ok_or_else(|| Refusal::not_run(Reason::Timeout))?
        }
    };
    let body = read.map_err(|error| match error {
        BodyError::TooLong => Refusal::not_run(Reason::TooLarge),
        BodyError::Broken => Refusal::not_run(Reason::Malformed),
        BodyError::NoRoom(_) => no_room(gateway, Lack::Body),
    })?;
    connection.set_unread(false);
    Ok(body)
}

/// The refusal of a request that there is no room for at this VM.
fn no_room(gateway: &Gateway, lack: Lack) -> Refusal {
    gateway.caller_limits.metrics.refused(lack);
    let spread = rand::rng().random_range(RETURN_SPREAD);
    Refusal::not_run(Reason::Capacity).retry_after(CAPACITY_RETRY.mul_f64(spread))
}

impl Gateway {
    /// The time of a request that arrived at `started`, and is admitted under `route`.
    fn request_time(
        &self,
        started: Instant,
        head: &RequestHead,
        route: &Arc<Route>,
    ) -> Arc<RequestTime> {
        let key = RouteKey {
            host: head.host.clone(),
            prefix: route.prefix.clone(),
        };
        Arc::new(RequestTime {
            started,
            budget: head.max_wait,
            route: Arc::clone(route),
            key,
            times: Arc::clone(&self.route_times),
            clock: Arc::clone(&self.clock),
        })
    }
}

impl AdmittedRequest {
    /// Time until its response must be complete.
    pub fn time_left(&self) -> Duration {
        self.time.left()
    }

    /// Releases the body if the request, which is answered, is not sent again after these attempts.
    pub(super) fn release_body(&self, attempts: &Attempts) {
        if !self.route.kind.retryable() || !attempts.may_go_on(self.route.attempts) {
            self.request.body.release();
        }
    }

    /// Priority of the request, where 0 is the highest.
    pub fn priority(&self) -> u8 {
        let account = self.account.as_ref();
        let priority = account.and_then(|account| account.priority);
        priority.unwrap_or(self.route.priority)
    }

    /// Runs the request until it is answered, or nothing can be answered any more.
    async fn run(self: Arc<Self>) -> Result<Response<CallerBody>, Refusal> {
        let mut attempts = Attempts::default();
        tokio::select! {
            biased;
            answered = self.try_upstreams(&mut attempts) => return answered,
            () = self.stop_ended() => {}
        }
        self.end_for_stop(attempts)
    }

    async fn try_upstreams(
        self: &Arc<Self>,
        attempts: &mut Attempts,
    ) -> Result<Response<CallerBody>, Refusal> {
        let gateway = &self.gateway;
        gateway.count_request(&self.service);
        if let Some(target) = &self.request.head.target {
            let now = gateway.clock.now();
            gateway.demand().on_request(target, now);
        }
        loop {
            if self.time_left().is_zero() {
                return attempts.give_up(Reason::Deadline, CAPACITY_RETRY);
            }
            if attempts.needs_payment() {
                self.await_vm_count().await;
            }
            let permit = match self.reserve_next(attempts).await {
                Ok(permit) => permit,
                Err(NoPermit::Full(delay)) => {
                    let spread = rand::rng().random_range(RETURN_SPREAD);
                    return attempts.give_up(Reason::Capacity, delay.mul_f64(spread));
                }
                Err(NoPermit::NoEngine(NoEngine::Unusable)) => {
                    return attempts.give_up(Reason::Capacity, CAPACITY_RETRY);
                }
                Err(NoPermit::NoEngine(NoEngine::Deferred(until))) => {
                    self.wait_for_deferred(until, attempts).await?;
                    continue;
                }
                Err(NoPermit::NoEngine(NoEngine::NoModel | NoEngine::NoAdapter)) => {
                    self.wait_for_model(attempts).await?;
                    continue;
                }
            };
            if self.account.is_some() && !gateway.keys_trusted() {
                return attempts.give_up(Reason::NotReady, NOT_READY_RETRY);
            }
            if self.connection.ended_too_early() {
                return attempts.give_up(Reason::Capacity, CAPACITY_RETRY);
            }
            if self.is_too_late(attempts.ran) {
                return self.end_for_stop(std::mem::take(attempts));
            }
            let clearance = match self.clear_to_send() {
                Ok(clearance) => clearance,
                Err(delay) => return attempts.give_up(Reason::Quarantined, delay),
            };
            let Some(payment) = self.pay(attempts) else {
                return attempts.give_up(Reason::UpstreamFailed, CAPACITY_RETRY);
            };
            let sent_before = attempts.sent;
            let attempt = self.attempt(permit, clearance, attempts);
            if let Some(response) = attempt.await? {
                return Ok(response);
            }
            // No connection was opened, so the payment is left for the next upstream.
            if attempts.sent == sent_before {
                attempts.keep_payment(payment);
            }
        }
    }

    /// Pays for the next attempt, unless it is the first or a payment for it is still valid; `None`
    /// if the retry budget is used up.
    fn pay(&self, attempts: &mut Attempts) -> Option<Payment> {
        let gateway = &self.gateway;
        let now = gateway.clock.now();
        let Some(cause) = attempts.ended else {
            return Some(Payment::new(now));
        };
        if let Some(payment) = attempts.payment.take() {
            if payment.is_valid(now) {
                return Some(payment);
            }
            gateway.retry_metrics.unsent.inc();
        }
        let paid = gateway.try_retry(&self.service, cause);
        paid.then(|| Payment::new(now))
    }

    /// Waits for the number of VMs, for a moment, where the retry budget lacks it.
    pub(super) async fn await_vm_count(&self) {
        let left = self.time_left();
        self.gateway.await_vm_count(&self.service, left).await;
    }

    /// Whether the retry budget of its service has a retry left.
    pub fn has_retry(&self) -> bool {
        self.gateway.has_retry(&self.service)
    }

    /// Selects the upstream for the next attempt.
    ///
    /// # Errors
    ///
    /// [`NoEngine`].
    pub fn choose_upstream(&self, attempts: &Attempts) -> Result<Upstream, NoEngine> {
        self.choose_excluding(&attempts.tried)
    }

    /// Whether an upstream that is not in `tried` and not ejected takes the request now for
    /// certain.
    pub fn has_alternative(&self, tried: &BTreeSet<UpstreamId>) -> bool {
        let now = self.gateway.clock.now();
        let mut excluded = tried.clone();
        while let Ok(upstream) = self.choose_excluding(&excluded) {
            if !self.is_limited(&upstream) {
                return !upstream.health.is_ejected(now);
            }
            excluded.insert(upstream.registration.id.clone());
        }
        false
    }

    /// Selects an upstream that is not in `tried`.
    ///
    /// # Errors
    ///
    /// [`NoEngine`].
    pub(super) fn choose_excluding(
        &self,
        tried: &BTreeSet<UpstreamId>,
    ) -> Result<Upstream, NoEngine> {
        let gateway = &self.gateway;
        let upstreams = gateway.upstreams.load();
        let head = &self.request.head;
        let now = gateway.clock.now();
        let candidates = service_upstreams(&upstreams, &self.service);
        balancer::choose_upstream(candidates, head, &gateway.centre, tried, now).cloned()
    }
}
