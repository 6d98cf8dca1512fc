//! Connections to upstreams and to the platform's store.
//!
//! A connection goes away with its handle: dropping it closes the socket at once, so that an
//! upstream stops working for a caller that has left. Unacknowledged bytes and short keep-alive
//! probes end a connection that has gone silent.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

/// Bytes unacknowledged for this long end a connection.
const UNACKED_TIMEOUT: Duration = Duration::from_millis(1500);
/// A connection that is quiet for this long is probed, and as often again.
const PROBE_PAUSE: Duration = Duration::from_secs(1);
const PROBES: u32 = 2;
/// Greatest head of an answer, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Why no connection came about; nothing was sent.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum ConnectError {
    /// The address does not answer.
    #[error("no connection within the time allowed")]
    Timeout,
    /// The address refuses.
    #[error("the connection was refused or reset")]
    Refused,
}

/// A request went out, and no answer came that can be read.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("the connection ended before an answer")]
pub struct NoAnswer;

/// A connection; closes when dropped.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// [`ConnectError`].
    pub async fn open(to: SocketAddr, within: Duration) -> Result<Self, ConnectError> {
        let opened = tokio::time::timeout(within, TcpStream::connect(to)).await;
        let stream = opened.map_err(|_late| ConnectError::Timeout)?;
        let stream = stream.map_err(|_refused| ConnectError::Refused)?;
        // An option that cannot be set leaves the defaults, which only notice a silence later.
        let _default = stream.set_nodelay(true);
        let socket = SockRef::from(&stream);
        let _default = socket.set_tcp_user_timeout(Some(UNACKED_TIMEOUT));
        let probes = TcpKeepalive::new()
            .with_time(PROBE_PAUSE)
            .with_interval(PROBE_PAUSE)
            .with_retries(PROBES);
        let _default = socket.set_tcp_keepalive(&probes);
        let mut builder = http1::Builder::new();
        builder.max_buf_size(MAX_HEAD_BYTES);
        let shake = builder.handshake(TokioIo::new(stream)).await;
        let (sender, connection) = shake.map_err(|_closed| ConnectError::Refused)?;
        let driver = tokio::spawn(async move {
            // Its failure reaches the request that it carries.
            let _ended = connection.await;
        });
        Ok(Self { sender, driver })
    }

    /// Sends a request and waits for the head of its answer.
    ///
    /// # Errors
    ///
    /// [`NoAnswer`]; the request may have arrived.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, NoAnswer> {
        let answer = self.sender.send_request(request).await;
        answer.map_err(|_ended| NoAnswer)
    }

    /// Whether another request can be sent once the last answer was read whole.
    pub async fn ready(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}
