//! The once-records over the platform's store.
//!
//! A request may be dispatched only by the attempt whose identifier stands in the record that this
//! attempt created. A write whose answer was lost is settled by reading the record and comparing
//! the identifier. A record is deleted only by its own attempt, and only if the request surely did
//! not run; so a second run would need the first one's word that there was none.

use std::fmt::Write;
use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;
use futures_util::future::BoxFuture;

use super::pending::{Pending, Waiting};
use super::record::{Record, State, digest_text, object_key};
use super::settle::{MAX_TRIES, READ_PAUSE, Settled, settle, settle_at};
use super::{Attempt, Begin, End, OnceKey, OnceLog, Recorded, VmLiveness};
use crate::clock::Clock;
use crate::ids::{Generation, ObjectKey, Version, VmId};
use crate::outcome::{Ran, Reason, Refusal};
use crate::store::{ObjectStore, StoreError};

const IN_PROGRESS_RETRY: Duration = Duration::from_secs(1);
const STORE_RETRY: Duration = Duration::from_secs(2);
const LOST_LIFE: Duration = Duration::from_mins(1);

/// Who keeps the records.
#[derive(Clone, Debug)]
pub struct Keeper {
    /// This VM.
    pub vm: VmId,
    /// Its incarnation.
    pub generation: Generation,
}

/// Once-records in the platform's store.
#[derive(Debug)]
pub struct StoreLog {
    store: Arc<dyn ObjectStore>,
    liveness: Arc<dyn VmLiveness>,
    clock: Arc<dyn Clock>,
    keeper: Keeper,
    pending: Pending,
}

/// What a reading of a record asks for.
enum Step {
    Done(Begin),
    Refuse(Refusal),
    /// The record is gone, or changed meanwhile.
    Again,
}

impl StoreLog {
    /// Opens a log.
    pub fn open(
        store: Arc<dyn ObjectStore>,
        liveness: Arc<dyn VmLiveness>,
        clock: Arc<dyn Clock>,
        keeper: Keeper,
    ) -> Arc<Self> {
        Arc::new(Self {
            store,
            liveness,
            clock,
            keeper,
            pending: Pending::default(),
        })
    }

    /// Writes the ends that wait, oldest first; the number still waiting. Called now and then.
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

    /// A record that a reading does not show may still appear for a while.
    fn forget_if_old(&self, waiting: &Waiting) {
        let age = self.clock.now().saturating_duration_since(waiting.since);
        if age >= LOST_LIFE {
            self.pending.remove(&waiting.attempt);
        }
    }

    async fn start(&self, key: OnceKey) -> Result<Begin, Refusal> {
        let object = object_key(&key).or(Err(Refusal::not_run(Reason::Malformed)))?;
        if let Some(waiting) = self.pending.find(&object) {
            return self.repeat_waiting(key, &waiting).await;
        }
        self.create(key, &object).await
    }

    async fn create(&self, key: OnceKey, object: &ObjectKey) -> Result<Begin, Refusal> {
        let id = attempt_id();
        let record = self.record(&key, id.clone());
        let value = record.encode().ok_or(Refusal::not_run(Reason::Internal))?;
        let mut progress = Progress::default();
        for _ in 0..MAX_TRIES {
            match self.store.put(object, Version(0), value.clone()).await {
                Ok(version) => return Ok(Begin::Run(Attempt { key, id, version })),
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

    /// Refuses; a record of this attempt that may yet appear is to be deleted.
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
                end: End::NotRun,
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
        // A plain read may lag behind the conflict that was reported.
        if found.version < progress.seen {
            return Step::Again;
        }
        progress.conflict(found.version);
        let Some(record) = Record::decode(&found.value) else {
            return Step::Refuse(Refusal::unknown(Reason::Internal));
        };
        if record.attempt == *id {
            return Step::Done(Begin::Run(Attempt {
                key: key.clone(),
                id: id.clone(),
                version: found.version,
            }));
        }
        self.judge(key, object, found.version, record).await
    }

    /// What a repeat of a recorded request gets.
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
            State::Ran(kept) => repeat(kept.answer()),
            State::Unknown => Step::Refuse(Refusal::unknown(Reason::UpstreamFailed)),
            State::InProgress if self.is_gone(&record) => {
                record.state = State::Unknown;
                let Some(value) = record.encode() else {
                    return Step::Refuse(Refusal::unknown(Reason::Internal));
                };
                match self.store.put(object, version, value).await {
                    Err(StoreError::Conflict(_)) => Step::Again,
                    _ => Step::Refuse(Refusal::unknown(Reason::UpstreamFailed)),
                }
            }
            State::InProgress => Step::Refuse(in_progress()),
        }
    }

    fn is_gone(&self, record: &Record) -> bool {
        if record.vm == self.keeper.vm {
            return record.generation < self.keeper.generation;
        }
        self.liveness.is_gone(&record.vm, record.generation)
    }

    /// Answers a repeat from an end that the store has not taken yet.
    async fn repeat_waiting(&self, key: OnceKey, waiting: &Waiting) -> Result<Begin, Refusal> {
        if waiting.digest != digest_text(&key) {
            return Err(Refusal::not_run(Reason::Conflict));
        }
        match &waiting.end {
            End::Ran(answer) => Ok(Begin::Repeat(answer.clone())),
            End::Unknown => Err(Refusal::unknown(Reason::UpstreamFailed)),
            End::NotRun => {
                if settle(&*self.store, waiting).await.is_err() {
                    return Err(store_down(waiting.rival));
                }
                self.pending.remove(&waiting.attempt);
                let object = waiting.object.clone();
                self.create(key, &object).await
            }
        }
    }

    async fn end(&self, attempt: Attempt, end: End) {
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
            vm: self.keeper.vm.clone(),
            generation: self.keeper.generation,
            wall: self.clock.wall_ms(),
            digest: digest_text(key),
            state: State::InProgress,
        }
    }
}

impl OnceLog for StoreLog {
    fn begin(&self, key: OnceKey) -> BoxFuture<'_, Result<Begin, Refusal>> {
        Box::pin(self.start(key))
    }

    fn finish(&self, attempt: Attempt, end: End) -> BoxFuture<'_, ()> {
        Box::pin(self.end(attempt, end))
    }
}

/// What is known of a record while one is being created.
#[derive(Debug, Default)]
struct Progress {
    /// The newest version seen; 0 where none was.
    seen: Version,
    /// Whether the answer to a write was lost.
    lost: bool,
}

impl Progress {
    fn conflict(&mut self, version: Version) {
        self.seen = self.seen.max(version);
    }

    /// The refusal where the store fails now.
    fn refusal(&self) -> Refusal {
        store_down(self.seen > Version(0))
    }
}

/// The refusal where the store fails; a known other attempt may have run.
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

fn repeat(answer: Option<Recorded>) -> Step {
    match answer {
        Some(answer) => Step::Done(Begin::Repeat(answer)),
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
