//! Demand for models and adapters: what this VM sees, and what all VMs tell the one that gives
//! orders, when rare models are asked for and demand moves between models.
//!
//! A rare model's rate shows only over a long time; a move of demand must show at once. So two
//! rates are kept, and the long one is believed as far as the short one allows.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::ids::VmId;

use super::call::Target;

/// Time constant of the long rate.
const RATE_TIME: Duration = Duration::from_secs(20);
/// Time constant of the short rate.
const RECENT_TIME: Duration = Duration::from_secs(3);
/// Standard deviations by which the short rate may miss by chance.
const CHANCE: f64 = 2.0;
/// Rates below this count as no demand, in requests a second.
const LEAST_RATE: f64 = 0.004;
/// What a VM has not repeated for this long no longer counts.
const TOLD_TIME: Duration = Duration::from_secs(3);

/// Demand for one target.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Want {
    /// Requests a second, over a long time.
    pub rate: f64,
    /// Requests a second, over a short time.
    pub recent: f64,
    /// Requests that wait for it to be loaded.
    pub waiting: u32,
}

impl Want {
    /// Adds demand elsewhere.
    pub fn add(&mut self, other: &Self) {
        self.rate += other.rate;
        self.recent += other.recent;
        self.waiting += other.waiting;
    }

    /// Requests a second that are to be expected: the long rate, within what the short one can
    /// miss by chance.
    pub fn expected(&self) -> f64 {
        let time = RECENT_TIME.as_secs_f64();
        // An exponential mean of arrivals at rate r has the variance r / (2 time).
        let chance = CHANCE * (self.recent.max(1.0 / time) / (2.0 * time)).sqrt();
        self.rate
            .clamp((self.recent - chance).max(0.0), self.recent + chance)
    }
}

#[derive(Clone, Copy, Debug)]
struct Seen {
    rate: f64,
    recent: f64,
    at: Instant,
    waiting: u32,
}

impl Seen {
    /// Rates now.
    fn want(&self, now: Instant) -> Want {
        let span = now.saturating_duration_since(self.at);
        let fade = |rate: f64, time: Duration| rate * (-span.div_duration_f64(time)).exp();
        Want {
            rate: fade(self.rate, RATE_TIME),
            recent: fade(self.recent, RECENT_TIME),
            waiting: self.waiting,
        }
    }
}

/// What one VM sees.
#[derive(Debug, Default)]
pub struct Local(BTreeMap<Target, Seen>);

impl Local {
    /// Counts a request.
    pub fn on_request(&mut self, target: &Target, now: Instant) {
        let seen = self.seen(target, now);
        let before = seen.want(now);
        seen.rate = before.rate + 1.0 / RATE_TIME.as_secs_f64();
        seen.recent = before.recent + 1.0 / RECENT_TIME.as_secs_f64();
        seen.at = now;
    }

    /// Counts a request that begins to wait; true for the first one.
    pub fn on_wait(&mut self, target: &Target, now: Instant) -> bool {
        let seen = self.seen(target, now);
        seen.waiting += 1;
        seen.waiting == 1
    }

    /// Counts a request that no longer waits.
    pub fn on_waited(&mut self, target: &Target) {
        if let Some(seen) = self.0.get_mut(target) {
            seen.waiting = seen.waiting.saturating_sub(1);
        }
    }

    /// Demand now; what has faded is forgotten.
    pub fn wants(&mut self, now: Instant) -> BTreeMap<Target, Want> {
        self.0
            .retain(|_, seen| seen.waiting > 0 || seen.want(now).rate > LEAST_RATE);
        let wants = self.0.iter();
        wants
            .map(|(target, seen)| (target.clone(), seen.want(now)))
            .collect()
    }

    fn seen(&mut self, target: &Target, now: Instant) -> &mut Seen {
        self.0.entry(target.clone()).or_insert(Seen {
            rate: 0.0,
            recent: 0.0,
            at: now,
            waiting: 0,
        })
    }
}

/// What all VMs told.
#[derive(Debug, Default)]
pub struct Told(BTreeMap<(VmId, Target), (Want, Instant)>);

impl Told {
    /// Takes a VM's word.
    pub fn on_want(&mut self, vm: &VmId, target: Target, want: Want, now: Instant) {
        self.0.insert((vm.clone(), target), (want, now));
    }

    /// Demand over all VMs.
    pub fn sum(&mut self, now: Instant) -> BTreeMap<Target, Want> {
        self.0
            .retain(|_, (_, at)| now.saturating_duration_since(*at) < TOLD_TIME);
        let mut sums: BTreeMap<Target, Want> = BTreeMap::new();
        for ((_, target), (want, _)) in &self.0 {
            sums.entry(target.clone()).or_default().add(want);
        }
        sums
    }
}
