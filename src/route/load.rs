//! The load of one upstream, as far as this VM knows.
//!
//! A report lags: it says how much the upstream had to do at some earlier time. What this VM sent
//! since then is known exactly, so the estimate is the others' share of the report plus this VM's
//! own requests now.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

const MEMORY: Duration = Duration::from_secs(10);
const MAX_STEPS: usize = 256;
/// Age at which others' share of a report counts half.
const HALF_LIFE: Duration = Duration::from_secs(2);

#[derive(Clone, Copy, Debug)]
struct Step {
    at: Instant,
    own: u32,
}

/// Estimated load.
#[derive(Clone, Debug, Default)]
pub struct Load {
    own: u32,
    steps: VecDeque<Step>,
    others: u32,
    seen: Option<Instant>,
}

impl Load {
    /// This VM's own requests now.
    pub fn own(&self) -> u32 {
        self.own
    }

    /// Counts a dispatch.
    pub fn on_dispatch(&mut self, now: Instant) {
        self.own += 1;
        self.remember(now);
    }

    /// Counts an end.
    pub fn on_finish(&mut self, now: Instant) {
        self.own = self.own.saturating_sub(1);
        self.remember(now);
    }

    /// Takes in a report of `total` requests at `at`; an older one than the last changes nothing.
    pub fn on_report(&mut self, total: u32, at: Instant) {
        if self.seen.is_some_and(|seen| at < seen) {
            return;
        }
        self.others = total.saturating_sub(self.own_at(at));
        self.seen = Some(at);
    }

    /// Forgets the report of an upstream that started anew; this VM's requests still end.
    pub fn on_restart(&mut self) {
        self.others = 0;
        self.seen = None;
    }

    /// Requests the upstream has now, by estimate.
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
        // The newest step at or before the horizon still says what held there.
        while self.steps.len() > MAX_STEPS || self.second_is_old(now) {
            self.steps.pop_front();
        }
    }

    fn second_is_old(&self, now: Instant) -> bool {
        let second = self.steps.get(1);
        second.is_some_and(|step| now.saturating_duration_since(step.at) > MEMORY)
    }
}
