//! How many log lines callers can cause.

use std::time::Instant;

use basilgw::gateway::log_limit::{LineVerdict, LogLimit, MAX_LINES, WINDOW};

/// Lines written of a hundred times as many as are allowed, within one window from `begin`.
fn flood(limit: &mut LogLimit, begin: Instant) -> usize {
    let lines = (0..MAX_LINES * 100).map(|n| limit.on_line(begin + WINDOW / 100_000 * n));
    lines
        .filter(|verdict| *verdict != LineVerdict::LeaveOut)
        .count()
}

#[test]
fn a_flood_of_refusals_writes_few_lines_each_second() {
    let mut limit = LogLimit::default();
    let begin = Instant::now();
    for second in 0..3 {
        assert_eq!(
            flood(&mut limit, begin + WINDOW * second),
            MAX_LINES as usize
        );
    }
}

#[test]
fn lines_left_out_are_told_once() {
    let mut limit = LogLimit::default();
    let begin = Instant::now();
    flood(&mut limit, begin);
    let left_out = u64::from(MAX_LINES * 99);
    let next = limit.on_line(begin + WINDOW);
    assert_eq!(next, LineVerdict::Write { left_out });
    let later = limit.on_line(begin + WINDOW * 2);
    assert_eq!(later, LineVerdict::Write { left_out: 0 });
}
