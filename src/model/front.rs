//! The desk behind a lock, with a channel for each waiting request.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::oneshot;

use super::desk::{Desk, Outcome};
use super::queue::Ticket;
use super::{Replica, Want};
use crate::clock::Clock;
use crate::outcome::Refusal;

type Reply = Result<Vec<Replica>, Refusal>;

#[derive(Debug)]
struct Inner {
    desk: Desk,
    replies: BTreeMap<Ticket, oneshot::Sender<Reply>>,
}

/// A desk shared by requests and the loader.
#[derive(Debug)]
pub(super) struct Front {
    inner: Mutex<Inner>,
    clock: Arc<dyn Clock>,
}

impl Front {
    pub(super) fn new(desk: Desk, clock: Arc<dyn Clock>) -> Self {
        let replies = BTreeMap::new();
        Self {
            inner: Mutex::new(Inner { desk, replies }),
            clock,
        }
    }

    /// Takes a request in.
    pub(super) fn enter(self: &Arc<Self>, want: Want) -> Result<Waiting, Refusal> {
        let now = self.clock.now();
        let mut inner = self.lock();
        let ticket = inner.desk.arrive(&want, now)?;
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

    /// Ends a granted request.
    pub(super) fn release(&self, want: &Want) {
        let now = self.clock.now();
        let mut inner = self.lock();
        inner.desk.release(want, now);
        let outcomes = inner.desk.grant(&want.model, now);
        inner.deliver(outcomes);
    }

    /// Grants and refuses what is due.
    pub(super) fn tick(&self) {
        let now = self.clock.now();
        let mut inner = self.lock();
        let outcomes = inner.desk.tick(now);
        inner.deliver(outcomes);
    }

    /// Reads or changes the desk.
    pub(super) fn with<F, T>(&self, apply: F) -> T
    where
        F: FnOnce(&mut Desk) -> T,
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
    fn deliver(&mut self, outcomes: Vec<Outcome>) {
        for outcome in outcomes {
            let Some(reply) = self.replies.remove(&outcome.ticket) else {
                continue;
            };
            // A receiver that is gone is undone by its `Waiting`, which finds no answer here.
            drop(reply.send(outcome.result));
        }
    }
}

/// A request in the queue; dropping it withdraws it.
#[derive(Debug)]
pub(super) struct Waiting {
    front: Arc<Front>,
    want: Want,
    ticket: Ticket,
    receiver: oneshot::Receiver<Reply>,
    answered: bool,
}

impl Waiting {
    /// Waits for the answer; `None` where the front is gone.
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
