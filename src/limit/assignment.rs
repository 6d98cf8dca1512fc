//! The assignment of the parts of an account's quota to VMs.
//!
//! An assignment is one object in the platform's store, changed only by compare-and-set. Each
//! change of a part's holder raises the part's epoch. A part moves when its holder releases it,
//! when the holder's VM has restarted and takes the part again, or when the platform's list of VMs
//! has omitted the holder for longer than the list may lag. No part moves merely because time
//! passes. So a long outage of the store moves nothing, and a VM that was paused is still the only
//! holder of its parts.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::vms::{Absence, VmInfo, VmSnapshot};
use crate::ids::{ClientAccount, Epoch, Generation, VmId};
use crate::units::Tokens;

/// Least burst of one part; a quota with a small burst is split into fewer parts.
pub const MIN_PART_BURST: Tokens = Tokens(1024);

/// The holder of one part.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PartHolder {
    /// The VM that holds the part.
    pub vm: VmId,
    /// Generation of that VM: a restarted VM no longer holds the part.
    pub generation: Generation,
    /// Incremented with each change of holder.
    pub epoch: Epoch,
}

/// The holders of all parts of an account's quota, as stored.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Assignment {
    /// Holders in the order of the parts.
    pub parts: Vec<PartHolder>,
}

/// Number of parts that a quota of `burst` is split into. It does not depend on the number of VMs,
/// because it stays the same while VMs are added; a single VM holds all parts.
pub fn part_count(burst: Tokens, max_parts: u32) -> usize {
    let by_burst = burst.0 / MIN_PART_BURST.0;
    let upper_bound = max_parts.max(1) as usize;
    usize::try_from(by_burst)
        .unwrap_or(upper_bound)
        .clamp(1, upper_bound)
}

/// Rendezvous hash of a VM for one part; the VM with the lowest rank is the preferred holder.
pub fn rank(account: &ClientAccount, part: usize, vm: &VmId) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(account.as_str().as_bytes());
    hasher.update(&[0]);
    hasher.update(vm.as_str().as_bytes());
    hasher.update(&(part as u64).to_le_bytes());
    let mut first = [0; 8];
    first.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(first)
}

/// Identity of this VM as a holder of parts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LocalVm {
    /// Name of this VM.
    pub vm: VmId,
    /// Generation of this VM, which is greater after each start.
    pub generation: Generation,
}

impl LocalVm {
    fn holds(&self, part: &PartHolder) -> bool {
        part.vm == self.vm && part.generation == self.generation
    }
}

impl Assignment {
    /// The first assignment of an account, with its parts spread over the VMs.
    pub fn create(
        account: &ClientAccount,
        parts: usize,
        local: &LocalVm,
        snapshot: &VmSnapshot,
    ) -> Self {
        let mut assignment = Self::default();
        for _ in 0..parts.max(1) {
            let part =
                assignment.choose_holder(account, assignment.parts.len(), local, snapshot, false);
            assignment.parts.push(part);
        }
        assignment
    }

    /// Index and epoch of each part that `local` holds.
    pub fn held_by(&self, local: &LocalVm) -> BTreeMap<usize, Epoch> {
        let parts = self.parts.iter().enumerate();
        parts
            .filter(|(_, part)| local.holds(part))
            .map(|(index, part)| (index, part.epoch))
            .collect()
    }

    /// The assignment after all parts are moved whose holder has certainly ended: its VM has
    /// restarted or was missing from the list for `lag`. `None` if there are none.
    pub fn reassign_lost(
        &self,
        account: &ClientAccount,
        local: &LocalVm,
        snapshot: &VmSnapshot,
        absence: &Absence,
        lag: Duration,
    ) -> Option<Self> {
        let should_move = |part: &PartHolder| {
            let is_restarted = part.vm == local.vm && part.generation != local.generation;
            is_restarted || (part.vm != local.vm && absence.is_gone(part, lag))
        };
        self.reassign(account, local, snapshot, should_move, false)
    }

    /// The assignment after `local` has released its parts; `None` if it holds none or no other VM
    /// can take them. The caller must stop granting from these parts before it writes this.
    pub fn release(
        &self,
        account: &ClientAccount,
        local: &LocalVm,
        snapshot: &VmSnapshot,
    ) -> Option<Self> {
        let reassigned = self.reassign(account, local, snapshot, |part| local.holds(part), true)?;
        let all_moved = reassigned.parts.iter().all(|part| part.vm != local.vm);
        all_moved.then_some(reassigned)
    }

    /// The assignment after `local` has handed one of its parts to a VM that holds none; `None` if
    /// `local` holds fewer than two parts or there is no such VM.
    pub fn rebalance(
        &self,
        account: &ClientAccount,
        local: &LocalVm,
        snapshot: &VmSnapshot,
    ) -> Option<Self> {
        let own_parts = self.held_by(local);
        let (last, _) = own_parts.last_key_value().filter(|_| own_parts.len() > 1)?;
        let new_holder = self.choose_holder(account, *last, local, snapshot, true);
        if self.parts.iter().any(|part| part.vm == new_holder.vm) {
            return None;
        }
        let mut next = self.clone();
        next.parts[*last] = PartHolder {
            epoch: self.parts[*last].epoch.next(),
            ..new_holder
        };
        Some(next)
    }

    /// The assignment after all parts that `should_move` selects have a new holder.
    fn reassign<F>(
        &self,
        account: &ClientAccount,
        local: &LocalVm,
        snapshot: &VmSnapshot,
        should_move: F,
        exclude_local: bool,
    ) -> Option<Self>
    where
        F: Fn(&PartHolder) -> bool,
    {
        let mut next = self.clone();
        for (index, part) in self.parts.iter().enumerate() {
            if should_move(part) {
                let mut new_holder =
                    next.choose_holder(account, index, local, snapshot, exclude_local);
                new_holder.epoch = part.epoch.next();
                next.parts[index] = new_holder;
            }
        }
        (next != *self).then_some(next)
    }

    /// The best new holder for a part: of the listed VMs that are not leaving, the one that holds
    /// the fewest other parts. It is `local` if no other VM qualifies, even with `exclude_local`.
    fn choose_holder(
        &self,
        account: &ClientAccount,
        index: usize,
        local: &LocalVm,
        snapshot: &VmSnapshot,
        exclude_local: bool,
    ) -> PartHolder {
        let is_candidate =
            |(vm, info): &(&VmId, &VmInfo)| info.listed && !info.leaving && **vm != local.vm;
        let others = snapshot.vms.iter().filter(is_candidate);
        let mut candidates: Vec<_> = others.map(|(vm, info)| (vm, info.generation)).collect();
        if !exclude_local {
            candidates.push((&local.vm, local.generation));
        }
        let part_load = |vm: &VmId| {
            let parts = self.parts.iter().enumerate();
            parts
                .filter(|(i, part)| *i != index && part.vm == *vm)
                .count()
        };
        let best = candidates
            .into_iter()
            .min_by_key(|(vm, _)| (part_load(vm), rank(account, index, vm)));
        let (vm, generation) = best.unwrap_or((&local.vm, local.generation));
        PartHolder {
            vm: vm.clone(),
            generation,
            epoch: Epoch(1),
        }
    }
}
