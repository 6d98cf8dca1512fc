//! Calls to models.
//!
//! Cost is reserved first, then a replica and a turn are waited for, then the call is dispatched. A
//! stream is answered once its first chunk is there; a whole answer once it has head in full.

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

const PRIORITY: HeaderName = HeaderName::from_static("x-priority");
const ADAPTER: HeaderName = HeaderName::from_static("x-adapter");
/// Names the upstream that answered.
pub const SERVED_BY: HeaderName = HeaderName::from_static("x-served-by");
const MAX_ANSWER_BYTES: usize = 8 << 20;

/// Reserved cost; settles what was used when dropped.
#[derive(Debug)]
pub(super) struct Cost {
    limiter: Arc<dyn Limiter>,
    grant: Option<TokenReservation>,
    /// Tokens used so far.
    pub used: Tokens,
}

impl Cost {
    /// Reserves the greatest cost of a request.
    pub async fn reserve(
        deps: &EdgeDeps,
        principal: &Principal,
        head: &RequestHead,
        tokens: Tokens,
    ) -> Result<Self, Refusal> {
        let ask = TokenRequest {
            account: principal.owner.account.clone(),
            caller: principal.owner.caller.clone(),
            tokens,
            deadline: head.deadline,
        };
        let limiter = Arc::clone(&deps.limiter);
        let grant = Some(limiter.reserve(ask).await?);
        Ok(Self {
            limiter,
            grant,
            used: Tokens::ZERO,
        })
    }
}

impl Drop for Cost {
    fn drop(&mut self) {
        if let Some(grant) = self.grant.take() {
            self.limiter.settle(grant, self.used);
        }
    }
}

/// A turn at a replica; released when dropped.
#[derive(Debug)]
struct Turn {
    pool: Arc<dyn ReplicaPool>,
    want: ReplicaRequest,
    replicas: Vec<Replica>,
}

impl Turn {
    async fn acquire(deps: &EdgeDeps, want: ReplicaRequest) -> Result<Self, Refusal> {
        let pool = Arc::clone(&deps.pool);
        let replicas = pool.acquire(want.clone()).await?;
        Ok(Self {
            pool,
            want,
            replicas,
        })
    }

    fn ids(&self) -> BTreeMap<UpstreamId, crate::ids::ReplicaId> {
        self.replicas
            .iter()
            .map(|r| (r.upstream.clone(), r.id.clone()))
            .collect()
    }

    fn instances(&self, deps: &EdgeDeps) -> Vec<Instance> {
        let has = |i: &Instance| {
            self.replicas
                .iter()
                .any(|r| r.upstream.as_str() == i.vm.as_str())
        };
        deps.directory
            .snapshot()
            .live_engines()
            .into_iter()
            .filter(|i| has(i))
            .collect()
    }
}

impl Drop for Turn {
    fn drop(&mut self) {
        self.pool.release(&self.want);
    }
}

/// Everything a dispatched call holds until it is over.
#[derive(Debug)]
pub(super) struct Held {
    _guard: RequestGuard,
    /// Its reserved cost.
    pub cost: Cost,
    turn: Turn,
}

/// Serves a call to a model.
pub(super) async fn serve(
    deps: &Arc<EdgeDeps>,
    head: RequestHead,
    guard: RequestGuard,
    body: Body,
) -> Result<Response, Refusal> {
    let principal = deps.authenticate(&head)?;
    let body = parse::read_body(body, &deps.callers).await?;
    let call = parse::parse_completion(&body, &deps.callers)?;
    check_reach(&deps.active_config.current(), &principal, &call)?;
    let job = prepare(&head, &principal, &call, body)?;
    let served = tokio::select! {
        biased;
        () = principal.wait_withdrawn() => return Err(Refusal::not_run(Reason::Withdrawn)),
        admitted = admit(deps, &principal, &head, &call, guard) => {
            let (held, among) = admitted?;
            dispatch(deps, &principal, job, held, &among).await?
        }
    };
    let (held, served) = served;
    info!(deps.log, "request_dispatched";
        "request" => %head.id, "account" => %principal.owner.account,
        "model" => %call.model, "upstream" => %served.upstream);
    if call.stream && served.response.status == StatusCode::OK {
        return Ok(stream(deps, head, principal, &call, held, served));
    }
    whole(&principal, &head, &call, held, served).await
}

async fn admit(
    deps: &Arc<EdgeDeps>,
    principal: &Principal,
    head: &RequestHead,
    call: &CompletionRequest,
    guard: RequestGuard,
) -> Result<(Held, Vec<Instance>), Refusal> {
    let greatest = call.prompt + call.output;
    let cost = Cost::reserve(deps, principal, head, greatest).await?;
    let want = ReplicaRequest {
        id: head.internal_id.clone(),
        account: principal.owner.account.clone(),
        priority: principal.owner.priority,
        model: call.model.clone(),
        adapter: call.adapter.clone(),
        work: greatest,
        deadline: head.deadline,
    };
    let turn = Turn::acquire(deps, want).await?;
    let among = turn.instances(deps);
    Ok((
        Held {
            _guard: guard,
            cost,
            turn,
        },
        among,
    ))
}

async fn dispatch(
    deps: &Arc<EdgeDeps>,
    principal: &Principal,
    mut job: Job,
    mut held: Held,
    among: &[Instance],
) -> Result<(Held, Dispatched), Refusal> {
    job.replicas = held.turn.ids();
    // From here on the prompt may have been worked on, whatever comes back.
    held.cost.used = held.turn.want.work;
    let dispatched = tokio::select! {
        biased;
        () = principal.wait_withdrawn() => Err(Refusal::unknown(Reason::Withdrawn)),
        outcome = deps.dispatcher.dispatch(among, &job) => outcome,
    };
    match dispatched {
        Ok(served) => Ok((held, served)),
        Err(refusal) => {
            if refusal.ran == crate::outcome::Ran::No {
                held.cost.used = Tokens::ZERO;
            }
            Err(refusal)
        }
    }
}

fn stream(
    deps: &Arc<EdgeDeps>,
    head: RequestHead,
    principal: Principal,
    call: &CompletionRequest,
    held: Held,
    served: Dispatched,
) -> Response {
    let mut response = answer_head(&served);
    let request = relay::Request {
        principal,
        id: head.id,
        internal_id: head.internal_id,
        deadline: head.deadline,
        prompt: call.prompt,
    };
    let relay = deps.monitor.relay(request, served.response.body, held);
    *response.body_mut() = Body::from_stream(relay);
    response
}

async fn whole(
    principal: &Principal,
    head: &RequestHead,
    call: &CompletionRequest,
    mut held: Held,
    served: Dispatched,
) -> Result<Response, Refusal> {
    let mut response = answer_head(&served);
    let collected = tokio::select! {
        biased;
        () = principal.wait_withdrawn() => Err(Refusal::ran(Reason::Withdrawn)),
        () = tokio::time::sleep_until(head.deadline.into()) => {
            Err(Refusal::ran(Reason::Deadline))
        }
        body = collect(served.response) => body,
    };
    let body = collected?;
    let used = relay::usage_of(&body).map(Tokens);
    held.cost.used = used.unwrap_or(call.prompt + call.output);
    *response.body_mut() = Body::from(body);
    Ok(response)
}

/// Reads an answer in full.
pub(super) async fn collect(answer: UpstreamResponse) -> Result<Bytes, Refusal> {
    let mut body = answer.body;
    let mut whole = BytesMut::new();
    while let Some(chunk) = body.next().await {
        whole.extend_from_slice(&chunk?);
        if whole.len() > MAX_ANSWER_BYTES {
            return Err(Refusal::ran(Reason::UpstreamFailed));
        }
    }
    Ok(whole.freeze())
}

/// The head of an upstream's answer as the caller sees it.
pub(super) fn answer_head(served: &Dispatched) -> Response {
    let mut response = Response::new(Body::empty());
    *response.status_mut() = served.response.status;
    *response.headers_mut() = headers::filter_response_headers(&served.response.headers);
    if let Ok(value) = HeaderValue::from_str(served.upstream.as_str()) {
        response.headers_mut().insert(SERVED_BY, value);
    }
    response
}

fn check_reach(
    current: &ConfigSnapshot,
    principal: &Principal,
    call: &CompletionRequest,
) -> Result<(), Refusal> {
    // A model that the account may not reach is as unknown to it as one that does not exist.
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

fn prepare(
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
        .insert(PRIORITY, rank(principal.owner.priority));
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
        prefix: Some(prefix(&call.model, call.adapter.as_ref(), call.prefix)),
        replicas: BTreeMap::new(),
    })
}

fn malformed() -> Refusal {
    Refusal::not_run(Reason::Malformed)
}

fn prefix(model: &ModelId, adapter: Option<&AdapterId>, prompt: u64) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(model.as_str().as_bytes());
    hasher.update(adapter.map_or("", AdapterId::as_str).as_bytes());
    hasher.update(&prompt.to_le_bytes());
    parse::hash_to_u64(hasher.finalize())
}

fn rank(priority: Priority) -> HeaderValue {
    HeaderValue::from_static(match priority {
        Priority::Interactive => "0",
        Priority::Review => "1",
        Priority::Background => "2",
    })
}
