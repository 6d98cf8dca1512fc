//! Time, passed in as an interface.
//!
//! Decisions take the present as an argument; the shells that drive them hold a [`Clock`]. The
//! monotonic reading orders events within one process; the wall reading is for records that
//! other processes and people read, and never decides safety.

use std::fmt::Debug;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use nix::time::{ClockId, clock_gettime};

/// A moment as time since the machine booted, suspension included.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct BootTime(Duration);

impl BootTime {
    /// The moment `since` after the boot.
    pub fn new(since: Duration) -> Self {
        Self(since)
    }

    /// The time from `earlier` to here; zero where `earlier` is later.
    #[must_use]
    pub fn since(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }

    /// The moment `span` earlier, but not before the boot.
    #[must_use]
    pub fn minus(self, span: Duration) -> Self {
        Self(self.0.saturating_sub(span))
    }

    /// The moment `span` later.
    #[must_use]
    pub fn plus(self, span: Duration) -> Self {
        Self(self.0.saturating_add(span))
    }
}

/// A source of time.
pub trait Clock: Send + Sync + Debug {
    /// The monotonic present.
    fn now(&self) -> Instant;

    /// The wall-clock present.
    fn wall(&self) -> SystemTime;

    /// The time since the machine booted, suspension included.
    ///
    /// Leases and the trust in keys are counted on it: a VM that was suspended must not take its
    /// lease for still valid.
    fn boot(&self) -> BootTime;

    /// The wall-clock present, in milliseconds since the Unix epoch.
    fn wall_ms(&self) -> u64 {
        let span = self
            .wall()
            .duration_since(UNIX_EPOCH)
            .unwrap_or(Duration::ZERO);
        span.as_millis() as u64
    }
}

/// The operating system's clock.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemClock;

impl SystemClock {
    /// A shared handle on the system clock.
    pub fn open() -> Arc<dyn Clock> {
        Arc::new(Self)
    }
}

impl Clock for SystemClock {
    fn now(&self) -> Instant {
        Instant::now()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }

    fn boot(&self) -> BootTime {
        // The clock exists on every Linux kernel; were it missing, the monotonic one is next best.
        let read = clock_gettime(ClockId::CLOCK_BOOTTIME)
            .or_else(|_| clock_gettime(ClockId::CLOCK_MONOTONIC));
        BootTime::new(read.map(Duration::from).unwrap_or_default())
    }
}
