//! Chooses the engine that loads a new replica.
//!
//! The engine with the shortest load time is chosen, which depends on where it reads the checkpoint
//! from. Of equal engines, the one with fewer loads in progress is chosen, then the one with the
//! least memory left, so that large free blocks remain for large models.

use std::time::Duration;

use crate::engine::{LoadReport, ReplicaReport};
use crate::ids::{ModelId, VersionId};
use crate::schema::engine::{ReplicaState, Source};
use crate::units::Bytes;

/// Speed of a load from the engine's memory, relative to one from the weight store.
const MEMORY_FACTOR: f64 = 16.0;
/// Speed of a load from the engine's disk, relative to one from the weight store.
const DISK_FACTOR: f64 = 4.0;

/// How an engine is chosen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Placement {
    /// Shortest load time, then fewest loads in progress, then least memory left.
    #[default]
    Soonest,
    /// The first engine with enough memory.
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

/// Where an engine would read a model's checkpoint from; the fastest place if there are several.
pub fn checkpoint_origin(report: &LoadReport, model: &ModelId, version: &VersionId) -> Origin {
    let origins = report
        .checkpoints
        .iter()
        .filter(|c| &c.model == model && &c.version == version)
        .map(|c| match c.source {
            Source::Memory => Origin::Memory,
            Source::Disk => Origin::Disk,
        });
    origins.min().unwrap_or(Origin::Remote)
}

/// Time to load `weights`, where `bandwidth` is the bytes a second that one load reads from the
/// weight store.
pub fn load_time(from: Origin, weights: Bytes, bandwidth: Bytes) -> Duration {
    let factor = match from {
        Origin::Memory => MEMORY_FACTOR,
        Origin::Disk => DISK_FACTOR,
        Origin::Remote => 1.0,
    };
    let seconds = weights.0 as f64 / (bandwidth.0.max(1) as f64 * factor);
    Duration::from_secs_f64(seconds)
}

/// An engine with enough free memory for a replica.
#[derive(Clone, Debug)]
pub struct Candidate<T> {
    /// The engine.
    pub engine: T,
    /// Where it would read the checkpoint from.
    pub origin: Origin,
    /// Time that the load would take.
    pub time: Duration,
    /// Number of loads in progress on the engine.
    pub loading: usize,
    /// Memory left after the load.
    pub memory_left: Bytes,
}

/// The best of the candidates; `None` if there are none.
pub fn choose_engine<T>(policy: Placement, candidates: Vec<Candidate<T>>) -> Option<Candidate<T>> {
    let mut candidates = candidates.into_iter();
    match policy {
        Placement::Any => candidates.next(),
        Placement::Soonest => candidates.min_by_key(|c| (c.time, c.loading, c.memory_left)),
    }
}

/// Number of replicas that a report shows as loading.
pub fn count_loading(report: &LoadReport) -> usize {
    let loading = |r: &&ReplicaReport| r.state == ReplicaState::Loading;
    report.replicas.iter().filter(loading).count()
}
