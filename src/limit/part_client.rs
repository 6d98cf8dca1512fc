//! A borrower's side of one part of a quota: its leases and the request in flight.

use std::time::{Duration, Instant};

use crate::ids::{ClientAccount, Epoch, VmId};
use crate::schema::peer::{LeaseRequest, LeaseResponse};
use crate::units::Tokens;

/// Time after which an unanswered request is sent again, in milliseconds; doubles each time.
const FIRST_RESEND_MS: u64 = 200;
/// Shortest pause before the next request after a shortage, in milliseconds.
const MIN_RETRY_MS: u64 = 100;
/// Longest pause before the next request after a shortage, in milliseconds.
const MAX_RETRY_MS: u64 = 500;
/// Age after which a shortage no longer counts, in milliseconds.
const SHORTAGE_AGE_MS: u64 = 1_000;

/// Tokens that may be spent until the lease expires.
#[derive(Clone, Debug)]
struct Lease {
    /// The part's epoch when the lease was granted.
    epoch: Epoch,
    /// Number of the request that was granted.
    sequence: u64,
    unspent: Tokens,
    expires: Instant,
}

/// A lease request that has had no response yet.
#[derive(Clone, Debug)]
struct Pending {
    request: LeaseRequest,
    /// When it was first sent; the life of the lease counts from here.
    sent_at: Instant,
    /// When it must be sent, for the first time or again.
    resend_at: Instant,
    resend_delay: Duration,
}

/// A response that granted less than was requested.
#[derive(Clone, Copy, Debug)]
struct Shortage {
    /// When the response arrived.
    at: Instant,
    /// When the holder expects to have the missing tokens.
    until: Instant,
}

/// Requests and leases of one part of a quota.
#[derive(Clone, Debug)]
pub(super) struct PartClient {
    /// The VM that holds the part.
    pub(super) vm: VmId,
    /// Epoch under which the VM holds the part.
    pub(super) epoch: Epoch,
    /// Parts with lower values are preferred: first by distance of the holder, then by its hash.
    pub(super) preference: (u8, u64),
    /// Whether the holder did not respond before a request was sent again or given up.
    pub(super) silent: bool,
    shortage: Option<Shortage>,
    /// Index of the part in the quota.
    index: u32,
    /// Number of the last request.
    sequence: u64,
    pending: Option<Pending>,
    leases: Vec<Lease>,
    /// When the next request may be sent, after a shortage.
    ready_at: Instant,
    /// When leased tokens were last received or spent.
    last_used: Instant,
}

impl PartClient {
    /// A client without leases; its first request has the number after `sequence`.
    pub(super) fn open(index: u32, vm: VmId, epoch: Epoch, sequence: u64, now: Instant) -> Self {
        Self {
            vm,
            epoch,
            preference: (u8::MAX, 0),
            silent: false,
            shortage: None,
            index,
            sequence,
            pending: None,
            leases: Vec::new(),
            ready_at: now,
            last_used: now,
        }
    }

    /// Switches to a new holder; leases from the old one may still be spent.
    pub(super) fn set_holder(&mut self, vm: VmId, epoch: Epoch, now: Instant) {
        if self.epoch == epoch {
            return;
        }
        self.vm = vm;
        self.epoch = epoch;
        self.silent = false;
        self.shortage = None;
        self.pending = None;
        self.ready_at = now;
    }

    /// When the part is expected to grant more, if it recently granted less than was requested.
    pub(super) fn shortage_end(&self, now: Instant) -> Option<Instant> {
        let is_recent = |shortage: &Shortage| {
            let age = now.saturating_duration_since(shortage.at);
            age <= Duration::from_millis(SHORTAGE_AGE_MS)
        };
        self.shortage
            .filter(is_recent)
            .map(|shortage| shortage.until)
    }

    /// Tokens left in leases that have not expired.
    pub(super) fn unspent(&self, now: Instant) -> Tokens {
        let unexpired = self.leases.iter().filter(|lease| lease.expires > now);
        unexpired.map(|lease| lease.unspent).sum()
    }

    /// Tokens of the request in flight; none if the holder is silent.
    pub(super) fn expected(&self) -> Tokens {
        let pending = self.pending.iter().filter(|_| !self.silent);
        pending.map(|pending| pending.request.tokens).sum()
    }

    /// Whether no request is in flight and no pause after a shortage lasts.
    pub(super) fn can_request(&self, now: Instant) -> bool {
        self.pending.is_none() && self.ready_at <= now
    }

    /// Whether there are unexpired leases and none was used for `idle`.
    pub(super) fn is_idle(&self, idle: Duration, now: Instant) -> bool {
        let open = self.leases.iter().any(|lease| lease.expires > now);
        open && now.saturating_duration_since(self.last_used) >= idle
    }

    /// When the first of the leases with tokens left expires.
    pub(super) fn earliest_expiry(&self, now: Instant) -> Option<Instant> {
        let leases = self.leases.iter();
        let spendable = leases.filter(|lease| lease.expires > now && lease.unspent > Tokens::ZERO);
        spendable.map(|lease| lease.expires).min()
    }

    /// Spends up to `tokens`, from the leases that expire first, and returns how many it spent.
    pub(super) fn spend(&mut self, tokens: Tokens, now: Instant) -> Tokens {
        self.leases.retain(|lease| lease.expires > now);
        self.leases.sort_by_key(|lease| lease.expires);
        let mut spent = Tokens::ZERO;
        for lease in &mut self.leases {
            let taken = lease.unspent.min(tokens - spent);
            lease.unspent = lease.unspent - taken;
            spent = spent + taken;
        }
        if spent > Tokens::ZERO {
            self.last_used = now;
        }
        spent
    }

    /// Requests tokens and keeps only the last lease.
    pub(super) fn request_more(&mut self, account: &ClientAccount, tokens: Tokens, now: Instant) {
        self.end_leases(self.sequence.saturating_sub(1), now);
        self.start_request(account, tokens, None, now);
    }

    /// Requests tokens, ends all leases and gives back the tokens left in them.
    pub(super) fn renew(&mut self, account: &ClientAccount, tokens: Tokens, now: Instant) {
        let left = self.end_leases(self.sequence, now);
        self.start_request(account, tokens, Some(left), now);
    }

    /// Ends all leases and gives back `unused` tokens of settled requests.
    pub(super) fn refund(&mut self, account: &ClientAccount, unused: Tokens, now: Instant) {
        self.end_leases(self.sequence, now);
        self.start_request(account, Tokens::ZERO, Some(unused), now);
    }

    /// Ends the present holder's leases up to number `last`; returns the tokens left in them.
    fn end_leases(&mut self, last: u64, now: Instant) -> Tokens {
        let epoch = self.epoch;
        let is_over = |lease: &mut Lease| lease.epoch == epoch && lease.sequence <= last;
        let ended = self.leases.extract_if(.., is_over);
        let unexpired = ended.filter(|lease| lease.expires > now);
        unexpired.map(|lease| lease.unspent).sum()
    }

    fn start_request(
        &mut self,
        account: &ClientAccount,
        tokens: Tokens,
        returned: Option<Tokens>,
        now: Instant,
    ) {
        self.sequence += 1;
        let request = LeaseRequest {
            account: account.clone(),
            epoch: self.epoch,
            part: self.index,
            returned,
            sequence: self.sequence,
            tokens,
        };
        self.pending = Some(Pending {
            request,
            sent_at: now,
            resend_at: now,
            resend_delay: Duration::from_millis(FIRST_RESEND_MS),
        });
    }

    /// The request to send now, for the first time or again. A request without a response for the
    /// life of a lease is given up, and all earlier leases end with it.
    pub(super) fn take_due_request(
        &mut self,
        life: Duration,
        now: Instant,
    ) -> Option<LeaseRequest> {
        let pending = self.pending.as_mut()?;
        if now >= pending.sent_at + life {
            self.pending = None;
            self.silent = true;
            self.end_leases(self.sequence, now);
            return None;
        }
        if now < pending.resend_at {
            return None;
        }
        if pending.resend_at > pending.sent_at {
            self.silent = true;
            pending.resend_delay *= 2;
        }
        pending.resend_at = now + pending.resend_delay;
        Some(pending.request.clone())
    }

    /// Handles a holder's response; `false` if it does not belong to the request in flight.
    pub(super) fn on_response(&mut self, response: &LeaseResponse, now: Instant) -> bool {
        let answers_request = |pending: &Pending| pending.request.sequence == response.sequence;
        if response.epoch != self.epoch || !self.pending.as_ref().is_some_and(answers_request) {
            return false;
        }
        let Some(pending) = self.pending.take() else {
            return false;
        };
        self.silent = false;
        self.update_shortage(response, pending.request.tokens, now);
        if response.tokens > Tokens::ZERO {
            self.last_used = now;
            self.leases.push(Lease {
                epoch: self.epoch,
                sequence: response.sequence,
                unspent: response.tokens,
                expires: pending.sent_at + Duration::from_millis(response.life),
            });
        }
        true
    }

    /// Records whether the response granted less than `requested` and when the next request may be
    /// sent.
    fn update_shortage(&mut self, response: &LeaseResponse, requested: Tokens, now: Instant) {
        if requested == Tokens::ZERO {
            return;
        }
        if response.tokens >= requested {
            self.shortage = None;
            self.ready_at = now;
            return;
        }
        let wait = Duration::from_millis(response.wait.min(u64::from(u32::MAX)));
        self.shortage = Some(Shortage {
            at: now,
            until: now + wait,
        });
        let delay = response.wait.clamp(MIN_RETRY_MS, MAX_RETRY_MS);
        self.ready_at = now + Duration::from_millis(delay);
    }

    /// When a request must next be sent again or may be sent after a shortage.
    pub(super) fn next_wake(&self, now: Instant) -> Option<Instant> {
        let resend_at = self.pending.as_ref().map(|pending| pending.resend_at);
        resend_at.or((self.ready_at > now).then_some(self.ready_at))
    }
}
