//! Which VMs are there, joined from the platform's list and from peers.
//!
//! A pure state machine. The list lags, peers' words age, and both may arrive late, twice or out of
//! order. The join is therefore monotone: of a VM's generation and leaving mark the greater pair
//! wins, so only a newer generation undoes a leaving word. A VM counts as live only while the list
//! names it or it was itself heard; what others say can make it silent, never keep it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::ids::{DataCentre, Generation, UpstreamId, VmId};
use crate::peer::record::{HOT_ROUNDS, Record, Word};
use crate::schema::peer::{Digest, MemberDigest};
use crate::store::{Instance, InstanceKind, InstanceList};

/// Time that the word on a vanished VM or upstream is kept.
pub const RETENTION: Duration = Duration::from_hours(1);
/// Most VMs and most upstreams remembered.
pub const MAX_RECORDS: usize = 8192;

/// What a VM is held to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemberState {
    /// Serves.
    Live,
    /// Shuts down.
    Leaving,
    /// Listed, but its link failed or peers lost it.
    Silent,
    /// Neither listed nor heard.
    Gone,
}

/// One VM in a snapshot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Its newest known generation.
    pub generation: Generation,
    /// Its state.
    pub state: MemberState,
    /// Where it listens for peers, if known.
    pub address: Option<SocketAddr>,
    /// Its data centre, if known.
    pub centre: Option<DataCentre>,
}

/// A snapshot of all known VMs but this one, and of the upstreams that leave.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Members {
    /// VMs that are not gone.
    pub vms: BTreeMap<VmId, Member>,
    /// Generations of upstreams that take no new work.
    pub leaving_upstreams: BTreeMap<UpstreamId, Generation>,
}

impl Members {
    /// The VMs that serve.
    pub fn live(&self) -> impl Iterator<Item = (&VmId, &Member)> {
        let live = |m: &Member| m.state == MemberState::Live;
        self.vms.iter().filter(move |(_, m)| live(m))
    }

    /// Whether an upstream of this generation takes no new work.
    pub fn is_leaving(&self, upstream: &UpstreamId, generation: Generation) -> bool {
        self.leaving_upstreams
            .get(upstream)
            .is_some_and(|&g| g >= generation)
    }
}

#[derive(Clone, Debug)]
struct UpstreamRecord {
    word: Word,
    touched: Instant,
    hot: u32,
}

/// What the VMs and the upstreams are held to be.
#[derive(Clone, Debug)]
pub struct Membership {
    me: VmId,
    silence: Duration,
    records: BTreeMap<VmId, Record>,
    upstreams: BTreeMap<UpstreamId, UpstreamRecord>,
    list_taken: Option<Instant>,
    round: u64,
}

impl Membership {
    /// Knows nobody yet.
    pub fn open(me: VmId, silence: Duration) -> Self {
        Self {
            me,
            silence,
            records: BTreeMap::new(),
            upstreams: BTreeMap::new(),
            list_taken: None,
            round: 0,
        }
    }

    /// Joins a list of the platform. A list older than one already seen is refused.
    ///
    /// Returns whether a leaving word was news.
    pub fn apply_list(&mut self, list: &InstanceList, now: Instant) -> bool {
        let age = Duration::from_millis(list.age);
        let taken = now.checked_sub(age).unwrap_or(now);
        if self.list_taken.is_some_and(|known| taken < known) {
            return false;
        }
        self.list_taken = Some(taken);
        for record in self.records.values_mut() {
            record.listed = false;
        }
        let mut news = false;
        for instance in &list.instances {
            news |= match instance.kind {
                InstanceKind::Gateway => self.list_vm(instance, now),
                InstanceKind::Engine | InstanceKind::Service => self.list_upstream(instance, now),
            };
        }
        news
    }

    fn list_vm(&mut self, instance: &Instance, now: Instant) -> bool {
        if instance.vm == self.me {
            return false;
        }
        let record = self.record(&instance.vm, now);
        record.listed = true;
        record.touched = now;
        record.centre = Some(instance.centre.clone());
        if instance.generation >= record.word.generation {
            record.address = instance.address.parse().ok();
        }
        record.merge(Word::of(instance), now)
    }

    fn list_upstream(&mut self, instance: &Instance, now: Instant) -> bool {
        let Ok(upstream) = instance.vm.as_str().parse() else {
            return false;
        };
        self.merge_upstream(&upstream, Word::of(instance), now)
    }

    /// Joins a digest, with all it says of others. Returns whether a leaving word was news.
    pub fn apply_digest(&mut self, digest: &Digest, now: Instant) -> bool {
        let word = Word {
            generation: digest.generation,
            leaving: digest.leaving,
        };
        let mut news = self.hear(&digest.vm, word, now);
        let current = self.generation(&digest.vm) == Some(digest.generation);
        for member in &digest.members {
            news |= self.hearsay(&digest.vm, member, current, now);
        }
        for upstream in &digest.upstreams {
            let word = Word {
                generation: upstream.generation,
                leaving: upstream.leaving,
            };
            news |= self.merge_upstream(&upstream.upstream, word, now);
        }
        news
    }

    /// Notes that a VM itself was heard.
    pub fn record_received(&mut self, vm: &VmId, generation: Generation, now: Instant) {
        let word = Word {
            generation,
            leaving: false,
        };
        self.hear(vm, word, now);
    }

    /// Notes where a VM is, as it said on its link.
    pub fn set_centre(&mut self, vm: &VmId, centre: &DataCentre, now: Instant) {
        if *vm != self.me {
            self.record(vm, now).centre = Some(centre.clone());
        }
    }

    /// Notes that a VM could not be reached, or went silent on its link.
    pub fn mark_lost(&mut self, vm: &VmId, now: Instant) {
        if let Some(record) = self.records.get_mut(vm) {
            record.lost = Some(now);
        }
    }

    /// Notes that an upstream itself said it takes no new work. Returns whether that was news.
    pub fn mark_upstream_leaving(
        &mut self,
        upstream: &UpstreamId,
        generation: Generation,
        now: Instant,
    ) -> bool {
        let word = Word {
            generation,
            leaving: true,
        };
        self.merge_upstream(upstream, word, now)
    }

    fn hear(&mut self, vm: &VmId, word: Word, now: Instant) -> bool {
        if *vm == self.me {
            return false;
        }
        let record = self.record(vm, now);
        let news = record.merge(word, now);
        if word.generation == record.word.generation {
            record.heard = record.heard.max(Some(now));
            record.touched = now;
            record.clear_claims();
        }
        news
    }

    // Ages told by an earlier incarnation were measured who knows when; its words still hold.
    fn hearsay(&mut self, from: &VmId, member: &MemberDigest, current: bool, now: Instant) -> bool {
        let full = self.records.len() >= MAX_RECORDS && !self.records.contains_key(&member.vm);
        if member.vm == self.me || member.vm == *from || full {
            return false;
        }
        let silence = self.silence;
        let record = self.record(&member.vm, now);
        let word = Word {
            generation: member.generation,
            leaving: member.leaving,
        };
        let news = record.merge(word, now);
        if !current || member.generation != record.word.generation {
            return news;
        }
        let age = Duration::from_millis(member.age);
        if age > silence {
            record.witnesses.insert(from.clone());
            record.claimed = record.claimed.max(Some(now));
        } else {
            record.witnesses.remove(from);
            record.hearsay = record.hearsay.max(now.checked_sub(age));
        }
        news
    }

    fn merge_upstream(&mut self, upstream: &UpstreamId, word: Word, now: Instant) -> bool {
        let full = self.upstreams.len() >= MAX_RECORDS;
        if full && !self.upstreams.contains_key(upstream) {
            return false;
        }
        let record = self
            .upstreams
            .entry(upstream.clone())
            .or_insert(UpstreamRecord {
                word: Word::default(),
                touched: now,
                hot: 0,
            });
        record.touched = now;
        if word <= record.word {
            return false;
        }
        record.word = word;
        record.hot = if word.leaving { HOT_ROUNDS } else { 0 };
        word.leaving
    }

    /// The newest known generation of a VM.
    pub fn generation(&self, vm: &VmId) -> Option<Generation> {
        self.records.get(vm).map(|r| r.word.generation)
    }

    fn record(&mut self, vm: &VmId, now: Instant) -> &mut Record {
        self.records
            .entry(vm.clone())
            .or_insert_with(|| Record::open(now))
    }

    /// A snapshot.
    pub fn members(&self, now: Instant) -> Members {
        let member = |r: &Record| Member {
            generation: r.word.generation,
            state: r.state(self.silence, now),
            address: r.address,
            centre: r.centre.clone(),
        };
        let vms = self.records.iter().map(|(vm, r)| (vm.clone(), member(r)));
        let leaving = self.upstreams.iter().filter(|(_, u)| u.word.leaving);
        Members {
            vms: vms.filter(|(_, m)| m.state != MemberState::Gone).collect(),
            leaving_upstreams: leaving
                .map(|(id, u)| (id.clone(), u.word.generation))
                .collect(),
        }
    }

    /// What is worth telling of other VMs: new leaving words, lost ones, then the least told.
    pub fn member_digests(&self, now: Instant) -> Vec<MemberDigest> {
        let mut all: Vec<_> = self
            .records
            .iter()
            .filter_map(|(vm, r)| self.rumour(vm, r, now))
            .collect();
        all.sort_by_key(|(order, _)| *order);
        all.into_iter().map(|(_, rumour)| rumour).collect()
    }

    // Only what this VM saw itself is told, except for leaving words.
    fn rumour(&self, vm: &VmId, r: &Record, now: Instant) -> Option<(RumourOrder, MemberDigest)> {
        let lost = r.listed && r.lost > r.heard;
        let age = now.saturating_duration_since(r.heard.unwrap_or(r.touched));
        let fresh = r.heard.is_some() && age <= self.silence;
        if r.hot == 0 && !lost && !fresh {
            return None;
        }
        let age = if lost { age.max(self.silence * 2) } else { age };
        let rumour = MemberDigest {
            vm: vm.clone(),
            generation: r.word.generation,
            age: age.as_millis() as u64,
            leaving: r.word.leaving,
        };
        let order = RumourOrder {
            cold: r.hot == 0,
            kept: !lost,
            told: r.told,
        };
        Some((order, rumour))
    }

    /// Upstreams whose leaving word is new, with their generations.
    pub fn new_leaving_upstreams(&self) -> impl Iterator<Item = (&UpstreamId, Generation)> {
        let hot = self.upstreams.iter().filter(|(_, u)| u.hot > 0);
        hot.map(|(id, u)| (id, u.word.generation))
    }

    /// Notes that a round told these VMs and upstreams, and forgets what vanished long ago.
    pub fn finish_round<'a, V, U>(&mut self, vms: V, upstreams: U, now: Instant)
    where
        V: Iterator<Item = &'a VmId>,
        U: Iterator<Item = &'a UpstreamId>,
    {
        self.round += 1;
        for vm in vms {
            if let Some(record) = self.records.get_mut(vm) {
                record.told = self.round;
                record.hot = record.hot.saturating_sub(1);
            }
        }
        for upstream in upstreams {
            if let Some(record) = self.upstreams.get_mut(upstream) {
                record.hot = record.hot.saturating_sub(1);
            }
        }
        let old = |touched: Instant| now.saturating_duration_since(touched) > RETENTION;
        self.records.retain(|_, r| r.listed || !old(r.touched));
        self.upstreams.retain(|_, u| !old(u.touched));
    }
}

/// Order in which rumours are told, first the least.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct RumourOrder {
    cold: bool,
    kept: bool,
    told: u64,
}
