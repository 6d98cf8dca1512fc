//! Leader election: the lease that lets one VM order engines to load and unload models.
//!
//! An object in the platform's store names the holder of the lease. It is written with
//! compare-and-swap only, and its version when the holder took over is the fencing number (epoch)
//! of the holder's orders. The holder stops sending orders before its lease expires, counted from
//! when it sent the last renewal. Another VM takes over only after the object has stayed unchanged
//! for longer than a lease. Both count on a clock that keeps running while a VM is suspended.
//!
//! When the store comes back from an older copy ([`crate::store::generation`]), renewals and
//! take-overs may be lost with it, so the object no longer proves who holds the lease. No VM takes
//! the lease over until a lease that was renewed just before the return has expired. A holder whose
//! lease is still valid renews it in the new generation and keeps its fencing number. One whose
//! lease has expired holds nothing: another VM may have taken the lease over meanwhile, also if the
//! object does not show it, since a VM that missed the return may have replaced the object under a
//! revision that was given out twice.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::clock::BootTime;
use crate::ids::{Epoch, StoreGeneration, Version, VmId};

/// Time before the expiry of its lease at which the holder stops sending orders.
const STOP_MARGIN: Duration = Duration::from_millis(600);
/// Time beyond the length of a lease that another VM waits before it takes over.
const TAKEOVER_MARGIN: Duration = Duration::from_millis(300);
/// Renewals within the length of a lease.
const RENEWALS: u32 = 3;
/// Delay before the next call of the holder to the store after a failed one, and of any other VM
/// after its first failed one; it doubles with each further one.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Doublings of the delay of a VM that does not hold the lease. All VMs wait for the store when it
/// is unreachable, and the lease cannot be taken over sooner than its length after its return.
const MAX_DOUBLINGS: u32 = 3;

/// Contents of the lease object in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeaseRecord {
    /// VM that holds the lease.
    pub holder: VmId,
    /// Number of this renewal, which makes each renewal a change of the object.
    pub renewal: u64,
    /// Generation of the store in which the holder wrote the object. A copy that the store came
    /// back from holds an earlier one.
    #[serde(default)]
    pub generation: StoreGeneration,
}

/// The next call to the store, if any.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseAction {
    /// No call now.
    Wait,
    /// Read the object.
    Read,
    /// Write the object if it still has this version.
    Write(Version, LeaseRecord),
}

/// The lease that this VM acquired, which may have expired since.
#[derive(Clone, Copy, Debug)]
struct Held {
    epoch: Epoch,
    /// When the last successful write was sent.
    sent: BootTime,
}

/// What this VM knows of the lease, as a state machine without I/O.
#[derive(Debug)]
pub struct Lease {
    own_id: VmId,
    length: Duration,
    /// The newest known version of the object, and when this VM learned of it.
    seen: Option<(Version, BootTime)>,
    holder: Option<VmId>,
    held: Option<Held>,
    /// Number of the newest known renewal.
    renewal: u64,
    /// Time before which no call is made.
    next_call: BootTime,
    /// Whether the object must be read before it is written.
    stale: bool,
    /// The newest known generation of the store.
    generation: StoreGeneration,
    /// Failed calls since the last response.
    failures: u32,
    /// Whether the store has responded to this VM.
    answered: bool,
    /// Until when a lease of an earlier generation may still be valid; `None` where there is none.
    earlier_lease_end: Option<BootTime>,
}

impl Lease {
    /// Creates the state of VM `own_id` before the first read, which is due at `first`. With
    /// `first_start`, no VM can have held a lease before.
    pub fn new(own_id: VmId, length: Duration, first: BootTime, first_start: bool) -> Self {
        let earlier_lease_end = first.plus(length + TAKEOVER_MARGIN);
        Self {
            own_id,
            length,
            seen: None,
            holder: None,
            held: None,
            renewal: 0,
            next_call: first,
            stale: true,
            generation: StoreGeneration::default(),
            failures: 0,
            answered: false,
            earlier_lease_end: (!first_start).then_some(earlier_lease_end),
        }
    }

    /// Records the newest known generation of the store, and returns whether it is a new one. In a
    /// new generation the object must be read again, and a lease that was renewed just before the
    /// return stays valid for its whole length.
    pub fn on_generation(&mut self, generation: StoreGeneration, now: BootTime) -> bool {
        if generation <= self.generation {
            return false;
        }
        self.generation = generation;
        self.seen = None;
        self.holder = None;
        self.stale = true;
        self.next_call = now;
        // Before the first response, the generation is not new but was unknown.
        if self.answered || self.earlier_lease_end.is_some() {
            self.earlier_lease_end = Some(now.plus(self.length + TAKEOVER_MARGIN));
        }
        self.answered = true;
        true
    }

    /// The fencing number of this VM's orders; `None` while it must not send any.
    pub fn epoch(&self, now: BootTime) -> Option<Epoch> {
        let limit = self.length.saturating_sub(STOP_MARGIN);
        let held = self.held.filter(|held| now.since(held.sent) < limit)?;
        Some(held.epoch)
    }

    /// The newest known version of the object.
    pub fn version(&self) -> Version {
        self.seen.map(|(version, _)| version).unwrap_or_default()
    }

    /// Records the object's version from a leader heartbeat, which the holder sends to other VMs.
    pub fn on_version_seen(&mut self, version: Version, now: BootTime) {
        self.on_generation(version.generation(), now);
        let current = version.generation() == self.generation;
        let newer = current && self.seen.is_none_or(|(known, _)| known < version);
        if self.epoch(now).is_none() && newer {
            self.record_version(version, now);
            // The VM that wrote this version holds the lease, whichever VM was read as its holder.
            self.holder = None;
        }
    }

    /// Returns the next call to the store. `leader_alive` says that leader heartbeats arrive, so
    /// that this VM need not read the object and must not take the lease over.
    pub fn next_action(&self, leader_alive: bool, now: BootTime) -> LeaseAction {
        if now < self.next_call {
            return LeaseAction::Wait;
        }
        if self.stale {
            let idle = self.epoch(now).is_none() && leader_alive;
            return if idle {
                LeaseAction::Wait
            } else {
                LeaseAction::Read
            };
        }
        let (version, since) = self.seen.unwrap_or_default();
        let record = LeaseRecord {
            holder: self.own_id.clone(),
            renewal: self.renewal + 1,
            generation: self.generation,
        };
        let earlier_lease = self.earlier_lease_end.is_some_and(|end| now < end);
        let expired = now.since(since) >= self.length + TAKEOVER_MARGIN;
        let own = self.holder.as_ref() == Some(&self.own_id);
        let absent = self.seen.is_none();
        if self.epoch(now).is_some() || (own || absent) && !earlier_lease {
            return LeaseAction::Write(version, record);
        }
        if expired && !leader_alive && !earlier_lease {
            return LeaseAction::Write(version, record);
        }
        LeaseAction::Wait
    }

    /// Records the object as it was read; `None` where it does not exist.
    pub fn on_read(&mut self, object: Option<(Version, LeaseRecord)>, now: BootTime) {
        self.answered = true;
        self.failures = 0;
        self.stale = false;
        self.next_call = now;
        let Some((version, record)) = object else {
            self.seen = None;
            self.holder = None;
            if self.earlier_lease_end.is_none_or(|end| end <= now) {
                self.held = None;
            }
            return;
        };
        self.on_generation(version.generation(), now);
        self.stale = false;
        self.record_version(version, now);
        if record.generation == self.generation {
            // Written since the store's last return, so no change of holder was lost.
            self.earlier_lease_end = None;
            if record.holder != self.own_id {
                self.held = None;
            }
        }
        self.renewal = self.renewal.max(record.renewal);
        self.holder = Some(record.holder);
    }

    /// Records that the object was read at `version` and its content cannot be decoded. Whoever
    /// wrote it may hold the lease, so it is taken over like that of any other VM.
    pub fn on_unreadable(&mut self, version: Version, now: BootTime) {
        self.answered = true;
        self.failures = 0;
        self.on_generation(version.generation(), now);
        self.next_call = now;
        self.stale = false;
        self.held = None;
        self.holder = None;
        self.record_version(version, now);
    }

    /// Records a successful write that was sent at `sent`. A write that reached a later generation
    /// of the store than it was meant for renews nothing.
    pub fn on_written(&mut self, version: Version, sent: BootTime, now: BootTime) {
        if self.on_generation(version.generation(), now) {
            return;
        }
        let epoch = self.epoch(sent).unwrap_or(Epoch(version.0));
        self.held = Some(Held { epoch, sent });
        self.holder = Some(self.own_id.clone());
        self.renewal += 1;
        self.seen = Some((version, sent));
        self.next_call = sent.plus(self.length / RENEWALS);
    }

    /// Gives the lease up after a write failed because another VM had changed the object, or after
    /// an engine refused an order because it had seen a higher fencing number.
    pub fn on_conflict(&mut self, now: BootTime) {
        self.held = None;
        self.stale = true;
        self.next_call = now;
    }

    /// Records that a call to the store failed, or that its effect is unknown.
    pub fn on_failure(&mut self, now: BootTime) {
        self.stale = true;
        let doublings = match self.epoch(now) {
            Some(_) => 0,
            None => self.failures.min(MAX_DOUBLINGS),
        };
        self.failures += 1;
        self.next_call = now.plus(RETRY_DELAY * 2u32.pow(doublings));
    }

    fn record_version(&mut self, version: Version, now: BootTime) {
        if self.seen.is_none_or(|(known, _)| known < version) {
            self.seen = Some((version, now));
        }
    }
}
