//! Which requests of one account go first while it asks for more than its quota.
//!
//! Requests are ranked by the priority of their route. As long as nothing of the account is refused,
//! rank and size don't matter. Once something was refused at any VM, for a while a request also
//! needs tokens left over, the more so the less urgent and the larger it is; what is left serves the
//! urgent and cheap ones. No rank waits for ever: some of its requests, drawn at random, need nothing
//! left over, so many that a small share of the tokens goes to it. If it got less lately, the other
//! ranks leave it room for one request.

use std::collections::BTreeMap;
use std::ops::Range;
use std::time::{Duration, Instant};

use crate::units::Tokens;

/// Priority of a route, where 0 is the most urgent.
pub type Rank = u8;

/// Time after a refusal in which requests are ranked.
const RANKED_TIME: Duration = Duration::from_secs(5);
/// What a request of the least urgent rank leaves of the largest level, before it is varied.
const RANK_RESERVE: f64 = 0.9;
/// The rank whose requests leave half of that.
const MIDDLE_RANK: f64 = 1.0;
/// Random factor on what is left of the largest level. Levels at VMs differ by what they haven't
/// reported yet.
const RESERVE_SPREAD: Range<f64> = 0.5..1.5;
/// What a request leaves, as a share of its own size, and its bound as a share of the largest level.
const SIZE_RESERVE: f64 = 0.4;
const MAX_SIZE_RESERVE: f64 = 0.1;
/// Share of the tokens admitted that is promised to each rank that asks.
const FLOOR: f64 = 0.08;
/// Bound on what is left of the largest level, so that levels that rise again pass it soon.
const MAX_RESERVE: f64 = 0.6;
/// Factor on the chances of a rank that got less: a level often lacks the tokens for its requests.
const STARVED_FACTOR: f64 = 2.0;
/// Time in which past use loses weight by a factor of e.
const USE_TIME: Duration = Duration::from_secs(10);
/// Requests of a rank, as they lose weight, below which it is forgotten.
const MIN_REQUESTS: f64 = 0.02;
/// Most ranks counted apart; further ones have no floor.
const MAX_RANKS: usize = 8;

/// Recent use of one rank at this VM, in tokens that lose weight with time.
#[derive(Clone, Copy, Debug, Default)]
struct RankUse {
    asked: f64,
    /// Requests asked for, which lose weight as well.
    requests: f64,
    admitted: f64,
}

impl RankUse {
    /// Mean size of its requests.
    fn mean(&self) -> f64 {
        self.asked / self.requests.max(f64::MIN_POSITIVE)
    }
}

/// The order among the requests of one account.
#[derive(Clone, Debug)]
pub struct QuotaOrder {
    /// When a request of the account was last refused, here or at another VM.
    refused: Option<Instant>,
    ranks: BTreeMap<Rank, RankUse>,
    decayed: Instant,
}

impl QuotaOrder {
    /// No requests yet.
    pub fn open(now: Instant) -> Self {
        Self {
            refused: None,
            ranks: BTreeMap::new(),
            decayed: now,
        }
    }

    /// Whether requests are ranked.
    pub fn is_ranked(&self, now: Instant) -> bool {
        self.refused
            .is_some_and(|at| now.saturating_duration_since(at) < RANKED_TIME)
    }

    /// Notes that a request of the account was refused, here or at another VM.
    pub fn on_refused(&mut self, now: Instant) {
        self.refused = Some(now);
    }

    /// Counts a request.
    pub fn on_request(&mut self, rank: Rank, tokens: Tokens, now: Instant) {
        self.decay(now);
        if self.ranks.len() >= MAX_RANKS && !self.ranks.contains_key(&rank) {
            return;
        }
        let used = self.ranks.entry(rank).or_default();
        used.asked += tokens.0 as f64;
        used.requests += 1.0;
    }

    /// Counts a request as admitted.
    pub fn on_admitted(&mut self, rank: Rank, tokens: Tokens) {
        if let Some(used) = self.ranks.get_mut(&rank) {
            used.admitted += tokens.0 as f64;
        }
    }

    /// Tokens that must be left over after a request. `most` is the largest level, and `draw` a
    /// random number from 0 to 1; with low ones nothing need be left.
    pub fn reserve(&self, rank: Rank, tokens: Tokens, most: f64, draw: f64, now: Instant) -> f64 {
        if !self.is_ranked(now) || draw < self.floor_chance(rank) {
            return 0.0;
        }
        let rank_share = f64::from(rank) / (f64::from(rank) + MIDDLE_RANK);
        let spread = RESERVE_SPREAD.start + draw * (RESERVE_SPREAD.end - RESERVE_SPREAD.start);
        let by_rank = RANK_RESERVE * rank_share * spread * most;
        let by_size = (SIZE_RESERVE * tokens.0 as f64).min(MAX_SIZE_RESERVE * most);
        let reserve = (by_rank + by_size).max(self.starved_room(rank));
        reserve.min(MAX_RESERVE * most)
    }

    /// Share of the tokens admitted that went to less urgent ranks or to this one; what refills a
    /// level for it.
    pub fn share_left(&self, rank: Rank, now: Instant) -> f64 {
        if !self.is_ranked(now) {
            return 1.0;
        }
        let all = self.admitted();
        let urgent = self.ranks.range(..rank).map(|(_, used)| used.admitted);
        let urgent: f64 = urgent.sum();
        (1.0 - urgent / all.max(f64::MIN_POSITIVE)).max(FLOOR)
    }

    /// Probability with which a request needs nothing left over, so that its rank gets its floor also
    /// at a VM that admits less than one such request in [`USE_TIME`].
    fn floor_chance(&self, rank: Rank) -> f64 {
        let Some(used) = self.ranks.get(&rank) else {
            return 0.0;
        };
        let chance = FLOOR * self.admitted() / used.asked.max(f64::MIN_POSITIVE);
        if self.is_starved(rank) {
            return chance * STARVED_FACTOR;
        }
        chance
    }

    /// Whether a rank asked for tokens and got less than its floor.
    fn is_starved(&self, rank: Rank) -> bool {
        let floor = FLOOR * self.admitted();
        let used = self.ranks.get(&rank);
        used.is_some_and(|used| used.admitted < floor.min(used.asked))
    }

    /// Size of the largest mean request among the other ranks that are starved.
    fn starved_room(&self, rank: Rank) -> f64 {
        let others = self.ranks.iter().filter(|(other, _)| **other != rank);
        let starved = others.filter(|(other, _)| self.is_starved(**other));
        starved.map(|(_, used)| used.mean()).fold(0.0, f64::max)
    }

    fn admitted(&self) -> f64 {
        self.ranks.values().map(|used| used.admitted).sum()
    }

    fn decay(&mut self, now: Instant) {
        let span = now.saturating_duration_since(self.decayed);
        self.decayed = now;
        let weight = (-span.as_secs_f64() / USE_TIME.as_secs_f64()).exp();
        for used in self.ranks.values_mut() {
            used.asked *= weight;
            used.requests *= weight;
            used.admitted *= weight;
        }
        self.ranks.retain(|_, used| used.requests > MIN_REQUESTS);
    }
}
