//! Demand for models and adapters.
//!
//! Every VM measures the demand of its own requests ([`LocalDemand`]) and reports it to the leader
//! ([`DemandReporter`]). The leader sums the reports ([`PeerDemand`]) to plan which models and
//! adapters are loaded.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use crate::ids::VmId;

use super::request::Target;

/// Time constant of the exponential decay of a rate.
const RATE_TIME: Duration = Duration::from_secs(20);
/// Rate at and below which demand is dropped as none, in requests a second.
const MIN_RATE: f64 = 0.004;
/// Age at which a report of another VM expires.
const REPORT_LIFETIME: Duration = Duration::from_secs(3);

/// Demand for one model or adapter.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    /// Requests a second.
    pub rate: f64,
    /// Requests that wait for the model or adapter to be loaded.
    pub waiting: u32,
    /// Streams a second whose events came later than their route's objective.
    pub late: f64,
}

/// Measured demand for one target.
#[derive(Clone, Copy, Debug)]
struct Sample {
    /// Requests a second at `at`; decays from then on.
    rate: f64,
    /// Late streams a second at `at`; decays in the same way.
    late: f64,
    at: Instant,
    waiting: u32,
}

/// Demand of the requests that this VM received.
#[derive(Debug, Default)]
pub struct LocalDemand(BTreeMap<Target, Sample>);

impl LocalDemand {
    /// Counts a request.
    pub fn on_request(&mut self, target: &Target, now: Instant) {
        let sample = self.sample_mut(target, now);
        sample.decay(now);
        sample.rate += 1.0 / RATE_TIME.as_secs_f64();
    }

    /// Counts a stream whose events come late, once a stream: its engine has too much to do.
    pub fn on_late(&mut self, target: &Target, now: Instant) {
        let sample = self.sample_mut(target, now);
        sample.decay(now);
        sample.late += 1.0 / RATE_TIME.as_secs_f64();
    }

    /// Counts a request that starts to wait for `target`; returns whether it is the only one.
    pub fn on_wait(&mut self, target: &Target, now: Instant) -> bool {
        let sample = self.sample_mut(target, now);
        sample.waiting += 1;
        sample.waiting == 1
    }

    /// Counts a request that no longer waits for `target`.
    pub fn on_wait_end(&mut self, target: &Target) {
        if let Some(sample) = self.0.get_mut(target) {
            sample.waiting = sample.waiting.saturating_sub(1);
        }
    }

    /// Returns the demand at `now` and drops the targets without any.
    pub fn current(&mut self, now: Instant) -> BTreeMap<Target, Demand> {
        for sample in self.0.values_mut() {
            sample.decay(now);
        }
        self.0
            .retain(|_, sample| sample.waiting > 0 || sample.rate > MIN_RATE);
        let demands = self.0.iter().map(|(target, sample)| {
            let demand = Demand {
                rate: sample.rate,
                waiting: sample.waiting,
                late: sample.late,
            };
            (target.clone(), demand)
        });
        demands.collect()
    }

    fn sample_mut(&mut self, target: &Target, now: Instant) -> &mut Sample {
        self.0.entry(target.clone()).or_insert(Sample {
            rate: 0.0,
            late: 0.0,
            at: now,
            waiting: 0,
        })
    }
}

impl Sample {
    /// Brings the rates up to `now`.
    fn decay(&mut self, now: Instant) {
        let span = now.saturating_duration_since(self.at).as_secs_f64();
        let share = (-span / RATE_TIME.as_secs_f64()).exp();
        self.rate *= share;
        self.late *= share;
        self.at = now;
    }
}

/// Selects the part of this VM's demand that each report to the leader carries: targets that
/// requests wait for are in every report, all targets only in a full report at longer intervals.
#[derive(Debug, Default)]
pub struct DemandReporter {
    /// Targets that had waiting requests in the last report.
    reported_waiting: BTreeSet<Target>,
    /// When the next full report is due; `None` makes it due at once.
    next_full: Option<Instant>,
}

impl DemandReporter {
    /// Makes the next report a full one, for a new leader has not received any yet.
    pub fn reset(&mut self) {
        self.next_full = None;
    }

    /// Returns the entries of `demands` that are due to be reported, and whether these are all of
    /// them. A full report is due every `interval`.
    pub fn select_due(
        &mut self,
        mut demands: BTreeMap<Target, Demand>,
        now: Instant,
        interval: Duration,
    ) -> (BTreeMap<Target, Demand>, bool) {
        let full = self.next_full.is_none_or(|at| now >= at);
        // The report after the last waiting request has gone still has to say so, even if there is
        // no demand for the target any more.
        let before = std::mem::take(&mut self.reported_waiting);
        let pending = demands.iter().filter(|(_, demand)| demand.waiting > 0);
        self.reported_waiting = pending.map(|(target, _)| target.clone()).collect();
        if full {
            self.next_full = Some(now + interval);
        } else {
            demands.retain(|target, demand| demand.waiting > 0 || before.contains(target));
        }
        for target in before {
            demands.entry(target).or_default();
        }
        (demands, full)
    }
}

/// Demand that the other VMs reported, by target and VM, with the time of the report.
#[derive(Debug, Default)]
pub struct PeerDemand(BTreeMap<Target, BTreeMap<VmId, (Demand, Instant)>>);

impl PeerDemand {
    /// Records the demand for `target` that `vm` reported.
    pub fn on_report(&mut self, vm: &VmId, target: Target, demand: Demand, now: Instant) {
        let reports = self.0.entry(target).or_default();
        reports.insert(vm.clone(), (demand, now));
    }

    /// Returns the sum over the other VMs, by target, and drops expired reports.
    pub fn total(&mut self, now: Instant) -> BTreeMap<Target, Demand> {
        self.0.retain(|_, reports| {
            reports.retain(|_, (_, at)| now.saturating_duration_since(*at) < REPORT_LIFETIME);
            !reports.is_empty()
        });
        let sums = self.0.iter().map(|(target, reports)| {
            let mut sum = Demand::default();
            for (demand, _) in reports.values() {
                sum.rate += demand.rate;
                sum.waiting += demand.waiting;
                sum.late += demand.late;
            }
            (target.clone(), sum)
        });
        sums.collect()
    }
}
