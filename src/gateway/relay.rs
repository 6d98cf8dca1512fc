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

use crate::edge::Token;
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
use super::request::{BufferedRequest, RequestHead, Size};
use super::response::{self, CallerBody};
use super::state::Gateway;
use super::stream;
use super::upstream::Upstream;

/// Requests that one VM handles at once.
const MOST_RUNNING: usize = 3000;
/// `Retry-After` of a VM that is not ready; by then the balancer sends the caller to another VM.
const ELSEWHERE_RETRY: Duration = Duration::from_millis(200);
/// `Retry-After` where no upstream has capacity.
pub(super) const PLACE_RETRY: Duration = Duration::from_millis(300);
/// Failed connections after which a request is refused.
const MOST_CONNECTS: usize = 4;
/// A request that may be sent to another upstream waits for the start of a response for this many
/// times the latency objective of its route.
const SILENCE_GOALS: u32 = 3;
/// Lower bound on that wait.
const LEAST_SILENCE: Duration = Duration::from_millis(900);

/// Error that aborts a response body, so that the caller does not take it for complete.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("the response was aborted")]
pub struct Cut;

/// A request that passed authentication and its account's quota.
#[derive(Debug)]
pub struct Task {
    /// State of this VM.
    pub gateway: Arc<Gateway>,
    /// The request itself.
    pub whole: BufferedRequest,
    /// Route that its host and path match.
    pub route: Arc<Route>,
    /// Service chosen among the targets of the route.
    pub service: ServiceId,
    /// Client account of its key; absent where no key is required.
    pub account: Option<Arc<Account>>,
    /// When its head arrived.
    pub began: Instant,
    /// When its response must be complete.
    pub deadline: Instant,
    _token: Token,
}

/// The attempts made for a request so far.
#[derive(Debug, Default)]
pub struct Tries {
    /// Upstreams that the request was sent to, or that could not be reached.
    pub tried: BTreeSet<UpstreamId>,
    /// Number of times that the request was sent.
    pub sent: u32,
    /// Number of connections that could not be opened.
    unsent: usize,
    /// Whether the request may have run.
    pub ran: bool,
    /// Error response of an upstream, which the caller gets unless a later attempt succeeds.
    failure: Option<WholeAnswer>,
}

/// An upstream's response with its complete body.
#[derive(Debug)]
struct WholeAnswer {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

impl From<WholeAnswer> for Response<CallerBody> {
    fn from(failure: WholeAnswer) -> Self {
        let mut response = Self::new(response::complete_body(failure.body));
        *response.status_mut() = failure.status;
        *response.headers_mut() = failure.headers;
        response
    }
}

impl Tries {
    pub(super) fn refusal(&self, reason: Reason) -> Refusal {
        if self.ran {
            return Refusal::unknown(reason);
        }
        Refusal::not_run(reason)
    }
}

/// Handles a request; `raw_head` holds the raw bytes of its head.
pub async fn serve(
    gateway: &Arc<Gateway>,
    request: Request<Incoming>,
    raw_head: &RawHead,
) -> Response<CallerBody> {
    let (parts, body) = request.into_parts();
    let chunked = parts.headers.contains_key(TRANSFER_ENCODING);
    let both = chunked && raw_head.has_content_length();
    let head = match gateway.dialect.read_request(&parts) {
        Ok(head) if !both => head,
        Ok(_) => return response::refusal_response(&Refusal::not_run(Reason::Malformed)),
        Err(fault) => {
            warn!(gateway.log, "request_malformed"; "fault" => %fault);
            return response::refusal_response(&Refusal::not_run(Reason::Malformed));
        }
    };
    let id = head.id.clone();
    let began = gateway.clock.now();
    let outcome = admit(gateway, head, body, began).await;
    let spent = gateway.clock.now().saturating_duration_since(began);
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

async fn admit(
    gateway: &Arc<Gateway>,
    head: RequestHead,
    body: Incoming,
    began: Instant,
) -> Result<Response<CallerBody>, Refusal> {
    let token = gateway.running.enter(MOST_RUNNING)?;
    let table = gateway.configuration.load_full();
    let not_ready = || Refusal::not_run(Reason::NotReady).retry_after(ELSEWHERE_RETRY);
    let table = table.ok_or_else(not_ready)?;
    // With a configuration that may be outdated, a withdrawn key could be accepted and a new one
    // rejected.
    if table.keys.is_some() && !gateway.keys_trusted() {
        return Err(not_ready());
    }
    let found = table.route(&head.host, head.uri.path());
    let route = found.ok_or(Refusal::not_run(Reason::UnknownRoute))?;
    let account = authenticate(&table, route, &head)?;
    let budget = head.budget.unwrap_or(route.timeout).min(route.timeout);
    let draw = balancer::stable_hash(head.id.as_str().as_bytes(), 0);
    let service = route.service(draw).ok_or_else(not_ready)?.clone();
    let deadline = began + budget;
    let body = read_body(body, table.bounds.body_bytes, budget).await?;
    let size = head.size.map(Size::total);
    let tokens = account.as_ref().map_or(Tokens::ZERO, |a| a.cost(size));
    if let Some(account) = &account {
        gateway
            .admit(account, tokens)
            .map_err(|wait| Refusal::not_run(Reason::OverRate).retry_after(wait))?;
    }
    let task = Task {
        gateway: Arc::clone(gateway),
        route: Arc::clone(route),
        service,
        account: account.clone(),
        began,
        deadline,
        whole: BufferedRequest { head, body },
        _token: token,
    };
    let outcome = Arc::new(task).run().await;
    if let (Err(refusal), Some(account)) = (&outcome, &account)
        && refusal.ran == Ran::No
    {
        gateway.refund_tokens(account, tokens);
    }
    outcome
}

fn authenticate(
    table: &Configuration,
    route: &Route,
    head: &RequestHead,
) -> Result<Option<Arc<Account>>, Refusal> {
    if table.keys.is_none() {
        return Ok(None);
    }
    let account = head.key.as_ref().and_then(|key| table.account(key));
    match account {
        Some(account) => Ok(Some(Arc::clone(account))),
        None if route.public => Ok(None),
        None => Err(Refusal::not_run(Reason::Unauthorized)),
    }
}

async fn read_body(body: Incoming, most: usize, within: Duration) -> Result<Bytes, Refusal> {
    let read = tokio::time::timeout(within, Limited::new(body, most).collect()).await;
    let read = read.map_err(|_late| Refusal::not_run(Reason::Timeout))?;
    match read {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(e) if e.is::<LengthLimitError>() => Err(Refusal::not_run(Reason::TooLarge)),
        Err(_broken) => Err(Refusal::not_run(Reason::Malformed)),
    }
}

impl Task {
    /// Time until the deadline.
    pub fn left(&self) -> Duration {
        let now = self.gateway.clock.now();
        self.deadline.saturating_duration_since(now)
    }

    async fn run(self: Arc<Self>) -> Result<Response<CallerBody>, Refusal> {
        let gateway = &self.gateway;
        gateway.count_request(&self.service);
        if let Some(target) = &self.whole.head.target {
            let now = gateway.clock.now();
            gateway.demand().on_request(target, now);
        }
        let mut tries = Tries::default();
        loop {
            if self.left().is_zero() {
                return Self::give_up(tries, Reason::Deadline, PLACE_RETRY);
            }
            let upstream = match self.choose(&tries) {
                Ok(upstream) => upstream,
                Err(NoEngine::Unusable) => {
                    return Self::give_up(tries, Reason::Capacity, PLACE_RETRY);
                }
                Err(NoEngine::NoModel | NoEngine::NoAdapter) => {
                    self.wait_for_model(&tries).await?;
                    continue;
                }
            };
            if self.account.is_some() && !gateway.keys_trusted() {
                return Self::give_up(tries, Reason::NotReady, ELSEWHERE_RETRY);
            }
            if tries.sent > 0 && !gateway.try_retry(&self.service) {
                return Self::give_up(tries, Reason::UpstreamFailed, PLACE_RETRY);
            }
            if let Some(response) = self.attempt(&upstream, &mut tries).await? {
                return Ok(response);
            }
        }
    }

    /// The response after the last attempt: the error response of an upstream if there is one,
    /// otherwise a refusal.
    fn give_up(
        tries: Tries,
        reason: Reason,
        retry: Duration,
    ) -> Result<Response<CallerBody>, Refusal> {
        let refusal = tries.refusal(reason);
        if let Some(failure) = tries.failure {
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
    pub fn choose(&self, tries: &Tries) -> Result<Upstream, NoEngine> {
        self.choose_beside(&tries.tried)
    }

    /// Whether an upstream that is not in `tried` and not ejected could take the request now.
    pub fn could_go_to(&self, tried: &BTreeSet<UpstreamId>) -> bool {
        let now = self.gateway.clock.now();
        let other = self.choose_beside(tried);
        other.is_ok_and(|upstream| !upstream.health.is_ejected(now))
    }

    fn choose_beside(&self, tried: &BTreeSet<UpstreamId>) -> Result<Upstream, NoEngine> {
        let gateway = &self.gateway;
        let upstreams = gateway.upstreams.load();
        let head = &self.whole.head;
        let now = gateway.clock.now();
        let fit = service_upstreams(&upstreams, &self.service);
        balancer::choose_upstream(fit, head, &gateway.centre, tried, now).cloned()
    }

    /// Makes one attempt. `None` means that another upstream may be tried; an error response of
    /// this one is then kept in `tries`.
    async fn attempt(
        self: &Arc<Self>,
        upstream: &Upstream,
        tries: &mut Tries,
    ) -> Result<Option<Response<CallerBody>>, Refusal> {
        let gateway = &self.gateway;
        let more = tries.sent + 1 < self.route.attempts;
        let outcome = self.send(upstream, None, more).await;
        let now = gateway.clock.now();
        let entry = &upstream.registration;
        tries.tried.insert(entry.id.clone());
        let error = match outcome {
            SendOutcome::NotSent(e) => {
                info!(gateway.log, "upstream_unreachable"; "request" => %self.whole.head.id,
                    "upstream" => %entry.id, "error" => %e);
                upstream.health.on_failure(now);
                tries.unsent += 1;
                if tries.unsent < MOST_CONNECTS {
                    return Ok(None);
                }
                let refusal = tries.refusal(Reason::Capacity);
                return Err(refusal.retry_after(PLACE_RETRY));
            }
            SendOutcome::NotRun(why) => {
                tries.sent += 1;
                self.note_declined(upstream, why);
                if tries.sent < self.route.attempts {
                    return Ok(None);
                }
                let refusal = tries.refusal(Reason::Capacity);
                return Err(refusal.retry_after(PLACE_RETRY));
            }
            SendOutcome::Responded(response) => {
                tries.sent += 1;
                tries.ran = true;
                match self.take(upstream, *response, tries).await {
                    Ok(response) => return Ok(response),
                    Err(error) => error,
                }
            }
            SendOutcome::Unknown(error) => {
                tries.sent += 1;
                tries.ran = true;
                error
            }
        };
        warn!(gateway.log, "answer_lost"; "request" => %self.whole.head.id,
            "upstream" => %entry.id, "why" => %error, "sent" => tries.sent);
        upstream.health.on_failure(now);
        if self.route.kind.retryable() && tries.sent < self.route.attempts {
            return Ok(None);
        }
        if let Some(failure) = tries.failure.take() {
            return Ok(Some(failure.into()));
        }
        Err(tries.refusal(match (error, self.left().is_zero()) {
            (_, true) => Reason::Deadline,
            (ResponseError::Silent, _) => Reason::UpstreamSilent,
            _ => Reason::UpstreamFailed,
        }))
    }

    /// Sends the request to one upstream. `after` is the last event that the caller has; with
    /// `more` the wait is shorter, because another upstream may be tried.
    pub async fn send(&self, upstream: &Upstream, after: Option<u64>, more: bool) -> SendOutcome {
        let gateway = &self.gateway;
        let head = &self.whole.head;
        let time_left = self.left();
        let account = self.account.as_deref();
        let priority = account.and_then(|a| a.priority);
        let options = ForwardOptions {
            upstream: upstream.registration.id.clone(),
            account: account.map(|account| account.name.clone()),
            time_left,
            priority: priority.unwrap_or(self.route.priority),
            resume_after: after.or(head.last_event),
        };
        let model = head.target.as_ref().map(|target| &target.model);
        let running = upstream.health.start_request(model);
        let request = match gateway.dialect.write_request(&self.whole, &options) {
            Ok(request) => request,
            Err(e) => {
                warn!(gateway.log, "request_unwritable"; "request" => %head.id, "error" => %e);
                return SendOutcome::NotRun(DeclineReason::Other);
            }
        };
        let silence = (self.route.goal * SILENCE_GOALS).max(LEAST_SILENCE);
        let max_wait = if more && self.route.kind.retryable() {
            silence.min(time_left)
        } else {
            time_left
        };
        let request = UpstreamRequest {
            address: upstream.registration.address,
            upstream: &upstream.registration.id,
            request_id: &head.id,
            request,
            max_wait,
        };
        exchange::send(&gateway.dialect, request, running).await
    }

    /// Updates the upstream's state after it refused the request.
    pub fn note_declined(&self, upstream: &Upstream, why: DeclineReason) {
        let gateway = &self.gateway;
        let entry = &upstream.registration;
        info!(gateway.log, "request_declined"; "request" => %self.whole.head.id,
            "upstream" => %entry.id, "why" => ?why);
        match (why, &self.whole.head.target) {
            (DeclineReason::Elsewhere, _) => {
                gateway.update_fleet(|fleet, _| fleet.on_leaving(&entry.id, entry.started_ms));
            }
            (DeclineReason::Missing, Some(target)) => {
                let adapter = target.adapter.as_ref();
                gateway.update_fleet(|fleet, now| {
                    fleet.on_inventory_update(&entry.id, &target.model, adapter, false, now);
                });
            }
            _ => {}
        }
    }

    /// Converts an upstream's response to the caller's; `None` if another upstream is tried first.
    async fn take(
        self: &Arc<Self>,
        upstream: &Upstream,
        mut answer: UpstreamResponse,
        tries: &mut Tries,
    ) -> Result<Option<Response<CallerBody>>, ResponseError> {
        let status = answer.head.status;
        let streams = matches!(self.route.kind, RouteKind::Streaming { .. });
        if streams && status == StatusCode::OK {
            upstream.health.on_success();
            let task = Arc::clone(self);
            let tries = std::mem::take(tries);
            return Ok(Some(stream::forward(task, upstream.clone(), answer, tries)));
        }
        if promises(status) {
            upstream.health.on_failure(self.gateway.clock.now());
            return Err(ResponseError::Invalid);
        }
        let headers = self.gateway.dialect.response_headers(&answer.head);
        let Some(body) = answer.read_buffered(self.left()).await? else {
            let mut response = Response::new(stream::forward_plain(Arc::clone(self), answer));
            *response.status_mut() = status;
            *response.headers_mut() = headers;
            return Ok(Some(response));
        };
        let whole = WholeAnswer {
            status,
            headers,
            body,
        };
        if !status.is_server_error() {
            upstream.health.on_success();
            return Ok(Some(whole.into()));
        }
        upstream.health.on_failure(self.gateway.clock.now());
        if tries.sent < self.route.attempts && self.route.kind == RouteKind::Idempotent {
            tries.failure = Some(whole);
            return Ok(None);
        }
        Ok(Some(whole.into()))
    }
}

/// Whether a status tells a caller that the request did not run. An upstream's response with such a
/// status but without its statement that the request was not run must not be forwarded.
fn promises(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}
