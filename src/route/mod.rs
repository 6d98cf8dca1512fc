//! Choice of an upstream for each request, and sending it there.
//!
//! [`Chooser`] picks among replicas or service instances; [`Transport`] sends a request to the
//! chosen one. A request that left is never sent again by the transport itself.

use std::fmt::Debug;
use std::time::Instant;

use bytes::Bytes;
use compact_str::CompactString;
use futures_util::future::BoxFuture;
use futures_util::stream::BoxStream;
use http::{HeaderMap, Method, StatusCode};

use crate::ids::UpstreamId;
use crate::outcome::Refusal;
use crate::platform::Instance;

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

    /// Says how a dispatch ended.
    fn finish(&self, upstream: &UpstreamId, ending: Ending, now: Instant);

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

/// Sends requests to upstreams.
pub trait Transport: Send + Sync + Debug {
    /// Sends a request over one connection, once. Dropping the answer's body cancels the work.
    fn send<'a>(
        &'a self,
        to: &'a Instance,
        request: Outgoing,
        deadline: Instant,
    ) -> BoxFuture<'a, Result<Answer, Refusal>>;
}
