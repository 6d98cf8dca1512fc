//! When a silent stream is moved away from its engine: under a burst a busy engine is late, and a stream
//! that is moved then only adds to the load.

use std::time::{Duration, Instant};

use basilgw::gateway::engine_pace::{EnginePace, Silent, Standing};
use basilgw::gateway::head_wait::next_wait;
use basilgw::gateway::platform_api::EngineLoad;
use basilgw::gateway::stream_progress::StreamProgress;

const GIVE_UP: Duration = Duration::from_secs(4);

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// An engine with 8 places, and a stream that was sent to it at the beginning.
struct Load {
    pace: EnginePace,
    start: Instant,
    begun: bool,
}

impl Load {
    fn open() -> Self {
        Self {
            pace: EnginePace::default(),
            start: Instant::now(),
            begun: false,
        }
    }

    /// An event comes `silence` after the one before, for a request that was sent at `sent`.
    fn event(&mut self, sent: u64, silence: u64, at: u64) {
        // Requests that were sent before the beginning lie a second and more before it.
        let sent = self.start + ms(1000 + sent);
        self.pace
            .on_event(sent, ms(silence), self.start + ms(1000 + at));
    }

    fn report(&mut self, running: u32, waiting: u32, at: u64) {
        let load = EngineLoad {
            running,
            waiting,
            slots: 8,
        };
        self.pace.on_load(load, self.start + ms(1000 + at));
    }

    fn standing(&self, at: u64) -> Standing {
        let silent = Silent {
            sent: self.start + ms(1000),
            begun: self.begun,
            since: self.start + ms(1000),
        };
        self.pace.standing(silent, self.start + ms(1000 + at))
    }

    /// Whether the stream stays after this silence.
    fn stays(&mut self, at: u64) -> bool {
        let now = self.start + ms(1000 + at);
        let progress = StreamProgress::open(GIVE_UP, ms(150), self.start + ms(1000));
        let standing = self.standing(at);
        let longest = self.pace.longest_silence(now);
        !progress.silence_left(standing, longest, now).is_zero()
    }
}

#[test]
fn a_dead_engine_is_left_after_the_usual_time() {
    let mut load = Load::open();
    load.report(2, 0, 0);
    assert!(load.stays(1199));
    assert!(!load.stays(1200));
    assert_eq!(load.standing(1200), Standing::Stalled);
}

#[test]
fn an_engine_that_stopped_with_all_its_streams_is_left() {
    let mut load = Load::open();
    load.event(0, 50, 100);
    assert!(!load.stays(1200), "its last event is old");
}

#[test]
fn a_request_whose_turn_has_not_come_stays() {
    let mut load = Load::open();
    load.begun = false;
    load.event(0, 50, 3000);
    assert_eq!(load.standing(3500), Standing::InTurn);
    assert!(load.stays(3500));
}

#[test]
fn a_request_that_later_ones_overtook_is_left() {
    let mut load = Load::open();
    load.event(200, 300, 1100);
    assert_eq!(load.standing(1200), Standing::Overtaken);
    assert!(!load.stays(1200));
}

#[test]
fn a_stream_that_stops_beside_others_that_go_on_is_left() {
    let mut load = Load::open();
    load.begun = true;
    load.event(0, 50, 1100);
    assert!(!load.stays(1200));
}

#[test]
fn a_request_stays_while_others_were_as_late() {
    let mut load = Load::open();
    load.event(200, 900, 1100);
    assert!(load.stays(1799));
    assert!(!load.stays(1800));
}

#[test]
fn a_full_engine_is_left_while_its_caller_can_still_be_served() {
    for (running, waiting) in [(8, 0), (3, 1)] {
        let mut load = Load::open();
        load.report(running, waiting, 2000);
        assert_eq!(load.standing(2500), Standing::Queued);
        assert!(load.stays(2999));
        assert!(!load.stays(3000));
    }
}

#[test]
fn an_old_report_of_load_does_not_count() {
    let mut load = Load::open();
    load.report(8, 4, 0);
    assert!(load.stays(1999));
    assert!(!load.stays(2000));
}

#[test]
fn a_burst_that_has_ended_is_forgotten() {
    let mut load = Load::open();
    load.event(0, 1700, 0);
    load.event(0, 50, 5000);
    assert_eq!(load.pace.longest_silence(load.start + ms(6000)), ms(1700));
    load.event(0, 50, 10_000);
    assert_eq!(load.pace.longest_silence(load.start + ms(11_000)), ms(50));
    let mut load = Load::open();
    load.event(0, 1700, 0);
    let later = load.start + ms(60_000);
    assert_eq!(load.pace.longest_silence(later), Duration::ZERO);
}

#[test]
fn a_late_head_is_waited_for_until_another_upstream_is_paid_for() {
    let goal = ms(500);
    let left = ms(5000);
    let unasked = || -> bool { unreachable!("too early") };
    assert_eq!(next_wait(goal, ms(0), left, unasked), Some(ms(1500)));
    assert_eq!(next_wait(ms(10), ms(100), left, unasked), Some(ms(800)));
    assert_eq!(next_wait(goal, ms(0), ms(70), unasked), Some(ms(70)));
    assert_eq!(next_wait(goal, ms(1500), left, || true), None);
    assert_eq!(next_wait(goal, ms(1500), left, || false), Some(ms(300)));
    assert_eq!(next_wait(goal, ms(1500), ms(100), || false), Some(ms(100)));
    assert_eq!(next_wait(goal, ms(1500), ms(0), || false), None);
}
