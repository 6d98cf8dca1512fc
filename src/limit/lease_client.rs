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
const MIN_REQUEST: Tokens = Tokens(1);

/// Times a refund must exceed what is left of the leases that end with it.
const REFUND_FACTOR: u64 = 4;

const DEMAND_SPAN_MS: u64 = 1_000;
const RECEIVED_SPAN_MS: u64 = 2_000;
const SHORTAGE_RUN_MS: u64 = 1_000;

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
struct ShortageRun {
    since: Instant,
    last: Instant,
}

/// State of one share at a VM that spends it.
#[derive(Clone, Debug)]
pub struct LeaseClient {
    name: ClientAccount,
    local: LocalVm,
    quota: Quota,
    times: LeaseTimes,
    parts: Vec<PartClient>,
    demand_rate: RateEstimate,
    received_rate: RateEstimate,
    shortage: Option<ShortageRun>,
    debt: Tokens,
    refund: Tokens,
    refund_since: Instant,
}

impl LeaseClient {
    /// A spender without tokens.
    pub fn open(
        name: ClientAccount,
        local: LocalVm,
        quota: Quota,
        times: LeaseTimes,
        now: Instant,
    ) -> Self {
        Self {
            name,
            local,
            quota,
            times,
            parts: Vec::new(),
            demand_rate: RateEstimate::open(Duration::from_millis(DEMAND_SPAN_MS), now),
            received_rate: RateEstimate::open(Duration::from_millis(RECEIVED_SPAN_MS), now),
            shortage: None,
            debt: Tokens::ZERO,
            refund: Tokens::ZERO,
            refund_since: now,
        }
    }

    /// Changes the share.
    pub fn set_quota(&mut self, quota: Quota) {
        self.quota = quota;
    }

    /// Follows a change of holders.
    pub fn set_assignment(&mut self, assignment: &Assignment, view: &VmSnapshot, now: Instant) {
        let first = self.local.generation.0 << SEQUENCE_BITS;
        for (index, holder) in assignment.parts.iter().enumerate() {
            if let Some(part) = self.parts.get_mut(index) {
                part.set_holder(holder.vm.clone(), holder.epoch, now);
            } else {
                let part =
                    PartClient::open(index as u32, holder.vm.clone(), holder.epoch, first, now);
                self.parts.push(part);
            }
        }
        self.parts.truncate(assignment.parts.len());
        let own_centre = view.vms.get(&self.local.vm).map(|live| &live.centre);
        for part in &mut self.parts {
            let centre = view.vms.get(&part.vm).map(|live| &live.centre);
            let distance = match () {
                () if part.vm == self.local.vm => 0,
                () if own_centre.is_some() && centre == own_centre => 1,
                () => 2,
            };
            part.preference = (
                distance,
                rank(&self.name, 0, &part.vm) ^ rank(&self.name, 0, &self.local.vm),
            );
        }
    }

    /// Tokens that can be spent now.
    pub fn available(&self, now: Instant) -> Tokens {
        let left: Tokens = self.parts.iter().map(|part| part.unspent(now)).sum();
        left - self.debt
    }

    /// Notes that a request wants tokens.
    pub fn record_demand(&mut self, tokens: Tokens, now: Instant) {
        self.demand_rate.add(tokens.0 as f64, now);
    }

    /// Spends tokens, all or none.
    pub fn spend(&mut self, tokens: Tokens, now: Instant) -> bool {
        if self.available(now) < tokens {
            return false;
        }
        self.spend_from_leases(tokens, now);
        true
    }

    /// Charges the real use of a request that reserved `reserved` at the time `at`.
    pub fn settle(&mut self, reserved: Tokens, used: Tokens, at: Instant, now: Instant) {
        self.debt = self.debt + (used - reserved);
        self.pay_debt(now);
        let young = now.saturating_duration_since(at) <= Duration::from_millis(REFUND_AGE_MS);
        let unused = reserved - used;
        if !young || unused == Tokens::ZERO {
            return;
        }
        if self.refund == Tokens::ZERO {
            self.refund_since = now;
        }
        self.refund = self.refund + unused;
    }

    /// The asks to send now, where requests wait for tokens.
    pub fn take_requests(&mut self, queued: QueuedTokens, now: Instant) -> Vec<OutgoingRequest> {
        self.request_more(queued, now);
        if queued.total == Tokens::ZERO {
            self.return_unused(now);
        }
        let life = self.times.life;
        let send = |part: &mut PartClient| {
            let request = part.take_due_request(life, now)?;
            let to = part.vm.clone();
            Some(OutgoingRequest { to, request })
        };
        self.parts.iter_mut().filter_map(send).collect()
    }

    /// Takes an answer in; `false` where it answers nothing that is under way.
    pub fn on_response(&mut self, from: &VmId, response: &LeaseResponse, now: Instant) -> bool {
        let index = response.part as usize;
        let part = self.parts.get_mut(index).filter(|part| part.vm == *from);
        let Some(part) = part else {
            return false;
        };
        if !part.on_response(response, now) {
            return false;
        }
        self.received_rate.add(response.tokens.0 as f64, now);
        self.update_shortage(now);
        self.pay_debt(now);
        true
    }

    /// Least time until `tokens` beyond those at hand can be there; `None` where never.
    pub fn estimate_wait(&self, tokens: Tokens, now: Instant) -> Option<Duration> {
        let missing = tokens + self.debt;
        let missing = missing - self.parts.iter().map(|part| part.unspent(now)).sum();
        let least = self.quota.fill_time(missing)?;
        let Some(run) = self.shortage.filter(|_| self.is_in_shortage(now)) else {
            return Some(Duration::ZERO);
        };
        let lasted = now.saturating_duration_since(run.since);
        if lasted >= Duration::from_millis(SHORTAGE_RUN_MS) {
            let rate = self.received_rate.per_second(now);
            let expected = Duration::try_from_secs_f64(missing.0 as f64 / rate);
            return Some(least.max(expected.unwrap_or(least)));
        }
        let waits = self.parts.iter().filter_map(|part| part.shortage_end(now));
        let soonest = waits.min().unwrap_or(now);
        Some(least.max(soonest.saturating_duration_since(now)))
    }

    /// Whether some holder does not answer.
    pub fn has_silent_holder(&self) -> bool {
        self.parts.iter().any(|part| part.silent)
    }

    /// When there is next something to do.
    pub fn next_wake(&self, now: Instant) -> Option<Instant> {
        self.parts
            .iter()
            .filter_map(|part| part.next_wake(now))
            .min()
    }

    fn spend_from_leases(&mut self, tokens: Tokens, now: Instant) {
        let mut parts: Vec<_> = self.parts.iter_mut().collect();
        parts.sort_by_key(|part| part.earliest_expiry(now).unwrap_or(now));
        let mut missing = tokens;
        for part in parts {
            missing = missing - part.spend(missing, now);
        }
    }

    fn pay_debt(&mut self, now: Instant) {
        let left: Tokens = self.parts.iter().map(|part| part.unspent(now)).sum();
        let paid = self.debt.min(left);
        self.spend_from_leases(paid, now);
        self.debt = self.debt - paid;
    }

    fn update_shortage(&mut self, now: Instant) {
        let gap = Duration::from_millis(SHORTAGE_RUN_MS);
        let continues = |run: &ShortageRun| now.saturating_duration_since(run.last) <= gap;
        let since = self.shortage.filter(continues).map_or(now, |run| run.since);
        let run = ShortageRun { since, last: now };
        self.shortage = self.is_in_shortage(now).then_some(run);
    }

    /// Whether every holder that answers lately fell short.
    fn is_in_shortage(&self, now: Instant) -> bool {
        let mut reachable = self.parts.iter().filter(|part| !part.silent);
        reachable.all(|part| part.shortage_end(now).is_some())
    }

    /// Time one lease should last; less where the burst fills faster.
    fn batch_seconds(&self) -> f64 {
        let fill = self.quota.burst.0 as f64 / self.quota.rate.per_second();
        self.times.batch.as_secs_f64().min(fill / BURST_DIVISOR)
    }

    /// Asks for what is queued and a stock ahead; in a shortage for the first request alone.
    fn request_more(&mut self, queued: QueuedTokens, now: Instant) {
        let desired_stock =
            Tokens((self.demand_rate.per_second(now) * self.batch_seconds()) as u64);
        let (queued, stock_tokens) = if self.is_in_shortage(now) {
            (queued.first, Tokens::ZERO)
        } else {
            (queued.total, desired_stock)
        };
        let left: Tokens = self.parts.iter().map(|part| part.unspent(now)).sum();
        let requested: Tokens = self.parts.iter().map(PartClient::expected).sum();
        let needed = queued + self.debt;
        let on_hand = left + requested;
        if on_hand >= needed + Tokens(stock_tokens.0 / 2) {
            return;
        }
        let mut missing = needed + stock_tokens - on_hand;
        let max_tokens = self.quota.part(self.parts.len()).burst;
        let name = &self.name;
        let mut parts: Vec<_> = self.parts.iter_mut().collect();
        parts.sort_by_key(|part| (part.silent, part.preference));
        for part in parts {
            if missing == Tokens::ZERO || !part.can_request(now) {
                continue;
            }
            let left = part.unspent(now);
            if queued > Tokens::ZERO || left == Tokens::ZERO {
                part.renew(name, (missing + left).min(max_tokens), now);
                missing = missing + left - part.expected();
            } else {
                part.request_more(name, missing.min(max_tokens), now);
                missing = missing - part.expected();
            }
        }
    }

    /// Ends leases that stay unused, and returns unused tokens of settled requests.
    fn return_unused(&mut self, now: Instant) {
        if now.saturating_duration_since(self.refund_since) > self.times.life {
            self.refund = Tokens::ZERO;
        }
        let fill = self.quota.burst.0 as f64 / self.quota.rate.per_second();
        let fast_refill = fill < self.times.life.as_secs_f64() * BURST_DIVISOR;
        for part in &mut self.parts {
            if !part.can_request(now) || part.silent {
                continue;
            }
            let left = part.unspent(now);
            let idle = part.is_idle(self.times.batch, now);
            if idle && left > MIN_REQUEST {
                part.renew(&self.name, MIN_REQUEST, now);
            } else if (idle && fast_refill) || self.refund.0 > left.0 * REFUND_FACTOR {
                part.refund(&self.name, std::mem::take(&mut self.refund), now);
            }
        }
    }
}
