//! Until when connections of callers may be idle or unread while configurations change.

use std::time::{Duration, Instant};

use basilgw::gateway::connection_bounds::IdleTimes;

const SECOND: Duration = Duration::from_secs(1);

/// Idle times in seconds, each in force from its moment on, in seconds.
fn times(start: Instant, first: u32, changes: &[(u32, u32)]) -> IdleTimes {
    let mut times = IdleTimes::new(SECOND * first);
    for (at, time) in changes {
        times.replace(SECOND * *time, start + SECOND * *at);
    }
    times
}

// Guards against: a connection that ends within an idle time which its caller knew (LOST).
#[test]
fn the_longest_idle_time_since_the_last_request_holds() {
    let start = Instant::now();
    let times = times(start, 15, &[(10, 1), (20, 4), (30, 2)]);
    let longest = |at: u32| times.longest_since(start + SECOND * at).as_secs();
    assert_eq!([0, 9].map(longest), [15, 15]);
    assert_eq!([10, 15, 25].map(longest), [4, 4, 4]);
    assert_eq!([30, 60].map(longest), [2, 2]);
}

// Guards against: connections that stay open for good, as some time was longer once.
#[test]
fn a_connection_ends_by_the_time_that_its_caller_knew() {
    let start = Instant::now();
    let times = times(start, 15, &[(10, 1)]);
    let end = |request: u32, idle: u32| {
        let end = times.idle_end(start + SECOND * request, start + SECOND * idle);
        (end - start).as_millis()
    };
    assert_eq!(end(9, 12), 27_500, "its answer ended after the change");
    assert_eq!(end(10, 12), 13_500);
}

// Guards against: memory that grows with each change of the configuration.
#[test]
fn few_idle_times_are_kept() {
    let start = Instant::now();
    let falling: Vec<_> = (0..1000).map(|n| (n, 2000 - n)).collect();
    let many = times(start, 3000, &falling);
    assert!(format!("{many:?}").len() < 10_000);
    assert_eq!(many.longest_since(start + SECOND * 998), SECOND * 1002);
}

// Guards against: an answer that is cut as its caller stands still for a second or so (LOST), and
// callers that take nothing for good.
#[test]
fn a_caller_that_takes_nothing_is_given_seconds() {
    let start = Instant::now();
    let end = |times: &IdleTimes, blocked: u32| {
        let end = times.unread_end(start + SECOND * blocked);
        (end - start).as_millis()
    };
    assert_eq!(end(&times(start, 1, &[]), 0), 5500);
    let shortened = times(start, 15, &[(10, 1)]);
    assert_eq!([9, 10].map(|at| end(&shortened, at)), [24_500, 15_500]);
}
