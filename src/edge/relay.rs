//! Relaying of answers.
//!
//! A streamed answer is pumped by a task of its own through a bounded channel, so that a slow
//! reader holds a few chunks and nobody else, and so that a withdrawn key, a passed deadline or a
//! caller that left end the upstream's work however slowly the caller reads. A stream that did not
//! end with its end mark ends with a visible error event.

use std::pin::Pin;
use std::sync::{Arc, OnceLock};
use std::task::{Context, Poll};
use std::time::Instant;

use bytes::{Bytes, BytesMut};
use futures_util::{Stream, StreamExt};
use http_body::Frame;
use serde::Deserialize;
use tokio::sync::mpsc;
use volo_http::error::BoxError;

use super::answer::error_answer;
use super::auth::Principal;
use crate::ids::RequestId;
use crate::outcome::{Ran, Reason, Refusal};
use crate::units::Tokens;

/// A chunk on its way to a caller.
pub type Chunk = Result<Frame<Bytes>, BoxError>;

const END_MARK: &[u8] = b"data: [DONE]";
const EVENT_MARK: &[u8] = b"data: ";
const TAIL_BYTES: usize = 64;

/// The pump's side of a relayed answer.
#[derive(Debug)]
pub struct Inlet {
    chunks: mpsc::Sender<Chunk>,
    last: Arc<OnceLock<Bytes>>,
}

/// The caller's side of a relayed answer.
#[derive(Debug)]
pub struct Outlet {
    chunks: mpsc::Receiver<Chunk>,
    last: Arc<OnceLock<Bytes>>,
    ended: bool,
}

impl Stream for Outlet {
    type Item = Chunk;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Chunk>> {
        match self.chunks.poll_recv(cx) {
            Poll::Ready(None) if !self.ended => {
                self.ended = true;
                Poll::Ready(self.last.get().map(|event| Ok(Frame::data(event.clone()))))
            }
            other => other,
        }
    }
}

/// Opens a channel that holds at most `chunks` for a slow reader.
pub fn channel(chunks: usize) -> (Inlet, Outlet) {
    let (sender, receiver) = mpsc::channel(chunks.max(1));
    let last = Arc::new(OnceLock::new());
    let inlet = Inlet {
        chunks: sender,
        last: Arc::clone(&last),
    };
    (
        inlet,
        Outlet {
            chunks: receiver,
            last,
            ended: false,
        },
    )
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
        self.tail.extend_from_slice(chunk);
        while let Some(at) = self.tail.iter().position(|&b| b == b'\n') {
            let line = self.tail.split_to(at + 1);
            self.feed_line(line.trim_ascii_end());
        }
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
        if data.windows(TAIL_BYTES.min(8)).any(|w| w == b"\"usage\":") {
            self.usage = usage_of(data).or(self.usage);
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
pub fn usage_of(body: &[u8]) -> Option<u64> {
    let parsed: WithUsage = serde_json::from_slice(body).ok()?;
    parsed.usage.map(|usage| usage.total_tokens)
}

/// What a pump needs to know of its request.
#[derive(Debug)]
pub struct Pump {
    /// Whose key it was.
    pub principal: Principal,
    /// The request.
    pub request: RequestId,
    /// When it must be over.
    pub deadline: Instant,
    /// Estimated prompt.
    pub prompt: Tokens,
}

impl Pump {
    /// Moves chunks from an upstream's stream of events to a caller until either ends; answers the
    /// tokens used.
    pub async fn run<S>(&self, mut body: S, out: &Inlet) -> Tokens
    where
        S: Stream<Item = Result<Bytes, Refusal>> + Unpin,
    {
        let mut scan = EventScan::default();
        if let Err(refusal) = self.relay(&mut body, out, &mut scan).await {
            self.leave_error(out, &refusal);
        }
        scan.used(self.prompt)
    }

    async fn relay<S>(&self, body: &mut S, out: &Inlet, scan: &mut EventScan) -> Result<(), Refusal>
    where
        S: Stream<Item = Result<Bytes, Refusal>> + Unpin,
    {
        let withdrawn = self.principal.withdrawn();
        let expired = tokio::time::sleep_until(self.deadline.into());
        tokio::pin!(withdrawn, expired);
        loop {
            let next = tokio::select! {
                biased;
                () = &mut withdrawn => return Err(Refusal::ran(Reason::Withdrawn)),
                () = &mut expired => return Err(Refusal::ran(Reason::Deadline)),
                () = out.chunks.closed() => return Ok(()),
                next = body.next() => next,
            };
            let Some(chunk) = next else {
                return if scan.done() { Ok(()) } else { Err(cut()) };
            };
            let chunk = chunk.map_err(|e| Refusal { ran: Ran::Yes, ..e })?;
            scan.feed(&chunk);
            tokio::select! {
                biased;
                () = &mut withdrawn => return Err(Refusal::ran(Reason::Withdrawn)),
                () = &mut expired => return Err(Refusal::ran(Reason::Deadline)),
                sent = out.chunks.send(Ok(Frame::data(chunk))) => {
                    if sent.is_err() {
                        return Ok(());
                    }
                }
            }
        }
    }

    // Kept beside the channel, so that it reaches a reader whose channel is full, too.
    fn leave_error(&self, out: &Inlet, refusal: &Refusal) {
        let answer = error_answer(refusal, Some(&self.request));
        let json = serde_json::to_string(&answer).unwrap_or_default();
        let event = format!("\nevent: error\ndata: {json}\n\n");
        out.last.get_or_init(|| Bytes::from(event));
    }
}

fn cut() -> Refusal {
    Refusal::ran(Reason::UpstreamFailed)
}
