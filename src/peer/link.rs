//! One link: a WebSocket connection over TCP.
//!
//! On a new link both sides first send `Hello`. Each side sends pings while it receives nothing. It
//! closes the link if it receives no byte for the silence timeout, or if a write takes that long:
//! such a connection may be dead although a new one would work. Frames to send wait in a bounded
//! queue; if the queue is full, frames are dropped, so that senders need not wait.

use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream::{SplitSink, SplitStream};
use futures_util::{SinkExt, StreamExt};
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{MissedTickBehavior, interval, sleep, timeout};
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;
use tokio_tungstenite::tungstenite::{self, Message};
use tokio_tungstenite::{WebSocketStream, accept_async_with_config, client_async_with_config};

use crate::peer::frame::{self, FrameError, FrameKind};
use crate::peer::meter::{LinkActivity, MeteredStream};
use crate::schema::peer::{Frame, Hello};
use crate::schema::settings::PeerSettings;
use crate::units;

/// Capacity of a link's queue, in frames.
pub const QUEUE_FRAMES: usize = 64;
/// Time without a frame after which a link is closed, as a multiple of the silence timeout.
const IDLE_FACTOR: u32 = 4;
/// Size of the read buffer and of the write buffer of a WebSocket.
const BUFFER_BYTES: usize = 4096;

/// Size limit and timeouts of a link.
#[derive(Clone, Copy, Debug)]
pub struct LinkLimits {
    /// Largest frame, sent or received.
    pub frame: units::Bytes,
    /// Interval at which a ping is sent if nothing is received.
    pub ping: Duration,
    /// Time without a received byte, or within one write, after which a link is closed.
    pub silence: Duration,
    /// Time without a frame sent or received after which a link is closed.
    pub idle: Duration,
}

impl From<&PeerSettings> for LinkLimits {
    fn from(settings: &PeerSettings) -> Self {
        let silence = Duration::from_millis(settings.silence);
        Self {
            frame: units::Bytes(settings.frame),
            ping: Duration::from_millis(settings.ping),
            silence,
            idle: silence * IDLE_FACTOR,
        }
    }
}

/// Why a link could not be opened, or ended.
#[derive(Debug, Error)]
pub enum LinkError {
    /// The connection was lost without a closing handshake.
    #[error("the connection was lost")]
    ConnectionLost,
    /// The other side closed the link with a close frame.
    #[error("the other side closed the link")]
    ClosedByPeer,
    /// No byte was received for the silence timeout.
    #[error("no byte was received for the silence timeout")]
    Silent,
    /// A write took longer than the silence timeout.
    #[error("a write took longer than the silence timeout")]
    WriteTimeout,
    /// No frame was sent or received for the idle timeout.
    #[error("the link was idle")]
    Idle,
    /// The node of this VM was dropped.
    #[error("the peer node was stopped")]
    Stopped,
    /// The other side sent a frame that was refused, or a frame to send was too large.
    #[error(transparent)]
    Frame(#[from] FrameError),
    /// The VM at the dialled address is not the expected one.
    #[error("another VM responds at this address")]
    WrongVm,
    /// TCP returned an error while connecting or configuring the socket.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The other side violated the WebSocket protocol.
    #[error("the other side violated the WebSocket protocol")]
    WebSocket,
}

impl LinkError {
    /// Whether the connection itself failed, so that a new one should be tried at once.
    pub fn is_connection_failure(&self) -> bool {
        matches!(
            self,
            Self::ConnectionLost | Self::Silent | Self::WriteTimeout | Self::Io(_)
        )
    }

    /// Whether the other side violated the protocol or is the wrong VM.
    pub fn is_protocol_violation(&self) -> bool {
        matches!(self, Self::Frame(_) | Self::WrongVm | Self::WebSocket)
    }

    fn from_socket(error: &tungstenite::Error, bound: units::Bytes) -> Self {
        use tungstenite::error::CapacityError;
        match error {
            tungstenite::Error::Capacity(CapacityError::MessageTooLong { size, .. }) => {
                let size = units::Bytes(*size as u64);
                Self::Frame(FrameError::TooLarge { size, bound })
            }
            tungstenite::Error::Protocol(
                tungstenite::error::ProtocolError::ResetWithoutClosingHandshake,
            )
            | tungstenite::Error::ConnectionClosed
            | tungstenite::Error::AlreadyClosed
            | tungstenite::Error::Io(_) => Self::ConnectionLost,
            _ => Self::WebSocket,
        }
    }
}

/// A link on which both sides have sent `Hello`.
#[derive(Debug)]
pub struct Link {
    /// `Hello` of the other side.
    pub peer_hello: Hello,
    /// Activity times and counters of this link.
    pub activity: Arc<LinkActivity>,
    socket: WebSocketStream<MeteredStream>,
    limits: LinkLimits,
}

impl Link {
    /// Connects and exchanges `Hello`, within the silence timeout.
    pub async fn dial(
        address: SocketAddr,
        ours: &Hello,
        limits: LinkLimits,
        activity: Arc<LinkActivity>,
    ) -> Result<Self, LinkError> {
        let handshake = async {
            let stream = MeteredStream::open(TcpStream::connect(address).await?, &activity)?;
            let url = format!("ws://{address}/");
            let config = Some(socket_config(limits));
            let (socket, _) = client_async_with_config(url, stream, config)
                .await
                .map_err(|e| LinkError::from_socket(&e, limits.frame))?;
            Self::exchange_hello(socket, ours, limits, Arc::clone(&activity)).await
        };
        timeout(limits.silence, handshake)
            .await
            .unwrap_or(Err(LinkError::Silent))
    }

    /// Exchanges `Hello` on an accepted connection, within the silence timeout.
    pub async fn accept(
        stream: TcpStream,
        ours: &Hello,
        limits: LinkLimits,
        activity: Arc<LinkActivity>,
    ) -> Result<Self, LinkError> {
        let handshake = async {
            let stream = MeteredStream::open(stream, &activity)?;
            let socket = accept_async_with_config(stream, Some(socket_config(limits)))
                .await
                .map_err(|e| LinkError::from_socket(&e, limits.frame))?;
            Self::exchange_hello(socket, ours, limits, Arc::clone(&activity)).await
        };
        timeout(limits.silence, handshake)
            .await
            .unwrap_or(Err(LinkError::Silent))
    }

    async fn exchange_hello(
        mut socket: WebSocketStream<MeteredStream>,
        ours: &Hello,
        limits: LinkLimits,
        activity: Arc<LinkActivity>,
    ) -> Result<Self, LinkError> {
        let hello = frame::encode(&Frame::Hello(ours.clone()), limits.frame)?;
        socket
            .send(Message::Binary(hello))
            .await
            .map_err(|e| LinkError::from_socket(&e, limits.frame))?;
        let first = read_binary(&mut socket, limits.frame).await?;
        let peer_hello = frame::decode_hello(&first, limits.frame)?;
        Ok(Self {
            peer_hello,
            activity,
            socket,
            limits,
        })
    }

    /// Sends the frames of `queue` and passes received frames to `on_frame` until the link ends.
    /// Returns why it ended.
    pub async fn run<F>(self, queue: &mut mpsc::Receiver<Bytes>, on_frame: F) -> LinkError
    where
        F: FnMut(Frame),
    {
        let (sink, source) = self.socket.split();
        let activity = &*self.activity;
        let limits = self.limits;
        let mut reader = pin!(read_all(source, on_frame, activity, limits));
        let end = tokio::select! {
            end = write_all(sink, queue, activity, limits) => end,
            end = &mut reader => end,
            end = wait_silent(activity, limits) => end,
        };
        if matches!(end, LinkError::Idle) {
            // Data that the other side sent before it received the close frame must be read:
            // otherwise the kernel resets the connection, and the other side sees a lost connection
            // instead of an orderly close.
            let _ = timeout(limits.silence, reader).await;
        }
        end
    }
}

fn socket_config(limits: LinkLimits) -> WebSocketConfig {
    let bound = usize::try_from(limits.frame.0).unwrap_or(usize::MAX);
    WebSocketConfig::default()
        .read_buffer_size(BUFFER_BYTES)
        .write_buffer_size(BUFFER_BYTES)
        .max_message_size(Some(bound))
        .max_frame_size(Some(bound))
}

async fn write_all(
    mut sink: SplitSink<WebSocketStream<MeteredStream>, Message>,
    queue: &mut mpsc::Receiver<Bytes>,
    activity: &LinkActivity,
    limits: LinkLimits,
) -> LinkError {
    let mut ticks = interval(limits.ping);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        if activity.idle() > limits.idle {
            // The close frame tells the other side that the close is orderly. If it cannot be sent,
            // the connection is lost anyway.
            let _ = timeout(limits.silence, sink.close()).await;
            return LinkError::Idle;
        }
        let message = tokio::select! {
            Some(frame) = queue.recv() => Message::Binary(frame),
            _ = ticks.tick() => Message::Ping(Bytes::new()),
        };
        match &message {
            Message::Ping(_) if activity.silence() < limits.ping => continue,
            Message::Ping(_) => activity.metrics().pings_out.inc(),
            _ => {
                activity.record_frame();
                activity.metrics().frames_out.inc();
            }
        }
        match timeout(limits.silence, sink.send(message)).await {
            Ok(Ok(())) => {}
            Ok(Err(error)) => return LinkError::from_socket(&error, limits.frame),
            Err(_) => return LinkError::WriteTimeout,
        }
    }
}

async fn read_all<F>(
    mut source: SplitStream<WebSocketStream<MeteredStream>>,
    mut on_frame: F,
    activity: &LinkActivity,
    limits: LinkLimits,
) -> LinkError
where
    F: FnMut(Frame),
{
    loop {
        let bytes = match read_binary(&mut source, limits.frame).await {
            Ok(bytes) => bytes,
            Err(error) => return error,
        };
        match frame::decode(&bytes, limits.frame) {
            Ok(Frame::Hello(_)) => return FrameError::UnexpectedKind(FrameKind::Hello).into(),
            Ok(frame) => {
                activity.record_frame();
                activity.metrics().frames_in.inc();
                on_frame(frame);
            }
            Err(error) => return error.into(),
        }
    }
}

// Returns the next binary message; pings and pongs are skipped.
async fn read_binary<S>(source: &mut S, bound: units::Bytes) -> Result<Bytes, LinkError>
where
    S: StreamExt<Item = Result<Message, tungstenite::Error>> + Unpin,
{
    loop {
        match source.next().await {
            Some(Ok(Message::Binary(bytes))) => return Ok(bytes),
            Some(Ok(Message::Text(_))) => return Err(FrameError::NotBinary.into()),
            Some(Ok(Message::Close(_))) => return Err(LinkError::ClosedByPeer),
            None => return Err(LinkError::ConnectionLost),
            Some(Ok(_)) => {}
            Some(Err(error)) => return Err(LinkError::from_socket(&error, bound)),
        }
    }
}

// Returns once no byte was received for the silence timeout.
async fn wait_silent(activity: &LinkActivity, limits: LinkLimits) -> LinkError {
    loop {
        sleep(limits.ping / 2).await;
        if activity.silence() > limits.silence {
            return LinkError::Silent;
        }
    }
}
