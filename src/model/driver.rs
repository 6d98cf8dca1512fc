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
use super::loader::{Asked, Loader};
use super::placement::Placement;
use super::plan::Policy;
use super::queue::Discipline;
use super::shared::Front;
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
const ASKS: usize = 1024;
/// Time after which an order that shows no effect in the reports is sent again.
const ORDER_RETRY: Duration = Duration::from_secs(3);
/// Wait that is answered to a wake message when the channel is full.
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

/// Why the leader did not answer a wake message.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum WakeError {
    /// There is no link to the leader, or its answer did not arrive in time.
    #[error("the VM that orders loads cannot be reached")]
    Unreachable,
}

/// Sends wake messages, which ask the leader to have a model or an adapter loaded.
pub trait WakeClient: Send + Sync + Debug {
    /// Sends a wake message and waits for the answer, a few seconds at most.
    fn wake<'a>(
        &'a self,
        to: &'a VmId,
        ask: WakeRequest,
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
    pub wake: Arc<dyn WakeClient>,
    /// Clock for all deadlines and pauses.
    pub clock: Arc<dyn Clock>,
    /// Logger for commands and failures.
    pub log: Logger,
}

/// Provides replicas at one VM: queues requests and runs the loader. Dropping it ends its task.
#[derive(Debug)]
pub struct Models {
    front: Arc<Front>,
    notify: Arc<Notify>,
    asks: mpsc::Sender<Asked>,
    catalog: Arc<dyn DeclarationSource>,
    task: JoinHandle<()>,
}

impl Models {
    /// Spawns the task that reads reports, orders loads and answers waiting requests.
    pub fn spawn(config: Config, ports: ModelDeps) -> Self {
        let desk = AdmissionControl::new(config.max_waiting, Discipline::Fair);
        let front = Arc::new(Front::new(desk, Arc::clone(&ports.clock)));
        let notify = Arc::new(Notify::new());
        let (asks, inbox) = mpsc::channel(ASKS);
        let catalog = Arc::clone(&ports.declaration);
        let flows = Executor {
            store: Arc::clone(&ports.store),
            engines: Arc::clone(&ports.engines),
            clock: Arc::clone(&ports.clock),
            order_lifetime: Duration::from_millis(config.models.order),
        };
        let loader = Loader::new(config, ports, flows, Arc::clone(&front));
        let task = tokio::spawn(loader.run(inbox, Arc::clone(&notify)));
        Self {
            front,
            notify,
            asks,
            catalog,
            task,
        }
    }

    /// Handles a wake message of another VM and returns the answer.
    pub async fn wake(&self, ask: WakeRequest) -> WakeResponse {
        let request = ask.request.clone();
        let (reply, answer) = oneshot::channel();
        let sent = self.asks.try_send(Asked { ask, reply }).is_ok();
        match answer.await {
            Ok(answer) if sent => answer,
            _ => WakeResponse {
                accepted: false,
                request,
                wait: BUSY_WAIT_MS,
            },
        }
    }

    /// Number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.front.with(|desk| desk.len())
    }

    /// Number of granted requests that have not ended.
    pub fn running(&self) -> u32 {
        self.front.with(|desk| desk.running())
    }

    /// Number of replicas of a model that can serve, according to the last reports.
    pub fn serving_replicas(&self, model: &ModelId) -> usize {
        self.front.with(|desk| desk.serving_replicas(model))
    }

    /// Least time that a request for the model would wait for a load; zero if a replica can serve.
    pub fn min_wait(&self, model: &ModelId) -> Duration {
        self.front.with(|desk| desk.min_wait(model))
    }

    fn check(&self, want: &ReplicaRequest) -> Result<(), Refusal> {
        let declaration = self.catalog.current();
        let known = declaration.models.contains_key(&want.model);
        let fits = want.adapter.as_ref().is_none_or(|adapter| {
            let declared = declaration.adapters.get(adapter);
            declared.is_some_and(|a| a.model == want.model)
        });
        if known && fits {
            return Ok(());
        }
        Err(Refusal::not_run(Reason::UnknownModel))
    }
}

impl ReplicaPool for Models {
    fn acquire(&self, want: ReplicaRequest) -> BoxFuture<'_, Result<Vec<Replica>, Refusal>> {
        Box::pin(async move {
            self.check(&want)?;
            let entered = self.front.enter(want);
            self.notify.notify_one();
            let answer = entered?.answer().await;
            answer.unwrap_or_else(|| Err(Refusal::not_run(Reason::ShuttingDown)))
        })
    }

    fn release(&self, want: &ReplicaRequest) {
        self.front.release(want);
    }
}

impl Drop for Models {
    fn drop(&mut self) {
        self.task.abort();
    }
}
