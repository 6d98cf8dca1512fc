//! At most one run of a non-idempotent request.
//!
//! [`OnceLog`] records a request in the platform's store before it is dispatched, so that a repeat
//! with the same idempotency key, at any VM, gets the recorded outcome and never a second run.

pub mod log;
mod pending;
pub mod record;
pub mod run;
mod settle;

use std::fmt::Debug;

use bytes::Bytes;
use compact_str::CompactString;
use futures_util::future::BoxFuture;

use crate::ids::{ClientAccount, Generation, RouteId, Version, VmId};
use crate::outcome::Refusal;

/// Names a request that must run at most once.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct OnceKey {
    /// The account whose key it carried.
    pub account: ClientAccount,
    /// The route.
    pub route: RouteId,
    /// The caller's idempotency key.
    pub key: CompactString,
    /// Hash of the request, so that another request with the same key is told apart.
    pub digest: [u8; 32],
}

/// A recorded answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Recorded {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub media: CompactString,
    /// Body.
    pub body: Bytes,
}

/// What to do with a request.
#[derive(Debug)]
pub enum Begin {
    /// Dispatch it, once; then call [`OnceLog::finish`] with the attempt.
    Run(Attempt),
    /// It ran before; this was the answer.
    Repeat(Recorded),
}

/// A right to dispatch one request once.
#[derive(Debug)]
pub struct Attempt {
    /// The request.
    pub key: OnceKey,
    /// Identifies this attempt in the record.
    pub id: CompactString,
    /// The version of the record it created.
    pub version: Version,
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    /// It surely did not run; the same key may be tried again.
    NotRun,
    /// It ran, with this answer.
    Ran(Recorded),
    /// Nobody knows.
    Unknown,
}

/// Knows which VMs are surely gone.
pub trait VmLiveness: Send + Sync + Debug {
    /// Whether this incarnation of a VM can no longer finish a request.
    fn is_gone(&self, vm: &VmId, generation: Generation) -> bool;
}

/// Keeps the records.
pub trait OnceLog: Send + Sync + Debug {
    /// Records that the request is about to run, or says what became of it before.
    fn begin(&self, key: OnceKey) -> BoxFuture<'_, Result<Begin, Refusal>>;

    /// Records how an attempt ended.
    fn finish(&self, attempt: Attempt, end: End) -> BoxFuture<'_, ()>;
}
