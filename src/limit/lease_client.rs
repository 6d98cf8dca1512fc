//! A VM that spends tokens of a share which it leases from the holders.
//!
//! Recent demand decides how much is asked for ahead of need. A part that fell short is left alone
//! for a while and the next one is asked; the VM's own parts come first, then those in its data
//! centre. Only tokens that have not expired are spent, counted from the sending of the ask.

use std::time::{Duration, Instant};

use super::assignment::{Assignment, LocalVm, rank};
use super::bucket::Quota;
use super::part_bucket::REFUND_AGE_MS;
use super::part_client::PartClient;
use super::rate_estimate::RateEstimate;
use super::vms::VmSnapshot;
use crate::ids::{ClientAccount, VmId};
use crate::schema::peer::{LeaseRequest, LeaseResponse};
use crate::units::Tokens;

/// Bits of an ask's number below the VM's incarnation.
const SEQUENCE_BITS: u32 = 22;

/// Part of the time to fill a burst that one lease may cover.
const BURST_DIVISOR: f64 = 8.0;

/// What is asked for where tokens are only given back.
const LEAST_ASK: Tokens = Tokens(1);

/// Times a refund must exceed what is left of the leases that end with it.
const REFUND_FACTOR: u64 = 4;

const DEMAND_SPAN_MS: u64 = 1_000;
const INTAKE_SPAN_MS: u64 = 2_000;
const SHORT_RUN_MS: u64 = 1_000;

/// Times of leases.
#[derive(Clone, Copy, Debug)]
pub struct LeaseTimes {
    /// Time one lease should last.
    pub batch: Duration,
    /// Life of a lease.
    pub life: Duration,
}

/// Tokens that requests wait for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct QueuedTokens {
    /// The first request's.
    pub first: Tokens,
    /// All requests'.
    pub total: Tokens,
}

/// An ask and the VM it goes to.
#[derive(Clone, Debug, PartialEq)]
pub struct OutgoingRequest {
    /// The holder.
    pub to: VmId,
    /// The ask.
    pub request: LeaseRequest,
}

/// A time over which every answer left all holders short.
#[derive(Clone, Copy, Debug)]
struct ShortRun {
    since: Instant,
    last: Instant,
}

/// State of one share at a VM that spends it.
#[derive(Clone, Debug)]
pub struct LeaseClient {
    name: ClientAccount,
    local: LocalVm,
    share: Quota,
    times: LeaseTimes,
    links: Vec<PartClient>,
    demand: RateEstimate,
    intake: RateEstimate,
    short: Option<ShortRun>,
    debt: Tokens,
    refund: Tokens,
    refunded: Instant,
}

impl LeaseClient {
    /// A spender without tokens.
    pub fn open(
        name: ClientAccount,
        local: LocalVm,
        share: Quota,
        times: LeaseTimes,
        now: Instant,
    ) -> Self {
        Self {
            name,
            local,
            share,
            times,
            links: Vec::new(),
            demand: RateEstimate::open(Duration::from_millis(DEMAND_SPAN_MS), now),
            intake: RateEstimate::open(Duration::from_millis(INTAKE_SPAN_MS), now),
            short: None,
            debt: Tokens::ZERO,
            refund: Tokens::ZERO,
            refunded: now,
        }
    }

    /// Changes the share.
    pub fn set_quota(&mut self, share: Quota) {
        self.share = share;
    }

    /// Follows a change of holders.
    pub fn set_assignment(&mut self, holding: &Assignment, view: &VmSnapshot, now: Instant) {
        let first = self.local.generation.0 << SEQUENCE_BITS;
        for (index, part) in holding.parts.iter().enumerate() {
            if let Some(link) = self.links.get_mut(index) {
                link.follow(part.vm.clone(), part.epoch, now);
            } else {
                let link = PartClient::open(index as u32, part.vm.clone(), part.epoch, first, now);
                self.links.push(link);
            }
        }
        self.links.truncate(holding.parts.len());
        let home = view.vms.get(&self.local.vm).map(|live| &live.centre);
        for link in &mut self.links {
            let centre = view.vms.get(&link.vm).map(|live| &live.centre);
            let far = match () {
                () if link.vm == self.local.vm => 0,
                () if home.is_some() && centre == home => 1,
                () => 2,
            };
            link.order = (
                far,
                rank(&self.name, 0, &link.vm) ^ rank(&self.name, 0, &self.local.vm),
            );
        }
    }

    /// Tokens that can be spent now.
    pub fn available(&self, now: Instant) -> Tokens {
        let left: Tokens = self.links.iter().map(|link| link.left(now)).sum();
        left - self.debt
    }

    /// Notes that a request wants tokens.
    pub fn record_demand(&mut self, tokens: Tokens, now: Instant) {
        self.demand.add(tokens.0 as f64, now);
    }

    /// Spends tokens, all or none.
    pub fn spend(&mut self, tokens: Tokens, now: Instant) -> bool {
        if self.available(now) < tokens {
            return false;
        }
        self.draw(tokens, now);
        true
    }

    /// Charges the real use of a request that reserved `reserved` at the time `at`.
    pub fn settle(&mut self, reserved: Tokens, used: Tokens, at: Instant, now: Instant) {
        self.debt = self.debt + (used - reserved);
        self.pay(now);
        let young = now.saturating_duration_since(at) <= Duration::from_millis(REFUND_AGE_MS);
        let unused = reserved - used;
        if !young || unused == Tokens::ZERO {
            return;
        }
        if self.refund == Tokens::ZERO {
            self.refunded = now;
        }
        self.refund = self.refund + unused;
    }

    /// The asks to send now, where requests wait for tokens.
    pub fn take_requests(&mut self, queued: QueuedTokens, now: Instant) -> Vec<OutgoingRequest> {
        self.want_more(queued, now);
        if queued.total == Tokens::ZERO {
            self.give_back(now);
        }
        let life = self.times.life;
        let send = |link: &mut PartClient| {
            let request = link.due(life, now)?;
            let to = link.vm.clone();
            Some(OutgoingRequest { to, request })
        };
        self.links.iter_mut().filter_map(send).collect()
    }

    /// Takes an answer in; `false` where it answers nothing that is under way.
    pub fn on_response(&mut self, from: &VmId, answer: &LeaseResponse, now: Instant) -> bool {
        let index = answer.part as usize;
        let link = self.links.get_mut(index).filter(|link| link.vm == *from);
        let Some(link) = link else {
            return false;
        };
        if !link.answer(answer, now) {
            return false;
        }
        self.intake.add(answer.tokens.0 as f64, now);
        self.note_short(now);
        self.pay(now);
        true
    }

    /// Least time until `tokens` beyond those at hand can be there; `None` where never.
    pub fn estimate(&self, tokens: Tokens, now: Instant) -> Option<Duration> {
        let missing = tokens + self.debt;
        let missing = missing - self.links.iter().map(|link| link.left(now)).sum();
        let least = self.share.fill_time(missing)?;
        let Some(run) = self.short.filter(|_| self.is_short(now)) else {
            return Some(Duration::ZERO);
        };
        let lasted = now.saturating_duration_since(run.since);
        if lasted >= Duration::from_millis(SHORT_RUN_MS) {
            let rate = self.intake.per_second(now);
            let expected = Duration::try_from_secs_f64(missing.0 as f64 / rate);
            return Some(least.max(expected.unwrap_or(least)));
        }
        let waits = self.links.iter().filter_map(|link| link.short_until(now));
        let soonest = waits.min().unwrap_or(now);
        Some(least.max(soonest.saturating_duration_since(now)))
    }

    /// Whether some holder does not answer.
    pub fn has_silent_holder(&self) -> bool {
        self.links.iter().any(|link| link.silent)
    }

    /// When there is next something to do.
    pub fn next_wake(&self, now: Instant) -> Option<Instant> {
        self.links
            .iter()
            .filter_map(|link| link.next_wake(now))
            .min()
    }

    fn draw(&mut self, tokens: Tokens, now: Instant) {
        let mut links: Vec<_> = self.links.iter_mut().collect();
        links.sort_by_key(|link| link.expiry(now).unwrap_or(now));
        let mut missing = tokens;
        for link in links {
            missing = missing - link.spend(missing, now);
        }
    }

    fn pay(&mut self, now: Instant) {
        let left: Tokens = self.links.iter().map(|link| link.left(now)).sum();
        let paid = self.debt.min(left);
        self.draw(paid, now);
        self.debt = self.debt - paid;
    }

    fn note_short(&mut self, now: Instant) {
        let gap = Duration::from_millis(SHORT_RUN_MS);
        let going_on = |run: &ShortRun| now.saturating_duration_since(run.last) <= gap;
        let since = self.short.filter(going_on).map_or(now, |run| run.since);
        let run = ShortRun { since, last: now };
        self.short = self.is_short(now).then_some(run);
    }

    /// Whether every holder that answers lately fell short.
    fn is_short(&self, now: Instant) -> bool {
        let mut reachable = self.links.iter().filter(|link| !link.silent);
        reachable.all(|link| link.short_until(now).is_some())
    }

    /// Time one lease should last; less where the burst fills faster.
    fn batch_seconds(&self) -> f64 {
        let fill = self.share.burst.0 as f64 / self.share.rate.per_second();
        self.times.batch.as_secs_f64().min(fill / BURST_DIVISOR)
    }

    /// Asks for what is queued and a stock ahead; in a shortage for the first request alone.
    fn want_more(&mut self, queued: QueuedTokens, now: Instant) {
        let stock = Tokens((self.demand.per_second(now) * self.batch_seconds()) as u64);
        let (queued, ahead) = if self.is_short(now) {
            (queued.first, Tokens::ZERO)
        } else {
            (queued.total, stock)
        };
        let left: Tokens = self.links.iter().map(|link| link.left(now)).sum();
        let coming: Tokens = self.links.iter().map(PartClient::coming).sum();
        let owed = queued + self.debt;
        let have = left + coming;
        if have >= owed + Tokens(ahead.0 / 2) {
            return;
        }
        let mut missing = owed + ahead - have;
        let most = self.share.part(self.links.len()).burst;
        let name = &self.name;
        let mut links: Vec<_> = self.links.iter_mut().collect();
        links.sort_by_key(|link| (link.silent, link.order));
        for link in links {
            if missing == Tokens::ZERO || !link.is_ready(now) {
                continue;
            }
            let left = link.left(now);
            if queued > Tokens::ZERO || left == Tokens::ZERO {
                link.renew(name, (missing + left).min(most), now);
                missing = missing + left - link.coming();
            } else {
                link.ask(name, missing.min(most), now);
                missing = missing - link.coming();
            }
        }
    }

    /// Ends leases that stay unused, and returns unused tokens of settled requests.
    fn give_back(&mut self, now: Instant) {
        if now.saturating_duration_since(self.refunded) > self.times.life {
            self.refund = Tokens::ZERO;
        }
        let fill = self.share.burst.0 as f64 / self.share.rate.per_second();
        let tight = fill < self.times.life.as_secs_f64() * BURST_DIVISOR;
        for link in &mut self.links {
            if !link.is_ready(now) || link.silent {
                continue;
            }
            let left = link.left(now);
            let idle = link.is_idle(self.times.batch, now);
            if idle && left > LEAST_ASK {
                link.renew(&self.name, LEAST_ASK, now);
            } else if (idle && tight) || self.refund.0 > left.0 * REFUND_FACTOR {
                link.refund(&self.name, std::mem::take(&mut self.refund), now);
            }
        }
    }
}
