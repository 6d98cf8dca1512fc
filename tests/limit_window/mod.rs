//! Checks a history of grants against the bound of a token bucket.

use std::time::Instant;

/// The most by which any window of the history exceeds rate x window + burst, in thousandths of a
/// token. `rate` is in tokens per second; the history must be in order of time.
pub fn overshoot<I>(history: I, rate: u64, burst: u64) -> u64
where
    I: IntoIterator<Item = (Instant, u64)>,
{
    let (mut level, mut max_level) = (0_u64, 0);
    let mut previous: Option<Instant> = None;
    for (at, tokens) in history {
        let span = previous.map_or(0, |previous| (at - previous).as_millis() as u64);
        level = level.saturating_sub(rate * span) + tokens * 1_000;
        max_level = max_level.max(level);
        previous = Some(at);
    }
    max_level.saturating_sub(burst * 1_000)
}
