//! Connectivity of this VM to the store and to peer VMs.
//!
//! A VM that receives nothing from the store and nothing from any peer cannot learn that a key was
//! withdrawn, so it refuses all keys. If peers are reachable but none of them received a response
//! from the store, no reachable VM can accept a change, so the active configuration stays valid.

use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant};

/// Connectivity of this VM to the store and to peer VMs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Connectivity {
    /// This VM recently received a response from the store.
    #[default]
    Store,
    /// A reachable peer recently received a response from the store.
    Peers,
    /// Neither this VM nor any reachable peer recently received a response from the store. Some
    /// peer is reachable, or there are no peers.
    Outage,
    /// There are peers, but neither the store nor any peer is reachable.
    Isolated,
}

/// Tracks when peers and the store were last reachable. A state machine without I/O.
#[derive(Clone, Debug)]
pub struct ConnectivityTracker {
    /// Time without anything received after which peers, or the store, count as unreachable.
    timeout: Duration,
    /// When anything was last received from any peer.
    peer_received: Instant,
    /// When a peer last received a response from the store.
    peer_store: Option<Instant>,
}

impl ConnectivityTracker {
    /// Starts at `now`, as if a peer had just been reachable. Peers and the store count as
    /// unreachable after `timeout` without anything received.
    pub fn open(timeout: Duration, now: Instant) -> Self {
        Self {
            timeout,
            peer_received: now,
            peer_store: None,
        }
    }

    /// Records that something was received from any peer, `ago` before `now`.
    pub fn record_peer(&mut self, ago: Duration, now: Instant) {
        let received = now.checked_sub(ago).unwrap_or(self.peer_received);
        self.peer_received = self.peer_received.max(received);
    }

    /// Records a peer's report that it received a response from the store, `ago` before `now`.
    pub fn record_peer_store(&mut self, ago: Duration, now: Instant) {
        self.peer_received = self.peer_received.max(now);
        self.peer_store = self.peer_store.max(now.checked_sub(ago));
    }

    /// The connectivity at `now`; `store_age` is the time since this VM last received a response
    /// from the store.
    pub fn connectivity(&self, store_age: Duration, has_peers: bool, now: Instant) -> Connectivity {
        let recent = |at: Instant| now.saturating_duration_since(at) <= self.timeout;
        if store_age <= self.timeout {
            return Connectivity::Store;
        }
        if has_peers && !recent(self.peer_received) {
            return Connectivity::Isolated;
        }
        if self.peer_store.is_some_and(recent) {
            return Connectivity::Peers;
        }
        Connectivity::Outage
    }
}

/// A [`Connectivity`] that is read without a lock.
#[derive(Debug, Default)]
pub struct AtomicConnectivity(AtomicU8);

impl AtomicConnectivity {
    /// Replaces the value.
    pub fn store(&self, connectivity: Connectivity) {
        self.0.store(connectivity as u8, Ordering::Release);
    }

    /// The value last stored.
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
