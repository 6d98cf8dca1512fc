//! Loads models and adapters on engines, and admits the requests that need them.
//!
//! A replica is a model that is loaded on an engine. The edge calls [`ReplicaPool`]: a request
//! waits there until a replica can serve it, or is refused as soon as its deadline cannot be met
//! any more. One VM, the leader, plans loads and unloads for all VMs; the others send it wake
//! messages when requests wait.
//!
//! An order tells an engine to load or unload a replica, or to attach or detach an adapter. It
//! carries a fencing number; a fenced engine refuses orders with a lower number than it has seen
//! for the model. A load report lists the replicas that an engine has, and lags behind.

mod adapters;
pub mod admission;
pub mod command;
mod driver;
pub mod eviction;
pub mod executor;
pub mod intents;
mod jobs;
pub mod leader;
pub mod load_limiter;
mod loader;
pub mod observations;
pub mod placement;
pub mod plan;
pub mod queue;
mod reconcile;
pub mod scale;
mod shared;
pub mod views;

pub use driver::{
    ClusterSource, Config, DeclarationSource, ModelDeps, Models, WakeClient, WakeError,
};

use std::fmt::Debug;
use std::time::Instant;

use futures_util::future::BoxFuture;

use crate::ids::{AdapterId, ClientAccount, ModelId, ReplicaId, RequestId, UpstreamId};
use crate::outcome::Refusal;
use crate::schema::declaration::Priority;
use crate::units::Tokens;

/// A request that needs a replica.
#[derive(Clone, Debug)]
pub struct ReplicaRequest {
    /// Id of the request.
    pub id: RequestId,
    /// Client account that sent it.
    pub account: ClientAccount,
    /// Priority within its account.
    pub priority: Priority,
    /// The model it calls.
    pub model: ModelId,
    /// The adapter it needs; `None` for the plain model.
    pub adapter: Option<AdapterId>,
    /// Tokens it is expected to take, prompt and output together.
    pub work: Tokens,
    /// When its response must be complete.
    pub deadline: Instant,
}

/// A replica that can serve a request now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Replica {
    /// Id of the replica.
    pub id: ReplicaId,
    /// The engine it is loaded on.
    pub upstream: UpstreamId,
    /// Number of requests it serves at once.
    pub slots: u32,
}

/// Gives requests a turn on replicas, and has models loaded that have none.
pub trait ReplicaPool: Send + Sync + Debug {
    /// Waits for the request's turn on replicas that have its model and adapter loaded, and returns
    /// those replicas; the list is never empty. Dropping the future cancels the request.
    fn acquire(&self, request: ReplicaRequest) -> BoxFuture<'_, Result<Vec<Replica>, Refusal>>;

    /// Frees the slot of a request that was granted and has ended, for the next request.
    fn release(&self, request: &ReplicaRequest);
}
