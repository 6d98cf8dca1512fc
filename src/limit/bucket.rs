//! A token bucket in exact integer arithmetic.
//!
//! The level is kept in units of 1e-15 token, the product of a rate in millionths of a token a
//! second and a time in nanoseconds, so that filling it in many small steps gives exactly what one
//! large step gives. The bucket does not know its cap: its owner passes one that may shrink.

use std::time::{Duration, Instant};

use crate::units::{TokenRate, Tokens};

const UNITS_PER_TOKEN: u128 = 1_000_000_000_000_000;
const MICRO_PER_TOKEN: f64 = 1_000_000.0;
const NANOS_PER_SECOND: u128 = 1_000_000_000;

/// A rate and a burst.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Quota {
    /// Tokens a second.
    pub rate: TokenRate,
    /// Greatest level.
    pub burst: Tokens,
}

impl Quota {
    /// One of `parts` equal parts; the parts never add up to more than the whole.
    #[must_use]
    pub fn part(self, parts: usize) -> Self {
        let count = parts.max(1);
        let rate = self.rate.per_second() / count as f64;
        Self {
            rate: TokenRate::new(rate).unwrap_or_default(),
            burst: Tokens(self.burst.0 / count as u64),
        }
    }

    /// Time in which `tokens` gather; `None` where they never do.
    pub fn time_for(self, tokens: Tokens) -> Option<Duration> {
        let seconds = tokens.0 as f64 / self.rate.per_second();
        Duration::try_from_secs_f64(seconds).ok()
    }
}

/// An amount of tokens in exact units.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ExactTokens(u128);

impl ExactTokens {
    pub(super) const ZERO: Self = Self(0);

    /// Whole tokens, rounded down.
    pub(super) fn floor(self) -> Tokens {
        Tokens(u64::try_from(self.0 / UNITS_PER_TOKEN).unwrap_or(u64::MAX))
    }

    pub(super) fn plus(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }

    pub(super) fn minus(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }
}

impl From<Tokens> for ExactTokens {
    fn from(tokens: Tokens) -> Self {
        Self(u128::from(tokens.0) * UNITS_PER_TOKEN)
    }
}

/// A level that grows with time.
#[derive(Clone, Debug)]
pub(super) struct Bucket {
    micro: u128,
    level: ExactTokens,
    at: Instant,
}

impl Bucket {
    /// An empty bucket.
    pub(super) fn empty(rate: TokenRate, now: Instant) -> Self {
        Self {
            micro: micro_rate(rate),
            level: ExactTokens::ZERO,
            at: now,
        }
    }

    pub(super) fn level(&self) -> ExactTokens {
        self.level
    }

    /// Adds what gathered until `now`, up to `cap`.
    pub(super) fn refill(&mut self, cap: ExactTokens, now: Instant) {
        let span = now.saturating_duration_since(self.at);
        let gained = ExactTokens(self.micro.saturating_mul(span.as_nanos()));
        self.level = self.level.plus(gained).min(cap);
        self.at = self.at.max(now);
    }

    /// Takes up to `tokens`, in whole tokens.
    pub(super) fn draw(&mut self, tokens: Tokens) -> Tokens {
        let drawn = tokens.min(self.level.floor());
        self.level = self.level.minus(drawn.into());
        drawn
    }

    /// Puts tokens back.
    pub(super) fn credit(&mut self, amount: ExactTokens) {
        self.level = self.level.plus(amount);
    }

    /// Changes the rate from now on; the level must have been refilled until now.
    pub(super) fn set_rate(&mut self, rate: TokenRate) {
        self.micro = micro_rate(rate);
    }

    /// Time until the level has grown by `tokens`; `None` where it never does.
    pub(super) fn time_for(&self, tokens: Tokens) -> Option<Duration> {
        let nanos = ExactTokens::from(tokens).0.checked_div(self.micro)?;
        let seconds = u64::try_from(nanos / NANOS_PER_SECOND).ok()?;
        Some(Duration::new(seconds, (nanos % NANOS_PER_SECOND) as u32))
    }
}

fn micro_rate(rate: TokenRate) -> u128 {
    (rate.per_second() * MICRO_PER_TOKEN) as u128
}
