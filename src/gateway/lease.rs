//! Which VM gives orders to engines.
//!
//! One object in the platform's store names the holder. It is changed only under a condition, and
//! its version at the take-over is the fencing number of the holder's orders. A holder stops before
//! its lease is over, counted from when its last renewal was sent; a successor waits until the
//! object has stood unchanged for longer than a lease. Both count on a clock that goes on while a
//! VM is suspended.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::clock::BootTime;
use crate::ids::{Epoch, Version, VmId};

/// A holder stops this long before its lease is over.
const STOP_MARGIN: Duration = Duration::from_millis(600);
/// A successor waits this much longer than a lease.
const WAIT_MARGIN: Duration = Duration::from_millis(300);
/// Renewals in the length of a lease.
const RENEWALS: u32 = 3;
/// Pause after a failed call.
const FAILURE_PAUSE: Duration = Duration::from_millis(200);

/// What the object says.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeaseRecord {
    /// Holder.
    pub holder: VmId,
    /// Number of this renewal; makes each one a change.
    pub renewal: u64,
}

/// The next call to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseAction {
    /// Nothing now.
    Wait,
    /// Read the object.
    Read,
    /// Write the object if it is still at this version.
    Write(Version, LeaseRecord),
}

#[derive(Clone, Copy, Debug)]
struct Held {
    epoch: Epoch,
    sent: BootTime,
}

/// A VM's view of the lease.
#[derive(Debug)]
pub struct Lease {
    me: VmId,
    length: Duration,
    /// The object's newest version known, and since when.
    seen: Option<(Version, BootTime)>,
    holder: Option<VmId>,
    held: Option<Held>,
    renewal: u64,
    next: BootTime,
    /// Whether the object must be read before anything else.
    stale: bool,
}

impl Lease {
    /// No view yet; the first read is due at `first`.
    pub fn new(me: VmId, length: Duration, first: BootTime) -> Self {
        Self {
            me,
            length,
            seen: None,
            holder: None,
            held: None,
            renewal: 0,
            next: first,
            stale: true,
        }
    }

    /// The fencing number, while this VM may give orders.
    pub fn epoch(&self, now: BootTime) -> Option<Epoch> {
        let limit = self.length.saturating_sub(STOP_MARGIN);
        let held = self.held.filter(|held| now.since(held.sent) < limit)?;
        Some(held.epoch)
    }

    /// The object's newest version known.
    pub fn version(&self) -> Version {
        self.seen.map(|(version, _)| version).unwrap_or_default()
    }

    /// Takes the holder's own word, heard between VMs.
    pub fn on_version_seen(&mut self, version: Version, now: BootTime) {
        let newer = self.seen.is_none_or(|(known, _)| known < version);
        if self.held.is_none() && newer {
            self.see(version, now);
            // Whoever wrote it holds the lease, whatever was read before.
            self.holder = None;
        }
    }

    /// The next call; `led` says that a holder was heard lately.
    pub fn next_action(&self, led: bool, now: BootTime) -> LeaseAction {
        if now < self.next {
            return LeaseAction::Wait;
        }
        if self.stale {
            let rests = self.held.is_none() && led;
            return if rests {
                LeaseAction::Wait
            } else {
                LeaseAction::Read
            };
        }
        let (version, since) = self.seen.unwrap_or_default();
        let record = LeaseRecord {
            holder: self.me.clone(),
            renewal: self.renewal + 1,
        };
        let lapsed = now.since(since) >= self.length + WAIT_MARGIN;
        let own = self.holder.as_ref() == Some(&self.me);
        let absent = self.seen.is_none();
        if self.held.is_some() || own || absent {
            return LeaseAction::Write(version, record);
        }
        if lapsed && !led {
            return LeaseAction::Write(version, record);
        }
        LeaseAction::Wait
    }

    /// Takes the object as read; `None` where there is none.
    pub fn on_read(&mut self, object: Option<(Version, LeaseRecord)>, now: BootTime) {
        self.stale = false;
        self.next = now;
        let Some((version, record)) = object else {
            self.seen = None;
            self.holder = None;
            self.held = None;
            return;
        };
        self.see(version, now);
        if record.holder != self.me {
            self.held = None;
        }
        self.renewal = self.renewal.max(record.renewal);
        self.holder = Some(record.holder);
    }

    /// Takes a write's success; `sent` is when the call was sent.
    pub fn on_written(&mut self, version: Version, sent: BootTime) {
        let epoch = self.held.map_or(Epoch(version.0), |held| held.epoch);
        self.held = Some(Held { epoch, sent });
        self.holder = Some(self.me.clone());
        self.renewal += 1;
        self.seen = Some((version, sent));
        self.next = sent.plus(self.length / RENEWALS);
    }

    /// Takes the loss of a write against another one.
    pub fn on_conflict(&mut self, now: BootTime) {
        self.held = None;
        self.stale = true;
        self.next = now;
    }

    /// Takes a call that failed or whose effect is not known.
    pub fn on_failure(&mut self, now: BootTime) {
        self.stale = true;
        self.next = now.plus(FAILURE_PAUSE);
        if self.epoch(now).is_none() {
            self.held = None;
        }
    }

    fn see(&mut self, version: Version, now: BootTime) {
        if self.seen.is_none_or(|(known, _)| known < version) {
            self.seen = Some((version, now));
        }
    }
}
