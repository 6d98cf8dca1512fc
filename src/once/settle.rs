//! Writing the end of an attempt to its record.
//!
//! An end is written only over a record of the same attempt. A write whose answer was lost, or that
//! met another version, is settled by reading.

use std::time::Duration;

use super::End;
use super::pending::Waiting;
use super::record::{Kept, Record, State};
use crate::store::{ObjectStore, StoreError};

/// Most tries of one change of a record.
pub const MAX_TRIES: usize = 4;
/// Pause before a record is read again.
pub const READ_PAUSE: Duration = Duration::from_millis(20);

/// What became of an end that was to be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Settled {
    /// The record says so, or belongs to another attempt.
    Written,
    /// There is no record.
    Absent,
}

/// Writes an end at the version its attempt created, or else at the present one.
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

/// Reads the record and writes the end, if the record is the attempt's own.
pub async fn settle(store: &dyn ObjectStore, waiting: &Waiting) -> Result<Settled, StoreError> {
    for _ in 0..MAX_TRIES {
        let Some(found) = store.get(&waiting.object).await? else {
            return Ok(Settled::Absent);
        };
        // A plain read may show a record from before the attempt.
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

/// The state that stands for an end; none where the record is to go.
fn state_of(end: &End) -> Option<State> {
    match end {
        End::NotRun => None,
        End::Ran(answer) => Some(State::Ran(Kept::new(answer))),
        End::Unknown => Some(State::Unknown),
    }
}
