//! Watches the platform's store for new revisions of the configuration.
//!
//! Each VM has one long-poll watch on the head object. When the head changes, the VM reads only the
//! chunks that it does not have. In an outage the watch is retried with exponential backoff and
//! jitter, so that not all VMs reconnect at the same moment.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use slog::{Logger, info, warn};
use thiserror::Error;
use tokio::sync::Notify;
use tokio::task::JoinHandle;

use super::active::{ActivationError, ActiveConfig};
use super::apply::head_key;
use super::chunk::{self, Chunk, ChunkError};
use crate::clock::Clock;
use crate::ids::{Revision, Version};
use crate::schema::declaration::{ChunkRef, Head};
use crate::store::{ObjectStore, StoreError};

const FIRST_BACKOFF: Duration = Duration::from_millis(100);

/// Bounds on the waits of a [`ConfigWatcher`].
#[derive(Clone, Copy, Debug)]
pub struct WatchBounds {
    /// Longest wait of one long poll for a change.
    pub max_wait: Duration,
    /// Longest pause between two attempts in an outage.
    pub max_backoff: Duration,
}

/// Why a configuration could not be taken over from the store.
#[derive(Debug, Error)]
pub enum WatchError {
    /// A call to the store failed.
    #[error("{0}")]
    Store(#[from] StoreError),
    /// The head object cannot be parsed.
    #[error("the stored configuration cannot be parsed: {0}")]
    Json(#[from] serde_json::Error),
    /// A chunk is missing, does not match its hash or cannot be parsed.
    #[error("{0}")]
    Chunk(#[from] ChunkError),
    /// The configuration is not newer than the one in force, or not valid.
    #[error("{0}")]
    Activation(#[from] ActivationError),
}

/// A running watch that puts each new revision in force; ends when dropped.
#[derive(Debug)]
pub struct ConfigWatcher {
    last_response: Arc<LastResponse>,
    retry_notify: Arc<Notify>,
    task: JoinHandle<()>,
}

/// Time of the last successful watch of the store.
#[derive(Debug)]
pub struct LastResponse {
    clock: Arc<dyn Clock>,
    start: Instant,
    /// Milliseconds from `start` to the last response; [`u64::MAX`] where there was none.
    at_ms: AtomicU64,
}

impl LastResponse {
    fn open(clock: Arc<dyn Clock>) -> Self {
        let start = clock.now();
        Self {
            clock,
            start,
            at_ms: AtomicU64::new(u64::MAX),
        }
    }

    fn record_now(&self) {
        let span = self.clock.now().saturating_duration_since(self.start);
        self.at_ms.store(span.as_millis() as u64, Ordering::Relaxed);
    }

    /// Time since the store's last response; `None` where there was none.
    pub fn age(&self) -> Option<Duration> {
        let at = self.at_ms.load(Ordering::Relaxed);
        if at == u64::MAX {
            return None;
        }
        let last = self.start + Duration::from_millis(at);
        Some(self.clock.now().saturating_duration_since(last))
    }
}

impl ConfigWatcher {
    /// Starts to watch the store.
    pub fn spawn(
        store: Arc<dyn ObjectStore>,
        active_config: Arc<ActiveConfig>,
        clock: Arc<dyn Clock>,
        bounds: WatchBounds,
        log: Logger,
    ) -> Self {
        let last_response = Arc::new(LastResponse::open(clock));
        let retry_notify = Arc::new(Notify::new());
        let watch = HeadWatch {
            store,
            active_config,
            last_response: Arc::clone(&last_response),
            retry_notify: Arc::clone(&retry_notify),
            bounds,
            log,
            seen: Version(0),
        };
        let task = tokio::spawn(watch.run());
        Self {
            last_response,
            retry_notify,
            task,
        }
    }

    /// Time of the store's last response, updated while the watch runs.
    pub fn last_response(&self) -> Arc<LastResponse> {
        Arc::clone(&self.last_response)
    }

    /// Ends the current pause after a failed attempt, or the next one, so that the store is read at
    /// once.
    pub fn retry_notify(&self) -> Arc<Notify> {
        Arc::clone(&self.retry_notify)
    }
}

impl Drop for ConfigWatcher {
    fn drop(&mut self) {
        self.task.abort();
    }
}

struct HeadWatch {
    store: Arc<dyn ObjectStore>,
    active_config: Arc<ActiveConfig>,
    last_response: Arc<LastResponse>,
    retry_notify: Arc<Notify>,
    bounds: WatchBounds,
    log: Logger,
    /// Version of the head object that was handled last; the next watch waits for a newer one.
    seen: Version,
}

impl HeadWatch {
    async fn run(mut self) {
        let mut pause = FIRST_BACKOFF;
        loop {
            match self.poll_head().await {
                Ok(()) => pause = FIRST_BACKOFF,
                Err(e) => {
                    warn!(self.log, "config_feed_failed"; "error" => %e);
                    let waited =
                        tokio::time::timeout(jitter(pause), self.retry_notify.notified()).await;
                    drop(waited);
                    pause = (pause * 2).min(self.bounds.max_backoff);
                }
            }
        }
    }

    async fn poll_head(&mut self) -> Result<(), WatchError> {
        let key = head_key()?;
        let found = self
            .store
            .watch(&key, self.seen, self.bounds.max_wait)
            .await?;
        self.last_response.record_now();
        let Some(object) = found else {
            return Ok(());
        };
        let head: Head = serde_json::from_slice(&object.value)?;
        if head.revision > self.active_config.revision() {
            match self.activate(head).await {
                Ok(revision) => {
                    info!(self.log, "config_in_force"; "revision" => revision.0, "source" => "store");
                }
                // The same or a newer revision came from another VM in the meantime.
                Err(WatchError::Activation(ActivationError::NotNewer(_))) => {}
                Err(e) => return Err(e),
            }
        }
        self.seen = object.version;
        Ok(())
    }

    async fn activate(&self, head: Head) -> Result<Revision, WatchError> {
        let chunks = self.read_chunks(&head.chunks).await?;
        let declaration = chunk::join(chunks.iter().map(|chunk| &chunk.value))?;
        Ok(self.active_config.activate(head, chunks, declaration)?)
    }

    async fn read_chunks(&self, references: &[ChunkRef]) -> Result<Vec<Chunk>, WatchError> {
        let current = self.active_config.current();
        let mut chunks = Vec::new();
        for reference in references {
            let known = current
                .chunks
                .iter()
                .find(|chunk| chunk.reference == *reference);
            let value = match known {
                Some(chunk) => chunk.value.clone(),
                None => self.read_chunk(reference).await?,
            };
            chunks.push(Chunk {
                reference: reference.clone(),
                value,
            });
        }
        Ok(chunks)
    }

    async fn read_chunk(&self, reference: &ChunkRef) -> Result<Bytes, WatchError> {
        let object = self
            .store
            .get(&reference.key)
            .await?
            .ok_or(ChunkError::Hash)?;
        if !chunk::verify(reference, &object.value) {
            return Err(ChunkError::Hash.into());
        }
        Ok(object.value)
    }
}

fn jitter(pause: Duration) -> Duration {
    pause.mul_f64(0.5 + rand::random::<f64>() / 2.0)
}
