//! The configuration in force on this VM.
//!
//! Readers get a [`ConfigSnapshot`] by one atomic load. The revision only grows: [`ActiveConfig`]
//! refuses a configuration that is not newer than the one in force, whether it comes from the store
//! or from another VM, and one whose declaration is not valid.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, PoisonError};

use arc_swap::ArcSwap;
use thiserror::Error;
use tokio::sync::watch;

use super::chunk::Chunk;
use super::key::KeyHash;
use super::validate::{DeclarationFault, validate};
use crate::ids::{
    AdapterId, CallerId, ClientAccount, KeyId, ModelId, ObjectKey, Revision, RouteId,
};
use crate::schema::declaration::{Declaration, Head, Priority, Route};

/// The account and caller that a key belongs to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyOwner {
    /// Account of the caller.
    pub account: ClientAccount,
    /// Caller that sends the key with its requests.
    pub caller: CallerId,
    /// Public name of the key.
    pub key: KeyId,
    /// Priority of the caller's requests.
    pub priority: Priority,
}

/// The models, adapters and plain routes that an account may use.
#[derive(Clone, Debug, Default)]
pub struct AccountAccess {
    /// Models that the account may use.
    pub models: BTreeSet<ModelId>,
    /// Adapters that the account may use.
    pub adapters: BTreeSet<AdapterId>,
    /// Routes to plain services that the account may use.
    pub routes: BTreeSet<RouteId>,
}

/// One accepted configuration, with indexes for the request path.
#[derive(Debug, Default)]
pub struct ConfigSnapshot {
    /// Revision of the configuration; 0 where this VM has none yet.
    pub revision: Revision,
    /// Head object of the configuration, as stored; `None` where this VM has no configuration yet.
    pub head: Option<Head>,
    /// Chunks of the declaration, as stored.
    pub chunks: Vec<Chunk>,
    /// The declaration joined from its chunks.
    pub declaration: Arc<Declaration>,
    owners: BTreeMap<KeyHash, KeyOwner>,
    key_hashes: BTreeMap<KeyId, KeyHash>,
    access: BTreeMap<ClientAccount, AccountAccess>,
}

impl ConfigSnapshot {
    fn build(head: Head, chunks: Vec<Chunk>, declaration: Declaration) -> Self {
        let mut owners = BTreeMap::new();
        let mut key_hashes = BTreeMap::new();
        let mut access = BTreeMap::new();
        for (account, entry) in &declaration.accounts {
            let allowed = AccountAccess {
                models: entry.models.iter().cloned().collect(),
                adapters: entry.adapters.iter().cloned().collect(),
                routes: entry.routes.iter().cloned().collect(),
            };
            access.insert(account.clone(), allowed);
            for (caller, spec) in &entry.callers {
                for (key, hash) in &spec.keys {
                    let owner = KeyOwner {
                        account: account.clone(),
                        caller: caller.clone(),
                        key: key.clone(),
                        priority: spec.priority,
                    };
                    owners.insert(*hash, owner);
                    key_hashes.insert(key.clone(), *hash);
                }
            }
        }
        Self {
            revision: head.revision,
            head: Some(head),
            chunks,
            declaration: Arc::new(declaration),
            owners,
            key_hashes,
            access,
        }
    }

    /// Account and caller that the key with this hash belongs to; `None` where it is not in force.
    pub fn key_owner(&self, hash: &KeyHash) -> Option<&KeyOwner> {
        self.owners.get(hash)
    }

    /// Whether the key with this hash is in force.
    pub fn has_key(&self, hash: &KeyHash) -> bool {
        self.owners.contains_key(hash)
    }

    /// Hash of the key with this public name.
    pub fn key_hash(&self, key: &KeyId) -> Option<&KeyHash> {
        self.key_hashes.get(key)
    }

    /// What an account may use; `None` where the account is not declared.
    pub fn access(&self, account: &ClientAccount) -> Option<&AccountAccess> {
        self.access.get(account)
    }

    /// The route whose prefix is the longest that matches `path`.
    ///
    /// A prefix matches whole path segments: `/a` matches `/a` and `/a/b`, but not `/ab`.
    pub fn route(&self, path: &str) -> Option<(&RouteId, &Route)> {
        let matches = |prefix: &str| {
            path.strip_prefix(prefix).is_some_and(|rest| {
                rest.is_empty() || prefix.ends_with('/') || rest.starts_with('/')
            })
        };
        let found = self
            .declaration
            .routes
            .iter()
            .filter(|(_, route)| matches(&route.prefix));
        found.max_by_key(|(_, route)| route.prefix.len())
    }
}

/// Why a configuration was not put in force.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum ActivationError {
    /// The configuration is not newer than the one in force, whose revision this is.
    #[error("revision {0} is in force already")]
    NotNewer(Revision),
    /// The declaration has faults.
    #[error("{} fault(s) in the declaration", .0.len())]
    Invalid(Vec<DeclarationFault>),
}

/// Holds the configuration in force and replaces it by newer ones.
#[derive(Debug)]
pub struct ActiveConfig {
    current: ArcSwap<ConfigSnapshot>,
    /// Keys of the parent revision's chunks. The lock also serialises [`Self::activate`].
    parent_keys: Mutex<BTreeSet<ObjectKey>>,
    revisions: watch::Sender<Revision>,
}

impl ActiveConfig {
    /// Starts without a configuration, at revision 0.
    pub fn open() -> Arc<Self> {
        let (revisions, _) = watch::channel(Revision::default());
        Arc::new(Self {
            current: ArcSwap::default(),
            parent_keys: Mutex::default(),
            revisions,
        })
    }

    /// The configuration in force.
    pub fn current(&self) -> Arc<ConfigSnapshot> {
        self.current.load_full()
    }

    /// The revision in force; 0 where this VM has no configuration yet.
    pub fn revision(&self) -> Revision {
        self.current.load().revision
    }

    /// Keys of the chunks of the revision just before the one in force; empty where that revision
    /// was never in force on this VM.
    pub fn parent_keys(&self) -> BTreeSet<ObjectKey> {
        self.parent_keys
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Subscribes to the revision in force.
    pub fn subscribe(&self) -> watch::Receiver<Revision> {
        self.revisions.subscribe()
    }

    /// Puts a configuration in force if it is valid and newer than the one in force.
    ///
    /// # Errors
    ///
    /// [`ActivationError`] where it is not newer or not valid; the configuration in force stays.
    pub fn activate(
        &self,
        head: Head,
        chunks: Vec<Chunk>,
        declaration: Declaration,
    ) -> Result<Revision, ActivationError> {
        let faults = validate(&declaration);
        if !faults.is_empty() {
            return Err(ActivationError::Invalid(faults));
        }
        let revision = head.revision;
        let next = ConfigSnapshot::build(head, chunks, declaration);
        let mut parent_keys = self
            .parent_keys
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let current = self.current();
        if revision <= current.revision {
            return Err(ActivationError::NotNewer(current.revision));
        }
        let keys = current
            .chunks
            .iter()
            .map(|chunk| chunk.reference.key.clone());
        *parent_keys = if current.revision.next() == revision {
            keys.collect()
        } else {
            BTreeSet::new()
        };
        self.current.store(Arc::new(next));
        self.revisions.send_replace(revision);
        Ok(revision)
    }
}
