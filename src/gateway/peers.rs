//! The other VMs and their usage reports.
//!
//! Sums over all VMs are updated with each report and when a VM becomes unreachable; they are
//! never recomputed. The cost of a report therefore depends on its size and not on the number of
//! VMs.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::ids::{ClientAccount, DataCentre, Generation, UpstreamId, VmId};
use crate::schema::mesh::{Usage, VmSite};
use crate::units::Tokens;

use super::fanout::roles::Capacity;
use super::reachability::Reachability;
use super::run::VmRegistration;

/// Shortest interval between usage reports of a VM, used among at most `FEW_VMS` VMs.
pub const MIN_USAGE_INTERVAL: Duration = Duration::from_millis(200);
/// Longest interval between usage reports of a VM.
const MAX_USAGE_INTERVAL: Duration = Duration::from_millis(1200);
/// Above this number of VMs the interval grows with the number, so that the total number of
/// datagrams grows linearly and not quadratically.
const FEW_VMS: u32 = 12;
/// Longest interval between complete demand reports of a VM; receivers use one for three times as
/// long.
const MAX_DEMAND_INTERVAL: Duration = Duration::from_secs(1);
/// Intervals without a usage report after which a VM counts as unreachable. A single lost datagram
/// can therefore make a VM unreachable for a moment, which only lowers the part of each quota that
/// the others use.
const MAX_MISSED_INTERVALS: f64 = 1.5;
/// Shortest silence after which a VM counts as unreachable.
pub const MIN_SILENCE_TIMEOUT: Duration = Duration::from_secs(1);
/// A VM is forgotten after a silence of this length.
const FORGET_TIMEOUT: Duration = Duration::from_secs(12);

#[derive(Debug)]
struct Peer {
    address: SocketAddr,
    /// When the VM's last usage report arrived.
    last_received: Option<Instant>,
    /// When its registration was last read, or it was first added.
    last_listed: Instant,
    /// Start of the process that sent the last report.
    generation: Option<Generation>,
    /// Tokens that it has admitted since its start, by account.
    admitted_totals: BTreeMap<ClientAccount, Tokens>,
    /// Its running requests by upstream, as included in the sums.
    loads: BTreeMap<UpstreamId, u32>,
    /// Its data centre and capacity; absent until its registration or one of its first reports was
    /// read.
    site: Option<VmSite>,
}

/// Differences between a usage report and the previous one of the same VM.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct UsageChange {
    /// Whether the VM was not known before.
    pub new: bool,
    /// Whether this is the first report that arrives since the VM started.
    pub started: bool,
    /// Tokens admitted since the previous report; negative if more tokens were returned to the
    /// quota.
    pub admitted: Vec<(ClientAccount, i64)>,
    /// Running requests of all other VMs, for the upstreams where their number changed.
    pub loads: Vec<(UpstreamId, u32)>,
}

/// The other VMs known to this one.
#[derive(Debug, Default)]
pub struct Peers {
    known: BTreeMap<VmId, Peer>,
    /// Running requests of all reachable VMs, by upstream.
    loads: BTreeMap<UpstreamId, u32>,
    /// Most VMs known at any time, this one included.
    peak: u32,
}

impl Peers {
    /// Adds a registered VM. Once the VM has sent a report, its sender address is kept instead.
    pub fn add_registered(&mut self, vm: VmId, registration: VmRegistration, now: Instant) {
        let address = registration.mesh;
        let peer = self
            .known
            .entry(vm)
            .or_insert_with(|| Peer::new(address, now));
        let site = registration.centre.map(|centre| VmSite {
            centre,
            capacity: registration.capacity,
        });
        peer.site = site.or(peer.site.take());
        if peer.last_received.is_none() {
            peer.address = address;
            peer.last_listed = now;
        }
    }

    /// Applies a usage report that was sent from `from`.
    pub fn apply_usage(&mut self, usage: Usage, from: SocketAddr, now: Instant) -> UsageChange {
        let new = !self.known.contains_key(&usage.vm);
        let peer = self.known.entry(usage.vm);
        let peer = peer.or_insert_with(|| Peer::new(from, now));
        peer.address = from;
        peer.last_received = Some(now);
        peer.site = usage.site.or(peer.site.take());
        let first = peer.generation.is_none();
        if peer.generation != Some(usage.generation) {
            // The counts of a restarted VM begin at zero.
            peer.admitted_totals.clear();
        }
        let started = peer.generation != Some(usage.generation);
        peer.generation = Some(usage.generation);
        let mut admitted = Vec::new();
        for (account, tokens) in usage.accounts {
            // The first report from a VM is only a baseline: tokens that were admitted before it
            // do not count as a change.
            let baseline = if first { tokens } else { Tokens::ZERO };
            let before = peer
                .admitted_totals
                .insert(account.clone(), tokens)
                .unwrap_or(baseline);
            let difference = tokens.0.cast_signed() - before.0.cast_signed();
            if difference != 0 {
                admitted.push((account, difference));
            }
        }
        let before = std::mem::replace(&mut peer.loads, usage.upstreams);
        let mut changed = before.clone();
        changed.retain(|id, count| peer.loads.get(id) != Some(count));
        let updated = peer.loads.iter();
        let updated = updated.filter(|(id, count)| before.get(*id) != Some(*count));
        changed.extend(updated.map(|(id, count)| (id.clone(), *count)));
        let mut loads = Vec::new();
        for id in changed.into_keys() {
            let less = before.get(&id).copied().unwrap_or_default();
            let more = peer.loads.get(&id).copied().unwrap_or_default();
            let sum = self.loads.entry(id.clone()).or_default();
            *sum = (*sum + more).saturating_sub(less);
            loads.push((id, *sum));
        }
        UsageChange {
            new,
            started,
            admitted,
            loads,
        }
    }

    /// Removes the running requests of unreachable VMs from the sums, and forgets VMs after a long
    /// silence.
    pub fn expire(&mut self, now: Instant) {
        self.peak = self.peak.max(self.vm_count());
        let timeout = self.silence_timeout();
        for peer in self.known.values_mut() {
            if peer.is_reachable(now, timeout) {
                continue;
            }
            for (id, count) in std::mem::take(&mut peer.loads) {
                if let Some(sum) = self.loads.get_mut(&id) {
                    *sum = sum.saturating_sub(count);
                }
            }
        }
        self.known
            .retain(|_, peer| now.saturating_duration_since(peer.last_seen()) < FORGET_TIMEOUT);
        self.loads.retain(|_, sum| *sum > 0);
    }

    /// Running requests of all reachable VMs other than this one, by upstream.
    pub fn loads(&self) -> &BTreeMap<UpstreamId, u32> {
        &self.loads
    }

    /// How many VMs are known and reachable.
    pub fn reachability(&self, now: Instant) -> Reachability {
        let timeout = self.silence_timeout();
        let reachable = self
            .known
            .values()
            .filter(|peer| peer.is_reachable(now, timeout));
        let last_received = self
            .known
            .values()
            .filter_map(|peer| peer.last_received)
            .max();
        Reachability {
            vms: self.vm_count(),
            peak: self.peak.max(self.vm_count()),
            reachable: u32::try_from(reachable.count() + 1).unwrap_or(u32::MAX),
            last_received: last_received.unwrap_or(now),
            interval: self.usage_interval(),
        }
    }

    /// The reachable VMs of a data centre with their capacities.
    pub fn in_centre(&self, centre: &DataCentre, now: Instant) -> BTreeMap<VmId, Capacity> {
        let timeout = self.silence_timeout();
        let reachable = self
            .known
            .iter()
            .filter(|(_, peer)| peer.is_reachable(now, timeout));
        let sites = reachable.filter_map(|(vm, peer)| Some((vm, peer.site.as_ref()?)));
        let local = sites.filter(|(_, site)| site.centre == *centre);
        local
            .map(|(vm, site)| (vm.clone(), site.capacity))
            .collect()
    }

    /// Interval between usage reports of a VM that is not the leader.
    pub fn usage_interval(&self) -> Duration {
        let interval = MIN_USAGE_INTERVAL.saturating_mul(self.vm_count()) / FEW_VMS;
        interval.clamp(MIN_USAGE_INTERVAL, MAX_USAGE_INTERVAL)
    }

    /// Interval between complete demand reports of a VM.
    pub fn demand_interval(&self) -> Duration {
        self.usage_interval().min(MAX_DEMAND_INTERVAL)
    }

    /// Address of a VM, if it is known.
    pub fn address(&self, vm: &VmId) -> Option<SocketAddr> {
        self.known.get(vm).map(|peer| peer.address)
    }

    /// Addresses of all VMs known.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.known.values().map(|peer| peer.address).collect()
    }

    /// Number of VMs known, including this one.
    fn vm_count(&self) -> u32 {
        u32::try_from(self.known.len() + 1).unwrap_or(u32::MAX)
    }

    /// Silence after which a VM counts as unreachable.
    fn silence_timeout(&self) -> Duration {
        MIN_SILENCE_TIMEOUT.max(self.usage_interval().mul_f64(MAX_MISSED_INTERVALS))
    }
}

impl Peer {
    fn new(address: SocketAddr, now: Instant) -> Self {
        Self {
            address,
            last_received: None,
            last_listed: now,
            generation: None,
            admitted_totals: BTreeMap::new(),
            loads: BTreeMap::new(),
            site: None,
        }
    }

    fn last_seen(&self) -> Instant {
        self.last_received.unwrap_or(self.last_listed)
    }

    fn is_reachable(&self, now: Instant, timeout: Duration) -> bool {
        let received = self.last_received;
        received.is_some_and(|at| now.saturating_duration_since(at) < timeout)
    }
}
