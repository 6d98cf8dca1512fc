//! The commands of a plan, and how each is executed.

use super::executor::{ExecuteError, Executor, Load, Target};
use super::placement::Origin;
use crate::ids::{AdapterId, Epoch, ModelId, ReplicaId, UpstreamId};
use crate::store::Instance;
use crate::units::Bytes;

/// A command of a plan; see the method of the same name in [`super::executor::Executor`].
#[derive(Clone, Debug)]
#[expect(missing_docs, reason = "fields are the method's arguments")]
pub enum Command {
    /// Loads a new replica.
    Load {
        engine: Instance,
        load: Load,
        origin: Origin,
    },
    /// Sends the load order of a replica again.
    Renew { engine: Instance, target: Target },
    /// Records that the engine reported a replica ready.
    Ready { model: ModelId, replica: ReplicaId },
    /// Withdraws a replica and orders its engine to unload it.
    Unload { engine: Instance, target: Target },
    /// Withdraws a replica whose engine the platform no longer lists.
    Withdraw { model: ModelId, replica: ReplicaId },
    /// Removes the intent and the reservation of a withdrawn replica that is gone.
    Release {
        model: ModelId,
        replica: ReplicaId,
        engine: UpstreamId,
    },
    /// Releases a reservation that has no intent.
    Sweep {
        model: ModelId,
        replica: ReplicaId,
        engine: UpstreamId,
    },
    /// Orders an engine to unload a replica that has neither an intent nor a reservation.
    Expel { engine: Instance, target: Target },
    /// Reserves memory for an adapter and orders it attached to a replica.
    Attach {
        engine: Instance,
        target: Target,
        adapter: AdapterId,
        memory: Bytes,
    },
    /// Withdraws an adapter and orders it detached from its replica.
    Detach {
        engine: Instance,
        target: Target,
        adapter: AdapterId,
    },
    /// Releases the memory reserved for a withdrawn adapter.
    DropAdapter {
        model: ModelId,
        engine: UpstreamId,
        replica: ReplicaId,
        adapter: AdapterId,
        since: Epoch,
    },
}

impl Command {
    /// The model that the command changes.
    pub fn model(&self) -> &ModelId {
        match self {
            Self::Load { load, .. } => &load.model,
            Self::Renew { target, .. }
            | Self::Unload { target, .. }
            | Self::Expel { target, .. }
            | Self::Attach { target, .. }
            | Self::Detach { target, .. } => &target.model,
            Self::Ready { model, .. }
            | Self::Withdraw { model, .. }
            | Self::Release { model, .. }
            | Self::Sweep { model, .. }
            | Self::DropAdapter { model, .. } => model,
        }
    }

    /// Executes the command.
    pub async fn run(&self, flows: &Executor) -> Result<(), ExecuteError> {
        match self {
            Self::Load { engine, load, .. } => flows.load(engine, load).await.map(drop),
            Self::Renew { engine, target } => flows.renew(engine, target).await.map(drop),
            Self::Ready { model, replica } => flows.ready(model, replica).await.map(drop),
            Self::Unload { engine, target } => flows.unload(engine, target).await.map(drop),
            Self::Withdraw { model, replica } => flows.withdraw(model, replica).await.map(drop),
            Self::Release {
                model,
                replica,
                engine,
            } => flows.release(model, replica, engine).await,
            Self::Sweep {
                model,
                replica,
                engine,
            } => flows.sweep(model, replica, engine).await,
            Self::Expel { engine, target } => flows.expel(engine, target).await,
            Self::Attach {
                engine,
                target,
                adapter,
                memory,
            } => flows.attach(engine, target, adapter, *memory).await,
            Self::Detach {
                engine,
                target,
                adapter,
            } => flows.detach(engine, target, adapter).await,
            Self::DropAdapter {
                engine,
                replica,
                adapter,
                since,
                ..
            } => {
                let since = *since;
                flows.drop_adapter(engine, replica, adapter, since).await
            }
        }
    }
}
