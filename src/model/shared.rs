//! Admission control behind a lock, with a channel to each waiting request for its result.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::oneshot;

use super::admission::{AdmissionControl, AdmissionOutcome};
use super::queue::Ticket;
use super::{Replica, ReplicaRequest};
use crate::clock::Clock;
use crate::outcome::Refusal;

type AdmissionResult = Result<Vec<Replica>, Refusal>;

#[derive(Debug)]
struct Inner {
    admission: AdmissionControl,
    senders: BTreeMap<Ticket, oneshot::Sender<AdmissionResult>>,
}

/// Admission control shared by requests and the loader.
#[derive(Debug)]
pub(super) struct SharedAdmission {
    inner: Mutex<Inner>,
    clock: Arc<dyn Clock>,
}

impl SharedAdmission {
    pub(super) fn new(admission: AdmissionControl, clock: Arc<dyn Clock>) -> Self {
        let senders = BTreeMap::new();
        Self {
            inner: Mutex::new(Inner { admission, senders }),
            clock,
        }
    }

    /// Queues a request, or refuses it.
    pub(super) fn submit(
        self: &Arc<Self>,
        request: ReplicaRequest,
    ) -> Result<PendingRequest, Refusal> {
        let now = self.clock.now();
        let mut inner = self.lock();
        let ticket = inner.admission.submit(&request, now)?;
        let (sender, receiver) = oneshot::channel();
        inner.senders.insert(ticket, sender);
        let outcomes = inner.admission.grant(&request.model, now);
        inner.deliver(outcomes);
        drop(inner);
        Ok(PendingRequest {
            shared: Arc::clone(self),
            request,
            ticket,
            receiver,
            completed: false,
        })
    }

    /// Frees the slot of a granted request that has ended, and grants the next.
    pub(super) fn release(&self, request: &ReplicaRequest) {
        let now = self.clock.now();
        let mut inner = self.lock();
        inner.admission.release(request, now);
        let outcomes = inner.admission.grant(&request.model, now);
        inner.deliver(outcomes);
    }

    /// Grants requests while slots are free, and refuses those whose deadline cannot be met any
    /// more.
    pub(super) fn tick(&self) {
        let now = self.clock.now();
        let mut inner = self.lock();
        let outcomes = inner.admission.tick(now);
        inner.deliver(outcomes);
    }

    /// Calls `apply` under the lock.
    pub(super) fn with<F, T>(&self, apply: F) -> T
    where
        F: FnOnce(&mut AdmissionControl) -> T,
    {
        apply(&mut self.lock().admission)
    }

    fn cancel(&self, ticket: Ticket) -> bool {
        let mut inner = self.lock();
        inner.senders.remove(&ticket);
        inner.admission.cancel(ticket)
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    fn deliver(&mut self, outcomes: Vec<AdmissionOutcome>) {
        for outcome in outcomes {
            let Some(sender) = self.senders.remove(&outcome.ticket) else {
                continue;
            };
            // A request that is dropped removes its sender first, or finds this result in its
            // channel and frees the slot, so a failed send needs no handling.
            drop(sender.send(outcome.result));
        }
    }
}

/// A queued request; dropping it cancels the request or, if it was granted, frees its slot.
#[derive(Debug)]
pub(super) struct PendingRequest {
    shared: Arc<SharedAdmission>,
    request: ReplicaRequest,
    ticket: Ticket,
    receiver: oneshot::Receiver<AdmissionResult>,
    completed: bool,
}

impl PendingRequest {
    /// Waits until the request is granted or refused; `None` if its sender was dropped.
    pub(super) async fn wait(mut self) -> Option<AdmissionResult> {
        let result = (&mut self.receiver).await.ok();
        self.completed = true;
        result
    }
}

impl Drop for PendingRequest {
    fn drop(&mut self) {
        if self.completed || self.shared.cancel(self.ticket) {
            return;
        }
        if let Ok(Ok(_)) = self.receiver.try_recv() {
            self.shared.release(&self.request);
        }
    }
}
