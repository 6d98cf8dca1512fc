//! Handles a request from its head to the start of its response: authentication, the account's
//! quota, the choice of an upstream, and retries at other upstreams.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::header::{CONNECTION, HeaderValue, TRANSFER_ENCODING};
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use slog::{info, warn};
use thiserror::Error;

use crate::edge::RequestGuard;
use crate::ids::{ServiceId, UpstreamId};
use crate::outcome::{Ran, Reason, Refusal};
use crate::units::Tokens;

use super::balancer::{self, NoEngine};
use super::configuration::{Account, Configuration, Route, RouteKind};
use super::exchange::{
    self, DeclineReason, ResponseError, SendOutcome, UpstreamRequest, UpstreamResponse,
};
use super::fleet::service_upstreams;
use super::framing::RawHead;
use super::platform_api::ForwardOptions;
use super::quarantine::crashes::Written;
use super::quarantine::gate::Clearance;
use super::request::{BufferedRequest, RequestHead, Size};
use super::response::{self, CallerBody};
use super::signals::UpstreamObserver;
use super::state::Gateway;
use super::stream;
use super::upstream::Upstream;
use super::upstream_limit::gate::{NoPermit, Permit};

/// Requests that one VM handles at once.
const MAX_RUNNING: usize = 3000;
/// `Retry-After` of a VM that is not ready; by then the balancer sends the caller to another VM.
const NOT_READY_RETRY: Duration = Duration::from_millis(200);
/// `Retry-After` where no upstream has capacity.
pub(super) const CAPACITY_RETRY: Duration = Duration::from_millis(300);
/// Failed connections after which a request is refused.
const MAX_FAILED_CONNECTS: usize = 4;
/// A request that may be sent to another upstream waits for the start of a response for this many
/// times the latency objective of its route.
const SILENCE_OBJECTIVES: u32 = 3;
/// Lower bound on that wait.
const MIN_SILENCE: Duration = Duration::from_millis(900);

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
    /// Route that its host and path match.
    pub route: Arc<Route>,
    /// Service chosen among the targets of the route.
    pub service: ServiceId,
    /// Client account of its key; absent where no key is required.
    pub account: Option<Arc<Account>>,
    /// When its head arrived.
    pub started: Instant,
    /// When its response must be complete.
    pub deadline: Instant,
    /// Counts the request as in progress until it is dropped.
    _guard: RequestGuard,
}

/// The attempts made for a request so far.
#[derive(Debug, Default)]
pub struct Attempts {
    /// Upstreams that the request was sent to, or that could not be reached.
    pub tried: BTreeSet<UpstreamId>,
    /// Number of times that the request was sent.
    pub sent: u32,
    /// Number of connections that could not be opened.
    failed_connects: usize,
    /// Whether the request may have run.
    pub ran: bool,
    /// Whether a response has shown that the request crashes no engine.
    pub proven: bool,
    /// Error response of an upstream, which the caller gets unless a later attempt succeeds.
    failure: Option<BufferedResponse>,
}

/// An upstream's response with its complete body.
#[derive(Debug)]
struct BufferedResponse {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

impl From<BufferedResponse> for Response<CallerBody> {
    fn from(failure: BufferedResponse) -> Self {
        let mut response = Self::new(response::complete_body(failure.body));
        *response.status_mut() = failure.status;
        *response.headers_mut() = failure.headers;
        response
    }
}

impl Attempts {
    /// A refusal that tells the caller whether the request may have run.
    pub(super) fn refusal(&self, reason: Reason) -> Refusal {
        if self.ran {
            return Refusal::unknown(reason);
        }
        Refusal::not_run(reason)
    }
}

/// Handles a request; `raw_head` holds the raw bytes of its head.
pub async fn handle_request(
    gateway: &Arc<Gateway>,
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
            warn!(gateway.log, "request_malformed"; "fault" => %fault);
            return response::refusal_response(&Refusal::not_run(Reason::Malformed));
        }
    };
    let id = head.id.clone();
    let started = gateway.clock.now();
    let outcome = admit(gateway, head, body, started).await;
    let spent = gateway.clock.now().saturating_duration_since(started);
    let mut response = match outcome {
        Ok(response) => {
            gateway.edge_metrics.answered(response.status(), spent);
            response
        }
        Err(refusal) => {
            gateway.edge_metrics.refused(refusal.reason, spent);
            info!(gateway.log, "request_refused"; "request" => %id, "reason" => %refusal.reason,
                "ran" => ?refusal.ran, "spent_ms" => spent.as_millis() as u64,
                "retry_ms" => refusal.retry.map(|wait| wait.as_millis() as u64));
            let mut response = response::refusal_response(&refusal);
            response
                .headers_mut()
                .extend(gateway.dialect.id_headers(&id));
            response
        }
    };
    // What follows a chunked body may be a smuggled request, so the connection is not reused.
    if chunked || !gateway.is_ready() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response
}

/// Authenticates a request, takes its tokens from the account's quota and runs it; the tokens are
/// returned if it did not run.
async fn admit(
    gateway: &Arc<Gateway>,
    head: RequestHead,
    body: Incoming,
    started: Instant,
) -> Result<Response<CallerBody>, Refusal> {
    let guard = gateway.running.try_start(MAX_RUNNING)?;
    let configuration = gateway.configuration.load_full();
    let not_ready = || Refusal::not_run(Reason::NotReady).retry_after(NOT_READY_RETRY);
    let configuration = configuration.ok_or_else(not_ready)?;
    // With a configuration that may be outdated, a withdrawn key could be accepted and a new one
    // rejected.
    if configuration.keys.is_some() && !gateway.keys_trusted() {
        return Err(not_ready());
    }
    let found = configuration.route(&head.host, head.uri.path());
    let route = found.ok_or(Refusal::not_run(Reason::UnknownRoute))?;
    let account = authenticate(&configuration, route, &head)?;
    let max_wait = head.max_wait.unwrap_or(route.timeout).min(route.timeout);
    let draw = balancer::stable_hash(head.id.as_str().as_bytes(), 0);
    let service = route.service(draw).ok_or_else(not_ready)?.clone();
    let deadline = started + max_wait;
    let body = read_body(body, configuration.bounds.body_bytes, max_wait).await?;
    if let Some(delay) = gateway.quarantine_delay(head.shared_parts()) {
        return Err(Refusal::not_run(Reason::Quarantined).retry_after(delay));
    }
    let size = head.size.map(Size::total);
    let tokens = account.as_ref().map_or(Tokens::ZERO, |a| a.cost(size));
    if let Some(account) = &account {
        gateway
            .admit(account, tokens)
            .map_err(|wait| Refusal::not_run(Reason::OverRate).retry_after(wait))?;
    }
    let admitted = AdmittedRequest {
        gateway: Arc::clone(gateway),
        route: Arc::clone(route),
        service,
        account: account.clone(),
        started,
        deadline,
        request: BufferedRequest { head, body },
        _guard: guard,
    };
    let outcome = Arc::new(admitted).run().await;
    if let (Err(refusal), Some(account)) = (&outcome, &account)
        && refusal.ran == Ran::No
    {
        gateway.refund_tokens(account, tokens);
    }
    outcome
}

fn authenticate(
    configuration: &Configuration,
    route: &Route,
    head: &RequestHead,
) -> Result<Option<Arc<Account>>, Refusal> {
    if configuration.keys.is_none() {
        return Ok(None);
    }
    let account = head.key.as_ref().and_then(|key| configuration.account(key));
    match account {
        Some(account) => Ok(Some(Arc::clone(account))),
        None if route.public => Ok(None),
        None => Err(Refusal::not_run(Reason::Unauthorized)),
    }
}

async fn read_body(body: Incoming, max_bytes: usize, max_wait: Duration) -> Result<Bytes, Refusal> {
    let read = tokio::time::timeout(max_wait, Limited::new(body, max_bytes).collect()).await;
    let read = read.map_err(|_late| Refusal::not_run(Reason::Timeout))?;
    match read {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(e) if e.is::<LengthLimitError>() => Err(Refusal::not_run(Reason::TooLarge)),
        Err(_broken) => Err(Refusal::not_run(Reason::Malformed)),
    }
}

impl AdmittedRequest {
    /// Time until the deadline.
    pub fn time_left(&self) -> Duration {
        let now = self.gateway.clock.now();
        self.deadline.saturating_duration_since(now)
    }

    /// Priority of the request, where 0 is the highest.
    pub fn priority(&self) -> u8 {
        let account = self.account.as_ref();
        let priority = account.and_then(|account| account.priority);
        priority.unwrap_or(self.route.priority)
    }

    async fn run(self: Arc<Self>) -> Result<Response<CallerBody>, Refusal> {
        let gateway = &self.gateway;
        gateway.count_request(&self.service);
        if let Some(target) = &self.request.head.target {
            let now = gateway.clock.now();
            gateway.demand().on_request(target, now);
        }
        let mut attempts = Attempts::default();
        loop {
            if self.time_left().is_zero() {
                return Self::give_up(attempts, Reason::Deadline, CAPACITY_RETRY);
            }
            let permit = match self.reserve_upstream(&attempts.tried).await {
                Ok(permit) => permit,
                Err(NoPermit::Full(delay)) => {
                    return Self::give_up(attempts, Reason::Capacity, delay);
                }
                Err(NoPermit::NoEngine(NoEngine::Unusable)) => {
                    return Self::give_up(attempts, Reason::Capacity, CAPACITY_RETRY);
                }
                Err(NoPermit::NoEngine(NoEngine::Deferred(until))) => {
                    self.wait_for_deferred(until, &attempts).await?;
                    continue;
                }
                Err(NoPermit::NoEngine(NoEngine::NoModel | NoEngine::NoAdapter)) => {
                    self.wait_for_model(&attempts).await?;
                    continue;
                }
            };
            if self.account.is_some() && !gateway.keys_trusted() {
                return Self::give_up(attempts, Reason::NotReady, NOT_READY_RETRY);
            }
            let clearance = match self.clear_to_send() {
                Ok(clearance) => clearance,
                Err(delay) => return Self::give_up(attempts, Reason::Quarantined, delay),
            };
            if attempts.sent > 0 && !gateway.try_retry(&self.service) {
                return Self::give_up(attempts, Reason::UpstreamFailed, CAPACITY_RETRY);
            }
            let attempt = self.attempt(permit, clearance, &mut attempts);
            if let Some(response) = attempt.await? {
                return Ok(response);
            }
        }
    }

    /// The response after the last attempt: the error response of an upstream if there is one,
    /// otherwise a refusal.
    fn give_up(
        attempts: Attempts,
        reason: Reason,
        retry: Duration,
    ) -> Result<Response<CallerBody>, Refusal> {
        let refusal = attempts.refusal(reason);
        if let Some(failure) = attempts.failure {
            return Ok(failure.into());
        }
        Err(match refusal.ran {
            Ran::No => refusal.retry_after(retry),
            _ => refusal,
        })
    }

    /// Selects the upstream for the next attempt.
    ///
    /// # Errors
    ///
    /// [`NoEngine`].
    pub fn choose_upstream(&self, attempts: &Attempts) -> Result<Upstream, NoEngine> {
        self.choose_excluding(&attempts.tried)
    }

    /// Whether an upstream that is not in `tried` and not ejected takes the request now for certain.
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

    /// Makes one attempt. `None` means that another upstream may be tried; an error response of
    /// this one is then kept in `attempts`.
    async fn attempt(
        self: &Arc<Self>,
        permit: Permit,
        clearance: Clearance,
        attempts: &mut Attempts,
    ) -> Result<Option<Response<CallerBody>>, Refusal> {
        let gateway = &self.gateway;
        let upstream = &permit.upstream().clone();
        let may_retry = attempts.sent + 1 < self.route.attempts;
        let outcome = self.send(permit, clearance, None, may_retry).await;
        let now = gateway.clock.now();
        let registration = &upstream.registration;
        attempts.tried.insert(registration.id.clone());
        let mut begun = false;
        let error = match outcome {
            SendOutcome::NotSent(e) => {
                info!(gateway.log, "upstream_unreachable"; "request" => %self.request.head.id,
                    "upstream" => %registration.id, "error" => %e);
                upstream.health.on_failure(now);
                attempts.failed_connects += 1;
                if attempts.failed_connects < MAX_FAILED_CONNECTS {
                    return Ok(None);
                }
                let refusal = attempts.refusal(Reason::Capacity);
                return Err(refusal.retry_after(CAPACITY_RETRY));
            }
            SendOutcome::NotRun(reason) => {
                attempts.sent += 1;
                self.on_declined(upstream, reason);
                if attempts.sent < self.route.attempts {
                    return Ok(None);
                }
                let refusal = attempts.refusal(Reason::Capacity);
                return Err(refusal.retry_after(CAPACITY_RETRY));
            }
            SendOutcome::Responded(response) => {
                attempts.sent += 1;
                attempts.ran = true;
                begun = true;
                match self.handle_response(upstream, *response, attempts).await {
                    Ok(response) => return Ok(response),
                    Err(error) => error,
                }
            }
            SendOutcome::Unknown(error) => {
                attempts.sent += 1;
                attempts.ran = true;
                error
            }
        };
        warn!(gateway.log, "answer_lost"; "request" => %self.request.head.id,
            "upstream" => %registration.id, "why" => %error, "sent" => attempts.sent,
            "parts" => %self.request.head.shared_parts());
        upstream.health.on_failure(now);
        let broken_off = begun && error == ResponseError::Disconnected;
        let suspect = broken_off && self.may_crash_engines();
        if self.route.kind.retryable() && attempts.sent < self.route.attempts && !suspect {
            return Ok(None);
        }
        if let Some(failure) = attempts.failure.take() {
            return Ok(Some(failure.into()));
        }
        Err(attempts.refusal(match (error, self.time_left().is_zero()) {
            (_, true) => Reason::Deadline,
            (ResponseError::Silent, _) => Reason::UpstreamSilent,
            _ => Reason::UpstreamFailed,
        }))
    }

    /// Sends the request to one upstream. `after` is the last event that was forwarded to the
    /// caller. With `may_retry` the wait for a response is shorter, because another upstream may be
    /// tried after it.
    pub async fn send(
        &self,
        permit: Permit,
        _clearance: Clearance,
        after: Option<u64>,
        may_retry: bool,
    ) -> SendOutcome {
        let gateway = &self.gateway;
        let upstream = &permit.upstream().clone();
        let head = &self.request.head;
        let time_left = self.time_left();
        let account = self.account.as_deref();
        let options = ForwardOptions {
            upstream: upstream.registration.id.clone(),
            account: account.map(|account| account.name.clone()),
            time_left,
            priority: self.priority(),
            resume_after: after.or(head.last_event),
        };
        let model = head.target.as_ref().map(|target| &target.model);
        let guard = upstream.health.start_request(model);
        let request = match gateway.dialect.write_request(&self.request, &options) {
            Ok(request) => request,
            Err(e) => {
                warn!(gateway.log, "request_unwritable"; "request" => %head.id, "error" => %e);
                return SendOutcome::NotRun(DeclineReason::Other);
            }
        };
        let silence = (self.route.goal * SILENCE_OBJECTIVES).max(MIN_SILENCE);
        let max_wait = if may_retry && self.route.kind.retryable() {
            silence.min(time_left)
        } else {
            time_left
        };
        let request = UpstreamRequest {
            permit,
            request_id: &head.id,
            request,
            max_wait,
            observer: &UpstreamObserver {
                gateway,
                upstream,
                sent: gateway.clock.boot(),
            },
        };
        let sent = gateway.clock.now();
        let outcome = exchange::send(&gateway.dialect, request, guard).await;
        let answered = match &outcome {
            SendOutcome::Responded(_) => true,
            SendOutcome::NotRun(reason) => *reason != DeclineReason::Elsewhere,
            SendOutcome::NotSent(_) | SendOutcome::Unknown(_) => false,
        };
        if answered {
            gateway.on_engine_answer(&upstream.registration, sent);
        }
        outcome
    }

    /// Updates the upstream's state after it refused the request.
    pub fn on_declined(&self, upstream: &Upstream, reason: DeclineReason) {
        let gateway = &self.gateway;
        let registration = &upstream.registration;
        info!(gateway.log, "request_declined"; "request" => %self.request.head.id,
            "upstream" => %registration.id, "why" => ?reason);
        match (reason, &self.request.head.target) {
            (DeclineReason::Elsewhere, _) => {
                gateway.on_upstream_leaving(&registration.id, registration.started_ms);
            }
            (DeclineReason::Missing, Some(target)) => {
                let adapter = target.adapter.as_ref();
                gateway.update_fleet(|fleet, now| {
                    fleet.on_inventory_update(&registration.id, &target.model, adapter, false, now);
                });
            }
            _ => {}
        }
    }

    /// Records whether the engine crashed while it wrote a response that is read completely, or
    /// the response shows that the request crashes no engine.
    fn observe_buffered(
        &self,
        upstream: &Upstream,
        response: &UpstreamResponse,
        read: &Result<Option<Bytes>, ResponseError>,
    ) {
        let parts = self.request.head.shared_parts();
        match read {
            Err(ResponseError::Disconnected) => {
                let gateway = &self.gateway;
                gateway.on_engine_crash(&upstream.registration, parts, Written::Nothing);
            }
            Ok(Some(_body)) if response.head.status.is_success() && response.is_framed() => {
                self.gateway.on_sound_response(parts);
            }
            _ => {}
        }
    }

    /// Converts an upstream's response to the caller's; `None` if another upstream is tried first.
    async fn handle_response(
        self: &Arc<Self>,
        upstream: &Upstream,
        mut response: UpstreamResponse,
        attempts: &mut Attempts,
    ) -> Result<Option<Response<CallerBody>>, ResponseError> {
        let status = response.head.status;
        let streams = matches!(self.route.kind, RouteKind::Streaming { .. });
        if streams && status == StatusCode::OK {
            upstream.health.on_success();
            let admitted = Arc::clone(self);
            let attempts = std::mem::take(attempts);
            return Ok(Some(stream::forward(
                admitted,
                upstream.clone(),
                response,
                attempts,
            )));
        }
        if claims_not_run(status) {
            upstream.health.on_failure(self.gateway.clock.now());
            return Err(ResponseError::Invalid);
        }
        let headers = self.gateway.dialect.response_headers(&response.head);
        let read = response.read_buffered(self.time_left()).await;
        self.observe_buffered(upstream, &response, &read);
        let Some(body) = read? else {
            let mut forwarded = Response::new(stream::forward_plain(Arc::clone(self), response));
            *forwarded.status_mut() = status;
            *forwarded.headers_mut() = headers;
            return Ok(Some(forwarded));
        };
        let buffered = BufferedResponse {
            status,
            headers,
            body,
        };
        if !status.is_server_error() {
            upstream.health.on_success();
            return Ok(Some(buffered.into()));
        }
        upstream.health.on_failure(self.gateway.clock.now());
        if attempts.sent < self.route.attempts && self.route.kind == RouteKind::Idempotent {
            attempts.failure = Some(buffered);
            return Ok(None);
        }
        Ok(Some(buffered.into()))
    }
}

/// Whether a status tells a caller that the request did not run.
///
/// A response with such a status must not be forwarded unless the upstream states that it did not
/// run the request, and responses with that statement have been handled before.
fn claims_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}
