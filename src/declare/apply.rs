//! Submission of a change.
//!
//! The parts are written first, under the hash of their content, then the head by a conditional
//! write on the revision that the operator saw. The head carries the change's audit entry, so that
//! no accepted change is without one. A lost answer is settled by looking for the change's id.

use std::sync::Arc;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::active::ActiveConfig;
use super::audit;
use super::chunk::{self, Chunk, ChunkError};
use super::summary::summarise;
use super::validate::{DeclarationFault, validate};
use crate::clock::Clock;
use crate::ids::{ChangeId, KeyId, ObjectKey, Revision, Text, Version};
use crate::schema::declaration::{AuditEntry, Declaration, Head};
use crate::store::{ObjectStore, StoreError};

const HEAD_KEY: &str = "config/head";
const SETTLE_TRIES: u32 = 3;
const WITHDRAW_TRIES: u32 = 8;

/// A change as an operator submits it.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// Names the change; a repeat with the same id is accepted once.
    pub id: ChangeId,
    /// Who submits it.
    pub actor: Text,
    /// The revision that the operator saw; `None` takes whatever is in force.
    pub parent: Option<Revision>,
    /// The whole new declaration.
    pub declaration: Declaration,
}

/// Why a change was not accepted.
#[derive(Debug, Error)]
pub enum ApplyError {
    /// The declaration has faults.
    #[error("{} fault(s) in the declaration", .0.len())]
    Declaration(Vec<DeclarationFault>),
    /// Another change came first.
    #[error(
        "change {ours} was made on revision {expected}, but revision {found} by {actor} \
         (change {theirs}) came first"
    )]
    Conflict {
        /// The submitted change.
        ours: ChangeId,
        /// The revision it was made on.
        expected: Revision,
        /// The change that came first.
        theirs: ChangeId,
        /// Its revision.
        found: Revision,
        /// Who made it.
        actor: Text,
    },
    /// The store failed; the change surely was not accepted.
    #[error("the change was not accepted: {0}")]
    Store(#[from] StoreError),
    /// The store's answer was lost and cannot be settled now.
    #[error("nobody knows yet whether change {0} was accepted; submit it again under the same id")]
    OutcomeUnknown(ChangeId),
    /// The parts cannot be formed or read.
    #[error("{0}")]
    Chunk(#[from] ChunkError),
    /// The stored head cannot be read.
    #[error("the stored configuration cannot be read: {0}")]
    Json(#[from] serde_json::Error),
    /// No such key is in force.
    #[error("key {0} is not in force")]
    NoKey(KeyId),
}

/// The key of the head object.
pub fn head_key() -> Result<ObjectKey, StoreError> {
    HEAD_KEY.parse().or(Err(StoreError::Malformed))
}

/// Submits changes to the platform's store.
#[derive(Debug)]
pub struct Submitter {
    store: Arc<dyn ObjectStore>,
    active_config: Arc<ActiveConfig>,
    clock: Arc<dyn Clock>,
}

struct Stored {
    version: Version,
    head: Option<Head>,
}

impl Stored {
    fn revision(&self) -> Revision {
        self.head
            .as_ref()
            .map(|head| head.revision)
            .unwrap_or_default()
    }
}

impl Submitter {
    /// Opens a submitter; what it gets accepted is in force on this VM at once.
    pub fn open(
        store: Arc<dyn ObjectStore>,
        active_config: Arc<ActiveConfig>,
        clock: Arc<dyn Clock>,
    ) -> Self {
        Self {
            store,
            active_config,
            clock,
        }
    }

    /// Submits a change; answers its revision once it is accepted.
    ///
    /// # Errors
    ///
    /// [`ApplyError`]; after [`ApplyError::OutcomeUnknown`] the same change may be submitted again.
    pub async fn submit(&self, change: Change) -> Result<Revision, ApplyError> {
        let faults = validate(&change.declaration);
        if !faults.is_empty() {
            return Err(ApplyError::Declaration(faults));
        }
        let stored = self.read_head().await?;
        if let Some(revision) = accepted(&stored, &change.id) {
            return Ok(revision);
        }
        let parent = stored.revision();
        if change.parent.is_some_and(|expected| expected != parent) {
            return Err(conflict(&change, &stored));
        }
        let chunks = chunk::split(&change.declaration)?;
        self.write_chunks(&chunks).await?;
        let head = self.next_head(&change, &stored, &chunks).await?;
        self.write_head(&change, &stored, &head).await?;
        // A newer revision may have come by the feed meanwhile; that one stays.
        let offered = self
            .active_config
            .activate(head.clone(), chunks, change.declaration);
        drop(offered);
        Ok(head.revision)
    }

    /// Withdraws one key, whatever else is in force.
    ///
    /// # Errors
    ///
    /// As [`Self::submit`]; [`ApplyError::NoKey`] where no caller holds the key.
    pub async fn withdraw(
        &self,
        key: &KeyId,
        id: ChangeId,
        actor: Text,
    ) -> Result<Revision, ApplyError> {
        let mut tries = 0;
        loop {
            tries += 1;
            let stored = self.read_head().await?;
            if let Some(revision) = accepted(&stored, &id) {
                return Ok(revision);
            }
            let mut declaration = self.read_declaration(&stored).await?;
            let callers = declaration
                .accounts
                .values_mut()
                .flat_map(|a| a.callers.values_mut());
            let removed = callers.filter_map(|caller| caller.keys.remove(key)).count();
            if removed == 0 {
                return Err(ApplyError::NoKey(key.clone()));
            }
            let change = Change {
                id: id.clone(),
                actor: actor.clone(),
                parent: Some(stored.revision()),
                declaration,
            };
            match self.submit(change).await {
                Err(ApplyError::Conflict { .. }) if tries < WITHDRAW_TRIES => {}
                other => return other,
            }
        }
    }

    async fn read_head(&self) -> Result<Stored, ApplyError> {
        let key = head_key()?;
        let Some(object) = self.store.get(&key).await? else {
            return Ok(Stored {
                version: Version::default(),
                head: None,
            });
        };
        let head = serde_json::from_slice(&object.value)?;
        Ok(Stored {
            version: object.version,
            head: Some(head),
        })
    }

    async fn read_declaration(&self, stored: &Stored) -> Result<Declaration, ApplyError> {
        let current = self.active_config.current();
        if current.revision == stored.revision() {
            return Ok(Declaration::clone(&current.declaration));
        }
        let Some(head) = &stored.head else {
            return Ok(Declaration::default());
        };
        let mut values = Vec::new();
        for reference in &head.chunks {
            let object = self
                .store
                .get(&reference.key)
                .await?
                .ok_or(ChunkError::Hash)?;
            values.push(object.value);
        }
        Ok(chunk::join(&values)?)
    }

    async fn write_chunks(&self, chunks: &[Chunk]) -> Result<(), ApplyError> {
        let current = self.active_config.current();
        let known = |chunk: &&Chunk| {
            !current
                .chunks
                .iter()
                .any(|c| c.reference == chunk.reference)
        };
        for chunk in chunks.iter().filter(known) {
            let put = self.store.put(
                &chunk.reference.key,
                Version::default(),
                chunk.value.clone(),
            );
            match put.await {
                // The name is the content's hash, so whoever wrote it wrote the same.
                Ok(_) | Err(StoreError::Conflict(_)) => {}
                Err(StoreError::Unknown) => self.confirm_chunk(chunk).await?,
                Err(e) => return Err(e.into()),
            }
        }
        Ok(())
    }

    async fn confirm_chunk(&self, chunk: &Chunk) -> Result<(), ApplyError> {
        match self.store.get(&chunk.reference.key).await? {
            Some(_) => Ok(()),
            None => Err(StoreError::Unavailable.into()),
        }
    }

    async fn next_head(
        &self,
        change: &Change,
        stored: &Stored,
        chunks: &[Chunk],
    ) -> Result<Head, ApplyError> {
        let parent = stored.revision();
        let before = self.read_declaration(stored).await?;
        let entry = AuditEntry {
            revision: parent.next(),
            parent,
            change: change.id.clone(),
            actor: change.actor.clone(),
            wall: self.clock.wall_ms(),
            summary: summarise(&before, &change.declaration),
        };
        let (audit, page) =
            audit::append(self.store.as_ref(), stored.head.as_ref(), &entry).await?;
        Ok(Head {
            revision: entry.revision,
            parent,
            change: entry.change,
            actor: entry.actor,
            wall: entry.wall,
            chunks: chunks.iter().map(|chunk| chunk.reference.clone()).collect(),
            audit,
            page,
        })
    }

    async fn write_head(
        &self,
        change: &Change,
        stored: &Stored,
        head: &Head,
    ) -> Result<(), ApplyError> {
        let key = head_key()?;
        let value = Bytes::from(serde_json::to_vec(head)?);
        match self.store.put(&key, stored.version, value).await {
            Ok(_) => Ok(()),
            Err(StoreError::Conflict(_)) => self.settle_conflict(change).await,
            Err(StoreError::Unknown) => self.settle_unknown(change, stored).await,
            Err(e) => Err(e.into()),
        }
    }

    async fn settle_conflict(&self, change: &Change) -> Result<(), ApplyError> {
        let stored = self.read_head().await?;
        if accepted(&stored, &change.id).is_some() {
            return Ok(());
        }
        Err(conflict(change, &stored))
    }

    async fn settle_unknown(&self, change: &Change, before: &Stored) -> Result<(), ApplyError> {
        for _ in 0..SETTLE_TRIES {
            let Ok(stored) = self.read_head().await else {
                continue;
            };
            if accepted(&stored, &change.id).is_some() {
                return Ok(());
            }
            if stored.version > before.version {
                return Err(conflict(change, &stored));
            }
        }
        Err(ApplyError::OutcomeUnknown(change.id.clone()))
    }
}

fn accepted(stored: &Stored, id: &ChangeId) -> Option<Revision> {
    let audit = &stored.head.as_ref()?.audit;
    audit
        .iter()
        .find(|entry| entry.change == *id)
        .map(|entry| entry.revision)
}

fn conflict(change: &Change, stored: &Stored) -> ApplyError {
    let found = stored.revision();
    let (theirs, actor) = match &stored.head {
        Some(head) => (head.change.clone(), head.actor.clone()),
        None => (change.id.clone(), change.actor.clone()),
    };
    let expected = change.parent.unwrap_or(found);
    ApplyError::Conflict {
        ours: change.id.clone(),
        expected,
        theirs,
        found,
        actor,
    }
}
