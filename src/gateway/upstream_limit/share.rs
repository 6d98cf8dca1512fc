//! The part of an upstream's rate that a VM uses by itself while it hears no leader.
//!
//! All VMs together may use half of the rate in this way, in equal parts. A part is less than one
//! request a second, and often far less, so each VM sends its first request after a random part of
//! the time between two: otherwise all would send one at the same moment.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::BootTime;
use crate::ids::UpstreamId;
use crate::units::RequestRate;

/// Share of the rate that all VMs together use without a leader.
pub const LEADERLESS_SHARE: f64 = 0.5;
/// Fewest parts; a VM that knows few others may have been cut off from them since its start.
const MIN_PARTS: u32 = 8;
/// Longest time between two requests that is counted.
const MAX_INTERVAL: Duration = Duration::from_hours(1);

/// When this VM may send its next request to each upstream.
#[derive(Debug, Default)]
pub struct LocalShare {
    next: BTreeMap<UpstreamId, BootTime>,
}

impl LocalShare {
    /// Forgets what was sent, since a leader is heard.
    pub fn clear(&mut self) {
        self.next.clear();
    }

    /// Counts one request to an upstream that names `rate`. `vms` is the most VMs that this one has
    /// known, and `draw` a random number from 0 to 1.
    ///
    /// # Errors
    ///
    /// Time until the next request, if there is no room now.
    pub fn try_send(
        &mut self,
        id: &UpstreamId,
        rate: RequestRate,
        vms: u32,
        draw: f64,
        now: BootTime,
    ) -> Result<(), Duration> {
        let parts = f64::from(vms.max(MIN_PARTS));
        let per_second = rate.per_second() * LEADERLESS_SHARE / parts;
        let interval = Duration::try_from_secs_f64(1.0 / per_second);
        let interval = interval.unwrap_or(MAX_INTERVAL).min(MAX_INTERVAL);
        let first = now.plus(interval.mul_f64(draw));
        let next = self.next.entry(id.clone()).or_insert(first);
        if now < *next {
            return Err(next.since(now));
        }
        *next = now.plus(interval);
        Ok(())
    }
}
