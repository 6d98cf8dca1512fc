//! Runs a non-idempotent request that has an idempotency key at most once.
//!
//! [`OnceLog`] records a request in the platform's store before it is dispatched. A repeat is a
//! later request with the same idempotency key; it may arrive at any VM. A repeat gets the recorded
//! response or a refusal and is never dispatched, unless the earlier request certainly did not run.

mod pending;
mod reconcile;
pub mod record;
pub mod runner;
pub mod store_log;

use std::fmt::Debug;

use bytes::Bytes;
use compact_str::CompactString;
use futures_util::future::BoxFuture;

use crate::ids::{ClientAccount, Generation, RouteId, Version, VmId};
use crate::outcome::Refusal;

/// Identifies a request that must run at most once.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct OnceKey {
    /// Client account of the caller's key.
    pub account: ClientAccount,
    /// Route that the request matched.
    pub route: RouteId,
    /// Idempotency key that the caller sent; unique per account and route.
    pub key: CompactString,
    /// Hash of the request, to detect a different request with the same idempotency key.
    pub digest: [u8; 32],
}

/// A response as it is recorded and returned to repeats.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordedResponse {
    /// HTTP status.
    pub status: u16,
    /// Value of the `content-type` header; empty if the upstream sent none that is text.
    pub content_type: CompactString,
    /// Complete body.
    pub body: Bytes,
}

/// What the caller of [`OnceLog::begin`] must do with the request.
#[derive(Debug)]
pub enum BeginResult {
    /// Dispatch it once, then call [`OnceLog::finish`] with the attempt.
    Run(Attempt),
    /// Return this response, which is recorded from an earlier run.
    Repeat(RecordedResponse),
}

/// Permission to dispatch a request once.
#[derive(Debug)]
pub struct Attempt {
    /// The request that may be dispatched.
    pub key: OnceKey,
    /// Random identifier that marks the record as created by this attempt.
    pub id: CompactString,
    /// Version of the record that this attempt created.
    pub version: Version,
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The request certainly did not run; a repeat may run it.
    NotRun,
    /// The request ran, with this response.
    Ran(RecordedResponse),
    /// The request may have run; no repeat may run it.
    Unknown,
}

/// Determines which VMs have certainly stopped.
pub trait VmLiveness: Send + Sync + Debug {
    /// Whether the VM with this generation has stopped and so cannot finish a request any more.
    fn is_gone(&self, vm: &VmId, generation: Generation) -> bool;
}

/// Records which requests run and how they ended.
pub trait OnceLog: Send + Sync + Debug {
    /// Records that a request is about to run, or returns what is recorded of an earlier one.
    fn begin(&self, key: OnceKey) -> BoxFuture<'_, Result<BeginResult, Refusal>>;

    /// Records how an attempt ended. An outcome that cannot be written now is written later.
    fn finish(&self, attempt: Attempt, outcome: AttemptOutcome) -> BoxFuture<'_, ()>;
}
