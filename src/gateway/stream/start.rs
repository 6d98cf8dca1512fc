//! Starts to forward a stream of events.
//!
//! The head of the response goes to the caller together with the first event. Until that is there,
//! the stream can still begin at another engine, with that one's head, or the request is refused as
//! a whole. Comments in front of the first event are held until then.

use std::sync::Arc;

use bytes::BytesMut;
use http::header::{CONTENT_LENGTH, CONTENT_TYPE};
use http::{Method, Response, StatusCode};

use super::{Next, Stream, next_event, streamed_body};
use crate::gateway::attempt::{Attempts, Origin};
use crate::gateway::configuration::RouteKind;
use crate::gateway::engine_run::EngineRun;
use crate::gateway::event_room::EventRoom;
use crate::gateway::events::EventSplitter;
use crate::gateway::exchange::UpstreamResponse;
use crate::gateway::model_wait::give_up_time;
use crate::gateway::relay::{AdmittedRequest, CAPACITY_RETRY, ResponseAborted};
use crate::gateway::response::{self, CallerBody};
use crate::gateway::stream_progress::StreamProgress;
use crate::outcome::{Reason, Refusal};

/// Media type of a stream of events.
const EVENT_STREAM: &[u8] = b"text/event-stream";
/// Most bytes of comments that are held in front of the first event; with more, the response begins.
const MAX_COMMENT_BYTES: usize = 4 << 10;

/// What came of a stream before its head was sent.
#[derive(Debug)]
pub enum Started {
    /// The response of the stream.
    Stream(Response<CallerBody>),
    /// The response of this upstream, which is no stream, takes its place.
    Plain(Origin, Box<UpstreamResponse>),
}

impl AdmittedRequest {
    /// Whether the response is a stream of events. On a streaming route it is unless it names
    /// another type or, as one to HEAD, has no body.
    pub(in crate::gateway) fn is_stream(&self, response: &UpstreamResponse) -> bool {
        let head = &response.head;
        let media_type = head.headers.get(CONTENT_TYPE);
        matches!(self.route.kind, RouteKind::Streaming { .. })
            && self.request.head.method != Method::HEAD
            && head.status == StatusCode::OK
            && media_type.is_none_or(|value| names_events(value.as_bytes()))
    }

    /// Forwards a stream of events, from its first events on.
    ///
    /// # Errors
    ///
    /// A refusal where there are none, at this engine or another one.
    pub(in crate::gateway) async fn start_stream(
        self: &Arc<Self>,
        origin: Origin,
        response: UpstreamResponse,
        attempts: &mut Attempts,
    ) -> Result<Started, Refusal> {
        let mut stream = Stream::open(self, origin, response, attempts.for_stream());
        match stream.read_first().await {
            Ok(ended) => {
                // A head alone shows nothing: an engine may end each stream right after it.
                stream.origin.upstream.health.on_success();
                Ok(Started::Stream(stream.respond(ended)))
            }
            Err(ResponseAborted) if stream.next == Next::Replaced => {
                attempts.take_over(stream.attempts);
                Ok(Started::Plain(stream.origin, Box::new(stream.response)))
            }
            Err(ResponseAborted) => {
                let given_up = attempts.give_up(stream.end_reason(), CAPACITY_RETRY);
                given_up.map(Started::Stream)
            }
        }
    }
}

impl Stream {
    fn open(
        admitted: &Arc<AdmittedRequest>,
        origin: Origin,
        response: UpstreamResponse,
        attempts: Attempts,
    ) -> Self {
        let give_up = give_up_time(&admitted.route).unwrap_or(admitted.route.timeout);
        let gap = match admitted.route.kind {
            RouteKind::Streaming { gap, .. } => gap,
            RouteKind::Idempotent | RouteKind::Mutating => give_up,
        };
        let events = match admitted.route.kind {
            RouteKind::Streaming {
                resumable: true, ..
            } => EventSplitter::resume_after(admitted.request.head.last_event),
            _ => EventSplitter::unresumable(),
        };
        let started = admitted.gateway.clock.now();
        Self {
            admitted: Arc::clone(admitted),
            origin,
            response,
            attempts,
            first: BytesMut::new(),
            begun: false,
            events,
            room: EventRoom::default(),
            progress: StreamProgress::open(give_up, gap, started),
            run: EngineRun::open(started),
            next: Next::Read,
            lost: None,
            kept: false,
        }
    }

    /// Reads up to the first event, with the comments of its engine in front of it. Returns whether
    /// the stream has ended.
    async fn read_first(&mut self) -> Result<bool, ResponseAborted> {
        while let Some(bytes) = self.next().await? {
            self.first.extend_from_slice(&bytes);
            let holds = self.events.is_fresh() && self.next != Next::End;
            if !holds || self.first.len() > MAX_COMMENT_BYTES {
                return Ok(false);
            }
        }
        Ok(true)
    }

    /// The response that begins with what was read first; that is all of it if the stream has ended.
    fn respond(mut self, ended: bool) -> Response<CallerBody> {
        self.begun = true;
        let head = &self.response.head;
        let status = head.status;
        let mut headers = self.admitted.gateway.dialect.response_headers(head);
        // Another engine that resumes the stream may send a different number of bytes.
        headers.remove(CONTENT_LENGTH);
        let body = if ended {
            response::complete_body(self.first.split().freeze())
        } else {
            streamed_body(Some(self), next_event)
        };
        let mut response = Response::new(body);
        *response.status_mut() = status;
        *response.headers_mut() = headers;
        response
    }

    /// Why the stream has ended before its first event.
    fn end_reason(&self) -> Reason {
        if self.next == Next::Cut {
            return Reason::Capacity;
        }
        match self.lost {
            Some(error) => self.admitted.failure_reason(error),
            None => Reason::UpstreamFailed,
        }
    }
}

/// Whether a media type, with or without parameters, is that of a stream of events.
fn names_events(value: &[u8]) -> bool {
    let essence = value.split(|byte| *byte == b';').next();
    let essence = essence.unwrap_or_default().trim_ascii();
    essence.eq_ignore_ascii_case(EVENT_STREAM)
}
