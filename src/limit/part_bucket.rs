//! The token bucket of one part of a quota, at the VM that holds the part.
//!
//! The bucket leases its tokens in small batches to the VMs that spend them, the borrowers. Its
//! level and its open leases together never exceed the part's burst, so in any window the part
//! grants at most rate x window + burst, wherever the leases are spent. A lease is open until it
//! expires or its borrower reports that it has ended. The borrower counts the lease's life from
//! when it sent the request, the bucket from when it responded, so the borrower always stops
//! first. The bucket of a new holder starts empty, as it cannot know what the previous one granted.
//!
//! Each borrower numbers its lease requests without gaps. Request n reports that all leases up to
//! that of request n-2 have ended. If `returned` is set, even to zero, the lease of request n-1 has
//! ended too, and `returned` is what was left of the ended leases. A request for zero tokens also
//! ends all earlier leases, but its `returned` counts unused tokens of settled requests. A
//! retransmitted request gets the same response again, and an older one gets none.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::bucket::{Bucket, ExactTokens, Quota};
use super::rate_estimate::RateEstimate;
use super::recent_peaks::RecentPeaks;
use crate::ids::VmId;
use crate::schema::peer::{LeaseRefusal, LeaseRequest, LeaseResponse};
use crate::units::Tokens;

/// Age up to which the unused tokens of a reservation are refunded, in milliseconds.
pub const REFUND_AGE_MS: u64 = 10_000;

/// A lease stays open for 1/32 of its life longer than the borrower may spend it, as the clocks of
/// the two VMs may run at different speeds.
const CLOCK_DRIFT_DIVISOR: u32 = 32;

/// A request for more than 1/2 of the part's burst may be granted in part.
const LARGE_REQUEST_DIVISOR: u64 = 2;

/// Time constant of the estimate of unmet demand, in milliseconds.
const UNMET_DEMAND_MS: u64 = 1_000;

/// State of one VM that leases tokens.
#[derive(Clone, Debug)]
struct Borrower {
    /// Sent again if the request is retransmitted.
    last_response: LeaseResponse,
    /// Sequence number and expiry of each open lease.
    open_leases: Vec<(u64, Instant)>,
}

/// Token bucket and open leases of one part of a quota.
#[derive(Clone, Debug)]
pub struct PartBucket {
    /// The part's own rate and burst.
    quota: Quota,
    /// How long a borrower may spend a lease.
    life: Duration,
    bucket: Bucket,
    /// Recent peaks of [`Self::exact_total`].
    peaks: RecentPeaks,
    /// Rate of tokens in lease requests that were not granted in full.
    unmet_demand: RateEstimate,
    /// Sum of `leases`.
    leased: ExactTokens,
    /// Tokens of open leases, by expiry, borrower and sequence number.
    leases: BTreeMap<(Instant, VmId, u64), Tokens>,
    borrowers: BTreeMap<VmId, Borrower>,
}

impl PartBucket {
    /// Creates an empty bucket.
    pub fn open(quota: Quota, life: Duration, now: Instant) -> Self {
        let span = Duration::from_millis(REFUND_AGE_MS) + life * 2;
        Self {
            quota,
            life,
            bucket: Bucket::empty(quota.rate, now),
            peaks: RecentPeaks::open(quota.burst.into(), span, now),
            unmet_demand: RateEstimate::open(Duration::from_millis(UNMET_DEMAND_MS), now),
            leased: ExactTokens::ZERO,
            leases: BTreeMap::new(),
            borrowers: BTreeMap::new(),
        }
    }

    /// Changes the part's rate and burst from now on.
    pub fn set_quota(&mut self, quota: Quota, now: Instant) {
        if self.quota == quota {
            return;
        }
        self.expire_and_refill(now);
        self.quota = quota;
        self.bucket.set_rate(quota.rate);
        self.bucket.refill(self.bucket_capacity(), now);
    }

    /// Level plus open leases, in whole tokens; never above the part's burst, unless the burst was
    /// lowered while tokens were leased.
    pub fn total_tokens(&mut self, now: Instant) -> Tokens {
        self.expire_and_refill(now);
        self.exact_total().floor()
    }

    /// Handles a borrower's request; `None` if a newer request of that borrower was handled before.
    pub fn grant_lease(
        &mut self,
        from: &VmId,
        request: &LeaseRequest,
        now: Instant,
    ) -> Option<LeaseResponse> {
        self.expire_and_refill(now);
        if let Some(borrower) = self.borrowers.get(from) {
            if request.sequence < borrower.last_response.sequence {
                return None;
            }
            if request.sequence == borrower.last_response.sequence {
                return Some(borrower.last_response.clone());
            }
        }
        self.end_leases(from, request);
        if request.tokens == Tokens::ZERO {
            self.credit_refund(request.returned.unwrap_or_default());
        }
        let response = self.respond(request, now);
        self.record_response(from, &response, now);
        Some(response)
    }

    /// Grants all requested tokens or none, so that tokens are not scattered among borrowers in
    /// amounts too small for a caller's request. A lease request that is large for this part gets
    /// what the bucket holds.
    fn respond(&mut self, request: &LeaseRequest, now: Instant) -> LeaseResponse {
        let available = request.tokens <= self.bucket.level().floor();
        let large = request.tokens.0 > self.quota.burst.0 / LARGE_REQUEST_DIVISOR;
        let tokens = if available || large {
            self.bucket.take(request.tokens)
        } else {
            Tokens::ZERO
        };
        let missing = request.tokens.saturating_sub(tokens);
        let wait = match missing {
            Tokens::ZERO => Some(Duration::ZERO),
            _ => self.expected_wait(request.tokens, now),
        };
        let nothing_granted = tokens == Tokens::ZERO && missing > Tokens::ZERO;
        LeaseResponse {
            account: request.account.clone(),
            epoch: request.epoch,
            life: self.life.as_millis() as u64,
            part: request.part,
            refusal: nothing_granted.then_some(LeaseRefusal::Empty),
            sequence: request.sequence,
            tokens,
            wait: wait.map_or(u64::MAX, |span| span.as_millis() as u64),
        }
    }

    /// Time until `tokens` can be granted if recent unmet requests are granted before.
    fn expected_wait(&mut self, tokens: Tokens, now: Instant) -> Option<Duration> {
        let span = Duration::from_millis(UNMET_DEMAND_MS);
        let wanted_before = self.unmet_demand.per_second(now) * span.as_secs_f64();
        self.unmet_demand.add(tokens.0 as f64, now);
        let needed = tokens + Tokens(wanted_before as u64);
        self.bucket.fill_time(needed - self.bucket.level().floor())
    }

    /// Remembers the response for retransmissions and opens the lease that it grants.
    fn record_response(&mut self, from: &VmId, response: &LeaseResponse, now: Instant) {
        let entry = self.borrowers.entry(from.clone());
        let borrower = entry.or_insert_with(|| Borrower {
            last_response: response.clone(),
            open_leases: Vec::new(),
        });
        borrower.last_response = response.clone();
        if response.tokens == Tokens::ZERO {
            return;
        }
        let expiry = now + self.life + self.life / CLOCK_DRIFT_DIVISOR;
        borrower.open_leases.push((response.sequence, expiry));
        let key = (expiry, from.clone(), response.sequence);
        self.leases.insert(key, response.tokens);
        self.leased = self.leased.saturating_add(response.tokens.into());
    }

    /// Ends the leases that the request reports as ended, and credits the tokens left of them.
    fn end_leases(&mut self, from: &VmId, request: &LeaseRequest) {
        let Some(borrower) = self.borrowers.get_mut(from) else {
            return;
        };
        let frees_last = request.tokens == Tokens::ZERO || request.returned.is_some();
        let last_ended = request
            .sequence
            .saturating_sub(if frees_last { 1 } else { 2 });
        let is_over = |&mut (sequence, _): &mut (u64, Instant)| sequence <= last_ended;
        let ended: Vec<_> = borrower.open_leases.extract_if(.., is_over).collect();
        let mut freed = Tokens::ZERO;
        for (sequence, expiry) in ended {
            let key = (expiry, from.clone(), sequence);
            freed = freed + self.leases.remove(&key).unwrap_or_default();
        }
        self.leased = self.leased.saturating_sub(freed.into());
        if request.tokens > Tokens::ZERO {
            let returned = request.returned.unwrap_or_default().min(freed);
            self.bucket.credit(returned.into());
        }
    }

    /// Credits unused tokens of settled requests, as far as the recent peaks allow.
    fn credit_refund(&mut self, tokens: Tokens) {
        let room = ExactTokens::from(self.quota.burst).saturating_sub(self.peaks.max_level());
        let credit = ExactTokens::from(tokens).min(room);
        self.bucket.credit(credit);
        self.peaks.raise_all(credit);
    }

    /// Refills and expires leases in order of time, so that no refill uses capacity that an expiry
    /// freed later.
    fn expire_and_refill(&mut self, now: Instant) {
        while let Some(entry) = self.leases.first_entry() {
            let expiry = entry.key().0;
            if expiry > now {
                break;
            }
            let ((_, vm, sequence), tokens) = entry.remove_entry();
            self.refill_bucket(expiry);
            self.leased = self.leased.saturating_sub(tokens.into());
            if let Some(borrower) = self.borrowers.get_mut(&vm) {
                borrower.open_leases.retain(|&(other, _)| other != sequence);
            }
        }
        self.refill_bucket(now);
    }

    fn refill_bucket(&mut self, now: Instant) {
        self.bucket.refill(self.bucket_capacity(), now);
        self.peaks.record_level(self.exact_total(), now);
    }

    /// The level that the bucket may reach beside the open leases.
    fn bucket_capacity(&self) -> ExactTokens {
        ExactTokens::from(self.quota.burst).saturating_sub(self.leased)
    }

    fn exact_total(&self) -> ExactTokens {
        self.bucket.level().saturating_add(self.leased)
    }
}
