//! Outcomes of attempts that are not yet written to the store.
//!
//! An outcome that could not be written is kept in memory and written later. A repeat of the
//! request at this VM gets it at once, and a repeat at another VM when the store is available
//! again. The number of pending outcomes is limited. Beyond the limit the oldest is dropped: its
//! record stays in progress until this VM has stopped, and then the outcome counts as unknown.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use compact_str::CompactString;

use super::AttemptOutcome;
use crate::ids::{ObjectKey, Version};

const MAX_PENDING: usize = 1024;

/// An outcome that is to be written to its record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PendingOutcome {
    /// Store key of the record.
    pub record_key: ObjectKey,
    /// Identifier of the attempt.
    pub attempt: CompactString,
    /// Hash of the request, in hexadecimal.
    pub digest: CompactString,
    /// Version of the record that the attempt created; 0 if it is not known.
    pub version: Version,
    /// The outcome.
    pub outcome: AttemptOutcome,
    /// Whether a record of another attempt at the same request was seen.
    pub other_attempt: bool,
    /// Time at which the outcome became pending.
    pub added: Instant,
}

#[derive(Debug, Default)]
struct Inner {
    next_number: u64,
    entries: BTreeMap<u64, PendingOutcome>,
}

/// Pending outcomes in the order in which they were added.
#[derive(Debug, Default)]
pub struct PendingOutcomes {
    inner: Mutex<Inner>,
}

impl PendingOutcomes {
    /// Adds an outcome and removes an earlier one of the same attempt.
    pub fn insert(&self, pending: PendingOutcome) {
        let mut inner = self.lock();
        inner
            .entries
            .retain(|_, entry| entry.attempt != pending.attempt);
        if inner.entries.len() >= MAX_PENDING {
            inner.entries.pop_first();
        }
        let number = inner.next_number;
        inner.next_number += 1;
        inner.entries.insert(number, pending);
    }

    /// Finds the pending outcome for a record. An outcome other than "not run" is preferred,
    /// because "not run" may belong to a repeat that was given up while another attempt ran.
    pub fn find(&self, record_key: &ObjectKey) -> Option<PendingOutcome> {
        let inner = self.lock();
        let entries = inner.entries.values();
        let matching = entries.filter(|entry| entry.record_key == *record_key);
        matching
            .min_by_key(|entry| entry.outcome == AttemptOutcome::NotRun)
            .cloned()
    }

    /// Removes the outcome of an attempt.
    pub fn remove(&self, attempt: &str) {
        let mut inner = self.lock();
        inner.entries.retain(|_, entry| entry.attempt != attempt);
    }

    /// Copies all pending outcomes, oldest first.
    pub fn to_vec(&self) -> Vec<PendingOutcome> {
        self.lock().entries.values().cloned().collect()
    }

    /// Number of pending outcomes.
    pub fn len(&self) -> usize {
        self.lock().entries.len()
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
