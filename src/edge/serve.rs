//! The HTTP service that handles callers' requests.

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

/// Everything that an [`Edge`] is built from.
#[derive(Debug)]
pub struct EdgeDeps {
    /// The configuration in force.
    pub active_config: Arc<ActiveConfig>,
    /// Whether this VM may rely on the keys in its configuration.
    pub key_trust: Arc<dyn KeyTrust>,
    /// Enforces the quotas of accounts and callers.
    pub limiter: Arc<dyn Limiter>,
    /// Gives requests their turn on replicas of models.
    pub pool: Arc<dyn ReplicaPool>,
    /// Runs requests that have an idempotency key at most once.
    pub runner: OnceRunner,
    /// Sends requests to upstreams.
    pub dispatcher: Dispatcher,
    /// Running instances of engines and services, and other VMs.
    pub directory: Arc<InstanceDirectory>,
    /// Counts running requests.
    pub running: Arc<RequestTracker>,
    /// Limits on callers' requests.
    pub callers: CallerSettings,
    /// Ends streamed responses whose key was withdrawn or whose deadline has passed.
    pub monitor: StreamMonitor,
    /// Metrics of requests and responses.
    pub metrics: EdgeMetrics,
    /// Source of the current time.
    pub clock: Arc<dyn Clock>,
    /// Logger for events of requests.
    pub log: Logger,
}

impl EdgeDeps {
    pub(super) fn authenticate(&self, head: &RequestHead) -> Result<Principal, Refusal> {
        authenticate(&head.headers, &self.active_config, &self.key_trust)
    }
}

/// The head of a request and the values parsed from it.
#[derive(Clone, Debug)]
pub(super) struct RequestHead {
    /// Id for logs and responses. The caller may have chosen it, so it need not be unique.
    pub id: RequestId,
    /// Unique id within the gateway.
    pub internal_id: RequestId,
    /// Headers as the caller sent them.
    pub headers: HeaderMap,
    /// Path and query.
    pub path: String,
    /// When the response must be complete.
    pub deadline: Instant,
}

/// Handles callers' requests.
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
    /// Creates the service.
    pub fn open(deps: EdgeDeps) -> Self {
        Self(Arc::new(deps))
    }

    /// Handles a request and builds the response, which for a refused request is an error.
    async fn respond(&self, request: Request) -> Response {
        let deps = &self.0;
        let started = deps.clock.now();
        let id = parse::parse_request_id(request.headers());
        let valid_id = id.clone().ok();
        let outcome = match id {
            Ok(id) => self.handle(request, id, started).await,
            Err(refusal) => Err(refusal),
        };
        let elapsed = deps.clock.now().saturating_duration_since(started);
        match outcome {
            Ok(mut response) => {
                deps.metrics.answered(response.status(), elapsed);
                response::set_request_id(&mut response, valid_id.as_ref());
                response
            }
            Err(refusal) => {
                deps.metrics.refused(refusal.reason, elapsed);
                info!(deps.log, "request_refused";
                    "request" => valid_id.as_ref().map(ToString::to_string),
                    "reason" => ?refusal.reason, "ran" => %refusal.ran);
                refusal_response(&refusal, valid_id.as_ref())
            }
        }
    }

    /// Checks a request's head and passes the request on by its path.
    async fn handle(
        &self,
        request: Request,
        id: RequestId,
        started: Instant,
    ) -> Result<Response, Refusal> {
        let deps = &self.0;
        let guard = deps.running.try_start(deps.callers.waiting as usize)?;
        let (http_head, body) = request.into_parts();
        let path = http_head
            .uri
            .path_and_query()
            .map_or("/", |p| p.as_str())
            .to_owned();
        parse::check_head_size(&path, &http_head.headers, &deps.callers)?;
        let deadline = parse::parse_deadline(&http_head.headers, started, &deps.callers)?;
        let head = RequestHead {
            id,
            internal_id: RequestId::random(),
            headers: http_head.headers,
            path,
            deadline,
        };
        match (http_head.method, head.path.as_str()) {
            (Method::POST, "/v1/chat/completions" | "/v1/completions") => {
                completion::serve(deps, head, guard, body).await
            }
            (Method::GET, "/v1/models") => self.list_models(&head),
            (_, path) if path.starts_with("/v1/") => Err(Refusal::not_run(Reason::UnknownRoute)),
            (method, _) => service::serve(deps, head, method, guard, body).await,
        }
    }

    fn list_models(&self, head: &RequestHead) -> Result<Response, Refusal> {
        let principal = self.0.authenticate(head)?;
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
        Ok(self.respond(req).await)
    }
}
