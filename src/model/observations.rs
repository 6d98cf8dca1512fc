//! Tells when a withdrawn replica or adapter is certainly gone, so that its memory can be released.
//!
//! A load order is sent at most one order lifetime after a write that left its intent in the
//! loading state, and takes effect at most one order lifetime after it was sent. So once two
//! lifetimes have passed since this process first saw the intent in a later state, a report without
//! the replica proves that it is gone. A fenced engine that accepted the unload order refuses all
//! older orders, so there the next report is enough. Withdrawn adapters are proved gone in the
//! first way, from when this process first saw the withdrawal.
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
const LIFETIMES: u32 = 2;

/// A load report with the earliest time at which the engine can have taken it.
#[derive(Clone, Debug)]
pub struct TimedReport {
    /// The report.
    pub report: LoadReport,
    /// Earliest time at which it can have been taken.
    pub taken: Instant,
}

impl TimedReport {
    /// A report that was requested at `requested`; the age that the engine gives is subtracted.
    pub fn new(report: LoadReport, requested: Instant) -> Self {
        let age = Duration::from_millis(report.age);
        let taken = requested.checked_sub(age).unwrap_or(requested);
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

/// An unload order that a fenced engine accepted, and when its response came.
#[derive(Clone, Copy, Debug)]
struct AcceptedUnload {
    generation: Generation,
    at: Instant,
}

/// What this process has observed of objects, orders and the platform's list, and since when.
#[derive(Clone, Debug, Default)]
pub struct Observations {
    /// When each intent was first seen in a state after loading.
    past_loading: BTreeMap<ReplicaId, Instant>,
    /// Unload orders that fenced engines accepted.
    accepted_unloads: BTreeMap<ReplicaId, AcceptedUnload>,
    /// Epoch of each withdrawn adapter, and when it was first seen with that epoch.
    detaching: BTreeMap<(ReplicaId, AdapterId), (Epoch, Instant)>,
    /// When each reservation was first seen without an intent.
    orphans: BTreeMap<(UpstreamId, ReplicaId), Instant>,
    /// When the last order for each replica was sent, or its intent first seen.
    orders: BTreeMap<ReplicaId, Instant>,
    /// When the last order for each adapter was sent.
    adapter_orders: BTreeMap<(ReplicaId, AdapterId), Instant>,
    /// When each engine was first seen missing from the platform's list.
    unlisted: BTreeMap<UpstreamId, Instant>,
}

impl Observations {
    /// Records a read of a model's object that ended at `now`.
    pub fn observe_intents(&mut self, intents: &Intents, now: Instant) {
        for (replica, intent) in &intents.replicas {
            self.orders.entry(replica.clone()).or_insert(now);
            if intent.state != IntentState::Loading {
                self.past_loading.entry(replica.clone()).or_insert(now);
            }
        }
    }

    /// Records a read of an engine's object that ended at `now`; `known` returns whether a replica
    /// has an intent.
    pub fn observe_reservations<F>(
        &mut self,
        engine: &UpstreamId,
        reservations: &Reservations,
        known: F,
        now: Instant,
    ) where
        F: Fn(&ReplicaId) -> bool,
    {
        for (replica, reservation) in &reservations.holds {
            let orphan = (engine.clone(), replica.clone());
            if known(replica) {
                self.orphans.remove(&orphan);
            } else {
                self.orphans.entry(orphan).or_insert(now);
            }
            for (adapter, entry) in &reservation.adapters {
                let key = (replica.clone(), adapter.clone());
                if entry.state == AdapterState::Attached {
                    self.detaching.remove(&key);
                    continue;
                }
                let since = self.detaching.entry(key).or_insert((entry.epoch, now));
                if since.0 != entry.epoch {
                    *since = (entry.epoch, now);
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
        self.orders.insert(replica.clone(), now);
    }

    /// When this process last sent an order for a replica, or else first saw its intent.
    pub fn last_order(&self, replica: &ReplicaId) -> Option<Instant> {
        self.orders.get(replica).copied()
    }

    /// Records that an order for an adapter was sent.
    pub fn adapter_order_sent(&mut self, replica: &ReplicaId, adapter: &AdapterId, now: Instant) {
        let key = (replica.clone(), adapter.clone());
        self.adapter_orders.insert(key, now);
    }

    /// When this process last sent an order for an adapter.
    pub fn last_adapter_order(&self, replica: &ReplicaId, adapter: &AdapterId) -> Option<Instant> {
        let key = (replica.clone(), adapter.clone());
        self.adapter_orders.get(&key).copied()
    }

    /// Records that a fenced engine accepted an unload order; the response came at `now`.
    pub fn unload_accepted(&mut self, replica: &ReplicaId, generation: Generation, now: Instant) {
        let accepted = AcceptedUnload {
            generation,
            at: now,
        };
        self.accepted_unloads.insert(replica.clone(), accepted);
    }

    /// Whether the engine's report proves that a withdrawn replica is gone.
    pub fn is_replica_gone(
        &self,
        replica: &ReplicaId,
        timed: &TimedReport,
        lifetime: Duration,
    ) -> bool {
        if timed.has_replica(replica) {
            return false;
        }
        let since = self.past_loading.get(replica);
        if since.is_some_and(|&since| since + lifetime * LIFETIMES <= timed.taken) {
            return true;
        }
        self.accepted_unloads
            .get(replica)
            .is_some_and(|a| a.at < timed.taken && a.generation == timed.report.generation)
    }

    /// Whether an engine has been off the platform's list for so long that none of its replicas can
    /// exist or be loaded any more.
    pub fn is_engine_gone(&self, engine: &UpstreamId, lifetime: Duration, now: Instant) -> bool {
        let since = self.unlisted.get(engine);
        since.is_some_and(|&since| since + lifetime * LIFETIMES <= now)
    }

    /// The epoch at which an adapter was withdrawn, if the engine's report proves that it is gone.
    pub fn gone_adapter_epoch(
        &self,
        replica: &ReplicaId,
        adapter: &AdapterId,
        timed: &TimedReport,
        lifetime: Duration,
    ) -> Option<Epoch> {
        let key = (replica.clone(), adapter.clone());
        let (epoch, since) = self.detaching.get(&key)?;
        let expired = *since + lifetime * LIFETIMES <= timed.taken;
        (expired && !timed.has_adapter(replica, adapter)).then_some(*epoch)
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
        self.past_loading.retain(|replica, _| keep(replica));
        self.accepted_unloads.retain(|replica, _| keep(replica));
        self.orders.retain(|replica, _| keep(replica));
        self.detaching.retain(|(replica, _), _| keep(replica));
        self.adapter_orders.retain(|(replica, _), _| keep(replica));
        self.orphans.retain(|(_, replica), _| keep(replica));
    }
}
