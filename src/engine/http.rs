//! Orders and reports over HTTP/1.1.

use std::sync::Arc;
use std::time::Duration;

use ::http::{HeaderMap, HeaderValue, Method, StatusCode, header};
use bytes::{Bytes, BytesMut};
use compact_str::{CompactString, format_compact};
use futures_util::StreamExt;
use futures_util::future::BoxFuture;
use serde::de::DeserializeOwned;

use super::{CacheEvents, EngineControl, EngineError, LoadReport, Order, OrderAnswer};
use crate::clock::Clock;
use crate::route::{SendError, Transport, UpstreamRequest};
use crate::store::Instance;

const MAX_ANSWER_BYTES: usize = 4 << 20;

/// Orders and reports over HTTP/1.1.
#[derive(Debug)]
pub struct HttpEngineControl {
    transport: Arc<dyn Transport>,
    clock: Arc<dyn Clock>,
    bound: Duration,
}

impl HttpEngineControl {
    /// Opens a control whose calls take at most `bound`.
    pub fn open(transport: Arc<dyn Transport>, clock: Arc<dyn Clock>, bound: Duration) -> Self {
        Self {
            transport,
            clock,
            bound,
        }
    }

    async fn call<T>(&self, engine: &Instance, request: UpstreamRequest) -> Result<T, EngineError>
    where
        T: DeserializeOwned,
    {
        let deadline = self.clock.now() + self.bound;
        let sent = self.transport.send(engine, request, deadline).await;
        let mut answer = sent.map_err(engine_error)?;
        if answer.status != StatusCode::OK {
            return Err(EngineError::Malformed);
        }
        let mut body = BytesMut::new();
        while let Some(chunk) = answer.body.next().await {
            body.extend_from_slice(&chunk.or(Err(EngineError::Unknown))?);
            if body.len() > MAX_ANSWER_BYTES {
                return Err(EngineError::Malformed);
            }
        }
        serde_json::from_slice(&body).or(Err(EngineError::Malformed))
    }
}

impl EngineControl for HttpEngineControl {
    fn order<'a>(
        &'a self,
        engine: &'a Instance,
        order: &'a Order,
    ) -> BoxFuture<'a, Result<OrderAnswer, EngineError>> {
        Box::pin(async move {
            let body = serde_json::to_vec(order).or(Err(EngineError::Malformed))?;
            self.call(engine, post("/orders", body.into())).await
        })
    }

    fn report<'a>(
        &'a self,
        engine: &'a Instance,
    ) -> BoxFuture<'a, Result<LoadReport, EngineError>> {
        Box::pin(self.call(engine, get("/load".into())))
    }

    fn events<'a>(
        &'a self,
        engine: &'a Instance,
        from: u64,
    ) -> BoxFuture<'a, Result<CacheEvents, EngineError>> {
        let path = format_compact!("/cache-events?from={from}");
        Box::pin(self.call(engine, get(path)))
    }
}

fn get(path: CompactString) -> UpstreamRequest {
    UpstreamRequest {
        method: Method::GET,
        path,
        headers: HeaderMap::new(),
        body: Bytes::new(),
        new_connection: false,
    }
}

fn post(path: &str, body: Bytes) -> UpstreamRequest {
    let mut headers = HeaderMap::new();
    let json = HeaderValue::from_static("application/json");
    headers.insert(header::CONTENT_TYPE, json);
    UpstreamRequest {
        method: Method::POST,
        path: path.into(),
        headers,
        body,
        new_connection: true,
    }
}

fn engine_error(error: SendError) -> EngineError {
    match error {
        SendError::NotSent(_) | SendError::Declined => EngineError::Unreachable,
        SendError::ResponseLost(_) => EngineError::Unknown,
    }
}
