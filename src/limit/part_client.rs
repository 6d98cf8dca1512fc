//! A borrower's side of one part: its leases, and the ask under way.

use std::time::{Duration, Instant};

use crate::ids::{ClientAccount, Epoch, VmId};
use crate::schema::peer::{LeaseRequest, LeaseResponse};
use crate::units::Tokens;

const FIRST_RESEND_MS: u64 = 200;
const LEAST_PAUSE_MS: u64 = 100;
const MOST_PAUSE_MS: u64 = 500;
const SHORT_AGE_MS: u64 = 1_000;

/// Tokens that may be spent until they expire.
#[derive(Clone, Debug)]
struct Lease {
    epoch: Epoch,
    sequence: u64,
    left: Tokens,
    expires: Instant,
}

/// An ask that was not answered yet.
#[derive(Clone, Debug)]
struct Pending {
    ask: LeaseRequest,
    first: Instant,
    resend: Instant,
    pause: Duration,
}

/// An answer that fell short.
#[derive(Clone, Copy, Debug)]
struct Shortage {
    at: Instant,
    /// When the part was to have the rest.
    until: Instant,
}

/// What is known of one part of a share.
#[derive(Clone, Debug)]
pub(super) struct PartClient {
    pub(super) vm: VmId,
    pub(super) epoch: Epoch,
    /// Order of preference; the lowest is asked first.
    pub(super) order: (u8, u64),
    /// Whether the holder has not answered in time.
    pub(super) silent: bool,
    short: Option<Shortage>,
    index: u32,
    sequence: u64,
    pending: Option<Pending>,
    leases: Vec<Lease>,
    ready: Instant,
    used: Instant,
}

impl PartClient {
    pub(super) fn open(index: u32, vm: VmId, epoch: Epoch, sequence: u64, now: Instant) -> Self {
        Self {
            vm,
            epoch,
            order: (u8::MAX, 0),
            silent: false,
            short: None,
            index,
            sequence,
            pending: None,
            leases: Vec::new(),
            ready: now,
            used: now,
        }
    }

    /// Turns to a new holder; leases of the old one may still be spent.
    pub(super) fn follow(&mut self, vm: VmId, epoch: Epoch, now: Instant) {
        if self.epoch == epoch {
            return;
        }
        self.vm = vm;
        self.epoch = epoch;
        self.silent = false;
        self.short = None;
        self.pending = None;
        self.ready = now;
    }

    /// When the part is to give more, where it lately fell short.
    pub(super) fn short_until(&self, now: Instant) -> Option<Instant> {
        let recent = |short: &Shortage| {
            let age = now.saturating_duration_since(short.at);
            age <= Duration::from_millis(SHORT_AGE_MS)
        };
        self.short.filter(recent).map(|short| short.until)
    }

    /// Tokens of leases that have not expired.
    pub(super) fn left(&self, now: Instant) -> Tokens {
        let live = self.leases.iter().filter(|lease| lease.expires > now);
        live.map(|lease| lease.left).sum()
    }

    /// Tokens asked for and likely to come.
    pub(super) fn coming(&self) -> Tokens {
        let pending = self.pending.iter().filter(|_| !self.silent);
        pending.map(|pending| pending.ask.tokens).sum()
    }

    pub(super) fn is_ready(&self, now: Instant) -> bool {
        self.pending.is_none() && self.ready <= now
    }

    /// Whether leases are open that were not used for `idle`.
    pub(super) fn is_idle(&self, idle: Duration, now: Instant) -> bool {
        let open = self.leases.iter().any(|lease| lease.expires > now);
        open && now.saturating_duration_since(self.used) >= idle
    }

    /// When the earliest of its leases with tokens left expires.
    pub(super) fn expiry(&self, now: Instant) -> Option<Instant> {
        let live = self.leases.iter();
        let useful = live.filter(|lease| lease.expires > now && lease.left > Tokens::ZERO);
        useful.map(|lease| lease.expires).min()
    }

    /// Spends up to `tokens`, those that expire first first.
    pub(super) fn spend(&mut self, tokens: Tokens, now: Instant) -> Tokens {
        self.leases.retain(|lease| lease.expires > now);
        self.leases.sort_by_key(|lease| lease.expires);
        let mut spent = Tokens::ZERO;
        for lease in &mut self.leases {
            let part = lease.left.min(tokens - spent);
            lease.left = lease.left - part;
            spent = spent + part;
        }
        if spent > Tokens::ZERO {
            self.used = now;
        }
        spent
    }

    /// Asks for tokens and keeps the last lease.
    pub(super) fn ask(&mut self, account: &ClientAccount, tokens: Tokens, now: Instant) {
        self.give_up(self.sequence.saturating_sub(1), now);
        self.send(account, tokens, None, now);
    }

    /// Asks for tokens and gives back all leases, if any are left.
    pub(super) fn renew(&mut self, account: &ClientAccount, tokens: Tokens, now: Instant) {
        let left = self.give_up(self.sequence, now);
        self.send(account, tokens, Some(left), now);
    }

    /// Ends all leases, and returns unused tokens of settled requests.
    pub(super) fn refund(&mut self, account: &ClientAccount, unused: Tokens, now: Instant) {
        self.give_up(self.sequence, now);
        self.send(account, Tokens::ZERO, Some(unused), now);
    }

    fn give_up(&mut self, last: u64, now: Instant) -> Tokens {
        let epoch = self.epoch;
        let over = |lease: &mut Lease| lease.epoch == epoch && lease.sequence <= last;
        let gone = self.leases.extract_if(.., over);
        let live = gone.filter(|lease| lease.expires > now);
        live.map(|lease| lease.left).sum()
    }

    fn send(
        &mut self,
        account: &ClientAccount,
        tokens: Tokens,
        returned: Option<Tokens>,
        now: Instant,
    ) {
        self.sequence += 1;
        let ask = LeaseRequest {
            account: account.clone(),
            epoch: self.epoch,
            part: self.index,
            returned,
            sequence: self.sequence,
            tokens,
        };
        self.pending = Some(Pending {
            ask,
            first: now,
            resend: now,
            pause: Duration::from_millis(FIRST_RESEND_MS),
        });
    }

    /// The ask to send now, for the first time or again. An ask that went unanswered for the
    /// life of a lease is given up, and with it every lease before it.
    pub(super) fn due(&mut self, life: Duration, now: Instant) -> Option<LeaseRequest> {
        let pending = self.pending.as_mut()?;
        if now >= pending.first + life {
            self.pending = None;
            self.silent = true;
            self.give_up(self.sequence, now);
            return None;
        }
        if now < pending.resend {
            return None;
        }
        if pending.resend > pending.first {
            self.silent = true;
            pending.pause *= 2;
        }
        pending.resend = now + pending.pause;
        Some(pending.ask.clone())
    }

    /// Takes an answer in; `false` where it answers nothing that is under way.
    pub(super) fn answer(&mut self, answer: &LeaseResponse, now: Instant) -> bool {
        let waited = |pending: &Pending| pending.ask.sequence == answer.sequence;
        if answer.epoch != self.epoch || !self.pending.as_ref().is_some_and(waited) {
            return false;
        }
        let Some(pending) = self.pending.take() else {
            return false;
        };
        self.silent = false;
        self.note_wait(answer, pending.ask.tokens, now);
        if answer.tokens > Tokens::ZERO {
            self.used = now;
            self.leases.push(Lease {
                epoch: self.epoch,
                sequence: answer.sequence,
                left: answer.tokens,
                expires: pending.first + Duration::from_millis(answer.life),
            });
        }
        true
    }

    fn note_wait(&mut self, answer: &LeaseResponse, asked: Tokens, now: Instant) {
        if asked == Tokens::ZERO {
            return;
        }
        if answer.tokens >= asked {
            self.short = None;
            self.ready = now;
            return;
        }
        let wait = Duration::from_millis(answer.wait.min(u64::from(u32::MAX)));
        self.short = Some(Shortage {
            at: now,
            until: now + wait,
        });
        let pause = answer.wait.clamp(LEAST_PAUSE_MS, MOST_PAUSE_MS);
        self.ready = now + Duration::from_millis(pause);
    }

    /// When this link next has something to do by itself.
    pub(super) fn next_wake(&self, now: Instant) -> Option<Instant> {
        let resend = self.pending.as_ref().map(|pending| pending.resend);
        resend.or((self.ready > now).then_some(self.ready))
    }
}
