//! Orders to model engines and their reports.
//!
//! [`EngineControl`] is the border; the HTTP form is in docs/PROTOCOLS.md. An order whose answer
//! was lost may still be carried out later, up to the longest life of an order.

pub mod http;

use std::fmt::Debug;

use futures_util::future::BoxFuture;
use thiserror::Error;

pub use crate::schema::engine::{
    CacheEvents, LoadReport, Order, OrderAnswer, OrderKind, OrderStatus, ReplicaReport,
};
use crate::store::Instance;

/// Why a call to an engine failed.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum EngineError {
    /// The call surely had no effect.
    #[error("the engine cannot be reached")]
    Unreachable,
    /// The call may have taken effect, or may yet.
    #[error("the engine's answer was lost")]
    Unknown,
    /// The answer cannot be read.
    #[error("the engine's answer cannot be read")]
    Malformed,
}

/// Orders and reports.
pub trait EngineControl: Send + Sync + Debug {
    /// Gives an order.
    fn order<'a>(
        &'a self,
        engine: &'a Instance,
        order: &'a Order,
    ) -> BoxFuture<'a, Result<OrderAnswer, EngineError>>;

    /// Reads the load report.
    fn report<'a>(&'a self, engine: &'a Instance)
    -> BoxFuture<'a, Result<LoadReport, EngineError>>;

    /// Reads cache events from a position on.
    fn events<'a>(
        &'a self,
        engine: &'a Instance,
        from: u64,
    ) -> BoxFuture<'a, Result<CacheEvents, EngineError>>;
}
