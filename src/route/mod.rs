//! Choice of an upstream for each request, and sending it there.
//!
//! [`Chooser`] picks among replicas or service instances; [`Transport`] sends a request to the
//! chosen one; [`dispatch`] ties both together for one request. A request that left is never sent
//! again by the transport itself; docs/UPSTREAMS.md says what each failure means.

pub mod affinity;
pub mod breaker;
pub mod budget;
pub mod choose;
pub mod dispatch;
pub mod headers;
pub mod http;
pub mod leaving;
pub mod load;
mod marked;
#[cfg(test)]
mod marked_tests;
pub mod pace;
mod reading;
mod whole;

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

/// What is known of a request when its upstream is chosen.
#[derive(Clone, Debug, Default)]
pub struct Choice {
    /// Hash of the prompt's prefix, where the request has one.
    pub prefix: Option<u64>,
    /// Upstreams already tried.
    pub tried: Vec<UpstreamId>,
}

/// How a dispatched request ended, as far as its upstream's health is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// A whole answer came.
    Whole,
    /// The caller left, or the key was withdrawn; says nothing of the upstream.
    Cancelled,
    /// The upstream refused, failed or cut its answer.
    Failed,
    /// The upstream went silent.
    Silent,
}

/// Picks upstreams.
pub trait Chooser: Send + Sync + Debug {
    /// Picks one of `among` and counts a dispatch to it; `None` where none may be used.
    fn choose(&self, among: &[Instance], choice: &Choice, now: Instant) -> Option<UpstreamId>;

    /// Says how a dispatch ended, and how long it took if its answer was good.
    fn finish(&self, upstream: &UpstreamId, ending: Ending, took: Option<Duration>, now: Instant);

    /// Says that an incarnation of an upstream takes no new work; only a newer one undoes it.
    fn on_leaving(&self, upstream: &UpstreamId, generation: Generation);

    /// Whether one more retry is within the budget; counts it where it is.
    fn may_retry(&self, now: Instant) -> bool;
}

/// A request to an upstream. Has no place for a caller's key: headers are an allow-list's output.
#[derive(Clone, Debug)]
pub struct Outgoing {
    /// Its method.
    pub method: Method,
    /// Its path and query.
    pub path: CompactString,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
    /// Whether a connection that carried another request before may not be used.
    pub fresh: bool,
}

/// An upstream's answer; its body ends with `None` only if it came whole.
pub struct Answer {
    /// Its status.
    pub status: StatusCode,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body, chunk by chunk.
    pub body: BoxStream<'static, Result<Bytes, Refusal>>,
}

impl Debug for Answer {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Answer")
            .field("status", &self.status)
            .finish_non_exhaustive()
    }
}

/// Why a request got no answer.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum SendError {
    /// No byte of the request left.
    #[error("the request was not sent: {0}")]
    Unsent(Reason),
    /// The upstream said that the request did not run.
    #[error("the upstream declined the request")]
    Declined,
    /// The request left, and nobody knows what became of it.
    #[error("the answer was lost: {0}")]
    Lost(Reason),
}

impl From<SendError> for Refusal {
    fn from(error: SendError) -> Self {
        match error {
            SendError::Unsent(reason) => Self::not_run(reason),
            SendError::Declined => Self::not_run(Reason::Capacity),
            SendError::Lost(reason) => Self::unknown(reason),
        }
    }
}

/// The identifier of the upstream that runs on an instance.
pub fn upstream_of(instance: &Instance) -> Option<UpstreamId> {
    instance.vm.as_str().parse().ok()
}

/// Sends requests to upstreams.
pub trait Transport: Send + Sync + Debug {
    /// Sends a request over one connection, once. Dropping the answer's body cancels the work.
    fn send<'a>(
        &'a self,
        to: &'a Instance,
        request: Outgoing,
        deadline: Instant,
    ) -> BoxFuture<'a, Result<Answer, SendError>>;
}
