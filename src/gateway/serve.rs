//! The listeners of a VM: callers, and the balancer's question whether new callers may come.

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

use super::answer::{self, CallerBody};
use super::framing::{self, Head, Watched};
use super::relay;
use super::state::Gateway;

/// Idle bound while no configuration is known.
const FIRST_IDLE: Duration = Duration::from_secs(15);
/// Head bound while no configuration is known, in bytes.
const FIRST_HEAD_BYTES: usize = 16 * 1024;
/// The HTTP library's least buffer, in bytes.
const LEAST_BUFFER_BYTES: usize = 8 * 1024;
/// A connection is kept a little longer than the bound, so that a caller within it wins the race.
const IDLE_GRACE: Duration = Duration::from_millis(500);
/// Pause after a failed accept, which otherwise would be tried in a tight loop.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// A listener that answers.
#[derive(Debug)]
pub struct Listening {
    /// Address it is bound to; its port is the kernel's choice where 0 was asked for.
    pub at: SocketAddr,
    /// Runs as long as the process.
    pub task: JoinHandle<()>,
}

/// Answers callers on a listener.
///
/// # Errors
///
/// Where the address cannot be bound.
pub fn spawn(gateway: &Arc<Gateway>, at: SocketAddr) -> io::Result<Listening> {
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

/// Answers the balancer on a listener.
///
/// # Errors
///
/// Where the address cannot be bound.
pub fn spawn_ready(gateway: &Arc<Gateway>, at: SocketAddr) -> io::Result<Listening> {
    spawn_plain(gateway, at, |gateway| ready_answer(gateway.ready()))
}

/// Answers with the metrics on a listener.
///
/// # Errors
///
/// Where the address cannot be bound.
pub fn spawn_metrics(gateway: &Arc<Gateway>, at: SocketAddr) -> io::Result<Listening> {
    spawn_plain(gateway, at, metrics_answer)
}

fn spawn_plain(
    gateway: &Arc<Gateway>,
    at: SocketAddr,
    answer: fn(&Gateway) -> Response<CallerBody>,
) -> io::Result<Listening> {
    let listener = listen::bind(at)?;
    let at = listener.local_addr()?;
    let task = tokio::spawn(answer_plain(Arc::clone(gateway), listener, answer));
    Ok(Listening { at, task })
}

async fn answer_plain(
    gateway: Arc<Gateway>,
    listener: TcpListener,
    answer: fn(&Gateway) -> Response<CallerBody>,
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
            let response = answer(&gateway);
            async move { Ok::<_, Infallible>(response) }
        });
        tokio::spawn(async move {
            // Whoever asks asks again on a new connection.
            let _ended = http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

fn metrics_answer(gateway: &Gateway) -> Response<CallerBody> {
    gateway.gauges.refresh(gateway);
    match gateway.metrics.render() {
        Ok(text) => Response::new(answer::whole(Bytes::from(text))),
        Err(e) => {
            warn!(gateway.log, "metrics_unwritable"; "error" => %e);
            let mut response = Response::new(answer::whole(Bytes::new()));
            *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
            response
        }
    }
}

fn ready_answer(ready: bool) -> Response<CallerBody> {
    let mut response = Response::new(answer::whole(Bytes::new()));
    if !ready {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    response
}

async fn pause_after(gateway: &Gateway, error: &io::Error) {
    warn!(gateway.log, "accept_failed"; "error" => %error);
    tokio::time::sleep(ACCEPT_PAUSE).await;
}

/// When a connection was last in use.
#[derive(Debug)]
struct Use {
    running: AtomicUsize,
    since: Mutex<Instant>,
}

impl Use {
    fn idle_since(&self) -> Option<Instant> {
        let idle = self.running.load(Ordering::Relaxed) == 0;
        idle.then(|| *self.since.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn end(&self, now: Instant) {
        *self.since.lock().unwrap_or_else(PoisonError::into_inner) = now;
        self.running.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn serve_connection(gateway: Arc<Gateway>, stream: TcpStream) {
    // Without it small events wait for the caller's acknowledgement; the default still works.
    let _default = stream.set_nodelay(true);
    let usage = Arc::new(Use {
        running: AtomicUsize::new(0),
        since: Mutex::new(gateway.clock.now()),
    });
    let kept = Head::default();
    let service = service_fn(|request: Request<Incoming>| {
        let gateway = Arc::clone(&gateway);
        let usage = Arc::clone(&usage);
        let kept = kept.clone();
        let told = framing::told_length(request.headers());
        async move {
            usage.running.fetch_add(1, Ordering::Relaxed);
            let mut response = relay::serve(&gateway, request, &kept).await;
            if !kept.renew(told) {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(CONNECTION, close);
            }
            usage.end(gateway.clock.now());
            Ok::<_, Infallible>(response)
        }
    });
    let table = gateway.table.load();
    let head = table
        .as_ref()
        .map_or(FIRST_HEAD_BYTES, |t| t.bounds.head_bytes);
    drop(table);
    let mut builder = http1::Builder::new();
    builder.max_buf_size(head.max(LEAST_BUFFER_BYTES));
    let stream = Watched::new(stream, kept.clone());
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let left = gateway.left.notified();
    tokio::pin!(left);
    let mut leaving = false;
    loop {
        let wait = idle_left(&gateway, &usage);
        tokio::select! {
            // A caller that leaves or sends what is no request ends its connection only.
            _ended = connection.as_mut() => return,
            // A caller must not find out by a lost request that a kept connection ends.
            () = left.as_mut(), if !leaving => {
                leaving = true;
                connection.as_mut().graceful_shutdown();
            }
            () = tokio::time::sleep(wait) => {
                if idle_left(&gateway, &usage).is_zero() {
                    connection.as_mut().graceful_shutdown();
                }
            }
        }
    }
}

/// Time until the connection has idled for too long.
fn idle_left(gateway: &Gateway, usage: &Use) -> Duration {
    let table = gateway.table.load();
    let bound = table.as_ref().map_or(FIRST_IDLE, |t| t.bounds.idle_time) + IDLE_GRACE;
    match usage.idle_since() {
        Some(since) => (since + bound).saturating_duration_since(gateway.clock.now()),
        None => bound,
    }
}
