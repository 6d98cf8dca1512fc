//! Client of the platform's API over HTTP.
//!
//! A call that fails before a connection is open certainly had no effect; a write that fails later
//! may have had one. Every call is counted by kind.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::BoxFuture;
use http::{Method, StatusCode};
use http_body_util::BodyExt;
use prometheus::IntCounter;
use serde::de::DeserializeOwned;
use volo_http::body::Body;
use volo_http::client::Client;
use volo_http::error::client::ErrorKind;
use volo_http::response::Response;

use super::{InstanceList, InstanceSource, MAX_VALUE_BYTES, Object, ObjectStore, StoreError};
use crate::final_status::is_final;
use crate::ids::{ObjectKey, Version};
use crate::metrics::Metrics;
use crate::schema::platform::{ConflictResponse, PutResponse};

const VERSION_HEADER: &str = "x-version";
/// Time that a watch's response may take beyond the wait that the watch asks for.
const WATCH_MARGIN: Duration = Duration::from_secs(2);

/// Counters of the calls to the platform, by kind.
#[derive(Clone, Debug)]
pub struct CallCounters {
    /// Reads of an object.
    pub reads: IntCounter,
    /// Writes and deletions of an object.
    pub writes: IntCounter,
    /// Watches of an object.
    pub watches: IntCounter,
    /// Reads of the list of instances.
    pub lists: IntCounter,
    /// Calls of any kind without a complete response; responses with an error status are not counted.
    pub failures: IntCounter,
}

impl CallCounters {
    fn open() -> Result<Self, prometheus::Error> {
        let counter = |kind: &str| {
            let name = format!("basilgw_platform_{kind}_total");
            IntCounter::new(name, format!("Calls to the platform's service: {kind}."))
        };
        Ok(Self {
            reads: counter("reads")?,
            writes: counter("writes")?,
            watches: counter("watches")?,
            lists: counter("lists")?,
            failures: counter("failures")?,
        })
    }

    /// Adds the counters to a registry.
    ///
    /// # Errors
    ///
    /// [`prometheus::Error`] where a metric of the same name is registered already.
    pub fn register(&self, metrics: &Metrics) -> Result<(), prometheus::Error> {
        for counter in [
            &self.reads,
            &self.writes,
            &self.watches,
            &self.lists,
            &self.failures,
        ] {
            metrics.registry().register(Box::new(counter.clone()))?;
        }
        Ok(())
    }
}

/// A client of the platform's API.
pub struct PlatformClient {
    client: Client,
    address: SocketAddr,
    timeout: Duration,
    counters: CallCounters,
}

impl std::fmt::Debug for PlatformClient {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("PlatformClient")
            .field("address", &self.address)
            .finish_non_exhaustive()
    }
}

struct PlatformResponse {
    status: StatusCode,
    version: Version,
    body: Bytes,
}

impl PlatformClient {
    /// Opens a client; `timeout` bounds each call except for watches, which have their own timeout,
    /// and each attempt to connect.
    ///
    /// # Errors
    ///
    /// [`StoreError::Unavailable`] where the HTTP client cannot be built.
    pub fn open(address: SocketAddr, timeout: Duration) -> Result<Self, StoreError> {
        let mut builder = Client::builder();
        builder.set_connect_timeout(timeout);
        let client = builder.build().or(Err(StoreError::Unavailable))?;
        let counters = CallCounters::open().or(Err(StoreError::Unavailable))?;
        Ok(Self {
            client,
            address,
            timeout,
            counters,
        })
    }

    /// Counters of the calls made so far.
    pub fn counters(&self) -> &CallCounters {
        &self.counters
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        timeout: Duration,
    ) -> Result<PlatformResponse, StoreError> {
        // The URI contains an IP address, so that no host name is resolved.
        let uri = format!("http://{}{path}", self.address);
        let request = async {
            let sent = self
                .client
                .request(method, uri)
                .body(Body::from(body))
                .send();
            let response: Response = sent.await.map_err(|e| match e.kind() {
                ErrorKind::Connect | ErrorKind::Builder => StoreError::Unavailable,
                _ => StoreError::Unknown,
            })?;
            read_response(response).await
        };
        let outcome = tokio::time::timeout(timeout, request).await;
        let outcome = outcome.unwrap_or(Err(StoreError::Unknown));
        if outcome.is_err() {
            self.counters.failures.inc();
        }
        outcome
    }

    async fn read(&self, path: &str, timeout: Duration) -> Result<PlatformResponse, StoreError> {
        let outcome = self.call(Method::GET, path, Bytes::new(), timeout).await;
        // A read has no effect, so its failure leaves nothing unknown.
        outcome.map_err(|e| match e {
            StoreError::Unknown => StoreError::Unavailable,
            other => other,
        })
    }
}

async fn read_response(response: Response) -> Result<PlatformResponse, StoreError> {
    let status = response.status();
    if !is_final(status) {
        return Err(StoreError::Unknown);
    }
    let header = response.headers().get(VERSION_HEADER);
    let version = header
        .and_then(|v| v.to_str().ok())
        .and_then(|v| v.parse().ok());
    let body = response
        .into_body()
        .collect()
        .await
        .or(Err(StoreError::Unknown))?;
    Ok(PlatformResponse {
        status,
        version: version.unwrap_or_default(),
        body: body.to_bytes(),
    })
}

fn parse<T>(body: &Bytes) -> Result<T, StoreError>
where
    T: DeserializeOwned,
{
    serde_json::from_slice(body).or(Err(StoreError::Malformed))
}

fn status_error(status: StatusCode) -> StoreError {
    if status.is_server_error() {
        StoreError::Unavailable
    } else {
        StoreError::Malformed
    }
}

fn into_object(response: PlatformResponse) -> Object {
    Object {
        version: response.version,
        value: response.body,
    }
}

impl ObjectStore for PlatformClient {
    fn get<'a>(&'a self, key: &'a ObjectKey) -> BoxFuture<'a, Result<Option<Object>, StoreError>> {
        Box::pin(async move {
            self.counters.reads.inc();
            let response = self
                .read(&format!("/v1/objects/{key}"), self.timeout)
                .await?;
            match response.status {
                StatusCode::OK => Ok(Some(into_object(response))),
                StatusCode::NOT_FOUND => Ok(None),
                other => Err(status_error(other)),
            }
        })
    }

    fn put<'a>(
        &'a self,
        key: &'a ObjectKey,
        expected: Version,
        value: Bytes,
    ) -> BoxFuture<'a, Result<Version, StoreError>> {
        Box::pin(async move {
            if value.len() > MAX_VALUE_BYTES {
                return Err(StoreError::TooLarge(value.len()));
            }
            self.counters.writes.inc();
            let path = format!("/v1/objects/{key}?if={expected}");
            let response = self.call(Method::PUT, &path, value, self.timeout).await?;
            match response.status {
                StatusCode::OK => Ok(parse::<PutResponse>(&response.body)?.version),
                StatusCode::CONFLICT => Err(StoreError::Conflict(
                    parse::<ConflictResponse>(&response.body)?.version,
                )),
                // The platform may have executed the write before it failed. Only status 503 says
                // that it has not.
                other if other.is_server_error() && other != StatusCode::SERVICE_UNAVAILABLE => {
                    Err(StoreError::Unknown)
                }
                other => Err(status_error(other)),
            }
        })
    }

    fn delete<'a>(
        &'a self,
        key: &'a ObjectKey,
        expected: Version,
    ) -> BoxFuture<'a, Result<(), StoreError>> {
        Box::pin(async move {
            self.counters.writes.inc();
            let path = format!("/v1/objects/{key}?if={expected}");
            let response = self
                .call(Method::DELETE, &path, Bytes::new(), self.timeout)
                .await?;
            match response.status {
                StatusCode::NO_CONTENT | StatusCode::NOT_FOUND => Ok(()),
                StatusCode::CONFLICT => Err(StoreError::Conflict(
                    parse::<ConflictResponse>(&response.body)?.version,
                )),
                other => Err(status_error(other)),
            }
        })
    }

    fn watch<'a>(
        &'a self,
        key: &'a ObjectKey,
        after: Version,
        wait: Duration,
    ) -> BoxFuture<'a, Result<Option<Object>, StoreError>> {
        Box::pin(async move {
            self.counters.watches.inc();
            let path = format!("/v1/watch/{key}?after={after}&wait={}", wait.as_millis());
            let response = self.read(&path, wait + WATCH_MARGIN).await?;
            match response.status {
                StatusCode::OK => Ok(Some(into_object(response))),
                StatusCode::NO_CONTENT => Ok(None),
                other => Err(status_error(other)),
            }
        })
    }
}

impl InstanceSource for PlatformClient {
    fn list(&self) -> BoxFuture<'_, Result<InstanceList, StoreError>> {
        Box::pin(async move {
            self.counters.lists.inc();
            let response = self.read("/v1/instances", self.timeout).await?;
            match response.status {
                StatusCode::OK => parse(&response.body),
                other => Err(status_error(other)),
            }
        })
    }
}
