//! The stand-in for a plain service, whose calls may be ones that must not be repeated.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use basilgw::ids::{RequestId, Text, UpstreamId};
use basilgw::units::Tokens;
use futures_util::future::BoxFuture;
use http::StatusCode;
use serde::Serialize;
use serde_json::json;

use crate::engine::answer::digest;
use crate::engine::cut_whole;
use crate::fault::{Fault, Plan, Planned};
use crate::gate::Mode;
use crate::history::{Echo, Event};
use crate::http::{Addresses, Api, Call, GateHandle, Listening, Reply};
use crate::platform::history;
use crate::record::{Recorder, lock};

/// Runs so far.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Runs {
    /// By request.
    pub requests: BTreeMap<RequestId, u32>,
    /// By idempotency key.
    pub keys: BTreeMap<Text, u32>,
}

#[derive(Debug, Default)]
struct State {
    runs: Runs,
    count: u64,
    leaving: bool,
    pause: Duration,
}

#[derive(Debug)]
struct ServiceApi {
    upstream: UpstreamId,
    state: Mutex<State>,
    plan: Plan,
    recorder: Arc<Recorder>,
    gate: GateHandle,
}

impl ServiceApi {
    fn declined(&self, request: Option<RequestId>) -> Reply {
        let upstream = self.upstream.clone();
        self.recorder.record(Event::Declined { upstream, request });
        let body = json!({"error": {"code": "not_run"}});
        Reply::json(StatusCode::SERVICE_UNAVAILABLE, &body).with("x-not-run", "1")
    }

    fn run(&self, request: &RequestId, once: Option<&Text>) -> u64 {
        let mut state = lock(&self.state);
        state.count += 1;
        *state.runs.requests.entry(request.clone()).or_default() += 1;
        if let Some(once) = once {
            *state.runs.keys.entry(once.clone()).or_default() += 1;
        }
        self.recorder.record(Event::Served {
            upstream: self.upstream.clone(),
            request: request.clone(),
            once: once.cloned(),
            tokens: Tokens(1),
        });
        state.count
    }

    async fn work(&self, call: Call) -> Reply {
        let request = call.parsed::<RequestId>("x-request-id");
        self.recorder.record(Event::Received {
            upstream: self.upstream.clone(),
            request: request.clone(),
            raw: call.raw().into(),
        });
        let (leaving, pause) = {
            let state = lock(&self.state);
            (state.leaving, state.pause)
        };
        let fault = self.plan.take();
        match fault {
            Some(Fault::CloseBeforeRun) => return Reply::Abort,
            Some(Fault::NotRun) => return self.declined(request),
            _ if leaving => return self.declined(request),
            _ => {}
        }
        let Some(request) = request else {
            return Reply::status(StatusCode::BAD_REQUEST);
        };
        let once = call.header("idempotency-key").map(Text::from);
        let number = self.run(&request, once.as_ref());
        tokio::time::sleep(pause).await;
        let echo = Echo {
            request,
            model: None,
            adapter: None,
            digest: digest(&call.body),
        };
        let body = json!({
            "run": number,
            "upstream": self.upstream,
            "path": call.path,
            "key": once,
            "echo": echo,
        });
        match fault {
            Some(Fault::CloseAfterRun) => Reply::Abort,
            Some(Fault::Silence) => Reply::Silence,
            Some(Fault::Fail) => Reply::status(StatusCode::INTERNAL_SERVER_ERROR),
            Some(Fault::CutAnswer) => cut_whole(&body.to_string().into()),
            _ => Reply::json(StatusCode::OK, &body),
        }
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

    fn pause(&self, pause: Duration) -> Reply {
        lock(&self.state).pause = pause;
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
            ("PUT", "/admin/leaving") => call.json().map_or_else(bad, |on| self.leave(on)),
            ("PUT", "/admin/slow") => call
                .json()
                .map_or_else(bad, |ms| self.pause(Duration::from_millis(ms))),
            ("GET", "/admin/runs") => Reply::json(StatusCode::OK, &lock(&self.state).runs),
            ("GET", "/admin/history") => history(&self.recorder),
            _ => Reply::status(StatusCode::NOT_FOUND),
        }
    }

    async fn serve(&self, call: Call) -> Reply {
        if call.path.starts_with("/admin/") {
            return self.admin(&call);
        }
        self.work(call).await
    }
}

impl Api for ServiceApi {
    fn handle(&self, call: Call) -> BoxFuture<'_, Reply> {
        Box::pin(self.serve(call))
    }
}

/// A running stand-in for a plain service.
#[derive(Debug)]
pub struct PlainService {
    api: Arc<ServiceApi>,
    listening: Listening,
}

impl PlainService {
    /// Serves on `listen`.
    ///
    /// # Errors
    ///
    /// Where the address cannot be bound.
    pub async fn bind(listen: SocketAddr, upstream: UpstreamId) -> io::Result<Self> {
        let api = Arc::new(ServiceApi {
            state: Mutex::default(),
            plan: Plan::default(),
            recorder: Recorder::open(upstream.as_str()),
            gate: GateHandle::default(),
            upstream,
        });
        let shared: Arc<dyn Api> = Arc::<ServiceApi>::clone(&api);
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

    /// The faults that its next calls meet.
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

    /// Changes how long a run takes.
    pub fn set_pause(&self, pause: Duration) {
        self.api.pause(pause);
    }

    /// Runs so far.
    pub fn runs(&self) -> Runs {
        lock(&self.api.state).runs.clone()
    }
}
