//! The socket of a caller's connection, as the HTTP library reads and writes it. It tells
//! [`CallerConnection`] what is written.
//!
//! A response of unknown length over HTTP/1.0 ends with its connection. So that one which is cut does
//! not look complete, its connection is reset unless the body has ended and all of it is written.

use std::io::{self, ErrorKind, Read};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Sleep;

use super::connection::CallerConnection;

/// Longest time for which what a caller still sends after its refusal is thrown away. Without it
/// the connection would be reset, and the refusal might be lost.
const DISCARD_TIME: Duration = Duration::from_secs(1);
/// Bytes thrown away at once.
const DISCARD_BYTES: usize = 4096;

/// A caller's socket, which tells its connection what is written.
#[derive(Debug)]
pub struct CallerStream<S> {
    stream: S,
    connection: Arc<CallerConnection>,
    closing: Closing,
    ops: SocketOps<S>,
    /// Whether the socket is reset when it is closed.
    resets: bool,
}

/// How far the end of a connection has come.
#[derive(Debug)]
enum Closing {
    Open,
    /// All is written; what still arrives is thrown away until this timer ends.
    Discarding(Pin<Box<Sleep>>),
}

impl<S> CallerStream<S> {
    /// Wraps the socket of a connection.
    pub fn new(stream: S, connection: Arc<CallerConnection>, ops: SocketOps<S>) -> Self {
        Self {
            stream,
            connection,
            closing: Closing::Open,
            ops,
            resets: false,
        }
    }

    /// Sets whether the socket is reset when it is closed.
    fn set_reset(&mut self, resets: bool) {
        if self.resets != resets {
            self.resets = resets;
            (self.ops.set_reset)(&self.stream, resets);
        }
    }
}

/// What a connection asks of its socket beside reading and writing.
#[derive(Debug)]
pub struct SocketOps<S> {
    /// Sets whether the socket is reset when it is closed, also by the end of this process.
    pub set_reset: fn(&S, bool),
    /// Reads what the kernel holds, whether or not the runtime knows of it.
    pub read_now: fn(&S, &mut ReadBuf<'_>) -> Poll<io::Result<()>>,
}

impl SocketOps<TcpStream> {
    /// Those of a TCP socket.
    pub const TCP: Self = Self {
        set_reset,
        read_now,
    };
}

fn set_reset(stream: &TcpStream, resets: bool) {
    // Fails only for a socket that is closed already.
    let _ignored = SockRef::from(stream).set_linger(resets.then_some(Duration::ZERO));
}

fn read_now(stream: &TcpStream, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
    let socket = SockRef::from(stream);
    match (&*socket).read(buf.initialize_unfilled()) {
        Ok(bytes) => {
            buf.advance(bytes);
            Poll::Ready(Ok(()))
        }
        Err(e) if e.kind() == ErrorKind::WouldBlock => Poll::Pending,
        Err(e) => Poll::Ready(Err(e)),
    }
}

impl<S> AsyncRead for CallerStream<S>
where
    S: AsyncRead + Unpin,
{
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let read = match Pin::new(&mut self.stream).poll_read(cx, buf) {
            // The runtime may not have asked the kernel for some time, if it had no processor.
            Poll::Pending if self.connection.in_final_read() => {
                ready!((self.ops.read_now)(&self.stream, buf))
            }
            read => ready!(read),
        };
        let ended = read.is_ok() && buf.filled().len() == before && buf.remaining() > 0;
        if ended && self.connection.keeps_end(cx) {
            return Poll::Pending;
        }
        Poll::Ready(read)
    }
}

impl<S> AsyncWrite for CallerStream<S>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.connection.is_cut_by_close() {
            self.set_reset(true);
        }
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.connection.on_write(written.is_pending());
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        if self.connection.is_cut_by_close() {
            self.set_reset(true);
        }
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.connection.on_write(written.is_pending());
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.stream).poll_flush(cx))?;
        self.connection.on_flushed();
        if !self.connection.is_cut_by_close() {
            self.set_reset(false);
        }
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if matches!(self.closing, Closing::Open) {
            ready!(Pin::new(&mut self.stream).poll_shutdown(cx))?;
            if !self.connection.is_unread() {
                return Poll::Ready(Ok(()));
            }
            self.closing = Closing::Discarding(Box::pin(tokio::time::sleep(DISCARD_TIME)));
        }
        let Self {
            stream, closing, ..
        } = &mut *self;
        if let Closing::Discarding(end) = closing
            && end.as_mut().poll(cx).is_pending()
        {
            ready!(poll_discard(stream, cx));
        }
        Poll::Ready(Ok(()))
    }
}

/// Reads and throws away until the peer has ended its side.
fn poll_discard<S>(stream: &mut S, cx: &mut Context<'_>) -> Poll<()>
where
    S: AsyncRead + Unpin,
{
    loop {
        let mut bytes = [0; DISCARD_BYTES];
        let mut buffer = ReadBuf::new(&mut bytes);
        let read = ready!(Pin::new(&mut *stream).poll_read(cx, &mut buffer));
        if read.is_err() || buffer.filled().is_empty() {
            return Poll::Ready(());
        }
    }
}
