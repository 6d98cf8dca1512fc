//! The running peer node.
//!
//! Accepts links, dials on demand, and tells a few VMs a digest in each round. Frames of each kind
//! go to the handler set for it; digests first reach the membership. Locks are held for short
//! computations alone; readers of the members take a snapshot without one.

mod frames;
mod inner;
mod links;
mod rounds;

use std::collections::BTreeMap;
use std::fmt::Debug;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use thiserror::Error;
use tokio::sync::watch;

use self::inner::{Inner, lock};
use crate::clock::Clock;
use crate::ids::{DataCentre, Generation, Revision, UpstreamId, VmId};
use crate::listen;
use crate::peer::connectivity::Connectivity;
use crate::peer::frame::{FrameError, FrameKind};
use crate::peer::membership::Members;
use crate::peer::metrics::PeerMetrics;
use crate::schema::peer::{Frame, UpstreamDigest};
use crate::schema::settings::PeerSettings;
use crate::store::InstanceList;

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
    fn store_age(&self) -> Duration;

    /// Requests in flight from this VM, by upstream.
    fn upstream_loads(&self) -> Vec<UpstreamDigest>;
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
    pub fn bind(
        options: NodeOptions,
        clock: Arc<dyn Clock>,
        state: Arc<dyn LocalState>,
    ) -> Result<Self, BindError> {
        let listener = listen::bind(options.listen)?;
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
    pub fn set_handler<H>(&self, kind: FrameKind, handler: Arc<H>)
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
    pub async fn send_timeout(
        &self,
        to: &VmId,
        frame: &Frame,
        wait: Duration,
    ) -> Result<(), SendError> {
        self.inner.send_timeout(to, frame, wait).await
    }

    /// Joins a list of the platform.
    pub fn apply_list(&self, list: &InstanceList) {
        let news = self.inner.with_members(|m, now| m.apply_list(list, now));
        self.inner.publish();
        if news {
            self.inner.tell_news(None);
        }
    }

    /// Spreads that an upstream itself said it takes no new work.
    pub fn mark_upstream_leaving(&self, upstream: &UpstreamId, generation: Generation) {
        let news = self
            .inner
            .with_members(|m, now| m.mark_upstream_leaving(upstream, generation, now));
        if news {
            self.inner.publish();
            self.inner.tell_news(None);
        }
    }

    /// Whether this VM is in touch with the store, with peers or with nobody.
    pub fn connectivity(&self) -> Connectivity {
        self.inner.connectivity.load()
    }

    /// The other VMs, as held now.
    pub fn members(&self) -> Arc<Members> {
        self.inner.members.load_full()
    }

    /// Tells peers at once of a newer revision or another change of [`LocalState`].
    pub fn announce(&self, except: Option<&VmId>) {
        self.inner.tell_news(except);
    }

    /// Tells one peer what [`LocalState`] says now.
    pub fn send_state(&self, to: &VmId) {
        let digest = self.inner.local_snapshot().to_digest();
        self.inner.tell(std::slice::from_ref(to), digest);
    }

    /// Says, now and from now on, that this VM shuts down.
    pub fn announce_leaving(&self) {
        self.inner.leaving.store(true, Ordering::Relaxed);
        self.inner.tell_news(None);
    }

    /// The counters.
    pub fn metrics(&self) -> &PeerMetrics {
        &self.inner.metrics
    }

    /// Count of VMs with an open link.
    pub fn open_links(&self) -> usize {
        lock(&self.inner.links).count()
    }
}

impl Drop for PeerNode {
    fn drop(&mut self) {
        self.stop.send_replace(true);
    }
}
