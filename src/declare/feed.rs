//! Following the configuration in the platform's store.
//!
//! One long-poll watch on the head a VM; parts already held are not read again. In an outage the
//! tries are spread by jitter, so that the VMs do not all return at once.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use slog::{Logger, info, warn};
use thiserror::Error;
use tokio::sync::Notify;
use tokio::task::JoinHandle;

use super::apply::head_key;
use super::board::{Board, OfferError};
use super::chunk::{self, Chunk, ChunkError};
use crate::clock::Clock;
use crate::ids::{Revision, Version};
use crate::schema::declaration::{ChunkRef, Head};
use crate::store::{ObjectStore, StoreError};

const FIRST_BACKOFF: Duration = Duration::from_millis(100);

/// How the feed waits.
#[derive(Clone, Copy, Debug)]
pub struct FeedBounds {
    /// Longest wait of one watch.
    pub watch: Duration,
    /// Longest pause between two tries in an outage.
    pub backoff: Duration,
}

/// Why a configuration could not be read from the store.
#[derive(Debug, Error)]
pub enum FeedError {
    /// The store failed.
    #[error("{0}")]
    Store(#[from] StoreError),
    /// The head cannot be parsed.
    #[error("the stored configuration cannot be parsed: {0}")]
    Json(#[from] serde_json::Error),
    /// A part cannot be read.
    #[error("{0}")]
    Chunk(#[from] ChunkError),
    /// The configuration was refused.
    #[error("{0}")]
    Offer(#[from] OfferError),
}

/// A running feed; ends when dropped.
#[derive(Debug)]
pub struct Feed {
    heard: Arc<Heard>,
    early: Arc<Notify>,
    task: JoinHandle<()>,
}

/// When the store was last heard.
#[derive(Debug)]
pub struct Heard {
    clock: Arc<dyn Clock>,
    start: Instant,
    at_ms: AtomicU64,
}

impl Heard {
    fn open(clock: Arc<dyn Clock>) -> Self {
        let start = clock.now();
        Self {
            clock,
            start,
            at_ms: AtomicU64::new(u64::MAX),
        }
    }

    fn mark(&self) {
        let span = self.clock.now().saturating_duration_since(self.start);
        self.at_ms.store(span.as_millis() as u64, Ordering::Relaxed);
    }

    /// Time since the store last answered; `None` where it never did.
    pub fn age(&self) -> Option<Duration> {
        let at = self.at_ms.load(Ordering::Relaxed);
        if at == u64::MAX {
            return None;
        }
        let heard = self.start + Duration::from_millis(at);
        Some(self.clock.now().saturating_duration_since(heard))
    }
}

impl Feed {
    /// Starts to follow the store.
    pub fn spawn(
        store: Arc<dyn ObjectStore>,
        board: Arc<Board>,
        clock: Arc<dyn Clock>,
        bounds: FeedBounds,
        log: Logger,
    ) -> Self {
        let heard = Arc::new(Heard::open(clock));
        let early = Arc::new(Notify::new());
        let follower = Follower {
            store,
            board,
            heard: Arc::clone(&heard),
            early: Arc::clone(&early),
            bounds,
            log,
            seen: Version(0),
        };
        let task = tokio::spawn(follower.run());
        Self { heard, early, task }
    }

    /// When the store was last heard.
    pub fn heard(&self) -> Arc<Heard> {
        Arc::clone(&self.heard)
    }

    /// Ends a pause between two tries early.
    pub fn early(&self) -> Arc<Notify> {
        Arc::clone(&self.early)
    }
}

impl Drop for Feed {
    fn drop(&mut self) {
        self.task.abort();
    }
}

struct Follower {
    store: Arc<dyn ObjectStore>,
    board: Arc<Board>,
    heard: Arc<Heard>,
    early: Arc<Notify>,
    bounds: FeedBounds,
    log: Logger,
    seen: Version,
}

impl Follower {
    async fn run(mut self) {
        let mut pause = FIRST_BACKOFF;
        loop {
            match self.step().await {
                Ok(()) => pause = FIRST_BACKOFF,
                Err(e) => {
                    warn!(self.log, "config_feed_failed"; "error" => %e);
                    let waited = tokio::time::timeout(jitter(pause), self.early.notified()).await;
                    drop(waited);
                    pause = (pause * 2).min(self.bounds.backoff);
                }
            }
        }
    }

    async fn step(&mut self) -> Result<(), FeedError> {
        let key = head_key()?;
        let found = self.store.watch(&key, self.seen, self.bounds.watch).await?;
        self.heard.mark();
        let Some(object) = found else {
            return Ok(());
        };
        let head: Head = serde_json::from_slice(&object.value)?;
        if head.revision > self.board.revision() {
            match self.take_over(head).await {
                Ok(revision) => {
                    info!(self.log, "config_in_force"; "revision" => revision.0, "source" => "store");
                }
                // A peer was faster.
                Err(FeedError::Offer(OfferError::Old(_))) => {}
                Err(e) => return Err(e),
            }
        }
        self.seen = object.version;
        Ok(())
    }

    async fn take_over(&self, head: Head) -> Result<Revision, FeedError> {
        let chunks = self.read_chunks(&head.chunks).await?;
        let declaration = chunk::join(chunks.iter().map(|chunk| &chunk.value))?;
        Ok(self.board.offer(head, chunks, declaration)?)
    }

    async fn read_chunks(&self, places: &[ChunkRef]) -> Result<Vec<Chunk>, FeedError> {
        let held = self.board.current();
        let mut chunks = Vec::new();
        for place in places {
            let known = held.chunks.iter().find(|chunk| chunk.place == *place);
            let value = match known {
                Some(chunk) => chunk.value.clone(),
                None => self.read_chunk(place).await?,
            };
            chunks.push(Chunk {
                place: place.clone(),
                value,
            });
        }
        Ok(chunks)
    }

    async fn read_chunk(&self, place: &ChunkRef) -> Result<Bytes, FeedError> {
        let object = self.store.get(&place.key).await?.ok_or(ChunkError::Hash)?;
        if !chunk::verify(place, &object.value) {
            return Err(ChunkError::Hash.into());
        }
        Ok(object.value)
    }
}

fn jitter(pause: Duration) -> Duration {
    pause.mul_f64(0.5 + rand::random::<f64>() / 2.0)
}
