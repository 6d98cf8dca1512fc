//! Table of the links in use, at most one to each VM, and of VMs that could not be reached.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use tokio::sync::mpsc;

use crate::ids::VmId;
use crate::peer::link::QUEUE_FRAMES;
use crate::peer::meter::LinkActivity;

/// Number of a link, which differs between successive links to the same VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct LinkId(u64);

/// Receiving end of the queue of frames to send on a link.
pub(super) type FrameReceiver = mpsc::Receiver<Bytes>;

#[derive(Debug)]
struct LinkEntry {
    id: LinkId,
    queue: mpsc::Sender<Bytes>,
    /// Present once both sides have sent `Hello`.
    activity: Option<Arc<LinkActivity>>,
}

#[derive(Debug, Default)]
struct Failure {
    /// Present pause between two attempts to connect.
    backoff: Duration,
    /// Earliest time of the next attempt.
    retry_at: Option<Instant>,
    /// Whether an open link broke.
    broken: bool,
}

/// Links by VM, and the backoff of VMs that could not be reached.
#[derive(Debug, Default)]
pub(super) struct Links {
    entries: BTreeMap<VmId, LinkEntry>,
    failures: BTreeMap<VmId, Failure>,
    last_id: u64,
}

impl Links {
    /// Queue of the link to a VM.
    pub(super) fn queue(&self, vm: &VmId) -> Option<mpsc::Sender<Bytes>> {
        self.entries.get(vm).map(|entry| entry.queue.clone())
    }

    /// Adds a link; it replaces an older one to the same VM.
    pub(super) fn add(&mut self, vm: &VmId) -> (LinkId, FrameReceiver) {
        self.last_id += 1;
        let id = LinkId(self.last_id);
        let (queue, receiver) = mpsc::channel(QUEUE_FRAMES);
        let entry = LinkEntry {
            id,
            queue,
            activity: None,
        };
        self.entries.insert(vm.clone(), entry);
        (id, receiver)
    }

    /// Removes a link unless another one replaced it. Returns whether it was removed.
    pub(super) fn remove(&mut self, vm: &VmId, id: LinkId) -> bool {
        let current = self.entries.get(vm).is_some_and(|entry| entry.id == id);
        if current {
            self.entries.remove(vm);
        }
        current
    }

    /// Records that a link opened. Returns whether it replaces one that broke.
    pub(super) fn mark_open(
        &mut self,
        vm: &VmId,
        id: LinkId,
        activity: &Arc<LinkActivity>,
    ) -> bool {
        if let Some(entry) = self.entries.get_mut(vm).filter(|entry| entry.id == id) {
            entry.activity = Some(Arc::clone(activity));
        }
        self.failures.remove(vm).is_some_and(|f| f.broken)
    }

    /// Records that an open link broke.
    pub(super) fn mark_broken(&mut self, vm: &VmId) {
        self.failures.entry(vm.clone()).or_default().broken = true;
    }

    /// Records that a VM could not be reached, and doubles its backoff within the limits `first`
    /// and `longest`.
    pub(super) fn record_failure(
        &mut self,
        vm: &VmId,
        first: Duration,
        longest: Duration,
        now: Instant,
    ) {
        let failure = self.failures.entry(vm.clone()).or_default();
        failure.backoff = (failure.backoff * 2).clamp(first, longest);
        failure.retry_at = Some(now + failure.backoff);
    }

    /// Whether the next attempt to connect to a VM must still wait.
    pub(super) fn in_backoff(&self, vm: &VmId, now: Instant) -> bool {
        let retry_at = self.failures.get(vm).and_then(|f| f.retry_at);
        retry_at.is_some_and(|at| now < at)
    }

    /// Removes the failures of VMs for which `keep` is false.
    pub(super) fn retain_failures<F>(&mut self, keep: F)
    where
        F: Fn(&VmId) -> bool,
    {
        self.failures.retain(|vm, _| keep(vm));
    }

    /// Time since any open link received a byte; `None` without an open link.
    pub(super) fn silence(&self) -> Option<Duration> {
        let open = self
            .entries
            .values()
            .filter_map(|entry| entry.activity.as_ref());
        open.map(|activity| activity.silence()).min()
    }

    /// Count of open links.
    pub(super) fn open_count(&self) -> usize {
        let open = |entry: &&LinkEntry| entry.activity.is_some();
        self.entries.values().filter(open).count()
    }
}
