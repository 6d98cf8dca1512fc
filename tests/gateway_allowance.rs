//! The quota of one account over many VMs, when it sends many times its rate and VMs are isolated.
//!
//! Guards against VMs that together admit more than the account's quota: because they report to
//! each other late, or because isolated VMs go on using the parts of the others.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::ops::Range;
use std::time::{Duration, Instant};

use basilgw::gateway::allowance::Allowance;
use basilgw::gateway::peers::{MIN_USAGE_INTERVAL, Peers};
use basilgw::gateway::reachability::Reachability;
use basilgw::ids::{Generation, VmId};
use basilgw::schema::mesh::Usage;
use basilgw::units::Tokens;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

mod gateway_support;
use gateway_support::{id, ms, rate};

/// Rate of the account, in tokens a second, and its burst, in tokens.
const RATE: f64 = 100_000.0;
const BURST: u64 = 200_000;
/// Excess over the quota that the requirements allow in any window: a share of it, and tokens.
const TOLERANCE: f64 = 0.1;
const SLACK: f64 = 7500.0;
/// Length of that window, in steps.
const WINDOW: usize = 800;
/// Tokens of one request.
const REQUEST: u64 = 700;
/// Simulated time of one step.
const STEP: Duration = Duration::from_millis(10);
/// Shortest interval between two reports of a VM, in steps.
const MIN_REPORT_STEPS: usize = 4;

/// A simulated VM.
struct Vm {
    name: VmId,
    allowance: Allowance,
    peers: Peers,
    reachability: Reachability,
    /// Step of the last report.
    reported: usize,
    /// Steps from the last report until the next.
    interval: usize,
    /// Tokens that callers have produced and not sent in a request yet.
    unsent: f64,
}

fn usage(vm: &VmId, tokens: Tokens) -> Usage {
    Usage {
        vm: vm.clone(),
        generation: Generation(1),
        age_ms: None,
        lease: None,
        accounts: BTreeMap::from([(id("a"), tokens)]),
        upstreams: BTreeMap::new(),
        leaving: Vec::new(),
        quarantine: None,
        limits: Vec::new(),
        over: Vec::new(),
        site: None,
        slow: BTreeMap::new(),
    }
}

/// No other VMs yet, and the registered ones have been read.
fn listed(now: Instant) -> Peers {
    let mut peers = Peers::default();
    peers.on_list([], true, now);
    peers
}

fn address() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 1).into()
}

/// Simulates `vms` VMs, of which the first `isolated` reach no other VM in the steps `during`, and
/// returns the greatest number of tokens that all VMs together admit in a window. `load` is what
/// the account sends, as a multiple of its rate.
fn simulate(vms: usize, isolated: usize, during: &Range<usize>, load: f64) -> f64 {
    let start = Instant::now();
    let names = (0..vms).map(|n| id::<VmId>(&format!("v{n:03}")));
    let mut all: Vec<_> = names
        .enumerate()
        .map(|(n, name)| Vm {
            name,
            allowance: Allowance::open(rate(RATE), Tokens(BURST), true, start),
            peers: listed(start),
            reachability: Reachability::open(start),
            reported: 0,
            interval: 0,
            unsent: (n as u64 * REQUEST) as f64 / vms as f64,
        })
        .collect();
    let mut admitted = Vec::new();
    let mut random = StdRng::seed_from_u64(1);
    for step in 0..2500 {
        let now = start + STEP * u32::try_from(step).expect("small");
        let calm = step < 500;
        let mut reports = Vec::new();
        let mut sum = 0;
        for (n, vm) in all.iter_mut().enumerate() {
            let part = vm.reachability.rate_share(now);
            vm.unsent += if calm { 0.5 } else { load } * RATE * 0.01 / vms as f64;
            while vm.unsent >= REQUEST as f64 {
                vm.unsent -= REQUEST as f64;
                let result = vm
                    .allowance
                    .admit(0, Tokens(REQUEST), now, part, random.random());
                sum += if result.is_ok() { REQUEST } else { 0 };
            }
            let due = vm.allowance.report_due(vm.reachability.vms)
                && step >= vm.reported + MIN_REPORT_STEPS;
            if due || step >= vm.reported + vm.interval {
                vm.reported = step;
                let interval = vm
                    .peers
                    .usage_interval()
                    .mul_f64(random.random_range(0.75..1.25));
                vm.interval = interval.as_millis() as usize / 10;
                vm.peers.expire(now);
                vm.reachability = vm.peers.reachability(now);
                reports.push((n, usage(&vm.name, vm.allowance.take_report())));
            }
        }
        admitted.push(sum as f64);
        let is_isolated = |n: usize| n < isolated && during.contains(&step);
        for (from, report) in reports {
            for (to, vm) in all.iter_mut().enumerate() {
                if from == to || is_isolated(from) || is_isolated(to) {
                    continue;
                }
                let taken = vm.peers.apply_usage(report.clone(), address(), now);
                vm.reachability.last_received = now;
                for (_, tokens) in taken.admitted {
                    let part = vm.reachability.rate_share(now);
                    vm.allowance.on_peer_usage(tokens, taken.silence, now, part);
                }
            }
        }
    }
    let windows = admitted.windows(WINDOW).map(|w| w.iter().sum::<f64>());
    windows.fold(0.0, f64::max)
}

/// Greatest number of tokens that the requirements allow in a window.
fn allowed() -> f64 {
    let window = STEP.as_secs_f64() * WINDOW as f64;
    (RATE * window + BURST as f64) * (1.0 + TOLERANCE) + SLACK
}

#[test]
fn an_account_over_its_rate_keeps_to_it_over_many_vms() {
    for load in [2.0, 3.3, 5.0, 10.0, 20.0] {
        let most = simulate(72, 0, &(0..0), load);
        assert!(most <= allowed(), "load {load}: {most} of {}", allowed());
        // The account also gets its quota, which is its rate over the window of 8 s at least.
        assert!(most > RATE * 8.0, "load {load}: {most}");
    }
}

#[test]
fn vms_that_are_cut_off_keep_an_account_to_its_rate() {
    for during in [400..1700, 480..1700, 520..1700, 700..1900] {
        let most = simulate(72, 25, &during, 3.3);
        assert!(most <= allowed(), "{during:?}: {most} of {}", allowed());
    }
}

#[test]
fn few_vms_cut_off_keep_an_account_to_its_rate() {
    for during in [400..1700, 520..1700] {
        let most = simulate(9, 3, &during, 3.3);
        assert!(most <= allowed(), "{during:?}: {most} of {}", allowed());
    }
}

#[test]
fn a_vm_that_hears_nobody_knows_it_before_single_vms_are_missed() {
    let start = Instant::now();
    let many = Reachability {
        listed: true,
        vms: 72,
        peak: 72,
        reachable: 72,
        last_received: start,
        interval: ms(1200),
    };
    assert!((many.rate_share(start + ms(500)) - 1.0).abs() < f64::EPSILON);
    assert!(many.rate_share(start + ms(700)) < 1.0 / 72.0);
    // Of two VMs, one receives messages so rarely that only a longer silence means isolation.
    let pair = Reachability {
        listed: true,
        vms: 2,
        peak: 2,
        reachable: 2,
        last_received: start,
        interval: MIN_USAGE_INTERVAL,
    };
    assert!((pair.rate_share(start + ms(900)) - 1.0).abs() < f64::EPSILON);
}

#[test]
fn sums_of_requests_follow_each_word_and_each_silence() {
    let start = Instant::now();
    let mut peers = Peers::default();
    let report = |vm: &str, loads: &[(&str, u32)]| {
        let loads = loads.iter().map(|(upstream, n)| (id(upstream), *n));
        Usage {
            accounts: BTreeMap::new(),
            upstreams: loads.collect(),
            ..usage(&id(vm), Tokens::ZERO)
        }
    };
    peers.apply_usage(report("v1", &[("e1", 3), ("e2", 1)]), address(), start);
    let taken = peers.apply_usage(report("v2", &[("e1", 2)]), address(), start);
    assert!(taken.new);
    assert_eq!(taken.loads, [(id("e1"), 5)]);
    let again = peers.apply_usage(report("v1", &[("e1", 3), ("e3", 4)]), address(), start);
    assert_eq!(again.loads, [(id("e2"), 0), (id("e3"), 4)]);
    peers.apply_usage(report("v2", &[("e1", 2)]), address(), start + ms(900));
    // No report of the first VM has arrived for so long that it is unreachable.
    peers.expire(start + ms(1500));
    assert_eq!(peers.loads(), &BTreeMap::from([(id("e1"), 2)]));
    assert_eq!(peers.reachability(start + ms(1500)).reachable, 2);
    let back = peers.apply_usage(report("v1", &[("e1", 1)]), address(), start + ms(1600));
    assert_eq!(back.loads, [(id("e1"), 3)]);
}
