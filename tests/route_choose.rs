//! Tests for the selection of an upstream: load, distance, cached prefixes, response times, circuit
//! breakers, the retry budget and leaving upstreams.

mod route_support;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use basilgw::engine::{CacheEvents, LoadReport, ReplicaReport};
use basilgw::ids::{Generation, UpstreamId};
use basilgw::route::affinity::Affinity;
use basilgw::route::balancer::{BalancerSettings, BalancerState};
use basilgw::route::circuit_breaker::CircuitBreaker;
use basilgw::route::leaving::LeavingUpstreams;
use basilgw::route::load_estimate::LoadEstimate;
use basilgw::route::retry_budget::RetryBudget;
use basilgw::route::{ChoiceContext, DispatchOutcome};
use basilgw::schema::engine::{CacheEvent, ReplicaState};
use basilgw::store::{Instance, InstanceKind, InstanceState};
use basilgw::units::Bytes;
use proptest::collection::vec;
use proptest::prelude::*;
use route_support::instance;

const MS: Duration = Duration::from_millis(1);
const SECOND: Duration = Duration::from_secs(1);

fn state(now: Instant) -> BalancerState {
    let settings = BalancerSettings {
        centre: "dc-a".parse().expect("an id"),
        retry_percent: 10,
        seed: 6,
    };
    BalancerState::new(&settings, now)
}

fn id(number: usize) -> UpstreamId {
    format!("e{number}").parse().expect("an id")
}

fn engines(count: usize) -> Vec<Instance> {
    let address = ([127, 0, 0, 1], 1).into();
    let engine = |number| instance(&format!("e{number}"), address, InstanceKind::Engine);
    (0..count).map(engine).collect()
}

fn report(running: u32, age: u64, generation: u64) -> LoadReport {
    LoadReport {
        age,
        checkpoints: Vec::new(),
        generation: Generation(generation),
        leaving: false,
        memory: Bytes(1),
        replicas: vec![ReplicaReport {
            adapters: Vec::new(),
            bytes: Bytes(1),
            model: "m".parse().expect("an id"),
            queued: 0,
            replica: "r".parse().expect("an id"),
            running,
            state: ReplicaState::Ready,
            version: "v".parse().expect("an id"),
        }],
        used: Bytes(1),
    }
}

fn stored(sequence: u64, prefix: u64, stored: bool) -> CacheEvent {
    CacheEvent {
        prefix,
        replica: "r".parse().expect("an id"),
        sequence,
        stored,
    }
}

fn with_prefix(prefix: u64) -> ChoiceContext {
    ChoiceContext {
        prefix: Some(prefix),
        tried: Vec::new(),
    }
}

#[test]
fn own_dispatches_since_a_report_are_counted_and_those_before_it_are_not_twice() {
    let start = Instant::now();
    let mut load = LoadEstimate::default();
    for at in [0, 10, 2000] {
        load.on_dispatch(start + at * MS);
    }
    // The report counts this VM's first two requests and three of other VMs.
    load.on_report(5, start + SECOND);
    let now = start + SECOND;
    assert!((load.estimate(now) - 6.0).abs() < 1e-9);
    load.on_finish(start + 2100 * MS);
    assert!((load.estimate(now) - 5.0).abs() < 1e-9);
    load.on_report(0, start + 500 * MS);
    assert!((load.estimate(now) - 5.0).abs() < 1e-9, "an older report");
    load.on_report(2, start + 2050 * MS);
    assert!((load.estimate(start + 2050 * MS) - 2.0).abs() < 1e-9);
}

#[test]
fn the_less_loaded_of_two_is_taken() {
    let now = Instant::now();
    let mut state = state(now);
    let instances = engines(2);
    state.on_report(&id(0), &report(9, 0, 1), now);
    state.on_report(&id(1), &report(1, 0, 1), now);
    for _ in 0..8 {
        assert_eq!(
            state.choose(&instances, &ChoiceContext::default(), now),
            Some(id(1))
        );
    }
    assert_eq!(state.in_flight(&id(1)), 8);
    // Both upstreams now have a load of nine, so each gets one of the next two requests.
    state.choose(&instances, &ChoiceContext::default(), now);
    state.choose(&instances, &ChoiceContext::default(), now);
    assert_eq!((state.in_flight(&id(0)), state.in_flight(&id(1))), (1, 9));
}

#[test]
fn a_near_upstream_is_preferred_until_it_is_busier() {
    let now = Instant::now();
    let mut state = state(now);
    let mut instances = engines(2);
    instances[0].centre = "dc-b".parse().expect("an id");
    let select =
        |state: &mut BalancerState| state.choose(&instances, &ChoiceContext::default(), now);
    assert_eq!(select(&mut state), Some(id(1)));
    assert_eq!(select(&mut state), Some(id(0)));
}

#[test]
fn a_prefix_goes_where_it_is_cached_unless_that_is_overloaded() {
    let now = Instant::now();
    let mut state = state(now);
    let instances = engines(4);
    let events = CacheEvents {
        events: vec![stored(0, 7, true)],
        next: 1,
    };
    state.on_cache_events(&id(2), &events, now);
    for _ in 0..3 {
        assert_eq!(state.choose(&instances, &with_prefix(7), now), Some(id(2)));
        state.record_outcome(&id(2), DispatchOutcome::Completed, None, now);
    }
    state.on_report(&id(2), &report(20, 0, 1), now);
    assert_ne!(state.choose(&instances, &with_prefix(7), now), Some(id(2)));
}

#[test]
fn cache_events_that_are_late_or_missing_age_a_guess() {
    let now = Instant::now();
    let mut affinity = Affinity::default();
    let event = |event: CacheEvent| CacheEvents {
        next: event.sequence + 1,
        events: vec![event],
    };
    affinity.on_events(&id(0), &event(stored(0, 7, true)), now);
    affinity.on_events(&id(0), &event(stored(1, 8, true)), now);
    assert!(affinity.has_prefix(&id(0), 7, now + 60 * SECOND));
    affinity.on_events(&id(0), &event(stored(2, 8, false)), now);
    assert!(!affinity.has_prefix(&id(0), 8, now));
    affinity.on_events(&id(0), &event(stored(1, 8, true)), now);
    assert!(!affinity.has_prefix(&id(0), 8, now), "an event seen before");
    affinity.on_events(&id(0), &event(stored(9, 9, true)), now);
    assert!(affinity.has_prefix(&id(0), 7, now));
    assert!(!affinity.has_prefix(&id(0), 7, now + 60 * SECOND), "a gap");
    assert!(affinity.has_prefix(&id(0), 9, now + 60 * SECOND));
    affinity.remove_upstream(&id(0));
    assert!(!affinity.has_prefix(&id(0), 9, now));
}

#[test]
fn a_restarted_engine_is_known_anew() {
    let now = Instant::now();
    let mut state = state(now);
    state.on_report(&id(0), &report(50, 0, 1), now);
    state.on_report(&id(0), &report(0, 0, 2), now);
    state.on_report(&id(0), &report(50, 0, 1), now);
    state.on_report(&id(1), &report(5, 0, 1), now);
    assert_eq!(
        state.choose(&engines(2), &ChoiceContext::default(), now),
        Some(id(0))
    );
}

#[test]
fn each_word_of_leaving_counts_and_only_a_newer_generation_undoes_it() {
    let now = Instant::now();
    let announcements: [fn(&mut BalancerState, &mut Instance, Instant); 3] = [
        |_, instance, _| instance.state = InstanceState::Leaving,
        |state, _, now| {
            let mut report = report(0, 0, 1);
            report.leaving = true;
            state.on_report(&id(0), &report, now);
        },
        |state, _, _| state.on_leaving(&id(0), Generation(1)),
    ];
    for announce in announcements {
        let mut state = state(now);
        let mut instances = engines(1);
        assert!(
            state
                .choose(&instances, &ChoiceContext::default(), now)
                .is_some()
        );
        announce(&mut state, &mut instances[0], now);
        assert_eq!(
            state.choose(&instances, &ChoiceContext::default(), now),
            None
        );
        // A stale list and an old load report still show the upstream as live.
        instances[0].state = InstanceState::Live;
        state.on_report(&id(0), &report(0, 500, 1), now);
        assert_eq!(
            state.choose(&instances, &ChoiceContext::default(), now),
            None
        );
        instances[0].generation = Generation(2);
        assert!(
            state
                .choose(&instances, &ChoiceContext::default(), now)
                .is_some()
        );
    }
}

#[test]
fn a_slower_upstream_gets_less_until_that_is_old_news() {
    let now = Instant::now();
    let mut state = state(now);
    let instances = engines(2);
    for (engine, took) in [(0, 4 * SECOND), (1, SECOND)] {
        for _ in 0..100 {
            state.record_outcome(&id(engine), DispatchOutcome::Completed, Some(took), now);
        }
    }
    // Response times of upstreams that were never selected are ignored.
    for _ in 0..4 {
        state.choose(&instances, &ChoiceContext::default(), now);
    }
    assert_eq!((state.in_flight(&id(0)), state.in_flight(&id(1))), (2, 2));
    for (engine, took) in [(0, 4 * SECOND), (1, SECOND)] {
        for _ in 0..100 {
            state.record_outcome(&id(engine), DispatchOutcome::Completed, Some(took), now);
        }
    }
    let mut select = |now| {
        for _ in 0..10 {
            state.choose(&instances, &ChoiceContext::default(), now);
        }
        let in_flight = (state.in_flight(&id(0)), state.in_flight(&id(1)));
        for engine in [0, 1] {
            while state.in_flight(&id(engine)) > 0 {
                state.record_outcome(&id(engine), DispatchOutcome::Completed, None, now);
            }
        }
        in_flight
    };
    assert_eq!(select(now), (2, 8));
    assert_eq!(select(now + 600 * SECOND), (5, 5));
}

#[test]
fn a_breaker_opens_tries_once_and_closes() {
    let start = Instant::now();
    let mut breaker = CircuitBreaker::new(start);
    for _ in 0..3 {
        assert!(breaker.allows_request(start));
        breaker.on_request(start);
        breaker.on_outcome(DispatchOutcome::Failed, start);
    }
    assert!(!breaker.allows_request(start + 499 * MS));
    let later = start + 500 * MS;
    assert!(breaker.allows_request(later));
    breaker.on_request(later);
    assert!(!breaker.allows_request(later), "one trial at a time");
    breaker.on_outcome(DispatchOutcome::Silent, later);
    assert!(!breaker.allows_request(later + 999 * MS), "a longer pause");
    let later = later + SECOND;
    breaker.on_request(later);
    breaker.on_outcome(DispatchOutcome::Cancelled, later);
    assert!(breaker.allows_request(later), "a cancelled trial");
    breaker.on_request(later);
    breaker.on_outcome(DispatchOutcome::Completed, later);
    breaker.on_outcome(DispatchOutcome::Failed, later);
    assert!(breaker.allows_request(later));
}

#[test]
fn a_request_passes_an_open_breakers_upstream_by() {
    let now = Instant::now();
    let mut state = state(now);
    let instances = engines(1);
    for _ in 0..3 {
        assert!(
            state
                .choose(&instances, &ChoiceContext::default(), now)
                .is_some()
        );
        state.record_outcome(&id(0), DispatchOutcome::Failed, None, now);
    }
    assert_eq!(
        state.choose(&instances, &ChoiceContext::default(), now),
        None
    );
    assert!(
        state
            .choose(&engines(2), &ChoiceContext::default(), now)
            .is_some()
    );
}

#[test]
fn the_retry_budget_is_a_fraction_of_the_successes() {
    let now = Instant::now();
    let mut budget = RetryBudget::new(10, now);
    let drained = (0..100).filter(|_| budget.try_spend(now)).count();
    assert_eq!(drained, 10);
    for _ in 0..50 {
        budget.on_success();
    }
    assert_eq!((0..100).filter(|_| budget.try_spend(now)).count(), 5);
    assert_eq!(
        (0..100)
            .filter(|_| budget.try_spend(now + 10 * SECOND))
            .count(),
        1
    );
}

/// One step of a generated test case.
#[derive(Clone, Debug)]
enum Step {
    Choose,
    Finish(usize, DispatchOutcome),
    Leave(usize, u64),
    Report(usize, u64, bool),
    Generation(usize, u64),
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let engine = 0..4_usize;
    let outcome = prop::sample::select(vec![
        DispatchOutcome::Completed,
        DispatchOutcome::Cancelled,
        DispatchOutcome::Failed,
        DispatchOutcome::Silent,
    ]);
    prop_oneof![
        5 => Just(Step::Choose),
        4 => (engine.clone(), outcome).prop_map(|(at, outcome)| Step::Finish(at, outcome)),
        1 => (engine.clone(), 0..4_u64).prop_map(|(at, generation)| Step::Leave(at, generation)),
        2 => (engine.clone(), 0..4_u64, any::<bool>())
            .prop_map(|(at, generation, leaving)| Step::Report(at, generation, leaving)),
        1 => (engine, 0..4_u64).prop_map(|(at, generation)| Step::Generation(at, generation)),
        2 => (0..2000_u64).prop_map(Step::Wait),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1000,
        rng_seed: proptest::test_runner::RngSeed::Fixed(6),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_order_of_words_sends_work_to_a_leaving_upstream(steps in vec(step(), 1..80)) {
        let mut now = Instant::now();
        let mut state = state(now);
        let mut instances = engines(4);
        let mut marks = BTreeMap::<UpstreamId, u64>::new();
        let mut in_flight = BTreeMap::<UpstreamId, u32>::new();
        for step in steps {
            match step {
                Step::Choose => {
                    let Some(selected) = state.choose(&instances, &ChoiceContext::default(), now)
                    else {
                        continue;
                    };
                    *in_flight.entry(selected.clone()).or_default() += 1;
                    let listed = instances
                        .iter()
                        .find(|instance| instance.vm.as_str() == selected.as_str());
                    let generation = listed.expect("one of them").generation.0;
                    prop_assert!(marks.get(&selected).is_none_or(|&mark| generation > mark));
                }
                Step::Finish(at, outcome) => {
                    let count = in_flight.entry(id(at)).or_default();
                    if *count > 0 {
                        *count -= 1;
                        state.record_outcome(&id(at), outcome, None, now);
                    }
                }
                Step::Leave(at, generation) => {
                    state.on_leaving(&id(at), Generation(generation));
                    let mark = marks.entry(id(at)).or_default();
                    *mark = generation.max(*mark);
                }
                Step::Report(at, generation, leaving) => {
                    let mut report = report(1, 0, generation);
                    report.leaving = leaving;
                    state.on_report(&id(at), &report, now);
                    if leaving {
                        let mark = marks.entry(id(at)).or_default();
                        *mark = generation.max(*mark);
                    }
                }
                Step::Generation(at, generation) => {
                    instances[at].generation = Generation(generation);
                }
                Step::Wait(span) => now += Duration::from_millis(span),
            }
            for (upstream, &count) in &in_flight {
                prop_assert_eq!(state.in_flight(upstream), count);
            }
        }
    }

    #[test]
    fn the_order_of_words_does_not_matter(marks in vec((0..4_usize, 0..4_u64), 0..12)) {
        let mark = |marks: &mut dyn Iterator<Item = &(usize, u64)>| {
            let mut leaving = LeavingUpstreams::default();
            marks.for_each(|&(at, generation)| leaving.mark(&id(at), Generation(generation)));
            leaving
        };
        prop_assert_eq!(mark(&mut marks.iter()), mark(&mut marks.iter().rev()));
    }

    #[test]
    fn a_breaker_always_lets_a_request_pass_again(
        outcomes in vec((0..4_usize, 0..5000_u64), 0..60),
    ) {
        let kinds = [
            DispatchOutcome::Completed,
            DispatchOutcome::Cancelled,
            DispatchOutcome::Failed,
            DispatchOutcome::Silent,
        ];
        let mut now = Instant::now();
        let mut breaker = CircuitBreaker::new(now);
        for (kind, span) in outcomes {
            if breaker.allows_request(now) {
                breaker.on_request(now);
                breaker.on_outcome(kinds[kind], now);
            }
            now += Duration::from_millis(span);
        }
        prop_assert!(breaker.allows_request(now + 10 * SECOND));
    }
}
