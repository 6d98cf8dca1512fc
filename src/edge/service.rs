//! Handles requests to services other than models, by the declared routes.
//!
//! A request that must not run twice is executed in a task of its own, so that it runs to its end
//! even if its caller disconnects. If it has an idempotency key, its outcome is recorded.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http::{HeaderMap, HeaderValue, Method, StatusCode};
use slog::info;
use volo_http::body::Body;
use volo_http::response::Response;

use super::auth::Principal;
use super::completion::{Cost, read_response, response_head};
use super::parse;
use super::request_tracker::RequestGuard;
use super::serve::{EdgeDeps, RequestHead};
use crate::ids::{ClientAccount, RouteId};
use crate::once::OnceKey;
use crate::once::runner::RunOutcome;
use crate::outcome::{Ran, Reason, Refusal};
use crate::route::dispatch::Job;
use crate::route::headers;
use crate::schema::declaration::Route;
use crate::units::Tokens;

const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Greatest length of an idempotency key.
const MAX_KEY_BYTES: usize = 255;
/// Account under which requests on routes without keys are recorded. No declared account can have
/// this name.
const OPEN_ACCOUNT: &str = "_open";

/// Keeps a request counted and its cost reserved until the request ends.
struct ServiceGuards {
    _guard: RequestGuard,
    /// Reserved cost; `None` on routes without keys.
    cost: Option<Cost>,
}

/// Handles one request to a service.
pub(super) async fn serve(
    deps: &Arc<EdgeDeps>,
    head: RequestHead,
    method: Method,
    guard: RequestGuard,
    body: Body,
) -> Result<Response, Refusal> {
    let current = deps.active_config.current();
    if current.head.is_none() {
        return Err(Refusal::not_run(Reason::NotReady));
    }
    let path = head.path.split('?').next().unwrap_or_default();
    let matched = current.route(path);
    let (id, route) = matched.ok_or_else(|| Refusal::not_run(Reason::UnknownRoute))?;
    let principal = authorize(deps, &head, id, route)?;
    let body = parse::read_body(body, &deps.callers).await?;
    let cost = match &principal {
        Some(principal) => Some(Cost::reserve(deps, principal, &head, Tokens(route.cost)).await?),
        None => None,
    };
    let account = account_of(principal.as_ref())?;
    let timeout = deps.clock.now() + Duration::from_millis(route.timeout);
    let deadline = head.deadline.min(timeout);
    let job = build_job(deps, &head, method, body, route, deadline)?;
    let guards = ServiceGuards {
        _guard: guard,
        cost,
    };
    if route.idempotent {
        return send(deps, &head, route, &job, guards).await;
    }
    let once = once_key(&head.headers, account, id, &job)?;
    let deps = Arc::clone(deps);
    let route = route.clone();
    let task = tokio::spawn(async move { run_once(&deps, &head, &route, job, once, guards).await });
    task.await
        .map_err(|_cause| Refusal::unknown(Reason::Internal))?
}

/// Authenticates a request and checks that its account may use the route. Returns `None` for a route
/// without keys.
fn authorize(
    deps: &EdgeDeps,
    head: &RequestHead,
    id: &RouteId,
    route: &Route,
) -> Result<Option<Principal>, Refusal> {
    if route.open {
        return Ok(None);
    }
    let principal = deps.authenticate(head)?;
    let current = deps.active_config.current();
    let access = current.access(&principal.owner.account);
    if !access.is_some_and(|access| access.routes.contains(id)) {
        return Err(Refusal::not_run(Reason::Forbidden));
    }
    Ok(Some(principal))
}

fn account_of(principal: Option<&Principal>) -> Result<ClientAccount, Refusal> {
    match principal {
        Some(principal) => Ok(principal.owner.account.clone()),
        None => OPEN_ACCOUNT
            .parse()
            .or(Err(Refusal::not_run(Reason::Internal))),
    }
}

/// Builds the request to the service. Refuses it for lack of capacity if no instance of the service
/// is running.
fn build_job(
    deps: &EdgeDeps,
    head: &RequestHead,
    method: Method,
    body: Bytes,
    route: &Route,
    deadline: Instant,
) -> Result<Job, Refusal> {
    let mut request = headers::build_request(method, &head.path, &head.headers, body)?;
    let id = HeaderValue::from_str(head.id.as_str());
    let id = id.or(Err(Refusal::not_run(Reason::Malformed)))?;
    request.headers.insert(super::response::REQUEST_ID, id);
    if deps
        .directory
        .snapshot()
        .live_services(&route.service)
        .is_empty()
    {
        let wait = Duration::from_secs(1);
        return Err(Refusal::not_run(Reason::Capacity).retry_after(wait));
    }
    Ok(Job {
        request,
        idempotent: route.idempotent,
        deadline,
        prefix: None,
        replicas: BTreeMap::new(),
    })
}

/// Sends a request to the service and returns its complete response.
async fn send(
    deps: &EdgeDeps,
    head: &RequestHead,
    route: &Route,
    job: &Job,
    mut guards: ServiceGuards,
) -> Result<Response, Refusal> {
    let instances = deps.directory.snapshot().live_services(&route.service);
    let dispatched = match deps.dispatcher.dispatch(&instances, job).await {
        Ok(dispatched) => dispatched,
        Err(refusal) => {
            charge(&mut guards, route, refusal.ran);
            return Err(refusal);
        }
    };
    charge(&mut guards, route, Ran::Yes);
    info!(deps.log, "request_dispatched";
        "request" => %head.id, "service" => %route.service, "upstream" => %dispatched.upstream);
    let mut response = response_head(&dispatched);
    let read =
        tokio::time::timeout_at(job.deadline.into(), read_response(dispatched.response)).await;
    let body = read.unwrap_or(Err(Refusal::unknown(Reason::Deadline)))?;
    *response.body_mut() = Body::from(body);
    Ok(response)
}

/// Sets the tokens to charge: the cost of the route, or none if the request did not run.
fn charge(guards: &mut ServiceGuards, route: &Route, ran: Ran) {
    if let Some(cost) = &mut guards.cost {
        cost.used = if ran == Ran::No {
            Tokens::ZERO
        } else {
            Tokens(route.cost)
        };
    }
}

/// Runs a request at most once if it has an idempotency key; otherwise sends it like any other.
async fn run_once(
    deps: &EdgeDeps,
    head: &RequestHead,
    route: &Route,
    job: Job,
    once: Option<OnceKey>,
    mut guards: ServiceGuards,
) -> Result<Response, Refusal> {
    let Some(key) = once else {
        return send(deps, head, route, &job, guards).await;
    };
    let instances = deps.directory.snapshot().live_services(&route.service);
    let outcome = deps.runner.run(instances, job, key).await;
    let ran = outcome
        .as_ref()
        .map_or_else(|refusal| refusal.ran, |_| Ran::Yes);
    charge(&mut guards, route, ran);
    let outcome = outcome?;
    info!(deps.log, "request_ran_once";
        "request" => %head.id, "service" => %route.service,
        "repeated" => outcome.repeated);
    Ok(recorded_response(outcome))
}

fn recorded_response(outcome: RunOutcome) -> Response {
    let recorded = outcome.response;
    let mut response = Response::new(Body::from(recorded.body));
    *response.status_mut() = StatusCode::from_u16(recorded.status).unwrap_or(StatusCode::OK);
    if let Ok(content_type) = HeaderValue::from_str(&recorded.content_type) {
        response.headers_mut().insert(CONTENT_TYPE, content_type);
    }
    if outcome.repeated {
        let headers = response.headers_mut();
        headers.insert("x-repeated", HeaderValue::from_static("1"));
    }
    response
}

/// Reads the idempotency key of a request; `None` if it has none. The digest covers the method, path
/// and body, to detect another request with the same key.
fn once_key(
    headers: &HeaderMap,
    account: ClientAccount,
    route: &RouteId,
    job: &Job,
) -> Result<Option<OnceKey>, Refusal> {
    let Some(value) = headers.get(IDEMPOTENCY_KEY) else {
        return Ok(None);
    };
    let malformed = || Refusal::not_run(Reason::Malformed);
    let key = value
        .to_str()
        .ok()
        .filter(|k| !k.is_empty() && k.len() <= MAX_KEY_BYTES);
    let key = key.ok_or_else(malformed)?;
    let mut hasher = blake3::Hasher::new();
    hasher.update(job.request.method.as_str().as_bytes());
    hasher.update(&[0]);
    hasher.update(job.request.path.as_bytes());
    hasher.update(&[0]);
    hasher.update(&job.request.body);
    let digest = *hasher.finalize().as_bytes();
    Ok(Some(OnceKey {
        account,
        route: route.clone(),
        key: key.into(),
        digest,
    }))
}
