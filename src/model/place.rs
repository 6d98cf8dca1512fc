//! Where a replica is loaded.
//!
//! The engine that has it ready soonest: by where the checkpoint is, then by loads already under
//! way there, then by the closest fit, which leaves large gaps for large models.

use std::time::Duration;

use crate::engine::{LoadReport, ReplicaReport};
use crate::ids::{ModelId, VersionId};
use crate::schema::engine::{ReplicaState, Source};
use crate::units::Bytes;

const MEMORY_FACTOR: f64 = 16.0;
const DISK_FACTOR: f64 = 4.0;

/// How an engine is chosen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Placement {
    /// Soonest ready, then closest fit.
    #[default]
    Soonest,
    /// Any engine with room.
    Any,
}

/// Where a checkpoint is read from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Origin {
    /// The engine's memory.
    Memory,
    /// The engine's disk.
    Disk,
    /// The weight store.
    Remote,
}

/// Where an engine would read a model from.
pub fn source(report: &LoadReport, model: &ModelId, version: &VersionId) -> Origin {
    let held = report
        .checkpoints
        .iter()
        .filter(|c| &c.model == model && &c.version == version)
        .map(|c| match c.source {
            Source::Memory => Origin::Memory,
            Source::Disk => Origin::Disk,
        });
    held.min().unwrap_or(Origin::Remote)
}

/// Time to load `weights`, where `bandwidth` is what one load reads from the weight store.
pub fn load_time(from: Origin, weights: Bytes, bandwidth: Bytes) -> Duration {
    let factor = match from {
        Origin::Memory => MEMORY_FACTOR,
        Origin::Disk => DISK_FACTOR,
        Origin::Remote => 1.0,
    };
    let seconds = weights.0 as f64 / (bandwidth.0.max(1) as f64 * factor);
    Duration::from_secs_f64(seconds)
}

/// An engine with room.
#[derive(Clone, Debug)]
pub struct Candidate<T> {
    /// The engine.
    pub engine: T,
    /// Where it has the checkpoint.
    pub from: Origin,
    /// Time the load takes.
    pub time: Duration,
    /// Loads under way there.
    pub loading: usize,
    /// Memory left after the load.
    pub left: Bytes,
}

/// The best of the engines with room.
pub fn choose<T>(policy: Placement, candidates: Vec<Candidate<T>>) -> Option<Candidate<T>> {
    let mut candidates = candidates.into_iter();
    match policy {
        Placement::Any => candidates.next(),
        Placement::Soonest => candidates.min_by_key(|c| (c.time, c.loading, c.left)),
    }
}

/// Loads under way in a report.
pub fn loads_under_way(report: &LoadReport) -> usize {
    let loading = |r: &&ReplicaReport| r.state == ReplicaState::Loading;
    report.replicas.iter().filter(loading).count()
}
