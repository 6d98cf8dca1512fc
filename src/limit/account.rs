//! All rate limit decisions for one account at one VM, without I/O.
//!
//! Combines the assignment of the account's parts to VMs, the buckets of the parts that this VM
//! holds, its lease clients (one for the account's quota and one for each caller that has a quota
//! of its own) and the queue of requests that wait for tokens. A caller's quota is split into as
//! many parts, held by the same VMs, and leased under a name of its own.

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

/// Most rounds of requests to the parts that this VM itself holds, per poll.
const MAX_LOCAL_ROUNDS: usize = 4;

/// The quota of an account and those of its callers that have their own.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AccountQuotas {
    /// Quota of the account as a whole.
    pub account: Quota,
    /// Quotas of callers; a caller without an entry is bound by the account's quota alone.
    pub callers: BTreeMap<CallerId, Quota>,
}

/// Settings that are the same for all accounts.
#[derive(Clone, Copy, Debug)]
pub struct LimiterConfig {
    /// Timing of leases.
    pub leases: LeaseTimes,
    /// Timing of calls to the store.
    pub store: StoreTimes,
    /// Most parts that a quota is split into.
    pub max_parts: u32,
}

/// Identifies a request that waits for tokens; unique within its account at one VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct WaiterId(pub u64);

/// An action that the driver must carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a lease request to a peer VM.
    Send(OutgoingRequest),
    /// Call the store and pass the result to [`AccountLimiter::on_store_result`].
    Store(StoreCall),
    /// Tell a waiting request whether its tokens are reserved.
    Resolve(WaiterId, Result<(), Refusal>),
}

/// Result of [`AccountLimiter::reserve`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The tokens are reserved.
    Granted,
    /// The request waits; an [`Action::Resolve`] follows, unless it is cancelled.
    Waiting(WaiterId),
    /// The request is refused at once.
    Refused(Refusal),
}

/// A queued request for tokens.
#[derive(Clone, Debug)]
struct Waiting {
    id: WaiterId,
    caller: CallerId,
    tokens: Tokens,
    deadline: Instant,
}

/// Rate limit state of one account at one VM.
#[derive(Clone, Debug)]
pub struct AccountLimiter {
    local: LocalVm,
    quotas: AccountQuotas,
    config: LimiterConfig,
    sync: AssignmentSync,
    account_state: QuotaState,
    /// States of the callers' own quotas.
    caller_states: BTreeMap<CallerId, QuotaState>,
    /// States of callers that no longer have their own quota. Kept, because the sequence numbers of
    /// lease requests must go on if the caller gets a quota again.
    retired_states: BTreeMap<CallerId, QuotaState>,
    /// Index and epoch of parts that this VM tried to hand over. It never grants from them again,
    /// as the write may have taken effect even if it seemed to fail.
    released_parts: BTreeSet<(usize, Epoch)>,
    queue: VecDeque<Waiting>,
    last_waiter: u64,
}

impl AccountLimiter {
    /// Creates the state of an account; the assignment is read from the store later.
    pub fn open(
        name: ClientAccount,
        local: LocalVm,
        quotas: AccountQuotas,
        config: LimiterConfig,
        now: Instant,
    ) -> Self {
        let sync = AssignmentSync::open(name.clone(), local.clone(), config.store, now);
        let account_state = QuotaState::open(name, &local, quotas.account, config, now);
        let mut account = Self {
            local,
            quotas: AccountQuotas::default(),
            config,
            sync,
            account_state,
            caller_states: BTreeMap::new(),
            retired_states: BTreeMap::new(),
            released_parts: BTreeSet::new(),
            queue: VecDeque::new(),
            last_waiter: 0,
        };
        account.configure(quotas, &VmSnapshot::default(), now);
        account
    }

    /// Sets new quotas.
    pub fn configure(&mut self, quotas: AccountQuotas, snapshot: &VmSnapshot, now: Instant) {
        self.account_state
            .set_quota(quotas.account, self.part_count(), now);
        let part_count = self.part_count();
        let gone = |caller: &CallerId, _: &mut QuotaState| !quotas.callers.contains_key(caller);
        for (caller, mut state) in self.caller_states.extract_if(.., gone) {
            state.set_quota(Quota::default(), part_count, now);
            self.retired_states.insert(caller, state);
        }
        for (caller, quota) in &quotas.callers {
            let state = self.caller_states.entry(caller.clone()).or_insert_with(|| {
                let name = caller_quota_name(&self.account_state.name, caller);
                let retired = self.retired_states.remove(caller);
                retired.unwrap_or_else(|| {
                    QuotaState::open(name, &self.local, *quota, self.config, now)
                })
            });
            state.set_quota(*quota, part_count, now);
        }
        self.quotas = quotas;
        self.apply_assignment(snapshot, now);
    }

    /// Reserves tokens for a request, or queues it until `deadline`.
    pub fn reserve(
        &mut self,
        caller: &CallerId,
        tokens: Tokens,
        deadline: Instant,
        now: Instant,
    ) -> Admission {
        let caller_burst = self
            .caller_states
            .get(caller)
            .map(|state| state.quota.burst);
        if tokens > self.quotas.account.burst || caller_burst.is_some_and(|burst| tokens > burst) {
            return Admission::Refused(Refusal::not_run(Reason::OverRate));
        }
        self.account_state.client.record_demand(tokens, now);
        if let Some(state) = self.caller_states.get_mut(caller) {
            state.client.record_demand(tokens, now);
        }
        let is_first = !self.queue.iter().any(|waiting| waiting.caller == *caller);
        if is_first && self.queue.is_empty() && self.spend(caller, tokens, now) {
            return Admission::Granted;
        }
        self.last_waiter += 1;
        let id = WaiterId(self.last_waiter);
        self.queue.push_back(Waiting {
            id,
            caller: caller.clone(),
            tokens,
            deadline,
        });
        Admission::Waiting(id)
    }

    /// Removes a waiting request from the queue.
    pub fn cancel(&mut self, id: WaiterId) {
        self.queue.retain(|waiting| waiting.id != id);
    }

    /// Charges the `used` tokens of a request for which `reserved` tokens were reserved at `at`.
    pub fn settle(
        &mut self,
        caller: &CallerId,
        reserved: Tokens,
        used: Tokens,
        at: Instant,
        now: Instant,
    ) {
        self.account_state.client.settle(reserved, used, at, now);
        if let Some(state) = self.caller_states.get_mut(caller) {
            state.client.settle(reserved, used, at, now);
        }
    }

    /// Handles a lease request from a VM, which may be this one; `None` if it is out of date.
    pub fn on_request(
        &mut self,
        from: &VmId,
        request: &LeaseRequest,
        now: Instant,
    ) -> Option<LeaseResponse> {
        let index = request.part as usize;
        let part_holder = self
            .sync
            .assignment()
            .and_then(|assignment| assignment.parts.get(index));
        let is_newer = part_holder.is_none_or(|part| request.epoch > part.epoch);
        let state = self.state_mut(&request.account);
        let part = state.and_then(|state| state.parts.get_mut(&index));
        let own_part = part.filter(|(epoch, _)| *epoch == request.epoch);
        if let Some((_, bucket)) = own_part {
            return bucket.grant_lease(from, request, now);
        }
        if is_newer {
            self.sync.schedule_read(now);
            return Some(refuse_lease(request, LeaseRefusal::Unknown));
        }
        Some(refuse_lease(request, LeaseRefusal::Moved))
    }

    /// Handles a holder's response to a lease request.
    pub fn on_response(&mut self, from: &VmId, response: &LeaseResponse, now: Instant) {
        let not_held = matches!(
            response.refusal,
            Some(LeaseRefusal::Moved | LeaseRefusal::Unknown)
        );
        if not_held {
            self.sync.schedule_read(now);
            return;
        }
        if let Some(state) = self.state_mut(&response.account) {
            state.client.on_response(from, response, now);
        }
    }

    /// Handles the result of an [`Action::Store`].
    pub fn on_store_result(&mut self, result: StoreResult, snapshot: &VmSnapshot, now: Instant) {
        if self.sync.on_result(result, snapshot, now) {
            self.apply_assignment(snapshot, now);
        }
    }

    /// Stops granting from this VM's parts and starts to hand them over to other VMs.
    pub fn release_parts(&mut self, now: Instant) {
        self.sync.start_release(now);
        for state in self.states_mut() {
            state.parts.clear();
        }
    }

    /// Whether the last known assignment names this VM as a holder.
    pub fn is_holder(&self) -> bool {
        self.sync.is_holder()
    }

    /// Decides on waiting requests and appends the actions that are due now.
    pub fn poll(&mut self, snapshot: &VmSnapshot, now: Instant, actions: &mut Vec<Action>) {
        let burst = self.quotas.account.burst;
        let call = self
            .sync
            .next_call(burst, self.config.max_parts, snapshot, now);
        if let Some(StoreCall::Write(_, next)) = &call {
            self.stop_granting(next);
        }
        actions.extend(call.map(Action::Store));
        for _ in 0..MAX_LOCAL_ROUNDS {
            self.serve_queue(now, actions);
            if !self.send_requests(now, actions) {
                break;
            }
        }
        self.refuse_late(now, actions);
    }

    /// When [`Self::poll`] must be called again at the latest.
    pub fn next_wake(&self, now: Instant) -> Option<Instant> {
        let deadline = self.queue.iter().map(|waiting| waiting.deadline).min();
        let states = std::iter::once(&self.account_state).chain(self.caller_states.values());
        let clients = states.filter_map(|state| state.client.next_wake(now)).min();
        let times = [deadline, clients, self.sync.next_wake()];
        times.into_iter().flatten().min()
    }

    /// Grants waiting requests in order. A request that lacks tokens of its caller's quota lets
    /// others pass; one that lacks tokens of the account's quota blocks all behind it.
    fn serve_queue(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let queue = std::mem::take(&mut self.queue);
        let mut account_short = false;
        for waiting in queue {
            if !account_short && self.spend(&waiting.caller, waiting.tokens, now) {
                actions.push(Action::Resolve(waiting.id, Ok(())));
                continue;
            }
            account_short |= self.account_state.client.available(now) < waiting.tokens;
            self.queue.push_back(waiting);
        }
    }

    /// Spends tokens of the account's quota and of the caller's own quota, or of neither.
    fn spend(&mut self, caller: &CallerId, tokens: Tokens, now: Instant) -> bool {
        if self.account_state.client.available(now) < tokens {
            return false;
        }
        if let Some(state) = self.caller_states.get_mut(caller)
            && !state.client.spend(tokens, now)
        {
            return false;
        }
        self.account_state.client.spend(tokens, now)
    }

    /// Sends the lease requests that are due; `true` if this VM responded to any itself.
    fn send_requests(&mut self, now: Instant, actions: &mut Vec<Action>) -> bool {
        let mut requests = self
            .account_state
            .client
            .take_requests(self.queued_tokens(None), now);
        let callers: Vec<_> = self.caller_states.keys().cloned().collect();
        for caller in callers {
            let queued = self.queued_tokens(Some(&caller));
            if let Some(state) = self.caller_states.get_mut(&caller) {
                requests.extend(state.client.take_requests(queued, now));
            }
        }
        let mut answered = false;
        for outgoing in requests {
            if outgoing.to != self.local.vm {
                actions.push(Action::Send(outgoing));
                continue;
            }
            let from = self.local.vm.clone();
            if let Some(response) = self.on_request(&from, &outgoing.request, now) {
                self.on_response(&from, &response, now);
                answered = true;
            }
        }
        answered
    }

    /// Refuses waiting requests that cannot get their tokens by their deadline. Refuses all of them
    /// while the holders are unknown because the store does not respond.
    fn refuse_late(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let mut ahead = Tokens::ZERO;
        let mut caller_ahead: BTreeMap<CallerId, Tokens> = BTreeMap::new();
        let queue = std::mem::take(&mut self.queue);
        for waiting in queue {
            let ahead_of_caller = caller_ahead.entry(waiting.caller.clone()).or_default();
            let wait = self.estimate_wait(&waiting, ahead, *ahead_of_caller, now);
            let too_late = wait.is_none_or(|wait| now + wait > waiting.deadline);
            if too_late || now >= waiting.deadline || self.sync.is_unavailable() {
                let refusal = self.late_refusal(wait);
                actions.push(Action::Resolve(waiting.id, Err(refusal)));
                continue;
            }
            ahead = ahead + waiting.tokens;
            *ahead_of_caller = *ahead_of_caller + waiting.tokens;
            self.queue.push_back(waiting);
        }
    }

    /// The refusal of a request that is expected to get its tokens after `wait`.
    fn late_refusal(&self, wait: Option<Duration>) -> Refusal {
        let reason = match self.sync.assignment() {
            Some(_) => Reason::OverRate,
            None => Reason::StoreUnavailable,
        };
        let refusal = Refusal::not_run(reason);
        match wait {
            Some(wait) => refusal.retry_after(wait.max(self.config.leases.batch)),
            None => refusal,
        }
    }

    /// Expected time until a waiting request gets its tokens, if `ahead` tokens of the account and
    /// `ahead_of_caller` of its caller are granted before; `None` if it never does.
    fn estimate_wait(
        &self,
        waiting: &Waiting,
        ahead: Tokens,
        ahead_of_caller: Tokens,
        now: Instant,
    ) -> Option<Duration> {
        let account_wait = self
            .account_state
            .client
            .estimate_wait(ahead + waiting.tokens, now)?;
        let Some(state) = self.caller_states.get(&waiting.caller) else {
            return Some(account_wait);
        };
        let caller_wait = state
            .client
            .estimate_wait(ahead_of_caller + waiting.tokens, now)?;
        Some(account_wait.max(caller_wait))
    }

    /// Tokens that waiting requests need: those of one caller, or of all.
    fn queued_tokens(&self, caller: Option<&CallerId>) -> QueuedTokens {
        let is_selected =
            |waiting: &&Waiting| caller.is_none_or(|caller| waiting.caller == *caller);
        let mut tokens = self
            .queue
            .iter()
            .filter(is_selected)
            .map(|waiting| waiting.tokens);
        let first = tokens.next().unwrap_or_default();
        QueuedTokens {
            first,
            total: first + tokens.sum(),
        }
    }

    /// Passes the known assignment to the lease clients and to the buckets that this VM holds.
    fn apply_assignment(&mut self, snapshot: &VmSnapshot, now: Instant) {
        let Some(assignment) = self.sync.assignment().cloned() else {
            return;
        };
        let mut held = assignment.held_by(&self.local);
        if self.sync.is_leaving() {
            held.clear();
        }
        held.retain(|index, epoch| !self.released_parts.contains(&(*index, *epoch)));
        let (life, part_count) = (self.config.leases.life, assignment.parts.len());
        for state in self.states_mut() {
            state.client.set_assignment(&assignment, snapshot, now);
            state.set_held_parts(&held, part_count, life, now);
        }
    }

    /// Stops granting from the parts that the assignment about to be written gives to other VMs.
    fn stop_granting(&mut self, next: &Assignment) {
        let Some(assignment) = self.sync.assignment() else {
            return;
        };
        let kept = next.held_by(&self.local);
        let mut released = assignment.held_by(&self.local);
        released.retain(|index, epoch| kept.get(index) != Some(epoch));
        for (index, epoch) in released {
            self.released_parts.insert((index, epoch));
            for state in self.states_mut() {
                state.parts.remove(&index);
            }
        }
    }

    /// Parts of each quota; 1 while the assignment is unknown.
    fn part_count(&self) -> usize {
        self.sync
            .assignment()
            .map_or(1, |assignment| assignment.parts.len())
    }

    fn states_mut(&mut self) -> impl Iterator<Item = &mut QuotaState> {
        std::iter::once(&mut self.account_state).chain(self.caller_states.values_mut())
    }

    /// The state of the quota that is leased under `name`.
    fn state_mut(&mut self, name: &ClientAccount) -> Option<&mut QuotaState> {
        self.states_mut().find(|state| state.name == *name)
    }
}

/// The name under which a caller's own quota is leased, in place of the account's name.
pub fn caller_quota_name(account: &ClientAccount, caller: &CallerId) -> ClientAccount {
    let mut hasher = blake3::Hasher::new();
    hasher.update(account.as_str().as_bytes());
    hasher.update(&[0]);
    hasher.update(caller.as_str().as_bytes());
    let text = format!("caller:{}", hasher.finalize().to_hex());
    text.parse().unwrap_or_else(|_| account.clone())
}

fn refuse_lease(request: &LeaseRequest, refusal: LeaseRefusal) -> LeaseResponse {
    LeaseResponse {
        account: request.account.clone(),
        epoch: request.epoch,
        life: 0,
        part: request.part,
        refusal: Some(refusal),
        sequence: request.sequence,
        tokens: Tokens::ZERO,
        wait: 0,
    }
}
