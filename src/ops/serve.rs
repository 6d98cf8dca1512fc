//! The service that answers operators.

use std::convert::Infallible;
use std::fmt::Debug;
use std::sync::Arc;

use http::{Method, StatusCode};
use http_body_util::{BodyExt, Limited};
use serde::Serialize;
use serde::de::DeserializeOwned;
use slog::{Logger, info, warn};
use volo::service::Service;
use volo_http::body::Body;
use volo_http::context::ServerContext;
use volo_http::request::Request;
use volo_http::response::Response;

use super::message::{Accepted, Failed, FailedCode, StatusReport, Withdrawal};
use crate::declare::{ApplyError, Change, Submitter, audit};
use crate::ids::Revision;
use crate::metrics::Metrics;
use crate::store::ObjectStore;

const MAX_BODY_BYTES: usize = 64 << 20;
const AUDIT_ENTRIES: usize = 100;

/// What a VM says of itself.
pub trait StatusSource: Send + Sync + Debug {
    /// The present status.
    fn status(&self) -> StatusReport;
}

/// What the operators' service is made of.
#[derive(Debug)]
pub struct OpsParts {
    /// Submits changes.
    pub submitter: Submitter,
    /// The platform's store, for the audit trail.
    pub store: Arc<dyn ObjectStore>,
    /// The VM's status.
    pub status: Arc<dyn StatusSource>,
    /// Metrics.
    pub metrics: Metrics,
    /// Log.
    pub log: Logger,
}

/// Answers operators.
#[derive(Clone, Debug)]
pub struct Ops(Arc<OpsParts>);

impl Ops {
    /// Opens the service.
    pub fn open(parts: OpsParts) -> Self {
        Self(Arc::new(parts))
    }

    async fn answer(&self, request: Request) -> Response {
        let (head, body) = request.into_parts();
        match (head.method, head.uri.path()) {
            (Method::GET, "/healthz") => text(StatusCode::OK, "ok\n"),
            (Method::GET, "/readyz") => self.readiness(),
            (Method::GET, "/metrics") => self.metrics(),
            (Method::GET, "/status") => json(StatusCode::OK, &self.0.status.status()),
            (Method::GET, "/audit") => self.audit(head.uri.query()).await,
            (Method::POST, "/apply") => self.apply(body).await,
            (Method::POST, "/withdraw-key") => self.withdraw(body).await,
            _ => text(StatusCode::NOT_FOUND, "not found\n"),
        }
    }

    fn readiness(&self) -> Response {
        if self.0.status.status().ready {
            text(StatusCode::OK, "ready\n")
        } else {
            text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
        }
    }

    fn metrics(&self) -> Response {
        match self.0.metrics.render() {
            Ok(lines) => text(StatusCode::OK, &lines),
            Err(e) => {
                warn!(self.0.log, "metrics_failed"; "error" => %e);
                text(
                    StatusCode::INTERNAL_SERVER_ERROR,
                    "metrics cannot be rendered\n",
                )
            }
        }
    }

    async fn audit(&self, query: Option<&str>) -> Response {
        let named = query
            .and_then(|q| q.strip_prefix("limit="))
            .and_then(|n| n.parse().ok());
        match audit::read(self.0.store.as_ref(), named.unwrap_or(AUDIT_ENTRIES)).await {
            Ok(entries) => json(StatusCode::OK, &entries),
            Err(e) => failed(&e),
        }
    }

    async fn apply(&self, body: Body) -> Response {
        let change: Change = match read(body).await {
            Ok(change) => change,
            Err(response) => return response,
        };
        let (id, actor) = (change.id.clone(), change.actor.clone());
        let outcome = self.0.submitter.submit(change).await;
        self.report(&outcome, id.as_str(), &actor);
        answer(outcome)
    }

    async fn withdraw(&self, body: Body) -> Response {
        let ask: Withdrawal = match read(body).await {
            Ok(ask) => ask,
            Err(response) => return response,
        };
        let (id, actor) = (ask.id.clone(), ask.actor.clone());
        let outcome = self.0.submitter.withdraw(&ask.key, ask.id, ask.actor).await;
        self.report(&outcome, id.as_str(), &actor);
        answer(outcome)
    }

    fn report(&self, outcome: &Result<Revision, ApplyError>, change: &str, actor: &str) {
        match outcome {
            Ok(revision) => info!(self.0.log, "change_accepted";
                "change" => change, "actor" => actor, "revision" => revision.0),
            Err(e) => info!(self.0.log, "change_refused";
                "change" => change, "actor" => actor, "error" => %e),
        }
    }
}

fn answer(outcome: Result<Revision, ApplyError>) -> Response {
    match outcome {
        Ok(revision) => json(StatusCode::OK, &Accepted { revision }),
        Err(e) => failed(&e),
    }
}

fn failed(error: &ApplyError) -> Response {
    let failed = Failed::from(error);
    let status = match failed.code {
        FailedCode::Malformed | FailedCode::Declaration => StatusCode::BAD_REQUEST,
        FailedCode::NoKey => StatusCode::NOT_FOUND,
        FailedCode::Conflict => StatusCode::CONFLICT,
        FailedCode::Unsettled => StatusCode::GATEWAY_TIMEOUT,
        FailedCode::Unavailable => StatusCode::SERVICE_UNAVAILABLE,
    };
    json(status, &failed)
}

async fn read<T>(body: Body) -> Result<T, Response>
where
    T: DeserializeOwned,
{
    let malformed = |why: String| {
        let failed = Failed {
            code: FailedCode::Malformed,
            details: vec![why.into()],
        };
        json(StatusCode::BAD_REQUEST, &failed)
    };
    let collected = Limited::new(body, MAX_BODY_BYTES).collect().await;
    let bytes = collected.map_err(|e| malformed(e.to_string()))?.to_bytes();
    serde_json::from_slice(&bytes).map_err(|e| malformed(e.to_string()))
}

fn text(status: StatusCode, body: &str) -> Response {
    let mut response = Response::new(Body::from(body.to_owned()));
    *response.status_mut() = status;
    response
}

fn json<T>(status: StatusCode, value: &T) -> Response
where
    T: Serialize,
{
    crate::edge::json_response(status, value)
}

impl Service<ServerContext, Request> for Ops {
    type Response = Response;
    type Error = Infallible;

    async fn call(&self, _cx: &mut ServerContext, req: Request) -> Result<Response, Infallible> {
        Ok(self.answer(req).await)
    }
}
