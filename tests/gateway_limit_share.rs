//! Requests that all VMs together send to a limited upstream while they hear no leader.
//!
//! Guards against parts that VMs save up in a pause and then use at one moment (issue 36).

use std::time::{Duration, SystemTime};

use basilgw::clock::BootTime;
use basilgw::gateway::upstream_limit::share::{LEADERLESS_SHARE, LocalShare, Part, Roster};
use basilgw::ids::UpstreamId;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

mod gateway_support;
use gateway_support::{id, ms};

const TICK: Duration = Duration::from_millis(50);
/// Span within which the bound holds.
const SPAN: Duration = Duration::from_secs(2);
/// Requests beyond the rate that the bound allows.
const SLACK: f64 = 3.0;

struct Vms {
    shares: Vec<LocalShare>,
    /// How far the VMs' wall clocks are ahead.
    ahead: Vec<Duration>,
    max_wait: Duration,
    random: StdRng,
    upstream: UpstreamId,
    rate: f64,
    now: Duration,
    sent: Vec<Duration>,
}

impl Vms {
    fn open(vms: usize, rate: f64, seed: u64) -> Self {
        Self {
            shares: (0..vms).map(|_| LocalShare::default()).collect(),
            ahead: vec![Duration::ZERO; vms],
            max_wait: Duration::ZERO,
            random: StdRng::seed_from_u64(seed),
            upstream: id("e1"),
            rate,
            now: Duration::from_secs(1),
            sent: Vec::new(),
        }
    }

    /// Each VM has a request with this probability in each step.
    fn run(&mut self, time: Duration, demand: f64) {
        let end = self.now + time;
        let count = u32::try_from(self.shares.len()).expect("small");
        let rate = self.rate.to_string().parse().expect("a rate");
        while self.now < end {
            for (rank, share) in (0..).zip(&mut self.shares) {
                if !self.random.random_bool(demand) {
                    continue;
                }
                let part = Part { rank, parts: count };
                let now = BootTime::default().plus(self.now);
                let wall = SystemTime::UNIX_EPOCH + self.now + self.ahead[rank as usize];
                let sent = share.try_send(&self.upstream, rate, part, self.max_wait, wall, now);
                self.sent.extend(sent.map(|wait| self.now + wait));
            }
            self.now += TICK;
        }
    }

    fn most(&mut self) -> usize {
        self.sent.sort();
        let counts = self.sent.iter().enumerate().map(|(first, from)| {
            let span = self.sent[first..].iter();
            span.take_while(|at| **at < *from + SPAN).count()
        });
        counts.max().unwrap_or(0)
    }

    fn check(&mut self) {
        let bound = self.rate * SPAN.as_secs_f64() + SLACK;
        let most = self.most();
        assert!(
            most as f64 <= bound,
            "{most} of {bound}, {} VMs",
            self.shares.len()
        );
    }
}

// Guards against: a pause after which every VM sends one request at the same moment.
#[test]
fn a_pause_gives_the_vms_together_no_burst() {
    let sizes = [
        (7, 2.0, 20),
        (85, 10.0, 30),
        (295, 10.0, 70),
        (360, 10.0, 90),
    ];
    for (vms, rate, pause) in sizes {
        let mut all = Vms::open(vms, rate, 1);
        all.run(Duration::from_mins(3), 1.0);
        all.now += Duration::from_secs(pause);
        all.run(Duration::from_secs(10), 1.0);
        all.check();
    }
}

fn check_random_demand(vms: usize, rate: f64) {
    for seed in 0..12 {
        let mut all = Vms::open(vms, rate, seed);
        for _ in 0..8 {
            let time = ms(all.random.random_range(50..8000));
            let demand = all.random.random_range(0.01..1.0);
            all.run(time, demand);
            all.now += ms(all.random.random_range(0..90_000));
        }
        all.check();
    }
}

// Guards against: other orders of demand and pauses that save parts up.
#[test]
fn random_demand_and_pauses_keep_to_the_rate() {
    for (vms, rate) in [(7, 2.0), (85, 10.0), (295, 10.0), (360, 10.0)] {
        check_random_demand(vms, rate);
    }
}

// Guards against: the same at a low rate, where chance weighs more.
#[test]
fn random_demand_and_pauses_keep_many_vms_to_a_low_rate() {
    check_random_demand(360, 4.0);
}

// Guards against: a part that VMs with steady demand do not use.
#[test]
fn steady_demand_uses_the_part() {
    for (vms, rate) in [(8, 8.0), (85, 10.0), (295, 10.0)] {
        let mut all = Vms::open(vms, rate, 3);
        all.run(Duration::from_mins(2), 0.5);
        let used = all.sent.len() as f64 / 120.0;
        let part = rate * LEADERLESS_SHARE;
        assert!(used >= 0.8 * part, "{used} of {part}, {vms} VMs");
    }
}

/// Time in which all VMs together have three times the requests that the upstream takes.
fn used_by_sparse_demand(vms: usize, rate: f64) -> f64 {
    let mut all = Vms::open(vms, rate, 4);
    all.max_wait = ms(500);
    let demand = 3.0 * rate * TICK.as_secs_f64() / vms as f64;
    all.run(Duration::from_mins(4), demand);
    all.check();
    all.sent.len() as f64 / 240.0 / (rate * LEADERLESS_SHARE)
}

// Guards against: a part that is used in slots only, so that VMs with few requests use none of it.
#[test]
fn sparse_demand_uses_some_of_the_part() {
    for (vms, least) in [(7, 0.8), (60, 0.5), (360, 0.12)] {
        let used = used_by_sparse_demand(vms, 12.0);
        println!("{vms} VMs use {used:.2} of their part");
        assert!(used >= least, "{used} of the part, {vms} VMs");
    }
}

// Guards against: clocks that differ bring the slots of many VMs together.
#[test]
fn vms_whose_clocks_differ_keep_to_the_rate() {
    for (vms, rate) in [(7, 2.0), (85, 10.0), (360, 10.0)] {
        let mut all = Vms::open(vms, rate, 5);
        for (vm, ahead) in all.ahead.iter_mut().enumerate() {
            // Three groups, each 2 s ahead of the one before, with clocks that differ slightly.
            *ahead = ms(vm as u64 % 3 * 2000 + vm as u64 * 7 % 50);
        }
        all.run(Duration::from_mins(3), 1.0);
        all.now += Duration::from_secs(70);
        all.run(Duration::from_mins(1), 1.0);
        all.check();
    }
}

// Guards against: a wall clock that is set back and forth, so that a slot is used twice.
#[test]
fn a_clock_that_is_set_gives_no_further_slot() {
    let mut all = Vms::open(360, 10.0, 6);
    for second in 0..200 {
        // More than two cycles, so that the number of a cycle alone tells nothing.
        let ahead = Duration::from_secs(second % 2 * 150);
        all.ahead = vec![ahead; 360];
        all.run(Duration::from_secs(1), 1.0);
    }
    let mut each = all.sent.len() as f64 / 200.0;
    each /= 10.0 * LEADERLESS_SHARE;
    assert!(each <= 1.1, "{each} of the part");
}

// Guards against: VMs that know the same others take the same slot.
#[test]
fn each_vm_of_a_roster_has_a_part_of_its_own() {
    let names: Vec<_> = (0..20).map(|n| id(&format!("vm-{n}"))).collect();
    let ranks: std::collections::BTreeSet<_> = names
        .iter()
        .map(|own| {
            let mut roster = Roster::default();
            roster.add(own, names.clone());
            roster.part(own, 1).rank
        })
        .collect();
    assert_eq!(ranks.len(), 20);
}

// Guards against: VMs that start together, and know none, take the same slot.
#[test]
fn vms_that_know_no_others_have_different_parts() {
    let part = |name: &str| Roster::default().part(&id(name), 360);
    assert_ne!(part("vm-1").rank, part("vm-2").rank);
    assert_eq!(part("vm-1").parts, 360);
}
