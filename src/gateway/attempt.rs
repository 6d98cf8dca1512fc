//! The attempts made for a request: sends it to an upstream, and decides by the outcome whether
//! another one may be tried.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderMap, Response, StatusCode};
use slog::{info, warn};

use crate::ids::UpstreamId;
use crate::outcome::{Ran, Reason, Refusal};

use super::attempt_end::AttemptEnd;
use super::client::ConnectError;
use super::configuration::RouteKind;
use super::exchange::{
    self, BufferedBody, DeclineReason, ResponseError, SendOutcome, UpstreamRequest,
    UpstreamResponse,
};
use super::head_wait::HeadWait;
use super::left_engines::LeftEngines;
use super::platform_api::ForwardOptions;
use super::quarantine::crashes::Written;
use super::quarantine::gate::Clearance;
use super::relay::{AdmittedRequest, CAPACITY_RETRY};
use super::request_time::ToldTime;
use super::response::{self, CallerBody};
use super::retry_budget::Payment;
use super::retry_metrics::RetryCause;
use super::signals::UpstreamObserver;
use super::stream;
use super::stream::start::Started;
use super::upstream::{Upstream, UpstreamInstance};
use super::upstream_limit::gate::Permit;

/// Failed connections after which a request is refused.
const MAX_FAILED_CONNECTS: usize = 4;

/// The attempts made for a request so far.
#[derive(Debug, Default)]
pub struct Attempts {
    /// Upstreams that the request was sent to, or that could not be reached.
    pub tried: BTreeSet<UpstreamId>,
    /// Those of them that the request left for silence.
    left_engines: LeftEngines,
    /// Number of times that the request was sent.
    pub sent: u32,
    /// Number of connections that could not be opened.
    failed_connects: usize,
    /// Whether the request may have run.
    pub ran: bool,
    /// Attempts whose outcome is not known yet; the request may run there.
    pub pending: u32,
    /// The retry budget's payment for the next attempt, if it was made before.
    pub payment: Option<Payment>,
    /// Why the last attempt ended.
    pub ended: Option<RetryCause>,
    /// Whether a response has shown that the request crashes no engine.
    pub proven: bool,
    /// Error response of an upstream, which the caller gets unless a later attempt succeeds.
    failure: Option<BufferedResponse>,
}

/// The upstream that a response comes from.
#[derive(Clone, Debug)]
pub struct Origin {
    /// The upstream, as it was when the request was sent.
    pub upstream: Upstream,
    /// When the request was sent to it.
    pub sent: Instant,
}

/// An attempt with its outcome.
#[derive(Debug)]
pub(super) struct Sent {
    /// Where the request was sent.
    pub origin: Origin,
    /// What came of it.
    pub outcome: SendOutcome,
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
    /// Whether the next attempt is a retry that isn't paid for.
    pub fn needs_payment(&self) -> bool {
        self.ended.is_some() && self.payment.is_none()
    }

    /// Leaves a payment for the next attempt, as this one was not sent. The first attempt is free, so
    /// nothing was paid for it.
    pub fn keep_payment(&mut self, payment: Payment) {
        if self.ended.is_some() {
            self.payment = Some(payment);
        }
    }

    /// What a stream takes over of them. The request may still be refused as a whole, so they stay
    /// here too.
    pub(super) fn for_stream(&self) -> Self {
        Self {
            tried: self.tried.clone(),
            left_engines: self.left_engines.clone(),
            sent: self.sent,
            ran: self.ran,
            proven: self.proven,
            ..Self::default()
        }
    }

    /// Records that the request is sent to an upstream.
    pub(super) fn on_sent(&mut self, upstream: &Upstream) {
        let registration = &upstream.registration;
        self.tried.insert(registration.id.clone());
        let instance = UpstreamInstance::from(&**registration);
        self.left_engines.on_sent(&instance);
    }

    /// Records that the request leaves a silent upstream, which has not failed.
    pub(super) fn on_left(&mut self, upstream: &Upstream) {
        let instance = UpstreamInstance::from(&*upstream.registration);
        self.left_engines.on_left(instance);
    }

    /// The upstreams that the request left for silence and may return to.
    pub(super) fn returnable(&self) -> Option<&BTreeSet<UpstreamInstance>> {
        self.left_engines.returnable()
    }

    /// Whether the request may be sent once more, on a route that allows so many attempts.
    pub(super) fn may_go_on(&self, most: u32) -> bool {
        self.sent < most || self.returnable().is_some()
    }

    /// Takes over those that a stream made before its head was sent.
    pub(super) fn take_over(&mut self, of_stream: Self) {
        self.tried = of_stream.tried;
        self.left_engines = of_stream.left_engines;
        self.sent = of_stream.sent;
        self.proven = of_stream.proven;
    }

    /// A refusal that tells the caller whether the request may have run.
    pub(super) fn refusal(&self, reason: Reason) -> Refusal {
        if self.ran || self.pending > 0 {
            return Refusal::unknown(reason);
        }
        Refusal::not_run(reason)
    }

    /// The response after the last attempt: the error response of an upstream if there is one,
    /// otherwise a refusal.
    pub(super) fn give_up(
        &mut self,
        reason: Reason,
        retry: Duration,
    ) -> Result<Response<CallerBody>, Refusal> {
        let refusal = self.refusal(reason);
        if let Some(failure) = self.failure.take() {
            return Ok(failure.into());
        }
        Err(match refusal.ran {
            Ran::No => refusal.retry_after(retry),
            _ => refusal,
        })
    }
}

impl AdmittedRequest {
    /// Makes one attempt. `None` means that another upstream may be tried; an error response of
    /// this one is then kept in `attempts`.
    pub(super) async fn attempt(
        self: &Arc<Self>,
        permit: Permit,
        clearance: Clearance,
        attempts: &mut Attempts,
    ) -> Result<Option<Response<CallerBody>>, Refusal> {
        let upstream = permit.upstream().clone();
        attempts.on_sent(&upstream);
        attempts.pending = 1;
        if attempts.sent + 1 < self.route.attempts && self.route.kind.retryable() {
            return self.attempt_hedged(permit, clearance, attempts).await;
        }
        let wait = self.head_wait(&upstream, attempts);
        let sent = self.send_once(permit, clearance, &wait).await;
        self.conclude(sent, attempts).await
    }

    /// The wait of an attempt that starts now.
    pub(super) fn head_wait(&self, upstream: &Upstream, attempts: &Attempts) -> HeadWait<'_> {
        HeadWait {
            request: self,
            upstream: upstream.clone(),
            tried: attempts.tried.clone(),
            sent: self.gateway.clock.now(),
            watch: self.gateway.attempt_ends.watch(),
        }
    }

    /// Sends the request from its beginning to one upstream.
    pub(super) async fn send_once(
        &self,
        permit: Permit,
        clearance: Clearance,
        wait: &HeadWait<'_>,
    ) -> Sent {
        let outcome = self.send(permit, clearance, None, wait).await;
        let origin = Origin {
            upstream: wait.upstream.clone(),
            sent: wait.sent,
        };
        Sent { origin, outcome }
    }

    /// Handles the outcome of an attempt. `None` means that another upstream may be tried.
    pub(super) async fn conclude(
        self: &Arc<Self>,
        attempt: Sent,
        attempts: &mut Attempts,
    ) -> Result<Option<Response<CallerBody>>, Refusal> {
        attempts.pending = attempts.pending.saturating_sub(1);
        let Sent { origin, outcome } = attempt;
        let Origin { upstream, sent } = &origin.clone();
        let mut begun = false;
        let mut failed_upstream = upstream.clone();
        let error = match outcome {
            SendOutcome::NotSent(error) => {
                return self.on_unreachable(upstream, error, attempts);
            }
            SendOutcome::NotRun(reason) => {
                attempts.sent += 1;
                attempts.ended = Some(RetryCause::Declined);
                self.on_declined(upstream, reason);
                if attempts.may_go_on(self.route.attempts) {
                    return Ok(None);
                }
                return attempts.give_up(Reason::Capacity, CAPACITY_RETRY).map(Some);
            }
            SendOutcome::Responded(response) => {
                attempts.sent += 1;
                attempts.ran = true;
                begun = true;
                self.release_body(attempts);
                let started = if self.is_stream(&response) {
                    self.start_stream(origin, *response, attempts).await?
                } else {
                    Started::Plain(origin, response)
                };
                let (origin, response) = match started {
                    Started::Stream(response) => return Ok(Some(response)),
                    Started::Plain(origin, response) => (origin, response),
                };
                failed_upstream = origin.upstream.clone();
                match self.handle_response(origin, *response, attempts).await {
                    Ok(response) => return Ok(response),
                    Err(error) => error,
                }
            }
            SendOutcome::Unknown(error) => {
                attempts.sent += 1;
                attempts.ran = true;
                if error == ResponseError::Disconnected {
                    let parts = self.request.head.shared_parts();
                    let engine = &upstream.registration;
                    self.on_engine_crash(engine, parts, Written::NoHead, *sent);
                }
                error
            }
        };
        self.on_failed(&failed_upstream, (error, begun), attempts)
    }

    /// Handles a connection that could not be opened; another upstream may be tried after a few.
    fn on_unreachable(
        &self,
        upstream: &Upstream,
        error: ConnectError,
        attempts: &mut Attempts,
    ) -> Result<Option<Response<CallerBody>>, Refusal> {
        let gateway = &self.gateway;
        let registration = &upstream.registration;
        info!(gateway.log, "upstream_unreachable"; "request" => %self.request.head.id,
            "upstream" => %registration.id, "error" => %error);
        // The caller's time ended before the connection's; that says nothing of the upstream.
        if self.time_left().is_zero() {
            return Ok(None);
        }
        upstream.health.on_failure(gateway.clock.now());
        gateway.on_unreachable(registration);
        attempts.failed_connects += 1;
        if attempts.failed_connects < MAX_FAILED_CONNECTS {
            return Ok(None);
        }
        let refusal = attempts.refusal(Reason::Capacity);
        Err(refusal.retry_after(CAPACITY_RETRY))
    }

    /// Records a failed attempt, whose response had `begun` or not, and decides between a further
    /// one, an earlier failure and a refusal.
    fn on_failed(
        &self,
        upstream: &Upstream,
        (error, begun): (ResponseError, bool),
        attempts: &mut Attempts,
    ) -> Result<Option<Response<CallerBody>>, Refusal> {
        let gateway = &self.gateway;
        let registration = &upstream.registration;
        let now = gateway.clock.now();
        warn!(gateway.log, "answer_lost"; "request" => %self.request.head.id,
            "upstream" => %registration.id, "why" => %error, "sent" => attempts.sent,
            "parts" => %self.request.head.shared_parts(), "digest" => %self.digest);
        attempts.ended = Some(error.into());
        upstream.health.on_failure(now);
        let broken_off = error == ResponseError::Disconnected;
        let suspect = broken_off && (begun && self.has_new_part() || self.stops_retries());
        let most = self.route.attempts;
        if self.route.kind.retryable() && attempts.may_go_on(most) && !suspect {
            return Ok(None);
        }
        if let Some(failure) = attempts.failure.take() {
            return Ok(Some(failure.into()));
        }
        Err(attempts.refusal(self.failure_reason(error)))
    }

    /// The reason of the refusal after the last attempt has failed.
    pub(super) fn failure_reason(&self, error: ResponseError) -> Reason {
        match (error, self.time_left().is_zero()) {
            (ResponseError::Deadline | ResponseError::ToldTimeOver, _) | (_, true) => {
                Reason::Deadline
            }
            (ResponseError::Silent, _) => Reason::UpstreamSilent,
            _ => Reason::UpstreamFailed,
        }
    }

    /// Sends the request to one upstream. `after` is the last event that was forwarded to the
    /// caller; `wait` decides how long to wait for a response.
    pub async fn send(
        &self,
        permit: Permit,
        _clearance: Clearance,
        after: Option<u64>,
        wait: &HeadWait<'_>,
    ) -> SendOutcome {
        let gateway = &self.gateway;
        let upstream = &permit.upstream().clone();
        let head = &self.request.head;
        let time_left = self.answer_left();
        let told = ToldTime::new(Arc::clone(&self.time), time_left);
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
        let request = UpstreamRequest {
            permit,
            request_id: &head.id,
            request,
            told,
            observer: &UpstreamObserver {
                gateway,
                upstream,
                sent: gateway.clock.boot(),
            },
        };
        let sent = gateway.clock.now();
        let watch = &wait.watch;
        let mut outcome = exchange::send(&gateway.dialect, request, guard).await;
        match (&mut outcome, self.time_left().is_zero()) {
            (SendOutcome::Responded(response), _) => response.set_watch(watch.clone()),
            (SendOutcome::NotSent(_), true) => watch.end(AttemptEnd::Deadline),
            (SendOutcome::NotSent(_), false) => watch.end(AttemptEnd::Unreachable),
            (SendOutcome::NotRun(_), _) => watch.end(AttemptEnd::Refused),
            (SendOutcome::Unknown(error), _) => watch.end((*error).into()),
        }
        let answered = match &outcome {
            SendOutcome::Responded(_) => true,
            SendOutcome::NotRun(reason) => *reason != DeclineReason::Elsewhere,
            SendOutcome::NotSent(_) | SendOutcome::Unknown(_) => false,
        };
        if let SendOutcome::Responded(response) = &outcome {
            let now = gateway.clock.now();
            if let Some(load) = response.meta.load {
                upstream.health.pace().on_load(load, now);
            }
            if let Some(slowness) = response.meta.slowness {
                upstream.health.slowdown().on_statement(slowness, now);
            }
        }
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
        origin: &Origin,
        response: &UpstreamResponse,
        read: &Result<BufferedBody, ResponseError>,
    ) {
        match read {
            Err(ResponseError::Disconnected) => {
                let engine = &origin.upstream.registration;
                let parts = self.request.head.shared_parts();
                self.on_engine_crash(engine, parts, Written::Nothing, origin.sent);
            }
            Ok(BufferedBody::Whole(_)) if response.is_framed() && response.meta.sealed => {
                if response.head.status.is_success() {
                    self.on_sound_parts();
                }
                self.record_time(response.head.status);
                self.on_completed();
            }
            _ => {}
        }
    }

    /// Converts an upstream's response to the caller's; `None` if another upstream is tried first.
    async fn handle_response(
        self: &Arc<Self>,
        origin: Origin,
        mut response: UpstreamResponse,
        attempts: &mut Attempts,
    ) -> Result<Option<Response<CallerBody>>, ResponseError> {
        let upstream = &origin.upstream;
        let status = response.head.status;
        if claims_not_run(status) {
            response.end_attempt(AttemptEnd::Invalid);
            upstream.health.on_failure(self.gateway.clock.now());
            return Err(ResponseError::Invalid);
        }
        let headers = self.gateway.dialect.response_headers(&response.head);
        let slot = &self.connection.slot;
        let read = response.read_buffered(slot).await;
        self.observe_buffered(&origin, &response, &read);
        if let Err(error) = &read {
            response.end_attempt((*error).into());
        }
        let body = match read? {
            BufferedBody::Whole(body) => {
                response.end_attempt(AttemptEnd::Answered);
                body
            }
            BufferedBody::Begun(first, next) => {
                let begun = [first, next];
                let body = stream::forward_plain(Arc::clone(self), origin, response, begun);
                let mut forwarded = Response::new(body);
                *forwarded.status_mut() = status;
                *forwarded.headers_mut() = headers;
                return Ok(Some(forwarded));
            }
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
        // A stream's failure is final, unless the time that its engine was told was over.
        let repeats = self.route.kind == RouteKind::Idempotent
            || self.route.kind.retryable() && response.falls_short();
        let fresh = attempts.sent < self.route.attempts && repeats;
        // An attempt that is still made, or an engine that was left, has not failed.
        if fresh || attempts.pending > 0 || attempts.returnable().is_some() {
            attempts.failure = Some(buffered);
            attempts.ended = Some(RetryCause::FailureStatus);
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
