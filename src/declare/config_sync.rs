//! Spread of configuration between peers.
//!
//! [`SyncState`] is a pure state machine. A VM that holds a newer revision announces it at once; one
//! that hears of a newer revision fetches it from the VM that told, and announces it in turn once
//! it holds it, so that whoever announces a revision can serve it. A source that is too slow, or
//! whose configuration is refused, is replaced by another, and the store is looked at as well.
//! Revisions only go up.

mod bundle;
mod driver;

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::fmt::Debug;
use std::time::{Duration, Instant};

use bytes::Bytes;
use thiserror::Error;

use crate::ids::{ObjectKey, Revision, VmId};
use crate::schema::peer::ConfigPart;

pub use bundle::{Bundle, chunk_key};
pub use driver::{ConfigSync, SyncStatus};

/// Bytes of configuration in one part.
pub const PART_BYTES: usize = 32 << 10;
/// Most parts of one configuration.
pub const MAX_PARTS: u32 = 2048;
/// Time without a part after which another source is asked.
pub const FETCH_TIMEOUT: Duration = Duration::from_secs(1);
/// Fetches from one source that may stall before it is given up.
const MAX_STALLS: u32 = 3;
/// Sources remembered.
const MAX_SOURCES: usize = 8;

/// Why an offered configuration was refused.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum OfferError {
    /// It is not newer than the one held.
    #[error("revision {0} or a newer one is held")]
    Stale(Revision),
    /// It cannot be read.
    #[error("the configuration cannot be read")]
    Malformed,
    /// A chunk does not match its address or its size.
    #[error("chunk {0} does not match its address")]
    Address(ObjectKey),
    /// A chunk is neither in it nor held.
    #[error("chunk {0} is missing")]
    Missing(ObjectKey),
    /// It does not pass the checks of a declaration.
    #[error("the declaration is not valid")]
    Invalid,
}

/// A configuration to hand on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Export {
    /// Its revision.
    pub revision: Revision,
    /// Its encoded [`Bundle`].
    pub bytes: Bytes,
}

/// Holds the configuration in force.
pub trait ConfigHolder: Send + Sync + Debug {
    /// The revision in force; 0 where there is none yet.
    fn revision(&self) -> Revision;

    /// The configuration in force, for a VM that holds `since`: chunks that revision had may be
    /// left out. `None` where nothing newer than `since` is held.
    fn export(&self, since: Revision) -> Option<Export>;

    /// Checks a configuration and puts it in force if it is newer.
    fn offer(&self, bytes: Bytes) -> Result<Revision, OfferError>;

    /// Asks for an early look at the store, where a newer revision is said to be. Does not block.
    fn reread_store(&self);
}

/// What happens to the spread.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A revision came into force here by another way than from a peer.
    Activated(Revision),
    /// A peer said what it holds.
    RevisionReceived {
        /// The peer.
        from: VmId,
        /// Its revision.
        revision: Revision,
    },
    /// A part of a configuration arrived.
    PartReceived {
        /// The peer it came from.
        from: VmId,
        /// The part.
        part: ConfigPart,
    },
    /// An offer was decided.
    OfferCompleted {
        /// The peer the configuration came from.
        from: VmId,
        /// What the holder said.
        result: Result<Revision, OfferError>,
    },
    /// Time passed.
    Tick,
}

/// What to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Tell peers of the revision held, but for one.
    Announce {
        /// The peer it came from.
        except: Option<VmId>,
    },
    /// Tell one peer of the revision held.
    SendRevision {
        /// The peer that is behind.
        to: VmId,
    },
    /// Ask a peer for a configuration newer than the one held.
    Fetch {
        /// The peer.
        from: VmId,
        /// The least revision that helps.
        revision: Revision,
    },
    /// Offer a whole configuration to the holder, and feed back [`Event::OfferCompleted`].
    Offer {
        /// The peer it came from.
        from: VmId,
        /// The configuration.
        bytes: Bytes,
    },
    /// Look at the store.
    RereadStore,
}

/// A peer that told of a newer revision.
#[derive(Clone, Copy, Debug)]
struct Source {
    revision: Revision,
    stalls: u32,
}

#[derive(Clone, Debug)]
struct Fetch {
    from: VmId,
    progress: Instant,
    revision: Revision,
    parts: BTreeMap<u32, Bytes>,
}

/// What one VM knows of the spread.
#[derive(Clone, Debug)]
pub struct SyncState {
    held: Revision,
    sources: BTreeMap<VmId, Source>,
    fetch: Option<Fetch>,
    stale_parts: u64,
    peer_reported: bool,
}

impl SyncState {
    /// Holds a revision, and heard of no other.
    pub fn open(held: Revision) -> Self {
        Self {
            held,
            sources: BTreeMap::new(),
            fetch: None,
            stale_parts: 0,
            peer_reported: false,
        }
    }

    /// The revision held.
    pub fn held(&self) -> Revision {
        self.held
    }

    /// Whether some peer said what it holds.
    pub fn has_peer_report(&self) -> bool {
        self.peer_reported
    }

    /// Whether a peer told of a newer revision than the one held.
    pub fn is_behind(&self) -> bool {
        !self.sources.is_empty()
    }

    /// Count of parts refused because they were not newer than what is held.
    pub fn stale_parts(&self) -> u64 {
        self.stale_parts
    }

    /// Takes an event.
    pub fn step(&mut self, event: Event, now: Instant) -> Vec<Action> {
        match event {
            Event::Activated(revision) => self.accepted(revision, None, now),
            Event::RevisionReceived { from, revision } => self.heard(from, revision, now),
            Event::PartReceived { from, part } => self.part(&from, part, now),
            Event::OfferCompleted { from, result } => self.offered(from, &result, now),
            Event::Tick => self.tick(now),
        }
    }

    fn accepted(&mut self, revision: Revision, from: Option<VmId>, now: Instant) -> Vec<Action> {
        if revision <= self.held {
            return Vec::new();
        }
        self.hold(revision);
        let mut actions = vec![Action::Announce { except: from }];
        actions.extend(self.start(now));
        actions
    }

    fn hold(&mut self, revision: Revision) {
        self.held = self.held.max(revision);
        let held = self.held;
        self.sources.retain(|_, source| source.revision > held);
        let sources = &self.sources;
        self.fetch.take_if(|f| !sources.contains_key(&f.from));
    }

    fn heard(&mut self, from: VmId, revision: Revision, now: Instant) -> Vec<Action> {
        self.peer_reported = true;
        if revision < self.held {
            return vec![Action::SendRevision { to: from }];
        }
        let room = self.sources.len() < MAX_SOURCES || self.sources.contains_key(&from);
        if revision == self.held || !room {
            return Vec::new();
        }
        let source = Source {
            revision,
            stalls: 0,
        };
        let known = self.sources.entry(from).or_insert(source);
        known.revision = known.revision.max(revision);
        self.start(now).into_iter().collect()
    }

    fn start(&mut self, now: Instant) -> Option<Action> {
        if self.fetch.is_some() {
            return None;
        }
        let best = |(_, source): &(&VmId, &Source)| (Reverse(source.stalls), source.revision);
        let (from, _) = self.sources.iter().max_by_key(best)?;
        self.fetch = Some(Fetch {
            from: from.clone(),
            progress: now,
            revision: Revision(0),
            parts: BTreeMap::new(),
        });
        Some(Action::Fetch {
            from: from.clone(),
            revision: self.held.next(),
        })
    }

    fn part(&mut self, from: &VmId, part: ConfigPart, now: Instant) -> Vec<Action> {
        if part.revision <= self.held {
            self.stale_parts += 1;
            return Vec::new();
        }
        let Some(fetch) = self.fetch.as_mut().filter(|f| f.from == *from) else {
            return Vec::new();
        };
        if part.part >= part.parts || part.parts > MAX_PARTS || part.bytes.0.len() > PART_BYTES {
            self.sources.remove(from);
            self.fetch = None;
            return self.start_or_reread(now);
        }
        // A source that moved on starts again with the newer revision.
        if part.revision > fetch.revision {
            fetch.revision = part.revision;
            fetch.parts.clear();
        }
        if part.revision < fetch.revision {
            return Vec::new();
        }
        fetch.progress = now;
        fetch.parts.insert(part.part, part.bytes.0);
        if fetch.parts.len() < part.parts as usize {
            return Vec::new();
        }
        let parts = std::mem::take(&mut fetch.parts);
        let bytes: Vec<u8> = parts.into_values().flatten().collect();
        vec![Action::Offer {
            from: from.clone(),
            bytes: bytes.into(),
        }]
    }

    fn offered(
        &mut self,
        from: VmId,
        result: &Result<Revision, OfferError>,
        now: Instant,
    ) -> Vec<Action> {
        self.fetch.take_if(|f| f.from == from);
        match result {
            Ok(revision) => {
                let mut actions = self.accepted(*revision, Some(from), now);
                actions.extend(self.start(now));
                actions
            }
            Err(OfferError::Stale(held)) => {
                self.hold(*held);
                self.start(now).into_iter().collect()
            }
            Err(_) => {
                self.sources.remove(&from);
                self.start_or_reread(now)
            }
        }
    }

    fn tick(&mut self, now: Instant) -> Vec<Action> {
        let late = |f: &Fetch| now.saturating_duration_since(f.progress) >= FETCH_TIMEOUT;
        let Some(fetch) = self.fetch.take_if(|f| late(f)) else {
            return Vec::new();
        };
        if let Some(source) = self.sources.get_mut(&fetch.from) {
            source.stalls += 1;
        }
        self.sources.retain(|_, source| source.stalls < MAX_STALLS);
        // The source may be gone for good, and the store within reach.
        let mut actions = vec![Action::RereadStore];
        actions.extend(self.start(now));
        actions
    }

    fn start_or_reread(&mut self, now: Instant) -> Vec<Action> {
        vec![self.start(now).unwrap_or(Action::RereadStore)]
    }
}
