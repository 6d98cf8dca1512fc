//! The part of the accounts' rates that a VM may use when VMs are cut off from each other.
//!
//! VMs that are not heard may be spending unheard, so a VM uses its own part and those of the VMs
//! that it hears. A single VM that falls silent is missed after some words; a VM that hears nobody
//! at all knows it much sooner, for the others' words come often together.

use std::time::{Duration, Instant};

/// Part of its own part that a VM which hears nobody uses: the others need some words to miss it,
/// and use its part until then.
const ALONE_SHARE: f64 = 0.5;
/// Words of all others together that a VM must have missed to know that it hears nobody.
const MISSED_WORDS: u32 = 10;
/// Shortest silence of all others that counts, as a part of the pause between words of one VM: VMs
/// that started together also tell together at first.
const LEAST_PART: u32 = 2;
/// Shortest silence of all others that counts: a busy VM is slow to read.
const LEAST_QUIET: Duration = Duration::from_millis(300);

/// Which VMs are in touch with this one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Reachability {
    /// All VMs, this one included.
    pub vms: u32,
    /// Those in touch, this one included.
    pub reachable: u32,
    /// When any VM was heard last.
    pub last_received: Instant,
    /// Pause between two words of one VM.
    pub interval: Duration,
}

impl Reachability {
    /// A VM that knows no other one.
    pub fn open(now: Instant) -> Self {
        Self {
            vms: 1,
            reachable: 1,
            last_received: now,
            interval: Duration::ZERO,
        }
    }

    /// The part of the rates that this VM may use.
    pub fn rate_share(&self, now: Instant) -> f64 {
        if self.vms <= 1 {
            return 1.0;
        }
        if self.isolated(now) {
            return ALONE_SHARE / f64::from(self.vms);
        }
        f64::from(self.reachable) / f64::from(self.vms)
    }

    fn isolated(&self, now: Instant) -> bool {
        let words = self.interval * MISSED_WORDS / (self.vms - 1);
        let quiet = words.max(self.interval / LEAST_PART).max(LEAST_QUIET);
        self.reachable <= 1 || now.saturating_duration_since(self.last_received) > quiet
    }
}
