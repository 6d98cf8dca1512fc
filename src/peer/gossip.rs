//! Whom to tell.
//!
//! A pure state machine. A VM keeps a few partners and tells them in each round, so that links are
//! reused; one partner changes every few rounds, so that the graph keeps mixing. The first partner
//! is in another data centre where there is one, the others are near. News goes at once to the
//! partners and to the VMs that hold this one as theirs: the graph read both ways has no VM that
//! is told by nobody.

use std::collections::BTreeMap;

use rand::rngs::StdRng;
use rand::seq::IteratorRandom;
use rand::{RngExt, SeedableRng};

use crate::ids::{DataCentre, VmId};
use crate::peer::membership::{Member, MemberState, Members};

/// Rounds after which one partner is changed.
const ROTATE_ROUNDS: u64 = 10;
/// Rounds after which a VM that tells us no more is not told news.
const FOLLOWER_ROUNDS: u64 = 3;
/// Most VMs told of news, as a multiple of the fan-out.
const NEWS_FACTOR: usize = 4;
/// One round in so many also tries a silent VM.
const RETRY_ROUNDS: u64 = 4;
/// One near partner in so many is drawn from all data centres.
const MIX_ODDS: u32 = 4;

/// Chooses whom to tell.
#[derive(Debug)]
pub struct Gossip {
    centre: DataCentre,
    fanout: usize,
    rng: StdRng,
    round: u64,
    partners: Vec<VmId>,
    followers: BTreeMap<VmId, u64>,
}

impl Gossip {
    /// Has no partners yet.
    pub fn open(centre: DataCentre, fanout: usize, seed: u64) -> Self {
        Self {
            centre,
            fanout,
            rng: StdRng::seed_from_u64(seed),
            round: 0,
            partners: Vec::new(),
            followers: BTreeMap::new(),
        }
    }

    /// Begins a round and names the VMs to tell in it.
    pub fn start_round(&mut self, members: &Members) -> Vec<VmId> {
        self.round += 1;
        let oldest = self.round.saturating_sub(FOLLOWER_ROUNDS);
        self.followers.retain(|_, heard| *heard >= oldest);
        self.rotate();
        self.refresh(members);
        let mut targets = self.partners.clone();
        if self.round.is_multiple_of(RETRY_ROUNDS) {
            targets.extend(self.silent(members));
        }
        targets
    }

    /// Notes that a VM told us something.
    pub fn record_sender(&mut self, vm: &VmId) {
        self.followers.insert(vm.clone(), self.round);
    }

    /// The VMs to tell of news, but for the one it came from.
    pub fn news_targets(&mut self, members: &Members, except: Option<&VmId>) -> Vec<VmId> {
        self.refresh(members);
        let followers = self.followers.keys();
        let others = followers.filter(|vm| !self.partners.contains(vm));
        let all = self.partners.iter().chain(others);
        let told = all.filter(|vm| Some(*vm) != except);
        told.take(self.fanout * NEWS_FACTOR).cloned().collect()
    }

    fn rotate(&mut self) {
        let due = self.round.is_multiple_of(ROTATE_ROUNDS);
        if due && !self.partners.is_empty() {
            let index = self.rng.random_range(0..self.partners.len());
            self.partners.remove(index);
        }
    }

    fn refresh(&mut self, members: &Members) {
        let live = |vm: &VmId| members.vms.get(vm).is_some_and(is_live);
        self.partners.retain(live);
        while self.partners.len() < self.fanout {
            let Some(partner) = self.pick(members) else {
                return;
            };
            self.partners.push(partner);
        }
    }

    fn pick(&mut self, members: &Members) -> Option<VmId> {
        let far = |m: &Member| m.centre.as_ref() != Some(&self.centre);
        let has_far = self
            .partners
            .iter()
            .any(|vm| members.vms.get(vm).is_some_and(far));
        let anywhere = self.rng.random_ratio(1, MIX_ODDS);
        let wanted = |m: &Member| {
            if has_far { anywhere || !far(m) } else { far(m) }
        };
        let free = || members.live().filter(|(vm, _)| !self.partners.contains(vm));
        let best = free().filter(|(_, m)| wanted(m)).map(|(vm, _)| vm);
        let best = best.choose(&mut self.rng);
        let any = || free().map(|(vm, _)| vm).choose(&mut self.rng);
        best.or_else(any).cloned()
    }

    fn silent(&mut self, members: &Members) -> Option<VmId> {
        let silent = members.vms.iter();
        let silent = silent.filter(|(_, m)| m.state == MemberState::Silent);
        silent.map(|(vm, _)| vm).choose(&mut self.rng).cloned()
    }
}

fn is_live(member: &Member) -> bool {
    member.state == MemberState::Live
}
