//! Whether a VM is in touch with the rest.
//!
//! A VM that hears neither the store nor any peer cannot learn of a withdrawn key, so keys are
//! refused there. Where peers answer but none heard the store, nothing can be accepted anywhere in
//! reach, and what is in force stays.

use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant};

/// How far a VM's view reaches.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Connectivity {
    /// It heard the store itself.
    #[default]
    Store,
    /// A peer that tells it heard the store.
    Peers,
    /// Peers answer, or there are none, but nobody in reach heard the store.
    Outage,
    /// There are peers and none answers.
    Isolated,
}

/// Remembers who was last heard. A pure state machine.
#[derive(Clone, Debug)]
pub struct ConnectivityTracker {
    bound: Duration,
    peer: Instant,
    store: Option<Instant>,
}

impl ConnectivityTracker {
    /// Counts from the start of this VM.
    pub fn open(bound: Duration, now: Instant) -> Self {
        Self {
            bound,
            peer: now,
            store: None,
        }
    }

    /// Notes that some peer was heard `ago`.
    pub fn record_peer(&mut self, ago: Duration, now: Instant) {
        let heard = now.checked_sub(ago).unwrap_or(self.peer);
        self.peer = self.peer.max(heard);
    }

    /// Notes that a peer said it heard the store `ago`.
    pub fn record_peer_store(&mut self, ago: Duration, now: Instant) {
        self.peer = self.peer.max(now);
        self.store = self.store.max(now.checked_sub(ago));
    }

    /// The contact, given the time since this VM heard the store.
    pub fn connectivity(&self, store: Duration, has_peers: bool, now: Instant) -> Connectivity {
        let fresh = |at: Instant| now.saturating_duration_since(at) <= self.bound;
        if store <= self.bound {
            return Connectivity::Store;
        }
        if has_peers && !fresh(self.peer) {
            return Connectivity::Isolated;
        }
        if self.store.is_some_and(fresh) {
            return Connectivity::Peers;
        }
        Connectivity::Outage
    }
}

/// A contact that readers load without a lock.
#[derive(Debug, Default)]
pub struct AtomicConnectivity(AtomicU8);

impl AtomicConnectivity {
    /// Replaces the contact.
    pub fn store(&self, connectivity: Connectivity) {
        self.0.store(connectivity as u8, Ordering::Release);
    }

    /// The contact last stored.
    pub fn load(&self) -> Connectivity {
        let value = self.0.load(Ordering::Acquire);
        let all = [
            Connectivity::Store,
            Connectivity::Peers,
            Connectivity::Outage,
        ];
        let found = all.into_iter().find(|c| *c as u8 == value);
        found.unwrap_or(Connectivity::Isolated)
    }
}
