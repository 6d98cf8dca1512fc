//! What one module shows another: VMs, health, status.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use crate::clock::Clock;
use crate::config::Config;
use crate::declare::config_sync::ConfigSync;
use crate::declare::{ActiveConfig, LastResponse};
use crate::edge::{Running, Standing};
use crate::ids::{Generation, Revision, UpstreamId, VmId};
use crate::limit::{DistributedLimiter, LeaseSender, VmInfo, VmSnapshot, VmSource};
use crate::model::{ClusterSource, DeclarationSource};
use crate::once::VmLiveness;
use crate::ops::{StatusReport, StatusSource};
use crate::peer::{Connectivity, FrameHandler, LocalState, MemberState, PeerNode};
use crate::route::balancer::Balancer;
use crate::schema::declaration::Declaration;
use crate::schema::peer::{Frame, UpstreamDigest};
use crate::store::{Instance, InstanceDirectory, InstanceKind, InstanceState};

/// What this VM tells its peers of itself.
#[derive(Debug)]
pub struct Own {
    /// The configuration in force.
    pub active_config: Arc<ActiveConfig>,
    /// When the store last responded.
    pub last_response: Arc<LastResponse>,
    /// Choice of upstreams, for requests in flight.
    pub balancer: Arc<Balancer>,
    /// Upstreams known.
    pub directory: Arc<InstanceDirectory>,
}

impl LocalState for Own {
    fn revision(&self) -> Revision {
        self.active_config.revision()
    }

    fn store_age(&self) -> Duration {
        self.last_response.age().unwrap_or(Duration::MAX)
    }

    fn upstream_loads(&self) -> Vec<UpstreamDigest> {
        let snapshot = self.directory.snapshot();
        let known = snapshot.instances.iter().filter_map(|instance| {
            let upstream: UpstreamId = instance.vm.as_str().parse().ok()?;
            let inflight = self.balancer.in_flight(&upstream);
            let leaving = instance.state == InstanceState::Leaving;
            let told = inflight > 0 || leaving;
            let generation = instance.generation;
            told.then_some(UpstreamDigest {
                upstream,
                generation,
                leaving,
                inflight,
            })
        });
        known.collect()
    }
}

/// The VMs as the platform's list and the peers show them.
#[derive(Debug)]
pub struct Vms {
    /// Links to other VMs.
    pub node: Arc<PeerNode>,
    /// The platform's list.
    pub directory: Arc<InstanceDirectory>,
    /// Greatest lag of the list.
    pub lag: Duration,
    /// Time.
    pub clock: Arc<dyn Clock>,
}

impl Vms {
    fn listed(&self, vm: &VmId) -> Option<Instance> {
        self.directory
            .snapshot()
            .gateways()
            .find(|instance| instance.vm == *vm)
            .cloned()
    }
}

impl VmSource for Vms {
    fn snapshot(&self) -> Arc<VmSnapshot> {
        let snapshot = self.directory.snapshot();
        let members = self.node.members();
        let mut view = VmSnapshot {
            list_read: snapshot.taken,
            ..VmSnapshot::default()
        };
        for instance in snapshot.gateways() {
            let member = members.vms.get(&instance.vm);
            let leaves = instance.state == InstanceState::Leaving
                || member.is_some_and(|m| m.state == MemberState::Leaving);
            let known = member.map_or(instance.generation, |m| m.generation);
            let live = VmInfo {
                centre: instance.centre.clone(),
                generation: known.max(instance.generation),
                leaving: leaves,
                listed: true,
            };
            view.vms.insert(instance.vm.clone(), live);
        }
        Arc::new(view)
    }
}

impl VmLiveness for Vms {
    fn is_gone(&self, vm: &VmId, generation: Generation) -> bool {
        let fresh = self
            .directory
            .snapshot()
            .taken
            .is_some_and(|taken| self.clock.now().saturating_duration_since(taken) <= self.lag);
        if !fresh {
            return false;
        }
        let newer = |known: Generation| known > generation;
        if self
            .node
            .members()
            .vms
            .get(vm)
            .is_some_and(|member| newer(member.generation))
        {
            return true;
        }
        self.listed(vm)
            .is_none_or(|instance| newer(instance.generation))
    }
}

/// Trusts keys once this VM holds the newest configuration it can learn of, and unless it is cut
/// off alone.
#[derive(Debug)]
pub struct Reachable {
    /// Links to other VMs.
    pub node: Arc<PeerNode>,
    /// What peers hold.
    pub config_sync: Arc<ConfigSync>,
    /// The platform's list.
    pub directory: Arc<InstanceDirectory>,
    /// The configuration in force.
    pub active_config: Arc<ActiveConfig>,
    /// Time.
    pub clock: Arc<dyn Clock>,
    /// When peers that have said nothing are no longer waited for.
    pub patience: Instant,
    /// Set once and for ever.
    pub settled: AtomicBool,
}

impl Reachable {
    fn is_settled(&self) -> bool {
        if self.settled.load(Ordering::Relaxed) {
            return true;
        }
        let status = self.config_sync.status();
        if self.active_config.current().head.is_none() || status.behind {
            return false;
        }
        let alone = self.directory.snapshot().gateways().count() <= 1;
        let settled = status.peer_reported || alone || self.clock.now() >= self.patience;
        self.settled.fetch_or(settled, Ordering::Relaxed);
        settled
    }
}

impl Standing for Reachable {
    fn keys_trusted(&self) -> bool {
        self.is_settled() && self.node.connectivity() != Connectivity::Isolated
    }
}

/// Sends lease frames over the peer links.
#[derive(Debug)]
pub struct Leases(pub Arc<PeerNode>);

impl LeaseSender for Leases {
    fn send(&self, to: &VmId, frame: Frame) {
        // A frame that cannot be sent is counted by the node, and asked for again.
        let sent = self.0.send(to, &frame);
        drop(sent);
    }
}

/// Hands lease frames of peers to the limits.
#[derive(Debug)]
pub struct LeaseFrames(pub Arc<DistributedLimiter>);

impl FrameHandler for LeaseFrames {
    fn on_frame(&self, from: &VmId, frame: Frame) -> Option<Frame> {
        match frame {
            Frame::Ask(ask) => self.0.on_lease_request(from, &ask).map(Frame::Grant),
            Frame::Grant(answer) => {
                self.0.on_lease_response(from, &answer);
                None
            }
            _ => None,
        }
    }
}

/// Engines and live VMs as the placement of models sees them.
#[derive(Debug)]
pub struct Engines {
    /// Links to other VMs.
    pub node: Arc<PeerNode>,
    /// The platform's list.
    pub directory: Arc<InstanceDirectory>,
    /// This VM.
    pub vm: VmId,
}

impl ClusterSource for Engines {
    fn engines(&self) -> Arc<Vec<Instance>> {
        let snapshot = self.directory.snapshot();
        let engines = snapshot
            .instances
            .iter()
            .filter(|i| i.kind == InstanceKind::Engine);
        Arc::new(engines.cloned().collect())
    }

    fn vms(&self) -> Arc<Vec<VmId>> {
        let members = self.node.members();
        let mut vms: Vec<VmId> = members.live().map(|(vm, _)| vm.clone()).collect();
        vms.push(self.vm.clone());
        vms.sort();
        Arc::new(vms)
    }
}

/// The declaration in force as the placement of models sees it.
#[derive(Debug)]
pub struct CurrentDeclaration(pub Arc<ActiveConfig>);

impl DeclarationSource for CurrentDeclaration {
    fn current(&self) -> Arc<Declaration> {
        Arc::clone(&self.0.current().declaration)
    }
}

/// What this VM says of itself to operators.
#[derive(Debug)]
pub struct Status {
    /// Who this VM is.
    pub config: Config,
    /// The configuration in force.
    pub active_config: Arc<ActiveConfig>,
    /// When the store last responded.
    pub last_response: Arc<LastResponse>,
    /// Whether keys are trusted.
    pub standing: Arc<dyn Standing>,
    /// Links to other VMs.
    pub node: Arc<PeerNode>,
    /// The platform's list.
    pub directory: Arc<InstanceDirectory>,
    /// Running requests.
    pub running: Arc<Running>,
}

impl StatusSource for Status {
    fn status(&self) -> StatusReport {
        let held = self.active_config.current().head.is_some();
        let trusted = self.standing.keys_trusted();
        let leaving = self.running.leaving();
        let upstreams = self.directory.snapshot().instances.len();
        StatusReport {
            vm: self.config.vm.clone(),
            centre: self.config.centre.clone(),
            revision: self.active_config.revision(),
            ready: held && trusted && !leaving,
            leaving,
            running: self.running.count() as u64,
            heard: self.last_response.age().map(|age| age.as_millis() as u64),
            peers: self.node.members().live().count() as u64,
            upstreams: upstreams.saturating_sub(self.directory.snapshot().gateways().count())
                as u64,
        }
    }
}
