//! A TCP relay that can lose what passes through it.
//!
//! Each stand-in listens behind a [`Gate`], and tests put one on any edge between two processes.
//! A connection that lost bytes never carries any again, as one would after its peer's state went.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

const BUFFER_BYTES: usize = 16 * 1024;

/// What a gate does.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Mode {
    /// Everything passes.
    #[default]
    Pass,
    /// Nothing listens, and open connections close.
    Down,
    /// Connections are accepted and closed before anything is read.
    Close,
    /// Bytes from clients are lost.
    LoseRequests,
    /// Bytes to clients are lost.
    LoseAnswers,
    /// Bytes both ways are lost.
    LoseAll,
    /// Open connections lose everything; new ones work.
    LoseOpen,
}

#[derive(Clone, Copy, Debug)]
struct State {
    mode: Mode,
    target: SocketAddr,
    /// Connections numbered below this one lose everything.
    lost: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Way {
    Request,
    Answer,
}

/// A running relay.
#[derive(Debug)]
pub struct Gate {
    address: SocketAddr,
    state: Arc<watch::Sender<State>>,
    task: JoinHandle<()>,
}

impl Gate {
    /// Listens on `listen` and relays to `target`.
    ///
    /// # Errors
    ///
    /// Where the address cannot be bound.
    pub fn bind(listen: SocketAddr, target: SocketAddr) -> io::Result<Self> {
        let listener = basilgw::listen::bind(listen)?;
        let address = listener.local_addr()?;
        let (state, _) = watch::channel(State {
            mode: Mode::Pass,
            target,
            lost: 0,
        });
        let state = Arc::new(state);
        let task = tokio::spawn(accept(listener, address, Arc::clone(&state)));
        Ok(Self {
            address,
            state,
            task,
        })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Relays new connections to another address.
    pub fn retarget(&self, target: SocketAddr) {
        self.state.send_modify(|state| state.target = target);
    }

    /// Changes what it does.
    pub fn set(&self, mode: Mode) {
        self.state.send_modify(|state| {
            state.mode = mode;
            if mode == Mode::LoseOpen {
                state.lost = u64::MAX;
            }
        });
    }
}

impl Drop for Gate {
    fn drop(&mut self) {
        self.task.abort();
        self.state.send_modify(|state| state.mode = Mode::Down);
    }
}

async fn accept(listener: TcpListener, address: SocketAddr, state: Arc<watch::Sender<State>>) {
    let mut listener = Some(listener);
    let mut changes = state.subscribe();
    let mut count: u64 = 0;
    loop {
        let now = *changes.borrow_and_update();
        if now.mode == Mode::Down {
            listener = None;
            if changes.changed().await.is_err() {
                return;
            }
            continue;
        }
        if now.lost == u64::MAX {
            state.send_modify(|state| state.lost = count);
        }
        let Some(open) = &listener else {
            listener = basilgw::listen::bind(address).ok();
            tokio::task::yield_now().await;
            continue;
        };
        tokio::select! {
            biased;
            _ = changes.changed() => {}
            accepted = open.accept() => {
                let Ok((client, _)) = accepted else { continue };
                if now.mode == Mode::Close {
                    continue;
                }
                tokio::spawn(relay(client, now.target, count, state.subscribe()));
                count += 1;
            }
        }
    }
}

async fn relay(client: TcpStream, target: SocketAddr, id: u64, state: watch::Receiver<State>) {
    let Ok(server) = TcpStream::connect(target).await else {
        return;
    };
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    let there = pump(client_read, server_write, Way::Request, id, state.clone());
    let back = pump(server_read, client_write, Way::Answer, id, state.clone());
    tokio::select! {
        () = down(state) => {}
        _ = async { tokio::join!(there, back) } => {}
    }
}

async fn down(mut state: watch::Receiver<State>) {
    // An error says that the gate is gone, which closes its connections too.
    let _ = state
        .wait_for(|state| matches!(state.mode, Mode::Down | Mode::Close))
        .await;
}

fn loses(state: State, way: Way, id: u64) -> bool {
    match state.mode {
        _ if id < state.lost => true,
        Mode::LoseAll => true,
        Mode::LoseRequests => way == Way::Request,
        Mode::LoseAnswers => way == Way::Answer,
        Mode::Pass | Mode::Down | Mode::Close | Mode::LoseOpen => false,
    }
}

/// Copies one way. A side that lost bytes keeps its connection open and silent until both are gone.
async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    way: Way,
    id: u64,
    state: watch::Receiver<State>,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    let mut lost = false;
    loop {
        let read = from.read(&mut buffer).await;
        lost |= loses(*state.borrow(), way, id);
        match read {
            Ok(0) | Err(_) if lost => return std::future::pending().await,
            Ok(0) | Err(_) => return,
            Ok(_) if lost => {}
            Ok(size) => {
                if to.write_all(&buffer[..size]).await.is_err() {
                    return;
                }
            }
        }
    }
}
