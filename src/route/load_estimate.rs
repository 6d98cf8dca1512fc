//! Estimates the load of one upstream, as a number of requests.
//!
//! A load report is old when it arrives: it gives the number of requests at some earlier time. This
//! VM knows how many of its own requests were in flight at that time, so the rest of the reported
//! number comes from other VMs. The estimate is that rest plus the requests of this VM that are in
//! flight now.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

const MEMORY: Duration = Duration::from_secs(10);
const MAX_STEPS: usize = 256;
/// Age of a report at which the load from other VMs counts half.
const HALF_LIFE: Duration = Duration::from_secs(2);

#[derive(Clone, Copy, Debug)]
struct Step {
    at: Instant,
    own: u32,
}

/// Load estimate for one upstream.
#[derive(Clone, Debug, Default)]
pub struct LoadEstimate {
    own: u32,
    steps: VecDeque<Step>,
    others: u32,
    seen: Option<Instant>,
}

impl LoadEstimate {
    /// Requests that this VM has in flight to the upstream.
    pub fn in_flight(&self) -> u32 {
        self.own
    }

    /// Counts a request that this VM sends.
    pub fn on_dispatch(&mut self, now: Instant) {
        self.own += 1;
        self.remember(now);
    }

    /// Counts the end of one of this VM's requests.
    pub fn on_finish(&mut self, now: Instant) {
        self.own = self.own.saturating_sub(1);
        self.remember(now);
    }

    /// Applies a report that the upstream had `total` requests from all VMs at time `at`. A report
    /// older than the latest one is ignored.
    pub fn on_report(&mut self, total: u32, at: Instant) {
        if self.seen.is_some_and(|seen| at < seen) {
            return;
        }
        self.others = total.saturating_sub(self.own_at(at));
        self.seen = Some(at);
    }

    /// Discards the load from other VMs after a restart of the upstream. This VM's own requests
    /// stay counted until each has ended.
    pub fn on_restart(&mut self) {
        self.others = 0;
        self.seen = None;
    }

    /// Estimated number of requests that the upstream has now.
    pub fn estimate(&self, now: Instant) -> f64 {
        let age = self.seen.map(|seen| now.saturating_duration_since(seen));
        let halvings = age.unwrap_or_default().as_secs_f64() / HALF_LIFE.as_secs_f64();
        f64::from(self.own) + f64::from(self.others) * (-halvings).exp2()
    }

    fn own_at(&self, at: Instant) -> u32 {
        let step = self.steps.iter().rev().find(|step| step.at <= at);
        step.map_or(0, |step| step.own)
    }

    fn remember(&mut self, now: Instant) {
        self.steps.push_back(Step {
            at: now,
            own: self.own,
        });
        // Keeps one sample older than the history period: it gives the count at its start.
        while self.steps.len() > MAX_STEPS || self.second_is_old(now) {
            self.steps.pop_front();
        }
    }

    fn second_is_old(&self, now: Instant) -> bool {
        let second = self.steps.get(1);
        second.is_some_and(|step| now.saturating_duration_since(step.at) > MEMORY)
    }
}
