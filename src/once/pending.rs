//! Ends of attempts that the store has not taken yet.
//!
//! An end that could not be written is kept here and written later, so that a repeat at this VM gets
//! it at once and one elsewhere as soon as the store is back. The number is bounded; beyond it the
//! oldest is dropped, and its record stays in progress until its VM is gone, then unknown.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use compact_str::CompactString;

use super::End;
use crate::ids::{ObjectKey, Version};

const MAX_PENDING: usize = 1024;

/// An end that waits to be written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Waiting {
    /// The record.
    pub object: ObjectKey,
    /// The attempt whose end it is.
    pub attempt: CompactString,
    /// Digest of its request.
    pub digest: CompactString,
    /// The version the attempt created; 0 where that is not known.
    pub version: Version,
    /// The end.
    pub end: End,
    /// Whether another attempt of the same request is known.
    pub rival: bool,
    /// When it came to wait.
    pub since: Instant,
}

#[derive(Debug, Default)]
struct Inner {
    next: u64,
    entries: BTreeMap<u64, Waiting>,
}

/// Ends that wait to be written, in order.
#[derive(Debug, Default)]
pub struct Pending {
    inner: Mutex<Inner>,
}

impl Pending {
    /// Adds an end; an earlier one of the same attempt gives way.
    pub fn insert(&self, waiting: Waiting) {
        let mut inner = self.lock();
        inner
            .entries
            .retain(|_, entry| entry.attempt != waiting.attempt);
        if inner.entries.len() >= MAX_PENDING {
            inner.entries.pop_first();
        }
        let number = inner.next;
        inner.next += 1;
        inner.entries.insert(number, waiting);
    }

    /// The end that waits for a record; one that says more than "not run" comes first.
    pub fn find(&self, object: &ObjectKey) -> Option<Waiting> {
        let inner = self.lock();
        let entries = inner.entries.values();
        let own = entries.filter(|entry| entry.object == *object);
        own.min_by_key(|entry| entry.end == End::NotRun).cloned()
    }

    /// Removes the end of an attempt.
    pub fn remove(&self, attempt: &str) {
        let mut inner = self.lock();
        inner.entries.retain(|_, entry| entry.attempt != attempt);
    }

    /// All ends, oldest first.
    pub fn all(&self) -> Vec<Waiting> {
        self.lock().entries.values().cloned().collect()
    }

    /// How many wait.
    pub fn len(&self) -> usize {
        self.lock().entries.len()
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
