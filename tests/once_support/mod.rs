//! An in-memory store with fault injection.

#![allow(dead_code, reason = "each test file uses a part")]

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use basilgw::ids::{Generation, ObjectKey, Version, VmId};
use basilgw::once::VmLiveness;
use basilgw::store::{Object, ObjectStore, StoreError};
use bytes::Bytes;
use futures_util::future::BoxFuture;

/// Fault to inject into one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// No fault.
    None,
    /// The store cannot be reached.
    Unavailable,
    /// The call takes effect, but its response is lost.
    ResponseLost,
    /// The call has no effect, and its response is lost.
    RequestLost,
    /// The response is lost, and a write takes effect only when `apply_late_writes` is called.
    AppliedLater,
    /// A read returns the object as it was before the latest write, or at the call of
    /// `freeze_stale_reads`.
    Stale,
}

type Objects = BTreeMap<ObjectKey, Object>;

#[derive(Clone, Debug)]
struct Write {
    key: ObjectKey,
    expected: Version,
    value: Option<Bytes>,
}

#[derive(Debug, Default)]
struct Inner {
    objects: Objects,
    previous: Objects,
    previous_frozen: bool,
    last_version: u64,
    faults: VecDeque<Fault>,
    late_writes: Vec<Write>,
    calls: usize,
}

impl Inner {
    fn apply(&mut self, write: &Write) -> Result<Version, StoreError> {
        let current = self.objects.get(&write.key);
        let current = current.map_or(Version(0), |object| object.version);
        if current != write.expected {
            return Err(StoreError::Conflict(current));
        }
        if !self.previous_frozen {
            self.previous = self.objects.clone();
        }
        self.last_version += 1;
        let version = Version(self.last_version);
        match write.value.clone() {
            Some(value) => {
                self.objects
                    .insert(write.key.clone(), Object { version, value });
            }
            None => {
                self.objects.remove(&write.key);
            }
        }
        Ok(version)
    }
}

/// An in-memory object store with versions, conflicts and injected faults.
#[derive(Debug, Default)]
pub struct MemoryStore {
    inner: Mutex<Inner>,
}

impl MemoryStore {
    /// Adds faults for the next calls, one for each call.
    pub fn inject<I>(&self, faults: I)
    where
        I: IntoIterator<Item = Fault>,
    {
        self.lock().faults.extend(faults);
    }

    /// Makes stale reads return the current objects from now on, whatever is written later.
    pub fn freeze_stale_reads(&self) {
        let mut inner = self.lock();
        inner.previous = inner.objects.clone();
        inner.previous_frozen = true;
    }

    /// Removes the faults that are still to come. Late writes are kept.
    pub fn clear_faults(&self) {
        self.lock().faults.clear();
    }

    /// Applies the writes of calls with the fault `AppliedLater`.
    pub fn apply_late_writes(&self) {
        let mut inner = self.lock();
        for write in std::mem::take(&mut inner.late_writes) {
            // A late write with a conflict has no effect, as in the real store.
            let _: Result<Version, StoreError> = inner.apply(&write);
        }
    }

    pub fn objects(&self) -> Vec<Bytes> {
        let inner = self.lock();
        inner
            .objects
            .values()
            .map(|object| object.value.clone())
            .collect()
    }

    pub fn calls(&self) -> usize {
        self.lock().calls
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("no panic")
    }

    async fn next_fault(&self) -> Fault {
        let (fault, turns) = {
            let mut inner = self.lock();
            inner.calls += 1;
            let turns = inner.calls * 7 % 5;
            (inner.faults.pop_front().unwrap_or(Fault::None), turns)
        };
        for _ in 0..turns {
            tokio::task::yield_now().await;
        }
        fault
    }

    async fn write(&self, write: Write) -> Result<Version, StoreError> {
        let fault = self.next_fault().await;
        let result = match fault {
            Fault::Unavailable => Err(StoreError::Unavailable),
            Fault::RequestLost => Err(StoreError::Unknown),
            Fault::ResponseLost => self.lock().apply(&write).and(Err(StoreError::Unknown)),
            Fault::AppliedLater => {
                self.lock().late_writes.push(write);
                Err(StoreError::Unknown)
            }
            Fault::None | Fault::Stale => self.lock().apply(&write),
        };
        tokio::task::yield_now().await;
        result
    }
}

impl ObjectStore for MemoryStore {
    fn get<'a>(&'a self, key: &'a ObjectKey) -> BoxFuture<'a, Result<Option<Object>, StoreError>> {
        Box::pin(async move {
            let fault = self.next_fault().await;
            let inner = self.lock();
            match fault {
                Fault::Unavailable => Err(StoreError::Unavailable),
                Fault::ResponseLost | Fault::RequestLost | Fault::AppliedLater => {
                    Err(StoreError::Unknown)
                }
                Fault::Stale => Ok(inner.previous.get(key).cloned()),
                Fault::None => Ok(inner.objects.get(key).cloned()),
            }
        })
    }

    fn put<'a>(
        &'a self,
        key: &'a ObjectKey,
        expected: Version,
        value: Bytes,
    ) -> BoxFuture<'a, Result<Version, StoreError>> {
        Box::pin(self.write(Write {
            key: key.clone(),
            expected,
            value: Some(value),
        }))
    }

    fn delete<'a>(
        &'a self,
        key: &'a ObjectKey,
        expected: Version,
    ) -> BoxFuture<'a, Result<(), StoreError>> {
        Box::pin(async move {
            let write = Write {
                key: key.clone(),
                expected,
                value: None,
            };
            self.write(write).await.map(|_| ())
        })
    }

    fn watch<'a>(
        &'a self,
        key: &'a ObjectKey,
        _after: Version,
        _wait: Duration,
    ) -> BoxFuture<'a, Result<Option<Object>, StoreError>> {
        self.get(key)
    }
}

/// VM generations that the platform's instance list no longer shows.
#[derive(Debug, Default)]
pub struct MissingVms(Mutex<BTreeSet<(VmId, Generation)>>);

impl MissingVms {
    pub fn open() -> Arc<Self> {
        Arc::default()
    }

    pub fn add(&self, vm: &VmId, generation: Generation) {
        let mut missing = self.0.lock().expect("no panic");
        missing.insert((vm.clone(), generation));
    }
}

impl VmLiveness for MissingVms {
    fn is_gone(&self, vm: &VmId, generation: Generation) -> bool {
        let missing = self.0.lock().expect("no panic");
        missing.contains(&(vm.clone(), generation))
    }
}
