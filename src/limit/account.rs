//! One account at one VM: the whole decision, without I/O.
//!
//! Joins the record of holders, the parts that this VM holds, its spenders (one for the account's
//! share and one for each caller with a share of its own) and the requests that wait for tokens.
//! A caller's share is held by the same holders, in as many parts, under a name of its own.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::{Duration, Instant};

use super::assignment::{Assignment, LocalVm};
use super::assignment_sync::{AssignmentSync, StoreCall, StoreResult, StoreTimes};
use super::bucket::Quota;
use super::lease_client::{LeaseTimes, OutgoingRequest, QueuedTokens};
use super::quota_state::QuotaState;
use super::vms::VmSnapshot;
use crate::ids::{CallerId, ClientAccount, Epoch, VmId};
use crate::outcome::{Reason, Refusal};
use crate::schema::peer::{LeaseRefusal, LeaseRequest, LeaseResponse};
use crate::units::Tokens;

/// Rounds in which asks to this VM itself are answered at once.
const LOCAL_ROUNDS: usize = 4;

/// An account's share and those of its callers that have one.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AccountQuotas {
    /// The account's.
    pub account: Quota,
    /// Its callers', by caller.
    pub callers: BTreeMap<CallerId, Quota>,
}

/// Settings of an account's machine.
#[derive(Clone, Copy, Debug)]
pub struct LimiterConfig {
    /// Times of leases.
    pub leases: LeaseTimes,
    /// Bounds on the use of the store.
    pub store: StoreTimes,
    /// Parts a share is held in.
    pub max_parts: u32,
}

/// Names a waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct WaiterId(pub u64);

/// Something for the shell to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an ask.
    Send(OutgoingRequest),
    /// Call the store, then say how it ended.
    Store(StoreCall),
    /// Answer a waiting request.
    Resolve(WaiterId, Result<(), Refusal>),
}

/// What became of a request for tokens.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Its tokens are spent for it.
    Granted,
    /// It waits; an [`Action::Resolve`] follows.
    Waiting(WaiterId),
    /// It does not run.
    Refused(Refusal),
}

#[derive(Clone, Debug)]
struct Waiting {
    ticket: WaiterId,
    caller: CallerId,
    tokens: Tokens,
    deadline: Instant,
}

/// State of one account at one VM.
#[derive(Clone, Debug)]
pub struct Account {
    local: LocalVm,
    shares: AccountQuotas,
    tuning: LimiterConfig,
    record: AssignmentSync,
    whole: QuotaState,
    callers: BTreeMap<CallerId, QuotaState>,
    /// Pools of callers that lost their own share; kept, as the numbers of their asks go on.
    parked: BTreeMap<CallerId, QuotaState>,
    /// Parts that this VM tried to hand over, with their epochs; never granted from again, as the
    /// write may have taken effect.
    given_up: BTreeSet<(usize, Epoch)>,
    queue: VecDeque<Waiting>,
    tickets: u64,
}

impl Account {
    /// An account that knows its shares but not yet its holders.
    pub fn open(
        name: ClientAccount,
        local: LocalVm,
        shares: AccountQuotas,
        tuning: LimiterConfig,
        now: Instant,
    ) -> Self {
        let record = AssignmentSync::open(name.clone(), local.clone(), tuning.store, now);
        let whole = QuotaState::open(name, &local, shares.account, tuning, now);
        let mut account = Self {
            local,
            shares: AccountQuotas::default(),
            tuning,
            record,
            whole,
            callers: BTreeMap::new(),
            parked: BTreeMap::new(),
            given_up: BTreeSet::new(),
            queue: VecDeque::new(),
            tickets: 0,
        };
        account.configure(shares, &VmSnapshot::default(), now);
        account
    }

    /// Changes the shares.
    pub fn configure(&mut self, shares: AccountQuotas, view: &VmSnapshot, now: Instant) {
        self.whole.set_quota(shares.account, self.parts(), now);
        let parts = self.parts();
        let gone = |caller: &CallerId, _: &mut QuotaState| !shares.callers.contains_key(caller);
        for (caller, mut pool) in self.callers.extract_if(.., gone) {
            pool.set_quota(Quota::default(), parts, now);
            self.parked.insert(caller, pool);
        }
        for (caller, share) in &shares.callers {
            let pool = self.callers.entry(caller.clone()).or_insert_with(|| {
                let name = caller_share(&self.whole.name, caller);
                let parked = self.parked.remove(caller);
                parked.unwrap_or_else(|| {
                    QuotaState::open(name, &self.local, *share, self.tuning, now)
                })
            });
            pool.set_quota(*share, parts, now);
        }
        self.shares = shares;
        self.follow(view, now);
    }

    /// Asks for tokens for a request.
    pub fn reserve(
        &mut self,
        caller: &CallerId,
        tokens: Tokens,
        deadline: Instant,
        now: Instant,
    ) -> Admission {
        let own = self.callers.get(caller).map(|pool| pool.share.burst);
        if tokens > self.shares.account.burst || own.is_some_and(|burst| tokens > burst) {
            return Admission::Refused(Refusal::not_run(Reason::OverRate));
        }
        self.whole.spender.record_demand(tokens, now);
        if let Some(pool) = self.callers.get_mut(caller) {
            pool.spender.record_demand(tokens, now);
        }
        let first = !self.queue.iter().any(|waiting| waiting.caller == *caller);
        if first && self.queue.is_empty() && self.spend(caller, tokens, now) {
            return Admission::Granted;
        }
        self.tickets += 1;
        let ticket = WaiterId(self.tickets);
        self.queue.push_back(Waiting {
            ticket,
            caller: caller.clone(),
            tokens,
            deadline,
        });
        Admission::Waiting(ticket)
    }

    /// Forgets a waiting request that its caller gave up on.
    pub fn cancel(&mut self, ticket: WaiterId) {
        self.queue.retain(|waiting| waiting.ticket != ticket);
    }

    /// Charges the real use of a request that reserved `reserved` at the time `at`.
    pub fn settle(
        &mut self,
        caller: &CallerId,
        reserved: Tokens,
        used: Tokens,
        at: Instant,
        now: Instant,
    ) {
        self.whole.spender.settle(reserved, used, at, now);
        if let Some(pool) = self.callers.get_mut(caller) {
            pool.spender.settle(reserved, used, at, now);
        }
    }

    /// Answers an ask of another VM.
    pub fn on_request(
        &mut self,
        from: &VmId,
        ask: &LeaseRequest,
        now: Instant,
    ) -> Option<LeaseResponse> {
        let index = ask.part as usize;
        let known = self
            .record
            .holding()
            .and_then(|holding| holding.parts.get(index));
        let newer = known.is_none_or(|part| ask.epoch > part.epoch);
        let pool = self.pool_mut(&ask.account);
        let part = pool.and_then(|pool| pool.parts.get_mut(&index));
        let held = part.filter(|(epoch, _)| *epoch == ask.epoch);
        if let Some((_, holder)) = held {
            return holder.grant_lease(from, ask, now);
        }
        if newer {
            self.record.doubt(now);
            return Some(refuse(ask, LeaseRefusal::Unknown));
        }
        Some(refuse(ask, LeaseRefusal::Moved))
    }

    /// Takes an answer of a holder in.
    pub fn on_response(&mut self, from: &VmId, answer: &LeaseResponse, now: Instant) {
        let lost = matches!(
            answer.refusal,
            Some(LeaseRefusal::Moved | LeaseRefusal::Unknown)
        );
        if lost {
            self.record.doubt(now);
            return;
        }
        if let Some(pool) = self.pool_mut(&answer.account) {
            pool.spender.on_response(from, answer, now);
        }
    }

    /// Takes the end of a call to the store in.
    pub fn on_store_result(&mut self, result: StoreResult, view: &VmSnapshot, now: Instant) {
        if self.record.finish(result, view, now) {
            self.follow(view, now);
        }
    }

    /// Stops granting from this VM's parts and hands them over.
    pub fn release_parts(&mut self, now: Instant) {
        self.record.leave(now);
        for pool in self.pools_mut() {
            pool.parts.clear();
        }
    }

    /// Whether the record still names this VM as a holder.
    pub fn is_holder(&self) -> bool {
        self.record.is_holder()
    }

    /// Serves what can be served and says what is to be done now.
    pub fn poll(&mut self, view: &VmSnapshot, now: Instant, actions: &mut Vec<Action>) {
        let burst = self.shares.account.burst;
        let call = self.record.call(burst, self.tuning.max_parts, view, now);
        if let Some(StoreCall::Write(_, next)) = &call {
            self.give_up(next);
        }
        actions.extend(call.map(Action::Store));
        for _ in 0..LOCAL_ROUNDS {
            self.serve(now, actions);
            if !self.send(now, actions) {
                break;
            }
        }
        self.refuse_late(now, actions);
    }

    /// When [`Self::poll`] must be called again at the latest.
    pub fn next_wake(&self, now: Instant) -> Option<Instant> {
        let deadline = self.queue.iter().map(|waiting| waiting.deadline).min();
        let pools = std::iter::once(&self.whole).chain(self.callers.values());
        let links = pools.filter_map(|pool| pool.spender.next_wake(now)).min();
        let wakes = [deadline, links, self.record.next_wake()];
        wakes.into_iter().flatten().min()
    }

    /// Grants waiting requests in order. One whose caller's share is short lets others pass; one
    /// for which the account's share is short does not.
    fn serve(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let waiting = std::mem::take(&mut self.queue);
        let mut blocked = false;
        for one in waiting {
            if !blocked && self.spend(&one.caller, one.tokens, now) {
                actions.push(Action::Resolve(one.ticket, Ok(())));
                continue;
            }
            blocked |= self.whole.spender.available(now) < one.tokens;
            self.queue.push_back(one);
        }
    }

    fn spend(&mut self, caller: &CallerId, tokens: Tokens, now: Instant) -> bool {
        if self.whole.spender.available(now) < tokens {
            return false;
        }
        if let Some(pool) = self.callers.get_mut(caller)
            && !pool.spender.spend(tokens, now)
        {
            return false;
        }
        self.whole.spender.spend(tokens, now)
    }

    /// Sends the asks that are due; `true` where this VM answered some itself.
    fn send(&mut self, now: Instant, actions: &mut Vec<Action>) -> bool {
        let mut sendings = self.whole.spender.take_requests(self.queued(None), now);
        let callers: Vec<_> = self.callers.keys().cloned().collect();
        for caller in callers {
            let queued = self.queued(Some(&caller));
            if let Some(pool) = self.callers.get_mut(&caller) {
                sendings.extend(pool.spender.take_requests(queued, now));
            }
        }
        let mut answered = false;
        for sending in sendings {
            if sending.to != self.local.vm {
                actions.push(Action::Send(sending));
                continue;
            }
            let from = self.local.vm.clone();
            if let Some(answer) = self.on_request(&from, &sending.request, now) {
                self.on_response(&from, &answer, now);
                answered = true;
            }
        }
        answered
    }

    /// Refuses at once what cannot be served by its deadline.
    fn refuse_late(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let mut ahead = Tokens::ZERO;
        let mut own: BTreeMap<CallerId, Tokens> = BTreeMap::new();
        let waiting = std::mem::take(&mut self.queue);
        for one in waiting {
            let mine = own.entry(one.caller.clone()).or_default();
            let wait = self.estimate(&one, ahead, *mine, now);
            let late = wait.is_none_or(|wait| now + wait > one.deadline);
            if late || now >= one.deadline || self.record.is_unreachable() {
                let refusal = self.refusal(wait);
                actions.push(Action::Resolve(one.ticket, Err(refusal)));
                continue;
            }
            ahead = ahead + one.tokens;
            *mine = *mine + one.tokens;
            self.queue.push_back(one);
        }
    }

    fn refusal(&self, wait: Option<Duration>) -> Refusal {
        let reason = match self.record.holding() {
            Some(_) => Reason::OverRate,
            None => Reason::StoreUnavailable,
        };
        let refusal = Refusal::not_run(reason);
        match wait {
            Some(wait) => refusal.retry_after(wait.max(self.tuning.leases.batch)),
            None => refusal,
        }
    }

    /// Expected time until a waiting request is served.
    fn estimate(
        &self,
        one: &Waiting,
        ahead: Tokens,
        mine: Tokens,
        now: Instant,
    ) -> Option<Duration> {
        let whole = self.whole.spender.estimate(ahead + one.tokens, now)?;
        let Some(pool) = self.callers.get(&one.caller) else {
            return Some(whole);
        };
        let own = pool.spender.estimate(mine + one.tokens, now)?;
        Some(whole.max(own))
    }

    fn queued(&self, caller: Option<&CallerId>) -> QueuedTokens {
        let among = |one: &&Waiting| caller.is_none_or(|caller| one.caller == *caller);
        let mut waiting = self.queue.iter().filter(among).map(|one| one.tokens);
        let first = waiting.next().unwrap_or_default();
        QueuedTokens {
            first,
            total: first + waiting.sum(),
        }
    }

    fn follow(&mut self, view: &VmSnapshot, now: Instant) {
        let Some(holding) = self.record.holding().cloned() else {
            return;
        };
        let mut held = holding.held_by(&self.local);
        if self.record.is_leaving() {
            held.clear();
        }
        held.retain(|index, epoch| !self.given_up.contains(&(*index, *epoch)));
        let (life, count) = (self.tuning.leases.life, holding.parts.len());
        for pool in self.pools_mut() {
            pool.spender.set_assignment(&holding, view, now);
            pool.hold(&held, count, life, now);
        }
    }

    /// Stops granting from the parts that a record about to be written gives to others.
    fn give_up(&mut self, next: &Assignment) {
        let Some(holding) = self.record.holding() else {
            return;
        };
        let kept = next.held_by(&self.local);
        let mut lost = holding.held_by(&self.local);
        lost.retain(|index, epoch| kept.get(index) != Some(epoch));
        for (index, epoch) in lost {
            self.given_up.insert((index, epoch));
            for pool in self.pools_mut() {
                pool.parts.remove(&index);
            }
        }
    }

    fn parts(&self) -> usize {
        self.record
            .holding()
            .map_or(1, |holding| holding.parts.len())
    }

    fn pools_mut(&mut self) -> impl Iterator<Item = &mut QuotaState> {
        std::iter::once(&mut self.whole).chain(self.callers.values_mut())
    }

    fn pool_mut(&mut self, name: &ClientAccount) -> Option<&mut QuotaState> {
        self.pools_mut().find(|pool| pool.name == *name)
    }
}

/// The name under which a caller's own share is leased.
pub fn caller_share(account: &ClientAccount, caller: &CallerId) -> ClientAccount {
    let mut hasher = blake3::Hasher::new();
    hasher.update(account.as_str().as_bytes());
    hasher.update(&[0]);
    hasher.update(caller.as_str().as_bytes());
    let text = format!("caller:{}", hasher.finalize().to_hex());
    text.parse().unwrap_or_else(|_| account.clone())
}

fn refuse(ask: &LeaseRequest, refusal: LeaseRefusal) -> LeaseResponse {
    LeaseResponse {
        account: ask.account.clone(),
        epoch: ask.epoch,
        life: 0,
        part: ask.part,
        refusal: Some(refusal),
        sequence: ask.sequence,
        tokens: Tokens::ZERO,
        wait: 0,
    }
}
