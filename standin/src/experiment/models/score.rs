//! What a run is measured by.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use basilgw::ids::ClientAccount;
use basilgw::model::placement::Origin;
use hdrhistogram::Histogram;
use serde::Serialize;

use super::site::Site;
use super::{Policy, Scenario};

const MAX_MS: u64 = 3_600_000;

/// One run's figures.
#[derive(Debug, Serialize)]
pub struct Line {
    pub experiment: &'static str,
    pub site: Site,
    pub seed: u64,
    pub scenario: Scenario,
    pub policy: Policy,
    pub requests: u64,
    pub cold_starts: u64,
    pub cold_p50_ms: u64,
    pub cold_p99_ms: u64,
    pub cold_worst_ms: u64,
    pub cold_unserved: u64,
    pub best_p50_ms: u64,
    pub best_p99_ms: u64,
    pub p99_over_best: f64,
    pub idle_engine_seconds: u64,
    pub loads: u64,
    pub in_deadline: BTreeMap<ClientAccount, f64>,
    pub worst_in_deadline: f64,
    pub refused: u64,
    pub late: u64,
    pub lost_with_vm: u64,
    pub bounds_passed: u64,
}

/// A model that was needed while it was loaded nowhere.
#[derive(Clone, Copy, Debug)]
pub struct Cold {
    pub since: Instant,
    pub origin: Origin,
    pub best: Duration,
}

/// Counts of a run.
#[derive(Debug, Default)]
pub struct Score {
    pub came: BTreeMap<ClientAccount, u64>,
    pub in_time: BTreeMap<ClientAccount, u64>,
    pub refused: u64,
    pub late: u64,
    pub lost_with_vm: u64,
    pub bounds_passed: u64,
    pub loads: u64,
    pub idle_seconds: f64,
    pub cold: Vec<Duration>,
    pub cold_unserved: u64,
    pub wakes: Vec<Cold>,
}

impl Score {
    /// Shares of requests answered within their deadline.
    pub fn shares(&self) -> BTreeMap<ClientAccount, f64> {
        let share = |(account, came): (&ClientAccount, &u64)| {
            let served = self.in_time.get(account).copied().unwrap_or_default();
            (account.clone(), served as f64 / (*came).max(1) as f64)
        };
        self.came.iter().map(share).collect()
    }

    /// Cold starts as the slots and sources allow at best: each from the best source any engine
    /// had, at once where that is not the weight store, else through its slots and starts in order.
    pub fn best(&self, slots: usize, starts: u32) -> Vec<Duration> {
        let pause = Duration::from_secs(1) / starts;
        let mut free: Vec<Option<Instant>> = vec![None; slots];
        let mut last: Option<Instant> = None;
        let mut times = Vec::new();
        for wake in &self.wakes {
            if wake.origin != Origin::Remote {
                times.push(wake.best);
                continue;
            }
            let Some(slot) = free.iter_mut().min() else {
                continue;
            };
            let open = slot.unwrap_or(wake.since).max(wake.since);
            let begin = last.map_or(open, |at| open.max(at + pause));
            last = Some(begin);
            *slot = Some(begin + wake.best);
            times.push((begin + wake.best).duration_since(wake.since));
        }
        times
    }
}

/// A histogram of times in milliseconds.
pub fn histogram(times: &[Duration]) -> Histogram<u64> {
    let mut histogram = Histogram::new_with_bounds(1, MAX_MS, 3).unwrap_or_else(|_| unreachable!());
    for time in times {
        histogram.saturating_record((time.as_millis() as u64).max(1));
    }
    histogram
}
