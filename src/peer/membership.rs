//! State of all other VMs and of leaving upstreams, merged from the platform's list and digests.
//!
//! A state machine without I/O. The list lags, digests age, and both may arrive late, twice or out
//! of order. The merge is therefore monotone: of two pairs of generation and leaving flag the
//! greater one is kept, so only a newer generation ends the leaving state. A VM counts as live only
//! while the list holds it or this VM itself received a frame from it recently. What peers report
//! can make a VM silent, but cannot keep a VM live.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::ids::{DataCentre, Generation, UpstreamId, VmId};
use crate::peer::record::{PRIORITY_DIGESTS, Status, VmRecord};
use crate::schema::peer::{Digest, MemberDigest};
use crate::store::{Instance, InstanceKind, InstanceList};

/// Time for which records of VMs and upstreams are kept after their last update.
pub const RETENTION: Duration = Duration::from_hours(1);
/// Most records of VMs, and most of upstreams; VMs that are listed or that sent a frame are added
/// beyond it.
pub const MAX_RECORDS: usize = 8192;

/// State of a VM as this VM knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemberState {
    /// The VM serves requests.
    Live,
    /// The VM is shutting down.
    Leaving,
    /// The VM is listed, but this VM or several peers cannot reach it.
    Silent,
    /// The VM is not listed, and nothing was received from it recently.
    Gone,
}

/// One VM in a snapshot of [`Members`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Newest known generation of the VM.
    pub generation: Generation,
    /// State of the VM.
    pub state: MemberState,
    /// Address on which the VM accepts links, if known.
    pub address: Option<SocketAddr>,
    /// Data centre of the VM, if known.
    pub centre: Option<DataCentre>,
}

/// A snapshot of all known VMs except this one, and of leaving upstreams.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Members {
    /// VMs in any state except [`MemberState::Gone`].
    pub vms: BTreeMap<VmId, Member>,
    /// Leaving upstreams, which take no new requests, with their generations.
    pub leaving_upstreams: BTreeMap<UpstreamId, Generation>,
}

impl Members {
    /// VMs in the state [`MemberState::Live`].
    pub fn live(&self) -> impl Iterator<Item = (&VmId, &Member)> {
        let live = |m: &Member| m.state == MemberState::Live;
        self.vms.iter().filter(move |(_, m)| live(m))
    }

    /// Whether an upstream of this generation is leaving.
    pub fn is_leaving(&self, upstream: &UpstreamId, generation: Generation) -> bool {
        self.leaving_upstreams
            .get(upstream)
            .is_some_and(|&g| g >= generation)
    }
}

#[derive(Clone, Debug)]
struct UpstreamRecord {
    status: Status,
    /// Last update of the record, for its expiry.
    updated: Instant,
    /// Digests in which the upstream's entry is still to be sent first.
    priority_digests: u32,
}

/// Records of all other VMs and of upstreams.
#[derive(Clone, Debug)]
pub struct Membership {
    local_vm: VmId,
    /// Time for which a received frame counts as recent.
    silence: Duration,
    records: BTreeMap<VmId, VmRecord>,
    upstreams: BTreeMap<UpstreamId, UpstreamRecord>,
    /// When the newest merged list was read from the platform.
    list_read: Option<Instant>,
    /// Number of digests made.
    digest_count: u64,
}

impl Membership {
    /// Starts without records. `silence` is the time for which a received frame counts as recent.
    pub fn open(local_vm: VmId, silence: Duration) -> Self {
        Self {
            local_vm,
            silence,
            records: BTreeMap::new(),
            upstreams: BTreeMap::new(),
            list_read: None,
            digest_count: 0,
        }
    }

    /// Merges a list of the platform; a list older than one already merged is ignored.
    ///
    /// Returns whether any VM or upstream newly became leaving.
    pub fn apply_list(&mut self, list: &InstanceList, now: Instant) -> bool {
        let age = Duration::from_millis(list.age);
        let read = now.checked_sub(age).unwrap_or(now);
        if self.list_read.is_some_and(|known| read < known) {
            return false;
        }
        self.list_read = Some(read);
        for record in self.records.values_mut() {
            record.listed = false;
        }
        let mut newly_leaving = false;
        for instance in &list.instances {
            newly_leaving |= match instance.kind {
                InstanceKind::Gateway => self.merge_listed_vm(instance, now),
                InstanceKind::Engine | InstanceKind::Service => {
                    self.merge_listed_upstream(instance, now)
                }
            };
        }
        newly_leaving
    }

    fn merge_listed_vm(&mut self, instance: &Instance, now: Instant) -> bool {
        if instance.vm == self.local_vm {
            return false;
        }
        let record = self.record(&instance.vm, now);
        record.listed = true;
        record.updated = now;
        record.centre = Some(instance.centre.clone());
        if instance.generation >= record.status.generation {
            record.address = instance.address.parse().ok();
        }
        record.merge(Status::from_instance(instance), now)
    }

    fn merge_listed_upstream(&mut self, instance: &Instance, now: Instant) -> bool {
        let Ok(upstream) = instance.vm.as_str().parse() else {
            return false;
        };
        self.merge_upstream(&upstream, Status::from_instance(instance), now)
    }

    /// Merges a digest: the status of its sender, and its entries on other VMs and on upstreams.
    ///
    /// Returns whether any VM or upstream newly became leaving.
    pub fn apply_digest(&mut self, digest: &Digest, now: Instant) -> bool {
        let status = Status {
            generation: digest.generation,
            leaving: digest.leaving,
        };
        let mut newly_leaving = self.merge_sender(&digest.vm, status, now);
        let current = self.generation(&digest.vm) == Some(digest.generation);
        for member in &digest.members {
            newly_leaving |= self.merge_report(&digest.vm, member, current, now);
        }
        for upstream in &digest.upstreams {
            let status = Status {
                generation: upstream.generation,
                leaving: upstream.leaving,
            };
            newly_leaving |= self.merge_upstream(&upstream.upstream, status, now);
        }
        newly_leaving
    }

    /// Records that this VM received a frame from another VM.
    pub fn record_received(&mut self, vm: &VmId, generation: Generation, now: Instant) {
        let status = Status {
            generation,
            leaving: false,
        };
        self.merge_sender(vm, status, now);
    }

    /// Records the data centre that a VM reported in its `Hello`.
    pub fn set_centre(&mut self, vm: &VmId, centre: &DataCentre, now: Instant) {
        if *vm != self.local_vm {
            self.record(vm, now).centre = Some(centre.clone());
        }
    }

    /// Records that a VM could not be reached or that the link to it broke.
    pub fn mark_lost(&mut self, vm: &VmId, now: Instant) {
        if let Some(record) = self.records.get_mut(vm) {
            record.lost = Some(now);
        }
    }

    /// Records that an upstream announced that it is leaving. Returns whether this was not known.
    pub fn mark_upstream_leaving(
        &mut self,
        upstream: &UpstreamId,
        generation: Generation,
        now: Instant,
    ) -> bool {
        let status = Status {
            generation,
            leaving: true,
        };
        self.merge_upstream(upstream, status, now)
    }

    // Merges what a VM sent about itself.
    fn merge_sender(&mut self, vm: &VmId, status: Status, now: Instant) -> bool {
        if *vm == self.local_vm {
            return false;
        }
        let record = self.record(vm, now);
        let newly_leaving = record.merge(status, now);
        if status.generation == record.status.generation {
            record.last_received = record.last_received.max(Some(now));
            record.updated = now;
            record.clear_lost_reports();
        }
        newly_leaving
    }

    // Merges what `from` reports of another VM. `current` is whether the report comes from the
    // newest generation of `from`. It is unknown when an earlier generation measured the ages in its
    // report, so only the generation and the leaving flag in it are merged.
    fn merge_report(
        &mut self,
        from: &VmId,
        member: &MemberDigest,
        current: bool,
        now: Instant,
    ) -> bool {
        let full = self.records.len() >= MAX_RECORDS && !self.records.contains_key(&member.vm);
        if member.vm == self.local_vm || member.vm == *from || full {
            return false;
        }
        let silence = self.silence;
        let record = self.record(&member.vm, now);
        let status = Status {
            generation: member.generation,
            leaving: member.leaving,
        };
        let newly_leaving = record.merge(status, now);
        if !current || member.generation != record.status.generation {
            return newly_leaving;
        }
        let age = Duration::from_millis(member.age);
        if age > silence {
            record.lost_reporters.insert(from.clone());
            record.lost_reported = record.lost_reported.max(Some(now));
        } else {
            record.lost_reporters.remove(from);
            record.peer_received = record.peer_received.max(now.checked_sub(age));
        }
        newly_leaving
    }

    fn merge_upstream(&mut self, upstream: &UpstreamId, status: Status, now: Instant) -> bool {
        let full = self.upstreams.len() >= MAX_RECORDS;
        if full && !self.upstreams.contains_key(upstream) {
            return false;
        }
        let record = self
            .upstreams
            .entry(upstream.clone())
            .or_insert(UpstreamRecord {
                status: Status::default(),
                updated: now,
                priority_digests: 0,
            });
        record.updated = now;
        if status <= record.status {
            return false;
        }
        record.status = status;
        record.priority_digests = if status.leaving { PRIORITY_DIGESTS } else { 0 };
        status.leaving
    }

    /// The newest known generation of a VM.
    pub fn generation(&self, vm: &VmId) -> Option<Generation> {
        self.records.get(vm).map(|r| r.status.generation)
    }

    fn record(&mut self, vm: &VmId, now: Instant) -> &mut VmRecord {
        self.records
            .entry(vm.clone())
            .or_insert_with(|| VmRecord::open(now))
    }

    /// A snapshot of all VMs that are not gone and of all leaving upstreams.
    pub fn members(&self, now: Instant) -> Members {
        let member = |r: &VmRecord| Member {
            generation: r.status.generation,
            state: r.state(self.silence, now),
            address: r.address,
            centre: r.centre.clone(),
        };
        let vms = self.records.iter().map(|(vm, r)| (vm.clone(), member(r)));
        let leaving = self.upstreams.iter().filter(|(_, u)| u.status.leaving);
        Members {
            vms: vms.filter(|(_, m)| m.state != MemberState::Gone).collect(),
            leaving_upstreams: leaving
                .map(|(id, u)| (id.clone(), u.status.generation))
                .collect(),
        }
    }

    /// Entries on other VMs for a digest, in order of priority: newly leaving VMs, lost VMs, then
    /// those that were sent longest ago.
    pub fn member_digests(&self, now: Instant) -> Vec<MemberDigest> {
        let mut all: Vec<_> = self
            .records
            .iter()
            .filter_map(|(vm, r)| self.member_digest(vm, r, now))
            .collect();
        all.sort_by_key(|(priority, _)| *priority);
        all.into_iter().map(|(_, member)| member).collect()
    }

    // Reports only what this VM observed itself, except that the leaving flag of a newly leaving VM
    // is passed on.
    fn member_digest(
        &self,
        vm: &VmId,
        r: &VmRecord,
        now: Instant,
    ) -> Option<(DigestPriority, MemberDigest)> {
        let lost = r.listed && r.lost > r.last_received;
        let age = now.saturating_duration_since(r.last_received.unwrap_or(r.updated));
        let recent = r.last_received.is_some() && age <= self.silence;
        if r.priority_digests == 0 && !lost && !recent {
            return None;
        }
        // Receivers take an age above the silence timeout as a report that the VM is lost.
        let age = if lost { age.max(self.silence * 2) } else { age };
        let member = MemberDigest {
            vm: vm.clone(),
            generation: r.status.generation,
            age: age.as_millis() as u64,
            leaving: r.status.leaving,
        };
        let priority = DigestPriority {
            not_urgent: r.priority_digests == 0,
            not_lost: !lost,
            sent_digest: r.sent_digest,
        };
        Some((priority, member))
    }

    /// Upstreams that newly became leaving, with their generations.
    pub fn newly_leaving_upstreams(&self) -> impl Iterator<Item = (&UpstreamId, Generation)> {
        let newly_leaving = self
            .upstreams
            .iter()
            .filter(|(_, u)| u.priority_digests > 0);
        newly_leaving.map(|(id, u)| (id, u.status.generation))
    }

    /// Records that a digest with entries on these VMs and upstreams was made, and removes expired
    /// records.
    pub fn record_digest<'a, V, U>(&mut self, vms: V, upstreams: U, now: Instant)
    where
        V: Iterator<Item = &'a VmId>,
        U: Iterator<Item = &'a UpstreamId>,
    {
        self.digest_count += 1;
        for vm in vms {
            if let Some(record) = self.records.get_mut(vm) {
                record.sent_digest = self.digest_count;
                record.priority_digests = record.priority_digests.saturating_sub(1);
            }
        }
        for upstream in upstreams {
            if let Some(record) = self.upstreams.get_mut(upstream) {
                record.priority_digests = record.priority_digests.saturating_sub(1);
            }
        }
        let expired = |updated: Instant| now.saturating_duration_since(updated) > RETENTION;
        self.records.retain(|_, r| r.listed || !expired(r.updated));
        self.upstreams.retain(|_, u| !expired(u.updated));
    }
}

/// Priority of an entry in a digest; the least value goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct DigestPriority {
    not_urgent: bool,
    not_lost: bool,
    sent_digest: u64,
}
