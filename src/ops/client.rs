//! The commands' side of the operators' service.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, StatusCode};
use http_body_util::BodyExt;
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;
use volo_http::body::Body;
use volo_http::client::Client;
use volo_http::response::Response;

use super::message::{Accepted, Failed, StatusReport, Withdrawal};
use crate::declare::Change;
use crate::schema::declaration::AuditEntry;

const TIMEOUT: Duration = Duration::from_secs(30);

/// Why a command failed.
#[derive(Debug, Error)]
pub enum OpsError {
    /// The VM cannot be reached.
    #[error("the VM at {0} cannot be reached")]
    Unreachable(SocketAddr),
    /// The answer cannot be read.
    #[error("the VM's answer cannot be read: {0}")]
    Answer(#[from] serde_json::Error),
    /// The VM refused.
    #[error("{}", .0.details.join("\n"))]
    Refused(Failed),
}

/// A client of one VM's operators' listener.
#[derive(Clone, Copy, Debug)]
pub struct OpsClient {
    address: SocketAddr,
}

impl OpsClient {
    /// Opens a client.
    pub fn open(address: SocketAddr) -> Self {
        Self { address }
    }

    /// Submits a change.
    ///
    /// # Errors
    ///
    /// [`OpsError`]; [`OpsError::Refused`] says why the VM did not accept it.
    pub async fn apply(&self, change: &Change) -> Result<Accepted, OpsError> {
        self.post("/apply", change).await
    }

    /// Withdraws a key.
    ///
    /// # Errors
    ///
    /// As [`Self::apply`].
    pub async fn withdraw(&self, ask: &Withdrawal) -> Result<Accepted, OpsError> {
        self.post("/withdraw-key", ask).await
    }

    /// Reads the VM's status.
    ///
    /// # Errors
    ///
    /// Where the VM cannot be reached or its answer cannot be read.
    pub async fn status(&self) -> Result<StatusReport, OpsError> {
        self.call(Method::GET, "/status", Bytes::new()).await
    }

    /// Reads the newest audit entries.
    ///
    /// # Errors
    ///
    /// As [`Self::apply`].
    pub async fn audit(&self, limit: usize) -> Result<Vec<AuditEntry>, OpsError> {
        self.call(Method::GET, &format!("/audit?limit={limit}"), Bytes::new())
            .await
    }

    async fn post<T, R>(&self, path: &str, message: &T) -> Result<R, OpsError>
    where
        T: Serialize,
        R: DeserializeOwned,
    {
        let body = Bytes::from(serde_json::to_vec(message)?);
        self.call(Method::POST, path, body).await
    }

    async fn call<R>(&self, method: Method, path: &str, body: Bytes) -> Result<R, OpsError>
    where
        R: DeserializeOwned,
    {
        let exchange = tokio::time::timeout(TIMEOUT, self.exchange(method, path, body));
        let (status, body) = exchange.await.unwrap_or_else(|_| Err(self.unreachable()))?;
        if status.is_success() {
            return Ok(serde_json::from_slice(&body)?);
        }
        Err(OpsError::Refused(serde_json::from_slice(&body)?))
    }

    async fn exchange(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<(StatusCode, Bytes), OpsError> {
        let client = Client::builder()
            .build()
            .map_err(|_cause| self.unreachable())?;
        let uri = format!("http://{}{path}", self.address);
        let sent = client.request(method, uri).body(Body::from(body)).send();
        let response: Response = sent.await.map_err(|_cause| self.unreachable())?;
        let status = response.status();
        let body = response
            .into_body()
            .collect()
            .await
            .map_err(|_cause| self.unreachable())?;
        Ok((status, body.to_bytes()))
    }

    fn unreachable(&self) -> OpsError {
        OpsError::Unreachable(self.address)
    }
}
