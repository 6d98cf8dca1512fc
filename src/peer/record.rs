//! Record of one peer VM, merged from the platform's list and from digests.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::ids::{DataCentre, Generation, VmId};
use crate::peer::membership::MemberState;
use crate::store::{Instance, InstanceState};

/// Number of peer VMs that must report a VM as lost before this VM considers it silent.
const MIN_LOST_REPORTERS: usize = 2;
/// Number of digests in which an entry that newly became leaving is sent first.
pub(super) const PRIORITY_DIGESTS: u32 = 10;

/// Generation and leaving flag of a VM or upstream; of two values the greater one is newer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Status {
    pub(super) generation: Generation,
    pub(super) leaving: bool,
}

impl Status {
    /// Status in the platform's list.
    pub(super) fn from_instance(instance: &Instance) -> Self {
        Self {
            generation: instance.generation,
            leaving: instance.state == InstanceState::Leaving,
        }
    }
}

/// Record of one peer VM.
#[derive(Clone, Debug)]
pub(super) struct VmRecord {
    pub(super) status: Status,
    pub(super) address: Option<SocketAddr>,
    pub(super) centre: Option<DataCentre>,
    /// Whether the platform's latest list holds the VM.
    pub(super) listed: bool,
    /// Last update of the record, for its expiry.
    pub(super) updated: Instant,
    /// When this VM last received a frame from the VM.
    pub(super) last_received: Option<Instant>,
    /// When this VM last failed to reach the VM or lost the link to it.
    pub(super) lost: Option<Instant>,
    /// When any peer last received a frame from the VM, as peers report it.
    pub(super) peer_received: Option<Instant>,
    /// Peers that report the VM as lost.
    pub(super) lost_reporters: BTreeSet<VmId>,
    /// When a peer last reported the VM as lost.
    pub(super) lost_reported: Option<Instant>,
    /// Digests in which the VM's entry is still to be sent first.
    pub(super) priority_digests: u32,
    /// Number of the digest that last held the VM's entry.
    pub(super) sent_digest: u64,
}

impl VmRecord {
    pub(super) fn open(now: Instant) -> Self {
        Self {
            status: Status::default(),
            address: None,
            centre: None,
            listed: false,
            updated: now,
            last_received: None,
            lost: None,
            peer_received: None,
            lost_reporters: BTreeSet::new(),
            lost_reported: None,
            priority_digests: 0,
            sent_digest: 0,
        }
    }

    // Returns whether the VM newly became leaving. A new generation resets what was observed, as
    // observations of the previous generation do not apply to it.
    pub(super) fn merge(&mut self, status: Status, now: Instant) -> bool {
        if status <= self.status {
            return false;
        }
        if status.generation > self.status.generation {
            self.last_received = None;
            self.lost = None;
            self.peer_received = None;
            self.clear_lost_reports();
        }
        self.status = status;
        self.updated = now;
        self.priority_digests = if status.leaving { PRIORITY_DIGESTS } else { 0 };
        status.leaving
    }

    pub(super) fn clear_lost_reports(&mut self) {
        self.lost_reporters.clear();
        self.lost_reported = None;
    }

    pub(super) fn state(&self, silence: Duration, now: Instant) -> MemberState {
        let recent = |at: Instant| now.saturating_duration_since(at) <= silence;
        let received = self.last_received.is_some_and(recent);
        if !self.listed && !received {
            return MemberState::Gone;
        }
        if self.status.leaving {
            return MemberState::Leaving;
        }
        if self.lost > self.last_received || self.is_lost_by_peers(silence) {
            return MemberState::Silent;
        }
        MemberState::Live
    }

    // Whether enough peers report the VM as lost, and neither this VM nor a peer received a frame from
    // it within the silence timeout before the latest report.
    pub(super) fn is_lost_by_peers(&self, silence: Duration) -> bool {
        let Some(reported) = self.lost_reported else {
            return false;
        };
        let newest = self.last_received.max(self.peer_received);
        let refuted = newest.is_some_and(|at| at + silence >= reported);
        self.lost_reporters.len() >= MIN_LOST_REPORTERS && !refuted
    }
}
