//! Drives the accounts of one VM: timers, store calls, asks and waiting requests.
//!
//! A request locks its own account only, for a few comparisons; accounts are found by one atomic
//! load. One task wakes the accounts whose time has come.

use std::collections::BTreeMap;
use std::fmt::{self, Debug};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use bytes::Bytes;
use futures_util::future::{BoxFuture, FutureExt};
use tokio::sync::{Notify, oneshot};
use tokio::task::JoinHandle;

use super::account::{Account, AccountQuotas, Action, Admission, LimiterConfig, WaiterId};
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

const LEAST_TICK_MS: u64 = 5;
const MOST_TICK_MS: u64 = 200;
const VIEW_MS: u64 = 100;

/// Sends frames to other VMs; a frame that cannot be sent is lost.
pub trait LeaseSender: Send + Sync + Debug {
    /// Sends a frame, without waiting.
    fn send(&self, to: &VmId, frame: Frame);
}

/// What the limits of one VM work with.
#[derive(Clone, Debug)]
pub struct LimiterDeps {
    /// This VM.
    pub vm: VmId,
    /// Its incarnation; greater with each start, as its start time in milliseconds is.
    pub generation: Generation,
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// The platform's store.
    pub store: Arc<dyn ObjectStore>,
    /// Links to other VMs.
    pub sender: Arc<dyn LeaseSender>,
    /// The VMs.
    pub vms: Arc<dyn VmSource>,
}

#[derive(Debug)]
struct Cell {
    name: ClientAccount,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    account: Account,
    waiters: BTreeMap<WaiterId, oneshot::Sender<Result<Instant, Refusal>>>,
    wake: Instant,
}

type Cells = BTreeMap<ClientAccount, Arc<Cell>>;

struct Inner {
    deps: LimiterDeps,
    tuning: LimiterConfig,
    cells: ArcSwap<Cells>,
    /// The VMs, read by the timer so that no request pays for it.
    view: ArcSwap<VmSnapshot>,
    /// Names of shares, callers' own included, and the accounts they belong to.
    names: ArcSwap<BTreeMap<ClientAccount, ClientAccount>>,
    configuring: Mutex<()>,
    early: Notify,
}

/// The limits of one VM.
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
    /// Starts without accounts; [`Self::configure`] brings them.
    pub fn spawn(
        deps: LimiterDeps,
        limits: &LimitSettings,
        platform: &PlatformSettings,
    ) -> Arc<Self> {
        let tuning = LimiterConfig {
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
            view: ArcSwap::new(deps.vms.snapshot()),
            deps,
            tuning,
            cells: ArcSwap::default(),
            names: ArcSwap::default(),
            configuring: Mutex::new(()),
            early: Notify::new(),
        });
        let timer = tokio::spawn(run_timer(Arc::clone(&inner)));
        Arc::new(Self { inner, timer })
    }

    /// Brings the accounts of a declaration into force.
    pub fn configure(&self, declaration: &Declaration) {
        self.inner.configure(declaration);
    }

    /// Answers an ask of another VM.
    pub fn on_lease_request(&self, from: &VmId, ask: &LeaseRequest) -> Option<LeaseResponse> {
        let cell = self.inner.cell_of(&ask.account)?;
        let now = self.inner.now();
        let answer = lock(&cell.state).account.on_request(from, ask, now);
        self.inner.pump(&cell);
        answer
    }

    /// Takes another VM's answer in.
    pub fn on_lease_response(&self, from: &VmId, answer: &LeaseResponse) {
        let Some(cell) = self.inner.cell_of(&answer.account) else {
            return;
        };
        let now = self.inner.now();
        lock(&cell.state).account.on_response(from, answer, now);
        self.inner.pump(&cell);
    }

    /// Hands this VM's parts over, as it shuts down; `false` where no other VM can take them or
    /// `bound` passed first.
    pub async fn hand_over_parts(&self, bound: Duration) -> bool {
        let end = self.inner.now() + bound;
        let cells = self.inner.cells.load_full();
        for cell in cells.values() {
            lock(&cell.state).account.release_parts(self.inner.now());
            self.inner.pump(cell);
        }
        let held = |cell: &Arc<Cell>| lock(&cell.state).account.is_holder();
        while cells.values().any(held) {
            if self.inner.now() >= end || !self.inner.has_heir() {
                return false;
            }
            tokio::time::sleep(Duration::from_millis(LEAST_TICK_MS)).await;
        }
        true
    }
}

impl Limiter for DistributedLimiter {
    fn reserve(&self, ask: TokenRequest) -> BoxFuture<'_, Result<TokenReservation, Refusal>> {
        Arc::clone(&self.inner).reserve(ask).boxed()
    }

    fn settle(&self, grant: TokenReservation, used: Tokens) {
        let Some(cell) = self.inner.cells.load().get(&grant.account).cloned() else {
            return;
        };
        let now = self.inner.now();
        let mut state = lock(&cell.state);
        let account = &mut state.account;
        account.settle(&grant.caller, grant.tokens, used, grant.at, now);
    }
}

impl Inner {
    fn now(&self) -> Instant {
        self.deps.clock.now()
    }

    /// Whether another VM stays that could take this one's parts.
    fn has_heir(&self) -> bool {
        let view = self.view.load();
        let mut others = view.vms.iter().filter(|(vm, _)| **vm != self.deps.vm);
        others.any(|(_, live)| live.listed && !live.leaving)
    }

    fn cell_of(&self, share: &ClientAccount) -> Option<Arc<Cell>> {
        let names = self.names.load();
        let account = names.get(share)?;
        self.cells.load().get(account).cloned()
    }

    fn configure(self: &Arc<Self>, declaration: &Declaration) {
        let _guard = lock(&self.configuring);
        let mut cells = Cells::clone(&self.cells.load());
        let gone = cells
            .iter()
            .filter(|(name, _)| !declaration.accounts.contains_key(*name));
        for (_, cell) in gone {
            self.resize(cell, AccountQuotas::default());
        }
        for (name, account) in &declaration.accounts {
            let shares = shares_of(account);
            if let Some(cell) = cells.get(name) {
                self.resize(cell, shares);
            } else {
                cells.insert(name.clone(), self.open_cell(name, shares));
            }
        }
        let names = cells.keys().map(|name| (name.clone(), name.clone()));
        let mut names: BTreeMap<_, _> = names.collect();
        for (name, account) in &declaration.accounts {
            for caller in shares_of(account).callers.keys() {
                let share = super::account::caller_quota_name(name, caller);
                names.entry(share).or_insert_with(|| name.clone());
            }
        }
        self.cells.store(Arc::new(cells));
        self.names.store(Arc::new(names));
        for cell in self.cells.load().values() {
            self.pump(cell);
        }
    }

    fn open_cell(&self, name: &ClientAccount, shares: AccountQuotas) -> Arc<Cell> {
        let local = LocalVm {
            vm: self.deps.vm.clone(),
            generation: self.deps.generation,
        };
        let account = Account::open(name.clone(), local, shares, self.tuning, self.now());
        Arc::new(Cell {
            name: name.clone(),
            state: Mutex::new(State {
                account,
                waiters: BTreeMap::new(),
                wake: self.now(),
            }),
        })
    }

    fn resize(&self, cell: &Cell, shares: AccountQuotas) {
        let view = self.view.load_full();
        let now = self.now();
        lock(&cell.state).account.configure(shares, &view, now);
    }

    async fn reserve(self: Arc<Self>, ask: TokenRequest) -> Result<TokenReservation, Refusal> {
        let cell = self.cells.load().get(&ask.account).cloned();
        let cell = cell.ok_or_else(|| Refusal::not_run(Reason::NotReady))?;
        let now = self.now();
        let (admission, answer) = enqueue(&cell, &ask, now);
        let at = match admission {
            Admission::Granted => now,
            Admission::Refused(refusal) => return Err(refusal),
            Admission::Waiting(ticket) => {
                let mut waiter = Waiter {
                    cell: Arc::clone(&cell),
                    ticket,
                    ask: &ask,
                    answer,
                };
                self.pump(&cell);
                let lost = |_| Refusal::not_run(Reason::ShuttingDown);
                (&mut waiter.answer).await.map_err(lost)??
            }
        };
        Ok(TokenReservation {
            account: ask.account,
            caller: ask.caller,
            tokens: ask.tokens,
            at,
        })
    }

    /// Carries out what an account decides now.
    fn pump(self: &Arc<Self>, cell: &Arc<Cell>) {
        let view = self.view.load_full();
        let now = self.now();
        let mut actions = Vec::new();
        let mut state = lock(&cell.state);
        state.account.poll(&view, now, &mut actions);
        let latest = now + Duration::from_millis(MOST_TICK_MS);
        state.wake = state
            .account
            .next_wake(now)
            .map_or(latest, |wake| wake.min(latest));
        let mut outgoing = Vec::new();
        for action in actions {
            match action {
                Action::Resolve(ticket, result) => resolve(&mut state, ticket, result, now),
                other => outgoing.push(other),
            }
        }
        let early = state.wake < latest;
        drop(state);
        if early {
            self.early.notify_one();
        }
        for action in outgoing {
            match action {
                Action::Send(sending) => self
                    .deps
                    .sender
                    .send(&sending.to, Frame::Ask(sending.request)),
                Action::Store(request) => {
                    tokio::spawn(Arc::clone(self).call(Arc::clone(cell), request));
                }
                Action::Resolve(..) => {}
            }
        }
    }

    async fn call(self: Arc<Self>, cell: Arc<Cell>, request: StoreCall) {
        let result = match store_key(&cell.name) {
            Some(key) => self.call_store(&key, request).await,
            None => StoreResult::Failed,
        };
        let view = self.view.load_full();
        let now = self.now();
        lock(&cell.state)
            .account
            .on_store_result(result, &view, now);
        self.pump(&cell);
    }

    async fn call_store(&self, key: &ObjectKey, call: StoreCall) -> StoreResult {
        let store = &self.deps.store;
        match call {
            StoreCall::Read => match store.get(key).await {
                Ok(None) => StoreResult::Read(None),
                Ok(Some(object)) => serde_json::from_slice(&object.value)
                    .map_or(StoreResult::Failed, |holding| {
                        StoreResult::Read(Some((object.version, holding)))
                    }),
                Err(_) => StoreResult::Failed,
            },
            StoreCall::Write(version, holding) => {
                let Some(value) = encode(&holding) else {
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

type Resolved = oneshot::Receiver<Result<Instant, Refusal>>;

/// A waiting request; withdrawn, or its tokens given back, where its future is dropped.
struct Waiter<'a> {
    cell: Arc<Cell>,
    ticket: WaiterId,
    ask: &'a TokenRequest,
    answer: Resolved,
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        let mut state = lock(&self.cell.state);
        state.account.cancel(self.ticket);
        state.waiters.remove(&self.ticket);
        if let Ok(Ok(at)) = self.answer.try_recv() {
            let TokenRequest { caller, tokens, .. } = self.ask;
            let account = &mut state.account;
            account.settle(caller, *tokens, Tokens::ZERO, at, at);
        }
    }
}

fn enqueue(cell: &Cell, ask: &TokenRequest, now: Instant) -> (Admission, Resolved) {
    let (sender, receiver) = oneshot::channel();
    let mut state = lock(&cell.state);
    let account = &mut state.account;
    let admission = account.reserve(&ask.caller, ask.tokens, ask.deadline, now);
    if let Admission::Waiting(ticket) = admission {
        state.waiters.insert(ticket, sender);
    }
    (admission, receiver)
}

fn resolve(state: &mut State, ticket: WaiterId, result: Result<(), Refusal>, now: Instant) {
    if let Some(waiter) = state.waiters.remove(&ticket) {
        // A waiter leaves the map before its receiver is dropped, so that this cannot fail.
        let _sent = waiter.send(result.map(|()| now));
    }
}

async fn run_timer(inner: Arc<Inner>) {
    let mut viewed = inner.now();
    loop {
        let now = inner.now();
        if now >= viewed + Duration::from_millis(VIEW_MS) {
            inner.view.store(inner.deps.vms.snapshot());
            viewed = now;
        }
        let cells = inner.cells.load_full();
        let mut next = now + Duration::from_millis(MOST_TICK_MS);
        for cell in cells.values() {
            let wake = lock(&cell.state).wake;
            if wake <= now {
                inner.pump(cell);
            }
            next = next.min(lock(&cell.state).wake);
        }
        let least = Duration::from_millis(LEAST_TICK_MS);
        let pause = next.saturating_duration_since(now).max(least);
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            () = inner.early.notified() => tokio::time::sleep(least).await,
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The record's key; a name too long for a key is hashed.
fn store_key(account: &ClientAccount) -> Option<ObjectKey> {
    let hash = || blake3::hash(account.as_str().as_bytes()).to_hex();
    let plain = format!("limits/{account}").parse();
    plain.or_else(|_| format!("limits/{}", hash()).parse()).ok()
}

fn encode(holding: &Assignment) -> Option<Bytes> {
    serde_json::to_vec(holding).ok().map(Bytes::from)
}

/// The shares that an account and its callers are declared to have. A caller that declares only a
/// rate or only a burst has the account's for the other.
fn shares_of(declared: &declaration::Account) -> AccountQuotas {
    let account = Quota {
        rate: declared.rate,
        burst: declared.burst,
    };
    let own = |caller: &declaration::Caller| {
        (caller.rate.is_some() || caller.burst.is_some()).then(|| Quota {
            rate: caller.rate.unwrap_or(account.rate),
            burst: caller.burst.unwrap_or(account.burst),
        })
    };
    let callers = declared.callers.iter();
    let callers = callers.filter_map(|(name, caller)| Some((name.clone(), own(caller)?)));
    AccountQuotas {
        account,
        callers: callers.collect(),
    }
}
