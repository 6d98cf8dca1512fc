//! Keeps what callers hold of this VM's memory and descriptors within bounds.
//!
//! [`ledger`] decides who may hold how much and who gives way, within the [`bounds`] that follow
//! from the VM's settings. Here are the handles that keep it up to date: a [`CallerSlot`] for each
//! connection, and a [`Charge`] for each buffer. docs/design/caller-limits.md has the design.

pub mod bounds;
pub mod buffer;
pub mod ledger;
pub mod metrics;

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use thiserror::Error;
use tokio::sync::{Notify, watch};

use crate::clock::Clock;
use crate::ids::ClientAccount;

use bounds::CallerLimitBounds;
use ledger::{ConnectionId, Ledger, Owner, Phase, Purpose, Verdict};
use metrics::CallerLimitMetrics;

/// Longest wait for room before the ledger is asked again: a connection may have become slow.
const RECHECK_INTERVAL: Duration = Duration::from_millis(100);

/// There is no room for a request, and no other connection gives way for it.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("no room for the request")]
pub struct NoRoom;

/// What all callers of this VM hold.
#[derive(Debug)]
pub struct CallerLimits {
    state: Mutex<State>,
    /// Notifies waiters when something is no longer held.
    freed: Notify,
    clock: Arc<dyn Clock>,
    /// Counters of what was refused and closed.
    pub metrics: CallerLimitMetrics,
}

#[derive(Debug)]
struct State {
    ledger: Ledger,
    /// Tells each connection that it is to give way.
    evictions: BTreeMap<ConnectionId, watch::Sender<bool>>,
    last_id: u64,
}

impl State {
    /// Tells the connections of a verdict to give way.
    fn evict(&self, verdict: &Verdict) {
        let Verdict::Wait(chosen) = verdict else {
            return;
        };
        for id in chosen {
            if let Some(eviction) = self.evictions.get(id) {
                eviction.send_replace(true);
            }
        }
    }
}

impl CallerLimits {
    /// Makes the limits, without connections.
    pub fn open(
        bounds: CallerLimitBounds,
        clock: Arc<dyn Clock>,
        metrics: CallerLimitMetrics,
    ) -> Arc<Self> {
        let state = State {
            ledger: Ledger::open(bounds),
            evictions: BTreeMap::new(),
            last_id: 0,
        };
        Arc::new(Self {
            state: Mutex::new(state),
            freed: Notify::new(),
            clock,
            metrics,
        })
    }

    /// Takes a place for a connection from `address`, and waits until there is one.
    pub async fn connect(self: &Arc<Self>, address: IpAddr) -> CallerSlot {
        let mut id = ConnectionId(0);
        loop {
            let freed = self.freed.notified();
            tokio::pin!(freed);
            freed.as_mut().enable();
            let verdict = self.ask(|state, now| {
                state.last_id += 1;
                id = ConnectionId(state.last_id);
                state.ledger.connect(id, Owner::Address(address), now)
            });
            if verdict == Verdict::Granted {
                break;
            }
            let _woken = tokio::time::timeout(RECHECK_INTERVAL, freed).await;
        }
        let eviction = watch::Sender::new(false);
        let evicted = eviction.subscribe();
        self.lock().evictions.insert(id, eviction);
        CallerSlot {
            limits: Arc::clone(self),
            id,
            evicted,
        }
    }

    /// Connections by what they are doing.
    pub fn phases(&self) -> PhaseCounts {
        let state = self.lock();
        PhaseCounts {
            reading: state.ledger.count(Phase::Reading),
            running: state.ledger.count(Phase::Running),
            writing: state.ledger.count(Phase::Writing),
            idle: state.ledger.count(Phase::Idle),
        }
    }

    /// Sets the gauges, for a scrape.
    pub fn refresh_gauges(&self) {
        let state = self.lock();
        self.metrics.refresh(&state.ledger);
    }

    fn ask<F>(&self, question: F) -> Verdict
    where
        F: FnOnce(&mut State, Instant) -> Verdict,
    {
        let now = self.clock.now();
        let mut state = self.lock();
        let verdict = question(&mut state, now);
        state.evict(&verdict);
        verdict
    }

    fn update<F, R>(&self, change: F) -> R
    where
        F: FnOnce(&mut Ledger, Instant) -> R,
    {
        let now = self.clock.now();
        change(&mut self.lock().ledger, now)
    }

    /// Applies a change that may leave room for others, and wakes those that wait for it.
    fn free<F>(&self, change: F)
    where
        F: FnOnce(&mut Ledger, Instant),
    {
        self.update(change);
        self.freed.notify_waiters();
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Numbers of callers' connections, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PhaseCounts {
    /// A request's body is read.
    pub reading: usize,
    /// A request runs, or waits to.
    pub running: usize,
    /// A response is written.
    pub writing: usize,
    /// There is no request, or its head is not complete.
    pub idle: usize,
}

impl slog::KV for PhaseCounts {
    fn serialize(
        &self,
        _: &slog::Record<'_>,
        serializer: &mut dyn slog::Serializer,
    ) -> slog::Result {
        serializer.emit_usize("reading", self.reading)?;
        serializer.emit_usize("running", self.running)?;
        serializer.emit_usize("writing", self.writing)?;
        serializer.emit_usize("idle", self.idle)
    }
}

/// The place of a caller's connection, free again when dropped.
#[derive(Debug)]
pub struct CallerSlot {
    limits: Arc<CallerLimits>,
    id: ConnectionId,
    evicted: watch::Receiver<bool>,
}

impl CallerSlot {
    /// Takes a place for a request of the connection; `account` is its client account, if any.
    ///
    /// # Errors
    ///
    /// [`NoRoom`].
    pub async fn start(&self, account: Option<&ClientAccount>) -> Result<(), NoRoom> {
        let owner = account.map(|name| Owner::Account(name.clone()));
        self.acquire(|ledger, now| ledger.start(self.id, owner.clone(), now))
            .await
    }

    /// Charges bytes of the request's body, before they are read.
    ///
    /// # Errors
    ///
    /// [`NoRoom`].
    pub async fn charge_body(&self, bytes: u64) -> Result<Charge, NoRoom> {
        self.acquire(|ledger, now| ledger.charge_body(self.id, bytes, now))
            .await?;
        Ok(self.charge(Purpose::Body, bytes))
    }

    /// Charges bytes of the response, before they are read; `None` if there is no room.
    pub fn charge_response(&self, bytes: u64) -> Option<Charge> {
        let granted = self
            .limits
            .update(|ledger, _| ledger.charge_response(self.id, bytes));
        granted.then(|| self.charge(Purpose::Response, bytes))
    }

    fn charge(&self, purpose: Purpose, bytes: u64) -> Charge {
        Charge {
            limits: Arc::clone(&self.limits),
            id: self.id,
            purpose,
            bytes,
        }
    }

    /// Asks until there is room or the connection itself is to give way.
    async fn acquire<F>(&self, mut question: F) -> Result<(), NoRoom>
    where
        F: FnMut(&mut Ledger, Instant) -> Verdict,
    {
        loop {
            let freed = self.limits.freed.notified();
            tokio::pin!(freed);
            freed.as_mut().enable();
            let verdict = self
                .limits
                .ask(|state, now| question(&mut state.ledger, now));
            match verdict {
                Verdict::Granted => return Ok(()),
                Verdict::Refused => return Err(NoRoom),
                Verdict::Wait(_) => {}
            }
            let _woken = tokio::time::timeout(RECHECK_INTERVAL, freed).await;
        }
    }

    /// Notes bytes of the body that have arrived.
    pub fn on_received(&self, bytes: usize) {
        self.limits
            .update(|ledger, _| ledger.on_received(self.id, bytes as u64));
    }

    /// Notes that the body is complete.
    ///
    /// # Errors
    ///
    /// [`NoRoom`] if the connection is to give way; the request must not be sent then.
    pub fn finish_body(&self) -> Result<(), NoRoom> {
        let stays = self
            .limits
            .update(|ledger, now| ledger.finish_body(self.id, now));
        if stays { Ok(()) } else { Err(NoRoom) }
    }

    /// Notes that the response is written from now on.
    pub fn begin_response(&self) {
        self.limits
            .update(|ledger, now| ledger.begin_response(self.id, now));
    }

    /// Notes since when the caller takes nothing of the response; `None` where it takes some.
    pub fn set_blocked(&self, since: Option<Instant>) {
        self.limits
            .update(|ledger, _| ledger.set_blocked(self.id, since));
    }

    /// Ends the request.
    pub fn end(&self) {
        self.limits.free(|ledger, now| ledger.end(self.id, now));
    }

    /// Waits until the connection is to give way.
    pub async fn evicted(&self) {
        let mut evicted = self.evicted.clone();
        // The sender lives as long as this slot.
        let _told = evicted.wait_for(|evicted| *evicted).await;
    }

    /// Whether the body of a request is being read, which is refused rather than cut off.
    pub fn is_reading(&self) -> bool {
        self.limits
            .update(|ledger, _| ledger.phase(self.id) == Some(Phase::Reading))
    }
}

impl Drop for CallerSlot {
    fn drop(&mut self) {
        self.limits.lock().evictions.remove(&self.id);
        self.limits.free(|ledger, _| ledger.disconnect(self.id));
    }
}

/// Bytes that a caller's connection holds until this is dropped.
#[derive(Debug)]
pub struct Charge {
    limits: Arc<CallerLimits>,
    id: ConnectionId,
    purpose: Purpose,
    bytes: u64,
}

impl Charge {
    /// Adds the bytes of another charge of the same connection and purpose.
    pub fn absorb(&mut self, mut other: Self) {
        self.bytes += std::mem::take(&mut other.bytes);
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        if self.bytes > 0 {
            let Self {
                id, purpose, bytes, ..
            } = *self;
            self.limits
                .free(|ledger, _| ledger.release(id, purpose, bytes));
        }
    }
}
