//! What a plan asks for, and how it is carried out.

use super::flow::{FlowError, Flows, Load, Target};
use super::place::Origin;
use crate::ids::{AdapterId, Epoch, ModelId, ReplicaId, UpstreamId};
use crate::store::Instance;
use crate::units::Bytes;

/// Something to carry out; see the method of the same name in [`super::flow::Flows`].
#[derive(Clone, Debug)]
#[expect(missing_docs, reason = "fields are the method's arguments")]
pub enum Command {
    /// Loads a new replica.
    Load {
        engine: Instance,
        load: Load,
        origin: Origin,
    },
    /// Orders a load again.
    Renew { engine: Instance, target: Target },
    /// Records a replica as ready.
    Ready { model: ModelId, replica: ReplicaId },
    /// Withdraws a replica and orders its unload.
    Unload { engine: Instance, target: Target },
    /// Withdraws a replica of an engine that is not listed.
    Withdraw { model: ModelId, replica: ReplicaId },
    /// Forgets a replica that is gone.
    Release {
        model: ModelId,
        replica: ReplicaId,
        engine: UpstreamId,
    },
    /// Gives back a hold without an intent.
    Sweep {
        model: ModelId,
        replica: ReplicaId,
        engine: UpstreamId,
    },
    /// Orders a replica off that nobody decided.
    Expel { engine: Instance, target: Target },
    /// Puts an adapter onto a replica.
    Attach {
        engine: Instance,
        target: Target,
        adapter: AdapterId,
        memory: Bytes,
    },
    /// Takes an adapter off a replica.
    Detach {
        engine: Instance,
        target: Target,
        adapter: AdapterId,
    },
    /// Gives a withdrawn adapter's memory back.
    DropAdapter {
        model: ModelId,
        engine: UpstreamId,
        replica: ReplicaId,
        adapter: AdapterId,
        since: Epoch,
    },
}

impl Command {
    /// The model it is about.
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

    /// Carries it out.
    pub async fn run(&self, flows: &Flows) -> Result<(), FlowError> {
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
