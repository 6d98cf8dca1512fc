//! The two HTTP servers of a VM and their shutdown.
//!
//! The HTTP library installs its own signal handlers: on a signal it runs a server's shutdown
//! hooks, still accepting, and after them closes what is idle and gives up on the rest within half
//! a minute. So the whole drain, with the operators' bound, happens inside the hooks.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use slog::{Logger, info, warn};
use tokio::net::TcpListener;
use tokio::sync::watch;
use volo::net::incoming::DefaultIncoming;
use volo_http::server::Server;

use crate::config::Config;
use crate::edge::{CallerListener, Edge, RequestTracker};
use crate::error::Error;
use crate::listen;
use crate::ops::Ops;

const MAX_HEADERS: usize = 100;

/// What happens between a signal and the exit.
#[derive(Debug)]
pub struct Drain {
    /// Running requests.
    pub running: Arc<RequestTracker>,
    /// Time to go on accepting.
    pub linger: Duration,
    /// Longest wait for running requests.
    pub bound: Duration,
    /// Log.
    pub log: Logger,
}

impl Drain {
    /// Says that this VM leaves, lingers, takes nothing new, and waits for what runs.
    pub async fn run<F>(&self, tell: F)
    where
        F: FnOnce(),
    {
        info!(self.log, "shutdown_begins"; "running" => self.running.count());
        self.running.set_leaving();
        tell();
        tokio::time::sleep(self.linger).await;
        self.running.close();
        let drained = tokio::time::timeout(self.bound, self.running.wait_drained()).await;
        if drained.is_err() {
            warn!(self.log, "shutdown_bound_passed"; "running" => self.running.count());
        }
        info!(self.log, "shutdown_drained"; "running" => self.running.count());
    }
}

/// Binds the callers' listener.
///
/// # Errors
///
/// [`Error::Bind`].
pub fn bind_callers(config: &Config) -> Result<CallerListener, Error> {
    let bound = CallerListener::bind(config.callers_at, &config.callers);
    bound.map_err(|source| bind_error(config.callers_at, source))
}

/// Binds the operators' listener.
///
/// # Errors
///
/// [`Error::Bind`].
pub fn bind_ops(config: &Config) -> Result<TcpListener, Error> {
    let bound = listen::bind(config.operators_at);
    bound.map_err(|source| bind_error(config.operators_at, source))
}

/// Serves callers until a signal came and `hook` is done.
///
/// # Errors
///
/// [`Error::Serve`].
pub async fn serve_callers<F>(edge: Edge, listener: CallerListener, hook: F) -> Result<(), Error>
where
    F: Future<Output = ()> + Send + 'static,
{
    let mut server = Server::new(edge).http1_only();
    server.http1_config().set_max_headers(MAX_HEADERS);
    let server = server.register_shutdown_hook(move || Box::pin(hook));
    server.run(listener).await.map_err(Error::Serve)
}

/// Serves operators until a signal came and `over` says that callers are done.
///
/// # Errors
///
/// [`Error::Serve`].
pub async fn serve_operators(
    ops: Ops,
    listener: TcpListener,
    mut over: watch::Receiver<bool>,
) -> Result<(), Error> {
    let server = Server::new(ops).http1_only();
    let server = server.register_shutdown_hook(move || {
        Box::pin(async move {
            let waited = over.wait_for(|over| *over).await;
            drop(waited);
        })
    });
    server
        .run(DefaultIncoming::from(listener))
        .await
        .map_err(Error::Serve)
}

/// Names the address that could not be bound.
pub fn bind_error(address: SocketAddr, source: io::Error) -> Error {
    Error::Bind {
        address: address.to_string(),
        source,
    }
}
