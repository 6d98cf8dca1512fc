//! The links in use, one a VM.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use tokio::sync::mpsc;

use crate::ids::VmId;
use crate::peer::link::QUEUE_FRAMES;
use crate::peer::meter::Gauge;

/// Tells two links with the same VM apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct LinkId(u64);

/// The receiving end of a link's queue.
pub(super) type Queue = mpsc::Receiver<Bytes>;

#[derive(Debug)]
struct Slot {
    id: LinkId,
    queue: mpsc::Sender<Bytes>,
    open: Option<Arc<Gauge>>,
}

#[derive(Debug, Default)]
struct Failure {
    wait: Duration,
    until: Option<Instant>,
    broken: bool,
}

/// Links by VM, and how long to leave an unreachable VM alone.
#[derive(Debug, Default)]
pub(super) struct Links {
    slots: BTreeMap<VmId, Slot>,
    failures: BTreeMap<VmId, Failure>,
    last: u64,
}

impl Links {
    /// The queue of the link with a VM.
    pub(super) fn queue(&self, vm: &VmId) -> Option<mpsc::Sender<Bytes>> {
        self.slots.get(vm).map(|slot| slot.queue.clone())
    }

    /// Adds a link; it takes the place of an older one with the same VM.
    pub(super) fn add(&mut self, vm: &VmId) -> (LinkId, Queue) {
        self.last += 1;
        let id = LinkId(self.last);
        let (queue, receiver) = mpsc::channel(QUEUE_FRAMES);
        let slot = Slot {
            id,
            queue,
            open: None,
        };
        self.slots.insert(vm.clone(), slot);
        (id, receiver)
    }

    /// Removes a link, unless another took its place. Returns whether it was in use.
    pub(super) fn remove(&mut self, vm: &VmId, id: LinkId) -> bool {
        let current = self.slots.get(vm).is_some_and(|slot| slot.id == id);
        if current {
            self.slots.remove(vm);
        }
        current
    }

    /// Notes that a link opened. Returns whether it replaces one that broke.
    pub(super) fn opened(&mut self, vm: &VmId, id: LinkId, gauge: &Arc<Gauge>) -> bool {
        if let Some(slot) = self.slots.get_mut(vm).filter(|slot| slot.id == id) {
            slot.open = Some(Arc::clone(gauge));
        }
        self.failures.remove(vm).is_some_and(|f| f.broken)
    }

    /// Notes that an open link broke.
    pub(super) fn broke(&mut self, vm: &VmId) {
        self.failures.entry(vm.clone()).or_default().broken = true;
    }

    /// Notes that a VM could not be reached; doubles the pause before the next try.
    pub(super) fn failed(&mut self, vm: &VmId, first: Duration, longest: Duration, now: Instant) {
        let failure = self.failures.entry(vm.clone()).or_default();
        failure.wait = (failure.wait * 2).clamp(first, longest);
        failure.until = Some(now + failure.wait);
    }

    /// Whether a VM is to be left alone for now.
    pub(super) fn is_paused(&self, vm: &VmId, now: Instant) -> bool {
        let until = self.failures.get(vm).and_then(|f| f.until);
        until.is_some_and(|until| now < until)
    }

    /// Forgets failures of VMs for which `keep` is false.
    pub(super) fn forget<F>(&mut self, keep: F)
    where
        F: Fn(&VmId) -> bool,
    {
        self.failures.retain(|vm, _| keep(vm));
    }

    /// Time since any open link heard a byte.
    pub(super) fn silence(&self) -> Option<Duration> {
        let open = self.slots.values().filter_map(|slot| slot.open.as_ref());
        open.map(|gauge| gauge.silence()).min()
    }

    /// Count of open links.
    pub(super) fn count(&self) -> usize {
        let open = |slot: &&Slot| slot.open.is_some();
        self.slots.values().filter(open).count()
    }
}
