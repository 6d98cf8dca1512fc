//! Tracks which engines probably have which prompt prefixes in their caches.
//!
//! Engines publish cache events late, and events can be missing, so the result is only an
//! estimate. It decides only between upstreams that are otherwise eligible, and a wrong estimate
//! costs the engine one prefix computation. Sending a request counts as caching its prefix until
//! the engine's event arrives. A gap in the sequence of events keeps the entries of that engine
//! but shortens their lifetime, because a missing event may have evicted any of them.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::engine::CacheEvents;
use crate::ids::UpstreamId;

const ENTRY_LIFETIME: Duration = Duration::from_mins(2);
/// Longest remaining lifetime of an upstream's entries after a gap in its events.
const LIFETIME_AFTER_GAP: Duration = Duration::from_secs(15);
const MAX_ENTRIES: usize = 65_536;

/// Hash of the prefix, and the upstream that has it cached.
type EntryKey = (u64, UpstreamId);

/// Estimate of the prompt prefixes that each engine has cached.
#[derive(Clone, Debug, Default)]
pub struct Affinity {
    /// Expiry times.
    entries: BTreeMap<EntryKey, Instant>,
    /// Sequence number of the next event that each upstream is expected to publish.
    next_sequences: BTreeMap<UpstreamId, u64>,
}

impl Affinity {
    /// Applies cache events from an engine. Events older than those already seen are ignored.
    pub fn on_events(&mut self, upstream: &UpstreamId, events: &CacheEvents, now: Instant) {
        for event in &events.events {
            let expected = self.next_sequences.get(upstream).copied();
            if expected.is_some_and(|expected| event.sequence < expected) {
                continue;
            }
            if expected.is_some_and(|expected| event.sequence > expected) {
                self.shorten_lifetimes(upstream, now);
            }
            self.next_sequences
                .insert(upstream.clone(), event.sequence + 1);
            let key = (event.prefix, upstream.clone());
            if event.stored {
                self.insert(key, now + ENTRY_LIFETIME, now);
            } else {
                self.entries.remove(&key);
            }
        }
        let expected = self.next_sequences.entry(upstream.clone()).or_default();
        if events.next > *expected {
            *expected = events.next;
            self.shorten_lifetimes(upstream, now);
        }
    }

    /// Assumes that an upstream caches the prefix of a request that is sent to it.
    pub fn on_dispatch(&mut self, upstream: &UpstreamId, prefix: u64, now: Instant) {
        self.insert((prefix, upstream.clone()), now + ENTRY_LIFETIME, now);
    }

    /// Whether an upstream probably has a prefix cached.
    pub fn has_prefix(&self, upstream: &UpstreamId, prefix: u64, now: Instant) -> bool {
        let expiry = self.entries.get(&(prefix, upstream.clone()));
        expiry.is_some_and(|&expiry| now < expiry)
    }

    /// Removes all entries of an upstream, whose cache is empty after a restart.
    pub fn remove_upstream(&mut self, upstream: &UpstreamId) {
        self.entries.retain(|(_, other), _| other != upstream);
        self.next_sequences.remove(upstream);
    }

    fn shorten_lifetimes(&mut self, upstream: &UpstreamId, now: Instant) {
        let limit = now + LIFETIME_AFTER_GAP;
        let entries = self.entries.iter_mut();
        for (_, expiry) in entries.filter(|((_, other), _)| other == upstream) {
            *expiry = limit.min(*expiry);
        }
    }

    fn insert(&mut self, key: EntryKey, expiry: Instant, now: Instant) {
        if self.entries.len() >= MAX_ENTRIES {
            self.entries.retain(|_, &mut expiry| now < expiry);
        }
        if self.entries.len() >= MAX_ENTRIES {
            self.entries.pop_first();
        }
        self.entries.insert(key, expiry);
    }
}
