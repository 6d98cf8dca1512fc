//! Listening sockets.
//!
//! Callers come in bursts. A listener whose queue of new connections is full drops the next one's
//! first packet, and that caller waits a second for the system to send it again; so the queue is
//! long.

use std::io;
use std::net::SocketAddr;

use tokio::net::{TcpListener, TcpSocket};

/// Connections that may wait to be accepted.
const BACKLOG_CONNECTIONS: u32 = 4096;

/// Binds a listener; port 0 leaves the choice to the kernel.
///
/// # Errors
///
/// Where the address cannot be bound.
pub fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG_CONNECTIONS)
}
