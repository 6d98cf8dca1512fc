//! The engine's HTTP API.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use basilgw::clock::{Clock, SystemClock};
use basilgw::ids::{AdapterId, Generation, ReplicaId, RequestId, Text, UpstreamId};
use basilgw::schema::engine::{Checkpoint, LoadReport, Order, OrderAnswer, OrderStatus};
use basilgw::units::Bytes;
use bytes::Bytes as Buffer;
use futures_util::future::BoxFuture;
use futures_util::{StreamExt, stream};
use http::StatusCode;
use serde::Deserialize;
use serde_json::json;

use super::answer::{Completion, Generated};
use super::cache::Cache;
use super::memory::{LoadTimes, Memory};
use crate::fault::{Fault, Plan, Planned};
use crate::gate::Mode;
use crate::history::Event;
use crate::http::{Addresses, Api, Call, GateHandle, Listening, Reply};
use crate::platform::history;
use crate::record::{Recorder, lock};

/// Time for the first half of an answer to leave before it is cut.
const FLUSH: Duration = Duration::from_millis(20);

/// How an engine behaves.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Its name in the platform's list.
    pub upstream: UpstreamId,
    /// Its memory.
    pub memory: Bytes,
    /// Its incarnation.
    pub generation: Generation,
    /// Whether it refuses orders with an old fencing number.
    pub fenced: bool,
    /// Pause between two tokens.
    pub pace: Duration,
    /// How long loads take.
    pub times: LoadTimes,
    /// Lag of load reports.
    pub lag: Duration,
    /// Delay of cache events.
    pub late: Duration,
    /// One cache event in this many is lost; 0 stands for none.
    pub gap: u64,
}

impl EngineSettings {
    /// An engine of usual manners.
    pub fn new(upstream: UpstreamId) -> Self {
        Self {
            upstream,
            memory: Bytes(80 << 30),
            generation: Generation(1),
            fenced: true,
            pace: Duration::from_millis(5),
            times: LoadTimes::default(),
            lag: Duration::from_millis(200),
            late: Duration::from_millis(200),
            gap: 7,
        }
    }
}

/// Manners that `PUT /admin/settings` changes.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Manners {
    pace: Option<u64>,
    times: Option<LoadTimes>,
    lag: Option<u64>,
    orders: Option<u64>,
}

#[derive(Debug)]
struct State {
    memory: Memory,
    cache: Cache,
    leaving: bool,
    pace: Duration,
    lag: Duration,
    /// Pause before an order is carried out.
    orders: Duration,
    shown: Option<(Instant, LoadReport)>,
}

#[derive(Debug)]
struct EngineApi {
    upstream: UpstreamId,
    clock: Arc<dyn Clock>,
    state: Mutex<State>,
    plan: Plan,
    recorder: Arc<Recorder>,
    gate: GateHandle,
}

/// Ends a request's count on its replica, also where its caller went away.
#[derive(Debug)]
struct Running {
    api: Arc<EngineApi>,
    replica: ReplicaId,
}

impl Drop for Running {
    fn drop(&mut self) {
        lock(&self.api.state).memory.finish(&self.replica);
    }
}

fn not_run(code: &'static str) -> Reply {
    let body = json!({"error": {"code": code}});
    Reply::json(StatusCode::SERVICE_UNAVAILABLE, &body).with("x-not-run", "1")
}

impl EngineApi {
    fn declined(&self, request: Option<RequestId>, code: &'static str) -> Reply {
        let upstream = self.upstream.clone();
        self.recorder.record(Event::Declined { upstream, request });
        not_run(code)
    }

    async fn order(&self, call: &Call) -> Reply {
        let Some(order) = call.json::<Order>() else {
            return Reply::status(StatusCode::BAD_REQUEST);
        };
        let pause = lock(&self.state).orders;
        tokio::time::sleep(pause).await;
        let status = self.carry_out(&order);
        Reply::json(StatusCode::OK, &OrderAnswer { status })
    }

    fn carry_out(&self, order: &Order) -> OrderStatus {
        let mut state = lock(&self.state);
        let held = state.memory.holds(&order.replica);
        let status = state.memory.order(order, self.clock.now());
        let holds = state.memory.holds(&order.replica);
        let (upstream, replica) = (self.upstream.clone(), order.replica.clone());
        let model = order.model.clone();
        self.recorder.record(Event::Ordered {
            upstream: upstream.clone(),
            kind: order.kind,
            replica: replica.clone(),
            model: model.clone(),
            status,
        });
        self.recorder.record(Event::Memory {
            upstream: upstream.clone(),
            used: state.memory.used(),
            total: state.memory.total(),
        });
        match (held, holds) {
            (false, true) => self.recorder.record(Event::Loaded {
                upstream,
                replica,
                model,
            }),
            (true, false) => self.recorder.record(Event::Unloaded {
                upstream,
                replica,
                model,
            }),
            _ => {}
        }
        status
    }

    fn report(&self) -> Reply {
        let now = self.clock.now();
        let mut state = lock(&self.state);
        let lag = state.lag;
        let fresh = |shown: &(Instant, LoadReport)| now.duration_since(shown.0) < lag;
        let shown = state.shown.take().filter(fresh);
        let (taken, mut report) =
            shown.unwrap_or_else(|| (now, state.memory.report(state.leaving, now)));
        state.shown = Some((taken, report.clone()));
        report.age = now.duration_since(taken).as_millis() as u64;
        Reply::json(StatusCode::OK, &report)
    }

    fn leave(&self, leaving: bool) -> Reply {
        lock(&self.state).leaving = leaving;
        let upstream = self.upstream.clone();
        self.recorder.record(if leaving {
            Event::Leaving { upstream }
        } else {
            Event::Joined { upstream }
        });
        Reply::status(StatusCode::NO_CONTENT)
    }

    fn adjust(&self, manners: &Manners) -> Reply {
        let mut state = lock(&self.state);
        if let Some(pace) = manners.pace {
            state.pace = Duration::from_millis(pace);
        }
        if let Some(times) = manners.times {
            state.memory.set_times(times);
        }
        if let Some(lag) = manners.lag {
            state.lag = Duration::from_millis(lag);
        }
        if let Some(orders) = manners.orders {
            state.orders = Duration::from_millis(orders);
        }
        Reply::status(StatusCode::NO_CONTENT)
    }

    fn admin(&self, call: &Call) -> Reply {
        let bad = || Reply::status(StatusCode::BAD_REQUEST);
        match (call.method.as_str(), call.path.as_str()) {
            ("PUT", "/admin/gate") => self.gate.handle(call),
            ("PUT", "/admin/faults") => call.json::<Vec<Planned>>().map_or_else(bad, |faults| {
                self.plan.set(faults);
                Reply::status(StatusCode::NO_CONTENT)
            }),
            ("PUT", "/admin/settings") => call.json().map_or_else(bad, |m| self.adjust(&m)),
            ("PUT", "/admin/checkpoints") => {
                call.json::<Vec<Checkpoint>>()
                    .map_or_else(bad, |checkpoints| {
                        let memory = &mut lock(&self.state).memory;
                        for checkpoint in checkpoints {
                            memory.store(checkpoint);
                        }
                        Reply::status(StatusCode::NO_CONTENT)
                    })
            }
            ("PUT", "/admin/leaving") => call.json().map_or_else(bad, |on| self.leave(on)),
            ("GET", "/admin/refused") => {
                Reply::json(StatusCode::OK, &lock(&self.state).memory.refused())
            }
            ("GET", "/admin/history") => history(&self.recorder),
            _ => Reply::status(StatusCode::NOT_FOUND),
        }
    }

    async fn serve(self: Arc<Self>, call: Call) -> Reply {
        match (call.method.as_str(), call.path.as_str()) {
            ("POST", "/v1/chat/completions" | "/v1/completions") => self.complete(call).await,
            ("POST", "/orders") => self.order(&call).await,
            ("GET", "/load") => self.report(),
            ("GET", "/cache-events") => {
                let from = call.number("from").unwrap_or(0);
                let events = lock(&self.state).cache.read(from, self.clock.now());
                Reply::json(StatusCode::OK, &events)
            }
            _ => self.admin(&call),
        }
    }

    async fn complete(self: Arc<Self>, call: Call) -> Reply {
        let request = call.parsed::<RequestId>("x-request-id");
        self.recorder.record(Event::Received {
            upstream: self.upstream.clone(),
            request: request.clone(),
            raw: call.raw().into(),
        });
        let fault = self.plan.take();
        match fault {
            Some(Fault::CloseBeforeRun) => return Reply::Abort,
            Some(Fault::NotRun) => return self.declined(request, "not_run"),
            _ => {}
        }
        let Some(prompt) = call.json::<Completion>() else {
            return Reply::status(StatusCode::BAD_REQUEST);
        };
        let (Some(id), Some(model)) = (request.clone(), prompt.model()) else {
            return Reply::status(StatusCode::BAD_REQUEST);
        };
        let adapter = call.parsed::<AdapterId>("x-adapter");
        let named = call.parsed::<ReplicaId>("x-replica");
        let Some(replica) = self.start(named.as_ref(), &model, adapter.as_ref(), &prompt) else {
            return self.declined(request, "not_ready");
        };
        let running = Running {
            api: Arc::clone(&self),
            replica,
        };
        self.recorder.record(Event::Served {
            upstream: self.upstream.clone(),
            request: id.clone(),
            once: call.header("idempotency-key").map(Text::from),
            tokens: prompt.tokens(),
        });
        let generated = Generated {
            request: id,
            model,
            adapter,
            prompt,
            upstream: self.upstream.to_string(),
        };
        self.answer(generated, fault, running).await
    }

    fn start(
        &self,
        replica: Option<&ReplicaId>,
        model: &basilgw::ids::ModelId,
        adapter: Option<&AdapterId>,
        prompt: &Completion,
    ) -> Option<ReplicaId> {
        let now = self.clock.now();
        let mut state = lock(&self.state);
        if state.leaving {
            return None;
        }
        let replica = state.memory.start(replica, model, adapter, now)?;
        state.cache.store(replica.clone(), prompt.prefix(), now);
        Some(replica)
    }

    async fn answer(&self, generated: Generated, fault: Option<Fault>, running: Running) -> Reply {
        let pace = lock(&self.state).pace;
        let output = generated.prompt.output();
        let cut = (fault == Some(Fault::CutAnswer)).then_some(output / 2);
        match fault {
            Some(Fault::CloseAfterRun) => return Reply::Abort,
            Some(Fault::Silence) => return Reply::Silence,
            Some(Fault::Fail) => return Reply::status(StatusCode::INTERNAL_SERVER_ERROR),
            _ => {}
        }
        if generated.prompt.stream {
            let events = generated.events(pace, cut).map(move |event| {
                let _running = &running;
                event
            });
            return Reply::stream("text/event-stream", events);
        }
        tokio::time::sleep(pace.saturating_mul(output as u32)).await;
        if cut.is_some() {
            return cut_whole(&generated.whole());
        }
        Reply::bytes(StatusCode::OK, "application/json", generated.whole())
    }
}

/// An answer that promises its whole length and ends in the middle.
pub(crate) fn cut_whole(whole: &Buffer) -> Reply {
    let half = whole.slice(..whole.len() / 2);
    let parts = stream::iter([Ok(half), Err(io::ErrorKind::ConnectionReset.into())]);
    let stream = parts.then(|part| async move {
        if part.is_err() {
            tokio::time::sleep(FLUSH).await;
        }
        part
    });
    Reply::stream("application/json", stream).with("content-length", &whole.len().to_string())
}

#[derive(Debug)]
struct Shared(Arc<EngineApi>);

impl Api for Shared {
    fn handle(&self, call: Call) -> BoxFuture<'_, Reply> {
        Box::pin(Arc::clone(&self.0).serve(call))
    }
}

/// A running stand-in for a model engine.
#[derive(Debug)]
pub struct Engine {
    api: Arc<EngineApi>,
    listening: Listening,
}

impl Engine {
    /// Serves on `listen`.
    ///
    /// # Errors
    ///
    /// Where the address cannot be bound.
    pub async fn bind(listen: SocketAddr, settings: EngineSettings) -> io::Result<Self> {
        let memory = Memory::new(
            settings.memory,
            settings.generation,
            settings.fenced,
            settings.times,
        );
        let cache = Cache::new(settings.late, settings.gap);
        let state = State {
            memory,
            cache,
            leaving: false,
            pace: settings.pace,
            lag: settings.lag,
            orders: Duration::ZERO,
            shown: None,
        };
        let api = Arc::new(EngineApi {
            clock: SystemClock::open(),
            state: Mutex::new(state),
            plan: Plan::default(),
            recorder: Recorder::open(settings.upstream.as_str()),
            gate: GateHandle::default(),
            upstream: settings.upstream,
        });
        let shared = Arc::new(Shared(Arc::clone(&api)));
        let listening = Listening::bind(listen, &api.gate, shared).await?;
        Ok(Self { api, listening })
    }

    /// Its addresses.
    pub fn addresses(&self) -> Addresses {
        self.listening.addresses()
    }

    /// What it recorded.
    pub fn recorder(&self) -> &Arc<Recorder> {
        &self.api.recorder
    }

    /// The faults that its next requests meet.
    pub fn set_faults(&self, faults: Vec<Planned>) {
        self.api.plan.set(faults);
    }

    /// Changes what its gate does.
    pub fn set_gate(&self, mode: Mode) {
        self.listening.set(mode);
    }

    /// Starts or stops leaving.
    pub fn set_leaving(&self, leaving: bool) {
        self.api.leave(leaving);
    }

    /// Changes how long loads take.
    pub fn set_times(&self, times: LoadTimes) {
        lock(&self.api.state).memory.set_times(times);
    }

    /// Changes the pause before an order is carried out.
    pub fn delay_orders(&self, pause: Duration) {
        lock(&self.api.state).orders = pause;
    }

    /// Orders refused because they did not fit.
    pub fn refused(&self) -> u64 {
        lock(&self.api.state).memory.refused()
    }

    /// Gives an order, as a VM would.
    pub fn order(&self, order: &Order) -> OrderStatus {
        self.api.carry_out(order)
    }
}
