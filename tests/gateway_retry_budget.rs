//! The retries of all VMs together, in virtual time, against the platform's bound: VMs start again,
//! have not read the list of VMs, and take over the callers of others while all upstreams fail.
//!
//! Guards against a budget that each VM keeps to alone and that all VMs together exceed.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use basilgw::gateway::attempt::Attempts;
use basilgw::gateway::exchange::ResponseError;
use basilgw::gateway::reachability::Reachability;
use basilgw::gateway::registrar::StoppedProcess;
use basilgw::gateway::retry_budget::{PAYMENT_LIFETIME, Payment, RetryBound, RetryBudget};
use basilgw::gateway::retry_metrics::{RetryCause, RetryMetrics};
use basilgw::ids::{StoreGeneration, Version};
use basilgw::metrics::Metrics;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

mod gateway_support;
use gateway_support::{id, ms};

/// Length of the platform's window, and of one step, in milliseconds.
const WINDOW_MS: u64 = 10_000;
const STEP_MS: u64 = 100;
/// Numbers of VMs, each with the slack of a deployment of about that size.
const SIZES: [(u32, f64); 4] = [(9, 58.0), (87, 214.0), (295, 630.0), (360, 630.0)];

fn bound(slack: f64) -> RetryBound {
    RetryBound {
        ratio: 0.2,
        slack,
        window: ms(WINDOW_MS),
    }
}

/// One VM; its process may be down.
struct Vm {
    budget: Option<RetryBudget>,
    reachability: Reachability,
    /// Requests a step.
    rate: f64,
    /// Part of a request that the next step adds to.
    rest: f64,
}

struct Fleet {
    start: Instant,
    bound: RetryBound,
    vms: Vec<Vm>,
    now: u64,
    /// Times of all requests and of all retries.
    requests: Vec<u64>,
    retries: Vec<u64>,
}

impl Fleet {
    /// VMs that have run for two windows without a failure, each with `rate` requests a second.
    fn open(vms: u32, slack: f64, rate: f64) -> Self {
        let start = Instant::now();
        let mut fleet = Self {
            start,
            bound: bound(slack),
            vms: Vec::new(),
            now: 0,
            requests: Vec::new(),
            retries: Vec::new(),
        };
        for _ in 0..vms {
            let vm = fleet.process(vms, rate);
            fleet.vms.push(vm);
        }
        fleet.play(2 * WINDOW_MS, false);
        fleet
    }

    fn at(&self) -> Instant {
        self.start + ms(self.now)
    }

    /// A process that starts now and has read the list of VMs.
    fn process(&self, vms: u32, rate: f64) -> Vm {
        let mut reachability = Reachability::open(self.at());
        reachability.listed = true;
        reachability.vms = vms;
        reachability.peak = vms;
        Vm {
            budget: Some(RetryBudget::new(self.bound, Some(self.at()))),
            reachability,
            rate: rate * STEP_MS as f64 / 1000.0,
            rest: 0.0,
        }
    }

    fn restart(&mut self, vm: usize) {
        let vms = self.vms.len() as u32;
        let rate = self.vms[vm].rate * 1000.0 / STEP_MS as f64;
        self.vms[vm] = self.process(vms, rate);
    }

    /// Restarts a VM whose process stops as planned and tells the next one what it has used.
    fn restart_planned(&mut self, vm: usize) {
        let now = self.at();
        let budget = self.vms[vm].budget.as_mut();
        let used = budget.and_then(|budget| budget.slack_used(now));
        self.restart(vm);
        if let (Some(used), Some(budget)) = (used, &mut self.vms[vm].budget) {
            budget.take_over(used, now);
        }
    }

    /// Plays for `length`; where all upstreams fail, each VM retries as often as it may.
    fn play(&mut self, length: u64, failing: bool) {
        let end = self.now + length;
        while self.now < end {
            self.now += STEP_MS;
            let now = self.at();
            for vm in &mut self.vms {
                let Some(budget) = &mut vm.budget else {
                    continue;
                };
                vm.rest += vm.rate;
                while vm.rest >= 1.0 {
                    vm.rest -= 1.0;
                    budget.on_request(now);
                    self.requests.push(self.now);
                }
                while failing && budget.try_spend(vm.reachability.most_vms(), now) {
                    self.retries.push(self.now);
                }
            }
        }
    }

    /// Retries in the span from `from` on, and how many the platform allows in it.
    fn span(&self, from: u64) -> (f64, f64) {
        let within = |times: &[u64], from: u64| {
            let until = from + WINDOW_MS;
            let below = |end: u64| times.partition_point(|at| *at < end);
            (below(until) - below(from)) as f64
        };
        let starts = [
            from,
            from.saturating_sub(WINDOW_MS / 2),
            from.saturating_sub(WINDOW_MS),
        ];
        let most = starts.map(|from| within(&self.requests, from));
        let most = most.into_iter().fold(0.0, f64::max);
        let allowed = self.bound.ratio * most + self.bound.slack;
        (within(&self.retries, from), allowed)
    }

    /// The span that exceeds the bound most, if one does.
    fn breach(&self) -> Option<String> {
        let starts = (0..self.now).step_by(STEP_MS as usize);
        let spans = starts.map(|from| (from, self.span(from)));
        let over = spans.filter(|(_, (retries, allowed))| retries > allowed);
        let worst = over.max_by_key(|(_, (retries, allowed))| (retries - allowed) as u64);
        let (from, (retries, allowed)) = worst?;
        let vms = self.vms.len();
        Some(format!(
            "{vms} VMs: {retries} in 10 s from {from} ms, {allowed:.0} allowed"
        ))
    }
}

/// Checks that no fleet exceeded the bound.
fn check<I>(fleets: I)
where
    I: IntoIterator<Item = Fleet>,
{
    let breaches: Vec<_> = fleets
        .into_iter()
        .filter_map(|fleet| fleet.breach())
        .collect();
    assert!(breaches.is_empty(), "{breaches:#?}");
}

// Guards against: a process that spends anew what the one before it has spent in the same window.
#[test]
fn vms_that_all_start_again_keep_to_the_slack() {
    check(SIZES.map(|(vms, slack)| {
        let mut fleet = Fleet::open(vms, slack, 0.5);
        fleet.play(2000, true);
        for vm in 0..vms as usize {
            fleet.restart(vm);
        }
        fleet.play(20_000, true);
        fleet
    }));
}

// Guards against: a process that takes over from one before it, and one before that, and spends anew
// what they have spent in the same window.
#[test]
fn vms_that_all_restart_as_planned_again_and_again_keep_to_the_slack() {
    check(SIZES.map(|(vms, slack)| {
        let mut fleet = Fleet::open(vms, slack, 0.5);
        for _ in 0..8 {
            fleet.play(1500, true);
            for vm in 0..vms as usize {
                fleet.restart_planned(vm);
            }
        }
        fleet.play(20_000, true);
        fleet
    }));
}

// Guards against: a process that stops as planned and says that nothing is used, though it doesn't
// know what the one before it had used that was killed.
#[test]
fn vms_that_restart_as_planned_soon_after_a_kill_keep_to_the_slack() {
    check(SIZES.map(|(vms, slack)| {
        let mut fleet = Fleet::open(vms, slack, 0.1);
        fleet.play(1000, true);
        for vm in 0..vms as usize {
            fleet.restart(vm);
        }
        fleet.play(500, true);
        for vm in 0..vms as usize {
            fleet.restart_planned(vm);
        }
        fleet.play(20_000, true);
        fleet
    }));
}

// Guards against: any order of planned restarts and kills in which the sum exceeds the bound.
#[test]
fn vms_that_are_killed_and_restarted_as_planned_keep_to_the_bound() {
    check((0..24).map(|seed| {
        let mut rng = StdRng::seed_from_u64(seed);
        let (vms, slack) = SIZES[seed as usize % 2];
        let mut fleet = Fleet::open(vms, slack, rng.random_range(0.2..8.0));
        for _ in 0..20 {
            for vm in 0..vms as usize {
                match rng.random_range(0..6) {
                    0 => fleet.restart(vm),
                    1 | 2 => fleet.restart_planned(vm),
                    _ => {}
                }
            }
            let failing = rng.random_bool(0.7);
            fleet.play(rng.random_range(1..30) * STEP_MS, failing);
        }
        fleet
    }));
}

// Guards against: a process that has no part of the slack though the one before left it some.
#[test]
fn a_vm_that_restarted_as_planned_has_what_is_left_of_its_part() {
    let mut fleet = Fleet::open(9, 58.0, 0.0);
    fleet.restart_planned(0);
    fleet.vms.truncate(1);
    fleet.play(STEP_MS, true);
    assert_eq!(fleet.retries.len(), 3, "its whole part");
    fleet.restart_planned(0);
    fleet.play(WINDOW_MS - STEP_MS, true);
    assert_eq!(fleet.retries.len(), 3, "the process before has used it");
    fleet.play(STEP_MS, true);
    assert_eq!(fleet.retries.len(), 6);
}

// Guards against: what a process left that is used again once the store has come back from a copy in
// which it stands, though other processes followed.
#[test]
fn what_a_process_left_holds_only_in_the_generation_in_which_it_was_written() {
    let version = |generation| Version::compose(StoreGeneration(generation), 7).expect("a version");
    let retries = BTreeMap::from([(id("llm"), 2)]);
    let left = StoppedProcess {
        generation: version(3).generation(),
        retries: retries.clone(),
    };
    assert_eq!(left.clone().retries_if_last(version(3)), Some(retries));
    assert_eq!(left.retries_if_last(version(4)), None);
}

// Guards against: VMs that start while the list of VMs cannot be read, and take themselves for few.
#[test]
fn vms_that_have_not_read_the_list_keep_to_the_slack() {
    check(SIZES.map(|(vms, slack)| {
        let mut fleet = Fleet::open(vms, slack, 0.1);
        for vm in 0..vms as usize {
            fleet.restart(vm);
            fleet.vms[vm].reachability = Reachability::open(fleet.at());
        }
        fleet.play(30_000, true);
        fleet
    }));
}

// Guards against: VMs that pay for retries with requests of a window that the callers have left.
#[test]
fn vms_that_take_over_the_callers_of_others_keep_to_the_ratio() {
    check(SIZES.map(|(vms, slack)| {
        let mut fleet = Fleet::open(vms, slack, 0.0);
        let half = vms as usize / 2;
        for vm in 0..half {
            fleet.vms[vm].rate = 2.0;
        }
        fleet.play(WINDOW_MS, false);
        fleet.play(STEP_MS, true);
        for vm in 0..half {
            fleet.vms[vm].budget = None;
            fleet.vms[half + vm].rate = 2.0;
        }
        fleet.play(WINDOW_MS + 2000, true);
        fleet
    }));
}

// Guards against: VMs that have their part of the slack before the others count with them.
#[test]
fn vms_that_are_added_keep_to_the_slack() {
    check(SIZES.map(|(vms, slack)| {
        let mut fleet = Fleet::open(vms / 2, slack, 0.1);
        fleet.play(1000, true);
        for _ in vms / 2..vms {
            let vm = fleet.process(vms, 0.0);
            fleet.vms.push(vm);
        }
        fleet.play(2500, true);
        for vm in &mut fleet.vms {
            vm.reachability.peak = vms;
        }
        fleet.play(25_000, true);
        fleet
    }));
}

// Guards against: any order of kills, starts, moved callers and failures in which the sum exceeds
// the bound.
#[test]
fn vms_in_random_trouble_keep_to_the_bound() {
    check((0..24).map(|seed| {
        let mut rng = StdRng::seed_from_u64(seed);
        let (vms, slack) = SIZES[seed as usize % 2];
        let mut fleet = Fleet::open(vms, slack, rng.random_range(0.2..8.0));
        for _ in 0..20 {
            let share = rng.random_range(0.0..0.6);
            for vm in 0..vms as usize {
                if fleet.vms[vm].budget.is_none() {
                    fleet.restart(vm);
                } else if rng.random_bool(share) {
                    fleet.vms[vm].budget = None;
                    let other = rng.random_range(0..vms as usize);
                    let rate = std::mem::take(&mut fleet.vms[vm].rate);
                    fleet.vms[other].rate += rate;
                }
            }
            let failing = rng.random_bool(0.7);
            fleet.play(rng.random_range(1..30) * STEP_MS, failing);
        }
        fleet
    }));
}

// Guards against: a budget so careful that VMs in calm, a tenth of which have half of the callers,
// leave most of it.
#[test]
fn vms_in_calm_use_most_of_the_budget() {
    for (vms, slack) in SIZES {
        let mut fleet = Fleet::open(vms, slack, 0.0);
        let total = 5.0 * f64::from(vms) * STEP_MS as f64 / 1000.0;
        let busy = vms.div_ceil(10) as usize;
        for (index, vm) in fleet.vms.iter_mut().enumerate() {
            let sharing = if index < busy {
                busy
            } else {
                vms as usize - busy
            };
            vm.rate = total / 2.0 / sharing as f64;
        }
        fleet.play(WINDOW_MS, false);
        let from = fleet.now;
        fleet.play(WINDOW_MS, true);
        let (retries, allowed) = fleet.span(from);
        println!("{vms} VMs: {retries} of {allowed}");
        assert!(
            retries >= 0.5 * allowed,
            "{vms} VMs: {retries} of {allowed}"
        );
    }
}

// Guards against: a VM that runs for long and may not use its part of the slack at once.
#[test]
fn a_vm_without_requests_has_its_part_of_the_slack() {
    let mut fleet = Fleet::open(9, 58.0, 0.0);
    fleet.play(STEP_MS, true);
    assert_eq!(fleet.retries.len(), 27, "3 of 58 / 16 at each of 9 VMs");
}

// Guards against: a process that never has its part of the slack after it has started again.
#[test]
fn a_vm_that_started_again_has_its_part_of_the_slack_in_the_end() {
    let mut fleet = Fleet::open(9, 58.0, 0.0);
    fleet.restart(0);
    fleet.vms.truncate(1);
    fleet.play(12_900, true);
    assert!(
        fleet.retries.is_empty(),
        "the process before may have used it"
    );
    fleet.play(STEP_MS, true);
    assert_eq!(fleet.retries.len(), 3);
}

// Guards against: VMs that wait with their part of the slack although no process was before them.
#[test]
fn a_vm_has_its_part_of_the_slack_on_the_first_start_of_the_whole_system() {
    let mut budget = RetryBudget::new(bound(58.0), None);
    assert!(budget.try_spend(9, Instant::now()));
}

// Guards against: a retry that is forgotten before the window has ended, or counted after it.
#[test]
fn a_retry_counts_for_a_window() {
    let start = Instant::now();
    let mut budget = RetryBudget::new(bound(16.0), Some(start));
    let later = start + Duration::from_mins(1);
    assert!(budget.try_spend(1, later));
    assert!(!budget.try_spend(1, later + ms(WINDOW_MS - 1)));
    assert!(budget.try_spend(1, later + ms(WINDOW_MS)));
}

// Guards against: metrics in which retries and refusals, or their causes, are one.
#[test]
fn retries_are_counted_by_cause_and_by_decision() {
    let metrics = Metrics::open();
    let retries = RetryMetrics::open(&metrics).expect("new metrics");
    retries.decided(RetryCause::from(ResponseError::Silent), true);
    retries.decided(RetryCause::Declined, false);
    let text = metrics.render().expect("text");
    assert!(text.contains("basilgw_retries_total{cause=\"silent\"} 1"));
    assert!(text.contains("basilgw_retries_refused_total{cause=\"declined\"} 1"));
}

// Guards against: retries that are paid for in one window and sent in another.
#[test]
fn a_payment_for_a_retry_holds_only_for_a_moment() {
    let paid = Instant::now();
    let payment = Payment::new(paid);
    assert!(payment.is_valid(paid + PAYMENT_LIFETIME / 2));
    assert!(!payment.is_valid(paid + PAYMENT_LIFETIME));
}

// Guards against: a first attempt that opens no connection and leaves a payment that nobody made,
// with which the next retry is not counted.
#[test]
fn a_first_attempt_leaves_no_payment() {
    let payment = Payment::new(Instant::now());
    let mut attempts = Attempts::default();
    attempts.keep_payment(payment);
    assert_eq!(attempts.payment, None);
    attempts.ended = Some(RetryCause::Declined);
    attempts.keep_payment(payment);
    assert_eq!(attempts.payment, Some(payment));
}
