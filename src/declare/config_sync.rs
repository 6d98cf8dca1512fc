//! Exchange of configuration between VMs.
//!
//! [`SyncState`] is a state machine without I/O. A VM that gets a newer revision announces it at
//! once. A VM that receives the announcement of a newer revision fetches the configuration from the
//! announcing VM, and announces the revision in turn only once it has the configuration, so that
//! every announcing VM can serve what it announces. A source that is too slow, or whose
//! configuration is refused, is replaced by another. A stall, or a refusal that leaves no other
//! source, makes the VM read the store as well. Revisions only grow.

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

/// Most bytes of an encoded [`Bundle`] in one part, which is sent as one frame.
pub const PART_BYTES: usize = 32 << 10;
/// Most parts of one encoded [`Bundle`].
pub const MAX_PARTS: u32 = 2048;
/// Time without a new part after which a fetch has stalled.
pub const FETCH_TIMEOUT: Duration = Duration::from_secs(1);
/// Stalled fetches after which a source is dropped.
const MAX_STALLS: u32 = 3;
/// Most sources that are kept at the same time.
const MAX_SOURCES: usize = 8;

/// Why an offered configuration was refused.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum OfferError {
    /// The configuration is not newer than the one in force, whose revision this is.
    #[error("revision {0} or a newer one is in force")]
    Stale(Revision),
    /// The bundle cannot be decoded, or has a chunk that its head does not name.
    #[error("the configuration cannot be read")]
    Malformed,
    /// A chunk does not match the hash in its key, or its size.
    #[error("chunk {0} does not match its hash or size")]
    HashMismatch(ObjectKey),
    /// A chunk is neither in the bundle nor in the configuration in force.
    #[error("chunk {0} is missing")]
    Missing(ObjectKey),
    /// The declaration has faults.
    #[error("the declaration is not valid")]
    Invalid,
}

/// A configuration encoded for another VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Export {
    /// Revision of the configuration.
    pub revision: Revision,
    /// Encoded [`Bundle`] of the configuration.
    pub bytes: Bytes,
}

/// Access to the configuration in force on this VM.
pub trait ConfigHolder: Send + Sync + Debug {
    /// The revision in force; 0 where this VM has no configuration yet.
    fn revision(&self) -> Revision;

    /// Encodes the configuration in force for a VM that has revision `since`; chunks of that
    /// revision may be left out. `None` where the revision in force is not newer than `since`.
    fn export(&self, since: Revision) -> Option<Export>;

    /// Checks a configuration, an encoded [`Bundle`], and puts it in force if it is newer than the
    /// one in force. Returns its revision.
    fn offer(&self, bytes: Bytes) -> Result<Revision, OfferError>;

    /// Makes a waiting retry of the store start at once, because the store may have a newer
    /// revision. Does not block.
    fn reread_store(&self);
}

/// An input of [`SyncState::step`].
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A revision came into force on this VM. Without effect where [`Self::OfferCompleted`] has
    /// reported the revision before.
    Activated(Revision),
    /// A peer VM sent the revision that it has.
    RevisionReceived {
        /// The peer VM that sent it.
        from: VmId,
        /// Revision that the peer VM has.
        revision: Revision,
    },
    /// A part of a configuration arrived.
    PartReceived {
        /// The peer VM that sent it.
        from: VmId,
        /// The received part.
        part: ConfigPart,
    },
    /// The [`ConfigHolder`] accepted or refused a configuration; the result of [`Action::Offer`].
    OfferCompleted {
        /// The peer VM that sent the configuration.
        from: VmId,
        /// The revision now in force, or why the configuration was refused.
        result: Result<Revision, OfferError>,
    },
    /// A periodic check for a stalled fetch.
    Tick,
}

/// An output of [`SyncState::step`], for the driver to execute.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send the revision in force to peer VMs.
    Announce {
        /// The peer VM that the configuration came from, which is left out.
        except: Option<VmId>,
    },
    /// Send the revision in force to one peer VM.
    SendRevision {
        /// The peer VM, which has an older revision.
        to: VmId,
    },
    /// Request the configuration of a peer VM.
    Fetch {
        /// The peer VM, which has a newer revision.
        from: VmId,
        /// The lowest revision that is newer than the one in force here.
        revision: Revision,
    },
    /// Pass a complete configuration to [`ConfigHolder::offer`], then report the result as
    /// [`Event::OfferCompleted`].
    Offer {
        /// The peer VM that sent the configuration.
        from: VmId,
        /// The encoded [`Bundle`].
        bytes: Bytes,
    },
    /// Call [`ConfigHolder::reread_store`].
    RereadStore,
}

/// A peer VM that has a newer revision than the one in force here.
#[derive(Clone, Copy, Debug)]
struct Source {
    revision: Revision,
    /// Fetches from this VM that stalled.
    stalls: u32,
}

/// The one fetch in progress.
#[derive(Clone, Debug)]
struct Fetch {
    from: VmId,
    /// When the fetch began or its last part arrived.
    progress: Instant,
    /// Revision of `parts`; 0 until the first part arrives.
    revision: Revision,
    parts: BTreeMap<u32, Bytes>,
}

/// State of the exchange of configuration on one VM.
#[derive(Clone, Debug)]
pub struct SyncState {
    /// The revision in force on this VM.
    active: Revision,
    sources: BTreeMap<VmId, Source>,
    fetch: Option<Fetch>,
    stale_parts: u64,
    peer_reported: bool,
}

impl SyncState {
    /// Starts with a revision in force, and without any report of a peer VM's revision.
    pub fn open(active: Revision) -> Self {
        Self {
            active,
            sources: BTreeMap::new(),
            fetch: None,
            stale_parts: 0,
            peer_reported: false,
        }
    }

    /// The revision in force on this VM.
    pub fn revision(&self) -> Revision {
        self.active
    }

    /// Whether any peer VM has sent its revision.
    pub fn has_peer_report(&self) -> bool {
        self.peer_reported
    }

    /// Whether a peer VM has a newer revision than the one in force here.
    pub fn is_behind(&self) -> bool {
        !self.sources.is_empty()
    }

    /// Number of received parts that were dropped because their revision was not newer than the one
    /// in force.
    pub fn stale_parts(&self) -> u64 {
        self.stale_parts
    }

    /// Applies an event and returns the actions that follow from it.
    pub fn step(&mut self, event: Event, now: Instant) -> Vec<Action> {
        match event {
            Event::Activated(revision) => self.on_activated(revision, None, now),
            Event::RevisionReceived { from, revision } => self.on_revision(from, revision, now),
            Event::PartReceived { from, part } => self.on_part(&from, part, now),
            Event::OfferCompleted { from, result } => self.on_offer_result(from, &result, now),
            Event::Tick => self.on_tick(now),
        }
    }

    fn on_activated(
        &mut self,
        revision: Revision,
        from: Option<VmId>,
        now: Instant,
    ) -> Vec<Action> {
        if revision <= self.active {
            return Vec::new();
        }
        self.set_active(revision);
        let mut actions = vec![Action::Announce { except: from }];
        actions.extend(self.start_fetch(now));
        actions
    }

    fn set_active(&mut self, revision: Revision) {
        self.active = self.active.max(revision);
        let active = self.active;
        self.sources.retain(|_, source| source.revision > active);
        let sources = &self.sources;
        self.fetch.take_if(|f| !sources.contains_key(&f.from));
    }

    fn on_revision(&mut self, from: VmId, revision: Revision, now: Instant) -> Vec<Action> {
        self.peer_reported = true;
        if revision < self.active {
            return vec![Action::SendRevision { to: from }];
        }
        let has_room = self.sources.len() < MAX_SOURCES || self.sources.contains_key(&from);
        if revision == self.active || !has_room {
            return Vec::new();
        }
        let source = Source {
            revision,
            stalls: 0,
        };
        let known = self.sources.entry(from).or_insert(source);
        known.revision = known.revision.max(revision);
        self.start_fetch(now).into_iter().collect()
    }

    /// Starts a fetch, where none is in progress, from the source with the fewest stalls and among
    /// these the newest revision.
    fn start_fetch(&mut self, now: Instant) -> Option<Action> {
        if self.fetch.is_some() {
            return None;
        }
        let rank = |(_, source): &(&VmId, &Source)| (Reverse(source.stalls), source.revision);
        let (from, _) = self.sources.iter().max_by_key(rank)?;
        self.fetch = Some(Fetch {
            from: from.clone(),
            progress: now,
            revision: Revision(0),
            parts: BTreeMap::new(),
        });
        Some(Action::Fetch {
            from: from.clone(),
            revision: self.active.next(),
        })
    }

    fn on_part(&mut self, from: &VmId, part: ConfigPart, now: Instant) -> Vec<Action> {
        if part.revision <= self.active {
            self.stale_parts += 1;
            return Vec::new();
        }
        let Some(fetch) = self.fetch.as_mut().filter(|f| f.from == *from) else {
            return Vec::new();
        };
        if part.part >= part.parts || part.parts > MAX_PARTS || part.bytes.0.len() > PART_BYTES {
            self.sources.remove(from);
            self.fetch = None;
            return self.fetch_or_reread(now);
        }
        // The source itself got a newer revision and sends that one from its first part.
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

    fn on_offer_result(
        &mut self,
        from: VmId,
        result: &Result<Revision, OfferError>,
        now: Instant,
    ) -> Vec<Action> {
        self.fetch.take_if(|f| f.from == from);
        match result {
            Ok(revision) => {
                let mut actions = self.on_activated(*revision, Some(from), now);
                actions.extend(self.start_fetch(now));
                actions
            }
            Err(OfferError::Stale(active)) => {
                self.set_active(*active);
                self.start_fetch(now).into_iter().collect()
            }
            Err(_) => {
                self.sources.remove(&from);
                self.fetch_or_reread(now)
            }
        }
    }

    fn on_tick(&mut self, now: Instant) -> Vec<Action> {
        let has_stalled = |f: &Fetch| now.saturating_duration_since(f.progress) >= FETCH_TIMEOUT;
        let Some(fetch) = self.fetch.take_if(|f| has_stalled(f)) else {
            return Vec::new();
        };
        if let Some(source) = self.sources.get_mut(&fetch.from) {
            source.stalls += 1;
        }
        self.sources.retain(|_, source| source.stalls < MAX_STALLS);
        // The source may have failed, while the store may be reachable.
        let mut actions = vec![Action::RereadStore];
        actions.extend(self.start_fetch(now));
        actions
    }

    fn fetch_or_reread(&mut self, now: Instant) -> Vec<Action> {
        vec![self.start_fetch(now).unwrap_or(Action::RereadStore)]
    }
}
