//! The running peer node.
//!
//! Accepts links, dials on demand, and tells a few VMs a digest in each round. Frames of each kind
//! go to the handler set for it; digests first reach the membership. Locks are held for short
//! computations alone; readers of the members take a snapshot without one.

use std::collections::BTreeMap;
use std::fmt::Debug;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use thiserror::Error;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};
use tokio::time::{MissedTickBehavior, interval, timeout};

use crate::clock::Clock;
use crate::ids::{DataCentre, Generation, Revision, UpstreamId, VmId};
use crate::peer::contact::{Contact, ContactCell, ContactTracker};
use crate::peer::digest::{self, MAX_DIGEST_BYTES, Own};
use crate::peer::frame::{self, FrameError, Kind, PROTOCOL};
use crate::peer::gossip::Gossip;
use crate::peer::link::{Gauge, Limits, Link, LinkError};
use crate::peer::membership::{Members, Membership};
use crate::peer::metrics::PeerMetrics;
use crate::peer::registry::{LinkId, Links, Queue};
use crate::platform::InstanceList;
use crate::schema::peer::{Digest, Frame, Hello, UpstreamDigest};
use crate::schema::settings::PeerSettings;

/// Connections that greet at the same time.
const MAX_GREETING: usize = 256;

/// Handles frames of one kind. Called on a link's task, so it must not block.
pub trait FrameHandler: Send + Sync + Debug {
    /// Handles a frame; an answer goes back to the VM it came from.
    fn on_frame(&self, from: &VmId, frame: Frame) -> Option<Frame>;
}

/// What this VM tells of itself.
pub trait LocalState: Send + Sync + Debug {
    /// The revision in force.
    fn revision(&self) -> Revision;

    /// Time since this VM itself heard the store.
    fn heard(&self) -> Duration;

    /// Requests in flight from this VM, by upstream.
    fn upstreams(&self) -> Vec<UpstreamDigest>;
}

/// Who this VM is among its peers.
#[derive(Clone, Debug)]
pub struct NodeOptions {
    /// Its name.
    pub vm: VmId,
    /// Its incarnation; must grow with each start.
    pub generation: Generation,
    /// Its data centre.
    pub centre: DataCentre,
    /// Where to listen; port 0 leaves the choice to the kernel.
    pub listen: SocketAddr,
    /// Bounds and pauses.
    pub settings: PeerSettings,
    /// Seed of the random choices.
    pub seed: u64,
}

/// Why a node could not start.
#[derive(Debug, Error)]
pub enum BindError {
    /// The address could not be bound.
    #[error("cannot listen for peers")]
    Listen(#[from] io::Error),
    /// The counters could not be made.
    #[error("cannot make the counters")]
    Metrics(#[from] prometheus::Error),
}

/// Why a frame was not sent.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum SendError {
    /// No address is known for the VM.
    #[error("no address is known for this VM")]
    NoAddress,
    /// The VM could not be reached a moment ago.
    #[error("the VM cannot be reached")]
    Unreachable,
    /// The link's queue is full.
    #[error("the link's queue is full")]
    Full,
    /// The link ended.
    #[error("the link ended")]
    Closed,
    /// The frame cannot be sent.
    #[error(transparent)]
    Frame(#[from] FrameError),
}

/// A running node; dropping it ends its links.
#[derive(Debug)]
pub struct PeerNode {
    inner: Arc<Inner>,
    stop: watch::Sender<bool>,
    local: SocketAddr,
}

impl PeerNode {
    /// Listens, and starts telling.
    pub async fn bind(
        options: NodeOptions,
        clock: Arc<dyn Clock>,
        state: Arc<dyn LocalState>,
    ) -> Result<Self, BindError> {
        let listener = TcpListener::bind(options.listen).await?;
        let local = listener.local_addr()?;
        let (stop, stopped) = watch::channel(false);
        let inner = Arc::new(Inner::open(options, clock, state, stopped)?);
        tokio::spawn(Arc::clone(&inner).accept_all(listener));
        tokio::spawn(Arc::clone(&inner).tell_all());
        Ok(Self { inner, stop, local })
    }

    /// The address this node listens on.
    pub fn local_addr(&self) -> SocketAddr {
        self.local
    }

    /// Sets the handler of a kind; a frame without one is counted and dropped. The handler of
    /// `Hello` sees the greeting of each link that opens.
    pub fn handle<H>(&self, kind: Kind, handler: Arc<H>)
    where
        H: FrameHandler + 'static,
    {
        let handler: Arc<dyn FrameHandler> = handler;
        self.inner.handlers.rcu(|old| {
            let mut handlers = BTreeMap::clone(old);
            handlers.insert(kind, Arc::clone(&handler));
            handlers
        });
    }

    /// Queues a frame, opening a link if there is none. Never waits; a frame that is not sent is
    /// counted as dropped.
    pub fn send(&self, to: &VmId, frame: &Frame) -> Result<(), SendError> {
        self.inner.send(to, frame)
    }

    /// Queues a frame, waiting up to `wait` for room in the link's queue.
    pub async fn send_paced(
        &self,
        to: &VmId,
        frame: &Frame,
        wait: Duration,
    ) -> Result<(), SendError> {
        self.inner.send_paced(to, frame, wait).await
    }

    /// Joins a list of the platform.
    pub fn observe(&self, list: &InstanceList) {
        let news = self.inner.with_members(|m, now| m.list(list, now));
        self.inner.publish();
        if news {
            self.inner.tell_news(None);
        }
    }

    /// Spreads that an upstream itself said it takes no new work.
    pub fn upstream_leaves(&self, upstream: &UpstreamId, generation: Generation) {
        let news = self
            .inner
            .with_members(|m, now| m.upstream_leaves(upstream, generation, now));
        if news {
            self.inner.publish();
            self.inner.tell_news(None);
        }
    }

    /// Whether this VM is in touch with the store, with peers or with nobody.
    pub fn contact(&self) -> Contact {
        self.inner.contact.load()
    }

    /// The other VMs, as held now.
    pub fn live(&self) -> Arc<Members> {
        self.inner.members.load_full()
    }

    /// Tells peers at once of a newer revision or another change of [`LocalState`].
    pub fn announce(&self, except: Option<&VmId>) {
        self.inner.tell_news(except);
    }

    /// Tells one peer what [`LocalState`] says now.
    pub fn hint(&self, to: &VmId) {
        let digest = self.inner.own().bare();
        self.inner.tell(std::slice::from_ref(to), digest);
    }

    /// Says, now and from now on, that this VM shuts down.
    pub fn leave(&self) {
        self.inner.leaving.store(true, Ordering::Relaxed);
        self.inner.tell_news(None);
    }

    /// The counters.
    pub fn metrics(&self) -> &PeerMetrics {
        &self.inner.metrics
    }

    /// Count of VMs with a link now.
    pub fn links(&self) -> usize {
        lock(&self.inner.links).len()
    }
}

impl Drop for PeerNode {
    fn drop(&mut self) {
        self.stop.send_replace(true);
    }
}

type Handlers = BTreeMap<Kind, Arc<dyn FrameHandler>>;

#[derive(Debug)]
struct Inner {
    options: NodeOptions,
    limits: Limits,
    clock: Arc<dyn Clock>,
    state: Arc<dyn LocalState>,
    metrics: PeerMetrics,
    membership: Mutex<Membership>,
    gossip: Mutex<Gossip>,
    links: Mutex<Links>,
    members: ArcSwap<Members>,
    handlers: ArcSwap<Handlers>,
    touch: Mutex<ContactTracker>,
    contact: ContactCell,
    leaving: AtomicBool,
    stopped: watch::Receiver<bool>,
}

impl Inner {
    fn open(
        options: NodeOptions,
        clock: Arc<dyn Clock>,
        state: Arc<dyn LocalState>,
        stopped: watch::Receiver<bool>,
    ) -> Result<Self, BindError> {
        let limits = Limits::from(&options.settings);
        let fanout = options.settings.fanout as usize;
        let gossip = Gossip::open(options.centre.clone(), fanout, options.seed);
        let membership = Membership::open(options.vm.clone(), limits.silence);
        let alone = Duration::from_millis(options.settings.alone);
        let touch = ContactTracker::open(alone, clock.now());
        Ok(Self {
            options,
            limits,
            clock,
            state,
            metrics: PeerMetrics::open()?,
            membership: Mutex::new(membership),
            gossip: Mutex::new(gossip),
            links: Mutex::default(),
            members: ArcSwap::default(),
            handlers: ArcSwap::default(),
            touch: Mutex::new(touch),
            contact: ContactCell::default(),
            leaving: AtomicBool::new(false),
            stopped,
        })
    }

    fn with_members<F, T>(&self, work: F) -> T
    where
        F: FnOnce(&mut Membership, Instant) -> T,
    {
        work(&mut lock(&self.membership), self.clock.now())
    }

    fn publish(&self) {
        let members = self.with_members(|m, now| m.members(now));
        if **self.members.load() != members {
            self.members.store(Arc::new(members));
        }
    }

    fn hello(&self) -> Hello {
        Hello {
            protocol: PROTOCOL,
            vm: self.options.vm.clone(),
            generation: self.options.generation,
            centre: self.options.centre.clone(),
            revision: self.state.revision(),
        }
    }

    fn own(&self) -> Own {
        Own {
            vm: self.options.vm.clone(),
            generation: self.options.generation,
            revision: self.state.revision(),
            heard: self.state.heard(),
            leaving: self.leaving.load(Ordering::Relaxed),
        }
    }

    async fn stop(&self) {
        let mut stopped = self.stopped.clone();
        // An error says that the node was dropped.
        let _ = stopped.wait_for(|stop| *stop).await;
    }

    // Links.

    async fn accept_all(self: Arc<Self>, listener: TcpListener) {
        let greeting = Arc::new(Semaphore::new(MAX_GREETING));
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                () = self.stop() => return,
            };
            let Ok((stream, _)) = accepted else {
                // Out of descriptors: leave the system time to free some.
                tokio::time::sleep(self.limits.ping).await;
                continue;
            };
            let Ok(permit) = Arc::clone(&greeting).try_acquire_owned() else {
                self.metrics.rejected.inc();
                continue;
            };
            let inner = Arc::clone(&self);
            tokio::spawn(async move {
                let link = inner.greet(stream).await;
                drop(permit);
                if let Some(link) = link {
                    let vm = link.theirs.vm.clone();
                    let (id, queue) = lock(&inner.links).add(&vm);
                    inner.carry(&vm, id, queue, link).await;
                }
            });
        }
    }

    async fn greet(&self, stream: TcpStream) -> Option<Link> {
        let gauge = Gauge::open(Arc::clone(&self.clock), self.metrics.clone());
        let hello = self.hello();
        match Link::accept(stream, &hello, self.limits, gauge).await {
            Ok(link) if link.theirs.vm != self.options.vm => Some(link),
            Ok(_) => {
                self.metrics.rejected.inc();
                None
            }
            Err(error) => {
                self.count_end(&error);
                None
            }
        }
    }

    fn dial(self: &Arc<Self>, vm: &VmId, address: SocketAddr, id: LinkId, queue: Queue) {
        let inner = Arc::clone(self);
        let vm = vm.clone();
        tokio::spawn(async move {
            let gauge = Gauge::open(Arc::clone(&inner.clock), inner.metrics.clone());
            let hello = inner.hello();
            let dialled = tokio::select! {
                dialled = Link::dial(address, &hello, inner.limits, gauge) => dialled,
                () = inner.stop() => Err(LinkError::Stopped),
            };
            match dialled {
                Ok(link) if link.theirs.vm == vm => inner.carry(&vm, id, queue, link).await,
                Ok(_) => inner.unreached(&vm, id, queue, &LinkError::WrongVm),
                Err(error) => inner.unreached(&vm, id, queue, &error),
            }
        });
    }

    fn unreached(&self, vm: &VmId, id: LinkId, queue: Queue, error: &LinkError) {
        self.count_end(error);
        self.metrics.unreachable.inc();
        let now = self.clock.now();
        let mut links = lock(&self.links);
        let in_use = links.remove(vm, id);
        if in_use {
            links.failed(vm, self.limits.ping, self.limits.silence, now);
        }
        drop(links);
        self.drop_queue(queue);
        // An older or newer link with the VM may be up.
        if in_use {
            self.with_members(|m, now| m.lost(vm, now));
            self.publish();
        }
    }

    async fn carry(self: &Arc<Self>, vm: &VmId, id: LinkId, mut queue: Queue, link: Link) {
        self.opened(vm, id, &link);
        let generation = link.theirs.generation;
        let gauge = Arc::clone(&link.gauge);
        let on_frame = |frame| self.on_frame(vm, generation, frame);
        let end = tokio::select! {
            end = link.run(&mut queue, on_frame) => end,
            () = self.stop() => LinkError::Stopped,
        };
        self.drop_queue(queue);
        self.ended(vm, id, &gauge, &end);
    }

    fn opened(self: &Arc<Self>, vm: &VmId, id: LinkId, link: &Link) {
        let theirs = &link.theirs;
        self.metrics.opened.inc();
        if lock(&self.links).opened(vm, id, &link.gauge) {
            self.metrics.replaced.inc();
        }
        self.with_members(|m, now| {
            m.heard(vm, theirs.generation, now);
            m.placed(vm, &theirs.centre, now);
        });
        self.publish();
        self.dispatch(vm, Frame::Hello(theirs.clone()));
    }

    fn ended(self: &Arc<Self>, vm: &VmId, id: LinkId, gauge: &Gauge, end: &LinkError) {
        self.count_end(end);
        let limits = self.limits;
        let mut links = lock(&self.links);
        let in_use = links.remove(vm, id);
        if in_use && end.is_break() {
            links.broke(vm);
        }
        if in_use && gauge.life() < limits.ping {
            links.failed(vm, limits.ping, limits.silence, self.clock.now());
        }
        drop(links);
        if !in_use || !end.is_break() {
            return;
        }
        self.with_members(|m, now| m.lost(vm, now));
        self.publish();
        // The VM may be well and only this connection dead.
        let _ = self.link_to(vm);
    }

    fn count_end(&self, end: &LinkError) {
        if matches!(end, LinkError::Silent | LinkError::Stuck) {
            self.metrics.silent.inc();
        }
        if end.is_rejection() {
            self.metrics.rejected.inc();
        }
    }

    fn drop_queue(&self, mut queue: Queue) {
        queue.close();
        while queue.try_recv().is_ok() {
            self.metrics.dropped.inc();
        }
    }

    fn link_to(
        self: &Arc<Self>,
        vm: &VmId,
    ) -> Result<tokio::sync::mpsc::Sender<bytes::Bytes>, SendError> {
        let members = self.members.load();
        let address = members.vms.get(vm).and_then(|m| m.address);
        let mut links = lock(&self.links);
        if let Some(queue) = links.queue(vm) {
            return Ok(queue);
        }
        if links.is_paused(vm, self.clock.now()) {
            return Err(SendError::Unreachable);
        }
        let address = address.ok_or(SendError::NoAddress)?;
        let (id, receiver) = links.add(vm);
        let queue = links.queue(vm).ok_or(SendError::Closed)?;
        drop(links);
        self.dial(vm, address, id, receiver);
        Ok(queue)
    }

    // Frames.

    fn send(self: &Arc<Self>, to: &VmId, frame: &Frame) -> Result<(), SendError> {
        let sent = self.try_send(to, frame);
        if sent.is_err() {
            self.metrics.dropped.inc();
        }
        sent
    }

    fn try_send(self: &Arc<Self>, to: &VmId, frame: &Frame) -> Result<(), SendError> {
        use tokio::sync::mpsc::error::TrySendError;
        let bytes = frame::encode(frame, self.limits.frame)?;
        self.link_to(to)?.try_send(bytes).map_err(|e| match e {
            TrySendError::Full(_) => SendError::Full,
            TrySendError::Closed(_) => SendError::Closed,
        })
    }

    async fn send_paced(
        self: &Arc<Self>,
        to: &VmId,
        frame: &Frame,
        wait: Duration,
    ) -> Result<(), SendError> {
        let bytes = frame::encode(frame, self.limits.frame)?;
        let queue = self.link_to(to)?;
        match timeout(wait, queue.send(bytes)).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) => Err(SendError::Closed),
            Err(_) => Err(SendError::Full),
        }
    }

    fn on_frame(self: &Arc<Self>, from: &VmId, generation: Generation, frame: Frame) {
        if let Frame::Digest(digest) = &frame {
            self.on_digest(from, digest);
        } else {
            self.with_members(|m, now| m.heard(from, generation, now));
        }
        self.dispatch(from, frame);
    }

    fn dispatch(self: &Arc<Self>, from: &VmId, frame: Frame) {
        let kind = Kind::of(&frame);
        let handler = self.handlers.load().get(&kind).cloned();
        let Some(handler) = handler else {
            if !matches!(kind, Kind::Hello | Kind::Digest) {
                self.metrics.unhandled.inc();
            }
            return;
        };
        if let Some(answer) = handler.on_frame(from, frame) {
            // A failure is counted by `send`; the asker repeats its ask.
            let _ = self.send(from, &answer);
        }
    }

    fn on_digest(self: &Arc<Self>, from: &VmId, digest: &Digest) {
        if digest.vm != *from {
            self.metrics.rejected.inc();
            return;
        }
        lock(&self.gossip).follow(from);
        let heard = Duration::from_millis(digest.heard);
        lock(&self.touch).store_by_peer(heard, self.clock.now());
        let news = self.with_members(|m, now| m.digest(digest, now));
        if news {
            self.publish();
            self.tell_news(Some(from));
        }
    }

    // Rounds.

    async fn tell_all(self: Arc<Self>) {
        let pause = Duration::from_millis(self.options.settings.digest);
        let mut rounds = interval(pause);
        rounds.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut turn = 0;
        loop {
            tokio::select! {
                _ = rounds.tick() => turn = self.tell_round(turn),
                () = self.stop() => return,
            }
        }
    }

    // Returns where the next round continues among the upstreams.
    fn tell_round(self: &Arc<Self>, turn: usize) -> usize {
        self.publish();
        let members = self.members.load_full();
        self.check_contact(&members);
        lock(&self.links).forget(|vm| members.vms.contains_key(vm));
        let targets = lock(&self.gossip).round(&members);
        let digest = self.digest(turn);
        let told = digest.upstreams.len();
        self.tell(&targets, digest);
        turn + told
    }

    fn check_contact(&self, members: &Members) {
        let now = self.clock.now();
        let silence = lock(&self.links).silence();
        let mut touch = lock(&self.touch);
        if let Some(silence) = silence {
            touch.peer(silence, now);
        }
        let has_peers = !members.vms.is_empty();
        self.contact
            .store(touch.contact(self.state.heard(), has_peers, now));
    }

    fn tell_news(self: &Arc<Self>, except: Option<&VmId>) {
        let members = self.members.load_full();
        let targets = lock(&self.gossip).news(&members, except);
        let digest = self.digest(0);
        self.metrics.told.inc_by(targets.len() as u64);
        self.tell(&targets, digest);
    }

    fn tell(self: &Arc<Self>, targets: &[VmId], digest: Digest) {
        let frame = Frame::Digest(digest);
        for vm in targets {
            // A failure is counted by `send`; the next round tells others.
            let _ = self.send(vm, &frame);
        }
    }

    fn digest(&self, turn: usize) -> Digest {
        let loads = self.state.upstreams();
        let bare = self.own().bare();
        self.with_members(|membership, now| {
            let rumours = membership.rumours(now);
            let leaving = membership.upstream_rumours();
            let upstreams = digest::upstream_entries(leaving, &loads, turn);
            let digest = digest::fill(bare, rumours, upstreams, MAX_DIGEST_BYTES);
            let vms = digest.members.iter().map(|m| &m.vm);
            let upstreams = digest.upstreams.iter().map(|u| &u.upstream);
            membership.told(vms, upstreams, now);
            digest
        })
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
