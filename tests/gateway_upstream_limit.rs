//! Limits that upstreams name: what counts when responses arrive out of order, and the grants of
//! the leader.

use std::time::{Duration, SystemTime};

mod gateway_support;
use basilgw::clock::BootTime;
use basilgw::gateway::platform_api::{LimitSignal, ResponseMeta, UpstreamSignals};
use basilgw::gateway::upstream::UpstreamInstance;
use basilgw::gateway::upstream_limit::granter::{Ask, AskId, Granter};
use basilgw::gateway::upstream_limit::share::{LocalShare, Part};
use basilgw::gateway::upstream_limit::table::{LimitTable, Statement};
use basilgw::gateway::upstream_limit::{Decision, Step, UpstreamLimits, VmCounts};
use basilgw::ids::{Epoch, Generation};
use basilgw::schema::mesh::{PermitAnswer, PermitDecision, PermitResponse};
use basilgw::units::RequestRate;
use gateway_support::{id, ms};

const ALL: VmCounts = VmCounts {
    known: 7,
    reachable: 7,
    part: Part { rank: 3, parts: 8 },
};
/// Time from which a new leader grants.
const READY: u64 = 5000;

/// A moment in milliseconds; ages reach back before the first one.
fn at(millis: u64) -> BootTime {
    BootTime::new(Duration::from_hours(1) + ms(millis))
}

fn rate(per_second: f64) -> RequestRate {
    RequestRate::new(per_second).expect("a rate")
}

fn upstream(started_ms: u64) -> UpstreamInstance {
    UpstreamInstance {
        id: id("u1"),
        started_ms,
    }
}

/// A statement in a response to a request, both at moments in milliseconds.
fn stated(limit: Option<f64>, sent: u64, received: u64) -> Statement {
    Statement {
        rate: limit.map(rate),
        sent: at(sent),
        received: at(received),
    }
}

/// Applies statements of one run as they arrive, and returns the limit in the end.
fn limit_after<I>(statements: I) -> Option<f64>
where
    I: IntoIterator<Item = Statement>,
{
    let mut table = LimitTable::default();
    for statement in statements {
        table.apply_own(&upstream(1), statement, statement.received);
    }
    table.rate(&upstream(1)).map(RequestRate::per_second)
}

#[test]
fn an_older_response_without_a_limit_does_not_end_it() {
    let named = stated(Some(2.0), 100, 150);
    assert_eq!(limit_after([named, stated(None, 90, 160)]), Some(2.0));
    assert_eq!(limit_after([named, stated(None, 140, 400)]), Some(2.0));
    assert_eq!(limit_after([named, stated(None, 160, 200)]), None);
}

#[test]
fn an_older_response_with_a_higher_limit_does_not_raise_it() {
    let named = stated(Some(2.0), 100, 150);
    assert_eq!(limit_after([named, stated(Some(9.0), 90, 160)]), Some(2.0));
    assert_eq!(limit_after([named, stated(Some(9.0), 160, 200)]), Some(9.0));
    assert_eq!(limit_after([named, stated(Some(1.0), 90, 160)]), Some(1.0));
}

#[test]
fn an_older_response_does_not_bring_an_ended_limit_back() {
    let named = stated(Some(2.0), 100, 150);
    let ended = stated(None, 200, 250);
    let late = stated(Some(2.0), 50, 190);
    assert_eq!(limit_after([named, ended, late]), None);
    let again = stated(Some(3.0), 300, 350);
    assert_eq!(limit_after([named, ended, late, again]), Some(3.0));
}

#[test]
fn a_restarted_upstream_has_no_limit_of_its_earlier_run() {
    let mut table = LimitTable::default();
    table.apply_own(&upstream(1), stated(Some(2.0), 100, 150), at(150));
    assert_eq!(table.rate(&upstream(2)), None);
    table.apply_own(&upstream(2), stated(Some(5.0), 200, 250), at(250));
    table.apply_own(&upstream(1), stated(Some(2.0), 300, 350), at(350));
    assert_eq!(table.rate(&upstream(2)), Some(rate(5.0)));
}

#[test]
fn a_report_does_not_end_a_limit_that_was_named_meanwhile() {
    let mut reporter = LimitTable::default();
    let ended = [stated(Some(2.0), 10, 20), stated(None, 100, 140)];
    for statement in ended {
        reporter.apply_own(&upstream(1), statement, statement.received);
    }
    let reports = reporter.report(false, at(150));
    let mut table = LimitTable::default();
    table.apply_own(&upstream(1), stated(Some(2.0), 90, 130), at(130));
    for report in &reports {
        table.apply_report(report, at(250));
    }
    assert_eq!(table.rate(&upstream(1)), Some(rate(2.0)));
}

#[test]
fn the_leader_repeats_all_limits_in_turn() {
    let mut table = LimitTable::default();
    for n in 0..5 {
        let instance = UpstreamInstance {
            id: id(&format!("u{n}")),
            started_ms: 1,
        };
        table.apply_own(&instance, stated(Some(2.0), 100, 150), at(150));
    }
    let mut told = std::collections::BTreeSet::new();
    for n in 0..4 {
        // Later than the change is news.
        let reports = table.report(true, at(20_000 + n * 200));
        assert!(reports.len() <= 2, "{reports:?}");
        told.extend(reports.into_iter().map(|report| report.upstream));
    }
    assert_eq!(told.len(), 5);
    assert!(table.report(false, at(21_000)).is_empty());
}

#[test]
fn rates_are_finite_and_not_negative() {
    for text in ["NaN", "inf", "-1", "", "2 3", "two", "1e999"] {
        assert!(text.parse::<RequestRate>().is_err(), "{text}");
    }
    for (text, value) in [("2", 2.0), (" 2.1 ", 2.1), ("0", 0.0), ("1e9", 1e9)] {
        assert_eq!(text.parse::<RequestRate>(), Ok(rate(value)), "{text}");
    }
}

#[test]
fn only_a_response_of_the_upstream_itself_shows_that_its_limit_has_ended() {
    let meta = |request_id: Option<&str>, sealed, not_run| ResponseMeta {
        request_id: request_id.map(id),
        sealed,
        not_run,
        signals: UpstreamSignals {
            limit: LimitSignal::Unlimited,
            ..UpstreamSignals::default()
        },
        ..ResponseMeta::default()
    };
    let limit = |meta: ResponseMeta| meta.proven_signals().limit;
    assert_eq!(limit(meta(Some("r"), true, false)), LimitSignal::Unlimited);
    assert_eq!(limit(meta(Some("r"), false, true)), LimitSignal::Unlimited);
    assert_eq!(limit(meta(None, true, false)), LimitSignal::Unknown);
    assert_eq!(limit(meta(Some("r"), false, false)), LimitSignal::Unknown);
    let mut named = meta(None, false, false);
    named.signals.limit = LimitSignal::Limited(rate(2.0));
    assert_eq!(limit(named), LimitSignal::Limited(rate(2.0)));
}

fn leader() -> Granter {
    let mut granter = Granter::default();
    granter.set_lease(Some(Epoch(1)), at(0));
    granter.set_lease(Some(Epoch(1)), at(READY));
    granter
}

fn ask(number: u64, max_wait: u64) -> Ask {
    let ask = AskId {
        vm: id("vm-1"),
        generation: Generation(1),
        number,
    };
    Ask::of_vm(ask, upstream(1), ms(max_wait))
}

#[test]
fn a_repeated_ask_is_granted_once() {
    let mut granter = leader();
    let first = granter.grant(ask(1, 0), rate(2.0), ALL, at(READY));
    assert_eq!(first, Decision::Granted(Duration::ZERO));
    let again = granter.grant(ask(1, 0), rate(2.0), ALL, at(READY + 60));
    assert_eq!(again, Decision::Granted(Duration::ZERO));
    let other = granter.grant(ask(2, 0), rate(2.0), ALL, at(READY + 61));
    assert_eq!(other, Decision::Granted(Duration::ZERO), "one was saved");
    let third = granter.grant(ask(3, 0), rate(2.0), ALL, at(READY + 62));
    assert!(matches!(third, Decision::Denied(_)), "{third:?}");
}

#[test]
fn an_old_grant_is_not_repeated() {
    let mut granter = leader();
    granter.grant(ask(1, 0), rate(0.5), ALL, at(READY));
    granter.grant(ask(2, 0), rate(0.5), ALL, at(READY));
    let late = granter.grant(ask(1, 0), rate(0.5), ALL, at(READY + 500));
    assert!(matches!(late, Decision::Denied(_)), "{late:?}");
}

#[test]
fn a_new_leader_waits_for_the_grants_of_its_predecessor() {
    let mut granter = Granter::default();
    granter.set_lease(Some(Epoch(2)), at(0));
    let early = granter.grant(ask(1, 200), rate(5.0), ALL, at(100));
    assert!(matches!(early, Decision::Denied(delay) if delay >= ms(1300)));
    granter.set_lease(Some(Epoch(2)), at(1400));
    let ready = granter.grant(ask(1, 200), rate(5.0), ALL, at(1450));
    assert!(matches!(ready, Decision::Granted(_)), "{ready:?}");
}

#[test]
fn a_leader_that_wakes_grants_nothing_before_it_looked_at_its_lease() {
    let mut granter = leader();
    assert!(granter.leads(at(READY + 500)));
    assert!(!granter.leads(at(READY + 1500)));
    let decision = granter.grant(ask(1, 0), rate(2.0), ALL, at(READY + 1500));
    assert!(matches!(decision, Decision::Denied(_)), "{decision:?}");
}

#[test]
fn the_leader_keeps_parts_back_for_vms_that_it_does_not_hear() {
    let half = VmCounts {
        known: 8,
        reachable: 4,
        ..ALL
    };
    let gap = |vms| {
        let mut granter = leader();
        granter.grant(ask(1, 0), rate(2.0), vms, at(READY));
        granter.grant(ask(2, 0), rate(2.0), vms, at(READY));
        match granter.grant(ask(3, 1000), rate(2.0), vms, at(READY)) {
            Decision::Granted(wait) => wait,
            other => panic!("{other:?}"),
        }
    };
    assert_eq!(gap(half).as_millis(), (gap(ALL) * 4 / 3).as_millis());
}

/// The wall clock at a moment in milliseconds.
fn wall(millis: u64) -> SystemTime {
    SystemTime::UNIX_EPOCH + Duration::from_hours(1) + ms(millis)
}

// Guards against: each VM sends one request at the same moment when the leader is lost.
#[test]
fn vms_without_a_leader_start_at_different_times() {
    let mut sent = 0;
    for rank in 0..295 {
        let mut share = LocalShare::default();
        let part = Part { rank, parts: 295 };
        for second in 0..10 {
            let (wall, now) = (wall(second * 1000), at(second * 1000));
            let sending = share.try_send(&id("u1"), rate(2.0), part, ms(0), wall, now);
            sent += u32::from(sending.is_ok());
        }
    }
    // Half of the rate, and the slots that began up to 2 s before.
    assert!(
        (9..=12).contains(&sent),
        "{sent} requests in 10 s at 2 a second"
    );
}

#[test]
fn a_vm_that_was_cut_off_for_long_still_counts_the_others() {
    let forgotten = VmCounts {
        known: 1,
        reachable: 1,
        part: Part {
            rank: 5,
            parts: 100,
        },
    };
    let mut limits = follower(1);
    let mut sent = Vec::new();
    for millis in (10_000..310_000).step_by(100) {
        let step = limits.request(&upstream(1), ms(0), forgotten, wall(millis), at(millis));
        if step == Step::Decided(Decision::Granted(ms(0))) {
            sent.push(millis);
        }
    }
    // A hundred VMs share half of 2 requests a second.
    assert_eq!(sent.len(), 3);
    assert!(sent.windows(2).all(|pair| pair[1] - pair[0] >= 98_000));
}

/// A VM that heard the leader with this fencing number, at an upstream that names 2 a second.
fn follower(epoch: u64) -> UpstreamLimits {
    let mut limits = UpstreamLimits::default();
    let named = stated(Some(2.0), 50, 90);
    limits.on_statement(&upstream(1), named, at(90));
    limits.on_leader(Epoch(epoch), at(100));
    limits
}

#[test]
fn decisions_of_an_earlier_leader_do_not_count() {
    let mut limits = follower(5);
    let step = limits.request(&upstream(1), ms(500), ALL, wall(110), at(110));
    let Step::Ask(ask) = step else {
        panic!("{step:?}");
    };
    let response = |epoch| PermitResponse {
        epoch: Epoch(epoch),
        answers: vec![PermitAnswer {
            number: ask.number,
            decision: PermitDecision::Granted(0),
        }],
    };
    assert!(limits.on_response(response(4), at(115)).is_empty());
    assert_eq!(limits.on_response(response(5), at(116)).len(), 1);
}

#[test]
fn a_full_upstream_is_not_asked_for_again_before_it_may_have_room() {
    let mut limits = follower(1);
    let Step::Ask(ask) = limits.request(&upstream(1), ms(0), ALL, wall(110), at(110)) else {
        panic!("no ask");
    };
    let denied = PermitResponse {
        epoch: Epoch(1),
        answers: vec![PermitAnswer {
            number: ask.number,
            decision: PermitDecision::Denied(400),
        }],
    };
    limits.on_response(denied, at(115));
    let step = limits.request(&upstream(1), ms(0), ALL, wall(120), at(120));
    assert_eq!(step, Step::Decided(Decision::Denied(ms(395))));
    let step = limits.request(&upstream(1), ms(500), ALL, wall(120), at(120));
    assert!(matches!(step, Step::Ask(_)), "{step:?}");
    let step = limits.request(&upstream(1), ms(0), ALL, wall(520), at(520));
    assert!(matches!(step, Step::Ask(_)), "{step:?}");
}

#[test]
fn without_a_leader_a_vm_sends_its_part_only() {
    let mut limits = follower(1);
    let granted = (2000..34_000).step_by(10).filter(|millis| {
        let step = limits.request(&upstream(1), ms(0), ALL, wall(*millis), at(*millis));
        matches!(step, Step::Decided(Decision::Granted(_)))
    });
    // One of eight parts of half of 2 a second.
    assert_eq!(granted.count(), 4);
}

// Guards against: a slot that has no request at its start is lost where requests can wait.
#[test]
fn without_a_leader_a_request_waits_for_the_slot_of_its_vm() {
    let mut limits = follower(1);
    let step = limits.request(&upstream(1), ms(8000), ALL, wall(2000), at(2000));
    let Step::Decided(Decision::Granted(_)) = step else {
        panic!("{step:?}");
    };
    let steps = (0..20).map(|_| limits.request(&upstream(1), ms(8000), ALL, wall(2100), at(2100)));
    let granted = steps.filter(|step| matches!(step, Step::Decided(Decision::Granted(_))));
    assert!(granted.count() <= 1, "each slot is for one request");
}

#[test]
fn a_leader_that_hears_a_newer_one_grants_nothing() {
    let mut limits = follower(1);
    limits.set_lease(Some(Epoch(2)), at(200));
    limits.set_lease(Some(Epoch(2)), at(READY));
    assert!(!limits.summary(at(READY)).is_empty());
    limits.on_leader(Epoch(3), at(READY));
    assert!(limits.summary(at(READY)).is_empty());
}
