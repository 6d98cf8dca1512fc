//! Contends for the lease in the platform's store: makes the calls that [`super::lease`] decides.

use std::sync::Arc;
use std::time::Duration;

use slog::{info, warn};

use crate::clock::BootTime;
use crate::ids::{Epoch, ObjectKey, Version};
use crate::store::{ObjectStore, StoreError};

use super::lease::{Lease, LeaseAction, LeaseRecord};
use super::mesh::Mesh;
use super::platform_api::DecodeError;
use super::state::Gateway;

/// Timeout for reading or writing the lease in the store.
const STORE_TIMEOUT: Duration = Duration::from_millis(700);

/// This VM's lease, or its contention for it.
#[derive(Debug)]
pub(super) struct Leadership {
    gateway: Arc<Gateway>,
    mesh: Arc<Mesh>,
    store: Arc<dyn ObjectStore>,
    lease_key: ObjectKey,
    lease: Lease,
}

impl Leadership {
    /// Makes no call yet; [`Self::maintain`] does.
    pub(super) fn open(
        gateway: Arc<Gateway>,
        mesh: Arc<Mesh>,
        store: Arc<dyn ObjectStore>,
        lease_key: ObjectKey,
        length: Duration,
    ) -> Self {
        let boot = gateway.clock.boot();
        let first_start = gateway.bounds().first_start;
        Self {
            lease: Lease::new(gateway.vm.clone(), length, boot, first_start),
            gateway,
            mesh,
            store,
            lease_key,
        }
    }

    /// The fencing number of this VM's orders; `None` while it must not send any.
    pub(super) fn epoch(&self, now: BootTime) -> Option<Epoch> {
        self.lease.epoch(now)
    }

    /// The newest known version of the lease object.
    pub(super) fn version(&self) -> Version {
        self.lease.version()
    }

    /// Gives the lease up, because an engine has seen a higher fencing number.
    pub(super) fn on_fenced(&mut self) {
        self.lease.on_conflict(self.gateway.clock.boot());
    }

    /// Makes the next call to the store, if one is due, to acquire or renew the lease.
    pub(super) async fn maintain(&mut self) {
        let now = self.gateway.clock.now();
        let boot = self.gateway.clock.boot();
        if let Some(version) = self.mesh.leader_lease_version() {
            self.lease.on_version_seen(version, boot);
        }
        match self.lease.next_action(self.mesh.leader_alive(now), boot) {
            LeaseAction::Wait => {}
            LeaseAction::Read => self.read_lease().await,
            LeaseAction::Write(version, record) => self.write_lease(version, record, boot).await,
        }
    }

    async fn read_lease(&mut self) {
        let read = tokio::time::timeout(STORE_TIMEOUT, self.store.get(&self.lease_key)).await;
        let read = read.unwrap_or(Err(StoreError::Unknown));
        let boot = self.gateway.clock.boot();
        if self.store_returned(boot) {
            return;
        }
        match read {
            Ok(Some(object)) => match serde_json::from_slice(&object.value) {
                Ok(record) => self.lease.on_read(Some((object.version, record)), boot),
                Err(e) => {
                    if self.gateway.on_unreadable(
                        "leases",
                        self.lease_key.as_str(),
                        &DecodeError::new(&e),
                    ) {
                        warn!(self.gateway.log, "lease_unreadable"; "error" => %e);
                    }
                    self.lease.on_unreadable(object.version, boot);
                }
            },
            Ok(None) => self.lease.on_read(None, boot),
            Err(e) => {
                warn!(self.gateway.log, "lease_unread"; "error" => %e);
                self.lease.on_failure(boot);
            }
        }
    }

    /// Whether the store has come back from an older copy since the last call. The result of this
    /// call then proves nothing, and the lease is read again.
    fn store_returned(&mut self, now: BootTime) -> bool {
        let generation = self.store.generation();
        let returned = self.lease.on_generation(generation, now);
        if returned {
            info!(self.gateway.log, "store_generation"; "generation" => %generation);
        }
        returned
    }

    async fn write_lease(&mut self, version: Version, record: LeaseRecord, sent: BootTime) {
        let value = match serde_json::to_vec(&record) {
            Ok(value) => value.into(),
            Err(e) => {
                warn!(self.gateway.log, "lease_unwritable"; "error" => %e);
                return;
            }
        };
        let put = self.store.put(&self.lease_key, version, value);
        let put = tokio::time::timeout(STORE_TIMEOUT, put).await;
        let boot = self.gateway.clock.boot();
        if self.store_returned(boot) {
            return;
        }
        match put.unwrap_or(Err(StoreError::Unknown)) {
            Ok(version) => self.lease.on_written(version, sent, boot),
            Err(StoreError::Conflict(_)) => self.lease.on_conflict(boot),
            Err(e) => {
                warn!(self.gateway.log, "lease_unwritten"; "error" => %e);
                self.lease.on_failure(boot);
            }
        }
    }
}
