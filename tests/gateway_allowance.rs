//! One account's rate over many VMs, when it sends many times its rate and VMs are cut off.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::ops::Range;
use std::time::{Duration, Instant};

use basilgw::gateway::allowance::Allowance;
use basilgw::gateway::peers::{Peers, USAGE_PAUSE};
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
/// What the users allow beyond the rate and the burst.
const TOLERANCE: f64 = 0.1;
const SLACK: f64 = 7500.0;
/// Length of the users' window.
const WINDOW: usize = 800;
/// Tokens of one request.
const REQUEST: u64 = 700;
const STEP: Duration = Duration::from_millis(10);
/// Least pause between two words of a VM, in steps.
const LEAST_PAUSE: usize = 4;

struct Vm {
    name: VmId,
    allowance: Allowance,
    peers: Peers,
    touch: Reachability,
    /// Step of its last word, and steps until the next.
    told: usize,
    pause: usize,
    /// Tokens asked for and not offered yet.
    asked: f64,
}

fn usage(vm: &VmId, tokens: Tokens) -> Usage {
    Usage {
        vm: vm.clone(),
        generation: Generation(1),
        lease: None,
        accounts: BTreeMap::from([(id("a"), tokens)]),
        upstreams: BTreeMap::new(),
    }
}

fn address() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 1).into()
}

/// Plays VMs of which `cut` hear nobody and are heard by nobody for a time, in steps; returns the
/// most tokens admitted in a window. `asked` is a multiple of the rate.
fn play(vms: usize, cut: usize, during: &Range<usize>, asked: f64) -> f64 {
    let start = Instant::now();
    let names = (0..vms).map(|n| id::<VmId>(&format!("v{n:03}")));
    let mut all: Vec<_> = names
        .enumerate()
        .map(|(n, name)| Vm {
            name,
            allowance: Allowance::open(rate(RATE), Tokens(BURST), true, start),
            peers: Peers::default(),
            touch: Reachability::open(start),
            told: 0,
            pause: 0,
            asked: (n as u64 * REQUEST) as f64 / vms as f64,
        })
        .collect();
    let mut admitted = Vec::new();
    let mut random = StdRng::seed_from_u64(1);
    for step in 0..2500 {
        let now = start + STEP * u32::try_from(step).expect("small");
        let calm = step < 500;
        let mut words = Vec::new();
        let mut sum = 0;
        for (n, vm) in all.iter_mut().enumerate() {
            let part = vm.touch.rate_share(now);
            vm.asked += if calm { 0.5 } else { asked } * RATE * 0.01 / vms as f64;
            while vm.asked >= REQUEST as f64 {
                vm.asked -= REQUEST as f64;
                let answer = vm.allowance.admit(Tokens(REQUEST), now, part);
                sum += if answer.is_ok() { REQUEST } else { 0 };
            }
            let due = vm.allowance.report_due(vm.touch.vms) && step >= vm.told + LEAST_PAUSE;
            if due || step >= vm.told + vm.pause {
                vm.told = step;
                let pause = vm.peers.pause().mul_f64(random.random_range(0.75..1.25));
                vm.pause = pause.as_millis() as usize / 10;
                vm.peers.forget(now);
                vm.touch = vm.peers.touch(now);
                words.push((n, usage(&vm.name, vm.allowance.take_report())));
            }
        }
        admitted.push(sum as f64);
        let apart = |n: usize| n < cut && during.contains(&step);
        for (from, word) in words {
            for (to, vm) in all.iter_mut().enumerate() {
                if from == to || apart(from) || apart(to) {
                    continue;
                }
                let taken = vm.peers.take(word.clone(), address(), now);
                vm.touch.last_received = now;
                for (_, tokens) in taken.spent {
                    vm.allowance.on_peer_usage(tokens);
                }
            }
        }
    }
    let windows = admitted.windows(WINDOW).map(|w| w.iter().sum::<f64>());
    windows.fold(0.0, f64::max)
}

fn allowed() -> f64 {
    let window = STEP.as_secs_f64() * WINDOW as f64;
    (RATE * window + BURST as f64) * (1.0 + TOLERANCE) + SLACK
}

#[test]
fn an_account_over_its_rate_keeps_to_it_over_many_vms() {
    for asked in [2.0, 3.3, 5.0, 10.0, 20.0] {
        let most = play(72, 0, &(0..0), asked);
        assert!(most <= allowed(), "{asked}: {most} of {}", allowed());
        // What it may have it gets.
        assert!(most > RATE * 8.0, "{asked}: {most}");
    }
}

#[test]
fn vms_that_are_cut_off_keep_an_account_to_its_rate() {
    for during in [400..1700, 480..1700, 520..1700, 700..1900] {
        let most = play(72, 25, &during, 3.3);
        assert!(most <= allowed(), "{during:?}: {most} of {}", allowed());
    }
}

#[test]
fn few_vms_cut_off_keep_an_account_to_its_rate() {
    for during in [400..1700, 520..1700] {
        let most = play(9, 3, &during, 3.3);
        assert!(most <= allowed(), "{during:?}: {most} of {}", allowed());
    }
}

#[test]
fn a_vm_that_hears_nobody_knows_it_before_single_vms_are_missed() {
    let start = Instant::now();
    let touch = Reachability {
        vms: 72,
        reachable: 72,
        last_received: start,
        interval: ms(1200),
    };
    assert!((touch.rate_share(start + ms(500)) - 1.0).abs() < f64::EPSILON);
    assert!(touch.rate_share(start + ms(700)) < 1.0 / 72.0);
    // Two VMs hear each other so rarely that a silence must last longer.
    let pair = Reachability {
        vms: 2,
        reachable: 2,
        last_received: start,
        interval: USAGE_PAUSE,
    };
    assert!((pair.rate_share(start + ms(900)) - 1.0).abs() < f64::EPSILON);
}

#[test]
fn sums_of_requests_follow_each_word_and_each_silence() {
    let start = Instant::now();
    let mut peers = Peers::default();
    let word = |vm: &str, loads: &[(&str, u32)]| {
        let loads = loads.iter().map(|(upstream, n)| (id(upstream), *n));
        Usage {
            accounts: BTreeMap::new(),
            upstreams: loads.collect(),
            ..usage(&id(vm), Tokens::ZERO)
        }
    };
    peers.take(word("v1", &[("e1", 3), ("e2", 1)]), address(), start);
    let taken = peers.take(word("v2", &[("e1", 2)]), address(), start);
    assert!(taken.new);
    assert_eq!(taken.loads, [(id("e1"), 5)]);
    let again = peers.take(word("v1", &[("e1", 3), ("e3", 4)]), address(), start);
    assert_eq!(again.loads, [(id("e2"), 0), (id("e3"), 4)]);
    peers.take(word("v2", &[("e1", 2)]), address(), start + ms(900));
    // The first VM has fallen silent.
    peers.forget(start + ms(1500));
    assert_eq!(peers.loads(), &BTreeMap::from([(id("e1"), 2)]));
    assert_eq!(peers.touch(start + ms(1500)).reachable, 2);
    let back = peers.take(word("v1", &[("e1", 1)]), address(), start + ms(1600));
    assert_eq!(back.loads, [(id("e1"), 3)]);
}
