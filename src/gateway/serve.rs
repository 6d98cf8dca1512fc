//! The HTTP listeners of a VM: for callers, for the balancer's readiness checks, and for metrics.

use std::convert::Infallible;
use std::future::{poll_fn, ready};
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONNECTION, HeaderValue};
use http::{Request, Response, StatusCode, Version};
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use slog::warn;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;
use tokio::time::Sleep;

use crate::edge::RequestGuard;
use crate::listen;

use super::caller_limit::CallerSlot;
use super::caller_limit::metrics::CloseReason;
use super::caller_stream::{CallerStream, SocketOps};
use super::configuration::CallerBounds;
use super::connection::CallerConnection;
use super::framing::{self, RawHead, RecordedStream};
use super::relay;
use super::response::{self, CallerBody};
use super::state::Gateway;
use super::unanswered::UnansweredCause;

/// Smallest buffer that the HTTP library accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8 * 1024;
/// Added to the idle time between two looks at a connection that has a request in progress, and the
/// least time between two looks at one on which a head is arriving.
const BUSY_INTERVAL: Duration = Duration::from_millis(500);
/// Added to the time of a head, which the caller counts from its first byte too.
const HEAD_GRACE: Duration = Duration::from_millis(500);
/// Pause after a failed accept, without which a persistent error would cause a busy loop.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// How far a connection has come with the stop of this VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Closing {
    /// No stop has begun.
    No,
    /// It reads what has arrived.
    Reading,
    /// The last read is over: a served, idle connection was told to end, any other ends with its next
    /// response.
    Done,
}

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
                Ok((stream, peer)) => {
                    let slot = gateway.caller_limits.connect(peer.ip()).await;
                    tokio::spawn(serve_connection(Arc::clone(&gateway), slot, stream));
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

async fn serve_connection(gateway: Arc<Gateway>, slot: CallerSlot, stream: TcpStream) {
    // Otherwise Nagle's algorithm delays small events until the caller has acknowledged earlier
    // ones. A failure is ignored, because the connection works without the option.
    let _ignored = stream.set_nodelay(true);
    let raw_head = RawHead::default();
    let caller = CallerConnection::open(slot, Arc::clone(&gateway.clock), raw_head.clone());
    let head_bytes = caller_bounds(&gateway).head_bytes;
    let service = service_fn(|request: Request<Incoming>| {
        let gateway = Arc::clone(&gateway);
        let caller = Arc::clone(&caller);
        let raw_head = raw_head.clone();
        let declared = framing::declared_length(request.headers());
        caller.begin_request(declared, !request.body().is_end_stream());
        async move {
            let mut response = serve_request(&gateway, &caller, request, &raw_head).await;
            let next_known = raw_head.restart(declared);
            // The HTTP library keeps the bound on heads that it began with; a larger one holds for
            // the caller's next connection.
            if !next_known || caller_bounds(&gateway).head_bytes > head_bytes {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(CONNECTION, close);
            }
            Ok::<_, Infallible>(response)
        }
    });
    let mut builder = http1::Builder::new();
    builder.max_buf_size(head_bytes.max(MIN_BUFFER_BYTES));
    let stream = CallerStream::new(stream, Arc::clone(&caller), SocketOps::TCP);
    let stream = RecordedStream::new(stream, raw_head.clone());
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let shutdown = gateway.stop.reached(|plan| plan.begun);
    tokio::pin!(shutdown);
    let evicted = caller.slot.evicted();
    tokio::pin!(evicted);
    let head_late = head_late(&gateway, &caller, &raw_head);
    tokio::pin!(head_late);
    let (mut closing, mut leaving) = (Closing::No, false);
    let closed = loop {
        let mut wait = time_left(&gateway, &caller);
        if raw_head.is_partial() {
            wait = wait.max(BUSY_INTERVAL);
        }
        tokio::select! {
            // The connection goes first, as it reads what the others look at.
            biased;
            // An error, such as an invalid request, ends only this connection.
            ended = connection.as_mut() => {
                report_ended(&gateway, &caller, ended);
                return;
            }
            // A request may have arrived that the runtime does not know of yet, so the connection reads
            // once more before it ends.
            () = shutdown.as_mut(), if closing == Closing::No => {
                closing = Closing::Reading;
                caller.begin_final_read();
            }
            // Announces the end of kept-alive connections; a caller that still used one after the
            // exit would lose its request. The first request of a connection may be on its way, and
            // the head of another one may have begun; its response ends the connection.
            // Ready at once, but only after the connection was polled with the last read.
            () = ready(()), if closing == Closing::Reading => {
                closing = Closing::Done;
                if caller.has_served() && !raw_head.is_partial() {
                    connection.as_mut().graceful_shutdown();
                }
            }
            () = evicted.as_mut(), if !leaving => {
                leaving = true;
                // A request that gave way may just have been refused; the rest of its body is read,
                // so that the refusal is not lost in a reset.
                let refused = caller.slot.is_reading()
                    || caller.is_unread() && caller.blocked_since().is_none();
                if !refused {
                    break CloseReason::GaveWay;
                }
                // The request is refused, and that ends the connection.
                connection.as_mut().graceful_shutdown();
            }
            () = head_late.as_mut() => break CloseReason::HeadTimeout,
            () = tokio::time::sleep(wait) => {
                if unread_time_left(&gateway, &caller).is_some_and(|left| left.is_zero()) {
                    break CloseReason::Unread;
                }
                // A head that has begun has a time of its own.
                if !raw_head.is_partial() && ends_as_idle(&gateway, &caller) {
                    connection.as_mut().graceful_shutdown();
                }
            }
        }
    };
    gateway.caller_limits.metrics.closed(closed);
    if let Some(request) = caller.unanswered() {
        gateway.on_unanswered(&request, closed.into());
    }
}

/// Handles a request, and notes whether its response ends with the connection.
async fn serve_request(
    gateway: &Arc<Gateway>,
    caller: &Arc<CallerConnection>,
    request: Request<Incoming>,
    raw_head: &RawHead,
) -> Response<CallerBody> {
    let version = request.version();
    let response = relay::handle_request(gateway, caller, request, raw_head).await;
    if version < Version::HTTP_11 && response.body().size_hint().exact().is_none() {
        caller.set_close_delimited();
    }
    response
}

/// Reports the request that a connection left without a complete answer as it ended, if any.
fn report_ended(gateway: &Gateway, caller: &CallerConnection, ended: hyper::Result<()>) {
    // The HTTP library has refused a head that it could not read.
    let refused = ended.as_ref().is_err_and(hyper::Error::is_parse);
    let aborted = ended.is_err_and(|error| error.is_user());
    let Some(request) = caller.unanswered().filter(|_| !refused) else {
        return;
    };
    let now = gateway.clock.now();
    let stopped = gateway.stop_plan().is_some_and(|plan| plan.ends <= now);
    let late = request.time.as_ref().is_some_and(|time| time.is_over());
    let cause = match (aborted, stopped) {
        (true, true) => UnansweredCause::Stop,
        (true, false) if late => UnansweredCause::Deadline,
        (true, false) => UnansweredCause::Aborted,
        (false, _) => UnansweredCause::CallerLeft,
    };
    gateway.on_unanswered(&request, cause);
}

/// Limits on callers, those of the configuration if there is one.
fn caller_bounds(gateway: &Gateway) -> CallerBounds {
    let configuration = gateway.configuration.load();
    configuration
        .as_ref()
        .map_or(CallerBounds::DEFAULT, |c| c.bounds)
}

/// Waits until the head of a request has taken too long to arrive, counted from its first byte. A
/// stop waits for such a head.
async fn head_late(gateway: &Gateway, caller: &CallerConnection, raw_head: &RawHead) {
    let mut begun: Option<Pin<Box<Sleep>>> = None;
    let mut held: Option<RequestGuard> = None;
    // Polled whenever the connection has been.
    poll_fn(|cx| {
        if caller.idle_since().is_none() || !raw_head.is_partial() {
            begun = None;
            held = None;
            return Poll::Pending;
        }
        if gateway.running.is_leaving() && held.is_none() {
            held = Some(gateway.running.hold());
        }
        let late = begun.get_or_insert_with(|| {
            let head_time = caller_bounds(gateway).head_time + HEAD_GRACE;
            Box::pin(tokio::time::sleep(head_time))
        });
        late.as_mut().poll(cx)
    })
    .await;
}

/// Time until the state of the connection has to be looked at again.
fn time_left(gateway: &Gateway, caller: &CallerConnection) -> Duration {
    let idle = idle_time_left(gateway, caller);
    let unread = unread_time_left(gateway, caller);
    let busy = || caller_bounds(gateway).idle_time + BUSY_INTERVAL;
    idle.into_iter().chain(unread).min().unwrap_or_else(busy)
}

/// Time until the connection has been idle for too long; `None` while a request is in progress.
fn idle_time_left(gateway: &Gateway, caller: &CallerConnection) -> Option<Duration> {
    let idle_since = caller.idle_since()?;
    let times = gateway.idle_times.load();
    let until = times.idle_end(caller.last_request(), idle_since);
    Some(until.saturating_duration_since(gateway.clock.now()))
}

/// Whether the connection ends now, as it was idle for too long. When that is first so it only reads
/// once more, as a request may have arrived that the runtime does not know of yet.
fn ends_as_idle(gateway: &Gateway, caller: &CallerConnection) -> bool {
    let idle = idle_time_left(gateway, caller).is_some_and(|left| left.is_zero());
    idle && !caller.begin_final_read()
}

/// Time until the caller has taken nothing of a response for too long; `None` if it takes it.
fn unread_time_left(gateway: &Gateway, caller: &CallerConnection) -> Option<Duration> {
    let blocked_since = caller.blocked_since()?;
    let until = gateway.idle_times.load().unread_end(blocked_since);
    Some(until.saturating_duration_since(gateway.clock.now()))
}
