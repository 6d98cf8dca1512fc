//! The configuration in force on this VM.
//!
//! Readers take an [`ConfigSnapshot`] by one atomic load. The revision only grows: an older one is refused
//! wherever it comes from, and so is a newer one that is not valid.

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

/// Who holds a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyOwner {
    /// The account.
    pub account: ClientAccount,
    /// The caller.
    pub caller: CallerId,
    /// The key's public name.
    pub key: KeyId,
    /// The caller's priority.
    pub priority: Priority,
}

/// What an account may reach.
#[derive(Clone, Debug, Default)]
pub struct AccountAccess {
    /// Models.
    pub models: BTreeSet<ModelId>,
    /// Adapters.
    pub adapters: BTreeSet<AdapterId>,
    /// Plain routes.
    pub routes: BTreeSet<RouteId>,
}

/// One accepted configuration, indexed for the request path.
#[derive(Debug, Default)]
pub struct ConfigSnapshot {
    /// Its revision; 0 where there is none yet.
    pub revision: Revision,
    /// Its head as stored.
    pub head: Option<Head>,
    /// Its parts as stored.
    pub chunks: Vec<Chunk>,
    /// The whole.
    pub declaration: Arc<Declaration>,
    keys: BTreeMap<KeyHash, KeyOwner>,
    names: BTreeMap<KeyId, KeyHash>,
    access: BTreeMap<ClientAccount, AccountAccess>,
}

impl ConfigSnapshot {
    fn index(head: Head, chunks: Vec<Chunk>, declaration: Declaration) -> Self {
        let mut keys = BTreeMap::new();
        let mut names = BTreeMap::new();
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
                    keys.insert(*hash, owner);
                    names.insert(key.clone(), *hash);
                }
            }
        }
        Self {
            revision: head.revision,
            head: Some(head),
            chunks,
            declaration: Arc::new(declaration),
            keys,
            names,
            access,
        }
    }

    /// The holder of a key, by the key's hash.
    pub fn key_owner(&self, hash: &KeyHash) -> Option<&KeyOwner> {
        self.keys.get(hash)
    }

    /// Whether a key is still in force.
    pub fn has_key(&self, hash: &KeyHash) -> bool {
        self.keys.contains_key(hash)
    }

    /// The hash of a key, by the key's public name.
    pub fn key_hash(&self, key: &KeyId) -> Option<&KeyHash> {
        self.names.get(key)
    }

    /// What an account may reach.
    pub fn access(&self, account: &ClientAccount) -> Option<&AccountAccess> {
        self.access.get(account)
    }

    /// The route with the longest prefix of `path`.
    pub fn route(&self, path: &str) -> Option<(&RouteId, &Route)> {
        let fits = |prefix: &str| {
            path.strip_prefix(prefix).is_some_and(|rest| {
                rest.is_empty() || prefix.ends_with('/') || rest.starts_with('/')
            })
        };
        let found = self
            .declaration
            .routes
            .iter()
            .filter(|(_, route)| fits(&route.prefix));
        found.max_by_key(|(_, route)| route.prefix.len())
    }
}

/// Why a configuration was not taken over.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum ActivationError {
    /// It is not newer than the one in force.
    #[error("revision {0} is in force already")]
    NotNewer(Revision),
    /// It is not valid.
    #[error("{} fault(s) in the declaration", .0.len())]
    Invalid(Vec<DeclarationFault>),
}

/// Holds the configuration in force.
#[derive(Debug)]
pub struct ActiveConfig {
    current: ArcSwap<ConfigSnapshot>,
    turn: Mutex<BTreeSet<ObjectKey>>,
    news: watch::Sender<Revision>,
}

impl ActiveConfig {
    /// Opens a board with no configuration.
    pub fn open() -> Arc<Self> {
        let (news, _) = watch::channel(Revision::default());
        Arc::new(Self {
            current: ArcSwap::default(),
            turn: Mutex::default(),
            news,
        })
    }

    /// The configuration in force.
    pub fn current(&self) -> Arc<ConfigSnapshot> {
        self.current.load_full()
    }

    /// The revision in force.
    pub fn revision(&self) -> Revision {
        self.current.load().revision
    }

    /// Parts that the revision before the one in force had, where this VM held it.
    pub fn parent_keys(&self) -> BTreeSet<ObjectKey> {
        self.turn
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Tells of each new revision.
    pub fn subscribe(&self) -> watch::Receiver<Revision> {
        self.news.subscribe()
    }

    /// Takes over a newer, valid configuration.
    ///
    /// # Errors
    ///
    /// [`ActivationError`] where it is not newer or not valid; what is in force stays.
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
        let next = ConfigSnapshot::index(head, chunks, declaration);
        let mut before = self.turn.lock().unwrap_or_else(PoisonError::into_inner);
        let known = self.current();
        if revision <= known.revision {
            return Err(ActivationError::NotNewer(known.revision));
        }
        let keys = known.chunks.iter().map(|chunk| chunk.reference.key.clone());
        *before = if known.revision.next() == revision {
            keys.collect()
        } else {
            BTreeSet::new()
        };
        self.current.store(Arc::new(next));
        self.news.send_replace(revision);
        Ok(revision)
    }
}
