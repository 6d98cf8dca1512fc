//! The configuration in force, as [`config_sync`](super::config_sync) reads and replaces it.

use std::collections::BTreeSet;
use std::sync::Arc;

use bytes::Bytes;
use tokio::sync::Notify;

use super::active::{ActivationError, ActiveConfig};
use super::chunk::{self, Chunk};
use super::config_sync::{Bundle, ConfigHolder, Export, OfferError};
use crate::ids::{ObjectKey, Revision};

/// Exports the configuration in force to other VMs and puts theirs in force.
#[derive(Debug)]
pub struct ActiveConfigHolder {
    active_config: Arc<ActiveConfig>,
    retry_notify: Arc<Notify>,
}

impl ActiveConfigHolder {
    /// Opens a holder; `retry_notify` is that of the
    /// [`ConfigWatcher`](super::ConfigWatcher::retry_notify).
    pub fn open(active_config: Arc<ActiveConfig>, retry_notify: Arc<Notify>) -> Arc<Self> {
        Arc::new(Self {
            active_config,
            retry_notify,
        })
    }
}

impl ConfigHolder for ActiveConfigHolder {
    fn revision(&self) -> Revision {
        self.active_config.revision()
    }

    fn export(&self, since: Revision) -> Option<Export> {
        let current = self.active_config.current();
        let head = current.head.clone()?;
        if current.revision <= since {
            return None;
        }
        // A VM that has the parent revision has that revision's chunks already.
        let skipped = if head.parent == since {
            self.active_config.parent_keys()
        } else {
            BTreeSet::new()
        };
        let chunks = current
            .chunks
            .iter()
            .filter(|chunk| !skipped.contains(&chunk.reference.key));
        let chunks = chunks.map(|chunk| (chunk.reference.key.clone(), chunk.value.clone()));
        let bytes = Bundle::pack(head, chunks).encode().ok()?;
        Some(Export {
            revision: current.revision,
            bytes,
        })
    }

    fn offer(&self, bytes: Bytes) -> Result<Revision, OfferError> {
        let bundle = Bundle::decode(&bytes)?;
        let current = self.active_config.current();
        if bundle.head().revision <= current.revision {
            return Err(OfferError::Stale(current.revision));
        }
        let find_value = |key: &ObjectKey| {
            let chunk = current
                .chunks
                .iter()
                .find(|chunk| chunk.reference.key == *key);
            chunk.map(|chunk| chunk.value.clone())
        };
        let values = bundle.verify(find_value)?;
        let declaration = chunk::join(&values).or(Err(OfferError::Malformed))?;
        let head = bundle.head().clone();
        let references = head.chunks.iter().cloned();
        let chunks = references
            .zip(values)
            .map(|(reference, value)| Chunk { reference, value })
            .collect();
        self.active_config
            .activate(head, chunks, declaration)
            .map_err(|e| match e {
                ActivationError::NotNewer(revision) => OfferError::Stale(revision),
                ActivationError::Invalid(_) => OfferError::Invalid,
            })
    }

    fn reread_store(&self) {
        self.retry_notify.notify_one();
    }
}
