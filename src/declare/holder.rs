//! The board and the feed as the spread between peers sees them.

use std::collections::BTreeSet;
use std::sync::Arc;

use bytes::Bytes;
use tokio::sync::Notify;

use super::board::{self, Board};
use super::chunk::{self, Chunk};
use super::config_sync::{Bundle, ConfigHolder, Export, OfferError};
use crate::ids::{ObjectKey, Revision};

/// Hands configurations between the spread and the board.
#[derive(Debug)]
pub struct BoardHolder {
    board: Arc<Board>,
    reread: Arc<Notify>,
}

impl BoardHolder {
    /// Opens a holder; `reread` wakes the feed.
    pub fn open(board: Arc<Board>, reread: Arc<Notify>) -> Arc<Self> {
        Arc::new(Self { board, reread })
    }
}

impl ConfigHolder for BoardHolder {
    fn revision(&self) -> Revision {
        self.board.revision()
    }

    fn export(&self, since: Revision) -> Option<Export> {
        let current = self.board.current();
        let head = current.head.clone()?;
        if current.revision <= since {
            return None;
        }
        // A reader one revision behind has all parts but those that this revision brought.
        let skipped = if head.parent == since {
            self.board.parent_places()
        } else {
            BTreeSet::new()
        };
        let parts = current
            .chunks
            .iter()
            .filter(|chunk| !skipped.contains(&chunk.place.key));
        let parts = parts.map(|chunk| (chunk.place.key.clone(), chunk.value.clone()));
        let bytes = Bundle::pack(head, parts).encode().ok()?;
        Some(Export {
            revision: current.revision,
            bytes,
        })
    }

    fn offer(&self, bytes: Bytes) -> Result<Revision, OfferError> {
        let bundle = Bundle::decode(&bytes)?;
        let current = self.board.current();
        if bundle.head().revision <= current.revision {
            return Err(OfferError::Stale(current.revision));
        }
        let held = |key: &ObjectKey| {
            let chunk = current.chunks.iter().find(|chunk| chunk.place.key == *key);
            chunk.map(|chunk| chunk.value.clone())
        };
        let values = bundle.verify(held)?;
        let declaration = chunk::join(&values).or(Err(OfferError::Malformed))?;
        let accepted = bundle.head().clone();
        let places = accepted.chunks.iter().cloned();
        let chunks = places
            .zip(values)
            .map(|(place, value)| Chunk { place, value })
            .collect();
        self.board
            .offer(accepted, chunks, declaration)
            .map_err(|e| match e {
                board::OfferError::Old(revision) => OfferError::Stale(revision),
                board::OfferError::Invalid(_) => OfferError::Invalid,
            })
    }

    fn reread_store(&self) {
        self.reread.notify_one();
    }
}
