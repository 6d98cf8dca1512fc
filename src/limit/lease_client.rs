//! Leases tokens of one quota from the holders of its parts and spends them on this VM's requests.
//!
//! Recent demand decides how many tokens are requested in advance. Parts that this VM holds are
//! asked first, then parts held in its data centre, then the others. A part that granted less than
//! was requested is not asked again for a while; the next one is asked instead. A lease expires
//! when its life has passed since its request was sent, and only unexpired leases are spent.

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

/// Low bits of a sequence number that count requests; the bits above hold the VM's generation, so
/// that numbers go on rising after a restart.
const SEQUENCE_BITS: u32 = 22;

/// One lease covers the demand of at most 1/8 of the time in which the quota's burst refills.
const BURST_DIVISOR: f64 = 8.0;

/// Tokens to request when the aim is only to give tokens back: a request for zero would return them
/// as a refund of settled requests.
const MIN_REQUEST: Tokens = Tokens(1);

/// A refund is sent once it exceeds this many times the tokens left in the leases that it ends.
const REFUND_FACTOR: u64 = 4;

/// Time constant of the demand estimate, in milliseconds.
const DEMAND_SPAN_MS: u64 = 1_000;
/// Time constant of the estimate of received tokens, in milliseconds.
const RECEIVED_SPAN_MS: u64 = 2_000;
/// Longest gap between two responses of one shortage, in milliseconds. Once a shortage has lasted
/// this long, waits are estimated from the rate of received tokens.
const SHORTAGE_RUN_MS: u64 = 1_000;

/// Timing of leases.
#[derive(Clone, Copy, Debug)]
pub struct LeaseTimes {
    /// Time for which the tokens of one lease should meet the demand.
    pub batch: Duration,
    /// Time from the request after which a lease expires.
    pub life: Duration,
}

/// Tokens that callers' requests wait for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct QueuedTokens {
    /// Tokens of the first request in the queue.
    pub first: Tokens,
    /// Tokens of all requests in the queue.
    pub total: Tokens,
}

/// A lease request and the VM that it goes to.
#[derive(Clone, Debug, PartialEq)]
pub struct OutgoingRequest {
    /// The holder of the part.
    pub to: VmId,
    /// Sent in an `ask` frame.
    pub request: LeaseRequest,
}

/// A period in which every response left all responding parts short of tokens.
#[derive(Clone, Copy, Debug)]
struct ShortageRun {
    /// When the first such response arrived.
    since: Instant,
    /// When the last such response arrived.
    last: Instant,
}

/// Leases of one quota at the VM that spends them.
#[derive(Clone, Debug)]
pub struct LeaseClient {
    /// Name under which the quota is leased.
    name: ClientAccount,
    local: LocalVm,
    quota: Quota,
    times: LeaseTimes,
    parts: Vec<PartClient>,
    /// Rate at which callers' requests ask for tokens.
    demand_rate: RateEstimate,
    /// Rate at which holders grant tokens to this VM.
    received_rate: RateEstimate,
    shortage: Option<ShortageRun>,
    /// Tokens used beyond what was reserved and not yet paid from leases.
    debt: Tokens,
    /// Unused tokens of settled requests, to be returned to a holder; dropped after a lease's life.
    refund: Tokens,
    /// When `refund` became non-zero.
    refund_since: Instant,
}

impl LeaseClient {
    /// Creates a client without leases; it needs an assignment to obtain any.
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

    /// Changes rate and burst of the quota.
    pub fn set_quota(&mut self, quota: Quota) {
        self.quota = quota;
    }

    /// Switches to the holders of a new assignment and ranks the parts by distance.
    pub fn set_assignment(&mut self, assignment: &Assignment, snapshot: &VmSnapshot, now: Instant) {
        let first_sequence = self.local.generation.0 << SEQUENCE_BITS;
        for (index, holder) in assignment.parts.iter().enumerate() {
            if let Some(part) = self.parts.get_mut(index) {
                part.set_holder(holder.vm.clone(), holder.epoch, now);
            } else {
                let part = PartClient::open(
                    index as u32,
                    holder.vm.clone(),
                    holder.epoch,
                    first_sequence,
                    now,
                );
                self.parts.push(part);
            }
        }
        self.parts.truncate(assignment.parts.len());
        let own_centre = snapshot.vms.get(&self.local.vm).map(|info| &info.centre);
        for part in &mut self.parts {
            let centre = snapshot.vms.get(&part.vm).map(|info| &info.centre);
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

    /// Unspent leased tokens less the debt.
    pub fn available(&self, now: Instant) -> Tokens {
        let unspent_tokens: Tokens = self.parts.iter().map(|part| part.unspent(now)).sum();
        unspent_tokens - self.debt
    }

    /// Records the tokens that a caller's request asks for, to estimate the demand.
    pub fn record_demand(&mut self, tokens: Tokens, now: Instant) {
        self.demand_rate.add(tokens.0 as f64, now);
    }

    /// Spends `tokens` if that many are available; otherwise spends none and returns `false`.
    pub fn spend(&mut self, tokens: Tokens, now: Instant) -> bool {
        if self.available(now) < tokens {
            return false;
        }
        self.spend_from_leases(tokens, now);
        true
    }

    /// Charges the `used` tokens of a request for which `reserved` tokens were spent at `at`.
    /// Excess use becomes debt; unused tokens are refunded unless the reservation is too old.
    pub fn settle(&mut self, reserved: Tokens, used: Tokens, at: Instant, now: Instant) {
        self.debt = self.debt + (used - reserved);
        self.pay_debt(now);
        let is_recent = now.saturating_duration_since(at) <= Duration::from_millis(REFUND_AGE_MS);
        let unused = reserved - used;
        if !is_recent || unused == Tokens::ZERO {
            return;
        }
        if self.refund == Tokens::ZERO {
            self.refund_since = now;
        }
        self.refund = self.refund + unused;
    }

    /// Decides what to request or return, and takes the lease requests that must be sent now.
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

    /// Handles a holder's response; `false` if it does not belong to a request in flight.
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

    /// Expected time until `tokens` can be spent; zero unless there is a shortage, `None` if the
    /// quota never yields as many.
    pub fn estimate_wait(&self, tokens: Tokens, now: Instant) -> Option<Duration> {
        let missing = tokens + self.debt;
        let missing = missing - self.parts.iter().map(|part| part.unspent(now)).sum();
        let min_wait = self.quota.fill_time(missing)?;
        let Some(run) = self.shortage.filter(|_| self.is_in_shortage(now)) else {
            return Some(Duration::ZERO);
        };
        let duration = now.saturating_duration_since(run.since);
        if duration >= Duration::from_millis(SHORTAGE_RUN_MS) {
            let rate = self.received_rate.per_second(now);
            let expected = Duration::try_from_secs_f64(missing.0 as f64 / rate);
            return Some(min_wait.max(expected.unwrap_or(min_wait)));
        }
        let waits = self.parts.iter().filter_map(|part| part.shortage_end(now));
        let soonest = waits.min().unwrap_or(now);
        Some(min_wait.max(soonest.saturating_duration_since(now)))
    }

    /// Whether any holder does not respond.
    pub fn has_silent_holder(&self) -> bool {
        self.parts.iter().any(|part| part.silent)
    }

    /// When a request must next be sent again or may be sent after a shortage.
    pub fn next_wake(&self, now: Instant) -> Option<Instant> {
        self.parts
            .iter()
            .filter_map(|part| part.next_wake(now))
            .min()
    }

    /// Spends tokens of all parts, beginning with the leases that expire first.
    fn spend_from_leases(&mut self, tokens: Tokens, now: Instant) {
        let mut parts: Vec<_> = self.parts.iter_mut().collect();
        parts.sort_by_key(|part| part.earliest_expiry(now).unwrap_or(now));
        let mut missing = tokens;
        for part in parts {
            missing = missing - part.spend(missing, now);
        }
    }

    /// Pays as much of the debt as there are leased tokens.
    fn pay_debt(&mut self, now: Instant) {
        let unspent_tokens: Tokens = self.parts.iter().map(|part| part.unspent(now)).sum();
        let paid = self.debt.min(unspent_tokens);
        self.spend_from_leases(paid, now);
        self.debt = self.debt - paid;
    }

    /// Begins, continues or ends the shortage after a response.
    fn update_shortage(&mut self, now: Instant) {
        let gap = Duration::from_millis(SHORTAGE_RUN_MS);
        let continues = |run: &ShortageRun| now.saturating_duration_since(run.last) <= gap;
        let since = self.shortage.filter(continues).map_or(now, |run| run.since);
        let run = ShortageRun { since, last: now };
        self.shortage = self.is_in_shortage(now).then_some(run);
    }

    /// Whether every part whose holder responds recently granted less than was requested.
    fn is_in_shortage(&self, now: Instant) -> bool {
        let mut reachable = self.parts.iter().filter(|part| !part.silent);
        reachable.all(|part| part.shortage_end(now).is_some())
    }

    /// Time, in seconds, for which the tokens of one lease should meet the demand; shorter if the
    /// burst refills quickly, so that no lease takes too much of it.
    fn batch_seconds(&self) -> f64 {
        let fill = self.quota.burst.0 as f64 / self.quota.rate.per_second();
        self.times.batch.as_secs_f64().min(fill / BURST_DIVISOR)
    }

    /// Requests the tokens of the queued requests plus a stock for coming ones. In a shortage it
    /// requests only the tokens of the first queued request.
    fn request_more(&mut self, queued: QueuedTokens, now: Instant) {
        let desired_stock =
            Tokens((self.demand_rate.per_second(now) * self.batch_seconds()) as u64);
        let (queued, stock_tokens) = if self.is_in_shortage(now) {
            (queued.first, Tokens::ZERO)
        } else {
            (queued.total, desired_stock)
        };
        let unspent_tokens: Tokens = self.parts.iter().map(|part| part.unspent(now)).sum();
        let requested_tokens: Tokens = self.parts.iter().map(PartClient::expected).sum();
        let needed = queued + self.debt;
        let on_hand = unspent_tokens + requested_tokens;
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
            let unspent_tokens = part.unspent(now);
            if queued > Tokens::ZERO || unspent_tokens == Tokens::ZERO {
                part.renew(name, (missing + unspent_tokens).min(max_tokens), now);
                missing = missing + unspent_tokens - part.expected();
            } else {
                part.request_more(name, missing.min(max_tokens), now);
                missing = missing - part.expected();
            }
        }
    }

    /// Ends idle leases and returns unused tokens of settled requests.
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
            let unspent_tokens = part.unspent(now);
            let idle = part.is_idle(self.times.batch, now);
            if idle && unspent_tokens > MIN_REQUEST {
                part.renew(&self.name, MIN_REQUEST, now);
            } else if (idle && fast_refill) || self.refund.0 > unspent_tokens.0 * REFUND_FACTOR {
                part.refund(&self.name, std::mem::take(&mut self.refund), now);
            }
        }
    }
}
