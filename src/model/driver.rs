//! The I/O around admission and planning: queues requests and runs the loader task.

use std::fmt::Debug;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::BoxFuture;
use slog::Logger;
use thiserror::Error;
use tokio::sync::{Notify, mpsc, oneshot};
use tokio::task::JoinHandle;

use super::admission::AdmissionControl;
use super::eviction::Eviction;
use super::executor::Executor;
use super::loader::{IncomingWake, Loader};
use super::placement::Placement;
use super::plan::Policy;
use super::queue::Discipline;
use super::shared::SharedAdmission;
use super::{Replica, ReplicaPool, ReplicaRequest};
use crate::clock::Clock;
use crate::engine::EngineControl;
use crate::ids::{ModelId, VmId};
use crate::outcome::{Reason, Refusal};
use crate::schema::declaration::Declaration;
use crate::schema::peer::{WakeRequest, WakeResponse};
use crate::schema::settings::ModelSettings;
use crate::store::{Instance, ObjectStore};
use crate::units::Bytes;

/// Capacity of the channel of wake messages from other VMs.
const WAKE_CAPACITY: usize = 1024;
/// Time after which an order that shows no effect in the reports is sent again.
const ORDER_RETRY: Duration = Duration::from_secs(3);
/// Wait that a wake message gets as its response when the channel is full.
const BUSY_WAIT_MS: u64 = 1000;

/// The engines and VMs that are known at present.
pub trait ClusterSource: Send + Sync + Debug {
    /// Engines in the platform's list as last read, live and leaving.
    fn engines(&self) -> Arc<Vec<Instance>>;

    /// Live VMs, including this one.
    fn vms(&self) -> Arc<Vec<VmId>>;
}

/// Supplies the declaration in force.
pub trait DeclarationSource: Send + Sync + Debug {
    /// Returns the declaration in force, with the declared models and adapters.
    fn current(&self) -> Arc<Declaration>;
}

/// Why a wake message got no response.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum WakeError {
    /// There is no link to the leader, or its response did not arrive in time.
    #[error("the leader cannot be reached")]
    Unreachable,
}

/// Sends wake messages, which ask the leader to have a model or an adapter loaded.
pub trait WakeClient: Send + Sync + Debug {
    /// Sends a wake message and waits for the response, a few seconds at most.
    fn send_wake<'a>(
        &'a self,
        to: &'a VmId,
        wake: WakeRequest,
    ) -> BoxFuture<'a, Result<WakeResponse, WakeError>>;
}

/// Settings of [`Models`].
#[derive(Clone, Debug)]
pub struct Config {
    /// Id of this VM.
    pub vm: VmId,
    /// Limits and times of loading.
    pub models: ModelSettings,
    /// Interval between two reads of an engine's load report while nothing is in progress.
    pub report_interval: Duration,
    /// Most requests that may wait at this VM at once.
    pub max_waiting: usize,
}

impl Config {
    /// The parameters of planning.
    pub fn policy(&self) -> Policy {
        Policy {
            load_bandwidth: Bytes(self.models.bandwidth),
            load_slots: self.models.slots as usize,
            adapter_slots: self.models.adapters as usize,
            idle_time: Duration::from_millis(self.models.idle),
            order_lifetime: Duration::from_millis(self.models.order),
            order_retry: ORDER_RETRY,
            eviction: Eviction::ReloadCost,
            placement: Placement::Soonest,
            by_deadline: true,
        }
    }
}

/// What [`Models`] is built from.
#[derive(Clone, Debug)]
pub struct ModelDeps {
    /// The platform's store, which holds intents and reservations.
    pub store: Arc<dyn ObjectStore>,
    /// Sends orders to engines and reads their load reports.
    pub engines: Arc<dyn EngineControl>,
    /// Known engines and VMs.
    pub cluster: Arc<dyn ClusterSource>,
    /// Source of the declaration in force.
    pub declaration: Arc<dyn DeclarationSource>,
    /// Sends wake messages to the leader.
    pub wake_client: Arc<dyn WakeClient>,
    /// Clock for all deadlines and pauses.
    pub clock: Arc<dyn Clock>,
    /// Logger for commands and failures.
    pub log: Logger,
}

/// Provides replicas at one VM: queues requests and runs the loader. Dropping it ends its task.
#[derive(Debug)]
pub struct Models {
    admission: Arc<SharedAdmission>,
    notify: Arc<Notify>,
    wakes: mpsc::Sender<IncomingWake>,
    declaration: Arc<dyn DeclarationSource>,
    task: JoinHandle<()>,
}

impl Models {
    /// Spawns the task that reads reports, orders loads, and grants or refuses waiting requests.
    pub fn spawn(config: Config, deps: ModelDeps) -> Self {
        let admission = AdmissionControl::new(config.max_waiting, Discipline::Fair);
        let admission = Arc::new(SharedAdmission::new(admission, Arc::clone(&deps.clock)));
        let notify = Arc::new(Notify::new());
        let (wakes, receiver) = mpsc::channel(WAKE_CAPACITY);
        let declaration = Arc::clone(&deps.declaration);
        let executor = Executor {
            store: Arc::clone(&deps.store),
            engines: Arc::clone(&deps.engines),
            clock: Arc::clone(&deps.clock),
            order_lifetime: Duration::from_millis(config.models.order),
        };
        let loader = Loader::new(config, deps, executor, Arc::clone(&admission));
        let task = tokio::spawn(loader.run(receiver, Arc::clone(&notify)));
        Self {
            admission,
            notify,
            wakes,
            declaration,
            task,
        }
    }

    /// Handles a wake message of another VM and returns the response.
    pub async fn handle_wake(&self, wake: WakeRequest) -> WakeResponse {
        let request = wake.request.clone();
        let (reply, response) = oneshot::channel();
        let sent = self.wakes.try_send(IncomingWake { wake, reply }).is_ok();
        match response.await {
            Ok(response) if sent => response,
            _ => WakeResponse {
                accepted: false,
                request,
                wait: BUSY_WAIT_MS,
            },
        }
    }

    /// Number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.admission.with(|admission| admission.len())
    }

    /// Number of granted requests that have not ended.
    pub fn running(&self) -> u32 {
        self.admission.with(|admission| admission.running())
    }

    /// Number of replicas of a model that can serve, according to the last reports.
    pub fn serving_replicas(&self, model: &ModelId) -> usize {
        self.admission
            .with(|admission| admission.serving_replicas(model))
    }

    /// Least time that a request for the model would wait for a load; zero if a replica can serve.
    pub fn min_wait(&self, model: &ModelId) -> Duration {
        self.admission.with(|admission| admission.min_wait(model))
    }

    fn check_declared(&self, request: &ReplicaRequest) -> Result<(), Refusal> {
        let declaration = self.declaration.current();
        let known = declaration.models.contains_key(&request.model);
        let fits = request.adapter.as_ref().is_none_or(|adapter| {
            let declared = declaration.adapters.get(adapter);
            declared.is_some_and(|a| a.model == request.model)
        });
        if known && fits {
            return Ok(());
        }
        Err(Refusal::not_run(Reason::UnknownModel))
    }
}

impl ReplicaPool for Models {
    fn acquire(&self, request: ReplicaRequest) -> BoxFuture<'_, Result<Vec<Replica>, Refusal>> {
        Box::pin(async move {
            self.check_declared(&request)?;
            let pending = self.admission.submit(request);
            self.notify.notify_one();
            let result = pending?.wait().await;
            result.unwrap_or_else(|| Err(Refusal::not_run(Reason::ShuttingDown)))
        })
    }

    fn release(&self, request: &ReplicaRequest) {
        self.admission.release(request);
    }
}

impl Drop for Models {
    fn drop(&mut self) {
        self.task.abort();
    }
}
