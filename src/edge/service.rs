//! Calls to plain services.
//!
//! A call that must not run twice is carried through by a task of its own: a caller that leaves
//! does not cut it, and its outcome is recorded whatever becomes of the caller.

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
const MAX_KEY_BYTES: usize = 255;
// No declared account can have this name.
const OPEN_ACCOUNT: &str = "_open";

/// Everything a call holds until it is over.
struct Held {
    _guard: RequestGuard,
    cost: Option<Cost>,
}

/// Serves a call to a plain service.
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
    let found = current.route(path);
    let (id, route) = found.ok_or_else(|| Refusal::not_run(Reason::UnknownRoute))?;
    let principal = admit(deps, &head, id, route)?;
    let body = parse::read_body(body, &deps.callers).await?;
    let cost = match &principal {
        Some(holder) => Some(Cost::reserve(deps, holder, &head, Tokens(route.cost)).await?),
        None => None,
    };
    let account = account_of(principal.as_ref())?;
    let timeout = deps.clock.now() + Duration::from_millis(route.timeout);
    let deadline = head.deadline.min(timeout);
    let job = prepare(deps, &head, method, body, route, deadline)?;
    let held = Held {
        _guard: guard,
        cost,
    };
    if route.idempotent {
        return call(deps, &head, route, &job, held).await;
    }
    let once = once_key(&head.headers, account, id, &job)?;
    let deps = Arc::clone(deps);
    let route = route.clone();
    let task = tokio::spawn(async move { call_once(&deps, &head, &route, job, once, held).await });
    task.await
        .map_err(|_cause| Refusal::unknown(Reason::Internal))?
}

fn admit(
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

fn prepare(
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

async fn call(
    deps: &EdgeDeps,
    head: &RequestHead,
    route: &Route,
    job: &Job,
    mut held: Held,
) -> Result<Response, Refusal> {
    let among = deps.directory.snapshot().live_services(&route.service);
    let served = match deps.dispatcher.dispatch(&among, job).await {
        Ok(served) => served,
        Err(refusal) => {
            charge(&mut held, route, refusal.ran);
            return Err(refusal);
        }
    };
    charge(&mut held, route, Ran::Yes);
    info!(deps.log, "request_dispatched";
        "request" => %head.id, "service" => %route.service, "upstream" => %served.upstream);
    let mut response = response_head(&served);
    let bounded =
        tokio::time::timeout_at(job.deadline.into(), read_response(served.response)).await;
    let body = bounded.unwrap_or(Err(Refusal::unknown(Reason::Deadline)))?;
    *response.body_mut() = Body::from(body);
    Ok(response)
}

fn charge(held: &mut Held, route: &Route, ran: Ran) {
    if let Some(cost) = &mut held.cost {
        cost.used = if ran == Ran::No {
            Tokens::ZERO
        } else {
            Tokens(route.cost)
        };
    }
}

async fn call_once(
    deps: &EdgeDeps,
    head: &RequestHead,
    route: &Route,
    job: Job,
    once: Option<OnceKey>,
    mut held: Held,
) -> Result<Response, Refusal> {
    let Some(key) = once else {
        return call(deps, head, route, &job, held).await;
    };
    let among = deps.directory.snapshot().live_services(&route.service);
    let outcome = deps.runner.run(among, job, key).await;
    let ran = outcome
        .as_ref()
        .map_or_else(|refusal| refusal.ran, |_| Ran::Yes);
    charge(&mut held, route, ran);
    let outcome = outcome?;
    info!(deps.log, "request_ran_once";
        "request" => %head.id, "service" => %route.service,
        "repeated" => outcome.repeated);
    Ok(recorded(outcome))
}

fn recorded(outcome: RunOutcome) -> Response {
    let answer = outcome.response;
    let mut response = Response::new(Body::from(answer.body));
    *response.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK);
    if let Ok(media) = HeaderValue::from_str(&answer.content_type) {
        response.headers_mut().insert(CONTENT_TYPE, media);
    }
    if outcome.repeated {
        let headers = response.headers_mut();
        headers.insert("x-repeated", HeaderValue::from_static("1"));
    }
    response
}

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
