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
    Down,
    /// The call takes effect, but its response is lost.
    LostAfter,
    /// The call has no effect, and its response is lost.
    LostBefore,
    /// The response is lost, and a write takes effect only when `deliver` is called.
    Late,
    /// A read returns the object as it was before the latest write, or at the call of `freeze`.
    Stale,
}

type Values = BTreeMap<ObjectKey, Object>;

#[derive(Clone, Debug)]
struct Write {
    key: ObjectKey,
    expected: Version,
    value: Option<Bytes>,
}

#[derive(Debug, Default)]
struct Inner {
    values: Values,
    before: Values,
    frozen: bool,
    last: u64,
    faults: VecDeque<Fault>,
    late: Vec<Write>,
    calls: usize,
}

impl Inner {
    fn apply(&mut self, write: &Write) -> Result<Version, StoreError> {
        let present = self.values.get(&write.key);
        let present = present.map_or(Version(0), |object| object.version);
        if present != write.expected {
            return Err(StoreError::Conflict(present));
        }
        if !self.frozen {
            self.before = self.values.clone();
        }
        self.last += 1;
        let version = Version(self.last);
        match write.value.clone() {
            Some(value) => {
                self.values
                    .insert(write.key.clone(), Object { version, value });
            }
            None => {
                self.values.remove(&write.key);
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
    pub fn fail<I>(&self, faults: I)
    where
        I: IntoIterator<Item = Fault>,
    {
        self.lock().faults.extend(faults);
    }

    /// Makes stale reads return the present objects from now on, whatever is written later.
    pub fn freeze(&self) {
        let mut inner = self.lock();
        inner.before = inner.values.clone();
        inner.frozen = true;
    }

    /// Cancels the faults that are still to come. Late writes stay late.
    pub fn heal(&self) {
        self.lock().faults.clear();
    }

    /// Applies the late writes.
    pub fn deliver(&self) {
        let mut inner = self.lock();
        for write in std::mem::take(&mut inner.late) {
            // A late write with a conflict has no effect, as in the real store.
            let _: Result<Version, StoreError> = inner.apply(&write);
        }
    }

    pub fn objects(&self) -> Vec<Bytes> {
        let inner = self.lock();
        inner
            .values
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

    async fn fault(&self) -> Fault {
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
        let fault = self.fault().await;
        let result = match fault {
            Fault::Down => Err(StoreError::Unavailable),
            Fault::LostBefore => Err(StoreError::Unknown),
            Fault::LostAfter => self.lock().apply(&write).and(Err(StoreError::Unknown)),
            Fault::Late => {
                self.lock().late.push(write);
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
            let fault = self.fault().await;
            let inner = self.lock();
            match fault {
                Fault::Down => Err(StoreError::Unavailable),
                Fault::LostAfter | Fault::LostBefore | Fault::Late => Err(StoreError::Unknown),
                Fault::Stale => Ok(inner.before.get(key).cloned()),
                Fault::None => Ok(inner.values.get(key).cloned()),
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
pub struct Gone(Mutex<BTreeSet<(VmId, Generation)>>);

impl Gone {
    pub fn open() -> Arc<Self> {
        Arc::default()
    }

    pub fn add(&self, vm: &VmId, generation: Generation) {
        let mut gone = self.0.lock().expect("no panic");
        gone.insert((vm.clone(), generation));
    }
}

impl VmLiveness for Gone {
    fn is_gone(&self, vm: &VmId, generation: Generation) -> bool {
        let gone = self.0.lock().expect("no panic");
        gone.contains(&(vm.clone(), generation))
    }
}
