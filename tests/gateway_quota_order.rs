//! The requests of one account of which many times its quota is asked.
//!
//! Guards against urgent short requests that are refused beside large patient ones, against patient
//! ones that are never admitted, and against an order that costs quota or bounds.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use basilgw::gateway::allowance::Allowance;
use basilgw::gateway::quota_order::QuotaOrder;
use basilgw::gateway::quota_refusals::QuotaRefusals;
use basilgw::units::Tokens;

mod gateway_support;
use gateway_support::quota::{Fleet, Kind, Plan, WINDOW};
use gateway_support::{ms, rate};

const URGENT: Kind = Kind {
    rank: 0,
    tokens: 200,
};
const MIDDLE: Kind = Kind {
    rank: 1,
    tokens: 700,
};
const PATIENT: Kind = Kind {
    rank: 2,
    tokens: 2400,
};

/// VMs of an account at so many times its rate, of which the kinds have these shares.
fn plan(vms: usize, load: f64, shares: [f64; 3]) -> Plan {
    let mut plan = Plan::new(vms);
    plan.rate = 20_000.0;
    plan.burst = 40_000;
    plan.starts = ms(500);
    plan.delay = ms(20);
    plan.loss = 0.02;
    plan.loads = vec![(Duration::ZERO, load)];
    plan.kinds = [URGENT, MIDDLE, PATIENT].into_iter().zip(shares).collect();
    plan.length = Duration::from_mins(1);
    plan
}

/// When the burst is used up and the VMs hear each other.
const STEADY: Duration = Duration::from_secs(8);
/// Five times the rate, of which half a rate is urgent, and three are patient.
const MIXED: [f64; 3] = [0.1, 0.3, 0.6];
/// Five times the rate, of which three are urgent.
const URGENT_MOSTLY: [f64; 3] = [0.6, 0.2, 0.2];

/// Share of the requests of each kind that are admitted.
fn served(plan: &Plan) -> [f64; 3] {
    let fleet = Fleet::play(plan.clone(), 1);
    assert!(fleet.most() <= plan.allowed(), "{plan:?}");
    let rate = plan.rate * WINDOW.as_secs_f64();
    assert!(fleet.last() >= 0.9 * rate, "{}: {plan:?}", fleet.last());
    let served = fleet.served(STEADY);
    [URGENT, MIDDLE, PATIENT].map(|kind| served[&kind])
}

#[test]
fn urgent_short_requests_are_admitted_beside_large_patient_ones_at_five_times_the_rate() {
    for vms in [1, 7, 85] {
        let [urgent, middle, patient] = served(&plan(vms, 5.0, MIXED));
        assert!(urgent >= 0.75, "{vms} VMs: {urgent}");
        assert!(urgent > 2.0 * middle, "{vms} VMs: {urgent} {middle}");
        assert!(middle > 2.0 * patient, "{vms} VMs: {middle} {patient}");
    }
}

#[test]
fn patient_requests_are_not_starved_by_urgent_ones_beyond_the_rate() {
    for vms in [1, 7, 85] {
        let [_, middle, patient] = served(&plan(vms, 5.0, URGENT_MOSTLY));
        assert!(middle >= 0.03, "{vms} VMs: {middle}");
        assert!(patient >= 0.03, "{vms} VMs: {patient}");
    }
}

#[test]
fn requests_of_an_account_within_its_quota_are_not_ranked() {
    for vms in [7, 85] {
        let mut plan = plan(vms, 0.0, MIXED);
        plan.loads.push((ms(5000), 0.8));
        let refused = Fleet::play(plan.clone(), 1).refused(&(STEADY..plan.length));
        assert!(refused.is_empty(), "{refused:?}");
    }
    let now = Instant::now();
    let mut order = QuotaOrder::open(now);
    order.on_request(9, Tokens(9000), now);
    assert!(order.reserve(9, Tokens(9000), 1000.0, 0.9, now) < f64::EPSILON);
    order.on_refused(now);
    assert!(order.reserve(9, Tokens(9000), 1000.0, 0.9, now) > 0.0);
    let later = now + ms(5100);
    assert!(order.reserve(9, Tokens(9000), 1000.0, 0.9, later) < f64::EPSILON);
}

#[test]
fn an_account_that_is_back_within_its_quota_is_refused_nothing_soon_after() {
    for vms in [7, 85] {
        let mut plan = plan(vms, 5.0, MIXED);
        plan.loads.push((ms(15_000), 0.7));
        let refused = Fleet::play(plan.clone(), 1).refused(&(ms(20_000)..ms(30_000)));
        assert!(refused.is_empty(), "{vms} VMs: {refused:?}");
    }
}

/// An account of which requests were refused 2 s after `opened`, with a level of zero.
fn emptied(opened: Instant) -> Allowance {
    let mut allowance = Allowance::open(rate(1000.0), Tokens(2000), true, opened);
    let start = opened + ms(2000);
    allowance.refill(start, 1.0);
    allowance.on_peer_usage(2000, None, start, 1.0);
    let refused = allowance.admit(0, Tokens(100), start, 1.0, 0.5);
    assert!(refused.is_err());
    allowance
}

#[test]
fn a_refused_request_is_admitted_at_the_time_that_it_was_told() {
    for kind in [URGENT, MIDDLE, PATIENT] {
        let start = Instant::now();
        let mut allowance = emptied(start);
        let start = start + ms(2000);
        let tokens = Tokens(kind.tokens);
        let wait = allowance.admit(kind.rank, tokens, start, 1.0, 0.5);
        let wait = wait.expect_err("nothing left");
        let early = allowance
            .clone()
            .admit(kind.rank, tokens, start + wait / 2, 1.0, 0.5);
        assert!(early.is_err(), "{kind:?} after half of {wait:?}");
        let due = start + wait + ms(1);
        let admitted = allowance.admit(kind.rank, tokens, due, 1.0, 0.5);
        assert!(admitted.is_ok(), "{kind:?} after {wait:?}");
    }
}

#[test]
fn large_requests_leave_more_than_small_ones_of_their_rank() {
    let now = Instant::now();
    let mut order = QuotaOrder::open(now);
    order.on_refused(now);
    let reserve = |tokens| order.reserve(0, Tokens(tokens), 40_000.0, 0.5, now);
    assert!(reserve(2400) > 2.0 * reserve(200));
    assert!(reserve(200) < 200.0);
}

#[test]
fn a_patient_request_is_told_the_time_that_urgent_ones_leave_it() {
    let start = Instant::now();
    let wait = |urgent: u64| {
        let mut allowance = Allowance::open(rate(1000.0), Tokens(2000), true, start);
        let start = start + ms(2000);
        for rank in [0, 2] {
            let tokens = Tokens(if rank == 0 { urgent } else { 1000 - urgent });
            allowance
                .admit(rank, tokens, start, 1.0, 0.5)
                .expect("a full level");
        }
        allowance.on_peer_usage(1000, None, start, 1.0);
        let refused = allowance.admit(2, Tokens(500), start, 1.0, 0.5);
        refused.expect_err("nothing left")
    };
    assert!(wait(900) > 4 * wait(100), "{:?} {:?}", wait(900), wait(100));
}

#[test]
fn refusals_of_one_account_are_logged_once_a_second() {
    let start = Instant::now();
    let mut refusals = QuotaRefusals::default();
    let mut logged = Vec::new();
    for n in 0..3000_u64 {
        let now = start + ms(n);
        refusals.add((n % 2) as u8);
        logged.extend(refusals.take_due(now));
    }
    assert_eq!(logged.len(), 3);
    assert_eq!(logged[1], BTreeMap::from([(0, 500), (1, 500)]));
}

#[test]
fn refusals_of_a_vm_that_has_just_started_rank_nothing() {
    let start = Instant::now();
    let mut allowance = Allowance::open(rate(1000.0), Tokens(2000), false, start);
    for (part, exhausted) in [(0.5, false), (0.3, false), (0.5, true)] {
        let now = start + ms(if part < 0.5 || exhausted { 2000 } else { 100 });
        let refused = allowance.admit(9, Tokens(9000), now, part, 1.0);
        assert!(refused.is_err());
        assert_eq!(allowance.was_exhausted(ms(10), now), exhausted, "{part}");
    }
}
