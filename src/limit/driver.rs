//! Runs the accounts of one VM: timers, store calls, lease requests and waiting requests.
//!
//! A request locks only its own account, for a few comparisons, and finds it with one atomic load.
//! One task polls the accounts that are due.

use std::collections::BTreeMap;
use std::fmt::{self, Debug};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use bytes::Bytes;
use futures_util::future::{BoxFuture, FutureExt};
use tokio::sync::{Notify, oneshot};
use tokio::task::JoinHandle;

use super::account::{AccountLimiter, AccountQuotas, Action, Admission, LimiterConfig, WaiterId};
use super::assignment::{Assignment, LocalVm};
use super::assignment_sync::{StoreCall, StoreResult, StoreTimes};
use super::bucket::Quota;
use super::lease_client::LeaseTimes;
use super::vms::{VmSnapshot, VmSource};
use super::{Limiter, TokenRequest, TokenReservation};
use crate::clock::Clock;
use crate::ids::{ClientAccount, Generation, ObjectKey, VmId};
use crate::outcome::{Reason, Refusal};
use crate::schema::declaration::{self, Declaration};
use crate::schema::peer::{Frame, LeaseRequest, LeaseResponse};
use crate::schema::settings::{LimitSettings, PlatformSettings};
use crate::store::{ObjectStore, StoreError};
use crate::units::Tokens;

/// Shortest pause of the timer task, in milliseconds.
const MIN_TIMER_MS: u64 = 5;
/// Longest time between two polls of an account, in milliseconds.
const MAX_TIMER_MS: u64 = 200;
/// Time after which the snapshot of the VMs is refreshed, in milliseconds.
const SNAPSHOT_REFRESH_MS: u64 = 100;

/// Sends frames with lease requests to peer VMs; a frame that cannot be sent is lost.
pub trait LeaseSender: Send + Sync + Debug {
    /// Sends a frame without waiting.
    fn send(&self, to: &VmId, frame: Frame);
}

/// What a [`DistributedLimiter`] is built from.
#[derive(Clone, Debug)]
pub struct LimiterDeps {
    /// Name of this VM.
    pub vm: VmId,
    /// Generation of this VM: its start time in milliseconds, so that each start has a greater one.
    pub generation: Generation,
    /// Source of the present time.
    pub clock: Arc<dyn Clock>,
    /// The platform's object store, which holds the assignments.
    pub store: Arc<dyn ObjectStore>,
    /// Sends lease requests to peer VMs.
    pub sender: Arc<dyn LeaseSender>,
    /// Provides the view of all VMs.
    pub vms: Arc<dyn VmSource>,
}

/// One account and its lock.
#[derive(Debug)]
struct AccountEntry {
    name: ClientAccount,
    state: Mutex<EntryState>,
}

/// The locked state of one account.
#[derive(Debug)]
struct EntryState {
    account: AccountLimiter,
    waiters: BTreeMap<WaiterId, oneshot::Sender<Result<Instant, Refusal>>>,
    /// When the timer task must poll the account at the latest.
    poll_at: Instant,
}

/// All accounts by name.
type AccountMap = BTreeMap<ClientAccount, Arc<AccountEntry>>;

struct Inner {
    deps: LimiterDeps,
    config: LimiterConfig,
    accounts: ArcSwap<AccountMap>,
    /// View of the VMs, refreshed by the timer task so that no request has to build it.
    snapshot: ArcSwap<VmSnapshot>,
    /// Account of each quota, by the name under which the quota is leased.
    quota_owners: ArcSwap<BTreeMap<ClientAccount, ClientAccount>>,
    /// Held while a declaration is applied.
    config_lock: Mutex<()>,
    /// Wakes the timer task before its pause ends.
    timer_wake: Notify,
}

/// Enforces the quotas of all accounts at one VM, together with the limiters of its peer VMs.
pub struct DistributedLimiter {
    inner: Arc<Inner>,
    timer: JoinHandle<()>,
}

impl Debug for DistributedLimiter {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("DistributedLimiter").finish_non_exhaustive()
    }
}

impl Drop for DistributedLimiter {
    fn drop(&mut self) {
        self.timer.abort();
    }
}

impl DistributedLimiter {
    /// Starts a limiter without accounts; [`Self::configure`] adds them.
    pub fn spawn(
        deps: LimiterDeps,
        limits: &LimitSettings,
        platform: &PlatformSettings,
    ) -> Arc<Self> {
        let config = LimiterConfig {
            leases: LeaseTimes {
                batch: Duration::from_millis(limits.batch),
                life: Duration::from_millis(limits.life),
            },
            store: StoreTimes {
                list_lag: Duration::from_millis(platform.lag),
                max_backoff: Duration::from_millis(platform.backoff),
            },
            max_parts: limits.holders,
        };
        let inner = Arc::new(Inner {
            snapshot: ArcSwap::new(deps.vms.snapshot()),
            deps,
            config,
            accounts: ArcSwap::default(),
            quota_owners: ArcSwap::default(),
            config_lock: Mutex::new(()),
            timer_wake: Notify::new(),
        });
        let timer = tokio::spawn(run_timer(Arc::clone(&inner)));
        Arc::new(Self { inner, timer })
    }

    /// Applies the quotas of a declaration; accounts that it omits get a quota of zero.
    pub fn configure(&self, declaration: &Declaration) {
        self.inner.configure(declaration);
    }

    /// Handles a lease request from a peer VM; `None` if the account is unknown or the request is
    /// out of date.
    pub fn on_lease_request(&self, from: &VmId, request: &LeaseRequest) -> Option<LeaseResponse> {
        let entry = self.inner.entry_of(&request.account)?;
        let now = self.inner.now();
        let response = lock(&entry.state).account.on_request(from, request, now);
        self.inner.poll_account(&entry);
        response
    }

    /// Handles a peer VM's response to a lease request.
    pub fn on_lease_response(&self, from: &VmId, response: &LeaseResponse) {
        let Some(entry) = self.inner.entry_of(&response.account) else {
            return;
        };
        let now = self.inner.now();
        lock(&entry.state).account.on_response(from, response, now);
        self.inner.poll_account(&entry);
    }

    /// Hands all parts of this VM over to other VMs before it shuts down; `false` if no other VM
    /// can take them or `bound` passed first.
    pub async fn hand_over_parts(&self, bound: Duration) -> bool {
        let end = self.inner.now() + bound;
        let accounts = self.inner.accounts.load_full();
        for entry in accounts.values() {
            lock(&entry.state).account.release_parts(self.inner.now());
            self.inner.poll_account(entry);
        }
        let still_holder = |entry: &Arc<AccountEntry>| lock(&entry.state).account.is_holder();
        while accounts.values().any(still_holder) {
            if self.inner.now() >= end || !self.inner.has_successor() {
                return false;
            }
            tokio::time::sleep(Duration::from_millis(MIN_TIMER_MS)).await;
        }
        true
    }
}

impl Limiter for DistributedLimiter {
    fn reserve(&self, request: TokenRequest) -> BoxFuture<'_, Result<TokenReservation, Refusal>> {
        Arc::clone(&self.inner).reserve(request).boxed()
    }

    fn settle(&self, reservation: TokenReservation, used: Tokens) {
        let Some(entry) = self
            .inner
            .accounts
            .load()
            .get(&reservation.account)
            .cloned()
        else {
            return;
        };
        let now = self.inner.now();
        let mut state = lock(&entry.state);
        let account = &mut state.account;
        account.settle(
            &reservation.caller,
            reservation.tokens,
            used,
            reservation.at,
            now,
        );
    }
}

impl Inner {
    fn now(&self) -> Instant {
        self.deps.clock.now()
    }

    /// Whether any other VM could take this VM's parts.
    fn has_successor(&self) -> bool {
        let snapshot = self.snapshot.load();
        let mut others = snapshot.vms.iter().filter(|(vm, _)| **vm != self.deps.vm);
        others.any(|(_, info)| info.listed && !info.leaving)
    }

    /// The account whose quota, or whose caller's quota, is leased under this name.
    fn entry_of(&self, quota_name: &ClientAccount) -> Option<Arc<AccountEntry>> {
        let quota_owners = self.quota_owners.load();
        let account = quota_owners.get(quota_name)?;
        self.accounts.load().get(account).cloned()
    }

    fn configure(self: &Arc<Self>, declaration: &Declaration) {
        let _guard = lock(&self.config_lock);
        let mut accounts = AccountMap::clone(&self.accounts.load());
        let removed = accounts
            .iter()
            .filter(|(name, _)| !declaration.accounts.contains_key(*name));
        for (_, entry) in removed {
            self.set_quotas(entry, AccountQuotas::default());
        }
        for (name, account) in &declaration.accounts {
            let quotas = declared_quotas(account);
            if let Some(entry) = accounts.get(name) {
                self.set_quotas(entry, quotas);
            } else {
                accounts.insert(name.clone(), self.open_entry(name, quotas));
            }
        }
        let quota_owners = accounts.keys().map(|name| (name.clone(), name.clone()));
        let mut quota_owners: BTreeMap<_, _> = quota_owners.collect();
        for (name, account) in &declaration.accounts {
            for caller in declared_quotas(account).callers.keys() {
                let quota_name = super::account::caller_quota_name(name, caller);
                quota_owners
                    .entry(quota_name)
                    .or_insert_with(|| name.clone());
            }
        }
        self.accounts.store(Arc::new(accounts));
        self.quota_owners.store(Arc::new(quota_owners));
        for entry in self.accounts.load().values() {
            self.poll_account(entry);
        }
    }

    fn open_entry(&self, name: &ClientAccount, quotas: AccountQuotas) -> Arc<AccountEntry> {
        let local = LocalVm {
            vm: self.deps.vm.clone(),
            generation: self.deps.generation,
        };
        let account = AccountLimiter::open(name.clone(), local, quotas, self.config, self.now());
        Arc::new(AccountEntry {
            name: name.clone(),
            state: Mutex::new(EntryState {
                account,
                waiters: BTreeMap::new(),
                poll_at: self.now(),
            }),
        })
    }

    /// Sets the quotas of an account that exists already.
    fn set_quotas(&self, entry: &AccountEntry, quotas: AccountQuotas) {
        let snapshot = self.snapshot.load_full();
        let now = self.now();
        lock(&entry.state).account.configure(quotas, &snapshot, now);
    }

    async fn reserve(self: Arc<Self>, request: TokenRequest) -> Result<TokenReservation, Refusal> {
        let entry = self.accounts.load().get(&request.account).cloned();
        let entry = entry.ok_or_else(|| Refusal::not_run(Reason::NotReady))?;
        let now = self.now();
        let (admission, receiver) = enqueue(&entry, &request, now);
        let at = match admission {
            Admission::Granted => now,
            Admission::Refused(refusal) => return Err(refusal),
            Admission::Waiting(id) => {
                let mut waiter = Waiter {
                    entry: Arc::clone(&entry),
                    id,
                    request: &request,
                    receiver,
                };
                self.poll_account(&entry);
                let sender_dropped = |_| Refusal::not_run(Reason::ShuttingDown);
                (&mut waiter.receiver).await.map_err(sender_dropped)??
            }
        };
        Ok(TokenReservation {
            account: request.account,
            caller: request.caller,
            tokens: request.tokens,
            at,
        })
    }

    /// Polls an account and carries out the actions that it decides on.
    fn poll_account(self: &Arc<Self>, entry: &Arc<AccountEntry>) {
        let snapshot = self.snapshot.load_full();
        let now = self.now();
        let mut actions = Vec::new();
        let mut state = lock(&entry.state);
        state.account.poll(&snapshot, now, &mut actions);
        let latest = now + Duration::from_millis(MAX_TIMER_MS);
        state.poll_at = state
            .account
            .next_wake(now)
            .map_or(latest, |poll_at| poll_at.min(latest));
        let mut side_effects = Vec::new();
        for action in actions {
            match action {
                Action::Resolve(id, result) => resolve(&mut state, id, result, now),
                other => side_effects.push(other),
            }
        }
        let wakes_early = state.poll_at < latest;
        drop(state);
        if wakes_early {
            self.timer_wake.notify_one();
        }
        for action in side_effects {
            match action {
                Action::Send(outgoing) => self
                    .deps
                    .sender
                    .send(&outgoing.to, Frame::Ask(outgoing.request)),
                Action::Store(call) => {
                    tokio::spawn(Arc::clone(self).run_store_call(Arc::clone(entry), call));
                }
                Action::Resolve(..) => {}
            }
        }
    }

    async fn run_store_call(self: Arc<Self>, entry: Arc<AccountEntry>, call: StoreCall) {
        let result = match object_key(&entry.name) {
            Some(key) => self.call_store(&key, call).await,
            None => StoreResult::Failed,
        };
        let snapshot = self.snapshot.load_full();
        let now = self.now();
        lock(&entry.state)
            .account
            .on_store_result(result, &snapshot, now);
        self.poll_account(&entry);
    }

    async fn call_store(&self, key: &ObjectKey, call: StoreCall) -> StoreResult {
        let store = &self.deps.store;
        match call {
            StoreCall::Read => match store.get(key).await {
                Ok(None) => StoreResult::Read(None),
                Ok(Some(object)) => serde_json::from_slice(&object.value)
                    .map_or(StoreResult::Failed, |assignment| {
                        StoreResult::Read(Some((object.version, assignment)))
                    }),
                Err(_) => StoreResult::Failed,
            },
            StoreCall::Write(version, assignment) => {
                let Some(value) = encode(&assignment) else {
                    return StoreResult::Failed;
                };
                match store.put(key, version, value).await {
                    Ok(version) => StoreResult::Written(version),
                    Err(StoreError::Conflict(_)) => StoreResult::Conflict,
                    Err(_) => StoreResult::Failed,
                }
            }
        }
    }
}

/// Receives the time at which tokens were reserved, or a refusal.
type ReservationReceiver = oneshot::Receiver<Result<Instant, Refusal>>;

/// A waiting request. If its future is dropped, the request is cancelled, or its tokens are
/// returned if they were reserved already.
struct Waiter<'a> {
    entry: Arc<AccountEntry>,
    id: WaiterId,
    request: &'a TokenRequest,
    receiver: ReservationReceiver,
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        let mut state = lock(&self.entry.state);
        state.account.cancel(self.id);
        state.waiters.remove(&self.id);
        if let Ok(Ok(at)) = self.receiver.try_recv() {
            let TokenRequest { caller, tokens, .. } = self.request;
            let account = &mut state.account;
            account.settle(caller, *tokens, Tokens::ZERO, at, at);
        }
    }
}

/// Reserves tokens or queues the request; a queued request gets its result from the receiver.
fn enqueue(
    entry: &AccountEntry,
    request: &TokenRequest,
    now: Instant,
) -> (Admission, ReservationReceiver) {
    let (sender, receiver) = oneshot::channel();
    let mut state = lock(&entry.state);
    let account = &mut state.account;
    let admission = account.reserve(&request.caller, request.tokens, request.deadline, now);
    if let Admission::Waiting(id) = admission {
        state.waiters.insert(id, sender);
    }
    (admission, receiver)
}

/// Passes the result to a waiting request, if it still waits.
fn resolve(state: &mut EntryState, id: WaiterId, result: Result<(), Refusal>, now: Instant) {
    if let Some(waiter) = state.waiters.remove(&id) {
        // A waiter is removed from the map before its receiver is dropped, so this cannot fail.
        let _sent = waiter.send(result.map(|()| now));
    }
}

/// Refreshes the snapshot of the VMs and polls the accounts that are due, until aborted.
async fn run_timer(inner: Arc<Inner>) {
    let mut refreshed_at = inner.now();
    loop {
        let now = inner.now();
        if now >= refreshed_at + Duration::from_millis(SNAPSHOT_REFRESH_MS) {
            inner.snapshot.store(inner.deps.vms.snapshot());
            refreshed_at = now;
        }
        let accounts = inner.accounts.load_full();
        let mut next_poll = now + Duration::from_millis(MAX_TIMER_MS);
        for entry in accounts.values() {
            let poll_at = lock(&entry.state).poll_at;
            if poll_at <= now {
                inner.poll_account(entry);
            }
            next_poll = next_poll.min(lock(&entry.state).poll_at);
        }
        let min_pause = Duration::from_millis(MIN_TIMER_MS);
        let pause = next_poll.saturating_duration_since(now).max(min_pause);
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            () = inner.timer_wake.notified() => tokio::time::sleep(min_pause).await,
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The key under which an account's assignment is stored; a name too long for a key is hashed.
fn object_key(account: &ClientAccount) -> Option<ObjectKey> {
    let hash = || blake3::hash(account.as_str().as_bytes()).to_hex();
    let plain = format!("limits/{account}").parse();
    plain.or_else(|_| format!("limits/{}", hash()).parse()).ok()
}

fn encode(assignment: &Assignment) -> Option<Bytes> {
    serde_json::to_vec(assignment).ok().map(Bytes::from)
}

/// The quotas that the declaration gives an account and its callers. A caller with only a rate or
/// only a burst of its own gets the other from the account.
fn declared_quotas(declared: &declaration::Account) -> AccountQuotas {
    let account = Quota {
        rate: declared.rate,
        burst: declared.burst,
    };
    let own_quota = |caller: &declaration::Caller| {
        (caller.rate.is_some() || caller.burst.is_some()).then(|| Quota {
            rate: caller.rate.unwrap_or(account.rate),
            burst: caller.burst.unwrap_or(account.burst),
        })
    };
    let callers = declared.callers.iter();
    let callers = callers.filter_map(|(name, caller)| Some((name.clone(), own_quota(caller)?)));
    AccountQuotas {
        account,
        callers: callers.collect(),
    }
}
