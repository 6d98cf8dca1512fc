//! The parts and requests that responses have shown to crash no engine, and when they last did.
//!
//! A VM passes on only proofs of its own. Times that others report are a little later than the
//! proofs were, and would become later with each VM that passed them on.
//!
//! The memory is bounded: those of the last few thousand responses are known, and older ones are
//! forgotten in bulk. Requests have a memory of their own, as most of them come only once and would
//! displace the parts.

use std::collections::BTreeMap;
use std::time::Instant;

use crate::ids::{PartHash, RequestDigest};

use super::suspect::Suspect;

/// Entries in one generation of a memory; at most two generations are kept.
const GENERATION_ENTRIES: usize = 4096;

/// Times by part or request, of those that were added last.
#[derive(Debug)]
struct RecentTimes<K> {
    recent: BTreeMap<K, Instant>,
    older: BTreeMap<K, Instant>,
}

impl<K> Default for RecentTimes<K> {
    fn default() -> Self {
        Self {
            recent: BTreeMap::new(),
            older: BTreeMap::new(),
        }
    }
}

impl<K> RecentTimes<K>
where
    K: Ord + Copy,
{
    fn add(&mut self, key: K, at: Instant) {
        if self.recent.len() >= GENERATION_ENTRIES && !self.recent.contains_key(&key) {
            self.older = std::mem::take(&mut self.recent);
        }
        let last = self.last(key).max(Some(at)).unwrap_or(at);
        self.recent.insert(key, last);
    }

    fn last(&self, key: K) -> Option<Instant> {
        let recent = self.recent.get(&key);
        recent.or_else(|| self.older.get(&key)).copied()
    }
}

/// Proofs from one source.
#[derive(Debug, Default)]
struct Proofs {
    parts: RecentTimes<PartHash>,
    requests: RecentTimes<RequestDigest>,
}

impl Proofs {
    fn add(&mut self, suspect: Suspect, at: Instant) {
        match suspect {
            Suspect::Part(part) => self.parts.add(part, at),
            Suspect::Request(request) => self.requests.add(request, at),
        }
    }

    fn last(&self, suspect: Suspect) -> Option<Instant> {
        match suspect {
            Suspect::Part(part) => self.parts.last(part),
            Suspect::Request(request) => self.requests.last(request),
        }
    }
}

/// Parts and requests that were sound, with the time of the last proof.
#[derive(Debug, Default)]
pub struct SoundInputs {
    own: Proofs,
    told: Proofs,
}

impl SoundInputs {
    /// Records a proof of this VM.
    pub fn add_own(&mut self, suspect: Suspect, at: Instant) {
        self.own.add(suspect, at);
    }

    /// Records a proof that another VM reports.
    pub fn add_told(&mut self, suspect: Suspect, at: Instant) {
        self.told.add(suspect, at);
    }

    /// Time of the last proof, if one is known.
    pub fn last(&self, suspect: Suspect) -> Option<Instant> {
        self.own.last(suspect).max(self.told.last(suspect))
    }

    /// Whether a proof is known of a part.
    pub fn knows(&self, part: PartHash) -> bool {
        self.last(part.into()).is_some()
    }

    /// Time of this VM's last proof, if there is one.
    pub fn last_own(&self, suspect: Suspect) -> Option<Instant> {
        self.own.last(suspect)
    }
}
