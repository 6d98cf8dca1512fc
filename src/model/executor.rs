//! Executes commands against the store and the engines.
//!
//! A load reserves memory, writes the intent and sends the order. An unload writes the withdrawal
//! and sends the order; once the replica is gone, its intent and then its reservation are removed.
//! Each write is a compare-and-set, so a process may stop between any two of them. It then leaves a
//! reservation without an intent, which [`Executor::sweep`] removes, or an intent without a
//! replica, which [`Executor::renew`] or [`Executor::unload`] completes.
//!
//! Safety rests on two rules. A load order is sent only within one order lifetime of a write that
//! left its intent in the loading state. A reservation is removed only after a write to its model's
//! object that makes every write based on an older read of that object fail.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

use super::intents::{
    EditError, Intent, IntentState, Intents, Reservation, Reservations, engine_key, model_key,
};
use crate::clock::Clock;
use crate::engine::{EngineControl, EngineError, Order, OrderKind, OrderStatus};
use crate::ids::{
    AdapterId, Epoch, IdError, ModelId, ObjectKey, ReplicaId, UpstreamId, Version, VersionId,
};
use crate::store::{Instance, ObjectStore, StoreError};
use crate::units::Bytes;

/// Attempts of a compare-and-set, and of a read that returns a version older than required.
const MAX_ATTEMPTS: u32 = 8;

/// Why a command failed.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum ExecuteError {
    /// The edit does not apply.
    #[error(transparent)]
    Edit(#[from] EditError),
    /// The call to the store failed.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// The call to the engine failed; the order may still take effect.
    #[error(transparent)]
    Engine(#[from] EngineError),
    /// An id cannot be part of an object key, or is not one of an upstream.
    #[error(transparent)]
    Name(#[from] IdError),
    /// The engine refused the order.
    #[error("the engine refused the order: {0}")]
    Refused(OrderStatus),
    /// Too many attempts failed because other writes to the object came first, or because reads
    /// returned old versions. Also stands for a command that was skipped because an earlier one of
    /// its batch failed.
    #[error("too many concurrent writes to the object")]
    Contended,
    /// The order was not sent, because an order lifetime had passed since the write it needs.
    #[error("the order was not sent: the write it depends on is too old")]
    Late,
    /// The object changed after a write whose response was lost, and the intent is not in it, or is
    /// no longer loading.
    #[error("the intent is no longer in force")]
    Lost,
}

/// A replica to load.
#[derive(Clone, Debug)]
pub struct Load {
    /// Id of the new replica.
    pub replica: ReplicaId,
    /// The model to load.
    pub model: ModelId,
    /// The model's declared version.
    pub version: VersionId,
    /// Size of the weights.
    pub weights: Bytes,
    /// Minimum memory for the KV cache.
    pub floor: Bytes,
    /// Maximum number of replicas of the model.
    pub maximum: u32,
    /// Total memory of the engine.
    pub memory: Bytes,
}

/// The replica that an order is about.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Target {
    /// The replica's model.
    pub model: ModelId,
    /// Id of the replica.
    pub replica: ReplicaId,
    /// Version of the model that the replica has.
    pub version: VersionId,
    /// Memory of the replica, or of the adapter for attach and detach orders.
    pub bytes: Bytes,
}

/// Executes commands; each method is one command.
#[derive(Clone, Debug)]
pub struct Executor {
    /// The platform's store, which holds intents and reservations.
    pub store: Arc<dyn ObjectStore>,
    /// Sends orders to engines.
    pub engines: Arc<dyn EngineControl>,
    /// Clock for order lifetimes and stored times.
    pub clock: Arc<dyn Clock>,
    /// Longest time after its sending in which an order may take effect.
    pub order_lifetime: Duration,
}

impl Load {
    /// The replica as the target of an order.
    pub fn target(&self) -> Target {
        Target {
            model: self.model.clone(),
            replica: self.replica.clone(),
            version: self.version.clone(),
            bytes: self.weights + self.floor,
        }
    }
}

/// The result of a compare-and-set.
enum PutResult {
    Stored,
    /// Another write came first; holds the object's version.
    Conflict(Version),
    /// The response was lost, so the value may have been stored.
    Unknown,
}

impl Executor {
    /// Reserves memory, writes the intent and orders the load.
    pub async fn load(&self, engine: &Instance, load: &Load) -> Result<Epoch, ExecuteError> {
        let key = model_key(&load.model)?;
        let engine_id = upstream_id(engine)?;
        let target = load.target();
        let mut min_version = Version(0);
        for _ in 0..MAX_ATTEMPTS {
            let (version, mut intents) = self.read::<Intents>(&key, min_version).await?;
            let intent = self.new_intent(engine, engine_id.clone(), load.version.clone());
            let epoch = intents.add(load.replica.clone(), intent, load.maximum)?;
            self.reserve(engine, &engine_id, load).await?;
            let started = self.clock.now();
            match self.write(&key, version, &intents).await? {
                PutResult::Stored => {}
                PutResult::Conflict(newer) => {
                    min_version = newer;
                    continue;
                }
                PutResult::Unknown => self.resolve(&key, version, &intents, &load.replica).await?,
            }
            return self.send_load(engine, &target, epoch, started).await;
        }
        Err(ExecuteError::Contended)
    }

    /// Resolves a write of an intent whose response was lost: returns once the intent is stored,
    /// and writes it again if the object has not changed.
    async fn resolve(
        &self,
        key: &ObjectKey,
        version: Version,
        intents: &Intents,
        replica: &ReplicaId,
    ) -> Result<(), ExecuteError> {
        let mut min_version = version;
        for _ in 0..MAX_ATTEMPTS {
            let (newest, current) = self.read::<Intents>(key, min_version).await?;
            let state = current.replicas.get(replica).map(|i| i.state);
            match state {
                Some(IntentState::Loading) => return Ok(()),
                None if newest == version => {}
                _ => return Err(ExecuteError::Lost),
            }
            match self.write(key, version, intents).await? {
                PutResult::Stored => return Ok(()),
                PutResult::Conflict(newer) => min_version = newer,
                PutResult::Unknown => {}
            }
        }
        Err(ExecuteError::Contended)
    }

    async fn reserve(
        &self,
        engine: &Instance,
        engine_id: &UpstreamId,
        load: &Load,
    ) -> Result<(), ExecuteError> {
        let key = engine_key(engine_id)?;
        let reservation = Reservation {
            model: load.model.clone(),
            weights: load.weights,
            floor: load.floor,
            reserved: self.clock.wall_ms(),
            adapters: BTreeMap::new(),
        };
        let generation = engine.generation;
        self.edit(&key, |reservations: &mut Reservations| {
            reservations.generation = generation;
            reservations.reserve(&load.replica, reservation.clone(), load.memory)
        })
        .await
    }

    fn new_intent(&self, engine: &Instance, engine_id: UpstreamId, version: VersionId) -> Intent {
        Intent {
            engine: engine_id,
            generation: engine.generation,
            version,
            state: IntentState::Loading,
            epoch: Epoch(0),
            decided: self.clock.wall_ms(),
            withdrawn: None,
        }
    }

    async fn send_load(
        &self,
        engine: &Instance,
        target: &Target,
        epoch: Epoch,
        started: Instant,
    ) -> Result<Epoch, ExecuteError> {
        let order = order(OrderKind::Load, target, epoch, None);
        self.send(engine, &order, started).await?;
        Ok(epoch)
    }

    /// Sends an order, unless an order lifetime has passed since `started`, the time just before
    /// the write that the order needs.
    async fn send(
        &self,
        engine: &Instance,
        order: &Order,
        started: Instant,
    ) -> Result<(), ExecuteError> {
        if self.clock.now().duration_since(started) >= self.order_lifetime {
            return Err(ExecuteError::Late);
        }
        let response = self.engines.order(engine, order).await?;
        match response.status {
            OrderStatus::Accepted => Ok(()),
            status => Err(ExecuteError::Refused(status)),
        }
    }

    /// Sends a load order again whose replica does not appear in the engine's report.
    pub async fn renew(&self, engine: &Instance, target: &Target) -> Result<Epoch, ExecuteError> {
        let key = model_key(&target.model)?;
        let started = self.clock.now();
        let epoch = self
            .edit(&key, |intents: &mut Intents| intents.renew(&target.replica))
            .await?;
        self.send_load(engine, target, epoch, started).await
    }

    /// Records that the engine reported a replica ready.
    pub async fn ready(&self, model: &ModelId, replica: &ReplicaId) -> Result<Epoch, ExecuteError> {
        let key = model_key(model)?;
        self.edit(&key, |intents: &mut Intents| intents.mark_ready(replica))
            .await
    }

    /// Withdraws a replica and orders its engine to unload it; may be repeated.
    pub async fn unload(&self, engine: &Instance, target: &Target) -> Result<Epoch, ExecuteError> {
        let epoch = self.withdraw(&target.model, &target.replica).await?;
        let order = order(OrderKind::Unload, target, epoch, None);
        self.send(engine, &order, self.clock.now()).await?;
        Ok(epoch)
    }

    /// Withdraws a replica without an order, since its engine is gone.
    pub async fn withdraw(
        &self,
        model: &ModelId,
        replica: &ReplicaId,
    ) -> Result<Epoch, ExecuteError> {
        let key = model_key(model)?;
        let wall_ms = self.clock.wall_ms();
        self.edit(&key, |intents: &mut Intents| {
            intents.withdraw(replica, wall_ms)
        })
        .await
    }

    /// Removes the intent and the reservation of a withdrawn replica. The caller must have checked
    /// that no order for it can take effect any more and that its engine no longer has it.
    pub async fn release(
        &self,
        model: &ModelId,
        replica: &ReplicaId,
        engine: &UpstreamId,
    ) -> Result<(), ExecuteError> {
        let key = model_key(model)?;
        self.edit(&key, |intents: &mut Intents| intents.remove(replica))
            .await?;
        self.sweep(model, replica, engine).await
    }

    /// Removes a reservation that has no intent. The order matters: first the reservation is read,
    /// then the model's object is written, so that an intent based on an older read of it cannot be
    /// added any more, and then the reservation is removed.
    pub async fn sweep(
        &self,
        model: &ModelId,
        replica: &ReplicaId,
        engine: &UpstreamId,
    ) -> Result<(), ExecuteError> {
        let key = engine_key(engine)?;
        let mut min_version = Version(0);
        for _ in 0..MAX_ATTEMPTS {
            let (version, mut reservations) = self.read::<Reservations>(&key, min_version).await?;
            if reservations.release(replica).is_err() {
                return Ok(());
            }
            self.invalidate_older_reads(model, replica).await?;
            match self.write(&key, version, &reservations).await? {
                PutResult::Stored => return Ok(()),
                PutResult::Conflict(newer) => min_version = newer,
                PutResult::Unknown => {}
            }
        }
        Err(ExecuteError::Contended)
    }

    /// Writes the model's object without changing its intents, so that writes based on older reads
    /// of it fail. Fails if the replica has an intent.
    async fn invalidate_older_reads(
        &self,
        model: &ModelId,
        replica: &ReplicaId,
    ) -> Result<Epoch, ExecuteError> {
        let key = model_key(model)?;
        self.edit(&key, |intents: &mut Intents| {
            if intents.replicas.contains_key(replica) {
                return Err(EditError::State);
            }
            intents.bump_epoch();
            Ok(intents.epoch)
        })
        .await
    }

    /// Orders an engine to unload a replica that has neither an intent nor a reservation.
    pub async fn expel(&self, engine: &Instance, target: &Target) -> Result<(), ExecuteError> {
        let fence = self
            .invalidate_older_reads(&target.model, &target.replica)
            .await?;
        let order = order(OrderKind::Unload, target, fence, None);
        self.send(engine, &order, self.clock.now()).await
    }

    /// Reserves memory for an adapter and orders it attached to a replica.
    pub async fn attach(
        &self,
        engine: &Instance,
        target: &Target,
        adapter: &AdapterId,
        memory: Bytes,
    ) -> Result<(), ExecuteError> {
        let fence = self.newest_epoch(target, IntentState::Ready).await?;
        let key = engine_key(&upstream_id(engine)?)?;
        let started = self.clock.now();
        self.edit(&key, |reservations: &mut Reservations| {
            reservations.attach(&target.replica, adapter, target.bytes, memory)
        })
        .await?;
        let order = order(OrderKind::Attach, target, fence, Some(adapter));
        self.send(engine, &order, started).await
    }

    /// Withdraws an adapter and orders it detached from its replica; may be repeated.
    pub async fn detach(
        &self,
        engine: &Instance,
        target: &Target,
        adapter: &AdapterId,
    ) -> Result<(), ExecuteError> {
        let fence = self.newest_epoch(target, IntentState::Ready).await?;
        let key = engine_key(&upstream_id(engine)?)?;
        self.edit(&key, |reservations: &mut Reservations| {
            reservations.detach(&target.replica, adapter)
        })
        .await?;
        let order = order(OrderKind::Detach, target, fence, Some(adapter));
        self.send(engine, &order, self.clock.now()).await
    }

    /// Removes the reservation of an adapter that was withdrawn at the epoch `since`. The caller
    /// must have checked the same as for [`Self::release`].
    pub async fn drop_adapter(
        &self,
        engine: &UpstreamId,
        replica: &ReplicaId,
        adapter: &AdapterId,
        since: Epoch,
    ) -> Result<(), ExecuteError> {
        let key = engine_key(engine)?;
        self.edit(&key, |reservations: &mut Reservations| {
            reservations.drop_adapter(replica, adapter, since)
        })
        .await
    }

    /// Returns the model's newest fencing number if the replica is in `state`.
    async fn newest_epoch(
        &self,
        target: &Target,
        state: IntentState,
    ) -> Result<Epoch, ExecuteError> {
        let key = model_key(&target.model)?;
        let (_, intents) = self.read::<Intents>(&key, Version(0)).await?;
        match intents.replicas.get(&target.replica) {
            Some(intent) if intent.state == state => Ok(intents.epoch),
            _ => Err(EditError::State.into()),
        }
    }

    /// Applies an edit by compare-and-set, again if another write came first or the response was
    /// lost.
    async fn edit<T, F, R>(&self, key: &ObjectKey, mut apply: F) -> Result<R, ExecuteError>
    where
        T: Default + Serialize + DeserializeOwned,
        F: FnMut(&mut T) -> Result<R, EditError>,
    {
        let mut min_version = Version(0);
        for _ in 0..MAX_ATTEMPTS {
            let (version, mut value) = self.read::<T>(key, min_version).await?;
            let result = apply(&mut value)?;
            match self.write(key, version, &value).await? {
                PutResult::Stored => return Ok(result),
                PutResult::Conflict(newer) => min_version = newer,
                PutResult::Unknown => {}
            }
        }
        Err(ExecuteError::Contended)
    }

    /// Reads an object at version `min_version` or newer; an older version is read again.
    pub(super) async fn read<T>(
        &self,
        key: &ObjectKey,
        min_version: Version,
    ) -> Result<(Version, T), ExecuteError>
    where
        T: Default + DeserializeOwned,
    {
        for _ in 0..MAX_ATTEMPTS {
            let object = self.store.get(key).await?;
            let version = object.as_ref().map_or(Version(0), |o| o.version);
            if version < min_version {
                continue;
            }
            let Some(object) = object else {
                return Ok((version, T::default()));
            };
            let value = serde_json::from_slice(&object.value);
            return Ok((version, value.or(Err(StoreError::Malformed))?));
        }
        Err(ExecuteError::Contended)
    }

    async fn write<T>(
        &self,
        key: &ObjectKey,
        expected: Version,
        value: &T,
    ) -> Result<PutResult, ExecuteError>
    where
        T: Serialize,
    {
        let value = serde_json::to_vec(value).or(Err(StoreError::Malformed))?;
        match self.store.put(key, expected, value.into()).await {
            Ok(_) => Ok(PutResult::Stored),
            Err(StoreError::Conflict(newer)) => Ok(PutResult::Conflict(newer)),
            Err(StoreError::Unknown) => Ok(PutResult::Unknown),
            Err(error) => Err(error.into()),
        }
    }
}

/// The upstream id of an engine, which is the name that the platform lists it under.
pub fn upstream_id(engine: &Instance) -> Result<UpstreamId, IdError> {
    engine.vm.as_str().parse()
}

fn order(kind: OrderKind, target: &Target, fence: Epoch, adapter: Option<&AdapterId>) -> Order {
    Order {
        adapter: adapter.cloned(),
        bytes: target.bytes,
        fence,
        kind,
        model: target.model.clone(),
        replica: target.replica.clone(),
        version: target.version.clone(),
    }
}
