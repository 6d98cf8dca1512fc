//! Handles completion requests, which call a model.
//!
//! A request first reserves its greatest possible cost, then waits for its turn on a replica of the
//! model, and is then sent there. A streamed response is passed on chunk by chunk; any other
//! response is read completely before it is returned.

use std::collections::BTreeMap;
use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use http::header::CONTENT_TYPE;
use http::{HeaderName, HeaderValue, Method, StatusCode};
use slog::info;
use volo_http::body::Body;
use volo_http::response::Response;

use super::auth::Principal;
use super::parse::{self, CompletionRequest};
use super::relay;
use super::request_tracker::RequestGuard;
use super::serve::{EdgeDeps, RequestHead};
use crate::declare::ConfigSnapshot;
use crate::ids::{AdapterId, ModelId, UpstreamId};
use crate::limit::{Limiter, TokenRequest, TokenReservation};
use crate::model::{Replica, ReplicaPool, ReplicaRequest};
use crate::outcome::{Reason, Refusal};
use crate::route::dispatch::{Dispatched, Job};
use crate::route::{UpstreamResponse, headers};
use crate::schema::declaration::Priority;
use crate::store::Instance;
use crate::units::Tokens;

/// Header that tells the engine the priority of a request; 0 is the highest.
const PRIORITY: HeaderName = HeaderName::from_static("x-priority");
/// Header that tells the engine which adapter to use.
const ADAPTER: HeaderName = HeaderName::from_static("x-adapter");
/// Header of a response that names the upstream that sent it.
pub const SERVED_BY: HeaderName = HeaderName::from_static("x-served-by");
/// Greatest size of a response that is not streamed.
const MAX_RESPONSE_BYTES: usize = 8 << 20;

/// The reserved cost of a request. On drop, the tokens used are charged and the rest is returned.
#[derive(Debug)]
pub(super) struct Cost {
    limiter: Arc<dyn Limiter>,
    reservation: Option<TokenReservation>,
    /// Tokens to charge.
    pub used: Tokens,
}

impl Cost {
    /// Reserves tokens from the quotas of the sender's account and caller.
    pub async fn reserve(
        deps: &EdgeDeps,
        principal: &Principal,
        head: &RequestHead,
        tokens: Tokens,
    ) -> Result<Self, Refusal> {
        let request = TokenRequest {
            account: principal.owner.account.clone(),
            caller: principal.owner.caller.clone(),
            tokens,
            deadline: head.deadline,
        };
        let limiter = Arc::clone(&deps.limiter);
        let reservation = Some(limiter.reserve(request).await?);
        Ok(Self {
            limiter,
            reservation,
            used: Tokens::ZERO,
        })
    }
}

impl Drop for Cost {
    fn drop(&mut self) {
        if let Some(reservation) = self.reservation.take() {
            self.limiter.settle(reservation, self.used);
        }
    }
}

/// A request's slot on one of the given replicas, freed on drop.
#[derive(Debug)]
struct ReplicaSlot {
    pool: Arc<dyn ReplicaPool>,
    request: ReplicaRequest,
    replicas: Vec<Replica>,
}

impl ReplicaSlot {
    async fn acquire(deps: &EdgeDeps, request: ReplicaRequest) -> Result<Self, Refusal> {
        let pool = Arc::clone(&deps.pool);
        let replicas = pool.acquire(request.clone()).await?;
        Ok(Self {
            pool,
            request,
            replicas,
        })
    }

    /// The replica on each engine.
    fn replica_ids(&self) -> BTreeMap<UpstreamId, crate::ids::ReplicaId> {
        self.replicas
            .iter()
            .map(|r| (r.upstream.clone(), r.id.clone()))
            .collect()
    }

    /// The engines that have one of the replicas.
    fn engines(&self, deps: &EdgeDeps) -> Vec<Instance> {
        let has_replica = |i: &Instance| {
            self.replicas
                .iter()
                .any(|r| r.upstream.as_str() == i.vm.as_str())
        };
        deps.directory
            .snapshot()
            .live_engines()
            .into_iter()
            .filter(|i| has_replica(i))
            .collect()
    }
}

impl Drop for ReplicaSlot {
    fn drop(&mut self) {
        self.pool.release(&self.request);
    }
}

/// Keeps a request counted, its cost reserved and its slot taken until the request ends.
#[derive(Debug)]
pub(super) struct CompletionGuards {
    _guard: RequestGuard,
    /// Reserved cost.
    pub cost: Cost,
    slot: ReplicaSlot,
}

/// Handles one completion request.
pub(super) async fn serve(
    deps: &Arc<EdgeDeps>,
    head: RequestHead,
    guard: RequestGuard,
    body: Body,
) -> Result<Response, Refusal> {
    let principal = deps.authenticate(&head)?;
    let body = parse::read_body(body, &deps.callers).await?;
    let call = parse::parse_completion(&body, &deps.callers)?;
    check_access(&deps.active_config.current(), &principal, &call)?;
    let job = build_job(&head, &principal, &call, body)?;
    let dispatched = tokio::select! {
        biased;
        () = principal.wait_withdrawn() => return Err(Refusal::not_run(Reason::Withdrawn)),
        admitted = admit(deps, &principal, &head, &call, guard) => {
            let (guards, engines) = admitted?;
            dispatch(deps, &principal, job, guards, &engines).await?
        }
    };
    let (guards, dispatched) = dispatched;
    info!(deps.log, "request_dispatched";
        "request" => %head.id, "account" => %principal.owner.account,
        "model" => %call.model, "upstream" => %dispatched.upstream);
    if call.stream && dispatched.response.status == StatusCode::OK {
        return Ok(stream_response(
            deps, head, principal, &call, guards, dispatched,
        ));
    }
    complete_response(&principal, &head, &call, guards, dispatched).await
}

/// Reserves the cost of a request and waits for its turn on a replica.
async fn admit(
    deps: &Arc<EdgeDeps>,
    principal: &Principal,
    head: &RequestHead,
    call: &CompletionRequest,
    guard: RequestGuard,
) -> Result<(CompletionGuards, Vec<Instance>), Refusal> {
    let max_cost = call.prompt + call.output;
    let cost = Cost::reserve(deps, principal, head, max_cost).await?;
    let request = ReplicaRequest {
        id: head.internal_id.clone(),
        account: principal.owner.account.clone(),
        priority: principal.owner.priority,
        model: call.model.clone(),
        adapter: call.adapter.clone(),
        work: max_cost,
        deadline: head.deadline,
    };
    let slot = ReplicaSlot::acquire(deps, request).await?;
    let engines = slot.engines(deps);
    Ok((
        CompletionGuards {
            _guard: guard,
            cost,
            slot,
        },
        engines,
    ))
}

/// Sends a request to one of the engines and waits for the head of the response.
async fn dispatch(
    deps: &Arc<EdgeDeps>,
    principal: &Principal,
    mut job: Job,
    mut guards: CompletionGuards,
    engines: &[Instance],
) -> Result<(CompletionGuards, Dispatched), Refusal> {
    job.replicas = guards.slot.replica_ids();
    // Once the request is sent, the engine may do all of its work, also if no response arrives.
    guards.cost.used = guards.slot.request.work;
    let outcome = tokio::select! {
        biased;
        () = principal.wait_withdrawn() => Err(Refusal::unknown(Reason::Withdrawn)),
        result = deps.dispatcher.dispatch(engines, &job) => result,
    };
    match outcome {
        Ok(dispatched) => Ok((guards, dispatched)),
        Err(refusal) => {
            if refusal.ran == crate::outcome::Ran::No {
                guards.cost.used = Tokens::ZERO;
            }
            Err(refusal)
        }
    }
}

fn stream_response(
    deps: &Arc<EdgeDeps>,
    head: RequestHead,
    principal: Principal,
    call: &CompletionRequest,
    guards: CompletionGuards,
    dispatched: Dispatched,
) -> Response {
    let mut response = response_head(&dispatched);
    let request = relay::StreamRequest {
        principal,
        id: head.id,
        internal_id: head.internal_id,
        deadline: head.deadline,
        prompt: call.prompt,
    };
    let relayed = deps
        .monitor
        .relay(request, dispatched.response.body, guards);
    *response.body_mut() = Body::from_stream(relayed);
    response
}

/// Reads the complete response and charges the tokens that it reports as used.
async fn complete_response(
    principal: &Principal,
    head: &RequestHead,
    call: &CompletionRequest,
    mut guards: CompletionGuards,
    dispatched: Dispatched,
) -> Result<Response, Refusal> {
    let mut response = response_head(&dispatched);
    let collected = tokio::select! {
        biased;
        () = principal.wait_withdrawn() => Err(Refusal::ran(Reason::Withdrawn)),
        () = tokio::time::sleep_until(head.deadline.into()) => {
            Err(Refusal::ran(Reason::Deadline))
        }
        body = read_response(dispatched.response) => body,
    };
    let body = collected?;
    let used = relay::total_tokens(&body).map(Tokens);
    guards.cost.used = used.unwrap_or(call.prompt + call.output);
    *response.body_mut() = Body::from(body);
    Ok(response)
}

/// Reads the complete body of a response of at most [`MAX_RESPONSE_BYTES`].
pub(super) async fn read_response(response: UpstreamResponse) -> Result<Bytes, Refusal> {
    let mut body = response.body;
    let mut collected = BytesMut::new();
    while let Some(chunk) = body.next().await {
        collected.extend_from_slice(&chunk?);
        if collected.len() > MAX_RESPONSE_BYTES {
            return Err(Refusal::ran(Reason::UpstreamFailed));
        }
    }
    Ok(collected.freeze())
}

/// Builds the response to the caller, without its body, from the response of an upstream.
pub(super) fn response_head(dispatched: &Dispatched) -> Response {
    let mut response = Response::new(Body::empty());
    *response.status_mut() = dispatched.response.status;
    *response.headers_mut() = headers::filter_response_headers(&dispatched.response.headers);
    if let Ok(value) = HeaderValue::from_str(dispatched.upstream.as_str()) {
        response.headers_mut().insert(SERVED_BY, value);
    }
    response
}

/// Checks that the account may use the requested model and adapter.
fn check_access(
    current: &ConfigSnapshot,
    principal: &Principal,
    call: &CompletionRequest,
) -> Result<(), Refusal> {
    // A model that the account may not use gets the same error as one that does not exist.
    let unknown = || Refusal::not_run(Reason::UnknownModel);
    let access = current
        .access(&principal.owner.account)
        .ok_or_else(unknown)?;
    if !access.models.contains(&call.model) {
        return Err(unknown());
    }
    let Some(adapter) = &call.adapter else {
        return Ok(());
    };
    let spec = current
        .declaration
        .adapters
        .get(adapter)
        .ok_or_else(unknown)?;
    if !access.adapters.contains(adapter) || spec.model != call.model {
        return Err(unknown());
    }
    Ok(())
}

fn build_job(
    head: &RequestHead,
    principal: &Principal,
    call: &CompletionRequest,
    body: Bytes,
) -> Result<Job, Refusal> {
    let mut request = headers::build_request(Method::POST, &head.path, &head.headers, body)?;
    let id = HeaderValue::from_str(head.id.as_str());
    request
        .headers
        .insert(super::response::REQUEST_ID, id.or(Err(malformed()))?);
    request
        .headers
        .insert(PRIORITY, priority_value(principal.owner.priority));
    if let Some(adapter) = &call.adapter {
        let value = HeaderValue::from_str(adapter.as_str());
        request.headers.insert(ADAPTER, value.or(Err(malformed()))?);
    }
    request
        .headers
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    Ok(Job {
        request,
        idempotent: true,
        deadline: head.deadline,
        prefix: Some(prefix_key(&call.model, call.adapter.as_ref(), call.prefix)),
        replicas: BTreeMap::new(),
    })
}

fn malformed() -> Refusal {
    Refusal::not_run(Reason::Malformed)
}

/// Combines the hash of a prompt's start with the model and adapter, whose caches are separate.
fn prefix_key(model: &ModelId, adapter: Option<&AdapterId>, prompt_hash: u64) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(model.as_str().as_bytes());
    hasher.update(adapter.map_or("", AdapterId::as_str).as_bytes());
    hasher.update(&prompt_hash.to_le_bytes());
    parse::hash_to_u64(hasher.finalize())
}

fn priority_value(priority: Priority) -> HeaderValue {
    HeaderValue::from_static(match priority {
        Priority::Interactive => "0",
        Priority::Review => "1",
        Priority::Background => "2",
    })
}
