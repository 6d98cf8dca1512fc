//! The platform's service: versioned objects and the list of VMs.
//!
//! [`ObjectStore`] and [`InstanceSource`] are the borders; [`http`] speaks the protocol of
//! docs/PROTOCOLS.md. A write whose answer was lost is [`StoreError::Unknown`]; callers settle it
//! by reading the object and looking for their own change.

mod directory;
pub mod http;

use std::fmt::Debug;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::BoxFuture;
use thiserror::Error;

use crate::ids::{ObjectKey, Version};
pub use crate::schema::platform::{Instance, InstanceKind, InstanceList, InstanceState};
pub use directory::{InstanceDirectory, InstanceSnapshot};

/// Greatest size of an object's value, in bytes.
pub const MAX_VALUE_BYTES: usize = 1_000_000;

/// An object as read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Object {
    /// Its version; grows with each write.
    pub version: Version,
    /// Its value.
    pub value: Bytes,
}

/// Why a call to the store failed.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum StoreError {
    /// Another write came first; the version now in the store.
    #[error("the object is at version {0}")]
    Conflict(Version),
    /// The call surely had no effect.
    #[error("the store cannot be reached")]
    Unavailable,
    /// The call may have taken effect.
    #[error("the store's answer was lost")]
    Unknown,
    /// The value exceeds [`MAX_VALUE_BYTES`].
    #[error("a value of {0} bytes is too large")]
    TooLarge(usize),
    /// The history after the mark asked for is gone; everything must be read anew.
    #[error("the history asked for is gone")]
    HistoryGone,
    /// The store answered something that cannot be read.
    #[error("the store's answer cannot be read")]
    Malformed,
}

/// The versioned object API.
pub trait ObjectStore: Send + Sync + Debug {
    /// Reads an object; `None` where there is none.
    fn get<'a>(&'a self, key: &'a ObjectKey) -> BoxFuture<'a, Result<Option<Object>, StoreError>>;

    /// Writes an object if it is still at `expected`; version 0 creates it only if absent.
    fn put<'a>(
        &'a self,
        key: &'a ObjectKey,
        expected: Version,
        value: Bytes,
    ) -> BoxFuture<'a, Result<Version, StoreError>>;

    /// Deletes an object if it is still at `expected`.
    fn delete<'a>(
        &'a self,
        key: &'a ObjectKey,
        expected: Version,
    ) -> BoxFuture<'a, Result<(), StoreError>>;

    /// Waits until an object is newer than `after`; `None` where `wait` passed first.
    fn watch<'a>(
        &'a self,
        key: &'a ObjectKey,
        after: Version,
        wait: Duration,
    ) -> BoxFuture<'a, Result<Option<Object>, StoreError>>;
}

/// The platform's list of VMs.
pub trait InstanceSource: Send + Sync + Debug {
    /// Reads the list, which lags behind the VMs themselves.
    fn list(&self) -> BoxFuture<'_, Result<InstanceList, StoreError>>;
}
