//! One attempt to send a request to an upstream, and its outcome.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::response::Parts;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use thiserror::Error;

use crate::ids::{RequestId, UpstreamId};

use super::border::{AnswerHead, Dialect, EngineLoad};
use super::client::{ConnectError, Connection};
use super::upstream::Running;

/// Longest time to open a connection to an upstream.
const CONNECT_TIME: Duration = Duration::from_millis(250);
/// Responses up to this size, in bytes, are read completely before they are forwarded.
const WHOLE_BYTES: usize = 4 << 20;

/// Outcome of an attempt to send a request.
#[derive(Debug)]
pub enum Sent {
    /// No connection; nothing was sent.
    Unsent(ConnectError),
    /// The upstream says that it did not run the request.
    NotRun(Declined),
    /// The response was lost, so it is not known whether the request ran.
    Unknown(Lost),
    /// The head of a valid response arrived.
    Answered(Box<Answer>),
}

/// Why an upstream did not run a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Declined {
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
pub enum Lost {
    /// The connection ended early.
    #[error("the upstream broke the connection")]
    Broken,
    /// Nothing was received in time.
    #[error("the upstream was silent for too long")]
    Silent,
    /// The bytes received are not a valid response to this request.
    #[error("the upstream's answer is not one to this request")]
    Wrong,
}

/// A response whose body has not been read yet.
///
/// Dropping it closes the connection, which cancels the request at the upstream.
#[derive(Debug)]
pub struct Answer {
    /// HTTP head.
    pub head: Parts,
    /// Fields of the head that the gateway interprets.
    pub said: AnswerHead,
    body: Incoming,
    _connection: Connection,
    _running: Running,
}

/// A request that is ready to be sent to one upstream.
#[derive(Debug)]
pub struct Outgoing<'a> {
    /// Address of the upstream.
    pub to: SocketAddr,
    /// Id of the upstream that the request is meant for.
    pub upstream: &'a UpstreamId,
    /// Request id, which the response must repeat.
    pub id: &'a RequestId,
    /// HTTP request.
    pub request: Request<Full<Bytes>>,
    /// Longest wait for the head of the response.
    pub patience: Duration,
}

/// Sends a request on a new connection, which is not reused.
///
/// A reused connection may still carry bytes of an earlier response or may have been lost
/// unnoticed. With a new connection for each request, responses cannot be mixed up.
pub async fn send(dialect: &Arc<dyn Dialect>, outgoing: Outgoing<'_>, running: Running) -> Sent {
    let within = CONNECT_TIME.min(outgoing.patience);
    let mut connection = match Connection::open(outgoing.to, within).await {
        Ok(connection) => connection,
        Err(e) => return Sent::Unsent(e),
    };
    let answered = connection.send(outgoing.request);
    let response = match tokio::time::timeout(outgoing.patience, answered).await {
        Ok(Ok(response)) => response,
        Ok(Err(_ended)) => return Sent::Unknown(Lost::Broken),
        Err(_late) => return Sent::Unknown(Lost::Silent),
    };
    let (head, body) = response.into_parts();
    let said = dialect.read_answer(&head);
    let other = said
        .instance
        .as_ref()
        .is_some_and(|i| i != outgoing.upstream);
    let echoes = said.echo.as_ref().is_none_or(|id| id == outgoing.id);
    if echoes && head.status == StatusCode::MISDIRECTED_REQUEST {
        return Sent::NotRun(if other {
            Declined::Elsewhere
        } else {
            Declined::Missing
        });
    }
    if echoes && said.not_run {
        // An engine with free slots refuses a request only if an order in progress, such as an
        // unload, concerns the model or adapter.
        let room = said.load.is_some_and(EngineLoad::has_room);
        return Sent::NotRun(match head.status {
            StatusCode::SERVICE_UNAVAILABLE if room => Declined::Missing,
            StatusCode::SERVICE_UNAVAILABLE => Declined::Full,
            _ => Declined::Other,
        });
    }
    if said.echo.as_ref() != Some(outgoing.id) || said.encoded {
        return Sent::Unknown(Lost::Wrong);
    }
    if head.status.is_success() && !said.sealed {
        return Sent::Unknown(Lost::Wrong);
    }
    Sent::Answered(Box::new(Answer {
        head,
        said,
        body,
        _connection: connection,
        _running: running,
    }))
}

/// Result of reading the next part of a body.
#[derive(Debug)]
pub enum Piece {
    /// Bytes of the body.
    Bytes(Bytes),
    /// The end of the body.
    End,
    /// The rest of the body cannot be read.
    Lost(Lost),
}

impl Answer {
    /// Reads the next part of the body, waiting at most `patience`.
    pub async fn next(&mut self, patience: Duration) -> Piece {
        loop {
            let frame = match tokio::time::timeout(patience, self.body.frame()).await {
                Ok(Some(Ok(frame))) => frame,
                Ok(Some(Err(_broken))) => return Piece::Lost(Lost::Broken),
                Ok(None) => return Piece::End,
                Err(_late) => return Piece::Lost(Lost::Silent),
            };
            // A frame without data holds trailers, which are not forwarded.
            if let Ok(bytes) = frame.into_data() {
                return Piece::Bytes(bytes);
            }
        }
    }

    /// Reads the complete body within `patience`; `None` if its declared length exceeds the largest
    /// size that is buffered.
    ///
    /// # Errors
    ///
    /// [`Lost`]; also where a body of undeclared length exceeds that size.
    pub async fn read_small(&mut self, patience: Duration) -> Result<Option<Bytes>, Lost> {
        let most = self.body.size_hint().upper();
        if most.is_some_and(|bytes| bytes > WHOLE_BYTES as u64) {
            return Ok(None);
        }
        let read = async {
            let mut bytes = BytesMut::new();
            loop {
                match self.next(patience).await {
                    Piece::Bytes(more) => bytes.extend_from_slice(&more),
                    Piece::End => return Ok(Some(bytes.freeze())),
                    Piece::Lost(lost) => return Err(lost),
                }
                if bytes.len() > WHOLE_BYTES {
                    return Err(Lost::Wrong);
                }
            }
        };
        let read = tokio::time::timeout(patience, read).await;
        read.unwrap_or(Err(Lost::Silent))
    }
}
