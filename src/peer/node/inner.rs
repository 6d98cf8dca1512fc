//! State of a node that its tasks share.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use tokio::sync::watch;

use super::{BindError, FrameHandler, LocalState, NodeOptions};
use crate::clock::Clock;
use crate::peer::connectivity::{AtomicConnectivity, ConnectivityTracker};
use crate::peer::digest::LocalSnapshot;
use crate::peer::frame::{FrameKind, PROTOCOL};
use crate::peer::gossip::Gossip;
use crate::peer::link::LinkLimits;
use crate::peer::membership::{Members, Membership};
use crate::peer::metrics::PeerMetrics;
use crate::peer::registry::Links;
use crate::schema::peer::Hello;

pub(super) type Handlers = BTreeMap<FrameKind, Arc<dyn FrameHandler>>;

#[derive(Debug)]
pub(super) struct Inner {
    pub(super) options: NodeOptions,
    pub(super) limits: LinkLimits,
    pub(super) clock: Arc<dyn Clock>,
    pub(super) state: Arc<dyn LocalState>,
    pub(super) metrics: PeerMetrics,
    pub(super) membership: Mutex<Membership>,
    pub(super) gossip: Mutex<Gossip>,
    pub(super) links: Mutex<Links>,
    pub(super) members: ArcSwap<Members>,
    pub(super) handlers: ArcSwap<Handlers>,
    pub(super) tracker: Mutex<ConnectivityTracker>,
    pub(super) connectivity: AtomicConnectivity,
    pub(super) leaving: AtomicBool,
    pub(super) stopped: watch::Receiver<bool>,
}

impl Inner {
    pub(super) fn open(
        options: NodeOptions,
        clock: Arc<dyn Clock>,
        state: Arc<dyn LocalState>,
        stopped: watch::Receiver<bool>,
    ) -> Result<Self, BindError> {
        let limits = LinkLimits::from(&options.settings);
        let fanout = options.settings.fanout as usize;
        let gossip = Gossip::open(options.centre.clone(), fanout, options.seed);
        let membership = Membership::open(options.vm.clone(), limits.silence);
        let isolation_timeout = Duration::from_millis(options.settings.alone);
        let tracker = ConnectivityTracker::open(isolation_timeout, clock.now());
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
            tracker: Mutex::new(tracker),
            connectivity: AtomicConnectivity::default(),
            leaving: AtomicBool::new(false),
            stopped,
        })
    }

    pub(super) fn with_membership<F, T>(&self, work: F) -> T
    where
        F: FnOnce(&mut Membership, Instant) -> T,
    {
        work(&mut lock(&self.membership), self.clock.now())
    }

    // Replaces the snapshot of the members if it changed.
    pub(super) fn publish_members(&self) {
        let members = self.with_membership(|m, now| m.members(now));
        if **self.members.load() != members {
            self.members.store(Arc::new(members));
        }
    }

    pub(super) fn hello(&self) -> Hello {
        Hello {
            protocol: PROTOCOL,
            vm: self.options.vm.clone(),
            generation: self.options.generation,
            centre: self.options.centre.clone(),
            revision: self.state.revision(),
        }
    }

    pub(super) fn local_snapshot(&self) -> LocalSnapshot {
        LocalSnapshot {
            vm: self.options.vm.clone(),
            generation: self.options.generation,
            revision: self.state.revision(),
            store_age: self.state.store_age(),
            leaving: self.leaving.load(Ordering::Relaxed),
        }
    }

    // Returns once the node was dropped.
    pub(super) async fn wait_stopped(&self) {
        let mut stopped = self.stopped.clone();
        // An error means that the node was dropped, which also stops it.
        let _ = stopped.wait_for(|stop| *stop).await;
    }
}

pub(super) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
