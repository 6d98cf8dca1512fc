//! UDP datagrams between VMs.
//!
//! Each VM reports the tokens that it has admitted and the requests that it has sent to upstreams,
//! and reports its demand for models to the leader, the VM that holds the lease. The leader's
//! usage reports also carry its heartbeat, and it announces which models engines have loaded or
//! are about to unload.
//!
//! Every report is repeated after a short time, so a lost datagram does little harm, and there are
//! no connections whose loss would have to be detected. VMs find each other through their
//! registrations in the platform's store, and a VM also learns the address of any VM that sends it
//! a usage report.

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
use super::demand_entries::{read_demand, write_demand};
use super::fanout::{self, roles::assign};
use super::peers::{MIN_SILENCE_TIMEOUT, MIN_USAGE_INTERVAL, Peers};
use super::request::Target;
use super::run::VmRegistration;
use super::state::Gateway;
use crate::ids::{Epoch, Generation, ModelId, UpstreamId, Version, VmId};
use crate::schema::mesh::{
    Datagram, DemandReport, InventoryNotice, InventoryUpdate, LeaderHeartbeat, PermitRequest,
    Usage, VmSite,
};

/// Random factor on the interval between usage reports.
const INTERVAL_JITTER: Range<f64> = 0.75..1.25;
/// Interval between reports of the models that requests of a VM wait for; a request that begins to
/// wait is reported at once.
const DEMAND_INTERVAL: Duration = Duration::from_millis(250);
/// Largest datagram accepted, in bytes.
const MAX_DATAGRAM_BYTES: usize = 60 * 1024;
/// How long a VM's report of its running requests counts; each complete demand report repeats it.
const RUNNING_TIMEOUT: Duration = Duration::from_millis(1500);
/// Largest number of models and adapters in one demand report, which must fit into a datagram.
const MAX_TARGETS_PER_REPORT: usize = 24;
/// Silence of the leader after which a follower contends for the lease. By then a reader has taken
/// it over, or is itself lost and this VM no longer its follower.
const FOLLOWER_PATIENCE: Duration = Duration::from_secs(6);
/// Interval between a follower's requests, and its upper bound as a share of the time in which a
/// leaving upstream must be known.
const FOLLOW_INTERVAL: Duration = Duration::from_millis(500);
const FOLLOW_SHARE: f64 = 0.15;
/// Shortest interval between demand reports.
const MIN_DEMAND_INTERVAL: Duration = Duration::from_millis(10);
/// How long after its start a VM's usage reports name its data centre. VMs that start later read it
/// in the store, so a few reports in a row suffice.
const SITE_REPORT_TIME: Duration = Duration::from_secs(10);
/// Shortest interval between usage reports.
const MIN_USAGE_DELAY: Duration = Duration::from_millis(40);

/// Number of running requests by engine and model.
type RunningRequests = BTreeMap<UpstreamId, BTreeMap<ModelId, u32>>;

#[derive(Debug, Default)]
struct State {
    peers: Peers,
    /// Demand reported by the other VMs.
    peer_demand: PeerDemand,
    /// Running requests reported by the other VMs, and when each report arrived.
    peer_running: BTreeMap<VmId, (RunningRequests, Instant)>,
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
    started: Instant,
    state: Mutex<State>,
}

impl Mesh {
    /// Binds the UDP socket to `at`; [`Self::spawn`] starts to send and receive.
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
            started: gateway.clock.now(),
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
            tokio::spawn(Arc::clone(self).receive()),
            tokio::spawn(Arc::clone(self).report_usage()),
            tokio::spawn(Arc::clone(self).report_demand()),
            tokio::spawn(Arc::clone(self).follow()),
            tokio::spawn(Arc::clone(self).ask_permits()),
        ]
    }

    /// Adds the VMs registered in the store.
    pub fn add_registered<I>(&self, vms: I)
    where
        I: IntoIterator<Item = (VmId, VmRegistration)>,
    {
        let now = self.gateway.clock.now();
        let mut state = self.lock();
        for (vm, registration) in vms {
            if vm != self.gateway.vm {
                state.peers.add_registered(vm, registration, now);
            }
        }
    }

    /// Whether a heartbeat of the leader was received within [`MIN_SILENCE_TIMEOUT`]. Followers wait
    /// longer, so that a VM which reads the store anyway takes the lease over.
    pub fn leader_alive(&self, now: Instant) -> bool {
        let timeout = if self.gateway.coverage().follows() {
            FOLLOWER_PATIENCE
        } else {
            MIN_SILENCE_TIMEOUT
        };
        let state = self.lock();
        let received = state.leader.as_ref().map_or(self.started, |(.., at)| *at);
        let known = state.leader.is_some() || self.gateway.coverage().follows();
        known && now.saturating_duration_since(received) < timeout
    }

    /// Version of the lease in the last heartbeat of the leader.
    pub fn leader_lease_version(&self) -> Option<Version> {
        self.lock()
            .leader
            .as_ref()
            .map(|(_, _, version, _)| *version)
    }

    /// Sets the fencing number and version of the lease, or `None` if this VM does not hold it.
    pub fn set_lease(&self, lease: Option<(Epoch, Version)>) {
        self.gateway.set_leads(lease.is_some());
        let epoch = lease.map(|(epoch, _)| epoch);
        let now = self.gateway.clock.boot();
        self.gateway.upstream_limits().set_lease(epoch, now);
        let before = std::mem::replace(&mut self.lock().lease, lease);
        if before.is_none() && lease.is_some() {
            self.gateway.usage_due.notify_one();
        }
    }

    /// Demand of all VMs, including this one.
    pub fn total_demand(&self) -> BTreeMap<Target, Demand> {
        let now = self.gateway.clock.now();
        let mut sums = self.lock().peer_demand.total(now);
        for (target, demand) in self.gateway.demand().current(now) {
            let sum = sums.entry(target).or_default();
            sum.rate += demand.rate;
            sum.waiting += demand.waiting;
            sum.late += demand.late;
        }
        sums
    }

    /// Running requests of all VMs, by engine and model.
    pub fn running_requests(&self) -> BTreeMap<(UpstreamId, ModelId), u32> {
        let now = self.gateway.clock.now();
        let mut sums: BTreeMap<_, u32> = BTreeMap::new();
        let mut state = self.lock();
        state
            .peer_running
            .retain(|_, (_, at)| now.saturating_duration_since(*at) < RUNNING_TIMEOUT);
        let own = self.own_running_requests();
        let reported = state.peer_running.values().map(|(running, _)| running);
        for (engine, models) in reported.chain([&own]).flatten() {
            for (model, requests) in models {
                *sums.entry((engine.clone(), model.clone())).or_default() += requests;
            }
        }
        sums
    }

    fn own_running_requests(&self) -> RunningRequests {
        let upstreams = self.gateway.upstreams.load();
        let running = upstreams
            .iter()
            .map(|(id, u)| (id.clone(), u.health.running_by_model()));
        running.filter(|(_, models)| !models.is_empty()).collect()
    }

    /// Sends inventory updates to every VM, and applies them on this one.
    pub async fn broadcast_updates(&self, epoch: Epoch, updates: Vec<InventoryUpdate>) {
        apply_updates(&self.gateway, &updates);
        let datagram = Datagram::Notice(InventoryNotice {
            epoch,
            words: updates,
        });
        self.send_all(&datagram).await;
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn receive(self: Arc<Self>) {
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
                    self.handle(datagram, from);
                }
                Err(e) => {
                    warn!(self.gateway.log, "datagram_unreadable"; "from" => %from, "error" => %e);
                }
            }
        }
    }

    fn handle(&self, datagram: Datagram, from: SocketAddr) {
        match datagram {
            Datagram::Usage(usage) => self.handle_usage(usage, from),
            Datagram::Wants(report) => {
                let now = self.gateway.clock.now();
                let mut state = self.lock();
                if !report.runs.is_empty() {
                    state
                        .peer_running
                        .insert(report.vm.clone(), (report.runs, now));
                }
                for (target, demand) in read_demand(report.wants) {
                    state.peer_demand.on_report(&report.vm, target, demand, now);
                }
                drop(state);
                self.gateway.orders_due.notify_one();
            }
            Datagram::Quarantine(report) => self.gateway.on_quarantine_report(report),
            Datagram::Limits(summary) => self.gateway.on_limit_reports(&summary.limits),
            Datagram::PermitRequest(request) => {
                if let Some(response) = self.gateway.grant_permits(request) {
                    self.try_send(&Datagram::PermitResponse(response), from);
                }
            }
            Datagram::PermitResponse(response) => self.gateway.on_permit_response(response),
            Datagram::Follow(request) => {
                let response = fanout::exchange::respond(&self.gateway, &request);
                self.try_send(&Datagram::Followed(response), from);
            }
            Datagram::Followed(response) => fanout::exchange::apply(&self.gateway, response),
            Datagram::Notice(notice) => {
                let state = self.lock();
                let known = state.leader.as_ref().map(|(_, epoch, ..)| *epoch);
                drop(state);
                if known.is_none_or(|epoch| epoch <= notice.epoch) {
                    apply_updates(&self.gateway, &notice.words);
                }
            }
        }
    }

    fn handle_usage(&self, mut usage: Usage, from: SocketAddr) {
        let now = self.gateway.clock.now();
        let mut state = self.lock();
        if let Some(heartbeat) = &usage.lease {
            let newer = state
                .leader
                .as_ref()
                .is_none_or(|(_, epoch, ..)| *epoch <= heartbeat.epoch);
            let same = state
                .leader
                .as_ref()
                .is_some_and(|(vm, ..)| *vm == usage.vm);
            if newer && !same {
                self.gateway.demand_due.notify_one();
            }
            if newer {
                state.leader = Some((usage.vm.clone(), heartbeat.epoch, heartbeat.version, now));
                let boot = self.gateway.clock.boot();
                self.gateway
                    .upstream_limits()
                    .on_leader(heartbeat.epoch, boot);
            }
        }
        self.gateway.on_leaving_hints(&usage.leaving);
        self.gateway.on_limit_reports(&usage.limits);
        let quarantine = usage.quarantine.take();
        let vm = usage.vm.clone();
        let change = state.peers.apply_usage(usage, from, now);
        drop(state);
        if change.new {
            info!(self.gateway.log, "vm_heard"; "peer" => %vm);
        }
        if let Some(report) = quarantine {
            self.gateway.on_quarantine_report(report);
        }
        // A VM that has just started must not wait until the next usage report for what is held back.
        if change.started
            && let Some(report) = self.gateway.quarantine_summary()
        {
            self.try_send(&Datagram::Quarantine(report), from);
        }
        if change.started
            && let Some(summary) = self.gateway.limit_summary()
        {
            self.try_send(&Datagram::Limits(summary), from);
        }
        self.gateway.on_peer_message(now);
        for (account, tokens) in change.admitted {
            self.gateway.add_peer_usage(&account, tokens);
        }
        let upstreams = self.gateway.upstreams.load();
        for (id, requests) in change.loads {
            if let Some(upstream) = upstreams.get(&id) {
                upstream.health.set_peer_load(requests);
            }
        }
    }

    async fn report_usage(self: Arc<Self>) {
        loop {
            let datagram = Datagram::Usage(self.usage_report());
            self.send_all(&datagram).await;
            self.refresh_peers();
            tokio::time::sleep(MIN_USAGE_DELAY).await;
            let due = self.gateway.usage_due.notified();
            // Ends early when usage should be reported at once. The random factor keeps VMs that
            // started together from reporting at the same moments.
            let interval = self
                .usage_interval()
                .mul_f64(rand::rng().random_range(INTERVAL_JITTER));
            let _woken = tokio::time::timeout(interval.saturating_sub(MIN_USAGE_DELAY), due).await;
        }
    }

    /// Interval between usage reports of this VM. The leader always uses the shortest one, because
    /// the others count it as lost after a short silence.
    fn usage_interval(&self) -> Duration {
        let state = self.lock();
        if state.lease.is_some() {
            return MIN_USAGE_INTERVAL;
        }
        state.peers.usage_interval()
    }

    fn usage_report(&self) -> Usage {
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
            leaving: self.gateway.leaving_hints(),
            quarantine: self.gateway.quarantine_report(),
            limits: self.gateway.limit_report(),
            site: self.own_site(),
        }
    }

    /// Data centre and capacity of this VM, for its first reports.
    fn own_site(&self) -> Option<VmSite> {
        let age = self
            .gateway
            .clock
            .now()
            .saturating_duration_since(self.started);
        (age < SITE_REPORT_TIME).then(|| VmSite {
            centre: self.gateway.centre.clone(),
            capacity: self.gateway.capacity,
        })
    }

    /// Removes VMs that no longer report, and publishes reachability and upstream loads anew.
    fn refresh_peers(&self) {
        let now = self.gateway.clock.now();
        let mut state = self.lock();
        state.peers.expire(now);
        let reachability = state.peers.reachability(now);
        let loads = state.peers.loads().clone();
        let mut local = state.peers.in_centre(&self.gateway.centre, now);
        drop(state);
        local.insert(self.gateway.vm.clone(), self.gateway.capacity);
        self.gateway.set_role(assign(&self.gateway.vm, &local));
        self.gateway.set_reachability(reachability);
        for (id, upstream) in self.gateway.upstreams.load().iter() {
            let requests = loads.get(id).copied().unwrap_or_default();
            upstream.health.set_peer_load(requests);
        }
    }

    /// Asks the VM that reads the store for this one, while there is one.
    async fn follow(self: Arc<Self>) {
        let interval = FOLLOW_INTERVAL.min(self.gateway.bounds().leaving.mul_f64(FOLLOW_SHARE));
        loop {
            let due = self.gateway.follow_due.notified();
            let jitter = rand::rng().random_range(INTERVAL_JITTER);
            let _woken = tokio::time::timeout(interval.mul_f64(jitter), due).await;
            let now = self.gateway.clock.boot();
            if let Some((reader, request)) = self.gateway.next_follow_request(now)
                && let Some(address) = self.lock().peers.address(&reader)
            {
                self.try_send(&Datagram::Follow(request), address);
            }
        }
    }

    /// Sends the asks for permits to the leader.
    async fn ask_permits(self: Arc<Self>) {
        loop {
            self.gateway.asks_due.notified().await;
            let asks = self.gateway.due_asks();
            let address = {
                let state = self.lock();
                let leader = state.leader.as_ref();
                leader.and_then(|(vm, ..)| state.peers.address(vm))
            };
            if let Some(address) = address
                && !asks.is_empty()
            {
                let datagram = Datagram::PermitRequest(PermitRequest {
                    vm: self.gateway.vm.clone(),
                    generation: self.generation,
                    asks,
                });
                self.try_send(&datagram, address);
            }
        }
    }

    async fn report_demand(self: Arc<Self>) {
        let mut reporter = DemandReporter::default();
        let mut last_leader = None;
        loop {
            let due = self.gateway.demand_due.notified();
            // Ends early when a request begins to wait or the leader changes.
            let _woken = tokio::time::timeout(DEMAND_INTERVAL, due).await;
            let (leader, address, interval) = {
                let state = self.lock();
                let leader = state.leader.as_ref().filter(|_| state.lease.is_none());
                let leader = leader.map(|(vm, epoch, ..)| (vm.clone(), *epoch));
                let address = leader.as_ref();
                let address = address.and_then(|(vm, _)| state.peers.address(vm));
                (leader, address, state.peers.demand_interval())
            };
            if leader != last_leader {
                reporter.reset();
            }
            if let Some(address) = address {
                let now = self.gateway.clock.now();
                let (demand, full) =
                    reporter.select_due(self.gateway.demand().current(now), now, interval);
                let running = if full {
                    self.own_running_requests()
                } else {
                    RunningRequests::new()
                };
                self.send_demand(demand, running, address).await;
            }
            last_leader = leader;
            tokio::time::sleep(MIN_DEMAND_INTERVAL).await;
        }
    }

    async fn send_demand(
        &self,
        demand: BTreeMap<Target, Demand>,
        mut running: RunningRequests,
        to: SocketAddr,
    ) {
        let targets: Vec<_> = demand.into_iter().collect();
        for chunk in targets.chunks(MAX_TARGETS_PER_REPORT) {
            let datagram = Datagram::Wants(DemandReport {
                vm: self.gateway.vm.clone(),
                wants: write_demand(chunk),
                runs: std::mem::take(&mut running),
            });
            self.send(&datagram, to).await;
        }
    }

    async fn send_all(&self, datagram: &Datagram) {
        let Some(bytes) = self.encode(datagram) else {
            return;
        };
        let peers = self.lock().peers.addresses();
        for address in peers {
            self.send_bytes(&bytes, address).await;
        }
    }

    async fn send(&self, datagram: &Datagram, to: SocketAddr) {
        if let Some(bytes) = self.encode(datagram) {
            self.send_bytes(&bytes, to).await;
        }
    }

    fn encode(&self, datagram: &Datagram) -> Option<Vec<u8>> {
        let mut bytes = Vec::new();
        match ciborium::into_writer(datagram, &mut bytes) {
            Ok(()) => Some(bytes),
            Err(e) => {
                warn!(self.gateway.log, "datagram_unwritable"; "error" => %e);
                None
            }
        }
    }

    /// Sends a datagram that its receiver asks for again if it is lost.
    fn try_send(&self, datagram: &Datagram, to: SocketAddr) {
        let Some(bytes) = self.encode(datagram) else {
            return;
        };
        match self.socket.try_send_to(&bytes, to) {
            Ok(sent) => {
                self.gateway.counters.datagrams_out.inc();
                self.gateway.counters.datagram_bytes_out.inc_by(sent as u64);
            }
            Err(e) => debug!(self.gateway.log, "datagram_unsent"; "to" => %to, "error" => %e),
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

/// Applies the leader's inventory updates to the upstreams in use.
fn apply_updates(gateway: &Gateway, updates: &[InventoryUpdate]) {
    gateway.update_fleet(|fleet, now| {
        for update in updates {
            let adapter = update.adapter.as_ref();
            fleet.on_inventory_update(&update.engine, &update.model, adapter, update.present, now);
        }
    });
}
