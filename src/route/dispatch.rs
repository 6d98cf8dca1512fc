//! Dispatches a request: selects an upstream, sends the request, retries, and tracks the response.
//!
//! A request that is not idempotent is written to at most one connection. It is sent to a second
//! upstream only if no byte of it was sent to the first. An idempotent request is retried as long
//! as its deadline, the maximum number of attempts and the retry budget allow, and only until the
//! first chunk of a response has arrived. A failure after that is passed on to the caller.

use std::collections::BTreeMap;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use ::http::{HeaderName, HeaderValue, StatusCode};
use bytes::Bytes;
use futures_util::stream::{self, BoxStream, Stream, StreamExt};

use super::{
    ChoiceContext, Chooser, DispatchOutcome, SendError, Transport, UpstreamRequest,
    UpstreamResponse,
};
use crate::clock::Clock;
use crate::ids::{ReplicaId, UpstreamId};
use crate::outcome::{Reason, Refusal};
use crate::store::{Instance, InstanceKind};

/// Sent to the caller as the time to wait before it retries, if the request did not run.
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// Pause before upstreams that were already tried are used again.
const SAME_UPSTREAM_PAUSE: Duration = Duration::from_millis(50);
const REPLICA: HeaderName = HeaderName::from_static("x-replica");

/// A request to dispatch, with the rules for its dispatch.
#[derive(Clone, Debug)]
pub struct Job {
    /// The request; the header with the replica is added when an engine has been selected.
    pub request: UpstreamRequest,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Time by which the response must have started.
    pub deadline: Instant,
    /// Hash of the model, the adapter and the prompt's prefix; `None` for requests without a
    /// prompt.
    pub prefix: Option<u64>,
    /// The replica of the requested model on each engine; empty for requests to plain services.
    pub replicas: BTreeMap<UpstreamId, ReplicaId>,
}

/// A response and the upstream that sent it.
#[derive(Debug)]
pub struct Dispatched {
    /// The upstream that responded.
    pub upstream: UpstreamId,
    /// Its response, whose body may still be arriving.
    pub response: UpstreamResponse,
}

/// Dispatches requests to upstreams, with retries.
#[derive(Clone, Debug)]
pub struct Dispatcher {
    chooser: Arc<dyn Chooser>,
    transport: Arc<dyn Transport>,
    clock: Arc<dyn Clock>,
    max_attempts: u32,
}

impl Dispatcher {
    /// Creates a dispatcher that makes at most `max_attempts` attempts at a request, but at least
    /// one.
    pub fn open(
        chooser: Arc<dyn Chooser>,
        transport: Arc<dyn Transport>,
        clock: Arc<dyn Clock>,
        max_attempts: u32,
    ) -> Self {
        Self {
            chooser,
            transport,
            clock,
            max_attempts: max_attempts.max(1),
        }
    }

    /// Sends a request to one of the given instances, with retries. Returns when the response head
    /// has arrived and, for an idempotent request, also the first chunk of the body.
    pub async fn dispatch(&self, instances: &[Instance], job: &Job) -> Result<Dispatched, Refusal> {
        let mut context = ChoiceContext {
            prefix: job.prefix,
            tried: Vec::new(),
        };
        let mut history = AttemptHistory::default();
        for attempts in 1.. {
            let Some((upstream, instance)) = self.choose(instances, &mut context).await else {
                return Err(history.into_refusal());
            };
            let failure = match self.attempt(&upstream, instance, job).await {
                Ok(dispatched) if !dispatched.response.status.is_server_error() => {
                    return Ok(dispatched);
                }
                Ok(dispatched) => Failure::Response(dispatched),
                Err(error) => Failure::Error(error),
            };
            context.tried.push(upstream);
            if !self.try_retry(job, &failure, attempts) {
                return history.into_result(failure);
            }
            history.record(&failure);
        }
        Err(history.into_refusal())
    }

    /// Selects an upstream that no earlier attempt used. If there is none, waits for a short pause
    /// and selects from all.
    async fn choose<'a>(
        &self,
        instances: &'a [Instance],
        context: &mut ChoiceContext,
    ) -> Option<(UpstreamId, &'a Instance)> {
        let mut selected = self.chooser.choose(instances, context, self.clock.now());
        if selected.is_none() && !context.tried.is_empty() {
            context.tried.clear();
            tokio::time::sleep(SAME_UPSTREAM_PAUSE).await;
            selected = self.chooser.choose(instances, context, self.clock.now());
        }
        let upstream = selected?;
        let found = instances
            .iter()
            .find(|instance| instance.vm.as_str() == upstream.as_str());
        found.map(|instance| (upstream, instance))
    }

    async fn attempt(
        &self,
        upstream: &UpstreamId,
        instance: &Instance,
        job: &Job,
    ) -> Result<Dispatched, SendError> {
        let mut reporter = OutcomeReporter::open(self, upstream.clone());
        let request = prepare_request(job, upstream, instance);
        let sent = self.transport.send(instance, request, job.deadline).await;
        let mut response = match sent {
            Ok(response) => response,
            Err(error) => {
                reporter.report(error_outcome(error));
                return Err(error);
            }
        };
        reporter.success = response.status.is_success();
        if is_failure(response.status) {
            reporter.complete_outcome = DispatchOutcome::Failed;
        }
        let first = if job.idempotent {
            self.first_chunk(&mut response, &mut reporter).await?
        } else {
            None
        };
        response.body = reporter.wrap_body(first, response.body);
        Ok(Dispatched {
            upstream: upstream.clone(),
            response,
        })
    }

    /// Waits for the first chunk of the body, so that a request that fails before it can still be
    /// retried at another upstream.
    async fn first_chunk(
        &self,
        response: &mut UpstreamResponse,
        reporter: &mut OutcomeReporter,
    ) -> Result<Option<Bytes>, SendError> {
        match response.body.next().await {
            Some(Ok(chunk)) => Ok(Some(chunk)),
            Some(Err(refusal)) => {
                reporter.report(reason_outcome(refusal.reason));
                Err(SendError::ResponseLost(refusal.reason))
            }
            None => {
                response.body = stream::empty().boxed();
                Ok(None)
            }
        }
    }

    /// Whether to retry after a failure; if so, one retry is spent from the budget.
    fn try_retry(&self, job: &Job, failure: &Failure, attempts: u32) -> bool {
        let now = self.clock.now();
        if now >= job.deadline || attempts >= self.max_attempts {
            return false;
        }
        let allowed = match failure {
            Failure::Error(SendError::NotSent(reason)) => *reason != Reason::Deadline,
            Failure::Error(SendError::Declined | SendError::ResponseLost(_)) => job.idempotent,
            Failure::Response(dispatched) => {
                job.idempotent && is_failure(dispatched.response.status)
            }
        };
        allowed && self.chooser.try_retry(now)
    }
}

/// How one attempt failed.
enum Failure {
    Error(SendError),
    /// The upstream responded with a server error.
    Response(Dispatched),
}

/// Failures of the earlier attempts at the same request.
#[derive(Debug, Default)]
struct AttemptHistory {
    last: Option<Refusal>,
    /// Whether the request may have run in one of the attempts.
    ran: bool,
}

impl AttemptHistory {
    fn record(&mut self, failure: &Failure) {
        let refusal = match failure {
            Failure::Error(error) => Refusal::from(*error),
            Failure::Response(_) => Refusal::unknown(Reason::UpstreamFailed),
        };
        self.ran |= refusal.ran != crate::outcome::Ran::No;
        self.last = Some(refusal);
    }

    /// Result of the last attempt: its response, or else a refusal.
    fn into_result(mut self, failure: Failure) -> Result<Dispatched, Refusal> {
        if let Failure::Response(dispatched) = failure {
            return Ok(dispatched);
        }
        self.record(&failure);
        Err(self.into_refusal())
    }

    fn into_refusal(self) -> Refusal {
        let reason = self
            .last
            .as_ref()
            .map_or(Reason::UpstreamFailed, |refusal| refusal.reason);
        if self.ran {
            return Refusal::unknown(reason);
        }
        Refusal::not_run(reason).retry_after(RETRY_AFTER)
    }
}

fn prepare_request(job: &Job, upstream: &UpstreamId, instance: &Instance) -> UpstreamRequest {
    let mut request = job.request.clone();
    // On a pooled connection that died unnoticed, a request to an engine would wait until its
    // deadline, and for a request that must not be retried the outcome would be unknown.
    request.new_connection = !job.idempotent || instance.kind == InstanceKind::Engine;
    let replica = job.replicas.get(upstream).map(ReplicaId::as_str);
    if let Some(Ok(value)) = replica.map(HeaderValue::from_str) {
        request.headers.insert(REPLICA, value);
    }
    request
}

fn is_failure(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::BAD_GATEWAY | StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT
    )
}

fn error_outcome(error: SendError) -> DispatchOutcome {
    match error {
        SendError::Declined => DispatchOutcome::Failed,
        SendError::NotSent(reason) | SendError::ResponseLost(reason) => reason_outcome(reason),
    }
}

fn reason_outcome(reason: Reason) -> DispatchOutcome {
    match reason {
        Reason::UpstreamSilent => DispatchOutcome::Silent,
        // These failures are the caller's or this program's, and say nothing about the upstream.
        Reason::Deadline | Reason::Internal => DispatchOutcome::Cancelled,
        _ => DispatchOutcome::Failed,
    }
}

/// Reports to the chooser how an attempt ended, exactly once. If it is dropped before, for example
/// because the caller disconnected, it reports the attempt as cancelled.
struct OutcomeReporter {
    chooser: Arc<dyn Chooser>,
    clock: Arc<dyn Clock>,
    upstream: UpstreamId,
    started: Instant,
    /// Outcome to report when the body is complete.
    complete_outcome: DispatchOutcome,
    /// Whether the response has a 2xx status.
    success: bool,
    reported: bool,
}

impl OutcomeReporter {
    fn open(dispatcher: &Dispatcher, upstream: UpstreamId) -> Self {
        Self {
            chooser: Arc::clone(&dispatcher.chooser),
            clock: Arc::clone(&dispatcher.clock),
            upstream,
            started: dispatcher.clock.now(),
            complete_outcome: DispatchOutcome::Completed,
            success: false,
            reported: false,
        }
    }

    fn report(&mut self, outcome: DispatchOutcome) {
        if self.reported {
            return;
        }
        self.reported = true;
        let now = self.clock.now();
        let counts = self.success && outcome == DispatchOutcome::Completed;
        let response_time = counts.then(|| now.saturating_duration_since(self.started));
        self.chooser
            .record_outcome(&self.upstream, outcome, response_time, now);
    }

    /// Wraps a body, whose `first` chunk may have been read already, to report its end.
    fn wrap_body(
        self,
        first: Option<Bytes>,
        rest: BoxStream<'static, Result<Bytes, Refusal>>,
    ) -> BoxStream<'static, Result<Bytes, Refusal>> {
        let reporter = self;
        ReportedBody {
            reporter,
            first,
            rest,
        }
        .boxed()
    }
}

/// A response body that reports its end.
struct ReportedBody {
    reporter: OutcomeReporter,
    first: Option<Bytes>,
    rest: BoxStream<'static, Result<Bytes, Refusal>>,
}

impl Stream for ReportedBody {
    type Item = Result<Bytes, Refusal>;

    fn poll_next(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let this = self.get_mut();
        if let Some(first) = this.first.take() {
            return Poll::Ready(Some(Ok(first)));
        }
        let poll = this.rest.poll_next_unpin(cx);
        match &poll {
            Poll::Pending | Poll::Ready(Some(Ok(_))) => {}
            Poll::Ready(Some(Err(refusal))) => this.reporter.report(reason_outcome(refusal.reason)),
            Poll::Ready(None) => this.reporter.report(this.reporter.complete_outcome),
        }
        poll
    }
}

impl Drop for OutcomeReporter {
    fn drop(&mut self) {
        self.report(DispatchOutcome::Cancelled);
    }
}
