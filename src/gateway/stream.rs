//! Forwards response bodies. A stream of events is forwarded event by event, from its first one on
//! (`stream::start`), and after a failure it is resumed at another engine where its route allows that
//! (`stream::resume`).

mod resume;
pub(super) mod start;

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Instant;

use bytes::{Bytes, BytesMut};
use futures_util::stream::unfold;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use slog::{info, warn};

use super::attempt::{Attempts, Origin};
use super::attempt_end::AttemptEnd;
use super::configuration::RouteKind;
use super::engine_pace::{Silent, Standing};
use super::engine_run::EngineRun;
use super::event_room::EventRoom;
use super::events::{EventError, EventSplitter};
use super::exchange::{BodyRead, ResponseError, UpstreamResponse};
use super::quarantine::crashes::Written;
use super::relay::{AdmittedRequest, ResponseAborted};
use super::request::SharedParts;
use super::response::CallerBody;
use super::stream_progress::StreamProgress;

use resume::Place;

/// Forwards a body that is not buffered whole; `begun` is what was read of it.
pub fn forward_plain(
    admitted: Arc<AdmittedRequest>,
    origin: Origin,
    response: UpstreamResponse,
    begun: [Bytes; 2],
) -> CallerBody {
    let begun = begun.into_iter().filter(|bytes| !bytes.is_empty());
    let body = PlainBody {
        begun: begun.collect(),
        admitted,
        origin,
        response,
    };
    streamed_body(Some(body), next_bytes)
}

fn streamed_body<S, F, R>(state: Option<S>, next: F) -> CallerBody
where
    S: Send + 'static,
    F: Fn(S) -> R + Send + Copy + 'static,
    R: Future<Output = Option<(Result<Bytes, ResponseAborted>, Option<S>)>> + Send + 'static,
{
    let frames = unfold(state, move |state| async move {
        let (bytes, state) = next(state?).await?;
        Some((bytes.map(Frame::data), state))
    });
    BodyExt::boxed_unsync(StreamBody::new(frames))
}

/// A body that is forwarded as it arrives.
#[derive(Debug)]
struct PlainBody {
    /// Read before the rest, and not forwarded yet.
    begun: VecDeque<Bytes>,
    admitted: Arc<AdmittedRequest>,
    origin: Origin,
    response: UpstreamResponse,
}

async fn next_bytes(
    mut body: PlainBody,
) -> Option<(Result<Bytes, ResponseAborted>, Option<PlainBody>)> {
    if let Some(bytes) = body.begun.pop_front() {
        return Some((Ok(bytes), Some(body)));
    }
    let read = tokio::select! {
        biased;
        read = body.response.read_in_time() => read,
        () = body.admitted.stop_ended() => {
            body.admitted.on_cut_by_stop(None);
            return Some((Err(ResponseAborted), None));
        }
    };
    match read {
        BodyRead::Bytes(bytes) => Some((Ok(bytes), Some(body))),
        BodyRead::End => {
            body.response.end_attempt(AttemptEnd::Answered);
            if body.response.is_framed() && body.response.meta.sealed {
                body.admitted.record_time(body.response.head.status);
                body.admitted.on_completed();
            }
            None
        }
        BodyRead::Failed(error) => {
            body.response.end_attempt(error.into());
            if error == ResponseError::Disconnected {
                let Origin { upstream, sent } = &body.origin;
                let engine = &upstream.registration;
                let parts = SharedParts::default();
                body.admitted
                    .on_engine_crash(engine, parts, Written::Events, *sent);
            }
            Some((Err(ResponseAborted), None))
        }
    }
}

async fn next_event(
    mut stream: Stream,
) -> Option<(Result<Bytes, ResponseAborted>, Option<Stream>)> {
    let first = std::mem::take(&mut stream.first);
    if !first.is_empty() {
        return Some((Ok(first.freeze()), Some(stream)));
    }
    let admitted = Arc::clone(&stream.admitted);
    let next = tokio::select! {
        biased;
        next = stream.next() => next,
        () = admitted.stop_ended() => {
            admitted.on_cut_by_stop(stream.events.last_id());
            Err(ResponseAborted)
        }
    };
    match next {
        Ok(Some(bytes)) => Some((Ok(bytes), Some(stream))),
        Ok(None) => None,
        Err(aborted) => Some((Err(aborted), None)),
    }
}

/// A stream of events that is being forwarded.
#[derive(Debug)]
struct Stream {
    admitted: Arc<AdmittedRequest>,
    origin: Origin,
    response: UpstreamResponse,
    attempts: Attempts,
    /// Comments and events of the engine that were read before the head was sent, and not forwarded
    /// yet.
    first: BytesMut,
    /// Whether the head was sent, so that no other answer can take the place of the stream.
    begun: bool,
    events: EventSplitter,
    room: EventRoom,
    progress: StreamProgress,
    /// The response of the engine that is being forwarded now.
    run: EngineRun,
    /// What follows the events that were returned last.
    next: Next,
    /// Why the last engine that was lost ended; absent while there was none.
    lost: Option<ResponseError>,
    /// Whether it was recorded that the stream stays at its engine in this silence.
    kept: bool,
}

/// What a stream does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Next {
    /// It reads from the engine.
    Read,
    /// It leaves the engine, whose next event is faulty.
    Leave,
    /// It is cut, as this VM has no room for the rest of an event.
    Cut,
    /// It ends as complete.
    End,
    /// The whole response of an engine takes the place of the stream, whose head was not sent.
    Replaced,
}

impl Stream {
    /// The next complete events; `None` at the end of the stream.
    async fn next(&mut self) -> Result<Option<Bytes>, ResponseAborted> {
        loop {
            match self.next {
                Next::Read => {}
                Next::Leave => {
                    self.next = Next::Read;
                    self.resume(ResponseError::Invalid).await?;
                    continue;
                }
                Next::Cut => return self.cut_for_room(),
                Next::Replaced => return Err(ResponseAborted),
                Next::End => {
                    self.on_end();
                    return Ok(None);
                }
            }
            let time_left = self.admitted.time_left();
            let max_wait = if self.movable() {
                self.progress.next_look(self.now()).min(time_left)
            } else {
                time_left
            };
            let read = self.response.read_next(max_wait).await;
            let silent = matches!(read, BodyRead::Failed(ResponseError::Silent));
            if silent && max_wait < time_left {
                if let Some(place) = self.leave_silent().await {
                    self.leave(place).await?;
                }
                continue;
            }
            // The request's time was lengthened during the wait.
            if silent && !self.admitted.time_left().is_zero() {
                continue;
            }
            let error = match read {
                BodyRead::Bytes(bytes) => match self.take(&bytes) {
                    Some(events) => return Ok(Some(events)),
                    None if self.next != Next::Read => continue,
                    None if !self.progress.stalled(self.now()) => continue,
                    None => ResponseError::Silent,
                },
                BodyRead::End if self.ends_complete() => {
                    self.next = Next::End;
                    let events = self.events.finish();
                    if events.is_empty() {
                        continue;
                    }
                    return Ok(Some(events));
                }
                BodyRead::End => self.response.early_end_error(),
                BodyRead::Failed(error) => error.at_deadline(),
            };
            self.resume(error).await?;
        }
    }

    /// Decides whether a silent engine is left; returns where the stream may go on then.
    async fn leave_silent(&mut self) -> Option<Place> {
        let now = self.now();
        let since = self.progress.silent_since();
        let present = self.admitted.gateway.lateness().present(since, now);
        let standing = self.standing(present);
        let longest = self.origin.upstream.health.pace().longest_silence(now);
        let left = self.progress.silence_left(standing, longest, present);
        let waits = !left.is_zero();
        let may_leave = !waits && !self.admitted.keeps_silent();
        if may_leave && self.can_resume_now() && self.admitted.has_retry() {
            let place = self.reserve().await;
            if place.is_some() {
                return place;
            }
        }
        self.on_kept(standing, now);
        if !waits {
            self.progress.tolerate_silence(self.now());
        }
        None
    }

    /// Records, once for each silence, that the stream stays at its engine.
    fn on_kept(&mut self, standing: Standing, now: Instant) {
        if self.kept {
            return;
        }
        self.kept = true;
        let gateway = &self.admitted.gateway;
        gateway.counters.silences_kept.inc();
        info!(gateway.log, "stream_kept"; "request" => %self.admitted.request.head.id,
            "upstream" => %self.origin.upstream.registration.id, "standing" => ?standing,
            "silent_ms" => self.progress.silence(now).as_millis() as u64);
    }

    /// What the silence of the engine may mean.
    fn standing(&self, now: Instant) -> Standing {
        let pace = self.origin.upstream.health.pace();
        let silent = Silent {
            sent: self.origin.sent,
            begun: self.run.written() == Written::Events,
            since: self.progress.silent_since(),
        };
        pace.standing(silent, now)
    }

    /// Takes bytes of the engine; returns the events that they let forward, if there are any.
    fn take(&mut self, bytes: &[u8]) -> Option<Bytes> {
        let completed = self.events.push(bytes);
        if completed.any {
            self.record_event();
        }
        let fits = self
            .room
            .fit(&self.admitted.connection.slot, self.events.held_bytes());
        if let Some(fault) = completed.fault {
            self.on_fault(fault);
        } else if !fits {
            self.next = Next::Cut;
        }
        (!completed.events.is_empty()).then_some(completed.events)
    }

    /// Ends the stream early, since this VM has no room for it. That says nothing of its engine, and
    /// there would be no more room with another one.
    fn cut_for_room(&self) -> Result<Option<Bytes>, ResponseAborted> {
        warn!(self.admitted.gateway.log, "stream_without_room";
            "request" => %self.admitted.request.head.id, "event" => self.events.last_id(),
            "held" => self.events.held_bytes());
        self.admitted.connection.set_closes_after_response();
        Err(ResponseAborted)
    }

    /// Leaves the engine once the events before the faulty one are forwarded.
    fn on_fault(&mut self, fault: EventError) {
        let gateway = &self.admitted.gateway;
        gateway.counters.event_faults.inc();
        warn!(gateway.log, "event_faulty"; "request" => %self.admitted.request.head.id,
            "upstream" => %self.origin.upstream.registration.id, "why" => %fault,
            "event" => self.events.last_id());
        self.next = Next::Leave;
    }

    /// Records a complete event, and reports a stream that comes late as demand for its model.
    fn record_event(&mut self) {
        let now = self.now();
        let silence = self.progress.gap(now);
        let mut pace = self.origin.upstream.health.pace();
        pace.on_event(self.origin.sent, silence, now);
        drop(pace);
        self.kept = false;
        self.run.on_event(now);
        if !self.run.is_early(now) {
            self.prove();
        }
        let target = &self.admitted.request.head.target;
        if self.progress.on_event(now)
            && let Some(target) = target
        {
            self.admitted.gateway.demand().on_late(target, now);
        }
    }

    /// Whether the stream may be complete where its body has ended.
    ///
    /// A body that ends with its connection may have been broken off; inside an event, or before
    /// the first one, it was.
    fn ends_complete(&self) -> bool {
        let begun = self.response.is_framed() || self.run.written() == Written::Events;
        begun && self.events.at_boundary()
    }

    /// Records the end of the stream.
    fn on_end(&mut self) {
        self.response.end_attempt(AttemptEnd::Answered);
        if self.response.is_framed() {
            self.prove();
            self.admitted.record_time(self.response.head.status);
            self.admitted.on_completed();
        }
    }

    /// Records that the response has shown the parts of the prompt to crash no engine.
    fn prove(&mut self) {
        if self.attempts.proven {
            return;
        }
        self.attempts.proven = true;
        self.admitted.on_sound_parts();
    }

    /// Records that the engine broke off the response.
    fn on_disconnected(&self) {
        let mut parts = SharedParts::default();
        if !self.attempts.proven && self.run.is_early(self.now()) {
            self.admitted.gateway.counters.early_breaks.inc();
            parts = self.admitted.request.head.shared_parts();
        }
        let engine = &self.origin.upstream.registration;
        let written = self.run.written();
        self.admitted
            .on_engine_crash(engine, parts, written, self.origin.sent);
    }

    /// The shared parts of the prompt; none where the response has shown them to be sound.
    fn unproven_parts(&self) -> SharedParts<'_> {
        if self.attempts.proven {
            return SharedParts::default();
        }
        self.admitted.request.head.shared_parts()
    }

    /// Whether the request may have crashed the engine, so that it is resumed at no other one.
    fn is_suspect(&self) -> bool {
        let unwritten = self.run.written() == Written::Nothing;
        let new_part = unwritten && !self.attempts.proven && self.admitted.has_new_part();
        new_part || self.admitted.stops_retries()
    }

    fn now(&self) -> Instant {
        self.admitted.gateway.clock.now()
    }

    /// Whether the route allows another attempt to resume the stream.
    fn resumable(&self) -> bool {
        self.resumes() && self.attempts.sent < self.admitted.route.attempts
    }

    /// Whether streams of the route may be resumed.
    fn resumes(&self) -> bool {
        matches!(
            self.admitted.route.kind,
            RouteKind::Streaming {
                resumable: true,
                ..
            }
        )
    }

    /// Whether an engine can go on with the stream once this one has failed.
    fn may_go_on(&self) -> bool {
        let most = self.admitted.route.attempts;
        self.resumes() && self.attempts.may_go_on(most) && self.events.is_certain()
    }

    /// Whether another attempt can resume the stream, as it is certain after which event.
    fn movable(&self) -> bool {
        self.resumable() && self.events.is_certain()
    }
}
