//! Decides who may hold how much of a VM's memory and connections, and who gives way.
//!
//! Where there is no room, connections give way that rank before the newcomer: the slow first, then
//! those whose owner holds most, then those that hold most, then the oldest. A newcomer that ranks
//! first itself is refused. A request that may have been sent to an upstream does not give way,
//! unless its caller takes nothing of the response.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::IpAddr;
use std::time::{Duration, Instant};

use crate::ids::ClientAccount;

use super::bounds::CallerLimitBounds;

/// Bytes charged for a connection: its buffers and its task.
pub const CONNECTION_BYTES: u64 = 16 * 1024;
/// Bytes charged for a request: its task and the buffers of its connection to an upstream.
pub const REQUEST_BYTES: u64 = 64 * 1024;
/// A body up to this size, in bytes, is small: room is kept for it beside larger ones.
pub const SMALL_BYTES: u64 = 64 * 1024;
/// A connection may be slow only after this time in its phase.
pub const SLOW_AFTER: Duration = Duration::from_secs(1);
/// A body that arrives with fewer bytes a second is slow.
pub const SLOW_RATE: u64 = 16 * 1024;

/// A caller's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnectionId(pub u64);

/// Who a connection belongs to.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Owner {
    /// The address that it comes from, where no request has named an account yet.
    Address(IpAddr),
    /// The client account of its last request.
    Account(ClientAccount),
}

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// There is no request, or no whole head of one.
    Idle,
    /// The body of a request is being read; nothing was sent to an upstream.
    Reading,
    /// The request waits for an upstream or for its response.
    Running,
    /// The response is being written.
    Writing,
}

/// What bytes are held for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Purpose {
    /// Connections and requests as such.
    Overhead,
    /// Bodies of requests.
    Body,
    /// Responses that are read whole.
    Response,
}

/// Answer to a newcomer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// There is room, and it is taken.
    Granted,
    /// There will be room when these connections have given way; ask again then.
    Wait(Vec<ConnectionId>),
    /// No other connection is to give way for it.
    Refused,
}

/// What there may be too little of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Resource {
    Bytes,
    Connections,
    Requests,
}

#[derive(Clone, Debug)]
struct Entry {
    owner: Owner,
    phase: Phase,
    /// When the phase began.
    since: Instant,
    /// Bytes of the body that have arrived.
    received: u64,
    /// Since when the caller has taken nothing of what is to be written.
    blocked: Option<Instant>,
    /// Bytes charged to it, besides the overhead.
    bytes: u64,
    /// Whether it was chosen to give way.
    evicted: bool,
}

impl Entry {
    /// Whether its caller sends or takes too little.
    fn is_slow(&self, now: Instant) -> bool {
        let spent = now.saturating_duration_since(self.since);
        match self.phase {
            Phase::Idle | Phase::Running => false,
            Phase::Reading => {
                let expected = SLOW_RATE as f64 * spent.as_secs_f64();
                spent > SLOW_AFTER && (self.received as f64) < expected
            }
            Phase::Writing => self
                .blocked
                .is_some_and(|since| now.saturating_duration_since(since) > SLOW_AFTER),
        }
    }

    /// Whether it may give way for a newcomer that needs `resource`.
    fn may_give_way(&self, resource: Resource, now: Instant) -> bool {
        if self.evicted {
            return false;
        }
        match (self.phase, resource) {
            (Phase::Idle, _) => resource == Resource::Connections,
            (Phase::Running, _) => false,
            (Phase::Reading, Resource::Bytes | Resource::Requests) => true,
            (Phase::Reading, Resource::Connections) | (Phase::Writing, _) => self.is_slow(now),
        }
    }

    /// What is free once it has given way.
    fn frees(&self, resource: Resource) -> u64 {
        match resource {
            Resource::Bytes => self.bytes + overhead(self.phase),
            Resource::Connections => 1,
            Resource::Requests => u64::from(self.phase != Phase::Idle),
        }
    }
}

/// Bytes of a connection and its request as such.
fn overhead(phase: Phase) -> u64 {
    match phase {
        Phase::Idle => CONNECTION_BYTES,
        Phase::Reading | Phase::Running | Phase::Writing => CONNECTION_BYTES + REQUEST_BYTES,
    }
}

/// Order in which connections give way, the greatest first. Amounts count by their power of two, so
/// that callers that are alike don't push each other out in turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    slow: bool,
    owner: u32,
    size: u32,
    age: Duration,
}

/// The power of two of an amount.
fn class(amount: u64) -> u32 {
    (amount + 1).ilog2()
}

/// What a VM's callers hold.
#[derive(Debug)]
pub struct Ledger {
    bounds: CallerLimitBounds,
    entries: BTreeMap<ConnectionId, Entry>,
    /// Connections that have a request.
    requests: usize,
    held: BTreeMap<Purpose, u64>,
}

/// A connection that asks for more, as it is ranked.
#[derive(Clone, Debug)]
struct Newcomer {
    owner: Owner,
    slow: bool,
    size: u64,
}

impl Ledger {
    /// Makes a ledger without connections.
    pub fn open(bounds: CallerLimitBounds) -> Self {
        Self {
            bounds,
            entries: BTreeMap::new(),
            requests: 0,
            held: BTreeMap::new(),
        }
    }

    /// Bytes held for a purpose.
    pub fn held(&self, purpose: Purpose) -> u64 {
        self.held.get(&purpose).copied().unwrap_or(0)
    }

    /// Bytes held in all.
    pub fn total(&self) -> u64 {
        self.held.values().sum()
    }

    /// Connections in a phase.
    pub fn count(&self, phase: Phase) -> usize {
        let entries = self.entries.values();
        entries.filter(|entry| entry.phase == phase).count()
    }

    /// What a connection is doing; `None` if it is gone.
    pub fn phase(&self, id: ConnectionId) -> Option<Phase> {
        self.entries.get(&id).map(|entry| entry.phase)
    }

    /// Whether a connection was chosen to give way.
    pub fn is_evicted(&self, id: ConnectionId) -> bool {
        self.entries.get(&id).is_some_and(|entry| entry.evicted)
    }

    /// Takes a place for a new connection; never refused for good.
    pub fn connect(&mut self, id: ConnectionId, owner: Owner, now: Instant) -> Verdict {
        let missing = (self.entries.len() + 1).saturating_sub(self.bounds.connections);
        let verdict = self.make_room(Resource::Connections, missing as u64, None, now);
        if verdict == Verdict::Granted {
            let entry = Entry {
                owner,
                phase: Phase::Idle,
                since: now,
                received: 0,
                blocked: None,
                bytes: 0,
                evicted: false,
            };
            self.entries.insert(id, entry);
            self.hold(Purpose::Overhead, CONNECTION_BYTES);
        }
        verdict
    }

    /// Takes a place for a request, whose body is read next. `owner` is its client account, where
    /// it has one.
    pub fn start(&mut self, id: ConnectionId, owner: Option<Owner>, now: Instant) -> Verdict {
        // The response before may still be in the buffer of the connection.
        self.end(id, now);
        let Some(entry) = self.entries.get_mut(&id).filter(|entry| !entry.evicted) else {
            return Verdict::Refused;
        };
        if let Some(owner) = owner {
            entry.owner = owner;
        }
        let newcomer = Newcomer {
            owner: entry.owner.clone(),
            slow: false,
            size: 0,
        };
        let missing = (self.requests + 1).saturating_sub(self.bounds.requests);
        let verdict = self.make_room(Resource::Requests, missing as u64, Some(&newcomer), now);
        if verdict != Verdict::Granted {
            return verdict;
        }
        let missing = (self.total() + REQUEST_BYTES).saturating_sub(self.bounds.bytes);
        let verdict = self.make_room(Resource::Bytes, missing, Some(&newcomer), now);
        if verdict == Verdict::Granted {
            self.hold(Purpose::Overhead, REQUEST_BYTES);
            self.requests += 1;
            self.set_phase(id, Phase::Reading, now);
        }
        verdict
    }

    /// Charges bytes of a request's body, before they are read.
    pub fn charge_body(&mut self, id: ConnectionId, bytes: u64, now: Instant) -> Verdict {
        let Some(entry) = self.entries.get(&id).filter(|entry| !entry.evicted) else {
            return Verdict::Refused;
        };
        let size = entry.bytes + bytes;
        let bound = match size {
            0..=SMALL_BYTES => self.bounds.bytes,
            _ => self.bounds.large_bytes,
        };
        let missing = (self.total() + bytes).saturating_sub(bound);
        let newcomer = Newcomer {
            owner: entry.owner.clone(),
            slow: entry.is_slow(now),
            size,
        };
        let verdict = self.make_room(Resource::Bytes, missing, Some(&newcomer), now);
        if verdict == Verdict::Granted {
            self.charge(id, Purpose::Body, bytes);
        }
        verdict
    }

    /// Charges bytes of a response, before they are read; false if there is no room. No connection
    /// gives way for it, as the response can be forwarded while it is read.
    pub fn charge_response(&mut self, id: ConnectionId, bytes: u64) -> bool {
        let responses = self.held(Purpose::Response) + bytes;
        let fits = responses <= self.bounds.response_bytes
            && self.total() + bytes <= self.bounds.bytes
            && self.entries.contains_key(&id);
        if fits {
            self.charge(id, Purpose::Response, bytes);
        }
        fits
    }

    /// Ends a charge; its connection may be gone.
    pub fn release(&mut self, id: ConnectionId, purpose: Purpose, bytes: u64) {
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.bytes = entry.bytes.saturating_sub(bytes);
        }
        self.unhold(purpose, bytes);
    }

    /// Notes bytes of a body that have arrived.
    pub fn on_received(&mut self, id: ConnectionId, bytes: u64) {
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.received += bytes;
        }
    }

    /// Notes that the body of a request is complete; false if the request was chosen to give way
    /// and must not be sent.
    pub fn finish_body(&mut self, id: ConnectionId, now: Instant) -> bool {
        let stays = !self.is_evicted(id);
        if stays {
            self.set_phase(id, Phase::Running, now);
        }
        stays
    }

    /// Notes that the response of a request, if it has one, is written from now on.
    pub fn begin_response(&mut self, id: ConnectionId, now: Instant) {
        if self
            .entries
            .get(&id)
            .is_some_and(|entry| entry.phase != Phase::Idle)
        {
            self.set_phase(id, Phase::Writing, now);
        }
    }

    /// Notes since when a caller takes nothing of its response; `None` where it takes some.
    pub fn set_blocked(&mut self, id: ConnectionId, since: Option<Instant>) {
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.blocked = since;
        }
    }

    /// Ends a request.
    pub fn end(&mut self, id: ConnectionId, now: Instant) {
        if self
            .entries
            .get(&id)
            .is_some_and(|entry| entry.phase != Phase::Idle)
        {
            self.set_phase(id, Phase::Idle, now);
            self.requests -= 1;
            self.unhold(Purpose::Overhead, REQUEST_BYTES);
        }
    }

    /// Ends a connection; what is charged to it is released by its buffers.
    pub fn disconnect(&mut self, id: ConnectionId) {
        if let Some(entry) = self.entries.remove(&id) {
            self.requests -= usize::from(entry.phase != Phase::Idle);
            self.unhold(Purpose::Overhead, overhead(entry.phase));
        }
    }

    fn set_phase(&mut self, id: ConnectionId, phase: Phase, now: Instant) {
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.phase = phase;
            entry.since = now;
            entry.received = 0;
            entry.blocked = None;
        }
    }

    fn charge(&mut self, id: ConnectionId, purpose: Purpose, bytes: u64) {
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.bytes += bytes;
        }
        self.hold(purpose, bytes);
    }

    fn hold(&mut self, purpose: Purpose, bytes: u64) {
        *self.held.entry(purpose).or_default() += bytes;
    }

    fn unhold(&mut self, purpose: Purpose, bytes: u64) {
        let held = self.held.entry(purpose).or_default();
        *held = held.saturating_sub(bytes);
    }

    /// Chooses connections to give way until `missing` of a resource are free.
    fn make_room(
        &mut self,
        resource: Resource,
        missing: u64,
        newcomer: Option<&Newcomer>,
        now: Instant,
    ) -> Verdict {
        if missing == 0 {
            return Verdict::Granted;
        }
        let leaving = self.entries.values().filter(|entry| entry.evicted);
        let mut freed: u64 = leaving.map(|entry| entry.frees(resource)).sum();
        let mut chosen = Vec::new();
        for (_, id, frees) in self.ranked(resource, newcomer, now) {
            if freed >= missing {
                break;
            }
            freed += frees;
            chosen.push(id);
        }
        if freed < missing {
            return Verdict::Refused;
        }
        for id in &chosen {
            if let Some(entry) = self.entries.get_mut(id) {
                entry.evicted = true;
            }
        }
        Verdict::Wait(chosen)
    }

    /// Connections that give way before the newcomer, or at all for a new connection, of which
    /// nothing is known yet; the first to go first.
    fn ranked(
        &self,
        resource: Resource,
        newcomer: Option<&Newcomer>,
        now: Instant,
    ) -> Vec<(Reverse<Rank>, ConnectionId, u64)> {
        let mut weights: BTreeMap<&Owner, u64> = BTreeMap::new();
        for entry in self.entries.values() {
            *weights.entry(&entry.owner).or_default() += entry.frees(resource);
        }
        let weight = |owner| class(weights.get(owner).copied().unwrap_or(0));
        // Where they are alike, the newcomer is refused.
        let newcomer = newcomer.map(|newcomer| Rank {
            slow: newcomer.slow,
            owner: weight(&newcomer.owner),
            size: class(newcomer.size),
            age: Duration::MAX,
        });
        let candidates = self.entries.iter();
        let candidates = candidates.filter(|(_, entry)| entry.may_give_way(resource, now));
        let ranked = candidates.map(|(id, entry)| {
            let rank = Rank {
                slow: entry.is_slow(now),
                owner: weight(&entry.owner),
                size: class(entry.bytes),
                age: now.saturating_duration_since(entry.since),
            };
            (Reverse(rank), *id, entry.frees(resource))
        });
        let mut ranked: Vec<_> = ranked
            .filter(|(rank, _, _)| newcomer.is_none_or(|newcomer| rank.0 > newcomer))
            .collect();
        ranked.sort_unstable();
        ranked
    }
}
