//! HTTP/1 connections to upstreams and to the platform's store.
//!
//! Dropping a [`Connection`] closes its socket at once, so that an upstream stops working on the
//! request of a caller that has disconnected. A TCP user timeout and frequent keep-alive probes
//! detect a peer that has become unreachable.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use crate::final_status::is_final;

use super::read_meter::{MeteredBody, MeteredStream, ReadMeter};

/// A connection with bytes unacknowledged for this long is closed.
const UNACKED_TIMEOUT: Duration = Duration::from_millis(1500);
/// Idle time before the first keep-alive probe, and interval between probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered keep-alive probes after which a connection is closed.
const MAX_PROBES: u32 = 2;
/// Largest response head accepted, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Why a connection could not be opened; nothing was sent.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum ConnectError {
    /// The connection was not established in time.
    #[error("the connection timed out")]
    Timeout,
    /// The peer refused or reset the connection.
    #[error("the connection was refused or reset")]
    Refused,
}

/// Why there is no response; the request may have arrived.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum NoResponse {
    /// The connection ended before a valid head.
    #[error("the connection ended before a response")]
    Ended,
    /// The head has a status that ends no response.
    #[error("{0} is no final status")]
    NotFinal(StatusCode),
}

/// An open connection, which closes when dropped.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
    meter: Arc<ReadMeter>,
}

impl Connection {
    /// Opens a connection to `to`, waiting at most `within`.
    ///
    /// # Errors
    ///
    /// [`ConnectError`].
    pub async fn open(to: SocketAddr, within: Duration) -> Result<Self, ConnectError> {
        let connected = tokio::time::timeout(within, TcpStream::connect(to)).await;
        let stream = connected.map_err(|_late| ConnectError::Timeout)?;
        let stream = stream.map_err(|_refused| ConnectError::Refused)?;
        // A failure to set an option is ignored: the defaults only detect a lost peer later.
        let _ignored = stream.set_nodelay(true);
        let socket = SockRef::from(&stream);
        let _ignored = socket.set_tcp_user_timeout(Some(UNACKED_TIMEOUT));
        let probes = TcpKeepalive::new()
            .with_time(PROBE_INTERVAL)
            .with_interval(PROBE_INTERVAL)
            .with_retries(MAX_PROBES);
        let _ignored = socket.set_tcp_keepalive(&probes);
        let mut builder = http1::Builder::new();
        builder.max_buf_size(MAX_HEAD_BYTES);
        let meter = Arc::new(ReadMeter::default());
        let stream = MeteredStream::new(stream, Arc::clone(&meter));
        let handshake = builder.handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(|_closed| ConnectError::Refused)?;
        let driver = tokio::spawn(async move {
            // An error also fails the request in progress, which reports it.
            let _ended = connection.await;
        });
        Ok(Self {
            sender,
            driver,
            meter,
        })
    }

    /// Sends a request and waits for the head of the response, whose status is a final one.
    ///
    /// # Errors
    ///
    /// [`NoResponse`]; the connection is of no further use then.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<MeteredBody>, NoResponse> {
        self.meter.restart();
        let response = self.sender.send_request(request).await;
        let response = response.map_err(|_ended| NoResponse::Ended)?;
        if !is_final(response.status()) {
            return Err(NoResponse::NotFinal(response.status()));
        }
        Ok(response.map(|body| MeteredBody::new(body, Arc::clone(&self.meter))))
    }

    /// Closes the socket; what has not been read is lost.
    pub fn close(&self) {
        self.driver.abort();
    }

    /// Waits until another request can be sent, which needs the last response to have been read to
    /// its end; false if the connection is closed.
    pub async fn wait_ready(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.close();
    }
}
