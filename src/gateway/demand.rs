//! Demand for models and adapters: what this VM sees, and what all VMs tell the one that gives
//! orders, when rare models are asked for and demand moves between models.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use crate::ids::VmId;

use super::call::Target;

/// Time constant of a rate.
const RATE_TIME: Duration = Duration::from_secs(20);
/// Rates below this count as no demand, in requests a second.
const LEAST_RATE: f64 = 0.004;
/// What a VM has not repeated for this long no longer counts.
const TOLD_TIME: Duration = Duration::from_secs(3);

/// Demand for one target.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    /// Requests a second.
    pub rate: f64,
    /// Requests that wait for it to be loaded.
    pub waiting: u32,
}

#[derive(Clone, Copy, Debug)]
struct Seen {
    rate: f64,
    at: Instant,
    waiting: u32,
}

/// What one VM sees.
#[derive(Debug, Default)]
pub struct LocalDemand(BTreeMap<Target, Seen>);

impl LocalDemand {
    /// Counts a request.
    pub fn on_request(&mut self, target: &Target, now: Instant) {
        let seen = self.seen(target, now);
        seen.rate = decayed(seen, now) + 1.0 / RATE_TIME.as_secs_f64();
        seen.at = now;
    }

    /// Counts a request that begins to wait; true for the first one.
    pub fn on_wait(&mut self, target: &Target, now: Instant) -> bool {
        let seen = self.seen(target, now);
        seen.waiting += 1;
        seen.waiting == 1
    }

    /// Counts a request that no longer waits.
    pub fn on_wait_end(&mut self, target: &Target) {
        if let Some(seen) = self.0.get_mut(target) {
            seen.waiting = seen.waiting.saturating_sub(1);
        }
    }

    /// Demand now; what has faded is forgotten.
    pub fn current(&mut self, now: Instant) -> BTreeMap<Target, Demand> {
        self.0
            .retain(|_, seen| seen.waiting > 0 || decayed(seen, now) > LEAST_RATE);
        let wants = self.0.iter().map(|(target, seen)| {
            let want = Demand {
                rate: decayed(seen, now),
                waiting: seen.waiting,
            };
            (target.clone(), want)
        });
        wants.collect()
    }

    fn seen(&mut self, target: &Target, now: Instant) -> &mut Seen {
        self.0.entry(target.clone()).or_insert(Seen {
            rate: 0.0,
            at: now,
            waiting: 0,
        })
    }
}

fn decayed(seen: &Seen, now: Instant) -> f64 {
    let span = now.saturating_duration_since(seen.at).as_secs_f64();
    seen.rate * (-span / RATE_TIME.as_secs_f64()).exp()
}

/// Which of a VM's wants are to be told now: those that requests wait for each time, all of them
/// more rarely, and least often where there are many VMs to be heard.
#[derive(Debug, Default)]
pub struct DemandReporter {
    /// Targets told as waited for.
    waited: BTreeSet<Target>,
    /// When all wants are told again.
    full: Option<Instant>,
}

impl DemandReporter {
    /// Lets the next word tell all: nobody has heard any yet.
    pub fn reset(&mut self) {
        self.full = None;
    }

    /// What to tell of `wants`, and whether it is all; all are told each `pause`.
    pub fn select_due(
        &mut self,
        mut wants: BTreeMap<Target, Demand>,
        now: Instant,
        pause: Duration,
    ) -> (BTreeMap<Target, Demand>, bool) {
        let full = self.full.is_none_or(|at| now >= at);
        // A target that was waited for is told once more, also where nobody asks for it now.
        let waited = std::mem::take(&mut self.waited);
        let pending = wants.iter().filter(|(_, want)| want.waiting > 0);
        self.waited = pending.map(|(target, _)| target.clone()).collect();
        if full {
            self.full = Some(now + pause);
        } else {
            wants.retain(|target, want| want.waiting > 0 || waited.contains(target));
        }
        for target in waited {
            wants.entry(target).or_default();
        }
        (wants, full)
    }
}

/// What all VMs told, by target.
#[derive(Debug, Default)]
pub struct PeerDemand(BTreeMap<Target, BTreeMap<VmId, (Demand, Instant)>>);

impl PeerDemand {
    /// Takes a VM's word.
    pub fn on_report(&mut self, vm: &VmId, target: Target, want: Demand, now: Instant) {
        let words = self.0.entry(target).or_default();
        words.insert(vm.clone(), (want, now));
    }

    /// Demand over all VMs.
    pub fn total(&mut self, now: Instant) -> BTreeMap<Target, Demand> {
        self.0.retain(|_, words| {
            words.retain(|_, (_, at)| now.saturating_duration_since(*at) < TOLD_TIME);
            !words.is_empty()
        });
        let sums = self.0.iter().map(|(target, words)| {
            let mut sum = Demand::default();
            for (want, _) in words.values() {
                sum.rate += want.rate;
                sum.waiting += want.waiting;
            }
            (target.clone(), sum)
        });
        sums.collect()
    }
}
