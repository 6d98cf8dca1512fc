//! The service that answers callers.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Instant;

use http::{HeaderMap, Method, StatusCode};
use serde::Serialize;
use slog::{Logger, info};
use volo::service::Service;
use volo_http::context::ServerContext;
use volo_http::request::Request;
use volo_http::response::Response;

use super::auth::{KeyTrust, Principal, authenticate};
use super::parse;
use super::relay::StreamMonitor;
use super::request_tracker::RequestTracker;
use super::response::{self, json_response, refusal_response};
use super::{completion, service};
use crate::clock::Clock;
use crate::declare::ActiveConfig;
use crate::ids::RequestId;
use crate::limit::Limiter;
use crate::metrics::EdgeMetrics;
use crate::model::ReplicaPool;
use crate::once::runner::OnceRunner;
use crate::outcome::{Reason, Refusal};
use crate::route::dispatch::Dispatcher;
use crate::schema::settings::CallerSettings;
use crate::store::InstanceDirectory;

/// What the edge is made of.
#[derive(Debug)]
pub struct EdgeDeps {
    /// The configuration in force.
    pub active_config: Arc<ActiveConfig>,
    /// Whether keys may still be trusted.
    pub key_trust: Arc<dyn KeyTrust>,
    /// Rates and bursts.
    pub limiter: Arc<dyn Limiter>,
    /// Replicas.
    pub pool: Arc<dyn ReplicaPool>,
    /// Runs requests that must run once.
    pub runner: OnceRunner,
    /// Sends requests to upstreams.
    pub dispatcher: Dispatcher,
    /// Upstreams and VMs.
    pub directory: Arc<InstanceDirectory>,
    /// Running requests.
    pub running: Arc<RequestTracker>,
    /// Bounds on callers.
    pub callers: CallerSettings,
    /// Looks at running streams.
    pub monitor: StreamMonitor,
    /// Counters.
    pub metrics: EdgeMetrics,
    /// Time.
    pub clock: Arc<dyn Clock>,
    /// Log.
    pub log: Logger,
}

impl EdgeDeps {
    pub(super) fn authenticate(&self, arrived: &Arrived) -> Result<Principal, Refusal> {
        authenticate(&arrived.headers, &self.active_config, &self.key_trust)
    }
}

/// The head of a request, read once.
#[derive(Clone, Debug)]
pub(super) struct Arrived {
    /// Its id, which its caller may have chosen.
    pub request: RequestId,
    /// Its name within the system, which no other request has.
    pub serial: RequestId,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its path and query.
    pub path: String,
    /// When it must be answered.
    pub deadline: Instant,
}

/// Answers callers.
#[derive(Clone, Debug)]
pub struct Edge(Arc<EdgeDeps>);

#[derive(Serialize)]
struct ModelList<'a> {
    object: &'static str,
    data: Vec<ModelEntry<'a>>,
}

#[derive(Serialize)]
struct ModelEntry<'a> {
    id: &'a str,
    object: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    parent: Option<&'a str>,
}

impl Edge {
    /// Opens the service.
    pub fn open(deps: EdgeDeps) -> Self {
        Self(Arc::new(deps))
    }

    async fn answer(&self, request: Request) -> Response {
        let deps = &self.0;
        let begun = deps.clock.now();
        let id = parse::parse_request_id(request.headers());
        let named = id.clone().ok();
        let outcome = match id {
            Ok(id) => self.admit(request, id, begun).await,
            Err(refusal) => Err(refusal),
        };
        let spent = deps.clock.now().saturating_duration_since(begun);
        match outcome {
            Ok(mut response) => {
                deps.metrics.answered(response.status(), spent);
                response::set_request_id(&mut response, named.as_ref());
                response
            }
            Err(refusal) => {
                deps.metrics.refused(refusal.reason, spent);
                info!(deps.log, "request_refused";
                    "request" => named.as_ref().map(ToString::to_string),
                    "reason" => ?refusal.reason, "ran" => %refusal.ran);
                refusal_response(&refusal, named.as_ref())
            }
        }
    }

    async fn admit(
        &self,
        request: Request,
        id: RequestId,
        begun: Instant,
    ) -> Result<Response, Refusal> {
        let deps = &self.0;
        let guard = deps.running.try_start(deps.callers.waiting as usize)?;
        let (head, body) = request.into_parts();
        let path = head
            .uri
            .path_and_query()
            .map_or("/", |p| p.as_str())
            .to_owned();
        parse::check_head_size(&path, &head.headers, &deps.callers)?;
        let deadline = parse::parse_deadline(&head.headers, begun, &deps.callers)?;
        let arrived = Arrived {
            request: id,
            serial: RequestId::random(),
            headers: head.headers,
            path,
            deadline,
        };
        match (head.method, arrived.path.as_str()) {
            (Method::POST, "/v1/chat/completions" | "/v1/completions") => {
                completion::serve(deps, arrived, guard, body).await
            }
            (Method::GET, "/v1/models") => self.list_models(&arrived),
            (_, path) if path.starts_with("/v1/") => Err(Refusal::not_run(Reason::UnknownRoute)),
            (method, _) => service::serve(deps, arrived, method, guard, body).await,
        }
    }

    fn list_models(&self, arrived: &Arrived) -> Result<Response, Refusal> {
        let principal = self.0.authenticate(arrived)?;
        let current = self.0.active_config.current();
        let unauthorized = || Refusal::not_run(Reason::Unauthorized);
        let access = current
            .access(&principal.owner.account)
            .ok_or_else(unauthorized)?;
        let models = access.models.iter().map(|model| ModelEntry {
            id: model.as_str(),
            object: "model",
            parent: None,
        });
        let adapters = access.adapters.iter().filter_map(|adapter| {
            let spec = current.declaration.adapters.get(adapter)?;
            Some(ModelEntry {
                id: adapter.as_str(),
                object: "model",
                parent: Some(spec.model.as_str()),
            })
        });
        let list = ModelList {
            object: "list",
            data: models.chain(adapters).collect(),
        };
        Ok(json_response(StatusCode::OK, &list))
    }
}

impl Service<ServerContext, Request> for Edge {
    type Response = Response;
    type Error = Infallible;

    async fn call(&self, _cx: &mut ServerContext, req: Request) -> Result<Response, Infallible> {
        Ok(self.answer(req).await)
    }
}
