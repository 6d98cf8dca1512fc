//! Who holds which part of an account's share.
//!
//! The record is one object of the platform's store, changed only by compare-and-set; each change
//! of a part's holder raises its epoch. A part moves when its holder releases it, when a newer
//! incarnation of the holder's VM takes it up again, or when the platform's list has missed the
//! holder's VM for longer than the list lags. Nothing moves because time passes, so a long outage
//! of the store changes nothing, and a holder that was paused is still the only one.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::vms::{Absence, VmInfo, VmSnapshot};
use crate::ids::{ClientAccount, Epoch, Generation, VmId};
use crate::units::Tokens;

/// Least burst of one part, in tokens; a smaller share is held in fewer parts.
pub const MIN_PART_BURST: Tokens = Tokens(1024);

/// The holder of one part.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PartHolder {
    /// The VM that holds it.
    pub vm: VmId,
    /// That VM's incarnation.
    pub generation: Generation,
    /// Grows with each change of holder.
    pub epoch: Epoch,
}

/// The holders of an account's share, part by part.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Assignment {
    /// The parts, in order.
    pub parts: Vec<PartHolder>,
}

/// Parts that a share of `burst` is held in. Does not depend on the VMs, as the count stays while
/// a fleet grows; a VM alone holds all of them.
pub fn part_count(burst: Tokens, holders: u32) -> usize {
    let by_burst = burst.0 / MIN_PART_BURST.0;
    let most = holders.max(1) as usize;
    usize::try_from(by_burst).unwrap_or(most).clamp(1, most)
}

/// Order in which VMs are preferred as holders of a part; the lowest comes first.
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

/// This VM, as far as holding parts is concerned.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LocalVm {
    /// Its name.
    pub vm: VmId,
    /// Its incarnation.
    pub generation: Generation,
}

impl LocalVm {
    fn holds(&self, part: &PartHolder) -> bool {
        part.vm == self.vm && part.generation == self.generation
    }
}

impl Assignment {
    /// The first record of an account, with its parts spread over the VMs.
    pub fn create(
        account: &ClientAccount,
        parts: usize,
        local: &LocalVm,
        view: &VmSnapshot,
    ) -> Self {
        let mut assignment = Self::default();
        for _ in 0..parts.max(1) {
            let part =
                assignment.choose_holder(account, assignment.parts.len(), local, view, false);
            assignment.parts.push(part);
        }
        assignment
    }

    /// Index of the parts that `local` holds, with their epochs.
    pub fn held_by(&self, local: &LocalVm) -> BTreeMap<usize, Epoch> {
        let parts = self.parts.iter().enumerate();
        parts
            .filter(|(_, part)| local.holds(part))
            .map(|(index, part)| (index, part.epoch))
            .collect()
    }

    /// The record after every part whose holder is surely over has moved; `None` without one.
    pub fn reassign_lost(
        &self,
        account: &ClientAccount,
        local: &LocalVm,
        view: &VmSnapshot,
        absence: &Absence,
        lag: Duration,
    ) -> Option<Self> {
        let should_move = |part: &PartHolder| {
            let is_restarted = part.vm == local.vm && part.generation != local.generation;
            is_restarted || (part.vm != local.vm && absence.is_gone(part, lag))
        };
        self.reassign(account, local, view, should_move, false)
    }

    /// The record after `local` has released its parts; `None` where it holds none or no other VM
    /// can take them. The caller stops granting before this is written.
    pub fn release(
        &self,
        account: &ClientAccount,
        local: &LocalVm,
        view: &VmSnapshot,
    ) -> Option<Self> {
        let reassigned = self.reassign(account, local, view, |part| local.holds(part), true)?;
        let all_moved = reassigned.parts.iter().all(|part| part.vm != local.vm);
        all_moved.then_some(reassigned)
    }

    /// The record after `local` has handed one of several parts to a VM that holds none; `None`
    /// where there is no such VM.
    pub fn rebalance(
        &self,
        account: &ClientAccount,
        local: &LocalVm,
        view: &VmSnapshot,
    ) -> Option<Self> {
        let own_parts = self.held_by(local);
        let (last, _) = own_parts.last_key_value().filter(|_| own_parts.len() > 1)?;
        let new_holder = self.choose_holder(account, *last, local, view, true);
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

    fn reassign<F>(
        &self,
        account: &ClientAccount,
        local: &LocalVm,
        view: &VmSnapshot,
        should_move: F,
        exclude_local: bool,
    ) -> Option<Self>
    where
        F: Fn(&PartHolder) -> bool,
    {
        let mut next = self.clone();
        for (index, part) in self.parts.iter().enumerate() {
            if should_move(part) {
                let mut new_holder = next.choose_holder(account, index, local, view, exclude_local);
                new_holder.epoch = part.epoch.next();
                next.parts[index] = new_holder;
            }
        }
        (next != *self).then_some(next)
    }

    /// The best holder for a part: a listed VM that stays and holds the fewest others.
    fn choose_holder(
        &self,
        account: &ClientAccount,
        index: usize,
        local: &LocalVm,
        view: &VmSnapshot,
        exclude_local: bool,
    ) -> PartHolder {
        let is_candidate =
            |(vm, live): &(&VmId, &VmInfo)| live.listed && !live.leaving && **vm != local.vm;
        let others = view.vms.iter().filter(is_candidate);
        let mut candidates: Vec<_> = others.map(|(vm, live)| (vm, live.generation)).collect();
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
