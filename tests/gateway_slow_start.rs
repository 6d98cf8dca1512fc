//! Upstreams that warm up: what a VM knows of them, and which upstreams requests try first.

use std::time::Duration;

mod gateway_support;
use basilgw::clock::BootTime;
use basilgw::gateway::upstream::UpstreamInstance;
use basilgw::gateway::upstream_limit::preference::{Choice, Pool, pools};
use basilgw::gateway::upstream_limit::warm_up::{Audience, WarmUp, WarmUps};
use basilgw::units::RequestRate;
use gateway_support::{id, ms};

fn at(millis: u64) -> BootTime {
    BootTime::new(Duration::from_hours(1) + ms(millis))
}

fn upstream(started_ms: u64) -> UpstreamInstance {
    UpstreamInstance {
        id: id("u1"),
        started_ms,
    }
}

fn rate() -> RequestRate {
    RequestRate::new(12.0).expect("a rate")
}

fn warm_up(left_ms: u64) -> WarmUp {
    WarmUp {
        rate: rate(),
        left: ms(left_ms),
    }
}

/// Whether an upstream of the run `started_ms` is warming up.
fn holds(known: &WarmUps, started_ms: u64, millis: u64) -> bool {
    known.rate(&upstream(started_ms), at(millis)).is_some()
}

// Guards against: an older statement, read late, ends a warm-up early.
#[test]
fn a_shorter_statement_ends_no_warm_up() {
    let mut known = WarmUps::default();
    known.extend(&upstream(1), warm_up(3000), Audience::Own, at(0));
    known.extend(&upstream(1), warm_up(500), Audience::Own, at(100));
    assert!(holds(&known, 1, 2900));
    assert!(!holds(&known, 1, 3000));
}

// Guards against: requests meant for the run before reach one that warms up under the same id.
#[test]
fn a_warm_up_holds_for_the_run_before() {
    let mut known = WarmUps::default();
    known.extend(&upstream(5), warm_up(3000), Audience::Own, at(0));
    let counted = known.rate(&upstream(4), at(10));
    assert_eq!(counted, Some((upstream(5), rate())));
}

// Guards against: a run that has ended has its warm-up counted for the next one, or ends it.
#[test]
fn a_later_run_has_a_warm_up_of_its_own() {
    let mut known = WarmUps::default();
    known.extend(&upstream(1), warm_up(9000), Audience::Own, at(0));
    assert!(!holds(&known, 2, 10), "only it is known to warm up");
    known.extend(&upstream(2), warm_up(1000), Audience::Own, at(20));
    known.extend(&upstream(1), warm_up(9000), Audience::Own, at(30));
    assert!(holds(&known, 2, 900));
    assert!(!holds(&known, 2, 1100));
}

// Guards against: VMs that have not read it go on, or all VMs tell what all have read.
#[test]
fn only_what_others_may_not_know_is_told() {
    let mut known = WarmUps::default();
    known.extend(&upstream(1), warm_up(3000), Audience::Own, at(0));
    assert!(known.report(at(10)).is_empty());
    known.extend(&upstream(2), warm_up(3000), Audience::All, at(20));
    let reports = known.report(at(30));
    assert_eq!(reports.len(), 1);
    let mut other = WarmUps::default();
    other.apply_report(&reports[0], at(500));
    assert!(holds(&other, 2, 3400), "it ends later, never earlier");
    assert!(other.report(at(600)).is_empty(), "it is told once");
}

fn choice(warming_up: bool, free: bool) -> Choice {
    Choice { warming_up, free }
}

/// The pools that are tried by a request with this goal.
fn tried(choices: &[Choice], goal_ms: u64) -> Vec<Pool> {
    pools(choices.iter().copied(), ms(goal_ms))
}

// Guards against: urgent requests go to an upstream that warms up while a warm one has room.
#[test]
fn urgent_requests_go_to_warm_upstreams_with_room() {
    let free = [choice(true, true), choice(false, true)];
    assert_eq!(tried(&free, 300), [Pool::Warm, Pool::All]);
    let busy = [choice(true, true), choice(false, false)];
    assert_eq!(tried(&busy, 300), [Pool::All]);
}

// Guards against: an upstream that warms up gets nothing.
#[test]
fn patient_requests_go_to_an_upstream_that_warms_up() {
    let choices = [choice(true, true), choice(false, true)];
    assert_eq!(tried(&choices, 2500), [Pool::WarmingUp, Pool::All]);
}

// Guards against: what only upstreams that warm up can serve is sent nowhere; decisions change where
// none warms up.
#[test]
fn requests_without_a_choice_go_to_what_there_is() {
    assert_eq!(tried(&[choice(true, false)], 300), [Pool::All]);
    assert_eq!(tried(&[choice(false, true)], 2500), [Pool::All]);
    assert_eq!(tried(&[], 300), [Pool::All]);
}
