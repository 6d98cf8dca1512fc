//! Refusals of one account's requests for its quota, counted for the log, so that an account far
//! beyond its quota writes one line a second.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::quota_order::Rank;

/// Shortest time between two log lines on one account.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Refusals at this VM.
#[derive(Clone, Debug, Default)]
pub struct QuotaRefusals {
    logged: Option<Instant>,
    /// Refusals since the last log line.
    counts: BTreeMap<Rank, u64>,
}

impl QuotaRefusals {
    /// Counts a refusal.
    pub fn add(&mut self, rank: Rank) {
        *self.counts.entry(rank).or_default() += 1;
    }

    /// The refusals by rank since they were last returned, if that was long enough ago.
    pub fn take_due(&mut self, now: Instant) -> Option<BTreeMap<Rank, u64>> {
        let is_early = |at: Instant| now.saturating_duration_since(at) < LOG_INTERVAL;
        if self.counts.is_empty() || self.logged.is_some_and(is_early) {
            return None;
        }
        self.logged = Some(now);
        Some(std::mem::take(&mut self.counts))
    }
}
