//! [`OnceLog`] over the platform's store.
//!
//! An attempt may dispatch a request only if it created the request's record, which then contains
//! the attempt's identifier. If the response to the write is lost, the attempt reads the record and
//! compares the identifier. A record is deleted only by the attempt that created it, and only if the
//! request certainly did not run. So a request can be dispatched again only after its first attempt
//! has stated that it did not run.

use std::fmt::Write;
use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;
use futures_util::future::BoxFuture;

use super::pending::{Pending, Waiting};
use super::reconcile::{MAX_TRIES, READ_PAUSE, Settled, settle, settle_at};
use super::record::{Record, RecordState, digest_text, object_key};
use super::{Attempt, AttemptOutcome, BeginResult, OnceKey, OnceLog, RecordedResponse, VmLiveness};
use crate::clock::Clock;
use crate::ids::{Generation, ObjectKey, Version, VmId};
use crate::outcome::{Ran, Reason, Refusal};
use crate::store::{ObjectStore, StoreError};

const IN_PROGRESS_RETRY: Duration = Duration::from_secs(1);
const STORE_RETRY: Duration = Duration::from_secs(2);
const LOST_LIFE: Duration = Duration::from_mins(1);

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
    pending: Pending,
}

/// What to do after a record was read.
enum Step {
    Done(BeginResult),
    Refuse(Refusal),
    /// Try to create the record again, because it was deleted or has changed.
    Again,
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
            pending: Pending::default(),
        })
    }

    /// Writes the pending outcomes, oldest first, until the store fails. Returns the number that are
    /// still pending. Must be called periodically.
    pub async fn flush(&self) -> usize {
        for waiting in self.pending.all() {
            match settle(&*self.store, &waiting).await {
                Ok(Settled::Written) => self.pending.remove(&waiting.attempt),
                Ok(Settled::Absent) => self.forget_if_old(&waiting),
                Err(_) => break,
            }
        }
        self.pending.len()
    }

    /// Drops a pending outcome whose record does not exist, but only after a while: a write whose
    /// response was lost may still create the record.
    fn forget_if_old(&self, waiting: &Waiting) {
        let age = self.clock.now().saturating_duration_since(waiting.since);
        if age >= LOST_LIFE {
            self.pending.remove(&waiting.attempt);
        }
    }

    async fn start(&self, key: OnceKey) -> Result<BeginResult, Refusal> {
        let object = object_key(&key).or(Err(Refusal::not_run(Reason::Malformed)))?;
        if let Some(waiting) = self.pending.find(&object) {
            return self.repeat_waiting(key, &waiting).await;
        }
        self.create(key, &object).await
    }

    async fn create(&self, key: OnceKey, object: &ObjectKey) -> Result<BeginResult, Refusal> {
        let id = attempt_id();
        let record = self.record(&key, id.clone());
        let value = record.encode().ok_or(Refusal::not_run(Reason::Internal))?;
        let mut progress = Progress::default();
        for _ in 0..MAX_TRIES {
            match self.store.put(object, Version(0), value.clone()).await {
                Ok(version) => return Ok(BeginResult::Run(Attempt { key, id, version })),
                Err(StoreError::Conflict(version)) => progress.conflict(version),
                Err(StoreError::Unavailable) => break,
                Err(StoreError::TooLarge(_)) => return Err(Refusal::not_run(Reason::Internal)),
                Err(StoreError::Unknown | StoreError::HistoryGone | StoreError::Malformed) => {
                    progress.lost = true;
                }
            }
            match self.read(&key, &id, object, &mut progress).await {
                Step::Done(begin) => return Ok(begin),
                Step::Refuse(refusal) => {
                    return Err(self.give_up(&key, object, &id, &progress, refusal));
                }
                Step::Again => tokio::time::sleep(READ_PAUSE).await,
            }
        }
        let refusal = progress.refusal();
        Err(self.give_up(&key, object, &id, &progress, refusal))
    }

    /// Returns the refusal. If a write of this attempt may still create a record, also schedules the
    /// deletion of that record.
    fn give_up(
        &self,
        key: &OnceKey,
        object: &ObjectKey,
        id: &CompactString,
        progress: &Progress,
        refusal: Refusal,
    ) -> Refusal {
        if progress.lost {
            self.pending.insert(Waiting {
                object: object.clone(),
                attempt: id.clone(),
                digest: digest_text(key),
                version: Version(0),
                end: AttemptOutcome::NotRun,
                rival: progress.seen > Version(0),
                since: self.clock.now(),
            });
        }
        refusal
    }

    async fn read(
        &self,
        key: &OnceKey,
        id: &CompactString,
        object: &ObjectKey,
        progress: &mut Progress,
    ) -> Step {
        let found = match self.store.get(object).await {
            Ok(Some(found)) => found,
            Ok(None) => return Step::Again,
            Err(_) => return Step::Refuse(progress.refusal()),
        };
        // A read may return an older version than the one reported with a conflict.
        if found.version < progress.seen {
            return Step::Again;
        }
        progress.conflict(found.version);
        let Some(record) = Record::decode(&found.value) else {
            return Step::Refuse(Refusal::unknown(Reason::Internal));
        };
        if record.attempt == *id {
            return Step::Done(BeginResult::Run(Attempt {
                key: key.clone(),
                id: id.clone(),
                version: found.version,
            }));
        }
        self.judge(key, object, found.version, record).await
    }

    /// Decides what a repeat gets, from the record of the earlier request.
    async fn judge(
        &self,
        key: &OnceKey,
        object: &ObjectKey,
        version: Version,
        mut record: Record,
    ) -> Step {
        if record.digest != digest_text(key) {
            return Step::Refuse(Refusal::not_run(Reason::Conflict));
        }
        match &record.state {
            RecordState::Ran(kept) => repeat(kept.answer()),
            RecordState::Unknown => Step::Refuse(Refusal::unknown(Reason::UpstreamFailed)),
            RecordState::InProgress if self.is_gone(&record) => {
                record.state = RecordState::Unknown;
                let Some(value) = record.encode() else {
                    return Step::Refuse(Refusal::unknown(Reason::Internal));
                };
                match self.store.put(object, version, value).await {
                    Err(StoreError::Conflict(_)) => Step::Again,
                    _ => Step::Refuse(Refusal::unknown(Reason::UpstreamFailed)),
                }
            }
            RecordState::InProgress => Step::Refuse(in_progress()),
        }
    }

    fn is_gone(&self, record: &Record) -> bool {
        if record.vm == self.owner.vm {
            return record.generation < self.owner.generation;
        }
        self.liveness.is_gone(&record.vm, record.generation)
    }

    /// Decides what a repeat gets, from an outcome that is not yet written to the store.
    async fn repeat_waiting(
        &self,
        key: OnceKey,
        waiting: &Waiting,
    ) -> Result<BeginResult, Refusal> {
        if waiting.digest != digest_text(&key) {
            return Err(Refusal::not_run(Reason::Conflict));
        }
        match &waiting.end {
            AttemptOutcome::Ran(answer) => Ok(BeginResult::Repeat(answer.clone())),
            AttemptOutcome::Unknown => Err(Refusal::unknown(Reason::UpstreamFailed)),
            AttemptOutcome::NotRun => {
                if settle(&*self.store, waiting).await.is_err() {
                    return Err(store_down(waiting.rival));
                }
                self.pending.remove(&waiting.attempt);
                let object = waiting.object.clone();
                self.create(key, &object).await
            }
        }
    }

    async fn end(&self, attempt: Attempt, end: AttemptOutcome) {
        let Ok(object) = object_key(&attempt.key) else {
            return;
        };
        let waiting = Waiting {
            object,
            attempt: attempt.id.clone(),
            digest: digest_text(&attempt.key),
            version: attempt.version,
            end,
            rival: false,
            since: self.clock.now(),
        };
        let record = self.record(&attempt.key, attempt.id);
        self.pending.insert(waiting.clone());
        if settle_at(&*self.store, record, &waiting).await == Ok(Settled::Written) {
            self.pending.remove(&waiting.attempt);
        }
    }

    fn record(&self, key: &OnceKey, attempt: CompactString) -> Record {
        Record {
            attempt,
            vm: self.owner.vm.clone(),
            generation: self.owner.generation,
            wall: self.clock.wall_ms(),
            digest: digest_text(key),
            state: RecordState::InProgress,
        }
    }
}

impl OnceLog for StoreOnceLog {
    fn begin(&self, key: OnceKey) -> BoxFuture<'_, Result<BeginResult, Refusal>> {
        Box::pin(self.start(key))
    }

    fn finish(&self, attempt: Attempt, end: AttemptOutcome) -> BoxFuture<'_, ()> {
        Box::pin(self.end(attempt, end))
    }
}

/// What an attempt has learnt about a record while it tries to create it.
#[derive(Debug, Default)]
struct Progress {
    /// Newest version seen of a record of this request; 0 if none was seen.
    seen: Version,
    /// Whether the response to a write was lost, so that the write may still take effect.
    lost: bool,
}

impl Progress {
    fn conflict(&mut self, version: Version) {
        self.seen = self.seen.max(version);
    }

    /// The refusal to return if the store fails now.
    fn refusal(&self) -> Refusal {
        store_down(self.seen > Version(0))
    }
}

/// The refusal to return if the store fails. If a record of another attempt was seen, the request
/// may have run.
fn store_down(rival: bool) -> Refusal {
    let refusal = if rival {
        Refusal::unknown(Reason::StoreUnavailable)
    } else {
        Refusal::not_run(Reason::StoreUnavailable)
    };
    refusal.retry_after(STORE_RETRY)
}

fn in_progress() -> Refusal {
    Refusal {
        reason: Reason::InProgress,
        ran: Ran::Unknown,
        retry: Some(IN_PROGRESS_RETRY),
    }
}

fn repeat(answer: Option<RecordedResponse>) -> Step {
    match answer {
        Some(answer) => Step::Done(BeginResult::Repeat(answer)),
        None => Step::Refuse(Refusal::ran(Reason::Capacity)),
    }
}

fn attempt_id() -> CompactString {
    let number = rand::random::<u128>();
    let mut id = CompactString::const_new("");
    // Writing to a string cannot fail.
    let _ = write!(id, "{number:032x}");
    id
}
