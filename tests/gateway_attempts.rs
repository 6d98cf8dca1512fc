//! How attempts end, and how late the process itself runs (`attempt_end`, `lateness`).

use std::time::{Duration, Instant};

use basilgw::gateway::attempt_end::{AttemptEnd, AttemptEnds};
use basilgw::gateway::engine_pace::Standing;
use basilgw::gateway::exchange::ResponseError;
use basilgw::gateway::lateness::Lateness;
use basilgw::gateway::stream_progress::StreamProgress;
use basilgw::metrics::Metrics;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// A process that ticked at these times, in milliseconds after the start.
fn ticked(start: Instant, ticks: &[u64]) -> Lateness {
    let mut lateness = Lateness::default();
    for tick in ticks {
        lateness.on_tick(start + ms(*tick));
    }
    lateness
}

// Guards against: a process that is short of processor time, which nothing shows.
#[test]
fn a_late_tick_is_time_in_which_the_process_stood_still() {
    let start = Instant::now();
    let mut lateness = ticked(start, &[0, 100]);
    assert_eq!(lateness.on_tick(start + ms(240)), Duration::ZERO, "usual");
    assert_eq!(lateness.on_tick(start + ms(1240)), ms(900));
    assert_eq!(lateness.stood_still(start, start + ms(1300)), ms(900));
    let within = start + ms(800);
    assert_eq!(lateness.stood_still(within, start + ms(1300)), ms(440));
}

// Guards against: a decision that is taken after a pause, but before the tick that shows it.
#[test]
fn a_pause_counts_before_its_tick() {
    let start = Instant::now();
    let lateness = ticked(start, &[0, 100]);
    assert_eq!(lateness.stood_still(start, start + ms(1200)), ms(1000));
    let unticked = Lateness::default();
    assert_eq!(unticked.stood_still(start, start + ms(1200)), ms(0));
}

// Guards against: memory that grows with every pause.
#[test]
fn old_pauses_are_forgotten() {
    let start = Instant::now();
    let mut lateness = ticked(start, &[0, 1000]);
    for tick in 0..700 {
        lateness.on_tick(start + ms(1000 + tick * 100));
    }
    assert_eq!(lateness.stood_still(start, start + ms(71_000)), ms(0));
}

// Guards against: a log and metrics that take the end of the caller's time for silence.
#[test]
fn each_attempt_ends_once_and_for_its_own_reason() {
    let ends = AttemptEnds::open(&Metrics::open()).expect("metrics");
    let watch = ends.watch();
    watch.end(ResponseError::Silent.at_deadline().into());
    watch.end(AttemptEnd::Answered);
    drop(watch);
    drop(ends.watch());
    assert_eq!(ends.count(AttemptEnd::Deadline), 1);
    assert_eq!(ends.count(AttemptEnd::CallerLeft), 1);
    assert_eq!(ends.count(AttemptEnd::Answered), 0);
    assert_eq!(ends.count(AttemptEnd::Silence), 0);
}

// Guards against: an upstream that is left for silence, as this process had no processor.
#[test]
fn time_in_which_the_process_stood_still_is_no_silence() {
    let start = Instant::now();
    let lateness = ticked(start, &[0, 100, 1100]);
    let stalled = |at: u64| {
        let progress = StreamProgress::open(ms(4000), ms(150), start);
        let present = lateness.present(start, start + ms(at));
        progress.silence_left(Standing::Stalled, Duration::ZERO, present)
    };
    assert_eq!(stalled(1200), ms(900));
    assert_eq!(stalled(2099), ms(900), "it is late again");
    let mut lateness = lateness.clone();
    for tick in 12..=21 {
        lateness.on_tick(start + ms(tick * 100));
    }
    let present = lateness.present(start, start + ms(2100));
    assert_eq!(present, start + ms(1200));
}
