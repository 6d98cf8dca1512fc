//! One attempt to send a request to an upstream, and its outcome.

use std::fmt::Debug;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::response::Parts;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Body;
use thiserror::Error;

use crate::ids::RequestId;

use super::attempt_end::{AttemptEnd, AttemptWatch};
use super::caller_limit::CallerSlot;
use super::caller_limit::buffer::ChargedBuffer;
use super::client::{ConnectError, Connection, NoResponse};
use super::platform_api::{Dialect, EngineLoad, ResponseMeta, UpstreamSignals};
use super::read_meter::MeteredBody;
use super::request_time::ToldTime;
use super::upstream::RequestGuard;
use super::upstream_limit::gate::Permit;

/// Longest time to open a connection to an upstream.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Responses up to this size, in bytes, are read completely before they are forwarded.
const MAX_BUFFERED_BYTES: usize = 4 << 20;

/// Outcome of an attempt to send a request.
#[derive(Debug)]
pub enum SendOutcome {
    /// No connection; nothing was sent.
    NotSent(ConnectError),
    /// The upstream says that it did not run the request.
    NotRun(DeclineReason),
    /// The response was lost, so it is not known whether the request ran.
    Unknown(ResponseError),
    /// The head of a valid response arrived.
    Responded(Box<UpstreamResponse>),
}

impl SendOutcome {
    /// Whether the upstream declined the request or broke the connection, so that it does not go on
    /// with it.
    pub fn has_stopped(&self) -> bool {
        match self {
            Self::NotSent(_) | Self::NotRun(_) => true,
            Self::Unknown(error) => {
                matches!(
                    error,
                    ResponseError::Disconnected | ResponseError::ToldTimeOver
                )
            }
            Self::Responded(_) => false,
        }
    }

    /// Whether the upstream has stopped, or answered with status 5xx: a request that waits at another
    /// upstream stays there.
    pub fn has_failed(&self) -> bool {
        let failed = |response: &UpstreamResponse| response.head.status.is_server_error();
        self.has_stopped() || matches!(self, Self::Responded(response) if failed(response))
    }

    /// Whether another upstream may go on with a stream: this one has stopped, or answered with any
    /// status but 2xx.
    pub fn is_over(&self) -> bool {
        let failed = |response: &UpstreamResponse| !response.head.status.is_success();
        self.has_stopped() || matches!(self, Self::Responded(response) if failed(response))
    }
}

/// Why an upstream did not run a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeclineReason {
    /// The upstream has no capacity or is leaving.
    Full,
    /// The upstream does not have the model or adapter loaded.
    Missing,
    /// Another upstream has taken over the address.
    Elsewhere,
    /// The request was not run for another reason.
    Other,
}

/// Why a response could not be read, or not to its end.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum ResponseError {
    /// The connection ended early.
    #[error("the upstream broke the connection")]
    Disconnected,
    /// Nothing was received for long, and another upstream is tried.
    #[error("the upstream was silent for too long")]
    Silent,
    /// Nothing was received before the caller's time was up.
    #[error("the caller's time was up")]
    Deadline,
    /// The upstream stopped at the end of the time that it was told, before that of the request.
    #[error("the upstream stopped at the time that it was told")]
    ToldTimeOver,
    /// The bytes received are not a valid response to this request.
    #[error("the upstream's answer is not one to this request")]
    Invalid,
}

impl ResponseError {
    /// Turns silence into the end of the caller's time, for a wait that lasted until the deadline.
    #[must_use]
    pub fn at_deadline(self) -> Self {
        match self {
            Self::Silent => Self::Deadline,
            Self::Disconnected | Self::Deadline | Self::ToldTimeOver | Self::Invalid => self,
        }
    }
}

/// A response whose body has not been read yet.
///
/// Dropping it closes the connection, which cancels the request at the upstream.
#[derive(Debug)]
pub struct UpstreamResponse {
    /// Status and headers, as received.
    pub head: Parts,
    /// Fields of the head that the gateway interprets.
    pub meta: ResponseMeta,
    body: MeteredBody,
    connection: Connection,
    /// Absent once the response is closed.
    guard: Option<RequestGuard>,
    /// The time that the upstream was told.
    told: ToldTime,
    /// Counts the end of the attempt.
    watch: Option<AttemptWatch>,
}

/// A request that is ready to be sent to one upstream.
#[derive(Debug)]
pub struct UpstreamRequest<'a> {
    /// Leave to send the request, to the upstream that it names.
    pub permit: Permit,
    /// Request id, which the response must repeat.
    pub request_id: &'a RequestId,
    /// Encoded request.
    pub request: Request<Full<Bytes>>,
    /// The time that the upstream is told.
    pub told: ToldTime,
    /// Told what the upstream states about itself in its response, whatever its status.
    pub observer: &'a dyn SignalObserver,
}

/// Receives what upstreams state about themselves in the heads of their responses.
pub trait SignalObserver: Send + Sync + Debug {
    /// Handles the statements in a response of the upstream that the request was sent to.
    fn on_signals(&self, signals: UpstreamSignals);
}

/// Sends a request on a new connection, which is not reused.
///
/// A reused connection may still carry bytes of an earlier response or may have been lost
/// unnoticed. With a new connection for each request, responses cannot be mixed up.
pub async fn send(
    dialect: &Arc<dyn Dialect>,
    request: UpstreamRequest<'_>,
    guard: RequestGuard,
) -> SendOutcome {
    let told = request.told;
    let time = &told.request_time;
    if time.is_over() {
        return SendOutcome::NotSent(ConnectError::Timeout);
    }
    let upstream = Arc::clone(&request.permit.upstream().registration);
    let opened = Connection::open(upstream.address, CONNECT_TIMEOUT);
    let mut connection = match time.bound(opened).await {
        Some(Ok(connection)) => connection,
        Some(Err(e)) => return SendOutcome::NotSent(e),
        None => return SendOutcome::NotSent(ConnectError::Timeout),
    };
    let response = match time.bound(connection.send(request.request)).await {
        Some(Ok(response)) => response,
        Some(Err(NoResponse::Ended)) => return SendOutcome::Unknown(early_end_error(&told)),
        Some(Err(NoResponse::NotFinal(_))) => return SendOutcome::Unknown(ResponseError::Invalid),
        None => return SendOutcome::Unknown(ResponseError::Deadline),
    };
    let (head, body) = response.into_parts();
    let meta = dialect.read_response(&head);
    let other_instance = meta.instance.as_ref().is_some_and(|i| *i != upstream.id);
    // A refusal of an earlier request that is written once more says nothing of this one.
    let id_matches = meta.request_id.as_ref() == Some(request.request_id);
    if id_matches && !other_instance {
        request.observer.on_signals(meta.proven_signals());
    }
    if id_matches && head.status == StatusCode::MISDIRECTED_REQUEST {
        return SendOutcome::NotRun(if other_instance {
            DeclineReason::Elsewhere
        } else {
            DeclineReason::Missing
        });
    }
    if id_matches && meta.not_run {
        // An engine with free slots refuses a request only if an order in progress, such as an
        // unload, concerns the model or adapter.
        let free_slot = meta.load.is_some_and(EngineLoad::has_free_slot);
        return SendOutcome::NotRun(match head.status {
            StatusCode::SERVICE_UNAVAILABLE if free_slot => DeclineReason::Missing,
            StatusCode::SERVICE_UNAVAILABLE => DeclineReason::Full,
            _ => DeclineReason::Other,
        });
    }
    if !id_matches || meta.encoded || other_instance {
        return SendOutcome::Unknown(ResponseError::Invalid);
    }
    if head.status.is_success() && !meta.sealed {
        return SendOutcome::Unknown(ResponseError::Invalid);
    }
    SendOutcome::Responded(Box::new(UpstreamResponse {
        head,
        meta,
        body,
        connection,
        guard: Some(guard),
        told,
        watch: None,
    }))
}

/// The error for a connection that an upstream which was told this time ended early.
fn early_end_error(told: &ToldTime) -> ResponseError {
    if told.falls_short() {
        return ResponseError::ToldTimeOver;
    }
    ResponseError::Disconnected
}

/// Result of reading the next part of a body.
#[derive(Debug)]
pub enum BodyRead {
    /// Bytes of the body.
    Bytes(Bytes),
    /// The end of the body.
    End,
    /// The rest of the body cannot be read.
    Failed(ResponseError),
}

/// A response as far as it was read before it is forwarded.
#[derive(Debug)]
pub enum BufferedBody {
    /// To its end.
    Whole(Bytes),
    /// Up to here, in two parts, as there is no room for the rest; it must be forwarded while it
    /// is read.
    Begun(Bytes, Bytes),
}

impl UpstreamResponse {
    /// Whether the response declares its length or comes in chunks. Otherwise its body ends with
    /// the connection, whether the upstream has finished it or not.
    pub fn is_framed(&self) -> bool {
        let headers = &self.head.headers;
        headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
    }

    /// Has the end of the attempt counted by `watch`.
    pub fn set_watch(&mut self, watch: AttemptWatch) {
        self.watch = Some(watch);
    }

    /// Counts the end of the attempt.
    pub fn end_attempt(&self, end: AttemptEnd) {
        if let Some(watch) = &self.watch {
            watch.end(end);
        }
    }

    /// Closes the connection, which ends the upstream's work on the request. What has not been read
    /// by then is lost.
    pub fn close(&mut self) {
        self.connection.close();
        self.guard = None;
    }

    /// Whether the upstream has stopped, or may stop, at the time that it was told, which is over
    /// before that of the request.
    pub fn falls_short(&self) -> bool {
        self.told.falls_short()
    }

    /// The error for a body that the upstream ended early: `ToldTimeOver` if the time that it was told is
    /// over and the request's is not, else `Disconnected`.
    pub fn early_end_error(&self) -> ResponseError {
        early_end_error(&self.told)
    }

    /// Reads the next part of the body, waiting at most `max_wait`.
    pub async fn read_next(&mut self, max_wait: Duration) -> BodyRead {
        let read = tokio::time::timeout(max_wait, self.next_part()).await;
        read.unwrap_or(BodyRead::Failed(ResponseError::Silent))
    }

    /// Reads the next part of the body within the request's time.
    pub async fn read_in_time(&mut self) -> BodyRead {
        let time = Arc::clone(&self.told.request_time);
        let read = time.bound(self.next_part()).await;
        read.unwrap_or(BodyRead::Failed(ResponseError::Deadline))
    }

    async fn next_part(&mut self) -> BodyRead {
        loop {
            let frame = match self.body.frame().await {
                Some(Ok(frame)) => frame,
                Some(Err(_broken)) => return BodyRead::Failed(self.early_end_error()),
                // Without a length, a body that the upstream has cut ends like a whole one.
                None if !self.is_framed() && self.falls_short() => {
                    return BodyRead::Failed(ResponseError::ToldTimeOver);
                }
                None => return BodyRead::End,
            };
            // A frame without data holds trailers, which are not forwarded.
            if let Ok(bytes) = frame.into_data() {
                return BodyRead::Bytes(bytes);
            }
        }
    }

    /// Reads the complete body within the request's time, as far as there is room for it among what
    /// the caller holds. Of a body whose declared length exceeds the largest size that is
    /// buffered, only the first part is read.
    ///
    /// # Errors
    ///
    /// [`ResponseError`]; also where a body of undeclared length exceeds that size.
    pub async fn read_buffered(
        &mut self,
        slot: &CallerSlot,
    ) -> Result<BufferedBody, ResponseError> {
        let mut buffer = ChargedBuffer::default();
        let declared = self.body.size_hint().exact();
        if let Some(bytes) = declared {
            let fits = usize::try_from(bytes).is_ok_and(|bytes| bytes <= MAX_BUFFERED_BYTES);
            if !fits || !reserve(slot, &mut buffer, bytes as usize, bytes as usize) {
                return self.read_first().await;
            }
        }
        let time = Arc::clone(&self.told.request_time);
        let read = async {
            loop {
                let bytes = match self.next_part().await {
                    BodyRead::Bytes(bytes) => bytes,
                    BodyRead::End => return Ok(BufferedBody::Whole(buffer.freeze())),
                    BodyRead::Failed(error) => return Err(error),
                };
                if bytes.len() > MAX_BUFFERED_BYTES - buffer.len() {
                    return Err(ResponseError::Invalid);
                }
                if !reserve(slot, &mut buffer, bytes.len(), MAX_BUFFERED_BYTES) {
                    return Ok(BufferedBody::Begun(buffer.freeze(), bytes));
                }
                buffer.push(&bytes);
            }
        };
        let read = time.bound(read).await;
        read.unwrap_or(Err(ResponseError::Deadline))
    }

    /// Reads only the first part of the body, so that a refusal can still take its place if
    /// none of it comes.
    async fn read_first(&mut self) -> Result<BufferedBody, ResponseError> {
        match self.read_in_time().await {
            BodyRead::Bytes(bytes) => Ok(BufferedBody::Begun(bytes, Bytes::new())),
            BodyRead::End => Ok(BufferedBody::Whole(Bytes::new())),
            BodyRead::Failed(error) => Err(error),
        }
    }
}

/// Makes room in the buffer for `more` bytes of a response; false if there is none.
fn reserve(slot: &CallerSlot, buffer: &mut ChargedBuffer, more: usize, max: usize) -> bool {
    let missing = buffer.missing(more, max);
    if missing == 0 {
        return true;
    }
    let charge = slot.charge_response(missing as u64);
    charge.is_some_and(|charge| {
        buffer.grow(missing, charge);
        true
    })
}
