//! A token bucket in exact integer arithmetic.
//!
//! The level is kept in units of 1e-15 token: the product of a rate in millionths of a token per
//! second and a time in nanoseconds. So many small refills add up to exactly what one large refill
//! gives. The bucket stores no capacity: each refill is passed one, as outstanding leases lower it.

use std::time::{Duration, Instant};

use crate::units::{TokenRate, Tokens};

/// Units of an [`ExactTokens`] in one token.
const UNITS_PER_TOKEN: u128 = 1_000_000_000_000_000;
const MICROTOKENS_PER_TOKEN: f64 = 1_000_000.0;
const NANOS_PER_SECOND: u128 = 1_000_000_000;

/// The rate and burst that an account, a caller or one part of their quota is allowed.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Quota {
    /// Refill rate, in tokens per second.
    pub rate: TokenRate,
    /// Capacity of the bucket: the most tokens that can be spent at once.
    pub burst: Tokens,
}

impl Quota {
    /// One of `parts` equal parts. Burst is rounded down, so the parts never add up to more than
    /// this quota.
    #[must_use]
    pub fn part(self, parts: usize) -> Self {
        let count = parts.max(1);
        let rate = self.rate.per_second() / count as f64;
        Self {
            rate: TokenRate::new(rate).unwrap_or_default(),
            burst: Tokens(self.burst.0 / count as u64),
        }
    }

    /// Time in which the rate yields `tokens`; `None` if it is zero or the time is out of range.
    pub fn fill_time(self, tokens: Tokens) -> Option<Duration> {
        let seconds = tokens.0 as f64 / self.rate.per_second();
        Duration::try_from_secs_f64(seconds).ok()
    }
}

/// An amount of tokens in units of 1e-15 token.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ExactTokens(u128);

impl ExactTokens {
    pub(super) const ZERO: Self = Self(0);

    /// The amount in tokens, rounded down.
    pub(super) fn floor(self) -> Tokens {
        Tokens(u64::try_from(self.0 / UNITS_PER_TOKEN).unwrap_or(u64::MAX))
    }

    pub(super) fn saturating_add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }

    pub(super) fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }
}

impl From<Tokens> for ExactTokens {
    fn from(tokens: Tokens) -> Self {
        Self(u128::from(tokens.0) * UNITS_PER_TOKEN)
    }
}

/// A token bucket whose level grows with time.
#[derive(Clone, Debug)]
pub(super) struct Bucket {
    /// Units of 1e-15 token gained per nanosecond.
    unit_rate: u128,
    level: ExactTokens,
    refilled_at: Instant,
}

impl Bucket {
    /// An empty bucket that starts to refill at `now`.
    pub(super) fn empty(rate: TokenRate, now: Instant) -> Self {
        Self {
            unit_rate: micro_rate(rate),
            level: ExactTokens::ZERO,
            refilled_at: now,
        }
    }

    pub(super) fn level(&self) -> ExactTokens {
        self.level
    }

    /// Adds the tokens gained since the last refill, up to a level of `cap`.
    pub(super) fn refill(&mut self, cap: ExactTokens, now: Instant) {
        let span = now.saturating_duration_since(self.refilled_at);
        let gained = ExactTokens(self.unit_rate.saturating_mul(span.as_nanos()));
        self.level = self.level.saturating_add(gained).min(cap);
        self.refilled_at = self.refilled_at.max(now);
    }

    /// Removes up to `tokens` and returns how many it removed, a whole number.
    pub(super) fn take(&mut self, tokens: Tokens) -> Tokens {
        let taken = tokens.min(self.level.floor());
        self.level = self.level.saturating_sub(taken.into());
        taken
    }

    /// Adds tokens without regard to a capacity; the caller bounds `amount`.
    pub(super) fn credit(&mut self, amount: ExactTokens) {
        self.level = self.level.saturating_add(amount);
    }

    /// Changes the rate. Refill first, or the new rate also counts for the time since the last
    /// refill.
    pub(super) fn set_rate(&mut self, rate: TokenRate) {
        self.unit_rate = micro_rate(rate);
    }

    /// Time until the level has grown by `tokens`; `None` if the rate is zero.
    pub(super) fn fill_time(&self, tokens: Tokens) -> Option<Duration> {
        let nanos = ExactTokens::from(tokens).0.checked_div(self.unit_rate)?;
        let seconds = u64::try_from(nanos / NANOS_PER_SECOND).ok()?;
        Some(Duration::new(seconds, (nanos % NANOS_PER_SECOND) as u32))
    }
}

fn micro_rate(rate: TokenRate) -> u128 {
    (rate.per_second() * MICROTOKENS_PER_TOKEN) as u128
}
