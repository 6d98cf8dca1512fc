//! Whether a VM is in touch with the rest.
//!
//! A VM that hears neither the store nor any peer cannot learn of a withdrawn key, so keys are
//! refused there. Where peers answer but none heard the store, nothing can be accepted anywhere in
//! reach, and what is in force stays.

use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant};

/// How far a VM's view reaches.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Contact {
    /// It heard the store itself.
    #[default]
    Store,
    /// A peer that tells it heard the store.
    Peers,
    /// Peers answer, or there are none, but nobody in reach heard the store.
    Outage,
    /// There are peers and none answers.
    Alone,
}

/// Remembers who was last heard. A pure state machine.
#[derive(Clone, Debug)]
pub struct ContactTracker {
    bound: Duration,
    peer: Instant,
    store: Option<Instant>,
}

impl ContactTracker {
    /// Counts from the start of this VM.
    pub fn open(bound: Duration, now: Instant) -> Self {
        Self {
            bound,
            peer: now,
            store: None,
        }
    }

    /// Notes that some peer was heard `ago`.
    pub fn peer(&mut self, ago: Duration, now: Instant) {
        let heard = now.checked_sub(ago).unwrap_or(self.peer);
        self.peer = self.peer.max(heard);
    }

    /// Notes that a peer said it heard the store `ago`.
    pub fn store_by_peer(&mut self, ago: Duration, now: Instant) {
        self.peer = self.peer.max(now);
        self.store = self.store.max(now.checked_sub(ago));
    }

    /// The contact, given the time since this VM heard the store.
    pub fn contact(&self, store: Duration, has_peers: bool, now: Instant) -> Contact {
        let fresh = |at: Instant| now.saturating_duration_since(at) <= self.bound;
        if store <= self.bound {
            return Contact::Store;
        }
        if has_peers && !fresh(self.peer) {
            return Contact::Alone;
        }
        if self.store.is_some_and(fresh) {
            return Contact::Peers;
        }
        Contact::Outage
    }
}

/// A contact that readers load without a lock.
#[derive(Debug, Default)]
pub struct ContactCell(AtomicU8);

impl ContactCell {
    /// Replaces the contact.
    pub fn store(&self, contact: Contact) {
        self.0.store(contact as u8, Ordering::Release);
    }

    /// The contact last stored.
    pub fn load(&self) -> Contact {
        let value = self.0.load(Ordering::Acquire);
        let all = [Contact::Store, Contact::Peers, Contact::Outage];
        let found = all.into_iter().find(|c| *c as u8 == value);
        found.unwrap_or(Contact::Alone)
    }
}
