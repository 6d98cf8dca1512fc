//! What a caller's connection is doing, from the first byte of a request to the last one of its
//! response.
//!
//! The HTTP library drops the body of a response once it has taken the last bytes, which may still
//! wait in its buffer. It flushes the stream when the buffer is empty: a request counts as in
//! progress until then (`CallerStream`).
//!
//! A caller that shuts down its sending side looks like one that has left. A request that runs at
//! most once goes on, as its caller may wait for the response; it is sent only if the end came just
//! before. Any other request is cancelled, as an upstream must not work for a caller that has left.

use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Waker, ready};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, SizeHint};

use crate::clock::Clock;
use crate::edge::RequestGuard;
use crate::ids::RequestId;

use super::caller_limit::CallerSlot;
use super::framing::RawHead;
use super::relay::ResponseAborted;
use super::request_time::RequestTime;
use super::response::CallerBody;
use super::unanswered::{UnansweredRequest, UnansweredStage};

/// Longest time after the end of a caller's sending side in which its request is still sent to an
/// upstream.
const END_GRACE: Duration = Duration::from_millis(250);

/// The state of a caller's connection.
#[derive(Debug)]
pub struct CallerConnection {
    /// Its place among all callers.
    pub slot: CallerSlot,
    clock: Arc<dyn Clock>,
    raw_head: RawHead,
    /// Whether the caller takes nothing of what is to be written.
    is_blocked: AtomicBool,
    /// Whether the body of the response has not ended, and its end is that of the connection.
    close_delimited: AtomicBool,
    /// Whether each read asks the kernel, as the connection is about to be closed as idle.
    final_read: AtomicBool,
    /// Whether the connection ends with the response, as this VM has no room.
    closes_after: AtomicBool,
    progress: Mutex<Progress>,
}

/// How far the last request of a connection has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// There was none, or its response is written.
    Done,
    /// It has no response yet.
    Running,
    /// The HTTP library has not taken the whole response.
    Responding,
    /// It has, and may still have to write some of it.
    Taken,
}

#[derive(Debug)]
struct Progress {
    /// Requests that have arrived so far.
    arrived: usize,
    stage: Stage,
    /// Id of the last request, if its head was decoded.
    id: Option<RequestId>,
    /// The time of the last request; absent until it is admitted.
    time: Option<Arc<RequestTime>>,
    /// When the last request arrived, or the connection was opened.
    begun: Instant,
    /// Whether the body of the last request was not read to its end.
    unread: bool,
    /// When the last request ended, or the connection was opened.
    idle_since: Instant,
    /// Since when the caller takes nothing.
    blocked_since: Option<Instant>,
    /// Counts the request as in progress for the shutdown.
    guard: Option<RequestGuard>,
    /// Length of the body that the head of the request declares, in bytes.
    declared: Option<u64>,
    /// Whether the request goes on after the end of the caller's sending side.
    outlives_end: bool,
    /// When the caller ended its sending side; absent if it was not yet kept from the HTTP library.
    ended: Option<Instant>,
    /// Wakes the connection to see that end.
    reader: Option<Waker>,
    /// Wakes a body that has failed, once all that was taken of it is written; absent before a failure
    /// and after that.
    failed_body: Option<Waker>,
}

impl Progress {
    fn wake_reader(&mut self) {
        if let Some(reader) = self.reader.take() {
            reader.wake();
        }
    }
}

impl CallerConnection {
    /// Makes the state of a connection that was just accepted.
    pub fn open(slot: CallerSlot, clock: Arc<dyn Clock>, raw_head: RawHead) -> Arc<Self> {
        let progress = Progress {
            arrived: 0,
            stage: Stage::Done,
            id: None,
            time: None,
            begun: clock.now(),
            unread: false,
            idle_since: clock.now(),
            blocked_since: None,
            guard: None,
            declared: None,
            outlives_end: false,
            ended: None,
            reader: None,
            failed_body: None,
        };
        Arc::new(Self {
            slot,
            clock,
            raw_head,
            is_blocked: AtomicBool::new(false),
            close_delimited: AtomicBool::new(false),
            final_read: AtomicBool::new(false),
            closes_after: AtomicBool::new(false),
            progress: Mutex::new(progress),
        })
    }

    /// Notes that the head of a request has arrived, which declares a body of length `declared`.
    /// `unread` is whether it has a body.
    pub fn begin_request(&self, declared: Option<u64>, unread: bool) {
        self.final_read.store(false, Ordering::Relaxed);
        let mut progress = self.lock();
        progress.arrived += 1;
        progress.stage = Stage::Running;
        progress.id = None;
        progress.time = None;
        progress.begun = self.clock.now();
        progress.unread = unread;
        progress.declared = declared;
        progress.outlives_end = true;
    }

    /// Has each read ask the kernel until the next request arrives, as the connection is about to be
    /// closed as idle. Returns false if it was called before since the last request.
    pub fn begin_final_read(&self) -> bool {
        !self.final_read.swap(true, Ordering::Relaxed)
    }

    /// Whether each read asks the kernel.
    pub(super) fn in_final_read(&self) -> bool {
        self.final_read.load(Ordering::Relaxed)
    }

    /// Has the connection end with the response, so that it takes no room while this VM has none.
    pub fn set_closes_after_response(&self) {
        self.closes_after.store(true, Ordering::Relaxed);
    }

    /// Whether the connection ends with the response, as this VM has no room.
    pub fn closes_after_response(&self) -> bool {
        self.closes_after.load(Ordering::Relaxed)
    }

    /// Notes the id of the request.
    pub fn set_request(&self, id: &RequestId) {
        self.lock().id = Some(id.clone());
    }

    /// Notes the time of the request, which is admitted.
    pub fn set_time(&self, time: Arc<RequestTime>) {
        self.lock().time = Some(time);
    }

    /// The request that has no complete answer now, if there is one.
    pub fn unanswered(&self) -> Option<UnansweredRequest> {
        let progress = self.lock();
        let stage = match progress.stage {
            // Behind a request whose body was not read, this is the rest of that body and no head.
            Stage::Done if self.raw_head.is_partial() && !progress.unread => {
                return Some(UnansweredRequest {
                    stage: UnansweredStage::Head,
                    id: None,
                    spent: None,
                    time: None,
                });
            }
            Stage::Done => return None,
            Stage::Running if progress.unread => UnansweredStage::Body,
            Stage::Running => UnansweredStage::Running,
            Stage::Responding | Stage::Taken => UnansweredStage::Response,
        };
        let spent = self.clock.now().saturating_duration_since(progress.begun);
        Some(UnansweredRequest {
            stage,
            id: progress.id.clone(),
            spent: Some(spent),
            time: progress.time.clone(),
        })
    }

    /// Sets whether the request goes on after the end of the caller's sending side; it does until
    /// this is known.
    pub fn set_outlives_end(&self, outlives: bool) {
        let mut progress = self.lock();
        progress.outlives_end = outlives;
        if !outlives {
            progress.wake_reader();
        }
    }

    /// Whether the caller has ended its sending side so long ago that its request must not be sent
    /// to an upstream any more.
    pub fn ended_too_early(&self) -> bool {
        let ended = self.lock().ended;
        ended.is_some_and(|at| self.clock.now().saturating_duration_since(at) > END_GRACE)
    }

    /// Keeps the guard of the request until the last byte of its response is written.
    pub fn keep_guard(&self, guard: RequestGuard) {
        self.lock().guard = Some(guard);
    }

    /// Notes whether the body of the request was not read to its end.
    pub fn set_unread(&self, unread: bool) {
        self.lock().unread = unread;
    }

    /// Whether the body of the last request was not read to its end.
    pub fn is_unread(&self) -> bool {
        self.lock().unread
    }

    /// Makes the request last until this body is written.
    pub fn watch_body(self: &Arc<Self>, body: CallerBody) -> CallerBody {
        self.slot.begin_response();
        self.lock().stage = Stage::Responding;
        let body = WatchedBody {
            body,
            connection: Arc::clone(self),
            failure: None,
        };
        body.boxed_unsync()
    }

    /// Makes the end of the connection the end of the response, of which nothing is written yet.
    pub fn set_close_delimited(&self) {
        self.close_delimited.store(true, Ordering::Relaxed);
    }

    /// Whether a close now would cut the response: its end is that of the connection, and its body has
    /// not ended.
    pub(super) fn is_cut_by_close(&self) -> bool {
        self.close_delimited.load(Ordering::Relaxed)
    }

    /// Whether a request has arrived so far.
    pub fn has_served(&self) -> bool {
        self.lock().arrived > 0
    }

    /// When the last request arrived, or the connection was opened.
    pub fn last_request(&self) -> Instant {
        self.lock().begun
    }

    /// Since when there is no request in progress; `None` if there is one.
    pub fn idle_since(&self) -> Option<Instant> {
        let progress = self.lock();
        (progress.stage == Stage::Done).then_some(progress.idle_since)
    }

    /// Since when the caller takes nothing of a response; `None` if it does, or there is none.
    pub fn blocked_since(&self) -> Option<Instant> {
        self.lock().blocked_since
    }

    /// Ends the request if its response was taken whole, and lets a failure of its body end it; all
    /// bytes taken so far are written.
    pub(super) fn on_flushed(&self) {
        let mut progress = self.lock();
        if let Some(body) = progress.failed_body.take() {
            body.wake();
        }
        if progress.stage != Stage::Taken {
            return;
        }
        progress.stage = Stage::Done;
        progress.idle_since = self.clock.now();
        let guard = progress.guard.take();
        progress.wake_reader();
        drop(progress);
        self.slot.end();
        drop(guard);
    }

    /// Whether the end of the caller's sending side is kept from the HTTP library, which would
    /// cancel the request.
    pub(super) fn keeps_end(&self, cx: &Context<'_>) -> bool {
        let mut progress = self.lock();
        let whole = !progress.unread || progress.declared == Some(self.raw_head.body_bytes());
        let keeps = progress.stage != Stage::Done && progress.outlives_end && whole;
        if keeps {
            progress.ended.get_or_insert(self.clock.now());
            progress.reader = Some(cx.waker().clone());
        }
        keeps
    }

    /// Notes whether the caller takes what is written; `pending` is whether a write has to wait.
    pub(super) fn on_write(&self, pending: bool) {
        if self.is_blocked.swap(pending, Ordering::Relaxed) == pending {
            return;
        }
        let since = pending.then(|| self.clock.now());
        self.lock().blocked_since = since;
        self.slot.set_blocked(since);
    }

    fn lock(&self) -> MutexGuard<'_, Progress> {
        self.progress.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A body that tells its connection when the HTTP library has taken it whole.
///
/// The HTTP library drops what it has not written when a body fails. A failure is therefore held
/// back until the head and all of the body that came before are written.
#[derive(Debug)]
struct WatchedBody {
    body: CallerBody,
    connection: Arc<CallerConnection>,
    /// The failure that is held back.
    failure: Option<ResponseAborted>,
}

impl WatchedBody {
    /// Whether the connection has written all that was taken since the failure.
    fn poll_written(&self, cx: &Context<'_>) -> Poll<()> {
        let mut progress = self.connection.lock();
        match &mut progress.failed_body {
            Some(waker) => {
                waker.clone_from(cx.waker());
                Poll::Pending
            }
            None => Poll::Ready(()),
        }
    }
}

impl Body for WatchedBody {
    type Data = Bytes;
    type Error = ResponseAborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ResponseAborted>>> {
        if let Some(failure) = self.failure {
            ready!(self.poll_written(cx));
            return Poll::Ready(Some(Err(failure)));
        }
        let frame = ready!(Pin::new(&mut self.body).poll_frame(cx));
        if let Some(Err(failure)) = frame {
            self.failure = Some(failure);
            // A body that waits lets the HTTP library write what it has.
            self.connection.lock().failed_body = Some(cx.waker().clone());
            return Poll::Pending;
        }
        if frame.is_none() || self.body.is_end_stream() {
            let delimited = &self.connection.close_delimited;
            delimited.store(false, Ordering::Relaxed);
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for WatchedBody {
    fn drop(&mut self) {
        self.connection.lock().stage = Stage::Taken;
    }
}
