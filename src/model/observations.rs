//! Tells when a withdrawn replica or adapter is certainly gone, so that its memory can be released.
//!
//! A load order is sent at most one order lifetime after a write that left its intent in the
//! loading state, and takes effect at most one order lifetime after it was sent. So once two
//! lifetimes have passed since this process first saw the intent in a later state, a report without
//! the replica proves that it is gone. A fenced engine that accepted the unload order refuses all
//! older orders, so there the next report is enough.
//!
//! All times are of this process's own clock. A new leader counts from when it first saw an object,
//! never from a wall-clock time in the object.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::intents::{AdapterState, IntentState, Intents, Reservations};
use crate::engine::LoadReport;
use crate::ids::{AdapterId, Epoch, Generation, ReplicaId, UpstreamId};

/// Order lifetimes after which no order from before a withdrawal can take effect: one until the
/// order is sent, one until it takes effect.
const LIVES: u32 = 2;

/// A load report with the earliest time at which the engine can have taken it.
#[derive(Clone, Debug)]
pub struct TimedReport {
    /// The report.
    pub report: LoadReport,
    /// Earliest time at which it can have been taken.
    pub taken: Instant,
}

impl TimedReport {
    /// A report that was requested at `asked`; the age that the engine gives is subtracted.
    pub fn new(report: LoadReport, asked: Instant) -> Self {
        let age = Duration::from_millis(report.age);
        let taken = asked.checked_sub(age).unwrap_or(asked);
        Self { report, taken }
    }

    /// Whether the report lists the replica.
    pub fn has_replica(&self, replica: &ReplicaId) -> bool {
        self.report.replicas.iter().any(|r| &r.replica == replica)
    }

    /// Whether the report lists the adapter on the replica.
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

/// What this process has observed of objects, orders and the platform's list, and since when.
#[derive(Clone, Debug, Default)]
pub struct Observations {
    quiet: BTreeMap<ReplicaId, Instant>,
    accepted: BTreeMap<ReplicaId, Accepted>,
    adapters: BTreeMap<(ReplicaId, AdapterId), (Epoch, Instant)>,
    orphans: BTreeMap<(UpstreamId, ReplicaId), Instant>,
    ordered: BTreeMap<ReplicaId, Instant>,
    attached: BTreeMap<(ReplicaId, AdapterId), Instant>,
    unlisted: BTreeMap<UpstreamId, Instant>,
}

impl Observations {
    /// Records a read of a model's object that ended at `now`.
    pub fn observe_intents(&mut self, decided: &Intents, now: Instant) {
        for (replica, intent) in &decided.replicas {
            self.ordered.entry(replica.clone()).or_insert(now);
            if intent.state != IntentState::Loading {
                self.quiet.entry(replica.clone()).or_insert(now);
            }
        }
    }

    /// Records a read of an engine's object that ended at `now`; `known` returns whether a replica
    /// has an intent.
    pub fn observe_reservations<F>(
        &mut self,
        engine: &UpstreamId,
        reserved: &Reservations,
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

    /// Records which of the engines the platform lists.
    pub fn observe_listed<F>(&mut self, engines: &[UpstreamId], listed: F, now: Instant)
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

    /// Records that an order for a replica was sent.
    pub fn order_sent(&mut self, replica: &ReplicaId, now: Instant) {
        self.ordered.insert(replica.clone(), now);
    }

    /// When this process last sent an order for a replica, or else first saw its intent.
    pub fn last_order(&self, replica: &ReplicaId) -> Option<Instant> {
        self.ordered.get(replica).copied()
    }

    /// Records that an order for an adapter was sent.
    pub fn adapter_order_sent(&mut self, replica: &ReplicaId, adapter: &AdapterId, now: Instant) {
        let key = (replica.clone(), adapter.clone());
        self.attached.insert(key, now);
    }

    /// When this process last sent an order for an adapter.
    pub fn last_adapter_order(&self, replica: &ReplicaId, adapter: &AdapterId) -> Option<Instant> {
        let key = (replica.clone(), adapter.clone());
        self.attached.get(&key).copied()
    }

    /// Records that a fenced engine accepted an unload order; its answer came at `now`.
    pub fn unload_accepted(&mut self, replica: &ReplicaId, generation: Generation, now: Instant) {
        let accepted = Accepted {
            generation,
            at: now,
        };
        self.accepted.insert(replica.clone(), accepted);
    }

    /// Whether the engine's report proves that a withdrawn replica is gone.
    pub fn is_replica_gone(&self, replica: &ReplicaId, seen: &TimedReport, life: Duration) -> bool {
        if seen.has_replica(replica) {
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

    /// Whether an engine has been off the platform's list for so long that none of its replicas can
    /// exist or be loaded any more.
    pub fn is_engine_gone(&self, engine: &UpstreamId, life: Duration, now: Instant) -> bool {
        let since = self.unlisted.get(engine);
        since.is_some_and(|&since| since + life * LIVES <= now)
    }

    /// The epoch at which an adapter was withdrawn, if the engine's report proves that it is gone.
    pub fn gone_adapter_epoch(
        &self,
        replica: &ReplicaId,
        adapter: &AdapterId,
        seen: &TimedReport,
        life: Duration,
    ) -> Option<Epoch> {
        let key = (replica.clone(), adapter.clone());
        let (epoch, since) = self.adapters.get(&key)?;
        let over = *since + life * LIVES <= seen.taken;
        (over && !seen.has_adapter(replica, adapter)).then_some(*epoch)
    }

    /// Whether a reservation has had no intent for at least `bound`.
    pub fn is_orphaned(
        &self,
        engine: &UpstreamId,
        replica: &ReplicaId,
        bound: Duration,
        now: Instant,
    ) -> bool {
        let since = self.orphans.get(&(engine.clone(), replica.clone()));
        since.is_some_and(|&since| since + bound <= now)
    }

    /// Drops all observations of replicas for which `keep` returns false.
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
