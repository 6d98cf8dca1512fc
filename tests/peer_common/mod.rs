//! Peer nodes on the loopback interface, for the tests of `peer` and `config_sync`.
#![allow(dead_code, reason = "each test file uses some of these items")]

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use basilgw::clock::SystemClock;
use basilgw::declare::config_sync::{ConfigHolder, ConfigSync, Export, OfferError};
use basilgw::ids::{Generation, Revision, VmId};
use basilgw::peer::{LocalState, NodeOptions, PeerNode, UpstreamDigest};
use basilgw::schema::settings::PeerSettings;
use basilgw::store::{Instance, InstanceKind, InstanceList, InstanceState};
use bytes::Bytes;

/// Longest time for which [`wait`] waits.
pub const DEADLINE: Duration = Duration::from_secs(20);

/// A configuration that consists of its revision and `size` filler bytes.
#[derive(Debug, Default)]
pub struct FakeConfig {
    revision: AtomicU64,
    size: usize,
    pub rereads: AtomicU64,
    pub offers: Mutex<Vec<Result<Revision, OfferError>>>,
}

impl FakeConfig {
    pub fn open(size: usize) -> Arc<Self> {
        Arc::new(Self {
            size,
            ..Self::default()
        })
    }

    /// Raises the revision, as if a change was accepted on this VM.
    pub fn set_revision(&self, revision: u64) {
        self.revision.fetch_max(revision, Ordering::SeqCst);
    }

    fn take_offer(&self, bytes: &[u8]) -> Result<Revision, OfferError> {
        let number = bytes.first_chunk().ok_or(OfferError::Malformed)?;
        let offered = u64::from_be_bytes(*number);
        if bytes.len() != self.size + number.len() {
            return Err(OfferError::Malformed);
        }
        let held = self.revision.fetch_max(offered, Ordering::SeqCst);
        if offered <= held {
            return Err(OfferError::Stale(Revision(held)));
        }
        Ok(Revision(offered))
    }
}

impl ConfigHolder for FakeConfig {
    fn revision(&self) -> Revision {
        Revision(self.revision.load(Ordering::SeqCst))
    }

    fn export(&self, since: Revision) -> Option<Export> {
        let revision = ConfigHolder::revision(self);
        let mut bytes = revision.0.to_be_bytes().to_vec();
        bytes.resize(bytes.len() + self.size, b'x');
        (revision > since).then(|| Export {
            revision,
            bytes: bytes.into(),
        })
    }

    fn offer(&self, bytes: Bytes) -> Result<Revision, OfferError> {
        let result = self.take_offer(&bytes);
        self.offers.lock().unwrap().push(result.clone());
        result
    }

    fn reread_store(&self) {
        self.rereads.fetch_add(1, Ordering::SeqCst);
    }
}

impl LocalState for FakeConfig {
    fn revision(&self) -> Revision {
        ConfigHolder::revision(self)
    }

    fn store_age(&self) -> Duration {
        Duration::from_hours(1)
    }

    fn upstream_loads(&self) -> Vec<UpstreamDigest> {
        Vec::new()
    }
}

/// One node with its configuration.
#[derive(Debug)]
pub struct Peer {
    pub vm: VmId,
    pub config: Arc<FakeConfig>,
    pub config_sync: Arc<ConfigSync>,
    pub node: Arc<PeerNode>,
}

/// Settings with short intervals and timeouts, so that a test takes only seconds.
pub fn settings() -> PeerSettings {
    PeerSettings {
        alone: 800,
        digest: 100,
        ping: 100,
        silence: 500,
        ..PeerSettings::default()
    }
}

/// Time between two rounds in [`rare_rounds`]. State that arrives much sooner was sent at once.
pub const RARE_ROUND: Duration = Duration::from_secs(3);

/// The same settings with rare rounds.
pub fn rare_rounds() -> PeerSettings {
    PeerSettings {
        digest: RARE_ROUND.as_millis() as u64,
        ..settings()
    }
}

pub fn vm(index: usize) -> VmId {
    format!("vm-{index:03}").parse().unwrap()
}

pub async fn open(index: usize, settings: PeerSettings, size: usize) -> Peer {
    let config = FakeConfig::open(size);
    let options = NodeOptions {
        vm: vm(index),
        generation: Generation(1),
        centre: format!("dc-{}", index % 3).parse().unwrap(),
        listen: (Ipv4Addr::LOCALHOST, 0).into(),
        settings,
        seed: index as u64,
    };
    let clock = SystemClock::open();
    let state = Arc::clone(&config);
    let node = PeerNode::bind(options, Arc::clone(&clock), state);
    let node = Arc::new(node.unwrap());
    let config_sync = ConfigSync::spawn(&node, Arc::clone(&config) as _, clock);
    Peer {
        vm: vm(index),
        config,
        config_sync,
        node,
    }
}

/// A list of the platform that holds each VM with its address in `addresses`.
pub fn list(addresses: &BTreeMap<VmId, SocketAddr>) -> InstanceList {
    let instances = addresses
        .iter()
        .enumerate()
        .map(|(i, (vm, address))| Instance {
            vm: vm.clone(),
            kind: InstanceKind::Gateway,
            state: InstanceState::Live,
            generation: Generation(1),
            centre: format!("dc-{}", i % 3).parse().unwrap(),
            address: address.to_string().into(),
            fenced: false,
            memory: None,
            service: None,
        });
    InstanceList {
        age: 0,
        instances: instances.collect(),
    }
}

/// Opens nodes that know one another from the platform's list.
pub async fn fleet(count: usize, settings: PeerSettings, size: usize) -> Vec<Peer> {
    let mut peers = Vec::new();
    for index in 0..count {
        peers.push(open(index, settings.clone(), size).await);
    }
    let addresses = peers.iter().map(|p| (p.vm.clone(), p.node.local_addr()));
    let list = list(&addresses.collect());
    for peer in &peers {
        peer.node.apply_list(&list);
    }
    peers
}

/// Waits until the first round is over, in which each VM sends a frame to its three partners.
pub async fn first_round(peers: &[Peer]) {
    let received = || -> u64 { peers.iter().map(|p| p.node.metrics().frames_in.get()).sum() };
    wait("the first round", || received() >= 3 * peers.len() as u64).await;
}

/// Waits until a condition holds, and returns how long that took.
pub async fn wait<F>(what: &str, mut condition: F) -> Duration
where
    F: FnMut() -> bool,
{
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < DEADLINE, "{what} did not happen");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    start.elapsed()
}
