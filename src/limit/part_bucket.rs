//! The holder of one part of a share.
//!
//! A holder leases its part's tokens in small batches. Its level and the leases that are still
//! open never exceed the part's burst together, so over any window the part gives out no more than
//! rate x window + burst, wherever its leases are spent. A lease is open until it expires or its
//! borrower says that it is over; the borrower counts its life from the sending of the ask and so
//! stops before the holder does. A new holder starts empty.
//!
//! Asks of one borrower are numbered without gaps. Ask n says that every lease up to n-2 is over,
//! and that of n-1 too where it returns what is left of them, if only nothing. An ask for no tokens
//! also ends all earlier leases; what it returns are unused tokens of settled requests. A repeat
//! gets the first answer again, and an older ask gets none.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::bucket::{Bucket, ExactTokens, Quota};
use super::rate_estimate::RateEstimate;
use super::recent_peaks::RecentPeaks;
use crate::ids::VmId;
use crate::schema::peer::{LeaseRefusal, LeaseRequest, LeaseResponse};
use crate::units::Tokens;

/// Greatest age of a reservation whose unused tokens are credited, in milliseconds.
pub const REFUND_AGE_MS: u64 = 10_000;

/// Part of a lease's life that its holder adds, against clocks that run at unequal speeds.
const DRIFT_DIVISOR: u32 = 32;

/// Part of a part's burst above which an ask is met in pieces.
const LARGE_DIVISOR: u64 = 2;

const UNMET_SPAN_MS: u64 = 1_000;

#[derive(Clone, Debug)]
struct Borrower {
    answer: LeaseResponse,
    open: Vec<(u64, Instant)>,
}

/// State of one part of a share at its holder.
#[derive(Clone, Debug)]
pub struct PartBucket {
    share: Quota,
    life: Duration,
    bucket: Bucket,
    peaks: RecentPeaks,
    unmet: RateEstimate,
    leased: ExactTokens,
    leases: BTreeMap<(Instant, VmId, u64), Tokens>,
    borrowers: BTreeMap<VmId, Borrower>,
}

impl PartBucket {
    /// A new holder of a part, which starts empty.
    pub fn open(share: Quota, life: Duration, now: Instant) -> Self {
        let span = Duration::from_millis(REFUND_AGE_MS) + life * 2;
        Self {
            share,
            life,
            bucket: Bucket::empty(share.rate, now),
            peaks: RecentPeaks::open(share.burst.into(), span, now),
            unmet: RateEstimate::open(Duration::from_millis(UNMET_SPAN_MS), now),
            leased: ExactTokens::ZERO,
            leases: BTreeMap::new(),
            borrowers: BTreeMap::new(),
        }
    }

    /// Changes the part's rate and burst from now on.
    pub fn resize(&mut self, share: Quota, now: Instant) {
        if self.share == share {
            return;
        }
        self.advance(now);
        self.share = share;
        self.bucket.set_rate(share.rate);
        self.bucket.refill(self.cap(), now);
    }

    /// Tokens on hand and on lease; never above the part's burst.
    pub fn total_tokens(&mut self, now: Instant) -> Tokens {
        self.advance(now);
        self.sum().floor()
    }

    /// Answers an ask; `None` where a newer one was answered before.
    pub fn grant_lease(
        &mut self,
        from: &VmId,
        ask: &LeaseRequest,
        now: Instant,
    ) -> Option<LeaseResponse> {
        self.advance(now);
        if let Some(borrower) = self.borrowers.get(from) {
            if ask.sequence < borrower.answer.sequence {
                return None;
            }
            if ask.sequence == borrower.answer.sequence {
                return Some(borrower.answer.clone());
            }
        }
        self.close(from, ask);
        if ask.tokens == Tokens::ZERO {
            self.refund(ask.returned.unwrap_or_default());
        }
        let answer = self.grant(ask, now);
        self.record(from, &answer, now);
        Some(answer)
    }

    /// Gives all that is asked for or nothing, so that tokens are not scattered in pieces too small
    /// to use; what is large beside the part comes in pieces.
    fn grant(&mut self, ask: &LeaseRequest, now: Instant) -> LeaseResponse {
        let enough = ask.tokens <= self.bucket.level().floor();
        let large = ask.tokens.0 > self.share.burst.0 / LARGE_DIVISOR;
        let tokens = if enough || large {
            self.bucket.take(ask.tokens)
        } else {
            Tokens::ZERO
        };
        let short = ask.tokens.saturating_sub(tokens);
        let wait = match short {
            Tokens::ZERO => Some(Duration::ZERO),
            _ => self.expected_wait(ask.tokens, now),
        };
        let empty = tokens == Tokens::ZERO && short > Tokens::ZERO;
        LeaseResponse {
            account: ask.account.clone(),
            epoch: ask.epoch,
            life: self.life.as_millis() as u64,
            part: ask.part,
            refusal: empty.then_some(LeaseRefusal::Empty),
            sequence: ask.sequence,
            tokens,
            wait: wait.map_or(u64::MAX, |span| span.as_millis() as u64),
        }
    }

    /// Time until `tokens` can be given, behind what others lately asked for in vain.
    fn expected_wait(&mut self, tokens: Tokens, now: Instant) -> Option<Duration> {
        let span = Duration::from_millis(UNMET_SPAN_MS);
        let before = self.unmet.per_second(now) * span.as_secs_f64();
        self.unmet.add(tokens.0 as f64, now);
        let wanted = tokens + Tokens(before as u64);
        self.bucket.fill_time(wanted - self.bucket.level().floor())
    }

    fn record(&mut self, from: &VmId, answer: &LeaseResponse, now: Instant) {
        let entry = self.borrowers.entry(from.clone());
        let borrower = entry.or_insert_with(|| Borrower {
            answer: answer.clone(),
            open: Vec::new(),
        });
        borrower.answer = answer.clone();
        if answer.tokens == Tokens::ZERO {
            return;
        }
        let expiry = now + self.life + self.life / DRIFT_DIVISOR;
        borrower.open.push((answer.sequence, expiry));
        let key = (expiry, from.clone(), answer.sequence);
        self.leases.insert(key, answer.tokens);
        self.leased = self.leased.saturating_add(answer.tokens.into());
    }

    /// Ends the leases that an ask says are over, and credits what it returns of them.
    fn close(&mut self, from: &VmId, ask: &LeaseRequest) {
        let Some(borrower) = self.borrowers.get_mut(from) else {
            return;
        };
        let all = ask.tokens == Tokens::ZERO || ask.returned.is_some();
        let last = ask.sequence.saturating_sub(if all { 1 } else { 2 });
        let over = |&mut (sequence, _): &mut (u64, Instant)| sequence <= last;
        let closed: Vec<_> = borrower.open.extract_if(.., over).collect();
        let mut freed = Tokens::ZERO;
        for (sequence, expiry) in closed {
            let key = (expiry, from.clone(), sequence);
            freed = freed + self.leases.remove(&key).unwrap_or_default();
        }
        self.leased = self.leased.saturating_sub(freed.into());
        if ask.tokens > Tokens::ZERO {
            let returned = ask.returned.unwrap_or_default().min(freed);
            self.bucket.credit(returned.into());
        }
    }

    /// Credits unused tokens of settled requests, as far as the recent peaks leave room.
    fn refund(&mut self, tokens: Tokens) {
        let room = ExactTokens::from(self.share.burst).saturating_sub(self.peaks.max_level());
        let credit = ExactTokens::from(tokens).min(room);
        self.bucket.credit(credit);
        self.peaks.raise_all(credit);
    }

    /// Refills and expires in order of time, so that no refill uses room that was freed later.
    fn advance(&mut self, now: Instant) {
        while let Some(entry) = self.leases.first_entry() {
            let expiry = entry.key().0;
            if expiry > now {
                break;
            }
            let ((_, vm, sequence), tokens) = entry.remove_entry();
            self.refill(expiry);
            self.leased = self.leased.saturating_sub(tokens.into());
            if let Some(borrower) = self.borrowers.get_mut(&vm) {
                borrower.open.retain(|&(open, _)| open != sequence);
            }
        }
        self.refill(now);
    }

    fn refill(&mut self, now: Instant) {
        self.bucket.refill(self.cap(), now);
        self.peaks.record_level(self.sum(), now);
    }

    fn cap(&self) -> ExactTokens {
        ExactTokens::from(self.share.burst).saturating_sub(self.leased)
    }

    fn sum(&self) -> ExactTokens {
        self.bucket.level().saturating_add(self.leased)
    }
}
