//! Choice of the VMs to which digests are sent.
//!
//! A state machine without I/O. A VM keeps a few partners and sends them a digest in each round, so
//! that links are reused. One partner is replaced every few rounds, so that the graph of partners
//! keeps changing. At least one partner is in another data centre if there is one; most of the
//! others are in the same data centre. Urgent changes are sent at once to the partners and to the
//! VMs that have this VM as a partner, so that they also reach a VM that no other VM chose.

use std::collections::BTreeMap;

use rand::rngs::StdRng;
use rand::seq::IteratorRandom;
use rand::{RngExt, SeedableRng};

use crate::ids::{DataCentre, VmId};
use crate::peer::membership::{Member, MemberState, Members};

/// Rounds after which one partner is replaced.
const ROTATE_ROUNDS: u64 = 10;
/// Rounds for which a VM that sent a digest, but is no partner, still gets urgent changes.
const SENDER_ROUNDS: u64 = 3;
/// Most VMs to which an urgent change is sent, as a multiple of the fan-out.
const URGENT_FACTOR: usize = 4;
/// Number of rounds after which a digest is also sent to one silent VM, to find out whether it is
/// reachable again.
const RETRY_ROUNDS: u64 = 4;
/// Apart from the partner in another data centre, one partner in this many is chosen from all data
/// centres.
const ANY_CENTRE_ODDS: u32 = 4;

/// Chooses the VMs to which digests are sent.
#[derive(Debug)]
pub struct Gossip {
    centre: DataCentre,
    fanout: usize,
    rng: StdRng,
    round: u64,
    partners: Vec<VmId>,
    /// VMs that sent digests recently, with the round of the last one.
    senders: BTreeMap<VmId, u64>,
}

impl Gossip {
    /// Starts without partners; `fanout` is the number of partners to keep.
    pub fn open(centre: DataCentre, fanout: usize, seed: u64) -> Self {
        Self {
            centre,
            fanout,
            rng: StdRng::seed_from_u64(seed),
            round: 0,
            partners: Vec::new(),
            senders: BTreeMap::new(),
        }
    }

    /// Starts a round and returns the VMs to send a digest to.
    pub fn start_round(&mut self, members: &Members) -> Vec<VmId> {
        self.round += 1;
        let oldest = self.round.saturating_sub(SENDER_ROUNDS);
        self.senders.retain(|_, round| *round >= oldest);
        self.drop_partner();
        self.fill_partners(members);
        let mut targets = self.partners.clone();
        if self.round.is_multiple_of(RETRY_ROUNDS) {
            targets.extend(self.choose_silent(members));
        }
        targets
    }

    /// Records that a VM sent a digest.
    pub fn record_sender(&mut self, vm: &VmId) {
        self.senders.insert(vm.clone(), self.round);
    }

    /// The VMs to send an urgent change to, without `except`, the VM that it came from.
    pub fn urgent_targets(&mut self, members: &Members, except: Option<&VmId>) -> Vec<VmId> {
        self.fill_partners(members);
        let senders = self.senders.keys();
        let others = senders.filter(|vm| !self.partners.contains(vm));
        let all = self.partners.iter().chain(others);
        let targets = all.filter(|vm| Some(*vm) != except);
        targets.take(self.fanout * URGENT_FACTOR).cloned().collect()
    }

    // Removes a random partner every few rounds; `fill_partners` replaces it.
    fn drop_partner(&mut self) {
        let due = self.round.is_multiple_of(ROTATE_ROUNDS);
        if due && !self.partners.is_empty() {
            let index = self.rng.random_range(0..self.partners.len());
            self.partners.remove(index);
        }
    }

    // Removes partners that are not live and adds others until there are `fanout` of them.
    fn fill_partners(&mut self, members: &Members) {
        let live = |vm: &VmId| members.vms.get(vm).is_some_and(is_live);
        self.partners.retain(live);
        while self.partners.len() < self.fanout {
            let Some(partner) = self.choose_partner(members) else {
                return;
            };
            self.partners.push(partner);
        }
    }

    // Chooses a live VM of another data centre if no partner is in one, else mostly one of the same
    // data centre; if there is none, any live VM.
    fn choose_partner(&mut self, members: &Members) -> Option<VmId> {
        let other_centre = |m: &Member| m.centre.as_ref() != Some(&self.centre);
        let has_other = self
            .partners
            .iter()
            .any(|vm| members.vms.get(vm).is_some_and(other_centre));
        let any_centre = self.rng.random_ratio(1, ANY_CENTRE_ODDS);
        let preferred = |m: &Member| {
            if has_other {
                any_centre || !other_centre(m)
            } else {
                other_centre(m)
            }
        };
        let candidates = || members.live().filter(|(vm, _)| !self.partners.contains(vm));
        let best = candidates().filter(|(_, m)| preferred(m)).map(|(vm, _)| vm);
        let best = best.choose(&mut self.rng);
        let any = || candidates().map(|(vm, _)| vm).choose(&mut self.rng);
        best.or_else(any).cloned()
    }

    fn choose_silent(&mut self, members: &Members) -> Option<VmId> {
        let silent = members.vms.iter();
        let silent = silent.filter(|(_, m)| m.state == MemberState::Silent);
        silent.map(|(vm, _)| vm).choose(&mut self.rng).cloned()
    }
}

fn is_live(member: &Member) -> bool {
    member.state == MemberState::Live
}
