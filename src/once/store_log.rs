//! [`OnceLog`] over the platform's store.
//!
//! An attempt may dispatch a request only if it created the request's record, which then contains
//! the attempt's identifier. If the response to the write is lost, the attempt reads the record and
//! compares the identifier. A record is deleted only by the attempt that created it, and only if
//! the request certainly did not run. So a request can be dispatched again only after its first
//! attempt has stated that it did not run.

use std::fmt::Write;
use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;
use futures_util::future::BoxFuture;

use super::pending::{PendingOutcome, PendingOutcomes};
use super::reconcile::{MAX_WRITES, RETRY_PAUSE, Reconciled, reconcile, write_outcome};
use super::record::{Record, RecordState, format_digest, record_key};
use super::{Attempt, AttemptOutcome, BeginResult, OnceKey, OnceLog, RecordedResponse, VmLiveness};
use crate::clock::Clock;
use crate::ids::{Generation, ObjectKey, Version, VmId};
use crate::outcome::{Ran, Reason, Refusal};
use crate::store::{ObjectStore, StoreError};

const IN_PROGRESS_RETRY_AFTER: Duration = Duration::from_secs(1);
const STORE_RETRY_AFTER: Duration = Duration::from_secs(2);
/// How long a write whose response was lost may still take effect in the store.
const LOST_WRITE_LIFETIME: Duration = Duration::from_mins(1);

/// The VM that is written into the records it creates.
#[derive(Clone, Debug)]
pub struct RecordOwner {
    /// This VM.
    pub vm: VmId,
    /// Generation of this VM, which is higher after each restart.
    pub generation: Generation,
}

/// [`OnceLog`] that keeps its records in the platform's store.
#[derive(Debug)]
pub struct StoreOnceLog {
    store: Arc<dyn ObjectStore>,
    liveness: Arc<dyn VmLiveness>,
    clock: Arc<dyn Clock>,
    owner: RecordOwner,
    pending: PendingOutcomes,
}

/// What to do after a record was read.
enum NextStep {
    Done(BeginResult),
    Refuse(Refusal),
    /// Try to create the record again, because it was deleted or changed, or the read was stale.
    Retry,
}

impl StoreOnceLog {
    /// Creates a log for the records of one VM.
    pub fn open(
        store: Arc<dyn ObjectStore>,
        liveness: Arc<dyn VmLiveness>,
        clock: Arc<dyn Clock>,
        owner: RecordOwner,
    ) -> Arc<Self> {
        Arc::new(Self {
            store,
            liveness,
            clock,
            owner,
            pending: PendingOutcomes::default(),
        })
    }

    /// Writes the pending outcomes, oldest first, until the store fails. Returns the number that
    /// are still pending. Must be called periodically.
    pub async fn flush(&self) -> usize {
        for pending in self.pending.to_vec() {
            match reconcile(&*self.store, &pending).await {
                Ok(Reconciled::Written) => self.pending.remove(&pending.attempt),
                Ok(Reconciled::Absent) => self.drop_if_expired(&pending),
                Err(_) => break,
            }
        }
        self.pending.len()
    }

    /// Drops a pending outcome whose record does not exist, once no lost write can create it any
    /// more.
    fn drop_if_expired(&self, pending: &PendingOutcome) {
        let age = self.clock.now().saturating_duration_since(pending.added);
        if age >= LOST_WRITE_LIFETIME {
            self.pending.remove(&pending.attempt);
        }
    }

    /// Starts an attempt at a request unless it is a repeat.
    async fn begin_attempt(&self, key: OnceKey) -> Result<BeginResult, Refusal> {
        let record_key = record_key(&key).or(Err(Refusal::not_run(Reason::Malformed)))?;
        if let Some(pending) = self.pending.find(&record_key) {
            return self.resolve_from_pending(key, &pending).await;
        }
        self.create_record(key, &record_key).await
    }

    async fn create_record(
        &self,
        key: OnceKey,
        record_key: &ObjectKey,
    ) -> Result<BeginResult, Refusal> {
        let id = attempt_id();
        let record = self.new_record(&key, id.clone());
        let value = record.encode().ok_or(Refusal::not_run(Reason::Internal))?;
        let mut progress = CreateProgress::default();
        for _ in 0..MAX_WRITES {
            match self.store.put(record_key, Version(0), value.clone()).await {
                Ok(version) => return Ok(BeginResult::Run(Attempt { key, id, version })),
                Err(StoreError::Conflict(version)) => progress.observe_version(version),
                Err(StoreError::Unavailable) => break,
                Err(StoreError::TooLarge(_)) => return Err(Refusal::not_run(Reason::Internal)),
                Err(StoreError::Unknown | StoreError::HistoryGone | StoreError::Malformed) => {
                    progress.write_lost = true;
                }
            }
            match self.read_record(&key, &id, record_key, &mut progress).await {
                NextStep::Done(begin) => return Ok(begin),
                NextStep::Refuse(refusal) => {
                    return Err(self.abandon(&key, record_key, &id, &progress, refusal));
                }
                NextStep::Retry => tokio::time::sleep(RETRY_PAUSE).await,
            }
        }
        let refusal = progress.refusal();
        Err(self.abandon(&key, record_key, &id, &progress, refusal))
    }

    /// Returns the refusal. If a write of this attempt may still create a record, also schedules
    /// the deletion of that record.
    fn abandon(
        &self,
        key: &OnceKey,
        record_key: &ObjectKey,
        id: &CompactString,
        progress: &CreateProgress,
        refusal: Refusal,
    ) -> Refusal {
        if progress.write_lost {
            self.pending.insert(PendingOutcome {
                record_key: record_key.clone(),
                attempt: id.clone(),
                digest: format_digest(key),
                version: Version(0),
                outcome: AttemptOutcome::NotRun,
                other_attempt: progress.newest > Version(0),
                added: self.clock.now(),
            });
        }
        refusal
    }

    async fn read_record(
        &self,
        key: &OnceKey,
        id: &CompactString,
        record_key: &ObjectKey,
        progress: &mut CreateProgress,
    ) -> NextStep {
        let object = match self.store.get(record_key).await {
            Ok(Some(object)) => object,
            Ok(None) => return NextStep::Retry,
            Err(_) => return NextStep::Refuse(progress.refusal()),
        };
        // A read may return an older version than the one reported with a conflict.
        if object.version < progress.newest {
            return NextStep::Retry;
        }
        progress.observe_version(object.version);
        let Some(record) = Record::decode(&object.value) else {
            return NextStep::Refuse(Refusal::unknown(Reason::Internal));
        };
        if record.attempt == *id {
            return NextStep::Done(BeginResult::Run(Attempt {
                key: key.clone(),
                id: id.clone(),
                version: object.version,
            }));
        }
        self.resolve_repeat(key, record_key, object.version, record)
            .await
    }

    /// Decides what a repeat gets, from the record of the earlier request.
    async fn resolve_repeat(
        &self,
        key: &OnceKey,
        record_key: &ObjectKey,
        version: Version,
        mut record: Record,
    ) -> NextStep {
        if record.digest != format_digest(key) {
            return NextStep::Refuse(Refusal::not_run(Reason::Conflict));
        }
        match &record.state {
            RecordState::Ran(stored) => repeat_response(stored.to_response()),
            RecordState::Unknown => NextStep::Refuse(Refusal::unknown(Reason::UpstreamFailed)),
            RecordState::InProgress if self.is_gone(&record) => {
                record.state = RecordState::Unknown;
                let Some(value) = record.encode() else {
                    return NextStep::Refuse(Refusal::unknown(Reason::Internal));
                };
                match self.store.put(record_key, version, value).await {
                    Err(StoreError::Conflict(_)) => NextStep::Retry,
                    _ => NextStep::Refuse(Refusal::unknown(Reason::UpstreamFailed)),
                }
            }
            RecordState::InProgress => NextStep::Refuse(in_progress_refusal()),
        }
    }

    fn is_gone(&self, record: &Record) -> bool {
        if record.vm == self.owner.vm {
            return record.generation < self.owner.generation;
        }
        self.liveness.is_gone(&record.vm, record.generation)
    }

    /// Decides what a repeat gets, from an outcome that is not yet written to the store.
    async fn resolve_from_pending(
        &self,
        key: OnceKey,
        pending: &PendingOutcome,
    ) -> Result<BeginResult, Refusal> {
        if pending.digest != format_digest(&key) {
            return Err(Refusal::not_run(Reason::Conflict));
        }
        match &pending.outcome {
            AttemptOutcome::Ran(response) => Ok(BeginResult::Repeat(response.clone())),
            AttemptOutcome::Unknown => Err(Refusal::unknown(Reason::UpstreamFailed)),
            AttemptOutcome::NotRun => {
                if reconcile(&*self.store, pending).await.is_err() {
                    return Err(unavailable_refusal(pending.other_attempt));
                }
                self.pending.remove(&pending.attempt);
                let record_key = pending.record_key.clone();
                self.create_record(key, &record_key).await
            }
        }
    }

    async fn record_outcome(&self, attempt: Attempt, outcome: AttemptOutcome) {
        let Ok(record_key) = record_key(&attempt.key) else {
            return;
        };
        let pending = PendingOutcome {
            record_key,
            attempt: attempt.id.clone(),
            digest: format_digest(&attempt.key),
            version: attempt.version,
            outcome,
            other_attempt: false,
            added: self.clock.now(),
        };
        let record = self.new_record(&attempt.key, attempt.id);
        self.pending.insert(pending.clone());
        if write_outcome(&*self.store, record, &pending).await == Ok(Reconciled::Written) {
            self.pending.remove(&pending.attempt);
        }
    }

    fn new_record(&self, key: &OnceKey, attempt: CompactString) -> Record {
        Record {
            attempt,
            vm: self.owner.vm.clone(),
            generation: self.owner.generation,
            started_ms: self.clock.wall_ms(),
            digest: format_digest(key),
            state: RecordState::InProgress,
        }
    }
}

impl OnceLog for StoreOnceLog {
    fn begin(&self, key: OnceKey) -> BoxFuture<'_, Result<BeginResult, Refusal>> {
        Box::pin(self.begin_attempt(key))
    }

    fn finish(&self, attempt: Attempt, outcome: AttemptOutcome) -> BoxFuture<'_, ()> {
        Box::pin(self.record_outcome(attempt, outcome))
    }
}

/// What an attempt has learnt about a record while it tries to create it.
#[derive(Debug, Default)]
struct CreateProgress {
    /// Newest version seen of a record of this request; 0 if none was seen.
    newest: Version,
    /// Whether the response to a write was lost, so that the write may still take effect.
    write_lost: bool,
}

impl CreateProgress {
    fn observe_version(&mut self, version: Version) {
        self.newest = self.newest.max(version);
    }

    /// The refusal to return if the store fails now.
    fn refusal(&self) -> Refusal {
        unavailable_refusal(self.newest > Version(0))
    }
}

/// The refusal to return if the store fails. If a record of another attempt was seen, the request
/// may have run.
fn unavailable_refusal(other_attempt: bool) -> Refusal {
    let refusal = if other_attempt {
        Refusal::unknown(Reason::StoreUnavailable)
    } else {
        Refusal::not_run(Reason::StoreUnavailable)
    };
    refusal.retry_after(STORE_RETRY_AFTER)
}

fn in_progress_refusal() -> Refusal {
    Refusal {
        reason: Reason::InProgress,
        ran: Ran::Unknown,
        retry: Some(IN_PROGRESS_RETRY_AFTER),
    }
}

/// Returns a recorded response to a repeat, or refuses if its body was too large to store.
fn repeat_response(response: Option<RecordedResponse>) -> NextStep {
    match response {
        Some(response) => NextStep::Done(BeginResult::Repeat(response)),
        None => NextStep::Refuse(Refusal::ran(Reason::Capacity)),
    }
}

fn attempt_id() -> CompactString {
    let number = rand::random::<u128>();
    let mut id = CompactString::const_new("");
    // Writing to a string cannot fail.
    let _ = write!(id, "{number:032x}");
    id
}
