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

pub mod backlog;
mod demand;
mod forwarding;
mod usage;

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::ops::Range;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use compact_str::format_compact;
use rand::RngExt;
use slog::{debug, warn};
use tokio::net::UdpSocket;
use tokio::task::JoinHandle;

use super::demand::PeerDemand;
use super::demand_entries::read_demand;
use super::fanout;
use super::peers::{MIN_SILENCE_TIMEOUT, Peers};
use super::platform_api::DecodeError;
use super::run::VmRegistration;
use super::state::Gateway;
use crate::ids::{Epoch, Generation, ModelId, UpstreamId, Version, VmId};
use crate::schema::mesh::{
    Broadcast, ConfigurationReport, Datagram, InventoryNotice, InventoryUpdate, PermitRequest,
};
use backlog::Backlog;
use forwarding::URGENT_COPIES;

/// Random factor on the interval between usage reports.
const INTERVAL_JITTER: Range<f64> = 0.75..1.25;
/// Largest datagram accepted, in bytes.
const MAX_DATAGRAM_BYTES: usize = 60 * 1024;
/// Silence of the leader after which a follower contends for the lease. By then a reader has taken
/// it over, or is itself lost and this VM no longer its follower.
const FOLLOWER_PATIENCE: Duration = Duration::from_secs(6);
/// Interval between a follower's requests, and its upper bound as a share of the time in which a
/// leaving upstream must be known.
const FOLLOW_INTERVAL: Duration = Duration::from_millis(500);
const FOLLOW_SHARE: f64 = 0.15;
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
    /// Whether datagrams that are read may have waited while this VM stood still.
    backlog: Backlog,
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
            state: Mutex::new(State {
                peers: Peers::open(gateway.clock.now()),
                ..State::default()
            }),
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

    /// Adds the VMs registered in the store, and reports to them at once where they are new;
    /// `complete` if this VM is among them.
    pub fn add_registered<I>(&self, vms: I, complete: bool)
    where
        I: IntoIterator<Item = (VmId, VmRegistration)>,
    {
        let now = self.gateway.clock.now();
        let vms: Vec<_> = vms.into_iter().collect();
        let ids = vms.iter().map(|(vm, _)| vm.clone());
        let own = &self.gateway.vm;
        self.gateway.upstream_limits().roster.add(own, ids);
        let others = vms.into_iter().filter(|(vm, _)| *vm != self.gateway.vm);
        let mut state = self.lock();
        state.peers.on_list(others, complete, now);
        let reachability = state.peers.reachability(now);
        drop(state);
        self.gateway.set_reachability(reachability);
        self.gateway.usage_due.notify_one();
    }

    /// Whether a heartbeat of the leader was received within [`MIN_SILENCE_TIMEOUT`]. Followers
    /// wait longer, so that a VM which reads the store anyway takes the lease over.
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

    /// Sends inventory updates to every VM, and applies them on this one.
    pub async fn broadcast_updates(&self, epoch: Epoch, updates: Vec<InventoryUpdate>) {
        apply_updates(&self.gateway, &updates);
        let notice = InventoryNotice {
            epoch,
            words: updates,
        };
        self.broadcast(Broadcast::Notice(notice), URGENT_COPIES)
            .await;
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
                    let now = self.gateway.clock.boot();
                    self.lock().backlog.on_read(now);
                    self.handle(datagram, from);
                }
                Err(e) => {
                    let (name, error) = (format_compact!("{from}"), DecodeError::new(&e));
                    if self.gateway.on_unreadable("datagrams", &name, &error) {
                        warn!(self.gateway.log, "datagram_unreadable"; "from" => %from,
                            "error" => %e);
                    }
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
            Datagram::Configuration(report) => self.handle_configuration(&report, from),
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
            Datagram::Notice(notice) => self.handle_notice(&notice),
            Datagram::Forwarded(forwarded) => self.handle_forwarded(forwarded, from),
        }
    }

    fn handle_configuration(&self, report: &ConfigurationReport, from: SocketAddr) {
        if let Some(answer) = self.gateway.on_configuration_report(report) {
            self.try_send(&Datagram::Configuration(answer), from);
        }
    }

    fn handle_notice(&self, notice: &InventoryNotice) {
        let state = self.lock();
        let known = state.leader.as_ref().map(|(_, epoch, ..)| *epoch);
        drop(state);
        if known.is_none_or(|epoch| epoch <= notice.epoch) {
            apply_updates(&self.gateway, &notice.words);
        }
    }

    /// Asks the VM that reads the store for this one, while there is one.
    async fn follow(self: Arc<Self>) {
        loop {
            let leaving = self.gateway.bounds().leaving;
            let interval = FOLLOW_INTERVAL.min(leaving.mul_f64(FOLLOW_SHARE));
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
        if let Some(bytes) = self.encode(datagram) {
            self.try_send_bytes(&bytes, to);
        }
    }

    fn try_send_bytes(&self, bytes: &[u8], to: SocketAddr) {
        match self.socket.try_send_to(bytes, to) {
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
