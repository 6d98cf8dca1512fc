//! The bound on every window of a history.

use std::time::Instant;

/// Greatest excess of any window over rate x window + burst, in thousandths of a token, of a
/// history in order of time.
pub fn overshoot<I>(history: I, rate: u64, burst: u64) -> u64
where
    I: IntoIterator<Item = (Instant, u64)>,
{
    let (mut level, mut worst) = (0_u64, 0);
    let mut last: Option<Instant> = None;
    for (at, tokens) in history {
        let span = last.map_or(0, |last| (at - last).as_millis() as u64);
        level = level.saturating_sub(rate * span) + tokens * 1_000;
        worst = worst.max(level);
        last = Some(at);
    }
    worst.saturating_sub(burst * 1_000)
}
