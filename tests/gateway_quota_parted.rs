//! The quota of an account that does not use it up, when VMs are cut off, stand still and start
//! anew (`allowance`, `forgone`).
//!
//! Guards against VMs that subtract in a lump what the others admitted while none of them heard
//! each other, although they left it to them meanwhile.

use std::time::{Duration, Instant};

use basilgw::gateway::allowance::Allowance;
use basilgw::gateway::reachability::Part;
use basilgw::gateway::recent_use::RecentUse;
use basilgw::units::Tokens;

mod gateway_support;
use gateway_support::quota::{Fleet, Plan, Span, WINDOW};
use gateway_support::{ms, rate};

/// When VMs are cut off, stand still or start anew.
const FROM: Duration = Duration::from_secs(6);

/// VMs of an account that sends half of its rate.
fn half(vms: usize) -> Plan {
    let mut plan = Plan::new(vms);
    plan.starts = ms(500);
    plan.loads = vec![(Duration::ZERO, 0.5)];
    plan.rate = 100_000.0;
    plan.burst = 200_000;
    plan.delay = ms(40);
    plan.loss = 0.02;
    plan
}

/// Checks that from `heard` on no request is refused for `length`.
fn check_unrefused(mut plan: Plan, heard: Duration, length: Duration) {
    let span: Span = heard..heard + length;
    plan.length = span.end;
    for seed in 1..=2 {
        let refused = Fleet::play(plan.clone(), seed).refused(&span);
        assert!(
            refused.is_empty(),
            "{refused:?} by VM, seed {seed}; {plan:?}"
        );
    }
}

/// Time until VMs have heard each other for one report.
const REPORT: Duration = Duration::from_millis(1600);
const AFTER: Duration = Duration::from_secs(6);

#[test]
fn a_data_centre_that_was_cut_off_refuses_nothing_of_half_the_quota() {
    for (vms, secs) in [(7, 5), (60, 5), (85, 13), (360, 3)] {
        let mut plan = half(vms);
        let until = FROM + Duration::from_secs(secs);
        plan.cut(0..vms / 3, &(FROM..until));
        check_unrefused(plan, until + REPORT, AFTER);
    }
}

#[test]
fn a_vm_that_was_cut_off_refuses_nothing_of_half_the_quota() {
    for (vms, secs) in [(7, 5), (60, 5), (85, 13)] {
        let mut plan = half(vms);
        let until = FROM + Duration::from_secs(secs);
        plan.cut(0..1, &(FROM..until));
        check_unrefused(plan, until + REPORT, AFTER);
    }
}

#[test]
fn vms_that_stood_still_refuse_nothing_of_half_the_quota() {
    for (vms, secs) in [(7, 5), (60, 5), (85, 13)] {
        let mut plan = half(vms);
        let until = FROM + Duration::from_secs(secs);
        plan.freezes = vec![(0..vms / 3, FROM..until)];
        check_unrefused(plan, until + REPORT, AFTER);
    }
}

#[test]
fn vms_that_are_heard_but_hear_nobody_refuse_nothing_of_half_the_quota() {
    for (vms, secs) in [(7, 5), (60, 5), (85, 13)] {
        let mut plan = half(vms);
        let until = FROM + Duration::from_secs(secs);
        plan.cuts = vec![(0..vms, 0..vms / 3, FROM..until)];
        check_unrefused(plan, until + REPORT, AFTER);
    }
}

#[test]
fn vms_that_start_anew_refuse_nothing_of_half_the_quota() {
    for vms in [7, 60, 85] {
        let mut plan = half(vms);
        plan.restarts = vec![(0..vms / 3, FROM)];
        check_unrefused(plan, FROM + Duration::from_secs(1) + REPORT, AFTER);
    }
}

/// The same VMs, cut off, standing still or starting anew.
fn disturbed(vms: usize, until: Duration) -> Vec<Plan> {
    let third = 0..vms / 3;
    let mut cut = half(vms);
    cut.cut(third.clone(), &(FROM..until));
    let mut deaf = half(vms);
    deaf.cuts = vec![(0..vms, third.clone(), FROM..until)];
    let mut mute = half(vms);
    mute.cuts = vec![(third.clone(), 0..vms, FROM..until)];
    let mut frozen = half(vms);
    frozen.freezes = vec![(third.clone(), FROM..until)];
    let mut restarted = half(vms);
    restarted.restarts = vec![(third, FROM)];
    vec![cut, deaf, mute, frozen, restarted]
}

/// Checks that an account which turns to many times its rate at `hot` keeps to its quota, and gets
/// its rate again after the disturbance.
fn check_bound(mut plan: Plan, hot: Duration, until: Duration) {
    plan.loads.push((hot, 4.0));
    plan.length = until + WINDOW + ms(2000);
    let fleet = Fleet::play(plan.clone(), 1);
    let (most, allowed) = (fleet.most(), plan.allowed());
    assert!(most <= allowed, "{most} of {allowed}, {hot:?}: {plan:?}");
    let (last, rate) = (fleet.last(), plan.rate * WINDOW.as_secs_f64());
    assert!(last >= 0.9 * rate, "{last} of {rate}, {hot:?}: {plan:?}");
}

#[test]
fn an_account_over_its_rate_keeps_to_it_while_vms_are_cut_off_and_come_back() {
    let until = FROM + Duration::from_secs(5);
    for hot in [Duration::ZERO, FROM + ms(2500), until + ms(300)] {
        for vms in [7, 60] {
            for plan in disturbed(vms, until) {
                check_bound(plan, hot, until);
            }
        }
    }
}

#[test]
fn an_account_over_its_rate_keeps_to_it_over_many_vms_that_are_cut_off() {
    let until = FROM + Duration::from_secs(4);
    for vms in [85, 360] {
        let plans = disturbed(vms, until).into_iter();
        for plan in plans.take(1) {
            check_bound(plan, until + ms(300), until);
        }
    }
}

/// Largest request that the level admits.
fn level<P>(allowance: &Allowance, now: Instant, part: P) -> u64
where
    P: Into<Part> + Copy,
{
    let admits = |tokens: &u64| {
        let mut copy = allowance.clone();
        copy.admit(0, Tokens(*tokens), now, part, 1.0).is_ok()
    };
    (0..=2000).step_by(100).filter(admits).max().unwrap_or(0)
}

#[test]
fn what_was_left_to_others_covers_their_usage_once() {
    let start = Instant::now();
    let now = start + ms(4000);
    let mut allowance = Allowance::open(rate(1000.0), Tokens(2000), true, start);
    allowance.refill(now, 0.5);
    // It has left them half of the burst and 4 s of the rate, as it was full.
    allowance.on_peer_usage(3000, Some(ms(4000)), now, 0.5);
    assert_eq!(level(&allowance, now, 0.5), 1000);
    allowance.on_peer_usage(2500, Some(ms(4000)), now, 0.5);
    assert_eq!(level(&allowance, now, 0.5), 500);
}

#[test]
fn what_was_left_to_others_before_their_silence_covers_nothing() {
    let start = Instant::now();
    let now = start + ms(4000);
    let mut allowance = Allowance::open(rate(1000.0), Tokens(2000), true, start);
    allowance.refill(start + ms(2000), 0.5);
    allowance.refill(now, 1.0);
    allowance.on_peer_usage(1500, Some(ms(1000)), now, 1.0);
    // The second that did not fit into the burst is of the silence.
    assert_eq!(level(&allowance, now, 1.0), 1500);
    allowance.on_peer_usage(500, None, now, 1.0);
    assert_eq!(level(&allowance, now, 1.0), 1000, "heard in time");
}

// Guards against: groups that have the whole burst each until they notice a cut, and pay nothing back.
#[test]
fn an_account_that_turns_to_many_times_its_rate_as_many_vms_are_cut_off_keeps_to_it() {
    let until = FROM + Duration::from_secs(5);
    for vms in [60, 85] {
        for hot in [FROM, FROM + ms(500)] {
            let mut plan = half(vms);
            plan.cut(0..vms / 3, &(FROM..until));
            check_bound(plan, hot, until);
        }
    }
}

#[test]
fn an_account_that_turns_to_many_times_its_rate_as_few_vms_are_cut_off_keeps_to_it() {
    let until = FROM + Duration::from_secs(5);
    for hot in [FROM, FROM + ms(500)] {
        let mut plan = half(7);
        plan.cut(0..2, &(FROM..until));
        check_bound(plan, hot, until);
    }
}

/// An account of which this VM, one of two, admits half of the burst, and its level 1 s later.
fn level_after(part: Part) -> u64 {
    let start = Instant::now();
    let now = start + ms(1000);
    let mut allowance = Allowance::open(rate(1000.0), Tokens(2000), true, start);
    let whole = Part {
        share: 1.0,
        heard: 2.0,
        silence: ms(1000),
    };
    allowance.refill(start, whole);
    let admitted = allowance.admit(0, Tokens(1000), start, whole, 1.0);
    assert_eq!(admitted, Ok(()));
    level(&allowance, now, part)
}

// Guards against: a part that counts from when a silence is noticed, after the group used more than it.
#[test]
fn a_smaller_part_counts_from_the_beginning_of_the_silence() {
    let half = Part {
        share: 0.5,
        heard: 1.0,
        silence: ms(1000),
    };
    // Half of the burst and of 1 s of the rate, less what was admitted since.
    assert_eq!(level_after(half), 500);
}

// Guards against: VMs that are only just registered and taken for VMs that fell silent.
#[test]
fn vms_that_are_registered_take_nothing_of_what_was_admitted_before() {
    let listed = Part {
        share: 0.5,
        heard: 2.0,
        silence: ms(1000),
    };
    assert_eq!(level_after(listed), 1000);
}

// Guards against: tokens of before a silence that count as admitted in it, or ones in it that are missed.
#[test]
fn recent_use_counts_the_tokens_of_a_span() {
    let start = Instant::now();
    let mut recent = RecentUse::default();
    for (at, tokens) in [(0, 100.0), (500, 200.0), (1000, 400.0)] {
        recent.add(tokens, start + ms(at));
    }
    let within = recent.within(ms(600), start + ms(1000));
    assert!((within - 600.0).abs() < f64::EPSILON, "{within}");
}
