//! Transport over HTTP/1.1, based on `volo-http`'s client.
//!
//! The client library sends each request over one connection and never retries by itself; the tests
//! in `tests/route_transport.rs` verify this by counting the requests that arrive. Each upstream
//! has its own connection pool, so that all idle connections to an upstream can be dropped when one
//! connection to it goes silent. A request that asks for a new connection gets one that is used for
//! no other request before or after it.
//!
//! The deadline limits the time until a response starts. After that only the pause between two
//! chunks is limited. The response body is read on demand: for a slow reader nothing is buffered
//! beyond the read buffers of the library and the kernel. Dropping the body closes the connection.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use ::http::{HeaderValue, StatusCode, header};
use compact_str::CompactString;
use futures_util::future::BoxFuture;
use futures_util::stream::StreamExt;
use thiserror::Error;
use tokio::time::timeout_at;
use volo::net::Address;
use volo_http::body::Body;
use volo_http::client::{Client, ClientBuilder};
use volo_http::error::ClientError;

use super::completeness::CompletenessCheck;
use super::marked::{MarkedBody, SendMark};
use super::response_body::{ResponseBody, ResponseTimeouts};
use super::{SendError, Transport, UpstreamRequest, UpstreamResponse};
use crate::clock::Clock;
use crate::final_status::is_final;
use crate::outcome::Reason;
use crate::schema::settings::UpstreamSettings;
use crate::store::{Instance, InstanceKind};

/// Response header by which an upstream states that it did not run the request.
pub const NOT_RUN: &str = "x-not-run";

const MAX_IDLE_CONNECTIONS: usize = 64;

/// Why the transport cannot be opened.
#[derive(Debug, Error)]
pub enum OpenError {
    /// The HTTP client refused its settings.
    #[error("the HTTP client cannot be built")]
    Client(#[from] ClientError),
}

/// Transport over HTTP/1.1 with one connection pool per upstream.
pub struct HttpTransport {
    clock: Arc<dyn Clock>,
    settings: UpstreamSettings,
    /// Client without a connection pool, for requests that need a new connection.
    unpooled: Client,
    pools: Pools,
}

/// Clients by the address of the upstream. Each client is the connection pool of one upstream.
type Pools = Arc<Mutex<BTreeMap<CompactString, Client>>>;

impl std::fmt::Debug for HttpTransport {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("HttpTransport")
            .field("settings", &self.settings)
            .finish_non_exhaustive()
    }
}

impl HttpTransport {
    /// Creates a transport with empty connection pools.
    pub fn open(clock: Arc<dyn Clock>, settings: &UpstreamSettings) -> Result<Self, OpenError> {
        let unpooled = build_client(settings, 0)?;
        Ok(Self {
            clock,
            settings: settings.clone(),
            unpooled,
            pools: Pools::default(),
        })
    }

    /// Drops the connection pools of all upstreams whose address `keep` rejects.
    pub fn retain<F>(&self, keep: F)
    where
        F: Fn(&str) -> bool,
    {
        let mut pools = self.pools.lock().unwrap_or_else(PoisonError::into_inner);
        pools.retain(|address, _| keep(address));
    }

    fn select_client(
        &self,
        address: &CompactString,
        new_connection: bool,
    ) -> Result<Client, SendError> {
        if new_connection {
            return Ok(self.unpooled.clone());
        }
        let mut pools = self.pools.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(client) = pools.get(address) {
            return Ok(client.clone());
        }
        let client = build_client(&self.settings, MAX_IDLE_CONNECTIONS)
            .or(Err(SendError::NotSent(Reason::Internal)))?;
        pools.insert(address.clone(), client.clone());
        Ok(client)
    }

    async fn exchange(
        &self,
        to: &Instance,
        request: UpstreamRequest,
        deadline: Instant,
    ) -> Result<UpstreamResponse, SendError> {
        let socket: SocketAddr = to
            .address
            .parse()
            .or(Err(SendError::NotSent(Reason::Internal)))?;
        let timeouts = ResponseTimeouts {
            engine: to.kind == InstanceKind::Engine,
            deadline,
            max_pause: Duration::from_millis(self.settings.silence),
        };
        let now = self.clock.now();
        if now >= deadline {
            return Err(SendError::NotSent(Reason::Deadline));
        }
        let client = self.select_client(&to.address, request.new_connection)?;
        let method = request.method.clone();
        let mark = SendMark::default();
        let sending = send_request(&client, socket, request, mark.clone());
        let (due, reason) = timeouts.start_limit(now);
        let response = match timeout_at(due.into(), sending).await {
            Ok(Ok(response)) => response,
            Ok(Err(_failed)) => return Err(send_error(&mark, Reason::UpstreamFailed)),
            Err(_elapsed) => {
                drop_pool(&self.pools, &to.address);
                return Err(send_error(&mark, reason));
            }
        };
        let (parts, body) = response.into_parts();
        if !is_final(parts.status) {
            drop_pool(&self.pools, &to.address);
            return Err(send_error(&mark, Reason::UpstreamFailed));
        }
        if is_declined(parts.status, &parts.headers) {
            return Err(SendError::Declined);
        }
        let check = CompletenessCheck::open(&method, parts.status, &parts.headers, timeouts.engine);
        let pools = Arc::clone(&self.pools);
        let address = to.address.clone();
        let on_timeout = Box::new(move || drop_pool(&pools, &address));
        let clock = Arc::clone(&self.clock);
        Ok(UpstreamResponse {
            status: parts.status,
            headers: parts.headers,
            body: ResponseBody::open(body, check, timeouts, clock, on_timeout).boxed(),
        })
    }
}

impl Transport for HttpTransport {
    fn send<'a>(
        &'a self,
        to: &'a Instance,
        request: UpstreamRequest,
        deadline: Instant,
    ) -> BoxFuture<'a, Result<UpstreamResponse, SendError>> {
        Box::pin(self.exchange(to, request, deadline))
    }
}

fn build_client(settings: &UpstreamSettings, idle: usize) -> Result<Client, ClientError> {
    let mut builder = ClientBuilder::new();
    builder
        .set_connect_timeout(Duration::from_millis(settings.connect))
        .set_pool_idle_timeout(Duration::from_millis(settings.idle))
        .set_max_idle_per_host(idle);
    builder.build()
}

async fn send_request(
    client: &Client,
    socket: SocketAddr,
    request: UpstreamRequest,
    mark: SendMark,
) -> Result<volo_http::response::Response, ClientError> {
    let body = Body::from_body(MarkedBody::new(request.body, mark));
    let mut builder = client
        .request(request.method, request.path.as_str())
        .address(Address::from(socket));
    *builder.headers_mut() = request.headers;
    if request.new_connection {
        let close = HeaderValue::from_static("close");
        builder.headers_mut().insert(header::CONNECTION, close);
    }
    builder.body(body).send().await
}

/// The error for a request without a response. Cancels the request if sending has not started.
fn send_error(mark: &SendMark, reason: Reason) -> SendError {
    if mark.cancel() {
        SendError::NotSent(reason)
    } else {
        SendError::ResponseLost(reason)
    }
}

fn is_declined(status: StatusCode, headers: &::http::HeaderMap) -> bool {
    let marked = headers.get(NOT_RUN).is_some_and(|value| value == "1");
    marked && status == StatusCode::SERVICE_UNAVAILABLE
}

/// Drops the idle connections to an upstream after one of its connections went silent: the others
/// may be broken too.
fn drop_pool(pools: &Pools, address: &CompactString) {
    let mut pools = pools.lock().unwrap_or_else(PoisonError::into_inner);
    pools.remove(address);
}
