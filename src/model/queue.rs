//! Requests waiting for one model at one VM.
//!
//! Accounts are served by deficit round robin, with tokens as the cost, so that many requests of
//! one account do not delay the other accounts. Within an account, priorities are strict, but a
//! request ranks one priority higher for each aging step it has waited, so that none waits for
//! ever.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use crate::ids::{AdapterId, ClientAccount, RequestId};
use crate::schema::declaration::Priority;
use crate::units::Tokens;

/// Tokens that an account may spend in each round.
const QUANTUM_TOKENS: u64 = 512;
/// Waiting time after which a request ranks one priority higher.
const AGING_STEP: Duration = Duration::from_secs(10);
/// Number of priorities.
const PRIORITIES: usize = 3;

/// Identifies a waiting request within one VM; later requests have higher numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket(pub u64);

/// A waiting request.
#[derive(Clone, Debug)]
pub struct QueuedRequest {
    /// Its ticket.
    pub ticket: Ticket,
    /// Id of the request.
    pub id: RequestId,
    /// The adapter it needs; `None` for the plain model.
    pub adapter: Option<AdapterId>,
    /// Priority within its account.
    pub priority: Priority,
    /// Tokens it is expected to take, prompt and output together.
    pub work: Tokens,
    /// When it entered the queue.
    pub arrived: Instant,
    /// When its response must be complete.
    pub deadline: Instant,
}

/// The waiting requests of one account.
#[derive(Clone, Debug, Default)]
struct AccountQueue {
    /// Tokens that the account may spend before its turn ends.
    deficit: u64,
    /// Requests by priority, the highest first, each in order of arrival.
    levels: [VecDeque<QueuedRequest>; PRIORITIES],
}

impl AccountQueue {
    fn items(&self) -> impl Iterator<Item = &QueuedRequest> {
        self.levels.iter().flatten()
    }

    fn len(&self) -> usize {
        self.levels.iter().map(VecDeque::len).sum()
    }

    /// Level and position of the account's next request among those that `eligible` allows.
    fn next_request<F>(&self, eligible: &F, now: Instant) -> Option<(usize, usize)>
    where
        F: Fn(&QueuedRequest) -> bool,
    {
        let heads = self.levels.iter().enumerate().filter_map(|(level, items)| {
            let index = items.iter().position(eligible)?;
            let item = &items[index];
            Some((rank(level, item, now), item.arrived, level, index))
        });
        heads.min().map(|(_, _, level, index)| (level, index))
    }
}

fn level(priority: Priority) -> usize {
    match priority {
        Priority::Interactive => 0,
        Priority::Review => 1,
        Priority::Background => 2,
    }
}

/// The level of a request after aging.
fn rank(level: usize, item: &QueuedRequest, now: Instant) -> usize {
    let waited = now.saturating_duration_since(item.arrived);
    let steps = waited.as_millis() / AGING_STEP.as_millis();
    level.saturating_sub(steps as usize)
}

/// Order in which waiting requests are served.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Discipline {
    /// Deficit round robin over accounts, priorities within each account.
    #[default]
    Fair,
    /// First come, first served, whatever the account and priority.
    Fifo,
}

/// The requests that wait for one model.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    discipline: Discipline,
    accounts: BTreeMap<ClientAccount, AccountQueue>,
    /// Accounts with waiting requests, in the order of their turns.
    rotation: VecDeque<ClientAccount>,
    /// The account whose turn it is, if it is still first in the rotation.
    current: Option<ClientAccount>,
}

impl Queue {
    /// An empty queue.
    pub fn new(discipline: Discipline) -> Self {
        Self {
            discipline,
            ..Self::default()
        }
    }

    /// Adds a request behind those of the same account and priority.
    pub fn push(&mut self, account: &ClientAccount, item: QueuedRequest) {
        if !self.accounts.contains_key(account) {
            self.rotation.push_back(account.clone());
        }
        let queue = self.accounts.entry(account.clone()).or_default();
        queue.levels[level(item.priority)].push_back(item);
    }

    /// Removes and returns the next request among those that `eligible` allows.
    pub fn pop<F>(&mut self, eligible: F, now: Instant) -> Option<(ClientAccount, QueuedRequest)>
    where
        F: Fn(&QueuedRequest) -> bool,
    {
        if self.discipline == Discipline::Fifo {
            let first = self.items().filter(|(_, item)| eligible(item));
            let ticket = first.map(|(_, item)| item.ticket).min()?;
            return self.remove(ticket);
        }
        self.end_turn(&eligible, now);
        let (rounds, account, place) = self.next_account(&eligible, now)?;
        self.advance(rounds, &account, &eligible);
        let queue = self.accounts.get_mut(&account)?;
        let item = queue.levels[place.0].remove(place.1)?;
        queue.deficit = queue.deficit.saturating_sub(item.work.0);
        self.remove_if_empty(&account);
        Some((account, item))
    }

    /// Moves the current account to the end of the rotation once its deficit does not cover its
    /// next request.
    fn end_turn<F>(&mut self, eligible: &F, now: Instant)
    where
        F: Fn(&QueuedRequest) -> bool,
    {
        let Some(account) = self
            .current
            .as_ref()
            .filter(|a| self.rotation.front() == Some(*a))
        else {
            return;
        };
        let served = self.accounts.get(account).is_some_and(|queue| {
            let place = queue.next_request(eligible, now);
            place.is_some_and(|(level, index)| queue.levels[level][index].work.0 <= queue.deficit)
        });
        if !served {
            self.rotation.rotate_left(1);
            self.current = None;
        }
    }

    /// The account that can be served after the fewest rounds, with that number of rounds and the
    /// place of its request. Of equal accounts, the first in the rotation is returned.
    fn next_account<F>(
        &self,
        eligible: &F,
        now: Instant,
    ) -> Option<(u64, ClientAccount, (usize, usize))>
    where
        F: Fn(&QueuedRequest) -> bool,
    {
        let candidates = self.rotation.iter().filter_map(|account| {
            let queue = self.accounts.get(account)?;
            let place = queue.next_request(eligible, now)?;
            let item = &queue.levels[place.0][place.1];
            let missing = item.work.0.saturating_sub(queue.deficit);
            Some((missing.div_ceil(QUANTUM_TOKENS), account, place))
        });
        let (rounds, account, place) = candidates.min_by_key(|&(rounds, _, _)| rounds)?;
        Some((rounds, account.clone(), place))
    }

    /// Adds the quantum of each round to the deficit of every account with an eligible request, and
    /// rotates to the account that is served. Accounts behind it get one round fewer.
    fn advance<F>(&mut self, rounds: u64, served: &ClientAccount, eligible: &F)
    where
        F: Fn(&QueuedRequest) -> bool,
    {
        if rounds == 0 {
            return;
        }
        let before = self.rotation.iter().position(|a| a == served).unwrap_or(0);
        for (place, account) in self.rotation.iter().enumerate() {
            let Some(queue) = self.accounts.get_mut(account) else {
                continue;
            };
            if queue.items().any(eligible) {
                let count = if place <= before { rounds } else { rounds - 1 };
                queue.deficit += count * QUANTUM_TOKENS;
            }
        }
        self.rotation.rotate_left(before);
        self.current = Some(served.clone());
    }

    /// Removes and returns a request; `None` if it is not queued.
    pub fn remove(&mut self, ticket: Ticket) -> Option<(ClientAccount, QueuedRequest)> {
        let mut taken = self.extract_if(|_, item| item.ticket == ticket);
        taken.pop()
    }

    /// Removes and returns all requests for which `matches` returns true.
    pub fn extract_if<F>(&mut self, matches: F) -> Vec<(ClientAccount, QueuedRequest)>
    where
        F: Fn(&ClientAccount, &QueuedRequest) -> bool,
    {
        let mut taken = Vec::new();
        for (account, queue) in &mut self.accounts {
            for items in &mut queue.levels {
                let (out, kept) = items.drain(..).partition(|item| matches(account, item));
                *items = kept;
                let out: VecDeque<QueuedRequest> = out;
                taken.extend(out.into_iter().map(|item| (account.clone(), item)));
            }
        }
        for (account, _) in &taken {
            self.remove_if_empty(account);
        }
        taken
    }

    fn remove_if_empty(&mut self, account: &ClientAccount) {
        if self.accounts.get(account).is_some_and(|q| q.len() == 0) {
            self.accounts.remove(account);
            self.rotation.retain(|a| a != account);
        }
    }

    /// All waiting requests, each with its account.
    pub fn items(&self) -> impl Iterator<Item = (&ClientAccount, &QueuedRequest)> {
        self.accounts
            .iter()
            .flat_map(|(account, queue)| queue.items().map(move |item| (account, item)))
    }

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.accounts.values().map(AccountQueue::len).sum()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }

    /// Number of accounts with waiting requests.
    pub fn account_count(&self) -> usize {
        self.accounts.len()
    }

    /// Number of waiting requests of an account.
    pub fn account_len(&self, account: &ClientAccount) -> usize {
        self.accounts.get(account).map_or(0, AccountQueue::len)
    }

    /// Upper bound of the tokens served before a new request of `account`.
    pub fn work_ahead(&self, account: &ClientAccount, priority: Priority) -> Tokens {
        let total: u64 = self.items().map(|(_, item)| item.work.0).sum();
        if self.discipline == Discipline::Fifo {
            return Tokens(total);
        }
        let own: u64 = self.accounts.get(account).map_or(0, |queue| {
            let before = |item: &&QueuedRequest| level(item.priority) <= level(priority);
            queue.items().filter(before).map(|item| item.work.0).sum()
        });
        let others = self.accounts.len() - usize::from(self.accounts.contains_key(account));
        let fair = own + others as u64 * (own + QUANTUM_TOKENS);
        Tokens(total.min(fair))
    }
}
