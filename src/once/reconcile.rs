//! Writes the outcome of an attempt to its record.
//!
//! An outcome is written only if the record belongs to the same attempt. If the response to a write
//! is lost, or the record has another version than expected, the record is read to find out whether
//! the outcome is already written.

use std::time::Duration;

use super::AttemptOutcome;
use super::pending::Waiting;
use super::record::{Record, RecordState, StoredResponse};
use crate::store::{ObjectStore, StoreError};

/// Maximum number of attempts to create or change a record.
pub const MAX_TRIES: usize = 4;
/// Pause between two such attempts.
pub const READ_PAUSE: Duration = Duration::from_millis(20);

/// Result of writing an outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Settled {
    /// The record contains the outcome, or belongs to another attempt and needs no change.
    Written,
    /// There is no record.
    Absent,
}

/// Writes an outcome to the version of the record that the attempt created. If that fails because
/// of a conflict or a lost response, reads the record and tries again.
pub async fn settle_at(
    store: &dyn ObjectStore,
    record: Record,
    waiting: &Waiting,
) -> Result<Settled, StoreError> {
    match write(store, record, waiting).await {
        Ok(()) => Ok(Settled::Written),
        Err(StoreError::Conflict(_) | StoreError::Unknown) => settle(store, waiting).await,
        Err(error) => Err(error),
    }
}

/// Reads the record and writes the outcome if the record belongs to the attempt.
pub async fn settle(store: &dyn ObjectStore, waiting: &Waiting) -> Result<Settled, StoreError> {
    for _ in 0..MAX_TRIES {
        let Some(found) = store.get(&waiting.object).await? else {
            return Ok(Settled::Absent);
        };
        // The read returned an older version than the attempt created, maybe of another attempt.
        if found.version < waiting.version {
            return Err(StoreError::Unknown);
        }
        let record = Record::decode(&found.value).ok_or(StoreError::Malformed)?;
        if record.attempt != waiting.attempt {
            return Ok(Settled::Written);
        }
        if state_of(&waiting.end).as_ref() == Some(&record.state) {
            return Ok(Settled::Written);
        }
        let present = Waiting {
            version: found.version,
            ..waiting.clone()
        };
        match write(store, record, &present).await {
            Err(StoreError::Conflict(_)) => tokio::time::sleep(READ_PAUSE).await,
            Err(error) => return Err(error),
            Ok(()) => return Ok(Settled::Written),
        }
    }
    Err(StoreError::Unknown)
}

async fn write(
    store: &dyn ObjectStore,
    mut record: Record,
    waiting: &Waiting,
) -> Result<(), StoreError> {
    let Some(state) = state_of(&waiting.end) else {
        return store.delete(&waiting.object, waiting.version).await;
    };
    record.state = state;
    let value = record.encode().ok_or(StoreError::Malformed)?;
    let put = store.put(&waiting.object, waiting.version, value);
    put.await.map(|_| ())
}

/// The record state for an outcome; `None` if the record is to be deleted.
fn state_of(end: &AttemptOutcome) -> Option<RecordState> {
    match end {
        AttemptOutcome::NotRun => None,
        AttemptOutcome::Ran(answer) => Some(RecordState::Ran(StoredResponse::new(answer))),
        AttemptOutcome::Unknown => Some(RecordState::Unknown),
    }
}
