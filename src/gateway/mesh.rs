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
use super::demand::{Told, Want};
use super::peers::{Peers, TOUCH_TIME, USAGE_PAUSE};
use super::state::Gateway;
use crate::ids::{Epoch, Generation, ModelId, UpstreamId, Version, VmId};
use crate::schema::mesh::{
    AccountUse, Datagram, HoldWord, LeaseWord, Notice, Run, UpstreamUse, Usage, Want as WantWord,
    Wants,
};

/// Part of its pause that a VM waits between words on what it uses.
const PAUSE_PARTS: Range<f64> = 0.75..1.25;
/// Pause between words on what a VM wants; one that begins to wait is told at once.
const WANTS_PAUSE: Duration = Duration::from_millis(250);
/// Greatest datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 16 * 1024;
/// Wants in one datagram.
const WANTS_PER_DATAGRAM: usize = 24;
/// Least pause between two urgent words on what a VM wants.
const URGENT_PAUSE: Duration = Duration::from_millis(10);
/// Least pause between two words on what a VM uses.
const LEAST_USAGE_PAUSE: Duration = Duration::from_millis(40);

#[derive(Debug, Default)]
struct State {
    peers: Peers,
    told: Told,
    runs: BTreeMap<VmId, (Vec<Run>, Instant)>,
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
    pub fn demand(&self) -> BTreeMap<Target, Want> {
        let now = self.gateway.clock.now();
        let mut sums = self.lock().told.sum(now);
        for (target, want) in self.gateway.demand().wants(now) {
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
            .retain(|_, (_, at)| now.saturating_duration_since(*at) < TOUCH_TIME);
        for run in state
            .runs
            .values()
            .flat_map(|(runs, _)| runs)
            .chain(&self.own_runs())
        {
            *sums
                .entry((run.engine.clone(), run.model.clone()))
                .or_default() += run.requests;
        }
        sums
    }

    fn own_runs(&self) -> Vec<Run> {
        let upstreams = self.gateway.upstreams.load();
        let runs = upstreams.iter().flat_map(|(id, upstream)| {
            let runs = upstream.pulse.runs().into_iter();
            runs.map(|(model, requests)| Run {
                engine: id.clone(),
                model,
                requests,
            })
        });
        runs.collect()
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
                Ok(datagram) => self.take(datagram, from),
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
                for want in wants.wants {
                    let (target, want) = read_want(want);
                    state.told.on_want(&wants.vm, target, want, now);
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
            let _woken = tokio::time::timeout(pause - LEAST_USAGE_PAUSE, due).await;
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
        let used = self.gateway.tell_admitted().into_iter();
        let upstreams = self.gateway.upstreams.load();
        let upstreams = upstreams.iter().filter(|(_, u)| u.pulse.running() > 0);
        let lease = self.lock().lease;
        Usage {
            vm: self.gateway.vm.clone(),
            generation: self.generation,
            lease: lease.map(|(epoch, version)| LeaseWord { epoch, version }),
            accounts: used
                .map(|(account, tokens)| AccountUse { account, tokens })
                .collect(),
            upstreams: upstreams
                .map(|(id, u)| UpstreamUse {
                    upstream: id.clone(),
                    requests: u.pulse.running(),
                })
                .collect(),
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
        loop {
            let urged = self.gateway.wants_due.notified();
            // Either wakes it: time, or a request that begins to wait.
            let _woken = tokio::time::timeout(WANTS_PAUSE, urged).await;
            let now = self.gateway.clock.now();
            let leader = {
                let state = self.lock();
                let vm = state.leader.as_ref().map(|(vm, ..)| vm.clone());
                vm.and_then(|vm| state.peers.address(&vm))
            };
            let leads = self.lock().lease.is_some();
            if let Some(at) = leader.filter(|_| !leads) {
                let wants = self.gateway.demand().wants(now);
                let words: Vec<_> = wants.into_iter().map(write_want).collect();
                let mut runs = self.own_runs();
                for chunk in words.chunks(WANTS_PER_DATAGRAM) {
                    let datagram = Datagram::Wants(Wants {
                        vm: self.gateway.vm.clone(),
                        wants: chunk.to_vec(),
                        runs: std::mem::take(&mut runs),
                    });
                    self.send(&datagram, at).await;
                }
            }
            tokio::time::sleep(URGENT_PAUSE).await;
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
        if let Err(e) = self.socket.send_to(bytes, to).await {
            debug!(self.gateway.log, "datagram_unsent"; "to" => %to, "error" => %e);
        }
    }
}

fn take_words(gateway: &Gateway, words: &[HoldWord]) {
    gateway.with_fleet(|fleet, now| {
        for word in words {
            let adapter = word.adapter.as_ref();
            fleet.on_word(&word.engine, &word.model, adapter, word.present, now);
        }
    });
}

fn read_want(word: WantWord) -> (Target, Want) {
    let target = Target {
        model: word.model,
        adapter: word.adapter,
    };
    let want = Want {
        rate: word.rate,
        waiting: word.waiting,
    };
    (target, want)
}

fn write_want((target, want): (Target, Want)) -> WantWord {
    WantWord {
        model: target.model,
        adapter: target.adapter,
        rate: want.rate,
        waiting: want.waiting,
    }
}
