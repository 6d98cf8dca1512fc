//! Which models and adapters are loaded where, and who waits for them.
//!
//! [`Placer`] is the border towards the edge: a request waits there for a replica until its
//! deadline, or is refused at once where the deadline cannot be met.

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

pub use driver::{Catalog, Config, Fleet, Models, Ports, WakeError, WakeLink};

use std::fmt::Debug;
use std::time::Instant;

use futures_util::future::BoxFuture;

use crate::ids::{AdapterId, ClientAccount, ModelId, ReplicaId, RequestId, UpstreamId};
use crate::outcome::Refusal;
use crate::schema::declaration::Priority;
use crate::units::Tokens;

/// A request that needs a replica.
#[derive(Clone, Debug)]
pub struct Want {
    /// The request.
    pub request: RequestId,
    /// The account it runs for.
    pub account: ClientAccount,
    /// Its order inside the account.
    pub priority: Priority,
    /// The model.
    pub model: ModelId,
    /// The adapter, if any.
    pub adapter: Option<AdapterId>,
    /// Its expected work.
    pub work: Tokens,
    /// When it must be answered.
    pub deadline: Instant,
}

/// A replica that can serve a request now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Replica {
    /// The replica.
    pub id: ReplicaId,
    /// The engine it is on.
    pub upstream: UpstreamId,
    /// Requests it serves at once.
    pub slots: u32,
}

/// Finds or makes replicas for requests.
pub trait Placer: Send + Sync + Debug {
    /// Waits for replicas that have the model and the adapter loaded, and for the request's turn.
    /// The list is never empty. Dropping the future withdraws the request from every queue.
    fn acquire(&self, want: Want) -> BoxFuture<'_, Result<Vec<Replica>, Refusal>>;

    /// Says that a request is over, so that the next one may have its slot.
    fn release(&self, want: &Want);
}
