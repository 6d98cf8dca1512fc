//! Accepts callers' connections.
//!
//! The HTTP server gets a connection only after the complete head of its first request has arrived,
//! within a limit on time and size. Until then the connection takes one small task. A client that
//! sends its head too slowly, or nothing at all, gets an error response and is disconnected,
//! without delaying other connections.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc};
use tokio::task::JoinHandle;
use volo::net::conn::Conn;
use volo::net::incoming::{Incoming, MakeIncoming};

use super::response::error_body;
use crate::listen;
use crate::outcome::{Reason, Refusal};
use crate::schema::settings::CallerSettings;

/// Empty line that ends a request head.
const HEAD_END: &[u8] = b"\r\n\r\n";
/// Connections whose request head may be incomplete at one time; further ones are closed.
const MAX_INCOMPLETE: usize = 4096;
/// Connections with a complete head that may wait for the HTTP server.
const READY_QUEUE: usize = 64;
/// Pause before looking again for further bytes of a head.
const PEEK_INTERVAL: Duration = Duration::from_millis(5);
/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(5);

/// A listener that returns only connections on which a complete request head has arrived.
#[derive(Debug)]
pub struct CallerListener {
    ready: mpsc::Receiver<TcpStream>,
    address: SocketAddr,
    task: JoinHandle<()>,
}

#[derive(Clone, Copy)]
struct HeadLimits {
    /// Longest time until the head is complete, and for writing an error response.
    timeout: Duration,
    /// Greatest size of the head, in bytes.
    max_bytes: usize,
}

/// Result of waiting for a request head.
enum HeadStatus {
    Complete,
    /// The client closed the connection, or it broke.
    Closed,
    TimedOut,
    TooLarge,
}

impl CallerListener {
    /// Binds the address and starts to accept connections, until the listener is dropped.
    ///
    /// # Errors
    ///
    /// If the address cannot be bound.
    pub fn bind(address: SocketAddr, settings: &CallerSettings) -> io::Result<Self> {
        let listener = listen::bind(address)?;
        let address = listener.local_addr()?;
        let limits = HeadLimits {
            timeout: Duration::from_millis(settings.slow),
            max_bytes: settings.headers as usize,
        };
        let (sender, ready) = mpsc::channel(READY_QUEUE);
        let task = tokio::spawn(accept_loop(listener, limits, sender));
        Ok(Self {
            ready,
            address,
            task,
        })
    }

    /// The bound address, with the actual port.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for CallerListener {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Incoming for CallerListener {
    async fn accept(&mut self) -> io::Result<Option<Conn>> {
        match self.ready.recv().await {
            Some(stream) => Ok(Some(Conn::from(stream))),
            None => std::future::pending().await,
        }
    }
}

impl MakeIncoming for CallerListener {
    type Incoming = Self;

    async fn make_incoming(self) -> io::Result<Self> {
        Ok(self)
    }
}

async fn accept_loop(listener: TcpListener, limits: HeadLimits, ready: mpsc::Sender<TcpStream>) {
    let permits = Arc::new(Semaphore::new(MAX_INCOMPLETE));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            // The likely cause is a lack of file descriptors, which ends when connections close.
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else {
            continue;
        };
        let ready = ready.clone();
        tokio::spawn(async move {
            handle_connection(stream, limits, ready).await;
            drop(permit);
        });
    }
}

/// Passes a connection on once its head is complete; otherwise sends an error response and closes
/// the connection.
async fn handle_connection(
    mut stream: TcpStream,
    limits: HeadLimits,
    ready: mpsc::Sender<TcpStream>,
) {
    let waited = tokio::time::timeout(limits.timeout, wait_head(&stream, limits.max_bytes)).await;
    let reason = match waited.unwrap_or(HeadStatus::TimedOut) {
        HeadStatus::Complete => {
            // Otherwise a small chunk of a streamed response would wait until the client has
            // acknowledged the chunks before it.
            let nodelay = stream.set_nodelay(true);
            if nodelay.is_ok() {
                let sent = ready.send(stream).await;
                drop(sent);
            }
            return;
        }
        HeadStatus::Closed => return,
        HeadStatus::TimedOut => Reason::Timeout,
        HeadStatus::TooLarge => Reason::HeaderTooLarge,
    };
    let response = raw_response(reason);
    let writing = stream.write_all(response.as_bytes());
    let written = tokio::time::timeout(limits.timeout, writing).await;
    drop(written);
}

/// Builds an HTTP response for a connection that the HTTP server does not get.
fn raw_response(reason: Reason) -> String {
    let error = error_body(&Refusal::not_run(reason), None);
    let body = serde_json::to_string(&error).unwrap_or_default();
    let (status, length) = (reason.status(), body.len());
    format!(
        "HTTP/1.1 {status} Refused\r\ncontent-type: application/json\r\n\
         connection: close\r\ncontent-length: {length}\r\n\r\n{body}"
    )
}

/// Waits for a complete request head. The bytes stay in the socket, for the HTTP server to read.
async fn wait_head(stream: &TcpStream, max_bytes: usize) -> HeadStatus {
    let mut buffer = vec![0; max_bytes + HEAD_END.len()];
    let mut seen = 0_usize;
    loop {
        let Ok(size) = stream.peek(&mut buffer).await else {
            return HeadStatus::Closed;
        };
        if size == 0 {
            return HeadStatus::Closed;
        }
        let start = seen.saturating_sub(HEAD_END.len());
        if buffer[start..size]
            .windows(HEAD_END.len())
            .any(|w| w == HEAD_END)
        {
            return HeadStatus::Complete;
        }
        if size > max_bytes {
            return HeadStatus::TooLarge;
        }
        if size == seen {
            // While there are unread bytes, a peek returns at once, also without new bytes.
            tokio::time::sleep(PEEK_INTERVAL).await;
        }
        seen = size;
    }
}
