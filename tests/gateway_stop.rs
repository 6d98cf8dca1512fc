//! Decisions on a planned stop: until when what is answered, and what is still sent.

use std::sync::Arc;
use std::time::{Duration, Instant};

use basilgw::clock::{Clock, SystemClock};
use basilgw::gateway::answer_times::{AnswerRange, AnswerTimes};
use basilgw::gateway::configuration::RouteKind;
use basilgw::gateway::lateness::Lateness;
use basilgw::gateway::stop::{
    Sending, StopPlan, StopSignal, is_too_late, time_needed, unknown_time,
};

mod gateway_support;
use gateway_support::{id, ms};

const GRACE: Duration = Duration::from_secs(8);
const GOAL: Duration = Duration::from_millis(300);

/// What requests of a route took that were answered in 0.2 to 5 s.
const KNOWN: Option<AnswerRange> = Some(AnswerRange {
    shortest: Duration::from_millis(200),
    longest: Duration::from_secs(5),
});

// Guards against: answers that are cut by SIGKILL, and engines that are left before the last sixth.
#[test]
fn answers_end_within_the_last_sixth_of_the_grace_period() {
    let begun = Instant::now();
    let plan = StopPlan::new(begun, GRACE, ms(0));
    assert!(plan.ends >= begun + GRACE * 5 / 6);
    assert!(plan.closes < begun + GRACE && plan.ends < plan.closes);
    assert!(plan.begun < plan.refuses && plan.refuses < plan.waits && plan.waits < plan.ends);
}

// Guards against: a plan that goes beyond a grace period which is shorter than its parts.
#[test]
fn a_short_grace_period_bounds_the_whole_plan() {
    let begun = Instant::now();
    for grace in [0, 100, 400, 900, 2000] {
        let plan = StopPlan::new(begun, ms(grace), ms(0));
        let moments = [plan.refuses, plan.waits, plan.ends, plan.closes];
        assert!(moments.iter().all(|at| *at <= begun + ms(grace)), "{grace}");
    }
}

// Guards against: a process that is short of processor time, and answers after SIGKILL (LOST).
#[test]
fn a_process_that_runs_late_plans_to_end_sooner() {
    let seen = Instant::now();
    let calm = StopPlan::new(seen, GRACE, ms(0));
    assert_eq!(
        StopPlan::new(seen, GRACE, ms(500)).ends + ms(500),
        calm.ends
    );
    let frozen = StopPlan::new(seen, GRACE, ms(60_000));
    assert_eq!(frozen.ends + GRACE / 6, seen + GRACE, "the last sixth");
    assert_eq!(frozen.refuses, calm.refuses, "the balancer is not sooner");
}

// Guards against: a stall of long ago that shortens a stop, or a present one that is forgotten.
#[test]
fn the_greatest_lateness_is_remembered_for_some_seconds() {
    let start = Instant::now();
    let mut lateness = Lateness::default();
    lateness.on_tick(start);
    for tick in 5..56 {
        lateness.on_tick(start + ms(tick * 100));
    }
    assert_eq!(lateness.longest_pause(start + ms(5500)), ms(400));
    lateness.on_tick(start + ms(5600));
    assert_eq!(lateness.longest_pause(start + ms(5600)), ms(0));
}

// Guards against: a second signal that moves the end.
#[test]
fn the_first_plan_stays_in_force() {
    let clock: Arc<dyn Clock> = Arc::new(SystemClock);
    let signal = StopSignal::open(Arc::clone(&clock));
    assert_eq!(signal.plan(), None);
    let first = StopPlan::new(clock.now(), GRACE, ms(0));
    signal.begin(first);
    signal.begin(StopPlan::new(clock.now(), GRACE * 4, ms(0)));
    assert_eq!(signal.plan(), Some(first));
}

// Guards against: waits that began before the stop and do not learn of its end.
#[tokio::test]
async fn a_wait_that_began_before_the_stop_ends_with_it() {
    let clock: Arc<dyn Clock> = Arc::new(SystemClock);
    let signal = StopSignal::open(Arc::clone(&clock));
    let stop = async {
        tokio::time::sleep(ms(20)).await;
        signal.begin(StopPlan::new(clock.now(), ms(700), ms(0)));
    };
    let begun = Instant::now();
    tokio::join!(signal.reached(|plan| plan.ends), stop);
    assert!(begun.elapsed() >= ms(420), "20 ms, and 400 of the plan");
}

// Guards against: refusing an accepted request that may still be served in time.
#[test]
fn an_accepted_request_is_refused_only_if_none_was_answered_that_soon() {
    let needed = |known| time_needed(Sending::Accepted, known, GOAL);
    assert!(!is_too_late(needed(KNOWN), ms(300), ms(9000)));
    assert!(is_too_late(needed(KNOWN), ms(150), ms(9000)));
    assert!(!is_too_late(needed(None), ms(1), ms(9000)), "nothing known");
}

// Guards against: sending a request that was whole only after the VM refuses new ones, and cutting it (LOST).
#[test]
fn a_late_request_is_sent_only_if_all_were_answered_that_soon() {
    let needed = |known| time_needed(Sending::Late, known, GOAL);
    assert!(is_too_late(needed(KNOWN), ms(4500), ms(9000)));
    assert!(!is_too_late(needed(KNOWN), ms(5500), ms(9000)));
    assert!(is_too_late(needed(None), ms(200), ms(9000)));
    assert!(!is_too_late(needed(None), ms(400), ms(9000)));
}

// Guards against: refusing a request whose caller gives up before this VM stops.
#[test]
fn a_request_whose_caller_gives_up_sooner_is_never_too_late() {
    assert!(!is_too_late(ms(5000), ms(400), ms(350)));
}

// Guards against: a body that is read until nothing can be done with it.
#[test]
fn a_body_is_awaited_as_long_as_it_can_be_sent_and_at_least_until_requests_are_refused() {
    let plan = StopPlan::new(Instant::now(), GRACE, ms(0));
    assert_eq!(plan.latest_send(ms(300)) + ms(300), plan.ends);
    assert_eq!(plan.latest_send(ms(60_000)), plan.refuses);
}

// Guards against: judging a route by one odd answer, or by answers of long ago.
#[test]
fn answer_times_are_those_of_the_last_answers() {
    let mut times = AnswerTimes::default();
    let route = id("read");
    for n in 1..=3 {
        times.record(&route, ms(n));
    }
    assert_eq!(times.range(&route), None, "too few");
    for n in 100..116 {
        times.record(&route, ms(n));
    }
    let known = AnswerRange {
        shortest: ms(100),
        longest: ms(115),
    };
    assert_eq!(times.range(&route), Some(known));
    times.retain(|_| false);
    assert_eq!(times.range(&route), None, "no such route any more");
}

// Guards against: a late stream that is sent since its first event would come in time, and cut (LOST).
#[test]
fn a_late_stream_of_which_nothing_is_known_is_not_sent() {
    let stream = RouteKind::Streaming {
        resumable: true,
        gap: ms(150),
    };
    let needed = |kind| time_needed(Sending::Late, None, unknown_time(kind, GOAL));
    assert!(is_too_late(needed(stream), ms(4500), ms(9000)));
    assert!(!is_too_late(
        needed(RouteKind::Mutating),
        ms(4500),
        ms(9000)
    ));
}

// Guards against: a stream that leaves a silent engine late in a stop for one that cannot end it (LOST).
#[test]
fn a_silent_engine_is_kept_once_requests_are_refused() {
    let begun = Instant::now();
    let plan = StopPlan::new(begun, GRACE, ms(0));
    assert!(plan.keeps_silent(plan.refuses) && plan.keeps_silent(plan.ends));
    assert!(!plan.keeps_silent(begun), "another one has the time");
}
