//! Requests that run now, and the wait for the last of them at shutdown.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use tokio::sync::Notify;

use crate::outcome::{Reason, Refusal};

/// When to come back; another VM may answer at once.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Counts running requests.
#[derive(Debug, Default)]
pub struct RequestTracker {
    count: AtomicUsize,
    leaving: AtomicBool,
    closed: AtomicBool,
    idle: Notify,
}

/// One running request; ends when dropped.
#[derive(Debug)]
pub struct RequestGuard(Arc<RequestTracker>);

impl RequestTracker {
    /// Opens a counter.
    pub fn open() -> Arc<Self> {
        Arc::new(Self::default())
    }

    /// Counts one more request.
    ///
    /// # Errors
    ///
    /// [`Reason::ShuttingDown`] once no new request is taken, [`Reason::Capacity`] above `max`.
    pub fn try_start(self: &Arc<Self>, max: usize) -> Result<RequestGuard, Refusal> {
        // Counted before the flag is read: a request either sees the flag or is waited for.
        let before = self.count.fetch_add(1, Ordering::SeqCst);
        let guard = RequestGuard(Arc::clone(self));
        if self.closed.load(Ordering::SeqCst) {
            return Err(Refusal::not_run(Reason::ShuttingDown).retry_after(RETRY_AFTER));
        }
        if before >= max {
            return Err(Refusal::not_run(Reason::Capacity).retry_after(RETRY_AFTER));
        }
        Ok(guard)
    }

    /// Says that this VM leaves; requests are still taken.
    pub fn set_leaving(&self) {
        self.leaving.store(true, Ordering::SeqCst);
    }

    /// Whether this VM leaves.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::SeqCst)
    }

    /// Takes no new request from now on.
    pub fn close(&self) {
        self.closed.store(true, Ordering::SeqCst);
    }

    /// Requests that run now.
    pub fn count(&self) -> usize {
        self.count.load(Ordering::SeqCst)
    }

    /// Completes once no request runs.
    pub async fn wait_drained(&self) {
        loop {
            let idle = self.idle.notified();
            tokio::pin!(idle);
            idle.as_mut().enable();
            if self.count() == 0 {
                return;
            }
            idle.await;
        }
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        if self.0.count.fetch_sub(1, Ordering::SeqCst) == 1 {
            self.0.idle.notify_waiters();
        }
    }
}
