//! The platform's API: a store of versioned objects and the list of instances.
//!
//! [`ObjectStore`] and [`InstanceSource`] are the interfaces; [`http`] implements them with the
//! protocol of docs/PROTOCOLS.md. A write whose response was lost fails with
//! [`StoreError::Unknown`]; the caller then reads the object to see whether the write took effect.

mod directory;
pub mod generation;
pub mod http;

use std::fmt::Debug;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::BoxFuture;
use thiserror::Error;

use crate::ids::{ObjectKey, StoreGeneration, Version};
pub use crate::schema::platform::{Instance, InstanceKind, InstanceList, InstanceState};
pub use directory::{InstanceDirectory, InstanceSnapshot};

/// Largest size of an object's value, in bytes.
pub const MAX_VALUE_BYTES: usize = 1_000_000;

/// An object as read from the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Object {
    /// Version of the object; grows with each write.
    pub version: Version,
    /// Content of the object, at most [`MAX_VALUE_BYTES`].
    pub value: Bytes,
}

/// Why a call to the platform failed.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum StoreError {
    /// The object is not at the expected version; this is its version in the store.
    #[error("the object is at version {0}")]
    Conflict(Version),
    /// The platform cannot be reached or is unavailable; the call certainly had no effect.
    #[error("the store cannot be reached")]
    Unavailable,
    /// The response was lost; the call may have taken effect.
    #[error("the store's answer was lost")]
    Unknown,
    /// The value has this size in bytes, which exceeds [`MAX_VALUE_BYTES`].
    #[error("a value of {0} bytes is too large")]
    TooLarge(usize),
    /// The store no longer has the changes after the requested revision; the caller must list all
    /// objects again.
    #[error("the history asked for is gone")]
    HistoryGone,
    /// The response is not valid, or the request is not.
    #[error("the store's answer cannot be read")]
    Malformed,
}

/// A store of versioned objects.
pub trait ObjectStore: Send + Sync + Debug {
    /// The newest generation of the store that a response has shown; always the first one for a
    /// store that never returns from an older copy.
    fn generation(&self) -> StoreGeneration {
        StoreGeneration::default()
    }

    /// Reads an object; `None` where it does not exist.
    fn get<'a>(&'a self, key: &'a ObjectKey) -> BoxFuture<'a, Result<Option<Object>, StoreError>>;

    /// Writes an object if its version is `expected`, and returns the new version. Version 0 stands
    /// for an object that does not exist.
    fn put<'a>(
        &'a self,
        key: &'a ObjectKey,
        expected: Version,
        value: Bytes,
    ) -> BoxFuture<'a, Result<Version, StoreError>>;

    /// Deletes an object if its version is `expected`.
    fn delete<'a>(
        &'a self,
        key: &'a ObjectKey,
        expected: Version,
    ) -> BoxFuture<'a, Result<(), StoreError>>;

    /// Waits until the version of an object is greater than `after`, and returns the object; `None`
    /// where `wait` passes first.
    fn watch<'a>(
        &'a self,
        key: &'a ObjectKey,
        after: Version,
        wait: Duration,
    ) -> BoxFuture<'a, Result<Option<Object>, StoreError>>;
}

/// The platform's list of instances.
pub trait InstanceSource: Send + Sync + Debug {
    /// Reads the list, which lags behind the actual state of the VMs.
    fn list(&self) -> BoxFuture<'_, Result<InstanceList, StoreError>>;
}
