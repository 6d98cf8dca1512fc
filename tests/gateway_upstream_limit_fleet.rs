//! Many VMs in virtual time in front of an upstream that names a limit.

use std::collections::BTreeSet;
use std::time::Duration;

mod gateway_support;
use gateway_support::limited::{Disturbed, Outcome, Plan, Simulation};
use gateway_support::ms;

/// When the limit is first named, in each plan.
const NAMED: Duration = Duration::from_secs(1);
/// Time from then until all VMs must keep to it.
const KNOWN_AFTER: Duration = Duration::from_secs(1);
/// Share of the rate that must be used while there are three times as many requests.
const LEAST_USED: f64 = 0.8;
const FLEETS: [usize; 4] = [7, 85, 295, 360];
const SEEDS: [u64; 3] = [1, 2, 3];

fn secs(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn check(outcome: &Outcome, plan: &Plan, limit: f64) {
    outcome.check(limit, NAMED + KNOWN_AFTER, plan.length);
}

// Guards against: each VM keeps the limit alone, or uses a part too small to send anything (LIMIT).
#[test]
fn a_fleet_of_any_size_gives_an_upstream_what_it_names_and_no_more() {
    for vms in FLEETS {
        for limit in [2.0, 20.0] {
            for seed in SEEDS {
                let plan = Plan::new(vms, limit);
                let outcome = Simulation::play(plan.clone(), seed);
                check(&outcome, &plan, limit);
                let used = outcome.used(limit, NAMED + KNOWN_AFTER, plan.length);
                assert!(used >= LEAST_USED, "{vms} VMs at {limit}: used {used}");
            }
        }
    }
}

// Guards against: the rate is divided by VMs, so that most of it is lost where few have requests.
#[test]
fn requests_at_three_vms_use_what_the_upstream_names() {
    for vms in FLEETS {
        let mut plan = Plan::new(vms, 5.0);
        plan.busy = 3;
        let outcome = Simulation::play(plan.clone(), 4);
        check(&outcome, &plan, 5.0);
        let used = outcome.used(5.0, NAMED + KNOWN_AFTER, plan.length);
        assert!(used >= LEAST_USED, "{vms} VMs: used {used}");
    }
}

// Guards against: requests that another upstream can serve wait, or leave the rate unused.
#[test]
fn requests_that_do_not_wait_use_what_the_upstream_names() {
    for vms in FLEETS {
        let mut plan = Plan::new(vms, 5.0);
        plan.max_wait = Duration::ZERO;
        let outcome = Simulation::play(plan.clone(), 5);
        check(&outcome, &plan, 5.0);
        let used = outcome.used(5.0, NAMED + KNOWN_AFTER, plan.length);
        assert!(used >= LEAST_USED, "{vms} VMs: used {used}");
    }
}

// Guards against: a grant that is asked for again after a lost datagram counts twice, or is lost.
#[test]
fn lost_datagrams_break_no_limit_and_waste_little() {
    for vms in FLEETS {
        for seed in SEEDS {
            let mut plan = Plan::new(vms, 4.0);
            plan.loss = 0.1;
            let outcome = Simulation::play(plan.clone(), seed);
            check(&outcome, &plan, 4.0);
            let used = outcome.used(4.0, NAMED + KNOWN_AFTER, plan.length);
            assert!(used >= 0.7, "{vms} VMs: used {used}");
        }
    }
}

// Guards against: VMs that hear no leader use the whole rate, or each one request at once.
#[test]
fn vms_that_are_cut_off_keep_to_their_part() {
    for vms in FLEETS {
        for share in [3, 2, 1] {
            let mut plan = Plan::new(vms, 4.0);
            plan.cut = Disturbed {
                vms: (1..=(vms - 1) / share).collect(),
                from: secs(5),
                to: secs(12),
            };
            let outcome = Simulation::play(plan.clone(), 6);
            check(&outcome, &plan, 4.0);
        }
    }
}

// Guards against: the leader and those that no longer hear it both use the rate.
#[test]
fn a_leader_that_is_cut_off_grants_no_more_than_the_rate() {
    for vms in FLEETS {
        let mut plan = Plan::new(vms, 4.0);
        plan.cut = Disturbed {
            vms: BTreeSet::from([0]),
            from: secs(5),
            to: secs(12),
        };
        let outcome = Simulation::play(plan.clone(), 7);
        check(&outcome, &plan, 4.0);
    }
}

// Guards against: a new leader grants again what its predecessor has granted, or nothing for long.
#[test]
fn a_new_leader_grants_after_its_predecessor_has_ended() {
    for vms in FLEETS {
        for seed in SEEDS {
            let mut plan = Plan::new(vms, 4.0);
            plan.leader_lost = Some(secs(6));
            let outcome = Simulation::play(plan.clone(), seed);
            check(&outcome, &plan, 4.0);
            let used = outcome.used(4.0, secs(12), plan.length);
            assert!(used >= LEAST_USED, "{vms} VMs: used {used} later");
        }
    }
}

// Guards against: a leader that wakes grants beside its successor; a VM that wakes sends what was
// granted to it long ago.
#[test]
fn frozen_vms_that_wake_send_nothing_old() {
    for vms in FLEETS {
        for frozen in [BTreeSet::from([0]), (1..vms / 2).collect()] {
            let mut plan = Plan::new(vms, 4.0);
            plan.frozen = Disturbed {
                vms: frozen,
                from: secs(5),
                to: secs(10),
            };
            let outcome = Simulation::play(plan.clone(), 8);
            check(&outcome, &plan, 4.0);
        }
    }
}

// Guards against: VMs that start begin with requests of their own.
#[test]
fn vms_that_start_keep_to_a_limit_that_others_were_told() {
    for vms in FLEETS {
        let mut plan = Plan::new(vms, 4.0);
        plan.restart = Some((secs(6), (1..vms).step_by(3).collect()));
        let outcome = Simulation::play(plan.clone(), 9);
        check(&outcome, &plan, 4.0);
    }
}

// Guards against: a limit that ended holds on; one that rose or fell is not followed.
#[test]
fn a_limit_that_changes_and_ends_is_followed() {
    for vms in FLEETS {
        let mut plan = Plan::new(vms, 4.0);
        plan.demand = 30.0;
        plan.limits = vec![
            (NAMED, Some(4.0)),
            (secs(6), Some(10.0)),
            (secs(11), Some(3.0)),
            (secs(16), None),
        ];
        let outcome = Simulation::play(plan.clone(), 10);
        outcome.check(4.0, NAMED + KNOWN_AFTER, secs(6));
        outcome.check(10.0, secs(6), secs(11));
        outcome.check(3.0, secs(12), secs(16));
        let raised = outcome.used(10.0, secs(8), secs(11));
        assert!(
            raised >= LEAST_USED,
            "{vms} VMs: used {raised} of the higher limit"
        );
        let free = outcome.used(30.0, secs(18), secs(20));
        assert!(
            free >= LEAST_USED,
            "{vms} VMs: {free} of all requests after the end"
        );
    }
}

// Guards against: an upstream that names no requests at all never gets one that shows the end.
#[test]
fn a_limit_of_zero_ends() {
    let mut plan = Plan::new(7, 4.0);
    plan.limits = vec![(NAMED, Some(0.0)), (secs(10), None)];
    plan.length = secs(40);
    let outcome = Simulation::play(plan, 11);
    outcome.check(0.0, NAMED + KNOWN_AFTER, secs(10));
    let free = outcome.used(12.0, secs(30), secs(40));
    assert!(free >= LEAST_USED, "{free} of all requests after the end");
}

// Guards against: messages that grow with the number of VMs.
#[test]
fn messages_grow_with_the_requests_and_not_with_the_vms() {
    for vms in FLEETS {
        let plan = Plan::new(vms, 5.0);
        let requests = plan.demand * plan.length.as_secs_f64();
        let outcome = Simulation::play(plan, 12);
        let each = outcome.datagrams as f64 / requests;
        assert!(each <= 4.0, "{vms} VMs: {each} datagrams a request");
    }
}

// Guards against: combinations of the above.
#[test]
fn random_mixes_break_no_limit() {
    use rand::rngs::StdRng;
    use rand::{RngExt, SeedableRng};
    for seed in 0..60 {
        let mut random = StdRng::seed_from_u64(seed);
        let vms = [7, 30, 85, 295][random.random_range(0..4)];
        let limit = [1.0, 2.1, 5.0, 12.5][random.random_range(0..4)];
        let mut plan = Plan::new(vms, limit);
        plan.demand = limit * random.random_range(1.0..6.0);
        plan.loss = random.random_range(0.0..0.1);
        plan.max_wait = ms(random.random_range(0..1000));
        let mut some = |most: usize| -> BTreeSet<usize> {
            let count = random.random_range(0..most);
            (0..count).map(|_| random.random_range(1..vms)).collect()
        };
        plan.cut = Disturbed {
            vms: some(vms / 3),
            from: secs(4),
            to: secs(11),
        };
        plan.frozen = Disturbed {
            vms: some(vms / 3),
            from: secs(7),
            to: secs(9),
        };
        plan.restart = Some((secs(13), some(vms / 3)));
        plan.leader_lost = (seed % 2 == 0).then_some(secs(9));
        let outcome = Simulation::play(plan.clone(), seed);
        check(&outcome, &plan, limit);
    }
}

/// Requests a second of the upstreams that warm up.
const WARM_UP_RATE: f64 = 12.0;
const SECOND: Duration = Duration::from_secs(1);
/// What the platform tolerates in any second: this factor on the rate, and these requests.
const WARM_UP_BURST: f64 = 1.5;
const WARM_UP_SLACK: f64 = 5.0;

fn check_warm_up(outcome: &Outcome, plan: &Plan) {
    let most = outcome.most_within(SECOND, Duration::ZERO, plan.length);
    let allowed = WARM_UP_RATE * WARM_UP_BURST + WARM_UP_SLACK;
    assert!(
        most as f64 <= allowed,
        "{most} requests in a second of {allowed}, {} VMs",
        plan.vms
    );
}

// Guards against: VMs each send to an upstream that has just started as to any other (FAILBACK).
#[test]
fn an_upstream_that_warms_up_gets_its_rate_and_no_more() {
    for vms in [7, 60, 360] {
        for seed in SEEDS {
            let plan = Plan::warm_up(vms, WARM_UP_RATE);
            let outcome = Simulation::play(plan.clone(), seed);
            check_warm_up(&outcome, &plan);
            let used = outcome.used(WARM_UP_RATE, secs(4), plan.length);
            assert!(used >= 0.9, "{vms} VMs: used {used}");
        }
    }
}

// Guards against: VMs that hear no leader when an upstream starts send each for itself.
#[test]
fn vms_without_a_leader_keep_to_the_rate_of_an_upstream_that_warms_up() {
    for (vms, least) in [(7, 0.4), (60, 0.15), (360, 0.04)] {
        let mut plan = Plan::warm_up(vms, WARM_UP_RATE);
        plan.cut = Disturbed {
            vms: (0..vms).collect(),
            from: Duration::ZERO,
            to: plan.length,
        };
        let outcome = Simulation::play(plan.clone(), 13);
        check_warm_up(&outcome, &plan);
        let used = outcome.used(WARM_UP_RATE, secs(4), plan.length);
        println!("{vms} VMs use {used:.2} of the rate without a leader");
        assert!(used >= least, "{vms} VMs: used {used}");
    }
}

// Guards against: the two parts of a split, VMs that start, wake or lose datagrams, and a new
// leader, together send more than an upstream bears that warms up.
#[test]
fn disturbed_vms_keep_to_the_rate_of_an_upstream_that_warms_up() {
    for vms in [7, 60, 360] {
        for seed in SEEDS {
            let mut plan = Plan::warm_up(vms, WARM_UP_RATE);
            plan.loss = 0.05;
            plan.cut = Disturbed {
                vms: (1..vms / 2).collect(),
                from: secs(3),
                to: secs(9),
            };
            plan.frozen = Disturbed {
                vms: (vms / 2..vms * 2 / 3).collect(),
                from: secs(7),
                to: secs(10),
            };
            plan.restart = Some((secs(11), (1..vms).step_by(3).collect()));
            plan.leader_lost = (seed != 1).then_some(secs(8));
            let outcome = Simulation::play(plan.clone(), seed);
            check_warm_up(&outcome, &plan);
        }
    }
}
