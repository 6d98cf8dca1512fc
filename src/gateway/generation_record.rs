//! The generation record: an object in the platform's store that names the newest generation in
//! which the store's configuration had caught up with what all VMs had in force.
//!
//! A VM that starts reads it to know whether the store has just come back from an older copy; only
//! the leader writes it. docs/design/configuration-trust.md says what it is for.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use slog::{info, warn};

use crate::ids::{ObjectKey, StoreGeneration, Version};
use crate::store::{Object, ObjectStore, StoreError};

use super::platform_api::DecodeError;
use super::state::Gateway;

/// Interval between two checks whether the record must be read or written.
const INTERVAL: Duration = Duration::from_secs(1);
/// Longest wait for a response of the store.
const STORE_TIMEOUT: Duration = Duration::from_millis(900);

/// Contents of the object.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct GenerationRecord {
    generation: StoreGeneration,
}

/// Reads and writes the record.
#[derive(Debug)]
pub(super) struct RecordKeeper {
    gateway: Arc<Gateway>,
    store: Arc<dyn ObjectStore>,
    key: ObjectKey,
    /// Version of the object, and the generation that it names; absent while the object must be
    /// read.
    known: Option<(Version, StoreGeneration)>,
}

impl RecordKeeper {
    pub(super) fn open(
        gateway: &Arc<Gateway>,
        store: &Arc<dyn ObjectStore>,
        key: ObjectKey,
    ) -> Self {
        Self {
            gateway: Arc::clone(gateway),
            store: Arc::clone(store),
            key,
            known: None,
        }
    }

    /// Reads the record while this VM does not trust the store's generation, and writes it while it
    /// leads.
    pub(super) async fn run(mut self) {
        loop {
            if self.gateway.freshness().awaits_trust() {
                self.known = None;
            }
            let due = self.due_generation();
            if self.known.is_none() && (due.is_some() || self.gateway.freshness().awaits_trust()) {
                self.read().await;
            }
            if let (Some(due), Some((version, known))) = (due, self.known)
                && known < due
            {
                self.write(version, due).await;
            }
            tokio::time::sleep(INTERVAL).await;
        }
    }

    /// The generation that the record must name, if this VM leads.
    fn due_generation(&self) -> Option<StoreGeneration> {
        let now = self.gateway.clock.boot();
        let caught_up = self.gateway.freshness().caught_up(now);
        caught_up.filter(|_| self.gateway.leads())
    }

    async fn read(&mut self) {
        let read = tokio::time::timeout(STORE_TIMEOUT, self.store.get(&self.key)).await;
        match read.unwrap_or(Err(StoreError::Unknown)) {
            Ok(object) => {
                let known = object.map(|object| (object.version, self.decode(&object)));
                let (version, generation) = known.unwrap_or_default();
                self.known = Some((version, generation));
                self.gateway
                    .update_freshness(|freshness, now| freshness.on_record(generation, now));
            }
            Err(e) => warn!(self.gateway.log, "generation_unread"; "error" => %e),
        }
    }

    /// The generation that the object names; the first one if it cannot be decoded.
    fn decode(&self, object: &Object) -> StoreGeneration {
        let record: Result<GenerationRecord, _> = serde_json::from_slice(&object.value);
        record.map_or_else(
            |e| {
                let error = DecodeError::new(&e);
                if self
                    .gateway
                    .on_unreadable("generations", self.key.as_str(), &error)
                {
                    warn!(self.gateway.log, "generation_unreadable"; "error" => %error);
                }
                StoreGeneration::default()
            },
            |record| record.generation,
        )
    }

    async fn write(&mut self, version: Version, generation: StoreGeneration) {
        let Ok(value) = serde_json::to_vec(&GenerationRecord { generation }) else {
            return;
        };
        let put = self.store.put(&self.key, version, value.into());
        let put = tokio::time::timeout(STORE_TIMEOUT, put).await;
        match put.unwrap_or(Err(StoreError::Unknown)) {
            Ok(version) => {
                info!(self.gateway.log, "generation_recorded"; "generation" => %generation);
                self.known = Some((version, generation));
            }
            Err(e) => {
                warn!(self.gateway.log, "generation_unwritten"; "error" => %e);
                self.known = None;
            }
        }
    }
}
