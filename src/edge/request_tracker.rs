//! Counts running requests, and waits for the last of them at shutdown.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use tokio::sync::Notify;

use crate::outcome::{Reason, Refusal};

/// Time after which a refused caller may retry; another VM may accept the request at once.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Counts the running requests of this VM and records how far its shutdown has got.
#[derive(Debug, Default)]
pub struct RequestTracker {
    count: AtomicUsize,
    leaving: AtomicBool,
    closed: AtomicBool,
    idle: Notify,
}

/// Counts one request as running until it is dropped.
#[derive(Debug)]
pub struct RequestGuard(Arc<RequestTracker>);

impl RequestTracker {
    /// Creates a tracker without running requests.
    pub fn open() -> Arc<Self> {
        Arc::new(Self::default())
    }

    /// Counts one more request as running until the returned guard is dropped.
    ///
    /// # Errors
    ///
    /// [`Reason::ShuttingDown`] after [`RequestTracker::close`]; [`Reason::Capacity`] if `max` requests
    /// are running.
    pub fn try_start(self: &Arc<Self>, max: usize) -> Result<RequestGuard, Refusal> {
        // The request is counted before `closed` is read. A request that still reads `false` is
        // therefore included in the count that `wait_drained` waits for.
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

    /// Counts what may become a request as running until the returned guard is dropped.
    pub fn hold(self: &Arc<Self>) -> RequestGuard {
        self.count.fetch_add(1, Ordering::SeqCst);
        RequestGuard(Arc::clone(self))
    }

    /// Marks this VM as leaving. New requests are still accepted until [`RequestTracker::close`].
    pub fn set_leaving(&self) {
        self.leaving.store(true, Ordering::SeqCst);
    }

    /// Whether this VM is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::SeqCst)
    }

    /// Refuses new requests from now on.
    pub fn close(&self) {
        self.closed.store(true, Ordering::SeqCst);
    }

    /// Number of running requests.
    pub fn count(&self) -> usize {
        self.count.load(Ordering::SeqCst)
    }

    /// Waits until no request is running.
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
