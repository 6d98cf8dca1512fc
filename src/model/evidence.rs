//! When a withdrawn replica or adapter surely cannot come back.
//!
//! A load order is sent at most one order life after a write that left its intent loading, and
//! takes effect at most one order life later. So two lives after an intent was first seen past
//! loading, a report without the replica proves it gone. A fenced engine that accepted the unload
//! refuses every older order, so there the next report is enough. Times are this process's own: a
//! successor waits from its own first sight, never from a record's wall time.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::decided::{AdapterState, Decided, IntentState, Reserved};
use crate::engine::LoadReport;
use crate::ids::{AdapterId, Epoch, Generation, ReplicaId, UpstreamId};

const LIVES: u32 = 2;

/// A load report, with the latest instant at which it was certainly not yet true.
#[derive(Clone, Debug)]
pub struct Seen {
    /// The report.
    pub report: LoadReport,
    /// When it was taken, at the earliest.
    pub taken: Instant,
}

impl Seen {
    /// A report asked for at `asked`.
    pub fn new(report: LoadReport, asked: Instant) -> Self {
        let age = Duration::from_millis(report.age);
        let taken = asked.checked_sub(age).unwrap_or(asked);
        Self { report, taken }
    }

    /// Whether the replica is in the report.
    pub fn has(&self, replica: &ReplicaId) -> bool {
        self.report.replicas.iter().any(|r| &r.replica == replica)
    }

    /// Whether the adapter is on the replica in the report.
    pub fn has_adapter(&self, replica: &ReplicaId, adapter: &AdapterId) -> bool {
        let found = self.report.replicas.iter().find(|r| &r.replica == replica);
        found.is_some_and(|r| r.adapters.contains(adapter))
    }
}

#[derive(Clone, Copy, Debug)]
struct Accepted {
    generation: Generation,
    at: Instant,
}

/// What this process saw, and since when.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    quiet: BTreeMap<ReplicaId, Instant>,
    accepted: BTreeMap<ReplicaId, Accepted>,
    adapters: BTreeMap<(ReplicaId, AdapterId), (Epoch, Instant)>,
    orphans: BTreeMap<(UpstreamId, ReplicaId), Instant>,
    ordered: BTreeMap<ReplicaId, Instant>,
    attached: BTreeMap<(ReplicaId, AdapterId), Instant>,
    unlisted: BTreeMap<UpstreamId, Instant>,
}

impl Evidence {
    /// Notes a reading of a model's object that ended at `now`.
    pub fn see_decided(&mut self, decided: &Decided, now: Instant) {
        for (replica, intent) in &decided.replicas {
            self.ordered.entry(replica.clone()).or_insert(now);
            if intent.state != IntentState::Loading {
                self.quiet.entry(replica.clone()).or_insert(now);
            }
        }
    }

    /// Notes a reading of an engine's object that ended at `now`; `known` holds the replicas that
    /// have an intent.
    pub fn see_reserved<F>(
        &mut self,
        engine: &UpstreamId,
        reserved: &Reserved,
        known: F,
        now: Instant,
    ) where
        F: Fn(&ReplicaId) -> bool,
    {
        for (replica, hold) in &reserved.holds {
            let orphan = (engine.clone(), replica.clone());
            if known(replica) {
                self.orphans.remove(&orphan);
            } else {
                self.orphans.entry(orphan).or_insert(now);
            }
            for (adapter, held) in &hold.adapters {
                let key = (replica.clone(), adapter.clone());
                if held.state == AdapterState::Attached {
                    self.adapters.remove(&key);
                    continue;
                }
                let since = self.adapters.entry(key).or_insert((held.epoch, now));
                if since.0 != held.epoch {
                    *since = (held.epoch, now);
                }
            }
        }
    }

    /// Notes which engines the platform lists.
    pub fn see_listed<F>(&mut self, engines: &[UpstreamId], listed: F, now: Instant)
    where
        F: Fn(&UpstreamId) -> bool,
    {
        for engine in engines {
            if listed(engine) {
                self.unlisted.remove(engine);
            } else {
                self.unlisted.entry(engine.clone()).or_insert(now);
            }
        }
    }

    /// Notes that an order for a replica was sent.
    pub fn sent(&mut self, replica: &ReplicaId, now: Instant) {
        self.ordered.insert(replica.clone(), now);
    }

    /// When an order for a replica was last sent, or its intent first seen.
    pub fn last_order(&self, replica: &ReplicaId) -> Option<Instant> {
        self.ordered.get(replica).copied()
    }

    /// Notes that an order for an adapter was sent.
    pub fn sent_adapter(&mut self, replica: &ReplicaId, adapter: &AdapterId, now: Instant) {
        let key = (replica.clone(), adapter.clone());
        self.attached.insert(key, now);
    }

    /// When an order for an adapter was last sent.
    pub fn last_adapter(&self, replica: &ReplicaId, adapter: &AdapterId) -> Option<Instant> {
        let key = (replica.clone(), adapter.clone());
        self.attached.get(&key).copied()
    }

    /// Notes that a fenced engine accepted an unload; the answer came at `now`.
    pub fn unload_accepted(&mut self, replica: &ReplicaId, generation: Generation, now: Instant) {
        let accepted = Accepted {
            generation,
            at: now,
        };
        self.accepted.insert(replica.clone(), accepted);
    }

    /// Whether a withdrawn replica is proved gone by its engine's report.
    pub fn gone(&self, replica: &ReplicaId, seen: &Seen, life: Duration) -> bool {
        if seen.has(replica) {
            return false;
        }
        let quiet = self.quiet.get(replica);
        if quiet.is_some_and(|&since| since + life * LIVES <= seen.taken) {
            return true;
        }
        self.accepted
            .get(replica)
            .is_some_and(|a| a.at < seen.taken && a.generation == seen.report.generation)
    }

    /// Whether an engine has left the platform's list for so long that nothing of it is left.
    pub fn engine_gone(&self, engine: &UpstreamId, life: Duration, now: Instant) -> bool {
        let since = self.unlisted.get(engine);
        since.is_some_and(|&since| since + life * LIVES <= now)
    }

    /// The epoch since which a detached adapter is withdrawn, if it is proved gone.
    pub fn adapter_gone(
        &self,
        replica: &ReplicaId,
        adapter: &AdapterId,
        seen: &Seen,
        life: Duration,
    ) -> Option<Epoch> {
        let key = (replica.clone(), adapter.clone());
        let (epoch, since) = self.adapters.get(&key)?;
        let over = *since + life * LIVES <= seen.taken;
        (over && !seen.has_adapter(replica, adapter)).then_some(*epoch)
    }

    /// Whether a hold has had no intent for at least `bound`.
    pub fn orphaned(
        &self,
        engine: &UpstreamId,
        replica: &ReplicaId,
        bound: Duration,
        now: Instant,
    ) -> bool {
        let since = self.orphans.get(&(engine.clone(), replica.clone()));
        since.is_some_and(|&since| since + bound <= now)
    }

    /// Forgets all but the replicas for which `keep` holds.
    pub fn retain<F>(&mut self, keep: F)
    where
        F: Fn(&ReplicaId) -> bool,
    {
        self.quiet.retain(|replica, _| keep(replica));
        self.accepted.retain(|replica, _| keep(replica));
        self.ordered.retain(|replica, _| keep(replica));
        self.adapters.retain(|(replica, _), _| keep(replica));
        self.attached.retain(|(replica, _), _| keep(replica));
        self.orphans.retain(|(_, replica), _| keep(replica));
    }
}
