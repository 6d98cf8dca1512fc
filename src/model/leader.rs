//! Chooses the leader: the VM that orders loads for all VMs.
//!
//! All loads read from one weight store, so one VM orders them. Each VM finds the leader by itself,
//! by rendezvous hashing over the live VMs. Safety does not depend on there being one leader: if
//! two VMs both act as the leader, compare-and-set on the stored objects lets only one write
//! succeed.

use crate::ids::VmId;

const SCOPE: &[u8] = b"loads";

/// The leader among `vms`; `None` if the list is empty.
pub fn choose_leader(vms: &[VmId]) -> Option<&VmId> {
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
