//! The store and the engines as one VM calls them in a simulation, and the clock.

use std::future::poll_fn;
use std::sync::{Arc, Mutex};
use std::task::Poll;
use std::time::{Duration, Instant, SystemTime};

use basilgw::clock::{BootTime, Clock};
use basilgw::engine::{CacheEvents, EngineControl, EngineError, LoadReport, Order, OrderAnswer};
use basilgw::ids::{ObjectKey, Version};
use basilgw::store::{Instance, Object, ObjectStore, StoreError};
use futures_util::future::BoxFuture;

pub(super) type ResponseSlot<T> = Arc<Mutex<Option<T>>>;

#[derive(Debug)]
pub(super) enum Call {
    Get(ObjectKey, ResponseSlot<Result<Option<Object>, StoreError>>),
    Put(Write, ResponseSlot<Result<Version, StoreError>>),
    Order(SentOrder, ResponseSlot<Result<OrderAnswer, EngineError>>),
}

#[derive(Clone, Debug)]
pub(super) struct Write {
    pub(super) key: ObjectKey,
    pub(super) expected: Version,
    pub(super) value: bytes::Bytes,
}

#[derive(Clone, Debug)]
pub(super) struct SentOrder {
    pub(super) engine: usize,
    pub(super) order: Order,
    pub(super) at: Instant,
}

#[derive(Debug)]
pub(super) struct TestClock(pub(super) Mutex<Instant>);

impl Clock for TestClock {
    fn now(&self) -> Instant {
        *self.0.lock().unwrap()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH
    }

    fn boot(&self) -> BootTime {
        BootTime::default()
    }
}

/// The store and the engines as one VM calls them; calls wait until the simulation resolves them.
#[derive(Debug)]
pub(super) struct Backend {
    pub(super) calls: Mutex<Vec<Call>>,
    pub(super) clock: Arc<TestClock>,
}

pub(super) fn wait_response<T>(slot: ResponseSlot<T>) -> BoxFuture<'static, T>
where
    T: Send + 'static,
{
    Box::pin(poll_fn(move |_| match slot.lock().unwrap().take() {
        Some(response) => Poll::Ready(response),
        None => Poll::Pending,
    }))
}

impl ObjectStore for Backend {
    fn get<'a>(&'a self, key: &'a ObjectKey) -> BoxFuture<'a, Result<Option<Object>, StoreError>> {
        let slot = ResponseSlot::default();
        let call = Call::Get(key.clone(), Arc::clone(&slot));
        self.calls.lock().unwrap().push(call);
        wait_response(slot)
    }

    fn put<'a>(
        &'a self,
        key: &'a ObjectKey,
        expected: Version,
        value: bytes::Bytes,
    ) -> BoxFuture<'a, Result<Version, StoreError>> {
        let slot = ResponseSlot::default();
        let key = key.clone();
        let write = Write {
            key,
            expected,
            value,
        };
        self.calls
            .lock()
            .unwrap()
            .push(Call::Put(write, Arc::clone(&slot)));
        wait_response(slot)
    }

    fn delete<'a>(
        &'a self,
        _key: &'a ObjectKey,
        _expected: Version,
    ) -> BoxFuture<'a, Result<(), StoreError>> {
        unreachable!("no step deletes")
    }

    fn watch<'a>(
        &'a self,
        _key: &'a ObjectKey,
        _after: Version,
        _wait: Duration,
    ) -> BoxFuture<'a, Result<Option<Object>, StoreError>> {
        unreachable!("no step watches")
    }
}

impl EngineControl for Backend {
    fn order<'a>(
        &'a self,
        engine: &'a Instance,
        order: &'a Order,
    ) -> BoxFuture<'a, Result<OrderAnswer, EngineError>> {
        let slot = ResponseSlot::default();
        let sent = SentOrder {
            engine: usize::from(engine.vm.as_str() == "e1"),
            order: order.clone(),
            at: self.clock.now(),
        };
        self.calls
            .lock()
            .unwrap()
            .push(Call::Order(sent, Arc::clone(&slot)));
        wait_response(slot)
    }

    fn report<'a>(
        &'a self,
        _engine: &'a Instance,
    ) -> BoxFuture<'a, Result<LoadReport, EngineError>> {
        unreachable!("no step reads reports")
    }

    fn events<'a>(
        &'a self,
        _engine: &'a Instance,
        _from: u64,
    ) -> BoxFuture<'a, Result<CacheEvents, EngineError>> {
        unreachable!("no step reads events")
    }
}
