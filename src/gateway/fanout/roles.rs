//! Which VMs of a data centre read the store.
//!
//! Every VM works this out for itself from the VMs that it hears. The VMs with the most processor
//! time come first, so that small ones follow. VMs that hear different ones may disagree for a
//! moment: then some more VMs read the store, or a follower asks a VM that is itself a follower
//! and, as its response is older, turns to the next one.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::gateway::balancer::stable_hash;
use crate::ids::VmId;

/// VMs in a data centre up to which each reads the store itself.
const ALL_READ: usize = 5;
/// VMs of a data centre for each reader.
const VMS_PER_READER: usize = 16;

/// Processor time of a VM, in thousandths of a core.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Capacity(pub u32);

impl Capacity {
    /// The capacity of `cores`, which may be a fraction of one.
    pub fn from_cores(cores: f64) -> Self {
        Self((cores.max(0.0) * 1000.0).round() as u32)
    }
}

/// How a VM learns what the store holds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Role {
    /// It reads the store for itself alone.
    #[default]
    Alone,
    /// It reads the store, and responds to followers.
    Reader,
    /// It asks one of these readers; the first is its own.
    Follower(Vec<VmId>),
}

/// The role of VM `own` among the VMs of its data centre that it hears, itself included.
pub fn assign(own: &VmId, vms: &BTreeMap<VmId, Capacity>) -> Role {
    if vms.len() <= ALL_READ {
        return Role::Alone;
    }
    let mut ranked: Vec<_> = vms.iter().collect();
    ranked.sort_by_key(|(vm, capacity)| (std::cmp::Reverse(**capacity), rank(vm, 0)));
    let count = vms.len().div_ceil(VMS_PER_READER);
    let mut readers: Vec<_> = ranked.into_iter().take(count).map(|(vm, _)| vm).collect();
    if readers.contains(&own) {
        return Role::Reader;
    }
    // Each follower has an order of its own, so that those of a lost reader spread over the others.
    readers.sort_by_key(|reader| std::cmp::Reverse(rank(own, rank(reader, 0))));
    Role::Follower(readers.into_iter().cloned().collect())
}

fn rank(vm: &VmId, seed: u64) -> u64 {
    stable_hash(vm.as_str().as_bytes(), seed)
}
