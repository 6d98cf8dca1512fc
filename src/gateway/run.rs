//! Starts a VM of the gateway and stops it.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use serde::{Deserialize, Serialize};
use slog::{info, warn};
use thiserror::Error;
use tokio::signal::unix::{SignalKind, signal};

use crate::ids::{ObjectKey, Version, VmId};
use crate::store::{ObjectStore, StoreError};

use super::border::{Control, Source};
use super::configuration::Configuration;
use super::controller::{self, ControllerDeps};
use super::mesh::Mesh;
use super::state::Gateway;
use super::upstream::Entry;
use super::{follow, serve};

/// The balancer notices within about two seconds that a VM leaves; until then callers still come.
const LINGER: Duration = Duration::from_millis(2800);
/// Kept back from the time to stop, for the exit itself.
const EXIT_MARGIN: Duration = Duration::from_millis(300);
/// Kept back from the time to stop, for the answers to what still waits.
const REFUSE_MARGIN: Duration = Duration::from_millis(1500);
/// Pause between looks at what changes by time alone.
const EXPIRY_PAUSE: Duration = Duration::from_millis(200);
/// Pause between reads of the VMs' registrations.
const VMS_PAUSE: Duration = Duration::from_secs(20);
const VMS_RETRY: Duration = Duration::from_millis(700);
const STORE_TIME: Duration = Duration::from_millis(900);

/// Where a VM listens.
#[derive(Clone, Copy, Debug)]
pub struct Listeners {
    /// Callers.
    pub callers: SocketAddr,
    /// Balancer.
    pub ready: SocketAddr,
    /// Other VMs.
    pub mesh: SocketAddr,
    /// Metrics.
    pub metrics: SocketAddr,
}

/// What a VM reaches its platform with.
#[derive(Clone, Debug)]
pub struct Platform {
    /// The configuration.
    pub tables: Arc<dyn Source<Configuration>>,
    /// The upstreams' registrations.
    pub entries: Arc<dyn Source<Entry>>,
    /// The VMs' registrations.
    pub vms: Arc<dyn Source<VmEntry>>,
    /// The gateway's own objects.
    pub store: Arc<dyn ObjectStore>,
    /// Orders to engines.
    pub control: Arc<dyn Control>,
    /// Object that names the VM that gives orders.
    pub lease_key: ObjectKey,
    /// Object in which this VM registers itself.
    pub vm_key: ObjectKey,
}

/// A VM's registration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VmEntry {
    /// Where other VMs reach it.
    pub mesh: SocketAddr,
}

/// Times of a VM.
#[derive(Clone, Copy, Debug)]
pub struct Times {
    /// Length of the lease.
    pub lease: Duration,
    /// Time to stop in.
    pub grace: Duration,
}

/// Why a VM cannot serve.
#[derive(Debug, Error)]
pub enum RunError {
    /// An address cannot be bound.
    #[error("cannot listen on {at}: {source}")]
    Bind {
        /// Address.
        at: SocketAddr,
        /// Why.
        source: io::Error,
    },
    /// Signals cannot be received.
    #[error("cannot receive signals: {0}")]
    Signal(io::Error),
}

/// Serves until the process is told to stop.
///
/// # Errors
///
/// [`RunError`].
pub async fn run(
    gateway: Arc<Gateway>,
    listeners: Listeners,
    platform: Platform,
    times: Times,
) -> Result<(), RunError> {
    let mut term = signal(SignalKind::terminate()).map_err(RunError::Signal)?;
    let mut hup = signal(SignalKind::hangup()).map_err(RunError::Signal)?;
    let bind = |at| move |source| RunError::Bind { at, source };
    let mesh = Mesh::bind(&gateway, listeners.mesh).await;
    let mesh = mesh.map_err(bind(listeners.mesh))?;
    let mesh_at = mesh.address().map_err(bind(listeners.mesh))?;
    let callers = serve::spawn(&gateway, listeners.callers).map_err(bind(listeners.callers))?;
    let ready = serve::spawn_ready(&gateway, listeners.ready).map_err(bind(listeners.ready))?;
    let metrics = serve::spawn_metrics(&gateway, listeners.metrics);
    let metrics = metrics.map_err(bind(listeners.metrics))?;
    mesh.spawn();
    follow::spawn_table(&gateway, Arc::clone(&platform.tables));
    follow::spawn_entries(&gateway, Arc::clone(&platform.entries));
    tokio::spawn(meet(
        Arc::clone(&gateway),
        Arc::clone(&mesh),
        platform.clone(),
        mesh_at,
    ));
    tokio::spawn(expire(Arc::clone(&gateway)));
    controller::spawn(ControllerDeps {
        gateway: Arc::clone(&gateway),
        mesh,
        engine_client: platform.control,
        store: platform.store,
        lease_key: platform.lease_key,
        lease_length: times.lease,
    });
    info!(gateway.log, "vm_started"; "callers" => %callers.at,
        "ready" => %ready.at, "metrics" => %metrics.at, "mesh" => %mesh_at);
    loop {
        tokio::select! {
            _ = term.recv() => break,
            // Nothing that the settings say can change while a VM runs.
            _ = hup.recv() => info!(gateway.log, "settings_signal"),
        }
    }
    drain(&gateway, times.grace).await;
    Ok(())
}

/// Finishes what runs; callers that still come are served until the balancer has noticed.
async fn drain(gateway: &Gateway, grace: Duration) {
    info!(gateway.log, "shutdown_begins"; "running" => gateway.running.count());
    let stop = gateway.clock.now() + grace.saturating_sub(REFUSE_MARGIN);
    gateway.leave(stop);
    let rest = grace.saturating_sub(LINGER + EXIT_MARGIN);
    tokio::time::sleep(LINGER).await;
    gateway.running.close();
    let drained = tokio::time::timeout(rest, gateway.running.drained()).await;
    if drained.is_err() {
        warn!(gateway.log, "shutdown_bound_passed"; "running" => gateway.running.count());
    }
    info!(gateway.log, "vm_stopped");
}

/// Publishes what changes by time alone.
async fn expire(gateway: Arc<Gateway>) {
    loop {
        tokio::time::sleep(EXPIRY_PAUSE).await;
        let now = gateway.clock.now();
        if gateway.read_fleet(|fleet| fleet.next_expiry().is_some_and(|at| at <= now)) {
            gateway.with_fleet(|_, _| ());
        }
    }
}

/// Registers this VM and reads where the others are.
async fn meet(gateway: Arc<Gateway>, mesh: Arc<Mesh>, platform: Platform, at: SocketAddr) {
    let mut registered = false;
    loop {
        if !registered {
            registered = register(&gateway, &platform, at).await;
        }
        let listed = tokio::time::timeout(STORE_TIME, platform.vms.list()).await;
        let done = match listed.unwrap_or(Err(StoreError::Unavailable)) {
            Ok(listing) => {
                let readable = listing.items.into_iter();
                mesh.know(readable.filter_map(|(name, entry)| {
                    let vm: VmId = name.parse().ok()?;
                    Some((vm, entry.ok()?.mesh))
                }));
                registered
            }
            Err(e) => {
                warn!(gateway.log, "vms_unread"; "error" => %e);
                false
            }
        };
        let pause = if done { VMS_PAUSE } else { VMS_RETRY };
        let share = rand::rng().random_range(0.8..1.2);
        tokio::time::sleep(pause.mul_f64(share)).await;
    }
}

async fn register(gateway: &Gateway, platform: &Platform, at: SocketAddr) -> bool {
    let Ok(value) = serde_json::to_vec(&VmEntry { mesh: at }) else {
        return false;
    };
    let mut version = Version::default();
    // A registration of an earlier run has a version that only the refusal tells.
    for _ in 0..2 {
        let put = platform
            .store
            .put(&platform.vm_key, version, value.clone().into());
        let put = tokio::time::timeout(STORE_TIME, put).await;
        match put.unwrap_or(Err(StoreError::Unknown)) {
            Ok(_) => return true,
            Err(StoreError::Conflict(known)) => version = known,
            Err(e) => {
                warn!(gateway.log, "vm_unregistered"; "error" => %e);
                return false;
            }
        }
    }
    false
}
