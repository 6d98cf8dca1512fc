//! Admission control behind a lock, with a channel for the answer of each waiting request.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::oneshot;

use super::admission::{AdmissionControl, AdmissionOutcome};
use super::queue::Ticket;
use super::{Replica, ReplicaRequest};
use crate::clock::Clock;
use crate::outcome::Refusal;

type Reply = Result<Vec<Replica>, Refusal>;

#[derive(Debug)]
struct Inner {
    desk: AdmissionControl,
    replies: BTreeMap<Ticket, oneshot::Sender<Reply>>,
}

/// Admission control shared by requests and the loader.
#[derive(Debug)]
pub(super) struct Front {
    inner: Mutex<Inner>,
    clock: Arc<dyn Clock>,
}

impl Front {
    pub(super) fn new(desk: AdmissionControl, clock: Arc<dyn Clock>) -> Self {
        let replies = BTreeMap::new();
        Self {
            inner: Mutex::new(Inner { desk, replies }),
            clock,
        }
    }

    /// Queues a request, or refuses it.
    pub(super) fn enter(self: &Arc<Self>, want: ReplicaRequest) -> Result<Waiting, Refusal> {
        let now = self.clock.now();
        let mut inner = self.lock();
        let ticket = inner.desk.submit(&want, now)?;
        let (reply, receiver) = oneshot::channel();
        inner.replies.insert(ticket, reply);
        let outcomes = inner.desk.grant(&want.model, now);
        inner.deliver(outcomes);
        drop(inner);
        Ok(Waiting {
            front: Arc::clone(self),
            want,
            ticket,
            receiver,
            answered: false,
        })
    }

    /// Frees the slot of a granted request that has ended, and grants the next.
    pub(super) fn release(&self, want: &ReplicaRequest) {
        let now = self.clock.now();
        let mut inner = self.lock();
        inner.desk.release(want, now);
        let outcomes = inner.desk.grant(&want.model, now);
        inner.deliver(outcomes);
    }

    /// Grants requests while slots are free, and refuses those whose deadline cannot be met any
    /// more.
    pub(super) fn tick(&self) {
        let now = self.clock.now();
        let mut inner = self.lock();
        let outcomes = inner.desk.tick(now);
        inner.deliver(outcomes);
    }

    /// Calls `apply` under the lock.
    pub(super) fn with<F, T>(&self, apply: F) -> T
    where
        F: FnOnce(&mut AdmissionControl) -> T,
    {
        apply(&mut self.lock().desk)
    }

    fn leave(&self, ticket: Ticket) -> bool {
        let mut inner = self.lock();
        inner.replies.remove(&ticket);
        inner.desk.cancel(ticket)
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    fn deliver(&mut self, outcomes: Vec<AdmissionOutcome>) {
        for outcome in outcomes {
            let Some(reply) = self.replies.remove(&outcome.ticket) else {
                continue;
            };
            // A request that is dropped removes its sender first, or finds this answer in its
            // channel and frees the slot, so a failed send needs no handling.
            drop(reply.send(outcome.result));
        }
    }
}

/// A queued request; dropping it cancels the request or, if it was granted, frees its slot.
#[derive(Debug)]
pub(super) struct Waiting {
    front: Arc<Front>,
    want: ReplicaRequest,
    ticket: Ticket,
    receiver: oneshot::Receiver<Reply>,
    answered: bool,
}

impl Waiting {
    /// Waits for the answer; `None` if no answer can come any more.
    pub(super) async fn answer(mut self) -> Option<Reply> {
        let reply = (&mut self.receiver).await.ok();
        self.answered = true;
        reply
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        if self.answered || self.front.leave(self.ticket) {
            return;
        }
        if let Ok(Ok(_)) = self.receiver.try_recv() {
            self.front.release(&self.want);
        }
    }
}
