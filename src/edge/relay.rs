//! Passes streamed responses on to callers.
//!
//! The body of the caller's response polls the upstream's body directly. A chunk therefore costs no
//! task switch, and a slow caller occupies only what the kernel and the HTTP library buffer for it,
//! without delaying other callers. One [`StreamMonitor`] per VM checks all streams, however slowly
//! their callers read: once the key is withdrawn or the deadline has passed, it ends the upstream's
//! work and frees the slot. If the upstream's stream ends without the end mark, the caller gets an
//! error event.

use std::collections::BTreeMap;
use std::fmt;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use futures_util::Stream;
use futures_util::stream::BoxStream;
use http_body::Frame;
use serde::Deserialize;
use tokio::task::JoinHandle;
use volo_http::error::BoxError;

use super::auth::Principal;
use super::completion::CompletionGuards;
use super::response::error_body;
use crate::clock::Clock;
use crate::declare::ActiveConfig;
use crate::ids::RequestId;
use crate::outcome::{Ran, Reason, Refusal};
use crate::units::Tokens;

/// A chunk of a response body, as the HTTP library sends it to a caller.
pub type Chunk = Result<Frame<Bytes>, BoxError>;

/// Last line of a complete stream.
const END_MARK: &[u8] = b"data: [DONE]";
/// Start of the line that carries the data of an event.
const DATA_PREFIX: &[u8] = b"data: ";
/// Text that every event with a report of used tokens contains.
const USAGE_FIELD: &[u8] = b"\"usage\":";
/// Interval at which streams are checked if no new configuration arrives.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// The parts of a request that are needed while its response is streamed.
#[derive(Debug)]
pub struct StreamRequest {
    /// Sender of the request.
    pub principal: Principal,
    /// Id for the error event, which the caller may have chosen.
    pub id: RequestId,
    /// Unique id within the gateway.
    pub internal_id: RequestId,
    /// When the stream must have ended.
    pub deadline: Instant,
    /// Estimated tokens of the prompt.
    pub prompt: Tokens,
}

/// A streamed response, shared by its body and the monitor.
#[derive(Debug)]
struct StreamedResponse {
    request: StreamRequest,
    state: Mutex<StreamState>,
}

struct StreamState {
    /// Body of the upstream's response and the guards of the request; `None` once the stream has
    /// ended.
    running: Option<(BoxStream<'static, Result<Bytes, Refusal>>, CompletionGuards)>,
    events: EventScanner,
    /// Error event that is still to be sent to the caller.
    error_event: Option<Bytes>,
    waker: Option<Waker>,
}

impl fmt::Debug for StreamState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("StreamState")
            .field("running", &self.running.is_some())
            .finish_non_exhaustive()
    }
}

impl StreamedResponse {
    fn lock(&self) -> MutexGuard<'_, StreamState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Cancels the upstream's work, settles the cost, and leaves an error event for the caller if
    /// there was a failure.
    fn end(&self, state: &mut StreamState, failure: Option<&Refusal>) {
        let Some((body, mut guards)) = state.running.take() else {
            return;
        };
        drop(body);
        guards.cost.used = state.events.used_tokens(self.request.prompt);
        state.error_event = failure.map(|refusal| build_error_event(refusal, &self.request.id));
        if let Some(waker) = state.waker.take() {
            waker.wake();
        }
    }

    /// Ends the stream if its key is no longer valid or its deadline has passed.
    fn check(&self, now: Instant) {
        let reason = if !self.request.principal.is_key_valid() {
            Reason::Withdrawn
        } else if now >= self.request.deadline {
            Reason::Deadline
        } else {
            return;
        };
        self.end(&mut self.lock(), Some(&Refusal::ran(reason)));
    }

    /// Polls the upstream's body, and sends the error event, if any, once the stream has ended.
    fn poll(&self, cx: &mut Context<'_>) -> Poll<Option<Chunk>> {
        let mut guard = self.lock();
        let state = &mut *guard;
        let Some((body, _)) = &mut state.running else {
            return Poll::Ready(state.error_event.take().map(|event| Ok(Frame::data(event))));
        };
        let failure = match body.as_mut().poll_next(cx) {
            Poll::Pending => {
                if !state
                    .waker
                    .as_ref()
                    .is_some_and(|known| known.will_wake(cx.waker()))
                {
                    state.waker = Some(cx.waker().clone());
                }
                return Poll::Pending;
            }
            Poll::Ready(Some(Ok(chunk))) => {
                state.events.feed(&chunk);
                return Poll::Ready(Some(Ok(Frame::data(chunk))));
            }
            Poll::Ready(Some(Err(refusal))) => Some(Refusal {
                ran: Ran::Yes,
                ..refusal
            }),
            Poll::Ready(None) if state.events.is_complete() => None,
            Poll::Ready(None) => Some(Refusal::ran(Reason::UpstreamFailed)),
        };
        self.end(state, failure.as_ref());
        Poll::Ready(state.error_event.take().map(|event| Ok(Frame::data(event))))
    }
}

fn build_error_event(refusal: &Refusal, request: &RequestId) -> Bytes {
    let error = error_body(refusal, Some(request));
    let json = serde_json::to_string(&error).unwrap_or_default();
    Bytes::from(format!("\nevent: error\ndata: {json}\n\n"))
}

/// The body of a streamed response to a caller. Dropping it cancels the upstream's work.
#[derive(Debug)]
pub struct RelayBody(Arc<StreamedResponse>);

impl Stream for RelayBody {
    type Item = Chunk;

    fn poll_next(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Chunk>> {
        self.0.poll(cx)
    }
}

impl Drop for RelayBody {
    fn drop(&mut self) {
        self.0.end(&mut self.0.lock(), None);
    }
}

/// Checks all running streams until it is dropped.
#[derive(Debug)]
pub struct StreamMonitor {
    streams: Arc<Mutex<BTreeMap<RequestId, Weak<StreamedResponse>>>>,
    task: JoinHandle<()>,
}

impl StreamMonitor {
    /// Starts the checks, which run at each new configuration and at regular intervals.
    pub fn spawn(active_config: &ActiveConfig, clock: Arc<dyn Clock>) -> Self {
        let streams: Arc<Mutex<BTreeMap<RequestId, Weak<StreamedResponse>>>> = Arc::default();
        let monitored = Arc::clone(&streams);
        let mut revisions = active_config.subscribe();
        let task = tokio::spawn(async move {
            loop {
                let changed = tokio::time::timeout(CHECK_INTERVAL, revisions.changed()).await;
                if matches!(changed, Ok(Err(_))) {
                    return;
                }
                for stream in running_streams(&monitored) {
                    stream.check(clock.now());
                }
            }
        });
        Self { streams, task }
    }

    /// Creates the body that passes on an upstream's body, and checks it until it ends.
    pub(super) fn relay(
        &self,
        request: StreamRequest,
        body: BoxStream<'static, Result<Bytes, Refusal>>,
        guards: CompletionGuards,
    ) -> RelayBody {
        let id = request.internal_id.clone();
        let state = StreamState {
            running: Some((body, guards)),
            events: EventScanner::default(),
            error_event: None,
            waker: None,
        };
        let response = Arc::new(StreamedResponse {
            request,
            state: Mutex::new(state),
        });
        let mut streams = self.streams.lock().unwrap_or_else(PoisonError::into_inner);
        streams.insert(id, Arc::downgrade(&response));
        RelayBody(response)
    }
}

impl Drop for StreamMonitor {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Returns the running streams and removes all others from the map.
fn running_streams(
    streams: &Mutex<BTreeMap<RequestId, Weak<StreamedResponse>>>,
) -> Vec<Arc<StreamedResponse>> {
    let mut streams = streams.lock().unwrap_or_else(PoisonError::into_inner);
    let mut found = Vec::with_capacity(streams.len());
    streams.retain(|_, stream| {
        let running = stream.upgrade();
        let keep = running.is_some();
        found.extend(running);
        keep
    });
    found
}

/// Scans a stream of server-sent events for their number, used tokens and the end mark.
#[derive(Debug, Default)]
pub struct EventScanner {
    /// Start of a line whose end has not arrived yet.
    partial_line: BytesMut,
    event_count: u64,
    /// Used tokens, as last reported by the upstream.
    usage: Option<u64>,
    complete: bool,
}

#[derive(Deserialize)]
struct UsageReport {
    usage: Option<Usage>,
}

#[derive(Deserialize)]
struct Usage {
    total_tokens: u64,
}

impl EventScanner {
    /// Scans one chunk, which may start and end anywhere in a line.
    pub fn feed(&mut self, chunk: &[u8]) {
        let mut rest = chunk;
        while let Some(line_end) = rest.iter().position(|&b| b == b'\n') {
            let (line, after) = rest.split_at(line_end);
            rest = &after[1..];
            if self.partial_line.is_empty() {
                self.feed_line(line.trim_ascii_end());
                continue;
            }
            self.partial_line.extend_from_slice(line);
            let full_line = self.partial_line.split();
            self.feed_line(full_line.trim_ascii_end());
        }
        self.partial_line.extend_from_slice(rest);
        if self.partial_line.starts_with(END_MARK) {
            self.complete = true;
        }
    }

    fn feed_line(&mut self, line: &[u8]) {
        if line == END_MARK {
            self.complete = true;
            return;
        }
        let Some(data) = line.strip_prefix(DATA_PREFIX) else {
            return;
        };
        self.event_count += 1;
        // Parsing every event would be wasted work: only the few that contain this field matter.
        if data.windows(USAGE_FIELD.len()).any(|w| w == USAGE_FIELD) {
            self.usage = total_tokens(data).or(self.usage);
        }
    }

    /// Whether the end mark has arrived.
    pub fn is_complete(&self) -> bool {
        self.complete
    }

    /// Tokens used, as reported by the upstream. Without a report, the estimate is the prompt and one
    /// token per event.
    pub fn used_tokens(&self, prompt: Tokens) -> Tokens {
        self.usage.map_or(prompt + Tokens(self.event_count), Tokens)
    }
}

/// Reads the tokens used from a complete response or one event; `None` if it does not report them.
pub fn total_tokens(body: &[u8]) -> Option<u64> {
    let parsed: UsageReport = serde_json::from_slice(body).ok()?;
    parsed.usage.map(|usage| usage.total_tokens)
}
