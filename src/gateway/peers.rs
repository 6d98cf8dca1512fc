//! The other VMs and their usage reports.
//!
//! Sums over all VMs are updated with each report and when a VM becomes unreachable; they are
//! never recomputed. The cost of a report therefore depends on its size and not on the number of
//! VMs.
//!
//! What a VM has admitted counts from its start, also what it admitted before this VM heard of it.
//! Of a VM that started before this one, only what it admits since its first report counts; the
//! rest is told apart. Totals are kept of a VM that was forgotten.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::ids::{ClientAccount, DataCentre, Generation, UpstreamId, VmId};
use crate::schema::mesh::{Usage, VmSite};
use crate::units::Tokens;

use super::broadcast::{self, Destination, Recipients};
use super::fanout::roles::Capacity;
use super::reachability::Reachability;
use super::run::VmRegistration;
use super::slowdown::Slowness;

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
/// Time in which a VM reads the datagrams that arrived while it stood still.
const CATCH_UP_TIME: Duration = MIN_USAGE_INTERVAL;
/// A VM is forgotten after a silence of this length, if it is no longer registered or most VMs are
/// heard. A VM that hears few others may be cut off from them, and they still run.
const FORGET_TIMEOUT: Duration = Duration::from_secs(12);
/// Largest number of forgotten VMs whose totals are kept.
const MAX_FORGOTTEN: usize = 1024;

/// Tokens that a VM has admitted since its start.
#[derive(Debug)]
struct AdmittedTotals {
    /// Start of its process.
    generation: Generation,
    accounts: BTreeMap<ClientAccount, Tokens>,
}

impl AdmittedTotals {
    /// Takes over newer totals and returns the differences.
    fn update(&mut self, accounts: BTreeMap<ClientAccount, Tokens>) -> Vec<(ClientAccount, i64)> {
        let mut differences = Vec::new();
        for (account, tokens) in accounts {
            let before = self.accounts.insert(account.clone(), tokens);
            let before = before.unwrap_or(Tokens::ZERO);
            let difference = tokens.0.cast_signed() - before.0.cast_signed();
            if difference != 0 {
                differences.push((account, difference));
            }
        }
        differences
    }
}

/// A span in which no report of a VM arrived.
#[derive(Clone, Copy, Debug)]
struct Silence {
    from: Instant,
    /// When the first report after it arrived.
    until: Instant,
}

#[derive(Debug)]
struct Peer {
    address: SocketAddr,
    /// When the VM's last usage report arrived.
    last_received: Option<Instant>,
    /// Process that sent its last report, and the age in milliseconds that the report states.
    report: Option<(Generation, u64)>,
    /// The process before the one that sent its last report.
    ended: Option<Generation>,
    /// The last silence after which it was heard again.
    silence: Option<Silence>,
    /// When its registration was last read, or it was first added.
    last_listed: Instant,
    /// What the process that sent the last report has admitted; absent before the first report.
    totals: Option<AdmittedTotals>,
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
    /// Whether the VM was not reachable until this report.
    pub reappeared: bool,
    /// Time since the VM was last heard before a silence that has just ended; absent if there was
    /// none.
    pub silence: Option<Duration>,
    /// Tokens admitted since the previous report; negative if more tokens were returned to the
    /// quota.
    pub admitted: Vec<(ClientAccount, i64)>,
    /// Tokens that a VM which started before this one had admitted before its first report.
    pub earlier: Vec<(ClientAccount, Tokens)>,
    /// Running requests of all other VMs, for the upstreams where their number changed.
    pub loads: Vec<(UpstreamId, u32)>,
    /// Upstreams that the VM has found slow.
    pub slow: BTreeMap<UpstreamId, Slowness>,
}

/// The other VMs known to this one.
#[derive(Debug, Default)]
pub struct Peers {
    known: BTreeMap<VmId, Peer>,
    /// Running requests of all reachable VMs, by upstream.
    loads: BTreeMap<UpstreamId, u32>,
    /// Most VMs known at any time, this one included.
    peak: u32,
    /// What VMs had admitted that were forgotten since, and when each was last heard.
    forgotten: BTreeMap<VmId, (AdmittedTotals, Instant)>,
    /// When this VM started; absent where its age is not compared.
    started: Option<Instant>,
    /// When the registered VMs, this one among them, were last read.
    listed: Option<Instant>,
}

impl Peers {
    /// No other VMs yet; this one started at `now`.
    pub fn open(now: Instant) -> Self {
        Self {
            started: Some(now),
            ..Self::default()
        }
    }

    /// Adds all registered VMs; `complete` if this one is among them.
    pub fn on_list<I>(&mut self, vms: I, complete: bool, now: Instant)
    where
        I: IntoIterator<Item = (VmId, VmRegistration)>,
    {
        for (vm, registration) in vms {
            self.add_registered(vm, registration, now);
        }
        if complete {
            self.listed = Some(now);
        }
    }

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
        peer.last_listed = now;
        if peer.last_received.is_none() {
            peer.address = address;
        }
    }

    /// Applies a usage report that was sent from `from`.
    pub fn apply_usage(&mut self, usage: Usage, from: SocketAddr, now: Instant) -> UsageChange {
        if self.is_outdated(&usage) {
            return UsageChange::default();
        }
        let new = !self.known.contains_key(&usage.vm);
        let timeout = self.silence_timeout();
        let peer = self.known.entry(usage.vm.clone());
        let peer = peer.or_insert_with(|| Peer::new(from, now));
        peer.address = from;
        let reappeared = !peer.is_reachable(now, timeout);
        if reappeared {
            let from = peer.last_seen();
            peer.silence = Some(Silence { from, until: now });
        }
        peer.last_received = Some(now);
        peer.report = usage.age_ms.map(|age_ms| (usage.generation, age_ms));
        peer.site = usage.site.or(peer.site.take());
        let known = peer.totals.as_ref();
        let started = known.is_none_or(|totals| totals.generation != usage.generation);
        let mut earlier = Vec::new();
        if started {
            peer.ended = known.map(|totals| totals.generation).or(peer.ended);
            let totals = self.forgotten.remove(&usage.vm);
            let totals = totals.filter(|(totals, _)| totals.generation == usage.generation);
            if let (Some((_, heard)), Some(silence)) = (&totals, &mut peer.silence) {
                silence.from = *heard;
            }
            let is_older = known.is_none() && !is_younger(self.started, usage.age_ms, now);
            if is_older && totals.is_none() {
                let accounts = usage.accounts.iter();
                earlier = accounts.map(|(name, n)| (name.clone(), *n)).collect();
            }
            let baseline = earlier.iter().cloned().collect();
            let new = AdmittedTotals {
                generation: usage.generation,
                accounts: baseline,
            };
            peer.totals = Some(totals.map_or(new, |(totals, _)| totals));
        }
        let totals = peer.totals.as_mut();
        let admitted = totals.map_or_else(Vec::new, |totals| totals.update(usage.accounts));
        let silence = peer.silence.filter(|silence| silence.is_recent(now));
        let silence = silence.map(|silence| now.saturating_duration_since(silence.from));
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
            reappeared,
            silence,
            admitted,
            earlier,
            loads,
            slow: usage.slow,
        }
    }

    /// Whether a report of the same process that is as new, or newer, was applied already, or one
    /// of the process after it. Forwarders may deliver a report twice, or after later ones.
    pub fn is_outdated(&self, usage: &Usage) -> bool {
        let known = self.known.get(&usage.vm);
        if known.is_some_and(|peer| peer.ended == Some(usage.generation)) {
            return true;
        }
        let Some(age_ms) = usage.age_ms else {
            return false;
        };
        let applied = self.known.get(&usage.vm).and_then(|peer| peer.report);
        applied.is_some_and(|(generation, age)| generation == usage.generation && age_ms <= age)
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
        self.forget_silent(now);
        self.loads.retain(|_, sum| *sum > 0);
    }

    /// Forgets VMs that have long been silent, but for their totals.
    fn forget_silent(&mut self, now: Instant) {
        let timeout = self.silence_timeout();
        let peers = self.known.values();
        let heard = peers.filter(|peer| peer.is_reachable(now, timeout)).count() + 1;
        let most = heard * 2 > self.known.len() + 1;
        let listed = self.listed;
        let silent = self.known.iter().filter(|(_, peer)| {
            let registered = listed.is_none_or(|at| peer.last_listed >= at);
            let silence = now.saturating_duration_since(peer.last_seen());
            silence >= FORGET_TIMEOUT && (most || !registered)
        });
        let silent: Vec<_> = silent.map(|(vm, _)| vm.clone()).collect();
        for vm in silent {
            let Some(peer) = self.known.remove(&vm) else {
                continue;
            };
            let last_seen = peer.last_seen();
            if let Some(totals) = peer.totals
                && self.forgotten.len() < MAX_FORGOTTEN
            {
                self.forgotten.insert(vm, (totals, last_seen));
            }
        }
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
            listed: self.listed.is_some(),
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

    /// Whom a broadcast of a VM in the data centre `home` is sent to, as
    /// [`broadcast::recipients`] chooses.
    pub fn recipients(
        &self,
        home: &DataCentre,
        copies: usize,
        draw: u64,
        now: Instant,
    ) -> Recipients {
        let timeout = self.silence_timeout();
        let others = self.known.iter().map(|(vm, peer)| Destination {
            vm,
            address: peer.address,
            centre: peer.site.as_ref().map(|site| &site.centre),
            reachable: peer.is_reachable(now, timeout),
        });
        broadcast::recipients(others, home, copies, draw)
    }

    /// Addresses of all VMs known.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.known.values().map(|peer| peer.address).collect()
    }

    /// Addresses of the VMs that a forwarded message is passed on to: those of the data centre
    /// `home`, and those whose data centre is not known.
    pub fn addresses_in(&self, home: &DataCentre) -> Vec<SocketAddr> {
        let local = |peer: &&Peer| peer.site.as_ref().is_none_or(|site| site.centre == *home);
        let peers = self.known.values().filter(local);
        peers.map(|peer| peer.address).collect()
    }

    /// Number of VMs known, including this one.
    fn vm_count(&self) -> u32 {
        u32::try_from(self.known.len() + 1).unwrap_or(u32::MAX)
    }

    /// Silence after which a VM counts as unreachable.
    fn silence_timeout(&self) -> Duration {
        silence_timeout(self.usage_interval())
    }
}

/// Silence after which a VM that reports at this interval counts as unreachable.
pub fn silence_timeout(interval: Duration) -> Duration {
    MIN_SILENCE_TIMEOUT.max(interval.mul_f64(MAX_MISSED_INTERVALS))
}

impl Silence {
    /// Whether reports that arrive now may be of the time of the silence.
    fn is_recent(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.until) <= CATCH_UP_TIME
    }
}

impl Peer {
    fn new(address: SocketAddr, now: Instant) -> Self {
        Self {
            address,
            last_received: None,
            report: None,
            ended: None,
            silence: None,
            last_listed: now,
            totals: None,
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

/// Whether a VM of the age that it reports started after `started`; a VM that reports none is taken
/// for an older one.
fn is_younger(started: Option<Instant>, age_ms: Option<u64>, now: Instant) -> bool {
    let (Some(started), Some(age_ms)) = (started, age_ms) else {
        return false;
    };
    Duration::from_millis(age_ms) <= now.saturating_duration_since(started)
}
