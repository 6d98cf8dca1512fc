//! The bound on every window of a history.

use std::time::Instant;

/// Greatest excess of any window over rate x window + burst, in thousandths of a token, of a
/// history in order of time.
pub fn overshoot<I>(history: I, rate: u64, burst: u64) -> i64
where
    I: IntoIterator<Item = (Instant, u64)>,
{
    let (mut level, mut worst) = (0, 0);
    let mut last: Option<Instant> = None;
    for (at, tokens) in history {
        let span = last.map_or(0, |last| (at - last).as_millis() as i64);
        level = (level - rate as i64 * span).max(0) + tokens as i64 * 1_000;
        worst = worst.max(level);
        last = Some(at);
    }
    worst - burst as i64 * 1_000
}
