//! An upstream over plain TCP that follows a script, counts connections and requests, and keeps
//! every byte it receives.

#![allow(dead_code, reason = "each test file uses a part")]

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use basilgw::ids::Generation;
use basilgw::route::UpstreamRequest;
use basilgw::schema::settings::UpstreamSettings;
use basilgw::store::{Instance, InstanceKind, InstanceState};
use bytes::Bytes;
use http::{HeaderMap, Method};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::JoinHandle;
use tokio::time::timeout;

const BOUND: Duration = Duration::from_secs(10);
const DRIP_PAUSE: Duration = Duration::from_millis(100);
const FLOOD_BYTES: usize = 64 << 20;

/// What the upstream does with one connection or request.
#[derive(Clone, Copy, Debug)]
pub enum Act {
    /// Closes the connection without reading the request.
    CloseBeforeRead,
    /// Reads the request and closes the connection.
    CloseAfterRead,
    /// Sends the text and waits for the next request on the connection.
    Answer(&'static str),
    /// Waits until two requests have arrived at the upstream, then sends the text.
    Hold(&'static str),
    /// Sends the text and closes the connection.
    AnswerThenClose(&'static str),
    /// Sends the text and then nothing, but keeps the connection open.
    AnswerThenSilent(&'static str),
    /// Sends the first text, then the second one a number of times, each after a pause.
    Drip(&'static str, &'static str, u32),
    /// Reads the request and sends nothing, but keeps the connection open.
    Silent,
    /// Sends a large body as fast as the client reads it.
    Flood,
}

#[derive(Debug, Default)]
struct Shared {
    script: Mutex<std::collections::VecDeque<Act>>,
    connections: AtomicUsize,
    requests: AtomicUsize,
    closed: AtomicUsize,
    sent: AtomicUsize,
    received: Mutex<Vec<u8>>,
    changed: Notify,
}

/// A running upstream.
#[derive(Debug)]
pub struct Upstream {
    address: SocketAddr,
    shared: Arc<Shared>,
    task: JoinHandle<()>,
}

impl Upstream {
    pub async fn bind(script: Vec<Act>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
        let address = listener.local_addr().expect("has an address");
        let shared = Arc::new(Shared::default());
        shared.script.lock().expect("no panic").extend(script);
        let task = tokio::spawn(accept(listener, Arc::clone(&shared)));
        Self {
            address,
            shared,
            task,
        }
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    pub fn connections(&self) -> usize {
        self.shared.connections.load(Ordering::SeqCst)
    }

    pub fn requests(&self) -> usize {
        self.shared.requests.load(Ordering::SeqCst)
    }

    pub fn received(&self) -> Vec<u8> {
        self.shared.received.lock().expect("no panic").clone()
    }

    /// Waits until a connection was closed by either end. Each closed connection counts for one call.
    pub async fn closed(&self) {
        let shared = &self.shared;
        let seen = || shared.closed.load(Ordering::SeqCst) > 0;
        self.wait(seen).await;
        shared.closed.fetch_sub(1, Ordering::SeqCst);
    }

    pub async fn arrived(&self, count: usize) {
        self.wait(|| self.requests() >= count).await;
    }

    /// Waits until the client reads no more of a large body, and returns the number of bytes sent.
    pub async fn stalled_bytes(&self) -> usize {
        let mut before = usize::MAX;
        loop {
            let now = self.shared.sent.load(Ordering::SeqCst);
            if now == before && now > 0 {
                return now;
            }
            before = now;
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }

    /// Stops listening and returns when the port is free.
    pub async fn stop(self) {
        self.task.abort();
        self.task.await.expect_err("aborted");
    }

    async fn wait<F>(&self, done: F)
    where
        F: Fn() -> bool,
    {
        let waiting = async {
            loop {
                let changed = self.shared.changed.notified();
                if done() {
                    return;
                }
                changed.await;
            }
        };
        timeout(BOUND, waiting).await.expect("within the bound");
    }
}

async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    while let Ok((stream, _)) = listener.accept().await {
        shared.connections.fetch_add(1, Ordering::SeqCst);
        let shared = Arc::clone(&shared);
        tokio::spawn(async move {
            serve(stream, &shared).await;
            shared.closed.fetch_add(1, Ordering::SeqCst);
            shared.changed.notify_waiters();
        });
    }
}

async fn serve(mut stream: TcpStream, shared: &Shared) {
    loop {
        let before = matches!(
            shared.script.lock().expect("no panic").front(),
            Some(Act::CloseBeforeRead)
        );
        if before {
            shared.script.lock().expect("no panic").pop_front();
            return;
        }
        if !read_request(&mut stream, shared).await {
            return;
        }
        let act = shared.script.lock().expect("no panic").pop_front();
        shared.requests.fetch_add(1, Ordering::SeqCst);
        shared.changed.notify_waiters();
        let open = match act {
            Some(Act::Answer(text)) => write(&mut stream, text).await,
            Some(Act::Hold(text)) => {
                while shared.requests.load(Ordering::SeqCst) < 2 {
                    tokio::task::yield_now().await;
                }
                write(&mut stream, text).await
            }
            Some(Act::AnswerThenClose(text)) => {
                write(&mut stream, text).await;
                false
            }
            Some(Act::AnswerThenSilent(text)) => {
                write(&mut stream, text).await;
                until_closed(&mut stream).await
            }
            Some(Act::Drip(text, part, count)) => {
                let mut open = write(&mut stream, text).await;
                for _ in 0..count {
                    tokio::time::sleep(DRIP_PAUSE).await;
                    open &= write(&mut stream, part).await;
                }
                open
            }
            Some(Act::Silent) => until_closed(&mut stream).await,
            Some(Act::Flood) => flood(&mut stream, shared).await,
            Some(Act::CloseBeforeRead | Act::CloseAfterRead) | None => false,
        };
        if !open {
            return;
        }
    }
}

async fn write(stream: &mut TcpStream, text: &str) -> bool {
    stream.write_all(text.as_bytes()).await.is_ok()
}

async fn until_closed(stream: &mut TcpStream) -> bool {
    let mut rest = [0; 64];
    while matches!(stream.read(&mut rest).await, Ok(1..)) {}
    false
}

async fn flood(stream: &mut TcpStream, shared: &Shared) -> bool {
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {FLOOD_BYTES}\r\n\r\n");
    if !write(stream, &head).await {
        return false;
    }
    let block = vec![b'x'; 16 << 10];
    for _ in 0..FLOOD_BYTES / block.len() {
        if stream.write_all(&block).await.is_err() {
            return false;
        }
        shared.sent.fetch_add(block.len(), Ordering::SeqCst);
    }
    true
}

/// Reads one request with a body of declared length; `false` if the connection ends before.
async fn read_request(stream: &mut TcpStream, shared: &Shared) -> bool {
    let mut text = Vec::new();
    let mut buffer = vec![0; 4096];
    loop {
        if let Some(end) = text.windows(4).position(|window| window == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&text[..end]).to_ascii_lowercase();
            let length = head
                .lines()
                .find_map(|line| line.strip_prefix("content-length:"))
                .and_then(|value| value.trim().parse::<usize>().ok());
            if text.len() >= end + 4 + length.unwrap_or(0) {
                shared.received.lock().expect("no panic").extend(&text);
                return true;
            }
        }
        match stream.read(&mut buffer).await {
            Ok(count @ 1..) => text.extend_from_slice(&buffer[..count]),
            _ => return false,
        }
    }
}

pub fn settings() -> UpstreamSettings {
    UpstreamSettings {
        budget: 10,
        connect: 1000,
        idle: 10_000,
        report: 500,
        retries: 3,
        silence: 10_000,
    }
}

pub fn instance(name: &str, address: SocketAddr, kind: InstanceKind) -> Instance {
    Instance {
        address: address.to_string().into(),
        centre: "dc-a".parse().expect("an id"),
        fenced: true,
        generation: Generation(1),
        kind,
        memory: None,
        service: None,
        state: InstanceState::Live,
        vm: name.parse().expect("an id"),
    }
}

pub fn post(path: &str, body: &'static str) -> UpstreamRequest {
    UpstreamRequest {
        method: Method::POST,
        path: path.into(),
        headers: HeaderMap::new(),
        body: Bytes::from_static(body.as_bytes()),
        new_connection: true,
    }
}
