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
const LANES: usize = 3;

/// Identifies a waiting request within one VM; later requests have higher numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket(pub u64);

/// A waiting request.
#[derive(Clone, Debug)]
pub struct QueuedRequest {
    /// Its ticket.
    pub ticket: Ticket,
    /// Id of the request.
    pub request: RequestId,
    /// The adapter it needs; `None` for the plain model.
    pub adapter: Option<AdapterId>,
    /// Priority within its account.
    pub priority: Priority,
    /// Tokens it is expected to take, prompt and output together.
    pub work: Tokens,
    /// When it entered the queue.
    pub arrived: Instant,
    /// When its answer must be complete.
    pub deadline: Instant,
}

#[derive(Clone, Debug, Default)]
struct Line {
    deficit: u64,
    lanes: [VecDeque<QueuedRequest>; LANES],
}

impl Line {
    fn items(&self) -> impl Iterator<Item = &QueuedRequest> {
        self.lanes.iter().flatten()
    }

    fn len(&self) -> usize {
        self.lanes.iter().map(VecDeque::len).sum()
    }

    /// Priority and position of the account's next request among those that `eligible` allows.
    fn turn<F>(&self, eligible: &F, now: Instant) -> Option<(usize, usize)>
    where
        F: Fn(&QueuedRequest) -> bool,
    {
        let heads = self.lanes.iter().enumerate().filter_map(|(lane, items)| {
            let at = items.iter().position(eligible)?;
            let item = &items[at];
            Some((rank(lane, item, now), item.arrived, lane, at))
        });
        heads.min().map(|(_, _, lane, at)| (lane, at))
    }
}

fn lane(priority: Priority) -> usize {
    match priority {
        Priority::Interactive => 0,
        Priority::Review => 1,
        Priority::Background => 2,
    }
}

fn rank(lane: usize, item: &QueuedRequest, now: Instant) -> usize {
    let waited = now.saturating_duration_since(item.arrived);
    let steps = waited.as_millis() / AGING_STEP.as_millis();
    lane.saturating_sub(steps as usize)
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
    lines: BTreeMap<ClientAccount, Line>,
    ring: VecDeque<ClientAccount>,
    turn: Option<ClientAccount>,
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
        if !self.lines.contains_key(account) {
            self.ring.push_back(account.clone());
        }
        let line = self.lines.entry(account.clone()).or_default();
        line.lanes[lane(item.priority)].push_back(item);
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
        let line = self.lines.get_mut(&account)?;
        let item = line.lanes[place.0].remove(place.1)?;
        line.deficit = line.deficit.saturating_sub(item.work.0);
        self.close(&account);
        Some((account, item))
    }

    /// Moves the current account to the end of the rotation once its deficit does not cover its
    /// next request.
    fn end_turn<F>(&mut self, eligible: &F, now: Instant)
    where
        F: Fn(&QueuedRequest) -> bool,
    {
        let Some(account) = self.turn.as_ref().filter(|a| self.ring.front() == Some(*a)) else {
            return;
        };
        let served = self.lines.get(account).is_some_and(|line| {
            let place = line.turn(eligible, now);
            place.is_some_and(|(lane, at)| line.lanes[lane][at].work.0 <= line.deficit)
        });
        if !served {
            self.ring.rotate_left(1);
            self.turn = None;
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
        let turns = self.ring.iter().filter_map(|account| {
            let line = self.lines.get(account)?;
            let place = line.turn(eligible, now)?;
            let item = &line.lanes[place.0][place.1];
            let lack = item.work.0.saturating_sub(line.deficit);
            Some((lack.div_ceil(QUANTUM_TOKENS), account, place))
        });
        let (rounds, account, place) = turns.min_by_key(|&(rounds, _, _)| rounds)?;
        Some((rounds, account.clone(), place))
    }

    /// Adds the quantum of each round to the deficit of every account with an eligible request, and
    /// rotates to the account that is served.
    fn advance<F>(&mut self, rounds: u64, served: &ClientAccount, eligible: &F)
    where
        F: Fn(&QueuedRequest) -> bool,
    {
        if rounds == 0 {
            return;
        }
        let before = self.ring.iter().position(|a| a == served).unwrap_or(0);
        for (place, account) in self.ring.iter().enumerate() {
            let Some(line) = self.lines.get_mut(account) else {
                continue;
            };
            if line.items().any(eligible) {
                let full = if place <= before { rounds } else { rounds - 1 };
                line.deficit += full * QUANTUM_TOKENS;
            }
        }
        self.ring.rotate_left(before);
        self.turn = Some(served.clone());
    }

    /// Removes and returns a request; `None` if it is not queued.
    pub fn remove(&mut self, ticket: Ticket) -> Option<(ClientAccount, QueuedRequest)> {
        let mut taken = self.drain(|_, item| item.ticket == ticket);
        taken.pop()
    }

    /// Removes and returns all requests for which `gone` returns true.
    pub fn drain<F>(&mut self, gone: F) -> Vec<(ClientAccount, QueuedRequest)>
    where
        F: Fn(&ClientAccount, &QueuedRequest) -> bool,
    {
        let mut taken = Vec::new();
        for (account, line) in &mut self.lines {
            for items in &mut line.lanes {
                let (out, kept) = items.drain(..).partition(|item| gone(account, item));
                *items = kept;
                let out: VecDeque<QueuedRequest> = out;
                taken.extend(out.into_iter().map(|item| (account.clone(), item)));
            }
        }
        for (account, _) in &taken {
            self.close(account);
        }
        taken
    }

    fn close(&mut self, account: &ClientAccount) {
        if self.lines.get(account).is_some_and(|l| l.len() == 0) {
            self.lines.remove(account);
            self.ring.retain(|a| a != account);
        }
    }

    /// All waiting requests.
    pub fn items(&self) -> impl Iterator<Item = (&ClientAccount, &QueuedRequest)> {
        self.lines
            .iter()
            .flat_map(|(account, line)| line.items().map(move |item| (account, item)))
    }

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.lines.values().map(Line::len).sum()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.lines.is_empty()
    }

    /// Number of accounts with waiting requests.
    pub fn account_count(&self) -> usize {
        self.lines.len()
    }

    /// Number of waiting requests of an account.
    pub fn account_len(&self, account: &ClientAccount) -> usize {
        self.lines.get(account).map_or(0, Line::len)
    }

    /// Upper bound of the tokens served before a new request of `account`.
    pub fn work_ahead(&self, account: &ClientAccount, priority: Priority) -> Tokens {
        let total: u64 = self.items().map(|(_, item)| item.work.0).sum();
        if self.discipline == Discipline::Fifo {
            return Tokens(total);
        }
        let own: u64 = self.lines.get(account).map_or(0, |line| {
            let before = |item: &&QueuedRequest| lane(item.priority) <= lane(priority);
            line.items().filter(before).map(|item| item.work.0).sum()
        });
        let others = self.lines.len() - usize::from(self.lines.contains_key(account));
        let fair = own + others as u64 * (own + QUANTUM_TOKENS);
        Tokens(total.min(fair))
    }
}
