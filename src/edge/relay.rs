//! Relaying of streamed answers.
//!
//! The response's own body polls the upstream's, so that a chunk costs no task switch and a slow
//! reader holds what the kernel and the HTTP library buffer, and nobody else. One [`StreamMonitor`] a VM
//! looks at every stream, however slowly its caller reads: a withdrawn key or a passed deadline
//! ends the upstream's work and frees its slot at once. A stream that did not end with its end
//! mark ends with a visible error event.

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

/// A chunk on its way to a caller.
pub type Chunk = Result<Frame<Bytes>, BoxError>;

const END_MARK: &[u8] = b"data: [DONE]";
const EVENT_MARK: &[u8] = b"data: ";
const USAGE_MARK: &[u8] = b"\"usage\":";
const SWEEP: Duration = Duration::from_millis(250);

/// What a relay needs to know of its request.
#[derive(Debug)]
pub struct Request {
    /// Whose key it was.
    pub principal: Principal,
    /// Its id.
    pub id: RequestId,
    /// Unique id within the gateway.
    pub internal_id: RequestId,
    /// When it must be over.
    pub deadline: Instant,
    /// Estimated prompt.
    pub prompt: Tokens,
}

/// A stream under way, shared by its response and the watch.
#[derive(Debug)]
struct Shared {
    request: Request,
    state: Mutex<State>,
}

struct State {
    /// The upstream's answer and what the request holds; gone once either ended.
    flow: Option<(BoxStream<'static, Result<Bytes, Refusal>>, CompletionGuards)>,
    scan: EventScan,
    /// The error event that is still to be sent.
    last: Option<Bytes>,
    waker: Option<Waker>,
}

impl fmt::Debug for State {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("State")
            .field("running", &self.flow.is_some())
            .finish_non_exhaustive()
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Ends the upstream's work, settles, and leaves the error for the caller.
    fn end(&self, state: &mut State, failure: Option<&Refusal>) {
        let Some((body, mut held)) = state.flow.take() else {
            return;
        };
        drop(body);
        held.cost.used = state.scan.used(self.request.prompt);
        state.last = failure.map(|refusal| error_event(refusal, &self.request.id));
        if let Some(waker) = state.waker.take() {
            waker.wake();
        }
    }

    /// Ends the stream if its key or its time is over.
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

    fn poll(&self, cx: &mut Context<'_>) -> Poll<Option<Chunk>> {
        let mut guard = self.lock();
        let state = &mut *guard;
        let Some((body, _)) = &mut state.flow else {
            return Poll::Ready(state.last.take().map(|event| Ok(Frame::data(event))));
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
                state.scan.feed(&chunk);
                return Poll::Ready(Some(Ok(Frame::data(chunk))));
            }
            Poll::Ready(Some(Err(refusal))) => Some(Refusal {
                ran: Ran::Yes,
                ..refusal
            }),
            Poll::Ready(None) if state.scan.done() => None,
            Poll::Ready(None) => Some(Refusal::ran(Reason::UpstreamFailed)),
        };
        self.end(state, failure.as_ref());
        Poll::Ready(state.last.take().map(|event| Ok(Frame::data(event))))
    }
}

fn error_event(refusal: &Refusal, request: &RequestId) -> Bytes {
    let answer = error_body(refusal, Some(request));
    let json = serde_json::to_string(&answer).unwrap_or_default();
    Bytes::from(format!("\nevent: error\ndata: {json}\n\n"))
}

/// The body of a streamed response.
#[derive(Debug)]
pub struct Relay(Arc<Shared>);

impl Stream for Relay {
    type Item = Chunk;

    fn poll_next(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Chunk>> {
        self.0.poll(cx)
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.0.end(&mut self.0.lock(), None);
    }
}

/// Looks at every running stream; ends when dropped.
#[derive(Debug)]
pub struct StreamMonitor {
    streams: Arc<Mutex<BTreeMap<RequestId, Weak<Shared>>>>,
    task: JoinHandle<()>,
}

impl StreamMonitor {
    /// Starts to look, at each new configuration and in between.
    pub fn spawn(active_config: &ActiveConfig, clock: Arc<dyn Clock>) -> Self {
        let streams: Arc<Mutex<BTreeMap<RequestId, Weak<Shared>>>> = Arc::default();
        let watched = Arc::clone(&streams);
        let mut news = active_config.subscribe();
        let task = tokio::spawn(async move {
            loop {
                let changed = tokio::time::timeout(SWEEP, news.changed()).await;
                if matches!(changed, Ok(Err(_))) {
                    return;
                }
                for stream in live(&watched) {
                    stream.check(clock.now());
                }
            }
        });
        Self { streams, task }
    }

    /// Relays an answer under this watch.
    pub(super) fn relay(
        &self,
        request: Request,
        body: BoxStream<'static, Result<Bytes, Refusal>>,
        held: CompletionGuards,
    ) -> Relay {
        let id = request.internal_id.clone();
        let state = State {
            flow: Some((body, held)),
            scan: EventScan::default(),
            last: None,
            waker: None,
        };
        let shared = Arc::new(Shared {
            request,
            state: Mutex::new(state),
        });
        let mut streams = self.streams.lock().unwrap_or_else(PoisonError::into_inner);
        streams.insert(id, Arc::downgrade(&shared));
        Relay(shared)
    }
}

impl Drop for StreamMonitor {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// The streams that still run; forgets the others.
fn live(streams: &Mutex<BTreeMap<RequestId, Weak<Shared>>>) -> Vec<Arc<Shared>> {
    let mut streams = streams.lock().unwrap_or_else(PoisonError::into_inner);
    let mut found = Vec::with_capacity(streams.len());
    streams.retain(|_, stream| {
        let running = stream.upgrade();
        let kept = running.is_some();
        found.extend(running);
        kept
    });
    found
}

/// Follows a stream of server-sent events: counts them and looks for the end mark.
#[derive(Debug, Default)]
pub struct EventScan {
    tail: BytesMut,
    events: u64,
    usage: Option<u64>,
    done: bool,
}

#[derive(Deserialize)]
struct WithUsage {
    usage: Option<Usage>,
}

#[derive(Deserialize)]
struct Usage {
    total_tokens: u64,
}

impl EventScan {
    /// Looks at one chunk.
    pub fn feed(&mut self, chunk: &[u8]) {
        let mut rest = chunk;
        while let Some(at) = rest.iter().position(|&b| b == b'\n') {
            let (line, after) = rest.split_at(at);
            rest = &after[1..];
            if self.tail.is_empty() {
                self.feed_line(line.trim_ascii_end());
                continue;
            }
            self.tail.extend_from_slice(line);
            let whole = self.tail.split();
            self.feed_line(whole.trim_ascii_end());
        }
        self.tail.extend_from_slice(rest);
        if self.tail.starts_with(END_MARK) {
            self.done = true;
        }
    }

    fn feed_line(&mut self, line: &[u8]) {
        if line == END_MARK {
            self.done = true;
            return;
        }
        let Some(data) = line.strip_prefix(EVENT_MARK) else {
            return;
        };
        self.events += 1;
        // Only a line that names its usage is worth parsing.
        if data.windows(USAGE_MARK.len()).any(|w| w == USAGE_MARK) {
            self.usage = total_tokens(data).or(self.usage);
        }
    }

    /// Whether the end mark was seen.
    pub fn done(&self) -> bool {
        self.done
    }

    /// Tokens used, as the upstream says or else one an event beside the prompt.
    pub fn used(&self, prompt: Tokens) -> Tokens {
        self.usage.map_or(prompt + Tokens(self.events), Tokens)
    }
}

/// Tokens used by a whole answer, where it says so.
pub fn total_tokens(body: &[u8]) -> Option<u64> {
    let parsed: WithUsage = serde_json::from_slice(body).ok()?;
    parsed.usage.map(|usage| usage.total_tokens)
}
