//! Writes this VM's registration, and in it what a process that stops as planned leaves to the next
//! one of its VM.
//!
//! Without that report the next process must assume that this one used its whole part of the retry slack.
//! The next process overwrites the report before it uses it, so that no third process does. After the
//! store has come back from an older copy, the report's store generation differs, and it is ignored.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use slog::{info, warn};

use crate::ids::{ObjectKey, ServiceId, StoreGeneration, Version};
use crate::store::{ObjectStore, StoreError};

use super::run::VmRegistration;
use super::state::Gateway;

/// Longest wait for a response of the store.
pub(super) const STORE_TIMEOUT: Duration = Duration::from_millis(900);

/// What the process that stopped has used lately.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoppedProcess {
    /// Generation of the store in which this was written.
    pub generation: StoreGeneration,
    /// Retries of the slack that it used within its last window, by service; none where absent.
    pub retries: BTreeMap<ServiceId, u32>,
}

impl StoppedProcess {
    /// The retries; `None` if another process may have followed since. `read` is the version of the
    /// registration that was read.
    pub fn retries_if_last(self, read: Version) -> Option<BTreeMap<ServiceId, u32>> {
        (self.generation == read.generation()).then_some(self.retries)
    }
}

/// Writes the registration of this VM.
#[derive(Debug)]
pub struct Registrar {
    gateway: Arc<Gateway>,
    store: Arc<dyn ObjectStore>,
    key: ObjectKey,
    /// The registration while the process runs.
    own: VmRegistration,
    /// Version that this process wrote last.
    written: Mutex<Option<Version>>,
}

impl Registrar {
    /// Creates the registrar of a process that isn't registered yet.
    pub fn new(
        gateway: &Arc<Gateway>,
        store: &Arc<dyn ObjectStore>,
        key: ObjectKey,
        own: VmRegistration,
    ) -> Self {
        Self {
            gateway: Arc::clone(gateway),
            store: Arc::clone(store),
            key,
            own,
            written: Mutex::default(),
        }
    }

    /// The registration while the process runs.
    pub fn own(&self) -> &VmRegistration {
        &self.own
    }

    /// Writes the registration; returns whether that succeeded.
    pub async fn register(&self) -> bool {
        let Some(value) = encode(&self.own) else {
            return false;
        };
        let (mut version, mut retries) = self.read_earlier().await.unwrap_or_default();
        // Where it wasn't read, the first conflict reveals its version.
        for _ in 0..2 {
            match self.put(version, value.clone()).await {
                Ok(written) => {
                    self.set_written(written);
                    if let Some(retries) = &retries {
                        self.gateway.take_over_retries(retries);
                    }
                    return true;
                }
                Err(StoreError::Conflict(known)) => {
                    version = known;
                    retries = None;
                }
                Err(e) => {
                    warn!(self.gateway.log, "vm_unregistered"; "error" => %e);
                    return false;
                }
            }
        }
        false
    }

    /// Writes what this process leaves to the next one, and sends no more retries.
    pub async fn write_stopped(&self) {
        let retries = self.gateway.close_retries();
        let (Some(retries), Some(version)) = (retries, self.written()) else {
            return;
        };
        let stopped = StoppedProcess {
            generation: version.generation(),
            retries,
        };
        let registration = VmRegistration {
            stopped: Some(stopped),
            ..self.own.clone()
        };
        let Some(value) = encode(&registration) else {
            return;
        };
        let left = self.put(version, value).await;
        info!(self.gateway.log, "retries_left"; "written" => left.is_ok());
    }

    /// Version of the registration of the process before, with the retries that it left; `None` where
    /// there is none, and once this process has been registered.
    async fn read_earlier(&self) -> Option<(Version, Option<BTreeMap<ServiceId, u32>>)> {
        if self.gateway.bounds().first_start || self.written().is_some() {
            return None;
        }
        let read = tokio::time::timeout(STORE_TIMEOUT, self.store.get(&self.key)).await;
        let object = read.ok()?.ok()??;
        let earlier: Option<VmRegistration> = serde_json::from_slice(&object.value).ok();
        let stopped = earlier.and_then(|earlier| earlier.stopped);
        let retries = stopped.and_then(|stopped| stopped.retries_if_last(object.version));
        Some((object.version, retries))
    }

    async fn put(&self, expected: Version, value: Bytes) -> Result<Version, StoreError> {
        let put = self.store.put(&self.key, expected, value);
        let put = tokio::time::timeout(STORE_TIMEOUT, put).await;
        put.unwrap_or(Err(StoreError::Unknown))
    }

    fn written(&self) -> Option<Version> {
        *self.written.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn set_written(&self, version: Version) {
        let mut written = self.written.lock().unwrap_or_else(PoisonError::into_inner);
        *written = Some(version);
    }
}

fn encode(registration: &VmRegistration) -> Option<Bytes> {
    serde_json::to_vec(registration).ok().map(Bytes::from)
}
