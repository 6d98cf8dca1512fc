//! Engines whose hosts are slow for the moment, before requests that any of them could run.

mod gateway_support;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use basilgw::gateway::balancer::choose_upstream;
use basilgw::gateway::slowdown::{Slowdown, Slowness};
use basilgw::gateway::upstream::{Registration, Upstream};
use basilgw::ids::UpstreamId;
use gateway_support::{id, ms, registration, request_head};

/// Requests that each engine gets of `count` that run at once.
fn spread(engines: &[Upstream], count: u32, now: Instant) -> BTreeMap<UpstreamId, u32> {
    let mut running = Vec::new();
    let mut spread = BTreeMap::new();
    for n in 0..count {
        let head = request_head(&format!("r-{n}"), None);
        let home = id("dc1");
        let tried = BTreeSet::new();
        let chosen = choose_upstream(engines.iter(), &head, &home, &tried, now);
        let chosen = chosen.expect("an engine");
        running.push(chosen.health.start_request(None));
        *spread.entry(chosen.registration.id.clone()).or_default() += 1;
    }
    spread
}

fn engines() -> Vec<Upstream> {
    let engines = (0..4).map(|n| Upstream {
        registration: Arc::new(Registration {
            slots: 16,
            ..registration(&format!("e{n}"), 1)
        }),
        health: Arc::default(),
    });
    engines.collect()
}

#[test]
fn engines_at_their_usual_speed_share_the_requests_equally() {
    let shares = spread(&engines(), 40, Instant::now());
    assert!(shares.values().all(|n| (8..=12).contains(n)), "{shares:?}");
}

#[test]
fn an_engine_slower_by_three_gets_a_third_of_the_work() {
    let now = Instant::now();
    let engines = engines();
    for _ in 0..8 {
        engines[0]
            .health
            .slowdown()
            .on_statement(Slowness(300), now);
    }
    let shares = spread(&engines, 40, now);
    let slow = shares.get(&id("e0")).copied().unwrap_or_default();
    assert!((1..=5).contains(&slow), "{shares:?}");
}

#[test]
fn an_engine_that_another_vm_found_slow_is_spared_too() {
    let now = Instant::now();
    let engines = engines();
    for _ in 0..8 {
        engines[0].health.slowdown().on_report(Slowness(300), now);
    }
    let shares = spread(&engines, 40, now);
    assert!(shares.get(&id("e0")).is_none_or(|n| *n <= 5), "{shares:?}");
}

#[test]
fn a_moment_of_slowness_is_forgotten_within_seconds() {
    let now = Instant::now();
    let mut slowdown = Slowdown::default();
    slowdown.on_statement(Slowness(400), now);
    assert!(slowdown.factor(now) > 2.0);
    assert!(slowdown.factor(now + Duration::from_secs(4)) < 1.1);
}

/// Otherwise two VMs would keep an engine slow for each other long after it has recovered.
#[test]
fn what_others_tell_is_not_passed_on() {
    let now = Instant::now();
    let mut slowdown = Slowdown::default();
    slowdown.on_report(Slowness(400), now);
    assert_eq!(slowdown.report(now), None);
    slowdown.on_statement(Slowness(400), now);
    assert!(slowdown.report(now).is_some());
    assert_eq!(slowdown.report(now + ms(3000)), None);
}

/// Many VMs would send all they have to an engine that is fast for the moment.
#[test]
fn a_fast_engine_draws_no_herd() {
    let now = Instant::now();
    let engines = engines();
    for _ in 0..8 {
        engines[0].health.slowdown().on_statement(Slowness(40), now);
    }
    let shares = spread(&engines, 40, now);
    assert!(shares.values().all(|n| (8..=12).contains(n)), "{shares:?}");
}
