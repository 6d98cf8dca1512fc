//! The quota of one client account, enforced over all VMs together.
//!
//! Each VM keeps a token bucket for the whole account. It subtracts the tokens that it admits
//! itself and, several times a second, those that the other VMs report. Tokens that another VM has
//! admitted but not reported yet can push the level below zero; nothing more is admitted until the
//! level has refilled, so an account that sends many times its rate exceeds its quota once and not
//! in every window. A VM that admits many tokens reports them at once, so that the unreported
//! tokens of all VMs stay a small share of the rate. A VM that cannot reach all others uses only a
//! part of the rate and the burst ([`super::reachability`]). The level starts at zero unless the
//! whole system starts for the first time, so that a restart of all VMs grants no second burst.

use std::fmt;
use std::time::{Duration, Instant};

use crate::units::{TokenRate, Tokens};

/// Shortest retry delay sent to a refused caller.
const MIN_RETRY: Duration = Duration::from_millis(50);
/// Bound on the tokens that all VMs together have admitted but not reported, as the time in which
/// the account's rate yields them.
const UNREPORTED_TIME: Duration = Duration::from_secs(2);

/// The token bucket of one account.
#[derive(Clone, Debug)]
pub struct Allowance {
    rate: TokenRate,
    burst: f64,
    /// Tokens available now; below zero when the VMs together admitted too many.
    level: f64,
    /// The largest request seen, in tokens. The level can reach it even where this VM's part of
    /// the burst is smaller; otherwise such a request would never be admitted.
    largest: f64,
    refilled: Instant,
    /// Tokens that this VM has admitted since it started.
    pub admitted: Tokens,
    /// Value of `admitted` in the last report to the other VMs.
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
    /// Creates a bucket for the account, with the whole burst in it if `full` and empty otherwise.
    pub fn open(rate: TokenRate, burst: Tokens, full: bool, now: Instant) -> Self {
        let burst = burst.0 as f64;
        Self {
            rate,
            burst,
            level: if full { burst } else { 0.0 },
            largest: 0.0,
            refilled: now,
            admitted: Tokens::ZERO,
            reported: Tokens::ZERO,
        }
    }

    /// Changes the rate and the burst. A smaller burst lowers the level; a larger one leaves it.
    pub fn set_quota(&mut self, rate: TokenRate, burst: Tokens, now: Instant) {
        self.refill(now, 1.0);
        self.rate = rate;
        self.burst = burst.0 as f64;
        self.largest = self.largest.min(self.burst);
        self.level = self.level.min(self.burst);
    }

    /// Adds the tokens earned since the last refill. `part` is this VM's part of the quota, as
    /// [`super::reachability::Reachability::rate_share`] returns it.
    pub fn refill(&mut self, now: Instant, part: f64) {
        let span = now.saturating_duration_since(self.refilled);
        self.refilled = now;
        self.level =
            (self.level + self.rate.over(span) * part).min((self.burst * part).max(self.largest));
    }

    /// Whether this VM, one of `vms`, should report its admitted tokens at once.
    pub fn report_due(&self, vms: u32) -> bool {
        let unreported = self.admitted.saturating_sub(self.reported);
        unreported.0 as f64 > self.rate.over(UNREPORTED_TIME) / f64::from(vms.max(1))
    }

    /// Returns the tokens admitted since this VM started, and counts them as reported.
    pub fn take_report(&mut self) -> Tokens {
        self.reported = self.admitted;
        self.admitted
    }

    /// Admits a request of `tokens`, subtracting them from the level. A request larger than the
    /// burst needs a full level only.
    ///
    /// # Errors
    ///
    /// The time after which the level will be high enough.
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

    /// Subtracts tokens that another VM admitted; negative where that VM refunded some.
    pub fn on_peer_usage(&mut self, tokens: i64) {
        self.level = (self.level - tokens as f64).min(self.burst);
    }

    /// Returns the tokens of an admitted request that did not run.
    pub fn refund(&mut self, tokens: Tokens) {
        self.level = (self.level + tokens.0 as f64).min(self.burst);
        self.admitted = self.admitted.saturating_sub(tokens);
    }
}
