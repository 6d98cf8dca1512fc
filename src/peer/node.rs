//! The running peer node.
//!
//! The node accepts links, dials VMs on demand, and sends a digest to a few VMs in each round. It
//! passes each received frame to the handler that is set for its kind; digests are merged into the
//! membership first. Locks are held only for short computations; the snapshot of the members is
//! read without a lock.

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
    /// Handles a frame. If it returns a frame, that is sent to `from` as the response.
    fn on_frame(&self, from: &VmId, frame: Frame) -> Option<Frame>;
}

/// State of this VM that it reports in digests.
pub trait LocalState: Send + Sync + Debug {
    /// Revision of the active configuration.
    fn revision(&self) -> Revision;

    /// Time since this VM itself last received a response from the store.
    fn store_age(&self) -> Duration;

    /// Requests in flight from this VM and leaving flag, for each upstream.
    fn upstream_loads(&self) -> Vec<UpstreamDigest>;
}

/// Identity and settings of a node.
#[derive(Clone, Debug)]
pub struct NodeOptions {
    /// Name of this VM.
    pub vm: VmId,
    /// Generation of this VM; must increase with each start.
    pub generation: Generation,
    /// Data centre of this VM.
    pub centre: DataCentre,
    /// Address to listen on; with port 0 the kernel chooses a port.
    pub listen: SocketAddr,
    /// Limits, intervals and timeouts.
    pub settings: PeerSettings,
    /// Seed of the random choice of partners.
    pub seed: u64,
}

/// Why a node could not start.
#[derive(Debug, Error)]
pub enum BindError {
    /// The node could not listen on the address.
    #[error("cannot listen for peers")]
    Listen(#[from] io::Error),
    /// The metrics could not be created.
    #[error("cannot create the metrics")]
    Metrics(#[from] prometheus::Error),
}

/// Why a frame was not sent.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum SendError {
    /// No address is known for the VM.
    #[error("no address is known for this VM")]
    NoAddress,
    /// The VM could not be reached recently, and the next attempt to connect is not due yet.
    #[error("the VM is unreachable")]
    Unreachable,
    /// The link's queue is full.
    #[error("the link's queue is full")]
    Full,
    /// The link was closed.
    #[error("the link was closed")]
    Closed,
    /// The frame could not be encoded or is too large.
    #[error(transparent)]
    Frame(#[from] FrameError),
}

/// A running node; dropping it closes its links.
#[derive(Debug)]
pub struct PeerNode {
    inner: Arc<Inner>,
    stop: watch::Sender<bool>,
    local: SocketAddr,
}

impl PeerNode {
    /// Starts to listen and to send digests.
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
        tokio::spawn(Arc::clone(&inner).run_rounds());
        Ok(Self { inner, stop, local })
    }

    /// The address this node listens on.
    pub fn local_addr(&self) -> SocketAddr {
        self.local
    }

    /// Sets the handler for a kind of frame. Frames without a handler are counted and dropped. The
    /// handler for `Hello` gets the `Hello` of each link that opens.
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

    /// Queues a frame, opening a link if there is none. Does not wait. A frame that cannot be
    /// queued is counted as dropped.
    pub fn send(&self, to: &VmId, frame: &Frame) -> Result<(), SendError> {
        self.inner.send(to, frame)
    }

    /// Queues a frame, waiting up to `wait` for space in the link's queue.
    pub async fn send_timeout(
        &self,
        to: &VmId,
        frame: &Frame,
        wait: Duration,
    ) -> Result<(), SendError> {
        self.inner.send_timeout(to, frame, wait).await
    }

    /// Merges an instance list of the platform into the membership.
    pub fn apply_list(&self, list: &InstanceList) {
        let newly_leaving = self.inner.with_membership(|m, now| m.apply_list(list, now));
        self.inner.publish_members();
        if newly_leaving {
            self.inner.send_urgent(None);
        }
    }

    /// Records that an upstream announced that it is leaving, and reports it to peers.
    pub fn mark_upstream_leaving(&self, upstream: &UpstreamId, generation: Generation) {
        let newly_leaving = self
            .inner
            .with_membership(|m, now| m.mark_upstream_leaving(upstream, generation, now));
        if newly_leaving {
            self.inner.publish_members();
            self.inner.send_urgent(None);
        }
    }

    /// Connectivity of this VM to the store and to peers.
    pub fn connectivity(&self) -> Connectivity {
        self.inner.connectivity.load()
    }

    /// The present snapshot of the other VMs and of leaving upstreams.
    pub fn members(&self) -> Arc<Members> {
        self.inner.members.load_full()
    }

    /// Sends a digest to peers at once, after a change of [`LocalState`] such as a newer revision.
    /// `except` is the VM that the change came from.
    pub fn announce(&self, except: Option<&VmId>) {
        self.inner.send_urgent(except);
    }

    /// Sends the present [`LocalState`] to one peer.
    pub fn send_state(&self, to: &VmId) {
        let digest = self.inner.local_snapshot().to_digest();
        self.inner.send_digest(std::slice::from_ref(to), digest);
    }

    /// Reports that this VM is shutting down, at once and in all later digests.
    pub fn announce_leaving(&self) {
        self.inner.leaving.store(true, Ordering::Relaxed);
        self.inner.send_urgent(None);
    }

    /// Counters of the links.
    pub fn metrics(&self) -> &PeerMetrics {
        &self.inner.metrics
    }

    /// Count of VMs with an open link.
    pub fn open_links(&self) -> usize {
        lock(&self.inner.links).open_count()
    }
}

impl Drop for PeerNode {
    fn drop(&mut self) {
        self.stop.send_replace(true);
    }
}
