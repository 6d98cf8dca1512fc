//! Unit tests of the gateway's decisions, without sockets or tasks. Each one produces the load or
//! the failure that a decision is made for.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use basilgw::clock::BootTime;
use basilgw::gateway::allowance::Allowance;
use basilgw::gateway::balancer::{NoEngine, choose_upstream};
use basilgw::gateway::demand::{Demand, DemandReporter, LocalDemand, PeerDemand};
use basilgw::gateway::fanout::roles::Capacity;
use basilgw::gateway::fleet::Fleet;
use basilgw::gateway::freshness::Freshness;
use basilgw::gateway::load_limiter::LoadLimiter;
use basilgw::gateway::peers::Peers;
use basilgw::gateway::request::PromptPart;
use basilgw::gateway::retry_budget::{RetryBound, RetryBudget};
use basilgw::gateway::run::VmRegistration;
use basilgw::gateway::upstream::{ModelInventory, Registration, Upstream};
use basilgw::ids::PartHash;
use basilgw::units::Tokens;

mod gateway_support;
use gateway_support::{id, inventory, ms, rate, registration, request_head, target};

fn boot(millis: u64) -> BootTime {
    BootTime::new(ms(millis))
}

fn upstream(registration: Registration) -> Upstream {
    Upstream {
        registration: Arc::new(registration),
        health: Arc::default(),
    }
}

// Freshness of the configuration, which keys depend on.

#[test]
fn trust_is_counted_from_the_question_not_from_its_answer() {
    let mut freshness = Freshness::new(ms(5000), true);
    assert!(
        !freshness.is_fresh(boot(0)),
        "no configuration was read yet"
    );
    freshness.on_response(boot(1000));
    assert!(freshness.is_fresh(boot(5500)));
    assert!(
        !freshness.is_fresh(boot(5700)),
        "the margin before 6000 ms is reserved"
    );
    freshness.on_response(boot(500));
    assert!(
        freshness.is_fresh(boot(5500)),
        "an older response changes nothing"
    );
}

#[test]
fn a_vm_out_of_touch_sends_new_callers_away_before_it_refuses_known_ones() {
    let mut freshness = Freshness::new(ms(5000), true);
    freshness.on_response(boot(0));
    assert!(freshness.ready(boot(2900)));
    assert!(!freshness.ready(boot(3100)));
    assert!(freshness.is_fresh(boot(3100)));
}

#[test]
fn a_vm_whose_questions_are_answered_in_time_is_always_ready() {
    for bound in [1000, 2000, 5000, 20_000] {
        let mut freshness = Freshness::new(ms(bound), true);
        let mut sent = boot(0);
        for _ in 0..10 {
            // The store answers a little after the wait that was requested.
            let answered = sent.plus(freshness.poll_wait() + ms(bound / 100));
            freshness.on_response(sent);
            sent = answered;
            let next = sent.plus(freshness.poll_wait() + ms(bound / 100));
            assert!(freshness.ready(next), "bound {bound}");
        }
    }
}

#[test]
fn a_suspended_vm_wakes_without_trust() {
    let mut freshness = Freshness::new(ms(5000), true);
    freshness.on_response(boot(0));
    assert!(!freshness.is_fresh(boot(60_000)));
}

// Rates of client accounts.

#[test]
fn one_account_at_many_times_its_rate_gets_its_rate() {
    let start = Instant::now();
    let mut allowance = Allowance::open(rate(1000.0), Tokens(2000), true, start);
    let mut admitted = 0;
    for step in 0..8000 {
        let now = start + ms(step);
        if allowance.admit(0, Tokens(100), now, 1.0, 0.9).is_ok() {
            admitted += 100;
        }
    }
    assert!((9800..=10_100).contains(&admitted), "{admitted}");
}

#[test]
fn what_others_admitted_unheard_is_paid_back() {
    let start = Instant::now();
    let mut allowance = Allowance::open(rate(1000.0), Tokens(1000), true, start);
    allowance.on_peer_usage(3000, None, start, 1.0);
    let wait = allowance
        .admit(0, Tokens(100), start, 1.0, 0.9)
        .expect_err("in debt");
    assert!(wait >= ms(2000), "{wait:?}");
    allowance
        .admit(0, Tokens(100), start + ms(2200), 1.0, 0.9)
        .expect("within the rate");
}

#[test]
fn a_restart_grants_no_second_burst() {
    let start = Instant::now();
    let mut allowance = Allowance::open(rate(1000.0), Tokens(5000), false, start);
    assert!(allowance.admit(0, Tokens(500), start, 1.0, 0.9).is_err());
    allowance
        .admit(0, Tokens(500), start + ms(600), 1.0, 0.9)
        .expect("within the rate");
}

#[test]
fn a_vm_that_hears_nobody_keeps_to_its_part() {
    let start = Instant::now();
    let mut allowance = Allowance::open(rate(900.0), Tokens(900), false, start);
    let now = start + ms(1000);
    assert!(
        allowance
            .admit(0, Tokens(200), now, 1.0 / 9.0, 0.9)
            .is_err()
    );
    allowance
        .admit(0, Tokens(100), now, 1.0 / 9.0, 0.9)
        .expect("within the rate");
}

#[test]
fn a_request_larger_than_the_burst_is_admitted_from_a_full_level() {
    let start = Instant::now();
    let mut allowance = Allowance::open(rate(100.0), Tokens(500), true, start);
    allowance
        .admit(0, Tokens(2000), start, 1.0, 0.9)
        .expect("within the rate");
    assert!(
        allowance
            .admit(0, Tokens(1), start + ms(1000), 1.0, 0.9)
            .is_err()
    );
}

#[test]
fn a_lowered_rate_cuts_the_level() {
    let start = Instant::now();
    let mut allowance = Allowance::open(rate(1000.0), Tokens(5000), true, start);
    allowance.set_quota(rate(10.0), Tokens(100), start, 1.0);
    allowance
        .admit(0, Tokens(100), start, 1.0, 0.9)
        .expect("within the rate");
    assert!(allowance.admit(0, Tokens(100), start, 1.0, 0.9).is_err());
    allowance.set_quota(rate(10.0), Tokens(5000), start, 1.0);
    assert!(
        allowance.admit(0, Tokens(100), start, 1.0, 0.9).is_err(),
        "a higher burst does not raise the level"
    );
}

// Retry budget.

/// All engines of a service fail at once, and every VM retries all it may.
#[test]
fn many_vms_together_keep_to_the_slack() {
    let bound = RetryBound {
        ratio: 0.2,
        slack: 214.0,
        window: Duration::from_secs(10),
    };
    let now = Instant::now();
    for vms in [7_u32, 16, 87, 295] {
        let mut retries = 0;
        for _ in 0..vms {
            let mut budget = RetryBudget::new(bound, None);
            (0..50).for_each(|_| budget.on_request(now));
            retries += (0..50).filter(|_| budget.try_spend(vms, now)).count();
        }
        let allowed = 0.2 * 50.0 * f64::from(vms) + bound.slack;
        assert!(
            retries as f64 <= allowed,
            "{retries} of {allowed} by {vms} VMs"
        );
    }
}

// Guards against: VMs that have forgotten each other each use the part of a VM among few.
#[test]
fn many_vms_that_are_cut_off_for_long_together_keep_to_the_slack() {
    let bound = RetryBound {
        ratio: 0.2,
        slack: 214.0,
        window: Duration::from_secs(10),
    };
    let start = Instant::now();
    let later = start + Duration::from_secs(15);
    for vms in [7_u32, 85, 295, 360] {
        let mut retries = 0;
        for _ in 0..vms {
            let mut peers = Peers::default();
            for other in 1..vms {
                let registration = VmRegistration {
                    mesh: "127.0.0.1:1".parse().expect("an address"),
                    centre: None,
                    capacity: Capacity::default(),
                    stopped: None,
                };
                peers.add_registered(id(&format!("v{other}")), registration, start);
            }
            peers.expire(later);
            let reachability = peers.reachability(later);
            let mut budget = RetryBudget::new(bound, None);
            let spends = (0..50).filter(|_| budget.try_spend(reachability.peak, later));
            retries += spends.count();
        }
        assert!(retries as f64 <= bound.slack, "{retries} by {vms} VMs");
    }
}

#[test]
fn repeats_stay_within_a_share_of_the_requests() {
    let bound = RetryBound {
        ratio: 0.2,
        slack: 16.0,
        window: Duration::from_secs(10),
    };
    let start = Instant::now();
    let mut budget = RetryBudget::new(bound, None);
    for _ in 0..100 {
        budget.on_request(start);
    }
    let taken = (0..100).filter(|_| budget.try_spend(1, start)).count();
    assert_eq!(taken, 11, "0.5 * 0.2 * 100, plus one from the slack");
    let later = start + Duration::from_secs(11);
    assert!(budget.try_spend(1, later), "one from the slack again");
    assert!(
        !budget.try_spend(1, later),
        "the requests are no longer in the window"
    );
}

// Upstreams in use.

#[test]
fn a_registration_missing_after_an_outage_is_waited_for_and_then_gone() {
    let start = Instant::now();
    let mut fleet = Fleet::default();
    fleet.on_list(vec![registration("e1", 1), registration("e2", 1)], start);
    fleet.on_store_recovery(start);
    fleet.on_list(vec![registration("e1", 1)], start);
    assert_eq!(fleet.snapshot(start + ms(1900)).len(), 2);
    assert_eq!(fleet.snapshot(start + ms(2100)).len(), 1);
}

#[test]
fn a_registration_removed_in_calm_is_gone_at_once() {
    let start = Instant::now();
    let mut fleet = Fleet::default();
    fleet.on_list(vec![registration("e1", 1)], start);
    fleet.on_removed(&id("e1"), start);
    assert!(fleet.snapshot(start).is_empty());
}

#[test]
fn an_upstream_that_left_is_back_only_with_a_new_start() {
    let start = Instant::now();
    let mut fleet = Fleet::default();
    fleet.on_registration(registration("e1", 1));
    fleet.on_leaving(&id("e1"), 1);
    fleet.on_registration(registration("e1", 1));
    assert!(fleet.snapshot(start).is_empty());
    fleet.on_registration(registration("e1", 2));
    assert_eq!(fleet.snapshot(start).len(), 1);
}

#[test]
fn a_word_that_a_model_goes_holds_until_the_registration_says_so() {
    let start = Instant::now();
    let mut fleet = Fleet::default();
    let mut registered = registration("e1", 1);
    registered.inventory = inventory(&["m1"]);
    fleet.on_registration(registered.clone());
    let model = id("m1");
    fleet.on_inventory_update(&id("e1"), &model, None, false, start);
    fleet.on_registration(registered);
    let serves = |fleet: &mut Fleet, at| {
        let snapshot = fleet.snapshot(at);
        snapshot[&id("e1")]
            .registration
            .inventory
            .can_serve(&target("m1", None))
    };
    assert!(!serves(&mut fleet, start + ms(1000)));
    assert!(
        serves(&mut fleet, start + ms(4000)),
        "an inventory update expires"
    );
}

// Choice of an upstream.

fn choose(upstreams: &[Upstream], tried: &[&str]) -> Result<String, NoEngine> {
    let tried: BTreeSet<_> = tried.iter().map(|t| id(t)).collect();
    let head = request_head("r1", Some(target("m1", None)));
    let now = Instant::now();
    let chosen = choose_upstream(upstreams.iter(), &head, &id("dc1"), &tried, now);
    chosen.map(|u| u.registration.id.to_string())
}

fn engine_with(name: &str, models: &[&str]) -> Upstream {
    let mut registration = registration(name, 1);
    registration.inventory = ModelInventory::clone(&inventory(models));
    upstream(registration)
}

#[test]
fn what_is_missing_is_told_apart() {
    let empty = engine_with("e1", &[]);
    assert_eq!(choose(&[empty], &[]), Err(NoEngine::NoModel));
    let loaded = engine_with("e1", &["m1"]);
    assert_eq!(
        choose(std::slice::from_ref(&loaded), &["e1"]),
        Err(NoEngine::Unusable)
    );
    let head = request_head("r1", Some(target("m1", Some("a1"))));
    let tried = BTreeSet::new();
    let chosen = choose_upstream(
        [&loaded].into_iter(),
        &head,
        &id("dc1"),
        &tried,
        Instant::now(),
    );
    assert_eq!(chosen.err(), Some(NoEngine::NoAdapter));
}

#[test]
fn prompts_spread_over_engines_that_are_equally_loaded() {
    let engines = [
        engine_with("e1", &["m1"]),
        engine_with("e2", &["m1"]),
        engine_with("e3", &["m1"]),
    ];
    let mut picked: BTreeMap<String, u32> = BTreeMap::new();
    for hash in 0..300 {
        let mut head = request_head("r1", Some(target("m1", None)));
        head.prompt_parts = vec![PromptPart {
            hash: PartHash(hash),
            tokens: Tokens(5),
        }];
        let tried = BTreeSet::new();
        let chosen = choose_upstream(engines.iter(), &head, &id("dc1"), &tried, Instant::now());
        let name = chosen.expect("an engine").registration.id.to_string();
        *picked.entry(name).or_default() += 1;
    }
    assert_eq!(picked.len(), 3);
    assert!(
        picked.values().all(|count| (70..=130).contains(count)),
        "{picked:?}"
    );
}

#[test]
fn a_loaded_engine_is_passed_over() {
    // Both ways, because the hash prefers one of the two names at equal load.
    for (loaded, other) in [("e1", "e2"), ("e2", "e1")] {
        let (busy, idle) = (engine_with(loaded, &["m1"]), engine_with(other, &["m1"]));
        let _guards: Vec<_> = (0..6).map(|_| busy.health.start_request(None)).collect();
        assert_eq!(choose(&[busy, idle], &[]), Ok(other.to_owned()));
    }
}

#[test]
fn an_engine_that_fails_twice_is_out_for_a_while_and_better_than_none() {
    // Both ways, because the hash prefers one of the two names at equal load.
    for (failing, other) in [("e1", "e2"), ("e2", "e1")] {
        let (failed, healthy) = (engine_with(failing, &["m1"]), engine_with(other, &["m1"]));
        let now = Instant::now();
        failed.health.on_failure(now);
        assert!(!failed.health.is_ejected(now));
        failed.health.on_failure(now);
        assert!(failed.health.is_ejected(now));
        assert_eq!(
            choose(&[failed.clone(), healthy], &[]),
            Ok(other.to_owned())
        );
        assert_eq!(
            choose(std::slice::from_ref(&failed), &[]),
            Ok(failing.to_owned())
        );
        assert!(!failed.health.is_ejected(now + ms(600)));
    }
}

#[test]
fn runs_are_counted_by_model_while_they_last() {
    let engine = engine_with("e1", &["m1"]);
    let guard = engine.health.start_request(Some(&id("m1")));
    assert_eq!(
        engine.health.running_by_model(),
        BTreeMap::from([(id("m1"), 1)])
    );
    drop(guard);
    assert!(engine.health.running_by_model().is_empty());
    assert_eq!(engine.health.running(), 0);
}

// Demand for models and adapters.

#[test]
fn demand_fades_and_waiting_requests_count_until_they_leave() {
    let start = Instant::now();
    let mut local = LocalDemand::default();
    let wanted = target("m1", None);
    local.on_request(&wanted, start);
    assert!(local.on_wait(&wanted, start));
    assert!(!local.on_wait(&wanted, start));
    let later = start + Duration::from_mins(5);
    assert_eq!(local.current(later)[&wanted].waiting, 2);
    local.on_wait_end(&wanted);
    local.on_wait_end(&wanted);
    assert!(local.current(later).is_empty());
}

#[test]
fn what_requests_wait_for_is_told_often_and_the_rest_rarely() {
    let start = Instant::now();
    let target_demand = |rate, waiting| Demand {
        rate,
        waiting,
        ..Demand::default()
    };
    let demand = |waiting| {
        BTreeMap::from([
            (target("m1", None), target_demand(2.0, 0)),
            (target("m2", Some("a")), target_demand(0.1, waiting)),
        ])
    };
    let mut reporter = DemandReporter::default();
    let mut select = |demand, at| reporter.select_due(demand, start + ms(at), ms(1000));
    assert_eq!(select(demand(0), 0), (demand(0), true));
    assert_eq!(select(demand(0), 250), (BTreeMap::new(), false));
    let pending = BTreeMap::from([(target("m2", Some("a")), target_demand(0.1, 3))]);
    assert_eq!(select(demand(3), 500), (pending, false));
    // The end of waiting is reported once, even for a target without demand.
    let served = BTreeMap::from([(target("m2", Some("a")), target_demand(0.0, 0))]);
    assert_eq!(select(BTreeMap::new(), 750), (served, false));
    assert_eq!(select(demand(0), 900), (BTreeMap::new(), false));
    assert_eq!(select(demand(0), 1000), (demand(0), true));
    // A new leader has received no report yet.
    reporter.reset();
    assert_eq!(
        reporter.select_due(demand(0), start + ms(1100), ms(1000)),
        (demand(0), true)
    );
}

#[test]
fn a_vm_that_falls_silent_no_longer_counts() {
    let start = Instant::now();
    let mut peers = PeerDemand::default();
    let demand = Demand {
        rate: 2.0,
        waiting: 1,
        ..Demand::default()
    };
    for vm in ["v1", "v2"] {
        peers.on_report(&id(vm), target("m1", None), demand, start);
    }
    peers.on_report(&id("v2"), target("m1", None), demand, start + ms(2500));
    assert_eq!(
        peers.total(start + ms(2600))[&target("m1", None)].waiting,
        2
    );
    assert_eq!(
        peers.total(start + ms(3600))[&target("m1", None)].waiting,
        1
    );
}

#[test]
fn loads_from_the_store_keep_to_the_ceiling() {
    let start = Instant::now();
    let mut limiter = LoadLimiter::open(start);
    assert_eq!(
        limiter.available(2.1, start),
        0,
        "a new leader starts without free loads"
    );
    let mut loads = 0;
    for step in 0..50 {
        let now = start + ms(100 * (step + 1));
        for _ in 0..limiter.available(2.1, now) {
            limiter.record_load();
            loads += 1;
        }
    }
    assert!(loads <= 10, "{loads} in 5 s");
    let idle = start + Duration::from_mins(1);
    assert_eq!(
        limiter.available(2.1, idle),
        3,
        "at most 3 loads are saved up"
    );
}
