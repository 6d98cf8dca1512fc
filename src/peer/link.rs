//! One link: a WebSocket over TCP.
//!
//! A link begins with `Hello` both ways. Each side pings while it hears nothing, and gives the link
//! up once not a byte came for the silence bound, or a write took as long: such a link may be dead
//! while new ones work. Frames to send wait in a bounded queue, so that no sender ever blocks.

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
use crate::peer::meter::{Gauge, Metered};
use crate::schema::peer::{Frame, Hello};
use crate::schema::settings::PeerSettings;
use crate::units;

/// Frames that wait for a link.
pub const QUEUE_FRAMES: usize = 64;
/// Silence bounds without a frame, either way, after which a link is closed.
const IDLE_FACTOR: u32 = 4;
const BUFFER_BYTES: usize = 4096;

/// Bounds of a link.
#[derive(Clone, Copy, Debug)]
pub struct LinkLimits {
    /// Largest frame.
    pub frame: units::Bytes,
    /// Pause between two pings.
    pub ping: Duration,
    /// Silence after which a link is given up.
    pub silence: Duration,
    /// Time without a frame, either way, after which a link is closed.
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
    /// The connection broke.
    #[error("the connection broke")]
    ConnectionLost,
    /// The other side closed it in order.
    #[error("the other side closed the link")]
    ClosedByPeer,
    /// Not a byte came for the bound.
    #[error("the link went silent")]
    Silent,
    /// A write took longer than the bound.
    #[error("a write took too long")]
    WriteTimeout,
    /// Nothing was sent either way for a while.
    #[error("the link was not used")]
    Idle,
    /// This VM closes its links.
    #[error("this VM closes its links")]
    Stopped,
    /// The other side sent what cannot be read.
    #[error(transparent)]
    Frame(#[from] FrameError),
    /// The other side is not the VM that was meant.
    #[error("another VM answered")]
    WrongVm,
    /// TCP failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The other side broke the WebSocket protocol.
    #[error("the WebSocket protocol was broken")]
    WebSocket,
}

impl LinkError {
    /// Whether the connection itself broke, so that a new one is worth a try at once.
    pub fn is_connection_failure(&self) -> bool {
        matches!(
            self,
            Self::ConnectionLost | Self::Silent | Self::WriteTimeout | Self::Io(_)
        )
    }

    /// Whether the other side said what it must not.
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

/// A link that greeted.
#[derive(Debug)]
pub struct Link {
    /// What the other side said of itself.
    pub remote_hello: Hello,
    /// When it heard and carried something.
    pub gauge: Arc<Gauge>,
    socket: WebSocketStream<Metered>,
    limits: LinkLimits,
}

impl Link {
    /// Connects and greets, within the silence bound.
    pub async fn dial(
        address: SocketAddr,
        ours: &Hello,
        limits: LinkLimits,
        gauge: Arc<Gauge>,
    ) -> Result<Self, LinkError> {
        let work = async {
            let stream = Metered::open(TcpStream::connect(address).await?, &gauge)?;
            let url = format!("ws://{address}/");
            let config = Some(socket_config(limits));
            let (socket, _) = client_async_with_config(url, stream, config)
                .await
                .map_err(|e| LinkError::from_socket(&e, limits.frame))?;
            Self::greet(socket, ours, limits, Arc::clone(&gauge)).await
        };
        timeout(limits.silence, work)
            .await
            .unwrap_or(Err(LinkError::Silent))
    }

    /// Takes a connection and greets, within the silence bound.
    pub async fn accept(
        stream: TcpStream,
        ours: &Hello,
        limits: LinkLimits,
        gauge: Arc<Gauge>,
    ) -> Result<Self, LinkError> {
        let work = async {
            let stream = Metered::open(stream, &gauge)?;
            let socket = accept_async_with_config(stream, Some(socket_config(limits)))
                .await
                .map_err(|e| LinkError::from_socket(&e, limits.frame))?;
            Self::greet(socket, ours, limits, Arc::clone(&gauge)).await
        };
        timeout(limits.silence, work)
            .await
            .unwrap_or(Err(LinkError::Silent))
    }

    async fn greet(
        mut socket: WebSocketStream<Metered>,
        ours: &Hello,
        limits: LinkLimits,
        gauge: Arc<Gauge>,
    ) -> Result<Self, LinkError> {
        let hello = frame::encode(&Frame::Hello(ours.clone()), limits.frame)?;
        socket
            .send(Message::Binary(hello))
            .await
            .map_err(|e| LinkError::from_socket(&e, limits.frame))?;
        let first = read(&mut socket, limits.frame).await?;
        let remote_hello = frame::decode_hello(&first, limits.frame)?;
        Ok(Self {
            remote_hello,
            gauge,
            socket,
            limits,
        })
    }

    /// Carries frames both ways until the link ends.
    pub async fn run<F>(self, queue: &mut mpsc::Receiver<Bytes>, on_frame: F) -> LinkError
    where
        F: FnMut(Frame),
    {
        let (sink, source) = self.socket.split();
        let gauge = &*self.gauge;
        let limits = self.limits;
        let mut reading = pin!(read_all(source, on_frame, gauge, limits));
        let end = tokio::select! {
            end = write_all(sink, queue, gauge, limits) => end,
            end = &mut reading => end,
            end = watch(gauge, limits) => end,
        };
        if matches!(end, LinkError::Idle) {
            // What the other side sent meanwhile is read: else the system resets the connection,
            // and the other side takes an orderly end for a break.
            let _ = timeout(limits.silence, reading).await;
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
    mut sink: SplitSink<WebSocketStream<Metered>, Message>,
    queue: &mut mpsc::Receiver<Bytes>,
    gauge: &Gauge,
    limits: LinkLimits,
) -> LinkError {
    let mut ticks = interval(limits.ping);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        if gauge.idle() > limits.idle {
            // The close frame tells the other side that nothing broke; it is gone where this fails.
            let _ = timeout(limits.silence, sink.close()).await;
            return LinkError::Idle;
        }
        let message = tokio::select! {
            Some(frame) = queue.recv() => Message::Binary(frame),
            _ = ticks.tick() => Message::Ping(Bytes::new()),
        };
        match &message {
            Message::Ping(_) if gauge.silence() < limits.ping => continue,
            Message::Ping(_) => gauge.metrics().pings_out.inc(),
            _ => {
                gauge.used();
                gauge.metrics().frames_out.inc();
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
    mut source: SplitStream<WebSocketStream<Metered>>,
    mut on_frame: F,
    gauge: &Gauge,
    limits: LinkLimits,
) -> LinkError
where
    F: FnMut(Frame),
{
    loop {
        let bytes = match read(&mut source, limits.frame).await {
            Ok(bytes) => bytes,
            Err(error) => return error,
        };
        match frame::decode(&bytes, limits.frame) {
            Ok(Frame::Hello(_)) => return FrameError::UnexpectedKind(FrameKind::Hello).into(),
            Ok(frame) => {
                gauge.used();
                gauge.metrics().frames_in.inc();
                on_frame(frame);
            }
            Err(error) => return error.into(),
        }
    }
}

async fn read<S>(source: &mut S, bound: units::Bytes) -> Result<Bytes, LinkError>
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

async fn watch(gauge: &Gauge, limits: LinkLimits) -> LinkError {
    loop {
        sleep(limits.ping / 2).await;
        if gauge.silence() > limits.silence {
            return LinkError::Silent;
        }
    }
}
