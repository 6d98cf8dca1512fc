//! Which VM orders loads.
//!
//! Loads draw on one weight store, so one VM orders them all, found by rendezvous hashing over the
//! live VMs. This serves efficiency alone: two VMs that both think they are the owner meet at the
//! compare-and-set of the objects.

use crate::ids::VmId;

const SCOPE: &[u8] = b"loads";

/// The VM that orders loads; `None` where no VM is known.
pub fn owner(vms: &[VmId]) -> Option<&VmId> {
    vms.iter().max_by_key(|vm| (weight(vm), *vm))
}

fn weight(vm: &VmId) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(SCOPE);
    hasher.update(vm.as_str().as_bytes());
    let hash = hasher.finalize();
    let mut head = [0; 8];
    head.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_be_bytes(head)
}
