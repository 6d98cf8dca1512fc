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

const LIFE: Duration = Duration::from_mins(2);
const DOUBTED_LIFE: Duration = Duration::from_secs(15);
const MAX_ENTRIES: usize = 65_536;

type Slot = (u64, UpstreamId);

/// Estimate of the prompt prefixes that each engine has cached.
#[derive(Clone, Debug, Default)]
pub struct Affinity {
    entries: BTreeMap<Slot, Instant>,
    positions: BTreeMap<UpstreamId, u64>,
}

impl Affinity {
    /// Applies cache events from an engine. Events older than those already seen are ignored.
    pub fn on_events(&mut self, upstream: &UpstreamId, events: &CacheEvents, now: Instant) {
        for event in &events.events {
            let position = self.positions.get(upstream).copied();
            if position.is_some_and(|position| event.sequence < position) {
                continue;
            }
            if position.is_some_and(|position| event.sequence > position) {
                self.doubt(upstream, now);
            }
            self.positions.insert(upstream.clone(), event.sequence + 1);
            let slot = (event.prefix, upstream.clone());
            if event.stored {
                self.insert(slot, now + LIFE, now);
            } else {
                self.entries.remove(&slot);
            }
        }
        let position = self.positions.entry(upstream.clone()).or_default();
        if events.next > *position {
            *position = events.next;
            self.doubt(upstream, now);
        }
    }

    /// Assumes that an upstream caches the prefix of a request that is sent to it.
    pub fn on_dispatch(&mut self, upstream: &UpstreamId, prefix: u64, now: Instant) {
        self.insert((prefix, upstream.clone()), now + LIFE, now);
    }

    /// Whether an upstream probably has a prefix cached.
    pub fn holds(&self, upstream: &UpstreamId, prefix: u64, now: Instant) -> bool {
        let until = self.entries.get(&(prefix, upstream.clone()));
        until.is_some_and(|&until| now < until)
    }

    /// Removes all entries of an upstream, whose cache is empty after a restart.
    pub fn forget(&mut self, upstream: &UpstreamId) {
        self.entries.retain(|(_, holder), _| holder != upstream);
        self.positions.remove(upstream);
    }

    fn doubt(&mut self, upstream: &UpstreamId, now: Instant) {
        let limit = now + DOUBTED_LIFE;
        let held = self.entries.iter_mut();
        for (_, until) in held.filter(|((_, holder), _)| holder == upstream) {
            *until = limit.min(*until);
        }
    }

    fn insert(&mut self, slot: Slot, until: Instant, now: Instant) {
        if self.entries.len() >= MAX_ENTRIES {
            self.entries.retain(|_, &mut until| now < until);
        }
        if self.entries.len() >= MAX_ENTRIES {
            self.entries.pop_first();
        }
        self.entries.insert(slot, until);
    }
}
