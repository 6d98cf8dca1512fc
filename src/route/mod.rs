//! Selects an upstream for each request and sends the request there.
//!
//! [`Chooser`] selects one of several engines or service instances, [`Transport`] sends a request
//! to one instance, and [`dispatch`] combines the two for each request, with retries. A transport
//! never retries by itself; docs/UPSTREAMS.md describes what each kind of failure means.

pub mod affinity;
pub mod balancer;
pub mod circuit_breaker;
mod completeness;
pub mod dispatch;
pub mod headers;
pub mod http;
pub mod latency;
pub mod leaving;
pub mod load_estimate;
mod marked;
#[cfg(test)]
mod marked_tests;
mod response_body;
pub mod retry_budget;

use std::fmt::Debug;
use std::time::{Duration, Instant};

use ::http::{HeaderMap, Method, StatusCode};
use bytes::Bytes;
use compact_str::CompactString;
use futures_util::future::BoxFuture;
use futures_util::stream::BoxStream;
use thiserror::Error;

use crate::ids::{Generation, UpstreamId};
use crate::outcome::{Reason, Refusal};
use crate::store::Instance;

/// Properties of a request that the selection of an upstream takes into account.
#[derive(Clone, Debug, Default)]
pub struct ChoiceContext {
    /// Hash that identifies the prompt's prefix, to prefer an engine that has it cached; `None` for
    /// requests without a prompt.
    pub prefix: Option<u64>,
    /// Upstreams that earlier attempts at this request used; they are not selected again.
    pub tried: Vec<UpstreamId>,
}

/// How a dispatched request ended, as far as it says something about the upstream's health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DispatchOutcome {
    /// The complete response was received.
    Completed,
    /// The response was abandoned for a reason that says nothing about the upstream, such as a
    /// caller that disconnected, a withdrawn key or the caller's own deadline.
    Cancelled,
    /// The upstream could not be reached, declined the request, failed or truncated its response.
    Failed,
    /// The upstream sent nothing for longer than the configured limit.
    Silent,
}

/// Selects upstreams and tracks their health from the outcomes of requests.
pub trait Chooser: Send + Sync + Debug {
    /// Selects one of the given instances and counts a request in flight to it, until
    /// [`Chooser::record_outcome`] is called for that request. Returns `None` if no instance may be
    /// used.
    fn choose(
        &self,
        instances: &[Instance],
        context: &ChoiceContext,
        now: Instant,
    ) -> Option<UpstreamId>;

    /// Records how a dispatched request ended. `response_time` is given only for a complete
    /// response with a 2xx status.
    fn record_outcome(
        &self,
        upstream: &UpstreamId,
        outcome: DispatchOutcome,
        response_time: Option<Duration>,
        now: Instant,
    );

    /// Records that an upstream is leaving and must get no new requests. This holds for the given
    /// generation and all older ones; a newer generation is a restarted upstream and may be used.
    fn on_leaving(&self, upstream: &UpstreamId, generation: Generation);

    /// Spends one retry from the budget; `false` if the budget is used up.
    fn try_retry(&self, now: Instant) -> bool;
}

/// A request to an upstream. It never carries a caller's key: its headers come from an allow-list.
#[derive(Clone, Debug)]
pub struct UpstreamRequest {
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: CompactString,
    /// Headers, without those that the transport itself adds.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
    /// Whether to send the request on a new connection instead of one from the pool.
    pub new_connection: bool,
}

/// A response from an upstream, whose body may still be arriving.
pub struct UpstreamResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers as the upstream sent them, not yet filtered for the caller.
    pub headers: HeaderMap,
    /// Body chunks. The stream ends with `None` only if the body is complete; a truncated or
    /// stalled body ends with an error.
    pub body: BoxStream<'static, Result<Bytes, Refusal>>,
}

impl Debug for UpstreamResponse {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("UpstreamResponse")
            .field("status", &self.status)
            .finish_non_exhaustive()
    }
}

/// Why a request got no response.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum SendError {
    /// No byte of the request was sent, so it cannot have run.
    #[error("the request was not sent: {0}")]
    NotSent(Reason),
    /// The upstream responded that it did not run the request.
    #[error("the upstream declined the request")]
    Declined,
    /// At least part of the request may have been sent but no response arrived, so the request
    /// may have run.
    #[error("the response was lost: {0}")]
    ResponseLost(Reason),
}

impl From<SendError> for Refusal {
    fn from(error: SendError) -> Self {
        match error {
            SendError::NotSent(reason) => Self::not_run(reason),
            SendError::Declined => Self::not_run(Reason::Capacity),
            SendError::ResponseLost(reason) => Self::unknown(reason),
        }
    }
}

/// Converts the VM name of an instance to an upstream identifier; `None` if it is not a valid one.
pub fn upstream_id(instance: &Instance) -> Option<UpstreamId> {
    instance.vm.as_str().parse().ok()
}

/// Sends requests to upstreams.
pub trait Transport: Send + Sync + Debug {
    /// Sends a request over one connection, without retries, and returns when the response head
    /// has arrived. `deadline` limits the wait for the first byte of the response, not its whole
    /// duration. Dropping the response body cancels the request.
    fn send<'a>(
        &'a self,
        to: &'a Instance,
        request: UpstreamRequest,
        deadline: Instant,
    ) -> BoxFuture<'a, Result<UpstreamResponse, SendError>>;
}
