//! The quota of one client account, enforced over all VMs together.
//!
//! Each VM keeps a token bucket for the whole account. It subtracts the tokens that it admits
//! itself and, several times a second, those that the other VMs report. Tokens that another VM has
//! admitted but not reported yet can push the level below zero; nothing more is admitted until the
//! level has refilled, so an account that sends many times its rate exceeds its quota once and not
//! in every window. A VM that admits many tokens reports them at once, so that the unreported
//! tokens of all VMs stay a small share of the rate. A VM that cannot reach all others uses only a
//! part of the rate and the burst ([`super::reachability`]); what it left to the others covers what
//! they admitted unheard ([`super::forgone`]). The level starts at zero unless the whole system
//! starts for the first time, so that a restart of all VMs grants no second burst; what VMs that
//! started earlier have admitted is taken from it.
//!
//! A request may be larger than this VM's part of the burst. If each VM saved tokens up for one,
//! all together could admit as many at once as there are VMs. Such a request is admitted with a
//! probability instead, so that the VMs together keep to their parts.

use std::fmt;
use std::time::{Duration, Instant};

use crate::units::{TokenRate, Tokens};

use super::forgone::Forgone;
use super::quota_order::{QuotaOrder, Rank};
use super::quota_refusals::QuotaRefusals;
use super::reachability::Part;
use super::recent_use::RecentUse;

/// Shortest retry delay sent to a refused caller.
const MIN_RETRY: Duration = Duration::from_millis(50);
/// Bound on the tokens that all VMs together have admitted but not reported, as the time in which
/// the account's rate yields them.
const UNREPORTED_TIME: Duration = Duration::from_secs(2);
/// Bound on the debt beyond the burst, as the time in which the account's rate yields it.
const MAX_DEBT_TIME: Duration = Duration::from_secs(10);
/// Smallest part of the quota with which a VM's refusal shows that the account has used it up.
const MIN_EXHAUSTED_PART: f64 = 0.5;
/// Longest retry delay sent to a refused caller.
const MAX_RETRY: Duration = Duration::from_hours(1);
/// Longest time between two draws for requests that are larger than this VM's part of the burst.
const MAX_DRAW_INTERVAL: Duration = Duration::from_hours(1);

/// What became of tokens that other VMs admitted, and of the level as they fell silent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct QuotaFigures {
    /// Tokens of other VMs that were subtracted from the level.
    pub subtracted: u64,
    /// Tokens of other VMs that were taken from what had been left to them.
    pub left: u64,
    /// Tokens that the level lost as a silence was noticed late.
    pub overdrawn: u64,
}

/// The token bucket of one account.
#[derive(Clone, Debug)]
pub struct Allowance {
    rate: TokenRate,
    burst: f64,
    /// Tokens available now; below zero when the VMs together admitted too many.
    level: f64,
    /// Whether the level began with the whole burst, and then how much of it VMs that started
    /// earlier had used.
    earlier_usage: Option<f64>,
    /// When a request larger than this VM's part of the burst may be drawn for again.
    next_draw: Instant,
    refilled: Instant,
    opened: Instant,
    /// When a request was last refused as the quota was used up.
    exhausted: Option<Instant>,
    /// Number of VMs whose parts this VM used at the last refill.
    heard: f64,
    /// What became of tokens that other VMs admitted late.
    pub figures: QuotaFigures,
    /// Tokens subtracted from the level lately.
    recent: RecentUse,
    /// Tokens that the level did not gain, from which late usage of others is taken first.
    forgone: Forgone,
    /// Which requests go first while some are refused.
    order: QuotaOrder,
    /// Requests that this VM refused.
    pub refusals: QuotaRefusals,
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
            earlier_usage: full.then_some(0.0),
            next_draw: now,
            refilled: now,
            opened: now,
            exhausted: None,
            heard: 0.0,
            figures: QuotaFigures::default(),
            recent: RecentUse::default(),
            forgone: Forgone::default(),
            order: QuotaOrder::open(now),
            refusals: QuotaRefusals::default(),
            admitted: Tokens::ZERO,
            reported: Tokens::ZERO,
        }
    }

    /// Changes the rate and the burst. A smaller burst lowers the level; a larger one leaves it.
    /// `part` is this VM's part of the quota.
    pub fn set_quota<P>(&mut self, rate: TokenRate, burst: Tokens, now: Instant, part: P)
    where
        P: Into<Part>,
    {
        self.refill(now, part);
        self.rate = rate;
        self.burst = burst.0 as f64;
        self.level = self.level.min(self.burst);
    }

    /// Adds the tokens earned since the last refill. `part` is this VM's part of the quota, as
    /// [`super::reachability::Reachability::part`] returns it.
    pub fn refill<P>(&mut self, now: Instant, part: P)
    where
        P: Into<Part>,
    {
        let part = part.into();
        let span = now.saturating_duration_since(self.refilled);
        self.refilled = now;
        let earned = self.rate.over(span);
        let before = self.level;
        let share = part.share;
        let overdrawn = self.overdrawn(part, now);
        let kept = before - overdrawn;
        self.heard = part.heard;
        self.figures.overdrawn += overdrawn as u64;
        self.level = (kept + earned * share).min(self.burst * share);
        self.forgone.add(before + earned - self.level, now);
    }

    /// Tokens that the level loses as VMs are no longer heard. The smaller part counts from the
    /// beginning of their silence: of what the level held then, and of what the VMs that are still
    /// heard have admitted since, only the part was theirs.
    fn overdrawn(&self, part: Part, now: Instant) -> f64 {
        if part.heard >= self.heard {
            return 0.0;
        }
        let held = self.level + self.recent.within(part.silence, now);
        held.max(0.0) * (1.0 - part.heard / self.heard)
    }

    /// Whether this VM, one of `vms`, should report its admitted tokens at once.
    pub fn report_due(&self, vms: u32) -> bool {
        let unreported = self.unreported();
        unreported.0 as f64 > self.rate.over(UNREPORTED_TIME) / f64::from(vms.max(1))
    }

    /// Notes that another VM refused a request lately.
    pub fn on_peer_refusal(&mut self, now: Instant) {
        self.order.on_refused(now);
    }

    /// Tokens admitted here that are in no report yet.
    pub fn unreported(&self) -> Tokens {
        self.admitted.saturating_sub(self.reported)
    }

    /// Returns the tokens admitted since this VM started, and counts them as reported.
    pub fn take_report(&mut self) -> Tokens {
        self.reported = self.admitted;
        self.admitted
    }

    /// Admits a request of `tokens`, subtracting them from the level. A request larger than the
    /// burst needs a full level only. While requests are refused, [`QuotaOrder`] says what must be
    /// left over. `draw`, a random number from 0 to 1, decides on a request that is larger than
    /// this VM's part of the burst, and varies what must be left.
    ///
    /// # Errors
    ///
    /// The time after which the level will be high enough.
    pub fn admit<P>(
        &mut self,
        rank: Rank,
        tokens: Tokens,
        now: Instant,
        part: P,
        draw: f64,
    ) -> Result<(), Duration>
    where
        P: Into<Part>,
    {
        let part = part.into();
        self.refill(now, part);
        let part = part.share;
        self.order.on_request(rank, tokens, now);
        let need = (tokens.0 as f64).min(self.burst);
        let most = self.burst * part;
        let reserve = self.order.reserve(rank, tokens, most, draw, now);
        let floor = (need + reserve).min(most);
        if self.level >= floor && self.draw(need, part, draw, now) {
            self.level -= tokens.0 as f64;
            self.recent.add(tokens.0 as f64, now);
            self.admitted = self.admitted + tokens;
            self.order.on_admitted(rank, tokens);
            return Ok(());
        }
        self.refusals.add(rank);
        if self.is_exhausted(part, now) {
            self.exhausted = Some(now);
            self.order.on_refused(now);
        }
        let missing = (floor - self.level).max(0.0);
        let refill = self.rate.per_second() * part * self.order.share_left(rank, now);
        let wait = Duration::try_from_secs_f64(missing / refill);
        let wait = wait.unwrap_or(MAX_RETRY);
        let drawn = self.next_draw.saturating_duration_since(now);
        Err(wait.max(drawn).clamp(MIN_RETRY, MAX_RETRY))
    }

    /// Whether the account has used its quota up where this VM refuses a request; a VM that has
    /// just started, or hears few others, also refuses what the quota allows.
    fn is_exhausted(&self, part: f64, now: Instant) -> bool {
        let filled = self.rate.over(now.saturating_duration_since(self.opened)) >= self.burst;
        filled && part >= MIN_EXHAUSTED_PART
    }

    /// Whether a request of the account was refused here within `span` as its quota is used up.
    pub fn was_exhausted(&self, span: Duration, now: Instant) -> bool {
        self.exhausted
            .is_some_and(|at| now.saturating_duration_since(at) <= span)
    }

    /// Decides whether a request is admitted that may be larger than this VM's part of the burst.
    fn draw(&mut self, need: f64, part: f64, draw: f64, now: Instant) -> bool {
        let most = self.burst * part;
        if need <= most {
            return true;
        }
        if now < self.next_draw {
            return false;
        }
        let refill = Duration::try_from_secs_f64(most / (self.rate.per_second() * part));
        self.next_draw = now + refill.unwrap_or(MAX_DRAW_INTERVAL).min(MAX_DRAW_INTERVAL);
        draw * need < most
    }

    /// Subtracts tokens that another VM admitted since its previous report; negative where that VM
    /// refunded some. `silence` is the time since that report if the VM was unreachable: what the
    /// level did not gain in it was left to such VMs, and is used up first. What was admitted long
    /// ago has been refilled since.
    pub fn on_peer_usage<P>(
        &mut self,
        tokens: i64,
        silence: Option<Duration>,
        now: Instant,
        part: P,
    ) where
        P: Into<Part>,
    {
        let mut tokens = tokens as f64;
        if let Some(silence) = silence.filter(|_| tokens > 0.0) {
            self.refill(now, part);
            let left = self.forgone.take(tokens, silence, now);
            self.figures.left += left as u64;
            tokens -= left;
        }
        self.figures.subtracted += tokens.max(0.0) as u64;
        let debt = self.burst + self.rate.over(MAX_DEBT_TIME);
        self.recent.add(tokens, now);
        self.level = (self.level - tokens).min(self.burst).max(-debt);
    }

    /// Subtracts what a VM that started earlier had admitted when it was first heard, if the level
    /// began with the whole burst.
    pub fn on_earlier_usage(&mut self, tokens: Tokens) {
        let Some(used) = &mut self.earlier_usage else {
            return;
        };
        let more = (tokens.0 as f64).min(self.burst - *used).max(0.0);
        *used += more;
        self.level -= more;
    }

    /// Returns the tokens of an admitted request that did not run.
    pub fn refund(&mut self, tokens: Tokens) {
        self.level = (self.level + tokens.0 as f64).min(self.burst);
        self.admitted = self.admitted.saturating_sub(tokens);
    }
}
