//! Engines that want no requests of a VM for a while: the value that they send, the choice of
//! another engine, and who waits.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use basilgw::gateway::balancer::{NoEngine, choose_upstream};
use basilgw::gateway::model_wait::waits_for_deferred;
use basilgw::gateway::retry_after::RetryAfter;
use basilgw::gateway::signals::LeavingHints;
use basilgw::gateway::upstream::{Upstream, UpstreamHealth};

mod gateway_support;
use gateway_support::{id, inventory, ms, registration, request_head, target};

fn delay(text: &str) -> Option<Duration> {
    let value: RetryAfter = text.parse().ok()?;
    Some(value.delay(UNIX_EPOCH + Duration::from_secs(784_111_777)))
}

#[test]
fn a_delay_is_read_as_http_allows_and_bounded() {
    assert_eq!(delay("2"), Some(ms(2000)));
    assert_eq!(delay(" 0.25 "), Some(ms(250)));
    assert_eq!(delay("0"), Some(Duration::ZERO));
    assert_eq!(delay("Sun, 06 Nov 1994 08:49:40 GMT"), Some(ms(3000)));
    assert_eq!(
        delay("Sun, 06 Nov 1994 08:49:30 GMT"),
        Some(Duration::ZERO),
        "in the past"
    );
    let longest = Some(Duration::from_mins(10));
    assert_eq!(delay("86400"), longest);
    assert_eq!(delay("1e300"), longest);
    assert_eq!(delay("inf"), longest);
    for bad in ["-1", "soon", "", "NaN", "2 s"] {
        assert_eq!(delay(bad), None, "{bad}");
    }
}

fn engine(name: &str) -> Upstream {
    let mut registration = registration(name, 1);
    registration.inventory = inventory(&["m1"]);
    Upstream {
        registration: Arc::new(registration),
        health: Arc::<UpstreamHealth>::default(),
    }
}

fn choose(upstreams: &[Upstream], tried: &[&str], now: Instant) -> Result<String, NoEngine> {
    let tried: BTreeSet<_> = tried.iter().map(|t| id(t)).collect();
    let head = request_head("r1", Some(target("m1", None)));
    let chosen = choose_upstream(upstreams.iter(), &head, &id("dc1"), &tried, now);
    chosen.map(|upstream| upstream.registration.id.to_string())
}

#[test]
fn a_deferred_engine_is_passed_over_even_if_the_other_is_ejected() {
    let now = Instant::now();
    let engines = [engine("e1"), engine("e2")];
    engines[0].health.defer(now + ms(2000));
    engines[1].health.on_failure(now);
    engines[1].health.on_failure(now);
    assert_eq!(choose(&engines, &[], now), Ok("e2".to_owned()));
}

#[test]
fn if_all_engines_are_deferred_the_earliest_end_is_told() {
    let now = Instant::now();
    let engines = [engine("e1"), engine("e2"), engine("e3")];
    engines[0].health.defer(now + ms(2000));
    engines[1].health.defer(now + ms(900));
    engines[2].health.defer(now + ms(100));
    let all = choose(&engines, &["e3"], now);
    assert_eq!(all, Err(NoEngine::Deferred(now + ms(900))));
    assert_eq!(
        choose(&engines, &["e3"], now + ms(900)),
        Ok("e2".to_owned())
    );
    assert_eq!(
        choose(&engines, &["e1", "e2", "e3"], now),
        Err(NoEngine::Unusable)
    );
}

#[test]
fn a_shorter_delay_does_not_end_a_longer_one() {
    let now = Instant::now();
    let health = UpstreamHealth::default();
    health.defer(now + ms(5000));
    health.defer(now + ms(1000));
    health.on_success();
    assert_eq!(health.deferred_until(now + ms(4999)), Some(now + ms(5000)));
    assert_eq!(health.deferred_until(now + ms(5000)), None);
}

#[test]
fn only_who_can_still_be_served_waits() {
    assert!(waits_for_deferred(ms(900), ms(1000)));
    assert!(!waits_for_deferred(ms(1000), ms(1000)));
    assert!(!waits_for_deferred(ms(10), Duration::ZERO));
}

#[test]
fn a_leaving_is_hinted_for_a_while_and_taken_once() {
    let now = Instant::now();
    let mut hints = LeavingHints::default();
    assert!(hints.add(&id("e1"), 7, now));
    assert!(!hints.add(&id("e1"), 7, now + ms(100)));
    assert!(hints.add(&id("e1"), 8, now), "a later run");
    assert_eq!(hints.current(now + ms(3000)).len(), 2);
    assert!(hints.current(now + ms(9000)).is_empty());
}

#[test]
fn a_date_is_counted_from_the_response() {
    let date = RetryAfter::Date(SystemTime::now() + Duration::from_secs(30));
    let left = date.delay(SystemTime::now());
    assert!(left <= Duration::from_secs(30) && left > Duration::from_secs(20));
}
