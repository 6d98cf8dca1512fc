//! Datagrams between VMs: what each uses, what it wants loaded, and what the VM that gives orders
//! has done.
//!
//! Everything told is soft and told again soon, so a lost datagram costs little, and no connection
//! can go silent. VMs find each other by their registrations in the platform's store; a VM that is
//! heard from is known from then on.

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

use super::call::Target;
use super::demand::{Demand, DemandReporter, PeerDemand};
use super::peers::{Peers, TOUCH_TIME, USAGE_PAUSE};
use super::state::Gateway;
use crate::ids::{Epoch, Generation, ModelId, UpstreamId, Version, VmId};
use crate::schema::mesh::{
    Datagram, HoldWord, LeaseWord, ModelWants, Notice, Usage, Want as WantWord, Wants,
};

/// Part of its pause that a VM waits between words on what it uses.
const PAUSE_PARTS: Range<f64> = 0.75..1.25;
/// Pause between words on what requests of a VM wait for; one that begins to wait is told at once.
const WANTS_PAUSE: Duration = Duration::from_millis(250);
/// Greatest datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 16 * 1024;
/// Requests that engines work on count for this long, as a VM tells them with all its wants.
const RUNS_TIME: Duration = Duration::from_millis(1500);
/// Wants in one datagram.
const WANTS_PER_DATAGRAM: usize = 24;
/// Least pause between two urgent words on what a VM wants.
const URGENT_PAUSE: Duration = Duration::from_millis(10);
/// Least pause between two words on what a VM uses.
const LEAST_USAGE_PAUSE: Duration = Duration::from_millis(40);

/// Requests that engines work on, by model.
type Runs = BTreeMap<UpstreamId, BTreeMap<ModelId, u32>>;

#[derive(Debug, Default)]
struct State {
    peers: Peers,
    told: PeerDemand,
    runs: BTreeMap<VmId, (Runs, Instant)>,
    leader: Option<(VmId, Epoch, Version, Instant)>,
    lease: Option<(Epoch, Version)>,
}

/// This VM's part of the exchange.
#[derive(Debug)]
pub struct Mesh {
    gateway: Arc<Gateway>,
    socket: UdpSocket,
    generation: Generation,
    state: Mutex<State>,
}

impl Mesh {
    /// Binds the socket.
    ///
    /// # Errors
    ///
    /// Where the address cannot be bound.
    pub async fn bind(gateway: &Arc<Gateway>, at: SocketAddr) -> io::Result<Arc<Self>> {
        let socket = UdpSocket::bind(at).await?;
        Ok(Arc::new(Self {
            gateway: Arc::clone(gateway),
            socket,
            generation: Generation(gateway.clock.wall_ms()),
            state: Mutex::default(),
        }))
    }

    /// Address it is bound to.
    ///
    /// # Errors
    ///
    /// Where the socket cannot tell it.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Starts to listen and to tell.
    pub fn spawn(self: &Arc<Self>) -> Vec<JoinHandle<()>> {
        vec![
            tokio::spawn(Arc::clone(self).listen()),
            tokio::spawn(Arc::clone(self).tell_usage()),
            tokio::spawn(Arc::clone(self).tell_wants()),
        ]
    }

    /// Takes the VMs registered in the store.
    pub fn know<I>(&self, vms: I)
    where
        I: IntoIterator<Item = (VmId, SocketAddr)>,
    {
        let now = self.gateway.clock.now();
        let mut state = self.lock();
        for (vm, at) in vms {
            if vm != self.gateway.vm {
                state.peers.know(vm, at, now);
            }
        }
    }

    /// Whether a VM that gives orders was heard lately.
    pub fn led(&self, now: Instant) -> bool {
        let state = self.lock();
        let heard = state.leader.as_ref().map(|(.., at)| *at);
        heard.is_some_and(|at| now.saturating_duration_since(at) < TOUCH_TIME)
    }

    /// The newest version of the lease heard.
    pub fn lease_heard(&self) -> Option<Version> {
        self.lock()
            .leader
            .as_ref()
            .map(|(_, _, version, _)| *version)
    }

    /// Says whether this VM gives orders.
    pub fn set_lease(&self, lease: Option<(Epoch, Version)>) {
        let before = std::mem::replace(&mut self.lock().lease, lease);
        if before.is_none() && lease.is_some() {
            self.gateway.usage_due.notify_one();
        }
    }

    /// Demand over all VMs, this one included.
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

    /// Requests of all VMs that engines work on, by engine and model.
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
        let runs = upstreams.iter().map(|(id, u)| (id.clone(), u.pulse.runs()));
        runs.filter(|(_, models)| !models.is_empty()).collect()
    }

    /// Tells every VM what engines hold, and takes the same words here.
    pub async fn notify(&self, epoch: Epoch, words: Vec<HoldWord>) {
        take_words(&self.gateway, &words);
        let datagram = Datagram::Notice(Notice { epoch, words });
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
                    // A datagram that could not be delivered comes back as an error.
                    debug!(self.gateway.log, "datagram_returned"; "error" => %e);
                    continue;
                }
            };
            match ciborium::from_reader(&buffer[..length]) {
                Ok(datagram) => {
                    self.gateway.counts.datagrams_in.inc();
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
                self.gateway.wants_due.notify_one();
            }
            if newer {
                state.leader = Some((usage.vm.clone(), lease.epoch, lease.version, now));
            }
        }
        let vm = usage.vm.clone();
        let taken = state.peers.take(usage, from, now);
        drop(state);
        if taken.new {
            info!(self.gateway.log, "vm_heard"; "peer" => %vm);
        }
        self.gateway.on_heard(now);
        for (account, tokens) in taken.spent {
            self.gateway.take_elsewhere(&account, tokens);
        }
        let upstreams = self.gateway.upstreams.load();
        for (id, requests) in taken.loads {
            if let Some(upstream) = upstreams.get(&id) {
                upstream.pulse.tell_elsewhere(requests);
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
            // Either wakes it: time, or news that the others should hear at once.
            // VMs that started together do not go on telling together.
            let pause = self.pause().mul_f64(rand::rng().random_range(PAUSE_PARTS));
            let _woken = tokio::time::timeout(pause.saturating_sub(LEAST_USAGE_PAUSE), due).await;
        }
    }

    /// Pause between words on what this VM uses; the giver of orders is taken for gone when it is
    /// not heard.
    fn pause(&self) -> Duration {
        let state = self.lock();
        if state.lease.is_some() {
            return USAGE_PAUSE;
        }
        state.peers.pause()
    }

    fn usage(&self) -> Usage {
        let upstreams = self.gateway.upstreams.load();
        let loads = upstreams.iter().map(|(id, u)| (id, u.pulse.running()));
        let loads = loads.filter(|(_, requests)| *requests > 0);
        let lease = self.lock().lease;
        Usage {
            vm: self.gateway.vm.clone(),
            generation: self.generation,
            lease: lease.map(|(epoch, version)| LeaseWord { epoch, version }),
            accounts: self.gateway.tell_admitted(),
            upstreams: loads.map(|(id, n)| (id.clone(), n)).collect(),
        }
    }

    /// Forgets what VMs told that are no longer heard.
    fn look_around(&self) {
        let now = self.gateway.clock.now();
        let mut state = self.lock();
        state.peers.forget(now);
        let touch = state.peers.touch(now);
        let loads = state.peers.loads().clone();
        drop(state);
        self.gateway.set_touch(touch);
        for (id, upstream) in self.gateway.upstreams.load().iter() {
            let requests = loads.get(id).copied().unwrap_or_default();
            upstream.pulse.tell_elsewhere(requests);
        }
    }

    async fn tell_wants(self: Arc<Self>) {
        let mut teller = DemandReporter::default();
        let mut told = None;
        loop {
            let urged = self.gateway.wants_due.notified();
            // Either wakes it: time, or a request that begins to wait.
            let _woken = tokio::time::timeout(WANTS_PAUSE, urged).await;
            let (leader, at, pause) = {
                let state = self.lock();
                let leader = state.leader.as_ref().filter(|_| state.lease.is_none());
                let leader = leader.map(|(vm, epoch, ..)| (vm.clone(), *epoch));
                let at = leader.as_ref();
                let at = at.and_then(|(vm, _)| state.peers.address(vm));
                (leader, at, state.peers.wants_pause())
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
            let datagram = Datagram::Wants(Wants {
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
                self.gateway.counts.datagrams_out.inc();
                self.gateway.counts.datagram_bytes_out.inc_by(sent as u64);
            }
            Err(e) => {
                debug!(self.gateway.log, "datagram_unsent"; "to" => %to, "error" => %e);
            }
        }
    }
}

fn take_words(gateway: &Gateway, words: &[HoldWord]) {
    gateway.with_fleet(|fleet, now| {
        for word in words {
            let adapter = word.adapter.as_ref();
            fleet.on_inventory_update(&word.engine, &word.model, adapter, word.present, now);
        }
    });
}

fn read_wants(words: BTreeMap<ModelId, ModelWants>) -> impl Iterator<Item = (Target, Demand)> {
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

fn write_wants(wants: &[(Target, Demand)]) -> BTreeMap<ModelId, ModelWants> {
    let mut words: BTreeMap<_, ModelWants> = BTreeMap::new();
    for (target, want) in wants {
        let word = WantWord {
            // Rounded, which takes half the bytes.
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
