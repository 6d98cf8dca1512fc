//! The quota of an account while VMs start, are forgotten, and hear each other late or not at all.
//!
//! Guards against counts over VMs that begin at a baseline: what a VM admits before another one has
//! heard it counts nowhere, so that many VMs admit many times the quota.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use basilgw::gateway::peers::Peers;
use basilgw::ids::Generation;
use basilgw::schema::mesh::Usage;
use basilgw::units::Tokens;

mod gateway_support;
use gateway_support::quota::{Fleet, Plan, WINDOW, address, registration};
use gateway_support::{id, ms};

fn check(plan: &Plan, seed: u64) {
    let most = Fleet::play(plan.clone(), seed).most();
    let allowed = plan.allowed();
    assert!(
        most <= allowed,
        "seed {seed}: {most} of {allowed}; {plan:?}"
    );
}

// Guards against: VMs that start one after the other and each admit a burst, or a request, of which
// no other VM learns.
#[test]
fn vms_that_start_keep_an_account_to_its_quota() {
    for vms in [7, 85, 295, 360] {
        let mut plan = Plan::new(vms);
        plan.length = Duration::from_secs(20);
        check(&plan, 1);
        if vms == 85 || vms == 360 {
            continue;
        }
        plan.starts = ms(500);
        plan.length = Duration::from_secs(12);
        plan.rate = 20_000.0;
        plan.burst = 40_000;
        check(&plan, 3);
    }
}

// Guards against: VMs that forget each other after a long silence and use the whole quota each, or
// take the first report after it for a baseline.
#[test]
fn vms_that_hear_nobody_for_long_keep_an_account_to_its_quota() {
    for vms in [7, 85, 360] {
        let mut plan = Plan::new(vms);
        plan.starts = ms(500);
        let silence = Duration::from_secs(4)..Duration::from_secs(20);
        plan.cuts = vec![(0..vms, 0..vms, silence)];
        plan.length = Duration::from_secs(26);
        check(&plan, 4);
    }
}

// Guards against: reports that come so late that VMs admit on outdated counts.
#[test]
fn late_and_lost_reports_keep_an_account_to_its_quota() {
    for vms in [7, 85] {
        let mut plan = Plan::new(vms);
        plan.delay = ms(1500);
        plan.loss = 0.3;
        plan.length = Duration::from_secs(20);
        check(&plan, 5);
    }
}

// Guards against: levels that rise above zero together and admit all that is asked until reports
// arrive. Fails, see KNOWN-RED.txt.
#[test]
fn an_account_that_turns_to_five_times_its_rate_keeps_to_it_while_reports_are_late() {
    let mut plan = Plan::new(60);
    plan.starts = ms(500);
    plan.rate = 24_000.0;
    plan.burst = 48_000;
    plan.loss = 0.0;
    plan.delay = ms(40);
    plan.late = Duration::from_secs(2);
    plan.loads = vec![(Duration::ZERO, 0.0), (ms(6000), 5.0)];
    plan.length = Duration::from_secs(18);
    check(&plan, 1);
}

// Guards against: VMs that keep to the quota by refusing what it allows.
#[test]
fn an_account_gets_its_rate_once_the_vms_hear_each_other() {
    for vms in [7, 85] {
        let mut plan = Plan::new(vms);
        plan.loss = 0.0;
        plan.delay = ms(20);
        plan.rate = 20_000.0;
        plan.burst = 40_000;
        plan.length = Duration::from_secs(26);
        let last = Fleet::play(plan.clone(), 6).last();
        let rate = plan.rate * WINDOW.as_secs_f64();
        assert!(last >= 0.9 * rate, "{vms} VMs: {last} of {rate}");
    }
}

/// A report of a VM of this age that has admitted so many tokens since its start.
fn report(age: Duration, admitted: u64) -> Usage {
    Usage {
        vm: id("other"),
        generation: Generation(1),
        age_ms: Some(age.as_millis() as u64),
        lease: None,
        accounts: BTreeMap::from([(id("a"), Tokens(admitted))]),
        upstreams: BTreeMap::new(),
        leaving: Vec::new(),
        quarantine: None,
        limits: Vec::new(),
        over: Vec::new(),
        site: None,
        slow: BTreeMap::new(),
    }
}

// Guards against: a first report, or one after a long silence, that is taken for a baseline.
#[test]
fn what_a_vm_admits_counts_from_its_start_also_when_it_is_heard_late() {
    let start = Instant::now() + Duration::from_hours(1);
    let after = |secs| start + Duration::from_secs(secs);
    let mut peers = Peers::open(start);
    peers.on_list([], true, start);
    let first = peers.apply_usage(report(Duration::from_secs(2), 500), address(1), after(3));
    assert_eq!(first.admitted, [(id("a"), 500)], "a younger VM");
    assert_eq!(first.earlier, []);
    // It falls silent until it is forgotten, and is no longer registered.
    peers.on_list([], true, after(20));
    peers.expire(after(20));
    assert_eq!(peers.reachability(after(20)).vms, 1);
    let again = peers.apply_usage(report(Duration::from_secs(20), 800), address(1), after(21));
    assert_eq!(again.admitted, [(id("a"), 300)], "heard again");
    let mut peers = Peers::open(start);
    let first = peers.apply_usage(report(Duration::from_mins(1), 500), address(1), after(3));
    assert_eq!(first.admitted, [], "an older VM");
    assert_eq!(first.earlier, [(id("a"), Tokens(500))]);
    let next = peers.apply_usage(report(Duration::from_secs(61), 700), address(1), after(4));
    assert_eq!(next.admitted, [(id("a"), 200)]);
}

// Guards against: a VM that has not read how many there are, or hears only few, and uses the quota of
// all.
#[test]
fn a_vm_that_knows_little_of_the_others_uses_little() {
    let start = Instant::now() + Duration::from_hours(1);
    let mut peers = Peers::open(start);
    assert!(peers.reachability(start).rate_share(start) <= 1.0 / 360.0);
    let others = (0..6).map(|n| (id(&format!("v{n}")), registration(n)));
    peers.on_list(others, true, start);
    for second in [1, 13, 40] {
        let now = start + Duration::from_secs(second);
        peers.expire(now);
        let share = peers.reachability(now).rate_share(now);
        assert!(share <= 1.0 / 7.0, "{second} s: {share}");
    }
    peers.on_list([], true, start + Duration::from_mins(1));
    let now = start + Duration::from_secs(61);
    peers.expire(now);
    let share = peers.reachability(now).rate_share(now);
    assert!(
        (share - 1.0).abs() < f64::EPSILON,
        "alone by the list: {share}"
    );
}
