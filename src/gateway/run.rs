//! Starts the gateway on a VM and shuts it down.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use serde::{Deserialize, Serialize};
use slog::{info, warn};
use thiserror::Error;
use tokio::signal::unix::{SignalKind, signal};

use crate::ids::{DataCentre, IdError, ObjectKey, VmId};
use crate::store::{ObjectStore, StoreError};

use super::centre_closure::CentreClosure;
use super::configuration::Configuration;
use super::controller::{self, ControllerDeps};
use super::fanout::roles::Capacity;
use super::generation_record::RecordKeeper;
use super::mesh::Mesh;
use super::platform_api::{DecodeError, EngineClient, NamedObject, ObjectSource};
use super::registrar::{Registrar, STORE_TIMEOUT, StoppedProcess};
use super::reload::{self, SettingsSource};
use super::serve::Listening;
use super::state::Gateway;
use super::stop::{LAST_WRITES, StopPlan};
use super::upstream::Registration;
use super::{lateness, serve, store_watch};

/// Interval between checks for state that expires without an event.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(200);
/// Interval between reads of the VMs' registrations.
const VMS_INTERVAL: Duration = Duration::from_secs(20);
/// Interval between these reads until this VM is registered and a read has succeeded; it doubles
/// with each failure, up to the other interval.
const VMS_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Addresses that a VM listens on.
#[derive(Clone, Copy, Debug)]
pub struct ListenAddresses {
    /// Address for HTTP requests of callers.
    pub callers: SocketAddr,
    /// Address for readiness checks of the balancer.
    pub ready: SocketAddr,
    /// Address for UDP datagrams of other VMs.
    pub mesh: SocketAddr,
    /// Address for scrapes of the metrics.
    pub metrics: SocketAddr,
}

/// Access to the platform's store and to the engines.
#[derive(Clone, Debug)]
pub struct PlatformClients {
    /// Source of the configuration.
    pub configurations: Arc<dyn ObjectSource<Configuration>>,
    /// Source of the upstreams' registrations.
    pub registrations: Arc<dyn ObjectSource<Registration>>,
    /// Source of the closed data centres.
    pub closures: Arc<dyn ObjectSource<CentreClosure>>,
    /// Source of the VMs' registrations.
    pub vms: Arc<dyn ObjectSource<VmRegistration>>,
    /// Store for the gateway's own objects: the lease and this VM's registration.
    pub store: Arc<dyn ObjectStore>,
    /// Client of the engines' control interface.
    pub engine_client: Arc<dyn EngineClient>,
    /// Key of the lease in the store.
    pub lease_key: ObjectKey,
    /// Key of this VM's registration in the store.
    pub vm_key: ObjectKey,
    /// Key of the generation record in the store.
    pub generation_key: ObjectKey,
}

/// Registration of a VM in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmRegistration {
    /// Address for datagrams of other VMs.
    pub mesh: SocketAddr,
    /// Data centre of the VM; absent where an earlier version of the program wrote it.
    pub centre: Option<DataCentre>,
    /// Processor time of the VM.
    #[serde(default)]
    pub capacity: Capacity,
    /// Report of a process that stopped as planned; absent while a process runs, and after a kill.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub stopped: Option<StoppedProcess>,
}

/// Why a VM cannot serve.
#[derive(Debug, Error)]
pub enum RunError {
    /// An address cannot be bound.
    #[error("cannot listen on {at}: {source}")]
    Bind {
        /// Address that could not be bound.
        at: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// No handler can be installed for a signal.
    #[error("cannot receive signals: {0}")]
    Signal(io::Error),
}

/// Runs the gateway until the process receives `SIGTERM` and requests in progress are done. A lease
/// lasts for `lease_length` after a renewal, and `settings` are read again while it runs.
///
/// # Errors
///
/// [`RunError`].
pub async fn run(
    gateway: Arc<Gateway>,
    addresses: ListenAddresses,
    platform: PlatformClients,
    lease_length: Duration,
    settings: Box<dyn SettingsSource>,
) -> Result<(), RunError> {
    let mut term = signal(SignalKind::terminate()).map_err(RunError::Signal)?;
    let mut hup = signal(SignalKind::hangup()).map_err(RunError::Signal)?;
    let bind_error = |at| move |source| RunError::Bind { at, source };
    let mesh = Mesh::bind(&gateway, addresses.mesh).await;
    let mesh = mesh.map_err(bind_error(addresses.mesh))?;
    let mesh_address = mesh.address().map_err(bind_error(addresses.mesh))?;
    let callers =
        serve::spawn_callers(&gateway, addresses.callers).map_err(bind_error(addresses.callers))?;
    let ready =
        serve::spawn_ready(&gateway, addresses.ready).map_err(bind_error(addresses.ready))?;
    let metrics = serve::spawn_metrics(&gateway, addresses.metrics);
    let metrics = metrics.map_err(bind_error(addresses.metrics))?;
    mesh.spawn();
    lateness::spawn(&gateway);
    store_watch::configuration::spawn(&gateway, Arc::clone(&platform.configurations));
    store_watch::registrations::spawn(&gateway, Arc::clone(&platform.registrations));
    if gateway.bounds().closure.is_some() {
        store_watch::closures::spawn(&gateway, Arc::clone(&platform.closures));
    }
    reload::spawn(&gateway, settings);
    let own = VmRegistration {
        mesh: mesh_address,
        centre: Some(gateway.centre.clone()),
        capacity: gateway.capacity,
        stopped: None,
    };
    let registrar = Registrar::new(&gateway, &platform.store, platform.vm_key, own);
    let registrar = Arc::new(registrar);
    tokio::spawn(discover_peers(
        Arc::clone(&gateway),
        Arc::clone(&mesh),
        Arc::clone(&platform.vms),
        Arc::clone(&registrar),
    ));
    tokio::spawn(publish_expiry(Arc::clone(&gateway)));
    let record = RecordKeeper::open(&gateway, &platform.store, platform.generation_key);
    tokio::spawn(record.run());
    controller::spawn(ControllerDeps {
        gateway: Arc::clone(&gateway),
        mesh,
        engine_client: platform.engine_client,
        store: platform.store,
        lease_key: platform.lease_key,
        lease_length,
    });
    info!(gateway.log, "vm_started"; "callers" => %callers.at,
        "ready" => %ready.at, "metrics" => %metrics.at, "mesh" => %mesh_address);
    loop {
        tokio::select! {
            _ = term.recv() => break,
            _ = hup.recv() => {
                info!(gateway.log, "settings_signal");
                gateway.settings_due.notify_one();
            }
        }
    }
    let now = gateway.clock.now();
    let late = gateway.lateness().longest_pause(now);
    let plan = StopPlan::new(now, gateway.bounds().grace, late);
    drain(&gateway, &callers, plan, &registrar).await;
    Ok(())
}

/// Waits for requests in progress, at most until the plan has them closed. New requests are accepted
/// until the balancer no longer sends any.
async fn drain(gateway: &Gateway, callers: &Listening, plan: StopPlan, registrar: &Registrar) {
    let phases = || gateway.caller_limits.phases();
    let late = gateway.clock.now().saturating_duration_since(plan.begun);
    info!(gateway.log, "shutdown_begins"; phases(), "late_ms" => late.as_millis() as u64);
    gateway.begin_stop(plan);
    gateway.stop.reached(|plan| plan.refuses).await;
    gateway.running.close();
    info!(gateway.log, "shutdown_refuses"; phases());
    let ended = async {
        gateway.stop.reached(|plan| plan.ends).await;
        info!(gateway.log, "shutdown_ends"; phases());
        gateway.stop.reached(|plan| plan.closes).await;
    };
    tokio::select! {
        biased;
        () = gateway.running.wait_drained() => {}
        () = ended => warn!(gateway.log, "shutdown_bound_passed"; phases()),
    }
    callers.task.abort();
    // What was read meanwhile still gets its refusal.
    let written = async {
        let left = tokio::time::timeout(LAST_WRITES, registrar.write_stopped());
        let (_left, ()) = tokio::join!(left, tokio::time::sleep(LAST_WRITES));
        gateway.running.wait_drained().await;
    };
    tokio::select! {
        () = written => {}
        () = gateway.stop.reached(|plan| plan.closes) => {}
    }
    info!(gateway.log, "vm_stopped");
}

/// Publishes the upstreams in use again whenever part of their state expires.
async fn publish_expiry(gateway: Arc<Gateway>) {
    loop {
        tokio::time::sleep(EXPIRY_INTERVAL).await;
        let now = gateway.clock.now();
        if gateway.read_fleet(|fleet| fleet.next_expiry().is_some_and(|at| at <= now)) {
            gateway.update_fleet(|_, _| ());
        }
    }
}

/// Registers this VM in the store, and reads the addresses of the others regularly.
async fn discover_peers(
    gateway: Arc<Gateway>,
    mesh: Arc<Mesh>,
    vms: Arc<dyn ObjectSource<VmRegistration>>,
    registrar: Arc<Registrar>,
) {
    let mut registered = false;
    let mut retry_delay = VMS_RETRY_DELAY;
    loop {
        if !registered {
            registered = registrar.register().await;
        }
        let listed = tokio::time::timeout(STORE_TIMEOUT, vms.list()).await;
        let done = match listed.unwrap_or(Err(StoreError::Unavailable)) {
            Ok(list) => {
                let objects = list.items.into_iter();
                let vms: BTreeMap<VmId, VmRegistration> = objects
                    .filter_map(|object| read_vm(&gateway, object))
                    .collect();
                // The store loses registrations when it comes back from an older copy.
                registered = vms.get(&gateway.vm) == Some(registrar.own());
                mesh.add_registered(vms, registered);
                registered
            }
            Err(e) => {
                warn!(gateway.log, "vms_unread"; "error" => %e);
                false
            }
        };
        let delay = if done { VMS_INTERVAL } else { retry_delay };
        retry_delay = if done {
            VMS_RETRY_DELAY
        } else {
            VMS_INTERVAL.min(retry_delay * 2)
        };
        let jitter = rand::rng().random_range(0.8..1.2);
        let returned = gateway.store_returned.notified();
        let _woken = tokio::time::timeout(delay.mul_f64(jitter), returned).await;
    }
}

/// Returns a VM's registration, or logs why it cannot be read.
fn read_vm(
    gateway: &Gateway,
    (name, registration): NamedObject<VmRegistration>,
) -> Option<(VmId, VmRegistration)> {
    let read = registration.and_then(|registration| {
        let vm = name.parse().map_err(|e: IdError| DecodeError::new(&e))?;
        Ok((vm, registration))
    });
    read.inspect_err(|e| {
        if gateway.on_unreadable("vms", &name, e) {
            warn!(gateway.log, "vm_unreadable"; "name" => %name, "error" => %e);
        }
    })
    .ok()
}
