//! The HTTP listeners of a VM: for callers, for the balancer's readiness checks, and for metrics.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::header::{CONNECTION, HeaderValue};
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use slog::warn;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

use crate::listen;

use super::framing::{self, RawHead, RecordedStream};
use super::relay;
use super::response::{self, CallerBody};
use super::state::Gateway;

/// Longest idle time of a connection before the first configuration is known.
const DEFAULT_IDLE: Duration = Duration::from_secs(15);
/// Largest request head before the first configuration is known, in bytes.
const DEFAULT_HEAD_BYTES: usize = 16 * 1024;
/// Smallest buffer that the HTTP library accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8 * 1024;
/// Added to the idle time, so that a request sent just before it ends still arrives in time.
const IDLE_GRACE: Duration = Duration::from_millis(500);
/// Pause after a failed accept, without which a persistent error would cause a busy loop.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// A running listener.
#[derive(Debug)]
pub struct Listening {
    /// Address that it is bound to; the kernel chooses the port if 0 was requested.
    pub at: SocketAddr,
    /// Task that accepts connections; it does not end by itself.
    pub task: JoinHandle<()>,
}

/// Starts the listener for callers.
///
/// # Errors
///
/// If the address cannot be bound.
pub fn spawn_callers(gateway: &Arc<Gateway>, at: SocketAddr) -> io::Result<Listening> {
    let listener = listen::bind(at)?;
    let at = listener.local_addr()?;
    let gateway = Arc::clone(gateway);
    let task = tokio::spawn(async move {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    tokio::spawn(serve_connection(Arc::clone(&gateway), stream));
                }
                Err(e) => pause_after(&gateway, &e).await,
            }
        }
    });
    Ok(Listening { at, task })
}

/// Starts the listener for readiness checks, which responds with 200 while this VM accepts new
/// callers and with 503 otherwise.
///
/// # Errors
///
/// If the address cannot be bound.
pub fn spawn_ready(gateway: &Arc<Gateway>, at: SocketAddr) -> io::Result<Listening> {
    spawn_plain(gateway, at, |gateway| ready_response(gateway.is_ready()))
}

/// Starts the listener that returns the metrics.
///
/// # Errors
///
/// If the address cannot be bound.
pub fn spawn_metrics(gateway: &Arc<Gateway>, at: SocketAddr) -> io::Result<Listening> {
    spawn_plain(gateway, at, metrics_response)
}

/// Starts a listener that answers every request with `respond`.
fn spawn_plain(
    gateway: &Arc<Gateway>,
    at: SocketAddr,
    respond: fn(&Gateway) -> Response<CallerBody>,
) -> io::Result<Listening> {
    let listener = listen::bind(at)?;
    let at = listener.local_addr()?;
    let task = tokio::spawn(serve_plain(Arc::clone(gateway), listener, respond));
    Ok(Listening { at, task })
}

async fn serve_plain(
    gateway: Arc<Gateway>,
    listener: TcpListener,
    respond: fn(&Gateway) -> Response<CallerBody>,
) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(e) => {
                pause_after(&gateway, &e).await;
                continue;
            }
        };
        let gateway = Arc::clone(&gateway);
        let service = service_fn(move |_request: Request<Incoming>| {
            let response = respond(&gateway);
            async move { Ok::<_, Infallible>(response) }
        });
        tokio::spawn(async move {
            // An error ends only this connection; the client can open another one.
            let _ended = http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

fn metrics_response(gateway: &Gateway) -> Response<CallerBody> {
    gateway.gauges.refresh(gateway);
    match gateway.metrics.render() {
        Ok(text) => Response::new(response::complete_body(Bytes::from(text))),
        Err(e) => {
            warn!(gateway.log, "metrics_unwritable"; "error" => %e);
            let mut response = Response::new(response::complete_body(Bytes::new()));
            *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
            response
        }
    }
}

fn ready_response(ready: bool) -> Response<CallerBody> {
    let mut response = Response::new(response::complete_body(Bytes::new()));
    if !ready {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    response
}

async fn pause_after(gateway: &Gateway, error: &io::Error) {
    warn!(gateway.log, "accept_failed"; "error" => %error);
    tokio::time::sleep(ACCEPT_PAUSE).await;
}

/// Tracks how long a connection has been idle.
#[derive(Debug)]
struct IdleTracker {
    /// Requests being handled.
    running: AtomicUsize,
    /// Requests that have arrived so far.
    arrived: AtomicUsize,
    /// When the last request ended, or the connection was opened.
    since: Mutex<Instant>,
}

impl IdleTracker {
    fn idle_since(&self) -> Option<Instant> {
        let idle = self.running.load(Ordering::Relaxed) == 0;
        idle.then(|| *self.since.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn end_request(&self, now: Instant) {
        *self.since.lock().unwrap_or_else(PoisonError::into_inner) = now;
        self.running.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn serve_connection(gateway: Arc<Gateway>, stream: TcpStream) {
    // Otherwise Nagle's algorithm delays small events until the caller has acknowledged earlier
    // ones. A failure is ignored, because the connection works without the option.
    let _ignored = stream.set_nodelay(true);
    let idle = Arc::new(IdleTracker {
        running: AtomicUsize::new(0),
        arrived: AtomicUsize::new(0),
        since: Mutex::new(gateway.clock.now()),
    });
    let raw_head = RawHead::default();
    let service = service_fn(|request: Request<Incoming>| {
        let gateway = Arc::clone(&gateway);
        let idle = Arc::clone(&idle);
        let raw_head = raw_head.clone();
        let declared = framing::declared_length(request.headers());
        async move {
            idle.running.fetch_add(1, Ordering::Relaxed);
            idle.arrived.fetch_add(1, Ordering::Relaxed);
            let mut response = relay::handle_request(&gateway, request, &raw_head).await;
            if !raw_head.restart(declared) {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(CONNECTION, close);
            }
            idle.end_request(gateway.clock.now());
            Ok::<_, Infallible>(response)
        }
    });
    let configuration = gateway.configuration.load();
    let head_bytes = configuration
        .as_ref()
        .map_or(DEFAULT_HEAD_BYTES, |c| c.bounds.head_bytes);
    drop(configuration);
    let mut builder = http1::Builder::new();
    builder.max_buf_size(head_bytes.max(MIN_BUFFER_BYTES));
    let stream = RecordedStream::new(stream, raw_head.clone());
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let shutdown = gateway.shutdown_started.notified();
    tokio::pin!(shutdown);
    let mut closing = false;
    loop {
        let wait = idle_time_left(&gateway, &idle);
        tokio::select! {
            // An error, such as an invalid request, ends only this connection.
            _ended = connection.as_mut() => return,
            // Announces the end of kept-alive connections; a caller that still used one after the
            // exit would lose its request. The first request of a connection may be on its way; its
            // response ends the connection.
            () = shutdown.as_mut(), if !closing => {
                closing = true;
                if idle.arrived.load(Ordering::Relaxed) > 0 {
                    connection.as_mut().graceful_shutdown();
                }
            }
            () = tokio::time::sleep(wait) => {
                if idle_time_left(&gateway, &idle).is_zero() {
                    connection.as_mut().graceful_shutdown();
                }
            }
        }
    }
}

/// Time until the connection has been idle for too long.
fn idle_time_left(gateway: &Gateway, idle: &IdleTracker) -> Duration {
    let configuration = gateway.configuration.load();
    let bound = configuration
        .as_ref()
        .map_or(DEFAULT_IDLE, |c| c.bounds.idle_time)
        + IDLE_GRACE;
    match idle.idle_since() {
        Some(since) => (since + bound).saturating_duration_since(gateway.clock.now()),
        None => bound,
    }
}
