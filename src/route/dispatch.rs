//! Dispatches a request: selects an upstream, sends the request, retries, and tracks the response.
//!
//! A request that is not idempotent is written to at most one connection. It is sent to a second
//! upstream only if no byte of it was sent to the first. An idempotent request is retried as long as
//! its deadline, the maximum number of attempts and the retry budget allow, and only until the
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
const SAME_PAUSE: Duration = Duration::from_millis(50);
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
    /// Hash of the model, the adapter and the prompt's prefix; `None` for requests without a prompt.
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
    tries: u32,
}

impl Dispatcher {
    /// Creates a dispatcher that makes at most `tries` attempts at a request, but at least one.
    pub fn open(
        chooser: Arc<dyn Chooser>,
        transport: Arc<dyn Transport>,
        clock: Arc<dyn Clock>,
        tries: u32,
    ) -> Self {
        Self {
            chooser,
            transport,
            clock,
            tries: tries.max(1),
        }
    }

    /// Sends a request to one of the given instances, with retries. Returns when the response head
    /// has arrived and, for an idempotent request, also the first chunk of the body.
    pub async fn dispatch(&self, among: &[Instance], job: &Job) -> Result<Dispatched, Refusal> {
        let mut choice = ChoiceContext {
            prefix: job.prefix,
            tried: Vec::new(),
        };
        let mut history = History::default();
        for tries in 1.. {
            let Some((upstream, instance)) = self.choose(among, &mut choice).await else {
                return Err(history.refusal());
            };
            let failure = match self.attempt(&upstream, instance, job).await {
                Ok(dispatched) if !dispatched.response.status.is_server_error() => {
                    return Ok(dispatched);
                }
                Ok(dispatched) => Failure::Answered(dispatched),
                Err(error) => Failure::Lost(error),
            };
            choice.tried.push(upstream);
            if !self.may_repeat(job, &failure, tries) {
                return history.end(failure);
            }
            history.note(&failure);
        }
        Err(history.refusal())
    }

    /// Selects an upstream that no earlier attempt used. If there is none, waits for a short pause
    /// and selects from all.
    async fn choose<'a>(
        &self,
        among: &'a [Instance],
        choice: &mut ChoiceContext,
    ) -> Option<(UpstreamId, &'a Instance)> {
        let mut chosen = self.chooser.choose(among, choice, self.clock.now());
        if chosen.is_none() && !choice.tried.is_empty() {
            choice.tried.clear();
            tokio::time::sleep(SAME_PAUSE).await;
            chosen = self.chooser.choose(among, choice, self.clock.now());
        }
        let upstream = chosen?;
        let found = among
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
        let mut watch = Watch::open(self, upstream.clone());
        let request = prepare(job, upstream, instance);
        let sent = self.transport.send(instance, request, job.deadline).await;
        let mut response = match sent {
            Ok(response) => response,
            Err(error) => {
                watch.end(ending_of(error));
                return Err(error);
            }
        };
        watch.good = response.status.is_success();
        if is_failure(response.status) {
            watch.verdict = DispatchOutcome::Failed;
        }
        let first = if job.idempotent {
            self.first_chunk(&mut response, &mut watch).await?
        } else {
            None
        };
        response.body = watch.follow(first, response.body);
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
        watch: &mut Watch,
    ) -> Result<Option<Bytes>, SendError> {
        match response.body.next().await {
            Some(Ok(chunk)) => Ok(Some(chunk)),
            Some(Err(refusal)) => {
                watch.end(ending_for(refusal.reason));
                Err(SendError::ResponseLost(refusal.reason))
            }
            None => {
                response.body = stream::empty().boxed();
                Ok(None)
            }
        }
    }

    fn may_repeat(&self, job: &Job, failure: &Failure, tries: u32) -> bool {
        let now = self.clock.now();
        if now >= job.deadline || tries >= self.tries {
            return false;
        }
        let allowed = match failure {
            Failure::Lost(SendError::NotSent(reason)) => *reason != Reason::Deadline,
            Failure::Lost(SendError::Declined | SendError::ResponseLost(_)) => job.idempotent,
            Failure::Answered(dispatched) => {
                job.idempotent && is_failure(dispatched.response.status)
            }
        };
        allowed && self.chooser.try_retry(now)
    }
}

/// How one attempt failed.
enum Failure {
    Lost(SendError),
    Answered(Dispatched),
}

/// Failures of the earlier attempts at the same request.
#[derive(Debug, Default)]
struct History {
    last: Option<Refusal>,
    /// Whether the request may have run in one of the attempts.
    ran: bool,
}

impl History {
    fn note(&mut self, failure: &Failure) {
        let refusal = match failure {
            Failure::Lost(error) => Refusal::from(*error),
            Failure::Answered(_) => Refusal::unknown(Reason::UpstreamFailed),
        };
        self.ran |= refusal.ran != crate::outcome::Ran::No;
        self.last = Some(refusal);
    }

    fn end(mut self, failure: Failure) -> Result<Dispatched, Refusal> {
        if let Failure::Answered(dispatched) = failure {
            return Ok(dispatched);
        }
        self.note(&failure);
        Err(self.refusal())
    }

    fn refusal(self) -> Refusal {
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

fn prepare(job: &Job, upstream: &UpstreamId, instance: &Instance) -> UpstreamRequest {
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

fn ending_of(error: SendError) -> DispatchOutcome {
    match error {
        SendError::Declined => DispatchOutcome::Failed,
        SendError::NotSent(reason) | SendError::ResponseLost(reason) => ending_for(reason),
    }
}

fn ending_for(reason: Reason) -> DispatchOutcome {
    match reason {
        Reason::UpstreamSilent => DispatchOutcome::Silent,
        // These failures are the caller's or this program's, and say nothing about the upstream.
        Reason::Deadline | Reason::Internal => DispatchOutcome::Cancelled,
        _ => DispatchOutcome::Failed,
    }
}

/// Reports to the chooser how an attempt ended, exactly once. If it is dropped before, for example
/// because the caller disconnected, it reports the attempt as cancelled.
struct Watch {
    chooser: Arc<dyn Chooser>,
    clock: Arc<dyn Clock>,
    upstream: UpstreamId,
    since: Instant,
    /// Outcome to report when the body is complete.
    verdict: DispatchOutcome,
    good: bool,
    ended: bool,
}

impl Watch {
    fn open(dispatcher: &Dispatcher, upstream: UpstreamId) -> Self {
        Self {
            chooser: Arc::clone(&dispatcher.chooser),
            clock: Arc::clone(&dispatcher.clock),
            upstream,
            since: dispatcher.clock.now(),
            verdict: DispatchOutcome::Completed,
            good: false,
            ended: false,
        }
    }

    fn end(&mut self, ending: DispatchOutcome) {
        if self.ended {
            return;
        }
        self.ended = true;
        let now = self.clock.now();
        let counts = self.good && ending == DispatchOutcome::Completed;
        let took = counts.then(|| now.saturating_duration_since(self.since));
        self.chooser
            .record_outcome(&self.upstream, ending, took, now);
    }

    fn follow(
        self,
        first: Option<Bytes>,
        rest: BoxStream<'static, Result<Bytes, Refusal>>,
    ) -> BoxStream<'static, Result<Bytes, Refusal>> {
        let watch = self;
        Followed { watch, first, rest }.boxed()
    }
}

/// A response body that reports its end.
struct Followed {
    watch: Watch,
    first: Option<Bytes>,
    rest: BoxStream<'static, Result<Bytes, Refusal>>,
}

impl Stream for Followed {
    type Item = Result<Bytes, Refusal>;

    fn poll_next(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let this = self.get_mut();
        if let Some(first) = this.first.take() {
            return Poll::Ready(Some(Ok(first)));
        }
        let polled = this.rest.poll_next_unpin(cx);
        match &polled {
            Poll::Pending | Poll::Ready(Some(Ok(_))) => {}
            Poll::Ready(Some(Err(refusal))) => this.watch.end(ending_for(refusal.reason)),
            Poll::Ready(None) => this.watch.end(this.watch.verdict),
        }
        polled
    }
}

impl Drop for Watch {
    fn drop(&mut self) {
        self.end(DispatchOutcome::Cancelled);
    }
}
