//! Writes the outcome of an attempt to its record.
//!
//! An outcome is written only if the record belongs to the same attempt. If the response to a write
//! is lost, or the record has another version than expected, the record is read to find out whether
//! the outcome is already written.

use std::time::Duration;

use super::AttemptOutcome;
use super::pending::PendingOutcome;
use super::record::{Record, RecordState, StoredResponse};
use crate::store::{ObjectStore, StoreError};

/// Maximum number of store writes for one creation or change of a record.
pub const MAX_WRITES: usize = 4;
/// Pause before such a write is retried.
pub const RETRY_PAUSE: Duration = Duration::from_millis(20);

/// Result of writing an outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reconciled {
    /// The record contains the outcome, or belongs to another attempt and needs no change.
    Written,
    /// There is no record.
    Absent,
}

/// Writes an outcome to the version of the record that the attempt created. If that fails because
/// of a conflict or a lost response, reads the record and tries again.
pub async fn write_outcome(
    store: &dyn ObjectStore,
    record: Record,
    pending: &PendingOutcome,
) -> Result<Reconciled, StoreError> {
    match write_state(store, record, pending).await {
        Ok(()) => Ok(Reconciled::Written),
        Err(StoreError::Conflict(_) | StoreError::Unknown) => reconcile(store, pending).await,
        Err(error) => Err(error),
    }
}

/// Reads the record and writes the outcome if the record belongs to the attempt.
pub async fn reconcile(
    store: &dyn ObjectStore,
    pending: &PendingOutcome,
) -> Result<Reconciled, StoreError> {
    for _ in 0..MAX_WRITES {
        let Some(object) = store.get(&pending.record_key).await? else {
            return Ok(Reconciled::Absent);
        };
        // The read returned an older version than the attempt created, maybe of another attempt.
        if object.version < pending.version {
            return Err(StoreError::Unknown);
        }
        let record = Record::decode(&object.value).ok_or(StoreError::Malformed)?;
        if record.attempt != pending.attempt {
            return Ok(Reconciled::Written);
        }
        if outcome_state(&pending.outcome).as_ref() == Some(&record.state) {
            return Ok(Reconciled::Written);
        }
        let current = PendingOutcome {
            version: object.version,
            ..pending.clone()
        };
        match write_state(store, record, &current).await {
            Err(StoreError::Conflict(_)) => tokio::time::sleep(RETRY_PAUSE).await,
            Err(error) => return Err(error),
            Ok(()) => return Ok(Reconciled::Written),
        }
    }
    Err(StoreError::Unknown)
}

async fn write_state(
    store: &dyn ObjectStore,
    mut record: Record,
    pending: &PendingOutcome,
) -> Result<(), StoreError> {
    let Some(state) = outcome_state(&pending.outcome) else {
        return store.delete(&pending.record_key, pending.version).await;
    };
    record.state = state;
    let value = record.encode().ok_or(StoreError::Malformed)?;
    let put = store.put(&pending.record_key, pending.version, value);
    put.await.map(|_| ())
}

/// The record state for an outcome; `None` if the record is to be deleted.
fn outcome_state(outcome: &AttemptOutcome) -> Option<RecordState> {
    match outcome {
        AttemptOutcome::NotRun => None,
        AttemptOutcome::Ran(response) => Some(RecordState::Ran(StoredResponse::new(response))),
        AttemptOutcome::Unknown => Some(RecordState::Unknown),
    }
}
