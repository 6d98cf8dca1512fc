//! What the other VMs have told of what they use, when there are many of them.
//!
//! Sums over all VMs are kept as words come and as VMs fall silent, and never reckoned anew, so
//! that a word costs as much as it says and not as much as there are VMs.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::ids::{ClientAccount, Generation, UpstreamId, VmId};
use crate::schema::mesh::Usage;
use crate::units::Tokens;

use super::reachability::Reachability;

/// Pause between words on what a VM uses, among few VMs and at most.
pub const USAGE_PAUSE: Duration = Duration::from_millis(200);
const MAX_USAGE_PAUSE: Duration = Duration::from_millis(1200);
/// Above this many VMs each one tells less often, so that what all of them tell grows with their
/// number and not with its square.
const FEW_VMS: u32 = 12;
/// Longest pause between words on all that a VM wants; they count for three times as long.
const MAX_WANTS_PAUSE: Duration = Duration::from_secs(1);
/// Pauses without a word after which a VM is out of touch; one whose word was lost is missed for a
/// moment, which costs the others its part of a part.
const MISSED_PAUSES: f64 = 1.5;
/// A VM not heard for this long is out of touch, at least.
pub const TOUCH_TIME: Duration = Duration::from_secs(1);
/// A VM not heard for this long is gone for good.
const GONE_TIME: Duration = Duration::from_secs(12);

#[derive(Debug)]
struct Peer {
    at: SocketAddr,
    heard: Option<Instant>,
    known: Instant,
    generation: Option<Generation>,
    used: BTreeMap<ClientAccount, Tokens>,
    /// Its requests, as they count in the sums.
    loads: BTreeMap<UpstreamId, u32>,
}

/// What a word changes.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Taken {
    /// Whether the VM was not known before.
    pub new: bool,
    /// Tokens that it admitted since its last word; below zero where it gave some back.
    pub spent: Vec<(ClientAccount, i64)>,
    /// Requests of all others, at the upstreams where they changed.
    pub loads: Vec<(UpstreamId, u32)>,
}

/// The other VMs.
#[derive(Debug, Default)]
pub struct Peers {
    peers: BTreeMap<VmId, Peer>,
    loads: BTreeMap<UpstreamId, u32>,
}

impl Peers {
    /// Takes a VM's registration.
    pub fn know(&mut self, vm: VmId, at: SocketAddr, now: Instant) {
        let peer = self.peers.entry(vm).or_insert_with(|| Peer::new(at, now));
        if peer.heard.is_none() {
            peer.at = at;
            peer.known = now;
        }
    }

    /// Takes a VM's word.
    pub fn take(&mut self, usage: Usage, from: SocketAddr, now: Instant) -> Taken {
        let new = !self.peers.contains_key(&usage.vm);
        let peer = self.peers.entry(usage.vm);
        let peer = peer.or_insert_with(|| Peer::new(from, now));
        peer.at = from;
        peer.heard = Some(now);
        let first = peer.generation.is_none();
        if peer.generation != Some(usage.generation) {
            // A VM that started anew counts from nothing.
            peer.used.clear();
        }
        peer.generation = Some(usage.generation);
        let mut spent = Vec::new();
        for (account, tokens) in usage.accounts {
            // What was used before this VM was heard at all is not taken off.
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

    /// Forgets what VMs out of touch have told of their requests, and VMs that are gone for good.
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

    /// Requests of the other VMs in touch, by upstream.
    pub fn loads(&self) -> &BTreeMap<UpstreamId, u32> {
        &self.loads
    }

    /// Which VMs are in touch.
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

    /// Pause between words on what a VM uses.
    pub fn pause(&self) -> Duration {
        let pause = USAGE_PAUSE.saturating_mul(self.count()) / FEW_VMS;
        pause.clamp(USAGE_PAUSE, MAX_USAGE_PAUSE)
    }

    /// Pause between words on all that a VM wants.
    pub fn wants_pause(&self) -> Duration {
        self.pause().min(MAX_WANTS_PAUSE)
    }

    /// Address of a VM.
    pub fn address(&self, vm: &VmId) -> Option<SocketAddr> {
        self.peers.get(vm).map(|peer| peer.at)
    }

    /// Addresses of all VMs.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.peers.values().map(|peer| peer.at).collect()
    }

    fn count(&self) -> u32 {
        u32::try_from(self.peers.len() + 1).unwrap_or(u32::MAX)
    }

    /// A VM not heard for this long is out of touch.
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
