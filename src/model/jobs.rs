//! Slow calls that run beside the loader's loop.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Instant;

use futures_util::stream::{self, StreamExt};

use super::command::Command;
use super::decided::{Decided, Reserved, engine_key, model_key};
use super::flow::{FlowError, Flows, upstream};
use super::shell::{WakeError, WakeLink};
use crate::engine::{EngineControl, EngineError, LoadReport};
use crate::ids::{ModelId, UpstreamId, Version, VmId};
use crate::schema::peer::{WakeRequest, WakeResponse};
use crate::store::{Instance, StoreError};

const READS_AT_ONCE: usize = 16;

/// Objects as read.
#[derive(Debug, Default)]
pub(super) struct Read {
    pub(super) models: Vec<(ModelId, Version, Decided)>,
    pub(super) engines: Vec<(UpstreamId, Version, Reserved)>,
    pub(super) whole: bool,
}

/// The end of a job.
#[derive(Debug)]
pub(super) enum Done {
    Report {
        engine: UpstreamId,
        asked: Instant,
        result: Result<LoadReport, EngineError>,
    },
    Scan(Read),
    Batch {
        model: ModelId,
        results: Vec<(Command, Result<(), FlowError>)>,
        read: Read,
    },
    Woken {
        model: ModelId,
        result: Result<WakeResponse, WakeError>,
    },
}

pub(super) async fn read_report(
    engines: Arc<dyn EngineControl>,
    instance: Instance,
    engine: UpstreamId,
    asked: Instant,
) -> Done {
    let result = engines.report(&instance).await;
    Done::Report {
        engine,
        asked,
        result,
    }
}

pub(super) async fn wake(link: Arc<dyn WakeLink>, owner: VmId, ask: WakeRequest) -> Done {
    let model = ask.model.clone();
    let result = link.wake(&owner, ask).await;
    Done::Woken { model, result }
}

/// Reads objects, a few at once.
pub(super) async fn read_objects(
    flows: &Flows,
    models: BTreeSet<ModelId>,
    engines: BTreeSet<UpstreamId>,
) -> Read {
    let models = stream::iter(models)
        .map(|model| async move {
            let key = model_key(&model)?;
            let (version, value) = flows.read(&key, Version(0)).await?;
            Ok::<_, FlowError>((model, version, value))
        })
        .buffer_unordered(READS_AT_ONCE)
        .collect::<Vec<_>>()
        .await;
    let engines = stream::iter(engines)
        .map(|engine| async move {
            let key = engine_key(&engine)?;
            let (version, value) = flows.read(&key, Version(0)).await?;
            Ok::<_, FlowError>((engine, version, value))
        })
        .buffer_unordered(READS_AT_ONCE)
        .collect::<Vec<_>>()
        .await;
    let whole = models.iter().all(is_settled) && engines.iter().all(is_settled);
    Read {
        models: models.into_iter().filter_map(Result::ok).collect(),
        engines: engines.into_iter().filter_map(Result::ok).collect(),
        whole,
    }
}

/// Whether reading again would change nothing: an unreadable object keeps only itself from use.
fn is_settled<T>(read: &Result<T, FlowError>) -> bool {
    matches!(read, Ok(_) | Err(FlowError::Store(StoreError::Malformed)))
}

/// Carries a model's commands out in order, up to the first failure, and reads what they changed.
pub(super) async fn run_batch(flows: Flows, model: ModelId, batch: Vec<Command>) -> Done {
    let mut engines = BTreeSet::new();
    let mut results = Vec::new();
    let mut commands = batch.into_iter();
    for command in commands.by_ref() {
        engines.extend(engine_of(&command));
        let result = command.run(&flows).await;
        let failed = result.is_err();
        results.push((command, result));
        if failed {
            break;
        }
    }
    for skipped in commands {
        results.push((skipped, Err(FlowError::Contended)));
    }
    let read = read_objects(&flows, BTreeSet::from([model.clone()]), engines).await;
    Done::Batch {
        model,
        results,
        read,
    }
}

fn engine_of(command: &Command) -> Option<UpstreamId> {
    match command {
        Command::Load { engine, .. }
        | Command::Renew { engine, .. }
        | Command::Unload { engine, .. }
        | Command::Expel { engine, .. }
        | Command::Attach { engine, .. }
        | Command::Detach { engine, .. } => upstream(engine).ok(),
        Command::Release { engine, .. }
        | Command::Sweep { engine, .. }
        | Command::DropAdapter { engine, .. } => Some(engine.clone()),
        Command::Ready { .. } | Command::Withdraw { .. } => None,
    }
}
