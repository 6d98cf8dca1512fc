//! Which whole requests are held back, on what evidence, and until when.

use std::time::{Duration, Instant};

use basilgw::gateway::quarantine::Quarantine;
use basilgw::gateway::quarantine::crashes::Written;
use basilgw::gateway::quarantine::suspect::BrokenRequest;
use basilgw::gateway::upstream::UpstreamInstance;
use basilgw::ids::{PartHash, RequestDigest};

mod gateway_support;
use gateway_support::{id, ms};

const BAD: RequestDigest = RequestDigest(0xbad);
const OTHER: RequestDigest = RequestDigest(0xd0c);
const PART: PartHash = PartHash(7);
/// Time in which reports on a crash arrive.
const SETTLED: Duration = Duration::from_secs(3);
const HOUR: Duration = Duration::from_hours(1);
const DAY: Duration = Duration::from_hours(24);
/// Requests that may reach upstreams in a day once three have crashed, probes included.
const ALLOWED: usize = 3;

fn engine(number: u64) -> UpstreamInstance {
    UpstreamInstance {
        id: id(&format!("e{number}")),
        started_ms: number,
    }
}

/// Some time after the clock's origin, so that ages can be subtracted.
fn start() -> Instant {
    Instant::now() + DAY * 3
}

fn broken(digest: RequestDigest, sent: Instant) -> BrokenRequest {
    BrokenRequest {
        parts: Vec::new(),
        digest,
        sent,
        written: Written::NoHead,
    }
}

/// The engine crashes 50 ms after a copy was sent to it.
fn crash(vm: &mut Quarantine, number: u64, digest: RequestDigest, sent: Instant) {
    vm.on_crash(engine(number), &broken(digest, sent), sent + ms(50));
}

fn held(vm: &mut Quarantine, digest: RequestDigest, at: Instant) -> bool {
    vm.attribute_crashes(at);
    vm.retry_delay([digest], false, at).is_some()
}

/// A VM that has held the request back since shortly after `now`, with certainty.
fn holding(now: Instant) -> Quarantine {
    let mut vm = Quarantine::default();
    for n in 0..3 {
        crash(&mut vm, n, BAD, now + ms(100 * n));
    }
    assert!(held(&mut vm, BAD, now + SETTLED));
    vm
}

/// Sends a report from one VM to another.
fn tell(from: &mut Quarantine, to: &mut Quarantine, now: Instant) {
    if let Some(report) = from.report(true, now) {
        to.on_report(report, now);
    }
}

// Guards against: sound requests held back for one attempt and one retry that met failing engines.
#[test]
fn three_crashes_hold_a_request_back_and_two_do_not() {
    let now = start();
    let mut vm = Quarantine::default();
    crash(&mut vm, 1, BAD, now);
    assert!(!vm.stops_retries(BAD), "a retry after one crash");
    crash(&mut vm, 2, BAD, now + ms(100));
    assert!(vm.stops_retries(BAD));
    assert!(!held(&mut vm, BAD, now + SETTLED));
    crash(&mut vm, 3, BAD, now + SETTLED);
    assert!(held(&mut vm, BAD, now + SETTLED * 2));
    assert!(!held(&mut vm, OTHER, now + SETTLED * 2));
}

// Guards against: one ended engine that counts once for each report, or for each copy on it.
#[test]
fn one_engine_counts_once() {
    let now = start();
    let mut vm = Quarantine::default();
    for n in 0..9 {
        crash(&mut vm, 1, BAD, now + ms(300 * n));
    }
    assert!(!held(&mut vm, BAD, now + SETTLED * 3));
}

// Guards against: a request that ran on all upstreams when they were lost together.
#[test]
fn engines_lost_at_once_are_blamed_on_no_request() {
    let now = start();
    let mut vm = Quarantine::default();
    for n in 0..4 {
        // Sent before the first one was lost, though they are noticed one after the other.
        vm.on_crash(engine(n), &broken(BAD, now), now + ms(200 + 60 * n));
    }
    assert!(!held(&mut vm, BAD, now + SETTLED));
}

// Guards against: the trouble of upstreams held against a read that many callers repeat.
#[test]
fn a_request_that_is_completed_between_crashes_is_never_held_back() {
    let now = start();
    let mut vm = Quarantine::default();
    vm.on_sound([BAD], now);
    for n in 0..20 {
        let at = now + ms(1000 * n + 100);
        crash(&mut vm, n, BAD, at);
        vm.on_sound([BAD], at + ms(300));
        assert!(!held(&mut vm, BAD, at + ms(800)));
    }
}

// Guards against: a proof that is older than the crash and clears it.
#[test]
fn a_completed_response_clears_only_crashes_before_it() {
    let now = start();
    let mut vm = Quarantine::default();
    for n in 0..3 {
        crash(&mut vm, n, BAD, now + ms(1000 + 100 * n));
    }
    let mut late = Quarantine::default();
    crash(&mut late, 9, BAD, now);
    late.on_sound([BAD], now + ms(60));
    tell(&mut late, &mut vm, now + ms(1300));
    assert!(vm.stops_retries(BAD), "the crashes since still count");
}

// Guards against: a hold that ends after minutes, and a probe every few minutes for ever.
#[test]
fn a_request_that_is_never_well_is_probed_rarely() {
    let now = start();
    let mut vm = holding(now);
    let mut sent = Vec::new();
    for minute in 1..3 * 24 * 60 {
        let at = now + Duration::from_mins(minute);
        assert!(vm.try_send([BAD], false, at).is_err(), "not the leader");
        if vm.try_send([BAD], true, at).is_ok() {
            crash(&mut vm, 1000 + minute, BAD, at + ms(50));
            sent.push(at);
        }
    }
    assert!(sent[0] >= now + HOUR);
    for (n, from) in sent.iter().enumerate() {
        let within = sent[n..].iter().filter(|at| **at < *from + DAY);
        assert!(within.count() <= ALLOWED);
    }
}

// Guards against: a count that starts anew after a pause of its caller.
#[test]
fn a_request_that_nobody_sends_for_hours_stays_held_back() {
    let now = start();
    let mut vm = holding(now);
    assert!(vm.try_send([BAD], true, now + HOUR / 2).is_err());
    vm.report(true, now + HOUR * 20);
    assert!(vm.try_send([BAD], false, now + HOUR * 20).is_err());
}

// Guards against: a request that comes so rarely that each crash is forgotten before the next.
#[test]
fn crashes_hours_apart_count_together() {
    let now = start();
    let mut vm = Quarantine::default();
    for n in 0..3 {
        crash(
            &mut vm,
            n,
            BAD,
            now + HOUR * u32::try_from(n).expect("small"),
        );
    }
    assert!(held(&mut vm, BAD, now + HOUR * 2 + SETTLED));
}

// Guards against: a request held back for long because engines failed around it.
#[test]
fn a_request_beside_other_crashes_is_probed_early() {
    let now = start();
    let mut vm = Quarantine::default();
    for n in 0..3 {
        crash(&mut vm, n, BAD, now + ms(1000 * n));
        crash(
            &mut vm,
            10 + n,
            RequestDigest(100 + u128::from(n)),
            now + ms(1000 * n + 500),
        );
    }
    assert!(held(&mut vm, BAD, now + SETTLED * 2));
    assert!(vm.try_send([BAD], true, now + SETTLED * 3).is_err());
    let probe = now + Duration::from_secs(13);
    assert_eq!(vm.try_send([BAD], true, probe), Ok(()));
    assert_eq!(vm.on_sound([BAD], probe + ms(100)), [BAD.into()]);
    assert!(!held(&mut vm, BAD, probe + ms(200)));
}

// Guards against: what a part explains held against a request, and the other way round.
#[test]
fn one_cause_explains_a_crash() {
    let now = start();
    let mut vm = Quarantine::default();
    for n in 0..3 {
        let request = BrokenRequest {
            parts: vec![PART],
            written: Written::Nothing,
            ..broken(BAD, now + ms(1000 * n))
        };
        vm.on_crash(engine(n), &request, now + ms(1000 * n + 50));
        vm.attribute_crashes(now + ms(1000 * n + 900));
    }
    assert_eq!((vm.parts_held(), vm.requests_held()), (1, 0));
    let mut vm = holding(now);
    for n in 10..20 {
        let request = BrokenRequest {
            parts: vec![PART],
            ..broken(BAD, now + ms(1000 * n))
        };
        vm.on_crash(engine(n), &request, now + ms(1000 * n + 50));
    }
    vm.attribute_crashes(now + SETTLED * 10);
    assert_eq!((vm.parts_held(), vm.requests_held()), (0, 1));
}

// Guards against: a VM that each learns by itself; reports late, twice and in any order.
#[test]
fn what_one_vm_holds_back_another_does_too() {
    let now = start();
    let mut vms = [const { None::<Quarantine> }; 3].map(|_| Quarantine::default());
    for (n, vm) in (0..).zip(&mut vms) {
        crash(vm, n, BAD, now + ms(100 * n));
    }
    let [first, second, third] = &mut vms;
    let late = third.report(true, now + ms(250)).expect("a report");
    tell(second, first, now + ms(300));
    first.on_report(late.clone(), now + ms(310));
    first.on_report(late, now + ms(320));
    assert!(held(first, BAD, now + SETTLED));
    tell(first, second, now + SETTLED);
    assert!(held(second, BAD, now + SETTLED));
    let mut started = Quarantine::default();
    tell(second, &mut started, now + SETTLED + ms(10));
    assert!(held(&mut started, BAD, now + SETTLED + ms(10)));
}

// Guards against: an upstream that broke one connection and answers others.
#[test]
fn an_upstream_that_still_answers_has_not_crashed() {
    let now = start();
    let mut vm = Quarantine::default();
    for n in 0..9 {
        let at = now + ms(1000 * n);
        crash(&mut vm, n, BAD, at);
        vm.on_answer(&engine(n), at + ms(100), at + ms(150));
    }
    assert!(!held(&mut vm, BAD, now + SETTLED * 4));
}

// Guards against: the answer of an upstream's next run, taken for a proof that the last one is alive,
// while its registration is not known yet.
#[test]
fn an_upstream_that_answers_after_a_restart_has_crashed() {
    let now = start();
    let mut vms = [Quarantine::default(), Quarantine::default()];
    for n in 0..3 {
        let at = now + ms(1000 * n);
        crash(&mut vms[0], n, BAD, at);
        vms[0].on_answer(&engine(n), at + ms(800), at + ms(900));
        let [one, two] = &mut vms;
        tell(one, two, at + ms(910));
        for vm in &mut vms {
            vm.on_replaced(|replaced| replaced.started_ms <= n, at + ms(950));
        }
    }
    for vm in &mut vms {
        assert!(held(vm, BAD, now + SETTLED * 2));
    }
}

// Guards against: a sound request that is repeated while all upstreams are down, held back for it.
#[test]
fn requests_to_upstreams_that_are_down_say_nothing() {
    let now = start();
    let mut vms = [Quarantine::default(), Quarantine::default()];
    for n in 0..4 {
        let running = RequestDigest(100 + u128::from(n));
        crash(&mut vms[0], n, running, now);
        crash(&mut vms[1], n, running, now + ms(10));
    }
    let [one, two] = &mut vms;
    tell(one, two, now + ms(80));
    for n in 0..4 {
        // The first VM has seen the crash, the second may know it from the first alone.
        crash(one, n, BAD, now + ms(200 + 200 * n));
        two.on_crash(
            engine(n),
            &broken(BAD, now + ms(300 + 200 * n)),
            now + ms(350 + 200 * n),
        );
    }
    tell(one, two, now + SETTLED);
    tell(two, one, now + SETTLED);
    assert!(!held(one, BAD, now + SETTLED * 2));
    assert!(!held(two, BAD, now + SETTLED * 2));
}

// Guards against: the same where VMs that have not heard of the crashes report the requests.
#[test]
fn reports_of_requests_to_upstreams_that_are_down_say_nothing() {
    let now = start();
    let mut knows = Quarantine::default();
    let mut others = [Quarantine::default(), Quarantine::default()];
    for n in 0..4 {
        crash(&mut knows, n, RequestDigest(100 + u128::from(n)), now);
        crash(&mut others[n as usize / 2], n, BAD, now + ms(200 + 200 * n));
    }
    for other in &mut others {
        tell(other, &mut knows, now + ms(1000));
    }
    assert!(!held(&mut knows, BAD, now + SETTLED));
}

// Guards against: requests that crash the next run of an upstream, taken for those that met none.
#[test]
fn requests_to_an_upstream_that_answers_again_count() {
    let now = start();
    let mut vm = Quarantine::default();
    for n in 0..3 {
        let at = now + ms(1000 * n);
        crash(&mut vm, n, RequestDigest(100 + u128::from(n)), at);
        vm.on_answer(&engine(n), at + ms(200), at + ms(250));
        crash(&mut vm, n, BAD, at + ms(400));
    }
    vm.on_replaced(|_| true, now + SETTLED);
    assert!(held(&mut vm, BAD, now + SETTLED * 2));
}

// Guards against: a planned restart that makes a crash of a broken connection.
#[test]
fn an_upstream_that_restarts_much_later_had_not_crashed() {
    let now = start();
    let mut vm = Quarantine::default();
    for n in 0..3 {
        let at = now + ms(1000 * n);
        crash(&mut vm, n, BAD, at);
        vm.on_answer(&engine(n), at + ms(100), at + ms(150));
    }
    vm.on_replaced(|_| true, now + Duration::from_secs(20));
    assert!(!held(&mut vm, BAD, now + Duration::from_secs(21)));
}

// Guards against: callers who vary their bodies, or invent parts, and displace what is held back.
#[test]
fn callers_who_vary_their_requests_displace_no_hold() {
    let now = start();
    let mut vm = holding(now);
    for n in 0..20_000_u64 {
        let at = now + SETTLED + ms(n);
        let digest = RequestDigest(1_000_000 + u128::from(n));
        assert_eq!(vm.try_send([digest], false, at), Ok(()));
        vm.on_sound([digest], at);
    }
    for n in 0..300 {
        let request = BrokenRequest {
            parts: vec![PartHash(100 + n / 2)],
            written: Written::Nothing,
            ..broken(RequestDigest(u128::from(n)), now)
        };
        vm.on_crash(engine(100 + n), &request, now + SETTLED * 10 + ms(400 * n));
        vm.attribute_crashes(now + SETTLED * 10 + ms(400 * n + 399));
    }
    assert!(held(&mut vm, BAD, now + Duration::from_mins(5)));
}
