//! Accepting of callers' connections.
//!
//! A connection reaches the HTTP server once its first request's head has arrived, within a bound
//! of time and size; until then it costs one small task. A sender that trickles its head, or opens
//! a connection and says nothing, is answered and closed without costing the others anything.

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

const HEAD_END: &[u8] = b"\r\n\r\n";
const MOST_ARRIVING: usize = 4096;
const READY_QUEUE: usize = 64;
const RECHECK: Duration = Duration::from_millis(5);

/// A bound listener whose connections have sent a request's head.
#[derive(Debug)]
pub struct CallerListener {
    ready: mpsc::Receiver<TcpStream>,
    address: SocketAddr,
    task: JoinHandle<()>,
}

#[derive(Clone, Copy)]
struct Bounds {
    slow: Duration,
    head: usize,
}

enum Head {
    Arrived,
    Closed,
    Slow,
    TooLarge,
}

impl CallerListener {
    /// Binds a listener.
    ///
    /// # Errors
    ///
    /// Where the address cannot be bound.
    pub fn bind(address: SocketAddr, settings: &CallerSettings) -> io::Result<Self> {
        let listener = listen::bind(address)?;
        let address = listener.local_addr()?;
        let bounds = Bounds {
            slow: Duration::from_millis(settings.slow),
            head: settings.headers as usize,
        };
        let (pass, ready) = mpsc::channel(READY_QUEUE);
        let task = tokio::spawn(accept(listener, bounds, pass));
        Ok(Self {
            ready,
            address,
            task,
        })
    }

    /// Where it listens.
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

async fn accept(listener: TcpListener, bounds: Bounds, pass: mpsc::Sender<TcpStream>) {
    let room = Arc::new(Semaphore::new(MOST_ARRIVING));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            // Out of file descriptors, most likely; others will close soon.
            tokio::time::sleep(RECHECK).await;
            continue;
        };
        let Ok(permit) = Arc::clone(&room).try_acquire_owned() else {
            continue;
        };
        let pass = pass.clone();
        tokio::spawn(async move {
            admit(stream, bounds, pass).await;
            drop(permit);
        });
    }
}

async fn admit(mut stream: TcpStream, bounds: Bounds, pass: mpsc::Sender<TcpStream>) {
    let arrived = tokio::time::timeout(bounds.slow, await_head(&stream, bounds.head)).await;
    let reason = match arrived.unwrap_or(Head::Slow) {
        Head::Arrived => {
            // Small chunks of a stream must not wait for the acknowledgement of earlier ones.
            let nodelay = stream.set_nodelay(true);
            if nodelay.is_ok() {
                let passed = pass.send(stream).await;
                drop(passed);
            }
            return;
        }
        Head::Closed => return,
        Head::Slow => Reason::Timeout,
        Head::TooLarge => Reason::HeaderTooLarge,
    };
    let answer = raw_answer(reason);
    let writing = stream.write_all(answer.as_bytes());
    let written = tokio::time::timeout(bounds.slow, writing).await;
    drop(written);
}

/// An answer for a connection that never reached the HTTP server.
fn raw_answer(reason: Reason) -> String {
    let answer = error_body(&Refusal::not_run(reason), None);
    let body = serde_json::to_string(&answer).unwrap_or_default();
    let (status, length) = (reason.status(), body.len());
    format!(
        "HTTP/1.1 {status} Refused\r\ncontent-type: application/json\r\n\
         connection: close\r\ncontent-length: {length}\r\n\r\n{body}"
    )
}

async fn await_head(stream: &TcpStream, most: usize) -> Head {
    let mut buffer = vec![0; most + HEAD_END.len()];
    let mut seen = 0_usize;
    loop {
        let Ok(size) = stream.peek(&mut buffer).await else {
            return Head::Closed;
        };
        if size == 0 {
            return Head::Closed;
        }
        let from = seen.saturating_sub(HEAD_END.len());
        if buffer[from..size]
            .windows(HEAD_END.len())
            .any(|w| w == HEAD_END)
        {
            return Head::Arrived;
        }
        if size > most {
            return Head::TooLarge;
        }
        if size == seen {
            // A peek returns at once while bytes wait, so it cannot tell of new ones.
            tokio::time::sleep(RECHECK).await;
        }
        seen = size;
    }
}
