//! Whom a broadcast to all VMs is sent to.
//!
//! Usage reports and the leader's notices are meant for every VM. Among many VMs, a copy for each
//! VM of each other data centre is most of what the VMs send between data centres. One VM of every
//! other data centre, the forwarder, gets a copy instead and passes it on to the others there. Each
//! broadcast takes forwarders of its own, drawn at random: one that has failed unnoticed costs its
//! data centre a single message, and the work is spread over all VMs.
//!
//! A data centre of which few VMs are reachable gets a copy for each VM, as does a VM whose data
//! centre is not known yet.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::ids::{DataCentre, VmId};

use super::balancer::stable_hash;

/// Address of a VM's socket for datagrams.
pub type PeerAddress = SocketAddr;

/// Number of VMs up to which each gets a copy from the sender; forwarding would save little.
const FEW_VMS: usize = 12;
/// Fewest reachable VMs of a data centre among which forwarders are drawn.
const MIN_CANDIDATES: usize = 4;

/// Another VM, as far as it matters here.
#[derive(Clone, Copy, Debug)]
pub struct Destination<'a> {
    /// Name.
    pub vm: &'a VmId,
    /// Address of its socket.
    pub address: PeerAddress,
    /// Its data centre; absent while it is not known.
    pub centre: Option<&'a DataCentre>,
    /// Whether it has been heard lately.
    pub reachable: bool,
}

/// Whom one broadcast is sent to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Recipients {
    /// VMs that get a copy for themselves.
    pub direct: Vec<PeerAddress>,
    /// VMs that pass it on to the others of their data centre.
    pub forwarders: Vec<PeerAddress>,
}

/// Chooses whom a broadcast of a VM in the data centre `home` is sent to. `copies` is the number of
/// forwarders in each other data centre, and `draw` a random number that selects them.
pub fn recipients<'a, I>(others: I, home: &DataCentre, copies: usize, draw: u64) -> Recipients
where
    I: IntoIterator<Item = Destination<'a>>,
{
    let mut recipients = Recipients::default();
    let mut centres: BTreeMap<&DataCentre, Vec<Destination<'a>>> = BTreeMap::new();
    let others: Vec<_> = others.into_iter().collect();
    let few = others.len() < FEW_VMS;
    for other in others {
        match other.centre {
            Some(centre) if !few && centre != home => {
                centres.entry(centre).or_default().push(other);
            }
            _ => recipients.direct.push(other.address),
        }
    }
    for vms in centres.into_values() {
        match forwarders(&vms, copies, draw) {
            Some(chosen) => recipients.forwarders.extend(chosen),
            None => recipients.direct.extend(vms.iter().map(|vm| vm.address)),
        }
    }
    recipients
}

/// Draws forwarders among the VMs of a data centre; `None` if too few are reachable.
fn forwarders(vms: &[Destination<'_>], copies: usize, draw: u64) -> Option<Vec<PeerAddress>> {
    let reachable = vms.iter().filter(|vm| vm.reachable);
    let mut candidates: Vec<_> = reachable.collect();
    if candidates.len() < MIN_CANDIDATES {
        return None;
    }
    candidates.sort_by_key(|vm| stable_hash(vm.vm.as_str().as_bytes(), draw));
    let chosen = candidates.into_iter().take(copies);
    Some(chosen.map(|vm| vm.address).collect())
}
