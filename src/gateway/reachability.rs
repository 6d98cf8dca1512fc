//! The part of the accounts' quotas that a VM may use when it cannot reach all other VMs.
//!
//! VMs that this one receives nothing from may still admit requests, so it leaves them their parts
//! of each quota and uses only the parts of the VMs that are reachable, its own included. A single
//! VM counts as unreachable only after a longer silence. A VM that receives nothing from any other
//! notices this much sooner, since the messages of all others together arrive far more often.

use std::time::{Duration, Instant};

use super::peers::silence_timeout;

/// Share of its own part that an isolated VM uses. The other VMs take longer to notice that it is
/// unreachable, and until then they use its part too.
const ISOLATED_SHARE: f64 = 0.5;
/// Number of VMs assumed until the registered ones were read: the most that are designed for.
pub(super) const UNLISTED_VMS: u32 = 360;
/// Number of messages expected from all other VMs together whose absence makes a VM isolated.
const MISSED_MESSAGES: u32 = 10;
/// Divisor of the interval between two messages of one VM that gives the shortest silence which
/// counts as isolation; VMs that started together also send at the same moments at first.
const INTERVAL_DIVISOR: u32 = 2;
/// Shortest silence that counts as isolation; a busy VM reads its messages late.
const MIN_SILENCE: Duration = Duration::from_millis(300);

/// This VM's part of each account's quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Part {
    /// The part, from 0 to 1.
    pub share: f64,
    /// Number of VMs whose parts these are; less than one for a VM that hears nobody.
    pub heard: f64,
    /// Time for which VMs that are no longer heard were silent until that was noticed.
    pub silence: Duration,
}

impl From<f64> for Part {
    /// A part whose other VMs fell silent just now.
    fn from(share: f64) -> Self {
        Self {
            share,
            heard: share,
            silence: Duration::ZERO,
        }
    }
}

/// Which of the other VMs are reachable from this one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Reachability {
    /// Whether the registered VMs were read since this VM is one of them. Before, it knows nothing
    /// of how many there are.
    pub listed: bool,
    /// Number of known VMs, this one included.
    pub vms: u32,
    /// Most VMs known at any time since the start, this one included. A VM that is cut off forgets
    /// the others after a while, but they may still run.
    pub peak: u32,
    /// Number of reachable VMs, this one included.
    pub reachable: u32,
    /// When the last message from any other VM was received.
    pub last_received: Instant,
    /// Interval between two usage messages of one VM.
    pub interval: Duration,
}

impl Reachability {
    /// Creates the state of a VM that knows no other VM.
    pub fn open(now: Instant) -> Self {
        Self {
            listed: false,
            vms: 1,
            peak: 1,
            reachable: 1,
            last_received: now,
            interval: Duration::ZERO,
        }
    }

    /// Most VMs that there may be. Before the registered VMs were read, as many as are designed for.
    pub fn most_vms(&self) -> u32 {
        if self.listed {
            return self.peak;
        }
        self.peak.max(UNLISTED_VMS)
    }

    /// Part of each account's quota that this VM may use, from 0 to 1.
    pub fn rate_share(&self, now: Instant) -> f64 {
        if !self.listed {
            return ISOLATED_SHARE / f64::from(self.vms.max(UNLISTED_VMS));
        }
        if self.vms <= 1 {
            return 1.0;
        }
        if self.isolated(now) {
            return ISOLATED_SHARE / f64::from(self.vms);
        }
        f64::from(self.reachable) / f64::from(self.vms)
    }

    /// The part with the time since when it counts.
    pub fn part(&self, now: Instant) -> Part {
        let silence = if self.isolated(now) {
            now.saturating_duration_since(self.last_received)
        } else {
            silence_timeout(self.interval)
        };
        let share = self.rate_share(now);
        Part {
            share,
            heard: share * f64::from(self.vms),
            silence,
        }
    }

    fn isolated(&self, now: Instant) -> bool {
        let others = self.vms.saturating_sub(1).max(1);
        let missed = self.interval * MISSED_MESSAGES / others;
        let silence = missed
            .max(self.interval / INTERVAL_DIVISOR)
            .max(MIN_SILENCE);
        self.reachable <= 1 || now.saturating_duration_since(self.last_received) > silence
    }
}
