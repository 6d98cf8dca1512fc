//! A response body that fails right behind what was taken of it.

use std::convert::Infallible;
use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;

use basilgw::clock::{Clock, SystemClock};
use basilgw::gateway::caller_limit::CallerLimits;
use basilgw::gateway::caller_limit::bounds::{CallerLimitBounds, ProcessLimits};
use basilgw::gateway::caller_limit::metrics::CallerLimitMetrics;
use basilgw::gateway::caller_stream::{CallerStream, SocketOps};
use basilgw::gateway::connection::CallerConnection;
use basilgw::gateway::framing::RawHead;
use basilgw::gateway::relay::ResponseAborted;
use basilgw::gateway::response::CallerBody;
use basilgw::metrics::Metrics;
use bytes::Bytes;
use http::Response;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream};
use tokio::task::JoinHandle;

/// Less than a head, so that it is written in parts.
const SOCKET_BYTES: usize = 64;
/// The operations of a pipe: it has no reset, and holds nothing that the runtime does not know of.
const PIPE: SocketOps<DuplexStream> = SocketOps {
    set_reset: |_, _| {},
    read_now: |_, _| Poll::Pending,
};

/// A connection, and its caller's side.
async fn connect() -> (
    DuplexStream,
    Arc<CallerConnection>,
    CallerStream<DuplexStream>,
) {
    let clock: Arc<dyn Clock> = Arc::new(SystemClock);
    let bounds = CallerLimitBounds::from(ProcessLimits {
        memory: 1 << 30,
        descriptors: 1000,
    });
    let metrics = CallerLimitMetrics::open(&Metrics::open()).expect("metrics");
    let limits = CallerLimits::open(bounds, Arc::clone(&clock), metrics);
    let slot = limits.connect([127, 0, 0, 1].into()).await;
    let connection = CallerConnection::open(slot, clock, RawHead::default());
    let (caller, socket) = tokio::io::duplex(SOCKET_BYTES);
    let stream = CallerStream::new(socket, Arc::clone(&connection), PIPE);
    (caller, connection, stream)
}

/// The body of a response that has one event and a failure.
fn failing_body(connection: &Arc<CallerConnection>) -> CallerBody {
    let event = Ok(Frame::data(Bytes::from("id: 1\ndata: a\n\n")));
    let frames = futures_util::stream::iter([event, Err(ResponseAborted)]);
    connection.watch_body(StreamBody::new(frames).boxed_unsync())
}

/// A served connection whose caller has sent a request; the response has a failing body.
async fn open() -> (DuplexStream, Arc<CallerConnection>, JoinHandle<()>) {
    let (mut caller, connection, stream) = connect().await;
    let watched = Arc::clone(&connection);
    let task = tokio::spawn(async move {
        let service = service_fn(|_request| {
            let response = Response::new(failing_body(&watched));
            async { Ok::<_, Infallible>(response) }
        });
        let served = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        served.await.expect_err("the body's failure");
    });
    let request = b"GET / HTTP/1.1\r\nhost: h\r\n\r\n";
    caller.write_all(request).await.expect("a write");
    (caller, connection, task)
}

// Guards against: a head and events that are dropped unwritten, as the body fails right behind them
// (LOST).
#[tokio::test]
async fn what_was_taken_of_a_body_is_written_before_its_failure() {
    let (mut caller, _connection, task) = open().await;
    let mut text = String::new();
    caller.read_to_string(&mut text).await.expect("an end");
    assert!(text.starts_with("HTTP/1.1 200 OK\r\n"), "{text:?}");
    assert!(
        text.ends_with("\r\nid: 1\ndata: a\n\n\r\n"),
        "cut: {text:?}"
    );
    task.await.expect("an end");
}

// Guards against: a failure that is held back for good, as nothing wakes the body after the last write
// (twin).
#[tokio::test(start_paused = true)]
async fn a_failure_follows_once_all_before_it_is_written() {
    let (_caller, connection, mut stream) = connect().await;
    let mut body = failing_body(&connection);
    body.frame().await.expect("a frame").expect("an event");
    let failure = tokio::spawn(async move { body.frame().await });
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert!(!failure.is_finished(), "nothing is written yet");
    stream.flush().await.expect("a flush");
    let failure = tokio::time::timeout(Duration::from_secs(1), failure).await;
    let failure = failure.expect("in time").expect("a frame");
    assert!(matches!(failure, Some(Err(ResponseAborted))));
}

// Guards against: a failure that waits for good for a caller which takes nothing, as the bound on such
// callers doesn't see it (twin).
#[tokio::test(start_paused = true)]
async fn a_caller_that_takes_nothing_of_a_failed_body_counts_as_blocked() {
    let (caller, connection, task) = open().await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert!(connection.blocked_since().is_some());
    drop(caller);
    let ended = tokio::time::timeout(Duration::from_secs(1), task).await;
    ended
        .expect("no wait for a caller that has left")
        .expect("an end");
}
