//! Generations of the platform's store.
//!
//! After an outage the store may come back from a copy that is some seconds old. What was written
//! after the copy is lost, and revisions that were given out before are given out again. Each such
//! return starts a new generation. A [`Version`] holds the generation above the revision, so a
//! version of a later generation is always greater and no version is ever given out twice. Fencing
//! numbers are made from versions and rise with them.

use std::sync::atomic::{AtomicU64, Ordering};

use thiserror::Error;

use crate::ids::{StoreGeneration, Version};

/// Bits of a [`Version`] that hold the store's revision; the others hold its generation.
const REVISION_BITS: u32 = 40;
const MAX_REVISION: u64 = (1 << REVISION_BITS) - 1;
const MAX_GENERATION: u64 = u64::MAX >> REVISION_BITS;

/// Error for a generation or a revision that is too large for a [`Version`].
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("revision {revision} of store generation {generation} is out of range")]
pub struct VersionRangeError {
    /// Generation as received.
    pub generation: StoreGeneration,
    /// Revision as received.
    pub revision: u64,
}

impl Version {
    /// The version of a revision that the store gave out in `generation`.
    ///
    /// # Errors
    ///
    /// [`VersionRangeError`].
    pub fn compose(generation: StoreGeneration, revision: u64) -> Result<Self, VersionRangeError> {
        if generation.0 > MAX_GENERATION || revision > MAX_REVISION {
            return Err(VersionRangeError {
                generation,
                revision,
            });
        }
        Ok(Self(generation.0 << REVISION_BITS | revision))
    }

    /// Generation of the store in which this version was given out.
    pub fn generation(self) -> StoreGeneration {
        StoreGeneration(self.0 >> REVISION_BITS)
    }

    /// The store's own number of this version, which is unique only within its generation.
    pub fn revision(self) -> u64 {
        self.0 & MAX_REVISION
    }
}

/// The newest generation that any response of the store has shown, over all connections.
#[derive(Debug, Default)]
pub struct GenerationTracker(AtomicU64);

impl GenerationTracker {
    /// The newest generation so far.
    pub fn current(&self) -> StoreGeneration {
        StoreGeneration(self.0.load(Ordering::Acquire))
    }

    /// Records the generation of a response. False if the response is of an earlier generation
    /// than another one before it: what it says may have been lost since.
    pub fn observe(&self, generation: StoreGeneration) -> bool {
        self.0.fetch_max(generation.0, Ordering::AcqRel) <= generation.0
    }
}
