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

const TIMEOUT: Duration = Duration::from_secs(10);
const CHUNK_PAUSE: Duration = Duration::from_millis(250);
const LARGE_BODY_BYTES: usize = 64 << 20;

/// What the upstream does with one connection or request.
#[derive(Clone, Copy, Debug)]
pub enum Action {
    /// Closes the connection without reading the request.
    CloseBeforeRead,
    /// Reads the request and closes the connection.
    CloseAfterRead,
    /// Sends the text and waits for the next request on the connection.
    Respond(&'static str),
    /// Waits until two requests have arrived at the upstream, then sends the text.
    RespondAfterTwo(&'static str),
    /// Sends the text and closes the connection.
    RespondThenClose(&'static str),
    /// Sends the text and then nothing, but keeps the connection open.
    RespondThenStall(&'static str),
    /// Sends the first text, then the second one a number of times, each after a pause.
    RespondSlowly(&'static str, &'static str, u32),
    /// Reads the request and sends nothing, but keeps the connection open.
    Stall,
    /// Sends a large body as fast as the client reads it.
    RespondLarge,
}

#[derive(Debug, Default)]
struct Shared {
    script: Mutex<std::collections::VecDeque<Action>>,
    connections: AtomicUsize,
    requests: AtomicUsize,
    closed: AtomicUsize,
    sent: AtomicUsize,
    received: Mutex<Vec<u8>>,
    changed: Notify,
}

/// A running upstream.
#[derive(Debug)]
pub struct ScriptedUpstream {
    address: SocketAddr,
    shared: Arc<Shared>,
    task: JoinHandle<()>,
}

impl ScriptedUpstream {
    pub async fn bind(script: Vec<Action>) -> Self {
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

    /// Waits until a connection was closed by either end. Each closed connection counts for one
    /// call.
    pub async fn wait_closed(&self) {
        let shared = &self.shared;
        let closed = || shared.closed.load(Ordering::SeqCst) > 0;
        self.wait_until(closed).await;
        shared.closed.fetch_sub(1, Ordering::SeqCst);
    }

    pub async fn wait_requests(&self, count: usize) {
        self.wait_until(|| self.requests() >= count).await;
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

    async fn wait_until<F>(&self, done: F)
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
        timeout(TIMEOUT, waiting).await.expect("before the timeout");
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
        let close_first = matches!(
            shared.script.lock().expect("no panic").front(),
            Some(Action::CloseBeforeRead)
        );
        if close_first {
            shared.script.lock().expect("no panic").pop_front();
            return;
        }
        if !read_request(&mut stream, shared).await {
            return;
        }
        let action = shared.script.lock().expect("no panic").pop_front();
        shared.requests.fetch_add(1, Ordering::SeqCst);
        shared.changed.notify_waiters();
        let keep_open = match action {
            Some(Action::Respond(text)) => write(&mut stream, text).await,
            Some(Action::RespondAfterTwo(text)) => {
                while shared.requests.load(Ordering::SeqCst) < 2 {
                    tokio::task::yield_now().await;
                }
                write(&mut stream, text).await
            }
            Some(Action::RespondThenClose(text)) => {
                write(&mut stream, text).await;
                false
            }
            Some(Action::RespondThenStall(text)) => {
                write(&mut stream, text).await;
                read_until_closed(&mut stream).await
            }
            Some(Action::RespondSlowly(text, part, count)) => {
                let mut keep_open = write(&mut stream, text).await;
                for _ in 0..count {
                    tokio::time::sleep(CHUNK_PAUSE).await;
                    keep_open &= write(&mut stream, part).await;
                }
                keep_open
            }
            Some(Action::Stall) => read_until_closed(&mut stream).await,
            Some(Action::RespondLarge) => send_large_body(&mut stream, shared).await,
            Some(Action::CloseBeforeRead | Action::CloseAfterRead) | None => false,
        };
        if !keep_open {
            return;
        }
    }
}

async fn write(stream: &mut TcpStream, text: &str) -> bool {
    stream.write_all(text.as_bytes()).await.is_ok()
}

async fn read_until_closed(stream: &mut TcpStream) -> bool {
    let mut buffer = [0; 64];
    while matches!(stream.read(&mut buffer).await, Ok(1..)) {}
    false
}

async fn send_large_body(stream: &mut TcpStream, shared: &Shared) -> bool {
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {LARGE_BODY_BYTES}\r\n\r\n");
    if !write(stream, &head).await {
        return false;
    }
    let block = vec![b'x'; 16 << 10];
    for _ in 0..LARGE_BODY_BYTES / block.len() {
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
