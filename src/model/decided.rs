//! What was decided: the objects `models/MODEL` and `engines/UPSTREAM`, and the edits on them.
//!
//! An intent in [`Decided`] is written before the order that follows from it, and a hold in
//! [`Reserved`] before the intent. Both are taken back only in the opposite order, once no order
//! for the replica can take effect any more. Every edit is pure and is applied by compare-and-set.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::ids::{
    AdapterId, Epoch, Generation, IdError, ModelId, ObjectKey, ReplicaId, UpstreamId, VersionId,
};
use crate::units::Bytes;

const MAX_MODEL_IN_REPLICA_BYTES: usize = 100;
const MODEL_HASH_HEX: usize = 32;

/// Why an edit does not apply.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum EditError {
    /// As many replicas as allowed are decided.
    #[error("the model's maximum of replicas is decided")]
    Maximum,
    /// The engine has too little unreserved memory.
    #[error("the engine has too little unreserved memory")]
    Memory,
    /// The replica or adapter is not there, or in another state.
    #[error("the replica or adapter is not in the state the edit needs")]
    State,
}

/// Progress of a decided replica. It never returns to an earlier state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum IntentState {
    /// A load order may be on its way.
    Loading,
    /// The engine was seen with the replica ready.
    Ready,
    /// Withdrawn; counted until no order for it can take effect.
    Unloading,
}

/// One decided replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Intent {
    /// Its engine.
    pub engine: UpstreamId,
    /// The engine's generation when the replica was decided.
    pub generation: Generation,
    /// The model's version.
    pub version: VersionId,
    /// Its progress.
    pub state: IntentState,
    /// Fencing number of the newest order.
    pub epoch: Epoch,
    /// Time of the decision, in milliseconds since the Unix epoch.
    pub decided: u64,
    /// Time of the withdrawal, in milliseconds since the Unix epoch.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub withdrawn: Option<u64>,
}

/// The decided replicas of a model.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Decided {
    /// Highest fencing number given out; grows with each edit.
    pub epoch: Epoch,
    /// Intents by replica.
    #[serde(default)]
    pub replicas: BTreeMap<ReplicaId, Intent>,
}

impl Decided {
    /// Adds a replica, unless `maximum` are decided already.
    pub fn decide(
        &mut self,
        replica: ReplicaId,
        intent: Intent,
        maximum: u32,
    ) -> Result<Epoch, EditError> {
        if self.replicas.len() >= maximum as usize {
            return Err(EditError::Maximum);
        }
        self.touch();
        let epoch = self.epoch;
        self.replicas.insert(replica, Intent { epoch, ..intent });
        Ok(epoch)
    }

    /// Takes a new fencing number for a replica that is to be loaded still.
    pub fn renew(&mut self, replica: &ReplicaId) -> Result<Epoch, EditError> {
        self.expect(replica, IntentState::Loading)?;
        Ok(self.stamp(replica))
    }

    /// Records that a replica was seen ready.
    pub fn ready(&mut self, replica: &ReplicaId) -> Result<Epoch, EditError> {
        self.expect(replica, IntentState::Loading)?;
        self.set(replica, IntentState::Ready);
        Ok(self.stamp(replica))
    }

    /// Withdraws a replica; a repeat changes nothing but the fencing number.
    pub fn withdraw(&mut self, replica: &ReplicaId, wall_ms: u64) -> Result<Epoch, EditError> {
        let intent = self.replicas.get_mut(replica).ok_or(EditError::State)?;
        intent.state = IntentState::Unloading;
        intent.withdrawn.get_or_insert(wall_ms);
        Ok(self.stamp(replica))
    }

    /// Forgets a withdrawn replica for which no order can take effect any more.
    pub fn forget(&mut self, replica: &ReplicaId) -> Result<(), EditError> {
        self.expect(replica, IntentState::Unloading)?;
        self.replicas.remove(replica);
        self.touch();
        Ok(())
    }

    /// Changes nothing but the number, so that a write based on an older reading fails.
    pub fn touch(&mut self) {
        self.epoch = self.epoch.next();
    }

    fn expect(&self, replica: &ReplicaId, state: IntentState) -> Result<(), EditError> {
        match self.replicas.get(replica) {
            Some(intent) if intent.state == state => Ok(()),
            _ => Err(EditError::State),
        }
    }

    fn set(&mut self, replica: &ReplicaId, state: IntentState) {
        if let Some(intent) = self.replicas.get_mut(replica) {
            intent.state = state;
        }
    }

    fn stamp(&mut self, replica: &ReplicaId) -> Epoch {
        self.touch();
        if let Some(intent) = self.replicas.get_mut(replica) {
            intent.epoch = self.epoch;
        }
        self.epoch
    }
}

/// Progress of an adapter's reservation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum AdapterState {
    /// An attach order may be on its way.
    Attached,
    /// Withdrawn; counted until no order for it can take effect.
    Detaching,
}

/// Memory reserved for an adapter.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AdapterHold {
    /// Its size.
    pub bytes: Bytes,
    /// Its progress.
    pub state: AdapterState,
    /// The object's epoch at the newest change of state.
    pub epoch: Epoch,
}

/// Memory reserved for a replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Hold {
    /// Its model.
    pub model: ModelId,
    /// Size of the weights.
    pub weights: Bytes,
    /// Least memory for the KV cache.
    pub floor: Bytes,
    /// Time of the reservation, in milliseconds since the Unix epoch.
    pub reserved: u64,
    /// Adapters on the replica.
    #[serde(default)]
    pub adapters: BTreeMap<AdapterId, AdapterHold>,
}

impl Hold {
    /// Memory of the replica without adapters.
    pub fn base(&self) -> Bytes {
        self.weights + self.floor
    }

    /// All reserved memory.
    pub fn total(&self) -> Bytes {
        self.base() + self.adapters.values().map(|a| a.bytes).sum()
    }
}

/// The reservations on an engine.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Reserved {
    /// Grows with each edit.
    pub epoch: Epoch,
    /// The engine's generation at the newest reservation.
    pub generation: Generation,
    /// Holds by replica.
    #[serde(default)]
    pub holds: BTreeMap<ReplicaId, Hold>,
}

impl Reserved {
    /// Sum of all holds.
    pub fn total(&self) -> Bytes {
        self.holds.values().map(Hold::total).sum()
    }

    /// Reserves memory for a replica; a repeat refreshes the reservation.
    pub fn hold(
        &mut self,
        replica: &ReplicaId,
        hold: Hold,
        memory: Bytes,
    ) -> Result<(), EditError> {
        self.epoch = self.epoch.next();
        if let Some(held) = self.holds.get_mut(replica) {
            held.reserved = hold.reserved;
            return Ok(());
        }
        if self.total() + hold.total() > memory {
            return Err(EditError::Memory);
        }
        self.holds.insert(replica.clone(), hold);
        Ok(())
    }

    /// Gives a replica's memory back.
    pub fn free(&mut self, replica: &ReplicaId) -> Result<(), EditError> {
        self.epoch = self.epoch.next();
        let removed = self.holds.remove(replica);
        removed.map(drop).ok_or(EditError::State)
    }

    /// Reserves memory for an adapter on a replica; a repeat refreshes the reservation.
    pub fn attach(
        &mut self,
        replica: &ReplicaId,
        adapter: &AdapterId,
        bytes: Bytes,
        memory: Bytes,
    ) -> Result<(), EditError> {
        let total = self.total();
        let epoch = self.epoch.next();
        let hold = self.holds.get_mut(replica).ok_or(EditError::State)?;
        let present = hold.adapters.get(adapter).map_or(Bytes::ZERO, |a| a.bytes);
        if total.saturating_sub(present) + bytes.max(present) > memory {
            return Err(EditError::Memory);
        }
        let entry = AdapterHold {
            bytes: bytes.max(present),
            state: AdapterState::Attached,
            epoch,
        };
        hold.adapters.insert(adapter.clone(), entry);
        self.epoch = epoch;
        Ok(())
    }

    /// Withdraws an adapter; its memory stays reserved.
    pub fn detach(&mut self, replica: &ReplicaId, adapter: &AdapterId) -> Result<(), EditError> {
        let epoch = self.epoch.next();
        let hold = self.holds.get_mut(replica).ok_or(EditError::State)?;
        let entry = hold.adapters.get_mut(adapter).ok_or(EditError::State)?;
        if entry.state == AdapterState::Attached {
            entry.state = AdapterState::Detaching;
            entry.epoch = epoch;
        }
        self.epoch = epoch;
        Ok(())
    }

    /// Gives an adapter's memory back, if it is withdrawn since `epoch`.
    pub fn drop_adapter(
        &mut self,
        replica: &ReplicaId,
        adapter: &AdapterId,
        epoch: Epoch,
    ) -> Result<(), EditError> {
        let hold = self.holds.get_mut(replica).ok_or(EditError::State)?;
        let entry = hold.adapters.get(adapter).ok_or(EditError::State)?;
        if entry.state != AdapterState::Detaching || entry.epoch != epoch {
            return Err(EditError::State);
        }
        hold.adapters.remove(adapter);
        self.epoch = self.epoch.next();
        Ok(())
    }
}

/// Key of a model's object.
pub fn model_key(model: &ModelId) -> Result<ObjectKey, IdError> {
    format!("models/{model}").parse()
}

/// Key of an engine's object.
pub fn engine_key(engine: &UpstreamId) -> Result<ObjectKey, IdError> {
    format!("engines/{engine}").parse()
}

/// A replica's name, never given twice if `nonce` is not.
pub fn replica_id(model: &ModelId, nonce: u64) -> Result<ReplicaId, IdError> {
    if model.as_str().len() <= MAX_MODEL_IN_REPLICA_BYTES {
        return format!("{model}:{nonce:016x}").parse();
    }
    let hash = blake3::hash(model.as_str().as_bytes()).to_hex();
    format!("{}:{nonce:016x}", &hash[..MODEL_HASH_HEX]).parse()
}
