//! The controller: orders engines to load and unload models and adapters while this VM is the
//! leader, that is, holds the lease.
//!
//! Each order states how many orders the engine must have accepted before it, and the engine
//! accepts it only if the number is right. Of two orders with the same number, at most one is
//! carried out, however late the other arrives. The space that an order needs counts as used from
//! before the order is sent until a report newer than the order shows its outcome.

mod orders;
mod planning;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use slog::info;
use tokio::task::{JoinHandle, JoinSet};

use crate::ids::{Epoch, ObjectKey, UpstreamId};
use crate::schema::mesh::InventoryUpdate;
use crate::store::ObjectStore;

use super::engine_state::{EngineState, RETRY_DELAY};
use super::fleet::Fleet;
use super::leadership::Leadership;
use super::load_limiter::LoadLimiter;
use super::mesh::Mesh;
use super::platform_api::{ControlError, ControlReply, EngineClient, UpstreamSignals};
use super::state::Gateway;
use super::upstream::Registration;

/// Longest interval between two rounds of planning; events start a round sooner.
const ROUND_INTERVAL: Duration = Duration::from_millis(100);
/// Shortest interval between two rounds; every demand report of another VM asks for a round.
const MIN_ROUND_INTERVAL: Duration = Duration::from_millis(10);
/// Timeout for an engine's report or its response to an order.
const ENGINE_TIMEOUT: Duration = Duration::from_millis(200);
/// Time within which every VM reports its demand to a new leader.
const DEMAND_REPORT_TIME: Duration = Duration::from_millis(450);

/// Contends for the lease, and controls the engines while this VM is the leader.
#[derive(Debug)]
pub struct Controller {
    gateway: Arc<Gateway>,
    mesh: Arc<Mesh>,
    engine_client: Arc<dyn EngineClient>,
    leadership: Leadership,
    engines: BTreeMap<UpstreamId, EngineState>,
    load_limiter: LoadLimiter,
    /// Fencing number of the orders while this VM is the leader.
    epoch: Option<Epoch>,
    /// When all other VMs will have reported their demand to this VM as the new leader.
    demand_complete: Instant,
}

/// What a [`Controller`] is built from.
#[derive(Debug)]
pub struct ControllerDeps {
    /// State of this VM.
    pub gateway: Arc<Gateway>,
    /// Connection to the other VMs.
    pub mesh: Arc<Mesh>,
    /// Client that polls engines and sends them orders.
    pub engine_client: Arc<dyn EngineClient>,
    /// The platform's store, which holds the lease object.
    pub store: Arc<dyn ObjectStore>,
    /// Key of the lease object.
    pub lease_key: ObjectKey,
    /// Time after which a lease that is not renewed expires.
    pub lease_length: Duration,
}

/// Starts a task that contends for the lease and controls the engines while this VM is the leader.
pub fn spawn(deps: ControllerDeps) -> JoinHandle<()> {
    let now = deps.gateway.clock.now();
    let controller = Controller {
        leadership: Leadership::open(
            Arc::clone(&deps.gateway),
            Arc::clone(&deps.mesh),
            deps.store,
            deps.lease_key,
            deps.lease_length,
        ),
        gateway: deps.gateway,
        mesh: deps.mesh,
        engine_client: deps.engine_client,
        engines: BTreeMap::new(),
        load_limiter: LoadLimiter::open(now),
        epoch: None,
        demand_complete: now,
    };
    tokio::spawn(controller.run())
}

impl Controller {
    async fn run(mut self) {
        loop {
            if !self.gateway.running.is_leaving() {
                self.leadership.maintain().await;
            }
            self.update_leadership();
            if let Some(epoch) = self.epoch {
                self.run_round(epoch).await;
            }
            let gateway = Arc::clone(&self.gateway);
            let woken = async {
                tokio::select! {
                    () = gateway.upstreams_changed.notified() => {}
                    () = gateway.orders_due.notified(), if self.epoch.is_some() => {}
                }
            };
            // The next round starts after the interval or when it is asked for.
            let _woken = tokio::time::timeout(ROUND_INTERVAL, woken).await;
            if self.epoch.is_some() {
                tokio::time::sleep(MIN_ROUND_INTERVAL).await;
            }
        }
    }

    /// Starts with an empty state when this VM becomes the leader or stops being it, and hands the
    /// mesh the lease for its heartbeats.
    fn update_leadership(&mut self) {
        let boot = self.gateway.clock.boot();
        let epoch = self.leadership.epoch(boot);
        let heartbeat = epoch.map(|epoch| (epoch, self.leadership.version()));
        self.mesh.set_lease(heartbeat);
        if epoch == self.epoch {
            return;
        }
        self.epoch = epoch;
        self.engines.clear();
        let now = self.gateway.clock.now();
        self.load_limiter = LoadLimiter::open(now);
        self.demand_complete = now + DEMAND_REPORT_TIME;
        match epoch {
            Some(epoch) => {
                self.gateway.counters.leases.inc();
                info!(self.gateway.log, "lease_gained"; "epoch" => %epoch);
            }
            None => info!(self.gateway.log, "lease_lost"),
        }
    }

    /// Polls the engines, plans for each service and sends the planned orders.
    async fn run_round(&mut self, epoch: Epoch) {
        let Some(configuration) = self.gateway.configuration.load_full() else {
            return;
        };
        self.sync_engines();
        self.poll_engines().await;
        self.announce_models(epoch).await;
        // Before the other VMs have reported, models with demand would seem to have none.
        if self.gateway.clock.now() < self.demand_complete {
            return;
        }
        let demand = self.mesh.total_demand();
        for (service, definition) in &configuration.services {
            if let Some(spec) = &definition.engines {
                self.place_models(service, spec, &demand, epoch).await;
                self.place_adapters(service, spec, &demand, epoch).await;
            }
        }
    }

    /// Adds engines that have been registered, and removes those that left or were restarted.
    fn sync_engines(&mut self) {
        let configuration = self.gateway.configuration.load();
        let now = self.gateway.clock.now();
        let registrations = self.gateway.read_fleet(Fleet::registered);
        let is_engine = |registration: &Registration| {
            let configuration = configuration.as_ref();
            !registration.leaving
                && configuration.is_some_and(|c| c.engine_spec(&registration.service).is_some())
        };
        let registrations: BTreeMap<_, _> = registrations
            .into_iter()
            .filter(|registration| is_engine(registration))
            .map(|registration| (registration.id.clone(), registration))
            .collect();
        self.engines.retain(|id, _| registrations.contains_key(id));
        for (id, registration) in registrations {
            match self.engines.get_mut(&id) {
                Some(engine) if engine.registration.started_ms == registration.started_ms => {
                    if !Arc::ptr_eq(&engine.registration, &registration) {
                        engine.registration = registration;
                        engine.next_poll = Some(now);
                    }
                }
                _ => {
                    self.engines
                        .insert(id, EngineState::open(registration, now));
                }
            }
        }
    }

    /// Requests reports from the engines that are due to be polled.
    async fn poll_engines(&mut self) {
        let now = self.gateway.clock.now();
        let due = self
            .engines
            .iter()
            .filter(|(_, e)| e.next_poll.is_some_and(|at| at <= now) && !e.is_deferred(now));
        let mut polls = JoinSet::new();
        for (id, engine) in due {
            let engine_client = Arc::clone(&self.engine_client);
            let at = engine.registration.address;
            let id = id.clone();
            polls.spawn(async move {
                let reply =
                    tokio::time::timeout(ENGINE_TIMEOUT, engine_client.fetch_report(at)).await;
                let silent = |_late| ControlReply::failed(ControlError::Silent);
                (id, reply.unwrap_or_else(silent))
            });
        }
        while let Some(done) = polls.join_next().await {
            let Ok((id, reply)) = done else { continue };
            let ControlReply {
                outcome: report,
                signals,
            } = reply;
            self.apply_signals(&id, signals);
            let now = self.gateway.clock.now();
            if let Some(engine) = self.engines.get_mut(&id) {
                match report {
                    Ok(report) => engine.apply_report(report, now),
                    Err(e) => {
                        info!(self.gateway.log, "engine_unasked"; "engine" => %id, "error" => %e);
                        engine.next_poll = Some(now + RETRY_DELAY);
                    }
                }
            }
        }
    }

    /// Applies what an engine states about itself in a response of its control interface. The other
    /// VMs learn from the usage reports that it is leaving.
    fn apply_signals(&mut self, id: &UpstreamId, signals: UpstreamSignals) {
        let Some(engine) = self.engines.get_mut(id) else {
            return;
        };
        if signals.leaving {
            let started_ms = engine.registration.started_ms;
            self.gateway.on_upstream_leaving(id, started_ms);
        }
        if let Some(retry_after) = signals.retry_after {
            let delay = retry_after.delay(self.gateway.clock.wall());
            engine.defer(self.gateway.clock.now() + delay);
        }
    }

    /// Announces newly loaded models to the other VMs, which would learn of them from the store
    /// later, and repeats which models are being unloaded. It repeats this because a datagram may
    /// be lost, and because an engine finishes its running requests before it unloads a model.
    async fn announce_models(&mut self, epoch: Epoch) {
        let mut updates = Vec::new();
        let now = self.gateway.clock.now();
        for (id, engine) in &mut self.engines {
            updates.extend(engine.repeat_unload(id, now));
            for model in std::mem::take(&mut engine.unannounced) {
                updates.push(InventoryUpdate {
                    engine: id.clone(),
                    born: engine.registration.started_ms,
                    model,
                    adapter: None,
                    present: true,
                });
            }
        }
        if !updates.is_empty() {
            self.mesh.broadcast_updates(epoch, updates).await;
        }
    }
}
