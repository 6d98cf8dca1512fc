//! Forwards response bodies. A stream of events is forwarded event by event, and after a failure
//! it is resumed at another engine where its route allows that.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use futures_util::stream::unfold;
use http::Response;
use http::header::CONTENT_LENGTH;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use slog::{info, warn};

use super::attempt::{Attempts, Origin};
use super::configuration::RouteKind;
use super::engine_run::EngineRun;
use super::events::EventSplitter;
use super::exchange::{BodyRead, ResponseError, SendOutcome, UpstreamResponse};
use super::model_wait::give_up_time;
use super::quarantine::crashes::Written;
use super::relay::{AdmittedRequest, ResponseAborted};
use super::request::SharedParts;
use super::response::CallerBody;
use super::stream_progress::StreamProgress;

/// Forwards a response that streams events.
pub fn forward(
    admitted: Arc<AdmittedRequest>,
    origin: Origin,
    response: UpstreamResponse,
    attempts: Attempts,
) -> Response<CallerBody> {
    let status = response.head.status;
    let mut headers = admitted.gateway.dialect.response_headers(&response.head);
    // Another engine that resumes the stream may send a different number of bytes.
    headers.remove(CONTENT_LENGTH);
    let events = EventSplitter::resume_after(admitted.request.head.last_event);
    let give_up = give_up_time(&admitted.route);
    let gap = match admitted.route.kind {
        RouteKind::Streaming { gap, .. } => gap,
        RouteKind::Idempotent | RouteKind::Mutating => give_up,
    };
    let started = admitted.gateway.clock.now();
    let stream = Stream {
        admitted,
        origin,
        response,
        attempts,
        events,
        progress: StreamProgress::open(give_up, gap, started),
        run: EngineRun::open(started),
    };
    let mut response = Response::new(streamed_body(Some(stream), next_event));
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

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
    let time_left = body.admitted.time_left();
    match body.response.read_next(time_left).await {
        BodyRead::Bytes(bytes) => Some((Ok(bytes), Some(body))),
        BodyRead::End => {
            if body.response.is_framed() && body.response.meta.sealed {
                body.admitted.on_completed();
            }
            None
        }
        BodyRead::Failed(error) => {
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
    match stream.next().await {
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
    events: EventSplitter,
    progress: StreamProgress,
    /// The response of the engine that is being forwarded now.
    run: EngineRun,
}

impl Stream {
    /// The next complete events; `None` at the end of the stream.
    async fn next(&mut self) -> Result<Option<Bytes>, ResponseAborted> {
        loop {
            let time_left = self.admitted.time_left();
            let max_wait = if self.resumable() {
                self.progress.silence_left(self.now()).min(time_left)
            } else {
                time_left
            };
            let read = self.response.read_next(max_wait).await;
            // While no other engine could resume the stream, silence is tolerated until the
            // deadline.
            if matches!(read, BodyRead::Failed(ResponseError::Silent))
                && max_wait < time_left
                && !self.can_resume_now()
            {
                self.progress.tolerate_silence(self.now());
                continue;
            }
            let error = match read {
                BodyRead::Bytes(bytes) => match self.events.push(&bytes) {
                    Ok(events) if events.is_empty() => {
                        if !self.progress.stalled(self.now()) {
                            continue;
                        }
                        ResponseError::Silent
                    }
                    Ok(events) => {
                        self.record_event();
                        return Ok(Some(events));
                    }
                    Err(_fault) => ResponseError::Invalid,
                },
                BodyRead::End if self.ends_complete() => {
                    self.on_end();
                    return Ok(None);
                }
                BodyRead::End => ResponseError::Disconnected,
                BodyRead::Failed(error) => error,
            };
            self.resume(error).await?;
            self.progress.on_resumed(self.now());
        }
    }

    /// Records a complete event, and reports a stream that comes late as demand for its model.
    fn record_event(&mut self) {
        let now = self.now();
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
        if self.response.is_framed() {
            self.prove();
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
        let resumes = matches!(
            self.admitted.route.kind,
            RouteKind::Streaming {
                resumable: true,
                ..
            }
        );
        resumes && self.attempts.sent < self.admitted.route.attempts
    }

    /// Whether another engine could resume the stream now.
    fn can_resume_now(&self) -> bool {
        let mut tried = self.attempts.tried.clone();
        tried.insert(self.origin.upstream.registration.id.clone());
        self.admitted.has_alternative(&tried)
    }

    /// Resumes the stream at another engine after the last complete event.
    async fn resume(&mut self, error: ResponseError) -> Result<(), ResponseAborted> {
        let admitted = Arc::clone(&self.admitted);
        let gateway = &admitted.gateway;
        let id = &admitted.request.head.id;
        let parts = admitted.request.head.shared_parts();
        let now = gateway.clock.now();
        warn!(gateway.log, "stream_lost"; "request" => %id, "why" => %error,
            "upstream" => %self.origin.upstream.registration.id, "event" => self.events.last_id,
            "left_ms" => admitted.time_left().as_millis() as u64, "parts" => %parts,
            "digest" => %admitted.digest, "answered_ms" => self.run.age(now).as_millis() as u64,
            "written" => ?self.run.written());
        if error == ResponseError::Disconnected {
            self.on_disconnected();
        }
        let suspect = error == ResponseError::Disconnected && self.is_suspect();
        self.origin.upstream.health.on_failure(gateway.clock.now());
        self.events.discard_partial();
        while !suspect && self.resumable() && !admitted.time_left().is_zero() {
            let trusted = admitted.account.is_none() || gateway.keys_trusted();
            let Ok(permit) = admitted.reserve_upstream(&self.attempts.tried).await else {
                break;
            };
            let upstream = permit.upstream().clone();
            if !trusted {
                break;
            }
            let Ok(clearance) = admitted.clear_to_send() else {
                break;
            };
            if !gateway.try_retry(&admitted.service) {
                break;
            }
            self.attempts.tried.insert(upstream.registration.id.clone());
            let after = self.events.last_id;
            let sent = gateway.clock.now();
            match admitted.send(permit, clearance, after, false).await {
                SendOutcome::Responded(response) if response.head.status.is_success() => {
                    info!(gateway.log, "stream_resumed"; "request" => %id,
                        "upstream" => %upstream.registration.id, "event" => self.events.last_id);
                    self.attempts.sent += 1;
                    admitted.release_body(self.attempts.sent);
                    self.response = *response;
                    self.run = EngineRun::open(gateway.clock.now());
                    self.origin = Origin { upstream, sent };
                    return Ok(());
                }
                SendOutcome::NotSent(_) => upstream.health.on_failure(gateway.clock.now()),
                SendOutcome::NotRun(reason) => {
                    self.attempts.sent += 1;
                    admitted.on_declined(&upstream, reason);
                }
                SendOutcome::Unknown(ResponseError::Disconnected) => {
                    self.attempts.sent += 1;
                    let parts = self.unproven_parts();
                    let engine = &upstream.registration;
                    admitted.on_engine_crash(engine, parts, Written::NoHead, sent);
                    upstream.health.on_failure(gateway.clock.now());
                    if admitted.stops_retries() {
                        break;
                    }
                }
                SendOutcome::Responded(_) | SendOutcome::Unknown(_) => {
                    self.attempts.sent += 1;
                    upstream.health.on_failure(gateway.clock.now());
                }
            }
        }
        warn!(gateway.log, "stream_cut"; "request" => %id, "event" => self.events.last_id,
            "resumable" => self.resumable(), "suspect" => suspect, "sent" => self.attempts.sent,
            "left_ms" => admitted.time_left().as_millis() as u64);
        Err(ResponseAborted)
    }
}
