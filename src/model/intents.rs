//! Intents and reservations: the stored objects `models/MODEL` and `engines/UPSTREAM`.
//!
//! An intent is the decision to have a replica of a model on an engine; a reservation is the memory
//! set aside for it. The reservation is written before the intent, and the intent before the load
//! order. They are removed in the opposite order, once no order for the replica can take effect any
//! more. Every edit is a pure function that the executor applies by compare-and-set.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::ids::{
    AdapterId, Epoch, Generation, IdError, ModelId, ObjectKey, ReplicaId, UpstreamId, VersionId,
};
use crate::units::Bytes;

/// Longest model id that a replica id contains in full, in bytes; longer ones are hashed.
const MAX_MODEL_IN_REPLICA_BYTES: usize = 100;
/// Hexadecimal digits of the hash that replaces a longer model id.
const MODEL_HASH_HEX: usize = 32;

/// Why an edit does not apply.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum EditError {
    /// The model has an intent for each replica that its maximum allows.
    #[error("the model has its maximum number of replicas")]
    Maximum,
    /// The engine has too little unreserved memory.
    #[error("the engine has too little unreserved memory")]
    Memory,
    /// The replica or adapter does not exist, or is in another state.
    #[error("the replica or adapter is not in the state the edit needs")]
    State,
}

/// State of an intent. It never returns to an earlier state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum IntentState {
    /// A load order was sent, or may still be sent.
    Loading,
    /// The engine reported the replica ready.
    Ready,
    /// Withdrawn. It counts towards the maximum until no order for it can take effect any more.
    Unloading,
}

/// The decision to have one replica on an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Intent {
    /// The engine that loads the replica.
    pub engine: UpstreamId,
    /// The engine's generation at the time of the decision.
    pub generation: Generation,
    /// The model's version.
    pub version: VersionId,
    /// State of the replica.
    pub state: IntentState,
    /// Fencing number of the newest order for the replica.
    pub epoch: Epoch,
    /// Time of the decision, in milliseconds since the Unix epoch.
    pub decided: u64,
    /// Time of the withdrawal, in milliseconds since the Unix epoch; absent before.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub withdrawn: Option<u64>,
}

/// The intents of a model, as stored in the object `models/MODEL`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Intents {
    /// Highest fencing number issued; grows with each edit.
    pub epoch: Epoch,
    /// Intents by replica.
    #[serde(default)]
    pub replicas: BTreeMap<ReplicaId, Intent>,
}

impl Intents {
    /// Adds an intent, unless there are `maximum` already; returns the fencing number of its order.
    pub fn add(
        &mut self,
        replica: ReplicaId,
        intent: Intent,
        maximum: u32,
    ) -> Result<Epoch, EditError> {
        if self.replicas.len() >= maximum as usize {
            return Err(EditError::Maximum);
        }
        self.bump_epoch();
        let epoch = self.epoch;
        self.replicas.insert(replica, Intent { epoch, ..intent });
        Ok(epoch)
    }

    /// Issues a new fencing number for a replica that is still loading.
    pub fn renew(&mut self, replica: &ReplicaId) -> Result<Epoch, EditError> {
        self.check_state(replica, IntentState::Loading)?;
        Ok(self.issue_epoch(replica))
    }

    /// Records that the engine reported a replica ready.
    pub fn mark_ready(&mut self, replica: &ReplicaId) -> Result<Epoch, EditError> {
        self.check_state(replica, IntentState::Loading)?;
        self.set_state(replica, IntentState::Ready);
        Ok(self.issue_epoch(replica))
    }

    /// Withdraws a replica; when repeated, only the fencing number changes.
    pub fn withdraw(&mut self, replica: &ReplicaId, wall_ms: u64) -> Result<Epoch, EditError> {
        let intent = self.replicas.get_mut(replica).ok_or(EditError::State)?;
        intent.state = IntentState::Unloading;
        intent.withdrawn.get_or_insert(wall_ms);
        Ok(self.issue_epoch(replica))
    }

    /// Removes the intent of a withdrawn replica for which no order can take effect any more.
    pub fn remove(&mut self, replica: &ReplicaId) -> Result<(), EditError> {
        self.check_state(replica, IntentState::Unloading)?;
        self.replicas.remove(replica);
        self.bump_epoch();
        Ok(())
    }

    /// Changes only the epoch, so that writes based on an older read of the object fail.
    pub fn bump_epoch(&mut self) {
        self.epoch = self.epoch.next();
    }

    fn check_state(&self, replica: &ReplicaId, state: IntentState) -> Result<(), EditError> {
        match self.replicas.get(replica) {
            Some(intent) if intent.state == state => Ok(()),
            _ => Err(EditError::State),
        }
    }

    fn set_state(&mut self, replica: &ReplicaId, state: IntentState) {
        if let Some(intent) = self.replicas.get_mut(replica) {
            intent.state = state;
        }
    }

    fn issue_epoch(&mut self, replica: &ReplicaId) -> Epoch {
        self.bump_epoch();
        if let Some(intent) = self.replicas.get_mut(replica) {
            intent.epoch = self.epoch;
        }
        self.epoch
    }
}

/// State of an adapter's reservation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum AdapterState {
    /// An attach order was sent, or may still be sent.
    Attached,
    /// Withdrawn. Its memory stays reserved until no order for it can take effect any more.
    Detaching,
}

/// Memory reserved for an adapter.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AdapterReservation {
    /// Size of the adapter.
    pub bytes: Bytes,
    /// State of the adapter.
    pub state: AdapterState,
    /// The engine object's epoch at the newest change of state.
    pub epoch: Epoch,
}

/// Memory reserved for a replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Reservation {
    /// The replica's model.
    pub model: ModelId,
    /// Size of the weights.
    pub weights: Bytes,
    /// Minimum memory for the KV cache.
    pub floor: Bytes,
    /// When the memory was last reserved, in milliseconds since the Unix epoch.
    pub reserved: u64,
    /// Adapters on the replica.
    #[serde(default)]
    pub adapters: BTreeMap<AdapterId, AdapterReservation>,
}

impl Reservation {
    /// Memory reserved for the replica without its adapters.
    pub fn base(&self) -> Bytes {
        self.weights + self.floor
    }

    /// Memory reserved for the replica and its adapters.
    pub fn total(&self) -> Bytes {
        self.base() + self.adapters.values().map(|a| a.bytes).sum()
    }
}

/// The memory reserved on an engine, as stored in the object `engines/UPSTREAM`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Reservations {
    /// Counts the edits; an adapter's withdrawal is identified by its value.
    pub epoch: Epoch,
    /// The engine's generation at the newest reservation.
    pub generation: Generation,
    /// Reservations by replica.
    #[serde(default)]
    pub holds: BTreeMap<ReplicaId, Reservation>,
}

impl Reservations {
    /// Sum of all reservations.
    pub fn total(&self) -> Bytes {
        self.holds.values().map(Reservation::total).sum()
    }

    /// Reserves part of the engine's `memory` for a replica; a repeat only updates the time.
    pub fn reserve(
        &mut self,
        replica: &ReplicaId,
        reservation: Reservation,
        memory: Bytes,
    ) -> Result<(), EditError> {
        self.epoch = self.epoch.next();
        if let Some(present) = self.holds.get_mut(replica) {
            present.reserved = reservation.reserved;
            return Ok(());
        }
        if self.total() + reservation.total() > memory {
            return Err(EditError::Memory);
        }
        self.holds.insert(replica.clone(), reservation);
        Ok(())
    }

    /// Removes a replica's reservation.
    pub fn release(&mut self, replica: &ReplicaId) -> Result<(), EditError> {
        self.epoch = self.epoch.next();
        let removed = self.holds.remove(replica);
        removed.map(drop).ok_or(EditError::State)
    }

    /// Reserves part of the engine's `memory` for an adapter on a replica. When repeated, the
    /// larger size counts, and a withdrawn adapter is attached again.
    pub fn attach(
        &mut self,
        replica: &ReplicaId,
        adapter: &AdapterId,
        bytes: Bytes,
        memory: Bytes,
    ) -> Result<(), EditError> {
        let total = self.total();
        let epoch = self.epoch.next();
        let reservation = self.holds.get_mut(replica).ok_or(EditError::State)?;
        let present = reservation
            .adapters
            .get(adapter)
            .map_or(Bytes::ZERO, |a| a.bytes);
        if total.saturating_sub(present) + bytes.max(present) > memory {
            return Err(EditError::Memory);
        }
        let entry = AdapterReservation {
            bytes: bytes.max(present),
            state: AdapterState::Attached,
            epoch,
        };
        reservation.adapters.insert(adapter.clone(), entry);
        self.epoch = epoch;
        Ok(())
    }

    /// Withdraws an adapter; its memory stays reserved.
    pub fn detach(&mut self, replica: &ReplicaId, adapter: &AdapterId) -> Result<(), EditError> {
        let epoch = self.epoch.next();
        let reservation = self.holds.get_mut(replica).ok_or(EditError::State)?;
        let entry = reservation
            .adapters
            .get_mut(adapter)
            .ok_or(EditError::State)?;
        if entry.state == AdapterState::Attached {
            entry.state = AdapterState::Detaching;
            entry.epoch = epoch;
        }
        self.epoch = epoch;
        Ok(())
    }

    /// Removes an adapter's reservation if the adapter was withdrawn at `epoch` and not attached
    /// again since.
    pub fn drop_adapter(
        &mut self,
        replica: &ReplicaId,
        adapter: &AdapterId,
        epoch: Epoch,
    ) -> Result<(), EditError> {
        let reservation = self.holds.get_mut(replica).ok_or(EditError::State)?;
        let entry = reservation.adapters.get(adapter).ok_or(EditError::State)?;
        if entry.state != AdapterState::Detaching || entry.epoch != epoch {
            return Err(EditError::State);
        }
        reservation.adapters.remove(adapter);
        self.epoch = self.epoch.next();
        Ok(())
    }
}

/// Key of the object that holds a model's intents.
pub fn model_key(model: &ModelId) -> Result<ObjectKey, IdError> {
    format!("models/{model}").parse()
}

/// Key of the object that holds an engine's reservations.
pub fn engine_key(engine: &UpstreamId) -> Result<ObjectKey, IdError> {
    format!("engines/{engine}").parse()
}

/// The id of a new replica, which is unique if `nonce` is.
pub fn replica_id(model: &ModelId, nonce: u64) -> Result<ReplicaId, IdError> {
    if model.as_str().len() <= MAX_MODEL_IN_REPLICA_BYTES {
        return format!("{model}:{nonce:016x}").parse();
    }
    let hash = blake3::hash(model.as_str().as_bytes()).to_hex();
    format!("{}:{nonce:016x}", &hash[..MODEL_HASH_HEX]).parse()
}
