//! Submission of a change to the declaration.
//!
//! The chunks are written first, under the hash of their content, then the head by a conditional
//! write, which succeeds only if the head is still the one that the change was made on. The head
//! contains the audit entry of the change, so that every accepted change has one. Where the response
//! to the write of the head is lost, the head is read again: if the id of the change is in its audit
//! entries, the change was accepted.

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
/// Reads of the head after a lost response, before the outcome is reported as unknown.
const CONFIRM_ATTEMPTS: u32 = 3;
/// Attempts to withdraw a key while other changes come first.
const WITHDRAW_ATTEMPTS: u32 = 8;

/// A new declaration as an operator submits it.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// Id of the change, set by the operator. A change that is submitted again with the same id is
    /// accepted only once, as long as the head still has its audit entry.
    pub id: ChangeId,
    /// Name of the operator, for the audit trail.
    pub actor: Text,
    /// The revision that the change was made on; `None` replaces any revision.
    pub parent: Option<Revision>,
    /// The complete new declaration.
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
        /// Id of the submitted change.
        ours: ChangeId,
        /// The revision that the submitted change was made on.
        expected: Revision,
        /// Id of the change that came first.
        theirs: ChangeId,
        /// The revision of the change that came first.
        found: Revision,
        /// Name of the operator who made the change that came first.
        actor: Text,
    },
    /// A call to the store failed; this submission of the change was not accepted.
    #[error("the change was not accepted: {0}")]
    Store(#[from] StoreError),
    /// The store's response was lost, and whether the change was accepted cannot be read now.
    #[error("it is not known whether change {0} was accepted; submit it again with the same id")]
    OutcomeUnknown(ChangeId),
    /// The chunks cannot be made or read.
    #[error("{0}")]
    Chunk(#[from] ChunkError),
    /// A stored head or audit page cannot be parsed, or a new one cannot be serialised.
    #[error("the stored configuration cannot be read: {0}")]
    Json(#[from] serde_json::Error),
    /// No caller has the key that is to be withdrawn.
    #[error("key {0} is not in force")]
    NoKey(KeyId),
}

/// The store's key of the head object.
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

/// The head object as read from the store.
struct StoredHead {
    version: Version,
    head: Option<Head>,
}

impl StoredHead {
    fn revision(&self) -> Revision {
        self.head
            .as_ref()
            .map(|head| head.revision)
            .unwrap_or_default()
    }
}

impl Submitter {
    /// Opens a submitter. It puts an accepted change in force on this VM without waiting for the
    /// watch of the store.
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

    /// Submits a change and returns its revision once it is accepted.
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
        if let Some(revision) = accepted_revision(&stored, &change.id) {
            return Ok(revision);
        }
        let parent = stored.revision();
        if change.parent.is_some_and(|expected| expected != parent) {
            return Err(conflict_error(&change, &stored));
        }
        let chunks = chunk::split(&change.declaration)?;
        self.write_chunks(&chunks).await?;
        let head = self.next_head(&change, &stored, &chunks).await?;
        self.write_head(&change, &stored, &head).await?;
        // Fails if a newer revision came into force in the meantime, which then stays.
        let activated = self
            .active_config
            .activate(head.clone(), chunks, change.declaration);
        drop(activated);
        Ok(head.revision)
    }

    /// Withdraws one key from the newest declaration; where another change comes first, tries again
    /// on that one.
    ///
    /// # Errors
    ///
    /// As [`Self::submit`]; [`ApplyError::NoKey`] where no caller has the key.
    pub async fn withdraw(
        &self,
        key: &KeyId,
        id: ChangeId,
        actor: Text,
    ) -> Result<Revision, ApplyError> {
        let mut attempts = 0;
        loop {
            attempts += 1;
            let stored = self.read_head().await?;
            if let Some(revision) = accepted_revision(&stored, &id) {
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
                Err(ApplyError::Conflict { .. }) if attempts < WITHDRAW_ATTEMPTS => {}
                other => return other,
            }
        }
    }

    async fn read_head(&self) -> Result<StoredHead, ApplyError> {
        let key = head_key()?;
        let Some(object) = self.store.get(&key).await? else {
            return Ok(StoredHead {
                version: Version::default(),
                head: None,
            });
        };
        let head = serde_json::from_slice(&object.value)?;
        Ok(StoredHead {
            version: object.version,
            head: Some(head),
        })
    }

    async fn read_declaration(&self, stored: &StoredHead) -> Result<Declaration, ApplyError> {
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
        let is_new = |chunk: &&Chunk| {
            !current
                .chunks
                .iter()
                .any(|c| c.reference == chunk.reference)
        };
        for chunk in chunks.iter().filter(is_new) {
            let put = self.store.put(
                &chunk.reference.key,
                Version::default(),
                chunk.value.clone(),
            );
            match put.await {
                // The key is the hash of the content, so an existing object has the same content.
                Ok(_) | Err(StoreError::Conflict(_)) => {}
                Err(StoreError::Unknown) => self.confirm_chunk(chunk).await?,
                Err(e) => return Err(e.into()),
            }
        }
        Ok(())
    }

    /// Reads a chunk after the response to its write was lost.
    async fn confirm_chunk(&self, chunk: &Chunk) -> Result<(), ApplyError> {
        match self.store.get(&chunk.reference.key).await? {
            Some(_) => Ok(()),
            None => Err(StoreError::Unavailable.into()),
        }
    }

    async fn next_head(
        &self,
        change: &Change,
        stored: &StoredHead,
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
        stored: &StoredHead,
        head: &Head,
    ) -> Result<(), ApplyError> {
        let key = head_key()?;
        let value = Bytes::from(serde_json::to_vec(head)?);
        match self.store.put(&key, stored.version, value).await {
            Ok(_) => Ok(()),
            Err(StoreError::Conflict(_)) => self.resolve_conflict(change).await,
            Err(StoreError::Unknown) => self.resolve_unknown(change, stored).await,
            Err(e) => Err(e.into()),
        }
    }

    /// Returns `Ok` where the stored head has the audit entry of the change, so that an earlier
    /// submission of it was accepted.
    async fn resolve_conflict(&self, change: &Change) -> Result<(), ApplyError> {
        let stored = self.read_head().await?;
        if accepted_revision(&stored, &change.id).is_some() {
            return Ok(());
        }
        Err(conflict_error(change, &stored))
    }

    /// Reads the head until it shows whether the write with the lost response took effect.
    async fn resolve_unknown(
        &self,
        change: &Change,
        before: &StoredHead,
    ) -> Result<(), ApplyError> {
        for _ in 0..CONFIRM_ATTEMPTS {
            let Ok(stored) = self.read_head().await else {
                continue;
            };
            if accepted_revision(&stored, &change.id).is_some() {
                return Ok(());
            }
            if stored.version > before.version {
                return Err(conflict_error(change, &stored));
            }
        }
        Err(ApplyError::OutcomeUnknown(change.id.clone()))
    }
}

/// The revision of a change where the stored head has its audit entry.
fn accepted_revision(stored: &StoredHead, id: &ChangeId) -> Option<Revision> {
    let audit = &stored.head.as_ref()?.audit;
    audit
        .iter()
        .find(|entry| entry.change == *id)
        .map(|entry| entry.revision)
}

fn conflict_error(change: &Change, stored: &StoredHead) -> ApplyError {
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
