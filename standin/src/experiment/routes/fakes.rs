//! Engines and what they report, for the experiment on routes.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use basilgw::engine::{LoadReport, ReplicaReport};
use basilgw::ids::Generation;
use basilgw::schema::engine::{CacheEvent, ReplicaState};
use basilgw::store::{Instance, InstanceKind, InstanceState};
use basilgw::units::Bytes;

const CACHED_PREFIXES: usize = 40;
const PAST_SNAPSHOTS: usize = 64;

/// A request.
#[derive(Clone, Copy, Debug)]
pub struct Job {
    pub vm: usize,
    pub arrived: Instant,
    pub service: Duration,
    pub prefix: u64,
}

/// An engine that serves some requests at once and the others in order.
#[derive(Debug, Default)]
pub struct Engine {
    pub running: usize,
    pub queue: VecDeque<Job>,
    cached: VecDeque<u64>,
    /// Load at past moments.
    past: VecDeque<(Instant, u32)>,
    pub events: Vec<(Instant, CacheEvent)>,
}

impl Engine {
    fn load(&self) -> u32 {
        (self.running + self.queue.len()) as u32
    }

    /// Its load at a past moment.
    pub fn load_at(&self, at: Instant) -> u32 {
        let past = self.past.iter().rev().find(|(moment, _)| *moment <= at);
        past.map_or(0, |(_, load)| *load)
    }

    /// Keeps the present load for later reports.
    pub fn snapshot(&mut self, now: Instant) {
        let load = self.load();
        self.past.push_back((now, load));
        if self.past.len() > PAST_SNAPSHOTS {
            self.past.pop_front();
        }
    }

    /// Uses a prefix; whether it was cached.
    pub fn touch(&mut self, prefix: u64, now: Instant) -> bool {
        let held = self.cached.iter().position(|&other| other == prefix);
        if let Some(held) = held {
            self.cached.remove(held);
        } else {
            self.publish(prefix, true, now);
        }
        self.cached.push_back(prefix);
        if self.cached.len() > CACHED_PREFIXES
            && let Some(dropped) = self.cached.pop_front()
        {
            self.publish(dropped, false, now);
        }
        held.is_some()
    }

    fn publish(&mut self, prefix: u64, stored: bool, now: Instant) {
        let Ok(replica) = "r".parse() else {
            return;
        };
        let sequence = self.events.len() as u64;
        let event = CacheEvent {
            prefix,
            replica,
            sequence,
            stored,
        };
        self.events.push((now, event));
    }
}

/// An engine as the platform lists it.
pub fn instance(number: usize) -> Option<Instance> {
    Some(Instance {
        address: "127.0.0.1:1".into(),
        centre: "dc-a".parse().ok()?,
        fenced: true,
        generation: Generation(1),
        kind: InstanceKind::Engine,
        memory: None,
        service: None,
        state: InstanceState::Live,
        vm: format!("e{number}").parse().ok()?,
    })
}

/// A load report.
pub fn report(running: u32, age: Duration) -> Option<LoadReport> {
    let replica = ReplicaReport {
        adapters: Vec::new(),
        bytes: Bytes(1),
        model: "m".parse().ok()?,
        queued: 0,
        replica: "r".parse().ok()?,
        running,
        state: ReplicaState::Ready,
        version: "v".parse().ok()?,
    };
    Some(LoadReport {
        age: age.as_millis() as u64,
        checkpoints: Vec::new(),
        generation: Generation(1),
        leaving: false,
        memory: Bytes(1),
        replicas: vec![replica],
        used: Bytes(1),
    })
}
