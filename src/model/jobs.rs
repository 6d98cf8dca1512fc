//! Network calls that run as jobs beside the loader's loop.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Instant;

use futures_util::stream::{self, StreamExt};

use super::command::Command;
use super::driver::{WakeClient, WakeError};
use super::executor::{ExecuteError, Executor, upstream_id};
use super::intents::{Intents, Reservations, engine_key, model_key};
use crate::engine::{EngineControl, EngineError, LoadReport};
use crate::ids::{ModelId, UpstreamId, Version, VmId};
use crate::schema::peer::{WakeRequest, WakeResponse};
use crate::store::{Instance, StoreError};

/// Most objects read from the store at once.
const READS_AT_ONCE: usize = 16;

/// Objects that were read, each with its version.
#[derive(Debug, Default)]
pub(super) struct ObjectsRead {
    pub(super) models: Vec<(ModelId, Version, Intents)>,
    pub(super) engines: Vec<(UpstreamId, Version, Reservations)>,
    pub(super) complete: bool,
}

/// The result of a job.
#[derive(Debug)]
pub(super) enum JobResult {
    Report {
        engine: UpstreamId,
        requested: Instant,
        result: Result<LoadReport, EngineError>,
    },
    Scan(ObjectsRead),
    Batch {
        model: ModelId,
        results: Vec<(Command, Result<(), ExecuteError>)>,
        read: ObjectsRead,
    },
    Wake {
        model: ModelId,
        result: Result<WakeResponse, WakeError>,
    },
}

pub(super) async fn read_report(
    engines: Arc<dyn EngineControl>,
    instance: Instance,
    engine: UpstreamId,
    requested: Instant,
) -> JobResult {
    let result = engines.report(&instance).await;
    JobResult::Report {
        engine,
        requested,
        result,
    }
}

pub(super) async fn send_wake(
    client: Arc<dyn WakeClient>,
    leader: VmId,
    wake: WakeRequest,
) -> JobResult {
    let model = wake.model.clone();
    let result = client.send_wake(&leader, wake).await;
    JobResult::Wake { model, result }
}

/// Reads the stored intents of models and reservations of engines, several at a time.
pub(super) async fn read_objects(
    executor: &Executor,
    models: BTreeSet<ModelId>,
    engines: BTreeSet<UpstreamId>,
) -> ObjectsRead {
    let models = stream::iter(models)
        .map(|model| async move {
            let key = model_key(&model)?;
            let (version, value) = executor.read(&key, Version(0)).await?;
            Ok::<_, ExecuteError>((model, version, value))
        })
        .buffer_unordered(READS_AT_ONCE)
        .collect::<Vec<_>>()
        .await;
    let engines = stream::iter(engines)
        .map(|engine| async move {
            let key = engine_key(&engine)?;
            let (version, value) = executor.read(&key, Version(0)).await?;
            Ok::<_, ExecuteError>((engine, version, value))
        })
        .buffer_unordered(READS_AT_ONCE)
        .collect::<Vec<_>>()
        .await;
    let complete = models.iter().all(is_conclusive) && engines.iter().all(is_conclusive);
    ObjectsRead {
        models: models.into_iter().filter_map(Result::ok).collect(),
        engines: engines.into_iter().filter_map(Result::ok).collect(),
        complete,
    }
}

/// Whether a read need not be repeated. An object that cannot be parsed counts as read, so that it
/// does not keep other objects from use.
fn is_conclusive<T>(read: &Result<T, ExecuteError>) -> bool {
    matches!(
        read,
        Ok(_) | Err(ExecuteError::Store(StoreError::Malformed))
    )
}

/// Executes a model's commands in order, up to the first failure, and reads the changed objects.
pub(super) async fn run_batch(
    executor: Executor,
    model: ModelId,
    batch: Vec<Command>,
) -> JobResult {
    let mut engines = BTreeSet::new();
    let mut results = Vec::new();
    let mut commands = batch.into_iter();
    for command in commands.by_ref() {
        engines.extend(target_engine(&command));
        let result = command.run(&executor).await;
        let failed = result.is_err();
        results.push((command, result));
        if failed {
            break;
        }
    }
    for skipped in commands {
        results.push((skipped, Err(ExecuteError::Contended)));
    }
    let read = read_objects(&executor, BTreeSet::from([model.clone()]), engines).await;
    JobResult::Batch {
        model,
        results,
        read,
    }
}

fn target_engine(command: &Command) -> Option<UpstreamId> {
    match command {
        Command::Load { engine, .. }
        | Command::Renew { engine, .. }
        | Command::Unload { engine, .. }
        | Command::Expel { engine, .. }
        | Command::Attach { engine, .. }
        | Command::Detach { engine, .. } => upstream_id(engine).ok(),
        Command::Release { engine, .. }
        | Command::Sweep { engine, .. }
        | Command::DropAdapter { engine, .. } => Some(engine.clone()),
        Command::Ready { .. } | Command::Withdraw { .. } => None,
    }
}
