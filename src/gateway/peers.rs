//! The other VMs and their usage reports.
//!
//! Sums over all VMs are updated with each report and when a VM becomes unreachable; they are
//! never recomputed. The cost of a report therefore depends on its size and not on the number of
//! VMs.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::ids::{ClientAccount, Generation, UpstreamId, VmId};
use crate::schema::mesh::Usage;
use crate::units::Tokens;

use super::reachability::Reachability;

/// Shortest interval between usage reports of a VM, used among up to [`FEW_VMS`] VMs.
pub const USAGE_PAUSE: Duration = Duration::from_millis(200);
/// Longest interval between usage reports of a VM.
const MAX_USAGE_PAUSE: Duration = Duration::from_millis(1200);
/// Above this number of VMs the interval grows with the number, so that the total number of
/// datagrams grows linearly and not quadratically.
const FEW_VMS: u32 = 12;
/// Longest interval between complete demand reports of a VM; receivers use one for three times as
/// long.
const MAX_WANTS_PAUSE: Duration = Duration::from_secs(1);
/// Intervals without a usage report after which a VM counts as unreachable. A single lost datagram
/// can therefore make a VM unreachable for a moment, which only lowers the part of each quota that
/// the others use.
const MISSED_PAUSES: f64 = 1.5;
/// Shortest silence after which a VM counts as unreachable.
pub const TOUCH_TIME: Duration = Duration::from_secs(1);
/// A VM is forgotten after a silence of this length.
const GONE_TIME: Duration = Duration::from_secs(12);

#[derive(Debug)]
struct Peer {
    at: SocketAddr,
    /// When its last usage report arrived.
    heard: Option<Instant>,
    /// When its registration was last read, or it was first added.
    known: Instant,
    /// Start of the process that sent the last report.
    generation: Option<Generation>,
    /// Tokens that it has admitted since its start, by account.
    used: BTreeMap<ClientAccount, Tokens>,
    /// Its running requests by upstream, as included in the sums.
    loads: BTreeMap<UpstreamId, u32>,
}

/// Differences between a usage report and the previous one of the same VM.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Taken {
    /// Whether the VM was not known before.
    pub new: bool,
    /// Tokens admitted since the previous report; negative if more were returned.
    pub spent: Vec<(ClientAccount, i64)>,
    /// Running requests of all other VMs, for the upstreams where their number changed.
    pub loads: Vec<(UpstreamId, u32)>,
}

/// The other VMs known to this one.
#[derive(Debug, Default)]
pub struct Peers {
    peers: BTreeMap<VmId, Peer>,
    /// Running requests of all reachable VMs, by upstream.
    loads: BTreeMap<UpstreamId, u32>,
}

impl Peers {
    /// Adds a registered VM. Once the VM has sent a report, its sender address is kept instead.
    pub fn know(&mut self, vm: VmId, at: SocketAddr, now: Instant) {
        let peer = self.peers.entry(vm).or_insert_with(|| Peer::new(at, now));
        if peer.heard.is_none() {
            peer.at = at;
            peer.known = now;
        }
    }

    /// Applies a usage report that was sent from `from`.
    pub fn take(&mut self, usage: Usage, from: SocketAddr, now: Instant) -> Taken {
        let new = !self.peers.contains_key(&usage.vm);
        let peer = self.peers.entry(usage.vm);
        let peer = peer.or_insert_with(|| Peer::new(from, now));
        peer.at = from;
        peer.heard = Some(now);
        let first = peer.generation.is_none();
        if peer.generation != Some(usage.generation) {
            // The counts of a restarted VM begin at zero.
            peer.used.clear();
        }
        peer.generation = Some(usage.generation);
        let mut spent = Vec::new();
        for (account, tokens) in usage.accounts {
            // The first report from a VM is only a baseline: tokens admitted before it are not
            // subtracted here.
            let start = if first { tokens } else { Tokens::ZERO };
            let before = peer.used.insert(account.clone(), tokens).unwrap_or(start);
            let more = tokens.0.cast_signed() - before.0.cast_signed();
            if more != 0 {
                spent.push((account, more));
            }
        }
        let before = std::mem::replace(&mut peer.loads, usage.upstreams);
        let mut changed = before.clone();
        changed.retain(|id, count| peer.loads.get(id) != Some(count));
        let grown = peer.loads.iter();
        let grown = grown.filter(|(id, count)| before.get(*id) != Some(*count));
        changed.extend(grown.map(|(id, count)| (id.clone(), *count)));
        let mut loads = Vec::new();
        for id in changed.into_keys() {
            let less = before.get(&id).copied().unwrap_or_default();
            let more = peer.loads.get(&id).copied().unwrap_or_default();
            let sum = self.loads.entry(id.clone()).or_default();
            *sum = (*sum + more).saturating_sub(less);
            loads.push((id, *sum));
        }
        Taken { new, spent, loads }
    }

    /// Removes the running requests of unreachable VMs from the sums, and forgets VMs after a long
    /// silence.
    pub fn forget(&mut self, now: Instant) {
        let touch = self.touch_time();
        for peer in self.peers.values_mut() {
            if peer.touched(now, touch) {
                continue;
            }
            for (id, count) in std::mem::take(&mut peer.loads) {
                if let Some(sum) = self.loads.get_mut(&id) {
                    *sum = sum.saturating_sub(count);
                }
            }
        }
        self.peers
            .retain(|_, peer| now.saturating_duration_since(peer.last()) < GONE_TIME);
        self.loads.retain(|_, sum| *sum > 0);
    }

    /// Running requests of all reachable VMs other than this one, by upstream.
    pub fn loads(&self) -> &BTreeMap<UpstreamId, u32> {
        &self.loads
    }

    /// How many VMs are known and reachable.
    pub fn touch(&self, now: Instant) -> Reachability {
        let time = self.touch_time();
        let near = self.peers.values().filter(|peer| peer.touched(now, time));
        let heard = self.peers.values().filter_map(|peer| peer.heard).max();
        Reachability {
            vms: self.count(),
            reachable: u32::try_from(near.count() + 1).unwrap_or(u32::MAX),
            last_received: heard.unwrap_or(now),
            interval: self.pause(),
        }
    }

    /// Interval between usage reports of a VM that is not the leader.
    pub fn pause(&self) -> Duration {
        let pause = USAGE_PAUSE.saturating_mul(self.count()) / FEW_VMS;
        pause.clamp(USAGE_PAUSE, MAX_USAGE_PAUSE)
    }

    /// Interval between complete demand reports of a VM.
    pub fn wants_pause(&self) -> Duration {
        self.pause().min(MAX_WANTS_PAUSE)
    }

    /// Address of a VM, if it is known.
    pub fn address(&self, vm: &VmId) -> Option<SocketAddr> {
        self.peers.get(vm).map(|peer| peer.at)
    }

    /// Addresses of all VMs known.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.peers.values().map(|peer| peer.at).collect()
    }

    /// Number of VMs known, including this one.
    fn count(&self) -> u32 {
        u32::try_from(self.peers.len() + 1).unwrap_or(u32::MAX)
    }

    /// Silence after which a VM counts as unreachable.
    fn touch_time(&self) -> Duration {
        TOUCH_TIME.max(self.pause().mul_f64(MISSED_PAUSES))
    }
}

impl Peer {
    fn new(at: SocketAddr, now: Instant) -> Self {
        Self {
            at,
            heard: None,
            known: now,
            generation: None,
            used: BTreeMap::new(),
            loads: BTreeMap::new(),
        }
    }

    fn last(&self) -> Instant {
        self.heard.unwrap_or(self.known)
    }

    fn touched(&self, now: Instant, touch: Duration) -> bool {
        let heard = self.heard;
        heard.is_some_and(|at| now.saturating_duration_since(at) < touch)
    }
}
