//! One client account's rate over all VMs, when one account sends many times its rate.
//!
//! Every VM counts what it has admitted and tells the others several times a second. A VM admits
//! while the whole account's level, its own use and what it has heard of the others' taken off, is
//! above zero. The level may fall below zero through what is not heard yet, and is then paid back
//! before anything more is admitted, so that the overshoot happens once and not in every window. A
//! VM that admits much tells so at once: what all VMs have admitted and not told stays a small share
//! of the rate. A VM that does not hear all others keeps to a part of the rate and of the burst
//! ([`super::reachability`]). A level starts empty unless the whole system
//! starts for the first time, so that a restart of all VMs grants no second burst.

use std::fmt;
use std::time::{Duration, Instant};

use crate::units::{TokenRate, Tokens};

/// The least time that a refused caller is told to wait.
const MIN_RETRY: Duration = Duration::from_millis(50);
/// What all VMs together may have admitted and not told, in time at the account's rate.
const UNTOLD_TIME: Duration = Duration::from_secs(2);

/// An account's level.
#[derive(Clone, Debug)]
pub struct Allowance {
    rate: TokenRate,
    burst: f64,
    level: f64,
    /// The largest request seen, in tokens: a part of the burst must do for it.
    largest: f64,
    at: Instant,
    /// Tokens that this VM has admitted since it started.
    pub admitted: Tokens,
    /// What it had admitted when it last told the others.
    reported: Tokens,
}

impl fmt::Display for Allowance {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let rate = self.rate.per_second();
        write!(
            f,
            "{:.0} of {:.0} at {rate:.0} a second",
            self.level, self.burst
        )
    }
}

impl Allowance {
    /// Opens the account's level, full or empty.
    pub fn open(rate: TokenRate, burst: Tokens, full: bool, now: Instant) -> Self {
        let burst = burst.0 as f64;
        Self {
            rate,
            burst,
            level: if full { burst } else { 0.0 },
            largest: 0.0,
            at: now,
            admitted: Tokens::ZERO,
            reported: Tokens::ZERO,
        }
    }

    /// Takes a changed rate and burst; the level is cut down, never raised.
    pub fn set_quota(&mut self, rate: TokenRate, burst: Tokens, now: Instant) {
        self.refill(now, 1.0);
        self.rate = rate;
        self.burst = burst.0 as f64;
        self.largest = self.largest.min(self.burst);
        self.level = self.level.min(self.burst);
    }

    /// Fills the level; `part` is this VM's part of the rate, 1 while the others' use is heard.
    pub fn refill(&mut self, now: Instant, part: f64) {
        let span = now.saturating_duration_since(self.at);
        self.at = now;
        self.level =
            (self.level + self.rate.over(span) * part).min((self.burst * part).max(self.largest));
    }

    /// Whether the others should hear at once what this VM, one of `vms`, has admitted.
    pub fn report_due(&self, vms: u32) -> bool {
        let untold = self.admitted.saturating_sub(self.reported);
        untold.0 as f64 > self.rate.over(UNTOLD_TIME) / f64::from(vms.max(1))
    }

    /// Tokens admitted, which the others are being told.
    pub fn take_report(&mut self) -> Tokens {
        self.reported = self.admitted;
        self.admitted
    }

    /// Admits a request of `tokens`.
    ///
    /// # Errors
    ///
    /// When to come back, where the level does not allow it.
    pub fn admit(&mut self, tokens: Tokens, now: Instant, part: f64) -> Result<(), Duration> {
        let need = (tokens.0 as f64).min(self.burst);
        self.largest = self.largest.max(need);
        self.refill(now, part);
        if self.level >= need {
            self.level -= tokens.0 as f64;
            self.admitted = self.admitted + tokens;
            return Ok(());
        }
        let rate = self.rate.per_second() * part;
        let wait = Duration::try_from_secs_f64((need - self.level) / rate);
        Err(wait.unwrap_or(Duration::MAX).max(MIN_RETRY))
    }

    /// Takes off what another VM admitted; below zero where that VM gave some back.
    pub fn on_peer_usage(&mut self, tokens: i64) {
        self.level = (self.level - tokens as f64).min(self.burst);
    }

    /// Gives back what an admitted request turned out not to use.
    pub fn give_back(&mut self, tokens: Tokens) {
        self.level = (self.level + tokens.0 as f64).min(self.burst);
        self.admitted = self.admitted.saturating_sub(tokens);
    }
}
