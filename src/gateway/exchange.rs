//! One sending of a request to one upstream, and what became of it.

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

/// Longest time for a connection to an upstream.
const CONNECT_TIME: Duration = Duration::from_millis(250);
/// Answers up to this size are read whole before the caller gets them.
const WHOLE_BYTES: usize = 4 << 20;

/// What became of a sending.
#[derive(Debug)]
pub enum Sent {
    /// Nothing was sent.
    Unsent(ConnectError),
    /// The upstream says that it did not run the request.
    NotRun(Declined),
    /// Nobody knows whether it ran.
    Unknown(Lost),
    /// An answer to this request began.
    Answered(Box<Answer>),
}

/// Why an upstream did not run a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Declined {
    /// Its queue is full, or it drains.
    Full,
    /// It does not hold what was asked for.
    Missing,
    /// The address belongs to another upstream by now.
    Elsewhere,
    /// It did not take the request for another reason.
    Other,
}

/// Why an answer is not known.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum Lost {
    /// The connection ended.
    #[error("the upstream broke the connection")]
    Broken,
    /// No answer came in time.
    #[error("the upstream was silent for too long")]
    Silent,
    /// What came is no answer to this request.
    #[error("the upstream's answer is not one to this request")]
    Wrong,
}

/// The parts of an answer, the body still to come.
#[derive(Debug)]
pub struct Answer {
    /// Head.
    pub head: Parts,
    /// What the head says of the upstream.
    pub said: AnswerHead,
    body: Incoming,
    _connection: Connection,
    _running: Running,
}

/// What is needed to send.
#[derive(Debug)]
pub struct Outgoing<'a> {
    /// Address.
    pub to: SocketAddr,
    /// The upstream meant.
    pub upstream: &'a UpstreamId,
    /// Request id that the answer must echo.
    pub id: &'a RequestId,
    /// Request.
    pub request: Request<Full<Bytes>>,
    /// Longest wait for the head.
    pub patience: Duration,
}

/// Sends a request on a connection of its own.
///
/// A kept connection may hold bytes that belong to another request, and may have gone silent; one
/// that is used once cannot mix answers up.
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
        // An engine with places free declines what an order under way concerns.
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

/// What the next part of a body is.
#[derive(Debug)]
pub enum Piece {
    /// Bytes.
    Bytes(Bytes),
    /// The end.
    End,
    /// It cannot be read to its end.
    Lost(Lost),
}

impl Answer {
    /// Reads the next part of the body.
    pub async fn next(&mut self, patience: Duration) -> Piece {
        loop {
            let frame = match tokio::time::timeout(patience, self.body.frame()).await {
                Ok(Some(Ok(frame))) => frame,
                Ok(Some(Err(_broken))) => return Piece::Lost(Lost::Broken),
                Ok(None) => return Piece::End,
                Err(_late) => return Piece::Lost(Lost::Silent),
            };
            // Trailers are not forwarded.
            if let Ok(bytes) = frame.into_data() {
                return Piece::Bytes(bytes);
            }
        }
    }

    /// Reads the rest of a small body; `None` where it is larger than this VM keeps.
    ///
    /// # Errors
    ///
    /// [`Lost`].
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
