//! Time, passed in as an interface.
//!
//! Decisions take the present as an argument; the shells that drive them hold a [`Clock`]. The
//! monotonic reading orders events within one process; the wall reading is for records that
//! other processes and people read, and never decides safety.

use std::fmt::Debug;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A source of time.
pub trait Clock: Send + Sync + Debug {
    /// The monotonic present.
    fn now(&self) -> Instant;

    /// The wall-clock present.
    fn wall(&self) -> SystemTime;

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
}
