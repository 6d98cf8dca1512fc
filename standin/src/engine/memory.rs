//! What an engine holds: replicas, adapters and checkpoints, within its memory.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use basilgw::ids::{AdapterId, Epoch, Generation, ModelId, ReplicaId, VersionId};
use basilgw::schema::engine::{
    Checkpoint, LoadReport, Order, OrderKind, OrderStatus, ReplicaReport, ReplicaState, Source,
};
use basilgw::units::Bytes;
use serde::{Deserialize, Serialize};

/// How long loads take.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LoadTimes {
    /// From memory, in milliseconds.
    pub memory: u64,
    /// From disk, in milliseconds.
    pub disk: u64,
    /// From the weight store, in milliseconds.
    pub remote: u64,
    /// An adapter, in milliseconds.
    pub adapter: u64,
}

impl Default for LoadTimes {
    fn default() -> Self {
        Self {
            memory: 20,
            disk: 100,
            remote: 400,
            adapter: 8,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Attached {
    bytes: Bytes,
    ready: Instant,
}

#[derive(Clone, Debug)]
struct Held {
    model: ModelId,
    version: VersionId,
    bytes: Bytes,
    ready: Instant,
    adapters: BTreeMap<AdapterId, Attached>,
    running: u32,
}

impl Held {
    fn size(&self) -> Bytes {
        let adapters = self.adapters.values().map(|adapter| adapter.bytes);
        self.bytes + adapters.sum()
    }
}

/// An engine's memory.
#[derive(Debug)]
pub struct Memory {
    total: Bytes,
    generation: Generation,
    fenced: bool,
    times: LoadTimes,
    fences: BTreeMap<ModelId, Epoch>,
    replicas: BTreeMap<ReplicaId, Held>,
    checkpoints: BTreeMap<(ModelId, VersionId), Source>,
    /// Orders refused because they did not fit.
    refused: u64,
}

impl Memory {
    /// Empty memory of a size.
    pub fn new(total: Bytes, generation: Generation, fenced: bool, times: LoadTimes) -> Self {
        Self {
            total,
            generation,
            fenced,
            times,
            fences: BTreeMap::new(),
            replicas: BTreeMap::new(),
            checkpoints: BTreeMap::new(),
            refused: 0,
        }
    }

    /// Its size.
    pub fn total(&self) -> Bytes {
        self.total
    }

    /// What is in use.
    pub fn used(&self) -> Bytes {
        self.replicas.values().map(Held::size).sum()
    }

    /// Orders refused because they did not fit.
    pub fn refused(&self) -> u64 {
        self.refused
    }

    /// Changes how long loads take.
    pub fn set_times(&mut self, times: LoadTimes) {
        self.times = times;
    }

    /// Puts a checkpoint where it will be loaded from.
    pub fn store(&mut self, checkpoint: Checkpoint) {
        let name = (checkpoint.model, checkpoint.version);
        self.checkpoints.insert(name, checkpoint.source);
    }

    /// Carries an order out.
    pub fn order(&mut self, order: &Order, now: Instant) -> OrderStatus {
        let fence = self.fences.entry(order.model.clone()).or_default();
        if self.fenced && order.fence < *fence {
            return OrderStatus::Stale;
        }
        *fence = order.fence.max(*fence);
        match order.kind {
            OrderKind::Load => self.load(order, now),
            OrderKind::Unload => self.unload(order),
            OrderKind::Attach => self.attach(order, now),
            OrderKind::Detach => self.detach(order),
        }
    }

    fn fits(&mut self, bytes: Bytes) -> bool {
        let fits = self.used() + bytes <= self.total;
        self.refused += u64::from(!fits);
        fits
    }

    fn load(&mut self, order: &Order, now: Instant) -> OrderStatus {
        if self.replicas.contains_key(&order.replica) {
            return OrderStatus::Accepted;
        }
        if !self.fits(order.bytes) {
            return OrderStatus::Full;
        }
        let name = (order.model.clone(), order.version.clone());
        let time = match self.checkpoints.get(&name) {
            Some(Source::Memory) => self.times.memory,
            Some(Source::Disk) => self.times.disk,
            None => self.times.remote,
        };
        self.checkpoints.insert(name, Source::Memory);
        let held = Held {
            model: order.model.clone(),
            version: order.version.clone(),
            bytes: order.bytes,
            ready: now + Duration::from_millis(time),
            adapters: BTreeMap::new(),
            running: 0,
        };
        self.replicas.insert(order.replica.clone(), held);
        OrderStatus::Accepted
    }

    fn unload(&mut self, order: &Order) -> OrderStatus {
        if let Some(held) = self.replicas.remove(&order.replica) {
            self.checkpoints
                .insert((held.model, held.version), Source::Disk);
        }
        OrderStatus::Accepted
    }

    fn attach(&mut self, order: &Order, now: Instant) -> OrderStatus {
        let Some(adapter) = order.adapter.clone() else {
            return OrderStatus::Unknown;
        };
        let Some(held) = self.replicas.get(&order.replica) else {
            return OrderStatus::Unknown;
        };
        if held.adapters.contains_key(&adapter) {
            return OrderStatus::Accepted;
        }
        if !self.fits(order.bytes) {
            return OrderStatus::Full;
        }
        let attached = Attached {
            bytes: order.bytes,
            ready: now + Duration::from_millis(self.times.adapter),
        };
        if let Some(held) = self.replicas.get_mut(&order.replica) {
            held.adapters.insert(adapter, attached);
        }
        OrderStatus::Accepted
    }

    fn detach(&mut self, order: &Order) -> OrderStatus {
        if let (Some(held), Some(adapter)) = (self.replicas.get_mut(&order.replica), &order.adapter)
        {
            held.adapters.remove(adapter);
        }
        OrderStatus::Accepted
    }

    /// Whether a replica is loaded, ready or not.
    pub fn holds(&self, replica: &ReplicaId) -> bool {
        self.replicas.contains_key(replica)
    }

    /// Whether a replica of `model`, with `adapter` where one is named, can serve; counts a
    /// request to it where it can. Without a replica named, any of the model's will do.
    pub fn start(
        &mut self,
        replica: Option<&ReplicaId>,
        model: &ModelId,
        adapter: Option<&AdapterId>,
        now: Instant,
    ) -> Option<ReplicaId> {
        let serves = |held: &Held| {
            let has = |name| held.adapters.get(name).is_some_and(|a| a.ready <= now);
            held.model == *model && held.ready <= now && adapter.is_none_or(has)
        };
        let named = |id: &ReplicaId| replica.is_none_or(|name| name == id);
        let mut replicas = self.replicas.iter_mut();
        let (id, held) = replicas.find(|(id, held)| named(id) && serves(held))?;
        held.running += 1;
        Some(id.clone())
    }

    /// Ends a request.
    pub fn finish(&mut self, replica: &ReplicaId) {
        if let Some(held) = self.replicas.get_mut(replica) {
            held.running = held.running.saturating_sub(1);
        }
    }

    /// What the engine reports, without lag.
    pub fn report(&self, leaving: bool, now: Instant) -> LoadReport {
        let replicas = self
            .replicas
            .iter()
            .map(|(id, held)| replica(id, held, now));
        let checkpoints = self.checkpoints.iter().map(|((model, version), source)| {
            let (model, version, source) = (model.clone(), version.clone(), *source);
            Checkpoint {
                model,
                version,
                source,
            }
        });
        LoadReport {
            age: 0,
            memory: self.total,
            used: self.used(),
            generation: self.generation,
            leaving,
            replicas: replicas.collect(),
            checkpoints: checkpoints.collect(),
        }
    }
}

fn replica(id: &ReplicaId, held: &Held, now: Instant) -> ReplicaReport {
    let ready = held.adapters.iter().filter(|(_, a)| a.ready <= now);
    let state = if held.ready <= now {
        ReplicaState::Ready
    } else {
        ReplicaState::Loading
    };
    ReplicaReport {
        replica: id.clone(),
        model: held.model.clone(),
        version: held.version.clone(),
        state,
        bytes: held.size(),
        adapters: ready.map(|(name, _)| name.clone()).collect(),
        running: held.running,
        queued: 0,
    }
}
