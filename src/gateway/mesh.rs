//! Datagrams between VMs: what each uses, what it wants loaded, and what the VM that gives orders
//! has done.
//!
//! Everything told is soft and told again soon, so a lost datagram costs little, and no connection
//! can go silent. VMs find each other by their registrations in the platform's store; a VM that is
//! heard from is known from then on.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use slog::{debug, info, warn};
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::task::JoinHandle;

use crate::ids::{Epoch, Generation, ModelId, UpstreamId, Version, VmId};
use crate::schema::mesh::{
    AccountUse, Datagram, HoldWord, LeaseWord, Notice, Run, UpstreamUse, Usage, Want as WantWord,
    Wants,
};
use crate::units::Tokens;

use super::call::Target;
use super::demand::{Told, Want};
use super::state::Gateway;

/// Pause between words on what a VM uses, among few VMs and at most.
const USAGE_PAUSE: Duration = Duration::from_millis(200);
const MAX_USAGE_PAUSE: Duration = Duration::from_millis(1200);
/// Above this many VMs each one tells less often, so that what all of them tell grows with their
/// number and not with its square.
const FEW_VMS: u32 = 12;
/// Words missed before a VM is out of touch.
const MISSED_WORDS: u32 = 3;
/// Pause between words on what a VM wants; one that begins to wait is told at once.
const WANTS_PAUSE: Duration = Duration::from_millis(250);
/// A VM not heard for this long is out of touch, at least.
const TOUCH_TIME: Duration = Duration::from_secs(1);
/// A VM not heard for this long is gone for good.
const GONE_TIME: Duration = Duration::from_secs(12);
/// Greatest datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 16 * 1024;
/// Wants in one datagram.
const WANTS_PER_DATAGRAM: usize = 24;
/// Least pause between two urgent words.
const URGENT_PAUSE: Duration = Duration::from_millis(10);

#[derive(Debug)]
struct Peer {
    at: SocketAddr,
    heard: Option<Instant>,
    known: Instant,
    generation: Option<Generation>,
    used: BTreeMap<crate::ids::ClientAccount, Tokens>,
    upstreams: BTreeMap<UpstreamId, u32>,
}

#[derive(Debug, Default)]
struct State {
    peers: BTreeMap<VmId, Peer>,
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
    /// Told when the others should hear from this VM at once.
    usage_due: Notify,
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
            usage_due: Notify::new(),
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
                let peer = state.peers.entry(vm).or_insert_with(|| Peer::new(at, now));
                if peer.heard.is_none() {
                    peer.at = at;
                    peer.known = now;
                }
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
            self.usage_due.notify_one();
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
        if let Some(lease) = usage.lease {
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
        let new = !state.peers.contains_key(&usage.vm);
        let peer = state.peers.entry(usage.vm.clone());
        let peer = peer.or_insert_with(|| Peer::new(from, now));
        peer.at = from;
        peer.heard = Some(now);
        let first = peer.generation.is_none();
        if peer.generation != Some(usage.generation) {
            // A VM that started anew counts from nothing.
            peer.used.clear();
        }
        peer.generation = Some(usage.generation);
        let mut spent = Vec::new();
        for AccountUse { account, tokens } in usage.accounts {
            // What was used before this VM was heard at all is not taken off.
            let start = if first { tokens } else { Tokens::ZERO };
            let before = peer.used.insert(account.clone(), tokens).unwrap_or(start);
            spent.push((account, tokens.0.cast_signed() - before.0.cast_signed()));
        }
        peer.upstreams = usage
            .upstreams
            .into_iter()
            .map(|u| (u.upstream, u.requests))
            .collect();
        let sums = state.upstream_sums(now);
        drop(state);
        if new {
            info!(self.gateway.log, "vm_heard"; "peer" => %usage.vm);
        }
        for (account, tokens) in spent {
            self.gateway.take_elsewhere(&account, tokens);
        }
        for (id, upstream) in self.gateway.upstreams.load().iter() {
            upstream
                .pulse
                .tell_elsewhere(sums.get(id).copied().unwrap_or_default());
        }
    }

    async fn tell_usage(self: Arc<Self>) {
        loop {
            let datagram = Datagram::Usage(self.usage());
            self.send_all(&datagram).await;
            self.set_part();
            // Either wakes it: time, or news that the others should hear at once.
            let _woken = tokio::time::timeout(self.pause(), self.usage_due.notified()).await;
        }
    }

    /// Pause between words on what this VM uses; the giver of orders is taken for gone when it is
    /// not heard.
    fn pause(&self) -> Duration {
        let state = self.lock();
        if state.lease.is_some() {
            return USAGE_PAUSE;
        }
        state.pause()
    }

    fn usage(&self) -> Usage {
        let used = self.gateway.admitted().into_iter();
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

    /// The part of the rates that this VM may fill levels with: its own and those of the VMs in
    /// touch, for the others may be spending theirs unheard.
    fn set_part(&self) {
        let now = self.gateway.clock.now();
        let mut state = self.lock();
        state
            .peers
            .retain(|_, peer| now.saturating_duration_since(peer.last()) < GONE_TIME);
        let touch = state.touch();
        let heard = state
            .peers
            .values()
            .filter(|peer| peer.touched(now, touch))
            .count();
        let all = state.peers.len();
        drop(state);
        self.gateway.set_part((heard + 1) as f64 / (all + 1) as f64);
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
                vm.and_then(|vm| state.peers.get(&vm).map(|peer| peer.at))
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
        let peers: Vec<_> = self.lock().peers.values().map(|peer| peer.at).collect();
        for at in peers {
            self.send(datagram, at).await;
        }
    }

    async fn send(&self, datagram: &Datagram, to: SocketAddr) {
        let mut bytes = Vec::new();
        if let Err(e) = ciborium::into_writer(datagram, &mut bytes) {
            warn!(self.gateway.log, "datagram_unwritable"; "error" => %e);
            return;
        }
        if let Err(e) = self.socket.send_to(&bytes, to).await {
            debug!(self.gateway.log, "datagram_unsent"; "to" => %to, "error" => %e);
        }
    }
}

impl Peer {
    fn new(at: SocketAddr, now: Instant) -> Self {
        Self {
            at,
            heard: None,
            known: now,
            generation: None,
            used: BTreeMap::new(),
            upstreams: BTreeMap::new(),
        }
    }

    fn last(&self) -> Instant {
        self.heard.unwrap_or(self.known)
    }

    fn touched(&self, now: Instant, touch: Duration) -> bool {
        let heard = self.heard;
        heard.is_some_and(|at| now.saturating_duration_since(at) < touch)
    }
}

impl State {
    /// Pause between words on what a VM uses.
    fn pause(&self) -> Duration {
        let vms = u32::try_from(self.peers.len() + 1).unwrap_or(u32::MAX);
        let pause = USAGE_PAUSE.saturating_mul(vms) / FEW_VMS;
        pause.clamp(USAGE_PAUSE, MAX_USAGE_PAUSE)
    }

    /// A VM not heard for this long is out of touch.
    fn touch(&self) -> Duration {
        TOUCH_TIME.max(self.pause() * MISSED_WORDS)
    }

    fn upstream_sums(&self, now: Instant) -> BTreeMap<UpstreamId, u32> {
        let mut sums = BTreeMap::new();
        let touch = self.touch();
        for peer in self.peers.values().filter(|peer| peer.touched(now, touch)) {
            for (id, requests) in &peer.upstreams {
                *sums.entry(id.clone()).or_default() += requests;
            }
        }
        sums
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
