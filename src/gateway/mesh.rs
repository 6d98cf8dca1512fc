//! UDP datagrams between VMs.
//!
//! Each VM reports the tokens that it has admitted and the requests that it has sent to upstreams,
//! and reports its demand for models to the leader, the VM that holds the lease. The leader's
//! usage reports also carry its heartbeat, and it announces which models engines have loaded or
//! are about to unload.
//!
//! All of it is repeated soon, so a lost datagram does little harm, and there are no connections
//! whose loss would have to be detected. VMs find each other through their registrations in the
//! platform's store, and a VM also learns the address of any VM that sends it a usage report.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::ops::Range;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use rand::RngExt;
use slog::{debug, info, warn};
use tokio::net::UdpSocket;
use tokio::task::JoinHandle;

use super::demand::{Demand, DemandReporter, PeerDemand};
use super::peers::{MIN_SILENCE_TIMEOUT, MIN_USAGE_INTERVAL, Peers};
use super::request::Target;
use super::state::Gateway;
use crate::ids::{Epoch, Generation, ModelId, UpstreamId, Version, VmId};
use crate::schema::mesh::{
    Datagram, DemandReport, InventoryNotice, InventoryUpdate, LeaderHeartbeat, ModelDemandEntry,
    TargetDemand, Usage,
};

/// Random factor on the interval between usage reports.
const PAUSE_PARTS: Range<f64> = 0.75..1.25;
/// Interval between reports of the models that requests of a VM wait for; a request that begins to
/// wait is reported at once.
const WANTS_PAUSE: Duration = Duration::from_millis(250);
/// Largest datagram accepted, in bytes.
const MAX_DATAGRAM_BYTES: usize = 16 * 1024;
/// How long a VM's report of its running requests counts; each complete demand report repeats it.
const RUNS_TIME: Duration = Duration::from_millis(1500);
/// Models and adapters whose demand fits into one datagram.
const WANTS_PER_DATAGRAM: usize = 24;
/// Shortest interval between demand reports.
const URGENT_PAUSE: Duration = Duration::from_millis(10);
/// Shortest interval between usage reports.
const LEAST_USAGE_PAUSE: Duration = Duration::from_millis(40);

/// Number of running requests by engine and model.
type Runs = BTreeMap<UpstreamId, BTreeMap<ModelId, u32>>;

#[derive(Debug, Default)]
struct State {
    peers: Peers,
    /// Demand reported by the other VMs.
    told: PeerDemand,
    /// Running requests reported by the other VMs, and when each report arrived.
    runs: BTreeMap<VmId, (Runs, Instant)>,
    /// The newest leader known, its fencing number, the version of its lease, and when its last
    /// heartbeat was received.
    leader: Option<(VmId, Epoch, Version, Instant)>,
    /// Fencing number and version of the lease, while this VM holds it.
    lease: Option<(Epoch, Version)>,
}

/// Exchanges datagrams with the other VMs.
#[derive(Debug)]
pub struct Mesh {
    gateway: Arc<Gateway>,
    socket: UdpSocket,
    generation: Generation,
    state: Mutex<State>,
}

impl Mesh {
    /// Binds the UDP socket to `at`; [`Self::spawn`] starts the exchange.
    ///
    /// # Errors
    ///
    /// If the address cannot be bound.
    pub async fn bind(gateway: &Arc<Gateway>, at: SocketAddr) -> io::Result<Arc<Self>> {
        let socket = UdpSocket::bind(at).await?;
        Ok(Arc::new(Self {
            gateway: Arc::clone(gateway),
            socket,
            generation: Generation(gateway.clock.wall_ms()),
            state: Mutex::default(),
        }))
    }

    /// Address of the socket.
    ///
    /// # Errors
    ///
    /// If the operating system does not return it.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Starts to receive datagrams and to report usage and demand.
    pub fn spawn(self: &Arc<Self>) -> Vec<JoinHandle<()>> {
        vec![
            tokio::spawn(Arc::clone(self).listen()),
            tokio::spawn(Arc::clone(self).tell_usage()),
            tokio::spawn(Arc::clone(self).tell_wants()),
        ]
    }

    /// Adds the VMs registered in the store.
    pub fn know<I>(&self, vms: I)
    where
        I: IntoIterator<Item = (VmId, SocketAddr)>,
    {
        let now = self.gateway.clock.now();
        let mut state = self.lock();
        for (vm, at) in vms {
            if vm != self.gateway.vm {
                state.peers.add_registered(vm, at, now);
            }
        }
    }

    /// Whether a heartbeat of the leader was received within [`MIN_SILENCE_TIMEOUT`].
    pub fn led(&self, now: Instant) -> bool {
        let state = self.lock();
        let heard = state.leader.as_ref().map(|(.., at)| *at);
        heard.is_some_and(|at| now.saturating_duration_since(at) < MIN_SILENCE_TIMEOUT)
    }

    /// Version of the lease in the last heartbeat of the leader.
    pub fn lease_heard(&self) -> Option<Version> {
        self.lock()
            .leader
            .as_ref()
            .map(|(_, _, version, _)| *version)
    }

    /// Sets the fencing number and version of the lease, or `None` if this VM does not hold it.
    pub fn set_lease(&self, lease: Option<(Epoch, Version)>) {
        let before = std::mem::replace(&mut self.lock().lease, lease);
        if before.is_none() && lease.is_some() {
            self.gateway.usage_due.notify_one();
        }
    }

    /// Demand of all VMs, including this one.
    pub fn demand(&self) -> BTreeMap<Target, Demand> {
        let now = self.gateway.clock.now();
        let mut sums = self.lock().told.total(now);
        for (target, want) in self.gateway.demand().current(now) {
            let sum = sums.entry(target).or_default();
            sum.rate += want.rate;
            sum.waiting += want.waiting;
        }
        sums
    }

    /// Running requests of all VMs, by engine and model.
    pub fn runs(&self) -> BTreeMap<(UpstreamId, ModelId), u32> {
        let now = self.gateway.clock.now();
        let mut sums: BTreeMap<_, u32> = BTreeMap::new();
        let mut state = self.lock();
        state
            .runs
            .retain(|_, (_, at)| now.saturating_duration_since(*at) < RUNS_TIME);
        let own = self.own_runs();
        let told = state.runs.values().map(|(runs, _)| runs);
        for (engine, models) in told.chain([&own]).flatten() {
            for (model, requests) in models {
                *sums.entry((engine.clone(), model.clone())).or_default() += requests;
            }
        }
        sums
    }

    fn own_runs(&self) -> Runs {
        let upstreams = self.gateway.upstreams.load();
        let runs = upstreams
            .iter()
            .map(|(id, u)| (id.clone(), u.health.running_by_model()));
        runs.filter(|(_, models)| !models.is_empty()).collect()
    }

    /// Sends changes to what engines have loaded to every VM, and applies them here.
    pub async fn notify(&self, epoch: Epoch, words: Vec<InventoryUpdate>) {
        take_words(&self.gateway, &words);
        let datagram = Datagram::Notice(InventoryNotice { epoch, words });
        self.send_all(&datagram).await;
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn listen(self: Arc<Self>) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            let (length, from) = match self.socket.recv_from(&mut buffer).await {
                Ok(received) => received,
                Err(e) => {
                    // The socket also reports earlier datagrams that could not be delivered.
                    debug!(self.gateway.log, "datagram_returned"; "error" => %e);
                    continue;
                }
            };
            match ciborium::from_reader(&buffer[..length]) {
                Ok(datagram) => {
                    self.gateway.counters.datagrams_in.inc();
                    self.take(datagram, from);
                }
                Err(e) => {
                    warn!(self.gateway.log, "datagram_unreadable"; "from" => %from, "error" => %e);
                }
            }
        }
    }

    fn take(&self, datagram: Datagram, from: SocketAddr) {
        match datagram {
            Datagram::Usage(usage) => self.take_usage(usage, from),
            Datagram::Wants(wants) => {
                let now = self.gateway.clock.now();
                let mut state = self.lock();
                if !wants.runs.is_empty() {
                    state.runs.insert(wants.vm.clone(), (wants.runs, now));
                }
                for (target, want) in read_wants(wants.wants) {
                    state.told.on_report(&wants.vm, target, want, now);
                }
                drop(state);
                self.gateway.orders_due.notify_one();
            }
            Datagram::Notice(notice) => {
                let state = self.lock();
                let known = state.leader.as_ref().map(|(_, epoch, ..)| *epoch);
                drop(state);
                if known.is_none_or(|epoch| epoch <= notice.epoch) {
                    take_words(&self.gateway, &notice.words);
                }
            }
        }
    }

    fn take_usage(&self, usage: Usage, from: SocketAddr) {
        let now = self.gateway.clock.now();
        let mut state = self.lock();
        if let Some(lease) = &usage.lease {
            let newer = state
                .leader
                .as_ref()
                .is_none_or(|(_, epoch, ..)| *epoch <= lease.epoch);
            let same = state
                .leader
                .as_ref()
                .is_some_and(|(vm, ..)| *vm == usage.vm);
            if newer && !same {
                self.gateway.demand_due.notify_one();
            }
            if newer {
                state.leader = Some((usage.vm.clone(), lease.epoch, lease.version, now));
            }
        }
        let vm = usage.vm.clone();
        let taken = state.peers.apply_usage(usage, from, now);
        drop(state);
        if taken.new {
            info!(self.gateway.log, "vm_heard"; "peer" => %vm);
        }
        self.gateway.on_peer_message(now);
        for (account, tokens) in taken.admitted {
            self.gateway.add_peer_usage(&account, tokens);
        }
        let upstreams = self.gateway.upstreams.load();
        for (id, requests) in taken.loads {
            if let Some(upstream) = upstreams.get(&id) {
                upstream.health.set_peer_load(requests);
            }
        }
    }

    async fn tell_usage(self: Arc<Self>) {
        loop {
            let datagram = Datagram::Usage(self.usage());
            self.send_all(&datagram).await;
            self.look_around();
            tokio::time::sleep(LEAST_USAGE_PAUSE).await;
            let due = self.gateway.usage_due.notified();
            // Ends early when usage should be reported at once. The random factor keeps VMs that
            // started together from reporting at the same moments.
            let pause = self.pause().mul_f64(rand::rng().random_range(PAUSE_PARTS));
            let _woken = tokio::time::timeout(pause.saturating_sub(LEAST_USAGE_PAUSE), due).await;
        }
    }

    /// Interval between usage reports of this VM. The leader always uses the shortest one, because
    /// the others count it as lost after a short silence.
    fn pause(&self) -> Duration {
        let state = self.lock();
        if state.lease.is_some() {
            return MIN_USAGE_INTERVAL;
        }
        state.peers.usage_interval()
    }

    fn usage(&self) -> Usage {
        let upstreams = self.gateway.upstreams.load();
        let loads = upstreams.iter().map(|(id, u)| (id, u.health.running()));
        let loads = loads.filter(|(_, requests)| *requests > 0);
        let lease = self.lock().lease;
        Usage {
            vm: self.gateway.vm.clone(),
            generation: self.generation,
            lease: lease.map(|(epoch, version)| LeaderHeartbeat { epoch, version }),
            accounts: self.gateway.report_admitted(),
            upstreams: loads.map(|(id, n)| (id.clone(), n)).collect(),
        }
    }

    /// Removes VMs that no longer report, and publishes reachability and upstream loads anew.
    fn look_around(&self) {
        let now = self.gateway.clock.now();
        let mut state = self.lock();
        state.peers.expire(now);
        let touch = state.peers.touch(now);
        let loads = state.peers.loads().clone();
        drop(state);
        self.gateway.set_reachability(touch);
        for (id, upstream) in self.gateway.upstreams.load().iter() {
            let requests = loads.get(id).copied().unwrap_or_default();
            upstream.health.set_peer_load(requests);
        }
    }

    async fn tell_wants(self: Arc<Self>) {
        let mut teller = DemandReporter::default();
        let mut told = None;
        loop {
            let urged = self.gateway.demand_due.notified();
            // Ends early when a request begins to wait or the leader changes.
            let _woken = tokio::time::timeout(WANTS_PAUSE, urged).await;
            let (leader, at, pause) = {
                let state = self.lock();
                let leader = state.leader.as_ref().filter(|_| state.lease.is_none());
                let leader = leader.map(|(vm, epoch, ..)| (vm.clone(), *epoch));
                let at = leader.as_ref();
                let at = at.and_then(|(vm, _)| state.peers.address(vm));
                (leader, at, state.peers.demand_interval())
            };
            if leader != told {
                teller.reset();
            }
            if let Some(at) = at {
                let now = self.gateway.clock.now();
                let (wants, full) =
                    teller.select_due(self.gateway.demand().current(now), now, pause);
                let runs = if full { self.own_runs() } else { Runs::new() };
                self.send_wants(wants, runs, at).await;
            }
            told = leader;
            tokio::time::sleep(URGENT_PAUSE).await;
        }
    }

    async fn send_wants(&self, wants: BTreeMap<Target, Demand>, mut runs: Runs, to: SocketAddr) {
        let words: Vec<_> = wants.into_iter().collect();
        for chunk in words.chunks(WANTS_PER_DATAGRAM) {
            let datagram = Datagram::Wants(DemandReport {
                vm: self.gateway.vm.clone(),
                wants: write_wants(chunk),
                runs: std::mem::take(&mut runs),
            });
            self.send(&datagram, to).await;
        }
    }

    async fn send_all(&self, datagram: &Datagram) {
        let Some(bytes) = self.write(datagram) else {
            return;
        };
        let peers = self.lock().peers.addresses();
        for at in peers {
            self.send_bytes(&bytes, at).await;
        }
    }

    async fn send(&self, datagram: &Datagram, to: SocketAddr) {
        if let Some(bytes) = self.write(datagram) {
            self.send_bytes(&bytes, to).await;
        }
    }

    fn write(&self, datagram: &Datagram) -> Option<Vec<u8>> {
        let mut bytes = Vec::new();
        match ciborium::into_writer(datagram, &mut bytes) {
            Ok(()) => Some(bytes),
            Err(e) => {
                warn!(self.gateway.log, "datagram_unwritable"; "error" => %e);
                None
            }
        }
    }

    async fn send_bytes(&self, bytes: &[u8], to: SocketAddr) {
        match self.socket.send_to(bytes, to).await {
            Ok(sent) => {
                self.gateway.counters.datagrams_out.inc();
                self.gateway.counters.datagram_bytes_out.inc_by(sent as u64);
            }
            Err(e) => {
                debug!(self.gateway.log, "datagram_unsent"; "to" => %to, "error" => %e);
            }
        }
    }
}

fn take_words(gateway: &Gateway, words: &[InventoryUpdate]) {
    gateway.update_fleet(|fleet, now| {
        for word in words {
            let adapter = word.adapter.as_ref();
            fleet.on_inventory_update(&word.engine, &word.model, adapter, word.present, now);
        }
    });
}

fn read_wants(
    words: BTreeMap<ModelId, ModelDemandEntry>,
) -> impl Iterator<Item = (Target, Demand)> {
    words.into_iter().flat_map(|(model, wants)| {
        let whole = wants.whole.map(|want| (None, want));
        let parts = wants.adapters.into_iter().map(|(a, want)| (Some(a), want));
        whole.into_iter().chain(parts).map(move |(adapter, word)| {
            let model = model.clone();
            let want = Demand {
                rate: word.rate,
                waiting: word.waiting,
            };
            (Target { model, adapter }, want)
        })
    })
}

fn write_wants(wants: &[(Target, Demand)]) -> BTreeMap<ModelId, ModelDemandEntry> {
    let mut words: BTreeMap<_, ModelDemandEntry> = BTreeMap::new();
    for (target, want) in wants {
        let word = TargetDemand {
            // Rounded to single precision, which takes half as many bytes in CBOR.
            rate: f64::from(want.rate as f32),
            waiting: want.waiting,
        };
        let model = words.entry(target.model.clone()).or_default();
        match &target.adapter {
            Some(adapter) => drop(model.adapters.insert(adapter.clone(), word)),
            None => model.whole = Some(word),
        }
    }
    words
}
