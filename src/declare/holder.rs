//! The board and the feed as the spread between peers sees them.

use std::collections::BTreeSet;
use std::sync::Arc;

use bytes::Bytes;
use tokio::sync::Notify;

use super::active::{ActivationError, ActiveConfig};
use super::chunk::{self, Chunk};
use super::config_sync::{Bundle, ConfigHolder, Export, OfferError};
use crate::ids::{ObjectKey, Revision};

/// Hands configurations between the spread and the board.
#[derive(Debug)]
pub struct ActiveConfigHolder {
    active_config: Arc<ActiveConfig>,
    reread: Arc<Notify>,
}

impl ActiveConfigHolder {
    /// Opens a holder; `reread` wakes the feed.
    pub fn open(active_config: Arc<ActiveConfig>, reread: Arc<Notify>) -> Arc<Self> {
        Arc::new(Self {
            active_config,
            reread,
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
        // A reader one revision behind has all parts but those that this revision brought.
        let skipped = if head.parent == since {
            self.active_config.parent_keys()
        } else {
            BTreeSet::new()
        };
        let parts = current
            .chunks
            .iter()
            .filter(|chunk| !skipped.contains(&chunk.reference.key));
        let parts = parts.map(|chunk| (chunk.reference.key.clone(), chunk.value.clone()));
        let bytes = Bundle::pack(head, parts).encode().ok()?;
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
        let held = |key: &ObjectKey| {
            let chunk = current
                .chunks
                .iter()
                .find(|chunk| chunk.reference.key == *key);
            chunk.map(|chunk| chunk.value.clone())
        };
        let values = bundle.verify(held)?;
        let declaration = chunk::join(&values).or(Err(OfferError::Malformed))?;
        let accepted = bundle.head().clone();
        let references = accepted.chunks.iter().cloned();
        let chunks = references
            .zip(values)
            .map(|(reference, value)| Chunk { reference, value })
            .collect();
        self.active_config
            .activate(accepted, chunks, declaration)
            .map_err(|e| match e {
                ActivationError::NotNewer(revision) => OfferError::Stale(revision),
                ActivationError::Invalid(_) => OfferError::Invalid,
            })
    }

    fn reread_store(&self) {
        self.reread.notify_one();
    }
}
