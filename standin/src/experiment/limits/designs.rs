//! The three designs: parts at holders, one owner for a time, an even split.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use basilgw::ids::{CallerId, ClientAccount, Epoch, Version, VmId};
use basilgw::limit::account::{
    AccountLimiter, AccountQuotas, Action, Admission, LimiterConfig, WaiterId,
};
use basilgw::limit::assignment::{Assignment, LocalVm, PartHolder, rank};
use basilgw::limit::lease_client::{LeaseClient, QueuedTokens};
use basilgw::limit::part_bucket::PartBucket;
use basilgw::limit::{Quota, StoreCall, StoreResult, VmSnapshot};
use basilgw::outcome::{Reason, Refusal};
use basilgw::schema::peer::{LeaseRequest, LeaseResponse};
use basilgw::units::Tokens;

/// Life of an ownership, and the pause between two renewals.
const OWNERSHIP: Duration = Duration::from_secs(3);
const RENEWAL: Duration = Duration::from_secs(1);
const STAGGER: Duration = Duration::from_millis(500);
const REREAD: Duration = Duration::from_millis(500);

/// One VM's side of a design.
pub trait Machine {
    /// Asks for tokens for a request.
    fn reserve(&mut self, tokens: Tokens, deadline: Instant, now: Instant) -> Admission;

    /// Answers another VM's ask.
    fn ask(&mut self, from: &VmId, ask: &LeaseRequest, now: Instant) -> Option<LeaseResponse>;

    /// Takes another VM's answer in.
    fn answer(&mut self, from: &VmId, answer: &LeaseResponse, now: Instant);

    /// Takes the end of a store call in.
    fn stored(&mut self, result: StoreResult, view: &VmSnapshot, now: Instant);

    /// Decides what is to be done now.
    fn pump(&mut self, view: &VmSnapshot, now: Instant, actions: &mut Vec<Action>);

    /// When to be called again at the latest.
    fn wake(&self, now: Instant) -> Option<Instant>;
}

/// What every design is opened with.
#[derive(Clone, Debug)]
pub struct Opening {
    /// The VM.
    pub local: LocalVm,
    /// The account's share.
    pub share: Quota,
    /// Times.
    pub tuning: LimiterConfig,
}

fn account() -> ClientAccount {
    "club".parse().expect("a valid name")
}

/// The product: parts at a few holders.
pub struct Parts {
    account: AccountLimiter,
    caller: CallerId,
}

impl Parts {
    /// A VM of this design.
    pub fn open(opening: Opening, now: Instant) -> Self {
        let shares = AccountQuotas {
            account: opening.share,
            ..AccountQuotas::default()
        };
        Self {
            account: AccountLimiter::open(account(), opening.local, shares, opening.tuning, now),
            caller: "c".parse().expect("a valid name"),
        }
    }
}

impl Machine for Parts {
    fn reserve(&mut self, tokens: Tokens, deadline: Instant, now: Instant) -> Admission {
        self.account.reserve(&self.caller, tokens, deadline, now)
    }

    fn ask(&mut self, from: &VmId, ask: &LeaseRequest, now: Instant) -> Option<LeaseResponse> {
        self.account.on_request(from, ask, now)
    }

    fn answer(&mut self, from: &VmId, answer: &LeaseResponse, now: Instant) {
        self.account.on_response(from, answer, now);
    }

    fn stored(&mut self, result: StoreResult, view: &VmSnapshot, now: Instant) {
        self.account.on_store_result(result, view, now);
    }

    fn pump(&mut self, view: &VmSnapshot, now: Instant, actions: &mut Vec<Action>) {
        self.account.poll(view, now, actions);
    }

    fn wake(&self, now: Instant) -> Option<Instant> {
        self.account.next_wake(now)
    }
}

/// Requests that wait, in order.
#[derive(Debug, Default)]
struct Queue {
    waiting: VecDeque<(WaiterId, Tokens, Instant)>,
    tickets: u64,
}

impl Queue {
    fn push(&mut self, tokens: Tokens, deadline: Instant) -> Admission {
        self.tickets += 1;
        let ticket = WaiterId(self.tickets);
        self.waiting.push_back((ticket, tokens, deadline));
        Admission::Waiting(ticket)
    }

    fn queued(&self) -> QueuedTokens {
        let tokens = |&(_, tokens, _): &(_, Tokens, _)| tokens;
        QueuedTokens {
            first: self.waiting.front().map(tokens).unwrap_or_default(),
            total: self.waiting.iter().map(tokens).sum(),
        }
    }

    fn serve<F>(&mut self, now: Instant, mut spend: F, actions: &mut Vec<Action>)
    where
        F: FnMut(Tokens) -> bool,
    {
        while let Some(&(ticket, tokens, deadline)) = self.waiting.front() {
            let served = spend(tokens);
            if !served && now < deadline {
                return;
            }
            self.waiting.pop_front();
            let refusal = Refusal::not_run(Reason::OverRate);
            let result = if served { Ok(()) } else { Err(refusal) };
            actions.push(Action::Resolve(ticket, result));
        }
    }

    fn wake(&self) -> Option<Instant> {
        self.waiting.iter().map(|&(_, _, deadline)| deadline).min()
    }
}

/// An even split of rate and burst over the VMs.
pub struct Even {
    share: Quota,
    bucket: PartBucket,
    sequence: u64,
    local: LocalVm,
    queue: Queue,
}

impl Even {
    /// A VM of this design, out of `vms`.
    pub fn open(opening: &Opening, vms: usize, now: Instant) -> Self {
        let share = opening.share.part(vms);
        Self {
            share,
            bucket: PartBucket::open(share, Duration::ZERO, now),
            sequence: 0,
            local: opening.local.clone(),
            queue: Queue::default(),
        }
    }

    /// Takes from the VM's own bucket; the holder serves as a plain one, with leases of no life.
    fn spend(&mut self, tokens: Tokens, now: Instant) -> bool {
        if self.bucket.total_tokens(now) < tokens {
            return false;
        }
        self.sequence += 1;
        let ask = LeaseRequest {
            account: account(),
            epoch: Epoch(1),
            part: 0,
            returned: None,
            sequence: self.sequence,
            tokens,
        };
        let answer = self.bucket.grant_lease(&self.local.vm, &ask, now);
        answer.is_some_and(|answer| answer.tokens == tokens)
    }
}

impl Machine for Even {
    fn reserve(&mut self, tokens: Tokens, deadline: Instant, now: Instant) -> Admission {
        if tokens > self.share.burst {
            return Admission::Refused(Refusal::not_run(Reason::OverRate));
        }
        if self.queue.waiting.is_empty() && self.spend(tokens, now) {
            return Admission::Granted;
        }
        self.queue.push(tokens, deadline)
    }

    fn ask(&mut self, _: &VmId, _: &LeaseRequest, _: Instant) -> Option<LeaseResponse> {
        None
    }

    fn answer(&mut self, _: &VmId, _: &LeaseResponse, _: Instant) {}

    fn stored(&mut self, _: StoreResult, _: &VmSnapshot, _: Instant) {}

    fn pump(&mut self, _: &VmSnapshot, now: Instant, actions: &mut Vec<Action>) {
        let mut queue = std::mem::take(&mut self.queue);
        queue.serve(now, |tokens| self.spend(tokens, now), actions);
        self.queue = queue;
    }

    fn wake(&self, now: Instant) -> Option<Instant> {
        let poll = now + Duration::from_millis(20);
        self.queue.wake().map(|deadline| deadline.min(poll))
    }
}

/// What the last store call of an [`Owner`] showed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Seen {
    Fresh,
    Missing,
    Stale,
}

/// One owner of the whole share, whose ownership ends unless it is renewed at the store.
pub struct Owner {
    local: LocalVm,
    share: Quota,
    tuning: LimiterConfig,
    spender: LeaseClient,
    holder: Option<(Epoch, PartBucket)>,
    /// The record, and since when its version is known.
    known: Option<(Version, Assignment, Instant)>,
    seen: Seen,
    until: Instant,
    call: Option<(StoreCall, Instant)>,
    next: Instant,
    queue: Queue,
}

impl Owner {
    /// A VM of this design.
    pub fn open(opening: Opening, now: Instant) -> Self {
        let Opening {
            local,
            share,
            tuning,
        } = opening;
        Self {
            spender: LeaseClient::open(account(), local.clone(), share, tuning.leases, now),
            local,
            share,
            tuning,
            holder: None,
            known: None,
            seen: Seen::Fresh,
            until: now,
            call: None,
            next: now,
            queue: Queue::default(),
        }
    }

    fn owns(&self) -> bool {
        let own = |(_, holding, _): &(_, Assignment, _)| holding.parts[0].vm == self.local.vm;
        self.known.as_ref().is_some_and(own)
    }

    fn next_call(&self, now: Instant) -> StoreCall {
        let Some((version, holding, since)) = &self.known else {
            return match self.seen {
                Seen::Missing => StoreCall::Write(Version(0), self.create()),
                _ => StoreCall::Read,
            };
        };
        if self.seen == Seen::Stale {
            return StoreCall::Read;
        }
        let mut next = holding.clone();
        if self.owns() {
            if self.until <= now {
                next.parts[0].epoch = next.parts[0].epoch.next();
            }
            return StoreCall::Write(*version, next);
        }
        let lapsed = *since + OWNERSHIP + OWNERSHIP / 32;
        if now < lapsed {
            return StoreCall::Read;
        }
        next.parts[0] = PartHolder {
            vm: self.local.vm.clone(),
            generation: self.local.generation,
            epoch: holding.parts[0].epoch.next(),
        };
        StoreCall::Write(*version, next)
    }

    fn adopt(&mut self, version: Version, holding: Assignment, now: Instant) {
        let newer = |(known, _, _): &(Version, _, _)| *known < version;
        if !self.known.as_ref().is_none_or(newer) {
            return;
        }
        self.spender
            .set_assignment(&holding, &VmSnapshot::default(), now);
        self.known = Some((version, holding, now));
    }

    fn create(&self) -> Assignment {
        let part = PartHolder {
            vm: self.local.vm.clone(),
            generation: self.local.generation,
            epoch: Epoch(1),
        };
        Assignment { parts: vec![part] }
    }

    fn written(&mut self, sent: Instant, now: Instant) {
        self.until = sent + OWNERSHIP;
        self.next = now + RENEWAL;
        let epoch = self
            .known
            .as_ref()
            .map_or(Epoch(1), |(_, holding, _)| holding.parts[0].epoch);
        if self.holder.as_ref().is_none_or(|(held, _)| *held != epoch) {
            let life = self.tuning.leases.life;
            self.holder = Some((epoch, PartBucket::open(self.share, life, now)));
        }
    }
}

impl Machine for Owner {
    fn reserve(&mut self, tokens: Tokens, deadline: Instant, now: Instant) -> Admission {
        self.spender.record_demand(tokens, now);
        if self.queue.waiting.is_empty() && self.spender.spend(tokens, now) {
            return Admission::Granted;
        }
        self.queue.push(tokens, deadline)
    }

    fn ask(&mut self, from: &VmId, ask: &LeaseRequest, now: Instant) -> Option<LeaseResponse> {
        let valid = self.owns() && now < self.until;
        let holder = self
            .holder
            .as_mut()
            .filter(|(epoch, _)| valid && *epoch == ask.epoch);
        holder.and_then(|(_, holder)| holder.grant_lease(from, ask, now))
    }

    fn answer(&mut self, from: &VmId, answer: &LeaseResponse, now: Instant) {
        self.spender.on_response(from, answer, now);
    }

    fn stored(&mut self, result: StoreResult, _: &VmSnapshot, now: Instant) {
        let Some((call, sent)) = self.call.take() else {
            return;
        };
        self.next = now + REREAD;
        match (result, call) {
            (StoreResult::Read(Some((version, holding))), _) => {
                self.seen = Seen::Fresh;
                self.adopt(version, holding, now);
            }
            (StoreResult::Read(None), _) => {
                let first = rank(&account(), 0, &self.local.vm) % 100;
                self.next = now + STAGGER * first as u32 / 100;
                self.seen = Seen::Missing;
            }
            (StoreResult::Written(version), StoreCall::Write(_, holding)) => {
                self.adopt(version, holding, now);
                self.written(sent, now);
            }
            (StoreResult::Conflict, _) => {
                self.seen = Seen::Stale;
                self.next = now;
            }
            _ => self.seen = Seen::Stale,
        }
    }

    fn pump(&mut self, _: &VmSnapshot, now: Instant, actions: &mut Vec<Action>) {
        if self.call.is_none() {
            let doubt = self.known.is_none() || self.owns() || self.spender.has_silent_holder();
            if doubt && now >= self.next {
                let call = self.next_call(now);
                self.call = Some((call.clone(), now));
                actions.push(Action::Store(call));
            }
        }
        for _ in 0..3 {
            let spender = &mut self.spender;
            self.queue
                .serve(now, |tokens| spender.spend(tokens, now), actions);
            let queued = self.queue.queued();
            let mut answered = false;
            for sending in self.spender.take_requests(queued, now) {
                if sending.to != self.local.vm {
                    actions.push(Action::Send(sending));
                    continue;
                }
                let from = self.local.vm.clone();
                if let Some(answer) = self.ask(&from, &sending.request, now) {
                    self.spender.on_response(&from, &answer, now);
                    answered = true;
                }
            }
            if !answered {
                return;
            }
        }
    }

    fn wake(&self, now: Instant) -> Option<Instant> {
        let wakes = [self.queue.wake(), self.spender.next_wake(now)];
        let next = self.call.is_none().then_some(self.next);
        wakes.into_iter().flatten().chain(next).min()
    }
}
